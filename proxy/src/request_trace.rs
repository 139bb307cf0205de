//! Trace of a client request for the recording: its steps, with exactly the times that are passed to its
//! [`RequestFlow`](millpost_scheduler::RequestFlow). Does nothing while recording is off.
//!
//! Invariant: a request that is dropped without an answer is recorded as left by its client.

use millpost_scheduler::{Nanos, RequestInfo, TraceEvent};

use crate::proxy::Proxy;

/// The trace of one request.
pub struct RequestTrace<'a> {
    proxy: &'a Proxy,
    /// Number of the request; `None` while recording is off, and after the request has ended.
    p: Option<u64>,
}

impl<'a> RequestTrace<'a> {
    /// Records that a request was received.
    pub fn begin(proxy: &'a Proxy, attempt: &[u8], route: &str, info: &RequestInfo) -> Self {
        let p = proxy.next_trace_number();
        if let Some(p) = p {
            let attempt = millpost_scheduler::trace::attempt_id(attempt);
            let begun = TraceEvent::Received { p, attempt, route: route.into(), info: info.clone() };
            proxy.record_event(proxy.now(), &begun);
        }
        RequestTrace { proxy, p }
    }

    /// Returns the number of the request, if it is recorded.
    pub fn number(&self) -> Option<u64> {
        self.p
    }

    /// Records a step at the given time.
    pub fn step(&self, now: Nanos, step: impl FnOnce(u64) -> TraceEvent) {
        if let Some(p) = self.p {
            self.proxy.record_event(now, &step(p));
        }
    }

    /// Ends the trace after the request was answered.
    pub fn finish(&mut self) {
        self.p = None;
    }
}

impl Drop for RequestTrace<'_> {
    fn drop(&mut self) {
        self.step(self.proxy.now(), |p| TraceEvent::ClientLeft { p });
    }
}
