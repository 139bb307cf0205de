//! Moves of tenants between clusters: orders to the steward, and their status.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use millpost_config::values::{get, get_bool, get_list, get_str, get_u64, number, object, string, write};
use millpost_config::{ConfigErrors, JsonCursor, values};
use millpost_migration::Contract;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use snafu::ResultExt;
use tinyjson::JsonValue;

use crate::errors::{
    Error, FileSnafu, InvalidSnafu, NoMoveSnafu, NoStewardSnafu, RefusedSnafu, UnclearSnafu, UsageSnafu,
};
use crate::http::{Controls, describe, once};
use crate::status::{Status, table};

/// Time-out of a call. The steward answers an order once it has heard from all proxies, which takes up to its
/// contact time-out and some seconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time-out for finding the steward.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The order to plan the contract in a file.
pub fn plan(path: &Path) -> Result<JsonValue, Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let read = || {
        let value = values::parse(&text)?;
        Contract::read(&JsonCursor::root(&value))
    };
    let contract = read().map_err(ConfigErrors::from).context(InvalidSnafu { path })?;
    Ok(object([("order", string("plan")), ("contract", contract.to_value())]))
}

/// An order other than `plan`; `revisions` is FIRST-LAST.
pub fn order(what: &str, name: &str, revisions: Option<&str>) -> Result<JsonValue, Error> {
    let read = |text: &str| {
        let (first, last) = text.split_once('-')?;
        let (first, last): (u64, u64) = (first.parse().ok()?, last.parse().ok()?);
        (first > 0 && first <= last).then(|| object([("first", number(first)), ("last", number(last))]))
    };
    let revisions = match revisions {
        None => JsonValue::Null,
        Some(text) => read(text).ok_or_else(|| {
            let why = format!("--revisions: {text:?} is not a range FIRST-LAST");
            UsageSnafu { why }.build()
        })?,
    };
    Ok(object([("order", string(what)), ("name", string(name)), ("revisions", revisions)]))
}

/// Sends an order until it gets a definite answer. Returns the state of the move and the steward that
/// answered.
pub async fn send_order(controls: &Controls, order: &JsonValue) -> Result<(String, SocketAddr), Error> {
    let body = Bytes::from(write(order));
    let what = "to an order; it may have taken effect or may still do so: repeat the same order";
    let (by, status, body) = call_steward(controls, Method::POST, "/core/moves", body, what).await?;
    let json = millpost_net::messaging::json(&body);
    let step = json.as_ref().and_then(|json| get_str(json, "step"));
    match step {
        Some(step) if status == 200 => Ok((step.to_owned(), by)),
        _ => {
            let reasons = json.as_ref().and_then(|json| get_list(json, "why")).unwrap_or_default();
            let reasons: Vec<_> =
                reasons.iter().filter_map(|r| r.get::<String>()).map(String::as_str).collect();
            let why = if reasons.is_empty() { describe(status, &body) } else { reasons.join("\n") };
            RefusedSnafu { by, status, why }.fail()
        }
    }
}

/// Finds the steward and calls it until the answer is definite.
pub async fn call_steward(
    controls: &Controls,
    method: Method,
    path: &str,
    body: Bytes,
    what: &'static str,
) -> Result<(SocketAddr, u16, Bytes), Error> {
    let began = Instant::now();
    let mut tries = 0_u32;
    loop {
        tries += 1;
        let last = match Status::ask(&controls.all, STATUS_TIMEOUT).await.steward_at() {
            None => None,
            Some(to) => match once(to, method.clone(), path, body.clone(), CALL_TIMEOUT).await {
                Ok((status, _, body)) if !matches!(status.as_u16(), 409 | 429 | 500..) => {
                    return Ok((to, status.as_u16(), body));
                }
                Ok((status, _, body)) => Some(format!("{to}: {}", describe(status.as_u16(), &body))),
                Err(e) => Some(format!("{to}: {e}")),
            },
        };
        if began.elapsed() + RETRY_PAUSE >= controls.within {
            return match last {
                Some(last) => UnclearSnafu { what, tries, last }.fail(),
                None => NoStewardSnafu.fail(),
            };
        }
        log::info!("{}; retrying in {} ms", last.as_deref().unwrap_or("no steward"), RETRY_PAUSE.as_millis());
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The status of moves.
pub struct Moves {
    steward: SocketAddr,
    all: Vec<JsonValue>,
}

impl Moves {
    /// Reads the status of all moves, or of the named one.
    pub async fn read(controls: &Controls, name: Option<&str>) -> Result<Self, Error> {
        let query = name.map(|name| format!("?name={}", utf8_percent_encode(name, NON_ALPHANUMERIC)));
        let path = format!("/core/moves{}", query.unwrap_or_default());
        let what = "to a request for the status of moves";
        let (steward, status, body) = call_steward(controls, Method::GET, &path, Bytes::new(), what).await?;
        let json = millpost_net::messaging::json(&body).filter(|_| status == 200);
        let Some(all) = json.as_ref().and_then(|json| get_list(json, "moves")) else {
            return RefusedSnafu { by: steward, status, why: describe(status, &body) }.fail();
        };
        if let Some(name) = name.filter(|_| all.is_empty()) {
            return NoMoveSnafu { name }.fail();
        }
        Ok(Moves { steward, all: all.to_vec() })
    }

    /// Whether no move waits for an operator.
    pub fn is_well(&self) -> bool {
        !self.all.iter().any(|value| get_bool(value, "for_operator") == Some(true))
    }

    /// A table with a line for each move.
    pub fn text(&self) -> String {
        if self.all.is_empty() {
            return format!("no move is known to the steward {}\n", self.steward);
        }
        let head = ["move", "step", "for", "age", "loads", "waits for"];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        rows.extend(self.all.iter().map(|value| {
            let text = |key| get_str(value, key).unwrap_or("-").escape_debug().to_string();
            vec![
                text("name"),
                text("step"),
                duration(value, "since_ms"),
                duration(value, "age_ms"),
                loads(value),
                text("waits"),
            ]
        }));
        table(&rows) + &format!("by the steward {}\n", self.steward)
    }

    /// All details of the moves: routes, steps and what each waits for.
    pub fn explain(&self) -> String {
        let mut lines = Vec::new();
        for value in &self.all {
            let paused = if get_bool(value, "paused") == Some(true) { ", paused" } else { "" };
            lines.push(format!(
                "{}: {}{paused}, for {}",
                printable(value, "name"),
                printable(value, "step"),
                duration(value, "since_ms")
            ));
            lines.push(format!("  because    {}", printable(value, "why")));
            if get(value, "waits").is_some_and(|waits| !waits.is_null()) {
                lines.push(format!("  waits for  {}", printable(value, "waits")));
            }
            let count = |value, key| get_u64(value, key).unwrap_or(0);
            lines.push(format!("  loads      {} on the target", loads(value)));
            let (left, needed) = (count(value, "revisions_left"), count(value, "revisions_needed"));
            lines.push(format!("  revisions  {left} left; {needed} are needed for the whole move"));
            for need in get_list(value, "needs").unwrap_or_default() {
                lines.push(format!(
                    "  needs      {} of {}",
                    count(need, "instances"),
                    printable(need, "service")
                ));
            }
            for route in get_list(value, "routes").unwrap_or_default() {
                let (host, prefix) = (printable(route, "host"), printable(route, "path_prefix"));
                lines.push(format!("  load {:<5} {host} {prefix}", count(route, "load")));
            }
            for step in get_list(value, "steps").unwrap_or_default() {
                let at = count(step, "day") as f64 / 1e3;
                let (into, why) = (printable(step, "step"), printable(step, "why"));
                lines.push(format!("  {at:.3}  fence {}  {into}: {why}", count(step, "fence")));
            }
        }
        lines.join("\n")
    }

    /// Encodes the moves as JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("steward", string(&self.steward.to_string())),
            ("moves", JsonValue::Array(self.all.clone())),
        ])
    }
}

/// A text without control characters, or a dash if it is missing.
fn printable(value: &JsonValue, key: &str) -> String {
    get_str(value, key).unwrap_or("-").chars().filter(|c| !c.is_control()).collect()
}

/// A duration in seconds, or a dash if it is missing.
fn duration(value: &JsonValue, key: &str) -> String {
    get_u64(value, key).map_or_else(|| "-".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1e3))
}

/// The number of loads on the target, or its possible range, out of all loads.
fn loads(value: &JsonValue) -> String {
    let all = get_u64(value, "loads").unwrap_or(0);
    let on = get_list(value, "loads_on_target").map(|on| on.iter().filter_map(|n| n.get::<f64>()).copied());
    match on.map(Iterator::collect::<Vec<_>>).as_deref() {
        Some([least, most]) if least == most => format!("{least} of {all}"),
        Some([least, most]) => format!("{least} to {most} of {all}"),
        _ => format!("? of {all}"),
    }
}
