//! What this dispatcher acts on, where no roll keeps it; and what of it lasts. Nothing is decided here.

use millpost::api::Nanos;
use millpost_core::{LAYOUT, Moment};
use millpost_tier::records::Word;
use millpost_tier::standing::{Kind, Stamp, Standing, digest};
use serde::{Deserialize, Serialize};

use crate::record::Record;

/// Names in the store.
const WORDS: &str = "words";
const SETTLED: &str = "settled";

#[derive(Clone, Copy, Serialize, Deserialize)]
struct Settled {
    digest: u32,
    /// Since when, by the wall clock.
    since: Nanos,
}

/// What a life begins with, of the settings with this digest.
pub fn begin(at: Moment, settings: u32, record: &mut Record) -> (Standing, [Nanos; 4]) {
    let mut standing = Standing::default();
    let release = concat!(env!("CARGO_PKG_VERSION"));
    standing.program = Stamp { digest: digest(release.as_bytes()), generation: LAYOUT };
    standing.moves(Kind::Settings, settings);
    let noted = record.ledger().kept(SETTLED).and_then(|kept| postcard::from_bytes::<Settled>(&kept).ok());
    let since = match noted.filter(|noted| noted.digest == settings) {
        Some(noted) => noted.since,
        None => {
            settled(at, settings, record);
            at.wall
        }
    };
    // How old the list is that the store or the configuration has, nobody knows.
    (standing, [Nanos::MAX, at.wall.saturating_sub(since), 0, 0])
}

/// These settings are in force from now on.
pub fn settled(at: Moment, digest: u32, record: &mut Record) {
    let settled = Settled { digest, since: at.wall };
    record.keep(at, SETTLED, &postcard::to_stdvec(&settled).unwrap_or_default());
}

/// Cordons and drains as they were noted.
pub fn words(record: &Record) -> Vec<Word> {
    let kept = record.ledger().kept(WORDS);
    kept.and_then(|kept| postcard::from_bytes(&kept).ok()).unwrap_or_default()
}

/// Notes them.
pub fn note_words<'a>(at: Moment, words: impl Iterator<Item = &'a Word>, record: &mut Record) {
    let words: Vec<&Word> = words.collect();
    record.keep(at, WORDS, &postcard::to_stdvec(&words).unwrap_or_default());
}
