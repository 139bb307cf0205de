//! Simulated moves, determined by a seed: leaders that crash before or after any effect, network cuts,
//! suspended proxies, late acknowledgements, operators who change their orders. The `oracle` checks the
//! invariants, and each guard that is disabled has to cause a violation.

mod oracle;
mod simulation;
mod small;

use simulation::{Scenario, Simulation};

use crate::guards::{Guard, disable};

/// Runs a scenario and requires that no invariant is violated.
fn run_checked(scenario: Scenario) -> Simulation {
    let name = format!("{scenario:?}");
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    assert!(
        simulation.oracle.violations.is_empty(),
        "{name}: {:#?}\n{}",
        simulation.oracle.violations,
        simulation.trace()
    );
    simulation
}

#[test]
fn a_move_without_faults_completes_or_rolls_back_on_order() {
    let simulation = run_checked(Scenario::calm(1));
    assert_eq!(simulation.ends(), ["done"], "{}", simulation.trace());
    let simulation = run_checked(Scenario { rollback_at: Some(9_000), ..Scenario::calm(1) });
    assert_eq!(simulation.ends(), ["turned_back"]);
}

/// Crashes the leader right before or right after each effect of the run.
#[test]
fn a_leader_may_crash_before_or_after_any_effect() {
    for rollback_at in [None, Some(9_000)] {
        let effects = run_checked(Scenario { rollback_at, ..Scenario::calm(2) }).effects;
        assert!(effects > 25, "{effects}");
        for effect in 0..effects {
            for after in [false, true] {
                let simulation = run_checked(Scenario {
                    rollback_at,
                    crashes: vec![(effect, after)],
                    ..Scenario::calm(2)
                });
                let end = if rollback_at.is_some() { "turned_back" } else { "done" };
                assert_eq!(simulation.ends(), [end], "{effect} {after}");
            }
        }
    }
}

#[test]
fn random_scenarios_violate_no_invariant() {
    let mut ends = std::collections::BTreeMap::<&str, usize>::new();
    // For more scenarios set the environment variable, for example `CARTER_DAYS=20000`.
    let seeds = std::env::var("CARTER_DAYS").map_or(500, |seeds| seeds.parse().expect("a number"));
    for seed in 0..seeds {
        for end in run_checked(Scenario::random(seed)).ends() {
            *ends.entry(end).or_default() += 1;
        }
    }
    // The scenarios are only useful if moves end in all possible ways.
    for end in ["done", "turned_back", "overtaken"] {
        assert!(ends.get(end).is_some_and(|count| *count >= 20), "{ends:?}");
    }
}

/// Disabling any guard causes a violation of the invariant that it protects.
#[yare::parameterized(
    hear_all_proxies = { Guard::HearAllProxies, "ended early" },
    all_apply = { Guard::AllProxiesApply, "ended early" },
    base = { Guard::Base, "foreign change" },
    put_decided = { Guard::PutDecided, "put after end" },
    durable = { Guard::Durable, "put not recorded" },
    unique_revision = { Guard::UniqueRevision, "revision reused" },
    disjoint_routes = { Guard::DisjointRoutes, "route in two moves" },
    one_active_move = { Guard::OneActiveMove, "two active moves" },
    version = { Guard::Version, "order lost" },
    no_unresolved_write = { Guard::NoUnresolvedWrite, "refused order applied" },
    lease = { Guard::Lease, "no lease" },
    superseded = { Guard::Superseded, "operator overridden" },
    settle = { Guard::Settle, "ended early" },
    pace = { Guard::Pace, "load on slow target" },
    bounds = { Guard::Bounds, "bounds exceeded" },
)]
fn disabling_a_guard_violates_its_invariant(guard: Guard, violation: &str) {
    disable(Some(guard));
    let found = (0..3_000).any(|seed| {
        let mut simulation = Simulation::new(Scenario::random(seed));
        simulation.run();
        simulation.oracle.violations.iter().any(|found| found.starts_with(violation))
    });
    disable(None);
    assert!(found, "disabling {guard:?} caused no violation");
}
