//! Operators' requests: contracts, which describe a tenant's move, and orders about moves.
//!
//! Invariant: a parsed contract is within the size limits, and so is the record of moves made from it.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_config::values::{list, number, object, string, write};
use millpost_config::{ConfigError, JsonCursor};
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 128;
/// Limit on each of the hosts, routes and services of a contract.
pub(crate) const MAX_ROUTES: usize = 1_000;
/// Limit on the loads of a move, each of which is a configuration sent to all proxies.
pub(crate) const MAX_LOADS: u32 = 50;

/// Limits of a move; it rolls back by itself when it exceeds one.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time for the target to become warm.
    pub warm_ms: u64,
    /// Time for all connected proxies to apply a load.
    pub ack_ms: u64,
    /// How long the target may be past its latency threshold, or refuse more than `most_refused`.
    pub patience_ms: u64,
    /// Fraction of the target's requests that may be refused.
    pub most_refused: f64,
    /// Maximum age of a move that is not paused, counted from when it was opened.
    pub most_age_ms: u64,
    /// Limit on the memory of all instances started for the move; unlimited if omitted.
    pub most_memory_mb: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            warm_ms: 20_000,
            ack_ms: 10_000,
            patience_ms: 3_000,
            most_refused: 0.05,
            most_age_ms: 600_000,
            most_memory_mb: None,
        }
    }
}

/// A request to move a tenant's routes to other services.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// The name of the move.
    pub name: CompactString,
    /// Hosts all of whose routes with a service listed in `services` are moved.
    pub hosts: Vec<CompactString>,
    /// Further routes to move, by host and path prefix.
    pub routes: Vec<(CompactString, CompactString)>,
    /// Source services, and the target service that replaces each.
    pub services: BTreeMap<CompactString, CompactString>,
    /// Number of loads: the batches in which the routes are switched.
    pub loads: u32,
    /// Limits past which the move rolls back.
    pub bounds: Bounds,
}

/// An operator's order about a move.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Check a contract and record it as a move.
    Plan(Contract),
    /// Start the move, or resume it after a pause; optionally with the first and the last revision reserved
    /// for it.
    Start(CompactString, Option<(u64, u64)>),
    /// Pause the move: switch no further load.
    Pause(CompactString),
    /// Roll the move back; revisions as for `Start`.
    Rollback(CompactString, Option<(u64, u64)>),
}

impl Order {
    /// The name of the move that the order is about.
    pub fn name(&self) -> &CompactString {
        match self {
            Order::Plan(contract) => &contract.name,
            Order::Start(name, _) | Order::Pause(name) | Order::Rollback(name, _) => name,
        }
    }

    /// Parses an order; its `order` field is `plan`, `start`, `pause` or `back`.
    pub fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let kind = at.required("order")?;
        match kind.str()? {
            "plan" => Ok(Order::Plan(Contract::read(&at.required("contract")?)?)),
            "start" => Ok(Order::Start(move_name(at)?, revision_range(at)?)),
            "pause" => Ok(Order::Pause(move_name(at)?)),
            "back" => Ok(Order::Rollback(move_name(at)?, revision_range(at)?)),
            other => Err(kind.error(format!("unknown order {other:?}; expected plan, start, pause or back"))),
        }
    }
}

fn short_text(at: &JsonCursor<'_>) -> Result<CompactString, ConfigError> {
    match at.str()? {
        "" => Err(at.error("is empty")),
        text if text.len() > MAX_NAME => Err(at.error(format!("is longer than {MAX_NAME} bytes"))),
        text => Ok(text.into()),
    }
}

fn move_name(at: &JsonCursor<'_>) -> Result<CompactString, ConfigError> {
    short_text(&at.required("name")?)
}

fn revision_range(at: &JsonCursor<'_>) -> Result<Option<(u64, u64)>, ConfigError> {
    let Some(range) = at.optional("revisions") else { return Ok(None) };
    let (first, last) = (range.required("first")?.uint()?, range.required("last")?.uint()?);
    if first == 0 || last < first {
        return Err(range.error("is not a range of revisions"));
    }
    Ok(Some((first, last)))
}

/// Reads the items of an optional list.
fn items<T>(
    at: &JsonCursor<'_>,
    key: &str,
    read: impl Fn(&JsonCursor<'_>) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    let Some(at) = at.optional(key) else { return Ok(Vec::new()) };
    if at.items()?.len() > MAX_ROUTES {
        return Err(at.error(format!("has more than {MAX_ROUTES} entries")));
    }
    at.items()?.map(|at| read(&at)).collect()
}

impl Contract {
    /// Parses a contract.
    pub fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let route = |at: &JsonCursor<'_>| {
            let prefix = at.required("path_prefix")?;
            let text = prefix.str()?;
            if text.len() > 2 * MAX_NAME {
                return Err(prefix.error("is too long"));
            }
            Ok((short_text(&at.required("host")?)?, text.into()))
        };
        let services = at.required("services")?;
        let entries = services.entries()?;
        if entries.len() > MAX_ROUTES {
            return Err(services.error(format!("has more than {MAX_ROUTES} entries")));
        }
        let service = |(from, to): (&str, JsonCursor<'_>)| Ok((from.into(), short_text(&to)?));
        Ok(Self {
            name: move_name(at)?,
            hosts: items(at, "hosts", short_text)?,
            routes: items(at, "routes", route)?,
            services: entries.into_iter().map(service).collect::<Result<_, _>>()?,
            loads: at.saturating_u32_or("loads", 1)?,
            bounds: at.optional("bounds").map_or_else(|| Ok(Bounds::default()), |at| Bounds::read(&at))?,
        })
    }

    /// Encodes the contract as a JSON value that reads back equal.
    #[must_use]
    pub fn to_value(&self) -> JsonValue {
        let route = |(host, prefix): &(CompactString, CompactString)| {
            object([("host", string(host)), ("path_prefix", string(prefix))])
        };
        let services = self.services.iter().map(|(from, to)| (from.to_string(), string(to))).collect();
        object([
            ("name", string(&self.name)),
            ("hosts", list(self.hosts.iter().map(|host| string(host)))),
            ("routes", list(self.routes.iter().map(route))),
            ("services", JsonValue::Object(services)),
            ("loads", number(self.loads.into())),
            ("bounds", self.bounds.to_value()),
        ])
    }

    /// Hash that distinguishes contracts of the same name; 32 bits, since a number in JSON holds 53 bits.
    pub(crate) fn content_hash(&self) -> u32 {
        xxh3_64(write(&self.to_value()).as_bytes()) as u32
    }
}

impl Bounds {
    pub(crate) fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let defaults = Self::default();
        at.object()?;
        Ok(Self {
            warm_ms: at.uint_or("warm_ms", defaults.warm_ms)?,
            ack_ms: at.uint_or("ack_ms", defaults.ack_ms)?,
            patience_ms: at.uint_or("patience_ms", defaults.patience_ms)?,
            most_refused: at.non_negative_or("most_refused", defaults.most_refused)?,
            most_age_ms: at.uint_or("most_age_ms", defaults.most_age_ms)?,
            most_memory_mb: at.optional("most_memory_mb").map(|at| at.uint()).transpose()?,
        })
    }

    pub(crate) fn to_value(&self) -> JsonValue {
        object([
            ("warm_ms", number(self.warm_ms)),
            ("ack_ms", number(self.ack_ms)),
            ("patience_ms", number(self.patience_ms)),
            ("most_refused", JsonValue::Number(self.most_refused)),
            ("most_age_ms", number(self.most_age_ms)),
            ("most_memory_mb", self.most_memory_mb.map_or(JsonValue::Null, number)),
        ])
    }
}
