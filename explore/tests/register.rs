//! The register, every order of events in the small.

use std::time::Duration;

use millpost_explore::register;
use millpost_explore::search::{Limits, State, search};

/// Ample: nothing here hangs on how fast the machine is.
fn limits(case: &register::Case) -> Limits {
    Limits { deviations: case.deviations, within: Duration::from_secs(1_200), ..Limits::default() }
}

#[test]
fn in_every_state_of_the_register_what_was_answered_stands() {
    let mut states = 0;
    for case in register::cases() {
        let found = search(case.start(None), &limits(&case));
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, register::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        println!("{}: {} states, {:.1} s", case.name, found.unique, found.took.as_secs_f64());
        states += found.unique;
    }
    assert!(states > 50_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_fault_that_is_planted_round_the_register_is_found() {
    for (fault, word) in register::FAULTS {
        let cases = register::cases().into_iter().filter(|case| case.name.contains(word));
        let hit =
            cases.map(|case| search(case.start(Some(fault)), &limits(&case))).find_map(|found| found.breach);
        let (name, way) = hit.unwrap_or_else(|| panic!("{fault:?} is not found"));
        println!("{fault:?}\n{}", register::text(&way));
        assert!(register::text(&way).ends_with(&format!("does not hold: {name}\n")), "{fault:?}");
    }
}

/// A search in which no voter is ever exchanged would prove nothing of it.
#[test]
fn on_a_calm_day_the_voters_are_exchanged() {
    for case in register::cases().into_iter().filter(|case| case.spare) {
        let mut day = vec![case.start(None)];
        day[0].settle();
        while let Some(step) = day[day.len() - 1].calm() {
            let mut next = day[day.len() - 1].after(step);
            next.settle();
            day.push(next);
        }
        let last = register::text(&day.pop().into_iter().map(|end| (end, None)).collect());
        let epoch = if case.has_old_state { " e4" } else { " e2" };
        assert!(last.contains(epoch), "{}: {last}", case.name);
    }
}
