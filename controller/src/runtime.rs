//! The event loop of a controller. It owns the sockets, the handle of the voter thread and the platform's
//! client, passes events to the core, and carries out the core's effects.

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

use crate::calls::MAX_BODY;
use crate::contact::GossipReply;
use crate::core::{Core, CoreOptions, Effect, Input, ReplyTarget, seeds};
use crate::errors::{CallError, Error, ListenSnafu, NeededSnafu, SignalsSnafu};
use crate::feed::ConnectionId;
use crate::leadership::PlatformCall;
use crate::platform::Platform;
use crate::voter_thread::{self, VoterEvent, VoterThread};
use crate::{MS, Nanos, origin};

/// Timeout of calls to other controllers.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between checks of the settings file.
const RELOAD_INTERVAL: Nanos = 1_000 * MS;
/// Maximum number of lines that wait for an agent.
const FEED_QUEUE_LENGTH: usize = 256;
/// Maximum number of other controllers to which connections are kept.
const MAX_CLIENTS: usize = 64;

/// An event for the loop.
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
    /// Callers that wait for a reply, by the number of their call.
    calls: BTreeMap<u64, oneshot::Sender<Reply>>,
    last_call: u64,
    feeds: BTreeMap<ConnectionId, mpsc::Sender<Bytes>>,
    /// The platform's client, with the fence under which it calls.
    platform: Option<(u64, Arc<Platform>)>,
    reload_at: Nanos,
    core: Core,
}

/// Serves until SIGTERM. If `lines` is given, the inputs of the scaler are recorded to it.
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
    let (events, mut receiver) = mpsc::unbounded_channel();

    let calls = events.clone();
    let limits = Limits {
        max_body_bytes: MAX_BODY,
        idle_timeout: Duration::from_secs(60),
        body_timeout: Duration::from_secs(5),
        max_connections: (settings.limits.max_fds as usize).saturating_sub(400).max(50),
        ack_timeout: Some(Duration::from_millis(2_000)),
    };
    let handler = move |call| {
        let calls = calls.clone();
        async move {
            let (reply, replied) = oneshot::channel();
            let _ = calls.send(Event::Call(call, reply));
            replied.await.unwrap_or_else(|_| CallError::Busy.to_reply())
        }
    };
    if let Some(port) = metrics {
        metrics::serve_at(SocketAddr::new(settings.ip, port), handler.clone()).await;
    }
    let server = tokio::spawn(messaging::serve(listener, limits, handler, std::future::pending()));

    let clock = Instant::now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let life = unix.as_millis() as u64;
    let mut options = CoreOptions::from_settings(
        &settings,
        address,
        life,
        origin::was_added(&data_dir, settings.bootstrap),
    );
    if let Some(lines) = &lines {
        lines.sink()(&Head::new(&settings.node_name, "bourse", life, life).line());
    }
    options.sink = lines.map(|lines| Box::new(move || lines.sink()) as Box<dyn Fn() -> Sink>);
    let me = options.me.clone();
    let mut seeds = options.seeds.clone();
    seeds.sort();
    seeds.dedup();
    // Controllers that start together read the same seeds, and so begin with the same members.
    let uid = format!("{:016x}", xxh3_64(seeds.join(" ").as_bytes()));
    let first = settings.bootstrap.then(|| Members::initial(&uid, seeds.iter().cloned()));
    let (voter_events, mut voter_receiver) = mpsc::unbounded_channel();
    let voter = voter_thread::VoterOptions {
        me: me.clone(),
        folder: voter_thread::folder(&data_dir),
        seeds,
        life,
        first,
    };
    let voter = VoterThread::start(voter, voter_events, clock.into_std())?;
    let forward = events.clone();
    tokio::spawn(async move {
        while let Some(event) = voter_receiver.recv().await {
            let _ = forward.send(Event::Input(match event {
                VoterEvent::Status { voting, members } => Input::VoterStatus(voting, members),
                VoterEvent::Requests(out) => Input::VoterRequests(out),
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
        feeds: BTreeMap::new(),
        platform: None,
        reload_at: 0,
        core: Core::new(options),
        settings,
    };
    log::info!("listening on {address}");
    loop {
        let wake = runtime.core.next_wake(runtime.now());
        tokio::select! {
            event = receiver.recv() => match event {
                Some(event) => runtime.event(event),
                None => return Ok(()),
            },
            _ = hang_up.recv() => runtime.reload(),
            _ = term.recv() => runtime.input(Input::Shutdown),
            () = sleep_until(runtime.clock + Duration::from_nanos(wake)) => {}
        }
        // All available events are handled before timers and decisions.
        while let Ok(event) = receiver.try_recv() {
            runtime.event(event);
        }
        runtime.tick();
        if runtime.core.can_exit(runtime.now()) {
            runtime.core.log_exit(runtime.now());
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
                log::info!("seed nodes are now {:?}", settings.seed_nodes);
                self.settings.seed_nodes = settings.seed_nodes;
                self.input(Input::Seeds(seeds(&self.settings)));
            }
            Ok(_) => {}
            Err(e) => log::warn!("cannot reload settings, keeping the current ones: {e}"),
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
        let closed: Vec<_> =
            self.feeds.iter().filter(|(_, s)| s.is_closed()).map(|(connection, _)| *connection).collect();
        closed.into_iter().for_each(|connection| self.close_feed(connection));
        self.core.tick(now);
        self.carry_out();
        if !self.core.is_leader() {
            self.platform = None;
        }
        if now >= self.reload_at {
            self.reload_at = now + RELOAD_INTERVAL;
            self.reload();
        }
    }

    fn close_feed(&mut self, connection: ConnectionId) {
        self.feeds.remove(&connection);
        let now = self.now();
        self.core.handle(now, Input::FeedClosed(connection));
    }

    fn carry_out(&mut self) {
        for effect in self.core.take_effects() {
            match effect {
                Effect::SendToVoter(to, message, target) => self.send_to_voter(to, message, target),
                Effect::AskLocalVoter(call, from, message) => self.ask_local_voter(call, from, message),
                Effect::Reply(call, reply) => self.answer(call, reply),
                Effect::OpenFeed(call, connection, line) => {
                    let (lines, pieces) = mpsc::channel(FEED_QUEUE_LENGTH);
                    let _ = lines.try_send(line);
                    self.feeds.insert(connection, lines);
                    self.answer(call, Reply::streamed(pieces));
                }
                Effect::FeedLine(connection, line) => {
                    if self.feeds.get(&connection).is_some_and(|lines| lines.try_send(line).is_err()) {
                        self.close_feed(connection);
                    }
                }
                Effect::CloseFeed(connection) => drop(self.feeds.remove(&connection)),
                Effect::Heartbeat => {
                    self.feeds.values().for_each(|lines| drop(lines.try_send(Bytes::from_static(b"\n"))));
                }
                Effect::Gossip(to, body) => self.send_gossip(&to, body),
                Effect::ReadLocalConfig(number) => self.read_local_config(number),
                Effect::FetchConfig(number, from) => self.fetch_config(number, &from),
                Effect::PlatformCall(call) => self.call_platform(call),
            }
        }
    }

    fn answer(&mut self, call: u64, reply: Reply) {
        if let Some(caller) = self.calls.remove(&call) {
            let _ = caller.send(reply);
        }
    }

    fn client(&mut self, to: &Address) -> Option<Arc<Client>> {
        if let Some(client) = self.clients.get(to) {
            return Some(Arc::clone(client));
        }
        let address = to.parse().map_err(|e| log::warn!("invalid address {to}: {e}")).ok()?;
        if self.clients.len() > MAX_CLIENTS {
            self.clients.clear();
        }
        let client = Arc::new(Client::new(address, OPTIONS));
        self.clients.insert(to.clone(), Arc::clone(&client));
        Some(client)
    }

    /// Sends a message to a voter, and passes its reply to `target`.
    fn send_to_voter(&mut self, to: Address, message: Message, target: ReplyTarget) {
        let (events, voter) = (self.events.clone(), self.voter.clone());
        let deliver = move |from, reply| {
            let input = match target {
                ReplyTarget::Round(id) => Input::RoundReply(id, from, reply),
                ReplyTarget::Lease => Input::LeaseReply(from, reply),
                ReplyTarget::Voter => return drop(voter.send(from, reply)),
            };
            let _ = events.send(Event::Input(input));
        };
        if to == self.me {
            let reply = self.voter.send(self.me.clone(), message);
            tokio::spawn(async move {
                if let Ok(Some(answer)) = reply.await {
                    deliver(to, answer);
                }
            });
            return;
        }
        let Some(client) = self.client(&to) else { return };
        let body =
            object([("from", text(&self.me)), ("m", message.to_json())]).stringify().unwrap_or_default();
        tokio::spawn(async move {
            let reply = client
                .call(
                    Method::POST,
                    "/core/vote",
                    json_headers(),
                    Bytes::from(body),
                    PEER_TIMEOUT,
                    2 * MAX_BODY,
                )
                .await;
            match reply {
                Ok((StatusCode::OK, _, body)) => {
                    if let Some(answer) =
                        messaging::json(&body).and_then(|json| Message::from_json(&json).ok())
                    {
                        deliver(to, answer);
                    }
                }
                Ok(_) => {}
                Err(e) => {
                    client.clear();
                    log::debug!("call to voter {to} failed: {e}");
                }
            }
        });
    }

    /// Passes another controller's message to the local voter, whose reply answers the call.
    fn ask_local_voter(&mut self, call: u64, from: Address, message: Message) {
        let Some(caller) = self.calls.remove(&call) else { return };
        let answer = self.voter.send(from, message);
        tokio::spawn(async move {
            let _ = caller.send(match answer.await {
                Ok(Some(message)) => {
                    Reply::json(StatusCode::OK, message.to_json().stringify().unwrap_or_default())
                }
                Ok(None) => Reply::empty(StatusCode::NO_CONTENT),
                Err(_) => CallError::Busy.to_reply(),
            });
        });
    }

    fn send_gossip(&mut self, to: &Address, body: Bytes) {
        let Some(client) = self.client(to) else { return };
        let (events, to, sent) = (self.events.clone(), to.clone(), self.now());
        tokio::spawn(async move {
            match client.call(Method::POST, "/core/news", json_headers(), body, PEER_TIMEOUT, 1_024).await {
                Ok((StatusCode::OK, _, body)) => {
                    if let Some(reply) = GossipReply::decode(sent, &body) {
                        let _ = events.send(Event::Input(Input::GossipReply(to, reply)));
                    }
                }
                Ok(_) => {}
                Err(_) => client.clear(),
            }
        });
    }

    fn read_local_config(&self, number: u64) {
        let (events, here) = (self.events.clone(), self.voter.read_config());
        tokio::spawn(async move {
            let _ = events.send(Event::Input(Input::LocalConfig(number, here.await.ok().flatten())));
        });
    }

    fn fetch_config(&mut self, number: u64, from: &Address) {
        let (events, client) = (self.events.clone(), self.client(from));
        tokio::spawn(async move {
            let reply = match client {
                Some(client) => client
                    .call(Method::GET, "/core/chosen", HeaderMap::new(), Bytes::new(), PEER_TIMEOUT, MAX_BODY)
                    .await
                    .ok(),
                None => None,
            };
            let text = match reply {
                Some((StatusCode::OK, _, body)) => String::from_utf8(body.to_vec()).ok(),
                _ => None,
            };
            let _ = events.send(Event::Input(Input::FetchedConfig(number, text)));
        });
    }

    fn call_platform(&mut self, call: PlatformCall) {
        let (fence, decided_at) = (call.fence, call.decided_at);
        let Some(api) = &self.settings.platform_api else { return };
        let platform = match &self.platform {
            Some((held, platform)) if *held == fence => Arc::clone(platform),
            _ => Platform::new(api.address, &self.settings.node_name, fence),
        };
        self.platform = Some((fence, Arc::clone(&platform)));
        let (events, clock) = (self.events.clone(), self.clock);
        tokio::spawn(async move {
            // The clock is read when the call begins: the task may have been delayed, and the process may
            // have been suspended.
            let reply = match call.begin(clock.elapsed().as_nanos() as Nanos) {
                Ok(request) => platform.carry_out(request).await,
                Err(unanswered) => unanswered,
            };
            let _ = events.send(Event::Input(Input::PlatformReply(fence, decided_at, reply)));
        });
    }
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}
