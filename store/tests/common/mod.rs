//! Shared by the tests: a reference model of the ledger, and random sequences of operations on one.
#![allow(dead_code)]

use std::collections::BTreeMap;

use bytes::Bytes;
use millpost_store::ledger::{AcceptedMessage, Answer, FinalOutcome, History, Opened};
use millpost_store::memory::{Files, Memory};
use millpost_store::{Durability, Error, Ledger, Options};

pub const NOW: u64 = 1_800_000_000_000_000_000;
pub const LATER: u64 = NOW + 1_000_000_000_000;

/// A small random number generator (SplitMix64) that yields the same numbers on every platform.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}

pub fn options(limit: u64, durability: Durability) -> Options {
    Options { limit, durability, checkpoints: true }
}

pub fn message(n: u64, body: usize) -> AcceptedMessage {
    AcceptedMessage {
        reference: format!("r{n}"),
        class: (n % 3) as u32,
        dest: n % 5,
        deadline: LATER,
        key: n.is_multiple_of(2).then(|| Bytes::from(format!("k{n}"))),
        order: n.is_multiple_of(3).then_some(n * 7),
        body: Bytes::from(vec![n as u8; body]),
    }
}

/// An operation on a ledger.
#[derive(Clone, Debug)]
pub enum Step {
    Accept(AcceptedMessage),
    BeginAttempt(u64),
    EndAttempt(u64, bool),
    RecordAnswer(u64, Answer),
    Finish(u64, Option<(String, FinalOutcome)>),
}

impl Step {
    pub fn apply(&self, ledger: &mut Ledger<Memory>) -> Result<u64, Error> {
        match self {
            Step::Accept(accepted) => ledger.accept(NOW, accepted).map(|(_, seq)| seq),
            Step::BeginAttempt(id) => ledger.begin_attempt(*id, NOW + 1, 2),
            Step::EndAttempt(id, never_ran) => ledger.end_attempt(*id, *never_ran),
            Step::RecordAnswer(id, answer) => ledger.record_answer(*id, *answer),
            Step::Finish(id, end) => ledger.finish(*id, end.as_ref().map(|(r, f)| (&r[..], *f, LATER))),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct ModelMessage {
    pub accepted: AcceptedMessage,
    pub history: History,
}

/// Reference model of a ledger's content.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    pub pending: BTreeMap<u64, ModelMessage>,
    pub answers: BTreeMap<String, FinalOutcome>,
    pub next: u64,
}

impl Model {
    pub fn new() -> Self {
        Model { next: 1, ..Model::default() }
    }

    pub fn step(&mut self, step: &Step) {
        let history = |pending: &mut BTreeMap<u64, ModelMessage>, id: u64, change: &dyn Fn(&mut History)| {
            if let Some(message) = pending.get_mut(&id) {
                change(&mut message.history);
            }
        };
        match step {
            Step::Accept(accepted) => {
                self.pending.insert(
                    self.next,
                    ModelMessage { accepted: accepted.clone(), history: History::default() },
                );
                self.next += 1;
            }
            Step::BeginAttempt(id) => history(&mut self.pending, *id, &|h| {
                if h.attempts == 0 {
                    h.first_sent = NOW + 1;
                }
                h.attempts += 1;
                h.in_flight = Some((NOW + 1, 2));
            }),
            Step::EndAttempt(id, never_ran) => history(&mut self.pending, *id, &|h| {
                let out = h.in_flight.take();
                if !never_ran {
                    h.may_have_run = h.may_have_run.or(out);
                }
            }),
            Step::RecordAnswer(id, answer) => {
                history(&mut self.pending, *id, &|h| h.answer = Some(*answer));
                if let Some(message) = self.pending.get_mut(id) {
                    message.accepted.body = Bytes::new();
                }
            }
            Step::Finish(id, end) => {
                if self.pending.remove(id).is_some()
                    && let Some((reference, end)) = end
                {
                    self.answers.insert(reference.clone(), *end);
                }
            }
        }
    }

    /// Draws a valid next operation. Keeps about `max_pending` messages pending, with bodies shorter than
    /// `body`.
    pub fn random_step(&self, rng: &mut Rng, max_pending: usize, body: u64) -> Step {
        let ids: Vec<u64> = self.pending.keys().copied().collect();
        if ids.is_empty() || (ids.len() < max_pending && rng.below(4) == 0) {
            return Step::Accept(message(self.next, rng.below(body) as usize));
        }
        // Any message may be drawn, so that some stay pending for long and compaction has records to move.
        let id = ids[(rng.below(ids.len() as u64)) as usize];
        let message = &self.pending[&id];
        let reference = message.accepted.reference.clone();
        match (message.history.answer, message.history.in_flight) {
            (Some(answer), _) => Step::Finish(id, Some((reference, FinalOutcome::Answered(answer)))),
            (None, Some(_)) => match rng.below(3) {
                0 => Step::EndAttempt(id, true),
                1 => Step::EndAttempt(id, false),
                _ => Step::Finish(id, Some((reference, FinalOutcome::Delivered))),
            },
            (None, None) => match rng.below(6) {
                0 => Step::RecordAnswer(id, Answer::Failed),
                1 => Step::RecordAnswer(id, Answer::Refused { wait_ms: rng.below(1000) }),
                2 => Step::Finish(id, None),
                _ => Step::BeginAttempt(id),
            },
        }
    }

    /// Describes the first difference from a ledger that was just opened; `None` if there is none.
    pub fn difference(&self, ledger: &Ledger<Memory>, opened: &Opened) -> Option<String> {
        if opened.messages.len() != self.pending.len() {
            return Some(format!("{} messages instead of {}", opened.messages.len(), self.pending.len()));
        }
        for (found, (id, message)) in opened.messages.iter().zip(&self.pending) {
            let same = found.id == *id
                && found.message == message.accepted
                && found.history == message.history
                && !found.body_lost;
            if !same {
                return Some(format!("{found:?} instead of {id}: {message:?}"));
            }
        }
        if ledger.answers() != self.answers.len() {
            return Some(format!("{} outcomes instead of {}", ledger.answers(), self.answers.len()));
        }
        let wrong =
            self.answers.iter().find(|(reference, end)| ledger.final_outcome(reference) != Some(**end));
        wrong.map(|(reference, end)| {
            format!("{reference}: {:?} instead of {end:?}", ledger.final_outcome(reference))
        })
    }
}

pub fn open(files: Files, limit: u64, durability: Durability) -> (Ledger<Memory>, Opened) {
    Ledger::open(Memory::with(files), options(limit, durability), NOW, 77, None).expect("opens")
}
