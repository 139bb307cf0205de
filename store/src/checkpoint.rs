//! Checkpoints: beside a segment that is full, a file of what a start must know of it, without the values that are
//! on disk alone. A start reads it in place of the segment.
//!
//! Invariant: a checkpoint counts only as a whole, for just the segment whose header it repeats, and only once all
//! of that segment lasts; without it, or with a bad one, the segment itself is read.

use crate::format::{Batch, HEADER_LEN, Header, Item, MAX_BODY_LEN, MAX_SEQ, Op, Seed, Seq, ops};

/// Name of the checkpoint of a segment.
pub(crate) fn name(segment: u64) -> String {
    format!("{segment:012}.sum")
}

/// Number of the segment whose checkpoint a file of this name is.
pub(crate) fn number(file: &str) -> Option<u64> {
    let digits = file.strip_suffix(".sum").filter(|d| d.len() == 12)?;
    digits.parse().ok().filter(|n| name(*n) == file)
}

/// A checkpoint of the segment that is being written.
pub(crate) struct Draft {
    header: Header,
    parts: Vec<Batch>,
}

impl Draft {
    pub(crate) fn new(header: Header) -> Self {
        Draft { header, parts: vec![Batch::new()] }
    }

    /// Takes in a frame that was written. `in_memory` tells of each table whether its values are.
    pub(crate) fn add(&mut self, seq: Seq, at: u64, body: &[u8], in_memory: impl Fn(u8) -> bool) {
        if self.parts.last().is_none_or(|part| part.bytes().len() + body.len() > MAX_BODY_LEN / 2) {
            self.parts.push(Batch::new());
        }
        let Some(part) = self.parts.last_mut() else { return };
        part.frame(seq, at as u32, body.len() as u32);
        for op in ops(body).flatten() {
            match op {
                Op::Put { table, key, value, .. } if in_memory(table) => {
                    part.put(table, key, value);
                }
                Op::Put { table, key, value, at } => part.placed(table, key, at as u32, value.len() as u32),
                Op::Delete { table, key } => {
                    part.delete(table, key);
                }
                Op::Lost { table, key } => part.lost(table, key),
                Op::Retire { floor } => part.retire(floor),
                Op::Frame { .. } | Op::Placed { .. } | Op::Sealed { .. } => {}
            }
        }
    }

    /// The file, once the segment is full.
    pub(crate) fn seal(mut self, size: u64, next: Seq) -> Vec<u8> {
        if let Some(part) = self.parts.last_mut() {
            part.sealed(size, next);
        }
        let seed = Seed::new(self.header.store, self.header.segment);
        let mut file = self.header.encode().to_vec();
        for (n, part) in (1..).zip(self.parts) {
            let frame = seed.frame(file.len() as u64, n, part.bytes());
            file.extend_from_slice(&frame);
        }
        file
    }
}

/// The operations of a checkpoint, and the number of the frame after the segment's last; `None` if it is not a whole
/// one of the segment with this header and size, or holds a frame from `void_from` on.
pub(crate) fn read(file: &[u8], header: Header, size: u64, void_from: Seq) -> Option<(Vec<&[u8]>, Seq)> {
    if Header::decode(file).ok()? != header {
        return None;
    }
    let seed = Seed::new(header.store, header.segment);
    let (mut at, mut parts, mut end) = (HEADER_LEN, Vec::new(), None);
    while at < file.len() {
        let Item::Frame { seq, body, whole } = seed.next(&file[at..], at as u64, true) else { return None };
        if seq != parts.len() as u64 + 1 || end.is_some() {
            return None;
        }
        let mut expected = None;
        for op in ops(body) {
            match op? {
                Op::Sealed { size: its, next } if its == size && next <= void_from.min(MAX_SEQ) => {
                    end = Some(next)
                }
                Op::Sealed { .. } => return None,
                Op::Frame { seq, .. } if seq > MAX_SEQ => return None,
                Op::Frame { seq, .. } => {
                    if expected.is_some_and(|expected| seq != expected) {
                        return None;
                    }
                    expected = Some(seq + 1);
                }
                _ => {}
            }
        }
        parts.push(body);
        at += whole;
    }
    end.map(|end| (parts, end))
}
