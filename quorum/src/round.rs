//! One read or change of a register; keeps: what it answers is chosen, and is the last that was.
//!
//! - Look: ask everybody what stands. Where one ballot stands at a majority, its value is chosen; where a majority has
//!   nothing, nothing is. Else the reader goes on as if it changed the value to itself.
//! - Prepare a ballot at a majority, take the value with the highest ballot heard (it may be chosen already).
//! - Write: that value again, or the offer over it; answer once a majority has it on disk.
//!
//! Each phase counts answers to its own ballot only, each voter once, and only if the majority was complete within
//! [`PHASE_TIMEOUT`] of its sending. For prepares and for writes and looks alike: [`crate::Recovery`] rests on that,
//! since an answer may come from a voter that was emptied after it, and the others must have answered before it copies.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::Address;
use crate::ballot::{Accepted, Ballot, Ballots, Key, Value};
use crate::chance::Chance;
use crate::members::Members;
use crate::recovery::PHASE_TIMEOUT;
use crate::wire::Message;

const MS: u64 = 1_000_000;
/// Answers that are missing are asked for again.
const RESEND: u64 = 100 * MS;
/// A look that disagrees waits so long for the others.
const LOOK_WAIT: u64 = 10 * MS;
/// Attempts before a round gives up.
const MAX_TRIES: u32 = 20;

/// What a round is for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum Operation {
    /// The value that stands.
    Read,
    /// The same, and in any case written to a majority anew.
    Rewrite,
    /// A new value, unless one of this version or a higher one stands.
    Propose {
        /// Its version.
        version: u64,
        /// Its content.
        content: Arc<str>,
        /// Only over exactly this version; 0: over nothing.
        expected_version: Option<u64>,
    },
}

/// How a round ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum Outcome {
    /// Of a read: this stands.
    Found(Option<Value>),
    /// The offer stands.
    Written(Value),
    /// This stands instead, and was finished. After an attempt that was cut off it may be one's own offer.
    Conflict(Option<Value>),
    /// Nothing is known: the offer may stand, or still come to stand. Try again.
    Indeterminate(FailureReason),
}

/// FailureReason a round was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum FailureReason {
    /// No majority answered in time.
    NoMajority,
    /// Others came first too often.
    Preempted,
}

/// What to do after an input.
#[derive(Debug, Default)]
pub struct Output {
    /// To be sent.
    pub send: Vec<(Address, Message)>,
    /// When to call `on_tick` next, at the latest.
    pub wake: Option<u64>,
    /// Set once, at the end.
    pub outcome: Option<Outcome>,
}

#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
enum Ask {
    Look,
    Prepare,
    Write(Value, Outcome),
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
struct Phase {
    ask: Ask,
    ballot: Ballot,
    sent: u64,
    resend: u64,
    /// Give up and take a higher ballot at this time.
    retry: Option<u64>,
    /// Who answered, with what stands there.
    heard: BTreeMap<Address, Option<Accepted>>,
    /// Who turned it down.
    refused: BTreeSet<Address>,
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
enum Now {
    Pause(u64),
    Asking(Phase),
    /// The round of the members that has to be finished first.
    Members(Box<Round>),
    Done,
}

/// One round.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Round {
    kind: Operation,
    key: Key,
    members: Members,
    ballots: Ballots,
    chance: Chance,
    limit: u64,
    tries: u32,
    looked: bool,
    settled: bool,
    /// Has to be part of each phase, besides a majority.
    must: Vec<Address>,
    /// Does not count towards a majority.
    without: Option<Address>,
    above: u64,
    now: Now,
}

#[cfg(feature = "explore")]
impl Round {
    /// The same round from here on, with these ballots.
    #[must_use]
    pub fn fork(&self, ballots: &Ballots) -> Self {
        let now = match &self.now {
            Now::Members(round) => Now::Members(Box::new(round.fork(ballots))),
            now => now.clone(),
        };
        Self { now, ballots: ballots.clone(), ..self.clone() }
    }
}

impl Round {
    /// A round under these members, which must be known to be chosen, that is lost at the time `limit`. Call
    /// [`Round::on_tick`] at once.
    pub fn new(
        kind: Operation,
        key: Key,
        members: Members,
        ballots: &Ballots,
        seed: u64,
        limit: u64,
    ) -> Self {
        let looked = kind != Operation::Read;
        let (ballots, chance) = (ballots.clone(), Chance::new(seed));
        let (tries, settled, above, now) = (0, false, 0, Now::Pause(0));
        let (must, without) = (Vec::new(), None);
        Self { kind, key, members, ballots, chance, limit, tries, looked, settled, must, without, above, now }
    }

    /// Only with these, besides a majority.
    pub(crate) fn with(self, must: Vec<Address>) -> Self {
        Self { must, ..self }
    }

    /// Counts this voter towards no majority: what the round answers stands without it.
    #[must_use]
    pub fn excluding(self, voter: Address) -> Self {
        Self { without: Some(voter), ..self }
    }

    /// The members it counts by; newer than the first where it was told of newer ones that are chosen.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Time passes. Too early is no harm.
    pub fn on_tick(&mut self, now: u64) -> Output {
        let mut out = Output::default();
        if now >= self.limit && !matches!(self.now, Now::Done) {
            self.end(Outcome::Indeterminate(FailureReason::NoMajority), &mut out);
        }
        match &mut self.now {
            Now::Pause(until) if now >= *until => self.attempt(now, &mut out),
            Now::Asking(phase) => {
                let late = now.saturating_sub(phase.sent) > PHASE_TIMEOUT;
                if late || phase.retry.is_some_and(|retry| now >= retry) {
                    self.attempt(now, &mut out);
                } else if now >= phase.resend {
                    phase.resend = now + RESEND;
                    self.send(&mut out);
                }
            }
            Now::Members(round) => {
                let inner = round.on_tick(now);
                self.on_members(now, inner, &mut out);
            }
            Now::Pause(_) | Now::Done => {}
        }
        self.finish(out)
    }

    /// A message from a voter. `now` is read after it came in.
    pub fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output {
        let mut out = Output::default();
        if now < self.limit && self.members.contains(from) {
            self.take(now, from, message, &mut out);
        }
        self.finish(out)
    }

    fn take(&mut self, now: u64, from: &str, message: &Message, out: &mut Output) {
        if let Now::Members(round) = &mut self.now {
            let inner = round.on_reply(now, from, message);
            return self.on_members(now, inner, out);
        }
        let Now::Asking(phase) = &mut self.now else { return };
        let current = |key: &Key, ballot: &Ballot| *key == self.key && *ballot == phase.ballot;
        match (message, &phase.ask) {
            (Message::QueryReply { key, tag: ballot, accepted }, Ask::Look)
            | (Message::Promised { key, ballot, accepted }, Ask::Prepare)
                if current(key, ballot) =>
            {
                phase.heard.insert(from.into(), accepted.clone());
            }
            (Message::Wrote { key, ballot }, Ask::Write(..)) if current(key, ballot) => {
                phase.heard.insert(from.into(), None);
            }
            (Message::Refused { key, ballot, promised }, _) if current(key, ballot) => {
                self.above = self.above.max(promised.counter);
                phase.refused.insert(from.into());
                if phase.retry.is_none() {
                    let most = (5 << self.tries.min(4)).min(80) * MS;
                    phase.retry = Some(now + self.chance.between(5 * MS, most));
                }
                return;
            }
            (Message::NewerMembers { key, ballot, members, chosen }, _) if current(key, ballot) => {
                return self.on_newer(now, members, *chosen, out);
            }
            _ => return,
        }
        let late = now.saturating_sub(phase.sent) > PHASE_TIMEOUT;
        let heard = |voter: &Address| phase.heard.contains_key(voter);
        if late || !self.members.has_quorum(counted(&self.without, heard)) || !self.must.iter().all(heard) {
            return;
        }
        match phase.ask.clone() {
            Ask::Look => self.on_looked(now, out),
            Ask::Prepare => self.on_prepared(now, out),
            Ask::Write(_, outcome) => self.end(outcome, out),
        }
    }

    fn on_looked(&mut self, now: u64, out: &mut Output) {
        let Now::Asking(phase) = &mut self.now else { return };
        for seen in phase.heard.values() {
            let vote = |accepted: &Option<Accepted>| match (accepted, seen) {
                (Some(one), Some(other)) => one.ballot == other.ballot && !one.copied,
                (None, None) => true,
                _ => false,
            };
            let voted = |voter: &Address| phase.heard.get(voter).is_some_and(vote);
            if self.members.has_quorum(counted(&self.without, voted)) {
                let value = seen.as_ref().map(|accepted| accepted.value.clone());
                return self.end(Outcome::Found(value), out);
            }
        }
        self.looked = true;
        if self.members.all_voters().iter().all(|voter| phase.heard.contains_key(voter)) {
            self.attempt(now, out);
        } else {
            phase.retry = phase.retry.or(Some(now + LOOK_WAIT));
        }
    }

    fn on_prepared(&mut self, now: u64, out: &mut Output) {
        let Now::Asking(phase) = &self.now else { return };
        let last = phase.heard.values().flatten().max_by(|one, other| one.ballot.cmp(&other.ballot));
        let stands = last.map(|accepted| accepted.value.clone());
        let current = stands.as_ref().map_or(0, |value| value.version);
        let (value, outcome) = match &self.kind {
            Operation::Propose { version, content, expected_version }
                if self.may_write(*version, *expected_version, current) =>
            {
                let value = Value { version: *version, content: content.clone() };
                (Some(value.clone()), Outcome::Written(value))
            }
            Operation::Propose { .. } => (stands.clone(), Outcome::Conflict(stands)),
            // The first members were never written: do so, since somebody may have others that did not come to stand.
            Operation::Rewrite if self.key == Key::Members && stands.is_none() => {
                let value = Value { version: self.members.epoch, content: self.members.to_text().into() };
                (Some(value.clone()), Outcome::Found(Some(value)))
            }
            Operation::Read | Operation::Rewrite => (stands.clone(), Outcome::Found(stands)),
        };
        match value {
            Some(value) => {
                let ballot = phase.ballot.clone();
                self.ask(now, Ask::Write(value, outcome), ballot, out);
            }
            None => self.end(outcome, out),
        }
    }

    /// Members follow each other one by one, each decided under the one before.
    fn may_write(&self, version: u64, expected_version: Option<u64>, current: u64) -> bool {
        let follows = self.key != Key::Members || current == self.members.epoch && version == current + 1;
        version > current
            && expected_version.is_none_or(|expected_version| expected_version == current)
            && follows
    }

    fn on_newer(&mut self, now: u64, members: &Members, chosen: bool, out: &mut Output) {
        if members.uid != self.members.uid || members.epoch <= self.members.epoch {
            return;
        }
        if chosen {
            self.adopt(now, members.clone(), out);
        } else if !self.settled && self.key != Key::Members {
            let seed = self.chance.next();
            let limit = self.limit;
            let mut round =
                Self::new(Operation::Rewrite, Key::Members, self.members.clone(), &self.ballots, seed, limit);
            let inner = round.on_tick(now);
            self.now = Now::Members(Box::new(round));
            self.on_members(now, inner, out);
        }
    }

    fn on_members(&mut self, now: u64, inner: Output, out: &mut Output) {
        out.send.extend(inner.send);
        let Now::Members(round) = &self.now else { return };
        let counted_by = round.members.clone();
        match inner.outcome {
            None => {}
            Some(Outcome::Indeterminate(why)) => self.end(Outcome::Indeterminate(why), out),
            Some(Outcome::Found(value) | Outcome::Conflict(value)) => {
                let found = value.and_then(|value| Members::parse(&value.content).ok());
                let newest = found.into_iter().chain([counted_by]).max_by_key(|members| members.epoch);
                // Whoever still speaks of newer ones after this has some that did not come to stand.
                self.settled = true;
                match newest.filter(|members| members.epoch > self.members.epoch) {
                    Some(members) => self.adopt(now, members, out),
                    None => self.attempt(now, out),
                }
            }
            Some(Outcome::Written(_)) => self.attempt(now, out),
        }
    }

    fn adopt(&mut self, now: u64, members: Members, out: &mut Output) {
        self.members = members;
        self.settled = false;
        self.attempt(now, out);
    }

    fn attempt(&mut self, now: u64, out: &mut Output) {
        self.tries += 1;
        if self.tries > MAX_TRIES {
            return self.end(Outcome::Indeterminate(FailureReason::Preempted), out);
        }
        let ask = if self.looked { Ask::Prepare } else { Ask::Look };
        let ballot = self.ballots.next(self.above);
        self.ask(now, ask, ballot, out);
    }

    fn ask(&mut self, now: u64, ask: Ask, ballot: Ballot, out: &mut Output) {
        let (heard, refused) = (BTreeMap::new(), BTreeSet::new());
        self.now =
            Now::Asking(Phase { ask, ballot, sent: now, resend: now + RESEND, retry: None, heard, refused });
        self.send(out);
    }

    fn send(&self, out: &mut Output) {
        let Now::Asking(phase) = &self.now else { return };
        let (key, ballot, members) = (self.key, phase.ballot.clone(), self.members.clone());
        let message = match &phase.ask {
            Ask::Look => Message::Query { key, tag: ballot, members },
            Ask::Prepare => Message::Prepare { key, ballot, members },
            Ask::Write(value, _) => Message::Write { key, ballot, value: value.clone(), members },
        };
        let answered = |voter: &Address| phase.heard.contains_key(voter) || phase.refused.contains(voter);
        let missing = self.members.all_voters().into_iter().filter(|voter| !answered(voter));
        out.send.extend(missing.map(|voter| (voter, message.clone())));
    }

    fn end(&mut self, outcome: Outcome, out: &mut Output) {
        self.now = Now::Done;
        out.outcome = Some(outcome);
    }

    fn finish(&self, mut out: Output) -> Output {
        out.wake = self.next_wake();
        out
    }

    fn next_wake(&self) -> Option<u64> {
        let wake = match &self.now {
            Now::Pause(until) => *until,
            Now::Asking(phase) => {
                let wake = phase.resend.min(phase.sent + PHASE_TIMEOUT + 1);
                phase.retry.map_or(wake, |retry| wake.min(retry))
            }
            Now::Members(round) => round.next_wake()?,
            Now::Done => return None,
        };
        Some(wake.min(self.limit))
    }
}

/// Whether a voter is `in_it` and counts towards a majority.
fn counted(without: &Option<Address>, in_it: impl Fn(&Address) -> bool) -> impl Fn(&Address) -> bool {
    move |voter| without.as_ref() != Some(voter) && in_it(voter)
}
