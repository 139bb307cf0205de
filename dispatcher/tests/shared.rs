//! What dispatchers share, between real processes with faults between them. Partners count: in no window do all
//! dispatchers together send more than the budget and the stated error, whatever a part of them hears. Where a fault of
//! the program is planted the same counts tell.
//!
//! The stated error (docs/properties.md): each dispatcher may send at once what a tenth of a second brings, one call at
//! least, and beside it the calls that were decided on and not yet written.

mod together;

use millpost_store::{Disk, Ledger};
use together::*;

/// Long, so that a machine with other things to do than to run tests moves few calls from one window to another.
const WINDOW: Duration = Duration::from_secs(4);

/// The most calls that a window may see: the budget, each one's calls at once, and a tenth for calls that came late.
fn bound(nodes: usize) -> usize {
    let budget = LIMIT as f64 * WINDOW.as_secs_f64();
    (budget * 1.1) as usize + nodes * (1 + LIMIT as usize / (10 * nodes))
}

/// The most calls in a window from this time on.
fn most(fleet: &Fleet, from: Duration) -> usize {
    let calls: Vec<Call> = fleet.calls().into_iter().filter(|call| call.at >= from).collect();
    let most = most_in(&calls, WINDOW);
    println!("{most} calls at most in a window of {} that may see {}", calls.len(), bound(fleet.nodes.len()));
    most
}

fn within(fleet: &Fleet, from: Duration) {
    let most = most(fleet, from);
    assert!(most <= bound(fleet.nodes.len()), "{most} calls in a window");
}

/// These dispatchers have more to send than their parts.
fn overload(fleet: &Fleet, nodes: impl IntoIterator<Item = usize>) -> Vec<Load> {
    nodes.into_iter().map(|node| fleet.load(node, 0, LIMIT as f64 / 2.0)).collect()
}

/// One dispatcher is busy, and has borrowed from the others.
fn lent(fleet: &Fleet) -> Load {
    let load = fleet.load(0, 0, LIMIT as f64);
    until("the one that is busy sends nearly twice its part", || {
        let now = fleet.now();
        let sent = sent(&fleet.calls(), 0, now.saturating_sub(2 * SECOND), now);
        (sent as u64 >= 2 * EVEN * 9 / 5).then_some(())
    });
    assert!(fleet.nodes[0].figure("tier_borrowed_permille") > 500);
    assert!(fleet.nodes[1..].iter().any(|node| node.figure("tier_lent_permille") > 0));
    load
}

#[test]
fn unused_parts_are_lent_and_the_sum_stays_within_the_budget() {
    let fleet = fleet(&[4; 4], 2, None, 11);
    let _one = lent(&fleet);
    let _others = overload(&fleet, 1..4);
    pass(&fleet, 2 * WINDOW);
    within(&fleet, Duration::ZERO);
    let (calls, now) = (fleet.calls(), fleet.now());
    for node in 0..4 {
        let sent = sent(&calls, node, now - WINDOW, now);
        assert!(sent as u64 > EVEN * 3, "{node} has its part: {sent}");
    }
}

/// Two halves, then three and one, each with more to send than its parts; then whole again.
fn split(planted: Option<&str>) -> (Fleet, usize) {
    let fleet = fleet(&[4; 4], 2, planted, 12);
    let _all = overload(&fleet, 0..4);
    fleet.relay.split(&[0, 1], &[2, 3]);
    until("the halves don't hear each other", || {
        fleet.nodes.iter().all(|n| n.figure("tier_alive") == 1).then_some(())
    });
    pass(&fleet, WINDOW);
    fleet.relay.heal();
    fleet.relay.split(&[0, 1, 2], &[3]);
    until("the last one hears nobody, and knows", || {
        (fleet.nodes[3].figure("tier_hears_nobody") == 1).then_some(())
    });
    pass(&fleet, WINDOW);
    let healed = fleet.now();
    fleet.relay.heal();
    met(&fleet, 3);
    // At rest within a term and some rounds: no jump.
    pass(&fleet, 2 * WINDOW);
    println!("healed at {healed:?}");
    let most = most(&fleet, Duration::ZERO);
    (fleet, most)
}

#[test]
fn the_sides_of_a_split_keep_to_their_parts_and_there_is_no_jump_when_it_heals() {
    let (fleet, most) = split(None);
    assert!(most <= bound(4), "{most}");
    let (calls, now) = (fleet.calls(), fleet.now());
    for node in 0..4 {
        assert!(sent(&calls, node, now - WINDOW, now) as u64 > EVEN * 3, "{node} has its part again");
    }
}

#[test]
fn shares_by_the_number_heard_are_found_in_a_split() {
    let (_fleet, most) = split(Some("shares-by-heard"));
    assert!(most > bound(4), "{most}");
}

/// One is paused for 5 s in possession of what it borrowed; the others use all of theirs meanwhile.
fn paused(planted: Option<&str>) -> (Fleet, usize) {
    let fleet = fleet(&[4; 4], 2, planted, 13);
    let _one = lent(&fleet);
    fleet.nodes[0].signal("STOP");
    let stopped = fleet.now();
    let _others = overload(&fleet, 1..4);
    pass(&fleet, 5 * SECOND);
    fleet.nodes[0].signal("CONT");
    pass(&fleet, WINDOW);
    let most = most(&fleet, stopped);
    (fleet, most)
}

#[test]
fn one_that_was_paused_uses_nothing_that_it_borrowed_before() {
    let (_fleet, most) = paused(None);
    assert!(most <= bound(4), "{most}");
}

#[test]
fn a_borrower_that_forgets_ends_is_found_by_a_pause() {
    let (_fleet, most) = paused(Some("forget-ends"));
    assert!(most > bound(4), "{most}");
}

#[test]
fn lender_and_borrower_may_restart_at_once_with_their_folders_or_without() {
    let mut fleet = fleet(&[4; 4], 2, None, 14);
    for lose in [false, true] {
        let load = lent(&fleet);
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
    within(&fleet, Duration::ZERO);
}

#[test]
fn whoever_is_not_heard_or_hears_nothing_has_its_even_part_and_no_more() {
    let fleet = fleet(&[4; 4], 2, None, 15);
    // The first is heard and hears nothing; the second hears and is not heard.
    for other in [1, 2, 3] {
        fleet.relay.set(other, 0, Way::CUT);
    }
    for other in [0, 2, 3] {
        fleet.relay.set(1, other, Way::CUT);
    }
    until("the deaf one knows", || (fleet.nodes[0].figure("tier_hears_nobody") == 1).then_some(()));
    until("the mute one is not heard of", || (fleet.nodes[2].figure("tier_alive") == 2).then_some(()));
    assert_eq!(fleet.nodes[1].figure("tier_hears_nobody"), 0);
    let _all = overload(&fleet, 0..4);
    pass(&fleet, SECOND);
    let from = fleet.now();
    pass(&fleet, 2 * WINDOW);
    within(&fleet, Duration::ZERO);
    let (calls, seconds) = (fleet.calls(), (fleet.now() - from).as_secs_f64());
    for node in [0, 1] {
        let rate = sent(&calls, node, from, fleet.now()) as f64 / seconds;
        assert!((0.7 * EVEN as f64..1.3 * EVEN as f64).contains(&rate), "{node} sends {rate} a second");
    }
}

#[test]
fn datagrams_lost_late_repeated_and_out_of_order_break_no_bound() {
    let fleet = fleet(&[4; 4], 2, None, 16);
    let way = Way { loss: 0.3, repeated: 0.5, delay: [Duration::ZERO, Duration::from_millis(1_500)] };
    fleet.relay.set_all(way);
    let one = fleet.load(0, 0, LIMIT as f64);
    pass(&fleet, WINDOW);
    // What was carried until now comes once more, all at once.
    for (from, to, bytes) in fleet.relay.carried_last() {
        fleet.relay.forge(from, to, &bytes).expect("sent");
    }
    let _others = overload(&fleet, 1..4);
    pass(&fleet, 2 * WINDOW);
    within(&fleet, Duration::ZERO);
    drop(one);
}

#[test]
fn while_half_of_them_are_told_of_more_dispatchers_the_larger_number_holds() {
    // Six processes: two have heard of a fleet of four, all the others of one of eight.
    let fleet = fleet(&[4, 4, 8, 8], 2, None, 17);
    let _all = overload(&fleet, 0..4);
    pass(&fleet, SECOND);
    let from = fleet.now();
    pass(&fleet, 2 * WINDOW);
    let (calls, seconds) = (fleet.calls(), (fleet.now() - from).as_secs_f64());
    for node in 0..4 {
        let rate = sent(&calls, node, from, fleet.now()) as f64 / seconds;
        assert!(rate < 1.3 * LIMIT as f64 / 8.0, "{node} sends {rate} a second");
    }
}

#[test]
fn a_process_replaced_while_it_lends_breaks_no_bound() {
    let mut fleet = fleet(&[4; 4], 2, None, 18);
    let _one = lent(&fleet);
    let mut before: Vec<_> = [0, 1].into_iter().map(|node| fleet.nodes[node].upgrade()).collect();
    let _others = overload(&fleet, 1..4);
    met(&fleet, 3);
    pass(&fleet, 2 * WINDOW);
    within(&fleet, Duration::ZERO);
    before.iter_mut().for_each(millpost_standins::node::Beside::kill);
}

#[test]
fn a_limit_that_falls_while_parts_are_lent_is_kept_to() {
    let fleet = fleet(&[4; 4], 2, None, 19);
    let _one = lent(&fleet);
    // Half of them hear at once that it is half, the others a while later: the larger number binds until then.
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
    within(&fleet, Duration::ZERO);
    let most = most(&fleet, from);
    assert!(most < bound(4) * 6 / 10, "{most} calls in a window, of half the limit");
}

/// The folder of a process that has ended says that the clock was an hour ahead once: the next one goes by that.
fn an_hour_ahead(folder: &std::path::Path) {
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
fn eight_with_clocks_an_hour_apart_some_deaf_and_one_mute_keep_the_bound() {
    let mut fleet = fleet(&[8; 8], 2, None, 20);
    for node in [0, 1] {
        fleet.nodes[node].kill();
        an_hour_ahead(fleet.nodes[node].state.path());
        fleet.nodes[node].start_again();
    }
    met(&fleet, 7);
    let busy = fleet.load(0, 0, LIMIT as f64);
    until("one whose clock is ahead borrows", || {
        (fleet.nodes[0].figure("tier_borrowed_permille") > 500).then_some(())
    });
    for other in 0..8 {
        [2, 3].into_iter().for_each(|deaf| fleet.relay.set(other, deaf, Way::CUT));
        fleet.relay.set(4, other, Way::CUT);
    }
    let _all = overload(&fleet, 0..8);
    pass(&fleet, 2 * WINDOW);
    let healed = fleet.now();
    fleet.relay.heal();
    met(&fleet, 7);
    println!("all hear all {:?} after it has healed", fleet.now() - healed);
    pass(&fleet, WINDOW);
    within(&fleet, Duration::ZERO);
    drop(busy);
}
