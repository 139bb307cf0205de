//! One small test for each failure met at full size, where many dispatchers each see little of a destination.

mod common;

use common::*;
use millpost::Control;
use millpost::api::*;

fn many(dispatchers: usize) -> Settings {
    Settings { dispatchers, slots: 50, ..settings() }
}

#[test]
fn a_long_told_wait_is_an_outage_that_ends_when_it_said() {
    let (mut at_once, mut later) = (0, 0);
    for seed in 0..40 {
        let mut b = Bench::new(many(40), vec![entry(1, 7, 0)]);
        b.control = Control::new(many(40), seed);
        b.tell(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
        b.take(1, 0, 7);
        b.decide();
        b.now = 5 * MS;
        b.over(1, 0, 1, Outcome::Full(Some(5 * S)), 5 * MS);
        b.decide();
        at_once += b.sends(5 * S + 200 * MS).len();
        later += b.sends(18 * S).len();
    }
    assert!(at_once < 10, "{at_once} of 40 went when the wait was over");
    assert!(later > 20, "{later} of 40 went one after the other in the cold time");
}

#[test]
fn a_busy_dispatchers_part_of_the_cold_budget_goes_by_its_own_messages() {
    let mut b = Bench::new(many(1000), vec![entry(1, 7, 0)]);
    let (mut out, mut back) = (Vec::<(MsgId, u32)>::new(), 0);
    let mut attempts = std::collections::BTreeMap::new();
    for step in 0..(30 * S / (5 * MS)) {
        b.now = step * 5 * MS;
        if b.now.is_multiple_of(50 * MS) {
            b.take(step, 0, 7);
        }
        let up = b.now < 15 * S || b.now >= 21 * S;
        for (id, attempt) in std::mem::take(&mut out) {
            b.over(id, attempt, 1, if up { Outcome::Served } else { Outcome::ConnectFailed }, 5 * MS);
        }
        b.tell(Event::Wake);
        for id in sent(&b.decide()) {
            let attempt: &mut u32 = attempts.entry(id).or_default();
            out.push((id, *attempt));
            *attempt += 1;
            back += usize::from(b.now >= 21 * S && b.now < 23 * S);
        }
    }
    assert!((5..100).contains(&back), "{back} calls in the first two seconds of the return");
}

#[test]
fn with_slots_short_a_slow_destination_takes_no_even_share_of_the_calls() {
    let mut b = Bench::new(Settings { slots: 1, ..settings() }, vec![entry(1, 7, 0), entry(2, 8, 0)]);
    for id in 0..80 {
        b.take(id, 0, if id % 2 == 0 { 7 } else { 8 });
    }
    let (mut slow, mut fast) = (0, 0);
    while b.now < 15 * S {
        let Some(Action::Send { id, endpoint, .. }) = b.decide().into_iter().next() else { break };
        let took = if endpoint == 1 { S } else { 100 * MS };
        (slow, fast) = if endpoint == 1 { (slow + 1, fast) } else { (slow, fast + 1) };
        b.now += took;
        b.over(id, 0, endpoint, Outcome::Served, took);
    }
    assert!(fast > 2 * slow && slow > 0, "fast {fast}, slow {slow}");
}

/// How many of ten messages go at once after so many calls without an answer and then one with.
fn at_once_after(lost: u64) -> usize {
    let mut b = Bench::new(many(2), vec![entry(1, 7, 0)]);
    for id in 0..=lost {
        b.take(id, 2, 7);
        let mut gone = sent(&b.decide()) == [id];
        while !gone && b.now < 100 * S {
            gone = b.sends(b.now + 5 * MS).iter().any(|(_, sent)| *sent == id);
        }
        b.now += 3 * S;
        b.over(id, 0, 1, if id < lost { Outcome::Reset } else { Outcome::Served }, 3 * S);
        b.decide();
    }
    for id in 100..110 {
        b.take(id, 0, 7);
    }
    sent(&b.decide()).len()
}

#[test]
fn two_lost_answers_are_no_outage_but_many_are() {
    assert_eq!(at_once_after(2), 10);
    assert!(at_once_after(5) < 3);
}

#[test]
fn a_retry_not_yet_due_rides_along_while_it_has_tries_to_spare() {
    let mut b = Bench::new(settings(), vec![entry(1, 7, 1)]);
    b.take(1, 0, 7);
    assert_eq!(sent(&b.decide()), [1]);
    b.now = 100 * MS;
    b.over(1, 0, 1, Outcome::Full(None), 5 * MS);
    assert!(sent(&b.decide()).is_empty());
    b.take(2, 0, 7);
    assert_eq!(sent(&b.decide()), [2, 1]);
    for attempt in 1..3 {
        b.over(1, attempt, 1, Outcome::Full(None), 5 * MS);
        b.over(u64::from(attempt) + 1, 0, 1, Outcome::Served, 5 * MS);
        b.take(u64::from(attempt) + 2, 0, 7);
        assert_eq!(sent(&b.decide()).contains(&1), attempt < 2, "attempt {attempt}");
    }
}

#[test]
fn an_eased_pace_starts_from_the_own_rate_of_calls() {
    let mut b = Bench::new(many(100), vec![entry(1, 7, 0)]);
    for id in 0..8 {
        b.take(id, 2, 7);
        if sent(&b.decide()) == [id] {
            b.now += 5 * MS;
            b.refused(id, 0, 0.0, 500.0);
        }
        b.now += 300 * MS;
        b.take(id + 100, 2, 7);
        b.decide();
        b.over(id + 100, 0, 1, Outcome::Served, 5 * MS);
        b.tell(Event::Withdrawn { id });
    }
    for id in 10..60 {
        b.take(id, 2, 7);
    }
    let sends = sent(&b.decide()).len() + b.sends(b.now + S).len();
    assert!(sends < 10, "{sends} of 50 under a limit of 500 shared by 100");
}

/// How many of five messages go at once after two refusals under this report.
fn at_once_after_refusals(share_left: f64) -> usize {
    let mut b = Bench::new(many(2), vec![entry(1, 7, 0)]);
    b.take(1, 0, 7);
    for attempt in 0..2 {
        let mut gone = !sent(&b.decide()).is_empty();
        while !gone && b.now < 100 * S {
            gone = !b.sends(b.now + 5 * MS).is_empty();
        }
        b.now += 5 * MS;
        b.refused(1, attempt, share_left, 5000.0);
        b.decide();
        b.now += 500 * MS;
    }
    for id in 10..15 {
        b.take(id, 2, 7);
    }
    sent(&b.decide()).iter().filter(|id| **id >= 10).count()
}

#[test]
fn refusals_with_the_allowance_untouched_show_a_shut_destination() {
    assert_eq!(at_once_after_refusals(1.0), 0);
    assert!(at_once_after_refusals(0.1) > 0);
}
