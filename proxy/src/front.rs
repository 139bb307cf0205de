//! The side of the clients: reads requests, finds their route, and sees each through its tries to one answer.
//!
//! Invariant: each request that was read gets one answer, at once when nothing more can be done for it; a status that promises that
//! it has not run only where no try may have reached an endpoint.

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
use crate::shop::{Force, Shop};
use crate::trail::Follow;

/// A body that has not come after this does not come.
const SLOWEST_BODY: Duration = Duration::from_secs(10);

/// What concerns one connection only.
const OWN: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
/// A client's time is cut to this.
const LONGEST_MS: f64 = 3_600_000.0;
/// Serves clients, as many at once as there is room for.
pub async fn serve(
    shop: Rc<Shop>,
    listener: TcpListener,
    room: std::sync::Arc<ConnectionLimiter>,
    mut phases: watch::Receiver<ShutdownPhase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|p| *p >= ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let (seat, leave) = tokio::select! {
                    entered = room.acquire() => entered,
                    _ = phases.wait_for(|p| *p >= ShutdownPhase::Closing) => break,
                };
                let (shop, phases) = (Rc::clone(&shop), phases.clone());
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = connection(stream, shop, Rc::new(seat), phases) => {}
                        _ = leave => {}
                    }
                });
            }
            Err(e) => {
                log::warn!("no connection accepted: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    shop: Rc<Shop>,
    seat: Rc<ConnectionSlot>,
    mut phases: watch::Receiver<ShutdownPhase>,
) {
    let _ = stream.set_nodelay(true);
    let (most, idle) = match &*shop.force.borrow() {
        Some(force) => (force.config.limits.max_header_bytes as usize, force.config.limits.idle_timeout_ms),
        None => (16 * 1024, 15_000),
    };
    let phase = phases.clone();
    let service = service_fn(move |request| {
        let (shop, seat, phase) = (Rc::clone(&shop), Rc::clone(&seat), phase.clone());
        Box::pin(async move {
            seat.reading();
            let mut answer = answer(&shop, request, &seat, &End(phase.clone())).await;
            shop.counters.answered(answer.status());
            seat.idle();
            if *phase.borrow() >= ShutdownPhase::Leaving || shop.rests() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        })
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle.max(1_000)))
        .max_buf_size(most.clamp(8 * 1024, 1 << 20) + 1_024)
        .auto_date_header(false);
    let closing = async move {
        let _ = phases.wait_for(|p| *p >= ShutdownPhase::Closing).await;
    };
    serve_one(&http, stream, service, closing).await;
}

fn ours(kind: Kind) -> Response<Full<Bytes>> {
    let (status, wait) = kind.answer();
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    if let Some(wait) = wait
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    // Where the body was not read, what follows is no request.
    if matches!(kind, Kind::Malformed | Kind::TooLarge | Kind::Slow) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The end of the process, as a request waits for it.
struct End(watch::Receiver<ShutdownPhase>);

impl End {
    /// Waits for that phase; for ever where nothing leads to it any more.
    async fn comes(&self, phase: ShutdownPhase) {
        let mut phases = self.0.clone();
        if phases.wait_for(|p| *p >= phase).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn answer(
    shop: &Rc<Shop>,
    request: Request<Incoming>,
    seat: &ConnectionSlot,
    end: &End,
) -> Response<Full<Bytes>> {
    let came = Instant::now();
    let attempt = if shop.records() { request.headers().get(&ATTEMPT).cloned() } else { None };
    // What does not come in whole before the end is not passed on any more.
    let read = tokio::select! {
        biased;
        read = read(shop, request, came) => read,
        () = end.comes(ShutdownPhase::Refusing) => Err(Kind::Slow),
    };
    match read {
        Err(kind) => {
            if shop.records() {
                let attempt =
                    millpost_scheduler::trace::attempt_id(attempt.as_ref().map_or(&[], |id| id.as_bytes()));
                shop.trail(shop.now(), &TraceEvent::Rejected { attempt, status: kind.answer().0.as_u16() });
            }
            ours(kind)
        }
        Ok(asked) => {
            seat.answering();
            shop.counters.read();
            match see_through(shop, asked, came, end).await {
                Ok(answer) => {
                    let (mut head, body) = answer.into_parts();
                    strip(&mut head.headers);
                    Response::from_parts(head, Full::new(body))
                }
                Err(kind) => ours(kind),
            }
        }
    }
}

/// A request that was read whole.
struct Asked {
    request: Request<Bytes>,
    route: Route,
    service: CompactString,
    force: Rc<Force>,
    /// Until when its client waits.
    deadline: Instant,
    returned: bool,
}

/// Takes away what concerns one connection only.
fn strip(headers: &mut HeaderMap) {
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
    for name in OWN {
        headers.remove(name);
    }
}

async fn read(shop: &Rc<Shop>, request: Request<Incoming>, came: Instant) -> Result<Asked, Kind> {
    let force = shop.force.borrow().clone().ok_or(Kind::Refused(Refusal::NotReady))?;
    let (mut head, body) = request.into_parts();
    let one = |name: &HeaderName| {
        let mut all = head.headers.get_all(name).iter();
        all.next().filter(|_| all.next().is_none())
    };
    one(&ATTEMPT).ok_or(Kind::Malformed)?;
    let host = one(&HOST).and_then(|h| h.to_str().ok()).ok_or(Kind::Malformed)?;
    let unknown = if shop.currency.knows_routes() { Kind::NoRoute } else { Kind::Refused(Refusal::NotReady) };
    let route = force.table.find(host, head.uri.path()).ok_or(unknown)?.clone();
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
    let given = given.min(LONGEST_MS);
    let most = force.config.limits.max_body_bytes;
    if body.size_hint().lower() > most {
        return Err(Kind::TooLarge);
    }
    let mine = time_for(given, &route);
    let body = timeout_at(came + mine.min(SLOWEST_BODY), Limited::new(body, most as usize).collect()).await;
    let body = body.map_err(|_| Kind::Slow)?;
    let body = body.map_err(|e| if e.is::<LengthLimitError>() { Kind::TooLarge } else { Kind::Malformed })?;
    strip(&mut head.headers);
    let returned = shop.patience.borrow_mut().is_returning(&route.name, given);
    let service = route.pick(drawn(&head.headers)).cloned().ok_or(Kind::NoRoute)?;
    // An absolute target is passed on as its path.
    if let Some(path) = head.uri.path_and_query().cloned() {
        head.uri = path.into();
    }
    let request = Request::from_parts(head, body.to_bytes());
    Ok(Asked { request, route, service, force, deadline: came + mine, returned })
}

/// How long a request is held, its body's way here counted in: as long as its client waits, and no longer than its route allows.
fn time_for(given_ms: f64, route: &Route) -> Duration {
    Duration::from_secs_f64(given_ms.min(route.deadline_ms as f64) / 1e3)
}

/// Gives back what an ask holds, also when the client leaves in the middle of it.
struct Permit<'a> {
    shop: &'a Rc<Shop>,
    id: u64,
    outcome: Cell<Outcome>,
    since: Cell<Option<Instant>>,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let took = self.since.get().map_or(0, |since| since.elapsed().as_nanos() as u64);
        self.shop.finish(self.id, self.outcome.get(), took);
    }
}

/// The number by which a request goes to one of its route's services: each is as likely as its weight, and one try goes the same way by
/// whatever configuration has the same shares. Not the time: a coarse clock would leave some services without any.
fn drawn(headers: &HeaderMap) -> u64 {
    xxh3_64(headers.get(&ATTEMPT).map_or(&[], |id| id.as_bytes()))
}

/// Where a request's route leads by this configuration.
fn leads(force: &Force, request: &Request<Bytes>) -> Option<CompactString> {
    let host = request.headers().get(&HOST)?.to_str().ok()?;
    force.table.find(host, request.uri().path())?.pick(drawn(request.headers())).cloned()
}

/// The tries of one request, to its end: what the passage decides is carried out.
async fn see_through(
    shop: &Rc<Shop>,
    asked: Asked,
    came: Instant,
    end: &End,
) -> Result<Response<Bytes>, Kind> {
    let Asked { request, route, service, force, deadline, returned } = asked;
    let repeatable = route.traffic == Traffic::Idempotent;
    let mut most = force.idle.get(&service).copied().unwrap_or(1);
    let wish = RequestInfo {
        service,
        zone: shop.settings.zone.clone(),
        target: route.target_latency_ms * MS,
        repeatable,
        max_attempts: route.max_tries,
        received_at: shop.at(came),
        deadline: shop.at(deadline),
        returned,
    };
    let attempt = request.headers().get(&ATTEMPT).map_or(&[][..], |id| id.as_bytes());
    let mut follow = Follow::begin(shop, attempt, &route.name, &wish);
    let mut passage = RequestFlow::new(wish);
    let mut step = passage.begin(shop.informed());
    loop {
        step = match step {
            FlowStep::Respond(told) => {
                follow.over();
                return told.map_err(Kind::Refused);
            }
            FlowStep::ResolveRoute => {
                let force = shop.force.borrow().clone();
                let to = force.as_ref().and_then(|force| leads(force, &request));
                if let (Some(force), Some(to)) = (&force, &to) {
                    most = force.idle.get(to).copied().unwrap_or(1);
                }
                let now = shop.now();
                follow.step(now, |p| TraceEvent::Moved { p, to: to.clone() });
                passage.route_resolved(now, to)
            }
            FlowStep::Wait(at) => tokio::select! {
                () = sleep_until(shop.moment(at)) => passage.request_permit(),
                () = end.comes(ShutdownPhase::Refusing) => passage.shutdown(),
            },
            FlowStep::RequestPermit(ask, first) => match shop.ask(ask, first, follow.number()) {
                None => passage.too_many_open(),
                Some((id, word)) => {
                    let permit =
                        Permit { shop, id, outcome: Cell::new(Outcome::Unused), since: Cell::new(None) };
                    let word = tokio::select! {
                        biased;
                        word = timeout_at(deadline, word) => word,
                        () = end.comes(ShutdownPhase::Refusing) => {
                            follow.step(shop.now(), |p| TraceEvent::DeadlinePassed { p });
                            step = passage.shutdown();
                            continue;
                        }
                    };
                    match word {
                        Ok(Ok(Ok((instance, address)))) => {
                            let begun = Instant::now();
                            let since = shop.at(begun);
                            passage.granted(since);
                            permit.since.set(Some(begun));
                            permit.outcome.set(Outcome::Abandoned);
                            let within = shop.margins.borrow().timeout(&passage.info().service);
                            let until = passage.attempt_deadline(since, within).map(|at| shop.moment(at));
                            let call = Call { request: &request, once: !repeatable, deadline, until, most };
                            let done = tokio::select! {
                                biased;
                                done = shop.pool.exchange(&instance, address, call) => done,
                                () = end.comes(ShutdownPhase::Ending) => Exchange::cut(),
                            };
                            permit.outcome.set(done.outcome);
                            shop.took(&passage.info().service, done.outcome, begun);
                            shop.counters.tried(done.outcome);
                            drop(permit);
                            if done.refused {
                                shop.refused(&instance);
                            }
                            let (now, outcome, sent) = (shop.now(), done.outcome, done.sent);
                            let status = done.answer.as_ref().map(|answer| answer.status().as_u16());
                            follow.step(now, |p| {
                                let instance = instance.clone();
                                TraceEvent::Ended { p, begun: since, instance, outcome, sent, status }
                            });
                            passage.attempt_ended(now, instance, outcome, sent, done.answer)
                        }
                        Ok(Ok(Err(no))) => {
                            let now = shop.now();
                            follow.step(now, |p| TraceEvent::Denied { p, reason: no });
                            passage.denied(now, no)
                        }
                        _ => {
                            follow.step(shop.now(), |p| TraceEvent::DeadlinePassed { p });
                            passage.deadline_passed()
                        }
                    }
                }
            },
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

    /// Ids in a row, as a client may count them; by weights whose sum is a power of two the lowest bits alone decide.
    #[yare::parameterized(
        even = { [1, 1] },
        one_in_four = { [1, 3] },
        in_hundreds = { [30, 70] },
    )]
    fn each_service_of_a_route_gets_its_weight(weights: [u32; 2]) {
        let (route, mut count) = (route(weights), 0);
        for id in 0..10_000 {
            let mut headers = HeaderMap::new();
            headers.insert(ATTEMPT, format!("{:x}", id * 1_000).parse().expect("a value"));
            count += u32::from(route.pick(drawn(&headers)).is_some_and(|service| service == "a"));
        }
        let expected = f64::from(weights[0]) / f64::from(weights[0] + weights[1]);
        assert!((f64::from(count) / 1e4 - expected).abs() < 0.02, "{count} of 10,000");
    }

    #[yare::parameterized(
        its_client_waits_less = { 700.0, 700 },
        its_route_allows_less = { 60_000.0, 1_500 },
    )]
    fn a_request_is_held_no_longer_than_its_route_allows(given: f64, ms: u64) {
        assert_eq!(time_for(given, &route([1, 1])), Duration::from_millis(ms));
    }
}
