//! A configuration: read from the operator's text, checked, and written again.
//!
//! Refused is what the operator's page calls invalid, no more: what is merely odd is taken as it stands.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::fmt::Write;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::gather::Gather;
use crate::routes::host_key;
use crate::values::{self, list, number, object, string};
use crate::{ConfigError, ConfigErrors, JsonCursor, digest, shares};

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The version; the highest one holds.
    pub revision: u64,
    /// The routes, no two with the same host and prefix.
    pub routes: Vec<Route>,
    /// The services, each name once.
    pub services: Vec<Service>,
    /// What clients may send.
    pub limits: Limits,
}

/// Where requests for a host and a prefix of the path go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, which need not be the only one.
    pub name: CompactString,
    /// The host, as the operator wrote it.
    pub host: CompactString,
    /// What the path begins with.
    pub path_prefix: CompactString,
    /// Whether a request may run more than once.
    pub traffic: Traffic,
    /// The longest the operator wants a request held; at least 1.
    pub deadline_ms: u64,
    /// The time inside which an answer earns its full worth; the deadline where left out.
    pub target_latency_ms: u64,
    /// The rank, 0 is highest; 2 where left out.
    pub priority: u32,
    /// The largest number of endpoints one try may be sent to, as sent (0 too); 1 where left out.
    pub max_tries: u32,
    /// The services and their weights, whose sum is above 0.
    pub shares: Vec<(CompactString, u32)>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// It may.
    Idempotent,
    /// At most once per try.
    Mutating,
}

/// A service, whose endpoints we start. Numbers are as sent: 0 is possible in each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Where an endpoint tells that it is well; some have none.
    pub health_path: Option<CompactString>,
    /// Connections an endpoint accepts from all callers together; no bound where left out.
    pub max_conns: u32,
    /// `h1` where left out.
    pub protocol: CompactString,
    /// Whether endpoints expect TLS.
    pub tls: bool,
    /// Memory of one endpoint.
    pub memory_mb: u64,
    /// The time a start takes, on average.
    pub boot_ms: u64,
    /// Requests an endpoint may hold at once; 1 where left out.
    pub concurrency: u32,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        }
    }
}

impl Config {
    /// Reads and checks a configuration; the first fault where there are several. Unknown fields are passed over; of services
    /// with one name the last holds.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::parse_collecting_errors(text).map_err(ConfigErrors::into_first)
    }

    /// The same; all faults where there are several. What rests on a part that can't be read is judged once it can be.
    pub fn parse_collecting_errors(text: &str) -> Result<Self, ConfigErrors> {
        Self::gathered(&JsonCursor::root(&values::parse(text)?))
    }

    /// Reads and checks a configuration that is part of something larger.
    pub fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        Self::gathered(at).map_err(ConfigErrors::into_first)
    }

    fn gathered(at: &JsonCursor<'_>) -> Result<Self, ConfigErrors> {
        at.object()?;
        let mut faults = Gather::default();
        let revision = faults.get(at.required("revision").and_then(|at| at.uint()));
        let mut routes = Vec::new();
        let named = names(at);
        if let Some(at) = faults.some(at.required("routes")) {
            let mut whole = Whole { services: named, places: HashMap::new() };
            for (number, at) in faults.some(at.items()).into_iter().flatten().enumerate() {
                if faults.some(at.object()).is_none() {
                    continue;
                }
                let route = Route::gather(&at, &mut faults);
                whole.look(number, &route, at.value(), &mut faults);
                routes.push(route);
            }
        }
        let mut services: Vec<Service> = Vec::new();
        let mut places = HashMap::new();
        if let Some(at) = faults.some(at.required("services")) {
            for at in faults.some(at.items()).into_iter().flatten() {
                if faults.some(at.object()).is_none() {
                    continue;
                }
                let service = Service::gather(&at, &mut faults);
                match places.insert(service.name.clone(), services.len()) {
                    Some(place) => {
                        places.insert(service.name.clone(), place);
                        services[place] = service;
                    }
                    None => services.push(service),
                }
            }
        }
        let limits =
            at.optional("limits").map_or_else(Limits::default, |at| Limits::gather(&at, &mut faults));
        faults.end(Self { revision, routes, services, limits })
    }

    /// Checks what no single route shows.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        let services = Some(self.services.iter().map(|service| service.name.as_str()).collect());
        let mut whole = Whole { services, places: HashMap::with_capacity(self.routes.len()) };
        for (number, route) in self.routes.iter().enumerate() {
            whole.known(number, &route.shares)?;
            whole.once(number, &route.host, &route.path_prefix)?;
        }
        Ok(())
    }

    /// The configuration as a value, with the operator's names of fields.
    #[must_use]
    pub fn to_value(&self) -> JsonValue {
        object([
            ("revision", number(self.revision)),
            ("routes", list(self.routes.iter().map(Route::to_value))),
            ("services", list(self.services.iter().map(Service::to_value))),
            ("limits", self.limits.to_value()),
        ])
    }

    /// The configuration as text, which reads back equal. Fields that were not known are gone.
    #[must_use]
    pub fn to_json(&self) -> String {
        let list = |parts: &mut dyn Iterator<Item = JsonValue>| {
            let mut out = String::from("[");
            for (number, part) in parts.enumerate() {
                out.push_str(if number == 0 { "" } else { "," });
                values::write_to(&mut out, &part);
            }
            out
        };
        // As `values::write` has it, without the tree of the whole, which takes ten times as much memory as its text.
        let mut out = format!(r#"{{"limits":{}"#, values::write(&self.limits.to_value()));
        let _ = write!(out, r#","revision":{}"#, self.revision);
        let _ = write!(out, r#","routes":{}]"#, list(&mut self.routes.iter().map(Route::to_value)));
        let _ = write!(out, r#","services":{}]}}"#, list(&mut self.services.iter().map(Service::to_value)));
        out
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The digest of what the configuration says; the order of routes and services does not count. It is
    /// the same on every machine.
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest::digest(self)
    }

    /// Whether both say the same, in whatever order.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        let sorted = |config: &Self| {
            let mut config = config.clone();
            config.routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
            config.services.sort_by(|a, b| a.name.cmp(&b.name));
            config
        };
        sorted(self) == sorted(other)
    }
}

/// What no single route shows: services that it may name, hosts and prefixes that were seen.
struct Whole<'a> {
    /// None where not all of their names can be read.
    services: Option<HashSet<&'a str>>,
    places: HashMap<(Cow<'a, str>, &'a str), usize>,
}

/// The names of all services, where all can be read.
fn names<'a>(at: &JsonCursor<'a>) -> Option<HashSet<&'a str>> {
    let services = values::get_list(at.value(), "services")?;
    services.iter().map(|service| values::get_str(service, "name")).collect()
}

impl<'a> Whole<'a> {
    /// Looks at a route, as far as it was read.
    fn look(&mut self, number: usize, route: &Route, value: &'a JsonValue, faults: &mut Gather) {
        faults.get(self.known(number, &route.shares));
        let text = |key| values::get_str(value, key);
        if let (Some(host), Some(prefix)) = (text("host"), text("path_prefix")) {
            faults.get(self.once(number, host, prefix));
        }
    }

    /// All services of a route are there.
    fn known(&self, number: usize, shares: &[(CompactString, u32)]) -> Result<(), ConfigError> {
        let Some(services) = &self.services else { return Ok(()) };
        match shares.iter().find(|(name, _)| !services.contains(name.as_str())) {
            Some((name, _)) => {
                let path = format!("routes[{number}].service");
                Err(ConfigError::Field { path, reason: format!("is {name:?}, which is no service") })
            }
            None => Ok(()),
        }
    }

    /// No route before has the same host and prefix.
    fn once(&mut self, number: usize, host: &'a str, prefix: &'a str) -> Result<(), ConfigError> {
        match self.places.insert((host_key(host), prefix), number) {
            Some(other) => {
                let path = format!("routes[{number}].path_prefix");
                Err(ConfigError::Field {
                    path,
                    reason: format!("has the host and prefix of routes[{other}]"),
                })
            }
            None => Ok(()),
        }
    }
}

impl Route {
    pub(crate) fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        at.object()?;
        let mut faults = Gather::default();
        let route = Self::gather(at, &mut faults);
        faults.end(route).map_err(ConfigErrors::into_first)
    }

    fn gather(at: &JsonCursor<'_>, faults: &mut Gather) -> Self {
        let text = |key| at.required(key).and_then(|at| Ok(CompactString::from(at.str()?)));
        let deadline = at.required("deadline_ms").and_then(|at| match at.uint()? {
            0 => Err(at.error("is 0; at least 1")),
            deadline => Ok(deadline),
        });
        let deadline_ms = faults.get(deadline);
        let traffic = at.required("traffic_kind").and_then(|at| match at.str()? {
            "idempotent" => Ok(Traffic::Idempotent),
            "mutating" => Ok(Traffic::Mutating),
            other => Err(at.error(format!("is {other:?}; idempotent or mutating"))),
        });
        Self {
            name: faults.get(at.str_or("name", "")).into(),
            host: faults.get(text("host")),
            path_prefix: faults.get(text("path_prefix")),
            traffic: faults.or(traffic, Traffic::Mutating),
            deadline_ms,
            target_latency_ms: faults.get(at.uint_or("target_latency_ms", deadline_ms)),
            priority: faults.get(at.saturating_u32_or("priority", 2)),
            max_tries: faults.get(at.saturating_u32_or("max_tries", 1)),
            shares: shares::gather(at, faults),
        }
    }

    pub(crate) fn to_value(&self) -> JsonValue {
        let traffic = match self.traffic {
            Traffic::Idempotent => "idempotent",
            Traffic::Mutating => "mutating",
        };
        object([
            ("name", string(&self.name)),
            ("host", string(&self.host)),
            ("path_prefix", string(&self.path_prefix)),
            ("traffic_kind", string(traffic)),
            ("deadline_ms", number(self.deadline_ms)),
            ("target_latency_ms", number(self.target_latency_ms)),
            ("priority", number(u64::from(self.priority))),
            ("max_tries", number(u64::from(self.max_tries))),
            shares::to_entry(&self.shares),
        ])
    }

    /// The service for a number drawn anywhere in `u64`, by the weights. None where they sum to 0, which no
    /// route does that was read.
    #[must_use]
    pub fn pick(&self, drawn: u64) -> Option<&CompactString> {
        let sum: u64 = self.shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = drawn.checked_rem(sum)?;
        self.shares.iter().find_map(|(name, weight)| {
            let found = left < u64::from(*weight);
            left = left.saturating_sub(u64::from(*weight));
            found.then_some(name)
        })
    }
}

impl Service {
    pub(crate) fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        at.object()?;
        let mut faults = Gather::default();
        let service = Self::gather(at, &mut faults);
        faults.end(service).map_err(ConfigErrors::into_first)
    }

    fn gather(at: &JsonCursor<'_>, faults: &mut Gather) -> Self {
        Self {
            name: faults.get(at.required("name").and_then(|at| Ok(at.str()?.into()))),
            health_path: faults.get(at.optional("health_path").map(|at| Ok(at.str()?.into())).transpose()),
            max_conns: faults.get(at.saturating_u32_or("max_conns", u32::MAX)),
            protocol: faults.get(at.str_or("protocol", "h1")).into(),
            tls: faults.get(at.boolean_or("tls", false)),
            memory_mb: faults.get(at.uint_or("memory_mb", 128)),
            boot_ms: faults.get(at.uint_or("boot_ms", 1000)),
            concurrency: faults.get(at.saturating_u32_or("concurrency", 1)),
        }
    }

    pub(crate) fn to_value(&self) -> JsonValue {
        object([
            ("name", string(&self.name)),
            ("health_path", self.health_path.as_deref().map_or(JsonValue::Null, string)),
            ("max_conns", number(u64::from(self.max_conns))),
            ("protocol", string(&self.protocol)),
            ("tls", JsonValue::Boolean(self.tls)),
            ("memory_mb", number(self.memory_mb)),
            ("boot_ms", number(self.boot_ms)),
            ("concurrency", number(u64::from(self.concurrency))),
        ])
    }
}

impl Limits {
    pub(crate) fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let mut faults = Gather::default();
        let limits = Self::gather(at, &mut faults);
        faults.end(limits).map_err(ConfigErrors::into_first)
    }

    fn gather(at: &JsonCursor<'_>, faults: &mut Gather) -> Self {
        let other = Self::default();
        if faults.some(at.object()).is_none() {
            return other;
        }
        let mut whole = |key, other| faults.get(at.uint_or(key, other));
        Self {
            max_header_bytes: whole("max_header_bytes", other.max_header_bytes),
            max_body_bytes: whole("max_body_bytes", other.max_body_bytes),
            header_timeout_ms: whole("header_timeout_ms", other.header_timeout_ms),
            idle_timeout_ms: whole("idle_timeout_ms", other.idle_timeout_ms),
        }
    }

    pub(crate) fn to_value(self) -> JsonValue {
        object([
            ("max_header_bytes", number(self.max_header_bytes)),
            ("max_body_bytes", number(self.max_body_bytes)),
            ("header_timeout_ms", number(self.header_timeout_ms)),
            ("idle_timeout_ms", number(self.idle_timeout_ms)),
        ])
    }
}
