//! What dispatchers tell one another of endpoints, between real processes: waits, endpoints that are down, one that is
//! blind itself, and datagrams that are none of theirs.

mod together;

use together::*;

/// Plain traffic, under every part.
fn traffic(fleet: &Fleet, nodes: impl IntoIterator<Item = usize>) -> Vec<Load> {
    nodes.into_iter().map(|node| fleet.load(node, 0, EVEN as f64 / 2.0)).collect()
}

fn calls_to(fleet: &Fleet, endpoint: usize, node: usize, from: Duration) -> usize {
    fleet.calls().iter().filter(|c| c.endpoint == endpoint && c.node == node && c.at >= from).count()
}

#[test]
fn a_wait_that_one_was_told_binds_all_who_hear_and_only_those() {
    let fleet = fleet(&[4; 4], 1, None, 21);
    fleet.relay.split(&[0, 1, 2], &[3]);
    let wait = Duration::from_secs(4);
    fleet.waits(0, wait);
    let ends = fleet.now() + wait;
    assert_eq!(fleet.nodes[0].hand_in("safe", "first", 0, 20.0), 202);
    until("one is told to wait", || fleet.calls().first().map(|call| call.status == 429));
    // Rumours are there within a few rounds.
    pass(&fleet, Duration::from_millis(500));
    let heard = fleet.now();
    let _all = traffic(&fleet, 0..4);
    pass(&fleet, Duration::from_secs(6));
    let early =
        |node: usize| fleet.calls().iter().filter(|c| c.node == node && c.at >= heard && c.at < ends).count();
    assert_eq!([early(0), early(1), early(2)], [0; 3], "nobody who heard calls before the end");
    assert!(early(3) > 0, "who was cut off found out itself");
    let after = |node| fleet.calls().iter().any(|c| c.node == node && c.at >= ends && c.status == 200);
    until("all call again", || (0..4).all(after).then_some(()));
}

/// The first dispatcher can't reach one of two endpoints, and the others have had no traffic yet. How many of them call it
/// all the same once they have, and how many endpoints they suspect before.
fn alone(planted: Option<&str>, seed: u64) -> (usize, u64) {
    let fleet = fleet(&[4; 4], 2, planted, seed);
    fleet.unreached(0, &[0]);
    let _own = traffic(&fleet, [0]);
    let failed = || fleet.calls().iter().filter(|c| c.status == 0).count();
    until("its calls fail", || (failed() >= 3).then_some(()));
    pass(&fleet, Duration::from_secs(1));
    let hearsay = fleet.nodes[1..].iter().map(|node| node.figure("tier_hearsay")).sum();
    let from = fleet.now();
    let _others: Vec<_> = [1, 2, 3].into_iter().map(|node| fleet.load(node, 0, 4.0)).collect();
    until("they have traffic", || {
        (1..4).all(|n| fleet.calls().iter().filter(|c| c.node == n).count() >= 4).then_some(())
    });
    ((1..4).filter(|node| calls_to(&fleet, 0, *node, from) > 0).count(), hearsay)
}

#[test]
fn nobody_leaves_a_healthy_endpoint_on_one_word() {
    assert_eq!(alone(None, 22), (3, 0));
}

#[test]
fn one_witness_for_enough_is_found_by_one_that_is_alone() {
    let (used, hearsay) = alone(Some("one-witness"), 22);
    assert!(used == 0 && hearsay == 3, "{used} use it, {hearsay} suspect it");
}

#[test]
fn a_blind_one_finds_out_that_it_is_the_one_at_fault_and_sees_again() {
    let fleet = fleet(&[4; 4], 2, None, 23);
    let _all = traffic(&fleet, 0..4);
    until("all call", || (0..4).all(|n| fleet.calls().iter().any(|c| c.node == n)).then_some(()));
    [0, 1].into_iter().for_each(|endpoint| fleet.unreached(endpoint, &[0]));
    until("it knows", || (fleet.nodes[0].figure("tier_at_fault") == 1).then_some(()));
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
    until("it sees again", || (fleet.nodes[0].figure("tier_at_fault") == 0).then_some(()));
}

#[test]
fn an_endpoint_that_half_of_them_reach_is_used_by_those() {
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
fn who_hears_of_an_outage_spares_the_endpoint_and_what_was_heard_fades() {
    let fleet = fleet(&[4; 4], 2, None, 25);
    fleet.unreached(0, &[0, 1, 2, 3]);
    let loads = traffic(&fleet, [0, 1]);
    until("the others have heard", || {
        fleet.nodes[2..].iter().all(|node| node.figure("tier_hearsay") == 1).then_some(())
    });
    let from = fleet.now();
    let more = traffic(&fleet, [2, 3]);
    pass(&fleet, Duration::from_secs(4));
    for node in [2, 3] {
        let (there, all) = (calls_to(&fleet, 0, node, from), calls_to(&fleet, 1, node, from));
        assert!(there <= 2 && all > 8, "{node}: {there} calls to what is down, {all} to the other");
    }
    drop((loads, more));
    until("it has faded", || fleet.nodes.iter().all(|node| node.figure("tier_hearsay") == 0).then_some(()));
    // It is back, and the other one is down: what was heard keeps nobody off it.
    fleet.unreached(0, &[]);
    fleet.unreached(1, &[0, 1, 2, 3]);
    let _all = traffic(&fleet, 0..4);
    let back = |node| fleet.calls().iter().any(|c| c.node == node && c.endpoint == 0 && c.status == 200);
    until("all use it", || (0..4).all(back).then_some(()));
}

#[test]
fn strangers_nonsense_floods_and_other_versions_are_counted_and_cost_nothing_else() {
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
    until("they are counted", || {
        (node.figure("tier_unknown") >= 40 && node.figure("tier_other_version") >= 40).then_some(())
    });
    until("so is the flood", || {
        (0..400).for_each(|_| fleet.relay.forge(3, 0, &real).expect("sent"));
        (node.figure("tier_flood") > 100).then_some(())
    });
    assert_eq!(node.hand_in("safe", "through", 0, 20.0), 202);
    until("it is delivered", || fleet.calls().iter().any(|c| c.reference == "through").then_some(()));
    met(&fleet, 3);
}

/// Only the first has traffic while the destination is down. What it sends afterwards keeps to its part of a cold
/// destination's budget; what all send keeps to the whole, whoever saw it.
#[test]
fn an_outage_that_only_one_saw_costs_it_a_cold_return_and_nobody_sends_more_than_the_budget() {
    let fleet = fleet(&[4; 4], 1, None, 27);
    let first = fleet.load(0, 0, 2.0 * EVEN as f64);
    until("it is served", || fleet.calls().iter().any(|c| c.status == 200).then_some(()));
    fleet.unreached(0, &[0, 1, 2, 3]);
    pass(&fleet, Duration::from_secs(5));
    assert!(fleet.nodes[1..].iter().all(|node| node.figure("tier_hearsay") == 0), "one witness");
    fleet.unreached(0, &[]);
    let down = fleet.calls().len();
    until("a call gets through", || fleet.calls()[down..].iter().any(|c| c.status == 200).then_some(()));
    let back = fleet.now();
    let _others: Vec<_> = (1..4).map(|node| fleet.load(node, 0, LIMIT as f64 / 2.0)).collect();
    let window = Duration::from_secs(4);
    pass(&fleet, window);
    let calls: Vec<Call> = fleet.calls().into_iter().filter(|c| c.at >= back).collect();
    // 1.5 times what a destination can do that is up to a half warm by then, of which a quarter is its own.
    let own = sent(&calls, 0, back, back + window);
    let cold = 1.5 * 0.5 * EVEN as f64 * window.as_secs_f64();
    assert!(own > 0 && (own as f64) <= cold + 2.0, "{own} calls, {cold} in its budget");
    let all = most_in(&calls, window);
    assert!(all <= (LIMIT * 4 * 11 / 10) as usize + 8, "{all} calls in a window");
    drop(first);
}
