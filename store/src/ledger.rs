//! The persistent state of a dispatcher, as tables of one store.
//!
//! Invariants:
//!
//! - A message is stored before its client is told that it was accepted, and until it is finished. Its end
//!   and its final answer are written in one batch.
//! - An attempt is stored before its first byte is sent.
//! - After damage, an attempt that may have run is never reported as one that did not run.
//!
//! Times are wall-clock nanoseconds since 1970, passed in by the caller.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::folder::Folder;
use crate::format::{Batch, FRAME_HEADER_LEN, PUT_HEADER_LEN, Seq};
use crate::journal::OldJournal;
use crate::log::{Error, Options, Recovery, Stats, Store, SyncJob, SyncResult};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Table of pending messages without their bodies, by message number.
pub const MESSAGES: u8 = 0;
/// Table of message bodies, by message number; values are not kept in memory.
pub const BODIES: u8 = 1;
/// Table of delivery histories, by message number.
pub const HISTORIES: u8 = 2;
/// Table of final outcomes, by the message's reference.
pub const ANSWERS: u8 = 3;
/// Table of the endpoints in the last list, by name.
pub const ENDPOINTS: u8 = 4;
/// Table of learned values, by destination and route.
pub const LEARNED: u8 = 5;
/// Table of single values.
pub const META: u8 = 6;
/// Names of the tables, by table number.
pub const TABLES: [&str; 7] = ["messages", "bodies", "histories", "answers", "endpoints", "learnt", "meta"];
/// Whether a table's values are kept in memory, by table number.
pub const IN_MEMORY: [bool; 7] = [true, false, true, true, true, true, true];

const NEXT_ID: &[u8] = b"next";
const LIST_VERSION: &[u8] = b"list";
const JOURNAL_IMPORTED: &[u8] = b"moved";
/// A mark that differs for each process that became the owner.
const OWNER: &[u8] = b"owner";
/// Incarnation number of the dispatcher.
const INCARNATION: &[u8] = b"life";
/// The message classes, which messages refer to by position.
const CLASSES: &[u8] = b"classes";
/// Key prefix of the caller's named values.
const VALUE_PREFIX: &[u8] = b"kept/";
/// Key prefix of endpoints that an operator cordoned.
const CORDON_PREFIX: &[u8] = b"cordon/";

/// Bytes reserved for each pending message: its attempts, its answer and its end.
const RESERVED_PER_MESSAGE: u64 = 512;
/// The tables of answers, endpoints and learned values may each use the size limit divided by this.
const SIDE_TABLE_DIVISOR: u64 = 8;
/// Maximum number of changes in one batch when many records are written.
const MAX_CHANGES_PER_BATCH: usize = 64;

/// A message as it was accepted from a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AcceptedMessage {
    /// The client's identifier of the message.
    pub reference: String,
    /// Position of its class in the configured classes.
    pub class: u32,
    /// Identifier of its destination.
    pub dest: u64,
    /// Deadline for delivery.
    pub deadline: Nanos,
    /// Idempotency key, if any.
    pub key: Option<Bytes>,
    /// Ordering key, if its class preserves order.
    pub order: Option<u64>,
    /// The payload to deliver.
    pub body: Bytes,
}

/// Delivery history of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct History {
    /// Number of attempts started.
    pub attempts: u32,
    /// Start of the first attempt; meaningless if there was none.
    pub first_sent: Nanos,
    /// Start and zone of the earliest attempt that may have run.
    pub may_have_run: Option<(Nanos, u32)>,
    /// Start and zone of the attempt that has no outcome yet.
    #[serde(rename = "out")]
    pub in_flight: Option<(Nanos, u32)>,
    /// The final answer, once decided. The client must be notified of it until it acknowledges the notice.
    pub answer: Option<Answer>,
}

/// A final answer that finishes a message without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Delivery was abandoned, without a guarantee that no attempt ran.
    Failed,
    /// Refused without having run; the client may safely retry.
    Refused {
        /// How long the client should wait before it retries, in milliseconds.
        wait_ms: u64,
    },
}

/// Final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FinalOutcome {
    /// It was delivered.
    Delivered,
    /// Its client was sent this answer.
    Answered(Answer),
}

/// A pending message found on opening.
#[derive(Debug)]
pub struct RecoveredMessage {
    /// Its message number.
    pub id: u64,
    /// The message; its body is empty if it was lost.
    pub message: AcceptedMessage,
    /// The body can't be read any more, so the message can't be sent.
    pub body_lost: bool,
    /// When it was accepted.
    pub at: Nanos,
    /// Its delivery history.
    pub history: History,
}

/// An endpoint of the last list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its name.
    pub name: String,
    /// The identifier that this dispatcher assigned.
    pub id: u64,
    /// The address it listens on.
    pub address: String,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Identifier of its destination.
    pub dest: u64,
    /// Whether it accepts new work.
    pub in_service: bool,
    /// Its weight, if the list specified one.
    pub weight: Option<f64>,
}

/// What was found on opening.
#[derive(Debug, Default)]
pub struct Opened {
    /// Pending messages, ordered by number.
    pub messages: Vec<RecoveredMessage>,
    /// Recovery report of the store.
    pub recovery: Recovery,
    /// Number of messages imported from an old journal.
    pub migrated: usize,
    /// Highest time in any record. The wall clock has reached it before, even if it reads less now.
    pub latest_time: Nanos,
}

struct PendingEntry {
    at: Nanos,
    history: History,
    has_record: bool,
}

/// The tables of a dispatcher; see the [module documentation](self).
pub struct Ledger<F: Folder> {
    store: Store<F>,
    pending: BTreeMap<u64, PendingEntry>,
    next: u64,
    /// References of final outcomes, ordered by the time until which each is kept.
    outcome_expiries: BTreeSet<(Nanos, Box<str>)>,
    /// Ends of messages whose write failed, to be retried.
    unwritten_ends: BTreeMap<u64, Option<(Box<str>, FinalOutcome, Nanos)>>,
}

impl History {
    /// Records the start of an attempt.
    pub fn begin_attempt(&mut self, at: Nanos, zone: u32) {
        if self.attempts == 0 {
            self.first_sent = at;
        }
        self.attempts += 1;
        self.in_flight = Some((at, zone));
    }
    /// Records the end of the attempt in flight.
    pub fn end_attempt(&mut self, never_ran: bool) {
        let out = self.in_flight.take();
        if !never_ran {
            self.may_have_run = self.may_have_run.or(out);
        }
    }
    /// Marks the history as incomplete: an attempt may have run at any time since the message was accepted.
    pub(crate) fn assume_attempted(&mut self, accepted_at: Nanos) {
        self.attempts = self.attempts.max(1);
        self.first_sent = accepted_at;
        self.may_have_run = Some((accepted_at, 0));
    }
}

/// Encodes a value.
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

/// Decodes a value; each method returns `None` past its end.
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

fn message_value(at: Nanos, message: &AcceptedMessage) -> Vec<u8> {
    let value = Writer::default().u32(message.class).u64(message.dest).u64(at).u64(message.deadline);
    let value = value.bytes(message.reference.as_bytes()).u32(u32::from(message.key.is_some()));
    let value = value.bytes(message.key.as_deref().unwrap_or_default());
    // Appended only if present; values written by earlier versions end here.
    message.order.map_or(value.0.clone(), |order| value.u64(order).0)
}

/// Decodes a value of [`MESSAGES`]: the message without its body, and when it was accepted.
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

/// Decodes a value of [`HISTORIES`].
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

fn outcome_value(end: FinalOutcome, until: Nanos) -> Vec<u8> {
    let answer = match end {
        FinalOutcome::Delivered => None,
        FinalOutcome::Answered(answer) => Some(answer),
    };
    Writer::default().u64(until).answer(answer).0
}

/// Decodes a value of [`ANSWERS`]: a final outcome, and until when it is kept.
pub fn read_final_outcome(value: &[u8]) -> Option<(FinalOutcome, Nanos)> {
    let mut value = Reader(value);
    let until = value.u64()?;
    Some((value.answer()?.map_or(FinalOutcome::Delivered, FinalOutcome::Answered), until))
}

fn endpoint_value(e: &ListedEndpoint) -> Vec<u8> {
    let value = Writer::default().u64(e.id).u64(e.dest).u32(u32::from(e.in_service));
    let value = value.u32(u32::from(e.weight.is_some())).u64(e.weight.unwrap_or(0.0).to_bits());
    value.bytes(e.address.as_bytes()).bytes(e.zone.as_bytes()).bytes(e.kind.as_bytes()).0
}

/// Decodes a key and a value of [`ENDPOINTS`].
pub fn read_endpoint(name: &[u8], value: &[u8]) -> Option<ListedEndpoint> {
    let mut value = Reader(value);
    let (id, dest, in_service) = (value.u64()?, value.u64()?, value.u32()? > 0);
    let (has_weight, weight) = (value.u32()? > 0, f64::from_bits(value.u64()?));
    Some(ListedEndpoint {
        name: String::from_utf8(name.to_vec()).ok()?,
        id,
        address: value.text()?,
        zone: value.text()?,
        kind: value.text()?,
        dest,
        in_service,
        weight: has_weight.then_some(weight),
    })
}

/// Decodes a key of [`LEARNED`].
pub fn read_learned_key(key: &[u8]) -> Option<(u64, Option<u64>)> {
    let half = |at: usize| Some(u64::from_be_bytes(key.get(at..at + 8)?.try_into().ok()?));
    Some((half(0)?, half(8)))
}

fn learned_key(dest: u64, route: Option<u64>) -> Vec<u8> {
    let mut key = dest.to_be_bytes().to_vec();
    key.extend(route.iter().flat_map(|route| route.to_be_bytes()));
    key
}

impl<F: Folder> Ledger<F> {
    /// Opens the tables in a folder and returns what was found there. The messages of `old`, a journal of an
    /// earlier version, are imported once. `fresh_id` identifies the store if it is created.
    ///
    /// # Errors
    /// As for [`Store::open`]; also [`Error::Full`] if the old journal does not fit.
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
            pending: BTreeMap::new(),
            next: 1,
            outcome_expiries: BTreeSet::new(),
            unwritten_ends: BTreeMap::new(),
        };
        let mut opened = Opened { recovery, ..Opened::default() };
        if let Some(old) = old
            && !ledger.store.contains(META, JOURNAL_IMPORTED)
        {
            opened.migrated = ledger.import_journal(old)?;
        }
        ledger.recover(now, &mut opened);
        Ok((ledger, opened))
    }

    /// Imports an old journal and returns the number of its messages. An interrupted import is repeated at
    /// the next start: only its last record marks it as complete.
    fn import_journal(&mut self, old: OldJournal) -> Result<usize, Error> {
        let stale: Vec<Vec<u8>> = self.store.keys(MESSAGES, &[]).map(|(key, ..)| key.to_vec()).collect();
        for key in stale {
            self.store
                .apply(Batch::new().delete(MESSAGES, &key).delete(BODIES, &key).delete(HISTORIES, &key))?;
        }
        for (id, pending) in &old.pending {
            let key = id.to_be_bytes();
            let mut batch = Batch::new();
            batch.put(MESSAGES, &key, &message_value(pending.at, &pending.message));
            batch.put(BODIES, &key, &pending.message.body);
            if pending.history != History::default() {
                batch.put(HISTORIES, &key, &history_value(&pending.history));
            }
            self.store.apply_reserved(&batch)?;
        }
        let mut batch = Batch::new();
        batch.put(META, NEXT_ID, &old.next_id.to_le_bytes()).put(META, JOURNAL_IMPORTED, &[]);
        self.store.apply_reserved(&batch)?;
        self.store.sync()?;
        Ok(old.pending.len())
    }

    fn recover(&mut self, now: Nanos, opened: &mut Opened) {
        let uncertain_before = opened.recovery.uncertain_before;
        let mut uncertain = Vec::new();
        let mut orphans = Vec::new();
        let mut latest = 0;
        for (key, seq, value) in self.store.keys(MESSAGES, &[]) {
            let id = key.try_into().map(u64::from_be_bytes);
            let read = value.and_then(|value| read_message(value));
            let (Ok(id), Some((mut message, at))) = (id, read) else {
                orphans.push((MESSAGES, key.to_vec()));
                continue;
            };
            let (mut history, mut last_written) = (History::default(), seq);
            if let Some((_, seq, Some(value))) =
                self.store.keys(HISTORIES, key).next().filter(|(k, ..)| *k == key)
            {
                last_written = last_written.max(seq);
                history = read_history(value).unwrap_or_default();
            }
            if last_written < uncertain_before {
                history.assume_attempted(at);
                uncertain.push((key.to_vec(), history));
            }
            let times = [history.may_have_run, history.in_flight].into_iter().flatten().map(|(at, _)| at);
            latest = times.chain([at]).fold(latest, u64::max);
            let body = if history.answer.is_some() { Ok(None) } else { self.store.get(BODIES, key) };
            // Empty bodies are stored as well, so a missing body was lost.
            let body_lost = !matches!(body, Ok(Some(_))) && history.answer.is_none();
            message.body = body.ok().flatten().unwrap_or_default();
            self.next = self.next.max(id.saturating_add(1));
            opened.messages.push(RecoveredMessage { id, message, body_lost, at, history });
        }
        for table in [BODIES, HISTORIES] {
            let without = self.store.keys(table, &[]).filter(|(key, ..)| !self.store.contains(MESSAGES, key));
            orphans.extend(without.map(|(key, ..)| (table, key.to_vec())));
        }
        let next = self.store.get(META, NEXT_ID).ok().flatten();
        let next = next.and_then(|v| v.as_ref().try_into().ok().map(u64::from_le_bytes));
        self.next = self.next.max(next.unwrap_or(1));
        for RecoveredMessage { id, at, history, .. } in &opened.messages {
            let has_record = *history != History::default();
            self.pending.insert(*id, PendingEntry { at: *at, history: *history, has_record });
        }
        let mut past = Vec::new();
        for (key, _, value) in self.store.keys(ANSWERS, &[]) {
            let until = value.and_then(|v| read_final_outcome(v)).map_or(0, |(_, until)| until);
            match std::str::from_utf8(key) {
                Ok(reference) if until > now => {
                    self.outcome_expiries.insert((until, reference.into()));
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
        // Stored, so that a later start, which may not detect the damage any more, is equally cautious. If
        // this fails, the damage can still be detected.
        for chunk in uncertain.chunks(MAX_CHANGES_PER_BATCH) {
            let mut batch = Batch::new();
            for (key, history) in chunk {
                batch.put(HISTORIES, key, &history_value(history));
            }
            let _ = self.store.apply(&batch);
        }
        for chunk in orphans.chunks(MAX_CHANGES_PER_BATCH) {
            let mut batch = Batch::new();
            for (table, key) in chunk {
                batch.delete(*table, key);
            }
            let _ = self.store.apply(&batch);
        }
        if uncertain_before > 0 {
            // The list may lack its last change, possibly a drain, so it is dropped. Learned values stay: an
            // outdated wait or recovery makes the dispatcher no less cautious.
            let _ = self.clear_table(ENDPOINTS);
        }
    }

    fn clear_table(&mut self, table: u8) -> Result<(), Error> {
        let keys: Vec<Vec<u8>> = self.store.keys(table, &[]).map(|(key, ..)| key.to_vec()).collect();
        for chunk in keys.chunks(MAX_CHANGES_PER_BATCH) {
            let mut batch = Batch::new();
            chunk.iter().for_each(|key| {
                batch.delete(table, key);
            });
            self.store.apply(&batch)?;
        }
        if table == ENDPOINTS && self.store.contains(META, LIST_VERSION) {
            self.store.apply(Batch::new().delete(META, LIST_VERSION))?;
        }
        Ok(())
    }

    fn reserved(&self, more: usize) -> u64 {
        RESERVED_PER_MESSAGE * (self.pending.len() + more) as u64
    }

    /// Stores a message and returns its message number and the sequence number of its frame. The message is
    /// accepted once that frame is durable.
    ///
    /// # Errors
    /// [`Error::Full`] if it would use space that is reserved already; otherwise as for [`Store::apply`].
    pub fn accept(&mut self, now: Nanos, message: &AcceptedMessage) -> Result<(u64, Seq), Error> {
        let id = self.next;
        self.accept_as(id, now, message).map(|seq| (id, seq))
    }

    /// Returns the number of the next message.
    pub fn next_id(&self) -> u64 {
        self.next
    }

    /// Like [`Self::accept`], with a message number chosen by the caller: [`Self::next_id`] or a higher one.
    ///
    /// # Errors
    /// The same errors.
    pub fn accept_as(&mut self, id: u64, now: Nanos, message: &AcceptedMessage) -> Result<Seq, Error> {
        let key = id.to_be_bytes();
        let mut batch = Batch::new();
        batch.put(MESSAGES, &key, &message_value(now, message)).put(BODIES, &key, &message.body);
        if !self.store.has_room(batch.bytes().len(), self.reserved(1)) {
            return Err(Error::Full);
        }
        let seq = self.store.apply(&batch)?;
        self.next = self.next.max(id + 1);
        self.pending.insert(id, PendingEntry { at: now, history: History::default(), has_record: false });
        Ok(seq)
    }

    fn update_history(
        &mut self,
        id: u64,
        change: impl FnOnce(&mut History),
        drop_body: bool,
    ) -> Result<Seq, Error> {
        let Some(entry) = self.pending.get(&id) else { return Ok(0) };
        let (mut history, key) = (entry.history, id.to_be_bytes());
        change(&mut history);
        let mut batch = Batch::new();
        batch.put(HISTORIES, &key, &history_value(&history));
        if drop_body {
            batch.delete(BODIES, &key);
        }
        let seq = self.store.apply(&batch)?;
        self.pending.entry(id).and_modify(|entry| (entry.history, entry.has_record) = (history, true));
        Ok(seq)
    }

    /// Records that an attempt starts. Nothing may be sent before the returned frame is durable.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn begin_attempt(&mut self, id: u64, now: Nanos, zone: u32) -> Result<Seq, Error> {
        self.update_history(id, |history| history.begin_attempt(now, zone), false)
    }

    /// Records that the attempt in flight ended without delivery. `never_ran`: it certainly did not run.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn end_attempt(&mut self, id: u64, never_ran: bool) -> Result<Seq, Error> {
        self.update_history(id, |history| history.end_attempt(never_ran), false)
    }

    /// Records the final answer, of which the client is still to be notified, and deletes the body.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn record_answer(&mut self, id: u64, answer: Answer) -> Result<Seq, Error> {
        self.update_history(id, |history| history.answer = Some(answer), true)
    }

    /// Removes a finished message. With `end`, the outcome is kept under the reference until the given time,
    /// in case the client submits the message again.
    ///
    /// # Errors
    /// As for [`Store::apply`]. The write is then retried by [`Self::maintain`]; until it succeeds, the
    /// message is pending again after a restart.
    pub fn finish(&mut self, id: u64, end: Option<(&str, FinalOutcome, Nanos)>) -> Result<Seq, Error> {
        let done = self.write_finish(id, end);
        if done.is_err() {
            let end = end.map(|(reference, end, until)| (reference.into(), end, until));
            self.unwritten_ends.insert(id, end);
        }
        done
    }

    fn write_finish(&mut self, id: u64, end: Option<(&str, FinalOutcome, Nanos)>) -> Result<Seq, Error> {
        let Some(entry) = self.pending.get(&id) else { return Ok(0) };
        let key = id.to_be_bytes();
        let mut batch = Batch::new();
        batch.delete(MESSAGES, &key);
        if entry.history.answer.is_none() {
            batch.delete(BODIES, &key);
        }
        if entry.has_record {
            batch.delete(HISTORIES, &key);
        }
        if let Some((reference, end, until)) = end {
            batch.put(ANSWERS, reference.as_bytes(), &outcome_value(end, until));
        }
        // Message numbers are never reused, even after the message with the highest number was removed.
        if id + 1 == self.next {
            batch.put(META, NEXT_ID, &self.next.to_le_bytes());
        }
        let seq = self.store.apply(&batch)?;
        self.pending.remove(&id);
        if let Some((reference, _, until)) = end {
            self.outcome_expiries.insert((until, reference.into()));
            while self.store.live_bytes(ANSWERS) > self.store.limit() / SIDE_TABLE_DIVISOR {
                let Some((_, reference)) = self.outcome_expiries.pop_first() else { break };
                self.store.forget(ANSWERS, reference.as_bytes());
            }
        }
        Ok(seq)
    }

    /// Returns the outcome of the message with this reference, if it is still kept.
    pub fn final_outcome(&self, reference: &str) -> Option<FinalOutcome> {
        let unwritten = self.unwritten_ends.values().flatten().find(|(its, ..)| **its == *reference);
        if let Some((_, end, _)) = unwritten {
            return Some(*end);
        }
        let value = self.store.get(ANSWERS, reference.as_bytes()).ok()??;
        read_final_outcome(&value).map(|(end, _)| end)
    }

    /// Retries failed writes, drops expired outcomes and runs a compaction step. To be called about once a
    /// second.
    pub fn maintain(&mut self, now: Nanos) {
        while let Some((id, end)) = self.unwritten_ends.pop_first() {
            let end = end.as_ref().map(|(reference, end, until)| (&**reference, *end, *until));
            if self.finish(id, end).is_err() {
                break;
            }
        }
        while self.outcome_expiries.first().is_some_and(|(until, _)| *until <= now) {
            let Some((until, reference)) = self.outcome_expiries.pop_first() else { break };
            let stored = self.store.get(ANSWERS, reference.as_bytes()).ok().flatten();
            // Kept if it was recorded again with a later expiry.
            if stored.and_then(|v| read_final_outcome(&v)).is_some_and(|(_, its)| its <= until) {
                self.store.forget(ANSWERS, reference.as_bytes());
            }
        }
        self.store.maintain();
    }

    /// Stores a change of the endpoint list: the endpoints in `now`, the removed names in `gone`, and the
    /// list's source and version. If the list does not fit beside the messages, the whole list is dropped.
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
            |e: &ListedEndpoint| FRAME_HEADER_LEN + PUT_HEADER_LEN + e.name.len() + endpoint_value(e).len();
        let changed: Vec<&ListedEndpoint> = now
            .iter()
            .filter(|e| {
                let there = self.store.get(ENDPOINTS, e.name.as_bytes()).ok().flatten();
                there.as_deref() != Some(&endpoint_value(e)[..])
            })
            .collect();
        let more: usize = changed.iter().map(|e| weight(e)).sum();
        let max_bytes = self.store.limit() / SIDE_TABLE_DIVISOR;
        let fits = self.store.live_bytes(ENDPOINTS) + more as u64 <= max_bytes;
        if !(fits && self.store.has_room(more, self.reserved(0))) {
            return self.clear_table(ENDPOINTS);
        }
        // In this order, an interruption leaves the number of the older version.
        for chunk in gone.chunks(MAX_CHANGES_PER_BATCH) {
            let mut batch = Batch::new();
            for name in chunk.iter().filter(|name| self.store.contains(ENDPOINTS, name.as_bytes())) {
                batch.delete(ENDPOINTS, name.as_bytes());
            }
            if !batch.is_empty() {
                self.store.apply(&batch)?;
            }
        }
        for chunk in changed.chunks(MAX_CHANGES_PER_BATCH) {
            let mut batch = Batch::new();
            for e in chunk {
                batch.put(ENDPOINTS, e.name.as_bytes(), &endpoint_value(e));
            }
            self.store.apply(&batch)?;
        }
        let version = Writer::default().u64(index).bytes(source.as_bytes()).0;
        if self.store.get(META, LIST_VERSION)?.as_deref() != Some(&version[..]) {
            self.store.apply(Batch::new().put(META, LIST_VERSION, &version))?;
        }
        Ok(())
    }

    /// Returns the stored list: its source, its version, and its endpoints. `None` if there is none, or if it
    /// can't be read completely.
    pub fn endpoint_list(&self) -> Option<(String, u64, Vec<ListedEndpoint>)> {
        let version = self.store.get(META, LIST_VERSION).ok()??;
        let mut version = Reader(&version);
        let (index, source) = (version.u64()?, version.text()?);
        let read = |(name, _, value): (&[u8], Seq, Option<&Bytes>)| read_endpoint(name, value?);
        let all: Option<Vec<ListedEndpoint>> = self.store.keys(ENDPOINTS, &[]).map(read).collect();
        Some((source, index, all?))
    }

    /// Returns the mark of the owner, 0 if there is none.
    pub fn owner(&self) -> u64 {
        let mark = self.store.get(META, OWNER).ok().flatten();
        mark.and_then(|mark| mark.as_ref().try_into().ok().map(u64::from_le_bytes)).unwrap_or(0)
    }

    /// Stores the mark of a new owner, from which the previous owner can tell that the store was taken over.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn set_owner(&mut self, mark: u64) -> Result<(), Error> {
        self.store.apply(Batch::new().put(META, OWNER, &mark.to_le_bytes())).map(drop)
    }

    /// Returns the last stored incarnation of the dispatcher, 0 if there is none.
    pub fn incarnation(&self) -> u32 {
        let stored = self.store.get(META, INCARNATION).ok().flatten();
        stored.and_then(|stored| stored.as_ref().try_into().ok().map(u32::from_le_bytes)).unwrap_or(0)
    }

    /// Stores the incarnation of the dispatcher. The next one must be higher.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn set_incarnation(&mut self, incarnation: u32) -> Result<(), Error> {
        self.store.apply(Batch::new().put(META, INCARNATION, &incarnation.to_le_bytes())).map(drop)
    }

    /// Returns the value last [stored](Self::set_value) under a name.
    pub fn value(&self, name: &str) -> Option<Bytes> {
        self.store.get(META, &[VALUE_PREFIX, name.as_bytes()].concat()).ok().flatten()
    }

    /// Stores a small value under a name, replacing the previous one.
    ///
    /// # Errors
    /// [`Error::Full`] if it would use reserved space; otherwise as for [`Store::apply`].
    pub fn set_value(&mut self, name: &str, value: &[u8]) -> Result<(), Error> {
        let mut batch = Batch::new();
        batch.put(META, &[VALUE_PREFIX, name.as_bytes()].concat(), value);
        if !self.store.has_room(batch.bytes().len(), self.reserved(0)) {
            return Err(Error::Full);
        }
        self.store.apply(&batch).map(drop)
    }

    /// Returns the message classes as stored by [`Self::set_classes`].
    pub fn classes(&self) -> Option<Bytes> {
        self.store.get(META, CLASSES).ok().flatten()
    }

    /// Stores the message classes, so that positions in messages can be resolved after a restart.
    ///
    /// # Errors
    /// [`Error::Full`] if it would use reserved space; otherwise as for [`Store::apply`].
    pub fn set_classes(&mut self, classes: &[u8]) -> Result<(), Error> {
        if self.classes().as_deref() == Some(classes) {
            return Ok(());
        }
        let mut batch = Batch::new();
        batch.put(META, CLASSES, classes);
        if !self.store.has_room(batch.bytes().len(), self.reserved(0)) {
            return Err(Error::Full);
        }
        self.store.apply(&batch).map(drop)
    }

    /// Stores that an operator cordoned an endpoint (`out`) or put it back.
    ///
    /// # Errors
    /// [`Error::Full`] if it would use reserved space; otherwise as for [`Store::apply`].
    pub fn set_cordon(&mut self, name: &str, out: bool) -> Result<Seq, Error> {
        let (key, mut batch) = ([CORDON_PREFIX, name.as_bytes()].concat(), Batch::new());
        if out {
            batch.put(META, &key, &[])
        } else {
            batch.delete(META, &key)
        };
        if out && !self.store.has_room(batch.bytes().len(), self.reserved(0)) {
            return Err(Error::Full);
        }
        self.store.apply(&batch)
    }

    /// Returns the names of the cordoned endpoints.
    pub fn cordons(&self) -> Vec<String> {
        let all = self.store.keys(META, CORDON_PREFIX).map_while(|(key, ..)| key.strip_prefix(CORDON_PREFIX));
        all.map(|name| String::from_utf8_lossy(name).into_owned()).collect()
    }

    /// Stores learned values of destinations and routes; a value of `None` deletes the record. Values that do
    /// not fit beside the messages are not stored.
    ///
    /// # Errors
    /// As for [`Store::apply`].
    pub fn record_learned(
        &mut self,
        now: Nanos,
        learned: impl IntoIterator<Item = (u64, Option<u64>, Option<Vec<u8>>)>,
    ) -> Result<(), Error> {
        let mut batch = Batch::new();
        for (dest, route, bytes) in learned {
            let key = learned_key(dest, route);
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
                self.write_learned(&mut batch)?;
            }
        }
        self.write_learned(&mut batch)
    }

    fn write_learned(&mut self, batch: &mut Batch) -> Result<(), Error> {
        let batch = std::mem::take(batch);
        let size = batch.bytes().len();
        let max_bytes = self.store.limit() / SIDE_TABLE_DIVISOR;
        if self.store.live_bytes(LEARNED) + size as u64 > max_bytes {
            // Drop the older half: destinations that were removed or have no traffic.
            let stored_at = |value: Option<&Bytes>| value.and_then(|v| Reader(v).u64()).unwrap_or(0);
            let mut all: Vec<(Nanos, Vec<u8>)> = self
                .store
                .keys(LEARNED, &[])
                .map(|(key, _, value)| (stored_at(value), key.to_vec()))
                .collect();
            all.sort_unstable();
            all.truncate(all.len().div_ceil(2));
            for chunk in all.chunks(MAX_CHANGES_PER_BATCH) {
                let mut batch = Batch::new();
                chunk.iter().for_each(|(_, key)| {
                    batch.delete(LEARNED, key);
                });
                self.store.apply(&batch)?;
            }
        }
        let fits = self.store.live_bytes(LEARNED) + size as u64 <= max_bytes;
        if !batch.is_empty() && fits && self.store.has_room(size, self.reserved(0)) {
            self.store.apply(&batch)?;
        }
        Ok(())
    }

    /// Returns the learned values: destination, route, when it was stored, and the value.
    pub fn learned(&self) -> Vec<(u64, Option<u64>, Nanos, Vec<u8>)> {
        let read = |(key, _, value): (&[u8], Seq, Option<&Bytes>)| {
            let (dest, route) = read_learned_key(key)?;
            let mut value = Reader(value?);
            Some((dest, route, value.u64()?, value.bytes()?.to_vec()))
        };
        self.store.keys(LEARNED, &[]).filter_map(read).collect()
    }

    /// Returns the delivery history of a pending message.
    pub fn history(&self, id: u64) -> Option<History> {
        self.pending.get(&id).map(|entry| entry.history)
    }

    /// Returns when a pending message was accepted.
    pub fn accepted_at(&self, id: u64) -> Option<Nanos> {
        self.pending.get(&id).map(|entry| entry.at)
    }

    /// Returns the number of pending messages.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of final outcomes kept.
    pub fn answers(&self) -> usize {
        self.store.len(ANSWERS)
    }

    /// Returns whether the frame with this sequence number is durable as configured. True for 0, which
    /// denotes no frame.
    pub fn is_durable(&self, seq: Seq) -> bool {
        self.store.is_durable(seq)
    }

    /// See [`Store::sync_job`].
    ///
    /// # Errors
    /// The same errors.
    pub fn sync_job(&mut self) -> Result<Option<SyncJob>, Error> {
        self.store.sync_job()
    }

    /// See [`Store::finish_sync`].
    ///
    /// # Errors
    /// The same errors.
    pub fn finish_sync(&mut self, synced: SyncResult) -> Result<(), Error> {
        self.store.finish_sync(synced)
    }

    /// Returns the statistics of the store.
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Returns the underlying store.
    pub fn store(&self) -> &Store<F> {
        &self.store
    }

    /// Returns the underlying store, for operations on all of it.
    pub fn store_mut(&mut self) -> &mut Store<F> {
        &mut self.store
    }
}
