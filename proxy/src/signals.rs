//! The end of the process: SIGTERM leads through the phases, by the clock.

use std::time::Duration;

use millpost_scheduler::ShutdownPhase;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::errors::{Error, SignalsSnafu};

/// Follows SIGTERM through the phases; a second one changes nothing. SIGHUP means that the settings file has changed: nothing in it that
/// a stall uses may change in its life, and the porter follows the seeds.
pub fn phases(grace: Duration) -> Result<watch::Receiver<ShutdownPhase>, Error> {
    let (told, phases) = watch::channel(ShutdownPhase::Serving);
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hang_up.recv() => log::info!("settings have changed; a stall goes on with its own"),
            }
        }
        let began = Instant::now();
        log::info!("leaving");
        for (phase, after) in ShutdownPhase::schedule(grace.as_nanos() as u64) {
            sleep_until(began + Duration::from_nanos(after)).await;
            let _ = told.send(phase);
        }
    });
    Ok(phases)
}
