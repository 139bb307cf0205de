//! The exploration as a test: in the small worlds every property holds in every state, and every planted fault is found.

use std::time::Duration;

use millpost_core::Fault;
use millpost_explore::cases::small;
use millpost_explore::trace;

/// Ample: nothing here hangs on how fast the machine is.
const WITHIN: Duration = Duration::from_secs(1_200);

#[test]
fn in_every_state_of_the_small_worlds_every_property_holds() {
    let mut states = 0;
    for case in small() {
        let found = case.explore(None, 2, WITHIN);
        if let Some((name, way)) = &found.breach {
            panic!("{}: {name}\n{}", case.name, trace::text(way));
        }
        assert!(found.exhausted, "{}: states are left", case.name);
        states += found.unique;
    }
    println!("{states} states");
    assert!(states > 100_000, "only {states} states: the worlds have shrunk");
}

#[test]
fn every_planted_fault_is_found() {
    for fault in Fault::ALL {
        let hit = small().into_iter().find_map(|case| case.explore(Some(fault), 2, WITHIN).breach);
        let (name, way) = hit.unwrap_or_else(|| panic!("{fault:?} is not found"));
        let (text, svg) = (trace::text(&way), trace::svg(&way));
        assert!(text.contains(name) && svg.ends_with("</svg>\n"), "{fault:?}");
        assert_eq!(text.lines().count(), way.len() + 1, "a line a step, one above and one below:\n{text}");
    }
}

/// Which trace is the shortest does not hang on the run, or it could not be kept.
#[test]
fn one_thread_finds_the_same_states_each_time() {
    let case = &small()[0];
    let [one, two] = [(); 2].map(|()| case.explore(None, 1, WITHIN));
    assert_eq!((one.unique, one.steps, one.depth), (two.unique, two.steps, two.depth));
}
