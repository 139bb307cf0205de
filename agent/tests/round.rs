//! The agent's state machine: the feeds that it opens and closes, and what it sends to the proxy and to
//! controllers.

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

fn full(revision: u64) -> PeerMessage {
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

fn membership(version: (u64, u64)) -> PeerMessage {
    let peers = vec![Peer { name: "edge-1".into(), address: "10.0.1.1:7760".into(), zone: "a".into() }];
    PeerMessage::FullView { version, peers, leaving: vec![], split: vec![] }
}

fn membership_change(from: (u64, u64), version: (u64, u64), came: &[&str], left: &[&str]) -> PeerMessage {
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

fn leader(fence: u64, n: u8) -> PeerMessage {
    PeerMessage::Leader { address: at(n).to_string().into(), fence }
}

fn alive() -> PeerMessage {
    let peer = Peer { name: "edge-1".into(), address: "10.0.1.1:7760".into(), zone: "a".into() };
    PeerMessage::Heartbeat { peer, serving: true, split: None, digest: None }
}

fn acts(revision: u64) -> PeerMessage {
    PeerMessage::ConfigApplied { revision, number: 0 }
}

/// An agent, and the effects that it has asked for.
struct Harness {
    agent: Agent,
    now: Nanos,
    /// Open feeds: number, address, path.
    open: Vec<(u64, SocketAddr, &'static str)>,
    /// The messages in the request of the last feed that was opened.
    opening: Vec<PeerMessage>,
    /// Messages to the proxy.
    to_proxy: Vec<PeerMessage>,
    /// Messages to controllers, with their addresses.
    to_control: Vec<(SocketAddr, PeerMessage)>,
    /// Whether each batch from the proxy could be parsed.
    answers: Vec<bool>,
    log: Vec<(Level, String)>,
    settings_reads: usize,
    exited: bool,
    /// How many of the followed controllers have lost contact.
    without_contact: usize,
}

impl Harness {
    fn new(seeds: &[u8]) -> Self {
        let seeds = seeds.iter().map(|n| at(*n)).collect();
        let config = AgentConfig { name: "edge-1".into(), life: 0, seeds, grace: 6 * SECOND };
        let mut harness = Harness {
            agent: Agent::new(config, 0),
            now: 0,
            open: Vec::new(),
            opening: Vec::new(),
            to_proxy: Vec::new(),
            to_control: Vec::new(),
            answers: Vec::new(),
            log: Vec::new(),
            settings_reads: 0,
            exited: false,
            without_contact: 0,
        };
        harness.run_effects();
        harness
    }

    fn run_effects(&mut self) {
        for effect in self.agent.take() {
            match effect {
                Effect::Open { feed, address, path, messages } => {
                    self.opening = messages;
                    assert!(self.open.iter().all(|(n, a, _)| *n != feed && *a != address), "{address}");
                    self.open.push((feed, address, path));
                    assert!(self.open.len() <= 2 + self.without_contact);
                }
                Effect::Close { feed } => self.open.retain(|(n, ..)| *n != feed),
                Effect::SendToControl { feed, to, message } => {
                    assert!(self.open.iter().any(|(n, a, _)| *n == feed && *a == to));
                    self.to_control.push((to, message));
                }
                Effect::SendToProxy(message) => self.to_proxy.push(message),
                Effect::AnswerProxy { read } => self.answers.push(read),
                Effect::ReadSettings => self.settings_reads += 1,
                Effect::Log(level, text) => self.log.push((level, text)),
                Effect::Exit => self.exited = true,
            }
        }
    }

    fn handle(&mut self, input: Input) {
        self.agent.handle(self.now, input);
        self.run_effects();
    }

    /// Advances the time, with a tick every 100 ms.
    fn advance(&mut self, span: Nanos) {
        for _ in 0..span / (100 * MS) {
            self.now += 100 * MS;
            self.handle(Input::Tick);
        }
    }

    fn feed(&self, n: u8) -> u64 {
        self.open.iter().find(|(_, a, _)| *a == at(n)).expect("a followed controller").0
    }

    /// A line from the open feed of a controller.
    fn line(&mut self, n: u8, messages: &[PeerMessage]) {
        let feed = self.feed(n);
        self.handle(Input::FeedLine { feed, line: line(messages) });
    }

    fn ended(&mut self, n: u8) {
        let feed = self.feed(n);
        self.open.retain(|(of, ..)| *of != feed);
        self.handle(Input::FeedEnded { feed });
    }

    /// A message batch from the proxy.
    fn proxy_sends(&mut self, messages: &[PeerMessage]) {
        let messages = JsonValue::Array(messages.iter().map(PeerMessage::to_json).collect());
        let parts = [
            ("from", JsonValue::from("edge-1".to_owned())),
            ("life", JsonValue::from(1.0)),
            ("notes", messages),
        ];
        self.handle(Input::ProxyMessages(object(parts).stringify().expect("JSON").into()));
    }

    /// The followed controllers, and those of them whose feeds carry full configurations.
    fn followed(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let mut all: Vec<_> = self.open.iter().map(|(_, a, _)| *a).collect();
        all.sort();
        let full = self.open.iter().filter(|(.., path)| *path == "/follow");
        (all, full.map(|(_, a, _)| *a).collect())
    }
}

fn line(messages: &[PeerMessage]) -> Bytes {
    let messages = JsonValue::Array(messages.iter().map(PeerMessage::to_json).collect());
    object([("n", JsonValue::from(7.0)), ("notes", messages)]).stringify().expect("JSON").into()
}

#[yare::parameterized(
    older_config = { vec![full(5), full(4)], vec![full(5)] },
    same_config = { vec![packed(5), full(5)], vec![packed(5)] },
    older_pack = { vec![packed(5), packed(2), packed(6)], vec![packed(5), packed(6)] },
    patches = { vec![packed(2), patch(2, 3), patch(2, 3), patch(3, 5), patch(1, 4)],
        vec![packed(2), patch(2, 3), patch(3, 5)] },
    missing_base = { vec![packed(2), patch(3, 4), packed(4), patch(4, 5)],
        vec![packed(2), packed(4), patch(4, 5)] },
    patch_without_config = { vec![patch(0, 1), full(1)], vec![full(1)] },
    invalid_config = {
        vec![PeerMessage::Config { revision: 3, body: JsonValue::Null }, full(2)],
        vec![full(2)]
    },
    invalid_pack = {
        vec![PeerMessage::PackedConfig { revision: 3, packed: "?".to_owned() }, packed(2)],
        vec![packed(2)]
    },
    older_membership = { vec![membership((2, 1)), membership((1, 9)), membership((2, 1)), membership((2, 2))],
        vec![membership((2, 1)), membership((2, 2))] },
    membership_changes = {
        vec![
            membership_change((1, 9), (2, 1), &[], &["edge-1"]),
            membership((2, 1)),
            membership_change((2, 1), (2, 4), &["edge-2"], &[]),
            membership_change((2, 1), (2, 4), &["edge-2"], &[]),
            membership_change((2, 1), (1, 9), &["edge-4"], &[]),
            membership_change((2, 4), (2, 3), &["edge-5"], &[]),
            membership_change((2, 4), (3, 1), &[], &[]),
        ],
        vec![
            membership((2, 1)),
            membership_change((2, 1), (2, 4), &["edge-2"], &[]),
            membership_change((2, 4), (3, 1), &[], &[]),
        ]
    },
    older_instances = {
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
    other_revision_in_body = {
        vec![full(5), PeerMessage::Config { revision: 9, body: config(3, 1).to_value() }, PeerMessage::Patch {
            revision: 9,
            change: change::diff(&config(5, 5), &config(4, 4)),
        }],
        vec![full(5)]
    },
    other_messages = { vec![PeerMessage::CancelRequest { id: 1 }, alive(), acts(3)], vec![] },
)]
fn the_proxy_is_never_sent_older_state(received: Vec<PeerMessage>, passed_on: Vec<PeerMessage>) {
    // From both feeds in turns, or in one line of one feed.
    for both in [true, false] {
        let mut harness = Harness::new(&[1, 2]);
        if both {
            for (n, message) in received.iter().enumerate() {
                harness.line(1 + (n % 2) as u8, std::slice::from_ref(message));
            }
        } else {
            harness.line(1, &received);
        }
        assert_eq!(harness.to_proxy, passed_on, "{both}");
    }
}

#[test]
fn one_feed_carries_full_configurations_and_every_line_is_acknowledged() {
    let mut harness = Harness::new(&[1, 2, 3]);
    let (all, full) = harness.followed();
    assert_eq!((all.len(), full.len()), (2, 1));
    let feeds: Vec<_> = harness.open.iter().map(|(feed, ..)| *feed).collect();
    for feed in feeds {
        harness.handle(Input::FeedLine { feed, line: line(&[]) });
    }
    assert_eq!(harness.to_control.len(), 2);
    assert!(
        harness
            .to_control
            .iter()
            .all(|(_, message)| *message == PeerMessage::ConfigApplied { revision: 0, number: 7 })
    );
}

#[test]
fn a_missed_change_leads_to_a_full_configuration() {
    let mut harness = Harness::new(&[1, 2]);
    let full_from = harness.followed().1[0];
    let (full, light) = if full_from == at(1) { (1, 2) } else { (2, 1) };
    harness.line(full, &[packed(2)]);
    // Shortly after the start the other feed may be about to send the base.
    harness.line(light, &[patch(3, 4)]);
    assert_eq!(harness.followed(), (vec![at(1), at(2)], vec![at(full)]));
    harness.advance(600 * MS);
    // The feed of full configurations is reopened and begins with one; it might not send one before the next
    // change otherwise.
    let before = harness.feed(full);
    harness.line(full, &[patch(3, 4)]);
    assert_eq!(harness.followed(), (vec![at(1), at(2)], vec![at(full)]));
    assert_ne!(harness.feed(full), before);
    assert_eq!(harness.opening, [acts(2)]);
    let before = harness.feed(light);
    harness.line(light, &[patch(3, 4)]);
    assert_eq!(harness.followed(), (vec![at(light)], vec![at(light)]));
    assert_ne!(harness.feed(light), before);
    harness.line(light, &[packed(4)]);
    harness.advance(100 * MS);
    assert_eq!(harness.followed(), (vec![at(1), at(2)], vec![at(light)]));
    assert_eq!(harness.to_proxy, [packed(2), packed(4)]);
}

#[test]
fn a_new_leader_is_followed_and_gets_the_proxys_messages() {
    let mut harness = Harness::new(&[1, 2]);
    harness.line(1, &[leader(1, 2)]);
    harness.proxy_sends(&[alive(), PeerMessage::RetireInstance { instance: "i".into() }]);
    let forwarded: Vec<_> = harness
        .to_control
        .iter()
        .filter(|(_, message)| !matches!(message, PeerMessage::ConfigApplied { .. }))
        .collect();
    assert_eq!(forwarded.len(), 2);
    assert!(forwarded.iter().all(|(to, _)| *to == at(2)));
    // A leader that is not a seed, with a higher fence; a lower fence is ignored.
    harness.line(2, &[leader(3, 9), leader(2, 1)]);
    let (all, full) = harness.followed();
    assert!(all.contains(&at(9)) && all.len() == 2 && full.len() == 1);
    harness.to_control.clear();
    harness.proxy_sends(&[PeerMessage::InstanceDown { instance: "i".into() }]);
    assert_eq!(harness.to_control, [(at(9), PeerMessage::InstanceDown { instance: "i".into() })]);
    // While its feed is down, nothing is sent to it; it is followed again after a pause.
    harness.ended(9);
    harness.to_control.clear();
    harness.proxy_sends(&[PeerMessage::InstanceDown { instance: "i".into() }]);
    assert_eq!((harness.to_control.len(), harness.answers.last()), (0, Some(&true)));
    harness.advance(100 * MS);
    assert!(harness.followed().0.contains(&at(9)));
    // Undelivered messages are logged for open feeds.
    let feed = harness.feed(9);
    harness.handle(Input::MessagesLost { feed, messages: 3 });
    harness.handle(Input::MessagesLost { feed: 1_000, messages: 3 });
    let lost = harness.log.iter().filter(|(level, _)| *level == Level::Debug).count();
    assert_eq!(lost, 1, "{:?}", harness.log);
}

/// The leader and another controller are cut off together, and both feeds stay open. Without a third feed the
/// agent would not learn of the next leader.
#[test]
fn a_third_controller_is_followed_when_two_have_lost_contact() {
    let mut harness = Harness::new(&[1, 2, 3]);
    let before = harness.followed();
    let (two, third): (Vec<u8>, Vec<u8>) = (1..=3).partition(|n| before.0.contains(&at(*n)));
    let (leader_at, third) = (two[0], third[0]);
    harness.line(two[1], &[leader(1, leader_at), packed(2)]);
    harness.without_contact = 2;
    two.iter().for_each(|n| harness.line(*n, &[PeerMessage::Contact { holds: false }]));
    harness.advance(300 * MS);
    assert_eq!(harness.followed(), before, "it may regain contact at any moment");
    harness.advance(200 * MS);
    let (all, full) = harness.followed();
    assert!(all.len() == 3 && all.contains(&at(third)) && full.contains(&at(third)), "{all:?} {full:?}");
    harness.line(third, &[packed(3)]);
    assert_eq!(harness.to_proxy.last(), Some(&packed(3)));
    // After contact is regained two feeds are enough, the leader's among them.
    two.iter().for_each(|n| harness.line(*n, &[PeerMessage::Contact { holds: true }]));
    let (all, full) = harness.followed();
    assert!(all.len() == 2 && all.contains(&at(leader_at)) && !full.is_empty(), "{all:?} {full:?}");
}

#[test]
fn a_restarted_proxy_gets_a_snapshot() {
    let mut harness = Harness::new(&[1, 2]);
    harness.handle(Input::ProxyUp);
    assert_eq!(harness.to_proxy, []);
    let full = if harness.followed().1 == [at(1)] { 1 } else { 2 };
    harness.line(full, &[packed(2), membership((1, 1)), instances((1, 2), true, &["a", "b"], &[])]);
    harness.line(full, &[instances((1, 3), false, &["c"], &["a"])]);
    let all = [packed(2), instances((1, 3), true, &["b", "c"], &[]), membership((1, 1))];
    // It accepts messages again; it reports to act on no revision, on the newest, on an older one than
    // before.
    for revision in [None, Some(0), Some(2), Some(1)] {
        harness.to_proxy.clear();
        match revision {
            None => harness.handle(Input::ProxyUp),
            Some(revision) => harness.proxy_sends(&[acts(revision)]),
        }
        let expected = if revision == Some(2) { &[][..] } else { &all };
        assert_eq!(harness.to_proxy, expected, "{revision:?}");
    }
    // After changes the full configuration includes them.
    harness.line(full, &[patch(2, 3)]);
    harness.to_proxy.clear();
    harness.handle(Input::ProxyUp);
    assert_eq!(harness.to_proxy[0], packed(3));
}

/// Guards against a proxy that acts on an old list of instances: it stood still for a second, missed a change, and nothing
/// was sent to it until the next change.
#[yare::parameterized(
    controllers_are_known = { true },
    controllers_are_not_known = { false },
)]
fn a_proxy_that_missed_messages_is_sent_something_without_a_further_change(controllers: bool) {
    let mut harness = Harness::new(&[1, 2]);
    let full = if harness.followed().1 == [at(1)] { 1 } else { 2 };
    if controllers {
        let addresses = [1, 2].map(|n| at(n).to_string().into()).to_vec();
        harness.line(full, &[PeerMessage::Controllers { addresses }]);
    }
    harness.line(full, &[packed(2), membership((1, 1)), instances((1, 2), true, &["a"], &[])]);
    for _ in 0..3 {
        harness.to_proxy.clear();
        harness.handle(Input::ProxyMessagesLost);
        harness.handle(Input::ProxyMessagesLost);
        for _ in 0..4 {
            harness.advance(100 * MS);
        }
        let sent = harness.to_proxy.len();
        assert_eq!(sent, if controllers { 1 } else { 3 }, "{:?}", harness.to_proxy);
    }
    // It accepts messages again.
    harness.to_proxy.clear();
    harness.handle(Input::ProxyUp);
    assert!(harness.to_proxy.contains(&instances((1, 2), true, &["a"], &[])));
}

#[test]
fn a_proxy_that_is_behind_gets_the_full_configuration_once_a_second() {
    let mut harness = Harness::new(&[1]);
    harness.line(1, &[packed(2)]);
    harness.proxy_sends(&[acts(2)]);
    harness.line(1, &[patch(2, 3)]);
    harness.to_proxy.clear();
    for _ in 0..25 {
        harness.advance(100 * MS);
        harness.proxy_sends(&[acts(2)]);
    }
    assert_eq!(harness.to_proxy, [packed(3), packed(3)]);
    harness.proxy_sends(&[acts(3)]);
    assert_eq!(harness.to_control.last(), Some(&(at(1), acts(3))));
}

#[test]
fn pauses_double_with_failures_and_a_stable_feed_resets_them() {
    let mut harness = Harness::new(&[1]);
    // After the startup time.
    harness.advance(4 * SECOND);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        harness.ended(1);
        let mut pause = 0;
        while harness.open.is_empty() {
            harness.advance(100 * MS);
            pause += 100;
        }
        pauses.push(pause);
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1_000, 1_000]);
    harness.line(1, &[]);
    harness.advance(6 * SECOND);
    harness.ended(1);
    harness.advance(100 * MS);
    assert_eq!(harness.followed().0, [at(1)]);
}

/// After a power failure, controllers and agents start at the same time. An agent whose first attempts had
/// failed, and whose pauses had grown, reached the new leader 400 ms after the others, and its proxy joined
/// the membership that much later.
#[test]
fn a_starting_agent_retries_without_longer_pauses_until_the_first_line() {
    let mut harness = Harness::new(&[1]);
    let pause = |harness: &mut Harness| {
        harness.ended(1);
        let before = harness.now;
        while harness.open.is_empty() {
            harness.advance(100 * MS);
        }
        (harness.now - before) / MS
    };
    assert_eq!([(); 8].map(|()| pause(&mut harness)), [100; 8]);
    harness.line(1, &[]);
    assert_eq!([(); 3].map(|()| pause(&mut harness)), [200, 400, 800]);
}

fn controllers(numbers: &[u8]) -> PeerMessage {
    PeerMessage::Controllers { addresses: numbers.iter().map(|n| at(*n).to_string().into()).collect() }
}

/// Guards against an agent that is left without a live controller: its seeds are removed, then the leader.
#[test]
fn an_agent_whose_seeds_and_leader_are_gone_follows_the_reported_controllers() {
    let mut harness = Harness::new(&[1, 2, 3]);
    let followed: Vec<u8> = (1..=3).filter(|n| harness.followed().0.contains(&at(*n))).collect();
    let (leads, other) = (followed[0], followed[1]);
    for n in &followed {
        harness.line(*n, &[leader(1, leads), controllers(&[1, 2, 3, 4, 5, 6])]);
    }
    // All controllers that the agent knew at its start are removed, the leader last.
    let mut removed: Vec<u8> = (1..=3).filter(|n| ![leads, other].contains(n)).chain([other]).collect();
    let end_removed = |harness: &mut Harness, removed: &[u8]| {
        for _ in 0..30 {
            harness.advance(100 * MS);
            let gone: Vec<u8> =
                removed.iter().copied().filter(|n| harness.followed().0.contains(&at(*n))).collect();
            gone.iter().for_each(|n| harness.ended(*n));
        }
    };
    end_removed(&mut harness, &removed);
    let live = |harness: &Harness| (4..=6).find(|n| harness.followed().0.contains(&at(*n)));
    let first = live(&harness).expect("a reported controller is followed beside the leader");
    harness.line(first, &[leader(1, leads), controllers(&[leads, 4, 5, 6])]);
    removed.push(leads);
    end_removed(&mut harness, &removed);
    let live_feeds = (4..=6).filter(|n| harness.followed().0.contains(&at(*n))).count();
    assert_eq!(live_feeds, 2, "{:?}", harness.followed());
}

/// Guards against an agent that is cut off by its restart: its settings file is old, and each controller that the file
/// names is gone. The proxy lives on and has kept what the run before had learned.
#[test]
fn a_restarted_agent_follows_the_controllers_that_its_proxy_has_kept() {
    let mut harness = Harness::new(&[1, 2]);
    harness.line(1, &[controllers(&[1, 2, 4, 5])]);
    assert_eq!(harness.to_proxy, [controllers(&[1, 2, 4, 5])]);
    harness.line(1, &[controllers(&[1, 2, 4, 5])]);
    assert_eq!(harness.to_proxy.len(), 1, "only changes are passed on");
    harness.handle(Input::ProxyUp);
    assert_eq!(harness.to_proxy.last(), Some(&controllers(&[1, 2, 4, 5])), "a restarted proxy is told");
    // Other seeds, which are gone: those of before are still known, since they were reported.
    harness.handle(Input::Seeds(vec![at(8), at(9)]));
    let known: Vec<_> = harness.agent.feeds().known().collect();
    assert_eq!(known, [8, 9, 1, 2, 4, 5].map(at));

    let mut harness = Harness::new(&[1, 2]);
    [1, 2].iter().for_each(|n| harness.ended(*n));
    harness.proxy_sends(&[alive(), controllers(&[4, 5])]);
    assert_eq!(harness.followed().0, [4, 5].map(at));
    assert!(harness.to_control.is_empty(), "{:?}", harness.to_control);
    // Once a controller has reported, the proxy's memory is older.
    harness.line(4, &[controllers(&[4, 6])]);
    harness.proxy_sends(&[controllers(&[4, 5])]);
    let known: Vec<_> = harness.agent.feeds().known().collect();
    assert_eq!(known, [1, 2, 4, 6].map(at));
}

/// A controller that was removed is not tried for ever, also if another one does not know of that yet.
#[test]
fn reported_controllers_replace_earlier_ones_and_are_bounded() {
    let mut harness = Harness::new(&[1, 2]);
    let known = |harness: &Harness| {
        let mut known: Vec<_> = harness.agent.feeds().known().collect();
        known.sort();
        known
    };
    harness.line(1, &[controllers(&[1, 2, 8])]);
    harness.line(2, &[controllers(&[1, 2, 3]), leader(1, 9)]);
    assert_eq!(known(&harness), [1, 2, 3, 8, 9].map(at), "the reports of both, and the leader");
    let open: Vec<u8> = (1..=9).filter(|n| harness.followed().0.contains(&at(*n))).collect();
    open.iter().for_each(|n| harness.line(*n, &[controllers(&[1, 2, 3])]));
    assert_eq!(known(&harness), [1, 2, 3, 9].map(at));
    harness.line(open[0], &[controllers(&(10..=200).collect::<Vec<_>>())]);
    assert!(known(&harness).len() <= 2 + 32, "{}", known(&harness).len());
    let nonsense = PeerMessage::Controllers { addresses: vec!["nowhere".into()] };
    harness.line(open[0], &[nonsense]);
    assert_eq!(known(&harness), [1, 2, 3, 9].map(at));
}

/// Without this log line an agent whose controllers are all gone looks like one that they refuse.
#[test]
fn an_agent_without_a_feed_logs_the_known_controllers() {
    let mut harness = Harness::new(&[1, 2]);
    for _ in 0..20 {
        [1, 2].iter().for_each(|n| harness.line(*n, &[leader(1, 1)]));
        harness.advance(SECOND);
    }
    [1, 2].iter().for_each(|n| harness.ended(*n));
    harness.advance(4_900 * MS);
    assert!(harness.log.is_empty(), "{:?}", harness.log);
    harness.advance(5 * SECOND);
    let [(Level::Warn, text)] = &*harness.log else { panic!("{:?}", harness.log) };
    assert!(text.contains(&at(1).to_string()) && text.contains(&at(2).to_string()), "{text}");
}

#[test]
fn seeds_are_reloaded_and_the_agent_exits_before_the_grace_period_ends() {
    let mut harness = Harness::new(&[1]);
    harness.advance(2 * SECOND);
    assert_eq!(harness.settings_reads, 2);
    harness.handle(Input::Seeds(vec![at(1)]));
    assert_eq!(harness.log, []);
    harness.handle(Input::Seeds(vec![at(2), at(3)]));
    harness.advance(100 * MS);
    assert!(harness.log[0].1.starts_with("seeds are now") && harness.followed().0.len() == 2);
    harness.handle(Input::Shutdown);
    harness.advance(5_400 * MS);
    harness.handle(Input::Shutdown);
    assert!(!harness.exited);
    harness.advance(100 * MS);
    assert!(harness.exited);
}

#[test]
fn late_lines_of_a_closed_feed_are_ignored() {
    let mut harness = Harness::new(&[1, 2]);
    let light = if harness.followed().1 == [at(1)] { 2 } else { 1 };
    let before = harness.feed(light);
    harness.advance(600 * MS);
    harness.line(light, &[patch(3, 4)]);
    let after = harness.feed(light);
    assert_ne!(before, after);
    harness.handle(Input::FeedEnded { feed: before });
    assert_eq!(harness.feed(light), after);
    harness.line(light, &[packed(4)]);
    // Otherwise its leader would be taken, and the line acknowledged.
    harness.to_control.clear();
    harness.handle(Input::FeedLine { feed: before, line: line(&[leader(5, 9), packed(5)]) });
    assert_eq!(
        (harness.to_proxy.len(), harness.to_control.len(), harness.agent.feeds().leader()),
        (1, 0, None)
    );
    // Its end is ignored as well, so no feed is opened twice.
    harness.advance(SECOND);
    assert_eq!((harness.feed(light), harness.open.len()), (after, 2));
}

#[test]
fn feeds_are_maintained_under_load_without_ticks() {
    let mut harness = Harness::new(&[1]);
    harness.ended(1);
    for _ in 0..40 {
        harness.now += 30 * MS;
        harness.proxy_sends(&[alive()]);
    }
    assert_eq!((harness.followed().0, harness.settings_reads), (vec![at(1)], 1));
}

#[test]
fn a_pause_keeps_growing_when_the_next_try_hangs() {
    let mut harness = Harness::new(&[1]);
    harness.advance(4 * SECOND);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        // The controller accepts the connection and sends nothing.
        harness.advance(700 * MS);
        harness.ended(1);
        let before = harness.now;
        while harness.open.is_empty() {
            harness.advance(100 * MS);
        }
        pauses.push((harness.now - before) / MS);
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1_000, 1_000]);
}

#[yare::parameterized(
    no_json = { b"\xff\xfe{" },
    no_object = { b"[1]" },
    cut = { b"{\"n\":1,\"notes\":[{\"t\":\"config\"" },
    no_text = { b"{\"n\":\"\xc3\"}" },
)]
fn a_feed_of_garbage_is_closed_with_growing_pauses(garbage: &'static [u8]) {
    let mut harness = Harness::new(&[1]);
    let mut opened = 0;
    for _ in 0..100 {
        harness.advance(100 * MS);
        if let Some((feed, ..)) = harness.open.first().copied() {
            opened += 1;
            for _ in 0..3 {
                harness.handle(Input::FeedLine { feed, line: Bytes::from_static(garbage) });
            }
            assert_eq!(harness.open, []);
        }
    }
    // Ten seconds, with pauses of up to one second.
    assert!((8..=16).contains(&opened), "{opened}");
    // Beside them only the two lines, 5 s and 10 s after the start, that no controller is followed.
    let (invalid, others): (Vec<_>, Vec<_>) =
        harness.log.iter().map(|(_, text)| text).partition(|text| text.starts_with("invalid line"));
    assert_eq!(invalid.len(), opened);
    assert!(others.len() == 2 && others.iter().all(|text| text.starts_with("no controller")), "{others:?}");
    assert_eq!((harness.to_proxy.len(), harness.to_control.len()), (0, 0));
}

#[test]
fn a_lone_feed_of_changes_is_reopened_for_full_configurations() {
    let mut harness = Harness::new(&[1, 2, 3]);
    let full = harness.open.iter().find(|(.., path)| *path == "/follow").expect("one").1;
    let light = harness.open.iter().find(|(_, a, _)| *a != full).expect("another").1;
    let n = (1..=3).find(|n| at(*n) == light).expect("a seed");
    // Only this controller is reachable, and its feed carries only changes.
    for _ in 0..30 {
        let messages = if harness.open.iter().any(|(_, a, path)| *a == light && *path == "/follow") {
            vec![packed(2)]
        } else {
            vec![]
        };
        harness.line(n, &messages);
        harness.advance(100 * MS);
        let others: Vec<_> =
            harness.open.iter().map(|(f, a, _)| (*f, *a)).filter(|(_, a)| *a != light).collect();
        for (feed, _) in others {
            harness.open.retain(|(of, ..)| *of != feed);
            harness.handle(Input::FeedEnded { feed });
        }
    }
    assert_eq!(harness.to_proxy, [packed(2)]);
    assert!(harness.followed().0.contains(&light));
}

#[test]
fn a_silent_proxy_is_not_announced() {
    let mut harness = Harness::new(&[1]);
    for (silent, messages) in [(SECOND, vec![alive(), acts(0)]), (2 * SECOND, vec![acts(0)])] {
        harness.proxy_sends(&[alive()]);
        harness.advance(silent);
        harness.ended(1);
        harness.advance(200 * MS);
        assert_eq!((harness.open.len(), &harness.opening), (1, &messages));
    }
}

#[test]
fn a_full_queue_to_the_proxy_leads_to_a_snapshot() {
    let mut harness = Harness::new(&[1]);
    harness.line(1, &[packed(2), instances((1, 1), true, &["a"], &[])]);
    harness.to_proxy.clear();
    for _ in 0..3 {
        harness.handle(Input::ProxyQueueFull);
    }
    harness.advance(900 * MS);
    assert_eq!((harness.to_proxy.len(), harness.log.len()), (0, 1));
    harness.advance(100 * MS);
    assert_eq!(harness.to_proxy, [packed(2), instances((1, 1), true, &["a"], &[])]);
    harness.advance(3 * SECOND);
    assert_eq!(harness.to_proxy.len(), 2);
}

#[test]
fn invalid_messages_are_logged_and_the_others_handled() {
    let mut harness = Harness::new(&[1]);
    let batch = br#"{"from":"edge-1","life":1,"notes":[{"t":"acts","v":-1},{"t":"acts","v":3,"n":0}]}"#;
    harness.handle(Input::ProxyMessages(Bytes::from_static(batch)));
    assert_eq!((harness.answers.as_slice(), harness.agent.proxy_revision()), (&[true][..], 3));
    assert_eq!(harness.log, [(Level::Warn, "invalid message from edge-1: v: no whole number".to_owned())]);
    harness.handle(Input::ProxyMessages(Bytes::from_static(b"[]")));
    assert_eq!(harness.answers, [true, false]);
}

#[test]
fn memory_is_bounded_whatever_controllers_send() {
    let mut harness = Harness::new(&[1, 2]);
    // Many instances with long ids.
    let long = "x".repeat(1_000);
    for n in 0..100_u64 {
        let ids: Vec<_> = (0..100).map(|i| format!("{long}{n}.{i}")).collect();
        let ids: Vec<_> = ids.iter().map(String::as_str).collect();
        harness.line(1, &[instances((1, n), false, &ids, &[])]);
        let left_out = harness.to_proxy.drain(..).all(|message| match message {
            PeerMessage::Instances { set, .. } => set.len() < 100,
            _ => true,
        });
        assert!(left_out == (n > 58) || (55..=58).contains(&n), "{n}");
    }
    assert!(harness.agent.latest().instances() < 6_000);
    // Room that becomes free is used again.
    harness.line(1, &[instances((2, 0), true, &["a"], &[])]);
    assert_eq!(harness.agent.latest().instances(), 1);
    // Many invalid messages in one line.
    harness.log.clear();
    let invalid = format!(r#"{{"n":1,"notes":[{}1]}}"#, "1,".repeat(9_000));
    let feed = harness.feed(1);
    harness.handle(Input::FeedLine { feed, line: invalid.into() });
    assert!(harness.log.len() < 10 && harness.open.len() == 2);
    let invalid = format!(r#"{{"n":1,"notes":[{}1]}}"#, "1,".repeat(50_000));
    harness.handle(Input::FeedLine { feed, line: invalid.into() });
    assert!(harness.log.len() < 10 && harness.open.len() == 1);
    // Many leaders.
    for n in 0..300_u64 {
        let to = SocketAddr::from(([10, 9, (n / 250) as u8, (n % 250) as u8], 1));
        let fence = n + 1;
        let feed = harness.open.first().expect("one").0;
        harness.handle(Input::FeedLine {
            feed,
            line: line(&[PeerMessage::Leader { address: to.to_string().into(), fence }]),
        });
        let last = harness.open.iter().find(|(_, a, _)| *a == to).expect("a followed controller").0;
        harness.open.retain(|(of, ..)| *of != last);
        harness.handle(Input::FeedEnded { feed: last });
    }
    assert!(harness.agent.feeds().tracked_addresses() <= 2 + 32 + 64 + 2);
}

/// An agent or a proxy that was restarted alone, or a new leader, can bring a membership change whose base
/// version is not held.
#[test]
fn an_unknown_base_version_leads_to_a_snapshot() {
    let mut harness = Harness::new(&[1, 2]);
    harness.line(2, &[]);
    harness.line(1, &[leader(1, 1), membership((1, 1))]);
    let before = (harness.feed(1), harness.followed());
    harness.line(
        1,
        &[
            membership_change((1, 1), (1, 2), &["edge-2"], &[]),
            membership_change((1, 3), (1, 4), &["edge-4"], &[]),
        ],
    );
    assert_ne!(harness.feed(1), before.0);
    assert_eq!(
        harness.followed(),
        before.1,
        "the same two controllers, and the same one with full configurations"
    );
    // Changes before the snapshot reopen no other feed, and changes without their base are not passed on.
    let again = harness.feed(1);
    harness.line(1, &[membership_change((1, 4), (1, 5), &[], &["edge-4"])]);
    assert_eq!(harness.feed(1), again);
    assert_eq!(harness.to_proxy, [membership((1, 1)), membership_change((1, 1), (1, 2), &["edge-2"], &[])]);
    harness.advance(600 * MS);
    assert_ne!(harness.feed(1), again);
    let again = harness.feed(1);
    harness.line(
        1,
        &[membership((1, 5)), membership_change((1, 5), (1, 6), &["edge-2", "edge-3"], &["edge-1"])],
    );
    harness.advance(SECOND);
    assert_eq!(harness.feed(1), again);
    // A proxy that is behind gets the resulting membership, however old its version is; one that is not gets
    // nothing.
    harness.to_proxy.clear();
    harness.proxy_sends(&[PeerMessage::ViewOutdated { version: (1, 6) }]);
    assert_eq!(harness.to_proxy, []);
    harness.proxy_sends(&[PeerMessage::ViewOutdated { version: (1, 5) }]);
    let [PeerMessage::FullView { version: (1, 6), peers, .. }] = harness.to_proxy.as_slice() else {
        panic!("{:?}", harness.to_proxy)
    };
    assert_eq!(peers.iter().map(|p| p.name.as_str()).collect::<Vec<_>>(), ["edge-2", "edge-3"]);
    assert!(
        harness.to_control.iter().all(|(_, message)| !matches!(message, PeerMessage::ViewOutdated { .. }))
    );
}

#[test]
fn a_restarted_proxy_is_first_told_to_stay_out_of_service() {
    let mut harness = Harness::new(&[1]);
    let rest = |left: f64| PeerMessage::Drain { name: "edge-1".into(), left };
    harness.line(1, &[rest(1_000.0), full(1)]);
    assert_eq!(std::mem::take(&mut harness.to_proxy), [rest(1_000.0), full(1)]);
    // The proxy's own report is passed on.
    harness.proxy_sends(&[rest(900.0)]);
    harness.now += 400 * MS;
    harness.handle(Input::ProxyUp);
    assert_eq!(std::mem::take(&mut harness.to_proxy), [rest(600.0), packed(1)]);
    harness.now += 600 * MS;
    harness.handle(Input::ProxyUp);
    assert_eq!(std::mem::take(&mut harness.to_proxy), [packed(1)]);
    harness.line(1, &[rest(1_000.0), rest(0.0)]);
    harness.to_proxy.clear();
    harness.handle(Input::ProxyUp);
    assert_eq!(harness.to_proxy, [packed(1)]);
}

/// A starting proxy asks for the current configuration revision. Any followed controller may answer, and that
/// answer is passed on, but nothing else in it.
#[test]
fn a_starting_proxy_learns_the_current_revision_from_any_controller() {
    let mut harness = Harness::new(&[1, 2]);
    harness.line(1, &[leader(1, 1), full(1)]);
    harness.line(2, &[]);
    harness.to_control.clear();
    harness.proxy_sends(&[PeerMessage::QueryRevision]);
    assert_eq!(
        harness.to_control.iter().filter(|(_, message)| *message == PeerMessage::QueryRevision).count(),
        2
    );
    harness.to_proxy.clear();
    let answer = |messages: &[PeerMessage]| {
        let messages: Vec<_> =
            messages.iter().map(|message| message.to_json().stringify().expect("text")).collect();
        let text = format!(r#"{{"from":"10.0.0.1:1","life":0,"notes":[{}]}}"#, messages.join(","));
        Input::ControlAnswered(Bytes::from(text))
    };
    harness.handle(answer(&[PeerMessage::CommittedRevision { revision: 3 }, leader(9, 9)]));
    assert_eq!(harness.to_proxy, [PeerMessage::CommittedRevision { revision: 3 }]);
    harness.handle(Input::ControlAnswered(Bytes::from_static(b"{")));
    assert_eq!(harness.to_proxy.len(), 1);
}

/// After changes the full configuration was sent to each proxy that was behind as a tree of values, which
/// takes ten times the memory of its text.
#[test]
fn the_full_configuration_is_sent_packed_after_changes() {
    let mut harness = Harness::new(&[1]);
    harness.line(1, &[full(1)]);
    let (old, new) = (config(1, 1), config(2, 2));
    harness.line(1, &[PeerMessage::Patch { revision: 2, change: millpost_config::change::diff(&old, &new) }]);
    harness.to_proxy.clear();
    harness.handle(Input::ProxyUp);
    let packed = millpost_net::pack::pack(&new.to_json()).expect("packed");
    assert_eq!(harness.to_proxy, [PeerMessage::PackedConfig { revision: 2, packed }]);
}
