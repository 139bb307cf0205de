//! Permits that pass from one owner of a function to the next, and what comes back to the one before.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_protocol::{PeerMessage, Permit, Version};

use super::{Action, Coordinator, HandedOver, MAX_OPEN_REQUESTS, PendingRequest};
use crate::function::Released;
use crate::owners::Owners;
use crate::{MS, Nanos, Outcome};

impl Coordinator {
    /// The new owners of a function hear which permits are out.
    pub(super) fn hand_over(&mut self, now: Nanos, Released { function: service, permits: out }: Released) {
        let mut told: BTreeMap<CompactString, (CompactString, Vec<Permit>)> = BTreeMap::new();
        for zone in self.owners.partition_zones(&service, &self.me.zone) {
            if let Some(owner) =
                self.owners.owner(&service, zone, |_| true).filter(|p| p.name != self.me.name)
            {
                told.entry(owner.name.clone()).or_insert_with(|| (owner.address.clone(), Vec::new()));
            }
        }
        self.handed_over.retain(|_, handed| handed.until > now);
        for out in out {
            let Some(owner) = self.owners.owner(&service, &out.zone, |_| true) else { continue };
            let Some((_, permits)) = told.get_mut(&owner.name) else { continue };
            let left = (out.until as f64 - now as f64) / MS as f64;
            let (to, instance) = (owner.name.clone(), out.instance.clone());
            self.record_hand_over((out.who.clone(), out.ask), HandedOver { to, instance, until: out.until });
            self.scheduler.counts.handed_over += 1;
            permits.push(Permit { who: out.who, id: out.ask, instance: out.instance, left });
        }
        let version = self.owners.version();
        for (to, permits) in told.into_values() {
            let note = PeerMessage::Over { service: service.clone(), version, permits };
            self.actions.push_back(Action::Send { to, note });
        }
    }

    fn record_hand_over(&mut self, key: (CompactString, u64), handed: HandedOver) {
        if self.handed_over.len() < MAX_OPEN_REQUESTS {
            self.handed_over.insert(key, handed);
        }
    }

    /// An owner of before tells of the permits that it has out. Owners may have changed once more while its word was on its way: what
    /// belongs to another by a naming that is newer than the word goes on to that one, and what comes back of it later does too. Under
    /// the naming of the word, or an older one, nothing goes on: it would go to and fro.
    pub(super) fn receive_transfer(
        &mut self,
        now: Nanos,
        from: &str,
        service: CompactString,
        version: Version,
        permits: Vec<Permit>,
    ) {
        let overtaken = self.owners.version() > version;
        let mut on: BTreeMap<CompactString, Vec<Permit>> = BTreeMap::new();
        for permit in permits {
            match self.other_owner(&service, &permit.instance).filter(|_| overtaken) {
                Some(owner) => on.entry(owner).or_default().push(permit),
                None => self.take_over_permit(now, from, permit),
            }
        }
        for (owner, permits) in on {
            self.forward_transfer(now, from, &service, &owner, permits);
        }
        if self.transfers_received.len() < MAX_OPEN_REQUESTS {
            self.transfers_received.entry(service.clone()).or_default().insert(from.into(), version);
        }
        self.scheduler.transfer_complete(now, &service, from);
    }

    /// A permit of an owner of before counts here from now on.
    fn take_over_permit(&mut self, now: Nanos, from: &str, permit: Permit) {
        let until = until(now, permit.left);
        let own = permit.who == self.me.name;
        self.scheduler.take_over_permit(now, permit.who, permit.id, &permit.instance, until);
        // One of this stall's own is given back here from now on: by way of who had it, its slot would stay taken for that long.
        if own && self.scheduler.has_request(&self.me.name, permit.id) {
            let me = self.me.name.clone();
            self.redirect_release(from, permit.id, &permit.instance, me);
        }
    }

    /// Permits that came to a stall which owns their function no more go on to who does.
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
                let handed = HandedOver {
                    to: owner.clone(),
                    instance: permit.instance.clone(),
                    until: until(now, permit.left),
                };
                self.record_hand_over((permit.who.clone(), permit.id), handed);
            }
        }
        let version = self.owners.version();
        self.send(owner, PeerMessage::Over { service: service.clone(), version, permits });
    }

    /// A permit of this stall's own that an owner had given out goes back to another one.
    fn redirect_release(&mut self, from: &str, id: u64, instance: &str, owner: CompactString) {
        let told = |open: &&mut PendingRequest| {
            open.owner.as_deref() == Some(from) && open.granted.as_ref().is_some_and(|(at, _)| at == instance)
        };
        if let Some(open) = self.open.get_mut(&id).filter(told) {
            open.owner = Some(owner);
        }
    }

    /// Who owns an instance of this function, where that is another stall and can be told here.
    fn other_owner(&self, service: &str, instance: &str) -> Option<CompactString> {
        let zone = match self.scheduler.zone_of(instance) {
            Some(zone) => zone,
            // Of a function with one owner the zone says nothing.
            None if self.owners.partition_count(service) <= 1 => &self.me.zone,
            None => return None,
        };
        let owner = self.owners.owner(service, zone, |_| true)?;
        (owner.name != self.me.name).then(|| owner.name.clone())
    }

    /// An ask of this stall's own is granted by `from`. Each ask uses one grant, and the owner that it stands with knows which.
    pub(super) fn receive_grant(&mut self, now: Nanos, from: &str, id: u64, granted: Granted) {
        let Some(open) = self.open.get(&id) else { return self.release_unused(from, id) };
        let stands_with = open.owner.as_deref() == Some(from);
        match &open.granted {
            None if stands_with => self.take_grant(id, granted),
            // It was on its way while the ask went to the owner of now, which grants no second one once it hears of it.
            None if self.owned_previously(from, &open.request.service, &granted.zone) => {
                self.take_grant(id, granted);
                self.notify_held(now, id);
            }
            // Told twice.
            Some((instance, _)) if *instance == granted.instance => {}
            // This owner did not know of the first one yet.
            Some(_) if stands_with => self.notify_held(now, id),
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

    /// Nobody waits for what was granted.
    fn release_unused(&mut self, from: &str, id: u64) {
        self.send(from, PeerMessage::Done { id, outcome: Outcome::Unused.as_str().into(), took: 0.0 });
    }

    /// Whether this stall owned the function in that zone by the naming before, and another one does now.
    fn owned_previously(&self, from: &str, service: &str, zone: &str) -> bool {
        let owns = |owners: &Owners| owners.owner(service, zone, |_| true).is_some_and(|p| p.name == from);
        owns(&self.previous_owners) && !owns(&self.owners)
    }

    /// The owner with whom an ask stands hears where it was granted.
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

    /// A permit that came back here is another owner's by now.
    pub(super) fn forward_release(&mut self, from: &str, id: u64, outcome: &str, took: f64) -> bool {
        let Some(handed) = self.handed_over.remove(&(from.into(), id)) else { return false };
        let (instance, outcome) = (Some(handed.instance), outcome.into());
        let note = PeerMessage::Back { who: from.into(), id, instance, outcome, took };
        self.send(&handed.to, note);
        true
    }
}

/// An instance that is granted.
pub(super) struct Granted {
    pub instance: CompactString,
    pub address: CompactString,
    pub zone: CompactString,
}

/// The moment that is so many milliseconds away.
fn until(now: Nanos, left: f64) -> Nanos {
    now.saturating_add_signed((left.clamp(-1e7, 1e7) * MS as f64) as i64)
}
