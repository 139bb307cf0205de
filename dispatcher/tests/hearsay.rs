//! Endpoint observations shared between real dispatcher processes: requested waits, unreachable endpoints, a
//! dispatcher that cannot reach any endpoint itself, and foreign or malformed datagrams.

mod together;

use together::*;

/// Starts traffic below every dispatcher's share.
fn traffic(fleet: &Fleet, nodes: impl IntoIterator<Item = usize>) -> Vec<Load> {
    nodes.into_iter().map(|node| fleet.load(node, 0, EVEN as f64 / 2.0)).collect()
}

fn calls_to(fleet: &Fleet, endpoint: usize, node: usize, from: Duration) -> usize {
    fleet.calls().iter().filter(|c| c.endpoint == endpoint && c.node == node && c.at >= from).count()
}

#[test]
fn wait_requested_from_one_dispatcher_binds_all_connected_ones() {
    let fleet = fleet(&[4; 4], 1, None, 21);
    fleet.relay.split(&[0, 1, 2], &[3]);
    let wait = Duration::from_secs(4);
    fleet.waits(0, wait);
    let ends = fleet.now() + wait;
    assert_eq!(fleet.nodes[0].hand_in("safe", "first", 0, 20.0), 202);
    until("one dispatcher is asked to wait", || fleet.calls().first().map(|call| call.status == 429));
    // The observation spreads within a few rounds.
    pass(&fleet, Duration::from_millis(500));
    let heard = fleet.now();
    let _all = traffic(&fleet, 0..4);
    pass(&fleet, Duration::from_secs(6));
    let early =
        |node: usize| fleet.calls().iter().filter(|c| c.node == node && c.at >= heard && c.at < ends).count();
    assert_eq!(
        [early(0), early(1), early(2)],
        [0; 3],
        "informed dispatchers must not call before the wait ends"
    );
    assert!(early(3) > 0, "the disconnected dispatcher must find out by calling");
    let after = |node| fleet.calls().iter().any(|c| c.node == node && c.at >= ends && c.status == 200);
    until("all dispatchers call again", || (0..4).all(after).then_some(()));
}

/// The first dispatcher cannot reach one of two endpoints, and the others have had no traffic yet. Returns
/// how many of them call that endpoint once they have traffic, and how many endpoints they suspect before.
fn one_observer(planted: Option<&str>, seed: u64) -> (usize, u64) {
    let fleet = fleet(&[4; 4], 2, planted, seed);
    fleet.unreached(0, &[0]);
    let _own = traffic(&fleet, [0]);
    let failed = || fleet.calls().iter().filter(|c| c.status == 0).count();
    until("calls fail", || (failed() >= 3).then_some(()));
    pass(&fleet, Duration::from_secs(1));
    let hearsay = fleet.nodes[1..].iter().map(|node| node.figure("tier_hearsay")).sum();
    let from = fleet.now();
    let _others: Vec<_> = [1, 2, 3].into_iter().map(|node| fleet.load(node, 0, 4.0)).collect();
    until("the others have traffic", || {
        (1..4).all(|n| fleet.calls().iter().filter(|c| c.node == n).count() >= 4).then_some(())
    });
    ((1..4).filter(|node| calls_to(&fleet, 0, *node, from) > 0).count(), hearsay)
}

#[test]
fn one_report_does_not_take_an_endpoint_out_of_use() {
    assert_eq!(one_observer(None, 22), (3, 0));
}

#[test]
fn detects_the_fault_of_accepting_a_single_witness() {
    let (used, hearsay) = one_observer(Some("one-witness"), 22);
    assert!(used == 0 && hearsay == 3, "{used} dispatchers use the endpoint, {hearsay} suspect it");
}

#[test]
fn dispatcher_cut_off_from_all_endpoints_detects_its_own_fault_and_recovers() {
    let fleet = fleet(&[4; 4], 2, None, 23);
    let _all = traffic(&fleet, 0..4);
    until("all dispatchers have called", || {
        (0..4).all(|n| fleet.calls().iter().any(|c| c.node == n)).then_some(())
    });
    [0, 1].into_iter().for_each(|endpoint| fleet.unreached(endpoint, &[0]));
    until("it reports itself at fault", || (fleet.nodes[0].figure("tier_at_fault") == 1).then_some(()));
    let from = fleet.now();
    pass(&fleet, Duration::from_secs(3));
    for node in 1..4 {
        assert_eq!(
            (fleet.nodes[node].figure("tier_at_fault"), fleet.nodes[node].figure("tier_hearsay")),
            (0, 0)
        );
        assert!(calls_to(&fleet, 0, node, from) + calls_to(&fleet, 1, node, from) > 8);
    }
    [0, 1].into_iter().for_each(|endpoint| fleet.unreached(endpoint, &[]));
    until("it reports itself recovered", || (fleet.nodes[0].figure("tier_at_fault") == 0).then_some(()));
}

#[test]
fn endpoint_reachable_by_half_of_the_fleet_is_used_by_that_half() {
    let fleet = fleet(&[4; 4], 2, None, 24);
    fleet.unreached(0, &[2, 3]);
    let _all = traffic(&fleet, 0..4);
    pass(&fleet, Duration::from_secs(3));
    let from = fleet.now();
    pass(&fleet, Duration::from_secs(4));
    for node in [0, 1] {
        let (there, all) = (calls_to(&fleet, 0, node, from), calls_to(&fleet, 1, node, from));
        assert!(2 * there >= all, "{node}: {there} calls there, {all} to the other");
    }
    for node in [2, 3] {
        let (there, all) = (calls_to(&fleet, 0, node, from), calls_to(&fleet, 1, node, from));
        assert!(2 * there < all, "{node}: {there} calls there, {all} to the other");
    }
}

#[test]
fn reported_outage_keeps_others_off_the_endpoint_until_it_fades() {
    let fleet = fleet(&[4; 4], 2, None, 25);
    fleet.unreached(0, &[0, 1, 2, 3]);
    let loads = traffic(&fleet, [0, 1]);
    until("the others have received the report", || {
        fleet.nodes[2..].iter().all(|node| node.figure("tier_hearsay") == 1).then_some(())
    });
    let from = fleet.now();
    let more = traffic(&fleet, [2, 3]);
    pass(&fleet, Duration::from_secs(4));
    for node in [2, 3] {
        let (there, all) = (calls_to(&fleet, 0, node, from), calls_to(&fleet, 1, node, from));
        assert!(
            there <= 2 && all > 8,
            "{node}: {there} calls to the unreachable endpoint, {all} to the other"
        );
    }
    drop((loads, more));
    until("the report has faded", || {
        fleet.nodes.iter().all(|node| node.figure("tier_hearsay") == 0).then_some(())
    });
    // The endpoint is back and the other one is down: the faded report must keep nobody off it.
    fleet.unreached(0, &[]);
    fleet.unreached(1, &[0, 1, 2, 3]);
    let _all = traffic(&fleet, 0..4);
    let back = |node| fleet.calls().iter().any(|c| c.node == node && c.endpoint == 0 && c.status == 200);
    until("all dispatchers use the endpoint", || (0..4).all(back).then_some(()));
}

#[test]
fn foreign_malformed_excess_and_other_version_datagrams_are_only_counted() {
    let fleet = fleet(&[4; 4], 1, None, 26);
    let node = &fleet.nodes[0];
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (_, _, real) =
        fleet.relay.carried_last().into_iter().rfind(|(from, ..)| *from == 1).expect("a datagram");
    for _ in 0..20 {
        stranger.send_to(&real, fleet.relay.listens[0]).expect("sent");
        fleet.relay.forge(2, 0, &real).expect("sent");
        fleet.relay.forge(1, 0, &[7; 90]).expect("sent");
        for version in [0, 9] {
            let other: Vec<u8> = [version].into_iter().chain(real[1..].iter().copied()).collect();
            fleet.relay.forge(1, 0, &other).expect("sent");
        }
    }
    until("the datagrams are counted", || {
        (node.figure("tier_unknown") >= 40 && node.figure("tier_other_version") >= 40).then_some(())
    });
    until("excess datagrams are counted", || {
        (0..400).for_each(|_| fleet.relay.forge(3, 0, &real).expect("sent"));
        (node.figure("tier_flood") > 100).then_some(())
    });
    assert_eq!(node.hand_in("safe", "through", 0, 20.0), 202);
    until("the message is delivered", || {
        fleet.calls().iter().any(|c| c.reference == "through").then_some(())
    });
    met(&fleet, 3);
}

/// Only the first dispatcher has traffic while the destination is down. Afterwards its traffic must stay
/// within its share of the reduced budget of a recovering destination, and the total within the full budget.
#[test]
fn recovery_seen_by_one_dispatcher_limits_it_and_the_total_stays_within_budget() {
    let fleet = fleet(&[4; 4], 1, None, 27);
    let first = fleet.load(0, 0, 2.0 * EVEN as f64);
    until("a call is served", || fleet.calls().iter().any(|c| c.status == 200).then_some(()));
    fleet.unreached(0, &[0, 1, 2, 3]);
    pass(&fleet, Duration::from_secs(5));
    assert!(
        fleet.nodes[1..].iter().all(|node| node.figure("tier_hearsay") == 0),
        "a single witness must not suffice"
    );
    fleet.unreached(0, &[]);
    let down = fleet.calls().len();
    until("a call succeeds again", || fleet.calls()[down..].iter().any(|c| c.status == 200).then_some(()));
    let back = fleet.now();
    let _others: Vec<_> = (1..4).map(|node| fleet.load(node, 0, LIMIT as f64 / 2.0)).collect();
    let window = Duration::from_secs(4);
    pass(&fleet, window);
    let calls: Vec<Call> = fleet.calls().into_iter().filter(|c| c.at >= back).collect();
    // 1.5 times the capacity of a destination that is at most half warmed up, of which this dispatcher's
    // share is a quarter.
    let own = sent(&calls, 0, back, back + window);
    let cold = 1.5 * 0.5 * EVEN as f64 * window.as_secs_f64();
    assert!(own > 0 && (own as f64) <= cold + 2.0, "{own} calls, {cold} allowed");
    let all = most_in(&calls, window);
    assert!(all <= (LIMIT * 4 * 11 / 10) as usize + 8, "{all} calls in a window");
    drop(first);
}
