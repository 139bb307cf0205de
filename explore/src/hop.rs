//! The hop between two sites in the small: the real near and far side, with links that break and deliver late, and crashes
//! of either side with or without its folder.
//!
//! A link keeps the order of what is written on it. One that was given up by the near side may still bring to the far side
//! what was written on it, at any later time or never; what it brings to the near side is not read any more.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use millpost_gateway::far::{self, Far, Found};
use millpost_gateway::near::{self, Near, Outcome, Word};
use millpost_gateway::{End, HopKey};
use serde::Serialize;

use crate::search::{State, fingerprint};

mod cases;
pub use cases::{Case, cases, faults, large, text};

/// What must hold.
pub mod property {
    /// What the near side holds to have never run has not run at the far side, and never will.
    pub const TRUE_VOID: &str = "what the near side holds to have never run never runs";
    /// A message that must not go twice takes effect once at most, on whatever route.
    pub const ONE_EFFECT: &str = "no second effect where the class forbids it";
    /// The near side gives one outcome for each offer.
    pub const ONE_OUTCOME: &str = "one outcome for each offer";
    /// What is told as delivered took effect.
    pub const TRUE_DELIVERY: &str = "what is told as delivered took effect";
    /// A message whose time is over has its final answer.
    pub const ENDS: &str = "every message has its answer when its time is over";
    /// With the link up and nothing under way the far side owes no end any more, and in the end remembers nothing.
    pub const FORGOTTEN: &str = "what is over is not remembered for ever";
    /// With the link up and nothing under way no offer is left open that the far side knows the end of.
    pub const HEARD: &str = "an end that the far side knows is heard";
}

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Bounds {
    /// Links that break.
    pub cuts: u8,
    /// Crashes of the near side.
    pub near_crashes: u8,
    /// Crashes of the far side.
    pub far_crashes: u8,
    /// Of these, crashes that cost the folder.
    pub lost_folders: u8,
    /// Frames that come twice.
    pub copies: u8,
    /// Offers that are refused for want of room.
    pub refusals: u8,
    /// Offers of one message.
    pub tries: u32,
}

/// A frame on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Frame {
    Offer(HopKey),
    Ask(HopKey),
    Acknowledge(HopKey),
    Settled(u64),
    Tell(HopKey, Word_),
}

/// A word, in a form that can be told apart by its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Word_ {
    Accepted,
    Ended(End),
    Void,
}

impl From<Word> for Word_ {
    fn from(word: Word) -> Self {
        match word {
            Word::Accepted => Word_::Accepted,
            Word::Ended(end) => Word_::Ended(end),
            Word::Void => Word_::Void,
        }
    }
}

impl From<Word_> for Word {
    fn from(word: Word_) -> Self {
        match word {
            Word_::Accepted => Word::Accepted,
            Word_::Ended(end) => Word::Ended(end),
            Word_::Void => Word::Void,
        }
    }
}

/// A connection. The last one is in use, as far as either side knows.
#[derive(Clone, Debug, Default, Serialize)]
struct Link {
    to_far: VecDeque<Frame>,
    to_near: VecDeque<Frame>,
    /// The near side still reads it.
    near: bool,
    /// The far side still reads it.
    far: bool,
}

/// A message at the near side.
#[derive(Clone, Debug, Serialize)]
struct Message {
    /// A second effect is never acceptable.
    once: bool,
    /// Offers so far.
    attempts: u32,
    /// One is out.
    out: bool,
    /// Its client has its final answer.
    answered: bool,
    /// Effects, at the far side and elsewhere.
    effects: u8,
}

/// What the far side's store holds of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Kept {
    /// Taken on; the attempt at the partner is noted.
    Accepted {
        begun: bool,
    },
    Ended(End),
    Void,
    Done,
}

/// The state of everything.
#[derive(Clone, Debug, Serialize)]
pub struct Hop {
    late: bool,
    left: Bounds,
    messages: Vec<Message>,
    near: Near,
    /// Offers noted in the near side's store, with the far side's store then.
    noted: BTreeMap<HopKey, u64>,
    /// Offers that have their outcome in the near side's store.
    done: BTreeMap<HopKey, Outcome_>,
    far: Far,
    epoch: u64,
    kept: BTreeMap<HopKey, Kept>,
    floor: u64,
    /// Offers that took effect at the far side's partner.
    ran: BTreeSet<HopKey>,
    links: Vec<Link>,
    #[serde(skip)]
    faults: Faults,
    breach: Option<&'static str>,
}

/// What was planted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// At the near side.
    pub near: Option<near::Fault>,
    /// At the far side.
    pub far: Option<far::Fault>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Outcome_ {
    NeverRan,
    Delivered,
    MayHaveRun,
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// The near side offers a message.
    Offer(usize),
    /// It goes elsewhere, since it is known not to have run.
    Elsewhere(usize),
    /// The first frame on a link comes to the far side; with `copy` it stays there, to come again.
    ToFar {
        /// The link.
        link: usize,
        /// It comes again.
        copy: bool,
        /// An offer is refused for want of room.
        refuse: bool,
    },
    /// The same to the near side.
    ToNear {
        /// The link.
        link: usize,
        /// It comes again.
        copy: bool,
    },
    /// The near side gives the link up.
    Cut,
    /// A new one is up.
    Connect,
    /// The far side's partner has an offer: it ran or not, and the far side hears this end.
    Serve {
        /// Which.
        key: HopKey,
        /// It took effect.
        ran: bool,
        /// What the far side makes of it.
        end: End,
    },
    /// Time is over.
    Late,
    /// The near side says what it is done with.
    Settle,
    /// The near side dies and starts again.
    NearDies,
    /// The far side does.
    FarDies {
        /// Without its folder.
        bare: bool,
    },
}

/// A step: what happens, and whether a side dies after so many of the effects that follow, and starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// What happens.
    pub what: What,
    /// Whose crash comes after how many effects.
    pub crash: Option<(Side, u8, bool)>,
}

/// A side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The near one.
    Near,
    /// The far one.
    Far,
}

const STORE: u64 = 9;
const DEADLINE: u64 = 100;

impl Hop {
    /// Nothing has happened; these messages will be offered, each one that must not go twice or one that may.
    pub fn new(left: Bounds, once: &[bool], faults: Faults) -> Self {
        let message =
            |once: &bool| Message { once: *once, attempts: 0, out: false, answered: false, effects: 0 };
        let mut hop = Hop {
            late: false,
            left,
            messages: once.iter().map(message).collect(),
            near: Near::default(),
            noted: BTreeMap::new(),
            done: BTreeMap::new(),
            far: Far::default(),
            epoch: 1,
            kept: BTreeMap::new(),
            floor: 0,
            ran: BTreeSet::new(),
            links: Vec::new(),
            faults,
            breach: None,
        };
        hop.near.plant(faults.near);
        hop.far.plant(faults.far);
        hop
    }

    fn now(&self) -> u64 {
        if self.late { DEADLINE } else { 0 }
    }

    fn breach(&mut self, property: &'static str) {
        self.breach.get_or_insert(property);
    }

    fn near_link(&mut self) -> Option<&mut Link> {
        self.links.last_mut().filter(|link| link.near)
    }

    fn is_up(&self) -> bool {
        self.links.last().is_some_and(|link| link.near)
    }

    fn all(&self) -> Vec<What> {
        let mut all = Vec::new();
        for (n, m) in self.messages.iter().enumerate() {
            let may = !m.out && !m.answered && !self.late;
            if may && m.attempts < self.left.tries && self.is_up() {
                all.push(What::Offer(n));
            }
            if may && m.attempts > 0 {
                all.push(What::Elsewhere(n));
            }
        }
        for (n, link) in self.links.iter().enumerate() {
            if let Some(frame) = link.to_far.front().filter(|_| link.far) {
                all.push(What::ToFar { link: n, copy: false, refuse: false });
                if self.left.refusals > 0 && matches!(frame, Frame::Offer(_)) {
                    all.push(What::ToFar { link: n, copy: false, refuse: true });
                }
                if self.left.copies > 0 {
                    all.push(What::ToFar { link: n, copy: true, refuse: false });
                }
            }
            if link.near && !link.to_near.is_empty() {
                all.push(What::ToNear { link: n, copy: false });
                if self.left.copies > 0 {
                    all.push(What::ToNear { link: n, copy: true });
                }
            }
        }
        if self.is_up() {
            // One that the far side does not read any more breaks by itself.
            if self.left.cuts > 0 || self.links.last().is_some_and(|link| !link.far) {
                all.push(What::Cut);
            }
        } else {
            all.push(What::Connect);
        }
        for (key, kept) in &self.kept {
            let Kept::Accepted { begun } = kept else { continue };
            let once = self.messages[key.message as usize].once;
            // One that was out when the far side died is given up as one that may have run.
            if *begun && once {
                all.push(What::Serve { key: *key, ran: false, end: End::Failed });
                continue;
            }
            for (ran, end) in [
                (true, End::Delivered),
                (true, End::Failed),
                (false, End::Failed),
                (false, End::Refused { wait: 0 }),
            ] {
                all.push(What::Serve { key: *key, ran, end });
            }
        }
        if !self.late {
            all.push(What::Late);
        }
        if self.is_up() && self.near.settled_below(self.least()) > self.floor_told() {
            all.push(What::Settle);
        }
        if self.left.near_crashes > 0 {
            all.push(What::NearDies);
        }
        if self.left.far_crashes > 0 {
            all.push(What::FarDies { bare: false });
            if self.left.lost_folders > 0 {
                all.push(What::FarDies { bare: true });
            }
        }
        all
    }

    /// The least message that may be offered yet.
    fn least(&self) -> u64 {
        self.messages.iter().position(|m| !m.answered).unwrap_or(self.messages.len()) as u64
    }

    /// What the far side was last told of that, or is being told.
    fn floor_told(&self) -> u64 {
        let told = self.links.iter().flat_map(|link| &link.to_far).filter_map(|frame| match frame {
            Frame::Settled(below) => Some(*below),
            _ => None,
        });
        told.max().unwrap_or(0).max(self.floor)
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Offer(n) => {
                let m = &mut self.messages[n];
                m.attempts += 1;
                m.out = true;
                let key = HopKey { store: STORE, message: n as u64, attempt: m.attempts };
                self.near.offer(key, self.now(), DEADLINE);
            }
            What::Elsewhere(n) => {
                let m = &mut self.messages[n];
                m.answered = true;
                m.effects += 1;
                self.check_effects(n);
            }
            What::ToFar { link, copy, refuse } => {
                let Some(frame) = self.links[link].to_far.front().copied() else { return };
                if copy {
                    self.left.copies -= 1;
                } else {
                    self.links[link].to_far.pop_front();
                }
                match frame {
                    Frame::Offer(key) if refuse => {
                        self.left.refusals -= 1;
                        self.far.offered(key, Err(End::Refused { wait: 5 }));
                    }
                    Frame::Offer(key) => self.far.offered(key, Ok(())),
                    Frame::Ask(key) => self.far.asked(key),
                    Frame::Acknowledge(key) => self.far.acknowledged(key),
                    Frame::Settled(below) => self.far.settled(STORE, below),
                    Frame::Tell(..) => {}
                }
            }
            What::ToNear { link, copy } => {
                let Some(frame) = self.links[link].to_near.front().copied() else { return };
                if copy {
                    self.left.copies -= 1;
                } else {
                    self.links[link].to_near.pop_front();
                }
                if let Frame::Tell(key, word) = frame {
                    self.near.heard(key, word.into());
                }
            }
            What::Cut => {
                let broken = self.links.last().is_some_and(|link| !link.far);
                self.left.cuts -= u8::from(!broken);
                if let Some(link) = self.near_link() {
                    link.near = false;
                    link.to_near.clear();
                }
                self.near.link_down();
            }
            What::Connect => {
                // What the far side still reads of an earlier one stays as it is.
                self.links.push(Link { near: true, far: true, ..Link::default() });
                self.far.link_up();
                self.near.link_up(self.epoch);
            }
            What::Serve { key, ran, end } => {
                self.kept.insert(key, Kept::Accepted { begun: true });
                if ran {
                    self.ran.insert(key);
                    let n = key.message as usize;
                    self.messages[n].effects += 1;
                    if matches!(self.done.get(&key), Some(Outcome_::NeverRan)) {
                        self.breach(property::TRUE_VOID);
                    }
                    self.check_effects(n);
                }
                // Written, then told; a crash may come between the effect and this.
                self.kept.insert(key, Kept::Ended(end));
                self.far.ended(key, end);
            }
            What::Late => {
                self.late = true;
                self.near.tick(DEADLINE);
                for n in 0..self.messages.len() {
                    let m = &mut self.messages[n];
                    // Its client is told: never ran, or given up.
                    if !m.out {
                        m.answered = true;
                    }
                }
            }
            What::Settle => {
                let below = self.near.settled_below(self.least());
                if let Some(link) = self.near_link() {
                    link.to_far.push_back(Frame::Settled(below));
                }
            }
            What::NearDies => self.near_dies(),
            What::FarDies { bare } => self.far_dies(bare),
        }
    }

    fn check_effects(&mut self, n: usize) {
        if self.messages[n].once && self.messages[n].effects > 1 {
            self.breach(property::ONE_EFFECT);
        }
    }

    fn near_dies(&mut self) {
        self.left.near_crashes -= 1;
        if let Some(link) = self.near_link() {
            link.near = false;
            link.to_near.clear();
        }
        self.near = Near::default();
        self.near.plant(self.faults.near);
        for (key, epoch) in &self.noted {
            if !self.done.contains_key(key) {
                self.near.restore(*key, *epoch, DEADLINE);
            }
        }
        // What was not noted never went out.
        for n in 0..self.messages.len() {
            let m = &self.messages[n];
            let key = HopKey { store: STORE, message: n as u64, attempt: m.attempts };
            self.messages[n].out = m.out && self.noted.contains_key(&key) && !self.done.contains_key(&key);
        }
        if self.late {
            self.near.tick(DEADLINE);
        }
    }

    fn far_dies(&mut self, bare: bool) {
        self.left.far_crashes -= 1;
        for link in &mut self.links {
            link.far = false;
            link.to_far.clear();
        }
        self.far = Far::default();
        self.far.plant(self.faults.far);
        if bare {
            self.left.lost_folders -= 1;
            self.epoch += 1;
            self.kept.clear();
            self.floor = 0;
        }
        for (key, kept) in &self.kept {
            let found = match kept {
                Kept::Accepted { .. } => Found::Accepted,
                Kept::Ended(end) => Found::Ended(*end),
                Kept::Void => Found::Void,
                Kept::Done => Found::Done,
            };
            self.far.restore(*key, found);
        }
        if self.floor > 0 {
            self.far.restore_floor(STORE, self.floor);
        }
    }

    /// Carries out effects, no more than so many; how many there were.
    fn carry(&mut self, most: u8) -> u8 {
        let mut carried = 0;
        while carried < most {
            if let Some(effect) = self.near.effect() {
                self.carry_near(effect);
            } else if let Some(effect) = self.far.effect() {
                self.carry_far(effect);
            } else {
                break;
            }
            carried += 1;
        }
        carried
    }

    fn carry_near(&mut self, effect: near::Effect) {
        let write = |hop: &mut Hop, frame| {
            if let Some(link) = hop.near_link().filter(|link| link.far) {
                link.to_far.push_back(frame);
            }
        };
        match effect {
            near::Effect::Note { key, epoch } => {
                self.noted.insert(key, epoch);
                self.near.noted(key, self.now());
            }
            near::Effect::Offer { key, .. } => write(self, Frame::Offer(key)),
            near::Effect::Ask { key } => write(self, Frame::Ask(key)),
            near::Effect::Acknowledge { key } => write(self, Frame::Acknowledge(key)),
            near::Effect::Done { key, outcome } => self.over(key, outcome),
        }
    }

    fn over(&mut self, key: HopKey, outcome: Outcome) {
        let n = key.message as usize;
        let outcome = match outcome {
            Outcome::Void => Outcome_::NeverRan,
            Outcome::Ended(end) if end.may_go_again() && self.messages[n].once => Outcome_::NeverRan,
            Outcome::Ended(End::Delivered) => Outcome_::Delivered,
            Outcome::Ended(_) | Outcome::Unknown => Outcome_::MayHaveRun,
        };
        let ran = self.ran.contains(&key);
        match outcome {
            Outcome_::NeverRan if ran => self.breach(property::TRUE_VOID),
            Outcome_::Delivered if !ran => self.breach(property::TRUE_DELIVERY),
            _ => {}
        }
        if self.done.insert(key, outcome).is_some() {
            self.breach(property::ONE_OUTCOME);
        }
        let (late, m) = (self.late, &mut self.messages[n]);
        m.out = false;
        // Where it may have run, one that must not go twice is given up; another may go once more.
        m.answered |= late || outcome == Outcome_::Delivered || (outcome == Outcome_::MayHaveRun && m.once);
        self.near.lasts(key);
    }

    fn carry_far(&mut self, effect: far::Effect) {
        match effect {
            far::Effect::Take { key } => {
                self.kept.insert(key, Kept::Accepted { begun: false });
                self.far.taken(key);
            }
            far::Effect::KeepVoid { key } => {
                self.kept.insert(key, Kept::Void);
                self.far.void_lasts(key);
            }
            far::Effect::KeepDone { key } => drop(self.kept.insert(key, Kept::Done)),
            far::Effect::Forget { store: _, below } => {
                self.floor = below;
                let over = |kept: &Kept| !matches!(kept, Kept::Accepted { .. });
                self.kept.retain(|key, kept| key.message >= below || !over(kept));
            }
            far::Effect::Drop { key } => drop(self.kept.remove(&key)),
            far::Effect::Tell { key, word } => {
                if let Some(link) = self.links.last_mut().filter(|link| link.far && link.near) {
                    link.to_near.push_back(Frame::Tell(key, word.into()));
                }
            }
        }
    }

    /// What must hold whenever nothing is under way on either side.
    fn look(&mut self) {
        if self.late && self.messages.iter().any(|m| !m.answered) {
            self.breach(property::ENDS);
        }
        let still =
            |link: &Link| (!link.far || link.to_far.is_empty()) && (!link.near || link.to_near.is_empty());
        let quiet =
            self.is_up() && self.links.last().is_some_and(|link| link.far) && self.links.iter().all(still);
        let owed = self.kept.values().any(|kept| matches!(kept, Kept::Ended(_)));
        let working = self.kept.values().any(|kept| matches!(kept, Kept::Accepted { .. }));
        let settled = self.floor >= self.messages.len() as u64;
        if quiet && !working && self.near.open() > 0 {
            self.breach(property::HEARD);
        }
        if quiet && self.near.open() == 0 && (owed || settled && !working && self.far.remembered() > 0) {
            self.breach(property::FORGOTTEN);
        }
    }

    fn die(&mut self, side: Side, bare: bool) {
        match side {
            Side::Near => self.near_dies(),
            Side::Far => self.far_dies(bare),
        }
        self.carry(u8::MAX);
        self.look();
    }
}

impl State for Hop {
    type Step = Step;

    fn expand(&self, mut each: impl FnMut(Step, Hop)) {
        if self.breach.is_some() {
            return;
        }
        for what in self.all() {
            let mut hop = self.clone();
            hop.happen(what);
            let mut after = 0;
            loop {
                // A crash between two effects; after the last it is the same as one at rest.
                let cut = (after > 0 || matches!(what, What::Serve { .. })).then(|| hop.clone());
                let more = hop.carry(1) > 0;
                if let Some(cut) = cut.filter(|_| more || after == 0) {
                    for (side, bare) in cut.deaths() {
                        let step = Step { what, crash: Some((side, after, bare)) };
                        each(step, self.after(step));
                    }
                }
                if !more {
                    break;
                }
                after += 1;
            }
            hop.look();
            each(Step { what, crash: None }, hop);
        }
    }

    fn after(&self, step: Step) -> Hop {
        let mut hop = self.clone();
        hop.happen(step.what);
        match step.crash {
            Some((side, after, bare)) => {
                hop.carry(after);
                // An end that is not carried out yet is not written either.
                if let (What::Serve { key, .. }, Side::Far, 0) = (step.what, side, after) {
                    hop.kept.insert(key, Kept::Accepted { begun: true });
                }
                hop.die(side, bare);
            }
            None => {
                hop.carry(u8::MAX);
                hop.look();
            }
        }
        hop
    }

    fn settle(&mut self) {
        // A link that neither side reads any more, or that holds nothing for the side that does, is gone.
        let last = self.links.len().saturating_sub(1);
        let mut n = 0;
        self.links.retain(|link| {
            n += 1;
            n - 1 == last || (link.far && !link.to_far.is_empty())
        });
    }

    fn fingerprint(&self, room: &mut Vec<u8>) -> u128 {
        fingerprint(self, room)
    }

    fn breach(&self) -> Option<&'static str> {
        self.breach
    }

    fn calm(&self) -> Option<Step> {
        self.all().first().map(|what| Step { what: *what, crash: None })
    }
}

impl Hop {
    fn deaths(&self) -> Vec<(Side, bool)> {
        let mut all = Vec::new();
        if self.left.near_crashes > 0 {
            all.push((Side::Near, false));
        }
        if self.left.far_crashes > 0 {
            all.push((Side::Far, false));
            if self.left.lost_folders > 0 {
                all.push((Side::Far, true));
            }
        }
        all
    }
}
