//! Owner's view of one instance: outstanding permits, latency and health.

mod slot_limit;

use std::collections::VecDeque;

use compact_str::CompactString;
use millpost::retry_probability;

use crate::{MS, Nanos, Outcome, SECOND};
use slot_limit::SlotLimit;
use xxhash_rust::xxh3::xxh3_64;

/// Weight of a new sample in the averages (w_q in the paper).
const WEIGHT: f64 = 0.2;
/// The baseline is the lowest average of the current and the previous span of this length.
const BASELINE_SPAN: Nanos = 5 * SECOND;

/// Holder of the permits by which a new owner learns of requests that run without a permit. Not a valid proxy name.
pub(crate) const UNACCOUNTED_HOLDER: &str = "?";
/// Request ids are sent as JSON numbers, which are exact up to 2^53.
const UNACCOUNTED_ID_SHIFT: u32 = 12;

/// Number of recent callers remembered per instance.
const MAX_RECENT_CALLERS: usize = 32;

/// Lifecycle stage of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Not yet accepting connections.
    Booting,
    /// Accepting requests.
    Ready,
    /// Shutting down; receives no new requests.
    Draining,
}

/// An instance as listed by the controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Instance id, unique per start.
    pub id: CompactString,
    /// Name of its function.
    pub service: CompactString,
    /// Address and port.
    pub address: CompactString,
    /// Zone of the instance.
    pub zone: CompactString,
    /// Worker on which it runs.
    pub worker: CompactString,
    /// Lifecycle stage.
    pub stage: Stage,
}

/// Scheduling state of an instance.
#[derive(Debug)]
pub(crate) struct InstanceState {
    pub info: Instance,
    /// This proxy owns the instance; otherwise it only acts in place of the owner.
    pub owned: bool,
    /// The instance was running before this proxy became its owner: permits of others may be outstanding.
    pub inherited: bool,
    /// The instance has answered a request granted here while `inherited` or not owned.
    pub verified: bool,
    /// No grants until this time, because another proxy has filled the instance.
    pub yielded_until: Nanos,
    /// Outstanding permits: holder and request id.
    pub permits: Vec<(CompactString, u64)>,
    /// When it was first listed.
    pub first_seen: Nanos,
    /// Sequence number of the last grant.
    pub last_grant: u64,
    /// Recent callers, the latest one last.
    recent_callers: VecDeque<CompactString>,
    /// Time of the last request.
    pub last_used: Nanos,
    /// Receives no new requests and is retired once no permits are outstanding.
    pub draining: bool,
    /// Reported as retired.
    pub retired: bool,
    /// Found dead, rather than surplus.
    pub lost: bool,
    /// Time of the last report to the controller, which may have been lost.
    pub reported_at: Nanos,
    /// How much slower it is than others of its function, in rank steps; 0 if not significantly.
    pub latency_rank: u8,
    /// Its worker is slow for this function.
    pub on_slow_worker: bool,
    /// Limit on its slots after it rejected a request as full.
    slot_limit: SlotLimit,
    /// No grants before this time; grows with consecutive failures.
    pub backoff_until: Nanos,
    consecutive_failures: u32,
    /// Average latency in nanoseconds, starting at 0 (q_avg over μ in the design).
    mean_latency: f64,
    baselines: [Option<f64>; 2],
    baseline_start: Nanos,
}

impl InstanceState {
    pub fn new(info: Instance, owned: bool, now: Nanos) -> Self {
        let inherited = info.stage == Stage::Ready;
        InstanceState {
            info,
            owned,
            inherited,
            verified: false,
            yielded_until: 0,
            permits: Vec::new(),
            first_seen: now,
            last_grant: 0,
            recent_callers: VecDeque::new(),
            last_used: now,
            draining: false,
            retired: false,
            lost: false,
            reported_at: now,
            latency_rank: 0,
            on_slow_worker: false,
            slot_limit: SlotLimit::default(),
            backoff_until: 0,
            consecutive_failures: 0,
            mean_latency: 0.0,
            baselines: [None, None],
            baseline_start: now,
        }
    }

    /// Whether this caller used the instance recently and may still have a connection to it.
    pub fn recently_used_by(&self, caller: &str) -> bool {
        self.recent_callers.iter().any(|a| a == caller)
    }

    /// Records the caller of a new request.
    pub fn record_caller(&mut self, caller: &CompactString) {
        if self.recent_callers.back() != Some(caller) {
            self.recent_callers.retain(|a| a != caller);
            if self.recent_callers.len() >= MAX_RECENT_CALLERS {
                self.recent_callers.pop_front();
            }
            self.recent_callers.push_back(caller.clone());
        }
    }

    /// Number of usable slots out of `all`.
    pub fn usable_slots(&self, now: Nanos, all: usize) -> usize {
        self.slot_limit.usable(now, all)
    }

    /// Returns the slots out of `all` that it uses without a permit known here, as permits for its next owner: the
    /// request id, which is the same at each owner, and when the slot is to be used again. The limit on its
    /// slots ends here.
    pub fn take_unaccounted(&mut self, now: Nanos, all: usize) -> Vec<(u64, Nanos)> {
        let limit = std::mem::take(&mut self.slot_limit);
        let first_id = xxh3_64(self.info.id.as_bytes()) >> UNACCOUNTED_ID_SHIFT;
        limit.unusable_until(now, all).zip(first_id..).map(|(until, id)| (id, until)).collect()
    }

    /// Whether it can receive requests.
    pub fn is_available(&self) -> bool {
        self.info.stage == Stage::Ready && !self.draining && !self.retired
    }

    /// Whether it counts as running or starting.
    pub fn is_live(&self) -> bool {
        self.info.stage != Stage::Draining && !self.draining && !self.retired
    }

    /// Probability of sending a retry to it: 1 at the latency baseline, falling linearly to 0 at T1 above
    /// it.
    pub fn retry_probability(&self, t1: Nanos) -> f64 {
        let baseline = self.baselines.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        if baseline.is_infinite() {
            return 1.0;
        }
        retry_probability((self.mean_latency - baseline).max(0.0), t1)
    }

    /// Average latency in nanoseconds; `None` before the first answer.
    pub fn mean_latency(&self) -> Option<f64> {
        (self.mean_latency > 0.0).then_some(self.mean_latency)
    }

    fn record_latency(&mut self, now: Nanos, sample: f64) {
        self.mean_latency = if self.mean_latency == 0.0 {
            sample
        } else {
            self.mean_latency + WEIGHT * (sample - self.mean_latency)
        };
        if now >= self.baseline_start + BASELINE_SPAN {
            self.baselines =
                [None, self.baselines[0].filter(|_| now < self.baseline_start + 2 * BASELINE_SPAN)];
            self.baseline_start = now;
        }
        let baseline = self.baselines[0].get_or_insert(self.mean_latency);
        *baseline = baseline.min(self.mean_latency);
    }

    /// Whether connections to it have failed repeatedly.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= 2
    }

    /// Records the outcome of an attempt. A rejection as full counts as a full timeout T1; an attempt
    /// abandoned by its client is ignored.
    pub fn attempt_ended(&mut self, now: Nanos, outcome: Outcome, took: Nanos, t1: Nanos) {
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.record_latency(now, took as f64);
                (self.consecutive_failures, self.backoff_until) = (0, 0);
            }
            Outcome::Full => {
                let full = self.mean_latency + t1 as f64;
                self.record_latency(now, full);
                // A slot is taken that is not known here: pause briefly and leave that slot unused.
                self.backoff_until = now + 15 * MS;
                self.slot_limit.rejected(now, self.permits.len());
            }
            Outcome::NoAnswer | Outcome::TimedOut => {
                self.record_latency(now, (took as f64).max(self.mean_latency));
                self.consecutive_failures += 1;
                if self.consecutive_failures >= 2 {
                    self.backoff_until = now + 50 * MS * (1 << self.consecutive_failures.min(5));
                }
            }
            Outcome::Unreachable => {
                self.consecutive_failures += 1;
                self.backoff_until = now + 25 * MS * (1 << self.consecutive_failures.min(6));
            }
            Outcome::AddressReused | Outcome::Unused | Outcome::Abandoned => {}
        }
    }
}
