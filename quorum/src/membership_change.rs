//! Replaces, adds or removes voters. Invariant: the old voters decide alone before the change, the new
//! voters alone after it, and neither set alone in between.
//!
//! The steps are:
//!
//! 1. Read the members.
//! 2. Write the joint record.
//! 3. Write every other key again at majorities of both sets, including the new voter.
//! 4. Write the next voters as the voters.
//!
//! Any process that finds a joint record continues with step 3, whichever process began the change. At step 4
//! each key has its value on a majority of the next voters, and a majority of the old voters has adopted the
//! joint record (the requests of step 3 carry it), so no round under the old record succeeds any more.
//!
//! A key that may never have been written (`moves`) is read instead of written again. A value that the read
//! finds is on majorities of both sets. If it finds none, no value was chosen, and none can be any more,
//! since those majorities have adopted the joint record.
//!
//! If the new voter does not become available, the old voters are written as the voters again. That needs no
//! step 3, because every earlier round had a majority of them.

use std::sync::Arc;

use crate::ballot::{Ballots, Key};
use crate::members::{Members, VoterChange, VoterChangeError};
use crate::rng::Rng;
use crate::round::{FailureReason, Operation, Outcome, Output, Round};
use crate::wire::Message;

/// Minimum time for which a joint record stays in force: two renewals of a lease.
const MIN_JOINT_DURATION: u64 = 700_000_000;

/// The result of a membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum MembershipOutcome {
    /// The change is done; these are the members.
    Done(Members),
    /// The new voter was not available in time; the members are as before.
    RolledBack(Members),
    /// The change cannot be applied to the current members.
    Refused(VoterChangeError),
    /// The change did not end in time; the next attempt continues from its state.
    Indeterminate(FailureReason),
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
enum Stage {
    Reading,
    WritingJoint(Members),
    /// With the index of the key in [`Key::ALL`].
    RewritingKeys(usize),
    /// Waits until holders of leases have renewed them under the joint record.
    WaitingForLeases,
    Completing(Members),
    RollingBack(Members),
}

/// One change of the voters.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct MembershipChange {
    change: Option<VoterChange>,
    members: Members,
    ballots: Ballots,
    rng: Rng,
    deadline: u64,
    round_timeout: u64,
    /// The earliest time of step 4.
    complete_at: u64,
    /// When a change whose keys cannot be written again is rolled back.
    roll_back_after: u64,
    stage: Stage,
    round: Round,
    outcome: Option<MembershipOutcome>,
}

#[cfg(feature = "explore")]
impl MembershipChange {
    /// Returns a copy of this change that takes its ballots from `ballots`.
    #[must_use]
    pub fn fork(&self, ballots: &Ballots) -> Self {
        Self { ballots: ballots.clone(), round: self.round.fork(ballots), ..self.clone() }
    }
}

impl MembershipChange {
    /// Creates a change. Without `change` it only completes a change that is already in progress. Each round
    /// may take `round_timeout`; the whole change ends at `deadline`.
    pub fn new(
        change: Option<VoterChange>,
        members: Members,
        ballots: &Ballots,
        seed: u64,
        round_timeout: u64,
        deadline: u64,
        now: u64,
    ) -> Self {
        let first_deadline = now.saturating_add(round_timeout).min(deadline);
        let roll_back_after = now.saturating_add(deadline.saturating_sub(now) / 2);
        let round = Round::new(Operation::Read, Key::Members, members.clone(), ballots, seed, first_deadline);
        let (ballots, rng) = (ballots.clone(), Rng::new(seed));
        Self {
            change,
            members,
            ballots,
            rng,
            deadline,
            round_timeout,
            complete_at: 0,
            roll_back_after,
            stage: Stage::Reading,
            round,
            outcome: None,
        }
    }

    /// Returns the newest members that are known to be chosen.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the result, once the change has ended.
    pub fn outcome(&self) -> Option<&MembershipOutcome> {
        self.outcome.as_ref()
    }

    /// Advances the time. The outcome in the returned output is always empty: see
    /// [`MembershipChange::outcome`].
    pub fn on_tick(&mut self, now: u64) -> Output {
        if matches!(self.stage, Stage::WaitingForLeases) && now >= self.complete_at && self.outcome.is_none()
        {
            self.complete(now);
        }
        let out = self.round.on_tick(now);
        self.advance(now, out)
    }

    /// Handles a message from a voter.
    pub fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output {
        let out = self.round.on_reply(now, from, message);
        self.advance(now, out)
    }

    fn advance(&mut self, now: u64, mut out: Output) -> Output {
        while let (Some(outcome), None) = (out.outcome.take(), &self.outcome) {
            let members_changed = self.round.members().epoch > self.members.epoch;
            if members_changed {
                self.members = self.round.members().clone();
            }
            match outcome {
                Outcome::Indeterminate(reason) if now >= self.deadline => {
                    self.outcome = Some(MembershipOutcome::Indeterminate(reason))
                }
                Outcome::Indeterminate(_)
                    if now >= self.roll_back_after && matches!(self.stage, Stage::RewritingKeys(_)) =>
                {
                    self.roll_back(now)
                }
                Outcome::Indeterminate(_) => self.read_members(now),
                _ if members_changed && !matches!(self.stage, Stage::Reading) => self.read_members(now),
                outcome => self.on_outcome(now, outcome),
            }
            if self.outcome.is_some() {
                return Output { wake: None, ..out };
            }
            if matches!(self.stage, Stage::WaitingForLeases) {
                break;
            }
            let next = self.round.on_tick(now);
            out.send.extend(next.send);
            (out.wake, out.outcome) = (next.wake, next.outcome);
        }
        if matches!(self.stage, Stage::WaitingForLeases) && self.outcome.is_none() {
            out.wake = Some(self.complete_at);
        }
        out
    }

    fn on_outcome(&mut self, now: u64, outcome: Outcome) {
        let found = match outcome {
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Written(value) => Some(value),
            Outcome::Indeterminate(_) => None,
        };
        match &self.stage {
            Stage::Reading | Stage::WritingJoint(_) | Stage::Completing(_) | Stage::RollingBack(_) => {
                let found = found.and_then(|value| Members::parse(&value.content).ok());
                if let Some(members) = found.filter(|members| members.epoch > self.members.epoch) {
                    self.members = members;
                }
                self.next_step(now);
            }
            Stage::RewritingKeys(index) => {
                let index = index + 1;
                match Key::ALL.get(index) {
                    // The key `members` is written at majorities of both sets only with the last record.
                    None | Some(Key::Members) => self.stage = Stage::WaitingForLeases,
                    Some(_) => self.rewrite_key(now, index),
                }
            }
            Stage::WaitingForLeases => {}
        }
    }

    /// Decides the next step, given that `members` is the latest chosen record.
    fn next_step(&mut self, now: u64) {
        let wrote_members = match &self.stage {
            Stage::Completing(members) | Stage::WritingJoint(members) => *members == self.members,
            _ => false,
        };
        if matches!(&self.stage, Stage::RollingBack(members) if *members == self.members) {
            self.outcome = Some(MembershipOutcome::RolledBack(self.members.clone()));
            return;
        }
        if self.members.next.is_some() {
            self.complete_at = now.saturating_add(MIN_JOINT_DURATION);
            return self.rewrite_key(now, 0);
        }
        // The record written here is in force: the change is done, whatever voters of the same name would
        // suggest.
        let change =
            self.change.clone().filter(|change| !wrote_members && !change.is_applied(&self.members.voters));
        let Some(change) = change else {
            self.outcome = Some(MembershipOutcome::Done(self.members.clone()));
            return;
        };
        match change.apply(&self.members.voters) {
            Err(reason) => self.outcome = Some(MembershipOutcome::Refused(reason)),
            Ok(voters) => {
                let joint = self.members.joint(voters);
                let operation = self.propose(&joint);
                self.stage = Stage::WritingJoint(joint);
                self.start_round(now, operation, Key::Members);
            }
        }
    }

    fn roll_back(&mut self, now: u64) {
        let Some(members) = self.members.rolled_back() else { return self.read_members(now) };
        let operation = self.propose(&members);
        self.stage = Stage::RollingBack(members);
        self.start_round(now, operation, Key::Members);
    }

    fn propose(&self, members: &Members) -> Operation {
        let content = Arc::from(members.to_text());
        Operation::Propose { version: members.epoch, content, expected_version: Some(self.members.epoch) }
    }

    fn read_members(&mut self, now: u64) {
        self.stage = Stage::Reading;
        self.start_round(now, Operation::Read, Key::Members);
    }

    fn rewrite_key(&mut self, now: u64, index: usize) {
        self.stage = Stage::RewritingKeys(index);
        let key = Key::ALL[index];
        // A rewrite would leave a promise on each disk, and records in a format that older versions cannot
        // read.
        let operation = if key == Key::Migrations { Operation::Read } else { Operation::Rewrite };
        self.start_round(now, operation, key);
    }

    fn complete(&mut self, now: u64) {
        let Some(members) = self.members.completed() else { return self.read_members(now) };
        let operation = self.propose(&members);
        self.stage = Stage::Completing(members);
        self.start_round(now, operation, Key::Members);
    }

    fn start_round(&mut self, now: u64, operation: Operation, key: Key) {
        let deadline = now.saturating_add(self.round_timeout).min(self.deadline);
        let required =
            if matches!(self.stage, Stage::RewritingKeys(_)) { self.members.joining() } else { Vec::new() };
        let round =
            Round::new(operation, key, self.members.clone(), &self.ballots, self.rng.next(), deadline);
        self.round = round.requiring(required);
    }
}
