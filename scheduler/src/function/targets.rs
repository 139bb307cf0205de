//! Instance targets reported to the controller, and retirement of surplus instances.

use super::{LOAD_REPORT_STEP, REPORT_INTERVAL, RETIRE_REPORT_INTERVAL, Scheduler};
use crate::Nanos;
use crate::demand::idle_retention;
use crate::effect::Effect;
use crate::reason::Reason;

impl Scheduler {
    /// Reports the instance target if it has changed or the last report is old.
    pub(super) fn report_target(&mut self, now: Nanos, index: usize) {
        let service = &mut self.functions[index];
        if !service.owned {
            return;
        }
        let (wait, live, held) =
            (service.expected_wait(now), service.live_instances(), service.totals().permits);
        let minimum = service.min_instances(now);
        let Some(function) = &mut service.function else { return };
        // A queue expected to drain within a fraction of the latency target needs no further instance.
        let tolerated_wait = (function.target / 4).min(function.spec.startup_time / 2);
        let queued = if live == 0 || wait > tolerated_wait { function.queue.len() } else { 0 };
        let need = function.demand.needed(now, &function.spec, queued).max(minimum);
        let load = function.demand.rate(now) / self.limits.requests_per_s.max(1.0);
        let idle = function
            .demand
            .last_arrival
            .is_none_or(|arrival| arrival + 3 * idle_retention(&function.spec) < now);
        let report_due = match function.last_reported {
            None => need > 0 || live > 0,
            Some((reported_at, count)) => {
                count != need
                    || (load - function.reported_load).abs() > LOAD_REPORT_STEP
                    || function
                        .min_instances
                        .as_ref()
                        .is_some_and(|minimum| minimum.report_due(now, reported_at))
                    || (now >= reported_at + REPORT_INTERVAL && !(idle && need == 0 && live == 0))
            }
        };
        if report_due {
            (function.last_reported, function.reported_load) = (Some((now, need)), load);
            let queue_len = function.queue.len();
            let (service, zones) = (service.name.clone(), function.zones_by_demand());
            self.reasons.push(|| {
                let service = service.clone();
                Reason::InstanceTarget { service, need, live, held, queued: queue_len, wait }
            });
            let status = self.functions[index].status(now);
            let slow_workers =
                self.latency_model.as_ref().map(|model| model.slow_workers(&service)).unwrap_or_default();
            self.effects.push(Effect::SetInstanceTarget {
                service,
                count: need,
                zones,
                load,
                status,
                slow_workers,
            });
            if need > 0 {
                self.activate(index);
            }
        }
    }

    /// Drains surplus instances: no new requests are sent to one, and it is retired once it has no
    /// outstanding permits.
    pub(super) fn retire_surplus(&mut self, now: Nanos, index: usize) {
        let service = &mut self.functions[index];
        let last_report = service.function.as_ref().filter(|_| service.owned).and_then(|f| f.last_reported);
        let Some((_, need)) = last_report else { return };
        let live = service.live_instances();
        if let Some(surplus) = service.surplus_instance(now, need as usize) {
            service.update_instance(&surplus, |state| state.draining = true);
            self.reasons.push(|| Reason::SurplusInstance { instance: surplus, need, live });
        }
        if service.totals().draining == 0 {
            return;
        }
        let effects = &mut self.effects;
        service.update_all(|instances| {
            for state in instances.iter_mut().filter(|p| p.draining && !p.retired && p.permits.is_empty()) {
                (state.retired, state.reported_at) = (true, now);
                effects.push(Effect::Retire(state.info.id.clone()));
            }
        });
    }

    /// Repeats reports that the controller has not received or not acted on.
    pub(super) fn resend_reports(&mut self, now: Nanos, index: usize) {
        let service = &mut self.functions[index];
        if service.totals().retired == 0 {
            return;
        }
        let effects = &mut self.effects;
        service.update_all(|instances| {
            for state in
                instances.iter_mut().filter(|p| p.retired && p.reported_at + RETIRE_REPORT_INTERVAL <= now)
            {
                state.reported_at = now;
                let id = state.info.id.clone();
                effects.push(if state.lost { Effect::ReportLost(id) } else { Effect::Retire(id) });
            }
        });
    }
}
