//! A record that a majority holds, and what goes outward. Invariant, in the types: an [`Published`] is made from a [`Standing`] alone, and a
//! [`Standing`] only of what the register was read to hold or has just written. So each step is durable before anybody hears of it.

use compact_str::CompactString;
use millpost_quorum::Value;

use crate::check::Reason;
use crate::observation::Stands;
use crate::plant::{Guard, is_out};
use crate::record::{BadRecord, Move, Record, State};
use crate::shift::shifted;

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// The record has it; how far the move is.
    Stands(&'static str),
    /// It can't be, for all of these reasons.
    Refused(Vec<Reason>),
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The order's number.
    pub order: u64,
    /// What its operator is told.
    pub said: Said,
}

/// What goes outward; see [`Published::is`].
#[derive(Clone, Debug, PartialEq)]
pub struct Published(Kind);

/// The kinds of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// This configuration is to be put under this number, over exactly this revision.
    Put {
        /// The move.
        name: CompactString,
        /// Its revision.
        number: u64,
        /// What has to stand.
        over: Option<u64>,
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
    pub fn is(&self) -> &Kind {
        &self.0
    }
}

/// The record of moves as it stands, and its version.
#[derive(Clone, Debug)]
pub struct Standing {
    version: u64,
    record: Record,
}

impl Standing {
    /// Of what a majority was read to hold.
    pub(crate) fn read(value: Option<&Value>) -> Result<Self, BadRecord> {
        let Some(value) = value else { return Ok(Self { version: 0, record: Record::default() }) };
        Ok(Self { version: value.version, record: Record::read(&value.content)? })
    }

    /// Not durable at all.
    #[cfg(test)]
    pub(crate) fn planted(version: u64, record: Record) -> Option<Self> {
        is_out(Guard::Durable).then_some(Self { version, record })
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
    pub(crate) fn put(&self, of: &Move, stands: &Stands) -> Option<Published> {
        let State::Switching(_, put) = of.state else { return None };
        if stands.config.revision != put.over && !is_out(Guard::Base) || stands.config.revision >= put.number
        {
            return None;
        }
        // One that can't be made can't have been made by who wrote the put either: the base says otherwise than it did.
        let text = shifted(&stands.text, &of.hauls, put.load, put.number).ok()?;
        let over = if is_out(Guard::Base) { None } else { Some(put.over) };
        Some(Published(Kind::Put { name: of.name.clone(), number: put.number, over, text }))
    }

    /// What is to be warm: the targets, and the sources for the way back, but for moves that rest.
    pub(crate) fn warm(&self, rests: impl Fn(&Move) -> bool) -> Vec<Published> {
        let out = self.record.moves.iter().filter(|of| of.state.out() && !rests(of));
        let all = out.flat_map(|of| of.needs.iter().chain(&of.keeps));
        all.map(|(service, count)| Published(Kind::Warm { service: service.clone(), count: *count }))
            .collect()
    }

    /// The answer to an order that this record has, or that it can't have.
    pub(crate) fn answer(&self, order: u64, name: &str, refused: Option<Vec<Reason>>) -> Published {
        let said = match refused {
            Some(reasons) => Said::Refused(reasons),
            None => Said::Stands(self.record.named(name).map_or("unknown", |of| of.state.word())),
        };
        Published(Kind::Answer(Answer { order, said }))
    }
}
