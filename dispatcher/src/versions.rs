//! What this dispatcher acts on, where no roll keeps it; and what of it lasts. Nothing is decided here.

use millpost::api::Nanos;
use millpost_core::{Moment, SNAPSHOT_VERSION};
use millpost_tier::records::Word;
use millpost_tier::standing::{Kind, Stamp, Standing, digest};
use serde::{Deserialize, Serialize};

use crate::store_writer::StoreWriter;

/// Names in the store.
const WORDS: &str = "words";
const SETTLED: &str = "settled";
const LISTED: &str = "listed";

/// A version that was taken from its source.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct Settled {
    digest: u32,
    /// Since when, by the wall clock.
    since: Nanos,
}

/// What a life begins with, of the settings with this digest.
pub fn begin(at: Moment, settings: u32, store: &mut StoreWriter) -> (Standing, [Nanos; 4]) {
    let mut standing = Standing::default();
    let release = concat!(env!("CARGO_PKG_VERSION"));
    standing.program = Stamp { digest: digest(release.as_bytes()), generation: SNAPSHOT_VERSION };
    standing.moves(Kind::Settings, settings);
    let held = held(at, SETTLED, settings, store).unwrap_or_else(|| {
        settled(at, settings, store);
        0
    });
    (standing, [Nanos::MAX, held, 0, 0])
}

/// For how long what has this digest has been in force, where that was noted.
fn held(at: Moment, name: &str, digest: u32, store: &StoreWriter) -> Option<Nanos> {
    let noted = store.ledger().kept(name).and_then(|kept| postcard::from_bytes::<Settled>(&kept).ok());
    noted.filter(|noted| noted.digest == digest).map(|noted| at.wall.saturating_sub(noted.since))
}

fn keep(at: Moment, name: &str, digest: u32, store: &mut StoreWriter) {
    let settled = Settled { digest, since: at.wall };
    store.save_value(at, name, &postcard::to_stdvec(&settled).unwrap_or_default());
}

/// These settings are in force from now on.
pub fn settled(at: Moment, digest: u32, store: &mut StoreWriter) {
    keep(at, SETTLED, digest, store);
}

/// This list is, as the agent said.
pub fn listed(at: Moment, digest: u32, store: &mut StoreWriter) {
    keep(at, LISTED, digest, store);
}

/// For how long the list that a life begins with has been in force. Of one that no agent told to a life before, nobody knows
/// how old it is.
pub fn list_held(at: Moment, digest: u32, store: &StoreWriter) -> Nanos {
    held(at, LISTED, digest, store).unwrap_or(Nanos::MAX)
}

/// Cordons and drains as they were noted.
pub fn words(store: &StoreWriter) -> Vec<Word> {
    let kept = store.ledger().kept(WORDS);
    kept.and_then(|kept| postcard::from_bytes(&kept).ok()).unwrap_or_default()
}

/// Notes them.
pub fn note_words<'a>(at: Moment, words: impl Iterator<Item = &'a Word>, store: &mut StoreWriter) {
    let words: Vec<&Word> = words.collect();
    store.save_value(at, WORDS, &postcard::to_stdvec(&words).unwrap_or_default());
}
