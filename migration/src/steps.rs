//! Which step comes next: out of the record as it stands and what is seen, by itself or because an operator wants it. Nothing is done here;
//! what comes out is the next record. Invariants: a put that may still be written is followed by a put over the same base and by nothing
//! else; a number is used once, and one is always left for the way back of a move that goes on by itself.

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

/// A request may outlast its deadline by so much at its endpoint.
const OVERTIME: Nanos = 500 * MS;

/// What a step is decided on besides the record.
pub(crate) struct StepContext<'a> {
    pub at: Moment,
    pub fence: u64,
    pub settings: &'a Settings,
    pub observation: &'a Observation,
    pub watches: &'a BTreeMap<CompactString, Watch>,
    /// When the order came that is judged: what was seen before may not have been looked at for it.
    pub since: Nanos,
}

impl StepContext<'_> {
    /// Enough is seen to judge what a target can bear.
    fn sees_all(&self) -> bool {
        self.observation.has_heard_all(self.at.now)
            && self.observation.active_config().is_some()
            && self.observation.functions_reported_since(self.since)
    }
}

/// What becomes of an order.
#[derive(Debug)]
pub(crate) enum OrderOutcome {
    /// This record is to stand first.
    Change(Record),
    /// The record has it.
    Already,
    /// It can't be.
    Refused(Vec<Reason>),
    /// Not enough is seen yet.
    Later,
}

/// A step of one move: what it becomes, why, and the number that is used.
struct Step {
    state: State,
    why: String,
    revision: Option<u64>,
}

fn step(state: State, why: impl Into<String>) -> Option<Step> {
    Some(Step { state, why: why.into(), revision: None })
}

impl Move {
    /// The next number of its own above what stands; with one more left after it where that has to be.
    fn next_revision(&self, above: u64, spare: u64) -> Option<u64> {
        let revision = self.revisions.0.max(above + 1);
        (revision + spare <= self.revisions.1).then_some(revision)
    }

    fn mark_used(&mut self, revision: u64) {
        if !is_disabled(Guard::UniqueRevision) {
            self.revisions.0 = revision + 1;
        }
    }

    /// So many loads are to be on the target next; `of`: so many may be there now.
    fn put(
        &self,
        way: Direction,
        loads: u32,
        previous_loads: u32,
        base: u64,
        why: impl Into<String>,
    ) -> Option<Step> {
        let revision = self.next_revision(base, u64::from(way == Direction::ToTarget))?;
        let state = State::Switching(way, Put { revision, base, loads, previous_loads });
        Some(Step { state, why: why.into(), revision: Some(revision) })
    }
}

/// Takes a step in a copy of the record.
fn taken(record: &Record, name: &str, context: &StepContext<'_>, step: Step) -> Record {
    let mut next = record.clone();
    if let Some(of) = next.find_mut(name) {
        if let Some(revision) = step.revision {
            of.mark_used(revision);
        }
        of.enter(step.state, context.at.unix_ms, context.fence, step.why);
    }
    next.prune_ended();
    next
}

/// The next step that a move takes by itself.
pub(crate) fn advance(record: &Record, context: &StepContext<'_>) -> Option<Record> {
    for of in record.moves.iter().filter(|of| of.state.is_active()) {
        if let Some(step) = proceed(of, context) {
            return Some(taken(record, &of.name, context, step));
        }
    }
    if record.moves.iter().any(|of| of.state.is_active()) && !is_disabled(Guard::OneActiveMove) {
        return None;
    }
    let next = record.moves.iter().find(|of| of.state == State::Planned { started: true })?;
    if !context.sees_all() {
        return None;
    }
    let found = recheck(next, context.observation, context.settings, context.at.now);
    let Estimate { target_instances, source_instances, max_deadline_ms, reasons, .. } = found;
    if !reasons.is_empty() {
        return Some(taken(
            record,
            &next.name,
            context,
            step(State::Planned { started: false }, told(&reasons))?,
        ));
    }
    let mut opened =
        taken(record, &next.name, context, step(State::Opened, "its turn, and the target can bear it")?);
    let of = opened.find_mut(&next.name)?;
    (of.target_instances, of.source_instances, of.max_deadline_ms) =
        (target_instances, source_instances, max_deadline_ms.max(of.max_deadline_ms));
    Some(opened)
}

fn told(reasons: &[Reason]) -> String {
    reasons.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The next step of a move that is out.
fn proceed(of: &Move, context: &StepContext<'_>) -> Option<Step> {
    let now = context.at.now;
    let config = &context.observation.active_config()?.config;
    let watch = context.watches.get(&of.name)?;
    let has = |loads| is_disabled(Guard::Superseded) || has_loads_on_target(config, &of.route_moves, loads);
    let overtaken =
        || step(State::Superseded, format!("configuration {} has its routes elsewhere", config.revision));
    let quiet =
        |since: Nanos| now >= since + of.max_deadline_ms * MS + OVERTIME || is_disabled(Guard::Settle);
    match of.state {
        State::Opened if !has(0) => overtaken(),
        State::Opened => {
            if let Some(why) = too_old(of, context) {
                return step(State::RolledBack, why);
            }
            let ready = |(name, need): &(CompactString, u32)| {
                context.observation.function(now, name).is_some_and(|function| function.ready >= *need)
            };
            if of.paused {
                return None;
            }
            let warm = !context.settings.prewarms || of.target_instances.iter().all(ready);
            let why =
                if context.settings.prewarms { "the target is warm" } else { "nobody warms the target here" };
            let first = of.put(Direction::ToTarget, 1, 0, config.revision, why).filter(|_| warm);
            if first.is_some()
                || now < watch.running_since + of.bounds.warm_ms * MS
                || is_disabled(Guard::Bounds)
            {
                return first;
            }
            let what = if warm { "there was no revision for it" } else { "the target was not warm" };
            step(State::RolledBack, format!("{what} in {} ms", of.bounds.warm_ms))
        }
        State::Switching(Direction::ToTarget, put) => {
            let decided = config.revision > put.base;
            if config.revision < put.base {
                return None;
            }
            if decided && !has(put.loads) && !has(put.loads - 1) {
                return overtaken();
            }
            if let Some(why) = trouble(of, watch, context) {
                return turn_back(of, put.loads, context, why);
            }
            if !decided {
                None
            } else if !has(put.loads) {
                let why = format!("{} can't be written any more: {} stands", put.revision, config.revision);
                if of.paused {
                    None
                } else {
                    of.put(Direction::ToTarget, put.loads, put.previous_loads, config.revision, why)
                }
            } else if put.loads == of.loads {
                step(State::Settling(Direction::ToTarget, config.revision), "all of it stands")
            } else if of.paused
                || context.observation.all_apply(now, config.revision).is_err()
                || !watch.has_credit() && !is_disabled(Guard::Pace)
            {
                None
            } else {
                let why = format!("all act on load {}, and the target has room", put.loads);
                of.put(Direction::ToTarget, put.loads + 1, put.loads, config.revision, why)
            }
        }
        State::Settling(Direction::ToTarget, _) if !has(of.loads) => overtaken(),
        State::Settling(Direction::ToTarget, _) => match trouble(of, watch, context) {
            Some(why) => turn_back(of, of.loads, context, why),
            None if watch.all_apply_since.is_some_and(quiet) => {
                step(State::Done, "all act on it, and what was left has had its time")
            }
            None => None,
        },
        State::Switching(Direction::ToSource, put) => {
            if config.revision <= put.base {
                None
            } else if has(0) {
                step(State::Settling(Direction::ToSource, config.revision), "all of it is back")
            } else if has(put.previous_loads) || put.previous_loads > 0 && has(put.previous_loads - 1) {
                let why = format!("{} can't be written any more: {} stands", put.revision, config.revision);
                of.put(Direction::ToSource, 0, put.previous_loads, config.revision, why)
            } else {
                overtaken()
            }
        }
        State::Settling(Direction::ToSource, _) if !has(0) => overtaken(),
        State::Settling(Direction::ToSource, _) if watch.all_apply_since.is_some_and(quiet) => {
            step(State::RolledBack, "all act on it, and what was left has had its time")
        }
        State::Settling(Direction::ToSource, _) | State::Planned { .. } => None,
        State::Done | State::RolledBack | State::Superseded => None,
    }
}

/// The way back: over what stands, whether or not a put over the same base is under way still.
fn turn_back(of: &Move, loads: u32, context: &StepContext<'_>, why: String) -> Option<Step> {
    let revision = context.observation.revision();
    if let State::Switching(_, put) = of.state
        && is_disabled(Guard::PutDecided)
        && put.base == revision
        && loads == 1
    {
        return step(State::RolledBack, why);
    }
    of.put(Direction::ToSource, 0, loads, revision, why)
}

fn too_old(of: &Move, context: &StepContext<'_>) -> Option<String> {
    let age = context.at.unix_ms.saturating_sub(of.opened_at()?);
    let over = !of.paused && age > of.bounds.most_age_ms && !is_disabled(Guard::Bounds);
    over.then(|| format!("it is out for {age} ms, and {} are given", of.bounds.most_age_ms))
}

/// A bound that a move on its way there has passed.
fn trouble(of: &Move, watch: &Watch, context: &StepContext<'_>) -> Option<String> {
    if is_disabled(Guard::Bounds) {
        return None;
    }
    let (now, bounds) = (context.at.now, &of.bounds);
    let past = |since: Option<Nanos>, ms: u64| since.is_some_and(|since| now >= since + ms * MS);
    if past(watch.past_threshold_since, bounds.patience_ms) {
        return Some(format!("the target's delay is past T1 for {} ms", bounds.patience_ms));
    }
    if past(watch.refusing_since, bounds.patience_ms) {
        return Some(format!("the target refuses too much for {} ms", bounds.patience_ms));
    }
    if past(watch.active_since, bounds.ack_ms)
        && watch.all_apply_since.is_none()
        && let Err(waits) = context.observation.all_apply(now, context.observation.revision())
    {
        return Some(format!("after {} ms {waits}", bounds.ack_ms));
    }
    too_old(of, context)
}

/// What becomes of an order, where no move takes a step by itself.
pub(crate) fn apply_order(
    record: &Record,
    version: u64,
    order: &Order,
    context: &StepContext<'_>,
) -> OrderOutcome {
    let Order::Plan(contract) = order else { return apply_to_known_move(record, order, context) };
    if record.find(&contract.name).is_some_and(|known| known.contract_hash == contract.content_hash()) {
        return OrderOutcome::Already;
    }
    if !context.sees_all() {
        return OrderOutcome::Later;
    }
    let found = check(contract, record, context.observation, context.settings, context.at.now);
    if !found.reasons.is_empty() {
        return OrderOutcome::Refused(found.reasons);
    }
    let state = State::Planned { started: false };
    let mut of = Move {
        name: contract.name.clone(),
        epoch: version + 1,
        contract_hash: contract.content_hash(),
        route_moves: found.route_moves,
        loads: contract.loads,
        services: found.services,
        max_deadline_ms: found.max_deadline_ms,
        bounds: contract.bounds.clone(),
        target_instances: found.target_instances,
        source_instances: found.source_instances,
        revisions: (1, 0),
        paused: false,
        state: state.clone(),
        history: Vec::new(),
    };
    of.enter(state, context.at.unix_ms, context.fence, "an operator's order");
    let mut next = record.clone();
    next.moves.push(of);
    OrderOutcome::Change(next)
}

fn apply_to_known_move(record: &Record, order: &Order, context: &StepContext<'_>) -> OrderOutcome {
    let Some(of) = record.find(order.name()) else { return OrderOutcome::Refused(vec![Reason::UnknownMove]) };
    let refused = |reason| OrderOutcome::Refused(vec![reason]);
    if of.state.is_ended() && !(matches!(order, Order::Rollback(..)) && of.state == State::RolledBack) {
        return refused(Reason::AlreadyEnded { step: of.state.name() });
    }
    // What it is with the numbers that came with the order; what was used stays used.
    let mut with = of.clone();
    let given = match order {
        Order::Start(_, given) | Order::Rollback(_, given) => *given,
        Order::Plan(_) | Order::Pause(_) => None,
    };
    if let Some((first, last)) = given
        && (last != of.revisions.1 || first > of.revisions.0)
    {
        with.revisions = (first.max(of.revisions.0), last);
    }
    let change = |with: Move, step: Option<Step>| {
        let mut next = record.clone();
        let Some(known) = next.find_mut(&with.name) else { return OrderOutcome::Later };
        *known = with;
        let name = known.name.clone();
        match step {
            Some(step) => OrderOutcome::Change(taken(&next, &name, context, step)),
            None if next == *record => OrderOutcome::Already,
            None => OrderOutcome::Change(next),
        }
    };
    let short = |with: &Move, needed| {
        let above = context.observation.revision();
        let mut found = Estimate { revisions_needed: needed, ..Estimate::default() };
        check_revisions(&mut found, with.revisions, above);
        (!found.reasons.is_empty()).then_some(found.reasons)
    };
    let order_of = |state| step(state, "an operator's order");
    match (order, &of.state) {
        (Order::Plan(_), _) => OrderOutcome::Later,
        (Order::Start(..), State::Planned { started }) => {
            if !context.sees_all() {
                return OrderOutcome::Later;
            }
            let found = recheck(&with, context.observation, context.settings, context.at.now);
            if !found.reasons.is_empty() {
                return OrderOutcome::Refused(found.reasons);
            }
            let step = if *started { None } else { order_of(State::Planned { started: true }) };
            change(with, step)
        }
        (
            Order::Start(..),
            State::Switching(Direction::ToSource, _) | State::Settling(Direction::ToSource, _),
        ) if given.is_none() => refused(Reason::RollingBack),
        (Order::Start(..), _) => {
            let needed = if given.is_some() { 2 } else { 0 };
            if let Some(reasons) = short(&with, needed) {
                return OrderOutcome::Refused(reasons);
            }
            with.paused = false;
            change(with, None)
        }
        (Order::Pause(_), State::Planned { started: true }) => {
            change(with, order_of(State::Planned { started: false }))
        }
        (Order::Pause(_), State::Planned { .. }) => OrderOutcome::Already,
        (Order::Pause(_), State::Opened | State::Switching(Direction::ToTarget, _)) => {
            with.paused = true;
            change(with, None)
        }
        (Order::Pause(_), _) => refused(Reason::NothingToPause),
        (Order::Rollback(..), State::Planned { .. } | State::Opened) => {
            change(with, order_of(State::RolledBack))
        }
        (
            Order::Rollback(..),
            State::Switching(Direction::ToTarget, _) | State::Settling(Direction::ToTarget, _),
        ) => {
            let (over, loads) = match of.state {
                State::Switching(_, put) => (put.base, put.loads),
                _ => (0, of.loads),
            };
            if context.observation.revision() < over || context.observation.active_config().is_none() {
                return OrderOutcome::Later;
            }
            match turn_back(&with, loads, context, "an operator's order".to_owned()) {
                Some(step) => change(with, Some(step)),
                None => OrderOutcome::Refused(short(&with, 1).unwrap_or_default()),
            }
        }
        (Order::Rollback(..), State::Switching(..) | State::Settling(..)) => change(with, None),
        (Order::Rollback(..), State::Done | State::RolledBack | State::Superseded) => OrderOutcome::Already,
    }
}
