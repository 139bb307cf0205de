//! Retry budget: within any window, retries are limited to a fraction of the requests plus a constant.
//! Each function has one counter, kept by its owner, so that the limit holds across all machines.

use std::collections::VecDeque;

use crate::Nanos;

/// Counts per tenth of the window; the sum covers at least the whole window, so it is never too low.
#[derive(Debug)]
pub(crate) struct Budget {
    slices: VecDeque<(Nanos, u64, u64)>,
    window: Nanos,
    ratio: f64,
    slack: f64,
    partitions: usize,
}

/// Usable fraction of the budget. The rest is a margin for differences to the counts of other machines and
/// for calls made by retried requests.
const USABLE_SHARE: f64 = 0.5;

impl Budget {
    pub fn new(window: Nanos, ratio: f64, slack: f64) -> Self {
        Budget { slices: VecDeque::new(), window: window.max(10), ratio, slack, partitions: 1 }
    }

    /// Splits the constant part of the budget among the partitions of the function.
    pub fn set_partitions(&mut self, partitions: usize) {
        self.partitions = partitions.max(1);
    }

    fn slice(&mut self, now: Nanos) -> &mut (Nanos, u64, u64) {
        let span = self.window / 10;
        let begin = now - now % span;
        while self.slices.front().is_some_and(|s| s.0 + self.window + span < now) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.0 < begin) {
            self.slices.push_back((begin, 0, 0));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Nanos) {
        self.slice(now).1 += 1;
    }

    /// Requests and retries within the window, and the number of retries allowed.
    pub fn counts(&self, now: Nanos) -> (u64, u64, f64) {
        let within = self.slices.iter().filter(|s| s.0 + self.window + self.window / 10 >= now);
        let (requests, repeats) = within.fold((0, 0), |(a, b), s| (a + s.1, b + s.2));
        (
            requests,
            repeats,
            (requests as f64 * self.ratio + self.slack / self.partitions as f64) * USABLE_SHARE,
        )
    }

    /// Counts a retry and returns true if the budget allows one.
    pub fn try_retry(&mut self, now: Nanos) -> bool {
        self.slice(now);
        let (_, repeats, most) = self.counts(now);
        let may = (repeats as f64) + 1.0 <= most;
        if may {
            self.slice(now).2 += 1;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn no_window_exceeds_the_retry_budget() {
        let mut budget = Budget::new(10 * SECOND, 0.2, 20.0);
        let mut sent = VecDeque::new();
        for step in 0..4_000u64 {
            let now = step * SECOND / 50;
            if step % 3 == 0 {
                budget.record_request(now);
            }
            if budget.try_retry(now) {
                sent.push_back(now);
            }
            while sent.front().is_some_and(|t| t + 10 * SECOND <= now) {
                sent.pop_front();
            }
            assert!(sent.len() as f64 <= 0.2 * (10.0 * 50.0 / 3.0 + 1.0) + 20.0, "at {now}");
        }
        assert!(!sent.is_empty(), "some retries are allowed");
    }
}
