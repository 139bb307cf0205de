//! The file system as the store sees it: a folder of append-only files. Behind a trait, so that tests can cut,
//! tear, fill and fail it.

use std::cell::RefCell;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Makes what was written last; may run on a thread of its own.
pub type Syncer = Box<dyn FnOnce() -> io::Result<()> + Send>;

/// A folder that only this process writes to.
pub trait Folder {
    /// A file that is open for appending.
    type File: Append;
    /// Names and sizes of the files.
    ///
    /// # Errors
    /// As the file system says; so for all functions here.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Makes a file that must not exist yet.
    ///
    /// # Errors
    /// Also where the file exists.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// Opens a file for appending.
    ///
    /// # Errors
    /// Also where there is none.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Fills the buffer from this offset on.
    ///
    /// # Errors
    /// Also where the file ends before that.
    fn read_at(&self, name: &str, at: u64, buffer: &mut [u8]) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// As the file system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes what was created and removed last.
    ///
    /// # Errors
    /// As the file system says.
    fn syncer(&self) -> io::Result<Syncer>;
    /// How a file is named to people.
    fn show(&self, name: &str) -> String;
}

/// A file that grows at its end.
pub trait Append {
    /// Writes all of it at the end of the file.
    ///
    /// # Errors
    /// Part of it may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Gives the file this length ahead of what will be appended, with zeros: to sync what is written within a
    /// file's length costs less than to sync its growth. What is appended goes where it would have gone.
    ///
    /// # Errors
    /// As the file system says.
    fn reserve(&mut self, length: u64) -> io::Result<()>;
    /// Cuts the file to this length.
    ///
    /// # Errors
    /// As the file system says.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes what was appended so far last, once it is called.
    ///
    /// # Errors
    /// As the file system says.
    fn syncer(&self) -> io::Result<Syncer>;
}

/// A folder of the real file system.
pub struct Disk {
    path: PathBuf,
    /// Held for as long as the folder is written to.
    _lock: Option<File>,
    /// The file read last: who reads all values reads many from each.
    last_read: RefCell<Option<(String, File)>>,
}

const LOCK: &str = "lock";
const LOCK_WITHIN: Duration = Duration::from_millis(1_000);
const LOCK_AGAIN: Duration = Duration::from_millis(20);

impl Disk {
    /// Makes the folder if need be and locks it for this process.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] where another process holds it.
    pub fn open(path: &Path) -> io::Result<Self> {
        Self::open_within(path, LOCK_WITHIN)
    }

    /// The same, waiting no longer than this for another process to let go of it.
    ///
    /// # Errors
    /// As there.
    pub fn open_within(path: &Path, within: Duration) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK))?;
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
                // A process that is just ending, or one that is between fork and exec, holds it a little longer.
                Err(TryLockError::WouldBlock) if began.elapsed() < within => thread::sleep(LOCK_AGAIN),
                Err(TryLockError::WouldBlock) => {
                    let why = format!("{} is in use by another process", path.display());
                    return Err(io::Error::new(io::ErrorKind::WouldBlock, why));
                }
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
    }

    /// The folder for reading alone, also while another process writes to it.
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
                // Gone since it was listed.
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
    /// Where the next bytes go.
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
