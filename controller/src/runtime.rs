//! The loop of a control machine: it owns the sockets, the way to the voter's thread and the platform's client, hands the core what
//! comes, and carries out what the core decides.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use millpost_autoscaler::Sink;
use millpost_config::Settings;
use millpost_net::lines::Lines;
use millpost_net::link::Client;
use millpost_net::messaging::{self, Call, Limits, OPTIONS, Reply};
use millpost_net::metrics;
use millpost_protocol::frame::Head;
use millpost_protocol::{object, text};
use millpost_quorum::{Address, Members, Message};
use snafu::{OptionExt, ResultExt};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use xxhash_rust::xxh3::xxh3_64;

use crate::calls::LONGEST_BODY;
use crate::contact::GossipReply;
use crate::core::{Core, CoreOptions, Effect, Input, ReplyTarget, seeds};
use crate::errors::{Error, Kind, ListenSnafu, NeededSnafu, SignalsSnafu};
use crate::feed::ConnectionId;
use crate::leadership::PlatformCall;
use crate::platform::Platform;
use crate::voter_thread::{self, Said, VoterThread};
use crate::{MS, Nanos};

/// Answers of other control machines.
const VOTE: Duration = Duration::from_millis(900);
/// The settings file is looked at this often.
const RELOAD: Nanos = 1_000 * MS;
/// Lines that may wait for a porter.
const WAITING: usize = 256;
/// Other machines that connections are kept to.
const CLIENTS: usize = 64;

/// What comes.
enum Event {
    Call(Call, oneshot::Sender<Reply>),
    Input(Input),
}

struct Runtime {
    settings: Settings,
    path: PathBuf,
    me: Address,
    clock: Instant,
    events: mpsc::UnboundedSender<Event>,
    voter: VoterThread,
    clients: BTreeMap<Address, Arc<Client>>,
    /// Whoever waits for an answer.
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
    last_call: u64,
    seats: BTreeMap<ConnectionId, mpsc::Sender<Bytes>>,
    /// The platform, as it is called under the fence.
    platform: Option<(u64, Arc<Platform>)>,
    reload_at: Nanos,
    core: Core,
}

/// Serves until SIGTERM. What scalers are given is told as `lines`.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    metrics: Option<u16>,
    lines: Option<Lines>,
) -> Result<(), Error> {
    let address = settings.bind_addrs.control.context(NeededSnafu { key: "bind_addrs.control" })?;
    let data_dir = settings.data_dir.clone().context(NeededSnafu { key: "data_dir" })?;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })?;
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let (events, mut coming) = mpsc::unbounded_channel();

    let asked = events.clone();
    let limits = Limits {
        body: LONGEST_BODY,
        idle: Duration::from_secs(60),
        whole: Duration::from_secs(5),
        connections: (settings.limits.max_fds as usize).saturating_sub(400).max(50),
        unheard: Some(Duration::from_millis(2_000)),
    };
    let handler = move |call| {
        let asked = asked.clone();
        async move {
            let (reply, replied) = oneshot::channel();
            let _ = asked.send(Event::Call(call, reply));
            replied.await.unwrap_or_else(|_| Kind::Busy.answer())
        }
    };
    if let Some(port) = metrics {
        metrics::serve_at(SocketAddr::new(settings.ip, port), handler.clone()).await;
    }
    let server = tokio::spawn(messaging::serve(listener, limits, handler, std::future::pending()));

    let clock = Instant::now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let life = unix.as_millis() as u64;
    let mut start = CoreOptions::from_settings(&settings, address, life);
    if let Some(lines) = &lines {
        lines.sink()(&Head::new(&settings.node_name, "bourse", life, life).line());
    }
    start.sink = lines.map(|lines| Box::new(move || lines.sink()) as Box<dyn Fn() -> Sink>);
    let me = start.me.clone();
    let mut seeds = start.seeds.clone();
    seeds.sort();
    seeds.dedup();
    // All that start together read the same seeds, and so begin with the same members.
    let uid = format!("{:016x}", xxh3_64(seeds.join(" ").as_bytes()));
    let first = settings.bootstrap.then(|| Members::initial(&uid, seeds.iter().cloned()));
    let (said, mut says) = mpsc::unbounded_channel();
    let voter =
        voter_thread::Start { me: me.clone(), folder: voter_thread::folder(&data_dir), seeds, life, first };
    let voter = VoterThread::start(voter, said, clock.into_std())?;
    let told = events.clone();
    tokio::spawn(async move {
        while let Some(said) = says.recv().await {
            let _ = told.send(Event::Input(match said {
                Said::Standing { voting, members } => Input::VoterStatus(voting, members),
                Said::Ask(out) => Input::VoterRequests(out),
            }));
        }
    });

    let mut runtime = Runtime {
        path,
        me,
        clock,
        events,
        voter,
        clients: BTreeMap::new(),
        calls: BTreeMap::new(),
        last_call: 0,
        seats: BTreeMap::new(),
        platform: None,
        reload_at: 0,
        core: Core::new(start),
        settings,
    };
    log::info!("control on {address}");
    loop {
        let wake = runtime.core.next_wake(runtime.now());
        tokio::select! {
            event = coming.recv() => match event {
                Some(event) => runtime.event(event),
                None => return Ok(()),
            },
            _ = hang_up.recv() => runtime.reload(),
            _ = term.recv() => runtime.input(Input::Shutdown),
            () = sleep_until(runtime.clock + Duration::from_nanos(wake)) => {}
        }
        // All that has come is taken in before anything is decided.
        while let Ok(event) = coming.try_recv() {
            runtime.event(event);
        }
        runtime.tick();
        if runtime.core.can_exit(runtime.now()) {
            server.abort();
            return Ok(());
        }
    }
}

impl Runtime {
    fn now(&self) -> Nanos {
        self.clock.elapsed().as_nanos() as Nanos
    }

    fn reload(&mut self) {
        match Settings::load(&self.path) {
            Ok(settings) if settings.seed_nodes != self.settings.seed_nodes => {
                log::info!("seeds are now {:?}", settings.seed_nodes);
                self.settings.seed_nodes = settings.seed_nodes;
                self.input(Input::Seeds(seeds(&self.settings)));
            }
            Ok(_) => {}
            Err(e) => log::warn!("settings stay as they are: {e}"),
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Call(call, reply) => {
                self.last_call += 1;
                self.calls.insert(self.last_call, reply);
                self.input(Input::Call(self.last_call, call));
            }
            Event::Input(input) => self.input(input),
        }
    }

    fn input(&mut self, input: Input) {
        let now = self.now();
        self.core.handle(now, input);
        self.carry_out();
    }

    fn tick(&mut self) {
        let now = self.now();
        let gone: Vec<_> = self.seats.iter().filter(|(_, s)| s.is_closed()).map(|(seat, _)| *seat).collect();
        gone.into_iter().for_each(|seat| self.left(seat));
        self.core.tick(now);
        self.carry_out();
        if !self.core.is_leader() {
            self.platform = None;
        }
        if now >= self.reload_at {
            self.reload_at = now + RELOAD;
            self.reload();
        }
    }

    fn left(&mut self, seat: ConnectionId) {
        self.seats.remove(&seat);
        let now = self.now();
        self.core.handle(now, Input::FeedClosed(seat));
    }

    fn carry_out(&mut self) {
        for effect in self.core.take_effects() {
            match effect {
                Effect::SendToVoter(to, message, back) => self.vote(to, message, back),
                Effect::AskLocalVoter(call, from, message) => self.ask(call, from, message),
                Effect::Reply(call, reply) => self.answer(call, reply),
                Effect::OpenFeed(call, seat, line) => {
                    let (lines, pieces) = mpsc::channel(WAITING);
                    let _ = lines.try_send(line);
                    self.seats.insert(seat, lines);
                    self.answer(call, Reply::held(pieces));
                }
                Effect::FeedLine(seat, line) => {
                    if self.seats.get(&seat).is_some_and(|lines| lines.try_send(line).is_err()) {
                        self.left(seat);
                    }
                }
                Effect::CloseFeed(seat) => drop(self.seats.remove(&seat)),
                Effect::Heartbeat => {
                    self.seats.values().for_each(|lines| drop(lines.try_send(Bytes::from_static(b"\n"))));
                }
                Effect::Gossip(to, body) => self.news(&to, body),
                Effect::ReadLocalConfig(number) => self.peek(number),
                Effect::FetchConfig(number, from) => self.fetch(number, &from),
                Effect::PlatformCall(errand) => self.errand(errand),
            }
        }
    }

    fn answer(&mut self, call: u64, reply: Reply) {
        if let Some(waits) = self.calls.remove(&call) {
            let _ = waits.send(reply);
        }
    }

    fn client(&mut self, to: &Address) -> Option<Arc<Client>> {
        if let Some(client) = self.clients.get(to) {
            return Some(Arc::clone(client));
        }
        let address = to.parse().map_err(|e| log::warn!("{to}: {e}")).ok()?;
        if self.clients.len() > CLIENTS {
            self.clients.clear();
        }
        let client = Arc::new(Client::new(address, OPTIONS));
        self.clients.insert(to.clone(), Arc::clone(&client));
        Some(client)
    }

    /// Sends a message to a voter; its answer goes where `back` says.
    fn vote(&mut self, to: Address, message: Message, back: ReplyTarget) {
        let (events, voter) = (self.events.clone(), self.voter.clone());
        let hand_back = move |from, answer| {
            let input = match back {
                ReplyTarget::Round(id) => Input::RoundReply(id, from, answer),
                ReplyTarget::Lease => Input::LeaseReply(from, answer),
                ReplyTarget::Voter => return drop(voter.ask(from, answer)),
            };
            let _ = events.send(Event::Input(input));
        };
        if to == self.me {
            let reply = self.voter.ask(self.me.clone(), message);
            tokio::spawn(async move {
                if let Ok(Some(answer)) = reply.await {
                    hand_back(to, answer);
                }
            });
            return;
        }
        let Some(client) = self.client(&to) else { return };
        let body =
            object([("from", text(&self.me)), ("m", message.to_json())]).stringify().unwrap_or_default();
        tokio::spawn(async move {
            let answer = client
                .call(Method::POST, "/core/vote", json_headers(), Bytes::from(body), VOTE, 2 * LONGEST_BODY)
                .await;
            match answer {
                Ok((StatusCode::OK, _, body)) => {
                    if let Some(answer) =
                        messaging::json(&body).and_then(|json| Message::from_json(&json).ok())
                    {
                        hand_back(to, answer);
                    }
                }
                Ok(_) => {}
                Err(e) => {
                    client.clear();
                    log::debug!("{to}: {e}");
                }
            }
        });
    }

    /// Hands another's message to the voter here, whose answer is that of the call.
    fn ask(&mut self, call: u64, from: Address, message: Message) {
        let Some(waits) = self.calls.remove(&call) else { return };
        let answer = self.voter.ask(from, message);
        tokio::spawn(async move {
            let _ = waits.send(match answer.await {
                Ok(Some(message)) => {
                    Reply::json(StatusCode::OK, message.to_json().stringify().unwrap_or_default())
                }
                Ok(None) => Reply::empty(StatusCode::NO_CONTENT),
                Err(_) => Kind::Busy.answer(),
            });
        });
    }

    fn news(&mut self, to: &Address, body: Bytes) {
        let Some(client) = self.client(to) else { return };
        let (events, to, sent) = (self.events.clone(), to.clone(), self.now());
        tokio::spawn(async move {
            match client.call(Method::POST, "/core/news", json_headers(), body, VOTE, 1_024).await {
                Ok((StatusCode::OK, _, body)) => {
                    if let Some(answered) = GossipReply::decode(sent, &body) {
                        let _ = events.send(Event::Input(Input::GossipReply(to, answered)));
                    }
                }
                Ok(_) => {}
                Err(_) => client.clear(),
            }
        });
    }

    fn peek(&self, number: u64) {
        let (events, here) = (self.events.clone(), self.voter.peek());
        tokio::spawn(async move {
            let _ = events.send(Event::Input(Input::LocalConfig(number, here.await.ok().flatten())));
        });
    }

    fn fetch(&mut self, number: u64, from: &Address) {
        let (events, client) = (self.events.clone(), self.client(from));
        tokio::spawn(async move {
            let answer = match client {
                Some(client) => client
                    .call(Method::GET, "/core/chosen", HeaderMap::new(), Bytes::new(), VOTE, LONGEST_BODY)
                    .await
                    .ok(),
                None => None,
            };
            let text = match answer {
                Some((StatusCode::OK, _, body)) => String::from_utf8(body.to_vec()).ok(),
                _ => None,
            };
            let _ = events.send(Event::Input(Input::FetchedConfig(number, text)));
        });
    }

    fn errand(&mut self, errand: PlatformCall) {
        let (fence, asked) = (errand.fence, errand.decided_at);
        let Some(api) = &self.settings.platform_api else { return };
        let platform = match &self.platform {
            Some((of, platform)) if *of == fence => Arc::clone(platform),
            _ => Platform::new(api.address, &self.settings.node_name, fence),
        };
        self.platform = Some((fence, Arc::clone(&platform)));
        let (events, clock) = (self.events.clone(), self.clock);
        tokio::spawn(async move {
            // The clock is read where the call begins: its turn may come late, and the process may have been stopped.
            let heard = match errand.begin(clock.elapsed().as_nanos() as Nanos) {
                Ok(call) => platform.carry_out(call).await,
                Err(kept_back) => kept_back,
            };
            let _ = events.send(Event::Input(Input::PlatformReply(fence, asked, heard)));
        });
    }
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}
