//! Functions removed from the configuration: queued requests are returned to their proxies, which resolve
//! the route again.
//!
//! Invariant: a request denied this way has no permit here and is no longer queued.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::{Key, Scheduler};
use crate::effect::DenialReason;
use crate::reason::RequestDecision;
use crate::{Nanos, SECOND};

/// How long proxies with an older configuration may still request a removed function.
const REMEMBER_TIME: Nanos = 10 * SECOND;
const MOST: usize = 10_000;

/// Removed functions and when each is forgotten.
#[derive(Debug, Default)]
pub(super) struct RemovedFunctions(BTreeMap<CompactString, Nanos>);

impl RemovedFunctions {
    /// Forgets the removal of a function that the configuration names again.
    pub fn restore(&mut self, name: &str) {
        self.0.remove(name);
    }

    fn insert(&mut self, now: Nanos, name: CompactString) {
        self.0.retain(|_, until| *until > now);
        if self.0.len() < MOST {
            self.0.insert(name, now + REMEMBER_TIME);
        }
    }
}

impl Scheduler {
    /// Removes a function that the configuration no longer names.
    pub(super) fn remove_function(&mut self, now: Nanos, index: usize) {
        let Some(function) = self.functions[index].function.take() else { return };
        self.removed_functions.insert(now, self.functions[index].name.clone());
        for waiting in function.queue.into_values() {
            self.queue_positions.remove(&(waiting.from.clone(), waiting.request.id));
            self.push_refusal(waiting.from, waiting.request.id, DenialReason::Moved);
        }
        self.free_if_empty(index);
    }

    /// Denies a request for a function that is not configured here.
    pub(super) fn deny_unknown(&mut self, now: Nanos, (from, request_id): Key, name: &str) {
        let moved = self.removed_functions.0.get(name).is_some_and(|until| now < *until);
        let reason = if moved { DenialReason::Moved } else { DenialReason::Unknown };
        self.deny(from, request_id, reason, || RequestDecision::UnknownFunction);
    }
}
