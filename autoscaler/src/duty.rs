//! Starts and stops under the platform's rate.

use crate::{MS, Nanos};

/// Tokens gathered while nothing is called, as a share of a second's; with the rest as the rate, no second has more calls
/// than are allowed.
const BURST: f64 = 0.25;

/// A bucket of calls that may be made.
#[derive(Debug)]
pub(crate) struct Duty {
    burst: f64,
    per_ns: f64,
    tokens: f64,
    at: Nanos,
}

impl Duty {
    pub(crate) fn new(per_s: f64, now: Nanos) -> Self {
        let burst = (per_s * BURST).max(1.0);
        let per_ns = (per_s - burst).max(per_s * 0.5).max(0.1) / 1e9;
        Self { burst, per_ns, tokens: burst, at: now }
    }

    /// Takes one call, if there is one.
    pub(crate) fn draw(&mut self, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed as f64 * self.per_ns).min(self.burst);
        let any = self.tokens >= 1.0;
        if any {
            self.tokens -= 1.0;
        }
        any
    }

    /// The platform has had enough.
    pub(crate) fn empty(&mut self, now: Nanos) {
        self.at = self.at.max(now);
        self.tokens = 0.0;
    }

    /// When there is one again.
    pub(crate) fn next(&self) -> Nanos {
        self.at + (((1.0 - self.tokens).max(0.0) / self.per_ns) as Nanos).max(MS)
    }
}
