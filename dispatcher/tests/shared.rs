//! Shared call budgets between real processes with network and process faults. Partners count the calls: in
//! no window may all dispatchers together exceed the budget plus the stated error, whatever messages are
//! lost. Where a test injects a fault into the program, the same counts must reveal it.
//!
//! The stated error (docs/properties.md): each dispatcher may burst a tenth of a second's calls, at least
//! one, plus the calls that were decided on but not yet written.

mod together;

use millpost_store::{Disk, Ledger};
use together::*;

/// Long, so that delays on a busy machine move few calls from one window to another.
const WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of calls in a window: the budget, each dispatcher's burst, and a tenth for delayed calls.
fn bound(nodes: usize) -> usize {
    let budget = LIMIT as f64 * WINDOW.as_secs_f64();
    (budget * 1.1) as usize + nodes * (1 + LIMIT as usize / (10 * nodes))
}

/// The highest number of calls in any window from this time on.
fn max_calls(fleet: &Fleet, from: Duration) -> usize {
    let calls: Vec<Call> = fleet.calls().into_iter().filter(|call| call.at >= from).collect();
    let max = most_in(&calls, WINDOW);
    println!("of {} calls at most {max} in a window, {} allowed", calls.len(), bound(fleet.nodes.len()));
    max
}

/// Asserts that no window from this time on exceeds the bound.
fn assert_within_bound(fleet: &Fleet, from: Duration) {
    let max = max_calls(fleet, from);
    assert!(max <= bound(fleet.nodes.len()), "{max} calls in a window");
}

/// Starts load above the shares of these dispatchers.
fn overload(fleet: &Fleet, nodes: impl IntoIterator<Item = usize>) -> Vec<Load> {
    nodes.into_iter().map(|node| fleet.load(node, 0, LIMIT as f64 / 2.0)).collect()
}

/// Starts load on one dispatcher and waits until it has borrowed from the others.
fn borrow(fleet: &Fleet) -> Load {
    let load = fleet.load(0, 0, LIMIT as f64);
    until("the busy dispatcher sends nearly twice its share", || {
        let now = fleet.now();
        let sent = sent(&fleet.calls(), 0, now.saturating_sub(2 * SECOND), now);
        (sent as u64 >= 2 * EVEN * 9 / 5).then_some(())
    });
    assert!(fleet.nodes[0].figure("tier_borrowed_permille") > 500);
    assert!(fleet.nodes[1..].iter().any(|node| node.figure("tier_lent_permille") > 0));
    load
}

#[test]
fn unused_shares_are_lent_and_the_total_stays_within_the_budget() {
    let fleet = fleet(&[4; 4], 2, None, 11);
    let _one = borrow(&fleet);
    let _others = overload(&fleet, 1..4);
    pass(&fleet, 2 * WINDOW);
    assert_within_bound(&fleet, Duration::ZERO);
    let (calls, now) = (fleet.calls(), fleet.now());
    for node in 0..4 {
        let sent = sent(&calls, node, now - WINDOW, now);
        assert!(sent as u64 > EVEN * 3, "{node} must have its share: {sent}");
    }
}

/// Splits the fleet into halves, then into three and one, under load above their shares; then heals the
/// network. Returns the highest number of calls in a window.
fn split(planted: Option<&str>) -> (Fleet, usize) {
    let fleet = fleet(&[4; 4], 2, planted, 12);
    let _all = overload(&fleet, 0..4);
    fleet.relay.split(&[0, 1], &[2, 3]);
    until("the halves are disconnected", || {
        fleet.nodes.iter().all(|n| n.figure("tier_alive") == 1).then_some(())
    });
    pass(&fleet, WINDOW);
    fleet.relay.heal();
    fleet.relay.split(&[0, 1, 2], &[3]);
    until("the last dispatcher detects that it is isolated", || {
        (fleet.nodes[3].figure("tier_hears_nobody") == 1).then_some(())
    });
    pass(&fleet, WINDOW);
    let healed = fleet.now();
    fleet.relay.heal();
    met(&fleet, 3);
    // Settles within a term and a few rounds, without a burst.
    pass(&fleet, 2 * WINDOW);
    println!("healed at {healed:?}");
    let max = max_calls(&fleet, Duration::ZERO);
    (fleet, max)
}

#[test]
fn sides_of_a_split_keep_to_their_shares_without_a_burst_after_healing() {
    let (fleet, max) = split(None);
    assert!(max <= bound(4), "{max}");
    let (calls, now) = (fleet.calls(), fleet.now());
    for node in 0..4 {
        assert!(sent(&calls, node, now - WINDOW, now) as u64 > EVEN * 3, "{node} must have its share again");
    }
}

#[test]
fn split_detects_the_fault_of_shares_by_reachable_dispatchers() {
    let (_fleet, max) = split(Some("shares-by-heard"));
    assert!(max > bound(4), "{max}");
}

/// Pauses a dispatcher for 5 s while it holds borrowed shares; the others use all of theirs meanwhile.
/// Returns the highest number of calls in a window.
fn paused(planted: Option<&str>) -> (Fleet, usize) {
    let fleet = fleet(&[4; 4], 2, planted, 13);
    let _one = borrow(&fleet);
    fleet.nodes[0].signal("STOP");
    let stopped = fleet.now();
    let _others = overload(&fleet, 1..4);
    pass(&fleet, 5 * SECOND);
    fleet.nodes[0].signal("CONT");
    pass(&fleet, WINDOW);
    let max = max_calls(&fleet, stopped);
    (fleet, max)
}

#[test]
fn paused_dispatcher_does_not_use_expired_loans() {
    let (_fleet, max) = paused(None);
    assert!(max <= bound(4), "{max}");
}

#[test]
fn pause_detects_the_fault_of_forgetting_loan_ends() {
    let (_fleet, max) = paused(Some("forget-ends"));
    assert!(max > bound(4), "{max}");
}

#[test]
fn lender_and_borrower_restart_together_with_and_without_their_folders() {
    let mut fleet = fleet(&[4; 4], 2, None, 14);
    for lose in [false, true] {
        let load = borrow(&fleet);
        for node in [0, 1] {
            fleet.nodes[node].kill();
        }
        for node in [0, 1] {
            if lose {
                fleet.nodes[node].lose_folder();
            }
            fleet.nodes[node].relaunch();
        }
        [0, 1].into_iter().for_each(|node| fleet.nodes[node].ready());
        let _others = overload(&fleet, 1..4);
        met(&fleet, 3);
        pass(&fleet, WINDOW);
        drop(load);
    }
    assert_within_bound(&fleet, Duration::ZERO);
}

#[test]
fn one_way_disconnected_dispatchers_have_exactly_their_equal_share() {
    let fleet = fleet(&[4; 4], 2, None, 15);
    // The first dispatcher can only send, the second can only receive.
    for other in [1, 2, 3] {
        fleet.relay.set(other, 0, Way::CUT);
    }
    for other in [0, 2, 3] {
        fleet.relay.set(1, other, Way::CUT);
    }
    until("the one that receives nothing detects it", || {
        (fleet.nodes[0].figure("tier_hears_nobody") == 1).then_some(())
    });
    until("the others no longer count the silent one", || {
        (fleet.nodes[2].figure("tier_alive") == 2).then_some(())
    });
    assert_eq!(fleet.nodes[1].figure("tier_hears_nobody"), 0);
    let _all = overload(&fleet, 0..4);
    pass(&fleet, SECOND);
    let from = fleet.now();
    pass(&fleet, 2 * WINDOW);
    assert_within_bound(&fleet, Duration::ZERO);
    let (calls, seconds) = (fleet.calls(), (fleet.now() - from).as_secs_f64());
    for node in [0, 1] {
        let rate = sent(&calls, node, from, fleet.now()) as f64 / seconds;
        assert!(
            (0.7 * EVEN as f64..1.3 * EVEN as f64).contains(&rate),
            "{node} sends {rate} calls per second"
        );
    }
}

#[test]
fn lost_late_repeated_and_reordered_datagrams_keep_the_bound() {
    let fleet = fleet(&[4; 4], 2, None, 16);
    let way = Way { loss: 0.3, repeated: 0.5, delay: [Duration::ZERO, Duration::from_millis(1_500)] };
    fleet.relay.set_all(way);
    let one = fleet.load(0, 0, LIMIT as f64);
    pass(&fleet, WINDOW);
    // Replays the recent datagrams all at once.
    for (from, to, bytes) in fleet.relay.carried_last() {
        fleet.relay.forge(from, to, &bytes).expect("sent");
    }
    let _others = overload(&fleet, 1..4);
    pass(&fleet, 2 * WINDOW);
    assert_within_bound(&fleet, Duration::ZERO);
    drop(one);
}

#[test]
fn larger_configured_fleet_size_applies_while_configurations_differ() {
    // Two dispatchers are configured for a fleet of four, the others for one of eight.
    let fleet = fleet(&[4, 4, 8, 8], 2, None, 17);
    let _all = overload(&fleet, 0..4);
    pass(&fleet, SECOND);
    let from = fleet.now();
    pass(&fleet, 2 * WINDOW);
    let (calls, seconds) = (fleet.calls(), (fleet.now() - from).as_secs_f64());
    for node in 0..4 {
        let rate = sent(&calls, node, from, fleet.now()) as f64 / seconds;
        assert!(rate < 1.3 * LIMIT as f64 / 8.0, "{node} sends {rate} calls per second");
    }
}

#[test]
fn replacing_processes_during_loans_keeps_the_bound() {
    let mut fleet = fleet(&[4; 4], 2, None, 18);
    let _one = borrow(&fleet);
    let mut before: Vec<_> = [0, 1].into_iter().map(|node| fleet.nodes[node].upgrade()).collect();
    let _others = overload(&fleet, 1..4);
    met(&fleet, 3);
    pass(&fleet, 2 * WINDOW);
    assert_within_bound(&fleet, Duration::ZERO);
    before.iter_mut().for_each(millpost_standins::node::Beside::kill);
}

#[test]
fn reduced_limit_is_observed_while_shares_are_lent() {
    let fleet = fleet(&[4; 4], 2, None, 19);
    let _one = borrow(&fleet);
    // Half of the dispatchers receive the halved limit at once, the others later; the larger limit applies
    // until then.
    let lower = |node: usize| {
        let agent = &fleet.agents()[node];
        agent.tell(&fleet.lines(node, LIMIT as f64 / 2.0));
    };
    [0, 1].into_iter().for_each(lower);
    let _others = overload(&fleet, 1..4);
    pass(&fleet, SECOND);
    [2, 3].into_iter().for_each(lower);
    pass(&fleet, 3 * SECOND);
    let from = fleet.now();
    pass(&fleet, 2 * WINDOW);
    assert_within_bound(&fleet, Duration::ZERO);
    let max = max_calls(&fleet, from);
    assert!(max < bound(4) * 6 / 10, "{max} calls in a window, with half the limit");
}

/// Writes a time one hour ahead into the store of an ended process, so that the clock of the next one starts
/// there.
fn set_clock_ahead(folder: &std::path::Path) {
    let open = |now| {
        let options = millpost_store::Options::new(3_000_000, millpost_store::Durability::Process);
        Ledger::open(Disk::open_within(folder, SECOND).expect("the folder"), options, now, 7, None)
            .expect("a store")
    };
    let hour = 3_600_000_000_000;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let later = now.as_nanos() as u64 + hour;
    open(0).0.record_learned(later, [(99, None, Some(vec![0]))]).expect("written");
    assert!(open(0).1.latest_time >= later);
}

#[test]
fn clock_skew_and_one_way_disconnections_keep_the_bound() {
    let mut fleet = fleet(&[8; 8], 2, None, 20);
    for node in [0, 1] {
        fleet.nodes[node].kill();
        set_clock_ahead(fleet.nodes[node].state.path());
        fleet.nodes[node].start_again();
    }
    met(&fleet, 7);
    let busy = fleet.load(0, 0, LIMIT as f64);
    until("a dispatcher with its clock ahead borrows", || {
        (fleet.nodes[0].figure("tier_borrowed_permille") > 500).then_some(())
    });
    for other in 0..8 {
        [2, 3].into_iter().for_each(|node| fleet.relay.set(other, node, Way::CUT));
        fleet.relay.set(4, other, Way::CUT);
    }
    let _all = overload(&fleet, 0..8);
    pass(&fleet, 2 * WINDOW);
    let healed = fleet.now();
    fleet.relay.heal();
    met(&fleet, 7);
    println!("all dispatchers hear each other {:?} after healing", fleet.now() - healed);
    pass(&fleet, WINDOW);
    assert_within_bound(&fleet, Duration::ZERO);
    drop(busy);
}
