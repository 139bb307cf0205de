//! What a function needs, as control is told: how many instances, and which of them are let go.

use super::{RETIRE_AGAIN, SAY_AGAIN, STRAIN_STEP, Scheduler};
use crate::Nanos;
use crate::demand::keep;
use crate::effect::Effect;
use crate::reason::Reason;

impl Scheduler {
    /// Says how many instances the function needs, where that has changed or was said long ago.
    pub(super) fn want(&mut self, now: Nanos, at: usize) {
        let service = &mut self.services[at];
        if !service.owned {
            return;
        }
        let (wait, live, held) = (service.wait(now), service.live(), service.stock().held);
        let floor = service.floor(now);
        let Some(function) = &mut service.function else { return };
        // A queue that moves within a part of its aim needs nothing new.
        let patience = (function.target / 4).min(function.spec.startup_time / 2);
        let queued = if live == 0 || wait > patience { function.queue.len() } else { 0 };
        let need = function.demand.needed(now, &function.spec, queued).max(floor);
        let strain = function.demand.rate(now) / self.terms.requests_per_s.max(1.0);
        let idle = function.demand.asked.is_none_or(|at| at + 3 * keep(&function.spec) < now);
        let say = match function.said {
            None => need > 0 || live > 0,
            Some((at, count)) => {
                count != need
                    || (strain - function.strain).abs() > STRAIN_STEP
                    || function.floor.as_ref().is_some_and(|floor| floor.tells(now, at))
                    || (now >= at + SAY_AGAIN && !(idle && need == 0 && live == 0))
            }
        };
        if say {
            (function.said, function.strain) = (Some((now, need)), strain);
            let waits = function.queue.len();
            let (service, zones) = (service.name.clone(), function.zones());
            self.reasons.put(|| {
                let service = service.clone();
                Reason::InstanceTarget { service, need, live, held, queued: waits, wait }
            });
            let does = self.services[at].does(now);
            let slow = self.speeds.as_ref().map(|speeds| speeds.slow_workers(&service)).unwrap_or_default();
            self.effects.push(Effect::SetInstanceTarget { service, count: need, zones, strain, does, slow });
            if need > 0 {
                self.rouse(at);
            }
        }
    }

    /// Lets instances go that are not needed: nothing more goes to one, and it is stopped once nothing is out.
    pub(super) fn retire(&mut self, now: Nanos, at: usize) {
        let service = &mut self.services[at];
        let said = service.function.as_ref().filter(|_| service.owned).and_then(|f| f.said);
        let Some((_, need)) = said else { return };
        let live = service.live();
        if let Some(old) = service.spare(now, need as usize) {
            service.change_one(&old, |place| place.leaving = true);
            self.reasons.put(|| Reason::SurplusInstance { instance: old, need, live });
        }
        if service.stock().leaving == 0 {
            return;
        }
        let effects = &mut self.effects;
        service.change(|places| {
            for place in places.iter_mut().filter(|p| p.leaving && !p.retired && p.out.is_empty()) {
                (place.retired, place.told) = (true, now);
                effects.push(Effect::Retire(place.of.id.clone()));
            }
        });
    }

    /// What control has not heard, or has not acted on.
    pub(super) fn tell_again(&mut self, now: Nanos, at: usize) {
        let service = &mut self.services[at];
        if service.stock().retired == 0 {
            return;
        }
        let effects = &mut self.effects;
        service.change(|places| {
            for place in places.iter_mut().filter(|p| p.retired && p.told + RETIRE_AGAIN <= now) {
                place.told = now;
                let id = place.of.id.clone();
                effects.push(if place.lost { Effect::ReportLost(id) } else { Effect::Retire(id) });
            }
        });
    }
}
