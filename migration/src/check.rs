//! Checks what a move needs against the capacity of the target, and reports all reasons against it at once.
//!
//! Invariant: no move is recorded or opened while there is a reason against it.

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

/// Capacity of the target relative to the peak load that it has to take over.
const CAPACITY_MARGIN: f64 = 1.25;
/// Factor by which a start may take longer than on average.
const BOOT_MARGIN: f64 = 1.5;
/// Limit on the reasons that are reported.
const MAX_REASONS: usize = 100;

/// Why a move is not accepted or not opened.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[allow(missing_docs, reason = "the message of each variant describes its fields")]
pub enum Reason {
    #[snafu(display("no configuration is active yet, or none is known here"))]
    NoConfig,
    #[snafu(display("a move of this name already exists with another contract"))]
    NameTaken,
    #[snafu(display("{MAX_OPEN} moves are open, which is the limit; one has to end first"))]
    TooManyMoves,
    #[snafu(display("no move has this name"))]
    UnknownMove,
    #[snafu(display("the move has already ended: {step}"))]
    AlreadyEnded { step: &'static str },
    #[snafu(display("the move is rolling back; it can be planned again once that has ended"))]
    RollingBack,
    #[snafu(display("the move has no further load to pause"))]
    NothingToPause,
    #[snafu(display("the contract selects no route"))]
    NoRoutes,
    #[snafu(display("{count} routes selected; at most {MAX_ROUTES} are allowed"))]
    TooManyRoutes { count: usize },
    #[snafu(display("loads is {loads}; must be from 1 to {most}"))]
    InvalidLoads { loads: u32, most: u32 },
    #[snafu(display("host {host:?} has no route with a source service of the contract"))]
    UnknownHost { host: CompactString },
    #[snafu(display("no route {host:?} {prefix:?} exists"))]
    UnknownRoute { host: CompactString, prefix: CompactString },
    #[snafu(display("route {host:?} {prefix:?} has no source service of the contract"))]
    NoMappedService { host: CompactString, prefix: CompactString },
    #[snafu(display("route {host:?} {prefix:?} belongs to the open move {by:?}"))]
    RouteHeld { host: CompactString, prefix: CompactString, by: CompactString },
    #[snafu(display("the services of route {host:?} {prefix:?} have changed since the move was planned"))]
    RouteChanged { host: CompactString, prefix: CompactString },
    #[snafu(display("no service {service:?} exists"))]
    UnknownService { service: CompactString },
    #[snafu(display("service {service:?} is both a source and a target"))]
    ChainedService { service: CompactString },
    #[snafu(display("service {to:?} differs from {from:?} in protocol or TLS"))]
    ProtocolMismatch { from: CompactString, to: CompactString },
    #[snafu(display(
        "service {service:?} accepts {max_conns} connections, fewer than its concurrency of {concurrency}"
    ))]
    TooFewConnections { service: CompactString, max_conns: u32, concurrency: u32 },
    #[snafu(display(
        "a start of {service:?} takes {boot_ms} ms, but one of its routes has a deadline of {deadline_ms} ms"
    ))]
    StartTooSlow { service: CompactString, boot_ms: u64, deadline_ms: u64 },
    #[snafu(display("service {service:?} has not been reported recently"))]
    NoFunctionReport { service: CompactString },
    #[snafu(display("the workers' free memory is not known yet"))]
    FreeMemoryUnknown,
    #[snafu(display(
        "workers lack memory for {missing} of {wanted} instances of {service:?} with {memory_mb} MB each"
    ))]
    NotEnoughMemory { service: CompactString, wanted: u32, missing: u32, memory_mb: u64 },
    #[snafu(display("warming the target would take {takes_ms} ms; the limit is {warm_ms} ms"))]
    WarmingTooSlow { takes_ms: u64, warm_ms: u64 },
    #[snafu(display("the instances to start need {takes_mb} MB; the limit is {most_mb} MB"))]
    TooMuchMemory { takes_mb: u64, most_mb: u64 },
    #[snafu(display(
        "{needed} revisions above {above} are needed, reserved by the operator; reserved are {first} to {last}"
    ))]
    TooFewRevisions { needed: u64, above: u64, first: u64, last: u64 },
}

/// What a move needs, and the reasons against it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The routes of the move.
    pub route_moves: Vec<RouteMove>,
    /// Pairs of source and target service, for the source services in use.
    pub services: Vec<(CompactString, CompactString)>,
    /// Instances that each target service needs.
    pub target_instances: Vec<(CompactString, u32)>,
    /// Instances that each source service has now, and keeps in case of a rollback.
    pub source_instances: Vec<(CompactString, u32)>,
    /// Number of instances to start.
    pub starts: u32,
    /// Memory of the instances to start, in MB.
    pub memory_mb: u64,
    /// Estimated time to warm the target.
    pub warm_ms: u64,
    /// The longest deadline of the routes.
    pub max_deadline_ms: u64,
    /// Revisions that the move needs: one for each load, one for the rollback, and a spare one.
    pub revisions_needed: u64,
    /// All reasons against the move.
    pub reasons: Vec<Reason>,
}

impl Estimate {
    fn reject(&mut self, reason: Reason) {
        if self.reasons.len() < MAX_REASONS && !self.reasons.contains(&reason) {
            self.reasons.push(reason);
        }
    }
}

/// Number of revisions that a move with this many loads needs.
pub(crate) fn revisions_needed(loads: u32) -> u64 {
    u64::from(loads) + 2
}

/// Checks a contract that is to be recorded as a move.
#[must_use]
pub fn check(
    contract: &Contract,
    record: &Record,
    observation: &Observation,
    settings: &Settings,
    now: Nanos,
) -> Estimate {
    let mut estimate = Estimate { revisions_needed: revisions_needed(contract.loads), ..Estimate::default() };
    if record.find(&contract.name).is_some() {
        estimate.reject(Reason::NameTaken);
    }
    if record.open().count() >= MAX_OPEN {
        estimate.reject(Reason::TooManyMoves);
    }
    let Some(active) = observation.active_config() else {
        estimate.reject(Reason::NoConfig);
        return estimate;
    };
    let config = &active.config;
    let routes = select_routes(contract, config, &mut estimate);
    match routes.len() {
        0 => estimate.reject(Reason::NoRoutes),
        count if count > MAX_ROUTES => estimate.reject(Reason::TooManyRoutes { count }),
        _ => {}
    }
    let most = MAX_LOADS.min(routes.len() as u32);
    if contract.loads == 0 || contract.loads > most {
        estimate.reject(Reason::InvalidLoads { loads: contract.loads, most });
    }
    let held = routes_of_open_moves(record);
    for (at, route) in routes.iter().enumerate().take(MAX_ROUTES) {
        let (host, prefix) = (&route.host, &route.path_prefix);
        if let Some(by) = held.get(&key(route)).filter(|_| !is_disabled(Guard::DisjointRoutes)) {
            let (host, prefix, by) = (host.clone(), prefix.clone(), (*by).clone());
            estimate.reject(Reason::RouteHeld { host, prefix, by });
        }
        let to = target_shares(route, contract);
        if to == route.shares {
            estimate.reject(Reason::NoMappedService { host: host.clone(), prefix: prefix.clone() });
        }
        let load = 1 + (at as u64 * u64::from(contract.loads) / routes.len().max(1) as u64) as u32;
        let (host, path_prefix) = (host.clone(), prefix.clone());
        estimate.route_moves.push(RouteMove { host, path_prefix, from: route.shares.clone(), to, load });
    }
    let used: HashSet<_> = routes.iter().flat_map(|route| &route.shares).map(|(name, _)| name).collect();
    let pairs = contract.services.iter().filter(|(from, _)| used.contains(from));
    estimate.services = pairs.map(|(from, to)| (from.clone(), to.clone())).collect();
    for (from, to) in &contract.services {
        if contract.services.contains_key(to) {
            estimate.reject(Reason::ChainedService { service: to.clone() });
        }
        if config.service(from).is_none() {
            estimate.reject(Reason::UnknownService { service: from.clone() });
        }
    }
    check_capacity(&mut estimate, &contract.bounds, config, observation, settings, now);
    estimate
}

/// Checks a recorded move that is to be opened now.
#[must_use]
pub fn recheck(mv: &Move, observation: &Observation, settings: &Settings, now: Nanos) -> Estimate {
    let mut estimate = Estimate {
        route_moves: mv.route_moves.clone(),
        services: mv.services.clone(),
        revisions_needed: revisions_needed(mv.loads),
        ..Estimate::default()
    };
    let Some(active) = observation.active_config() else {
        estimate.reject(Reason::NoConfig);
        return estimate;
    };
    for (route_move, location) in mv.route_moves.iter().zip(locate_routes(&active.config, &mv.route_moves)) {
        let (host, prefix) = (route_move.host.clone(), route_move.path_prefix.clone());
        match location {
            RouteLocation::Source => {}
            RouteLocation::Missing => estimate.reject(Reason::UnknownRoute { host, prefix }),
            RouteLocation::Target | RouteLocation::Other => {
                estimate.reject(Reason::RouteChanged { host, prefix })
            }
        }
    }
    check_revisions(&mut estimate, mv.revisions, active.config.revision);
    check_capacity(&mut estimate, &mv.bounds, &active.config, observation, settings, now);
    estimate
}

/// Checks that the reserved range has enough revisions above the active one.
pub(crate) fn check_revisions(estimate: &mut Estimate, (first, last): (u64, u64), above: u64) {
    let left = (last + 1).saturating_sub(first.max(above + 1));
    if left < estimate.revisions_needed {
        estimate.reject(Reason::TooFewRevisions { needed: estimate.revisions_needed, above, first, last });
    }
}

fn key(route: &Route) -> (String, CompactString) {
    (host_key(&route.host).into_owned(), route.path_prefix.clone())
}

/// Routes of open moves, and the name of the move that each belongs to.
fn routes_of_open_moves(record: &Record) -> HashMap<(String, CompactString), &CompactString> {
    let all =
        record.open().flat_map(|mv| mv.route_moves.iter().map(move |route_move| (route_move, &mv.name)));
    all.map(|(route_move, name)| {
        ((host_key(&route_move.host).into_owned(), route_move.path_prefix.clone()), name)
    })
    .collect()
}

/// The routes that a contract selects, each once: first those that it lists, then those of its hosts that
/// have a source service of the contract.
fn select_routes<'a>(contract: &Contract, config: &'a Config, estimate: &mut Estimate) -> Vec<&'a Route> {
    let known: HashMap<_, _> = config.routes.iter().map(|route| (key(route), route)).collect();
    let mut all: Vec<&Route> = Vec::new();
    let mut seen = HashSet::new();
    for (host, prefix) in &contract.routes {
        match known.get(&(host_key(host).into_owned(), prefix.clone())) {
            Some(route) if seen.insert(key(route)) => all.push(route),
            Some(_) => {}
            None => estimate.reject(Reason::UnknownRoute { host: host.clone(), prefix: prefix.clone() }),
        }
    }
    for host in &contract.hosts {
        let name = host_key(host);
        let has_source =
            |route: &&Route| route.shares.iter().any(|(name, _)| contract.services.contains_key(name));
        let of_host = config.routes.iter().filter(|route| host_key(&route.host) == name);
        let mut of_host = of_host.filter(has_source).peekable();
        if of_host.peek().is_none() {
            estimate.reject(Reason::UnknownHost { host: host.clone() });
        }
        all.extend(of_host.filter(|route| seen.insert(key(route))));
    }
    all
}

/// A route's services after the move. The weights of services that map to the same one are added up.
fn target_shares(route: &Route, contract: &Contract) -> Vec<(CompactString, u32)> {
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

/// Checks the targets against the load, deadlines and memory of the move.
fn check_capacity(
    estimate: &mut Estimate,
    bounds: &Bounds,
    config: &Config,
    observation: &Observation,
    settings: &Settings,
    now: Nanos,
) {
    let services: HashMap<&str, &Service> = config.services.iter().map(|s| (s.name.as_str(), s)).collect();
    let known: HashMap<_, _> = config.routes.iter().map(|route| (key(route), route)).collect();
    let mut peak_load: BTreeMap<CompactString, f64> = BTreeMap::new();
    let mut max_boot_ms = 0;
    for (from, to) in estimate.services.clone() {
        let (Some(source), Some(target)) = (services.get(from.as_str()), services.get(to.as_str())) else {
            for service in [&from, &to].into_iter().filter(|name| !services.contains_key(name.as_str())) {
                estimate.reject(Reason::UnknownService { service: service.clone() });
            }
            continue;
        };
        if (&source.protocol, source.tls) != (&target.protocol, target.tls) {
            estimate.reject(Reason::ProtocolMismatch { from: from.clone(), to: to.clone() });
        }
        if target.max_conns < target.concurrency {
            let (max_conns, concurrency) = (target.max_conns, target.concurrency);
            estimate.reject(Reason::TooFewConnections { service: to.clone(), max_conns, concurrency });
        }
        max_boot_ms = max_boot_ms.max(target.boot_ms);
        // Assumes that all load of the source moves: the tenant's part of it is not known.
        match observation.function(now, &from) {
            Some(function) => {
                *peak_load.entry(to).or_default() += function.peak_requests;
                estimate.source_instances.push((from, function.live));
            }
            None => estimate.reject(Reason::NoFunctionReport { service: from }),
        }
    }
    for route_move in estimate.route_moves.clone() {
        let Some(route) =
            known.get(&(host_key(&route_move.host).into_owned(), route_move.path_prefix.clone()))
        else {
            continue;
        };
        estimate.max_deadline_ms = estimate.max_deadline_ms.max(route.deadline_ms);
        for (name, _) in route_move.to.iter().filter(|share| !route_move.from.contains(share)) {
            let Some(service) = services.get(name.as_str()) else { continue };
            if service.boot_ms >= route.deadline_ms {
                let (boot_ms, deadline_ms) = (service.boot_ms, route.deadline_ms);
                estimate.reject(Reason::StartTooSlow { service: name.clone(), boot_ms, deadline_ms });
            }
        }
    }
    plan_instances(estimate, &peak_load, &services, observation, now);
    let start_ms = f64::from(estimate.starts) / settings.duty_per_s.max(0.1) * 1e3;
    let boot_ms = if estimate.starts > 0 { max_boot_ms as f64 * BOOT_MARGIN } else { 0.0 };
    estimate.warm_ms = (start_ms + boot_ms).ceil() as u64;
    if estimate.warm_ms > bounds.warm_ms {
        estimate.reject(Reason::WarmingTooSlow { takes_ms: estimate.warm_ms, warm_ms: bounds.warm_ms });
    }
    if let Some(most_mb) = bounds.most_memory_mb.filter(|most| estimate.memory_mb > *most) {
        estimate.reject(Reason::TooMuchMemory { takes_mb: estimate.memory_mb, most_mb });
    }
}

/// Computes the instances that the targets need, and checks that the workers have memory for those to be
/// started.
fn plan_instances(
    estimate: &mut Estimate,
    peak_load: &BTreeMap<CompactString, f64>,
    services: &HashMap<&str, &Service>,
    observation: &Observation,
    now: Nanos,
) {
    let mut workers = observation.free_memory_mb().map(<[u64]>::to_vec);
    if workers.is_none() {
        estimate.reject(Reason::FreeMemoryUnknown);
    }
    let mut wanted = Vec::new();
    for (name, added_load) in peak_load {
        let Some(service) = services.get(name.as_str()) else { continue };
        let Some(function) = observation.function(now, name) else {
            estimate.reject(Reason::NoFunctionReport { service: name.clone() });
            continue;
        };
        let slots = (added_load + function.peak_requests) * CAPACITY_MARGIN;
        let need = (slots / f64::from(service.concurrency.max(1))).ceil().clamp(1.0, 1e6) as u32;
        estimate.target_instances.push((name.clone(), need));
        wanted.push((service.memory_mb, name, need, need.saturating_sub(function.live)));
    }
    // The largest instances first, each on the worker with the most free memory; this approximates the
    // autoscaler.
    wanted.sort_by_key(|(memory_mb, ..)| std::cmp::Reverse(*memory_mb));
    for (memory_mb, name, need, starts) in wanted {
        estimate.starts = estimate.starts.saturating_add(starts);
        estimate.memory_mb = estimate.memory_mb.saturating_add(memory_mb.saturating_mul(starts.into()));
        let Some(workers) = &mut workers else { continue };
        let mut missing = starts;
        while missing > 0
            && let Some(free) = workers.iter_mut().max().filter(|free| **free >= memory_mb.max(1))
        {
            *free -= memory_mb;
            missing -= 1;
        }
        if missing > 0 {
            estimate.reject(Reason::NotEnoughMemory {
                service: name.clone(),
                wanted: need,
                missing,
                memory_mb,
            });
        }
    }
}
