//! What the dispatchers share, between the loop and [`Tier`]: names here are numbers there. Nothing is decided here.

use std::collections::{BTreeSet, HashMap};

use millpost::api::{DestId, EndpointId, Event, Nanos, Outcome, Part};
use millpost_core::{Core, Moment};
use millpost_tier::frame::Frame;
use millpost_tier::{Need, News, Out, Place, Terms, Tier, Went};
use xxhash_rust::xxh3::xxh3_64;

use super::Peers;
use crate::console::line::Shared;
use crate::record::Record;
use crate::roster::Roster;

pub struct Sharing {
    tier: Tier,
    slots: usize,
    /// Endpoints by what all dispatchers know them by, and the other way.
    endpoints: HashMap<Place, EndpointId>,
    places: HashMap<EndpointId, (Place, DestId)>,
}

impl Sharing {
    /// A life begins, numbered after all that the store knows of.
    pub fn begin(at: Moment, terms: Terms, me: u16, of: u16, seed: u64, record: &mut Record) -> Self {
        let incarnation = record.ledger().incarnation().saturating_add(1);
        record.live(at, incarnation);
        let tier = Tier::new(at.now, terms, me, of, incarnation, seed);
        Sharing { tier, slots: 0, endpoints: HashMap::new(), places: HashMap::new() }
    }

    /// Calls that may be out at once.
    pub fn settle_on(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// The next round is due then.
    pub fn due(&self) -> Nanos {
        self.tier.due()
    }

    /// The list of endpoints has changed.
    pub fn listed(&mut self, at: Moment, roster: &Roster) {
        let all = roster.places().map(|(endpoint, name, dest)| (endpoint, (xxh3_64(name.as_bytes()), dest)));
        self.places = all.collect();
        self.endpoints = self.places.iter().map(|(endpoint, (place, _))| (*place, *endpoint)).collect();
        self.tier.listed(at.now, self.places.values().map(|(place, dest)| (*dest, *place)));
    }

    /// A message for a destination has come.
    pub fn wanted(&mut self, at: Moment, core: &Core, dest: DestId) {
        self.tier.wanted(at.now, need(core, self.slots, dest));
    }

    /// A call was written.
    pub fn sent(&mut self, at: Moment, endpoint: EndpointId) {
        if let Some((_, dest)) = self.places.get(&endpoint) {
            self.tier.sent(at.now, *dest);
        }
    }

    /// A call ended.
    pub fn went(&mut self, at: Moment, endpoint: EndpointId, outcome: Outcome, wait: Option<Nanos>) {
        let went = match outcome {
            Outcome::Served => Went::Served,
            Outcome::Full(_) => Went::Refused,
            Outcome::Error => Went::Answered,
            Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => Went::Failed,
            // These say nothing of an endpoint.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Exhausted => return,
        };
        if let Some((place, _)) = self.places.get(&endpoint) {
            self.tier.went(at.now, *place, went, wait.map(|wait| at.now.saturating_add(wait)));
        }
    }

    /// Another dispatcher says something.
    pub fn heard(&mut self, at: Moment, frame: &Frame) {
        self.tier.hear(at.now, frame);
    }

    /// The round that is due, if it is.
    pub fn tick(&mut self, at: Moment, core: &Core) {
        if at.now >= self.tier.due() {
            // Also of messages that were there before this process, or that nothing was sent of for a while.
            let all: BTreeSet<DestId> = self.tier.active().chain(core.destinations()).collect();
            let needs: Vec<Need> = all.into_iter().map(|dest| need(core, self.slots, dest)).collect();
            self.tier.tick(at.now, &needs);
        }
    }

    /// Carries out what came of it, in its order. Whether the module heard something.
    pub fn carry(&mut self, at: Moment, core: &mut Core, record: &mut Record, peers: &Peers) -> bool {
        let mut news = false;
        while let Some(out) = self.tier.out() {
            let told = match out {
                Out::Send { to, bytes } => {
                    peers.tell_one(to, &bytes);
                    continue;
                }
                Out::Lives(incarnation) => {
                    record.live(at, incarnation);
                    continue;
                }
                Out::News(told) => told,
                // No roll is kept here.
                Out::Act(_) | Out::Loan(_) => continue,
            };
            let event = match told {
                News::Part { dest, part } => {
                    let part = part.map(|p| Part { rate: p.rate, until: p.until, after: p.after });
                    Some(Event::Part { dest, part })
                }
                News::Wait { place, until } => self.endpoints.get(&place).map(|endpoint| Event::ToldToWait {
                    endpoint: *endpoint,
                    wait: until.saturating_sub(at.now),
                }),
                News::Hearsay { place, until, hold } => self
                    .endpoints
                    .get(&place)
                    .map(|endpoint| Event::Hearsay { endpoint: *endpoint, until, avoid: hold }),
                News::Cold { dest } => Some(Event::CameBack { dest }),
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
        Shared { tier: self.tier.figures(at.now), sifted: peers.ear.sifted() }
    }
}

/// With all slots taken a message does not wait for a part.
fn need(core: &Core, slots: usize, dest: DestId) -> Need {
    let (limit, waiting) = core.need(dest);
    Need { dest, limit, waiting: if core.slots_taken() < slots { waiting } else { 0 } }
}
