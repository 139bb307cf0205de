//! The state machine that advances moves on a control machine. While the machine holds the lease it reads the
//! record, takes one step at a time and publishes the resulting actions. Any other machine can continue from
//! the record alone.
//!
//! Invariants: an order is answered exactly once; at most one write of the record is in progress; nothing is
//! published without the lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use compact_str::CompactString;
use millpost_quorum::{Outcome, Value};

use crate::contract::Order;
use crate::durable::{DurableRecord, Published};
use crate::guards::{Guard, is_disabled};
use crate::observation::{ActiveConfig, FunctionLoad, Observation};
use crate::record::{Move, Record, RecordError, State};
use crate::steps::{self, OrderOutcome, StepContext};
use crate::watch::Watch;
use crate::{MS, Moment, Nanos};

/// Time-out of a read or write of the register; the rounds themselves end sooner.
const REGISTER_TIMEOUT: Nanos = 2_000 * MS;
/// After this time a write of unknown outcome has been applied or never will be.
const WRITE_SETTLE_TIME: Nanos = 5_000 * MS;
/// Pause before a put of unknown outcome is repeated, and before a repeated read.
const RETRY_PAUSE: Nanos = 300 * MS;
/// How often the instances to keep warm are published.
const WARM_INTERVAL: Nanos = 1_000 * MS;
/// How long an order waits for sufficient observations, in addition to the contact time-out.
const ORDER_TIMEOUT: Nanos = 3_000 * MS;
/// Limit on waiting orders.
const MAX_ORDERS: usize = 64;

/// Deployment settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// A proxy that has not reported for this long counts as disconnected (`contact_ms`).
    pub contact_timeout: Nanos,
    /// Instance starts and stops per second that the platform accepts (`duty_per_s`).
    pub duty_per_s: f64,
    /// Whether instances are kept warm on request. If not, the first load is switched to the target as it is.
    pub prewarms: bool,
}

/// An event for the migrator.
#[derive(Debug)]
pub enum Input {
    /// This machine holds the lease under this fence, until this time of the monotonic clock.
    Lease(u64, Nanos),
    /// This machine does not hold the lease.
    LeaseLost,
    /// An operator's order, with a unique identifier.
    Order(u64, Order),
    /// The outcome of the [`Effect::ReadRecord`] or [`Effect::Write`] with this identifier.
    Record(u64, Outcome),
    /// The active configuration, as learned by this machine or in response to [`Effect::ReadConfig`].
    ActiveConfig(ActiveConfig),
    /// A put of this revision has ended. If another configuration is active, it came as
    /// [`Input::ActiveConfig`]; the outcome may also be unknown.
    PutFinished(u64),
    /// The revisions that proxies report to apply.
    ProxyRevisions(Vec<(CompactString, u64)>),
    /// The load of functions. This has to come after the other observations, because waiting orders are
    /// checked once it arrives.
    Functions(Vec<(CompactString, FunctionLoad)>),
    /// Free memory in MB of each worker that accepts instances.
    FreeMemory(Vec<u64>),
    /// Time has passed.
    Tick,
}

/// An action for the caller to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Read the record from a majority; the result comes as [`Input::Record`] with this identifier.
    ReadRecord(u64),
    /// Read the configuration from a majority.
    ReadConfig,
    /// Write the record if the expected version is current.
    Write {
        /// The identifier of the [`Input::Record`] with the result.
        ask: u64,
        /// The record and its new version.
        value: Value,
        /// The version to replace; 0 if there is no record yet.
        expected_version: Option<u64>,
    },
    /// Carry out an action of the durable record.
    Publish(Published),
    /// The order with this identifier has no definite answer.
    OrderFailure(u64, OrderFailure),
}

/// Why an order has no definite answer. It may still take effect, and can be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// This machine does not hold the lease.
    NotLeader,
    /// Too many orders are waiting.
    Busy,
    /// The order timed out.
    Unclear,
    /// The record can't be read by this version.
    Unreadable,
}

struct RegisterRequest {
    id: u64,
    until: Nanos,
}

struct WaitingOrder {
    id: u64,
    order: Order,
    received: Nanos,
    until: Nanos,
}

/// State of one term of leadership, dropped when the lease ends.
struct Term {
    fence: u64,
    until: Nanos,
    observation: Observation,
    watches: BTreeMap<CompactString, Watch>,
    durable: Option<DurableRecord>,
    /// No earlier write can be applied any more: a write of this term has succeeded, and none since has had
    /// an unknown outcome.
    no_unresolved_write: bool,
    /// When to read the record once more while a write may be unresolved; it may have been applied late.
    reread_at: Option<Nanos>,
    /// The record can't be parsed, and this has been logged.
    unreadable: bool,
    request: Option<RegisterRequest>,
    /// The next time at which the configuration may be read.
    read_config_at: Nanos,
    /// The revision of the last put, and when it may be repeated.
    put: (u64, Nanos),
    /// The next time at which the instances to keep warm are published.
    warm_at: Nanos,
    orders: VecDeque<WaitingOrder>,
}

/// Advances moves on a control machine.
pub struct Migrator {
    settings: Settings,
    term: Option<Term>,
    /// The identifier of the last register request.
    last_request: u64,
    effects: Vec<Effect>,
}

impl Migrator {
    /// Creates a migrator for a machine that does not hold the lease.
    pub fn new(settings: Settings) -> Self {
        Migrator { settings, term: None, last_request: 0, effects: Vec::new() }
    }

    /// Takes the effects to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The current record, if this machine holds the lease and has read it.
    pub fn durable_record(&self) -> Option<&DurableRecord> {
        self.term.as_ref()?.durable.as_ref()
    }

    /// Whether a move is open or an order is waiting, so that observations are needed.
    pub fn is_busy(&self) -> bool {
        let open = |durable: &DurableRecord| durable.record().open().next().is_some();
        self.term
            .as_ref()
            .is_some_and(|term| !term.orders.is_empty() || term.durable.as_ref().is_some_and(open))
    }

    /// The functions whose load is needed for open moves and waiting orders.
    pub fn observed_functions(&self) -> BTreeSet<CompactString> {
        let Some(term) = &self.term else { return BTreeSet::new() };
        let open = term.durable.iter().flat_map(|durable| durable.record().open());
        let mut all: BTreeSet<_> =
            open.flat_map(|mv| &mv.services).flat_map(|(a, b)| [a, b]).cloned().collect();
        for waiting in &term.orders {
            if let Order::Plan(contract) = &waiting.order {
                all.extend(contract.services.iter().flat_map(|(from, to)| [from, to]).cloned());
            }
        }
        all
    }

    /// Whether instances are kept warm on request.
    pub(crate) fn prewarms(&self) -> bool {
        self.settings.prewarms
    }

    pub(crate) fn observations(&self) -> Option<(&Observation, &BTreeMap<CompactString, Watch>)> {
        self.term.as_ref().map(|term| (&term.observation, &term.watches))
    }

    /// Handles an event.
    pub fn input(&mut self, at: Moment, input: Input) {
        let now = at.now;
        if self.term.as_ref().is_some_and(|term| now >= term.until) && !is_disabled(Guard::Lease) {
            self.end_term();
        }
        match input {
            Input::Lease(fence, until) => self.on_lease(now, fence, until),
            Input::LeaseLost => self.end_term(),
            Input::Order(id, order) => self.on_order(now, id, order),
            input => {
                if let Some(term) = &mut self.term {
                    term.observe(now, input);
                }
            }
        }
        self.advance(at);
    }

    fn on_lease(&mut self, now: Nanos, fence: u64, until: Nanos) {
        if let Some(term) = self.term.as_mut().filter(|term| term.fence == fence) {
            term.until = until;
            return;
        }
        self.end_term();
        if now < until {
            let observation = Observation::new(now, &self.settings);
            self.term = Some(Term {
                fence,
                until,
                observation,
                watches: BTreeMap::new(),
                durable: None,
                no_unresolved_write: false,
                reread_at: None,
                unreadable: false,
                request: None,
                read_config_at: 0,
                put: (0, 0),
                warm_at: 0,
                orders: VecDeque::new(),
            });
        }
    }

    fn end_term(&mut self) {
        let Some(term) = self.term.take() else { return };
        let fail = |waiting: WaitingOrder| Effect::OrderFailure(waiting.id, OrderFailure::NotLeader);
        self.effects.extend(term.orders.into_iter().map(fail));
    }

    fn on_order(&mut self, now: Nanos, id: u64, order: Order) {
        let until = now + self.settings.contact_timeout + ORDER_TIMEOUT;
        let failure = match &mut self.term {
            None => OrderFailure::NotLeader,
            Some(term) if term.unreadable => OrderFailure::Unreadable,
            Some(term) if term.orders.len() >= MAX_ORDERS => OrderFailure::Busy,
            Some(term) => return term.orders.push_back(WaitingOrder { id, order, received: now, until }),
        };
        self.effects.push(Effect::OrderFailure(id, failure));
    }

    /// Does everything that follows from the current state.
    fn advance(&mut self, at: Moment) {
        let Some(term) = &mut self.term else { return };
        let now = at.now;
        term.observation.expire(now);
        if term.request.as_ref().is_some_and(|request| now >= request.until) {
            (term.request, term.durable, term.no_unresolved_write, term.reread_at) =
                (None, None, false, None);
        }
        while term.orders.front().is_some_and(|waiting| now >= waiting.until) {
            let failure = term
                .orders
                .pop_front()
                .map(|waiting| Effect::OrderFailure(waiting.id, OrderFailure::Unclear));
            self.effects.extend(failure);
        }
        if term.request.is_some() {
            return;
        }
        let reread = !term.no_unresolved_write && term.reread_at.is_some_and(|at| now >= at);
        let Some(durable) = term.durable.as_ref().filter(|_| !reread) else {
            // Only once: no older write can still be in progress after that.
            term.reread_at = term.reread_at.map(|at| if reread { Nanos::MAX } else { at });
            // A record that can't be parsed is read again from time to time: it may be restored.
            self.last_request += 1;
            let timeout = if term.unreadable { 4 * REGISTER_TIMEOUT } else { REGISTER_TIMEOUT };
            term.request = Some(RegisterRequest { id: self.last_request, until: now + timeout });
            return self.effects.push(Effect::ReadRecord(self.last_request));
        };
        term.watches.retain(|name, _| durable.record().find(name).is_some_and(|mv| mv.state.is_active()));
        for mv in durable.record().moves.iter().filter(|mv| mv.state.is_active()) {
            let watch = term.watches.entry(mv.name.clone()).or_insert_with(|| Watch::new(now, mv));
            watch.update(now, mv, &term.observation);
        }
        let context = |since| {
            let (observation, watches) = (&term.observation, &term.watches);
            StepContext { at, fence: term.fence, settings: &self.settings, observation, watches, since }
        };
        let mut next = steps::advance(durable.record(), &context(0));
        let mut answers = Vec::new();
        for (n, waiting) in term.orders.iter().enumerate() {
            if next.is_some() {
                break;
            }
            let context = context(waiting.received);
            let refused =
                match steps::apply_order(durable.record(), durable.version(), &waiting.order, &context) {
                    OrderOutcome::Later => continue,
                    OrderOutcome::Change(record) => {
                        next = Some(record);
                        break;
                    }
                    OrderOutcome::Already => None,
                    OrderOutcome::Refused(reasons) => Some(reasons),
                };
            answers.push((n, durable.answer(waiting.id, waiting.order.name(), refused)));
        }
        let active = durable.record().moves.iter().any(|mv| mv.state.is_active());
        if next.is_none()
            && !term.no_unresolved_write
            && (active || !answers.is_empty())
            && !is_disabled(Guard::NoUnresolvedWrite)
        {
            next = Some(durable.record().clone());
        }
        if let Some(record) = next {
            return self.write(now, record);
        }
        for (n, answer) in answers.into_iter().rev() {
            term.orders.remove(n);
            self.effects.push(Effect::Publish(answer));
        }
        term.read_config(now, &mut self.effects);
        if term.no_unresolved_write || is_disabled(Guard::NoUnresolvedWrite) {
            term.publish(now, &mut self.effects);
        }
    }

    fn write(&mut self, now: Nanos, mut record: Record) {
        let Some(term) = &mut self.term else { return };
        record.fence = term.fence;
        let Some(durable) = &term.durable else { return };
        let version = durable.version() + 1;
        let expected_version = Some(version - 1);
        let content = record.to_text().into();
        self.last_request += 1;
        term.request = Some(RegisterRequest { id: self.last_request, until: now + REGISTER_TIMEOUT });
        let value = Value { version, content };
        self.effects.push(Effect::Write { ask: self.last_request, value, expected_version });
        #[cfg(test)]
        if let (Some(unwritten), Some(active_config)) =
            (DurableRecord::unwritten(version, record.clone()), term.observation.active_config())
        {
            let puts = unwritten.record().moves.iter().filter_map(|mv| unwritten.put(mv, active_config));
            self.effects.extend(puts.map(Effect::Publish));
        }
    }
}

impl Term {
    fn observe(&mut self, now: Nanos, input: Input) {
        match input {
            Input::Record(ask, outcome) => {
                if self.request.as_ref().is_some_and(|request| request.id == ask) {
                    self.request = None;
                    self.on_record(now, outcome);
                }
            }
            Input::ActiveConfig(config) => self.observation.set_active_config(config),
            Input::PutFinished(revision) => {
                if self.put.0 == revision {
                    self.put.1 = now + RETRY_PAUSE;
                    self.read_config_at = 0;
                }
            }
            Input::ProxyRevisions(all) => all
                .into_iter()
                .for_each(|(name, revision)| self.observation.record_proxy(now, name, revision)),
            Input::Functions(all) => {
                all.into_iter().for_each(|(name, load)| self.observation.record_function(now, name, load))
            }
            Input::FreeMemory(free_mb) => self.observation.set_free_memory(free_mb),
            Input::Lease(..) | Input::LeaseLost | Input::Order(..) | Input::Tick => {}
        }
    }

    /// Handles the outcome of a register request. After a write of unknown outcome the record is read again:
    /// the write may have been applied, or may be applied later, which only another write over the same
    /// version rules out.
    fn on_record(&mut self, now: Nanos, outcome: Outcome) {
        let value = match outcome {
            Outcome::Written(value) => {
                self.no_unresolved_write = true;
                Some(value)
            }
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Indeterminate(_) => {
                (self.durable, self.no_unresolved_write, self.reread_at) = (None, false, None);
                // Wait before the next attempt: without a majority, requests fail immediately.
                self.request = Some(RegisterRequest { id: 0, until: now + RETRY_PAUSE });
                return;
            }
        };
        if !self.no_unresolved_write {
            self.reread_at.get_or_insert(now + WRITE_SETTLE_TIME);
        }
        match DurableRecord::read(value.as_ref()) {
            Ok(durable) => (self.durable, self.unreadable) = (Some(durable), false),
            Err(error) => self.on_unreadable(now, &error),
        }
    }

    fn on_unreadable(&mut self, now: Nanos, error: &RecordError) {
        if !self.unreadable {
            log::error!("{error}; moves are not advanced");
        }
        (self.durable, self.unreadable) = (None, true);
        // Wait before the next attempt.
        self.request = Some(RegisterRequest { id: 0, until: now + 4 * REGISTER_TIMEOUT });
    }

    /// Requests the active configuration if it is not known or a put may have changed it.
    fn read_config(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let Some(durable) = &self.durable else { return };
        let needed = !self.orders.is_empty() || durable.record().open().next().is_some();
        let put_pending = durable.record().moves.iter().any(|mv| match mv.state {
            State::Switching(_, put) => self.observation.revision() <= put.base,
            _ => false,
        });
        if needed && (self.observation.active_config().is_none() || put_pending) && now >= self.read_config_at
        {
            self.read_config_at = now + RETRY_PAUSE;
            effects.push(Effect::ReadConfig);
        }
    }

    /// Publishes the actions that follow from the current record.
    fn publish(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let (Some(durable), Some(active_config)) = (&self.durable, self.observation.active_config()) else {
            return;
        };
        for mv in &durable.record().moves {
            let State::Switching(_, put) = mv.state else { continue };
            if self.put.0 == put.revision && now < self.put.1 {
                continue;
            }
            if let Some(published) = durable.put(mv, active_config) {
                self.put = (put.revision, now + REGISTER_TIMEOUT);
                effects.push(Effect::Publish(published));
            }
        }
        if now >= self.warm_at {
            self.warm_at = now + WARM_INTERVAL;
            let is_idle = |mv: &Move| self.watches.get(&mv.name).is_some_and(|watch| watch.is_idle(now));
            effects.extend(durable.warm(is_idle).into_iter().map(Effect::Publish));
        }
    }
}
