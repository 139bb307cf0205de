//! A look at a folder from outside. Keeps: nothing is written there, and what is read is one state of it, not two halves.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use snafu::ResultExt;

use crate::{FileSnafu, NoStoreSnafu, StoreError, read};

/// A folder with more bytes or files than this is none of ours; the disk that the pages name holds 128 MB.
const MOST_BYTES: u64 = 1 << 30;
const MOST_FILES: usize = 10_000;
/// Folders within folders; a store has one level.
const MOST_DEEP: usize = 4;
/// How often a folder that is written meanwhile is copied.
const TRIES: u32 = 5;

/// The files in a folder, with their sizes and the times of their last change.
type Listing = BTreeMap<PathBuf, (u64, Option<SystemTime>)>;

/// The folder of the store: the one that is named, or `tally` in it.
fn place(folder: &Path) -> Result<PathBuf, StoreError> {
    let metadata = fs::metadata(folder).context(FileSnafu { path: folder })?;
    let no_store = |why: &str| NoStoreSnafu { folder, why }.fail();
    if !metadata.is_dir() {
        return no_store("it is a file");
    }
    let within = folder.join("tally");
    let known = |folder: &PathBuf| folder.join("db").is_file();
    match [folder.to_owned(), within].into_iter().find(known) {
        Some(place) => Ok(place),
        None => no_store("there is no file `db` in it, nor in `tally` under it"),
    }
}

fn list(folder: &Path) -> Result<Listing, StoreError> {
    let too_much = |why: String| NoStoreSnafu { folder, why }.fail();
    let (mut all, mut folders, mut bytes) = (Listing::new(), vec![(folder.to_owned(), 1)], 0_u64);
    while let Some((next, deep)) = folders.pop() {
        for entry in fs::read_dir(&next).context(FileSnafu { path: &next })? {
            let path = entry.context(FileSnafu { path: &next })?.path();
            // Neither followed nor copied: links and what is no file.
            let metadata = match fs::symlink_metadata(&path) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                metadata => metadata.context(FileSnafu { path: &path })?,
            };
            if metadata.is_dir() {
                folders.push((path, deep + 1));
            } else if metadata.is_file() {
                bytes = bytes.saturating_add(metadata.len());
                let name = path.strip_prefix(folder).unwrap_or(&path).to_owned();
                all.insert(name, (metadata.len(), metadata.modified().ok()));
            }
            if deep > MOST_DEEP {
                return too_much(format!("folders within folders, more than {MOST_DEEP}"));
            }
            if all.len() + folders.len() > MOST_FILES || bytes > MOST_BYTES {
                return too_much(format!("over {MOST_FILES} files or {MOST_BYTES} bytes"));
            }
        }
    }
    Ok(all)
}

/// Copies what was listed; a file that has gone meanwhile shows in the next listing.
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

/// All records of a folder, from a copy of it, so that it may be in use. Gives the folder that was meant, too: it may be `tally` in
/// the one that is named.
pub fn read_copy(folder: &Path) -> Result<(PathBuf, Vec<(String, String)>), StoreError> {
    let folder = place(folder)?;
    for _ in 0..TRIES {
        let copied = tempfile::tempdir().context(FileSnafu { path: std::env::temp_dir() })?;
        let before = list(&folder)?;
        copy(&folder, &before, copied.path())?;
        if list(&folder)? != before {
            continue;
        }
        let (disk, records) = read(copied.path()).map_err(|e| named(e, copied.path(), &folder))?;
        drop(disk);
        return Ok((folder, records));
    }
    Err(StoreError::Busy { folder, tries: TRIES })
}

/// The same fault, with the folder's own name in place of the copy's.
fn named(fault: StoreError, copy: &Path, real: &Path) -> StoreError {
    let folder = real.to_owned();
    match fault {
        StoreError::Store { source, .. } => StoreError::Store { folder, source },
        StoreError::Corrupted { .. } => StoreError::Corrupted { folder },
        StoreError::File { path, source } => StoreError::File {
            path: path.strip_prefix(copy).map_or(path.clone(), |name| real.join(name)),
            source,
        },
        other => other,
    }
}
