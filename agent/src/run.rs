//! Carries out what the machine decides: held connections to control, mail to it and to the stall, the settings file. Decides nothing.

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

/// What the stall's mail calls it.
const STALL: &str = "stall";
/// What the machine has to say is logged under this name.
const OF: &str = "porter::round";

/// What is told of instances counts in its order: one request at a time, also where a second one would be quicker.
fn bounds(within: Duration) -> OutboxLimits {
    OutboxLimits { max_messages: 4_000, max_bytes: 16 << 20, max_in_flight: 1, timeout: within }
}

/// What comes in.
enum Came {
    /// A line of a feed.
    Line(u64, Bytes),
    /// A feed has ended, or did not begin.
    Ended(u64),
    /// A call of the stall.
    Call(Call, oneshot::Sender<Reply>),
    Mail(Event),
}

impl From<Event> for Came {
    fn from(event: Event) -> Self {
        Came::Mail(event)
    }
}

/// A feed that is open, and the mail beside it.
struct Open {
    task: JoinHandle<()>,
    post: Outbox,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Porter {
    path: PathBuf,
    name: JsonValue,
    life: Incarnation,
    began: Instant,
    came: mpsc::Sender<Came>,
    round: Recorded,
    open: BTreeMap<u64, Open>,
    stall: Outbox,
    over: bool,
}

/// Follows control and serves the stall until SIGTERM. What the machine decides on is told to the sink.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    metrics: Option<u16>,
    mut sink: Option<Sink>,
) -> Result<(), Error> {
    let loopback = if settings.ip.is_loopback() { settings.ip } else { IpAddr::V4(Ipv4Addr::LOCALHOST) };
    let ports = settings.internal_ports.0;
    let here = SocketAddr::new(loopback, ports + 2);
    let listener = TcpListener::bind(here).await.context(ListenSnafu { address: here.to_string() })?;
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let (came, mut coming) = mpsc::channel(1_000);
    serve(listener, came.clone());
    if let Some(port) = metrics {
        metrics::serve_at(SocketAddr::new(settings.ip, port), handler(came.clone())).await;
    }

    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let life = unix.as_millis() as u64;
    if let Some(sink) = &mut sink {
        sink(&Head::new(&settings.node_name, "porter", life, life).line());
    }
    let (name, number) = (text(&settings.node_name), Incarnation::new(life));
    let to = to(STALL, SocketAddr::new(loopback, ports + 1), &name, &number);
    let stall = Outbox::new(to, bounds(Duration::from_millis(800)), came.clone());
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    let terms =
        AgentConfig { name: settings.node_name, life, seeds: settings.seed_nodes, grace: nanos(grace) };
    let mut porter = Porter {
        path,
        name,
        life: number,
        began: Instant::now(),
        came,
        round: Recorded::new(terms, 0, sink),
        open: BTreeMap::new(),
        stall,
        over: false,
    };
    porter.carry_out(None);
    while !porter.over {
        let due = porter.began + Duration::from_nanos(porter.round.due());
        tokio::select! {
            came = coming.recv() => match came {
                Some(came) => porter.came(came),
                None => break,
            },
            _ = hang_up.recv() => porter.read_settings(),
            _ = term.recv() => porter.give(Input::Shutdown, None),
            () = sleep_until(due) => porter.give(Input::Tick, None),
        }
    }
    Ok(())
}

/// Takes the stall's letters.
fn serve(listener: TcpListener, came: mpsc::Sender<Came>) {
    let limits = Limits {
        max_body_bytes: 4 << 20,
        idle_timeout: Duration::from_secs(60),
        body_timeout: Duration::from_secs(5),
        max_connections: 16,
        ack_timeout: None,
    };
    tokio::spawn(messaging::serve(listener, limits, handler(came), std::future::pending()));
}

/// Puts calls to the loop, which answers them.
fn handler(
    came: mpsc::Sender<Came>,
) -> impl Fn(Call) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Clone + Send + Sync + 'static {
    move |call| {
        let came = came.clone();
        Box::pin(async move {
            let (reply, replied) = oneshot::channel();
            let gone = || Reply::empty(StatusCode::SERVICE_UNAVAILABLE);
            if came.send(Came::Call(call, reply)).await.is_err() {
                return gone();
            }
            replied.await.unwrap_or_else(|_| gone())
        })
    }
}

fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

fn to(peer: &str, address: SocketAddr, name: &JsonValue, life: &Incarnation) -> OutboxTarget {
    OutboxTarget {
        peer: Arc::from(peer),
        address,
        path: "/mail".to_owned(),
        headers: HeaderMap::new(),
        from: name.clone(),
        incarnation: life.clone(),
    }
}

impl Porter {
    fn came(&mut self, came: Came) {
        match came {
            Came::Line(feed, line) => self.give(Input::FeedLine { feed, line }, None),
            Came::Ended(feed) => {
                self.open.remove(&feed);
                self.give(Input::FeedEnded { feed }, None);
            }
            Came::Call(call, reply) if call.method == Method::GET && call.path == metrics::PATH => {
                let _ = reply.send(crate::figures::of(&self.round, self.began.elapsed()).reply());
            }
            Came::Call(call, reply) if call.method != Method::POST || call.path != "/mail" => {
                let _ = reply.send(Reply::empty(StatusCode::NOT_FOUND));
            }
            Came::Call(call, reply) => self.give(Input::ProxyMessages(call.body), Some(reply)),
            Came::Mail(Event::Up { peer }) if &*peer == STALL => self.give(Input::ProxyUp, None),
            Came::Mail(Event::Undelivered { peer, messages: notes }) => {
                // What the stall did not take it is told once it is up.
                if let Ok(feed) = peer.parse() {
                    self.give(Input::MessagesLost { feed, messages: notes.len() as u64 }, None);
                }
            }
            Came::Mail(Event::Answered { peer, body }) if &*peer != STALL => {
                self.give(Input::ControlAnswered(body), None);
            }
            Came::Mail(_) => {}
        }
    }

    fn give(&mut self, input: Input, reply: Option<oneshot::Sender<Reply>>) {
        self.round.handle(nanos(self.began.elapsed()), input);
        self.carry_out(reply);
    }

    /// Does what the machine has decided, in its order.
    fn carry_out(&mut self, mut reply: Option<oneshot::Sender<Reply>>) {
        let (mut read_settings, mut full) = (false, false);
        for effect in self.round.take() {
            match effect {
                Effect::Open { feed, address, path, messages: notes } => {
                    let open = self.feed(feed, address, path, &notes);
                    self.open.insert(feed, open);
                }
                Effect::Close { feed } => drop(self.open.remove(&feed)),
                Effect::SendToControl { feed, message: note, .. } => {
                    if let Some(open) = self.open.get(&feed) {
                        let _ = open.post.push(note.to_json());
                    }
                }
                Effect::SendToProxy(note) => {
                    full |= self.stall.push(note.to_json()).is_err();
                }
                Effect::AnswerProxy { read } => {
                    if let Some(reply) = reply.take() {
                        let status = if read { StatusCode::OK } else { StatusCode::BAD_REQUEST };
                        let _ = reply.send(Reply::empty(status));
                    }
                }
                Effect::ReadSettings => read_settings = true,
                Effect::Log(level, text) => log::log!(target: OF, level, "{text}"),
                Effect::Exit => self.over = true,
            }
        }
        if full {
            self.give(Input::ProxyQueueFull, None);
        }
        if read_settings {
            self.read_settings();
        }
    }

    /// The settings file may change without a word.
    fn read_settings(&mut self) {
        match Settings::load(&self.path) {
            Ok(settings) => self.give(Input::Seeds(settings.seed_nodes), None),
            Err(e) => log::warn!(target: OF, "settings stay as they are: {e}"),
        }
    }

    fn feed(&self, feed: u64, address: SocketAddr, path: &'static str, notes: &[PeerMessage]) -> Open {
        let body = object([
            ("from", self.name.clone()),
            ("life", JsonValue::Number(self.life.get() as f64)),
            ("notes", JsonValue::Array(notes.iter().map(PeerMessage::to_json).collect())),
        ]);
        let body = Bytes::from(body.stringify().unwrap_or_default());
        let came = self.came.clone();
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
                        if came.send(Came::Line(feed, line)).await.is_err() {
                            return;
                        }
                    }
                    log::debug!(target: OF, "the feed of {address} has ended: {:?}", held.ended());
                }
                Err(e) => log::debug!(target: OF, "no feed of {address}: {e}"),
            }
            let _ = came.send(Came::Ended(feed)).await;
        });
        let to = to(&feed.to_string(), address, &self.name, &self.life);
        let post = Outbox::new(to, bounds(Duration::from_millis(900)), self.came.clone());
        Open { task, post }
    }
}
