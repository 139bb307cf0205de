//! The tables that outlast a process, in memory: what a change does to them is what it does in the store's ledger, and
//! attempts are summed up by the same [`History`].

use std::collections::BTreeMap;

use millpost::api::{DestId, EndpointId, MsgId, Nanos};
use millpost_core::Change;
use millpost_store::Seq;
use millpost_store::ledger::{AcceptedMessage, FinalOutcome, History, RecoveredMessage};
use serde::Serialize;

/// What a start finds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct Tables {
    messages: BTreeMap<MsgId, (AcceptedMessage, History)>,
    ends: BTreeMap<String, FinalOutcome>,
    lessons: BTreeMap<(DestId, Option<EndpointId>), (Nanos, Vec<u8>)>,
    next: MsgId,
}

/// A journal whose writes last at once, or only from the next sync on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Journal {
    now: Tables,
    /// What a crash leaves, where that is less.
    lasting: Option<Box<Tables>>,
    written: Seq,
    lasts: Seq,
    synced: bool,
    /// The next write fails.
    pub fails_next: bool,
    /// One has failed.
    pub has_failed: bool,
}

impl Journal {
    /// An empty one; with `synced` a crash takes what no sync came after.
    pub fn new(synced: bool) -> Self {
        Journal {
            now: Tables { next: 1, ..Tables::default() },
            lasting: None,
            written: 0,
            lasts: 0,
            synced,
            fails_next: false,
            has_failed: false,
        }
    }

    /// Writes a change; the number of its frame, unless it fails.
    pub fn append(&mut self, change: &Change) -> Option<Seq> {
        if std::mem::take(&mut self.fails_next) {
            self.has_failed = true;
            return None;
        }
        self.change();
        let tables = &mut self.now;
        match change {
            Change::Take { id, taken } => {
                tables.messages.insert(*id, (taken.clone(), History::default()));
                tables.next = tables.next.max(id + 1);
            }
            Change::Begin { id, at, zone } => tables.tell(*id, |history| history.begin_attempt(*at, *zone)),
            Change::Outcome { id, never_ran } => tables.tell(*id, |history| history.end_attempt(*never_ran)),
            Change::Answer { id, answer } => tables.tell(*id, |history| history.answer = Some(*answer)),
            Change::End { id, end } => {
                tables.messages.remove(id);
                if let Some((reference, end, _)) = end {
                    tables.ends.insert(reference.clone(), *end);
                }
            }
        }
        Some(self.wrote())
    }

    /// Before a change: what lasts is kept aside.
    fn change(&mut self) {
        if self.synced && self.lasting.is_none() {
            self.lasting = Some(Box::new(self.now.clone()));
        }
    }

    fn wrote(&mut self) -> Seq {
        self.written += 1;
        if !self.synced {
            self.sync();
        }
        self.written
    }

    /// Keeps a lesson.
    pub fn learn(&mut self, wall: Nanos, dest: DestId, route: Option<EndpointId>, bytes: Vec<u8>) {
        self.change();
        self.now.lessons.insert((dest, route), (wall, bytes));
        self.wrote();
    }

    /// All that was written lasts.
    pub fn sync(&mut self) {
        self.lasting = None;
        self.lasts = self.written;
    }

    /// Something does not last yet.
    pub fn pending(&self) -> bool {
        self.lasts < self.written
    }

    /// Whether the write of this number lasts.
    pub fn lasts(&self, seq: Seq) -> bool {
        seq <= self.lasts
    }

    /// The number of the last write.
    pub fn written(&self) -> Seq {
        self.written
    }

    /// What does not last is gone.
    pub fn crash(&mut self) {
        if let Some(lasting) = self.lasting.take() {
            self.now = *lasting;
        }
        self.written = self.lasts;
        self.fails_next = false;
    }

    /// Forgets all lessons.
    pub fn drop_lessons(&mut self) {
        self.now.lessons.clear();
        self.lasting.iter_mut().for_each(|lasting| lasting.lessons.clear());
    }

    /// Counts writes from the last that lasts on: only what came before what is asked. How many that leaves out.
    pub fn recount(&mut self) -> Seq {
        let base = std::mem::take(&mut self.lasts);
        self.written -= base;
        base
    }

    /// No start comes any more that would read it: only the ends are kept, and these only where one may be asked for.
    pub fn forget(&mut self, ends_too: bool) {
        let ends = if ends_too { BTreeMap::new() } else { std::mem::take(&mut self.now.ends) };
        self.now = Tables { ends, next: 1, ..Tables::default() };
        self.lasting = None;
        self.has_failed = false;
    }

    /// How a message of this reference ended.
    pub fn end(&self, reference: &str) -> Option<FinalOutcome> {
        self.now.ends.get(reference).copied()
    }

    /// The number of the next message.
    pub fn next(&self) -> MsgId {
        self.now.next
    }

    /// Messages owed, as a start finds them.
    pub fn found(&self) -> Vec<RecoveredMessage> {
        let found = self.now.messages.iter().map(|(id, (taken, history))| RecoveredMessage {
            id: *id,
            message: taken.clone(),
            body_lost: false,
            at: 0,
            history: *history,
        });
        found.collect()
    }

    /// Lessons, with the time of their writing.
    pub fn lessons(&self) -> impl Iterator<Item = (DestId, Option<EndpointId>, Nanos, &[u8])> {
        self.now.lessons.iter().map(|((dest, route), (wall, bytes))| (*dest, *route, *wall, &bytes[..]))
    }
}

impl Tables {
    fn tell(&mut self, id: MsgId, change: impl FnOnce(&mut History)) {
        if let Some((_, history)) = self.messages.get_mut(&id) {
            change(history);
        }
    }
}
