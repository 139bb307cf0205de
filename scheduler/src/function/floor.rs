//! Floors: what control keeps under a function's demand while a tenant moves, and how the function does meanwhile.
//!
//! Invariant: a floor holds until its time is over, whoever owns the function; only its owner goes by it.

use millpost_protocol::FunctionStatus;

use super::Scheduler;
use crate::service::Service;
use crate::{MS, Nanos};

/// While a floor holds, what is wanted is said this often, with how the function does.
const TELL: Nanos = 500 * MS;
/// What was refused counts for one to two of these.
const SPAN: Nanos = 1_000 * MS;

/// A floor under a function.
#[derive(Debug)]
pub(crate) struct Floor {
    fence: u64,
    count: u32,
    until: Nanos,
    /// The lowest mean delay that was told, in milliseconds.
    lowest: Option<f64>,
    /// Asks, and refusals, in this span and the one before.
    spans: [(u32, u32); 2],
    from: Nanos,
}

impl Floor {
    fn turn(&mut self, now: Nanos) {
        if now >= self.from + SPAN {
            let before = if now < self.from + 2 * SPAN { self.spans[0] } else { (0, 0) };
            (self.spans, self.from) = ([(0, 0), before], now);
        }
    }

    /// The function was asked for.
    pub fn asked(&mut self, now: Nanos) {
        self.turn(now);
        self.spans[0].0 = self.spans[0].0.saturating_add(1);
    }

    /// An ask was refused, or an instance has refused one.
    pub fn refused(&mut self, now: Nanos) {
        self.turn(now);
        self.spans[0].1 = self.spans[0].1.saturating_add(1);
    }

    /// What is wanted is to be said again, where that was said last then.
    pub fn tells(&self, now: Nanos, said: Nanos) -> bool {
        now >= said + TELL
    }

    fn does(&mut self, now: Nanos, delay: Option<f64>) -> FunctionStatus {
        self.turn(now);
        if let Some(delay) = delay {
            self.lowest = Some(self.lowest.map_or(delay, |lowest| lowest.min(delay)));
        }
        let sum = |of: fn(&(u32, u32)) -> u32| self.spans.iter().map(of).fold(0, u32::saturating_add);
        // Without any that works now there is nothing above the lowest.
        let lowest = self.lowest.unwrap_or(0.0);
        FunctionStatus { delay: delay.unwrap_or(lowest), lowest, asked: sum(|s| s.0), refused: sum(|s| s.1) }
    }
}

impl Service {
    /// So many instances at least, by the floor that holds; one that is over is gone.
    pub fn floor(&mut self, now: Nanos) -> u32 {
        let Some(function) = &mut self.function else { return 0 };
        if function.floor.as_ref().is_some_and(|floor| now >= floor.until) {
            function.floor = None;
        }
        function.floor.as_ref().map_or(0, |floor| floor.count)
    }

    /// What it was asked for is refused.
    pub fn refuses(&mut self, now: Nanos) {
        if let Some(floor) = self.function.as_mut().and_then(|f| f.floor.as_mut()) {
            floor.refused(now);
        }
    }

    /// How the function does, where that is asked for: the mean over the instances that have served here.
    pub fn does(&mut self, now: Nanos) -> Option<FunctionStatus> {
        self.function.as_ref()?.floor.as_ref()?;
        let served = self.places().iter().filter(|p| p.mine && p.open()).filter_map(|p| p.delay());
        let (sum, count) = served.fold((0.0, 0_u32), |(sum, count), delay| (sum + delay, count + 1));
        let mean = (count > 0).then(|| sum / f64::from(count) / MS as f64);
        Some(self.function.as_mut()?.floor.as_mut()?.does(now, mean))
    }
}

impl Scheduler {
    /// Control keeps a floor under a function until then, or none any more. A stall that does not own it holds the floor for the case
    /// that it will.
    pub fn set_floor(&mut self, now: Nanos, name: &str, count: u32, fence: u64, until: Nanos) {
        let Some(at) = self.names.get(name).copied() else { return };
        let Some(function) = &mut self.services[at].function else { return };
        if function.floor.as_ref().is_some_and(|floor| floor.fence > fence) {
            return;
        }
        match &mut function.floor {
            floor if count == 0 => *floor = None,
            Some(floor) => (floor.fence, floor.count, floor.until) = (fence, count, until),
            floor => {
                // It is told at once.
                function.said = None;
                let spans = [(0, 0); 2];
                *floor = Some(Floor { fence, count, until, lowest: None, spans, from: now });
            }
        }
        self.rouse(at);
        self.want(now, at);
    }
}
