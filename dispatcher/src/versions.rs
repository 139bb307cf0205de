//! The versions of settings, list and program that this dispatcher uses, and their persistence. Makes no
//! decisions.

use millpost::api::Nanos;
use millpost_core::{Moment, SNAPSHOT_VERSION};
use millpost_tier::records::EndpointRecord;
use millpost_tier::versions::{ActiveVersions, Kind, Version, digest};
use serde::{Deserialize, Serialize};

use crate::store_writer::StoreWriter;

/// Keys of values in the store.
const RECORDS_KEY: &str = "words";
const SETTINGS_KEY: &str = "settled";
const LIST_KEY: &str = "listed";

/// A version that was loaded from its source.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct StoredVersion {
    digest: u32,
    /// Wall-clock time since when it has been in use.
    since: Nanos,
}

/// The initial versions of an incarnation with the settings of this digest, and how long each kind has been
/// in use.
pub fn begin(at: Moment, settings: u32, store: &mut StoreWriter) -> (ActiveVersions, [Nanos; 4]) {
    let mut standing = ActiveVersions::default();
    let release = concat!(env!("CARGO_PKG_VERSION"));
    standing.program = Version { digest: digest(release.as_bytes()), generation: SNAPSHOT_VERSION };
    standing.set_version(Kind::Settings, settings);
    let settings_age = age(at, SETTINGS_KEY, settings, store).unwrap_or_else(|| {
        save_settings(at, settings, store);
        0
    });
    (standing, [Nanos::MAX, settings_age, 0, 0])
}

/// How long the version with this digest has been in use, if that is stored.
fn age(at: Moment, name: &str, digest: u32, store: &StoreWriter) -> Option<Nanos> {
    let stored =
        store.ledger().value(name).and_then(|value| postcard::from_bytes::<StoredVersion>(&value).ok());
    stored.filter(|stored| stored.digest == digest).map(|stored| at.wall.saturating_sub(stored.since))
}

fn save(at: Moment, name: &str, digest: u32, store: &mut StoreWriter) {
    let version = StoredVersion { digest, since: at.wall };
    store.save_value(at, name, &postcard::to_stdvec(&version).unwrap_or_default());
}

/// Records that the settings with this digest are in use from now on.
pub fn save_settings(at: Moment, digest: u32, store: &mut StoreWriter) {
    save(at, SETTINGS_KEY, digest, store);
}

/// Records that the list with this digest is in use from now on, as confirmed by the agent.
pub fn save_list(at: Moment, digest: u32, store: &mut StoreWriter) {
    save(at, LIST_KEY, digest, store);
}

/// How long the initial list has been in use; [`Nanos::MAX`] if unknown because no agent confirmed it to an
/// earlier incarnation.
pub fn list_age(at: Moment, digest: u32, store: &StoreWriter) -> Nanos {
    age(at, LIST_KEY, digest, store).unwrap_or(Nanos::MAX)
}

/// The stored cordon and drain records.
pub fn records(store: &StoreWriter) -> Vec<EndpointRecord> {
    let value = store.ledger().value(RECORDS_KEY);
    value.and_then(|value| postcard::from_bytes(&value).ok()).unwrap_or_default()
}

/// Stores cordon and drain records.
pub fn save_records<'a>(
    at: Moment,
    records: impl Iterator<Item = &'a EndpointRecord>,
    store: &mut StoreWriter,
) {
    let records: Vec<&EndpointRecord> = records.collect();
    store.save_value(at, RECORDS_KEY, &postcard::to_stdvec(&records).unwrap_or_default());
}
