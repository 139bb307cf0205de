//! The register's records on disk. Invariant: what [`RecordStore::put`] has returned from outlasts a loss of power. `sled`'s own flush did
//! not keep that on the bench, so each file in its folder and the folder itself are synced through handles of our own after it.
//!
//! [`read_copy`] reads a folder that may be in use: it opens a copy, and writes nothing there.

mod read_copy;

pub use read_copy::read_copy;

use std::fs::File;
use std::path::{Path, PathBuf};

use millpost_quorum::Write;
use snafu::{ResultExt, Snafu};

/// What the disk says.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The store itself.
    #[snafu(display("store in {}: {source}", folder.display()))]
    Store {
        /// Its folder.
        folder: PathBuf,
        /// Why.
        source: sled::Error,
    },
    /// The store could not make sense of a file.
    #[snafu(display("store in {}: corrupted", folder.display()))]
    Corrupted {
        /// Its folder.
        folder: PathBuf,
    },
    /// There is no store in the folder, and none is made.
    #[snafu(display("{}: no store: {why}", folder.display()))]
    NoStore {
        /// The folder.
        folder: PathBuf,
        /// What is not as in a store.
        why: String,
    },
    /// Somebody wrote there all the while it was copied.
    #[snafu(display("{}: was written at each of {tries} tries to copy it", folder.display()))]
    Busy {
        /// The folder.
        folder: PathBuf,
        /// How often it was copied.
        tries: u32,
    },
    /// A file in its folder.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

impl StoreError {
    /// Whether the store is there and can't be made sense of.
    pub fn is_corrupted(&self) -> bool {
        matches!(
            self,
            StoreError::Corrupted { .. } | StoreError::Store { source: sled::Error::Corruption { .. }, .. }
        )
    }
}

/// The records.
pub struct RecordStore {
    folder: PathBuf,
    db: sled::Db,
}

impl RecordStore {
    /// Opens the folder, or makes it.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        let config = sled::Config::new()
            .path(folder)
            .cache_capacity(1 << 20)
            .flush_every_ms(None)
            .mode(sled::Mode::LowSpace);
        let db = config.open().context(StoreSnafu { folder })?;
        Ok(RecordStore { folder: folder.to_owned(), db })
    }

    /// All records.
    pub fn records(&self) -> Result<Vec<(String, String)>, StoreError> {
        let mut all = Vec::new();
        for row in self.db.iter() {
            let (key, text) = row.context(StoreSnafu { folder: &self.folder })?;
            all.push((
                String::from_utf8_lossy(&key).into_owned(),
                String::from_utf8_lossy(&text).into_owned(),
            ));
        }
        Ok(all)
    }

    /// Writes a batch; once this returns it outlasts a loss of power.
    pub fn put(&self, batch: &[Write]) -> Result<(), StoreError> {
        let mut records = sled::Batch::default();
        for write in batch {
            records.insert(write.key.as_bytes(), write.text.as_bytes());
        }
        self.db.apply_batch(records).context(StoreSnafu { folder: &self.folder })?;
        self.db.flush().context(StoreSnafu { folder: &self.folder })?;
        sync(&self.folder)
    }
}

/// Syncs every file under a folder, then the folder.
fn sync(folder: &Path) -> Result<(), StoreError> {
    for entry in std::fs::read_dir(folder).context(FileSnafu { path: folder })? {
        let entry = entry.context(FileSnafu { path: folder })?;
        let path = entry.path();
        if entry.file_type().context(FileSnafu { path: &path })?.is_dir() {
            sync(&path)?;
            continue;
        }
        // A file of the store's own may go away between the listing and here.
        match File::open(&path) {
            Ok(file) => file.sync_all().context(FileSnafu { path: &path })?,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(source) => return Err(StoreError::File { path, source }),
        }
    }
    File::open(folder).and_then(|f| f.sync_all()).context(FileSnafu { path: folder })
}

/// Opens a folder and reads all of it. What the store makes of a spoilt file may be a panic: that is an error like any other here.
pub fn read(folder: &Path) -> Result<(RecordStore, Vec<(String, String)>), StoreError> {
    let all = || {
        let disk = RecordStore::open(folder)?;
        let records = disk.records()?;
        Ok((disk, records))
    };
    std::panic::catch_unwind(all).unwrap_or_else(|_| CorruptedSnafu { folder }.fail())
}

#[cfg(test)]
mod images;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_put_is_there_when_it_is_opened_again() {
        let folder = tempfile::tempdir().expect("a folder");
        let write = |n: u32| Write { key: format!("k{}", n % 3), text: format!("text {n}") };
        {
            let disk = RecordStore::open(folder.path()).expect("opened");
            (0..20).for_each(|n| disk.put(&[write(n), write(n + 1)]).expect("put"));
        }
        // Threads of the store may keep its lock for a moment.
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
