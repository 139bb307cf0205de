//! Messages restored after a restart, the end of the process, and sends that were decided but are not written
//! yet.

mod common;

use common::*;
use millpost::api::*;

fn restored(id: MsgId, class: usize, attempts: u32, may_have_run: Option<Nanos>) -> Event {
    Event::Restored {
        id,
        class,
        key: None,
        dest: 7,
        deadline: 60 * S,
        attempts,
        first_sent: 40 * S,
        may_have_run: may_have_run.map(|at| (at, 0)),
    }
}

fn harness() -> Harness {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 41 * S;
    b
}

#[test]
fn an_unsafe_message_that_may_have_run_is_failed_after_a_restart() {
    let mut b = harness();
    b.report(restored(1, 2, 1, Some(40 * S)));
    assert_eq!(b.decide(), [Action::Fail { id: 1 }]);
}

#[test]
fn an_unsafe_message_that_never_ran_is_sent_after_a_restart() {
    let mut b = harness();
    b.report(restored(1, 2, 0, None));
    assert_eq!(sent_ids(&b.decide()), [1]);
    b.report(restored(2, 2, 1, None));
    assert_eq!(b.sends(50 * S).iter().map(|(_, id)| *id).collect::<Vec<_>>(), [2]);
}

#[test]
fn a_keyed_message_is_resent_only_within_its_window() {
    let mut b = harness();
    b.report(restored(1, 1, 1, Some(40 * S)));
    b.report(restored(2, 1, 1, Some(35 * S)));
    let done = b.decide();
    assert!(done.iter().any(|a| matches!(a, Action::Refuse { id: 2, .. })), "{done:?}");
    let sends = b.sends(60 * S);
    assert_eq!(sends.iter().map(|(_, id)| *id).collect::<Vec<_>>(), [1]);
    assert!(sends[0].0 < 45 * S);
}

#[test]
fn attempts_are_counted_across_a_restart() {
    let mut b = harness();
    b.report(restored(1, 0, 6, Some(40 * S)));
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 1, .. }]));
}

#[test]
fn a_message_that_expired_during_the_restart_is_answered_at_once() {
    let mut b = harness();
    b.now = 61 * S;
    b.report(restored(1, 0, 0, None));
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 1, .. }]));
}

#[test]
fn a_message_with_no_attempts_left_is_answered_at_once() {
    let mut b = harness();
    b.accept(1, 0, 7);
    b.decide();
    b.end_attempt(1, 0, 1, Outcome::Exhausted, MS);
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 1, .. }]));
}

#[test]
fn no_call_is_sent_that_the_end_of_the_process_would_interrupt() {
    let mut b = harness();
    b.report(Event::Stopping { at: b.now + 3 * S });
    b.accept(1, 2, 7);
    assert_eq!(sent_ids(&b.decide()), [1]);
    b.end_attempt(1, 0, 1, Outcome::Served, 100 * MS);
    b.now += 2_900 * MS;
    b.accept(2, 2, 7);
    assert!(b.decide().is_empty());
}

#[test]
fn a_send_that_is_not_written_yet_is_checked_again() {
    let sent = || {
        let mut b = harness();
        b.accept(1, 0, 7);
        assert_eq!(sent_ids(&b.decide()), [1]);
        assert!(b.control.may_still_send(b.now, 1));
        b
    };
    let mut b = sent();
    let drained = Entry { state: State::Draining, ..entry(1, 7, 0) };
    b.report(Event::Listed { whole: false, entries: vec![drained] });
    assert!(!b.control.may_still_send(b.now, 1));

    let mut b = sent();
    b.accept(2, 0, 7);
    b.decide();
    b.end_attempt(2, 0, 1, Outcome::Full(Some(S)), MS);
    assert!(!b.control.may_still_send(b.now, 1));
    assert!(b.control.may_still_send(b.now + S, 1));

    let b = sent();
    assert!(!b.control.may_still_send(b.now + 20 * S, 1));
}
