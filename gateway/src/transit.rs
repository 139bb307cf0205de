//! How long the link takes, and whether it is alive: pings on it, and what they say of the time that is left to a message.
//!
//! Invariants kept here: time travels as what is left and never as a clock reading, so that clocks which are hours apart
//! change nothing; what is taken off at the arrival is never more than the way took at its fastest, or a message would be
//! given less than its time for a queue that has passed; pings that wait for an answer are bounded.

use std::collections::VecDeque;

use serde::Serialize;

use crate::Nanos;

/// Pings that may wait for their answers.
const MOST_OUT: usize = 8;

/// What is known of one link.
#[derive(Clone, Debug, Serialize)]
pub struct Transit {
    /// How often the link is asked.
    interval: Nanos,
    next_number: u64,
    /// Pings without an answer, the oldest first.
    out: VecDeque<(u64, Nanos)>,
    /// Shortest round trip in this span and in the one before: a route may become longer.
    least: [Option<Nanos>; 2],
    span_from: Nanos,
    /// When the last ping went, and when anything last came.
    pinged: Nanos,
    heard: Nanos,
}

/// Round trips are remembered for one to two of so many intervals.
const SPAN: u64 = 30;
/// A link on which nothing came for so many intervals is given up.
const SILENT: u64 = 3;

impl Transit {
    /// A link that is up since now, and is to be asked so often.
    pub fn new(now: Nanos, interval: Nanos) -> Self {
        Transit {
            interval: interval.max(1),
            next_number: 1,
            out: VecDeque::new(),
            least: [None, None],
            span_from: now,
            pinged: now,
            heard: now,
        }
    }

    /// The number of a ping that is to go now, if one is.
    pub fn ping(&mut self, now: Nanos) -> Option<u64> {
        if now < self.pinged.saturating_add(self.interval) && self.next_number > 1 {
            return None;
        }
        if self.out.len() == MOST_OUT {
            self.out.pop_front();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.pinged = now;
        self.out.push_back((number, now));
        Some(number)
    }

    /// Anything came.
    pub fn heard(&mut self, now: Nanos) {
        self.heard = self.heard.max(now);
    }

    /// The answer to a ping came. How long that took; `None` for one that was never sent, or answered before.
    pub fn pong(&mut self, now: Nanos, number: u64) -> Option<Nanos> {
        self.heard(now);
        let place = self.out.iter().position(|(n, _)| *n == number)?;
        let (_, sent) = self.out.remove(place)?;
        let took = now.saturating_sub(sent);
        if now.saturating_sub(self.span_from) > self.interval.saturating_mul(SPAN) {
            self.least = [None, self.least[0]];
            self.span_from = now;
        }
        self.least[0] = Some(self.least[0].map_or(took, |least| least.min(took)));
        Some(took)
    }

    /// Half the shortest round trip of late; 0 until one is known.
    pub fn one_way(&self) -> Nanos {
        self.least.into_iter().flatten().min().unwrap_or(0) / 2
    }

    /// What is left to a message on its arrival that was told to have so much left when it was written.
    pub fn left_on_arrival(&self, left: Nanos) -> Nanos {
        left.saturating_sub(self.one_way())
    }

    /// Whether an offer makes sense: there and back, and so long at the far side at the least, before its time is up.
    pub fn in_time(&self, left: Nanos, least_there: Nanos) -> bool {
        left > self.one_way().saturating_mul(2).saturating_add(least_there)
    }

    /// Nothing has come for so long that the link is given up.
    pub fn is_silent(&self, now: Nanos) -> bool {
        now.saturating_sub(self.heard) > self.interval.saturating_mul(SILENT)
    }

    /// When there is something to do next: a ping, or the end of patience.
    pub fn next(&self) -> Nanos {
        let patience = self.heard.saturating_add(self.interval.saturating_mul(SILENT)).saturating_add(1);
        patience.min(if self.next_number == 1 {
            self.pinged
        } else {
            self.pinged.saturating_add(self.interval)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn trip(transit: &mut Transit, at: Nanos, took: Nanos) {
        let number = transit.ping(at).expect("one is due");
        assert_eq!(transit.pong(at + took, number), Some(took));
    }

    #[test]
    fn the_fastest_trip_of_late_counts() {
        let mut transit = Transit::new(0, 100 * MS);
        assert_eq!((transit.one_way(), transit.left_on_arrival(MS)), (0, MS));
        trip(&mut transit, 0, 80 * MS);
        trip(&mut transit, 100 * MS, 30 * MS);
        // A queue on the way takes no time from a message.
        trip(&mut transit, 200 * MS, 99 * MS);
        assert_eq!(transit.one_way(), 15 * MS);
        assert_eq!(transit.left_on_arrival(1_000 * MS), 985 * MS);
        assert_eq!(transit.left_on_arrival(5 * MS), 0);
        assert!(transit.in_time(101 * MS, 70 * MS) && !transit.in_time(100 * MS, 70 * MS));
    }

    #[test]
    fn a_way_that_became_longer_is_learnt() {
        let mut transit = Transit::new(0, 100 * MS);
        trip(&mut transit, 0, 10 * MS);
        for n in 1..100 {
            trip(&mut transit, n * 100 * MS, 60 * MS);
        }
        assert_eq!(transit.one_way(), 30 * MS);
    }

    #[test]
    fn odd_answers_say_nothing_but_that_the_link_is_alive() {
        let mut transit = Transit::new(0, 100 * MS);
        let number = transit.ping(0).expect("the first is due at once");
        assert_eq!(transit.ping(99 * MS), None);
        assert_eq!(transit.pong(5 * MS, number + 7), None);
        assert_eq!(transit.pong(10 * MS, number), Some(10 * MS));
        assert_eq!(transit.pong(11 * MS, number), None, "answered before");
        assert_eq!(transit.one_way(), 5 * MS);
        assert!(!transit.is_silent(311 * MS) && transit.is_silent(312 * MS));
    }

    #[test]
    fn pings_that_are_never_answered_are_bounded() {
        let mut transit = Transit::new(0, 100 * MS);
        for n in 0..1_000 {
            assert_eq!(transit.next(), (n * 100 * MS).min(300 * MS + 1));
            assert!(transit.ping(n * 100 * MS).is_some());
        }
        assert_eq!(transit.out.len(), MOST_OUT);
        assert_eq!(transit.pong(100_000 * MS, 1), None, "given up");
    }
}
