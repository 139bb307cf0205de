//! What the holder notes of a move that is out, between its steps: since when it stands as it does, how its target does, and what pace that
//! allows. Soft: a new holder begins anew, so that a change of holder makes a move longer, never shorter.

use millpost::retry_probability;
use millpost_scheduler::first_retry_delay;

use crate::observation::Observation;
use crate::record::{Direction, Move, State};
use crate::shift::has_loads_on_target;
use crate::{MS, Nanos};

/// How often a move earns its target's probability; at 1 its next load goes.
const BEAT: Nanos = 250 * MS;

/// A move that is paused for so long has nothing kept warm any more.
const RESTS: Nanos = 60_000 * MS;

/// One move, watched.
#[derive(Debug)]
pub(crate) struct Watch {
    state: State,
    /// Since when its put stands.
    pub stood: Option<Nanos>,
    /// Since when all in touch act on what stands.
    pub all: Option<Nanos>,
    /// Since when its target takes nothing more.
    pub beyond: Option<Nanos>,
    /// Since when its target refuses too much.
    pub refusing: Option<Nanos>,
    /// Since when it is paused.
    paused: Option<Nanos>,
    /// Since when it is in that state and not paused, as far as this holder knows.
    pub going: Nanos,
    credit: f64,
    beat: Nanos,
}

impl Watch {
    pub fn new(now: Nanos, of: &Move) -> Self {
        Watch {
            state: of.state.clone(),
            stood: None,
            all: None,
            beyond: None,
            refusing: None,
            paused: None,
            going: now,
            credit: 0.0,
            beat: now,
        }
    }

    /// The next load may go.
    pub fn earned(&self) -> bool {
        self.credit >= 1.0
    }

    /// It stands still for so long that its functions are on their own.
    pub fn rests(&self, now: Nanos) -> bool {
        self.paused.is_some_and(|since| now >= since + RESTS)
    }

    /// Looks at the move as it is in the record now.
    pub fn look(&mut self, now: Nanos, of: &Move, observation: &Observation) {
        if self.state != of.state {
            *self = Watch { beyond: self.beyond, refusing: self.refusing, ..Watch::new(now, of) };
        }
        let health = target(now, of, observation);
        let keep = |since: &mut Option<Nanos>, holds: bool| {
            *since = if holds { since.or(Some(now)) } else { None };
        };
        keep(&mut self.paused, of.paused);
        if of.paused {
            self.going = now;
        }
        keep(&mut self.beyond, health.is_some_and(|health| health.probability <= 0.0));
        keep(&mut self.refusing, health.is_some_and(|health| health.refused_ratio > of.bounds.most_refused));
        let Some(config) = observation.active_config().map(|stands| &stands.config) else { return };
        let stands = match of.state {
            State::Switching(_, put) => {
                config.revision > put.base && has_loads_on_target(config, &of.route_moves, put.loads)
            }
            State::Settling(Direction::ToTarget, _) => has_loads_on_target(config, &of.route_moves, of.loads),
            State::Settling(Direction::ToSource, _) => has_loads_on_target(config, &of.route_moves, 0),
            _ => false,
        };
        keep(&mut self.stood, stands);
        keep(&mut self.all, stands && observation.all_act(now, config.revision).is_ok());
        let probability = health.map_or(0.0, |health| health.probability);
        if self.all.is_none() || of.paused || probability <= 0.0 {
            // What was earned is for the moment, not for later.
            (self.beat, self.credit) = (now, 0.0);
        } else if now >= self.beat + BEAT {
            // One beat at a time: a holder that was frozen has earned nothing meanwhile.
            (self.beat, self.credit) = (now, self.credit + probability);
        }
    }
}

/// How the targets of a move do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    /// The design's probability for the averaged delay; of several targets the least.
    pub probability: f64,
    /// The largest part that one refuses.
    pub refused_ratio: f64,
}

/// None where nothing was heard of one of them lately.
pub(crate) fn target(now: Nanos, of: &Move, observation: &Observation) -> Option<TargetHealth> {
    let config = &observation.active_config()?.config;
    let aim = |route_move: &crate::RouteMove| {
        let route = config
            .routes
            .iter()
            .find(|r| r.host == route_move.host && r.path_prefix == route_move.path_prefix);
        route.map(|route| route.target_latency_ms)
    };
    let aim = of.route_moves.iter().filter_map(aim).min().unwrap_or(1_000);
    let t1 = first_retry_delay(aim.saturating_mul(MS));
    let mut health = TargetHealth { probability: 1.0, refused_ratio: 0.0 };
    for (name, _) in &of.target_instances {
        let function = observation.function(now, name)?;
        health.probability = health.probability.min(retry_probability(function.delay.max(0.0), t1));
        health.refused_ratio = health.refused_ratio.max(function.refused_ratio);
    }
    Some(health)
}
