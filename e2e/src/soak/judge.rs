//! Whether a request that came to no answer was lost, by the users' rule: what was read whole is answered, planned work or not.

use std::ops::Range;
use std::time::Duration;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer with this status.
    Answer(u16),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing came for longer than the client waits.
    Nothing,
}

/// One try of a request, as its client saw it. Times are since the start of the run.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// The edge machine that it was sent to, counted among these.
    pub edge: usize,
    /// When its last byte was written.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub end: End,
    /// An endpoint got it.
    pub passed_on: bool,
}

/// What is forgiven, and for how long.
#[derive(Clone, Debug)]
pub struct Terms {
    /// A request may be cut so soon after its last byte, unless it was passed on: it crossed the close.
    pub slack: Duration,
    /// Trouble that was not planned, by edge machine.
    pub trouble: Vec<(usize, Range<Duration>)>,
    /// ... counts for so long after it.
    pub contact: Duration,
}

/// What became of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was answered.
    Answered,
    /// It crossed the close of its connection.
    Crossed,
    /// Its machine was in trouble that was not planned.
    Forgiven,
    /// LOST: it was read, and came to no answer.
    Lost,
    /// Its client waited for longer than it had told, and got nothing.
    Held,
}

impl Terms {
    /// The verdict on a try.
    pub fn judge(&self, seen: &Seen) -> Verdict {
        let from = seen.sent.saturating_sub(self.contact);
        let near = |span: &Range<Duration>| span.start <= seen.ended && span.end >= from;
        let forgiven = self.trouble.iter().any(|(edge, span)| *edge == seen.edge && near(span));
        match seen.end {
            End::Answer(_) => Verdict::Answered,
            _ if forgiven => Verdict::Forgiven,
            End::Nothing => Verdict::Held,
            End::Closed if !seen.passed_on && seen.ended <= seen.sent + self.slack => Verdict::Crossed,
            End::Closed => Verdict::Lost,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[yare::parameterized(
        answered = { End::Answer(503), 10_900, true, 0, Verdict::Answered },
        crossed = { End::Closed, 10_100, false, 0, Verdict::Crossed },
        passed_on = { End::Closed, 10_100, true, 0, Verdict::Lost },
        read_and_dropped = { End::Closed, 13_300, false, 0, Verdict::Lost },
        of_a_machine_in_trouble = { End::Closed, 13_300, true, 1, Verdict::Forgiven },
        nothing = { End::Nothing, 19_000, false, 0, Verdict::Held },
    )]
    fn what_was_read_is_answered(end: End, ended: u64, passed_on: bool, edge: usize, verdict: Verdict) {
        let terms = Terms { slack: ms(200), trouble: vec![(1, ms(7_000)..ms(7_500))], contact: ms(4_000) };
        let seen = Seen { id: "a".into(), edge, sent: ms(10_000), ended: ms(ended), end, passed_on };
        assert_eq!(terms.judge(&seen), verdict);
    }
}
