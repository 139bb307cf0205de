//! The bytes on disk: segment headers, frames and the operations in them. No I/O.
//!
//! A segment file is a header (twice, so that one damaged copy costs nothing), then frames. A frame holds one
//! batch of operations and stands or falls as a whole:
//!
//! ```text
//! header  "MILLPOST" | version u32 | store u64 | segment u64 | first seq u64 | floor u64 | reserved u64 | crc u32 | 0 × 8
//! frame   length u32 | seq u64 | crc of the body u32 | crc of the head u32 | body
//! body    operations, one after the other: kind u8 | table u8 | key length u16 | key | (put) length u32 | value
//! ```
//!
//! All numbers are little-endian. The invariant kept here: the checksum of a frame's head also covers the store's
//! number, the segment's number and the frame's offset, so that bytes of another store, of a recycled segment
//! or of another place never pass for a frame.

use crc32fast::Hasher;

/// Version that this code writes, and the newest that it reads.
pub const VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"MILLPOST";
const COPY: usize = 64;
/// Bytes of a copy that its checksum covers, and that it follows.
const SUMMED: usize = 52;
/// Bytes of a segment's header, both copies.
pub const HEADER_LEN: usize = 2 * COPY;
/// Bytes of a frame before its body.
pub const FRAME_HEADER_LEN: usize = 20;
/// The largest body of a frame; also bounds what a reader allocates for one.
pub const MAX_BODY_LEN: usize = 1 << 20;
/// The longest key.
pub const MAX_KEY_LEN: usize = 1024;

/// No frame has a number above this: one that is read with more is none, so that counting on never overflows.
pub const MAX_SEQ: Seq = 1 << 62;

/// Number of a frame: one more than that of the frame before it in the log.
pub type Seq = u64;

/// What a segment says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Drawn when the store was made.
    pub store: u64,
    /// Place of the segment in the log, from 1.
    pub segment: u64,
    /// Number of its first frame; frames of earlier segments from this number on are void.
    pub first_seq: Seq,
    /// Segments before this one had been given up when the segment was made.
    pub floor: u64,
    /// Length that the file was given ahead of its frames: zeros at its end are no damage. 0 for none.
    pub reserved: u64,
}

/// Why the start of a file is no header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The file ends within it.
    Short,
    /// There are zeros where it should be.
    Blank,
    /// Neither copy is one of a store.
    Foreign,
    /// It is one of a store, but both copies are damaged.
    Damaged,
    /// A later version wrote it.
    Newer(u32),
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
}
fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}
fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

impl Header {
    /// The header's bytes, both copies.
    pub fn encode(&self) -> [u8; HEADER_LEN] {
        let mut all = [0; HEADER_LEN];
        for copy in all.chunks_exact_mut(COPY) {
            copy[..8].copy_from_slice(MAGIC);
            copy[8..12].copy_from_slice(&VERSION.to_le_bytes());
            let numbers = [self.store, self.segment, self.first_seq, self.floor, self.reserved];
            for (place, number) in copy[12..SUMMED].chunks_exact_mut(8).zip(numbers) {
                place.copy_from_slice(&number.to_le_bytes());
            }
            let sum = crc32fast::hash(&copy[..SUMMED]);
            copy[SUMMED..SUMMED + 4].copy_from_slice(&sum.to_le_bytes());
        }
        all
    }

    /// Reads the header at the start of a file.
    ///
    /// # Errors
    /// [`HeaderError`] where neither copy can be read.
    pub fn decode(bytes: &[u8]) -> Result<Header, HeaderError> {
        if bytes.len() < HEADER_LEN {
            let shown = bytes.len().min(8);
            return Err(if bytes[..shown] == MAGIC[..shown] {
                HeaderError::Short
            } else {
                HeaderError::Foreign
            });
        }
        if bytes[..HEADER_LEN].iter().all(|b| *b == 0) {
            return Err(HeaderError::Blank);
        }
        let mut worst = HeaderError::Foreign;
        for copy in bytes[..HEADER_LEN].chunks_exact(COPY) {
            if copy[..8] != MAGIC[..] {
                continue;
            }
            worst = HeaderError::Damaged;
            let (version, sum) = (u32_at(copy, 8), u32_at(copy, SUMMED));
            if sum != Some(crc32fast::hash(&copy[..SUMMED])) {
                continue;
            }
            if let Some(version) = version.filter(|v| *v != VERSION) {
                return Err(HeaderError::Newer(version));
            }
            let number = |n: usize| u64_at(copy, 12 + 8 * n).unwrap_or(0);
            if (0..5).any(|n| n != 0 && number(n) > MAX_SEQ) {
                continue;
            }
            return Ok(Header {
                store: number(0),
                segment: number(1),
                first_seq: number(2),
                floor: number(3),
                reserved: number(4),
            });
        }
        Err(worst)
    }
}

/// What the checksums of one segment's frames begin with.
#[derive(Clone)]
pub struct Seed(Hasher);

impl Seed {
    /// For the frames of this segment of this store.
    pub fn new(store: u64, segment: u64) -> Self {
        let mut hasher = Hasher::new();
        hasher.update(&store.to_le_bytes());
        hasher.update(&segment.to_le_bytes());
        Seed(hasher)
    }

    fn head_sum(&self, at: u64, head: &[u8]) -> u32 {
        let mut hasher = self.0.clone();
        hasher.update(&at.to_le_bytes());
        hasher.update(head);
        hasher.finalize()
    }

    /// A whole frame for this offset of the segment.
    pub fn frame(&self, at: u64, seq: Seq, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FRAME_HEADER_LEN + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&seq.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
        let sum = self.head_sum(at, &bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    fn head(&self, at: u64, bytes: &[u8]) -> Option<(usize, Seq, u32)> {
        let head = bytes.get(..FRAME_HEADER_LEN)?;
        let length = u32_at(head, 0)? as usize;
        // Looked at first: most of what is no head fails here without a checksum.
        if length > MAX_BODY_LEN || u32_at(head, 16)? != self.head_sum(at, &head[..16]) {
            return None;
        }
        let seq = u64_at(head, 4).filter(|seq| *seq <= MAX_SEQ)?;
        Some((length, seq, u32_at(head, 12)?))
    }

    /// What stands at the start of `bytes`, which lie at offset `at` of the segment; `last` where the file ends
    /// with them.
    pub fn next<'a>(&self, bytes: &'a [u8], at: u64, last: bool) -> Item<'a> {
        if bytes.is_empty() {
            return if last { Item::End } else { Item::More };
        }
        if bytes.len() < FRAME_HEADER_LEN {
            return if last { Item::Torn(bytes.len()) } else { Item::More };
        }
        if let Some((length, seq, sum)) = self.head(at, bytes) {
            let whole = FRAME_HEADER_LEN + length;
            return match bytes.get(FRAME_HEADER_LEN..whole) {
                Some(body) if crc32fast::hash(body) == sum => Item::Frame { seq, body, whole },
                Some(_) => Item::Spoilt(whole),
                None if last => Item::Torn(bytes.len()),
                None => Item::More,
            };
        }
        // The length can't be trusted: the next head that can be read is looked for.
        let heads = 1..=bytes.len() - FRAME_HEADER_LEN;
        let found = heads.clone().find(|skip| self.head(at + *skip as u64, &bytes[*skip..]).is_some());
        Item::Spoilt(found.unwrap_or(if last { bytes.len() } else { *heads.end() }.max(1)))
    }
}

/// What a reader finds at a place of a segment.
#[derive(Debug, PartialEq, Eq)]
pub enum Item<'a> {
    /// A good frame.
    Frame {
        /// Its number.
        seq: Seq,
        /// Its operations.
        body: &'a [u8],
        /// Its length with its head.
        whole: usize,
    },
    /// So many bytes are no frame though there were enough of them for one.
    Spoilt(usize),
    /// The file ends within a frame: its write was cut off. So many bytes.
    Torn(usize),
    /// More bytes are needed to tell.
    More,
    /// The segment ends here.
    End,
}

/// One change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op<'a> {
    /// The key has this value from now on.
    Put {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
        /// Value.
        value: &'a [u8],
        /// Offset of the value in the body.
        at: usize,
    },
    /// The key is no more.
    Delete {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
    },
    /// The key is there, but its value was found damaged.
    Lost {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
    },
    /// In a checkpoint: what follows stood in this frame.
    Frame {
        /// Its number.
        seq: Seq,
        /// Its offset in the segment.
        at: u32,
        /// Length of its body.
        body: u32,
    },
    /// In a checkpoint: a put whose value is in the segment alone.
    Placed {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
        /// Offset of the value in the frame's body.
        at: u32,
        /// Its length.
        length: u32,
    },
    /// The end of a checkpoint.
    Sealed {
        /// Bytes of the segment.
        size: u64,
        /// Number of the frame after its last.
        next: Seq,
    },
    /// Segments before this one are given up.
    Retire {
        /// The oldest one that is still needed.
        floor: u64,
    },
}

const PUT: u8 = 1;
const DELETE: u8 = 2;
const LOST: u8 = 3;
const RETIRE: u8 = 4;
const FRAME: u8 = 5;
const PLACED: u8 = 6;
const SEALED: u8 = 7;

/// Bytes that a put takes besides key and value.
pub const PUT_HEADER_LEN: usize = 8;

/// Operations that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    bytes: Vec<u8>,
}

impl Batch {
    /// Nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// No operation is in it.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The operations as they stand in a frame.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    fn op(&mut self, kind: u8, table: u8, key: &[u8]) {
        self.bytes.extend_from_slice(&[kind, table]);
        // A longer key is refused by the store; cut here so that the lengths always agree.
        let key = &key[..key.len().min(usize::from(u16::MAX))];
        self.bytes.extend_from_slice(&(key.len() as u16).to_le_bytes());
        self.bytes.extend_from_slice(key);
    }

    /// Sets the value of a key.
    pub fn put(&mut self, table: u8, key: &[u8], value: &[u8]) -> &mut Self {
        self.op(PUT, table, key);
        self.bytes.extend_from_slice(&(value.len() as u32).to_le_bytes());
        self.bytes.extend_from_slice(value);
        self
    }

    /// Removes a key.
    pub fn delete(&mut self, table: u8, key: &[u8]) -> &mut Self {
        self.op(DELETE, table, key);
        self
    }

    /// Takes the operations from this byte on out of the batch.
    pub(crate) fn split_off(&mut self, at: usize) -> Batch {
        Batch { bytes: self.bytes.split_off(at) }
    }

    pub(crate) fn lost(&mut self, table: u8, key: &[u8]) {
        self.op(LOST, table, key);
    }

    pub(crate) fn retire(&mut self, floor: u64) {
        self.op(RETIRE, 0, &floor.to_le_bytes());
    }

    pub(crate) fn frame(&mut self, seq: Seq, at: u32, body: u32) {
        self.op(FRAME, 0, &[&seq.to_le_bytes()[..], &at.to_le_bytes(), &body.to_le_bytes()].concat());
    }

    pub(crate) fn placed(&mut self, table: u8, key: &[u8], at: u32, length: u32) {
        self.op(PLACED, table, key);
        self.bytes.extend_from_slice(&at.to_le_bytes());
        self.bytes.extend_from_slice(&length.to_le_bytes());
    }

    pub(crate) fn sealed(&mut self, size: u64, next: Seq) {
        self.op(SEALED, 0, &[size.to_le_bytes(), next.to_le_bytes()].concat());
    }
}

/// The operations of a body; `None` in place of one that can't be read, after which nothing follows.
pub fn ops(body: &[u8]) -> impl Iterator<Item = Option<Op<'_>>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        (at < body.len()).then(|| {
            let read = read_op(body, at);
            at = read.map_or(body.len(), |(_, end)| end);
            read.map(|(op, _)| op)
        })
    })
}

fn read_op(body: &[u8], start: usize) -> Option<(Op<'_>, usize)> {
    let (kind, table) = (*body.get(start)?, *body.get(start + 1)?);
    let key_end = start + 4 + usize::from(u16_at(body, start + 2)?);
    let key = body.get(start + 4..key_end)?;
    match kind {
        PUT => {
            let length = u32_at(body, key_end)? as usize;
            let at = key_end + 4;
            let end = at.checked_add(length)?;
            Some((Op::Put { table, key, value: body.get(at..end)?, at }, end))
        }
        DELETE => Some((Op::Delete { table, key }, key_end)),
        LOST => Some((Op::Lost { table, key }, key_end)),
        FRAME => {
            Some((Op::Frame { seq: u64_at(key, 0)?, at: u32_at(key, 8)?, body: u32_at(key, 12)? }, key_end))
        }
        PLACED => {
            let (at, length) = (u32_at(body, key_end)?, u32_at(body, key_end + 4)?);
            Some((Op::Placed { table, key, at, length }, key_end + 8))
        }
        SEALED => Some((Op::Sealed { size: u64_at(key, 0)?, next: u64_at(key, 8)? }, key_end)),
        RETIRE => Some((Op::Retire { floor: u64_at(key, 0)? }, key_end)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_damaged_copy_of_a_header_costs_nothing() {
        let header = Header { store: 1, segment: 2, first_seq: 3, floor: 4, reserved: 5 };
        let good = header.encode();
        for at in 0..HEADER_LEN {
            let mut bad = good;
            bad[at] ^= 0x40;
            assert_eq!(Header::decode(&bad), Ok(header), "damage at {at}");
        }
        assert_eq!(Header::decode(&good[..20]), Err(HeaderError::Short));
        assert_eq!(Header::decode(&[7; 200]), Err(HeaderError::Foreign));
    }

    #[test]
    fn a_newer_version_is_told_apart_from_damage() {
        let mut bytes = Header { store: 1, segment: 2, first_seq: 3, floor: 4, reserved: 5 }.encode();
        for copy in bytes.chunks_exact_mut(COPY) {
            copy[8] = 9;
            let sum = crc32fast::hash(&copy[..SUMMED]);
            copy[SUMMED..SUMMED + 4].copy_from_slice(&sum.to_le_bytes());
        }
        assert_eq!(Header::decode(&bytes), Err(HeaderError::Newer(9)));
        bytes[9] ^= 1;
        bytes[COPY + 9] ^= 1;
        assert_eq!(Header::decode(&bytes), Err(HeaderError::Damaged));
    }

    #[test]
    fn a_frame_of_another_store_segment_or_place_is_none() {
        let mut batch = Batch::new();
        batch.put(1, b"key", b"value").delete(2, b"other");
        let frame = Seed::new(7, 3).frame(128, 9, batch.bytes());
        let read = |seed: Seed, at| matches!(seed.next(&frame, at, true), Item::Frame { seq: 9, .. });
        assert!(read(Seed::new(7, 3), 128));
        assert!(!read(Seed::new(8, 3), 128) && !read(Seed::new(7, 4), 128) && !read(Seed::new(7, 3), 129));
        let all: Vec<_> = ops(batch.bytes()).flatten().collect();
        assert_eq!(all.len(), 2);
        assert!(matches!(all[0], Op::Put { table: 1, key: b"key", value: b"value", .. }));
    }

    #[test]
    fn after_a_damaged_frame_the_next_one_is_found() {
        let seed = Seed::new(7, 3);
        let (first, second) = (seed.frame(128, 1, b""), seed.frame(148, 2, b""));
        for at in 0..FRAME_HEADER_LEN {
            let mut both = [first.clone(), second.clone()].concat();
            both[at] ^= 0x81;
            let Item::Spoilt(skip) = seed.next(&both, 128, true) else { panic!("not found: {at}") };
            assert_eq!(skip, FRAME_HEADER_LEN);
            assert!(matches!(seed.next(&both[skip..], 148, true), Item::Frame { seq: 2, .. }));
        }
    }
}
