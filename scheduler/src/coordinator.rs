//! One stall among the others: who owns what, which asks of its own are open where, and the functions that it owns itself. It takes
//! notes, asks and time, and returns what to send, grant or say; no I/O, no clock.
//!
//! Invariant: an open ask stands with one owner at a time, or with nobody until the next one is known.

mod passing;
#[cfg(test)]
mod turns;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use compact_str::CompactString;
use millpost_protocol::frame::Fold;
use millpost_protocol::{MembershipView, PeerMessage, Version};

use crate::coordinator::passing::Granted;
use crate::effect::{DenialReason, Effect, SchedulerLimits};
use crate::function::{Scheduler, Transfer};
use crate::instance::{Instance, Stage};
use crate::owners::{Owners, OwnershipChange, Peer};
use crate::reason::Reason;
use crate::{FunctionSpec, MS, Nanos, Outcome, PermitRequest, SECOND};

/// An ask that nothing was heard of is sent again after this time,
const ASK_AGAIN: Nanos = 300 * MS;
/// ... and one of which it is known that it waits, after this.
const WAITS: Nanos = 1_500 * MS;
/// A stall that has not answered an ask for so long, and was not heard of otherwise, is taken for dead: an owner answers each ask at
/// once, were it with the word that it waits.
const DEAF: Nanos = 400 * MS;
/// A stall whose mail came back is passed over for so long.
const PASSED_OVER: Nanos = SECOND;
/// A new leader has heard within this time which stalls live: each says so every 450 ms.
const MISSING: Nanos = 800 * MS;
/// A new steward has heard within this time which instances there are.
const RENEWS: Nanos = 2 * SECOND;
/// Asks that may be open.
const MOST_ASKS: usize = 20_000;

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
struct Open {
    ask: PermitRequest,
    first: bool,
    /// With whom it stands; none while nobody is known.
    owner: Option<CompactString>,
    said: Nanos,
    /// When it was put to that one first; where that one has said that it waits, when it is asked again.
    since: Nanos,
    /// How often it was sent again.
    again: u32,
    /// The instance, and its zone.
    granted: Option<(CompactString, CompactString)>,
}

/// A permit that went to another owner.
#[derive(Debug)]
struct Handed {
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
    broker: Scheduler,
    owners: Owners,
    /// Those of the naming before.
    owners_before: Owners,
    /// Of those that are named now.
    digest: u64,
    seen: (u64, u64),
    /// Until then a new steward's snapshots may lack what it has still to hear from here.
    renews: Nanos,
    /// Addresses of stalls that sent mail, and their lives.
    lives: BTreeMap<CompactString, u64>,
    passed_over: BTreeMap<CompactString, Nanos>,
    /// When other stalls were heard of last.
    heard: BTreeMap<CompactString, Nanos>,
    /// Zones that were ever heard of: instances stand also where no stall is any more.
    zones: BTreeSet<CompactString>,
    /// Stalls that a new leader has not named, as it may not have heard of them yet; they are gone from then on.
    missing: BTreeMap<CompactString, Nanos>,
    /// Stalls that were named before, and where: they may ask still, as they may not know.
    away: BTreeMap<CompactString, CompactString>,
    open: BTreeMap<u64, Open>,
    /// Permits that went to another owner: who has them may not know.
    handed: BTreeMap<(CompactString, u64), Handed>,
    /// Owners of before that have told of all they had out, by function, and by which naming.
    told_over: BTreeMap<CompactString, BTreeMap<CompactString, Version>>,
    next: u64,
    outs: VecDeque<Action>,
    /// All is worked out anew whatever has changed, for a comparison.
    #[cfg(test)]
    plainly: bool,
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
            owners_before: Owners::default(),
            broker: Scheduler::new(terms, seed),
            owners,
            digest: 0,
            seen: (0, 0),
            renews: 0,
            lives: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            heard: BTreeMap::new(),
            zones: BTreeSet::new(),
            missing: BTreeMap::new(),
            away: BTreeMap::new(),
            open: BTreeMap::new(),
            handed: BTreeMap::new(),
            told_over: BTreeMap::new(),
            next: first,
            outs: VecDeque::new(),
            #[cfg(test)]
            plainly: false,
        }
    }

    /// What is to be done since.
    pub fn take_actions(&mut self) -> VecDeque<Action> {
        std::mem::take(&mut self.outs)
    }

    /// From now on it is told why something is decided about the functions that are owned here.
    pub fn explain(&mut self) {
        self.broker.explain();
    }

    /// Why it was decided so, since.
    pub fn reasons(&mut self) -> Vec<Reason> {
        self.broker.reasons()
    }

    /// The stalls that are known to be alive.
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// The functions that are owned here.
    pub fn scheduler(&self) -> &Scheduler {
        &self.broker
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
        self.has_view().then_some(self.digest)
    }

    /// Asks that are open or granted.
    pub fn open_request_count(&self) -> usize {
        self.open.len()
    }

    /// Each of them, in the order in which they were made.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest<'_>> {
        self.open.values().map(|open| OpenRequest {
            service: &open.ask.service,
            owner: open.owner.as_deref(),
            instance: open.granted.as_ref().map(|(instance, _)| instance.as_str()),
            deadline: open.ask.deadline,
        })
    }

    /// The functions of the configuration in force.
    pub fn configure(&mut self, now: Nanos, specs: impl Iterator<Item = FunctionSpec>) {
        self.broker.configure(now, specs);
        self.own(now, &self.owners.clone(), &OwnershipChange::all());
    }

    /// Who owns what, after a change; `before`: who did.
    fn own(&mut self, now: Nanos, before: &Owners, turn: &OwnershipChange) {
        let (owners, me, told_over, missing) = (&self.owners, &self.me, &self.told_over, &self.missing);
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
        let parted = self.broker.update_ownership(now, me, owners, turn, transfer);
        for parted in parted {
            self.hand_over(now, parted);
        }
        self.carry_out(now);
    }

    /// With whom a function's asks stand. Until control has named the stalls nobody owns anything: each would give out the same slots.
    fn owner_of(&self, now: Nanos, service: &str) -> Option<&Peer> {
        if !self.has_view() {
            return None;
        }
        let heard = |p: &Peer| self.passed_over.get(&p.name).is_none_or(|until| *until <= now);
        self.owners.owner(service, &self.me.zone, heard).or(Some(&self.me))
    }

    /// A request needs a permit. The number under which it is granted or refused, perhaps at once.
    pub fn request_permit(&mut self, now: Nanos, mut ask: PermitRequest, first: bool) -> Option<u64> {
        if self.open.len() >= MOST_ASKS {
            return None;
        }
        self.next += 1;
        let id = self.next;
        ask.id = id;
        self.open
            .insert(id, Open { ask, first, owner: None, said: now, since: now, again: 0, granted: None });
        self.place(now, id);
        Some(id)
    }

    /// Puts an open ask to whom it belongs now.
    fn place(&mut self, now: Nanos, id: u64) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(owner) = self.owner_of(now, &open.ask.service).cloned() else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.owner.as_ref() != Some(&owner.name) {
            (open.owner, open.since, open.again) = (Some(owner.name.clone()), now, 0);
        }
        open.said = now;
        let (ask, first) = (open.ask.clone(), open.first);
        if owner.name == self.me.name {
            self.stand_back(now, &ask);
            self.broker.request_permit(now, self.me.name.clone(), ask, first);
            return self.carry_out(now);
        }
        let ms = |until: Nanos| (until as f64 - now as f64) / MS as f64;
        let note = PeerMessage::RequestPermit {
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
        self.outs.push_back(Action::Send { to: owner.address, note });
    }

    /// An owner that is heard of lives, and gives its slots itself: who is asked in its place waits until it is not heard of any more.
    fn stand_back(&mut self, now: Nanos, ask: &PermitRequest) {
        let owner = self.owners.owner(&ask.service, &ask.zone, |_| true);
        let heard = owner.filter(|p| p.name != self.me.name).and_then(|p| self.heard.get(&p.name));
        if let Some(at) = heard.filter(|at| **at + DEAF > now) {
            self.broker.defer_to_owner(&ask.service, at + DEAF);
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
                if !self.pass_on(&me, id, outcome.as_str(), took as f64 / MS as f64) {
                    self.broker.release(now, &me, id, outcome, took);
                }
            } else {
                self.broker.cancel(now, &me, id);
            }
            return self.carry_out(now);
        }
        let note = if open.granted.is_some() {
            PeerMessage::ReleasePermit { id, outcome: outcome.as_str().into(), took: took as f64 / MS as f64 }
        } else {
            PeerMessage::CancelRequest { id }
        };
        self.send(&owner, note);
    }

    /// Where a stall is that lives, or was named once.
    pub fn address_of(&self, name: &str) -> Option<&CompactString> {
        let living = self.owners.find_living(name).map(|peer| &peer.address);
        living.or_else(|| self.away.get(name))
    }

    fn send(&mut self, name: &str, note: PeerMessage) {
        match self.address_of(name).cloned() {
            Some(to) => self.outs.push_back(Action::Send { to, note }),
            None => self.broker.counts.unaddressed += 1,
        }
    }

    /// An instance was seen to accept connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        self.broker.instance_up(now, id);
        self.outs.push_back(Action::NotifyController(PeerMessage::InstanceUp { instance: id.into() }));
        self.carry_out(now);
    }

    /// An instance is known, and was not seen to accept connections yet.
    pub fn is_booting(&self, id: &str) -> bool {
        self.broker.is_booting(id)
    }

    /// A connection to an instance was refused outright.
    pub fn connection_refused(&mut self, now: Nanos, id: &str) {
        self.broker.mark_lost(now, id, false);
        self.outs.push_back(Action::NotifyController(PeerMessage::InstanceDown { instance: id.into() }));
        self.carry_out(now);
    }

    /// Mail from a stall, in this life of it.
    pub fn receive(&mut self, now: Nanos, from: &str, life: u64, notes: Vec<PeerMessage>) {
        match self.lives.get(from) {
            Some(known) if *known == life => {}
            // Late mail of a life that has ended, or the clock of its machine has stepped back: only one that lives can say.
            Some(known) if *known > life => return self.refute(from, *known),
            _ if self.lives.len() > 10_000 => return,
            known => {
                let anew = known.is_some();
                self.lives.insert(from.into(), life);
                // Of one that is heard for the first time, what another owner told of before is out still.
                if anew {
                    self.broker.proxy_left(now, from);
                    self.tell_anew(now, from);
                }
            }
        }
        self.passed_over.remove(from);
        self.heard.insert(from.into(), now);
        for note in notes {
            self.note(now, from, note);
        }
        self.carry_out(now);
    }

    /// A stall is told by which later incarnation it is known here.
    fn refute(&mut self, name: &str, known: u64) {
        if let Some(to) = self.owners.find_living(name).map(|p| p.address.clone()) {
            self.outs.push_back(Action::Send { to, note: PeerMessage::StaleIncarnation { known } });
        }
    }

    fn note(&mut self, now: Nanos, from: &str, note: PeerMessage) {
        let at = |left: f64| now.saturating_add_signed((left.clamp(-1e7, 1e7) * MS as f64) as i64);
        let span = |ms: f64| (ms.clamp(0.0, 1e7) * MS as f64) as Nanos;
        match note {
            PeerMessage::RequestPermit {
                id,
                service,
                left,
                aim,
                target,
                sent,
                first,
                returned,
                avoid,
                zone,
            } => {
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
                self.stand_back(now, &ask);
                self.broker.request_permit(now, from.into(), ask, first);
            }
            PeerMessage::CancelRequest { id } => {
                let passed = self.pass_on(from, id, Outcome::Unused.as_str(), 0.0);
                if !passed {
                    self.broker.cancel(now, from, id);
                }
            }
            PeerMessage::HandOverPermits { service, version, permits } => {
                self.over(now, from, service, version, permits)
            }
            PeerMessage::ForwardRelease { who, id, instance, outcome, took } => {
                // It may have gone on from here by now.
                if self.pass_on(&who, id, &outcome, took) {
                    return;
                }
                let outcome = Outcome::parse(&outcome).unwrap_or(Outcome::Abandoned);
                let stands = |at: &CompactString| self.broker.is_out_at(&who, id, at);
                if instance.as_ref().is_none_or(stands) {
                    self.broker.release(now, &who, id, outcome, span(took));
                } else if !self.broker.is_out(&who, id) {
                    self.broker.came_back(now, &who, id, outcome);
                }
            }
            PeerMessage::ReleasePermit { id, outcome, took } => {
                let passed = self.pass_on(from, id, &outcome, took);
                if !passed {
                    let outcome = Outcome::parse(&outcome).unwrap_or(Outcome::Abandoned);
                    self.broker.release(now, from, id, outcome, span(took));
                }
            }
            PeerMessage::HeldPermit { id, instance, left, .. } => {
                self.broker.counts.held += 1;
                self.broker.hold_permit(now, from.into(), id, &instance, at(left));
            }
            PeerMessage::Grant { id, instance, address, zone } => {
                let zone = zone.unwrap_or_else(|| self.me.zone.clone());
                self.granted(now, from, id, Granted { instance, address, zone });
            }
            PeerMessage::Queued { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| o.owner.as_deref() == Some(from)) {
                    (open.said, open.again) = (now + WAITS - ASK_AGAIN, 0);
                    // It was answered: whoever gave it has nothing to say until then.
                    open.since = now + WAITS;
                }
            }
            PeerMessage::Denied { id, why, wait } => {
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
                    self.outs.push_back(Action::Refused { ask: id, reason: no });
                }
            }
            _ => {}
        }
    }

    /// What control tells.
    pub fn receive_from_controller(&mut self, now: Nanos, note: PeerMessage) {
        self.passed_over.remove(&self.me.name);
        match note {
            PeerMessage::FullView { version, peers, leaving, split } if version > self.owners.version() => {
                self.named(now, MembershipView::new(version, peers, split).with_leaving(leaving).into());
            }
            PeerMessage::ViewChange(shift) if shift.version > self.owners.version() => {
                match self.owners.apply_change(&shift) {
                    Some(owners) => self.named(now, owners),
                    // What lies between was missed: it comes whole.
                    None => self.outs.push_back(Action::NotifyController(PeerMessage::ViewOutdated {
                        version: self.owners.version(),
                    })),
                }
            }
            PeerMessage::Instances { version, all, set, gone }
                if version > self.seen || all && version == self.seen =>
            {
                if version.0 > self.seen.0 && self.seen.0 > 0 {
                    self.renews = now + RENEWS;
                }
                self.seen = version;
                let set = set.into_iter().map(|i| Instance {
                    id: i.id,
                    service: i.service,
                    address: i.address,
                    zone: i.zone,
                    worker: i.worker,
                    stage: stage(i.stage),
                });
                let set: Vec<Instance> = set.collect();
                self.hear_of_zones(set.iter().map(|i| &i.zone));
                let (owners, me) = (&self.owners, &self.me.name);
                let mine = |i: &Instance| owners.owns(me, &i.service, &i.zone).is_ok();
                if all && now < self.renews {
                    self.broker.merge_instances(now, set, mine);
                } else if all {
                    self.broker.replace_instances(now, set, mine);
                } else {
                    for i in set {
                        let mine = mine(&i);
                        self.broker.update_instance(now, i, mine);
                    }
                    gone.iter().for_each(|id| self.broker.remove_instance(now, id));
                }
                self.carry_out(now);
            }
            PeerMessage::MinInstances { service, count, fence, left } => {
                let until = now + (left.clamp(0.0, 1e7) * MS as f64) as Nanos;
                self.broker.set_floor(now, &service, count, fence, until);
                self.carry_out(now);
            }
            _ => {}
        }
    }

    /// Mail to a stall came back: it is passed over for a while, and what it was asked goes to the next.
    pub fn undelivered(&mut self, now: Nanos, address: &str, notes: Vec<PeerMessage>) {
        let roster = self.owners.view();
        let mut living = roster.peers().iter().chain(roster.leaving());
        let Some(name) = living.find(|p| p.address == address).map(|p| p.name.clone()) else { return };
        self.passed_over.insert(name.clone(), now + PASSED_OVER);
        for note in notes {
            // It may have come all the same, late: a slot that was granted is not given to another on that account. Who did not hear of
            // it hears again, and says if it has no use for it.
            let again = match &note {
                PeerMessage::Grant { id, .. } => self.broker.has_request(&name, *id),
                PeerMessage::HandOverPermits { version, .. } => *version == self.owners.version(),
                PeerMessage::ForwardRelease { .. } => true,
                _ => false,
            };
            if again {
                self.outs.push_back(Action::Send { to: address.into(), note });
            }
        }
        self.carry_out(now);
        self.replace(now);
        self.carry_out(now);
    }

    /// Control can't be told anything: for a while others own what this stall owned, so that it can be started and stopped.
    pub fn controller_unreachable(&mut self, now: Nanos) {
        self.passed_over.insert(self.me.name.clone(), now + PASSED_OVER);
        self.replace(now);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Nanos) {
        // Refusals and grants of this stall's own may lead to further ones.
        loop {
            let effects = self.broker.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.effect(now, effect);
            }
        }
    }

    fn effect(&mut self, now: Nanos, effect: Effect) {
        match effect {
            Effect::Grant { to, ask, instance } if to == self.me.name => match self.open.get_mut(&ask) {
                Some(open) if open.granted.is_none() => {
                    open.granted = Some((instance.id.clone(), instance.zone.clone()));
                    let (instance, address) = (instance.id, instance.address);
                    self.outs.push_back(Action::Granted { ask, instance, address });
                }
                Some(_) => {}
                None => self.broker.release(now, &to, ask, Outcome::Unused, 0),
            },
            Effect::Refuse { to, ask, reason: no } if to == self.me.name => {
                if self.open.remove(&ask).is_some() {
                    self.outs.push_back(Action::Refused { ask, reason: no });
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
                    PeerMessage::Denied { id: ask, why: no.as_str().into(), wait: wait as f64 / MS as f64 },
                );
            }
            Effect::Queued { to, .. } if to == self.me.name => {}
            Effect::Queued { to, ask } => self.send(&to, PeerMessage::Queued { id: ask }),
            Effect::SetInstanceTarget { service, count, zones, strain, does, slow } => {
                let lot = (self.owners.partition_count(&service) > 1).then(|| self.me.zone.clone());
                self.outs.push_back(Action::NotifyController(PeerMessage::DesiredInstances {
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
                self.outs.push_back(Action::NotifyController(PeerMessage::RetireInstance { instance }))
            }
            Effect::ReportLost(instance) => {
                self.outs.push_back(Action::NotifyController(PeerMessage::InstanceDown { instance }))
            }
            Effect::ProbeReadiness { instance, from } => {
                self.outs.push_back(Action::ProbeReadiness { instance, from })
            }
        }
    }

    /// Owners that answer nothing are passed over, and control hears of it. Where nobody at all is heard, it may well be this stall that
    /// nobody hears.
    fn pass_over_the_deaf(&mut self, now: Nanos) {
        let lately = |name: &str| self.heard.get(name).is_some_and(|at| at + DEAF > now);
        let mut deaf = BTreeSet::new();
        for open in self.open.values().filter(|o| o.granted.is_none() && o.since + DEAF <= now) {
            let of = open.owner.as_ref().filter(|name| **name != self.me.name && !lately(name));
            deaf.extend(
                of.filter(|name| self.passed_over.get(*name).is_none_or(|until| *until <= now)).cloned(),
            );
        }
        if deaf.is_empty() || !self.heard.keys().any(|name| lately(name)) {
            return;
        }
        for peer in deaf {
            self.passed_over.insert(peer.clone(), now + PASSED_OVER);
            self.outs.push_back(Action::NotifyController(PeerMessage::PeerUnreachable {
                peer,
                from: self.me.name.clone(),
            }));
        }
        self.replace(now);
        self.carry_out(now);
    }

    /// Time passes.
    pub fn tick(&mut self, now: Nanos) {
        self.broker.tick(now);
        self.end_missing(now);
        self.carry_out(now);
        self.pass_over_the_deaf(now);
        let due = |o: &Open| o.said + (ASK_AGAIN << o.again.min(3)) <= now;
        let silent = self.open.iter().filter(|(_, o)| o.granted.is_none() && due(o));
        for id in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            // An owner that is slow is not helped by more of the same.
            if let Some(open) = self.open.get_mut(&id) {
                open.again += 1;
            }
            self.place(now, id);
        }
    }
}
