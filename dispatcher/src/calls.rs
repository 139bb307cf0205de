//! Calls and probes to endpoints, and the connections that carry them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use millpost::api::{EndpointId, Nanos, Outcome, Report};
use millpost_core::{CallEnd, CallId, CallMessage, MessageEnd, MessageEnds};
use millpost_net::link::{Error, Link};
use millpost_net::meter::{Part, metered};
use millpost_net::write_progress::MessageCounter;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::batch;

/// The body of an answer to a single message is ignored. It is read, up to this size, so that the connection
/// can be reused.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time limit for reading a body. A wait in the headers counts from the arrival of the head, so little time
/// may pass.
const BODY_TIMEOUT: Duration = Duration::from_millis(80);
/// Time limit for the rest of a response head after its status line. Servers write a head in one go; the
/// limit protects the call slots against endless heads.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for reading the body of an answer to a batch, which holds the result of each message.
const ENDS_TIMEOUT: Duration = Duration::from_millis(500);

/// Events of calls and probes.
pub enum Event {
    /// The connection for a call has been established, or has failed (`None`).
    Connected { call: CallId, link: Option<Link> },
    /// The connection of a call was lost before the last byte of the request was written.
    Unsent { call: CallId },
    /// A call has ended; `link` is its connection if it can be reused.
    Ended { call: CallId, ended: CallEnd, link: Option<Link> },
    /// A probe has ended; `link` is its connection if it can be reused.
    Probed { endpoint: EndpointId, took: Duration, ended: CallEnd, link: Option<Link> },
}

/// An endpoint may drop idle connections much sooner than its keep-alive time, without closing them: each is
/// then reset at its next request. An observed idle limit applies for this long.
const IDLE_LIMIT_TTL: Duration = Duration::from_secs(15);

struct IdleConnection {
    link: Link,
    address: SocketAddr,
    since: Instant,
}

/// The connection of a call.
struct CallConnection {
    endpoint: EndpointId,
    address: SocketAddr,
    since: Instant,
    /// Present until the call is written.
    link: Option<Link>,
    /// Whether it was opened for this call.
    fresh: bool,
    /// How long a reused connection had been idle.
    idle_for: Duration,
    cancel: Option<oneshot::Sender<()>>,
}

/// A connection that is reset this soon after a request was probably lost before the request.
const IMMEDIATE_RESET: Duration = Duration::from_millis(10);
/// A kept connection that was used this recently is assumed to be alive.
const RECENTLY_USED: Duration = Duration::from_millis(50);

/// Runs calls and keeps a pool of idle connections.
pub struct Calls<I> {
    connections: HashMap<CallId, CallConnection>,
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    /// The idle time after which an endpoint appears to drop its connections, and when that was observed.
    idle_limits: HashMap<EndpointId, (Duration, Instant)>,
    idle_count: usize,
    max_idle: usize,
    reuse_limit: Duration,
    connect_timeout: Duration,
    sent: MessageCounter,
    input_tx: mpsc::Sender<I>,
}

impl<I: From<Event> + Send + 'static> Calls<I> {
    /// Keeps at most `max_idle` idle connections; endpoints close theirs after `keepalive`.
    pub fn new(max_idle: usize, keepalive: Nanos, connect: Nanos, input_tx: mpsc::Sender<I>) -> Self {
        // An idle connection that the endpoint may be closing is not reused: a request that crosses the close
        // counts as a reset, after which an unsafe message cannot be retried.
        let keepalive = Duration::from_nanos(keepalive);
        let reuse_limit = keepalive - keepalive / 8;
        let connect_timeout = Duration::from_nanos(connect);
        Calls {
            connections: HashMap::new(),
            idle: HashMap::new(),
            idle_limits: HashMap::new(),
            idle_count: 0,
            max_idle,
            reuse_limit,
            connect_timeout,
            sent: MessageCounter::default(),
            input_tx,
        }
    }

    /// Sets the maximum number of idle connections, the keep-alive time of the endpoints and the connect
    /// timeout, both in nanoseconds.
    pub fn set_limits(&mut self, max_idle: usize, keepalive: Nanos, connect: Nanos) {
        let keepalive = Duration::from_nanos(keepalive);
        (self.max_idle, self.reuse_limit) = (max_idle, keepalive - keepalive / 8);
        self.connect_timeout = Duration::from_nanos(connect);
    }

    /// Calls that were written and have not ended yet.
    pub fn written(&self) -> impl Iterator<Item = CallId> + '_ {
        self.connections.iter().filter(|(_, connection)| connection.cancel.is_some()).map(|(call, _)| *call)
    }

    /// Counts the messages that were written completely to endpoints.
    pub fn sent(&self) -> &MessageCounter {
        &self.sent
    }

    /// Records that a connection was dead at its next request after being idle for `age`.
    fn record_idle_limit(&mut self, endpoint: EndpointId, age: Duration) {
        let age = self.reuse_limit(endpoint).min(age * 3 / 4);
        self.idle_limits.insert(endpoint, (age, Instant::now()));
    }

    fn reuse_limit(&self, endpoint: EndpointId) -> Duration {
        let seen = self.idle_limits.get(&endpoint).filter(|(_, at)| at.elapsed() < IDLE_LIMIT_TTL);
        seen.map_or(self.reuse_limit, |(age, _)| self.reuse_limit.min(*age))
    }

    /// Takes the most recently used idle connection, and how long it has been idle. With `sure`, for a
    /// message that cannot be retried after a reset, skips those that the endpoint may have dropped; any
    /// other message may try one, since a new connection costs more than a second attempt.
    fn take_idle(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        sure: bool,
    ) -> Option<(Link, Duration)> {
        let within = if sure { self.reuse_limit(endpoint) } else { self.reuse_limit };
        let idle = self.idle.get_mut(&endpoint)?;
        while let Some(kept) = idle.pop_if(|kept| !sure || kept.since.elapsed() < within) {
            self.idle_count -= 1;
            let age = kept.since.elapsed();
            if kept.address == address && age < within && kept.link.usable() {
                return Some((kept.link, age));
            }
        }
        None
    }

    /// Adds a connection to the idle pool, if there is space.
    pub fn keep(&mut self, endpoint: EndpointId, address: SocketAddr, link: Link) {
        if self.idle_count >= self.max_idle {
            self.sweep();
        }
        if self.idle_count < self.max_idle {
            self.idle_count += 1;
            self.idle.entry(endpoint).or_default().push(IdleConnection {
                link,
                address,
                since: Instant::now(),
            });
        }
    }

    /// Closes the idle connections to an endpoint that did not answer. The connections to an unreachable
    /// machine stay open and silent, and a call on one of them may have been executed; a failed attempt to
    /// open a new connection proves that it was not, so that an unsafe message can be retried.
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.idle_count -= self.idle.remove(&endpoint).map_or(0, |idle| idle.len());
    }

    /// Closes the idle connections to all endpoints for which `stays` is false.
    pub fn retain(&mut self, stays: impl Fn(EndpointId) -> bool) {
        self.idle.retain(|endpoint, _| stays(*endpoint));
        self.idle_limits.retain(|endpoint, _| stays(*endpoint));
        self.idle_count = self.idle.values().map(Vec::len).sum();
    }

    /// Closes idle connections that are too old or unusable.
    pub fn sweep(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.since.elapsed() < self.reuse_limit && kept.link.usable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        self.idle_count = self.idle.values().map(Vec::len).sum();
    }

    /// Finds a connection for a call: an idle one, unless `fresh` is set, or else a new one. Returns whether
    /// it is available now; otherwise [`Event::Connected`] follows.
    pub fn connect(
        &mut self,
        call: CallId,
        endpoint: EndpointId,
        address: SocketAddr,
        sure: bool,
        fresh: bool,
        within: Duration,
    ) -> bool {
        let kept = if fresh { None } else { self.take_idle(endpoint, address, sure) };
        let connection = self.connections.entry(call).or_insert_with(|| CallConnection {
            endpoint,
            address,
            since: Instant::now(),
            link: None,
            fresh: false,
            idle_for: Duration::ZERO,
            cancel: None,
        });
        if let Some((link, age)) = kept {
            (connection.link, connection.idle_for) = (Some(link), age);
            return true;
        }
        (connection.fresh, connection.address) = (true, address);
        let (input_tx, within) = (self.input_tx.clone(), within.min(self.connect_timeout));
        tokio::spawn(metered(Part::Calls, async move {
            let link = timeout(within, Link::open(address)).await.ok().and_then(Result::ok);
            let _ = input_tx.send(Event::Connected { call, link }.into()).await;
        }));
        false
    }

    /// Handles [`Event::Connected`]. Returns whether the connection was established.
    pub fn connected(&mut self, call: CallId, link: Option<Link>) -> bool {
        let up = link.is_some();
        if let (true, Some(connection)) = (up, self.connections.get_mut(&call)) {
            connection.link = link;
        } else if let Some(connection) = self.connections.remove(&call) {
            self.close_idle(connection.endpoint);
        }
        up
    }

    /// Returns the unused connection of a call to the pool, if the endpoint accepts work.
    pub fn release(&mut self, call: CallId, ready: impl Fn(EndpointId) -> bool) {
        if let Some(CallConnection { endpoint, address, link: Some(link), .. }) =
            self.connections.remove(&call)
            && ready(endpoint)
        {
            self.keep(endpoint, address, link);
        }
    }

    /// Handles [`Event::Unsent`]. Returns whether the connection was a new one.
    pub fn unsent(&mut self, call: CallId) -> bool {
        let Some(connection) = self.connections.get(&call) else { return true };
        let (endpoint, idle_for, fresh) = (connection.endpoint, connection.idle_for, connection.fresh);
        if fresh {
            self.connections.remove(&call);
        } else {
            self.record_idle_limit(endpoint, idle_for);
        }
        fresh
    }

    /// Handles [`Event::Ended`]. Keeps the connection if it can be reused and the endpoint accepts work.
    pub fn ended(
        &mut self,
        call: CallId,
        ends: &MessageEnds,
        link: Option<Link>,
        ready: impl Fn(EndpointId) -> bool,
    ) {
        let Some(connection) = self.connections.remove(&call) else { return };
        let CallConnection { endpoint, address, since, fresh, idle_for, .. } = connection;
        if let Some(link) = link.filter(|_| ready(endpoint)) {
            self.keep(endpoint, address, link);
        }
        if ends.is(Outcome::Reset) && !fresh && since.elapsed() < IMMEDIATE_RESET {
            self.record_idle_limit(endpoint, idle_for);
        }
        // A reset of one connection says nothing about the others: each is checked before use.
        if ends.is(Outcome::TimedOut) {
            self.close_idle(endpoint);
        }
    }

    /// Cancels a call in progress.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(cancel) = self.connections.get_mut(&call).and_then(|c| c.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Writes a call on its connection. Returns whether it could be started.
    pub fn write(
        &mut self,
        call: CallId,
        messages: Vec<CallMessage>,
        sure: bool,
        until: Instant,
        within: Duration,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&call) else { return false };
        // A recently used connection is not stale, and on a new connection a message that can be retried
        // needs no proof that it was not executed.
        let proof = sure || !connection.fresh && connection.idle_for >= RECENTLY_USED;
        let (request, references) = call_request(connection.address, messages, within);
        let (Some(request), Some(link)) = (request, connection.link.take()) else {
            self.connections.remove(&call);
            return false;
        };
        let (cancel, cancelled) = oneshot::channel();
        connection.cancel = Some(cancel);
        self.send(call, link, request, until, proof, cancelled, references);
        true
    }

    /// Sends a call and waits for its end in a task. Sending on the other end of `cancelled` cancels the
    /// call; dropping it has no effect.
    #[expect(clippy::too_many_arguments, reason = "each is a part of one request")]
    fn send(
        &self,
        call: CallId,
        mut link: Link,
        request: Request<Full<Bytes>>,
        until: Instant,
        proof: bool,
        cancelled: oneshot::Receiver<()>,
        // The references of the messages in a batch; empty for a single message.
        references: Vec<String>,
    ) {
        let input_tx = self.input_tx.clone();
        let counted = Some((self.sent.clone(), references.len().max(1) as u64));
        tokio::spawn(metered(Part::Calls, async move {
            let cancelled = async {
                if cancelled.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            let written = link.written();
            let head_timeout = async {
                written.answered().await;
                sleep(HEAD_TIMEOUT).await;
            };
            let answer = tokio::select! {
                // Biased, because `head_timeout` observes the previous request's state until this one has
                // started.
                biased;
                answer = timeout_at(until, link.send(request, proof, counted)) => answer.map_err(|_| Outcome::TimedOut),
                () = cancelled => Err(Outcome::Cancelled),
                () = head_timeout => Err(Outcome::Reset),
            };
            let ended = match answer {
                Ok(Ok(answer)) => finish(link, answer, &references).await,
                // Whatever the cause: an endpoint starts to execute a call only after its last byte.
                Ok(Err(Error::NotSent | Error::Cut)) => {
                    link.close().await;
                    let _ = input_tx.send(Event::Unsent { call }.into()).await;
                    return;
                }
                // A status line of 200 is conclusive for a single message even if the rest of the answer is
                // broken; for a batch the body holds the results.
                Ok(Err(_)) | Err(_) if link.status() == Some(200) && references.is_empty() => {
                    link.close().await;
                    let served = MessageEnds::All(MessageEnd { outcome: Outcome::Served, over: true });
                    CallEnd { ends: served, wait: None, report: None }.into()
                }
                Ok(Err(_)) => close_and_fail(link, Outcome::Reset).await,
                Err(outcome) => {
                    let outcome = if link.all_written() { outcome } else { Outcome::ConnectFailed };
                    close_and_fail(link, outcome).await
                }
            };
            let ExchangeEnd { ended, link } = ended;
            let _ = input_tx.send(Event::Ended { call, ended, link }.into()).await;
        }));
    }

    /// Probes an endpoint, on an idle connection or else a new one.
    pub fn probe(&mut self, endpoint: EndpointId, address: SocketAddr) {
        let (input_tx, within, idle) =
            (self.input_tx.clone(), self.connect_timeout, self.take_idle(endpoint, address, false));
        tokio::spawn(metered(Part::Calls, async move {
            let began = Instant::now();
            let exchange = async {
                let mut link = match idle {
                    Some((link, _)) => link,
                    None => Link::open(address).await.map_err(|_| Outcome::ConnectFailed)?,
                };
                let request = Request::get("/load").header("Host", address.to_string());
                let request = request.body(Full::default()).map_err(|_| Outcome::NotSent)?;
                let answer = link.send(request, false, None).await.map_err(|_| Outcome::Reset)?;
                Ok(finish(link, answer, &[]).await)
            };
            let ended = match timeout(within, exchange).await {
                Ok(Ok(ended)) => ended,
                Ok(Err(outcome)) => CallEnd::without_answer(outcome).into(),
                Err(_) => CallEnd::without_answer(Outcome::TimedOut).into(),
            };
            let (took, ExchangeEnd { ended, link }) = (began.elapsed(), ended);
            let _ = input_tx.send(Event::Probed { endpoint, took, ended, link }.into()).await;
        }));
    }
}

/// The end of an exchange, and its connection if it can be reused.
struct ExchangeEnd {
    ended: CallEnd,
    link: Option<Link>,
}

impl From<CallEnd> for ExchangeEnd {
    fn from(ended: CallEnd) -> Self {
        ExchangeEnd { ended, link: None }
    }
}

/// Closes the connection before reporting the outcome: no other attempt may start while it is open.
async fn close_and_fail(link: Link, outcome: Outcome) -> ExchangeEnd {
    link.close().await;
    CallEnd::without_answer(outcome).into()
}

/// Reads the rest of an answer. For a single message a status line of 200 is conclusive whatever follows; any
/// other answer counts only if it is complete. A truncated or endless answer proves nothing: the call may
/// have been executed. Data after a complete answer is ignored, but the connection is not reused.
async fn finish(
    mut link: Link,
    answer: Response<hyper::body::Incoming>,
    references: &[String],
) -> ExchangeEnd {
    let (head, body) = answer.into_parts();
    let wait_header = wait(&head.headers);
    // If the answer names a wait, little time may pass; if not, losing the results of a batch is the greater
    // cost.
    let within = if references.is_empty() || wait_header.is_some() { BODY_TIMEOUT } else { ENDS_TIMEOUT };
    let body = timeout(within, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes());
    let whole = body.is_some();
    let is_batch = !references.is_empty();
    if !whole && (is_batch || head.status != StatusCode::OK) {
        let wait = wait_header.filter(|_| is_batch);
        let failed = close_and_fail(link, Outcome::Reset).await;
        return ExchangeEnd { ended: CallEnd { wait, ..failed.ended }, ..failed };
    }
    let ends = match body.filter(|_| is_batch && head.status == StatusCode::OK) {
        Some(body) => MessageEnds::Each(batch_ends(&body, references, wait_header)),
        None if is_batch => MessageEnds::All(batch_outcome(head.status, &head.headers)),
        None => MessageEnds::All(outcome(head.status, &head.headers)),
    };
    // For any other answer the outcome already includes the wait.
    let wait = wait_header.filter(|_| matches!(ends, MessageEnds::Each(_)));
    let report = head.headers.get("Srv-Load").and_then(|v| v.to_str().ok()).and_then(report);
    let ended = CallEnd { ends, wait, report };
    if whole && timeout(BODY_TIMEOUT, link.reusable()).await.unwrap_or(false) {
        return ExchangeEnd { ended, link: Some(link) };
    }
    link.close().await;
    ended.into()
}

/// The result of each message from the body of an answer to a batch.
fn batch_ends(body: &[u8], references: &[String], wait: Option<Nanos>) -> Vec<MessageEnd> {
    let end = |result: Option<batch::End>| match result {
        Some(batch::End::Delivered) => MessageEnd { outcome: Outcome::Served, over: true },
        Some(batch::End::Refused) => Outcome::Full(wait).into(),
        Some(batch::End::Over) => MessageEnd { outcome: Outcome::NotSent, over: true },
        Some(batch::End::Spent) => Outcome::Exhausted.into(),
        Some(batch::End::Failed) => Outcome::Error.into(),
        None => Outcome::Reset.into(),
    };
    batch::ends(body, references).into_iter().map(end).collect()
}

/// The common result of all messages for an answer to a batch that does not list them.
fn batch_outcome(status: StatusCode, headers: &HeaderMap) -> MessageEnd {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => outcome(status, headers),
        // The request was rejected as a whole; no message was executed.
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => Outcome::NotSent.into(),
        // The protocol reports finished or exhausted messages individually, so such a status for the whole
        // batch is unknown.
        _ => Outcome::Error.into(),
    }
}

/// The outcome that a status stands for, and whether the message is finished with it.
fn outcome(status: StatusCode, headers: &HeaderMap) -> MessageEnd {
    match status {
        StatusCode::OK => MessageEnd { outcome: Outcome::Served, over: true },
        StatusCode::TOO_MANY_REQUESTS => Outcome::Full(wait(headers)).into(),
        StatusCode::SERVICE_UNAVAILABLE if headers.get("X-Over-Slots").is_some_and(|v| v == "1") => {
            Outcome::NotSent.into()
        }
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full(wait(headers)).into(),
        StatusCode::GATEWAY_TIMEOUT => Outcome::Exhausted.into(),
        StatusCode::GONE => MessageEnd { outcome: Outcome::NotSent, over: true },
        // A status unknown to the protocol proves nothing: the message may have been executed.
        _ => Outcome::Error.into(),
    }
}

/// Parses `Retry-After`, in seconds with decimals.
fn wait(headers: &HeaderMap) -> Option<Nanos> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then(|| (seconds.min(86_400.0) * 1e9).ceil() as Nanos)
}

/// Parses a load report such as `TEXT x0=0.4, x1=25`.
fn report(text: &str) -> Option<Report> {
    let mut report = Report { share_left: 0.0, limit: 0.0 };
    let mut seen = false;
    for pair in text.trim().strip_prefix("TEXT").unwrap_or(text).split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        match name.trim() {
            "x0" => report.share_left = value,
            "x1" => report.limit = value,
            _ => continue,
        }
        seen = true;
    }
    seen.then_some(report)
}

/// Builds the request of a call; the second value lists the references of a batch and is empty for a single
/// message.
fn call_request(
    address: SocketAddr,
    messages: Vec<CallMessage>,
    within: Duration,
) -> (Option<Request<Full<Bytes>>>, Vec<String>) {
    if let [CallMessage { reference, key, body }] = &messages[..] {
        return (request(address, reference, key.as_ref(), body.clone(), within), Vec::new());
    }
    let items: Option<Vec<String>> =
        messages.iter().map(|m| batch::item(&m.reference, m.key.as_deref(), &m.body)).collect();
    let request = request_builder("/hook/batch", address, within).header("Content-Type", "application/json");
    let request = items.and_then(|items| request.body(Full::new(batch::body(&items))).ok());
    (request, messages.into_iter().map(|m| m.reference).collect())
}

/// Builds the request of a call with a single message.
fn request(
    address: SocketAddr,
    reference: &str,
    key: Option<&Bytes>,
    body: Bytes,
    within: Duration,
) -> Option<Request<Full<Bytes>>> {
    let request = request_builder("/hook", address, within).header("Req-Id", reference);
    let request = match key {
        Some(key) => request.header("Idempotency-Key", HeaderValue::from_bytes(key).ok()?),
        None => request,
    };
    request.body(Full::new(body)).ok()
}

fn request_builder(path: &str, address: SocketAddr, within: Duration) -> hyper::http::request::Builder {
    Request::post(path)
        .header("Host", address.to_string())
        .header("Req-Deadline", format!("{:.3}", within.as_secs_f64()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_reports_and_waits_and_rejects_malformed_ones() {
        assert_eq!(report("TEXT x0=0.4, x1=25"), Some(Report { share_left: 0.4, limit: 25.0 }));
        for bad in ["", "TEXT", "TEXT x0", "TEXT x0=NaN", "TEXT y=1", "x0=,"] {
            assert_eq!(report(bad), None, "{bad}");
        }
        let headers =
            |text: &'static str| HeaderMap::from_iter([(RETRY_AFTER, HeaderValue::from_static(text))]);
        assert_eq!(wait(&headers("0.25")), Some(250_000_000));
        for bad in ["", "-1", "NaN", "inf", "soon"] {
            assert_eq!(wait(&headers(bad)), None, "{bad}");
        }
    }

    /// The head timeout must not start from the previous answer on a reused connection: a slow answer there
    /// would count as a reset.
    #[test]
    fn waits_for_a_slow_answer_on_a_reused_connection() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                std::thread::spawn(move || {
                    use std::io::{Read, Write};
                    for pause in [Duration::ZERO, HEAD_TIMEOUT * 2] {
                        let _ = stream.read(&mut [0; 4096]);
                        std::thread::sleep(pause);
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                    let _ = stream.read(&mut [0; 1]);
                });
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (input_tx, mut inputs) = mpsc::channel(64);
            let calls = Calls::new(8, 1, 1, input_tx);
            let until = Instant::now() + Duration::from_secs(60);
            let mut cancels = Vec::new();
            for call in 0..8 {
                let request = || request(address, "r", None, Bytes::new(), HEAD_TIMEOUT).expect("a request");
                let mut link = Link::open(address).await.expect("a connection");
                link.send(request(), true, None).await.expect("the first answer");
                assert!(link.reusable().await);
                let (cancel, cancelled) = oneshot::channel();
                calls.send(call, link, request(), until, true, cancelled, Vec::new());
                cancels.push(cancel);
            }
            for _ in 0..8 {
                match inputs.recv().await {
                    Some(Event::Ended { ended, .. }) => assert_eq!(ended.ends.of(0).outcome, Outcome::Served),
                    _ => panic!("expected the end of a call"),
                }
            }
        });
    }

    #[test]
    fn does_not_reuse_connections_beyond_an_observed_idle_limit() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (input_tx, _inputs) = mpsc::channel::<Event>(1);
            let hour = 3_600_000_000_000;
            let mut calls = Calls::new(8, hour, hour, input_tx);
            for endpoint in [1, 2] {
                let mut link = Link::open(address).await.expect("a connection");
                assert!(link.reusable().await);
                calls.keep(endpoint, address, link);
            }
            let (link, age) = calls.take_idle(1, address, true).expect("a usable connection");
            calls.record_idle_limit(1, Duration::ZERO);
            calls.keep(1, address, link);
            assert!(age < Duration::from_secs(3_600) && calls.take_idle(1, address, true).is_none());
            assert!(calls.take_idle(1, address, false).is_some(), "a message that can be retried may use it");
            assert!(calls.take_idle(2, address, true).is_some(), "the limit applies to one endpoint only");
            // The limit is dropped with the endpoint, whose number is not used again.
            calls.retain(|endpoint| endpoint != 1);
            assert!(calls.idle_limits.is_empty());
        });
    }
}
