//! What operators ask for: a contract that is to change hands, and orders about it. Invariant: what is read is within its bounds, so that a
//! record of moves is.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_config::values::{list, number, object, string, write};
use millpost_config::{ConfigError, JsonCursor};
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a name.
const MAX_NAME: usize = 128;
/// Hosts, routes and services that a contract names.
pub(crate) const MAX_ROUTES: usize = 1_000;
/// Loads of a move: each is a configuration that goes to all.
pub(crate) const MAX_LOADS: u32 = 50;

/// Within what a move has to keep; past them it turns back by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The target is warm within this.
    pub warm_ms: u64,
    /// All in touch act on a load within this.
    pub ack_ms: u64,
    /// The target may be past its thresholds, or refuse too much, for so long.
    pub patience_ms: u64,
    /// Of what the target is asked for, so much may be refused.
    pub most_refused: f64,
    /// A move that is not paused ends within this.
    pub most_age_ms: u64,
    /// Instances that are started for the move take so much at most; no bound where left out.
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

/// A tenant and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// The move's name.
    pub name: CompactString,
    /// Hosts, of which all routes go that have a service which is left.
    pub hosts: Vec<CompactString>,
    /// Routes, by host and prefix.
    pub routes: Vec<(CompactString, CompactString)>,
    /// Which service takes the place of which.
    pub services: BTreeMap<CompactString, CompactString>,
    /// Steps in which the routes go.
    pub loads: u32,
    /// What it has to keep within.
    pub bounds: Bounds,
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// A move is to be checked and kept.
    Plan(Contract),
    /// It begins, or goes on after a pause; with revisions that are its own from now on, from the first to the last.
    Start(CompactString, Option<(u64, u64)>),
    /// No further load goes.
    Pause(CompactString),
    /// It turns back; revisions as above.
    Rollback(CompactString, Option<(u64, u64)>),
}

impl Order {
    /// The move that is meant.
    pub fn name(&self) -> &CompactString {
        match self {
            Order::Plan(contract) => &contract.name,
            Order::Start(name, _) | Order::Pause(name) | Order::Rollback(name, _) => name,
        }
    }

    /// Reads one: `order` is `plan`, `start`, `pause` or `back`.
    pub fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let kind = at.required("order")?;
        match kind.str()? {
            "plan" => Ok(Order::Plan(Contract::read(&at.required("contract")?)?)),
            "start" => Ok(Order::Start(named(at)?, revision_range(at)?)),
            "pause" => Ok(Order::Pause(named(at)?)),
            "back" => Ok(Order::Rollback(named(at)?, revision_range(at)?)),
            other => Err(kind.error(format!("is {other:?}; plan, start, pause or back"))),
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

fn named(at: &JsonCursor<'_>) -> Result<CompactString, ConfigError> {
    short_text(&at.required("name")?)
}

fn revision_range(at: &JsonCursor<'_>) -> Result<Option<(u64, u64)>, ConfigError> {
    let Some(numbers) = at.optional("revisions") else { return Ok(None) };
    let (first, last) = (numbers.required("first")?.uint()?, numbers.required("last")?.uint()?);
    if first == 0 || last < first {
        return Err(numbers.error("is no range of revisions"));
    }
    Ok(Some((first, last)))
}

/// The items of a list that may be left out.
fn items<T>(
    at: &JsonCursor<'_>,
    key: &str,
    read: impl Fn(&JsonCursor<'_>) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    let Some(at) = at.optional(key) else { return Ok(Vec::new()) };
    if at.items()?.len() > MAX_ROUTES {
        return Err(at.error(format!("are more than {MAX_ROUTES}")));
    }
    at.items()?.map(|at| read(&at)).collect()
}

impl Contract {
    /// Reads one.
    pub fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let place = |at: &JsonCursor<'_>| {
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
            return Err(services.error(format!("are more than {MAX_ROUTES}")));
        }
        let service = |(from, to): (&str, JsonCursor<'_>)| Ok((from.into(), short_text(&to)?));
        Ok(Self {
            name: named(at)?,
            hosts: items(at, "hosts", short_text)?,
            routes: items(at, "routes", place)?,
            services: entries.into_iter().map(service).collect::<Result<_, _>>()?,
            loads: at.saturating_u32_or("loads", 1)?,
            bounds: at.optional("bounds").map_or_else(|| Ok(Bounds::default()), |at| Bounds::read(&at))?,
        })
    }

    /// As a value, which reads back equal.
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

    /// What tells it from others of its name; half of it, since a number in JSON holds 53 bits.
    pub(crate) fn content_hash(&self) -> u32 {
        xxh3_64(write(&self.to_value()).as_bytes()) as u32
    }
}

impl Bounds {
    pub(crate) fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let other = Self::default();
        at.object()?;
        Ok(Self {
            warm_ms: at.uint_or("warm_ms", other.warm_ms)?,
            ack_ms: at.uint_or("ack_ms", other.ack_ms)?,
            patience_ms: at.uint_or("patience_ms", other.patience_ms)?,
            most_refused: at.non_negative_or("most_refused", other.most_refused)?,
            most_age_ms: at.uint_or("most_age_ms", other.most_age_ms)?,
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
