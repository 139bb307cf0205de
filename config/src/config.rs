//! The configuration of routes and services: parsed from the operator's text, validated, and printed.
//!
//! Only what the operator's specification calls invalid is rejected; unusual values are accepted as they are.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::fmt::Write;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::error_collector::ErrorCollector;
use crate::routes::host_key;
use crate::values::{self, list, number, object, string};
use crate::{ConfigError, ConfigErrors, JsonCursor, digest, shares};

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The version; the highest one is in force.
    pub revision: u64,
    /// The routes, no two with the same host and prefix.
    pub routes: Vec<Route>,
    /// The services, each name once.
    pub services: Vec<Service>,
    /// What clients may send.
    pub limits: Limits,
}

/// A route: the services for requests with a host and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name, which need not be unique.
    pub name: CompactString,
    /// The host, as the operator wrote it.
    pub host: CompactString,
    /// The path prefix.
    pub path_prefix: CompactString,
    /// Whether a request may run more than once.
    pub traffic: Traffic,
    /// The maximum time to hold a request; at least 1.
    pub deadline_ms: u64,
    /// The latency within which an answer has its full value; the deadline if missing.
    pub target_latency_ms: u64,
    /// The priority, 0 is the highest; 2 if missing.
    pub priority: u32,
    /// The maximum number of endpoints that one try may be sent to, as configured (may be 0); 1 if missing.
    pub max_tries: u32,
    /// The services and their weights. The sum of the weights is above 0.
    pub shares: Vec<(CompactString, u32)>,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once per try.
    Mutating,
}

/// A service whose endpoints are started by the system. Numbers are as configured: each may be 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name.
    pub name: CompactString,
    /// The path of the health check, if there is one.
    pub health_path: Option<CompactString>,
    /// The maximum number of connections of an endpoint, from all callers together; unlimited if missing.
    pub max_conns: u32,
    /// The protocol; `h1` if missing.
    pub protocol: CompactString,
    /// Whether endpoints expect TLS.
    pub tls: bool,
    /// The memory of one endpoint.
    pub memory_mb: u64,
    /// The average time that a start takes.
    pub boot_ms: u64,
    /// The maximum number of concurrent requests of an endpoint; 1 if missing.
    pub concurrency: u32,
}

/// Limits for clients: request sizes, and timeouts for headers and idle connections.
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
    /// Parses and validates a configuration, and reports the first error. Unknown fields are ignored; of
    /// several services with the same name the last one is used.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::parse_collecting_errors(text).map_err(ConfigErrors::into_first)
    }

    /// Parses and validates a configuration, and reports all errors. Checks that depend on an invalid part
    /// are skipped until that part is valid.
    pub fn parse_collecting_errors(text: &str) -> Result<Self, ConfigErrors> {
        Self::read_collecting(&JsonCursor::root(&values::parse(text)?))
    }

    /// Reads and validates a configuration inside a larger document.
    pub fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        Self::read_collecting(at).map_err(ConfigErrors::into_first)
    }

    fn read_collecting(at: &JsonCursor<'_>) -> Result<Self, ConfigErrors> {
        at.object()?;
        let mut errors = ErrorCollector::default();
        let revision = errors.value_or_default(at.required("revision").and_then(|at| at.uint()));
        let mut routes = Vec::new();
        let service_names = service_names(at);
        if let Some(at) = errors.ok(at.required("routes")) {
            let mut checks = CrossChecks { services: service_names, positions: HashMap::new() };
            for (index, at) in errors.ok(at.items()).into_iter().flatten().enumerate() {
                if errors.ok(at.object()).is_none() {
                    continue;
                }
                let route = Route::read_collecting(&at, &mut errors);
                checks.check_route(index, &route, at.value(), &mut errors);
                routes.push(route);
            }
        }
        let mut services: Vec<Service> = Vec::new();
        let mut positions = HashMap::new();
        if let Some(at) = errors.ok(at.required("services")) {
            for at in errors.ok(at.items()).into_iter().flatten() {
                if errors.ok(at.object()).is_none() {
                    continue;
                }
                let service = Service::read_collecting(&at, &mut errors);
                match positions.insert(service.name.clone(), services.len()) {
                    Some(index) => {
                        positions.insert(service.name.clone(), index);
                        services[index] = service;
                    }
                    None => services.push(service),
                }
            }
        }
        let limits = at
            .optional("limits")
            .map_or_else(Limits::default, |at| Limits::read_collecting(&at, &mut errors));
        errors.finish(Self { revision, routes, services, limits })
    }

    /// Validates the constraints across routes and services.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        let services = Some(self.services.iter().map(|service| service.name.as_str()).collect());
        let mut checks = CrossChecks { services, positions: HashMap::with_capacity(self.routes.len()) };
        for (index, route) in self.routes.iter().enumerate() {
            checks.check_services(index, &route.shares)?;
            checks.check_unique(index, &route.host, &route.path_prefix)?;
        }
        Ok(())
    }

    /// Encodes the configuration as a value, with the operator's field names.
    #[must_use]
    pub fn to_value(&self) -> JsonValue {
        object([
            ("revision", number(self.revision)),
            ("routes", list(self.routes.iter().map(Route::to_value))),
            ("services", list(self.services.iter().map(Service::to_value))),
            ("limits", self.limits.to_value()),
        ])
    }

    /// Encodes the configuration as text, which parses to an equal configuration. Unknown fields are not
    /// kept.
    #[must_use]
    pub fn to_json(&self) -> String {
        let list = |parts: &mut dyn Iterator<Item = JsonValue>| {
            let mut out = String::from("[");
            for (index, part) in parts.enumerate() {
                out.push_str(if index == 0 { "" } else { "," });
                values::write_to(&mut out, &part);
            }
            out
        };
        // The output equals that of `values::write`, but the tree of the whole configuration, which needs ten
        // times as much memory as the text, is never built.
        let mut out = format!(r#"{{"limits":{}"#, values::write(&self.limits.to_value()));
        let _ = write!(out, r#","revision":{}"#, self.revision);
        let _ = write!(out, r#","routes":{}]"#, list(&mut self.routes.iter().map(Route::to_value)));
        let _ = write!(out, r#","services":{}]}}"#, list(&mut self.services.iter().map(Service::to_value)));
        out
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the digest of the content; the order of routes and services does not matter. It is the same on
    /// every machine.
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest::digest(self)
    }

    /// Whether both configurations have the same content, in any order.
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

/// Checks across routes and services: whether the services of routes exist, and whether hosts and prefixes
/// are unique.
struct CrossChecks<'a> {
    /// The names of all services; `None` if some name is invalid.
    services: Option<HashSet<&'a str>>,
    positions: HashMap<(Cow<'a, str>, &'a str), usize>,
}

/// Returns the names of all services, or `None` if some name is invalid.
fn service_names<'a>(at: &JsonCursor<'a>) -> Option<HashSet<&'a str>> {
    let services = values::get_list(at.value(), "services")?;
    services.iter().map(|service| values::get_str(service, "name")).collect()
}

impl<'a> CrossChecks<'a> {
    /// Checks the valid fields of a route.
    fn check_route(
        &mut self,
        index: usize,
        route: &Route,
        value: &'a JsonValue,
        errors: &mut ErrorCollector,
    ) {
        errors.value_or_default(self.check_services(index, &route.shares));
        let text = |key| values::get_str(value, key);
        if let (Some(host), Some(prefix)) = (text("host"), text("path_prefix")) {
            errors.value_or_default(self.check_unique(index, host, prefix));
        }
    }

    /// Checks that all services of a route exist.
    fn check_services(&self, index: usize, shares: &[(CompactString, u32)]) -> Result<(), ConfigError> {
        let Some(services) = &self.services else { return Ok(()) };
        match shares.iter().find(|(name, _)| !services.contains(name.as_str())) {
            Some((name, _)) => {
                let path = format!("routes[{index}].service");
                Err(ConfigError::Field { path, reason: format!("is {name:?}, which is no service") })
            }
            None => Ok(()),
        }
    }

    /// Checks that no earlier route has the same host and prefix.
    fn check_unique(&mut self, index: usize, host: &'a str, prefix: &'a str) -> Result<(), ConfigError> {
        match self.positions.insert((host_key(host), prefix), index) {
            Some(other) => {
                let path = format!("routes[{index}].path_prefix");
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
        let mut errors = ErrorCollector::default();
        let route = Self::read_collecting(at, &mut errors);
        errors.finish(route).map_err(ConfigErrors::into_first)
    }

    fn read_collecting(at: &JsonCursor<'_>, errors: &mut ErrorCollector) -> Self {
        let text = |key| at.required(key).and_then(|at| Ok(CompactString::from(at.str()?)));
        let deadline = at.required("deadline_ms").and_then(|at| match at.uint()? {
            0 => Err(at.error("is 0; at least 1")),
            deadline => Ok(deadline),
        });
        let deadline_ms = errors.value_or_default(deadline);
        let traffic = at.required("traffic_kind").and_then(|at| match at.str()? {
            "idempotent" => Ok(Traffic::Idempotent),
            "mutating" => Ok(Traffic::Mutating),
            other => Err(at.error(format!("is {other:?}; idempotent or mutating"))),
        });
        Self {
            name: errors.value_or_default(at.str_or("name", "")).into(),
            host: errors.value_or_default(text("host")),
            path_prefix: errors.value_or_default(text("path_prefix")),
            traffic: errors.value_or(traffic, Traffic::Mutating),
            deadline_ms,
            target_latency_ms: errors.value_or_default(at.uint_or("target_latency_ms", deadline_ms)),
            priority: errors.value_or_default(at.saturating_u32_or("priority", 2)),
            max_tries: errors.value_or_default(at.saturating_u32_or("max_tries", 1)),
            shares: shares::read_collecting(at, errors),
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

    /// Selects a service by weight with a number drawn uniformly from the whole range of `u64`. Returns `None`
    /// if the weights sum to 0, which a validated route never does.
    #[must_use]
    pub fn pick(&self, random: u64) -> Option<&CompactString> {
        let sum: u64 = self.shares.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = random.checked_rem(sum)?;
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
        let mut errors = ErrorCollector::default();
        let service = Self::read_collecting(at, &mut errors);
        errors.finish(service).map_err(ConfigErrors::into_first)
    }

    fn read_collecting(at: &JsonCursor<'_>, errors: &mut ErrorCollector) -> Self {
        Self {
            name: errors.value_or_default(at.required("name").and_then(|at| Ok(at.str()?.into()))),
            health_path: errors
                .value_or_default(at.optional("health_path").map(|at| Ok(at.str()?.into())).transpose()),
            max_conns: errors.value_or_default(at.saturating_u32_or("max_conns", u32::MAX)),
            protocol: errors.value_or_default(at.str_or("protocol", "h1")).into(),
            tls: errors.value_or_default(at.boolean_or("tls", false)),
            memory_mb: errors.value_or_default(at.uint_or("memory_mb", 128)),
            boot_ms: errors.value_or_default(at.uint_or("boot_ms", 1000)),
            concurrency: errors.value_or_default(at.saturating_u32_or("concurrency", 1)),
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
        let mut errors = ErrorCollector::default();
        let limits = Self::read_collecting(at, &mut errors);
        errors.finish(limits).map_err(ConfigErrors::into_first)
    }

    fn read_collecting(at: &JsonCursor<'_>, errors: &mut ErrorCollector) -> Self {
        let defaults = Self::default();
        if errors.ok(at.object()).is_none() {
            return defaults;
        }
        let mut uint_or = |key, default| errors.value_or_default(at.uint_or(key, default));
        Self {
            max_header_bytes: uint_or("max_header_bytes", defaults.max_header_bytes),
            max_body_bytes: uint_or("max_body_bytes", defaults.max_body_bytes),
            header_timeout_ms: uint_or("header_timeout_ms", defaults.header_timeout_ms),
            idle_timeout_ms: uint_or("idle_timeout_ms", defaults.idle_timeout_ms),
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
