//! Permits released before this owner learnt that they were outstanding: messages of a previous owner may
//! arrive in any order.
//!
//! Invariant: a released permit is not counted as outstanding by a report that arrives within
//! `EARLY_PERMIT_TTL`. The number of remembered permits is bounded.

use std::collections::HashMap;

use super::ownership::{EARLY_PERMIT_TTL, MAX_EARLY_PERMITS};
use super::{Key, Scheduler};
use crate::{Nanos, Outcome};

/// Remembered permits and when each was released.
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

    /// Drops expired entries.
    pub(super) fn sweep(&mut self, now: Nanos) {
        self.0.retain(|_, since| now < *since + EARLY_PERMIT_TTL);
    }
}

impl Scheduler {
    /// Remembers the release of a permit that is not known here. An unused permit is not remembered, since
    /// its request may use another one.
    pub(crate) fn permit_returned(&mut self, now: Nanos, who: &str, request_id: u64, outcome: Outcome) {
        if outcome != Outcome::Unused {
            self.returned_permits.insert(now, (who.into(), request_id));
        }
    }

    /// Whether a late report concerns a permit that has already been released.
    pub(super) fn has_returned(&self, now: Nanos, key: &Key) -> bool {
        self.returned_permits.contains(now, key)
    }
}
