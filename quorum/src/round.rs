//! The proposer side of one read or write of a register. Invariant: the result is a chosen value, and the
//! latest one.
//!
//! - Query (reads only): ask all voters for their accepted value. If a majority has accepted the same ballot,
//!   its value is chosen; if a majority has accepted nothing, the register is empty. Otherwise the reader
//!   continues with the next phases, and writes back the value that it finds.
//! - Prepare: get promises for a ballot from a majority, and take the reported value with the highest ballot
//!   (it may already be chosen).
//! - Write: write that value again, or the proposed value in its place; report the result once a majority has
//!   it on disk.
//!
//! Each phase counts only replies to its own ballot, each voter once, and only if the majority is complete
//! within [`PHASE_TIMEOUT`] of sending. This holds for all three phases because [`crate::Recovery`] depends
//! on it: a reply may come from a voter that lost its disk afterwards, and the others must have replied
//! before that voter copies from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::Address;
use crate::ballot::{Accepted, Ballot, Ballots, Key, Value};
use crate::members::Members;
use crate::recovery::PHASE_TIMEOUT;
use crate::rng::Rng;
use crate::wire::Message;

const MS: u64 = 1_000_000;
/// Interval at which a request is sent again to voters that have not replied.
const RESEND_INTERVAL: u64 = 100 * MS;
/// How long a query without an agreeing majority waits for the remaining replies.
const QUERY_WAIT: u64 = 10 * MS;
/// Number of ballots after which a round gives up.
const MAX_ATTEMPTS: u32 = 20;

/// The operation of a round.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum Operation {
    /// Read the current value.
    Read,
    /// Read the current value and always write it to a majority again.
    Rewrite,
    /// Write a new value, unless the current value has the same or a higher version.
    Propose {
        /// The version of the new value.
        version: u64,
        /// The content of the new value.
        content: Arc<str>,
        /// If set, write only if the current value has exactly this version; 0 means that the register is
        /// empty.
        expected_version: Option<u64>,
    },
}

/// The result of a round.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum Outcome {
    /// Of a read: the current value.
    Found(Option<Value>),
    /// The proposed value was written.
    Written(Value),
    /// The proposed value was not written because of this current value, which a majority has on disk. After
    /// an earlier interrupted attempt it may be the value that the caller proposed.
    Conflict(Option<Value>),
    /// The result is unknown: the proposed value may have been chosen, or may still be chosen later. Try
    /// again.
    Indeterminate(FailureReason),
}

/// Why the result of a round is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum FailureReason {
    /// No majority replied in time.
    NoMajority,
    /// Higher ballots of other proposers interrupted too many attempts.
    Preempted,
}

/// What the caller has to do after an input.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub send: Vec<(Address, Message)>,
    /// The latest time of the next call to `on_tick`.
    pub wake: Option<u64>,
    /// The result; set once, at the end.
    pub outcome: Option<Outcome>,
}

#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
enum PhaseKind {
    Query,
    Prepare,
    Write(Value, Outcome),
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
struct Phase {
    kind: PhaseKind,
    ballot: Ballot,
    sent: u64,
    resend: u64,
    /// When to start again with a higher ballot.
    retry: Option<u64>,
    /// The voters that replied, with their accepted values.
    replies: BTreeMap<Address, Option<Accepted>>,
    /// The voters that refused.
    refused: BTreeSet<Address>,
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
enum Stage {
    Waiting(u64),
    InPhase(Phase),
    /// A round for the key `members` has to end first.
    MembersRound(Box<Round>),
    Done,
}

/// One round of a proposer.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Round {
    operation: Operation,
    key: Key,
    members: Members,
    ballots: Ballots,
    rng: Rng,
    deadline: u64,
    attempts: u32,
    /// Whether the query phase is over.
    queried: bool,
    /// Whether a round for the key `members` found no members newer than `members`.
    members_confirmed: bool,
    /// Voters that must take part in each phase, in addition to a majority.
    required: Vec<Address>,
    /// A voter that does not count towards a majority.
    excluded: Option<Address>,
    /// The highest counter of a promise that a voter reported.
    above: u64,
    stage: Stage,
}

#[cfg(feature = "explore")]
impl Round {
    /// Returns a copy of this round that takes its ballots from `ballots`.
    #[must_use]
    pub fn fork(&self, ballots: &Ballots) -> Self {
        let stage = match &self.stage {
            Stage::MembersRound(round) => Stage::MembersRound(Box::new(round.fork(ballots))),
            stage => stage.clone(),
        };
        Self { stage, ballots: ballots.clone(), ..self.clone() }
    }
}

impl Round {
    /// Creates a round under `members`, which must be known to be chosen. It ends as indeterminate at
    /// `deadline`. Call [`Round::on_tick`] at once.
    pub fn new(
        operation: Operation,
        key: Key,
        members: Members,
        ballots: &Ballots,
        seed: u64,
        deadline: u64,
    ) -> Self {
        Self {
            queried: operation != Operation::Read,
            operation,
            key,
            members,
            ballots: ballots.clone(),
            rng: Rng::new(seed),
            deadline,
            attempts: 0,
            members_confirmed: false,
            required: Vec::new(),
            excluded: None,
            above: 0,
            stage: Stage::Waiting(0),
        }
    }

    /// Requires these voters in each phase, in addition to a majority.
    pub(crate) fn requiring(self, required: Vec<Address>) -> Self {
        Self { required, ..self }
    }

    /// Does not count this voter towards a majority: the result holds without its disk.
    #[must_use]
    pub fn excluding(self, voter: Address) -> Self {
        Self { excluded: Some(voter), ..self }
    }

    /// The members whose majorities are counted: the initial ones, or newer chosen ones that a voter
    /// reported.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Advances the time. Calls before the requested wake time are harmless.
    pub fn on_tick(&mut self, now: u64) -> Output {
        let mut out = Output::default();
        if now >= self.deadline && !matches!(self.stage, Stage::Done) {
            self.end(Outcome::Indeterminate(FailureReason::NoMajority), &mut out);
        }
        match &mut self.stage {
            Stage::Waiting(until) if now >= *until => self.attempt(now, &mut out),
            Stage::InPhase(phase) => {
                let timed_out = now.saturating_sub(phase.sent) > PHASE_TIMEOUT;
                if timed_out || phase.retry.is_some_and(|retry| now >= retry) {
                    self.attempt(now, &mut out);
                } else if now >= phase.resend {
                    phase.resend = now + RESEND_INTERVAL;
                    self.send(&mut out);
                }
            }
            Stage::MembersRound(round) => {
                let output = round.on_tick(now);
                self.on_members_round(now, output, &mut out);
            }
            Stage::Waiting(_) | Stage::Done => {}
        }
        self.finish(out)
    }

    /// Handles a message from a voter. `now` must be read after the message was received.
    pub fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output {
        let mut out = Output::default();
        if now < self.deadline && self.members.contains(from) {
            self.on_message(now, from, message, &mut out);
        }
        self.finish(out)
    }

    fn on_message(&mut self, now: u64, from: &str, message: &Message, out: &mut Output) {
        if let Stage::MembersRound(round) = &mut self.stage {
            let output = round.on_reply(now, from, message);
            return self.on_members_round(now, output, out);
        }
        let Stage::InPhase(phase) = &mut self.stage else { return };
        let is_current = |key: &Key, ballot: &Ballot| *key == self.key && *ballot == phase.ballot;
        match (message, &phase.kind) {
            (Message::QueryReply { key, tag: ballot, accepted }, PhaseKind::Query)
            | (Message::Promised { key, ballot, accepted }, PhaseKind::Prepare)
                if is_current(key, ballot) =>
            {
                phase.replies.insert(from.into(), accepted.clone());
            }
            (Message::Wrote { key, ballot }, PhaseKind::Write(..)) if is_current(key, ballot) => {
                phase.replies.insert(from.into(), None);
            }
            (Message::Refused { key, ballot, promised }, _) if is_current(key, ballot) => {
                self.above = self.above.max(promised.counter);
                phase.refused.insert(from.into());
                if phase.retry.is_none() {
                    let max_delay = (5 << self.attempts.min(4)).min(80) * MS;
                    phase.retry = Some(now + self.rng.between(5 * MS, max_delay));
                }
                return;
            }
            (Message::NewerMembers { key, ballot, members, chosen }, _) if is_current(key, ballot) => {
                return self.on_newer_members(now, members, *chosen, out);
            }
            _ => return,
        }
        let timed_out = now.saturating_sub(phase.sent) > PHASE_TIMEOUT;
        let replied = |voter: &Address| phase.replies.contains_key(voter);
        if timed_out
            || !self.members.has_quorum(counted(&self.excluded, replied))
            || !self.required.iter().all(replied)
        {
            return;
        }
        match phase.kind.clone() {
            PhaseKind::Query => self.on_query_majority(now, out),
            PhaseKind::Prepare => self.on_prepare_majority(now, out),
            PhaseKind::Write(_, outcome) => self.end(outcome, out),
        }
    }

    fn on_query_majority(&mut self, now: u64, out: &mut Output) {
        let Stage::InPhase(phase) = &mut self.stage else { return };
        for seen in phase.replies.values() {
            let vote = |accepted: &Option<Accepted>| match (accepted, seen) {
                (Some(one), Some(other)) => one.ballot == other.ballot && !one.copied,
                (None, None) => true,
                _ => false,
            };
            let voted = |voter: &Address| phase.replies.get(voter).is_some_and(vote);
            if self.members.has_quorum(counted(&self.excluded, voted)) {
                let value = seen.as_ref().map(|accepted| accepted.value.clone());
                return self.end(Outcome::Found(value), out);
            }
        }
        self.queried = true;
        if self.members.all_voters().iter().all(|voter| phase.replies.contains_key(voter)) {
            self.attempt(now, out);
        } else {
            phase.retry = phase.retry.or(Some(now + QUERY_WAIT));
        }
    }

    fn on_prepare_majority(&mut self, now: u64, out: &mut Output) {
        let Stage::InPhase(phase) = &self.stage else { return };
        let highest = phase.replies.values().flatten().max_by(|one, other| one.ballot.cmp(&other.ballot));
        let found = highest.map(|accepted| accepted.value.clone());
        let current = found.as_ref().map_or(0, |value| value.version);
        let (value, outcome) = match &self.operation {
            Operation::Propose { version, content, expected_version }
                if self.may_write(*version, *expected_version, current) =>
            {
                let value = Value { version: *version, content: content.clone() };
                (Some(value.clone()), Outcome::Written(value))
            }
            Operation::Propose { .. } => (found.clone(), Outcome::Conflict(found)),
            // The initial members were never written. Write them, since a voter may have accepted others that
            // were not chosen.
            Operation::Rewrite if self.key == Key::Members && found.is_none() => {
                let value = Value { version: self.members.epoch, content: self.members.to_text().into() };
                (Some(value.clone()), Outcome::Found(Some(value)))
            }
            Operation::Read | Operation::Rewrite => (found.clone(), Outcome::Found(found)),
        };
        match value {
            Some(value) => {
                let ballot = phase.ballot.clone();
                self.start_phase(now, PhaseKind::Write(value, outcome), ballot, out);
            }
            None => self.end(outcome, out),
        }
    }

    /// Whether the proposed value may replace the current one. Records of members follow each other one by
    /// one, each decided under the one before.
    fn may_write(&self, version: u64, expected_version: Option<u64>, current: u64) -> bool {
        let follows = self.key != Key::Members || current == self.members.epoch && version == current + 1;
        version > current && expected_version.is_none_or(|expected| expected == current) && follows
    }

    fn on_newer_members(&mut self, now: u64, members: &Members, chosen: bool, out: &mut Output) {
        if members.uid != self.members.uid || members.epoch <= self.members.epoch {
            return;
        }
        if chosen {
            self.adopt(now, members.clone(), out);
        } else if !self.members_confirmed && self.key != Key::Members {
            let seed = self.rng.next();
            let deadline = self.deadline;
            let mut round = Self::new(
                Operation::Rewrite,
                Key::Members,
                self.members.clone(),
                &self.ballots,
                seed,
                deadline,
            );
            let output = round.on_tick(now);
            self.stage = Stage::MembersRound(Box::new(round));
            self.on_members_round(now, output, out);
        }
    }

    fn on_members_round(&mut self, now: u64, output: Output, out: &mut Output) {
        out.send.extend(output.send);
        let Stage::MembersRound(round) = &self.stage else { return };
        let round_members = round.members.clone();
        match output.outcome {
            None => {}
            Some(Outcome::Indeterminate(reason)) => self.end(Outcome::Indeterminate(reason), out),
            Some(Outcome::Found(value) | Outcome::Conflict(value)) => {
                let found = value.and_then(|value| Members::parse(&value.content).ok());
                let newest = found.into_iter().chain([round_members]).max_by_key(|members| members.epoch);
                // Newer members that a voter still reports after this were not chosen.
                self.members_confirmed = true;
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
        self.members_confirmed = false;
        self.attempt(now, out);
    }

    fn attempt(&mut self, now: u64, out: &mut Output) {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            return self.end(Outcome::Indeterminate(FailureReason::Preempted), out);
        }
        let kind = if self.queried { PhaseKind::Prepare } else { PhaseKind::Query };
        let ballot = self.ballots.next(self.above);
        self.start_phase(now, kind, ballot, out);
    }

    fn start_phase(&mut self, now: u64, kind: PhaseKind, ballot: Ballot, out: &mut Output) {
        let (replies, refused) = (BTreeMap::new(), BTreeSet::new());
        self.stage = Stage::InPhase(Phase {
            kind,
            ballot,
            sent: now,
            resend: now + RESEND_INTERVAL,
            retry: None,
            replies,
            refused,
        });
        self.send(out);
    }

    fn send(&self, out: &mut Output) {
        let Stage::InPhase(phase) = &self.stage else { return };
        let (key, ballot, members) = (self.key, phase.ballot.clone(), self.members.clone());
        let message = match &phase.kind {
            PhaseKind::Query => Message::Query { key, tag: ballot, members },
            PhaseKind::Prepare => Message::Prepare { key, ballot, members },
            PhaseKind::Write(value, _) => Message::Write { key, ballot, value: value.clone(), members },
        };
        let replied = |voter: &Address| phase.replies.contains_key(voter) || phase.refused.contains(voter);
        let missing = self.members.all_voters().into_iter().filter(|voter| !replied(voter));
        out.send.extend(missing.map(|voter| (voter, message.clone())));
    }

    fn end(&mut self, outcome: Outcome, out: &mut Output) {
        self.stage = Stage::Done;
        out.outcome = Some(outcome);
    }

    fn finish(&self, mut out: Output) -> Output {
        out.wake = self.next_wake();
        out
    }

    fn next_wake(&self) -> Option<u64> {
        let wake = match &self.stage {
            Stage::Waiting(until) => *until,
            Stage::InPhase(phase) => {
                let wake = phase.resend.min(phase.sent + PHASE_TIMEOUT + 1);
                phase.retry.map_or(wake, |retry| wake.min(retry))
            }
            Stage::MembersRound(round) => round.next_wake()?,
            Stage::Done => return None,
        };
        Some(wake.min(self.deadline))
    }
}

/// Restricts `included` to voters that count towards a majority.
fn counted(excluded: &Option<Address>, included: impl Fn(&Address) -> bool) -> impl Fn(&Address) -> bool {
    move |voter| excluded.as_ref() != Some(voter) && included(voter)
}
