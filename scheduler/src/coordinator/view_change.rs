//! New membership views: handling of departed and leaving proxies, and reassignment of open requests and
//! permits.

use std::collections::BTreeMap;

use crate::coordinator::{Action, Coordinator, UNCONFIRMED_TIMEOUT};
use crate::instance::Instance;
#[cfg(test)]
use crate::owners::OwnershipChange;
use crate::owners::{Owners, Peer};
use crate::{MS, Nanos};
use compact_str::CompactString;
use millpost_protocol::PeerMessage;

/// Maximum number of departed proxies remembered.
const MAX_DEPARTED: usize = 10_000;

/// Maximum number of zones remembered.
const MAX_ZONES: usize = 1_000;

/// Whether the views come from different leaders, the first from the newer one.
fn owners_are_newer(owners: &Owners, before: &Owners) -> bool {
    owners.version().0 > before.version().0
}

impl Coordinator {
    /// Applies a new membership view.
    pub(super) fn apply_view(&mut self, now: Nanos, owners: Owners) {
        let change = owners.change_since(&self.owners, &self.me.name);
        #[cfg(test)]
        let change = if self.full_recompute { OwnershipChange::all() } else { change };
        self.scheduler.counts.views_applied += 1;
        self.current_digest = owners.view().digest();
        let before = std::mem::replace(&mut self.owners, owners);
        // A proxy that is shutting down is still alive, as are its requests, so its permits stay
        // outstanding until they are released. A proxy knows that it is alive itself, whatever the view
        // says.
        let view = self.owners.view().clone();
        self.record_zones(view.peers().iter().chain(view.leaving()).map(|peer| &peer.zone));
        let newer = owners_are_newer(&self.owners, &before);
        for peer in view.gone_since(before.view()) {
            if self.departed.len() < MAX_DEPARTED {
                self.departed.insert(peer.name.clone(), peer.address.clone());
            }
            // A leader that has just taken office may not have heard of this proxy yet.
            if newer && peer.name != self.me.name && self.unconfirmed.len() < MAX_DEPARTED {
                self.unconfirmed.insert(peer.name.clone(), now + UNCONFIRMED_TIMEOUT);
            } else if peer.name != self.me.name {
                self.scheduler.proxy_left(now, &peer.name);
            }
        }
        let owners = &self.owners;
        self.unconfirmed.retain(|name, _| owners.find_living(name).is_none());
        self.skipped_until.retain(|_, until| *until > now);
        self.last_heard.retain(|name, _| owners.find(name).is_some());
        if newer {
            self.scheduler.resend_targets();
        }
        self.update_ownership(now, &before, &change);
        let version = self.owners.version();
        self.previous_owners = before;
        self.transfers_received.retain(|_, all| {
            all.retain(|_, of| *of > version);
            !all.is_empty()
        });
        if newer && self.previous_owners.version() > (0, 0) {
            self.report_owned_instances();
        }
        self.reroute_requests(now);
    }

    /// Remembers zones, of which there are few.
    pub(super) fn record_zones<'a>(&mut self, zones: impl Iterator<Item = &'a CompactString>) {
        for zone in zones {
            if !self.zones.contains(zone) && self.zones.len() < MAX_ZONES {
                self.zones.insert(zone.clone());
            }
        }
    }

    /// Treats proxies as gone that a new leader has not listed in time.
    pub(super) fn expire_unconfirmed(&mut self, now: Nanos) {
        if self.unconfirmed.values().all(|until| *until > now) {
            return;
        }
        let (gone, unconfirmed) =
            std::mem::take(&mut self.unconfirmed).into_iter().partition(|(_, until)| *until <= now);
        self.unconfirmed = unconfirmed;
        let gone: BTreeMap<CompactString, Nanos> = gone;
        gone.keys().for_each(|name| self.scheduler.proxy_left(now, name));
        self.process_effects(now);
        // The permits they granted are reported by the holders.
        self.reroute_requests(now);
    }

    /// Reports the owned instances to a new leader, including those that are starting and not yet listed.
    pub(super) fn report_owned_instances(&mut self) {
        let message = |i: &Instance| millpost_protocol::Instance {
            id: i.id.clone(),
            service: i.service.clone(),
            address: i.address.clone(),
            zone: i.zone.clone(),
            worker: i.worker.clone(),
            stage: i.stage as u8,
        };
        let set: Vec<_> = self.scheduler.owned_instances().map(message).collect();
        if !set.is_empty() {
            self.actions.push_back(Action::NotifyController(PeerMessage::OwnedInstances { set }));
        }
    }

    /// Sends open requests to their new owners, and reports permits of this proxy whose owner is gone to
    /// the new owner. An owner that is alive transfers them itself.
    pub(super) fn reroute_requests(&mut self, now: Nanos) {
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            let Some(open) = self.open.get(&id) else { continue };
            let Some(owner) = self.owner_of(now, &open.request.service).cloned() else { continue };
            if open.granted.is_none() && open.owner.as_deref() == Some(owner.name.as_str()) {
                continue;
            }
            let Some((instance, zone)) = open.granted.clone() else {
                if open.owner.as_deref() == Some(self.me.name.as_str()) {
                    self.scheduler.forget(now, &self.me.name, id);
                }
                self.route_request(now, id);
                continue;
            };
            let alive = |name: &str| {
                (self.owners.find_living(name).is_some() || self.unconfirmed.contains_key(name))
                    && self.skipped_until.get(name).is_none_or(|until| *until <= now)
            };
            if open.owner.as_deref().is_some_and(alive) {
                continue;
            }
            let is_reachable = |p: &Peer| self.skipped_until.get(&p.name).is_none_or(|until| *until <= now);
            let Some(owner) = self.owners.owner(&open.request.service, &zone, is_reachable).cloned() else {
                continue;
            };
            let (service, deadline) = (open.request.service.clone(), open.request.deadline);
            if let Some(open) = self.open.get_mut(&id) {
                open.owner = Some(owner.name.clone());
            }
            if owner.name == self.me.name {
                self.scheduler.hold_permit(now, self.me.name.clone(), id, &instance, deadline);
            } else {
                self.send_held(now, owner.address, id, service, instance, deadline);
            }
        }
    }

    pub(super) fn send_held(
        &mut self,
        now: Nanos,
        to: CompactString,
        id: u64,
        service: CompactString,
        instance: CompactString,
        deadline: Nanos,
    ) {
        let left = (deadline as f64 - now as f64) / MS as f64;
        self.actions
            .push_back(Action::Send { to, note: PeerMessage::HeldPermit { id, service, instance, left } });
    }

    /// Reports the permits held here to a proxy that has restarted and lost its record of them.
    pub(super) fn resend_held(&mut self, now: Nanos, name: &str) {
        let Some(to) = self.owners.find(name).map(|p| p.address.clone()) else { return };
        let of = self.open.iter().filter(|(_, o)| o.owner.as_deref() == Some(name));
        let out: Vec<_> = of
            .filter_map(|(id, o)| {
                let (instance, _) = o.granted.clone()?;
                Some((*id, o.request.service.clone(), instance, o.request.deadline))
            })
            .collect();
        for (id, service, instance, deadline) in out {
            self.send_held(now, to.clone(), id, service, instance, deadline);
        }
    }
}
