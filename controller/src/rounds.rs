//! Rounds of the register, and what each is for. Invariants: what was begun ends once, at its time at the latest; no more than
//! [`MAX_ROUNDS`] are under way.

use std::collections::BTreeMap;

use millpost_quorum::{
    Address, Ballots, Key, Members, MembershipChange, MembershipOutcome, Message, Operation, Outcome, Output,
    Round, VoterChange,
};

use crate::contact::ContactRead;
use crate::errors::CallError;
use crate::{MS, Nanos};

/// A round of the register ends by then, so that who asked can move on within a second.
const ROUND_TIMEOUT: Nanos = 800 * MS;
/// All rounds of a change of voters.
const CHANGE_TIMEOUT: Nanos = 6_000 * MS;
/// Rounds at once.
pub const MAX_ROUNDS: usize = 200;

/// What a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundPurpose {
    /// An operator put this, by the call of this number.
    PutConfig(u64),
    /// An operator reads.
    ReadConfig(u64),
    /// To know the configuration oneself.
    LearnConfig,
    /// To know that what is known is what a majority stands behind.
    ConfirmContact(ContactRead),
    /// Who was the last leader.
    LastLeader,
    /// To become the leader: the fence that stands.
    ReadFence,
    /// To become the leader: this fence is mine.
    WriteFence(u64),
    /// The voters change.
    ChangeVoters,
    /// The record of moves is read or written, for the carter's question of this number.
    MigrationRecord(u64),
    /// A move's configuration of this number is put.
    MigrationConfig(u64),
    /// This machine is about to end: what it holds under this key is to stand without it.
    HandOver(Key),
}

/// A round that is over. One that changed voters is not told of: see [`Rounds::members`].
#[derive(Debug)]
pub struct FinishedRound {
    /// What it was for.
    pub purpose: RoundPurpose,
    /// How it ended.
    pub outcome: Result<Outcome, CallError>,
}

/// What to do.
#[derive(Debug, Default)]
pub struct RoundOutput {
    /// Messages to voters, each of the round of this number.
    pub send: Vec<(u64, Address, Message)>,
    /// What is over.
    pub finished: Vec<FinishedRound>,
}

enum RoundState {
    Round(Box<Round>),
    MembershipChange(Box<MembershipChange>),
}

impl RoundState {
    fn advance(&mut self, now: Nanos, answer: Option<(&str, &Message)>) -> Output {
        match (self, answer) {
            (RoundState::Round(round), Some((from, message))) => round.on_reply(now, from, message),
            (RoundState::Round(round), None) => round.on_tick(now),
            (RoundState::MembershipChange(moving), Some((from, message))) => {
                moving.on_reply(now, from, message)
            }
            (RoundState::MembershipChange(moving), None) => moving.on_tick(now),
        }
    }

    fn members(&self) -> &Members {
        match self {
            RoundState::Round(round) => round.members(),
            RoundState::MembershipChange(moving) => moving.members(),
        }
    }
}

struct RunningRound {
    state: RoundState,
    purpose: RoundPurpose,
    wake: Nanos,
}

/// All rounds of a state, and the newest members it knows.
pub struct Rounds {
    ballots: Ballots,
    /// Chance differs from machine to state, also where all start in one moment.
    seed: u64,
    members: Option<Members>,
    rounds: BTreeMap<u64, RunningRound>,
    next: u64,
}

impl Rounds {
    /// Of a machine that knows of no members yet. `life` differs at each start.
    pub fn new(me: &str, life: u64, seed: u64) -> Self {
        Rounds { ballots: Ballots::new(me, life), seed, members: None, rounds: BTreeMap::new(), next: 0 }
    }

    /// The newest members it knows of.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// These are chosen.
    pub fn adopt(&mut self, members: &Members) {
        if self.members.as_ref().is_none_or(|mine| mine.epoch < members.epoch) {
            self.members = Some(members.clone());
        }
    }

    /// Whether a round for this is under way.
    pub fn is_running(&self, purpose: RoundPurpose) -> bool {
        self.rounds.values().any(|r| r.purpose == purpose)
    }

    /// How many are under way.
    pub fn in_progress(&self) -> usize {
        self.rounds.len()
    }

    /// When to call [`Rounds::tick`] next.
    pub fn next_wake(&self) -> Nanos {
        self.rounds.values().map(|r| r.wake).min().unwrap_or(Nanos::MAX)
    }

    /// Begins a round.
    pub fn start(&mut self, now: Nanos, kind: Operation, key: Key, purpose: RoundPurpose) -> RoundOutput {
        self.begin(now, purpose, |members, ballots, seed| {
            RoundState::Round(Box::new(Round::new(kind, key, members, ballots, seed, now + ROUND_TIMEOUT)))
        })
    }

    /// Begins a round whose majorities are made up without this voter.
    pub fn start_without(
        &mut self,
        now: Nanos,
        kind: Operation,
        key: Key,
        purpose: RoundPurpose,
        without: &Address,
    ) -> RoundOutput {
        self.begin(now, purpose, |members, ballots, seed| {
            let round = Round::new(kind, key, members, ballots, seed, now + ROUND_TIMEOUT);
            RoundState::Round(Box::new(round.excluding(without.clone())))
        })
    }

    /// Begins a change of the voters, or ends one that somebody began.
    pub fn start_change(&mut self, now: Nanos, change: Option<VoterChange>) -> RoundOutput {
        self.begin(now, RoundPurpose::ChangeVoters, |members, ballots, seed| {
            RoundState::MembershipChange(Box::new(MembershipChange::new(
                change,
                members,
                ballots,
                seed,
                ROUND_TIMEOUT,
                now + CHANGE_TIMEOUT,
                now,
            )))
        })
    }

    fn begin(
        &mut self,
        now: Nanos,
        purpose: RoundPurpose,
        state: impl FnOnce(Members, &Ballots, u64) -> RoundState,
    ) -> RoundOutput {
        let refused = |kind| RoundOutput {
            send: Vec::new(),
            finished: vec![FinishedRound { purpose, outcome: Err(kind) }],
        };
        let Some(members) = self.members.clone() else { return refused(CallError::NoMajority) };
        if self.rounds.len() >= MAX_ROUNDS {
            return refused(CallError::Busy);
        }
        self.next += 1;
        let state = state(members, &self.ballots, self.seed ^ self.next.rotate_left(32));
        self.rounds.insert(self.next, RunningRound { state, purpose, wake: now });
        let mut out = RoundOutput::default();
        self.drive(now, self.next, None, &mut out);
        out
    }

    /// A voter's answer to the round of this number.
    pub fn on_answer(&mut self, now: Nanos, id: u64, from: &str, message: &Message) -> RoundOutput {
        let mut out = RoundOutput::default();
        self.drive(now, id, Some((from, message)), &mut out);
        out
    }

    /// Time passes.
    pub fn tick(&mut self, now: Nanos) -> RoundOutput {
        let mut out = RoundOutput::default();
        let due: Vec<_> = self.rounds.iter().filter(|(_, r)| r.wake <= now).map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.drive(now, id, None, &mut out));
        out
    }

    fn drive(&mut self, now: Nanos, id: u64, answer: Option<(&str, &Message)>, out: &mut RoundOutput) {
        let Some(running) = self.rounds.get_mut(&id) else { return };
        let step = running.state.advance(now, answer);
        running.wake = step.wake.unwrap_or(now + 20 * MS);
        out.send.extend(step.send.into_iter().map(|(to, message)| (id, to, message)));
        let newer = running.state.members();
        if self.members.as_ref().is_none_or(|mine| mine.epoch < newer.epoch) {
            self.members = Some(newer.clone());
        }
        let moved = match &running.state {
            RoundState::MembershipChange(moving) => moving.outcome().cloned(),
            RoundState::Round(_) => None,
        };
        if let Some(moved) = moved {
            self.rounds.remove(&id);
            match moved {
                MembershipOutcome::Done(members) => {
                    log::info!("voters are now {}", members.voters.join(" "));
                    self.adopt(&members);
                }
                other => log::warn!("the voters did not change: {other:?}"),
            }
        } else if let Some(outcome) = step.outcome
            && let Some(running) = self.rounds.remove(&id)
        {
            let purpose = running.purpose;
            let outcome = match outcome {
                Outcome::Indeterminate(why) => {
                    if matches!(purpose, RoundPurpose::PutConfig(_) | RoundPurpose::ReadConfig(_)) {
                        log::info!("an operator's call found no majority: {why:?}");
                    }
                    Err(CallError::NoMajority)
                }
                outcome => Ok(outcome),
            };
            out.finished.push(FinishedRound { purpose, outcome });
        }
    }
}
