//! Ownership changes while permits are outstanding.

mod cluster;

use std::collections::BTreeMap;

use cluster::{ALL, CONCURRENCY, Cluster, T, full_view, instances, owner, peer};
use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{Action, Coordinator, MS, Nanos, Outcome, SECOND};

/// Incarnation numbers decrease when the clock of a machine is set back, and only a proxy that is alive
/// can tell that it is.
#[test]
fn messages_of_a_lower_incarnation_are_ignored_and_answered_with_the_known_one() {
    let mut cluster = Cluster::new(&[1, 2]);
    let to_me = |incarnation, message| {
        move |coordinator: &mut Coordinator| coordinator.receive(T, "edge-2", incarnation, vec![message])
    };
    let request = || PeerMessage::RequestPermit {
        id: 7,
        service: "f".into(),
        left: 4_000.0,
        aim: 300.0,
        target: 300.0,
        sent: 0,
        first: true,
        returned: true,
        avoid: vec![],
        zone: "a".into(),
    };
    cluster.with(T, "edge-1", to_me(9, PeerMessage::CancelRequest { id: 1 }));
    cluster.in_transit.clear();
    cluster.with(T, "edge-1", to_me(8, request()));
    assert_eq!(
        cluster.in_transit,
        [("edge-1".into(), "edge-2".into(), PeerMessage::StaleIncarnation { known: 9 })]
    );
    cluster.in_transit.clear();
    cluster.with(T, "edge-1", to_me(10, request()));
    assert!(
        cluster
            .in_transit
            .iter()
            .all(|(.., message)| !matches!(message, PeerMessage::StaleIncarnation { .. }))
    );
    assert_eq!(cluster.in_transit.len(), 1, "the request is answered: {:?}", cluster.in_transit);
}

#[test]
fn partitions_take_over_the_permits_of_the_single_owner_and_lose_no_slot() {
    let mut cluster = Cluster::new(&ALL);
    let old = owner(&ALL, false, "a");
    let (new, other) = (owner(&ALL, true, "a"), owner(&ALL, true, "b"));
    for _ in 0..3 {
        ALL.iter().for_each(|n| cluster.request(T, &format!("edge-{n}")));
    }
    cluster.deliver(T, &[]);
    assert_eq!(cluster.granted.len(), 16, "all slots");
    assert!(cluster.within_limits());
    // The new owners apply the view first, the old owner and the requesting proxies a moment later;
    // permits are released meanwhile.
    let first: Vec<_> = [&new, &other].into_iter().filter(|n| **n != old).cloned().collect();
    for name in &first {
        cluster.with(T, name, |coordinator| coordinator.receive_from_controller(T, full_view(2, &ALL, true)));
    }
    cluster.deliver(T + 10 * MS, &[]);
    assert_eq!(cluster.granted.len(), 16, "no slot is granted twice");
    cluster.finish(T + 20 * MS, 6);
    cluster.deliver(T + 20 * MS, &[]);
    assert!(cluster.within_limits(), "{:?}", cluster.out());
    for n in ALL {
        let name = format!("edge-{n}");
        if !first.contains(&name) {
            cluster.with(T + 30 * MS, &name, |coordinator| {
                coordinator.receive_from_controller(T + 30 * MS, full_view(2, &ALL, true))
            });
        }
    }
    cluster.deliver(T + 30 * MS, &[]);
    assert!(cluster.within_limits(), "{:?}", cluster.out());
    // All queued requests are served in the end, each slot is reused, and none stays taken.
    for step in 1..40 {
        let now = T + 30 * MS + step * 25 * MS;
        cluster.finish(now, 4);
        ALL.iter().for_each(|n| cluster.with(now, &format!("edge-{n}"), |coordinator| coordinator.tick(now)));
        cluster.deliver(now, &[]);
        assert!(cluster.within_limits(), "{:?}", cluster.out());
    }
    assert!(cluster.granted.is_empty());
    assert!(cluster.coordinators.values().all(|coordinator| coordinator.scheduler().permits().count() == 0));
    for _ in 0..3 {
        ALL.iter().for_each(|n| cluster.request(T + 2 * SECOND, &format!("edge-{n}")));
    }
    cluster.deliver(T + 2 * SECOND, &[]);
    assert_eq!(cluster.granted.len(), 16);
    assert!(cluster.within_limits());
}

#[test]
fn after_owner_death_holders_report_permits_and_the_new_owner_grants_only_part() {
    let old = owner(&ALL, false, "a");
    let mut cluster = Cluster::new(&ALL);
    let callers: Vec<_> = ALL.iter().map(|n| format!("edge-{n}")).filter(|n| *n != old).collect();
    for _ in 0..4 {
        callers.iter().for_each(|name| cluster.request(T, name));
    }
    cluster.deliver(T, &[]);
    assert_eq!(cluster.granted.len(), 16);
    cluster.coordinators.remove(&old);
    cluster.in_transit.clear();
    let left: Vec<_> = ALL.into_iter().filter(|n| format!("edge-{n}") != old).collect();
    let new = owner(&left, false, "a");
    cluster.with(T, &new, |coordinator| {
        coordinator.receive_from_controller(T + SECOND, full_view(2, &left, false))
    });
    cluster.request(T + SECOND, &new);
    for name in callers.iter().filter(|n| **n != new) {
        cluster.with(T, name, |coordinator| {
            coordinator.receive_from_controller(T + SECOND, full_view(2, &left, false))
        });
    }
    cluster.deliver(T + SECOND, &[]);
    // At most one slot too many, out of four that were free as far as the new owner knew at that moment.
    assert!(cluster.out().values().all(|n| *n <= CONCURRENCY as usize + 1), "{:?}", cluster.out());
    cluster.finish(T + 2 * SECOND, 17);
    cluster.deliver(T + 2 * SECOND, &[]);
    assert!(
        cluster
            .coordinators
            .values()
            .all(|coordinator| coordinator.scheduler().permits().count() <= cluster.granted.len())
    );
}

/// An owner that lost power kept requesting proxies waiting until sending to it timed out after 0.7 s and
/// the controller missed it after 1.5 s.
#[test]
fn unresponsive_owner_is_skipped_and_reported() {
    let old = owner(&ALL, false, "a");
    let mut cluster = Cluster::new(&ALL);
    let caller = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old).expect("another");
    let other_peer =
        ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old && *n != caller).expect("a third");
    cluster.coordinators.remove(&old);
    let tick = |cluster: &mut Cluster, at: Nanos| {
        let coordinator = cluster.coordinators.get_mut(&caller).expect("a coordinator");
        coordinator.tick(at);
        let actions = coordinator.take_actions();
        let reports_old = |o: &Action| match o {
            Action::NotifyController(PeerMessage::PeerUnreachable { peer, .. }) => *peer == old,
            _ => false,
        };
        let requests = actions.iter().filter_map(|o| match o {
            Action::Send { to, note: PeerMessage::RequestPermit { .. } } => {
                Some(to.trim_end_matches(":1").to_owned())
            }
            _ => None,
        });
        (actions.iter().any(reports_old), requests.collect::<Vec<_>>())
    };
    cluster.request(T, &caller);
    // No proxy responded at all: the fault may be on this proxy's own link.
    assert!(!tick(&mut cluster, T + 450 * MS).0);
    cluster
        .with(T + 500 * MS, &caller, |coordinator| coordinator.receive(T + 500 * MS, &other_peer, 1, vec![]));
    let (reported, requests) = tick(&mut cluster, T + 525 * MS);
    assert!(reported && requests.iter().any(|to| *to != old), "{requests:?}");
    // An owner that is slow but has sent something is waited for.
    let mut cluster = Cluster::new(&ALL);
    cluster.request(T, &caller);
    cluster.with(T + 300 * MS, &caller, |coordinator| coordinator.receive(T + 300 * MS, &old, 1, vec![]));
    assert!(!tick(&mut cluster, T + 425 * MS).0);
    assert!(!tick(&mut cluster, T + 575 * MS).0);
}

/// Starting an instance takes 300 ms and more. Meanwhile an owner that has reported a request as queued
/// has nothing else to send and is not unresponsive.
#[test]
fn owner_that_queued_a_request_is_not_unresponsive() {
    let old = owner(&ALL, false, "a");
    let mut cluster = Cluster::new(&ALL);
    let caller = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old).expect("another");
    let other_peer =
        ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old && *n != caller).expect("a third");
    cluster.request(T, &caller);
    let asked = cluster.in_transit.iter().find_map(|(from, to, message)| match message {
        PeerMessage::RequestPermit { id, .. } if *from == caller && to.starts_with(&old) => Some(*id),
        _ => None,
    });
    let waits = PeerMessage::Queued { id: asked.expect("a request") };
    let coordinator = cluster.coordinators.get_mut(&caller).expect("a coordinator");
    coordinator.receive(T + 5 * MS, &old, 1, vec![waits]);
    let mut is_unresponsive = |at: Nanos| {
        coordinator.receive(at, &other_peer, 1, vec![]);
        coordinator.tick(at);
        coordinator
            .take_actions()
            .iter()
            .any(|o| matches!(o, Action::NotifyController(PeerMessage::PeerUnreachable { .. })))
    };
    assert!(!is_unresponsive(T + 400 * MS) && !is_unresponsive(T + 1_500 * MS));
    // It was asked again and does not answer.
    assert!(is_unresponsive(T + 1_950 * MS));
}

/// A message that was not acknowledged in time had been delivered all the same: its grant was used, and
/// the slot was granted a second time.
#[test]
fn undelivered_grant_is_sent_again_and_its_slot_stays_taken() {
    let old = owner(&ALL, false, "a");
    let mut cluster = Cluster::new(&ALL);
    let caller = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old).expect("another");
    cluster.request(T, &caller);
    cluster.deliver(T, &[&caller]);
    let (_, _, grant) = cluster.in_transit.pop().expect("a grant in transit");
    let address = format!("{caller}:1");
    cluster.with(T + 700 * MS, &old, |coordinator| {
        coordinator.undelivered(T + 700 * MS, &address, vec![grant.clone()])
    });
    assert_eq!(cluster.coordinators[&old].scheduler().permits().count(), 1);
    assert!(
        cluster
            .in_transit
            .iter()
            .any(|(from, to, message)| *from == old && *to == caller && *message == grant)
    );
    cluster.deliver(T + 700 * MS, &[]);
    assert_eq!(cluster.granted.len(), 1);
    cluster.finish(T + 800 * MS, 1);
    cluster.deliver(T + 800 * MS, &[]);
    // A permit that has been released is not sent again.
    cluster
        .with(T + 900 * MS, &old, |coordinator| coordinator.undelivered(T + 900 * MS, &address, vec![grant]));
    assert!(cluster.in_transit.is_empty());
}

/// An owner was too busy to transfer its permits for 1.5 s, and the new owners granted all its slots a
/// second time.
#[test]
fn permits_of_a_silent_live_owner_are_assumed_until_it_is_gone() {
    let mut cluster = Cluster::new(&ALL);
    let old = owner(&ALL, false, "a");
    let (new, other) = (owner(&ALL, true, "a"), owner(&ALL, true, "b"));
    let new: Vec<_> = [new, other].into_iter().filter(|name| *name != old).collect();
    for _ in 0..3 {
        ALL.iter().for_each(|n| cluster.request(T, &format!("edge-{n}")));
    }
    cluster.deliver(T, &[]);
    assert_eq!(cluster.granted.len(), 16);
    let kept = std::mem::take(&mut cluster.granted);
    for name in &new {
        cluster.with(T, name, |coordinator| coordinator.receive_from_controller(T, full_view(2, &ALL, true)));
        (0..4).for_each(|_| cluster.request(T, name));
    }
    let mut full = 0;
    for step in 0..160 {
        let now = T + step * 25 * MS;
        new.iter().for_each(|name| cluster.with(now, name, |coordinator| coordinator.tick(now)));
        new.iter().filter(|_| step % 10 == 0).for_each(|name| cluster.request(now, name));
        for (name, id, _) in std::mem::take(&mut cluster.granted) {
            full += 1;
            cluster.with(now, &name, |coordinator| coordinator.finish(now, id, Outcome::Full, 2 * MS));
        }
    }
    assert!((1..=3 * new.len()).contains(&full), "{full} rejected");
    // Once it is gone, half of all slots are granted at once, and permits reported by their holders count.
    let left: Vec<_> = ALL.into_iter().filter(|n| format!("edge-{n}") != old).collect();
    let now = T + 4_200 * MS;
    for name in &new {
        cluster.with(now, name, |coordinator| {
            coordinator.receive_from_controller(now, full_view(3, &left, true))
        });
        cluster.request(now + 25 * MS, name);
        cluster.with(now + 325 * MS, name, |coordinator| coordinator.tick(now + 325 * MS));
    }
    assert!(cluster.granted.len() >= new.len(), "{:?}", cluster.out());
    assert_eq!(kept.len(), 16);
}

/// An instance listed as starting had been seen ready by its owner and was serving requests. The new owner
/// after a split probed it itself and granted all its slots a second time.
#[test]
fn instance_listed_as_starting_may_be_in_use_by_the_previous_owner() {
    let mut cluster = Cluster::new(&ALL);
    let old = owner(&ALL, false, "a");
    let zone_of = |name: &str| peer(name[5..].parse().expect("a number")).zone;
    let new = ["a", "b"].map(|z| owner(&ALL, true, z)).into_iter().find(|n| *n != old).expect("another");
    let zone = zone_of(&new);
    let starting = |version: u64, id: &str, all: bool| PeerMessage::Instances {
        version: (1, version),
        all,
        set: vec![Instance {
            id: id.into(),
            service: "f".into(),
            address: "10.0.0.9:80".into(),
            zone: zone.clone(),
            worker: "w".into(),
            stage: 0,
        }],
        gone: vec![],
    };
    cluster.with(T, &new, |coordinator| {
        coordinator.receive_from_controller(T, full_view(2, &ALL, true));
        coordinator.receive_from_controller(T, starting(2, "i-9", true));
        coordinator.instance_up(T + 100 * MS, "i-9");
    });
    (0..4).for_each(|_| cluster.request(T + 100 * MS, &new));
    assert!(cluster.granted.is_empty(), "{:?}", cluster.out());
    // An instance started for the new owner is its own.
    cluster.with(T, &new, |coordinator| {
        coordinator.receive_from_controller(T + 200 * MS, starting(3, "i-10", false));
        coordinator.instance_up(T + 300 * MS, "i-10");
    });
    assert_eq!(cluster.out(), BTreeMap::from([("i-10", 4)]));
}

/// An owner that is late with one answer is not dead: while messages arrive from it, a proxy asked in its
/// place grants none of its slots.
#[test]
fn deputy_waits_while_messages_arrive_from_the_owner() {
    let old = owner(&ALL, false, "a");
    let left: Vec<_> = ALL.into_iter().filter(|n| format!("edge-{n}") != old).collect();
    let next = owner(&left, false, "a");
    let mut cluster = Cluster::new(&ALL);
    cluster.with(T, &next, |coordinator| coordinator.receive(T, &old, 1, vec![]));
    let caller = left.iter().map(|n| format!("edge-{n}")).find(|n| *n != next).expect("a third");
    cluster.with(T + 10 * MS, &caller, |coordinator| {
        coordinator.undelivered(T + 10 * MS, &format!("{old}:1"), vec![])
    });
    cluster.request(T + 10 * MS, &caller);
    cluster.deliver(T + 10 * MS, &[]);
    assert!(cluster.granted.is_empty(), "{:?}", cluster.out());
    for step in 1..20 {
        let now = T + step * 25 * MS;
        cluster.with(now, &next, |coordinator| coordinator.tick(now));
        cluster.deliver(now, &[]);
        assert_eq!(cluster.granted.len(), usize::from(now >= T + 400 * MS));
    }
}

/// The first message of a proxy freed its permits reported by the previous owner. After a cold start, when
/// most proxies have not yet exchanged messages, the owners after a split granted slots twice.
#[test]
fn first_message_of_a_proxy_keeps_its_transferred_permits() {
    let mut cluster = Cluster::new(&ALL);
    let old = owner(&ALL, false, "a");
    let new = ["a", "b"].map(|z| owner(&ALL, true, z)).into_iter().find(|n| *n != old).expect("another");
    for _ in 0..3 {
        ALL.iter().for_each(|n| cluster.request(T, &format!("edge-{n}")));
    }
    cluster.deliver(T, &[]);
    assert_eq!(cluster.granted.len(), 16);
    for n in ALL {
        let name = format!("edge-{n}");
        cluster
            .with(T, &name, |coordinator| coordinator.receive_from_controller(T, full_view(2, &ALL, true)));
    }
    // Only the transfer of the old owner arrives, then a message from each other proxy.
    cluster.in_transit.retain(|(from, ..)| *from == old);
    cluster.deliver(T, &[]);
    for n in ALL {
        let from = format!("edge-{n}");
        if from != new {
            cluster.with(T + 10 * MS, &new, |coordinator| coordinator.receive(T + 10 * MS, &from, 1, vec![]));
        }
    }
    (0..8).for_each(|_| cluster.request(T + 20 * MS, &new));
    assert!(cluster.within_limits(), "{:?}", cluster.out());
}

/// A new owner that itself held a permit granted by the old owner released it to the old owner. The slot
/// stayed taken until that message was forwarded back, although the new owner had it on record.
#[test]
fn new_owner_releases_its_own_transferred_permits_directly() {
    let mut cluster = Cluster::new(&ALL);
    let old = owner(&ALL, false, "a");
    let new = ["a", "b"].map(|z| owner(&ALL, true, z)).into_iter().find(|n| *n != old).expect("another");
    (0..16).for_each(|_| cluster.request(T, &new));
    cluster.deliver(T, &[]);
    assert_eq!(cluster.granted.len(), 16);
    for n in ALL {
        let name = format!("edge-{n}");
        cluster
            .with(T, &name, |coordinator| coordinator.receive_from_controller(T, full_view(2, &ALL, true)));
    }
    cluster.deliver(T, &[]);
    let counted = cluster.coordinators[&new].scheduler().permits().count();
    assert_eq!(counted, 8, "the permits of its zone");
    cluster.finish(T + 20 * MS, 16);
    assert_eq!(cluster.coordinators[&new].scheduler().permits().count(), 0, "before any message");
    assert_eq!(cluster.in_transit.len(), 8, "the permits of the other zone");
    cluster.deliver(T + 30 * MS, &[]);
    assert!(cluster.coordinators.values().all(|coordinator| coordinator.scheduler().permits().count() == 0));
}

/// Three views in which a further proxy joins each time and becomes the owner of the function; with that
/// owner.
fn three_owners() -> [(Vec<usize>, String); 3] {
    let without = |who: &[usize], name: &str| -> Vec<usize> {
        who.iter().copied().filter(|n| format!("edge-{n}") != name).collect()
    };
    let last = owner(&ALL, false, "a");
    let two = without(&ALL, &last);
    let next = owner(&two, false, "a");
    let one = without(&two, &next);
    let first = owner(&one, false, "a");
    [(one, first), (two, next), (ALL.to_vec(), last)]
}

/// Requests whose clients had gone ran on at an instance. Each new owner of the function sent as many others there,
/// which were rejected as full, though the owner before it knew of the first ones.
#[test]
fn new_owners_learn_of_slots_that_are_taken_without_a_permit() {
    let views = three_owners();
    let mut cluster = Cluster::new(&ALL);
    let change_view = |cluster: &mut Cluster, now: Nanos, n: usize| {
        for name in ALL.iter().map(|n| format!("edge-{n}")) {
            let view = full_view(2 + n as u64, &views[n].0, false);
            cluster.with(now, &name, |coordinator| coordinator.receive_from_controller(now, view));
        }
        cluster.deliver(now, &[]);
    };
    change_view(&mut cluster, T, 0);
    let first = views[0].1.clone();
    (0..16).for_each(|_| cluster.request(T + 400 * MS, &first));
    cluster.deliver(T + 400 * MS, &[]);
    assert_eq!(cluster.granted.len(), 16, "all slots");
    let rejected = T + 410 * MS;
    let mut left = BTreeMap::<String, usize>::new();
    for (name, id, instance) in std::mem::take(&mut cluster.granted) {
        let count = left.entry(instance.clone()).or_default();
        *count += 1;
        let outcome = if *count <= 2 { Outcome::Full } else { Outcome::Answered };
        cluster.with(rejected, &name, |coordinator| coordinator.finish(rejected, id, outcome, 2 * MS));
    }
    cluster.deliver(rejected, &[]);
    // Two further owners, one after the other.
    (0..16).for_each(|_| cluster.request(rejected, &first));
    for n in [1, 2] {
        let now = rejected + n as u64 * 100 * MS;
        change_view(&mut cluster, now, n);
        let owner = views[n].1.clone();
        cluster.with(now + 10 * MS, &owner, |coordinator| coordinator.tick(now + 10 * MS));
        cluster.deliver(now + 10 * MS, &[]);
        assert!(cluster.out().values().all(|count| *count == 2), "owner {n}: {:?}", cluster.out());
    }
    assert_eq!(cluster.granted.len(), 8);
    // Later the slots are tried again.
    let (now, last) = (rejected + 3 * SECOND, views[2].1.clone());
    cluster.with(now, &last, |coordinator| coordinator.tick(now));
    cluster.deliver(now, &[]);
    assert!(cluster.out().values().all(|count| *count == 4), "{:?}", cluster.out());
}

/// Ownership changes twice while the first owner's transfer is in transit: it arrives at a proxy that no
/// longer owns the function. That proxy kept it, and the current owner granted the slots a second time.
#[test]
fn transfer_and_later_releases_are_forwarded_to_the_current_owner() {
    let [(one, first), (two, second), (three, third)] = three_owners();
    let mut cluster = Cluster::new(&ALL);
    let names: Vec<_> = ALL.iter().map(|n| format!("edge-{n}")).collect();
    names.iter().for_each(|name| {
        cluster.with(T, name, |coordinator| coordinator.receive_from_controller(T, full_view(2, &one, false)))
    });
    cluster.deliver(T, &[]);
    let caller = names.iter().find(|n| ![&first, &second, &third].contains(n)).expect("another");
    let start = T + 3 * SECOND;
    (0..16).for_each(|_| cluster.request(start, caller));
    cluster.deliver(start, &[]);
    assert_eq!(cluster.granted.len(), 16);
    // The first owner sends its transfer under the second view; the others apply the third before it
    // arrives.
    cluster.with(start, &first, |coordinator| {
        coordinator.receive_from_controller(start, full_view(3, &two, false))
    });
    for name in [&second, &third] {
        cluster.with(start, name, |coordinator| {
            coordinator.receive_from_controller(start, full_view(3, &two, false))
        });
        cluster.with(start, name, |coordinator| {
            coordinator.receive_from_controller(start, full_view(4, &three, false))
        });
    }
    cluster.deliver(start + 5 * MS, &[]);
    assert_eq!(cluster.coordinators[&third].scheduler().permits().count(), 16, "all outstanding permits");
    assert_eq!(cluster.coordinators[&second].scheduler().permits().count(), 0);
    // The current owner grants none of those slots before they are released, by way of both previous
    // owners.
    let later = start + 2 * SECOND;
    (0..4).for_each(|_| cluster.request(later, &third));
    cluster.with(later, &third, |coordinator| coordinator.tick(later));
    assert_eq!(cluster.granted.len(), 16);
    cluster.finish(later, 16);
    cluster.deliver(later, &[]);
    assert_eq!(cluster.granted.len(), 4, "the queued requests");
    assert_eq!(cluster.coordinators[&third].scheduler().permits().count(), 4);
}

/// Order in which the requesting proxy and the new owner learn of a grant made by the previous owner.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// The transfer from the old owner arrives at the new one before the request.
    TransferFirst,
    RequestFirst,
    /// The new owner grants another instance before the transfer arrives, and the old grant arrives first.
    TwiceOld,
    /// The same, but the new grant arrives first.
    TwiceNew,
}

/// A grant of the previous owner is in transit while the request moves to the current owner, which
/// receives both the transferred permit and the request. It granted the request a second time, and the
/// release of the first permit freed the slot that was in use.
#[yare::parameterized(
    transfer_first = { Order::TransferFirst },
    request_first = { Order::RequestFirst },
    granted_twice_old_grant_first = { Order::TwiceOld },
    granted_twice_new_grant_first = { Order::TwiceNew },
)]
fn request_uses_one_grant_and_its_slot_is_freed_once(order: Order) {
    let [_, (two, first), (three, second)] = three_owners();
    let mut cluster = Cluster::new(&ALL);
    let names: Vec<_> = ALL.iter().map(|n| format!("edge-{n}")).collect();
    names.iter().for_each(|name| {
        cluster.with(T, name, |coordinator| coordinator.receive_from_controller(T, full_view(2, &two, false)))
    });
    cluster.deliver(T, &[]);
    let caller = names.iter().find(|n| **n != first && **n != second).expect("another").clone();
    let now = T + 3 * SECOND;
    cluster.request(now, &caller);
    cluster.deliver(now, &[&caller]);
    let grant = cluster.in_transit.pop().expect("a grant in transit");
    let PeerMessage::Grant { instance: old, .. } = grant.2.clone() else { panic!("{grant:?}") };
    for name in [&caller, &first, &second] {
        cluster.with(now, name, |coordinator| {
            coordinator.receive_from_controller(now, full_view(3, &three, false))
        });
    }
    cluster.in_transit.sort_by_key(|(from, ..)| (*from == first) != (order == Order::TransferFirst));
    let now = now + 10 * MS;
    if matches!(order, Order::TwiceOld | Order::TwiceNew) {
        let response = cluster
            .in_transit
            .iter()
            .position(|(from, ..)| *from == first)
            .expect("a message of the first owner");
        let response = cluster.in_transit.remove(response);
        // It knows all instances except that one, so that it grants another.
        let PeerMessage::Instances { set, .. } = instances(2) else { panic!("instances") };
        let others: Vec<_> = set.iter().filter(|i| i.id != old).cloned().collect();
        let whole =
            |version, set| PeerMessage::Instances { version: (1, version), all: true, set, gone: vec![] };
        cluster.with(now, &second, |coordinator| coordinator.receive_from_controller(now, whole(3, others)));
        cluster.deliver(now, &[&caller]);
        for step in 0..80 {
            let now = now + step * 25 * MS;
            cluster.with(now, &second, |coordinator| coordinator.tick(now));
        }
        cluster.with(now, &second, |coordinator| coordinator.receive_from_controller(now, whole(4, set)));
        assert!(
            cluster.in_transit.iter().any(|(_, _, message)| matches!(message, PeerMessage::Grant { .. }))
        );
        let position = if order == Order::TwiceOld { 0 } else { cluster.in_transit.len() };
        cluster.in_transit.insert(position, grant);
        cluster.in_transit.push(response);
    } else {
        cluster.deliver(now, &[]);
        cluster.in_transit.push(grant);
    }
    cluster.deliver(now + 2 * SECOND, &[]);
    let used: Vec<_> = cluster.granted.iter().map(|(.., instance)| instance.clone()).collect();
    assert_eq!(used.len(), 1, "one grant is used");
    assert_eq!(used[0] == old, order != Order::TwiceNew);
    let out: Vec<_> = cluster.coordinators[&second]
        .scheduler()
        .permits()
        .map(|(.., instance)| instance.to_owned())
        .collect();
    assert_eq!(out, used, "the used grant is counted");
    let end = now + 2 * SECOND + 100 * MS;
    cluster.finish(end, 1);
    cluster.deliver(end, &[]);
    assert!(cluster.coordinators.values().all(|coordinator| coordinator.scheduler().permits().count() == 0));
}
