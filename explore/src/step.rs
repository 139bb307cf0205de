//! What may happen in a small world, and how often.

use millpost::api::EndpointId;
use millpost_core::CallId;

/// What the world may do, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Endpoints of the one destination.
    pub endpoints: u64,
    /// Attempts for one message.
    pub tries: u32,
    /// Calls out at once.
    pub slots: usize,
    /// Messages in one call.
    pub bundle: usize,
    /// Writes last only after a sync, and a crash takes what was not synced.
    pub synced: bool,
    /// Crashes, each followed by a start.
    pub crashes: u8,
    /// Waits that a partner asks for.
    pub waits: u8,
    /// Endpoints that drain.
    pub drains: u8,
    /// Endpoints that go, and come back.
    pub losses: u8,
    /// Connections that break, or do not come up.
    pub breaks: u8,
    /// Errors and refusals without a wait.
    pub refusals: u8,
    /// Messages that are handed in again under their id.
    pub again: u8,
    /// Clients that leave before their answer.
    pub leaves: u8,
    /// Writes that fail.
    pub failing: u8,
    /// Notices that the platform takes and its word of that is lost.
    pub unheard: u8,
}

/// A class of message, by what a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kindness {
    /// Nothing.
    Safe,
    /// Nothing while its key is remembered.
    Keyed,
    /// A second effect.
    Unsafe,
}

/// What becomes of the call that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// 200.
    Served,
    /// 500, and it ran or not.
    Error {
        /// It ran.
        ran: bool,
    },
    /// 503.
    Full,
    /// 429 with a wait.
    Wait,
    /// The connection breaks before the last byte of the call.
    BreakBefore,
    /// It breaks after that, or in the answer.
    BreakAfter {
        /// It ran.
        ran: bool,
    },
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Happening {
    /// The next message is handed in; with `left` its client is gone before it hears.
    HandIn {
        /// Its client is gone.
        left: bool,
    },
    /// A message is handed in again under its id.
    Again {
        /// Which.
        message: usize,
    },
    /// The connection for a call comes up, or not.
    Connect {
        /// The call.
        call: CallId,
        /// It is up.
        up: bool,
    },
    /// What becomes of a call.
    Partner {
        /// The call.
        call: CallId,
        /// How it is answered.
        reply: Reply,
    },
    /// A call is given up, its time being over; it ran, or did not.
    GiveUp {
        /// The call.
        call: CallId,
        /// It ran.
        ran: bool,
    },
    /// An endpoint drains.
    Drain {
        /// Which.
        endpoint: EndpointId,
    },
    /// An endpoint is gone.
    Lose {
        /// Which.
        endpoint: EndpointId,
    },
    /// It is back.
    Return {
        /// Which.
        endpoint: EndpointId,
    },
    /// The platform takes a notice; its word of it comes, or is lost.
    Notice {
        /// Which, by its place among those on their way.
        place: usize,
        /// The word comes.
        heard: bool,
    },
    /// What was written so far lasts.
    Sync,
    /// The next write fails.
    FailNext,
    /// The module decides; a set bit takes the less likely side of a draw.
    Decide {
        /// The draws.
        bits: u32,
    },
    /// Nothing happens until the next thing is due.
    Time,
}

/// A happening, and the crash that comes upon it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// What happens; nothing before a crash at rest.
    pub what: Option<Happening>,
    /// The process dies after so many effects, and starts again; each call that is out ran or not, by its bit.
    pub crash: Option<(u8, u8)>,
}
