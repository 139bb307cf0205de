//! Reads the journal of earlier versions: one append-only file of records, each with its length and checksum.
//! Only for the move to the store.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::ledger::{AcceptedMessage, Answer, History, Nanos};

/// Name of the journal's file, and of the one that replaced it in a compaction.
pub const FILE: &str = "journal";
/// Left over by an end in the middle of a compaction.
pub const NEW_FILE: &str = "journal.new";
const LONGEST: usize = 256 * 1024;

const TAKEN: u8 = 1;
const BEGUN: u8 = 2;
const NEVER_RAN: u8 = 3;
const MAY_HAVE_RUN: u8 = 4;
const ANSWERED: u8 = 5;
const ENDED: u8 = 6;
const HISTORY_SO_FAR: u8 = 7;

/// A message that an old journal still owes its end.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMessage {
    /// The message.
    pub message: AcceptedMessage,
    /// When it was taken on.
    pub at: Nanos,
    /// Its attempts.
    pub history: History,
}

/// What an old journal holds.
#[derive(Debug, Default)]
pub struct OldJournal {
    /// By number.
    pub pending: BTreeMap<u64, PendingMessage>,
    /// Numbers from this one on were never used.
    pub next_id: u64,
    /// Something in the middle of it could not be read: any message may have run since it came.
    pub damaged: bool,
}

/// Reads the parts of a record; `None` past its end.
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
    fn taken(&mut self) -> Option<(AcceptedMessage, Nanos)> {
        let (class, dest, at, deadline) = (self.u32()?, self.u64()?, self.u64()?, self.u64()?);
        let reference = String::from_utf8(self.bytes()?.to_vec()).ok()?;
        let key = if self.u32()? == 1 { Some(self.bytes()?) } else { None };
        let body = Bytes::copy_from_slice(&self.bytes()?);
        let key = key.map(|key| Bytes::copy_from_slice(&key));
        Some((AcceptedMessage { reference, class, dest, deadline, key, order: None, body }, at))
    }
}

/// Reads all of a journal; never fails, since an old start didn't either.
pub fn read(data: &Bytes) -> OldJournal {
    let mut old = OldJournal { next_id: 1, ..OldJournal::default() };
    let mut skipped = false;
    let mut rest = Reader(data.clone());
    while let (Some(length), Some(sum)) = (rest.u32(), rest.u32()) {
        let length = length as usize;
        if length > LONGEST || length == 0 {
            // With as much behind it as a head, no cut-off write looks like this.
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
        for owed in old.pending.values_mut() {
            owed.history.doubt(owed.at);
        }
    }
    old
}

fn replay(old: &mut OldJournal, mut body: Reader) -> Option<()> {
    let (kind, id) = (body.u8()?, body.u64()?);
    old.next_id = old.next_id.max(id.saturating_add(1));
    if kind == TAKEN {
        let (taken, at) = body.taken()?;
        old.pending.insert(id, PendingMessage { message: taken, at, history: History::default() });
        return Some(());
    }
    // Records of a message that is over say nothing any more.
    let Some(PendingMessage { message, history, .. }) = old.pending.get_mut(&id) else { return Some(()) };
    match kind {
        BEGUN => history.begin_attempt(body.u64()?, body.u32()?),
        NEVER_RAN => history.end_attempt(true),
        MAY_HAVE_RUN => history.end_attempt(false),
        ANSWERED => {
            history.answer = body.answer()?;
            message.body = Bytes::new();
        }
        ENDED => {
            old.pending.remove(&id);
        }
        HISTORY_SO_FAR => {
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
