//! Owners and permits, orders of events in the small.

use std::time::Duration;

use millpost_explore::owners;
use millpost_explore::search::{Limits, search};

/// Ample: nothing here hangs on how fast the machine is.
fn limits() -> Limits {
    Limits { within: Duration::from_secs(1_200), deviations: Some(owners::DEVIATIONS), ..Limits::default() }
}

#[test]
fn while_owners_change_no_slot_is_given_twice() {
    let mut states = 0;
    for case in owners::cases() {
        let found = search(case.start(None), &limits());
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, owners::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        println!("{}: {} states, {:.1} s", case.name, found.unique, found.took.as_secs_f64());
        states += found.unique;
    }
    assert!(states > 2_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_fault_that_is_planted_round_owners_is_found() {
    for (fault, word) in owners::FAULTS {
        let cases = owners::cases().into_iter().filter(|case| case.name.contains(word));
        let hit = cases.map(|case| search(case.start(Some(fault)), &limits())).find_map(|found| found.breach);
        let (name, way) = hit.unwrap_or_else(|| panic!("{fault:?} is not found"));
        assert!(owners::text(&way).ends_with(&format!("does not hold: {name}\n")), "{fault:?}");
    }
}
