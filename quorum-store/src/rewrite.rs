//! Replaces the folder of a store by a new one that holds only the present records.
//!
//! The new store is written and synced beside the folder, as `NAME.new`. Then the folder becomes `NAME.old`, the new
//! one takes its place, and the old one is deleted. Invariant: at each moment one of the three is whole and the only
//! one that [`recover`] chooses: `NAME` if it is there; else `NAME.new`, since the folder moves only once that is
//! synced.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use millpost_quorum::Write;
use snafu::ResultExt;

use crate::{FileSnafu, RecordStore, StoreError};

/// A store is rewritten at its opening if it takes this many times the bytes of its records, and
/// [`MIN_REWRITTEN_BYTES`] in addition. The engine needs some 3 to 8 times as much.
const MAX_BYTES_PER_RECORD_BYTE: u64 = 16;
const MIN_REWRITTEN_BYTES: u64 = 8 << 20;

fn new_path(folder: &Path) -> PathBuf {
    folder.with_extension("new")
}

fn old_path(folder: &Path) -> PathBuf {
    folder.with_extension("old")
}

/// Returns whether there is a store in the folder, or one whose rewrite was interrupted.
pub fn exists(folder: &Path) -> bool {
    folder.exists() || old_path(folder).exists()
}

fn sync_parent(folder: &Path) -> Result<(), StoreError> {
    let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) else { return Ok(()) };
    File::open(parent).and_then(|parent| parent.sync_all()).context(FileSnafu { path: parent })
}

fn rename(from: &Path, to: &Path) -> Result<(), StoreError> {
    fs::rename(from, to).context(FileSnafu { path: from })?;
    sync_parent(to)
}

fn remove(folder: &Path) -> Result<(), StoreError> {
    match fs::remove_dir_all(folder) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e).context(FileSnafu { path: folder }),
        _ => Ok(()),
    }
}

/// Finishes a rewrite that was interrupted after the folder was moved, or else undoes it.
pub(crate) fn recover(folder: &Path) -> Result<(), StoreError> {
    let (new, old) = (new_path(folder), old_path(folder));
    if !folder.exists() && old.exists() {
        rename(if new.exists() { &new } else { &old }, folder)?;
    }
    remove(&new)?;
    remove(&old)
}

/// Returns the number of bytes and of files below a folder.
fn usage(folder: &Path) -> io::Result<(u64, usize)> {
    let (mut bytes, mut files) = (0, 0);
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let (more_bytes, more_files) =
            if entry.file_type()?.is_dir() { usage(&entry.path())? } else { (entry.metadata()?.len(), 1) };
        (bytes, files) = (bytes + more_bytes, files + more_files);
    }
    Ok((bytes, files))
}

impl RecordStore {
    /// Returns whether the store is much larger than these records, which it holds, or keeps some of them in files of
    /// their own, as versions before format 3 did.
    pub fn is_oversized(&self, records: &[Write]) -> bool {
        let live: usize = records.iter().map(|record| record.key.len() + record.text.len()).sum();
        let most = live as u64 * MAX_BYTES_PER_RECORD_BYTE + MIN_REWRITTEN_BYTES;
        let has_files = usage(&self.folder.join("blobs")).is_ok_and(|(_, files)| files > 0);
        has_files || usage(&self.folder).is_ok_and(|(bytes, _)| bytes > most)
    }

    /// Replaces the store by a new one that holds these records, all that it is to hold, and closes it. After an error,
    /// or a kill at any moment, opening the folder gives the old or the new store.
    pub fn rewrite(self, records: &[Write]) -> Result<(), StoreError> {
        let folder = self.folder.clone();
        drop(self);
        let (new, old) = (new_path(&folder), old_path(&folder));
        remove(&new)?;
        remove(&old)?;
        RecordStore::open_folder(&new)?.put(records)?;
        sync_parent(&new)?;
        rename(&folder, &old)?;
        rename(&new, &folder)?;
        // The threads of the old store may still be using it. What is left is deleted at the next opening.
        let _ = remove(&old);
        Ok(())
    }
}
