//! The acceptor side of the registers. Invariant: no reply is sent before the state it depends on is on disk,
//! and no promise is ever withdrawn.
//!
//! The types enforce the first part: [`Voter::handle`] borrows the voter into a [`Step`], and only
//! [`Step::commit`] returns the reply, after the caller's writes have succeeded. Until then no other message
//! can be handled and the voter's state in memory is unchanged.
//!
//! Newer members: a voter that learns of newer chosen members adopts them first, in a separate write. From
//! then on it rejects proposers with older members. A voter that has accepted newer members without knowing
//! that they are chosen rejects such proposers for all other keys and reports that the members may be chosen.
//! The proposer then completes the round for the key `members` before it continues.

use std::collections::BTreeMap;

use crate::Address;
use crate::ballot::{Accepted, Ballot, Key, MAX_CONTENT, Slot, Value};
use crate::lease::LeaseGrantor;
use crate::members::Members;
use crate::record::{self, OpenError, Write};
use crate::recovery::{Recovery, RecoveryProgress};
use crate::wire::Message;

/// The state of a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The disk is empty, and the machine is not one of the members it knows. Sends no replies.
    Empty,
    /// The disk is empty; the voter waits and copies the state of the others. Sends no replies.
    Recovering,
    /// The voter has its state and replies.
    Voting,
}

/// The voter of one machine.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Voter {
    me: Address,
    disk_empty: bool,
    members: Option<Members>,
    /// The format of the records on disk.
    format: u64,
    slots: BTreeMap<Key, Slot>,
    recovery: Recovery,
    grantor: LeaseGrantor,
}

/// The pending result of one message: its writes, and the reply to send after them.
#[derive(Debug)]
#[must_use = "a step has no effect until it is committed"]
pub struct Step<'a> {
    voter: &'a mut Voter,
    adopt: Option<Members>,
    slots: Vec<(Key, Slot)>,
    recovered: bool,
    reply: Option<Message>,
}

impl Step<'_> {
    /// Writes each batch with `sync`, one after the other, and returns the reply that may be sent now.
    ///
    /// `sync` must return only once the whole batch is durable. After an error the batch may or may not be on
    /// disk; the state in memory is unchanged, and the voter should be opened again from its records before
    /// further use.
    pub fn commit<E>(
        mut self,
        mut sync: impl FnMut(&[Write]) -> Result<(), E>,
    ) -> Result<Option<Message>, E> {
        let adopt = self.adopt.take();
        let keys: Vec<_> = self.slots.iter().map(|(key, slot)| record::of_slot(*key, slot)).collect();
        // A record of a kind that older versions do not know raises the format, which is written before that record.
        let format = record::format_of(&keys).max(self.voter.format);
        let newer = if format > self.voter.format { &self.voter.members } else { &None };
        let own: Vec<_> = adopt.iter().chain(newer).take(1).map(|of| record::of_voter(of, format)).collect();
        let own_is_empty = own.is_empty();
        // A recovered state is valid only with the voter's own record, which is therefore written last. Newer
        // members are written before the records that depend on them.
        let batches = if self.recovered { [keys, own] } else { [own, keys] };
        for batch in batches.iter().filter(|batch| !batch.is_empty()) {
            sync(batch)?;
        }
        self.voter.disk_empty = false;
        if !own_is_empty {
            self.voter.format = format;
        }
        self.voter.slots.extend(self.slots);
        if adopt.is_some() {
            self.voter.members = adopt;
        }
        Ok(self.reply)
    }

    /// Whether there is nothing to write.
    pub fn is_read_only(&self) -> bool {
        self.adopt.is_none() && self.slots.is_empty()
    }
}

/// How the members of a request compare with those of this voter.
enum MembersCheck {
    Current,
    /// The request has newer members, which this voter has to adopt.
    Adopt,
    /// This voter knows newer members, and whether they are chosen.
    Newer(Members, bool),
    /// The request is for another register, the sender's members do not include this voter, or they differ at
    /// the same epoch.
    Foreign,
}

impl Voter {
    /// Opens the voter of the machine `me` from its records on disk. `incarnation` differs at each start of
    /// the process, and `now` is the time of the start.
    ///
    /// Without a state on disk the voter is empty, and requests one from the `seeds` and the members they
    /// name.
    pub fn open(
        me: Address,
        records: impl IntoIterator<Item = (String, String)>,
        seeds: Vec<Address>,
        incarnation: u64,
        now: u64,
    ) -> Result<Self, OpenError> {
        let found = record::read(records)?;
        let slots = if found.members.is_some() { found.slots } else { BTreeMap::new() };
        let recovery = Recovery::new(me.clone(), seeds, incarnation, now);
        Ok(Self {
            me,
            disk_empty: !found.any_record,
            members: found.members,
            format: found.format,
            slots,
            recovery,
            grantor: LeaseGrantor::new(now),
        })
    }

    /// Starts a new register with these members, if the disk holds no records at all.
    ///
    /// Use this only for a new register: a voter that lost its disk and is started like this forgets its
    /// promises.
    pub fn bootstrap(&mut self, first: Members) -> Step<'_> {
        let readable = Members::from_json(&first.to_json()).as_ref() == Ok(&first);
        let allowed = self.disk_empty && first.contains(&self.me) && readable;
        Step { adopt: allowed.then_some(first), ..self.step(None) }
    }

    /// Returns the state of the voter.
    pub fn state(&self) -> State {
        match &self.members {
            Some(_) => State::Voting,
            None if self.recovery.is_member() => State::Recovering,
            None => State::Empty,
        }
    }

    /// Returns the newest members that are known to be chosen.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref().or_else(|| self.recovery.members())
    }

    /// Returns the state for a key; its accepted value need not be chosen.
    pub fn slot(&self, key: Key) -> Option<&Slot> {
        self.slots.get(&key)
    }

    /// Returns all records of the voter, if it has a state: what a new disk needs to hold to replace the present one.
    pub fn records(&self) -> Option<Vec<Write>> {
        let members = self.members.as_ref()?;
        let mut all: Vec<_> = self.slots.iter().map(|(key, slot)| record::of_slot(*key, slot)).collect();
        let format = record::format_of(&all).max(self.format);
        all.push(record::of_voter(members, format));
        Some(all)
    }

    /// Returns the time of the next call to [`Voter::on_tick`].
    pub fn next_wake(&self) -> Option<u64> {
        self.members.is_none().then(|| self.recovery.next_wake())
    }

    /// Returns how far the recovery has come, while the voter is one of the members and has no state.
    pub fn recovery_progress(&self) -> Option<RecoveryProgress> {
        if self.state() == State::Recovering { self.recovery.progress() } else { None }
    }

    /// Returns the requests to other voters at this time, while the voter has no state.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if self.members.is_some() { Vec::new() } else { self.recovery.on_tick(now) }
    }

    /// Handles one message. `now` must be read after the message was received.
    ///
    /// The decision on a lease request that brings newer members depends on them, so the grantor is notified
    /// of the members first.
    pub fn handle(&mut self, now: u64, from: &str, message: Message) -> Step<'_> {
        let Some(own) = &self.members else {
            return self.handle_without_state(from, message).notify_grantor(now);
        };
        match message {
            Message::Query { key, tag, members } => self.handle_request(key, tag, members, Self::query),
            Message::Prepare { key, ballot, members } => {
                self.handle_request(key, ballot, members, Self::prepare)
            }
            Message::Write { key, value, members, .. } if !is_decodable(key, &value, &members) => {
                self.step(None)
            }
            Message::Write { key, ballot, value, members } => {
                self.handle_request(key, ballot, members, |voter, key, ballot| {
                    voter.write(key, ballot, value)
                })
            }
            Message::StateRequest { request } => {
                let slots = self.slots.iter().map(|(key, slot)| (*key, slot.clone())).collect();
                let reply = Message::StateReply { request, members: own.clone(), slots };
                self.step(Some(reply))
            }
            Message::LeaseRequest {
                lease,
                holder,
                incarnation,
                request,
                held_epoch,
                previous_holder,
                members,
            } => {
                let (adopt, newer) = match self.check_members(None, &members) {
                    MembersCheck::Current => (None, None),
                    MembersCheck::Adopt => (Some(members), None),
                    MembersCheck::Newer(newer, _) => (None, Some(newer)),
                    MembersCheck::Foreign => return self.step(None),
                };
                if let Some(adopt) = &adopt {
                    self.grantor.on_members(now, Some(own.epoch), adopt);
                }
                let reply = match newer {
                    Some(_) => Message::LeaseDenied {
                        lease,
                        incarnation,
                        request,
                        remaining: 0,
                        newer_members: newer,
                    },
                    None => self.grantor.on_request(
                        now,
                        lease,
                        holder,
                        incarnation,
                        request,
                        held_epoch,
                        previous_holder,
                    ),
                };
                Step { adopt, ..self.step(Some(reply)) }
            }
            Message::LeaseRelease { lease, holder, incarnation, request } => {
                self.grantor.on_release(&lease, &holder, incarnation, request);
                self.step(None)
            }
            _ => self.step(None),
        }
        .notify_grantor(now)
    }

    fn handle_without_state(&mut self, from: &str, message: Message) -> Step<'_> {
        let recovered = match message {
            Message::Query { members, .. }
            | Message::Prepare { members, .. }
            | Message::Write { members, .. } => {
                self.recovery.on_members(&members);
                None
            }
            Message::StateReply { request, members, slots } => {
                self.recovery.on_state(from, request, members, slots)
            }
            _ => None,
        };
        match recovered {
            Some(recovered) => {
                let slots = recovered.slots.into_iter().collect();
                Step { adopt: Some(recovered.members), slots, recovered: true, ..self.step(None) }
            }
            None => self.step(None),
        }
    }

    fn step(&mut self, reply: Option<Message>) -> Step<'_> {
        Step { voter: self, adopt: None, slots: Vec::new(), recovered: false, reply }
    }

    fn check_members(&self, key: Option<Key>, sender: &Members) -> MembersCheck {
        let Some(own) = &self.members else { return MembersCheck::Foreign };
        let consistent = own.epoch != sender.epoch || own == sender;
        if own.uid != sender.uid || !consistent || !sender.contains(&self.me) {
            return MembersCheck::Foreign;
        }
        if own.epoch > sender.epoch {
            return MembersCheck::Newer(own.clone(), true);
        }
        let written = self.slots.get(&Key::Members).and_then(|slot| slot.accepted.as_ref());
        let written =
            written.filter(|accepted| accepted.value.version > sender.epoch && key != Some(Key::Members));
        match written.and_then(|accepted| Members::parse(&accepted.value.content).ok()) {
            Some(newer) if key.is_some() => MembersCheck::Newer(newer, false),
            _ if own.epoch < sender.epoch => MembersCheck::Adopt,
            _ => MembersCheck::Current,
        }
    }

    fn handle_request(
        &mut self,
        key: Key,
        ballot: Ballot,
        members: Members,
        act: impl FnOnce(&Self, Key, Ballot) -> (Option<Slot>, Message),
    ) -> Step<'_> {
        let adopt = match self.check_members(Some(key), &members) {
            MembersCheck::Current => None,
            MembersCheck::Adopt => Some(members),
            MembersCheck::Newer(members, chosen) => {
                return self.step(Some(Message::NewerMembers { key, ballot, members, chosen }));
            }
            MembersCheck::Foreign => return self.step(None),
        };
        let (slot, reply) = act(self, key, ballot);
        let slots = slot.map(|slot| (key, slot)).into_iter().collect();
        Step { adopt, slots, ..self.step(Some(reply)) }
    }

    fn query(&self, key: Key, tag: Ballot) -> (Option<Slot>, Message) {
        let accepted = self.slots.get(&key).and_then(|slot| slot.accepted.clone());
        (None, Message::QueryReply { key, tag, accepted })
    }

    fn prepare(&self, key: Key, ballot: Ballot) -> (Option<Slot>, Message) {
        let Slot { promised, accepted } = self.slots.get(&key).cloned().unwrap_or_default();
        match promised {
            Some(promised) if promised > ballot => (None, Message::Refused { key, ballot, promised }),
            promised => {
                let reply = Message::Promised { key, ballot: ballot.clone(), accepted: accepted.clone() };
                let changed = promised.as_ref() != Some(&ballot);
                (changed.then_some(Slot { promised: Some(ballot), accepted }), reply)
            }
        }
    }

    fn write(&self, key: Key, ballot: Ballot, value: Value) -> (Option<Slot>, Message) {
        let slot = self.slots.get(&key).cloned().unwrap_or_default();
        match slot.promised.clone() {
            Some(promised) if promised > ballot => (None, Message::Refused { key, ballot, promised }),
            _ => {
                let accepted = Some(Accepted { ballot: ballot.clone(), value, copied: false });
                let written = Slot { promised: Some(ballot.clone()), accepted };
                ((slot != written).then_some(written), Message::Wrote { key, ballot })
            }
        }
    }
}

/// Whether a value can be decoded again. A value that cannot must neither be written to disk nor be chosen.
fn is_decodable(key: Key, value: &Value, members: &Members) -> bool {
    let follows = |next: Members| next.epoch == value.version && next.uid == members.uid;
    value.content.len() <= MAX_CONTENT
        && (key != Key::Members || Members::parse(&value.content).is_ok_and(follows))
}

impl Step<'_> {
    /// Notifies the grantor of newer members, which restrict its grants for one lease duration.
    fn notify_grantor(self, now: u64) -> Self {
        if let Some(members) = &self.adopt {
            let before = self.voter.members.as_ref().map(|members| members.epoch);
            self.voter.grantor.on_members(now, before, members);
        }
        self
    }
}
