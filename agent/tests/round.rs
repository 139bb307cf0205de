//! Tables of inputs against the machine: what it opens, closes, tells, posts and answers.

use std::net::SocketAddr;

use bytes::Bytes;
use log::Level;
use millpost_agent::{Agent, AgentConfig, Effect, Input, MS, Nanos, SECOND};
use millpost_config::{Config, change};
use millpost_net::pack::pack;
use millpost_protocol::{Instance, Peer, PeerMessage, ViewChange, object};
use tinyjson::JsonValue;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 8428))
}

fn config(revision: u64, services: u64) -> Config {
    let services: Vec<_> = (0..services)
        .map(|n| {
            format!(r#"{{"name":"s{n}","health_path":"/","max_conns":9,"memory_mb":128,"boot_ms":300}}"#)
        })
        .collect();
    let limits =
        r#"{"max_body_bytes":1000,"max_header_bytes":8192,"idle_timeout_ms":4000,"header_timeout_ms":2000}"#;
    let text = format!(
        r#"{{"revision":{revision},"routes":[],"services":[{}],"limits":{limits}}}"#,
        services.join(",")
    );
    Config::parse(&text).expect("a configuration")
}

fn whole(revision: u64) -> PeerMessage {
    PeerMessage::Config { revision, body: config(revision, revision).to_value() }
}

fn packed(revision: u64) -> PeerMessage {
    let packed = pack(&config(revision, revision).to_json()).expect("packed");
    PeerMessage::PackedConfig { revision, packed }
}

fn patch(from: u64, revision: u64) -> PeerMessage {
    let change = change::diff(&config(from, from), &config(revision, revision));
    PeerMessage::Patch { revision, change }
}

fn stalls(version: (u64, u64)) -> PeerMessage {
    let peers = vec![Peer { name: "edge-1".into(), address: "10.0.1.1:7760".into(), zone: "a".into() }];
    PeerMessage::FullView { version, peers, leaving: vec![], split: vec![] }
}

fn shift(from: (u64, u64), version: (u64, u64), came: &[&str], left: &[&str]) -> PeerMessage {
    let peer = |name: &&str| Peer { name: (*name).into(), address: "10.0.1.9:1".into(), zone: "a".into() };
    let left = left.iter().map(|name| (*name).into()).collect();
    PeerMessage::ViewChange(ViewChange {
        version,
        from,
        came: came.iter().map(peer).collect(),
        left,
        ..ViewChange::default()
    })
}

fn instance(id: &str) -> Instance {
    Instance {
        id: id.into(),
        service: "f".into(),
        address: "10.0.2.1:80".into(),
        zone: "a".into(),
        worker: "w".into(),
        stage: 1,
    }
}

fn instances(version: (u64, u64), all: bool, set: &[&str], gone: &[&str]) -> PeerMessage {
    let set = set.iter().map(|id| instance(id)).collect();
    PeerMessage::Instances { version, all, set, gone: gone.iter().map(|id| (*id).into()).collect() }
}

fn steward(fence: u64, n: u8) -> PeerMessage {
    PeerMessage::Leader { address: at(n).to_string().into(), fence }
}

fn alive() -> PeerMessage {
    let peer = Peer { name: "edge-1".into(), address: "10.0.1.1:7760".into(), zone: "a".into() };
    PeerMessage::Heartbeat { peer, serving: true, split: None, digest: None }
}

fn acts(revision: u64) -> PeerMessage {
    PeerMessage::ConfigApplied { revision, number: 0 }
}

/// A machine, and what it wants carried out.
struct Play {
    round: Agent,
    now: Nanos,
    /// Feeds that are open: number, address, path.
    open: Vec<(u64, SocketAddr, &'static str)>,
    /// The letter of the last one that was opened.
    opening: Vec<PeerMessage>,
    /// All that the stall was told.
    told: Vec<PeerMessage>,
    /// What goes up: where, and what.
    posts: Vec<(SocketAddr, PeerMessage)>,
    answers: Vec<bool>,
    log: Vec<(Level, String)>,
    reads: usize,
    over: bool,
    /// Of those that are followed.
    without_contact: usize,
}

impl Play {
    fn new(seeds: &[u8]) -> Self {
        let seeds = seeds.iter().map(|n| at(*n)).collect();
        let terms = AgentConfig { name: "edge-1".into(), life: 0, seeds, grace: 6 * SECOND };
        let mut play = Play {
            round: Agent::new(terms, 0),
            now: 0,
            open: Vec::new(),
            opening: Vec::new(),
            told: Vec::new(),
            posts: Vec::new(),
            answers: Vec::new(),
            log: Vec::new(),
            reads: 0,
            over: false,
            without_contact: 0,
        };
        play.carry_out();
        play
    }

    fn carry_out(&mut self) {
        for effect in self.round.take() {
            match effect {
                Effect::Open { feed, address, path, messages: notes } => {
                    self.opening = notes;
                    assert!(self.open.iter().all(|(n, a, _)| *n != feed && *a != address), "{address}");
                    self.open.push((feed, address, path));
                    assert!(self.open.len() <= 2 + self.without_contact);
                }
                Effect::Close { feed } => self.open.retain(|(n, ..)| *n != feed),
                Effect::SendToControl { feed, to, message: note } => {
                    assert!(self.open.iter().any(|(n, a, _)| *n == feed && *a == to));
                    self.posts.push((to, note));
                }
                Effect::SendToProxy(note) => self.told.push(note),
                Effect::AnswerProxy { read } => self.answers.push(read),
                Effect::ReadSettings => self.reads += 1,
                Effect::Log(level, text) => self.log.push((level, text)),
                Effect::Exit => self.over = true,
            }
        }
    }

    fn give(&mut self, input: Input) {
        self.round.handle(self.now, input);
        self.carry_out();
    }

    /// Time passes, with a tick each 100 ms.
    fn pass(&mut self, span: Nanos) {
        for _ in 0..span / (100 * MS) {
            self.now += 100 * MS;
            self.give(Input::Tick);
        }
    }

    fn feed(&self, n: u8) -> u64 {
        self.open.iter().find(|(_, a, _)| *a == at(n)).expect("it is followed").0
    }

    /// A line from a feed that is open.
    fn line(&mut self, n: u8, notes: &[PeerMessage]) {
        let feed = self.feed(n);
        self.give(Input::FeedLine { feed, line: line(notes) });
    }

    fn ended(&mut self, n: u8) {
        let feed = self.feed(n);
        self.open.retain(|(of, ..)| *of != feed);
        self.give(Input::FeedEnded { feed });
    }

    fn letter(&mut self, notes: &[PeerMessage]) {
        let notes = JsonValue::Array(notes.iter().map(PeerMessage::to_json).collect());
        let parts = [
            ("from", JsonValue::from("edge-1".to_owned())),
            ("life", JsonValue::from(1.0)),
            ("notes", notes),
        ];
        self.give(Input::ProxyMessages(object(parts).stringify().expect("JSON").into()));
    }

    /// Those who are followed; who brings whole configurations.
    fn followed(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let mut all: Vec<_> = self.open.iter().map(|(_, a, _)| *a).collect();
        all.sort();
        let whole = self.open.iter().filter(|(.., path)| *path == "/follow");
        (all, whole.map(|(_, a, _)| *a).collect())
    }
}

fn line(notes: &[PeerMessage]) -> Bytes {
    let notes = JsonValue::Array(notes.iter().map(PeerMessage::to_json).collect());
    object([("n", JsonValue::from(7.0)), ("notes", notes)]).stringify().expect("JSON").into()
}

#[yare::parameterized(
    older_config = { vec![whole(5), whole(4)], vec![whole(5)] },
    same_config = { vec![packed(5), whole(5)], vec![packed(5)] },
    older_pack = { vec![packed(5), packed(2), packed(6)], vec![packed(5), packed(6)] },
    patches = { vec![packed(2), patch(2, 3), patch(2, 3), patch(3, 5), patch(1, 4)],
        vec![packed(2), patch(2, 3), patch(3, 5)] },
    gap = { vec![packed(2), patch(3, 4), packed(4), patch(4, 5)], vec![packed(2), packed(4), patch(4, 5)] },
    nothing_to_change = { vec![patch(0, 1), whole(1)], vec![whole(1)] },
    spoilt_config = { vec![PeerMessage::Config { revision: 3, body: JsonValue::Null }, whole(2)], vec![whole(2)] },
    spoilt_pack = { vec![PeerMessage::PackedConfig { revision: 3, packed: "?".to_owned() }, packed(2)], vec![packed(2)] },
    newest_stalls = { vec![stalls((2, 1)), stalls((1, 9)), stalls((2, 1)), stalls((2, 2))],
        vec![stalls((2, 1)), stalls((2, 2))] },
    shifts = {
        vec![
            shift((1, 9), (2, 1), &[], &["edge-1"]),
            stalls((2, 1)),
            shift((2, 1), (2, 4), &["edge-2"], &[]),
            shift((2, 1), (2, 4), &["edge-2"], &[]),
            shift((2, 1), (1, 9), &["edge-4"], &[]),
            shift((2, 4), (2, 3), &["edge-5"], &[]),
            shift((2, 4), (3, 1), &[], &[]),
        ],
        vec![stalls((2, 1)), shift((2, 1), (2, 4), &["edge-2"], &[]), shift((2, 4), (3, 1), &[], &[])]
    },
    newest_instances = {
        vec![
            instances((1, 4), true, &["a"], &[]),
            instances((1, 3), true, &["old"], &[]),
            instances((1, 4), false, &["same"], &[]),
            instances((1, 4), true, &["a", "b"], &[]),
            instances((1, 5), false, &["c"], &["a"]),
        ],
        vec![
            instances((1, 4), true, &["a"], &[]),
            instances((1, 4), true, &["a", "b"], &[]),
            instances((1, 5), false, &["c"], &["a"]),
        ]
    },
    says_another = {
        vec![whole(5), PeerMessage::Config { revision: 9, body: config(3, 1).to_value() }, PeerMessage::Patch {
            revision: 9,
            change: change::diff(&config(5, 5), &config(4, 4)),
        }],
        vec![whole(5)]
    },
    not_for_a_porter = { vec![PeerMessage::CancelRequest { id: 1 }, alive(), acts(3)], vec![] },
)]
fn the_stall_is_never_told_what_is_older(come: Vec<PeerMessage>, told: Vec<PeerMessage>) {
    // Of both who are followed, in turns, or in one line: whoever tells it.
    for both in [true, false] {
        let mut play = Play::new(&[1, 2]);
        if both {
            for (n, note) in come.iter().enumerate() {
                play.line(1 + (n % 2) as u8, std::slice::from_ref(note));
            }
        } else {
            play.line(1, &come);
        }
        assert_eq!(play.told, told, "{both}");
    }
}

#[test]
fn one_of_two_brings_whole_configurations_and_all_are_answered() {
    let mut play = Play::new(&[1, 2, 3]);
    let (all, whole) = play.followed();
    assert_eq!((all.len(), whole.len()), (2, 1));
    let feeds: Vec<_> = play.open.iter().map(|(feed, ..)| *feed).collect();
    for feed in feeds {
        play.give(Input::FeedLine { feed, line: line(&[]) });
    }
    assert_eq!(play.posts.len(), 2);
    assert!(
        play.posts.iter().all(|(_, note)| *note == PeerMessage::ConfigApplied { revision: 0, number: 7 })
    );
}

#[test]
fn a_change_that_was_missed_leads_to_a_whole_one() {
    let mut play = Play::new(&[1, 2]);
    let whole_from = play.followed().1[0];
    let (heavy, light) = if whole_from == at(1) { (1, 2) } else { (2, 1) };
    play.line(heavy, &[packed(2)]);
    // So early the other may be about to bring it.
    play.line(light, &[patch(3, 4)]);
    assert_eq!(play.followed(), (vec![at(1), at(2)], vec![at(heavy)]));
    play.pass(600 * MS);
    // Who sends whole ones begins anew, and with that: it may have no other reason to send it before the next change.
    let before = play.feed(heavy);
    play.line(heavy, &[patch(3, 4)]);
    assert_eq!(play.followed(), (vec![at(1), at(2)], vec![at(heavy)]));
    assert_ne!(play.feed(heavy), before);
    assert_eq!(play.opening, [acts(2)]);
    let before = play.feed(light);
    play.line(light, &[patch(3, 4)]);
    assert_eq!(play.followed(), (vec![at(light)], vec![at(light)]));
    assert_ne!(play.feed(light), before);
    play.line(light, &[packed(4)]);
    play.pass(100 * MS);
    assert_eq!(play.followed(), (vec![at(1), at(2)], vec![at(light)]));
    assert_eq!(play.told, [packed(2), packed(4)]);
}

#[test]
fn another_steward_is_followed_and_hears_what_goes_up() {
    let mut play = Play::new(&[1, 2]);
    play.line(1, &[steward(1, 2)]);
    play.letter(&[alive(), PeerMessage::RetireInstance { instance: "i".into() }]);
    let up: Vec<_> =
        play.posts.iter().filter(|(_, note)| !matches!(note, PeerMessage::ConfigApplied { .. })).collect();
    assert_eq!(up.len(), 2);
    assert!(up.iter().all(|(to, _)| *to == at(2)));
    // One that is no seed, by a higher fence; a lower one is passed over.
    play.line(2, &[steward(3, 9), steward(2, 1)]);
    let (all, whole) = play.followed();
    assert!(all.contains(&at(9)) && all.len() == 2 && whole.len() == 1);
    play.posts.clear();
    play.letter(&[PeerMessage::InstanceDown { instance: "i".into() }]);
    assert_eq!(play.posts, [(at(9), PeerMessage::InstanceDown { instance: "i".into() })]);
    // While nobody is known there, nothing goes up; it is followed again after a pause.
    play.ended(9);
    play.posts.clear();
    play.letter(&[PeerMessage::InstanceDown { instance: "i".into() }]);
    assert_eq!((play.posts.len(), play.answers.last()), (0, Some(&true)));
    play.pass(100 * MS);
    assert!(play.followed().0.contains(&at(9)));
    // Mail that came back is told, of feeds that are open.
    let feed = play.feed(9);
    play.give(Input::MessagesLost { feed, messages: 3 });
    play.give(Input::MessagesLost { feed: 1_000, messages: 3 });
    let lost = play.log.iter().filter(|(level, _)| *level == Level::Debug).count();
    assert_eq!(lost, 1, "{:?}", play.log);
}

/// The steward and another are cut off together: a third is followed, which hears of the next steward; both are let go for it.
#[test]
fn who_has_lost_contact_is_not_all_that_is_followed() {
    let mut play = Play::new(&[1, 2, 3]);
    let before = play.followed();
    let (two, third): (Vec<u8>, Vec<u8>) = (1..=3).partition(|n| before.0.contains(&at(*n)));
    let (leader, third) = (two[0], third[0]);
    play.line(two[1], &[steward(1, leader), packed(2)]);
    play.without_contact = 2;
    two.iter().for_each(|n| play.line(*n, &[PeerMessage::Contact { holds: false }]));
    play.pass(300 * MS);
    assert_eq!(play.followed(), before, "it may have contact again in a moment");
    play.pass(200 * MS);
    let (all, whole) = play.followed();
    assert!(all.len() == 3 && all.contains(&at(third)) && whole.contains(&at(third)), "{all:?} {whole:?}");
    play.line(third, &[packed(3)]);
    assert_eq!(play.told.last(), Some(&packed(3)));
    // Contact is there again: two are enough, the steward among them.
    two.iter().for_each(|n| play.line(*n, &[PeerMessage::Contact { holds: true }]));
    let (all, whole) = play.followed();
    assert!(all.len() == 2 && all.contains(&at(leader)) && !whole.is_empty(), "{all:?} {whole:?}");
}

#[test]
fn a_stall_that_starts_anew_gets_everything() {
    let mut play = Play::new(&[1, 2]);
    play.give(Input::ProxyUp);
    assert_eq!(play.told, []);
    let heavy = if play.followed().1 == [at(1)] { 1 } else { 2 };
    play.line(heavy, &[packed(2), stalls((1, 1)), instances((1, 2), true, &["a", "b"], &[])]);
    play.line(heavy, &[instances((1, 3), false, &["c"], &["a"])]);
    let all = [packed(2), instances((1, 3), true, &["b", "c"], &[]), stalls((1, 1))];
    // Its mail comes through again; it says that it acts on nothing; on less than before.
    for revision in [None, Some(0), Some(2), Some(1)] {
        play.told.clear();
        match revision {
            None => play.give(Input::ProxyUp),
            Some(revision) => play.letter(&[acts(revision)]),
        }
        let expected = if revision == Some(2) { &[][..] } else { &all };
        assert_eq!(play.told, expected, "{revision:?}");
    }
    // After changes the whole is what they came to.
    play.line(heavy, &[patch(2, 3)]);
    play.told.clear();
    play.give(Input::ProxyUp);
    assert_eq!(play.told[0], packed(3));
}

#[test]
fn a_stall_that_is_behind_gets_the_whole_once_a_second() {
    let mut play = Play::new(&[1]);
    play.line(1, &[packed(2)]);
    play.letter(&[acts(2)]);
    play.line(1, &[patch(2, 3)]);
    play.told.clear();
    for _ in 0..25 {
        play.pass(100 * MS);
        play.letter(&[acts(2)]);
    }
    assert_eq!(play.told, [packed(3), packed(3)]);
    play.letter(&[acts(3)]);
    assert_eq!(play.posts.last(), Some(&(at(1), acts(3))));
}

#[test]
fn pauses_grow_with_failures_and_a_long_feed_ends_them() {
    let mut play = Play::new(&[1]);
    // Past the first moments of the process.
    play.pass(4 * SECOND);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        play.ended(1);
        let mut pause = 0;
        while play.open.is_empty() {
            play.pass(100 * MS);
            pause += 100;
        }
        pauses.push(pause);
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1_000, 1_000]);
    play.line(1, &[]);
    play.pass(6 * SECOND);
    play.ended(1);
    play.pass(100 * MS);
    assert_eq!(play.followed().0, [at(1)]);
}

/// After a loss of all power control and agents start in one moment: an agent whose first tries had failed came to the new leader 400 ms
/// after the others, and its proxy was named that much later.
#[test]
fn an_agent_that_starts_tries_on_without_longer_pauses_until_somebody_is_heard() {
    let mut play = Play::new(&[1]);
    let pause = |play: &mut Play| {
        play.ended(1);
        let before = play.now;
        while play.open.is_empty() {
            play.pass(100 * MS);
        }
        (play.now - before) / MS
    };
    assert_eq!([(); 8].map(|()| pause(&mut play)), [100; 8]);
    play.line(1, &[]);
    assert_eq!([(); 3].map(|()| pause(&mut play)), [200, 400, 800]);
}

#[test]
fn seeds_change_and_the_end_comes_in_time() {
    let mut play = Play::new(&[1]);
    play.pass(2 * SECOND);
    assert_eq!(play.reads, 2);
    play.give(Input::Seeds(vec![at(1)]));
    assert_eq!(play.log, []);
    play.give(Input::Seeds(vec![at(2), at(3)]));
    play.pass(100 * MS);
    assert!(play.log[0].1.starts_with("seeds are now") && play.followed().0.len() == 2);
    play.give(Input::Shutdown);
    play.pass(5_400 * MS);
    play.give(Input::Shutdown);
    assert!(!play.over);
    play.pass(100 * MS);
    assert!(play.over);
}

#[test]
fn what_is_left_of_a_closed_feed_is_not_taken_for_the_one_after_it() {
    let mut play = Play::new(&[1, 2]);
    let light = if play.followed().1 == [at(1)] { 2 } else { 1 };
    let before = play.feed(light);
    play.pass(600 * MS);
    play.line(light, &[patch(3, 4)]);
    let after = play.feed(light);
    assert_ne!(before, after);
    play.give(Input::FeedEnded { feed: before });
    assert_eq!(play.feed(light), after);
    play.line(light, &[packed(4)]);
    // It would tell of a steward, and be answered.
    play.posts.clear();
    play.give(Input::FeedLine { feed: before, line: line(&[steward(5, 9), packed(5)]) });
    assert_eq!((play.told.len(), play.posts.len(), play.round.feeds().leader()), (1, 0, None));
    // The old one counts for nothing, so nobody is opened twice.
    play.pass(SECOND);
    assert_eq!((play.feed(light), play.open.len()), (after, 2));
}

#[test]
fn where_much_comes_control_is_looked_after_all_the_same() {
    let mut play = Play::new(&[1]);
    play.ended(1);
    for _ in 0..40 {
        play.now += 30 * MS;
        play.letter(&[alive()]);
    }
    assert_eq!((play.followed().0, play.reads), (vec![at(1)], 1));
}

#[test]
fn a_pause_is_not_forgotten_while_the_next_try_hangs() {
    let mut play = Play::new(&[1]);
    play.pass(4 * SECOND);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        // It accepts and says nothing.
        play.pass(700 * MS);
        play.ended(1);
        let before = play.now;
        while play.open.is_empty() {
            play.pass(100 * MS);
        }
        pauses.push((play.now - before) / MS);
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1_000, 1_000]);
}

#[yare::parameterized(
    no_json = { b"\xff\xfe{" },
    no_object = { b"[1]" },
    cut = { b"{\"n\":1,\"notes\":[{\"t\":\"config\"" },
    no_text = { b"{\"n\":\"\xc3\"}" },
)]
fn a_feed_of_garbage_is_dropped_and_waits_longer_each_time(garbage: &'static [u8]) {
    let mut play = Play::new(&[1]);
    let mut opened = 0;
    for _ in 0..100 {
        play.pass(100 * MS);
        if let Some((feed, ..)) = play.open.first().copied() {
            opened += 1;
            for _ in 0..3 {
                play.give(Input::FeedLine { feed, line: Bytes::from_static(garbage) });
            }
            assert_eq!(play.open, []);
        }
    }
    // Ten seconds, with pauses of up to one.
    assert!((8..=16).contains(&opened), "{opened}");
    assert_eq!(play.log.len(), opened);
    assert_eq!((play.told.len(), play.posts.len()), (0, 0));
}

#[test]
fn where_only_changes_can_come_the_whole_is_asked_for() {
    let mut play = Play::new(&[1, 2, 3]);
    let heavy = play.open.iter().find(|(.., path)| *path == "/follow").expect("one").1;
    let light = play.open.iter().find(|(_, a, _)| *a != heavy).expect("another").1;
    let n = (1..=3).find(|n| at(*n) == light).expect("it is a seed");
    // Of all control machines only this one is reached, and it was asked for changes only.
    for _ in 0..30 {
        let notes = if play.open.iter().any(|(_, a, path)| *a == light && *path == "/follow") {
            vec![packed(2)]
        } else {
            vec![]
        };
        play.line(n, &notes);
        play.pass(100 * MS);
        let others: Vec<_> =
            play.open.iter().map(|(f, a, _)| (*f, *a)).filter(|(_, a)| *a != light).collect();
        for (feed, _) in others {
            play.open.retain(|(of, ..)| *of != feed);
            play.give(Input::FeedEnded { feed });
        }
    }
    assert_eq!(play.told, [packed(2)]);
    assert!(play.followed().0.contains(&light));
}

#[test]
fn a_stall_that_is_silent_is_not_spoken_for() {
    let mut play = Play::new(&[1]);
    for (silent, notes) in [(SECOND, vec![alive(), acts(0)]), (2 * SECOND, vec![acts(0)])] {
        play.letter(&[alive()]);
        play.pass(silent);
        play.ended(1);
        play.pass(200 * MS);
        assert_eq!((play.open.len(), &play.opening), (1, &notes));
    }
}

#[test]
fn what_the_mail_to_the_stall_could_not_take_is_told_again() {
    let mut play = Play::new(&[1]);
    play.line(1, &[packed(2), instances((1, 1), true, &["a"], &[])]);
    play.told.clear();
    for _ in 0..3 {
        play.give(Input::ProxyQueueFull);
    }
    play.pass(900 * MS);
    assert_eq!((play.told.len(), play.log.len()), (0, 1));
    play.pass(100 * MS);
    assert_eq!(play.told, [packed(2), instances((1, 1), true, &["a"], &[])]);
    play.pass(3 * SECOND);
    assert_eq!(play.told.len(), 2);
}

#[test]
fn notes_that_cannot_be_read_are_told_and_the_others_stand() {
    let mut play = Play::new(&[1]);
    let letter = br#"{"from":"edge-1","life":1,"notes":[{"t":"acts","v":-1},{"t":"acts","v":3,"n":0}]}"#;
    play.give(Input::ProxyMessages(Bytes::from_static(letter)));
    assert_eq!((play.answers.as_slice(), play.round.proxy_revision()), (&[true][..], 3));
    assert_eq!(play.log, [(Level::Warn, "a note of edge-1: v: no whole number".to_owned())]);
    play.give(Input::ProxyMessages(Bytes::from_static(b"[]")));
    assert_eq!(play.answers, [true, false]);
}

#[test]
fn whatever_control_sends_memory_is_bounded() {
    let mut play = Play::new(&[1, 2]);
    // Instances without end, long ones.
    let long = "x".repeat(1_000);
    for n in 0..100_u64 {
        let ids: Vec<_> = (0..100).map(|i| format!("{long}{n}.{i}")).collect();
        let ids: Vec<_> = ids.iter().map(String::as_str).collect();
        play.line(1, &[instances((1, n), false, &ids, &[])]);
        let told = play.told.drain(..).all(|note| match note {
            PeerMessage::Instances { set, .. } => set.len() < 100,
            _ => true,
        });
        assert!(told == (n > 58) || (55..=58).contains(&n), "{n}");
    }
    assert!(play.round.latest().instances() < 6_000);
    // Once there is room again, it is used.
    play.line(1, &[instances((2, 0), true, &["a"], &[])]);
    assert_eq!(play.round.latest().instances(), 1);
    // Notes without end.
    play.log.clear();
    let spoilt = format!(r#"{{"n":1,"notes":[{}1]}}"#, "1,".repeat(9_000));
    let feed = play.feed(1);
    play.give(Input::FeedLine { feed, line: spoilt.into() });
    assert!(play.log.len() < 10 && play.open.len() == 2);
    let spoilt = format!(r#"{{"n":1,"notes":[{}1]}}"#, "1,".repeat(50_000));
    play.give(Input::FeedLine { feed, line: spoilt.into() });
    assert!(play.log.len() < 10 && play.open.len() == 1);
    // Stewards without end.
    for n in 0..300_u64 {
        let to = SocketAddr::from(([10, 9, (n / 250) as u8, (n % 250) as u8], 1));
        let fence = n + 1;
        let feed = play.open.first().expect("one").0;
        play.give(Input::FeedLine {
            feed,
            line: line(&[PeerMessage::Leader { address: to.to_string().into(), fence }]),
        });
        let last = play.open.iter().find(|(_, a, _)| *a == to).expect("it is followed").0;
        play.open.retain(|(of, ..)| *of != last);
        play.give(Input::FeedEnded { feed: last });
    }
    assert!(play.round.feeds().tracked_addresses() <= 2 + 32 + 64 + 2);
}

/// A porter or a stall that was started alone, a new steward whose naming goes from one that is not known here.
#[test]
fn a_naming_that_goes_from_another_leads_to_a_snapshot_and_a_stall_that_lacks_one_gets_all() {
    let mut play = Play::new(&[1, 2]);
    play.line(2, &[]);
    play.line(1, &[steward(1, 1), stalls((1, 1))]);
    let before = (play.feed(1), play.followed());
    play.line(1, &[shift((1, 1), (1, 2), &["edge-2"], &[]), shift((1, 3), (1, 4), &["edge-4"], &[])]);
    assert_ne!(play.feed(1), before.0);
    assert_eq!(play.followed(), before.1, "the same two, and the same brings whole configurations");
    // What comes before the snapshot opens no further one, and nothing that does not meet goes on.
    let again = play.feed(1);
    play.line(1, &[shift((1, 4), (1, 5), &[], &["edge-4"])]);
    assert_eq!(play.feed(1), again);
    assert_eq!(play.told, [stalls((1, 1)), shift((1, 1), (1, 2), &["edge-2"], &[])]);
    play.pass(600 * MS);
    assert_ne!(play.feed(1), again);
    let again = play.feed(1);
    play.line(1, &[stalls((1, 5)), shift((1, 5), (1, 6), &["edge-2", "edge-3"], &["edge-1"])]);
    play.pass(SECOND);
    assert_eq!(play.feed(1), again);
    // The stall is told what it came to, however far it is behind; one that is not is told nothing.
    play.told.clear();
    play.letter(&[PeerMessage::ViewOutdated { version: (1, 6) }]);
    assert_eq!(play.told, []);
    play.letter(&[PeerMessage::ViewOutdated { version: (1, 5) }]);
    let [PeerMessage::FullView { version: (1, 6), peers, .. }] = play.told.as_slice() else {
        panic!("{:?}", play.told)
    };
    assert_eq!(peers.iter().map(|p| p.name.as_str()).collect::<Vec<_>>(), ["edge-2", "edge-3"]);
    assert!(play.posts.iter().all(|(_, note)| !matches!(note, PeerMessage::ViewOutdated { .. })));
}

#[test]
fn a_stall_that_starts_is_told_first_that_it_rests_until_that_is_over() {
    let mut play = Play::new(&[1]);
    let rest = |left: f64| PeerMessage::Drain { name: "edge-1".into(), left };
    play.line(1, &[rest(1_000.0), whole(1)]);
    assert_eq!(std::mem::take(&mut play.told), [rest(1_000.0), whole(1)]);
    // The stall's own word goes up.
    play.letter(&[rest(900.0)]);
    play.now += 400 * MS;
    play.give(Input::ProxyUp);
    assert_eq!(std::mem::take(&mut play.told), [rest(600.0), packed(1)]);
    play.now += 600 * MS;
    play.give(Input::ProxyUp);
    assert_eq!(std::mem::take(&mut play.told), [packed(1)]);
    play.line(1, &[rest(1_000.0), rest(0.0)]);
    play.told.clear();
    play.give(Input::ProxyUp);
    assert_eq!(play.told, [packed(1)]);
}

/// A stall that has started asks which configuration stands; whoever is followed may say, and what is said goes down. Anything else in
/// an answer does not.
#[test]
fn a_stall_that_starts_hears_from_control_which_configuration_stands() {
    let mut play = Play::new(&[1, 2]);
    play.line(1, &[steward(1, 1), whole(1)]);
    play.line(2, &[]);
    play.posts.clear();
    play.letter(&[PeerMessage::QueryRevision]);
    assert_eq!(play.posts.iter().filter(|(_, note)| *note == PeerMessage::QueryRevision).count(), 2);
    play.told.clear();
    let answer = |notes: &[PeerMessage]| {
        let notes: Vec<_> = notes.iter().map(|note| note.to_json().stringify().expect("text")).collect();
        let text = format!(r#"{{"from":"10.0.0.1:1","life":0,"notes":[{}]}}"#, notes.join(","));
        Input::ControlAnswered(Bytes::from(text))
    };
    play.give(answer(&[PeerMessage::CommittedRevision { revision: 3 }, steward(9, 9)]));
    assert_eq!(play.told, [PeerMessage::CommittedRevision { revision: 3 }]);
    play.give(Input::ControlAnswered(Bytes::from_static(b"{")));
    assert_eq!(play.told.len(), 1);
}

/// After changes the whole of it went as a tree of values, ten times the memory of its text, to each stall that was behind.
#[test]
fn the_whole_goes_packed_also_after_changes_to_it() {
    let mut play = Play::new(&[1]);
    play.line(1, &[whole(1)]);
    let (old, new) = (config(1, 1), config(2, 2));
    play.line(1, &[PeerMessage::Patch { revision: 2, change: millpost_config::change::diff(&old, &new) }]);
    play.told.clear();
    play.give(Input::ProxyUp);
    let packed = millpost_net::pack::pack(&new.to_json()).expect("packed");
    assert_eq!(play.told, [PeerMessage::PackedConfig { revision: 2, packed }]);
}
