//! Functions that the configuration names no more: what waited for them goes back to who asked, to be asked for where its route leads now.
//!
//! Invariant: what is answered so was given no permit here, and is queued no more.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::{Key, Scheduler};
use crate::effect::DenialReason;
use crate::reason::RequestDecision;
use crate::{Nanos, SECOND};

/// Those who have not heard of it ask for it for so long.
const REMEMBER_TIME: Nanos = 10 * SECOND;
const MOST: usize = 10_000;

/// Functions that are gone, and until when that is remembered.
#[derive(Debug, Default)]
pub(super) struct RemovedFunctions(BTreeMap<CompactString, Nanos>);

impl RemovedFunctions {
    /// The configuration names it again.
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
    /// The configuration names a function no more.
    pub(super) fn remove_function(&mut self, now: Nanos, at: usize) {
        let Some(function) = self.functions[at].function.take() else { return };
        self.removed_functions.insert(now, self.functions[at].name.clone());
        for waiting in function.queue.into_values() {
            self.queue_positions.remove(&(waiting.from.clone(), waiting.request.id));
            self.push_refusal(waiting.from, waiting.request.id, DenialReason::Moved);
        }
        self.free_if_empty(at);
    }

    /// A function is asked for that is none here.
    pub(super) fn deny_unknown(&mut self, now: Nanos, (from, ask): Key, name: &str) {
        let moved = self.removed_functions.0.get(name).is_some_and(|until| now < *until);
        let no = if moved { DenialReason::Moved } else { DenialReason::Unknown };
        self.deny(from, ask, no, || RequestDecision::UnknownFunction);
    }
}
