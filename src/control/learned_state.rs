//! Encodes what was learned about destinations as bytes that outlive the process (interface: src/api.rs).
//! They are opaque to the caller, and their times are relative to the time of writing. `learnt` decides what
//! is too old to use.

use super::*;
use crate::codec::{Reader, Writer};

const VERSION: u8 = 1;

/// Whether a changed state still has to be handed to the caller, and how soon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub(super) enum Pending {
    #[default]
    None,
    /// To be stored at some time.
    Deferred,
    /// A requested wait, a failure or a recovery: to be stored at once, or a restart would lose it.
    Urgent,
}

/// What was learned about a destination, or about one of its routes where the routes are independent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedState {
    /// The destination.
    pub dest: DestId,
    /// The endpoint, where the state is that of a route.
    pub route: Option<EndpointId>,
    /// Encoded state for [`Control::restore_learned`] of this version of the library or a later one.
    pub bytes: Vec<u8>,
}

impl Target {
    fn write(&self, now: Nanos) -> Vec<u8> {
        let mut to = Writer(vec![VERSION, u8::from(self.unanswered), u8::from(self.rejecting)], now);
        for at in [
            self.wait_until,
            self.success_at,
            self.outage_since,
            self.avg_delay_at,
            self.min_latency_since,
            self.accepted_since,
        ] {
            to.time(at);
        }
        [self.failure_at, self.failing_since, self.recovered_at]
            .into_iter()
            .for_each(|at| to.optional_time(at));
        self.min_latencies.iter().for_each(|latency| to.number(latency.unwrap_or(0)));
        for count in [self.failure_run as u64, self.failed_trials.into(), self.accepted.into()] {
            to.number(count);
        }
        for x in [self.failure_rate, self.avg_delay, self.mean_latency, self.latency_dev] {
            to.float(x);
        }
        for x in [self.pace, self.limit, self.share_left, self.avg_share_left] {
            to.float(x);
        }
        for bucket in [self.cold_budget, self.pace_bucket] {
            to.float(bucket.tokens.max(0.0));
            to.time(bucket.at);
        }
        to.0
    }

    /// Decodes a state that was written at `then`; `None` if it is malformed or of another version.
    pub(super) fn read(bytes: &[u8], then: Nanos) -> Option<Target> {
        let mut from = Reader(bytes, then);
        let [version, unanswered, rejecting] = from.take()?;
        if version != VERSION {
            return None;
        }
        let mut target = Target { unanswered: unanswered > 0, rejecting: rejecting > 0, ..Target::default() };
        (target.wait_until, target.success_at, target.outage_since) =
            (from.time()?, from.time()?, from.time()?);
        (target.avg_delay_at, target.min_latency_since, target.accepted_since) =
            (from.time()?, from.time()?, from.time()?);
        (target.failure_at, target.failing_since, target.recovered_at) =
            (from.optional_time()?, from.optional_time()?, from.optional_time()?);
        target.min_latencies =
            [from.number()?, from.number()?].map(|latency| (latency > 0).then_some(latency));
        target.failure_run = usize::try_from(from.number()?).ok()?;
        target.failed_trials = u32::try_from(from.number()?).ok()?;
        target.accepted = u32::try_from(from.number()?).ok()?;
        (target.failure_rate, target.avg_delay) = (from.float()?.min(1.0), from.float()?);
        (target.mean_latency, target.latency_dev) = (from.float()?, from.float()?);
        (target.pace, target.limit) = (from.float()?, from.float()?);
        (target.share_left, target.avg_share_left) = (from.float()?, from.float()?);
        for bucket in [&mut target.cold_budget, &mut target.pace_bucket] {
            *bucket = Bucket { tokens: from.float()?.min(1.0), at: from.time()? };
        }
        Some(target)
    }
}

impl Control {
    /// Returns the states that changed since the last call: all, or only those that must be stored at once.
    pub fn take_learned(&mut self, now: Nanos, urgent_only: bool) -> Vec<LearnedState> {
        let least = if urgent_only { Pending::Urgent } else { Pending::Deferred };
        let targets = &mut self.targets;
        let mut states = Vec::new();
        self.pending.retain(|id, pending| {
            if *pending >= least {
                let target = targets.get(id).map(|target| target.write(now));
                states.extend(target.map(|bytes| LearnedState { dest: id.0, route: id.1, bytes }));
            }
            *pending < least
        });
        self.urgent = false;
        states
    }

    /// Whether a state has changed that must be stored at once.
    pub fn has_urgent_state(&self) -> bool {
        self.urgent
    }

    /// Moves a target's own change mark to the changes that [`Self::take_learned`] returns.
    pub(super) fn collect_pending(&mut self, id: TargetId) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        let pending = std::mem::take(&mut target.pending);
        if pending > Pending::None {
            self.urgent |= pending == Pending::Urgent;
            let entry = self.pending.entry(id).or_default();
            *entry = pending.max(*entry);
        }
    }
}
