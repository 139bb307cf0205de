//! A voter with its simulated disk. It handles one message at a time and responds only once the writes behind
//! the response are synced, like `controller/src/voter_thread.rs`.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use millpost_quorum::{Key, Members, Message, State, Value, Voter, Write};

use super::ProcessContext;
use crate::mutation::Mutation;
use crate::rng::Rng;
use crate::{MS, Time};

/// Maximum number of messages that wait for the disk; further ones are dropped.
const WAITING: usize = 500;

/// The disk of a machine. Its content survives process restarts.
#[derive(Default)]
pub struct Disk {
    synced: BTreeMap<String, String>,
    /// Writes that are synced at the given time.
    unsynced_writes: Vec<(Time, Write)>,
    /// Duration of a write with its sync.
    sync: Time,
    /// Slowdown factor, and until when it applies.
    pub slow: (f64, Time),
    /// Writes fail before this time.
    pub full_until: Time,
    /// No operation completes before this time.
    pub stalled_until: Time,
    busy_until: Time,
    /// Whether the first controller on this disk was added to the running system; `None` before its start.
    added: Option<bool>,
}

impl Disk {
    /// An empty disk with this duration of a write.
    pub fn new(sync: Time) -> Self {
        Disk { sync, ..Disk::default() }
    }

    /// Whether the controller that starts on this disk was added to the running system, as `origin.rs` of the
    /// controller finds out.
    pub fn was_added(&mut self, bootstrap: bool) -> bool {
        *self.added.get_or_insert(!bootstrap)
    }

    /// Writes a batch. Returns when it is complete, or an error if the disk is full.
    fn write(&mut self, now: Time, batch: &[Write], synced: bool) -> Result<Time, ()> {
        if now < self.full_until {
            return Err(());
        }
        let start = now.max(self.busy_until).max(self.stalled_until);
        let times = if start < self.slow.1 { self.slow.0 } else { 1.0 };
        let done = start + (self.sync as f64 * times) as Time;
        self.busy_until = done;
        let lasts = if synced { done } else { done + 60_000 * MS };
        self.unsynced_writes.extend(batch.iter().map(|write| (lasts, write.clone())));
        self.settle(now);
        Ok(done)
    }

    fn settle(&mut self, now: Time) {
        let synced = &mut self.synced;
        self.unsynced_writes.retain(|(at, write)| {
            let lasts = *at <= now;
            if lasts {
                synced.insert(write.key.clone(), write.text.clone());
            }
            !lasts
        });
    }

    /// Power loss: each unsynced write survives with probability one half, and in three of ten cases none
    /// does.
    pub fn power_loss(&mut self, now: Time, rng: &mut Rng) {
        self.settle(now);
        let none = rng.chance(0.3);
        for (_, write) in std::mem::take(&mut self.unsynced_writes) {
            if !none && rng.chance(0.5) {
                self.synced.insert(write.key, write.text);
            }
        }
        (self.busy_until, self.stalled_until) = (0, 0);
    }

    /// The process ended, but the operating system did not: all writes survive.
    pub fn process_exited(&mut self) {
        for (_, write) in std::mem::take(&mut self.unsynced_writes) {
            self.synced.insert(write.key, write.text);
        }
    }

    /// Erases the disk.
    pub fn wipe(&mut self) {
        self.synced.clear();
        self.unsynced_writes.clear();
        self.added = None;
    }

    fn records(&self) -> BTreeMap<String, String> {
        let mut all = self.synced.clone();
        all.extend(self.unsynced_writes.iter().map(|(_, w)| (w.key.clone(), w.text.clone())));
        all
    }
}

/// A voter and its queue of messages.
pub struct VoterProcess {
    voter: Voter,
    waiting: VecDeque<(u64, CompactString, Message)>,
    skip_sync: bool,
}

/// A response: id of the message, content, and when it may be sent.
pub type Answer = (u64, Option<Message>, Time);

impl VoterProcess {
    /// Opens the records on the disk. `first`: members to bootstrap with if the whole system starts on empty
    /// disks.
    pub fn open(now: Time, context: &ProcessContext, disk: &mut Disk, first: Option<Members>) -> Self {
        let mut voter = Self::read(now, context, disk);
        if let Some(first) = first {
            let put = |batch: &[Write]| disk.write(now, batch, true).map(drop);
            let _ = voter.bootstrap(first).commit(put);
        }
        VoterProcess {
            voter,
            waiting: VecDeque::new(),
            skip_sync: context.mutation == Some(Mutation::UnsyncedVotes),
        }
    }

    fn read(now: Time, context: &ProcessContext, disk: &mut Disk) -> Voter {
        let (me, seeds) = (context.address.clone(), context.seeds.clone());
        let open = |records: BTreeMap<String, String>| {
            Voter::open(me.clone(), records, seeds.clone(), context.incarnation, now)
        };
        open(disk.records()).unwrap_or_else(|_| {
            // Unreadable records are treated as a wiped disk.
            disk.wipe();
            open(BTreeMap::new()).unwrap_or_else(|e| unreachable!("an empty disk opens: {e}"))
        })
    }

    /// Whether it votes, and the members it knows.
    pub fn voter_status(&self) -> (bool, Option<Members>) {
        (self.voter.state() == State::Voting, self.voter.members().cloned())
    }

    /// The configuration accepted on this disk, chosen or not.
    pub fn accepted_config(&self) -> Option<Value> {
        self.voter.slot(Key::Config).and_then(|slot| slot.accepted.as_ref()).map(|a| a.value.clone())
    }

    /// Queues a message under the caller's id.
    pub fn enqueue(&mut self, id: u64, from: CompactString, message: Message) {
        if self.waiting.len() < WAITING {
            self.waiting.push_back((id, from, message));
        }
    }

    /// Handles queued messages as far as the disk allows. Returns the responses, and the voter's own requests
    /// to other voters.
    pub fn work(
        &mut self,
        now: Time,
        context: &ProcessContext,
        disk: &mut Disk,
    ) -> (Vec<Answer>, Vec<(CompactString, Message)>) {
        let mut answers = Vec::new();
        while now >= disk.busy_until.max(disk.stalled_until) {
            let Some((id, from, message)) = self.waiting.pop_front() else { break };
            let (mut done, skip_sync) = (now, self.skip_sync);
            let put = |batch: &[Write]| -> Result<(), ()> {
                done = disk.write(done, batch, !skip_sync)?;
                Ok(())
            };
            match self.voter.handle(now, &from, message).commit(put) {
                Ok(answer) => answers.push((id, answer, done)),
                // The write failed: discard the state in memory and reload the records.
                Err(()) => self.voter = Self::read(now, context, disk),
            }
        }
        let due = self.voter.next_wake().is_some_and(|at| at <= now);
        (answers, if due { self.voter.on_tick(now) } else { Vec::new() })
    }

    /// When [`VoterProcess::work`] is due.
    pub fn wake(&self, disk: &Disk) -> Time {
        let queue = if self.waiting.is_empty() { Time::MAX } else { disk.busy_until.max(disk.stalled_until) };
        queue.min(self.voter.next_wake().unwrap_or(Time::MAX))
    }
}
