//! Reads the store in a folder that another process may have open. Invariant: nothing is written to the
//! folder, and the records are those of a single state of it.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use snafu::ResultExt;

use crate::{FileSnafu, NoStoreSnafu, StoreError, read};

/// A folder with more bytes or files is not that of a store. The disk in the specification holds 128 MB.
const MAX_BYTES: u64 = 1 << 30;
const MAX_FILES: usize = 10_000;
/// Maximum nesting of folders; a store has one level.
const MAX_DEPTH: usize = 4;
/// Number of attempts to copy a folder that is being written.
const MAX_ATTEMPTS: u32 = 5;

/// The files in a folder, with their sizes and modification times.
type Listing = BTreeMap<PathBuf, (u64, Option<SystemTime>)>;

/// Returns the folder of the store: the given one, or `tally` in it.
fn store_folder(folder: &Path) -> Result<PathBuf, StoreError> {
    let metadata = fs::metadata(folder).context(FileSnafu { path: folder })?;
    let no_store = |reason: &str| NoStoreSnafu { folder, reason }.fail();
    if !metadata.is_dir() {
        return no_store("it is a file");
    }
    let subfolder = folder.join("tally");
    let is_store = |folder: &PathBuf| folder.join("db").is_file();
    match [folder.to_owned(), subfolder].into_iter().find(is_store) {
        Some(found) => Ok(found),
        None => no_store("there is no file `db` in it, nor in `tally` under it"),
    }
}

fn list(folder: &Path) -> Result<Listing, StoreError> {
    let too_much = |reason: String| NoStoreSnafu { folder, reason }.fail();
    let (mut all, mut folders, mut bytes) = (Listing::new(), vec![(folder.to_owned(), 1)], 0_u64);
    while let Some((next, depth)) = folders.pop() {
        for entry in fs::read_dir(&next).context(FileSnafu { path: &next })? {
            let path = entry.context(FileSnafu { path: &next })?.path();
            // Links and special files are neither followed nor copied.
            let metadata = match fs::symlink_metadata(&path) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                metadata => metadata.context(FileSnafu { path: &path })?,
            };
            if metadata.is_dir() {
                folders.push((path, depth + 1));
            } else if metadata.is_file() {
                bytes = bytes.saturating_add(metadata.len());
                let name = path.strip_prefix(folder).unwrap_or(&path).to_owned();
                all.insert(name, (metadata.len(), metadata.modified().ok()));
            }
            if depth > MAX_DEPTH {
                return too_much(format!("folders nested more than {MAX_DEPTH} levels deep"));
            }
            if all.len() + folders.len() > MAX_FILES || bytes > MAX_BYTES {
                return too_much(format!("over {MAX_FILES} files or {MAX_BYTES} bytes"));
            }
        }
    }
    Ok(all)
}

/// Copies the listed files. A file that was deleted in the meantime is detected by the next listing.
fn copy(folder: &Path, listing: &Listing, to: &Path) -> Result<(), StoreError> {
    for (name, (size, _)) in listing {
        let (from, to) = (folder.join(name), to.join(name));
        if let Some(parent) = to.parent() {
            fs::create_dir_all(parent).context(FileSnafu { path: parent })?;
        }
        let from = match File::open(&from) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            file => file.context(FileSnafu { path: &from })?,
        };
        let mut to = File::create(&to).context(FileSnafu { path: &to })?;
        io::copy(&mut from.take(*size), &mut to).context(FileSnafu { path: folder.join(name) })?;
    }
    Ok(())
}

/// Returns the folder of the store and all its records, read from a copy so that the store may be in use. The
/// folder of the store is the given one or `tally` in it.
pub fn read_copy(folder: &Path) -> Result<(PathBuf, Vec<(String, String)>), StoreError> {
    let folder = store_folder(folder)?;
    for _ in 0..MAX_ATTEMPTS {
        let copied = tempfile::tempdir().context(FileSnafu { path: std::env::temp_dir() })?;
        let before = list(&folder)?;
        copy(&folder, &before, copied.path())?;
        if list(&folder)? != before {
            continue;
        }
        let (disk, records) = read(copied.path()).map_err(|e| with_real_path(e, copied.path(), &folder))?;
        drop(disk);
        return Ok((folder, records));
    }
    Err(StoreError::Busy { folder, attempts: MAX_ATTEMPTS })
}

/// Replaces the path of the copy in an error by that of the folder.
fn with_real_path(error: StoreError, copy: &Path, real: &Path) -> StoreError {
    let folder = real.to_owned();
    match error {
        StoreError::Store { source, .. } => StoreError::Store { folder, source },
        StoreError::Corrupted { .. } => StoreError::Corrupted { folder },
        StoreError::File { path, source } => StoreError::File {
            path: path.strip_prefix(copy).map_or(path.clone(), |name| real.join(name)),
            source,
        },
        other => other,
    }
}
