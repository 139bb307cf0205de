//! The status of moves for operators: state, age, loads on the target, what a move waits for, and whether
//! that needs an operator. Read-only.

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
    /// The status of all moves, or of the named one with its routes and steps. `None` if this machine does
    /// not hold the lease or has not read the record yet.
    #[must_use]
    pub fn status(&self, at: Moment, name: Option<&str>) -> Option<JsonValue> {
        let (durable, (observation, watches)) = (self.durable_record()?, self.observations()?);
        let selected = |mv: &&Move| name.is_none_or(|name| mv.name == name);
        let moves = durable.record().moves.iter().filter(selected).map(|mv| {
            let waits = wait_reason(mv, watches.get(&mv.name), observation, self.prewarms(), at.now);
            move_status(mv, waits, at, name.is_some())
        });
        Some(object([("version", number(durable.version())), ("moves", list(moves))]))
    }
}

fn move_status(mv: &Move, waits: Option<WaitReason>, at: Moment, detailed: bool) -> JsonValue {
    let on_target = match mv.state {
        State::Switching(_, put) => {
            Some((put.loads.min(put.previous_loads), put.loads.max(put.previous_loads)))
        }
        State::Settling(Direction::ToTarget, _) | State::Done => Some((mv.loads, mv.loads)),
        State::Superseded => None,
        _ => Some((0, 0)),
    };
    let loads =
        on_target.map_or(JsonValue::Null, |(least, most)| list([number(least.into()), number(most.into())]));
    let last = mv.history.last();
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
    let instances = |(service, count): &(compact_str::CompactString, u32)| {
        object([("service", string(service)), ("instances", number((*count).into()))])
    };
    let details = |all: Vec<JsonValue>| if detailed { JsonValue::Array(all) } else { JsonValue::Null };
    let left = (mv.revisions.1 + 1).saturating_sub(mv.revisions.0);
    object([
        ("name", string(&mv.name)),
        ("epoch", number(mv.epoch)),
        ("step", string(mv.state.name())),
        ("paused", JsonValue::Boolean(mv.paused)),
        ("why", last.map_or(JsonValue::Null, |entry| string(&entry.reason))),
        ("since_ms", last.map_or(JsonValue::Null, |last| number(at.unix_ms.saturating_sub(last.unix_ms)))),
        ("age_ms", number(at.unix_ms.saturating_sub(mv.planned_at()))),
        ("loads", number(mv.loads.into())),
        ("loads_on_target", loads),
        ("revisions_left", number(left)),
        ("revisions_needed", number(revisions_needed(mv.loads))),
        ("waits", waits.as_ref().map_or(JsonValue::Null, |waits| string(&waits.text))),
        ("for_operator", JsonValue::Boolean(waits.is_some_and(|waits| waits.for_operator))),
        ("needs", details(mv.target_instances.iter().map(instances).collect())),
        ("routes", details(mv.route_moves.iter().map(route_move).collect())),
        ("steps", details(mv.history.iter().map(entry).collect())),
    ])
}

/// What a move waits for.
struct WaitReason {
    text: String,
    /// Whether an operator has to act before the move continues.
    for_operator: bool,
}

fn automatic(text: impl ToString) -> Option<WaitReason> {
    Some(WaitReason { text: text.to_string(), for_operator: false })
}

/// What a move waits for; `None` if it has ended or has not been started.
fn wait_reason(
    mv: &Move,
    watch: Option<&Watch>,
    observation: &Observation,
    warms: bool,
    now: Nanos,
) -> Option<WaitReason> {
    match mv.state {
        State::Planned { started: false } | State::Done | State::RolledBack | State::Superseded => {
            return None;
        }
        State::Planned { started: true } => return automatic("other moves to end"),
        _ => {}
    }
    let Some(active) = observation.active_config() else { return automatic("the active configuration") };
    let revision = active.config.revision;
    let has_revision = |spare| mv.revisions.0.max(revision + 1) + spare <= mv.revisions.1;
    let more_revisions = || {
        let text = format!("revisions above {revision}; start the move again with more");
        Some(WaitReason { text, for_operator: true })
    };
    if let State::Switching(direction, put) = mv.state {
        if revision <= put.base {
            return automatic(format!("revision {} to replace {}", put.revision, put.base));
        }
        let applied = has_loads_on_target(&active.config, &mv.route_moves, put.loads);
        let needs_revision = !applied || direction == Direction::ToTarget && put.loads < mv.loads;
        if needs_revision && !has_revision(u64::from(direction == Direction::ToTarget)) {
            return more_revisions();
        }
    }
    if let State::Settling(..) = mv.state {
        return match observation.all_apply(now, revision) {
            Err(waits) => automatic(waits),
            Ok(()) => {
                let since = watch.and_then(|watch| watch.all_apply_since).unwrap_or(now);
                let left = (mv.max_deadline_ms).saturating_sub(now.saturating_sub(since) / MS);
                automatic(format!("{left} ms more for requests on the other side to finish"))
            }
        };
    }
    if mv.paused {
        return Some(WaitReason {
            text: "an operator, who has paused the move".to_owned(),
            for_operator: true,
        });
    }
    if mv.state == State::Opened {
        let ready = |name| observation.function(now, name).map_or(0, |function| function.ready);
        let cold = mv.target_instances.iter().find(|(name, need)| ready(name) < *need);
        if let Some((name, need)) = cold.filter(|_| warms) {
            return automatic(format!("{need} instances of {name:?} ({} are ready)", ready(name)));
        }
        if !has_revision(1) {
            return more_revisions();
        }
    }
    match observation.all_apply(now, revision) {
        Err(waits) => automatic(waits),
        Ok(()) => match target_health(now, mv, observation) {
            None => automatic("a report of the target's load"),
            Some(health) => {
                automatic(format!("the target's pace (credit {:.2} per 250 ms)", health.probability))
            }
        },
    }
}
