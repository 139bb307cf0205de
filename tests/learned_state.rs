//! State learned about destinations, carried over a restart as opaque bytes.

mod common;

use common::*;
use millpost::api::*;
use millpost::{Control, LearnedState};
use proptest::prelude::*;

/// Starts a new process that restores the old one's state `age` later, on a clock with the given origin.
fn restart(old: &mut Harness, age: Nanos, origin: Nanos) -> Harness {
    let states = old.control.take_learned(old.now, false);
    let mut b = Harness { control: Control::new(settings(), 2), now: origin, wake: None };
    b.report(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
    for LearnedState { dest, route, bytes } in states {
        assert!(b.control.restore_learned(b.now, dest, route, age, &bytes));
    }
    b
}

fn after_refusal(wait: Nanos) -> Harness {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 100 * S;
    b.accept(1, 0, 7);
    b.decide();
    b.end_attempt(1, 0, 1, Outcome::Full(Some(wait)), 5 * MS);
    b.report(Event::Withdrawn { id: 1 });
    b
}

/// A destination whose calls fail for long enough to count as an outage.
fn after_outage() -> Harness {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 100 * S;
    let mut failed = 0;
    for id in 0..40 {
        b.accept(id, 2, 7);
        b.wake = Some(b.now);
        let until = b.now + 300 * MS;
        for (_, id) in b.sends(until) {
            b.end_attempt(id, 0, 1, Outcome::Error, 20 * MS);
            failed += 1;
        }
    }
    assert!(failed > 3, "{failed} calls failed");
    b.decide();
    b
}

fn sends_of_a_burst(mut b: Harness, span: Nanos, outcome: Outcome) -> usize {
    for id in 100..180 {
        b.accept(id, 0, 7);
    }
    let (mut count, until) = (0, b.now + span);
    b.wake = Some(b.now);
    while b.now < until {
        let (at, attempts) = (b.now + 20 * MS, 0);
        for (_, action) in b.run(at) {
            if let Action::Send { id, .. } = action {
                count += 1;
                b.end_attempt(id, attempts, 1, outcome, 10 * MS);
                b.wake = Some(b.now);
            }
        }
    }
    count
}

#[test]
fn a_requested_wait_applies_after_a_restart_until_its_end() {
    for origin in [S, 1_000_000 * S] {
        let mut b = restart(&mut after_refusal(3 * S), S, origin);
        b.accept(2, 2, 7);
        assert!(b.decide().is_empty());
        let sends = b.sends(origin + 20 * S);
        assert!(sends[0].0 >= origin + 2 * S, "{sends:?}");
        // And no later than without a restart.
        let mut same = after_refusal(3 * S);
        same.now += S;
        same.accept(2, 2, 7);
        same.decide();
        let expected = same.sends(121 * S)[0].0 - 101 * S;
        assert_eq!(sends[0].0 - origin, expected);
    }
}

#[test]
fn an_expired_wait_has_no_effect_after_a_restart() {
    let mut b = restart(&mut after_refusal(S), 60 * S, 500 * S);
    b.accept(2, 2, 7);
    assert_eq!(sent_ids(&b.decide()), [2]);
}

#[test]
fn a_destination_that_was_down_gets_trial_calls_after_a_restart() {
    let fresh = Harness::new(settings(), vec![entry(1, 7, 0)]);
    let without = sends_of_a_burst(fresh, 2 * S, Outcome::Served);
    for age in [S, 3_600 * S] {
        let with = sends_of_a_burst(restart(&mut after_outage(), age, 7_000 * S), 2 * S, Outcome::Served);
        assert!(with * 4 < without && with > 0, "{with} of {without}");
    }
}

#[test]
fn a_recovering_destination_is_still_cold_after_a_restart() {
    let mut b = after_outage();
    let sent = (50..90).find_map(|id| {
        b.accept(id, 2, 7);
        b.wake = Some(b.now);
        let sends = b.sends(b.now + 5 * S);
        sends.first().map(|(_, id)| *id)
    });
    b.end_attempt(sent.expect("a trial call"), 0, 1, Outcome::Served, 10 * MS);
    let states = b.control.take_learned(b.now, true);
    assert_eq!(states.len(), 1, "a recovery is urgent");
    let burst = |age: Nanos| {
        let mut again = Harness { control: Control::new(settings(), 2), now: 7_000 * S, wake: None };
        again.report(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
        assert!(again.control.restore_learned(again.now, 7, None, age, &states[0].bytes));
        sends_of_a_burst(again, 2 * S, Outcome::Served)
    };
    let (soon, later) = (burst(S), burst(60 * S));
    assert!(soon * 4 < later, "{soon} while cold, {later} when warm");
}

#[test]
fn urgent_state_is_returned_first_and_each_state_once() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0), entry(2, 8, 0)]);
    b.accept(1, 0, 7);
    b.accept(2, 0, 8);
    b.decide();
    b.now = S;
    b.end_attempt(1, 0, 1, Outcome::Served, 50 * MS);
    b.end_attempt(2, 0, 2, Outcome::Full(Some(S)), 50 * MS);
    assert_eq!(b.control.take_learned(b.now, true).iter().map(|l| l.dest).collect::<Vec<_>>(), [8]);
    assert_eq!(b.control.take_learned(b.now, false).iter().map(|l| l.dest).collect::<Vec<_>>(), [7]);
    assert!(b.control.take_learned(b.now, false).is_empty());
}

#[test]
fn newer_state_takes_precedence_over_restored_state() {
    let state = after_refusal(10 * S).control.take_learned(100 * S, false).remove(0);
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.now = S;
    b.accept(1, 0, 7);
    b.decide();
    b.end_attempt(1, 0, 1, Outcome::Served, 50 * MS);
    assert!(!b.control.restore_learned(b.now, 7, None, 0, &state.bytes));
    b.accept(2, 0, 7);
    assert_eq!(sent_ids(&b.decide()), [2]);
}

#[test]
fn restored_state_is_applied_once() {
    let mut old = after_outage();
    let first = old.control.take_learned(old.now, false).remove(0);
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 9_000 * S;
    assert!(b.control.restore_learned(b.now, 7, None, 0, &first.bytes));
    b.accept(9, 2, 7);
    assert_eq!(sent_ids(&b.decide()).len(), 0, "the first call after an outage waits for its budget");
    assert!(!b.control.restore_learned(b.now, 7, None, 0, &first.bytes), "newer state exists");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn malformed_state_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        well_formed in any::<bool>(),
        age in any::<u64>(),
    ) {
        let mut state = after_outage().control.take_learned(110 * S, false).remove(0).bytes;
        if well_formed {
            for (to, from) in state.iter_mut().skip(1).zip(&bytes) {
                *to ^= from;
            }
        } else {
            state = bytes;
        }
        let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
        b.now = 200 * S;
        b.control.restore_learned(b.now, 7, None, age, &state);
        b.accept(1, 0, 7);
        b.decide();
        b.sends(230 * S);
    }
}
