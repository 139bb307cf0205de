//! What a desk's inputs cost, by kind, on large days: `cargo run --profile market -p millpost-replay --example desks`. With a
//! folder the recordings are written there, for the plays of two builds to be compared.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use day::{Day, Plan};
use millpost_scheduler::recording::{Entry, Input};
use millpost_scheduler::{Coordinator, SECOND, SchedulerLimits};

#[path = "../tests/day/mod.rs"]
#[allow(dead_code)]
mod day;

/// Plays of one recording.
const PLAYS: u32 = 5;

fn main() -> std::io::Result<()> {
    let folder = std::env::args_os().nth(1).map(PathBuf::from);
    let only = std::env::args().nth(2);
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 52.0,
        requests_per_s: 300.0,
        rank_by_latency: false,
    };
    let named = |n: usize| -> &'static str { format!("made-{n}").leak() };
    let hot = Plan {
        stalls: 4,
        functions: vec![("hot", 1, 200, 60.0)],
        idle: 1_000,
        rates: vec![100.0; 8],
        terms: terms.clone(),
        ..Plan::default()
    };
    let wide = Plan {
        functions: (0..300).map(|n| (named(n), 1 + (n as u32 % 3) * 4, 300, 40.0)).collect(),
        rates: vec![2.0; 8],
        terms: terms.clone(),
        ..Plan::default()
    };
    let full = Plan {
        stalls: 2,
        functions: vec![("hot", 2, 900, 120.0), ("warm", 8, 500, 30.0)],
        idle: 300,
        rates: vec![10.0, 250.0, 120.0, 20.0],
        target_ms: 800,
        deadline_ms: 4_000,
        terms,
        fails: 0.05,
        silent: 0.05,
        crashes: (1..30).map(|n| n * 130).collect(),
        ..Plan::default()
    };
    let quiet = Plan { idle: 1_000, rates: vec![0.2; 20], ..Plan::default() };
    for (name, plan) in [("hot", hot), ("wide", wide), ("full", full), ("quiet", quiet)] {
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let day = Day::of(plan);
        for stall in 0..day.outs.len() {
            let lines = day.recorded(stall);
            if let Some(folder) = &folder {
                std::fs::write(folder.join(format!("{name}-{}.jsonl", stall + 1)), lines.join("\n"))?;
            }
            measure(&format!("{name}-{}", stall + 1), &lines);
        }
    }
    Ok(())
}

fn measure(name: &str, lines: &[String]) {
    let entries: Vec<Entry> = lines.iter().map(|line| Entry::read(line).expect("a line")).collect();
    let mut costs: BTreeMap<&str, (u32, Duration)> = BTreeMap::new();
    let (mut outs, mut digest) = (0, xxhash_rust::xxh3::Xxh3Default::new());
    for play in 0..PLAYS {
        let mut desk = None;
        for entry in entries.iter().cloned() {
            let kind = entry.input.name();
            let Some(desk) = &mut desk else {
                let Input::New { me, terms, seed, first } = entry.input else { panic!("a life begins") };
                desk = Some(Coordinator::new(me, terms, seed, first));
                continue;
            };
            let began = Instant::now();
            entry.input.apply(entry.at, desk);
            let told = desk.take_actions();
            let cost = costs.entry(kind).or_default();
            (cost.0, cost.1) = (cost.0 + 1, cost.1 + began.elapsed());
            if play == 0 {
                outs += told.len();
                digest.write(format!("{} {told:?}", entry.at).as_bytes());
            }
        }
    }
    let sum: Duration = costs.values().map(|(_, took)| *took).sum();
    println!("{name}: {outs} outputs, {:016x}; {:.1} ms a play", digest.finish(), ms(sum / PLAYS));
    for (kind, (count, took)) in &costs {
        let each = took.as_nanos() as f64 / 1e3 / f64::from(*count);
        println!("  {kind:9} {:6} x {each:8.2} us = {:7.2} ms", count / PLAYS, ms(*took / PLAYS));
    }
}

fn ms(of: Duration) -> f64 {
    of.as_secs_f64() * 1e3
}
