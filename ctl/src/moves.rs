//! Moves of tenants between clusters, as the steward knows them: orders, and how they stand.

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

/// An order is judged once its steward has heard of all: its time in touch, and some.
const SILENCE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_secs(1);

/// The order to plan what a file says.
pub fn plan(path: &Path) -> Result<JsonValue, Error> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let read = || {
        let value = values::parse(&text)?;
        Contract::read(&JsonCursor::root(&value))
    };
    let contract = read().map_err(ConfigErrors::from).context(InvalidSnafu { path })?;
    Ok(object([("order", string("plan")), ("contract", contract.to_value())]))
}

/// Another order; `revisions` as FIRST-LAST.
pub fn order(what: &str, name: &str, revisions: Option<&str>) -> Result<JsonValue, Error> {
    let read = |text: &str| {
        let (first, last) = text.split_once('-')?;
        let (first, last): (u64, u64) = (first.parse().ok()?, last.parse().ok()?);
        (first > 0 && first <= last).then(|| object([("first", number(first)), ("last", number(last))]))
    };
    let revisions = match revisions {
        None => JsonValue::Null,
        Some(text) => read(text).ok_or_else(|| {
            let why = format!("--revisions: {text:?} is no range FIRST-LAST");
            UsageSnafu { why }.build()
        })?,
    };
    Ok(object([("order", string(what)), ("name", string(name)), ("revisions", revisions)]))
}

/// Gives an order until its answer is clear: how far the move is then, and who said so.
pub async fn give(controls: &Controls, order: &JsonValue) -> Result<(String, SocketAddr), Error> {
    let body = Bytes::from(write(order));
    let what = "to an order; it may be obeyed or may still be: give it again as it is";
    let (by, status, body) = ask(controls, Method::POST, "/core/moves", body, what).await?;
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

/// Asks the steward, whoever that is, until its answer is clear.
pub async fn ask(
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
        let last = match Status::ask(&controls.all, LOOK).await.steward_at() {
            None => None,
            Some(to) => match once(to, method.clone(), path, body.clone(), SILENCE).await {
                Ok((status, _, body)) if !matches!(status.as_u16(), 409 | 429 | 500..) => {
                    return Ok((to, status.as_u16(), body));
                }
                Ok((status, _, body)) => Some(format!("{to}: {}", describe(status.as_u16(), &body))),
                Err(e) => Some(format!("{to}: {e}")),
            },
        };
        if began.elapsed() + PAUSE >= controls.within {
            return match last {
                Some(last) => UnclearSnafu { what, tries, last }.fail(),
                None => NoStewardSnafu.fail(),
            };
        }
        log::info!("{}; again in {} ms", last.as_deref().unwrap_or("no steward"), PAUSE.as_millis());
        tokio::time::sleep(PAUSE).await;
    }
}

/// How moves stand.
pub struct Moves {
    steward: SocketAddr,
    all: Vec<JsonValue>,
}

impl Moves {
    /// Of all, or of one.
    pub async fn look(controls: &Controls, name: Option<&str>) -> Result<Self, Error> {
        let query = name.map(|name| format!("?name={}", utf8_percent_encode(name, NON_ALPHANUMERIC)));
        let path = format!("/core/moves{}", query.unwrap_or_default());
        let what = "of the steward to how moves stand";
        let (steward, status, body) = ask(controls, Method::GET, &path, Bytes::new(), what).await?;
        let json = millpost_net::messaging::json(&body).filter(|_| status == 200);
        let Some(all) = json.as_ref().and_then(|json| get_list(json, "moves")) else {
            return RefusedSnafu { by: steward, status, why: describe(status, &body) }.fail();
        };
        if let Some(name) = name.filter(|_| all.is_empty()) {
            return NoMoveSnafu { name }.fail();
        }
        Ok(Moves { steward, all: all.to_vec() })
    }

    /// Whether none waits for an operator.
    pub fn is_well(&self) -> bool {
        !self.all.iter().any(|of| get_bool(of, "for_operator") == Some(true))
    }

    /// A line for each.
    pub fn text(&self) -> String {
        if self.all.is_empty() {
            return format!("no move is known to the steward {}\n", self.steward);
        }
        let head = ["move", "step", "for", "age", "loads", "waits for"];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        rows.extend(self.all.iter().map(|of| {
            let word = |key| get_str(of, key).unwrap_or("-").escape_debug().to_string();
            vec![
                word("name"),
                word("step"),
                span(of, "since_ms"),
                span(of, "age_ms"),
                loads(of),
                word("waits"),
            ]
        }));
        table(&rows) + &format!("by the steward {}\n", self.steward)
    }

    /// All of it.
    pub fn explain(&self) -> String {
        let mut lines = Vec::new();
        for of in &self.all {
            let paused = if get_bool(of, "paused") == Some(true) { ", paused" } else { "" };
            lines.push(format!(
                "{}: {}{paused}, for {}",
                word(of, "name"),
                word(of, "step"),
                span(of, "since_ms")
            ));
            lines.push(format!("  because    {}", word(of, "why")));
            if get(of, "waits").is_some_and(|waits| !waits.is_null()) {
                lines.push(format!("  waits for  {}", word(of, "waits")));
            }
            let whole = |of, key| get_u64(of, key).unwrap_or(0);
            lines.push(format!("  loads      {} on the target", loads(of)));
            let (left, needed) = (whole(of, "revisions_left"), whole(of, "revisions_needed"));
            lines.push(format!("  revisions  {left} left; {needed} are needed for all of it"));
            for need in get_list(of, "needs").unwrap_or_default() {
                lines.push(format!("  needs      {} of {}", whole(need, "instances"), word(need, "service")));
            }
            for route in get_list(of, "routes").unwrap_or_default() {
                let (host, prefix) = (word(route, "host"), word(route, "path_prefix"));
                lines.push(format!("  load {:<5} {host} {prefix}", whole(route, "load")));
            }
            for step in get_list(of, "steps").unwrap_or_default() {
                let at = whole(step, "day") as f64 / 1e3;
                let (into, why) = (word(step, "step"), word(step, "why"));
                lines.push(format!("  {at:.3}  fence {}  {into}: {why}", whole(step, "fence")));
            }
        }
        lines.join("\n")
    }

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("steward", string(&self.steward.to_string())),
            ("moves", JsonValue::Array(self.all.clone())),
        ])
    }
}

/// A text, or a dash; what would steer a terminal is left out.
fn word(of: &JsonValue, key: &str) -> String {
    get_str(of, key).unwrap_or("-").chars().filter(|sign| !sign.is_control()).collect()
}

fn span(of: &JsonValue, key: &str) -> String {
    get_u64(of, key).map_or_else(|| "-".to_owned(), |ms| format!("{:.1} s", ms as f64 / 1e3))
}

/// How many are there, of how many.
fn loads(of: &JsonValue) -> String {
    let all = get_u64(of, "loads").unwrap_or(0);
    let on = get_list(of, "loads_on_target").map(|on| on.iter().filter_map(|n| n.get::<f64>()).copied());
    match on.map(Iterator::collect::<Vec<_>>).as_deref() {
        Some([least, most]) if least == most => format!("{least} of {all}"),
        Some([least, most]) => format!("{least} to {most} of {all}"),
        _ => format!("? of {all}"),
    }
}
