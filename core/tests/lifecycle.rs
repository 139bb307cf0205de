//! The effects of a core and their order for single events. Orders of events are covered by state exploration
//! in `explore/`.

use bytes::Bytes;
use millpost::api::Effect as Repeats;
use millpost::api::*;
use millpost_core::{
    CallEnd, CallMessage, Change, Core, CoreSnapshot, Deferred, DurabilityQueue, Effect, MessageEnd,
    MessageEnds, Moment, SNAPSHOT_VERSION, Submission, SubmitReply,
};
use millpost_store::ledger::{AcceptedMessage, Answer, History, RecoveredMessage};

const MS: Nanos = 1_000_000;

fn settings(bundle: usize) -> Settings {
    let class = |effect| Class {
        aim: 400 * MS,
        deadline: 20_000 * MS,
        worth: 1.0,
        late_worth: 0.5,
        effect,
        in_order: false,
        retired: false,
    };
    Settings {
        me: 0,
        dispatchers: 1,
        classes: vec![class(Repeats::Safe), class(Repeats::Unsafe)],
        tenants: vec![],
        over_share_worth: 1.0,
        kinds: vec![Kind { bundle, apart: false }],
        late: LateDecay::Even,
        slots: 4,
        hold: 100,
        try_limit: 6,
        tick: 5 * MS,
        connect_timeout: 1_000 * MS,
        keepalive: 5_000 * MS,
        streams: 1,
        max_retry_after: 2_000 * MS,
        allow: Permissions { probes: false, notes: false, cancel: false, retry_after: true },
        rules: Rules {
            answer_grace: 20 * MS,
            drain_grace: 500 * MS,
            cold_from: 0.25,
            cold: 12_000 * MS,
            fall_multiple: 1.5,
            fall: 2_000 * MS,
            key_rest: 0,
        },
        weights: Weights::Unknown,
        subscribe: false,
    }
}

fn at(ms: u64) -> Moment {
    // The clocks differ by an hour, so that mixing them up fails a test.
    Moment { now: ms * MS, wall: (ms + 3_600_000) * MS }
}

fn submission(reference: &str, class: usize, body: usize) -> Submission {
    let body = Bytes::from(vec![7; body]);
    Submission {
        reference: reference.to_owned(),
        class,
        dest: 7,
        time_left: 20_000 * MS,
        key: None,
        order: None,
        body,
    }
}

/// A core with one endpoint. The test decides when writes become durable.
struct Harness {
    core: Core,
    queue: DurabilityQueue,
    written: u64,
}

impl Harness {
    fn new(bundle: usize) -> Self {
        let mut core = Core::new(settings(bundle), 1, 1);
        let entry = Entry { endpoint: 1, zone: 0, kind: 0, dest: 7, state: State::Ready, weight: 0.0 };
        core.listed(at(0), true, vec![entry]);
        Harness { core, queue: DurabilityQueue::default(), written: 0 }
    }
    /// Returns all current effects. Writes succeed, and are durable at once if `lasts`.
    fn effects(&mut self, now: Moment, lasts: bool) -> Vec<Effect> {
        let mut all = Vec::new();
        loop {
            while let Some(effect) = self.core.effect() {
                match effect.clone() {
                    Effect::Append(_, deferred) => {
                        self.written += 1;
                        deferred.into_iter().for_each(|deferred| self.queue.push(self.written, deferred));
                    }
                    Effect::AfterWrites(deferred) => self.queue.push(self.written, deferred),
                    Effect::Reply { taken: Some(id), .. } => self.core.replied(now, id, true),
                    _ => {}
                }
                all.push(effect);
            }
            let Some(ready) = self.queue.pop_durable(|_| lasts) else { return all };
            self.core.run_deferred(now, ready);
        }
    }
    fn accept(&mut self, now: Moment, reference: &str, class: usize, body: usize) {
        self.core.submit(now, submission(reference, class, body), None, 0);
        self.effects(now, true);
    }
    /// Runs a round; returns the calls to connect.
    fn connects(&mut self, now: Moment) -> Vec<u64> {
        self.core.decide(now);
        let calls = |effect| if let Effect::Connect { call, .. } = effect { Some(call) } else { None };
        self.effects(now, true).into_iter().filter_map(calls).collect()
    }
}

fn messages(effects: &[Effect]) -> Vec<&[CallMessage]> {
    let all = effects
        .iter()
        .filter_map(|e| if let Effect::Write { messages, .. } = e { Some(&messages[..]) } else { None });
    all.collect()
}

#[test]
fn no_reply_and_no_call_byte_is_sent_before_the_write_is_durable() {
    let mut harness = Harness::new(1);
    harness.core.submit(at(0), submission("r", 1, 3), None, 5);
    let before = harness.effects(at(0), false);
    assert!(matches!(before[..], [Effect::Append(Change::Take { id: 1, .. }, Some(_))]), "{before:?}");
    let after = harness.effects(at(0), true);
    let accepted = Effect::Reply { reply: 5, verdict: SubmitReply::Accepted, taken: Some(1) };
    assert_eq!(after, [accepted]);
    let [call] = harness.connects(at(1))[..] else { panic!("expected one call") };
    harness.core.connected(at(2), call);
    let before = harness.effects(at(2), false);
    let attempt_recorded = |e: &Effect| matches!(e, Effect::Append(Change::Begin { id: 1, .. }, None));
    assert!(before.iter().any(attempt_recorded) && messages(&before).is_empty(), "{before:?}");
    assert_eq!(messages(&harness.effects(at(3), true)).len(), 1);
}

#[test]
fn an_answer_is_notified_once_written_and_a_failed_write_is_retried() {
    let mut harness = Harness::new(1);
    harness.accept(at(0), "r", 1, 0);
    let [call] = harness.connects(at(1))[..] else { panic!("expected one call") };
    harness.core.connected(at(2), call);
    harness.effects(at(2), true);
    harness.core.ended(at(9), call, CallEnd::without_answer(Outcome::Reset));
    harness.core.decide(at(10));
    let mut appends: Vec<(Change, Option<Deferred>)> = Vec::new();
    while let Some(effect) = harness.core.effect() {
        if let Effect::Append(change, deferred) = effect {
            appends.push((change, deferred));
        }
    }
    let (change, deferred) = appends.pop().expect("an answer is appended");
    assert!(
        matches!(change, Change::Answer { id: 1, answer: Answer::Failed }),
        "the call may have run: {change:?}"
    );
    harness.core.write_failed(at(10), &change, deferred);
    assert!(harness.core.needs_polling());
    harness.core.retry_unwritten();
    let effects = harness.effects(at(30), true);
    let notice = Effect::Notice { id: 1, reference: "r".to_owned(), answer: Answer::Failed };
    assert_eq!(effects.last(), Some(&notice), "{effects:?}");
    assert!(!harness.core.needs_polling());
    harness.core.notice_accepted(at(40), 1);
    assert_eq!(harness.core.unfinished(), 0);
}

/// `Control` does not repeat a wake-up request. Found by state exploration: a call that ended unwritten
/// replaced the request, and without further events a message was never answered.
#[test]
fn a_call_that_ends_unwritten_keeps_requested_wake_ups() {
    let mut harness = Harness::new(1);
    harness.accept(at(0), "r0", 1, 0);
    harness.accept(at(0), "r1", 0, 0);
    let [one, two] = harness.connects(at(1))[..] else { panic!("expected two calls") };
    harness.core.connected(at(2), two);
    harness.effects(at(2), true);
    let wait = MessageEnds::All(Outcome::Full(Some(300 * MS)).into());
    harness.core.ended(at(3), two, CallEnd { ends: wait, wait: None, report: None });
    harness.core.decide(at(4));
    harness.effects(at(4), true);
    let asked = harness.core.next_wake();
    // The wait applies to the other call too: nothing of it is written, and it ends.
    harness.core.connected(at(5), one);
    assert!(messages(&harness.effects(at(5), true)).is_empty());
    assert!(harness.core.next_wake().is_some_and(|wake| wake <= at(5).now), "a round is due at once");
    harness.core.decide(at(6));
    harness.effects(at(6), true);
    assert!(
        harness.core.next_wake().is_some_and(|wake| Some(wake) <= asked),
        "{:?} {asked:?}",
        harness.core.next_wake()
    );
}

/// Found by state exploration: the wait was stored only in the next round.
#[test]
fn a_requested_wait_is_stored_with_its_outcome() {
    let mut harness = Harness::new(1);
    harness.accept(at(0), "r", 0, 0);
    let [call] = harness.connects(at(1))[..] else { panic!("expected one call") };
    harness.core.connected(at(2), call);
    harness.effects(at(2), true);
    let wait = MessageEnds::All(Outcome::Full(Some(300 * MS)).into());
    harness.core.ended(at(3), call, CallEnd { ends: wait, wait: None, report: None });
    let effects = harness.effects(at(3), true);
    assert!(effects.iter().any(|e| matches!(e, Effect::SaveLearned(_))), "{effects:?}");
}

#[test]
fn an_attempt_that_cannot_be_recorded_leaves_its_call_and_an_empty_call_releases_its_connection() {
    let mut harness = Harness::new(4);
    harness.accept(at(0), "r0", 1, 0);
    harness.accept(at(0), "r1", 1, 0);
    let [call] = harness.connects(at(1))[..] else { panic!("expected one call for both messages") };
    harness.core.connected(at(2), call);
    let mut released = false;
    while let Some(effect) = harness.core.effect() {
        match effect {
            Effect::Append(change @ Change::Begin { .. }, deferred) => {
                harness.core.write_failed(at(2), &change, deferred);
            }
            Effect::AfterWrites(deferred) => harness.queue.push(9, deferred),
            Effect::Release { .. } => released = true,
            other => assert!(!matches!(other, Effect::Write { .. }), "{other:?}"),
        }
    }
    assert!(released, "released without waiting for a sync");
    assert_eq!((harness.core.calls(), harness.core.slots_in_use()), (0, 0));
    // The deferred write finds no call.
    assert!(messages(&harness.effects(at(3), true)).is_empty());
}

#[test]
fn messages_that_exceed_one_call_follow_in_the_same_slot() {
    let mut harness = Harness::new(4);
    for n in 0..4 {
        harness.accept(at(0), &format!("r{n}"), 1, 20_000);
    }
    let [mut call] = harness.connects(at(1))[..] else { panic!("expected one call") };
    let mut sizes = Vec::new();
    loop {
        harness.core.connected(at(2), call);
        let effects = harness.effects(at(2), true);
        sizes.extend(messages(&effects).iter().map(|all| all.len()));
        assert_eq!(harness.core.calls(), 1);
        let served = MessageEnd { outcome: Outcome::Served, over: true };
        harness.core.ended(at(3), call, CallEnd { ends: MessageEnds::All(served), wait: None, report: None });
        let next = harness.effects(at(3), true).into_iter().find_map(|e| match e {
            Effect::Connect { call, .. } => Some(call),
            _ => None,
        });
        let Some(next) = next else { break };
        call = next;
    }
    assert_eq!((sizes, harness.core.unfinished(), harness.core.slots_in_use()), (vec![2, 2], 0, 0));
}

#[test]
fn an_attempt_in_flight_when_the_process_ended_may_have_run() {
    let taken = |class| AcceptedMessage {
        reference: format!("r{class}"),
        class,
        dest: 7,
        deadline: at(20_000).wall,
        key: None,
        order: None,
        body: Bytes::new(),
    };
    let history = History {
        attempts: 1,
        first_sent: at(0).wall,
        in_flight: Some((at(0).wall, 0)),
        ..History::default()
    };
    let found =
        |id, class, history| RecoveredMessage { id, message: taken(class), body_lost: false, at: 0, history };
    let mut harness = Harness::new(1);
    harness.core.restore(at(10), found(4, 1, history));
    harness.core.restore(at(10), found(5, 2, History::default()));
    harness.core.decide(at(11));
    let effects = harness.effects(at(11), true);
    for (id, reference) in [(4, "r1"), (5, "r2")] {
        let notice = Effect::Notice { id, reference: reference.to_owned(), answer: Answer::Failed };
        assert!(effects.contains(&notice), "unsafe and in flight, or of an unknown class: {effects:?}");
    }
    harness.core.submit(at(12), submission("new", 0, 0), None, 0);
    let effects = harness.effects(at(12), true);
    assert!(
        matches!(effects[0], Effect::Append(Change::Take { id: 6, .. }, _)),
        "ids are not reused: {effects:?}"
    );
}

/// `Control` does not repeat a wake-up request: each must be kept until it has passed, also when an earlier
/// one comes first. Found by state exploration.
#[test]
fn of_two_requested_wake_ups_the_later_one_is_kept_too() {
    let mut harness = Harness::new(1);
    harness.accept(at(0), "r", 0, 3);
    let [call] = harness.connects(at(0))[..] else { panic!("expected one call") };
    harness.core.connected(at(0), call);
    harness.effects(at(0), true);
    let first = harness.core.next_wake().expect("a wake-up for an unanswered call");
    // Just before the wake-up the endpoint requests a wait, and `Control` a wake-up at its end.
    let before = Moment { now: first - MS, wall: first - MS };
    let full = Outcome::Full(Some(10_000 * MS));
    harness.core.ended(before, call, CallEnd::without_answer(full));
    harness.core.decide(before);
    let when = Moment { now: first, wall: first };
    harness.core.decide(when);
    assert!(
        harness.core.next_wake().is_some_and(|next| next > first),
        "the wake-up for the end of the wait was dropped"
    );
}

/// A core with a written call, a call that is being connected, a waiting message and one with a pending
/// notice.
fn busy_core() -> Harness {
    let mut b = Harness::new(1);
    b.accept(at(1), "written", 1, 10);
    b.core.decide(at(1));
    b.effects(at(1), true);
    b.core.connected(at(2), 0);
    b.effects(at(2), true);
    b.accept(at(3), "connecting", 0, 20);
    b.core.decide(at(3));
    b.effects(at(3), true);
    b.accept(at(4), "refused", 0, 30);
    b.core.decide(at(4));
    b.effects(at(4), true);
    let refused = CallEnd::without_answer(Outcome::ConnectFailed);
    b.core.ended(at(5), 2, refused);
    b.core.decide(at(20_100));
    b.effects(at(20_100), true);
    b
}

/// Another process takes over: it connects the calls that are not written, repeats pending notices, and is
/// told how the calls of the first process end.
#[test]
fn a_core_continues_in_another_process() {
    let b = busy_core();
    assert!(b.core.is_quiescent());
    let bytes = postcard::to_stdvec(&b.core).expect("serializes");
    let snapshot: CoreSnapshot = postcard::from_bytes(&bytes).expect("deserializes");
    let body = |id| Bytes::from(vec![7; 10 * id as usize]);
    let core = Core::from_snapshot(settings(1), snapshot, &[0].into(), body);
    assert_eq!(postcard::to_stdvec(&core).expect("serializes"), bytes, "the snapshot is complete");
    assert_eq!(
        (core.unanswered(), core.calls(), core.slots_in_use()),
        (b.core.unanswered(), b.core.calls(), b.core.slots_in_use())
    );
    let mut other = Harness { core, queue: DurabilityQueue::default(), written: 0 };
    let now = at(20_110);
    let recreated = other.effects(now, true);
    let connects =
        recreated.iter().filter(|e| matches!(e, Effect::Connect { call: 1, fresh: false, .. })).count();
    let notices = recreated.iter().filter(|e| matches!(e, Effect::Notice { .. })).count();
    assert_eq!((recreated.len(), connects), (connects + notices, 1), "{recreated:?}");
    assert!(notices > 0, "{recreated:?}");
    // The written call of an unsafe message is lost with its process: it may have run.
    other.core.calls_lost(now, &[0].into());
    other.core.decide(now);
    let effects = other.effects(now, true);
    let failure_written =
        |e: &&Effect| matches!(e, Effect::Append(Change::Answer { answer: Answer::Failed, .. }, _));
    let refusal_written =
        |e: &&Effect| matches!(e, Effect::Append(Change::Answer { answer: Answer::Refused { .. }, .. }, _));
    assert!(effects.iter().filter(refusal_written).count() == 0, "{effects:?}");
    let all = recreated.iter().chain(&effects);
    let failure_notice = |e: &&Effect| matches!(e, Effect::Notice { answer: Answer::Failed, .. });
    assert!(
        all.filter(failure_notice).count() + effects.iter().filter(failure_written).count() > 0,
        "{recreated:?} {effects:?}"
    );
}

/// A process without rate sharing may take over from one that had no share of a destination's rate; it must
/// not be bound by that share.
#[test]
fn a_rate_share_does_not_carry_over_to_another_process() {
    let mut b = Harness::new(1);
    let none = RateShare { rate: 0.0, until: Nanos::MAX, after: 0.0 };
    b.core.on_event(at(0), Event::RateShare { dest: 7, part: Some(none) });
    b.accept(at(1), "waits", 0, 10);
    b.core.decide(at(1));
    let connects = |all: Vec<Effect>| all.iter().filter(|e| matches!(e, Effect::Connect { .. })).count();
    assert_eq!(connects(b.effects(at(1), true)), 0);
    let bytes = postcard::to_stdvec(&b.core).expect("serializes");
    let snapshot: CoreSnapshot = postcard::from_bytes(&bytes).expect("deserializes");
    let core = Core::from_snapshot(settings(1), snapshot, &[].into(), |_| Bytes::from_static(b"x"));
    let mut other = Harness { core, queue: DurabilityQueue::default(), written: 0 };
    other.core.decide(at(2));
    assert_eq!(connects(other.effects(at(2), true)), 1);
}

/// Checksum of the bytes of a known core. If it changes, other versions of the program would misread the
/// bytes: increase [`SNAPSHOT_VERSION`], then update the checksum.
#[test]
fn a_change_of_the_serialized_form_needs_a_new_version() {
    let bytes = postcard::to_stdvec(&busy_core().core).expect("serializes");
    let sum = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    assert_eq!((SNAPSHOT_VERSION, bytes.len(), sum), (2, 459, 3_741_916_390_052_069_714));
}
