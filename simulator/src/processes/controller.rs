//! A control machine: what `controller/src/runtime.rs` carries out for its [`Core`], on the played network, disk and platform.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::{HeaderMap, Method, StatusCode};
use millpost_autoscaler::{Sink, StartFault, StopFault};
use millpost_controller::contact::GossipReply;
use millpost_controller::core::{Core, CoreOptions, Effect, Input, PlatformLimits, ReplyTarget};
use millpost_controller::feed::ConnectionId;
use millpost_controller::leadership::{Call, PlatformCall, PlatformReply};
use millpost_net::messaging::{self, Content, Reply};
use millpost_protocol::{object, text};
use millpost_quorum::{Address, Members, Message};
use xxhash_rust::xxh3::xxh3_64;

use super::voter::Disk;
use super::{Payload, ProcessContext, ProcessInput, ProcessOutput, VoterProcess, letter};
use crate::mutation::Mutation;
use crate::{MS, Time};

const VOTE: Time = 900 * MS;
const LISTS: Time = 1_500 * MS;
const STARTS: Time = 2_500 * MS;
/// Where the platform is.
pub const PLATFORM: &str = "platform";

/// What a call of one's own was for.
enum Called {
    Vote(Address, ReplyTarget),
    /// To whom, and when.
    News(Address, Time),
    Fetch(u64),
    PlatformCall {
        fence: u64,
        asked: Time,
        call: Call,
    },
}

/// Who handed a message to the voter.
enum Handed {
    Other(u64),
    Own(ReplyTarget),
}

/// What the platform allows, and how many machines may be lost.
#[derive(Clone, Copy)]
pub struct Rates {
    /// Calls for lists a second.
    pub rate_per_s: f64,
    /// Starts and stops a second.
    pub duty_per_s: f64,
    /// How far the list lags.
    pub max_lag_ms: u64,
    /// Machines that may be lost at once.
    pub losses: u32,
}

/// Control on one core machine.
pub struct ControllerProcess {
    place: ProcessContext,
    core: Core,
    keeper: VoterProcess,
    standing: Option<(bool, Option<Members>)>,
    handed: BTreeMap<u64, Handed>,
    calls: BTreeMap<u64, Called>,
    /// Which call is answered by the lines of a seat.
    seats: BTreeMap<ConnectionId, u64>,
    /// Answers of the own voter that wait for the disk.
    later: Vec<(Time, ReplyTarget, Message)>,
    next: u64,
    outs: Vec<ProcessOutput>,
}

fn call(method: Method, path: &str, query: Option<&str>, body: Bytes) -> messaging::Call {
    let peer = ([127, 0, 0, 1], 1).into();
    let query = query.map(str::to_owned);
    messaging::Call { method, path: path.to_owned(), query, headers: HeaderMap::new(), body, peer }
}

fn said(reply: Reply) -> Payload {
    match reply.content {
        Content::Whole(body) if reply.status == StatusCode::OK && !body.is_empty() => Payload::Body(body),
        _ if reply.status == StatusCode::OK => Payload::Taken,
        _ => Payload::Refused(reply.status.as_u16()),
    }
}

impl ControllerProcess {
    /// One that starts now. `bootstrap`: the whole system starts on empty disks.
    pub fn new(now: Time, place: ProcessContext, rates: Rates, disk: &mut Disk, bootstrap: bool) -> Self {
        let mut seeds = place.seeds.clone();
        seeds.sort();
        seeds.dedup();
        let uid = format!("{:016x}", xxh3_64(seeds.join(" ").as_bytes()));
        let forgetful = place.mutation == Some(Mutation::Forgetful);
        let first = (bootstrap || forgetful).then(|| Members::initial(&uid, seeds));
        let keeper = VoterProcess::open(now, &place, disk, first);
        let start = CoreOptions {
            me: place.address.clone(),
            life: place.life,
            seeds: place.seeds.clone(),
            tolerated_losses: rates.losses,
            contact_timeout: 4_000 * MS,
            config_apply_time: 3_000 * MS,
            shutdown_grace: place.grace,
            platform: Some(PlatformLimits {
                duty_per_s: rates.duty_per_s,
                max_lag_ms: rates.max_lag_ms,
                rate_per_s: rates.rate_per_s,
            }),
            sink: place.records.clone().map(|records| {
                drop(records.life(&place.name, "bourse", place.life));
                let name = place.name.clone();
                Box::new(move || records.sink(&name, "bourse")) as Box<dyn Fn() -> Sink>
            }),
        };
        ControllerProcess {
            core: Core::new(start),
            keeper,
            standing: None,
            handed: BTreeMap::new(),
            calls: BTreeMap::new(),
            seats: BTreeMap::new(),
            later: Vec::new(),
            next: 0,
            outs: Vec::new(),
            place,
        }
    }

    /// It acts as the steward.
    pub fn is_steward(&self) -> bool {
        self.core.is_leader()
    }

    /// Its process ends.
    pub fn over(&self, now: Time) -> bool {
        self.core.can_exit(now)
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self, now: Time, disk: &Disk) -> Time {
        let later = self.later.iter().map(|l| l.0).min().unwrap_or(Time::MAX);
        self.core.next_wake(now).min(later).min(self.keeper.wake(disk)).max(now + MS / 10)
    }

    /// What it does with this.
    pub fn input(&mut self, now: Time, input: ProcessInput, disk: &mut Disk) -> Vec<ProcessOutput> {
        match input {
            ProcessInput::Call { call, said } => self.call(now, call, said),
            ProcessInput::Answer { id, said } => {
                if let Some(called) = self.calls.remove(&id) {
                    self.answered(now, called, said);
                }
            }
            ProcessInput::Ended { feed } => {
                if let Some(seat) = self.seats.iter().find(|(_, call)| **call == feed).map(|(seat, _)| *seat)
                {
                    self.seats.remove(&seat);
                    self.core.handle(now, Input::FeedClosed(seat));
                }
            }
            ProcessInput::Seeds(seeds) => {
                self.place.seeds.clone_from(&seeds);
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

    /// Carries out until nothing is left that can be done now.
    fn settle(&mut self, now: Time, disk: &mut Disk) {
        loop {
            self.carry_out(now);
            self.vote_here(now, disk);
            if let Some(at) = self.later.iter().position(|l| l.0 <= now) {
                let (_, back, message) = self.later.remove(at);
                self.voted(now, self.place.address.clone(), back, message);
            } else if !self.carry_out(now) {
                return;
            }
        }
    }

    fn call(&mut self, now: Time, id: u64, said: Payload) {
        let call = match said {
            Payload::Replace(text) => {
                let body = Bytes::copy_from_slice(text.as_bytes());
                // Acknowledged before a majority has it: a test of the auditor.
                if self.place.mutation == Some(Mutation::Hasty)
                    && self.place.parse_cache.read(&text).is_some()
                {
                    self.outs.push(ProcessOutput::Reply {
                        call: id,
                        said: Payload::Body(Bytes::from_static(b"{}")),
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
            Payload::News(body) => call(Method::POST, "/core/news", None, body),
            Payload::Chosen => call(Method::GET, "/core/chosen", None, Bytes::new()),
            Payload::Follow { from, life, notes, whole } => {
                let query = (!whole).then_some("whole=0");
                call(Method::POST, "/follow", query, letter(&from, life, &notes))
            }
            Payload::Mail { from, life, notes } => {
                call(Method::POST, "/mail", None, letter(&from, life, &notes))
            }
            _ => return self.outs.push(ProcessOutput::Reply { call: id, said: Payload::Refused(404) }),
        };
        self.core.handle(now, Input::Call(id, call));
    }

    fn answered(&mut self, now: Time, called: Called, said: Option<Payload>) {
        match called {
            Called::Vote(from, back) => {
                if let Some(Payload::Voted(Some(message))) = said {
                    self.voted(now, from, back, message);
                }
            }
            Called::News(to, sent) => {
                if let Some(Payload::Body(body)) = said
                    && let Some(answered) = GossipReply::decode(sent, &body)
                {
                    self.core.handle(now, Input::GossipReply(to, answered));
                }
            }
            Called::Fetch(number) => {
                let text = match said {
                    Some(Payload::Body(body)) => String::from_utf8(body.to_vec()).ok(),
                    _ => None,
                };
                self.core.handle(now, Input::FetchedConfig(number, text));
            }
            Called::PlatformCall { fence, asked, call } => {
                let mut heard = heard(call, said);
                if self.place.mutation == Some(Mutation::Deaf) {
                    match &mut heard {
                        PlatformReply::Listed(Some((all, _))) => {
                            all.iter_mut().for_each(|e| e.draining = false)
                        }
                        PlatformReply::Workers(Some(all)) => all.iter_mut().for_each(|w| w.draining = false),
                        _ => {}
                    }
                }
                self.core.handle(now, Input::PlatformReply(fence, asked, heard));
            }
        }
    }

    /// A voter's answer goes where it is wanted.
    fn voted(&mut self, now: Time, from: Address, back: ReplyTarget, message: Message) {
        match back {
            ReplyTarget::Round(id) => self.core.handle(now, Input::RoundReply(id, from, message)),
            ReplyTarget::Lease => self.core.handle(now, Input::LeaseReply(from, message)),
            ReplyTarget::Voter => {
                self.next += 1;
                self.keeper.hand(self.next, from, message);
            }
        }
    }

    /// What the own voter has worked off.
    fn vote_here(&mut self, now: Time, disk: &mut Disk) {
        let (answers, asks) = self.keeper.work(now, &self.place, disk);
        for (id, answer, at) in answers {
            match (self.handed.remove(&id), answer) {
                (Some(Handed::Other(call)), answer) => {
                    self.outs.push(ProcessOutput::ReplyAt { call, said: Payload::Voted(answer), at });
                }
                (Some(Handed::Own(back)), Some(message)) => self.later.push((at, back, message)),
                _ => {}
            }
        }
        if !asks.is_empty() {
            self.core.handle(now, Input::VoterRequests(asks));
        }
        let standing = self.keeper.standing();
        if self.standing.as_ref() != Some(&standing) {
            self.standing = Some(standing.clone());
            self.core.handle(now, Input::VoterStatus(standing.0, standing.1));
        }
    }

    fn call_out(&mut self, to: Address, said: Payload, within: Time, called: Called) {
        self.next += 1;
        self.calls.insert(self.next, called);
        self.outs.push(ProcessOutput::Call { id: self.next, to, said, within });
    }

    fn hand(&mut self, from: Address, message: Message, handed: Handed) {
        self.next += 1;
        self.handed.insert(self.next, handed);
        self.keeper.hand(self.next, from, message);
    }

    /// Whether there was anything.
    fn carry_out(&mut self, now: Time) -> bool {
        let effects = self.core.take_effects();
        let any = !effects.is_empty();
        let me = self.place.address.clone();
        for effect in effects {
            match effect {
                Effect::SendToVoter(to, message, back) if to == me => {
                    self.hand(to, message, Handed::Own(back))
                }
                Effect::SendToVoter(to, message, back) => {
                    let said = Payload::Vote { from: me.clone(), message };
                    self.call_out(to.clone(), said, VOTE, Called::Vote(to, back));
                }
                Effect::AskLocalVoter(call, from, message) => self.hand(from, message, Handed::Other(call)),
                // A test of the auditor.
                Effect::Reply(call, reply)
                    if self.place.mutation == Some(Mutation::Lenient)
                        && reply.status == StatusCode::CONFLICT =>
                {
                    self.outs
                        .push(ProcessOutput::Reply { call, said: Payload::Body(Bytes::from_static(b"{}")) });
                }
                Effect::Reply(call, reply) => {
                    self.outs.push(ProcessOutput::Reply { call, said: said(reply) })
                }
                Effect::OpenFeed(call, seat, line) => {
                    self.seats.insert(seat, call);
                    self.outs.push(ProcessOutput::Line { feed: call, line });
                }
                Effect::FeedLine(seat, line) => {
                    self.outs
                        .extend(self.seats.get(&seat).map(|feed| ProcessOutput::Line { feed: *feed, line }));
                }
                Effect::CloseFeed(seat) => {
                    self.outs.extend(self.seats.remove(&seat).map(|feed| ProcessOutput::Close { feed }));
                }
                Effect::Heartbeat => {
                    let beat =
                        |feed: &u64| ProcessOutput::Line { feed: *feed, line: Bytes::from_static(b"\n") };
                    self.outs.extend(self.seats.values().map(beat));
                }
                Effect::Gossip(to, body) => {
                    let called = Called::News(to.clone(), now);
                    self.call_out(to, Payload::News(body), VOTE, called);
                }
                Effect::ReadLocalConfig(number) => {
                    let here = self.keeper.peek();
                    self.core.handle(now, Input::LocalConfig(number, here));
                }
                Effect::FetchConfig(number, from) => {
                    self.call_out(from, Payload::Chosen, VOTE, Called::Fetch(number));
                }
                Effect::PlatformCall(errand) => self.errand(now, errand),
            }
        }
        any
    }

    fn errand(&mut self, now: Time, errand: PlatformCall) {
        let (fence, asked) = (errand.fence, errand.decided_at);
        let call = match errand.begin(now) {
            Ok(call) => call,
            Err(kept_back) => return self.core.handle(now, Input::PlatformReply(fence, asked, kept_back)),
        };
        let (said, within) = match &call {
            Call::List { token } => {
                let from = token.as_ref().and_then(|t| t.parse().ok()).unwrap_or(0);
                (Payload::List { from }, LISTS)
            }
            Call::Workers => (Payload::Workers, LISTS),
            Call::Start { service, worker, nonce } => {
                let (service, worker, nonce) = (service.clone(), worker.clone(), nonce.clone());
                (Payload::Start { service, worker, nonce }, STARTS)
            }
            Call::Stop { id } => (Payload::Stop { id: id.clone() }, STARTS),
        };
        self.call_out(PLATFORM.into(), said, within, Called::PlatformCall { fence, asked, call });
    }
}

/// What the platform answered to a call.
fn heard(call: Call, said: Option<Payload>) -> PlatformReply {
    match (call, said) {
        (Call::List { .. }, Some(Payload::Listed { entries, next })) => {
            PlatformReply::Listed(Some((entries, next.map(|n| CompactString::from(n.to_string())))))
        }
        (Call::Workers, Some(Payload::Staff(all))) => PlatformReply::Workers(Some(all)),
        (Call::Start { nonce, .. }, said) => {
            let answer = match said {
                Some(Payload::Started(answer)) => answer,
                _ => Err(StartFault::Unclear),
            };
            PlatformReply::Started { nonce, answer }
        }
        (Call::Stop { id }, said) => {
            let answer = match said {
                Some(Payload::Stopped(answer)) => answer,
                _ => Err(StopFault::Unclear),
            };
            PlatformReply::Stopped { id, answer }
        }
        (call, _) => call.unanswered(),
    }
}
