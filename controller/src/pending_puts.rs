//! What an operator is told about a configuration, once the register has said which value stands.
//!
//! Invariant: under one revision only the content that stands is ever confirmed, however often and wherever it comes; a different
//! content under that revision is refused for good. An order below the revision that stands is confirmed and changes nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use millpost_quorum::{Operation, Value};
use tinyjson::JsonValue;

use crate::calls::MAX_BODY;
use crate::errors::CallError;
use crate::gossip::digest;

/// The puts whose rounds are under way, by call. Each entry is removed when its round ends, so there are no more than rounds.
#[derive(Default)]
pub struct PendingPuts {
    pending: BTreeMap<u64, PendingPut>,
}

struct PendingPut {
    revision: u64,
    content: Arc<str>,
}

/// A configuration that is confirmed: the revision that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// At least the one that was ordered.
    pub revision: u64,
}

impl PendingPuts {
    /// The round of this call begins.
    pub fn begin(&mut self, call: u64, kind: &Operation) {
        if let Operation::Propose { version, content, .. } = kind {
            self.pending.insert(call, PendingPut { revision: *version, content: Arc::clone(content) });
        }
    }

    /// The round of this call has ended, and `stands` is chosen.
    pub fn finish(
        &mut self,
        call: u64,
        chosen: Result<Option<&Value>, CallError>,
    ) -> Result<Confirmed, CallError> {
        let offered = self.pending.remove(&call).ok_or(CallError::Busy)?;
        // A round that ended well has written the offer or found something at or above its revision.
        let chosen =
            chosen?.filter(|value| value.version >= offered.revision).ok_or(CallError::NoMajority)?;
        if chosen.version == offered.revision && !same_config(&chosen.content, &offered.content) {
            let stands = digest(&chosen.content);
            log::info!("revision {} stands with another content, {stands}", offered.revision);
            return Err(CallError::Conflict { revision: offered.revision, stands });
        }
        Ok(Confirmed { revision: chosen.version })
    }
}

/// Whether two contents are the same configuration: the same text, or the same JSON in another order of keys or spacing.
fn same_config(one: &str, other: &str) -> bool {
    let read = |content: &str| millpost_net::pack::plain(content, MAX_BODY)?.parse::<JsonValue>().ok();
    one == other || read(one).is_some_and(|value| Some(value) == read(other))
}

#[cfg(test)]
mod tests {
    use super::*;

    const CHOSEN: &str = r#"{"revision":2,"routes":[]}"#;

    fn put_result(offered: u64, content: &str, chosen: Option<(u64, &str)>) -> Result<Confirmed, CallError> {
        let mut puts = PendingPuts::default();
        let kind = Operation::Propose { version: offered, content: content.into(), expected_version: None };
        puts.begin(7, &kind);
        let chosen = chosen.map(|(version, content)| Value { version, content: content.into() });
        let result = puts.finish(7, Ok(chosen.as_ref()));
        assert!(puts.pending.is_empty());
        result
    }

    #[yare::parameterized(
        written = { 2, CHOSEN, (2, CHOSEN), Ok(2) },
        same_json = { 2, r#"{"routes": [], "revision": 2}"#, (2, CHOSEN), Ok(2) },
        older = { 1, r#"{"revision":1}"#, (2, CHOSEN), Ok(2) },
        another = { 2, r#"{"revision":2,"routes":[],"x":1}"#, (2, CHOSEN), Err(()) },
        below = { 3, CHOSEN, (2, CHOSEN), Err(()) },
    )]
    fn only_the_content_that_stands_is_confirmed(
        offered: u64,
        content: &str,
        chosen: (u64, &str),
        expected: Result<u64, ()>,
    ) {
        let result = put_result(offered, content, Some(chosen));
        assert_eq!(result.map(|confirmed| confirmed.revision).map_err(drop), expected);
    }

    #[test]
    fn a_conflict_says_what_stands_and_an_order_without_a_majority_stays_open() {
        let conflict = CallError::Conflict { revision: 2, stands: digest(CHOSEN) };
        assert_eq!(put_result(2, "{}", Some((2, CHOSEN))), Err(conflict));
        assert_eq!(put_result(2, CHOSEN, None), Err(CallError::NoMajority));
    }

    /// What is long stands packed, and comes as plain text from an operator's second machine.
    #[test]
    fn a_packed_content_is_the_text_that_it_was_packed_from() {
        let packed = millpost_net::pack::pack(CHOSEN).expect("packed");
        assert_eq!(put_result(2, &packed, Some((2, CHOSEN))).map(|confirmed| confirmed.revision), Ok(2));
    }
}
