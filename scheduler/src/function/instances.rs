//! Instance updates from the controller: new, changed and removed instances, and full lists.

use std::collections::BTreeSet;

use super::PERMIT_GRACE;
use super::Scheduler;
use super::ownership::EARLY_PERMIT_TTL;
use crate::Nanos;
use crate::instance::{Instance, InstanceState, Stage};
use crate::service::FunctionState;

impl Scheduler {
    /// Adds or updates an instance. `mine`: this proxy owns it.
    pub fn update_instance(&mut self, now: Nanos, of: Instance, mine: bool) {
        let id = of.id.clone();
        if let Some(at) = self.index_by_instance.get(&id).copied() {
            self.functions[at].update_instance(&id, |state| {
                // An instance that this owner has seen working never goes back to booting.
                let stage = of.stage.max(state.info.stage);
                (state.info, state.owned) = (Instance { stage, ..of }, mine);
            });
            return self.serve_queue(now, at);
        }
        let at = self.index_or_insert(&of.service);
        self.index_by_instance.insert(id, at);
        self.add_instance(now, at, InstanceState::new(of, mine, now));
    }

    fn add_instance(&mut self, now: Nanos, at: usize, state: InstanceState) {
        let (id, mine, adopted) = (state.info.id.clone(), state.owned, state.info.stage == Stage::Ready);
        self.functions[at].add(state);
        self.activate(at);
        self.probe_if_booting(now, at, &id);
        for ((from, request_id), until, heard) in self.early_permits.remove(&id).unwrap_or_default() {
            if now < heard + EARLY_PERMIT_TTL && now < until.saturating_add(PERMIT_GRACE) {
                self.hold_permit(now, from, request_id, &id, until);
            }
        }
        if adopted && mine && self.functions[at].owned {
            self.inherit_instances(now, at);
        }
        self.serve_queue(now, at);
    }

    /// Marks an instance as accepting connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        let Some(at) =
            self.index_by_instance.get(id).copied().filter(|at| self.functions[*at].is_booting(id))
        else {
            return;
        };
        self.functions[at]
            .update_instance(id, |state| (state.info.stage, state.last_used) = (Stage::Ready, now));
        self.serve_queue(now, at);
    }

    /// Removes an instance that the controller reports as gone.
    pub fn remove_instance(&mut self, now: Nanos, id: &str) {
        let Some(at) = self.index_by_instance.remove(id) else { return };
        let out = self.functions[at].remove(id).map(|state| state.permits);
        for key in out.into_iter().flatten() {
            self.permits.remove(&key);
        }
        self.functions[at].record_permits(now);
        self.serve_queue(now, at);
        self.free_if_empty(at);
    }

    /// Replaces the known instances by a full list; instances not on it are removed.
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

    /// Adds one instance of a full list. An instance that a new owner learns of while ownership settles
    /// existed before: the previous owner may have seen it ready although the controller still lists it as
    /// booting.
    fn list_instance(&mut self, now: Nanos, instance: Instance, mine: impl Fn(&Instance) -> bool) {
        let (id, mine) = (instance.id.clone(), mine(&instance));
        let new = !self.knows(&id);
        let settling =
            |s: &FunctionState| s.owned && (now < s.settling_until || !s.awaited_owners.is_empty());
        let found =
            new && self.index_by_name.get(&instance.service).is_some_and(|at| settling(&self.functions[*at]));
        if !found {
            return self.update_instance(now, instance, mine);
        }
        let at = self.index_or_insert(&instance.service);
        self.index_by_instance.insert(id.clone(), at);
        let mut state = InstanceState::new(instance, mine, now);
        state.inherited = true;
        self.add_instance(now, at, state);
    }

    /// Applies the list of a new leader. Instances of functions owned here are kept even if they are
    /// missing from it, since the leader learns of them from this proxy and reports them once they are
    /// gone.
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
