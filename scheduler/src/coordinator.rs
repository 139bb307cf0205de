//! Coordination of one proxy with its peers: which proxy owns which function, the open permit requests of
//! this proxy, and the scheduler for the functions it owns. Takes messages, requests and time, and returns
//! actions; performs no I/O and reads no clock.
//!
//! Invariant: an open request is assigned to at most one owner at a time, and to none until an owner is
//! known.

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

/// A permit request without any response is sent again after this time.
const RESEND_AFTER: Nanos = 300 * MS;
/// A permit request reported as queued is sent again after this time.
const QUEUED_RESEND_AFTER: Nanos = 1_500 * MS;
/// A proxy that has not answered a permit request for this time, and from which nothing else arrived, is
/// taken to be dead: owners answer every request at once, if only to say that it is queued.
const UNRESPONSIVE_AFTER: Nanos = 400 * MS;
/// A proxy to which a message could not be delivered is skipped for this time.
const SKIP_TIME: Nanos = SECOND;
/// Time for a new leader to learn which proxies are alive; each reports every 450 ms.
const UNCONFIRMED_TIMEOUT: Nanos = 800 * MS;
/// Time for a new leader to learn which instances exist.
const RENEWAL_TIME: Nanos = 2 * SECOND;
/// Maximum number of open permit requests.
const MAX_OPEN_REQUESTS: usize = 20_000;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another proxy.
    Send {
        /// Address of the proxy.
        to: CompactString,
        /// The message.
        note: PeerMessage,
    },
    /// A permit request of this proxy was granted.
    Granted {
        /// Request id.
        ask: u64,
        /// Granted instance.
        instance: CompactString,
        /// Address of the instance.
        address: CompactString,
    },
    /// A permit request of this proxy was denied.
    Refused {
        /// Request id.
        ask: u64,
        /// Reason of the denial.
        reason: DenialReason,
    },
    /// Send a message to the controller.
    NotifyController(PeerMessage),
    /// Find out when this instance accepts connections.
    ProbeReadiness {
        /// Instance to probe.
        instance: Instance,
        /// Earliest time to start.
        from: Nanos,
    },
}

impl Action {
    /// Adds all fields to a digest.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            Action::Send { to, note: message } => message.fold(into.text("send").text(to)),
            Action::Granted { ask: request_id, instance, address } => {
                into.text("granted").whole(*request_id).text(instance).text(address);
            }
            Action::Refused { ask: request_id, reason } => {
                into.text("refused").whole(*request_id).text(reason.as_str());
                if let DenialReason::Full(wait) = reason {
                    into.whole(*wait);
                }
            }
            Action::NotifyController(message) => message.fold(into.text("up")),
            Action::ProbeReadiness { instance, from } => {
                into.text("scout").text(&instance.id).text(&instance.service).text(&instance.address);
                into.whole(instance.stage as u64).whole(*from);
            }
        }
    }
}

/// An open permit request of this proxy, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequest<'a> {
    /// Name of the function.
    pub service: &'a str,
    /// Proxy that handles the request, if one is known.
    pub owner: Option<&'a str>,
    /// Granted instance, if any.
    pub instance: Option<&'a str>,
    /// Time after which the client no longer waits.
    pub deadline: Nanos,
}

#[derive(Debug)]
struct PendingRequest {
    request: PermitRequest,
    first: bool,
    /// Proxy that handles the request; `None` while no owner is known.
    owner: Option<CompactString>,
    last_sent: Nanos,
    /// When the current owner was first asked; after it reported the request as queued, when it is due to
    /// be asked again.
    waiting_since: Nanos,
    /// Number of times the request was sent again.
    resends: u32,
    /// Granted instance and its zone.
    granted: Option<(CompactString, CompactString)>,
}

/// A permit transferred to another owner.
#[derive(Debug)]
struct HandedOver {
    /// New owner.
    to: CompactString,
    instance: CompactString,
    /// Time after which the entry is obsolete.
    until: Nanos,
}

/// Coordination state of one proxy.
#[derive(Debug)]
pub struct Coordinator {
    me: Peer,
    scheduler: Scheduler,
    owners: Owners,
    /// Owners of the previous membership view.
    previous_owners: Owners,
    /// Digest of the current membership view.
    current_digest: u64,
    instances_version: (u64, u64),
    /// Until this time, snapshots of a new leader may lack instances that it has yet to learn of from this
    /// proxy.
    renewing_until: Nanos,
    /// Incarnations of proxies that sent messages, by name.
    incarnations: BTreeMap<CompactString, u64>,
    skipped_until: BTreeMap<CompactString, Nanos>,
    /// Time of the last message from each proxy.
    last_heard: BTreeMap<CompactString, Nanos>,
    /// All zones seen so far: instances may exist in zones without a proxy.
    zones: BTreeSet<CompactString>,
    /// Proxies missing from the view of a new leader, which may not have heard of them yet, and when they
    /// are taken to be gone.
    unconfirmed: BTreeMap<CompactString, Nanos>,
    /// Addresses of proxies from earlier views: they may not know yet that they were removed, and may
    /// still send requests.
    departed: BTreeMap<CompactString, CompactString>,
    open: BTreeMap<u64, PendingRequest>,
    /// Permits transferred to another owner; their holders may not know yet.
    handed_over: BTreeMap<(CompactString, u64), HandedOver>,
    /// Previous owners that have transferred all their permits, by function, with the version of the view
    /// under which they did.
    transfers_received: BTreeMap<CompactString, BTreeMap<CompactString, Version>>,
    last_id: u64,
    actions: VecDeque<Action>,
    /// Recompute everything on each change, as a reference in tests.
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
    /// `first`: base of the request ids; must be higher than any id of an earlier incarnation.
    pub fn new(me: Peer, limits: SchedulerLimits, seed: u64, first: u64) -> Self {
        let owners = Owners::default();
        Coordinator {
            me,
            previous_owners: Owners::default(),
            scheduler: Scheduler::new(limits, seed),
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

    /// Returns and clears the pending actions.
    pub fn take_actions(&mut self) -> VecDeque<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Starts recording the reasons for decisions about the functions owned here.
    pub fn explain(&mut self) {
        self.scheduler.explain();
    }

    /// Returns and clears the recorded reasons.
    pub fn reasons(&mut self) -> Vec<Reason> {
        self.scheduler.reasons()
    }

    /// The proxies known to be alive.
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// The scheduler for the functions owned here.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Whether a membership view has arrived from the controller.
    pub fn has_view(&self) -> bool {
        self.owners.version() > (0, 0)
    }

    /// Version of the membership view and the functions split in it.
    pub fn view_split(&self) -> Option<((u64, u64), Vec<CompactString>)> {
        self.has_view().then(|| (self.owners.version(), self.owners.split().iter().cloned().collect()))
    }

    /// Digest of the membership view.
    pub fn view_digest(&self) -> Option<u64> {
        self.has_view().then_some(self.current_digest)
    }

    /// Number of open permit requests, including granted ones.
    pub fn open_request_count(&self) -> usize {
        self.open.len()
    }

    /// The open permit requests, in the order in which they were made.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest<'_>> {
        self.open.values().map(|open| OpenRequest {
            service: &open.request.service,
            owner: open.owner.as_deref(),
            instance: open.granted.as_ref().map(|(instance, _)| instance.as_str()),
            deadline: open.request.deadline,
        })
    }

    /// Applies the functions of the current configuration.
    pub fn configure(&mut self, now: Nanos, specs: impl Iterator<Item = FunctionSpec>) {
        self.scheduler.configure(now, specs);
        self.update_ownership(now, &self.owners.clone(), &OwnershipChange::all());
    }

    /// Recomputes ownership after a change; `before` are the previous owners.
    fn update_ownership(&mut self, now: Nanos, before: &Owners, change: &OwnershipChange) {
        let (owners, me, received, unconfirmed) =
            (&self.owners, &self.me, &self.transfers_received, &self.unconfirmed);
        let transfer = |service: &str, zones: &BTreeSet<CompactString>| {
            let received_for = received.get(service);
            let has_transferred = |name: &str| {
                received_for.and_then(|t| t.get(name)).is_some_and(|version| *version >= owners.version())
            };
            // A proxy that is shutting down transfers its permits like any other.
            let will_transfer = |name: &str| {
                (owners.find_living(name).is_some() || unconfirmed.contains_key(name))
                    && !has_transferred(name)
            };
            let mut transfer = Transfer::default();
            // A function that is not split has the same owner in all zones.
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
                    transfer.from.extend(was.filter(|name| will_transfer(name)));
                }
            }
            transfer
        };
        let released = self.scheduler.update_ownership(now, me, owners, change, transfer);
        for released in released {
            self.hand_over(now, released);
        }
        self.process_effects(now);
    }

    /// The proxy that handles requests for a function. Until the first membership view arrives there is
    /// none, since several proxies would grant the same slots.
    fn owner_of(&self, now: Nanos, service: &str) -> Option<&Peer> {
        if !self.has_view() {
            return None;
        }
        let is_reachable = |p: &Peer| self.skipped_until.get(&p.name).is_none_or(|until| *until <= now);
        self.owners.owner(service, &self.me.zone, is_reachable).or(Some(&self.me))
    }

    /// Requests a permit. Returns the id under which it is granted or denied, possibly at once; `None` if
    /// too many requests are open.
    pub fn request_permit(&mut self, now: Nanos, mut request: PermitRequest, first: bool) -> Option<u64> {
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return None;
        }
        self.last_id += 1;
        let id = self.last_id;
        request.id = id;
        self.open.insert(
            id,
            PendingRequest {
                request,
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

    /// Sends an open request to its current owner.
    fn route_request(&mut self, now: Nanos, id: u64) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(owner) = self.owner_of(now, &open.request.service).cloned() else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.owner.as_ref() != Some(&owner.name) {
            (open.owner, open.waiting_since, open.resends) = (Some(owner.name.clone()), now, 0);
        }
        open.last_sent = now;
        let (request, first) = (open.request.clone(), open.first);
        if owner.name == self.me.name {
            self.defer_to_owner(now, &request);
            self.scheduler.request_permit(now, self.me.name.clone(), request, first);
            return self.process_effects(now);
        }
        let ms = |until: Nanos| (until as f64 - now as f64) / MS as f64;
        let message = PeerMessage::RequestPermit {
            id,
            left: ms(request.deadline),
            aim: ms(request.soft_deadline),
            target: request.target as f64 / MS as f64,
            service: request.service,
            sent: request.attempts_sent,
            first,
            returned: request.returned,
            avoid: request.avoid,
            zone: request.zone,
        };
        self.actions.push_back(Action::Send { to: owner.address, note: message });
    }

    /// While the owner is known to be alive it grants its slots itself; a proxy asked in its place waits
    /// until nothing has been heard from the owner for a while.
    fn defer_to_owner(&mut self, now: Nanos, request: &PermitRequest) {
        let owner = self.owners.owner(&request.service, &request.zone, |_| true);
        let last_heard = owner.filter(|p| p.name != self.me.name).and_then(|p| self.last_heard.get(&p.name));
        if let Some(at) = last_heard.filter(|at| **at + UNRESPONSIVE_AFTER > now) {
            self.scheduler.defer_to_owner(&request.service, at + UNRESPONSIVE_AFTER);
        }
    }

    /// Cancels a request whose client no longer waits.
    pub fn cancel(&mut self, now: Nanos, id: u64) {
        self.finish(now, id, Outcome::Unused, 0);
    }

    /// Ends a granted attempt.
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
        let message = if open.granted.is_some() {
            PeerMessage::ReleasePermit { id, outcome: outcome.as_str().into(), took: took as f64 / MS as f64 }
        } else {
            PeerMessage::CancelRequest { id }
        };
        self.send(&owner, message);
    }

    /// Address of a proxy that is alive or was listed in an earlier view.
    pub fn address_of(&self, name: &str) -> Option<&CompactString> {
        let living = self.owners.find_living(name).map(|peer| &peer.address);
        living.or_else(|| self.departed.get(name))
    }

    fn send(&mut self, name: &str, message: PeerMessage) {
        match self.address_of(name).cloned() {
            Some(to) => self.actions.push_back(Action::Send { to, note: message }),
            None => self.scheduler.counts.unaddressed += 1,
        }
    }

    /// Records that an instance accepts connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        self.scheduler.instance_up(now, id);
        self.actions.push_back(Action::NotifyController(PeerMessage::InstanceUp { instance: id.into() }));
        self.process_effects(now);
    }

    /// Whether an instance is known and has not yet been seen accepting connections.
    pub fn is_booting(&self, id: &str) -> bool {
        self.scheduler.is_booting(id)
    }

    /// Records that an instance refused a connection.
    pub fn connection_refused(&mut self, now: Nanos, id: &str) {
        self.scheduler.mark_lost(now, id, false);
        self.actions.push_back(Action::NotifyController(PeerMessage::InstanceDown { instance: id.into() }));
        self.process_effects(now);
    }

    /// Handles messages from an incarnation of another proxy.
    pub fn receive(&mut self, now: Nanos, from: &str, incarnation: u64, messages: Vec<PeerMessage>) {
        match self.incarnations.get(from) {
            Some(known) if *known == incarnation => {}
            // Either a late message of an earlier incarnation, or the sender's clock was set back. Only a
            // sender that is alive can tell.
            Some(known) if *known > incarnation => return self.reject_stale_incarnation(from, *known),
            _ if self.incarnations.len() > 10_000 => return,
            known => {
                let restarted = known.is_some();
                self.incarnations.insert(from.into(), incarnation);
                // On first contact, permits reported by a previous owner remain outstanding.
                if restarted {
                    self.scheduler.proxy_left(now, from);
                    self.resend_held(now, from);
                }
            }
        }
        self.skipped_until.remove(from);
        self.last_heard.insert(from.into(), now);
        for message in messages {
            self.handle_message(now, from, message);
        }
        self.process_effects(now);
    }

    /// Tells a proxy which later incarnation of it is known here.
    fn reject_stale_incarnation(&mut self, name: &str, known: u64) {
        if let Some(to) = self.owners.find_living(name).map(|p| p.address.clone()) {
            self.actions.push_back(Action::Send { to, note: PeerMessage::StaleIncarnation { known } });
        }
    }

    fn handle_message(&mut self, now: Nanos, from: &str, message: PeerMessage) {
        let at = |left: f64| now.saturating_add_signed((left.clamp(-1e7, 1e7) * MS as f64) as i64);
        let span = |ms: f64| (ms.clamp(0.0, 1e7) * MS as f64) as Nanos;
        match message {
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
                let request = PermitRequest {
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
                self.defer_to_owner(now, &request);
                self.scheduler.request_permit(now, from.into(), request, first);
            }
            PeerMessage::CancelRequest { id } => {
                let forwarded = self.forward_release(from, id, Outcome::Unused.as_str(), 0.0);
                if !forwarded {
                    self.scheduler.cancel(now, from, id);
                }
            }
            PeerMessage::HandOverPermits { service, version, permits } => {
                self.receive_transfer(now, from, service, version, permits)
            }
            PeerMessage::ForwardRelease { who, id, instance, outcome, took } => {
                // The permit may have been transferred to another owner meanwhile.
                if self.forward_release(&who, id, &outcome, took) {
                    return;
                }
                let outcome = Outcome::parse(&outcome).unwrap_or(Outcome::Abandoned);
                let is_same_grant = |at: &CompactString| self.scheduler.is_granted_at(&who, id, at);
                if instance.as_ref().is_none_or(is_same_grant) {
                    self.scheduler.release(now, &who, id, outcome, span(took));
                } else if !self.scheduler.is_granted(&who, id) {
                    self.scheduler.permit_returned(now, &who, id, outcome);
                }
            }
            PeerMessage::ReleasePermit { id, outcome, took } => {
                let forwarded = self.forward_release(from, id, &outcome, took);
                if !forwarded {
                    let outcome = Outcome::parse(&outcome).unwrap_or(Outcome::Abandoned);
                    self.scheduler.release(now, from, id, outcome, span(took));
                }
            }
            PeerMessage::HeldPermit { id, instance, left, .. } => {
                self.scheduler.counts.held += 1;
                self.scheduler.hold_permit(now, from.into(), id, &instance, at(left));
            }
            PeerMessage::Grant { id, instance, address, zone } => {
                let zone = zone.unwrap_or_else(|| self.me.zone.clone());
                self.receive_grant(now, from, id, Granted { instance, address, zone });
            }
            PeerMessage::Queued { id } => {
                if let Some(open) = self.open.get_mut(&id).filter(|o| o.owner.as_deref() == Some(from)) {
                    (open.last_sent, open.resends) = (now + QUEUED_RESEND_AFTER - RESEND_AFTER, 0);
                    // The request was answered, so the owner owes no response until this time.
                    open.waiting_since = now + QUEUED_RESEND_AFTER;
                }
            }
            PeerMessage::Denied { id, why, wait } => {
                let mine = self
                    .open
                    .get(&id)
                    .is_some_and(|o| o.granted.is_none() && o.owner.as_deref() == Some(from));
                if mine {
                    self.open.remove(&id);
                    let reason = match why.as_str() {
                        "skip" => DenialReason::Skip,
                        "spent" => DenialReason::Spent,
                        "unknown" => DenialReason::Unknown,
                        "moved" => DenialReason::Moved,
                        _ => DenialReason::Full(span(wait)),
                    };
                    self.actions.push_back(Action::Refused { ask: id, reason });
                }
            }
            _ => {}
        }
    }

    /// Handles a message from the controller.
    pub fn receive_from_controller(&mut self, now: Nanos, message: PeerMessage) {
        self.skipped_until.remove(&self.me.name);
        match message {
            PeerMessage::FullView { version, peers, leaving, split } if version > self.owners.version() => {
                self.apply_view(now, MembershipView::new(version, peers, split).with_leaving(leaving).into());
            }
            PeerMessage::ViewChange(change) if change.version > self.owners.version() => {
                match self.owners.apply_change(&change) {
                    Some(owners) => self.apply_view(now, owners),
                    // A change in between was missed: request the full view.
                    None => self.actions.push_back(Action::NotifyController(PeerMessage::ViewOutdated {
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
            PeerMessage::MinInstances { service, count, fence, left } => {
                let until = now + (left.clamp(0.0, 1e7) * MS as f64) as Nanos;
                self.scheduler.set_min_instances(now, &service, count, fence, until);
                self.process_effects(now);
            }
            _ => {}
        }
    }

    /// Handles messages that could not be delivered: the proxy is skipped for a while and its requests go
    /// to the next one.
    pub fn undelivered(&mut self, now: Nanos, address: &str, messages: Vec<PeerMessage>) {
        let view = self.owners.view();
        let mut living = view.peers().iter().chain(view.leaving());
        let Some(name) = living.find(|p| p.address == address).map(|p| p.name.clone()) else { return };
        self.skipped_until.insert(name.clone(), now + SKIP_TIME);
        for message in messages {
            // The message may still have been delivered late, so a granted slot is not reused. Messages
            // about permits are sent again; a receiver without use for a permit releases it.
            let resend = match &message {
                PeerMessage::Grant { id, .. } => self.scheduler.has_request(&name, *id),
                PeerMessage::HandOverPermits { version, .. } => *version == self.owners.version(),
                PeerMessage::ForwardRelease { .. } => true,
                _ => false,
            };
            if resend {
                self.actions.push_back(Action::Send { to: address.into(), note: message });
            }
        }
        self.process_effects(now);
        self.reroute_requests(now);
        self.process_effects(now);
    }

    /// Handles the loss of contact to the controller: for a while other proxies handle the functions owned
    /// here, so that instances can be started and stopped.
    pub fn controller_unreachable(&mut self, now: Nanos) {
        self.skipped_until.insert(self.me.name.clone(), now + SKIP_TIME);
        self.reroute_requests(now);
        self.process_effects(now);
    }

    fn process_effects(&mut self, now: Nanos) {
        // Denials and grants for this proxy may cause further effects.
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
            Effect::Grant { to, request_id, instance } if to == self.me.name => {
                match self.open.get_mut(&request_id) {
                    Some(open) if open.granted.is_none() => {
                        open.granted = Some((instance.id.clone(), instance.zone.clone()));
                        let (instance, address) = (instance.id, instance.address);
                        self.actions.push_back(Action::Granted { ask: request_id, instance, address });
                    }
                    Some(_) => {}
                    None => self.scheduler.release(now, &to, request_id, Outcome::Unused, 0),
                }
            }
            Effect::Refuse { to, request_id, reason } if to == self.me.name => {
                if self.open.remove(&request_id).is_some() {
                    self.actions.push_back(Action::Refused { ask: request_id, reason });
                }
            }
            Effect::Grant { to, request_id, instance } => {
                let same_zone = self.owners.find(&to).is_some_and(|p| p.zone == instance.zone);
                let zone = (!same_zone).then_some(instance.zone);
                let message = PeerMessage::Grant {
                    id: request_id,
                    instance: instance.id,
                    address: instance.address,
                    zone,
                };
                self.send(&to, message);
            }
            Effect::Refuse { to, request_id, reason } => {
                let wait = if let DenialReason::Full(wait) = reason { wait } else { 0 };
                self.send(
                    &to,
                    PeerMessage::Denied {
                        id: request_id,
                        why: reason.as_str().into(),
                        wait: wait as f64 / MS as f64,
                    },
                );
            }
            Effect::Queued { to, .. } if to == self.me.name => {}
            Effect::Queued { to, request_id } => self.send(&to, PeerMessage::Queued { id: request_id }),
            Effect::SetInstanceTarget { service, count, zones, load, status, slow_workers } => {
                let home_zone = (self.owners.partition_count(&service) > 1).then(|| self.me.zone.clone());
                self.actions.push_back(Action::NotifyController(PeerMessage::DesiredInstances {
                    service,
                    count,
                    zones,
                    lot: home_zone,
                    strain: load,
                    does: status,
                    slow: slow_workers,
                }))
            }
            Effect::Retire(instance) => {
                self.actions.push_back(Action::NotifyController(PeerMessage::RetireInstance { instance }))
            }
            Effect::ReportLost(instance) => {
                self.actions.push_back(Action::NotifyController(PeerMessage::InstanceDown { instance }))
            }
            Effect::ProbeReadiness { instance, from } => {
                self.actions.push_back(Action::ProbeReadiness { instance, from })
            }
        }
    }

    /// Skips owners that do not respond and reports them to the controller. If no proxy at all responds,
    /// the fault is probably on this side and nothing is done.
    fn skip_unresponsive(&mut self, now: Nanos) {
        let recently_heard =
            |name: &str| self.last_heard.get(name).is_some_and(|at| at + UNRESPONSIVE_AFTER > now);
        let mut unresponsive = BTreeSet::new();
        for open in
            self.open.values().filter(|o| o.granted.is_none() && o.waiting_since + UNRESPONSIVE_AFTER <= now)
        {
            let of = open.owner.as_ref().filter(|name| **name != self.me.name && !recently_heard(name));
            unresponsive.extend(
                of.filter(|name| self.skipped_until.get(*name).is_none_or(|until| *until <= now)).cloned(),
            );
        }
        if unresponsive.is_empty() || !self.last_heard.keys().any(|name| recently_heard(name)) {
            return;
        }
        for peer in unresponsive {
            self.skipped_until.insert(peer.clone(), now + SKIP_TIME);
            self.actions.push_back(Action::NotifyController(PeerMessage::PeerUnreachable {
                peer,
                from: self.me.name.clone(),
            }));
        }
        self.reroute_requests(now);
        self.process_effects(now);
    }

    /// Processes time: expiry, unresponsive owners and resends.
    pub fn tick(&mut self, now: Nanos) {
        self.scheduler.tick(now);
        self.expire_unconfirmed(now);
        self.process_effects(now);
        self.skip_unresponsive(now);
        let due = |o: &PendingRequest| o.last_sent + (RESEND_AFTER << o.resends.min(3)) <= now;
        let unanswered = self.open.iter().filter(|(_, o)| o.granted.is_none() && due(o));
        for id in unanswered.map(|(id, _)| *id).collect::<Vec<_>>() {
            // Resend with increasing intervals, since more of the same requests would not help a slow
            // owner.
            if let Some(open) = self.open.get_mut(&id) {
                open.resends += 1;
            }
            self.route_request(now, id);
        }
    }
}
