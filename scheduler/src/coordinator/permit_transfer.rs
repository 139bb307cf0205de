//! Transfer of outstanding permits between successive owners of a function, and forwarding of late
//! releases.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_protocol::{PeerMessage, Permit, Version};

use super::{Action, Coordinator, HandedOver, MAX_OPEN_REQUESTS, PendingRequest};
use crate::function::Released;
use crate::owners::Owners;
use crate::{MS, Nanos, Outcome};

impl Coordinator {
    /// Sends the outstanding permits of a released function to its new owners.
    pub(super) fn hand_over(
        &mut self,
        now: Nanos,
        Released { function: service, permits: released }: Released,
    ) {
        let mut receivers: BTreeMap<CompactString, (CompactString, Vec<Permit>)> = BTreeMap::new();
        for zone in self.owners.partition_zones(&service, &self.me.zone) {
            if let Some(owner) =
                self.owners.owner(&service, zone, |_| true).filter(|p| p.name != self.me.name)
            {
                receivers.entry(owner.name.clone()).or_insert_with(|| (owner.address.clone(), Vec::new()));
            }
        }
        self.handed_over.retain(|_, entry| entry.until > now);
        for permit in released {
            let Some(owner) = self.owners.owner(&service, &permit.zone, |_| true) else { continue };
            let Some((_, permits)) = receivers.get_mut(&owner.name) else { continue };
            let left = (permit.until as f64 - now as f64) / MS as f64;
            let (to, instance) = (owner.name.clone(), permit.instance.clone());
            self.record_hand_over(
                (permit.who.clone(), permit.request_id),
                HandedOver { to, instance, until: permit.until },
            );
            self.scheduler.counts.handed_over += 1;
            permits.push(Permit { who: permit.who, id: permit.request_id, instance: permit.instance, left });
        }
        let version = self.owners.version();
        for (to, permits) in receivers.into_values() {
            let message = PeerMessage::HandOverPermits { service: service.clone(), version, permits };
            self.actions.push_back(Action::Send { to, note: message });
        }
    }

    fn record_hand_over(&mut self, key: (CompactString, u64), entry: HandedOver) {
        if self.handed_over.len() < MAX_OPEN_REQUESTS {
            self.handed_over.insert(key, entry);
        }
    }

    /// Handles the transfer of outstanding permits from a previous owner. Ownership may have changed again
    /// while the message was in transit: permits that belong to another owner under a newer view are
    /// forwarded to it, and so are their later releases. Under the view of the message, or an older one,
    /// nothing is forwarded, as it would be sent back and forth.
    pub(super) fn receive_transfer(
        &mut self,
        now: Nanos,
        from: &str,
        service: CompactString,
        version: Version,
        permits: Vec<Permit>,
    ) {
        let overtaken = self.owners.version() > version;
        let mut to_forward: BTreeMap<CompactString, Vec<Permit>> = BTreeMap::new();
        for permit in permits {
            match self.other_owner(&service, &permit.instance).filter(|_| overtaken) {
                Some(owner) => to_forward.entry(owner).or_default().push(permit),
                None => self.take_over_permit(now, from, permit),
            }
        }
        for (owner, permits) in to_forward {
            self.forward_transfer(now, from, &service, &owner, permits);
        }
        if self.transfers_received.len() < MAX_OPEN_REQUESTS {
            self.transfers_received.entry(service.clone()).or_default().insert(from.into(), version);
        }
        self.scheduler.transfer_complete(now, &service, from);
    }

    /// Takes over a permit granted by a previous owner.
    fn take_over_permit(&mut self, now: Nanos, from: &str, permit: Permit) {
        let until = until(now, permit.left);
        let is_own = permit.who == self.me.name;
        self.scheduler.take_over_permit(now, permit.who, permit.id, &permit.instance, until);
        // This proxy's own permits are released here directly: by way of the previous owner, the slot
        // would stay taken longer.
        if is_own && self.scheduler.has_request(&self.me.name, permit.id) {
            let me = self.me.name.clone();
            self.redirect_release(from, permit.id, &permit.instance, me);
        }
    }

    /// Forwards permits of a function that is no longer owned here to its current owner.
    fn forward_transfer(
        &mut self,
        now: Nanos,
        from: &str,
        service: &CompactString,
        owner: &CompactString,
        permits: Vec<Permit>,
    ) {
        for permit in &permits {
            if permit.who == self.me.name {
                self.redirect_release(from, permit.id, &permit.instance, owner.clone());
            } else {
                let entry = HandedOver {
                    to: owner.clone(),
                    instance: permit.instance.clone(),
                    until: until(now, permit.left),
                };
                self.record_hand_over((permit.who.clone(), permit.id), entry);
            }
        }
        let version = self.owners.version();
        self.send(owner, PeerMessage::HandOverPermits { service: service.clone(), version, permits });
    }

    /// Redirects the release of a permit held by this proxy to another owner.
    fn redirect_release(&mut self, from: &str, id: u64, instance: &str, owner: CompactString) {
        let is_granted_there = |open: &&mut PendingRequest| {
            open.owner.as_deref() == Some(from) && open.granted.as_ref().is_some_and(|(at, _)| at == instance)
        };
        if let Some(open) = self.open.get_mut(&id).filter(is_granted_there) {
            open.owner = Some(owner);
        }
    }

    /// Owner of an instance, if that is another proxy and can be determined here.
    fn other_owner(&self, service: &str, instance: &str) -> Option<CompactString> {
        let zone = match self.scheduler.zone_of(instance) {
            Some(zone) => zone,
            // With a single owner, the zone does not matter.
            None if self.owners.partition_count(service) <= 1 => &self.me.zone,
            None => return None,
        };
        let owner = self.owners.owner(service, zone, |_| true)?;
        (owner.name != self.me.name).then(|| owner.name.clone())
    }

    /// Handles a grant from `from`. Each request uses one grant, and its assigned owner is told which.
    pub(super) fn receive_grant(&mut self, now: Nanos, from: &str, id: u64, granted: Granted) {
        let Some(open) = self.open.get(&id) else { return self.release_unused(from, id) };
        let is_assigned = open.owner.as_deref() == Some(from);
        match &open.granted {
            None if is_assigned => self.take_grant(id, granted),
            // The grant was in transit while the request moved to the new owner, which grants no second
            // permit once it is notified.
            None if self.owned_previously(from, &open.request.service, &granted.zone) => {
                self.take_grant(id, granted);
                self.notify_held(now, id);
            }
            // Duplicate of the same grant.
            Some((instance, _)) if *instance == granted.instance => {}
            // This owner did not yet know of the first grant.
            Some(_) if is_assigned => self.notify_held(now, id),
            _ => self.release_unused(from, id),
        }
    }

    fn take_grant(&mut self, id: u64, granted: Granted) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.granted = Some((granted.instance.clone(), granted.zone));
        self.actions.push_back(Action::Granted {
            ask: id,
            instance: granted.instance,
            address: granted.address,
        });
    }

    /// Returns a grant for which there is no open request.
    fn release_unused(&mut self, from: &str, id: u64) {
        self.send(
            from,
            PeerMessage::ReleasePermit { id, outcome: Outcome::Unused.as_str().into(), took: 0.0 },
        );
    }

    /// Whether that proxy owned the function in the zone under the previous view and does not own it now.
    fn owned_previously(&self, from: &str, service: &str, zone: &str) -> bool {
        let owns = |owners: &Owners| owners.owner(service, zone, |_| true).is_some_and(|p| p.name == from);
        owns(&self.previous_owners) && !owns(&self.owners)
    }

    /// Notifies the assigned owner of the instance on which a request was granted.
    fn notify_held(&mut self, now: Nanos, id: u64) {
        let Some(open) = self.open.get(&id) else { return };
        let (Some(owner), Some((instance, _))) = (open.owner.clone(), open.granted.clone()) else { return };
        let (service, deadline) = (open.request.service.clone(), open.request.deadline);
        if owner == self.me.name {
            return self.scheduler.hold_permit(now, owner, id, &instance, deadline);
        }
        if let Some(to) = self.owners.find_living(&owner).map(|peer| peer.address.clone()) {
            self.send_held(now, to, id, service, instance, deadline);
        }
    }

    /// Forwards the release of a permit that was transferred to another owner. Returns whether it was.
    pub(super) fn forward_release(&mut self, from: &str, id: u64, outcome: &str, took: f64) -> bool {
        let Some(entry) = self.handed_over.remove(&(from.into(), id)) else { return false };
        let (instance, outcome) = (Some(entry.instance), outcome.into());
        let message = PeerMessage::ForwardRelease { who: from.into(), id, instance, outcome, took };
        self.send(&entry.to, message);
        true
    }
}

pub(super) struct Granted {
    pub instance: CompactString,
    pub address: CompactString,
    pub zone: CompactString,
}

/// Converts a remaining time in milliseconds to a point in time.
fn until(now: Nanos, left: f64) -> Nanos {
    now.saturating_add_signed((left.clamp(-1e7, 1e7) * MS as f64) as i64)
}
