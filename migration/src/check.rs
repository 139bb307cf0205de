//! What a move would move, against what the target can bear; all reasons against it at once. Invariant: no move is kept or opened against
//! which one stands.

use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;
use millpost_config::routes::host_key;
use millpost_config::{Config, Route, Service};
use snafu::Snafu;

use crate::Nanos;
use crate::contract::{Bounds, Contract, MOST_LOADS, MOST_ROUTES};
use crate::migrator::Terms;
use crate::observation::Observation;
use crate::plant::{Guard, is_out};
use crate::record::{MOST_OPEN, Move, Record, RouteMove};
use crate::shift::{Place, places};

/// Room that is kept above what the source holds at its busiest.
const MARGIN: f64 = 1.25;
/// A start may take so much longer than it does on average.
const BOOT_MARGIN: f64 = 1.5;
/// Reasons of one kind that are told, and that are kept in all.
const MOST_REASONS: usize = 100;

/// Why a move is not kept, or does not begin.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[allow(missing_docs, reason = "the text of each says what its parts are")]
pub enum Reason {
    #[snafu(display("no configuration stands yet, or none is known here"))]
    NoConfig,
    #[snafu(display("a move of this name is there already, with another contract"))]
    Taken,
    #[snafu(display("{MOST_OPEN} moves are open; one has to end first"))]
    Full,
    #[snafu(display("there is no move of this name"))]
    Unknown,
    #[snafu(display("the move has ended: {step}"))]
    Ended { step: &'static str },
    #[snafu(display("the move turns back; it can be planned anew once it has"))]
    TurnsBack,
    #[snafu(display("nothing goes any more that could be paused"))]
    NothingToPause,
    #[snafu(display("no route is named"))]
    NoRoutes,
    #[snafu(display("{count} routes; at most {MOST_ROUTES}"))]
    TooMany { count: usize },
    #[snafu(display("loads: {loads}; from 1 to {most}"))]
    Loads { loads: u32, most: u32 },
    #[snafu(display("host {host:?} has no route with a service that is left"))]
    UnknownHost { host: CompactString },
    #[snafu(display("there is no route {host:?} {prefix:?}"))]
    UnknownRoute { host: CompactString, prefix: CompactString },
    #[snafu(display("route {host:?} {prefix:?} has none of the services that are left"))]
    NothingLeft { host: CompactString, prefix: CompactString },
    #[snafu(display("route {host:?} {prefix:?} is held by move {by:?}"))]
    Held { host: CompactString, prefix: CompactString, by: CompactString },
    #[snafu(display("route {host:?} {prefix:?} has other services than when the move was planned"))]
    Changed { host: CompactString, prefix: CompactString },
    #[snafu(display("there is no service {service:?}"))]
    UnknownService { service: CompactString },
    #[snafu(display("service {service:?} would be left and gone to"))]
    Itself { service: CompactString },
    #[snafu(display("service {to:?} has another protocol, or other TLS, than {from:?}"))]
    Protocol { from: CompactString, to: CompactString },
    #[snafu(display(
        "service {service:?} accepts {max_conns} connections and is to hold {concurrency} requests"
    ))]
    Connections { service: CompactString, max_conns: u32, concurrency: u32 },
    #[snafu(display(
        "a start of {service:?} takes {boot_ms} ms, a route of it is held {deadline_ms} ms at most"
    ))]
    Deadline { service: CompactString, boot_ms: u64, deadline_ms: u64 },
    #[snafu(display("nothing was heard lately of service {service:?}"))]
    Unseen { service: CompactString },
    #[snafu(display("the workers' room is not known yet"))]
    NoWorkers,
    #[snafu(display(
        "workers have no room for {missing} of {wanted} instances of {service:?}, {memory_mb} MB each"
    ))]
    NoRoom { service: CompactString, wanted: u32, missing: u32, memory_mb: u64 },
    #[snafu(display("it would take {takes_ms} ms to warm the target; {warm_ms} ms are given"))]
    TooSlow { takes_ms: u64, warm_ms: u64 },
    #[snafu(display("instances that are to be started take {takes_mb} MB; {most_mb} MB are given"))]
    TooDear { takes_mb: u64, most_mb: u64 },
    #[snafu(display(
        "{needed} revisions above {above} are needed, from the operator's own range; given: {first} to {last}"
    ))]
    Numbers { needed: u64, above: u64, first: u64, last: u64 },
}

/// What a move takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Its routes.
    pub hauls: Vec<RouteMove>,
    /// Which of the services named are left, and for which.
    pub services: Vec<(CompactString, CompactString)>,
    /// Instances that each target is to have.
    pub needs: Vec<(CompactString, u32)>,
    /// Instances that each source has now, and keeps for the way back.
    pub keeps: Vec<(CompactString, u32)>,
    /// Starts.
    pub starts: u32,
    /// What those take.
    pub memory_mb: u64,
    /// The time in which the target is warm.
    pub warm_ms: u64,
    /// The longest that a request of its routes may be held.
    pub longest_ms: u64,
    /// Revisions that the move needs: its loads, the way back, and one to spare.
    pub revisions: u64,
    /// All that stands against it.
    pub reasons: Vec<Reason>,
}

impl Estimate {
    fn against(&mut self, reason: Reason) {
        if self.reasons.len() < MOST_REASONS && !self.reasons.contains(&reason) {
            self.reasons.push(reason);
        }
    }
}

/// Revisions that a move of so many loads needs.
pub(crate) fn revisions(loads: u32) -> u64 {
    u64::from(loads) + 2
}

/// A contract that is to be kept as a move.
#[must_use]
pub fn check(
    contract: &Contract,
    record: &Record,
    sight: &Observation,
    terms: &Terms,
    now: Nanos,
) -> Estimate {
    let mut found = Estimate { revisions: revisions(contract.loads), ..Estimate::default() };
    if record.named(&contract.name).is_some() {
        found.against(Reason::Taken);
    }
    if record.open().count() >= MOST_OPEN {
        found.against(Reason::Full);
    }
    let Some(stands) = sight.stands() else {
        found.against(Reason::NoConfig);
        return found;
    };
    let config = &stands.config;
    let routes = routes(contract, config, &mut found);
    match routes.len() {
        0 => found.against(Reason::NoRoutes),
        count if count > MOST_ROUTES => found.against(Reason::TooMany { count }),
        _ => {}
    }
    let most = MOST_LOADS.min(routes.len() as u32);
    if contract.loads == 0 || contract.loads > most {
        found.against(Reason::Loads { loads: contract.loads, most });
    }
    let held = held(record);
    for (at, route) in routes.iter().enumerate().take(MOST_ROUTES) {
        let (host, prefix) = (&route.host, &route.path_prefix);
        if let Some(by) = held.get(&key(route)).filter(|_| !is_out(Guard::Crossing)) {
            let (host, prefix, by) = (host.clone(), prefix.clone(), (*by).clone());
            found.against(Reason::Held { host, prefix, by });
        }
        let to = renamed(route, contract);
        if to == route.shares {
            found.against(Reason::NothingLeft { host: host.clone(), prefix: prefix.clone() });
        }
        let load = 1 + (at as u64 * u64::from(contract.loads) / routes.len().max(1) as u64) as u32;
        let (host, path_prefix) = (host.clone(), prefix.clone());
        found.hauls.push(RouteMove { host, path_prefix, from: route.shares.clone(), to, load });
    }
    let used: HashSet<_> = routes.iter().flat_map(|route| &route.shares).map(|(name, _)| name).collect();
    let pairs = contract.services.iter().filter(|(from, _)| used.contains(from));
    found.services = pairs.map(|(from, to)| (from.clone(), to.clone())).collect();
    for (from, to) in &contract.services {
        if contract.services.contains_key(to) {
            found.against(Reason::Itself { service: to.clone() });
        }
        if config.service(from).is_none() {
            found.against(Reason::UnknownService { service: from.clone() });
        }
    }
    bear(&mut found, &contract.bounds, config, sight, terms, now);
    found
}

/// A move of the record that is to be opened now.
#[must_use]
pub fn check_again(of: &Move, sight: &Observation, terms: &Terms, now: Nanos) -> Estimate {
    let mut found = Estimate {
        hauls: of.hauls.clone(),
        services: of.services.clone(),
        revisions: revisions(of.loads),
        ..Estimate::default()
    };
    let Some(stands) = sight.stands() else {
        found.against(Reason::NoConfig);
        return found;
    };
    for (haul, place) in of.hauls.iter().zip(places(&stands.config, &of.hauls)) {
        let (host, prefix) = (haul.host.clone(), haul.path_prefix.clone());
        match place {
            Place::Here => {}
            Place::Gone => found.against(Reason::UnknownRoute { host, prefix }),
            Place::There | Place::Elsewhere => found.against(Reason::Changed { host, prefix }),
        }
    }
    numbers(&mut found, of.numbers, stands.config.revision);
    bear(&mut found, &of.bounds, &stands.config, sight, terms, now);
    found
}

/// The range of revisions has enough above the one that stands.
pub(crate) fn numbers(found: &mut Estimate, (first, last): (u64, u64), above: u64) {
    let left = (last + 1).saturating_sub(first.max(above + 1));
    if left < found.revisions {
        found.against(Reason::Numbers { needed: found.revisions, above, first, last });
    }
}

fn key(route: &Route) -> (String, CompactString) {
    (host_key(&route.host).into_owned(), route.path_prefix.clone())
}

/// Routes that open moves hold, and which.
fn held(record: &Record) -> HashMap<(String, CompactString), &CompactString> {
    let all = record.open().flat_map(|known| known.hauls.iter().map(move |haul| (haul, &known.name)));
    all.map(|(haul, name)| ((host_key(&haul.host).into_owned(), haul.path_prefix.clone()), name)).collect()
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
            None => found.against(Reason::UnknownRoute { host: host.clone(), prefix: prefix.clone() }),
        }
    }
    for host in &contract.hosts {
        let name = host_key(host);
        let leaves =
            |route: &&Route| route.shares.iter().any(|(name, _)| contract.services.contains_key(name));
        let of_host = config.routes.iter().filter(|route| host_key(&route.host) == name);
        let mut of_host = of_host.filter(leaves).peekable();
        if of_host.peek().is_none() {
            found.against(Reason::UnknownHost { host: host.clone() });
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
fn bear(
    found: &mut Estimate,
    bounds: &Bounds,
    config: &Config,
    sight: &Observation,
    terms: &Terms,
    now: Nanos,
) {
    let services: HashMap<&str, &Service> = config.services.iter().map(|s| (s.name.as_str(), s)).collect();
    let known: HashMap<_, _> = config.routes.iter().map(|route| (key(route), route)).collect();
    let mut busy: BTreeMap<CompactString, f64> = BTreeMap::new();
    let mut slowest = 0;
    for (from, to) in found.services.clone() {
        let (Some(old), Some(new)) = (services.get(from.as_str()), services.get(to.as_str())) else {
            for service in [&from, &to].into_iter().filter(|name| !services.contains_key(name.as_str())) {
                found.against(Reason::UnknownService { service: service.clone() });
            }
            continue;
        };
        if (&old.protocol, old.tls) != (&new.protocol, new.tls) {
            found.against(Reason::Protocol { from: from.clone(), to: to.clone() });
        }
        if new.max_conns < new.concurrency {
            let (max_conns, concurrency) = (new.max_conns, new.concurrency);
            found.against(Reason::Connections { service: to.clone(), max_conns, concurrency });
        }
        slowest = slowest.max(new.boot_ms);
        // As if all of the source's work went: how much of it is the tenant's is not known.
        match sight.function(now, &from) {
            Some(function) => {
                *busy.entry(to).or_default() += function.busy;
                found.keeps.push((from, function.live));
            }
            None => found.against(Reason::Unseen { service: from }),
        }
    }
    for haul in found.hauls.clone() {
        let Some(route) = known.get(&(host_key(&haul.host).into_owned(), haul.path_prefix.clone())) else {
            continue;
        };
        found.longest_ms = found.longest_ms.max(route.deadline_ms);
        for (name, _) in haul.to.iter().filter(|share| !haul.from.contains(share)) {
            let Some(service) = services.get(name.as_str()) else { continue };
            if service.boot_ms >= route.deadline_ms {
                let (boot_ms, deadline_ms) = (service.boot_ms, route.deadline_ms);
                found.against(Reason::Deadline { service: name.clone(), boot_ms, deadline_ms });
            }
        }
    }
    room(found, &busy, &services, sight, now);
    let turns = f64::from(found.starts) / terms.duty_per_s.max(0.1) * 1e3;
    let boots = if found.starts > 0 { slowest as f64 * BOOT_MARGIN } else { 0.0 };
    found.warm_ms = (turns + boots).ceil() as u64;
    if found.warm_ms > bounds.warm_ms {
        found.against(Reason::TooSlow { takes_ms: found.warm_ms, warm_ms: bounds.warm_ms });
    }
    if let Some(most_mb) = bounds.most_memory_mb.filter(|most| found.memory_mb > *most) {
        found.against(Reason::TooDear { takes_mb: found.memory_mb, most_mb });
    }
}

/// Instances that the targets need, and whether the workers have room for those that they have not.
fn room(
    found: &mut Estimate,
    busy: &BTreeMap<CompactString, f64>,
    services: &HashMap<&str, &Service>,
    sight: &Observation,
    now: Nanos,
) {
    let mut workers = sight.room().map(<[u64]>::to_vec);
    if workers.is_none() {
        found.against(Reason::NoWorkers);
    }
    let mut wanted = Vec::new();
    for (name, more) in busy {
        let Some(service) = services.get(name.as_str()) else { continue };
        let Some(function) = sight.function(now, name) else {
            found.against(Reason::Unseen { service: name.clone() });
            continue;
        };
        let slots = (more + function.busy) * MARGIN;
        let need = (slots / f64::from(service.concurrency.max(1))).ceil().clamp(1.0, 1e6) as u32;
        found.needs.push((name.clone(), need));
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
            found.against(Reason::NoRoom { service: name.clone(), wanted: need, missing, memory_mb });
        }
    }
}
