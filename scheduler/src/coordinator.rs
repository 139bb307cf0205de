//! One stall among the others: who owns what, which asks of its own are open where, and the functions that it owns itself. It takes
//! notes, asks and time, and returns what to send, grant or say; no I/O, no clock.
//!
//! Invariant: an open ask stands with one owner at a time, or with nobody until the next one is known.

mod permit_transfer;
mod view_change;
#[cfg(test)]
mod view_change_tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use compact_str::CompactString;
use millpost_protocol::frame::Fold;
use millpost_protocol::{MembershipView, PeerMessage, Version};

use crate::coordinator::permit_transfer::Granted;
use crate::effect::{DenialReason, Effect, SchedulerLimits};
use crate::function::{Scheduler, Transfer};
use crate::instance::{Instance, Stage};
use crate::owners::{Owners, OwnershipChange, Peer};
use crate::reason::Reason;
use crate::{FunctionSpec, MS, Nanos, Outcome, PermitRequest, SECOND};

/// An ask that nothing was heard of is sent again after this time,
const RESEND_AFTER: Nanos = 300 * MS;
/// ... and one of which it is known that it waits, after this.
const QUEUED_RESEND_AFTER: Nanos = 1_500 * MS;
/// A stall that has not answered an ask for so long, and was not heard of otherwise, is taken for dead: an owner answers each ask at
/// once, were it with the word that it waits.
const UNRESPONSIVE_AFTER: Nanos = 400 * MS;
/// A stall whose mail came back is passed over for so long.
const SKIP_TIME: Nanos = SECOND;
/// A new leader has heard within this time which stalls live: each says so every 450 ms.
const UNCONFIRMED_TIMEOUT: Nanos = 800 * MS;
/// A new steward has heard within this time which instances there are.
const RENEWAL_TIME: Nanos = 2 * SECOND;
/// Asks that may be open.
const MAX_OPEN_REQUESTS: usize = 20_000;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Mail for another stall.
    Send {
        /// Its address.
        to: CompactString,
        /// What it says.
        note: PeerMessage,
    },
    /// An ask of this stall's own is granted.
    Granted {
        /// Its number.
        ask: u64,
        /// Where it goes.
        instance: CompactString,
        /// The address of that.
        address: CompactString,
    },
    /// An ask of this stall's own is turned down.
    Refused {
        /// Its number.
        ask: u64,
        /// Why.
        reason: DenialReason,
    },
    /// Word for control.
    NotifyController(PeerMessage),
    /// Find out when this instance accepts connections.
    ProbeReadiness {
        /// The instance.
        instance: Instance,
        /// Not before.
        from: Nanos,
    },
}

impl Action {
    /// Puts it into a digest, whole.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            Action::Send { to, note } => note.fold(into.text("send").text(to)),
            Action::Granted { ask, instance, address } => {
                into.text("granted").whole(*ask).text(instance).text(address);
            }
            Action::Refused { ask, reason: no } => {
                into.text("refused").whole(*ask).text(no.as_str());
                if let DenialReason::Full(wait) = no {
                    into.whole(*wait);
                }
            }
            Action::NotifyController(note) => note.fold(into.text("up")),
            Action::ProbeReadiness { instance, from } => {
                into.text("scout").text(&instance.id).text(&instance.service).text(&instance.address);
                into.whole(instance.stage as u64).whole(*from);
            }
        }
    }
}

/// An ask of this proxy's own, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequest<'a> {
    /// The function.
    pub service: &'a str,
    /// With which proxy it stands, if with any.
    pub owner: Option<&'a str>,
    /// The instance that was granted, if one was.
    pub instance: Option<&'a str>,
    /// Until when its client waits.
    pub deadline: Nanos,
}

#[derive(Debug)]
struct PendingRequest {
    request: PermitRequest,
    first: bool,
    /// With whom it stands; none while nobody is known.
    owner: Option<CompactString>,
    last_sent: Nanos,
    /// When it was put to that one first; where that one has said that it waits, when it is asked again.
    waiting_since: Nanos,
    /// How often it was sent again.
    resends: u32,
    /// The instance, and its zone.
    granted: Option<(CompactString, CompactString)>,
}

/// A permit that went to another owner.
#[derive(Debug)]
struct HandedOver {
    /// To whom.
    to: CompactString,
    instance: CompactString,
    /// Nothing comes of it any more after that.
    until: Nanos,
}

/// A stall's dealings with the others.
#[derive(Debug)]
pub struct Coordinator {
    me: Peer,
    scheduler: Scheduler,
    owners: Owners,
    /// Those of the naming before.
    previous_owners: Owners,
    /// Of those that are named now.
    current_digest: u64,
    instances_version: (u64, u64),
    /// Until then a new steward's snapshots may lack what it has still to hear from here.
    renewing_until: Nanos,
    /// Addresses of stalls that sent mail, and their lives.
    incarnations: BTreeMap<CompactString, u64>,
    skipped_until: BTreeMap<CompactString, Nanos>,
    /// When other stalls were heard of last.
    last_heard: BTreeMap<CompactString, Nanos>,
    /// Zones that were ever heard of: instances stand also where no stall is any more.
    zones: BTreeSet<CompactString>,
    /// Stalls that a new leader has not named, as it may not have heard of them yet; they are gone from then on.
    unconfirmed: BTreeMap<CompactString, Nanos>,
    /// Stalls that were named before, and where: they may ask still, as they may not know.
    departed: BTreeMap<CompactString, CompactString>,
    open: BTreeMap<u64, PendingRequest>,
    /// Permits that went to another owner: who has them may not know.
    handed_over: BTreeMap<(CompactString, u64), HandedOver>,
    /// Owners of before that have told of all they had out, by function, and by which naming.
    transfers_received: BTreeMap<CompactString, BTreeMap<CompactString, Version>>,
    last_id: u64,
    actions: VecDeque<Action>,
    /// All is worked out anew whatever has changed, for a comparison.
    #[cfg(test)]
    full_recompute: bool,
}

fn stage(n: u8) -> Stage {
    match n {
        0 => Stage::Booting,
        1 => Stage::Ready,
        _ => Stage::Draining,
    }
}

impl Coordinator {
    /// `first`: the number of the first ask; higher than those of any life before.
    pub fn new(me: Peer, terms: SchedulerLimits, seed: u64, first: u64) -> Self {
        let owners = Owners::default();
        Coordinator {
            me,
            previous_owners: Owners::default(),
            scheduler: Scheduler::new(terms, seed),
            owners,
            current_digest: 0,
            instances_version: (0, 0),
            renewing_until: 0,
            incarnations: BTreeMap::new(),
            skipped_until: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            zones: BTreeSet::new(),
            unconfirmed: BTreeMap::new(),
            departed: BTreeMap::new(),
            open: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            transfers_received: BTreeMap::new(),
            last_id: first,
            actions: VecDeque::new(),
            #[cfg(test)]
            full_recompute: false,
        }
    }

    /// What is to be done since.
    pub fn take_actions(&mut self) -> VecDeque<Action> {
        std::mem::take(&mut self.actions)
    }

    /// From now on it is told why something is decided about the functions that are owned here.
    pub fn explain(&mut self) {
        self.scheduler.explain();
    }

    /// Why it was decided so, since.
    pub fn reasons(&mut self) -> Vec<Reason> {
        self.scheduler.reasons()
    }

    /// The stalls that are known to be alive.
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// The functions that are owned here.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Control has named the stalls.
    pub fn has_view(&self) -> bool {
        self.owners.version() > (0, 0)
    }

    /// The naming of stalls that is known here, and the functions that were split in it.
    pub fn view_split(&self) -> Option<((u64, u64), Vec<CompactString>)> {
        self.has_view().then(|| (self.owners.version(), self.owners.split().iter().cloned().collect()))
    }

    /// The digest of that naming.
    pub fn view_digest(&self) -> Option<u64> {
        self.has_view().then_some(self.current_digest)
    }

    /// Asks that are open or granted.
    pub fn open_request_count(&self) -> usize {
        self.open.len()
    }

    /// Each of them, in the order in which they were made.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest<'_>> {
        self.open.values().map(|open| OpenRequest {
            service: &open.request.service,
            owner: open.owner.as_deref(),
            instance: open.granted.as_ref().map(|(instance, _)| instance.as_str()),
            deadline: open.request.deadline,
        })
    }

    /// The functions of the configuration in force.
    pub fn configure(&mut self, now: Nanos, specs: impl Iterator<Item = FunctionSpec>) {
        self.scheduler.configure(now, specs);
        self.update_ownership(now, &self.owners.clone(), &OwnershipChange::all());
    }

    /// Who owns what, after a change; `before`: who did.
    fn update_ownership(&mut self, now: Nanos, before: &Owners, turn: &OwnershipChange) {
        let (owners, me, told_over, missing) =
            (&self.owners, &self.me, &self.transfers_received, &self.unconfirmed);
        let transfer = |service: &str, zones: &BTreeSet<CompactString>| {
            let told = told_over.get(service);
            let has_told = |name: &str| {
                told.and_then(|t| t.get(name)).is_some_and(|version| *version >= owners.version())
            };
            // One that leaves tells of what it has out as one that stays does.
            let tells = |name: &str| {
                (owners.find_living(name).is_some() || missing.contains_key(name)) && !has_told(name)
            };
            let mut transfer = Transfer::default();
            // Of a function with one owner before and after, it is the same in all zones.
            let is_split = before.partition_count(service) > 1 || owners.partition_count(service) > 1;
            let all = zones.iter().chain(&self.zones);
            for zone in all.take(if is_split { usize::MAX } else { 1 }) {
                let of = |owners: &Owners| owners.owner(service, zone, |_| true).map(|p| p.name.clone());
                let (was, is) = (of(before), of(owners));
                if was == is {
                    continue;
                }
                transfer.loses |= was.as_ref() == Some(&me.name);
                if is.as_ref() == Some(&me.name) {
                    transfer.from.extend(was.filter(|name| tells(name)));
                }
            }
            transfer
        };
        let parted = self.scheduler.update_ownership(now, me, owners, turn, transfer);
        for parted in parted {
            self.hand_over(now, parted);
        }
        self.process_effects(now);
    }

    /// With whom a function's asks stand. Until control has named the stalls nobody owns anything: each would give out the same slots.
    fn owner_of(&self, now: Nanos, service: &str) -> Option<&Peer> {
        if !self.has_view() {
            return None;
        }
        let heard = |p: &Peer| self.skipped_until.get(&p.name).is_none_or(|until| *until <= now);
        self.owners.owner(service, &self.me.zone, heard).or(Some(&self.me))
    }

    /// A request needs a permit. The number under which it is granted or refused, perhaps at once.
    pub fn request_permit(&mut self, now: Nanos, mut ask: PermitRequest, first: bool) -> Option<u64> {
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return None;
        }
        self.last_id += 1;
        let id = self.last_id;
        ask.id = id;
        self.open.insert(
            id,
            PendingRequest {
                request: ask,
                first,
                owner: None,
                last_sent: now,
                waiting_since: now,
                resends: 0,
                granted: None,
            },
        );
        self.route_request(now, id);
        Some(id)
    }

    /// Puts an open ask to whom it belongs now.
    fn route_request(&mut self, now: Nanos, id: u64) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(owner) = self.owner_of(now, &open.request.service).cloned() else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.owner.as_ref() != Some(&owner.name) {
            (open.owner, open.waiting_since, open.resends) = (Some(owner.name.clone()), now, 0);
        }
        open.last_sent = now;
        let (ask, first) = (open.request.clone(), open.first);
        if owner.name == self.me.name {
            self.defer_to_owner(now, &ask);
            self.scheduler.request_permit(now, self.me.name.clone(), ask, first);
            return self.process_effects(now);
        }
        let ms = |until: Nanos| (until as f64 - now as f64) / MS as f64;
        let note = PeerMessage::Ask {
            id,
            left: ms(ask.deadline),
            aim: ms(ask.soft_deadline),
            target: ask.target as f64 / MS as f64,
            service: ask.service,
            sent: ask.attempts_sent,
            first,
            returned: ask.returned,
            avoid: ask.avoid,
            zone: ask.zone,
        };
        self.actions.push_back(Action::Send { to: owner.address, note });
    }

    /// An owner that is heard of lives, and gives its slots itself: who is asked in its place waits until it is not heard of any more.
    fn defer_to_owner(&mut self, now: Nanos, ask: &PermitRequest) {
        let owner = self.owners.owner(&ask.service, &ask.zone, |_| true);
        let heard = owner.filter(|p| p.name != self.me.name).and_then(|p| self.last_heard.get(&p.name));
        if let Some(at) = heard.filter(|at| **at + UNRESPONSIVE_AFTER > now) {
            self.scheduler.defer_to_owner(&ask.service, at + UNRESPONSIVE_AFTER);
        }
    }

    /// A request no longer waits for its permit.
    pub fn cancel(&mut self, now: Nanos, id: u64) {
        self.finish(now, id, Outcome::Unused, 0);
    }

    /// A granted try is over.
    pub fn finish(&mut self, now: Nanos, id: u64, outcome: Outcome, took: Nanos) {
        let Some(open) = self.open.remove(&id) else { return };
        let Some(owner) = open.owner else { return };
        if owner == self.me.name {
            let me = self.me.name.clone();
            if open.granted.is_some() {
                if !self.forward_release(&me, id, outcome.as_str(), took as f64 / MS as f64) {
                    self.scheduler.release(now, &me, id, outcome, took);
                }
            } else {
                self.scheduler.cancel(now, &me, id);
            }
            return self.process_effects(now);
        }
        let note = if open.granted.is_some() {
            PeerMessage::Done { id, outcome: outcome.as_str().into(), took: took as f64 / MS as f64 }
        } else {
            PeerMessage::Drop { id }
        };
        self.send(&owner, note);
    }

    /// Where a stall is that lives, or was named once.
    pub fn address_of(&self, name: &str) -> Option<&CompactString> {
        let living = self.owners.find_living(name).map(|peer| &peer.address);
        living.or_else(|| self.departed.get(name))
    }

    fn send(&mut self, name: &str, note: PeerMessage) {
        match self.address_of(name).cloned() {
            Some(to) => self.actions.push_back(Action::Send { to, note }),
            None => self.scheduler.counts.unaddressed += 1,
        }
    }

    /// An instance was seen to accept connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        self.scheduler.instance_up(now, id);
        self.actions.push_back(Action::NotifyController(PeerMessage::Up { instance: id.into() }));
        self.process_effects(now);
    }

    /// An instance is known, and was not seen to accept connections yet.
    pub fn is_booting(&self, id: &str) -> bool {
        self.scheduler.is_booting(id)
    }

    /// A connection to an instance was refused outright.
    pub fn connection_refused(&mut self, now: Nanos, id: &str) {
        self.scheduler.mark_lost(now, id, false);
        self.actions.push_back(Action::NotifyController(PeerMessage::Lost { instance: id.into() }));
        self.process_effects(now);
    }

    /// Mail from a stall, in this life of it.
    pub fn receive(&mut self, now: Nanos, from: &str, life: u64, notes: Vec<PeerMessage>) {
        match self.incarnations.get(from) {
            Some(known) if *known == life => {}
            // Late mail of a life that has ended, or the clock of its machine has stepped back: only one that lives can say.
            Some(known) if *known > life => return self.reject_stale_incarnation(from, *known),
            _ if self.incarnations.len() > 10_000 => return,
            known => {
                let anew = known.is_some();
                self.incarnations.insert(from.into(), life);
                // Of one that is heard for the first time, what another owner told of before is out still.
                if anew {
                    self.scheduler.proxy_left(now, from);
                    self.resend_held(now, from);
                }
            }
        }
        self.skipped_until.remove(from);
        self.last_heard.insert(from.into(), now);
        for note in notes {
            self.handle_message(now, from, note);
        }
        self.process_effects(now);
    }

    /// A stall is told by which later incarnation it is known here.
    fn reject_stale_incarnation(&mut self, name: &str, known: u64) {
        if let Some(to) = self.owners.find_living(name).map(|p| p.address.clone()) {
            self.actions.push_back(Action::Send { to, note: PeerMessage::StaleIncarnation { known } });
        }
    }

    fn handle_message(&mut self, now: Nanos, from: &str, note: PeerMessage) {
        let at = |left: f64| now.saturating_add_signed((left.clamp(-1e7, 1e7) * MS as f64) as i64);
        let span = |ms: f64| (ms.clamp(0.0, 1e7) * MS as f64) as Nanos;
        match note {
            PeerMessage::Ask { id, service, left, aim, target, sent, first, returned, avoid, zone } => {
                let (deadline, aim, target) = (at(left), at(aim), span(target));
                let ask = PermitRequest {
                    id,
                    service,
                    deadline,
                    soft_deadline: aim,
                    target,
                    attempts_sent: sent,
                    returned,
                    avoid,
                    zone,
                };
                self.defer_to_owner(now, &ask);
                self.scheduler.request_permit(now, from.into(), ask, first);
            }
            PeerMessage::Drop { id } => {
                let passed = self.forward_release(from, id, Outcome::Unused.as_str(), 0.0);
                if !passed {
                    self.scheduler.cancel(now, from, id);
                }
            }
            PeerMessage::Over { service, version, permits } => {
                self.receive_transfer(now, from, service, version, permits)
            }
            PeerMessage::Back { who, id, instance, outcome, took } => {
                // It may have gone on from here by now.
                if self.forward_release(&who, id, &outcome, took) {
                    return;
                }
                let outcome = Outcome::parse(&outcome).unwrap_or(Outcome::Abandoned);
                let stands = |at: &CompactString| self.scheduler.is_granted_at(&who, id, at);
                if instance.as_ref().is_none_or(stands) {
                    self.scheduler.release(now, &who, id, outcome, span(took));
                } else if !self.scheduler.is_granted(&who, id) {
                    self.scheduler.permit_returned(now, &who, id, outcome);
                }
            }
            PeerMessage::Done { id, outcome, took } => {
                let passed = self.forward_release(from, id, &outcome, took);
                if !passed {
                    let outcome = Outcome::parse(&outcome).unwrap_or(Outcome::Abandoned);
                    self.scheduler.release(now, from, id, outcome, span(took));
                }
            }
            PeerMessage::Held { id, instance, left, .. } => {
                self.scheduler.counts.held += 1;
                self.scheduler.hold_permit(now, from.into(), id, &instance, at(left));
            }
            PeerMessage::Grant { id, instance, address, zone } => {
                let zone = zone.unwrap_or_else(|| self.me.zone.clone());
                self.receive_grant(now, from, id, Granted { instance, address, zone });
            }
            PeerMessage::Waits { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| o.owner.as_deref() == Some(from)) {
                    (open.last_sent, open.resends) = (now + QUEUED_RESEND_AFTER - RESEND_AFTER, 0);
                    // It was answered: whoever gave it has nothing to say until then.
                    open.waiting_since = now + QUEUED_RESEND_AFTER;
                }
            }
            PeerMessage::No { id, why, wait } => {
                let mine = self
                    .open
                    .get(&id)
                    .is_some_and(|o| o.granted.is_none() && o.owner.as_deref() == Some(from));
                if mine {
                    self.open.remove(&id);
                    let no = match why.as_str() {
                        "skip" => DenialReason::Skip,
                        "spent" => DenialReason::Spent,
                        "unknown" => DenialReason::Unknown,
                        "moved" => DenialReason::Moved,
                        _ => DenialReason::Full(span(wait)),
                    };
                    self.actions.push_back(Action::Refused { ask: id, reason: no });
                }
            }
            _ => {}
        }
    }

    /// What control tells.
    pub fn receive_from_controller(&mut self, now: Nanos, note: PeerMessage) {
        self.skipped_until.remove(&self.me.name);
        match note {
            PeerMessage::Stalls { version, peers, leaving, split } if version > self.owners.version() => {
                self.apply_view(now, MembershipView::new(version, peers, split).with_leaving(leaving).into());
            }
            PeerMessage::ViewChange(shift) if shift.version > self.owners.version() => {
                match self.owners.apply_change(&shift) {
                    Some(owners) => self.apply_view(now, owners),
                    // What lies between was missed: it comes whole.
                    None => self.actions.push_back(Action::NotifyController(PeerMessage::Behind {
                        version: self.owners.version(),
                    })),
                }
            }
            PeerMessage::Instances { version, all, set, gone }
                if version > self.instances_version || all && version == self.instances_version =>
            {
                if version.0 > self.instances_version.0 && self.instances_version.0 > 0 {
                    self.renewing_until = now + RENEWAL_TIME;
                }
                self.instances_version = version;
                let set = set.into_iter().map(|i| Instance {
                    id: i.id,
                    service: i.service,
                    address: i.address,
                    zone: i.zone,
                    worker: i.worker,
                    stage: stage(i.stage),
                });
                let set: Vec<Instance> = set.collect();
                self.record_zones(set.iter().map(|i| &i.zone));
                let (owners, me) = (&self.owners, &self.me.name);
                let mine = |i: &Instance| owners.owns(me, &i.service, &i.zone).is_ok();
                if all && now < self.renewing_until {
                    self.scheduler.merge_instances(now, set, mine);
                } else if all {
                    self.scheduler.replace_instances(now, set, mine);
                } else {
                    for i in set {
                        let mine = mine(&i);
                        self.scheduler.update_instance(now, i, mine);
                    }
                    gone.iter().for_each(|id| self.scheduler.remove_instance(now, id));
                }
                self.process_effects(now);
            }
            PeerMessage::Floor { service, count, fence, left } => {
                let until = now + (left.clamp(0.0, 1e7) * MS as f64) as Nanos;
                self.scheduler.set_min_instances(now, &service, count, fence, until);
                self.process_effects(now);
            }
            _ => {}
        }
    }

    /// Mail to a stall came back: it is passed over for a while, and what it was asked goes to the next.
    pub fn undelivered(&mut self, now: Nanos, address: &str, notes: Vec<PeerMessage>) {
        let roster = self.owners.view();
        let mut living = roster.peers().iter().chain(roster.leaving());
        let Some(name) = living.find(|p| p.address == address).map(|p| p.name.clone()) else { return };
        self.skipped_until.insert(name.clone(), now + SKIP_TIME);
        for note in notes {
            // It may have come all the same, late: a slot that was granted is not given to another on that account. Who did not hear of
            // it hears again, and says if it has no use for it.
            let again = match &note {
                PeerMessage::Grant { id, .. } => self.scheduler.has_request(&name, *id),
                PeerMessage::Over { version, .. } => *version == self.owners.version(),
                PeerMessage::Back { .. } => true,
                _ => false,
            };
            if again {
                self.actions.push_back(Action::Send { to: address.into(), note });
            }
        }
        self.process_effects(now);
        self.reroute_requests(now);
        self.process_effects(now);
    }

    /// Control can't be told anything: for a while others own what this stall owned, so that it can be started and stopped.
    pub fn controller_unreachable(&mut self, now: Nanos) {
        self.skipped_until.insert(self.me.name.clone(), now + SKIP_TIME);
        self.reroute_requests(now);
        self.process_effects(now);
    }

    fn process_effects(&mut self, now: Nanos) {
        // Refusals and grants of this stall's own may lead to further ones.
        loop {
            let effects = self.scheduler.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(now, effect);
            }
        }
    }

    fn apply_effect(&mut self, now: Nanos, effect: Effect) {
        match effect {
            Effect::Grant { to, ask, instance } if to == self.me.name => match self.open.get_mut(&ask) {
                Some(open) if open.granted.is_none() => {
                    open.granted = Some((instance.id.clone(), instance.zone.clone()));
                    let (instance, address) = (instance.id, instance.address);
                    self.actions.push_back(Action::Granted { ask, instance, address });
                }
                Some(_) => {}
                None => self.scheduler.release(now, &to, ask, Outcome::Unused, 0),
            },
            Effect::Refuse { to, ask, reason: no } if to == self.me.name => {
                if self.open.remove(&ask).is_some() {
                    self.actions.push_back(Action::Refused { ask, reason: no });
                }
            }
            Effect::Grant { to, ask, instance } => {
                let near = self.owners.find(&to).is_some_and(|p| p.zone == instance.zone);
                let zone = (!near).then_some(instance.zone);
                let note =
                    PeerMessage::Grant { id: ask, instance: instance.id, address: instance.address, zone };
                self.send(&to, note);
            }
            Effect::Refuse { to, ask, reason: no } => {
                let wait = if let DenialReason::Full(wait) = no { wait } else { 0 };
                self.send(
                    &to,
                    PeerMessage::No { id: ask, why: no.as_str().into(), wait: wait as f64 / MS as f64 },
                );
            }
            Effect::Queued { to, .. } if to == self.me.name => {}
            Effect::Queued { to, ask } => self.send(&to, PeerMessage::Waits { id: ask }),
            Effect::SetInstanceTarget { service, count, zones, strain, does, slow } => {
                let lot = (self.owners.partition_count(&service) > 1).then(|| self.me.zone.clone());
                self.actions.push_back(Action::NotifyController(PeerMessage::Want {
                    service,
                    count,
                    zones,
                    lot,
                    strain,
                    does,
                    slow,
                }))
            }
            Effect::Retire(instance) => {
                self.actions.push_back(Action::NotifyController(PeerMessage::Retire { instance }))
            }
            Effect::ReportLost(instance) => {
                self.actions.push_back(Action::NotifyController(PeerMessage::Lost { instance }))
            }
            Effect::ProbeReadiness { instance, from } => {
                self.actions.push_back(Action::ProbeReadiness { instance, from })
            }
        }
    }

    /// Owners that answer nothing are passed over, and control hears of it. Where nobody at all is heard, it may well be this stall that
    /// nobody hears.
    fn skip_unresponsive(&mut self, now: Nanos) {
        let lately = |name: &str| self.last_heard.get(name).is_some_and(|at| at + UNRESPONSIVE_AFTER > now);
        let mut deaf = BTreeSet::new();
        for open in
            self.open.values().filter(|o| o.granted.is_none() && o.waiting_since + UNRESPONSIVE_AFTER <= now)
        {
            let of = open.owner.as_ref().filter(|name| **name != self.me.name && !lately(name));
            deaf.extend(
                of.filter(|name| self.skipped_until.get(*name).is_none_or(|until| *until <= now)).cloned(),
            );
        }
        if deaf.is_empty() || !self.last_heard.keys().any(|name| lately(name)) {
            return;
        }
        for peer in deaf {
            self.skipped_until.insert(peer.clone(), now + SKIP_TIME);
            self.actions
                .push_back(Action::NotifyController(PeerMessage::Deaf { peer, from: self.me.name.clone() }));
        }
        self.reroute_requests(now);
        self.process_effects(now);
    }

    /// Time passes.
    pub fn tick(&mut self, now: Nanos) {
        self.scheduler.tick(now);
        self.expire_unconfirmed(now);
        self.process_effects(now);
        self.skip_unresponsive(now);
        let due = |o: &PendingRequest| o.last_sent + (RESEND_AFTER << o.resends.min(3)) <= now;
        let silent = self.open.iter().filter(|(_, o)| o.granted.is_none() && due(o));
        for id in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            // An owner that is slow is not helped by more of the same.
            if let Some(open) = self.open.get_mut(&id) {
                open.resends += 1;
            }
            self.route_request(now, id);
        }
    }
}
