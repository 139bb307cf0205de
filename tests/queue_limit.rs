//! The queue limit: messages for dead destinations must not cause refusals of messages for healthy ones.

mod common;
use common::*;
use millpost::api::*;

#[test]
fn the_destination_with_the_longest_queue_is_refused_before_the_limit_is_reached() {
    let mut b = Harness::new(Settings { hold: 32, ..settings() }, vec![entry(1, 8, 0)]);
    // Destination 7 has no endpoint: its messages wait.
    for id in 0..31 {
        b.accept(id, 0, 7);
    }
    b.accept(99, 0, 8);
    let actions = b.decide();
    assert_eq!(sent_ids(&actions), [99]);
    let refused = actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert_eq!(refused, 3, "room for a sixteenth of the limit, and one, is kept free");
    assert!(!actions.iter().any(|a| matches!(a, Action::Refuse { id: 99, .. })));
}

#[test]
fn a_message_that_may_have_run_is_not_refused_for_room() {
    let mut b = Harness::new(Settings { hold: 2, ..settings() }, vec![entry(1, 7, 0)]);
    b.accept(1, 1, 7);
    b.decide();
    b.now = 50 * MS;
    b.end_attempt(1, 0, 1, Outcome::Error, 50 * MS);
    b.accept(2, 1, 9);
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 2, wait }] if wait > 0));
}
