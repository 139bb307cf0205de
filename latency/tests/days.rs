//! Days of answers under a seed: how soon a slow worker is told, and how often one that is not.

use millpost::RandomSource;
use millpost_latency::{LatencyModel, Nanos, SECOND};

/// Answers of functions on workers, with the spread that work has and the differences that instances have by nature.
struct Day {
    dice: RandomSource,
    assay: LatencyModel,
    now: Nanos,
    instances: Vec<Vec<f64>>,
}

impl Day {
    fn new(seed: u64, functions: usize, workers: usize) -> Self {
        let mut dice = RandomSource::seeded(seed);
        let instances =
            (0..functions).map(|_| (0..workers).map(|_| 0.8 + 0.4 * dice.next_f64()).collect()).collect();
        Day { dice, assay: LatencyModel::new(), now: SECOND, instances }
    }

    /// An answer of this function from this worker, which is slower by a factor.
    fn answer(&mut self, f: usize, w: usize, times: f64) {
        let (one, two) = (1.0 - self.dice.next_f64(), self.dice.next_f64());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        let mut took = 45e6 * (normal * 0.5 - 0.125).exp() * self.instances[f][w] * times;
        if self.dice.next_f64() < 0.3 {
            took += 50e6;
        }
        self.assay.observe(self.now, &format!("f{f}"), &format!("w{w}"), took as Nanos);
    }

    /// So many answers, every `gap` one, evenly over functions and workers by chance.
    fn play(&mut self, answers: usize, gap: Nanos, times: impl Fn(usize, usize) -> f64) {
        for _ in 0..answers {
            self.now += gap;
            let f = (self.dice.next_f64() * self.instances.len() as f64) as usize;
            let w = (self.dice.next_f64() * self.instances[0].len() as f64) as usize;
            self.answer(f, w, times(f, w));
            self.assay.update(self.now);
        }
    }

    fn slow(&self) -> Vec<usize> {
        (0..self.instances[0].len()).filter(|w| self.assay.is_slow(&format!("w{w}"))).collect()
    }
}

const GAP: Nanos = SECOND / 200;

#[test]
fn a_worker_twice_as_slow_is_told_and_no_other() {
    let mut all = Vec::new();
    for seed in 0..40 {
        let mut day = Day::new(seed, 4, 6);
        let mut answers = 0;
        while day.slow().is_empty() && answers < 400 {
            day.play(6, GAP, |_, w| if w == 2 { 2.0 } else { 1.0 });
            answers += 1;
        }
        assert!(day.slow().iter().all(|w| *w == 2), "seed {seed}: {:?}", day.slow());
        all.push(answers);
    }
    all.sort_unstable();
    // Where the instances there are fast by nature it takes longer.
    assert!(all[20] <= 35 && all[37] <= 70, "{all:?}");
}

#[test]
fn of_equal_workers_none_is_called_slow() {
    let (mut false_ones, mut looks, mut cells) = (0, 0, 0);
    for seed in 0..20 {
        let mut day = Day::new(100 + seed, 8, 12);
        for _ in 0..100 {
            day.play(100, GAP, |_, _| 1.0);
            looks += 12;
            false_ones += day.slow().len();
            cells += (0..8)
                .flat_map(|f| (0..12).map(move |w| (f, w)))
                .filter(|(f, w)| day.assay.is_slow_for(&format!("f{f}"), &format!("w{w}")))
                .count();
        }
    }
    println!("{false_ones} workers and {cells} pairs of {looks} looks at workers");
    assert_eq!(false_ones, 0);
    // A pair may be called slow where the instance there is by nature; instances differ by 1.5 times at most.
    assert!(cells * 1_000 <= looks * 8, "{cells}");
}

#[test]
fn where_all_are_slow_none_is_and_a_slow_function_is_no_slow_worker() {
    let mut day = Day::new(7, 4, 6);
    day.play(2_000, GAP, |_, _| 1.0);
    day.play(2_000, GAP, |_, _| 3.0);
    assert!(day.slow().is_empty());
    day.play(3_000, GAP, |f, _| if f == 1 { 4.0 } else { 1.0 });
    assert!(day.slow().is_empty());
    let (usual, slow) = (day.assay.expected_latency("f0", "w0"), day.assay.expected_latency("f1", "w0"));
    assert!(slow > usual.map(|t| t * 2), "{usual:?} {slow:?}");
}

#[test]
fn what_is_slow_for_one_function_alone_does_not_condemn_the_worker() {
    for seed in 0..20 {
        let mut day = Day::new(200 + seed, 5, 6);
        day.play(3_000, GAP, |f, w| if (f, w) == (1, 3) { 2.5 } else { 1.0 });
        assert!(day.slow().is_empty(), "{seed}");
        assert!(day.assay.is_slow_for("f1", "w3"), "{seed}");
        assert!(!day.assay.is_slow_for("f0", "w3"), "{seed}");
        assert_eq!(day.assay.slow_workers("f1"), ["w3"]);
    }
}

#[test]
fn one_answer_in_ten_seconds_says_little_and_what_was_seen_fades() {
    let mut day = Day::new(3, 1, 2);
    day.play(30, 10 * SECOND, |_, w| if w == 1 { 3.0 } else { 1.0 });
    assert!(!day.assay.is_slow_for("f0", "w1"));
    let mut day = Day::new(3, 4, 6);
    day.play(3_000, GAP, |_, w| if w == 1 { 3.0 } else { 1.0 });
    assert_eq!(day.slow(), [1]);
    // Nothing goes there any more: after a while it may be tried again.
    let after = day.now;
    while !day.slow().is_empty() {
        day.play(100, GAP, |_, _| 1.0);
        // Only the others are asked.
        let far = day.now - after;
        assert!(far < 300 * SECOND);
    }
}

#[test]
fn one_that_turns_slow_is_told_and_one_that_turns_fast_again_is_let_go() {
    let mut day = Day::new(11, 4, 6);
    day.play(3_000, GAP, |_, _| 1.0);
    day.play(6 * 120, GAP, |_, w| if w == 4 { 2.5 } else { 1.0 });
    assert_eq!(day.slow(), [4]);
    day.play(6 * 160, GAP, |_, _| 1.0);
    assert!(day.slow().is_empty());
}

#[test]
fn half_slow_and_half_fast_and_memory_with_a_bound() {
    let mut day = Day::new(5, 6, 12);
    day.play(4_000, GAP, |_, w| if w < 6 { 2.0 } else { 0.67 });
    assert_eq!(day.slow(), [0, 1, 2, 3, 4, 5]);
    let mut assay = LatencyModel::new();
    for n in 0..60_000u64 {
        assay.observe(n * 1_000_000, &format!("f{}", n % 1_009), &format!("w{}", n % 41), 45_000_000);
        assay.update(n * 1_000_000);
        assert!(assay.len() <= 16_384);
    }
}
