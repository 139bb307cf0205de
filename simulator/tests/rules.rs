//! Each rule is violated when its safeguard is disabled and holds otherwise, and runs are deterministic.

use millpost_simulator::day::play;
use millpost_simulator::mutation::Mutation;
use millpost_simulator::plan::{CATCH_UP, FaultKind, FinalFault, Plan, ReplaceTarget};
use millpost_simulator::site::Size;
use millpost_simulator::{MS, SECOND};

/// Two rolling restarts of the edge machines of a homework site under this load.
fn rolling_restarts(seed: u64, load: f64) -> Plan {
    let roll = FaultKind::EdgeRoll { share: 1.0, every: 1_300 * MS };
    let plan = Plan { homework: Some(load), strict: true, ..Plan::quiet(seed, Size::Small) };
    plan.with(8 * SECOND, roll.clone()).with(17 * SECOND, roll)
}

/// All core machines are replaced, the leader last, and then the configuration changes.
fn replaced_core(seed: u64) -> Plan {
    Plan { length_factor: 3, ..Plan::quiet(seed, Size::Small) }
        .with(8 * SECOND, FaultKind::ReplaceEach { every: 9 * SECOND })
        .with(50 * SECOND, FaultKind::ConfigChange)
        .with(55 * SECOND, FaultKind::ConfigChange)
}

/// Core machines are removed at the same moment, once their successors have caught up and right after a change; `gap`
/// later another one loses its disk.
fn succeeded_and_lost(seed: u64, count: usize, term: bool, gap: u64) -> Plan {
    let removal = 8 * SECOND + CATCH_UP;
    let mut plan = Plan { length_factor: 2, ..Plan::quiet(seed, Size::Small) }
        .with(8 * SECOND, FaultKind::SucceedCore { count, term })
        .with(removal - 50 * MS, FaultKind::ConfigChange)
        .with(removal + gap, FaultKind::DiskLoss { lasts: SECOND })
        .with(removal + 15 * SECOND, FaultKind::ConfigChange);
    // With one seed for all, the successor would be the machine that loses its disk.
    (0..).zip(&mut plan.faults).for_each(|(n, fault)| fault.target_seed = seed + 1_000 * n);
    plan
}

/// A day on which the disabled safeguard matters.
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
        // Endpoints refuse requests and send copies of their answers; attempts may go to two endpoints.
        Mutation::SharedConnections => {
            let plan = Plan { unsafe_tries: 2, length_factor: 2, ..quiet };
            (0..8).fold(plan, |plan, n| {
                let copies = FaultKind::LateCopies { refused: 0.25, copied: 0.2, lasts: 5 * SECOND };
                plan.with((8 + 5 * n) * SECOND, copies)
            })
        }
        // All core machines are replaced, one at a time.
        Mutation::IgnoreControllers => replaced_core(seed),
        // A machine is removed behind its successor, and another one loses its disk.
        Mutation::NoSuccession => succeeded_and_lost(seed, 1, false, SECOND),
        Mutation::IgnoreLeaving => rolling_restarts(seed, 6.0),
        Mutation::SilentShutdown => rolling_restarts(seed, 4.0),
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
    conflicting_contents = { Mutation::ConfirmConflicts, "CONFIG" },
    slots_granted_twice = { Mutation::IgnoreLeaving, "LIMIT" },
    refused_by_a_late_copy = { Mutation::SharedConnections, "REFUSED" },
    lost_behind_a_spare = { Mutation::NoSuccession, "CONFIG" },
    cut_off_by_a_replaced_core = { Mutation::IgnoreControllers, "CONFIG" },
    lost_at_shutdown = { Mutation::SilentShutdown, "LOST" },
)]
fn rule_is_violated_only_without_its_safeguard(mutation: Mutation, rule: &str) {
    let mut seeds = 1..40;
    let violating =
        seeds.find(|seed| play(&day(*seed, mutation), false, false).breaches.iter().any(|b| b.rule == rule));
    let seed = violating.unwrap_or_else(|| panic!("{rule} holds without its safeguard"));
    let unmutated = Plan { mutation: None, ..day(seed, mutation) };
    assert_eq!(play(&unmutated, false, false).breaches, [], "seed {seed}");
}

#[test]
fn random_days_violate_no_rule_and_serve_requests() {
    for seed in 900..906 {
        let report = play(&Plan::draw(seed, Size::Small, None), false, false);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.served_ratio() > 0.85, "seed {seed}: {}", report.served_ratio());
    }
}

/// One machine misses two changes, another loses its disk, and the rest are without power: the two that are
/// up must not form a majority.
#[test]
fn lagging_and_wiped_voters_form_no_majority() {
    let lagging_day = |seed, mutation| {
        let plan =
            Plan::quiet(seed, Size::Small).with(9 * SECOND, FaultKind::CoreBehind { lasts: 6 * SECOND });
        Plan { mutation, ..plan }
    };
    let mut seeds = 1..40;
    let violating = seeds.find(|seed| {
        !play(&lagging_day(*seed, Some(Mutation::EmptyDiskVotes)), false, false).breaches.is_empty()
    });
    assert!(violating.is_some(), "an empty voter that votes at once is not detected");
    for seed in 1..=6 {
        assert_eq!(play(&lagging_day(seed, None), false, false).breaches, [], "seed {seed}");
    }
}

/// Rolling restarts of the core while configurations are submitted and one core machine is replaced.
#[test]
fn rolling_core_restart_keeps_acknowledged_configurations() {
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

/// Guards against edge machines cut off from control: an agent knew only the controllers of its settings file
/// and the leader, and none of them was left after the core was replaced one machine at a time.
#[test]
fn edge_machines_follow_a_core_of_which_each_machine_was_replaced() {
    for seed in 1..=6 {
        let day = play(&replaced_core(seed), false, true);
        let replaced = day.trace.iter().filter(|line| line.contains("takes the place of")).count();
        assert_eq!((replaced, &*day.breaches), (4, &[][..]), "seed {seed}");
        assert!(day.propagation.iter().all(|(_, last)| last.is_some()), "seed {seed}: {}", day.to_text());
        assert!(day.served_ratio() > 0.99, "seed {seed}: {}", day.to_text());
    }
}

/// Guards against a configuration that is gone with a machine that no longer counts as lost, since its successor has
/// caught up, and with the next one to be lost. All machines of the core may be removed like that at the same moment.
#[test]
fn a_core_machine_may_be_lost_right_after_others_were_removed_behind_their_successors() {
    for seed in 1..=3 {
        for (count, term) in [(1, false), (1, true), (2, false), (4, false), (4, true)] {
            let day = play(&succeeded_and_lost(seed, count, term, seed * 700 * MS), false, true);
            let traced = |what: &str| day.trace.iter().filter(|line| line.contains(what)).count();
            let what = format!("seed {seed}: {count} removed, {term}");
            assert_eq!((traced("is removed behind"), traced("loses its disk")), (count, 1), "{what}");
            assert_eq!(day.breaches, [], "{what}");
            assert!(day.propagation.iter().all(|(_, last)| last.is_some()), "{what}: {}", day.to_text());
        }
    }
}

/// Core machines are removed behind their successors, and others are lost, cut off or killed.
#[test]
fn succession_days_violate_no_rule() {
    for seed in 1..=3 {
        let report = play(&Plan::draw_succession(seed, Size::Small, None), false, false);
        assert_eq!(report.breaches, [], "seed {seed}");
    }
}

/// Core machines are replaced while endpoints refuse requests and send copies of their answers.
#[test]
fn turnover_days_violate_no_rule() {
    for seed in 1..=4 {
        let report = play(&Plan::draw_turnover(seed, Size::Small, None), false, true);
        assert_eq!(report.breaches, [], "seed {seed}");
        let traced = |what: &str| report.trace.iter().any(|line| line.contains(what));
        assert!(traced("takes the place of") && traced("a late copy of an answer"), "seed {seed}");
    }
}

/// Guards against an acknowledged configuration that is gone with a zone that may be lost: two of the three seeds, which
/// vote first, are in it. Then each other zone is lost, too, one after the other.
#[test]
fn each_zone_may_be_lost_with_its_disks() {
    for seed in 1..=4 {
        let plan = Plan { length_factor: 3, zone_losses: 1, ..Plan::quiet(seed, Size::Small) };
        let plan = (0..4).fold(plan, |plan, zone| {
            let at = 14 * SECOND + zone as u64 * 15 * SECOND;
            plan.with(at, FaultKind::ConfigChange)
                .with(at + 100 * MS, FaultKind::ZoneLoss { zone, lasts: SECOND + seed * SECOND })
        });
        let day = play(&plan, false, true);
        let lost = day.trace.iter().filter(|line| line.contains("is lost with its disks")).count();
        assert_eq!((lost, &*day.breaches), (4, &[][..]), "seed {seed}");
        assert!(day.propagation.iter().all(|(_, last)| last.is_some()), "seed {seed}: {}", day.to_text());
        assert!(day.served_ratio() > 0.8, "seed {seed}: {}", day.to_text());
    }
}

/// Lost acknowledgements, concurrent submissions, partitions of 20 s, split cores, and crashes right after an
/// acknowledgement.
#[test]
fn controller_fault_days_violate_no_rule() {
    for seed in 1_300..1_312 {
        let report = play(&Plan::draw_control(seed, Size::Small, None), false, false);
        assert_eq!(report.breaches, [], "seed {seed}");
    }
}

/// A confirmed configuration is confirmed again, different content under its revision is refused, and an
/// operator that got no response submits again.
#[test]
fn repeated_submissions_are_answered_from_committed_state() {
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
fn equal_seeds_give_equal_runs() {
    let plan = Plan::draw(17, Size::Small, None);
    let (one, two) = (play(&plan, false, true), play(&plan, false, true));
    assert_eq!((one.digest, one.events, one.requests), (two.digest, two.events, two.requests));
    assert_eq!(one.trace, two.trace);
    assert_ne!(one.digest, play(&Plan::draw(18, Size::Small, None), false, false).digest);
}

#[test]
fn day_without_faults_matches_measured_latency_and_starts() {
    let report = play(&Plan::quiet(5, Size::Small), false, false);
    assert_eq!(report.served, report.requests);
    assert!(
        report.p50 < 90 * MS && report.slowest_propagation_ms().is_some_and(|ms| ms < 100),
        "{}",
        report.to_text()
    );
    assert!((250..600).contains(&report.starts), "{}", report.to_text());
}

/// A proxy or a worker is drained for some seconds during the day.
#[yare::parameterized(
    stall = { false },
    worker = { true },
)]
fn operator_drain_is_invisible_to_clients(worker: bool) {
    for seed in 3..6 {
        let plan = Plan::quiet(seed, Size::Small);
        let plan = plan.with(10 * SECOND, FaultKind::Drain { worker, lasts: 8 * SECOND });
        let report = play(&plan, false, true);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.served_ratio() > 0.99, "seed {seed}: {}", report.served_ratio());
        let trace_count = |what: &str| report.trace.iter().filter(|line| line.contains(what)).count();
        assert_eq!(trace_count("is obeyed by machine"), 1, "seed {seed}");
        // All six agents receive a view in which the proxy is leaving, and then one with it again; it runs
        // all the while.
        let (leaves, gone, new) =
            (trace_count("leaving edge"), trace_count("gone edge"), trace_count("new edge"));
        assert_eq!(gone, 0, "seed {seed}");
        assert!(if worker { leaves == 0 } else { leaves == 6 && new >= 6 }, "seed {seed}: {leaves}, {new}");
    }
}

/// The core machine that acknowledged a change lost its disk before any other had learned that it was
/// committed: two proxies stayed on the previous configuration for 19 s.
#[test]
fn change_is_applied_in_time_after_its_acknowledger_is_wiped() {
    let mut plan = Plan::draw(91_756, Size::Small, None);
    plan.faults.remove(5);
    plan.final_fault = None;
    assert_eq!(play(&plan, false, false).breaches, []);
}
