//! What a move would move, against what the target can bear; all reasons against it at once. Invariant: no move is kept or opened against
//! which one stands.

use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;
use millpost_config::routes::host_key;
use millpost_config::{Config, Route, Service};
use snafu::Snafu;

use crate::Nanos;
use crate::contract::{Bounds, Contract, MAX_LOADS, MAX_ROUTES};
use crate::guards::{Guard, is_disabled};
use crate::migrator::Settings;
use crate::observation::Observation;
use crate::record::{MAX_OPEN, Move, Record, RouteMove};
use crate::shift::{RouteLocation, locate_routes};

/// Room that is kept above what the source holds at its busiest.
const MARGIN: f64 = 1.25;
/// A start may take so much longer than it does on average.
const BOOT_MARGIN: f64 = 1.5;
/// Reasons of one kind that are told, and that are kept in all.
const MAX_REASONS: usize = 100;

/// Why a move is not kept, or does not begin.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[allow(missing_docs, reason = "the text of each says what its parts are")]
pub enum Reason {
    #[snafu(display("no configuration stands yet, or none is known here"))]
    NoConfig,
    #[snafu(display("a move of this name is there already, with another contract"))]
    NameTaken,
    #[snafu(display("{MAX_OPEN} moves are open; one has to end first"))]
    TooManyMoves,
    #[snafu(display("there is no move of this name"))]
    UnknownMove,
    #[snafu(display("the move has ended: {step}"))]
    AlreadyEnded { step: &'static str },
    #[snafu(display("the move turns back; it can be planned anew once it has"))]
    RollingBack,
    #[snafu(display("nothing goes any more that could be paused"))]
    NothingToPause,
    #[snafu(display("no route is named"))]
    NoRoutes,
    #[snafu(display("{count} routes; at most {MAX_ROUTES}"))]
    TooManyRoutes { count: usize },
    #[snafu(display("loads: {loads}; from 1 to {most}"))]
    InvalidLoads { loads: u32, most: u32 },
    #[snafu(display("host {host:?} has no route with a service that is left"))]
    UnknownHost { host: CompactString },
    #[snafu(display("there is no route {host:?} {prefix:?}"))]
    UnknownRoute { host: CompactString, prefix: CompactString },
    #[snafu(display("route {host:?} {prefix:?} has none of the services that are left"))]
    NoMappedService { host: CompactString, prefix: CompactString },
    #[snafu(display("route {host:?} {prefix:?} is held by move {by:?}"))]
    RouteHeld { host: CompactString, prefix: CompactString, by: CompactString },
    #[snafu(display("route {host:?} {prefix:?} has other services than when the move was planned"))]
    RouteChanged { host: CompactString, prefix: CompactString },
    #[snafu(display("there is no service {service:?}"))]
    UnknownService { service: CompactString },
    #[snafu(display("service {service:?} would be left and gone to"))]
    ChainedService { service: CompactString },
    #[snafu(display("service {to:?} has another protocol, or other TLS, than {from:?}"))]
    ProtocolMismatch { from: CompactString, to: CompactString },
    #[snafu(display(
        "service {service:?} accepts {max_conns} connections and is to hold {concurrency} requests"
    ))]
    TooFewConnections { service: CompactString, max_conns: u32, concurrency: u32 },
    #[snafu(display(
        "a start of {service:?} takes {boot_ms} ms, a route of it is held {deadline_ms} ms at most"
    ))]
    StartTooSlow { service: CompactString, boot_ms: u64, deadline_ms: u64 },
    #[snafu(display("nothing was heard lately of service {service:?}"))]
    NoFunctionReport { service: CompactString },
    #[snafu(display("the workers' room is not known yet"))]
    FreeMemoryUnknown,
    #[snafu(display(
        "workers have no room for {missing} of {wanted} instances of {service:?}, {memory_mb} MB each"
    ))]
    NotEnoughMemory { service: CompactString, wanted: u32, missing: u32, memory_mb: u64 },
    #[snafu(display("it would take {takes_ms} ms to warm the target; {warm_ms} ms are given"))]
    WarmingTooSlow { takes_ms: u64, warm_ms: u64 },
    #[snafu(display("instances that are to be started take {takes_mb} MB; {most_mb} MB are given"))]
    TooMuchMemory { takes_mb: u64, most_mb: u64 },
    #[snafu(display(
        "{needed} revisions above {above} are needed, from the operator's own range; given: {first} to {last}"
    ))]
    TooFewRevisions { needed: u64, above: u64, first: u64, last: u64 },
}

/// What a move takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Its routes.
    pub route_moves: Vec<RouteMove>,
    /// Which of the services named are left, and for which.
    pub services: Vec<(CompactString, CompactString)>,
    /// Instances that each target is to have.
    pub target_instances: Vec<(CompactString, u32)>,
    /// Instances that each source has now, and keeps for the way back.
    pub source_instances: Vec<(CompactString, u32)>,
    /// Starts.
    pub starts: u32,
    /// What those take.
    pub memory_mb: u64,
    /// The time in which the target is warm.
    pub warm_ms: u64,
    /// The longest that a request of its routes may be held.
    pub max_deadline_ms: u64,
    /// Revisions that the move needs: its loads, the way back, and one to spare.
    pub revisions_needed: u64,
    /// All that stands against it.
    pub reasons: Vec<Reason>,
}

impl Estimate {
    fn reject(&mut self, reason: Reason) {
        if self.reasons.len() < MAX_REASONS && !self.reasons.contains(&reason) {
            self.reasons.push(reason);
        }
    }
}

/// Revisions that a move of so many loads needs.
pub(crate) fn revisions_needed(loads: u32) -> u64 {
    u64::from(loads) + 2
}

/// A contract that is to be kept as a move.
#[must_use]
pub fn check(
    contract: &Contract,
    record: &Record,
    observation: &Observation,
    settings: &Settings,
    now: Nanos,
) -> Estimate {
    let mut found = Estimate { revisions_needed: revisions_needed(contract.loads), ..Estimate::default() };
    if record.find(&contract.name).is_some() {
        found.reject(Reason::NameTaken);
    }
    if record.open().count() >= MAX_OPEN {
        found.reject(Reason::TooManyMoves);
    }
    let Some(stands) = observation.active_config() else {
        found.reject(Reason::NoConfig);
        return found;
    };
    let config = &stands.config;
    let routes = routes(contract, config, &mut found);
    match routes.len() {
        0 => found.reject(Reason::NoRoutes),
        count if count > MAX_ROUTES => found.reject(Reason::TooManyRoutes { count }),
        _ => {}
    }
    let most = MAX_LOADS.min(routes.len() as u32);
    if contract.loads == 0 || contract.loads > most {
        found.reject(Reason::InvalidLoads { loads: contract.loads, most });
    }
    let held = held(record);
    for (at, route) in routes.iter().enumerate().take(MAX_ROUTES) {
        let (host, prefix) = (&route.host, &route.path_prefix);
        if let Some(by) = held.get(&key(route)).filter(|_| !is_disabled(Guard::Crossing)) {
            let (host, prefix, by) = (host.clone(), prefix.clone(), (*by).clone());
            found.reject(Reason::RouteHeld { host, prefix, by });
        }
        let to = renamed(route, contract);
        if to == route.shares {
            found.reject(Reason::NoMappedService { host: host.clone(), prefix: prefix.clone() });
        }
        let load = 1 + (at as u64 * u64::from(contract.loads) / routes.len().max(1) as u64) as u32;
        let (host, path_prefix) = (host.clone(), prefix.clone());
        found.route_moves.push(RouteMove { host, path_prefix, from: route.shares.clone(), to, load });
    }
    let used: HashSet<_> = routes.iter().flat_map(|route| &route.shares).map(|(name, _)| name).collect();
    let pairs = contract.services.iter().filter(|(from, _)| used.contains(from));
    found.services = pairs.map(|(from, to)| (from.clone(), to.clone())).collect();
    for (from, to) in &contract.services {
        if contract.services.contains_key(to) {
            found.reject(Reason::ChainedService { service: to.clone() });
        }
        if config.service(from).is_none() {
            found.reject(Reason::UnknownService { service: from.clone() });
        }
    }
    check_capacity(&mut found, &contract.bounds, config, observation, settings, now);
    found
}

/// A move of the record that is to be opened now.
#[must_use]
pub fn recheck(of: &Move, observation: &Observation, settings: &Settings, now: Nanos) -> Estimate {
    let mut found = Estimate {
        route_moves: of.route_moves.clone(),
        services: of.services.clone(),
        revisions_needed: revisions_needed(of.loads),
        ..Estimate::default()
    };
    let Some(stands) = observation.active_config() else {
        found.reject(Reason::NoConfig);
        return found;
    };
    for (route_move, place) in of.route_moves.iter().zip(locate_routes(&stands.config, &of.route_moves)) {
        let (host, prefix) = (route_move.host.clone(), route_move.path_prefix.clone());
        match place {
            RouteLocation::Source => {}
            RouteLocation::Missing => found.reject(Reason::UnknownRoute { host, prefix }),
            RouteLocation::Target | RouteLocation::Other => {
                found.reject(Reason::RouteChanged { host, prefix })
            }
        }
    }
    check_revisions(&mut found, of.revisions, stands.config.revision);
    check_capacity(&mut found, &of.bounds, &stands.config, observation, settings, now);
    found
}

/// The range of revisions has enough above the one that stands.
pub(crate) fn check_revisions(found: &mut Estimate, (first, last): (u64, u64), above: u64) {
    let left = (last + 1).saturating_sub(first.max(above + 1));
    if left < found.revisions_needed {
        found.reject(Reason::TooFewRevisions { needed: found.revisions_needed, above, first, last });
    }
}

fn key(route: &Route) -> (String, CompactString) {
    (host_key(&route.host).into_owned(), route.path_prefix.clone())
}

/// Routes that open moves hold, and which.
fn held(record: &Record) -> HashMap<(String, CompactString), &CompactString> {
    let all = record
        .open()
        .flat_map(|known| known.route_moves.iter().map(move |route_move| (route_move, &known.name)));
    all.map(|(route_move, name)| {
        ((host_key(&route_move.host).into_owned(), route_move.path_prefix.clone()), name)
    })
    .collect()
}

/// The routes that are meant: those that are named, then those of the hosts that have a service which is left, each once.
fn routes<'a>(contract: &Contract, config: &'a Config, found: &mut Estimate) -> Vec<&'a Route> {
    let known: HashMap<_, _> = config.routes.iter().map(|route| (key(route), route)).collect();
    let mut all: Vec<&Route> = Vec::new();
    let mut seen = HashSet::new();
    for (host, prefix) in &contract.routes {
        match known.get(&(host_key(host).into_owned(), prefix.clone())) {
            Some(route) if seen.insert(key(route)) => all.push(route),
            Some(_) => {}
            None => found.reject(Reason::UnknownRoute { host: host.clone(), prefix: prefix.clone() }),
        }
    }
    for host in &contract.hosts {
        let name = host_key(host);
        let leaves =
            |route: &&Route| route.shares.iter().any(|(name, _)| contract.services.contains_key(name));
        let of_host = config.routes.iter().filter(|route| host_key(&route.host) == name);
        let mut of_host = of_host.filter(leaves).peekable();
        if of_host.peek().is_none() {
            found.reject(Reason::UnknownHost { host: host.clone() });
        }
        all.extend(of_host.filter(|route| seen.insert(key(route))));
    }
    all
}

/// A route's services with those that are left exchanged; two that become one are added up.
fn renamed(route: &Route, contract: &Contract) -> Vec<(CompactString, u32)> {
    let mut shares: Vec<(CompactString, u32)> = Vec::new();
    for (name, weight) in &route.shares {
        let name = contract.services.get(name).unwrap_or(name);
        match shares.iter_mut().find(|(known, _)| known == name) {
            Some((_, known)) => *known = known.saturating_add(*weight),
            None => shares.push((name.clone(), *weight)),
        }
    }
    shares
}

/// What the targets can bear.
fn check_capacity(
    found: &mut Estimate,
    bounds: &Bounds,
    config: &Config,
    observation: &Observation,
    settings: &Settings,
    now: Nanos,
) {
    let services: HashMap<&str, &Service> = config.services.iter().map(|s| (s.name.as_str(), s)).collect();
    let known: HashMap<_, _> = config.routes.iter().map(|route| (key(route), route)).collect();
    let mut busy: BTreeMap<CompactString, f64> = BTreeMap::new();
    let mut slowest = 0;
    for (from, to) in found.services.clone() {
        let (Some(old), Some(new)) = (services.get(from.as_str()), services.get(to.as_str())) else {
            for service in [&from, &to].into_iter().filter(|name| !services.contains_key(name.as_str())) {
                found.reject(Reason::UnknownService { service: service.clone() });
            }
            continue;
        };
        if (&old.protocol, old.tls) != (&new.protocol, new.tls) {
            found.reject(Reason::ProtocolMismatch { from: from.clone(), to: to.clone() });
        }
        if new.max_conns < new.concurrency {
            let (max_conns, concurrency) = (new.max_conns, new.concurrency);
            found.reject(Reason::TooFewConnections { service: to.clone(), max_conns, concurrency });
        }
        slowest = slowest.max(new.boot_ms);
        // As if all of the source's work went: how much of it is the tenant's is not known.
        match observation.function(now, &from) {
            Some(function) => {
                *busy.entry(to).or_default() += function.peak_requests;
                found.source_instances.push((from, function.live));
            }
            None => found.reject(Reason::NoFunctionReport { service: from }),
        }
    }
    for route_move in found.route_moves.clone() {
        let Some(route) =
            known.get(&(host_key(&route_move.host).into_owned(), route_move.path_prefix.clone()))
        else {
            continue;
        };
        found.max_deadline_ms = found.max_deadline_ms.max(route.deadline_ms);
        for (name, _) in route_move.to.iter().filter(|share| !route_move.from.contains(share)) {
            let Some(service) = services.get(name.as_str()) else { continue };
            if service.boot_ms >= route.deadline_ms {
                let (boot_ms, deadline_ms) = (service.boot_ms, route.deadline_ms);
                found.reject(Reason::StartTooSlow { service: name.clone(), boot_ms, deadline_ms });
            }
        }
    }
    room(found, &busy, &services, observation, now);
    let turns = f64::from(found.starts) / settings.duty_per_s.max(0.1) * 1e3;
    let boots = if found.starts > 0 { slowest as f64 * BOOT_MARGIN } else { 0.0 };
    found.warm_ms = (turns + boots).ceil() as u64;
    if found.warm_ms > bounds.warm_ms {
        found.reject(Reason::WarmingTooSlow { takes_ms: found.warm_ms, warm_ms: bounds.warm_ms });
    }
    if let Some(most_mb) = bounds.most_memory_mb.filter(|most| found.memory_mb > *most) {
        found.reject(Reason::TooMuchMemory { takes_mb: found.memory_mb, most_mb });
    }
}

/// Instances that the targets need, and whether the workers have room for those that they have not.
fn room(
    found: &mut Estimate,
    busy: &BTreeMap<CompactString, f64>,
    services: &HashMap<&str, &Service>,
    observation: &Observation,
    now: Nanos,
) {
    let mut workers = observation.free_memory_mb().map(<[u64]>::to_vec);
    if workers.is_none() {
        found.reject(Reason::FreeMemoryUnknown);
    }
    let mut wanted = Vec::new();
    for (name, more) in busy {
        let Some(service) = services.get(name.as_str()) else { continue };
        let Some(function) = observation.function(now, name) else {
            found.reject(Reason::NoFunctionReport { service: name.clone() });
            continue;
        };
        let slots = (more + function.peak_requests) * MARGIN;
        let need = (slots / f64::from(service.concurrency.max(1))).ceil().clamp(1.0, 1e6) as u32;
        found.target_instances.push((name.clone(), need));
        wanted.push((service.memory_mb, name, need, need.saturating_sub(function.live)));
    }
    // The largest first, each on the worker with the most room: as the scaler has it, near enough.
    wanted.sort_by_key(|(memory_mb, ..)| std::cmp::Reverse(*memory_mb));
    for (memory_mb, name, need, starts) in wanted {
        found.starts = found.starts.saturating_add(starts);
        found.memory_mb = found.memory_mb.saturating_add(memory_mb.saturating_mul(starts.into()));
        let Some(workers) = &mut workers else { continue };
        let mut missing = starts;
        while missing > 0
            && let Some(free) = workers.iter_mut().max().filter(|free| **free >= memory_mb.max(1))
        {
            *free -= memory_mb;
            missing -= 1;
        }
        if missing > 0 {
            found.reject(Reason::NotEnoughMemory { service: name.clone(), wanted: need, missing, memory_mb });
        }
    }
}
