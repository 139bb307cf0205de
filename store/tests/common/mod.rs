//! What the tests share: a plain model of the ledger, and a scripted life of one.
#![allow(dead_code)]

use std::collections::BTreeMap;

use bytes::Bytes;
use millpost_store::ledger::{AcceptedMessage, Answer, FinalOutcome, History, Opened};
use millpost_store::memory::{Files, Memory};
use millpost_store::{Durability, Error, Ledger, Options};

pub const NOW: u64 = 1_800_000_000_000_000_000;
pub const LATER: u64 = NOW + 1_000_000_000_000;

/// A small generator: the same numbers for the same seed everywhere.
pub struct Lot(pub u64);

impl Lot {
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

/// One thing that a dispatcher tells its ledger.
#[derive(Clone, Debug)]
pub enum Step {
    Take(AcceptedMessage),
    Begin(u64),
    Outcome(u64, bool),
    Answer(u64, Answer),
    End(u64, Option<(String, FinalOutcome)>),
}

impl Step {
    pub fn carry_out(&self, ledger: &mut Ledger<Memory>) -> Result<u64, Error> {
        match self {
            Step::Take(taken) => ledger.accept(NOW, taken).map(|(_, seq)| seq),
            Step::Begin(id) => ledger.begin_attempt(*id, NOW + 1, 2),
            Step::Outcome(id, never_ran) => ledger.end_attempt(*id, *never_ran),
            Step::Answer(id, answer) => ledger.record_answer(*id, *answer),
            Step::End(id, end) => ledger.finish(*id, end.as_ref().map(|(r, f)| (&r[..], *f, LATER))),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub taken: AcceptedMessage,
    pub history: History,
}

/// What a ledger should hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    pub owed: BTreeMap<u64, Message>,
    pub answers: BTreeMap<String, FinalOutcome>,
    pub next: u64,
}

impl Model {
    pub fn new() -> Self {
        Model { next: 1, ..Model::default() }
    }

    pub fn step(&mut self, step: &Step) {
        let history = |owed: &mut BTreeMap<u64, Message>, id: u64, change: &dyn Fn(&mut History)| {
            if let Some(message) = owed.get_mut(&id) {
                change(&mut message.history);
            }
        };
        match step {
            Step::Take(taken) => {
                self.owed.insert(self.next, Message { taken: taken.clone(), history: History::default() });
                self.next += 1;
            }
            Step::Begin(id) => history(&mut self.owed, *id, &|h| {
                if h.attempts == 0 {
                    h.first_sent = NOW + 1;
                }
                h.attempts += 1;
                h.in_flight = Some((NOW + 1, 2));
            }),
            Step::Outcome(id, never_ran) => history(&mut self.owed, *id, &|h| {
                let out = h.in_flight.take();
                if !never_ran {
                    h.may_have_run = h.may_have_run.or(out);
                }
            }),
            Step::Answer(id, answer) => {
                history(&mut self.owed, *id, &|h| h.answer = Some(*answer));
                if let Some(message) = self.owed.get_mut(id) {
                    message.taken.body = Bytes::new();
                }
            }
            Step::End(id, end) => {
                if self.owed.remove(id).is_some()
                    && let Some((reference, end)) = end
                {
                    self.answers.insert(reference.clone(), *end);
                }
            }
        }
    }

    /// A next step that makes sense, drawn by lot; holds about `hold` messages.
    pub fn draw(&self, lot: &mut Lot, hold: usize, body: u64) -> Step {
        let ids: Vec<u64> = self.owed.keys().copied().collect();
        if ids.is_empty() || (ids.len() < hold && lot.below(4) == 0) {
            return Step::Take(message(self.next, lot.below(body) as usize));
        }
        // The old ones live on for long now and then, so that compaction has something to move.
        let id = ids[(lot.below(ids.len() as u64)) as usize];
        let message = &self.owed[&id];
        let reference = message.taken.reference.clone();
        match (message.history.answer, message.history.in_flight) {
            (Some(answer), _) => Step::End(id, Some((reference, FinalOutcome::Answered(answer)))),
            (None, Some(_)) => match lot.below(3) {
                0 => Step::Outcome(id, true),
                1 => Step::Outcome(id, false),
                _ => Step::End(id, Some((reference, FinalOutcome::Delivered))),
            },
            (None, None) => match lot.below(6) {
                0 => Step::Answer(id, Answer::Failed),
                1 => Step::Answer(id, Answer::Refused { wait_ms: lot.below(1000) }),
                2 => Step::End(id, None),
                _ => Step::Begin(id),
            },
        }
    }

    /// What differs between this and a ledger just opened.
    pub fn differs(&self, ledger: &Ledger<Memory>, opened: &Opened) -> Option<String> {
        if opened.messages.len() != self.owed.len() {
            return Some(format!("{} messages for {}", opened.messages.len(), self.owed.len()));
        }
        for (found, (id, message)) in opened.messages.iter().zip(&self.owed) {
            let same = found.id == *id
                && found.message == message.taken
                && found.history == message.history
                && !found.body_lost;
            if !same {
                return Some(format!("{found:?} for {id}: {message:?}"));
            }
        }
        if ledger.answers() != self.answers.len() {
            return Some(format!("{} answers for {}", ledger.answers(), self.answers.len()));
        }
        let wrong =
            self.answers.iter().find(|(reference, end)| ledger.final_outcome(reference) != Some(**end));
        wrong
            .map(|(reference, end)| format!("{reference}: {:?} for {end:?}", ledger.final_outcome(reference)))
    }
}

pub fn open(files: Files, limit: u64, durability: Durability) -> (Ledger<Memory>, Opened) {
    Ledger::open(Memory::with(files), options(limit, durability), NOW, 77, None).expect("opens")
}
