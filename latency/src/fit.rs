//! The estimates: functions and workers told apart, and the verdicts.
//!
//! Invariants: cells, functions and workers are bounded; nothing hangs on any order but that of names and of time.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use crate::cell::{Cell, NOTHING, variance};
use crate::{Nanos, SECOND};

/// Pairs of function and worker that are kept; what is new beyond is not learnt before older ones have gone.
const MOST_CELLS: usize = 16_384;
/// Workers that are kept.
const MOST_WORKERS: usize = 1_024;
/// It is worked out no more often than this.
const PAUSE: Nanos = SECOND / 4;
/// Rounds of working out; the next time goes on from where this one has ended.
const ROUNDS: usize = 4;
/// Variance of workers' parts that is taken before anything is known: two of three are within 1.8 times of the usual.
const WORKERS: f64 = 0.36;
/// Variance that instances of one function have among themselves by nature: an instance is no worker.
const INSTANCES: f64 = 0.0144;
/// How sure a verdict is to be, in standard deviations.
const SURE: f64 = 3.0;
/// log 1.1: what a verdict is sure of.
const SURELY: f64 = 0.095;
/// log 1.45: slow is a worker on which work takes so much longer than on the reference,
const SLOW: f64 = 0.372;
/// log 1.55: ... and for one function, whose instances may differ by 1.5 by nature, where it takes so much longer,
const SLOW_FOR_ONE: f64 = 0.438;
/// log 1.2: ... and it stays so until it takes less than this.
const FINE: f64 = 0.182;
/// The reference is the worker behind which so many of all stand: where half are slow, the other half.
const REFERENCE: f64 = 0.25;
/// Workers of which less is known than this variance are no reference.
const KNOWN: f64 = 0.12;

#[derive(Debug, Default)]
struct Function {
    cells: BTreeMap<u16, Cell>,
    level: f64,
    variance: f64,
}

#[derive(Debug)]
struct Worker {
    name: CompactString,
    /// Its part, and the variance of what is known of it.
    part: f64,
    variance: f64,
    /// Functions that tell of it.
    functions: u32,
    slow: bool,
    seen: Nanos,
}

/// What is expected of a function on a worker, against the reference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeLatency {
    /// log(time there / time on the reference).
    pub log_ratio: f64,
    /// The standard deviation of that.
    pub std_dev: f64,
}

impl RelativeLatency {
    /// How many times as long it takes.
    pub fn ratio(&self) -> f64 {
        self.log_ratio.exp()
    }

    /// It takes longer there than at another place by more than this factor, so surely, in standard deviations.
    pub fn is_slower_than(&self, other: &RelativeLatency, times: f64, sure: f64) -> bool {
        self.log_ratio - other.log_ratio - sure * self.std_dev.hypot(other.std_dev) >= times.ln()
    }
}

/// Running estimates. See the crate's page.
#[derive(Debug, Default)]
pub struct LatencyModel {
    functions: BTreeMap<CompactString, Function>,
    workers: Vec<Option<Worker>>,
    places: HashMap<CompactString, u16>,
    cells: usize,
    settled: Nanos,
    news: bool,
    reference: f64,
}

impl LatencyModel {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// A whole answer came from an instance of `function` on `worker`, after so long. Errors say nothing of speed and do not come here.
    pub fn observe(&mut self, now: Nanos, function: &str, worker: &str, took: Nanos) {
        if worker.is_empty() || took == 0 {
            return;
        }
        let log = (took as f64).ln();
        let Some(at) = self.place(now, worker) else { return };
        if !self.functions.contains_key(function) {
            self.functions.insert(function.into(), Function::default());
        }
        let Some(of) = self.functions.get_mut(function) else { return };
        self.news = true;
        match of.cells.get_mut(&at) {
            Some(cell) => cell.saw(now, log),
            None if self.cells < MOST_CELLS => {
                self.cells += 1;
                of.cells.insert(at, Cell::new(now, log));
            }
            None => {}
        }
    }

    fn place(&mut self, now: Nanos, name: &str) -> Option<u16> {
        if let Some(at) = self.places.get(name).copied() {
            if let Some(Some(worker)) = self.workers.get_mut(at as usize) {
                worker.seen = worker.seen.max(now);
            }
            return Some(at);
        }
        let free = self.workers.iter().position(Option::is_none);
        let at = match free {
            Some(at) => at,
            None if self.workers.len() < MOST_WORKERS => {
                self.workers.push(None);
                self.workers.len() - 1
            }
            None => return None,
        };
        let name = CompactString::from(name);
        self.places.insert(name.clone(), at as u16);
        let new = Worker { name, part: 0.0, variance: WORKERS, functions: 0, slow: false, seen: now };
        self.workers[at] = Some(new);
        Some(at as u16)
    }

    /// Works out what was seen. False where that was done a moment ago, or nothing new has come since.
    pub fn update(&mut self, now: Nanos) -> bool {
        if now < self.settled + PAUSE || !self.news && now < self.settled + 4 * SECOND {
            return false;
        }
        (self.settled, self.news) = (now, false);
        self.forget(now);
        for _ in 0..ROUNDS {
            self.level(now);
            self.weigh(now);
        }
        self.judge(now);
        true
    }

    /// What has faded goes; where there is hardly room left, the oldest goes as well.
    fn forget(&mut self, now: Nanos) {
        let mut before = 0;
        if self.cells > MOST_CELLS / 8 * 7 {
            let mut ages: Vec<_> =
                self.functions.values().flat_map(|f| f.cells.values()).map(|c| c.at).collect();
            let (_, oldest, _) = ages.select_nth_unstable(MOST_CELLS / 8);
            before = *oldest;
        }
        for function in self.functions.values_mut() {
            function.cells.retain(|_, cell| cell.at >= before && cell.weight(now) >= NOTHING);
        }
        self.functions.retain(|_, function| !function.cells.is_empty());
        self.cells = self.functions.values().map(|f| f.cells.len()).sum();
        let mut told = vec![0; self.workers.len()];
        self.functions.values().flat_map(|f| f.cells.keys()).for_each(|at| told[*at as usize] += 1);
        for (place, functions) in self.workers.iter_mut().zip(told) {
            match place {
                Some(worker) if functions == 0 => {
                    self.places.remove(&worker.name);
                    *place = None;
                }
                Some(worker) => worker.functions = functions,
                None => {}
            }
        }
    }

    fn part(&self, at: u16) -> (f64, f64) {
        let worker = self.workers.get(at as usize).and_then(Option::as_ref);
        worker.map_or((0.0, WORKERS), |worker| (worker.part, worker.variance))
    }

    /// Each function's level, with its workers' parts taken off.
    fn level(&mut self, now: Nanos) {
        let parts: Vec<f64> = (0..self.workers.len()).map(|at| self.part(at as u16).0).collect();
        for function in self.functions.values_mut() {
            let squares = function.cells.values().map(|c| c.squares(now));
            function.variance = variance(squares.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1)));
            let (mut sum, mut weights) = (0.0, 0.0);
            for (at, cell) in &function.cells {
                let weight = 1.0 / noise(function.variance, cell, now);
                sum += weight * (cell.mean - parts[*at as usize]);
                weights += weight;
            }
            function.level = sum / weights;
        }
    }

    /// Each worker's part: by each function that was seen there, against that function's level *elsewhere*. A function that was seen
    /// nowhere else tells nothing, and functions that do not agree tell little.
    fn weigh(&mut self, now: Nanos) {
        let mut told: Vec<Vec<(f64, f64)>> = vec![Vec::new(); self.workers.len()];
        for function in self.functions.values().filter(|f| f.cells.len() > 1) {
            let weights: Vec<_> =
                function.cells.values().map(|c| 1.0 / noise(function.variance, c, now)).collect();
            let all: f64 = weights.iter().sum();
            for ((at, cell), weight) in function.cells.iter().zip(&weights) {
                let rest = all - weight;
                let own = cell.mean - self.part(*at).0;
                let elsewhere = (function.level * all - own * weight) / rest;
                told[*at as usize].push((cell.mean - elsewhere, 1.0 / weight + 1.0 / rest));
            }
        }
        for (place, told) in self.workers.iter_mut().zip(told) {
            let Some(worker) = place else { continue };
            let sum = |extra: f64| {
                told.iter().fold((0.0, 0.0), |(sum, weights), (more, variance)| {
                    let weight = 1.0 / (variance + extra);
                    (sum + weight * more, weights + weight)
                })
            };
            let (first, weights) = sum(0.0);
            let mean = first / weights.max(f64::MIN_POSITIVE);
            let beyond = told.iter().map(|(more, variance)| (more - mean).powi(2) - variance).sum::<f64>();
            let (sum, weights) = sum((beyond / told.len().max(1) as f64).max(0.0));
            worker.variance = 1.0 / (weights + 1.0 / WORKERS);
            // Half of the way: two workers that are known by one another alone would change places with each round.
            worker.part += (sum * worker.variance - worker.part) / 2.0;
        }
    }

    /// Who is slow against the reference, with a bar to leave that is lower than the one to enter.
    fn judge(&mut self, now: Nanos) {
        let known = self.workers.iter().flatten().filter(|w| w.variance <= KNOWN);
        let mut known: Vec<_> = known.map(|w| (w.part, w.variance)).collect();
        known.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let at = (known.len() as f64 * REFERENCE) as usize;
        let (reference, unsure) = known.get(at).copied().unwrap_or((0.0, WORKERS));
        self.reference = reference;
        let alone = known.len() < 2;
        for worker in self.workers.iter_mut().flatten() {
            let lag = RelativeLatency {
                log_ratio: worker.part - reference,
                std_dev: (worker.variance + unsure).sqrt(),
            };
            worker.slow = !alone && worker.functions > 1 && is_slow(&lag, worker.slow, SLOW);
        }
        let parts: Vec<_> = (0..self.workers.len()).map(|at| self.part(at as u16)).collect();
        for function in self.functions.values_mut() {
            let (level, variance, many) = (function.level, function.variance, function.cells.len() > 1);
            for (at, cell) in &mut function.cells {
                let lag = at_cell(level, variance, cell, parts[*at as usize], now);
                let lag = RelativeLatency {
                    log_ratio: lag.log_ratio - reference,
                    std_dev: lag.std_dev.hypot(unsure.sqrt()),
                };
                cell.slow = many && !alone && is_slow(&lag, cell.slow, SLOW_FOR_ONE);
            }
        }
    }

    /// What is expected of a function on a worker, as last worked out. None where nothing is known of that worker.
    pub fn relative_latency(&self, function: &str, worker: &str) -> Option<RelativeLatency> {
        let at = *self.places.get(worker)?;
        let part = self.part(at);
        let of = self.functions.get(function);
        let lag = match of.and_then(|f| Some((f, f.cells.get(&at)?))) {
            Some((f, cell)) => at_cell(f.level, f.variance, cell, part, self.settled),
            None => RelativeLatency { log_ratio: part.0, std_dev: (part.1 + INSTANCES).sqrt() },
        };
        Some(RelativeLatency { log_ratio: lag.log_ratio - self.reference, ..lag })
    }

    /// The time that a function's work takes on a worker.
    pub fn expected_latency(&self, function: &str, worker: &str) -> Option<Nanos> {
        let level = self.functions.get(function)?.level;
        Some((level + self.reference + self.relative_latency(function, worker)?.log_ratio).exp() as Nanos)
    }

    /// The worker is slow, for all functions as far as is known.
    pub fn is_slow(&self, worker: &str) -> bool {
        let at = self.places.get(worker);
        at.is_some_and(|at| self.workers[*at as usize].as_ref().is_some_and(|w| w.slow))
    }

    /// The worker is slow for this function.
    pub fn is_slow_for(&self, function: &str, worker: &str) -> bool {
        let Some(at) = self.places.get(worker) else { return false };
        self.is_slow(worker)
            || self.functions.get(function).and_then(|f| f.cells.get(at)).is_some_and(|c| c.slow)
    }

    /// The workers that are slow for this function, in the order of their names.
    pub fn slow_workers(&self, function: &str) -> Vec<CompactString> {
        let all = self.workers.iter().flatten().filter(|w| self.is_slow_for(function, &w.name));
        let mut names: Vec<_> = all.map(|w| w.name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Pairs of function and worker that are kept.
    pub fn len(&self) -> usize {
        self.cells
    }

    /// Nothing is known.
    pub fn is_empty(&self) -> bool {
        self.cells == 0
    }
}

/// What a cell's mean is off by, as a variance: by chance, and by the nature of its instances.
fn noise(variance: f64, cell: &Cell, now: Nanos) -> f64 {
    variance / cell.worth(now) + INSTANCES
}

/// What was seen there weighs against what its worker lets expect.
fn at_cell(
    level: f64,
    variance: f64,
    cell: &Cell,
    (part, unsure): (f64, f64),
    now: Nanos,
) -> RelativeLatency {
    let (seen, guess) = (cell.worth(now) / variance, 1.0 / (unsure + INSTANCES));
    let log = ((cell.mean - level) * seen + part * guess) / (seen + guess);
    RelativeLatency { log_ratio: log, std_dev: (1.0 / (seen + guess)).sqrt() }
}

fn is_slow(lag: &RelativeLatency, already: bool, bar: f64) -> bool {
    if already {
        lag.log_ratio >= FINE
    } else {
        lag.log_ratio >= bar && lag.log_ratio - SURE * lag.std_dev >= SURELY
    }
}
