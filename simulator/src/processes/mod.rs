//! What stands between the state machines and the outside in each daemon, on the played network: one room for each program. It
//! carries out; what decides is the daemons' own.
//!
//! Invariant: a process takes a [`ProcessInput`] at a time of its own clock and says what is to be done as [`ProcessOutput`]; no I/O, no clock.

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
use millpost_protocol::{PeerMessage, object, text};
use millpost_quorum::Message;
use millpost_scheduler::Outcome;
use tinyjson::JsonValue;

use crate::Time;
use crate::mutation::Mutation;
use crate::record::Recordings;

/// What one process says to another, or to the platform, and what is answered.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Clone, Debug)]
pub enum Payload {
    /// `POST /mail`, and an answer with notes.
    Messages { from: CompactString, life: u64, notes: Vec<PeerMessage> },
    /// Taken, with nothing to say.
    Taken,
    /// A status that is no success.
    Refused(u16),
    /// `POST /core/vote`.
    Vote { from: CompactString, message: Message },
    /// What a voter answers; nothing where it says nothing.
    Voted(Option<Message>),
    /// `POST /core/news`.
    Gossip(Bytes),
    /// `GET /core/chosen`.
    StoredConfig,
    /// A success with a body.
    Body(Bytes),
    /// `POST /Config.Replace`.
    Replace(Arc<str>),
    /// `POST /core/drains`.
    Drain(Arc<str>),
    /// `GET /Config.Read`.
    Read,
    /// `POST /follow`.
    Follow { from: CompactString, life: u64, notes: Vec<PeerMessage>, whole: bool },
    /// `GET /endpoints`, from this entry on.
    List { from: usize },
    /// One page of the list, and where the next begins.
    Listed { entries: Vec<Endpoint>, next: Option<usize> },
    /// `GET /workers`.
    Workers,
    /// Its answer.
    WorkerList(Vec<Worker>),
    /// `POST /start`.
    Start { service: CompactString, worker: CompactString, nonce: CompactString },
    /// Its answer.
    Started(Result<(CompactString, SocketAddr), StartFault>),
    /// `POST /stop`.
    Stop { id: CompactString },
    /// Its answer.
    Stopped(Result<(), StopFault>),
}

/// A request of a client as a stall reads it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client's id of this try.
    pub attempt: u64,
    /// Its host.
    pub host: CompactString,
    /// Its path.
    pub path: CompactString,
    /// For how long its client waits.
    pub left: Time,
}

/// How an exchange with an endpoint ended, as the connection shows it.
#[derive(Clone, Debug)]
pub struct Exchanged {
    /// The outcome.
    pub outcome: Outcome,
    /// Something may have reached the endpoint.
    pub sent: bool,
    /// A connection was refused outright.
    pub refused: bool,
    /// The endpoint's answer: status and seal.
    pub answer: Option<(u16, u64)>,
}

/// What comes in.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Debug)]
pub enum ProcessInput {
    /// It is the time that was asked for.
    Tick,
    /// Somebody calls; answered by [`ProcessOutput::Reply`].
    Call { call: u64, said: Payload },
    /// What came of one's own call; nothing where it failed.
    Answer { id: u64, said: Option<Payload> },
    /// A line of a feed that is followed.
    Line { feed: u64, line: Bytes },
    /// A feed has ended, on whichever side.
    Ended { feed: u64 },
    /// A client's request.
    Request { client: u64, request: Request },
    /// A client has gone.
    Gone { client: u64 },
    /// An exchange is over.
    Exchanged { id: u64, done: Exchanged },
    /// Whether an instance accepts connections.
    ReadinessProbed { id: CompactString, up: bool },
    /// The settings file names these seeds now.
    Seeds(Vec<CompactString>),
    /// SIGTERM.
    Leave,
}

/// What is to be done.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Debug)]
pub enum ProcessOutput {
    /// Call another process.
    Call { id: u64, to: CompactString, said: Payload, within: Time },
    /// Answer a call.
    Reply { call: u64, said: Payload },
    /// Answer a call, but not before then: it rests on a write.
    ReplyAt { call: u64, said: Payload, at: Time },
    /// Open a feed.
    Follow { feed: u64, to: CompactString, said: Payload },
    /// Down a feed that was asked for.
    Line { feed: u64, line: Bytes },
    /// Close a feed, from either side.
    Close { feed: u64 },
    /// Answer a client: status, when to come back, the endpoint's seal.
    Answer { client: u64, status: u16, again: Option<Time>, seal: Option<u64> },
    /// Send a request to an endpoint.
    Exchange { id: u64, address: SocketAddr, expect: Option<CompactString>, request: Request, deadline: Time },
    /// Give an exchange up.
    Abort { id: u64 },
    /// Try whether an instance accepts connections.
    ProbeReadiness { id: CompactString, address: SocketAddr },
}

/// What a process is told of itself at its start.
#[derive(Clone)]
pub struct ProcessContext {
    /// The machine's name.
    pub name: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// Where it takes calls.
    pub address: CompactString,
    /// The control addresses that its settings name.
    pub seeds: Vec<CompactString>,
    /// The process's life: the time of day at its start, by its machine's clock. It may be lower than that of an earlier life.
    pub life: u64,
    /// The time from SIGTERM to the last moment.
    pub grace: Time,
    /// Its machine was up before.
    pub restarted: bool,
    /// The guard that is taken out, for a test.
    pub mutation: Option<Mutation>,
    /// Configurations that were read already.
    pub parse_cache: Rc<ParseCache>,
    /// Where what decides is recorded, if it is.
    pub records: Option<Recordings>,
}

impl ProcessContext {
    /// The seeds as addresses.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().filter_map(|seed| seed.parse().ok()).collect()
    }
}

/// A letter as it is written.
fn encode_messages(from: &str, life: u64, notes: &[PeerMessage]) -> Bytes {
    let notes = JsonValue::Array(notes.iter().map(PeerMessage::to_json).collect());
    let body = object([("from", text(from)), ("life", JsonValue::Number(life as f64)), ("notes", notes)]);
    Bytes::from(body.stringify().unwrap_or_default())
}
