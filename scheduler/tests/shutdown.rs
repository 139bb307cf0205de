//! Shutdown of a proxy: it is no longer in the view, but stays alive for seconds and completes its own
//! requests and those of others.

mod cluster;

use cluster::{ALL, CONCURRENCY, Cluster, T, instances, owner, peer};
use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{Coordinator, FunctionSpec, MS, Nanos, Outcome, Owners, SECOND, SchedulerLimits};

/// The view after these proxies have started leaving: they own nothing any more but are alive.
fn view_without(version: u64, stay: &[usize], leaving: &[usize]) -> PeerMessage {
    let peers = |of: &[usize]| of.iter().map(|n| peer(*n)).collect();
    PeerMessage::FullView {
        version: (1, version),
        peers: peers(stay),
        leaving: peers(leaving),
        split: vec![],
    }
}

fn name(n: usize) -> String {
    format!("edge-{n}")
}

fn number(name: &str) -> usize {
    name[5..].parse().expect("a number")
}

/// Order in which the remaining proxies and the leaving one apply the new view, and whether messages are
/// delivered in between.
#[derive(Clone, Copy, Debug)]
enum Order {
    LeaverFirst,
    LeaverLast,
    MessagesBetween,
}

fn apply_view(cluster: &mut Cluster, now: Nanos, leaver: usize, order: Order) {
    let stay: Vec<_> = ALL.into_iter().filter(|n| *n != leaver).collect();
    let mut who = stay.clone();
    match order {
        Order::LeaverFirst => who.insert(0, leaver),
        Order::LeaverLast | Order::MessagesBetween => who.push(leaver),
    }
    for n in who {
        cluster.with(now, &name(n), |coordinator| {
            coordinator.receive_from_controller(now, view_without(2, &stay, &[leaver]))
        });
        if matches!(order, Order::MessagesBetween) {
            cluster.deliver(now, &[]);
            assert!(cluster.within_limits(), "after {n} applied the view: {:?}", cluster.out());
        }
    }
}

/// Incident 016: proxies that applied the view freed the slots of the leaving proxy's requests, which were
/// still running, and granted them again.
#[yare::parameterized(
    owner_leaves_and_applies_view_first = { true, Order::LeaverFirst },
    owner_leaves_and_applies_view_last = { true, Order::LeaverLast },
    owner_leaves_with_messages_in_between = { true, Order::MessagesBetween },
    caller_leaves_and_applies_view_first = { false, Order::LeaverFirst },
    caller_leaves_and_applies_view_last = { false, Order::LeaverLast },
    caller_leaves_with_messages_in_between = { false, Order::MessagesBetween },
)]
fn leaving_proxy_keeps_the_slots_of_its_requests(owner_leaves: bool, order: Order) {
    let old = owner(&ALL, false, "a");
    let leaver =
        if owner_leaves { number(&old) } else { ALL.into_iter().find(|n| name(*n) != old).expect("another") };
    let mut cluster = Cluster::new(&ALL);
    for _ in 0..5 {
        ALL.iter().for_each(|n| cluster.request(T, &name(*n)));
        cluster.deliver(T, &[]);
    }
    assert_eq!(cluster.granted.len(), 16, "all slots are taken, and requests are queued");
    let held_by_leaver = cluster.granted.iter().filter(|(who, ..)| *who == name(leaver)).count();
    assert!(held_by_leaver > 0, "the leaving proxy holds some of them");
    apply_view(&mut cluster, T + 10 * MS, leaver, order);
    cluster.deliver(T + 10 * MS, &[]);
    assert!(cluster.within_limits(), "{:?}", cluster.out());
    // No request has ended, so nothing is granted, however long that lasts.
    for step in 1..60 {
        let now = T + 10 * MS + step * 25 * MS;
        ALL.iter().for_each(|n| cluster.with(now, &name(*n), |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
        assert!(cluster.within_limits(), "after {} ms: {:?}", step * 25, cluster.out());
    }
    // All queued requests are served in turn, wherever they wait, and no slot stays taken.
    let mut served = 0;
    for step in 1..100 {
        let now = T + 1_600 * MS + step * 25 * MS;
        served += cluster.granted.len().min(4);
        cluster.finish(now, 4);
        ALL.iter().for_each(|n| cluster.with(now, &name(*n), |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
        assert!(cluster.within_limits(), "{:?}", cluster.out());
    }
    assert_eq!((served, cluster.granted.len()), (30, 0));
    assert!(cluster.coordinators.values().all(|coordinator| coordinator.scheduler().permits().count() == 0));
}

/// A request queued for a leaving proxy keeps its place: its owner dropped it, and received it again only
/// after 1.5 s.
#[test]
fn request_queued_for_a_leaving_proxy_keeps_its_place() {
    let old = owner(&ALL, false, "a");
    let leaver = ALL.into_iter().find(|n| name(*n) != old).expect("another");
    let mut cluster = Cluster::new(&ALL);
    (0..16).for_each(|_| cluster.request(T, &old));
    cluster.request(T, &name(leaver));
    cluster.deliver(T, &[]);
    assert_eq!(cluster.granted.len(), 16);
    apply_view(&mut cluster, T + 10 * MS, leaver, Order::LeaverFirst);
    cluster.deliver(T + 10 * MS, &[]);
    cluster.finish(T + 20 * MS, 1);
    cluster.deliver(T + 20 * MS, &[]);
    let granted = cluster.granted.iter().any(|(who, ..)| *who == name(leaver));
    assert!(granted, "it gets the first free slot: {:?}", cluster.granted);
    assert!(cluster.within_limits());
}

/// Incident 015: an owner that started after the requesting proxy was last listed had no address to answer
/// to, and the request waited forever.
#[test]
fn owner_started_during_a_shutdown_answers_the_leaving_proxy() {
    let leaver = 0;
    let stay: Vec<_> = ALL.into_iter().filter(|n| *n != leaver).collect();
    let with = |n: usize| stay.iter().copied().chain([n]).collect::<Vec<_>>();
    let new =
        (6..40).find(|n| owner(&with(*n), false, "a") == name(*n)).expect("a proxy that would be the owner");
    let view = || view_without(2, &with(new), &[leaver]);
    let mut cluster = Cluster::new(&ALL);
    let limits = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut started = Coordinator::new(peer(new), limits, new as u64, 1_000_000);
    let spec =
        FunctionSpec { name: "f".into(), concurrency: CONCURRENCY, startup_time: 400 * MS, memory_mb: 128 };
    started.configure(T, [spec].into_iter());
    started.receive_from_controller(T, view());
    started.receive_from_controller(T, instances(2));
    cluster.coordinators.insert(name(new), started);
    for n in ALL {
        cluster.with(T, &name(n), |coordinator| coordinator.receive_from_controller(T, view()));
    }
    cluster.request(T + SECOND, &name(leaver));
    cluster.deliver(T + SECOND, &[]);
    for step in 1..40 {
        let now = T + SECOND + step * 25 * MS;
        let names: Vec<_> = cluster.coordinators.keys().cloned().collect();
        names.iter().for_each(|name| cluster.with(now, name, |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
    }
    let unanswered = cluster
        .coordinators
        .values()
        .map(|coordinator| coordinator.scheduler().counts().unaddressed)
        .sum::<u64>();
    assert_eq!((cluster.granted.len(), unanswered), (1, 0), "the request is answered");
    let (who, id, _) = cluster.granted.remove(0);
    assert_eq!(who, name(leaver));
    cluster.with(T + 3 * SECOND, &who, |coordinator| {
        coordinator.finish(T + 3 * SECOND, id, Outcome::Answered, 50 * MS)
    });
    cluster.deliver(T + 3 * SECOND, &[]);
    assert_eq!(
        cluster.coordinators[&name(new)].scheduler().permits().count(),
        0,
        "and its slot is free again"
    );
}

/// A view with these proxies, in which the function is split, and those that are leaving.
fn split_view(version: (u64, u64), stay: &[usize], leaving: &[usize]) -> PeerMessage {
    let peers = |of: &[usize]| of.iter().map(|n| peer(*n)).collect();
    PeerMessage::FullView { version, peers: peers(stay), leaving: peers(leaving), split: vec!["f".into()] }
}

/// The only instance, in this zone.
fn instance_in(version: (u64, u64), zone: &str) -> PeerMessage {
    let instance = Instance {
        id: "i-c".into(),
        service: "f".into(),
        address: "10.0.0.9:80".into(),
        zone: zone.into(),
        worker: "w".into(),
        stage: 1,
    };
    PeerMessage::Instances { version, all: true, set: vec![instance], gone: vec![] }
}

/// Owner of the function's partition for this zone, among these proxies.
fn partition_owner(who: &[usize], zone: &str) -> String {
    let owners = Owners::new((1, 1), who.iter().map(|n| peer(*n)).collect(), ["f".into()]);
    owners.owner("f", zone, |_| true).expect("an owner").name.to_string()
}

/// An instance with four slots in this zone, all in use, whose partition belongs to the only proxy of zone
/// c. `known`: all proxies know the instance; otherwise only that one.
fn full_partition(zone: &str, known: bool) -> (Cluster, String) {
    let mut cluster = Cluster::new(&[0, 1, 2, 3, 100]);
    for n in [0, 1, 2, 3, 100] {
        cluster.with(T, &name(n), |coordinator| {
            coordinator.receive_from_controller(T, split_view((1, 2), &[0, 1, 2, 3, 100], &[]));
            let none = PeerMessage::Instances { version: (1, 2), all: true, set: vec![], gone: vec![] };
            coordinator
                .receive_from_controller(T, if known || n == 100 { instance_in((1, 2), zone) } else { none });
        });
    }
    // The change to one owner per zone has settled.
    for step in 1..80 {
        let now = T + step * 25 * MS;
        [0, 1, 2, 3, 100]
            .iter()
            .for_each(|n| cluster.with(now, &name(*n), |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
    }
    let now = T + 2 * SECOND;
    (0..4).for_each(|_| cluster.request(now, &name(100)));
    cluster.deliver(now, &[]);
    assert_eq!(cluster.out().get("i-c"), Some(&4));
    (cluster, partition_owner(&[0, 1, 2, 3], zone))
}

/// A zone without a proxy, whose instances belong to the partition of zone c.
fn zone_without_proxies() -> String {
    let zones = (0..200).map(|n| format!("d{n}"));
    zones.into_iter().find(|zone| partition_owner(&[0, 1, 2, 3, 100], zone) == name(100)).expect("an owner")
}

/// Found by the simulator: when the owner of one partition took over another, it granted the slots at once
/// although all were in use.
#[yare::parameterized(
    zone_with_a_proxy = { "c".to_owned(), true },
    instance_learnt_of_afterwards = { "c".to_owned(), false },
    zone_without_a_proxy = { zone_without_proxies(), true },
)]
fn owner_of_another_partition_awaits_its_permits_and_transfers_them_back(zone: String, known: bool) {
    let (mut cluster, successor) = full_partition(&zone, known);
    let now = T + 2 * SECOND + 10 * MS;
    cluster.with(now, &successor, |coordinator| {
        coordinator.receive_from_controller(now, split_view((1, 3), &[0, 1, 2, 3], &[100]));
        coordinator.receive_from_controller(now, instance_in((1, 3), &zone));
    });
    (0..6).for_each(|_| cluster.request(now, &successor));
    cluster.deliver(now, &[]);
    assert!(
        cluster.within_limits(),
        "before the previous owner has transferred its permits: {:?}",
        cluster.out()
    );
    for n in [0, 1, 2, 3, 100] {
        if name(n) != successor {
            cluster.with(now, &name(n), |coordinator| {
                coordinator.receive_from_controller(now, split_view((1, 3), &[0, 1, 2, 3], &[100]))
            });
        }
    }
    cluster.deliver(now, &[]);
    assert!(cluster.within_limits(), "{:?}", cluster.out());
    // Released slots are granted again, by the new owner.
    cluster.finish(now + 20 * MS, 2);
    cluster.deliver(now + 20 * MS, &[]);
    let granted_to_successor = |cluster: &Cluster| {
        cluster.granted.iter().filter(|(who, _, i)| *who == successor && i == "i-c").count()
    };
    assert_eq!((granted_to_successor(&cluster), cluster.out().get("i-c")), (2, Some(&4)));
    // The other proxy is back and owns the partition again, but grants no slot that is in use.
    let now = now + SECOND;
    cluster.with(now, &name(100), |coordinator| {
        coordinator.receive_from_controller(now, split_view((1, 4), &[0, 1, 2, 3, 100], &[]))
    });
    (0..6).for_each(|_| cluster.request(now, &name(100)));
    cluster.deliver(now, &[]);
    assert!(cluster.within_limits(), "{:?}", cluster.out());
    for n in [0, 1, 2, 3] {
        cluster.with(now, &name(n), |coordinator| {
            coordinator.receive_from_controller(now, split_view((1, 4), &[0, 1, 2, 3, 100], &[]))
        });
    }
    cluster.deliver(now, &[]);
    assert!(cluster.within_limits(), "{:?}", cluster.out());
    assert_eq!(
        cluster.coordinators[&name(100)].scheduler().counts().taken_over,
        4,
        "all outstanding permits are transferred"
    );
    for step in 1..60 {
        let now = now + step * 25 * MS;
        cluster.finish(now, 2);
        [0, 1, 2, 3, 100]
            .iter()
            .for_each(|n| cluster.with(now, &name(*n), |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
        assert!(cluster.within_limits(), "{:?}", cluster.out());
    }
    assert!(cluster.granted.is_empty(), "all requests are served: {:?}", cluster.granted);
    assert!(cluster.coordinators.values().all(|coordinator| coordinator.scheduler().permits().count() == 0));
}

/// Found by the soak test: the first view of a new leader listed only the one of six proxies it had heard
/// of, and the proxies took all others for gone.
#[test]
fn proxy_missing_from_the_first_view_of_a_new_leader_is_not_gone() {
    let mut cluster = Cluster::new(&ALL);
    for _ in 0..5 {
        ALL.iter().for_each(|n| cluster.request(T, &name(*n)));
        cluster.deliver(T, &[]);
    }
    assert_eq!(cluster.granted.len(), 16);
    let view = |version, who: &[usize]| PeerMessage::FullView {
        version,
        peers: who.iter().map(|n| peer(*n)).collect(),
        leaving: vec![],
        split: vec![],
    };
    // Only the holders can report the permits of a dead owner.
    let old = owner(&ALL, false, "a");
    let has_some = |n: &usize| cluster.granted.iter().any(|(who, ..)| *who == name(*n));
    let dead = ALL.into_iter().find(|n| name(*n) != old && has_some(n)).expect("an owner");
    let first = ALL.into_iter().find(|n| *n != dead && name(*n) != old).expect("another");
    let live: Vec<_> = ALL.into_iter().filter(|n| *n != dead).collect();
    for (at, version, who) in [(10, (2, 1), vec![first]), (150, (2, 2), live.clone())] {
        let now = T + at * MS;
        for n in &live {
            cluster.with(now, &name(*n), |coordinator| {
                coordinator.receive_from_controller(now, view(version, &who))
            });
            cluster.deliver(now, &[&name(dead)]);
            assert!(cluster.within_limits(), "{at} ms, after {n} applied the view: {:?}", cluster.out());
        }
    }
    // A proxy that never returns is taken for gone in the end, and its slots go to queued requests.
    let held_by_leaver = cluster.granted.iter().filter(|(who, ..)| *who == name(dead)).count();
    cluster.granted.retain(|(who, ..)| *who != name(dead));
    cluster.coordinators.remove(&name(dead));
    let before = cluster.granted.len();
    for step in 1..120 {
        let now = T + 150 * MS + step * 25 * MS;
        live.iter().for_each(|n| cluster.with(now, &name(*n), |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
        assert!(cluster.within_limits(), "{:?}", cluster.out());
    }
    assert_eq!(cluster.granted.len(), before + held_by_leaver);
}
