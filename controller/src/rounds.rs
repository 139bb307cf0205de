//! Rounds of the register, each with its purpose.
//!
//! Invariants: each round ends once, at its timeout at the latest; at most [`MAX_ROUNDS`] are in progress.

use std::collections::BTreeMap;

use millpost_quorum::{
    Address, Ballots, Key, Members, MembershipChange, MembershipOutcome, Message, Operation, Outcome, Output,
    Round, VoterChange,
};

use crate::contact::ContactRead;
use crate::errors::CallError;
use crate::{MS, Nanos};

/// Timeout of a round, so that its caller can continue within a second.
const ROUND_TIMEOUT: Nanos = 800 * MS;
/// Timeout of all rounds of a change of voters.
const CHANGE_TIMEOUT: Nanos = 6_000 * MS;
/// Maximum number of rounds in progress.
pub const MAX_ROUNDS: usize = 200;

/// The purpose of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundPurpose {
    /// An operator puts a configuration, by the call of this number.
    PutConfig(u64),
    /// An operator reads the configuration, by the call of this number.
    ReadConfig(u64),
    /// This controller reads the configuration.
    LearnConfig,
    /// Confirms that the local state is the one that a majority holds.
    ConfirmContact(ContactRead),
    /// Reads the last leader.
    LastLeader,
    /// Reads the current fence, to become the leader.
    ReadFence,
    /// Writes this fence, to become the leader.
    WriteFence(u64),
    /// Changes the voters.
    ChangeVoters,
    /// Reads or writes the record of migrations, for the migrator's request of this number.
    MigrationRecord(u64),
    /// Puts a migration's configuration, for the migrator's request of this number.
    MigrationConfig(u64),
    /// Makes a majority without this controller store the value of this key, before a shutdown.
    HandOver(Key),
}

/// A finished round, or one that could not be started. The end of a change of voters is not reported, whether
/// it succeeded or failed: see [`Rounds::members`].
#[derive(Debug)]
pub struct FinishedRound {
    /// Its purpose.
    pub purpose: RoundPurpose,
    /// Its result.
    pub outcome: Result<Outcome, CallError>,
}

/// What the caller must do.
#[derive(Debug, Default)]
pub struct RoundOutput {
    /// Messages to voters, each with the number of its round.
    pub send: Vec<(u64, Address, Message)>,
    /// Finished rounds.
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

/// The rounds of a controller, and the newest members it knows.
pub struct Rounds {
    ballots: Ballots,
    /// Differs between controllers, so that they draw different random numbers even if all start at the same
    /// time.
    seed: u64,
    members: Option<Members>,
    rounds: BTreeMap<u64, RunningRound>,
    next: u64,
}

impl Rounds {
    /// Creates the rounds of a controller that knows no members yet. `life` must differ at each start.
    pub fn new(me: &str, life: u64, seed: u64) -> Self {
        Rounds { ballots: Ballots::new(me, life), seed, members: None, rounds: BTreeMap::new(), next: 0 }
    }

    /// Returns the newest known members.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Adopts chosen members if they are newer than the known ones.
    pub fn adopt(&mut self, members: &Members) {
        if self.members.as_ref().is_none_or(|known| known.epoch < members.epoch) {
            self.members = Some(members.clone());
        }
    }

    /// Returns whether a round with this purpose is in progress.
    pub fn is_running(&self, purpose: RoundPurpose) -> bool {
        self.rounds.values().any(|r| r.purpose == purpose)
    }

    /// Returns the number of rounds in progress.
    pub fn in_progress(&self) -> usize {
        self.rounds.len()
    }

    /// Returns when [`Rounds::tick`] must be called next.
    pub fn next_wake(&self) -> Nanos {
        self.rounds.values().map(|r| r.wake).min().unwrap_or(Nanos::MAX)
    }

    /// Starts a round.
    pub fn start(&mut self, now: Nanos, kind: Operation, key: Key, purpose: RoundPurpose) -> RoundOutput {
        self.begin(now, purpose, |members, ballots, seed| {
            RoundState::Round(Box::new(Round::new(kind, key, members, ballots, seed, now + ROUND_TIMEOUT)))
        })
    }

    /// Starts a round whose majorities are formed without this voter.
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

    /// Starts a change of the voters, or without a change finishes one that another controller began.
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
        let refused = |error| RoundOutput {
            send: Vec::new(),
            finished: vec![FinishedRound { purpose, outcome: Err(error) }],
        };
        let Some(members) = self.members.clone() else { return refused(CallError::NoMajority) };
        if self.rounds.len() >= MAX_ROUNDS {
            return refused(CallError::Busy);
        }
        self.next += 1;
        let state = state(members, &self.ballots, self.seed ^ self.next.rotate_left(32));
        self.rounds.insert(self.next, RunningRound { state, purpose, wake: now });
        let mut out = RoundOutput::default();
        self.advance(now, self.next, None, &mut out);
        out
    }

    /// Handles a voter's reply to the round of this number.
    pub fn on_answer(&mut self, now: Nanos, id: u64, from: &str, message: &Message) -> RoundOutput {
        let mut out = RoundOutput::default();
        self.advance(now, id, Some((from, message)), &mut out);
        out
    }

    /// Advances rounds whose timers are due.
    pub fn tick(&mut self, now: Nanos) -> RoundOutput {
        let mut out = RoundOutput::default();
        let due: Vec<_> = self.rounds.iter().filter(|(_, r)| r.wake <= now).map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.advance(now, id, None, &mut out));
        out
    }

    fn advance(&mut self, now: Nanos, id: u64, answer: Option<(&str, &Message)>, out: &mut RoundOutput) {
        let Some(running) = self.rounds.get_mut(&id) else { return };
        let step = running.state.advance(now, answer);
        running.wake = step.wake.unwrap_or(now + 20 * MS);
        out.send.extend(step.send.into_iter().map(|(to, message)| (id, to, message)));
        let newer = running.state.members();
        if self.members.as_ref().is_none_or(|known| known.epoch < newer.epoch) {
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
                    log::info!("voters are now: {}", members.voters.join(" "));
                    self.adopt(&members);
                }
                other => log::warn!("change of voters failed: {other:?}"),
            }
        } else if let Some(outcome) = step.outcome
            && let Some(running) = self.rounds.remove(&id)
        {
            let purpose = running.purpose;
            let outcome = match outcome {
                Outcome::Indeterminate(why) => {
                    if matches!(purpose, RoundPurpose::PutConfig(_) | RoundPurpose::ReadConfig(_)) {
                        log::info!("an operator's call reached no majority: {why:?}");
                    }
                    Err(CallError::NoMajority)
                }
                outcome => Ok(outcome),
            };
            out.finished.push(FinishedRound { purpose, outcome });
        }
    }
}
