//! The on-disk format: segment headers, frames and the operations in them. No I/O.
//!
//! A segment file consists of two copies of its header, so that one corrupt copy is harmless, followed by
//! frames. A frame holds one batch of operations, which is valid only as a whole:
//!
//! ```text
//! header  "MILLPOST" | version u32 | store u64 | segment u64 | first seq u64 | retired before u64 | reserved u64
//!         | crc u32 | 0 × 8
//! frame   length u32 | seq u64 | crc of the body u32 | crc of the frame header u32 | body
//! body    operations in sequence: kind u8 | table u8 | key length u16 | key | (put) length u32 | value
//! ```
//!
//! All integers are little-endian. The checksum of a frame header also covers the store's identifier, the
//! segment's number and the frame's offset, so that bytes from another store, a recycled segment or another
//! offset are never accepted as a frame.

use crc32fast::Hasher;

/// Format version that this code writes, and the newest that it reads.
pub const VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"MILLPOST";
const HEADER_COPY_LEN: usize = 64;
/// Offset of the checksum in a header copy; it covers the bytes before it.
const CHECKSUM_OFFSET: usize = 52;
/// Length of a segment's header in bytes, both copies included.
pub const HEADER_LEN: usize = 2 * HEADER_COPY_LEN;
/// Length of a frame's header in bytes.
pub const FRAME_HEADER_LEN: usize = 20;
/// Maximum length of a frame's body in bytes; also bounds the allocation of a reader.
pub const MAX_BODY_LEN: usize = 1 << 20;
/// Maximum length of a key in bytes.
pub const MAX_KEY_LEN: usize = 1024;

/// Highest sequence number of a frame. A frame with a higher one is invalid, so that incrementing never
/// overflows.
pub const MAX_SEQ: Seq = 1 << 62;

/// Sequence number of a frame: one more than that of the preceding frame in the log.
pub type Seq = u64;

/// Header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Random identifier of the store, chosen when it was created.
    pub store: u64,
    /// Position of the segment in the log, starting at 1.
    pub segment: u64,
    /// Sequence number of its first frame. Frames of earlier segments with this number or a higher one are
    /// void.
    pub first_seq: Seq,
    /// Segments before this one had been retired when the segment was created.
    pub retired_before: u64,
    /// Preallocated length of the file in bytes, 0 for none. Zeros at the end of a preallocated file are not
    /// damage.
    pub reserved: u64,
}

/// Why the start of a file is not a valid header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The file ends within the header.
    Short,
    /// All bytes are zero.
    Blank,
    /// Neither copy belongs to a store.
    Foreign,
    /// It belongs to a store, but both copies are corrupt.
    Damaged,
    /// It was written in this newer format version.
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
    /// Encodes both copies of the header.
    pub fn encode(&self) -> [u8; HEADER_LEN] {
        let mut all = [0; HEADER_LEN];
        for copy in all.chunks_exact_mut(HEADER_COPY_LEN) {
            copy[..8].copy_from_slice(MAGIC);
            copy[8..12].copy_from_slice(&VERSION.to_le_bytes());
            let numbers = [self.store, self.segment, self.first_seq, self.retired_before, self.reserved];
            for (place, number) in copy[12..CHECKSUM_OFFSET].chunks_exact_mut(8).zip(numbers) {
                place.copy_from_slice(&number.to_le_bytes());
            }
            let sum = crc32fast::hash(&copy[..CHECKSUM_OFFSET]);
            copy[CHECKSUM_OFFSET..CHECKSUM_OFFSET + 4].copy_from_slice(&sum.to_le_bytes());
        }
        all
    }

    /// Decodes the header at the start of a file.
    ///
    /// # Errors
    /// [`HeaderError`] if neither copy is valid.
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
        for copy in bytes[..HEADER_LEN].chunks_exact(HEADER_COPY_LEN) {
            if copy[..8] != MAGIC[..] {
                continue;
            }
            worst = HeaderError::Damaged;
            let (version, sum) = (u32_at(copy, 8), u32_at(copy, CHECKSUM_OFFSET));
            if sum != Some(crc32fast::hash(&copy[..CHECKSUM_OFFSET])) {
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
                retired_before: number(3),
                reserved: number(4),
            });
        }
        Err(worst)
    }
}

/// Encoder and decoder for the frames of one segment. It holds the common prefix of their header checksums.
#[derive(Clone)]
pub struct FrameCodec(Hasher);

impl FrameCodec {
    /// Creates the codec for a segment of a store.
    pub fn new(store: u64, segment: u64) -> Self {
        let mut hasher = Hasher::new();
        hasher.update(&store.to_le_bytes());
        hasher.update(&segment.to_le_bytes());
        FrameCodec(hasher)
    }

    fn header_checksum(&self, at: u64, head: &[u8]) -> u32 {
        let mut hasher = self.0.clone();
        hasher.update(&at.to_le_bytes());
        hasher.update(head);
        hasher.finalize()
    }

    /// Encodes a frame for this offset of the segment.
    pub fn encode_frame(&self, at: u64, seq: Seq, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FRAME_HEADER_LEN + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&seq.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
        let sum = self.header_checksum(at, &bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    fn decode_header(&self, at: u64, bytes: &[u8]) -> Option<(usize, Seq, u32)> {
        let head = bytes.get(..FRAME_HEADER_LEN)?;
        let length = u32_at(head, 0)? as usize;
        // Checked first: most invalid headers fail here without computing a checksum.
        if length > MAX_BODY_LEN || u32_at(head, 16)? != self.header_checksum(at, &head[..16]) {
            return None;
        }
        let seq = u64_at(head, 4).filter(|seq| *seq <= MAX_SEQ)?;
        Some((length, seq, u32_at(head, 12)?))
    }

    /// Reads the item at the start of `bytes`, which begin at offset `at` of the segment. `last` tells
    /// whether the file ends with them.
    pub fn read_item<'a>(&self, bytes: &'a [u8], at: u64, last: bool) -> Item<'a> {
        if bytes.is_empty() {
            return if last { Item::End } else { Item::More };
        }
        if bytes.len() < FRAME_HEADER_LEN {
            return if last { Item::Torn(bytes.len()) } else { Item::More };
        }
        if let Some((body_len, seq, sum)) = self.decode_header(at, bytes) {
            let len = FRAME_HEADER_LEN + body_len;
            return match bytes.get(FRAME_HEADER_LEN..len) {
                Some(body) if crc32fast::hash(body) == sum => Item::Frame { seq, body, len },
                Some(_) => Item::Corrupt(len),
                None if last => Item::Torn(bytes.len()),
                None => Item::More,
            };
        }
        // The length can't be trusted: search for the next valid frame header.
        let heads = 1..=bytes.len() - FRAME_HEADER_LEN;
        let found =
            heads.clone().find(|skip| self.decode_header(at + *skip as u64, &bytes[*skip..]).is_some());
        Item::Corrupt(found.unwrap_or(if last { bytes.len() } else { *heads.end() }.max(1)))
    }
}

/// What [`FrameCodec::read_item`] found at an offset of a segment.
#[derive(Debug, PartialEq, Eq)]
pub enum Item<'a> {
    /// A valid frame.
    Frame {
        /// Its number.
        seq: Seq,
        /// Its encoded operations; see [`ops`].
        body: &'a [u8],
        /// Its total length in bytes, header included.
        len: usize,
    },
    /// This many bytes are not a valid frame, although the file is long enough for one.
    Corrupt(usize),
    /// The file ends within a frame, after this many of its bytes: the write was interrupted.
    Torn(usize),
    /// More bytes are needed to decide.
    More,
    /// The end of the segment.
    End,
}

/// An operation of a frame or a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op<'a> {
    /// Sets the value of a key.
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
    /// Removes a key.
    Delete {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
    },
    /// The key exists, but its value was found corrupt.
    Lost {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
    },
    /// In a checkpoint: the following operations are from this frame.
    Frame {
        /// Its number.
        seq: Seq,
        /// Its offset in the segment.
        at: u32,
        /// Length of its body.
        body: u32,
    },
    /// In a checkpoint: a put whose value is stored only in the segment.
    ValueRef {
        /// Table.
        table: u8,
        /// Key.
        key: &'a [u8],
        /// Offset of the value in the frame's body.
        at: u32,
        /// Its length.
        length: u32,
    },
    /// Ends a checkpoint.
    CheckpointEnd {
        /// Size of the segment in bytes.
        size: u64,
        /// Sequence number of the frame after its last one.
        next: Seq,
    },
    /// Retires the segments before a given one.
    Retire {
        /// The oldest segment that is still needed.
        retired_before: u64,
    },
}

const PUT: u8 = 1;
const DELETE: u8 = 2;
const LOST: u8 = 3;
const RETIRE: u8 = 4;
const FRAME: u8 = 5;
const VALUE_REF: u8 = 6;
const CHECKPOINT_END: u8 = 7;

/// Encoded size of a put in bytes, without key and value.
pub const PUT_HEADER_LEN: usize = 8;

/// Operations that are applied atomically.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    bytes: Vec<u8>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the batch has no operations.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the encoded operations, as in the body of a frame.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    fn op(&mut self, kind: u8, table: u8, key: &[u8]) {
        self.bytes.extend_from_slice(&[kind, table]);
        // The store rejects longer keys; truncated here so that the encoded length is always correct.
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

    /// Splits off the operations from this byte offset on.
    pub(crate) fn split_off(&mut self, at: usize) -> Batch {
        Batch { bytes: self.bytes.split_off(at) }
    }

    pub(crate) fn lost(&mut self, table: u8, key: &[u8]) {
        self.op(LOST, table, key);
    }

    pub(crate) fn retire(&mut self, retired_before: u64) {
        self.op(RETIRE, 0, &retired_before.to_le_bytes());
    }

    pub(crate) fn frame(&mut self, seq: Seq, at: u32, body: u32) {
        self.op(FRAME, 0, &[&seq.to_le_bytes()[..], &at.to_le_bytes(), &body.to_le_bytes()].concat());
    }

    pub(crate) fn value_ref(&mut self, table: u8, key: &[u8], at: u32, length: u32) {
        self.op(VALUE_REF, table, key);
        self.bytes.extend_from_slice(&at.to_le_bytes());
        self.bytes.extend_from_slice(&length.to_le_bytes());
    }

    pub(crate) fn checkpoint_end(&mut self, size: u64, next: Seq) {
        self.op(CHECKPOINT_END, 0, &[size.to_le_bytes(), next.to_le_bytes()].concat());
    }
}

/// Iterates over the operations of a body. Yields `None` for an operation that can't be decoded, and ends
/// there.
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
        VALUE_REF => {
            let (at, length) = (u32_at(body, key_end)?, u32_at(body, key_end + 4)?);
            Some((Op::ValueRef { table, key, at, length }, key_end + 8))
        }
        CHECKPOINT_END => Some((Op::CheckpointEnd { size: u64_at(key, 0)?, next: u64_at(key, 8)? }, key_end)),
        RETIRE => Some((Op::Retire { retired_before: u64_at(key, 0)? }, key_end)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn header_with_one_corrupt_copy_is_decoded() {
        let header = Header { store: 1, segment: 2, first_seq: 3, retired_before: 4, reserved: 5 };
        let good = header.encode();
        for at in 0..HEADER_LEN {
            let mut bad = good;
            bad[at] ^= 0x40;
            assert_eq!(Header::decode(&bad), Ok(header), "corrupt byte at offset {at}");
        }
        assert_eq!(Header::decode(&good[..20]), Err(HeaderError::Short));
        assert_eq!(Header::decode(&[7; 200]), Err(HeaderError::Foreign));
    }

    #[test]
    fn newer_version_is_distinguished_from_corruption() {
        let mut bytes =
            Header { store: 1, segment: 2, first_seq: 3, retired_before: 4, reserved: 5 }.encode();
        for copy in bytes.chunks_exact_mut(HEADER_COPY_LEN) {
            copy[8] = 9;
            let sum = crc32fast::hash(&copy[..CHECKSUM_OFFSET]);
            copy[CHECKSUM_OFFSET..CHECKSUM_OFFSET + 4].copy_from_slice(&sum.to_le_bytes());
        }
        assert_eq!(Header::decode(&bytes), Err(HeaderError::Newer(9)));
        bytes[9] ^= 1;
        bytes[HEADER_COPY_LEN + 9] ^= 1;
        assert_eq!(Header::decode(&bytes), Err(HeaderError::Damaged));
    }

    #[test]
    fn frame_of_another_store_segment_or_offset_is_rejected() {
        let mut batch = Batch::new();
        batch.put(1, b"key", b"value").delete(2, b"other");
        let frame = FrameCodec::new(7, 3).encode_frame(128, 9, batch.bytes());
        let read =
            |codec: FrameCodec, at| matches!(codec.read_item(&frame, at, true), Item::Frame { seq: 9, .. });
        assert!(read(FrameCodec::new(7, 3), 128));
        assert!(
            !read(FrameCodec::new(8, 3), 128)
                && !read(FrameCodec::new(7, 4), 128)
                && !read(FrameCodec::new(7, 3), 129)
        );
        let all: Vec<_> = ops(batch.bytes()).flatten().collect();
        assert_eq!(all.len(), 2);
        assert!(matches!(all[0], Op::Put { table: 1, key: b"key", value: b"value", .. }));
    }

    #[test]
    fn next_frame_is_found_after_a_corrupt_one() {
        let codec = FrameCodec::new(7, 3);
        let (first, second) = (codec.encode_frame(128, 1, b""), codec.encode_frame(148, 2, b""));
        for at in 0..FRAME_HEADER_LEN {
            let mut both = [first.clone(), second.clone()].concat();
            both[at] ^= 0x81;
            let Item::Corrupt(skip) = codec.read_item(&both, 128, true) else {
                panic!("frame with a corrupt byte at offset {at} was not reported as corrupt")
            };
            assert_eq!(skip, FRAME_HEADER_LEN);
            assert!(matches!(codec.read_item(&both[skip..], 148, true), Item::Frame { seq: 2, .. }));
        }
    }
}
