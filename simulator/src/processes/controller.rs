//! A controller: the I/O layer of `controller/src/runtime.rs` for its [`Core`], on the simulated network,
//! disk and platform.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::{HeaderMap, Method, StatusCode};
use millpost_autoscaler::{Sink, StartFault, StopFault};
use millpost_controller::contact::GossipReply;
use millpost_controller::core::{Core, CoreOptions, Effect, Input, PlatformLimits, ReplyTarget};
use millpost_controller::feed::ConnectionId;
use millpost_controller::leadership::{Call, PlatformCall, PlatformReply};
use millpost_controller::placement::{Location, LossTolerance};
use millpost_net::messaging::{self, Content, Reply};
use millpost_protocol::{object, text};
use millpost_quorum::{Address, Members, Message};
use xxhash_rust::xxh3::xxh3_64;

use super::voter::Disk;
use super::{Payload, ProcessContext, ProcessInput, ProcessOutput, VoterProcess, encode_messages};
use crate::mutation::Mutation;
use crate::{MS, Time};

const PEER_TIMEOUT: Time = 900 * MS;
const LIST_TIMEOUT: Time = 1_500 * MS;
const START_TIMEOUT: Time = 2_500 * MS;
/// Address of the platform.
pub const PLATFORM: &str = "platform";

/// Purpose of an outgoing call.
enum OutgoingCall {
    Vote(Address, ReplyTarget),
    /// Recipient and time of sending.
    Gossip(Address, Time),
    Fetch(u64),
    PlatformCall {
        fence: u64,
        requested_at: Time,
        call: Call,
    },
}

/// Origin of a message to the local voter.
enum VoterCaller {
    Other(u64),
    Own(ReplyTarget),
}

/// Rate limits of the platform, and the number of tolerated machine losses.
#[derive(Clone, Copy)]
pub struct Rates {
    /// List calls per second.
    pub rate_per_s: f64,
    /// Starts and stops per second.
    pub duty_per_s: f64,
    /// Maximum staleness of the list, in milliseconds.
    pub max_lag_ms: u64,
    /// What may be lost at once.
    pub tolerance: LossTolerance,
}

/// The controller process of one core machine.
pub struct ControllerProcess {
    context: ProcessContext,
    core: Core,
    voter: VoterProcess,
    voter_status: Option<(bool, Option<Members>)>,
    voter_callers: BTreeMap<u64, VoterCaller>,
    calls: BTreeMap<u64, OutgoingCall>,
    /// The call that is answered by the lines of a connection.
    feeds: BTreeMap<ConnectionId, u64>,
    /// Responses of the local voter that wait for the disk.
    delayed_replies: Vec<(Time, ReplyTarget, Message)>,
    next: u64,
    outs: Vec<ProcessOutput>,
}

fn call(method: Method, path: &str, query: Option<&str>, body: Bytes) -> messaging::Call {
    let peer = ([127, 0, 0, 1], 1).into();
    let query = query.map(str::to_owned);
    messaging::Call { method, path: path.to_owned(), query, headers: HeaderMap::new(), body, peer }
}

fn reply_payload(reply: Reply) -> Payload {
    match reply.content {
        Content::Whole(body) if reply.status == StatusCode::OK && !body.is_empty() => Payload::Body(body),
        _ if reply.status == StatusCode::OK => Payload::Taken,
        _ => Payload::Refused(reply.status.as_u16()),
    }
}

impl ControllerProcess {
    /// Starts a controller. `bootstrap`: the whole system starts on empty disks.
    pub fn new(now: Time, context: ProcessContext, rates: Rates, disk: &mut Disk, bootstrap: bool) -> Self {
        let mut seeds = context.seeds.clone();
        seeds.sort();
        seeds.dedup();
        let uid = format!("{:016x}", xxh3_64(seeds.join(" ").as_bytes()));
        let empty_disk_votes = context.mutation == Some(Mutation::EmptyDiskVotes);
        let first = (bootstrap || empty_disk_votes).then(|| Members::initial(&uid, seeds));
        let added = disk.was_added(bootstrap) && context.mutation != Some(Mutation::NoSuccession);
        let voter = VoterProcess::open(now, &context, disk, first);
        let start = CoreOptions {
            me: context.address.clone(),
            life: context.incarnation,
            seeds: context.seeds.clone(),
            tolerance: rates.tolerance,
            location: Location { zone: context.zone.clone(), region: "r".into() },
            added,
            contact_timeout: 4_000 * MS,
            config_apply_time: 3_000 * MS,
            shutdown_grace: context.grace,
            platform: Some(PlatformLimits {
                duty_per_s: rates.duty_per_s,
                max_lag_ms: rates.max_lag_ms,
                rate_per_s: rates.rate_per_s,
            }),
            sink: context.records.clone().map(|records| {
                drop(records.begin_incarnation(&context.name, "bourse", context.incarnation));
                let name = context.name.clone();
                Box::new(move || records.sink(&name, "bourse")) as Box<dyn Fn() -> Sink>
            }),
        };
        ControllerProcess {
            core: Core::new(start),
            voter,
            voter_status: None,
            voter_callers: BTreeMap::new(),
            calls: BTreeMap::new(),
            feeds: BTreeMap::new(),
            delayed_replies: Vec::new(),
            next: 0,
            outs: Vec::new(),
            context,
        }
    }

    /// Whether it acts as the leader.
    pub fn is_leader(&self) -> bool {
        self.core.is_leader()
    }

    /// Whether the process may exit.
    pub fn has_exited(&self, now: Time) -> bool {
        self.core.can_exit(now)
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self, now: Time, disk: &Disk) -> Time {
        let delayed_replies = self.delayed_replies.iter().map(|l| l.0).min().unwrap_or(Time::MAX);
        self.core.next_wake(now).min(delayed_replies).min(self.voter.wake(disk)).max(now + MS / 10)
    }

    /// Handles an input and returns the resulting outputs.
    pub fn input(&mut self, now: Time, input: ProcessInput, disk: &mut Disk) -> Vec<ProcessOutput> {
        match input {
            ProcessInput::Call { call, payload } => self.call(now, call, payload),
            ProcessInput::Answer { id, payload } => {
                if let Some(outgoing) = self.calls.remove(&id) {
                    self.answered(now, outgoing, payload);
                }
            }
            ProcessInput::Ended { feed } => {
                if let Some(connection) =
                    self.feeds.iter().find(|(_, call)| **call == feed).map(|(connection, _)| *connection)
                {
                    self.feeds.remove(&connection);
                    self.core.handle(now, Input::FeedClosed(connection));
                }
            }
            ProcessInput::Seeds(seeds) => {
                self.context.seeds.clone_from(&seeds);
                self.core.handle(now, Input::Seeds(seeds));
            }
            ProcessInput::Leave => self.core.handle(now, Input::Shutdown),
            _ => {}
        }
        self.settle(now, disk);
        self.core.tick(now);
        self.settle(now, disk);
        std::mem::take(&mut self.outs)
    }

    /// Carries out effects until none is left that can be done now.
    fn settle(&mut self, now: Time, disk: &mut Disk) {
        loop {
            self.carry_out(now);
            self.run_local_voter(now, disk);
            if let Some(at) = self.delayed_replies.iter().position(|l| l.0 <= now) {
                let (_, back, message) = self.delayed_replies.remove(at);
                self.voted(now, self.context.address.clone(), back, message);
            } else if !self.carry_out(now) {
                return;
            }
        }
    }

    fn call(&mut self, now: Time, id: u64, payload: Payload) {
        let call = match payload {
            Payload::Replace(text) => {
                let body = Bytes::copy_from_slice(text.as_bytes());
                // Mutation: acknowledges before a majority has written the configuration.
                if self.context.mutation == Some(Mutation::EarlyAcknowledge)
                    && self.context.parse_cache.read(&text).is_some()
                {
                    self.outs.push(ProcessOutput::Reply {
                        call: id,
                        payload: Payload::Body(Bytes::from_static(b"{}")),
                    });
                }
                call(Method::POST, "/Config.Replace", None, body)
            }
            Payload::Drain(text) => {
                call(Method::POST, "/core/drains", None, Bytes::copy_from_slice(text.as_bytes()))
            }
            Payload::Read => call(Method::GET, "/Config.Read", None, Bytes::new()),
            Payload::Vote { from, message } => {
                let body = object([("from", text(&from)), ("m", message.to_json())]);
                let body = Bytes::from(body.stringify().unwrap_or_default());
                call(Method::POST, "/core/vote", None, body)
            }
            Payload::Gossip(body) => call(Method::POST, "/core/news", None, body),
            Payload::StoredConfig => call(Method::GET, "/core/chosen", None, Bytes::new()),
            Payload::Follow { from, incarnation, messages, whole } => {
                let query = (!whole).then_some("whole=0");
                call(Method::POST, "/follow", query, encode_messages(&from, incarnation, &messages))
            }
            Payload::Messages { from, incarnation, messages } => {
                call(Method::POST, "/mail", None, encode_messages(&from, incarnation, &messages))
            }
            _ => return self.outs.push(ProcessOutput::Reply { call: id, payload: Payload::Refused(404) }),
        };
        self.core.handle(now, Input::Call(id, call));
    }

    fn answered(&mut self, now: Time, outgoing: OutgoingCall, payload: Option<Payload>) {
        match outgoing {
            OutgoingCall::Vote(from, back) => {
                if let Some(Payload::Voted(Some(message))) = payload {
                    self.voted(now, from, back, message);
                }
            }
            OutgoingCall::Gossip(to, sent) => {
                if let Some(Payload::Body(body)) = payload
                    && let Some(answered) = GossipReply::decode(sent, &body)
                {
                    self.core.handle(now, Input::GossipReply(to, answered));
                }
            }
            OutgoingCall::Fetch(number) => {
                let text = match payload {
                    Some(Payload::Body(body)) => String::from_utf8(body.to_vec()).ok(),
                    _ => None,
                };
                self.core.handle(now, Input::FetchedConfig(number, text));
            }
            OutgoingCall::PlatformCall { fence, requested_at, call } => {
                let mut platform_reply = to_platform_reply(call, payload);
                if self.context.mutation == Some(Mutation::IgnoreDraining) {
                    match &mut platform_reply {
                        PlatformReply::Listed(Some((all, _))) => {
                            all.iter_mut().for_each(|e| e.draining = false)
                        }
                        PlatformReply::Workers(Some(all)) => all.iter_mut().for_each(|w| w.draining = false),
                        _ => {}
                    }
                }
                self.core.handle(now, Input::PlatformReply(fence, requested_at, platform_reply));
            }
        }
    }

    /// Passes a voter's response to its recipient.
    fn voted(&mut self, now: Time, from: Address, back: ReplyTarget, message: Message) {
        match back {
            ReplyTarget::Round(id) => self.core.handle(now, Input::RoundReply(id, from, message)),
            ReplyTarget::Lease => self.core.handle(now, Input::LeaseReply(from, message)),
            ReplyTarget::Voter => {
                self.next += 1;
                self.voter.enqueue(self.next, from, message);
            }
        }
    }

    /// Collects the responses of the local voter.
    fn run_local_voter(&mut self, now: Time, disk: &mut Disk) {
        let (answers, asks) = self.voter.work(now, &self.context, disk);
        for (id, answer, at) in answers {
            match (self.voter_callers.remove(&id), answer) {
                (Some(VoterCaller::Other(call)), answer) => {
                    self.outs.push(ProcessOutput::ReplyAt { call, payload: Payload::Voted(answer), at });
                }
                (Some(VoterCaller::Own(back)), Some(message)) => {
                    self.delayed_replies.push((at, back, message))
                }
                _ => {}
            }
        }
        if !asks.is_empty() {
            self.core.handle(now, Input::VoterRequests(asks));
        }
        let voter_status = self.voter.voter_status();
        if self.voter_status.as_ref() != Some(&voter_status) {
            self.voter_status = Some(voter_status.clone());
            self.core.handle(now, Input::VoterStatus(voter_status.0, voter_status.1));
        }
    }

    fn start_call(&mut self, to: Address, payload: Payload, within: Time, outgoing: OutgoingCall) {
        self.next += 1;
        self.calls.insert(self.next, outgoing);
        self.outs.push(ProcessOutput::Call { id: self.next, to, payload, within });
    }

    fn enqueue(&mut self, from: Address, message: Message, voter_caller: VoterCaller) {
        self.next += 1;
        self.voter_callers.insert(self.next, voter_caller);
        self.voter.enqueue(self.next, from, message);
    }

    /// Carries out the pending effects. Returns whether there were any.
    fn carry_out(&mut self, now: Time) -> bool {
        let effects = self.core.take_effects();
        let any = !effects.is_empty();
        let me = self.context.address.clone();
        for effect in effects {
            match effect {
                Effect::SendToVoter(to, message, back) if to == me => {
                    self.enqueue(to, message, VoterCaller::Own(back))
                }
                Effect::SendToVoter(to, message, back) => {
                    let payload = Payload::Vote { from: me.clone(), message };
                    self.start_call(to.clone(), payload, PEER_TIMEOUT, OutgoingCall::Vote(to, back));
                }
                Effect::AskLocalVoter(call, from, message) => {
                    self.enqueue(from, message, VoterCaller::Other(call))
                }
                // Mutation: confirms conflicting content.
                Effect::Reply(call, reply)
                    if self.context.mutation == Some(Mutation::ConfirmConflicts)
                        && reply.status == StatusCode::CONFLICT =>
                {
                    self.outs.push(ProcessOutput::Reply {
                        call,
                        payload: Payload::Body(Bytes::from_static(b"{}")),
                    });
                }
                Effect::Reply(call, reply) => {
                    self.outs.push(ProcessOutput::Reply { call, payload: reply_payload(reply) })
                }
                Effect::OpenFeed(call, connection, line) => {
                    self.feeds.insert(connection, call);
                    self.outs.push(ProcessOutput::Line { feed: call, line });
                }
                Effect::FeedLine(connection, line) => {
                    self.outs.extend(
                        self.feeds.get(&connection).map(|feed| ProcessOutput::Line { feed: *feed, line }),
                    );
                }
                Effect::CloseFeed(connection) => {
                    self.outs
                        .extend(self.feeds.remove(&connection).map(|feed| ProcessOutput::Close { feed }));
                }
                Effect::Heartbeat => {
                    let beat =
                        |feed: &u64| ProcessOutput::Line { feed: *feed, line: Bytes::from_static(b"\n") };
                    self.outs.extend(self.feeds.values().map(beat));
                }
                Effect::Gossip(to, body) => {
                    let outgoing = OutgoingCall::Gossip(to.clone(), now);
                    self.start_call(to, Payload::Gossip(body), PEER_TIMEOUT, outgoing);
                }
                Effect::ReadLocalConfig(number) => {
                    let here = self.voter.accepted_config();
                    self.core.handle(now, Input::LocalConfig(number, here));
                }
                Effect::FetchConfig(number, from) => {
                    self.start_call(from, Payload::StoredConfig, PEER_TIMEOUT, OutgoingCall::Fetch(number));
                }
                Effect::PlatformCall(platform_call) => self.platform_call(now, platform_call),
            }
        }
        any
    }

    fn platform_call(&mut self, now: Time, platform_call: PlatformCall) {
        let (fence, requested_at) = (platform_call.fence, platform_call.decided_at);
        let call = match platform_call.begin(now) {
            Ok(call) => call,
            Err(reply) => return self.core.handle(now, Input::PlatformReply(fence, requested_at, reply)),
        };
        let (payload, within) = match &call {
            Call::List { token } => {
                let from = token.as_ref().and_then(|t| t.parse().ok()).unwrap_or(0);
                (Payload::List { from }, LIST_TIMEOUT)
            }
            Call::Workers => (Payload::Workers, LIST_TIMEOUT),
            Call::Start { service, worker, nonce } => {
                let (service, worker, nonce) = (service.clone(), worker.clone(), nonce.clone());
                (Payload::Start { service, worker, nonce }, START_TIMEOUT)
            }
            Call::Stop { id } => (Payload::Stop { id: id.clone() }, START_TIMEOUT),
        };
        self.start_call(
            PLATFORM.into(),
            payload,
            within,
            OutgoingCall::PlatformCall { fence, requested_at, call },
        );
    }
}

/// Translates the platform's response to a call.
fn to_platform_reply(call: Call, payload: Option<Payload>) -> PlatformReply {
    match (call, payload) {
        (Call::List { .. }, Some(Payload::Listed { entries, next })) => {
            PlatformReply::Listed(Some((entries, next.map(|n| CompactString::from(n.to_string())))))
        }
        (Call::Workers, Some(Payload::WorkerList(all))) => PlatformReply::Workers(Some(all)),
        (Call::Start { nonce, .. }, payload) => {
            let answer = match payload {
                Some(Payload::Started(answer)) => answer,
                _ => Err(StartFault::Unclear),
            };
            PlatformReply::Started { nonce, answer }
        }
        (Call::Stop { id }, payload) => {
            let answer = match payload {
                Some(Payload::Stopped(answer)) => answer,
                _ => Err(StopFault::Unclear),
            };
            PlatformReply::Stopped { id, answer }
        }
        (call, _) => call.unanswered(),
    }
}
