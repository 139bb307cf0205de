//! The driver's access to the store: writes changes in order, defers effects until the writes they depend on
//! are durable, and runs at most one sync at a time for all writes made by then.

use millpost::LearnedState;
use millpost::api::Nanos;
use millpost_core::{Change, Deferred, DurabilityQueue, Durable, Moment};
use millpost_net::meter::{Part, within};
use millpost_store::ledger::FinalOutcome;
use millpost_store::{Disk, Error, Folder, Ledger, Seq, SyncJob, SyncResult};

/// The store is reported as working again after this long without a failed write.
const RECOVERY_PERIOD: Nanos = 5_000_000_000;
/// Delay before the next sync after a failed one.
const SYNC_RETRY_DELAY: Nanos = 100_000_000;

/// Writes to the store on behalf of the driver; see the module documentation.
pub struct StoreWriter {
    ledger: Ledger<Disk>,
    deferred: DurabilityQueue,
    /// While writes fail: the time of the last failure and the sequence number that the next frame had then.
    failing: Option<(Nanos, Seq)>,
    /// Whether a sync is in progress.
    syncing: bool,
    /// Earliest time of the next sync.
    sync_at: Nanos,
}

impl StoreWriter {
    pub fn new(ledger: Ledger<Disk>) -> Self {
        StoreWriter {
            ledger,
            deferred: DurabilityQueue::default(),
            failing: None,
            syncing: false,
            sync_at: 0,
        }
    }

    pub fn ledger(&self) -> &Ledger<Disk> {
        &self.ledger
    }

    /// Writes a change. Returns the sequence number of its frame, or `None` if the write failed.
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
        self.check(at, done)
    }

    /// The final answer of the message with this reference, if it is still stored.
    pub fn final_answer(&self, reference: &str) -> Option<FinalOutcome> {
        within(Part::Journal, || self.ledger.final_outcome(reference))
    }

    /// Defers an effect until the write `seq` is durable, or all writes so far if `None`.
    pub fn defer(&mut self, seq: Option<Seq>, effect: Deferred) {
        let last = self.ledger.store().next_seq() - 1;
        self.deferred.push(seq.unwrap_or(last), effect);
    }

    /// Removes and returns the next deferred effect whose writes are durable.
    pub fn next_durable(&mut self) -> Option<Durable> {
        self.deferred.pop_durable(|seq| self.ledger.is_durable(seq))
    }

    /// Whether any effect waits for a write to become durable.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Saves learned state.
    pub fn save_learned(&mut self, at: Moment, learned: Vec<LearnedState>) {
        let learned = learned.into_iter().map(|state| (state.dest, state.route, Some(state.bytes)));
        let done = within(Part::Journal, || self.ledger.record_learned(at.wall, learned));
        self.check(at, done);
    }

    /// Deletes the learned state of these destinations and routes.
    pub fn delete_learned(&mut self, at: Moment, old: Vec<(u64, Option<u64>)>) {
        let old = old.into_iter().map(|(dest, route)| (dest, route, None));
        let done = self.ledger.record_learned(at.wall, old);
        self.check(at, done);
    }

    /// Records that an operator cordoned (`out`) or uncordoned an endpoint. Returns the sequence number of
    /// the write.
    pub fn save_cordon(&mut self, at: Moment, name: &str, out: bool) -> Option<Seq> {
        let done = self.ledger.set_cordon(name, out);
        self.check(at, done)
    }

    /// Records the incarnation of the dispatcher.
    pub fn save_incarnation(&mut self, at: Moment, incarnation: u32) {
        let done = self.ledger.set_incarnation(incarnation);
        self.check(at, done);
    }

    /// Saves a small value under a name.
    pub fn save_value(&mut self, at: Moment, name: &str, value: &[u8]) {
        let done = self.ledger.set_value(name, value);
        self.check(at, done);
    }

    /// Saves the message classes. Returns whether the write succeeded.
    pub fn save_classes(&mut self, at: Moment, classes: &[u8]) -> bool {
        let done = self.ledger.set_classes(classes);
        self.check(at, done).is_some()
    }

    /// Whether the write `seq` is durable.
    pub fn is_durable(&self, seq: Seq) -> bool {
        self.ledger.is_durable(seq)
    }

    /// Saves added or changed entries (`now`) of the endpoint list and deletes others (`gone`).
    pub fn save_list(
        &mut self,
        at: Moment,
        source: &str,
        index: u64,
        now: &[millpost_store::ledger::ListedEndpoint],
        gone: &[String],
    ) {
        let done = self.ledger.record_endpoint_list(source, index, now, gone);
        self.check(at, done);
    }

    /// Periodic maintenance, about once a second: runs a step of compaction, and reports once that writes
    /// work again.
    pub fn maintain(&mut self, at: Moment) {
        within(Part::Journal, || self.ledger.maintain(at.wall));
        // Requires that frames were written since the last failure and that the failure was a while ago:
        // neither an idle period nor a single successful write between two failures counts as recovery.
        let next = self.ledger.store().next_seq();
        if self
            .failing
            .is_some_and(|(since, seq)| next > seq && at.now.saturating_sub(since) > RECOVERY_PERIOD)
        {
            self.failing = None;
            eprintln!("store: writes succeed again");
        }
    }

    /// The sync job to run now, if any. Its result must be passed to [`Self::synced`].
    pub fn sync_job(&mut self, at: Moment) -> Option<SyncJob> {
        if self.syncing || at.now < self.sync_at {
            return None;
        }
        let job = self.ledger.sync_job();
        let job = self.check(at, job).flatten();
        self.syncing |= job.is_some();
        job
    }

    /// Processes the result of a sync. If it failed, returns the deferred client replies whose writes will
    /// not become durable.
    pub fn synced(&mut self, at: Moment, synced: SyncResult) -> Vec<Deferred> {
        self.syncing = false;
        let done = self.ledger.finish_sync(synced);
        if self.check(at, done).is_some() {
            return Vec::new();
        }
        self.sync_at = at.now.saturating_add(SYNC_RETRY_DELAY);
        self.deferred.take_client_replies(|seq| self.ledger.is_durable(seq))
    }

    /// Unwraps the result of a write. Logs the first failure of a series.
    fn check<T>(&mut self, at: Moment, done: Result<T, Error>) -> Option<T> {
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
