//! What was learnt of destinations, carried over a restart as bytes that the caller does not read.

mod common;

use common::*;
use millpost::api::*;
use millpost::{Control, LearnedState};
use proptest::prelude::*;

/// A new process: what the old one had learnt, taken up `age` later by a clock of any origin.
fn restart(old: &mut Bench, age: Nanos, origin: Nanos) -> Bench {
    let lessons = old.control.take_learned(old.now, false);
    let mut b = Bench { control: Control::new(settings(), 2), now: origin, wake: None };
    b.tell(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
    for LearnedState { dest, route, bytes } in lessons {
        assert!(b.control.restore_learned(b.now, dest, route, age, &bytes));
    }
    b
}

fn refused(wait: Nanos) -> Bench {
    let mut b = Bench::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 100 * S;
    b.take(1, 0, 7);
    b.decide();
    b.over(1, 0, 1, Outcome::Full(Some(wait)), 5 * MS);
    b.tell(Event::Withdrawn { id: 1 });
    b
}

/// Calls of a destination that fail for long enough to be an outage.
fn out() -> Bench {
    let mut b = Bench::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 100 * S;
    let mut failed = 0;
    for id in 0..40 {
        b.take(id, 2, 7);
        b.wake = Some(b.now);
        let until = b.now + 300 * MS;
        for (_, id) in b.sends(until) {
            b.over(id, 0, 1, Outcome::Error, 20 * MS);
            failed += 1;
        }
    }
    assert!(failed > 3, "{failed} calls failed");
    b.decide();
    b
}

fn sends_of_a_burst(mut b: Bench, span: Nanos, outcome: Outcome) -> usize {
    for id in 100..180 {
        b.take(id, 0, 7);
    }
    let (mut count, until) = (0, b.now + span);
    b.wake = Some(b.now);
    while b.now < until {
        let (at, attempts) = (b.now + 20 * MS, 0);
        for (_, action) in b.run(at) {
            if let Action::Send { id, .. } = action {
                count += 1;
                b.over(id, attempts, 1, outcome, 10 * MS);
                b.wake = Some(b.now);
            }
        }
    }
    count
}

#[test]
fn a_wait_is_heeded_after_a_restart_to_its_end() {
    for origin in [S, 1_000_000 * S] {
        let mut b = restart(&mut refused(3 * S), S, origin);
        b.take(2, 2, 7);
        assert!(b.decide().is_empty());
        let sends = b.sends(origin + 20 * S);
        assert!(sends[0].0 >= origin + 2 * S, "{sends:?}");
        // Neither later than without a restart.
        let mut same = refused(3 * S);
        same.now += S;
        same.take(2, 2, 7);
        same.decide();
        let expected = same.sends(121 * S)[0].0 - 101 * S;
        assert_eq!(sends[0].0 - origin, expected);
    }
}

#[test]
fn a_wait_that_is_over_holds_nothing_back() {
    let mut b = restart(&mut refused(S), 60 * S, 500 * S);
    b.take(2, 2, 7);
    assert_eq!(sent(&b.decide()), [2]);
}

#[test]
fn a_destination_that_was_out_is_called_with_care_after_a_restart() {
    let fresh = Bench::new(settings(), vec![entry(1, 7, 0)]);
    let without = sends_of_a_burst(fresh, 2 * S, Outcome::Served);
    for age in [S, 3_600 * S] {
        let with = sends_of_a_burst(restart(&mut out(), age, 7_000 * S), 2 * S, Outcome::Served);
        assert!(with * 4 < without && with > 0, "{with} of {without}");
    }
}

#[test]
fn a_destination_that_came_back_cold_stays_cold_after_a_restart() {
    let mut b = out();
    let sent = (50..90).find_map(|id| {
        b.take(id, 2, 7);
        b.wake = Some(b.now);
        let sends = b.sends(b.now + 5 * S);
        sends.first().map(|(_, id)| *id)
    });
    b.over(sent.expect("a careful call"), 0, 1, Outcome::Served, 10 * MS);
    let lessons = b.control.take_learned(b.now, true);
    assert_eq!(lessons.len(), 1, "a return is told at once");
    let burst = |age: Nanos| {
        let mut again = Bench { control: Control::new(settings(), 2), now: 7_000 * S, wake: None };
        again.tell(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
        assert!(again.control.restore_learned(again.now, 7, None, age, &lessons[0].bytes));
        sends_of_a_burst(again, 2 * S, Outcome::Served)
    };
    let (soon, later) = (burst(S), burst(60 * S));
    assert!(soon * 4 < later, "{soon} while cold, {later} when warm");
}

#[test]
fn graver_news_is_told_at_once_and_each_once() {
    let mut b = Bench::new(settings(), vec![entry(1, 7, 0), entry(2, 8, 0)]);
    b.take(1, 0, 7);
    b.take(2, 0, 8);
    b.decide();
    b.now = S;
    b.over(1, 0, 1, Outcome::Served, 50 * MS);
    b.over(2, 0, 2, Outcome::Full(Some(S)), 50 * MS);
    assert_eq!(b.control.take_learned(b.now, true).iter().map(|l| l.dest).collect::<Vec<_>>(), [8]);
    assert_eq!(b.control.take_learned(b.now, false).iter().map(|l| l.dest).collect::<Vec<_>>(), [7]);
    assert!(b.control.take_learned(b.now, false).is_empty());
}

#[test]
fn what_is_known_by_now_goes_before_what_was_learnt() {
    let lesson = refused(10 * S).control.take_learned(100 * S, false).remove(0);
    let mut b = Bench::new(settings(), vec![entry(1, 7, 0)]);
    b.now = S;
    b.take(1, 0, 7);
    b.decide();
    b.over(1, 0, 1, Outcome::Served, 50 * MS);
    assert!(!b.control.restore_learned(b.now, 7, None, 0, &lesson.bytes));
    b.take(2, 0, 7);
    assert_eq!(sent(&b.decide()), [2]);
}

#[test]
fn a_lesson_survives_being_taken_up_and_told_again() {
    let mut old = out();
    let first = old.control.take_learned(old.now, false).remove(0);
    let mut b = Bench::new(settings(), vec![entry(1, 7, 0)]);
    b.now = 9_000 * S;
    assert!(b.control.restore_learned(b.now, 7, None, 0, &first.bytes));
    b.take(9, 2, 7);
    assert_eq!(sent(&b.decide()).len(), 0, "the first call after an outage waits for its budget");
    assert!(!b.control.restore_learned(b.now, 7, None, 0, &first.bytes), "it is known by now");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_break_the_module(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        good in any::<bool>(),
        age in any::<u64>(),
    ) {
        let mut whole = out().control.take_learned(110 * S, false).remove(0).bytes;
        if good {
            for (to, from) in whole.iter_mut().skip(1).zip(&bytes) {
                *to ^= from;
            }
        } else {
            whole = bytes;
        }
        let mut b = Bench::new(settings(), vec![entry(1, 7, 0)]);
        b.now = 200 * S;
        b.control.restore_learned(b.now, 7, None, age, &whole);
        b.take(1, 0, 7);
        b.decide();
        b.sends(230 * S);
    }
}
