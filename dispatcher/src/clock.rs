//! The two clocks that everything goes by.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use millpost::api::Nanos;
use millpost_core::Moment;
use tokio::time::Instant;

/// The module's clock: it never goes back. Its origin is the wall clock's at the start, or the latest time that
/// the store knows of, if that is later: the wall clock may have been set back between two starts.
pub struct Clock {
    start: Instant,
    origin: Nanos,
}

/// The wall clock, in nanoseconds since 1970.
pub fn wall_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos)
}

impl Clock {
    pub fn new(latest: Nanos) -> Self {
        Clock { start: Instant::now(), origin: wall_now().max(latest) }
    }
    /// The clock of another process that showed this, by both: it goes on from there.
    pub fn going_on(now: Nanos, wall: Nanos) -> Self {
        Clock { start: Instant::now(), origin: now.saturating_add(wall_now().saturating_sub(wall)) }
    }
    /// Both clocks; the wall clock's time is never set back below where it was.
    pub fn moment(&self) -> Moment {
        let now = self.origin + self.start.elapsed().as_nanos() as Nanos;
        Moment { now, wall: wall_now().max(now) }
    }
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.origin))
    }
}
