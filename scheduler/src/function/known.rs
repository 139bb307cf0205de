//! What control tells of instances: new, changed, gone, and all that there are.

use std::collections::BTreeSet;

use super::OVERDUE;
use super::Scheduler;
use super::succession::EARLY;
use crate::Nanos;
use crate::instance::{Instance, Place, Stage};
use crate::service::Service;

impl Scheduler {
    /// Control tells of an instance: new, or changed. `mine`: it belongs to what is owned here.
    pub fn update_instance(&mut self, now: Nanos, of: Instance, mine: bool) {
        let id = of.id.clone();
        if let Some(at) = self.homes.get(&id).copied() {
            self.services[at].change_one(&id, |place| {
                // What this owner has seen work does not boot any more.
                let stage = of.stage.max(place.of.stage);
                (place.of, place.mine) = (Instance { stage, ..of }, mine);
            });
            return self.serve(now, at);
        }
        let at = self.enter(&of.service);
        self.homes.insert(id, at);
        self.meet(now, at, Place::new(of, mine, now));
    }

    /// An instance that is new here.
    fn meet(&mut self, now: Nanos, at: usize, place: Place) {
        let (id, mine, adopted) = (place.of.id.clone(), place.mine, place.of.stage == Stage::Ready);
        self.services[at].add(place);
        self.rouse(at);
        self.scout(now, at, &id);
        for ((from, ask), until, heard) in self.early.remove(&id).unwrap_or_default() {
            if now < heard + EARLY && now < until.saturating_add(OVERDUE) {
                self.hold_permit(now, from, ask, &id, until);
            }
        }
        if adopted && mine && self.services[at].owned {
            self.found(now, at);
        }
        self.serve(now, at);
    }

    /// An instance accepts connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        let Some(at) = self.homes.get(id).copied().filter(|at| self.services[*at].boots(id)) else { return };
        self.services[at].change_one(id, |place| (place.of.stage, place.used) = (Stage::Ready, now));
        self.serve(now, at);
    }

    /// Control says that an instance is no more.
    pub fn remove_instance(&mut self, now: Nanos, id: &str) {
        let Some(at) = self.homes.remove(id) else { return };
        let out = self.services[at].remove(id).map(|place| place.out);
        for key in out.into_iter().flatten() {
            self.permits.remove(&key);
        }
        self.services[at].hold(now);
        self.serve(now, at);
        self.vacate(at);
    }

    /// The instances that there are, whole: others are no more.
    pub fn replace_instances(&mut self, now: Nanos, all: Vec<Instance>, mine: impl Fn(&Instance) -> bool) {
        let stay: BTreeSet<_> = all.iter().map(|i| &i.id).collect();
        let mut gone: Vec<_> = self.homes.keys().filter(|id| !stay.contains(id)).cloned().collect();
        gone.sort_unstable();
        for id in gone {
            self.remove_instance(now, &id);
        }
        for instance in all {
            self.heard_of(now, instance, &mine);
        }
    }

    /// One of a whole list. What a new owner learns so while it settles was there before it: the owner of before may have seen it up
    /// though it still starts by control's word.
    fn heard_of(&mut self, now: Nanos, instance: Instance, mine: impl Fn(&Instance) -> bool) {
        let (id, mine) = (instance.id.clone(), mine(&instance));
        let new = !self.knows(&id);
        let settles = |s: &Service| s.owned && (now < s.settling || !s.expects.is_empty());
        let found = new && self.names.get(&instance.service).is_some_and(|at| settles(&self.services[*at]));
        if !found {
            return self.update_instance(now, instance, mine);
        }
        let at = self.enter(&instance.service);
        self.homes.insert(id.clone(), at);
        let mut place = Place::new(instance, mine, now);
        place.found = true;
        self.meet(now, at, place);
    }

    /// A new steward names the instances that it knows. Those of functions that are owned here stay beside them, since it hears of them
    /// from here; it says so once one is no more.
    pub fn merge_instances(&mut self, now: Nanos, known: Vec<Instance>, mine: impl Fn(&Instance) -> bool) {
        let stay: BTreeSet<_> =
            known.iter().map(|i| i.id.clone()).chain(self.owned_instances().map(|i| i.id.clone())).collect();
        let gone: Vec<_> = self.instances().map(|i| i.id.clone()).filter(|id| !stay.contains(id)).collect();
        for id in gone {
            self.remove_instance(now, &id);
        }
        for instance in known {
            self.heard_of(now, instance, &mine);
        }
    }
}
