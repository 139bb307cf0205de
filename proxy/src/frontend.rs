//! Serves clients: receives requests, finds their routes, and makes attempts until there is an answer.
//!
//! Invariants: each received request gets exactly one answer, without delay once no further attempt is
//! possible. A status that promises that the request was not executed is sent only if no attempt can have
//! reached an instance.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use millpost_config::{Route, Traffic};
use millpost_net::connection_limiter::{ConnectionLimiter, ConnectionSlot};
use millpost_net::idle_connections::UsedConnections;
use millpost_net::serving::serve_one;
use millpost_scheduler::{
    FlowStep, MS, Outcome, Refusal, RequestFlow, RequestInfo, ShutdownPhase, TraceEvent,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::Kind;
use crate::pool::{ATTEMPT, Call, DEADLINE, Exchange};
use crate::proxy::{ActiveConfig, Proxy};
use crate::request_trace::RequestTrace;

/// Maximum time for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Headers that are not forwarded, as they apply to a single connection.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
/// Maximum deadline of a client in milliseconds; longer ones are capped.
const MAX_DEADLINE_MS: f64 = 3_600_000.0;

/// Serves clients until shutdown, with as many connections as the limiter permits.
pub async fn serve(
    proxy: Rc<Proxy>,
    listener: TcpListener,
    limiter: std::sync::Arc<ConnectionLimiter>,
    mut phases: watch::Receiver<ShutdownPhase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|p| *p >= ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let (slot, leave) = tokio::select! {
                    entered = limiter.acquire() => entered,
                    _ = phases.wait_for(|p| *p >= ShutdownPhase::Closing) => break,
                };
                let (proxy, phases) = (Rc::clone(&proxy), phases.clone());
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = connection(stream, proxy, Rc::new(slot), phases) => {}
                        _ = leave => {}
                    }
                });
            }
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    proxy: Rc<Proxy>,
    slot: Rc<ConnectionSlot>,
    mut phases: watch::Receiver<ShutdownPhase>,
) {
    let _ = stream.set_nodelay(true);
    let (max_header_bytes, idle_timeout_ms) = match &*proxy.active.borrow() {
        Some(active) => {
            (active.config.limits.max_header_bytes as usize, active.config.limits.idle_timeout_ms)
        }
        None => (16 * 1024, 15_000),
    };
    let phase = phases.clone();
    let service = service_fn(move |request| {
        let (proxy, slot, phase) = (Rc::clone(&proxy), Rc::clone(&slot), phase.clone());
        Box::pin(async move {
            slot.reading();
            let mut answer = answer(&proxy, request, &slot, &ShutdownSignal(phase.clone())).await;
            proxy.counters.answered(answer.status());
            slot.idle();
            if *phase.borrow() >= ShutdownPhase::Leaving || proxy.is_drained() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        })
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_timeout_ms.max(1_000)))
        .max_buf_size(max_header_bytes.clamp(8 * 1024, 1 << 20) + 1_024)
        .auto_date_header(false);
    let closing = async move {
        let _ = phases.wait_for(|p| *p >= ShutdownPhase::Closing).await;
    };
    serve_one(&http, stream, service, closing).await;
}

fn error_response(kind: Kind) -> Response<Full<Bytes>> {
    let (status, wait) = kind.answer();
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    if let Some(wait) = wait
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    // The rest of an unread body must not be taken for the next request.
    if matches!(kind, Kind::Malformed | Kind::TooLarge | Kind::Slow) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Lets a request wait for a phase of the shutdown.
struct ShutdownSignal(watch::Receiver<ShutdownPhase>);

impl ShutdownSignal {
    /// Waits until the phase is reached; forever if it can no longer be reached.
    async fn reached(&self, phase: ShutdownPhase) {
        let mut phases = self.0.clone();
        if phases.wait_for(|p| *p >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn answer(
    proxy: &Rc<Proxy>,
    request: Request<Incoming>,
    slot: &ConnectionSlot,
    end: &ShutdownSignal,
) -> Response<Full<Bytes>> {
    let received_at = Instant::now();
    let attempt = if proxy.is_recording() { request.headers().get(&ATTEMPT).cloned() } else { None };
    // Requests that are not received completely before this phase are not forwarded.
    let read = tokio::select! {
        biased;
        read = read(proxy, request, received_at) => read,
        () = end.reached(ShutdownPhase::Refusing) => Err(Kind::Slow),
    };
    match read {
        Err(kind) => {
            if proxy.is_recording() {
                let attempt =
                    millpost_scheduler::trace::attempt_id(attempt.as_ref().map_or(&[], |id| id.as_bytes()));
                proxy.record_event(
                    proxy.now(),
                    &TraceEvent::Rejected { attempt, status: kind.answer().0.as_u16() },
                );
            }
            error_response(kind)
        }
        Ok(received) => {
            slot.answering();
            proxy.counters.request_received();
            match process(proxy, received, received_at, end).await {
                Ok(answer) => {
                    let (mut head, body) = answer.into_parts();
                    strip_hop_by_hop(&mut head.headers);
                    Response::from_parts(head, Full::new(body))
                }
                Err(kind) => error_response(kind),
            }
        }
    }
}

/// A completely received request.
struct ReceivedRequest {
    request: Request<Bytes>,
    route: Route,
    service: CompactString,
    active: Rc<ActiveConfig>,
    /// The client's deadline.
    deadline: Instant,
    /// Whether the request is a retry of an earlier one.
    returned: bool,
}

/// Removes hop-by-hop headers, and those named by `Connection`.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

async fn read(
    proxy: &Rc<Proxy>,
    request: Request<Incoming>,
    received_at: Instant,
) -> Result<ReceivedRequest, Kind> {
    let active = proxy.active.borrow().clone().ok_or(Kind::Refused(Refusal::NotReady))?;
    let (mut head, body) = request.into_parts();
    let one = |name: &HeaderName| {
        let mut all = head.headers.get_all(name).iter();
        all.next().filter(|_| all.next().is_none())
    };
    one(&ATTEMPT).ok_or(Kind::Malformed)?;
    let host = one(&HOST).and_then(|h| h.to_str().ok()).ok_or(Kind::Malformed)?;
    let unknown = if proxy.revisions.is_current() { Kind::NoRoute } else { Kind::Refused(Refusal::NotReady) };
    let route = active.table.find(host, head.uri.path()).ok_or(unknown)?.clone();
    let given = match one(&DEADLINE) {
        Some(ms) => ms
            .to_str()
            .ok()
            .and_then(|v| v.trim().parse::<f64>().ok())
            .filter(|v| *v >= 0.0)
            .ok_or(Kind::Malformed)?,
        None if head.headers.contains_key(&DEADLINE) => return Err(Kind::Malformed),
        None => route.deadline_ms as f64,
    };
    let given = given.min(MAX_DEADLINE_MS);
    let max_body_bytes = active.config.limits.max_body_bytes;
    if body.size_hint().lower() > max_body_bytes {
        return Err(Kind::TooLarge);
    }
    let limit = time_limit(given, &route);
    let body = timeout_at(
        received_at + limit.min(BODY_TIMEOUT),
        Limited::new(body, max_body_bytes as usize).collect(),
    )
    .await;
    let body = body.map_err(|_| Kind::Slow)?;
    let body = body.map_err(|e| if e.is::<LengthLimitError>() { Kind::TooLarge } else { Kind::Malformed })?;
    strip_hop_by_hop(&mut head.headers);
    let returned = proxy.client_timeouts.borrow_mut().is_returning(&route.name, given);
    let service = route.pick(selection_hash(&head.headers)).cloned().ok_or(Kind::NoRoute)?;
    // An absolute request target is reduced to path and query.
    if let Some(path) = head.uri.path_and_query().cloned() {
        head.uri = path.into();
    }
    let request = Request::from_parts(head, body.to_bytes());
    Ok(ReceivedRequest { request, route, service, active, deadline: received_at + limit, returned })
}

/// Time for which a request is processed, including the receipt of its body: the client's deadline, limited
/// by the deadline of the route.
fn time_limit(given_ms: f64, route: &Route) -> Duration {
    Duration::from_secs_f64(given_ms.min(route.deadline_ms as f64) / 1e3)
}

/// Releases a permit when dropped, also if the client disconnects during the attempt.
struct PermitGuard<'a> {
    proxy: &'a Rc<Proxy>,
    id: u64,
    outcome: Cell<Outcome>,
    since: Cell<Option<Instant>>,
}

impl Drop for PermitGuard<'_> {
    fn drop(&mut self) {
        let took = self.since.get().map_or(0, |since| since.elapsed().as_nanos() as u64);
        self.proxy.finish(self.id, self.outcome.get(), took);
    }
}

/// Hash of the attempt id, which selects one of the route's services according to their weights. The same
/// attempt selects the same service under every configuration with the same shares. The time is not used
/// instead, because a coarse clock would never select some services.
fn selection_hash(headers: &HeaderMap) -> u64 {
    xxh3_64(headers.get(&ATTEMPT).map_or(&[], |id| id.as_bytes()))
}

/// Returns the service to which this configuration routes a request.
fn select_service(active: &ActiveConfig, request: &Request<Bytes>) -> Option<CompactString> {
    let host = request.headers().get(&HOST)?.to_str().ok()?;
    active.table.find(host, request.uri().path())?.pick(selection_hash(request.headers())).cloned()
}

/// Processes one request until it is answered, by executing the steps of its [`RequestFlow`].
async fn process(
    proxy: &Rc<Proxy>,
    received: ReceivedRequest,
    received_at: Instant,
    end: &ShutdownSignal,
) -> Result<Response<Bytes>, Kind> {
    let ReceivedRequest { request, route, service, active, deadline, returned } = received;
    let idempotent = route.traffic == Traffic::Idempotent;
    let mut max_idle = active.idle.get(&service).copied().unwrap_or(1);
    let info = RequestInfo {
        service,
        zone: proxy.settings.zone.clone(),
        target: route.target_latency_ms * MS,
        repeatable: idempotent,
        max_attempts: route.max_tries,
        received_at: proxy.at(received_at),
        deadline: proxy.at(deadline),
        returned,
    };
    let attempt = request.headers().get(&ATTEMPT).map_or(&[][..], |id| id.as_bytes());
    let mut trace = RequestTrace::begin(proxy, attempt, &route.name, &info);
    let mut flow = RequestFlow::new(info);
    let mut used = UsedConnections::default();
    let mut step = flow.begin(proxy.has_view());
    loop {
        step = match step {
            FlowStep::Respond(result) => {
                trace.finish();
                return result.map_err(Kind::Refused);
            }
            FlowStep::ResolveRoute => {
                let active = proxy.active.borrow().clone();
                let to = active.as_ref().and_then(|active| select_service(active, &request));
                if let (Some(active), Some(to)) = (&active, &to) {
                    max_idle = active.idle.get(to).copied().unwrap_or(1);
                }
                let now = proxy.now();
                trace.step(now, |p| TraceEvent::Moved { p, to: to.clone() });
                flow.route_resolved(now, to)
            }
            FlowStep::Wait(at) => tokio::select! {
                () = sleep_until(proxy.moment(at)) => flow.request_permit(),
                () = end.reached(ShutdownPhase::Refusing) => flow.shutdown(),
            },
            FlowStep::RequestPermit(request_info, first) => {
                match proxy.request_permit(request_info, first, trace.number()) {
                    None => flow.too_many_open(),
                    Some((id, receiver)) => {
                        let permit = PermitGuard {
                            proxy,
                            id,
                            outcome: Cell::new(Outcome::Unused),
                            since: Cell::new(None),
                        };
                        let permit_result = tokio::select! {
                            biased;
                            permit_result = timeout_at(deadline, receiver) => permit_result,
                            () = end.reached(ShutdownPhase::Refusing) => {
                                trace.step(proxy.now(), |p| TraceEvent::DeadlinePassed { p });
                                step = flow.shutdown();
                                continue;
                            }
                        };
                        match permit_result {
                            Ok(Ok(Ok((instance, address)))) => {
                                let begun = Instant::now();
                                let since = proxy.at(begun);
                                flow.granted(since);
                                permit.since.set(Some(begun));
                                permit.outcome.set(Outcome::Abandoned);
                                let within = proxy.attempt_timeouts.borrow().timeout(&flow.info().service);
                                let until = flow.attempt_deadline(since, within).map(|at| proxy.moment(at));
                                let call = Call {
                                    request: &request,
                                    used: &mut used,
                                    non_idempotent: !idempotent,
                                    deadline,
                                    until,
                                    max_idle,
                                };
                                let done = tokio::select! {
                                    biased;
                                    done = proxy.pool.exchange(&instance, address, call) => done,
                                    () = end.reached(ShutdownPhase::Ending) => Exchange::abandoned(),
                                };
                                permit.outcome.set(done.outcome);
                                proxy.attempt_ended(&flow.info().service, done.outcome, begun);
                                proxy.counters.attempted(done.outcome);
                                drop(permit);
                                if done.refused {
                                    proxy.connection_refused(&instance);
                                }
                                let (now, outcome, sent) = (proxy.now(), done.outcome, done.sent);
                                let status = done.answer.as_ref().map(|answer| answer.status().as_u16());
                                trace.step(now, |p| {
                                    let instance = instance.clone();
                                    TraceEvent::Ended { p, begun: since, instance, outcome, sent, status }
                                });
                                flow.attempt_ended(now, instance, outcome, sent, done.answer)
                            }
                            Ok(Ok(Err(reason))) => {
                                let now = proxy.now();
                                trace.step(now, |p| TraceEvent::Denied { p, reason });
                                flow.denied(now, reason)
                            }
                            _ => {
                                trace.step(proxy.now(), |p| TraceEvent::DeadlinePassed { p });
                                flow.deadline_passed()
                            }
                        }
                    }
                }
            }
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route(weights: [u32; 2]) -> Route {
        let shares = format!(
            r#"[{{"service":"a","weight":{}}},{{"service":"b","weight":{}}}]"#,
            weights[0], weights[1]
        );
        let route = format!(
            r#"{{"name":"r","host":"h","path_prefix":"/","traffic_kind":"idempotent","deadline_ms":1500,"target_latency_ms":200,"priority":0,"max_tries":2,"services":{shares}}}"#
        );
        let service = |name| format!(r#"{{"name":"{name}","boot_ms":300,"memory_mb":128,"concurrency":1}}"#);
        let text = format!(
            r#"{{"revision":1,"routes":[{route}],"services":[{},{}],"limits":{{}}}}"#,
            service("a"),
            service("b")
        );
        millpost_config::Config::parse(&text).expect("a configuration").routes.remove(0)
    }

    /// Uses consecutive ids, as clients may count them. If the weights add up to a power of two, only the
    /// lowest bits of the hash decide.
    #[yare::parameterized(
        even = { [1, 1] },
        one_in_four = { [1, 3] },
        in_hundreds = { [30, 70] },
    )]
    fn services_of_a_route_are_selected_according_to_their_weights(weights: [u32; 2]) {
        let (route, mut count) = (route(weights), 0);
        for id in 0..10_000 {
            let mut headers = HeaderMap::new();
            headers.insert(ATTEMPT, format!("{:x}", id * 1_000).parse().expect("a value"));
            count += u32::from(route.pick(selection_hash(&headers)).is_some_and(|service| service == "a"));
        }
        let expected = f64::from(weights[0]) / f64::from(weights[0] + weights[1]);
        assert!((f64::from(count) / 1e4 - expected).abs() < 0.02, "{count} of 10,000");
    }

    #[yare::parameterized(
        client_deadline_is_shorter = { 700.0, 700 },
        route_deadline_is_shorter = { 60_000.0, 1_500 },
    )]
    fn the_time_limit_is_the_shorter_of_both_deadlines(given: f64, ms: u64) {
        assert_eq!(time_limit(given, &route([1, 1])), Duration::from_millis(ms));
    }
}
