//! One instance of a function as its owner sees it: what is out there, how long it takes, whether it is well.

mod narrow;

use std::collections::VecDeque;

use compact_str::CompactString;
use millpost::retry_probability;

use crate::{MS, Nanos, Outcome, SECOND};
use narrow::Narrow;

/// Weight of a new sample in the averages (the paper's w_q).
const WEIGHT: f64 = 0.2;
/// The baseline is the lowest average of this span and the one before.
const SPAN: Nanos = 5 * SECOND;

/// Askers of an instance that are remembered.
const ASKERS: usize = 32;

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
pub(crate) struct Place {
    pub of: Instance,
    /// It belongs to what is owned here; else this stall stands in for its owner.
    pub mine: bool,
    /// It worked before this owner came: others may have permits for it out.
    pub found: bool,
    /// It has served a request that this stall gave it in its owner's place.
    pub proven: bool,
    /// Until then it is left to somebody else who has it full.
    pub yielded: Nanos,
    /// Permits that are out: who has them, and the asker's number.
    pub out: Vec<(CompactString, u64)>,
    /// When it was first heard of.
    pub since: Nanos,
    /// When a slot was last given.
    pub turn: u64,
    /// Who was here lately, the last one last.
    askers: VecDeque<CompactString>,
    /// The last time a request was there.
    pub used: Nanos,
    /// It gets nothing more, and is stopped once nothing is out.
    pub leaving: bool,
    /// It was told to be stopped.
    pub retired: bool,
    /// It was seen to be dead, rather than not needed.
    pub lost: bool,
    /// When control was told so last: it may not have heard.
    pub told: Nanos,
    /// Others of its function surely end sooner: by how much, in steps.
    pub behind: u8,
    /// Its worker is slow.
    pub slow: bool,
    /// What is left of its slots after it was full by its own count.
    narrow: Narrow,
    /// Nothing goes there before; grows with failures in a row.
    pub shunned: Nanos,
    fails: u32,
    /// Averaged latency in nanoseconds, starting at 0 (the design's q_avg over μ).
    average: f64,
    floors: [Option<f64>; 2],
    floor_from: Nanos,
}

impl Place {
    pub fn new(of: Instance, mine: bool, now: Nanos) -> Self {
        let found = of.stage == Stage::Ready;
        Place {
            of,
            mine,
            found,
            proven: false,
            yielded: 0,
            out: Vec::new(),
            since: now,
            turn: 0,
            askers: VecDeque::new(),
            used: now,
            leaving: false,
            retired: false,
            lost: false,
            told: now,
            behind: 0,
            slow: false,
            narrow: Narrow::default(),
            shunned: 0,
            fails: 0,
            average: 0.0,
            floors: [None, None],
            floor_from: now,
        }
    }

    /// This asker was here lately, and may have a connection still.
    pub fn knows(&self, asker: &str) -> bool {
        self.askers.iter().any(|a| a == asker)
    }

    /// This asker comes.
    pub fn serves(&mut self, asker: &CompactString) {
        if self.askers.back() != Some(asker) {
            self.askers.retain(|a| a != asker);
            if self.askers.len() >= ASKERS {
                self.askers.pop_front();
            }
            self.askers.push_back(asker.clone());
        }
    }

    /// How many of all its slots may be used.
    pub fn slots_left(&self, now: Nanos, all: usize) -> usize {
        self.narrow.left_of(now, all)
    }

    /// Requests may go there.
    pub fn open(&self) -> bool {
        self.of.stage == Stage::Ready && !self.leaving && !self.retired
    }

    /// It counts among those that the function has, or is about to have.
    pub fn live(&self) -> bool {
        self.of.stage != Stage::Draining && !self.leaving && !self.retired
    }

    /// The probability with which a retry goes there: 1 at the baseline, falling linearly to 0 at T1 above it.
    pub fn chance(&self, t1: Nanos) -> f64 {
        let floor = self.floors.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        if floor.is_infinite() {
            return 1.0;
        }
        retry_probability((self.average - floor).max(0.0), t1)
    }

    /// Its averaged delay in nanoseconds; none before it has served.
    pub fn delay(&self) -> Option<f64> {
        (self.average > 0.0).then_some(self.average)
    }

    fn sample(&mut self, now: Nanos, sample: f64) {
        self.average =
            if self.average == 0.0 { sample } else { self.average + WEIGHT * (sample - self.average) };
        if now >= self.floor_from + SPAN {
            self.floors = [None, self.floors[0].filter(|_| now < self.floor_from + 2 * SPAN)];
            self.floor_from = now;
        }
        let floor = self.floors[0].get_or_insert(self.average);
        *floor = floor.min(self.average);
    }

    /// Connections to it fail one after the other.
    pub fn failing(&self) -> bool {
        self.fails >= 2
    }

    /// A try is over. A refusal as full counts as a full time-out, T1; what was given up by its client says nothing.
    pub fn over(&mut self, now: Nanos, outcome: Outcome, took: Nanos, t1: Nanos) {
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.sample(now, took as f64);
                (self.fails, self.shunned) = (0, 0);
            }
            Outcome::Full => {
                let full = self.average + t1 as f64;
                self.sample(now, full);
                // Somebody holds a slot that is not known here: a moment of rest, and that slot is left alone.
                self.shunned = now + 15 * MS;
                self.narrow.refused(now, self.out.len());
            }
            Outcome::NoAnswer | Outcome::TimedOut => {
                self.sample(now, (took as f64).max(self.average));
                self.fails += 1;
                if self.fails >= 2 {
                    self.shunned = now + 50 * MS * (1 << self.fails.min(5));
                }
            }
            Outcome::Unreachable => {
                self.fails += 1;
                self.shunned = now + 25 * MS * (1 << self.fails.min(6));
            }
            Outcome::AddressReused | Outcome::Unused | Outcome::Abandoned => {}
        }
    }
}
