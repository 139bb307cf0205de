//! Whether this stall rests: operators have taken it out for a while. It is not ready then, and every answer closes its connection; all
//! else goes on. No clock: times are handed in. Invariant: a rest ends by itself, whether control is heard or not.

use std::cell::Cell;

use millpost_scheduler::{MS, Nanos};

/// The longest rest, whatever control says.
const LONGEST: f64 = 24.0 * 3_600_000.0;

/// Until when it rests.
#[derive(Debug, Default)]
pub struct Rest(Cell<Nanos>);

impl Rest {
    /// Control says for how many milliseconds; 0: no more. Whether that begins a rest, or ends one.
    pub fn told(&self, now: Nanos, left: f64) -> bool {
        let before = self.is_on(now);
        let lasts = if left.is_finite() { left.clamp(0.0, LONGEST) } else { 0.0 };
        self.0.set(now.saturating_add((lasts * MS as f64) as Nanos));
        before != self.is_on(now)
    }

    /// Whether it rests.
    pub fn is_on(&self, now: Nanos) -> bool {
        self.0.get() > now
    }

    /// For how many milliseconds more, where it rests.
    pub fn left(&self, now: Nanos) -> Option<f64> {
        self.is_on(now).then(|| (self.0.get() - now) as f64 / MS as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rest_ends_by_its_time_or_by_word_of_control() {
        let rest = Rest::default();
        assert!(!rest.is_on(0) && rest.left(0).is_none());
        assert!(rest.told(MS, 2_000.0) && !rest.told(2 * MS, 2_000.0));
        assert_eq!(rest.left(1_002 * MS), Some(1_000.0));
        assert!(rest.is_on(2_001 * MS) && !rest.is_on(2_002 * MS));
        assert!(rest.told(3_000 * MS, 1e300) && rest.left(3_000 * MS) == Some(LONGEST));
        assert!(rest.told(3_001 * MS, 0.0) && !rest.is_on(3_001 * MS));
        assert!(!rest.told(3_001 * MS, f64::NAN) && !rest.is_on(3_001 * MS));
    }
}
