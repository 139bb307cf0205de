//! Drains: orders that take an edge machine's stall or a worker out of service for a while, and their status.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use millpost_config::values::{get_bool, get_list, get_str, get_u64, list, number, object, string, write};
use tinyjson::JsonValue;

use crate::errors::{Error, RefusedSnafu};
use crate::http::{Controls, describe, seconds};
use crate::moves::call_steward;
use crate::status::table;

const PATH: &str = "/core/drains";

/// The order to drain something for `duration_s` seconds.
pub fn start(what: &str, name: &str, duration_s: f64) -> Result<JsonValue, Error> {
    let duration_ms = seconds("--for", duration_s)?.as_millis().min(u128::from(u32::MAX)) as u64;
    Ok(object([
        ("order", string("drain")),
        ("what", string(what)),
        ("name", string(name)),
        ("for_ms", number(duration_ms)),
    ]))
}

/// The order to end a drain early.
pub fn undo(what: &str, name: &str) -> JsonValue {
    object([("order", string("undo")), ("what", string(what)), ("name", string(name))])
}

/// The current drains.
pub struct Drains {
    steward: SocketAddr,
    all: Vec<JsonValue>,
}

impl Drains {
    /// Sends an order until it gets a definite answer; returns the drains after it.
    pub async fn order(controls: &Controls, order: &JsonValue) -> Result<Self, Error> {
        let what = "to an order; it may have taken effect: see `drain status`, or repeat the same order";
        Drains::parse(call_steward(controls, Method::POST, PATH, Bytes::from(write(order)), what).await?)
    }

    /// Reads the current drains.
    pub async fn read(controls: &Controls) -> Result<Self, Error> {
        let what = "to a request for the drains";
        Drains::parse(call_steward(controls, Method::GET, PATH, Bytes::new(), what).await?)
    }

    fn parse((steward, status, body): (SocketAddr, u16, Bytes)) -> Result<Self, Error> {
        let json = millpost_net::messaging::json(&body);
        match json.as_ref().and_then(|json| get_list(json, "drains")) {
            Some(all) if status == 200 => Ok(Drains { steward, all: all.to_vec() }),
            _ => {
                let why = json.as_ref().and_then(|json| get_list(json, "why")).unwrap_or_default();
                let why: Vec<_> = why.iter().filter_map(|r| r.get::<String>()).map(String::as_str).collect();
                let why = if why.is_empty() { describe(status, &body) } else { why.join("\n") };
                RefusedSnafu { by: steward, status, why }.fail()
            }
        }
    }

    /// Whether all drained stalls have applied their drain.
    pub fn is_well(&self) -> bool {
        !self.all.iter().any(is_not_applied)
    }

    /// A table with a line for each drain.
    pub fn text(&self) -> String {
        if self.all.is_empty() {
            return format!("nothing is drained, by the steward {}\n", self.steward);
        }
        let mut rows = vec![["what", "name", "zone", "left", "state"].map(str::to_owned).to_vec()];
        rows.extend(self.all.iter().map(|drain| {
            let part = |key| get_str(drain, key).unwrap_or("-").escape_debug().to_string();
            let left = format!("{:.0} s", get_u64(drain, "left_ms").unwrap_or(0) as f64 / 1e3);
            vec![part("what"), part("name"), part("zone"), left, state(drain)]
        }));
        table(&rows) + &format!("by the steward {}\n", self.steward)
    }

    /// Encodes the drains as JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("steward", string(&self.steward.to_string())),
            ("drains", list(self.all.iter().cloned())),
            ("well", JsonValue::Boolean(self.is_well())),
        ])
    }
}

fn is_not_applied(drain: &JsonValue) -> bool {
    get_bool(drain, "undone") != Some(true) && get_bool(drain, "rests") == Some(false)
}

fn state(drain: &JsonValue) -> String {
    let on = |key| get_bool(drain, key) == Some(true);
    match (get_str(drain, "what"), get_u64(drain, "instances")) {
        _ if on("undone") && on("rests") => "undone; the stall has not applied that yet".to_owned(),
        _ if on("undone") => "undone".to_owned(),
        (Some("worker"), Some(0)) => "empty".to_owned(),
        (Some("worker"), Some(count)) => format!("takes no starts; {count} instances left"),
        _ if is_not_applied(drain) => "NOT APPLIED: the stall does not report that it is drained".to_owned(),
        _ if on("owns") => "not ready; still owns functions".to_owned(),
        _ => "drained: not ready, owns no functions".to_owned(),
    }
}
