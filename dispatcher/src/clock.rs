//! The monotonic clock of the decision module and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use millpost::api::Nanos;
use millpost_core::Moment;
use tokio::time::Instant;

/// The clock of the decision module, which never goes back. It starts at the wall-clock time of the process
/// start, or at the latest time in the store if that is later: the wall clock may have been set back between
/// two starts.
pub struct Clock {
    start: Instant,
    origin: Nanos,
}

/// The wall-clock time, in nanoseconds since the Unix epoch.
pub fn wall_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos)
}

impl Clock {
    /// A clock that starts no earlier than `latest`.
    pub fn new(latest: Nanos) -> Self {
        Clock { start: Instant::now(), origin: wall_now().max(latest) }
    }

    /// Continues the clock of another process, which read `now` when the wall clock read `wall`.
    pub fn continued_from(now: Nanos, wall: Nanos) -> Self {
        Clock { start: Instant::now(), origin: now.saturating_add(wall_now().saturating_sub(wall)) }
    }

    /// The current time by both clocks; the wall time is never less than the monotonic time.
    pub fn moment(&self) -> Moment {
        let now = self.origin + self.start.elapsed().as_nanos() as Nanos;
        Moment { now, wall: wall_now().max(now) }
    }

    /// Converts a time of this clock to a tokio instant.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.origin))
    }
}
