//! Each rule breaks where its guard is taken out, none breaks as the program is, and a day is the same day twice.

use millpost_simulator::day::play;
use millpost_simulator::mutation::Mutation;
use millpost_simulator::plan::{FaultKind, FinalFault, Plan, ReplaceTarget};
use millpost_simulator::site::Size;
use millpost_simulator::{MS, SECOND};

/// The edge machines of a homework site are told to end one after the other, and once more, under this load.
fn rolled(seed: u64, load: f64) -> Plan {
    let roll = FaultKind::EdgeRoll { share: 1.0, every: 1_300 * MS };
    let plan = Plan { homework: Some(load), strict: true, ..Plan::quiet(seed, Size::Small) };
    plan.with(8 * SECOND, roll.clone()).with(17 * SECOND, roll)
}

/// A day on which a guard has something to keep.
fn day(seed: u64, mutation: Mutation) -> Plan {
    let quiet = Plan::quiet(seed, Size::Small);
    let plan = match mutation {
        Mutation::RetryUnsafe | Mutation::FalseRefusal | Mutation::UnlimitedRetries => {
            quiet.with(8 * SECOND, FaultKind::AnswerLost { share: 0.9, lasts: 8 * SECOND })
        }
        Mutation::UnverifiedAnswer => {
            quiet.with(8 * SECOND, FaultKind::Garble { share: 0.1, lasts: 4 * SECOND })
        }
        Mutation::IgnoreDraining => quiet.with(9 * SECOND, FaultKind::WorkerDrain { share: 0.2 }),
        Mutation::StaleConfig => {
            let change = |plan: Plan, at| plan.with(at * SECOND, FaultKind::ConfigChange);
            (2..6).fold(quiet, |plan, n| change(plan, 4 * n))
        }
        Mutation::UnsyncedVotes | Mutation::EarlyAcknowledge => {
            Plan { final_fault: Some((12 * SECOND, FinalFault::PowerOffAll)), ..quiet }
        }
        Mutation::EmptyDiskVotes => {
            Plan { final_fault: Some((8 * SECOND, FinalFault::WipeAfterAck)), ..quiet }
        }
        Mutation::AgentWithoutSeeds => {
            Plan { final_fault: Some((14 * SECOND, FinalFault::KillAll)), ..quiet }
        }
        Mutation::ImmediateExit => {
            (8..24).fold(quiet, |plan, at| plan.with(at * SECOND, FaultKind::NodeTerm { core: false }))
        }
        Mutation::ConfirmConflicts => {
            (8..20).fold(quiet, |plan, at| plan.with(at * SECOND, FaultKind::ConfigRaceOf { count: 8 }))
        }
        Mutation::IgnoreLeaving => rolled(seed, 4.0),
        Mutation::SilentShutdown => rolled(seed, 1.0),
        Mutation::SpuriousDenial
        | Mutation::OverSlots
        | Mutation::StaleAddress
        | Mutation::ChangedRequestId => quiet,
    };
    Plan { mutation: Some(mutation), ..plan }
}

#[yare::parameterized(
    twice = { Mutation::RetryUnsafe, "TWICE" },
    refused = { Mutation::FalseRefusal, "REFUSED" },
    limit = { Mutation::OverSlots, "LIMIT" },
    budget = { Mutation::UnlimitedRetries, "BUDGET" },
    drain = { Mutation::IgnoreDraining, "DRAIN" },
    config = { Mutation::StaleConfig, "CONFIG" },
    lost_unsynced = { Mutation::UnsyncedVotes, "LOST" },
    lost_forgetful = { Mutation::EmptyDiskVotes, "LOST" },
    route = { Mutation::StaleAddress, "ROUTE" },
    recover = { Mutation::AgentWithoutSeeds, "RECOVER" },
    unasked = { Mutation::ChangedRequestId, "UNASKED" },
    mixed = { Mutation::UnverifiedAnswer, "MIXED" },
    lost_request = { Mutation::ImmediateExit, "LOST" },
    denied = { Mutation::SpuriousDenial, "DENIED" },
    two_contents = { Mutation::ConfirmConflicts, "CONFIG" },
    given_twice = { Mutation::IgnoreLeaving, "LIMIT" },
    lost_at_the_end = { Mutation::SilentShutdown, "LOST" },
)]
fn a_rule_breaks_without_its_guard_and_holds_with_it(mutation: Mutation, rule: &str) {
    let mut seeds = 1..40;
    let broken =
        seeds.find(|seed| play(&day(*seed, mutation), false, false).breaches.iter().any(|b| b.rule == rule));
    let seed = broken.unwrap_or_else(|| panic!("{rule} holds without its guard"));
    let whole = Plan { mutation: None, ..day(seed, mutation) };
    assert_eq!(play(&whole, false, false).breaches, [], "seed {seed}");
}

#[test]
fn the_program_as_it_is_breaks_none_and_serves() {
    for seed in 900..906 {
        let report = play(&Plan::draw(seed, Size::Small, None), false, false);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.served_ratio() > 0.85, "seed {seed}: {}", report.served_ratio());
    }
}

/// One misses two changes, another loses its disk, and the rest are dark: the two that are there may not decide by what they hold.
#[test]
fn who_missed_changes_and_who_lost_its_disk_make_no_majority() {
    let behind = |seed, mutation| {
        let plan =
            Plan::quiet(seed, Size::Small).with(9 * SECOND, FaultKind::CoreBehind { lasts: 6 * SECOND });
        Plan { mutation, ..plan }
    };
    let mut seeds = 1..40;
    let broken = seeds
        .find(|seed| !play(&behind(*seed, Some(Mutation::EmptyDiskVotes)), false, false).breaches.is_empty());
    assert!(broken.is_some(), "an empty machine that votes at once is not found");
    for seed in 1..=6 {
        assert_eq!(play(&behind(seed, None), false, false).breaches, [], "seed {seed}");
    }
}

/// All control machines are told to end one after the other, while orders come and one of them is replaced.
#[test]
fn a_core_that_is_rolled_keeps_what_was_acknowledged() {
    for seed in 1..=6 {
        let plan = Plan::quiet(seed, Size::Small)
            .with(8 * SECOND, FaultKind::ReplaceCore { whom: ReplaceTarget::Planned, after: SECOND })
            .with(9 * SECOND, FaultKind::RollTerm { every: 700 * MS })
            .with(10 * SECOND, FaultKind::ConfigStorm { count: 12, every: 250 * MS })
            .with(16 * SECOND, FaultKind::RollTerm { every: 0 });
        let day = play(&plan, false, false);
        assert_eq!(day.breaches, [], "seed {seed}");
        assert!(day.propagation.iter().all(|(_, last)| last.is_some()), "{}", day.to_text());
        assert!(day.served_ratio() > 0.99, "{}", day.to_text());
    }
}

/// Confirmations that nobody hears, races of many, cuts of 20 s, halves, who acknowledged is gone.
#[test]
fn the_worst_days_of_control_break_none() {
    for seed in 1_300..1_312 {
        let report = play(&Plan::draw_control(seed, Size::Small, None), false, false);
        assert_eq!(report.breaches, [], "seed {seed}");
    }
}

/// What was confirmed is confirmed again, another content under its revision is refused, and what no operator heard is sent again.
#[test]
fn orders_that_come_again_are_answered_by_what_stands() {
    let mut refused = 0;
    for seed in 1..6 {
        let day = Plan::quiet(seed, Size::Small)
            .with(7 * SECOND, FaultKind::ConfigChange)
            .with(9 * SECOND, FaultKind::SameRevision)
            .with(10 * SECOND, FaultKind::SentAgain)
            .with(11 * SECOND, FaultKind::AckLost { share: 0.7, lasts: 8 * SECOND })
            .with(12 * SECOND, FaultKind::ConfigChange)
            .with(15 * SECOND, FaultKind::AfterAckKill { power: true, lasts: SECOND });
        let report = play(&day, false, true);
        assert_eq!(report.breaches, [], "seed {seed}");
        refused += report.trace.iter().filter(|line| line.contains("is refused by machine")).count();
    }
    assert_eq!(refused, 5);
}

#[test]
fn the_same_seed_is_the_same_day() {
    let plan = Plan::draw(17, Size::Small, None);
    let (one, two) = (play(&plan, false, true), play(&plan, false, true));
    assert_eq!((one.digest, one.events, one.requests), (two.digest, two.events, two.requests));
    assert_eq!(one.trace, two.trace);
    assert_ne!(one.digest, play(&Plan::draw(18, Size::Small, None), false, false).digest);
}

#[test]
fn a_quiet_day_is_fast_and_costs_what_the_users_bench_shows() {
    let report = play(&Plan::quiet(5, Size::Small), false, false);
    assert_eq!(report.served, report.requests);
    assert!(
        report.p50 < 90 * MS && report.slowest_propagation_ms().is_some_and(|ms| ms < 100),
        "{}",
        report.to_text()
    );
    assert!((250..600).contains(&report.starts), "{}", report.to_text());
}

/// A stall, then a worker, is taken out for some seconds in the midst of the day.
#[yare::parameterized(
    stall = { false },
    worker = { true },
)]
fn what_operators_take_out_is_emptied_and_nobody_notices(worker: bool) {
    for seed in 3..6 {
        let plan = Plan::quiet(seed, Size::Small);
        let plan = plan.with(10 * SECOND, FaultKind::Drain { worker, lasts: 8 * SECOND });
        let report = play(&plan, false, true);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.served_ratio() > 0.99, "seed {seed}: {}", report.served_ratio());
        let says = |what: &str| report.trace.iter().filter(|line| line.contains(what)).count();
        assert_eq!(says("is obeyed by machine"), 1, "seed {seed}");
        // All six hear of a naming by which it leaves, and then of one with it again; it lives all the while.
        let (leaves, gone, new) = (says("leaving edge"), says("gone edge"), says("new edge"));
        assert_eq!(gone, 0, "seed {seed}");
        assert!(if worker { leaves == 0 } else { leaves == 6 && new >= 6 }, "seed {seed}: {leaves}, {new}");
    }
}

/// Who acknowledged a change lost its disk before anybody else had heard that it stands: two stalls stayed on the one before for 19 s.
#[test]
fn a_change_whose_acknowledger_is_wiped_is_in_force_in_time() {
    let mut plan = Plan::draw(91_756, Size::Small, None);
    plan.faults.remove(5);
    plan.final_fault = None;
    assert_eq!(play(&plan, false, false).breaches, []);
}
