//! The far side of the hop: what it remembers of each offer that it has heard of.
//!
//! Invariants kept here: an offer is taken on once, and its near side hears so only once that lasts; one that was asked for
//! before it came is void from then on, and a late copy of it is not taken; an end is told until it is acknowledged; what
//! is remembered goes only once the near side has said that it will never speak of it again.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::near::Word;
use crate::planted::Planted;
use crate::{End, HopKey};

/// What the far side remembers of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Record {
    /// It is being written to the store.
    Taking,
    /// It is in the store, and not over.
    Accepted,
    /// It is over, which lasts in the store.
    Ended { end: End },
    /// It was asked for, or refused, before it was taken; `lasts` in the store.
    Void { lasts: bool },
    /// Acknowledged. Remembered so that a late copy is not taken.
    Done,
}

/// Something to be done, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Take the offer on: [`Far::taken`] once that lasts, [`Far::not_taken`] where there is no room.
    Take {
        /// Which.
        key: HopKey,
    },
    /// Keep that it is void: [`Far::void_lasts`] once that lasts.
    KeepVoid {
        /// Which.
        key: HopKey,
    },
    /// Keep that it was acknowledged. Nothing waits for that.
    KeepDone {
        /// Which.
        key: HopKey,
    },
    /// Forget all offers of this near side's store for messages before this one.
    Forget {
        /// The near side's store.
        store: u64,
        /// The first message that is remembered.
        below: u64,
    },
    /// Forget one that is over, since its near side will never speak of it again.
    Drop {
        /// Which.
        key: HopKey,
    },
    /// Say this of an offer, on the link that is up.
    Tell {
        /// Which.
        key: HopKey,
        /// What.
        word: Word,
    },
}

/// Offers that are remembered at most: beyond it one that is not known gets no answer, and its near side holds that it may
/// have run once its time is up. A near side that says what it has settled never comes near.
pub const MOST_RECORDS: usize = 100_000;
/// Near sides whose floor is remembered, at most.
pub const MOST_STORES: usize = 256;

/// What a start finds of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It was taken on, and is not over.
    Accepted,
    /// It is over.
    Ended(End),
    /// It is void.
    Void,
    /// It was acknowledged.
    Done,
}

/// The offers of all near sides to one far side.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Far {
    records: BTreeMap<HopKey, Record>,
    /// By near side's store: offers for messages before that are over for ever.
    floors: BTreeMap<u64, u64>,
    link: bool,
    #[serde(skip)]
    effects: VecDeque<Effect>,
    #[serde(skip)]
    fault: Planted<Fault>,
}

/// Faults that an exploration plants. Never in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A question for an offer that never came leaves no trace.
    ForgetVoid,
    /// What was acknowledged is forgotten at once.
    ForgetDone,
    /// An end is told once.
    TellOnce,
    /// A copy of an offer that is known is taken on again.
    TakeTwice,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 4] = [Fault::ForgetVoid, Fault::ForgetDone, Fault::TellOnce, Fault::TakeTwice];
}

impl Far {
    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Offers that are remembered.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// What the store remembers of an offer.
    pub fn restore(&mut self, key: HopKey, found: Found) {
        let record = match found {
            Found::Accepted => Record::Accepted,
            Found::Ended(end) => Record::Ended { end },
            Found::Void => Record::Void { lasts: true },
            Found::Done => Record::Done,
        };
        self.records.insert(key, record);
    }

    /// What the store remembers of a near side: messages before this one are over for ever.
    pub fn restore_floor(&mut self, store: u64, below: u64) {
        self.floors.insert(store, below);
    }

    fn is_settled(&self, key: HopKey) -> bool {
        self.floors.get(&key.store).is_some_and(|below| key.message < *below)
    }

    /// An offer has come. `room`: it can be taken on; else how long the near side should stay away is for the caller to
    /// say, as [`End::Refused`].
    pub fn offered(&mut self, key: HopKey, room: Result<(), End>) {
        // A late copy: the near side knows its end, and will not speak of it again.
        if self.is_settled(key) {
            return;
        }
        let known = self.records.get(&key).copied().filter(|r| {
            !(self.has(Fault::TakeTwice) && matches!(r, Record::Accepted | Record::Ended { .. }))
        });
        match (known, room) {
            (Some(_), _) => self.tell(key),
            (None, _) if self.records.len() >= MOST_RECORDS => {}
            (None, Ok(())) => {
                self.records.insert(key, Record::Taking);
                self.effects.push_back(Effect::Take { key });
            }
            // Void from here on, or a copy of it could be taken on after the near side went elsewhere. Not in the store: a
            // copy does not outlive the connections of this process.
            (None, Err(end)) => {
                self.records.insert(key, Record::Void { lasts: true });
                self.effects.push_back(Effect::Tell { key, word: Word::Ended(end) });
            }
        }
    }

    /// An offer is in the store.
    pub fn taken(&mut self, key: HopKey) {
        if let Some(record) = self.records.get_mut(&key).filter(|r| **r == Record::Taking) {
            *record = Record::Accepted;
            self.tell(key);
        }
    }

    /// An offer could not be written to the store: it is void.
    pub fn not_taken(&mut self, key: HopKey, end: End) {
        if self.records.get(&key) == Some(&Record::Taking) {
            self.records.insert(key, Record::Void { lasts: true });
            self.effects.push_back(Effect::Tell { key, word: Word::Ended(end) });
        }
    }

    /// The near side asks what became of an offer.
    pub fn asked(&mut self, key: HopKey) {
        if self.is_settled(key) {
            return;
        }
        if self.records.contains_key(&key) {
            return self.tell(key);
        }
        if self.records.len() >= MOST_RECORDS {
            return;
        }
        if self.has(Fault::ForgetVoid) {
            return self.effects.push_back(Effect::Tell { key, word: Word::Void });
        }
        // It may be on its way still, on a connection that the near side has given up.
        self.records.insert(key, Record::Void { lasts: false });
        self.effects.push_back(Effect::KeepVoid { key });
    }

    /// That an offer is void lasts.
    pub fn void_lasts(&mut self, key: HopKey) {
        if let Some(Record::Void { lasts }) = self.records.get_mut(&key) {
            *lasts = true;
            self.tell(key);
        }
    }

    /// An offer is over, and that lasts in the store.
    pub fn ended(&mut self, key: HopKey, end: End) {
        let settled = self.is_settled(key);
        let Some(record @ Record::Accepted) = self.records.get_mut(&key) else { return };
        *record = Record::Ended { end };
        if settled {
            self.records.remove(&key);
            self.effects.push_back(Effect::Drop { key });
        } else {
            self.tell(key);
        }
    }

    /// The near side has the end of an offer, in its store.
    pub fn acknowledged(&mut self, key: HopKey) {
        match self.records.get(&key) {
            Some(Record::Ended { .. } | Record::Void { lasts: true }) if self.has(Fault::ForgetDone) => {
                self.records.remove(&key);
            }
            Some(Record::Ended { .. } | Record::Void { lasts: true }) => {
                self.records.insert(key, Record::Done);
                self.effects.push_back(Effect::KeepDone { key });
            }
            // Given up by the near side while it is under way here: it ends as it will, and nobody need hear how.
            Some(Record::Accepted | Record::Taking | Record::Void { lasts: false } | Record::Done) | None => {
            }
        }
    }

    /// The near side will never speak again of messages before this one.
    pub fn settled(&mut self, store: u64, below: u64) {
        if self.floors.len() >= MOST_STORES && !self.floors.contains_key(&store) {
            return;
        }
        let floor = self.floors.entry(store).or_default();
        if below <= *floor {
            return;
        }
        *floor = below;
        let first = HopKey { store, message: 0, attempt: 0 };
        let end = HopKey { store, message: below, attempt: 0 };
        // What is still under way is kept until it is over.
        let over =
            |record: &Record| matches!(record, Record::Done | Record::Void { .. } | Record::Ended { .. });
        let keys: Vec<HopKey> =
            self.records.range(first..end).filter(|(_, record)| over(record)).map(|(key, _)| *key).collect();
        for key in keys {
            self.records.remove(&key);
        }
        self.effects.push_back(Effect::Forget { store, below });
    }

    /// The link is up: what is over and was not acknowledged is told again.
    pub fn link_up(&mut self) {
        self.link = true;
        let told = |record: &Record| matches!(record, Record::Ended { .. });
        let keys: Vec<HopKey> =
            self.records.iter().filter(|(_, record)| told(record)).map(|(key, _)| *key).collect();
        if !self.has(Fault::TellOnce) {
            keys.into_iter().for_each(|key| self.tell(key));
        }
    }

    /// The link is gone.
    pub fn link_down(&mut self) {
        self.link = false;
    }

    /// Says what is known of an offer, where it lasts and anybody hears.
    fn tell(&mut self, key: HopKey) {
        let word = match self.records.get(&key) {
            Some(Record::Accepted) => Word::Accepted,
            Some(Record::Ended { end }) => Word::Ended(*end),
            Some(Record::Void { lasts: true }) => Word::Void,
            _ => return,
        };
        if self.link {
            self.effects.push_back(Effect::Tell { key, word });
        }
    }

    /// Plants a fault, or none.
    #[cfg(feature = "faults")]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.fault.set(fault);
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault.is(&fault)
    }
}
