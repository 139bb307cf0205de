//! Limits starts and stops to the platform's rate.

use crate::{MS, Nanos};

/// The bucket's capacity, as a share of the calls of one second. The refill rate is the rest, so that no
/// second has more calls than the platform allows.
const BURST: f64 = 0.25;

/// A token bucket; each call to the platform takes one token.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    burst: f64,
    per_ns: f64,
    tokens: f64,
    /// When `tokens` was last brought up to date.
    at: Nanos,
}

impl RateLimiter {
    pub(crate) fn new(per_s: f64, now: Nanos) -> Self {
        let burst = (per_s * BURST).max(1.0);
        let per_ns = (per_s - burst).max(per_s * 0.5).max(0.1) / 1e9;
        Self { burst, per_ns, tokens: burst, at: now }
    }

    /// Takes one token. Returns false if there is none.
    pub(crate) fn try_acquire(&mut self, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed as f64 * self.per_ns).min(self.burst);
        let any = self.tokens >= 1.0;
        if any {
            self.tokens -= 1.0;
        }
        any
    }

    /// Drops all tokens, after the platform has answered 429.
    pub(crate) fn clear(&mut self, now: Nanos) {
        self.at = self.at.max(now);
        self.tokens = 0.0;
    }

    /// The time at which the next token is available.
    pub(crate) fn next_at(&self) -> Nanos {
        self.at + (((1.0 - self.tokens).max(0.0) / self.per_ns) as Nanos).max(MS)
    }
}
