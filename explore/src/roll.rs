//! Who is behind, among three dispatchers and two lists, in the small: the real machines, with words that come or don't, or
//! late, a path that is cut one way, and a restart with or without the folder.

use millpost_tier::TierConfig;
use millpost_tier::frame::{Heartbeat, Sender};
use millpost_tier::liveness::Liveness;
use millpost_tier::staleness::{Decision, ServiceState, StalenessDetector, StalenessVotes};
use millpost_tier::versions::{ActiveVersions, Kind, VersionReport};
pub use millpost_tier::{Fault, Rules};
use serde::Serialize;

use crate::search::{State, Way, fingerprint};

/// What must hold.
pub mod property {
    /// See there.
    pub const CURRENT: &str = "nobody is shut out that acts on the newest list";
    /// See there.
    pub const MOST: &str = "nobody is shut out unless most had moved on";
    /// See there.
    pub const SERVE: &str = "the stated part serves";
    /// See there.
    pub const SETTLES: &str = "once all hear all, who is behind is out and all others are in";
}

const ALL: usize = 3;
const QUANTUM: u64 = 1_000_000_000;
/// When a world begins, and when it ends.
const FROM: u8 = 20;
const QUANTA: u8 = 7;
/// Quanta in which all hear all, and everything has settled by then.
const CALM: u8 = 16;
const PASS_ON: u8 = 1;
const OLD: u32 = 1;
const NEW: u32 = 2;

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Bounds {
    /// Dispatchers that hear of the new list from their own source.
    pub moves: u8,
    /// Paths that are cut, one way.
    pub cuts: u8,
    /// Restarts.
    pub restarts: u8,
    /// Of these, with an empty folder.
    pub lost: u8,
    /// Words that are kept back, and come later.
    pub late: u8,
}

/// A world to be explored.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens in it.
    pub name: &'static str,
    /// Dispatchers that act on the new list from the start.
    pub moved: u8,
    /// How often.
    pub bounds: Bounds,
}

/// Every way in which words and dispatchers may fail together.
pub fn cases() -> Vec<Case> {
    let calm = Bounds { moves: 2, cuts: 0, restarts: 0, lost: 0, late: 0 };
    let case = |name, bounds| Case { name, moved: 0, bounds };
    let begun = Bounds { moves: 0, ..calm };
    vec![
        Case {
            name: "roll: two have moved, a restart, a lost folder, one path is cut",
            moved: 2,
            bounds: Bounds { cuts: 1, restarts: 1, lost: 1, ..begun },
        },
        case("roll: two of three move, one path is cut", Bounds { cuts: 1, ..calm }),
    ]
}

/// More of the same: a minute or two.
pub fn large() -> Vec<Case> {
    let calm = Bounds { moves: 2, cuts: 0, restarts: 0, lost: 0, late: 0 };
    let case = |name, bounds| Case { name, moved: 0, bounds };
    let begun = Bounds { moves: 0, ..calm };
    vec![
        Case {
            name: "roll: one has moved, another moves, a restart, a word is late",
            moved: 1,
            bounds: Bounds { moves: 1, restarts: 1, late: 1, ..begun },
        },
        case("roll: all move, a word is late", Bounds { moves: 3, late: 1, ..calm }),
        case("roll: two of three move, a restart, a lost folder", Bounds { restarts: 1, lost: 1, ..calm }),
        case("roll: all move, a restart, one path is cut", Bounds { moves: 3, cuts: 1, restarts: 1, ..calm }),
    ]
}

/// Faults of the machines that must be found here.
pub const FAULTS: [Fault; 2] = [Fault::StaleVotes, Fault::HeldOnce];

#[derive(Clone, Debug, Serialize)]
struct Node {
    judge: StalenessDetector,
    heard: Liveness,
    list: u32,
    /// When its source told it that list, as its folder has it.
    since: Option<u8>,
    life: u32,
}

/// What one says.
#[derive(Clone, Debug, Serialize)]
struct Word {
    to: u8,
    speaker: Sender,
    lives: Vec<(u16, Heartbeat)>,
    stands: Vec<VersionReport>,
    findings: Vec<StalenessVotes>,
}

/// The three.
#[derive(Clone, Debug, Serialize)]
pub struct Roll {
    time: u8,
    nodes: Vec<Node>,
    /// Who has heard whom in this quantum, and which path is cut.
    told: Vec<(u8, u8)>,
    cut: Vec<(u8, u8)>,
    late: Vec<Word>,
    left: Bounds,
    breach: Option<&'static str>,
    #[serde(skip)]
    fault: Option<Fault>,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A quantum passes.
    Pass,
    /// The first hears the second.
    Hears(u8, u8),
    /// What the second says to the first is kept back.
    Keeps(u8, u8),
    /// It comes.
    Comes,
    /// One hears of the new list from its own source.
    Moves(u8),
    /// The first hears the second no more.
    Cut(u8, u8),
    /// One restarts, with its folder or without.
    Restart(u8, bool),
}

fn terms() -> TierConfig {
    TierConfig { enabled: true, ..TierConfig::default() }
}

fn rules() -> Rules {
    Rules {
        enabled: true,
        list_ms: 2_000,
        settings_ms: 0,
        cordons_ms: 0,
        return_ms: 1_000,
        ..Rules::default()
    }
}

impl Case {
    /// All act on the old list, and know it of each other.
    pub fn start(&self, fault: Option<Fault>) -> Roll {
        let mut roll = Roll {
            time: FROM,
            nodes: Vec::new(),
            told: Vec::new(),
            cut: Vec::new(),
            late: Vec::new(),
            left: self.bounds,
            breach: None,
            fault,
        };
        roll.nodes = (0..ALL as u8).map(|n| roll.node(n, OLD, Some(FROM), 1)).collect();
        roll.all_hear_all();
        roll.time += 1;
        (0..self.moved).for_each(|node| roll.moves(node));
        roll.all_hear_all();
        roll
    }
}

impl Roll {
    fn now(&self) -> u64 {
        u64::from(self.time) * QUANTUM
    }

    /// A life begins on this list, of which nobody knows how old it is.
    fn node(&self, number: u8, list: u32, since: Option<u8>, life: u32) -> Node {
        let mut standing = ActiveVersions { incarnation: life, epoch: life, ..ActiveVersions::default() };
        standing.set_version(Kind::List, list);
        let (who, of, now) = (u16::from(number), ALL as u16, self.now());
        let held = since.map_or(u64::MAX, |since| u64::from(self.time - since) * QUANTUM);
        let judge = StalenessDetector::new(now, who, of, rules(), standing, [held, 0, 0, 0], 1);
        let heard = Liveness::new(now, who, of, life);
        Node { judge: judge.with_fault(self.fault), heard, list, since, life }
    }

    fn word(&mut self, to: u8, from: u8) -> Word {
        let now = self.now();
        let node = &mut self.nodes[usize::from(from)];
        let speaker = node.heard.sender();
        let mut stands: Vec<VersionReport> =
            node.judge.own_report(now, speaker.life.beat).into_iter().collect();
        stands.extend(node.judge.items_to_forward(now, true, ALL));
        let lives = (0..ALL as u16).map(|who| (who, node.heard.heartbeat(who))).collect();
        Word { to, speaker, lives, stands, findings: node.judge.votes_to_send(true, ALL) }
    }

    fn comes(&mut self, word: &Word) {
        let (now, to) = (self.now(), usize::from(word.to));
        let node = &mut self.nodes[to];
        // As the whole does: what an earlier life says is not heard, and a later one of the own name goes before.
        let known = node.heard.heartbeat(word.speaker.who);
        node.heard.observe_sender(now, &word.speaker);
        if word.speaker.life.incarnation < known.incarnation {
            return;
        }
        for (who, life) in &word.lives {
            if let Some(incarnation) = node.heard.observe(now, *who, *life) {
                node.judge.set_incarnation(incarnation);
            }
        }
        for stands in &word.stands {
            node.judge.receive(now, stands, PASS_ON);
        }
        for finding in &word.findings {
            node.judge.receive_votes(finding, PASS_ON);
        }
        self.look(to);
    }

    /// One judges, and what follows is held against the properties.
    fn look(&mut self, node: usize) {
        let now = self.now();
        let on_new = self.nodes.iter().filter(|node| node.list == NEW).count();
        let n = &mut self.nodes[node];
        let out = n
            .judge
            .evaluate(now, &n.heard, &terms(), PASS_ON)
            .iter()
            .any(|c| matches!(c, Decision::ShutOut(_)));
        if out {
            n.heard.begin_epoch();
            let epoch = n.heard.sender().life.incarnation;
            n.judge.set_epoch(epoch);
        }
        let broken = match () {
            () if out && n.list == NEW => Some(property::CURRENT),
            () if out && on_new < 2 && self.left.restarts > 0 => Some(property::MOST),
            () if self.out().len() > rules().may_be_out(ALL as u16) => Some(property::SERVE),
            () => None,
        };
        self.breach = self.breach.or(broken);
    }

    fn out(&self) -> Vec<usize> {
        (0..ALL).filter(|n| self.nodes[*n].judge.service() != ServiceState::In).collect()
    }

    fn all_hear_all(&mut self) {
        for to in 0..ALL as u8 {
            for from in (0..ALL as u8).filter(|from| *from != to) {
                let word = self.word(to, from);
                self.comes(&word);
            }
        }
    }

    fn pass(&mut self) {
        self.time += 1;
        self.told.clear();
        for node in 0..ALL {
            self.nodes[node].heard.advance_beat();
            self.look(node);
        }
    }

    fn moves(&mut self, node: u8) {
        let (now, time, node) = (self.now(), self.time, &mut self.nodes[usize::from(node)]);
        (node.list, node.since) = (NEW, Some(time));
        node.judge.set_version(now, Kind::List, NEW, 0);
    }

    fn happen(&mut self, step: Step) {
        match step {
            Step::Pass => {
                self.pass();
                if self.time >= FROM + QUANTA {
                    self.settles();
                }
            }
            Step::Hears(to, from) => {
                let word = self.word(to, from);
                self.told.push((to, from));
                self.comes(&word);
            }
            Step::Keeps(to, from) => {
                self.left.late -= 1;
                let word = self.word(to, from);
                self.told.push((to, from));
                self.late.push(word);
            }
            Step::Comes => {
                let word = self.late.remove(0);
                self.comes(&word);
            }
            Step::Moves(node) => {
                self.left.moves -= 1;
                self.moves(node);
            }
            Step::Cut(to, from) => {
                self.left.cuts -= 1;
                self.cut.push((to, from));
            }
            Step::Restart(node, lost) => {
                self.left.restarts -= 1;
                self.left.lost -= u8::from(lost);
                let before = &self.nodes[usize::from(node)];
                let life = if lost { 1 } else { before.heard.sender().life.incarnation.max(before.life) + 1 };
                let (list, since) = if lost { (OLD, None) } else { (before.list, before.since) };
                self.nodes[usize::from(node)] = self.node(node, list, since, life);
            }
        }
    }

    /// From here on all hear all.
    fn settles(&mut self) {
        let mut calm = self.clone();
        for _ in 0..CALM {
            calm.pass();
            calm.all_hear_all();
        }
        let on_new = calm.nodes.iter().filter(|node| node.list == NEW).count();
        let wrong = |n: usize| {
            let behind = on_new == 2 && calm.nodes[n].list == OLD;
            behind != calm.out().contains(&n)
        };
        let broken = (0..ALL).any(wrong).then_some(property::SETTLES);
        self.breach = self.breach.or(calm.breach).or(broken);
    }

    fn all(&self) -> Vec<Step> {
        let mut all = Vec::new();
        if self.time >= FROM + QUANTA {
            return all;
        }
        for to in 0..ALL as u8 {
            for from in (0..ALL as u8).filter(|from| *from != to) {
                if self.told.contains(&(to, from)) || self.cut.contains(&(to, from)) {
                    continue;
                }
                all.push(Step::Hears(to, from));
                if self.left.late > 0 {
                    all.push(Step::Keeps(to, from));
                }
                if self.left.cuts > 0 {
                    all.push(Step::Cut(to, from));
                }
            }
        }
        if !self.late.is_empty() {
            all.push(Step::Comes);
        }
        all.push(Step::Pass);
        for node in 0..ALL as u8 {
            if self.left.moves > 0 && self.nodes[usize::from(node)].list == OLD {
                all.push(Step::Moves(node));
            }
            if self.left.restarts > 0 {
                all.push(Step::Restart(node, false));
                if self.left.lost > 0 {
                    all.push(Step::Restart(node, true));
                }
            }
        }
        all
    }
}

impl State for Roll {
    type Step = Step;

    fn expand(&self, mut each: impl FnMut(Step, Roll)) {
        if self.breach.is_none() {
            self.all().into_iter().for_each(|step| each(step, self.after(step)));
        }
    }
    fn after(&self, step: Step) -> Roll {
        let mut roll = self.clone();
        roll.happen(step);
        roll
    }
    fn settle(&mut self) {
        self.told.sort_unstable();
    }
    fn fingerprint(&self, room: &mut Vec<u8>) -> u128 {
        fingerprint(self, room)
    }
    fn breach(&self) -> Option<&'static str> {
        self.breach
    }
    /// Each hears each, then time passes.
    fn calm(&self) -> Option<Step> {
        self.all().into_iter().find(|step| matches!(step, Step::Hears(..) | Step::Pass))
    }
}

/// A way for people: a step a line, with the list of each and who is out.
pub fn text(way: &Way<Roll>) -> String {
    let mut out = String::new();
    for (n, (roll, step)) in way.iter().enumerate() {
        let lists: Vec<u32> = roll.nodes.iter().map(|node| node.list).collect();
        out += &format!("  {n:>3}  {:>2} s  lists {lists:?}  out {:?}", roll.time - FROM, roll.out());
        match (step, roll.breach) {
            (Some(step), _) => out += &format!("  {step:?}\n"),
            (None, Some(name)) => out += &format!("\n  does not hold: {name}\n"),
            (None, None) => out += "\n",
        }
    }
    out
}
