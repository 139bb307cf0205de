//! Fits function levels and worker effects to the observations, and decides which workers are slow.
//!
//! Invariants: the numbers of cells, functions and workers are bounded; results depend on no order but that
//! of names and times.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use crate::cell::{Cell, NEGLIGIBLE_WEIGHT, variance};
use crate::{Nanos, SECOND};

/// The most pairs of function and worker. Beyond that, new pairs are ignored until older ones have been
/// dropped.
const MAX_CELLS: usize = 16_384;
/// The most workers.
const MAX_WORKERS: usize = 1_024;
/// The shortest time between two fits.
const UPDATE_EVERY: Nanos = SECOND / 4;
/// Iterations of one fit; the next fit continues from its result.
const ITERATIONS: usize = 4;
/// The prior variance of worker effects: two of three workers are within a factor of 1.8 of the average.
const WORKER_VARIANCE: f64 = 0.36;
/// The variance among instances of one function that is not due to their workers.
const INSTANCE_VARIANCE: f64 = 0.0144;
/// The confidence that a slow worker requires, in standard deviations.
const CONFIDENCE: f64 = 3.0;
/// log 1.1: the excess that must hold with that confidence.
const CERTAIN_EXCESS: f64 = 0.095;
/// log 1.45: a worker becomes slow if its latencies exceed the reference's by this much.
const SLOW_ABOVE: f64 = 0.372;
/// log 1.55: the same for a single function, whose instances may differ by a factor of 1.5 by nature.
const FUNCTION_SLOW_ABOVE: f64 = 0.438;
/// log 1.2: a slow worker stays slow until it is below this excess.
const FAST_BELOW: f64 = 0.182;
/// The quantile of worker effects that is the reference: if half of the workers are slow, it is among the
/// other half.
const REFERENCE_QUANTILE: f64 = 0.25;
/// Workers whose effect has a larger variance than this are not used for the reference.
const REFERENCE_MAX_VARIANCE: f64 = 0.12;

#[derive(Debug, Default)]
struct Function {
    /// By worker index.
    cells: BTreeMap<u16, Cell>,
    /// The fitted log(nanoseconds), without worker effects.
    level: f64,
    /// The variance of one observation.
    variance: f64,
}

#[derive(Debug)]
struct Worker {
    name: CompactString,
    /// The fitted effect on log(nanoseconds).
    effect: f64,
    /// The variance of the fitted effect.
    variance: f64,
    /// The number of functions observed on it.
    functions: u32,
    slow: bool,
    last_seen: Nanos,
}

/// The expected latency of a function on a worker, relative to the reference worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeLatency {
    /// log(latency on this worker / latency on the reference).
    pub log_ratio: f64,
    /// The standard deviation of `log_ratio`.
    pub std_dev: f64,
}

impl RelativeLatency {
    /// The factor by which the latency exceeds the reference's.
    pub fn ratio(&self) -> f64 {
        self.log_ratio.exp()
    }

    /// Whether this is slower than `other` by at least `factor`, with a confidence of `deviations` standard
    /// deviations.
    pub fn is_slower_than(&self, other: &RelativeLatency, factor: f64, deviations: f64) -> bool {
        self.log_ratio - other.log_ratio - deviations * self.std_dev.hypot(other.std_dev) >= factor.ln()
    }
}

/// The latency model. The crate's documentation describes its use.
#[derive(Debug, Default)]
pub struct LatencyModel {
    functions: BTreeMap<CompactString, Function>,
    workers: Vec<Option<Worker>>,
    /// Indices into `workers`, by name.
    indices: HashMap<CompactString, u16>,
    /// The number of cells of all functions.
    cells: usize,
    /// When the model was last fitted.
    updated_at: Nanos,
    /// Whether there are observations since the last fit.
    has_new: bool,
    /// The reference worker's effect.
    reference: f64,
}

impl LatencyModel {
    /// Creates a model without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the latency of a complete answer from an instance of `function` on `worker`. Errors must not be
    /// passed in: their latencies say nothing about speed.
    pub fn observe(&mut self, now: Nanos, function: &str, worker: &str, took: Nanos) {
        if worker.is_empty() || took == 0 {
            return;
        }
        let log = (took as f64).ln();
        let Some(at) = self.index_of(now, worker) else { return };
        if !self.functions.contains_key(function) {
            self.functions.insert(function.into(), Function::default());
        }
        let Some(function) = self.functions.get_mut(function) else { return };
        self.has_new = true;
        match function.cells.get_mut(&at) {
            Some(cell) => cell.observe(now, log),
            None if self.cells < MAX_CELLS => {
                self.cells += 1;
                function.cells.insert(at, Cell::new(now, log));
            }
            None => {}
        }
    }

    /// The index of a worker, which is added if there is room.
    fn index_of(&mut self, now: Nanos, name: &str) -> Option<u16> {
        if let Some(at) = self.indices.get(name).copied() {
            if let Some(Some(worker)) = self.workers.get_mut(at as usize) {
                worker.last_seen = worker.last_seen.max(now);
            }
            return Some(at);
        }
        let free = self.workers.iter().position(Option::is_none);
        let at = match free {
            Some(at) => at,
            None if self.workers.len() < MAX_WORKERS => {
                self.workers.push(None);
                self.workers.len() - 1
            }
            None => return None,
        };
        let name = CompactString::from(name);
        self.indices.insert(name.clone(), at as u16);
        let new = Worker {
            name,
            effect: 0.0,
            variance: WORKER_VARIANCE,
            functions: 0,
            slow: false,
            last_seen: now,
        };
        self.workers[at] = Some(new);
        Some(at as u16)
    }

    /// Fits the model. Returns false, without a fit, if the last one is too recent or there is nothing new.
    pub fn update(&mut self, now: Nanos) -> bool {
        if now < self.updated_at + UPDATE_EVERY || !self.has_new && now < self.updated_at + 4 * SECOND {
            return false;
        }
        (self.updated_at, self.has_new) = (now, false);
        self.forget_old(now);
        for _ in 0..ITERATIONS {
            self.fit_levels(now);
            self.fit_effects(now);
        }
        self.classify(now);
        true
    }

    /// Drops cells whose observations have decayed and, if seven eighths of the room are used, the oldest
    /// cells as well.
    fn forget_old(&mut self, now: Nanos) {
        let mut before = 0;
        if self.cells > MAX_CELLS / 8 * 7 {
            let mut times: Vec<_> =
                self.functions.values().flat_map(|f| f.cells.values()).map(|c| c.at).collect();
            let (_, nth_oldest, _) = times.select_nth_unstable(MAX_CELLS / 8);
            before = *nth_oldest;
        }
        for function in self.functions.values_mut() {
            function.cells.retain(|_, cell| cell.at >= before && cell.weight(now) >= NEGLIGIBLE_WEIGHT);
        }
        self.functions.retain(|_, function| !function.cells.is_empty());
        self.cells = self.functions.values().map(|f| f.cells.len()).sum();
        let mut counts = vec![0; self.workers.len()];
        self.functions.values().flat_map(|f| f.cells.keys()).for_each(|at| counts[*at as usize] += 1);
        for (slot, functions) in self.workers.iter_mut().zip(counts) {
            match slot {
                Some(worker) if functions == 0 => {
                    self.indices.remove(&worker.name);
                    *slot = None;
                }
                Some(worker) => worker.functions = functions,
                None => {}
            }
        }
    }

    /// A worker's effect and its variance.
    fn effect(&self, at: u16) -> (f64, f64) {
        let worker = self.workers.get(at as usize).and_then(Option::as_ref);
        worker.map_or((0.0, WORKER_VARIANCE), |worker| (worker.effect, worker.variance))
    }

    /// Fits each function's level, without its workers' effects.
    fn fit_levels(&mut self, now: Nanos) {
        let effects: Vec<f64> = (0..self.workers.len()).map(|at| self.effect(at as u16).0).collect();
        for function in self.functions.values_mut() {
            let squares = function.cells.values().map(|c| c.squared_deviations(now));
            function.variance = variance(squares.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1)));
            let (mut sum, mut weights) = (0.0, 0.0);
            for (at, cell) in &function.cells {
                let weight = 1.0 / mean_variance(function.variance, cell, now);
                sum += weight * (cell.mean - effects[*at as usize]);
                weights += weight;
            }
            function.level = sum / weights;
        }
    }

    /// Fits each worker's effect: for each function observed there, the difference to that function's level
    /// on *other* workers. A function observed on no other worker does not count, and functions that disagree
    /// count little.
    fn fit_effects(&mut self, now: Nanos) {
        let mut differences: Vec<Vec<(f64, f64)>> = vec![Vec::new(); self.workers.len()];
        for function in self.functions.values().filter(|f| f.cells.len() > 1) {
            let weights: Vec<_> =
                function.cells.values().map(|c| 1.0 / mean_variance(function.variance, c, now)).collect();
            let all: f64 = weights.iter().sum();
            for ((at, cell), weight) in function.cells.iter().zip(&weights) {
                let rest = all - weight;
                let own = cell.mean - self.effect(*at).0;
                let elsewhere = (function.level * all - own * weight) / rest;
                differences[*at as usize].push((cell.mean - elsewhere, 1.0 / weight + 1.0 / rest));
            }
        }
        for (slot, differences) in self.workers.iter_mut().zip(differences) {
            let Some(worker) = slot else { continue };
            let sum = |extra: f64| {
                differences.iter().fold((0.0, 0.0), |(sum, weights), (difference, variance)| {
                    let weight = 1.0 / (variance + extra);
                    (sum + weight * difference, weights + weight)
                })
            };
            let (first, weights) = sum(0.0);
            let mean = first / weights.max(f64::MIN_POSITIVE);
            // Variance among the functions beyond their own.
            let excess = differences
                .iter()
                .map(|(difference, variance)| (difference - mean).powi(2) - variance)
                .sum::<f64>();
            let (sum, weights) = sum((excess / differences.len().max(1) as f64).max(0.0));
            worker.variance = 1.0 / (weights + 1.0 / WORKER_VARIANCE);
            // Half a step: two workers that are compared only with each other would swap effects in each
            // iteration.
            worker.effect += (sum * worker.variance - worker.effect) / 2.0;
        }
    }

    /// Decides which workers are slow relative to the reference. The threshold to stop being slow is lower
    /// than the one to become slow.
    fn classify(&mut self, now: Nanos) {
        let known = self.workers.iter().flatten().filter(|w| w.variance <= REFERENCE_MAX_VARIANCE);
        let mut known: Vec<_> = known.map(|w| (w.effect, w.variance)).collect();
        known.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let at = (known.len() as f64 * REFERENCE_QUANTILE) as usize;
        let (reference, reference_variance) = known.get(at).copied().unwrap_or((0.0, WORKER_VARIANCE));
        self.reference = reference;
        // A single known worker can't be compared.
        let alone = known.len() < 2;
        for worker in self.workers.iter_mut().flatten() {
            let latency = RelativeLatency {
                log_ratio: worker.effect - reference,
                std_dev: (worker.variance + reference_variance).sqrt(),
            };
            worker.slow = !alone && worker.functions > 1 && is_slow(&latency, worker.slow, SLOW_ABOVE);
        }
        let effects: Vec<_> = (0..self.workers.len()).map(|at| self.effect(at as u16)).collect();
        for function in self.functions.values_mut() {
            let (level, variance, comparable) = (function.level, function.variance, function.cells.len() > 1);
            for (at, cell) in &mut function.cells {
                let latency = cell_latency(level, variance, cell, effects[*at as usize], now);
                let latency = RelativeLatency {
                    log_ratio: latency.log_ratio - reference,
                    std_dev: latency.std_dev.hypot(reference_variance.sqrt()),
                };
                cell.slow = comparable && !alone && is_slow(&latency, cell.slow, FUNCTION_SLOW_ABOVE);
            }
        }
    }

    /// The expected latency of a function on a worker, relative to the reference, from the last fit. `None`
    /// if the worker is unknown.
    pub fn relative_latency(&self, function: &str, worker: &str) -> Option<RelativeLatency> {
        let at = *self.indices.get(worker)?;
        let effect = self.effect(at);
        let known = self.functions.get(function);
        let latency = match known.and_then(|f| Some((f, f.cells.get(&at)?))) {
            Some((f, cell)) => cell_latency(f.level, f.variance, cell, effect, self.updated_at),
            None => RelativeLatency { log_ratio: effect.0, std_dev: (effect.1 + INSTANCE_VARIANCE).sqrt() },
        };
        Some(RelativeLatency { log_ratio: latency.log_ratio - self.reference, ..latency })
    }

    /// The expected latency of a function on a worker. `None` if either is unknown.
    pub fn expected_latency(&self, function: &str, worker: &str) -> Option<Nanos> {
        let level = self.functions.get(function)?.level;
        Some((level + self.reference + self.relative_latency(function, worker)?.log_ratio).exp() as Nanos)
    }

    /// Whether the worker is slow for all functions.
    pub fn is_slow(&self, worker: &str) -> bool {
        let at = self.indices.get(worker);
        at.is_some_and(|at| self.workers[*at as usize].as_ref().is_some_and(|w| w.slow))
    }

    /// Whether the worker is slow for this function.
    pub fn is_slow_for(&self, function: &str, worker: &str) -> bool {
        let Some(at) = self.indices.get(worker) else { return false };
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

    /// The number of pairs of function and worker.
    pub fn len(&self) -> usize {
        self.cells
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.cells == 0
    }
}

/// The variance of a cell's mean: sampling variance plus the variance among instances.
fn mean_variance(variance: f64, cell: &Cell, now: Nanos) -> f64 {
    variance / cell.effective_count(now) + INSTANCE_VARIANCE
}

/// Combines a cell's observations with the effect of its worker, weighted by their precisions.
fn cell_latency(
    level: f64,
    variance: f64,
    cell: &Cell,
    (effect, effect_variance): (f64, f64),
    now: Nanos,
) -> RelativeLatency {
    let (observed, expected) =
        (cell.effective_count(now) / variance, 1.0 / (effect_variance + INSTANCE_VARIANCE));
    let log_ratio = ((cell.mean - level) * observed + effect * expected) / (observed + expected);
    RelativeLatency { log_ratio, std_dev: (1.0 / (observed + expected)).sqrt() }
}

/// Whether a latency counts as slow, given whether it did before and the threshold to become slow.
fn is_slow(latency: &RelativeLatency, already: bool, threshold: f64) -> bool {
    if already {
        latency.log_ratio >= FAST_BELOW
    } else {
        latency.log_ratio >= threshold && latency.log_ratio - CONFIDENCE * latency.std_dev >= CERTAIN_EXCESS
    }
}
