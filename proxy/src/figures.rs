//! What a proxy tells of itself: counters that its parts keep, figures for monitoring, and the log's lines on permits.
//!
//! Nothing is decided by any of it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use hyper::StatusCode;
use millpost_net::metrics::Metrics;
use millpost_scheduler::{Coordinator, Counts, MS, Nanos, Outcome, ShutdownPhase};

/// Open requests that are told one by one when a process ends.
const TOLD_AT_THE_END: usize = 20;
/// Refusals of instances are told in the log no more often than this.
const TELL_FULL: Nanos = 1_000 * MS;

/// Counts since the start of the process.
#[derive(Default)]
pub struct Counters {
    /// Requests that were read whole.
    read: Cell<u64>,
    /// Answers to clients by status.
    answers: RefCell<BTreeMap<u16, u64>>,
    /// Tries by how they ended.
    tries: RefCell<BTreeMap<&'static str, u64>>,
    /// What was told in the log.
    told: RefCell<Counts>,
    told_full_at: Cell<Nanos>,
}

impl Counters {
    /// A request was read whole.
    pub fn read(&self) {
        self.read.set(self.read.get() + 1);
    }

    /// A client is answered.
    pub fn answered(&self, status: StatusCode) {
        *self.answers.borrow_mut().entry(status.as_u16()).or_default() += 1;
    }

    /// A try is over.
    pub fn tried(&self, outcome: Outcome) {
        *self.tries.borrow_mut().entry(outcome.as_str()).or_default() += 1;
    }

    /// Tells the log what became of permits since it was told last: with each naming, and where instances turn requests away.
    pub fn tell_permits(&self, now: Nanos, desk: &Coordinator) {
        let (counts, mut told) = (desk.scheduler().counts(), self.told.borrow_mut());
        if counts.views_applied > told.views_applied {
            log::info!(
                "naming {:?}: {} permits freed, {} handed over, {} taken over, {} told of by holders, {} notes without an address",
                desk.owners().version(),
                counts.freed - told.freed,
                counts.handed_over - told.handed_over,
                counts.taken_over - told.taken_over,
                counts.held - told.held,
                counts.unaddressed - told.unaddressed,
            );
            *told = Counts { refused_as_full: told.refused_as_full, ..counts.clone() };
        }
        let full = counts.refused_as_full - told.refused_as_full;
        if full > 0
            && now >= self.told_full_at.get() + TELL_FULL
            && let Some((instance, out)) = &counts.last_full
        {
            log::warn!(
                "instances turned {full} requests away as full; the last one {instance}, with {out} other permits out"
            );
            told.refused_as_full = counts.refused_as_full;
            self.told_full_at.set(now);
        }
    }

    /// Tells the log of the requests that are still open when the process ends.
    pub fn tell_open(&self, now: Nanos, desk: &Coordinator) {
        let open = desk.open_request_count();
        if open == 0 {
            return;
        }
        log::warn!("{open} requests are open at the end of the process");
        for ask in desk.open_requests().take(TOLD_AT_THE_END) {
            log::warn!(
                "open: for {}, with {}, {}, {} ms left",
                ask.service,
                ask.owner.unwrap_or("nobody"),
                ask.instance.map_or("waits for a permit".to_owned(), |i| format!("sent to {i}")),
                ask.deadline.saturating_sub(now) / MS,
            );
        }
    }

    /// All figures of this moment.
    pub fn figures(
        &self,
        now: Nanos,
        desk: &Coordinator,
        phase: ShutdownPhase,
        ready: bool,
        acted: u64,
    ) -> Metrics {
        let mut figures = Metrics::default();
        let counts = desk.scheduler().counts();
        let waiting = desk.open_requests().filter(|ask| ask.instance.is_none()).count();
        let (fence, count) = desk.owners().version();
        let queued: usize = desk.scheduler().queues().map(|(_, waiting)| waiting).sum();
        figures.put("proxy_uptime_seconds", now / (1_000 * MS));
        figures.put("proxy_phase", phase as u8);
        figures.put("proxy_ready", u8::from(ready));
        figures.put("proxy_config_revision", acted);
        figures.put("proxy_view_fence", fence);
        figures.put("proxy_view_count", count);
        figures.put("proxy_view_members", desk.owners().len());
        figures.put("proxy_requests_total", self.read.get());
        for (status, count) in &*self.answers.borrow() {
            figures.put_labelled("proxy_answers_total", "status", &status.to_string(), count);
        }
        for (outcome, count) in &*self.tries.borrow() {
            figures.put_labelled("proxy_tries_total", "outcome", outcome, count);
        }
        figures.put("proxy_requests_waiting", waiting);
        figures.put("proxy_requests_sent", desk.open_request_count() - waiting);
        figures.put("owner_permits_out", desk.scheduler().permits().count());
        figures.put("owner_requests_queued", queued);
        figures.put("owner_permits_freed_total", counts.freed);
        figures.put("owner_permits_handed_over_total", counts.handed_over);
        figures.put("owner_permits_taken_over_total", counts.taken_over);
        figures.put("owner_permits_held_total", counts.held);
        figures.put("owner_refused_as_full_total", counts.refused_as_full);
        figures.put("owner_unaddressed_total", counts.unaddressed);
        figures
    }
}
