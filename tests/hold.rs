//! The hold: hopeless queues must not turn away messages for healthy destinations.

mod common;
use common::*;
use millpost::api::*;

#[test]
fn the_longest_queue_makes_room_before_the_hold_is_full() {
    let mut b = Bench::new(Settings { hold: 32, ..settings() }, vec![entry(1, 8, 0)]);
    // Destination 7 has no endpoint: its messages wait.
    for id in 0..31 {
        b.take(id, 0, 7);
    }
    b.take(99, 0, 8);
    let actions = b.decide();
    assert_eq!(sent(&actions), [99]);
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert_eq!(refused, 3, "a sixteenth of the hold, and one, is kept free");
    assert!(!actions.iter().any(|a| matches!(a, Action::Refuse { id: 99, .. })));
}

#[test]
fn a_message_that_may_have_run_is_not_given_up_for_room() {
    let mut b = Bench::new(Settings { hold: 2, ..settings() }, vec![entry(1, 7, 0)]);
    b.take(1, 1, 7);
    b.decide();
    b.now = 50 * MS;
    b.over(1, 0, 1, Outcome::Error, 50 * MS);
    b.take(2, 1, 9);
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 2, wait }] if wait > 0));
}
