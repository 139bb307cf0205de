//! The hop between two sites, every order of events in the small.

use std::time::Duration;

use millpost_explore::hop::{self, Faults};
use millpost_explore::search::{Limits, search};

/// Ample: nothing here hangs on how fast the machine is.
fn limits() -> Limits {
    Limits { within: Duration::from_secs(1_200), ..Limits::default() }
}

#[test]
fn in_every_state_of_the_hop_every_property_holds() {
    let mut states = 0;
    for case in hop::cases() {
        let found = search(case.start(Faults::default()), &limits());
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, hop::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        states += found.unique;
    }
    println!("{states} states");
    assert!(states > 50_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_fault_that_is_planted_in_the_hop_is_found() {
    for (fault, planted) in hop::faults() {
        let hit = hop::cases().into_iter().find_map(|case| search(case.start(planted), &limits()).breach);
        let (name, way) = hit.unwrap_or_else(|| panic!("{fault} is not found"));
        assert!(hop::text(&way).ends_with(&format!("does not hold: {name}\n")), "{fault}");
    }
}
