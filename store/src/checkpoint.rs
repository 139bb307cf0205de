//! Checkpoints: for each full segment, a file with its index entries and the values of tables kept in memory.
//! Opening a store reads it in place of the segment.
//!
//! Invariant: a checkpoint is valid only if it is complete and repeats the header of its segment, and it is
//! written only once that segment is durable. Without a valid checkpoint the segment itself is read.

use crate::format::{Batch, FrameCodec, HEADER_LEN, Header, Item, MAX_BODY_LEN, MAX_SEQ, Op, Seq, ops};

/// Returns the file name of a segment's checkpoint.
pub(crate) fn name(segment: u64) -> String {
    format!("{segment:012}.sum")
}

/// Parses a checkpoint's file name and returns the segment's number; `None` for other files.
pub(crate) fn number(file: &str) -> Option<u64> {
    let digits = file.strip_suffix(".sum").filter(|d| d.len() == 12)?;
    digits.parse().ok().filter(|n| name(*n) == file)
}

/// The checkpoint of the active segment, built up while the segment is written.
pub(crate) struct Draft {
    header: Header,
    parts: Vec<Batch>,
}

impl Draft {
    pub(crate) fn new(header: Header) -> Self {
        Draft { header, parts: vec![Batch::new()] }
    }

    /// Adds a frame that was written. `in_memory` returns whether a table keeps its values in memory.
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
                Op::Put { table, key, value, at } => {
                    part.value_ref(table, key, at as u32, value.len() as u32)
                }
                Op::Delete { table, key } => {
                    part.delete(table, key);
                }
                Op::Lost { table, key } => part.lost(table, key),
                Op::Retire { retired_before } => part.retire(retired_before),
                Op::Frame { .. } | Op::ValueRef { .. } | Op::CheckpointEnd { .. } => {}
            }
        }
    }

    /// Returns the content of the checkpoint file for the full segment of `size` bytes; `next` is the
    /// sequence number after its last frame.
    pub(crate) fn seal(mut self, size: u64, next: Seq) -> Vec<u8> {
        if let Some(part) = self.parts.last_mut() {
            part.checkpoint_end(size, next);
        }
        let codec = FrameCodec::new(self.header.store, self.header.segment);
        let mut file = self.header.encode().to_vec();
        for (n, part) in (1..).zip(self.parts) {
            let frame = codec.encode_frame(file.len() as u64, n, part.bytes());
            file.extend_from_slice(&frame);
        }
        file
    }
}

/// Returns the encoded operations of a checkpoint and the sequence number after the segment's last frame.
/// `None` if the checkpoint is incomplete, belongs to another header or size, or includes a frame numbered
/// `void_from` or above.
pub(crate) fn read(file: &[u8], header: Header, size: u64, void_from: Seq) -> Option<(Vec<&[u8]>, Seq)> {
    if Header::decode(file).ok()? != header {
        return None;
    }
    let codec = FrameCodec::new(header.store, header.segment);
    let (mut at, mut parts, mut end) = (HEADER_LEN, Vec::new(), None);
    while at < file.len() {
        let Item::Frame { seq, body, len } = codec.read_item(&file[at..], at as u64, true) else {
            return None;
        };
        if seq != parts.len() as u64 + 1 || end.is_some() {
            return None;
        }
        let mut expected = None;
        for op in ops(body) {
            match op? {
                Op::CheckpointEnd { size: its, next } if its == size && next <= void_from.min(MAX_SEQ) => {
                    end = Some(next)
                }
                Op::CheckpointEnd { .. } => return None,
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
        at += len;
    }
    end.map(|end| (parts, end))
}
