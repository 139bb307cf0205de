//! One voter; keeps: nothing it says goes out before what it rests on is on disk, and no promise is ever taken back.
//!
//! The first half is in the types: [`Voter::handle`] lends the voter to a [`Step`], and the answer comes out of
//! [`Step::commit`] only, after the caller's writes returned without an error. Until then nothing else can be handled
//! and the voter's memory is as it was.
//!
//! Newer members: a voter that hears of chosen newer members adopts them first, in a write of its own. From then on it
//! turns older proposers down. One that has accepted newer members, not knowing them chosen, does so for all other keys
//! and says that they may be chosen; the proposer then finishes the round of the members before it goes on.

use std::collections::BTreeMap;

use crate::Address;
use crate::ballot::{Accepted, Ballot, Key, MAX_CONTENT, Slot, Value};
use crate::lease::LeaseGrantor;
use crate::members::Members;
use crate::record::{self, OpenError, Write};
use crate::recovery::Recovery;
use crate::wire::Message;

/// What a voter is up to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// An empty disk; knows of no members that name it. Says nothing.
    Empty,
    /// An empty disk; waits, and copies from the others. Says nothing else.
    Recovering,
    /// Has a state and answers.
    Voting,
}

/// One machine's voter.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Voter {
    me: Address,
    empty: bool,
    members: Option<Members>,
    /// The format of the records on disk.
    format: u64,
    slots: BTreeMap<Key, Slot>,
    recovery: Recovery,
    grantor: LeaseGrantor,
}

/// What came of one message: first to disk, then out.
#[derive(Debug)]
#[must_use = "nothing has happened until the step is carried out"]
pub struct Step<'a> {
    voter: &'a mut Voter,
    adopt: Option<Members>,
    slots: Vec<(Key, Slot)>,
    copied: bool,
    reply: Option<Message>,
}

impl Step<'_> {
    /// Put each batch on disk with `sync`, one after the other, and get what may be said now.
    ///
    /// `sync` returns once the whole batch would outlast a power loss. After an error the disk holds the batch or not;
    /// the voter is as before, and its records should be opened anew before it is used again.
    pub fn commit<E>(
        mut self,
        mut sync: impl FnMut(&[Write]) -> Result<(), E>,
    ) -> Result<Option<Message>, E> {
        let adopt = self.adopt.take();
        // The first record of moves makes the format newer, which is told before it.
        let format =
            record::format_of(self.voter.slots.keys().chain(self.slots.iter().map(|(key, _)| key)).copied());
        let newer = if format > self.voter.format { &self.voter.members } else { &None };
        let own: Vec<_> = adopt.iter().chain(newer).take(1).map(|of| record::of_voter(of, format)).collect();
        let keys: Vec<_> = self.slots.iter().map(|(key, slot)| record::of_slot(*key, slot)).collect();
        let own_is_empty = own.is_empty();
        // A copy counts only with the voter's own record, which is last; newer members come before what they allow.
        let batches = if self.copied { [keys, own] } else { [own, keys] };
        for batch in batches.iter().filter(|batch| !batch.is_empty()) {
            sync(batch)?;
        }
        self.voter.empty = false;
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

/// Whether a request's members are those that stand here.
enum Standing {
    Current,
    Adopt,
    Newer(Members, bool),
    Foreign,
}

impl Voter {
    /// Of the machine `me`, from what is on its disk. `life` differs at each start of the process, which is `now`.
    ///
    /// Without a state on disk the voter is blank, and asks the `seeds` (and the members they name) for one.
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
            empty: !found.any,
            members: found.members,
            format: found.format,
            slots,
            recovery,
            grantor: LeaseGrantor::new(now),
        })
    }

    /// Start the register with these members, if the disk held nothing at all.
    ///
    /// Only for a register that is new: an emptied disk that is started so forgets what it had promised.
    pub fn bootstrap(&mut self, first: Members) -> Step<'_> {
        let readable = Members::from_json(&first.to_json()).as_ref() == Ok(&first);
        let wanted = self.empty && first.contains(&self.me) && readable;
        Step { adopt: wanted.then_some(first), ..self.step(None) }
    }

    /// What it is up to.
    pub fn state(&self) -> State {
        match &self.members {
            Some(_) => State::Voting,
            None if self.recovery.is_member() => State::Recovering,
            None => State::Empty,
        }
    }

    /// The newest members it knows to be chosen.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref().or_else(|| self.recovery.members())
    }

    /// What stands here, chosen or not.
    pub fn slot(&self, key: Key) -> Option<&Slot> {
        self.slots.get(&key)
    }

    /// When to call [`Voter::on_tick`] next.
    pub fn next_wake(&self) -> Option<u64> {
        self.members.is_none().then(|| self.recovery.next_wake())
    }

    /// What to ask the others now, while it has no state.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if self.members.is_some() { Vec::new() } else { self.recovery.on_tick(now) }
    }

    /// One message. `now` is read after it came in.
    ///
    /// A grant that comes with newer members rests on them, so the grantor is told before it is asked.
    pub fn handle(&mut self, now: u64, from: &str, message: Message) -> Step<'_> {
        let Some(mine) = &self.members else { return self.handle_blank(from, message).moved(now) };
        match message {
            Message::Query { key, tag, members } => self.stand(key, tag, members, Self::look),
            Message::Prepare { key, ballot, members } => self.stand(key, ballot, members, Self::prepare),
            Message::Write { key, value, members, .. } if !fits(key, &value, &members) => self.step(None),
            Message::Write { key, ballot, value, members } => {
                self.stand(key, ballot, members, |voter, key, ballot| voter.write(key, ballot, value))
            }
            Message::StateRequest { request } => {
                let slots = self.slots.iter().map(|(key, slot)| (*key, slot.clone())).collect();
                let reply = Message::StateReply { request, members: mine.clone(), slots };
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
                let (adopt, newer) = match self.standing(None, &members) {
                    Standing::Current => (None, None),
                    Standing::Adopt => (Some(members), None),
                    Standing::Newer(newer, _) => (None, Some(newer)),
                    Standing::Foreign => return self.step(None),
                };
                if let Some(adopt) = &adopt {
                    self.grantor.moved(now, Some(mine.epoch), adopt);
                }
                let reply = match newer {
                    Some(_) => Message::LeaseDenied {
                        lease,
                        incarnation,
                        request,
                        remaining: 0,
                        newer_members: newer,
                    },
                    None => self.grantor.on_ask(
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
        .moved(now)
    }

    fn handle_blank(&mut self, from: &str, message: Message) -> Step<'_> {
        let recovered = match message {
            Message::Query { members, .. }
            | Message::Prepare { members, .. }
            | Message::Write { members, .. } => {
                self.recovery.told(&members);
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
                Step { adopt: Some(recovered.members), slots, copied: true, ..self.step(None) }
            }
            None => self.step(None),
        }
    }

    fn step(&mut self, reply: Option<Message>) -> Step<'_> {
        Step { voter: self, adopt: None, slots: Vec::new(), copied: false, reply }
    }

    fn standing(&self, key: Option<Key>, theirs: &Members) -> Standing {
        let Some(mine) = &self.members else { return Standing::Foreign };
        let same = mine.epoch != theirs.epoch || mine == theirs;
        if mine.uid != theirs.uid || !same || !theirs.contains(&self.me) {
            return Standing::Foreign;
        }
        if mine.epoch > theirs.epoch {
            return Standing::Newer(mine.clone(), true);
        }
        let written = self.slots.get(&Key::Members).and_then(|slot| slot.accepted.as_ref());
        let written =
            written.filter(|accepted| accepted.value.version > theirs.epoch && key != Some(Key::Members));
        match written.and_then(|accepted| Members::parse(&accepted.value.content).ok()) {
            Some(newer) if key.is_some() => Standing::Newer(newer, false),
            _ if mine.epoch < theirs.epoch => Standing::Adopt,
            _ => Standing::Current,
        }
    }

    fn stand(
        &mut self,
        key: Key,
        ballot: Ballot,
        members: Members,
        act: impl FnOnce(&Self, Key, Ballot) -> (Option<Slot>, Message),
    ) -> Step<'_> {
        let adopt = match self.standing(Some(key), &members) {
            Standing::Current => None,
            Standing::Adopt => Some(members),
            Standing::Newer(members, chosen) => {
                return self.step(Some(Message::NewerMembers { key, ballot, members, chosen }));
            }
            Standing::Foreign => return self.step(None),
        };
        let (slot, reply) = act(self, key, ballot);
        let slots = slot.map(|slot| (key, slot)).into_iter().collect();
        Step { adopt, slots, ..self.step(Some(reply)) }
    }

    fn look(&self, key: Key, tag: Ballot) -> (Option<Slot>, Message) {
        let accepted = self.slots.get(&key).and_then(|slot| slot.accepted.clone());
        (None, Message::QueryReply { key, tag, accepted })
    }

    fn prepare(&self, key: Key, ballot: Ballot) -> (Option<Slot>, Message) {
        let Slot { promised, accepted } = self.slots.get(&key).cloned().unwrap_or_default();
        match promised {
            Some(promised) if promised > ballot => (None, Message::Refused { key, ballot, promised }),
            promised => {
                let reply = Message::Promised { key, ballot: ballot.clone(), accepted: accepted.clone() };
                let news = promised.as_ref() != Some(&ballot);
                (news.then_some(Slot { promised: Some(ballot), accepted }), reply)
            }
        }
    }

    fn write(&self, key: Key, ballot: Ballot, value: Value) -> (Option<Slot>, Message) {
        let slot = self.slots.get(&key).cloned().unwrap_or_default();
        match slot.promised.clone() {
            Some(promised) if promised > ballot => (None, Message::Refused { key, ballot, promised }),
            _ => {
                let accepted = Some(Accepted { ballot: ballot.clone(), value, copied: false });
                let wanted = Slot { promised: Some(ballot.clone()), accepted };
                ((slot != wanted).then_some(wanted), Message::Wrote { key, ballot })
            }
        }
    }
}

/// Whether a value could be read back: one that can't must not get to the disk, nor to be chosen.
fn fits(key: Key, value: &Value, members: &Members) -> bool {
    let follows = |next: Members| next.epoch == value.version && next.uid == members.uid;
    value.content.len() <= MAX_CONTENT
        && (key != Key::Members || Members::parse(&value.content).is_ok_and(follows))
}

impl Step<'_> {
    /// Newer members make the grantor wary for a lease.
    fn moved(self, now: u64) -> Self {
        if let Some(members) = &self.adopt {
            let before = self.voter.members.as_ref().map(|members| members.epoch);
            self.voter.grantor.moved(now, before, members);
        }
        self
    }
}
