//! The store: tables of keys and values over one log of segments.
//!
//! Invariants kept here:
//!
//! - A batch takes effect as a whole or not at all, and the order of batches is that of their frames.
//! - The files never take more than the limit, compaction included; an append that is promised room always finds
//!   it, since new commitments are turned away before the live data could fill what compaction needs.
//! - A segment is removed only after all that is live in it has been written again (and, where durability is
//!   [`Durability::Machine`], synced), and always the oldest one first: so a deletion is needed no longer than
//!   the segments before it are there.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::ops::Bound;

use bytes::Bytes;

use crate::checkpoint::{self, Draft};
use crate::folder::{Append, Folder, Syncer};
use crate::format::{
    Batch, FRAME_HEADER_LEN, HEADER_LEN, Header, HeaderError, Item, MAX_BODY_LEN, MAX_KEY_LEN, Op,
    PUT_HEADER_LEN, Seed, Seq, ops,
};

/// Why the store refuses.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The limit of the folder would be passed.
    #[error("the store is full")]
    Full,
    /// A key, or a batch, is larger than a frame may hold.
    #[error("a batch of {0} bytes is too large")]
    TooLarge(usize),
    /// There is no such table.
    #[error("there is no table {0}")]
    NoTable(u8),
    /// A value can't be read back as it was written.
    #[error("{file}: a value is damaged")]
    Damaged {
        /// Where it was.
        file: String,
    },
    /// A file is not one of a store, or none that this version reads. It is left as it is.
    #[error("{file}: {why}")]
    Foreign {
        /// The file.
        file: String,
        /// What is wrong with it.
        why: String,
    },
    /// The file system refuses.
    #[error("{file}: {source}")]
    Io {
        /// The file or folder.
        file: String,
        /// What it says.
        source: io::Error,
    },
}

/// What a batch outlives once it is promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The process: plain writes.
    Process,
    /// The machine: a batch counts once it is synced; see [`Store::sync`] and [`Store::sync_job`].
    Machine,
}

/// How a store is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that its files may take together, each in whole 512 bytes.
    pub limit: u64,
    /// What a batch outlives.
    pub durability: Durability,
    /// Full segments get a checkpoint beside them, so that a start need not read them: worth its room where the
    /// limit is large.
    pub checkpoints: bool,
}

impl Options {
    /// With checkpoints where a start without them might have gigabytes to read.
    pub fn new(limit: u64, durability: Durability) -> Self {
        Options { limit, durability, checkpoints: limit >= CHECKPOINTS_FROM }
    }
}

/// Disk space counts in steps of this size.
const STEP: u64 = 512;
/// Segments are this part of the limit, within the bounds below.
const SEGMENTS: u64 = 24;
const SMALLEST_SEGMENT: u64 = 4 * 1024;
const LARGEST_SEGMENT: u64 = 4 * 1024 * 1024;
/// From this limit on checkpoints are worth a third more bytes written (docs/measurements.md).
const CHECKPOINTS_FROM: u64 = 1_000_000_000;
/// What is read of a segment in one step of compaction, at least and at most.
const SCAN_LEAST: usize = 8 * 1024;
const SCAN_MOST: usize = 256 * 1024;
/// Bytes scanned by compaction for each byte appended. With live data at its most this frees more than is added.
const SCAN_RATE: usize = 8;
/// Share of the limit, in eighths, that live data may take.
const LIVE_EIGHTHS: u64 = 5;

fn rounded(size: u64) -> u64 {
    size.div_ceil(STEP) * STEP
}

/// Name of a segment's file.
pub fn segment_name(number: u64) -> String {
    format!("{number:012}.seg")
}

/// Number of the segment that a file of this name is.
pub fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".seg").filter(|d| d.len() == 12)?;
    digits.parse().ok().filter(|n| segment_name(*n) == name)
}

/// Where a value lies.
#[derive(Clone, Copy, Debug)]
struct Place {
    segment: u64,
    frame: u32,
    body: u32,
    at: u32,
    length: u32,
    seq: Seq,
    lost: bool,
}

struct Entry {
    place: Place,
    /// Held where the table keeps its values in memory.
    value: Option<Bytes>,
}

struct Table {
    in_memory: bool,
    entries: BTreeMap<Box<[u8]>, Entry>,
    /// Bytes that its live records take.
    live: u64,
}

struct Segment {
    number: u64,
    size: u64,
    /// Bytes of its records that are live.
    live: u64,
    /// Its header, until that lasts.
    fresh: Option<Header>,
    /// Length of its file, where that was given ahead of what is written.
    reserved: u64,
    /// Bytes of its checkpoint.
    checkpoint: u64,
}

impl Segment {
    fn found(number: u64, size: u64) -> Self {
        Segment { number, size, live: 0, fresh: None, reserved: 0, checkpoint: 0 }
    }

    /// What its file takes with so many bytes written.
    fn takes(&self, size: u64) -> u64 {
        rounded(size.max(self.reserved))
    }
}

/// A segment that is given up and whose file is still there.
struct Doomed {
    number: u64,
    size: u64,
    checkpoint: u64,
    /// It may go once this frame lasts.
    after: Seq,
}

/// A frame that does not last yet.
struct Unsynced {
    segment: u64,
    at: u64,
    body: Vec<u8>,
}

/// Where compaction stands in the oldest segment.
#[derive(Default)]
struct Cursor {
    at: u64,
    /// Bytes read from `at` on.
    read: Vec<u8>,
}

/// What opening found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Frames read.
    pub frames: u64,
    /// Bytes of a last write that was cut off, and dropped.
    pub torn_bytes: u64,
    /// Where something was damaged, in words; empty if nothing was.
    pub damage: Vec<String>,
    /// What was last written before this frame may have been changed since by one that was lost.
    pub uncertain_before: Seq,
}

/// Figures of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Bytes that the files take, in whole 512 bytes each.
    pub used: u64,
    /// Bytes of live records.
    pub live: u64,
    /// Files.
    pub segments: usize,
    /// Bytes of frames written since opening: by batches.
    pub written: u64,
    /// ... and by compaction.
    pub copied: u64,
    /// Segments that compaction has removed.
    pub retired: u64,
}

/// Work for a thread that may wait for the disk.
pub struct SyncJob {
    syncers: Vec<Syncer>,
    folder: bool,
    upto: Seq,
}

impl SyncJob {
    /// Waits until all that was appended before the job was made lasts. Hand the result to [`Store::finish_sync`].
    pub fn run(self) -> SyncResult {
        let done = self.syncers.into_iter().try_for_each(|syncer| syncer());
        SyncResult { upto: self.upto, folder: self.folder, done }
    }
}

/// What came of a [`SyncJob`].
pub struct SyncResult {
    upto: Seq,
    folder: bool,
    done: io::Result<()>,
}

/// How much of the room a batch may use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Room {
    /// All but what compaction needs.
    Batch,
    /// All.
    Compaction,
}

/// An embedded store; see the module.
pub struct Store<F: Folder> {
    folder: F,
    durability: Durability,
    limit: u64,
    target: u64,
    id: u64,
    tables: Vec<Table>,
    /// Oldest first; the last one is written to.
    segments: VecDeque<Segment>,
    active: Option<F::File>,
    /// Behind the last good frame of the active segment stand bytes that could not be cut off.
    broken: bool,
    seed: Seed,
    doomed: Vec<Doomed>,
    cursor: Cursor,
    used: u64,
    live: u64,
    /// The largest frame of late, which compaction must be able to move.
    largest: u64,
    next: Seq,
    /// Frames up to this one last.
    synced: Seq,
    /// The frames after `synced`, oldest first; kept to write them again if a sync fails.
    unsynced: VecDeque<Unsynced>,
    /// A sync failed, and `unsynced` could not be written again yet: nothing else is written before that.
    broken_off: bool,
    /// Segments written to since the last sync was asked for, and whether the folder was changed.
    dirty: Vec<Syncer>,
    dirty_active: bool,
    folder_dirty: bool,
    /// A file was removed, and its removal may not last yet.
    removal_waits: bool,
    checkpoints: bool,
    /// Those that were there at the start, with their sizes.
    listed_checkpoints: BTreeMap<u64, u64>,
    /// Of the active segment, where all of it was written by this process.
    draft: Option<Draft>,
    /// Checkpoints to be written once the segment lasts: its number, up to which frame, and the file.
    drafted: VecDeque<(u64, Seq, Vec<u8>)>,
    stats: Stats,
}

/// A store as it was read, what was found, where the good frames of which last segment end, and the numbers of
/// files without a header.
type Loaded<F> = (Store<F>, Recovery, Option<(u64, u64)>, Vec<u64>);

impl<F: Folder> Store<F> {
    /// Opens the store in a folder, or makes one there. `in_memory` has an entry for each table: whether its
    /// values are held in memory too.
    ///
    /// # Errors
    /// [`Error::Foreign`] where a segment is of a newer version or no segment at all; nothing is changed then.
    /// [`Error::Io`] where the folder can't be read or written. Damage is no error: see [`Recovery`].
    pub fn open(
        folder: F,
        in_memory: &[bool],
        fresh_id: u64,
        options: Options,
    ) -> Result<(Self, Recovery), Error> {
        let (mut store, recovery, last_good, blank) = Self::load(folder, in_memory, fresh_id, options)?;
        store.clean(last_good, &blank)?;
        Ok((store, recovery))
    }

    /// Reads the store in a folder without changing anything there. It must not be written to.
    ///
    /// # Errors
    /// As for [`Self::open`].
    pub fn read(folder: F, in_memory: &[bool]) -> Result<(Self, Recovery), Error> {
        let options = Options { limit: u64::MAX, durability: Durability::Process, checkpoints: false };
        let (store, recovery, ..) = Self::load(folder, in_memory, 0, options)?;
        Ok((store, recovery))
    }

    fn load(folder: F, in_memory: &[bool], fresh_id: u64, options: Options) -> Result<Loaded<F>, Error> {
        let io_error = |name: &str, source| Error::Io { file: folder.show(name), source };
        let files = folder.list().map_err(|e| io_error("", e))?;
        let segments = files.iter().filter_map(|(name, size)| Some((segment_number(name)?, *size)));
        let checkpoints = files.iter().filter_map(|(name, size)| Some((checkpoint::number(name)?, *size)));
        let mut listed: Vec<(u64, u64)> = segments.collect();
        listed.sort_unstable();
        // All headers first: a folder that is refused is left as it is.
        let (mut headers, mut blank) = (Vec::new(), Vec::new());
        for (number, size) in &listed {
            let name = segment_name(*number);
            let mut bytes = vec![0; HEADER_LEN.min(*size as usize)];
            folder.read_at(&name, 0, &mut bytes).map_err(|e| io_error(&name, e))?;
            let foreign = |why: String| Err(Error::Foreign { file: folder.show(&name), why });
            headers.push(match Header::decode(&bytes) {
                Ok(header) if header.segment != *number => {
                    return foreign(format!("is segment {} under another name", header.segment));
                }
                Ok(header) => Some(header),
                Err(HeaderError::Newer(v)) => return foreign(format!("is of the newer format {v}")),
                Err(HeaderError::Foreign) => return foreign("is no segment of a store".into()),
                Err(HeaderError::Damaged) => None,
                // Cut off when it was made, or never written by a machine that died: nothing is in it.
                Err(HeaderError::Short | HeaderError::Blank) => {
                    blank.push(*number);
                    None
                }
            });
        }
        let known: Vec<Header> = headers.iter().flatten().copied().collect();
        let id = match known.first() {
            Some(first) => first.store,
            // Only the first segment's header was begun: the store is a fresh one.
            None if blank.len() == listed.len() => fresh_id,
            None => {
                let file = folder.show(&segment_name(listed[0].0));
                return Err(Error::Foreign { file, why: "has no header that can be read".into() });
            }
        };
        if let Some(other) = known.iter().find(|h| h.store != id) {
            let file = folder.show(&segment_name(other.segment));
            return Err(Error::Foreign { file, why: "is a segment of another store".into() });
        }
        let target = (options.limit / SEGMENTS).clamp(SMALLEST_SEGMENT, LARGEST_SEGMENT);
        let table = |in_memory: &bool| Table { in_memory: *in_memory, entries: BTreeMap::new(), live: 0 };
        let mut store = Store {
            seed: Seed::new(id, 0),
            folder,
            durability: options.durability,
            limit: options.limit,
            target,
            id,
            tables: in_memory.iter().map(table).collect(),
            segments: VecDeque::new(),
            active: None,
            broken: false,
            doomed: Vec::new(),
            cursor: Cursor::default(),
            used: 0,
            live: 0,
            largest: 0,
            next: 1,
            synced: 0,
            unsynced: VecDeque::new(),
            broken_off: false,
            dirty: Vec::new(),
            dirty_active: false,
            folder_dirty: false,
            removal_waits: false,
            checkpoints: options.checkpoints,
            listed_checkpoints: checkpoints.collect(),
            draft: None,
            drafted: VecDeque::new(),
            stats: Stats::default(),
        };
        let mut recovery = Recovery::default();
        let last_good = store.replay(&listed, &headers, &blank, &mut recovery)?;
        store.synced = store.next - 1;
        Ok((store, recovery, last_good, blank))
    }

    /// Reads all segments. Returns where the good frames of the last one end, by its number.
    fn replay(
        &mut self,
        listed: &[(u64, u64)],
        headers: &[Option<Header>],
        blank: &[u64],
        recovery: &mut Recovery,
    ) -> Result<Option<(u64, u64)>, Error> {
        // All that lies before the highest of these was safe elsewhere before any of it was removed.
        let floor = headers.iter().flatten().map(|h| h.floor).max().unwrap_or(0);
        let mut retired_to = floor;
        let mut expected: Option<Seq> = None;
        let mut last_good = None;
        let mut previous: Option<u64> = None;
        let mut first = None;
        for (n, ((number, size), header)) in listed.iter().zip(headers).enumerate() {
            let name = segment_name(*number);
            let is_last = listed[n + 1..].iter().all(|(later, _)| blank.contains(later));
            if *number < floor {
                // Given up before it could be removed. Deletions of what is in it may be gone already.
                self.used += rounded(*size);
                self.doomed.push(Doomed { number: *number, size: *size, checkpoint: 0, after: 0 });
                continue;
            }
            if blank.contains(number) {
                // With none behind it, it goes at once and its number is used again; else in its turn.
                if listed[n + 1..].iter().any(|(later, _)| !blank.contains(later)) {
                    previous = Some(*number);
                    self.used += rounded(*size);
                    self.segments.push_back(Segment::found(*number, *size));
                }
                continue;
            }
            // Frames that a later segment has taken the place of: their write was told as failed.
            let void_from = headers[n + 1..].iter().flatten().map(|h| h.first_seq).min().unwrap_or(Seq::MAX);
            let first_seq = header.map(|h| h.first_seq).filter(|first| *first < void_from);
            let missing = previous.is_some_and(|previous| *number != previous + 1);
            previous = Some(*number);
            let gap = first_seq.zip(expected).is_some_and(|(first, expected)| first > expected);
            if missing || gap || header.is_none() {
                let what =
                    if header.is_none() { "its header is damaged" } else { "what came before is missing" };
                recovery.damage.push(format!("{name}: {what}"));
                recovery.uncertain_before = first_seq.or(expected).unwrap_or(1);
            }
            if self.segments.is_empty() {
                first = Some((*number, first_seq.unwrap_or(1)));
            }
            expected = first_seq.or(expected);
            if let Some(header) = header.filter(|_| self.checkpoints && !is_last && first_seq.is_some())
                && let Some(next) =
                    self.replay_checkpoint(header, *size, void_from, expected, &mut retired_to)
            {
                expected = Some(next);
                continue;
            }
            let mut bytes = vec![0; *size as usize];
            let read = self.folder.read_at(&name, 0, &mut bytes);
            read.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
            self.segments.push_back(Segment::found(*number, *size));
            let zeros_end = header.is_some_and(|h| h.reserved > 0);
            self.used += rounded(*size);
            let seed = Seed::new(self.id, *number);
            let (mut at, mut good, mut spoilt) = (HEADER_LEN, HEADER_LEN, false);
            loop {
                match seed.next(&bytes[at..], at as u64, true) {
                    Item::Frame { seq, body, whole } => {
                        if seq < void_from {
                            if expected.is_some_and(|expected| seq != expected) {
                                recovery
                                    .damage
                                    .push(format!("{name}: frames before offset {at} are missing"));
                                recovery.uncertain_before = seq;
                            }
                            expected = Some(seq + 1);
                            recovery.frames += 1;
                            if !self.replay_frame(*number, at, seq, body, &mut retired_to) {
                                recovery.damage.push(format!("{name}: the frame at {at} can't be read"));
                                recovery.uncertain_before = seq + 1;
                            }
                        }
                        at += whole;
                        (good, spoilt) = (at, false);
                    }
                    Item::Spoilt(_) if zeros_end && bytes[at..].iter().all(|b| *b == 0) => break,
                    Item::Spoilt(length) => {
                        at += length;
                        spoilt = true;
                    }
                    Item::Torn(length) => {
                        if is_last && !(zeros_end && bytes[at..].iter().all(|b| *b == 0)) {
                            recovery.torn_bytes = length as u64;
                        }
                        break;
                    }
                    Item::More | Item::End => break,
                }
            }
            if is_last && spoilt {
                // Whole, and wrong: no cut-off write looks like this. What it told is not known. It stays as it
                // is, so that the next start knows as much.
                recovery.damage.push(format!("{name}: damaged from offset {good} on"));
                recovery.uncertain_before = Seq::MAX;
            } else if is_last {
                last_good = Some((*number, good as u64));
            }
        }
        if let Some((number, first_seq)) = first.filter(|(number, _)| *number > retired_to.max(1)) {
            recovery.damage.push(format!("{}: what came before is missing", segment_name(number)));
            recovery.uncertain_before = recovery.uncertain_before.max(first_seq);
        }
        self.next = expected.unwrap_or(1);
        if recovery.uncertain_before == Seq::MAX {
            // Its number may have been used.
            self.next += 1;
            recovery.uncertain_before = self.next;
        }
        Ok(last_good)
    }

    fn replay_frame(&mut self, segment: u64, at: usize, seq: Seq, body: &[u8], retired_to: &mut u64) -> bool {
        self.largest = self.largest.max((FRAME_HEADER_LEN + body.len()) as u64);
        for op in ops(body) {
            let Some(op) = op else { return false };
            let Op::Retire { floor } = op else {
                self.index(segment, at, seq, body.len(), op);
                continue;
            };
            self.retire_found(floor, segment, retired_to);
        }
        true
    }

    /// Segments before `floor` were given up, as a frame of `segment` says. Where copies of what was live in one are
    /// lost it is still needed, and still there: it is removed only after they last.
    fn retire_found(&mut self, floor: u64, segment: u64, retired_to: &mut u64) {
        *retired_to = (*retired_to).max(floor);
        while self.segments.front().is_some_and(|s| s.number < floor.min(segment) && s.live == 0) {
            let Some(Segment { number, size, checkpoint, .. }) = self.segments.pop_front() else { break };
            self.doomed.push(Doomed { number, size, checkpoint, after: 0 });
        }
    }

    /// Reads a checkpoint in place of its segment: the number of the frame after the segment's last. `None`, with
    /// nothing changed, where there is none that is good.
    fn replay_checkpoint(
        &mut self,
        header: Header,
        size: u64,
        void_from: Seq,
        expected: Option<Seq>,
        retired_to: &mut u64,
    ) -> Option<Seq> {
        let name = checkpoint::name(header.segment);
        let length = self.listed_checkpoints.get(&header.segment).copied()?;
        let mut file = vec![0; length as usize];
        self.folder.read_at(&name, 0, &mut file).ok()?;
        let (parts, next) = checkpoint::read(&file, header, size, void_from)?;
        if expected.is_some_and(|expected| header.first_seq != expected) {
            return None;
        }
        self.segments.push_back(Segment { checkpoint: length, ..Segment::found(header.segment, size) });
        self.used += rounded(size) + rounded(length);
        let (mut seq, mut at, mut body) = (header.first_seq, HEADER_LEN, 0);
        for op in parts.into_iter().flat_map(ops).flatten() {
            match op {
                Op::Frame { seq: its, at: place, body: length } => {
                    (seq, at, body) = (its, place as usize, length as usize);
                    self.largest = self.largest.max((FRAME_HEADER_LEN + body) as u64);
                }
                Op::Retire { floor } => self.retire_found(floor, header.segment, retired_to),
                Op::Sealed { .. } => {}
                op => self.index(header.segment, at, seq, body, op),
            }
        }
        Some(next)
    }

    /// Removes what is left of given-up segments and of a write that was cut off.
    fn clean(&mut self, last_good: Option<(u64, u64)>, blank: &[u64]) -> Result<(), Error> {
        if let Some((number, good)) = last_good
            && let Some(segment) = self.segments.back_mut().filter(|s| s.number == number)
        {
            let name = segment_name(number);
            let opened = self.folder.open(&name);
            let mut file = opened.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
            // With what is behind the last good frame still there, nothing may follow it in this file.
            let clean = segment.size == good || file.truncate(good).is_ok();
            if clean {
                self.used -= rounded(segment.size) - rounded(good);
                segment.size = good;
                (self.active, self.seed) = (Some(file), Seed::new(self.id, number));
                self.dirty_active = true;
            }
        }
        if self.durability == Durability::Machine {
            // What a process wrote that was killed may not last yet, and is acted on from now on.
            let names = self.segments.iter().map(|s| segment_name(s.number));
            for name in names.collect::<Vec<_>>() {
                let synced = self.folder.open(&name).and_then(|file| file.syncer()?());
                synced.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
            }
            let synced = self.folder.syncer().and_then(|syncer| syncer());
            synced.map_err(|source| Error::Io { file: self.folder.show(""), source })?;
        }
        for number in std::mem::take(&mut self.listed_checkpoints).into_keys() {
            if !self.segments.iter().any(|s| s.number == number && s.checkpoint > 0) {
                let _ = self.folder.remove(&checkpoint::name(number));
            }
        }
        // What could not be removed is replaced when its number comes up.
        blank.iter().filter(|number| self.segments.back().is_none_or(|s| s.number < **number)).for_each(
            |n| {
                let _ = self.folder.remove(&segment_name(*n));
            },
        );
        self.remove_doomed();
        Ok(())
    }

    /// Removes the files of given-up segments, oldest first and no further than it gets: what a later one
    /// deletes is in an earlier one. A machine that dies may forget one removal and remember a later one: there
    /// each must last before the next.
    fn remove_doomed(&mut self) {
        while !self.removal_waits
            && let Some(doomed) = self.doomed.first().filter(|d| d.after <= self.synced)
        {
            match self.folder.remove(&segment_name(doomed.number)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return,
                _ => {
                    self.used -= rounded(doomed.size);
                    if doomed.checkpoint > 0 {
                        // One that stays is removed at the next start.
                        let _ = self.folder.remove(&checkpoint::name(doomed.number));
                        self.used -= rounded(doomed.checkpoint);
                    }
                    self.folder_dirty = true;
                    self.removal_waits = self.durability == Durability::Machine;
                    self.doomed.remove(0);
                }
            }
        }
    }

    /// Writes a batch. Once this returns its number, it outlives the process; with [`Durability::Machine`] it
    /// outlives the machine once [`Self::is_durable`] says so. Batches that keep a promise given earlier use this.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::NoTable`]; [`Error::Full`] or [`Error::Io`] where it could not be written:
    /// then nothing of it has taken effect, and it may be tried again.
    pub fn apply(&mut self, batch: &Batch) -> Result<Seq, Error> {
        let longest = ops(batch.bytes()).flatten().map(|op| match op {
            Op::Put { table, key, .. } | Op::Delete { table, key } => (table, key.len()),
            _ => (0, 0),
        });
        for (table, key) in longest {
            if key > MAX_KEY_LEN {
                return Err(Error::TooLarge(key));
            }
            if usize::from(table) >= self.tables.len() {
                return Err(Error::NoTable(table));
            }
        }
        if batch.bytes().len() > MAX_BODY_LEN {
            return Err(Error::TooLarge(batch.bytes().len()));
        }
        let seq = self.append(batch.bytes().to_vec(), Room::Batch)?;
        let length = batch.bytes().len() + FRAME_HEADER_LEN;
        self.stats.written += length as u64;
        self.compact_some(length * SCAN_RATE);
        Ok(seq)
    }

    /// Writes a batch that moves in from elsewhere: it may use the room that compaction needs otherwise.
    ///
    /// # Errors
    /// As for [`Self::apply`].
    pub fn apply_reserved(&mut self, batch: &Batch) -> Result<Seq, Error> {
        if batch.bytes().len() > MAX_BODY_LEN {
            return Err(Error::TooLarge(batch.bytes().len()));
        }
        self.append(batch.bytes().to_vec(), Room::Compaction)
    }

    /// From now on the files may take so many bytes together.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Whether a batch of this size may be taken on where `promised` bytes of later batches have been, its own
    /// among them: then all of them will find room, whatever else is written meanwhile.
    pub fn has_room(&self, batch: usize, promised: u64) -> bool {
        let frame = (FRAME_HEADER_LEN + batch) as u64;
        let largest = self.largest.max(frame);
        // What compaction needs to move a segment, the segment being written, and the rounding of all of them.
        let apart = 4 * self.target.max(largest + HEADER_LEN as u64) + SEGMENTS * (HEADER_LEN as u64 + STEP);
        let most = (self.limit / 8 * LIVE_EIGHTHS).min(self.limit.saturating_sub(apart));
        self.live.saturating_add(frame).saturating_add(promised) <= most
    }

    fn spare(&self, room: Room) -> u64 {
        match room {
            Room::Batch => {
                2 * self.target.max(self.largest + HEADER_LEN as u64) + 2 * (HEADER_LEN as u64 + STEP)
            }
            Room::Compaction => 0,
        }
    }

    fn must_roll(&self, frame: u64) -> bool {
        let full =
            self.segments.back().is_none_or(|s| s.size + frame > self.target && s.size > HEADER_LEN as u64);
        self.active.is_none() || self.broken || full
    }

    fn fits(&self, frame: u64, room: Room) -> bool {
        let grows = match self.segments.back().filter(|_| !self.must_roll(frame)) {
            Some(active) => active.takes(active.size + frame) - active.takes(active.size),
            None => rounded(HEADER_LEN as u64 + frame),
        };
        self.used.saturating_add(grows).saturating_add(self.spare(room)) <= self.limit
    }

    fn append(&mut self, body: Vec<u8>, room: Room) -> Result<Seq, Error> {
        self.write_again()?;
        let frame = (FRAME_HEADER_LEN + body.len()) as u64;
        self.largest = self.largest.max(frame);
        if !self.fits(frame, room) {
            if room == Room::Batch {
                self.reclaim(frame);
            }
            if !self.fits(frame, room) {
                return Err(Error::Full);
            }
        }
        if self.must_roll(frame) {
            self.roll(self.next)?;
        }
        let seq = self.next;
        let (segment, at) = self.write(seq, &body)?;
        self.next += 1;
        match self.durability {
            Durability::Process => self.synced = seq,
            Durability::Machine => self.unsynced.push_back(Unsynced { segment, at, body }),
        }
        Ok(seq)
    }

    /// Writes a frame to the active segment, takes its operations into the index, and tells where it is.
    fn write(&mut self, seq: Seq, body: &[u8]) -> Result<(u64, u64), Error> {
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.back_mut()) else {
            return Err(Error::Full);
        };
        let (number, at) = (segment.number, segment.size);
        let bytes = self.seed.frame(at, seq, body);
        if let Err(source) = file.append(&bytes) {
            // Guards what follows: frames behind half a frame would be lost with it.
            self.broken = file.truncate(at).is_err();
            if !self.broken {
                self.used -= segment.takes(at) - rounded(at);
                segment.reserved = 0;
            }
            return Err(Error::Io { file: self.folder.show(&segment_name(number)), source });
        }
        self.dirty_active = true;
        let before = segment.takes(at);
        segment.size += bytes.len() as u64;
        self.used += segment.takes(segment.size) - before;
        for op in ops(body).flatten() {
            self.index(number, at as usize, seq, body.len(), op);
        }
        if let Some(draft) = &mut self.draft {
            let tables = &self.tables;
            draft.add(seq, at, body, |table| tables.get(usize::from(table)).is_some_and(|t| t.in_memory));
        }
        Ok((number, at))
    }

    fn index(&mut self, segment: u64, at: usize, seq: Seq, body: usize, op: Op<'_>) {
        let (table, key) = match op {
            Op::Put { table, key, .. }
            | Op::Delete { table, key }
            | Op::Lost { table, key }
            | Op::Placed { table, key, .. } => (table, key),
            Op::Retire { .. } | Op::Frame { .. } | Op::Sealed { .. } => return,
        };
        let Some(of) = self.tables.get_mut(usize::from(table)) else { return };
        let put = match op {
            Op::Put { value, at, .. } => Some((value, at, value.len() as u32, false)),
            Op::Placed { at, length, .. } => Some((&[][..], at as usize, length, false)),
            Op::Lost { .. } => Some((&[][..], 0, 0, true)),
            _ => None,
        };
        let old = match put {
            Some((value, value_at, length, lost)) => {
                let place = Place {
                    segment,
                    frame: at as u32,
                    body: body as u32,
                    at: value_at as u32,
                    length,
                    seq,
                    lost,
                };
                let value = of.in_memory.then(|| Bytes::copy_from_slice(value));
                let entry = Entry { place, value };
                let old = match of.entries.get_mut(key) {
                    Some(there) => Some(std::mem::replace(there, entry)),
                    None => of.entries.insert(key.into(), entry),
                };
                let weight = weight(key, place.length);
                self.live += weight;
                of.live += weight;
                if let Some(s) = self.segments.iter_mut().rev().find(|s| s.number == segment) {
                    s.live += weight;
                }
                old
            }
            None => of.entries.remove(key),
        };
        if let Some(old) = old {
            let weight = weight(key, old.place.length);
            self.live -= weight;
            of.live -= weight;
            lighten(&mut self.segments, old.place.segment, weight);
        }
    }

    /// Takes a key out of the index without a record: for tables whose values tell when they are over, since the
    /// key may be there again after the next start.
    pub fn forget(&mut self, table: u8, key: &[u8]) -> bool {
        let Some(of) = self.tables.get_mut(usize::from(table)) else { return false };
        let Some(old) = of.entries.remove(key) else { return false };
        let weight = weight(key, old.place.length);
        self.live -= weight;
        of.live -= weight;
        lighten(&mut self.segments, old.place.segment, weight);
        true
    }

    fn roll(&mut self, first_seq: Seq) -> Result<(), Error> {
        if self.durability == Durability::Machine
            && self.dirty_active
            && let Some(file) = &self.active
        {
            let syncer = file.syncer();
            let name = self.segments.back().map(|s| segment_name(s.number)).unwrap_or_default();
            self.dirty.push(syncer.map_err(|source| Error::Io { file: self.folder.show(&name), source })?);
        }
        let number = self.segments.back().map_or(0, |s| s.number);
        let number = self.doomed.last().map_or(0, |d| d.number).max(number) + 1;
        // Not beyond a segment whose file may still be needed: copies made of it may not last yet.
        let oldest = self.segments.front().map_or(number, |s| s.number);
        let floor = self.doomed.first().map_or(oldest, |d| d.number.min(oldest));
        self.release();
        let sealed = self.segments.back().map(|s| (s.number, s.size));
        let reserved = if self.may_reserve() { self.target } else { 0 };
        let header = Header { store: self.id, segment: number, first_seq, floor, reserved };
        let name = segment_name(number);
        let created = match self.folder.create(&name) {
            // Left over by a try that failed, and failed again to clean up.
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                self.folder.remove(&name).and_then(|()| self.folder.create(&name))
            }
            other => other,
        };
        let made = created.and_then(|mut file| match file.append(&header.encode()) {
            Ok(()) => Ok(file),
            Err(e) => {
                let _ = self.folder.remove(&name);
                Err(e)
            }
        });
        let file = made.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
        let was_broken = self.broken;
        (self.active, self.broken, self.dirty_active, self.folder_dirty) = (Some(file), false, true, true);
        self.seed = Seed::new(self.id, number);
        let mut segment = Segment { fresh: Some(header), ..Segment::found(number, HEADER_LEN as u64) };
        let reserve = self.active.as_mut().filter(|_| reserved > 0).map(|file| file.reserve(reserved));
        if reserve.is_some_and(|done| done.is_ok()) {
            segment.reserved = reserved;
        }
        self.used += segment.takes(segment.size);
        self.segments.push_back(segment);
        // After a failed write the file may hold more than what counts.
        let whole = self.draft.take().zip(sealed).filter(|_| !was_broken);
        if let Some((draft, (number, size))) = whole {
            self.drafted.push_back((number, first_seq - 1, draft.seal(size, first_seq)));
        }
        self.draft = self.checkpoints.then(|| Draft::new(header));
        Ok(())
    }

    /// Where each write is synced, a segment's file is given its length ahead, if that leaves room enough.
    fn may_reserve(&self) -> bool {
        let after = self.used.saturating_add(self.target).saturating_add(self.spare(Room::Batch));
        self.durability == Durability::Machine && after <= self.limit
    }

    /// The active segment's file takes no more than what is in it, before the next one is made.
    fn release(&mut self) {
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.back_mut()) else { return };
        if segment.reserved > 0 && !self.broken && file.truncate(segment.size).is_ok() {
            self.used -= segment.takes(segment.size) - rounded(segment.size);
            segment.reserved = 0;
        }
    }

    /// The value of a key, read from disk where its table is not held in memory. `Ok(None)` where there is none.
    ///
    /// # Errors
    /// [`Error::Damaged`] where it is not what was written; [`Error::Io`] where it can't be read.
    pub fn get(&self, table: u8, key: &[u8]) -> Result<Option<Bytes>, Error> {
        let Some(entry) = self.tables.get(usize::from(table)).and_then(|t| t.entries.get(key)) else {
            return Ok(None);
        };
        self.value(entry).map(Some)
    }

    fn value(&self, entry: &Entry) -> Result<Bytes, Error> {
        let place = entry.place;
        let name = segment_name(place.segment);
        let damaged = || Error::Damaged { file: self.folder.show(&name) };
        if place.lost {
            return Err(damaged());
        }
        if let Some(value) = &entry.value {
            return Ok(value.clone());
        }
        let mut frame = vec![0; FRAME_HEADER_LEN + place.body as usize];
        let read = self.folder.read_at(&name, u64::from(place.frame), &mut frame);
        read.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
        let seed = Seed::new(self.id, place.segment);
        match seed.next(&frame, u64::from(place.frame), true) {
            Item::Frame { seq, body, .. } if seq == place.seq => {
                let from = place.at as usize;
                let value = body.get(from..from + place.length as usize).ok_or_else(damaged)?;
                Ok(Bytes::copy_from_slice(value))
            }
            _ => Err(damaged()),
        }
    }

    /// The keys of a table in order, from one on (all with an empty key), each with the number of the frame that
    /// it was last written in and its value where the table is held in memory.
    pub fn keys<'a>(
        &'a self,
        table: u8,
        from: &'a [u8],
    ) -> impl Iterator<Item = (&'a [u8], Seq, Option<&'a Bytes>)> + 'a {
        let entries = self.tables.get(usize::from(table)).map(|t| &t.entries);
        let bounds = (Bound::Included(from), Bound::Unbounded);
        let range = entries.map(|entries| entries.range::<[u8], _>(bounds));
        range.into_iter().flatten().map(|(key, e)| (&key[..], e.place.seq, e.value.as_ref()))
    }

    /// Whether a key is there.
    pub fn contains(&self, table: u8, key: &[u8]) -> bool {
        self.tables.get(usize::from(table)).is_some_and(|t| t.entries.contains_key(key))
    }

    /// How many keys a table has.
    pub fn len(&self, table: u8) -> usize {
        self.tables.get(usize::from(table)).map_or(0, |t| t.entries.len())
    }

    /// Whether a table has no keys.
    pub fn is_empty(&self, table: u8) -> bool {
        self.len(table) == 0
    }

    /// Bytes that the live records of a table take.
    pub fn live_bytes(&self, table: u8) -> u64 {
        self.tables.get(usize::from(table)).map_or(0, |t| t.live)
    }

    /// Figures.
    pub fn stats(&self) -> Stats {
        let segments = self.segments.len() + self.doomed.len();
        Stats { used: self.used, live: self.live, segments, ..self.stats }
    }

    /// Number, bytes and bytes of live records of each segment that is in use, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = (u64, u64, u64)> + '_ {
        self.segments.iter().map(|s| (s.number, s.size, s.live))
    }

    /// The limit of the folder, bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// The folder.
    pub fn folder(&self) -> &F {
        &self.folder
    }

    /// Number of the next frame.
    pub fn next_seq(&self) -> Seq {
        self.next
    }

    // Compaction.

    /// What there is beyond live data is worth a step.
    fn worth_compacting(&self) -> bool {
        // With removals that wait for the disk more copies would only take room.
        self.used > self.live * 5 / 4 + 6 * self.target && self.segments.len() > 1 && self.doomed.len() < 4
    }

    fn compact_some(&mut self, scan: usize) {
        self.remove_doomed();
        self.write_checkpoint();
        if self.worth_compacting() {
            // What fails is tried again with the next batch; nothing depends on it before there is no room.
            let _ = self.compact_step(scan.clamp(SCAN_LEAST, SCAN_MOST));
        }
    }

    /// Writes one checkpoint that is due. Nothing depends on it.
    fn write_checkpoint(&mut self) {
        let Some((number, _, file)) = self.drafted.pop_front_if(|(_, upto, _)| *upto <= self.synced) else {
            return;
        };
        let fits = self.used + rounded(file.len() as u64) + self.spare(Room::Batch) <= self.limit;
        let Some(segment) = self.segments.iter_mut().find(|s| s.number == number && fits) else { return };
        let name = checkpoint::name(number);
        let made = self.folder.create(&name).and_then(|mut to| to.append(&file));
        if made.is_err() {
            let _ = self.folder.remove(&name);
            return;
        }
        segment.checkpoint = file.len() as u64;
        self.used += rounded(segment.checkpoint);
    }

    /// Compacts for a while where that is worth it: for quiet times. Whether anything was done.
    pub fn maintain(&mut self) -> bool {
        let worth = self.worth_compacting();
        self.compact_some(SCAN_MOST);
        worth
    }

    /// Scans so many bytes of the oldest segment and writes again what is live there; gives the segment up at
    /// its end. Whether there was anything to do.
    fn compact_step(&mut self, scan: usize) -> Result<bool, Error> {
        // Nothing is read back before it is all there.
        self.write_again()?;
        let Some(oldest) = self.segments.front().filter(|_| self.segments.len() > 1) else {
            return Ok(false);
        };
        let (number, size, live) = (oldest.number, oldest.size, oldest.live);
        if live == 0 {
            return self.retire(number).map(|()| true);
        }
        self.cursor.at = self.cursor.at.max(HEADER_LEN as u64);
        let read_to = self.cursor.at + self.cursor.read.len() as u64;
        let more = (scan as u64).min(size.saturating_sub(read_to)) as usize;
        let had = self.cursor.read.len();
        self.cursor.read.resize(had + more, 0);
        let name = segment_name(number);
        if let Err(source) = self.folder.read_at(&name, read_to, &mut self.cursor.read[had..]) {
            self.cursor.read.truncate(had);
            if matches!(source.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::NotFound) {
                // Somebody else has cut or removed it: it does not come back.
                self.rescue(number)?;
                return self.retire(number).map(|()| true);
            }
            return Err(Error::Io { file: self.folder.show(&name), source });
        }
        let last = read_to + more as u64 >= size;
        let seed = Seed::new(self.id, number);
        let buffer = std::mem::take(&mut self.cursor.read);
        let (mut done, mut at_end) = (0, false);
        let mut copies = Batch::new();
        let mut result = Ok(());
        loop {
            let at = self.cursor.at + done as u64;
            match seed.next(&buffer[done..], at, last) {
                Item::Frame { body, whole, .. } => {
                    for op in ops(body).flatten() {
                        let (before, most) = (copies.bytes().len(), self.longest_copies());
                        self.copy_live(number, at, op, &mut copies);
                        if before > 0 && copies.bytes().len() > most {
                            let rest = copies.split_off(before);
                            result = self.append_copies(&mut copies);
                            copies = rest;
                        }
                        if result.is_err() {
                            break;
                        }
                    }
                    done += whole;
                    if result.is_err() {
                        break;
                    }
                }
                Item::Spoilt(length) => done += length,
                Item::More => break,
                Item::Torn(_) | Item::End => {
                    at_end = true;
                    break;
                }
            }
        }
        let result = result.and_then(|()| self.append_copies(&mut copies));
        if let Err(e) = result {
            // From the segment's start again: what has been copied is not live there any more.
            self.cursor = Cursor::default();
            return Err(e);
        }
        self.cursor.read = buffer[done..].to_vec();
        self.cursor.at += done as u64;
        if at_end {
            self.rescue(number)?;
            self.retire(number)?;
        }
        Ok(true)
    }

    /// Frames of copies stay small, so that they find room where a segment's rest would not take all.
    fn longest_copies(&self) -> usize {
        (self.target / 4).min(64 * 1024) as usize
    }

    /// Puts what of an operation is still live into `copies`.
    fn copy_live(&self, segment: u64, frame: u64, op: Op<'_>, copies: &mut Batch) {
        let (table, key) = match op {
            Op::Put { table, key, .. } | Op::Lost { table, key } => (table, key),
            _ => return,
        };
        let entry = self.tables.get(usize::from(table)).and_then(|t| t.entries.get(key));
        let here = |e: &&Entry| e.place.segment == segment && u64::from(e.place.frame) == frame;
        if entry.filter(here).is_none() {
            return;
        }
        match op {
            Op::Put { value, .. } => {
                copies.put(table, key, value);
            }
            _ => copies.lost(table, key),
        }
    }

    fn append_copies(&mut self, copies: &mut Batch) -> Result<(), Error> {
        if copies.is_empty() {
            return Ok(());
        }
        let body = std::mem::take(copies).bytes().to_vec();
        self.stats.copied += (FRAME_HEADER_LEN + body.len()) as u64;
        self.append(body, Room::Compaction).map(drop)
    }

    /// What is live in the segment though its frames were not found any more: the file was damaged under the
    /// running process. Values in memory are written again; of the others it is noted that they are lost.
    fn rescue(&mut self, segment: u64) -> Result<(), Error> {
        let left = self.segments.front().is_some_and(|s| s.number == segment && s.live > 0);
        if !left {
            return Ok(());
        }
        let mut frames = vec![Batch::new()];
        for (number, table) in (0..).zip(&self.tables) {
            for (key, entry) in table.entries.iter().filter(|(_, e)| e.place.segment == segment) {
                if frames.last().is_some_and(|b| b.bytes().len() > self.longest_copies() / 2) {
                    frames.push(Batch::new());
                }
                let Some(batch) = frames.last_mut() else { continue };
                match entry.value.as_ref().filter(|_| !entry.place.lost) {
                    Some(value) => {
                        batch.put(number, key, value);
                    }
                    None => batch.lost(number, key),
                }
            }
        }
        frames.iter_mut().try_for_each(|batch| self.append_copies(batch))
    }

    fn retire(&mut self, number: u64) -> Result<(), Error> {
        let mut batch = Batch::new();
        batch.retire(number + 1);
        let after = self.append(batch.bytes().to_vec(), Room::Compaction)?;
        self.stats.copied += (FRAME_HEADER_LEN + batch.bytes().len()) as u64;
        self.stats.retired += 1;
        self.cursor = Cursor::default();
        if let Some(segment) = self.segments.pop_front() {
            let (size, checkpoint) = (segment.size.max(segment.reserved), segment.checkpoint);
            self.doomed.push(Doomed { number, size, checkpoint, after });
        }
        self.remove_doomed();
        Ok(())
    }

    /// Compacts until a batch of this size fits, once round the log at most.
    fn reclaim(&mut self, frame: u64) {
        let newest = self.segments.back().map_or(0, |s| s.number);
        while !self.fits(frame, Room::Batch) {
            // Room that only waits for the disk comes first: further copies would need some themselves.
            let doomed = self.doomed.len();
            if doomed > 0 && self.durability == Durability::Machine {
                if self.sync().is_err() {
                    break;
                }
                if self.doomed.len() < doomed {
                    continue;
                }
            }
            let oldest = self.segments.front().map_or(u64::MAX, |s| s.number);
            if oldest > newest {
                break;
            }
            // The one that is written to is compacted too.
            if self.segments.len() == 1 && (self.used + STEP > self.limit || self.roll(self.next).is_err()) {
                break;
            }
            if self.compact_step(SCAN_MOST).is_err() {
                break;
            }
        }
    }

    /// Compacts all of it, as far as there is room: for operators, not for a running loop.
    ///
    /// # Errors
    /// As for [`Self::apply`].
    pub fn compact(&mut self, mut progress: impl FnMut(Stats)) -> Result<(), Error> {
        let newest = self.segments.back().map_or(0, |s| s.number);
        if self.segments.len() == 1 {
            self.roll(self.next)?;
        }
        while self.segments.front().is_some_and(|s| s.number <= newest) {
            self.compact_step(SCAN_MOST)?;
            progress(self.stats());
            if self.segments.len() == 1 {
                break;
            }
        }
        if self.durability == Durability::Machine {
            self.sync()?;
        }
        self.remove_doomed();
        Ok(())
    }

    // Durability.

    /// Whether the batch of this number outlives what it is meant to.
    pub fn is_durable(&self, seq: Seq) -> bool {
        seq <= self.synced
    }

    /// A job that makes all that was written so far last; `None` where all of it does. One at a time.
    ///
    /// # Errors
    /// [`Error::Io`] where a handle can't be had.
    pub fn sync_job(&mut self) -> Result<Option<SyncJob>, Error> {
        self.write_again()?;
        let removing = self.removal_waits && !self.doomed.is_empty();
        if self.durability == Durability::Process || self.synced + 1 >= self.next && !removing {
            return Ok(None);
        }
        let mut syncers = std::mem::take(&mut self.dirty);
        let name = self.segments.back().map(|s| segment_name(s.number)).unwrap_or_default();
        let io_error = |source| Error::Io { file: self.folder.show(&name), source };
        if let Some(file) = self.active.as_ref().filter(|_| self.dirty_active) {
            syncers.push(file.syncer().map_err(io_error)?);
        }
        if self.folder_dirty {
            syncers.push(self.folder.syncer().map_err(io_error)?);
        }
        let folder = std::mem::take(&mut self.folder_dirty);
        self.dirty_active = false;
        Ok(Some(SyncJob { syncers, folder, upto: self.next - 1 }))
    }

    /// Takes in what came of a job. After a failed one the kernel may have dropped what it could not write and
    /// take it for written: all that does not last yet is written again, to the same places.
    ///
    /// # Errors
    /// [`Error::Io`] where the job failed; what was waiting for it does not last yet.
    pub fn finish_sync(&mut self, synced: SyncResult) -> Result<(), Error> {
        match synced.done {
            Ok(()) => {
                while self.synced < synced.upto {
                    self.synced += 1;
                    self.unsynced.pop_front();
                }
                // Those with frames that the job did not cover have their header in it all the same.
                let active = self.unsynced.front().map_or(u64::MAX, |u| u.segment);
                self.segments.iter_mut().filter(|s| s.number <= active).for_each(|s| s.fresh = None);
                self.removal_waits &= !synced.folder;
                self.remove_doomed();
                Ok(())
            }
            Err(source) => {
                // What the job took with it is asked for again.
                self.folder_dirty |= synced.folder;
                let name = self.segments.back().map(|s| segment_name(s.number)).unwrap_or_default();
                let failed = Error::Io { file: self.folder.show(&name), source };
                self.broken_off = true;
                self.write_again()?;
                Err(failed)
            }
        }
    }

    /// Writes what does not last yet again to where it was, if a failed sync asks for that.
    fn write_again(&mut self) -> Result<(), Error> {
        if !self.broken_off {
            return Ok(());
        }
        let first = self.unsynced.front().map_or(u64::MAX, |u| u.segment);
        let touched = |s: &&Segment| s.number >= first || s.fresh.is_some();
        let touched: Vec<(u64, Option<Header>)> =
            self.segments.iter().filter(touched).map(|s| (s.number, s.fresh)).collect();
        let active = self.segments.back().map(|s| s.number);
        for (number, fresh) in touched {
            let mut frames =
                (self.synced + 1..).zip(&self.unsynced).filter(|(_, u)| u.segment == number).peekable();
            let from = frames.peek().map(|(_, u)| u.at);
            let Some(from) = fresh.map(|_| 0).or(from) else { continue };
            let seed = Seed::new(self.id, number);
            let mut bytes = fresh.map(|header| header.encode().to_vec()).unwrap_or_default();
            frames.for_each(|(seq, u)| bytes.extend(seed.frame(u.at, seq, &u.body)));
            let name = segment_name(number);
            let written = self.folder.open(&name).and_then(|mut file| {
                file.truncate(from)?;
                file.append(&bytes)?;
                if Some(number) != active {
                    self.dirty.push(file.syncer()?);
                }
                Ok(())
            });
            written.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
            if let Some(segment) = self.segments.iter_mut().find(|s| s.number == number) {
                // Cutting it took back what had been reserved.
                self.used -= segment.takes(segment.size) - rounded(segment.size);
                segment.reserved = 0;
            }
        }
        (self.dirty_active, self.folder_dirty, self.broken_off) = (true, true, false);
        Ok(())
    }

    /// Makes all that was written so far last, waiting for it.
    ///
    /// # Errors
    /// [`Error::Io`] where the disk refuses.
    pub fn sync(&mut self) -> Result<(), Error> {
        match self.sync_job()? {
            Some(job) => {
                let synced = job.run();
                self.finish_sync(synced)
            }
            None => Ok(()),
        }
    }
}

/// Bytes that a live record takes, in a frame of its own.
fn weight(key: &[u8], value: u32) -> u64 {
    (FRAME_HEADER_LEN + PUT_HEADER_LEN + key.len()) as u64 + u64::from(value)
}

fn lighten(segments: &mut VecDeque<Segment>, number: u64, weight: u64) {
    if let Some(first) = segments.front().map(|s| s.number)
        && let Some(segment) = number.checked_sub(first).and_then(|n| segments.get_mut(n as usize))
        && segment.number == number
    {
        segment.live = segment.live.saturating_sub(weight);
    } else if let Some(segment) = segments.iter_mut().find(|s| s.number == number) {
        segment.live = segment.live.saturating_sub(weight);
    }
}
