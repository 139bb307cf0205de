//! Shutdown on SIGTERM, in timed phases.

use std::time::Duration;

use millpost_scheduler::ShutdownPhase;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::errors::{Error, SignalsSnafu};

/// Returns the current phase, which advances by schedule once SIGTERM arrives; further signals are ignored.
///
/// SIGHUP signals that the settings file has changed. It only causes a log line: no setting that the proxy
/// uses can change while it runs, and the agent applies changes of the seed nodes.
pub fn phases(grace: Duration) -> Result<watch::Receiver<ShutdownPhase>, Error> {
    let (sender, phases) = watch::channel(ShutdownPhase::Serving);
    let mut term = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hang_up.recv() => log::info!("settings file changed; the proxy keeps its settings"),
            }
        }
        let started = Instant::now();
        log::info!("leaving");
        for (phase, after) in ShutdownPhase::schedule(grace.as_nanos() as u64) {
            sleep_until(started + Duration::from_nanos(after)).await;
            let _ = sender.send(phase);
        }
    });
    Ok(phases)
}
