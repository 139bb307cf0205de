//! What must not be, in one log: each breach with the record that shows it. No I/O; what is heard of is bounded by what the
//! log names.

use std::collections::{BTreeMap, HashMap};

use millpost_tier::lending::even_share;
use millpost_tier::versions::ActiveVersions;
use serde::Serialize;

use crate::Nanos;
use crate::entry::{Entry, Head, State};
use crate::read::Names;

/// A rule of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Nothing new to an endpoint that drains, is out by hand, or is gone, past its time.
    Drain,
    /// Nothing on a lending after its end.
    Lending,
    /// Whoever is shut out takes nothing new, and lends nothing.
    ShutOut,
    /// Nothing under an epoch that was superseded.
    Epoch,
    /// One owner for each message.
    Owner,
    /// No version goes backwards.
    Backwards,
}

/// All rules, in their order.
pub const RULES: [Rule; 6] =
    [Rule::Drain, Rule::Lending, Rule::ShutOut, Rule::Epoch, Rule::Owner, Rule::Backwards];

impl Rule {
    /// In words.
    pub fn text(self) -> &'static str {
        match self {
            Rule::Drain => "a call past a drain or a cordon",
            Rule::Lending => "a call on a lending after its end",
            Rule::ShutOut => "an act while shut out",
            Rule::Epoch => "an act under an epoch that was superseded",
            Rule::Owner => "two owners of one message",
            Rule::Backwards => "a version that went backwards",
        }
    }
}

/// A breach.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Of which rule.
    pub rule: Rule,
    /// By which dispatcher.
    pub by: u16,
    /// When, by its clock.
    pub at: Nanos,
    /// The message, where it is about one.
    pub message: Option<u64>,
    /// What was seen.
    pub what: String,
    /// On which standing.
    pub standing: Option<ActiveVersions>,
}

/// Nobody is blamed for less: a clock that is read before the call is written.
const SLACK: Nanos = 100_000_000;

#[derive(Debug, Default)]
struct Lendings {
    /// Borrowed: how much, and until when at the latest.
    borrowed: Vec<(u32, Nanos)>,
    /// What it took itself to have: part, until, afterwards.
    part: Option<(u32, Nanos, u32)>,
}

/// Watches one log.
#[derive(Debug, Default)]
pub struct Watch {
    states: HashMap<u64, (State, Nanos)>,
    lendings: BTreeMap<u64, Lendings>,
    out: bool,
    epochs: BTreeMap<u16, u32>,
    last: Option<ActiveVersions>,
    whole: bool,
    highest_life: u32,
    /// Breaches so far, and those of them that are kept.
    pub counts: BTreeMap<Rule, u64>,
    /// See there.
    pub breaches: Vec<Breach>,
    /// No more than this are kept of each rule.
    pub keep: usize,
}

fn ms(ms: u32) -> Nanos {
    Nanos::from(ms) * 1_000_000
}

impl Watch {
    /// Keeps so many breaches of each rule; all are counted.
    pub fn new(keep: usize) -> Self {
        Watch { keep, ..Watch::default() }
    }

    fn breach(
        &mut self,
        head: &Head,
        at: Nanos,
        rule: Rule,
        message: Option<u64>,
        what: String,
        on: Option<&ActiveVersions>,
    ) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count <= self.keep as u64 {
            self.breaches.push(Breach {
                rule,
                by: head.author.number,
                at,
                message,
                what,
                standing: on.copied(),
            });
        }
    }

    /// A segment begins.
    pub fn begins(&mut self, head: &Head) {
        let life = head.author.incarnation;
        if life < self.highest_life {
            let what = format!("life {life} after life {}", self.highest_life);
            self.breach(head, head.at, Rule::Backwards, None, what, None);
        }
        self.highest_life = life.max(self.highest_life);
        if head.begins {
            // What a process knew ends with it; the store tells the next one, which says it again.
            self.states.clear();
            self.lendings.clear();
            (self.out, self.last, self.whole) = (false, None, false);
        }
    }

    /// A record.
    pub fn see(&mut self, head: &Head, at: Nanos, entry: &Entry, names: &Names) {
        match entry {
            Entry::State { endpoint, state } => {
                let (place, _) = names.endpoint(*endpoint);
                self.states.insert(place, (*state, at));
            }
            Entry::Attempt { message, endpoint, standing, ago } => {
                let ((place, dest), on) = (names.endpoint(*endpoint), names.standing(*standing));
                let message = names.message(*message);
                if let Some((state, since)) = self.states.get(&place).copied()
                    && state != State::InService
                    && at > since.saturating_add(ms(head.author.drain_ms)).saturating_add(SLACK)
                {
                    let late = (at - since) / 1_000_000;
                    let what =
                        format!("to endpoint {place:016x}, {state:?} for {late} ms; decided {ago} ms before");
                    self.breach(head, at, Rule::Drain, Some(message), what, on);
                }
                self.spends(head, at, dest, message, on);
            }
            Entry::Part { dest, part, until_ms, after, .. } => {
                let until = if *until_ms == 0 { Nanos::MAX } else { at.saturating_add(ms(*until_ms)) };
                self.lendings.entry(*dest).or_default().part = Some((*part, until, *after));
            }
            Entry::Loan { dest, peer, lent, part, until_ms, epoch, standing } => {
                let on = names.standing(*standing);
                let word = if *lent { "lent to" } else { "borrowed from" };
                if self.out {
                    let what = format!("a part of destination {dest} was {word} {peer}");
                    self.breach(head, at, Rule::ShutOut, None, what, on);
                }
                if let Some(known) = self.epochs.get(peer).copied().filter(|known| epoch < known) {
                    let what = format!("{word} {peer} under its epoch {epoch}, after {known}");
                    self.breach(head, at, Rule::Epoch, None, what, on);
                }
                if !lent {
                    let borrowed = &mut self.lendings.entry(*dest).or_default().borrowed;
                    borrowed.retain(|(_, until)| *until + SLACK > at);
                    borrowed.push((*part, at.saturating_add(ms(*until_ms))));
                }
            }
            Entry::Taken { standing, message } if self.out => {
                let message = u64::from_le_bytes(*message);
                let on = names.standing(*standing);
                self.breach(head, at, Rule::ShutOut, Some(message), "a message was taken on".to_owned(), on);
            }
            Entry::Service(out) => {
                self.out = out.is_some();
                if self.out {
                    // It gives back what it borrowed.
                    self.lendings
                        .values_mut()
                        .for_each(|l| l.borrowed.iter_mut().for_each(|b| b.1 = b.1.min(at)));
                }
            }
            Entry::Heard { peer, epoch, .. } => {
                let known = self.epochs.entry(*peer).or_default();
                *known = (*known).max(*epoch);
            }
            Entry::Listed { whole } => self.whole |= *whole,
            Entry::Standing(standing) => self.stands(head, at, standing),
            _ => {}
        }
    }

    /// A call is written to a destination: what it takes itself to have there is no more than what it has by right and what
    /// it borrowed that has not ended.
    fn spends(&mut self, head: &Head, at: Nanos, dest: u64, message: u64, on: Option<&ActiveVersions>) {
        let Some(lendings) = self.lendings.get(&dest) else { return };
        let Some((part, until, after)) = lendings.part else { return };
        let in_use = if at < until.saturating_add(SLACK) { part } else { after };
        if in_use == u32::MAX {
            return;
        }
        let live = lendings.borrowed.iter().filter(|(_, until)| at <= until.saturating_add(SLACK));
        let has = live.fold(even_share(head.author.of), |sum, (part, _)| sum.saturating_add(*part));
        if in_use > has {
            let what = format!("to destination {dest}, of which it used {in_use} parts and had {has}");
            self.breach(head, at, Rule::Lending, Some(message), what, on);
        }
    }

    fn stands(&mut self, head: &Head, at: Nanos, standing: &ActiveVersions) {
        let whole = std::mem::replace(&mut self.whole, false);
        if let Some(last) = self.last {
            let list = last.agent == standing.agent && standing.index < last.index && !whole;
            let life = standing.epoch < last.epoch || standing.incarnation < last.incarnation;
            if list {
                let what = format!("list {} after list {} of one agent", standing.index, last.index);
                self.breach(head, at, Rule::Backwards, None, what, Some(standing));
            }
            if life {
                let what = format!("epoch {} after epoch {}", standing.epoch, last.epoch);
                self.breach(head, at, Rule::Backwards, None, what, Some(standing));
            }
        }
        self.last = Some(*standing);
    }
}
