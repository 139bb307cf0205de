//! One function as its owner keeps it: its instances in a row, what waits, and sums over the instances that are kept up to date
//! rather than counted for each request.
//!
//! Invariant: `stock` says what `places` holds, and the instances stand in the order of their ids.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::budget::Budget;
use crate::demand::Demand;
use crate::function::{Floor, SETTLES};
use crate::instance::{Place, Stage};
use crate::{FunctionSpec, MS, Nanos, PermitRequest, SECOND};

/// An owner of before that lives, and has not said what it has out by the time that it was given, is counted with for so long.
const UNSURE: Nanos = 4_500 * MS;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub from: CompactString,
    pub ask: PermitRequest,
    /// It waits for word of any instance, until then; after that it is judged as others are.
    pub unheard: Option<Nanos>,
}

/// What is kept of a function that the configuration names.
#[derive(Debug)]
pub(crate) struct Function {
    pub spec: FunctionSpec,
    /// By deadline: what was made by a running request comes before the younger ones that it waits among.
    pub queue: BTreeMap<(Nanos, u64), Waiting>,
    pub budget: Budget,
    pub demand: Demand,
    pub target: Nanos,
    /// Requests by zone, forgetting; in the order of the zones.
    zones: Vec<(CompactString, f64)>,
    /// What was last said to be wanted, and when.
    pub said: Option<(Nanos, u32)>,
    /// What it took of its owner's strength when that was said.
    pub strain: f64,
    /// What control keeps under it.
    pub floor: Option<Floor>,
}

impl Function {
    pub fn new(spec: FunctionSpec, budget: Budget, demand: Demand) -> Self {
        Function {
            spec,
            queue: BTreeMap::new(),
            budget,
            demand,
            target: 200 * MS,
            zones: Vec::new(),
            said: None,
            strain: 0.0,
            floor: None,
        }
    }

    /// A request has come for the first time, in this zone.
    pub fn came(&mut self, now: Nanos, zone: &CompactString) {
        self.budget.request(now);
        self.demand.came(now);
        for (_, part) in &mut self.zones {
            *part *= 0.98;
        }
        match self.zones.binary_search_by(|(z, _)| z.cmp(zone)) {
            Ok(at) => self.zones[at].1 += 1.0,
            Err(at) => self.zones.insert(at, (zone.clone(), 1.0)),
        }
    }

    /// Where its requests come in, most first.
    pub fn zones(&self) -> Vec<CompactString> {
        let mut zones: Vec<_> = self.zones.iter().collect();
        zones.sort_by(|a, b| b.1.total_cmp(&a.1));
        zones.into_iter().map(|(zone, _)| zone.clone()).collect()
    }
}

/// Sums over the instances of a function.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stock {
    /// Requests may go there.
    pub open: usize,
    /// They are about to.
    pub coming: usize,
    /// When the first of those was heard of.
    since: Nanos,
    /// To be let go once nothing is out.
    pub leaving: usize,
    /// Let go or lost, and still named by control.
    pub retired: usize,
    /// Permits that are out.
    pub held: usize,
}

/// A function: what the configuration says of it, if it names it, and the instances that control has told of.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub name: CompactString,
    pub function: Option<Function>,
    places: Vec<Place>,
    stock: Stock,
    /// It is owned here, all of it or the lot of this stall's zone.
    pub owned: bool,
    /// Each zone has an owner of its own.
    pub split: bool,
    /// Its owner has changed, and until then not all may have heard of that.
    pub settling: Nanos,
    /// Owners of before, whose word on what they have out is waited for until then, and longer with care.
    pub expects: BTreeSet<CompactString>,
    /// Instances that somebody else may have given out are tried again from then on, should one have been full.
    wary: Nanos,
    /// Of those, how many were full one after the other.
    strikes: u32,
    /// It is looked at with each tick.
    pub awake: bool,
}

impl Service {
    pub fn new(name: CompactString) -> Self {
        Service { name, ..Service::default() }
    }

    /// Nothing is known of it any more.
    pub fn is_empty(&self) -> bool {
        self.function.is_none() && self.places.is_empty()
    }

    pub fn stock(&self) -> Stock {
        self.stock
    }

    /// Those that it has, and is about to have.
    pub fn live(&self) -> usize {
        self.stock.open + self.stock.coming
    }

    pub fn places(&self) -> &[Place] {
        &self.places
    }

    fn at(&self, id: &str) -> Result<usize, usize> {
        self.places.binary_search_by(|p| p.of.id.as_str().cmp(id))
    }

    pub fn place(&self, id: &str) -> Option<&Place> {
        self.places.get(self.at(id).ok()?)
    }

    /// It counts here: an owner goes by its own instances, who stands in for one by all that it knows.
    fn counts(&self, place: &Place) -> bool {
        place.mine || !self.owned
    }

    /// Changes the instances, and counts anew.
    pub fn change<T>(&mut self, what: impl FnOnce(&mut Vec<Place>) -> T) -> T {
        let given = what(&mut self.places);
        let mut stock = Stock { since: Nanos::MAX, ..Stock::default() };
        for place in &self.places {
            stock.retired += usize::from(place.retired);
            stock.held += place.out.len();
            if !self.counts(place) {
                continue;
            }
            if place.open() {
                stock.open += 1;
            } else if place.live() {
                stock.coming += 1;
                stock.since = stock.since.min(place.since);
            }
            stock.leaving += usize::from(place.leaving && !place.retired);
        }
        self.stock = stock;
        given
    }

    /// Changes one instance, if it is there, and counts anew.
    pub fn change_one<T>(&mut self, id: &str, what: impl FnOnce(&mut Place) -> T) -> Option<T> {
        let at = self.at(id).ok()?;
        self.change(|places| places.get_mut(at).map(what))
    }

    /// Changes what hangs on no count.
    pub fn reorder(&mut self, what: impl Fn(usize, &mut Place)) {
        self.places.iter_mut().enumerate().for_each(|(at, place)| what(at, place));
    }

    /// A new instance.
    pub fn add(&mut self, place: Place) {
        if let Err(at) = self.at(&place.of.id) {
            self.change(|places| places.insert(at, place));
        }
    }

    /// An instance that is no more.
    pub fn remove(&mut self, id: &str) -> Option<Place> {
        let at = self.at(id).ok()?;
        Some(self.change(|places| places.remove(at)))
    }

    /// A permit goes out.
    pub fn give(&mut self, id: &str, key: (CompactString, u64)) -> Option<&mut Place> {
        let at = self.at(id).ok()?;
        let place = self.places.get_mut(at)?;
        place.serves(&key.0);
        place.out.push(key);
        self.stock.held += 1;
        Some(place)
    }

    /// A permit is no longer out.
    pub fn take_back(&mut self, id: &str, from: &str, ask: u64) -> Option<&mut Place> {
        let at = self.at(id).ok()?;
        let place = self.places.get_mut(at)?;
        if let Some(which) = place.out.iter().position(|(who, n)| *n == ask && who == from) {
            place.out.swap_remove(which);
            self.stock.held -= 1;
        }
        Some(place)
    }

    /// How many slots are held from now on, for the averages.
    pub fn hold(&mut self, now: Nanos) {
        if let Some(function) = &mut self.function {
            function.demand.holds(now, self.stock.held);
        }
    }

    /// The instance that gets the next request: one that surely ends no later than others, not nearly full, near by, with fewest calls out, then in turns.
    pub fn choose(&self, now: Nanos, from: &str, ask: &PermitRequest) -> Option<&CompactString> {
        let all = self.function.as_ref()?.spec.concurrency.max(1) as usize;
        if self.stock.open == 0 {
            return None;
        }
        // A new owner gives nothing of what it found before the one of before, if it lives, has said what it has out; where that one
        // is dead, a part. So does who is asked in the owner's place, and does not know what the owner has out; who was the owner
        // until a moment ago gives nothing.
        let settles = now < self.settling;
        // An owner that is only slow may have all of them out: one slot of a few, until one has been served there.
        let mut tries = if now < self.wary { 0 } else { self.tries() };
        if tries > 0 {
            let tried = self.places.iter().filter(|p| self.unsure(now, p) && !p.proven && !p.out.is_empty());
            tries = tries.saturating_sub(tried.count());
        }
        let most = |p: &Place| match self.owned {
            true if settles && p.found && !self.expects.is_empty() => 0,
            true if settles && p.found => p.slots_left(now, all.div_ceil(2)),
            false if settles => 0,
            _ if !self.unsure(now, p) => p.slots_left(now, all),
            _ if p.proven => (all / 4).max(1),
            _ if tries > 0 => 1,
            _ => 0,
        };
        let free = self.places.iter().filter(|p| {
            p.out.len() < most(p) && p.open() && now >= p.shunned.max(p.yielded) && self.counts(p)
        });
        let best = free.min_by_key(|p| {
            let avoided = ask.avoid.contains(&p.of.id);
            let most = most(p);
            let nearly_full = most > 1 && p.out.len() + 1 >= most;
            // An asker that comes back to an instance has a connection there.
            (avoided, p.behind, nearly_full, p.of.zone != ask.zone, !p.knows(from), p.out.len(), p.turn)
        });
        best.map(|p| &p.of.id)
    }

    /// Somebody else may have given its slots out: this stall stands in for the owner, or has not heard from the one of before.
    pub fn unsure(&self, now: Nanos, place: &Place) -> bool {
        !self.owned || place.found && !self.expects.is_empty() && now < self.settling + UNSURE
    }

    /// How many instances that are not proven are tried at once: who stands in does so for moments, and each zone's owner after a split
    /// may wait for the same word.
    fn tries(&self) -> usize {
        if self.owned || self.strikes > 0 { 1 } else { 4 }
    }

    /// One that somebody else may have given out was tried.
    pub fn tried(&mut self, now: Nanos, was_full: bool) {
        if was_full {
            let pause = if self.owned { SECOND } else { 300 * MS };
            self.wary = now + (pause << self.strikes.min(4));
            self.strikes += 1;
        } else {
            self.strikes = 0;
        }
    }

    /// Its owner is another one: what was tried says nothing any more.
    pub fn anew(&mut self) {
        (self.wary, self.strikes) = (0, 0);
    }

    /// This owner of before has told of all it had out, or is gone: those who have it out tell of it now.
    pub fn expect_no_more(&mut self, now: Nanos, from: &str, gone: bool) {
        if self.expects.remove(from) && self.expects.is_empty() {
            self.settling = if gone { now + SETTLES } else { self.settling.min(now) };
            self.anew();
            self.change(|places| places.iter_mut().for_each(|p| (p.yielded, p.proven) = (0, false)));
        }
    }

    /// The probability of a further try, over all that are open.
    pub fn mean_chance(&self, t1: Nanos) -> f64 {
        if self.stock.open == 0 {
            return 1.0;
        }
        let open = self.places.iter().filter(|p| p.open() && self.counts(p));
        open.map(|p| p.chance(t1)).sum::<f64>() / self.stock.open as f64
    }

    /// How long a request that comes now waits for a slot, by what is out, what waits and what boots.
    pub fn wait(&self, now: Nanos) -> Nanos {
        let Some(function) = &self.function else { return SECOND };
        let per = f64::from(function.spec.concurrency.max(1));
        let hold = function.demand.usual();
        let (slots, coming) = (self.stock.open as f64 * per, self.stock.coming as f64 * per);
        let ahead = function.queue.len() as f64 + 1.0;
        let by_slots = if slots > 0.0 { ahead / slots * hold } else { f64::INFINITY };
        let boots = if self.stock.coming > 0 {
            (self.stock.since + function.spec.startup_time).max(now + function.spec.startup_time / 10) - now
        } else {
            function.spec.startup_time + 30 * MS
        };
        if by_slots <= boots as f64 {
            return by_slots as Nanos;
        }
        let coming = if coming > 0.0 { coming } else { per };
        let done = slots / hold * boots as f64;
        boots + ((ahead - done).max(0.0) / (slots + coming) * hold * 0.5) as Nanos
    }

    /// The instance that is to go first where there are more than are needed: none while it is not at rest.
    pub fn spare(&self, now: Nanos, need: usize) -> Option<CompactString> {
        if self.live() <= need {
            return None;
        }
        let spare = self.places.iter().filter(|p| self.counts(p) && p.live() && (p.open() || need == 0));
        let old = spare.min_by_key(|p| (!p.slow, p.out.len(), p.used))?;
        (old.out.is_empty() && old.used + 100 * MS <= now).then(|| old.of.id.clone())
    }

    /// What is needed, and what is not, may change with time.
    pub fn is_due(&self) -> bool {
        let Some(function) = self.function.as_ref().filter(|_| self.owned) else { return false };
        let said = || function.said.is_none_or(|(_, count)| count > 0);
        !self.places.is_empty() || !function.queue.is_empty() || said()
    }

    /// It is to be looked at with the next tick too. What was said never and needs nothing stays so until something comes.
    pub fn stays_awake(&self) -> bool {
        let Some(function) = &self.function else { return false };
        !function.queue.is_empty() || self.is_due() && !(self.places.is_empty() && function.said.is_none())
    }

    /// Something of it waits or is out.
    pub fn is_busy(&self) -> bool {
        self.stock.held > 0 || self.function.as_ref().is_some_and(|f| !f.queue.is_empty())
    }

    /// It has an instance that boots: it is to be found out when it is up.
    pub fn boots(&self, id: &str) -> bool {
        self.place(id).is_some_and(|p| p.of.stage == Stage::Booting)
    }
}
