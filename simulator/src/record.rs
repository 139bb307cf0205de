//! Recordings of all processes of a day in the format of the daemons: one file per process, with all its
//! incarnations.
//!
//! Invariant: recording does not change the run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use millpost_protocol::frame::Head;
use millpost_protocol::line::Sink;

/// Wall-clock time at the start of the day, in milliseconds of Unix time.
const BEGINS_MS: u64 = 1_700_000_000_000;

/// Output of one process.
type Out = Rc<RefCell<Box<dyn Write>>>;
/// Opens the output for `machine/process`.
type Open = Box<dyn Fn(&str) -> std::io::Result<Box<dyn Write>>>;

/// Destination of the recordings of all processes.
#[derive(Clone)]
pub struct Recordings {
    open: Rc<Open>,
    outs: Rc<RefCell<BTreeMap<String, Out>>>,
    failed: Rc<RefCell<Option<std::io::Error>>>,
}

/// Recordings in memory, by process.
pub type InMemory = Rc<RefCell<BTreeMap<String, Vec<u8>>>>;

struct MemoryWriter(InMemory, String);

impl Write for MemoryWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.borrow_mut().entry(self.1.clone()).or_default().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Recordings {
    fn to(open: Open) -> Self {
        Recordings { open: Rc::new(open), outs: Rc::default(), failed: Rc::default() }
    }

    /// Writes to files in this folder, named like `edge-0-0.stall.jsonl`. Truncates existing files. Fails if
    /// the folder cannot be created.
    pub fn folder(path: &Path) -> std::io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let folder = PathBuf::from(path);
        Ok(Recordings::to(Box::new(move |of| {
            let file = std::fs::File::create(folder.join(format!("{}.jsonl", of.replace('/', "."))))?;
            Ok(Box::new(std::io::BufWriter::with_capacity(1 << 18, file)) as Box<dyn Write>)
        })))
    }

    /// Keeps the recordings in memory.
    pub fn in_memory() -> (Self, InMemory) {
        let kept = InMemory::default();
        let of = Rc::clone(&kept);
        let open =
            move |name: &str| Ok(Box::new(MemoryWriter(Rc::clone(&of), name.to_owned())) as Box<dyn Write>);
        (Recordings::to(Box::new(open)), kept)
    }

    fn out(&self, of: &str) -> std::io::Result<Out> {
        if let Some(out) = self.outs.borrow().get(of) {
            return Ok(Rc::clone(out));
        }
        let out: Out = Rc::new(RefCell::new((self.open)(of)?));
        self.outs.borrow_mut().insert(of.to_owned(), Rc::clone(&out));
        Ok(out)
    }

    /// Starts the recording of a new incarnation of a process, with its header line.
    pub fn begin_incarnation(&self, machine: &str, process: &str, incarnation: u64) -> Sink {
        let mut sink = self.sink(machine, process);
        sink(&Head::new(machine, process, incarnation, BEGINS_MS).line());
        sink
    }

    /// Appends to the recording of the current incarnation.
    pub fn sink(&self, machine: &str, process: &str) -> Sink {
        let failed = Rc::clone(&self.failed);
        match self.out(&format!("{machine}/{process}")) {
            Ok(out) => Box::new(move |line| {
                if let Err(e) = writeln!(out.borrow_mut(), "{line}") {
                    failed.borrow_mut().get_or_insert(e);
                }
            }),
            Err(e) => {
                failed.borrow_mut().get_or_insert(e);
                Box::new(|_| {})
            }
        }
    }

    /// Flushes all outputs; returns the first error of any write.
    pub fn end(&self) -> std::io::Result<()> {
        for out in self.outs.borrow().values() {
            out.borrow_mut().flush()?;
        }
        self.failed.borrow_mut().take().map_or(Ok(()), Err)
    }
}
