//! All decisions of millpost. The interface (settings, events, actions) is in `src/api.rs`.
//!
//! Retries follow one rule: attempts are scheduled with exponential backoff from `T1`, and each retry is sent
//! with probability p, which falls from 1 to 0 as the destination's averaged delay rises from 0.2 T1 to T1.
//! Everything else is a check before a send or an extension; its comment names the failure it guards against.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use rand_core::RngCore;

use crate::api::*;
use crate::measure::{Bucket, Rank};
use crate::random::RandomSource;
use crate::schedule::{Schedule, Timers};

mod inspect;
mod learned_state;
mod learnt;
pub use inspect::ControlSnapshot;
pub use learned_state::LearnedState;
use learned_state::Pending;

/// Weight of a new sample in the moving averages (w_q in the paper).
const WEIGHT: f64 = 0.2;
/// Share of the send budget that is used for a destination that is, or may be, cold.
const COLD_ROOM: f64 = 0.8;
const SECOND: f64 = 1e9;
const NEVER: Nanos = Nanos::MAX;

/// Probability that a due retry is sent, for an averaged queueing delay above the minimum latency (equation
/// 21, with the thresholds given relative to the service rate).
pub fn retry_probability(delay: f64, t1: Nanos) -> f64 {
    let (min, max) = (0.2 * t1 as f64, t1 as f64);
    if max <= min {
        return if delay > max { 0.0 } else { 1.0 };
    }
    ((max - delay) / (max - min)).clamp(0.0, 1.0)
}

/// Due time of the k-th retry: `first` plus T1, then with doubled gaps.
pub fn doubled_time(first: Nanos, t1: Nanos, k: u32) -> Nanos {
    first.saturating_add(t1.saturating_mul((1u64 << k.min(40)) - 1))
}

/// T1: a quarter of the shortest latency target of the classes that new messages may have.
fn t1(settings: &Settings) -> Nanos {
    let aims = settings.classes.iter().filter(|c| !c.retired).map(|c| c.aim);
    (aims.min().unwrap_or(SECOND as Nanos) / 4).max(1)
}

/// A destination; or one endpoint of it, where the endpoints are independent routes.
type TargetId = (DestId, Option<EndpointId>);

#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
struct Target {
    /// Lowest latency of the current and of the previous period.
    min_latencies: [Option<Nanos>; 2],
    min_latency_since: Nanos,
    /// Averaged delay above the minimum latency; determines the retry probability.
    avg_delay: f64,
    avg_delay_at: Nanos,
    /// Mean latency and mean deviation; 0 until known.
    mean_latency: f64,
    latency_dev: f64,
    wait_until: Nanos,
    /// Calls in flight, when the last one was sent, and since when none of them has been answered.
    calls: usize,
    last_sent_at: Nanos,
    quiet_since: Nanos,
    /// Times of the last success and failure, and since when calls have been failing.
    success_at: Nanos,
    failure_at: Option<Nanos>,
    failing_since: Option<Nanos>,
    /// When the current or last outage began; whether its last failure was a time-out or a reset; whether
    /// calls are rejected despite unused allowance; consecutive failures; share of recent failures; failed
    /// trial calls.
    outage_since: Nanos,
    unanswered: bool,
    rejecting: bool,
    failure_run: usize,
    failure_rate: f64,
    failed_trials: u32,
    /// First success after an outage; the destination is cold from then on.
    recovered_at: Option<Nanos>,
    cold_budget: Bucket,
    /// Calls a second that the limit appears to leave for this dispatcher; 0 until known.
    pace: f64,
    send_rate: f64,
    pace_bucket: Bucket,
    pace_reduced_at: Nanos,
    /// Reported limit and share of it left (last and averaged); listed weight; messages accepted here and
    /// since when.
    limit: f64,
    share_left: f64,
    avg_share_left: f64,
    weight: f64,
    accepted: u32,
    accepted_since: Nanos,
    /// Share of the destination's messages that its other routes take, by their weights.
    share_elsewhere: f64,
    last_call: u64,
    kind: usize,
    /// When an endpoint of it was last listed.
    listed_at: Nanos,
    /// This dispatcher's share of the joint rate, and when a borrowed share last expired without a new one.
    rate_share: Option<RateShare>,
    share_bucket: Bucket,
    share_ended_at: Nanos,
    pending: Pending,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct Endpoint {
    target: TargetId,
    zone: usize,
    kind: usize,
    ready: bool,
    calls: usize,
    failures: u32,
    failure_at: Nanos,
    success_at: Nanos,
    /// Peers report it unreachable until this time, and whether to prefer other endpoints meanwhile.
    peer_report: (Nanos, bool),
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
struct Attempt {
    endpoint: EndpointId,
    call: u64,
    sent: Nanos,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct Message {
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
    out: Option<Attempt>,
    /// Send time and zone of the earliest attempt that may have run.
    may_have_run: Option<(Nanos, usize)>,
    /// The final answer has been given; only the outcome of the attempt in flight is awaited.
    ended: bool,
}

#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
struct KeyQueue {
    messages: VecDeque<MsgId>,
    rest_until: Nanos,
}

/// Decides for one dispatcher when to send, retry, refuse and fail messages.
#[derive(Clone)]
pub struct Control {
    settings: Arc<Settings>,
    rng: RandomSource,
    t1: Nanos,
    messages: BTreeMap<MsgId, Message>,
    /// Due times of messages and destinations.
    schedule: Schedule,
    keys: BTreeMap<u64, KeyQueue>,
    /// Keys that must not be sent to before a given time.
    key_rests: Timers<u64>,
    targets: BTreeMap<TargetId, Target>,
    /// Targets with calls in flight.
    busy: BTreeSet<TargetId>,
    /// Targets without a listed endpoint.
    unlisted: BTreeSet<TargetId>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that are not listed as ready.
    leaving: BTreeSet<EndpointId>,
    by_dest: BTreeSet<(DestId, EndpointId)>,
    /// Number of messages without an outcome, for each call in flight.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    subscribe_at: Nanos,
    subscribe_failures: u32,
    wake_at: Nanos,
    /// Changes of learned state that [`Control::take_learned`] has not returned yet.
    pending: BTreeMap<TargetId, Pending>,
    urgent: bool,
    /// When the process exits, and until when attempts of an earlier process may still be running.
    stops_at: Nanos,
    earlier_attempts_until: Nanos,
}

impl Message {
    /// Schedules the next attempt at the first backoff time that is not before `from`.
    fn wait_for_doubled_time(&mut self, from: Nanos, t1: Nanos) {
        while doubled_time(self.first_sent, t1, self.step) < from && self.step < 40 {
            self.step += 1;
        }
        self.due = doubled_time(self.first_sent, t1, self.step);
    }
}

impl Target {
    fn min_latency(&self) -> Nanos {
        self.min_latencies.iter().flatten().min().copied().unwrap_or(0)
    }
    /// Time after which a call counts as unanswered: the mean latency plus four mean deviations, and at least
    /// `least`; `unknown` while no latency has been measured.
    fn silence_timeout(&self, unknown: Nanos, least: Nanos) -> Nanos {
        if self.mean_latency == 0.0 {
            unknown
        } else {
            ((self.mean_latency + 4.0 * self.latency_dev) as Nanos).max(least)
        }
    }
    fn failed_last(&self) -> bool {
        self.failure_at.is_some_and(|at| at >= self.success_at)
    }
    /// Calls have been failing for a while and none succeeds: the destination may be down, and may return
    /// cold at any moment.
    fn is_suspect(&self, now: Nanos, rules: &Rules) -> bool {
        let lasting = self.failing_since.is_some_and(|since| now.saturating_sub(since) > rules.fall / 2);
        (lasting || self.rejecting)
            && (self.failed_last() && self.is_conclusive(self.calls) || self.had_outage(rules))
    }
    /// One or two unanswered calls may be lost answers of a working destination, which is neither an outage
    /// nor a reason for a slow start. Refusals and errors are explicit and count at once.
    fn is_conclusive(&self, out: usize) -> bool {
        !self.unanswered || self.failure_run + out > 2
    }
    /// Nothing but failures, for longer than a brief excess over a rate limit explains, was an outage. A
    /// single refusal before a pause in the traffic is not: the next call is a trial call, without a full
    /// slow start.
    fn had_outage(&self, rules: &Rules) -> bool {
        let span = self.failure_at.unwrap_or(0).saturating_sub(self.failing_since.unwrap_or(NEVER));
        span > rules.fall / 2 && (self.failure_rate > 0.5 || self.failed_last()) && self.is_conclusive(0)
    }
    fn is_cold(&self, now: Nanos, rules: &Rules) -> bool {
        self.recovered_at.is_some_and(|at| now.saturating_sub(at) < rules.cold)
    }
    /// Calls a second that the destination accepts from all dispatchers together; 0 if unknown.
    fn capacity(&self, settings: &Settings) -> f64 {
        let margin = if settings.weights == Weights::Rough { 1.5 } else { 1.0 };
        if self.limit > 0.0 { self.limit } else { self.weight / margin }
    }
    /// Calls a second that this dispatcher may send to a destination that is, or may be, cold, of its share
    /// of the capacity. The share is the largest of an even one, the rate of its own messages, and (unless
    /// all calls are rejected at once) one call since the outage began. Even shares alone would starve busy
    /// dispatchers, and the few that hold messages for a small destination.
    fn cold_rate(&self, now: Nanos, settings: &Settings) -> f64 {
        let rules = &settings.rules;
        let own = f64::from(self.accepted) * (1.0 - self.share_elsewhere) * SECOND
            / now.saturating_sub(self.accepted_since).max(rules.cold).max(1) as f64;
        let single = if self.rejecting { 0.0 } else { SECOND }
            / now.saturating_sub(self.outage_since).max(rules.fall / 2).max(1) as f64;
        let all = self.capacity(settings);
        let own_capacity = (all / settings.dispatchers.max(1) as f64).max(own).max(if all > 0.0 {
            single.min(all)
        } else {
            single
        });
        let capacity = self.rate_share.map_or(own_capacity, |part| part.rate_at(now));
        let warm = match self.recovered_at {
            Some(at) if !self.is_suspect(now, rules) => {
                now.saturating_sub(at) as f64 / rules.cold.max(1) as f64
            }
            _ => 0.0,
        };
        let share = rules.cold_from + (1.0 - rules.cold_from) * warm.min(1.0);
        rules.fall_multiple * share * capacity * COLD_ROOM
    }
    /// Checked before every send and probe. Returns `None` if one may be sent now, else when to check again.
    fn closed_until(&mut self, now: Nanos, settings: &Settings, t1: Nanos) -> Option<Nanos> {
        if self.wait_until > now {
            return Some(self.wait_until);
        }
        // The joint rate of all dispatchers holds because each one keeps to its share.
        if let Some(part) = self.rate_share {
            let ready = self.share_bucket.ready_at(now, part.rate_at(now), part.burst());
            if ready > now {
                return Some(ready);
            }
        }
        if self.pace > 0.0 {
            // The burst covers the variation of arrivals within `rules.fall`, or the calls of one T1.
            let (window, gap) = (settings.rules.fall as f64 / SECOND, t1 as f64 / SECOND);
            let burst = (self.pace * window).sqrt().max(self.pace * gap).max(1.0);
            let ready = self.pace_bucket.ready_at(now, self.pace, burst);
            if ready > now {
                return Some(ready);
            }
        }
        let suspect = self.is_suspect(now, &settings.rules);
        if !suspect && !self.is_cold(now, &settings.rules) {
            return None;
        }
        if suspect {
            let failure_at = self.failure_at.unwrap_or(0);
            if self.calls > 0 && self.last_sent_at > failure_at {
                return Some(NEVER);
            }
            let gap = t1.saturating_mul(1 << self.failed_trials.min(20)).min(settings.rules.fall);
            if self.failed_trials > 0 && failure_at + gap > now {
                return Some(failure_at + gap);
            }
        }
        let rate = self.cold_rate(now, settings);
        Some(self.cold_budget.ready_at(now, rate, 1.0)).filter(|ready| *ready > now)
    }
    /// The averaged delay now: without samples it decreases as fast as time passes, like a draining queue.
    /// Guards against a stale average at a destination with rare samples, whose retries would wait for
    /// successes that never come.
    fn decayed_delay(&self, now: Nanos) -> f64 {
        (self.avg_delay - now.saturating_sub(self.avg_delay_at) as f64).max(0.0)
    }
    fn add_delay_sample(&mut self, now: Nanos, sample: f64) {
        let delay = self.decayed_delay(now);
        (self.avg_delay, self.avg_delay_at) = (delay + WEIGHT * (sample - delay), now);
    }
    /// First attempts are paced below the destination's limit and queued rather than dropped. The pace starts
    /// at an even share of the limit. A refusal reduces it, starting from the own send rate or an even share
    /// at most, and not below half an even share. Without a reported limit there is no pace: one derived from
    /// the few successes of a fresh dispatcher never recovered, so a refusal counts as delay there.
    fn reduce_pace(&mut self, now: Nanos, settings: &Settings, t1: Nanos) {
        if self.limit <= 0.0 || now.saturating_sub(self.pace_reduced_at) < t1 / 2 {
            return;
        }
        self.pace_reduced_at = now;
        let part = self.limit / settings.dispatchers.max(1) as f64;
        self.pace = (self.pace.min(self.send_rate.max(part)) * 0.8).max(part / 2.0);
        self.pace_bucket.tokens = self.pace_bucket.tokens.min(0.0);
    }
    /// A success raises the pace slowly while most of the allowance is left, and lowers it while little is
    /// left. It exceeds the reported limit only while the pace is what limits sending: reports may be late,
    /// wrong or missing. The part above an even share, and above the rate at which answers arrive, decays
    /// with the age of the last answer: otherwise dispatchers that rarely send would all keep the pace of a
    /// quiet hour and send one joint burst.
    fn adjust_pace(&mut self, last_answer: Nanos, now: Nanos, settings: &Settings) {
        let part = self.limit / settings.dispatchers.max(1) as f64;
        let age = now.saturating_sub(last_answer).max(1) as f64;
        let floor = part.max(SECOND / age);
        if self.pace > floor {
            self.pace = floor + (self.pace - floor) * (-age / settings.rules.fall.max(1) as f64).exp();
        }
        if self.pace < self.limit || self.pace_bucket.tokens < 1.0 {
            self.pace *= 1.0 + 0.15 * (2.0 * self.share_left - 1.0).clamp(-1.0, 1.0);
        }
        self.pace = self.pace.max(part * (2.0 * self.share_left).clamp(0.5, 1.0));
    }
    /// The destination has recovered, or has announced when it will, and is cold from `at` on. Dispatchers
    /// that know of the same moment would all send at once, so each starts with a different fraction of a
    /// token.
    fn begin_recovery(&mut self, at: Nanos, tokens: f64) {
        (self.recovered_at, self.failing_since, self.failed_trials) = (Some(at), None, 0);
        self.pending = Pending::Urgent;
        self.cold_budget = Bucket { tokens, at };
    }
    fn record_success(&mut self, now: Nanos, took: Nanos, rules: &Rules) {
        if self.had_outage(rules) {
            self.begin_recovery(now, 0.0);
        }
        (self.success_at, self.failure_run, self.rejecting) = (now, 0, false);
        self.failure_rate *= 1.0 - WEIGHT;
        if self.failure_rate <= 0.5 {
            self.failing_since = None;
        }
        self.failed_trials = 0;
        if now.saturating_sub(self.min_latency_since) > rules.cold {
            self.min_latencies = [None, self.min_latencies[0]];
            self.min_latency_since = now;
        }
        self.min_latencies[0] = Some(self.min_latencies[0].map_or(took, |f| f.min(took)));
        self.add_delay_sample(now, (took - self.min_latency().min(took)) as f64);
        if self.mean_latency == 0.0 {
            (self.mean_latency, self.latency_dev) = (took as f64, took as f64 / 2.0);
        } else {
            self.latency_dev += WEIGHT * ((took as f64 - self.mean_latency).abs() - self.latency_dev);
            self.mean_latency += WEIGHT * (took as f64 - self.mean_latency);
        }
    }
    fn record_failure(&mut self, now: Nanos, sample: Nanos, rules: &Rules) {
        (self.failure_at, self.pending) = (Some(now), Pending::Urgent);
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            // The first trial call is free; while the destination is cold its current budget continues.
            if !self.is_cold(now, rules) {
                (self.outage_since, self.cold_budget) = (now, Bucket { tokens: 1.0, at: now });
            }
        }
        self.failure_rate += WEIGHT * (1.0 - self.failure_rate);
        self.add_delay_sample(now, sample as f64);
        if self.is_suspect(now, rules) {
            self.failed_trials += 1;
        }
    }
}

impl Control {
    /// Creates a dispatcher without messages or endpoints. `seed` seeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Control {
            rng: RandomSource::seeded(seed),
            t1: t1(&settings),
            messages: BTreeMap::new(),
            schedule: Schedule::default(),
            keys: BTreeMap::new(),
            key_rests: Timers::default(),
            targets: BTreeMap::new(),
            busy: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            leaving: BTreeSet::new(),
            by_dest: BTreeSet::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            subscribe_at: if settings.subscribe { 0 } else { NEVER },
            subscribe_failures: 0,
            wake_at: NEVER,
            pending: BTreeMap::new(),
            urgent: false,
            stops_at: NEVER,
            earlier_attempts_until: 0,
            settings: Arc::new(settings),
        }
    }

    /// Applies an event. Actions follow from the next [`Control::decide`].
    pub fn on_event(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Message { id, class, key, dest, time_left, .. } => {
                self.add_message(now, id, class, key, dest, time_left)
            }
            Event::Restored { id, class, key, dest, deadline, attempts, first_sent, may_have_run } => {
                self.add_message(now, id, class, key, dest, deadline.saturating_sub(now));
                let Some(m) = self.messages.get_mut(&id).filter(|_| attempts > 0) else { return };
                (m.attempts, m.step, m.first_sent, m.may_have_run) =
                    (attempts, attempts, first_sent, may_have_run);
                m.wait_for_doubled_time(now, self.t1);
                self.reschedule(now, id);
            }
            Event::Resumed => self.earlier_attempts_until = now.saturating_add(self.settings.rules.key_rest),
            Event::Stopping { at } => self.stops_at = at,
            Event::Outcome { id, endpoint, outcome, took, closed, report, .. } => {
                self.apply_report(endpoint, report);
                self.on_attempt_end(now, id, outcome, took, closed);
            }
            Event::WaitRequested { endpoint, wait } => {
                let Some(id) = self.endpoints.get(&endpoint).map(|e| e.target) else { return };
                let Some(target) = self.targets.get_mut(&id) else { return };
                target.wait_until = target.wait_until.max(now.saturating_add(wait));
                target.pending = Pending::Urgent;
                self.collect_pending(id);
            }
            Event::Withdrawn { id } => self.finish(id),
            Event::ProbeEnded { endpoint, outcome, took, report } => {
                self.apply_report(endpoint, report);
                self.observe(now, endpoint, outcome, took, took);
            }
            Event::Listed { whole, entries } => self.apply_list(now, whole, &entries),
            // The restart was not observed, but without another endpoint the destination was down: it is
            // cold.
            Event::EndpointReturned { endpoint } => {
                let Some(id) = self.endpoints.get(&endpoint).map(|e| e.target) else { return };
                if !self.endpoints.iter().any(|(other, e)| *other != endpoint && e.target == id && e.ready) {
                    let (target, tokens) = (self.targets.entry(id).or_default(), self.rng.next_f64());
                    target.outage_since = now;
                    target.begin_recovery(now, tokens);
                    self.collect_pending(id);
                }
            }
            Event::RateShare { dest, part } => {
                let Some(target) = self.targets.get_mut(&(dest, None)) else { return };
                if let Some(old) = target.rate_share {
                    target.share_bucket.ready_at(now, old.rate_at(now), old.burst());
                    target.share_ended_at = if old.until <= now { old.until } else { target.share_ended_at };
                }
                target.rate_share = part;
                self.schedule.unpark(dest);
            }
            Event::PeersUnreachable { endpoint, until, avoid } => {
                let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
                e.peer_report = (until, avoid);
                self.schedule.unpark(e.target.0);
            }
            // Reports of peers do not shorten an outage or slow start that is already being handled.
            Event::PeersSawRecovery { dest } => {
                let (rules, tokens) = (&self.settings.rules, self.rng.next_f64());
                let target = self.targets.get_mut(&(dest, None));
                let target = target.filter(|t| !t.is_suspect(now, rules) && !t.is_cold(now, rules));
                if let Some(target) = target {
                    target.outage_since = now;
                    target.begin_recovery(now, tokens);
                    self.collect_pending((dest, None));
                }
            }
            // Under the new settings an open message may have no attempt left, or have one again.
            Event::Settings { settings } => {
                (self.t1, self.settings) = (t1(&settings), settings);
                let open: Vec<MsgId> = self.messages.keys().copied().collect();
                open.into_iter().for_each(|id| self.reschedule(now, id));
            }
            Event::ListFailed => {
                if self.settings.subscribe {
                    self.subscribe_failures += 1;
                    self.subscribe_at = doubled_time(now, self.t1, self.subscribe_failures.min(4));
                }
            }
            // With a coarse clock the wake-up may come slightly early; its request is used up all the same.
            Event::Wake if self.wake_at <= now.saturating_add(self.settings.tick) => self.wake_at = NEVER,
            // Answers are not streamed.
            Event::PeerMessage { .. } | Event::Wake | Event::Started { .. } => {}
        }
    }

    fn add_message(
        &mut self,
        now: Nanos,
        id: MsgId,
        class: usize,
        key: Option<u64>,
        dest: DestId,
        time_left: Nanos,
    ) {
        let Some(c) = self.settings.classes.get(class) else { return };
        let deadline = now.saturating_add(time_left);
        let aim_at = deadline.saturating_sub(c.deadline.saturating_sub(c.aim));
        let key = key.filter(|_| c.in_order);
        if let Some(key) = key {
            let queue = self.keys.entry(key).or_default();
            queue.messages.push_back(id);
            if self.earlier_attempts_until > now {
                queue.rest_until = queue.rest_until.max(self.earlier_attempts_until);
                self.key_rests.set(key, queue.rest_until);
            }
        }
        let message = Message {
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
            may_have_run: None,
            ended: false,
        };
        self.messages.insert(id, message);
        self.reschedule(now, id);
        let targets = self.targets.range_mut((dest, None)..=(dest, Some(EndpointId::MAX)));
        targets.for_each(|(_, target)| target.accepted += 1);
    }

    /// Updates when a message is due, and when it expires unless something changes.
    fn reschedule(&mut self, now: Nanos, id: MsgId) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.ended) else { return };
        let last = self.last_chance(m);
        match m.out {
            Some(_) => self.schedule.on_sent(id, m.dest, m.deadline),
            None => self.schedule.on_waiting(now, id, m.dest, m.due, if last <= m.due { 0 } else { last }),
        }
    }

    /// After a change at a destination: it may be open again, and its messages may expire sooner.
    fn on_target_change(&mut self, now: Nanos, dest: DestId, min_latency_before: Nanos) {
        self.schedule.unpark(dest);
        if self.targets.get(&(dest, None)).is_some_and(|target| target.min_latency() > min_latency_before) {
            let held: Vec<MsgId> = self.schedule.held_for(dest).collect();
            held.into_iter().for_each(|id| self.reschedule(now, id));
        }
    }

    fn on_attempt_end(&mut self, now: Nanos, id: MsgId, outcome: Outcome, took: Nanos, closed: bool) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(out) = m.out.take() else { return };
        m.ended |= closed;
        if !outcome.never_ran() {
            let zone = self.endpoints.get(&out.endpoint).map_or(0, |e| e.zone);
            m.may_have_run = m.may_have_run.or(Some((out.sent, zone)));
        }
        if outcome == Outcome::Exhausted {
            m.attempts = m.attempts.max(self.settings.try_limit);
        }
        m.step = m.step.max(m.attempts);
        m.wait_for_doubled_time(now, self.t1);
        if let Some(queue) = m.key.filter(|_| outcome.may_still_run()).and_then(|k| self.keys.get_mut(&k)) {
            queue.rest_until = now + self.settings.rules.key_rest;
            self.key_rests.set(m.key.unwrap_or(0), queue.rest_until);
        }
        let ended = m.ended;
        // The slot is released by the outcome of the call's last message.
        let left = self.calls.get_mut(&out.call).map(|left| {
            *left -= 1;
            *left
        });
        if left == Some(0) {
            self.calls.remove(&out.call);
            if let Some(e) = self.endpoints.get_mut(&out.endpoint) {
                e.calls -= 1;
                if let Some(target) = self.targets.get_mut(&e.target) {
                    target.calls -= 1;
                    if target.calls == 0 {
                        self.busy.remove(&e.target);
                    }
                }
            }
        }
        if ended {
            self.finish(id);
        } else {
            self.reschedule(now, id);
        }
        let full_timeout = self.endpoints.get(&out.endpoint).and_then(|e| self.targets.get(&e.target));
        let full_timeout = full_timeout.map_or(took, |target| 2 * target.silence_timeout(self.t1, self.t1));
        self.observe(now, out.endpoint, outcome, took, full_timeout);
    }

    /// Updates the state of an endpoint and its target from an outcome.
    fn observe(&mut self, now: Nanos, endpoint: EndpointId, outcome: Outcome, took: Nanos, full: Nanos) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(target) = self.targets.get_mut(&e.target) else { return };
        let min_latency = target.min_latency();
        target.quiet_since = now;
        target.pending = target.pending.max(Pending::Deferred);
        match outcome {
            Outcome::Served => {
                (e.failures, e.success_at) = (0, now);
                let last_answer = target.success_at.max(target.failure_at.unwrap_or(0));
                target.record_success(now, took, &self.settings.rules);
                target.adjust_pace(last_answer, now, &self.settings);
            }
            Outcome::NotSent | Outcome::Exhausted => {}
            Outcome::Full(wait) => {
                // An explicit request: nothing is sent there, for any message, until the wait is over.
                let reopens_at = now.saturating_add(wait.unwrap_or(0));
                target.wait_until = target.wait_until.max(reopens_at);
                // By default a refusal counts as a full time-out. Where a limit is reported and calls
                // succeed, it only shows an excess over the limit. The pace handles that; counted as a
                // failure, it would lower p and starve messages that never ran. While most of the allowance
                // is left, also on average, a refusal is not an excess: the destination rejects everything,
                // or its queue is full for a moment. The second in a row counts as an outage at once, without
                // a free trial call.
                let suspect = target.is_suspect(now, &self.settings.rules);
                let spare = target.limit > 0.0 && target.share_left > 0.8 && target.avg_share_left > 0.5;
                target.failure_run += usize::from(spare);
                target.rejecting = spare && target.failure_run > 1;
                target.unanswered = false;
                let paced = target.limit > 0.0 && !target.rejecting && !suspect;
                if paced && !spare {
                    target.add_delay_sample(now, took as f64);
                } else {
                    target.record_failure(now, if paced { took } else { full }, &self.settings.rules);
                }
                if !spare {
                    target.reduce_pace(now, &self.settings, self.t1);
                }
                if target.rejecting && !suspect {
                    target.cold_budget.tokens = 0.0;
                }
                // An excess over a limit needs no such wait: the destination is down and returns cold when it
                // said.
                if reopens_at.saturating_sub(now) > self.settings.rules.fall {
                    target.begin_recovery(reopens_at, self.rng.next_f64());
                }
            }
            _ => {
                (e.failures, e.failure_at) = (e.failures + 1, now);
                target.unanswered = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
                target.failure_run += 1;
                target.record_failure(now, took, &self.settings.rules);
            }
        }
        let target = e.target;
        self.collect_pending(target);
        self.on_target_change(now, target.0, min_latency);
    }

    fn apply_report(&mut self, endpoint: EndpointId, report: Option<Report>) {
        let target = self.endpoints.get(&endpoint).and_then(|e| self.targets.get_mut(&e.target));
        if let (Some(target), Some(report)) = (target, report) {
            if target.limit == 0.0 {
                target.avg_share_left = report.share_left;
            }
            if target.limit > 0.0 && report.limit > 0.0 {
                target.pace *= report.limit / target.limit;
            }
            (target.limit, target.share_left) = (report.limit.max(0.0), report.share_left);
            target.avg_share_left += WEIGHT * (report.share_left - target.avg_share_left);
            if target.pace == 0.0 {
                target.pace = target.limit / self.settings.dispatchers.max(1) as f64;
            }
        }
    }

    fn apply_list(&mut self, now: Nanos, whole: bool, entries: &[Entry]) {
        self.subscribe_failures = 0;
        if whole {
            self.endpoints.values_mut().for_each(|e| e.ready = false);
            self.leaving.extend(self.endpoints.keys());
        }
        for entry in entries {
            let apart = self.settings.kinds.get(entry.kind).is_some_and(|k| k.apart);
            let target = (entry.dest, apart.then_some(entry.endpoint));
            let new_target = || Target { accepted_since: now, ..Target::default() };
            let t = self.targets.entry(target).or_insert_with(new_target);
            (t.weight, t.kind, t.listed_at) = (entry.weight.max(0.0), entry.kind, now);
            self.unlisted.remove(&target);
            let e = self.endpoints.entry(entry.endpoint).or_insert(Endpoint {
                target,
                zone: entry.zone,
                kind: entry.kind,
                ready: false,
                calls: 0,
                failures: 0,
                failure_at: 0,
                success_at: 0,
                peer_report: (0, false),
            });
            e.ready = entry.state == State::Ready;
            if e.ready {
                self.leaving.remove(&entry.endpoint)
            } else {
                self.leaving.insert(entry.endpoint)
            };
            self.by_dest.insert((entry.dest, entry.endpoint));
            self.schedule.unpark(entry.dest);
        }
        // A message is counted at every route but takes only one of them.
        for dest in entries.iter().map(|entry| entry.dest).collect::<BTreeSet<_>>() {
            let routes = (dest, Some(0))..=(dest, Some(EndpointId::MAX));
            let weights = self.targets.range(routes.clone()).map(|(_, target)| target.weight);
            let (all, count) = weights.fold((0.0, 0.0), |(all, count), weight| (all + weight, count + 1.0));
            for (_, target) in self.targets.range_mut(routes) {
                target.share_elsewhere = 1.0 - if all > 0.0 { target.weight / all } else { 1.0 / count };
            }
        }
        // Endpoints that are gone and idle are dropped; a call in flight keeps its endpoint until it ends.
        let (endpoints, by_dest, targets) = (&mut self.endpoints, &mut self.by_dest, &mut self.targets);
        let unlisted = &mut self.unlisted;
        self.leaving.retain(|id| {
            let Some(e) = endpoints.get(id).filter(|e| !e.ready && e.calls == 0) else { return true };
            let (dest, route) = e.target;
            by_dest.remove(&(dest, *id));
            endpoints.remove(id);
            let listed = by_dest.range((dest, 0)..=(dest, EndpointId::MAX)).next().is_some();
            let target = targets.get_mut(&(dest, route)).filter(|_| route.is_some() || !listed);
            if let Some(target) = target {
                target.listed_at = now;
                unlisted.insert((dest, route));
            }
            false
        });
        // So are destinations and routes without an endpoint, once their state no longer matters: no message
        // for them can be left, the wait is over and they would be warm. Otherwise the state of every route
        // would accumulate in a fleet whose endpoints are replaced all day.
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let span = longest.saturating_add(self.settings.rules.cold);
        unlisted.retain(|id| {
            let keep =
                targets.get(id).is_some_and(|t| t.listed_at.max(t.wait_until).saturating_add(span) > now);
            if !keep {
                targets.remove(id);
            }
            keep
        });
    }

    /// Marks a message as answered; it is kept until its attempt in flight has an outcome.
    fn finish(&mut self, id: MsgId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.ended = true;
        self.schedule.on_finished(id, m.dest);
        if m.out.is_some() {
            return;
        }
        if let Some((key, queue)) = m.key.and_then(|key| Some((key, self.keys.get_mut(&key)?))) {
            queue.messages.retain(|other| *other != id);
            if queue.messages.is_empty() && !self.key_rests.contains(key) {
                self.keys.remove(&key);
            }
        }
        self.messages.remove(&id);
    }

    /// Appends the actions that are due at `now`, with at most one wake-up request.
    pub fn decide(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.subscribe_at <= now {
            self.subscribe_at = NEVER;
            actions.push(Action::Subscribe);
        }
        self.fail_silent_targets(now);
        self.answer_expired(now, actions);
        self.fill_slots(now, actions);
        self.make_room(now, actions);
        while let Some(key) = self.key_rests.pop(now) {
            if self.keys.get(&key).is_some_and(|k| k.messages.is_empty()) {
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

    /// A destination that leaves all calls in flight unanswered for its silence time-out counts as failing,
    /// and again after each further time-out. Guards against silent and hung destinations filling the slots,
    /// and against an average that stays low because no answers arrive. A long stall may be misread; the next
    /// success corrects that.
    fn fail_silent_targets(&mut self, now: Nanos) {
        let (unknown, mut failed) = (4 * self.t1, Vec::new());
        for id in &self.busy {
            let Some(target) = self.targets.get_mut(id) else { continue };
            let margin = target.silence_timeout(unknown, self.t1);
            if now.saturating_sub(target.quiet_since) >= margin {
                (target.quiet_since, target.unanswered) = (now, true);
                target.record_failure(now, margin, &self.settings.rules);
                failed.push(*id);
            }
        }
        for id in failed {
            self.collect_pending(id);
            self.schedule.unpark(id.0);
        }
    }

    /// The latest time at which another attempt of this message is useful and allowed.
    fn last_chance(&self, m: &Message) -> Nanos {
        let class = &self.settings.classes[m.class];
        let min_latency = self.targets.get(&(m.dest, None)).map_or(0, Target::min_latency);
        let in_time = m.deadline.saturating_sub(min_latency.max(2 * self.settings.tick));
        match (class.effect, m.may_have_run) {
            _ if m.attempts >= self.settings.try_limit => 0,
            (Effect::Unsafe, Some(_)) => 0,
            (Effect::Keyed { window, .. }, Some((sent, _))) => {
                in_time.min(sent.saturating_add(window).saturating_sub(self.settings.tick))
            }
            _ => in_time,
        }
    }

    /// Gives the final answer: a refusal where resubmitting is provably harmless, else a failure.
    fn answer(&mut self, now: Nanos, id: MsgId, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.ended) else { return };
        let repeatable = match self.settings.classes[m.class].effect {
            Effect::Safe => true,
            Effect::Keyed { zone_only, .. } => !zone_only,
            Effect::Unsafe => false,
        };
        let harmless = repeatable || (m.may_have_run.is_none() && m.out.is_none());
        let wait = self.retry_after(now, m.dest);
        actions.push(if harmless { Action::Refuse { id, wait } } else { Action::Fail { id } });
        self.finish(id);
    }

    /// How long the client of an abandoned message should wait: the longer of the remaining requested wait
    /// and the gap to the next trial call (one T1 without failed trials), and at most what clients honor.
    fn retry_after(&self, now: Nanos, dest: DestId) -> Nanos {
        let target = self.targets.get(&(dest, None));
        let wait = target.map_or(0, |t| t.wait_until.saturating_sub(now));
        let gap = self.t1.saturating_mul(target.map_or(1, |t| 1 << t.failed_trials.min(20)));
        wait.max(gap.min(self.settings.rules.fall)).min(self.settings.max_retry_after)
    }

    /// Whether an endpoint of this destination is, or recently was, listed.
    pub fn knows_destination(&self, dest: DestId) -> bool {
        self.targets.range((dest, None)..=(dest, Some(EndpointId::MAX))).next().is_some()
    }

    /// How long a client should wait whose message was refused because the queue is full.
    pub fn retry_after_hint(&self, now: Nanos, dest: DestId) -> Nanos {
        self.retry_after(now, dest)
    }

    /// Answers messages that have no attempt left or whose deadline has passed.
    fn answer_expired(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for id in self.schedule.take_due_alarms(now) {
            let Some(m) = self.messages.get(&id) else { continue };
            let expired =
                if m.out.is_some() { m.deadline <= now } else { self.last_chance(m) <= m.due.max(now) };
            if expired {
                self.answer(now, id, actions);
            } else {
                self.reschedule(now, id);
            }
        }
    }

    /// Share of its worth that a message still earns if delivered at `at`.
    fn worth_at(&self, m: &Message, at: Nanos) -> f64 {
        let class = &self.settings.classes[m.class];
        if at >= m.deadline {
            return 0.0;
        }
        let late = at.saturating_sub(m.aim_at) as f64;
        let span = class.deadline.saturating_sub(class.aim).max(1) as f64;
        match self.settings.late {
            LateDecay::Even => 1.0 - (1.0 - class.late_worth) * (late / span).min(1.0),
            LateDecay::Halves => 0.5f64.powf(late / class.aim.max(1) as f64).max(class.late_worth),
        }
    }

    /// Priority of a waiting message: the worth that would be lost by waiting; lower comes first.
    fn rank(&self, now: Nanos, m: &Message) -> (f64, Nanos) {
        let loss = self.worth_at(m, now) - self.worth_at(m, now.saturating_add(4 * self.t1));
        (-loss * self.settings.classes[m.class].worth, m.aim_at)
    }

    /// Messages by rank: the best is popped first, of equals the newest. Each rank is computed once.
    fn ranked(&self, now: Nanos, ids: impl Iterator<Item = MsgId>) -> BinaryHeap<(Reverse<Rank>, MsgId)> {
        ids.filter_map(|id| Some((Reverse(Rank(self.rank(now, self.messages.get(&id)?))), id))).collect()
    }

    /// Whether a decided send may still be written. Checked again once the connection is established:
    /// meanwhile the endpoint may have been drained, a wait requested, or a time limit passed.
    pub fn may_still_send(&self, now: Nanos, id: MsgId) -> bool {
        let Some(m) = self.messages.get(&id).filter(|m| !m.ended) else { return false };
        let Some(out) = m.out else { return false };
        let Some(e) = self.endpoints.get(&out.endpoint) else { return false };
        let window = match (self.settings.classes[m.class].effect, m.may_have_run) {
            (Effect::Keyed { window, .. }, Some((sent, _))) => {
                sent.saturating_add(window).saturating_sub(self.settings.tick)
            }
            _ => NEVER,
        };
        // A borrowed rate share that has expired since the decision no longer permits the send.
        let expired = |t: &Target| {
            let part = t.rate_share.filter(|p| p.until <= now).map_or(0, |p| p.until);
            out.sent < part.max(t.share_ended_at)
        };
        let closed = self.targets.get(&e.target).is_none_or(|t| t.wait_until > now || expired(t));
        e.ready && !closed && now < m.deadline.min(window)
    }

    /// Whether the message itself permits an attempt, apart from its due time: key order, key rest, one
    /// attempt at a time.
    fn may_go(&self, now: Nanos, id: MsgId) -> bool {
        let Some(m) = self.messages.get(&id) else { return false };
        if m.ended || m.out.is_some() || self.last_chance(m) <= now {
            return false;
        }
        m.key
            .and_then(|key| self.keys.get(&key))
            .is_none_or(|k| k.messages.front() == Some(&id) && (m.attempts > 0 || k.rest_until <= now))
    }

    /// Picks an endpoint: listed as ready, open for sending and in the given zone; preferably without recent
    /// failures, then with the fewest calls in flight.
    fn pick_endpoint(&mut self, now: Nanos, dest: DestId, zone: Option<usize>) -> Option<EndpointId> {
        let (settings, t1, stops_at, targets) = (&self.settings, self.t1, self.stops_at, &mut self.targets);
        let of_dest = self.by_dest.range((dest, 0)..=(dest, EndpointId::MAX));
        let of_dest = of_dest.filter_map(|(_, id)| Some((id, self.endpoints.get(id)?)));
        let fits = of_dest.filter(|(_, e)| {
            e.ready
                && zone.is_none_or(|z| z == e.zone)
                && (e.peer_report.0 <= now || e.calls == 0)
                && targets.get_mut(&e.target).is_some_and(|t| {
                    // Does not send what the process could not see through to its end: an attempt without an
                    // outcome means failure for an unsafe message.
                    now.saturating_add(t.silence_timeout(2 * t1, t1)) < stops_at
                        && t.closed_until(now, settings, t1).is_none()
                })
        });
        fits.min_by_key(|(_, e)| {
            let failed_recently = e.failures > 0 && now < doubled_time(e.failure_at, t1, e.failures.min(6));
            let avoided = e.peer_report.1 && e.peer_report.0 > now;
            (if failed_recently { e.failures } else { 0 }.max(avoided.into()), e.calls, NEVER - e.success_at)
        })
        .map(|(id, _)| *id)
    }

    fn bundle(&self, kind: usize) -> usize {
        self.settings.kinds.get(kind).map_or(1, |k| k.bundle.max(1))
    }

    /// Assigns free slots to waiting destinations: fewest calls in flight first, then lowest slot time per
    /// message (in powers of two of the average latency over the bundle size), then round-robin. With few
    /// slots, round-robin alone lets slow or failing destinations take most of the time. A slow destination
    /// may starve.
    fn fill_slots(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.schedule.advance(now);
        if self.calls.len() >= self.settings.slots {
            return;
        }
        let open: Vec<DestId> = self.schedule.open().collect();
        let mut turns: BTreeSet<_> =
            open.iter().filter_map(|dest| Some((self.slot_order(now, *dest, None)?, *dest))).collect();
        let mut queues: BTreeMap<DestId, BinaryHeap<_>> = BTreeMap::new();
        while self.calls.len() < self.settings.slots {
            let Some((_, dest)) = turns.pop_first() else { return };
            // Parks a closed destination until it may be open, so that its messages are not ranked in vain.
            let Some(open) = self.pick_endpoint(now, dest, None) else {
                let until = self.closed_for(now, dest);
                self.schedule.park(dest, until);
                continue;
            };
            let queue = queues.entry(dest).or_insert_with(|| {
                self.ranked(now, self.schedule.ready_for(dest).filter(|id| self.may_go(now, *id)))
            });
            let Some((_, id)) = queue.pop() else { continue };
            let zone = self.zone_of(id);
            let endpoint = if zone.is_none() { Some(open) } else { self.pick_endpoint(now, dest, zone) };
            if let Some(endpoint) = endpoint {
                self.try_send(now, id, endpoint, queues.get_mut(&dest), actions);
            }
            let left = queues.get(&dest).map_or(0, BinaryHeap::len);
            turns.extend(self.slot_order(now, dest, Some(left)).map(|turn| (turn, dest)));
        }
    }

    /// Sends a due message and others in the same call, unless it is a retry that p suppresses.
    fn try_send(
        &mut self,
        now: Nanos,
        id: MsgId,
        endpoint: EndpointId,
        queue: Option<&mut BinaryHeap<(Reverse<Rank>, MsgId)>>,
        actions: &mut Vec<Action>,
    ) {
        if self.skip_retry(now, id, endpoint) {
            if self.last_chance(&self.messages[&id]) <= self.messages[&id].due {
                self.answer(now, id, actions);
            }
            return;
        }
        self.next_call += 1;
        self.send(now, id, endpoint, actions);
        // A call carries as many waiting messages as the kind allows and counts once against limit and slots.
        // Since the call is made anyway, a retry is added without a draw, and before it is due while it has
        // more than half of its attempts left. All of them share the call's outcome.
        let (dest, zone) = (self.endpoints[&endpoint].target.0, self.endpoints[&endpoint].zone);
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
                let m = &self.messages[id];
                m.due > now && m.attempts < self.settings.try_limit / 2 && self.may_go(now, *id)
            };
            let mut retries: Vec<MsgId> = self.schedule.held_for(dest).filter(early).collect();
            for next in retries.drain(retries.len().saturating_sub(places)..).rev() {
                if fits(self, next) {
                    self.send(now, next, endpoint, actions);
                }
            }
        }
    }

    /// Sort key of a destination that waits for a slot, given the messages left; `None` if there are none.
    fn slot_order(&self, now: Nanos, dest: DestId, left: Option<usize>) -> Option<(usize, u32, u64)> {
        let targets = || self.targets.range((dest, None)..=(dest, Some(EndpointId::MAX))).map(|(_, t)| t);
        let most = targets().map(|t| self.bundle(t.kind)).max().unwrap_or(1);
        let left = left.unwrap_or_else(|| {
            self.schedule.ready_for(dest).filter(|id| self.may_go(now, *id)).take(most).count()
        });
        let position = targets().fold((0, 0, 0), |(calls, time, turn), t| {
            let each =
                (t.min_latency() as f64 + t.decayed_delay(now)) / left.clamp(1, self.bundle(t.kind)) as f64;
            (calls + t.calls, time.max((each as Nanos).checked_ilog2().unwrap_or(0)), turn.max(t.last_call))
        });
        (left > 0).then_some(position)
    }

    /// Until when a closed destination stays closed. The budget of a recovering destination grows with time,
    /// so estimates that depend on it are checked again after one T1.
    fn closed_for(&mut self, now: Nanos, dest: DestId) -> Nanos {
        let (settings, t1) = (&self.settings, self.t1);
        let targets = self.targets.range_mut((dest, None)..=(dest, Some(EndpointId::MAX)));
        let closed = targets.filter_map(|(_, target)| {
            let until = target.closed_until(now, settings, t1)?;
            let exact = target.wait_until > now || until == NEVER;
            Some(if exact { until } else { until.min(now.saturating_add(t1)) })
        });
        closed.min().unwrap_or(NEVER)
    }

    /// The zone to which a keyed message is bound once it may have run.
    fn zone_of(&self, id: MsgId) -> Option<usize> {
        let m = &self.messages[&id];
        let bound = matches!(self.settings.classes[m.class].effect, Effect::Keyed { zone_only: true, .. });
        m.may_have_run.filter(|_| bound).map(|(_, zone)| zone)
    }

    /// Draws whether a due retry is sent, with probability p; if not, moves it to its next backoff time.
    fn skip_retry(&mut self, now: Nanos, id: MsgId, endpoint: EndpointId) -> bool {
        let Some(m) = self.messages.get_mut(&id).filter(|m| m.attempts > 0) else { return false };
        let target = self.endpoints.get(&endpoint).and_then(|e| self.targets.get(&e.target));
        let p = retry_probability(target.map_or(0.0, |t| t.decayed_delay(now)), self.t1);
        if f64::from(self.rng.next_u32()) < p * 4_294_967_296.0 {
            return false;
        }
        m.wait_for_doubled_time(now + 1, self.t1);
        self.reschedule(now, id);
        true
    }

    /// Sends one message in the newest call; the first message of a bundle opens the call.
    fn send(&mut self, now: Nanos, id: MsgId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let (Some(m), Some(e)) = (self.messages.get_mut(&id), self.endpoints.get_mut(&endpoint)) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&e.target) else { return };
        let call = self.next_call;
        let in_call = self.calls.entry(call).or_default();
        if *in_call == 0 {
            if target.calls == 0 {
                target.quiet_since = now;
            }
            e.calls += 1;
            target.calls += 1;
            self.busy.insert(e.target);
            // Own send rate, averaged over `rules.fall`.
            let window = self.settings.rules.fall.max(1) as f64;
            let passed = now.saturating_sub(target.last_sent_at) as f64 / window;
            target.send_rate = target.send_rate * (-passed).exp() + SECOND / window;
            target.last_sent_at = now;
            target.cold_budget.tokens = (target.cold_budget.tokens - 1.0).max(0.0);
            target.pace_bucket.tokens -= 1.0;
            target.share_bucket.tokens -= 1.0;
            target.last_call = call;
        }
        *in_call += 1;
        if m.attempts == 0 {
            m.first_sent = now;
        }
        m.attempts += 1;
        m.out = Some(Attempt { endpoint, call, sent: now });
        // Twice the silence time-out, and four times where no other attempt is allowed. Without this bound a
        // silent destination would hold the slots of its unsafe messages until their deadline, for answers
        // that never come.
        let left = m.deadline.saturating_sub(now);
        let early = (2 * target.silence_timeout(4 * self.t1, self.t1)).max(2 * self.t1);
        let again =
            self.settings.classes[m.class].effect != Effect::Unsafe && m.attempts < self.settings.try_limit;
        let timeout = left.min(if again { early } else { 2 * early });
        actions.push(Action::Send { id, endpoint, timeout });
        self.schedule.on_sent(id, m.dest, m.deadline);
    }

    /// Keeps room in the queue, which refuses new messages when full: the destination with the longest queue
    /// gives up its lowest-ranked messages. Guards against dead or slow destinations filling the queue at the
    /// expense of healthy ones. Some messages are refused early that a short outage would only have delayed.
    fn make_room(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let room = self.settings.hold / 16 + 1;
        let mut over = (self.schedule.held() + room).saturating_sub(self.settings.hold);
        if over == 0 {
            return;
        }
        let mut queues: BTreeMap<DestId, Vec<MsgId>> = BTreeMap::new();
        for (id, m) in self.messages.iter().filter(|(_, m)| !m.ended && m.out.is_none()) {
            let doubt = m.may_have_run.is_some() && self.settings.classes[m.class].effect != Effect::Safe;
            if !doubt {
                queues.entry(m.dest).or_default().push(*id);
            }
        }
        let mut lengths: BTreeSet<(usize, DestId)> = queues.iter().map(|(d, ids)| (ids.len(), *d)).collect();
        let mut sorted = BTreeSet::new();
        while let Some((length, dest)) = lengths.pop_last().filter(|_| over > 0) {
            let Some(ids) = queues.get_mut(&dest) else { return };
            if sorted.insert(dest) {
                ids.sort_by_cached_key(|id| Rank(self.rank(now, &self.messages[id])));
            }
            let Some(id) = ids.pop() else { return };
            self.answer(now, id, actions);
            over -= 1;
            lengths.insert((length - 1, dest));
        }
    }

    /// The next time at which something is due without an event.
    fn next_wake(&mut self, now: Nanos) -> Nanos {
        let quiet = self.busy.iter().filter_map(|id| self.targets.get(id));
        let quiet = quiet.map(|target| target.quiet_since + target.silence_timeout(4 * self.t1, self.t1));
        let all = quiet.chain([self.subscribe_at, self.schedule.next()]).chain(self.key_rests.first());
        all.filter(|at| *at > now).min().unwrap_or(NEVER)
    }
}
