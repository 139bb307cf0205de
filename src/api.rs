//! The interface of the decision library: settings, events and actions. No decisions are made here.
//!
//! All times are in nanoseconds of one monotonic clock of the caller's, with any origin.

use std::sync::Arc;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// A message, numbered by the caller. An id is never reused during the lifetime of a `Control`.
pub type MsgId = u64;
/// An endpoint, numbered by the caller. A replacement machine gets a new id.
pub type EndpointId = u64;
/// A destination: the partner system that a message is addressed to.
pub type DestId = u64;

/// The effect of a repeated delivery of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// The destination ignores repeats for `window` after the earliest attempt that may have run.
    Keyed {
        /// How long the key is remembered, counted from the send time of that attempt.
        window: Nanos,
        /// Only endpoints of the same zone share the memory; otherwise all of the destination do.
        zone_only: bool,
    },
    /// A repeat is never acceptable.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Class {
    /// Latency target: delivery within this time of submission earns the full worth.
    pub aim: Nanos,
    /// The message is abandoned after this time.
    pub deadline: Nanos,
    /// Worth of one message.
    pub worth: f64,
    /// Share of the worth that remains at the deadline.
    pub late_worth: f64,
    /// The effect of a repeat.
    pub effect: Effect,
    /// Messages with the same key are sent one at a time, in the order of their acceptance.
    pub in_order: bool,
    /// New messages no longer use this class; it is kept for messages that still do.
    pub retired: bool,
}

/// A tenant that shares the service.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Tenant {
    /// Messages a second, over all dispatchers, that count in full; 0 for no limit.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Kind {
    /// Most messages in one call.
    pub bundle: usize,
    /// The endpoints are independent routes, each with its own limit, waits and outages.
    pub apart: bool,
}

/// How the worth of a message decreases after its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LateDecay {
    /// Linearly, to `late_worth` at the deadline.
    Even,
    /// Halved with each further latency target that passes, but not below `late_worth`.
    Halves,
}

/// Meaning of the weight of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Weights {
    /// None.
    Unknown,
    /// Calls a second that the destination (or route) accepts from all dispatchers together.
    Nominal,
    /// As `Nominal`, but up to 50 % too high or too low.
    Rough,
}

/// Optional actions that a dispatcher supports.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Permissions {
    /// Probe an endpoint.
    pub probes: bool,
    /// Send messages to other dispatchers.
    pub notes: bool,
    /// Cancel an attempt.
    pub cancel: bool,
    /// Include a wait for the client in a refusal.
    pub retry_after: bool,
}

/// Parameters of the rules.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Rules {
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Nanos,
    /// No sends to a draining or removed endpoint later than this after the change.
    pub drain_grace: Nanos,
    /// Least share of its capacity that a destination has right after an outage.
    pub cold_from: f64,
    /// Time after an outage until the destination has its full capacity.
    pub cold: Nanos,
    /// A cold destination fails again if it is sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall: Nanos,
    /// After an attempt that may still be running, its key is not used again for this long.
    pub key_rest: Nanos,
}

/// Settings of a dispatcher.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Settings {
    /// Index of this dispatcher, from 0.
    pub me: usize,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// The classes; messages refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants, if any; messages refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its tenant's quota, relative to that of its class.
    pub over_share_worth: f64,
    /// The kinds of destination; endpoints refer to them by index.
    pub kinds: Vec<Kind>,
    /// How the worth decreases after the latency target.
    pub late: LateDecay,
    /// Most calls in flight.
    pub slots: usize,
    /// Most messages without a final answer, including those with an attempt in flight.
    pub hold: usize,
    /// Most attempts per message.
    pub try_limit: u32,
    /// Shortest time between two batches of events.
    pub tick: Nanos,
    /// Time-out for establishing a connection.
    pub connect_timeout: Nanos,
    /// Idle connections are closed after this time.
    pub keepalive: Nanos,
    /// Most concurrent calls on one connection.
    pub streams: usize,
    /// Longest wait that a refused client honors.
    pub max_retry_after: Nanos,
    /// Optional actions that are supported.
    pub allow: Permissions,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// The list is updated only after `Action::Subscribe`.
    pub subscribe: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Delivered.
    Served,
    /// The destination answered with an error; the attempt may have run.
    Error,
    /// Refused unprocessed, with the requested wait if there was one; never ran.
    Full(Option<Nanos>),
    /// No answer in time; the attempt may have run or may still be running.
    TimedOut,
    /// No connection was established; never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// Cancelled; the attempt may have run.
    Cancelled,
    /// Not sent; never ran, but counts as an attempt.
    NotSent,
    /// Not sent, since the message had used up its attempts; never ran, and none is left.
    Exhausted,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full(_) | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Exhausted)
    }
    /// Whether the attempt may still be running at the destination.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// A load report from an answer.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Share of the destination's allowance that is left.
    pub share_left: f64,
    /// Its limit, in calls a second; 0 for none.
    pub limit: f64,
}

/// A dispatcher's share of the rate at which all dispatchers together may send to a destination.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateShare {
    /// Calls a second, until `until`.
    pub rate: f64,
    /// When the borrowed part of the share expires.
    pub until: Nanos,
    /// Calls a second from then on.
    pub after: f64,
}

impl RateShare {
    /// Calls a second at this time.
    pub fn rate_at(&self, now: Nanos) -> f64 {
        if now < self.until { self.rate } else { self.after }
    }
    /// Most calls in a burst: those of a tenth of a second, and at least one.
    pub fn burst(&self) -> f64 {
        (self.rate / 10.0).max(1.0)
    }
}

/// State of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// Listed; implies nothing about its health.
    Ready,
    /// Must not be sent new attempts.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its destination.
    pub dest: DestId,
    /// Its state.
    pub state: State,
    /// Its weight, see [`Weights`].
    pub weight: f64,
}

/// An event that the caller reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new message was accepted.
    Message {
        /// Its id.
        id: MsgId,
        /// Its class.
        class: usize,
        /// Its tenant, if there are tenants.
        tenant: Option<usize>,
        /// Its ordering key, for classes that keep an order.
        key: Option<u64>,
        /// Its destination.
        dest: DestId,
        /// Time until its deadline.
        time_left: Nanos,
    },
    /// A message accepted before a restart of this dispatcher, as recorded in the journal.
    Restored {
        /// Its id.
        id: MsgId,
        /// Its class.
        class: usize,
        /// Its ordering key, for classes that keep an order.
        key: Option<u64>,
        /// Its destination.
        dest: DestId,
        /// Its deadline; may have passed.
        deadline: Nanos,
        /// Attempts so far.
        attempts: u32,
        /// Send time of the first attempt; meaningless without any.
        first_sent: Nanos,
        /// Send time and zone of the earliest attempt that may have run. An attempt that was in flight when
        /// the process ended may have run.
        may_have_run: Option<(Nanos, usize)>,
    },
    /// The process has taken over an existing journal: attempts sent before it started may still be running,
    /// also of messages that are no longer in the journal.
    Resumed,
    /// The process exits at this time; messages without an answer by then are restored after the restart.
    Stopping {
        /// The time.
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
    /// An attempt ended. Exactly one such event follows each send.
    Outcome {
        /// The message.
        id: MsgId,
        /// The attempt, from 0.
        attempt: u32,
        /// Its endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// The message has its final answer.
        closed: bool,
        /// Load report, if one came.
        report: Option<Report>,
    },
    /// An endpoint requested a wait in an answer that refused no message.
    WaitRequested {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long, from now.
        wait: Nanos,
    },
    /// The client has withdrawn the message; no answer is needed.
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
    /// The list of endpoints, or changes to it.
    Listed {
        /// The list is complete: endpoints missing from it are gone.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// An endpoint that an operator had taken out of service is listed as ready again; it was restarted
    /// meanwhile.
    EndpointReturned {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// New settings replace the current ones. Classes of existing messages keep their index.
    Settings {
        /// The new settings.
        settings: Arc<Settings>,
    },
    /// Requesting the list failed, or the subscription broke.
    ListFailed,
    /// Limits what this dispatcher may send to a destination, in place of its own estimate; `None` removes
    /// the limit.
    RateShare {
        /// The destination.
        dest: DestId,
        /// The share.
        part: Option<RateShare>,
    },
    /// Other dispatchers cannot reach an endpoint, and this one has not seen otherwise.
    PeersUnreachable {
        /// The endpoint.
        endpoint: EndpointId,
        /// Until when the report applies; a time in the past withdraws it.
        until: Nanos,
        /// Whether to prefer other endpoints. Otherwise the endpoint takes one call at a time.
        avoid: bool,
    },
    /// Other dispatchers report that a destination has recovered from an outage: it is cold.
    PeersSawRecovery {
        /// The destination.
        dest: DestId,
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Index of the sender.
        from: usize,
        /// The contents.
        bytes: Vec<u8>,
    },
    /// A requested wake-up is due.
    Wake,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. Sends of one batch to the same endpoint share a call if its kind allows bundles.
    Send {
        /// The message.
        id: MsgId,
        /// Its endpoint.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// Final answer: refused; resubmitting is harmless.
    Refuse {
        /// The message.
        id: MsgId,
        /// How long the client should wait; 0 for no hint.
        wait: Nanos,
    },
    /// Final answer: abandoned; it may or may not have been delivered.
    Fail {
        /// The message.
        id: MsgId,
    },
    /// Cancel an attempt.
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
    /// Send a message to all other dispatchers.
    Broadcast {
        /// The contents.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Request an `Event::Wake` in the first batch at or after this time. Earlier requests remain in effect.
    Wake {
        /// The time.
        at: Nanos,
    },
}
