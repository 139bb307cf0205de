//! What is recorded.

use millpost_tier::versions::{ActiveVersions, Kind};
use serde::{Deserialize, Serialize};

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It was delivered.
    Delivered,
    /// Given up; nothing is promised.
    Failed,
    /// Trying again is harmless.
    Refused,
    /// Its client had left before it heard that it was taken on: it is as if it had not been.
    Void,
}

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes calls.
    InService,
    /// The list takes it out.
    Draining,
    /// The list has it no more.
    Gone,
    /// The staff took it out, here or at another dispatcher.
    Cordoned,
    /// Another dispatcher was told that it drains.
    Held,
}

/// A record. Numbers of messages, endpoints and standings are those of one segment, in the order in which they are named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The next standing.
    Standing(Box<ActiveVersions>),
    /// The next endpoint: what it is known by, and its destination.
    Endpoint(u64, u64),
    /// The next message, which was taken on before this segment.
    Message([u8; 8]),
    /// The next message is taken on.
    Taken {
        /// What it is known by.
        message: [u8; 8],
        /// The standing that this was decided on.
        standing: u32,
    },
    /// A call is written.
    Attempt {
        /// Of this message.
        message: u32,
        /// To this endpoint.
        endpoint: u32,
        /// Decided on this standing.
        standing: u32,
        /// So many milliseconds ago.
        ago: u32,
    },
    /// A message has its final answer.
    Ended {
        /// The message.
        message: u32,
        /// What it is.
        end: End,
        /// The standing that this was decided on.
        standing: u32,
    },
    /// A message is not taken on.
    Refused {
        /// What it is known by.
        message: [u8; 8],
        /// The standing that this was decided on.
        standing: u32,
        /// The time to return that was told, milliseconds.
        wait_ms: u32,
    },
    /// An endpoint is so from now on.
    State {
        /// The endpoint.
        endpoint: u32,
        /// How.
        state: State,
    },
    /// A list was taken in: whole, or as changes of the one before.
    Listed {
        /// Whole.
        whole: bool,
    },
    /// What may be sent to a destination from now on.
    Part {
        /// The destination.
        dest: u64,
        /// In parts of [`millpost_tier::lending::WHOLE`]; `u32::MAX` for no bound.
        part: u32,
        /// Until then, milliseconds from now; 0 where it has no end.
        until_ms: u32,
        /// And from then on.
        after: u32,
        /// What the destination takes a second from all, in thousandths of a call.
        limit: u64,
    },
    /// A part was lent, or borrowed.
    Loan {
        /// Of this destination.
        dest: u64,
        /// To whom, or from whom.
        peer: u16,
        /// Lent.
        lent: bool,
        /// How much.
        part: u32,
        /// It ends at the latest then, milliseconds from now.
        until_ms: u32,
        /// Under which epoch of the other.
        epoch: u32,
        /// The standing that this was decided on.
        standing: u32,
    },
    /// No new messages are taken, since this is behind; or they are again.
    Service(Option<Kind>),
    /// A round of one's own, by which others know how far one has lived.
    Beat {
        /// Its epoch.
        epoch: u32,
        /// Its number.
        beat: u32,
    },
    /// A round of another's was heard of, from itself.
    Heard {
        /// Whose.
        peer: u16,
        /// See [`Entry::Beat`].
        epoch: u32,
        /// See there.
        beat: u32,
    },
    /// So many records could not be written.
    Lost(u64),
    /// The process ends in order.
    Ends,
}

impl Entry {
    /// It says on which standing something was decided.
    pub fn is_decision(&self) -> bool {
        matches!(
            self,
            Entry::Taken { .. }
                | Entry::Attempt { .. }
                | Entry::Ended { .. }
                | Entry::Refused { .. }
                | Entry::Loan { .. }
        )
    }
}

/// Who writes a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Its number.
    pub number: u16,
    /// Of how many.
    pub of: u16,
    /// Its name.
    pub name: String,
    /// Its life.
    pub incarnation: u32,
    /// Nothing new goes to an endpoint so long after its drain is told, milliseconds.
    pub drain_ms: u32,
}

/// How a segment begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Who writes.
    pub author: Author,
    /// Records before it, in the life of the folder, those that are out by now included.
    pub first: u64,
    /// When.
    pub at: u64,
    /// It is the first of a process.
    pub begins: bool,
}
