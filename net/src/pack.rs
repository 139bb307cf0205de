//! Compression of long texts for transport in JSON: DEFLATE, then base64.

use std::borrow::Cow;
use std::io::{Read, Write};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Compresses a text. Returns `None` if compression fails.
pub fn pack(text: &str) -> Option<String> {
    let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
    out.write_all(text.as_bytes()).ok()?;
    Some(STANDARD.encode(out.finish().ok()?))
}

/// Decompresses a text made by [`pack`]. Returns `None` if the input is invalid, or the text is longer than
/// `max_bytes`.
pub fn unpack(packed: &str, max_bytes: usize) -> Option<String> {
    let bytes = STANDARD.decode(packed).ok()?;
    let mut text = String::new();
    DeflateDecoder::new(bytes.as_slice()).take(max_bytes as u64 + 1).read_to_string(&mut text).ok()?;
    (text.len() <= max_bytes).then_some(text)
}

/// Returns the text of content that may be compressed. Uncompressed content is a JSON object and starts with
/// `{`, which is not a base64 character.
pub fn plain(content: &str, max_bytes: usize) -> Option<Cow<'_, str>> {
    if content.starts_with('{') {
        Some(Cow::Borrowed(content))
    } else {
        unpack(content, max_bytes).map(Cow::Owned)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn packed_text_unpacks_unchanged_within_the_limit_and_truncated_input_does_not() {
        let text = "{\"host\":\"a.example\"}".repeat(1_000);
        let packed = pack(&text).expect("packed");
        assert!(packed.len() < text.len() / 20);
        assert_eq!(unpack(&packed, text.len()).as_deref(), Some(text.as_str()));
        assert_eq!(unpack(&packed, text.len() - 1), None);
        for cut in 0..packed.len() {
            assert_ne!(unpack(&packed[..cut], text.len()).as_deref(), Some(text.as_str()));
        }
    }
}
