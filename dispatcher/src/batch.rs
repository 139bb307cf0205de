//! Encoding of calls with several messages, and parsing of the result of each message from the answer.
//!
//! Invariant: every message of a call gets exactly one result; a message without a readable result may have
//! been executed.

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

/// Encodes a message for the body of a batch. `None` if its key is not UTF-8, in which case it cannot be
/// batched.
pub fn item(reference: &str, key: Option<&[u8]>, body: &[u8]) -> Option<String> {
    let key = key.map(std::str::from_utf8).transpose().ok()?;
    serde_json::to_string(&Item { id: reference, key, body: STANDARD.encode(body) }).ok()
}

/// The body of a batch of encoded messages.
pub fn body(items: &[String]) -> Bytes {
    Bytes::from(format!("[{}]", items.join(",")))
}

/// The result of one message of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// It was executed and is finished.
    Delivered,
    /// It may have been executed.
    Failed,
    /// It was not executed.
    Refused,
    /// It was not executed and needs no further attempt.
    Over,
    /// It was not executed and has used up its attempts.
    Spent,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    state: End,
}

/// Parses the results of the messages `references` from an answer, in the same order: `None` for a message
/// that is missing, has an unknown state or has contradictory results. An answer that is not a JSON list
/// gives no results.
pub fn ends(answer: &[u8], references: &[String]) -> Vec<Option<End>> {
    let lines: Vec<serde_json::Value> = serde_json::from_slice(answer).unwrap_or_default();
    let mut results: HashMap<String, Option<End>> = HashMap::new();
    for line in lines {
        let id = line.get("id").and_then(|id| id.as_str()).map(str::to_owned);
        let (Some(id), line) = (id, serde_json::from_value::<Line>(line)) else { continue };
        let end = line.ok().filter(|line| line.id == id).map(|line| line.state);
        let previous = results.entry(id).or_insert(end);
        if *previous != end {
            *previous = None;
        }
    }
    references.iter().map(|reference| results.get(reference).copied().flatten()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use millpost_core::CallMessage;

    #[test]
    fn batch_preserves_messages_within_the_estimated_size() {
        let odd = "a\"\\\u{1}\u{e9}";
        type Message<'a> = (&'a str, Option<&'a [u8]>, &'a [u8]);
        let messages: [Message; 3] =
            [("r1", Some(b"k"), b"\x00\xff"), (odd, None, b""), ("r3", Some(odd.as_bytes()), &[7; 1_000])];
        let items: Vec<String> = messages.iter().map(|(r, k, b)| item(r, *k, b).expect("text")).collect();
        for ((reference, key, body), item) in messages.iter().zip(&items) {
            let own = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
            let message =
                CallMessage { reference: (*reference).to_owned(), key: key.map(own), body: own(body) };
            assert!(item.len() < millpost_core::bundled_size(&message), "{item}");
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
    fn results_are_taken_only_from_readable_unambiguous_entries() {
        let references = ["a", "b", "c", "d", "e", "f"].map(str::to_owned);
        let answer = br#"[{"id":"c","state":"refused"}, {"id":"a","state":"delivered","more":1}, 7,
            {"id":"b","state":"lost"}, {"id":"z","state":"failed"}, {"state":"over"},
            {"id":"d","state":"over"}, {"id":"d","state":"spent"},
            {"id":"f","state":"spent"}, {"id":"f","state":"spent"}]"#;
        let results = ends(answer, &references);
        assert_eq!(results, [Some(End::Delivered), None, Some(End::Refused), None, None, Some(End::Spent)]);
        for bad in [&b""[..], b"{}", b"[", b"noise", b"[{\"id\":\"a\",\"state\":\"delivered\"}] more"] {
            assert_eq!(ends(bad, &references[..1]), [None], "{bad:?}");
        }
    }
}
