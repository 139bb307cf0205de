//! A record that a majority holds, and what goes outward. Invariant, in the types: an [`Published`] is made from a [`Standing`] alone, and a
//! [`Standing`] only of what the register was read to hold or has just written. So each step is durable before anybody hears of it.

use compact_str::CompactString;
use millpost_quorum::Value;

use crate::check::Reason;
use crate::guards::{Guard, is_disabled};
use crate::observation::ActiveConfig;
use crate::record::{Move, Record, RecordError, State};
use crate::shift::with_loads_on_target;

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderResult {
    /// The record has it; how far the move is.
    Accepted(&'static str),
    /// It can't be, for all of these reasons.
    Refused(Vec<Reason>),
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The order's number.
    pub order: u64,
    /// What its operator is told.
    pub result: OrderResult,
}

/// What goes outward; see [`Published::is`].
#[derive(Clone, Debug, PartialEq)]
pub struct Published(Action);

/// The kinds of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// This configuration is to be put under this number, over exactly this revision.
    Put {
        /// The move.
        name: CompactString,
        /// Its revision.
        revision: u64,
        /// What has to stand.
        base: Option<u64>,
        /// The configuration.
        text: String,
    },
    /// A function has at least so many instances until nothing is said of it any more.
    Warm {
        /// The function.
        service: CompactString,
        /// Instances.
        count: u32,
    },
    /// An operator is told.
    Answer(Answer),
}

impl Published {
    /// What it is.
    pub fn action(&self) -> &Action {
        &self.0
    }
}

/// The record of moves as it stands, and its version.
#[derive(Clone, Debug)]
pub struct DurableRecord {
    version: u64,
    record: Record,
}

impl DurableRecord {
    /// Of what a majority was read to hold.
    pub(crate) fn read(value: Option<&Value>) -> Result<Self, RecordError> {
        let Some(value) = value else { return Ok(Self { version: 0, record: Record::default() }) };
        Ok(Self { version: value.version, record: Record::read(&value.content)? })
    }

    /// Not durable at all.
    #[cfg(test)]
    pub(crate) fn unwritten(version: u64, record: Record) -> Option<Self> {
        is_disabled(Guard::Durable).then_some(Self { version, record })
    }

    /// The version: it goes up with each step of any move.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The moves.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The configuration that is to be put for a move, where its base stands.
    pub(crate) fn put(&self, of: &Move, stands: &ActiveConfig) -> Option<Published> {
        let State::Switching(_, put) = of.state else { return None };
        if stands.config.revision != put.base && !is_disabled(Guard::Base)
            || stands.config.revision >= put.revision
        {
            return None;
        }
        // One that can't be made can't have been made by who wrote the put either: the base says otherwise than it did.
        let text = with_loads_on_target(&stands.text, &of.route_moves, put.loads, put.revision).ok()?;
        let base = if is_disabled(Guard::Base) { None } else { Some(put.base) };
        Some(Published(Action::Put { name: of.name.clone(), revision: put.revision, base, text }))
    }

    /// What is to be warm: the targets, and the sources for the way back, but for moves that rest.
    pub(crate) fn warm(&self, rests: impl Fn(&Move) -> bool) -> Vec<Published> {
        let out = self.record.moves.iter().filter(|of| of.state.is_active() && !rests(of));
        let all = out.flat_map(|of| of.target_instances.iter().chain(&of.source_instances));
        all.map(|(service, count)| Published(Action::Warm { service: service.clone(), count: *count }))
            .collect()
    }

    /// The answer to an order that this record has, or that it can't have.
    pub(crate) fn answer(&self, order: u64, name: &str, refused: Option<Vec<Reason>>) -> Published {
        let result = match refused {
            Some(reasons) => OrderResult::Refused(reasons),
            None => OrderResult::Accepted(self.record.find(name).map_or("unknown", |of| of.state.name())),
        };
        Published(Action::Answer(Answer { order, result }))
    }
}
