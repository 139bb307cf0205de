//! Parts that are lent among three dispatchers, in the small: the real machines, with clocks that run apart, words that come
//! late, twice or never, a pause, and a restart with or without the folder.
//!
//! The first clock is as fast and the second as slow as the terms allow. What a dispatcher uses is what it was last told,
//! by its own clock: one that is paused, or that nobody tells anything, goes on with that.

pub use millpost_tier::Fault;
use millpost_tier::TierConfig;
use millpost_tier::lending::{Loans, Share, WHOLE, even_share};
use serde::Serialize;

use crate::search::{State, Way, fingerprint};

/// What must hold.
pub mod property {
    /// The parts in use sum to no more than the whole.
    pub const SUM: &str = "the parts in use never sum to more than the whole";
    /// Once all that was lent is over, each has its even part.
    pub const EVEN: &str = "with nothing lent each has its even part";
}

const ALL: usize = 3;
const DEST: u64 = 1;
/// A quantum of true time, on a true clock.
const QUANTUM: u64 = 1_000_000_000;
/// How fast the clocks run, in thousandths.
const RATES: [u64; ALL] = [1_100, 900, 1_000];
/// Quanta that are explored.
const LONGEST: u8 = 11;

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Bounds {
    /// Askings.
    pub asks: u8,
    /// Words that come twice.
    pub copies: u8,
    /// Restarts.
    pub restarts: u8,
    /// Of these, with an empty folder.
    pub lost: u8,
    /// Pauses.
    pub pauses: u8,
}

/// A world to be explored.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens in it.
    pub name: &'static str,
    /// How often.
    pub bounds: Bounds,
}

/// Every way in which words and dispatchers may fail together.
pub fn cases() -> Vec<Case> {
    let calm = Bounds { asks: 1, copies: 0, restarts: 0, lost: 0, pauses: 0 };
    let case = |name, bounds| Case { name, bounds };
    vec![
        case("lend: one asking, a copy, a pause", Bounds { copies: 1, pauses: 1, ..calm }),
        case("lend: one asking, a copy, a restart", Bounds { copies: 1, restarts: 1, ..calm }),
        case(
            "lend: one asking, a copy, a pause, a restart, a lost folder",
            Bounds { asks: 1, copies: 1, restarts: 1, lost: 1, pauses: 1 },
        ),
        case("lend: two askings, a copy", Bounds { asks: 2, copies: 1, ..calm }),
        case("lend: two askings, a restart, a lost folder", Bounds { asks: 2, restarts: 1, lost: 1, ..calm }),
    ]
}

/// More at once: minutes.
pub fn large() -> Vec<Case> {
    let case = |name, bounds| Case { name, bounds };
    vec![case("lend: two askings, a pause", Bounds { asks: 2, copies: 0, restarts: 0, lost: 0, pauses: 1 })]
}

/// Faults of the machines that must be found here.
pub const FAULTS: [Fault; 4] = [Fault::ForgetEnds, Fault::ForgetLent, Fault::NoMargin, Fault::LendTwice];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
enum What {
    Ask,
    Grant(u32),
}

/// A word on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Word {
    from: u8,
    to: u8,
    /// The borrower's life and its asking.
    life: u32,
    seq: u32,
    what: What,
}

#[derive(Clone, Debug, Serialize)]
struct Node {
    loans: Loans,
    life: u32,
    paused: bool,
    /// What it was last told that it may use.
    part: u32,
    until: u64,
    after: u32,
}

/// The three, and what is between them.
#[derive(Clone, Debug, Serialize)]
pub struct Lend {
    time: u8,
    nodes: Vec<Node>,
    words: Vec<Word>,
    left: Bounds,
    /// Restarts so far: each draws other numbers.
    drawn: u32,
    same_numbers: bool,
    /// When something was last lent, or a dispatcher began.
    busy: u8,
    breach: Option<&'static str>,
    #[serde(skip)]
    fault: Option<Fault>,
    #[serde(skip)]
    terms: TierConfig,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A quantum passes, and whoever is not paused looks at the clock.
    Pass,
    /// One asks another.
    Ask(usize, usize),
    /// A word comes.
    Comes(usize),
    /// A word comes, and will come once more.
    Twice(usize),
    /// One restarts, with its folder or without.
    Restart(usize, bool),
    /// One stops.
    Pause(usize),
    /// It goes on.
    Wake(usize),
}

impl Case {
    /// Nothing has happened in it yet: all are past the time in which they are not sure what they lent.
    /// With `same_numbers` each life begins its askings at one number.
    pub fn start(&self, fault: Option<Fault>, same_numbers: bool) -> Lend {
        let terms =
            TierConfig { term_ms: 3_000, clock_rate_permille: 100, planted: fault, ..TierConfig::default() };
        let node = |n: usize| Node {
            loans: Loans::planted(0, ALL as u16, &terms, n as u32 * 1_000, fault),
            life: 1,
            paused: false,
            part: 0,
            until: u64::MAX,
            after: 0,
        };
        let mut lend = Lend {
            // A hold is under five quanta by any of the clocks.
            time: 5,
            nodes: (0..ALL).map(node).collect(),
            words: Vec::new(),
            left: self.bounds,
            drawn: 0,
            same_numbers,
            busy: 0,
            breach: None,
            fault,
            terms: terms.clone(),
        };
        (0..ALL).for_each(|n| lend.tell(n));
        lend
    }
}

impl Lend {
    fn clock(&self, node: usize) -> u64 {
        u64::from(self.time) * QUANTUM / 1_000 * RATES[node]
    }

    /// A dispatcher's module is told what it may use.
    fn tell(&mut self, node: usize) {
        let now = self.clock(node);
        let n = &mut self.nodes[node];
        let Share { part, until, after } = n.loans.share(now, DEST, even_share(ALL as u16), 0);
        (n.part, n.until, n.after) = (part, until, after);
    }

    fn in_use(&self, node: usize) -> u32 {
        let n = &self.nodes[node];
        if self.clock(node) < n.until { n.part } else { n.after }
    }

    fn comes(&mut self, word: Word) {
        let (to, now) = (usize::from(word.to), self.clock(usize::from(word.to)));
        let (terms, right) = (self.terms.clone(), even_share(ALL as u16));
        let node = &mut self.nodes[to];
        match word.what {
            What::Ask => {
                let from = (u16::from(word.from), word.life);
                let lent = node.loans.handle_request(now, from, DEST, word.seq, right, right, 0, &terms);
                if let Some(part) = lent {
                    self.busy = self.time;
                    // It does without before the word leaves.
                    self.tell(to);
                    self.words.push(Word { from: word.to, to: word.from, what: What::Grant(part), ..word });
                }
            }
            What::Grant(part) => {
                let mine = node.life == word.life;
                if mine && node.loans.handle_grant(now, u16::from(word.from), DEST, word.seq, part, &terms) {
                    self.tell(to);
                }
            }
        }
    }

    fn happen(&mut self, step: Step) {
        match step {
            Step::Pass => {
                self.time += 1;
                for node in 0..ALL {
                    if !self.nodes[node].paused {
                        let now = self.clock(node);
                        self.nodes[node].loans.retain(now, |_| true);
                        self.tell(node);
                    }
                }
            }
            Step::Ask(node, to) => {
                self.left.asks -= 1;
                let (now, terms) = (self.clock(node), self.terms.clone());
                let n = &mut self.nodes[node];
                let (life, seq) = (n.life, n.loans.new_request(now, DEST, &terms));
                self.words.push(Word { from: node as u8, to: to as u8, life, seq, what: What::Ask });
            }
            Step::Comes(n) => {
                let word = self.words.remove(n);
                self.comes(word);
            }
            Step::Twice(n) => {
                self.left.copies -= 1;
                self.comes(self.words[n]);
            }
            Step::Restart(node, lost) => {
                self.left.restarts -= 1;
                self.left.lost -= u8::from(lost);
                self.drawn += 1;
                self.busy = self.time;
                let now = self.clock(node);
                let drawn = if self.same_numbers { 0 } else { self.drawn * 10_000 } + node as u32 * 1_000;
                let n = &mut self.nodes[node];
                n.loans = Loans::planted(now, ALL as u16, &self.terms, drawn, self.fault);
                // Without its folder it takes itself to be in its first life.
                n.life = if lost { 1 } else { n.life + 1 };
                n.paused = false;
                self.tell(node);
            }
            Step::Pause(node) => {
                self.left.pauses -= 1;
                self.nodes[node].paused = true;
            }
            Step::Wake(node) => self.nodes[node].paused = false,
        }
        self.look(step == Step::Pass);
    }

    /// After a quantum all that are not paused have looked at the clock.
    fn look(&mut self, passed: bool) {
        let sum: u64 = (0..ALL).map(|n| u64::from(self.in_use(n))).sum();
        if sum > u64::from(WHOLE) {
            self.breach = Some(property::SUM);
        }
        // All that was lent is over by any clock.
        let over = passed && self.time > self.busy.max(5) + 5;
        let short = |n: usize| !self.nodes[n].paused && self.in_use(n) < even_share(ALL as u16);
        if over && (0..ALL).any(short) {
            self.breach = self.breach.or(Some(property::EVEN));
        }
    }

    fn all(&self) -> Vec<Step> {
        let mut all = Vec::new();
        let awake = |n: &usize| !self.nodes[*n].paused;
        for (n, word) in self.words.iter().enumerate().filter(|(_, w)| awake(&usize::from(w.to))) {
            // One of the same is as good as another.
            if self.words[..n].contains(word) {
                continue;
            }
            all.push(Step::Comes(n));
            if self.left.copies > 0 {
                all.push(Step::Twice(n));
            }
        }
        if self.time < LONGEST {
            all.push(Step::Pass);
        }
        for node in 0..ALL {
            if self.nodes[node].paused {
                all.push(Step::Wake(node));
                continue;
            }
            if self.left.asks > 0 {
                all.extend((0..ALL).filter(|to| *to != node).map(|to| Step::Ask(node, to)));
            }
            if self.left.pauses > 0 {
                all.push(Step::Pause(node));
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

impl State for Lend {
    type Step = Step;

    fn expand(&self, mut each: impl FnMut(Step, Lend)) {
        if self.breach.is_none() {
            self.all().into_iter().for_each(|step| each(step, self.after(step)));
        }
    }
    fn after(&self, step: Step) -> Lend {
        let mut lend = self.clone();
        lend.happen(step);
        lend
    }
    fn settle(&mut self) {
        self.words.sort_unstable();
    }
    fn fingerprint(&self, room: &mut Vec<u8>) -> u128 {
        fingerprint(self, room)
    }
    fn breach(&self) -> Option<&'static str> {
        self.breach
    }
    fn calm(&self) -> Option<Step> {
        self.all().first().copied()
    }
}

/// A way for people: a step a line, with what each uses after it in thousandths of the whole.
pub fn text(way: &Way<Lend>) -> String {
    let mut out = String::new();
    for (n, (lend, step)) in way.iter().enumerate() {
        let uses: Vec<u64> = (0..ALL).map(|n| u64::from(lend.in_use(n)) * 1_000 / u64::from(WHOLE)).collect();
        out += &format!("  {n:>3}  in use {uses:?}");
        match (step, lend.breach) {
            (Some(Step::Comes(n) | Step::Twice(n)), _) => {
                out += &format!("  {step:?}: {:?}\n", lend.words[*n]);
            }
            (Some(step), _) => out += &format!("  {step:?}\n"),
            (None, Some(name)) => out += &format!("\n  does not hold: {name}\n"),
            (None, None) => out += "\n",
        }
    }
    out
}
