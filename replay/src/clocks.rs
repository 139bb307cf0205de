//! The clocks of several processes, brought together by what passed between them.
//!
//! Each life of a process has a clock of its own, which counts from its start. What one life was told by another came no sooner than it
//! was sent: each ask, each answer to it, each word between a stall, its porter and the steward bounds how far two clocks are apart, on
//! one side. Of all these bounds, over any way round, the tightest two hold a life's clock; the middle of them is taken, and half of
//! what lies between is told as the error.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use millpost_agent::{Input as RoundInput, recording as round};
use millpost_autoscaler::recording::Input as ScalerInput;
use millpost_net::messaging;
use millpost_protocol::{MessageBatch, PeerMessage};
use millpost_scheduler::MS;
use millpost_scheduler::recording::{self as desk, Input as DeskInput};
use tinyjson::JsonValue;

use crate::lines::{Entry, Read, Source};

/// Asks that are kept in mind; of more every second one, and so on.
const MOST_ASKS: usize = 200_000;
/// Words of other kinds that are kept in mind.
const MOST: usize = 500_000;
/// Where clocks contradict one another, since they do not run alike, all bounds are loosened by this, then by twice as much, and so on.
const LOOSENED: i64 = MS as i64;
/// ... and no more often than this.
const LOOSENINGS: u32 = 16;
/// A collector has seen at least one line of a life within this time.
const COLLECTED: i64 = 100 * MS as i64;

/// A life of a process: its place among the sources, and among the lives of that.
pub type Node = (usize, usize);
/// A life, and a time in it.
type Seen = (Node, i64);

#[derive(Debug, Default)]
struct Ask {
    asked: Option<Seen>,
    /// Owners that it came to, when first.
    came: Vec<Seen>,
    /// Words on it that came back: from whom, in which life of that, and when first.
    answered: Vec<(CompactString, u64, i64)>,
}

/// What somebody tells others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Word {
    /// A stall to its porter: it is up, or lost.
    Up(CompactString, &'static str, CompactString),
    /// A porter to its stall: stalls or instances of this version.
    Told(CompactString, &'static str, (u64, u64)),
    /// A porter to a steward.
    Raised(&'static str, CompactString),
    /// A steward to porters: an instance, under its fence.
    Known(u64, CompactString),
}

#[derive(Debug, Default)]
struct Words {
    /// Who says it, and since when; several can't be told apart.
    said: Vec<Seen>,
    heard: Vec<Seen>,
}

fn first(all: &mut Vec<Seen>, node: Node, at: i64) {
    if let Some((_, before)) = all.iter_mut().find(|(known, _)| *known == node) {
        *before = (*before).min(at);
    } else if all.len() < 64 {
        all.push((node, at));
    }
}

/// How a life's clock is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// It is the one that times are told in.
    Itself,
    /// By what passed between the processes.
    Mail,
    /// By when a collector saw its lines: one at least within 100 ms.
    Collector,
    /// By the machines' own clocks, which nobody has checked.
    Clock,
    /// It is not: its times stay its own.
    Nothing,
}

impl By {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            By::Itself => "the clock that times are told in",
            By::Mail => "by what passed between the processes",
            By::Collector => "by when the collector saw its lines",
            By::Clock => "by its machine's own clock, unchecked",
            By::Nothing => "not at all: its times are its own",
        }
    }
}

/// What brings a life's times to those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aligned {
    /// What is added to them, in nanoseconds.
    pub offset: i64,
    /// It is wrong by no more than this; none where nothing bounds it.
    pub error: Option<u64>,
    /// How it is known.
    pub by: By,
}

impl Aligned {
    /// A time of the life in the times that are told in.
    pub fn at(&self, at: u64) -> i64 {
        (at.min(i64::MAX as u64) as i64).saturating_add(self.offset)
    }
}

/// What the lives have told one another, as a recording holds it.
#[derive(Debug, Default)]
pub struct Clocks {
    asks: HashMap<(CompactString, u64), Ask>,
    /// Only asks whose numbers this divides are kept.
    every: u64,
    words: HashMap<Word, Words>,
    /// The machine of each life.
    names: BTreeMap<Node, CompactString>,
    /// The fence of each steward that goes on.
    fences: BTreeMap<Node, u64>,
    /// The least that the collector was behind a life.
    behind: BTreeMap<Node, i64>,
}

/// The bounds of one life against another: the second is ahead of the first by no less than so much.
type Bounds = BTreeMap<(Node, Node), i64>;

impl Clocks {
    /// Takes a line in.
    pub fn see(&mut self, read: &Read, sources: &[Source]) {
        let node = (read.source, read.life);
        let at = read.entry.at().min(i64::MAX as u64) as i64;
        if let Some(collected) = read.collected {
            let behind = (collected * 1e9) as i64 - at;
            let least = self.behind.entry(node).or_insert(behind);
            *least = behind.min(*least);
        }
        if let Entry::Coordinator(desk::Entry { input: DeskInput::New { me, .. }, .. }) = &read.entry {
            self.names.insert(node, me.name.clone());
        } else if let Entry::Round(round::Entry { input: RoundInput::New(terms), .. }) = &read.entry {
            self.names.insert(node, terms.name.clone());
        } else if let Entry::Scaler(_) = &read.entry {
            let name = || sources.get(read.source).map_or("", |source| source.machine()).into();
            self.names.entry(node).or_insert_with(name);
        }
        match &read.entry {
            Entry::Coordinator(entry) => self.desk(node, at, &entry.input),
            Entry::Round(entry) => self.round(node, at, &entry.input, sources),
            Entry::Scaler(entry) => self.scaler(node, at, &entry.input),
        }
    }

    fn ask(&mut self, who: &str, id: u64) -> Option<&mut Ask> {
        let every = self.every.max(1);
        if !id.is_multiple_of(every) {
            return None;
        }
        if self.asks.len() >= MOST_ASKS {
            self.every = every * 2;
            self.asks.retain(|(_, id), _| id.is_multiple_of(every * 2));
        }
        Some(self.asks.entry((who.into(), id)).or_default())
    }

    fn word(&mut self, word: Word) -> Option<&mut Words> {
        if self.words.len() >= MOST && !self.words.contains_key(&word) {
            return None;
        }
        Some(self.words.entry(word).or_default())
    }

    fn says(&mut self, node: Node, at: i64, word: Word) {
        if let Some(words) = self.word(word) {
            first(&mut words.said, node, at);
        }
    }

    fn hears(&mut self, node: Node, at: i64, word: Word) {
        if let Some(words) = self.word(word) {
            first(&mut words.heard, node, at);
        }
    }

    fn desk(&mut self, node: Node, at: i64, input: &DeskInput) {
        let Some(me) = self.names.get(&node).cloned() else { return };
        match input {
            DeskInput::RequestPermit { id: Some(id), .. } => {
                if let Some(ask) = self.ask(&me, *id) {
                    ask.asked.get_or_insert((node, at));
                }
            }
            DeskInput::PeerMessages { from, incarnation: life, messages: notes } => {
                for note in notes {
                    match note {
                        PeerMessage::RequestPermit { id, .. } => {
                            if let Some(ask) = self.ask(from, *id) {
                                first(&mut ask.came, node, at);
                            }
                        }
                        PeerMessage::Grant { id, .. }
                        | PeerMessage::Denied { id, .. }
                        | PeerMessage::Queued { id } => {
                            if let Some(ask) = self.ask(&me, *id)
                                && !ask.answered.iter().any(|(who, of, _)| who == from && of == life)
                                && ask.answered.len() < 64
                            {
                                ask.answered.push((from.clone(), *life, at));
                            }
                        }
                        _ => {}
                    }
                }
            }
            DeskInput::InstanceUp(id) => self.says(node, at, Word::Up(me, "up", id.clone())),
            DeskInput::ConnectionRefused(id) => self.says(node, at, Word::Up(me, "lost", id.clone())),
            DeskInput::ControllerMessage(PeerMessage::FullView { version, .. }) => {
                self.hears(node, at, Word::Told(me, "stalls", *version));
            }
            DeskInput::ControllerMessage(PeerMessage::Instances { version, .. }) => {
                self.hears(node, at, Word::Told(me, "instances", *version));
            }
            _ => {}
        }
    }

    fn round(&mut self, node: Node, at: i64, input: &RoundInput, sources: &[Source]) {
        let Some(me) = self.names.get(&node).cloned() else { return };
        match input {
            RoundInput::FeedLine { line, .. } => {
                let Some(JsonValue::Object(parts)) = messaging::json(line) else { return };
                let Some(JsonValue::Array(notes)) = parts.get("notes") else { return };
                for note in notes {
                    match PeerMessage::read(note) {
                        Ok(PeerMessage::FullView { version, .. }) => {
                            self.says(node, at, Word::Told(me.clone(), "stalls", version));
                        }
                        Ok(PeerMessage::Instances { version, set, .. }) => {
                            self.says(node, at, Word::Told(me.clone(), "instances", version));
                            for instance in set {
                                self.hears(node, at, Word::Known(version.0, instance.id));
                            }
                        }
                        _ => {}
                    }
                }
            }
            RoundInput::ProxyMessages(body) => {
                let letter = messaging::json(body).and_then(|json| MessageBatch::read(&json).ok());
                let Some(letter) = letter.filter(|letter| letter.from == me) else { return };
                // Word of a life that is not the only one comes from that alone.
                let of = sources.iter().position(|s| s.machine() == me && s.of.ends_with("/stall"));
                let lives = of.map_or(0, |of| sources[of].lives.len());
                for note in letter.messages {
                    let (kind, instance) = match note {
                        PeerMessage::InstanceUp { instance } => ("up", instance),
                        PeerMessage::InstanceDown { instance } => ("lost", instance),
                        _ => continue,
                    };
                    self.says(node, at, Word::Raised(kind, instance.clone()));
                    if lives <= 1 {
                        self.hears(node, at, Word::Up(me.clone(), kind, instance));
                    }
                }
            }
            _ => {}
        }
    }

    fn scaler(&mut self, node: Node, at: i64, input: &ScalerInput) {
        if let ScalerInput::New(terms) = input {
            self.fences.insert(node, terms.fence);
            return;
        }
        let Some(fence) = self.fences.get(&node).copied() else { return };
        match input {
            ScalerInput::Up(id) => self.hears(node, at, Word::Raised("up", id.clone())),
            ScalerInput::Lost(id) => self.hears(node, at, Word::Raised("lost", id.clone())),
            ScalerInput::Started { answer: Ok((id, _)), .. } => {
                self.says(node, at, Word::Known(fence, id.clone()));
            }
            ScalerInput::Listed { entries, .. } => {
                for entry in entries {
                    self.says(node, at, Word::Known(fence, entry.id.clone()));
                }
            }
            ScalerInput::Inherit(all) => {
                for instance in all {
                    self.says(node, at, Word::Known(fence, instance.id.clone()));
                }
            }
            _ => {}
        }
    }

    /// All bounds, and how many words they rest on.
    fn bounds(&self, sources: &[Source]) -> (Bounds, BTreeMap<Node, usize>) {
        let (mut bounds, mut counts) = (Bounds::new(), BTreeMap::new());
        let mut sent = |from: Seen, to: Seen| {
            if from.0 == to.0 {
                return;
            }
            let least = bounds.entry((from.0, to.0)).or_insert(i64::MAX);
            *least = (*least).min(to.1 - from.1);
            for node in [from.0, to.0] {
                *counts.entry(node).or_default() += 1;
            }
        };
        let life_of = |node: Node| {
            sources.get(node.0).and_then(|s| s.lives.get(node.1)).and_then(|l| Some(l.head.as_ref()?.life))
        };
        for ask in self.asks.values() {
            let Some(asked) = ask.asked else { continue };
            ask.came.iter().for_each(|came| sent(asked, *came));
            for (who, life, at) in &ask.answered {
                let of = ask.came.iter().filter(|(node, _)| {
                    self.names.get(node) == Some(who) && life_of(*node).is_none_or(|of| of == *life)
                });
                if let [came] = of.collect::<Vec<_>>()[..] {
                    sent(*came, (asked.0, *at));
                }
            }
        }
        for words in self.words.values() {
            if let [said] = words.said[..] {
                words.heard.iter().for_each(|heard| sent(said, *heard));
            }
        }
        (bounds, counts)
    }

    /// What brings the times of each life to those of one of them.
    pub fn align(&self, to: Node, sources: &[Source]) -> Alignment {
        let (bounds, counts) = self.bounds(sources);
        let nodes: Vec<Node> =
            sources.iter().enumerate().flat_map(|(n, s)| (0..s.lives.len()).map(move |l| (n, l))).collect();
        let mut loosened = 0;
        let (upper, lower) = (0..LOOSENINGS)
            .find_map(|n| {
                loosened = if n == 0 { 0 } else { LOOSENED << (n - 1) };
                held(&bounds, to, loosened)
            })
            .unwrap_or_default();
        let mut all = BTreeMap::new();
        for node in nodes {
            let aligned = match (node == to, upper.get(&node), lower.get(&node)) {
                (true, ..) => Aligned { offset: 0, error: Some(0), by: By::Itself },
                (_, Some(most), Some(least)) => {
                    let (offset, error) = (least + (most - least) / 2, (most - least).max(0) as u64);
                    Aligned { offset, error: Some(error.div_ceil(2)), by: By::Mail }
                }
                _ => self.otherwise(node, to, sources),
            };
            all.insert(node, aligned);
        }
        Alignment { to, all, counts, loosened: loosened as u64 }
    }

    /// Where nothing has passed between them.
    fn otherwise(&self, node: Node, to: Node, sources: &[Source]) -> Aligned {
        if let (Some(one), Some(other)) = (self.behind.get(&node), self.behind.get(&to)) {
            return Aligned { offset: one - other, error: Some(COLLECTED as u64), by: By::Collector };
        }
        let unix = |node: Node| Some(sources.get(node.0)?.lives.get(node.1)?.head.as_ref()?.unix_ms as i64);
        match (unix(node), unix(to)) {
            (Some(one), Some(other)) => {
                let offset = one.saturating_sub(other).saturating_mul(MS as i64);
                Aligned { offset, error: None, by: By::Clock }
            }
            _ => Aligned { offset: 0, error: None, by: By::Nothing },
        }
    }
}

/// The clocks of all lives, against one.
#[derive(Debug)]
pub struct Alignment {
    /// The one.
    pub to: Node,
    all: BTreeMap<Node, Aligned>,
    /// Words of each life that count.
    counts: BTreeMap<Node, usize>,
    /// All bounds are looser by this, since the clocks do not run alike.
    pub loosened: u64,
}

impl Alignment {
    /// Of one life.
    pub fn of(&self, node: Node) -> Aligned {
        self.all.get(&node).copied().unwrap_or(Aligned { offset: 0, error: None, by: By::Nothing })
    }

    /// Words of it that count.
    pub fn words(&self, node: Node) -> usize {
        self.counts.get(&node).copied().unwrap_or(0)
    }
}

type Held = BTreeMap<Node, i64>;

/// How much is added to each life's times, at most and at least; none where the bounds contradict one another.
fn held(bounds: &Bounds, to: Node, loosened: i64) -> Option<(Held, Held)> {
    // What was sent at s and came at c says of what is added to the times of both: sender's <= receiver's + (c - s).
    let forth = bounds.iter().map(|((from, into), least)| (*into, *from, least + loosened));
    let back = bounds.iter().map(|((from, into), least)| (*from, *into, least + loosened));
    let upper = shortest(&forth.collect::<Vec<_>>(), to)?;
    let lower = shortest(&back.collect::<Vec<_>>(), to)?;
    Some((upper, lower.into_iter().map(|(node, most)| (node, -most)).collect()))
}

/// The shortest ways from one life to all; none where one leads round to less than nothing.
fn shortest(edges: &[(Node, Node, i64)], from: Node) -> Option<Held> {
    let mut ways = Held::from([(from, 0)]);
    let nodes = edges.len().min(10_000) + 2;
    for _ in 0..nodes {
        let mut shorter = false;
        for (a, b, length) in edges {
            let Some(way) = ways.get(a).map(|way| way.saturating_add(*length)) else { continue };
            if ways.get(b).is_none_or(|known| way < *known) {
                ways.insert(*b, way);
                shorter = true;
            }
        }
        if ways.get(&from).is_some_and(|way| *way < 0) {
            return None;
        }
        if !shorter {
            return Some(ways);
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Three lives whose clocks are 0, 5 and -3 s ahead; what passes takes 1 to 3 ms each way.
    fn bounds(loss: bool) -> Bounds {
        let ahead = [0, 5_000 * MS as i64, -3_000 * MS as i64];
        let mut bounds = Bounds::new();
        for (one, other) in [(0, 1), (1, 0), (1, 2), (2, 1)] {
            if loss && (one, other) == (2, 1) {
                continue;
            }
            for took in [3, 1, 2] {
                let least = bounds.entry(((one, 0), (other, 0))).or_insert(i64::MAX);
                *least = (*least).min(ahead[other] - ahead[one] + took * MS as i64);
            }
        }
        bounds
    }

    #[test]
    fn each_clock_is_held_from_both_sides_over_any_way_round() {
        let (upper, lower) = held(&bounds(false), (0, 0), 0).expect("they agree");
        let ms = |all: &Held, n| all.get(&(n, 0)).map(|at| at / MS as i64);
        assert_eq!((ms(&lower, 1), ms(&upper, 1)), (Some(-5_001), Some(-4_999)));
        assert_eq!((ms(&lower, 2), ms(&upper, 2)), (Some(2_998), Some(3_002)));
        // Nothing came back from the third: it is held on one side.
        let (upper, lower) = held(&bounds(true), (0, 0), 0).expect("they agree");
        assert_eq!((ms(&lower, 2), ms(&upper, 2)), (Some(2_998), None));
    }

    #[test]
    fn clocks_that_contradict_one_another_are_loosened() {
        let mut bounds = bounds(false);
        // Something came 4 ms before it was sent, by the others' word.
        *bounds.get_mut(&((0, 0), (1, 0))).expect("one") -= 5 * MS as i64;
        assert_eq!(held(&bounds, (0, 0), 0), None);
        assert_eq!(held(&bounds, (0, 0), MS as i64), None);
        assert!(held(&bounds, (0, 0), 2 * MS as i64).is_some());
    }
}
