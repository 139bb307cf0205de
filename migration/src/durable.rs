//! A record that a majority has stored, and the actions that follow from it.
//!
//! Invariant, enforced by the types: a [`Published`] action is only made from a [`DurableRecord`], and a
//! [`DurableRecord`] only from a value that was read from or written to the register. So each step is durable
//! before it has any effect outside this machine.

use compact_str::CompactString;
use millpost_quorum::Value;

use crate::check::Reason;
use crate::guards::{Guard, is_disabled};
use crate::observation::ActiveConfig;
use crate::record::{Move, Record, RecordError, State};
use crate::shift::with_loads_on_target;

/// The result of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderResult {
    /// The record includes the order; the name of the move's state.
    Accepted(&'static str),
    /// The order was rejected for all of these reasons.
    Refused(Vec<Reason>),
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The identifier that came with the order.
    pub order: u64,
    /// Whether the order was accepted.
    pub result: OrderResult,
}

/// An action that follows from a durable record; see [`Published::action`].
#[derive(Clone, Debug, PartialEq)]
pub struct Published(Action);

/// An action with an effect outside the record.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write a configuration.
    Put {
        /// The name of the move.
        name: CompactString,
        /// The revision of the configuration.
        revision: u64,
        /// The revision that has to be active; `None` only in tests that drop this check.
        base: Option<u64>,
        /// The configuration, as JSON.
        text: String,
    },
    /// Keep at least this many instances of a function for as long as this action is repeated.
    Warm {
        /// The function.
        service: CompactString,
        /// The minimum number of instances.
        count: u32,
    },
    /// Answer an operator's order.
    Answer(Answer),
}

impl Published {
    /// The action to carry out.
    pub fn action(&self) -> &Action {
        &self.0
    }
}

/// The current record of moves and its version in the register.
#[derive(Clone, Debug)]
pub struct DurableRecord {
    version: u64,
    record: Record,
}

impl DurableRecord {
    /// Parses a value that was read from or written to a majority; `None` is the empty record.
    pub(crate) fn read(value: Option<&Value>) -> Result<Self, RecordError> {
        let Some(value) = value else { return Ok(Self { version: 0, record: Record::default() }) };
        Ok(Self { version: value.version, record: Record::read(&value.content)? })
    }

    /// A record that has not been written yet, to test that this is noticed; only with [`Guard::Durable`]
    /// disabled.
    #[cfg(test)]
    pub(crate) fn unwritten(version: u64, record: Record) -> Option<Self> {
        is_disabled(Guard::Durable).then_some(Self { version, record })
    }

    /// The version, which increases with each step of any move.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All moves.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The configuration to write for a move, if the base of its put is the active revision.
    pub(crate) fn put(&self, mv: &Move, active: &ActiveConfig) -> Option<Published> {
        let State::Switching(_, put) = mv.state else { return None };
        if active.config.revision != put.base && !is_disabled(Guard::Base)
            || active.config.revision >= put.revision
        {
            return None;
        }
        // This fails only if the base is not the configuration that the put was decided on.
        let text = with_loads_on_target(&active.text, &mv.route_moves, put.loads, put.revision).ok()?;
        let base = if is_disabled(Guard::Base) { None } else { Some(put.base) };
        Some(Published(Action::Put { name: mv.name.clone(), revision: put.revision, base, text }))
    }

    /// The instances to keep warm: targets, and sources in case of a rollback. Skips moves for which
    /// `is_idle` holds.
    pub(crate) fn warm(&self, is_idle: impl Fn(&Move) -> bool) -> Vec<Published> {
        let active = self.record.moves.iter().filter(|mv| mv.state.is_active() && !is_idle(mv));
        let all = active.flat_map(|mv| mv.target_instances.iter().chain(&mv.source_instances));
        all.map(|(service, count)| Published(Action::Warm { service: service.clone(), count: *count }))
            .collect()
    }

    /// The answer to an order that this record includes, or that was rejected for the given reasons.
    pub(crate) fn answer(&self, order: u64, name: &str, refused: Option<Vec<Reason>>) -> Published {
        let result = match refused {
            Some(reasons) => OrderResult::Refused(reasons),
            None => OrderResult::Accepted(self.record.find(name).map_or("unknown", |mv| mv.state.name())),
        };
        Published(Action::Answer(Answer { order, result }))
    }
}
