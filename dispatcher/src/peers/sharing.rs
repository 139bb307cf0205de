//! Connects the driver to [`Tier`], the state shared between dispatchers, and translates between endpoint
//! names or numbers and the hashes used there. Makes no decisions.

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
use crate::audit_log::AuditLog;
use crate::console::line::Shared;
use crate::roster::Roster;
use crate::store_writer::StoreWriter;
use crate::versions;

/// The shared state of the dispatchers; see the module documentation.
pub struct Sharing {
    tier: Tier,
    slots: usize,
    /// Endpoints by the hash of their name that all dispatchers share, and the reverse.
    endpoints: HashMap<EndpointHash, EndpointId>,
    places: HashMap<EndpointId, (EndpointHash, DestId)>,
    /// Actions of the version tracking that the driver has to carry out.
    acts: Vec<RollAction>,
    /// Whether the agent has sent the list to this incarnation.
    confirmed: bool,
}

impl Sharing {
    /// Starts a new incarnation, numbered after the last one in the store.
    pub fn begin(
        at: Moment,
        terms: TierConfig,
        me: u16,
        of: u16,
        seed: u64,
        store: &mut StoreWriter,
    ) -> Self {
        let incarnation = store.ledger().incarnation().saturating_add(1);
        store.save_incarnation(at, incarnation);
        let tier = Tier::new(at.now, terms, me, of, incarnation, seed);
        let (endpoints, places) = (HashMap::new(), HashMap::new());
        Sharing { tier, slots: 0, endpoints, places, acts: Vec::new(), confirmed: false }
    }

    /// Starts tracking the versions that the dispatchers use.
    pub fn keep_roll(
        &mut self,
        at: Moment,
        rules: Rules,
        (standing, held): (ActiveVersions, [Nanos; 4]),
        seed: u64,
        store: &StoreWriter,
    ) {
        let begin = InitialState { rules, standing, held, words: versions::records(store) };
        self.tier.enable_roll(at.now, begin, seed);
    }

    /// Enables reporting of loans, for the audit log.
    pub fn trace(&mut self) {
        self.tier.trace_loans();
    }

    /// The versions in use, if versions are tracked.
    pub fn acts_on(&self) -> Option<ActiveVersions> {
        self.tier.active_versions()
    }

    /// Whether new messages are accepted.
    pub fn serves(&self) -> bool {
        self.tier.accepts_messages()
    }

    /// Whether a test injected this fault.
    pub fn has(&self, fault: Fault) -> bool {
        self.tier.has_fault(fault)
    }

    /// Takes the actions that the driver has to carry out.
    pub fn take_acts(&mut self) -> Vec<RollAction> {
        std::mem::take(&mut self.acts)
    }

    /// The endpoint with this hash.
    pub fn endpoint(&self, place: EndpointHash) -> Option<EndpointId> {
        self.endpoints.get(&place).copied()
    }

    /// A different version of `kind` is in use from now on.
    pub fn moves(&mut self, at: Moment, kind: Kind, digest: u32) {
        if let Some((roll, pass_on)) = self.tier.roll() {
            roll.set_version(at.now, kind, digest, pass_on);
        }
    }

    /// The settings with this digest were rejected.
    pub fn refused(&mut self, digest: u32) {
        if let Some((roll, pass_on)) = self.tier.roll() {
            roll.reject_settings(digest, pass_on);
        }
    }

    /// An operator cordoned or uncordoned an endpoint at this dispatcher.
    pub fn cordoned(&mut self, at: Moment, name: &str, out: bool) {
        let place = xxh3_64(name.as_bytes());
        if let Some((roll, pass_on)) = self.tier.roll() {
            roll.set_cordon(at.now, place, out, pass_on);
        }
    }

    /// Saves the records of cordons and drains.
    pub fn save_records(&mut self, at: Moment, store: &mut StoreWriter) {
        if let Some((roll, _)) = self.tier.roll() {
            versions::save_records(at, roll.records(), store);
        }
    }

    /// Updates the version of the list. `from_agent` tells whether the agent sent it, as opposed to an
    /// unconfirmed list from the store, the configuration or a predecessor.
    pub fn list_version(
        &mut self,
        at: Moment,
        roster: &Roster,
        index: Option<u64>,
        from_agent: bool,
        store: &mut StoreWriter,
    ) {
        let previous = self.tier.active_versions().map(|on| on.list.digest);
        let Some((roll, pass_on)) = self.tier.roll() else { return };
        roll.set_list_index(digest(roster.source().as_bytes()), index.unwrap_or(0));
        let list = roster.digest();
        if !from_agent {
            roll.set_version_since(at.now, Kind::List, list, versions::list_age(at, list, store), pass_on);
            return;
        }
        let first = !std::mem::replace(&mut self.confirmed, true);
        if previous != Some(list) {
            roll.set_version(at.now, Kind::List, list, pass_on);
            versions::save_list(at, list, store);
        } else if first && versions::list_age(at, list, store) == Nanos::MAX {
            roll.confirm(at.now, Kind::List, pass_on);
            versions::save_list(at, list, store);
        }
    }

    /// The versions in use and this dispatcher's view of the others, in JSON for the console.
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

    /// Sets the maximum number of concurrent calls.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// When the next round is due.
    pub fn due(&self) -> Nanos {
        self.tier.next_round_at()
    }

    /// The list of endpoints has changed.
    pub fn listed(&mut self, at: Moment, roster: &Roster) {
        let all = roster.entries();
        let all = all.map(|(endpoint, name, entry)| (endpoint, (xxh3_64(name.as_bytes()), entry.dest)));
        self.places = all.collect();
        self.endpoints = self.places.iter().map(|(endpoint, (place, _))| (*place, *endpoint)).collect();
        self.tier.set_endpoints(at.now, self.places.values().map(|(place, dest)| (*dest, *place)));
        if let Some((roll, pass_on)) = self.tier.roll() {
            let ready = |entry: &millpost::api::Entry| entry.state == millpost::api::State::Ready;
            let all = roster.entries().map(|(_, name, e)| (xxh3_64(name.as_bytes()), e.dest, ready(e)));
            roll.set_endpoints(at.now, all, pass_on);
        }
    }

    /// A message for a destination was submitted.
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
    pub fn call_ended(&mut self, at: Moment, endpoint: EndpointId, outcome: Outcome, wait: Option<Nanos>) {
        let went = match outcome {
            Outcome::Served => CallResult::Served,
            Outcome::Full(_) => CallResult::Refused,
            Outcome::Error => CallResult::Answered,
            Outcome::TimedOut | Outcome::Reset | Outcome::ConnectFailed => CallResult::Failed,
            // These outcomes say nothing about the endpoint.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Exhausted => return,
        };
        if let Some((place, _)) = self.places.get(&endpoint) {
            self.tier.record_result(at.now, *place, went, wait.map(|wait| at.now.saturating_add(wait)));
        }
    }

    /// Processes a frame from another dispatcher.
    pub fn receive(&mut self, at: Moment, frame: &Frame, audit_log: Option<&mut AuditLog>) {
        let speaker = &frame.speaker;
        if let Some(audit_log) = audit_log {
            audit_log.heard(at, speaker.who, speaker.life.incarnation, speaker.life.beat);
        }
        self.tier.receive(at.now, frame);
    }

    /// Runs a round if one is due.
    pub fn tick(&mut self, at: Moment, core: &Core, audit_log: Option<&mut AuditLog>) {
        if at.now >= self.tier.next_round_at() {
            let life = self.tier.heartbeat();
            if let Some(audit_log) = audit_log {
                audit_log.beat(at, life.incarnation, life.beat);
            }
            // Includes destinations with messages from before this process started, or without recent
            // traffic.
            let all: BTreeSet<DestId> = self.tier.active().chain(core.destinations()).collect();
            let needs: Vec<Demand> = all.into_iter().map(|dest| need(core, self.slots, dest)).collect();
            self.tier.tick(at.now, &needs);
        }
    }

    /// Carries out the tier's outputs in order. Returns whether the decision module received an event.
    pub fn run_outputs(
        &mut self,
        at: Moment,
        core: &mut Core,
        store: &mut StoreWriter,
        peers: &Peers,
        audit_log: &mut Option<AuditLog>,
    ) -> bool {
        let mut received = false;
        while let Some(out) = self.tier.next_output() {
            let update = match out {
                Output::Send { to, bytes } => {
                    peers.send_to(to, &bytes);
                    continue;
                }
                Output::Incarnation(incarnation) => {
                    store.save_incarnation(at, incarnation);
                    continue;
                }
                Output::Event(update) => update,
                Output::RollAction(act) => {
                    self.acts.push(act);
                    continue;
                }
                Output::Loan(loan) => {
                    if let Some(audit_log) = audit_log {
                        audit_log.loan(at, &loan);
                    }
                    continue;
                }
            };
            let event = match update {
                TierEvent::RateBudget { dest, part } => {
                    if let Some(audit_log) = audit_log {
                        audit_log.part(at, dest, part);
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
                received = true;
            }
        }
        received
    }

    /// The figures for the console.
    pub fn figures(&self, at: Moment, peers: &Peers) -> Shared {
        Shared { tier: self.tier.stats(at.now), sifted: peers.reader.counts() }
    }
}

/// Longer ages are reported as unknown.
const MAX_REPORTED_AGE: Nanos = 30 * 86_400_000_000_000;

/// Formats this dispatcher's view of one dispatcher.
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
            // The age of versions that come from the store or the configuration is unknown.
            let held_ms = (held < MAX_REPORTED_AGE).then_some(held / 1_000_000);
            let view = json!({"view": view, "held_ms": held_ms});
            (kind.name().to_owned(), view)
        })
        .collect();
    json!({
        "number": stands.who, "standing": stands.standing, "out": stands.out, "turned_down": stands.refused,
        "found_behind": row.found, "kinds": views,
    })
}

/// The demand for a destination. While all call slots are in use, messages do not wait because of the rate
/// share.
fn need(core: &Core, slots: usize, dest: DestId) -> Demand {
    let (limit, waiting) = core.demand(dest);
    Demand { dest, limit, waiting: if core.slots_in_use() < slots { waiting } else { 0 } }
}
