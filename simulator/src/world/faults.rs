//! Applies the faults of the plan and the final fault, and records them in
//! [`crate::disturbances::Disturbances`].

use super::planned::RESTART;
use super::{Event, World};
use crate::plan::{CATCH_UP, CutScope, FaultKind, FinalFault, InjectedFault};
use crate::rng::Rng;
use crate::{MS, SECOND, Time};

/// Time for which a machine still counts as lost after it came back.
/// Duration for which a partitioned machine misses changes.
const BEHIND: Time = 2 * SECOND;

impl World {
    pub(super) fn record_disturbance(&mut self, at: usize, until: Time) {
        let now = self.now;
        self.disturbances.record_machine(at, now, until);
        if self.machines[at].core {
            self.disturbances.record_core(now, until);
        }
    }

    pub(super) fn fault(&mut self, at: usize) {
        let fault = self.plan.faults[at].clone();
        let mut target_rng = Rng::new(fault.target_seed);
        let now = self.now;
        let (edges, cores) = (self.site.edges.len(), self.cores.clone());
        self.trace_line(|| format!("trouble {at}: {:?}", fault.kind));
        let one = |target_rng: &mut Rng, core: bool| {
            if core { cores[target_rng.below(cores.len())] } else { target_rng.below(edges) }
        };
        match fault.kind {
            FaultKind::Burst { class, times, lasts } => {
                self.bursts.push((class, times, now + lasts));
                self.disturbances.record_outside(now, now + lasts);
            }
            FaultKind::NodeKill { core, power, lasts } => {
                let machine = one(&mut target_rng, core);
                self.kill(machine, power, if power { lasts } else { RESTART });
            }
            FaultKind::HerdKill { share, power, lasts } => {
                for machine in 0..edges {
                    if target_rng.chance(share) {
                        self.kill(machine, power, lasts);
                    }
                }
            }
            FaultKind::CoreCut { count, from, lasts } => {
                for _ in 0..count {
                    let machine = one(&mut target_rng, true);
                    let m = &mut self.machines[machine];
                    match from {
                        CutScope::All => m.partition_until = now + lasts,
                        CutScope::Core => m.core_partition_until = now + lasts,
                        CutScope::OneWay => m.outgoing_blocked_until = now + lasts,
                    }
                    self.record_disturbance(machine, now + lasts);
                }
            }
            FaultKind::WorkerCrash { share, reset, lasts } => {
                self.crash_workers(&mut target_rng, share, reset, lasts)
            }
            FaultKind::WorkerDrain { share } => {
                let count = ((self.platform.hosts.len() as f64 * share).round() as usize).max(1);
                for _ in 0..count {
                    let host = target_rng.below(self.platform.hosts.len());
                    self.platform.hosts[host].draining = Some(now);
                    for at in 0..self.endpoints.len() {
                        if self.endpoints[at].worker == host && self.endpoints[at].ready.is_some() {
                            self.drain_endpoint(at, now);
                        }
                    }
                }
            }
            FaultKind::AfterAckWipe { lasts } => {
                self.wipe_next = Some(lasts);
                self.delay_one_controller();
                self.config_change(false);
            }
            FaultKind::ConfigRace => self.config_race(),
            FaultKind::ConfigRaceOf { count } => self.config_race_of(count),
            FaultKind::SentAgain => self.send_again(false),
            FaultKind::SameRevision => self.send_again(true),
            FaultKind::AckLost { share, lasts } => self.lost_acks = (share, now + lasts),
            FaultKind::AfterAckKill { power, lasts } => {
                self.kill_next = Some((power, lasts));
                self.config_change(false);
            }
            FaultKind::CoreSplit { lasts } => {
                for (place, at) in cores.iter().enumerate() {
                    self.machines[*at].core_half = (place * 2 / cores.len(), now + lasts);
                    self.record_disturbance(*at, now + lasts);
                }
            }
            FaultKind::NodeCut { lasts } => {
                let machine = one(&mut target_rng, false);
                self.machines[machine].core_partition_until = now + lasts;
                self.record_disturbance(machine, now + lasts);
            }
            FaultKind::ClockStep { share, by_ms, lasts } => {
                for at in 0..self.machines.len() {
                    if target_rng.chance(share) {
                        self.machines[at].clock = (by_ms, now + lasts);
                        self.record_disturbance(at, now + lasts);
                    }
                }
            }
            FaultKind::RollTerm { every } => {
                for (place, at) in cores.iter().enumerate() {
                    self.at(now + place as Time * every, Event::Term(*at));
                }
            }
            FaultKind::EdgeRoll { share, every } => {
                let count = ((edges as f64 * share).ceil() as usize).clamp(1, edges);
                let first = target_rng.below(edges);
                for place in 0..count {
                    self.at(now + place as Time * every, Event::Term((first + place) % edges));
                }
            }
            FaultKind::CoreBehind { lasts } => {
                let missed = target_rng.below(cores.len());
                let machine = cores[missed];
                self.machines[machine].core_partition_until = now + BEHIND;
                self.record_disturbance(machine, now + BEHIND);
                for after in [200 * MS, BEHIND / 2] {
                    self.schedule_fault(now + after, FaultKind::ConfigChange, fault.target_seed);
                }
                self.schedule_fault(
                    now + BEHIND,
                    FaultKind::BehindStrikes { missed, lasts },
                    fault.target_seed,
                );
            }
            FaultKind::BehindStrikes { missed, lasts } => {
                self.strike_around_lagging(&mut target_rng, missed, lasts)
            }
            FaultKind::HangUp { share } => {
                for at in 0..self.machines.len() {
                    if target_rng.chance(share) {
                        self.reload_settings(at);
                    }
                }
            }
            FaultKind::ConfigChange => self.config_change(false),
            FaultKind::BadConfig => self.bad_config(),
            FaultKind::AnswerLost { share, lasts } => {
                self.lost_share = (share, now + lasts);
                self.disturbances.record_outside(now, now + lasts);
            }
            FaultKind::Garble { share, lasts } => {
                self.garbled_share = (share, now + lasts);
                self.disturbances.record_outside(now, now + lasts);
            }
            FaultKind::LateCopies { refused, copied, lasts } => {
                self.late_copies = (refused, copied, now + lasts);
                self.disturbances.record_outside(now, now + lasts);
            }
            FaultKind::SrvSlow { share, times, lasts } => {
                for endpoint in self.endpoints.iter_mut().filter(|e| e.ended.is_none()) {
                    if target_rng.chance(share) {
                        endpoint.slow = (times, now + lasts);
                    }
                }
                self.disturbances.record_outside(now, now + lasts);
            }
            FaultKind::ResetConns { core } => {
                let machine = one(&mut target_rng, core);
                self.record_disturbance(machine, now);
                self.break_all(machine, true);
                self.break_clients(machine, true);
            }
            FaultKind::NodeFreeze { core, lasts } => {
                let machine = one(&mut target_rng, core);
                let m = &mut self.machines[machine];
                if m.powered && m.frozen_until <= now {
                    m.frozen_until = now + lasts;
                    self.record_disturbance(machine, now + lasts);
                    self.at(now + lasts, Event::Unfreeze(machine));
                }
            }
            FaultKind::DiskStall { lasts } => {
                let machine = one(&mut target_rng, true);
                self.machines[machine].disk.stalled_until = now + lasts;
                self.record_disturbance(machine, now + lasts);
            }
            FaultKind::DiskSlow { times, lasts } => {
                let machine = one(&mut target_rng, true);
                self.machines[machine].disk.slow = (times, now + lasts);
                self.record_disturbance(machine, now + lasts);
            }
            FaultKind::DiskFull { lasts } => {
                let machine = one(&mut target_rng, true);
                self.machines[machine].disk.full_until = now + lasts;
                self.record_disturbance(machine, now + lasts);
            }
            FaultKind::ReplaceCore { whom, after } => self.replace_core(&mut target_rng, whom, after),
            FaultKind::SucceedCore { count, term } => {
                self.succeed_core(&mut target_rng, count, term, fault.target_seed)
            }
            FaultKind::RemoveSucceeded { term } => self.remove_succeeded(term),
            FaultKind::DiskLoss { lasts } => {
                if self.wiped_at.is_none_or(|at| at + CATCH_UP <= now) {
                    self.wiped_at = Some(now + lasts);
                    let machine = one(&mut target_rng, true);
                    self.trace_line(|| format!("machine {machine} loses its disk"));
                    self.kill(machine, true, lasts);
                    self.machines[machine].disk.wipe();
                }
            }
            FaultKind::CoreKill { lasts } => {
                let running = |at: &usize| self.machines[*at].core && self.machines[*at].incarnation != 0;
                let all: Vec<_> = (0..self.machines.len()).filter(running).collect();
                all.into_iter().for_each(|at| self.kill(at, false, lasts));
            }
            FaultKind::ZoneLoss { zone, lasts } => self.lose_zone(zone, lasts),
            FaultKind::ReplaceEach { every } => self.replace_each(every, fault.target_seed),
            FaultKind::SeedTurnover => self.seed_turnover(&mut target_rng),
            FaultKind::NodeTerm { core } => {
                let machine = one(&mut target_rng, core);
                self.term(machine);
            }
            FaultKind::Drain { worker, lasts } => {
                let (what, name) = if worker {
                    ("worker", format!("w-{}", target_rng.below(self.platform.hosts.len())))
                } else {
                    // Only proxies that are not alone in their zone: the controller refuses to drain others.
                    let zone = |at: usize| self.machines[at].zone;
                    let two = |at: &usize| (0..edges).any(|other| other != *at && zone(other) == zone(*at));
                    let may: Vec<_> = (0..edges).filter(two).collect();
                    let Some(at) = may.get(target_rng.below(may.len().max(1))) else { return };
                    ("edge", self.machines[*at].name.to_string())
                };
                self.drain(what, &name, lasts);
            }
            FaultKind::BigConfig { count } => self.big_config(count),
            FaultKind::ServiceDrop => self.drop_service(),
            FaultKind::ConfigStorm { count, every } => {
                self.config_change(false);
                if count > 1 {
                    let what = FaultKind::ConfigStorm { count: count - 1, every };
                    self.schedule_fault(now + every, what, fault.target_seed);
                }
            }
        }
    }

    /// Schedules a follow-up fault.
    pub(super) fn schedule_fault(&mut self, at: Time, what: FaultKind, target_seed: u64) {
        self.plan.faults.push(InjectedFault { at, kind: what, target_seed });
        self.at(at, Event::Fault(self.plan.faults.len() - 1));
    }

    /// All core machines except the one that missed changes lose power. One of them is back after 400 ms. It
    /// also loses its disk, unless another disk was lost recently.
    fn strike_around_lagging(&mut self, target_rng: &mut Rng, missed: usize, lasts: Time) {
        let now = self.now;
        let others: Vec<_> =
            self.cores.iter().enumerate().filter(|(place, _)| *place != missed).map(|(_, at)| *at).collect();
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now);
        let wiped = others[target_rng.below(others.len())];
        for at in others {
            self.kill(at, true, if at == wiped { 400 * MS } else { lasts });
        }
        if !recent {
            self.machines[wiped].disk.wipe();
            self.wiped_at = Some(now);
            self.trace_line(|| format!("machine {wiped} loses its disk"));
        }
    }

    /// All machines of a zone lose power, and its core machines their disks, unless other disks were lost
    /// recently.
    fn lose_zone(&mut self, zone: usize, lasts: Time) {
        let now = self.now;
        if self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now) {
            return;
        }
        self.wiped_at = Some(now);
        self.trace_line(|| format!("zone {zone} is lost with its disks"));
        for at in 0..self.machines.len() {
            let member = !self.machines[at].core || self.cores.contains(&at);
            if member && self.machines[at].zone == zone {
                self.kill(at, true, lasts);
                if self.machines[at].core {
                    self.machines[at].disk.wipe();
                }
            }
        }
    }

    fn crash_workers(&mut self, target_rng: &mut Rng, share: f64, reset: bool, lasts: Time) {
        let now = self.now;
        let count = ((self.platform.hosts.len() as f64 * share).round() as usize).max(1);
        self.disturbances.record_outside(now, now + lasts);
        for _ in 0..count {
            let at = target_rng.below(self.platform.hosts.len());
            let host = &mut self.platform.hosts[at];
            (host.down, host.silent) = (now + lasts, !reset);
            host.was_down.push((now, now + lasts));
            host.draining = None;
            for endpoint in 0..self.endpoints.len() {
                let of = &mut self.endpoints[endpoint];
                if of.worker == at && of.ended.is_none() {
                    of.crashed = Some(now);
                    self.crash(endpoint, !reset);
                }
            }
        }
    }

    /// Breaks the connections to clients and endpoints; `process_alive`: the process keeps running.
    fn break_clients(&mut self, at: usize, process_alive: bool) {
        let now = self.now;
        let tries = std::mem::take(&mut self.machines[at].open_attempts);
        let soon = now + self.site.client;
        for attempt in tries {
            if process_alive {
                self.deliver(
                    at,
                    super::Role::Proxy,
                    crate::processes::ProcessInput::Gone { client: attempt },
                );
            }
            self.at(soon, Event::ReachClient { attempt, status: 0, again: None, seal: None });
        }
        if process_alive {
            let exchanges: Vec<_> = self.machines[at].exchanges.iter().copied().collect();
            for number in exchanges {
                let outcome = millpost_scheduler::Outcome::NoAnswer;
                let done = crate::processes::Exchanged { outcome, sent: true, refused: false, answer: None };
                self.at(soon, Event::ExchangeDone(number, done));
            }
        }
    }

    /// Ends the processes of a machine; with `power` the machine is off for `lasts`.
    pub(super) fn kill(&mut self, at: usize, power: bool, lasts: Time) {
        self.record_disturbance(at, self.now + lasts);
        self.stop_processes(at, power, lasts);
    }

    /// Ends the processes as planned work.
    pub(super) fn stop_planned(&mut self, at: usize, lasts: Time) {
        self.disturbances.record_planned(at, self.now, self.now + lasts);
        self.stop_processes(at, false, lasts);
    }

    fn stop_processes(&mut self, at: usize, power: bool, lasts: Time) {
        let now = self.now;
        if !self.machines[at].powered || self.machines[at].incarnation == 0 {
            return;
        }
        let machine = &mut self.machines[at];
        (machine.proxy, machine.agent, machine.controller) = (None, None, None);
        (machine.incarnation, machine.frozen_until) = (0, 0);
        machine.held_events.clear();
        machine.powered = !power;
        machine.serving &= !power;
        if power {
            machine.disk.power_loss(now, &mut self.rng);
        } else {
            machine.disk.process_exited();
        }
        self.trace_line(|| {
            format!(
                "machine {at} is down for {} ms{}",
                lasts / MS,
                if power { ", without power" } else { "" }
            )
        });
        self.break_all(at, !power);
        if power {
            // A machine without power sends nothing: clients wait for their time-out, endpoints continue.
            self.machines[at].open_attempts.clear();
        } else {
            self.break_clients(at, false);
        }
        self.connections.retain_peers(|(machine, _)| *machine != at);
        let exchanges = std::mem::take(&mut self.machines[at].exchanges);
        for number in exchanges {
            if power {
                self.exchanges.remove(&number);
            } else {
                self.drop_exchange(number);
            }
        }
        self.out.retain(|(machine, _, _), _| *machine != at);
        self.pending_restarts.push((now + lasts, at));
        self.at(now + lasts, Event::PowerOn);
    }

    pub(super) fn power_on(&mut self) {
        let now = self.now;
        let due: Vec<_> =
            self.pending_restarts.iter().filter(|(when, _)| *when <= now).map(|(_, at)| *at).collect();
        self.pending_restarts.retain(|(when, _)| *when > now);
        for at in due {
            self.machines[at].powered = true;
            self.disturbances.record_machine(at, now, now);
            self.start(at);
        }
    }

    pub(super) fn unfreeze(&mut self, at: usize) {
        if self.machines[at].frozen_until > self.now {
            return;
        }
        let held = std::mem::take(&mut self.machines[at].held_events);
        for event in held {
            self.event(event);
        }
    }

    /// A core machine has just acknowledged a configuration: injects the fault scheduled for this moment.
    pub(super) fn acknowledged_by(&mut self, machine: usize) {
        if let Some((power, lasts)) = self.kill_next.take()
            && self.machines[machine].powered
        {
            self.kill(machine, power, if power { lasts } else { RESTART });
        }
        let Some(lasts) = self.wipe_next.take() else { return };
        let now = self.now;
        // Lose no more disks at once than tolerated.
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now);
        let others =
            self.cores.iter().filter(|at| **at != machine).all(|at| self.disturbances.in_contact(*at, now));
        if recent || !others || !self.machines[machine].powered {
            return;
        }
        self.wiped_at = Some(now);
        self.kill(machine, true, lasts);
        self.machines[machine].disk.wipe();
        self.trace_line(|| format!("machine {machine} loses its disk"));
    }

    /// Delays the messages to one core machine, so that an acknowledged value may be held by a bare majority
    /// only.
    fn delay_one_controller(&mut self) {
        let at = self.cores[self.rng.below(3)];
        self.machines[at].delay = (self.now + 300 * MS, self.rng.between(5 * MS, 80 * MS));
    }

    /// Submits a last change; the final fault strikes once it is acknowledged.
    pub(super) fn final_fault(&mut self) {
        self.delay_one_controller();
        self.config_change(true);
    }

    /// Injects the final fault.
    pub(super) fn inject_final_fault(&mut self, acknowledged: usize) {
        let now = self.now;
        let Some((_, how)) = self.plan.final_fault.filter(|_| self.closed.is_none()) else { return };
        let lasts = 1_200 * MS;
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now);
        let wiped = (how == FinalFault::WipeAfterAck && !recent).then_some(acknowledged);
        for at in 0..self.machines.len() {
            let power = match how {
                FinalFault::PowerOffAll => true,
                FinalFault::KillAll => false,
                FinalFault::WipeAfterAck => self.machines[at].core,
            };
            if how != FinalFault::WipeAfterAck || power {
                self.kill(at, power, lasts);
            }
        }
        if let Some(at) = wiped {
            self.machines[at].disk.wipe();
            self.wiped_at = Some(now);
        }
        self.closed = Some((now, now + lasts));
        self.end = now + lasts + self.site.bounds.recovery + 4 * SECOND;
    }
}
