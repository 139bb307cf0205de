//! One test for each failure found at full scale, where each of many dispatchers sees little of a
//! destination.

mod common;

use common::*;
use millpost::Control;
use millpost::api::*;

fn many_dispatchers(dispatchers: usize) -> Settings {
    Settings { dispatchers, slots: 50, ..settings() }
}

#[test]
fn a_long_requested_wait_is_an_outage_that_ends_with_the_wait() {
    let (mut at_once, mut later) = (0, 0);
    for seed in 0..40 {
        let mut b = Harness::new(many_dispatchers(40), vec![entry(1, 7, 0)]);
        b.control = Control::new(many_dispatchers(40), seed);
        b.report(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
        b.accept(1, 0, 7);
        b.decide();
        b.now = 5 * MS;
        b.end_attempt(1, 0, 1, Outcome::Full(Some(5 * S)), 5 * MS);
        b.decide();
        at_once += b.sends(5 * S + 200 * MS).len();
        later += b.sends(18 * S).len();
    }
    assert!(at_once < 10, "{at_once} of 40 dispatchers sent right after the wait");
    assert!(later > 20, "{later} of 40 dispatchers sent later while the destination was cold");
}

#[test]
fn the_cold_budget_of_a_busy_dispatcher_depends_on_its_own_messages() {
    let mut b = Harness::new(many_dispatchers(1000), vec![entry(1, 7, 0)]);
    let (mut out, mut after_recovery) = (Vec::<(MsgId, u32)>::new(), 0);
    let mut attempts = std::collections::BTreeMap::new();
    for step in 0..(30 * S / (5 * MS)) {
        b.now = step * 5 * MS;
        if b.now.is_multiple_of(50 * MS) {
            b.accept(step, 0, 7);
        }
        let up = b.now < 15 * S || b.now >= 21 * S;
        for (id, attempt) in std::mem::take(&mut out) {
            b.end_attempt(id, attempt, 1, if up { Outcome::Served } else { Outcome::ConnectFailed }, 5 * MS);
        }
        b.report(Event::Wake);
        for id in sent_ids(&b.decide()) {
            let attempt: &mut u32 = attempts.entry(id).or_default();
            out.push((id, *attempt));
            *attempt += 1;
            after_recovery += usize::from(b.now >= 21 * S && b.now < 23 * S);
        }
    }
    assert!(
        (5..100).contains(&after_recovery),
        "{after_recovery} calls in the first two seconds after the recovery"
    );
}

#[test]
fn with_few_slots_a_slow_destination_gets_fewer_calls() {
    let mut b = Harness::new(Settings { slots: 1, ..settings() }, vec![entry(1, 7, 0), entry(2, 8, 0)]);
    for id in 0..80 {
        b.accept(id, 0, if id % 2 == 0 { 7 } else { 8 });
    }
    let (mut slow, mut fast) = (0, 0);
    while b.now < 15 * S {
        let Some(Action::Send { id, endpoint, .. }) = b.decide().into_iter().next() else { break };
        let took = if endpoint == 1 { S } else { 100 * MS };
        (slow, fast) = if endpoint == 1 { (slow + 1, fast) } else { (slow, fast + 1) };
        b.now += took;
        b.end_attempt(id, 0, endpoint, Outcome::Served, took);
    }
    assert!(fast > 2 * slow && slow > 0, "fast {fast}, slow {slow}");
}

/// How many of ten messages are sent at once after `lost` unanswered calls and an answered one.
fn at_once_after(lost: u64) -> usize {
    let mut b = Harness::new(many_dispatchers(2), vec![entry(1, 7, 0)]);
    for id in 0..=lost {
        b.accept(id, 2, 7);
        let mut done = sent_ids(&b.decide()) == [id];
        while !done && b.now < 100 * S {
            done = b.sends(b.now + 5 * MS).iter().any(|(_, sent)| *sent == id);
        }
        b.now += 3 * S;
        b.end_attempt(id, 0, 1, if id < lost { Outcome::Reset } else { Outcome::Served }, 3 * S);
        b.decide();
    }
    for id in 100..110 {
        b.accept(id, 0, 7);
    }
    sent_ids(&b.decide()).len()
}

#[test]
fn two_lost_answers_are_not_an_outage_but_many_are() {
    assert_eq!(at_once_after(2), 10);
    assert!(at_once_after(5) < 3);
}

#[test]
fn a_retry_that_is_not_due_joins_a_call_while_it_has_attempts_to_spare() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 1)]);
    b.accept(1, 0, 7);
    assert_eq!(sent_ids(&b.decide()), [1]);
    b.now = 100 * MS;
    b.end_attempt(1, 0, 1, Outcome::Full(None), 5 * MS);
    assert!(sent_ids(&b.decide()).is_empty());
    b.accept(2, 0, 7);
    assert_eq!(sent_ids(&b.decide()), [2, 1]);
    for attempt in 1..3 {
        b.end_attempt(1, attempt, 1, Outcome::Full(None), 5 * MS);
        b.end_attempt(u64::from(attempt) + 1, 0, 1, Outcome::Served, 5 * MS);
        b.accept(u64::from(attempt) + 2, 0, 7);
        assert_eq!(sent_ids(&b.decide()).contains(&1), attempt < 2, "attempt {attempt}");
    }
}

#[test]
fn a_reduced_pace_starts_from_the_own_send_rate() {
    let mut b = Harness::new(many_dispatchers(100), vec![entry(1, 7, 0)]);
    for id in 0..8 {
        b.accept(id, 2, 7);
        if sent_ids(&b.decide()) == [id] {
            b.now += 5 * MS;
            b.refuse(id, 0, 0.0, 500.0);
        }
        b.now += 300 * MS;
        b.accept(id + 100, 2, 7);
        b.decide();
        b.end_attempt(id + 100, 0, 1, Outcome::Served, 5 * MS);
        b.report(Event::Withdrawn { id });
    }
    for id in 10..60 {
        b.accept(id, 2, 7);
    }
    let sends = sent_ids(&b.decide()).len() + b.sends(b.now + S).len();
    assert!(sends < 10, "{sends} of 50 sent under a limit of 500 shared by 100 dispatchers");
}

/// How many of five messages are sent at once after two refusals with this report.
fn at_once_after_refusals(share_left: f64) -> usize {
    let mut b = Harness::new(many_dispatchers(2), vec![entry(1, 7, 0)]);
    b.accept(1, 0, 7);
    for attempt in 0..2 {
        let mut done = !sent_ids(&b.decide()).is_empty();
        while !done && b.now < 100 * S {
            done = !b.sends(b.now + 5 * MS).is_empty();
        }
        b.now += 5 * MS;
        b.refuse(1, attempt, share_left, 5000.0);
        b.decide();
        b.now += 500 * MS;
    }
    for id in 10..15 {
        b.accept(id, 2, 7);
    }
    sent_ids(&b.decide()).iter().filter(|id| **id >= 10).count()
}

#[test]
fn refusals_despite_unused_allowance_count_as_an_outage() {
    assert_eq!(at_once_after_refusals(1.0), 0);
    assert!(at_once_after_refusals(0.1) > 0);
}
