//! Storage of quorum records on disk. Invariant: what [`RecordStore::put`] has written when it returns
//! survives a power loss. The flush of `sled` alone did not ensure that in bench tests, so each file in
//! the folder and the folder itself are synced through separate file handles after it.
//!
//! Long records are stored in parts, so that what a write costs depends on what it writes and not on what was written
//! before. A folder that earlier versions have filled with files is replaced by a new one, see
//! [`RecordStore::rewrite`].
//!
//! [`read_copy`] reads a folder that may be in use: it opens a copy, and writes nothing to the folder.

mod parts;
mod read_copy;
mod rewrite;

pub use read_copy::read_copy;
pub use rewrite::exists;

use std::fs::File;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use millpost_quorum::Write;
use parts::{ItemChange, LayoutError};
use snafu::{ResultExt, Snafu};

/// How long the threads of a store may hold its lock after it was closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Why a store could not be opened, read or written.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The storage engine failed.
    #[snafu(display("store in {}: {source}", folder.display()))]
    Store {
        /// The folder of the store.
        folder: PathBuf,
        /// The error of the storage engine.
        source: sled::Error,
    },
    /// A file of the store is corrupted.
    #[snafu(display("store in {}: corrupted", folder.display()))]
    Corrupted {
        /// The folder of the store.
        folder: PathBuf,
    },
    /// A record was not stored whole, or a part of it is lost.
    #[snafu(display("store in {}: corrupted: {reason}", folder.display()))]
    Incomplete {
        /// The folder of the store.
        folder: PathBuf,
        /// The record and what is wrong with it.
        reason: String,
    },
    /// There is no store in the folder, and none is created.
    #[snafu(display("{}: no store: {reason}", folder.display()))]
    NoStore {
        /// The folder.
        folder: PathBuf,
        /// How the folder differs from that of a store.
        reason: String,
    },
    /// Another process wrote to the folder during every attempt to copy it.
    #[snafu(display("{}: was written during each of {attempts} attempts to copy it", folder.display()))]
    Busy {
        /// The folder.
        folder: PathBuf,
        /// The number of attempts to copy it.
        attempts: u32,
    },
    /// A file in the folder of the store could not be read, written or synced.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}

impl StoreError {
    /// Whether the store exists but is corrupted.
    pub fn is_corrupted(&self) -> bool {
        matches!(
            self,
            StoreError::Corrupted { .. }
                | StoreError::Incomplete { .. }
                | StoreError::Store { source: sled::Error::Corruption { .. }, .. }
        )
    }
}

impl StoreError {
    /// Whether another process, or a thread of a store that was just closed, holds the lock.
    fn is_locked(&self) -> bool {
        matches!(self, StoreError::Store { source: sled::Error::Io(e), .. }
            if e.kind() == std::io::ErrorKind::WouldBlock || e.to_string().contains("lock"))
    }
}

/// A store of records in a folder.
pub struct RecordStore {
    folder: PathBuf,
    db: sled::Db,
}

impl RecordStore {
    /// Opens the store in the folder, and creates it if there is none. Finishes or undoes an interrupted
    /// [`RecordStore::rewrite`].
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        rewrite::recover(folder)?;
        let begun = Instant::now();
        loop {
            match Self::open_folder(folder) {
                Err(e) if e.is_locked() && begun.elapsed() < CLOSE_TIMEOUT => {
                    thread::sleep(CLOSE_RETRY_DELAY)
                }
                result => return result,
            }
        }
    }

    fn open_folder(folder: &Path) -> Result<Self, StoreError> {
        let config = sled::Config::new()
            .path(folder)
            .cache_capacity(1 << 20)
            .flush_every_ms(None)
            .mode(sled::Mode::LowSpace);
        let db = config.open().context(StoreSnafu { folder })?;
        Ok(RecordStore { folder: folder.to_owned(), db })
    }

    /// Returns all records.
    pub fn records(&self) -> Result<Vec<(String, String)>, StoreError> {
        let mut items = Vec::new();
        for row in self.db.iter() {
            let (key, bytes) = row.context(StoreSnafu { folder: &self.folder })?;
            items.push((String::from_utf8_lossy(&key).into_owned(), bytes.to_vec()));
        }
        let incomplete =
            |e: LayoutError| IncompleteSnafu { folder: &self.folder, reason: e.to_string() }.build();
        parts::join(items).map_err(incomplete)
    }

    /// Writes a batch. Once this returns without an error, the batch survives a power loss.
    pub fn put(&self, batch: &[Write]) -> Result<(), StoreError> {
        let mut items = sled::Batch::default();
        for write in batch {
            for change in parts::replace(&write.key, &write.text, self.part_count(&write.key)?) {
                match change {
                    ItemChange::Insert(key, bytes) => items.insert(key.as_bytes(), bytes),
                    ItemChange::InsertLength(key, length) => items.insert(key.as_bytes(), length.as_bytes()),
                    ItemChange::Remove(key) => items.remove(key.as_bytes()),
                }
            }
        }
        self.db.apply_batch(items).context(StoreSnafu { folder: &self.folder })?;
        self.db.flush().context(StoreSnafu { folder: &self.folder })?;
        sync(&self.folder)
    }

    /// Returns the number of parts in which a record is stored; 0 if it is stored whole, or not at all.
    fn part_count(&self, key: &str) -> Result<usize, StoreError> {
        let length = self.db.get(parts::length_key(key)).context(StoreSnafu { folder: &self.folder })?;
        Ok(parts::part_count(length.as_deref()))
    }
}

/// Syncs every file below a folder, then the folder.
fn sync(folder: &Path) -> Result<(), StoreError> {
    for entry in std::fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let entry = entry.context(FileSnafu { path: folder })?;
        let path = entry.path();
        if entry.file_type().context(FileSnafu { path: &path })?.is_dir() {
            sync(&path)?;
            continue;
        }
        // The storage engine may delete a file after it was listed.
        match File::open(&path) {
            Ok(file) => file.sync_all().context(FileSnafu { path: &path })?,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(source) => return Err(StoreError::File { path, source }),
        }
    }
    File::open(folder).and_then(|f| f.sync_all()).context(FileSnafu { path: folder })
}

/// Opens the store in a folder and reads all records. `sled` may panic on a corrupted file; such a panic is
/// returned as an error.
pub fn read(folder: &Path) -> Result<(RecordStore, Vec<(String, String)>), StoreError> {
    let all = || {
        let disk = RecordStore::open(folder)?;
        let records = disk.records()?;
        Ok((disk, records))
    };
    std::panic::catch_unwind(all).unwrap_or_else(|_| CorruptedSnafu { folder }.fail())
}

#[cfg(test)]
mod damage_tests;
#[cfg(test)]
mod size_tests;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_are_read_back_after_reopening() {
        let folder = tempfile::tempdir().expect("a folder");
        let write = |n: u32| Write { key: format!("k{}", n % 3), text: format!("text {n}") };
        {
            let disk = RecordStore::open(folder.path()).expect("opened");
            (0..20).for_each(|n| disk.put(&[write(n), write(n + 1)]).expect("put"));
        }
        // Background threads of `sled` may hold its file lock for a moment after the store is dropped.
        let all = loop {
            match read(folder.path()) {
                Ok((_, records)) => break records,
                Err(e) => assert!(e.to_string().contains("lock"), "{e}"),
            }
            std::thread::yield_now();
        };
        let expected = [("k0", "text 18"), ("k1", "text 19"), ("k2", "text 20")];
        assert_eq!(all, expected.map(|(k, t)| (k.to_owned(), t.to_owned())));
    }
}
