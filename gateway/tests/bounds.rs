//! A peer that asks and offers without end: what is remembered of it is bounded, and nothing is answered wrongly for it.

use millpost_gateway::far::{Effect, Far, MOST_RECORDS, MOST_STORES};
use millpost_gateway::near::Word;
use millpost_gateway::{End, HopKey};

fn key(message: usize) -> HopKey {
    HopKey { store: 9, message: message as u64, attempt: 1 }
}

fn effects(far: &mut Far) -> Vec<Effect> {
    std::iter::from_fn(|| far.effect()).collect()
}

#[test]
fn questions_and_offers_without_end_take_bounded_memory() {
    let mut far = Far::default();
    far.link_up();
    for n in 0..MOST_RECORDS + 1_000 {
        match n % 3 {
            0 => far.asked(key(n)),
            1 => far.offered(key(n), Err(End::Refused { wait: 0 })),
            _ => far.offered(key(n), Ok(())),
        }
        for effect in effects(&mut far) {
            match effect {
                Effect::KeepVoid { key } => far.void_lasts(key),
                Effect::Take { key } => far.taken(key),
                _ => {}
            }
        }
    }
    assert_eq!(far.remembered(), MOST_RECORDS);
    // One that was not remembered is not answered: nothing would keep a late copy of it from being taken.
    effects(&mut far);
    far.asked(key(MOST_RECORDS + 5));
    assert_eq!(effects(&mut far), []);
    // One that is known is answered as ever.
    far.asked(key(0));
    assert_eq!(effects(&mut far), [Effect::Tell { key: key(0), word: Word::Void }]);
    // What its near side has settled makes room again; what is under way stays.
    far.settled(9, u64::MAX);
    assert_eq!(far.remembered(), MOST_RECORDS / 3);
    for n in (2..MOST_RECORDS).step_by(3) {
        far.ended(key(n), End::Delivered);
    }
    assert_eq!(far.remembered(), 0);
}

#[test]
fn near_sides_without_end_take_bounded_memory_and_floors_only_grow() {
    let mut far = Far::default();
    far.link_up();
    (0..2 * MOST_STORES as u64).for_each(|store| far.settled(store, 5));
    assert_eq!(effects(&mut far).len(), MOST_STORES);
    far.settled(0, 3);
    assert_eq!(effects(&mut far), []);
    // Below the floor a late copy is not taken.
    far.offered(HopKey { store: 0, message: 4, attempt: 1 }, Ok(()));
    assert_eq!(effects(&mut far), []);
    far.offered(HopKey { store: 0, message: 5, attempt: 1 }, Ok(()));
    assert_eq!(effects(&mut far).len(), 1);
}
