//! Opening the store: what an old journal holds moves in at the first start.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use millpost_store::{Disk, Durability, Ledger, journal, ledger};

use crate::clock::wall_now;
use crate::config::Config;

/// Another process that is just ending holds the folder a little longer.
pub const AWHILE: Duration = Duration::from_secs(1);

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("store: {0}")]
    Store(#[from] millpost_store::Error),
    #[error("store: {0}")]
    Folder(io::Error),
}

impl Error {
    /// Another process owns the folder.
    pub fn is_held(&self) -> bool {
        matches!(self, Error::Folder(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Where the store is, and how it is opened.
#[derive(Clone, Debug)]
pub struct Opening {
    state: PathBuf,
    limit: u64,
    seed: u64,
    durability: Durability,
}

impl Opening {
    pub fn new(config: &Config, durability: Durability) -> Self {
        let limit = (config.limits.disk_mb * 1e6) as u64;
        Opening { state: config.state.clone(), limit, seed: config.seed, durability }
    }

    /// A number that no earlier process had.
    pub fn mark(&self) -> u64 {
        (wall_now() ^ self.seed).max(1)
    }

    /// Opens it, waiting no longer than this for another process.
    pub fn open(&self, within: Duration) -> Result<(Ledger<Disk>, ledger::Opened), Error> {
        let folder = Disk::open_within(&self.state, within).map_err(Error::Folder)?;
        let file = |name| self.state.join(name);
        let old = match std::fs::read(file(journal::FILE)) {
            Ok(data) => Some(Bytes::from(data)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => return Err(Error::Folder(e)),
        };
        remove(&file(journal::NEW_FILE))?;
        // Both are there for a while, and take room together.
        let taken = old.as_ref().map_or(0, |data| data.len().next_multiple_of(512) as u64);
        let store = millpost_store::Options::new(self.limit.saturating_sub(taken), self.durability);
        let (mut ledger, opened) =
            Ledger::open(folder, store, wall_now(), self.mark(), old.as_ref().map(journal::read))?;
        remove(&file(journal::FILE))?;
        ledger.store_mut().set_limit(self.limit);
        if opened.migrated > 0 {
            eprintln!("store: {} messages of the old journal moved in", opened.migrated);
        }
        for damage in &opened.recovery.damage {
            eprintln!("store: {damage}; any message from before may have run");
        }
        if !opened.messages.is_empty() {
            eprintln!("the store holds {} messages", opened.messages.len());
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
