//! Permits that pass from one owner of a function to the next, and what comes back to the one before.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_protocol::{PeerMessage, Permit, Version};

use super::{Action, Coordinator, Handed, MOST_ASKS, Open};
use crate::function::Released;
use crate::owners::Owners;
use crate::{MS, Nanos, Outcome};

impl Coordinator {
    /// The new owners of a function hear which permits are out.
    pub(super) fn hand_over(&mut self, now: Nanos, Released { service, out }: Released) {
        let mut told: BTreeMap<CompactString, (CompactString, Vec<Permit>)> = BTreeMap::new();
        for zone in self.owners.partition_zones(&service, &self.me.zone) {
            if let Some(owner) =
                self.owners.owner(&service, zone, |_| true).filter(|p| p.name != self.me.name)
            {
                told.entry(owner.name.clone()).or_insert_with(|| (owner.address.clone(), Vec::new()));
            }
        }
        self.handed.retain(|_, handed| handed.until > now);
        for out in out {
            let Some(owner) = self.owners.owner(&service, &out.zone, |_| true) else { continue };
            let Some((_, permits)) = told.get_mut(&owner.name) else { continue };
            let left = (out.until as f64 - now as f64) / MS as f64;
            let (to, instance) = (owner.name.clone(), out.instance.clone());
            self.hand((out.who.clone(), out.ask), Handed { to, instance, until: out.until });
            self.broker.counts.handed_over += 1;
            permits.push(Permit { who: out.who, id: out.ask, instance: out.instance, left });
        }
        let version = self.owners.version();
        for (to, permits) in told.into_values() {
            let note = PeerMessage::HandOverPermits { service: service.clone(), version, permits };
            self.outs.push_back(Action::Send { to, note });
        }
    }

    fn hand(&mut self, key: (CompactString, u64), handed: Handed) {
        if self.handed.len() < MOST_ASKS {
            self.handed.insert(key, handed);
        }
    }

    /// An owner of before tells of the permits that it has out. Owners may have changed once more while its word was on its way: what
    /// belongs to another by a naming that is newer than the word goes on to that one, and what comes back of it later does too. Under
    /// the naming of the word, or an older one, nothing goes on: it would go to and fro.
    pub(super) fn over(
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
            match self.owner_elsewhere(&service, &permit.instance).filter(|_| overtaken) {
                Some(owner) => on.entry(owner).or_default().push(permit),
                None => self.take_over(now, from, permit),
            }
        }
        for (owner, permits) in on {
            self.send_over(now, from, &service, &owner, permits);
        }
        if self.told_over.len() < MOST_ASKS {
            self.told_over.entry(service.clone()).or_default().insert(from.into(), version);
        }
        self.broker.transfer_complete(now, &service, from);
    }

    /// A permit of an owner of before counts here from now on.
    fn take_over(&mut self, now: Nanos, from: &str, permit: Permit) {
        let until = until(now, permit.left);
        let own = permit.who == self.me.name;
        self.broker.take_over_permit(now, permit.who, permit.id, &permit.instance, until);
        // One of this stall's own is given back here from now on: by way of who had it, its slot would stay taken for that long.
        if own && self.broker.has_request(&self.me.name, permit.id) {
            let me = self.me.name.clone();
            self.give_back_to(from, permit.id, &permit.instance, me);
        }
    }

    /// Permits that came to a stall which owns their function no more go on to who does.
    fn send_over(
        &mut self,
        now: Nanos,
        from: &str,
        service: &CompactString,
        owner: &CompactString,
        permits: Vec<Permit>,
    ) {
        for permit in &permits {
            if permit.who == self.me.name {
                self.give_back_to(from, permit.id, &permit.instance, owner.clone());
            } else {
                let handed = Handed {
                    to: owner.clone(),
                    instance: permit.instance.clone(),
                    until: until(now, permit.left),
                };
                self.hand((permit.who.clone(), permit.id), handed);
            }
        }
        let version = self.owners.version();
        self.send(owner, PeerMessage::HandOverPermits { service: service.clone(), version, permits });
    }

    /// A permit of this stall's own that an owner had given out goes back to another one.
    fn give_back_to(&mut self, from: &str, id: u64, instance: &str, owner: CompactString) {
        let told = |open: &&mut Open| {
            open.owner.as_deref() == Some(from) && open.granted.as_ref().is_some_and(|(at, _)| at == instance)
        };
        if let Some(open) = self.open.get_mut(&id).filter(told) {
            open.owner = Some(owner);
        }
    }

    /// Who owns an instance of this function, where that is another stall and can be told here.
    fn owner_elsewhere(&self, service: &str, instance: &str) -> Option<CompactString> {
        let zone = match self.broker.zone_of(instance) {
            Some(zone) => zone,
            // Of a function with one owner the zone says nothing.
            None if self.owners.partition_count(service) <= 1 => &self.me.zone,
            None => return None,
        };
        let owner = self.owners.owner(service, zone, |_| true)?;
        (owner.name != self.me.name).then(|| owner.name.clone())
    }

    /// An ask of this stall's own is granted by `from`. Each ask uses one grant, and the owner that it stands with knows which.
    pub(super) fn granted(&mut self, now: Nanos, from: &str, id: u64, granted: Granted) {
        let Some(open) = self.open.get(&id) else { return self.unused(from, id) };
        let stands_with = open.owner.as_deref() == Some(from);
        match &open.granted {
            None if stands_with => self.take_grant(id, granted),
            // It was on its way while the ask went to the owner of now, which grants no second one once it hears of it.
            None if self.owned_before(from, &open.ask.service, &granted.zone) => {
                self.take_grant(id, granted);
                self.tell_held(now, id);
            }
            // Told twice.
            Some((instance, _)) if *instance == granted.instance => {}
            // This owner did not know of the first one yet.
            Some(_) if stands_with => self.tell_held(now, id),
            _ => self.unused(from, id),
        }
    }

    fn take_grant(&mut self, id: u64, granted: Granted) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.granted = Some((granted.instance.clone(), granted.zone));
        self.outs.push_back(Action::Granted {
            ask: id,
            instance: granted.instance,
            address: granted.address,
        });
    }

    /// Nobody waits for what was granted.
    fn unused(&mut self, from: &str, id: u64) {
        self.send(
            from,
            PeerMessage::ReleasePermit { id, outcome: Outcome::Unused.as_str().into(), took: 0.0 },
        );
    }

    /// Whether this stall owned the function in that zone by the naming before, and another one does now.
    fn owned_before(&self, from: &str, service: &str, zone: &str) -> bool {
        let owns = |owners: &Owners| owners.owner(service, zone, |_| true).is_some_and(|p| p.name == from);
        owns(&self.owners_before) && !owns(&self.owners)
    }

    /// The owner with whom an ask stands hears where it was granted.
    fn tell_held(&mut self, now: Nanos, id: u64) {
        let Some(open) = self.open.get(&id) else { return };
        let (Some(owner), Some((instance, _))) = (open.owner.clone(), open.granted.clone()) else { return };
        let (service, deadline) = (open.ask.service.clone(), open.ask.deadline);
        if owner == self.me.name {
            return self.broker.hold_permit(now, owner, id, &instance, deadline);
        }
        if let Some(to) = self.owners.find_living(&owner).map(|peer| peer.address.clone()) {
            self.held(now, to, id, service, instance, deadline);
        }
    }

    /// A permit that came back here is another owner's by now.
    pub(super) fn pass_on(&mut self, from: &str, id: u64, outcome: &str, took: f64) -> bool {
        let Some(handed) = self.handed.remove(&(from.into(), id)) else { return false };
        let (instance, outcome) = (Some(handed.instance), outcome.into());
        let note = PeerMessage::ForwardRelease { who: from.into(), id, instance, outcome, took };
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
