//! What operators take out for a while, a stall or a worker: orders, and how that stands.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use millpost_config::values::{get_bool, get_list, get_str, get_u64, list, number, object, string, write};
use tinyjson::JsonValue;

use crate::errors::{Error, RefusedSnafu};
use crate::http::{Controls, describe, seconds};
use crate::moves::ask;
use crate::status::table;

const PATH: &str = "/core/drains";

/// The order to take something out for so many seconds.
pub fn out(what: &str, name: &str, lasts: f64) -> Result<JsonValue, Error> {
    let lasts = seconds("--for", lasts)?.as_millis().min(u128::from(u32::MAX)) as u64;
    Ok(object([
        ("order", string("drain")),
        ("what", string(what)),
        ("name", string(name)),
        ("for_ms", number(lasts)),
    ]))
}

/// The order to let it back.
pub fn undo(what: &str, name: &str) -> JsonValue {
    object([("order", string("undo")), ("what", string(what)), ("name", string(name))])
}

/// What is out.
pub struct Drains {
    steward: SocketAddr,
    all: Vec<JsonValue>,
}

impl Drains {
    /// Gives an order until its answer is clear; what is out then.
    pub async fn order(controls: &Controls, order: &JsonValue) -> Result<Self, Error> {
        let what = "to an order; it may be obeyed: look at `drain status`, or give it again as it is";
        Drains::read(ask(controls, Method::POST, PATH, Bytes::from(write(order)), what).await?)
    }

    /// Asks what is out.
    pub async fn look(controls: &Controls) -> Result<Self, Error> {
        let what = "of the steward to what is out";
        Drains::read(ask(controls, Method::GET, PATH, Bytes::new(), what).await?)
    }

    fn read((steward, status, body): (SocketAddr, u16, Bytes)) -> Result<Self, Error> {
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

    /// Whether all stalls that are out know it.
    pub fn is_well(&self) -> bool {
        !self.all.iter().any(is_deaf)
    }

    /// A line for each.
    pub fn text(&self) -> String {
        if self.all.is_empty() {
            return format!("nothing is out, says the steward {}\n", self.steward);
        }
        let mut rows = vec![["what", "name", "zone", "left", "state"].map(str::to_owned).to_vec()];
        rows.extend(self.all.iter().map(|of| {
            let part = |key| get_str(of, key).unwrap_or("-").escape_debug().to_string();
            let left = format!("{:.0} s", get_u64(of, "left_ms").unwrap_or(0) as f64 / 1e3);
            vec![part("what"), part("name"), part("zone"), left, state(of)]
        }));
        table(&rows) + &format!("by the steward {}\n", self.steward)
    }

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("steward", string(&self.steward.to_string())),
            ("drains", list(self.all.iter().cloned())),
            ("well", JsonValue::Boolean(self.is_well())),
        ])
    }
}

fn is_deaf(of: &JsonValue) -> bool {
    get_bool(of, "undone") != Some(true) && get_bool(of, "rests") == Some(false)
}

fn state(of: &JsonValue) -> String {
    let on = |key| get_bool(of, key) == Some(true);
    match (get_str(of, "what"), get_u64(of, "instances")) {
        _ if on("undone") && on("rests") => "undone; it has not heard of that yet".to_owned(),
        _ if on("undone") => "undone".to_owned(),
        (Some("worker"), Some(0)) => "empty".to_owned(),
        (Some("worker"), Some(count)) => format!("takes no starts; {count} instances left"),
        _ if is_deaf(of) => "NOT TOLD: its stall does not say that it rests".to_owned(),
        _ if on("owns") => "not ready; owns functions still".to_owned(),
        _ => "out: not ready, owns nothing".to_owned(),
    }
}
