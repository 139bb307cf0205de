//! Floors under functions while a tenant moves: said to those who stand for each, with what its owners tell of it.
//!
//! Invariant: while nothing is to be warm nothing is kept, and nothing is said.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_protocol::{FunctionStatus, PeerMessage, Version};
use millpost_scheduler::OwnerRanking;

use super::{Leader, MS, Nanos, Told};

/// A floor is said again this often: an owner may have started anew,
const AGAIN: Nanos = 1_000 * MS;
/// ... and holds for so long without: the next leader has taken it up by then.
const HOLDS: Nanos = 10_000 * MS;
/// What nobody wants warm for so long has no floor any more.
const LAPSES: Nanos = 6_000 * MS;
/// How a function does counts for so long.
const FRESH: Nanos = 3_000 * MS;
/// Functions with a floor, and zones whose owners tell of one.
const MOST: usize = 2_000;
const MOST_LOTS: usize = 64;

#[derive(Debug)]
struct Floor {
    count: u32,
    wanted: Nanos,
    /// Stalls that were told.
    told: BTreeSet<CompactString>,
    /// How it does, by lot, and when that was heard.
    does: BTreeMap<CompactString, (FunctionStatus, Nanos)>,
}

/// How a function does, over its lots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Doing {
    /// The averaged delay above its lowest, in nanoseconds: of several lots the mean.
    pub delay: f64,
    /// The part that is refused.
    pub refused: f64,
}

/// All floors.
#[derive(Debug, Default)]
pub(super) struct Floors {
    all: BTreeMap<CompactString, Floor>,
    said: Nanos,
    /// By this naming.
    of: Version,
}

impl Floors {
    /// An owner tells how a function does.
    pub fn told(&mut self, now: Nanos, service: &str, lot: Option<&CompactString>, does: FunctionStatus) {
        let Some(floor) = self.all.get_mut(service) else { return };
        let lot = lot.cloned().unwrap_or_default();
        if floor.does.len() < MOST_LOTS || floor.does.contains_key(&lot) {
            floor.does.insert(lot, (does, now));
        }
    }

    /// What is said of one floor: to the owner of each lot, and to the next for it, that lot's part.
    fn say(
        service: &CompactString,
        floor: &mut Floor,
        fence: u64,
        ranks: &mut OwnerRanking,
        into: &mut Told,
    ) {
        let zones: Vec<CompactString> =
            ranks.owners().partition_zones(service, "").into_iter().map(Into::into).collect();
        let lots = zones.len().max(1) as u32;
        let mut stand: BTreeMap<CompactString, u32> = BTreeMap::new();
        for (n, zone) in zones.iter().enumerate() {
            let part = floor.count / lots + u32::from((n as u32) < floor.count % lots);
            // One at least: a lot without any would not be told of either.
            let part = if floor.count > 0 { part.max(1) } else { 0 };
            stand.extend(ranks.owner_and_deputy(service, zone).map(|name| (name.clone(), part)));
        }
        // Who stands for it no more needs no floor.
        let gone = floor.told.iter().filter(|name| !stand.contains_key(*name)).cloned();
        let all: Vec<_> = gone.map(|name| (name, 0)).chain(stand.clone()).collect();
        floor.told = stand.into_keys().collect();
        let left = (HOLDS / MS) as f64;
        for (name, count) in all {
            let note = PeerMessage::Floor { service: service.clone(), count, fence, left };
            into.entry(name).or_default().push(note);
        }
    }
}

impl Leader {
    /// A function is to have at least so many instances, until nothing is said of it any more.
    pub fn warm(&mut self, now: Nanos, service: &str, count: u32) {
        let floors = &mut self.floors;
        if let Some(floor) = floors.all.get_mut(service) {
            // Several moves may want it at once.
            let count = if floor.wanted == now { floor.count.max(count) } else { count };
            if count != floor.count {
                floors.said = 0;
            }
            (floor.count, floor.wanted) = (count, now);
        } else if count > 0 && floors.all.len() < MOST {
            let (told, does) = (BTreeSet::new(), BTreeMap::new());
            floors.all.insert(service.into(), Floor { count, wanted: now, told, does });
            floors.said = 0;
        }
    }

    /// Nothing is to be warm any more.
    pub fn cool(&mut self) {
        if !self.floors.all.is_empty() {
            self.floors.said = 0;
            self.floors.all.values_mut().for_each(|floor| floor.count = 0);
        }
    }

    /// What is said of floors now.
    pub fn floors(&mut self, now: Nanos, into: &mut Told) {
        let (floors, ranks) = (&mut self.floors, &mut self.ranks);
        let of = ranks.owners().version();
        if floors.all.is_empty() || now < floors.said + AGAIN && of == floors.of && floors.said > 0 {
            return;
        }
        (floors.said, floors.of) = (now, of);
        for (service, floor) in &mut floors.all {
            if now >= floor.wanted + LAPSES {
                floor.count = 0;
            }
            Floors::say(service, floor, self.fence, ranks, into);
        }
        floors.all.retain(|_, floor| floor.count > 0);
    }

    /// How a function with a floor does, as its owners have told lately; none where one has not. Without a floor nobody is asked.
    pub fn doing(&self, now: Nanos, service: &str) -> Option<Option<Doing>> {
        let floor = self.floors.all.get(service)?;
        let fresh = |lot: &str| floor.does.get(lot).filter(|(_, at)| now < at + FRESH).map(|(does, _)| *does);
        let owners = self.ranks.owners();
        let lots =
            if owners.partition_count(service) > 1 { owners.partition_zones(service, "") } else { vec![""] };
        let Some(all) = lots.iter().map(|lot| fresh(lot)).collect::<Option<Vec<_>>>() else {
            return Some(None);
        };
        let above = all.iter().map(|does| (does.delay - does.lowest).max(0.0)).sum::<f64>();
        let sum = |of: fn(&FunctionStatus) -> u32| all.iter().map(|does| f64::from(of(does))).sum::<f64>();
        let delay = above / all.len() as f64 * MS as f64;
        // An ask may have been refused a while after it came.
        let refused = sum(|does| does.refused) / sum(|does| does.asked.max(does.refused)).max(1.0);
        Some(Some(Doing { delay, refused }))
    }
}
