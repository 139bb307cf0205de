//! Instance updates from the controller: new, changed and removed instances, and full lists.

use std::collections::BTreeSet;

use super::PERMIT_GRACE;
use super::Scheduler;
use super::ownership::EARLY_PERMIT_TTL;
use crate::Nanos;
use crate::instance::{Instance, InstanceState, Stage};
use crate::service::FunctionState;

impl Scheduler {
    /// Adds or updates an instance. `owned`: this proxy owns it.
    pub fn update_instance(&mut self, now: Nanos, info: Instance, owned: bool) {
        let id = info.id.clone();
        if let Some(index) = self.index_by_instance.get(&id).copied() {
            self.functions[index].update_instance(&id, |state| {
                // An instance that this owner has seen working never goes back to booting.
                let stage = info.stage.max(state.info.stage);
                (state.info, state.owned) = (Instance { stage, ..info }, owned);
            });
            return self.serve_queue(now, index);
        }
        let index = self.index_or_insert(&info.service);
        self.index_by_instance.insert(id, index);
        self.add_instance(now, index, InstanceState::new(info, owned, now));
    }

    fn add_instance(&mut self, now: Nanos, index: usize, state: InstanceState) {
        let (id, owned, is_ready) = (state.info.id.clone(), state.owned, state.info.stage == Stage::Ready);
        self.functions[index].add(state);
        self.activate(index);
        self.probe_if_booting(now, index, &id);
        for ((from, request_id), until, reported_at) in self.early_permits.remove(&id).unwrap_or_default() {
            if now < reported_at + EARLY_PERMIT_TTL && now < until.saturating_add(PERMIT_GRACE) {
                self.hold_permit(now, from, request_id, &id, until);
            }
        }
        if is_ready && owned && self.functions[index].owned {
            self.inherit_instances(now, index);
        }
        self.serve_queue(now, index);
    }

    /// Marks an instance as accepting connections.
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        let Some(index) =
            self.index_by_instance.get(id).copied().filter(|index| self.functions[*index].is_booting(id))
        else {
            return;
        };
        self.functions[index]
            .update_instance(id, |state| (state.info.stage, state.last_used) = (Stage::Ready, now));
        self.serve_queue(now, index);
    }

    /// Removes an instance that the controller reports as gone.
    pub fn remove_instance(&mut self, now: Nanos, id: &str) {
        let Some(index) = self.index_by_instance.remove(id) else { return };
        let permits = self.functions[index].remove(id).map(|state| state.permits);
        for key in permits.into_iter().flatten() {
            self.permits.remove(&key);
        }
        self.functions[index].record_permits(now);
        self.serve_queue(now, index);
        self.free_if_empty(index);
    }

    /// Replaces the known instances by a full list; instances not on it are removed.
    pub fn replace_instances(
        &mut self,
        now: Nanos,
        all: Vec<Instance>,
        is_owned: impl Fn(&Instance) -> bool,
    ) {
        let kept: BTreeSet<_> = all.iter().map(|i| &i.id).collect();
        let mut gone: Vec<_> =
            self.index_by_instance.keys().filter(|id| !kept.contains(id)).cloned().collect();
        gone.sort_unstable();
        for id in gone {
            self.remove_instance(now, &id);
        }
        for instance in all {
            self.list_instance(now, instance, &is_owned);
        }
    }

    /// Adds one instance of a full list. An instance that a new owner learns of while ownership settles
    /// existed before: the previous owner may have seen it ready although the controller still lists it as
    /// booting.
    fn list_instance(&mut self, now: Nanos, instance: Instance, is_owned: impl Fn(&Instance) -> bool) {
        let (id, owned) = (instance.id.clone(), is_owned(&instance));
        let is_new = !self.knows(&id);
        let settling =
            |s: &FunctionState| s.owned && (now < s.settling_until || !s.awaited_owners.is_empty());
        let inherited = is_new
            && self
                .index_by_name
                .get(&instance.service)
                .is_some_and(|index| settling(&self.functions[*index]));
        if !inherited {
            return self.update_instance(now, instance, owned);
        }
        let index = self.index_or_insert(&instance.service);
        self.index_by_instance.insert(id.clone(), index);
        let mut state = InstanceState::new(instance, owned, now);
        state.inherited = true;
        self.add_instance(now, index, state);
    }

    /// Applies the list of a new leader. Instances of functions owned here are kept even if they are
    /// missing from it, since the leader learns of them from this proxy and reports them once they are
    /// gone.
    pub fn merge_instances(
        &mut self,
        now: Nanos,
        known: Vec<Instance>,
        is_owned: impl Fn(&Instance) -> bool,
    ) {
        let kept: BTreeSet<_> =
            known.iter().map(|i| i.id.clone()).chain(self.owned_instances().map(|i| i.id.clone())).collect();
        let gone: Vec<_> = self.instances().map(|i| i.id.clone()).filter(|id| !kept.contains(id)).collect();
        for id in gone {
            self.remove_instance(now, &id);
        }
        for instance in known {
            self.list_instance(now, instance, &is_owned);
        }
    }
}
