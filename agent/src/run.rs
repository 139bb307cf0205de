//! Carries out the state machine's effects: the feeds from controllers, the messages to controllers and to
//! the proxy, the settings file. Makes no decisions of its own.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use millpost_agent::latest::MAX_CONFIG_BYTES;
use millpost_agent::{AgentConfig, Effect, Input, Nanos, Recorded};
use millpost_config::Settings;
use millpost_net::messaging::{
    self, Call, Event, Incarnation, Limits, LineStream, Outbox, OutboxLimits, OutboxTarget, Reply,
};
use millpost_net::metrics;
use millpost_protocol::frame::Head;
use millpost_protocol::line::Sink;
use millpost_protocol::{PeerMessage, object, text};
use snafu::ResultExt;
use tinyjson::JsonValue;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::errors::{Error, ListenSnafu, SignalsSnafu};

/// The proxy's peer name in the events of its outbox.
const PROXY: &str = "stall";
/// The log target of the state machine's log lines.
const LOG_TARGET: &str = "porter::round";

/// The bounds of an outbox. One request at a time, although a second one would be faster: changes to
/// instances have to arrive in order.
fn bounds(within: Duration) -> OutboxLimits {
    OutboxLimits { max_messages: 4_000, max_bytes: 16 << 20, max_in_flight: 1, timeout: within }
}

/// An event for the main loop.
enum Incoming {
    /// A line of a feed.
    Line(u64, Bytes),
    /// A feed has ended, or could not be opened.
    Ended(u64),
    /// An HTTP request from the proxy or for the metrics.
    Call(Call, oneshot::Sender<Reply>),
    /// An event of an outbox.
    Outbox(Event),
}

impl From<Event> for Incoming {
    fn from(event: Event) -> Self {
        Incoming::Outbox(event)
    }
}

/// An open feed, and the outbox to its controller.
struct OpenFeed {
    task: JoinHandle<()>,
    outbox: Outbox,
}

impl Drop for OpenFeed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs the state machine and carries out its effects.
struct Driver {
    /// The settings file.
    path: PathBuf,
    name: JsonValue,
    incarnation: Incarnation,
    started_at: Instant,
    incoming: mpsc::Sender<Incoming>,
    agent: Recorded,
    feeds: BTreeMap<u64, OpenFeed>,
    proxy: Outbox,
    exiting: bool,
}

/// Follows the controllers and serves the proxy until the agent shuts down. The state machine's inputs are
/// recorded to the sink.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    metrics: Option<u16>,
    mut sink: Option<Sink>,
) -> Result<(), Error> {
    let loopback = if settings.ip.is_loopback() { settings.ip } else { IpAddr::V4(Ipv4Addr::LOCALHOST) };
    let ports = settings.internal_ports.0;
    let address = SocketAddr::new(loopback, ports + 2);
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })?;
    let mut sigterm = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut sighup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let (incoming, mut received) = mpsc::channel(1_000);
    serve(listener, incoming.clone());
    if let Some(port) = metrics {
        metrics::serve_at(SocketAddr::new(settings.ip, port), handler(incoming.clone())).await;
    }

    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let started_ms = unix.as_millis() as u64;
    if let Some(sink) = &mut sink {
        sink(&Head::new(&settings.node_name, "porter", started_ms, started_ms).line());
    }
    let (name, incarnation) = (text(&settings.node_name), Incarnation::new(started_ms));
    let destination = destination(PROXY, SocketAddr::new(loopback, ports + 1), &name, &incarnation);
    let proxy = Outbox::new(destination, bounds(Duration::from_millis(800)), incoming.clone());
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    let config = AgentConfig {
        name: settings.node_name,
        life: started_ms,
        seeds: settings.seed_nodes,
        grace: nanos(grace),
    };
    let mut driver = Driver {
        path,
        name,
        incarnation,
        started_at: Instant::now(),
        incoming,
        agent: Recorded::new(config, 0, sink),
        feeds: BTreeMap::new(),
        proxy,
        exiting: false,
    };
    driver.run_effects(None);
    while !driver.exiting {
        let due = driver.started_at + Duration::from_nanos(driver.agent.due());
        tokio::select! {
            incoming = received.recv() => match incoming {
                Some(incoming) => driver.handle_incoming(incoming),
                None => break,
            },
            _ = sighup.recv() => driver.read_settings(),
            _ = sigterm.recv() => driver.handle(Input::Shutdown, None),
            () = sleep_until(due) => driver.handle(Input::Tick, None),
        }
    }
    Ok(())
}

/// Serves the endpoint for the proxy's message batches.
fn serve(listener: TcpListener, incoming: mpsc::Sender<Incoming>) {
    let limits = Limits {
        max_body_bytes: 4 << 20,
        idle_timeout: Duration::from_secs(60),
        body_timeout: Duration::from_secs(5),
        max_connections: 16,
        ack_timeout: None,
    };
    tokio::spawn(messaging::serve(listener, limits, handler(incoming), std::future::pending()));
}

/// Passes requests to the main loop, which answers them.
fn handler(
    incoming: mpsc::Sender<Incoming>,
) -> impl Fn(Call) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Clone + Send + Sync + 'static {
    move |call| {
        let incoming = incoming.clone();
        Box::pin(async move {
            let (reply, replied) = oneshot::channel();
            let unavailable = || Reply::empty(StatusCode::SERVICE_UNAVAILABLE);
            if incoming.send(Incoming::Call(call, reply)).await.is_err() {
                return unavailable();
            }
            replied.await.unwrap_or_else(|_| unavailable())
        })
    }
}

fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

fn destination(peer: &str, address: SocketAddr, name: &JsonValue, incarnation: &Incarnation) -> OutboxTarget {
    OutboxTarget {
        peer: Arc::from(peer),
        address,
        path: "/mail".to_owned(),
        headers: HeaderMap::new(),
        from: name.clone(),
        incarnation: incarnation.clone(),
    }
}

impl Driver {
    fn handle_incoming(&mut self, incoming: Incoming) {
        match incoming {
            Incoming::Line(feed, line) => self.handle(Input::FeedLine { feed, line }, None),
            Incoming::Ended(feed) => {
                self.feeds.remove(&feed);
                self.handle(Input::FeedEnded { feed }, None);
            }
            Incoming::Call(call, reply) if call.method == Method::GET && call.path == metrics::PATH => {
                let _ = reply.send(crate::metrics::collect(&self.agent, self.started_at.elapsed()).reply());
            }
            Incoming::Call(call, reply) if call.method != Method::POST || call.path != "/mail" => {
                let _ = reply.send(Reply::empty(StatusCode::NOT_FOUND));
            }
            Incoming::Call(call, reply) => self.handle(Input::ProxyMessages(call.body), Some(reply)),
            Incoming::Outbox(Event::Up { peer }) if &*peer == PROXY => self.handle(Input::ProxyUp, None),
            Incoming::Outbox(Event::Undelivered { peer, .. }) if &*peer == PROXY => {
                self.handle(Input::ProxyMessagesLost, None);
            }
            Incoming::Outbox(Event::Undelivered { peer, messages: notes }) => {
                if let Ok(feed) = peer.parse() {
                    self.handle(Input::MessagesLost { feed, messages: notes.len() as u64 }, None);
                }
            }
            Incoming::Outbox(Event::Answered { peer, body }) if &*peer != PROXY => {
                self.handle(Input::ControlAnswered(body), None);
            }
            Incoming::Outbox(_) => {}
        }
    }

    /// Passes an input to the state machine and carries out the effects. `reply` is for
    /// [`Effect::AnswerProxy`].
    fn handle(&mut self, input: Input, reply: Option<oneshot::Sender<Reply>>) {
        self.agent.handle(nanos(self.started_at.elapsed()), input);
        self.run_effects(reply);
    }

    /// Carries out the state machine's effects in order.
    fn run_effects(&mut self, mut reply: Option<oneshot::Sender<Reply>>) {
        let (mut read_settings, mut full) = (false, false);
        for effect in self.agent.take() {
            match effect {
                Effect::Open { feed, address, path, messages } => {
                    let opened = self.open_feed(feed, address, path, &messages);
                    self.feeds.insert(feed, opened);
                }
                Effect::Close { feed } => drop(self.feeds.remove(&feed)),
                Effect::SendToControl { feed, message, .. } => {
                    if let Some(open) = self.feeds.get(&feed) {
                        let _ = open.outbox.push(message.to_json());
                    }
                }
                Effect::SendToProxy(message) => {
                    full |= self.proxy.push(message.to_json()).is_err();
                }
                Effect::AnswerProxy { read } => {
                    if let Some(reply) = reply.take() {
                        let status = if read { StatusCode::OK } else { StatusCode::BAD_REQUEST };
                        let _ = reply.send(Reply::empty(status));
                    }
                }
                Effect::ReadSettings => read_settings = true,
                Effect::Log(level, text) => log::log!(target: LOG_TARGET, level, "{text}"),
                Effect::Exit => self.exiting = true,
            }
        }
        if full {
            self.handle(Input::ProxyQueueFull, None);
        }
        if read_settings {
            self.read_settings();
        }
    }

    /// Reads the settings file for new seeds. It may change without a signal.
    fn read_settings(&mut self) {
        match Settings::load(&self.path) {
            Ok(settings) => self.handle(Input::Seeds(settings.seed_nodes), None),
            Err(e) => log::warn!(target: LOG_TARGET, "can't reload settings, keeping the current ones: {e}"),
        }
    }

    fn open_feed(
        &self,
        feed: u64,
        address: SocketAddr,
        path: &'static str,
        messages: &[PeerMessage],
    ) -> OpenFeed {
        let body = object([
            ("from", self.name.clone()),
            ("life", JsonValue::Number(self.incarnation.get() as f64)),
            ("notes", JsonValue::Array(messages.iter().map(PeerMessage::to_json).collect())),
        ]);
        let body = Bytes::from(body.stringify().unwrap_or_default());
        let incoming = self.incoming.clone();
        let task = tokio::spawn(async move {
            let silence = Duration::from_millis(1_200);
            let terms = messaging::StreamOptions {
                open_timeout: Duration::from_millis(700),
                max_line_bytes: MAX_CONFIG_BYTES,
                idle_timeout: silence,
            };
            match LineStream::open(address, path, body, terms).await {
                Ok(mut held) => {
                    while let Some(line) = held.next_line().await {
                        if incoming.send(Incoming::Line(feed, line)).await.is_err() {
                            return;
                        }
                    }
                    let reason = held.ended();
                    log::debug!(target: LOG_TARGET, "feed from controller {address} ended: {reason:?}");
                }
                Err(e) => log::debug!(target: LOG_TARGET, "can't open a feed from controller {address}: {e}"),
            }
            let _ = incoming.send(Incoming::Ended(feed)).await;
        });
        let destination = destination(&feed.to_string(), address, &self.name, &self.incarnation);
        let outbox = Outbox::new(destination, bounds(Duration::from_millis(900)), self.incoming.clone());
        OpenFeed { task, outbox }
    }
}
