//! Views of the decision state for exploration and checks, and its serialization. No decisions are made here.

use std::fmt;

use serde::{Deserialize, Serialize, Serializer};

use super::*;

impl Control {
    pub(crate) fn rng(&mut self) -> &mut RandomSource {
        &mut self.rng
    }

    /// Number of calls in flight; each takes a slot.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether other endpoints are preferred to this one now: it is not ready, has failed recently, asked for
    /// a wait, or its destination may be down.
    pub fn avoids(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&endpoint) else { return true };
        let failed_recently = e.failures > 0 && now < doubled_time(e.failure_at, self.t1, e.failures.min(6));
        let closed = self.targets.get(&e.target);
        let closed = closed.is_some_and(|t| t.wait_until > now || t.is_suspect(now, &self.settings.rules));
        !e.ready || failed_recently || closed
    }

    /// The calls a second that a destination accepts from all dispatchers, 0 if unknown, and the number of
    /// messages that wait for it.
    pub fn demand(&self, dest: DestId) -> (f64, usize) {
        let limit = self.targets.get(&(dest, None)).map_or(0.0, |target| target.capacity(&self.settings));
        (limit, self.schedule.ready_for(dest).count())
    }

    /// Destinations with messages that have no final answer.
    pub fn destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        self.schedule.destinations()
    }

    /// Calls in flight to an endpoint; 0 if the endpoint is unknown.
    pub fn calls_to(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |e| e.calls)
    }
}

/// Passes a tuple of all state that decisions depend on, apart from the settings, to `$use`. Controls with
/// the same settings and the same serialized tuple make the same decisions.
macro_rules! snapshot_fields {
    ($control:expr, $use:expr) => {{
        let c = $control;
        let messages = (&c.messages, &c.schedule, &c.keys, &c.key_rests, &c.calls, c.next_call);
        let destinations = ((&c.targets, &c.busy, &c.unlisted), (&c.endpoints, &c.leaving, &c.by_dest));
        let times = (c.subscribe_at, c.subscribe_failures, c.wake_at, c.stops_at, c.earlier_attempts_until);
        $use(&(&c.rng, messages, destinations, times, &c.pending, c.urgent))
    }};
}

type Messages =
    (BTreeMap<MsgId, Message>, Schedule, BTreeMap<u64, KeyQueue>, Timers<u64>, BTreeMap<u64, usize>, u64);
type Endpoints = (BTreeMap<EndpointId, Endpoint>, BTreeSet<EndpointId>, BTreeSet<(DestId, EndpointId)>);
type Targets = (BTreeMap<TargetId, Target>, BTreeSet<TargetId>, BTreeSet<TargetId>);
type Times = (Nanos, u32, Nanos, Nanos, Nanos);

/// A deserialized [`Control`], without its settings.
#[derive(Deserialize)]
pub struct ControlSnapshot(
    RandomSource,
    Messages,
    (Targets, Endpoints),
    Times,
    BTreeMap<TargetId, Pending>,
    bool,
);

impl Control {
    /// Continues from a snapshot taken in another process. That process's end time does not apply here, and
    /// neither do shared rates and peer reports: a process that shares receives them anew before its first
    /// decision.
    pub fn from_snapshot(settings: Arc<Settings>, snapshot: ControlSnapshot) -> Self {
        let ControlSnapshot(rng, messages, (targets, endpoints), times, pending, urgent) = snapshot;
        let (messages, mut schedule, keys, key_rests, calls, next_call) = messages;
        let ((mut targets, busy, unlisted), (mut endpoints, leaving, by_dest)) = (targets, endpoints);
        for ((dest, _), target) in targets.iter_mut().filter(|(_, target)| target.rate_share.is_some()) {
            target.rate_share = None;
            schedule.unpark(*dest);
        }
        endpoints.values_mut().for_each(|endpoint| endpoint.peer_report = (0, false));
        let (subscribe_at, subscribe_failures, wake_at, _, earlier_attempts_until) = times;
        let (t1, settings, stops_at) = (t1(&settings), settings, NEVER);
        Control {
            settings,
            rng,
            t1,
            messages,
            schedule,
            keys,
            key_rests,
            targets,
            busy,
            unlisted,
            endpoints,
            leaving,
            by_dest,
            calls,
            next_call,
            subscribe_at,
            subscribe_failures,
            wake_at,
            pending,
            urgent,
            stops_at,
            earlier_attempts_until,
        }
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        snapshot_fields!(self, |all: &dyn fmt::Debug| all.fmt(f))
    }
}

impl Serialize for Control {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        snapshot_fields!(self, |all| Serialize::serialize(all, to))
    }
}

impl Control {
    /// Resets fields that are not read before they are next written, provided that no load reports arrive.
    /// Controls that differ only in these fields make the same decisions from here on. Lets exploration merge
    /// equal states.
    ///
    /// - The pace and the send rate are read only once a limit was reported.
    /// - The cold budget is read while a destination is suspect or cold; otherwise, without a failure in
    ///   progress, the next failure or recovery sets it.
    /// - Times of calls in flight are read while there are any, the time of a failure while it counts.
    /// - An averaged delay that has decayed to zero stays there until the next sample.
    /// - Whether a safe message may have run is not read.
    pub fn reset_unread(&mut self, now: Nanos) {
        for target in self.targets.values_mut().filter(|target| target.limit <= 0.0 && target.pace <= 0.0) {
            (target.send_rate, target.pace_bucket, target.pace_reduced_at) = (0.0, Bucket::default(), 0);
            if target.calls == 0 {
                (target.last_sent_at, target.quiet_since) = (0, 0);
            }
            let cold = target.is_cold(now, &self.settings.rules);
            if !cold {
                target.recovered_at = None;
            }
            if target.failing_since.is_none() && !cold {
                (target.outage_since, target.cold_budget) = (0, Bucket::default());
            }
            if target.decayed_delay(now) == 0.0 {
                (target.avg_delay, target.avg_delay_at) = (0.0, 0);
            }
            target.wait_until = if target.wait_until > now { target.wait_until } else { 0 };
        }
        for e in self.endpoints.values_mut().filter(|e| e.failures == 0) {
            e.failure_at = 0;
        }
        for m in self.messages.values_mut() {
            if self.settings.classes[m.class].effect == Effect::Safe {
                m.may_have_run = None;
            }
        }
    }

    /// Renumbers the calls in flight from 0 on, in their order. Call numbers are only compared, so later
    /// decisions are the same.
    pub fn renumber(&mut self) {
        let in_flight: Vec<u64> = self.calls.keys().copied().collect();
        let last_calls: BTreeSet<u64> = self.targets.values().map(|target| target.last_call).collect();
        // Targets may refer to calls that have ended: both are renumbered together to keep their order.
        let all: BTreeSet<u64> = last_calls.into_iter().chain(in_flight).collect();
        let new: BTreeMap<u64, u64> = all.into_iter().zip(0..).collect();
        for message in self.messages.values_mut() {
            message.out.iter_mut().for_each(|out| out.call = new[&out.call]);
        }
        self.targets.values_mut().for_each(|target| target.last_call = new[&target.last_call]);
        self.calls = std::mem::take(&mut self.calls).into_iter().map(|(call, n)| (new[&call], n)).collect();
        self.next_call = new.len() as u64;
    }
}
