//! Moves played by seed: holders that die at any of their words, one and two together, cuts, sleepers, late acknowledgements, operators who
//! change their minds. What must hold is judged by `oracle`; each guard taken out is seen to break it.

mod oracle;
mod small;
mod town;

use town::{Day, Town};

use crate::guards::{Guard, disable};

/// A day that holds, and what it was.
fn holds(day: Day) -> Town {
    let name = format!("{day:?}");
    let mut town = Town::new(day);
    town.play();
    assert!(town.oracle.broken.is_empty(), "{name}: {:#?}\n{}", town.oracle.broken, town.trace());
    town
}

#[test]
fn a_calm_move_is_done_and_one_order_later_it_would_not_be() {
    let town = holds(Day::calm(1));
    assert_eq!(town.ends(), ["done"], "{}", town.trace());
    let town = holds(Day { back_at: Some(9_000), ..Day::calm(1) });
    assert_eq!(town.ends(), ["turned_back"]);
}

/// Each word of each holder: it dies right before it, or right after it.
#[test]
fn a_holder_may_die_at_each_of_its_words() {
    for back_at in [None, Some(9_000)] {
        let words = holds(Day { back_at, ..Day::calm(2) }).words;
        assert!(words > 25, "{words}");
        for word in 0..words {
            for after in [false, true] {
                let town = holds(Day { back_at, deaths: vec![(word, after)], ..Day::calm(2) });
                let end = if back_at.is_some() { "turned_back" } else { "done" };
                assert_eq!(town.ends(), [end], "{word} {after}");
            }
        }
    }
}

#[test]
fn any_two_together_and_all_the_rest_by_seed() {
    let mut ends = std::collections::BTreeMap::<&str, usize>::new();
    // More of them by `CARTER_DAYS=20000`.
    let days = std::env::var("CARTER_DAYS").map_or(500, |days| days.parse().expect("a number"));
    for seed in 0..days {
        for end in holds(Day::wild(seed)).ends() {
            *ends.entry(end).or_default() += 1;
        }
    }
    // The days are worth playing only if they end in all ways.
    for end in ["done", "turned_back", "overtaken"] {
        assert!(ends.get(end).is_some_and(|count| *count >= 20), "{ends:?}");
    }
}

/// Without any of the guards something is seen to break, and it is what that guard keeps.
#[yare::parameterized(
    hear_all = { Guard::HearAllProxies, "early" },
    all_apply = { Guard::AllProxiesApply, "early" },
    base = { Guard::Base, "undone" },
    decided = { Guard::PutDecided, "after its end" },
    durable = { Guard::Durable, "unrecorded" },
    burned = { Guard::UniqueRevision, "twice" },
    crossing = { Guard::DisjointRoutes, "crossing" },
    turns = { Guard::OneActiveMove, "two out" },
    version = { Guard::Version, "forgotten" },
    firm = { Guard::NoUnresolvedWrite, "denied" },
    lease = { Guard::Lease, "without the lease" },
    overtaken = { Guard::Superseded, "fights" },
    settle = { Guard::Settle, "early" },
    pace = { Guard::Pace, "pushed" },
    bounds = { Guard::Bounds, "past its bounds" },
)]
fn a_guard_that_is_taken_out_is_missed(guard: Guard, what: &str) {
    disable(Some(guard));
    let found = (0..3_000).any(|seed| {
        let mut town = Town::new(Day::wild(seed));
        town.play();
        town.oracle.broken.iter().any(|broken| broken.starts_with(what))
    });
    disable(None);
    assert!(found, "{guard:?} is not missed");
}
