//! What control tells of instances: new, changed, gone, and all that there are.

use std::collections::BTreeSet;

use super::PERMIT_GRACE;
use super::Scheduler;
use super::ownership::EARLY_PERMIT_TTL;
use crate::Nanos;
use crate::instance::{Instance, InstanceState, Stage};
use crate::service::FunctionState;

impl Scheduler {
    /// Control tells of an instance: new, or changed. `mine`: it belongs to what is owned here.
    pub fn update_instance(&mut self, now: Nanos, of: Instance, mine: bool) {
        let id = of.id.clone();
        if let Some(at) = self.index_by_instance.get(&id).copied() {
            self.functions[at].update_instance(&id, |place| {
                // What this owner has seen work does not boot any more.
                let stage = of.stage.max(place.info.stage);
                (place.info, place.owned) = (Instance { stage, ..of }, mine);
            });
            return self.serve_queue(now, at);
        }
        let at = self.index_or_insert(&of.service);
        self.index_by_instance.insert(id, at);
        self.add_instance(now, at, InstanceState::new(of, mine, now));
    }

    /// An instance that is new here.
    fn add_instance(&mut self, now: Nanos, at: usize, place: InstanceState) {
        let (id, mine, adopted) = (place.info.id.clone(), place.owned, place.info.stage == Stage::Ready);
        self.functions[at].add(place);
        self.activate(at);
        self.probe_if_booting(now, at, &id);
        for ((from, ask), until, heard) in self.early_permits.remove(&id).unwrap_or_default() {
            if now < heard + EARLY_PERMIT_TTL && now < until.saturating_add(PERMIT_GRACE) {
                self.hold_permit(now, from, ask, &id, until);
            }
        }
        if adopted && mine && self.functions[at].owned {
            self.inherit_instances(now, at);
        }
        self.serve_queue(now, at);
    }

    /// An instance accepts connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        let Some(at) =
            self.index_by_instance.get(id).copied().filter(|at| self.functions[*at].is_booting(id))
        else {
            return;
        };
        self.functions[at]
            .update_instance(id, |place| (place.info.stage, place.last_used) = (Stage::Ready, now));
        self.serve_queue(now, at);
    }

    /// Control says that an instance is no more.
    pub fn remove_instance(&mut self, now: Nanos, id: &str) {
        let Some(at) = self.index_by_instance.remove(id) else { return };
        let out = self.functions[at].remove(id).map(|place| place.permits);
        for key in out.into_iter().flatten() {
            self.permits.remove(&key);
        }
        self.functions[at].record_permits(now);
        self.serve_queue(now, at);
        self.free_if_empty(at);
    }

    /// The instances that there are, whole: others are no more.
    pub fn replace_instances(&mut self, now: Nanos, all: Vec<Instance>, mine: impl Fn(&Instance) -> bool) {
        let stay: BTreeSet<_> = all.iter().map(|i| &i.id).collect();
        let mut gone: Vec<_> =
            self.index_by_instance.keys().filter(|id| !stay.contains(id)).cloned().collect();
        gone.sort_unstable();
        for id in gone {
            self.remove_instance(now, &id);
        }
        for instance in all {
            self.list_instance(now, instance, &mine);
        }
    }

    /// One of a whole list. What a new owner learns so while it settles was there before it: the owner of before may have seen it up
    /// though it still starts by control's word.
    fn list_instance(&mut self, now: Nanos, instance: Instance, mine: impl Fn(&Instance) -> bool) {
        let (id, mine) = (instance.id.clone(), mine(&instance));
        let new = !self.knows(&id);
        let settles = |s: &FunctionState| s.owned && (now < s.settling_until || !s.awaited_owners.is_empty());
        let found =
            new && self.index_by_name.get(&instance.service).is_some_and(|at| settles(&self.functions[*at]));
        if !found {
            return self.update_instance(now, instance, mine);
        }
        let at = self.index_or_insert(&instance.service);
        self.index_by_instance.insert(id.clone(), at);
        let mut place = InstanceState::new(instance, mine, now);
        place.inherited = true;
        self.add_instance(now, at, place);
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
            self.list_instance(now, instance, &mine);
        }
    }
}
