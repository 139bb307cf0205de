//! A proxy is told to end: it is named no more, and lives on for seconds, with requests of its own and those of others to see through.

mod town;

use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{Coordinator, FunctionSpec, MS, Nanos, Outcome, Owners, SECOND, SchedulerLimits};
use town::{ALL, CONCURRENCY, T, Town, instances, owner, peer};

/// The view after these have left: they own nothing any more, and live.
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

/// In which order those who stay and the one that leaves hear of the new view, and whether mail passes in between.
#[derive(Clone, Copy, Debug)]
enum Order {
    LeaverFirst,
    LeaverLast,
    MailBetween,
}

fn hear(town: &mut Town, now: Nanos, leaver: usize, order: Order) {
    let stay: Vec<_> = ALL.into_iter().filter(|n| *n != leaver).collect();
    let mut who = stay.clone();
    match order {
        Order::LeaverFirst => who.insert(0, leaver),
        Order::LeaverLast | Order::MailBetween => who.push(leaver),
    }
    for n in who {
        town.with(now, &name(n), |desk| desk.receive_from_controller(now, view_without(2, &stay, &[leaver])));
        if matches!(order, Order::MailBetween) {
            town.post(now, &[]);
            assert!(town.within_limits(), "once {n} has heard: {:?}", town.out());
        }
    }
}

/// Incident 016: whoever heard of the view freed the slots of the leaving proxy's requests, which went on, and gave them to others.
#[yare::parameterized(
    the_owner_hears_first = { true, Order::LeaverFirst },
    the_owner_hears_last = { true, Order::LeaverLast },
    the_owner_with_mail_between = { true, Order::MailBetween },
    an_asker_hears_first = { false, Order::LeaverFirst },
    an_asker_hears_last = { false, Order::LeaverLast },
    an_asker_with_mail_between = { false, Order::MailBetween },
)]
fn a_proxy_that_leaves_keeps_the_slots_of_its_requests(owner_leaves: bool, order: Order) {
    let old = owner(&ALL, false, "a");
    let leaver =
        if owner_leaves { number(&old) } else { ALL.into_iter().find(|n| name(*n) != old).expect("another") };
    let mut town = Town::new(&ALL);
    for _ in 0..5 {
        ALL.iter().for_each(|n| town.ask(T, &name(*n)));
        town.post(T, &[]);
    }
    assert_eq!(town.granted.len(), 16, "all slots are taken, and others wait");
    let its_own = town.granted.iter().filter(|(who, ..)| *who == name(leaver)).count();
    assert!(its_own > 0, "the one that leaves has some of them");
    hear(&mut town, T + 10 * MS, leaver, order);
    town.post(T + 10 * MS, &[]);
    assert!(town.within_limits(), "{:?}", town.out());
    // Nothing has ended, so nothing is given, however long that lasts.
    for step in 1..60 {
        let now = T + 10 * MS + step * 25 * MS;
        ALL.iter().for_each(|n| town.with(now, &name(*n), |desk| desk.tick(now)));
        town.post(now, &[]);
        assert!(town.within_limits(), "after {} ms: {:?}", step * 25, town.out());
    }
    // All that waits is served in its turn, by whoever it waits at, and no slot stays taken.
    let mut served = 0;
    for step in 1..100 {
        let now = T + 1_600 * MS + step * 25 * MS;
        served += town.granted.len().min(4);
        town.finish(now, 4);
        ALL.iter().for_each(|n| town.with(now, &name(*n), |desk| desk.tick(now)));
        town.post(now, &[]);
        assert!(town.within_limits(), "{:?}", town.out());
    }
    assert_eq!((served, town.granted.len()), (30, 0));
    assert!(town.desks.values().all(|desk| desk.scheduler().permits().count() == 0));
}

/// A request that waits at a proxy which leaves keeps its place: its owner had dropped it, and heard of it again after 1.5 s only.
#[test]
fn what_waits_at_a_proxy_that_leaves_keeps_its_place() {
    let old = owner(&ALL, false, "a");
    let leaver = ALL.into_iter().find(|n| name(*n) != old).expect("another");
    let mut town = Town::new(&ALL);
    (0..16).for_each(|_| town.ask(T, &old));
    town.ask(T, &name(leaver));
    town.post(T, &[]);
    assert_eq!(town.granted.len(), 16);
    hear(&mut town, T + 10 * MS, leaver, Order::LeaverFirst);
    town.post(T + 10 * MS, &[]);
    town.finish(T + 20 * MS, 1);
    town.post(T + 20 * MS, &[]);
    let granted = town.granted.iter().any(|(who, ..)| *who == name(leaver));
    assert!(granted, "it gets the first slot that is free: {:?}", town.granted);
    assert!(town.within_limits());
}

/// Incident 015: an owner that had started after the asker was last named knew no address to answer to, and the asker waited for ever.
#[test]
fn an_owner_that_starts_while_a_proxy_leaves_answers_it() {
    let leaver = 0;
    let stay: Vec<_> = ALL.into_iter().filter(|n| *n != leaver).collect();
    let with = |n: usize| stay.iter().copied().chain([n]).collect::<Vec<_>>();
    let new = (6..40).find(|n| owner(&with(*n), false, "a") == name(*n)).expect("one that owns it");
    let view = || view_without(2, &with(new), &[leaver]);
    let mut town = Town::new(&ALL);
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut started = Coordinator::new(peer(new), terms, new as u64, 1_000_000);
    let spec =
        FunctionSpec { name: "f".into(), concurrency: CONCURRENCY, startup_time: 400 * MS, memory_mb: 128 };
    started.configure(T, [spec].into_iter());
    started.receive_from_controller(T, view());
    started.receive_from_controller(T, instances(2));
    town.desks.insert(name(new), started);
    for n in ALL {
        town.with(T, &name(n), |desk| desk.receive_from_controller(T, view()));
    }
    town.ask(T + SECOND, &name(leaver));
    town.post(T + SECOND, &[]);
    for step in 1..40 {
        let now = T + SECOND + step * 25 * MS;
        let names: Vec<_> = town.desks.keys().cloned().collect();
        names.iter().for_each(|name| town.with(now, name, |desk| desk.tick(now)));
        town.post(now, &[]);
    }
    let unanswered = town.desks.values().map(|desk| desk.scheduler().counts().unaddressed).sum::<u64>();
    assert_eq!((town.granted.len(), unanswered), (1, 0), "it is answered");
    let (who, id, _) = town.granted.remove(0);
    assert_eq!(who, name(leaver));
    town.with(T + 3 * SECOND, &who, |desk| desk.finish(T + 3 * SECOND, id, Outcome::Answered, 50 * MS));
    town.post(T + 3 * SECOND, &[]);
    assert_eq!(town.desks[&name(new)].scheduler().permits().count(), 0, "and its slot is free again");
}

/// The view with these owners of lots, and those that leave.
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

/// The owner of the function's lot for this zone, among these.
fn lot_owner(who: &[usize], zone: &str) -> String {
    let owners = Owners::new((1, 1), who.iter().map(|n| peer(*n)).collect(), ["f".into()]);
    owners.owner("f", zone, |_| true).expect("one").name.to_string()
}

/// An instance with four slots in this zone, whose lot the only proxy of zone c owns, and all of them in use. `known`: by all; else by that
/// proxy alone.
fn lot_of_one(zone: &str, known: bool) -> (Town, String) {
    let mut town = Town::new(&[0, 1, 2, 3, 100]);
    for n in [0, 1, 2, 3, 100] {
        town.with(T, &name(n), |desk| {
            desk.receive_from_controller(T, split_view((1, 2), &[0, 1, 2, 3, 100], &[]));
            let none = PeerMessage::Instances { version: (1, 2), all: true, set: vec![], gone: vec![] };
            desk.receive_from_controller(T, if known || n == 100 { instance_in((1, 2), zone) } else { none });
        });
    }
    // The change to one owner for each zone has settled.
    for step in 1..80 {
        let now = T + step * 25 * MS;
        [0, 1, 2, 3, 100].iter().for_each(|n| town.with(now, &name(*n), |desk| desk.tick(now)));
        town.post(now, &[]);
    }
    let now = T + 2 * SECOND;
    (0..4).for_each(|_| town.ask(now, &name(100)));
    town.post(now, &[]);
    assert_eq!(town.out().get("i-c"), Some(&4));
    (town, lot_owner(&[0, 1, 2, 3], zone))
}

/// A zone without a proxy, whose instances belong to the lot of zone c.
fn zone_without_proxies() -> String {
    let zones = (0..200).map(|n| format!("d{n}"));
    zones.into_iter().find(|zone| lot_owner(&[0, 1, 2, 3, 100], zone) == name(100)).expect("one")
}

/// Found by the simulator: the owner of one lot that took over another's gave its slots at once, though all of them were out.
#[yare::parameterized(
    of_a_zone_with_a_proxy = { "c".to_owned(), true },
    which_it_hears_of_afterwards = { "c".to_owned(), false },
    of_a_zone_without_any = { zone_without_proxies(), true },
)]
fn an_owner_that_takes_over_another_lot_waits_for_word_of_it_and_gives_it_back_with_word(
    zone: String,
    known: bool,
) {
    let (mut town, heir) = lot_of_one(&zone, known);
    let now = T + 2 * SECOND + 10 * MS;
    town.with(now, &heir, |desk| {
        desk.receive_from_controller(now, split_view((1, 3), &[0, 1, 2, 3], &[100]));
        desk.receive_from_controller(now, instance_in((1, 3), &zone));
    });
    (0..6).for_each(|_| town.ask(now, &heir));
    town.post(now, &[]);
    assert!(town.within_limits(), "before the one of before has said anything: {:?}", town.out());
    for n in [0, 1, 2, 3, 100] {
        if name(n) != heir {
            town.with(now, &name(n), |desk| {
                desk.receive_from_controller(now, split_view((1, 3), &[0, 1, 2, 3], &[100]))
            });
        }
    }
    town.post(now, &[]);
    assert!(town.within_limits(), "{:?}", town.out());
    // What comes back is given again, by the new owner.
    town.finish(now + 20 * MS, 2);
    town.post(now + 20 * MS, &[]);
    let of_heir = |town: &Town| town.granted.iter().filter(|(who, _, i)| *who == heir && i == "i-c").count();
    assert_eq!((of_heir(&town), town.out().get("i-c")), (2, Some(&4)));
    // The other is back: it owns the lot again, and gives nothing that is out.
    let now = now + SECOND;
    town.with(now, &name(100), |desk| {
        desk.receive_from_controller(now, split_view((1, 4), &[0, 1, 2, 3, 100], &[]))
    });
    (0..6).for_each(|_| town.ask(now, &name(100)));
    town.post(now, &[]);
    assert!(town.within_limits(), "{:?}", town.out());
    for n in [0, 1, 2, 3] {
        town.with(now, &name(n), |desk| {
            desk.receive_from_controller(now, split_view((1, 4), &[0, 1, 2, 3, 100], &[]))
        });
    }
    town.post(now, &[]);
    assert!(town.within_limits(), "{:?}", town.out());
    assert_eq!(town.desks[&name(100)].scheduler().counts().taken_over, 4, "it is told of all that is out");
    for step in 1..60 {
        let now = now + step * 25 * MS;
        town.finish(now, 2);
        [0, 1, 2, 3, 100].iter().for_each(|n| town.with(now, &name(*n), |desk| desk.tick(now)));
        town.post(now, &[]);
        assert!(town.within_limits(), "{:?}", town.out());
    }
    assert!(town.granted.is_empty(), "all are served: {:?}", town.granted);
    assert!(town.desks.values().all(|desk| desk.scheduler().permits().count() == 0));
}

/// Found by the soak: a new leader's first view held whom it had heard of, one of six, and all others took the rest for gone.
#[test]
fn whom_a_new_leader_does_not_name_yet_is_not_gone() {
    let mut town = Town::new(&ALL);
    for _ in 0..5 {
        ALL.iter().for_each(|n| town.ask(T, &name(*n)));
        town.post(T, &[]);
    }
    assert_eq!(town.granted.len(), 16);
    let view = |version, who: &[usize]| PeerMessage::FullView {
        version,
        peers: who.iter().map(|n| peer(*n)).collect(),
        leaving: vec![],
        split: vec![],
    };
    // Of what an owner has out that is dead only those can tell who have it.
    let old = owner(&ALL, false, "a");
    let has_some = |n: &usize| town.granted.iter().any(|(who, ..)| *who == name(*n));
    let dead = ALL.into_iter().find(|n| name(*n) != old && has_some(n)).expect("one");
    let first = ALL.into_iter().find(|n| *n != dead && name(*n) != old).expect("another");
    let live: Vec<_> = ALL.into_iter().filter(|n| *n != dead).collect();
    for (at, version, who) in [(10, (2, 1), vec![first]), (150, (2, 2), live.clone())] {
        let now = T + at * MS;
        for n in &live {
            town.with(now, &name(*n), |desk| desk.receive_from_controller(now, view(version, &who)));
            town.post(now, &[&name(dead)]);
            assert!(town.within_limits(), "{at} ms, once {n} has heard: {:?}", town.out());
        }
    }
    // One that never comes is gone in the end, and its slots are given to who waits.
    let its_own = town.granted.iter().filter(|(who, ..)| *who == name(dead)).count();
    town.granted.retain(|(who, ..)| *who != name(dead));
    town.desks.remove(&name(dead));
    let before = town.granted.len();
    for step in 1..120 {
        let now = T + 150 * MS + step * 25 * MS;
        live.iter().for_each(|n| town.with(now, &name(*n), |desk| desk.tick(now)));
        town.post(now, &[]);
        assert!(town.within_limits(), "{:?}", town.out());
    }
    assert_eq!(town.granted.len(), before + its_own);
}
