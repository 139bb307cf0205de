//! The tries of one request, at the proxy that took it from its client: the doubling schedule from T1, and what an outcome allows.
//!
//! A request that may run only once goes again only after an outcome that proves that it has not run.

use millpost::doubled_time;

use crate::{MS, Nanos};

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer that counts, whole.
    Answered,
    /// The endpoint's own failure, whole; the request has run.
    Failed,
    /// Turned away by the endpoint; it has not run.
    Full,
    /// Another endpoint has the address; it has not run.
    AddressReused,
    /// No connection, or it broke before the last byte was written: it has not run.
    Unreachable,
    /// The connection broke, or what came is no answer: it may have run.
    NoAnswer,
    /// Nothing came within a wide margin over what it usually takes, and there is time to go elsewhere: it may be running still.
    TimedOut,
    /// The client gave up, or the deadline came.
    Abandoned,
    /// The permit was not used.
    Unused,
}

impl Outcome {
    /// It proves that the request has not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::AddressReused | Outcome::Unreachable | Outcome::Unused)
    }
    /// Its request may be running still, where the endpoint does not drop what nobody waits for.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Abandoned)
    }
    /// The word for it between processes.
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
    /// Reads that word.
    pub fn parse(word: &str) -> Option<Self> {
        use Outcome::*;
        [Answered, Failed, Full, AddressReused, Unreachable, NoAnswer, TimedOut, Abandoned, Unused]
            .into_iter()
            .find(|o| o.as_str() == word)
    }
}

/// What comes after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Ask for another permit then.
    RetryAt(Nanos),
    /// The client is answered at once.
    GiveUp,
}

/// T1 for a route: a quarter of the time in which an answer earns its full worth.
pub fn first_retry_delay(target: Nanos) -> Nanos {
    (target / 4).clamp(20 * MS, 500 * MS)
}

/// The tries of one request.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    first_delay: Nanos,
    /// It may run more than once.
    repeatable: bool,
    max_attempts: u32,
    deadline: Nanos,
    first_sent_at: Option<Nanos>,
    step: u32,
    /// Endpoints that something of it was sent to.
    pub sent: u32,
}

impl RetrySchedule {
    /// For a request that may be sent to `most` endpoints until `deadline`.
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

    /// Something of it goes out.
    pub fn sending(&mut self, now: Nanos) {
        self.first_sent_at.get_or_insert(now);
        self.sent += 1;
    }

    /// What was counted as sent never left.
    pub fn unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// After a try that may have run another may follow, where there is time.
    pub fn may_run_again(&self) -> bool {
        self.repeatable && self.sent < self.max_attempts
    }

    /// The first doubled time that is not before `now`, if it leaves any time.
    fn next(&mut self, now: Nanos) -> RetryDecision {
        let first = *self.first_sent_at.get_or_insert(now);
        while doubled_time(first, self.first_delay, self.step) < now && self.step < 40 {
            self.step += 1;
        }
        let due = doubled_time(first, self.first_delay, self.step);
        if due >= self.deadline { RetryDecision::GiveUp } else { RetryDecision::RetryAt(due) }
    }

    /// A try has ended so. A try that never left its machine is no retry: the next one goes at once.
    pub fn ended(&mut self, now: Nanos, outcome: Outcome) -> RetryDecision {
        let may = match outcome {
            Outcome::Answered | Outcome::Abandoned => false,
            Outcome::Unused => return RetryDecision::RetryAt(now),
            o if o.proves_not_run() => true,
            _ => self.repeatable,
        };
        if !may || self.sent >= self.max_attempts && outcome != Outcome::Unreachable {
            return RetryDecision::GiveUp;
        }
        self.next(now)
    }

    /// The retry was thinned out: it waits for the next doubled time.
    pub fn skipped(&mut self, now: Nanos) -> RetryDecision {
        self.step += 1;
        self.next(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T1: Nanos = 50 * MS;

    fn tries(repeatable: bool) -> RetrySchedule {
        let mut tries = RetrySchedule::new(200 * MS, repeatable, 2, 1_500 * MS);
        tries.sending(10 * MS);
        tries
    }

    #[test]
    fn retries_follow_the_doubled_times_and_skipped_ones_wait_for_the_next() {
        let mut t = tries(true);
        assert_eq!(t.ended(12 * MS, Outcome::NoAnswer), RetryDecision::RetryAt(10 * MS + T1));
        assert_eq!(t.skipped(60 * MS), RetryDecision::RetryAt(10 * MS + 3 * T1));
        assert_eq!(t.skipped(160 * MS), RetryDecision::RetryAt(10 * MS + 7 * T1));
        // Later than its time: the next doubled one after the outcome.
        let mut late = tries(true);
        assert_eq!(late.ended(300 * MS, Outcome::NoAnswer), RetryDecision::RetryAt(10 * MS + 7 * T1));
    }

    #[yare::parameterized(
        answered = { Outcome::Answered, false, false },
        failed = { Outcome::Failed, true, false },
        full = { Outcome::Full, true, true },
        elsewhere = { Outcome::AddressReused, true, true },
        unreachable = { Outcome::Unreachable, true, true },
        silent = { Outcome::TimedOut, true, false },
        broken = { Outcome::NoAnswer, true, false },
        left = { Outcome::Abandoned, false, false },
    )]
    fn what_may_go_again(outcome: Outcome, repeatable: bool, once: bool) {
        for (safe, may) in [(true, repeatable), (false, once)] {
            assert_eq!(
                tries(safe).ended(20 * MS, outcome) != RetryDecision::GiveUp,
                may,
                "{outcome:?} {safe}"
            );
        }
        assert_eq!(Outcome::parse(outcome.as_str()), Some(outcome));
    }

    #[test]
    fn no_more_endpoints_than_the_route_allows_and_none_past_the_deadline() {
        let mut t = tries(true);
        t.sending(60 * MS);
        assert_eq!(t.ended(70 * MS, Outcome::NoAnswer), RetryDecision::GiveUp);
        assert_eq!(tries(true).ended(1_490 * MS, Outcome::NoAnswer), RetryDecision::GiveUp);
    }
}
