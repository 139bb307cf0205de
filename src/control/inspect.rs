//! What those who explore or check the module may see of it. Nothing is decided here.

use std::fmt;

use serde::{Deserialize, Serialize, Serializer};

use super::*;

impl Control {
    pub(crate) fn dice(&mut self) -> &mut RandomSource {
        &mut self.rng
    }

    /// Calls that the module takes to be out, each of which holds a slot.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Nothing goes to this endpoint now if there is another choice: it takes nothing new, it failed of late, a wait
    /// was told, or its destination is in trouble.
    pub fn avoids(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&endpoint) else { return true };
        let shunned = e.fails > 0 && now < doubled_time(e.fail_at, self.t1, e.fails.min(6));
        let closed = self.lanes.get(&e.lane);
        let closed = closed.is_some_and(|l| l.wait_until > now || l.in_trouble(now, &self.set.rules));
        !e.ready || shunned || closed
    }

    /// What a destination takes a second from all dispatchers, as far as it or the list tells, and the messages that
    /// wait for a call to it.
    pub fn demand(&self, dest: DestId) -> (f64, usize) {
        let limit = self.lanes.get(&(dest, None)).map_or(0.0, |lane| lane.capacity(&self.set));
        (limit, self.agenda.ready_for(dest).count())
    }

    /// Destinations that have a message without a final answer.
    pub fn destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        self.agenda.destinations()
    }

    /// Calls that the module takes to be out by endpoint, those that it has forgotten left out.
    pub fn calls_to(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |e| e.calls)
    }
}

/// All that its decisions hang on but for the settings, to the last bit of each number: two modules of the same
/// settings that are written alike decide alike.
macro_rules! told {
    ($control:expr, $tell:expr) => {{
        let c = $control;
        let messages = (&c.msgs, &c.agenda, &c.keys, &c.rests, &c.calls, c.next_call);
        let destinations = ((&c.lanes, &c.busy, &c.unlisted), (&c.endpoints, &c.leaving, &c.by_dest));
        let times = (c.subscribe_at, c.subscribe_fails, c.wake_at, c.stops_at, c.unsure_until);
        $tell(&(&c.rng, messages, destinations, times, &c.news, c.grave))
    }};
}

type Messages =
    (BTreeMap<MsgId, Msg>, Agenda, BTreeMap<u64, KeyLine>, Timers<u64>, BTreeMap<u64, usize>, u64);
type Endpoints = (BTreeMap<EndpointId, Endpoint>, BTreeSet<EndpointId>, BTreeSet<(DestId, EndpointId)>);
type Lanes = (BTreeMap<LaneId, Lane>, BTreeSet<LaneId>, BTreeSet<LaneId>);
type Times = (Nanos, u32, Nanos, Nanos, Nanos);

/// A module as it was written, without its settings.
#[derive(Deserialize)]
pub struct ControlSnapshot(RandomSource, Messages, (Lanes, Endpoints), Times, BTreeMap<LaneId, News>, bool);

impl Control {
    /// Goes on where the module that was written stopped. The process that goes on does not end. What dispatchers share is
    /// not passed on: a process that shares something is told anew before its first round.
    pub fn from_snapshot(settings: Arc<Settings>, frozen: ControlSnapshot) -> Self {
        let ControlSnapshot(rng, messages, (lanes, endpoints), times, news, grave) = frozen;
        let (msgs, mut agenda, keys, rests, calls, next_call) = messages;
        let ((mut lanes, busy, unlisted), (mut endpoints, leaving, by_dest)) = (lanes, endpoints);
        for ((dest, _), lane) in lanes.iter_mut().filter(|(_, lane)| lane.part.is_some()) {
            lane.part = None;
            agenda.unpark(*dest);
        }
        endpoints.values_mut().for_each(|endpoint| endpoint.hearsay = (0, false));
        let (subscribe_at, subscribe_fails, wake_at, _, unsure_until) = times;
        let (t1, set, stops_at) = (t1(&settings), settings, NEVER);
        Control {
            set,
            rng,
            t1,
            msgs,
            agenda,
            keys,
            rests,
            lanes,
            busy,
            unlisted,
            endpoints,
            leaving,
            by_dest,
            calls,
            next_call,
            subscribe_at,
            subscribe_fails,
            wake_at,
            news,
            grave,
            stops_at,
            unsure_until,
        }
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        told!(self, |all: &dyn fmt::Debug| all.fmt(f))
    }
}

impl Serialize for Control {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        told!(self, |all| Serialize::serialize(all, to))
    }
}

impl Control {
    /// Blanks what nothing reads before it is set anew, where no load report is ever heard: two modules that differ in
    /// this alone decide alike from here on. For telling states apart.
    ///
    /// - The pace and the own rate of calls are read only once a limit was reported.
    /// - A cold budget is read while a destination is in trouble or cold; where it is neither and no failure is under
    ///   way, the next failure or return sets it.
    /// - Times of calls out are read while there are any, the time of a failure while it counts.
    /// - An averaged delay that has drained to nothing stays there until a sample comes.
    /// - Whether a message that may be repeated freely has run is not asked.
    pub fn reset_unread(&mut self, now: Nanos) {
        for lane in self.lanes.values_mut().filter(|lane| lane.limit <= 0.0 && lane.pace <= 0.0) {
            (lane.sending, lane.paced, lane.eased_at) = (0.0, Bucket::default(), 0);
            if lane.calls == 0 {
                (lane.sent_at, lane.quiet_since) = (0, 0);
            }
            let cold = lane.cold(now, &self.set.rules);
            if !cold {
                lane.back_at = None;
            }
            if lane.bad_since.is_none() && !cold {
                (lane.out_from, lane.cold_budget) = (0, Bucket::default());
            }
            if lane.delay_now(now) == 0.0 {
                (lane.delay, lane.delay_at) = (0.0, 0);
            }
            lane.wait_until = if lane.wait_until > now { lane.wait_until } else { 0 };
        }
        for e in self.endpoints.values_mut().filter(|e| e.fails == 0) {
            e.fail_at = 0;
        }
        for m in self.msgs.values_mut() {
            if self.set.classes[m.class].effect == Effect::Safe {
                m.maybe = None;
            }
        }
    }

    /// Numbers the calls that are out anew, from 0 on in their order. They are told apart and compared, and nothing
    /// else is done with a call's number: what is decided afterwards is the same.
    pub fn renumber(&mut self) {
        let out: Vec<u64> = self.calls.keys().copied().collect();
        let turns: BTreeSet<u64> = self.lanes.values().map(|lane| lane.turn).collect();
        // The turns of lanes may be of calls that are over: both are numbered together, to keep their order.
        let all: BTreeSet<u64> = turns.into_iter().chain(out).collect();
        let new: BTreeMap<u64, u64> = all.into_iter().zip(0..).collect();
        for message in self.msgs.values_mut() {
            message.out.iter_mut().for_each(|out| out.call = new[&out.call]);
        }
        self.lanes.values_mut().for_each(|lane| lane.turn = new[&lane.turn]);
        self.calls = std::mem::take(&mut self.calls).into_iter().map(|(call, n)| (new[&call], n)).collect();
        self.next_call = new.len() as u64;
    }
}
