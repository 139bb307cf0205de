//! Framing of a recording: the header line of each process incarnation, the checksum at the end of each line,
//! the line that reports omitted lines, and the digest of the recorded outputs.
//!
//! Invariant: a line that was truncated, or in which one byte changed, is never read as a different line.

use std::collections::HashMap;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::json::{Fault, fault, string, whole};
use crate::line::{Line, large};

/// Format version that is written. Version 1 recordings have no header, checksums, requests or digests.
pub const FORMAT: u64 = 2;
/// Prefix of a header line.
pub const HEADER_PREFIX: &str = r#"{"in":"record","#;
/// Prefix of a line that reports omitted lines.
pub const OMITTED_PREFIX: &str = r#"{"in":"left_out","#;
/// Text before the checksum digits.
const CHECKSUM_KEY: &str = r##","#":""##;
/// Length of the checksum field, with its key, eight digits, closing quote and brace.
const CHECKSUM_FIELD_LEN: usize = CHECKSUM_KEY.len() + 8 + 2;

/// Header of a recording, written once per process incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Format version of the lines that follow.
    pub format: u64,
    /// Recording process, as `machine/process`.
    pub by: CompactString,
    /// Version of the program.
    pub build: CompactString,
    /// Incarnation of the process, as in its messages.
    pub life: u64,
    /// Wall-clock time at which the recorded times start, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Head {
    /// Creates a header with the current format and the version of this build.
    pub fn new(machine: &str, process: &str, life: u64, unix_ms: u64) -> Self {
        let by = compact_str::format_compact!("{machine}/{process}");
        Head { format: FORMAT, by, build: env!("CARGO_PKG_VERSION").into(), life, unix_ms }
    }

    /// Formats the header as a line, without a line terminator.
    pub fn line(&self) -> String {
        let mut line = Line::new();
        line.text("in", "record").whole("v", self.format).text("by", &self.by).text("build", &self.build);
        line.whole("life", self.life).whole("unix_ms", self.unix_ms);
        sealed(line.end())
    }

    /// Reads a header from the fields of a parsed line.
    ///
    /// # Errors
    /// If a field is missing or invalid, or the format is newer than [`FORMAT`].
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

/// Why lines were omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OmissionReason {
    /// The recording has reached its size limit; nothing more is recorded in this incarnation.
    Bound,
    /// The output was not drained fast enough.
    Unread,
}

impl OmissionReason {
    /// Name as written in a recording.
    pub fn as_str(self) -> &'static str {
        match self {
            OmissionReason::Bound => "bound",
            OmissionReason::Unread => "unread",
        }
    }

    /// Formats a line that reports `lines` more omitted lines since the last report for this reason.
    pub fn line(self, lines: u64) -> String {
        let mut line = Line::new();
        line.text("in", "left_out").whole("lines", lines).text("why", self.as_str());
        sealed(line.end())
    }

    /// Reads the reason and the number of omitted lines from the fields of a parsed line.
    pub fn of(from: &HashMap<String, JsonValue>) -> Result<(Self, u64), Fault> {
        let name = string(from, "why")?;
        let reason = [OmissionReason::Bound, OmissionReason::Unread]
            .into_iter()
            .find(|reason| reason.as_str() == name);
        Ok((reason.ok_or_else(|| fault("why", "unknown reason"))?, whole(from, "lines")?))
    }
}

/// Formats a line that reports omitted lines: due to the size limit if `bound`, else because the output was
/// not drained fast enough.
pub fn omitted_line(bound: bool, lines: u64) -> String {
    if bound { OmissionReason::Bound } else { OmissionReason::Unread }.line(lines)
}

/// Appends `sum` as eight hex digits.
pub(crate) fn hex(out: &mut String, sum: u32) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits: [u8; 8] = std::array::from_fn(|n| DIGITS[(sum >> (28 - 4 * n)) as usize & 0xf]);
    out.push_str(std::str::from_utf8(&digits).unwrap_or_default());
}

/// Appends a checksum as the last field of a JSON object.
pub fn sealed(mut line: String) -> String {
    line.pop();
    let sum = crc32fast::hash(line.as_bytes());
    line.reserve(CHECKSUM_FIELD_LEN);
    line.push_str(CHECKSUM_KEY);
    hex(&mut line, sum);
    line.push_str("\"}");
    line
}

/// Result of checking the checksum of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checksum {
    /// The line has no checksum.
    Missing,
    /// The checksum matches.
    Valid,
    /// The checksum does not match.
    Invalid,
}

/// Checks the checksum of a complete line.
pub fn checksum(line: &str) -> Checksum {
    let Some((rest, tail)) =
        line.len().checked_sub(CHECKSUM_FIELD_LEN).and_then(|at| line.split_at_checked(at))
    else {
        return Checksum::Missing;
    };
    let Some(digits) = tail.strip_prefix(CHECKSUM_KEY).and_then(|t| t.strip_suffix("\"}")) else {
        return Checksum::Missing;
    };
    let mut expected = String::with_capacity(8);
    hex(&mut expected, crc32fast::hash(rest.as_bytes()));
    if expected == digits { Checksum::Valid } else { Checksum::Invalid }
}

/// Running digest of the outputs of a state machine: their count and an order-dependent hash.
#[derive(Clone, Debug, Default)]
pub struct Digest {
    count: u64,
    state: u64,
}

impl Digest {
    /// Adds one output, given by its fields.
    pub fn fold(&mut self, fields: impl FnOnce(&mut Fold<'_>)) {
        self.count += 1;
        let mut fold = Fold(&mut self.state);
        fold.whole(self.count);
        fields(&mut fold);
    }

    /// Number of outputs so far, and the hash of them.
    pub fn state(&self) -> (u64, u32) {
        let mixed = self.state ^ (self.state >> 29);
        (self.count, (mixed.wrapping_mul(FACTOR) >> 32) as u32)
    }

    /// Writes count and hash as fields of a line.
    pub(crate) fn write(&self, line: &mut Line) {
        let (count, sum) = self.state();
        line.whole("k", count).hex("d", sum);
    }
}

/// Reads output count and hash from the fields of a line; `None` if the line has no digest.
pub fn read_digest(from: &HashMap<String, JsonValue>) -> Result<Option<(u64, u32)>, Fault> {
    if !from.contains_key("k") {
        return Ok(None);
    }
    let sum = u32::from_str_radix(&string(from, "d")?, 16).map_err(|_| fault("d", "no hex digits"))?;
    Ok(Some((whole(from, "k")?, sum)))
}

/// Multiplier of the hash: odd, with evenly distributed bits.
const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Receives the fields of an output and mixes them into the digest.
pub struct Fold<'a>(&'a mut u64);

impl Fold<'_> {
    /// Adds a string.
    pub fn text(&mut self, text: &str) -> &mut Self {
        let (chunks, rest) = text.as_bytes().as_chunks::<8>();
        chunks.iter().for_each(|chunk| {
            self.whole(u64::from_le_bytes(*chunk));
        });
        let mut last = [0; 8];
        last[..rest.len()].copy_from_slice(rest);
        // The length separates consecutive strings.
        self.whole(u64::from_le_bytes(last)).whole(text.len() as u64)
    }

    /// Adds an integer.
    pub fn whole(&mut self, value: u64) -> &mut Self {
        *self.0 = (self.0.rotate_left(23) ^ value).wrapping_mul(FACTOR);
        self
    }

    /// Adds a floating-point number by its exact bits.
    pub fn number(&mut self, value: f64) -> &mut Self {
        self.whole(value.to_bits())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::line::read;

    #[test]
    fn header_and_omission_lines_read_back_as_written() {
        let head = Head::new("edge-1", "stall", u64::MAX, 1_796_172_615_944);
        let line = head.line();
        assert!(line.starts_with(HEADER_PREFIX));
        assert_eq!(
            (checksum(&line), Head::of(&read(&line).expect("JSON"))),
            (Checksum::Valid, Ok(head.clone()))
        );
        let newer = Head { format: FORMAT + 1, ..head }.line();
        assert!(Head::of(&read(&newer).expect("JSON")).is_err());
        for reason in [OmissionReason::Bound, OmissionReason::Unread] {
            let line = reason.line(7);
            assert!(line.starts_with(OMITTED_PREFIX));
            assert_eq!(OmissionReason::of(&read(&line).expect("JSON")), Ok((reason, 7)));
        }
    }

    #[test]
    fn a_change_of_any_byte_of_a_line_is_detected() {
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
                // A line without a checksum is not a valid line of this format.
                let detected = checksum(&text) != Checksum::Valid || read(&text).is_err();
                assert!(detected || read(&text) == Ok(whole.clone()), "{text}");
            }
        }
        assert_eq!(checksum(r#"{"in":"tick","n":5,"at":3}"#), Checksum::Missing);
        assert_eq!((checksum(""), checksum("é".repeat(9).as_str())), (Checksum::Missing, Checksum::Missing));
    }

    #[test]
    fn a_digest_depends_on_every_field_and_on_their_order() {
        let digest = |all: &[(&str, u64)]| {
            let mut digest = Digest::default();
            for (text, n) in all {
                digest.fold(|fields| {
                    fields.text(text).whole(*n);
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
        digest.fold(|fields| {
            fields.number(0.1);
        });
        let mut line = Line::new();
        digest.write(&mut line);
        assert_eq!(read_digest(&read(&line.end()).expect("JSON")), Ok(Some(digest.state())));
    }
}
