//! Worker speed estimated from response times, and its use in scheduling. With workers of similar speed
//! this has no effect.
//!
//! An instance is ranked behind others of its function only if it is significantly slower, and a worker is
//! reported to the controller only if it is significantly slow.

use millpost_latency::{LatencyModel, RelativeLatency};

use crate::Nanos;
use crate::service::FunctionState;

use super::Scheduler;

impl Scheduler {
    /// Periodically updates the model with the latest answers and ranks the instances by it.
    pub(super) fn update_latency_ranks(&mut self, now: Nanos) {
        let Some(model) = &mut self.latency_model else { return };
        if !model.update(now) {
            return;
        }
        let model = &*model;
        self.functions
            .iter_mut()
            .filter(|s| !s.instances().is_empty())
            .for_each(|s| s.update_latency_ranks(model));
    }

    /// Records the response time of a successful answer.
    pub(super) fn record_latency(&mut self, now: Nanos, index: usize, id: &str, took: Nanos) {
        let service = &self.functions[index];
        if let (Some(state), Some(model)) = (service.instance(id), &mut self.latency_model) {
            model.observe(now, &service.name, &state.info.worker, took);
        }
    }
}

/// Slowdown factor per rank step.
const STEP: f64 = 1.3;
/// Slowdown relative to the best instance that exceeds the normal variation between instances.
const MIN_SLOWDOWN: f64 = 1.5;
/// Required confidence, in standard deviations.
const MIN_CONFIDENCE: f64 = 2.5;

impl FunctionState {
    /// Ranks instances behind others that are significantly faster.
    fn update_latency_ranks(&mut self, model: &LatencyModel) {
        let name = self.name.clone();
        let relative: Vec<_> =
            self.instances().iter().map(|p| model.relative_latency(&name, &p.info.worker)).collect();
        let available = self.instances().iter().zip(&relative).filter(|(p, _)| p.is_available());
        let best = available
            .filter_map(|(_, relative_latency)| *relative_latency)
            .min_by(|a, b| a.log_ratio.total_cmp(&b.log_ratio));
        let step = |relative_latency: Option<RelativeLatency>, slow: bool, was_behind: bool| {
            let Some((relative_latency, best)) = relative_latency.zip(best) else { return 0 };
            let steps = ((relative_latency.log_ratio - best.log_ratio) / STEP.ln()).clamp(0.0, 8.0) as u8;
            if slow || was_behind || relative_latency.is_slower_than(&best, MIN_SLOWDOWN, MIN_CONFIDENCE) {
                steps
            } else {
                0
            }
        };
        self.update_ranks(|index, state| {
            state.on_slow_worker = model.is_slow_for(&name, &state.info.worker);
            state.latency_rank = step(relative[index], state.on_slow_worker, state.latency_rank > 0);
        });
    }
}
