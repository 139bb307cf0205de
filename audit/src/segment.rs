//! The form of a segment: a mark and a layout, then frames of a length, a checksum and records as postcard writes them.
//! The first frame holds the [`Head`], each other one what was decided by one round of the dispatcher.
//!
//! Kept: a segment that was cut at any byte reads to the last whole frame; a frame that is damaged is never read as
//! something else, but for one in 2^32.

use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::entry::{Entry, Head};

/// How a file begins.
pub const MARK: &[u8; 4] = b"MPAU";
/// The layout of what follows. Another one is not read.
pub const LAYOUT: u16 = 1;
/// The longest frame, bytes.
pub const LONGEST: usize = u16::MAX as usize;
const FRAME_HEAD: usize = 6;

/// Why a segment can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The mark is missing.
    #[error("it is no segment of an audit log")]
    NoSegment,
    /// Of another layout.
    #[error("its layout is {0}, and {LAYOUT} is known")]
    Layout(u16),
    /// It ends within a frame.
    #[error("it is cut at byte {0}")]
    Cut(usize),
    /// A frame does not hold what was written.
    #[error("it is damaged at byte {0}")]
    Damaged(usize),
}

/// Puts frames together.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    frame: Vec<u8>,
    /// The time of the last record, in microseconds.
    last: u64,
    records: u64,
}

#[derive(Serialize, Deserialize)]
struct Record<E> {
    /// Microseconds since the one before, in zigzag: a clock may be set back.
    passed: i64,
    entry: E,
}

impl Writer {
    /// A segment begins: its first bytes.
    pub fn begin(head: &Head) -> (Self, Vec<u8>) {
        let mut bytes = MARK.to_vec();
        bytes.extend(LAYOUT.to_le_bytes());
        // Into memory: it can't fail.
        frame(&mut bytes, &postcard::to_stdvec(head).unwrap_or_default());
        (Writer { last: head.at / 1_000, ..Writer::default() }, bytes)
    }

    /// Adds a record to the frame that is being put together.
    pub fn add(&mut self, at: Nanos, entry: &Entry) {
        let now = at / 1_000;
        let passed = now.wrapping_sub(self.last) as i64;
        self.last = now;
        self.records += 1;
        let record = Record { passed, entry };
        let taken = std::mem::take(&mut self.frame);
        self.frame = postcard::to_extend(&record, taken).unwrap_or_default();
    }

    /// Bytes that wait.
    pub fn waits(&self) -> usize {
        self.frame.len()
    }

    /// Records that wait.
    pub fn records(&self) -> u64 {
        self.records
    }

    /// The frame that was put together, if there is anything in it, into `bytes`.
    pub fn finish(&mut self, bytes: &mut Vec<u8>) {
        if !self.frame.is_empty() {
            frame(bytes, &self.frame);
            self.frame.clear();
            self.records = 0;
        }
    }
}

fn frame(bytes: &mut Vec<u8>, payload: &[u8]) {
    debug_assert!(payload.len() <= LONGEST);
    bytes.extend((payload.len() as u16).to_le_bytes());
    bytes.extend(sum(payload).to_le_bytes());
    bytes.extend(payload);
}

fn sum(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    // A run of zeros is no frame.
    hasher.update(&LAYOUT.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Reads a segment.
#[derive(Debug)]
pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Ends of the frame that is being read.
    end: usize,
    last: u64,
}

impl<'a> Reader<'a> {
    /// Its head, and its records.
    ///
    /// # Errors
    /// Where it has no head that can be read.
    pub fn open(bytes: &'a [u8]) -> Result<(Head, Self), Damage> {
        if bytes.len() < MARK.len() + 2 {
            let begins = MARK.starts_with(&bytes[..bytes.len().min(MARK.len())]);
            return Err(if begins { Damage::Cut(0) } else { Damage::NoSegment });
        }
        if !bytes.starts_with(MARK) {
            return Err(Damage::NoSegment);
        }
        let layout = u16::from_le_bytes([bytes[4], bytes[5]]);
        if layout != LAYOUT {
            return Err(Damage::Layout(layout));
        }
        let mut reader = Reader { bytes, at: 6, end: 6, last: 0 };
        if !reader.frame()? {
            return Err(Damage::Cut(6));
        }
        let head: Head =
            postcard::from_bytes(&bytes[reader.at..reader.end]).map_err(|_| Damage::Damaged(6))?;
        reader.at = reader.end;
        reader.last = head.at / 1_000;
        Ok((head, reader))
    }

    /// Goes on to the next frame. Whether there is one.
    fn frame(&mut self) -> Result<bool, Damage> {
        let begins = self.at;
        let left = &self.bytes[begins..];
        if left.is_empty() {
            return Ok(false);
        }
        if left.len() < FRAME_HEAD {
            return Err(Damage::Cut(begins));
        }
        let length = usize::from(u16::from_le_bytes([left[0], left[1]]));
        let told = u32::from_le_bytes([left[2], left[3], left[4], left[5]]);
        let Some(payload) = left.get(FRAME_HEAD..FRAME_HEAD + length) else {
            return Err(Damage::Cut(begins));
        };
        if length == 0 || sum(payload) != told {
            return Err(Damage::Damaged(begins));
        }
        (self.at, self.end) = (begins + FRAME_HEAD, begins + FRAME_HEAD + length);
        Ok(true)
    }

    /// The next record, and when it was.
    ///
    /// # Errors
    /// Where nothing more can be read.
    #[allow(clippy::should_implement_trait, reason = "it ends by an error, which an iterator would hide")]
    pub fn next(&mut self) -> Result<Option<(Nanos, Entry)>, Damage> {
        if self.at == self.end && !self.frame()? {
            return Ok(None);
        }
        let read = postcard::take_from_bytes::<Record<Entry>>(&self.bytes[self.at..self.end]);
        let (Record { passed, entry }, rest) = read.map_err(|_| Damage::Damaged(self.at))?;
        self.at = self.end - rest.len();
        self.last = self.last.wrapping_add(passed as u64);
        Ok(Some((self.last.saturating_mul(1_000), entry)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::{Author, End};

    fn head() -> Head {
        let author = Author { number: 2, of: 3, name: "n2".to_owned(), incarnation: 4, drain_ms: 500 };
        Head { author, first: 17, at: 1_700_000_000_000_000_000, begins: true }
    }

    /// A segment of frames with one to three records, and what they are.
    fn segment() -> (Vec<u8>, Vec<(Nanos, Entry)>, Vec<usize>) {
        let (mut writer, mut bytes) = Writer::begin(&head());
        let (mut all, mut ends) = (Vec::new(), vec![bytes.len()]);
        for n in 0..40_u32 {
            // A clock that was set back, once.
            let at = head().at + u64::from(n) * 700_000 - u64::from(n > 20) * 9_000_000;
            let entry = match n % 4 {
                0 => Entry::Taken { message: [n as u8; 8], standing: 0 },
                1 => Entry::Attempt { message: n, endpoint: 3, standing: 1, ago: 7 },
                2 => Entry::Ended { message: n, end: End::Delivered, standing: n },
                _ => Entry::Beat { epoch: 4, beat: n },
            };
            writer.add(at, &entry);
            all.push((at / 1_000 * 1_000, entry));
            if n % 3 == 0 || n == 39 {
                writer.finish(&mut bytes);
                ends.resize(all.len() + 1, 0);
                ends[all.len()] = bytes.len();
            }
        }
        (bytes, all, ends)
    }

    fn read(bytes: &[u8]) -> (Vec<(Nanos, Entry)>, Option<Damage>) {
        let mut all = Vec::new();
        match Reader::open(bytes) {
            Err(damage) => (all, Some(damage)),
            Ok((_, mut reader)) => loop {
                match reader.next() {
                    Ok(Some(record)) => all.push(record),
                    Ok(None) => return (all, None),
                    Err(damage) => return (all, Some(damage)),
                }
            },
        }
    }

    #[test]
    fn a_segment_that_is_cut_at_any_byte_reads_to_the_last_whole_frame() {
        let (bytes, all, ends) = segment();
        assert_eq!(read(&bytes), (all.clone(), None));
        for cut in 0..bytes.len() {
            let (some, damage) = read(&bytes[..cut]);
            let whole = ends.iter().rposition(|end| *end > 0 && *end <= cut).unwrap_or(0);
            assert_eq!(some, all[..whole], "cut at {cut}");
            // Where it is cut between two frames nothing shows it, but that the records end.
            assert_eq!(damage.is_none(), cut > 0 && ends.contains(&cut), "cut at {cut}: {damage:?}");
        }
    }

    #[test]
    fn a_byte_that_is_flipped_is_found_and_what_is_before_it_is_read() {
        let (bytes, all, ends) = segment();
        for n in 0..bytes.len() {
            let mut flipped = bytes.clone();
            flipped[n] ^= 0x20;
            let (some, damage) = read(&flipped);
            assert!(damage.is_some(), "byte {n}");
            let whole = ends.iter().rposition(|end| *end > 0 && *end <= n).unwrap_or(0);
            assert_eq!(some, all[..whole], "byte {n}");
        }
        let mut other = bytes;
        other[4] = 9;
        assert_eq!(read(&other), (Vec::new(), Some(Damage::Layout(9))));
        assert_eq!(read(b"PK\x03\x04 something else"), (Vec::new(), Some(Damage::NoSegment)));
        assert_eq!(read(&[0; 64]).1, Some(Damage::NoSegment));
    }
}
