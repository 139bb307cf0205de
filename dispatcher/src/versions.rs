//! What this dispatcher acts on, where no roll keeps it; and what of it lasts. Nothing is decided here.

use millpost::api::Nanos;
use millpost_core::{Moment, SNAPSHOT_VERSION};
use millpost_tier::records::EndpointRecord;
use millpost_tier::versions::{ActiveVersions, Kind, Version, digest};
use serde::{Deserialize, Serialize};

use crate::record::Record;

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
pub fn begin(at: Moment, settings: u32, record: &mut Record) -> (ActiveVersions, [Nanos; 4]) {
    let mut standing = ActiveVersions::default();
    let release = concat!(env!("CARGO_PKG_VERSION"));
    standing.program = Version { digest: digest(release.as_bytes()), generation: SNAPSHOT_VERSION };
    standing.set_version(Kind::Settings, settings);
    let held = held(at, SETTLED, settings, record).unwrap_or_else(|| {
        settled(at, settings, record);
        0
    });
    (standing, [Nanos::MAX, held, 0, 0])
}

/// For how long what has this digest has been in force, where that was noted.
fn held(at: Moment, name: &str, digest: u32, record: &Record) -> Option<Nanos> {
    let noted = record.ledger().value(name).and_then(|value| postcard::from_bytes::<Settled>(&value).ok());
    noted.filter(|noted| noted.digest == digest).map(|noted| at.wall.saturating_sub(noted.since))
}

fn keep(at: Moment, name: &str, digest: u32, record: &mut Record) {
    let settled = Settled { digest, since: at.wall };
    record.keep(at, name, &postcard::to_stdvec(&settled).unwrap_or_default());
}

/// These settings are in force from now on.
pub fn settled(at: Moment, digest: u32, record: &mut Record) {
    keep(at, SETTLED, digest, record);
}

/// This list is, as the agent said.
pub fn listed(at: Moment, digest: u32, record: &mut Record) {
    keep(at, LISTED, digest, record);
}

/// For how long the list that a life begins with has been in force. Of one that no agent told to a life before, nobody knows
/// how old it is.
pub fn list_held(at: Moment, digest: u32, record: &Record) -> Nanos {
    held(at, LISTED, digest, record).unwrap_or(Nanos::MAX)
}

/// Cordons and drains as they were noted.
pub fn words(record: &Record) -> Vec<EndpointRecord> {
    let kept = record.ledger().value(WORDS);
    kept.and_then(|value| postcard::from_bytes(&value).ok()).unwrap_or_default()
}

/// Notes them.
pub fn note_words<'a>(at: Moment, words: impl Iterator<Item = &'a EndpointRecord>, record: &mut Record) {
    let words: Vec<&EndpointRecord> = words.collect();
    record.keep(at, WORDS, &postcard::to_stdvec(&words).unwrap_or_default());
}
