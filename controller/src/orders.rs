//! What an operator is told about a configuration, once the register has said which value stands.
//!
//! Invariant: under one revision only the content that stands is ever confirmed, however often and wherever it comes; a different
//! content under that revision is refused for good. An order below the revision that stands is confirmed and changes nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use millpost_quorum::{Operation, Value};
use tinyjson::JsonValue;

use crate::calls::LONGEST_BODY;
use crate::errors::Kind;
use crate::gossip::digest;

/// The orders whose rounds are under way, by call. Each entry is removed when its round ends, so there are no more than rounds.
#[derive(Default)]
pub struct Orders {
    offered: BTreeMap<u64, Offered>,
}

struct Offered {
    revision: u64,
    content: Arc<str>,
}

/// A configuration that is confirmed: the revision that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// At least the one that was ordered.
    pub revision: u64,
}

impl Orders {
    /// The round of this call begins.
    pub fn begin(&mut self, call: u64, kind: &Operation) {
        if let Operation::Propose { version, content, .. } = kind {
            self.offered.insert(call, Offered { revision: *version, content: Arc::clone(content) });
        }
    }

    /// The round of this call has ended, and `stands` is chosen.
    pub fn end(&mut self, call: u64, stands: Result<Option<&Value>, Kind>) -> Result<Confirmed, Kind> {
        let offered = self.offered.remove(&call).ok_or(Kind::Busy)?;
        // A round that ended well has written the offer or found something at or above its revision.
        let stands = stands?.filter(|value| value.version >= offered.revision).ok_or(Kind::NoMajority)?;
        if stands.version == offered.revision && !same(&stands.content, &offered.content) {
            let stands = digest(&stands.content);
            log::info!("revision {} stands with another content, {stands}", offered.revision);
            return Err(Kind::Conflict { revision: offered.revision, stands });
        }
        Ok(Confirmed { revision: stands.version })
    }
}

/// Whether two contents are the same configuration: the same text, or the same JSON in another order of keys or spacing.
fn same(one: &str, other: &str) -> bool {
    let read = |content: &str| millpost_net::pack::plain(content, LONGEST_BODY)?.parse::<JsonValue>().ok();
    one == other || read(one).is_some_and(|value| Some(value) == read(other))
}

#[cfg(test)]
mod tests {
    use super::*;

    const STANDS: &str = r#"{"revision":2,"routes":[]}"#;

    fn ended(offered: u64, content: &str, stands: Option<(u64, &str)>) -> Result<Confirmed, Kind> {
        let mut orders = Orders::default();
        let kind = Operation::Propose { version: offered, content: content.into(), expected_version: None };
        orders.begin(7, &kind);
        let stands = stands.map(|(version, content)| Value { version, content: content.into() });
        let word = orders.end(7, Ok(stands.as_ref()));
        assert!(orders.offered.is_empty());
        word
    }

    #[yare::parameterized(
        written = { 2, STANDS, (2, STANDS), Ok(2) },
        same_json = { 2, r#"{"routes": [], "revision": 2}"#, (2, STANDS), Ok(2) },
        older = { 1, r#"{"revision":1}"#, (2, STANDS), Ok(2) },
        another = { 2, r#"{"revision":2,"routes":[],"x":1}"#, (2, STANDS), Err(()) },
        below = { 3, STANDS, (2, STANDS), Err(()) },
    )]
    fn only_the_content_that_stands_is_confirmed(
        offered: u64,
        content: &str,
        stands: (u64, &str),
        expected: Result<u64, ()>,
    ) {
        let word = ended(offered, content, Some(stands));
        assert_eq!(word.map(|confirmed| confirmed.revision).map_err(drop), expected);
    }

    #[test]
    fn a_conflict_says_what_stands_and_an_order_without_a_majority_stays_open() {
        let conflict = Kind::Conflict { revision: 2, stands: digest(STANDS) };
        assert_eq!(ended(2, "{}", Some((2, STANDS))), Err(conflict));
        assert_eq!(ended(2, STANDS, None), Err(Kind::NoMajority));
    }

    /// What is long stands packed, and comes as plain text from an operator's second machine.
    #[test]
    fn a_packed_content_is_the_text_that_it_was_packed_from() {
        let packed = millpost_net::pack::pack(STANDS).expect("packed");
        assert_eq!(ended(2, &packed, Some((2, STANDS))).map(|confirmed| confirmed.revision), Ok(2));
    }
}
