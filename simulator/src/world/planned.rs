//! Planned operations: replacement of core machines, seed changes, SIGTERM and reloads.

use super::{Event, Role, World};
use crate::plan::{CATCH_UP, FaultKind, ReplaceTarget};
use crate::processes::ProcessInput;
use crate::rng::Rng;
use crate::{MS, SECOND, Time};

/// Delay between the exit of a process and its restart.
pub(super) const RESTART: Time = 400 * MS;

impl World {
    /// A random machine of the core.
    pub(super) fn random_core(&self, target_rng: &mut Rng) -> usize {
        self.cores[target_rng.below(self.cores.len())]
    }

    /// Removes a core machine permanently; an empty one takes its place at another address.
    pub(super) fn replace_core(&mut self, target_rng: &mut Rng, whom: ReplaceTarget, after: Time) {
        let now = self.now;
        let recent = self.wiped_at.is_some_and(|at| at + 10 * SECOND > now);
        let all_in_contact = self.cores.iter().all(|at| self.disturbances.in_contact(*at, now));
        let Some(new) = self.spares.pop().filter(|_| !recent && all_in_contact) else { return };
        let old = match whom {
            ReplaceTarget::Leader => self.cores.iter().copied().find(|at| self.leads(*at)),
            ReplaceTarget::Seed => {
                self.cores.iter().find(|at| self.seeds.contains(&self.address(**at))).copied()
            }
            ReplaceTarget::Planned => None,
        };
        let old = old.unwrap_or_else(|| self.random_core(target_rng));
        self.wiped_at = Some(now);
        self.take_place(new, old);
        if whom == ReplaceTarget::Planned {
            // Start the new machine, send SIGTERM to the old one, and remove it once it has shut down.
            self.machines[old].retires = true;
            self.at(now, Event::Start(new));
            self.at(now + after, Event::TermForGood(old));
        } else {
            self.at(now, Event::Retire(old));
            self.at(now + after, Event::Start(new));
        }
        self.record_disturbance(new, now + after);
    }

    /// Replaces one of the core machines that the day began with, the leader last, and schedules the next
    /// replacement. Only processes that start from now on have other seeds.
    pub(super) fn replace_each(&mut self, every: Time, target_seed: u64) {
        let now = self.now;
        let first_spare = self.site.edges.len() + self.site.cores.len();
        let left: Vec<_> = self.cores.iter().copied().filter(|at| *at < first_spare).collect();
        let next = left.iter().copied().find(|at| !self.leads(*at)).or(left.first().copied());
        let Some((old, new)) = next.zip(self.spares.pop()) else { return };
        self.take_place(new, old);
        self.seeds = self.cores.iter().take(3).map(|at| self.address(*at)).collect();
        self.at(now, Event::Start(new));
        self.at(now + every / 2, Event::Retire(old));
        self.record_disturbance(new, now + every / 2);
        if left.len() > 1 {
            self.schedule_fault(now + every, FaultKind::ReplaceEach { every }, target_seed);
        }
    }

    /// Starts successors of some core machines, which are removed once these have caught up.
    pub(super) fn succeed_core(&mut self, target_rng: &mut Rng, count: usize, term: bool, target_seed: u64) {
        let now = self.now;
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP > now);
        let all_in_contact = self.cores.iter().all(|at| self.disturbances.in_contact(*at, now));
        if recent || !all_in_contact || self.spares.len() < count {
            return;
        }
        let mut left = self.cores.clone();
        for _ in 0..count {
            let old = left.swap_remove(target_rng.below(left.len()));
            let Some(new) = self.spares.pop() else { return };
            self.take_place(new, old);
            self.succeeded.push(old);
            self.at(now, Event::Start(new));
            self.record_disturbance(new, now);
        }
        self.wiped_at = Some(now);
        self.schedule_fault(now + CATCH_UP, FaultKind::RemoveSucceeded { term }, target_seed);
    }

    /// Removes the machines whose successors have caught up. Processes that start from now on have other seeds.
    pub(super) fn remove_succeeded(&mut self, term: bool) {
        self.seeds = self.cores.iter().take(3).map(|at| self.address(*at)).collect();
        for old in std::mem::take(&mut self.succeeded) {
            self.trace_line(|| format!("machine {old} is removed behind its successor"));
            if term {
                self.machines[old].retires = true;
                self.term_for_good(old);
            } else {
                self.retire(old);
            }
        }
    }

    fn leads(&self, at: usize) -> bool {
        self.machines[at].controller.as_ref().is_some_and(|controller| controller.is_leader())
    }

    /// The machine `new` becomes a member of the core in the place of `old`.
    fn take_place(&mut self, new: usize, old: usize) {
        self.cores.iter_mut().filter(|at| **at == old).for_each(|at| *at = new);
        self.machines[new].zone = self.machines[old].zone;
        self.trace_line(|| format!("machine {new} takes the place of machine {old}"));
    }

    /// Removes a machine permanently.
    pub(super) fn retire(&mut self, at: usize) {
        self.kill(at, true, 0);
        self.machines[at].powered = false;
        self.machines[at].disk.wipe();
        self.pending_restarts.retain(|(_, machine)| *machine != at);
    }

    /// Makes other core machines the seeds, and reloads the settings of all processes.
    pub(super) fn seed_turnover(&mut self, target_rng: &mut Rng) {
        let mut of = self.cores.clone();
        while of.len() > 3 {
            of.remove(target_rng.below(of.len()));
        }
        self.seeds = of.into_iter().map(|at| self.address(at)).collect();
        let seeds = self.seeds.clone();
        self.trace_line(|| format!("seeds are now {seeds:?}"));
        (0..self.machines.len()).for_each(|at| self.reload_settings(at));
    }

    /// Sends SIGHUP to the processes of a machine.
    pub(super) fn reload_settings(&mut self, at: usize) {
        for role in [Role::Agent, Role::Controller] {
            if self.machines[at].powered && self.machines[at].up(role) {
                self.deliver(at, role, ProcessInput::Seeds(self.seeds.clone()));
            }
        }
    }

    /// Sends SIGTERM to the processes of a machine that is to be removed.
    pub(super) fn term_for_good(&mut self, at: usize) {
        let machine = &self.machines[at];
        if machine.powered && machine.incarnation != 0 && machine.frozen_until <= self.now {
            self.term(at);
        } else {
            self.retire(at);
        }
    }

    /// Sends SIGTERM to the processes of a machine; they are restarted after they exit.
    pub(super) fn term(&mut self, at: usize) {
        let now = self.now;
        let machine = &self.machines[at];
        if !machine.powered || machine.incarnation == 0 || machine.frozen_until > now {
            return;
        }
        let (end, incarnation) = (now + self.site.bounds.grace, machine.incarnation);
        self.trace_line(|| format!("machine {at} is told to leave"));
        self.disturbances.record_planned(at, now, end);
        if self.machines[at].core {
            self.disturbances.record_core(now, now + SECOND);
        }
        for role in [Role::Proxy, Role::Agent, Role::Controller] {
            self.deliver(at, role, ProcessInput::Leave);
        }
        self.at(end, Event::GraceExpired(at, incarnation));
    }

    /// The processes have exited, or are killed at the end of the grace period.
    pub(super) fn processes_exited(&mut self, at: usize) {
        let now = self.now;
        let tries: Vec<_> = self.machines[at].open_attempts.iter().copied().collect();
        for attempt in tries {
            // A request that its endpoint has been running through the second half of the grace period is not
            // the fault of the proxy that shuts down.
            let out = self.exchanges.values().any(|e| e.is_of(attempt) && e.run().is_some());
            if !out {
                self.auditor.connection_lost(&self.disturbances, now, attempt);
            }
        }
        if self.machines[at].core {
            self.disturbances.record_core(now, now + RESTART);
        }
        if self.machines[at].retires {
            self.retire(at);
        } else {
            self.stop_planned(at, RESTART);
        }
    }
}
