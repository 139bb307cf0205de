//! Opens the store, and migrates the messages of an old journal into it at the first start.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use millpost_store::{Disk, Durability, Ledger, journal, ledger};

use crate::clock::wall_now;
use crate::config::Config;

/// How long to wait for the folder's lock, which a process that is just ending may still hold.
pub const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("store: {0}")]
    Store(#[from] millpost_store::Error),
    #[error("store: {0}")]
    Folder(io::Error),
}

impl Error {
    /// Whether another process holds the folder's lock.
    pub fn is_held(&self) -> bool {
        matches!(self, Error::Folder(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Location and options of the store.
#[derive(Clone, Debug)]
pub struct StoreOpener {
    state: PathBuf,
    limit: u64,
    seed: u64,
    durability: Durability,
}

impl StoreOpener {
    pub fn new(config: &Config, durability: Durability) -> Self {
        let limit = (config.limits.disk_mb * 1e6) as u64;
        StoreOpener { state: config.state.clone(), limit, seed: config.seed, durability }
    }

    /// An ownership mark that no earlier process used.
    pub fn mark(&self) -> u64 {
        (wall_now() ^ self.seed).max(1)
    }

    /// Opens the store, waiting up to `within` for another process to release it.
    pub fn open(&self, within: Duration) -> Result<(Ledger<Disk>, ledger::Opened), Error> {
        let folder = Disk::open_within(&self.state, within).map_err(Error::Folder)?;
        let file = |name| self.state.join(name);
        let old = match std::fs::read(file(journal::FILE)) {
            Ok(data) => Some(Bytes::from(data)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => return Err(Error::Folder(e)),
        };
        remove(&file(journal::NEW_FILE))?;
        // The old journal and the store exist side by side during the migration and share the space limit.
        let taken = old.as_ref().map_or(0, |data| data.len().next_multiple_of(512) as u64);
        let store = millpost_store::Options::new(self.limit.saturating_sub(taken), self.durability);
        let (mut ledger, opened) =
            Ledger::open(folder, store, wall_now(), self.mark(), old.as_ref().map(journal::read))?;
        remove(&file(journal::FILE))?;
        ledger.store_mut().set_limit(self.limit);
        if opened.migrated > 0 {
            eprintln!("store: migrated {} messages from the old journal", opened.migrated);
        }
        for damage in &opened.recovery.damage {
            eprintln!("store: {damage}; any earlier message may have been executed");
        }
        if !opened.messages.is_empty() {
            eprintln!("store: {} messages found", opened.messages.len());
        }
        Ok((ledger, opened))
    }
}

fn remove(file: &Path) -> Result<(), Error> {
    match std::fs::remove_file(file) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(Error::Folder(e)),
        _ => Ok(()),
    }
}
