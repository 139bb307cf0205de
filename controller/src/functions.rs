//! The state of functions, for operators, in pages: `GET /core/functions`.

use hyper::StatusCode;
use millpost_autoscaler::Nanos;
use millpost_autoscaler::scaler::view::{FunctionSummary, InstanceSummary, PendingStart, ZoneTarget};
use millpost_net::messaging::Reply;
use millpost_protocol::{object, text};
use percent_encoding::percent_decode_str;
use tinyjson::JsonValue;

use crate::errors::CallError;
use crate::leader::Leader;

/// Number of functions in a reply by default, and at most.
const DEFAULT_PAGE: usize = 200;
const MAX_PAGE: usize = 500;

/// The query of a call.
#[derive(Debug, Default, PartialEq)]
struct FunctionsQuery {
    name: Option<String>,
    instance: Option<String>,
    after: Option<String>,
    limit: usize,
}

impl FunctionsQuery {
    fn parse(input: &str) -> Result<Self, CallError> {
        let mut query = FunctionsQuery { limit: DEFAULT_PAGE, ..FunctionsQuery::default() };
        for part in input.split('&').filter(|part| !part.is_empty()) {
            let (key, value) = part.split_once('=').unwrap_or((part, ""));
            let invalid = |reason: &str| CallError::Invalid(format!("{key}: {reason}"));
            let text = percent_decode_str(value).decode_utf8().map_err(|_| invalid("is no UTF-8"))?;
            match key {
                "name" => query.name = Some(text.into_owned()),
                "instance" => query.instance = Some(text.into_owned()),
                "after" => query.after = Some(text.into_owned()),
                "most" => {
                    let limit = text.parse().ok().filter(|limit| (1..=MAX_PAGE).contains(limit));
                    query.limit = limit.ok_or_else(|| invalid(&format!("a number from 1 to {MAX_PAGE}")))?;
                }
                _ => return Err(invalid("is not known; name, instance, after or most")),
            }
        }
        Ok(query)
    }
}

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

fn optional<T>(value: Option<T>, of: impl Fn(T) -> JsonValue) -> JsonValue {
    value.map_or(JsonValue::Null, of)
}

fn start(of: &PendingStart) -> JsonValue {
    object([
        ("worker", text(&of.worker)),
        ("nonce", text(&of.nonce)),
        ("sent_ms_ago", optional(of.sent_ms_ago, number)),
        ("failed", number(of.failed.into())),
    ])
}

fn lot(of: &ZoneTarget, function: &str, leader: &Leader) -> JsonValue {
    object([
        ("zone", text(&of.zone)),
        ("owner", optional(leader.owner(function, &of.zone), text)),
        ("wanted", number(of.wanted.into())),
        ("live", number(of.live as u64)),
        ("hold", text(of.hold.as_str())),
        ("hold_ms", optional(of.hold.left_ms(), number)),
    ])
}

fn instance(of: &InstanceSummary) -> JsonValue {
    object([
        ("id", text(&of.id)),
        ("address", text(&of.address.to_string())),
        ("worker", text(&of.worker)),
        ("zone", text(&of.zone)),
        ("state", text(of.state)),
        ("since_ms", number(of.since_ms)),
        ("stop", optional(of.stop, text)),
    ])
}

/// Encodes a function, with its instances if they are given.
fn function(of: &FunctionSummary, leader: &Leader, instances: Option<Vec<InstanceSummary>>) -> JsonValue {
    // A function has one owner, or one in each zone if it is split.
    let owner = if of.zone_targets.is_empty() { leader.owner(&of.name, "") } else { None };
    let lots: Vec<_> = of.zone_targets.iter().map(|part| lot(part, &of.name, leader)).collect();
    let zones =
        of.zones.iter().map(|(zone, share)| JsonValue::Array(vec![text(zone), number((*share).into())]));
    object([
        ("name", text(&of.name)),
        ("owner", optional(owner, text)),
        ("lots", if lots.is_empty() { JsonValue::Null } else { JsonValue::Array(lots) }),
        ("configured", JsonValue::Boolean(of.configured)),
        ("memory_mb", optional(leader.memory_mb(&of.name), |mb| number(mb.into()))),
        ("wanted", optional(of.wanted, |(count, _)| number(count.into()))),
        ("said_ms_ago", optional(of.wanted, |(_, ago)| number(ago))),
        ("zones", JsonValue::Array(zones.collect())),
        ("ready", number(of.ready as u64)),
        ("booting", number(of.booting as u64)),
        ("draining", number(of.draining as u64)),
        ("starting", number(of.starting as u64)),
        ("starts", JsonValue::Array(of.starts.iter().map(start).collect())),
        ("instances", optional(instances, |all| JsonValue::Array(all.iter().map(instance).collect()))),
        ("refusals", number(of.refusals.into())),
        ("hold", text(of.hold.as_str())),
        ("hold_ms", optional(of.hold.left_ms(), number)),
    ])
}

/// Returns the queried functions, or an error if this controller is not the leader.
pub fn reply(leader: Option<&Leader>, now: Nanos, query: Option<&str>) -> Result<Reply, CallError> {
    let body = body(leader, now, query)?;
    Ok(Reply::json(StatusCode::OK, body.stringify().unwrap_or_default()))
}

fn body(leader: Option<&Leader>, now: Nanos, query: Option<&str>) -> Result<JsonValue, CallError> {
    let query = FunctionsQuery::parse(query.unwrap_or_default())?;
    let Some(leader) = leader else { return Err(CallError::NotLeader) };
    let scaler = &leader.scaler;
    let one = match &query.instance {
        // An unknown instance yields the empty name, which no function has.
        Some(id) => Some(scaler.function_of(id).unwrap_or_default()),
        None => query.name.as_deref(),
    };
    let (found, next) = match one {
        Some(name) => (scaler.function(now, name).into_iter().collect(), None),
        None => {
            let mut found = scaler.functions(now, query.after.as_deref(), query.limit + 1);
            let more = found.len() > query.limit;
            found.truncate(query.limit);
            let next = found.last().filter(|_| more).map(|last| last.name.clone());
            (found, next)
        }
    };
    let instances = |of: &FunctionSummary| one.is_some().then(|| scaler.instances(now, &of.name));
    let each = found.iter().map(|of: &FunctionSummary| function(of, leader, instances(of)));
    Ok(object([
        ("fence", number(leader.fence)),
        ("functions", JsonValue::Array(each.collect())),
        ("next", optional(next.as_deref(), text)),
    ]))
}

#[cfg(test)]
mod tests {
    use millpost_autoscaler::ScalerConfig;
    use millpost_config::Config;
    use millpost_protocol::{Peer, PeerMessage};

    use super::*;

    const MS: Nanos = 1_000_000;

    fn leader() -> Leader {
        let services: Vec<_> =
            ["f g", "a", "c"].iter().map(|name| format!(r#"{{"name":"{name}"}}"#)).collect();
        let config = format!(r#"{{"revision":1,"routes":[],"services":[{}]}}"#, services.join(","));
        let config = Config::parse(&config).expect("valid");
        let mut leader = Leader::new(0, ScalerConfig::new(3, 78.0, 800), 26.0, Some(&config), None);
        let peer = Peer { name: "edge-1".into(), address: "10.0.0.1:1".into(), zone: "z".into() };
        leader.on_message(0, &PeerMessage::Heartbeat { peer, serving: true, split: None, digest: None });
        assert!(leader.update_view(250 * MS).is_some());
        let want = PeerMessage::DesiredInstances {
            service: "f g".into(),
            count: 2,
            zones: vec!["z".into()],
            lot: None,
            strain: 0.1,
            does: None,
            slow: Vec::new(),
        };
        leader.on_message(200 * MS, &want);
        let known = millpost_protocol::Instance {
            id: "i-1".into(),
            service: "a".into(),
            address: "10.0.0.9:80".into(),
            zone: "z".into(),
            worker: "w-1".into(),
            stage: 1,
        };
        leader.on_message(200 * MS, &PeerMessage::OwnedInstances { set: vec![known] });
        leader
    }

    fn answer(leader: Option<&Leader>, query: Option<&str>) -> Result<JsonValue, CallError> {
        body(leader, 210 * MS, query)
    }

    #[yare::parameterized(
        all = { None, &["a", "c", "f g"], None },
        first_page = { Some("most=2"), &["a", "c"], Some("c") },
        last_page = { Some("after=c&most=2"), &["f g"], None },
        exactly_one_page = { Some("most=3"), &["a", "c", "f g"], None },
        one = { Some("name=f%20g"), &["f g"], None },
        unknown_name = { Some("name=x"), &[], None },
        of_an_instance = { Some("instance=i-1"), &["a"], None },
        of_an_unknown_instance = { Some("instance=i-2"), &[], None },
    )]
    fn functions_are_returned_by_page_or_by_name(query: Option<&str>, names: &[&str], next: Option<&str>) {
        let answer = answer(Some(&leader()), query).expect("an answer");
        let all = answer["functions"].get::<Vec<JsonValue>>().expect("a list");
        let name = |f: &JsonValue| f["name"].get::<String>().expect("text").clone();
        assert_eq!(all.iter().map(name).collect::<Vec<_>>(), names);
        assert_eq!(millpost_config::values::get_str(&answer, "next"), next);
    }

    #[test]
    fn a_function_has_its_owner_and_the_reason_that_delays_it() {
        let answer = answer(Some(&leader()), Some("name=f%20g")).expect("an answer");
        let body = answer["functions"][0].stringify().expect("text");
        for part in [
            r#""instances":[]"#,
            r#""owner":"edge-1""#,
            r#""wanted":2"#,
            r#""said_ms_ago":10"#,
            r#""hold":"no_list""#,
        ] {
            assert!(body.contains(part), "{body}");
        }
    }

    #[yare::parameterized(
        not_the_leader = { None, CallError::NotLeader },
        limit_zero = { Some("most=0"), CallError::Invalid("most: a number from 1 to 500".into()) },
        limit_too_large = { Some("most=501"), CallError::Invalid("most: a number from 1 to 500".into()) },
        unknown_key = { Some("x=1"), CallError::Invalid("x: is not known; name, instance, after or most".into()) },
        invalid_utf8 = { Some("name=%ff"), CallError::Invalid("name: is no UTF-8".into()) },
    )]
    fn invalid_queries_are_rejected_with_a_reason(query: Option<&str>, error: CallError) {
        assert_eq!(answer(None, query).expect_err("rejected"), error);
    }
}
