//! The storage engine: key-value tables over one log of segment files.
//!
//! Invariants:
//!
//! - A batch is applied atomically, and batches are ordered by the sequence numbers of their frames.
//! - The files never exceed the size limit, compaction included. An append for which space was reserved
//!   always succeeds, because new commitments are rejected before live data can fill the space that
//!   compaction needs.
//! - A segment is removed only after all live records in it have been rewritten (and synced, under
//!   [`Durability::Machine`]), and always the oldest segment first. A deletion record is therefore needed
//!   only as long as the segments before it exist.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::ops::Bound;

use bytes::Bytes;

use crate::checkpoint::{self, Draft};
use crate::folder::{Append, Folder, Syncer};
use crate::format::{
    Batch, FRAME_HEADER_LEN, FrameCodec, HEADER_LEN, Header, HeaderError, Item, MAX_BODY_LEN, MAX_KEY_LEN,
    Op, PUT_HEADER_LEN, Seq, ops,
};

/// Errors of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The write would exceed the size limit of the folder.
    #[error("the store is full")]
    Full,
    /// A key or a batch is larger than a frame can hold; its size in bytes.
    #[error("a batch of {0} bytes is too large")]
    TooLarge(usize),
    /// The table number is out of range.
    #[error("there is no table {0}")]
    NoTable(u8),
    /// A stored value fails its checksum or was lost.
    #[error("{file}: a value is damaged")]
    Damaged {
        /// The segment file that holds the value.
        file: String,
    },
    /// A file does not belong to this store, or has a format that this version cannot read. It is left
    /// unchanged.
    #[error("{file}: {why}")]
    Foreign {
        /// The file.
        file: String,
        /// Why it was rejected.
        why: String,
    },
    /// The file system returned an error.
    #[error("{file}: {source}")]
    Io {
        /// The file or folder.
        file: String,
        /// The underlying error.
        source: io::Error,
    },
}

/// The failures that an acknowledged batch survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process: plain writes without a sync.
    Process,
    /// A crash of the machine: a batch is durable once synced; see [`Store::sync`] and [`Store::sync_job`].
    Machine,
}

/// Settings of a store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum total size of the files in bytes, each file rounded up to a multiple of 512.
    pub limit: u64,
    /// The failures that a batch must survive.
    pub durability: Durability,
    /// Whether a checkpoint is written for each full segment, so that opening the store need not read the
    /// segment. Worth the space when the limit is large.
    pub checkpoints: bool,
}

impl Options {
    /// Settings with checkpoints enabled when opening without them might have to read gigabytes.
    pub fn new(limit: u64, durability: Durability) -> Self {
        Options { limit, durability, checkpoints: limit >= CHECKPOINT_MIN_LIMIT }
    }
}

/// File sizes are rounded up to a multiple of this many bytes.
const BLOCK: u64 = 512;
/// The target size of a segment is the limit divided by this, within the bounds below.
const SEGMENTS_PER_LIMIT: u64 = 24;
const MIN_SEGMENT_LEN: u64 = 4 * 1024;
const MAX_SEGMENT_LEN: u64 = 4 * 1024 * 1024;
/// Smallest limit, in bytes, with checkpoints by default: from here on faster opening is worth writing a
/// third more bytes (docs/measurements.md).
const CHECKPOINT_MIN_LIMIT: u64 = 1_000_000_000;
/// Bounds on the bytes read from a segment in one compaction step.
const SCAN_MIN: usize = 8 * 1024;
const SCAN_MAX: usize = 256 * 1024;
/// Bytes scanned by compaction for each byte appended. Even with the maximum of live data, this frees more
/// than is added.
const SCAN_RATE: usize = 8;
/// Maximum share of live data in the limit, in eighths.
const MAX_LIVE_EIGHTHS: u64 = 5;

fn disk_size(size: u64) -> u64 {
    size.div_ceil(BLOCK) * BLOCK
}

/// Returns the file name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("{number:012}.seg")
}

/// Parses a segment's file name and returns the segment's number; `None` for other files.
pub fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".seg").filter(|d| d.len() == 12)?;
    digits.parse().ok().filter(|n| segment_name(*n) == name)
}

/// Location of a value on disk.
#[derive(Clone, Copy, Debug)]
struct ValueLocation {
    segment: u64,
    frame: u32,
    body: u32,
    at: u32,
    length: u32,
    seq: Seq,
    lost: bool,
}

struct Entry {
    location: ValueLocation,
    /// The value, if the table keeps its values in memory.
    value: Option<Bytes>,
}

struct Table {
    in_memory: bool,
    entries: BTreeMap<Box<[u8]>, Entry>,
    /// Total size of its live records in bytes.
    live: u64,
}

struct Segment {
    number: u64,
    size: u64,
    /// Total size of its live records in bytes.
    live: u64,
    /// The header, until it is synced.
    unsynced_header: Option<Header>,
    /// Preallocated length of the file in bytes; 0 if none.
    reserved: u64,
    /// Size of its checkpoint file in bytes; 0 if none.
    checkpoint: u64,
}

impl Segment {
    fn found(number: u64, size: u64) -> Self {
        Segment { number, size, live: 0, unsynced_header: None, reserved: 0, checkpoint: 0 }
    }

    /// Disk space that the file uses when `size` bytes of it are written.
    fn disk_size_at(&self, size: u64) -> u64 {
        disk_size(size.max(self.reserved))
    }
}

/// A retired segment whose file has not been removed yet.
struct RetiredSegment {
    number: u64,
    size: u64,
    checkpoint: u64,
    /// The file may be removed once this frame is durable.
    removable_after: Seq,
}

/// A frame that is written but not synced.
struct UnsyncedFrame {
    segment: u64,
    at: u64,
    body: Vec<u8>,
}

/// Position of compaction in the oldest segment.
#[derive(Default)]
struct CompactionCursor {
    at: u64,
    /// Buffered bytes, starting at offset `at`.
    read: Vec<u8>,
}

/// What was found while opening a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number of frames read.
    pub frames: u64,
    /// Bytes of an incomplete last write, which were discarded.
    pub torn_bytes: u64,
    /// Descriptions of the damage found; empty if there is none.
    pub damage: Vec<String>,
    /// A record last written before this frame may have been changed by a frame that was lost; 0 if none was
    /// lost.
    pub uncertain_before: Seq,
}

/// Statistics of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Total size of the files in bytes, each rounded up to a multiple of 512.
    pub used: u64,
    /// Total size of the live records in bytes.
    pub live: u64,
    /// Number of segment files.
    pub segments: usize,
    /// Bytes of frames written by batches since opening.
    pub written: u64,
    /// Bytes of frames written by compaction since opening.
    pub copied: u64,
    /// Number of segments that compaction has retired since opening.
    pub retired: u64,
}

/// A pending sync, to be run on a thread that may block on the disk.
pub struct SyncJob {
    syncers: Vec<Syncer>,
    folder: bool,
    up_to: Seq,
}

impl SyncJob {
    /// Syncs everything that was appended before the job was created. Pass the result to
    /// [`Store::finish_sync`].
    pub fn run(self) -> SyncResult {
        let done = self.syncers.into_iter().try_for_each(|syncer| syncer());
        SyncResult { up_to: self.up_to, folder: self.folder, done }
    }
}

/// Result of a [`SyncJob`].
pub struct SyncResult {
    up_to: Seq,
    folder: bool,
    done: io::Result<()>,
}

/// How much of the free space an append may use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Room {
    /// All except the space that compaction needs.
    Batch,
    /// All of it.
    Compaction,
}

/// A log-structured key-value store in one folder. [`crate::format`] describes the files.
pub struct Store<F: Folder> {
    folder: F,
    durability: Durability,
    limit: u64,
    segment_target: u64,
    id: u64,
    tables: Vec<Table>,
    /// Segments, oldest first; the last one is the active one.
    segments: VecDeque<Segment>,
    active: Option<F::File>,
    /// Whether the active segment has stray bytes after its last good frame that could not be truncated.
    /// Nothing may be appended to it then.
    tail_dirty: bool,
    codec: FrameCodec,
    retired: Vec<RetiredSegment>,
    cursor: CompactionCursor,
    used: u64,
    live: u64,
    /// Size of the largest frame seen, which compaction must have space to move.
    largest_frame: u64,
    next: Seq,
    /// Frames up to and including this one are durable.
    synced: Seq,
    /// The frames after `synced`, oldest first, kept so that they can be rewritten if a sync fails.
    unsynced: VecDeque<UnsyncedFrame>,
    /// Whether a sync failed and `unsynced` has not been rewritten yet. Nothing else may be written before
    /// that.
    rewrite_pending: bool,
    /// Sync handles of the non-active segments written since the last sync job.
    dirty: Vec<Syncer>,
    dirty_active: bool,
    folder_dirty: bool,
    /// Whether a file was removed and the removal is not synced yet.
    removal_unsynced: bool,
    checkpoints: bool,
    /// Checkpoint files found on opening: segment number and size.
    found_checkpoints: BTreeMap<u64, u64>,
    /// Checkpoint of the active segment, if this process wrote all of that segment.
    checkpoint_draft: Option<Draft>,
    /// Checkpoints to write once their segment is durable: segment number, its last frame, and the file's
    /// content.
    pending_checkpoints: VecDeque<(u64, Seq, Vec<u8>)>,
    stats: Stats,
}

/// A loaded store, the recovery report, the number of the last segment with the end of its good frames, and
/// the numbers of segment files without a header.
type Loaded<F> = (Store<F>, Recovery, Option<(u64, u64)>, Vec<u64>);

impl<F: Folder> Store<F> {
    /// Opens the store in a folder, or creates one with `fresh_id` as its identifier. `in_memory` has an
    /// entry for each table: whether its values are also kept in memory.
    ///
    /// # Errors
    /// [`Error::Foreign`] if a segment file has a newer format or is not a segment; nothing is changed then.
    /// [`Error::Io`] if the folder can't be read or written. Damage is not an error: see [`Recovery`].
    pub fn open(
        folder: F,
        in_memory: &[bool],
        fresh_id: u64,
        options: Options,
    ) -> Result<(Self, Recovery), Error> {
        let (mut store, recovery, last_good, blank) = Self::load(folder, in_memory, fresh_id, options)?;
        store.clean_up(last_good, &blank)?;
        Ok((store, recovery))
    }

    /// Reads the store in a folder without changing anything there. The result must not be written to.
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
        // All headers are checked first, so that a folder that is rejected stays unchanged.
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
                Err(HeaderError::Newer(v)) => {
                    return foreign(format!("is of the newer format {v}"));
                }
                Err(HeaderError::Foreign) => return foreign("is no segment of a store".into()),
                Err(HeaderError::Damaged) => None,
                // The process ended while creating the file, or the machine failed before the header was
                // written: the segment holds no frames.
                Err(HeaderError::Short | HeaderError::Blank) => {
                    blank.push(*number);
                    None
                }
            });
        }
        let known: Vec<Header> = headers.iter().flatten().copied().collect();
        let id = match known.first() {
            Some(first) => first.store,
            // No segment has a complete header: the store was never written to.
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
        let segment_target = (options.limit / SEGMENTS_PER_LIMIT).clamp(MIN_SEGMENT_LEN, MAX_SEGMENT_LEN);
        let table = |in_memory: &bool| Table { in_memory: *in_memory, entries: BTreeMap::new(), live: 0 };
        let mut store = Store {
            codec: FrameCodec::new(id, 0),
            folder,
            durability: options.durability,
            limit: options.limit,
            segment_target,
            id,
            tables: in_memory.iter().map(table).collect(),
            segments: VecDeque::new(),
            active: None,
            tail_dirty: false,
            retired: Vec::new(),
            cursor: CompactionCursor::default(),
            used: 0,
            live: 0,
            largest_frame: 0,
            next: 1,
            synced: 0,
            unsynced: VecDeque::new(),
            rewrite_pending: false,
            dirty: Vec::new(),
            dirty_active: false,
            folder_dirty: false,
            removal_unsynced: false,
            checkpoints: options.checkpoints,
            found_checkpoints: checkpoints.collect(),
            checkpoint_draft: None,
            pending_checkpoints: VecDeque::new(),
            stats: Stats::default(),
        };
        let mut recovery = Recovery::default();
        let last_good = store.replay(&listed, &headers, &blank, &mut recovery)?;
        store.synced = store.next - 1;
        Ok((store, recovery, last_good, blank))
    }

    /// Reads all segments. Returns the number of the last one and the offset at which its good frames end.
    fn replay(
        &mut self,
        listed: &[(u64, u64)],
        headers: &[Option<Header>],
        blank: &[u64],
        recovery: &mut Recovery,
    ) -> Result<Option<(u64, u64)>, Error> {
        // Live records of the segments before the highest of these were rewritten before any of those was
        // removed.
        let retired_before = headers.iter().flatten().map(|h| h.retired_before).max().unwrap_or(0);
        let mut retired_to = retired_before;
        let mut expected: Option<Seq> = None;
        let mut last_good = None;
        let mut previous: Option<u64> = None;
        let mut first = None;
        for (n, ((number, size), header)) in listed.iter().zip(headers).enumerate() {
            let name = segment_name(*number);
            let is_last = listed[n + 1..].iter().all(|(later, _)| blank.contains(later));
            if *number < retired_before {
                // Retired, but its file was not removed. The deletions of its records may already be gone.
                self.used += disk_size(*size);
                self.retired.push(RetiredSegment {
                    number: *number,
                    size: *size,
                    checkpoint: 0,
                    removable_after: 0,
                });
                continue;
            }
            if blank.contains(number) {
                // As the last segment it is removed at once and its number is reused; otherwise compaction
                // removes it in order.
                if listed[n + 1..].iter().any(|(later, _)| !blank.contains(later)) {
                    previous = Some(*number);
                    self.used += disk_size(*size);
                    self.segments.push_back(Segment::found(*number, *size));
                }
                continue;
            }
            // Frames from this number on were replaced by a later segment: their write was reported as
            // failed.
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
            self.used += disk_size(*size);
            let codec = FrameCodec::new(self.id, *number);
            let (mut at, mut good, mut corrupt) = (HEADER_LEN, HEADER_LEN, false);
            loop {
                match codec.read_item(&bytes[at..], at as u64, true) {
                    Item::Frame { seq, body, len } => {
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
                        at += len;
                        (good, corrupt) = (at, false);
                    }
                    Item::Corrupt(_) if zeros_end && bytes[at..].iter().all(|b| *b == 0) => break,
                    Item::Corrupt(length) => {
                        at += length;
                        corrupt = true;
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
            if is_last && corrupt {
                // A frame of full length with a wrong checksum is not the result of an interrupted write, so
                // its content is unknown. It is left in place, so that the next start detects the damage as
                // well.
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
            // The damaged frame may have used this number.
            self.next += 1;
            recovery.uncertain_before = self.next;
        }
        Ok(last_good)
    }

    fn replay_frame(&mut self, segment: u64, at: usize, seq: Seq, body: &[u8], retired_to: &mut u64) -> bool {
        self.largest_frame = self.largest_frame.max((FRAME_HEADER_LEN + body.len()) as u64);
        for op in ops(body) {
            let Some(op) = op else { return false };
            let Op::Retire { retired_before } = op else {
                self.index(segment, at, seq, body.len(), op);
                continue;
            };
            self.retire_replayed(retired_before, segment, retired_to);
        }
        true
    }

    /// Retires the segments before `retired_before`, as recorded by a frame of `segment`. A segment with live
    /// records stays: the copies of those records were lost. Its file still exists, since files are removed
    /// only after the copies are durable.
    fn retire_replayed(&mut self, retired_before: u64, segment: u64, retired_to: &mut u64) {
        *retired_to = (*retired_to).max(retired_before);
        while self.segments.front().is_some_and(|s| s.number < retired_before.min(segment) && s.live == 0) {
            let Some(Segment { number, size, checkpoint, .. }) = self.segments.pop_front() else { break };
            self.retired.push(RetiredSegment { number, size, checkpoint, removable_after: 0 });
        }
    }

    /// Reads a checkpoint in place of its segment and returns the number of the frame after the segment's
    /// last one. Returns `None` and changes nothing if there is no valid checkpoint.
    fn replay_checkpoint(
        &mut self,
        header: Header,
        size: u64,
        void_from: Seq,
        expected: Option<Seq>,
        retired_to: &mut u64,
    ) -> Option<Seq> {
        let name = checkpoint::name(header.segment);
        let length = self.found_checkpoints.get(&header.segment).copied()?;
        let mut file = vec![0; length as usize];
        self.folder.read_at(&name, 0, &mut file).ok()?;
        let (parts, next) = checkpoint::read(&file, header, size, void_from)?;
        if expected.is_some_and(|expected| header.first_seq != expected) {
            return None;
        }
        self.segments.push_back(Segment { checkpoint: length, ..Segment::found(header.segment, size) });
        self.used += disk_size(size) + disk_size(length);
        let (mut seq, mut at, mut body) = (header.first_seq, HEADER_LEN, 0);
        for op in parts.into_iter().flat_map(ops).flatten() {
            match op {
                Op::Frame { seq: its, at: location, body: length } => {
                    (seq, at, body) = (its, location as usize, length as usize);
                    self.largest_frame = self.largest_frame.max((FRAME_HEADER_LEN + body) as u64);
                }
                Op::Retire { retired_before } => {
                    self.retire_replayed(retired_before, header.segment, retired_to)
                }
                Op::CheckpointEnd { .. } => {}
                op => self.index(header.segment, at, seq, body, op),
            }
        }
        Some(next)
    }

    /// Removes the remains of retired segments and of an interrupted write.
    fn clean_up(&mut self, last_good: Option<(u64, u64)>, blank: &[u64]) -> Result<(), Error> {
        if let Some((number, good)) = last_good
            && let Some(segment) = self.segments.back_mut().filter(|s| s.number == number)
        {
            let name = segment_name(number);
            let opened = self.folder.open(&name);
            let mut file = opened.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
            // If the bytes after the last good frame can't be truncated, nothing may be appended to this
            // file.
            let truncated = segment.size == good || file.truncate(good).is_ok();
            if truncated {
                self.used -= disk_size(segment.size) - disk_size(good);
                segment.size = good;
                (self.active, self.codec) = (Some(file), FrameCodec::new(self.id, number));
                self.dirty_active = true;
            }
        }
        if self.durability == Durability::Machine {
            // Writes of a killed process may not be synced yet, and this process relies on them from now on.
            let names = self.segments.iter().map(|s| segment_name(s.number));
            for name in names.collect::<Vec<_>>() {
                let synced = self.folder.open(&name).and_then(|file| file.syncer()?());
                synced.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
            }
            let synced = self.folder.syncer().and_then(|syncer| syncer());
            synced.map_err(|source| Error::Io { file: self.folder.show(""), source })?;
        }
        for number in std::mem::take(&mut self.found_checkpoints).into_keys() {
            if !self.segments.iter().any(|s| s.number == number && s.checkpoint > 0) {
                let _ = self.folder.remove(&checkpoint::name(number));
            }
        }
        // A file that can't be removed is replaced when its number is used again.
        blank.iter().filter(|number| self.segments.back().is_none_or(|s| s.number < **number)).for_each(
            |n| {
                let _ = self.folder.remove(&segment_name(*n));
            },
        );
        self.remove_retired_files();
        Ok(())
    }

    /// Removes the files of retired segments, oldest first, and stops at the first failure, because a segment
    /// may delete records of earlier segments. After a machine crash one removal may be undone while a later
    /// one took effect, so under [`Durability::Machine`] each removal must be synced before the next.
    fn remove_retired_files(&mut self) {
        while !self.removal_unsynced
            && let Some(retired) = self.retired.first().filter(|d| d.removable_after <= self.synced)
        {
            match self.folder.remove(&segment_name(retired.number)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return,
                _ => {
                    self.used -= disk_size(retired.size);
                    if retired.checkpoint > 0 {
                        // If this fails, the file is removed at the next start.
                        let _ = self.folder.remove(&checkpoint::name(retired.number));
                        self.used -= disk_size(retired.checkpoint);
                    }
                    self.folder_dirty = true;
                    self.removal_unsynced = self.durability == Durability::Machine;
                    self.retired.remove(0);
                }
            }
        }
    }

    /// Writes a batch and returns its sequence number. The batch then survives a crash of the process; under
    /// [`Durability::Machine`] it survives a crash of the machine once [`Self::is_durable`] returns true.
    /// This does not check [`Self::has_room`], so that batches for which space was reserved earlier can be
    /// written.
    ///
    /// # Errors
    /// [`Error::TooLarge`] or [`Error::NoTable`] for an invalid batch; [`Error::Full`] or [`Error::Io`] if it
    /// could not be written. In each case nothing was applied, and the call may be repeated.
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

    /// Writes a batch that is imported from elsewhere. It may use the space reserved for compaction.
    ///
    /// # Errors
    /// As for [`Self::apply`].
    pub fn apply_reserved(&mut self, batch: &Batch) -> Result<Seq, Error> {
        if batch.bytes().len() > MAX_BODY_LEN {
            return Err(Error::TooLarge(batch.bytes().len()));
        }
        self.append(batch.bytes().to_vec(), Room::Compaction)
    }

    /// Changes the maximum total size of the files, in bytes.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Returns whether a batch of `batch` bytes may be accepted when `promised` bytes are reserved for later
    /// batches, including those that follow from this one. If so, all of them will fit, whatever else is
    /// written meanwhile.
    pub fn has_room(&self, batch: usize, promised: u64) -> bool {
        let frame = (FRAME_HEADER_LEN + batch) as u64;
        let largest_frame = self.largest_frame.max(frame);
        // Space to copy one segment, the active segment, and the rounding of all file sizes.
        let apart = 4 * self.segment_target.max(largest_frame + HEADER_LEN as u64)
            + SEGMENTS_PER_LIMIT * (HEADER_LEN as u64 + BLOCK);
        let most = (self.limit / 8 * MAX_LIVE_EIGHTHS).min(self.limit.saturating_sub(apart));
        self.live.saturating_add(frame).saturating_add(promised) <= most
    }

    fn headroom(&self, room: Room) -> u64 {
        match room {
            Room::Batch => {
                2 * self.segment_target.max(self.largest_frame + HEADER_LEN as u64)
                    + 2 * (HEADER_LEN as u64 + BLOCK)
            }
            Room::Compaction => 0,
        }
    }

    fn needs_new_segment(&self, frame: u64) -> bool {
        let full = self
            .segments
            .back()
            .is_none_or(|s| s.size + frame > self.segment_target && s.size > HEADER_LEN as u64);
        self.active.is_none() || self.tail_dirty || full
    }

    fn fits(&self, frame: u64, room: Room) -> bool {
        let grows = match self.segments.back().filter(|_| !self.needs_new_segment(frame)) {
            Some(active) => active.disk_size_at(active.size + frame) - active.disk_size_at(active.size),
            None => disk_size(HEADER_LEN as u64 + frame),
        };
        self.used.saturating_add(grows).saturating_add(self.headroom(room)) <= self.limit
    }

    fn append(&mut self, body: Vec<u8>, room: Room) -> Result<Seq, Error> {
        self.rewrite_unsynced()?;
        let frame = (FRAME_HEADER_LEN + body.len()) as u64;
        self.largest_frame = self.largest_frame.max(frame);
        if !self.fits(frame, room) {
            if room == Room::Batch {
                self.reclaim(frame);
            }
            if !self.fits(frame, room) {
                return Err(Error::Full);
            }
        }
        if self.needs_new_segment(frame) {
            self.start_segment(self.next)?;
        }
        let seq = self.next;
        let (segment, at) = self.write(seq, &body)?;
        self.next += 1;
        match self.durability {
            Durability::Process => self.synced = seq,
            Durability::Machine => self.unsynced.push_back(UnsyncedFrame { segment, at, body }),
        }
        Ok(seq)
    }

    /// Writes a frame to the active segment, applies its operations to the index, and returns the segment's
    /// number and the frame's offset.
    fn write(&mut self, seq: Seq, body: &[u8]) -> Result<(u64, u64), Error> {
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.back_mut()) else {
            return Err(Error::Full);
        };
        let (number, at) = (segment.number, segment.size);
        let bytes = self.codec.encode_frame(at, seq, body);
        if let Err(source) = file.append(&bytes) {
            // Frames after a partial frame could not be read back, so the partial frame is truncated.
            self.tail_dirty = file.truncate(at).is_err();
            if !self.tail_dirty {
                self.used -= segment.disk_size_at(at) - disk_size(at);
                segment.reserved = 0;
            }
            return Err(Error::Io { file: self.folder.show(&segment_name(number)), source });
        }
        self.dirty_active = true;
        let before = segment.disk_size_at(at);
        segment.size += bytes.len() as u64;
        self.used += segment.disk_size_at(segment.size) - before;
        for op in ops(body).flatten() {
            self.index(number, at as usize, seq, body.len(), op);
        }
        if let Some(checkpoint_draft) = &mut self.checkpoint_draft {
            let tables = &self.tables;
            checkpoint_draft
                .add(seq, at, body, |table| tables.get(usize::from(table)).is_some_and(|t| t.in_memory));
        }
        Ok((number, at))
    }

    fn index(&mut self, segment: u64, at: usize, seq: Seq, body: usize, op: Op<'_>) {
        let (table, key) = match op {
            Op::Put { table, key, .. }
            | Op::Delete { table, key }
            | Op::Lost { table, key }
            | Op::ValueRef { table, key, .. } => (table, key),
            Op::Retire { .. } | Op::Frame { .. } | Op::CheckpointEnd { .. } => return,
        };
        let Some(of) = self.tables.get_mut(usize::from(table)) else { return };
        let put = match op {
            Op::Put { value, at, .. } => Some((value, at, value.len() as u32, false)),
            Op::ValueRef { at, length, .. } => Some((&[][..], at as usize, length, false)),
            Op::Lost { .. } => Some((&[][..], 0, 0, true)),
            _ => None,
        };
        let old = match put {
            Some((value, value_at, length, lost)) => {
                let location = ValueLocation {
                    segment,
                    frame: at as u32,
                    body: body as u32,
                    at: value_at as u32,
                    length,
                    seq,
                    lost,
                };
                let value = of.in_memory.then(|| Bytes::copy_from_slice(value));
                let entry = Entry { location, value };
                let old = match of.entries.get_mut(key) {
                    Some(there) => Some(std::mem::replace(there, entry)),
                    None => of.entries.insert(key.into(), entry),
                };
                let record_size = record_size(key, location.length);
                self.live += record_size;
                of.live += record_size;
                if let Some(s) = self.segments.iter_mut().rev().find(|s| s.number == segment) {
                    s.live += record_size;
                }
                old
            }
            None => of.entries.remove(key),
        };
        if let Some(old) = old {
            let record_size = record_size(key, old.location.length);
            self.live -= record_size;
            of.live -= record_size;
            subtract_live(&mut self.segments, old.location.segment, record_size);
        }
    }

    /// Removes a key from the index without writing a deletion. The key may reappear after a restart, so this
    /// is only for tables whose values carry an expiry time. Returns whether the key existed.
    pub fn forget(&mut self, table: u8, key: &[u8]) -> bool {
        let Some(of) = self.tables.get_mut(usize::from(table)) else { return false };
        let Some(old) = of.entries.remove(key) else { return false };
        let record_size = record_size(key, old.location.length);
        self.live -= record_size;
        of.live -= record_size;
        subtract_live(&mut self.segments, old.location.segment, record_size);
        true
    }

    fn start_segment(&mut self, first_seq: Seq) -> Result<(), Error> {
        if self.durability == Durability::Machine
            && self.dirty_active
            && let Some(file) = &self.active
        {
            let syncer = file.syncer();
            let name = self.segments.back().map(|s| segment_name(s.number)).unwrap_or_default();
            self.dirty.push(syncer.map_err(|source| Error::Io { file: self.folder.show(&name), source })?);
        }
        let number = self.segments.back().map_or(0, |s| s.number);
        let number = self.retired.last().map_or(0, |d| d.number).max(number) + 1;
        // Excludes retired segments whose files may still be needed because the copies are not durable yet.
        let oldest = self.segments.front().map_or(number, |s| s.number);
        let retired_before = self.retired.first().map_or(oldest, |d| d.number.min(oldest));
        self.trim_reserved();
        let previous = self.segments.back().map(|s| (s.number, s.size));
        let reserved = if self.may_reserve() { self.segment_target } else { 0 };
        let header = Header { store: self.id, segment: number, first_seq, retired_before, reserved };
        let name = segment_name(number);
        let created = match self.folder.create(&name) {
            // Left over from a failed attempt whose clean-up failed as well.
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
        let had_dirty_tail = self.tail_dirty;
        (self.active, self.tail_dirty, self.dirty_active, self.folder_dirty) =
            (Some(file), false, true, true);
        self.codec = FrameCodec::new(self.id, number);
        let mut segment =
            Segment { unsynced_header: Some(header), ..Segment::found(number, HEADER_LEN as u64) };
        let reserve = self.active.as_mut().filter(|_| reserved > 0).map(|file| file.reserve(reserved));
        if reserve.is_some_and(|done| done.is_ok()) {
            segment.reserved = reserved;
        }
        self.used += segment.disk_size_at(segment.size);
        self.segments.push_back(segment);
        // After a failed write the file may contain bytes that are not part of the log.
        let whole = self.checkpoint_draft.take().zip(previous).filter(|_| !had_dirty_tail);
        if let Some((checkpoint_draft, (number, size))) = whole {
            self.pending_checkpoints.push_back((
                number,
                first_seq - 1,
                checkpoint_draft.seal(size, first_seq),
            ));
        }
        self.checkpoint_draft = self.checkpoints.then(|| Draft::new(header));
        Ok(())
    }

    /// Whether the next segment's file is preallocated: only if writes are synced and enough space remains.
    fn may_reserve(&self) -> bool {
        let used_after =
            self.used.saturating_add(self.segment_target).saturating_add(self.headroom(Room::Batch));
        self.durability == Durability::Machine && used_after <= self.limit
    }

    /// Truncates the preallocated rest of the active segment's file before the next segment is created.
    fn trim_reserved(&mut self) {
        let (Some(file), Some(segment)) = (&mut self.active, self.segments.back_mut()) else { return };
        if segment.reserved > 0 && !self.tail_dirty && file.truncate(segment.size).is_ok() {
            self.used -= segment.disk_size_at(segment.size) - disk_size(segment.size);
            segment.reserved = 0;
        }
    }

    /// Returns the value of a key, read from disk if its table is not kept in memory. `Ok(None)` if the key
    /// does not exist.
    ///
    /// # Errors
    /// [`Error::Damaged`] if the value fails its checksum or was lost; [`Error::Io`] if it can't be read.
    pub fn get(&self, table: u8, key: &[u8]) -> Result<Option<Bytes>, Error> {
        let Some(entry) = self.tables.get(usize::from(table)).and_then(|t| t.entries.get(key)) else {
            return Ok(None);
        };
        self.value(entry).map(Some)
    }

    fn value(&self, entry: &Entry) -> Result<Bytes, Error> {
        let location = entry.location;
        let name = segment_name(location.segment);
        let damaged = || Error::Damaged { file: self.folder.show(&name) };
        if location.lost {
            return Err(damaged());
        }
        if let Some(value) = &entry.value {
            return Ok(value.clone());
        }
        let mut frame = vec![0; FRAME_HEADER_LEN + location.body as usize];
        let read = self.folder.read_at(&name, u64::from(location.frame), &mut frame);
        read.map_err(|source| Error::Io { file: self.folder.show(&name), source })?;
        let codec = FrameCodec::new(self.id, location.segment);
        match codec.read_item(&frame, u64::from(location.frame), true) {
            Item::Frame { seq, body, .. } if seq == location.seq => {
                let from = location.at as usize;
                let value = body.get(from..from + location.length as usize).ok_or_else(damaged)?;
                Ok(Bytes::copy_from_slice(value))
            }
            _ => Err(damaged()),
        }
    }

    /// Iterates over the keys of a table in order, starting at `from` (an empty key for all). Each comes with
    /// the number of the frame that last wrote it and, if the table is kept in memory, its value.
    pub fn keys<'a>(
        &'a self,
        table: u8,
        from: &'a [u8],
    ) -> impl Iterator<Item = (&'a [u8], Seq, Option<&'a Bytes>)> + 'a {
        let entries = self.tables.get(usize::from(table)).map(|t| &t.entries);
        let bounds = (Bound::Included(from), Bound::Unbounded);
        let range = entries.map(|entries| entries.range::<[u8], _>(bounds));
        range.into_iter().flatten().map(|(key, e)| (&key[..], e.location.seq, e.value.as_ref()))
    }

    /// Returns whether a key exists.
    pub fn contains(&self, table: u8, key: &[u8]) -> bool {
        self.tables.get(usize::from(table)).is_some_and(|t| t.entries.contains_key(key))
    }

    /// Returns the number of keys in a table.
    pub fn len(&self, table: u8) -> usize {
        self.tables.get(usize::from(table)).map_or(0, |t| t.entries.len())
    }

    /// Returns whether a table has no keys.
    pub fn is_empty(&self, table: u8) -> bool {
        self.len(table) == 0
    }

    /// Returns the total size of a table's live records in bytes.
    pub fn live_bytes(&self, table: u8) -> u64 {
        self.tables.get(usize::from(table)).map_or(0, |t| t.live)
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> Stats {
        let segments = self.segments.len() + self.retired.len();
        Stats { used: self.used, live: self.live, segments, ..self.stats }
    }

    /// Iterates over the segments in use, oldest first: number, size and size of the live records, in bytes.
    pub fn segments(&self) -> impl Iterator<Item = (u64, u64, u64)> + '_ {
        self.segments.iter().map(|s| (s.number, s.size, s.live))
    }

    /// Returns the maximum total size of the files in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the folder.
    pub fn folder(&self) -> &F {
        &self.folder
    }

    /// Returns the sequence number of the next frame.
    pub fn next_seq(&self) -> Seq {
        self.next
    }

    // Compaction.

    /// Whether there is enough dead data for a compaction step.
    fn worth_compacting(&self) -> bool {
        // While retired files wait for a sync, further copies would only use more space.
        self.used > self.live * 5 / 4 + 6 * self.segment_target
            && self.segments.len() > 1
            && self.retired.len() < 4
    }

    fn compact_some(&mut self, scan: usize) {
        self.remove_retired_files();
        self.write_checkpoint();
        if self.worth_compacting() {
            // A failure is retried with the next batch; nothing depends on compaction until space runs out.
            let _ = self.compact_step(scan.clamp(SCAN_MIN, SCAN_MAX));
        }
    }

    /// Writes one pending checkpoint whose segment is durable. A failure is ignored: the segment is read
    /// instead.
    fn write_checkpoint(&mut self) {
        let Some((number, _, file)) =
            self.pending_checkpoints.pop_front_if(|(_, up_to, _)| *up_to <= self.synced)
        else {
            return;
        };
        let fits = self.used + disk_size(file.len() as u64) + self.headroom(Room::Batch) <= self.limit;
        let Some(segment) = self.segments.iter_mut().find(|s| s.number == number && fits) else { return };
        let name = checkpoint::name(number);
        let made = self.folder.create(&name).and_then(|mut to| to.append(&file));
        if made.is_err() {
            let _ = self.folder.remove(&name);
            return;
        }
        segment.checkpoint = file.len() as u64;
        self.used += disk_size(segment.checkpoint);
    }

    /// Runs one compaction step if worthwhile; for idle times. Returns whether a step was attempted.
    pub fn maintain(&mut self) -> bool {
        let worth = self.worth_compacting();
        self.compact_some(SCAN_MAX);
        worth
    }

    /// Scans up to `scan` bytes of the oldest segment, rewrites the live records found, and retires the
    /// segment at its end. Returns whether there was a segment to compact.
    fn compact_step(&mut self, scan: usize) -> Result<bool, Error> {
        // Frames awaiting a rewrite must be on disk before they are read back.
        self.rewrite_unsynced()?;
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
                // Another process truncated or removed the file, so its content is lost.
                self.preserve_unreadable(number)?;
                return self.retire(number).map(|()| true);
            }
            return Err(Error::Io { file: self.folder.show(&name), source });
        }
        let last = read_to + more as u64 >= size;
        let codec = FrameCodec::new(self.id, number);
        let buffer = std::mem::take(&mut self.cursor.read);
        let (mut done, mut at_end) = (0, false);
        let mut copies = Batch::new();
        let mut result = Ok(());
        loop {
            let at = self.cursor.at + done as u64;
            match codec.read_item(&buffer[done..], at, last) {
                Item::Frame { body, len, .. } => {
                    for op in ops(body).flatten() {
                        let (before, most) = (copies.bytes().len(), self.max_copy_batch_len());
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
                    done += len;
                    if result.is_err() {
                        break;
                    }
                }
                Item::Corrupt(length) => done += length,
                Item::More => break,
                Item::Torn(_) | Item::End => {
                    at_end = true;
                    break;
                }
            }
        }
        let result = result.and_then(|()| self.append_copies(&mut copies));
        if let Err(e) = result {
            // Restart at the segment's beginning: records already copied are no longer live in it.
            self.cursor = CompactionCursor::default();
            return Err(e);
        }
        self.cursor.read = buffer[done..].to_vec();
        self.cursor.at += done as u64;
        if at_end {
            self.preserve_unreadable(number)?;
            self.retire(number)?;
        }
        Ok(true)
    }

    /// Maximum bytes of copied records in one frame. Small frames fit into the rest of a segment.
    fn max_copy_batch_len(&self) -> usize {
        (self.segment_target / 4).min(64 * 1024) as usize
    }

    /// Appends an operation to `copies` if its record is still live in this frame.
    fn copy_live(&self, segment: u64, frame: u64, op: Op<'_>, copies: &mut Batch) {
        let (table, key) = match op {
            Op::Put { table, key, .. } | Op::Lost { table, key } => (table, key),
            _ => return,
        };
        let entry = self.tables.get(usize::from(table)).and_then(|t| t.entries.get(key));
        let here = |e: &&Entry| e.location.segment == segment && u64::from(e.location.frame) == frame;
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

    /// Handles records that are still live in the segment although their frames can no longer be read: the
    /// file was damaged while the process ran. Values in memory are rewritten; the others are recorded as
    /// lost.
    fn preserve_unreadable(&mut self, segment: u64) -> Result<(), Error> {
        let left = self.segments.front().is_some_and(|s| s.number == segment && s.live > 0);
        if !left {
            return Ok(());
        }
        let mut frames = vec![Batch::new()];
        for (number, table) in (0..).zip(&self.tables) {
            for (key, entry) in table.entries.iter().filter(|(_, e)| e.location.segment == segment) {
                if frames.last().is_some_and(|b| b.bytes().len() > self.max_copy_batch_len() / 2) {
                    frames.push(Batch::new());
                }
                let Some(batch) = frames.last_mut() else { continue };
                match entry.value.as_ref().filter(|_| !entry.location.lost) {
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
        let removable_after = self.append(batch.bytes().to_vec(), Room::Compaction)?;
        self.stats.copied += (FRAME_HEADER_LEN + batch.bytes().len()) as u64;
        self.stats.retired += 1;
        self.cursor = CompactionCursor::default();
        if let Some(segment) = self.segments.pop_front() {
            let (size, checkpoint) = (segment.size.max(segment.reserved), segment.checkpoint);
            self.retired.push(RetiredSegment { number, size, checkpoint, removable_after });
        }
        self.remove_retired_files();
        Ok(())
    }

    /// Compacts until a frame of this size fits, for at most one pass over the log.
    fn reclaim(&mut self, frame: u64) {
        let newest = self.segments.back().map_or(0, |s| s.number);
        while !self.fits(frame, Room::Batch) {
            // Space that only awaits a sync is freed first, because further copies need space themselves.
            let retired = self.retired.len();
            if retired > 0 && self.durability == Durability::Machine {
                if self.sync().is_err() {
                    break;
                }
                if self.retired.len() < retired {
                    continue;
                }
            }
            let oldest = self.segments.front().map_or(u64::MAX, |s| s.number);
            if oldest > newest {
                break;
            }
            // The active segment is compacted as well.
            if self.segments.len() == 1
                && (self.used + BLOCK > self.limit || self.start_segment(self.next).is_err())
            {
                break;
            }
            if self.compact_step(SCAN_MAX).is_err() {
                break;
            }
        }
    }

    /// Compacts all segments, as far as there is space, and reports statistics after each step. A maintenance
    /// operation: it blocks for long.
    ///
    /// # Errors
    /// As for [`Self::apply`].
    pub fn compact(&mut self, mut progress: impl FnMut(Stats)) -> Result<(), Error> {
        let newest = self.segments.back().map_or(0, |s| s.number);
        if self.segments.len() == 1 {
            self.start_segment(self.next)?;
        }
        while self.segments.front().is_some_and(|s| s.number <= newest) {
            self.compact_step(SCAN_MAX)?;
            progress(self.stats());
            if self.segments.len() == 1 {
                break;
            }
        }
        if self.durability == Durability::Machine {
            self.sync()?;
        }
        self.remove_retired_files();
        Ok(())
    }

    // Durability.

    /// Returns whether the batch with this sequence number is durable as configured.
    pub fn is_durable(&self, seq: Seq) -> bool {
        seq <= self.synced
    }

    /// Returns a job that syncs everything written so far; `None` if it is durable already. Only one job may
    /// be outstanding at a time.
    ///
    /// # Errors
    /// [`Error::Io`] if a sync handle can't be created.
    pub fn sync_job(&mut self) -> Result<Option<SyncJob>, Error> {
        self.rewrite_unsynced()?;
        let removing = self.removal_unsynced && !self.retired.is_empty();
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
        Ok(Some(SyncJob { syncers, folder, up_to: self.next - 1 }))
    }

    /// Processes the result of a job. After a failed sync the kernel may have dropped dirty pages and marked
    /// them clean, so all frames that are not durable yet are rewritten at the same offsets.
    ///
    /// # Errors
    /// [`Error::Io`] if the job failed; the frames it covered are not durable yet.
    pub fn finish_sync(&mut self, synced: SyncResult) -> Result<(), Error> {
        match synced.done {
            Ok(()) => {
                while self.synced < synced.up_to {
                    self.synced += 1;
                    self.unsynced.pop_front();
                }
                // The headers of segments with frames beyond the job were covered by it as well.
                let active = self.unsynced.front().map_or(u64::MAX, |u| u.segment);
                self.segments
                    .iter_mut()
                    .filter(|s| s.number <= active)
                    .for_each(|s| s.unsynced_header = None);
                self.removal_unsynced &= !synced.folder;
                self.remove_retired_files();
                Ok(())
            }
            Err(source) => {
                // The next job must sync the folder again.
                self.folder_dirty |= synced.folder;
                let name = self.segments.back().map(|s| segment_name(s.number)).unwrap_or_default();
                let failed = Error::Io { file: self.folder.show(&name), source };
                self.rewrite_pending = true;
                self.rewrite_unsynced()?;
                Err(failed)
            }
        }
    }

    /// After a failed sync, rewrites the frames that are not durable at their offsets.
    fn rewrite_unsynced(&mut self) -> Result<(), Error> {
        if !self.rewrite_pending {
            return Ok(());
        }
        let first = self.unsynced.front().map_or(u64::MAX, |u| u.segment);
        let touched = |s: &&Segment| s.number >= first || s.unsynced_header.is_some();
        let touched: Vec<(u64, Option<Header>)> =
            self.segments.iter().filter(touched).map(|s| (s.number, s.unsynced_header)).collect();
        let active = self.segments.back().map(|s| s.number);
        for (number, unsynced_header) in touched {
            let mut frames =
                (self.synced + 1..).zip(&self.unsynced).filter(|(_, u)| u.segment == number).peekable();
            let from = frames.peek().map(|(_, u)| u.at);
            let Some(from) = unsynced_header.map(|_| 0).or(from) else { continue };
            let codec = FrameCodec::new(self.id, number);
            let mut bytes = unsynced_header.map(|header| header.encode().to_vec()).unwrap_or_default();
            frames.for_each(|(seq, u)| bytes.extend(codec.encode_frame(u.at, seq, &u.body)));
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
                // Truncating the file dropped its preallocated space.
                self.used -= segment.disk_size_at(segment.size) - disk_size(segment.size);
                segment.reserved = 0;
            }
        }
        (self.dirty_active, self.folder_dirty, self.rewrite_pending) = (true, true, false);
        Ok(())
    }

    /// Syncs everything written so far and waits for it.
    ///
    /// # Errors
    /// [`Error::Io`] if the sync fails.
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

/// Size in bytes of a live record in a frame of its own.
fn record_size(key: &[u8], value: u32) -> u64 {
    (FRAME_HEADER_LEN + PUT_HEADER_LEN + key.len()) as u64 + u64::from(value)
}

fn subtract_live(segments: &mut VecDeque<Segment>, number: u64, record_size: u64) {
    if let Some(first) = segments.front().map(|s| s.number)
        && let Some(segment) = number.checked_sub(first).and_then(|n| segments.get_mut(n as usize))
        && segment.number == number
    {
        segment.live = segment.live.saturating_sub(record_size);
    } else if let Some(segment) = segments.iter_mut().find(|s| s.number == number) {
        segment.live = segment.live.saturating_sub(record_size);
    }
}
