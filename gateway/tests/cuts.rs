//! Both sides of the hop in memory, joined by the bytes of real frames, with the link cut at every byte in either direction.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use millpost_gateway::far::{self, Far};
use millpost_gateway::frame::{self, Kind, Offer, Settled, Told};
use millpost_gateway::near::{self, Near, Outcome};
use millpost_gateway::{End, HopKey};

const STORE: u64 = 9;
const FAR_STORE: u64 = 4;
const MESSAGES: u64 = 6;
const DEADLINE: u64 = 1_000;

/// One direction of a connection: what was written and not read yet, and how many more bytes come through.
struct Pipe {
    bytes: BytesMut,
    reader: BytesMut,
    passes: usize,
    passed: usize,
}

impl Pipe {
    fn new(passes: usize) -> Self {
        Pipe { bytes: BytesMut::new(), reader: BytesMut::new(), passes, passed: 0 }
    }
    fn write(&mut self, kind: Kind) {
        self.bytes.extend_from_slice(&frame::encode(kind).expect("it fits"));
    }
    /// Frames that come through; whether the link holds.
    fn read(&mut self) -> (Vec<Kind>, bool) {
        let n = self.bytes.len().min(self.passes);
        self.passes -= n;
        self.passed += n;
        self.reader.extend_from_slice(&self.bytes.split_to(n));
        let mut all = Vec::new();
        while let Some(kind) = frame::decode(&mut self.reader).expect("a frame") {
            all.push(kind);
        }
        (all, self.bytes.is_empty())
    }
}

struct Hop {
    near: Near,
    far: Far,
    up: Pipe,
    down: Pipe,
    effects: BTreeMap<u64, u32>,
    outcomes: BTreeMap<HopKey, Outcome>,
    attempts: BTreeMap<u64, u32>,
}

impl Hop {
    fn new(up: usize, down: usize) -> Self {
        let mut hop = Hop {
            near: Near::default(),
            far: Far::default(),
            up: Pipe::new(up),
            down: Pipe::new(down),
            effects: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        hop.far.link_up();
        hop.near.link_up(FAR_STORE);
        hop
    }

    fn offer(&mut self, message: u64) {
        let attempt = self.attempts.entry(message).or_default();
        *attempt += 1;
        let key = HopKey { store: STORE, message, attempt: *attempt };
        self.near.offer(key, 0, DEADLINE);
    }

    fn near_effects(&mut self) {
        while let Some(effect) = self.near.effect() {
            match effect {
                near::Effect::Note { key, .. } => self.near.noted(key, 0),
                near::Effect::Offer { key, left } => self.up.write(Kind::Offer(Offer {
                    store: key.store,
                    message: key.message,
                    attempt: key.attempt,
                    reference: format!("m{}", key.message),
                    class: "licence-order".to_owned(),
                    dest: 7,
                    left_us: left,
                    body: Bytes::from_static(b"one licence"),
                    ..Offer::default()
                })),
                near::Effect::Ask { key } => self.up.write(Kind::Ask(key.into())),
                near::Effect::Acknowledge { key } => self.up.write(Kind::Acknowledge(key.into())),
                near::Effect::Done { key, outcome } => {
                    assert!(self.outcomes.insert(key, outcome).is_none(), "two outcomes of {key:?}");
                    self.near.lasts(key);
                }
            }
        }
    }

    fn far_effects(&mut self) {
        while let Some(effect) = self.far.effect() {
            match effect {
                far::Effect::Take { key } => {
                    self.far.taken(key);
                    // Its partner delivers at once.
                    *self.effects.entry(key.message).or_default() += 1;
                    self.far.ended(key, End::Delivered);
                }
                far::Effect::KeepVoid { key } => self.far.void_lasts(key),
                far::Effect::Tell { key, word } => self.down.write(Kind::Told(Told::new(key, word))),
                far::Effect::KeepDone { .. } | far::Effect::Forget { .. } | far::Effect::Drop { .. } => {}
            }
        }
    }

    fn far_reads(&mut self, frames: Vec<Kind>) {
        for kind in frames {
            match kind {
                Kind::Offer(offer) => self.far.offered(offer.hop_key(), Ok(())),
                Kind::Ask(key) => self.far.asked(key.into()),
                Kind::Acknowledge(key) => self.far.acknowledged(key.into()),
                Kind::Settled(Settled { store, below }) => self.far.settled(store, below),
                other => panic!("not for the far side: {other:?}"),
            }
            self.far_effects();
        }
    }

    /// Goes on until nothing is under way; whether the link held.
    fn run(&mut self) -> bool {
        loop {
            self.near_effects();
            self.far_effects();
            let (up, up_holds) = self.up.read();
            let idle = up.is_empty();
            self.far_reads(up);
            let (down, down_holds) = self.down.read();
            let idle = idle && down.is_empty();
            for kind in down {
                let Kind::Told(told) = kind else { panic!("not for the near side: {kind:?}") };
                let (key, word) = told.read().expect("a word");
                self.near.heard(key, word);
            }
            if !up_holds || !down_holds {
                return false;
            }
            if idle && self.up.bytes.is_empty() && self.down.bytes.is_empty() {
                self.near_effects();
                self.far_effects();
                if self.up.bytes.is_empty() && self.down.bytes.is_empty() {
                    return true;
                }
            }
        }
    }

    /// A new connection; what was on its way to the far side on the old one is given back.
    fn reconnect(&mut self) -> Pipe {
        self.near.link_down();
        self.far.link_down();
        let old = std::mem::replace(&mut self.up, Pipe::new(usize::MAX));
        self.down = Pipe::new(usize::MAX);
        self.far.link_up();
        self.near.link_up(FAR_STORE);
        old
    }

    /// Messages that are known not to have run go once more.
    fn again(&mut self) {
        for message in 0..MESSAGES {
            let key = HopKey { store: STORE, message, attempt: self.attempts[&message] };
            if self.outcomes.get(&key) == Some(&Outcome::Void) {
                self.offer(message);
            }
        }
    }

    /// What must be, with nothing under way any more.
    fn check(&mut self, what: &str) {
        assert_eq!(self.near.open(), 0, "{what}: offers are open");
        for message in 0..MESSAGES {
            let key = HopKey { store: STORE, message, attempt: self.attempts[&message] };
            let outcome = self.outcomes.get(&key);
            assert_eq!(outcome, Some(&Outcome::Ended(End::Delivered)), "{what}: message {message}");
            assert_eq!(self.effects.get(&message), Some(&1), "{what}: effects of message {message}");
        }
        let below = self.near.settled_below(MESSAGES);
        self.up.write(Kind::Settled(Settled { store: STORE, below }));
        assert!(self.run());
        assert_eq!((below, self.far.remembered()), (MESSAGES, 0), "{what}: something is remembered for ever");
    }
}

/// Bytes that pass in either direction with nothing cut.
fn whole() -> (usize, usize) {
    let mut hop = Hop::new(usize::MAX, usize::MAX);
    (0..MESSAGES).for_each(|message| hop.offer(message));
    assert!(hop.run());
    let passed = (hop.up.passed, hop.down.passed);
    hop.check("no cut");
    passed
}

fn cut(up: usize, down: usize, late: bool) {
    let what = format!("cut after {up} bytes up and {down} down, late {late}");
    let mut hop = Hop::new(up, down);
    (0..MESSAGES).for_each(|message| hop.offer(message));
    if !hop.run() {
        let mut old = hop.reconnect();
        assert!(hop.run());
        hop.again();
        assert!(hop.run());
        if late {
            // What the near side had given up comes to the far side after all, when all has been settled without it.
            old.passes = usize::MAX;
            let (frames, _) = old.read();
            hop.far_reads(frames);
            assert!(hop.run());
        }
    }
    hop.check(&what);
}

#[test]
fn a_cut_at_any_byte_doubles_and_loses_nothing() {
    let (up, down) = whole();
    assert!(up > 300 && down > 100, "{up} and {down} bytes");
    for late in [false, true] {
        (0..up).for_each(|n| cut(n, usize::MAX, late));
        (0..down).for_each(|n| cut(usize::MAX, n, late));
    }
    println!("{} cuts", 2 * (up + down));
}

#[test]
fn a_cut_in_both_directions_doubles_and_loses_nothing() {
    let (up, down) = whole();
    for n in (0..up).step_by(7) {
        (0..down).step_by(5).for_each(|m| cut(n, m, (n + m) % 2 == 0));
    }
}
