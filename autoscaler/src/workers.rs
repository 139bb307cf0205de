//! The workers: which of them accept starts, and which one gets the next start.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::Nanos;
use crate::platform::Worker;

/// A worker is gone after this many consecutive answers without it.
const MISSED_MAX: u32 = 2;

/// Memory of a start that the platform's report may not include yet.
#[derive(Debug)]
struct Reservation {
    number: u64,
    at: Nanos,
    mb: u32,
}

#[derive(Debug)]
struct WorkerState {
    zone: CompactString,
    free_mb: u64,
    draining: bool,
    /// Consecutive answers without it.
    missed: u32,
    reservations: Vec<Reservation>,
    /// When it last refused a start for lack of room, and the smallest memory in MB that it refused.
    full: Option<(Nanos, u32)>,
}

/// Whether a worker accepts starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerStatus {
    Ready,
    Draining,
    /// Not in the newest answer.
    Missing,
    /// Missing from [`MISSED_MAX`] consecutive answers.
    Gone,
}

/// All known workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    /// How far the platform's answers may lag.
    lag: Nanos,
    /// When the newest answer was requested.
    at: Option<Nanos>,
    workers: BTreeMap<CompactString, WorkerState>,
}

impl WorkerPool {
    pub(crate) fn new(lag: Nanos) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Takes an answer that was requested at `asked_at`. Returns false if a newer one is known.
    pub(crate) fn update(&mut self, asked_at: Nanos, workers: Vec<Worker>) -> bool {
        if self.at.is_some_and(|at| asked_at <= at) {
            return false;
        }
        self.at = Some(asked_at);
        self.workers.values_mut().for_each(|state| state.missed += 1);
        for worker in workers {
            let state =
                self.workers.entry(worker.name).or_insert_with(|| WorkerState::new(worker.zone.clone()));
            (state.zone, state.free_mb, state.draining, state.missed) =
                (worker.zone, worker.free_memory_mb, worker.draining, 0);
            // The answer lags: a reservation stays until an answer surely includes it.
            let included = asked_at.saturating_sub(self.lag);
            state.reservations.retain(|reservation| reservation.at >= included);
            state.full = state.full.filter(|(at, _)| *at >= included);
        }
        true
    }

    /// Adds a worker that an instance names but no answer has shown.
    pub(crate) fn ensure_known(&mut self, worker: &CompactString, zone: &CompactString) {
        if !self.workers.contains_key(worker) {
            self.workers.insert(worker.clone(), WorkerState::new(zone.clone()));
        }
    }

    /// Free memory in MB of each worker that accepts starts; `None` before the first answer.
    pub(crate) fn free_memory(&self) -> Option<Vec<u64>> {
        self.at?;
        Some(self.workers.values().filter_map(|state| state.free_for(1)).collect())
    }

    /// Drops workers that are gone and not in use.
    pub(crate) fn remove_gone(&mut self, in_use: impl Fn(&CompactString) -> bool) {
        self.workers.retain(|name, state| state.missed < MISSED_MAX || in_use(name));
    }

    pub(crate) fn status(&self, worker: &str) -> WorkerStatus {
        match self.workers.get(worker) {
            Some(state) if state.missed >= MISSED_MAX => WorkerStatus::Gone,
            Some(state) if state.missed > 0 => WorkerStatus::Missing,
            Some(state) if state.draining => WorkerStatus::Draining,
            Some(_) => WorkerStatus::Ready,
            None => WorkerStatus::Missing,
        }
    }

    /// The worker's zone; empty if the worker is unknown.
    pub(crate) fn zone(&self, worker: &str) -> CompactString {
        self.workers.get(worker).map(|state| state.zone.clone()).unwrap_or_default()
    }

    /// Reserves memory for the start with this number, in place of an earlier reservation for it.
    pub(crate) fn reserve(&mut self, worker: &str, number: u64, at: Nanos, mb: u32) {
        self.release(worker, number);
        if let Some(state) = self.workers.get_mut(worker) {
            state.reservations.push(Reservation { number, at, mb });
        }
    }

    pub(crate) fn release(&mut self, worker: &str, number: u64) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.reservations.retain(|reservation| reservation.number != number);
        }
    }

    /// Records that the worker had no room for `mb`.
    pub(crate) fn mark_full(&mut self, worker: &str, at: Nanos, mb: u32) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.full = Some((at, state.full.map_or(mb, |(_, least)| least.min(mb))));
        }
    }

    /// Picks the worker for one more instance of a service whose others are `held` at (worker, zone). `zones`
    /// are the preferred zones with their shares; `only` restricts the choice to one zone.
    ///
    /// The order of preference: workers that are not slow; preferred zones; fewest instances of the service
    /// on the worker; the zone that is furthest below its share; the zone that is preferred more; most free
    /// memory.
    pub(crate) fn pick<'a>(
        &self,
        mb: u32,
        held: &[(&'a str, &'a str)],
        zones: &[(CompactString, u32)],
        only: Option<&str>,
        slow: &BTreeSet<&str>,
    ) -> Option<CompactString> {
        let allowed = self.workers.iter().filter(|(_, state)| only.is_none_or(|zone| state.zone == zone));
        let candidates = allowed.filter_map(|(name, state)| Some((name, state, state.free_for(mb)?)));
        let best = candidates.min_by_key(|(name, state, free)| {
            let rank = zones.iter().position(|(zone, _)| *zone == state.zone);
            let unwanted = !zones.is_empty() && rank.is_none();
            let on_worker = held.iter().filter(|(worker, _)| worker == name).count();
            let in_zone = held.iter().filter(|(_, zone)| *zone == state.zone).count() as u64;
            let share = rank.map_or(1, |rank| u64::from(zones[rank].1));
            (
                slow.contains(name.as_str()),
                unwanted,
                on_worker,
                (in_zone + 1) * 5040 / share,
                rank,
                Reverse(*free),
                *name,
            )
        });
        best.map(|(name, ..)| name.clone())
    }
}

impl WorkerState {
    fn new(zone: CompactString) -> Self {
        Self { zone, free_mb: 0, draining: false, missed: 0, reservations: Vec::new(), full: None }
    }

    /// The free memory in MB, if the worker accepts an instance of `mb`.
    fn free_for(&self, mb: u32) -> Option<u64> {
        let reserved: u64 = self.reservations.iter().map(|reservation| u64::from(reservation.mb)).sum();
        let free = self.free_mb.saturating_sub(reserved);
        let accepts = self.missed == 0 && !self.draining && self.full.is_none_or(|(_, least)| mb < least);
        (accepts && free >= u64::from(mb.max(1))).then_some(free)
    }
}
