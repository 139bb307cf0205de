//! Reads the journal of earlier versions: one append-only file of records, each with its length and checksum.
//! Only used to import it into the store.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::ledger::{AcceptedMessage, Answer, History, Nanos};

/// Name of the journal file.
pub const FILE: &str = "journal";
/// Name of the file that replaced the journal in a compaction; left over if the compaction was interrupted.
pub const NEW_FILE: &str = "journal.new";
const MAX_RECORD_LEN: usize = 256 * 1024;

const ACCEPTED: u8 = 1;
const ATTEMPT_STARTED: u8 = 2;
const NEVER_RAN: u8 = 3;
const MAY_HAVE_RUN: u8 = 4;
const ANSWERED: u8 = 5;
const FINISHED: u8 = 6;
const HISTORY: u8 = 7;

/// A message of an old journal that is not finished.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMessage {
    /// The message.
    pub message: AcceptedMessage,
    /// When it was accepted.
    pub at: Nanos,
    /// Its delivery history.
    pub history: History,
}

/// Content of an old journal.
#[derive(Debug, Default)]
pub struct OldJournal {
    /// Unfinished messages, by number.
    pub pending: BTreeMap<u64, PendingMessage>,
    /// The lowest message number that was never used.
    pub next_id: u64,
    /// Whether records in the middle could not be read. Any message may then have run since it was accepted.
    pub damaged: bool,
}

/// Decodes a record; each method returns `None` past its end.
struct Reader(Bytes);

impl Reader {
    fn take(&mut self, n: usize) -> Option<Bytes> {
        (self.0.len() >= n).then(|| self.0.split_to(n))
    }
    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn u32(&mut self) -> Option<u32> {
        self.take(4)?.as_ref().try_into().ok().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
        self.take(8)?.as_ref().try_into().ok().map(u64::from_le_bytes)
    }
    fn bytes(&mut self) -> Option<Bytes> {
        let n = self.u32()?;
        self.take(n as usize)
    }
    fn time_and_zone(&mut self) -> Option<Option<(Nanos, u32)>> {
        let (at, zone) = (self.u64()?, self.u32()?);
        Some((at > 0).then_some((at, zone)))
    }
    fn answer(&mut self) -> Option<Option<Answer>> {
        let (kind, wait_ms) = (self.u32()?, self.u64()?);
        Some(match kind {
            1 => Some(Answer::Failed),
            2 => Some(Answer::Refused { wait_ms }),
            _ => None,
        })
    }
    fn message(&mut self) -> Option<(AcceptedMessage, Nanos)> {
        let (class, dest, at, deadline) = (self.u32()?, self.u64()?, self.u64()?, self.u64()?);
        let reference = String::from_utf8(self.bytes()?.to_vec()).ok()?;
        let key = if self.u32()? == 1 { Some(self.bytes()?) } else { None };
        let body = Bytes::copy_from_slice(&self.bytes()?);
        let key = key.map(|key| Bytes::copy_from_slice(&key));
        Some((AcceptedMessage { reference, class, dest, deadline, key, order: None, body }, at))
    }
}

/// Reads a whole journal. Never fails: earlier versions started with a damaged journal as well.
pub fn read(data: &Bytes) -> OldJournal {
    let mut old = OldJournal { next_id: 1, ..OldJournal::default() };
    let mut skipped = false;
    let mut rest = Reader(data.clone());
    while let (Some(length), Some(sum)) = (rest.u32(), rest.u32()) {
        let length = length as usize;
        if length > MAX_RECORD_LEN || length == 0 {
            // The record header is complete but its length is invalid, which an interrupted write does not
            // leave behind.
            break;
        }
        let Some(body) = rest.take(length) else { break };
        if crc32fast::hash(&body) == sum && replay(&mut old, Reader(body)).is_some() {
            old.damaged |= skipped;
            skipped = false;
        } else {
            skipped = true;
        }
    }
    old.damaged |= skipped;
    if old.damaged {
        for message in old.pending.values_mut() {
            message.history.assume_attempted(message.at);
        }
    }
    old
}

fn replay(old: &mut OldJournal, mut body: Reader) -> Option<()> {
    let (kind, id) = (body.u8()?, body.u64()?);
    old.next_id = old.next_id.max(id.saturating_add(1));
    if kind == ACCEPTED {
        let (message, at) = body.message()?;
        old.pending.insert(id, PendingMessage { message, at, history: History::default() });
        return Some(());
    }
    // Records of a finished message are ignored.
    let Some(PendingMessage { message, history, .. }) = old.pending.get_mut(&id) else { return Some(()) };
    match kind {
        ATTEMPT_STARTED => history.begin_attempt(body.u64()?, body.u32()?),
        NEVER_RAN => history.end_attempt(true),
        MAY_HAVE_RUN => history.end_attempt(false),
        ANSWERED => {
            history.answer = body.answer()?;
            message.body = Bytes::new();
        }
        FINISHED => {
            old.pending.remove(&id);
        }
        HISTORY => {
            *history = History {
                attempts: body.u32()?,
                first_sent: body.u64()?,
                may_have_run: body.time_and_zone()?,
                in_flight: body.time_and_zone()?,
                answer: body.answer()?,
            }
        }
        _ => return None,
    }
    Some(())
}
