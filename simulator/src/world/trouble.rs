//! Troubles as they strike, and how the day closes. What was in trouble is told to [`crate::calm::Calm`].

use super::planned::RESTART;
use super::{Event, World};
use crate::chance::Chance;
use crate::plan::{Closing, From, Trouble, What};
use crate::{MS, SECOND, Time};

/// A machine that came back counts as lost for so long.
const CATCH_UP: Time = 4 * SECOND;
/// A machine misses changes for so long.
const BEHIND: Time = 2 * SECOND;

impl World {
    pub(super) fn hit(&mut self, at: usize, until: Time) {
        let now = self.now;
        self.calm.machine(at, now, until);
        if self.machines[at].core {
            self.calm.core(now, until);
        }
    }

    pub(super) fn trouble(&mut self, at: usize) {
        let trouble = self.plan.troubles[at].clone();
        let mut dice = Chance::new(trouble.dice);
        let now = self.now;
        let (fronts, cores) = (self.site.fronts.len(), self.cores.clone());
        self.note(|| format!("trouble {at}: {:?}", trouble.what));
        let one = |dice: &mut Chance, core: bool| {
            if core { cores[dice.below(cores.len())] } else { dice.below(fronts) }
        };
        match trouble.what {
            What::Burst { class, times, lasts } => {
                self.bursts.push((class, times, now + lasts));
                self.calm.outside(now, now + lasts);
            }
            What::NodeKill { core, power, lasts } => {
                let machine = one(&mut dice, core);
                self.kill(machine, power, if power { lasts } else { RESTART });
            }
            What::HerdKill { share, power, lasts } => {
                for machine in 0..fronts {
                    if dice.one(share) {
                        self.kill(machine, power, lasts);
                    }
                }
            }
            What::CoreCut { count, from, lasts } => {
                for _ in 0..count {
                    let machine = one(&mut dice, true);
                    let m = &mut self.machines[machine];
                    match from {
                        From::All => m.cut = now + lasts,
                        From::Core => m.cut_core = now + lasts,
                        From::OneWay => m.cut_out = now + lasts,
                    }
                    self.hit(machine, now + lasts);
                }
            }
            What::WorkerCrash { share, reset, lasts } => self.crash_workers(&mut dice, share, reset, lasts),
            What::WorkerDrain { share } => {
                let count = ((self.platform.hosts.len() as f64 * share).round() as usize).max(1);
                for _ in 0..count {
                    let host = dice.below(self.platform.hosts.len());
                    self.platform.hosts[host].draining = Some(now);
                    for at in 0..self.endpoints.len() {
                        if self.endpoints[at].worker == host && self.endpoints[at].ready.is_some() {
                            self.drain_endpoint(at, now);
                        }
                    }
                }
            }
            What::AfterAckWipe { lasts } => {
                self.wipe_next = Some(lasts);
                self.lag_one();
                self.config_change(false);
            }
            What::ConfigRace => self.config_race(),
            What::ConfigRaceOf { count } => self.config_race_of(count),
            What::SentAgain => self.send_again(false),
            What::SameRevision => self.send_again(true),
            What::AckLost { share, lasts } => self.lost_acks = (share, now + lasts),
            What::AfterAckKill { power, lasts } => {
                self.kill_next = Some((power, lasts));
                self.config_change(false);
            }
            What::CoreSplit { lasts } => {
                for (place, at) in cores.iter().enumerate() {
                    self.machines[*at].half = (place * 2 / cores.len(), now + lasts);
                    self.hit(*at, now + lasts);
                }
            }
            What::NodeCut { lasts } => {
                let machine = one(&mut dice, false);
                self.machines[machine].cut_core = now + lasts;
                self.hit(machine, now + lasts);
            }
            What::ClockStep { share, by_ms, lasts } => {
                for at in 0..self.machines.len() {
                    if dice.one(share) {
                        self.machines[at].clock = (by_ms, now + lasts);
                        self.hit(at, now + lasts);
                    }
                }
            }
            What::RollTerm { every } => {
                for (place, at) in cores.iter().enumerate() {
                    self.at(now + place as Time * every, Event::Term(*at));
                }
            }
            What::EdgeRoll { share, every } => {
                let count = ((fronts as f64 * share).ceil() as usize).clamp(1, fronts);
                let first = dice.below(fronts);
                for place in 0..count {
                    self.at(now + place as Time * every, Event::Term((first + place) % fronts));
                }
            }
            What::CoreBehind { lasts } => {
                let missed = dice.below(cores.len());
                let machine = cores[missed];
                self.machines[machine].cut_core = now + BEHIND;
                self.hit(machine, now + BEHIND);
                for after in [200 * MS, BEHIND / 2] {
                    self.later(now + after, What::ConfigChange, trouble.dice);
                }
                self.later(now + BEHIND, What::BehindStrikes { missed, lasts }, trouble.dice);
            }
            What::BehindStrikes { missed, lasts } => self.strike_behind(&mut dice, missed, lasts),
            What::HangUp { share } => {
                for at in 0..self.machines.len() {
                    if dice.one(share) {
                        self.hang_up(at);
                    }
                }
            }
            What::ConfigChange => self.config_change(false),
            What::BadConfig => self.bad_config(),
            What::AnswerLost { share, lasts } => {
                self.lost_share = (share, now + lasts);
                self.calm.outside(now, now + lasts);
            }
            What::Garble { share, lasts } => {
                self.garbled_share = (share, now + lasts);
                self.calm.outside(now, now + lasts);
            }
            What::SrvSlow { share, times, lasts } => {
                for endpoint in self.endpoints.iter_mut().filter(|e| e.ended.is_none()) {
                    if dice.one(share) {
                        endpoint.slow = (times, now + lasts);
                    }
                }
                self.calm.outside(now, now + lasts);
            }
            What::ResetConns { core } => {
                let machine = one(&mut dice, core);
                self.hit(machine, now);
                self.break_all(machine, true);
                self.break_clients(machine, true);
            }
            What::NodeFreeze { core, lasts } => {
                let machine = one(&mut dice, core);
                let m = &mut self.machines[machine];
                if m.powered && m.frozen <= now {
                    m.frozen = now + lasts;
                    self.hit(machine, now + lasts);
                    self.at(now + lasts, Event::Thaw(machine));
                }
            }
            What::DiskStall { lasts } => {
                let machine = one(&mut dice, true);
                self.machines[machine].disk.hangs_until = now + lasts;
                self.hit(machine, now + lasts);
            }
            What::DiskSlow { times, lasts } => {
                let machine = one(&mut dice, true);
                self.machines[machine].disk.slow = (times, now + lasts);
                self.hit(machine, now + lasts);
            }
            What::DiskFull { lasts } => {
                let machine = one(&mut dice, true);
                self.machines[machine].disk.full_until = now + lasts;
                self.hit(machine, now + lasts);
            }
            What::ReplaceCore { whom, after } => self.replace_core(&mut dice, whom, after),
            What::SeedTurnover => self.seed_turnover(&mut dice),
            What::NodeTerm { core } => {
                let machine = one(&mut dice, core);
                self.term(machine);
            }
            What::Drain { worker, lasts } => {
                let (what, name) = if worker {
                    ("worker", format!("w-{}", dice.below(self.platform.hosts.len())))
                } else {
                    // One that is not alone in its zone: others are not let go.
                    let zone = |at: usize| self.machines[at].zone;
                    let two = |at: &usize| (0..fronts).any(|other| other != *at && zone(other) == zone(*at));
                    let may: Vec<_> = (0..fronts).filter(two).collect();
                    let Some(at) = may.get(dice.below(may.len().max(1))) else { return };
                    ("edge", self.machines[*at].name.to_string())
                };
                self.drain(what, &name, lasts);
            }
            What::BigConfig { count } => self.big_config(count),
            What::ServiceDrop => self.drop_service(),
            What::ConfigStorm { count, every } => {
                self.config_change(false);
                if count > 1 {
                    let what = What::ConfigStorm { count: count - 1, every };
                    self.later(now + every, what, trouble.dice);
                }
            }
        }
    }

    /// A trouble that follows from another.
    fn later(&mut self, at: Time, what: What, dice: u64) {
        self.plan.troubles.push(Trouble { at, what, dice });
        self.at(at, Event::Trouble(self.plan.troubles.len() - 1));
    }

    /// All of the core lose power but the machine that missed changes, and one of them its disk; that one is back at once.
    fn strike_behind(&mut self, dice: &mut Chance, missed: usize, lasts: Time) {
        let now = self.now;
        let others: Vec<_> =
            self.cores.iter().enumerate().filter(|(place, _)| *place != missed).map(|(_, at)| *at).collect();
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now);
        let wiped = others[dice.below(others.len())];
        for at in others {
            self.kill(at, true, if at == wiped { 400 * MS } else { lasts });
        }
        if !recent {
            self.machines[wiped].disk.wipe();
            self.wiped_at = Some(now);
            self.note(|| format!("machine {wiped} loses its disk"));
        }
    }

    fn crash_workers(&mut self, dice: &mut Chance, share: f64, reset: bool, lasts: Time) {
        let now = self.now;
        let count = ((self.platform.hosts.len() as f64 * share).round() as usize).max(1);
        self.calm.outside(now, now + lasts);
        for _ in 0..count {
            let at = dice.below(self.platform.hosts.len());
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

    /// The connections of clients and to endpoints break; `kept`: the process goes on.
    fn break_clients(&mut self, at: usize, kept: bool) {
        let now = self.now;
        let tries = std::mem::take(&mut self.machines[at].tries);
        let soon = now + self.site.client;
        for attempt in tries {
            if kept {
                self.give(at, super::Role::ProxyProcess, crate::processes::In::Gone { client: attempt });
            }
            self.at(soon, Event::ToClient { attempt, status: 0, again: None, seal: None });
        }
        if kept {
            let exchanges: Vec<_> = self.machines[at].exchanges.iter().copied().collect();
            for number in exchanges {
                let outcome = millpost_scheduler::Outcome::NoAnswer;
                let done = crate::processes::Exchanged { outcome, sent: true, refused: false, answer: None };
                self.at(soon, Event::Back(number, done));
            }
        }
    }

    /// The processes of a machine end; with `power` the machine is off for as long.
    pub(super) fn kill(&mut self, at: usize, power: bool, lasts: Time) {
        self.hit(at, self.now + lasts);
        self.end(at, power, lasts);
    }

    /// They end as it was planned.
    pub(super) fn kill_planned(&mut self, at: usize, lasts: Time) {
        self.calm.planned(at, self.now, self.now + lasts);
        self.end(at, false, lasts);
    }

    fn end(&mut self, at: usize, power: bool, lasts: Time) {
        let now = self.now;
        if !self.machines[at].powered || self.machines[at].life == 0 {
            return;
        }
        let machine = &mut self.machines[at];
        (machine.stall, machine.porter, machine.hall) = (None, None, None);
        (machine.life, machine.frozen) = (0, 0);
        machine.held.clear();
        machine.powered = !power;
        machine.serving &= !power;
        if power {
            machine.disk.cut(now, &mut self.chance);
        } else {
            machine.disk.left();
        }
        self.note(|| {
            format!(
                "machine {at} is down for {} ms{}",
                lasts / MS,
                if power { ", without power" } else { "" }
            )
        });
        self.break_all(at, !power);
        if power {
            // Who is asked says nothing: clients wait for their time, endpoints work on.
            self.machines[at].tries.clear();
        } else {
            self.break_clients(at, false);
        }
        let exchanges = std::mem::take(&mut self.machines[at].exchanges);
        for number in exchanges {
            if power {
                self.exchanges.remove(&number);
            } else {
                self.drop_exchange(number);
            }
        }
        self.out.retain(|(machine, _, _), _| *machine != at);
        self.up_at.push((now + lasts, at));
        self.at(now + lasts, Event::Reopen);
    }

    pub(super) fn reopen(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.up_at.iter().filter(|(when, _)| *when <= now).map(|(_, at)| *at).collect();
        self.up_at.retain(|(when, _)| *when > now);
        for at in due {
            self.machines[at].powered = true;
            self.calm.machine(at, now, now);
            self.start(at);
        }
    }

    pub(super) fn thaw(&mut self, at: usize) {
        if self.machines[at].frozen > self.now {
            return;
        }
        let held = std::mem::take(&mut self.machines[at].held);
        for event in held {
            self.event(event);
        }
    }

    /// A control machine has just acknowledged: some days it loses its disk now.
    pub(super) fn acknowledged_by(&mut self, machine: usize) {
        if let Some((power, lasts)) = self.kill_next.take()
            && self.machines[machine].powered
        {
            self.kill(machine, power, if power { lasts } else { RESTART });
        }
        let Some(lasts) = self.wipe_next.take() else { return };
        let now = self.now;
        // No more disks at once than may be lost.
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now);
        let others = self.cores.iter().filter(|at| **at != machine).all(|at| self.calm.touch(*at, now));
        if recent || !others || !self.machines[machine].powered {
            return;
        }
        self.wiped_at = Some(now);
        self.kill(machine, true, lasts);
        self.machines[machine].disk.wipe();
        self.note(|| format!("machine {machine} loses its disk"));
    }

    /// A control machine hears a little later than the others: what was acknowledged may stand on a bare majority.
    fn lag_one(&mut self) {
        let at = self.cores[self.chance.below(3)];
        self.machines[at].lag = (self.now + 300 * MS, self.chance.between(5 * MS, 80 * MS));
    }

    /// A last change; once it is acknowledged all strikes.
    pub(super) fn closing(&mut self) {
        self.lag_one();
        self.config_change(true);
    }

    /// The closing fault.
    pub(super) fn strike(&mut self, acknowledged: usize) {
        let now = self.now;
        let Some((_, how)) = self.plan.closing.filter(|_| self.closed.is_none()) else { return };
        let lasts = 1_200 * MS;
        let recent = self.wiped_at.is_some_and(|at| at + CATCH_UP + 6 * SECOND > now);
        let wiped = (how == Closing::WipeAfterAck && !recent).then_some(acknowledged);
        for at in 0..self.machines.len() {
            let power = match how {
                Closing::PowerOffAll => true,
                Closing::KillAll => false,
                Closing::WipeAfterAck => self.machines[at].core,
            };
            if how != Closing::WipeAfterAck || power {
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
