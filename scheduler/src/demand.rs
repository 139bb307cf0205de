//! Instance demand of a function, from held slots, arrival rate and queue length. Pure arithmetic.

use std::collections::VecDeque;

use crate::{FunctionSpec, MS, Nanos, SECOND};

/// Time constant of the averages.
const SPAN: f64 = 1.5 * SECOND as f64;
/// Shorter time constant, for the load on the owner.
const BURST_SPAN: f64 = 0.4 * SECOND as f64;
/// Weight of a new hold time.
const WEIGHT: f64 = 0.1;

#[derive(Debug)]
pub(crate) struct Demand {
    updated_at: Nanos,
    /// Average first attempts per second.
    rate: f64,
    /// The same, averaged over `BURST_SPAN`.
    burst_rate: f64,
    /// Time average of held slots.
    mean_held: f64,
    held: usize,
    /// Average time for which a request holds its slot, in nanoseconds.
    pub mean_hold_time: f64,
    /// Time of the last first attempt.
    pub last_arrival: Option<Nanos>,
    /// Time at which this owner took over, and instances that existed then.
    inherited: Option<(Nanos, u32)>,
    /// Until this time one instance is kept although nothing was requested.
    standby_until: Option<Nanos>,
    /// Recent instance needs, in decreasing order, so that instances needed again soon are kept.
    recent_needs: VecDeque<(Nanos, u32)>,
}

impl Demand {
    pub fn new(now: Nanos) -> Self {
        Demand {
            updated_at: now,
            rate: 0.0,
            burst_rate: 0.0,
            mean_held: 0.0,
            held: 0,
            mean_hold_time: 0.0,
            last_arrival: None,
            inherited: None,
            standby_until: None,
            recent_needs: VecDeque::new(),
        }
    }

    /// Resets the counts after a change of owners: those of other owners or partitions do not apply.
    pub fn reset(&mut self, now: Nanos) {
        (self.updated_at, self.rate, self.burst_rate, self.mean_held) = (now, 0.0, 0.0, 0.0);
        self.recent_needs.clear();
    }

    /// First attempts per second, averaged; a burst shows at once.
    pub fn rate(&mut self, now: Nanos) -> f64 {
        self.advance(now);
        self.rate.max(self.burst_rate)
    }

    fn advance(&mut self, now: Nanos) {
        if now <= self.updated_at {
            return;
        }
        let kept = (-((now - self.updated_at) as f64) / SPAN).exp();
        self.rate *= kept;
        self.burst_rate *= (-((now - self.updated_at) as f64) / BURST_SPAN).exp();
        self.mean_held = self.mean_held * kept + self.held as f64 * (1.0 - kept);
        self.updated_at = now;
    }

    /// Records the first attempt of a request.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.advance(now);
        self.rate += SECOND as f64 / SPAN;
        self.burst_rate += SECOND as f64 / BURST_SPAN;
        self.last_arrival = Some(now);
    }

    /// Sets the number of held slots.
    pub fn set_held(&mut self, now: Nanos, held: usize) {
        self.advance(now);
        self.held = held;
    }

    /// Records how long a request held its slot.
    pub fn record_hold_time(&mut self, took: Nanos) {
        let took = took as f64;
        self.mean_hold_time = if self.mean_hold_time == 0.0 {
            took
        } else {
            self.mean_hold_time + WEIGHT * (took - self.mean_hold_time)
        };
    }

    /// Expected hold time of a slot in nanoseconds; a default before the first sample.
    pub fn expected_hold_time(&self) -> f64 {
        if self.mean_hold_time > 0.0 { self.mean_hold_time } else { (60 * MS) as f64 }
    }

    /// Records the instances that existed when this owner took over. They count as needed until its own
    /// demand is known.
    pub fn inherited(&mut self, now: Nanos, instances: u32) {
        self.inherited = Some((now, instances));
    }

    /// Keeps one instance until `until` or the first request.
    pub fn keep_standby(&mut self, until: Nanos) {
        self.standby_until = Some(until);
    }

    /// Number of instances needed now, with `queued` requests that wait longer than they should.
    pub fn needed(&mut self, now: Nanos, spec: &FunctionSpec, queued: usize) -> u32 {
        self.advance(now);
        let concurrency = f64::from(spec.concurrency.max(1));
        let load = self.mean_held.max(self.rate * self.expected_hold_time() / SECOND as f64);
        // Arrivals are random: add room for as many more as coincide occasionally.
        let headroom = if spec.concurrency > 1 { load.sqrt() } else { 0.6 * load.sqrt() };
        let by_load = if load < 0.2 { 0.0 } else { (load + headroom) / concurrency };
        let by_queue = if queued > 0 { (self.held + queued) as f64 / concurrency } else { 0.0 };
        let retention = idle_retention(spec);
        let on_standby = self.last_arrival.is_none() && self.standby_until.is_some_and(|until| now < until);
        let recent = on_standby || self.last_arrival.is_some_and(|at| at + retention > now) || self.held > 0;
        let mut need = by_load.max(by_queue).ceil().max(f64::from(u8::from(recent))) as u32;
        if let Some((at, instances)) = self.inherited
            && at + retention + SPAN as Nanos > now
        {
            need = need.max(instances);
        }
        self.recent_needs.retain(|(at, n)| at + retention > now && *n > need);
        self.recent_needs.push_back((now, need));
        self.recent_needs.front().map_or(need, |(_, most)| *most)
    }
}

/// How long an unused instance is kept; longer if instances start slowly.
pub(crate) fn idle_retention(spec: &FunctionSpec) -> Nanos {
    (spec.startup_time * 5 / 2).clamp(500 * MS, 10 * SECOND)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(concurrency: u32) -> FunctionSpec {
        FunctionSpec { name: "f".into(), concurrency, startup_time: 400 * MS, memory_mb: 128 }
    }

    #[test]
    fn one_request_needs_one_instance_until_idle() {
        let (spec, mut demand) = (spec(1), Demand::new(0));
        assert_eq!(demand.needed(0, &spec, 0), 0);
        demand.record_arrival(10 * MS);
        assert_eq!(demand.needed(10 * MS, &spec, 1), 1);
        demand.set_held(400 * MS, 1);
        demand.set_held(450 * MS, 0);
        assert_eq!(demand.needed(1_000 * MS, &spec, 0), 1);
        assert_eq!(demand.needed(3_100 * MS, &spec, 0), 0);
    }

    #[test]
    fn steady_load_gets_headroom_and_a_queue_gets_more() {
        let (spec, mut demand) = (spec(4), Demand::new(0));
        for n in 0..600u64 {
            demand.record_arrival(n * 10 * MS);
            demand.set_held(n * 10 * MS, 6);
            demand.record_hold_time(60 * MS);
        }
        // With a mean of six held slots: 6 + sqrt(6) = 8.4 slots.
        assert_eq!(demand.needed(6_000 * MS, &spec, 0), 3);
        assert_eq!(demand.needed(6_000 * MS, &spec, 15), 6);
    }
}
