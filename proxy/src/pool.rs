//! Connections to instances, and single request-response exchanges on them.
//!
//! Invariants: a connection on which anything unexpected happened is not reused, and none carries two attempts
//! of one request. An outcome states that the request was not executed only if its last byte was not written
//! or the instance said so.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
use millpost_net::idle_connections::{ConnectionId, IdleConnections, Nanos, Reused, UsedConnections};
use millpost_net::link::{Error, Link, Options};
use millpost_scheduler::Outcome;
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum size of an answer's body, which is buffered before it is forwarded.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Connect timeout, after which an instance counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an idle connection is no longer reused, unless the instance announces another.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection used within this time is assumed not to have been closed by the instance since.
const JUST_USED: Duration = Duration::from_millis(50);
/// Time after an answer within which its connection must be reusable; otherwise it is closed.
const REUSABLE_WITHIN: Duration = Duration::from_millis(20);
/// Maximum number of idle connections to all instances.
const MAX_IDLE: usize = 1_500;

/// Names the instance for which a request is meant, so that another one at a reused address rejects it.
const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-expect-endpoint");
/// Set by an instance that did not execute the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Set by an instance on every successful answer.
const SEAL: HeaderName = HeaderName::from_static("x-endpoint-seal");
/// Header with the id that the client gave to its attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
/// Header with the time remaining until the client's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Idle connections by instance.
pub struct Pool {
    idle: RefCell<IdleConnections<CompactString, Link>>,
    /// Times of `idle` count from here.
    started: Instant,
}

impl Default for Pool {
    fn default() -> Self {
        Pool { idle: RefCell::default(), started: Instant::now() }
    }
}

/// A request to send to an instance.
pub struct Call<'a> {
    /// The request as received.
    pub request: &'a Request<Bytes>,
    /// The connections that have carried earlier attempts of the request, to which this one is added.
    pub used: &'a mut UsedConnections,
    /// Whether the request must not be executed more than once.
    pub non_idempotent: bool,
    /// The client's deadline.
    pub deadline: Instant,
    /// Deadline of this attempt, if earlier than the client's.
    pub until: Option<Instant>,
    /// Maximum number of idle connections to keep to the instance.
    pub max_idle: usize,
}

/// Result of an exchange.
pub struct Exchange {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether any part of the request may have reached the instance.
    pub sent: bool,
    /// Whether the instance refused the connection.
    pub refused: bool,
    /// The complete answer of the instance.
    pub answer: Option<Response<Bytes>>,
}

impl Exchange {
    /// Result of an exchange that was abandoned; the request may still be running.
    pub fn abandoned() -> Self {
        Exchange::of(Outcome::Abandoned, true)
    }

    fn of(outcome: Outcome, sent: bool) -> Self {
        Exchange { outcome, sent, refused: false, answer: None }
    }
}

impl Pool {
    /// Nanoseconds since the pool was created.
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Keeps an idle connection for reuse, if fewer than `max_idle` are kept for the instance.
    fn keep(
        &self,
        instance: &CompactString,
        link: Link,
        id: ConnectionId,
        max_idle_time: Duration,
        max_idle: usize,
    ) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && link.usable() {
            let max_idle_time = max_idle_time.as_nanos() as Nanos;
            idle.keep(instance, link, id, self.now(), max_idle_time, max_idle.max(1));
        }
    }

    /// Closes connections that are idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().drop_expired(self.now(), Link::usable);
    }

    /// Opens a connection to check that an instance is up. With `keep` the connection is kept for the first
    /// request.
    pub async fn probe(&self, instance: &CompactString, address: SocketAddr, keep: bool) -> bool {
        let options = Options { connect_timeout: Some(CONNECT_TIMEOUT), ack_timeout: None };
        match Link::open_with(address, options).await {
            Ok(link) => {
                if keep {
                    let id = self.idle.borrow_mut().next_id();
                    self.keep(instance, link, id, IDLE_TIMEOUT, 1);
                }
                true
            }
            Err(_) => false,
        }
    }

    /// Sends a request to an instance and waits for the complete answer. Retries once on a new connection if
    /// a reused one was closed before the request was written completely.
    pub async fn exchange(&self, instance: &CompactString, address: SocketAddr, call: Call<'_>) -> Exchange {
        let Call { request, used, non_idempotent, deadline, until, max_idle } = call;
        let (until, timeout_outcome) = match until.filter(|until| *until < deadline) {
            Some(until) => (until, Outcome::TimedOut),
            None => (deadline, Outcome::Abandoned),
        };
        let mut fresh = false;
        loop {
            let reused = if fresh {
                None
            } else {
                self.idle.borrow_mut().take(instance, self.now(), used, Link::usable)
            };
            let (mut link, connection, idle_for) = match reused {
                Some(Reused { connection, id, idle_for }) => (connection, id, Duration::from_nanos(idle_for)),
                None => {
                    fresh = true;
                    let within = CONNECT_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
                    let options = Options { connect_timeout: Some(within), ack_timeout: None };
                    match Link::open_with(address, options).await {
                        Ok(link) => (link, self.idle.borrow_mut().next_id(), Duration::ZERO),
                        Err(e) => {
                            let refused = matches!(&e, Error::Connect(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
                            return Exchange { refused, ..Exchange::of(Outcome::Unreachable, false) };
                        }
                    }
                }
            };
            used.add(connection);
            let proof = non_idempotent || idle_for >= JUST_USED;
            let Some(out) = outgoing(request, instance, deadline) else {
                return Exchange::of(Outcome::Abandoned, false);
            };
            let result = timeout_at(until, link.send(out, proof, None)).await;
            let answer = match result {
                Err(_) => return Exchange::of(timeout_outcome, true),
                // The instance had closed the idle connection: the request was not executed, so that it can
                // be sent on a new one.
                Ok(Err(Error::NotSent | Error::Cut)) if !fresh => {
                    fresh = true;
                    continue;
                }
                Ok(Err(Error::NotSent | Error::Cut)) => return Exchange::of(Outcome::Unreachable, false),
                Ok(Err(_)) => return Exchange::of(Outcome::NoAnswer, true),
                Ok(Ok(answer)) => answer,
            };
            let (head, body) = answer.into_parts();
            // A body without a length ends with its connection. Reading it fails if the connection is reset.
            let sized = body.size_hint().exact().is_some()
                || head.headers.contains_key(hyper::header::TRANSFER_ENCODING);
            let whole = timeout_at(until, Limited::new(body, MAX_BODY_BYTES).collect()).await;
            let body = match whole {
                Err(_) => return Exchange::of(timeout_outcome, true),
                Ok(Err(_)) => return Exchange::of(Outcome::NoAnswer, true),
                Ok(Ok(body)) => body.to_bytes(),
            };
            let outcome = classify(request, head.status, &head.headers);
            log::debug!(
                "attempt {:?} at {instance} on connection {connection}: {}, {outcome:?}",
                request.headers().get(ATTEMPT),
                head.status
            );
            if outcome == Outcome::NoAnswer {
                return Exchange::of(outcome, true);
            }
            let max_idle_time = keep_alive(&head.headers);
            // An instance may answer before it has read a long body, and read on later. The answer is not
            // delayed for that, and the connection is not reused, because bytes written for the next request
            // could not be distinguished from the remaining ones of this request.
            if sized
                && link.all_written()
                && matches!(timeout(REUSABLE_WITHIN, link.reusable()).await, Ok(true))
            {
                self.keep(instance, link, connection, max_idle_time, max_idle);
            }
            let sent = true;
            let answer = Some(Response::from_parts(head, body));
            return Exchange { outcome, sent, refused: false, answer };
        }
    }
}

/// Builds the request to send: as received, with the headers for the target instance and the remaining time.
/// Returns `None` if the deadline has passed.
fn outgoing(request: &Request<Bytes>, instance: &str, deadline: Instant) -> Option<Request<Full<Bytes>>> {
    let mut out = Request::new(Full::new(request.body().clone()));
    *out.method_mut() = request.method().clone();
    *out.uri_mut() = request.uri().clone();
    *out.headers_mut() = request.headers().clone();
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    if left == 0 {
        return None;
    }
    out.headers_mut().insert(DEADLINE, left.to_string().parse().ok()?);
    out.headers_mut().insert(EXPECTED_INSTANCE, instance.parse().ok()?);
    Some(out)
}

/// Classifies a complete answer. One that does not name this request, or is not from an instance, counts as
/// no answer, whatever it says: this request may still be executed.
fn classify(request: &Request<Bytes>, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let (expected, actual) = (request.headers().get(ATTEMPT), headers.get(ATTEMPT));
    if actual != expected {
        return Outcome::NoAnswer;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::AddressReused;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return Outcome::Full;
    }
    if status.is_success() {
        let good = headers.contains_key(SEAL) && !headers.contains_key(CONTENT_ENCODING);
        return if good { Outcome::Answered } else { Outcome::NoAnswer };
    }
    // These statuses promise that nothing was executed, which is trusted only with the header above.
    if matches!(status.as_u16(), 408 | 429 | 503) { Outcome::NoAnswer } else { Outcome::Failed }
}

/// Time for which an idle connection may be reused, from the `Keep-Alive` header.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        let timeout = v.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    // The margin allows for differing clocks and for the header's resolution of one second.
    announced.map_or(IDLE_TIMEOUT, |s| Duration::from_millis((s.min(3_600) * 1_000).saturating_sub(300)))
}

#[cfg(test)]
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    use super::*;

    fn request(body: usize) -> Request<Bytes> {
        let request = Request::post("/a").header("host", "h").header(ATTEMPT, "mine");
        request.body(Bytes::from(vec![b'x'; body])).expect("a request")
    }

    fn call<'a>(request: &'a Request<Bytes>, used: &'a mut UsedConnections, deadline: Instant) -> Call<'a> {
        Call { request, used, non_idempotent: true, deadline, until: None, max_idle: 2 }
    }

    /// Cases: status, headers, expected outcome.
    #[yare::parameterized(
        success = { 200, &[("x-attempt-id", "mine"), ("x-endpoint-seal", "s")], Outcome::Answered },
        of_another_request = { 200, &[("x-attempt-id", "other"), ("x-endpoint-seal", "s")], Outcome::NoAnswer },
        of_none = { 200, &[("x-endpoint-seal", "s")], Outcome::NoAnswer },
        without_a_seal = { 200, &[("x-attempt-id", "mine")], Outcome::NoAnswer },
        failure = { 500, &[("x-attempt-id", "mine")], Outcome::Failed },
        rejected = { 503, &[("x-attempt-id", "mine"), ("x-not-executed", "1")], Outcome::Full },
        another_was_rejected = { 503, &[("x-attempt-id", "other"), ("x-not-executed", "1")], Outcome::NoAnswer },
        address_reused = { 421, &[("x-attempt-id", "mine")], Outcome::AddressReused },
        another_was_address_reused = { 421, &[("x-attempt-id", "other")], Outcome::NoAnswer },
        rejected_without_an_id = { 503, &[("x-not-executed", "1")], Outcome::NoAnswer },
        address_reused_without_an_id = { 421, &[], Outcome::NoAnswer },
        unavailable_without_the_header = { 503, &[("x-attempt-id", "mine")], Outcome::NoAnswer },
    )]
    fn an_answer_counts_only_for_the_request_that_it_names(
        status: u16,
        headers: &[(&'static str, &'static str)],
        expected: Outcome,
    ) {
        let mut all = HeaderMap::new();
        headers.iter().for_each(|(name, value)| {
            all.insert(*name, value.parse().expect("a value"));
        });
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(classify(&request(0), status, &all), expected);
    }

    /// Starts an instance that answers one request with these bytes, then closes or resets the connection.
    async fn start_instance(answer: &'static [u8], reset: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a head"));
            }
            stream.write_all(answer).await.expect("sent");
            if reset {
                stream.set_zero_linger().expect("an option");
            }
        });
        address
    }

    /// An answer without a length ends when its connection is closed properly. An answer with a length must
    /// not end before it.
    #[yare::parameterized(
        closed = { "", false, Some(3) },
        reset = { "", true, None },
        closed_before_its_length = { "content-length: 4\r\n", false, None },
    )]
    #[test_macro(tokio::test)]
    async fn an_answer_is_complete_only_if_its_connection_is_closed_properly(
        length: &str,
        reset: bool,
        whole: Option<usize>,
    ) {
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-endpoint-seal: s\r\n{length}\r\nabc");
        let address = start_instance(answer.leak().as_bytes(), reset).await;
        let pool = Pool::default();
        let request = request(0);
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut used = UsedConnections::default();
        let call = call(&request, &mut used, deadline);
        let done = pool.exchange(&"i".into(), address, call).await;
        let expected = if whole.is_some() { Outcome::Answered } else { Outcome::NoAnswer };
        assert_eq!(done.outcome, expected);
        assert_eq!(done.answer.map(|answer| answer.body().len()), whole);
        assert!(pool.idle.borrow().is_empty());
    }

    /// Reads requests without bodies until the end of the connection, and answers each by `answer`, which is
    /// given the number of the request on this connection. Reports the number of each answered request.
    async fn serve(
        mut stream: tokio::net::TcpStream,
        answer: impl Fn(usize) -> String,
        executed: std::rc::Rc<std::cell::RefCell<Vec<usize>>>,
    ) {
        let mut head = Vec::new();
        let mut number = 0;
        while let Ok(byte) = stream.read_u8().await {
            head.push(byte);
            if head.ends_with(b"\r\n\r\n") {
                head.clear();
                executed.borrow_mut().push(number);
                stream.write_all(answer(number).as_bytes()).await.expect("sent");
                number += 1;
            }
        }
    }

    /// Guards against a refusal of a request that ran: the instance refuses the first attempt, and sends that
    /// refusal once more, late, in the place of the answer to the next request on the same connection, which it
    /// executes. If that were the second attempt, its answer could not be told from the copy, as both bear one id.
    #[tokio::test]
    async fn the_late_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_attempt() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let refusal =
            "HTTP/1.1 429 No\r\nx-attempt-id: mine\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
        let success =
            "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-endpoint-seal: s\r\ncontent-length: 0\r\n\r\n";
        let requests = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
        let seen = requests.clone();
        let local = tokio::task::LocalSet::new();
        local.spawn_local(async move {
            let mut connections = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connections += 1;
                // The first request on the first connection is refused; the copy precedes the answer to the next.
                let answer = move |number| match (connections, number) {
                    (1, 0) => refusal.to_owned(),
                    (1, 1) => format!("{refusal}{success}"),
                    _ => success.to_owned(),
                };
                tokio::task::spawn_local(serve(stream, answer, seen.clone()));
            }
        });
        local
            .run_until(async {
                let (pool, request, mut used) = (Pool::default(), request(0), UsedConnections::default());
                let deadline = Instant::now() + Duration::from_secs(60);
                let first = pool.exchange(&"i".into(), address, call(&request, &mut used, deadline)).await;
                assert_eq!((first.outcome, pool.idle.borrow().len()), (Outcome::Full, 1));
                let second = pool.exchange(&"i".into(), address, call(&request, &mut used, deadline)).await;
                assert_eq!(second.outcome, Outcome::Answered);
                assert_eq!(*requests.borrow(), [0, 0], "the second attempt went on a connection of its own");
                // Both connections are kept for other requests.
                assert_eq!(pool.idle.borrow().len(), 2);
            })
            .await;
    }

    /// The instance answers after reading the head and never reads the body: its answer must be forwarded
    /// without delay, and the connection must not be reused.
    #[tokio::test]
    async fn an_answer_sent_before_the_body_is_read_is_forwarded_and_closes_the_connection() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let instance = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a head"));
            }
            let answer =
                b"HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-endpoint-seal: s\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).await.expect("sent");
            std::future::pending::<()>().await;
        });
        let pool = Pool::default();
        let request = request(32 << 20);
        let deadline = Instant::now() + Duration::from_secs(60);
        let mut used = UsedConnections::default();
        let call = call(&request, &mut used, deadline);
        let done = pool.exchange(&"i".into(), address, call).await;
        assert_eq!(done.outcome, Outcome::Answered);
        assert!(pool.idle.borrow().is_empty());
        instance.abort();
    }
}
