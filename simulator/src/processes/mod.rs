//! The I/O layer of each daemon, reimplemented on the simulated network, with one type per program. Decisions
//! are left to the production state machines.
//!
//! Invariant: a process handles a [`ProcessInput`] at a given time and returns [`ProcessOutput`]s. It does no
//! I/O and reads no clock.

mod agent;
mod controller;
mod outbox;
mod parse_cache;
mod proxy;
mod voter;

pub use agent::AgentProcess;
pub use controller::{ControllerProcess, Rates};
pub use parse_cache::ParseCache;
pub use proxy::ProxyProcess;
pub use voter::{Disk, VoterProcess};

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use millpost_autoscaler::{Endpoint, StartFault, StopFault, Worker};
use millpost_net::idle_connections::{ConnectionId, UsedConnections};
use millpost_protocol::{PeerMessage, object, text};
use millpost_quorum::Message;
use millpost_scheduler::Outcome;
use tinyjson::JsonValue;

use crate::Time;
use crate::mutation::Mutation;
use crate::record::Recordings;

/// Payload of a request to a process or to the platform, or of the response.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Clone, Debug)]
pub enum Payload {
    /// `POST /mail`, or a response that carries messages.
    Messages { from: CompactString, incarnation: u64, messages: Vec<PeerMessage> },
    /// Success without a body.
    Taken,
    /// An error status.
    Refused(u16),
    /// `POST /core/vote`.
    Vote { from: CompactString, message: Message },
    /// Response of a voter; `None` if it does not respond.
    Voted(Option<Message>),
    /// `POST /core/news`.
    Gossip(Bytes),
    /// `GET /core/chosen`.
    StoredConfig,
    /// Success with a body.
    Body(Bytes),
    /// `POST /Config.Replace`.
    Replace(Arc<str>),
    /// `POST /core/drains`.
    Drain(Arc<str>),
    /// `GET /Config.Read`.
    Read,
    /// `POST /follow`.
    Follow { from: CompactString, incarnation: u64, messages: Vec<PeerMessage>, whole: bool },
    /// `GET /endpoints`, starting at this entry.
    List { from: usize },
    /// One page of the list, and where the next page starts.
    Listed { entries: Vec<Endpoint>, next: Option<usize> },
    /// `GET /workers`.
    Workers,
    /// Its response.
    WorkerList(Vec<Worker>),
    /// `POST /start`.
    Start { service: CompactString, worker: CompactString, nonce: CompactString },
    /// Its response.
    Started(Result<(CompactString, SocketAddr), StartFault>),
    /// `POST /stop`.
    Stop { id: CompactString },
    /// Its response.
    Stopped(Result<(), StopFault>),
}

/// A client request as a proxy reads it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client's id of this attempt.
    pub attempt: u64,
    /// Host name.
    pub host: CompactString,
    /// Request path.
    pub path: CompactString,
    /// Remaining time until the client's deadline.
    pub left: Time,
}

/// Result of an exchange with an endpoint, as seen on the connection.
#[derive(Clone, Debug)]
pub struct Exchanged {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether any part of the request may have reached the endpoint.
    pub sent: bool,
    /// Whether the connection was refused.
    pub refused: bool,
    /// Status and seal of the endpoint's response.
    pub answer: Option<(u16, u64)>,
}

/// Input of a process.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Debug)]
pub enum ProcessInput {
    /// The requested wake-up time has come.
    Tick,
    /// An incoming call, answered by [`ProcessOutput::Reply`].
    Call { call: u64, payload: Payload },
    /// Response to an outgoing call; `None` if it failed.
    Answer { id: u64, payload: Option<Payload> },
    /// A line of a feed that this process follows.
    Line { feed: u64, line: Bytes },
    /// A feed was closed by either side.
    Ended { feed: u64 },
    /// A client request.
    Request { client: u64, request: Request },
    /// A client closed its connection.
    Gone { client: u64 },
    /// An exchange with an endpoint ended.
    Exchanged { id: u64, connection: ConnectionId, done: Exchanged },
    /// Whether an instance accepts connections.
    ReadinessProbed { id: CompactString, up: bool },
    /// The settings file was reloaded and names these seeds.
    Seeds(Vec<CompactString>),
    /// SIGTERM.
    Leave,
}

/// Output of a process.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Debug)]
pub enum ProcessOutput {
    /// Call another process, with the time-out `within`.
    Call { id: u64, to: CompactString, payload: Payload, within: Time },
    /// Respond to a call.
    Reply { call: u64, payload: Payload },
    /// Respond to a call at the time `at`, once the write it depends on is synced.
    ReplyAt { call: u64, payload: Payload, at: Time },
    /// Open a feed from a controller.
    Follow { feed: u64, to: CompactString, payload: Payload },
    /// Send a line on an open feed.
    Line { feed: u64, line: Bytes },
    /// Close a feed, from either side.
    Close { feed: u64 },
    /// Respond to a client: status, retry delay, and the endpoint's seal.
    Answer { client: u64, status: u16, again: Option<Time>, seal: Option<u64> },
    /// Send a request to an endpoint.
    Exchange {
        id: u64,
        address: SocketAddr,
        expect: Option<CompactString>,
        request: Request,
        deadline: Time,
        /// The connections that have carried earlier attempts of the request.
        used: UsedConnections,
    },
    /// Abort an exchange.
    Abort { id: u64 },
    /// Check whether an instance accepts connections.
    ProbeReadiness { id: CompactString, address: SocketAddr },
}

/// Configuration of a process at its start.
#[derive(Clone)]
pub struct ProcessContext {
    /// Name of the machine.
    pub name: CompactString,
    /// Zone of the machine.
    pub zone: CompactString,
    /// Address of the process.
    pub address: CompactString,
    /// Controller addresses from the settings file.
    pub seeds: Vec<CompactString>,
    /// Incarnation of the process: the wall-clock time at its start in milliseconds, by the clock of its
    /// machine. It may be lower than that of an earlier incarnation.
    pub incarnation: u64,
    /// Grace period from SIGTERM to the forced end.
    pub grace: Time,
    /// Whether the machine was started before.
    pub restarted: bool,
    /// The safeguard that is disabled, if any.
    pub mutation: Option<Mutation>,
    /// Cache of parsed configurations.
    pub parse_cache: Rc<ParseCache>,
    /// Where the process is recorded, if it is.
    pub records: Option<Recordings>,
}

impl ProcessContext {
    /// The seeds as socket addresses; invalid ones are skipped.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().filter_map(|seed| seed.parse().ok()).collect()
    }
}

/// Encodes a batch of messages as the JSON body of a request.
fn encode_messages(from: &str, incarnation: u64, messages: &[PeerMessage]) -> Bytes {
    let messages = JsonValue::Array(messages.iter().map(PeerMessage::to_json).collect());
    let body =
        object([("from", text(from)), ("life", JsonValue::Number(incarnation as f64)), ("notes", messages)]);
    Bytes::from(body.stringify().unwrap_or_default())
}
