//! Draining by an operator for a limited time. A drained proxy is not ready, and closes each connection with
//! its next answer; everything else continues.
//!
//! The module reads no clock: times are parameters. Invariant: a drain expires even if the controller is
//! unreachable.

use std::cell::Cell;

use millpost_scheduler::{MS, Nanos};

/// Maximum duration of a drain in milliseconds; longer ones are capped.
const MAX_MS: f64 = 24.0 * 3_600_000.0;

/// End of the current drain.
#[derive(Debug, Default)]
pub struct Drain(Cell<Nanos>);

impl Drain {
    /// Sets the remaining duration in milliseconds; 0 ends the drain. Returns whether the state changed.
    pub fn set(&self, now: Nanos, remaining_ms: f64) -> bool {
        let before = self.is_on(now);
        let duration = if remaining_ms.is_finite() { remaining_ms.clamp(0.0, MAX_MS) } else { 0.0 };
        self.0.set(now.saturating_add((duration * MS as f64) as Nanos));
        before != self.is_on(now)
    }

    /// Whether the proxy is drained.
    pub fn is_on(&self, now: Nanos) -> bool {
        self.0.get() > now
    }

    /// Remaining duration in milliseconds, if the proxy is drained.
    pub fn remaining_ms(&self, now: Nanos) -> Option<f64> {
        self.is_on(now).then(|| (self.0.get() - now) as f64 / MS as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_ends_when_it_expires_or_when_the_controller_ends_it() {
        let drain = Drain::default();
        assert!(!drain.is_on(0) && drain.remaining_ms(0).is_none());
        assert!(drain.set(MS, 2_000.0) && !drain.set(2 * MS, 2_000.0));
        assert_eq!(drain.remaining_ms(1_002 * MS), Some(1_000.0));
        assert!(drain.is_on(2_001 * MS) && !drain.is_on(2_002 * MS));
        assert!(drain.set(3_000 * MS, 1e300) && drain.remaining_ms(3_000 * MS) == Some(MAX_MS));
        assert!(drain.set(3_001 * MS, 0.0) && !drain.is_on(3_001 * MS));
        assert!(!drain.set(3_001 * MS, f64::NAN) && !drain.is_on(3_001 * MS));
    }
}
