//! The state of the leader's duties, for operators: `GET /core/duty`.

use std::collections::BTreeMap;

use hyper::StatusCode;
use millpost_net::messaging::Reply;
use millpost_protocol::object;
use tinyjson::JsonValue;

use crate::Nanos;
use crate::errors::CallError;
use crate::leader::Leader;
use crate::platform_stats::PlatformStats;

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

/// Returns the state, or an error if this controller is not the leader.
pub fn reply(leader: Option<&Leader>, stats: &PlatformStats, now: Nanos) -> Result<Reply, CallError> {
    let leader = leader.ok_or(CallError::NotLeader)?;
    let mut instances: BTreeMap<&str, usize> = BTreeMap::new();
    for instance in leader.scaler.visible_instances() {
        *instances.entry(&instance.worker).or_default() += 1;
    }
    let body = object([
        ("fence", number(leader.fence)),
        ("seated_ms", number(leader.age_ms(now))),
        ("stalls", JsonValue::Array(leader.proxy_states(now).map(|proxy| proxy.to_json()).collect())),
        ("workers", stats.workers_json(now, |name| instances.get(name).copied().unwrap_or(0))),
        ("answers", stats.answers_json(now)),
        ("faults", stats.faults_json(now)),
    ]);
    Ok(Reply::json(StatusCode::OK, body.stringify().unwrap_or_default()))
}
