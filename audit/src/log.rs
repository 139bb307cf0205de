//! The log that a dispatcher keeps: segments in a folder of its own, within a budget of disk.
//!
//! Kept invariants:
//! - what was noted before [`Log::write`] outlives the process once that returns, and what a crash cuts off is one frame;
//! - the folder never holds more than the budget: the oldest segment goes out before a new one comes;
//! - what could not be written, or is out, is counted: the numbers of records show the gap.
//!
//! Nothing here fails a dispatcher: a write that fails costs records, never a decision.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use millpost_tier::versions::{ActiveVersions, Kind};

use crate::Nanos;
use crate::entry::{Author, End, Entry, Head, State};
use crate::segment::{LONGEST, Reader, Writer};

/// Segments that a budget is cut into.
const SEGMENTS: u64 = 8;
/// The least budget, bytes.
pub const LEAST_BUDGET: u64 = 1 << 20;
/// A frame is closed beyond this, bytes.
const FRAME: usize = LONGEST / 4;
/// After a failed write the next try is so many records later.
const TRY_AGAIN: u64 = 64;

/// How file names end.
pub const ENDING: &str = "audit";

/// The numbers of a folder's segments, in their order.
///
/// # Errors
/// Where the folder can't be read.
pub fn segments(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let stem = path.file_stem().and_then(|stem| stem.to_str()).and_then(|stem| stem.parse().ok());
        if let Some(number) = stem.filter(|_| path.extension().is_some_and(|ending| ending == ENDING)) {
            all.push((number, path));
        }
    }
    all.sort_unstable();
    Ok(all)
}

/// A dispatcher's log.
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    budget: u64,
    author: Author,
    file: Option<File>,
    writer: Writer,
    /// The number of the segment, and its length as far as it was written whole.
    number: u64,
    length: u64,
    /// Records so far, in the life of the folder.
    records: u64,
    /// Lost since the last that could be written, and when the next try is.
    lost: u64,
    try_at: u64,
    /// What is named in this segment, by its number there.
    messages: HashMap<u64, u32>,
    next_message: u32,
    endpoints: HashMap<u64, u32>,
    standing: ActiveVersions,
    /// The number of the standing in force; none was named in this segment yet where there is none.
    standings: u32,
    named: bool,
    /// What each endpoint is, for the next segment to begin with; and the service.
    states: HashMap<u64, (u64, State)>,
    service: Option<Kind>,
    failed: Option<io::ErrorKind>,
    /// A segment is being begun: it is not ended by what it begins with.
    beginning: bool,
    /// Bytes written.
    bytes: u64,
    buffer: Vec<u8>,
}

impl Log {
    /// Goes on in a folder, which is made where it is missing.
    ///
    /// # Errors
    /// Where the folder can't be made, read, or written to.
    pub fn open(folder: &Path, budget: u64, author: Author, now: Nanos) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let before = segments(folder)?;
        let records = match before.last() {
            Some((_, path)) => last_record(&std::fs::read(path)?),
            None => 0,
        };
        let mut log = Log {
            folder: folder.to_owned(),
            budget: budget.max(LEAST_BUDGET),
            author,
            file: None,
            writer: Writer::default(),
            number: before.last().map_or(0, |(number, _)| *number),
            length: 0,
            records,
            lost: 0,
            try_at: 0,
            messages: HashMap::new(),
            next_message: 0,
            endpoints: HashMap::new(),
            standing: ActiveVersions::default(),
            standings: 0,
            named: false,
            states: HashMap::new(),
            service: None,
            failed: None,
            beginning: false,
            bytes: 0,
            buffer: Vec::new(),
        };
        log.begin(now, true)?;
        Ok(log)
    }

    /// A new segment; the oldest ones go out for it.
    fn begin(&mut self, now: Nanos, begins: bool) -> io::Result<()> {
        let most = self.budget / SEGMENTS;
        let mut all = Vec::new();
        for (_, path) in segments(&self.folder)? {
            let length = path.metadata()?.len();
            all.push((path, length));
        }
        let mut taken: u64 = all.iter().map(|(_, length)| length).sum();
        for (path, length) in all {
            if taken + most + 2 * FRAME as u64 <= self.budget {
                break;
            }
            std::fs::remove_file(&path)?;
            taken -= length;
        }
        let number = self.number + 1;
        let path = self.folder.join(format!("{number:09}.{ENDING}"));
        let mut file = OpenOptions::new().create_new(true).append(true).open(&path)?;
        let head = Head { author: self.author.clone(), first: self.records, at: now, begins };
        let (writer, bytes) = Writer::begin(&head);
        file.write_all(&bytes)?;
        (self.file, self.writer, self.number, self.length) = (Some(file), writer, number, bytes.len() as u64);
        self.bytes += bytes.len() as u64;
        (self.next_message, self.standings, self.named) = (0, 0, false);
        self.messages.clear();
        self.endpoints.clear();
        // So that a segment can be read without those before it.
        self.beginning = true;
        if !begins {
            let states: Vec<_> = self.states.iter().map(|(place, of)| (*place, *of)).collect();
            for (place, (dest, state)) in states {
                let endpoint = self.endpoint(now, place, dest);
                self.add(now, &Entry::State { endpoint, state });
            }
            if self.service.is_some() {
                self.add(now, &Entry::Service(self.service));
            }
        }
        self.beginning = false;
        Ok(())
    }

    fn add(&mut self, now: Nanos, entry: &Entry) {
        self.records += 1;
        if self.file.is_none() {
            self.lost += 1;
            return;
        }
        self.writer.add(now, entry);
        if self.writer.waits() > FRAME {
            self.write(now);
        }
    }

    /// What was noted goes out. Called before anything that was decided does.
    pub fn write(&mut self, now: Nanos) {
        if self.writer.waits() == 0 && self.lost == 0 {
            return;
        }
        if self.file.is_none() {
            if self.records < self.try_at {
                return;
            }
            if let Err(e) = self.begin(now, false) {
                return self.fails(&e);
            }
        }
        if self.lost > 0 {
            let lost = std::mem::take(&mut self.lost);
            self.records += 1;
            self.writer.add(now, &Entry::Lost(lost));
        }
        let records = self.writer.records();
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        self.writer.finish(&mut buffer);
        let written = self.file.as_mut().map_or(Ok(()), |file| file.write_all(&buffer));
        let length = buffer.len() as u64;
        self.buffer = buffer;
        match written {
            Ok(()) => {
                (self.length, self.bytes) = (self.length + length, self.bytes + length);
                self.failed = None;
                if self.length >= self.budget / SEGMENTS
                    && !self.beginning
                    && let Err(e) = self.begin(now, false)
                {
                    self.fails(&e);
                }
            }
            Err(e) => {
                // Half a frame would hide what follows.
                if let Some(file) = &self.file {
                    let _ = file.set_len(self.length);
                }
                self.lost += records;
                self.fails(&e);
            }
        }
    }

    fn fails(&mut self, why: &io::Error) {
        if self.failed.replace(why.kind()).is_none() {
            eprintln!(
                "audit: {}: {why}; what is decided meanwhile is counted as lost",
                self.folder.display()
            );
        }
        self.file = None;
        self.try_at = self.records + TRY_AGAIN;
    }

    fn standing(&mut self, now: Nanos) -> u32 {
        if !self.named {
            self.named = true;
            self.standings += 1;
            self.add(now, &Entry::Standing(Box::new(self.standing)));
        }
        self.standings.saturating_sub(1)
    }

    fn endpoint(&mut self, now: Nanos, place: u64, dest: u64) -> u32 {
        if let Some(number) = self.endpoints.get(&place) {
            return *number;
        }
        let number = self.endpoints.len() as u32;
        self.endpoints.insert(place, number);
        self.add(now, &Entry::Endpoint(place, dest));
        number
    }

    fn numbered(&mut self, now: Nanos, id: u64) -> u32 {
        if let Some(number) = self.messages.get(&id) {
            return *number;
        }
        let number = self.next_message;
        self.next_message += 1;
        self.messages.insert(id, number);
        self.add(now, &Entry::Message(id.to_le_bytes()));
        number
    }

    /// What is acted on from now on; the number that decisions name it by, until it changes.
    pub fn acts_on(&mut self, now: Nanos, standing: ActiveVersions) -> Stood {
        if standing != self.standing {
            (self.standing, self.named) = (standing, false);
        }
        let number = self.standing(now);
        Stood { segment: self.number, number, standing: self.standing }
    }

    /// A standing that a decision was made on a while ago: by its number here.
    fn stood(&mut self, now: Nanos, on: Stood) -> u32 {
        if on.segment == self.number {
            return on.number;
        }
        // In a segment that is over: it is named once more, and what is in force after it.
        let now_in_force = std::mem::replace(&mut self.standing, on.standing);
        self.named = false;
        let number = self.standing(now);
        (self.standing, self.named) = (now_in_force, now_in_force == on.standing);
        number
    }

    /// A message is taken on, by what it is [known by](crate::message()) in logs.
    pub fn taken(&mut self, now: Nanos, id: u64, on: Stood) {
        let standing = self.stood(now, on);
        self.messages.insert(id, self.next_message);
        self.next_message += 1;
        self.add(now, &Entry::Taken { message: id.to_le_bytes(), standing });
    }

    /// A call is written, which was decided so long ago.
    pub fn attempt(&mut self, now: Nanos, id: u64, to: (u64, u64), on: Stood, ago: Nanos) {
        let standing = self.stood(now, on);
        let (message, endpoint) = (self.numbered(now, id), self.endpoint(now, to.0, to.1));
        let ago = (ago / 1_000_000).min(u32::MAX.into()) as u32;
        self.add(now, &Entry::Attempt { message, endpoint, standing, ago });
    }

    /// A message has its final answer.
    pub fn ended(&mut self, now: Nanos, id: u64, end: End, on: Stood) {
        let standing = self.stood(now, on);
        let message = self.numbered(now, id);
        self.messages.remove(&id);
        self.add(now, &Entry::Ended { message, end, standing });
    }

    /// A message is not taken on.
    pub fn refused(&mut self, now: Nanos, id: u64, wait: Nanos, on: Stood) {
        let standing = self.stood(now, on);
        let wait_ms = wait.div_ceil(1_000_000).min(u32::MAX.into()) as u32;
        self.add(now, &Entry::Refused { message: id.to_le_bytes(), standing, wait_ms });
    }

    /// An endpoint is so from now on.
    pub fn state(&mut self, now: Nanos, place: u64, dest: u64, state: State) {
        let before = match state {
            State::InService => self.states.remove(&place),
            _ => self.states.insert(place, (dest, state)),
        };
        if before.map_or(State::InService, |(_, state)| state) != state {
            let endpoint = self.endpoint(now, place, dest);
            self.add(now, &Entry::State { endpoint, state });
        }
        if state == State::Gone {
            // Nothing is sent to it by anybody who knows no address.
            self.states.remove(&place);
        }
    }

    /// An endpoint is listed that was not before: what was said of one of its name is over.
    pub fn appears(&mut self, now: Nanos, place: u64, dest: u64) {
        let endpoint = self.endpoint(now, place, dest);
        self.add(now, &Entry::State { endpoint, state: State::InService });
    }

    /// New messages are taken, or not since this is behind.
    pub fn service(&mut self, now: Nanos, out: Option<Kind>) {
        self.service = out;
        self.add(now, &Entry::Service(out));
    }

    /// A loan.
    pub fn loan(&mut self, now: Nanos, loan: &millpost_tier::Loan, left: Nanos, on: Stood) {
        let standing = self.stood(now, on);
        let millpost_tier::Loan { dest, peer, lent, part, epoch, .. } = *loan;
        let until_ms = left.div_ceil(1_000_000).min(u32::MAX.into()) as u32;
        self.add(now, &Entry::Loan { dest, peer, lent, part, until_ms, epoch, standing });
    }

    /// Anything else.
    pub fn note(&mut self, now: Nanos, entry: &Entry) {
        self.add(now, entry);
    }

    /// The process ends in order.
    pub fn end(&mut self, now: Nanos) {
        self.add(now, &Entry::Ends);
        self.write(now);
    }

    /// Records noted and bytes written by this process.
    pub fn written(&self) -> (u64, u64) {
        (self.records, self.bytes)
    }
}

/// A standing that a decision was made on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stood {
    segment: u64,
    number: u32,
    standing: ActiveVersions,
}

/// Records up to the end of a segment, in the life of its folder.
fn last_record(bytes: &[u8]) -> u64 {
    let Ok((head, mut reader)) = Reader::open(bytes) else { return 0 };
    let mut records = head.first;
    while let Ok(Some(_)) = reader.next() {
        records += 1;
    }
    records
}
