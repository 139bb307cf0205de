//! Workers differ: what answers tell of their speed, and what is made of it here. On an ordinary day, nothing.
//!
//! An instance comes behind the others of its function only where it is clearly and surely slower; an owner names workers to control
//! only where they are surely slow.

use millpost_latency::{LatencyModel, RelativeLatency};

use crate::Nanos;
use crate::service::Service;

use super::Scheduler;

impl Scheduler {
    /// What was answered, so far, is worked out now and then; instances are put in the order that follows from it.
    pub(super) fn weigh(&mut self, now: Nanos) {
        let Some(speeds) = &mut self.speeds else { return };
        if !speeds.update(now) {
            return;
        }
        let speeds = &*speeds;
        self.services.iter_mut().filter(|s| !s.places().is_empty()).for_each(|s| s.rank(speeds));
    }

    /// An instance answered as it should, so long after it was called.
    pub(super) fn timed(&mut self, now: Nanos, at: usize, id: &str, took: Nanos) {
        let service = &self.services[at];
        if let (Some(place), Some(speeds)) = (service.place(id), &mut self.speeds) {
            speeds.observe(now, &service.name, &place.of.worker, took);
        }
    }
}

/// Where a worker is slow, instances come behind others in steps of this factor.
const STEP: f64 = 1.3;
/// So much longer than on the best is more than instances differ by nature,
const BEYOND: f64 = 1.5;
/// ... if it is surely so, in standard deviations.
const SURE: f64 = 2.5;

impl Service {
    /// Puts instances behind others of which it is sure that they end sooner.
    fn rank(&mut self, speeds: &LatencyModel) {
        let name = self.name.clone();
        let lags: Vec<_> =
            self.places().iter().map(|p| speeds.relative_latency(&name, &p.of.worker)).collect();
        let open = self.places().iter().zip(&lags).filter(|(p, _)| p.open());
        let best = open.filter_map(|(_, lag)| *lag).min_by(|a, b| a.log_ratio.total_cmp(&b.log_ratio));
        let step = |lag: Option<RelativeLatency>, slow: bool, already: bool| {
            let Some((lag, best)) = lag.zip(best) else { return 0 };
            let steps = ((lag.log_ratio - best.log_ratio) / STEP.ln()).clamp(0.0, 8.0) as u8;
            if slow || already || lag.is_slower_than(&best, BEYOND, SURE) { steps } else { 0 }
        };
        self.reorder(|at, place| {
            place.slow = speeds.is_slow_for(&name, &place.of.worker);
            place.behind = step(lags[at], place.slow, place.behind > 0);
        });
    }
}
