//! Decides the next step of a move from the record and the observations, either automatically or on an
//! operator's order. The result is the next record; nothing else is changed.
//!
//! Invariants: a put that may still be applied is only followed by another put over the same base; a revision
//! is used at most once; a move that advances by itself always keeps one revision for its rollback.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::check::{Estimate, Reason, check, check_revisions, recheck};
use crate::contract::Order;
use crate::guards::{Guard, is_disabled};
use crate::migrator::Settings;
use crate::observation::Observation;
use crate::record::{Direction, Move, Put, Record, State};
use crate::shift::has_loads_on_target;
use crate::watch::Watch;
use crate::{MS, Moment, Nanos};

/// How long a request may continue at its endpoint after its deadline.
const DEADLINE_GRACE: Nanos = 500 * MS;

/// The input of a decision besides the record.
pub(crate) struct StepContext<'a> {
    pub at: Moment,
    pub fence: u64,
    pub settings: &'a Settings,
    pub observation: &'a Observation,
    pub watches: &'a BTreeMap<CompactString, Watch>,
    /// When the order arrived, or 0. Functions have to be reported after this, since earlier reports may not
    /// cover the functions that the order names.
    pub since: Nanos,
}

impl StepContext<'_> {
    /// Whether the observations suffice to check the capacity of a target.
    fn is_complete(&self) -> bool {
        self.observation.has_heard_all(self.at.now)
            && self.observation.active_config().is_some()
            && self.observation.functions_reported_since(self.since)
    }
}

/// The outcome of an order.
#[derive(Debug)]
pub(crate) enum OrderOutcome {
    /// The order takes effect once this record has been written.
    Change(Record),
    /// The record already includes the order.
    Already,
    /// The order is rejected.
    Refused(Vec<Reason>),
    /// The observations do not suffice yet.
    Later,
}

/// A step of one move: the next state, the reason, and the revision that it uses.
struct Step {
    state: State,
    reason: String,
    revision: Option<u64>,
}

fn step(state: State, reason: impl Into<String>) -> Option<Step> {
    Some(Step { state, reason: reason.into(), revision: None })
}

impl Move {
    /// The move's next reserved revision above `above`, if `spare` more are left after it.
    fn next_revision(&self, above: u64, spare: u64) -> Option<u64> {
        let revision = self.revisions.0.max(above + 1);
        (revision + spare <= self.revisions.1).then_some(revision)
    }

    fn mark_used(&mut self, revision: u64) {
        if !is_disabled(Guard::UniqueRevision) {
            self.revisions.0 = revision + 1;
        }
    }

    /// A step that writes a configuration with `loads` loads on the target, of which `previous_loads` may be
    /// there now.
    fn put(
        &self,
        direction: Direction,
        loads: u32,
        previous_loads: u32,
        base: u64,
        reason: impl Into<String>,
    ) -> Option<Step> {
        let revision = self.next_revision(base, u64::from(direction == Direction::ToTarget))?;
        let state = State::Switching(direction, Put { revision, base, loads, previous_loads });
        Some(Step { state, reason: reason.into(), revision: Some(revision) })
    }
}

/// Applies a step to a copy of the record.
fn with_step(record: &Record, name: &str, context: &StepContext<'_>, step: Step) -> Record {
    let mut next = record.clone();
    if let Some(mv) = next.find_mut(name) {
        if let Some(revision) = step.revision {
            mv.mark_used(revision);
        }
        mv.enter(step.state, context.at.unix_ms, context.fence, step.reason);
    }
    next.prune_ended();
    next
}

/// The record after the next automatic step of any move; `None` if there is none.
pub(crate) fn advance(record: &Record, context: &StepContext<'_>) -> Option<Record> {
    for mv in record.moves.iter().filter(|mv| mv.state.is_active()) {
        if let Some(step) = proceed(mv, context) {
            return Some(with_step(record, &mv.name, context, step));
        }
    }
    if record.moves.iter().any(|mv| mv.state.is_active()) && !is_disabled(Guard::OneActiveMove) {
        return None;
    }
    let next = record.moves.iter().find(|mv| mv.state == State::Planned { started: true })?;
    if !context.is_complete() {
        return None;
    }
    let estimate = recheck(next, context.observation, context.settings, context.at.now);
    let Estimate { target_instances, source_instances, max_deadline_ms, reasons, .. } = estimate;
    if !reasons.is_empty() {
        return Some(with_step(
            record,
            &next.name,
            context,
            step(State::Planned { started: false }, join_reasons(&reasons))?,
        ));
    }
    let mut opened = with_step(
        record,
        &next.name,
        context,
        step(State::Opened, "no other move is active, and the target has the capacity")?,
    );
    let mv = opened.find_mut(&next.name)?;
    (mv.target_instances, mv.source_instances, mv.max_deadline_ms) =
        (target_instances, source_instances, max_deadline_ms.max(mv.max_deadline_ms));
    Some(opened)
}

fn join_reasons(reasons: &[Reason]) -> String {
    reasons.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The next automatic step of an active move.
fn proceed(mv: &Move, context: &StepContext<'_>) -> Option<Step> {
    let now = context.at.now;
    let config = &context.observation.active_config()?.config;
    let watch = context.watches.get(&mv.name)?;
    let has_loads =
        |loads| is_disabled(Guard::Superseded) || has_loads_on_target(config, &mv.route_moves, loads);
    let superseded = || {
        step(
            State::Superseded,
            format!("configuration {} assigns its routes to other services", config.revision),
        )
    };
    let is_settled =
        |since: Nanos| now >= since + mv.max_deadline_ms * MS + DEADLINE_GRACE || is_disabled(Guard::Settle);
    match mv.state {
        State::Opened if !has_loads(0) => superseded(),
        State::Opened => {
            if let Some(reason) = too_old(mv, context) {
                return step(State::RolledBack, reason);
            }
            let ready = |(name, need): &(CompactString, u32)| {
                context.observation.function(now, name).is_some_and(|function| function.ready >= *need)
            };
            if mv.paused {
                return None;
            }
            let warm = !context.settings.prewarms || mv.target_instances.iter().all(ready);
            let reason = if context.settings.prewarms { "the target is warm" } else { "warming is disabled" };
            let first = mv.put(Direction::ToTarget, 1, 0, config.revision, reason).filter(|_| warm);
            if first.is_some()
                || now < watch.running_since + mv.bounds.warm_ms * MS
                || is_disabled(Guard::Bounds)
            {
                return first;
            }
            let what = if warm { "no revision was left" } else { "the target did not become warm" };
            step(State::RolledBack, format!("{what} within {} ms", mv.bounds.warm_ms))
        }
        State::Switching(Direction::ToTarget, put) => {
            let decided = config.revision > put.base;
            if config.revision < put.base {
                return None;
            }
            if decided && !has_loads(put.loads) && !has_loads(put.loads - 1) {
                return superseded();
            }
            if let Some(reason) = exceeded_bound(mv, watch, context) {
                return roll_back(mv, put.loads, context, reason);
            }
            if !decided {
                None
            } else if !has_loads(put.loads) {
                let reason = format!(
                    "configuration {} can no longer be applied: {} is active",
                    put.revision, config.revision
                );
                if mv.paused {
                    None
                } else {
                    mv.put(Direction::ToTarget, put.loads, put.previous_loads, config.revision, reason)
                }
            } else if put.loads == mv.loads {
                step(State::Settling(Direction::ToTarget, config.revision), "all loads are on the target")
            } else if mv.paused
                || context.observation.all_apply(now, config.revision).is_err()
                || !watch.has_credit() && !is_disabled(Guard::Pace)
            {
                None
            } else {
                let reason = format!("all proxies apply load {}, and the target has capacity", put.loads);
                mv.put(Direction::ToTarget, put.loads + 1, put.loads, config.revision, reason)
            }
        }
        State::Settling(Direction::ToTarget, _) if !has_loads(mv.loads) => superseded(),
        State::Settling(Direction::ToTarget, _) => match exceeded_bound(mv, watch, context) {
            Some(reason) => roll_back(mv, mv.loads, context, reason),
            None if watch.all_apply_since.is_some_and(is_settled) => {
                step(State::Done, "all proxies apply it, and requests on the other side have had time to end")
            }
            None => None,
        },
        State::Switching(Direction::ToSource, put) => {
            if config.revision <= put.base {
                None
            } else if has_loads(0) {
                step(
                    State::Settling(Direction::ToSource, config.revision),
                    "all loads are back on the source",
                )
            } else if has_loads(put.previous_loads)
                || put.previous_loads > 0 && has_loads(put.previous_loads - 1)
            {
                let reason = format!(
                    "configuration {} can no longer be applied: {} is active",
                    put.revision, config.revision
                );
                mv.put(Direction::ToSource, 0, put.previous_loads, config.revision, reason)
            } else {
                superseded()
            }
        }
        State::Settling(Direction::ToSource, _) if !has_loads(0) => superseded(),
        State::Settling(Direction::ToSource, _) if watch.all_apply_since.is_some_and(is_settled) => step(
            State::RolledBack,
            "all proxies apply it, and requests on the other side have had time to end",
        ),
        State::Settling(Direction::ToSource, _) | State::Planned { .. } => None,
        State::Done | State::RolledBack | State::Superseded => None,
    }
}

/// Starts the rollback over the active configuration, whether or not a put over the same base is still in
/// progress.
fn roll_back(mv: &Move, loads: u32, context: &StepContext<'_>, reason: String) -> Option<Step> {
    let revision = context.observation.revision();
    if let State::Switching(_, put) = mv.state
        && is_disabled(Guard::PutDecided)
        && put.base == revision
        && loads == 1
    {
        return step(State::RolledBack, reason);
    }
    mv.put(Direction::ToSource, 0, loads, revision, reason)
}

fn too_old(mv: &Move, context: &StepContext<'_>) -> Option<String> {
    let age = context.at.unix_ms.saturating_sub(mv.opened_at()?);
    let over = !mv.paused && age > mv.bounds.most_age_ms && !is_disabled(Guard::Bounds);
    over.then(|| format!("it has been active for {age} ms; the limit is {} ms", mv.bounds.most_age_ms))
}

/// The first bound that a move towards the target exceeds.
fn exceeded_bound(mv: &Move, watch: &Watch, context: &StepContext<'_>) -> Option<String> {
    if is_disabled(Guard::Bounds) {
        return None;
    }
    let (now, bounds) = (context.at.now, &mv.bounds);
    let longer_than = |since: Option<Nanos>, ms: u64| since.is_some_and(|since| now >= since + ms * MS);
    if longer_than(watch.past_threshold_since, bounds.patience_ms) {
        return Some(format!("the target's delay is past T1 for more than {} ms", bounds.patience_ms));
    }
    if longer_than(watch.refusing_since, bounds.patience_ms) {
        return Some(format!("the target refuses too much for {} ms", bounds.patience_ms));
    }
    if longer_than(watch.active_since, bounds.ack_ms)
        && watch.all_apply_since.is_none()
        && let Err(waits) = context.observation.all_apply(now, context.observation.revision())
    {
        return Some(format!("after {} ms: {waits}", bounds.ack_ms));
    }
    too_old(mv, context)
}

/// Applies an order. Automatic steps come first, so this is only called when there is none.
pub(crate) fn apply_order(
    record: &Record,
    version: u64,
    order: &Order,
    context: &StepContext<'_>,
) -> OrderOutcome {
    let Order::Plan(contract) = order else { return apply_to_known_move(record, order, context) };
    if record.find(&contract.name).is_some_and(|existing| existing.contract_hash == contract.content_hash()) {
        return OrderOutcome::Already;
    }
    if !context.is_complete() {
        return OrderOutcome::Later;
    }
    let estimate = check(contract, record, context.observation, context.settings, context.at.now);
    if !estimate.reasons.is_empty() {
        return OrderOutcome::Refused(estimate.reasons);
    }
    let state = State::Planned { started: false };
    let mut mv = Move {
        name: contract.name.clone(),
        epoch: version + 1,
        contract_hash: contract.content_hash(),
        route_moves: estimate.route_moves,
        loads: contract.loads,
        services: estimate.services,
        max_deadline_ms: estimate.max_deadline_ms,
        bounds: contract.bounds.clone(),
        target_instances: estimate.target_instances,
        source_instances: estimate.source_instances,
        revisions: (1, 0),
        paused: false,
        state: state.clone(),
        history: Vec::new(),
    };
    mv.enter(state, context.at.unix_ms, context.fence, "an operator's order");
    let mut next = record.clone();
    next.moves.push(mv);
    OrderOutcome::Change(next)
}

fn apply_to_known_move(record: &Record, order: &Order, context: &StepContext<'_>) -> OrderOutcome {
    let Some(mv) = record.find(order.name()) else { return OrderOutcome::Refused(vec![Reason::UnknownMove]) };
    let refuse = |reason| OrderOutcome::Refused(vec![reason]);
    if mv.state.is_ended() && !(matches!(order, Order::Rollback(..)) && mv.state == State::RolledBack) {
        return refuse(Reason::AlreadyEnded { step: mv.state.name() });
    }
    // The move with the revisions that came with the order; used revisions stay used.
    let mut updated = mv.clone();
    let given = match order {
        Order::Start(_, given) | Order::Rollback(_, given) => *given,
        Order::Plan(_) | Order::Pause(_) => None,
    };
    if let Some((first, last)) = given
        && (last != mv.revisions.1 || first > mv.revisions.0)
    {
        updated.revisions = (first.max(mv.revisions.0), last);
    }
    let change = |updated: Move, step: Option<Step>| {
        let mut next = record.clone();
        let Some(existing) = next.find_mut(&updated.name) else { return OrderOutcome::Later };
        *existing = updated;
        let name = existing.name.clone();
        match step {
            Some(step) => OrderOutcome::Change(with_step(&next, &name, context, step)),
            None if next == *record => OrderOutcome::Already,
            None => OrderOutcome::Change(next),
        }
    };
    let missing_revisions = |updated: &Move, needed| {
        let above = context.observation.revision();
        let mut estimate = Estimate { revisions_needed: needed, ..Estimate::default() };
        check_revisions(&mut estimate, updated.revisions, above);
        (!estimate.reasons.is_empty()).then_some(estimate.reasons)
    };
    let ordered_step = |state| step(state, "an operator's order");
    match (order, &mv.state) {
        (Order::Plan(_), _) => OrderOutcome::Later,
        (Order::Start(..), State::Planned { started }) => {
            if !context.is_complete() {
                return OrderOutcome::Later;
            }
            let estimate = recheck(&updated, context.observation, context.settings, context.at.now);
            if !estimate.reasons.is_empty() {
                return OrderOutcome::Refused(estimate.reasons);
            }
            let step = if *started { None } else { ordered_step(State::Planned { started: true }) };
            change(updated, step)
        }
        (
            Order::Start(..),
            State::Switching(Direction::ToSource, _) | State::Settling(Direction::ToSource, _),
        ) if given.is_none() => refuse(Reason::RollingBack),
        (Order::Start(..), _) => {
            let needed = if given.is_some() { 2 } else { 0 };
            if let Some(reasons) = missing_revisions(&updated, needed) {
                return OrderOutcome::Refused(reasons);
            }
            updated.paused = false;
            change(updated, None)
        }
        (Order::Pause(_), State::Planned { started: true }) => {
            change(updated, ordered_step(State::Planned { started: false }))
        }
        (Order::Pause(_), State::Planned { .. }) => OrderOutcome::Already,
        (Order::Pause(_), State::Opened | State::Switching(Direction::ToTarget, _)) => {
            updated.paused = true;
            change(updated, None)
        }
        (Order::Pause(_), _) => refuse(Reason::NothingToPause),
        (Order::Rollback(..), State::Planned { .. } | State::Opened) => {
            change(updated, ordered_step(State::RolledBack))
        }
        (
            Order::Rollback(..),
            State::Switching(Direction::ToTarget, _) | State::Settling(Direction::ToTarget, _),
        ) => {
            let (over, loads) = match mv.state {
                State::Switching(_, put) => (put.base, put.loads),
                _ => (0, mv.loads),
            };
            if context.observation.revision() < over || context.observation.active_config().is_none() {
                return OrderOutcome::Later;
            }
            match roll_back(&updated, loads, context, "an operator's order".to_owned()) {
                Some(step) => change(updated, Some(step)),
                None => OrderOutcome::Refused(missing_revisions(&updated, 1).unwrap_or_default()),
            }
        }
        (Order::Rollback(..), State::Switching(..) | State::Settling(..)) => change(updated, None),
        (Order::Rollback(..), State::Done | State::RolledBack | State::Superseded) => OrderOutcome::Already,
    }
}
