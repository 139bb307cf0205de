//! The tries of one request, from when it was read to what its client is told: when a permit is asked for, what an outcome means, and
//! when nothing more can be done. Who drives it asks, sends, waits and tells.
//!
//! Invariant: it tells once; a status that promises that the request has not run stands only where no try may have reached an endpoint.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::effect::DenialReason;
use crate::retry_schedule::{Outcome, RetryDecision, RetrySchedule};
use crate::{MS, Nanos, PermitRequest, SECOND};

/// One that gives less of its time than others on its route has been here before, or was made by a running request.
const RETURNING_FRACTION: f64 = 0.97;
/// When to come back where nothing is known of how long it takes.
const DEFAULT_RETRY_AFTER: Nanos = 200 * MS;
/// A machine that starts knows nothing for about so long; a client has few tries to spend meanwhile.
const STARTUP_RETRY_AFTER: Nanos = SECOND;
/// Where its route leads now may not be known yet, here or to the owner there: it is looked for again after this.
const RESOLVE_INTERVAL: Nanos = 50 * MS;

/// What is known of a request when it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// The function that it is for.
    pub service: CompactString,
    /// The zone in which it came in.
    pub zone: CompactString,
    /// The time in which its answer earns its full worth.
    pub target: Nanos,
    /// It may run more than once.
    pub repeatable: bool,
    /// Endpoints that it may be sent to.
    pub max_attempts: u32,
    /// When it came.
    pub received_at: Nanos,
    /// Until when its client waits.
    pub deadline: Nanos,
    /// It has been here before, or was made by a running request.
    pub returned: bool,
}

/// Why a client gets no endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing is known here yet of configuration, stalls or the function.
    NotReady,
    /// No slot in time; one may be free after this.
    Full(Nanos),
    /// Its time ended before it was sent anywhere.
    NotSent,
    /// It was sent, and there is no answer that counts.
    NoAnswer,
    /// It was sent, and its time has ended.
    TimedOut,
}

impl Refusal {
    /// The status, and when to come back.
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

/// What is next.
#[derive(Debug, PartialEq)]
pub enum FlowStep<A> {
    /// A permit is to be asked for, for the first time or again. [`RequestFlow::too_many_open`], [`RequestFlow::denied`], [`RequestFlow::deadline_passed`], or
    /// [`RequestFlow::granted`] and [`RequestFlow::attempt_ended`] follow.
    RequestPermit(PermitRequest, bool),
    /// Nothing before this time; then [`RequestFlow::request_permit`].
    Wait(Nanos),
    /// What it was for is gone: where its route leads now is looked for. [`RequestFlow::route_resolved`] follows at once.
    ResolveRoute,
    /// The client is told this, and it is over.
    Respond(Result<A, Refusal>),
}

/// One request; `A` is an endpoint's answer.
#[derive(Debug)]
pub struct RequestFlow<A> {
    wish: RequestInfo,
    schedule: RetrySchedule,
    first: bool,
    /// It goes elsewhere than it was read for.
    route_moved: bool,
    may_have_run: bool,
    failed_answer: Option<A>,
    avoid: Vec<CompactString>,
}

impl<A> RequestFlow<A> {
    /// Of a request that was read.
    pub fn new(wish: RequestInfo) -> Self {
        let tries = RetrySchedule::new(wish.target, wish.repeatable, wish.max_attempts, wish.deadline);
        let (first, moved, may_have_run) = (true, false, false);
        RequestFlow {
            wish,
            schedule: tries,
            first,
            route_moved: moved,
            may_have_run,
            failed_answer: None,
            avoid: Vec::new(),
        }
    }

    /// Its first step. `informed`: control has named the stalls.
    pub fn begin(&mut self, informed: bool) -> FlowStep<A> {
        // One that has been here before has few tries left: it waits until there is somebody to ask.
        if !self.wish.returned && !informed {
            return FlowStep::Respond(Err(Refusal::NotReady));
        }
        self.request_permit()
    }

    /// A permit is asked for.
    pub fn request_permit(&mut self) -> FlowStep<A> {
        let wish = &self.wish;
        let ask = PermitRequest {
            id: 0,
            service: wish.service.clone(),
            deadline: wish.deadline,
            soft_deadline: wish.received_at + wish.target,
            target: wish.target,
            attempts_sent: self.schedule.sent,
            returned: wish.returned,
            avoid: self.avoid.clone(),
            zone: wish.zone.clone(),
        };
        FlowStep::RequestPermit(ask, std::mem::take(&mut self.first))
    }

    /// Too many asks are open.
    pub fn too_many_open(&mut self) -> FlowStep<A> {
        FlowStep::Respond(Err(if self.may_have_run {
            Refusal::NoAnswer
        } else {
            Refusal::Full(DEFAULT_RETRY_AFTER)
        }))
    }

    /// The process ends: nothing more is sent anywhere, and its client is told at once.
    pub fn shutdown(&mut self) -> FlowStep<A> {
        self.finish(false)
    }

    /// Its time ended before word came.
    pub fn deadline_passed(&mut self) -> FlowStep<A> {
        self.finish(true)
    }

    /// The ask was turned down.
    pub fn denied(&mut self, now: Nanos, no: DenialReason) -> FlowStep<A> {
        match no {
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

    /// Until when this try, which goes out now, is waited for, if its endpoint may take so long; none where nothing could follow.
    pub fn attempt_deadline(&self, now: Nanos, within: Option<Nanos>) -> Option<Nanos> {
        let until = now + within.filter(|_| self.schedule.may_run_again())?;
        // Whoever goes elsewhere needs as long there.
        (until + (until - now) / 2 < self.wish.deadline).then_some(until)
    }

    /// Its route leads there now. It keeps the time that it came and its deadline, and counts as one that was here before: it has waited.
    pub fn route_resolved(&mut self, now: Nanos, to: Option<CompactString>) -> FlowStep<A> {
        match to {
            None => FlowStep::Respond(Err(Refusal::NotReady)),
            // Its owner has heard of the change, and this stall has not.
            Some(to) if to == self.wish.service => self.resolve_again(now),
            Some(to) => {
                (self.wish.service, self.wish.returned) = (to, true);
                (self.first, self.route_moved) = (true, true);
                self.avoid.clear();
                self.request_permit()
            }
        }
    }

    fn resolve_again(&mut self, now: Nanos) -> FlowStep<A> {
        if now + RESOLVE_INTERVAL < self.wish.deadline {
            FlowStep::Wait(now + RESOLVE_INTERVAL)
        } else {
            self.finish(true)
        }
    }

    /// A permit came, and it goes out now.
    pub fn granted(&mut self, now: Nanos) {
        self.schedule.sending(now);
    }

    /// The exchange with this instance is over. `sent`: something may have reached it.
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

    /// The wish that it is of.
    pub fn info(&self) -> &RequestInfo {
        &self.wish
    }

    fn next_step(&mut self, now: Nanos, next: RetryDecision) -> FlowStep<A> {
        match next {
            RetryDecision::RetryAt(at) => FlowStep::Wait(at),
            RetryDecision::GiveUp => self.finish(now >= self.wish.deadline),
        }
    }

    /// Nothing more can be done.
    fn finish(&mut self, late: bool) -> FlowStep<A> {
        FlowStep::Respond(match (self.failed_answer.take(), self.may_have_run) {
            (Some(answer), _) => Ok(answer),
            (None, true) if late => Err(Refusal::TimedOut),
            (None, true) => Err(Refusal::NoAnswer),
            (None, false) => Err(Refusal::NotSent),
        })
    }
}

/// The longest time that clients were seen to give, by route, in milliseconds.
#[derive(Debug, Default)]
pub struct ClientTimeouts(HashMap<CompactString, f64>);

impl ClientTimeouts {
    /// Whether a request that gives so much has been here before, or was made by a running request.
    pub fn is_returning(&mut self, route: &CompactString, given: f64) -> bool {
        let longest = self.0.entry(route.clone()).or_insert(given);
        *longest = longest.max(given);
        given < *longest * RETURNING_FRACTION
    }

    /// Forgets the routes that are no more.
    pub fn retain(&mut self, is_there: impl Fn(&CompactString) -> bool) {
        self.0.retain(|route, _| is_there(route));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn passage(repeatable: bool) -> RequestFlow<u16> {
        let (came, deadline) = (10 * MS, 1_500 * MS);
        let (service, zone) = ("s".into(), "z".into());
        let (target, most, returned) = (200 * MS, 2, false);
        RequestFlow::new(RequestInfo {
            service,
            zone,
            target,
            repeatable,
            max_attempts: most,
            received_at: came,
            deadline,
            returned,
        })
    }

    fn sent(passage: &mut RequestFlow<u16>, outcome: Outcome, answer: Option<u16>) -> FlowStep<u16> {
        passage.granted(20 * MS);
        passage.attempt_ended(30 * MS, "i".into(), outcome, !matches!(outcome, Outcome::Unreachable), answer)
    }

    /// What a client is told after a try with this outcome, and a no to whatever is asked after it.
    #[yare::parameterized(
        unreachable = { true, Outcome::Unreachable, None, DenialReason::Full(MS), Err(Refusal::Full(MS)) },
        full = { false, Outcome::Full, None, DenialReason::Unknown, Err(Refusal::NotReady) },
        full_spent = { false, Outcome::Full, None, DenialReason::Spent, Err(Refusal::NotSent) },
        broken = { true, Outcome::NoAnswer, None, DenialReason::Full(MS), Err(Refusal::NoAnswer) },
        silent = { true, Outcome::TimedOut, None, DenialReason::Full(MS), Err(Refusal::NoAnswer) },
        silent_once = { false, Outcome::NoAnswer, None, DenialReason::Unknown, Err(Refusal::NoAnswer) },
        garbled = { false, Outcome::NoAnswer, Some(200), DenialReason::Spent, Err(Refusal::NoAnswer) },
        failed = { true, Outcome::Failed, Some(500), DenialReason::Spent, Ok(500) },
        failed_once = { false, Outcome::Failed, Some(500), DenialReason::Unknown, Ok(500) },
        answered = { false, Outcome::Answered, Some(200), DenialReason::Spent, Ok(200) },
    )]
    fn what_may_have_run_is_never_promised_not_to_have(
        repeatable: bool,
        outcome: Outcome,
        answer: Option<u16>,
        no: DenialReason,
        told: Result<u16, Refusal>,
    ) {
        let mut passage = passage(repeatable);
        assert!(matches!(passage.begin(true), FlowStep::RequestPermit(_, true)));
        let step = match sent(&mut passage, outcome, answer) {
            FlowStep::Wait(_) => {
                let FlowStep::RequestPermit(ask, first) = passage.request_permit() else { panic!("it asks") };
                assert_eq!((first, ask.avoid), (false, vec!["i".into()]));
                passage.denied(100 * MS, no)
            }
            step => step,
        };
        assert_eq!(step, FlowStep::Respond(told));
    }

    #[test]
    fn one_whose_time_ends_while_it_runs_is_late_and_one_that_waits_was_never_sent() {
        let mut waits = passage(true);
        waits.begin(true);
        assert_eq!(waits.deadline_passed(), FlowStep::Respond(Err(Refusal::NotSent)));
        let mut runs = passage(true);
        runs.begin(true);
        runs.granted(20 * MS);
        let step = runs.attempt_ended(1_500 * MS, "i".into(), Outcome::Abandoned, true, None);
        assert_eq!(step, FlowStep::Respond(Err(Refusal::TimedOut)));
    }

    /// What waits when the process ends has not run, or may have, and its client is told which.
    #[test]
    fn when_the_process_ends_each_is_told_what_became_of_it() {
        let mut waits = passage(true);
        waits.begin(true);
        assert_eq!(waits.shutdown(), FlowStep::Respond(Err(Refusal::NotSent)));
        let mut again = passage(true);
        again.begin(true);
        sent(&mut again, Outcome::NoAnswer, None);
        assert_eq!(again.shutdown(), FlowStep::Respond(Err(Refusal::NoAnswer)));
        let mut failed = passage(true);
        failed.begin(true);
        sent(&mut failed, Outcome::Failed, Some(500));
        assert_eq!(failed.shutdown(), FlowStep::Respond(Ok(500)));
    }

    #[test]
    fn with_nobody_to_ask_only_what_came_back_waits() {
        assert_eq!(passage(true).begin(false), FlowStep::Respond(Err(Refusal::NotReady)));
        let mut back = passage(true);
        back.wish.returned = true;
        assert!(matches!(back.begin(false), FlowStep::RequestPermit(_, true)));
        let mut patience = ClientTimeouts::default();
        let given = [1_000.0, 980.0, 960.0].map(|given| patience.is_returning(&"r".into(), given));
        assert_eq!(given, [false, false, true]);
    }
}
