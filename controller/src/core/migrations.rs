//! Connects the [`Migrator`] to the core: passes it observations and carries out its effects, and makes no
//! decisions itself.
//!
//! Invariants: each order is answered once. While no migration is open and no order waits, the record is read
//! when the controller becomes the leader, once more when no earlier write can take effect any more, and at
//! no other time.

use hyper::StatusCode;
use millpost_config::JsonCursor;
use millpost_migration::{
    Action, ActiveConfig, DurableRecord, Effect, FunctionLoad, Input, Migrator, Moment, Order, OrderFailure,
    OrderResult, Settings,
};
use millpost_net::messaging::{Call, Reply};
use millpost_protocol::{object, text};
use millpost_quorum::{FailureReason, Key, Operation, Outcome, Value};
use percent_encoding::percent_decode_str;

use super::{Core, api};
use crate::errors::CallError;
use crate::rounds::RoundPurpose;
use crate::{MS, Nanos};

/// Interval between observations while a migration is open.
const OBSERVATION_INTERVAL: Nanos = 300 * MS;
/// At its peak a function uses this part of the slots of its wanted instances, because owners keep spare
/// capacity.
const MAX_UTILIZATION: f64 = 0.8;

/// The migrator, and when it last received observations.
pub(super) struct MigrationDriver {
    migrator: Migrator,
    /// Wall-clock time in milliseconds at which the monotonic clock was 0.
    unix_ms: u64,
    observed_at: Nanos,
}

impl MigrationDriver {
    pub fn new(unix_ms: u64, contact_timeout: Nanos, duty_per_s: f64) -> Self {
        let settings = Settings { contact_timeout, duty_per_s, prewarms: true };
        MigrationDriver { migrator: Migrator::new(settings), unix_ms, observed_at: 0 }
    }

    fn at(&self, now: Nanos) -> Moment {
        Moment { now, unix_ms: self.unix_ms + now / MS }
    }
}

/// Parses an operator's order.
pub(super) fn order(call: &Call) -> Result<Order, CallError> {
    let json = call.json().ok_or_else(|| CallError::Invalid("no JSON".to_owned()))?;
    Order::read(&JsonCursor::root(&json)).map_err(|e| CallError::Invalid(e.to_string()))
}

fn order_error(failure: OrderFailure) -> CallError {
    match failure {
        OrderFailure::NotLeader => CallError::NotLeader,
        OrderFailure::Busy => CallError::Busy,
        OrderFailure::Unclear => CallError::Unclear,
        OrderFailure::Unreadable => CallError::Unreadable,
    }
}

impl Core {
    /// Passes on the state of the lease and, while a migration is open, observations of proxies and
    /// functions.
    pub(super) fn tick_migrations(&mut self, now: Nanos) {
        let lease =
            self.leadership.term().map_or(Input::LeaseLost, |(fence, until)| Input::Lease(fence, until));
        self.drive_migrations(now, lease);
        let is_active =
            |standing: &DurableRecord| standing.record().moves.iter().any(|of| of.state.is_active());
        if self.migrations.migrator.durable_record().is_some_and(|standing| !is_active(standing))
            && let Some(leader) = self.leadership.leader_mut()
        {
            leader.clear_min_instances();
        }
        if !self.migrations.migrator.is_busy() || now < self.migrations.observed_at + OBSERVATION_INTERVAL {
            return;
        }
        self.migrations.observed_at = now;
        let acts = self.feed.followers().map(|(name, acts)| (name.clone(), acts)).collect();
        self.drive_migrations(now, Input::ProxyRevisions(acts));
        let Some(leader) = self.leadership.leader() else { return };
        let room = leader.scaler.free_memory();
        let names = self.migrations.migrator.observed_functions();
        let config = self.feed.config();
        let functions = names.into_iter().filter_map(|name| {
            let standing = leader.scaler.function(now, &name)?;
            let slots = config.and_then(|c| c.service(&name)).map_or(1, |s| s.concurrency.max(1));
            let wanted = standing.wanted.map_or(0, |(count, _)| count);
            let peak_requests = f64::from(wanted) * f64::from(slots) * MAX_UTILIZATION;
            let count = |n: usize| n.min(u32::MAX as usize) as u32;
            let live = count(standing.ready + standing.booting + standing.starting);
            // The owners of a target report its health. Without a recent report the function is left out, so
            // that the next load waits rather than proceeds as if the target were healthy.
            let (delay, refused_ratio) = match leader.function_health(now, &name) {
                None => (0.0, 0.0),
                Some(health) => health.map(|health| (health.delay, health.refused))?,
            };
            Some((
                name,
                FunctionLoad { ready: count(standing.ready), live, peak_requests, delay, refused_ratio },
            ))
        });
        let functions = functions.collect();
        // The migrator evaluates orders when it receives the state of functions, so that input comes last.
        if let Some(room) = room {
            self.drive_migrations(now, Input::FreeMemory(room));
        }
        self.drive_migrations(now, Input::Functions(functions));
    }

    /// Passes an input to the migrator and carries out its effects.
    pub(super) fn drive_migrations(&mut self, now: Nanos, input: Input) {
        let at = self.migrations.at(now);
        self.migrations.migrator.input(at, input);
        for effect in self.migrations.migrator.take_effects() {
            match effect {
                Effect::ReadRecord(ask) => self.start_round(
                    now,
                    Operation::Read,
                    Key::Migrations,
                    RoundPurpose::MigrationRecord(ask),
                ),
                Effect::Write { ask, value: Value { version, content }, expected_version } => {
                    self.start_round(
                        now,
                        Operation::Propose { version, content, expected_version },
                        Key::Migrations,
                        RoundPurpose::MigrationRecord(ask),
                    );
                }
                Effect::ReadConfig => self.pass_chosen_config(now),
                Effect::OrderFailure(id, why) => self.answer(id, Err(order_error(why))),
                Effect::Publish(published) => match published.action() {
                    Action::Put { name, revision, base, text } => {
                        log::info!("migration {name}: proposing configuration {revision} over {base:?}");
                        match self.prepare_put(text, *base) {
                            Ok(kind) => self.start_round(
                                now,
                                kind,
                                Key::Config,
                                RoundPurpose::MigrationConfig(*revision),
                            ),
                            Err(e) => {
                                log::error!("migration {name}: cannot propose configuration {revision}: {e}")
                            }
                        }
                    }
                    Action::Warm { service, count } => {
                        if let Some(leader) = self.leadership.leader_mut() {
                            leader.set_min_instances(now, service, *count);
                        }
                    }
                    Action::Answer(answer) => {
                        let reply = match &answer.result {
                            OrderResult::Accepted(step) => {
                                let body = object([("step", text(step))]).stringify().unwrap_or_default();
                                Ok(Reply::json(StatusCode::OK, body))
                            }
                            OrderResult::Refused(all) => {
                                Err(CallError::Refused(all.iter().map(ToString::to_string).collect()))
                            }
                        };
                        self.answer(answer.order, reply);
                    }
                },
            }
        }
    }

    /// Passes on the result of reading or writing the record.
    pub(super) fn on_migration_record(&mut self, now: Nanos, ask: u64, outcome: Result<Outcome, CallError>) {
        let outcome = outcome.unwrap_or(Outcome::Indeterminate(FailureReason::NoMajority));
        self.drive_migrations(now, Input::Record(ask, outcome));
    }

    /// Passes on that the put of a migration's configuration has ended. `chosen` is the configuration that is
    /// now chosen, `None` if that is unknown.
    pub(super) fn on_migration_config(&mut self, now: Nanos, number: u64, chosen: Option<Value>) {
        if let Some(value) = chosen {
            self.install_config(now, &value);
        }
        self.drive_migrations(now, Input::PutFinished(number));
    }

    /// Passes the chosen configuration to the migrator, as far as it is known here.
    pub(super) fn pass_chosen_config(&mut self, now: Nanos) {
        if !self.migrations.migrator.is_busy() {
            return;
        }
        let text = self.gossip.chosen().and_then(|content| api::config_text(content));
        let (Some(text), Some(config)) = (text, self.feed.config()) else { return };
        let chosen = ActiveConfig { config: config.clone(), text: text.into_owned().into() };
        self.drive_migrations(now, Input::ActiveConfig(chosen));
    }

    /// Returns the state of migrations for operators.
    pub(super) fn migrations_reply(&self, now: Nanos, query: Option<&str>) -> Result<Reply, CallError> {
        let name = match query.unwrap_or_default().split_once('=') {
            None if query.unwrap_or_default().is_empty() => None,
            Some(("name", name)) => {
                let name = percent_decode_str(name).decode_utf8();
                Some(name.map_err(|_| CallError::Invalid("name: is no UTF-8".to_owned()))?.into_owned())
            }
            _ => return Err(CallError::Invalid("the query: name, or nothing".to_owned())),
        };
        if self.leadership.leader().is_none() {
            return Err(CallError::NotLeader);
        }
        let status = self
            .migrations
            .migrator
            .status(self.migrations.at(now), name.as_deref())
            .ok_or(CallError::Unclear)?;
        Ok(Reply::json(StatusCode::OK, millpost_config::values::write(&status)))
    }
}
