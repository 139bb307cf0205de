//! What the dispatchers share, between the loop and [`Tier`]: names here are numbers there. Nothing is decided here.

use std::collections::{BTreeSet, HashMap};

use millpost::api::{DestId, EndpointId, Event, Nanos, Outcome, RateShare};
use millpost_core::{Core, Moment};
use millpost_tier::frame::Frame;
use millpost_tier::roll::{InitialState, PeerStatus};
use millpost_tier::staleness::View;
use millpost_tier::versions::{KINDS, digest};
use millpost_tier::{
    ActiveVersions, CallResult, Demand, EndpointHash, Fault, Kind, Output, RollAction, Rules, Tier,
    TierConfig, TierEvent,
};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::Peers;
use crate::book::Book;
use crate::console::line::Shared;
use crate::record::Record;
use crate::roster::Roster;
use crate::versions;

pub struct Sharing {
    tier: Tier,
    slots: usize,
    /// Endpoints by what all dispatchers know them by, and the other way.
    endpoints: HashMap<EndpointHash, EndpointId>,
    places: HashMap<EndpointId, (EndpointHash, DestId)>,
    /// What the loop is to do for the roll.
    acts: Vec<RollAction>,
    /// The agent has told the list in this life.
    told: bool,
}

impl Sharing {
    /// A life begins, numbered after all that the store knows of.
    pub fn begin(at: Moment, terms: TierConfig, me: u16, of: u16, seed: u64, record: &mut Record) -> Self {
        let incarnation = record.ledger().incarnation().saturating_add(1);
        record.live(at, incarnation);
        let tier = Tier::new(at.now, terms, me, of, incarnation, seed);
        let (endpoints, places) = (HashMap::new(), HashMap::new());
        Sharing { tier, slots: 0, endpoints, places, acts: Vec::new(), told: false }
    }

    /// A roll is kept.
    pub fn keep_roll(
        &mut self,
        at: Moment,
        rules: Rules,
        (standing, held): (ActiveVersions, [Nanos; 4]),
        seed: u64,
        record: &Record,
    ) {
        let begin = InitialState { rules, standing, held, words: versions::words(record) };
        self.tier.enable_roll(at.now, begin, seed);
    }

    /// Lendings are recorded.
    pub fn trace(&mut self) {
        self.tier.trace_loans();
    }

    /// What is acted on, where a roll is kept.
    pub fn acts_on(&self) -> Option<ActiveVersions> {
        self.tier.active_versions()
    }

    /// New messages are taken.
    pub fn serves(&self) -> bool {
        self.tier.accepts_messages()
    }

    /// A fault that is to be committed.
    pub fn has(&self, fault: Fault) -> bool {
        self.tier.has_fault(fault)
    }

    /// What there is to do for the roll.
    pub fn take_acts(&mut self) -> Vec<RollAction> {
        std::mem::take(&mut self.acts)
    }

    /// An endpoint, by what all know it by.
    pub fn endpoint(&self, place: EndpointHash) -> Option<EndpointId> {
        self.endpoints.get(&place).copied()
    }

    /// Another content of a kind is acted on.
    pub fn moves(&mut self, at: Moment, kind: Kind, digest: u32) {
        if let Some((roll, pass_on)) = self.tier.roll() {
            roll.set_version(at.now, kind, digest, pass_on);
        }
    }

    /// Settings were turned down.
    pub fn refused(&mut self, digest: u32) {
        if let Some((roll, pass_on)) = self.tier.roll() {
            roll.reject_settings(digest, pass_on);
        }
    }

    /// The staff took an endpoint out here, or put it back.
    pub fn cordoned(&mut self, at: Moment, name: &str, out: bool) {
        let place = xxh3_64(name.as_bytes());
        if let Some((roll, pass_on)) = self.tier.roll() {
            roll.set_cordon(at.now, place, out, pass_on);
        }
    }

    /// Cordons and drains are to last.
    pub fn note(&mut self, at: Moment, record: &mut Record) {
        if let Some((roll, _)) = self.tier.roll() {
            versions::note_words(at, roll.records(), record);
        }
    }

    /// The agent has answered: what the list is by now, with its number; or what the store had, which nobody has told.
    pub fn numbered(
        &mut self,
        at: Moment,
        roster: &Roster,
        index: Option<u64>,
        told: bool,
        record: &mut Record,
    ) {
        let before = self.tier.active_versions().map(|on| on.list.digest);
        let Some((roll, pass_on)) = self.tier.roll() else { return };
        roll.set_list_index(digest(roster.source().as_bytes()), index.unwrap_or(0));
        let list = roster.digest();
        if !told {
            roll.set_version_since(at.now, Kind::List, list, versions::list_held(at, list, record), pass_on);
            return;
        }
        let first = !std::mem::replace(&mut self.told, true);
        if before != Some(list) {
            roll.set_version(at.now, Kind::List, list, pass_on);
            versions::listed(at, list, record);
        } else if first && versions::list_held(at, list, record) == Nanos::MAX {
            roll.confirm(at.now, Kind::List, pass_on);
            versions::listed(at, list, record);
        }
    }

    /// How this one stands and sees the others, for the staff.
    pub fn standing(&mut self, at: Moment, name: &str) -> Option<String> {
        let standing = self.tier.active_versions()?;
        let rows: Vec<Value> = self.tier.peer_statuses(at.now).iter().map(row).collect();
        let (life, (number, of)) = (self.tier.heartbeat(), self.tier.identity());
        let text = json!({
            "name": name, "number": number, "of": of, "epoch": life.incarnation, "serves": self.tier.accepts_messages(), "standing": standing,
            "wall_ns": at.wall, "rows": rows,
        });
        Some(text.to_string())
    }

    /// Calls that may be out at once.
    pub fn settle_on(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// The next round is due then.
    pub fn due(&self) -> Nanos {
        self.tier.next_round_at()
    }

    /// The list of endpoints has changed.
    pub fn listed(&mut self, at: Moment, roster: &Roster) {
        let all = roster.places();
        let all = all.map(|(endpoint, name, entry)| (endpoint, (xxh3_64(name.as_bytes()), entry.dest)));
        self.places = all.collect();
        self.endpoints = self.places.iter().map(|(endpoint, (place, _))| (*place, *endpoint)).collect();
        self.tier.set_endpoints(at.now, self.places.values().map(|(place, dest)| (*dest, *place)));
        if let Some((roll, pass_on)) = self.tier.roll() {
            let ready = |entry: &millpost::api::Entry| entry.state == millpost::api::State::Ready;
            let all = roster.places().map(|(_, name, e)| (xxh3_64(name.as_bytes()), e.dest, ready(e)));
            roll.set_endpoints(at.now, all, pass_on);
        }
    }

    /// A message for a destination has come.
    pub fn wanted(&mut self, at: Moment, core: &Core, dest: DestId) {
        self.tier.update_demand(at.now, need(core, self.slots, dest));
    }

    /// A call was written.
    pub fn sent(&mut self, at: Moment, endpoint: EndpointId) {
        if let Some((_, dest)) = self.places.get(&endpoint) {
            self.tier.record_call(at.now, *dest);
        }
    }

    /// A call ended.
    pub fn went(&mut self, at: Moment, endpoint: EndpointId, outcome: Outcome, wait: Option<Nanos>) {
        let went = match outcome {
            Outcome::Served => CallResult::Served,
            Outcome::Full(_) => CallResult::Refused,
            Outcome::Error => CallResult::Answered,
            Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => CallResult::Failed,
            // These say nothing of an endpoint.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Exhausted => return,
        };
        if let Some((place, _)) = self.places.get(&endpoint) {
            self.tier.record_result(at.now, *place, went, wait.map(|wait| at.now.saturating_add(wait)));
        }
    }

    /// Another dispatcher says something.
    pub fn heard(&mut self, at: Moment, frame: &Frame, book: Option<&mut Book>) {
        let speaker = &frame.speaker;
        if let Some(book) = book {
            book.heard(at, speaker.who, speaker.life.incarnation, speaker.life.beat);
        }
        self.tier.receive(at.now, frame);
    }

    /// The round that is due, if it is.
    pub fn tick(&mut self, at: Moment, core: &Core, book: Option<&mut Book>) {
        if at.now >= self.tier.next_round_at() {
            let life = self.tier.heartbeat();
            if let Some(book) = book {
                book.beat(at, life.incarnation, life.beat);
            }
            // Also of messages that were there before this process, or that nothing was sent of for a while.
            let all: BTreeSet<DestId> = self.tier.active().chain(core.destinations()).collect();
            let needs: Vec<Demand> = all.into_iter().map(|dest| need(core, self.slots, dest)).collect();
            self.tier.tick(at.now, &needs);
        }
    }

    /// Carries out what came of it, in its order. Whether the module heard something.
    pub fn carry(
        &mut self,
        at: Moment,
        core: &mut Core,
        record: &mut Record,
        peers: &Peers,
        book: &mut Option<Book>,
    ) -> bool {
        let mut news = false;
        while let Some(out) = self.tier.next_output() {
            let told = match out {
                Output::Send { to, bytes } => {
                    peers.tell_one(to, &bytes);
                    continue;
                }
                Output::Incarnation(incarnation) => {
                    record.live(at, incarnation);
                    continue;
                }
                Output::Event(told) => told,
                Output::RollAction(act) => {
                    self.acts.push(act);
                    continue;
                }
                Output::Loan(loan) => {
                    if let Some(book) = book {
                        book.loan(at, &loan);
                    }
                    continue;
                }
            };
            let event = match told {
                TierEvent::RateBudget { dest, part } => {
                    if let Some(book) = book {
                        book.part(at, dest, part);
                    }
                    let part = part.map(|p| RateShare { rate: p.rate, until: p.until, after: p.after });
                    Some(Event::RateShare { dest, part })
                }
                TierEvent::WaitRequested { place, until } => self.endpoints.get(&place).map(|endpoint| {
                    Event::WaitRequested { endpoint: *endpoint, wait: until.saturating_sub(at.now) }
                }),
                TierEvent::PeersUnreachable { place, until, hold } => self
                    .endpoints
                    .get(&place)
                    .map(|endpoint| Event::PeersUnreachable { endpoint: *endpoint, until, avoid: hold }),
                TierEvent::PeersSawRecovery { dest } => Some(Event::PeersSawRecovery { dest }),
            };
            if let Some(event) = event {
                core.on_event(at, event);
                news = true;
            }
        }
        news
    }

    /// For the console.
    pub fn figures(&self, at: Moment, peers: &Peers) -> Shared {
        Shared { tier: self.tier.stats(at.now), sifted: peers.ear.sifted() }
    }
}

/// Nothing is told of longer spans.
const LONG: Nanos = 30 * 86_400_000_000_000;

/// One dispatcher as it is seen from here.
fn row(row: &PeerStatus) -> Value {
    let stands = &row.stands;
    let views: serde_json::Map<String, Value> = KINDS
        .iter()
        .zip(row.views)
        .zip(row.held)
        .map(|((kind, view), held)| {
            let view = match view {
                View::Current => "current",
                View::Apart => "apart",
                View::Refused => "turned_down",
                View::Unknown => "unknown",
                View::Behind(_) => "behind",
            };
            // Of what the store or the configuration had nobody knows how old it is.
            let held_ms = (held < LONG).then_some(held / 1_000_000);
            let view = json!({"view": view, "held_ms": held_ms});
            (kind.name().to_owned(), view)
        })
        .collect();
    json!({
        "number": stands.who, "standing": stands.standing, "out": stands.out, "turned_down": stands.refused,
        "found_behind": row.found, "kinds": views,
    })
}

/// With all slots taken a message does not wait for a part.
fn need(core: &Core, slots: usize, dest: DestId) -> Demand {
    let (limit, waiting) = core.demand(dest);
    Demand { dest, limit, waiting: if core.slots_in_use() < slots { waiting } else { 0 } }
}
