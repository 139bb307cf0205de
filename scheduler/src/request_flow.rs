//! Flow of one client request from its arrival to the response: when to request permits, what attempt
//! outcomes mean, and when to give up. The caller requests permits, sends attempts, waits and responds.
//!
//! Invariant: the client gets exactly one response. A status that promises that the request has not run is
//! used only if no attempt can have reached an endpoint.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::effect::DenialReason;
use crate::retry_schedule::{Outcome, RetryDecision, RetrySchedule};
use crate::{MS, Nanos, PermitRequest, SECOND};

/// A request whose remaining time is below this fraction of the longest seen on its route is taken to be a
/// client's retry or made by a running request.
const RETURNING_FRACTION: f64 = 0.97;
/// A timeout counts as the longest of its route for one to two times this many requests.
const REQUESTS_PER_PERIOD: u32 = 200;
/// Suggested retry delay when no better estimate exists.
const DEFAULT_RETRY_AFTER: Nanos = 200 * MS;
/// Suggested retry delay on a proxy that has not yet received its state, about the time that takes at
/// startup; a client has few retries to use meanwhile.
const STARTUP_RETRY_AFTER: Nanos = SECOND;
/// Interval for resolving a route again, while the new configuration may not have reached this proxy or
/// the owner.
const RESOLVE_INTERVAL: Nanos = 50 * MS;

/// What is known of a request on arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Name of the function.
    pub service: CompactString,
    /// Zone in which the request arrived.
    pub zone: CompactString,
    /// Duration within which an answer has its full value.
    pub target: Nanos,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of endpoints the request may be sent to.
    pub max_attempts: u32,
    /// Time of arrival.
    pub received_at: Nanos,
    /// Time after which the client no longer waits.
    pub deadline: Nanos,
    /// The client has retried this request, or a running request made it.
    pub returned: bool,
}

/// Why the client gets no endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The configuration, the proxies or the function are not known here yet.
    NotReady,
    /// No slot becomes free in time; one may be free after this duration.
    Full(Nanos),
    /// The time ran out before the request was sent anywhere.
    NotSent,
    /// The request was sent, but there is no valid answer.
    NoAnswer,
    /// The request was sent and its time ran out.
    TimedOut,
}

impl Refusal {
    /// HTTP status and suggested retry delay.
    pub fn answer(self) -> (u16, Option<Nanos>) {
        match self {
            Refusal::NotReady => (503, Some(STARTUP_RETRY_AFTER)),
            Refusal::Full(wait) => (503, Some(wait.max(10 * MS))),
            Refusal::NotSent => (503, Some(DEFAULT_RETRY_AFTER)),
            Refusal::NoAnswer => (502, None),
            Refusal::TimedOut => (504, None),
        }
    }
}

/// The next step for the caller.
#[derive(Debug, PartialEq)]
pub enum FlowStep<A> {
    /// Request a permit; the flag is true the first time. Continue with [`RequestFlow::too_many_open`],
    /// [`RequestFlow::denied`], [`RequestFlow::deadline_passed`], or [`RequestFlow::granted`] and
    /// [`RequestFlow::attempt_ended`].
    RequestPermit(PermitRequest, bool),
    /// Wait until this time, then call [`RequestFlow::request_permit`].
    Wait(Nanos),
    /// The function no longer exists: resolve the route again and call [`RequestFlow::route_resolved`] at
    /// once.
    ResolveRoute,
    /// Send this response to the client; the flow ends.
    Respond(Result<A, Refusal>),
}

/// Flow of one request; `A` is an endpoint's answer.
#[derive(Debug)]
pub struct RequestFlow<A> {
    info: RequestInfo,
    schedule: RetrySchedule,
    first: bool,
    /// The route now leads to another function than on arrival.
    route_moved: bool,
    may_have_run: bool,
    failed_answer: Option<A>,
    avoid: Vec<CompactString>,
}

impl<A> RequestFlow<A> {
    /// Creates the flow of a request that has arrived.
    pub fn new(info: RequestInfo) -> Self {
        let schedule = RetrySchedule::new(info.target, info.repeatable, info.max_attempts, info.deadline);
        let (first, route_moved, may_have_run) = (true, false, false);
        RequestFlow {
            info,
            schedule,
            first,
            route_moved,
            may_have_run,
            failed_answer: None,
            avoid: Vec::new(),
        }
    }

    /// First step. `informed`: a membership view has arrived from the controller.
    pub fn begin(&mut self, informed: bool) -> FlowStep<A> {
        // A client that retries has few attempts left, so its request waits until there is an owner to
        // ask.
        if !self.info.returned && !informed {
            return FlowStep::Respond(Err(Refusal::NotReady));
        }
        self.request_permit()
    }

    /// Requests a permit.
    pub fn request_permit(&mut self) -> FlowStep<A> {
        let info = &self.info;
        let request = PermitRequest {
            id: 0,
            service: info.service.clone(),
            deadline: info.deadline,
            soft_deadline: info.received_at + info.target,
            target: info.target,
            attempts_sent: self.schedule.sent,
            returned: info.returned,
            avoid: self.avoid.clone(),
            zone: info.zone.clone(),
        };
        FlowStep::RequestPermit(request, std::mem::take(&mut self.first))
    }

    /// Handles the limit on open permit requests.
    pub fn too_many_open(&mut self) -> FlowStep<A> {
        FlowStep::Respond(Err(if self.may_have_run {
            Refusal::NoAnswer
        } else {
            Refusal::Full(DEFAULT_RETRY_AFTER)
        }))
    }

    /// Handles the shutdown of the process: nothing more is sent, and the client gets a response at once.
    pub fn shutdown(&mut self) -> FlowStep<A> {
        self.finish(false)
    }

    /// Handles the end of the request's time.
    pub fn deadline_passed(&mut self) -> FlowStep<A> {
        self.finish(true)
    }

    /// Handles the denial of a permit.
    pub fn denied(&mut self, now: Nanos, reason: DenialReason) -> FlowStep<A> {
        match reason {
            DenialReason::Skip => {
                let next = self.schedule.skipped(now);
                self.next_step(now, next)
            }
            DenialReason::Full(wait) if !self.may_have_run => FlowStep::Respond(Err(Refusal::Full(wait))),
            DenialReason::Moved if !self.may_have_run => FlowStep::ResolveRoute,
            DenialReason::Unknown if self.route_moved && !self.may_have_run => self.resolve_again(now),
            DenialReason::Unknown if !self.may_have_run => FlowStep::Respond(Err(Refusal::NotReady)),
            _ => self.finish(false),
        }
    }

    /// Time until which an attempt that starts now is waited for, if its timeout is `timeout`; `None` if no
    /// other attempt could follow.
    pub fn attempt_deadline(&self, now: Nanos, timeout: Option<Nanos>) -> Option<Nanos> {
        let until = now + timeout.filter(|_| self.schedule.may_run_again())?;
        // Another attempt needs as much time again.
        (until + (until - now) / 2 < self.info.deadline).then_some(until)
    }

    /// Continues with the function that the route leads to now. Arrival time and deadline are kept, and
    /// the request counts as returning, since it has already waited.
    pub fn route_resolved(&mut self, now: Nanos, to: Option<CompactString>) -> FlowStep<A> {
        match to {
            None => FlowStep::Respond(Err(Refusal::NotReady)),
            // The owner has already received the change of configuration and this proxy has not.
            Some(to) if to == self.info.service => self.resolve_again(now),
            Some(to) => {
                (self.info.service, self.info.returned) = (to, true);
                (self.first, self.route_moved) = (true, true);
                self.avoid.clear();
                self.request_permit()
            }
        }
    }

    fn resolve_again(&mut self, now: Nanos) -> FlowStep<A> {
        if now + RESOLVE_INTERVAL < self.info.deadline {
            FlowStep::Wait(now + RESOLVE_INTERVAL)
        } else {
            self.finish(true)
        }
    }

    /// Records that a permit was granted and the attempt starts.
    pub fn granted(&mut self, now: Nanos) {
        self.schedule.sending(now);
    }

    /// Handles the end of an attempt. `sent`: something may have reached the instance.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        instance: CompactString,
        outcome: Outcome,
        sent: bool,
        answer: Option<A>,
    ) -> FlowStep<A> {
        if !sent {
            self.schedule.unsent();
        }
        match answer {
            Some(answer) if outcome == Outcome::Answered => return FlowStep::Respond(Ok(answer)),
            answer if outcome == Outcome::Failed => self.failed_answer = answer,
            _ => {}
        }
        self.may_have_run |= !outcome.proves_not_run();
        if !self.avoid.contains(&instance) {
            self.avoid.push(instance);
        }
        let next = self.schedule.ended(now, outcome);
        self.next_step(now, next)
    }

    /// What is known of the request.
    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    fn next_step(&mut self, now: Nanos, next: RetryDecision) -> FlowStep<A> {
        match next {
            RetryDecision::RetryAt(at) => FlowStep::Wait(at),
            RetryDecision::GiveUp => self.finish(now >= self.info.deadline),
        }
    }

    /// Ends the flow when nothing more can be done.
    fn finish(&mut self, late: bool) -> FlowStep<A> {
        FlowStep::Respond(match (self.failed_answer.take(), self.may_have_run) {
            (Some(answer), _) => Ok(answer),
            (None, true) if late => Err(Refusal::TimedOut),
            (None, true) => Err(Refusal::NoAnswer),
            (None, false) => Err(Refusal::NotSent),
        })
    }
}

/// Longest client timeout of the last requests of a route, in milliseconds.
#[derive(Debug, Default)]
struct LongestTimeout {
    /// Longest among the last `requests` requests, and among the [`REQUESTS_PER_PERIOD`] before them.
    periods: [f64; 2],
    requests: u32,
}

impl LongestTimeout {
    /// Records a request, and returns the longest timeout.
    fn record(&mut self, timeout: f64) -> f64 {
        if self.requests == REQUESTS_PER_PERIOD {
            (self.periods, self.requests) = ([0.0, self.periods[0]], 0);
        }
        self.requests += 1;
        self.periods[0] = self.periods[0].max(timeout);
        self.periods[0].max(self.periods[1])
    }
}

/// Longest client timeouts by route.
#[derive(Debug, Default)]
pub struct ClientTimeouts(HashMap<CompactString, LongestTimeout>);

impl ClientTimeouts {
    /// Whether a request with this remaining time, in milliseconds, is a client's retry or was made by a running
    /// request.
    pub fn is_returning(&mut self, route: &CompactString, timeout: f64) -> bool {
        let longest = match self.0.get_mut(route) {
            Some(longest) => longest,
            None => self.0.entry(route.clone()).or_default(),
        };
        timeout < longest.record(timeout) * RETURNING_FRACTION
    }

    /// Drops routes that no longer exist.
    pub fn retain(&mut self, is_there: impl Fn(&CompactString) -> bool) {
        self.0.retain(|route, _| is_there(route));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn new_flow(repeatable: bool) -> RequestFlow<u16> {
        let (received_at, deadline) = (10 * MS, 1_500 * MS);
        let (service, zone) = ("s".into(), "z".into());
        let (target, max_attempts, returned) = (200 * MS, 2, false);
        RequestFlow::new(RequestInfo {
            service,
            zone,
            target,
            repeatable,
            max_attempts,
            received_at,
            deadline,
            returned,
        })
    }

    fn sent(flow: &mut RequestFlow<u16>, outcome: Outcome, answer: Option<u16>) -> FlowStep<u16> {
        flow.granted(20 * MS);
        flow.attempt_ended(30 * MS, "i".into(), outcome, !matches!(outcome, Outcome::Unreachable), answer)
    }

    /// Response to the client after an attempt with this outcome, if the next permit request is denied.
    #[yare::parameterized(
        unreachable = { true, Outcome::Unreachable, None, DenialReason::Full(MS), Err(Refusal::Full(MS)) },
        full = { false, Outcome::Full, None, DenialReason::Unknown, Err(Refusal::NotReady) },
        full_spent = { false, Outcome::Full, None, DenialReason::Spent, Err(Refusal::NotSent) },
        broken = { true, Outcome::NoAnswer, None, DenialReason::Full(MS), Err(Refusal::NoAnswer) },
        timed_out = { true, Outcome::TimedOut, None, DenialReason::Full(MS), Err(Refusal::NoAnswer) },
        timed_out_once = { false, Outcome::NoAnswer, None, DenialReason::Unknown, Err(Refusal::NoAnswer) },
        garbled = { false, Outcome::NoAnswer, Some(200), DenialReason::Spent, Err(Refusal::NoAnswer) },
        failed = { true, Outcome::Failed, Some(500), DenialReason::Spent, Ok(500) },
        failed_once = { false, Outcome::Failed, Some(500), DenialReason::Unknown, Ok(500) },
        answered = { false, Outcome::Answered, Some(200), DenialReason::Spent, Ok(200) },
    )]
    fn response_never_denies_a_run_that_may_have_happened(
        repeatable: bool,
        outcome: Outcome,
        answer: Option<u16>,
        reason: DenialReason,
        expected: Result<u16, Refusal>,
    ) {
        let mut flow = new_flow(repeatable);
        assert!(matches!(flow.begin(true), FlowStep::RequestPermit(_, true)));
        let step = match sent(&mut flow, outcome, answer) {
            FlowStep::Wait(_) => {
                let FlowStep::RequestPermit(request, first) = flow.request_permit() else {
                    panic!("expected a permit request")
                };
                assert_eq!((first, request.avoid), (false, vec!["i".into()]));
                flow.denied(100 * MS, reason)
            }
            step => step,
        };
        assert_eq!(step, FlowStep::Respond(expected));
    }

    #[test]
    fn deadline_times_out_a_running_request_and_refuses_a_waiting_one() {
        let mut waiting = new_flow(true);
        waiting.begin(true);
        assert_eq!(waiting.deadline_passed(), FlowStep::Respond(Err(Refusal::NotSent)));
        let mut running = new_flow(true);
        running.begin(true);
        running.granted(20 * MS);
        let step = running.attempt_ended(1_500 * MS, "i".into(), Outcome::Abandoned, true, None);
        assert_eq!(step, FlowStep::Respond(Err(Refusal::TimedOut)));
    }

    /// On shutdown, clients of waiting requests learn whether their request may have run.
    #[test]
    fn on_shutdown_each_client_gets_the_matching_response() {
        let mut waiting = new_flow(true);
        waiting.begin(true);
        assert_eq!(waiting.shutdown(), FlowStep::Respond(Err(Refusal::NotSent)));
        let mut again = new_flow(true);
        again.begin(true);
        sent(&mut again, Outcome::NoAnswer, None);
        assert_eq!(again.shutdown(), FlowStep::Respond(Err(Refusal::NoAnswer)));
        let mut failed = new_flow(true);
        failed.begin(true);
        sent(&mut failed, Outcome::Failed, Some(500));
        assert_eq!(failed.shutdown(), FlowStep::Respond(Ok(500)));
    }

    /// Guards against a single client with a very long timeout after which all others of its route count as returned.
    #[test]
    fn an_unusually_long_timeout_is_forgotten() {
        let (mut timeouts, route) = (ClientTimeouts::default(), "r".into());
        assert!(!timeouts.is_returning(&route, 1e9));
        let returning = (0..1_000).filter(|_| timeouts.is_returning(&route, 4_000.0)).count();
        assert!(returning <= 2 * REQUESTS_PER_PERIOD as usize, "{returning}");
        // Retries are recognized as long as first requests come among them.
        for n in 0..1_000 {
            let is_first = n % 50 == 0;
            let timeout = if is_first { 4_000.0 } else { 3_000.0 };
            assert_eq!(timeouts.is_returning(&route, timeout), !is_first, "{n}");
        }
    }

    #[test]
    fn without_a_view_only_returning_requests_wait() {
        assert_eq!(new_flow(true).begin(false), FlowStep::Respond(Err(Refusal::NotReady)));
        let mut returning = new_flow(true);
        returning.info.returned = true;
        assert!(matches!(returning.begin(false), FlowStep::RequestPermit(_, true)));
        let mut timeouts = ClientTimeouts::default();
        let timeout = [1_000.0, 980.0, 960.0].map(|timeout| timeouts.is_returning(&"r".into(), timeout));
        assert_eq!(timeout, [false, false, true]);
    }
}
