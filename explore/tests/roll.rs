//! Who is behind among three dispatchers, every order of events in the small.

use std::time::Duration;

use millpost_explore::roll;
use millpost_explore::search::{Limits, search};

/// Ample: nothing here hangs on how fast the machine is. Of all orders, those that differ from a calm day in so many steps.
fn limits(deviations: u8) -> Limits {
    Limits { within: Duration::from_secs(1_200), deviations: Some(deviations), ..Limits::default() }
}

#[test]
fn in_every_state_nobody_is_shut_out_who_was_current_and_all_settles() {
    let mut states = 0;
    for case in roll::cases() {
        let found = search(case.start(None), &limits(2));
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, roll::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        println!("{}: {} states, {:.1} s", case.name, found.unique, found.took.as_secs_f64());
        states += found.unique;
    }
    assert!(states > 20_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_fault_that_is_planted_in_the_roll_is_found() {
    for fault in roll::FAULTS {
        let hit =
            roll::cases().into_iter().find_map(|case| search(case.start(Some(fault)), &limits(2)).breach);
        let (name, way) = hit.unwrap_or_else(|| panic!("{fault:?} is not found"));
        println!("{fault:?}\n{}", roll::text(&way));
        assert!(roll::text(&way).ends_with(&format!("does not hold: {name}\n")), "{fault:?}");
    }
}
