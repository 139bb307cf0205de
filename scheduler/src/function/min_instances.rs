//! Minimum instance counts that the controller sets during a migration, and the function status reported
//! meanwhile.
//!
//! Invariant: a minimum is kept until it expires, whoever owns the function; only the owner applies it.

use millpost_protocol::FunctionStatus;

use super::Scheduler;
use crate::service::FunctionState;
use crate::{MS, Nanos};

/// Report interval of target and status while a minimum is set.
const STATUS_INTERVAL: Nanos = 500 * MS;
/// Length of a counting span; the status covers the current span and the one before.
const SPAN: Nanos = 1_000 * MS;

/// Minimum instance count of a function.
#[derive(Debug)]
pub(crate) struct MinInstances {
    fence: u64,
    count: u32,
    until: Nanos,
    /// Lowest mean delay reported, in milliseconds.
    lowest_delay: Option<f64>,
    /// Requests and refusals, in the current span and the one before.
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

    /// Counts a permit request.
    pub fn record_request(&mut self, now: Nanos) {
        self.rotate(now);
        self.counts[0].0 = self.counts[0].0.saturating_add(1);
    }

    /// Counts a request denied here or rejected by an instance.
    pub fn record_refusal(&mut self, now: Nanos) {
        self.rotate(now);
        self.counts[0].1 = self.counts[0].1.saturating_add(1);
    }

    /// Whether a report is due again, the last one having been sent at `last_report`.
    pub fn report_due(&self, now: Nanos, last_report: Nanos) -> bool {
        now >= last_report + STATUS_INTERVAL
    }

    fn status(&mut self, now: Nanos, delay: Option<f64>) -> FunctionStatus {
        self.rotate(now);
        if let Some(delay) = delay {
            self.lowest_delay = Some(self.lowest_delay.map_or(delay, |lowest| lowest.min(delay)));
        }
        let sum = |of: fn(&(u32, u32)) -> u32| self.counts.iter().map(of).fold(0, u32::saturating_add);
        // Without a working instance, report the lowest delay, so that no increase shows.
        let lowest = self.lowest_delay.unwrap_or(0.0);
        FunctionStatus { delay: delay.unwrap_or(lowest), lowest, asked: sum(|s| s.0), refused: sum(|s| s.1) }
    }
}

impl FunctionState {
    /// Returns the current minimum, dropping one that has expired.
    pub fn min_instances(&mut self, now: Nanos) -> u32 {
        let Some(function) = &mut self.function else { return 0 };
        if function.min_instances.as_ref().is_some_and(|minimum| now >= minimum.until) {
            function.min_instances = None;
        }
        function.min_instances.as_ref().map_or(0, |minimum| minimum.count)
    }

    /// Counts a refusal if a minimum is set.
    pub fn record_refusal(&mut self, now: Nanos) {
        if let Some(minimum) = self.function.as_mut().and_then(|f| f.min_instances.as_mut()) {
            minimum.record_refusal(now);
        }
    }

    /// Status of the function if a minimum is set: the mean delay of the owned instances that have
    /// answered requests here.
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
    /// Sets the minimum instance count until `until`; a count of 0 removes it. A proxy that does not own
    /// the function stores it in case it becomes the owner.
    pub fn set_min_instances(&mut self, now: Nanos, name: &str, count: u32, fence: u64, until: Nanos) {
        let Some(index) = self.index_by_name.get(name).copied() else { return };
        let Some(function) = &mut self.functions[index].function else { return };
        if function.min_instances.as_ref().is_some_and(|minimum| minimum.fence > fence) {
            return;
        }
        match &mut function.min_instances {
            minimum if count == 0 => *minimum = None,
            Some(minimum) => (minimum.fence, minimum.count, minimum.until) = (fence, count, until),
            minimum => {
                // Report the status at once.
                function.last_reported = None;
                let counts = [(0, 0); 2];
                *minimum =
                    Some(MinInstances { fence, count, until, lowest_delay: None, counts, span_start: now });
            }
        }
        self.activate(index);
        self.report_target(now, index);
    }
}
