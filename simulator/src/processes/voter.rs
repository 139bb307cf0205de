//! A voter with its disk: one message at a time, and its answer only once what it rests on lasts. After `controller/src/voter_thread.rs`.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use millpost_quorum::{Key, Members, Message, State, Value, Voter, Write};

use super::ProcessContext;
use crate::mutation::Mutation;
use crate::rng::Rng;
use crate::{MS, Time};

/// Messages that may wait for the disk.
const WAITING: usize = 500;

/// The disk of a machine. It outlasts processes.
#[derive(Default)]
pub struct Disk {
    synced: BTreeMap<String, String>,
    /// Written, and not synced before that time.
    unsynced_writes: Vec<(Time, Write)>,
    /// How long a write with its sync takes.
    sync: Time,
    /// Slower by a factor, until then.
    pub slow: (f64, Time),
    /// It takes nothing until then.
    pub full_until: Time,
    /// Nothing comes back before.
    pub hangs_until: Time,
    free: Time,
}

impl Disk {
    /// An empty one.
    pub fn new(sync: Time) -> Self {
        Disk { sync, ..Disk::default() }
    }

    /// Writes a batch; when it lasts, where there is room for it.
    fn put(&mut self, now: Time, batch: &[Write], synced: bool) -> Result<Time, ()> {
        if now < self.full_until {
            return Err(());
        }
        let start = now.max(self.free).max(self.hangs_until);
        let times = if start < self.slow.1 { self.slow.0 } else { 1.0 };
        let done = start + (self.sync as f64 * times) as Time;
        self.free = done;
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

    /// The machine loses power: of what was not synced some is there, at times nothing.
    pub fn cut(&mut self, now: Time, rng: &mut Rng) {
        self.settle(now);
        let none = rng.chance(0.3);
        for (_, write) in std::mem::take(&mut self.unsynced_writes) {
            if !none && rng.chance(0.5) {
                self.synced.insert(write.key, write.text);
            }
        }
        (self.free, self.hangs_until) = (0, 0);
    }

    /// A process has ended: what it wrote is there.
    pub fn left(&mut self) {
        for (_, write) in std::mem::take(&mut self.unsynced_writes) {
            self.synced.insert(write.key, write.text);
        }
    }

    /// It is empty.
    pub fn wipe(&mut self) {
        self.synced.clear();
        self.unsynced_writes.clear();
    }

    fn records(&self) -> BTreeMap<String, String> {
        let mut all = self.synced.clone();
        all.extend(self.unsynced_writes.iter().map(|(_, w)| (w.key.clone(), w.text.clone())));
        all
    }
}

/// A voter, and what waits for it.
pub struct VoterProcess {
    voter: Voter,
    waiting: VecDeque<(u64, CompactString, Message)>,
    skip_sync: bool,
}

/// An answer: of which message, what, and when it may go.
pub type Answer = (u64, Option<Message>, Time);

impl VoterProcess {
    /// Opens what is on the disk. `first`: the whole system starts on empty disks.
    pub fn open(now: Time, context: &ProcessContext, disk: &mut Disk, first: Option<Members>) -> Self {
        let mut voter = Self::read(now, context, disk);
        if let Some(first) = first {
            let put = |batch: &[Write]| disk.put(now, batch, true).map(drop);
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
            Voter::open(me.clone(), records, seeds.clone(), context.life, now)
        };
        open(disk.records()).unwrap_or_else(|_| {
            // What can't be read counts as wiped.
            disk.wipe();
            open(BTreeMap::new()).unwrap_or_else(|e| unreachable!("an empty disk opens: {e}"))
        })
    }

    /// Whether it votes, and the members it knows.
    pub fn voter_status(&self) -> (bool, Option<Members>) {
        (self.voter.state() == State::Voting, self.voter.members().cloned())
    }

    /// The configuration that stands on this disk, chosen or not.
    pub fn peek(&self) -> Option<Value> {
        self.voter.slot(Key::Config).and_then(|slot| slot.accepted.as_ref()).map(|a| a.value.clone())
    }

    /// A message under the caller's number.
    pub fn hand(&mut self, id: u64, from: CompactString, message: Message) {
        if self.waiting.len() < WAITING {
            self.waiting.push_back((id, from, message));
        }
    }

    /// Works off what waits, as far as the disk allows; and what the voter asks of others.
    pub fn work(
        &mut self,
        now: Time,
        context: &ProcessContext,
        disk: &mut Disk,
    ) -> (Vec<Answer>, Vec<(CompactString, Message)>) {
        let mut answers = Vec::new();
        while now >= disk.free.max(disk.hangs_until) {
            let Some((id, from, message)) = self.waiting.pop_front() else { break };
            let (mut done, skip_sync) = (now, self.skip_sync);
            let put = |batch: &[Write]| -> Result<(), ()> {
                done = disk.put(done, batch, !skip_sync)?;
                Ok(())
            };
            match self.voter.handle(now, &from, message).commit(put) {
                Ok(answer) => answers.push((id, answer, done)),
                // What could not be written is not: the records are read anew.
                Err(()) => self.voter = Self::read(now, context, disk),
            }
        }
        let due = self.voter.next_wake().is_some_and(|at| at <= now);
        (answers, if due { self.voter.on_tick(now) } else { Vec::new() })
    }

    /// When [`VoterProcess::work`] is due.
    pub fn wake(&self, disk: &Disk) -> Time {
        let queue = if self.waiting.is_empty() { Time::MAX } else { disk.free.max(disk.hangs_until) };
        queue.min(self.voter.next_wake().unwrap_or(Time::MAX))
    }
}
