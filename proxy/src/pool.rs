//! Connections to instances, and one exchange on them. Invariant: a connection on which anything is odd carries nothing more; an
//! outcome says *not run* only where the last byte was not written or the endpoint said so.

use std::cell::RefCell;
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

/// Answers are kept whole before they are passed on, up to this.
const LONGEST_BODY: usize = 8 << 20;
/// A connection comes up within this, or the instance is not there.
const CONNECT: Duration = Duration::from_millis(300);
/// What the endpoint doesn't say: its idle connections may be gone after this.
const IDLE: Duration = Duration::from_secs(4);
/// A connection that was used so lately has not been given up since.
const JUST_USED: Duration = Duration::from_millis(50);
/// After an answer its connection can carry another request within this, or is closed.
const REST: Duration = Duration::from_millis(20);
/// Idle connections in all.
const MOST: usize = 1_500;

/// The header by which an endpoint knows that it is meant.
const EXPECT: HeaderName = HeaderName::from_static("x-expect-endpoint");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
const SEAL: HeaderName = HeaderName::from_static("x-endpoint-seal");
/// The id of a try of a client.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");
/// What is left of its time, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

struct Idle {
    link: Link,
    since: Instant,
    within: Duration,
}

/// Idle connections by instance.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<CompactString, Vec<Idle>>>,
}

/// What is to be sent.
pub struct Call<'a> {
    /// As it came.
    pub request: &'a Request<Bytes>,
    /// It may run only once.
    pub once: bool,
    /// Until when its client waits.
    pub deadline: Instant,
    /// Until when this try is waited for, where that is less.
    pub until: Option<Instant>,
    /// Idle connections to the instance that may be kept.
    pub most: usize,
}

/// How one exchange ended.
pub struct Exchange {
    /// The outcome.
    pub outcome: Outcome,
    /// Something of the request may have reached the endpoint.
    pub sent: bool,
    /// A connection was refused outright.
    pub refused: bool,
    /// The endpoint's answer, whole.
    pub answer: Option<Response<Bytes>>,
}

impl Exchange {
    /// One that is waited for no more: its request may be running.
    pub fn cut() -> Self {
        Exchange::of(Outcome::Abandoned, true)
    }

    fn of(outcome: Outcome, sent: bool) -> Self {
        Exchange { outcome, sent, refused: false, answer: None }
    }
}

impl Pool {
    /// The connection that was used last.
    fn kept(&self, instance: &str) -> Option<(Link, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(instance)?;
        while let Some(kept) = all.pop() {
            let age = kept.since.elapsed();
            if age < kept.within && kept.link.usable() {
                return Some((kept.link, age));
            }
        }
        idle.remove(instance);
        None
    }

    /// Keeps a connection for the next request, if no more than `most` are kept.
    pub fn keep(&self, instance: &CompactString, link: Link, within: Duration, most: usize) {
        let mut idle = self.idle.borrow_mut();
        let count: usize = idle.values().map(Vec::len).sum();
        let all = idle.entry(instance.clone()).or_default();
        if all.len() < most.max(1) && count < MOST && !within.is_zero() && link.usable() {
            all.push(Idle { link, since: Instant::now(), within });
        }
    }

    /// Closes what is too old.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, all| {
            all.retain(|kept| kept.since.elapsed() < kept.within && kept.link.usable());
            !all.is_empty()
        });
    }

    /// A new connection, kept for the first request: the instance has come up. Whether it has.
    pub async fn scout(&self, instance: &CompactString, address: SocketAddr, keep: bool) -> bool {
        let options = Options { connect_timeout: Some(CONNECT), ack_timeout: None };
        match Link::open_with(address, options).await {
            Ok(link) => {
                if keep {
                    self.keep(instance, link, IDLE, 1);
                }
                true
            }
            Err(_) => false,
        }
    }

    /// Sends a request to an instance, and waits for its answer.
    pub async fn exchange(&self, instance: &CompactString, address: SocketAddr, call: Call<'_>) -> Exchange {
        let Call { request, once, deadline, until, most } = call;
        let (until, unheard) = match until.filter(|until| *until < deadline) {
            Some(until) => (until, Outcome::TimedOut),
            None => (deadline, Outcome::Abandoned),
        };
        let mut fresh = false;
        loop {
            let kept = if fresh { None } else { self.kept(instance) };
            let (mut link, age) = match kept {
                Some(kept) => kept,
                None => {
                    fresh = true;
                    let within = CONNECT.min(deadline.saturating_duration_since(Instant::now()));
                    let options = Options { connect_timeout: Some(within), ack_timeout: None };
                    match Link::open_with(address, options).await {
                        Ok(link) => (link, Duration::ZERO),
                        Err(e) => {
                            let refused = matches!(&e, Error::Connect(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
                            return Exchange { refused, ..Exchange::of(Outcome::Unreachable, false) };
                        }
                    }
                }
            };
            let proof = once || age >= JUST_USED;
            let Some(out) = outward(request, instance, deadline) else {
                return Exchange::of(Outcome::Abandoned, false);
            };
            let asked = timeout_at(until, link.send(out, proof, None)).await;
            let answer = match asked {
                Err(_) => return Exchange::of(unheard, true),
                // A kept connection that was given up: nothing has run, and a new one may do.
                Ok(Err(Error::NotSent | Error::Cut)) if !fresh => {
                    fresh = true;
                    continue;
                }
                Ok(Err(Error::NotSent | Error::Cut)) => return Exchange::of(Outcome::Unreachable, false),
                Ok(Err(_)) => return Exchange::of(Outcome::NoAnswer, true),
                Ok(Ok(answer)) => answer,
            };
            let (head, body) = answer.into_parts();
            // One without a length ends with its connection. Where that was reset on the way, reading it fails.
            let sized = body.size_hint().exact().is_some()
                || head.headers.contains_key(hyper::header::TRANSFER_ENCODING);
            let whole = timeout_at(until, Limited::new(body, LONGEST_BODY).collect()).await;
            let body = match whole {
                Err(_) => return Exchange::of(unheard, true),
                Ok(Err(_)) => return Exchange::of(Outcome::NoAnswer, true),
                Ok(Ok(body)) => body.to_bytes(),
            };
            let outcome = judge(request, head.status, &head.headers);
            if outcome == Outcome::NoAnswer {
                return Exchange::of(outcome, true);
            }
            let within = idle_for(&head.headers);
            // An endpoint may answer before it has read a long body, and read on later: its client does not wait for that, and what
            // is written of the next request could not be told from what is left of this one.
            if sized && link.all_written() && matches!(timeout(REST, link.reusable()).await, Ok(true)) {
                self.keep(instance, link, within, most);
            }
            let sent = true;
            let answer = Some(Response::from_parts(head, body));
            return Exchange { outcome, sent, refused: false, answer };
        }
    }
}

/// The request as it goes out: as it came, with the instance that is meant and what is left of its time.
fn outward(request: &Request<Bytes>, instance: &str, deadline: Instant) -> Option<Request<Full<Bytes>>> {
    let mut out = Request::new(Full::new(request.body().clone()));
    *out.method_mut() = request.method().clone();
    *out.uri_mut() = request.uri().clone();
    *out.headers_mut() = request.headers().clone();
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    if left == 0 {
        return None;
    }
    out.headers_mut().insert(DEADLINE, left.to_string().parse().ok()?);
    out.headers_mut().insert(EXPECT, instance.parse().ok()?);
    Some(out)
}

/// What an answer means that was read to its end. One that belongs to another request, or is no endpoint's, is none.
fn judge(request: &Request<Bytes>, status: StatusCode, headers: &HeaderMap) -> Outcome {
    let (asked, named) = (request.headers().get(ATTEMPT), headers.get(ATTEMPT));
    // A late answer to another request proves nothing of this one, whatever it says: this one may run yet.
    if named.is_some() && named != asked {
        return Outcome::NoAnswer;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::AddressReused;
    }
    if headers.contains_key(NOT_RUN) {
        return Outcome::Full;
    }
    if named != asked {
        return Outcome::NoAnswer;
    }
    if status.is_success() {
        let good = headers.contains_key(SEAL) && !headers.contains_key(CONTENT_ENCODING);
        return if good { Outcome::Answered } else { Outcome::NoAnswer };
    }
    // These promise that nothing has run, and only the endpoint's own word for it counts.
    if matches!(status.as_u16(), 408 | 429 | 503) { Outcome::NoAnswer } else { Outcome::Failed }
}

/// How long an idle connection may be used again, by what the endpoint says.
fn idle_for(headers: &HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        let of = v.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        of.trim().parse::<u64>().ok()
    });
    // It closes by its own clock, and its word is in whole seconds.
    told.map_or(IDLE, |s| Duration::from_millis((s.min(3_600) * 1_000).saturating_sub(300)))
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

    /// Status and headers.
    #[yare::parameterized(
        success = { 200, &[("x-attempt-id", "mine"), ("x-endpoint-seal", "s")], Outcome::Answered },
        of_another_request = { 200, &[("x-attempt-id", "other"), ("x-endpoint-seal", "s")], Outcome::NoAnswer },
        of_none = { 200, &[("x-endpoint-seal", "s")], Outcome::NoAnswer },
        without_a_seal = { 200, &[("x-attempt-id", "mine")], Outcome::NoAnswer },
        failure = { 500, &[("x-attempt-id", "mine")], Outcome::Failed },
        turned_away = { 503, &[("x-attempt-id", "mine"), ("x-not-executed", "1")], Outcome::Full },
        another_was_turned_away = { 503, &[("x-attempt-id", "other"), ("x-not-executed", "1")], Outcome::NoAnswer },
        elsewhere = { 421, &[("x-attempt-id", "mine")], Outcome::AddressReused },
        another_was_elsewhere = { 421, &[("x-attempt-id", "other")], Outcome::NoAnswer },
        a_promise_of_nobody = { 503, &[("x-attempt-id", "mine")], Outcome::NoAnswer },
    )]
    fn an_answer_counts_for_the_request_that_it_names(
        status: u16,
        headers: &[(&'static str, &'static str)],
        expected: Outcome,
    ) {
        let mut all = HeaderMap::new();
        headers.iter().for_each(|(name, value)| {
            all.insert(*name, value.parse().expect("a value"));
        });
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(judge(&request(0), status, &all), expected);
    }

    /// An endpoint that answers one request with these bytes, and ends the connection in order or resets it.
    async fn endpoint(answer: &'static [u8], reset: bool) -> SocketAddr {
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

    /// Without a length an answer is as long as its connection, if that ends in order; one with a length may not end before it.
    #[yare::parameterized(
        in_order = { "", false, Some(3) },
        by_a_reset = { "", true, None },
        before_its_length = { "content-length: 4\r\n", false, None },
    )]
    #[test_macro(tokio::test)]
    async fn an_answer_is_whole_where_its_connection_ends_in_order(
        length: &str,
        reset: bool,
        whole: Option<usize>,
    ) {
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-endpoint-seal: s\r\n{length}\r\nabc");
        let address = endpoint(answer.leak().as_bytes(), reset).await;
        let pool = Pool::default();
        let request = request(0);
        let deadline = Instant::now() + Duration::from_secs(60);
        let call = Call { request: &request, once: true, deadline, until: None, most: 1 };
        let done = pool.exchange(&"i".into(), address, call).await;
        let expected = if whole.is_some() { Outcome::Answered } else { Outcome::NoAnswer };
        assert_eq!(done.outcome, expected);
        assert_eq!(done.answer.map(|answer| answer.body().len()), whole);
        assert!(pool.idle.borrow().is_empty());
    }

    /// It answers once it has read the head, and never reads on: its answer is passed on, and no other request goes that way.
    #[tokio::test]
    async fn an_answer_before_the_body_is_read_is_passed_on_at_once_and_ends_the_connection() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let endpoint = tokio::spawn(async move {
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
        let call = Call { request: &request, once: true, deadline, until: None, most: 1 };
        let done = pool.exchange(&"i".into(), address, call).await;
        assert_eq!(done.outcome, Outcome::Answered);
        assert!(pool.idle.borrow().is_empty());
        endpoint.abort();
    }
}
