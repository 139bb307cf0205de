//! The file system interface of the store: a folder of append-only files. It is a trait, so that tests can
//! truncate files, tear writes, exhaust the space and inject errors.

use std::cell::RefCell;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Syncs what was written before it was created. May run on another thread.
pub type Syncer = Box<dyn FnOnce() -> io::Result<()> + Send>;

/// A folder to which only this process writes.
pub trait Folder {
    /// A file opened for appending.
    type File: Append;
    /// Lists the names and sizes in bytes of the files.
    ///
    /// # Errors
    /// Errors of the file system.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Creates a file.
    ///
    /// # Errors
    /// Errors of the file system; [`io::ErrorKind::AlreadyExists`] if the file exists.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// Opens a file for appending.
    ///
    /// # Errors
    /// Errors of the file system; also if the file does not exist.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Fills the buffer with the bytes from offset `at` on.
    ///
    /// # Errors
    /// Errors of the file system; also if the file ends before the buffer is full.
    fn read_at(&self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// Errors of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Returns a syncer for the files created and removed so far.
    ///
    /// # Errors
    /// Errors of the file system.
    fn syncer(&self) -> io::Result<Syncer>;
    /// Returns the name of a file for messages; an empty name denotes the folder.
    fn show(&self, name: &str) -> String;
}

/// An append-only file.
pub trait Append {
    /// Writes all bytes at the end of the file.
    ///
    /// # Errors
    /// Errors of the file system. Part of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Preallocates the file to this length with zeros: syncing writes within a file's length is cheaper
    /// than syncing its growth. The position of the next append does not change.
    ///
    /// # Errors
    /// Errors of the file system.
    fn reserve(&mut self, length: u64) -> io::Result<()>;
    /// Truncates the file to this length.
    ///
    /// # Errors
    /// Errors of the file system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Returns a syncer for what was appended so far.
    ///
    /// # Errors
    /// Errors of the file system.
    fn syncer(&self) -> io::Result<Syncer>;
}

/// A folder on disk.
pub struct Disk {
    path: PathBuf,
    /// The lock file, locked while the folder is open for writing.
    _lock: Option<File>,
    /// The file read last, kept open because successive reads are mostly from the same file.
    last_read: RefCell<Option<(String, File)>>,
}

const LOCK_FILE: &str = "lock";
const LOCK_TIMEOUT: Duration = Duration::from_millis(1_000);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl Disk {
    /// Creates the folder if necessary and locks it for this process.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if another process holds the lock for longer than one second.
    pub fn open(path: &Path) -> io::Result<Self> {
        Self::open_within(path, LOCK_TIMEOUT)
    }

    /// Like [`Self::open`], waiting at most `timeout` for another process to release the lock.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if another process holds the lock for longer.
    pub fn open_within(path: &Path, timeout: Duration) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        let began = Instant::now();
        loop {
            match lock.try_lock() {
                Ok(()) => {
                    return Ok(Disk {
                        path: path.to_owned(),
                        _lock: Some(lock),
                        last_read: RefCell::default(),
                    });
                }
                // A process that is exiting, or that is between fork and exec, holds the lock briefly.
                Err(TryLockError::WouldBlock) if began.elapsed() < timeout => {
                    thread::sleep(LOCK_RETRY_INTERVAL)
                }
                Err(TryLockError::WouldBlock) => {
                    let message = format!("{} is in use by another process", path.display());
                    return Err(io::Error::new(io::ErrorKind::WouldBlock, message));
                }
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
    }

    /// Opens the folder for reading only, which is possible while another process writes to it.
    pub fn read_only(path: &Path) -> Self {
        Disk { path: path.to_owned(), _lock: None, last_read: RefCell::default() }
    }
}

impl Folder for Disk {
    type File = DiskFile;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            match entry.metadata() {
                Ok(meta) if meta.is_file() => {
                    all.push((entry.file_name().to_string_lossy().into_owned(), meta.len()))
                }
                // The file was removed after it was listed.
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        Ok(all)
    }

    fn create(&mut self, name: &str) -> io::Result<DiskFile> {
        self.last_read.take();
        let file = OpenOptions::new().write(true).create_new(true).open(self.path.join(name))?;
        Ok(DiskFile { file: Arc::new(file), end: 0 })
    }

    fn open(&mut self, name: &str) -> io::Result<DiskFile> {
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        let end = file.metadata()?.len();
        Ok(DiskFile { file: Arc::new(file), end })
    }

    fn read_at(&self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        let mut last = self.last_read.borrow_mut();
        match &*last {
            Some((its, file)) if its == name => file.read_exact_at(buffer, at),
            _ => {
                let file = File::open(self.path.join(name))?;
                let done = file.read_exact_at(buffer, at);
                *last = Some((name.to_owned(), file));
                done
            }
        }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.last_read.take();
        fs::remove_file(self.path.join(name))
    }

    fn syncer(&self) -> io::Result<Syncer> {
        let folder = File::open(&self.path)?;
        Ok(Box::new(move || folder.sync_all()))
    }

    fn show(&self, name: &str) -> String {
        self.path.join(name).display().to_string()
    }
}

/// A file of a [`Disk`].
pub struct DiskFile {
    file: Arc<File>,
    /// Offset of the next append.
    end: u64,
}

impl Append for DiskFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, self.end)?;
        self.end += bytes.len() as u64;
        Ok(())
    }

    fn reserve(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length.max(self.end))
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)?;
        self.end = length;
        Ok(())
    }

    fn syncer(&self) -> io::Result<Syncer> {
        let file = self.file.clone();
        Ok(Box::new(move || file.sync_data()))
    }
}
