//! The tables that outlast a process, in memory: what a change does to them is what it does in the store's ledger, and
//! attempts are summed up by the same [`History`].

use std::collections::BTreeMap;

use millpost::api::{DestId, EndpointId, MsgId, Nanos};
use millpost_core::Change;
use millpost_store::Seq;
use millpost_store::ledger::{Final, Found, History, Taken};

/// What a start finds.
#[derive(Clone, Debug, Default, PartialEq)]
struct Tables {
    messages: BTreeMap<MsgId, (Taken, History)>,
    ends: BTreeMap<String, Final>,
    lessons: BTreeMap<(DestId, Option<EndpointId>), (Nanos, Vec<u8>)>,
    next: MsgId,
}

/// A journal whose writes last at once, or only from the next sync on.
#[derive(Clone, Debug, PartialEq)]
pub struct Journal {
    now: Tables,
    lasting: Tables,
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
        let tables = Tables { next: 1, ..Tables::default() };
        Journal {
            now: tables.clone(),
            lasting: tables,
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
        let tables = &mut self.now;
        match change {
            Change::Take { id, taken } => {
                tables.messages.insert(*id, (taken.clone(), History::default()));
                tables.next = tables.next.max(id + 1);
            }
            Change::Begin { id, at, zone } => tables.tell(*id, |history| history.begin(*at, *zone)),
            Change::Outcome { id, never_ran } => tables.tell(*id, |history| history.over(*never_ran)),
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

    fn wrote(&mut self) -> Seq {
        self.written += 1;
        if !self.synced {
            self.sync();
        }
        self.written
    }

    /// Keeps a lesson.
    pub fn learn(&mut self, wall: Nanos, dest: DestId, route: Option<EndpointId>, bytes: Vec<u8>) {
        self.now.lessons.insert((dest, route), (wall, bytes));
        self.wrote();
    }

    /// All that was written lasts.
    pub fn sync(&mut self) {
        if self.lasts < self.written {
            self.lasting = self.now.clone();
            self.lasts = self.written;
        }
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
        self.now = self.lasting.clone();
        self.written = self.lasts;
        self.fails_next = false;
    }

    /// How a message of this reference ended.
    pub fn end(&self, reference: &str) -> Option<Final> {
        self.now.ends.get(reference).copied()
    }

    /// The number of the next message.
    pub fn next(&self) -> MsgId {
        self.now.next
    }

    /// Messages owed, as a start finds them.
    pub fn found(&self) -> Vec<Found> {
        let found = self.now.messages.iter().map(|(id, (taken, history))| Found {
            id: *id,
            taken: taken.clone(),
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
