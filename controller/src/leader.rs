//! The leader's duties, without I/O: which stalls are alive, and the scaler. It exists only while the lease is held.

mod floors;
mod view;

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_autoscaler::{
    Effect, Instance as Known, Nanos, PollSchedule, Recorded as Scaler, ScalerConfig, ServiceSpec, Sink,
    State,
};
use millpost_config::Config;
use millpost_protocol::{Instance, MembershipView, Peer, PeerMessage, Version, ViewChange};
use millpost_scheduler::{OwnerRanking, Owners};

pub use floors::Doing;
use floors::Floors;

const MS: Nanos = 1_000_000;
/// The first naming of stalls waits until nobody new was heard for so long, and no longer than this in all.
const NOBODY_NEW: Nanos = 120 * MS;
const HEARD_ALL: Nanos = 600 * MS;
/// ... nor than this where control has just started and no stall goes by a naming: then nobody owns anything, and nothing is served.
const NONE_OWNS: Nanos = 200 * MS;
/// Between two namings: what changes together is named together, since each goes to all.
const NAME_GAP: Nanos = 250 * MS;
/// A leader that has just taken office names whom it hears of at once, since they have nobody else.
const NEW_HERE: Nanos = 800 * MS;
/// Where there are more stalls than this, those that come within a short span are named together also then, and who is alive is looked
/// at no more often than needed.
const MANY: usize = 128;
const TOGETHER: Nanos = 100 * MS;
const LOOK: Nanos = 10 * MS;
/// A stall that is told of a naming and still goes by an older one after so long is told all of it.
const AGAIN: Nanos = 1_500 * MS;
/// ... but one at a time: where many are behind, it may be for what is sent already.
const ONE_BY_ONE: Nanos = 50 * MS;
/// A stall that nothing was heard of for so long is gone.
const SILENT: Nanos = 1_500 * MS;
/// ... and after so long one that others say does not answer them.
const DEAF: Nanos = 650 * MS;
/// So many others have to say so, within this time.
const WITNESSES: usize = 2;
const WITNESSED: Nanos = 1_000 * MS;
/// One whose porter is gone has this long to come back.
const UNFED: Nanos = 250 * MS;
/// A function that takes this part of its owner's strength gets an owner in each zone,
const SPLIT_FROM: f64 = 0.25;
/// ... until for so long all of them together spend less than this part of one stall's.
const JOIN_UNDER: f64 = 0.08;
const JOIN_AFTER: Nanos = 10_000 * MS;
/// Zones whose workers have no room for so long are too few: one owner starts wherever there is room.
const STARVED: Nanos = 1_500 * MS;
/// After that it is not split again for so long,
const NOT_AGAIN: Nanos = 30_000 * MS;
/// ... but it stays split, or is split again after this, where it takes this part of a stall's strength: one owner alone would sink.
const HEAVY: f64 = 0.5;
const HEAVY_AGAIN: Nanos = 2_000 * MS;
/// A stall that was named no more since others called it deaf, and was heard of again, is slow: for so long that does not count.
const SLOW: Nanos = 30_000 * MS;
/// Functions and zones of instances that owners told of.
const MOST_INHERITED: usize = 100_000;
/// Functions that are split at once.
const MOST_SPLIT: usize = 500;

struct Stall {
    peer: Peer,
    heard: Nanos,
    serving: bool,
    unfed: Option<Nanos>,
    /// Whom it does not answer, and when they said so.
    deaf: BTreeMap<CompactString, Nanos>,
    /// It is not named, since others call it deaf.
    dropped: bool,
    /// What others say counts from then on.
    slow: Nanos,
    /// The naming that it goes by, and the digest of that.
    knows: Option<(Version, u64)>,
    /// Since when it goes by one that is long past, or since it was told all of the newest for that.
    behind: Option<Nanos>,
}

/// The duties.
pub struct Leader {
    /// Its fence.
    pub fence: u64,
    /// The scaler.
    pub scaler: Scaler,
    /// When the platform is asked.
    pub pace: PollSchedule,
    began: Nanos,
    /// When a stall was heard for the first time.
    newest: Nanos,
    count: u64,
    stalls: BTreeMap<CompactString, Stall>,
    named_at: Nanos,
    /// Who is named; under version 0 while nobody was.
    ranks: OwnerRanking,
    /// A naming that all have had the time to hear of; and since when the one that is that next has stood.
    settled: Version,
    settles: (Nanos, Version),
    /// Stalls that are to be told all of it, and when one was last.
    behind: BTreeSet<CompactString>,
    mended: Nanos,
    /// Instances that owners told of, and that those who are next for them hear of with the next naming.
    inherited: BTreeSet<(CompactString, CompactString)>,
    looked: Nanos,
    split: BTreeSet<CompactString>,
    /// The naming that those come from, while nothing was named here.
    split_of: Version,
    strains: BTreeMap<CompactString, Strain>,
    /// The average time of a start, by service.
    boots: BTreeMap<CompactString, u32>,
    specs: Vec<ServiceSpec>,
    /// The process of this control machine has started so lately that all of control may have.
    pub control_is_new: bool,
    /// Stalls that operators have taken out: they are not named.
    pub rests: BTreeSet<CompactString>,
    floors: Floors,
}

/// What a function takes of its owners' strength.
#[derive(Default)]
struct Strain {
    /// By zone, where each has an owner.
    parts: BTreeMap<CompactString, f64>,
    /// It has been little since then.
    little: Option<Nanos>,
    /// It stays with one owner until then.
    whole: Nanos,
}

/// Instances that are new or changed, and those that are gone.
type Changed = (Vec<Instance>, Vec<CompactString>);
/// Notes for each of those that are to hear something.
pub type Told = BTreeMap<CompactString, Vec<PeerMessage>>;

fn specs(config: &Config) -> Vec<ServiceSpec> {
    let of = |n: u64| n.min(u32::MAX.into()) as u32;
    let spec = |s: &millpost_config::Service| ServiceSpec {
        name: s.name.clone(),
        memory_mb: of(s.memory_mb),
        boot_ms: of(s.boot_ms),
        concurrency: s.concurrency.max(1),
    };
    config.services.iter().map(spec).collect()
}

fn boots(specs: &[ServiceSpec]) -> BTreeMap<CompactString, u32> {
    specs.iter().map(|s| (s.name.clone(), s.boot_ms)).collect()
}

fn told(known: &Known) -> Instance {
    Instance {
        id: known.id.clone(),
        service: known.service.clone(),
        address: known.address.to_string().into(),
        zone: known.zone.clone(),
        worker: known.worker.clone(),
        stage: match known.state {
            State::Booting => 0,
            State::Ready => 1,
            State::Draining => 2,
        },
    }
}

/// Tells the log of a naming.
fn tell(roster: &MembershipView, note: &PeerMessage) {
    let names = |of: &mut dyn Iterator<Item = &CompactString>| {
        of.map(CompactString::as_str).collect::<Vec<_>>().join(" ")
    };
    let many = roster.peers().len() > MANY;
    match note {
        PeerMessage::ViewChange(shift) if many => {
            let came = names(&mut shift.came.iter().map(|p| &p.name));
            log::info!(
                "stalls: {} are alive; new: {came}; gone: {}",
                roster.peers().len(),
                names(&mut shift.left.iter())
            );
        }
        _ if many => log::info!("stalls: {} are alive", roster.peers().len()),
        _ => log::info!("stalls: {}", names(&mut roster.peers().iter().map(|p| &p.name))),
    }
    if !roster.leaving().is_empty() {
        log::info!("leaving: {}", names(&mut roster.leaving().iter().map(|p| &p.name)));
    }
    let split = match note {
        PeerMessage::ViewChange(shift) => !shift.split.is_empty() || !shift.joined.is_empty(),
        _ => true,
    };
    if split {
        log::info!("functions with an owner in each zone: {}", names(&mut roster.split().iter()));
    }
}

impl Leader {
    /// Takes office under a fence. What its scaler is given goes to `sink` too.
    pub fn new(
        now: Nanos,
        terms: ScalerConfig,
        rate_per_s: f64,
        config: Option<&Config>,
        sink: Option<Sink>,
    ) -> Self {
        let fence = terms.fence;
        let mut scaler = Scaler::new(terms, now, sink);
        let specs = config.map(specs).unwrap_or_default();
        if config.is_some() {
            scaler.configure(now, specs.iter().cloned());
        }
        let pace = PollSchedule::new(rate_per_s, now);
        Leader {
            fence,
            scaler,
            pace,
            began: now,
            newest: now,
            count: 0,
            stalls: BTreeMap::new(),
            named_at: 0,
            ranks: OwnerRanking::default(),
            settled: (0, 0),
            settles: (0, (0, 0)),
            behind: BTreeSet::new(),
            mended: 0,
            inherited: BTreeSet::new(),
            looked: 0,
            split: BTreeSet::new(),
            split_of: (0, 0),
            strains: BTreeMap::new(),
            boots: boots(&specs),
            specs,
            control_is_new: false,
            rests: BTreeSet::new(),
            floors: Floors::default(),
        }
    }

    /// The configuration in force. Most changes leave the services as they are.
    pub fn configure(&mut self, now: Nanos, config: &Config) {
        let specs = specs(config);
        if self.specs == specs {
            return;
        }
        self.boots = boots(&specs);
        self.scaler.configure(now, specs.iter().cloned());
        self.specs = specs;
        let boots = &self.boots;
        // What is gone from it is there until its instances are.
        let shown: BTreeSet<_> = self.scaler.visible_instances().map(|i| i.service.as_str()).collect();
        self.ranks.retain(|service| boots.contains_key(service) || shown.contains(service));
    }

    /// Somebody was named.
    fn has_named(&self) -> bool {
        self.ranks.owners().version() > (0, 0)
    }

    fn version(&mut self) -> Version {
        self.count += 1;
        (self.fence, self.count)
    }

    /// A word of a stall, or of its porter.
    pub fn note(&mut self, now: Nanos, note: &PeerMessage) {
        match note {
            PeerMessage::Alive { peer, serving, split, digest } if self.stalls.len() < 5_000 => {
                if let Some((version, all)) = split
                    && !self.has_named()
                    && *version > self.split_of
                {
                    self.split_of = *version;
                    self.split = all.iter().take(MOST_SPLIT).cloned().collect();
                }
                let version = split.as_ref().map(|(version, _)| *version);
                let behind = self.behind(now, &peer.name, version.unwrap_or_default());
                let slow =
                    self.stalls.get(&peer.name).map_or(0, |s| if s.dropped { now + SLOW } else { s.slow });
                let stall = Stall {
                    peer: peer.clone(),
                    heard: now,
                    serving: *serving,
                    unfed: None,
                    deaf: BTreeMap::new(),
                    dropped: false,
                    slow,
                    knows: version.zip(*digest),
                    behind,
                };
                if self.stalls.insert(peer.name.clone(), stall).is_none() {
                    self.newest = now;
                }
            }
            PeerMessage::Deaf { peer, from } if self.stalls.contains_key(from) => {
                if let Some(stall) = self.stalls.get_mut(peer) {
                    stall.deaf.insert(from.clone(), now);
                }
            }
            PeerMessage::Want { service, count, zones, lot, strain, does, slow } => {
                if let Some(does) = does {
                    self.floors.told(now, service, lot.as_ref(), *does);
                }
                self.strained(now, service, lot.as_ref(), *strain);
                self.scaler.set_target(now, service, lot.as_ref(), *count, zones);
                self.scaler.set_slow_workers(now, service, lot.as_ref(), slow);
            }
            PeerMessage::Mine { set } => {
                let known: Vec<_> = set.iter().filter_map(|i| self.known(now, i)).collect();
                if self.inherited.len() < MOST_INHERITED {
                    self.inherited.extend(known.iter().map(|i| (i.service.clone(), i.zone.clone())));
                }
                self.scaler.inherit(now, known);
            }
            PeerMessage::Retire { instance } => self.scaler.retire(now, instance),
            PeerMessage::Lost { instance } => self.scaler.mark_unreachable(now, instance),
            PeerMessage::Up { instance } => self.scaler.mark_up(now, instance),
            _ => {}
        }
    }

    /// A stall goes by this naming: since when it goes by one that is long past.
    fn behind(&mut self, now: Nanos, name: &CompactString, version: Version) -> Option<Nanos> {
        if now >= self.settles.0 + AGAIN {
            self.settled = self.settles.1;
            self.settles = (now, self.ranks.owners().version());
        }
        if version >= self.settled {
            return None;
        }
        let since = self.stalls.get(name).and_then(|s| s.behind).unwrap_or(now);
        if now < since + AGAIN || now < self.mended + ONE_BY_ONE {
            return Some(since);
        }
        self.mended = now;
        self.behind.insert(name.clone());
        Some(now)
    }

    /// An owner says what a function takes of its strength.
    fn strained(&mut self, now: Nanos, service: &CompactString, lot: Option<&CompactString>, strain: f64) {
        // One who does not know yet who owns what.
        if !self.has_named() || self.split.contains(service) != lot.is_some() {
            return;
        }
        let Some(lot) = lot else {
            let may =
                |s: &Strain| s.whole <= now || strain >= HEAVY && s.whole <= now + NOT_AGAIN - HEAVY_AGAIN;
            if strain >= SPLIT_FROM
                && self.boots.contains_key(service)
                && self.split.len() < MOST_SPLIT
                && self.strains.get(service).is_none_or(may)
            {
                self.strains.insert(service.clone(), Strain::default());
                self.split.insert(service.clone());
            }
            return;
        };
        let known = self.strains.entry(service.clone()).or_default();
        if known.parts.len() < 64 {
            known.parts.insert(lot.clone(), strain);
        }
        if known.parts.values().sum::<f64>() >= JOIN_UNDER {
            known.little = None;
        } else {
            known.little.get_or_insert(now);
        }
    }

    /// Functions that go back to one owner: they are little used, gone, or zones have no room for what they want.
    fn join(&mut self, now: Nanos) {
        let starved: BTreeSet<_> = self.scaler.starved(now, STARVED).cloned().collect();
        let (strains, boots) = (&mut self.strains, &self.boots);
        self.split.retain(|service| {
            let known = strains.entry(service.clone()).or_default();
            let starves = starved.contains(service) && known.parts.values().sum::<f64>() < HEAVY;
            if starves {
                known.whole = now + NOT_AGAIN;
            }
            let little = known.little.is_some_and(|since| since + JOIN_AFTER <= now);
            !starves && !little && boots.contains_key(service)
        });
        let split = &self.split;
        strains.retain(|service, s| split.contains(service) || s.whole > now);
    }

    /// An instance that an owner tells of; none where it can't be one.
    fn known(&self, now: Nanos, of: &Instance) -> Option<Known> {
        Some(Known {
            id: of.id.clone(),
            service: of.service.clone(),
            address: of.address.parse().ok()?,
            zone: of.zone.clone(),
            worker: of.worker.clone(),
            state: match of.stage {
                0 => State::Booting,
                1 => State::Ready,
                _ => State::Draining,
            },
            boot_ms: *self.boots.get(&of.service)?,
            since: now,
        })
    }

    /// Which stalls' porters are connected, and whoever is to be named by that: as [`Leader::name`].
    pub fn look(&mut self, now: Nanos, has: impl Fn(&str) -> bool) -> Option<(PeerMessage, Told)> {
        if self.stalls.len() > MANY && now < self.looked + LOOK {
            return None;
        }
        self.looked = now;
        for (name, stall) in &mut self.stalls {
            if has(name) {
                stall.unfed = None;
            } else {
                stall.unfed.get_or_insert(now);
            }
        }
        self.name(now)
    }

    /// When the first naming is due, unless somebody new is heard before. One that goes without stalls which still own functions makes
    /// them give up what they hold; where none can own any, waiting only leaves requests unserved.
    fn first_naming(&self) -> Nanos {
        let nobody_owns = self.control_is_new && self.split_of == (0, 0);
        let heard_all = if nobody_owns { NONE_OWNS } else { HEARD_ALL };
        (self.newest + NOBODY_NEW).min(self.began + heard_all)
    }

    /// The stalls and the functions that are split, where they have changed, for all; and for each whose functions have changed with
    /// that the instances of those that are now its own.
    pub fn name(&mut self, now: Nanos) -> Option<(PeerMessage, Told)> {
        self.stalls.retain(|_, s| s.heard + 10 * SILENT > now);
        let gap = match now < self.began + NEW_HERE {
            true if self.stalls.len() > MANY => TOGETHER,
            true => 0,
            false => NAME_GAP,
        };
        let first = !self.has_named();
        if first && now < self.first_naming() || !first && now < self.named_at + gap {
            return None;
        }
        for stall in self.stalls.values_mut() {
            let deaf = stall.deaf.values().filter(|at| **at + WITNESSED > now).count() >= WITNESSES;
            stall.dropped |= deaf && now >= stall.slow && stall.heard + DEAF <= now;
        }
        let rests = self.rests.clone();
        let lives = |s: &&Stall| {
            let unfed = s.unfed.is_some_and(|since| since + UNFED <= now);
            !s.dropped && s.heard + SILENT > now && !unfed
        };
        let stays = |s: &&Stall| s.serving && !rests.contains(&s.peer.name);
        let alive = |s: &&Stall| lives(s) && stays(s);
        if !first {
            self.join(now);
        }
        let before = self.ranks.owners().view();
        let stalls = || self.stalls.values().filter(alive).map(|s| &s.peer);
        let leaving = || self.stalls.values().filter(|s| lives(s) && !stays(s)).map(|s| &s.peer);
        // With one zone there is nothing to split by.
        let one = stalls().next()?;
        let split = if stalls().any(|p| p.zone != one.zone) { self.split.clone() } else { BTreeSet::new() };
        let same = *before.split() == split && stalls().eq(before.peers());
        if !first && same && leaving().eq(before.leaving()) {
            return None;
        }
        let peers = stalls().cloned().collect();
        let leaving = leaving().cloned().collect();
        // What the leader before has named may stand as it is; else all of it goes to those who know nothing yet, or something else.
        let known = self.stalls.values().filter(alive).filter_map(|s| s.knows).max();
        self.scaler.set_split(now, &split);
        self.named_at = now;
        let roster = MembershipView::new(self.version(), peers, split).with_leaving(leaving);
        let note = match known.filter(|(v, d)| *v < roster.version() && *d == roster.digest()) {
            _ if !first => PeerMessage::ViewChange(roster.shift(self.ranks.owners().view())),
            Some((from, _)) => PeerMessage::ViewChange(ViewChange {
                version: roster.version(),
                from,
                ..ViewChange::default()
            }),
            None => roster.note(),
        };
        tell(&roster, &note);
        // Of others whoever stands for them was told.
        let inherited = std::mem::take(&mut self.inherited);
        inherited.iter().for_each(|(service, zone)| self.ranks.track(service, zone));
        let (mut stand, turned) = self.ranks.update(Owners::from(roster));
        for (service, zone) in &inherited {
            stand.extend(self.ranks.owner_and_deputy(service, zone).cloned());
        }
        Some((note, self.shared_out(if first { None } else { Some((stand, turned)) })))
    }

    /// The instances of each stall that stands for other functions than before, all of them. `turned`: functions of which it is not known
    /// who stood for them. Without that, of each stall.
    fn shared_out(&mut self, turn: Option<(BTreeSet<CompactString>, BTreeSet<CompactString>)>) -> Told {
        let mut all: BTreeMap<CompactString, Vec<Instance>> = BTreeMap::new();
        let named = self.ranks.owners();
        match turn {
            None => all.extend(named.peers().iter().map(|p| (p.name.clone(), Vec::new()))),
            Some((mut stand, turned)) => {
                for instance in self.scaler.visible_instances().filter(|i| turned.contains(&i.service)) {
                    stand.extend(self.ranks.owner_and_deputy(&instance.service, &instance.zone).cloned());
                }
                let named = self.ranks.owners();
                all.extend(stand.into_iter().filter(|n| named.find(n).is_some()).map(|n| (n, Vec::new())));
            }
        }
        if !all.is_empty() {
            for instance in self.scaler.visible_instances() {
                for name in self.ranks.owner_and_deputy(&instance.service, &instance.zone) {
                    if let Some(set) = all.get_mut(name) {
                        set.push(told(instance));
                    }
                }
            }
        }
        let version = (self.fence, self.count);
        let note = |set| vec![PeerMessage::Instances { version, all: true, set, gone: Vec::new() }];
        all.into_iter().map(|(name, set)| (name, note(set))).collect()
    }

    /// The naming in force: fence and count.
    pub fn view(&self) -> Version {
        self.ranks.owners().version()
    }

    /// All of the naming, where there is one.
    fn stalls_note(&self) -> Option<PeerMessage> {
        self.has_named().then(|| self.ranks.owners().view().note())
    }

    /// The stall that owns a function, or its lot in a zone.
    pub fn owner(&self, function: &str, zone: &str) -> Option<&str> {
        self.ranks.owners().owner(function, zone, |_| true).map(|peer| peer.name.as_str())
    }

    /// What the porter of this stall gets first: the stalls, and the instances of the functions that the stall owns or owns next.
    pub fn snapshot(&mut self, name: &str) -> Vec<PeerMessage> {
        let mut notes: Vec<_> = self.stalls_note().into_iter().collect();
        let mut set = Vec::new();
        // Who is not named stands for nothing.
        if self.ranks.owners().find(name).is_some() {
            for instance in self.scaler.visible_instances() {
                if self.ranks.owner_and_deputy(&instance.service, &instance.zone).any(|n| n == name) {
                    set.push(told(instance));
                }
            }
        }
        notes.push(PeerMessage::Instances {
            version: (self.fence, self.count),
            all: true,
            set,
            gone: Vec::new(),
        });
        notes
    }

    /// What the scaler decided: notes for the feed, and calls to the platform.
    pub fn take(&mut self) -> (Told, Vec<Effect>) {
        let mut changes: BTreeMap<CompactString, Changed> = BTreeMap::new();
        let mut calls = Vec::new();
        let effects = self.scaler.take();
        let ranks = &mut self.ranks;
        let mut to = |service: &CompactString, zone: &CompactString, change: &dyn Fn(&mut Changed)| {
            for name in ranks.owner_and_deputy(service, zone) {
                change(changes.entry(name.clone()).or_default());
            }
        };
        for effect in effects {
            match effect {
                Effect::Updated { instance } => {
                    to(&instance.service, &instance.zone, &|(set, _)| set.push(told(&instance)));
                }
                Effect::Removed { id, service, zone } => to(&service, &zone, &|(set, gone)| {
                    set.retain(|i| i.id != id);
                    gone.push(id.clone());
                }),
                call => calls.push(call),
            }
        }
        let behind = std::mem::take(&mut self.behind);
        let whole = if behind.is_empty() { None } else { self.stalls_note() };
        let mut told: Told =
            behind.into_iter().zip(whole.into_iter().cycle()).map(|(n, w)| (n, vec![w])).collect();
        if changes.is_empty() {
            return (told, calls);
        }
        let version = self.version();
        for (name, (set, gone)) in changes {
            told.entry(name).or_default().push(PeerMessage::Instances { version, all: false, set, gone });
        }
        (told, calls)
    }
}
