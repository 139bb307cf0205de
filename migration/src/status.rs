//! How moves stand, for people: each with its step, its age, how much of it is where, what it waits for, and whether that is an operator.
//! Changes nothing.

use millpost_config::values::{list, number, object, string};
use tinyjson::JsonValue;

use crate::check::revisions_needed;
use crate::migrator::Migrator;
use crate::observation::Observation;
use crate::record::{Direction, Move, State, StepEntry};
use crate::shift::has_loads_on_target;
use crate::watch::{Watch, target_health};
use crate::{MS, Moment, Nanos};

impl Migrator {
    /// All moves, or the one of this name with its routes and steps; none where this machine does not hold the lease or knows nothing yet.
    #[must_use]
    pub fn status(&self, at: Moment, name: Option<&str>) -> Option<JsonValue> {
        let (standing, (observation, watches)) = (self.durable_record()?, self.seen()?);
        let named = |of: &&Move| name.is_none_or(|name| of.name == name);
        let moves = standing.record().moves.iter().filter(named).map(|of| {
            let waits = waits(of, watches.get(&of.name), observation, self.prewarms(), at.now);
            one(of, waits, at, name.is_some())
        });
        Some(object([("version", number(standing.version())), ("moves", list(moves))]))
    }
}

fn one(of: &Move, waits: Option<PendingReason>, at: Moment, whole: bool) -> JsonValue {
    let on_target = match of.state {
        State::Switching(_, put) => {
            Some((put.loads.min(put.previous_loads), put.loads.max(put.previous_loads)))
        }
        State::Settling(Direction::ToTarget, _) | State::Done => Some((of.loads, of.loads)),
        State::Superseded => None,
        _ => Some((0, 0)),
    };
    let loads =
        on_target.map_or(JsonValue::Null, |(least, most)| list([number(least.into()), number(most.into())]));
    let last = of.history.last();
    let entry = |entry: &StepEntry| {
        object([
            ("day", number(entry.unix_ms)),
            ("fence", number(entry.fence)),
            ("step", string(&entry.step)),
            ("why", string(&entry.reason)),
        ])
    };
    let route_move = |route_move: &crate::RouteMove| {
        object([
            ("host", string(&route_move.host)),
            ("path_prefix", string(&route_move.path_prefix)),
            ("load", number(route_move.load.into())),
        ])
    };
    let need = |(service, count): &(compact_str::CompactString, u32)| {
        object([("service", string(service)), ("instances", number((*count).into()))])
    };
    let parts = |all: Vec<JsonValue>| if whole { JsonValue::Array(all) } else { JsonValue::Null };
    let left = (of.revisions.1 + 1).saturating_sub(of.revisions.0);
    object([
        ("name", string(&of.name)),
        ("epoch", number(of.epoch)),
        ("step", string(of.state.name())),
        ("paused", JsonValue::Boolean(of.paused)),
        ("why", last.map_or(JsonValue::Null, |entry| string(&entry.reason))),
        ("since_ms", last.map_or(JsonValue::Null, |last| number(at.unix_ms.saturating_sub(last.unix_ms)))),
        ("age_ms", number(at.unix_ms.saturating_sub(of.planned_at()))),
        ("loads", number(of.loads.into())),
        ("loads_on_target", loads),
        ("revisions_left", number(left)),
        ("revisions_needed", number(revisions_needed(of.loads))),
        ("waits", waits.as_ref().map_or(JsonValue::Null, |waits| string(&waits.text))),
        ("for_operator", JsonValue::Boolean(waits.is_some_and(|waits| waits.for_operator))),
        ("needs", parts(of.target_instances.iter().map(need).collect())),
        ("routes", parts(of.route_moves.iter().map(route_move).collect())),
        ("steps", parts(of.history.iter().map(entry).collect())),
    ])
}

/// What a move waits for.
struct PendingReason {
    text: String,
    /// It goes on once an operator does something.
    for_operator: bool,
}

fn by_itself(text: impl ToString) -> Option<PendingReason> {
    Some(PendingReason { text: text.to_string(), for_operator: false })
}

/// None where it has ended or was not started.
fn waits(
    of: &Move,
    watch: Option<&Watch>,
    observation: &Observation,
    warms: bool,
    now: Nanos,
) -> Option<PendingReason> {
    match of.state {
        State::Planned { started: false } | State::Done | State::RolledBack | State::Superseded => {
            return None;
        }
        State::Planned { started: true } => return by_itself("its turn"),
        _ => {}
    }
    let Some(stands) = observation.active_config() else { return by_itself("the configuration that stands") };
    let revision = stands.config.revision;
    let has_number = |spare| of.revisions.0.max(revision + 1) + spare <= of.revisions.1;
    let numbers = || {
        let text = format!("revisions above {revision}; start it again with more");
        Some(PendingReason { text, for_operator: true })
    };
    if let State::Switching(way, put) = of.state {
        if revision <= put.base {
            return by_itself(format!("revision {} to stand over {}", put.revision, put.base));
        }
        let stands = has_loads_on_target(&stands.config, &of.route_moves, put.loads);
        let more = !stands || way == Direction::ToTarget && put.loads < of.loads;
        if more && !has_number(u64::from(way == Direction::ToTarget)) {
            return numbers();
        }
    }
    if let State::Settling(..) = of.state {
        return match observation.all_apply(now, revision) {
            Err(waits) => by_itself(waits),
            Ok(()) => {
                let since = watch.and_then(|watch| watch.all_apply_since).unwrap_or(now);
                let left = (of.max_deadline_ms).saturating_sub(now.saturating_sub(since) / MS);
                by_itself(format!("{left} ms more for what the other side may still have"))
            }
        };
    }
    if of.paused {
        return Some(PendingReason { text: "an operator, who has paused it".to_owned(), for_operator: true });
    }
    if of.state == State::Opened {
        let ready = |name| observation.function(now, name).map_or(0, |function| function.ready);
        let cold = of.target_instances.iter().find(|(name, need)| ready(name) < *need);
        if let Some((name, need)) = cold.filter(|_| warms) {
            return by_itself(format!("{need} instances of {name:?}; {} are ready", ready(name)));
        }
        if !has_number(1) {
            return numbers();
        }
    }
    match observation.all_apply(now, revision) {
        Err(waits) => by_itself(waits),
        Ok(()) => match target_health(now, of, observation) {
            None => by_itself("word of how the target does"),
            Some(health) => by_itself(format!("the target's pace, {:.2} each 250 ms", health.probability)),
        },
    }
}
