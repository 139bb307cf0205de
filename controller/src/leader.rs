//! The leader's duties, without I/O: which stalls are alive, and the scaler. It exists only while the lease is held.

mod min_instances;
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

pub use min_instances::FunctionHealth;
use min_instances::MinInstances;

const MS: Nanos = 1_000_000;
/// The first naming of stalls waits until nobody new was heard for so long, and no longer than this in all.
const FIRST_VIEW_QUIET: Nanos = 120 * MS;
const FIRST_VIEW_MAX_WAIT: Nanos = 600 * MS;
/// ... nor than this where control has just started and no proxy goes by a naming: then nobody owns anything, and nothing is served.
const FIRST_VIEW_RESTART_WAIT: Nanos = 200 * MS;
/// Between two namings: what changes together is named together, since each goes to all.
const VIEW_INTERVAL: Nanos = 250 * MS;
/// A leader that has just taken office names whom it hears of at once, since they have nobody else.
const NEW_LEADER_PERIOD: Nanos = 800 * MS;
/// Where there are more stalls than this, those that come within a short span are named together also then, and who is alive is checked_at
/// at no more often than needed.
const LARGE_FLEET: usize = 128;
const LARGE_FLEET_VIEW_INTERVAL: Nanos = 100 * MS;
const LARGE_FLEET_CHECK_INTERVAL: Nanos = 10 * MS;
/// A proxy that is told of a naming and still goes by an older one after so long is told all of it.
const VIEW_RESEND_DELAY: Nanos = 1_500 * MS;
/// ... but one at a time: where many are behind, it may be for what is sent already.
const VIEW_RESEND_SPACING: Nanos = 50 * MS;
/// A proxy that nothing was heard of for so long is gone.
const PROXY_TIMEOUT: Nanos = 1_500 * MS;
/// ... and after so long one that others say does not answer them.
const UNREACHABLE_TIMEOUT: Nanos = 650 * MS;
/// So many others have to say so, within this time.
const UNREACHABLE_WITNESSES: usize = 2;
const UNREACHABLE_REPORT_TTL: Nanos = 1_000 * MS;
/// One whose porter is gone has this long to come back.
const AGENT_TIMEOUT: Nanos = 250 * MS;
/// A function that takes this part of its owner's strength gets an owner in each zone,
const SPLIT_THRESHOLD: f64 = 0.25;
/// ... until for so long all of them together spend less than this part of one proxy's.
const MERGE_THRESHOLD: f64 = 0.08;
const MERGE_DELAY: Nanos = 10_000 * MS;
/// Zones whose workers have no room for so long are too few: one owner starts wherever there is room.
const STARVATION_TIMEOUT: Nanos = 1_500 * MS;
/// After that it is not split again for so long,
const RESPLIT_DELAY: Nanos = 30_000 * MS;
/// ... but it may_own split, or is split again after this, where it takes this part of a proxy's strength: one owner alone would sink.
const HEAVY_LOAD: f64 = 0.5;
const HEAVY_RESPLIT_DELAY: Nanos = 2_000 * MS;
/// A proxy that was named no more since others called it deaf, and was heard of again, is slow: for so long that does not count.
const UNREACHABLE_HOLD_OFF: Nanos = 30_000 * MS;
/// Functions and zones of instances that owners told of.
const MAX_INHERITED: usize = 100_000;
/// Functions that are split at once.
const MAX_SPLIT: usize = 500;

struct ProxyStatus {
    peer: Peer,
    last_heard: Nanos,
    serving: bool,
    agent_lost_at: Option<Nanos>,
    /// Whom it does not answer, and when they said so.
    unreachable_from: BTreeMap<CompactString, Nanos>,
    /// It is not named, since others call it deaf.
    excluded: bool,
    /// What others say counts from then on.
    ignore_reports_until: Nanos,
    /// The naming that it goes by, and the digest of that.
    known_view: Option<(Version, u64)>,
    /// Since when it goes by one that is long past, or since it was told all of the newest for that.
    outdated_since: Option<Nanos>,
}

/// The duties.
pub struct Leader {
    /// Its fence.
    pub fence: u64,
    /// The scaler.
    pub scaler: Scaler,
    /// When the platform is asked.
    pub pace: PollSchedule,
    started_at: Nanos,
    /// When a proxy was heard for the first time.
    last_new_proxy: Nanos,
    view_count: u64,
    proxies: BTreeMap<CompactString, ProxyStatus>,
    view_sent_at: Nanos,
    /// Who is named; under version 0 while nobody was.
    ranking: OwnerRanking,
    /// A naming that all have had the time to hear of; and since when the one that is that next has stood.
    settled: Version,
    settling: (Nanos, Version),
    /// Stalls that are to be told all of it, and when one was last.
    outdated: BTreeSet<CompactString>,
    resent_at: Nanos,
    /// Instances that owners told of, and that those who are next for them hear of with the next naming.
    inherited: BTreeSet<(CompactString, CompactString)>,
    checked_at: Nanos,
    split: BTreeSet<CompactString>,
    /// The naming that those come from, while nothing was named here.
    split_version: Version,
    loads: BTreeMap<CompactString, FunctionLoad>,
    /// The average time of a start, by service.
    boots: BTreeMap<CompactString, u32>,
    specs: Vec<ServiceSpec>,
    /// The process of this control machine has started so lately that all of control may have.
    pub control_restarted: bool,
    /// Stalls that operators have taken out: they are not named.
    pub drained: BTreeSet<CompactString>,
    min_instances: MinInstances,
}

/// What a function takes of its owners' strength.
#[derive(Default)]
struct FunctionLoad {
    /// By zone, where each has an owner.
    by_zone: BTreeMap<CompactString, f64>,
    /// It has been low_since since then.
    low_since: Option<Nanos>,
    /// It may_own with one owner until then.
    merged_until: Nanos,
}

/// Instances that are new or changed, and those that are gone.
type Changed = (Vec<Instance>, Vec<CompactString>);
/// Notes for each of those that are to hear something.
pub type ProxyMessages = BTreeMap<CompactString, Vec<PeerMessage>>;

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

fn instance_message(known: &Known) -> Instance {
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
fn log_view(roster: &MembershipView, note: &PeerMessage) {
    let names = |of: &mut dyn Iterator<Item = &CompactString>| {
        of.map(CompactString::as_str).collect::<Vec<_>>().join(" ")
    };
    let many = roster.peers().len() > LARGE_FLEET;
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
            started_at: now,
            last_new_proxy: now,
            view_count: 0,
            proxies: BTreeMap::new(),
            view_sent_at: 0,
            ranking: OwnerRanking::default(),
            settled: (0, 0),
            settling: (0, (0, 0)),
            outdated: BTreeSet::new(),
            resent_at: 0,
            inherited: BTreeSet::new(),
            checked_at: 0,
            split: BTreeSet::new(),
            split_version: (0, 0),
            loads: BTreeMap::new(),
            boots: boots(&specs),
            specs,
            control_restarted: false,
            drained: BTreeSet::new(),
            min_instances: MinInstances::default(),
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
        self.ranking.retain(|service| boots.contains_key(service) || shown.contains(service));
    }

    /// Somebody was named.
    fn has_view(&self) -> bool {
        self.ranking.owners().version() > (0, 0)
    }

    fn version(&mut self) -> Version {
        self.view_count += 1;
        (self.fence, self.view_count)
    }

    /// A word of a proxy, or of its porter.
    pub fn on_message(&mut self, now: Nanos, note: &PeerMessage) {
        match note {
            PeerMessage::Heartbeat { peer, serving, split, digest } if self.proxies.len() < 5_000 => {
                if let Some((version, all)) = split
                    && !self.has_view()
                    && *version > self.split_version
                {
                    self.split_version = *version;
                    self.split = all.iter().take(MAX_SPLIT).cloned().collect();
                }
                let version = split.as_ref().map(|(version, _)| *version);
                let outdated_since = self.check_view_version(now, &peer.name, version.unwrap_or_default());
                let ignore_reports_until = self.proxies.get(&peer.name).map_or(0, |s| {
                    if s.excluded { now + UNREACHABLE_HOLD_OFF } else { s.ignore_reports_until }
                });
                let proxy = ProxyStatus {
                    peer: peer.clone(),
                    last_heard: now,
                    serving: *serving,
                    agent_lost_at: None,
                    unreachable_from: BTreeMap::new(),
                    excluded: false,
                    ignore_reports_until,
                    known_view: version.zip(*digest),
                    outdated_since,
                };
                if self.proxies.insert(peer.name.clone(), proxy).is_none() {
                    self.last_new_proxy = now;
                }
            }
            PeerMessage::PeerUnreachable { peer, from } if self.proxies.contains_key(from) => {
                if let Some(proxy) = self.proxies.get_mut(peer) {
                    proxy.unreachable_from.insert(from.clone(), now);
                }
            }
            PeerMessage::DesiredInstances { service, count, zones, lot, strain, does, slow } => {
                if let Some(does) = does {
                    self.min_instances.record_status(now, service, lot.as_ref(), *does);
                }
                self.update_load(now, service, lot.as_ref(), *strain);
                self.scaler.set_target(now, service, lot.as_ref(), *count, zones);
                self.scaler.set_slow_workers(now, service, lot.as_ref(), slow);
            }
            PeerMessage::OwnedInstances { set } => {
                let known: Vec<_> = set.iter().filter_map(|i| self.parse_instance(now, i)).collect();
                if self.inherited.len() < MAX_INHERITED {
                    self.inherited.extend(known.iter().map(|i| (i.service.clone(), i.zone.clone())));
                }
                self.scaler.inherit(now, known);
            }
            PeerMessage::RetireInstance { instance } => self.scaler.retire(now, instance),
            PeerMessage::InstanceDown { instance } => self.scaler.mark_unreachable(now, instance),
            PeerMessage::InstanceUp { instance } => self.scaler.mark_up(now, instance),
            _ => {}
        }
    }

    /// A proxy goes by this naming: since when it goes by one that is long past.
    fn check_view_version(&mut self, now: Nanos, name: &CompactString, version: Version) -> Option<Nanos> {
        if now >= self.settling.0 + VIEW_RESEND_DELAY {
            self.settled = self.settling.1;
            self.settling = (now, self.ranking.owners().version());
        }
        if version >= self.settled {
            return None;
        }
        let since = self.proxies.get(name).and_then(|s| s.outdated_since).unwrap_or(now);
        if now < since + VIEW_RESEND_DELAY || now < self.resent_at + VIEW_RESEND_SPACING {
            return Some(since);
        }
        self.resent_at = now;
        self.outdated.insert(name.clone());
        Some(now)
    }

    /// An owner says what a function takes of its strength.
    fn update_load(&mut self, now: Nanos, service: &CompactString, lot: Option<&CompactString>, strain: f64) {
        // One who does not know yet who owns what.
        if !self.has_view() || self.split.contains(service) != lot.is_some() {
            return;
        }
        let Some(lot) = lot else {
            let may = |s: &FunctionLoad| {
                s.merged_until <= now
                    || strain >= HEAVY_LOAD && s.merged_until <= now + RESPLIT_DELAY - HEAVY_RESPLIT_DELAY
            };
            if strain >= SPLIT_THRESHOLD
                && self.boots.contains_key(service)
                && self.split.len() < MAX_SPLIT
                && self.loads.get(service).is_none_or(may)
            {
                self.loads.insert(service.clone(), FunctionLoad::default());
                self.split.insert(service.clone());
            }
            return;
        };
        let known = self.loads.entry(service.clone()).or_default();
        if known.by_zone.len() < 64 {
            known.by_zone.insert(lot.clone(), strain);
        }
        if known.by_zone.values().sum::<f64>() >= MERGE_THRESHOLD {
            known.low_since = None;
        } else {
            known.low_since.get_or_insert(now);
        }
    }

    /// Functions that go back to one owner: they are low_since used, gone, or zones have no room for what they want.
    fn merge_functions(&mut self, now: Nanos) {
        let starved: BTreeSet<_> = self.scaler.starved(now, STARVATION_TIMEOUT).cloned().collect();
        let (loads, boots) = (&mut self.loads, &self.boots);
        self.split.retain(|service| {
            let known = loads.entry(service.clone()).or_default();
            let starving = starved.contains(service) && known.by_zone.values().sum::<f64>() < HEAVY_LOAD;
            if starving {
                known.merged_until = now + RESPLIT_DELAY;
            }
            let low_since = known.low_since.is_some_and(|since| since + MERGE_DELAY <= now);
            !starving && !low_since && boots.contains_key(service)
        });
        let split = &self.split;
        loads.retain(|service, s| split.contains(service) || s.merged_until > now);
    }

    /// An instance that an owner tells of; none where it can't be one.
    fn parse_instance(&self, now: Nanos, of: &Instance) -> Option<Known> {
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

    /// Which stalls' porters are connected, and whoever is to be named by that: as [`Leader::update_view`].
    pub fn check_proxies(
        &mut self,
        now: Nanos,
        has: impl Fn(&str) -> bool,
    ) -> Option<(PeerMessage, ProxyMessages)> {
        if self.proxies.len() > LARGE_FLEET && now < self.checked_at + LARGE_FLEET_CHECK_INTERVAL {
            return None;
        }
        self.checked_at = now;
        for (name, proxy) in &mut self.proxies {
            if has(name) {
                proxy.agent_lost_at = None;
            } else {
                proxy.agent_lost_at.get_or_insert(now);
            }
        }
        self.update_view(now)
    }

    /// When the first naming is due, unless somebody new is heard before. One that goes without stalls which still own functions makes
    /// them give up what they hold; where none can own any, waiting only leaves requests unserved.
    fn first_view_due(&self) -> Nanos {
        let nobody_owns = self.control_restarted && self.split_version == (0, 0);
        let heard_all = if nobody_owns { FIRST_VIEW_RESTART_WAIT } else { FIRST_VIEW_MAX_WAIT };
        (self.last_new_proxy + FIRST_VIEW_QUIET).min(self.started_at + heard_all)
    }

    /// The stalls and the functions that are split, where they have changed, for all; and for each whose functions have changed with
    /// that the instances of those that are now its own.
    pub fn update_view(&mut self, now: Nanos) -> Option<(PeerMessage, ProxyMessages)> {
        self.proxies.retain(|_, s| s.last_heard + 10 * PROXY_TIMEOUT > now);
        let gap = match now < self.started_at + NEW_LEADER_PERIOD {
            true if self.proxies.len() > LARGE_FLEET => LARGE_FLEET_VIEW_INTERVAL,
            true => 0,
            false => VIEW_INTERVAL,
        };
        let first = !self.has_view();
        if first && now < self.first_view_due() || !first && now < self.view_sent_at + gap {
            return None;
        }
        for proxy in self.proxies.values_mut() {
            let deaf =
                proxy.unreachable_from.values().filter(|at| **at + UNREACHABLE_REPORT_TTL > now).count()
                    >= UNREACHABLE_WITNESSES;
            proxy.excluded |=
                deaf && now >= proxy.ignore_reports_until && proxy.last_heard + UNREACHABLE_TIMEOUT <= now;
        }
        let drained = self.drained.clone();
        let is_alive = |s: &&ProxyStatus| {
            let agent_lost_at = s.agent_lost_at.is_some_and(|since| since + AGENT_TIMEOUT <= now);
            !s.excluded && s.last_heard + PROXY_TIMEOUT > now && !agent_lost_at
        };
        let may_own = |s: &&ProxyStatus| s.serving && !drained.contains(&s.peer.name);
        let eligible = |s: &&ProxyStatus| is_alive(s) && may_own(s);
        if !first {
            self.merge_functions(now);
        }
        let before = self.ranking.owners().view();
        let members = || self.proxies.values().filter(eligible).map(|s| &s.peer);
        let leaving = || self.proxies.values().filter(|s| is_alive(s) && !may_own(s)).map(|s| &s.peer);
        // With one zone there is nothing to split by.
        let one = members().next()?;
        let split = if members().any(|p| p.zone != one.zone) { self.split.clone() } else { BTreeSet::new() };
        let same = *before.split() == split && members().eq(before.peers());
        if !first && same && leaving().eq(before.leaving()) {
            return None;
        }
        let peers = members().cloned().collect();
        let leaving = leaving().cloned().collect();
        // What the leader before has named may stand as it is; else all of it goes to those who know nothing yet, or something else.
        let known = self.proxies.values().filter(eligible).filter_map(|s| s.known_view).max();
        self.scaler.set_split(now, &split);
        self.view_sent_at = now;
        let roster = MembershipView::new(self.version(), peers, split).with_leaving(leaving);
        let note = match known.filter(|(v, d)| *v < roster.version() && *d == roster.digest()) {
            _ if !first => PeerMessage::ViewChange(roster.change_from(self.ranking.owners().view())),
            Some((from, _)) => PeerMessage::ViewChange(ViewChange {
                version: roster.version(),
                from,
                ..ViewChange::default()
            }),
            None => roster.to_message(),
        };
        log_view(&roster, &note);
        // Of others whoever stands for them was told.
        let inherited = std::mem::take(&mut self.inherited);
        inherited.iter().for_each(|(service, zone)| self.ranking.track(service, zone));
        let (mut stand, turned) = self.ranking.update(Owners::from(roster));
        for (service, zone) in &inherited {
            stand.extend(self.ranking.owner_and_deputy(service, zone).cloned());
        }
        Some((note, self.instance_messages(if first { None } else { Some((stand, turned)) })))
    }

    /// The instances of each proxy that stands for other functions than before, all of them. `turned`: functions of which it is not known
    /// who stood for them. Without that, of each proxy.
    fn instance_messages(
        &mut self,
        turn: Option<(BTreeSet<CompactString>, BTreeSet<CompactString>)>,
    ) -> ProxyMessages {
        let mut all: BTreeMap<CompactString, Vec<Instance>> = BTreeMap::new();
        let named = self.ranking.owners();
        match turn {
            None => all.extend(named.peers().iter().map(|p| (p.name.clone(), Vec::new()))),
            Some((mut stand, turned)) => {
                for instance in self.scaler.visible_instances().filter(|i| turned.contains(&i.service)) {
                    stand.extend(self.ranking.owner_and_deputy(&instance.service, &instance.zone).cloned());
                }
                let named = self.ranking.owners();
                all.extend(stand.into_iter().filter(|n| named.find(n).is_some()).map(|n| (n, Vec::new())));
            }
        }
        if !all.is_empty() {
            for instance in self.scaler.visible_instances() {
                for name in self.ranking.owner_and_deputy(&instance.service, &instance.zone) {
                    if let Some(set) = all.get_mut(name) {
                        set.push(instance_message(instance));
                    }
                }
            }
        }
        let version = (self.fence, self.view_count);
        let note = |set| vec![PeerMessage::Instances { version, all: true, set, gone: Vec::new() }];
        all.into_iter().map(|(name, set)| (name, note(set))).collect()
    }

    /// The naming in force: fence and count.
    pub fn view_version(&self) -> Version {
        self.ranking.owners().version()
    }

    /// All of the naming, where there is one.
    fn view_message(&self) -> Option<PeerMessage> {
        self.has_view().then(|| self.ranking.owners().view().to_message())
    }

    /// The proxy that owns a function, or its lot in a zone.
    pub fn owner(&self, function: &str, zone: &str) -> Option<&str> {
        self.ranking.owners().owner(function, zone, |_| true).map(|peer| peer.name.as_str())
    }

    /// What the porter of this proxy gets first: the stalls, and the instances of the functions that the proxy owns or owns next.
    pub fn snapshot(&mut self, name: &str) -> Vec<PeerMessage> {
        let mut notes: Vec<_> = self.view_message().into_iter().collect();
        let mut set = Vec::new();
        // Who is not named stands for nothing.
        if self.ranking.owners().find(name).is_some() {
            for instance in self.scaler.visible_instances() {
                if self.ranking.owner_and_deputy(&instance.service, &instance.zone).any(|n| n == name) {
                    set.push(instance_message(instance));
                }
            }
        }
        notes.push(PeerMessage::Instances {
            version: (self.fence, self.view_count),
            all: true,
            set,
            gone: Vec::new(),
        });
        notes
    }

    /// What the scaler decided: notes for the feed, and calls to the platform.
    pub fn take_effects(&mut self) -> (ProxyMessages, Vec<Effect>) {
        let mut changes: BTreeMap<CompactString, Changed> = BTreeMap::new();
        let mut calls = Vec::new();
        let effects = self.scaler.take();
        let ranking = &mut self.ranking;
        let mut to = |service: &CompactString, zone: &CompactString, change: &dyn Fn(&mut Changed)| {
            for name in ranking.owner_and_deputy(service, zone) {
                change(changes.entry(name.clone()).or_default());
            }
        };
        for effect in effects {
            match effect {
                Effect::Updated { instance } => {
                    to(&instance.service, &instance.zone, &|(set, _)| set.push(instance_message(&instance)));
                }
                Effect::Removed { id, service, zone } => to(&service, &zone, &|(set, gone)| {
                    set.retain(|i| i.id != id);
                    gone.push(id.clone());
                }),
                call => calls.push(call),
            }
        }
        let outdated = std::mem::take(&mut self.outdated);
        let whole = if outdated.is_empty() { None } else { self.view_message() };
        let mut told: ProxyMessages =
            outdated.into_iter().zip(whole.into_iter().cycle()).map(|(n, w)| (n, vec![w])).collect();
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
