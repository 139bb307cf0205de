//! Several messages in one call: how they are written, and what the answer says of each.
//!
//! Kept invariant: an answer gives every message of its call exactly one end, and a message of which it says nothing
//! that can be read may have run.

use std::collections::HashMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

#[derive(Serialize)]
struct Item<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

/// A message as it stands in the body of a call. `None` where its key is no text: it can't travel with others.
pub fn item(reference: &str, key: Option<&[u8]>, body: &[u8]) -> Option<String> {
    let key = key.map(std::str::from_utf8).transpose().ok()?;
    serde_json::to_string(&Item { id: reference, key, body: STANDARD.encode(body) }).ok()
}

/// The body of a call with these messages.
pub fn body(items: &[String]) -> Bytes {
    Bytes::from(format!("[{}]", items.join(",")))
}

/// What the answer to a call says of one of its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// It ran, and is over.
    Delivered,
    /// It may have run.
    Failed,
    /// It never ran.
    Refused,
    /// It was not run, and nothing more is owed for it.
    Over,
    /// It was not run, and has had all its attempts.
    Spent,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    state: End,
}

/// The ends that an answer gives these messages, in their order: `None` for one that it leaves out, speaks of in
/// words that are not known, or gives two different ends. An answer that is no list tells nothing of any.
pub fn ends(answer: &[u8], references: &[String]) -> Vec<Option<End>> {
    let lines: Vec<serde_json::Value> = serde_json::from_slice(answer).unwrap_or_default();
    let mut told: HashMap<String, Option<End>> = HashMap::new();
    for line in lines {
        let id = line.get("id").and_then(|id| id.as_str()).map(str::to_owned);
        let (Some(id), line) = (id, serde_json::from_value::<Line>(line)) else { continue };
        let end = line.ok().filter(|line| line.id == id).map(|line| line.state);
        let before = told.entry(id).or_insert(end);
        if *before != end {
            *before = None;
        }
    }
    references.iter().map(|reference| told.get(reference).copied().flatten()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use millpost_core::CallMessage;

    #[test]
    fn a_call_holds_each_message_unchanged_and_no_more_than_was_reckoned() {
        let odd = "a\"\\\u{1}\u{e9}";
        type Message<'a> = (&'a str, Option<&'a [u8]>, &'a [u8]);
        let messages: [Message; 3] =
            [("r1", Some(b"k"), b"\x00\xff"), (odd, None, b""), ("r3", Some(odd.as_bytes()), &[7; 1_000])];
        let items: Vec<String> = messages.iter().map(|(r, k, b)| item(r, *k, b).expect("text")).collect();
        for ((reference, key, body), item) in messages.iter().zip(&items) {
            let own = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
            let carried =
                CallMessage { reference: (*reference).to_owned(), key: key.map(own), body: own(body) };
            assert!(item.len() < millpost_core::bundled_size(&carried), "{item}");
        }
        let read: Vec<serde_json::Value> = serde_json::from_slice(&body(&items)).expect("a list");
        assert_eq!(read.len(), 3);
        for ((reference, key, body), read) in messages.iter().zip(&read) {
            assert_eq!(read["id"], *reference);
            assert_eq!(read.get("key").and_then(|k| k.as_str()).map(str::as_bytes), *key);
            let sent = STANDARD.decode(read["body"].as_str().expect("text")).expect("Base64");
            assert_eq!(sent, *body);
        }
        assert_eq!(item("r", Some(b"\xff"), b""), None);
    }

    #[test]
    fn a_message_has_the_end_that_the_answer_gives_it_and_none_that_it_does_not() {
        let references = ["a", "b", "c", "d", "e", "f"].map(str::to_owned);
        let answer = br#"[{"id":"c","state":"refused"}, {"id":"a","state":"delivered","more":1}, 7,
            {"id":"b","state":"lost"}, {"id":"z","state":"failed"}, {"state":"over"},
            {"id":"d","state":"over"}, {"id":"d","state":"spent"},
            {"id":"f","state":"spent"}, {"id":"f","state":"spent"}]"#;
        let told = ends(answer, &references);
        assert_eq!(told, [Some(End::Delivered), None, Some(End::Refused), None, None, Some(End::Spent)]);
        for bad in [&b""[..], b"{}", b"[", b"noise", b"[{\"id\":\"a\",\"state\":\"delivered\"}] more"] {
            assert_eq!(ends(bad, &references[..1]), [None], "{bad:?}");
        }
    }
}
