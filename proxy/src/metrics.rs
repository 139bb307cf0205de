//! Counters and metrics of a proxy, and log lines about permits and open requests.
//!
//! For observation only: no decision depends on them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use hyper::StatusCode;
use millpost_net::metrics::Metrics;
use millpost_scheduler::{Coordinator, Counts, MS, Nanos, Outcome, ShutdownPhase};

/// Maximum number of open requests that are logged individually at shutdown.
const MAX_LOGGED_REQUESTS: usize = 20;
/// Minimum interval between log lines about requests rejected by instances, in nanoseconds.
const REJECTION_LOG_INTERVAL: Nanos = 1_000 * MS;

/// Counts since the start of the process.
#[derive(Default)]
pub struct Counters {
    /// Requests that were received completely.
    received: Cell<u64>,
    /// Answers to clients by status.
    answers: RefCell<BTreeMap<u16, u64>>,
    /// Attempts by outcome.
    attempts: RefCell<BTreeMap<&'static str, u64>>,
    /// Counts at the last log line.
    logged: RefCell<Counts>,
    rejections_logged_at: Cell<Nanos>,
}

impl Counters {
    /// Counts a request that was received completely.
    pub fn request_received(&self) {
        self.received.set(self.received.get() + 1);
    }

    /// Counts an answer to a client.
    pub fn answered(&self, status: StatusCode) {
        *self.answers.borrow_mut().entry(status.as_u16()).or_default() += 1;
    }

    /// Counts a finished attempt.
    pub fn attempted(&self, outcome: Outcome) {
        *self.attempts.borrow_mut().entry(outcome.as_str()).or_default() += 1;
    }

    /// Logs changes of the permit counts since the last line, for each new membership view and when instances
    /// reject requests.
    pub fn log_permits(&self, now: Nanos, coordinator: &Coordinator) {
        let (counts, mut logged) = (coordinator.scheduler().counts(), self.logged.borrow_mut());
        if counts.views_applied > logged.views_applied {
            log::info!(
                "membership view {:?}: {} permits freed, {} handed over, {} taken over, {} reported by \
                 holders, {} messages without an address",
                coordinator.owners().version(),
                counts.freed - logged.freed,
                counts.handed_over - logged.handed_over,
                counts.taken_over - logged.taken_over,
                counts.held - logged.held,
                counts.unaddressed - logged.unaddressed,
            );
            *logged = Counts { refused_as_full: logged.refused_as_full, ..counts.clone() };
        }
        let full = counts.refused_as_full - logged.refused_as_full;
        if full > 0
            && now >= self.rejections_logged_at.get() + REJECTION_LOG_INTERVAL
            && let Some((instance, out)) = &counts.last_full
        {
            log::warn!(
                "instances rejected {full} requests as full; last: {instance}, with {out} other permits \
                 granted"
            );
            logged.refused_as_full = counts.refused_as_full;
            self.rejections_logged_at.set(now);
        }
    }

    /// Logs the requests that are still open at shutdown.
    pub fn log_open_requests(&self, now: Nanos, coordinator: &Coordinator) {
        let open = coordinator.open_request_count();
        if open == 0 {
            return;
        }
        log::warn!("{open} requests still open at shutdown");
        for request in coordinator.open_requests().take(MAX_LOGGED_REQUESTS) {
            log::warn!(
                "open request: function {}, owner {}, {}, {} ms to its deadline",
                request.service,
                request.owner.unwrap_or("nobody"),
                request.instance.map_or("waiting for a permit".to_owned(), |i| format!("sent to {i}")),
                request.deadline.saturating_sub(now) / MS,
            );
        }
    }

    /// Returns the current metrics.
    pub fn metrics(
        &self,
        now: Nanos,
        coordinator: &Coordinator,
        phase: ShutdownPhase,
        ready: bool,
        config_revision: u64,
    ) -> Metrics {
        let mut metrics = Metrics::default();
        let counts = coordinator.scheduler().counts();
        let waiting = coordinator.open_requests().filter(|request| request.instance.is_none()).count();
        let (fence, count) = coordinator.owners().version();
        let queued: usize = coordinator.scheduler().queues().map(|(_, waiting)| waiting).sum();
        metrics.put("proxy_uptime_seconds", now / (1_000 * MS));
        metrics.put("proxy_phase", phase as u8);
        metrics.put("proxy_ready", u8::from(ready));
        metrics.put("proxy_config_revision", config_revision);
        metrics.put("proxy_view_fence", fence);
        metrics.put("proxy_view_count", count);
        metrics.put("proxy_view_members", coordinator.owners().len());
        metrics.put("proxy_requests_total", self.received.get());
        for (status, count) in &*self.answers.borrow() {
            metrics.put_labelled("proxy_answers_total", "status", &status.to_string(), count);
        }
        for (outcome, count) in &*self.attempts.borrow() {
            metrics.put_labelled("proxy_tries_total", "outcome", outcome, count);
        }
        metrics.put("proxy_requests_waiting", waiting);
        metrics.put("proxy_requests_sent", coordinator.open_request_count() - waiting);
        metrics.put("owner_permits_out", coordinator.scheduler().permits().count());
        metrics.put("owner_requests_queued", queued);
        metrics.put("owner_permits_freed_total", counts.freed);
        metrics.put("owner_permits_handed_over_total", counts.handed_over);
        metrics.put("owner_permits_taken_over_total", counts.taken_over);
        metrics.put("owner_permits_held_total", counts.held);
        metrics.put("owner_refused_as_full_total", counts.refused_as_full);
        metrics.put("owner_unaddressed_total", counts.unaddressed);
        metrics
    }
}
