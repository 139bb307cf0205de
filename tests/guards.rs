//! One test for each guard of the decision code and for each failure that was found.

mod common;
use common::*;
use millpost::api::*;

#[test]
fn first_retry_is_sent_at_t1_and_no_sooner() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept(1, 0, 7);
    assert_eq!(sent_ids(&b.decide()), [1]);
    b.now = 50 * MS;
    b.end_attempt(1, 0, 1, Outcome::Error, 50 * MS);
    assert!(b.decide().is_empty());
    assert_eq!(b.sends(600 * MS), [(500 * MS, 1)]);
    b.end_attempt(1, 1, 1, Outcome::Error, 100 * MS);
    b.accept(2, 0, 7);
    assert_eq!(sent_ids(&b.decide()), [2]);
    b.now += 50 * MS;
    b.end_attempt(2, 0, 1, Outcome::Served, 50 * MS);
    b.decide();
    assert_eq!(b.sends(2 * S), [(1500 * MS, 1)], "the second retry waits for its backoff time");
}

#[test]
fn the_average_delay_decays_without_samples() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept(1, 0, 7);
    b.decide();
    b.now = 20 * MS;
    b.end_attempt(1, 0, 1, Outcome::Full(None), 20 * MS);
    b.decide();
    // The refusal counts as a full time-out: unless the average decays, p stays below 1.
    assert_eq!(b.sends(S).len(), 1);
}

#[test]
fn an_unsafe_message_that_may_have_run_fails_and_is_never_resent() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
        b.accept(1, 2, 7);
        b.decide();
        b.now = 50 * MS;
        b.end_attempt(1, 0, 1, outcome, 50 * MS);
        assert_eq!(b.decide(), [Action::Fail { id: 1 }]);
        assert!(b.sends(30 * S).is_empty());
    }
}

#[test]
fn an_unsafe_message_that_never_ran_is_resent() {
    for outcome in [Outcome::Full(None), Outcome::ConnectFailed, Outcome::NotSent] {
        let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
        b.accept(1, 2, 7);
        b.decide();
        b.end_attempt(1, 0, 1, outcome, 0);
        assert!(b.decide().is_empty());
        assert_eq!(b.sends(3 * S)[0].1, 1);
    }
}

#[test]
fn a_keyed_message_is_not_resent_after_its_window() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept(1, 1, 7);
    b.decide();
    b.now = 5 * S;
    b.end_attempt(1, 0, 1, Outcome::TimedOut, 5 * S);
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 1, wait }] if wait > 0));
}

#[test]
fn a_message_keyed_by_zone_stays_in_its_zone_and_is_not_refused_once_it_may_have_run() {
    let mut set = settings();
    set.classes[1].effect = Effect::Keyed { window: 5 * S, zone_only: true };
    let mut other_zone = entry(2, 7, 0);
    other_zone.zone = 1;
    let mut b = Harness::new(set, vec![entry(1, 7, 0), other_zone]);
    b.accept(1, 1, 7);
    let first = b.decide();
    let Action::Send { endpoint, .. } = first[0] else { panic!("{first:?}") };
    b.now = 100 * MS;
    b.end_attempt(1, 0, endpoint, Outcome::Error, 100 * MS);
    b.decide();
    let all = b.run(25 * S);
    assert!(all.iter().any(|(_, a)| matches!(a, Action::Send { .. })));
    for (_, action) in &all {
        assert!(!matches!(action, Action::Refuse { .. }));
        if let Action::Send { endpoint: other, .. } = action {
            assert_eq!(*other, endpoint);
        }
    }
}

#[test]
fn every_message_is_answered_before_its_deadline() {
    let mut b = Harness::new(settings(), vec![]);
    for class in 0..4 {
        b.accept_with_key(class as MsgId, class, 7, Some(9));
    }
    assert!(b.decide().is_empty());
    let all = b.run(25 * S);
    assert_eq!(all.len(), 4);
    assert!(all.iter().all(|(at, a)| *at <= 20 * S && matches!(a, Action::Refuse { .. })));
}

#[test]
fn a_message_in_flight_at_its_deadline_is_answered_once() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept(1, 2, 7);
    b.decide();
    let all = b.run(21 * S);
    assert_eq!(all, [(20 * S, Action::Fail { id: 1 })]);
    b.end_attempt(1, 0, 1, Outcome::TimedOut, 21 * S);
    assert!(b.decide().is_empty());
}

#[test]
fn a_message_past_its_deadline_is_refused() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.report(Event::Message { id: 1, class: 0, tenant: None, key: None, dest: 7, time_left: 0 });
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 1, wait }] if wait > 0));
}

#[test]
fn a_message_is_refused_once_its_attempts_are_used_up() {
    let mut set = settings();
    set.try_limit = 1;
    let mut b = Harness::new(set, vec![entry(1, 7, 0)]);
    b.accept(1, 0, 7);
    b.decide();
    b.end_attempt(1, 0, 1, Outcome::ConnectFailed, 0);
    assert!(matches!(b.decide()[..], [Action::Refuse { id: 1, wait }] if wait > 0));
}

#[test]
fn draining_and_removed_endpoints_are_sent_nothing() {
    for (whole, state) in [(false, Some(State::Draining)), (false, Some(State::Gone)), (true, None)] {
        let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
        let entries = state.map(|state| Entry { state, ..entry(1, 7, 0) }).into_iter().collect();
        b.report(Event::Listed { whole, entries });
        b.accept(1, 0, 7);
        assert!(b.decide().is_empty());
        b.report(Event::Listed { whole: true, entries: vec![entry(1, 7, 0)] });
        assert_eq!(sent_ids(&b.decide()), [1], "sent once listed as ready again");
    }
}

#[test]
fn a_requested_wait_holds_all_messages_of_the_destination() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0), entry(2, 7, 0), entry(3, 8, 0)]);
    b.accept(1, 0, 7);
    let first = b.decide();
    let Action::Send { endpoint, .. } = first[0] else { panic!("{first:?}") };
    b.end_attempt(1, 0, endpoint, Outcome::Full(Some(3 * S)), 0);
    b.accept(2, 0, 7);
    b.accept(3, 0, 8);
    assert_eq!(sent_ids(&b.decide()), [3]);
    let sends = b.sends(10 * S);
    assert!(sends.iter().all(|(at, id)| *id == 3 || *at >= 3 * S), "{sends:?}");
    assert!(sends.iter().any(|(_, id)| *id != 3));
}

#[test]
fn a_requested_wait_applies_to_one_route_where_routes_are_independent() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 2), entry(2, 7, 2)]);
    b.accept(1, 0, 7);
    let first = b.decide();
    let Action::Send { endpoint, .. } = first[0] else { panic!("{first:?}") };
    b.end_attempt(1, 0, endpoint, Outcome::Full(Some(3 * S)), 0);
    b.accept(2, 0, 7);
    let next = b.decide();
    assert!(matches!(next[0], Action::Send { id: 2, endpoint: other, .. } if other != endpoint));
}

#[test]
fn order_is_kept_and_the_key_rests_after_an_attempt_that_may_have_run() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept_with_key(1, 3, 7, Some(5));
    b.accept_with_key(2, 3, 7, Some(5));
    b.accept_with_key(3, 3, 7, Some(6));
    let mut first = sent_ids(&b.decide());
    first.sort();
    assert_eq!(first, [1, 3]);
    b.now = 5 * S;
    b.end_attempt(3, 0, 1, Outcome::Served, 5 * S);
    b.end_attempt(1, 0, 1, Outcome::TimedOut, 5 * S);
    let actions = b.decide();
    assert!(actions.iter().any(|a| matches!(a, Action::Refuse { id: 1, .. })));
    assert!(sent_ids(&actions).is_empty(), "the key rests");
    let sends = b.sends(6 * S);
    assert!(sends[0].0 >= 5 * S + 300 * MS && sends[0].1 == 2, "{sends:?}");
}

#[test]
fn a_withdrawn_message_with_an_attempt_in_flight_still_blocks_its_key() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept_with_key(1, 3, 7, Some(5));
    b.accept_with_key(2, 3, 7, Some(5));
    assert_eq!(sent_ids(&b.decide()), [1]);
    b.report(Event::Withdrawn { id: 1 });
    assert!(b.decide().is_empty());
    b.end_attempt(1, 0, 1, Outcome::Served, 100 * MS);
    assert_eq!(sent_ids(&b.decide()), [2]);
}

#[test]
fn slots_are_not_exceeded_and_are_shared_among_destinations() {
    let mut b = Harness::new(Settings { slots: 2, ..settings() }, vec![entry(1, 7, 0), entry(2, 8, 0)]);
    for id in 0..3 {
        b.accept(id, 0, 7);
    }
    b.accept(9, 0, 8);
    let first = sent_ids(&b.decide());
    assert_eq!(first.len(), 2);
    assert!(first.contains(&9), "the destination with fewer calls in flight is served");
}

#[test]
fn a_bundle_takes_one_slot_until_its_last_outcome() {
    let mut b = Harness::new(Settings { slots: 1, ..settings() }, vec![entry(1, 7, 1), entry(2, 8, 0)]);
    for id in 0..12 {
        b.accept(id, 0, 7);
    }
    let first = sent_ids(&b.decide());
    assert_eq!(first.len(), 10, "up to the bundle size of the kind");
    b.accept(20, 0, 8);
    for id in &first[1..] {
        b.end_attempt(*id, 0, 1, Outcome::Served, 0);
    }
    assert!(b.decide().is_empty(), "one message of the call has no outcome yet");
    b.end_attempt(first[0], 0, 1, Outcome::Served, 0);
    assert_eq!(b.decide().len(), 1);
}

#[test]
fn sends_after_an_outage_are_limited_and_ramp_up() {
    let mut b = Harness::new(Settings { slots: 50, ..settings() }, vec![entry(1, 7, 0)]);
    b.accept(1, 0, 7);
    b.decide();
    let report = Some(Report { share_left: 1.0, limit: 8.0 });
    b.report(Event::Outcome {
        id: 1,
        attempt: 0,
        endpoint: 1,
        outcome: Outcome::Served,
        took: 0,
        closed: true,
        report,
    });
    b.decide();
    let mut next = 100;
    // Ten seconds of refused connections, then answers again, with messages always waiting.
    let (mut out, mut sends) = (Vec::new(), Vec::new());
    let mut attempts = std::collections::BTreeMap::new();
    while b.now < 40 * S {
        b.now += 5 * MS;
        if b.now.is_multiple_of(250 * MS) {
            b.accept(next, 0, 7);
            next += 1;
        }
        for id in std::mem::take(&mut out) {
            let attempt: &mut u32 = attempts.entry(id).or_default();
            let outcome = if b.now < 12 * S { Outcome::ConnectFailed } else { Outcome::Served };
            b.end_attempt(id, *attempt, 1, outcome, 5 * MS);
            *attempt += 1;
        }
        b.report(Event::Wake);
        out = sent_ids(&b.decide());
        sends.extend(out.iter().map(|_| b.now));
    }
    // While it fails and just after the recovery: no more than this dispatcher's share of the budget.
    let budget = 1.5 * 0.25 * 8.0 / 2.0;
    let sent_between =
        |from: Nanos, to: Nanos| sends.iter().filter(|at| **at >= from && **at < to).count() as f64;
    for start in 4..14 {
        assert!(sent_between(start * S, (start + 2) * S) <= 2.0 * budget + 1.0, "from {start} s");
    }
    assert!(sent_between(12 * S, 14 * S) > 0.0);
    assert!(sent_between(20 * S, 22 * S) > sent_between(12 * S, 14 * S), "ramps up");
}

#[test]
fn a_silent_destination_does_not_fill_the_slots() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0), entry(2, 8, 0)]);
    b.accept(50, 0, 7);
    b.decide();
    b.now = 50 * MS;
    b.end_attempt(50, 0, 1, Outcome::Served, 50 * MS);
    // Then a call is sent every half second and none is answered: unchecked, they would take all eight slots.
    for id in 0..12 {
        b.accept(id, 0, 7);
        b.decide();
        b.run((id + 1) * 500 * MS);
    }
    b.accept(99, 0, 8);
    assert_eq!(sent_ids(&b.decide()), [99]);
}

#[test]
fn the_pace_under_a_reported_limit_delays_rather_than_drops() {
    let mut b = Harness::new(Settings { slots: 50, ..settings() }, vec![entry(1, 7, 0)]);
    b.now = 10 * S;
    b.accept(0, 0, 7);
    b.decide();
    let report = Some(Report { share_left: 1.0, limit: 4.0 });
    let (outcome, took) = (Outcome::Served, 10 * MS);
    b.report(Event::Outcome { id: 0, attempt: 0, endpoint: 1, outcome, took, closed: true, report });
    for id in 1..=20 {
        b.accept(id, 0, 7);
    }
    let mut count = sent_ids(&b.decide()).len();
    count += b.sends(11 * S).len();
    assert!((3..=6).contains(&count), "{count} in the first second");
}

#[test]
fn the_subscription_is_requested_and_retried_after_a_failure() {
    let mut b = Harness::new(Settings { subscribe: true, ..settings() }, vec![]);
    assert_eq!(b.decide(), [Action::Subscribe]);
    b.report(Event::ListFailed);
    b.decide();
    assert_eq!(b.run(5 * S), [(500 * MS, Action::Subscribe)]);
}

#[test]
fn events_of_unknown_messages_are_ignored() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.end_attempt(5, 0, 1, Outcome::Served, 0);
    b.end_attempt(5, 0, 44, Outcome::TimedOut, 0);
    b.report(Event::Withdrawn { id: 6 });
    b.report(Event::Started { id: 7, attempt: 0, took: 0 });
    b.report(Event::PeerMessage { from: 9, bytes: vec![255; 300] });
    b.report(Event::ProbeEnded { endpoint: 3, outcome: Outcome::Served, took: 0, report: None });
    assert!(b.decide().is_empty());
}

#[test]
fn extreme_settings_do_not_panic() {
    let mut set = settings();
    set.dispatchers = 0;
    set.slots = 1;
    set.hold = 1;
    set.try_limit = 1;
    set.kinds.clear();
    set.tenants = vec![Tenant { quota_per_s: 0.0 }];
    set.rules.cold = 0;
    set.rules.fall = 0;
    set.classes[1].effect = Effect::Keyed { window: 0, zone_only: false };
    set.classes[0].aim = 0;
    set.classes[0].deadline = 0;
    let mut bad = entry(1, 7, 0);
    bad.weight = 1e300;
    let mut b = Harness::new(set, vec![bad]);
    for class in 0..4 {
        b.report(Event::Message {
            id: class as u64,
            class,
            tenant: Some(0),
            key: Some(1),
            dest: 7,
            time_left: 9 * S,
        });
    }
    for _ in 0..20 {
        let sends = sent_ids(&b.decide());
        for id in sends {
            b.end_attempt(id, 0, 1, Outcome::Full(None), 0);
        }
        b.run(b.now + S);
    }
}

#[test]
fn a_refusal_under_a_reported_limit_does_not_starve_the_message() {
    let mut b = Harness::new(Settings { slots: 50, ..settings() }, vec![entry(1, 7, 0)]);
    b.now = 10 * S;
    let report = Some(Report { share_left: 0.0, limit: 80.0 });
    for id in 0..17 {
        b.accept(id, 0, 7);
    }
    let first = sent_ids(&b.decide());
    assert_eq!(first.len(), 17);
    b.now += 20 * MS;
    let (endpoint, took, attempt) = (1, 20 * MS, 0);
    let served =
        Event::Outcome { id: 16, attempt, endpoint, outcome: Outcome::Served, took, closed: true, report };
    b.report(served);
    for id in 0..16 {
        let outcome = Outcome::Full(None);
        b.report(Event::Outcome { id, attempt, endpoint, outcome, took, closed: false, report });
    }
    b.decide();
    // If each refusal counted as a full time-out, the average would be so high that most draws at T1 failed.
    let mut retried = std::collections::BTreeSet::new();
    while b.now < 11 * S {
        for (_, id) in b.sends(b.now + 5 * MS) {
            retried.insert(id);
            b.end_attempt(id, 1, 1, Outcome::Served, 20 * MS);
            b.decide();
        }
    }
    assert_eq!(retried.len(), 16);
}

#[test]
fn a_retry_waits_for_the_next_backoff_time_while_the_average_is_high() {
    let mut b = Harness::new(Settings { slots: 50, ..settings() }, vec![entry(1, 7, 0)]);
    for id in 0..10 {
        b.accept(id, 0, 7);
    }
    assert_eq!(sent_ids(&b.decide()).len(), 10);
    b.now = 1400 * MS;
    for id in 0..9 {
        b.end_attempt(id, 0, 1, Outcome::Error, 1400 * MS);
    }
    b.end_attempt(9, 0, 1, Outcome::Served, 1400 * MS);
    b.decide();
    // The average is above T1 at 1.5 s, so p is 0 there; the next backoff time is 3.5 s.
    let sends = b.sends(6 * S);
    assert!(!sends.is_empty() && sends.iter().all(|(at, _)| *at >= 3500 * MS), "{sends:?}");
}

#[test]
fn a_busy_destination_starts_an_outage_without_a_budget_deficit() {
    let mut b = Harness::new(Settings { slots: 50, ..settings() }, vec![entry(1, 7, 0)]);
    let (mut out, mut trials) = (Vec::new(), 0);
    let mut attempts = std::collections::BTreeMap::new();
    for id in 0..400 {
        b.now += 50 * MS;
        for id in std::mem::take(&mut out) {
            let attempt: &mut u32 = attempts.entry(id).or_default();
            let outcome = if b.now < 10 * S { Outcome::Served } else { Outcome::ConnectFailed };
            b.end_attempt(id, *attempt, 1, outcome, 50 * MS);
            *attempt += 1;
        }
        b.accept(id, 0, 7);
        out = sent_ids(&b.decide());
        trials += if b.now > 14 * S { out.len() } else { 0 };
    }
    assert!(trials >= 2, "{trials} trial calls in six seconds");
}

#[test]
fn an_unsafe_call_does_not_hold_its_slot_until_the_deadline() {
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0)]);
    b.accept(1, 0, 7);
    b.decide();
    b.now = 50 * MS;
    b.end_attempt(1, 0, 1, Outcome::Served, 50 * MS);
    b.accept(2, 2, 7);
    let actions = b.decide();
    assert!(matches!(actions[0], Action::Send { id: 2, timeout, .. } if timeout == 2 * S), "{actions:?}");
}

#[test]
fn the_pace_rises_above_a_reported_limit_that_is_too_low() {
    let mut b = Harness::new(Settings { slots: 50, hold: 2000, ..settings() }, vec![entry(1, 7, 0)]);
    let report = Some(Report { share_left: 1.0, limit: 1.0 });
    let (mut out, mut late) = (Vec::new(), 0);
    for id in 0..1200 {
        b.now += 50 * MS;
        for id in std::mem::take(&mut out) {
            let (outcome, took) = (Outcome::Served, 50 * MS);
            b.report(Event::Outcome { id, attempt: 0, endpoint: 1, outcome, took, closed: true, report });
        }
        b.accept(id, 0, 7);
        out = sent_ids(&b.decide());
        late += if b.now > 50 * S { out.len() } else { 0 };
    }
    assert!(late > 20, "{late} in the last ten seconds, of 200 submitted");
}

#[test]
fn there_is_no_pace_without_a_reported_limit() {
    let mut b = Harness::new(Settings { slots: 50, ..settings() }, vec![entry(1, 7, 0)]);
    b.now = 10 * S;
    b.accept(0, 0, 7);
    b.accept(1, 0, 7);
    b.decide();
    b.now += 50 * MS;
    b.end_attempt(0, 0, 1, Outcome::Full(None), 50 * MS);
    b.end_attempt(1, 0, 1, Outcome::Served, 50 * MS);
    b.decide();
    for id in 10..30 {
        b.accept(id, 0, 7);
    }
    // A pace derived from the one success so far would allow a single send, and never recover.
    assert_eq!(sent_ids(&b.decide()).len(), 20);
}

#[test]
fn destinations_and_routes_without_endpoints_are_eventually_dropped() {
    // The endpoints of destination 9 are independent routes, those of destination 7 are not.
    let mut b = Harness::new(settings(), vec![entry(1, 7, 0), entry(2, 9, 2)]);
    b.accept(1, 0, 9);
    b.decide();
    b.end_attempt(1, 0, 2, Outcome::Full(Some(60 * S)), 0);
    let list_only = |b: &mut Harness, n: u64| {
        b.report(Event::Listed { whole: true, entries: vec![entry(n, 8, 0)] });
        [7, 9].map(|dest| b.control.knows_destination(dest))
    };
    assert_eq!(list_only(&mut b, 10), [true, true], "an endpoint may be listed again at once");
    b.now = 31 * S;
    assert_eq!(list_only(&mut b, 11), [true, true], "messages for it may still be open");
    b.now = 33 * S;
    assert_eq!(list_only(&mut b, 12), [false, true], "the wait is not over");
    b.now = 93 * S;
    assert_eq!(list_only(&mut b, 13), [false, false]);
    assert!(b.control.knows_destination(8));
}

/// Number of messages of a backlog that are sent within two seconds after refusals have reduced the pace.
fn sends_with_share_left(share_left: f64) -> usize {
    let mut b = Harness::new(Settings { slots: 50, hold: 1_000, ..settings() }, vec![entry(1, 7, 0)]);
    // Refusals between successes: an excess over the limit, not an outage.
    for id in 0..8 {
        b.accept(id, 2, 7);
        b.decide();
        b.now += 300 * MS;
        if id % 2 == 0 {
            let (endpoint, outcome, took, closed) = (1, Outcome::Served, 50 * MS, true);
            let report = Some(Report { share_left: 0.0, limit: 20.0 });
            b.report(Event::Outcome { id, attempt: 0, endpoint, outcome, took, closed, report });
        } else {
            b.refuse(id, 0, 0.0, 20.0);
        }
        b.decide();
    }
    for id in 100..500 {
        b.accept(id, 0, 7);
    }
    let (end, mut out, mut count) = (b.now + 2 * S, Vec::<(Nanos, MsgId)>::new(), 0);
    let report = Some(Report { share_left, limit: 20.0 });
    while b.now < end {
        b.now += 5 * MS;
        let now = b.now;
        for (_, id) in out.extract_if(.., |(at, _)| *at + 50 * MS <= now) {
            let (endpoint, outcome, took, closed) = (1, Outcome::Served, 50 * MS, true);
            b.report(Event::Outcome { id, attempt: 0, endpoint, outcome, took, closed, report });
        }
        b.report(Event::Wake);
        let fresh = sent_ids(&b.decide()).into_iter().filter(|id| *id >= 100);
        let before = out.len();
        out.extend(fresh.map(|id| (now, id)));
        count += out.len() - before;
    }
    count
}

#[test]
fn the_pace_recovers_with_the_remaining_allowance() {
    let (full, none) = (sends_with_share_left(1.0), sends_with_share_left(0.0));
    assert!(full > 3 * none, "{full} with all of the allowance left, {none} with none");
}

#[test]
fn a_wait_requested_with_a_delivery_applies_to_every_message_and_is_urgent() {
    let mut harness = Harness::new(settings(), vec![entry(1, 1, 1), entry(2, 1, 1)]);
    harness.accept(1, 0, 1);
    assert_eq!(sent_ids(&harness.decide()), [1]);
    harness.now += 50 * MS;
    harness.report(Event::WaitRequested { endpoint: 1, wait: 3 * S });
    harness.end_attempt(1, 0, 1, Outcome::Served, 50 * MS);
    assert!(harness.control.has_urgent_state(), "kept over a restart");
    harness.accept(2, 0, 1);
    assert_eq!(sent_ids(&harness.decide()), []);
    assert!(!harness.control.may_still_send(harness.now, 2));
    let until = harness.now + 3 * S;
    let sends = harness.sends(20 * S);
    assert!(matches!(sends[..], [(at, 2), ..] if at >= until), "{sends:?} before {until}");
}

/// Its outage was not observed: the endpoint was taken out of service by an operator, restarted and put back.
#[test]
fn a_destination_whose_only_endpoint_returns_to_service_is_cold() {
    // 40 calls a second for two dispatchers.
    let sent_in_a_second = |returned: bool, others: bool| {
        let list = |state| {
            let second = others.then(|| Entry { weight: 40.0, ..entry(2, 7, 0) });
            [Entry { weight: 40.0, state, ..entry(1, 7, 0) }].into_iter().chain(second).collect()
        };
        let settings = Settings { weights: Weights::Nominal, hold: 1_000, ..settings() };
        let mut b = Harness::new(settings, list(State::Draining));
        b.now = S;
        b.report(Event::Listed { whole: true, entries: list(State::Ready) });
        if returned {
            b.report(Event::EndpointReturned { endpoint: 1 });
        }
        let mut all = 0;
        for n in 1..=100 {
            b.now += 10 * MS;
            b.accept(n, 0, 7);
            for action in b.decide() {
                if let Action::Send { id, endpoint, .. } = action {
                    all += 1;
                    b.end_attempt(id, 0, endpoint, Outcome::Served, 5 * MS);
                }
            }
        }
        all
    };
    let cold = sent_in_a_second(true, false);
    // The bound of the rule: one and a half times a quarter of its share of the capacity.
    assert!((4..=10).contains(&cold), "{cold}");
    assert!(sent_in_a_second(false, false) > 60, "without the event it is not cold");
    assert!(sent_in_a_second(true, true) > 60, "not an outage: another endpoint took its calls");
}

/// A message is counted at every route of its destination but takes only one: a small route that returns
/// cold must not be sent the messages of all routes. On the join day of the second deployment a route with
/// a capacity of 11 calls a second was sent 2.4 times that.
#[test]
fn trial_calls_to_a_route_are_limited_by_its_share_of_the_messages() {
    let mut set = settings();
    (set.dispatchers, set.weights) = (100, Weights::Nominal);
    let route = |endpoint, weight| Entry { weight, ..entry(endpoint, 7, 2) };
    let mut b = Harness::new(set, vec![route(1, 30.0), route(2, 10.0)]);
    let (mut calls, mut next) = ([0, 0], 0);
    // Every call fails at once: both routes are down and get trial calls only.
    while b.now < 400 * S {
        if b.now >= next * 2 * S {
            b.accept(next, 0, 7);
            next += 1;
        }
        for action in b.decide() {
            let Action::Send { id, endpoint, .. } = action else { continue };
            calls[endpoint as usize - 1] += 1;
            b.end_attempt(id, 0, endpoint, Outcome::ConnectFailed, 0);
        }
        b.now += 50 * MS;
    }
    let [large, small] = calls.map(f64::from);
    assert!(
        large > 10.0 && small < 0.6 * large,
        "{large} calls to the large route, {small} to the small one"
    );
}
