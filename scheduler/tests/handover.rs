//! Owners change while permits are out.

mod town;

use std::collections::BTreeMap;

use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{Action, Coordinator, MS, Nanos, Outcome, SECOND};
use town::{ALL, CONCURRENCY, T, Town, instances, owner, peer, stalls};

/// What a life is numbered by goes back with its machine's clock. Only who lives can say that it does.
#[test]
fn mail_of_a_lower_life_counts_for_nothing_and_is_answered_with_the_life_that_is_known() {
    let mut town = Town::new(&[1, 2]);
    let to_me = |life, note| move |desk: &mut Coordinator| desk.receive(T, "edge-2", life, vec![note]);
    let ask = || PeerMessage::RequestPermit {
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
    town.with(T, "edge-1", to_me(9, PeerMessage::CancelRequest { id: 1 }));
    town.mail.clear();
    town.with(T, "edge-1", to_me(8, ask()));
    assert_eq!(town.mail, [("edge-1".into(), "edge-2".into(), PeerMessage::StaleIncarnation { known: 9 })]);
    town.mail.clear();
    town.with(T, "edge-1", to_me(10, ask()));
    assert!(town.mail.iter().all(|(.., note)| !matches!(note, PeerMessage::StaleIncarnation { .. })));
    assert_eq!(town.mail.len(), 1, "the ask is answered: {:?}", town.mail);
}

#[test]
fn lots_begin_with_what_the_owner_of_all_has_out_and_lose_no_slot() {
    let mut town = Town::new(&ALL);
    let old = owner(&ALL, false, "a");
    let (new, other) = (owner(&ALL, true, "a"), owner(&ALL, true, "b"));
    for _ in 0..3 {
        ALL.iter().for_each(|n| town.ask(T, &format!("edge-{n}")));
    }
    town.post(T, &[]);
    assert_eq!(town.granted.len(), 16, "all that there is");
    assert!(town.within_limits());
    // The new owners hear first, the old one and the askers a moment later; what was out ends meanwhile.
    let first: Vec<_> = [&new, &other].into_iter().filter(|n| **n != old).cloned().collect();
    for name in &first {
        town.with(T, name, |desk| desk.receive_from_controller(T, stalls(2, &ALL, true)));
    }
    town.post(T + 10 * MS, &[]);
    assert_eq!(town.granted.len(), 16, "nothing is given twice");
    town.finish(T + 20 * MS, 6);
    town.post(T + 20 * MS, &[]);
    assert!(town.within_limits(), "{:?}", town.out());
    for n in ALL {
        let name = format!("edge-{n}");
        if !first.contains(&name) {
            town.with(T + 30 * MS, &name, |desk| {
                desk.receive_from_controller(T + 30 * MS, stalls(2, &ALL, true))
            });
        }
    }
    town.post(T + 30 * MS, &[]);
    assert!(town.within_limits(), "{:?}", town.out());
    // All that waits is served in the end, each slot is given again, and none stays taken.
    for step in 1..40 {
        let now = T + 30 * MS + step * 25 * MS;
        town.finish(now, 4);
        ALL.iter().for_each(|n| town.with(now, &format!("edge-{n}"), |desk| desk.tick(now)));
        town.post(now, &[]);
        assert!(town.within_limits(), "{:?}", town.out());
    }
    assert!(town.granted.is_empty());
    assert!(town.desks.values().all(|desk| desk.scheduler().permits().count() == 0));
    for _ in 0..3 {
        ALL.iter().for_each(|n| town.ask(T + 2 * SECOND, &format!("edge-{n}")));
    }
    town.post(T + 2 * SECOND, &[]);
    assert_eq!(town.granted.len(), 16);
    assert!(town.within_limits());
}

#[test]
fn where_the_owner_is_dead_askers_tell_of_its_permits_and_the_new_one_gives_a_part_until_then() {
    let old = owner(&ALL, false, "a");
    let mut town = Town::new(&ALL);
    let askers: Vec<_> = ALL.iter().map(|n| format!("edge-{n}")).filter(|n| *n != old).collect();
    for _ in 0..4 {
        askers.iter().for_each(|name| town.ask(T, name));
    }
    town.post(T, &[]);
    assert_eq!(town.granted.len(), 16);
    town.desks.remove(&old);
    town.mail.clear();
    let left: Vec<_> = ALL.into_iter().filter(|n| format!("edge-{n}") != old).collect();
    let new = owner(&left, false, "a");
    town.with(T, &new, |desk| desk.receive_from_controller(T + SECOND, stalls(2, &left, false)));
    town.ask(T + SECOND, &new);
    for name in askers.iter().filter(|n| **n != new) {
        town.with(T, name, |desk| desk.receive_from_controller(T + SECOND, stalls(2, &left, false)));
    }
    town.post(T + SECOND, &[]);
    // One slot more than is known at that moment, of four that were free by what was known.
    assert!(town.out().values().all(|n| *n <= CONCURRENCY as usize + 1), "{:?}", town.out());
    town.finish(T + 2 * SECOND, 17);
    town.post(T + 2 * SECOND, &[]);
    assert!(town.desks.values().all(|desk| desk.scheduler().permits().count() <= town.granted.len()));
}

/// An owner without power kept its askers waiting until their mail timed out, 0.7 s, and until control missed it, 1.5 s.
#[test]
fn an_owner_that_answers_nothing_is_passed_over_and_control_hears_of_it() {
    let old = owner(&ALL, false, "a");
    let mut town = Town::new(&ALL);
    let asker = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old).expect("another");
    let friend = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old && *n != asker).expect("a third");
    town.desks.remove(&old);
    let up = |town: &mut Town, at: Nanos| {
        let desk = town.desks.get_mut(&asker).expect("a desk");
        desk.tick(at);
        let outs = desk.take_actions();
        let deaf = |o: &Action| matches!(o, Action::NotifyController(PeerMessage::PeerUnreachable { peer, .. }) if *peer == old);
        let asks = outs.iter().filter_map(|o| match o {
            Action::Send { to, note: PeerMessage::RequestPermit { .. } } => {
                Some(to.trim_end_matches(":1").to_owned())
            }
            _ => None,
        });
        (outs.iter().any(deaf), asks.collect::<Vec<_>>())
    };
    town.ask(T, &asker);
    // Nobody at all was heard: it may be this stall's own link.
    assert!(!up(&mut town, T + 450 * MS).0);
    town.with(T + 500 * MS, &asker, |desk| desk.receive(T + 500 * MS, &friend, 1, vec![]));
    let (deaf, asks) = up(&mut town, T + 525 * MS);
    assert!(deaf && asks.iter().any(|to| *to != old), "{asks:?}");
    // One that is slow, and is heard of, is waited for.
    let mut town = Town::new(&ALL);
    town.ask(T, &asker);
    town.with(T + 300 * MS, &asker, |desk| desk.receive(T + 300 * MS, &old, 1, vec![]));
    assert!(!up(&mut town, T + 425 * MS).0);
    assert!(!up(&mut town, T + 575 * MS).0);
}

/// An instance starts in 300 ms and more: meanwhile an owner that has said that an ask waits has nothing else to say.
#[test]
fn an_owner_that_said_that_an_ask_waits_is_not_deaf() {
    let old = owner(&ALL, false, "a");
    let mut town = Town::new(&ALL);
    let asker = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old).expect("another");
    let friend = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old && *n != asker).expect("a third");
    town.ask(T, &asker);
    let asked = town.mail.iter().find_map(|(from, to, note)| match note {
        PeerMessage::RequestPermit { id, .. } if *from == asker && to.starts_with(&old) => Some(*id),
        _ => None,
    });
    let waits = PeerMessage::Queued { id: asked.expect("an ask") };
    let desk = town.desks.get_mut(&asker).expect("a desk");
    desk.receive(T + 5 * MS, &old, 1, vec![waits]);
    let mut deaf = |at: Nanos| {
        desk.receive(at, &friend, 1, vec![]);
        desk.tick(at);
        desk.take_actions()
            .iter()
            .any(|o| matches!(o, Action::NotifyController(PeerMessage::PeerUnreachable { .. })))
    };
    assert!(!deaf(T + 400 * MS) && !deaf(T + 1_500 * MS));
    // Asked again, it says nothing.
    assert!(deaf(T + 1_950 * MS));
}

/// Mail that was not acknowledged in time had come all the same: its grant was used, and the slot given to another too.
#[test]
fn a_grant_whose_mail_came_back_is_told_again_and_its_slot_stays_taken() {
    let old = owner(&ALL, false, "a");
    let mut town = Town::new(&ALL);
    let asker = ALL.iter().map(|n| format!("edge-{n}")).find(|n| *n != old).expect("another");
    town.ask(T, &asker);
    town.post(T, &[&asker]);
    let (_, _, grant) = town.mail.pop().expect("a grant on its way");
    let address = format!("{asker}:1");
    town.with(T + 700 * MS, &old, |desk| desk.undelivered(T + 700 * MS, &address, vec![grant.clone()]));
    assert_eq!(town.desks[&old].scheduler().permits().count(), 1);
    assert!(town.mail.iter().any(|(from, to, note)| *from == old && *to == asker && *note == grant));
    town.post(T + 700 * MS, &[]);
    assert_eq!(town.granted.len(), 1);
    town.finish(T + 800 * MS, 1);
    town.post(T + 800 * MS, &[]);
    // What is not out any more is not told again.
    town.with(T + 900 * MS, &old, |desk| desk.undelivered(T + 900 * MS, &address, vec![grant]));
    assert!(town.mail.is_empty());
}

/// An owner too busy to say for 1.5 s what it had out: the new ones gave every slot of it a second time.
#[test]
fn an_owner_that_lives_and_says_nothing_is_counted_with_until_it_is_gone() {
    let mut town = Town::new(&ALL);
    let old = owner(&ALL, false, "a");
    let (new, other) = (owner(&ALL, true, "a"), owner(&ALL, true, "b"));
    let new: Vec<_> = [new, other].into_iter().filter(|name| *name != old).collect();
    for _ in 0..3 {
        ALL.iter().for_each(|n| town.ask(T, &format!("edge-{n}")));
    }
    town.post(T, &[]);
    assert_eq!(town.granted.len(), 16);
    let kept = std::mem::take(&mut town.granted);
    for name in &new {
        town.with(T, name, |desk| desk.receive_from_controller(T, stalls(2, &ALL, true)));
        (0..4).for_each(|_| town.ask(T, name));
    }
    let mut full = 0;
    for step in 0..160 {
        let now = T + step * 25 * MS;
        new.iter().for_each(|name| town.with(now, name, |desk| desk.tick(now)));
        new.iter().filter(|_| step % 10 == 0).for_each(|name| town.ask(now, name));
        for (name, id, _) in std::mem::take(&mut town.granted) {
            full += 1;
            town.with(now, &name, |desk| desk.finish(now, id, Outcome::Full, 2 * MS));
        }
    }
    assert!((1..=3 * new.len()).contains(&full), "{full} turned away");
    // Once it is gone, half of all slots are given at once, and what its askers tell of counts.
    let left: Vec<_> = ALL.into_iter().filter(|n| format!("edge-{n}") != old).collect();
    let now = T + 4_200 * MS;
    for name in &new {
        town.with(now, name, |desk| desk.receive_from_controller(now, stalls(3, &left, true)));
        town.ask(now + 25 * MS, name);
        town.with(now + 325 * MS, name, |desk| desk.tick(now + 325 * MS));
    }
    assert!(town.granted.len() >= new.len(), "{:?}", town.out());
    assert_eq!(kept.len(), 16);
}

/// An instance that control calls starting was up by its owner's own look, and had requests: the owner after a split saw it come up,
/// and gave all its slots a second time.
#[test]
fn an_instance_that_starts_by_controls_word_may_be_the_owner_of_befores() {
    let mut town = Town::new(&ALL);
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
    town.with(T, &new, |desk| {
        desk.receive_from_controller(T, stalls(2, &ALL, true));
        desk.receive_from_controller(T, starting(2, "i-9", true));
        desk.instance_up(T + 100 * MS, "i-9");
    });
    (0..4).for_each(|_| town.ask(T + 100 * MS, &new));
    assert!(town.granted.is_empty(), "{:?}", town.out());
    // One that was started for it is its own.
    town.with(T, &new, |desk| {
        desk.receive_from_controller(T + 200 * MS, starting(3, "i-10", false));
        desk.instance_up(T + 300 * MS, "i-10");
    });
    assert_eq!(town.out(), BTreeMap::from([("i-10", 4)]));
}

/// An owner that answers one asker late is not dead: while it is heard of, whoever is asked in its place gives none of its slots.
#[test]
fn who_stands_in_waits_while_the_owner_is_heard_of() {
    let old = owner(&ALL, false, "a");
    let left: Vec<_> = ALL.into_iter().filter(|n| format!("edge-{n}") != old).collect();
    let next = owner(&left, false, "a");
    let mut town = Town::new(&ALL);
    town.with(T, &next, |desk| desk.receive(T, &old, 1, vec![]));
    let asker = left.iter().map(|n| format!("edge-{n}")).find(|n| *n != next).expect("a third");
    town.with(T + 10 * MS, &asker, |desk| desk.undelivered(T + 10 * MS, &format!("{old}:1"), vec![]));
    town.ask(T + 10 * MS, &asker);
    town.post(T + 10 * MS, &[]);
    assert!(town.granted.is_empty(), "{:?}", town.out());
    for step in 1..20 {
        let now = T + step * 25 * MS;
        town.with(now, &next, |desk| desk.tick(now));
        town.post(now, &[]);
        assert_eq!(town.granted.len(), usize::from(now >= T + 400 * MS));
    }
}

/// The first mail from a stall freed the permits that the owner of before had told of it: at a cold start, where most stalls have not
/// heard of one another yet, the owners after a split gave their slots twice.
#[test]
fn the_first_mail_of_a_stall_leaves_what_another_owner_told_of_it() {
    let mut town = Town::new(&ALL);
    let old = owner(&ALL, false, "a");
    let new = ["a", "b"].map(|z| owner(&ALL, true, z)).into_iter().find(|n| *n != old).expect("another");
    for _ in 0..3 {
        ALL.iter().for_each(|n| town.ask(T, &format!("edge-{n}")));
    }
    town.post(T, &[]);
    assert_eq!(town.granted.len(), 16);
    for n in ALL {
        let name = format!("edge-{n}");
        town.with(T, &name, |desk| desk.receive_from_controller(T, stalls(2, &ALL, true)));
    }
    // Only the old owner's word comes, then something from each of the others.
    town.mail.retain(|(from, ..)| *from == old);
    town.post(T, &[]);
    for n in ALL {
        let from = format!("edge-{n}");
        if from != new {
            town.with(T + 10 * MS, &new, |desk| desk.receive(T + 10 * MS, &from, 1, vec![]));
        }
    }
    (0..8).for_each(|_| town.ask(T + 20 * MS, &new));
    assert!(town.within_limits(), "{:?}", town.out());
}

/// A new owner that had a permit of the old one's itself gave it back to that one: its slot stayed taken until word of that came back,
/// though it was counted here.
#[test]
fn a_new_owner_gives_back_to_itself_what_it_was_told_of_its_own() {
    let mut town = Town::new(&ALL);
    let old = owner(&ALL, false, "a");
    let new = ["a", "b"].map(|z| owner(&ALL, true, z)).into_iter().find(|n| *n != old).expect("another");
    (0..16).for_each(|_| town.ask(T, &new));
    town.post(T, &[]);
    assert_eq!(town.granted.len(), 16);
    for n in ALL {
        let name = format!("edge-{n}");
        town.with(T, &name, |desk| desk.receive_from_controller(T, stalls(2, &ALL, true)));
    }
    town.post(T, &[]);
    let counted = town.desks[&new].scheduler().permits().count();
    assert_eq!(counted, 8, "those of its zone");
    town.finish(T + 20 * MS, 16);
    assert_eq!(town.desks[&new].scheduler().permits().count(), 0, "before any mail");
    assert_eq!(town.mail.len(), 8, "those of the other zone");
    town.post(T + 30 * MS, &[]);
    assert!(town.desks.values().all(|desk| desk.scheduler().permits().count() == 0));
}

/// Owners of a function one after the other, and the stalls that are named with each: another stall comes each time, and owns it.
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

/// Owners change twice within the flight of what the first one tells: its word comes to a stall that owns the function no more. It was
/// kept there, and the owner of now gave the slots a second time.
#[test]
fn what_an_owner_tells_goes_on_to_who_owns_the_function_by_then_and_so_does_what_comes_back() {
    let [(one, first), (two, second), (three, third)] = three_owners();
    let mut town = Town::new(&ALL);
    let names: Vec<_> = ALL.iter().map(|n| format!("edge-{n}")).collect();
    names
        .iter()
        .for_each(|name| town.with(T, name, |desk| desk.receive_from_controller(T, stalls(2, &one, false))));
    town.post(T, &[]);
    let asker = names.iter().find(|n| ![&first, &second, &third].contains(n)).expect("another");
    let start = T + 3 * SECOND;
    (0..16).for_each(|_| town.ask(start, asker));
    town.post(start, &[]);
    assert_eq!(town.granted.len(), 16);
    // The first one's word goes out under the next naming; the others know the one after it before it comes.
    town.with(start, &first, |desk| desk.receive_from_controller(start, stalls(3, &two, false)));
    for name in [&second, &third] {
        town.with(start, name, |desk| desk.receive_from_controller(start, stalls(3, &two, false)));
        town.with(start, name, |desk| desk.receive_from_controller(start, stalls(4, &three, false)));
    }
    town.post(start + 5 * MS, &[]);
    assert_eq!(town.desks[&third].scheduler().permits().count(), 16, "all that is out");
    assert_eq!(town.desks[&second].scheduler().permits().count(), 0);
    // The owner of now gives none of those slots before they come back, by way of both.
    let later = start + 2 * SECOND;
    (0..4).for_each(|_| town.ask(later, &third));
    town.with(later, &third, |desk| desk.tick(later));
    assert_eq!(town.granted.len(), 16);
    town.finish(later, 16);
    town.post(later, &[]);
    assert_eq!(town.granted.len(), 4, "those that waited");
    assert_eq!(town.desks[&third].scheduler().permits().count(), 4);
}

/// In which order the asker and the new owner hear of one ask's grant by the owner of before.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    /// The old owner's word comes to the new one before the ask does.
    Word,
    Asks,
    /// The new owner grants it elsewhere before it hears, and the asker hears of the old grant first.
    TwiceOld,
    /// Likewise, and it hears of the new one first.
    TwiceNew,
}

/// The grant of the owner of before is on its way while the ask goes to the owner of now, which hears of the permit and of the ask.
/// It granted the ask a second time, and the first one's return freed the slot that was used.
#[yare::parameterized(
    its_word_first = { Order::Word },
    the_ask_first = { Order::Asks },
    granted_twice_and_the_old_one_comes_first = { Order::TwiceOld },
    granted_twice_and_the_new_one_comes_first = { Order::TwiceNew },
)]
fn an_ask_uses_one_grant_and_its_slot_is_freed_once(order: Order) {
    let [_, (two, first), (three, second)] = three_owners();
    let mut town = Town::new(&ALL);
    let names: Vec<_> = ALL.iter().map(|n| format!("edge-{n}")).collect();
    names
        .iter()
        .for_each(|name| town.with(T, name, |desk| desk.receive_from_controller(T, stalls(2, &two, false))));
    town.post(T, &[]);
    let asker = names.iter().find(|n| **n != first && **n != second).expect("another").clone();
    let now = T + 3 * SECOND;
    town.ask(now, &asker);
    town.post(now, &[&asker]);
    let grant = town.mail.pop().expect("a grant on its way");
    let PeerMessage::Grant { instance: old, .. } = grant.2.clone() else { panic!("{grant:?}") };
    for name in [&asker, &first, &second] {
        town.with(now, name, |desk| desk.receive_from_controller(now, stalls(3, &three, false)));
    }
    town.mail.sort_by_key(|(from, ..)| (*from == first) != (order == Order::Word));
    let now = now + 10 * MS;
    if matches!(order, Order::TwiceOld | Order::TwiceNew) {
        let word = town.mail.iter().position(|(from, ..)| *from == first).expect("its word");
        let word = town.mail.remove(word);
        // It knows all instances but that one, so that it grants another.
        let PeerMessage::Instances { set, .. } = instances(2) else { panic!("instances") };
        let but: Vec<_> = set.iter().filter(|i| i.id != old).cloned().collect();
        let whole =
            |version, set| PeerMessage::Instances { version: (1, version), all: true, set, gone: vec![] };
        town.with(now, &second, |desk| desk.receive_from_controller(now, whole(3, but)));
        town.post(now, &[&asker]);
        for step in 0..80 {
            let now = now + step * 25 * MS;
            town.with(now, &second, |desk| desk.tick(now));
        }
        town.with(now, &second, |desk| desk.receive_from_controller(now, whole(4, set)));
        assert!(town.mail.iter().any(|(_, _, note)| matches!(note, PeerMessage::Grant { .. })));
        let place = if order == Order::TwiceOld { 0 } else { town.mail.len() };
        town.mail.insert(place, grant);
        town.mail.push(word);
    } else {
        town.post(now, &[]);
        town.mail.push(grant);
    }
    town.post(now + 2 * SECOND, &[]);
    let used: Vec<_> = town.granted.iter().map(|(.., instance)| instance.clone()).collect();
    assert_eq!(used.len(), 1, "one grant is used");
    assert_eq!(used[0] == old, order != Order::TwiceNew);
    let out: Vec<_> =
        town.desks[&second].scheduler().permits().map(|(.., instance)| instance.to_owned()).collect();
    assert_eq!(out, used, "and that one is counted");
    let end = now + 2 * SECOND + 100 * MS;
    town.finish(end, 1);
    town.post(end, &[]);
    assert!(town.desks.values().all(|desk| desk.scheduler().permits().count() == 0));
}
