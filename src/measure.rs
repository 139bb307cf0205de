//! Arithmetic for decisions: token buckets, and an ordering of messages. No decisions are made here.

use crate::api::Nanos;

const SECOND: f64 = 1e9;

/// A token bucket.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Bucket {
    pub tokens: f64,
    pub at: Nanos,
}

impl Bucket {
    /// Refills at `rate` tokens a second up to `most`; returns when a whole token is available.
    pub fn ready_at(&mut self, now: Nanos, rate: f64, most: f64) -> Nanos {
        let gained = now.saturating_sub(self.at) as f64 / SECOND * rate;
        (self.tokens, self.at) = ((self.tokens + gained).min(most), now.max(self.at));
        let missing = (1.0 - self.tokens) / rate * SECOND;
        if self.tokens < 1.0 { now.saturating_add(1).saturating_add(missing as Nanos) } else { now }
    }
}

/// Sort key of a waiting message: a number, then a time; the smallest is sent first.
#[derive(Clone, Copy)]
pub(crate) struct Rank(pub (f64, Nanos));

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.0.total_cmp(&other.0.0).then(self.0.1.cmp(&other.0.1))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_refills_up_to_its_size_and_returns_when_a_token_is_available() {
        let mut bucket = Bucket { tokens: 0.0, at: 1_000_000_000 };
        assert_eq!(bucket.ready_at(1_000_000_000, 0.5, 2.0), 3_000_000_001);
        assert_eq!(bucket.ready_at(3_500_000_000, 0.5, 2.0), 3_500_000_000);
        bucket.tokens -= 1.0;
        assert!((bucket.tokens - 0.25).abs() < 1e-9);
        assert_eq!(bucket.ready_at(60_000_000_000, 0.5, 2.0), 60_000_000_000);
        assert!((bucket.tokens - 2.0).abs() < 1e-9, "not above its size");
        // A clock that goes back neither removes nor adds tokens.
        bucket.ready_at(0, 0.5, 2.0);
        assert!((bucket.tokens - 2.0).abs() < 1e-9 && bucket.at == 60_000_000_000);
    }

    #[test]
    fn ranks_are_ordered_by_number_then_by_time() {
        let mut ranks = [Rank((1.0, 0)), Rank((-2.0, 9)), Rank((-2.0, 3))];
        ranks.sort();
        assert_eq!(ranks.map(|rank| rank.0.1), [3, 9, 0]);
    }
}
