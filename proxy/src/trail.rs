//! The trail of a request, for whoever records: its steps with the very times that its passage hears. Costs nothing where nobody does.
//!
//! Invariant: a request that was begun and not answered is told to have been left, also where its client leaves in the midst of it.

use millpost_scheduler::{Nanos, RequestInfo, TraceEvent};

use crate::shop::Shop;

/// A request that is followed.
pub struct Follow<'a> {
    shop: &'a Shop,
    /// Its number; none where nothing is recorded, and after its end.
    p: Option<u64>,
}

impl<'a> Follow<'a> {
    /// It was read.
    pub fn begin(shop: &'a Shop, attempt: &[u8], route: &str, wish: &RequestInfo) -> Self {
        let p = shop.follow();
        if let Some(p) = p {
            let attempt = millpost_scheduler::trace::attempt_id(attempt);
            let begun = TraceEvent::Received { p, attempt, route: route.into(), info: wish.clone() };
            shop.trail(shop.now(), &begun);
        }
        Follow { shop, p }
    }

    /// Its number.
    pub fn number(&self) -> Option<u64> {
        self.p
    }

    /// A step, at this time.
    pub fn step(&self, now: Nanos, step: impl FnOnce(u64) -> TraceEvent) {
        if let Some(p) = self.p {
            self.shop.trail(now, &step(p));
        }
    }

    /// It was answered.
    pub fn over(&mut self) {
        self.p = None;
    }
}

impl Drop for Follow<'_> {
    fn drop(&mut self) {
        self.step(self.shop.now(), |p| TraceEvent::ClientLeft { p });
    }
}
