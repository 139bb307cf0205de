//! Parts that are lent among three dispatchers, every order of events in the small.

use std::time::Duration;

use millpost_explore::lend;
use millpost_explore::search::{Limits, search};

/// Ample: nothing here hangs on how fast the machine is.
fn limits() -> Limits {
    Limits { within: Duration::from_secs(1_200), ..Limits::default() }
}

#[test]
fn in_every_state_of_lending_the_sum_holds() {
    let mut states = 0;
    for case in lend::cases() {
        let found = search(case.start(None, false), &limits());
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, lend::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        println!("{}: {} states, {:.1} s", case.name, found.unique, found.took.as_secs_f64());
        states += found.unique;
    }
    assert!(states > 50_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_fault_that_is_planted_in_lending_is_found() {
    for fault in lend::FAULTS {
        let hit = lend::cases()
            .into_iter()
            .find_map(|case| search(case.start(Some(fault), false), &limits()).breach);
        let (name, way) = hit.unwrap_or_else(|| panic!("{fault:?} is not found"));
        println!("{fault:?}\n{}", lend::text(&way));
        assert!(lend::text(&way).ends_with(&format!("does not hold: {name}\n")), "{fault:?}");
    }
}

#[test]
fn askings_that_are_numbered_alike_in_each_life_are_found() {
    let hit = lend::cases().into_iter().find_map(|case| search(case.start(None, true), &limits()).breach);
    let (name, way) = hit.expect("it is found");
    println!("{}", lend::text(&way));
    assert_eq!(name, lend::property::SUM);
}
