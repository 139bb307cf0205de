//! The rules and determinism as properties over scripts of events, with fixed seeds. There is no model of a
//! server here: outcomes are drawn at random, and what the module does is checked against what it was told.

mod common;
use common::*;
use millpost::Control;
use millpost::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Take { class: usize, dest: DestId, key: u64, time_left: Nanos },
    End { which: usize, outcome: Outcome },
    List { endpoint: EndpointId, state: State },
    Withdraw { which: usize },
    Pass(Nanos),
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
            .prop_map(|(class, dest, key, ms)| Step::Take { class, dest, key, time_left: ms * MS }),
        6 => (any::<usize>(), outcome()).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => (0u64..6, state).prop_map(|(endpoint, state)| Step::List { endpoint, state }),
        1 => any::<usize>().prop_map(|which| Step::Withdraw { which }),
        6 => (1u64..400).prop_map(|ticks| Step::Pass(ticks * 5 * MS)),
    ]
}

fn scripts() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..250)
}

struct Held {
    class: usize,
    dest: DestId,
    key: Option<u64>,
    deadline: Nanos,
    attempts: u32,
    out: Option<(EndpointId, Nanos, Nanos)>,
    maybe: Option<Nanos>,
    answered: bool,
}

/// Plays a script and checks each action; returns all actions for the test of determinism.
fn play(script: &[Step], seed: u64) -> Vec<(Nanos, Action)> {
    let set = Settings { slots: 5, hold: 60, ..settings() };
    let mut control = Control::new(set.clone(), seed);
    // Endpoints 0..6: two for each destination, of every kind.
    let entry_of = |endpoint: EndpointId| entry(endpoint, endpoint % 3, (endpoint % 3) as usize);
    let mut ready: BTreeSet<EndpointId> = (0..6).collect();
    control.on_event(0, Event::Listed { whole: true, entries: (0..6).map(entry_of).collect() });
    let (mut now, mut next_id, mut log) = (0, 0, Vec::new());
    let mut held: BTreeMap<MsgId, Held> = BTreeMap::new();
    let mut order: BTreeMap<u64, Vec<MsgId>> = BTreeMap::new();
    let mut rests: BTreeMap<u64, Nanos> = BTreeMap::new();
    let mut waits: BTreeMap<(DestId, Option<EndpointId>), Nanos> = BTreeMap::new();
    let lane = |endpoint: EndpointId| (endpoint % 3, (endpoint % 3 == 2).then_some(endpoint));
    let mut wakes: BTreeSet<Nanos> = BTreeSet::new();
    let mut todo: Vec<Step> = script.to_vec();
    todo.extend((0..500).map(|_| Step::Pass(100 * MS)));
    for step in todo {
        let mut until = now;
        match step {
            Step::Take { class, dest, key, time_left } => {
                let id = next_id;
                next_id += 1;
                let key = (class == 3).then_some(key);
                let deadline = now + time_left;
                let (attempts, out, maybe, answered) = (0, None, None, false);
                held.insert(id, Held { class, dest, key, deadline, attempts, out, maybe, answered });
                if let Some(key) = key {
                    order.entry(key).or_default().push(id);
                }
                control.on_event(now, Event::Message { id, class, tenant: None, key, dest, time_left });
            }
            Step::End { which, outcome } => {
                let outs: Vec<MsgId> =
                    held.iter().filter(|(_, m)| m.out.is_some()).map(|(id, _)| *id).collect();
                if !outs.is_empty() {
                    end(
                        &mut control,
                        &mut held,
                        &mut rests,
                        &mut waits,
                        now,
                        outs[which % outs.len()],
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
            Step::Pass(span) => until = now + span,
        }
        loop {
            // Time-outs come as told, cut to the deadline; then the module decides.
            let due = |m: &Held| m.out.is_some_and(|(_, sent, t)| (sent + t).min(m.deadline) <= now);
            let overdue: Vec<MsgId> = held.iter().filter(|(_, m)| due(m)).map(|(id, _)| *id).collect();
            for id in overdue {
                end(&mut control, &mut held, &mut rests, &mut waits, now, id, Outcome::TimedOut);
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
                        assert!(*at > now, "a wake-up in the past");
                        wakes.insert(*at);
                    }
                    Action::Send { id, endpoint, timeout } => {
                        let m = &held[id];
                        assert!(!m.answered, "sent after its final answer");
                        assert!(m.out.is_none(), "two attempts out");
                        assert!(now < m.deadline && m.attempts < set.try_limit && *timeout > 0);
                        assert!(ready.contains(endpoint), "sent to an endpoint that drains or is gone");
                        assert_eq!(entry_of(*endpoint).dest, m.dest);
                        assert!(waits.get(&lane(*endpoint)).is_none_or(|w| *w <= now), "sent within a wait");
                        match set.classes[m.class].effect {
                            Effect::Unsafe => assert!(m.maybe.is_none(), "unsafe resent after doubt"),
                            Effect::Keyed { window, .. } => {
                                assert!(
                                    m.maybe.is_none_or(|sent| now < sent + window),
                                    "resent after the window"
                                )
                            }
                            Effect::Safe => {}
                        }
                        if let Some(key) = m.key {
                            let before = order[&key].iter().take_while(|other| *other != id);
                            for other in before {
                                assert!(held[other].answered && held[other].out.is_none(), "out of turn");
                            }
                            let rest = rests.get(&key).copied().unwrap_or(0);
                            assert!(m.attempts > 0 || rest <= now, "the key should rest");
                        }
                        *calls.entry(*endpoint).or_default() += 1;
                        let m = held.get_mut(id).unwrap();
                        (m.attempts, m.out) = (m.attempts + 1, Some((*endpoint, now, *timeout)));
                    }
                    Action::Refuse { id, .. } => {
                        let m = held.get_mut(id).unwrap();
                        assert!(!m.answered, "answered twice");
                        let unsafe_doubt = m.maybe.is_some() || m.out.is_some();
                        assert!(
                            set.classes[m.class].effect != Effect::Unsafe || !unsafe_doubt,
                            "refused in doubt"
                        );
                        m.answered = true;
                    }
                    Action::Fail { id } => {
                        let m = held.get_mut(id).unwrap();
                        assert!(!m.answered, "answered twice");
                        m.answered = true;
                    }
                    other => panic!("not expected here: {other:?}"),
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
    assert!(held.values().all(|m| m.answered), "all messages end");
    log
}

fn end(
    control: &mut Control,
    held: &mut BTreeMap<MsgId, Held>,
    rests: &mut BTreeMap<u64, Nanos>,
    waits: &mut BTreeMap<(DestId, Option<EndpointId>), Nanos>,
    now: Nanos,
    id: MsgId,
    outcome: Outcome,
) {
    let m = held.get_mut(&id).unwrap();
    let (endpoint, sent, _) = m.out.take().unwrap();
    if !outcome.never_ran() {
        m.maybe = m.maybe.or(Some(sent));
    }
    if let (true, Some(key)) = (outcome.may_still_run(), m.key) {
        rests.insert(key, now + 300 * MS);
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
fn rules_hold_over_event_scripts() {
    for seed in 1..=2 {
        let run = runner(seed).run(&scripts(), |script| {
            play(&script, u64::from(seed));
            Ok(())
        });
        run.unwrap();
    }
}

#[test]
fn same_events_same_actions() {
    let run = runner(9).run(&scripts(), |script| {
        prop_assert_eq!(play(&script, 5), play(&script, 5));
        Ok(())
    });
    run.unwrap();
}
