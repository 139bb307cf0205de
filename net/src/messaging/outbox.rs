//! Notes to one peer: what is due together goes in one request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use tinyjson::JsonValue;
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::{Incarnation, OPTIONS};
use crate::link::Client;

/// The pause before the next connection after a failure; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The answer says that the messages came, and perhaps something in return.
const LONGEST_ANSWER: usize = 1 << 20;

/// Where messages go, and from whom.
#[derive(Clone, Debug)]
pub struct OutboxTarget {
    /// What the owner calls the peer; told with each event.
    pub peer: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path of the requests.
    pub path: String,
    /// Sent with each request, beside the content type.
    pub headers: HeaderMap,
    /// Name of the sender, as the envelope has it.
    pub from: JsonValue,
    /// Which of its lives this is, as the envelope has it.
    pub incarnation: Incarnation,
}

/// How much goes out at once.
#[derive(Clone, Copy, Debug)]
pub struct OutboxLimits {
    /// Notes that may wait to be sent.
    pub max_messages: usize,
    /// Bytes that they may have together; no request's body is much longer.
    pub max_bytes: usize,
    /// Requests under way at once, each on a connection of its own. With more than one, a later message may be there before
    /// an earlier one of another request.
    pub max_in_flight: usize,
    /// How long a request and its answer may take.
    pub timeout: Duration,
}

/// What the owner is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The peer took messages, for the first time or again.
    Up {
        /// Which.
        peer: Arc<str>,
    },
    /// A request failed, for the first time or after the peer was up.
    Down {
        /// Which.
        peer: Arc<str>,
    },
    /// The peer took messages, and its answer says something.
    Answered {
        /// Which.
        peer: Arc<str>,
        /// The body of its answer.
        body: Bytes,
    },
    /// Nobody said that these were taken. They may have been, if the request got so far.
    Undelivered {
        /// Whose they were.
        peer: Arc<str>,
        /// As they were pushed, in that order.
        messages: Vec<JsonValue>,
    },
}

/// A message that is not sent, given back.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PushError {
    /// So much waits already.
    #[error("too much waits")]
    Full(JsonValue),
    /// It holds what JSON can't: a number without end, say.
    #[error("not to be written as JSON")]
    NotSerializable(JsonValue),
}

/// Notes that go together, and their text.
#[derive(Default)]
struct Batch {
    messages: Vec<JsonValue>,
    text: String,
}

struct Shared {
    waiting: Mutex<Batch>,
    due: Notify,
    bounds: OutboxLimits,
}

impl Shared {
    fn waiting(&self) -> MutexGuard<'_, Batch> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends messages to one peer until it is dropped; what waits then is not sent.
pub struct Outbox {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Outbox {
    /// Connects once there is a message. Must be called within a runtime.
    pub fn new<I: From<Event> + Send + 'static>(
        to: OutboxTarget,
        bounds: OutboxLimits,
        told: mpsc::Sender<I>,
    ) -> Self {
        let shared = Arc::new(Shared { waiting: Mutex::default(), due: Notify::new(), bounds });
        let task = tokio::spawn(run(Carrier::new(to, bounds.timeout), shared.clone(), told));
        Outbox { shared, task }
    }

    /// Has the message sent with the next request.
    ///
    /// # Errors
    /// Where too much waits already, or the message can't be written.
    pub fn push(&self, message: JsonValue) -> Result<(), PushError> {
        let Ok(text) = message.stringify() else { return Err(PushError::NotSerializable(message)) };
        let bounds = self.shared.bounds;
        let mut waiting = self.shared.waiting();
        if waiting.messages.len() >= bounds.max_messages
            || waiting.text.len() + text.len() >= bounds.max_bytes
        {
            return Err(PushError::Full(message));
        }
        if !waiting.messages.is_empty() {
            waiting.text.push(',');
        }
        waiting.text.push_str(&text);
        waiting.messages.push(message);
        drop(waiting);
        self.shared.due.notify_one();
        Ok(())
    }

    /// How many messages wait to be sent.
    pub fn waiting(&self) -> usize {
        self.shared.waiting().messages.len()
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What requests have in common.
struct Carrier {
    to: OutboxTarget,
    within: Duration,
    client: Client,
    /// Name of the sender, as text.
    from: String,
}

impl Carrier {
    fn new(mut to: OutboxTarget, within: Duration) -> Self {
        let from = to.from.stringify().unwrap_or_else(|_| "null".to_owned());
        to.headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Carrier { client: Client::new(to.address, OPTIONS), to, within, from }
    }

    /// What the peer answered, if it took the messages.
    async fn send(&self, text: &str) -> Option<Bytes> {
        let life = self.to.incarnation.get();
        let body = Bytes::from(format!(r#"{{"from":{},"life":{life},"notes":[{text}]}}"#, self.from));
        let headers = self.to.headers.clone();
        let answer =
            self.client.call(Method::POST, &self.to.path, headers, body, self.within, LONGEST_ANSWER);
        let why = match answer.await {
            Ok((status, _, body)) if status.is_success() => return Some(body),
            Ok((status, ..)) => format!("status {status}"),
            Err(e) => {
                // The others may be as dead.
                self.client.clear();
                format!("{e:?}")
            }
        };
        log::debug!("post to {} at {}: {why}", self.to.peer, self.to.address);
        None
    }
}

async fn run<I: From<Event>>(carrier: Carrier, shared: Arc<Shared>, told: mpsc::Sender<I>) {
    let (peer, carrier) = (carrier.to.peer.clone(), Arc::new(carrier));
    // An owner that is gone is told nothing.
    let tell = async |event: Event| drop(told.send(event.into()).await);
    let mut flights: JoinSet<(Vec<JsonValue>, Option<Bytes>)> = JoinSet::new();
    let mut up = None;
    let (mut pause, mut not_before) = (FIRST_PAUSE, Instant::now());
    loop {
        // While it is down, one at a time finds out whether it still is.
        let most = if up == Some(false) { 1 } else { shared.bounds.max_in_flight.max(1) };
        tokio::select! {
            biased;
            Some(landed) = flights.join_next() => match landed {
                Ok((_, Some(body))) => {
                    pause = FIRST_PAUSE;
                    if up.replace(true) != Some(true) {
                        tell(Event::Up { peer: peer.clone() }).await;
                    }
                    if !body.is_empty() {
                        tell(Event::Answered { peer: peer.clone(), body }).await;
                    }
                }
                Ok((messages, None)) => {
                    not_before = Instant::now() + pause;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                    if up.replace(false) != Some(false) {
                        tell(Event::Down { peer: peer.clone() }).await;
                    }
                    tell(Event::Undelivered { peer: peer.clone(), messages }).await;
                }
                Err(e) => log::error!("post to {peer}: {e}"),
            },
            () = ready(&shared, not_before), if flights.len() < most => {
                let Batch { messages, text } = std::mem::take(&mut *shared.waiting());
                let carrier = carrier.clone();
                flights.spawn(async move { (messages, carrier.send(&text).await) });
            }
        }
    }
}

/// Waits until there is a message to send, and the pause is over.
async fn ready(shared: &Shared, not_before: Instant) {
    sleep_until(not_before).await;
    loop {
        let due = shared.due.notified();
        if !shared.waiting().messages.is_empty() {
            return;
        }
        due.await;
    }
}
