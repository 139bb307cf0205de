//! When two worlds are the same: where all that anything may still hang on is written alike, to the last bit of each
//! number.
//!
//! What is left out is said here, and nothing else is. That nothing hangs on it is checked by a test: a world and the
//! same one with it left out have the same steps, and these lead to worlds that are the same (a bisimulation).

use super::*;
use crate::search::{State, fingerprint};

impl World {
    /// Leaves out what nothing hangs on any more:
    ///
    /// - which numbers calls, answers and writes have: they are only compared, and keep their order;
    /// - what the journal holds once no crash can come, but for ends that may be asked for;
    /// - what the module does not read before it is set anew ([`millpost::Control::reset_unread`]), since no partner here
    ///   sends load reports;
    /// - when a wait, a drain or a key's life was that is over by now;
    /// - how often a message took effect, beyond what a property asks.
    pub fn settle(&mut self) {
        let at = self.at();
        self.core.set_random_source(RandomSource::Scripted { bits: 0, drawn: 0 });
        let new = self.core.renumber();
        let base = self.journal.recount();
        self.shelf.renumber(&new, base);
        // Whoever is known by a call's number and is over at the core is about to hear of it: none is, at rest.
        self.flights = std::mem::take(&mut self.flights)
            .into_iter()
            .map(|(call, flight)| (new.get(&call).copied().unwrap_or(call + 1_000), flight))
            .collect();
        if self.left.crashes == 0 {
            // Where writes wait for a sync, that a lesson is written is seen by others.
            if !self.left.synced {
                self.core.discard_learned(at);
            }
            let held = self.messages.iter().any(|m| m.deadline.is_some());
            self.journal.forget(self.left.again == 0 || !held);
        }
        self.core.reset_unread(at);
        let now = self.now;
        if self.waits_until <= now {
            self.waits_until = 0;
        }
        for (since, _) in self.away.values_mut().filter(|(since, _)| now >= *since + DRAIN_GRACE) {
            *since = 0;
        }
        for m in &mut self.messages {
            m.effects = m.effects.min(if m.kind == Kindness::Safe { 0 } else { 1 });
            if m.kind != Kindness::Keyed {
                m.keyed_at = None;
            }
        }
        for flight in self.flights.values_mut() {
            let keyed = |n: &usize| self.messages[*n].kind == Kindness::Keyed;
            if let Stage::Out(all) = &flight.stage
                && !all.iter().any(keyed)
            {
                flight.began = 0;
            }
        }
        for running in &mut self.running {
            if self.messages[running.message].kind != Kindness::Keyed {
                running.began = 0;
            }
        }
    }

    /// Leaves out what a start would learn of the past: only where it is compared by what a start makes of it.
    pub fn drop_lessons(&mut self) {
        self.journal.drop_lessons();
    }
}

impl State for World {
    type Step = Step;

    fn expand(&self, each: impl FnMut(Step, World)) {
        World::expand(self, each);
    }
    fn after(&self, step: Step) -> World {
        World::after(self, step)
    }
    fn settle(&mut self) {
        World::settle(self);
    }
    fn fingerprint(&self, room: &mut Vec<u8>) -> u128 {
        fingerprint(self, room)
    }
    fn breach(&self) -> Option<&'static str> {
        self.breach
    }
    fn calm(&self) -> Option<Step> {
        World::calm(self)
    }
}
