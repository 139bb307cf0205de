//! Exchange, add or remove one voter; keeps: the old voters decide alone before, the new ones after, nobody between.
//!
//! Read the members; write the joint record over them; finish every other key at majorities of both sets, the new voter
//! among them; write the next voters as the voters. Whoever finds a joint record goes on with the finishing, whoever began it. By the second
//! step each key stands at a majority of the next voters, and a majority of the old ones has adopted the joint record
//! (its requests carry it), so no round under the old record gets through any more.

//!
//! What may never have been written (the moves) is read rather than finished: what a read finds stands at majorities of both sets, and what it
//! finds nothing of was not chosen and can't be any more, since those majorities have adopted the joint record.
//!
//! Where the new voter does not come, the old voters are written as the voters again. That needs no finishing: every
//! round before had a majority of them.

use std::sync::Arc;

use crate::ballot::{Ballots, Key};
use crate::chance::Chance;
use crate::members::{Members, VoterChange, VoterChangeError};
use crate::round::{FailureReason, Operation, Outcome, Output, Round};
use crate::wire::Message;

/// A joint record stays for so long at least: two renewals of a lease.
const JOINT_FOR: u64 = 700_000_000;

/// How a move ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum MembershipOutcome {
    /// It is done, and these are the members.
    Done(Members),
    /// The new voter did not come in time, and the members are as they were.
    RolledBack(Members),
    /// It can't be done over the members that stand.
    Refused(VoterChangeError),
    /// Not done in time; whoever comes next goes on from where it is.
    Indeterminate(FailureReason),
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
enum At {
    Reading,
    Joining(Members),
    /// With the place of the key in [`Key::ALL`].
    Finishing(usize),
    /// For the holders of leases to come over.
    Waiting,
    Leaving(Members),
    Back(Members),
}

/// One move.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct MembershipChange {
    change: Option<VoterChange>,
    members: Members,
    ballots: Ballots,
    chance: Chance,
    limit: u64,
    each: u64,
    leave_at: u64,
    patience: u64,
    at: At,
    round: Round,
    moved: Option<MembershipOutcome>,
}

#[cfg(feature = "explore")]
impl MembershipChange {
    /// The same move from here on, with these ballots.
    #[must_use]
    pub fn fork(&self, ballots: &Ballots) -> Self {
        Self { ballots: ballots.clone(), round: self.round.fork(ballots), ..self.clone() }
    }
}

impl MembershipChange {
    /// Make this change, or only end one that somebody began. Each round gets `each`, all together end at `limit`.
    pub fn new(
        change: Option<VoterChange>,
        members: Members,
        ballots: &Ballots,
        seed: u64,
        each: u64,
        limit: u64,
        now: u64,
    ) -> Self {
        let first = now.saturating_add(each).min(limit);
        let patience = now.saturating_add(limit.saturating_sub(now) / 2);
        let round = Round::new(Operation::Read, Key::Members, members.clone(), ballots, seed, first);
        let (ballots, chance) = (ballots.clone(), Chance::new(seed));
        Self {
            change,
            members,
            ballots,
            chance,
            limit,
            each,
            leave_at: 0,
            patience,
            at: At::Reading,
            round,
            moved: None,
        }
    }

    /// The newest members it knows to be chosen.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// How it ended, once it has.
    pub fn outcome(&self) -> Option<&MembershipOutcome> {
        self.moved.as_ref()
    }

    /// Time passes. The outcome in what is returned is always empty: see [`MembershipChange::outcome`].
    pub fn on_tick(&mut self, now: u64) -> Output {
        if matches!(self.at, At::Waiting) && now >= self.leave_at && self.moved.is_none() {
            self.leave(now);
        }
        let out = self.round.on_tick(now);
        self.go_on(now, out)
    }

    /// A message from a voter.
    pub fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output {
        let out = self.round.on_reply(now, from, message);
        self.go_on(now, out)
    }

    fn go_on(&mut self, now: u64, mut out: Output) -> Output {
        while let (Some(outcome), None) = (out.outcome.take(), &self.moved) {
            let moved_on = self.round.members().epoch > self.members.epoch;
            if moved_on {
                self.members = self.round.members().clone();
            }
            match outcome {
                Outcome::Indeterminate(why) if now >= self.limit => {
                    self.moved = Some(MembershipOutcome::Indeterminate(why))
                }
                Outcome::Indeterminate(_) if now >= self.patience && matches!(self.at, At::Finishing(_)) => {
                    self.back(now)
                }
                Outcome::Indeterminate(_) => self.read(now),
                _ if moved_on && !matches!(self.at, At::Reading) => self.read(now),
                outcome => self.take(now, outcome),
            }
            if self.moved.is_some() {
                return Output { wake: None, ..out };
            }
            if matches!(self.at, At::Waiting) {
                break;
            }
            let more = self.round.on_tick(now);
            out.send.extend(more.send);
            (out.wake, out.outcome) = (more.wake, more.outcome);
        }
        if matches!(self.at, At::Waiting) && self.moved.is_none() {
            out.wake = Some(self.leave_at);
        }
        out
    }

    fn take(&mut self, now: u64, outcome: Outcome) {
        let found = match outcome {
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Written(value) => Some(value),
            Outcome::Indeterminate(_) => None,
        };
        match &self.at {
            At::Reading | At::Joining(_) | At::Leaving(_) | At::Back(_) => {
                let found = found.and_then(|value| Members::parse(&value.content).ok());
                if let Some(members) = found.filter(|members| members.epoch > self.members.epoch) {
                    self.members = members;
                }
                self.decide(now);
            }
            At::Finishing(at) => {
                let at = at + 1;
                match Key::ALL.get(at) {
                    // The members stand at majorities of both sets with the last record, not before.
                    None | Some(Key::Members) => self.at = At::Waiting,
                    Some(_) => self.finish(now, at),
                }
            }
            At::Waiting => {}
        }
    }

    /// The members are the last that stand: what is next?
    fn decide(&mut self, now: u64) {
        let ours = match &self.at {
            At::Leaving(after) | At::Joining(after) => *after == self.members,
            _ => false,
        };
        if matches!(&self.at, At::Back(back) if *back == self.members) {
            self.moved = Some(MembershipOutcome::RolledBack(self.members.clone()));
            return;
        }
        if self.members.next.is_some() {
            self.leave_at = now.saturating_add(JOINT_FOR);
            return self.finish(now, 0);
        }
        // One's own last record stands: done, whatever the change would say of voters of the same name.
        let change = self.change.clone().filter(|change| !ours && !change.is_applied(&self.members.voters));
        let Some(change) = change else {
            self.moved = Some(MembershipOutcome::Done(self.members.clone()));
            return;
        };
        match change.apply(&self.members.voters) {
            Err(reason) => self.moved = Some(MembershipOutcome::Refused(reason)),
            Ok(voters) => {
                let joint = self.members.joint(voters);
                let offer = self.offer(&joint);
                self.at = At::Joining(joint);
                self.start(now, offer, Key::Members);
            }
        }
    }

    fn back(&mut self, now: u64) {
        let Some(back) = self.members.rolled_back() else { return self.read(now) };
        let offer = self.offer(&back);
        self.at = At::Back(back);
        self.start(now, offer, Key::Members);
    }

    fn offer(&self, members: &Members) -> Operation {
        let content = Arc::from(members.to_text());
        Operation::Propose { version: members.epoch, content, expected_version: Some(self.members.epoch) }
    }

    fn read(&mut self, now: u64) {
        self.at = At::Reading;
        self.start(now, Operation::Read, Key::Members);
    }

    fn finish(&mut self, now: u64, at: usize) {
        self.at = At::Finishing(at);
        let key = Key::ALL[at];
        // Finishing would leave a promise on each disk, and records of a format that older versions can't read.
        let kind = if key == Key::Migrations { Operation::Read } else { Operation::Rewrite };
        self.start(now, kind, key);
    }

    fn leave(&mut self, now: u64) {
        let Some(after) = self.members.completed() else { return self.read(now) };
        let offer = self.offer(&after);
        self.at = At::Leaving(after);
        self.start(now, offer, Key::Members);
    }

    fn start(&mut self, now: u64, kind: Operation, key: Key) {
        let limit = now.saturating_add(self.each).min(self.limit);
        let must = if matches!(self.at, At::Finishing(_)) { self.members.joining() } else { Vec::new() };
        let round = Round::new(kind, key, self.members.clone(), &self.ballots, self.chance.next(), limit);
        self.round = round.with(must);
    }
}
