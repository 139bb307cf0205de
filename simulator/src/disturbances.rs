//! When which machine was in trouble: time bounds of rules hold only for machines in touch.

use crate::Time;

/// Spans of trouble. What is told here widens what the auditor forgives, never what it sees.
#[derive(Default)]
pub struct Disturbances {
    machines: Vec<Vec<(Time, Time)>>,
    /// Of these, what was not planned.
    unplanned: Vec<Vec<(Time, Time)>>,
    core: Vec<(Time, Time)>,
    outside: Vec<(Time, Time)>,
    contact: Time,
}

fn overlaps(spans: &[(Time, Time)], from: Time, to: Time) -> bool {
    spans.iter().any(|(begin, end)| *begin <= to && *end >= from)
}

impl Disturbances {
    /// So many machines.
    pub fn new(machines: usize, contact: Time) -> Self {
        Disturbances {
            machines: vec![Vec::new(); machines],
            unplanned: vec![Vec::new(); machines],
            contact,
            ..Self::default()
        }
    }

    /// A machine was in trouble.
    pub fn record_machine(&mut self, machine: usize, from: Time, to: Time) {
        self.machines[machine].push((from, to));
        self.unplanned[machine].push((from, to));
    }

    /// A machine was told to leave.
    pub fn record_planned(&mut self, machine: usize, from: Time, to: Time) {
        self.machines[machine].push((from, to));
    }

    /// Nothing unplanned has happened to it, to the core or outside from a while before the one time to the other.
    pub fn only_planned_work(&self, machine: usize, from: Time, to: Time) -> bool {
        let from = from.saturating_sub(self.contact);
        !overlaps(&self.unplanned[machine], from, to)
            && !overlaps(&self.core, from, to)
            && !overlaps(&self.outside, from, to)
    }

    /// The core was.
    pub fn record_core(&mut self, from: Time, to: Time) {
        self.core.push((from, to));
    }

    /// Endpoints, clients, links or edge machines were.
    pub fn record_outside(&mut self, from: Time, to: Time) {
        self.outside.push((from, to));
    }

    /// The machine is in touch.
    pub fn in_contact(&self, machine: usize, at: Time) -> bool {
        let from = at.saturating_sub(self.contact);
        at >= self.contact && !overlaps(&self.machines[machine], from, at) && !overlaps(&self.core, from, at)
    }

    /// Nothing outside was in trouble lately, nor any edge machine but by planned work.
    pub fn outside_undisturbed(&self, at: Time, edges: usize) -> bool {
        let from = at.saturating_sub(self.contact);
        !overlaps(&self.outside, from, at) && !self.unplanned[..edges].iter().any(|m| overlaps(m, from, at))
    }
}
