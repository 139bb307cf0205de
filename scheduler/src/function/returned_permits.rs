//! Permits that came back before this owner had heard that they were out: mail of an owner of before may come in any order.
//!
//! Invariant: what has come back is not counted as out by late word of it, for as long as such word may be on its way; what is remembered
//! is bounded.

use std::collections::HashMap;

use super::ownership::{EARLY_PERMIT_TTL, MAX_EARLY_PERMITS};
use super::{Key, Scheduler};
use crate::{Nanos, Outcome};

/// Those that are remembered, and since when.
#[derive(Debug, Default)]
pub(super) struct ReturnedPermits(HashMap<Key, Nanos>);

impl ReturnedPermits {
    pub(super) fn insert(&mut self, now: Nanos, key: Key) {
        if self.0.len() >= MAX_EARLY_PERMITS {
            self.0.retain(|_, since| now < *since + EARLY_PERMIT_TTL);
        }
        if self.0.len() < MAX_EARLY_PERMITS {
            self.0.insert(key, now);
        }
    }

    fn contains(&self, now: Nanos, key: &Key) -> bool {
        self.0.get(key).is_some_and(|since| now < *since + EARLY_PERMIT_TTL)
    }

    /// Forgets what is too old.
    pub(super) fn sweep(&mut self, now: Nanos) {
        self.0.retain(|_, since| now < *since + EARLY_PERMIT_TTL);
    }
}

impl Scheduler {
    /// A permit came back that is not known to be out here. One that was not used says nothing: its ask may use another.
    pub(crate) fn permit_returned(&mut self, now: Nanos, who: &str, ask: u64, outcome: Outcome) {
        if outcome != Outcome::Unused {
            self.returned_permits.insert(now, (who.into(), ask));
        }
    }

    /// Word of a permit comes late: it has come back already.
    pub(super) fn has_returned(&self, now: Nanos, key: &Key) -> bool {
        self.returned_permits.contains(now, key)
    }
}
