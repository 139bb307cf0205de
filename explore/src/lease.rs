//! The lease in the small: the real voters and two real candidates, with words that come in any order, late or never, a
//! candidate that is frozen for as long as it likes, and a voter that starts again.
//!
//! What a candidate says at one look comes to any of the voters at once, and to the others never, but for what is kept back
//! and comes whenever it likes: a word on its way, or the answer to one.
//!
//! One clock for all, that moves by a third of a lease. A candidate acts whenever its lease says so at that moment: one that is
//! frozen looks at nothing meanwhile, and what comes to it first when it wakes may be an answer of long ago.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use millpost_quorum::{Address, LEASE_DURATION, LEASE_MARGIN, LeaseHolder, Members, Message, Voter};

use crate::part::{Part, print};
use crate::search::{State, Way};

/// What must hold.
pub mod property {
    /// At no moment do two hold the duty.
    pub const ONE: &str = "never two that hold the duty at once";
}

const MS: u64 = 1_000_000;
const QUANTUM: u64 = LEASE_DURATION / 3;
/// Whoever started at zero has waited out whatever there is.
const FROM: u64 = 20_000 * MS;
const VOTERS: [&str; 3] = ["a", "b", "c"];
const HOLDERS: [&str; 2] = ["h", "k"];
const DUTY: &str = "steward";

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Bounds {
    /// Times that each candidate looks at its clock: it asks, renews or gives way.
    pub looks: [u8; 2],
    /// Words and answers that are kept back, and come in a later third, or after their sender has gone on.
    pub late: u8,
    /// Voters that start again.
    pub restarts: u8,
}

/// A world to be explored.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens in it.
    pub name: &'static str,
    /// How long it lasts, in thirds of a lease.
    pub quanta: u8,
    /// How often.
    pub bounds: Bounds,
}

/// Every way in which words, candidates and voters may fail together.
pub fn cases() -> Vec<Case> {
    let case = |name, quanta, bounds| Case { name, quanta, bounds };
    vec![
        case(
            "lease: a candidate freezes, an answer is late",
            3,
            Bounds { looks: [2, 1], late: 1, restarts: 0 },
        ),
        case(
            "lease: a candidate gives way and asks again",
            2,
            Bounds { looks: [3, 1], late: 1, restarts: 0 },
        ),
        case("lease: a candidate freezes, a word is late", 3, Bounds { looks: [3, 1], late: 1, restarts: 0 }),
        case("lease: a voter starts again", 3, Bounds { looks: [2, 1], late: 0, restarts: 1 }),
    ]
}

/// More at once: minutes.
pub fn large() -> Vec<Case> {
    let case = |name, quanta, bounds| Case { name, quanta, bounds };
    vec![
        case("lease: both look twice, a word is late", 4, Bounds { looks: [2, 2], late: 1, restarts: 0 }),
        case(
            "lease: both look twice, a voter starts again",
            4,
            Bounds { looks: [2, 2], late: 0, restarts: 1 },
        ),
        case("lease: two words are late", 4, Bounds { looks: [3, 2], late: 2, restarts: 0 }),
        case("lease: renewals, a voter starts again", 5, Bounds { looks: [3, 3], late: 0, restarts: 1 }),
    ]
}

/// A guard that is taken out, round the machines: they stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A candidate counts its lease from the answer that made up its majority, not from before it asked.
    FromAnswer,
    /// An answer counts for whatever was asked last.
    OldAnswers,
    /// A voter that has just started grants at once.
    GrantsAtOnce,
    /// What is given back late frees what was granted since.
    LateRelease,
}

/// Faults that must be found here, each with a word of the case that finds it.
pub const FAULTS: [(Fault, &str); 4] = [
    (Fault::FromAnswer, "an answer is late"),
    (Fault::LateRelease, "gives way"),
    (Fault::OldAnswers, "a word is late"),
    (Fault::GrantsAtOnce, "starts again"),
];

#[derive(Clone, Debug)]
struct Seat {
    voter: Voter,
    disk: Arc<BTreeMap<String, String>>,
}

impl Hash for Seat {
    /// The disk holds the members alone, which stay.
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.voter.hash(state);
    }
}

/// A candidate, and what it has said last.
#[derive(Clone, Debug, Hash)]
struct Seeker {
    holder: LeaseHolder,
    asks: u64,
    /// Until when it acts, where it counts wrongly.
    wrong: u64,
}

#[derive(Clone, Debug, Hash)]
struct Word {
    voter: u8,
    holder: u8,
    /// It is the voter's answer.
    back: bool,
    message: Message,
}

/// The voters, the candidates, and what is between them.
#[derive(Clone, Debug)]
pub struct Lease {
    now: u64,
    quanta: u8,
    voters: Vec<Part<Seat>>,
    seekers: Vec<Part<Seeker>>,
    words: Vec<Part<Word>>,
    left: Bounds,
    /// Nobody has looked, and no voter has started again.
    fresh: bool,
    fault: Option<Fault>,
    breach: Option<&'static str>,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A third of a lease passes.
    Pass,
    /// A candidate looks at its clock; these voters hear what it says, by their bits, and one word is kept back.
    Look(u8, u8, Option<Keep>),
    /// A word that was kept back comes; what is said to it is heard by all.
    Comes(u8),
    /// A voter starts again with its disk.
    Restart(u8),
}

/// What is kept back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Keep {
    /// What is said to this voter.
    To(u8),
    /// What this voter answers.
    From(u8),
}

const EVERYBODY: u8 = 0b111;

fn seat(name: &str, disk: Arc<BTreeMap<String, String>>, now: u64) -> Seat {
    let records = disk.iter().map(|(key, text)| (key.clone(), text.clone()));
    match Voter::open(name.into(), records, Vec::new(), now, now) {
        Ok(voter) => Seat { voter, disk },
        Err(why) => unreachable!("{why}"),
    }
}

fn number(message: &Message) -> u64 {
    match message {
        Message::LeaseRequest { request: ask, .. }
        | Message::LeaseGranted { request: ask, .. }
        | Message::LeaseDenied { request: ask, .. }
        | Message::LeaseRelease { request: ask, .. } => *ask,
        _ => 0,
    }
}

impl Case {
    /// Nobody has asked yet.
    pub fn start(&self, fault: Option<Fault>) -> Lease {
        let first = Members::initial("u", VOTERS.iter().map(|name| Address::from(*name)));
        let voter = |name: &&str| {
            let mut seat = seat(name, Arc::default(), 0);
            let disk = &mut seat.disk;
            let _ = seat.voter.bootstrap(first.clone()).commit(|writes| {
                let writes = writes.iter().map(|write| (write.key.clone(), write.text.clone()));
                Arc::make_mut(disk).extend(writes);
                Ok::<_, ()>(())
            });
            Part::new(seat)
        };
        let seeker = |name: &&str| {
            let holder = LeaseHolder::new(DUTY, name, 1, first.clone(), 1, FROM - QUANTUM);
            Part::new(Seeker { holder, asks: 0, wrong: 0 })
        };
        Lease {
            now: FROM,
            quanta: self.quanta,
            voters: VOTERS.iter().map(voter).collect(),
            seekers: HOLDERS.iter().map(seeker).collect(),
            words: Vec::new(),
            left: self.bounds,
            fresh: true,
            fault,
            breach: None,
        }
    }
}

impl Lease {
    fn acts(&self, holder: usize) -> bool {
        let seeker = &self.seekers[holder];
        if self.fault == Some(Fault::FromAnswer) {
            self.now < seeker.wrong
        } else {
            seeker.holder.is_held(self.now)
        }
    }

    fn post(&mut self, word: Word) {
        let part = Part::new(word);
        if let Err(place) = self.words.binary_search_by_key(&part.print(), Part::print) {
            self.words.insert(place, part);
        }
    }

    fn say(&mut self, holder: u8, sends: Vec<(Address, Message)>, hear: u8, keep: Option<Keep>) {
        for (to, message) in sends {
            let Some(voter) = VOTERS.iter().position(|name| *name == to) else { continue };
            let voter = voter as u8;
            self.seekers[usize::from(holder)]
                .change(|seeker| seeker.asks = seeker.asks.max(number(&message)));
            if keep == Some(Keep::To(voter)) {
                self.post(Word { voter, holder, back: false, message });
            } else if hear >> voter & 1 == 1 {
                self.hears(voter, holder, message, hear, keep);
            }
        }
    }

    /// A voter hears a candidate.
    fn hears(&mut self, voter: u8, holder: u8, mut message: Message, hear: u8, keep: Option<Keep>) {
        if self.fault == Some(Fault::LateRelease)
            && let Message::LeaseRelease { request: ask, .. } = &mut message
        {
            *ask = u64::MAX;
        }
        let now = self.now;
        let reply = self.voters[usize::from(voter)].change(|seat| {
            let step = seat.voter.handle(now, HOLDERS[usize::from(holder)], message);
            // Grants are in memory only, and the members stay.
            step.commit(|_| Ok::<_, ()>(())).unwrap_or_default()
        });
        match reply {
            Some(message) if keep == Some(Keep::From(voter)) => {
                self.post(Word { voter, holder, back: true, message });
            }
            Some(reply) => self.answer(holder, voter, reply, hear),
            None => {}
        }
    }

    /// A candidate hears an answer.
    fn answer(&mut self, holder: u8, voter: u8, mut message: Message, hear: u8) {
        let (now, fault) = (self.now, self.fault);
        let sends = self.seekers[usize::from(holder)].change(|seeker| {
            if fault == Some(Fault::OldAnswers)
                && let Message::LeaseGranted { request: ask, .. } = &mut message
            {
                *ask = seeker.asks;
            }
            let before = seeker.holder.expires_at();
            let sends = seeker.holder.on_message(now, VOTERS[usize::from(voter)], &message);
            if seeker.holder.expires_at() > before {
                seeker.wrong = now + LEASE_DURATION - LEASE_MARGIN;
            }
            sends
        });
        self.say(holder, sends, hear, None);
    }

    fn comes(&mut self, place: u8) {
        let Word { voter, holder, back, message } = Word::clone(&self.words.remove(usize::from(place)));
        if back {
            self.answer(holder, voter, message, EVERYBODY);
        } else {
            self.hears(voter, holder, message, EVERYBODY, None);
        }
    }

    fn happen(&mut self, step: Step) {
        self.fresh &= step == Step::Pass;
        match step {
            Step::Pass => {
                self.now += QUANTUM;
                self.quanta -= 1;
            }
            Step::Look(holder, hear, keep) => {
                self.left.looks[usize::from(holder)] -= 1;
                self.left.late -= u8::from(keep.is_some());
                let now = self.now;
                let sends = self.seekers[usize::from(holder)].change(|seeker| seeker.holder.on_tick(now));
                self.say(holder, sends, hear, keep);
            }
            Step::Comes(place) => self.comes(place),
            Step::Restart(voter) => {
                self.left.restarts -= 1;
                let quiet = self.fault != Some(Fault::GrantsAtOnce);
                let now = if quiet { self.now } else { self.now - LEASE_DURATION };
                self.voters[usize::from(voter)]
                    .change(|held| *held = seat(VOTERS[usize::from(voter)], held.disk.clone(), now));
            }
        }
        if self.acts(0) && self.acts(1) {
            self.breach = Some(property::ONE);
        }
    }

    fn all(&self) -> Vec<Step> {
        let mut all = Vec::new();
        let fresh = self.fresh;
        all.extend((0..self.words.len() as u8).map(Step::Comes));
        for (at, seeker) in self.seekers.iter().enumerate() {
            if self.left.looks[at] == 0 || seeker.holder.next_wake() > self.now {
                continue;
            }
            let holder = at as u8;
            // While nothing has happened the voters are alike, but for their names.
            let hears: &[u8] = if fresh { &[0, 1, 3, 7] } else { &[0, 1, 2, 3, 4, 5, 6, 7] };
            for hear in hears {
                all.push(Step::Look(holder, *hear, None));
                let keep = |voter| if hear >> voter & 1 == 1 { Keep::From(voter) } else { Keep::To(voter) };
                let voters = (0..VOTERS.len() as u8).filter(|_| self.left.late > 0);
                // Of those that are alike, the first.
                let first =
                    |voter: &u8| !fresh || *voter == 0 || (hear >> voter ^ hear >> (voter - 1)) & 1 == 1;
                all.extend(voters.filter(first).map(|voter| Step::Look(holder, *hear, Some(keep(voter)))));
            }
        }
        if self.left.restarts > 0 {
            all.extend((0..if fresh { 1 } else { 3 }).map(Step::Restart));
        }
        if self.quanta > 0 {
            all.push(Step::Pass);
        }
        all
    }
}

impl State for Lease {
    type Step = Step;

    fn expand(&self, mut each: impl FnMut(Step, Lease)) {
        if self.breach.is_none() {
            self.all().into_iter().for_each(|step| each(step, self.after(step)));
        }
    }
    fn after(&self, step: Step) -> Lease {
        let mut lease = self.clone();
        lease.happen(step);
        lease
    }
    fn settle(&mut self) {}
    fn fingerprint(&self, _: &mut Vec<u8>) -> u128 {
        let voters: Vec<u128> = self.voters.iter().map(Part::print).collect();
        let seekers: Vec<u128> = self.seekers.iter().map(Part::print).collect();
        let words: Vec<u128> = self.words.iter().map(Part::print).collect();
        print(&(self.now, voters, seekers, words, self.left, self.breach))
    }
    fn breach(&self) -> Option<&'static str> {
        self.breach
    }
    fn calm(&self) -> Option<Step> {
        self.all().first().copied()
    }
}

/// A way for people: a step a line, with who holds the duty before it.
pub fn text(way: &Way<Lease>) -> String {
    let mut out = String::new();
    for (n, (lease, step)) in way.iter().enumerate() {
        let acts: Vec<&str> = (0..2).filter(|at| lease.acts(*at)).map(|at| HOLDERS[at]).collect();
        out += &format!("  {n:>3}  {:>4} ms  holds {acts:?}", (lease.now - FROM) / MS);
        match (step, lease.breach) {
            (Some(Step::Comes(place)), _) => {
                let word = &lease.words[usize::from(*place)];
                let (voter, holder) = (VOTERS[usize::from(word.voter)], HOLDERS[usize::from(word.holder)]);
                let (from, to) = if word.back { (voter, holder) } else { (holder, voter) };
                let what = match word.message {
                    Message::LeaseRequest { .. } => "ask",
                    Message::LeaseGranted { .. } => "granted",
                    Message::LeaseDenied { .. } => "denied",
                    _ => "release",
                };
                out += &format!("  {from} -> {to}: {what} {}\n", number(&word.message));
            }
            (Some(step), _) => out += &format!("  {step:?}\n"),
            (None, Some(name)) => out += &format!("\n  does not hold: {name}\n"),
            (None, None) => out += "\n",
        }
    }
    out
}
