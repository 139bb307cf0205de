//! The journal that the store replaced, kept unchanged for comparison: accepted messages, in a folder that
//! outlives the process.
//!
//! One append-only file of records, each with its length and checksum. A record is written before the action
//! it describes: `taken` before the client is answered, `begun` before the first byte of the call. Plain
//! writes are enough, since the folder survives the process and is lost only with the machine.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
type Nanos = u64;

const FILE: &str = "journal";
const NEW_FILE: &str = "journal.new";
/// Length of a record's header: its length and checksum.
const HEAD: u64 = 8;
/// Maximum length of a record in bytes; more than a message with its body needs.
const LONGEST: usize = 256 * 1024;
/// File sizes are rounded up to a multiple of this many bytes.
const STEP: u64 = 512;
/// Maximum size of a message's collapsed history in bytes.
const HISTORY: u64 = 96;
/// Bytes reserved per message for the records after `taken`: attempts, outcomes, its end.
const LATER: u64 = 512;
/// The file is compacted once the records of finished messages exceed the rest by this many bytes.
const SLACK: u64 = 256 * 1024;

/// Errors of the journal.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The write would exceed the size limit of the folder.
    #[error("the state folder has reached its size limit")]
    Full,
    /// The file system returned an error.
    #[error("cannot write the journal: {0}")]
    Io(#[from] io::Error),
}

/// A message as stored in the journal. Times are wall-clock nanoseconds since 1970.
#[derive(Clone, Debug, PartialEq)]
pub struct Taken {
    pub reference: String,
    pub class: u32,
    pub dest: u64,
    pub deadline: Nanos,
    pub key: Option<Bytes>,
    pub body: Bytes,
}

/// Delivery history of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct History {
    pub attempts: u32,
    pub first_sent: Nanos,
    /// Start and zone of the earliest attempt that may have run.
    pub may_have_run: Option<(Nanos, u32)>,
    /// Start and zone of the attempt that has no outcome yet.
    pub out: Option<(Nanos, u32)>,
    /// The final answer, once decided. The client must be notified of it until it acknowledges the notice.
    pub answer: Option<Answer>,
}

/// A final answer that finishes a message without delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Failed,
    Refused { wait_ms: u64 },
}

#[derive(Clone)]
struct Kept {
    /// The `taken` record as written, header included.
    record: Bytes,
    at: Nanos,
    history: History,
}

/// A message found on opening.
pub struct Found {
    pub id: u64,
    pub taken: Taken,
    pub history: History,
}

pub struct Journal {
    folder: PathBuf,
    file: File,
    size: u64,
    limit: u64,
    kept: BTreeMap<u64, Kept>,
    /// Total size of the `taken` records of `kept` in bytes.
    weight: u64,
    next: u64,
    /// Whether a write failed within a record. Nothing may be appended before the file is rewritten.
    torn: bool,
}

fn rounded(size: u64) -> u64 {
    size.div_ceil(STEP) * STEP
}

/// Encodes a record: the header, then the fields.
struct Record(Vec<u8>);

impl Record {
    fn new(kind: u8, id: u64) -> Self {
        let mut bytes = vec![0; HEAD as usize];
        bytes.push(kind);
        bytes.extend_from_slice(&id.to_le_bytes());
        Record(bytes)
    }
    fn u32(mut self, n: u32) -> Self {
        self.0.extend_from_slice(&n.to_le_bytes());
        self
    }
    fn u64(mut self, n: u64) -> Self {
        self.0.extend_from_slice(&n.to_le_bytes());
        self
    }
    fn bytes(self, bytes: &[u8]) -> Self {
        let mut this = self.u32(bytes.len() as u32);
        this.0.extend_from_slice(bytes);
        this
    }
    fn sealed(mut self) -> Vec<u8> {
        let (head, rest) = self.0.split_at_mut(HEAD as usize);
        head[..4].copy_from_slice(&(rest.len() as u32).to_le_bytes());
        head[4..].copy_from_slice(&crc32fast::hash(rest).to_le_bytes());
        self.0
    }
}

const TAKEN: u8 = 1;
const BEGUN: u8 = 2;
const NEVER_RAN: u8 = 3;
const MAY_HAVE_RUN: u8 = 4;
const ANSWERED: u8 = 5;
const ENDED: u8 = 6;
const HISTORY_SO_FAR: u8 = 7;

/// Decodes a record; each method returns `None` past its end.
struct Reader(Bytes);

impl Reader {
    fn take(&mut self, n: usize) -> Option<Bytes> {
        (self.0.len() >= n).then(|| self.0.split_to(n))
    }
    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn u32(&mut self) -> Option<u32> {
        self.take(4)?.as_ref().try_into().ok().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
        self.take(8)?.as_ref().try_into().ok().map(u64::from_le_bytes)
    }
    fn bytes(&mut self) -> Option<Bytes> {
        let n = self.u32()?;
        self.take(n as usize)
    }
    fn time_and_zone(&mut self) -> Option<Option<(Nanos, u32)>> {
        let (at, zone) = (self.u64()?, self.u32()?);
        Some((at > 0).then_some((at, zone)))
    }
    fn answer(&mut self) -> Option<Option<Answer>> {
        let (kind, wait_ms) = (self.u32()?, self.u64()?);
        Some(match kind {
            1 => Some(Answer::Failed),
            2 => Some(Answer::Refused { wait_ms }),
            _ => None,
        })
    }
}

fn taken_record(id: u64, at: Nanos, taken: &Taken) -> Vec<u8> {
    let record = Record::new(TAKEN, id).u32(taken.class).u64(taken.dest).u64(at).u64(taken.deadline);
    let record = record.bytes(taken.reference.as_bytes());
    let record = match &taken.key {
        Some(key) => record.u32(1).bytes(key),
        None => record.u32(0),
    };
    record.bytes(&taken.body).sealed()
}

fn read_taken(mut body: Reader) -> Option<(Taken, Nanos)> {
    let (class, dest, at, deadline) = (body.u32()?, body.u64()?, body.u64()?, body.u64()?);
    let reference = String::from_utf8(body.bytes()?.to_vec()).ok()?;
    let key = if body.u32()? == 1 { Some(body.bytes()?) } else { None };
    Some((Taken { reference, class, dest, deadline, key, body: body.bytes()? }, at))
}

fn answer_parts(record: Record, answer: Option<Answer>) -> Record {
    match answer {
        None => record.u32(0).u64(0),
        Some(Answer::Failed) => record.u32(1).u64(0),
        Some(Answer::Refused { wait_ms }) => record.u32(2).u64(wait_ms),
    }
}

fn history_record(id: u64, history: &History) -> Vec<u8> {
    let pair = |p: Option<(Nanos, u32)>| p.unwrap_or((0, 0));
    let ((ran_at, ran_zone), (out_at, out_zone)) = (pair(history.may_have_run), pair(history.out));
    let record = Record::new(HISTORY_SO_FAR, id).u32(history.attempts).u64(history.first_sent);
    answer_parts(record.u64(ran_at).u32(ran_zone).u64(out_at).u32(out_zone), history.answer).sealed()
}

/// Returns the next complete record from `at` and its end. The body is `None` if the checksum is wrong.
fn next_record(data: &Bytes, at: usize) -> Option<(Option<Bytes>, usize)> {
    let mut head = Reader(data.slice(at..));
    let (length, sum) = (head.u32()? as usize, head.u32()?);
    if length > LONGEST || length == 0 {
        return None;
    }
    let body = head.take(length)?;
    let good = crc32fast::hash(&body) == sum;
    Some((good.then_some(body), at + HEAD as usize + length))
}

impl Journal {
    /// Opens the journal in `folder` and returns the unfinished messages. A torn tail is dropped; damage is
    /// never an error.
    pub fn open(folder: &Path, limit: u64) -> Result<(Self, Vec<Found>), Error> {
        fs::create_dir_all(folder)?;
        // Left over from an interrupted compaction; the old file is still complete.
        match fs::remove_file(folder.join(NEW_FILE)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let data = match fs::read(folder.join(FILE)) {
            Ok(data) => Bytes::from(data),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Bytes::new(),
            Err(e) => return Err(e.into()),
        };
        let file = OpenOptions::new().create(true).append(true).open(folder.join(FILE))?;
        let mut journal = Journal {
            folder: folder.to_owned(),
            file,
            size: data.len() as u64,
            limit,
            kept: BTreeMap::new(),
            weight: 0,
            next: 1,
            torn: false,
        };
        let (good, damaged) = journal.replay(&data);
        if damaged {
            // Lost records may have recorded attempts: any message may have run since it was accepted.
            for kept in journal.kept.values_mut() {
                let history = &mut kept.history;
                history.attempts = history.attempts.max(1);
                history.first_sent = kept.at;
                history.may_have_run = Some((kept.at, 0));
            }
        }
        if good < data.len() as u64 {
            // The tail must be removed before anything is appended; rewriting the file removes it as well.
            journal.torn = journal.file.set_len(good).is_err();
            journal.size = if journal.torn { journal.size } else { good };
        }
        if damaged || journal.size > journal.snapshot_size() + SLACK {
            // A failure is harmless: the next write compacts again if necessary.
            let _ = journal.compact();
        }
        let found = |(id, kept): (&u64, &Kept)| {
            let (taken, _) = read_taken(Reader(kept.record.slice(HEAD as usize + 9..)))?;
            Some(Found { id: *id, taken, history: kept.history })
        };
        let found = journal.kept.iter().filter_map(found).collect();
        Ok((journal, found))
    }

    /// Replays the records of `data`. Returns where the good ones end, and whether any before that was
    /// damaged.
    fn replay(&mut self, data: &Bytes) -> (u64, bool) {
        let (mut at, mut good, mut skipped, mut damaged) = (0, 0, false, false);
        while let Some((body, end)) = next_record(data, at) {
            match body {
                Some(body) => {
                    damaged |= skipped || self.replay_one(body, data.slice(at..end)).is_none();
                    (good, skipped) = (end as u64, false);
                }
                None => skipped = true,
            }
            at = end;
        }
        // A tail truncated by an interrupted write is not damage, because nothing was done before the write
        // returned. A complete record with a wrong checksum is.
        (good, damaged || skipped)
    }

    fn replay_one(&mut self, body: Bytes, record: Bytes) -> Option<()> {
        let mut body = Reader(body);
        let (kind, id) = (body.u8()?, body.u64()?);
        self.next = self.next.max(id.saturating_add(1));
        if kind == TAKEN {
            let (_, at) = read_taken(body)?;
            self.weight += record.len() as u64;
            // Copied, because a slice would keep the whole file in memory while this message is pending.
            let record = Bytes::copy_from_slice(&record);
            self.kept.insert(id, Kept { record, at, history: History::default() });
            return Some(());
        }
        // Records of a finished message are ignored.
        let Some(kept) = self.kept.get_mut(&id) else { return Some(()) };
        let history = &mut kept.history;
        match kind {
            BEGUN => history.begin(body.u64()?, body.u32()?),
            NEVER_RAN => history.over(true),
            MAY_HAVE_RUN => history.over(false),
            ANSWERED => history.answer = body.answer()?,
            ENDED => self.forget(id),
            HISTORY_SO_FAR => {
                *history = History {
                    attempts: body.u32()?,
                    first_sent: body.u64()?,
                    may_have_run: body.time_and_zone()?,
                    out: body.time_and_zone()?,
                    answer: body.answer()?,
                }
            }
            _ => return None,
        }
        Some(())
    }

    /// Returns the number of unfinished messages.
    pub fn count(&self) -> usize {
        self.kept.len()
    }

    fn forget(&mut self, id: u64) {
        if let Some(kept) = self.kept.remove(&id) {
            self.weight -= kept.record.len() as u64;
        }
    }

    fn snapshot_size(&self) -> u64 {
        self.weight + HISTORY * self.kept.len() as u64
    }

    /// Stores a message. Once this returns its number, the message survives the process. The body is returned
    /// as a slice of the record, so that it is in memory once and the buffer it was read into can be freed.
    pub fn take(&mut self, now: Nanos, taken: &Taken) -> Result<(u64, Bytes), Error> {
        let id = self.next;
        let record = Bytes::from(taken_record(id, now, taken));
        if self.size > self.snapshot_size() * 2 + SLACK {
            self.compact()?;
        }
        if !self.has_room(record.len() as u64) {
            // Enforces the limit for the old and the new file together. Without anything to drop, a full
            // journal is not rewritten for each message that it rejects.
            if self.size > self.snapshot_size() {
                self.compact()?;
            }
            if !self.has_room(record.len() as u64) {
                return Err(Error::Full);
            }
        }
        self.append(&record)?;
        self.next += 1;
        self.weight += record.len() as u64;
        let body = record.slice(record.len() - taken.body.len()..);
        self.kept.insert(id, Kept { record, at: now, history: History::default() });
        Ok((id, body))
    }

    /// Whether the file and its successor stay under the limit with one more message of this size and all
    /// later records of the messages kept.
    fn has_room(&self, more: u64) -> bool {
        let count = self.kept.len() as u64 + 1;
        let file = rounded(self.size + more + LATER * count);
        file + rounded(self.weight + more + HISTORY * count) <= self.limit
    }

    /// Records that an attempt starts. Nothing may be sent before this has returned.
    pub fn begin(&mut self, id: u64, now: Nanos, zone: u32) -> Result<(), Error> {
        self.append(&Record::new(BEGUN, id).u64(now).u32(zone).sealed())?;
        self.kept.entry(id).and_modify(|k| k.history.begin(now, zone));
        Ok(())
    }

    /// Records that the attempt in flight ended without delivery.
    pub fn outcome(&mut self, id: u64, never_ran: bool) -> Result<(), Error> {
        let kind = if never_ran { NEVER_RAN } else { MAY_HAVE_RUN };
        self.append(&Record::new(kind, id).sealed())?;
        self.kept.entry(id).and_modify(|k| k.history.over(never_ran));
        Ok(())
    }

    /// Records the final answer, of which the client is still to be notified.
    pub fn answer(&mut self, id: u64, answer: Answer) -> Result<(), Error> {
        self.append(&answer_parts(Record::new(ANSWERED, id), Some(answer)).sealed())?;
        let Some(kept) = self.kept.get_mut(&id) else { return Ok(()) };
        kept.history.answer = Some(answer);
        // The message is not sent again, so its body is dropped.
        if let Some((taken, at)) = read_taken(Reader(kept.record.slice(HEAD as usize + 9..))) {
            let record = taken_record(id, at, &Taken { body: Bytes::new(), ..taken });
            self.weight -= (kept.record.len() - record.len()) as u64;
            kept.record = record.into();
        }
        Ok(())
    }

    /// Removes a finished message.
    pub fn end(&mut self, id: u64) -> Result<(), Error> {
        let done = self.append(&Record::new(ENDED, id).sealed());
        self.forget(id);
        done
    }

    fn append(&mut self, record: &[u8]) -> Result<(), Error> {
        if self.torn {
            self.compact()?;
        }
        if let Err(e) = self.file.write_all(record) {
            // Records after a partial record could not be read back, so the partial record is truncated.
            self.torn = self.file.set_len(self.size).is_err();
            return Err(e.into());
        }
        self.size += record.len() as u64;
        Ok(())
    }

    /// Writes the unfinished messages to a new file, which then replaces the old one atomically.
    fn compact(&mut self) -> Result<(), Error> {
        // The size is computed first and the records are written one by one: a copy of all of them would need
        // memory just when many messages are pending.
        let told = |id: &u64, kept: &Kept| {
            (kept.history != History::default()).then(|| history_record(*id, &kept.history))
        };
        let sizes =
            self.kept.iter().map(|(id, kept)| kept.record.len() + told(id, kept).map_or(0, |h| h.len()));
        let size = sizes.sum::<usize>() as u64;
        if rounded(self.size) + rounded(size) > self.limit {
            return Err(Error::Full);
        }
        let new = self.folder.join(NEW_FILE);
        let write = || {
            let mut file = BufWriter::new(File::create(&new)?);
            for (id, kept) in &self.kept {
                file.write_all(&kept.record)?;
                file.write_all(&told(id, kept).unwrap_or_default())?;
            }
            file.flush()?;
            fs::rename(&new, self.folder.join(FILE))
        };
        if let Err(e) = write() {
            let _ = fs::remove_file(&new);
            return Err(e.into());
        }
        // The path now names the new file: an append to the old one would be lost.
        self.torn = true;
        self.file = OpenOptions::new().append(true).open(self.folder.join(FILE))?;
        (self.size, self.torn) = (size, false);
        Ok(())
    }
}

impl History {
    fn begin(&mut self, at: Nanos, zone: u32) {
        if self.attempts == 0 {
            self.first_sent = at;
        }
        self.attempts += 1;
        self.out = Some((at, zone));
    }
    fn over(&mut self, never_ran: bool) {
        let out = self.out.take();
        if !never_ran {
            self.may_have_run = self.may_have_run.or(out);
        }
    }
}
