//! Queue of messages to one peer, sent in batches: messages that are pending at the same time share a
//! request.

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

/// Pause before the next request after a failure; it doubles with each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Upper limit of the pause.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Maximum length of an answer, which may contain messages in return.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Recipient and sender of the messages of an outbox.
#[derive(Clone, Debug)]
pub struct OutboxTarget {
    /// Name of the peer, included in each event.
    pub peer: Arc<str>,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Path of the requests.
    pub path: String,
    /// Headers of each request, in addition to the content type.
    pub headers: HeaderMap,
    /// Name of the sender, included in each batch.
    pub from: JsonValue,
    /// Incarnation of the sender, included in each batch.
    pub incarnation: Incarnation,
}

/// Limits of an outbox.
#[derive(Clone, Copy, Debug)]
pub struct OutboxLimits {
    /// Maximum number of pending messages.
    pub max_messages: usize,
    /// Maximum total size of pending messages in bytes, which also limits the body of a request.
    pub max_bytes: usize,
    /// Maximum number of concurrent requests, each on its own connection. With more than one, messages of
    /// different requests may arrive out of order.
    pub max_in_flight: usize,
    /// Time limit for a request and its answer.
    pub timeout: Duration,
}

/// Reports on the peer and the delivery of messages.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The peer accepted messages, for the first time or after a failure.
    Up {
        /// Name of the peer.
        peer: Arc<str>,
    },
    /// A request failed, for the first time or after a success.
    Down {
        /// Name of the peer.
        peer: Arc<str>,
    },
    /// The peer accepted messages and returned a non-empty answer.
    Answered {
        /// Name of the peer.
        peer: Arc<str>,
        /// Body of the answer.
        body: Bytes,
    },
    /// The peer did not confirm these messages. It may nevertheless have received them.
    Undelivered {
        /// Name of the peer.
        peer: Arc<str>,
        /// The messages in the order in which they were pushed.
        messages: Vec<JsonValue>,
    },
}

/// A message was not accepted, and is returned.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PushError {
    /// The outbox is full.
    #[error("too many pending messages")]
    Full(JsonValue),
    /// The message cannot be encoded as JSON, for example because of an infinite number.
    #[error("not serializable as JSON")]
    NotSerializable(JsonValue),
}

/// Messages of one request, and their JSON text.
#[derive(Default)]
struct Batch {
    messages: Vec<JsonValue>,
    text: String,
}

struct Shared {
    pending: Mutex<Batch>,
    pushed: Notify,
    limits: OutboxLimits,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, Batch> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends messages to one peer until it is dropped; messages that are pending then are discarded.
pub struct Outbox {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Outbox {
    /// Creates an outbox that reports to `events`. It connects when the first message is pushed.
    ///
    /// # Panics
    /// If called outside a Tokio runtime.
    pub fn new<I: From<Event> + Send + 'static>(
        target: OutboxTarget,
        limits: OutboxLimits,
        events: mpsc::Sender<I>,
    ) -> Self {
        let shared = Arc::new(Shared { pending: Mutex::default(), pushed: Notify::new(), limits });
        let task = tokio::spawn(run(BatchSender::new(target, limits.timeout), shared.clone(), events));
        Outbox { shared, task }
    }

    /// Queues a message for the next request.
    ///
    /// # Errors
    /// If the outbox is full, or the message cannot be encoded.
    pub fn push(&self, message: JsonValue) -> Result<(), PushError> {
        let Ok(text) = message.stringify() else { return Err(PushError::NotSerializable(message)) };
        let limits = self.shared.limits;
        let mut pending = self.shared.pending();
        if pending.messages.len() >= limits.max_messages
            || pending.text.len() + text.len() >= limits.max_bytes
        {
            return Err(PushError::Full(message));
        }
        if !pending.messages.is_empty() {
            pending.text.push(',');
        }
        pending.text.push_str(&text);
        pending.messages.push(message);
        drop(pending);
        self.shared.pushed.notify_one();
        Ok(())
    }

    /// Returns the number of pending messages.
    pub fn pending(&self) -> usize {
        self.shared.pending().messages.len()
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends the requests of an outbox.
struct BatchSender {
    target: OutboxTarget,
    timeout: Duration,
    client: Client,
    /// Name of the sender as JSON text.
    from: String,
}

impl BatchSender {
    fn new(mut target: OutboxTarget, timeout: Duration) -> Self {
        let from = target.from.stringify().unwrap_or_else(|_| "null".to_owned());
        target.headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        BatchSender { client: Client::new(target.address, OPTIONS), target, timeout, from }
    }

    /// Sends a batch. Returns the body of the answer if the peer accepted it.
    async fn send(&self, text: &str) -> Option<Bytes> {
        let incarnation = self.target.incarnation.get();
        let body = Bytes::from(format!(r#"{{"from":{},"life":{incarnation},"notes":[{text}]}}"#, self.from));
        let headers = self.target.headers.clone();
        let answer =
            self.client.call(Method::POST, &self.target.path, headers, body, self.timeout, MAX_ANSWER_BYTES);
        let reason = match answer.await {
            Ok((status, _, body)) if status.is_success() => return Some(body),
            Ok((status, ..)) => format!("status {status}"),
            Err(e) => {
                // The other idle connections may be broken as well.
                self.client.clear();
                format!("{e:?}")
            }
        };
        log::debug!("cannot send messages to {} at {}: {reason}", self.target.peer, self.target.address);
        None
    }
}

async fn run<I: From<Event>>(sender: BatchSender, shared: Arc<Shared>, events: mpsc::Sender<I>) {
    let (peer, sender) = (sender.target.peer.clone(), Arc::new(sender));
    // Events are dropped if the receiver is gone.
    let report = async |event: Event| drop(events.send(event.into()).await);
    let mut in_flight: JoinSet<(Vec<JsonValue>, Option<Bytes>)> = JoinSet::new();
    let mut up = None;
    let (mut pause, mut not_before) = (MIN_PAUSE, Instant::now());
    loop {
        // While the peer is down, a single request at a time checks whether it still is.
        let max_in_flight = if up == Some(false) { 1 } else { shared.limits.max_in_flight.max(1) };
        tokio::select! {
            biased;
            Some(finished) = in_flight.join_next() => match finished {
                Ok((_, Some(body))) => {
                    pause = MIN_PAUSE;
                    if up.replace(true) != Some(true) {
                        report(Event::Up { peer: peer.clone() }).await;
                    }
                    if !body.is_empty() {
                        report(Event::Answered { peer: peer.clone(), body }).await;
                    }
                }
                Ok((messages, None)) => {
                    not_before = Instant::now() + pause;
                    pause = (pause * 2).min(MAX_PAUSE);
                    if up.replace(false) != Some(false) {
                        report(Event::Down { peer: peer.clone() }).await;
                    }
                    report(Event::Undelivered { peer: peer.clone(), messages }).await;
                }
                Err(e) => log::error!("task sending messages to {peer} failed: {e}"),
            },
            () = ready(&shared, not_before), if in_flight.len() < max_in_flight => {
                let Batch { messages, text } = std::mem::take(&mut *shared.pending());
                let sender = sender.clone();
                in_flight.spawn(async move { (messages, sender.send(&text).await) });
            }
        }
    }
}

/// Waits until a message is pending and the pause is over.
async fn ready(shared: &Shared, not_before: Instant) {
    sleep_until(not_before).await;
    loop {
        let pushed = shared.pushed.notified();
        if !shared.pending().messages.is_empty() {
            return;
        }
        pushed.await;
    }
}
