//! The auditor finds a planted violation of each rule, and finds none where none is.

use std::sync::Arc;
use std::time::Duration;

use millpost_standins::audit::{Audit, End, Heard, Over, Rule, Told, Verdict};
use millpost_standins::service::{Class, Effect, Service};
use proptest::prelude::*;

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;
const ORDERED: usize = 3;

fn service() -> Service {
    let mut service = Service::default();
    let ordered = Class {
        name: "in-turn".to_owned(),
        effect: Effect::Safe,
        in_order: true,
        ..service.classes[0].clone()
    };
    service.classes.push(ordered);
    service
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Events by their times, told in the order given.
struct Story(Vec<(Duration, Heard)>);

impl Story {
    fn new() -> Self {
        Story(Vec::new())
    }
    fn at(mut self, at: u64, heard: Heard) -> Self {
        self.0.push((ms(at), heard));
        self
    }
    fn handed(self, at: u64, reference: &str, origin: u64, class: usize) -> Self {
        let time_left = ms(2_000);
        let heard = Heard::HandedIn {
            reference: reference.into(),
            origin,
            class,
            dest: 3,
            order: (class == ORDERED).then_some(9),
            time_left,
        };
        self.at(at, heard)
    }
    fn taken(self, at: u64, reference: &str) -> Self {
        self.at(at, Heard::Answered { reference: reference.into(), node: 0, told: Told::Taken })
    }
    fn came(self, at: u64, call: u64, reference: &str) -> Self {
        self.call(at, call, reference, 0)
    }
    fn call(self, at: u64, call: u64, reference: &str, node: usize) -> Self {
        let heard = Heard::CallCame {
            call,
            reference: reference.into(),
            node,
            endpoint: 5,
            dest: 3,
            first_byte: ms(at),
        };
        self.at(at, heard)
    }
    fn effect(self, at: u64, reference: &str) -> Self {
        self.at(at, Heard::TookEffect { reference: reference.into() })
    }
    fn over(self, at: u64, call: u64, reference: &str, how: Over) -> Self {
        self.at(at, Heard::CallOver { call, reference: reference.into(), how })
    }
    fn noticed(self, at: u64, reference: &str, end: End) -> Self {
        self.at(at, Heard::Noticed { reference: reference.into(), end })
    }
    fn judge(self) -> Verdict {
        let mut audit = Audit::new(service());
        for (at, heard) in self.0 {
            let reference = match &heard {
                Heard::CallCame { reference, .. } => Some(reference.clone()),
                _ => None,
            };
            audit.hear(at, heard);
            if let Some(reference) = reference {
                audit.overlap(at + ms(1), &reference);
            }
            audit.settle(at);
        }
        audit.close(ms(100_000))
    }
}

fn rules(verdict: &Verdict) -> Vec<Rule> {
    verdict.counts.keys().copied().collect()
}

/// One message delivered at its first attempt.
fn delivered(reference: &str, class: usize) -> Story {
    Story::new()
        .handed(0, reference, 1, class)
        .taken(1, reference)
        .came(10, 1, reference)
        .effect(20, reference)
        .over(20, 1, reference, Over::Answered(200))
}

#[test]
fn a_delivery_breaks_no_rule() {
    for class in [SAFE, KEYED, UNSAFE, ORDERED] {
        let verdict = delivered("m", class).judge();
        assert_eq!(verdict.broken, []);
        assert_eq!((verdict.taken, verdict.delivered, verdict.in_aim, verdict.open), (1, 1, 1, 0));
    }
}

#[test]
fn a_message_without_an_end_is_lost() {
    let verdict = Story::new().handed(0, "m", 1, SAFE).taken(1, "m").judge();
    assert_eq!(rules(&verdict), [Rule::Lost]);
    // Refused at the door, or left by its client, it is owed nothing.
    let refused = Heard::Answered { reference: "m".into(), node: 0, told: Told::Refused };
    assert_eq!(rules(&Story::new().handed(0, "m", 1, SAFE).at(2, refused).judge()), []);
    let left = Heard::Answered { reference: "m".into(), node: 0, told: Told::Nothing { cut: false } };
    assert_eq!(rules(&Story::new().handed(0, "m", 1, SAFE).at(2, left).judge()), []);
}

#[test]
fn an_end_that_comes_late_is_a_loss_but_not_after_a_restart() {
    let late = || Story::new().handed(0, "m", 1, SAFE).taken(1, "m");
    assert_eq!(rules(&late().noticed(2_340, "m", End::Dead).judge()), []);
    assert_eq!(rules(&late().noticed(2_500, "m", End::Dead).judge()), [Rule::Lost]);
    let restart = late().at(1_900, Heard::NodeDown { node: 0 }).at(2_400, Heard::NodeReady { node: 0 });
    assert_eq!(rules(&restart.noticed(3_800, "m", End::Dead).judge()), []);
    let too_late = late().at(1_900, Heard::NodeDown { node: 0 }).at(2_400, Heard::NodeReady { node: 0 });
    assert_eq!(rules(&too_late.noticed(4_100, "m", End::Dead).judge()), [Rule::Lost]);
}

#[test]
fn two_different_ends_are_one_too_many() {
    let story = || Story::new().handed(0, "m", 1, SAFE).taken(1, "m").noticed(100, "m", End::Dead);
    assert_eq!(rules(&story().noticed(200, "m", End::Bounced).judge()), [Rule::Lost]);
    assert_eq!(rules(&story().noticed(200, "m", End::Dead).judge()), [], "the same once more is harmless");
}

#[test]
fn a_connection_ended_without_an_answer_is_a_loss_unless_the_dispatcher_was_down() {
    let cut = Heard::Answered { reference: "m".into(), node: 0, told: Told::Nothing { cut: true } };
    assert_eq!(rules(&Story::new().handed(0, "m", 1, SAFE).at(5, cut.clone()).judge()), [Rule::Lost]);
    let down = Story::new().handed(0, "m", 1, SAFE).at(4, Heard::NodeDown { node: 0 });
    assert_eq!(rules(&down.at(5, cut).judge()), []);
}

#[test]
fn a_second_effect_is_found_where_the_class_forbids_it() {
    let twice = |class| {
        delivered("m", class)
            .came(500, 2, "m")
            .effect(510, "m")
            .over(510, 2, "m", Over::Answered(200))
            .judge()
    };
    assert_eq!(rules(&twice(SAFE)), []);
    assert_eq!(rules(&twice(KEYED)), [Rule::Twice]);
    assert_eq!(rules(&twice(UNSAFE)), [Rule::Twice]);
}

#[test]
fn a_second_effect_under_another_id_is_found() {
    // Refused as harmless though it ran, and handed in again by its client.
    let story = Story::new()
        .handed(0, "m-0", 1, UNSAFE)
        .taken(1, "m-0")
        .came(10, 1, "m-0")
        .effect(20, "m-0")
        .over(30, 1, "m-0", Over::Closed)
        .noticed(40, "m-0", End::Bounced)
        .handed(100, "m-1", 1, UNSAFE)
        .taken(101, "m-1")
        .came(110, 2, "m-1")
        .effect(120, "m-1")
        .over(120, 2, "m-1", Over::Answered(200));
    let verdict = story.judge();
    assert_eq!(verdict.counts.get(&Rule::Twice), Some(&2), "{:?}", verdict.broken);
}

#[test]
fn an_effect_is_found_whose_message_is_noted_only_later() {
    // The partner tells first; its client's note of the same message comes behind it.
    let story = Story::new()
        .came(10, 1, "m")
        .effect(20, "m")
        .over(20, 1, "m", Over::Closed)
        .handed(0, "m", 1, UNSAFE)
        .taken(1, "m")
        .came(500, 2, "m")
        .effect(510, "m")
        .over(510, 2, "m", Over::Answered(200));
    assert_eq!(rules(&story.judge()), [Rule::Twice]);
}

#[test]
fn two_attempts_out_at_once_are_found() {
    let story = |closed| {
        let first = Story::new().handed(0, "m", 1, SAFE).taken(1, "m").came(10, 1, "m");
        let first = if closed { first.over(90, 1, "m", Over::Closed) } else { first };
        let mut audit = Audit::new(service());
        for (at, heard) in first.came(100, 2, "m").0 {
            audit.hear(at, heard);
        }
        audit.overlap(ms(200), &Arc::from("m"));
        audit.verdict().counts.clone()
    };
    assert_eq!(story(false).get(&Rule::Twice), Some(&1));
    assert_eq!(story(true).get(&Rule::Twice), None);
}

#[test]
fn work_after_a_drain_is_found() {
    let story = |at, takes| {
        delivered("m", SAFE)
            .at(100, Heard::Listed { node: 0, endpoint: 5, takes: false })
            .at(200, Heard::Listed { node: 0, endpoint: 5, takes })
            .handed(250, "n", 2, SAFE)
            .taken(251, "n")
            .came(at, 2, "n")
            .over(at + 1, 2, "n", Over::Answered(200))
            .judge()
    };
    assert_eq!(rules(&story(620, false)), []);
    assert_eq!(rules(&story(700, false)), [Rule::Drain]);
    assert_eq!(rules(&story(700, true)), [], "it was in service again");
}

#[test]
fn traffic_during_a_wait_is_found() {
    let story = |at, node| {
        let told = Heard::WaitTold { node: 0, dest: 3, wait: ms(1_000) };
        Story::new()
            .handed(0, "m", 1, SAFE)
            .taken(1, "m")
            .at(100, told)
            .call(at, 1, "m", node)
            .over(at + 1, 1, "m", Over::Answered(200))
            .judge()
    };
    assert_eq!(rules(&story(150, 0)), [], "it was on its way");
    assert_eq!(rules(&story(600, 0)), [Rule::Wait]);
    assert_eq!(rules(&story(600, 1)), [], "another dispatcher was not told");
    assert_eq!(rules(&story(1_101, 0)), []);
}

#[test]
fn a_shorter_wait_does_not_cut_a_longer_one_and_a_restart_ends_it() {
    let wait = |w| Heard::WaitTold { node: 0, dest: 3, wait: ms(w) };
    let story = || Story::new().handed(0, "m", 1, SAFE).taken(1, "m").at(100, wait(1_000)).at(110, wait(50));
    assert_eq!(
        rules(&story().came(700, 1, "m").over(701, 1, "m", Over::Answered(200)).judge()),
        [Rule::Wait]
    );
    let restart = story().at(300, Heard::NodeDown { node: 0 }).at(500, Heard::NodeReady { node: 0 });
    assert_eq!(rules(&restart.came(700, 1, "m").over(701, 1, "m", Over::Answered(200)).judge()), []);
}

/// 100 calls a second when warm: 39 a second right after its return, over 2 s at most 78 and a little for chance.
fn first_burst(calls: u64, node: usize, saw_the_outage: bool) -> Verdict {
    let mut story = Story::new();
    for n in 0..=calls {
        let name = format!("m{n}");
        story = story.handed(0, &name, n, SAFE).taken(1, &name);
    }
    story = story.at(10, Heard::Outage { dest: 3 });
    if saw_the_outage {
        story = story.call(20, 9_999, "m0", node).over(21, 9_999, "m0", Over::Answered(503));
    }
    story = story.at(100, Heard::Back { dest: 3, capacity: 100.0 });
    for n in 1..=calls {
        story = story.call(100 + n, n, &format!("m{n}"), node).over(
            101 + n,
            n,
            &format!("m{n}"),
            Over::Answered(200),
        );
    }
    story.noticed(900, "m0", End::Dead).judge()
}

#[test]
fn pushing_over_a_return_is_found() {
    assert_eq!(rules(&first_burst(70, 0, true)), []);
    assert_eq!(rules(&first_burst(140, 0, true)), [Rule::Cold]);
    assert_eq!(rules(&first_burst(140, 0, false)), [], "nobody had seen it out");
}

#[test]
fn one_out_of_its_turn_is_found() {
    let story = |second: u64| {
        Story::new()
            .handed(0, "a", 1, ORDERED)
            .taken(5, "a")
            .handed(second, "b", 2, ORDERED)
            .taken(12, "b")
            .came(20, 1, "b")
            .over(30, 1, "b", Over::Answered(200))
            .came(40, 2, "a")
            .over(50, 2, "a", Over::Answered(200))
            .judge()
    };
    assert_eq!(rules(&story(10)), [Rule::Order]);
    assert_eq!(rules(&story(4)), [], "handed in side by side, neither stands before the other");
}

#[test]
fn a_call_for_nobody_or_elsewhere_is_found() {
    assert_eq!(rules(&Story::new().came(10, 1, "ghost").judge()), [Rule::Stray]);
    let elsewhere =
        Heard::CallCame { call: 1, reference: "m".into(), node: 0, endpoint: 8, dest: 4, first_byte: ms(10) };
    let story =
        Story::new().handed(0, "m", 1, SAFE).taken(1, "m").at(10, elsewhere).noticed(90, "m", End::Dead);
    assert_eq!(rules(&story.judge()), [Rule::Stray]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// What is heard of one message in any order gives the same verdict, where the times are the same.
    #[test]
    fn the_order_in_which_both_sides_are_heard_changes_nothing(
        order in Just((0..7usize).collect::<Vec<_>>()).prop_shuffle(),
        class in 0..3usize,
        second in any::<bool>(),
    ) {
        let tell = |order: &[usize]| {
            let mut story = Story::new().handed(0, "m", 1, class).taken(1, "m").came(10, 1, "m").effect(20, "m")
                .over(25, 1, "m", Over::Closed);
            if second {
                story = story.came(300, 2, "m").effect(310, "m").over(320, 2, "m", Over::Answered(200));
            }
            let story = story.noticed(900, "m", End::Dead);
            let mut audit = Audit::new(service());
            let mut events: Vec<_> = order.iter().filter_map(|n| story.0.get(*n)).collect();
            events.extend(story.0.iter().skip(order.len()));
            events.into_iter().for_each(|(at, heard)| audit.hear(*at, heard.clone()));
            let verdict = audit.close(ms(50_000));
            (verdict.counts, verdict.taken, verdict.delivered)
        };
        prop_assert_eq!(tell(&order), tell(&[0, 1, 2, 3, 4, 5, 6]));
    }
}
