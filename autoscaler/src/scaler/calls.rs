//! The calls to the platform: which are made, and what their answers mean.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};

use super::{Effect, Pending, Scaler, Service, Starts, Stops, WHOLE, Want};
use crate::fleet::Stands;
use crate::life::{Halt, Life, Phase};
use crate::platform::{StartFault, StopFault};
use crate::{MS, Nanos};

/// A stop that has waited for this long goes before starts of services that have an instance.
const OVERDUE: Nanos = 1_000 * MS;
/// No room anywhere: tried again after this long.
const NO_ROOM: Nanos = 250 * MS;
/// The first pause of a service whose start was refused; it doubles up to sixteen times this.
const REFUSED: Nanos = 1_000 * MS;
/// The longest nonce, in bytes.
const NONCE_MAX: usize = 64;

impl Scaler {
    /// The answer to a start.
    pub fn start_answered(
        &mut self,
        now: Nanos,
        nonce: &str,
        answer: Result<(CompactString, SocketAddr), StartFault>,
    ) {
        let Some(number) = self.pending.iter().find(|(_, p)| p.nonce == nonce).map(|(number, _)| *number)
        else {
            return;
        };
        let Some(start) = self.pending.get_mut(&number) else { return };
        let service_name = start.service.clone();
        self.needy.insert(service_name.clone());
        let fault = match answer {
            Ok((id, address)) => {
                let worker = start.worker.clone();
                self.unpend(number, false);
                if !self.lives.contains_key(&id) {
                    self.birth(now, id, service_name, address, worker);
                }
                return;
            }
            Err(fault) => fault,
        };
        start.sent = None;
        start.failed += 1;
        start.due = now + self.terms.pause(start.failed);
        let worker = start.worker.clone();
        match fault {
            StartFault::Unclear => {}
            StartFault::Busy => self.duty.empty(now),
            StartFault::NoRoom => {
                self.unpend(number, true);
                if let Some(service) = self.services.get(&service_name) {
                    self.fleet.full(&worker, now, service.spec.memory_mb);
                }
            }
            StartFault::Refused => {
                self.unpend(number, true);
                if let Some(service) = self.services.get_mut(&service_name) {
                    service.paused = now + (REFUSED << service.refusals.min(4));
                    service.refusals += 1;
                }
            }
        }
    }

    /// The answer to a stop.
    pub fn stop_answered(&mut self, now: Nanos, id: &str, answer: Result<(), StopFault>) {
        let Some(life) = self.lives.get_mut(id) else { return };
        let Some(halt) = life.halt.as_mut().filter(|halt| halt.sent.is_some()) else { return };
        halt.sent = None;
        if matches!(answer, Ok(()) | Err(StopFault::Unknown | StopFault::Refused)) {
            halt.answered = Some(now);
            return;
        }
        halt.failed += 1;
        halt.due = now + self.terms.pause(halt.failed);
        self.halts.insert((halt.due, id.into()));
        if answer == Err(StopFault::Busy) {
            self.duty.empty(now);
        }
    }

    /// To be stopped at `due`, or when that is sooner, at the time it had.
    pub(super) fn halt(&mut self, id: &str, due: Nanos) {
        let Some(life) = self.lives.get_mut(id) else { return };
        if let Some(halt) = life.halt {
            self.halts.remove(&(halt.due, life.told.id.clone()));
        }
        life.halt = Some(Halt { due, ..Halt::default() });
        self.halts.insert((due, life.told.id.clone()));
    }

    pub(super) fn unpend(&mut self, number: u64, release: bool) {
        let Some(start) = self.pending.remove(&number) else { return };
        if release {
            self.fleet.release(&start.worker, number);
        }
        if let Some(service) = self.services.get_mut(&start.service) {
            service.pending.remove(&number);
        }
    }

    /// Gives starts up that wait to be called again. If one was done after all, the list shows it.
    pub(super) fn drop_pending(&mut self, service: &str) {
        let Some(service) = self.services.get(service) else { return };
        let waits = |number: &&u64| self.pending.get(number).is_some_and(|start| start.sent.is_none());
        let numbers: Vec<u64> = service.pending.iter().filter(waits).copied().collect();
        numbers.iter().for_each(|number| self.unpend(*number, false));
    }

    /// (live, how many more may be started now) of a lot, with those that are being started as live.
    pub(super) fn stock(&self, now: Nanos, service: &Service, lot: &str) -> (usize, usize) {
        let counts = |life: &&Life| life.live() && (lot == WHOLE || life.told.zone == lot);
        let shown = service.lives.iter().filter_map(|id| self.lives.get(id)).filter(counts).count();
        let starts = service.pending.iter().filter_map(|number| self.pending.get(number));
        let live = shown + starts.filter(|s| lot == WHOLE || self.fleet.zone(&s.worker) == lot).count();
        let count = service.wants.get(lot).map_or(0, |want| want.count as usize);
        let most = if now < self.settled(service) { count.min(1) } else { count };
        (live, most.saturating_sub(live))
    }

    /// When what a predecessor has started must show.
    pub(super) fn settled(&self, service: &Service) -> Nanos {
        let boots = self.terms.settle_boots * u64::from(service.spec.boot_ms) * MS;
        if self.terms.fence <= 1 || service.inherited {
            self.born
        } else {
            self.born + boots + self.terms.lag()
        }
    }

    /// Calls again, then starts. False if there are no calls left for now.
    pub(super) fn start(&mut self, now: Nanos, which: Starts, wake: &mut Nanos) -> bool {
        if self.listed.is_none() {
            return true;
        }
        self.again(now, wake) && self.fill(now, which, wake)
    }

    /// Starts to be called again, with the nonce and the worker that they had.
    fn again(&mut self, now: Nanos, wake: &mut Nanos) -> bool {
        let waiting: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, start)| start.sent.is_none())
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            let Some(start) = self.pending.get(&number) else { continue };
            let Some(service) = self.services.get(&start.service) else { continue };
            let lot = if service.split { self.fleet.zone(&start.worker) } else { WHOLE.into() };
            let (live, _) = self.stock(now, service, &lot);
            let wanted = service.wants.get(&lot).map_or(0, |want| want.count as usize);
            let takes = self.fleet.stands(&start.worker) == Stands::Ready;
            if live > wanted || !takes {
                self.needy.insert(start.service.clone());
                self.unpend(number, false);
                continue;
            }
            if start.due > now {
                *wake = (*wake).min(start.due);
                continue;
            }
            if !self.duty.draw(now) {
                return false;
            }
            let mb = service.spec.memory_mb;
            self.call(now, number, mb);
        }
        true
    }

    fn call(&mut self, now: Nanos, number: u64, mb: u32) {
        let Some(start) = self.pending.get_mut(&number) else { return };
        start.sent = Some(now);
        self.fleet.charge(&start.worker, number, now, mb);
        let (service, worker, nonce) = (start.service.clone(), start.worker.clone(), start.nonce.clone());
        self.effects.push(Effect::Start { service, worker, nonce });
    }

    /// New starts: services without any instance first, then those that are shortest.
    fn fill(&mut self, now: Nanos, which: Starts, wake: &mut Nanos) -> bool {
        let mut heap = BinaryHeap::new();
        let mut enough = Vec::new();
        for name in &self.needy {
            let Some(service) = self.services.get(name).filter(|service| !service.wants.is_empty()) else {
                enough.push(name.clone());
                continue;
            };
            let settled = self.settled(service);
            if now < settled {
                *wake = (*wake).min(settled);
            }
            let mut missing = false;
            for lot in service.wants.keys() {
                let (live, short) = self.stock(now, service, lot);
                missing |= short > 0;
                if short > 0 && service.paused <= now && (live == 0 || which == Starts::All) {
                    heap.push((live == 0, short, Reverse((name.clone(), lot.clone()))));
                }
            }
            if service.paused > now {
                *wake = (*wake).min(service.paused);
            }
            if now >= settled && !missing {
                enough.push(name.clone());
            }
        }
        enough.iter().for_each(|name| {
            self.needy.remove(name);
        });
        while let Some((_, short, Reverse((name, lot)))) = heap.pop() {
            let worker = self.place(&name, &lot);
            if let Some(want) = self.services.get_mut(&name).and_then(|s| s.wants.get_mut(&lot)) {
                want.starved = if worker.is_none() { want.starved.or(Some(now)) } else { None };
            }
            let Some(worker) = worker else {
                *wake = (*wake).min(now + NO_ROOM);
                continue;
            };
            if !self.duty.draw(now) {
                return false;
            }
            self.begin(now, name.clone(), worker);
            if short > 1 && which == Starts::All {
                heap.push((false, short - 1, Reverse((name, lot))));
            }
        }
        true
    }

    /// The worker for one more of a service, in the zone of its lot where it is split.
    pub(super) fn place(&self, name: &str, lot: &str) -> Option<CompactString> {
        let service = self.services.get(name)?;
        let mut held: Vec<(&str, &str)> = Vec::new();
        // One that was found dead counts: its worker may be.
        let counts = |life: &&Life| life.live() || matches!(life.phase, Phase::Doubted { .. });
        for life in service.lives.iter().filter_map(|id| self.lives.get(id)).filter(counts) {
            held.push((&life.told.worker, &life.told.zone));
        }
        let starts: Vec<_> = service.pending.iter().filter_map(|number| self.pending.get(number)).collect();
        let zones: Vec<_> = starts.iter().map(|start| self.fleet.zone(&start.worker)).collect();
        for (start, zone) in starts.iter().zip(&zones) {
            held.push((&start.worker, zone));
        }
        let wanted = service.wants.get(lot).map_or(&[][..], |want| &want.zones);
        let only = (lot != WHOLE).then_some(lot);
        let slow = self.slow(service.wants.get(lot));
        self.fleet.pick(service.spec.memory_mb, &held, wanted, only, &slow)
    }

    /// Workers that are slow by the word of this lot's owner, or by that of two services.
    fn slow<'a>(&'a self, want: Option<&'a Want>) -> BTreeSet<&'a str> {
        let mut slow: BTreeSet<&str> = want.iter().flat_map(|w| &w.slow).map(CompactString::as_str).collect();
        let mut once: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, service) in &self.services {
            for worker in service.wants.values().flat_map(|w| &w.slow) {
                if *once.entry(worker).or_insert(name) != name.as_str() {
                    slow.insert(worker);
                }
            }
        }
        slow
    }

    fn begin(&mut self, now: Nanos, service: CompactString, worker: CompactString) {
        self.number += 1;
        let number = self.number;
        let mut nonce = format_compact!("{}.{number}.", self.terms.fence);
        // The number alone is new under this fence; the name is there for people.
        nonce.extend(service.chars().filter(char::is_ascii_graphic).take(NONCE_MAX - nonce.len()));
        let Some(held) = self.services.get_mut(&service) else { return };
        held.pending.insert(number);
        let mb = held.spec.memory_mb;
        self.pending.insert(number, Pending { service, worker, nonce, sent: None, due: now, failed: 0 });
        self.call(now, number, mb);
    }

    /// Stops that are due. False if there are no calls left for now.
    pub(super) fn stop(&mut self, now: Nanos, which: Stops, wake: &mut Nanos) -> bool {
        let waits = if which == Stops::Overdue { OVERDUE } else { 0 };
        while let Some((due, id)) = self.halts.first().cloned() {
            if due + waits > now {
                if which == Stops::All {
                    *wake = (*wake).min(due);
                }
                return true;
            }
            if !self.duty.draw(now) {
                return false;
            }
            self.halts.remove(&(due, id.clone()));
            self.end(&id);
            if let Some(halt) = self.lives.get_mut(&id).and_then(|life| life.halt.as_mut()) {
                halt.sent = Some(now);
                self.effects.push(Effect::Stop { id });
            }
        }
        true
    }
}
