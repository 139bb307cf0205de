//! The duties of the leader, without I/O: tracking which proxies are alive, assigning functions to them, and
//! running the scaler. A [`Leader`] exists only while the lease is held.

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
/// The first membership view waits until no new proxy was heard for [`FIRST_VIEW_QUIET`], but at most
/// [`FIRST_VIEW_MAX_WAIT`] in all.
const FIRST_VIEW_QUIET: Nanos = 120 * MS;
const FIRST_VIEW_MAX_WAIT: Nanos = 600 * MS;
/// Shorter limit of that wait if all controllers have just started and no proxy reports a view: no proxy owns
/// functions then, and no requests are served.
const FIRST_VIEW_RESTART_WAIT: Nanos = 200 * MS;
/// Minimum time between two views. A view goes to all proxies, so changes within this time are combined.
const VIEW_INTERVAL: Nanos = 250 * MS;
/// A new leader publishes every change immediately for this long, because proxies have no other source of
/// views.
const NEW_LEADER_PERIOD: Nanos = 800 * MS;
/// With more proxies than this, changes within a short time are combined even in that period, and liveness is
/// checked less often.
const LARGE_FLEET: usize = 128;
const LARGE_FLEET_VIEW_INTERVAL: Nanos = 100 * MS;
const LARGE_FLEET_CHECK_INTERVAL: Nanos = 10 * MS;
/// A proxy that received a view and still reports an older one after this time is sent the whole view.
const VIEW_RESEND_DELAY: Nanos = 1_500 * MS;
/// Minimum time between two such views: where many proxies are behind, the missing change may still be in
/// transit.
const VIEW_RESEND_SPACING: Nanos = 50 * MS;
/// A proxy that was silent for this long counts as failed.
const PROXY_TIMEOUT: Nanos = 1_500 * MS;
/// Shorter limit for a proxy that others report as unreachable.
const UNREACHABLE_TIMEOUT: Nanos = 650 * MS;
/// This many other proxies must report it within [`UNREACHABLE_REPORT_TTL`].
const UNREACHABLE_WITNESSES: usize = 2;
const UNREACHABLE_REPORT_TTL: Nanos = 1_000 * MS;
/// Time that a disconnected agent has to reconnect before its proxy is excluded.
const AGENT_TIMEOUT: Nanos = 250 * MS;
/// A function with at least this share of its owner's capacity gets an owner in each zone.
const SPLIT_THRESHOLD: f64 = 0.25;
/// A split function is merged after all of its owners together used less than this share of one proxy's
/// capacity for [`MERGE_DELAY`].
const MERGE_THRESHOLD: f64 = 0.08;
const MERGE_DELAY: Nanos = 10_000 * MS;
/// A function is also merged if a zone had no room for its instances for this long, since a single owner may
/// start them in any zone.
const STARVATION_TIMEOUT: Nanos = 1_500 * MS;
/// Time that a function merged for lack of room stays merged.
const RESPLIT_DELAY: Nanos = 30_000 * MS;
/// A function with at least this share of a proxy's capacity stays split, or is split again after
/// [`HEAVY_RESPLIT_DELAY`], because it would overload a single owner.
const HEAVY_LOAD: f64 = 0.5;
const HEAVY_RESPLIT_DELAY: Nanos = 2_000 * MS;
/// A proxy that is heard again after it was excluded as unreachable is only slow, so reports about it are
/// ignored for this long.
const UNREACHABLE_HOLD_OFF: Nanos = 30_000 * MS;
/// Maximum number of inherited pairs of function and zone.
const MAX_INHERITED: usize = 100_000;
/// Maximum number of functions that are split at the same time.
const MAX_SPLIT: usize = 500;

struct ProxyStatus {
    peer: Peer,
    last_heard: Nanos,
    serving: bool,
    agent_lost_at: Option<Nanos>,
    /// Proxies that report this one as unreachable, with the time of their last report.
    unreachable_from: BTreeMap<CompactString, Nanos>,
    /// Not in the view, because other proxies report it as unreachable.
    excluded: bool,
    /// Reports of other proxies are ignored until then.
    ignore_reports_until: Nanos,
    /// The version and digest of the view that it last reported.
    known_view: Option<(Version, u64)>,
    /// Since when it reports an outdated view, or when it was last sent the whole view because of that.
    outdated_since: Option<Nanos>,
}

/// The leader's state.
pub struct Leader {
    /// The fence under which it leads.
    pub fence: u64,
    /// The autoscaler.
    pub scaler: Scaler,
    /// Schedules the reads of the platform's lists.
    pub pace: PollSchedule,
    started_at: Nanos,
    /// When a proxy was last heard for the first time.
    last_new_proxy: Nanos,
    view_count: u64,
    proxies: BTreeMap<CompactString, ProxyStatus>,
    view_sent_at: Nanos,
    /// The owners of functions by the current view; its version is 0 before the first view.
    ranking: OwnerRanking,
    /// A view that all proxies have had the time to receive; then the view that follows it as `settled`, and
    /// since when it is the candidate.
    settled: Version,
    settling: (Nanos, Version),
    /// Proxies to which the whole view must be sent, and when that was last done.
    outdated: BTreeSet<CompactString>,
    resent_at: Nanos,
    /// Functions and zones of instances reported by owners; the next view passes these instances to the
    /// second in the ranking.
    inherited: BTreeSet<(CompactString, CompactString)>,
    checked_at: Nanos,
    split: BTreeSet<CompactString>,
    /// The view that `split` was taken from, before the first own view.
    split_version: Version,
    loads: BTreeMap<CompactString, FunctionLoad>,
    /// Average boot time in milliseconds, by service.
    boot_times: BTreeMap<CompactString, u32>,
    specs: Vec<ServiceSpec>,
    /// This process has started so recently that all controllers may have restarted.
    pub control_restarted: bool,
    /// Proxies drained by operators; they are not in the view.
    pub drained: BTreeSet<CompactString>,
    min_instances: MinInstances,
}

/// The share of its owners' capacity that a function uses.
#[derive(Default)]
struct FunctionLoad {
    /// By zone, if each zone has an owner.
    by_zone: BTreeMap<CompactString, f64>,
    /// Since when the load is below [`MERGE_THRESHOLD`].
    low_since: Option<Nanos>,
    /// The function is not split before this time.
    merged_until: Nanos,
}

/// New or changed instances, and removed ones.
type Changed = (Vec<Instance>, Vec<CompactString>);
/// Messages for individual proxies, by their names.
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

fn boot_times(specs: &[ServiceSpec]) -> BTreeMap<CompactString, u32> {
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

/// Logs a new view.
fn log_view(roster: &MembershipView, message: &PeerMessage) {
    let names = |of: &mut dyn Iterator<Item = &CompactString>| {
        of.map(CompactString::as_str).collect::<Vec<_>>().join(" ")
    };
    let large = roster.peers().len() > LARGE_FLEET;
    match message {
        PeerMessage::ViewChange(shift) if large => {
            let added = names(&mut shift.came.iter().map(|p| &p.name));
            log::info!(
                "proxies: {} alive; added: {added}; removed: {}",
                roster.peers().len(),
                names(&mut shift.left.iter())
            );
        }
        _ if large => log::info!("proxies: {} alive", roster.peers().len()),
        _ => log::info!("proxies: {}", names(&mut roster.peers().iter().map(|p| &p.name))),
    }
    if !roster.leaving().is_empty() {
        log::info!("leaving proxies: {}", names(&mut roster.leaving().iter().map(|p| &p.name)));
    }
    let split = match message {
        PeerMessage::ViewChange(shift) => !shift.split.is_empty() || !shift.joined.is_empty(),
        _ => true,
    };
    if split {
        log::info!("functions with an owner in each zone: {}", names(&mut roster.split().iter()));
    }
}

impl Leader {
    /// Creates the leader of this fence. The scaler's inputs are also recorded to `sink`.
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
            boot_times: boot_times(&specs),
            specs,
            control_restarted: false,
            drained: BTreeSet::new(),
            min_instances: MinInstances::default(),
        }
    }

    /// Applies a new configuration. Most changes leave the services as they are.
    pub fn configure(&mut self, now: Nanos, config: &Config) {
        let specs = specs(config);
        if self.specs == specs {
            return;
        }
        self.boot_times = boot_times(&specs);
        self.scaler.configure(now, specs.iter().cloned());
        self.specs = specs;
        let boot_times = &self.boot_times;
        // A removed service stays known as long as it has instances.
        let shown: BTreeSet<_> = self.scaler.visible_instances().map(|i| i.service.as_str()).collect();
        self.ranking.retain(|service| boot_times.contains_key(service) || shown.contains(service));
    }

    /// Returns whether a view was published.
    fn has_view(&self) -> bool {
        self.ranking.owners().version() > (0, 0)
    }

    fn version(&mut self) -> Version {
        self.view_count += 1;
        (self.fence, self.view_count)
    }

    /// Handles a message of a proxy or its agent.
    pub fn on_message(&mut self, now: Nanos, message: &PeerMessage) {
        match message {
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

    /// Records that a proxy reports this version of the view, and returns since when the proxy reports
    /// outdated versions.
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

    /// Handles an owner's report of the load of a function, and splits the function if that is too high.
    fn update_load(&mut self, now: Nanos, service: &CompactString, zone: Option<&CompactString>, load: f64) {
        // An owner with another view of the split reports for a different set of requests.
        if !self.has_view() || self.split.contains(service) != zone.is_some() {
            return;
        }
        let Some(zone) = zone else {
            let may_split = |s: &FunctionLoad| {
                s.merged_until <= now
                    || load >= HEAVY_LOAD && s.merged_until <= now + RESPLIT_DELAY - HEAVY_RESPLIT_DELAY
            };
            if load >= SPLIT_THRESHOLD
                && self.boot_times.contains_key(service)
                && self.split.len() < MAX_SPLIT
                && self.loads.get(service).is_none_or(may_split)
            {
                self.loads.insert(service.clone(), FunctionLoad::default());
                self.split.insert(service.clone());
            }
            return;
        };
        let known = self.loads.entry(service.clone()).or_default();
        if known.by_zone.len() < 64 {
            known.by_zone.insert(zone.clone(), load);
        }
        if known.by_zone.values().sum::<f64>() >= MERGE_THRESHOLD {
            known.low_since = None;
        } else {
            known.low_since.get_or_insert(now);
        }
    }

    /// Merges split functions that have little load, were removed, or whose zones lack room.
    fn merge_functions(&mut self, now: Nanos) {
        let starved: BTreeSet<_> = self.scaler.starved(now, STARVATION_TIMEOUT).cloned().collect();
        let (loads, boot_times) = (&mut self.loads, &self.boot_times);
        self.split.retain(|service| {
            let known = loads.entry(service.clone()).or_default();
            let starving = starved.contains(service) && known.by_zone.values().sum::<f64>() < HEAVY_LOAD;
            if starving {
                known.merged_until = now + RESPLIT_DELAY;
            }
            let idle = known.low_since.is_some_and(|since| since + MERGE_DELAY <= now);
            !starving && !idle && boot_times.contains_key(service)
        });
        let split = &self.split;
        loads.retain(|service, s| split.contains(service) || s.merged_until > now);
    }

    /// Converts an instance reported by an owner; returns `None` if it is invalid.
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
            boot_ms: *self.boot_times.get(&of.service)?,
            since: now,
        })
    }

    /// Checks which proxies have a connected agent, and updates the view as [`Leader::update_view`] does.
    pub fn check_proxies(
        &mut self,
        now: Nanos,
        is_connected: impl Fn(&str) -> bool,
    ) -> Option<(PeerMessage, ProxyMessages)> {
        if self.proxies.len() > LARGE_FLEET && now < self.checked_at + LARGE_FLEET_CHECK_INTERVAL {
            return None;
        }
        self.checked_at = now;
        for (name, proxy) in &mut self.proxies {
            if is_connected(name) {
                proxy.agent_lost_at = None;
            } else {
                proxy.agent_lost_at.get_or_insert(now);
            }
        }
        self.update_view(now)
    }

    /// Returns when the first view is due, unless another new proxy is heard. A view that lacks proxies which
    /// still own functions makes them give up what they hold; where no proxy can own any, waiting only
    /// leaves requests unserved.
    fn first_view_due(&self) -> Nanos {
        let nobody_owns = self.control_restarted && self.split_version == (0, 0);
        let max_wait = if nobody_owns { FIRST_VIEW_RESTART_WAIT } else { FIRST_VIEW_MAX_WAIT };
        (self.last_new_proxy + FIRST_VIEW_QUIET).min(self.started_at + max_wait)
    }

    /// Publishes a new view if the proxies or the split functions have changed. Returns the view for all
    /// proxies, and the instances of the functions that individual proxies newly own or back up.
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
            let unreachable =
                proxy.unreachable_from.values().filter(|at| **at + UNREACHABLE_REPORT_TTL > now).count()
                    >= UNREACHABLE_WITNESSES;
            proxy.excluded |= unreachable
                && now >= proxy.ignore_reports_until
                && proxy.last_heard + UNREACHABLE_TIMEOUT <= now;
        }
        let drained = self.drained.clone();
        let is_alive = |s: &&ProxyStatus| {
            let agent_lost = s.agent_lost_at.is_some_and(|since| since + AGENT_TIMEOUT <= now);
            !s.excluded && s.last_heard + PROXY_TIMEOUT > now && !agent_lost
        };
        let may_own = |s: &&ProxyStatus| s.serving && !drained.contains(&s.peer.name);
        let eligible = |s: &&ProxyStatus| is_alive(s) && may_own(s);
        if !first {
            self.merge_functions(now);
        }
        let before = self.ranking.owners().view();
        let members = || self.proxies.values().filter(eligible).map(|s| &s.peer);
        let leaving = || self.proxies.values().filter(|s| is_alive(s) && !may_own(s)).map(|s| &s.peer);
        // With a single zone there is nothing to split.
        let one = members().next()?;
        let split = if members().any(|p| p.zone != one.zone) { self.split.clone() } else { BTreeSet::new() };
        let same = *before.split() == split && members().eq(before.peers());
        if !first && same && leaving().eq(before.leaving()) {
            return None;
        }
        let peers = members().cloned().collect();
        let leaving = leaving().cloned().collect();
        // If the proxies report a view of the previous leader with the same content, only its version
        // changes; otherwise the whole view is sent.
        let known = self.proxies.values().filter(eligible).filter_map(|s| s.known_view).max();
        self.scaler.set_split(now, &split);
        self.view_sent_at = now;
        let roster = MembershipView::new(self.version(), peers, split).with_leaving(leaving);
        let message = match known.filter(|(v, d)| *v < roster.version() && *d == roster.digest()) {
            _ if !first => PeerMessage::ViewChange(roster.change_from(self.ranking.owners().view())),
            Some((from, _)) => PeerMessage::ViewChange(ViewChange {
                version: roster.version(),
                from,
                ..ViewChange::default()
            }),
            None => roster.to_message(),
        };
        log_view(&roster, &message);
        // Instances of other functions were sent to the proxies in their ranking before.
        let inherited = std::mem::take(&mut self.inherited);
        inherited.iter().for_each(|(service, zone)| self.ranking.track(service, zone));
        let (mut recipients, unknown) = self.ranking.update(Owners::from(roster));
        for (service, zone) in &inherited {
            recipients.extend(self.ranking.owner_and_deputy(service, zone).cloned());
        }
        Some((message, self.instance_messages(if first { None } else { Some((recipients, unknown)) })))
    }

    /// Returns all instances of each proxy in `recipients`, whose ranking for functions has changed, and of the
    /// first two in the ranking of the functions in `unknown`, for which the previous ranking is unknown.
    /// Without `changes` returns those of every proxy.
    fn instance_messages(
        &mut self,
        changes: Option<(BTreeSet<CompactString>, BTreeSet<CompactString>)>,
    ) -> ProxyMessages {
        let mut all: BTreeMap<CompactString, Vec<Instance>> = BTreeMap::new();
        let owners = self.ranking.owners();
        match changes {
            None => all.extend(owners.peers().iter().map(|p| (p.name.clone(), Vec::new()))),
            Some((mut recipients, unknown)) => {
                for instance in self.scaler.visible_instances().filter(|i| unknown.contains(&i.service)) {
                    recipients
                        .extend(self.ranking.owner_and_deputy(&instance.service, &instance.zone).cloned());
                }
                let owners = self.ranking.owners();
                all.extend(
                    recipients.into_iter().filter(|n| owners.find(n).is_some()).map(|n| (n, Vec::new())),
                );
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
        let message = |set| vec![PeerMessage::Instances { version, all: true, set, gone: Vec::new() }];
        all.into_iter().map(|(name, set)| (name, message(set))).collect()
    }

    /// Returns the version of the current view: the fence and a count.
    pub fn view_version(&self) -> Version {
        self.ranking.owners().version()
    }

    /// Returns a message with the whole view, if there is one.
    fn view_message(&self) -> Option<PeerMessage> {
        self.has_view().then(|| self.ranking.owners().view().to_message())
    }

    /// Returns the proxy that owns a function, or the owner in a zone if the function is split.
    pub fn owner(&self, function: &str, zone: &str) -> Option<&str> {
        self.ranking.owners().owner(function, zone, |_| true).map(|peer| peer.name.as_str())
    }

    /// Returns the first messages for a proxy's agent: the view, and the instances of the functions for which
    /// the proxy is first or second in the ranking.
    pub fn snapshot(&mut self, name: &str) -> Vec<PeerMessage> {
        let mut messages: Vec<_> = self.view_message().into_iter().collect();
        let mut set = Vec::new();
        // A proxy that is not in the view is in no ranking.
        if self.ranking.owners().find(name).is_some() {
            for instance in self.scaler.visible_instances() {
                if self.ranking.owner_and_deputy(&instance.service, &instance.zone).any(|n| n == name) {
                    set.push(instance_message(instance));
                }
            }
        }
        messages.push(PeerMessage::Instances {
            version: (self.fence, self.view_count),
            all: true,
            set,
            gone: Vec::new(),
        });
        messages
    }

    /// Returns the effects of the scaler: messages for proxies, and calls to the platform.
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
        let mut messages: ProxyMessages =
            outdated.into_iter().zip(whole.into_iter().cycle()).map(|(n, w)| (n, vec![w])).collect();
        if changes.is_empty() {
            return (messages, calls);
        }
        let version = self.version();
        for (name, (set, gone)) in changes {
            messages.entry(name).or_default().push(PeerMessage::Instances { version, all: false, set, gone });
        }
        (messages, calls)
    }
}
