//! Which step comes next: out of the record as it stands and what is seen, by itself or because an operator wants it. Nothing is done here;
//! what comes out is the next record. Invariants: a put that may still be written is followed by a put over the same base and by nothing
//! else; a number is used once, and one is always left for the way back of a move that goes on by itself.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::check::{Estimate, Reason, check, check_again, numbers};
use crate::contract::Order;
use crate::migrator::Terms;
use crate::observation::Observation;
use crate::plant::{Guard, is_out};
use crate::record::{Direction, Move, Put, Record, State};
use crate::shift::fits;
use crate::watch::Watch;
use crate::{MS, Moment, Nanos};

/// A request may outlast its deadline by so much at its endpoint.
const OVERTIME: Nanos = 500 * MS;

/// What a step is decided on besides the record.
pub(crate) struct Ground<'a> {
    pub at: Moment,
    pub fence: u64,
    pub terms: &'a Terms,
    pub sight: &'a Observation,
    pub watches: &'a BTreeMap<CompactString, Watch>,
    /// When the order came that is judged: what was seen before may not have been looked at for it.
    pub since: Nanos,
}

impl Ground<'_> {
    /// Enough is seen to judge what a target can bear.
    fn sees_all(&self) -> bool {
        self.sight.heard_all(self.at.now)
            && self.sight.stands().is_some()
            && self.sight.told_since(self.since)
    }
}

/// What becomes of an order.
#[derive(Debug)]
pub(crate) enum Obeyed {
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
    number: Option<u64>,
}

fn step(state: State, why: impl Into<String>) -> Option<Step> {
    Some(Step { state, why: why.into(), number: None })
}

impl Move {
    /// The next number of its own above what stands; with one more left after it where that has to be.
    fn number(&self, above: u64, spare: u64) -> Option<u64> {
        let number = self.numbers.0.max(above + 1);
        (number + spare <= self.numbers.1).then_some(number)
    }

    fn take(&mut self, number: u64) {
        if !is_out(Guard::Burned) {
            self.numbers.0 = number + 1;
        }
    }

    /// So many loads are to be on the target next; `of`: so many may be there now.
    fn put(&self, way: Direction, load: u32, of: u32, over: u64, why: impl Into<String>) -> Option<Step> {
        let number = self.number(over, u64::from(way == Direction::There))?;
        let state = State::Switching(way, Put { number, over, load, of });
        Some(Step { state, why: why.into(), number: Some(number) })
    }
}

/// Takes a step in a copy of the record.
fn taken(record: &Record, name: &str, ground: &Ground<'_>, step: Step) -> Record {
    let mut next = record.clone();
    if let Some(of) = next.named_mut(name) {
        if let Some(number) = step.number {
            of.take(number);
        }
        of.enter(step.state, ground.at.day, ground.fence, step.why);
    }
    next.tidy();
    next
}

/// The next step that a move takes by itself.
pub(crate) fn advance(record: &Record, ground: &Ground<'_>) -> Option<Record> {
    for of in record.moves.iter().filter(|of| of.state.out()) {
        if let Some(step) = proceed(of, ground) {
            return Some(taken(record, &of.name, ground, step));
        }
    }
    if record.moves.iter().any(|of| of.state.out()) && !is_out(Guard::Turns) {
        return None;
    }
    let next = record.moves.iter().find(|of| of.state == State::Planned { started: true })?;
    if !ground.sees_all() {
        return None;
    }
    let found = check_again(next, ground.sight, ground.terms, ground.at.now);
    let Estimate { needs, keeps, longest_ms, reasons, .. } = found;
    if !reasons.is_empty() {
        return Some(taken(
            record,
            &next.name,
            ground,
            step(State::Planned { started: false }, told(&reasons))?,
        ));
    }
    let mut opened =
        taken(record, &next.name, ground, step(State::Opened, "its turn, and the target can bear it")?);
    let of = opened.named_mut(&next.name)?;
    (of.needs, of.keeps, of.longest_ms) = (needs, keeps, longest_ms.max(of.longest_ms));
    Some(opened)
}

fn told(reasons: &[Reason]) -> String {
    reasons.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The next step of a move that is out.
fn proceed(of: &Move, ground: &Ground<'_>) -> Option<Step> {
    let now = ground.at.now;
    let config = &ground.sight.stands()?.config;
    let watch = ground.watches.get(&of.name)?;
    let has = |loads| is_out(Guard::Overtaken) || fits(config, &of.hauls, loads);
    let overtaken =
        || step(State::Overtaken, format!("configuration {} has its routes elsewhere", config.revision));
    let quiet = |since: Nanos| now >= since + of.longest_ms * MS + OVERTIME || is_out(Guard::Settle);
    match of.state {
        State::Opened if !has(0) => overtaken(),
        State::Opened => {
            if let Some(why) = too_old(of, ground) {
                return step(State::TurnedBack, why);
            }
            let ready = |(name, need): &(CompactString, u32)| {
                ground.sight.function(now, name).is_some_and(|function| function.ready >= *need)
            };
            if of.paused {
                return None;
            }
            let warm = !ground.terms.warms || of.needs.iter().all(ready);
            let why = if ground.terms.warms { "the target is warm" } else { "nobody warms the target here" };
            let first = of.put(Direction::There, 1, 0, config.revision, why).filter(|_| warm);
            if first.is_some() || now < watch.going + of.bounds.warm_ms * MS || is_out(Guard::Bounds) {
                return first;
            }
            let what = if warm { "there was no revision for it" } else { "the target was not warm" };
            step(State::TurnedBack, format!("{what} in {} ms", of.bounds.warm_ms))
        }
        State::Switching(Direction::There, put) => {
            let decided = config.revision > put.over;
            if config.revision < put.over {
                return None;
            }
            if decided && !has(put.load) && !has(put.load - 1) {
                return overtaken();
            }
            if let Some(why) = trouble(of, watch, ground) {
                return turn_back(of, put.load, ground, why);
            }
            if !decided {
                None
            } else if !has(put.load) {
                let why = format!("{} can't be written any more: {} stands", put.number, config.revision);
                if of.paused {
                    None
                } else {
                    of.put(Direction::There, put.load, put.of, config.revision, why)
                }
            } else if put.load == of.loads {
                step(State::Settling(Direction::There, config.revision), "all of it stands")
            } else if of.paused
                || ground.sight.all_act(now, config.revision).is_err()
                || !watch.earned() && !is_out(Guard::Pace)
            {
                None
            } else {
                let why = format!("all act on load {}, and the target has room", put.load);
                of.put(Direction::There, put.load + 1, put.load, config.revision, why)
            }
        }
        State::Settling(Direction::There, _) if !has(of.loads) => overtaken(),
        State::Settling(Direction::There, _) => match trouble(of, watch, ground) {
            Some(why) => turn_back(of, of.loads, ground, why),
            None if watch.all.is_some_and(quiet) => {
                step(State::Done, "all act on it, and what was left has had its time")
            }
            None => None,
        },
        State::Switching(Direction::Back, put) => {
            if config.revision <= put.over {
                None
            } else if has(0) {
                step(State::Settling(Direction::Back, config.revision), "all of it is back")
            } else if has(put.of) || put.of > 0 && has(put.of - 1) {
                let why = format!("{} can't be written any more: {} stands", put.number, config.revision);
                of.put(Direction::Back, 0, put.of, config.revision, why)
            } else {
                overtaken()
            }
        }
        State::Settling(Direction::Back, _) if !has(0) => overtaken(),
        State::Settling(Direction::Back, _) if watch.all.is_some_and(quiet) => {
            step(State::TurnedBack, "all act on it, and what was left has had its time")
        }
        State::Settling(Direction::Back, _) | State::Planned { .. } => None,
        State::Done | State::TurnedBack | State::Overtaken => None,
    }
}

/// The way back: over what stands, whether or not a put over the same base is under way still.
fn turn_back(of: &Move, loads: u32, ground: &Ground<'_>, why: String) -> Option<Step> {
    let revision = ground.sight.revision();
    if let State::Switching(_, put) = of.state
        && is_out(Guard::Decided)
        && put.over == revision
        && loads == 1
    {
        return step(State::TurnedBack, why);
    }
    of.put(Direction::Back, 0, loads, revision, why)
}

fn too_old(of: &Move, ground: &Ground<'_>) -> Option<String> {
    let age = ground.at.day.saturating_sub(of.opened_at()?);
    let over = !of.paused && age > of.bounds.most_age_ms && !is_out(Guard::Bounds);
    over.then(|| format!("it is out for {age} ms, and {} are given", of.bounds.most_age_ms))
}

/// A bound that a move on its way there has passed.
fn trouble(of: &Move, watch: &Watch, ground: &Ground<'_>) -> Option<String> {
    if is_out(Guard::Bounds) {
        return None;
    }
    let (now, bounds) = (ground.at.now, &of.bounds);
    let past = |since: Option<Nanos>, ms: u64| since.is_some_and(|since| now >= since + ms * MS);
    if past(watch.beyond, bounds.patience_ms) {
        return Some(format!("the target's delay is past T1 for {} ms", bounds.patience_ms));
    }
    if past(watch.refusing, bounds.patience_ms) {
        return Some(format!("the target refuses too much for {} ms", bounds.patience_ms));
    }
    if past(watch.stood, bounds.ack_ms)
        && watch.all.is_none()
        && let Err(waits) = ground.sight.all_act(now, ground.sight.revision())
    {
        return Some(format!("after {} ms {waits}", bounds.ack_ms));
    }
    too_old(of, ground)
}

/// What becomes of an order, where no move takes a step by itself.
pub(crate) fn obey(record: &Record, version: u64, order: &Order, ground: &Ground<'_>) -> Obeyed {
    let Order::Plan(contract) = order else { return obey_named(record, order, ground) };
    if record.named(&contract.name).is_some_and(|known| known.mark == contract.mark()) {
        return Obeyed::Already;
    }
    if !ground.sees_all() {
        return Obeyed::Later;
    }
    let found = check(contract, record, ground.sight, ground.terms, ground.at.now);
    if !found.reasons.is_empty() {
        return Obeyed::Refused(found.reasons);
    }
    let state = State::Planned { started: false };
    let mut of = Move {
        name: contract.name.clone(),
        epoch: version + 1,
        mark: contract.mark(),
        hauls: found.hauls,
        loads: contract.loads,
        services: found.services,
        longest_ms: found.longest_ms,
        bounds: contract.bounds.clone(),
        needs: found.needs,
        keeps: found.keeps,
        numbers: (1, 0),
        paused: false,
        state: state.clone(),
        stamps: Vec::new(),
    };
    of.enter(state, ground.at.day, ground.fence, "an operator's order");
    let mut next = record.clone();
    next.moves.push(of);
    Obeyed::Change(next)
}

fn obey_named(record: &Record, order: &Order, ground: &Ground<'_>) -> Obeyed {
    let Some(of) = record.named(order.name()) else { return Obeyed::Refused(vec![Reason::Unknown]) };
    let refused = |reason| Obeyed::Refused(vec![reason]);
    if of.state.ended() && !(matches!(order, Order::Back(..)) && of.state == State::TurnedBack) {
        return refused(Reason::Ended { step: of.state.word() });
    }
    // What it is with the numbers that came with the order; what was used stays used.
    let mut with = of.clone();
    let given = match order {
        Order::Start(_, given) | Order::Back(_, given) => *given,
        Order::Plan(_) | Order::Pause(_) => None,
    };
    if let Some((first, last)) = given
        && (last != of.numbers.1 || first > of.numbers.0)
    {
        with.numbers = (first.max(of.numbers.0), last);
    }
    let change = |with: Move, step: Option<Step>| {
        let mut next = record.clone();
        let Some(known) = next.named_mut(&with.name) else { return Obeyed::Later };
        *known = with;
        let name = known.name.clone();
        match step {
            Some(step) => Obeyed::Change(taken(&next, &name, ground, step)),
            None if next == *record => Obeyed::Already,
            None => Obeyed::Change(next),
        }
    };
    let short = |with: &Move, needed| {
        let above = ground.sight.revision();
        let mut found = Estimate { revisions: needed, ..Estimate::default() };
        numbers(&mut found, with.numbers, above);
        (!found.reasons.is_empty()).then_some(found.reasons)
    };
    let order_of = |state| step(state, "an operator's order");
    match (order, &of.state) {
        (Order::Plan(_), _) => Obeyed::Later,
        (Order::Start(..), State::Planned { started }) => {
            if !ground.sees_all() {
                return Obeyed::Later;
            }
            let found = check_again(&with, ground.sight, ground.terms, ground.at.now);
            if !found.reasons.is_empty() {
                return Obeyed::Refused(found.reasons);
            }
            let step = if *started { None } else { order_of(State::Planned { started: true }) };
            change(with, step)
        }
        (Order::Start(..), State::Switching(Direction::Back, _) | State::Settling(Direction::Back, _))
            if given.is_none() =>
        {
            refused(Reason::TurnsBack)
        }
        (Order::Start(..), _) => {
            let needed = if given.is_some() { 2 } else { 0 };
            if let Some(reasons) = short(&with, needed) {
                return Obeyed::Refused(reasons);
            }
            with.paused = false;
            change(with, None)
        }
        (Order::Pause(_), State::Planned { started: true }) => {
            change(with, order_of(State::Planned { started: false }))
        }
        (Order::Pause(_), State::Planned { .. }) => Obeyed::Already,
        (Order::Pause(_), State::Opened | State::Switching(Direction::There, _)) => {
            with.paused = true;
            change(with, None)
        }
        (Order::Pause(_), _) => refused(Reason::NothingToPause),
        (Order::Back(..), State::Planned { .. } | State::Opened) => change(with, order_of(State::TurnedBack)),
        (Order::Back(..), State::Switching(Direction::There, _) | State::Settling(Direction::There, _)) => {
            let (over, loads) = match of.state {
                State::Switching(_, put) => (put.over, put.load),
                _ => (0, of.loads),
            };
            if ground.sight.revision() < over || ground.sight.stands().is_none() {
                return Obeyed::Later;
            }
            match turn_back(&with, loads, ground, "an operator's order".to_owned()) {
                Some(step) => change(with, Some(step)),
                None => Obeyed::Refused(short(&with, 1).unwrap_or_default()),
            }
        }
        (Order::Back(..), State::Switching(..) | State::Settling(..)) => change(with, None),
        (Order::Back(..), State::Done | State::TurnedBack | State::Overtaken) => Obeyed::Already,
    }
}
