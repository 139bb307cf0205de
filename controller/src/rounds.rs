//! Rounds of the register, and what each is for. Invariants: what was begun ends once, at its time at the latest; no more than
//! [`MOST`] are under way.

use std::collections::BTreeMap;

use millpost_quorum::{
    Address, Ballots, Key, Members, MembershipChange, MembershipOutcome, Message, Operation, Outcome, Output,
    Round, VoterChange,
};

use crate::contact::Confirm;
use crate::errors::Kind;
use crate::{MS, Nanos};

/// A round of the register ends by then, so that who asked can move on within a second.
const ROUND: Nanos = 800 * MS;
/// All rounds of a change of voters.
const MOVE: Nanos = 6_000 * MS;
/// Rounds at once.
pub const MOST: usize = 200;

/// What a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum For {
    /// An operator put this, by the call of this number.
    Replace(u64),
    /// An operator reads.
    Read(u64),
    /// To know the configuration oneself.
    Learn,
    /// To know that what is known is what a majority stands behind.
    Confirm(Confirm),
    /// Who was the last leader.
    Last,
    /// To become the leader: the fence that stands.
    Fence,
    /// To become the leader: this fence is mine.
    Leadership(u64),
    /// The voters change.
    Voters,
    /// The record of moves is read or written, for the carter's question of this number.
    Moves(u64),
    /// A move's configuration of this number is put.
    Load(u64),
    /// This machine is about to end: what it holds under this key is to stand without it.
    HandOver(Key),
}

/// A round that is over. One that changed voters is not told of: see [`Rounds::members`].
#[derive(Debug)]
pub struct Ended {
    /// What it was for.
    pub to: For,
    /// How it ended.
    pub outcome: Result<Outcome, Kind>,
}

/// What to do.
#[derive(Debug, Default)]
pub struct Out {
    /// Messages to voters, each of the round of this number.
    pub send: Vec<(u64, Address, Message)>,
    /// What is over.
    pub ended: Vec<Ended>,
}

enum Machine {
    Round(Box<Round>),
    MembershipChange(Box<MembershipChange>),
}

impl Machine {
    fn on(&mut self, now: Nanos, answer: Option<(&str, &Message)>) -> Output {
        match (self, answer) {
            (Machine::Round(round), Some((from, message))) => round.on_reply(now, from, message),
            (Machine::Round(round), None) => round.on_tick(now),
            (Machine::MembershipChange(moving), Some((from, message))) => moving.on_reply(now, from, message),
            (Machine::MembershipChange(moving), None) => moving.on_tick(now),
        }
    }

    fn members(&self) -> &Members {
        match self {
            Machine::Round(round) => round.members(),
            Machine::MembershipChange(moving) => moving.members(),
        }
    }
}

struct Running {
    machine: Machine,
    to: For,
    wake: Nanos,
}

/// All rounds of a machine, and the newest members it knows.
pub struct Rounds {
    ballots: Ballots,
    /// Chance differs from machine to machine, also where all start in one moment.
    seed: u64,
    members: Option<Members>,
    rounds: BTreeMap<u64, Running>,
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
    pub fn at_work_for(&self, to: For) -> bool {
        self.rounds.values().any(|r| r.to == to)
    }

    /// How many are under way.
    pub fn under_way(&self) -> usize {
        self.rounds.len()
    }

    /// When to call [`Rounds::tick`] next.
    pub fn next_wake(&self) -> Nanos {
        self.rounds.values().map(|r| r.wake).min().unwrap_or(Nanos::MAX)
    }

    /// Begins a round.
    pub fn round(&mut self, now: Nanos, kind: Operation, key: Key, to: For) -> Out {
        self.start(now, to, |members, ballots, seed| {
            Machine::Round(Box::new(Round::new(kind, key, members, ballots, seed, now + ROUND)))
        })
    }

    /// Begins a round whose majorities are made up without this voter.
    pub fn round_without(
        &mut self,
        now: Nanos,
        kind: Operation,
        key: Key,
        to: For,
        without: &Address,
    ) -> Out {
        self.start(now, to, |members, ballots, seed| {
            let round = Round::new(kind, key, members, ballots, seed, now + ROUND);
            Machine::Round(Box::new(round.excluding(without.clone())))
        })
    }

    /// Begins a change of the voters, or ends one that somebody began.
    pub fn change(&mut self, now: Nanos, change: Option<VoterChange>) -> Out {
        self.start(now, For::Voters, |members, ballots, seed| {
            Machine::MembershipChange(Box::new(MembershipChange::new(
                change,
                members,
                ballots,
                seed,
                ROUND,
                now + MOVE,
                now,
            )))
        })
    }

    fn start(&mut self, now: Nanos, to: For, machine: impl FnOnce(Members, &Ballots, u64) -> Machine) -> Out {
        let refused = |kind| Out { send: Vec::new(), ended: vec![Ended { to, outcome: Err(kind) }] };
        let Some(members) = self.members.clone() else { return refused(Kind::NoMajority) };
        if self.rounds.len() >= MOST {
            return refused(Kind::Busy);
        }
        self.next += 1;
        let machine = machine(members, &self.ballots, self.seed ^ self.next.rotate_left(32));
        self.rounds.insert(self.next, Running { machine, to, wake: now });
        let mut out = Out::default();
        self.drive(now, self.next, None, &mut out);
        out
    }

    /// A voter's answer to the round of this number.
    pub fn on_answer(&mut self, now: Nanos, id: u64, from: &str, message: &Message) -> Out {
        let mut out = Out::default();
        self.drive(now, id, Some((from, message)), &mut out);
        out
    }

    /// Time passes.
    pub fn tick(&mut self, now: Nanos) -> Out {
        let mut out = Out::default();
        let due: Vec<_> = self.rounds.iter().filter(|(_, r)| r.wake <= now).map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.drive(now, id, None, &mut out));
        out
    }

    fn drive(&mut self, now: Nanos, id: u64, answer: Option<(&str, &Message)>, out: &mut Out) {
        let Some(running) = self.rounds.get_mut(&id) else { return };
        let said = running.machine.on(now, answer);
        running.wake = said.wake.unwrap_or(now + 20 * MS);
        out.send.extend(said.send.into_iter().map(|(to, message)| (id, to, message)));
        let newer = running.machine.members();
        if self.members.as_ref().is_none_or(|mine| mine.epoch < newer.epoch) {
            self.members = Some(newer.clone());
        }
        let moved = match &running.machine {
            Machine::MembershipChange(moving) => moving.outcome().cloned(),
            Machine::Round(_) => None,
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
        } else if let Some(outcome) = said.outcome
            && let Some(running) = self.rounds.remove(&id)
        {
            let to = running.to;
            let outcome = match outcome {
                Outcome::Indeterminate(why) => {
                    if matches!(to, For::Replace(_) | For::Read(_)) {
                        log::info!("an operator's call found no majority: {why:?}");
                    }
                    Err(Kind::NoMajority)
                }
                outcome => Ok(outcome),
            };
            out.ended.push(Ended { to, outcome });
        }
    }
}
