//! Long texts packed for the wire: deflated, then base64, so that they go into JSON.

use std::borrow::Cow;
use std::io::{Read, Write};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Packs a text.
pub fn pack(text: &str) -> Option<String> {
    let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
    out.write_all(text.as_bytes()).ok()?;
    Some(STANDARD.encode(out.finish().ok()?))
}

/// Unpacks what [`pack`] made, up to so many bytes of text; none where it is something else.
pub fn unpack(packed: &str, most: usize) -> Option<String> {
    let bytes = STANDARD.decode(packed).ok()?;
    let mut text = String::new();
    DeflateDecoder::new(bytes.as_slice()).take(most as u64 + 1).read_to_string(&mut text).ok()?;
    (text.len() <= most).then_some(text)
}

/// The text of what may be packed: packed texts never begin with a brace, and those that are not do.
pub fn plain(content: &str, most: usize) -> Option<Cow<'_, str>> {
    if content.starts_with('{') {
        Some(Cow::Borrowed(content))
    } else {
        unpack(content, most).map(Cow::Owned)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_packed_comes_back_and_no_more_than_allowed() {
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
