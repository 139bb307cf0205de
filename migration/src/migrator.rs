//! The whole of it on one control machine. While this machine holds the lease it reads the record, carries moves on by one step at a time
//! and says what goes outward. Any other can go on from the record alone. Invariants: an order is answered once; one write of the record
//! at a time is under way; nothing is said without the lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use compact_str::CompactString;
use millpost_quorum::{Outcome, Value};

use crate::contract::Order;
use crate::durable::{DurableRecord, Published};
use crate::guards::{Guard, is_disabled};
use crate::observation::{ActiveConfig, FunctionLoad, Observation};
use crate::record::{Move, Record, RecordError, State};
use crate::steps::{OrderOutcome, StepContext, advance, apply_order};
use crate::watch::Watch;
use crate::{MS, Moment, Nanos};

/// What is under way in the register counts as lost after this; its rounds end sooner.
const ROUND: Nanos = 2_000 * MS;
/// What was offered without a clear end has come to stand by then, or never will.
const LATE: Nanos = 5_000 * MS;
/// A configuration that was put without a clear end is put again after this; so is what has to be read again.
const AGAIN: Nanos = 300 * MS;
/// What is to be warm is said this often.
const WARM: Nanos = 1_000 * MS;
/// An order waits for so long beyond the time in touch, until enough is seen to judge it.
const ORDER: Nanos = 3_000 * MS;
/// Orders at once.
const MAX_ORDERS: usize = 64;

/// What the deployment says.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who was not heard of for so long is not in touch (`contact_ms`).
    pub contact_timeout: Nanos,
    /// Starts and stops a second (`duty_per_s`).
    pub duty_per_s: f64,
    /// Whether somebody keeps warm what is to be: if not, the first load goes to a target as it is.
    pub prewarms: bool,
}

/// What happens.
#[derive(Debug)]
pub enum Input {
    /// The lease is held, under this fence, until this moment of the steady clock.
    Lease(u64, Nanos),
    /// It is not, any more.
    LeaseLost,
    /// An operator's order, with a number that no other has.
    Order(u64, Order),
    /// The answer to [`Effect::ReadRecord`] or [`Effect::Write`] of this number.
    Record(u64, Outcome),
    /// This configuration stands, as this machine has heard or in answer to [`Effect::ReadConfig`].
    ActiveConfig(ActiveConfig),
    /// How a put of this number ended: it stands, something else does and came as [`Input::Stands`], or nobody knows.
    PutFinished(u64),
    /// Proxies say on which revision they act.
    ProxyRevisions(Vec<(CompactString, u64)>),
    /// How functions do. Orders are judged after the next one of these, so that goes after all else that is seen.
    Functions(Vec<(CompactString, FunctionLoad)>),
    /// Memory that is free on each worker that takes instances, in MB.
    FreeMemory(Vec<u64>),
    /// Time passes.
    Tick,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// The record is to be read from a majority.
    ReadRecord(u64),
    /// The configuration is to be read from a majority.
    ReadConfig,
    /// The record is to be written under this version, over exactly the other one; 0: over nothing.
    Write {
        /// The number of the answer.
        ask: u64,
        /// What is written.
        value: Value,
        /// What has to stand.
        expected_version: Option<u64>,
    },
    /// Something goes outward.
    Publish(Published),
    /// An order has no clear answer here.
    OrderFailure(u64, OrderFailure),
}

/// Why an order has no clear answer. It may come to stand all the same, and can be given again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// This machine holds no lease.
    NotLeader,
    /// Too many orders wait.
    Busy,
    /// It took too long.
    Unclear,
    /// The record is not one that this program can read.
    Unreadable,
}

struct Asked {
    id: u64,
    until: Nanos,
}

struct Waiting {
    id: u64,
    order: Order,
    came: Nanos,
    until: Nanos,
}

/// What is known while the lease is held; none of it outlasts it.
struct Term {
    fence: u64,
    until: Nanos,
    observation: Observation,
    watches: BTreeMap<CompactString, Watch>,
    standing: Option<DurableRecord>,
    /// Nothing that was offered before can come to stand any more: a write of this term over what stood has ended well, and none since
    /// has ended without a clear word.
    firm: bool,
    /// What is not firm is read once more then: something may have come to stand late.
    read_again: Option<Nanos>,
    /// The record can't be read, and this was logged.
    unreadable: bool,
    asked: Option<Asked>,
    read_config: Nanos,
    put: (u64, Nanos),
    warm: Nanos,
    orders: VecDeque<Waiting>,
}

/// Moves, on one control machine.
pub struct Migrator {
    settings: Settings,
    term: Option<Term>,
    asks: u64,
    effects: Vec<Effect>,
}

impl Migrator {
    /// Of a machine that holds no lease.
    pub fn new(settings: Settings) -> Self {
        Migrator { settings, term: None, asks: 0, effects: Vec::new() }
    }

    /// What is to be done, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The record as it stands, as far as the holder of the lease knows.
    pub fn durable_record(&self) -> Option<&DurableRecord> {
        self.term.as_ref()?.standing.as_ref()
    }

    /// Whether a move is open or an order waits: what is seen is wanted then.
    pub fn is_busy(&self) -> bool {
        let open = |standing: &DurableRecord| standing.record().open().next().is_some();
        self.term
            .as_ref()
            .is_some_and(|term| !term.orders.is_empty() || term.standing.as_ref().is_some_and(open))
    }

    /// The functions that are of interest.
    pub fn observed_functions(&self) -> BTreeSet<CompactString> {
        let Some(term) = &self.term else { return BTreeSet::new() };
        let open = term.standing.iter().flat_map(|standing| standing.record().open());
        let mut all: BTreeSet<_> =
            open.flat_map(|of| &of.services).flat_map(|(a, b)| [a, b]).cloned().collect();
        for waiting in &term.orders {
            if let Order::Plan(contract) = &waiting.order {
                all.extend(contract.services.iter().flat_map(|(from, to)| [from, to]).cloned());
            }
        }
        all
    }

    /// Whether somebody keeps warm what is to be.
    pub(crate) fn prewarms(&self) -> bool {
        self.settings.prewarms
    }

    pub(crate) fn seen(&self) -> Option<(&Observation, &BTreeMap<CompactString, Watch>)> {
        self.term.as_ref().map(|term| (&term.observation, &term.watches))
    }

    /// Something happened.
    pub fn input(&mut self, at: Moment, input: Input) {
        let now = at.now;
        if self.term.as_ref().is_some_and(|term| now >= term.until) && !is_disabled(Guard::Lease) {
            self.end();
        }
        match input {
            Input::Lease(fence, until) => self.lease(now, fence, until),
            Input::LeaseLost => self.end(),
            Input::Order(id, order) => self.order(now, id, order),
            input => {
                if let Some(term) = &mut self.term {
                    term.input(now, input);
                }
            }
        }
        self.go_on(at);
    }

    fn lease(&mut self, now: Nanos, fence: u64, until: Nanos) {
        if let Some(term) = self.term.as_mut().filter(|term| term.fence == fence) {
            term.until = until;
            return;
        }
        self.end();
        if now < until {
            let observation = Observation::new(now, &self.settings);
            self.term = Some(Term {
                fence,
                until,
                observation,
                watches: BTreeMap::new(),
                standing: None,
                firm: false,
                read_again: None,
                unreadable: false,
                asked: None,
                read_config: 0,
                put: (0, 0),
                warm: 0,
                orders: VecDeque::new(),
            });
        }
    }

    fn end(&mut self) {
        let Some(term) = self.term.take() else { return };
        let turned = |waiting: Waiting| Effect::OrderFailure(waiting.id, OrderFailure::NotLeader);
        self.effects.extend(term.orders.into_iter().map(turned));
    }

    fn order(&mut self, now: Nanos, id: u64, order: Order) {
        let until = now + self.settings.contact_timeout + ORDER;
        let turned = match &mut self.term {
            None => OrderFailure::NotLeader,
            Some(term) if term.unreadable => OrderFailure::Unreadable,
            Some(term) if term.orders.len() >= MAX_ORDERS => OrderFailure::Busy,
            Some(term) => return term.orders.push_back(Waiting { id, order, came: now, until }),
        };
        self.effects.push(Effect::OrderFailure(id, turned));
    }

    /// All that follows from what is known by now.
    fn go_on(&mut self, at: Moment) {
        let Some(term) = &mut self.term else { return };
        let now = at.now;
        term.observation.expire(now);
        if term.asked.as_ref().is_some_and(|asked| now >= asked.until) {
            (term.asked, term.standing, term.firm, term.read_again) = (None, None, false, None);
        }
        while term.orders.front().is_some_and(|waiting| now >= waiting.until) {
            let turned = term
                .orders
                .pop_front()
                .map(|waiting| Effect::OrderFailure(waiting.id, OrderFailure::Unclear));
            self.effects.extend(turned);
        }
        if term.asked.is_some() {
            return;
        }
        let late = !term.firm && term.read_again.is_some_and(|at| now >= at);
        let Some(standing) = term.standing.as_ref().filter(|_| !late) else {
            // Once: nothing that old is under way after that.
            term.read_again = term.read_again.map(|at| if late { Nanos::MAX } else { at });
            // What can't be read is looked at again now and then: it may be restored.
            self.asks += 1;
            let pause = if term.unreadable { 4 * ROUND } else { ROUND };
            term.asked = Some(Asked { id: self.asks, until: now + pause });
            return self.effects.push(Effect::ReadRecord(self.asks));
        };
        term.watches.retain(|name, _| standing.record().find(name).is_some_and(|of| of.state.is_active()));
        for of in standing.record().moves.iter().filter(|of| of.state.is_active()) {
            let watch = term.watches.entry(of.name.clone()).or_insert_with(|| Watch::new(now, of));
            watch.update(now, of, &term.observation);
        }
        let context = |since| {
            let (observation, watches) = (&term.observation, &term.watches);
            StepContext { at, fence: term.fence, settings: &self.settings, observation, watches, since }
        };
        let mut next = advance(standing.record(), &context(0));
        let mut answers = Vec::new();
        for (n, waiting) in term.orders.iter().enumerate() {
            if next.is_some() {
                break;
            }
            let context = context(waiting.came);
            let refused = match apply_order(standing.record(), standing.version(), &waiting.order, &context) {
                OrderOutcome::Later => continue,
                OrderOutcome::Change(record) => {
                    next = Some(record);
                    break;
                }
                OrderOutcome::Already => None,
                OrderOutcome::Refused(reasons) => Some(reasons),
            };
            answers.push((n, standing.answer(waiting.id, waiting.order.name(), refused)));
        }
        let out = standing.record().moves.iter().any(|of| of.state.is_active());
        if next.is_none()
            && !term.firm
            && (out || !answers.is_empty())
            && !is_disabled(Guard::NoUnresolvedWrite)
        {
            next = Some(standing.record().clone());
        }
        if let Some(record) = next {
            return self.write(now, record);
        }
        for (n, answer) in answers.into_iter().rev() {
            term.orders.remove(n);
            self.effects.push(Effect::Publish(answer));
        }
        term.look_for_config(now, &mut self.effects);
        if term.firm || is_disabled(Guard::NoUnresolvedWrite) {
            term.outward(now, &mut self.effects);
        }
    }

    fn write(&mut self, now: Nanos, mut record: Record) {
        let Some(term) = &mut self.term else { return };
        record.fence = term.fence;
        let Some(standing) = &term.standing else { return };
        let version = standing.version() + 1;
        let expected_version = Some(version - 1);
        let content = record.to_text().into();
        self.asks += 1;
        term.asked = Some(Asked { id: self.asks, until: now + ROUND });
        let value = Value { version, content };
        self.effects.push(Effect::Write { ask: self.asks, value, expected_version });
        #[cfg(test)]
        if let (Some(ahead), Some(stands)) =
            (DurableRecord::unwritten(version, record.clone()), term.observation.active_config())
        {
            let puts = ahead.record().moves.iter().filter_map(|of| ahead.put(of, stands));
            self.effects.extend(puts.map(Effect::Publish));
        }
    }
}

impl Term {
    fn input(&mut self, now: Nanos, input: Input) {
        match input {
            Input::Record(ask, outcome) => {
                if self.asked.as_ref().is_some_and(|asked| asked.id == ask) {
                    self.asked = None;
                    self.record(now, outcome);
                }
            }
            Input::ActiveConfig(stands) => self.observation.set_active_config(stands),
            Input::PutFinished(number) => {
                if self.put.0 == number {
                    self.put.1 = now + AGAIN;
                    self.read_config = 0;
                }
            }
            Input::ProxyRevisions(all) => {
                all.into_iter().for_each(|(name, acts)| self.observation.record_proxy(now, name, acts))
            }
            Input::Functions(all) => {
                all.into_iter().for_each(|(name, does)| self.observation.record_function(now, name, does))
            }
            Input::FreeMemory(room) => self.observation.set_free_memory(room),
            Input::Lease(..) | Input::LeaseLost | Input::Order(..) | Input::Tick => {}
        }
    }

    /// What the register says. After a write without a clear end it is read again: the write may stand, or come to stand later, which only
    /// another write over the same version rules out.
    fn record(&mut self, now: Nanos, outcome: Outcome) {
        let value = match outcome {
            Outcome::Written(value) => {
                self.firm = true;
                Some(value)
            }
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Indeterminate(_) => {
                (self.standing, self.firm, self.read_again) = (None, false, None);
                // Not at once again: where no majority answers, that says so as fast as it is asked.
                self.asked = Some(Asked { id: 0, until: now + AGAIN });
                return;
            }
        };
        if !self.firm {
            self.read_again.get_or_insert(now + LATE);
        }
        match DurableRecord::read(value.as_ref()) {
            Ok(standing) => (self.standing, self.unreadable) = (Some(standing), false),
            Err(error) => self.spoilt(now, &error),
        }
    }

    fn spoilt(&mut self, now: Nanos, error: &RecordError) {
        if !self.unreadable {
            log::error!("{error}: nothing is done about moves");
        }
        (self.standing, self.unreadable) = (None, true);
        // Not at once again.
        self.asked = Some(Asked { id: 0, until: now + 4 * ROUND });
    }

    /// Asks for the configuration that stands where it is not known, or a put may have changed it.
    fn look_for_config(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(standing) = &self.standing else { return };
        let wanted = !self.orders.is_empty() || standing.record().open().next().is_some();
        let behind = standing.record().moves.iter().any(|of| match of.state {
            State::Switching(_, put) => self.observation.revision() <= put.base,
            _ => false,
        });
        if wanted && (self.observation.active_config().is_none() || behind) && now >= self.read_config {
            self.read_config = now + AGAIN;
            effects.push(Effect::ReadConfig);
        }
    }

    /// What goes outward now, out of the record as it stands.
    fn outward(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let (Some(standing), Some(stands)) = (&self.standing, self.observation.active_config()) else {
            return;
        };
        for of in &standing.record().moves {
            let State::Switching(_, put) = of.state else { continue };
            if self.put.0 == put.revision && now < self.put.1 {
                continue;
            }
            if let Some(out) = standing.put(of, stands) {
                self.put = (put.revision, now + ROUND);
                effects.push(Effect::Publish(out));
            }
        }
        if now >= self.warm {
            self.warm = now + WARM;
            let rests = |of: &Move| self.watches.get(&of.name).is_some_and(|watch| watch.is_idle(now));
            effects.extend(standing.warm(rests).into_iter().map(Effect::Publish));
        }
    }
}
