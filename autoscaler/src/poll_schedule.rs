//! Schedules requests for the endpoint list and the workers within the platform's rate limit.

use crate::{MS, Nanos};

/// The share of the rate limit that is used. The rest is left to a previous leader whose lease has just ended
/// and which may still be calling.
const SHARE: f64 = 0.5;
const LIST_EVERY: Nanos = 400 * MS;
const WORKERS_EVERY: Nanos = 1_000 * MS;
/// The pause after a 429.
const THROTTLED_FOR: Nanos = 250 * MS;

/// A request to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll {
    /// The first page of the endpoint list.
    List,
    /// The next page of the endpoint list.
    NextPage,
    /// The workers.
    Workers,
}

/// Spaces requests out. One list is read at a time, and each of its pages counts as a request.
#[derive(Debug)]
pub struct PollSchedule {
    gap: Nanos,
    /// The earliest time of the next request of any kind.
    free: Nanos,
    list: Nanos,
    workers: Nanos,
    reading_list: bool,
}

impl PollSchedule {
    /// Creates a schedule for a platform that allows `rate_per_s` requests in all.
    pub fn new(rate_per_s: f64, now: Nanos) -> Self {
        let gap = (1e9 / (rate_per_s * SHARE).max(0.5)) as Nanos;
        Self { gap, free: now, list: now, workers: now, reading_list: false }
    }

    /// Returns the request that is due, if any, and counts it as sent.
    pub fn next_poll(&mut self, now: Nanos) -> Option<Poll> {
        if now < self.next_at() {
            return None;
        }
        self.free = now + self.gap;
        if now >= self.workers {
            self.workers = now + WORKERS_EVERY;
            return Some(Poll::Workers);
        }
        if self.reading_list {
            return Some(Poll::NextPage);
        }
        (self.reading_list, self.list) = (true, now + LIST_EVERY);
        Some(Poll::List)
    }

    /// The list was read to its end, or reading it was given up.
    pub fn list_ended(&mut self) {
        self.reading_list = false;
    }

    /// The list was read to its end and had this many entries. A long list costs more to read and is read
    /// less often, but at least about once a second.
    pub fn list_completed(&mut self, now: Nanos, entries: usize) {
        self.reading_list = false;
        let longer = (entries as Nanos / 4 * MS).min(LIST_EVERY);
        self.list = self.list.max(now) + longer;
    }

    /// A request was answered with 429, or not answered at all.
    pub fn throttled(&mut self, now: Nanos) {
        self.free = self.free.max(now + THROTTLED_FOR);
    }

    /// When to call [`PollSchedule::next_poll`] next. While a list is read, call it once the last page has
    /// arrived.
    pub fn next_at(&self) -> Nanos {
        let due = if self.reading_list { self.free } else { self.list.min(self.workers) };
        due.max(self.free)
    }
}
