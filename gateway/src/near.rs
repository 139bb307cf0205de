//! The near side of the hop: what it knows of each offer that it has made.
//!
//! Invariants kept here: an offer is written once, after it was noted; where the link breaks before the far side said that
//! it has it, the far side is *asked* and nothing is sent again; each offer has exactly one outcome, and that it never ran
//! is only said where the far side has said so, or where not a byte of it was written; the far side's word of an end is
//! acknowledged only once the outcome lasts here.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use crate::planted::Planted;
use crate::{End, HopKey, Nanos};

/// What the near side knows of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Stage {
    /// It is to be noted before a byte of it goes out.
    Noting,
    /// It was written, or may have been, and no word of it came.
    Offered,
    /// The far side has it, in its store.
    Accepted,
    /// Its outcome is given, and does not last yet. The far side may know of it.
    Over { far_knows: bool },
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Offer {
    stage: Stage,
    /// The far side's store when it was written: one that has lost its folder knows nothing of it.
    epoch: u64,
    /// When the message's time is up here.
    deadline: Nanos,
}

/// How an offer ended for the near side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The far side says how it ended.
    Ended(End),
    /// It never ran, and never will: the far side has never had it, or not a byte of it was written.
    Void,
    /// Nobody can say: its time is up with the link down, or the far side has lost its memory. It may have run.
    Unknown,
}

/// Something to be done, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Note the offer, with the far side's store; [`Near::noted`] once that lasts, [`Near::not_noted`] where it fails.
    Note {
        /// Which.
        key: HopKey,
        /// The far side's store.
        epoch: u64,
    },
    /// Write the offer on the link that is up.
    Offer {
        /// Which.
        key: HopKey,
        /// Time that is left to it.
        left: Nanos,
    },
    /// Ask what became of it.
    Ask {
        /// Which.
        key: HopKey,
    },
    /// It has its outcome; [`Near::lasts`] once that lasts here. [`Outcome::Void`] for one that was never noted needs no word.
    Done {
        /// Which.
        key: HopKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// Tell the far side that it may forget it.
    Acknowledge {
        /// Which.
        key: HopKey,
    },
}

/// What the far side says of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It has it, in its store.
    Accepted,
    /// It is over there.
    Ended(End),
    /// It never had it, and never will take it.
    Void,
}

/// The offers of one near side to one far side.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Near {
    offers: BTreeMap<HopKey, Offer>,
    /// The far side's store, while the link is up.
    link: Option<u64>,
    #[serde(skip)]
    effects: VecDeque<Effect>,
    #[serde(skip)]
    fault: Planted<Fault>,
}

/// Faults that an exploration plants. Never in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// What is in doubt is sent again and not asked for.
    SendAgain,
    /// A link that breaks before a word came proves that nothing arrived.
    CutIsVoid,
    /// The far side is told to forget before the outcome lasts here.
    AcknowledgeEarly,
    /// A far side that has lost its folder is believed that it never had an offer.
    BelieveTheForgetful,
    /// An offer goes out before it was noted.
    OfferBeforeNoting,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 5] = [
        Fault::SendAgain,
        Fault::CutIsVoid,
        Fault::AcknowledgeEarly,
        Fault::BelieveTheForgetful,
        Fault::OfferBeforeNoting,
    ];
}

impl Near {
    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Offers that have no outcome yet.
    pub fn open(&self) -> usize {
        self.offers.values().filter(|offer| !matches!(offer.stage, Stage::Over { .. })).count()
    }

    /// A message is to be offered. Without a link nothing is begun: the outcome is [`Outcome::Void`].
    pub fn offer(&mut self, key: HopKey, now: Nanos, deadline: Nanos) {
        let Some(epoch) = self.link.filter(|_| deadline > now) else {
            return self.effects.push_back(Effect::Done { key, outcome: Outcome::Void });
        };
        self.offers.insert(key, Offer { stage: Stage::Noting, epoch, deadline });
        if self.has(Fault::OfferBeforeNoting) {
            self.write(key, now);
        }
        self.effects.push_back(Effect::Note { key, epoch });
    }

    /// The note of an offer lasts: it may be written, if the link that it was meant for is still up.
    pub fn noted(&mut self, key: HopKey, now: Nanos) {
        let Some(offer) = self.offers.get(&key).filter(|offer| offer.stage == Stage::Noting) else { return };
        // Not a byte of it was written.
        if self.link != Some(offer.epoch) || offer.deadline <= now {
            return self.over(key, Outcome::Void, false);
        }
        self.write(key, now);
    }

    fn write(&mut self, key: HopKey, now: Nanos) {
        let Some(offer) = self.offers.get_mut(&key) else { return };
        offer.stage = Stage::Offered;
        self.effects.push_back(Effect::Offer { key, left: offer.deadline.saturating_sub(now) });
    }

    /// The note of an offer could not be written: not a byte of it goes out.
    pub fn not_noted(&mut self, key: HopKey) {
        if self.offers.get(&key).is_some_and(|offer| offer.stage == Stage::Noting) {
            self.over(key, Outcome::Void, false);
        }
    }

    /// An offer that was noted before a restart and has no outcome: it may have been written.
    pub fn restore(&mut self, key: HopKey, epoch: u64, deadline: Nanos) {
        self.offers.insert(key, Offer { stage: Stage::Offered, epoch, deadline });
    }

    /// The link is up, to a far side with this store. Whatever is in doubt is asked for, oldest first.
    pub fn link_up(&mut self, epoch: u64) {
        self.link = Some(epoch);
        let keys: Vec<HopKey> = self.offers.keys().copied().collect();
        for key in keys {
            let Some(offer) = self.offers.get(&key) else { continue };
            match offer.stage {
                Stage::Offered | Stage::Accepted => {
                    if self.has(Fault::SendAgain) {
                        self.effects.push_back(Effect::Offer { key, left: 1 });
                    } else {
                        self.effects.push_back(Effect::Ask { key });
                    }
                }
                Stage::Noting | Stage::Over { .. } => {}
            }
        }
    }

    /// The link is gone. What was written on it may or may not have arrived.
    pub fn link_down(&mut self) {
        self.link = None;
        if self.has(Fault::CutIsVoid) {
            let in_doubt = |(_, offer): &(&HopKey, &Offer)| offer.stage == Stage::Offered;
            let keys: Vec<HopKey> = self.offers.iter().filter(in_doubt).map(|(key, _)| *key).collect();
            keys.into_iter().for_each(|key| self.over(key, Outcome::Void, false));
        }
    }

    /// The far side says something of an offer.
    pub fn heard(&mut self, key: HopKey, word: Word) {
        let Some(offer) = self.offers.get_mut(&key) else {
            // Over here, and that lasts, or never ours: an end that is told again is acknowledged again.
            if matches!(word, Word::Ended(_)) {
                self.effects.push_back(Effect::Acknowledge { key });
            }
            return;
        };
        let (stage, epoch) = (offer.stage, offer.epoch);
        match (stage, word) {
            // Nothing of it was written: a word of it is nonsense.
            (Stage::Noting, _) => {}
            // Told late, or once more: acknowledged once the outcome that was given lasts.
            (Stage::Over { .. }, _) => {}
            (_, Word::Accepted) => offer.stage = Stage::Accepted,
            (_, Word::Ended(end)) => self.over(key, Outcome::Ended(end), true),
            (_, Word::Void) => {
                // A store that was made since the offer was written can't know. Nor can one be believed that had said it had it.
                let forgot = self.link != Some(epoch) || stage == Stage::Accepted;
                let unknown = forgot && !self.has(Fault::BelieveTheForgetful);
                self.over(key, if unknown { Outcome::Unknown } else { Outcome::Void }, true);
            }
        }
    }

    /// Time has passed: what has none left is given up. It may have run.
    pub fn tick(&mut self, now: Nanos) {
        let late =
            |offer: &Offer| offer.deadline <= now && matches!(offer.stage, Stage::Offered | Stage::Accepted);
        let keys: Vec<HopKey> = self.offers.iter().filter(|(_, o)| late(o)).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.over(key, Outcome::Unknown, true));
    }

    /// When [`Self::tick`] is due next.
    pub fn next(&self) -> Option<Nanos> {
        let waits = |o: &&Offer| matches!(o.stage, Stage::Offered | Stage::Accepted);
        self.offers.values().filter(waits).map(|offer| offer.deadline).min()
    }

    /// The outcome of an offer lasts: the far side may forget it. With the link down it tells the end again once that is
    /// up, and is told so then.
    pub fn lasts(&mut self, key: HopKey) {
        let Some(Stage::Over { far_knows }) = self.offers.get(&key).map(|offer| offer.stage) else { return };
        self.offers.remove(&key);
        if far_knows && self.link.is_some() {
            self.effects.push_back(Effect::Acknowledge { key });
        }
    }

    /// Nothing will be said any more of messages before this one: the far side may forget them all. `least` is the least
    /// message that may be offered yet, or once more.
    pub fn settled_below(&self, least: u64) -> u64 {
        self.offers.keys().map(|key| key.message).min().unwrap_or(least).min(least)
    }

    fn over(&mut self, key: HopKey, outcome: Outcome, far_knows: bool) {
        if let Some(offer) = self.offers.get_mut(&key) {
            offer.stage = Stage::Over { far_knows };
            if self.has(Fault::AcknowledgeEarly) && far_knows {
                self.effects.push_back(Effect::Acknowledge { key });
            }
            self.effects.push_back(Effect::Done { key, outcome });
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
