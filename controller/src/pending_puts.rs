//! Decides the reply to an operator's put of a configuration, given the chosen value of the register.
//!
//! Invariant: under one revision only the chosen content is ever confirmed, however often and wherever it is
//! put; different content under that revision is rejected permanently. A put below the chosen revision is
//! confirmed and changes nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use millpost_quorum::{Operation, Value};
use tinyjson::JsonValue;

use crate::calls::MAX_BODY;
use crate::errors::CallError;
use crate::gossip::digest;

/// The puts whose rounds are in progress, by call. Each entry is removed when its round ends, so there are at
/// most as many as rounds.
#[derive(Default)]
pub struct PendingPuts {
    pending: BTreeMap<u64, PendingPut>,
}

struct PendingPut {
    revision: u64,
    content: Arc<str>,
}

/// A confirmed put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// The chosen revision, at least the one that was put.
    pub revision: u64,
}

impl PendingPuts {
    /// Records the put of a call when its round starts.
    pub fn begin(&mut self, call: u64, kind: &Operation) {
        if let Operation::Propose { version, content, .. } = kind {
            self.pending.insert(call, PendingPut { revision: *version, content: Arc::clone(content) });
        }
    }

    /// Ends the put of a call. `chosen` is the value that its round found or wrote.
    pub fn finish(
        &mut self,
        call: u64,
        chosen: Result<Option<&Value>, CallError>,
    ) -> Result<Confirmed, CallError> {
        let put = self.pending.remove(&call).ok_or(CallError::Busy)?;
        // A successful round has written the value or found one with at least its revision.
        let chosen = chosen?.filter(|value| value.version >= put.revision).ok_or(CallError::NoMajority)?;
        if chosen.version == put.revision && !same_config(&chosen.content, &put.content) {
            let chosen_digest = digest(&chosen.content);
            log::info!(
                "revision {} is already chosen with other content, digest {chosen_digest}",
                put.revision
            );
            return Err(CallError::Conflict { revision: put.revision, chosen_digest });
        }
        Ok(Confirmed { revision: chosen.version })
    }
}

/// Returns whether two contents are the same configuration: equal text, or equal JSON with other spacing or
/// order of keys.
fn same_config(one: &str, other: &str) -> bool {
    let read = |content: &str| millpost_net::pack::plain(content, MAX_BODY)?.parse::<JsonValue>().ok();
    one == other || read(one).is_some_and(|value| Some(value) == read(other))
}

#[cfg(test)]
mod tests {
    use super::*;

    const CHOSEN: &str = r#"{"revision":2,"routes":[]}"#;

    fn put_result(put: u64, content: &str, chosen: Option<(u64, &str)>) -> Result<Confirmed, CallError> {
        let mut puts = PendingPuts::default();
        let kind = Operation::Propose { version: put, content: content.into(), expected_version: None };
        puts.begin(7, &kind);
        let chosen = chosen.map(|(version, content)| Value { version, content: content.into() });
        let result = puts.finish(7, Ok(chosen.as_ref()));
        assert!(puts.pending.is_empty());
        result
    }

    #[yare::parameterized(
        written = { 2, CHOSEN, (2, CHOSEN), Ok(2) },
        same_json = { 2, r#"{"routes": [], "revision": 2}"#, (2, CHOSEN), Ok(2) },
        older_revision = { 1, r#"{"revision":1}"#, (2, CHOSEN), Ok(2) },
        other_content = { 2, r#"{"revision":2,"routes":[],"x":1}"#, (2, CHOSEN), Err(()) },
        below_the_put = { 3, CHOSEN, (2, CHOSEN), Err(()) },
    )]
    fn only_the_chosen_content_is_confirmed(
        put: u64,
        content: &str,
        chosen: (u64, &str),
        expected: Result<u64, ()>,
    ) {
        let result = put_result(put, content, Some(chosen));
        assert_eq!(result.map(|confirmed| confirmed.revision).map_err(drop), expected);
    }

    #[test]
    fn a_conflict_reports_the_chosen_digest_and_a_put_without_a_majority_stays_open() {
        let conflict = CallError::Conflict { revision: 2, chosen_digest: digest(CHOSEN) };
        assert_eq!(put_result(2, "{}", Some((2, CHOSEN))), Err(conflict));
        assert_eq!(put_result(2, CHOSEN, None), Err(CallError::NoMajority));
    }

    /// A long configuration is stored compressed, and may arrive as plain text through another controller.
    #[test]
    fn compressed_content_equals_its_plain_text() {
        let packed = millpost_net::pack::pack(CHOSEN).expect("packed");
        assert_eq!(put_result(2, &packed, Some((2, CHOSEN))).map(|confirmed| confirmed.revision), Ok(2));
    }
}
