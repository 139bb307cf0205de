//! All decisions of millpost. The interface (settings, events, actions) is in `src/api.rs`.
//!
//! One mechanism decides the ordinary path: retries follow a doubling schedule from `T1`, and each goes
//! only with probability p, which falls from 1 to 0 as the destination's averaged delay rises between 0.2
//! T1 and T1. Everything else is a guard that a send passes, or an extension whose comment says what it
//! answers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use rand_core::RngCore;

use crate::agenda::{Agenda, Timers};
use crate::api::*;
use crate::measure::{Bucket, Rank};
use crate::random::RandomSource;

mod inspect;
mod learnt;
mod lesson;
pub use inspect::ControlSnapshot;
pub use lesson::LearnedState;
use lesson::News;

/// Weight of a new sample in the averages (the paper's w_q).
const WEIGHT: f64 = 0.2;
/// Room kept under the budget of a destination that is, or may be, cold.
const COLD_ROOM: f64 = 0.8;
const SECOND: f64 = 1e9;
const NEVER: Nanos = Nanos::MAX;

/// The retry probability for an averaged delay above the floor (equation 21, thresholds over the service
/// rate).
pub fn retry_probability(delay: f64, t1: Nanos) -> f64 {
    let (min, max) = (0.2 * t1 as f64, t1 as f64);
    if max <= min {
        return if delay > max { 0.0 } else { 1.0 };
    }
    ((max - delay) / (max - min)).clamp(0.0, 1.0)
}

/// When the k-th try of a message falls due: T1, then doubled gaps, after the first.
pub fn doubled_time(first: Nanos, t1: Nanos, k: u32) -> Nanos {
    first.saturating_add(t1.saturating_mul((1u64 << k.min(40)) - 1))
}

/// A quarter of the shortest aim that new messages may have.
fn t1(settings: &Settings) -> Nanos {
    let aims = settings.classes.iter().filter(|c| !c.retired).map(|c| c.aim);
    (aims.min().unwrap_or(SECOND as Nanos) / 4).max(1)
}

/// A destination, or a route of one whose endpoints are routes apart.
type LaneId = (DestId, Option<EndpointId>);

#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
struct Lane {
    /// Lowest latency of the running and of the previous span.
    floors: [Option<Nanos>; 2],
    floor_from: Nanos,
    /// Averaged delay above the floor: decides p.
    delay: f64,
    delay_at: Nanos,
    /// Usual latency and its mean deviation; 0 until known.
    usual: f64,
    spread: f64,
    wait_until: Nanos,
    /// Calls out, when one last went, and since when nothing was heard of them.
    calls: usize,
    sent_at: Nanos,
    quiet_since: Nanos,
    /// Last success and last failure, share of failures of late, failed tries to get through.
    ok_at: Nanos,
    fail_at: Option<Nanos>,
    bad_since: Option<Nanos>,
    /// When the present or the last trouble began, whether its last failure was a silence or a broken
    /// connection, and the failed calls since the last success.
    out_from: Nanos,
    silent: bool,
    shut: bool,
    bad_calls: usize,
    failing: f64,
    knocks: u32,
    /// First success after an outage.
    back_at: Option<Nanos>,
    cold_budget: Bucket,
    /// Calls a second that the limit seems to leave to this dispatcher; 0 until known.
    pace: f64,
    sending: f64,
    paced: Bucket,
    eased_at: Nanos,
    /// Limit last reported, allowance left then, listed weight; own messages and since when.
    limit: f64,
    share_left: f64,
    left_of_late: f64,
    weight: f64,
    taken: u32,
    taken_from: Nanos,
    /// Part of its destination's messages that other routes have, as the weights of all are.
    elsewhere: f64,
    turn: u64,
    kind: usize,
    /// When an endpoint of it was last in the list.
    listed_at: Nanos,
    /// This dispatcher's part of what all may send together, and when borrowed parts last ended unnoticed.
    part: Option<RateShare>,
    parted: Bucket,
    part_over: Nanos,
    news: News,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct Endpoint {
    lane: LaneId,
    zone: usize,
    kind: usize,
    ready: bool,
    calls: usize,
    fails: u32,
    fail_at: Nanos,
    ok_at: Nanos,
    /// Until when others can't reach it, and whether it is to be avoided for that.
    hearsay: (Nanos, bool),
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
struct Out {
    endpoint: EndpointId,
    call: u64,
    sent: Nanos,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct Msg {
    class: usize,
    key: Option<u64>,
    dest: DestId,
    aim_at: Nanos,
    deadline: Nanos,
    attempts: u32,
    step: u32,
    first_sent: Nanos,
    /// Earliest time of the next attempt.
    due: Nanos,
    out: Option<Out>,
    /// Sending time and zone of the earliest attempt that may have run.
    maybe: Option<(Nanos, usize)>,
    /// The final answer is given; only the outcome is awaited.
    ended: bool,
}

#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
struct KeyLine {
    line: VecDeque<MsgId>,
    rest_until: Nanos,
}

/// The decisions of one dispatcher.
#[derive(Clone)]
pub struct Control {
    set: Arc<Settings>,
    rng: RandomSource,
    t1: Nanos,
    msgs: BTreeMap<MsgId, Msg>,
    /// What falls due when.
    agenda: Agenda,
    keys: BTreeMap<u64, KeyLine>,
    /// Keys that rest.
    rests: Timers<u64>,
    lanes: BTreeMap<LaneId, Lane>,
    /// Lanes that have calls out.
    busy: BTreeSet<LaneId>,
    /// Lanes without an endpoint in the list.
    unlisted: BTreeSet<LaneId>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that take nothing new.
    leaving: BTreeSet<EndpointId>,
    /// The endpoints of each destination.
    by_dest: BTreeSet<(DestId, EndpointId)>,
    /// Messages still without outcome in each call that is out.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    subscribe_at: Nanos,
    subscribe_fails: u32,
    wake_at: Nanos,
    /// What the lanes have learnt and nobody was given yet.
    news: BTreeMap<LaneId, News>,
    grave: bool,
    /// When the process ends, and until when attempts from before it may still run.
    stops_at: Nanos,
    unsure_until: Nanos,
}

impl Msg {
    /// The next attempt falls due at the first doubled time left to it from `from` on.
    fn wait_for_doubled_time(&mut self, from: Nanos, t1: Nanos) {
        while doubled_time(self.first_sent, t1, self.step) < from && self.step < 40 {
            self.step += 1;
        }
        self.due = doubled_time(self.first_sent, t1, self.step);
    }
}

impl Lane {
    fn floor(&self) -> Nanos {
        self.floors.iter().flatten().min().copied().unwrap_or(0)
    }
    /// A wide margin over the usual latency; `unknown` until there is one.
    fn margin(&self, unknown: Nanos, least: Nanos) -> Nanos {
        if self.usual == 0.0 { unknown } else { ((self.usual + 4.0 * self.spread) as Nanos).max(least) }
    }
    fn failed_last(&self) -> bool {
        self.fail_at.is_some_and(|at| at >= self.ok_at)
    }
    /// Failing for a while, with nothing getting through: it may be out, and may come back cold at any
    /// moment.
    fn in_trouble(&self, now: Nanos, rules: &Rules) -> bool {
        let lasting = self.bad_since.is_some_and(|since| now.saturating_sub(since) > rules.fall / 2);
        (lasting || self.shut) && (self.failed_last() && self.evident(self.calls) || self.was_out(rules))
    }
    /// One or two calls without an answer may be lost answers of a partner that works: no outage, and no
    /// slow return. Refusals and errors are its own word.
    fn evident(&self, out: usize) -> bool {
        !self.silent || self.bad_calls + out > 2
    }
    /// Failures alone, over a time that no passing excess over a limit explains, were an outage. One refusal
    /// before a pause in the traffic is none: it costs the next call a careful try, not a whole slow return.
    fn was_out(&self, rules: &Rules) -> bool {
        let span = self.fail_at.unwrap_or(0).saturating_sub(self.bad_since.unwrap_or(NEVER));
        span > rules.fall / 2 && (self.failing > 0.5 || self.failed_last()) && self.evident(0)
    }
    fn cold(&self, now: Nanos, rules: &Rules) -> bool {
        self.back_at.is_some_and(|at| now.saturating_sub(at) < rules.cold)
    }
    /// Calls a second that the destination takes from all dispatchers together; 0 if unknown.
    fn capacity(&self, set: &Settings) -> f64 {
        let sure = if set.weights == Weights::Rough { 1.5 } else { 1.0 };
        if self.limit > 0.0 { self.limit } else { self.weight / sure }
    }
    /// Calls a second that this dispatcher alone may send to a destination that is, or may be, cold: its
    /// part of the capacity, even, or as its own messages are of all, or (but where it is shut, and all are
    /// refused at once) as one call is of all since the trouble began. Even parts alone would starve the
    /// busy ones, and the few that hold messages for a small destination.
    fn cold_rate(&self, now: Nanos, set: &Settings) -> f64 {
        let rules = &set.rules;
        let own = f64::from(self.taken) * (1.0 - self.elsewhere) * SECOND
            / now.saturating_sub(self.taken_from).max(rules.cold).max(1) as f64;
        let few = if self.shut { 0.0 } else { SECOND }
            / now.saturating_sub(self.out_from).max(rules.fall / 2).max(1) as f64;
        let all = self.capacity(set);
        let alone =
            (all / set.dispatchers.max(1) as f64).max(own).max(if all > 0.0 { few.min(all) } else { few });
        let capacity = self.part.map_or(alone, |part| part.rate_at(now));
        let warm = match self.back_at {
            Some(at) if !self.in_trouble(now, rules) => {
                now.saturating_sub(at) as f64 / rules.cold.max(1) as f64
            }
            _ => 0.0,
        };
        let share = rules.cold_from + (1.0 - rules.cold_from) * warm.min(1.0);
        rules.fall_multiple * share * capacity * COLD_ROOM
    }
    /// Every send, and every probe, to this destination passes here. `None` if it may go, else when to ask
    /// again.
    fn closed_until(&mut self, now: Nanos, set: &Settings, t1: Nanos) -> Option<Nanos> {
        if self.wait_until > now {
            return Some(self.wait_until);
        }
        // The sum over all dispatchers is kept by each keeping to its part.
        if let Some(part) = self.part {
            let ready = self.parted.ready_at(now, part.rate_at(now), part.burst());
            if ready > now {
                return Some(ready);
            }
        }
        if self.pace > 0.0 {
            // As deep as what arrives in the rule's window varies, or as goes in a T1.
            let (window, gap) = (set.rules.fall as f64 / SECOND, t1 as f64 / SECOND);
            let burst = (self.pace * window).sqrt().max(self.pace * gap).max(1.0);
            let ready = self.paced.ready_at(now, self.pace, burst);
            if ready > now {
                return Some(ready);
            }
        }
        let trouble = self.in_trouble(now, &set.rules);
        if !trouble && !self.cold(now, &set.rules) {
            return None;
        }
        if trouble {
            let fail_at = self.fail_at.unwrap_or(0);
            if self.calls > 0 && self.sent_at > fail_at {
                return Some(NEVER);
            }
            let gap = t1.saturating_mul(1 << self.knocks.min(20)).min(set.rules.fall);
            if self.knocks > 0 && fail_at + gap > now {
                return Some(fail_at + gap);
            }
        }
        let rate = self.cold_rate(now, set);
        Some(self.cold_budget.ready_at(now, rate, 1.0)).filter(|ready| *ready > now)
    }
    /// The averaged delay by now: with nothing heard, a queue drains as fast as time passes. Guards against
    /// an average gone stale at a destination with rare samples, whose retries would wait for successes
    /// that never come.
    fn delay_now(&self, now: Nanos) -> f64 {
        (self.delay - now.saturating_sub(self.delay_at) as f64).max(0.0)
    }
    fn sample_delay(&mut self, now: Nanos, sample: f64) {
        let delay = self.delay_now(now);
        (self.delay, self.delay_at) = (delay + WEIGHT * (sample - delay), now);
    }
    /// First sends are paced under the destination's limit and held rather than dropped. The pace begins at
    /// an even part of the limit; a refusal as full eases it, from the own rate of calls or an even part at
    /// most, no further than half of one. Without a reported limit there is none: taken from a fresh
    /// dispatcher's few successes it never grew back, and a full there counts as delay.
    fn ease_pace(&mut self, now: Nanos, set: &Settings, t1: Nanos) {
        if self.limit <= 0.0 || now.saturating_sub(self.eased_at) < t1 / 2 {
            return;
        }
        self.eased_at = now;
        let part = self.limit / set.dispatchers.max(1) as f64;
        self.pace = (self.pace.min(self.sending.max(part)) * 0.8).max(part / 2.0);
        self.paced.tokens = self.paced.tokens.min(0.0);
    }
    /// A success with most of the allowance left lets the pace creep up, from an even part on; one with few
    /// calls left lets it sink. Above the reported limit only while the pace binds: a report may be late,
    /// wrong or missing. What is above an even part, and above the rate at which it is used, rests on what
    /// was heard lately: those who seldom meet would all hold on to the room of a calm hour, and send
    /// together into one clump.
    fn grow_pace(&mut self, heard: Nanos, now: Nanos, set: &Settings) {
        let part = self.limit / set.dispatchers.max(1) as f64;
        let age = now.saturating_sub(heard).max(1) as f64;
        let sure = part.max(SECOND / age);
        if self.pace > sure {
            self.pace = sure + (self.pace - sure) * (-age / set.rules.fall.max(1) as f64).exp();
        }
        if self.pace < self.limit || self.paced.tokens < 1.0 {
            self.pace *= 1.0 + 0.15 * (2.0 * self.share_left - 1.0).clamp(-1.0, 1.0);
        }
        self.pace = self.pace.max(part * (2.0 * self.share_left).clamp(0.5, 1.0));
    }
    /// The destination is back, or said when it will be, and is cold from then on. All that know of one
    /// moment would send at once: each begins with a token of another size.
    fn comes_back(&mut self, at: Nanos, luck: f64) {
        (self.back_at, self.bad_since, self.knocks) = (Some(at), None, 0);
        self.news = News::Grave;
        self.cold_budget = Bucket { tokens: luck, at };
    }
    fn succeeded(&mut self, now: Nanos, took: Nanos, rules: &Rules) {
        if self.was_out(rules) {
            self.comes_back(now, 0.0);
        }
        (self.ok_at, self.bad_calls, self.shut) = (now, 0, false);
        self.failing *= 1.0 - WEIGHT;
        if self.failing <= 0.5 {
            self.bad_since = None;
        }
        self.knocks = 0;
        if now.saturating_sub(self.floor_from) > rules.cold {
            self.floors = [None, self.floors[0]];
            self.floor_from = now;
        }
        self.floors[0] = Some(self.floors[0].map_or(took, |f| f.min(took)));
        self.sample_delay(now, (took - self.floor().min(took)) as f64);
        if self.usual == 0.0 {
            (self.usual, self.spread) = (took as f64, took as f64 / 2.0);
        } else {
            self.spread += WEIGHT * ((took as f64 - self.usual).abs() - self.spread);
            self.usual += WEIGHT * (took as f64 - self.usual);
        }
    }
    fn failed(&mut self, now: Nanos, sample: Nanos, rules: &Rules) {
        (self.fail_at, self.news) = (Some(now), News::Grave);
        if self.bad_since.is_none() {
            self.bad_since = Some(now);
            // The first careful call is free; while the destination is cold its budget goes on instead.
            if !self.cold(now, rules) {
                (self.out_from, self.cold_budget) = (now, Bucket { tokens: 1.0, at: now });
            }
        }
        self.failing += WEIGHT * (1.0 - self.failing);
        self.sample_delay(now, sample as f64);
        if self.in_trouble(now, rules) {
            self.knocks += 1;
        }
    }
}

impl Control {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Control {
            rng: RandomSource::seeded(seed),
            t1: t1(&settings),
            msgs: BTreeMap::new(),
            agenda: Agenda::default(),
            keys: BTreeMap::new(),
            rests: Timers::default(),
            lanes: BTreeMap::new(),
            busy: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            leaving: BTreeSet::new(),
            by_dest: BTreeSet::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            subscribe_at: if settings.subscribe { 0 } else { NEVER },
            subscribe_fails: 0,
            wake_at: NEVER,
            news: BTreeMap::new(),
            grave: false,
            stops_at: NEVER,
            unsure_until: 0,
            set: Arc::new(settings),
        }
    }

    /// Takes note of what happened.
    pub fn on_event(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Message { id, class, key, dest, time_left, .. } => {
                self.take(now, id, class, key, dest, time_left)
            }
            Event::Restored { id, class, key, dest, deadline, attempts, first_sent, may_have_run } => {
                self.take(now, id, class, key, dest, deadline.saturating_sub(now));
                let Some(m) = self.msgs.get_mut(&id).filter(|_| attempts > 0) else { return };
                (m.attempts, m.step, m.first_sent, m.maybe) = (attempts, attempts, first_sent, may_have_run);
                m.wait_for_doubled_time(now, self.t1);
                self.track(now, id);
            }
            Event::Resumed => self.unsure_until = now.saturating_add(self.set.rules.key_rest),
            Event::Stopping { at } => self.stops_at = at,
            Event::Outcome { id, endpoint, outcome, took, closed, report, .. } => {
                self.heard(endpoint, report);
                self.attempt_over(now, id, outcome, took, closed);
            }
            Event::WaitRequested { endpoint, wait } => {
                let Some(id) = self.endpoints.get(&endpoint).map(|e| e.lane) else { return };
                let Some(lane) = self.lanes.get_mut(&id) else { return };
                lane.wait_until = lane.wait_until.max(now.saturating_add(wait));
                lane.news = News::Grave;
                self.note_news(id);
            }
            Event::Withdrawn { id } => self.end(id),
            Event::ProbeEnded { endpoint, outcome, took, report } => {
                self.heard(endpoint, report);
                self.judge(now, endpoint, outcome, took, took);
            }
            Event::Listed { whole, entries } => self.listed(now, whole, &entries),
            // Nobody saw it go down, but with no other endpoint the destination was out, and is cold.
            Event::EndpointReturned { endpoint } => {
                let Some(id) = self.endpoints.get(&endpoint).map(|e| e.lane) else { return };
                if !self.endpoints.iter().any(|(other, e)| *other != endpoint && e.lane == id && e.ready) {
                    let (lane, luck) = (self.lanes.entry(id).or_default(), self.rng.next_f64());
                    lane.out_from = now;
                    lane.comes_back(now, luck);
                    self.note_news(id);
                }
            }
            Event::RateShare { dest, part } => {
                let Some(lane) = self.lanes.get_mut(&(dest, None)) else { return };
                if let Some(old) = lane.part {
                    lane.parted.ready_at(now, old.rate_at(now), old.burst());
                    lane.part_over = if old.until <= now { old.until } else { lane.part_over };
                }
                lane.part = part;
                self.agenda.unpark(dest);
            }
            Event::PeersUnreachable { endpoint, until, avoid } => {
                let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
                e.hearsay = (until, avoid);
                self.agenda.unpark(e.lane.0);
            }
            // What others saw lifts no care that is taken already.
            Event::PeersSawRecovery { dest } => {
                let (rules, luck) = (&self.set.rules, self.rng.next_f64());
                let lane = self.lanes.get_mut(&(dest, None));
                let lane = lane.filter(|l| !l.in_trouble(now, rules) && !l.cold(now, rules));
                if let Some(lane) = lane {
                    lane.out_from = now;
                    lane.comes_back(now, luck);
                    self.note_news((dest, None));
                }
            }
            // What is open may have no try left by now, or has one again.
            Event::Settings { settings } => {
                (self.t1, self.set) = (t1(&settings), settings);
                let open: Vec<MsgId> = self.msgs.keys().copied().collect();
                open.into_iter().for_each(|id| self.track(now, id));
            }
            Event::ListFailed => {
                if self.set.subscribe {
                    self.subscribe_fails += 1;
                    self.subscribe_at = doubled_time(now, self.t1, self.subscribe_fails.min(4));
                }
            }
            // A clock coarser than a nanosecond may wake a little early; that request is spent all the same.
            Event::Wake if self.wake_at <= now.saturating_add(self.set.tick) => self.wake_at = NEVER,
            // No answer is streamed here.
            Event::PeerMessage { .. } | Event::Wake | Event::Started { .. } => {}
        }
    }

    fn take(
        &mut self,
        now: Nanos,
        id: MsgId,
        class: usize,
        key: Option<u64>,
        dest: DestId,
        time_left: Nanos,
    ) {
        let Some(c) = self.set.classes.get(class) else { return };
        let deadline = now.saturating_add(time_left);
        let aim_at = deadline.saturating_sub(c.deadline.saturating_sub(c.aim));
        let key = key.filter(|_| c.in_order);
        if let Some(key) = key {
            let line = self.keys.entry(key).or_default();
            line.line.push_back(id);
            if self.unsure_until > now {
                line.rest_until = line.rest_until.max(self.unsure_until);
                self.rests.set(key, line.rest_until);
            }
        }
        let msg = Msg {
            class,
            key,
            dest,
            aim_at,
            deadline,
            attempts: 0,
            step: 0,
            first_sent: 0,
            due: now,
            out: None,
            maybe: None,
            ended: false,
        };
        self.msgs.insert(id, msg);
        self.track(now, id);
        let lanes = self.lanes.range_mut((dest, None)..=(dest, Some(EndpointId::MAX)));
        lanes.for_each(|(_, lane)| lane.taken += 1);
    }

    /// Notes when a message falls due, and when it is past hope unless something changes.
    fn track(&mut self, now: Nanos, id: MsgId) {
        let Some(m) = self.msgs.get(&id).filter(|m| !m.ended) else { return };
        let last = self.last_chance(m);
        match m.out {
            Some(_) => self.agenda.is_out(id, m.dest, m.deadline),
            None => self.agenda.waits(now, id, m.dest, m.due, if last <= m.due { 0 } else { last }),
        }
    }

    /// Something changed at a destination: it may be open again, or its messages past hope sooner.
    fn look_again(&mut self, now: Nanos, dest: DestId, floor_before: Nanos) {
        self.agenda.unpark(dest);
        if self.lanes.get(&(dest, None)).is_some_and(|lane| lane.floor() > floor_before) {
            let held: Vec<MsgId> = self.agenda.held_for(dest).collect();
            held.into_iter().for_each(|id| self.track(now, id));
        }
    }

    fn attempt_over(&mut self, now: Nanos, id: MsgId, outcome: Outcome, took: Nanos, closed: bool) {
        let Some(m) = self.msgs.get_mut(&id) else { return };
        let Some(out) = m.out.take() else { return };
        m.ended |= closed;
        if !outcome.never_ran() {
            let zone = self.endpoints.get(&out.endpoint).map_or(0, |e| e.zone);
            m.maybe = m.maybe.or(Some((out.sent, zone)));
        }
        if outcome == Outcome::Exhausted {
            m.attempts = m.attempts.max(self.set.try_limit);
        }
        m.step = m.step.max(m.attempts);
        m.wait_for_doubled_time(now, self.t1);
        if let Some(line) = m.key.filter(|_| outcome.may_still_run()).and_then(|k| self.keys.get_mut(&k)) {
            line.rest_until = now + self.set.rules.key_rest;
            self.rests.set(m.key.unwrap_or(0), line.rest_until);
        }
        let ended = m.ended;
        // The slot is free once the last message of the call has its outcome.
        let left = self.calls.get_mut(&out.call).map(|left| {
            *left -= 1;
            *left
        });
        if left == Some(0) {
            self.calls.remove(&out.call);
            if let Some(e) = self.endpoints.get_mut(&out.endpoint) {
                e.calls -= 1;
                if let Some(lane) = self.lanes.get_mut(&e.lane) {
                    lane.calls -= 1;
                    if lane.calls == 0 {
                        self.busy.remove(&e.lane);
                    }
                }
            }
        }
        if ended {
            self.end(id);
        } else {
            self.track(now, id);
        }
        let full_time_out = self.endpoints.get(&out.endpoint).and_then(|e| self.lanes.get(&e.lane));
        let full_time_out = full_time_out.map_or(took, |lane| 2 * lane.margin(self.t1, self.t1));
        self.judge(now, out.endpoint, outcome, took, full_time_out);
    }

    /// What an outcome says about its destination.
    fn judge(&mut self, now: Nanos, endpoint: EndpointId, outcome: Outcome, took: Nanos, full: Nanos) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(lane) = self.lanes.get_mut(&e.lane) else { return };
        let floor = lane.floor();
        lane.quiet_since = now;
        lane.news = lane.news.max(News::Some);
        match outcome {
            Outcome::Served => {
                (e.fails, e.ok_at) = (0, now);
                let heard = lane.ok_at.max(lane.fail_at.unwrap_or(0));
                lane.succeeded(now, took, &self.set.rules);
                lane.grow_pace(heard, now, &self.set);
            }
            Outcome::NotSent | Outcome::Exhausted => {}
            Outcome::Full(wait) => {
                // The destination's own word: nothing goes there, for any message, until the wait is over.
                let told = now.saturating_add(wait.unwrap_or(0));
                lane.wait_until = lane.wait_until.max(told);
                // By default it counts as a full time-out. Where a limit is reported and calls get through,
                // it is an excess over the limit, which the pace answers, and no failure; p would only starve
                // messages that never ran.
                // With most of the allowance left, of late too, a refusal is no excess but a destination
                // that is shut, or whose queue is full for a moment: the second on end is a trouble at once,
                // in which no call is free.
                let known = lane.in_trouble(now, &self.set.rules);
                let odd = lane.limit > 0.0 && lane.share_left > 0.8 && lane.left_of_late > 0.5;
                lane.bad_calls += usize::from(odd);
                lane.shut = odd && lane.bad_calls > 1;
                lane.silent = false;
                let paced = lane.limit > 0.0 && !lane.shut && !known;
                if paced && !odd {
                    lane.sample_delay(now, took as f64);
                } else {
                    lane.failed(now, if paced { took } else { full }, &self.set.rules);
                }
                if !odd {
                    lane.ease_pace(now, &self.set, self.t1);
                }
                if lane.shut && !known {
                    lane.cold_budget.tokens = 0.0;
                }
                // No passing excess over a limit needs so long: it is shut, and opens cold when it said.
                if told.saturating_sub(now) > self.set.rules.fall {
                    lane.comes_back(told, self.rng.next_f64());
                }
            }
            _ => {
                (e.fails, e.fail_at) = (e.fails + 1, now);
                lane.silent = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
                lane.bad_calls += 1;
                lane.failed(now, took, &self.set.rules);
            }
        }
        let lane = e.lane;
        self.note_news(lane);
        self.look_again(now, lane.0, floor);
    }

    fn heard(&mut self, endpoint: EndpointId, report: Option<Report>) {
        let lane = self.endpoints.get(&endpoint).and_then(|e| self.lanes.get_mut(&e.lane));
        if let (Some(lane), Some(report)) = (lane, report) {
            if lane.limit == 0.0 {
                lane.left_of_late = report.share_left;
            }
            if lane.limit > 0.0 && report.limit > 0.0 {
                lane.pace *= report.limit / lane.limit;
            }
            (lane.limit, lane.share_left) = (report.limit.max(0.0), report.share_left);
            lane.left_of_late += WEIGHT * (report.share_left - lane.left_of_late);
            if lane.pace == 0.0 {
                lane.pace = lane.limit / self.set.dispatchers.max(1) as f64;
            }
        }
    }

    fn listed(&mut self, now: Nanos, whole: bool, entries: &[Entry]) {
        self.subscribe_fails = 0;
        if whole {
            self.endpoints.values_mut().for_each(|e| e.ready = false);
            self.leaving.extend(self.endpoints.keys());
        }
        for entry in entries {
            let apart = self.set.kinds.get(entry.kind).is_some_and(|k| k.apart);
            let lane = (entry.dest, apart.then_some(entry.endpoint));
            let fresh = || Lane { taken_from: now, ..Lane::default() };
            let l = self.lanes.entry(lane).or_insert_with(fresh);
            (l.weight, l.kind, l.listed_at) = (entry.weight.max(0.0), entry.kind, now);
            self.unlisted.remove(&lane);
            let e = self.endpoints.entry(entry.endpoint).or_insert(Endpoint {
                lane,
                zone: entry.zone,
                kind: entry.kind,
                ready: false,
                calls: 0,
                fails: 0,
                fail_at: 0,
                ok_at: 0,
                hearsay: (0, false),
            });
            e.ready = entry.state == State::Ready;
            if e.ready {
                self.leaving.remove(&entry.endpoint)
            } else {
                self.leaving.insert(entry.endpoint)
            };
            self.by_dest.insert((entry.dest, entry.endpoint));
            self.agenda.unpark(entry.dest);
        }
        // A message counts at each route, but goes by one of them.
        for dest in entries.iter().map(|entry| entry.dest).collect::<BTreeSet<_>>() {
            let routes = (dest, Some(0))..=(dest, Some(EndpointId::MAX));
            let weights = self.lanes.range(routes.clone()).map(|(_, lane)| lane.weight);
            let (all, count) = weights.fold((0.0, 0.0), |(all, count), weight| (all + weight, count + 1.0));
            for (_, lane) in self.lanes.range_mut(routes) {
                lane.elsewhere = 1.0 - if all > 0.0 { lane.weight / all } else { 1.0 / count };
            }
        }
        // What is gone and idle is forgotten; a call that is still out keeps it until its outcome.
        let (endpoints, by_dest, lanes) = (&mut self.endpoints, &mut self.by_dest, &mut self.lanes);
        let unlisted = &mut self.unlisted;
        self.leaving.retain(|id| {
            let Some(e) = endpoints.get(id).filter(|e| !e.ready && e.calls == 0) else { return true };
            let (dest, route) = e.lane;
            by_dest.remove(&(dest, *id));
            endpoints.remove(id);
            let listed = by_dest.range((dest, 0)..=(dest, EndpointId::MAX)).next().is_some();
            let lane = lanes.get_mut(&(dest, route)).filter(|_| route.is_some() || !listed);
            if let Some(lane) = lane {
                lane.listed_at = now;
                unlisted.insert((dest, route));
            }
            false
        });
        // So is a destination (or route) without any endpoint, once nothing that is known of it can matter:
        // no message for it is left, its wait is over and it would be warm by now. Else each route of
        // a fleet whose endpoints are replaced all day would stay.
        let longest = self.set.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let span = longest.saturating_add(self.set.rules.cold);
        unlisted.retain(|id| {
            let stays =
                lanes.get(id).is_some_and(|l| l.listed_at.max(l.wait_until).saturating_add(span) > now);
            if !stays {
                lanes.remove(id);
            }
            stays
        });
    }

    /// Marks a message as answered; it stays known until its attempt has an outcome.
    fn end(&mut self, id: MsgId) {
        let Some(m) = self.msgs.get_mut(&id) else { return };
        m.ended = true;
        self.agenda.is_over(id, m.dest);
        if m.out.is_some() {
            return;
        }
        if let Some((key, line)) = m.key.and_then(|key| Some((key, self.keys.get_mut(&key)?))) {
            line.line.retain(|other| *other != id);
            if line.line.is_empty() && !self.rests.contains(key) {
                self.keys.remove(&key);
            }
        }
        self.msgs.remove(&id);
    }

    /// Does everything that is due, then asks for one wake-up.
    pub fn decide(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.subscribe_at <= now {
            self.subscribe_at = NEVER;
            actions.push(Action::Subscribe);
        }
        self.strike_silent(now);
        self.answer_hopeless(now, actions);
        self.fill_slots(now, actions);
        self.make_room(now, actions);
        while let Some(key) = self.rests.pop(now) {
            if self.keys.get(&key).is_some_and(|k| k.line.is_empty()) {
                self.keys.remove(&key);
            }
        }
        let next = self.next_wake(now);
        if next < self.wake_at || self.wake_at <= now {
            self.wake_at = next;
            if next != NEVER {
                actions.push(Action::Wake { at: next });
            }
        }
    }

    /// A destination that has calls out and says nothing for a wide margin over its usual latency counts as
    /// failing at once, and again after each further margin. Guards against silent and hung destinations
    /// filling the slots, and against an average that stays low because nothing comes back. It may misread
    /// a long stall; the next success mends that.
    fn strike_silent(&mut self, now: Nanos) {
        let (unknown, mut struck) = (4 * self.t1, Vec::new());
        for id in &self.busy {
            let Some(lane) = self.lanes.get_mut(id) else { continue };
            let margin = lane.margin(unknown, self.t1);
            if now.saturating_sub(lane.quiet_since) >= margin {
                (lane.quiet_since, lane.silent) = (now, true);
                lane.failed(now, margin, &self.set.rules);
                struck.push(*id);
            }
        }
        for id in struck {
            self.note_news(id);
            self.agenda.unpark(id.0);
        }
    }

    /// The latest moment at which another attempt of this message makes sense and is allowed.
    fn last_chance(&self, m: &Msg) -> Nanos {
        let class = &self.set.classes[m.class];
        let floor = self.lanes.get(&(m.dest, None)).map_or(0, Lane::floor);
        let in_time = m.deadline.saturating_sub(floor.max(2 * self.set.tick));
        match (class.effect, m.maybe) {
            _ if m.attempts >= self.set.try_limit => 0,
            (Effect::Unsafe, Some(_)) => 0,
            (Effect::Keyed { window, .. }, Some((sent, _))) => {
                in_time.min(sent.saturating_add(window).saturating_sub(self.set.tick))
            }
            _ => in_time,
        }
    }

    /// Gives the final answer: a refusal where trying again is provably harmless, else a failure.
    fn answer(&mut self, now: Nanos, id: MsgId, actions: &mut Vec<Action>) {
        let Some(m) = self.msgs.get(&id).filter(|m| !m.ended) else { return };
        let repeatable = match self.set.classes[m.class].effect {
            Effect::Safe => true,
            Effect::Keyed { zone_only, .. } => !zone_only,
            Effect::Unsafe => false,
        };
        let harmless = repeatable || (m.maybe.is_none() && m.out.is_none());
        let wait = self.time_to_come_back(now, m.dest);
        actions.push(if harmless { Action::Refuse { id, wait } } else { Action::Fail { id } });
        self.end(id);
    }

    /// How long a client whose message is given up should stay away: until the destination says that there
    /// is room, or for the gap to the next careful try there, or for one T1; no longer than clients heed.
    fn time_to_come_back(&self, now: Nanos, dest: DestId) -> Nanos {
        let lane = self.lanes.get(&(dest, None));
        let told = lane.map_or(0, |l| l.wait_until.saturating_sub(now));
        let gap = self.t1.saturating_mul(lane.map_or(1, |l| 1 << l.knocks.min(20)));
        told.max(gap.min(self.set.rules.fall)).min(self.set.max_retry_after)
    }

    /// The list has named an endpoint of this destination.
    pub fn knows_destination(&self, dest: DestId) -> bool {
        self.lanes.range((dest, None)..=(dest, Some(EndpointId::MAX))).next().is_some()
    }

    /// How long a client should stay away whose message was turned away for want of room.
    pub fn retry_after_hint(&self, now: Nanos, dest: DestId) -> Nanos {
        self.time_to_come_back(now, dest)
    }

    /// Every message gets its final answer: when no attempt is left to it, or when its time is up.
    fn answer_hopeless(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for id in self.agenda.alarmed(now) {
            let Some(m) = self.msgs.get(&id) else { continue };
            let hopeless =
                if m.out.is_some() { m.deadline <= now } else { self.last_chance(m) <= m.due.max(now) };
            if hopeless {
                self.answer(now, id, actions);
            } else {
                self.track(now, id);
            }
        }
    }

    /// Share of its worth that a message of this class still earns at `at`.
    fn worth_at(&self, m: &Msg, at: Nanos) -> f64 {
        let class = &self.set.classes[m.class];
        if at >= m.deadline {
            return 0.0;
        }
        let late = at.saturating_sub(m.aim_at) as f64;
        let span = class.deadline.saturating_sub(class.aim).max(1) as f64;
        match self.set.late {
            LateDecay::Even => 1.0 - (1.0 - class.late_worth) * (late / span).min(1.0),
            LateDecay::Halves => 0.5f64.powf(late / class.aim.max(1) as f64).max(class.late_worth),
        }
    }

    /// Order of waiting messages: by the worth that waiting would lose.
    fn rank(&self, now: Nanos, m: &Msg) -> (f64, Nanos) {
        let loss = self.worth_at(m, now) - self.worth_at(m, now.saturating_add(4 * self.t1));
        (-loss * self.set.classes[m.class].worth, m.aim_at)
    }

    /// Messages by rank: the best comes out first, of equals the newest. Each rank is worked out once.
    fn ranked(&self, now: Nanos, ids: impl Iterator<Item = MsgId>) -> BinaryHeap<(Reverse<Rank>, MsgId)> {
        ids.filter_map(|id| Some((Reverse(Rank(self.rank(now, self.msgs.get(&id)?))), id))).collect()
    }

    /// Whether a send that was decided may still be written: asked again once there is a connection, since
    /// that takes time. Its endpoint may have been drained meanwhile, a wait told, or the time run out.
    pub fn may_still_send(&self, now: Nanos, id: MsgId) -> bool {
        let Some(m) = self.msgs.get(&id).filter(|m| !m.ended) else { return false };
        let Some(out) = m.out else { return false };
        let Some(e) = self.endpoints.get(&out.endpoint) else { return false };
        let window = match (self.set.classes[m.class].effect, m.maybe) {
            (Effect::Keyed { window, .. }, Some((sent, _))) => {
                sent.saturating_add(window).saturating_sub(self.set.tick)
            }
            _ => NEVER,
        };
        // Nor does it go on what was borrowed when it was decided and is another's by now.
        let over = |l: &Lane| {
            let part = l.part.filter(|p| p.until <= now).map_or(0, |p| p.until);
            out.sent < part.max(l.part_over)
        };
        let waits = self.lanes.get(&e.lane).is_none_or(|l| l.wait_until > now || over(l));
        e.ready && !waits && now < m.deadline.min(window)
    }

    /// Order, key rest, one attempt at a time: what a message itself must pass, besides the time of its next
    /// try.
    fn may_go(&self, now: Nanos, id: MsgId) -> bool {
        let Some(m) = self.msgs.get(&id) else { return false };
        if m.ended || m.out.is_some() || self.last_chance(m) <= now {
            return false;
        }
        m.key
            .and_then(|key| self.keys.get(&key))
            .is_none_or(|k| k.line.front() == Some(&id) && (m.attempts > 0 || k.rest_until <= now))
    }

    /// Endpoint for a message: listed as ready, its route open, inside its key's group; not one that failed
    /// of late if there is another; then the one with the fewest calls out.
    fn pick_endpoint(&mut self, now: Nanos, m_dest: DestId, zone: Option<usize>) -> Option<EndpointId> {
        let (set, t1, stops_at, lanes) = (&self.set, self.t1, self.stops_at, &mut self.lanes);
        let of_dest = self.by_dest.range((m_dest, 0)..=(m_dest, EndpointId::MAX));
        let of_dest = of_dest.filter_map(|(_, id)| Some((id, self.endpoints.get(id)?)));
        let fits = of_dest.filter(|(_, e)| {
            e.ready
                && zone.is_none_or(|z| z == e.zone)
                && (e.hearsay.0 <= now || e.calls == 0)
                && lanes.get_mut(&e.lane).is_some_and(|l| {
                    // Nothing new goes out that would be cut off by the end of the process: an attempt
                    // without an outcome costs an unsafe message its life.
                    now.saturating_add(l.margin(2 * t1, t1)) < stops_at
                        && l.closed_until(now, set, t1).is_none()
                })
        });
        fits.min_by_key(|(_, e)| {
            let shunned = e.fails > 0 && now < doubled_time(e.fail_at, t1, e.fails.min(6));
            let avoided = e.hearsay.1 && e.hearsay.0 > now;
            (if shunned { e.fails } else { 0 }.max(avoided.into()), e.calls, NEVER - e.ok_at)
        })
        .map(|(id, _)| *id)
    }

    fn bundle(&self, kind: usize) -> usize {
        self.set.kinds.get(kind).map_or(1, |k| k.bundle.max(1))
    }

    /// Free slots go to waiting destinations, fewest calls out first, then those where a message takes least
    /// of a slot (by powers of two of the averaged time over the bundle), in turns among these. With slots
    /// short, turns alone let slow or failing destinations take most of the time. It may starve a slow one.
    fn fill_slots(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.agenda.advance(now);
        if self.calls.len() >= self.set.slots {
            return;
        }
        let open: Vec<DestId> = self.agenda.open().collect();
        let mut turns: BTreeSet<_> =
            open.iter().filter_map(|dest| Some((self.turn(now, *dest, None)?, *dest))).collect();
        let mut queues: BTreeMap<DestId, BinaryHeap<_>> = BTreeMap::new();
        while self.calls.len() < self.set.slots {
            let Some((_, dest)) = turns.pop_first() else { return };
            // One that is closed is not looked at again before it may be open: nothing is ranked in vain.
            let Some(open) = self.pick_endpoint(now, dest, None) else {
                let until = self.closed_for(now, dest);
                self.agenda.park(dest, until);
                continue;
            };
            let queue = queues.entry(dest).or_insert_with(|| {
                self.ranked(now, self.agenda.ready_for(dest).filter(|id| self.may_go(now, *id)))
            });
            let Some((_, id)) = queue.pop() else { continue };
            let zone = self.zone_of(id);
            let endpoint = if zone.is_none() { Some(open) } else { self.pick_endpoint(now, dest, zone) };
            if let Some(endpoint) = endpoint {
                self.try_send(now, id, endpoint, queues.get_mut(&dest), actions);
            }
            let left = queues.get(&dest).map_or(0, BinaryHeap::len);
            turns.extend(self.turn(now, dest, Some(left)).map(|turn| (turn, dest)));
        }
    }

    /// Sends a message that is due, and what may ride with it, unless it is a retry that is not drawn.
    fn try_send(
        &mut self,
        now: Nanos,
        id: MsgId,
        endpoint: EndpointId,
        queue: Option<&mut BinaryHeap<(Reverse<Rank>, MsgId)>>,
        actions: &mut Vec<Action>,
    ) {
        if self.skip_retry(now, id, endpoint) {
            if self.last_chance(&self.msgs[&id]) <= self.msgs[&id].due {
                self.answer(now, id, actions);
            }
            return;
        }
        self.next_call += 1;
        self.send(now, id, endpoint, actions);
        // One call carries as many waiting messages as the kind allows: it counts once against the
        // limit and the slots. A retry rides along without a draw, and before it is due while it has
        // more than half its tries, since the call goes anyway. All share one fate.
        let (dest, zone) = (self.endpoints[&endpoint].lane.0, self.endpoints[&endpoint].zone);
        let fits = |this: &Self, id| this.zone_of(id).is_none_or(|z| z == zone);
        let mut places = self.bundle(self.endpoints[&endpoint].kind) - 1;
        let mut queue = queue.filter(|_| places > 0);
        while let Some((_, next)) = queue.as_mut().filter(|_| places > 0).and_then(|queue| queue.pop()) {
            places -= 1;
            if fits(self, next) {
                self.send(now, next, endpoint, actions);
            }
        }
        if places > 0 {
            let early = |id: &MsgId| {
                let m = &self.msgs[id];
                m.due > now && m.attempts < self.set.try_limit / 2 && self.may_go(now, *id)
            };
            let mut riders: Vec<MsgId> = self.agenda.held_for(dest).filter(early).collect();
            for next in riders.drain(riders.len().saturating_sub(places)..).rev() {
                if fits(self, next) {
                    self.send(now, next, endpoint, actions);
                }
            }
        }
    }

    /// The place of a destination among those that wait for a slot, by the messages left; `None` without any.
    fn turn(&self, now: Nanos, dest: DestId, left: Option<usize>) -> Option<(usize, u32, u64)> {
        let lanes = || self.lanes.range((dest, None)..=(dest, Some(EndpointId::MAX))).map(|(_, l)| l);
        let most = lanes().map(|l| self.bundle(l.kind)).max().unwrap_or(1);
        let left = left.unwrap_or_else(|| {
            self.agenda.ready_for(dest).filter(|id| self.may_go(now, *id)).take(most).count()
        });
        let place = lanes().fold((0, 0, 0), |(calls, time, turn), l| {
            let each = (l.floor() as f64 + l.delay_now(now)) / left.clamp(1, self.bundle(l.kind)) as f64;
            (calls + l.calls, time.max((each as Nanos).checked_ilog2().unwrap_or(0)), turn.max(l.turn))
        });
        (left > 0).then_some(place)
    }

    /// Until when nothing can go to a destination that is closed now. Its budget grows with its warmth:
    /// what hangs on that is asked again after a T1.
    fn closed_for(&mut self, now: Nanos, dest: DestId) -> Nanos {
        let (set, t1) = (&self.set, self.t1);
        let lanes = self.lanes.range_mut((dest, None)..=(dest, Some(EndpointId::MAX)));
        let closed = lanes.filter_map(|(_, lane)| {
            let until = lane.closed_until(now, set, t1)?;
            let sure = lane.wait_until > now || until == NEVER;
            Some(if sure { until } else { until.min(now.saturating_add(t1)) })
        });
        closed.min().unwrap_or(NEVER)
    }

    /// The zone that a keyed message must stay in, once it may have run.
    fn zone_of(&self, id: MsgId) -> Option<usize> {
        let m = &self.msgs[&id];
        let bound = matches!(self.set.classes[m.class].effect, Effect::Keyed { zone_only: true, .. });
        m.maybe.filter(|_| bound).map(|(_, zone)| zone)
    }

    /// The mechanism: a retry that is due goes with probability p, else waits for the next doubled time.
    fn skip_retry(&mut self, now: Nanos, id: MsgId, endpoint: EndpointId) -> bool {
        let Some(m) = self.msgs.get_mut(&id).filter(|m| m.attempts > 0) else { return false };
        let lane = self.endpoints.get(&endpoint).and_then(|e| self.lanes.get(&e.lane));
        let p = retry_probability(lane.map_or(0.0, |l| l.delay_now(now)), self.t1);
        if f64::from(self.rng.next_u32()) < p * 4_294_967_296.0 {
            return false;
        }
        m.wait_for_doubled_time(now + 1, self.t1);
        self.track(now, id);
        true
    }

    /// Sends one message as part of the newest call, which the first one of a bundle opens.
    fn send(&mut self, now: Nanos, id: MsgId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let (Some(m), Some(e)) = (self.msgs.get_mut(&id), self.endpoints.get_mut(&endpoint)) else { return };
        let Some(lane) = self.lanes.get_mut(&e.lane) else { return };
        let call = self.next_call;
        let in_call = self.calls.entry(call).or_default();
        if *in_call == 0 {
            if lane.calls == 0 {
                lane.quiet_since = now;
            }
            e.calls += 1;
            lane.calls += 1;
            self.busy.insert(e.lane);
            // Own calls a second, averaged over the rule's window.
            let window = self.set.rules.fall.max(1) as f64;
            let passed = now.saturating_sub(lane.sent_at) as f64 / window;
            lane.sending = lane.sending * (-passed).exp() + SECOND / window;
            lane.sent_at = now;
            lane.cold_budget.tokens = (lane.cold_budget.tokens - 1.0).max(0.0);
            lane.paced.tokens -= 1.0;
            lane.parted.tokens -= 1.0;
            lane.turn = call;
        }
        *in_call += 1;
        if m.attempts == 0 {
            m.first_sent = now;
        }
        m.attempts += 1;
        m.out = Some(Out { endpoint, call, sent: now });
        // A wide margin over the usual latency, wider where no other attempt is allowed. Without one, a
        // silent destination would keep the slots of its unsafe messages to their deadline, for an answer
        // that won't come.
        let left = m.deadline.saturating_sub(now);
        let early = (2 * lane.margin(4 * self.t1, self.t1)).max(2 * self.t1);
        let again = self.set.classes[m.class].effect != Effect::Unsafe && m.attempts < self.set.try_limit;
        let timeout = left.min(if again { early } else { 2 * early });
        actions.push(Action::Send { id, endpoint, timeout });
        self.agenda.is_out(id, m.dest, m.deadline);
    }

    /// A full hold turns new messages away unseen. Before it comes to that, the destination with the
    /// longest queue gives up the messages that rank last there. Guards against dead or slow destinations
    /// filling the hold at the cost of healthy ones. It answers early some that a short outage would have
    /// let through late.
    fn make_room(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let room = self.set.hold / 16 + 1;
        let mut over = (self.agenda.held() + room).saturating_sub(self.set.hold);
        if over == 0 {
            return;
        }
        let mut queues: BTreeMap<DestId, Vec<MsgId>> = BTreeMap::new();
        for (id, m) in self.msgs.iter().filter(|(_, m)| !m.ended && m.out.is_none()) {
            let doubt = m.maybe.is_some() && self.set.classes[m.class].effect != Effect::Safe;
            if !doubt {
                queues.entry(m.dest).or_default().push(*id);
            }
        }
        let mut lengths: BTreeSet<(usize, DestId)> = queues.iter().map(|(d, ids)| (ids.len(), *d)).collect();
        let mut sorted = BTreeSet::new();
        while let Some((length, dest)) = lengths.pop_last().filter(|_| over > 0) {
            let Some(ids) = queues.get_mut(&dest) else { return };
            if sorted.insert(dest) {
                ids.sort_by_cached_key(|id| Rank(self.rank(now, &self.msgs[id])));
            }
            let Some(id) = ids.pop() else { return };
            self.answer(now, id, actions);
            over -= 1;
            lengths.insert((length - 1, dest));
        }
    }

    /// The next moment at which something falls due without an event.
    fn next_wake(&mut self, now: Nanos) -> Nanos {
        let quiet = self.busy.iter().filter_map(|id| self.lanes.get(id));
        let quiet = quiet.map(|lane| lane.quiet_since + lane.margin(4 * self.t1, self.t1));
        let all = quiet.chain([self.subscribe_at, self.agenda.next()]).chain(self.rests.first());
        all.filter(|at| *at > now).min().unwrap_or(NEVER)
    }
}
