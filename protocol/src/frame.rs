//! The frame of a recording: the line that each life of a process begins with, the checksum at the end of each line, the line that
//! says how much is left out, and the digest of what was decided.
//!
//! Invariant: a line that was cut anywhere, or changed in one place, does not read as another.

use std::collections::HashMap;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::json::{Fault, fault, string, whole};
use crate::line::{Line, large};

/// The format that is written. 1 is that of recordings without a head: no checksums, no requests, no digests.
pub const FORMAT: u64 = 2;
/// What a head begins with.
pub const HEADER_PREFIX: &str = r#"{"in":"record","#;
/// What a line that tells of others that are left out begins with.
pub const OMITTED_PREFIX: &str = r#"{"in":"left_out","#;
/// The checksum's key, and its length with all that stands round it.
const SUM: &str = r##","#":""##;
const SUMMED: usize = SUM.len() + 8 + 2;

/// What a life of a process begins with in a recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The format of the lines that follow.
    pub format: u64,
    /// Who records: `machine/process`.
    pub by: CompactString,
    /// The version of the program.
    pub build: CompactString,
    /// The life, as the process's mail tells it.
    pub life: u64,
    /// The machine's own clock as the times of the life begin, in milliseconds of Unix time.
    pub unix_ms: u64,
}

impl Head {
    /// Of this build.
    pub fn new(machine: &str, process: &str, life: u64, unix_ms: u64) -> Self {
        let by = compact_str::format_compact!("{machine}/{process}");
        Head { format: FORMAT, by, build: env!("CARGO_PKG_VERSION").into(), life, unix_ms }
    }

    /// As a line, without its end.
    pub fn line(&self) -> String {
        let mut line = Line::new();
        line.text("in", "record").whole("v", self.format).text("by", &self.by).text("build", &self.build);
        line.whole("life", self.life).whole("unix_ms", self.unix_ms);
        sealed(line.end())
    }

    /// Reads a line that was read as JSON.
    pub fn of(from: &HashMap<String, JsonValue>) -> Result<Self, Fault> {
        let head = Head {
            format: whole(from, "v")?,
            by: string(from, "by")?,
            build: string(from, "build")?,
            life: large(from, "life")?,
            unix_ms: whole(from, "unix_ms")?,
        };
        if head.format > FORMAT {
            return Err(fault("v", "a newer format than this build reads"));
        }
        Ok(head)
    }
}

/// Why lines are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OmissionReason {
    /// The recording has reached its bound: nothing more is recorded in this life.
    Bound,
    /// Nobody read them in time.
    Unread,
}

impl OmissionReason {
    /// The word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            OmissionReason::Bound => "bound",
            OmissionReason::Unread => "unread",
        }
    }

    /// The line that says so: so many more since the last one of its kind.
    pub fn line(self, lines: u64) -> String {
        let mut line = Line::new();
        line.text("in", "left_out").whole("lines", lines).text("why", self.as_str());
        sealed(line.end())
    }

    /// Reads that line.
    pub fn of(from: &HashMap<String, JsonValue>) -> Result<(Self, u64), Fault> {
        let word = string(from, "why")?;
        let left =
            [OmissionReason::Bound, OmissionReason::Unread].into_iter().find(|left| left.as_str() == word);
        Ok((left.ok_or_else(|| fault("why", "no word that is known"))?, whole(from, "lines")?))
    }
}

/// The line that says that so many more are left out: for the bound, or because nobody reads them.
pub fn omitted_line(bound: bool, lines: u64) -> String {
    if bound { OmissionReason::Bound } else { OmissionReason::Unread }.line(lines)
}

/// Eight hex digits.
pub(crate) fn hex(out: &mut String, sum: u32) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits: [u8; 8] = std::array::from_fn(|n| DIGITS[(sum >> (28 - 4 * n)) as usize & 0xf]);
    out.push_str(std::str::from_utf8(&digits).unwrap_or_default());
}

/// The same object with its checksum as its last part.
pub fn sealed(mut line: String) -> String {
    line.pop();
    let sum = crc32fast::hash(line.as_bytes());
    line.reserve(SUMMED);
    line.push_str(SUM);
    hex(&mut line, sum);
    line.push_str("\"}");
    line
}

/// What a line's checksum says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checksum {
    /// It has none.
    Missing,
    /// The line is as it was written.
    Valid,
    /// It is not.
    Invalid,
}

/// Looks at the checksum of a whole line.
pub fn checksum(line: &str) -> Checksum {
    let Some((rest, tail)) = line.len().checked_sub(SUMMED).and_then(|at| line.split_at_checked(at)) else {
        return Checksum::Missing;
    };
    let Some(digits) = tail.strip_prefix(SUM).and_then(|t| t.strip_suffix("\"}")) else {
        return Checksum::Missing;
    };
    let mut right = String::with_capacity(8);
    hex(&mut right, crc32fast::hash(rest.as_bytes()));
    if right == digits { Checksum::Valid } else { Checksum::Invalid }
}

/// What a machine has decided so far, as the count of its outputs and one number for all of them in their order.
#[derive(Clone, Debug, Default)]
pub struct Digest {
    count: u64,
    state: u64,
}

impl Digest {
    /// One more output, by its parts.
    pub fn fold(&mut self, parts: impl FnOnce(&mut Fold<'_>)) {
        self.count += 1;
        let mut fold = Fold(&mut self.state);
        fold.whole(self.count);
        parts(&mut fold);
    }

    /// Outputs so far, and their number.
    pub fn state(&self) -> (u64, u32) {
        let mixed = self.state ^ (self.state >> 29);
        (self.count, (mixed.wrapping_mul(FACTOR) >> 32) as u32)
    }

    /// As the parts of a line.
    pub(crate) fn write(&self, line: &mut Line) {
        let (count, sum) = self.state();
        line.whole("k", count).hex("d", sum);
    }
}

/// Reads what a line tells of the digest; nothing where nothing was decided before it.
pub fn read_digest(from: &HashMap<String, JsonValue>) -> Result<Option<(u64, u32)>, Fault> {
    if !from.contains_key("k") {
        return Ok(None);
    }
    let sum = u32::from_str_radix(&string(from, "d")?, 16).map_err(|_| fault("d", "no hex digits"))?;
    Ok(Some((whole(from, "k")?, sum)))
}

/// Odd, and its bits are even by chance.
const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The parts of an output.
pub struct Fold<'a>(&'a mut u64);

impl Fold<'_> {
    /// A text.
    pub fn text(&mut self, text: &str) -> &mut Self {
        let (chunks, rest) = text.as_bytes().as_chunks::<8>();
        chunks.iter().for_each(|chunk| {
            self.whole(u64::from_le_bytes(*chunk));
        });
        let mut last = [0; 8];
        last[..rest.len()].copy_from_slice(rest);
        // The length keeps one text from running into the next.
        self.whole(u64::from_le_bytes(last)).whole(text.len() as u64)
    }

    /// A whole number.
    pub fn whole(&mut self, value: u64) -> &mut Self {
        *self.0 = (self.0.rotate_left(23) ^ value).wrapping_mul(FACTOR);
        self
    }

    /// A number, to the bit.
    pub fn number(&mut self, value: f64) -> &mut Self {
        self.whole(value.to_bits())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::line::read;

    #[test]
    fn a_head_and_what_is_left_out_read_back() {
        let head = Head::new("edge-1", "stall", u64::MAX, 1_796_172_615_944);
        let line = head.line();
        assert!(line.starts_with(HEADER_PREFIX));
        assert_eq!(
            (checksum(&line), Head::of(&read(&line).expect("JSON"))),
            (Checksum::Valid, Ok(head.clone()))
        );
        let newer = Head { format: FORMAT + 1, ..head }.line();
        assert!(Head::of(&read(&newer).expect("JSON")).is_err());
        for left in [OmissionReason::Bound, OmissionReason::Unread] {
            let line = left.line(7);
            assert!(line.starts_with(OMITTED_PREFIX));
            assert_eq!(OmissionReason::of(&read(&line).expect("JSON")), Ok((left, 7)));
        }
    }

    #[test]
    fn no_byte_of_a_line_can_change_unseen() {
        let line = Head::new("edge-1", "stall", 5, 7).line();
        let whole = read(&line).expect("JSON");
        for at in 0..line.len() {
            assert!(read(&line[..at]).is_err());
            for byte in *b"x0\"}," {
                let mut bytes = line.clone().into_bytes();
                if std::mem::replace(&mut bytes[at], byte) == byte {
                    continue;
                }
                let text = String::from_utf8(bytes).expect("ASCII");
                // What has no checksum any more is no line of this format.
                let seen = checksum(&text) != Checksum::Valid || read(&text).is_err();
                assert!(seen || read(&text) == Ok(whole.clone()), "{text}");
            }
        }
        assert_eq!(checksum(r#"{"in":"tick","n":5,"at":3}"#), Checksum::Missing);
        assert_eq!((checksum(""), checksum("é".repeat(9).as_str())), (Checksum::Missing, Checksum::Missing));
    }

    #[test]
    fn a_digest_hangs_on_each_part_and_on_their_order() {
        let digest = |all: &[(&str, u64)]| {
            let mut digest = Digest::default();
            for (text, n) in all {
                digest.fold(|parts| {
                    parts.text(text).whole(*n);
                });
            }
            digest.state()
        };
        let one = digest(&[("a", 1), ("bc", 2)]);
        assert_eq!((one.0, one), (2, digest(&[("a", 1), ("bc", 2)])));
        for other in [[("bc", 2), ("a", 1)], [("a", 1), ("bc", 3)], [("ab", 1), ("c", 2)]] {
            assert_ne!(one, digest(&other));
        }
        let mut digest = Digest::default();
        digest.fold(|parts| {
            parts.number(0.1);
        });
        let mut line = Line::new();
        digest.write(&mut line);
        assert_eq!(read_digest(&read(&line.end()).expect("JSON")), Ok(Some(digest.state())));
    }
}
