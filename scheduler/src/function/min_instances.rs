//! Floors: what control keeps under a function's demand while a tenant moves, and how the function does meanwhile.
//!
//! Invariant: a floor holds until its time is over, whoever owns the function; only its owner goes by it.

use millpost_protocol::FunctionStatus;

use super::Scheduler;
use crate::service::FunctionState;
use crate::{MS, Nanos};

/// While a floor holds, what is wanted is said this often, with how the function does.
const STATUS_INTERVAL: Nanos = 500 * MS;
/// What was refused counts for one to two of these.
const SPAN: Nanos = 1_000 * MS;

/// A floor under a function.
#[derive(Debug)]
pub(crate) struct MinInstances {
    fence: u64,
    count: u32,
    until: Nanos,
    /// The lowest mean delay that was told, in milliseconds.
    lowest_delay: Option<f64>,
    /// Asks, and refusals, in this span and the one before.
    counts: [(u32, u32); 2],
    span_start: Nanos,
}

impl MinInstances {
    fn rotate(&mut self, now: Nanos) {
        if now >= self.span_start + SPAN {
            let before = if now < self.span_start + 2 * SPAN { self.counts[0] } else { (0, 0) };
            (self.counts, self.span_start) = ([(0, 0), before], now);
        }
    }

    /// The function was asked for.
    pub fn record_request(&mut self, now: Nanos) {
        self.rotate(now);
        self.counts[0].0 = self.counts[0].0.saturating_add(1);
    }

    /// An ask was refused, or an instance has refused one.
    pub fn record_refusal(&mut self, now: Nanos) {
        self.rotate(now);
        self.counts[0].1 = self.counts[0].1.saturating_add(1);
    }

    /// What is wanted is to be said again, where that was said last then.
    pub fn report_due(&self, now: Nanos, said: Nanos) -> bool {
        now >= said + STATUS_INTERVAL
    }

    fn status(&mut self, now: Nanos, delay: Option<f64>) -> FunctionStatus {
        self.rotate(now);
        if let Some(delay) = delay {
            self.lowest_delay = Some(self.lowest_delay.map_or(delay, |lowest| lowest.min(delay)));
        }
        let sum = |of: fn(&(u32, u32)) -> u32| self.counts.iter().map(of).fold(0, u32::saturating_add);
        // Without any that works now there is nothing above the lowest.
        let lowest = self.lowest_delay.unwrap_or(0.0);
        FunctionStatus { delay: delay.unwrap_or(lowest), lowest, asked: sum(|s| s.0), refused: sum(|s| s.1) }
    }
}

impl FunctionState {
    /// So many instances at least, by the floor that holds; one that is over is gone.
    pub fn min_instances(&mut self, now: Nanos) -> u32 {
        let Some(function) = &mut self.function else { return 0 };
        if function.min_instances.as_ref().is_some_and(|floor| now >= floor.until) {
            function.min_instances = None;
        }
        function.min_instances.as_ref().map_or(0, |floor| floor.count)
    }

    /// What it was asked for is refused.
    pub fn record_refusal(&mut self, now: Nanos) {
        if let Some(floor) = self.function.as_mut().and_then(|f| f.min_instances.as_mut()) {
            floor.record_refusal(now);
        }
    }

    /// How the function does, where that is asked for: the mean over the instances that have served here.
    pub fn status(&mut self, now: Nanos) -> Option<FunctionStatus> {
        self.function.as_ref()?.min_instances.as_ref()?;
        let served =
            self.instances().iter().filter(|p| p.owned && p.is_available()).filter_map(|p| p.mean_latency());
        let (sum, count) = served.fold((0.0, 0_u32), |(sum, count), delay| (sum + delay, count + 1));
        let mean = (count > 0).then(|| sum / f64::from(count) / MS as f64);
        Some(self.function.as_mut()?.min_instances.as_mut()?.status(now, mean))
    }
}

impl Scheduler {
    /// Control keeps a floor under a function until then, or none any more. A stall that does not own it holds the floor for the case
    /// that it will.
    pub fn set_min_instances(&mut self, now: Nanos, name: &str, count: u32, fence: u64, until: Nanos) {
        let Some(at) = self.index_by_name.get(name).copied() else { return };
        let Some(function) = &mut self.functions[at].function else { return };
        if function.min_instances.as_ref().is_some_and(|floor| floor.fence > fence) {
            return;
        }
        match &mut function.min_instances {
            floor if count == 0 => *floor = None,
            Some(floor) => (floor.fence, floor.count, floor.until) = (fence, count, until),
            floor => {
                // It is told at once.
                function.last_reported = None;
                let spans = [(0, 0); 2];
                *floor = Some(MinInstances {
                    fence,
                    count,
                    until,
                    lowest_delay: None,
                    counts: spans,
                    span_start: now,
                });
            }
        }
        self.activate(at);
        self.report_target(now, at);
    }
}
