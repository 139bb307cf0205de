//! The interface of the decision module: what goes in, what comes out. No decisions are made here.
//!
//! Times are whole nanoseconds of one clock of the caller's that never goes back; its origin is free.

use std::sync::Arc;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// A message, as the caller numbers it. No id is used twice in the life of a `Control`.
pub type MsgId = u64;
/// An endpoint, as the caller numbers it. A replacement machine gets a new id.
pub type EndpointId = u64;
/// A destination: the partner system that a message is for.
pub type DestId = u64;

/// What a repeated delivery of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// The destination drops repeats for `window` after the earliest attempt that may have run.
    Keyed {
        /// How long the key is remembered, from the sending of that attempt.
        window: Nanos,
        /// Only endpoints of the same zone share the memory (otherwise all of the destination do).
        zone_only: bool,
    },
    /// A second effect is never acceptable.
    Unsafe,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Class {
    /// Full worth is earned within this time of first being handed in.
    pub aim: Nanos,
    /// After this time the message is given up.
    pub deadline: Nanos,
    /// Worth of one message.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// Messages with the same key go one at a time, in the order taken.
    pub in_order: bool,
    /// Nothing new is of it: it is here for the messages that still are.
    pub retired: bool,
}

/// A tenant that shares the service.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Tenant {
    /// Messages a second, over all dispatchers, that count in full; 0 where there is no bound.
    pub quota_per_s: f64,
}

/// What is known of a kind of destination.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Kind {
    /// Messages that one call may carry.
    pub bundle: usize,
    /// The endpoints are routes apart, each with its own limit, waits and outages.
    pub apart: bool,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LateDecay {
    /// Evenly, down to `late_worth` at the deadline.
    Even,
    /// By half with each further aim, not under `late_worth`.
    Halves,
}

/// What the weight of a listed endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Weights {
    /// Nothing.
    Unknown,
    /// Calls a second that the destination (or route) takes from all dispatchers together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// What a dispatcher may do.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Permissions {
    /// Probe an endpoint.
    pub probes: bool,
    /// Send notes to other dispatchers.
    pub notes: bool,
    /// Call off an attempt.
    pub cancel: bool,
    /// Tell the client how long to stay away with a refusal.
    pub retry_after: bool,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Rules {
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Nanos,
    /// Sends to a draining or gone endpoint must cease within this time.
    pub drain_grace: Nanos,
    /// Share of its capacity that a destination has right after an outage, at least.
    pub cold_from: f64,
    /// It has all of it after this time.
    pub cold: Nanos,
    /// Sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long, a cold destination falls over.
    pub fall: Nanos,
    /// A key rests this long after an attempt that may still be running.
    pub key_rest: Nanos,
}

/// All that a dispatcher is told at start.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Settings {
    /// Own number among the dispatchers, from 0.
    pub me: usize,
    /// How many dispatchers there are.
    pub dispatchers: usize,
    /// The classes; messages name them by position.
    pub classes: Vec<Class>,
    /// The tenants, if any; messages name them by position.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its tenant's quota, as a share of its class's.
    pub over_share_worth: f64,
    /// The kinds of destination; endpoints name them by position.
    pub kinds: Vec<Kind>,
    /// How worth falls after the aim.
    pub late: LateDecay,
    /// Calls that may be out at once.
    pub slots: usize,
    /// Messages that may be held, those with an attempt out included.
    pub hold: usize,
    /// Most attempts for one message.
    pub try_limit: u32,
    /// Shortest time between two batches of events.
    pub tick: Nanos,
    /// Time that a connection may take to be established.
    pub connect_timeout: Nanos,
    /// Idle connections are closed after this time.
    pub keepalive: Nanos,
    /// Calls that one connection carries at once.
    pub streams: usize,
    /// Longest wait that a refused client heeds.
    pub max_retry_after: Nanos,
    /// Permissions.
    pub allow: Permissions,
    /// Figures of the rules.
    pub rules: Rules,
    /// Meaning of the weights in the list.
    pub weights: Weights,
    /// Changes of the list come only after `Action::Subscribe`.
    pub subscribe: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Delivered.
    Served,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen, with the time to wait if one was told; never ran.
    Full(Option<Nanos>),
    /// No answer in time; it may have run, or still do so.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// It was not sent; never ran, but counts as an attempt.
    NotSent,
    /// It was not sent, since the message has had all its attempts; never ran, and none is left.
    Exhausted,
}

impl Outcome {
    /// The outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Exhausted)
    }
    /// The attempt may still be running at the destination.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// A load report that came with an answer.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Share of the destination's allowance that is left.
    pub share_left: f64,
    /// Its limit, in calls a second; 0 where there is none.
    pub limit: f64,
}

/// What a dispatcher may send to a destination, of what all may send together.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateShare {
    /// Calls a second, until `until`.
    pub rate: f64,
    /// When some of it, which is borrowed, is another's again.
    pub until: Nanos,
    /// Calls a second from then on.
    pub after: f64,
}

impl RateShare {
    /// Calls a second at this time.
    pub fn rate_at(&self, now: Nanos) -> f64 {
        if now < self.until { self.rate } else { self.after }
    }
    /// Calls that may go at once: what a tenth of a second brings, and one at least.
    pub fn burst(&self) -> f64 {
        (self.rate / 10.0).max(1.0)
    }
}

/// State of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// Listed; says nothing of its health.
    Ready,
    /// Nothing new may go there.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// The destination that it belongs to.
    pub dest: DestId,
    /// Its state.
    pub state: State,
    /// Its weight, see [`Weights`].
    pub weight: f64,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new message was taken.
    Message {
        /// Its id.
        id: MsgId,
        /// Its class.
        class: usize,
        /// Its tenant, where there are any.
        tenant: Option<usize>,
        /// What it is about, for classes that keep an order.
        key: Option<u64>,
        /// Its destination.
        dest: DestId,
        /// Time until it is given up.
        time_left: Nanos,
    },
    /// A message that this dispatcher had taken before it was restarted, as its journal tells.
    Restored {
        /// Its id.
        id: MsgId,
        /// Its class.
        class: usize,
        /// What it is about, for classes that keep an order.
        key: Option<u64>,
        /// Its destination.
        dest: DestId,
        /// When it is given up; may have passed.
        deadline: Nanos,
        /// Attempts so far.
        attempts: u32,
        /// When the first of them went; meaningless without any.
        first_sent: Nanos,
        /// When the earliest attempt went that may have run, and the zone that it went to. An attempt that
        /// was out when the process ended is one.
        may_have_run: Option<(Nanos, usize)>,
    },
    /// The process is not the first on its journal: attempts that went before it started may still run, also
    /// of messages that nobody remembers.
    Resumed,
    /// The process ends at this time: what is not answered by then is taken up after the restart.
    Stopping {
        /// When.
        at: Nanos,
    },
    /// A streamed answer began: the attempt now belongs to the client.
    Started {
        /// The message.
        id: MsgId,
        /// The attempt, from 0.
        attempt: u32,
        /// Time since it was sent.
        took: Nanos,
    },
    /// An attempt ended. Exactly one comes for each send.
    Outcome {
        /// The message.
        id: MsgId,
        /// The attempt, from 0.
        attempt: u32,
        /// The endpoint that it went to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// The message has had its final answer.
        closed: bool,
        /// Load report, if one came.
        report: Option<Report>,
    },
    /// An endpoint asked for a wait in an answer that turned no message away.
    WaitRequested {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long, from now.
        wait: Nanos,
    },
    /// The client has withdrawn the message; nothing more is owed for it.
    Withdrawn {
        /// The message.
        id: MsgId,
    },
    /// A probe ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// Load report, if one came.
        report: Option<Report>,
    },
    /// The list of endpoints, or changes of it.
    Listed {
        /// This is the whole list: what is missing from it is gone.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// An endpoint that was out by hand is put back, and listed as ready by now; it was restarted meanwhile.
    EndpointReturned {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// New settings take the place of those before. The classes that messages are of stand where they stood.
    Settings {
        /// All of them.
        settings: Arc<Settings>,
    },
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// What this dispatcher may send to a destination from now on, whatever it knows itself; `None` lifts that.
    RateShare {
        /// The destination.
        dest: DestId,
        /// How much.
        part: Option<RateShare>,
    },
    /// Other dispatchers can't reach an endpoint, and this one has not seen otherwise.
    PeersUnreachable {
        /// The endpoint.
        endpoint: EndpointId,
        /// Until when that counts; a time that has passed lifts it.
        until: Nanos,
        /// It is avoided while there is another. Otherwise it takes one call at a time.
        avoid: bool,
    },
    /// A destination that was out for other dispatchers is back, as they say: it is cold.
    PeersSawRecovery {
        /// The destination.
        dest: DestId,
    },
    /// A note from another dispatcher.
    PeerMessage {
        /// Its number.
        from: usize,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// A wake-up that was asked for is due.
    Wake,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. Sends of one batch to one endpoint travel as one call where its kind bundles.
    Send {
        /// The message.
        id: MsgId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// Final answer: trying again is harmless.
    Refuse {
        /// The message.
        id: MsgId,
        /// How long the client should stay away; 0 for no hint.
        wait: Nanos,
    },
    /// Final answer: given up, nothing promised.
    Fail {
        /// The message.
        id: MsgId,
    },
    /// Call off an attempt.
    Cancel {
        /// The message.
        id: MsgId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a note to all other dispatchers.
    Broadcast {
        /// What to say.
        bytes: Vec<u8>,
    },
    /// Ask for changes of the list.
    Subscribe,
    /// Ask for an `Event::Wake` in the first batch at or after this time. Earlier requests still stand.
    Wake {
        /// When.
        at: Nanos,
    },
}
