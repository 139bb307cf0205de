//! When the list and the workers are asked for, under the platform's rate.

use crate::{MS, Nanos};

/// The part of the rate that is used: a holder whose lease has just ended may still be calling.
const SHARE: f64 = 0.5;
const LIST_EVERY: Nanos = 400 * MS;
const WORKERS_EVERY: Nanos = 1_000 * MS;
/// After a 429.
const HOLD: Nanos = 250 * MS;

/// What to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll {
    /// The list of endpoints, from its first page.
    List,
    /// The list's next page.
    NextPage,
    /// The workers.
    Workers,
}

/// Spaces calls out. One list is read at a time, and its pages count as calls.
#[derive(Debug)]
pub struct PollSchedule {
    gap: Nanos,
    free: Nanos,
    list: Nanos,
    workers: Nanos,
    reading: bool,
}

impl PollSchedule {
    /// Under `rate_per_s` calls of all.
    pub fn new(rate_per_s: f64, now: Nanos) -> Self {
        let gap = (1e9 / (rate_per_s * SHARE).max(0.5)) as Nanos;
        Self { gap, free: now, list: now, workers: now, reading: false }
    }

    /// What to ask for now, if anything. It is counted as asked.
    pub fn next_poll(&mut self, now: Nanos) -> Option<Poll> {
        if now < self.next_at() {
            return None;
        }
        self.free = now + self.gap;
        if now >= self.workers {
            self.workers = now + WORKERS_EVERY;
            return Some(Poll::Workers);
        }
        if self.reading {
            return Some(Poll::NextPage);
        }
        (self.reading, self.list) = (true, now + LIST_EVERY);
        Some(Poll::List)
    }

    /// The list was read to its end, or given up.
    pub fn list_ended(&mut self) {
        self.reading = false;
    }

    /// The list was read to its end and had so many entries: a long one costs more to read, and is read less often, though never
    /// less than about once a second.
    pub fn list_completed(&mut self, now: Nanos, entries: usize) {
        self.reading = false;
        let longer = (entries as Nanos / 4 * MS).min(LIST_EVERY);
        self.list = self.list.max(now) + longer;
    }

    /// A call got 429, or none of its answers came.
    pub fn throttled(&mut self, now: Nanos) {
        self.free = self.free.max(now + HOLD);
    }

    /// When to call [`PollSchedule::next_poll`] next. While a list is read, ask when its last page has come.
    pub fn next_at(&self) -> Nanos {
        let due = if self.reading { self.free } else { self.list.min(self.workers) };
        due.max(self.free)
    }
}
