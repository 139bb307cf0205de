//! One instance of a function as its owner sees it: what is out there, how long it takes, whether it is well.

mod slot_limit;

use std::collections::VecDeque;

use compact_str::CompactString;
use millpost::retry_probability;

use crate::{MS, Nanos, Outcome, SECOND};
use slot_limit::SlotLimit;

/// Weight of a new sample in the averages (the paper's w_q).
const WEIGHT: f64 = 0.2;
/// The baseline is the lowest average of this span and the one before.
const BASELINE_SPAN: Nanos = 5 * SECOND;

/// Askers of an instance that are remembered.
const MAX_RECENT_CALLERS: usize = 32;

/// How far an instance's life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It refuses connections still.
    Booting,
    /// It works.
    Ready,
    /// It is leaving: nothing more goes there.
    Draining,
}

/// An instance as control tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The name of its life.
    pub id: CompactString,
    /// Its function.
    pub service: CompactString,
    /// Address and port.
    pub address: CompactString,
    /// Where it stands.
    pub zone: CompactString,
    /// The worker it stands on.
    pub worker: CompactString,
    /// How far its life has come.
    pub stage: Stage,
}

/// What the owner keeps of an instance.
#[derive(Debug)]
pub(crate) struct InstanceState {
    pub info: Instance,
    /// It belongs to what is owned here; else this stall stands in for its owner.
    pub owned: bool,
    /// It worked before this owner came: others may have permits for it out.
    pub inherited: bool,
    /// It has served a request that this stall gave it in its owner's place.
    pub verified: bool,
    /// Until then it is left to somebody else who has it full.
    pub yielded_until: Nanos,
    /// Permits that are out: who has them, and the asker's number.
    pub permits: Vec<(CompactString, u64)>,
    /// When it was first heard of.
    pub first_seen: Nanos,
    /// When a slot was last given.
    pub last_grant: u64,
    /// Who was here lately, the last one last.
    recent_callers: VecDeque<CompactString>,
    /// The last time a request was there.
    pub last_used: Nanos,
    /// It gets nothing more, and is stopped once nothing is out.
    pub draining: bool,
    /// It was told to be stopped.
    pub retired: bool,
    /// It was seen to be dead, rather than not needed.
    pub lost: bool,
    /// When control was told so last: it may not have heard.
    pub reported_at: Nanos,
    /// Others of its function surely end sooner: by how much, in steps.
    pub latency_rank: u8,
    /// Its worker is slow.
    pub on_slow_worker: bool,
    /// What is left of its slots after it was full by its own count.
    slot_limit: SlotLimit,
    /// Nothing goes there before; grows with failures in a row.
    pub backoff_until: Nanos,
    consecutive_failures: u32,
    /// Averaged latency in nanoseconds, starting at 0 (the design's q_avg over μ).
    mean_latency: f64,
    baselines: [Option<f64>; 2],
    baseline_start: Nanos,
}

impl InstanceState {
    pub fn new(of: Instance, mine: bool, now: Nanos) -> Self {
        let found = of.stage == Stage::Ready;
        InstanceState {
            info: of,
            owned: mine,
            inherited: found,
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

    /// This asker was here lately, and may have a connection still.
    pub fn recently_used_by(&self, asker: &str) -> bool {
        self.recent_callers.iter().any(|a| a == asker)
    }

    /// This asker comes.
    pub fn record_caller(&mut self, asker: &CompactString) {
        if self.recent_callers.back() != Some(asker) {
            self.recent_callers.retain(|a| a != asker);
            if self.recent_callers.len() >= MAX_RECENT_CALLERS {
                self.recent_callers.pop_front();
            }
            self.recent_callers.push_back(asker.clone());
        }
    }

    /// How many of all its slots may be used.
    pub fn usable_slots(&self, now: Nanos, all: usize) -> usize {
        self.slot_limit.usable(now, all)
    }

    /// Requests may go there.
    pub fn is_available(&self) -> bool {
        self.info.stage == Stage::Ready && !self.draining && !self.retired
    }

    /// It counts among those that the function has, or is about to have.
    pub fn is_live(&self) -> bool {
        self.info.stage != Stage::Draining && !self.draining && !self.retired
    }

    /// The probability with which a retry goes there: 1 at the baseline, falling linearly to 0 at T1 above it.
    pub fn retry_probability(&self, t1: Nanos) -> f64 {
        let floor = self.baselines.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        if floor.is_infinite() {
            return 1.0;
        }
        retry_probability((self.mean_latency - floor).max(0.0), t1)
    }

    /// Its averaged delay in nanoseconds; none before it has served.
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
        let floor = self.baselines[0].get_or_insert(self.mean_latency);
        *floor = floor.min(self.mean_latency);
    }

    /// Connections to it fail one after the other.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= 2
    }

    /// A try is over. A refusal as full counts as a full time-out, T1; what was given up by its client says nothing.
    pub fn attempt_ended(&mut self, now: Nanos, outcome: Outcome, took: Nanos, t1: Nanos) {
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.record_latency(now, took as f64);
                (self.consecutive_failures, self.backoff_until) = (0, 0);
            }
            Outcome::Full => {
                let full = self.mean_latency + t1 as f64;
                self.record_latency(now, full);
                // Somebody holds a slot that is not known here: a moment of rest, and that slot is left alone.
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
