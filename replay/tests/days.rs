//! Days of all kinds, simulated with taped desks: what they record plays as it went, and no rule is broken.

mod day;

use day::{Day, Plan};
use millpost_replay::check::{Check, Rule};
use millpost_replay::lines::{Lines, Which};
use millpost_replay::play::{Event, play};
use millpost_scheduler::{Action, MS, Nanos, SECOND, SchedulerLimits};

/// Days of each kind.
const SEEDS: u64 = 6;

struct Seen {
    outs: Vec<(Nanos, Action)>,
    check: Check,
}

fn played(lines: &[String]) -> Seen {
    let text = lines.join("\n");
    let mut lines = Lines::new(text.as_bytes(), Which::default());
    let mut seen = Seen { outs: Vec::new(), check: Check::default() };
    let mut broken = Vec::new();
    play(&mut lines, None, |event| {
        match event {
            Event::Coordinator(step) => {
                seen.check.see(&step);
                seen.outs.extend(step.outs.iter().map(|out| (step.at, out.clone())));
            }
            // A new life is watched anew.
            _ => broken.extend(std::mem::take(&mut seen.check).breaches().iter().cloned()),
        }
        Ok(())
    })
    .expect("it plays");
    broken.extend(seen.check.breaches().iter().cloned());
    assert_eq!(broken, []);
    seen
}

fn holds(plan: Plan) -> Day {
    let what = format!("seed {}", plan.seed);
    let day = Day::of(plan);
    for stall in 0..day.outs.len() {
        let seen = played(&day.recorded(stall));
        assert_eq!(seen.outs, day.outs[stall], "{what}: a play is what has happened");
        assert!(Rule::ALL.iter().all(|rule| seen.check.count(*rule) == 0), "{what}");
        assert_eq!(seen.check.strays, 0, "{what}");
        assert_eq!(seen.check.out(), 0, "{what}");
        // In these days timers are exact.
        assert!(seen.check.latest < MS, "{what}: {}", seen.check.latest);
    }
    day
}

#[test]
fn calm() {
    for seed in 0..SEEDS {
        let day = holds(Plan { seed, ..Plan::default() });
        assert!(day.at_rest() && day.answered > 40 && day.turned_away == 0 && day.repeats == 0);
    }
}

#[test]
fn bursts_at_three_stalls() {
    for seed in 0..SEEDS {
        let day = holds(Plan { seed, stalls: 3, rates: vec![5.0, 150.0, 5.0, 60.0], ..Plan::default() });
        assert!(day.at_rest());
        assert_eq!(day.turned_away, 0, "seed {seed}");
    }
}

#[test]
fn failures_and_silence() {
    let mut repeats = 0;
    for seed in 0..SEEDS {
        let terms = SchedulerLimits {
            retry_ratio: 0.2,
            retry_window: 2 * SECOND,
            retry_slack: 6.0,
            requests_per_s: 300.0,
            rank_by_latency: false,
        };
        let rates = vec![40.0; 4];
        let plan = Plan { seed, stalls: 2, rates, terms, fails: 0.15, silent: 0.25, ..Plan::default() };
        let day = holds(plan);
        assert!(day.at_rest());
        repeats += day.repeats;
    }
    assert!(repeats > 30);
}

#[test]
fn instances_that_crash() {
    for seed in 0..SEEDS {
        let crashes = (1..30).map(|n| n * 100).collect();
        let day = holds(Plan { seed, stalls: 2, rates: vec![60.0; 3], crashes, ..Plan::default() });
        assert!(day.at_rest());
    }
}

#[test]
fn a_stall_that_ends_and_comes_back() {
    for seed in 0..SEEDS {
        let ends = Some((seed as usize % 3, 900, 2_000));
        let plan = Plan {
            seed,
            stalls: 3,
            rates: vec![50.0; 4],
            fails: 0.05,
            silent: 0.05,
            ends,
            ..Plan::default()
        };
        assert!(holds(plan).at_rest());
    }
}
