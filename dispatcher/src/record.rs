//! The store as the driver uses it: one change after the other, what waits for them to last, and the one sync that is
//! under way for all that waits by then.

use millpost::LearnedState;
use millpost::api::Nanos;
use millpost_core::{Change, Deferred, DurabilityQueue, Durable, Moment};
use millpost_net::meter::{Part, within};
use millpost_store::ledger::FinalOutcome;
use millpost_store::{Disk, Error, Folder, Ledger, Seq, SyncJob, SyncResult};

/// Writes work again once none has failed for so long.
const QUIET: Nanos = 5_000_000_000;
/// After a failed sync the next one.
const SYNC_AGAIN: Nanos = 100_000_000;

pub struct Record {
    ledger: Ledger<Disk>,
    shelf: DurabilityQueue,
    /// When a write last failed, and the number that the next frame had then.
    failing: Option<(Nanos, Seq)>,
    /// A sync is under way, or may be tried again at this time.
    syncing: bool,
    sync_at: Nanos,
}

impl Record {
    pub fn new(ledger: Ledger<Disk>) -> Self {
        Record { ledger, shelf: DurabilityQueue::default(), failing: None, syncing: false, sync_at: 0 }
    }

    /// The tables.
    pub fn ledger(&self) -> &Ledger<Disk> {
        &self.ledger
    }

    /// Writes a change; the number of its frame.
    pub fn append(&mut self, at: Moment, change: &Change) -> Option<Seq> {
        let ledger = &mut self.ledger;
        let done = within(Part::Journal, || match change {
            Change::Take { id, taken } => ledger.accept_as(*id, at.wall, taken),
            Change::Begin { id, at, zone } => ledger.begin_attempt(*id, *at, *zone),
            Change::Outcome { id, never_ran } => ledger.end_attempt(*id, *never_ran),
            Change::Answer { id, answer } => ledger.record_answer(*id, *answer),
            Change::End { id, end } => {
                ledger.finish(*id, end.as_ref().map(|(reference, end, until)| (&reference[..], *end, *until)))
            }
        });
        self.noted(at, done)
    }

    /// How a message of this reference ended, where that is still kept.
    pub fn final_answer(&self, reference: &str) -> Option<FinalOutcome> {
        within(Part::Journal, || self.ledger.final_outcome(reference))
    }

    /// Keeps what stands behind the write of this number, or behind all so far.
    pub fn put(&mut self, seq: Option<Seq>, behind: Deferred) {
        let last = self.ledger.store().next_seq() - 1;
        self.shelf.push(seq.unwrap_or(last), behind);
    }

    /// The next that no longer waits.
    pub fn ready(&mut self) -> Option<Durable> {
        self.shelf.pop_durable(|seq| self.ledger.is_durable(seq))
    }

    /// Something waits for a write to last.
    pub fn waits(&self) -> bool {
        !self.shelf.is_empty()
    }

    /// Keeps lessons.
    pub fn learn(&mut self, at: Moment, lessons: Vec<LearnedState>) {
        let lessons = lessons.into_iter().map(|lesson| (lesson.dest, lesson.route, Some(lesson.bytes)));
        let done = within(Part::Journal, || self.ledger.record_learned(at.wall, lessons));
        self.noted(at, done);
    }

    /// Drops the lessons of these destinations and routes.
    pub fn forget_lessons(&mut self, at: Moment, old: Vec<(u64, Option<u64>)>) {
        let old = old.into_iter().map(|(dest, route)| (dest, route, None));
        let done = self.ledger.record_learned(at.wall, old);
        self.noted(at, done);
    }

    /// Notes that an endpoint is out by hand, or back: the number of the write.
    pub fn cordon(&mut self, at: Moment, name: &str, out: bool) -> Option<Seq> {
        let done = self.ledger.set_cordon(name, out);
        self.noted(at, done)
    }

    /// Notes which life of the dispatcher this is.
    pub fn live(&mut self, at: Moment, incarnation: u32) {
        let done = self.ledger.set_incarnation(incarnation);
        self.noted(at, done);
    }

    /// Keeps a small value under a name.
    pub fn keep(&mut self, at: Moment, name: &str, value: &[u8]) {
        let done = self.ledger.set_value(name, value);
        self.noted(at, done);
    }

    /// Notes the classes that messages are of. Whether it could.
    pub fn note_classes(&mut self, at: Moment, classes: &[u8]) -> bool {
        let done = self.ledger.set_classes(classes);
        self.noted(at, done).is_some()
    }

    /// The write of this number lasts.
    pub fn lasts(&self, seq: Seq) -> bool {
        self.ledger.is_durable(seq)
    }

    /// Notes the list of endpoints, or changes of it.
    pub fn list(
        &mut self,
        at: Moment,
        source: &str,
        index: u64,
        now: &[millpost_store::ledger::ListedEndpoint],
        gone: &[String],
    ) {
        let done = self.ledger.record_endpoint_list(source, index, now, gone);
        self.noted(at, done);
    }

    /// About once a second: compacts a little, and says once that writes work again.
    pub fn tidy(&mut self, at: Moment) {
        within(Part::Journal, || self.ledger.maintain(at.wall));
        // Frames have been written since the last failure, which is a while ago: neither an idle call nor a write
        // that found room between two that did not ends the trouble.
        let next = self.ledger.store().next_seq();
        if self.failing.is_some_and(|(since, seq)| next > seq && at.now.saturating_sub(since) > QUIET) {
            self.failing = None;
            eprintln!("store: writes work again");
        }
    }

    /// The sync that is to be run now, if any: it ends in `synced`.
    pub fn sync_job(&mut self, at: Moment) -> Option<SyncJob> {
        if self.syncing || at.now < self.sync_at {
            return None;
        }
        let job = self.ledger.sync_job();
        let job = self.noted(at, job).flatten();
        self.syncing |= job.is_some();
        job
    }

    /// A sync is over. What clients wait for and will not last is given back.
    pub fn synced(&mut self, at: Moment, synced: SyncResult) -> Vec<Deferred> {
        self.syncing = false;
        let done = self.ledger.finish_sync(synced);
        if self.noted(at, done).is_some() {
            return Vec::new();
        }
        self.sync_at = at.now.saturating_add(SYNC_AGAIN);
        self.shelf.take_client_replies(|seq| self.ledger.is_durable(seq))
    }

    /// What came of a write. That writes fail is said once, and once that they work again.
    fn noted<T>(&mut self, at: Moment, done: Result<T, Error>) -> Option<T> {
        if let Err(e) = &done {
            let before = self.failing.replace((at.now, self.ledger.store().next_seq()));
            match e {
                _ if before.is_some() => {}
                Error::Full => {
                    eprintln!("store: {}: the store is full", self.ledger.store().folder().show(""));
                }
                e => eprintln!("store: {e}"),
            }
        }
        done.ok()
    }
}
