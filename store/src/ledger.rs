//! What a dispatcher must not forget, as tables of one store.
//!
//! Invariants kept here: a message is there from before its client hears that it is taken on until it is over,
//! and its end and its final answer are written in one batch; an attempt is there before its first byte is sent;
//! where something was damaged, an attempt that may have run never becomes one that did not.
//!
//! Times are wall-clock nanoseconds since 1970, handed in by the caller.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::folder::Folder;
use crate::format::{Batch, FRAME_HEADER_LEN, PUT_HEADER_LEN, Seq};
use crate::journal::OldJournal;
use crate::log::{Error, Options, Recovery, Stats, Store, SyncJob, SyncResult};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// Messages owed, without their bodies; by number.
pub const MESSAGES: u8 = 0;
/// Their bodies, on disk alone.
pub const BODIES: u8 = 1;
/// Their attempts.
pub const HISTORIES: u8 = 2;
/// Final answers given, by reference.
pub const ANSWERS: u8 = 3;
/// Endpoints as last listed, by name.
pub const ENDPOINTS: u8 = 4;
/// What was learnt of destinations and routes.
pub const LEARNED: u8 = 5;
/// Single values.
pub const META: u8 = 6;
/// Names of the tables, in their order.
pub const TABLES: [&str; 7] = ["messages", "bodies", "histories", "answers", "endpoints", "learnt", "meta"];
/// Whether a table's values are held in memory.
pub const IN_MEMORY: [bool; 7] = [true, false, true, true, true, true, true];

const NEXT_ID: &[u8] = b"next";
const LIST: &[u8] = b"list";
const MOVED: &[u8] = b"moved";
/// Differs with each process that became the owner.
const OWNER: &[u8] = b"owner";
/// Which life of the dispatcher this is.
const LIFE: &[u8] = b"life";
/// The classes that messages name by position.
const CLASSES: &[u8] = b"classes";
/// Begins the keys of what others than the ledger keep, under names of theirs.
const KEPT: &[u8] = b"kept/";
/// Begins the keys of endpoints that are out by hand.
const CORDON: &[u8] = b"cordon/";

/// Room that is kept for each message: its attempts, its answer, its end.
const PROMISED: u64 = 512;
/// The answers, the endpoints and what was learnt may each take this part of the limit.
const SIDE_TABLE: u64 = 8;
/// Changes that go into one frame at most, where there are many.
const AT_ONCE: usize = 64;

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AcceptedMessage {
    /// Its id at its client.
    pub reference: String,
    /// Position of its class.
    pub class: u32,
    /// Number of its destination.
    pub dest: u64,
    /// When its time is up.
    pub deadline: Nanos,
    /// Its idempotency key.
    pub key: Option<Bytes>,
    /// What it is about, where its class keeps an order.
    pub order: Option<u64>,
    /// What is to be delivered.
    pub body: Bytes,
}

/// What became of a message so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct History {
    /// Attempts begun.
    pub attempts: u32,
    /// When the first was; meaningless without any.
    pub first_sent: Nanos,
    /// Earliest attempt that may have run, with its zone.
    pub may_have_run: Option<(Nanos, u32)>,
    /// The attempt that has no outcome yet.
    #[serde(rename = "out")]
    pub in_flight: Option<(Nanos, u32)>,
    /// The final answer, once there is one: it is owed until its notice has been taken.
    pub answer: Option<Answer>,
}

/// A final answer that ends a message without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Given up, nothing promised.
    Failed,
    /// Trying again is harmless.
    Refused {
        /// How long the client should stay away, in milliseconds.
        wait_ms: u64,
    },
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FinalOutcome {
    /// It was delivered.
    Delivered,
    /// Its client was told this.
    Answered(Answer),
}

/// A message that was found at the start.
#[derive(Debug)]
pub struct RecoveredMessage {
    /// Its number.
    pub id: u64,
    /// The message; its body is empty where it was lost.
    pub message: AcceptedMessage,
    /// Its body can't be read any more: it can't be sent.
    pub body_lost: bool,
    /// When it was taken on.
    pub at: Nanos,
    /// Its attempts.
    pub history: History,
}

/// An endpoint as it was last listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its name in the list.
    pub name: String,
    /// The number that this dispatcher has given it.
    pub id: u64,
    /// Where it listens.
    pub address: String,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Its destination.
    pub dest: u64,
    /// It takes new work.
    pub in_service: bool,
    /// Its weight, where the list gave one.
    pub weight: Option<f64>,
}

/// What was found at the start.
#[derive(Debug, Default)]
pub struct Opened {
    /// Messages still owed their end, by number.
    pub messages: Vec<RecoveredMessage>,
    /// How the log was found.
    pub recovery: Recovery,
    /// Messages that an old journal held and that the store has now.
    pub migrated: usize,
    /// Highest time in any record: the clock was there once, whatever it says now.
    pub latest_time: Nanos,
}

struct Kept {
    at: Nanos,
    history: History,
    told: bool,
}

/// The tables; see the module.
pub struct Ledger<F: Folder> {
    store: Store<F>,
    kept: BTreeMap<u64, Kept>,
    next: u64,
    /// Answers by the time until which they are kept.
    ends: BTreeSet<(Nanos, Box<str>)>,
    /// Ends that could not be written yet.
    unwritten: BTreeMap<u64, Option<(Box<str>, FinalOutcome, Nanos)>>,
}

impl History {
    /// An attempt begins.
    pub fn begin_attempt(&mut self, at: Nanos, zone: u32) {
        if self.attempts == 0 {
            self.first_sent = at;
        }
        self.attempts += 1;
        self.in_flight = Some((at, zone));
    }
    /// The attempt that was out is over.
    pub fn end_attempt(&mut self, never_ran: bool) {
        let out = self.in_flight.take();
        if !never_ran {
            self.may_have_run = self.may_have_run.or(out);
        }
    }
    /// What is known of its attempts may not be all: one may have run as soon as it was taken on.
    pub(crate) fn doubt(&mut self, taken: Nanos) {
        self.attempts = self.attempts.max(1);
        self.first_sent = taken;
        self.may_have_run = Some((taken, 0));
    }
}

/// Puts a value together.
#[derive(Default)]
struct Writer(Vec<u8>);

impl Writer {
    fn u32(mut self, n: u32) -> Self {
        self.0.extend_from_slice(&n.to_le_bytes());
        self
    }
    fn u64(mut self, n: u64) -> Self {
        self.0.extend_from_slice(&n.to_le_bytes());
        self
    }
    fn bytes(self, bytes: &[u8]) -> Self {
        let mut this = self.u32(bytes.len() as u32);
        this.0.extend_from_slice(bytes);
        this
    }
    fn u8(mut self, n: u8) -> Self {
        self.0.push(n);
        self
    }
    fn pair(self, pair: Option<(Nanos, u32)>) -> Self {
        match pair {
            Some((at, zone)) => self.u8(1).u64(at).u32(zone),
            None => self.u8(0),
        }
    }
    fn answer(self, answer: Option<Answer>) -> Self {
        match answer {
            None => self.u8(0),
            Some(Answer::Failed) => self.u8(1),
            Some(Answer::Refused { wait_ms }) => self.u8(2).u64(wait_ms),
        }
    }
}

/// Reads the parts of a value; `None` past its end.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (part, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(part)
    }
    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }
    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = self.u32()?;
        self.take(n as usize)
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }
    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn pair(&mut self) -> Option<Option<(Nanos, u32)>> {
        match self.u8()? {
            0 => Some(None),
            1 => Some(Some((self.u64()?, self.u32()?))),
            _ => None,
        }
    }
    fn answer(&mut self) -> Option<Option<Answer>> {
        match self.u8()? {
            0 => Some(None),
            1 => Some(Some(Answer::Failed)),
            2 => Some(Some(Answer::Refused { wait_ms: self.u64()? })),
            _ => None,
        }
    }
}

fn message_value(at: Nanos, taken: &AcceptedMessage) -> Vec<u8> {
    let value = Writer::default().u32(taken.class).u64(taken.dest).u64(at).u64(taken.deadline);
    let value = value.bytes(taken.reference.as_bytes()).u32(u32::from(taken.key.is_some()));
    let value = value.bytes(taken.key.as_deref().unwrap_or_default());
    // Only where there is one: what an earlier version wrote ends here.
    taken.order.map_or(value.0.clone(), |order| value.u64(order).0)
}

/// The message without its body, and when it was taken on.
pub fn read_message(value: &[u8]) -> Option<(AcceptedMessage, Nanos)> {
    let mut value = Reader(value);
    let (class, dest, at, deadline) = (value.u32()?, value.u64()?, value.u64()?, value.u64()?);
    let (reference, has_key) = (value.text()?, value.u32()? > 0);
    let key = Some(Bytes::copy_from_slice(value.bytes()?)).filter(|_| has_key);
    let order = if value.0.is_empty() { None } else { Some(value.u64()?) };
    Some((AcceptedMessage { reference, class, dest, deadline, key, order, body: Bytes::new() }, at))
}

fn history_value(history: &History) -> Vec<u8> {
    let value = Writer::default().u32(history.attempts).u64(history.first_sent);
    value.pair(history.may_have_run).pair(history.in_flight).answer(history.answer).0
}

/// What became of a message.
pub fn read_history(value: &[u8]) -> Option<History> {
    let mut value = Reader(value);
    Some(History {
        attempts: value.u32()?,
        first_sent: value.u64()?,
        may_have_run: value.pair()?,
        in_flight: value.pair()?,
        answer: value.answer()?,
    })
}

fn final_value(end: FinalOutcome, until: Nanos) -> Vec<u8> {
    let answer = match end {
        FinalOutcome::Delivered => None,
        FinalOutcome::Answered(answer) => Some(answer),
    };
    Writer::default().u64(until).answer(answer).0
}

/// A final answer, and until when it is kept.
pub fn read_final_outcome(value: &[u8]) -> Option<(FinalOutcome, Nanos)> {
    let mut value = Reader(value);
    let until = value.u64()?;
    Some((value.answer()?.map_or(FinalOutcome::Delivered, FinalOutcome::Answered), until))
}

fn listed_value(e: &ListedEndpoint) -> Vec<u8> {
    let value = Writer::default().u64(e.id).u64(e.dest).u32(u32::from(e.in_service));
    let value = value.u32(u32::from(e.weight.is_some())).u64(e.weight.unwrap_or(0.0).to_bits());
    value.bytes(e.address.as_bytes()).bytes(e.zone.as_bytes()).bytes(e.kind.as_bytes()).0
}

/// An endpoint by its name.
pub fn read_endpoint(name: &[u8], value: &[u8]) -> Option<ListedEndpoint> {
    let mut value = Reader(value);
    let (id, dest, in_service) = (value.u64()?, value.u64()?, value.u32()? > 0);
    let (weighed, weight) = (value.u32()? > 0, f64::from_bits(value.u64()?));
    Some(ListedEndpoint {
        name: String::from_utf8(name.to_vec()).ok()?,
        id,
        address: value.text()?,
        zone: value.text()?,
        kind: value.text()?,
        dest,
        in_service,
        weight: weighed.then_some(weight),
    })
}

/// Destination, and route where it has several of its own, of a key of [`LEARNT`].
pub fn read_learned_key(key: &[u8]) -> Option<(u64, Option<u64>)> {
    let half = |at: usize| Some(u64::from_be_bytes(key.get(at..at + 8)?.try_into().ok()?));
    Some((half(0)?, half(8)))
}

fn learnt_key(dest: u64, route: Option<u64>) -> Vec<u8> {
    let mut key = dest.to_be_bytes().to_vec();
    key.extend(route.iter().flat_map(|route| route.to_be_bytes()));
    key
}

impl<F: Folder> Ledger<F> {
    /// Opens the tables in a folder and tells what is owed. `old` is an old journal, where there is one: the store
    /// takes over what it holds, once. `fresh_id` marks a store that is made anew.
    ///
    /// # Errors
    /// As for [`Store::open`], and [`Error::Full`] where an old journal does not fit.
    pub fn open(
        folder: F,
        options: Options,
        now: Nanos,
        fresh_id: u64,
        old: Option<OldJournal>,
    ) -> Result<(Self, Opened), Error> {
        let (store, recovery) = Store::open(folder, &IN_MEMORY, fresh_id, options)?;
        let mut ledger = Ledger {
            store,
            kept: BTreeMap::new(),
            next: 1,
            ends: BTreeSet::new(),
            unwritten: BTreeMap::new(),
        };
        let mut opened = Opened { recovery, ..Opened::default() };
        if let Some(old) = old
            && !ledger.store.contains(META, MOVED)
        {
            opened.migrated = ledger.move_in(old)?;
        }
        ledger.recover(now, &mut opened);
        Ok((ledger, opened))
    }

    /// Takes an old journal over. An end in the middle is repeated at the next start: only the last record says
    /// that all of it is there.
    fn move_in(&mut self, old: OldJournal) -> Result<usize, Error> {
        let stale: Vec<Vec<u8>> = self.store.keys(MESSAGES, &[]).map(|(key, ..)| key.to_vec()).collect();
        for key in stale {
            self.store
                .apply(Batch::new().delete(MESSAGES, &key).delete(BODIES, &key).delete(HISTORIES, &key))?;
        }
        for (id, owed) in &old.pending {
            let key = id.to_be_bytes();
            let mut batch = Batch::new();
            batch.put(MESSAGES, &key, &message_value(owed.at, &owed.message));
            batch.put(BODIES, &key, &owed.message.body);
            if owed.history != History::default() {
                batch.put(HISTORIES, &key, &history_value(&owed.history));
            }
            self.store.apply_reserved(&batch)?;
        }
        let mut batch = Batch::new();
        batch.put(META, NEXT_ID, &old.next_id.to_le_bytes()).put(META, MOVED, &[]);
        self.store.apply_reserved(&batch)?;
        self.store.sync()?;
        Ok(old.pending.len())
    }

    fn recover(&mut self, now: Nanos, opened: &mut Opened) {
        let doubt = opened.recovery.uncertain_before;
        let mut doubtful = Vec::new();
        let mut orphans = Vec::new();
        let mut latest = 0;
        for (key, seq, value) in self.store.keys(MESSAGES, &[]) {
            let id = key.try_into().map(u64::from_be_bytes);
            let read = value.and_then(|value| read_message(value));
            let (Ok(id), Some((mut taken, at))) = (id, read) else {
                orphans.push((MESSAGES, key.to_vec()));
                continue;
            };
            let (mut history, mut last_told) = (History::default(), seq);
            if let Some((_, seq, Some(value))) =
                self.store.keys(HISTORIES, key).next().filter(|(k, ..)| *k == key)
            {
                last_told = last_told.max(seq);
                history = read_history(value).unwrap_or_default();
            }
            if last_told < doubt {
                history.doubt(at);
                doubtful.push((key.to_vec(), history));
            }
            let times = [history.may_have_run, history.in_flight].into_iter().flatten().map(|(at, _)| at);
            latest = times.chain([at]).fold(latest, u64::max);
            let body = if history.answer.is_some() { Ok(None) } else { self.store.get(BODIES, key) };
            // An empty one is there too; a message without any lost it.
            let body_lost = !matches!(body, Ok(Some(_))) && history.answer.is_none();
            taken.body = body.ok().flatten().unwrap_or_default();
            self.next = self.next.max(id.saturating_add(1));
            opened.messages.push(RecoveredMessage { id, message: taken, body_lost, at, history });
        }
        for table in [BODIES, HISTORIES] {
            let without = self.store.keys(table, &[]).filter(|(key, ..)| !self.store.contains(MESSAGES, key));
            orphans.extend(without.map(|(key, ..)| (table, key.to_vec())));
        }
        let next = self.store.get(META, NEXT_ID).ok().flatten();
        let next = next.and_then(|v| v.as_ref().try_into().ok().map(u64::from_le_bytes));
        self.next = self.next.max(next.unwrap_or(1));
        for RecoveredMessage { id, at, history, .. } in &opened.messages {
            let told = *history != History::default();
            self.kept.insert(*id, Kept { at: *at, history: *history, told });
        }
        let mut past = Vec::new();
        for (key, _, value) in self.store.keys(ANSWERS, &[]) {
            let until = value.and_then(|v| read_final_outcome(v)).map_or(0, |(_, until)| until);
            match std::str::from_utf8(key) {
                Ok(reference) if until > now => {
                    self.ends.insert((until, reference.into()));
                }
                _ => past.push(key.to_vec()),
            }
        }
        for (_, _, value) in self.store.keys(LEARNED, &[]) {
            let at = value.and_then(|v| Reader(v).u64()).unwrap_or(0);
            latest = latest.max(at);
        }
        opened.latest_time = latest;
        past.iter().for_each(|key| {
            self.store.forget(ANSWERS, key);
        });
        // Written down, so that a later start without a trace of the damage is as careful. Where that fails the
        // damage is still there to be found.
        for some in doubtful.chunks(AT_ONCE) {
            let mut batch = Batch::new();
            for (key, history) in some {
                batch.put(HISTORIES, key, &history_value(history));
            }
            let _ = self.store.apply(&batch);
        }
        for some in orphans.chunks(AT_ONCE) {
            let mut batch = Batch::new();
            for (table, key) in some {
                batch.delete(*table, key);
            }
            let _ = self.store.apply(&batch);
        }
        if doubt > 0 {
            // The list may lack its last change, a drain perhaps: safer without. Lessons stay: an old wait, or a
            // cold return of before, makes nothing less careful.
            let _ = self.drop_all(ENDPOINTS);
        }
    }

    fn drop_all(&mut self, table: u8) -> Result<(), Error> {
        let keys: Vec<Vec<u8>> = self.store.keys(table, &[]).map(|(key, ..)| key.to_vec()).collect();
        for some in keys.chunks(AT_ONCE) {
            let mut batch = Batch::new();
            some.iter().for_each(|key| {
                batch.delete(table, key);
            });
            self.store.apply(&batch)?;
        }
        if table == ENDPOINTS && self.store.contains(META, LIST) {
            self.store.apply(Batch::new().delete(META, LIST))?;
        }
        Ok(())
    }

    fn promised(&self, more: usize) -> u64 {
        PROMISED * (self.kept.len() + more) as u64
    }

    /// Takes a message on and numbers it: once the frame of that number lasts, the message is owed its end.
    ///
    /// # Errors
    /// [`Error::Full`] where it would take room that is promised already; else as for [`Store::apply`].
    pub fn accept(&mut self, now: Nanos, taken: &AcceptedMessage) -> Result<(u64, Seq), Error> {
        let id = self.next;
        self.accept_as(id, now, taken).map(|seq| (id, seq))
    }

    /// The number of the next message.
    pub fn next_id(&self) -> u64 {
        self.next
    }

    /// As [`Self::accept`], under a number of the caller's: [`Self::next_id`] or any later one.
    ///
    /// # Errors
    /// As there.
    pub fn accept_as(&mut self, id: u64, now: Nanos, taken: &AcceptedMessage) -> Result<Seq, Error> {
        let key = id.to_be_bytes();
        let mut batch = Batch::new();
        batch.put(MESSAGES, &key, &message_value(now, taken)).put(BODIES, &key, &taken.body);
        if !self.store.has_room(batch.bytes().len(), self.promised(1)) {
            return Err(Error::Full);
        }
        let seq = self.store.apply(&batch)?;
        self.next = self.next.max(id + 1);
        self.kept.insert(id, Kept { at: now, history: History::default(), told: false });
        Ok(seq)
    }

    fn tell(&mut self, id: u64, change: impl FnOnce(&mut History), drop_body: bool) -> Result<Seq, Error> {
        let Some(kept) = self.kept.get(&id) else { return Ok(0) };
        let (mut history, key) = (kept.history, id.to_be_bytes());
        change(&mut history);
        let mut batch = Batch::new();
        batch.put(HISTORIES, &key, &history_value(&history));
        if drop_body {
            batch.delete(BODIES, &key);
        }
        let seq = self.store.apply(&batch)?;
        self.kept.entry(id).and_modify(|kept| (kept.history, kept.told) = (history, true));
        Ok(seq)
    }

    /// An attempt is about to begin. Nothing of it may be sent before this frame lasts.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn begin_attempt(&mut self, id: u64, now: Nanos, zone: u32) -> Result<Seq, Error> {
        self.tell(id, |history| history.begin_attempt(now, zone), false)
    }

    /// The attempt that was out is over, without delivery.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn end_attempt(&mut self, id: u64, never_ran: bool) -> Result<Seq, Error> {
        self.tell(id, |history| history.end_attempt(never_ran), false)
    }

    /// The final answer is decided; its notice is owed. Its body is of no use any more.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn record_answer(&mut self, id: u64, answer: Answer) -> Result<Seq, Error> {
        self.tell(id, |history| history.answer = Some(answer), true)
    }

    /// The message is over, and nothing more is owed for it. With `end`, how it ended is kept under its reference
    /// until that time, should it come again.
    ///
    /// # Errors
    /// As for [`Store::apply`]; it is tried again with [`Self::maintain`] then, and until that has worked the message
    /// is still owed after a restart.
    pub fn finish(&mut self, id: u64, end: Option<(&str, FinalOutcome, Nanos)>) -> Result<Seq, Error> {
        let done = self.write_end(id, end);
        if done.is_err() {
            let end = end.map(|(reference, end, until)| (reference.into(), end, until));
            self.unwritten.insert(id, end);
        }
        done
    }

    fn write_end(&mut self, id: u64, end: Option<(&str, FinalOutcome, Nanos)>) -> Result<Seq, Error> {
        let Some(kept) = self.kept.get(&id) else { return Ok(0) };
        let key = id.to_be_bytes();
        let mut batch = Batch::new();
        batch.delete(MESSAGES, &key);
        if kept.history.answer.is_none() {
            batch.delete(BODIES, &key);
        }
        if kept.told {
            batch.delete(HISTORIES, &key);
        }
        if let Some((reference, end, until)) = end {
            batch.put(ANSWERS, reference.as_bytes(), &final_value(end, until));
        }
        // Numbers are not used twice, also where the highest one is over and gone.
        if id + 1 == self.next {
            batch.put(META, NEXT_ID, &self.next.to_le_bytes());
        }
        let seq = self.store.apply(&batch)?;
        self.kept.remove(&id);
        if let Some((reference, _, until)) = end {
            self.ends.insert((until, reference.into()));
            while self.store.live_bytes(ANSWERS) > self.store.limit() / SIDE_TABLE {
                let Some((_, reference)) = self.ends.pop_first() else { break };
                self.store.forget(ANSWERS, reference.as_bytes());
            }
        }
        Ok(seq)
    }

    /// How a message of this reference ended, where that is still kept.
    pub fn final_outcome(&self, reference: &str) -> Option<FinalOutcome> {
        let unwritten = self.unwritten.values().flatten().find(|(its, ..)| **its == *reference);
        if let Some((_, end, _)) = unwritten {
            return Some(*end);
        }
        let value = self.store.get(ANSWERS, reference.as_bytes()).ok()??;
        read_final_outcome(&value).map(|(end, _)| end)
    }

    /// Drops the final answers whose time is over, and compacts a little. For about once a second.
    pub fn maintain(&mut self, now: Nanos) {
        while let Some((id, end)) = self.unwritten.pop_first() {
            let end = end.as_ref().map(|(reference, end, until)| (&**reference, *end, *until));
            if self.finish(id, end).is_err() {
                break;
            }
        }
        while self.ends.first().is_some_and(|(until, _)| *until <= now) {
            let Some((until, reference)) = self.ends.pop_first() else { break };
            let kept = self.store.get(ANSWERS, reference.as_bytes()).ok().flatten();
            // Given once more since, under a later time.
            if kept.and_then(|v| read_final_outcome(&v)).is_some_and(|(_, its)| its <= until) {
                self.store.forget(ANSWERS, reference.as_bytes());
            }
        }
        self.store.maintain();
    }

    /// Notes what a list said: of these endpoints, that these names are gone, and whose version it is. What does
    /// not fit beside the messages is not kept, and no list at all then.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn record_endpoint_list(
        &mut self,
        source: &str,
        index: u64,
        now: &[ListedEndpoint],
        gone: &[String],
    ) -> Result<(), Error> {
        let weight =
            |e: &ListedEndpoint| FRAME_HEADER_LEN + PUT_HEADER_LEN + e.name.len() + listed_value(e).len();
        let changed: Vec<&ListedEndpoint> = now
            .iter()
            .filter(|e| {
                let there = self.store.get(ENDPOINTS, e.name.as_bytes()).ok().flatten();
                there.as_deref() != Some(&listed_value(e)[..])
            })
            .collect();
        let more: usize = changed.iter().map(|e| weight(e)).sum();
        let most = self.store.limit() / SIDE_TABLE;
        let fits = self.store.live_bytes(ENDPOINTS) + more as u64 <= most;
        if !(fits && self.store.has_room(more, self.promised(0))) {
            return self.drop_all(ENDPOINTS);
        }
        // In this order an end in the middle leaves the older version's number.
        for some in gone.chunks(AT_ONCE) {
            let mut batch = Batch::new();
            for name in some.iter().filter(|name| self.store.contains(ENDPOINTS, name.as_bytes())) {
                batch.delete(ENDPOINTS, name.as_bytes());
            }
            if !batch.is_empty() {
                self.store.apply(&batch)?;
            }
        }
        for some in changed.chunks(AT_ONCE) {
            let mut batch = Batch::new();
            for e in some {
                batch.put(ENDPOINTS, e.name.as_bytes(), &listed_value(e));
            }
            self.store.apply(&batch)?;
        }
        let version = Writer::default().u64(index).bytes(source.as_bytes()).0;
        if self.store.get(META, LIST)?.as_deref() != Some(&version[..]) {
            self.store.apply(Batch::new().put(META, LIST, &version))?;
        }
        Ok(())
    }

    /// The list as last noted: whose, its version, and its endpoints. `None` where there is none that can be
    /// trusted.
    pub fn endpoint_list(&self) -> Option<(String, u64, Vec<ListedEndpoint>)> {
        let version = self.store.get(META, LIST).ok()??;
        let mut version = Reader(&version);
        let (index, source) = (version.u64()?, version.text()?);
        let read = |(name, _, value): (&[u8], Seq, Option<&Bytes>)| read_endpoint(name, value?);
        let all: Option<Vec<ListedEndpoint>> = self.store.keys(ENDPOINTS, &[]).map(read).collect();
        Some((source, index, all?))
    }

    /// The mark of the owner, 0 where there is none.
    pub fn owner(&self) -> u64 {
        let mark = self.store.get(META, OWNER).ok().flatten();
        mark.and_then(|mark| mark.as_ref().try_into().ok().map(u64::from_le_bytes)).unwrap_or(0)
    }

    /// Marks a new owner: whoever gave the store up sees from it that it was taken.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn set_owner(&mut self, mark: u64) -> Result<(), Error> {
        self.store.apply(Batch::new().put(META, OWNER, &mark.to_le_bytes())).map(drop)
    }

    /// Which life of the dispatcher was last noted, 0 where none was.
    pub fn incarnation(&self) -> u32 {
        let noted = self.store.get(META, LIFE).ok().flatten();
        noted.and_then(|noted| noted.as_ref().try_into().ok().map(u32::from_le_bytes)).unwrap_or(0)
    }

    /// Notes which life of the dispatcher this is: the next one goes beyond.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn set_incarnation(&mut self, incarnation: u32) -> Result<(), Error> {
        self.store.apply(Batch::new().put(META, LIFE, &incarnation.to_le_bytes())).map(drop)
    }

    /// What was last [kept](Self::set_value) under a name.
    pub fn value(&self, name: &str) -> Option<Bytes> {
        self.store.get(META, &[KEPT, name.as_bytes()].concat()).ok().flatten()
    }

    /// Keeps a small value under a name, in place of the one before.
    ///
    /// # Errors
    /// [`Error::Full`] where there is no room beside what is promised; else as for [`Store::apply`].
    pub fn set_value(&mut self, name: &str, value: &[u8]) -> Result<(), Error> {
        let mut batch = Batch::new();
        batch.put(META, &[KEPT, name.as_bytes()].concat(), value);
        if !self.store.has_room(batch.bytes().len(), self.promised(0)) {
            return Err(Error::Full);
        }
        self.store.apply(&batch).map(drop)
    }

    /// The classes that messages are of, as [`Self::set_classes`] wrote them.
    pub fn classes(&self) -> Option<Bytes> {
        self.store.get(META, CLASSES).ok().flatten()
    }

    /// Notes the classes that messages are of, for whoever reads their positions after a restart.
    ///
    /// # Errors
    /// [`Error::Full`] where there is no room beside what is promised; else as for [`Store::apply`].
    pub fn set_classes(&mut self, classes: &[u8]) -> Result<(), Error> {
        if self.classes().as_deref() == Some(classes) {
            return Ok(());
        }
        let mut batch = Batch::new();
        batch.put(META, CLASSES, classes);
        if !self.store.has_room(batch.bytes().len(), self.promised(0)) {
            return Err(Error::Full);
        }
        self.store.apply(&batch).map(drop)
    }

    /// Notes that an endpoint is out by hand, or back.
    ///
    /// # Errors
    /// [`Error::Full`] where there is no room beside what is promised; else as for [`Store::apply`].
    pub fn set_cordon(&mut self, name: &str, out: bool) -> Result<Seq, Error> {
        let (key, mut batch) = ([CORDON, name.as_bytes()].concat(), Batch::new());
        if out {
            batch.put(META, &key, &[])
        } else {
            batch.delete(META, &key)
        };
        if out && !self.store.has_room(batch.bytes().len(), self.promised(0)) {
            return Err(Error::Full);
        }
        self.store.apply(&batch)
    }

    /// The endpoints that are out by hand.
    pub fn cordons(&self) -> Vec<String> {
        let all = self.store.keys(META, CORDON).map_while(|(key, ..)| key.strip_prefix(CORDON));
        all.map(|name| String::from_utf8_lossy(name).into_owned()).collect()
    }

    /// Notes what was learnt of destinations and routes by now; `None` in place of what is to be forgotten. What
    /// does not fit beside the messages is not kept.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn record_learned(
        &mut self,
        now: Nanos,
        learnt: impl IntoIterator<Item = (u64, Option<u64>, Option<Vec<u8>>)>,
    ) -> Result<(), Error> {
        let mut batch = Batch::new();
        for (dest, route, bytes) in learnt {
            let key = learnt_key(dest, route);
            match bytes {
                Some(bytes) => {
                    let value = Writer::default().u64(now).bytes(&bytes).0;
                    batch.put(LEARNED, &key, &value);
                }
                None if self.store.contains(LEARNED, &key) => {
                    batch.delete(LEARNED, &key);
                }
                None => {}
            }
            if batch.bytes().len() > 16 * 1024 {
                self.write_lessons(&mut batch)?;
            }
        }
        self.write_lessons(&mut batch)
    }

    fn write_lessons(&mut self, batch: &mut Batch) -> Result<(), Error> {
        let batch = std::mem::take(batch);
        let size = batch.bytes().len();
        let most = self.store.limit() / SIDE_TABLE;
        if self.store.live_bytes(LEARNED) + size as u64 > most {
            // The older half goes: destinations that are gone, or that nobody writes to.
            let noted = |value: Option<&Bytes>| value.and_then(|v| Reader(v).u64()).unwrap_or(0);
            let mut all: Vec<(Nanos, Vec<u8>)> =
                self.store.keys(LEARNED, &[]).map(|(key, _, value)| (noted(value), key.to_vec())).collect();
            all.sort_unstable();
            all.truncate(all.len().div_ceil(2));
            for some in all.chunks(AT_ONCE) {
                let mut batch = Batch::new();
                some.iter().for_each(|(_, key)| {
                    batch.delete(LEARNED, key);
                });
                self.store.apply(&batch)?;
            }
        }
        let fits = self.store.live_bytes(LEARNED) + size as u64 <= most;
        if !batch.is_empty() && fits && self.store.has_room(size, self.promised(0)) {
            self.store.apply(&batch)?;
        }
        Ok(())
    }

    /// What was learnt: destination, route, when it was noted, and the bytes.
    pub fn learned(&self) -> Vec<(u64, Option<u64>, Nanos, Vec<u8>)> {
        let read = |(key, _, value): (&[u8], Seq, Option<&Bytes>)| {
            let (dest, route) = read_learned_key(key)?;
            let mut value = Reader(value?);
            Some((dest, route, value.u64()?, value.bytes()?.to_vec()))
        };
        self.store.keys(LEARNED, &[]).filter_map(read).collect()
    }

    /// What became of a message so far.
    pub fn history(&self, id: u64) -> Option<History> {
        self.kept.get(&id).map(|kept| kept.history)
    }

    /// When a message was taken on.
    pub fn accepted_at(&self, id: u64) -> Option<Nanos> {
        self.kept.get(&id).map(|kept| kept.at)
    }

    /// How many messages are owed their end.
    pub fn pending(&self) -> usize {
        self.kept.len()
    }

    /// How many final answers are kept.
    pub fn answers(&self) -> usize {
        self.store.len(ANSWERS)
    }

    /// Whether the frame of this number outlives what it is meant to; 0 stands for none.
    pub fn is_durable(&self, seq: Seq) -> bool {
        self.store.is_durable(seq)
    }

    /// See [`Store::sync_job`].
    ///
    /// # Errors
    /// As there.
    pub fn sync_job(&mut self) -> Result<Option<SyncJob>, Error> {
        self.store.sync_job()
    }

    /// See [`Store::finish_sync`].
    ///
    /// # Errors
    /// As there.
    pub fn finish_sync(&mut self, synced: SyncResult) -> Result<(), Error> {
        self.store.finish_sync(synced)
    }

    /// Figures of the store.
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// The store beneath.
    pub fn store(&self) -> &Store<F> {
        &self.store
    }

    /// The store beneath, for work on the whole of it.
    pub fn store_mut(&mut self) -> &mut Store<F> {
        &mut self.store
    }
}
