//! Attempts of one request at the proxy that received it: exponential retry times starting from T1, and
//! which outcomes allow a retry.
//!
//! A request that is not repeatable is retried only after an outcome that proves that it has not run.

use millpost::doubled_time;

use crate::{MS, Nanos};

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete, valid answer.
    Answered,
    /// A complete error answer from the endpoint; the request has run.
    Failed,
    /// Rejected by the endpoint; the request has not run.
    Full,
    /// Another endpoint now has the address; the request has not run.
    AddressReused,
    /// The connection failed before the last byte was written; the request has not run.
    Unreachable,
    /// The connection broke or the answer was invalid; the request may have run.
    NoAnswer,
    /// No answer within a wide margin over the usual response time while there is time for another
    /// attempt; the request may still be running.
    TimedOut,
    /// The client left or the deadline passed.
    Abandoned,
    /// The permit was not used.
    Unused,
}

impl Outcome {
    /// Whether the outcome proves that the request has not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::AddressReused | Outcome::Unreachable | Outcome::Unused)
    }
    /// Whether the request may still be running, at an endpoint that does not stop abandoned requests.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Abandoned)
    }
    /// Name used in messages between processes.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "ok",
            Outcome::Failed => "failed",
            Outcome::Full => "full",
            Outcome::AddressReused => "elsewhere",
            Outcome::Unreachable => "unreachable",
            Outcome::NoAnswer => "noanswer",
            Outcome::TimedOut => "silent",
            Outcome::Abandoned => "left",
            Outcome::Unused => "unused",
        }
    }
    /// Parses the name returned by [`Outcome::as_str`].
    pub fn parse(name: &str) -> Option<Self> {
        use Outcome::*;
        [Answered, Failed, Full, AddressReused, Unreachable, NoAnswer, TimedOut, Abandoned, Unused]
            .into_iter()
            .find(|o| o.as_str() == name)
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Request another permit at this time.
    RetryAt(Nanos),
    /// Answer the client now.
    GiveUp,
}

/// T1 of a route: a quarter of its latency target, clamped to 20 to 500 ms.
pub fn first_retry_delay(target: Nanos) -> Nanos {
    (target / 4).clamp(20 * MS, 500 * MS)
}

/// Retry schedule of one request.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    first_delay: Nanos,
    /// Whether the request may run more than once.
    repeatable: bool,
    max_attempts: u32,
    deadline: Nanos,
    first_sent_at: Option<Nanos>,
    step: u32,
    /// Number of endpoints to which at least part of the request was sent.
    pub sent: u32,
}

impl RetrySchedule {
    /// Creates the schedule of a request that may be sent to `most` endpoints until `deadline`.
    pub fn new(target: Nanos, repeatable: bool, most: u32, deadline: Nanos) -> Self {
        RetrySchedule {
            first_delay: first_retry_delay(target),
            repeatable,
            max_attempts: most.max(1),
            deadline,
            first_sent_at: None,
            step: 1,
            sent: 0,
        }
    }

    /// Records the start of an attempt.
    pub fn sending(&mut self, now: Nanos) {
        self.first_sent_at.get_or_insert(now);
        self.sent += 1;
    }

    /// Takes back an attempt that was counted but never sent.
    pub fn unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Whether another attempt is allowed after one that may have run, time permitting.
    pub fn may_run_again(&self) -> bool {
        self.repeatable && self.sent < self.max_attempts
    }

    /// The first retry time not before `now`, if it is before the deadline.
    fn next(&mut self, now: Nanos) -> RetryDecision {
        let first = *self.first_sent_at.get_or_insert(now);
        while doubled_time(first, self.first_delay, self.step) < now && self.step < 40 {
            self.step += 1;
        }
        let due = doubled_time(first, self.first_delay, self.step);
        if due >= self.deadline { RetryDecision::GiveUp } else { RetryDecision::RetryAt(due) }
    }

    /// Decides what follows an attempt. An attempt that was never sent does not count as one: the next
    /// follows at once.
    pub fn ended(&mut self, now: Nanos, outcome: Outcome) -> RetryDecision {
        let allowed = match outcome {
            Outcome::Answered | Outcome::Abandoned => false,
            Outcome::Unused => return RetryDecision::RetryAt(now),
            o if o.proves_not_run() => true,
            _ => self.repeatable,
        };
        if !allowed || self.sent >= self.max_attempts && outcome != Outcome::Unreachable {
            return RetryDecision::GiveUp;
        }
        self.next(now)
    }

    /// Waits for the next retry time after the retry was suppressed.
    pub fn skipped(&mut self, now: Nanos) -> RetryDecision {
        self.step += 1;
        self.next(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T1: Nanos = 50 * MS;

    fn schedule_after_first_attempt(repeatable: bool) -> RetrySchedule {
        let mut schedule = RetrySchedule::new(200 * MS, repeatable, 2, 1_500 * MS);
        schedule.sending(10 * MS);
        schedule
    }

    #[test]
    fn retries_follow_the_doubling_schedule_and_suppressed_ones_wait() {
        let mut schedule = schedule_after_first_attempt(true);
        assert_eq!(schedule.ended(12 * MS, Outcome::NoAnswer), RetryDecision::RetryAt(10 * MS + T1));
        assert_eq!(schedule.skipped(60 * MS), RetryDecision::RetryAt(10 * MS + 3 * T1));
        assert_eq!(schedule.skipped(160 * MS), RetryDecision::RetryAt(10 * MS + 7 * T1));
        // After its first retry time has passed, the next one after the outcome applies.
        let mut late = schedule_after_first_attempt(true);
        assert_eq!(late.ended(300 * MS, Outcome::NoAnswer), RetryDecision::RetryAt(10 * MS + 7 * T1));
    }

    #[yare::parameterized(
        answered = { Outcome::Answered, false, false },
        failed = { Outcome::Failed, true, false },
        full = { Outcome::Full, true, true },
        address_reused = { Outcome::AddressReused, true, true },
        unreachable = { Outcome::Unreachable, true, true },
        timed_out = { Outcome::TimedOut, true, false },
        broken = { Outcome::NoAnswer, true, false },
        abandoned = { Outcome::Abandoned, false, false },
    )]
    fn retry_allowed_by_outcome(outcome: Outcome, if_repeatable: bool, otherwise: bool) {
        for (repeatable, allowed) in [(true, if_repeatable), (false, otherwise)] {
            assert_eq!(
                schedule_after_first_attempt(repeatable).ended(20 * MS, outcome) != RetryDecision::GiveUp,
                allowed,
                "{outcome:?}, repeatable: {repeatable}"
            );
        }
        assert_eq!(Outcome::parse(outcome.as_str()), Some(outcome));
    }

    #[test]
    fn retries_respect_the_attempt_limit_and_the_deadline() {
        let mut schedule = schedule_after_first_attempt(true);
        schedule.sending(60 * MS);
        assert_eq!(schedule.ended(70 * MS, Outcome::NoAnswer), RetryDecision::GiveUp);
        assert_eq!(
            schedule_after_first_attempt(true).ended(1_490 * MS, Outcome::NoAnswer),
            RetryDecision::GiveUp
        );
    }
}
