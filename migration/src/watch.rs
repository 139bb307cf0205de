//! Soft state about an active move between its steps: how long conditions have lasted, the health of the
//! target, and the pace that this allows. A new leader starts from scratch, so a change of leader makes a
//! move longer, never shorter.

use millpost::retry_probability;
use millpost_scheduler::first_retry_delay;

use crate::observation::Observation;
use crate::record::{Direction, Move, State};
use crate::shift::has_loads_on_target;
use crate::{MS, Nanos};

/// How often the target's admission probability is added to a move's credit; the next load is switched at a
/// credit of 1.
const CREDIT_INTERVAL: Nanos = 250 * MS;

/// A move that has been paused for this long no longer keeps instances warm.
const IDLE_AFTER_PAUSE: Nanos = 60_000 * MS;

/// Timers and pacing of one move.
#[derive(Debug)]
pub(crate) struct Watch {
    state: State,
    /// Since when its configuration has been active.
    pub active_since: Option<Nanos>,
    /// Since when all connected proxies have applied the active configuration.
    pub all_apply_since: Option<Nanos>,
    /// Since when the target's latency has been past the threshold.
    pub past_threshold_since: Option<Nanos>,
    /// Since when the target has refused too many requests.
    pub refusing_since: Option<Nanos>,
    /// Since when the move has been paused.
    paused_since: Option<Nanos>,
    /// Since when the move has been in its state and not paused, as far as this leader knows.
    pub running_since: Nanos,
    credit: f64,
    credit_at: Nanos,
}

impl Watch {
    pub fn new(now: Nanos, mv: &Move) -> Self {
        Watch {
            state: mv.state.clone(),
            active_since: None,
            all_apply_since: None,
            past_threshold_since: None,
            refusing_since: None,
            paused_since: None,
            running_since: now,
            credit: 0.0,
            credit_at: now,
        }
    }

    /// Whether there is enough credit for the next load.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Whether the move has been paused for so long that its instances are no longer kept warm.
    pub fn is_idle(&self, now: Nanos) -> bool {
        self.paused_since.is_some_and(|since| now >= since + IDLE_AFTER_PAUSE)
    }

    /// Updates the timers and the credit from the move's record and the observations.
    pub fn update(&mut self, now: Nanos, mv: &Move, observation: &Observation) {
        if self.state != mv.state {
            *self = Watch {
                past_threshold_since: self.past_threshold_since,
                refusing_since: self.refusing_since,
                ..Watch::new(now, mv)
            };
        }
        let health = target_health(now, mv, observation);
        let track = |since: &mut Option<Nanos>, holds: bool| {
            *since = if holds { since.or(Some(now)) } else { None };
        };
        track(&mut self.paused_since, mv.paused);
        if mv.paused {
            self.running_since = now;
        }
        track(&mut self.past_threshold_since, health.is_some_and(|health| health.probability <= 0.0));
        track(
            &mut self.refusing_since,
            health.is_some_and(|health| health.refused_ratio > mv.bounds.most_refused),
        );
        let Some(config) = observation.active_config().map(|active| &active.config) else { return };
        let is_active = match mv.state {
            State::Switching(_, put) => {
                config.revision > put.base && has_loads_on_target(config, &mv.route_moves, put.loads)
            }
            State::Settling(Direction::ToTarget, _) => has_loads_on_target(config, &mv.route_moves, mv.loads),
            State::Settling(Direction::ToSource, _) => has_loads_on_target(config, &mv.route_moves, 0),
            _ => false,
        };
        track(&mut self.active_since, is_active);
        track(&mut self.all_apply_since, is_active && observation.all_apply(now, config.revision).is_ok());
        let probability = health.map_or(0.0, |health| health.probability);
        if self.all_apply_since.is_none() || mv.paused || probability <= 0.0 {
            // Credit is not kept for later.
            (self.credit_at, self.credit) = (now, 0.0);
        } else if now >= self.credit_at + CREDIT_INTERVAL {
            // One interval at a time: a leader that was suspended earns nothing for that time.
            (self.credit_at, self.credit) = (now, self.credit + probability);
        }
    }
}

/// The health of the targets of a move.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    /// Admission probability for the average delay; the lowest over all targets.
    pub probability: f64,
    /// Fraction of requests that are refused; the highest over all targets.
    pub refused_ratio: f64,
}

/// The combined health of a move's targets; `None` if one of them has not been reported recently.
pub(crate) fn target_health(now: Nanos, mv: &Move, observation: &Observation) -> Option<TargetHealth> {
    let config = &observation.active_config()?.config;
    let target_latency = |route_move: &crate::RouteMove| {
        let route = config
            .routes
            .iter()
            .find(|r| r.host == route_move.host && r.path_prefix == route_move.path_prefix);
        route.map(|route| route.target_latency_ms)
    };
    let target_latency_ms = mv.route_moves.iter().filter_map(target_latency).min().unwrap_or(1_000);
    let t1 = first_retry_delay(target_latency_ms.saturating_mul(MS));
    let mut health = TargetHealth { probability: 1.0, refused_ratio: 0.0 };
    for (name, _) in &mv.target_instances {
        let function = observation.function(now, name)?;
        health.probability = health.probability.min(retry_probability(function.delay.max(0.0), t1));
        health.refused_ratio = health.refused_ratio.max(function.refused_ratio);
    }
    Some(health)
}
