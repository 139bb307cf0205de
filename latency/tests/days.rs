//! Simulated answers with fixed seeds: how soon a slow worker is detected, and how often a worker is called
//! slow by mistake.

use millpost::RandomSource;
use millpost_latency::{LatencyModel, Nanos, SECOND};

/// Answers of functions on workers, with random latencies and fixed differences among instances.
struct Simulation {
    random: RandomSource,
    model: LatencyModel,
    now: Nanos,
    /// Each instance's factor on the latency, by function and worker.
    instances: Vec<Vec<f64>>,
}

impl Simulation {
    fn new(seed: u64, functions: usize, workers: usize) -> Self {
        let mut random = RandomSource::seeded(seed);
        let instances =
            (0..functions).map(|_| (0..workers).map(|_| 0.8 + 0.4 * random.next_f64()).collect()).collect();
        Simulation { random, model: LatencyModel::new(), now: SECOND, instances }
    }

    /// Adds an answer of this function from this worker, which is slower by `factor`.
    fn answer(&mut self, f: usize, w: usize, factor: f64) {
        let (one, two) = (1.0 - self.random.next_f64(), self.random.next_f64());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        let mut took = 45e6 * (normal * 0.5 - 0.125).exp() * self.instances[f][w] * factor;
        if self.random.next_f64() < 0.3 {
            took += 50e6;
        }
        self.model.observe(self.now, &format!("f{f}"), &format!("w{w}"), took as Nanos);
    }

    /// Adds answers at intervals of `gap`, from random functions and workers.
    fn run(&mut self, answers: usize, gap: Nanos, factor: impl Fn(usize, usize) -> f64) {
        for _ in 0..answers {
            self.now += gap;
            let f = (self.random.next_f64() * self.instances.len() as f64) as usize;
            let w = (self.random.next_f64() * self.instances[0].len() as f64) as usize;
            self.answer(f, w, factor(f, w));
            self.model.update(self.now);
        }
    }

    /// The workers that are slow for all functions.
    fn slow_workers(&self) -> Vec<usize> {
        (0..self.instances[0].len()).filter(|w| self.model.is_slow(&format!("w{w}"))).collect()
    }
}

const GAP: Nanos = SECOND / 200;

#[test]
fn a_worker_twice_as_slow_is_detected_and_no_other() {
    let mut rounds_needed = Vec::new();
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, 4, 6);
        let mut rounds = 0;
        while simulation.slow_workers().is_empty() && rounds < 400 {
            simulation.run(6, GAP, |_, w| if w == 2 { 2.0 } else { 1.0 });
            rounds += 1;
        }
        assert!(
            simulation.slow_workers().iter().all(|w| *w == 2),
            "seed {seed}: {:?}",
            simulation.slow_workers()
        );
        rounds_needed.push(rounds);
    }
    rounds_needed.sort_unstable();
    // It takes longer if the instances on that worker happen to be fast.
    assert!(rounds_needed[20] <= 35 && rounds_needed[37] <= 70, "{rounds_needed:?}");
}

#[test]
fn no_worker_is_slow_among_equal_workers() {
    let (mut false_positives, mut checks, mut cells) = (0, 0, 0);
    for seed in 0..20 {
        let mut simulation = Simulation::new(100 + seed, 8, 12);
        for _ in 0..100 {
            simulation.run(100, GAP, |_, _| 1.0);
            checks += 12;
            false_positives += simulation.slow_workers().len();
            cells += (0..8)
                .flat_map(|f| (0..12).map(move |w| (f, w)))
                .filter(|(f, w)| simulation.model.is_slow_for(&format!("f{f}"), &format!("w{w}")))
                .count();
        }
    }
    println!("{false_positives} workers and {cells} pairs of function and worker in {checks} checks");
    assert_eq!(false_positives, 0);
    // A pair may be called slow if its instance is slow by nature; instances differ by a factor of 1.5 at
    // most.
    assert!(cells * 1_000 <= checks * 8, "{cells}");
}

#[test]
fn equally_slow_workers_and_slow_functions_are_no_slow_workers() {
    let mut simulation = Simulation::new(7, 4, 6);
    simulation.run(2_000, GAP, |_, _| 1.0);
    simulation.run(2_000, GAP, |_, _| 3.0);
    assert!(simulation.slow_workers().is_empty());
    simulation.run(3_000, GAP, |f, _| if f == 1 { 4.0 } else { 1.0 });
    assert!(simulation.slow_workers().is_empty());
    let (usual, slow) =
        (simulation.model.expected_latency("f0", "w0"), simulation.model.expected_latency("f1", "w0"));
    assert!(slow > usual.map(|t| t * 2), "{usual:?} {slow:?}");
}

#[test]
fn a_worker_slow_for_one_function_is_slow_for_that_function_only() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(200 + seed, 5, 6);
        simulation.run(3_000, GAP, |f, w| if (f, w) == (1, 3) { 2.5 } else { 1.0 });
        assert!(simulation.slow_workers().is_empty(), "{seed}");
        assert!(simulation.model.is_slow_for("f1", "w3"), "{seed}");
        assert!(!simulation.model.is_slow_for("f0", "w3"), "{seed}");
        assert_eq!(simulation.model.slow_workers("f1"), ["w3"]);
    }
}

#[test]
fn sparse_answers_are_not_enough_and_old_ones_decay() {
    let mut simulation = Simulation::new(3, 1, 2);
    simulation.run(30, 10 * SECOND, |_, w| if w == 1 { 3.0 } else { 1.0 });
    assert!(!simulation.model.is_slow_for("f0", "w1"));
    let mut simulation = Simulation::new(3, 4, 6);
    simulation.run(3_000, GAP, |_, w| if w == 1 { 3.0 } else { 1.0 });
    assert_eq!(simulation.slow_workers(), [1]);
    // The worker recovers: after a while it no longer counts as slow.
    let after = simulation.now;
    while !simulation.slow_workers().is_empty() {
        simulation.run(100, GAP, |_, _| 1.0);
        let elapsed = simulation.now - after;
        assert!(elapsed < 300 * SECOND);
    }
}

#[test]
fn a_worker_that_turns_slow_is_detected_and_cleared_when_fast_again() {
    let mut simulation = Simulation::new(11, 4, 6);
    simulation.run(3_000, GAP, |_, _| 1.0);
    simulation.run(6 * 120, GAP, |_, w| if w == 4 { 2.5 } else { 1.0 });
    assert_eq!(simulation.slow_workers(), [4]);
    simulation.run(6 * 160, GAP, |_, _| 1.0);
    assert!(simulation.slow_workers().is_empty());
}

#[test]
fn half_of_the_workers_can_be_slow_and_memory_is_bounded() {
    let mut simulation = Simulation::new(5, 6, 12);
    simulation.run(4_000, GAP, |_, w| if w < 6 { 2.0 } else { 0.67 });
    assert_eq!(simulation.slow_workers(), [0, 1, 2, 3, 4, 5]);
    let mut model = LatencyModel::new();
    for n in 0..60_000u64 {
        model.observe(n * 1_000_000, &format!("f{}", n % 1_009), &format!("w{}", n % 41), 45_000_000);
        model.update(n * 1_000_000);
        assert!(model.len() <= 16_384);
    }
}
