//! How many slots a function needs: by what is held, by what comes, and by what waits. Arithmetic alone.

use std::collections::VecDeque;

use crate::{FunctionSpec, MS, Nanos, SECOND};

/// The averages forget over this time.
const SPAN: f64 = 1.5 * SECOND as f64;
/// What an owner has to bear is averaged over less.
const RUSH: f64 = 0.4 * SECOND as f64;
/// Weight of a new hold time.
const WEIGHT: f64 = 0.1;

/// Demand of one function.
#[derive(Debug)]
pub(crate) struct Demand {
    at: Nanos,
    /// First tries a second, averaged.
    rate: f64,
    /// The same over a shorter time.
    rush: f64,
    /// Slots held, averaged over time.
    busy: f64,
    held: usize,
    /// How long a request holds its slot, in nanoseconds.
    pub hold: f64,
    /// The last first try.
    pub asked: Option<Nanos>,
    /// What was there when this owner came.
    found: Option<(Nanos, u32)>,
    /// Until when one stands by that nobody has asked for.
    stands_by: Option<Nanos>,
    /// What was needed lately, so that what is needed again soon stays: time and instances, falling.
    lately: VecDeque<(Nanos, u32)>,
}

impl Demand {
    pub fn new(now: Nanos) -> Self {
        Demand {
            at: now,
            rate: 0.0,
            rush: 0.0,
            busy: 0.0,
            held: 0,
            hold: 0.0,
            asked: None,
            found: None,
            stands_by: None,
            lately: VecDeque::new(),
        }
    }

    /// Its owner has changed: what was counted elsewhere, or of another part, says nothing.
    pub fn anew(&mut self, now: Nanos) {
        (self.at, self.rate, self.rush, self.busy) = (now, 0.0, 0.0, 0.0);
        self.lately.clear();
    }

    /// First tries a second, averaged; a rush shows at once.
    pub fn rate(&mut self, now: Nanos) -> f64 {
        self.pass(now);
        self.rate.max(self.rush)
    }

    fn pass(&mut self, now: Nanos) {
        if now <= self.at {
            return;
        }
        let kept = (-((now - self.at) as f64) / SPAN).exp();
        self.rate *= kept;
        self.rush *= (-((now - self.at) as f64) / RUSH).exp();
        self.busy = self.busy * kept + self.held as f64 * (1.0 - kept);
        self.at = now;
    }

    /// A request has come for the first time.
    pub fn came(&mut self, now: Nanos) {
        self.pass(now);
        self.rate += SECOND as f64 / SPAN;
        self.rush += SECOND as f64 / RUSH;
        self.asked = Some(now);
    }

    /// So many slots are held from now on.
    pub fn holds(&mut self, now: Nanos, held: usize) {
        self.pass(now);
        self.held = held;
    }

    /// A request has held its slot for so long.
    pub fn held_for(&mut self, took: Nanos) {
        let took = took as f64;
        self.hold = if self.hold == 0.0 { took } else { self.hold + WEIGHT * (took - self.hold) };
    }

    /// How long a slot is held, guessed where nothing was seen.
    pub fn usual(&self) -> f64 {
        if self.hold > 0.0 { self.hold } else { (60 * MS) as f64 }
    }

    /// So many instances were there when this owner came to the function: they are needed until its own counts tell otherwise.
    pub fn found(&mut self, now: Nanos, instances: u32) {
        self.found = Some((now, instances));
    }

    /// One instance stands by until then, or until the first request.
    pub fn stand_by(&mut self, until: Nanos) {
        self.stands_by = Some(until);
    }

    /// Instances that are needed now, for `queued` requests that wait longer than they should.
    pub fn needed(&mut self, now: Nanos, spec: &FunctionSpec, queued: usize) -> u32 {
        self.pass(now);
        let concurrency = f64::from(spec.concurrency.max(1));
        let load = self.busy.max(self.rate * self.usual() / SECOND as f64);
        // Requests come by chance: room for as many more as come together now and then.
        let room = if spec.concurrency > 1 { load.sqrt() } else { 0.6 * load.sqrt() };
        let by_load = if load < 0.2 { 0.0 } else { (load + room) / concurrency };
        let by_queue = if queued > 0 { (self.held + queued) as f64 / concurrency } else { 0.0 };
        let keep = keep(spec);
        let stands_by = self.asked.is_none() && self.stands_by.is_some_and(|until| now < until);
        let recent = stands_by || self.asked.is_some_and(|at| at + keep > now) || self.held > 0;
        let mut need = by_load.max(by_queue).ceil().max(f64::from(u8::from(recent))) as u32;
        if let Some((at, instances)) = self.found
            && at + keep + SPAN as Nanos > now
        {
            need = need.max(instances);
        }
        self.lately.retain(|(at, n)| at + keep > now && *n > need);
        self.lately.push_back((now, need));
        self.lately.front().map_or(need, |(_, most)| *most)
    }
}

/// An instance that nobody needs stays for so long: the more a start takes, the longer.
pub(crate) fn keep(spec: &FunctionSpec) -> Nanos {
    (spec.startup_time * 5 / 2).clamp(500 * MS, 10 * SECOND)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(concurrency: u32) -> FunctionSpec {
        FunctionSpec { name: "f".into(), concurrency, startup_time: 400 * MS, memory_mb: 128 }
    }

    #[test]
    fn one_request_needs_one_instance_until_some_time_of_silence() {
        let (spec, mut demand) = (spec(1), Demand::new(0));
        assert_eq!(demand.needed(0, &spec, 0), 0);
        demand.came(10 * MS);
        assert_eq!(demand.needed(10 * MS, &spec, 1), 1);
        demand.holds(400 * MS, 1);
        demand.holds(450 * MS, 0);
        assert_eq!(demand.needed(1_000 * MS, &spec, 0), 1);
        assert_eq!(demand.needed(3_100 * MS, &spec, 0), 0);
    }

    #[test]
    fn a_steady_load_gets_room_and_a_queue_gets_more() {
        let (spec, mut demand) = (spec(4), Demand::new(0));
        for n in 0..600u64 {
            demand.came(n * 10 * MS);
            demand.holds(n * 10 * MS, 6);
            demand.held_for(60 * MS);
        }
        // Six held on the mean: 6 + sqrt(6) = 8.4 slots.
        assert_eq!(demand.needed(6_000 * MS, &spec, 0), 3);
        assert_eq!(demand.needed(6_000 * MS, &spec, 15), 6);
    }
}
