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
use millpost_net::written::Sent;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::batch;

/// An answer's body means nothing; it is read so that the connection can be used again, within these bounds.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A wait that is told counts from the head of its answer, so that little time may pass.
const BODY_TIMEOUT: Duration = Duration::from_millis(80);
/// An answer is written in one go: once its first line is there, the rest of its head comes in this time.
/// Guards the slots against heads without end.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// The ends of several messages come in the body of an answer, which may take so long.
const ENDS_TIMEOUT: Duration = Duration::from_millis(500);

/// What is told of calls and probes.
pub enum Event {
    /// The connection for a call is there, or did not come up.
    Connected { call: CallId, link: Option<Link> },
    /// The connection of a call was gone before its last byte was written.
    Unsent { call: CallId },
    /// A call is over; its connection, if that can be used again.
    Ended { call: CallId, ended: CallEnd, link: Option<Link> },
    /// A probe is over.
    Probed { endpoint: EndpointId, took: Duration, ended: CallEnd, link: Option<Link> },
}

/// An endpoint may give connections up much sooner than it says, without a word: each is then reset at its next
/// request. What was seen of that holds for so long.
const GIVEN_UP_TTL: Duration = Duration::from_secs(15);

struct Idle {
    link: Link,
    address: SocketAddr,
    since: Instant,
}

/// The connection of a call.
struct CallConnection {
    endpoint: EndpointId,
    address: SocketAddr,
    since: Instant,
    /// Until the call is written.
    link: Option<Link>,
    /// It was opened for the call.
    fresh: bool,
    /// How long a kept one had stood idle.
    idle_for: Duration,
    cancel: Option<oneshot::Sender<()>>,
}

/// A connection that is reset so soon after a request was lost before it, more likely than under it.
const IMMEDIATE_RESET: Duration = Duration::from_millis(10);
/// A kept connection that was used so lately has not been given up since.
const JUST_USED: Duration = Duration::from_millis(50);

/// Starts calls and keeps idle connections.
pub struct Calls<I> {
    connections: HashMap<CallId, CallConnection>,
    idle: HashMap<EndpointId, Vec<Idle>>,
    /// The idle time from which on an endpoint's connections seem to be given up, and when that was seen.
    given_up: HashMap<EndpointId, (Duration, Instant)>,
    count: usize,
    most: usize,
    reuse_within: Duration,
    connect_timeout: Duration,
    sent: Sent,
    input_tx: mpsc::Sender<I>,
}

impl<I: From<Event> + Send + 'static> Calls<I> {
    /// Keeps `most` idle connections at most; endpoints close theirs after `keepalive`.
    pub fn new(most: usize, keepalive: Nanos, connect: Nanos, input_tx: mpsc::Sender<I>) -> Self {
        // An idle connection that the endpoint may be closing is not reused: a request that crosses the end
        // counts as a reset, which an unsafe message does not survive.
        let keepalive = Duration::from_nanos(keepalive);
        let reuse_within = keepalive - keepalive / 8;
        let connect_timeout = Duration::from_nanos(connect);
        Calls {
            connections: HashMap::new(),
            idle: HashMap::new(),
            given_up: HashMap::new(),
            count: 0,
            most,
            reuse_within,
            connect_timeout,
            sent: Sent::default(),
            input_tx,
        }
    }

    /// New figures: idle connections at most, the time after which endpoints close them, and the time that one may take
    /// to come up, in nanoseconds.
    pub fn set_limits(&mut self, most: usize, keepalive: Nanos, connect: Nanos) {
        let keepalive = Duration::from_nanos(keepalive);
        (self.most, self.reuse_within) = (most, keepalive - keepalive / 8);
        self.connect_timeout = Duration::from_nanos(connect);
    }

    /// Calls that were written and have no end yet.
    pub fn written(&self) -> impl Iterator<Item = CallId> + '_ {
        self.connections.iter().filter(|(_, connection)| connection.cancel.is_some()).map(|(call, _)| *call)
    }

    /// Messages that were written whole to endpoints.
    pub fn sent(&self) -> &Sent {
        &self.sent
    }

    /// A connection that had stood idle for so long was of no use at its next request.
    fn was_given_up(&mut self, endpoint: EndpointId, age: Duration) {
        let age = self.reuse_within(endpoint).min(age * 3 / 4);
        self.given_up.insert(endpoint, (age, Instant::now()));
    }

    fn reuse_within(&self, endpoint: EndpointId) -> Duration {
        let seen = self.given_up.get(&endpoint).filter(|(_, at)| at.elapsed() < GIVEN_UP_TTL);
        seen.map_or(self.reuse_within, |(age, _)| self.reuse_within.min(*age))
    }

    /// The idle connection that was used last, and for how long it has stood idle. For a message that does not
    /// survive a reset none that the endpoint may have given up; any other may try it, since a new connection
    /// costs more than a second attempt.
    fn idle(&mut self, endpoint: EndpointId, address: SocketAddr, sure: bool) -> Option<(Link, Duration)> {
        let within = if sure { self.reuse_within(endpoint) } else { self.reuse_within };
        let idle = self.idle.get_mut(&endpoint)?;
        while let Some(kept) = idle.pop_if(|kept| !sure || kept.since.elapsed() < within) {
            self.count -= 1;
            let age = kept.since.elapsed();
            if kept.address == address && age < within && kept.link.usable() {
                return Some((kept.link, age));
            }
        }
        None
    }

    /// Keeps a connection for the next call.
    pub fn keep(&mut self, endpoint: EndpointId, address: SocketAddr, link: Link) {
        if self.count >= self.most {
            self.sweep();
        }
        if self.count < self.most {
            self.count += 1;
            self.idle.entry(endpoint).or_default().push(Idle { link, address, since: Instant::now() });
        }
    }

    /// Closes the idle connections to an endpoint that did not answer. A machine that is cut off leaves its
    /// connections open and silent, and a call on one may have run for all that is known; a new connection
    /// that does not come up proves that it has not, and an unsafe message lives on.
    fn forget(&mut self, endpoint: EndpointId) {
        self.count -= self.idle.remove(&endpoint).map_or(0, |idle| idle.len());
    }

    /// Closes the idle connections to all endpoints but these.
    pub fn retain(&mut self, stays: impl Fn(EndpointId) -> bool) {
        self.idle.retain(|endpoint, _| stays(*endpoint));
        self.given_up.retain(|endpoint, _| stays(*endpoint));
        self.count = self.idle.values().map(Vec::len).sum();
    }

    /// Closes the connections that are too old to be used again.
    pub fn sweep(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.since.elapsed() < self.reuse_within && kept.link.usable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        self.count = self.idle.values().map(Vec::len).sum();
    }

    /// Finds a connection for a call, a kept one if there is any and it need not be `fresh`. Whether it is there
    /// already; else [`Event::Connected`] tells.
    pub fn connect(
        &mut self,
        call: CallId,
        endpoint: EndpointId,
        address: SocketAddr,
        sure: bool,
        fresh: bool,
        within: Duration,
    ) -> bool {
        let kept = if fresh { None } else { self.idle(endpoint, address, sure) };
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

    /// The connection for a call has come up, or has not. Whether it is there.
    pub fn connected(&mut self, call: CallId, link: Option<Link>) -> bool {
        let up = link.is_some();
        if let (true, Some(connection)) = (up, self.connections.get_mut(&call)) {
            connection.link = link;
        } else if let Some(connection) = self.connections.remove(&call) {
            self.forget(connection.endpoint);
        }
        up
    }

    /// Nothing is written on the connection of a call: it may serve another, if any goes there.
    pub fn release(&mut self, call: CallId, ready: impl Fn(EndpointId) -> bool) {
        if let Some(CallConnection { endpoint, address, link: Some(link), .. }) =
            self.connections.remove(&call)
            && ready(endpoint)
        {
            self.keep(endpoint, address, link);
        }
    }

    /// The connection of a call was gone before its last byte. Whether it was a new one.
    pub fn unsent(&mut self, call: CallId) -> bool {
        let Some(connection) = self.connections.get(&call) else { return true };
        let (endpoint, idle_for, fresh) = (connection.endpoint, connection.idle_for, connection.fresh);
        if fresh {
            self.connections.remove(&call);
        } else {
            self.was_given_up(endpoint, idle_for);
        }
        fresh
    }

    /// A call is over; its connection is kept if it can be used again.
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
            self.was_given_up(endpoint, idle_for);
        }
        // A connection that was reset says nothing of the others: each is looked at before it is used.
        if ends.is(Outcome::TimedOut) {
            self.forget(endpoint);
        }
    }

    /// Calls off a call that is out.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(cancel) = self.connections.get_mut(&call).and_then(|c| c.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Writes a call on the connection that was found for it. Whether it can be written at all.
    pub fn write(
        &mut self,
        call: CallId,
        messages: Vec<CallMessage>,
        sure: bool,
        until: Instant,
        within: Duration,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&call) else { return false };
        // A connection that was in use just now is not stale, and a message that may go again needs no proof that it
        // never ran where a new one breaks.
        let proof = sure || !connection.fresh && connection.idle_for >= JUST_USED;
        let (request, references) = requested(connection.address, messages, within);
        let (Some(request), Some(link)) = (request, connection.link.take()) else {
            self.connections.remove(&call);
            return false;
        };
        let (cancel, cancelled) = oneshot::channel();
        connection.cancel = Some(cancel);
        self.send(call, link, request, until, proof, cancelled, references);
        true
    }

    /// Sends a call and waits for its end. Dropping the sender of `called_off` does nothing; using it ends
    /// the call.
    #[expect(clippy::too_many_arguments, reason = "each is a part of one request")]
    fn send(
        &self,
        call: CallId,
        mut link: Link,
        request: Request<Full<Bytes>>,
        until: Instant,
        proof: bool,
        cancelled: oneshot::Receiver<()>,
        // The messages in the call, where there are several.
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
                // In this order: what is watched is that of the request before until this one has begun.
                biased;
                answer = timeout_at(until, link.send(request, proof, counted)) => answer.map_err(|_| Outcome::TimedOut),
                () = cancelled => Err(Outcome::Cancelled),
                () = head_timeout => Err(Outcome::Reset),
            };
            let ended = match answer {
                Ok(Ok(answer)) => finish(link, answer, &references).await,
                // Whatever ended it: an endpoint begins a call with its last byte.
                Ok(Err(Error::NotSent | Error::Cut)) => {
                    link.close().await;
                    let _ = input_tx.send(Event::Unsent { call }.into()).await;
                    return;
                }
                // Whatever else is wrong with an answer, a first line of 200 is true; for several messages it is what
                // follows that tells.
                Ok(Err(_)) | Err(_) if link.status() == Some(200) && references.is_empty() => {
                    link.close().await;
                    let served = MessageEnds::All(MessageEnd { outcome: Outcome::Served, over: true });
                    CallEnd { ends: served, wait: None, report: None }.into()
                }
                Ok(Err(_)) => broken(link, Outcome::Reset).await,
                Err(outcome) => {
                    let outcome = if link.all_written() { outcome } else { Outcome::ConnectFailed };
                    broken(link, outcome).await
                }
            };
            let ExchangeEnd { ended, link } = ended;
            let _ = input_tx.send(Event::Ended { call, ended, link }.into()).await;
        }));
    }

    /// Probes an endpoint, on a connection of its own if none is idle.
    pub fn probe(&mut self, endpoint: EndpointId, address: SocketAddr) {
        let (input_tx, within, idle) =
            (self.input_tx.clone(), self.connect_timeout, self.idle(endpoint, address, false));
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

/// How an exchange ended, and its connection, if that can be used again.
struct ExchangeEnd {
    ended: CallEnd,
    link: Option<Link>,
}

impl From<CallEnd> for ExchangeEnd {
    fn from(ended: CallEnd) -> Self {
        ExchangeEnd { ended, link: None }
    }
}

/// The connection is closed before the outcome is told: no other attempt may go while it is open.
async fn broken(link: Link, outcome: Outcome) -> ExchangeEnd {
    link.close().await;
    CallEnd::without_answer(outcome).into()
}

/// Reads the rest of an answer. A first line of 200 is true whatever follows, to a call with one message; any other
/// answer counts only as a whole. One that breaks off or has no end is spoilt, and proves nothing: the call may have
/// run. What comes behind a whole answer belongs to nobody, and only costs the connection.
async fn finish(
    mut link: Link,
    answer: Response<hyper::body::Incoming>,
    references: &[String],
) -> ExchangeEnd {
    let (head, body) = answer.into_parts();
    let told = wait(&head.headers);
    // With a wait told little time may pass; without, there is more to lose by an answer that is not read.
    let within = if references.is_empty() || told.is_some() { BODY_TIMEOUT } else { ENDS_TIMEOUT };
    let body = timeout(within, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes());
    let whole = body.is_some();
    let several = !references.is_empty();
    if !whole && (several || head.status != StatusCode::OK) {
        let wait = told.filter(|_| several);
        let broken = broken(link, Outcome::Reset).await;
        return ExchangeEnd { ended: CallEnd { wait, ..broken.ended }, ..broken };
    }
    let ends = match body.filter(|_| several && head.status == StatusCode::OK) {
        Some(body) => MessageEnds::Each(ends(&body, references, told)),
        None if several => MessageEnds::All(outcome_of_several(head.status, &head.headers)),
        None => MessageEnds::All(outcome(head.status, &head.headers)),
    };
    // Whoever was refused tells of it already.
    let wait = told.filter(|_| matches!(ends, MessageEnds::Each(_)));
    let report = head.headers.get("Srv-Load").and_then(|v| v.to_str().ok()).and_then(report);
    let ended = CallEnd { ends, wait, report };
    if whole && timeout(BODY_TIMEOUT, link.rested()).await.unwrap_or(false) {
        return ExchangeEnd { ended, link: Some(link) };
    }
    link.close().await;
    ended.into()
}

/// What the answer to a call with several messages says of each.
fn ends(body: &[u8], references: &[String], wait: Option<Nanos>) -> Vec<MessageEnd> {
    let end = |told: Option<batch::End>| match told {
        Some(batch::End::Delivered) => MessageEnd { outcome: Outcome::Served, over: true },
        Some(batch::End::Refused) => Outcome::Full(wait).into(),
        Some(batch::End::Over) => MessageEnd { outcome: Outcome::NotSent, over: true },
        Some(batch::End::Spent) => Outcome::Exhausted.into(),
        Some(batch::End::Failed) => Outcome::Error.into(),
        None => Outcome::Reset.into(),
    };
    batch::ends(body, references).into_iter().map(end).collect()
}

/// What an answer to a call with several messages means that tells no end of each.
fn outcome_of_several(status: StatusCode, headers: &HeaderMap) -> MessageEnd {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => outcome(status, headers),
        // It was not understood, and none has run.
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => Outcome::NotSent.into(),
        // That a message is over or spent is said of each; said of all, it is no answer that the protocol knows.
        _ => Outcome::Error.into(),
    }
}

/// What an answer means, and whether the message is over with it.
fn outcome(status: StatusCode, headers: &HeaderMap) -> MessageEnd {
    match status {
        StatusCode::OK => MessageEnd { outcome: Outcome::Served, over: true },
        StatusCode::TOO_MANY_REQUESTS => Outcome::Full(wait(headers)).into(),
        StatusCode::SERVICE_UNAVAILABLE if headers.get("X-ExchangeEnd-Slots").is_some_and(|v| v == "1") => {
            Outcome::NotSent.into()
        }
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full(wait(headers)).into(),
        StatusCode::GATEWAY_TIMEOUT => Outcome::Exhausted.into(),
        StatusCode::GONE => MessageEnd { outcome: Outcome::NotSent, over: true },
        // An answer that the protocol does not know proves nothing: it may have run.
        _ => Outcome::Error.into(),
    }
}

/// How long to stay away, in seconds with decimals.
fn wait(headers: &HeaderMap) -> Option<Nanos> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then(|| (seconds.min(86_400.0) * 1e9).ceil() as Nanos)
}

/// A report: `TEXT x0=0.4, x1=25`.
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

/// The request of a call, and the messages in it, where there are several.
fn requested(
    address: SocketAddr,
    messages: Vec<CallMessage>,
    within: Duration,
) -> (Option<Request<Full<Bytes>>>, Vec<String>) {
    if let [CallMessage { reference, key, body }] = &messages[..] {
        return (request(address, reference, key.as_ref(), body.clone(), within), Vec::new());
    }
    let items: Option<Vec<String>> =
        messages.iter().map(|m| batch::item(&m.reference, m.key.as_deref(), &m.body)).collect();
    let request = head("/hook/batch", address, within).header("Content-Type", "application/json");
    let request = items.and_then(|items| request.body(Full::new(batch::body(&items))).ok());
    (request, messages.into_iter().map(|m| m.reference).collect())
}

/// The request of a call with one message.
fn request(
    address: SocketAddr,
    reference: &str,
    key: Option<&Bytes>,
    body: Bytes,
    within: Duration,
) -> Option<Request<Full<Bytes>>> {
    let request = head("/hook", address, within).header("Req-Id", reference);
    let request = match key {
        Some(key) => request.header("Idempotency-Key", HeaderValue::from_bytes(key).ok()?),
        None => request,
    };
    request.body(Full::new(body)).ok()
}

fn head(path: &str, address: SocketAddr, within: Duration) -> hyper::http::request::Builder {
    Request::post(path)
        .header("Host", address.to_string())
        .header("Req-Deadline", format!("{:.3}", within.as_secs_f64()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_and_waits_are_read_and_nonsense_is_none() {
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

    /// A kept connection has seen an answer already; the next one may still take its time.
    #[test]
    fn a_slow_answer_on_a_kept_connection_is_waited_for() {
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
                assert!(link.rested().await);
                let (cancel, cancelled) = oneshot::channel();
                calls.send(call, link, request(), until, true, cancelled, Vec::new());
                cancels.push(cancel);
            }
            for _ in 0..8 {
                match inputs.recv().await {
                    Some(Event::Ended { ended, .. }) => assert_eq!(ended.ends.of(0).outcome, Outcome::Served),
                    _ => panic!("not the end of a call"),
                }
            }
        });
    }

    #[test]
    fn connections_that_an_endpoint_gives_up_early_are_not_used_for_longer() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (input_tx, _inputs) = mpsc::channel::<Event>(1);
            let hour = 3_600_000_000_000;
            let mut calls = Calls::new(8, hour, hour, input_tx);
            for endpoint in [1, 2] {
                let mut link = Link::open(address).await.expect("a connection");
                assert!(link.rested().await);
                calls.keep(endpoint, address, link);
            }
            let (link, age) = calls.idle(1, address, true).expect("it is usable");
            calls.was_given_up(1, Duration::ZERO);
            calls.keep(1, address, link);
            assert!(age < Duration::from_secs(3_600) && calls.idle(1, address, true).is_none());
            assert!(calls.idle(1, address, false).is_some(), "a message that may go again");
            assert!(calls.idle(2, address, true).is_some(), "another endpoint's");
            // Its number is not used again once it is gone.
            calls.retain(|endpoint| endpoint != 1);
            assert!(calls.given_up.is_empty());
        });
    }
}
