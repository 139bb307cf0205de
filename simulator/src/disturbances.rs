//! Time spans in which machines were disturbed. Time-bound rules apply only to machines that have been in
//! contact for long enough.

use crate::Time;

/// Recorded disturbances. They only widen what the auditor tolerates and do not affect what it observes.
#[derive(Default)]
pub struct Disturbances {
    machines: Vec<Vec<(Time, Time)>>,
    /// The subset of `machines` that was not planned work.
    unplanned: Vec<Vec<(Time, Time)>>,
    core: Vec<(Time, Time)>,
    outside: Vec<(Time, Time)>,
    contact: Time,
}

fn overlaps(spans: &[(Time, Time)], from: Time, to: Time) -> bool {
    spans.iter().any(|(begin, end)| *begin <= to && *end >= from)
}

impl Disturbances {
    /// For `machines` machines. A machine is in contact once it was undisturbed for `contact`.
    pub fn new(machines: usize, contact: Time) -> Self {
        Disturbances {
            machines: vec![Vec::new(); machines],
            unplanned: vec![Vec::new(); machines],
            contact,
            ..Self::default()
        }
    }

    /// Records an unplanned disturbance of a machine.
    pub fn record_machine(&mut self, machine: usize, from: Time, to: Time) {
        self.machines[machine].push((from, to));
        self.unplanned[machine].push((from, to));
    }

    /// Records a planned shutdown of a machine.
    pub fn record_planned(&mut self, machine: usize, from: Time, to: Time) {
        self.machines[machine].push((from, to));
    }

    /// Whether nothing unplanned disturbed the machine, the core or the environment from `contact` before
    /// `from` until `to`.
    pub fn only_planned_work(&self, machine: usize, from: Time, to: Time) -> bool {
        let from = from.saturating_sub(self.contact);
        !overlaps(&self.unplanned[machine], from, to)
            && !overlaps(&self.core, from, to)
            && !overlaps(&self.outside, from, to)
    }

    /// Records a disturbance of the core.
    pub fn record_core(&mut self, from: Time, to: Time) {
        self.core.push((from, to));
    }

    /// Records a disturbance of endpoints, clients, links or edge machines.
    pub fn record_outside(&mut self, from: Time, to: Time) {
        self.outside.push((from, to));
    }

    /// Whether neither the machine nor the core was disturbed for the contact time before `at`.
    pub fn in_contact(&self, machine: usize, at: Time) -> bool {
        let from = at.saturating_sub(self.contact);
        at >= self.contact && !overlaps(&self.machines[machine], from, at) && !overlaps(&self.core, from, at)
    }

    /// Whether the environment had no disturbance, and the edge machines none but planned work, for the
    /// contact time before `at`.
    pub fn outside_undisturbed(&self, at: Time, edges: usize) -> bool {
        let from = at.saturating_sub(self.contact);
        !overlaps(&self.outside, from, at) && !self.unplanned[..edges].iter().any(|m| overlaps(m, from, at))
    }
}
