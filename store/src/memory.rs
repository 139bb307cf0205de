//! An in-memory folder for tests. It can inject errors and limit the space, and it records every operation,
//! so that a crash after any of them can be simulated with unsynced operations dropped, torn or reordered.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::folder::{Append, Folder, Syncer};

/// An operation that changed or synced the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A file was created.
    Create(String),
    /// Bytes were written to a file at this offset.
    Write(String, u64, Vec<u8>),
    /// A file was extended to this length with zeros.
    Reserve(String, u64),
    /// A file was truncated to this length.
    Truncate(String, u64),
    /// A file was removed.
    Remove(String),
    /// The content of a file was synced.
    Sync(String),
    /// The folder was synced.
    SyncFolder,
}

/// File contents by file name.
pub type Files = BTreeMap<String, Vec<u8>>;

impl Change {
    /// Applies the operation to `files`.
    pub fn apply(&self, files: &mut Files) {
        match self {
            Change::Create(name) => {
                files.entry(name.clone()).or_default();
            }
            Change::Write(name, at, bytes) => {
                let (file, from) = (files.entry(name.clone()).or_default(), *at as usize);
                file.resize(file.len().max(from + bytes.len()), 0);
                file[from..from + bytes.len()].copy_from_slice(bytes);
            }
            Change::Reserve(name, length) => {
                let file = files.entry(name.clone()).or_default();
                file.resize(file.len().max(*length as usize), 0);
            }
            Change::Truncate(name, length) => {
                if let Some(file) = files.get_mut(name) {
                    file.truncate(*length as usize);
                }
            }
            Change::Remove(name) => {
                files.remove(name);
            }
            Change::Sync(_) | Change::SyncFolder => {}
        }
    }
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Maximum total size of the files in bytes. An append beyond it writes what fits and fails.
    pub room: Option<u64>,
    /// Number of further operations that succeed; later ones fail.
    pub changes_left: Option<u64>,
    /// Whether syncs fail.
    pub no_sync: bool,
    /// Whether truncations fail.
    pub no_truncate: bool,
    /// Number of bytes that a failing append writes nevertheless.
    pub torn: usize,
}

#[derive(Default)]
struct Inner {
    files: Files,
    changes: Option<Vec<Change>>,
    faults: Faults,
}

impl Inner {
    fn injects_error(&mut self) -> bool {
        match &mut self.faults.changes_left {
            Some(0) => true,
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }

    fn change(&mut self, change: Change) {
        change.apply(&mut self.files);
        if let Some(changes) = &mut self.changes {
            changes.push(change);
        }
    }
}

/// An in-memory folder. Clones refer to the same folder.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<Inner>>);

impl Memory {
    /// Creates a folder with these files.
    pub fn with(files: Files) -> Self {
        Memory(Arc::new(Mutex::new(Inner { files, ..Inner::default() })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the files.
    pub fn files(&self) -> Files {
        self.inner().files.clone()
    }

    /// Starts recording operations.
    pub fn record(&self) {
        self.inner().changes = Some(Vec::new());
    }

    /// Returns the operations recorded since [`Self::record`].
    pub fn changes(&self) -> Vec<Change> {
        self.inner().changes.clone().unwrap_or_default()
    }

    /// Injects these faults from now on.
    pub fn fail(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// Returns the total size of the files in bytes, each rounded up to a multiple of 512.
    pub fn size(&self) -> u64 {
        self.inner().files.values().map(|f| (f.len() as u64).div_ceil(512) * 512).sum()
    }
}

fn io_error() -> io::Error {
    io::Error::from_raw_os_error(5)
}

fn no_space_error() -> io::Error {
    io::Error::from_raw_os_error(28)
}

impl Folder for Memory {
    type File = MemoryFile;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        Ok(self.inner().files.iter().map(|(name, file)| (name.clone(), file.len() as u64)).collect())
    }

    fn create(&mut self, name: &str) -> io::Result<MemoryFile> {
        let mut inner = self.inner();
        if inner.injects_error() {
            return Err(no_space_error());
        }
        if inner.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        inner.change(Change::Create(name.to_owned()));
        Ok(MemoryFile { folder: self.clone(), name: name.to_owned(), end: 0 })
    }

    fn open(&mut self, name: &str) -> io::Result<MemoryFile> {
        let end =
            self.inner().files.get(name).map(|file| file.len() as u64).ok_or(io::ErrorKind::NotFound)?;
        Ok(MemoryFile { folder: self.clone(), name: name.to_owned(), end })
    }

    fn read_at(&self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        let inner = self.inner();
        let file = inner.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        let from = usize::try_from(at).map_err(|_| io::ErrorKind::UnexpectedEof)?;
        let bytes = file.get(from..).and_then(|rest| rest.get(..buffer.len()));
        buffer.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.injects_error() {
            return Err(io_error());
        }
        if !inner.files.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        inner.change(Change::Remove(name.to_owned()));
        Ok(())
    }

    fn syncer(&self) -> io::Result<Syncer> {
        let folder = self.clone();
        Ok(Box::new(move || folder.sync(Change::SyncFolder)))
    }

    fn show(&self, name: &str) -> String {
        format!("memory:{name}")
    }
}

impl Memory {
    fn sync(&self, change: Change) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.faults.no_sync || inner.injects_error() {
            return Err(io_error());
        }
        inner.change(change);
        Ok(())
    }
}

/// A file of a [`Memory`] folder.
pub struct MemoryFile {
    folder: Memory,
    name: String,
    end: u64,
}

impl Append for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.folder.inner();
        let held: u64 = inner.files.values().map(|f| f.len() as u64).sum();
        let room = inner.faults.room.map_or(usize::MAX, |room| room.saturating_sub(held) as usize);
        let (injects_error, torn) = (inner.injects_error(), inner.faults.torn);
        let written = if injects_error { torn.min(bytes.len()) } else { room.min(bytes.len()) };
        if written > 0 {
            inner.change(Change::Write(self.name.clone(), self.end, bytes[..written].to_vec()));
        }
        match (injects_error, written < bytes.len()) {
            (true, _) => Err(io_error()),
            (_, true) => Err(no_space_error()),
            _ => {
                self.end += bytes.len() as u64;
                Ok(())
            }
        }
    }

    fn reserve(&mut self, length: u64) -> io::Result<()> {
        let mut inner = self.folder.inner();
        if inner.injects_error() {
            return Err(no_space_error());
        }
        inner.change(Change::Reserve(self.name.clone(), length));
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut inner = self.folder.inner();
        if inner.faults.no_truncate {
            return Err(io_error());
        }
        inner.change(Change::Truncate(self.name.clone(), length));
        self.end = length;
        Ok(())
    }

    fn syncer(&self) -> io::Result<Syncer> {
        let (folder, name) = (self.folder.clone(), self.name.clone());
        Ok(Box::new(move || folder.sync(Change::Sync(name))))
    }
}
