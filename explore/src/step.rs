//! What may happen in a small world, and how often.

use millpost::api::EndpointId;
use millpost_core::CallId;
use serde::{Deserialize, Serialize};

/// What the world may do, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    /// Calls that were given up, or broke, and take effect only afterwards.
    pub lates: u8,
    /// Changes of the process: a new one takes the work over, the old one finishes its calls.
    #[serde(default)]
    pub changes: u8,
}

/// A class of message, by what a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kindness {
    /// Nothing.
    Safe,
    /// Nothing while its key is remembered.
    Keyed,
    /// A second effect.
    Unsafe,
    /// Nothing; but messages of this class are about the same and go one at a time, in the order taken.
    InOrder,
    /// The same, and a second effect.
    InOrderOnce,
}

impl Kindness {
    /// A second effect is never acceptable.
    pub fn once(self) -> bool {
        matches!(self, Kindness::Unsafe | Kindness::InOrderOnce)
    }
    /// Messages keep their order.
    pub fn in_order(self) -> bool {
        matches!(self, Kindness::InOrder | Kindness::InOrderOnce)
    }
}

/// Whether a call that has no answer took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ran {
    /// It never ran.
    Never,
    /// It did.
    Before,
    /// It still runs, and takes effect before the time that keys rest is over, or not at all.
    Still,
}

/// What becomes of the call that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
        ran: Ran,
    },
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
        ran: Ran,
    },
    /// A call that was over takes effect.
    Late {
        /// Which, by its place among those that still run.
        place: usize,
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
    /// A new process takes the work over; the old one finishes the calls that it has written.
    Change,
    /// The old process dies with the calls that it has left.
    Gone {
        /// What became of them, as in [`Crash::ran`].
        ran: u16,
    },
    /// What was written so far lasts.
    Sync,
    /// The next write fails.
    FailNext,
    /// The module decides.
    Decide,
    /// Nothing happens until the next thing is due.
    Time,
}

/// A happening, and the crash that comes upon it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// What happens; nothing before a crash at rest.
    pub what: Option<Happening>,
    /// How the module's draws fall: a set bit takes the greatest number, another the least, the lowest bit first.
    pub bits: u32,
    /// The process dies, and starts again.
    pub crash: Option<Crash>,
}

/// A crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// It comes after so many effects of what happened.
    pub after: u8,
    /// What became of the calls that were out, two bits for each, the first in the lowest.
    pub ran: u16,
}

impl Crash {
    /// Calls whose fate there is room for; no more are out at once in any world here.
    pub const MOST: usize = 8;

    /// What became of the call at this place.
    pub fn of(self, place: usize) -> Ran {
        match self.ran >> (2 * place.min(Self::MOST - 1)) & 3 {
            0 => Ran::Never,
            1 => Ran::Before,
            _ => Ran::Still,
        }
    }

    /// Every way in which so many calls may have fared, where no more than `lates` of them may still run.
    pub fn all(after: u8, calls: usize, lates: u8) -> impl Iterator<Item = Crash> {
        let calls = calls.min(Self::MOST);
        (0..1_u32 << (2 * calls)).filter_map(move |ran| {
            let digits = (0..calls).map(|n| ran >> (2 * n) & 3);
            let still = digits.clone().filter(|d| *d == 2).count();
            (digits.clone().all(|d| d < 3) && still <= usize::from(lates))
                .then_some(Crash { after, ran: ran as u16 })
        })
    }
}
