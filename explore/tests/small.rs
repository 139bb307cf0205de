//! The exploration as a test: in the small worlds every property holds in every state, and every planted fault is found.

use std::path::Path;
use std::time::Duration;

use millpost_core::Fault;
use millpost_explore::cases::{CALM, Case, Kept, small};
use millpost_explore::property;
use millpost_explore::search::{Limits, State};
use millpost_explore::step::{Bounds, Kindness};
use millpost_explore::trace;
use millpost_explore::world::World;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Ample: nothing here hangs on how fast the machine is.
fn limits(threads: usize) -> Limits {
    Limits { threads, within: Duration::from_secs(1_200), ..Limits::default() }
}

#[test]
fn in_every_state_of_the_small_worlds_every_property_holds() {
    let mut states = 0;
    for case in small() {
        let found = case.explore(None, &limits(2));
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, trace::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        states += found.unique;
    }
    println!("{states} states");
    assert!(states > 1_000_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_planted_fault_is_found() {
    for fault in Fault::ALL {
        let hit = small().into_iter().find_map(|case| {
            let (name, way) = case.explore(Some(fault), &limits(2)).breach?;
            Some((Kept::new(&case, Some(fault), name, &way), way))
        });
        let (kept, way) = hit.unwrap_or_else(|| panic!("{fault:?} is not found"));
        let (text, svg) = (trace::text(&way), trace::svg(&way));
        assert!(text.contains(&kept.breach) && svg.ends_with("</svg>\n"), "{fault:?}");
        assert_eq!(text.lines().count(), way.len() + 1, "a line a step, one above and one below:\n{text}");
        // What is kept of it leads there again.
        let again: Kept = serde_json::from_str(&serde_json::to_string(&kept).expect("text")).expect("read");
        let end = |planted| again.play(planted).last().and_then(|(world, _)| world.breach);
        assert_eq!(end(true), Some(&*kept.breach), "{fault:?}");
    }
}

/// Each was the way to a real fault once, which is planted here in its old form: the way still leads there with it, and
/// to nothing without.
#[test]
fn ways_to_real_faults_lead_nowhere_any_more() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/ways");
    let mut count = 0;
    for file in std::fs::read_dir(folder).expect("folder") {
        let file = file.expect("entry").path();
        let kept: Kept = serde_json::from_str(&std::fs::read_to_string(&file).expect("text")).expect("a way");
        let end = |planted| kept.play(planted).last().and_then(|(world, _)| world.breach);
        assert_eq!(end(true), Some(&*kept.breach), "{}: the way is spoilt", file.display());
        assert_eq!(end(false), None, "{}", file.display());
        count += 1;
    }
    assert!(count >= 4, "{count} ways");
}

/// Which trace is the shortest does not hang on the run or on the threads, or it could not be kept.
#[test]
fn any_number_of_threads_finds_the_same_states_and_the_same_way() {
    let case = &small()[0];
    let found = [1, 1, 3].map(|threads| case.explore(None, &limits(threads)));
    let seen = found.map(|f| (f.unique, f.steps, f.depth));
    assert!(seen.iter().all(|s| *s == seen[0]), "{seen:?}");
    let ways = [1, 2, 3].map(|threads| {
        let (name, way) = case.explore(Some(Fault::ForgetWaits), &limits(threads)).breach.expect("found");
        Kept::new(case, None, name, &way)
    });
    assert!(ways[0] == ways[1] && ways[1] == ways[2]);
}

/// What is left out of a world when worlds are compared changes nothing: a world and the same one with that left out have
/// steps that answer each other one by one, and these lead to worlds that are the same.
#[test]
fn nothing_hangs_on_what_is_left_out() {
    let all = Bounds { waits: 1, breaks: 1, drains: 1, losses: 1, lates: 1, refusals: 1, again: 1, ..CALM };
    let synced = Bounds { synced: true, failing: 1, unheard: 1, leaves: 1, ..CALM };
    let mut checked = 0;
    for (n, (bounds, classes)) in [
        (all, [Kindness::Unsafe, Kindness::Keyed]),
        (all, [Kindness::InOrder, Kindness::InOrder]),
        (Bounds { crashes: 0, tries: 3, ..all }, [Kindness::Safe, Kindness::InOrderOnce]),
        (synced, [Kindness::Unsafe, Kindness::Safe]),
    ]
    .into_iter()
    .enumerate()
    {
        let case = Case { name: String::new(), bounds, classes: classes.to_vec(), deviations: None };
        for seed in 0..400 {
            let mut dice = Pcg64Mcg::seed_from_u64(1_000 * n as u64 + seed);
            let mut world = case.start(None);
            for _ in 0..70 {
                let mut settled = world.clone();
                settled.settle();
                let (raw, short) = (next(&world), next(&settled));
                assert_eq!(raw.len(), short.len(), "seed {seed} of world {n}");
                if raw.is_empty() {
                    break;
                }
                for (one, other) in raw.iter().zip(&short) {
                    assert_eq!(print(one), print(other), "seed {seed} of world {n}");
                    checked += 1;
                }
                world = raw[dice.next_u32() as usize % raw.len()].clone();
            }
        }
    }
    println!("{checked} pairs of steps");
    assert!(checked > 100_000, "{checked}");
}

fn next(world: &World) -> Vec<World> {
    let mut all = Vec::new();
    world.expand(|_, world| all.push(world));
    all
}

/// What a lesson in the journal says of a field that nothing reads is not compared; what a start makes of it is.
fn print(world: &World) -> u128 {
    let mut world = world.clone();
    world.settle();
    world.drop_lessons();
    world.fingerprint(&mut Vec::new())
}

/// A search that breaks off says so.
#[test]
fn states_that_are_left_are_told() {
    let case = &small()[0];
    let found = case.explore(None, &Limits { states: 500, ..limits(1) });
    assert!(!found.exhausted && found.breach.is_none() && found.unique >= 500);
    assert!(property::ALL.iter().all(|name| !name.is_empty()));
}
