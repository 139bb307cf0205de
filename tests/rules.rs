//! The rules and determinism as properties of event scripts, with fixed seeds. Servers are not modelled:
//! outcomes are random, and the actions are checked against the events.

mod common;
use common::*;
use millpost::Control;
use millpost::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Accept { class: usize, dest: DestId, key: u64, time_left: Nanos },
    End { which: usize, outcome: Outcome },
    List { endpoint: EndpointId, state: State },
    Withdraw { which: usize },
    Advance(Nanos),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Served),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Full(None)),
        1 => (1u64..3000).prop_map(|ms| Outcome::Full(Some(ms * MS))),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![2 => Just(State::Ready), 1 => Just(State::Draining), 1 => Just(State::Gone)];
    prop_oneof![
        6 => (0usize..4, 0u64..3, 0u64..2, 10u64..20_000)
            .prop_map(|(class, dest, key, ms)| Step::Accept { class, dest, key, time_left: ms * MS }),
        6 => (any::<usize>(), outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0u64..6, state).prop_map(|(endpoint, state)| Step::List { endpoint, state }),
        1 => any::<usize>().prop_map(|which| Step::Withdraw { which }),
        6 => (1u64..400).prop_map(|ticks| Step::Advance(ticks * 5 * MS)),
    ]
}

fn scripts() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..250)
}

struct OpenMessage {
    class: usize,
    dest: DestId,
    key: Option<u64>,
    deadline: Nanos,
    attempts: u32,
    out: Option<(EndpointId, Nanos, Nanos)>,
    may_have_run: Option<Nanos>,
    answered: bool,
}

/// Runs a script and checks each action; returns all actions for the determinism test.
fn run_script(script: &[Step], seed: u64) -> Vec<(Nanos, Action)> {
    let set = Settings { slots: 5, hold: 60, ..settings() };
    let mut control = Control::new(set.clone(), seed);
    // Endpoints 0..6: two for each destination, of every kind.
    let entry_of = |endpoint: EndpointId| entry(endpoint, endpoint % 3, (endpoint % 3) as usize);
    let mut ready: BTreeSet<EndpointId> = (0..6).collect();
    control.on_event(0, Event::Listed { whole: true, entries: (0..6).map(entry_of).collect() });
    let (mut now, mut next_id, mut log) = (0, 0, Vec::new());
    let mut held: BTreeMap<MsgId, OpenMessage> = BTreeMap::new();
    let mut order: BTreeMap<u64, Vec<MsgId>> = BTreeMap::new();
    let mut key_rests: BTreeMap<u64, Nanos> = BTreeMap::new();
    let mut waits: BTreeMap<(DestId, Option<EndpointId>), Nanos> = BTreeMap::new();
    let target = |endpoint: EndpointId| (endpoint % 3, (endpoint % 3 == 2).then_some(endpoint));
    let mut wakes: BTreeSet<Nanos> = BTreeSet::new();
    let mut steps: Vec<Step> = script.to_vec();
    steps.extend((0..500).map(|_| Step::Advance(100 * MS)));
    for step in steps {
        let mut until = now;
        match step {
            Step::Accept { class, dest, key, time_left } => {
                let id = next_id;
                next_id += 1;
                let key = (class == 3).then_some(key);
                let deadline = now + time_left;
                let (attempts, out, may_have_run, answered) = (0, None, None, false);
                held.insert(
                    id,
                    OpenMessage { class, dest, key, deadline, attempts, out, may_have_run, answered },
                );
                if let Some(key) = key {
                    order.entry(key).or_default().push(id);
                }
                control.on_event(now, Event::Message { id, class, tenant: None, key, dest, time_left });
            }
            Step::End { which, outcome } => {
                let in_flight: Vec<MsgId> =
                    held.iter().filter(|(_, m)| m.out.is_some()).map(|(id, _)| *id).collect();
                if !in_flight.is_empty() {
                    end_attempt(
                        &mut control,
                        &mut held,
                        &mut key_rests,
                        &mut waits,
                        now,
                        in_flight[which % in_flight.len()],
                        outcome,
                    );
                }
            }
            Step::List { endpoint, state } => {
                if state == State::Ready {
                    ready.insert(endpoint)
                } else {
                    ready.remove(&endpoint)
                };
                let entries = vec![Entry { state, ..entry_of(endpoint) }];
                control.on_event(now, Event::Listed { whole: false, entries });
            }
            Step::Withdraw { which } => {
                let open: Vec<MsgId> = held.iter().filter(|(_, m)| !m.answered).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[which % open.len()];
                    held.get_mut(&id).unwrap().answered = true;
                    control.on_event(now, Event::Withdrawn { id });
                }
            }
            Step::Advance(span) => until = now + span,
        }
        loop {
            // Attempts time out as requested, but at the deadline at the latest; then the library decides.
            let due = |m: &OpenMessage| m.out.is_some_and(|(_, sent, t)| (sent + t).min(m.deadline) <= now);
            let overdue: Vec<MsgId> = held.iter().filter(|(_, m)| due(m)).map(|(id, _)| *id).collect();
            for id in overdue {
                end_attempt(&mut control, &mut held, &mut key_rests, &mut waits, now, id, Outcome::TimedOut);
            }
            if wakes.first().is_some_and(|at| *at <= now) {
                wakes.pop_first();
                control.on_event(now, Event::Wake);
            }
            let mut actions = Vec::new();
            control.decide(now, &mut actions);
            let mut calls: BTreeMap<EndpointId, u32> = BTreeMap::new();
            for action in &actions {
                match action {
                    Action::Wake { at } => {
                        assert!(*at > now, "wake-up requested in the past");
                        wakes.insert(*at);
                    }
                    Action::Send { id, endpoint, timeout } => {
                        let m = &held[id];
                        assert!(!m.answered, "sent after its final answer");
                        assert!(m.out.is_none(), "two attempts in flight");
                        assert!(now < m.deadline && m.attempts < set.try_limit && *timeout > 0);
                        assert!(ready.contains(endpoint), "sent to an endpoint that is draining or gone");
                        assert_eq!(entry_of(*endpoint).dest, m.dest);
                        assert!(
                            waits.get(&target(*endpoint)).is_none_or(|w| *w <= now),
                            "sent during a requested wait"
                        );
                        match set.classes[m.class].effect {
                            Effect::Unsafe => assert!(
                                m.may_have_run.is_none(),
                                "unsafe message resent although it may have run"
                            ),
                            Effect::Keyed { window, .. } => {
                                assert!(
                                    m.may_have_run.is_none_or(|sent| now < sent + window),
                                    "keyed message resent after its window"
                                )
                            }
                            Effect::Safe => {}
                        }
                        if let Some(key) = m.key {
                            let before = order[&key].iter().take_while(|other| *other != id);
                            for other in before {
                                assert!(
                                    held[other].answered && held[other].out.is_none(),
                                    "sent out of order"
                                );
                            }
                            let rest = key_rests.get(&key).copied().unwrap_or(0);
                            assert!(m.attempts > 0 || rest <= now, "sent while the key rests");
                        }
                        *calls.entry(*endpoint).or_default() += 1;
                        let m = held.get_mut(id).unwrap();
                        (m.attempts, m.out) = (m.attempts + 1, Some((*endpoint, now, *timeout)));
                    }
                    Action::Refuse { id, .. } => {
                        let m = held.get_mut(id).unwrap();
                        assert!(!m.answered, "answered twice");
                        let may_have_effect = m.may_have_run.is_some() || m.out.is_some();
                        assert!(
                            set.classes[m.class].effect != Effect::Unsafe || !may_have_effect,
                            "unsafe message refused although it may have run"
                        );
                        m.answered = true;
                    }
                    Action::Fail { id } => {
                        let m = held.get_mut(id).unwrap();
                        assert!(!m.answered, "answered twice");
                        m.answered = true;
                    }
                    other => panic!("unexpected action: {other:?}"),
                }
            }
            for (id, m) in &held {
                assert!(m.answered || now < m.deadline + set.rules.answer_grace, "no final answer for {id}");
            }
            log.extend(actions.into_iter().map(|a| (now, a)));
            if now >= until {
                break;
            }
            now += 5 * MS;
            while now < until
                && wakes.first().is_none_or(|at| *at > now)
                && held.values().all(|m| m.out.is_none_or(|(_, sent, t)| (sent + t).min(m.deadline) > now))
            {
                now += 5 * MS;
            }
        }
    }
    assert!(held.values().all(|m| m.answered), "every message has a final answer");
    log
}

fn end_attempt(
    control: &mut Control,
    held: &mut BTreeMap<MsgId, OpenMessage>,
    key_rests: &mut BTreeMap<u64, Nanos>,
    waits: &mut BTreeMap<(DestId, Option<EndpointId>), Nanos>,
    now: Nanos,
    id: MsgId,
    outcome: Outcome,
) {
    let m = held.get_mut(&id).unwrap();
    let (endpoint, sent, _) = m.out.take().unwrap();
    if !outcome.never_ran() {
        m.may_have_run = m.may_have_run.or(Some(sent));
    }
    if let (true, Some(key)) = (outcome.may_still_run(), m.key) {
        key_rests.insert(key, now + 300 * MS);
    }
    if let Outcome::Full(Some(wait)) = outcome {
        let wait_until = waits.entry((endpoint % 3, (endpoint % 3 == 2).then_some(endpoint))).or_default();
        *wait_until = (*wait_until).max(now + wait);
    }
    m.answered |= outcome == Outcome::Served;
    let (attempt, closed, took) = (m.attempts - 1, m.answered, now - sent);
    control.on_event(now, Event::Outcome { id, attempt, endpoint, outcome, took, closed, report: None });
}

fn runner(seed: u8) -> TestRunner {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

#[test]
fn the_rules_hold_for_random_event_scripts() {
    for seed in 1..=2 {
        let run = runner(seed).run(&scripts(), |script| {
            run_script(&script, u64::from(seed));
            Ok(())
        });
        run.unwrap();
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = runner(9).run(&scripts(), |script| {
        prop_assert_eq!(run_script(&script, 5), run_script(&script, 5));
        Ok(())
    });
    run.unwrap();
}
