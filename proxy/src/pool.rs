//! Connections to instances, and single request-response exchanges on them.
//!
//! Invariants: a connection on which anything unexpected happened is not reused. An outcome states that the
//! request was not executed only if its last byte was not written or the instance said so.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderName};
use hyper::{Request, Response, StatusCode};
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

struct Idle {
    link: Link,
    /// Number of the connection, for the log.
    number: u64,
    since: Instant,
    /// Time for which the connection may stay idle.
    max_idle_time: Duration,
}

/// Idle connections by instance.
#[derive(Default)]
pub struct Pool {
    /// Number of the newest connection.
    last_number: Cell<u64>,
    idle: RefCell<HashMap<CompactString, Vec<Idle>>>,
}

/// A request to send to an instance.
pub struct Call<'a> {
    /// The request as received.
    pub request: &'a Request<Bytes>,
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
    /// Takes the most recently used idle connection, and returns it with its idle time.
    fn take_idle(&self, instance: &str) -> Option<(Link, u64, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(instance)?;
        while let Some(kept) = all.pop() {
            let age = kept.since.elapsed();
            if age < kept.max_idle_time && kept.link.usable() {
                return Some((kept.link, kept.number, age));
            }
        }
        idle.remove(instance);
        None
    }

    /// Keeps an idle connection for reuse, if fewer than `max_idle` are kept for the instance.
    fn keep(
        &self,
        instance: &CompactString,
        link: Link,
        number: u64,
        max_idle_time: Duration,
        max_idle: usize,
    ) {
        let mut idle = self.idle.borrow_mut();
        let count: usize = idle.values().map(Vec::len).sum();
        let all = idle.entry(instance.clone()).or_default();
        if all.len() < max_idle.max(1) && count < MAX_IDLE && !max_idle_time.is_zero() && link.usable() {
            all.push(Idle { link, number, since: Instant::now(), max_idle_time });
        }
    }

    /// Returns the number of a new connection.
    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Closes connections that are idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(|kept| kept.since.elapsed() < kept.max_idle_time && kept.link.usable());
            !all.is_empty()
        });
    }

    /// Opens a connection to check that an instance is up. With `keep` the connection is kept for the first
    /// request.
    pub async fn probe(&self, instance: &CompactString, address: SocketAddr, keep: bool) -> bool {
        let options = Options { connect_timeout: Some(CONNECT_TIMEOUT), ack_timeout: None };
        match Link::open_with(address, options).await {
            Ok(link) => {
                if keep {
                    self.keep(instance, link, self.next_number(), IDLE_TIMEOUT, 1);
                }
                true
            }
            Err(_) => false,
        }
    }

    /// Sends a request to an instance and waits for the complete answer. Retries once on a new connection if
    /// a reused one was closed before the request was written completely.
    pub async fn exchange(&self, instance: &CompactString, address: SocketAddr, call: Call<'_>) -> Exchange {
        let Call { request, non_idempotent, deadline, until, max_idle } = call;
        let (until, timeout_outcome) = match until.filter(|until| *until < deadline) {
            Some(until) => (until, Outcome::TimedOut),
            None => (deadline, Outcome::Abandoned),
        };
        let mut fresh = false;
        loop {
            let kept = if fresh { None } else { self.take_idle(instance) };
            let (mut link, number, age) = match kept {
                Some(kept) => kept,
                None => {
                    fresh = true;
                    let within = CONNECT_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
                    let options = Options { connect_timeout: Some(within), ack_timeout: None };
                    match Link::open_with(address, options).await {
                        Ok(link) => (link, self.next_number(), Duration::ZERO),
                        Err(e) => {
                            let refused = matches!(&e, Error::Connect(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
                            return Exchange { refused, ..Exchange::of(Outcome::Unreachable, false) };
                        }
                    }
                }
            };
            let proof = non_idempotent || age >= JUST_USED;
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
                "attempt {:?} at {instance} on connection {number}: {}, {outcome:?}",
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
                self.keep(instance, link, number, max_idle_time, max_idle);
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

/// Classifies a complete answer. One that belongs to another request, or is not from an instance, counts as
/// no answer.
fn classify(request: &Request<Bytes>, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let (expected, actual) = (request.headers().get(ATTEMPT), headers.get(ATTEMPT));
    // A late answer to another request says nothing about this one, which may still be executed.
    if actual.is_some() && actual != expected {
        return Outcome::NoAnswer;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::AddressReused;
    }
    if headers.contains_key(NOT_EXECUTED) {
        return Outcome::Full;
    }
    if actual != expected {
        return Outcome::NoAnswer;
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
        let call = Call { request: &request, non_idempotent: true, deadline, until: None, max_idle: 1 };
        let done = pool.exchange(&"i".into(), address, call).await;
        let expected = if whole.is_some() { Outcome::Answered } else { Outcome::NoAnswer };
        assert_eq!(done.outcome, expected);
        assert_eq!(done.answer.map(|answer| answer.body().len()), whole);
        assert!(pool.idle.borrow().is_empty());
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
        let call = Call { request: &request, non_idempotent: true, deadline, until: None, max_idle: 1 };
        let done = pool.exchange(&"i".into(), address, call).await;
        assert_eq!(done.outcome, Outcome::Answered);
        assert!(pool.idle.borrow().is_empty());
        instance.abort();
    }
}
