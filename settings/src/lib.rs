//! Reads the settings object that a simulator's first message and a dispatcher's configuration both carry.
//! Keys that are not needed are passed over.

mod check;
mod classes;

use millpost::api;
use serde::Deserialize;

pub use check::{fixed, short, unsound};
pub use classes::Classes;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Conf {
    slot_no: usize,
    n_instances: usize,
    period_ns: u64,
    profiles: Vec<Profile>,
    #[serde(default)]
    parties: Vec<Party>,
    #[serde(default = "one")]
    over_share_worth: f64,
    family_info: Family,
    #[serde(default)]
    kinds: Vec<String>,
    limits: Limits,
    rules: Rules,
    #[serde(default)]
    weight_kind: String,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    areas: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    #[serde(default)]
    name: String,
    objective_ns: u64,
    deadline_ns: u64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    memory_span_ns: u64,
    #[serde(default = "one")]
    credit: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    in_turn: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Party {
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    workers: usize,
    #[serde(default)]
    bundle_max: Vec<usize>,
    #[serde(default)]
    own_limits: Vec<bool>,
    #[serde(default)]
    late: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    keepalive_ns: u64,
    #[serde(default)]
    connect_timeout_ns: u64,
    #[serde(default)]
    max_retry_after_ns: u64,
    #[serde(default = "one_stream")]
    streams_per_conn: usize,
    try_limit: u32,
    open_cap: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    grace_to_answer_ns: u64,
    drain_grace_ns: u64,
    cold_from: f64,
    cold_ns: u64,
    tip_multiple: f64,
    overload_for_ns: u64,
    #[serde(default)]
    settle_after_doubt_ns: u64,
}

fn one() -> f64 {
    1.0
}

fn one_stream() -> usize {
    1
}

/// What a host of the module needs to know besides the module's settings.
#[derive(Clone, Debug)]
pub struct Shape {
    /// How many zones there are.
    pub zones: usize,
    /// Names of the zones; endpoints on sockets name theirs.
    pub zone_names: Vec<String>,
    /// Names of the kinds of destination.
    pub kind_names: Vec<String>,
    /// Names of the classes, by position.
    pub class_names: Vec<String>,
}

/// The settings in `text`, in the module's terms.
pub fn read(text: &str) -> Result<(api::Settings, Shape), String> {
    build(serde_json::from_str(text).map_err(|e| bad(&e))?)
}

/// The settings in a JSON value that is already parsed.
pub fn from_value(value: serde_json::Value) -> Result<(api::Settings, Shape), String> {
    build(serde_json::from_value(value).map_err(|e| bad(&e))?)
}

fn bad(why: &dyn std::fmt::Display) -> String {
    format!("field `conf`: {why}").replace('\n', " ")
}

fn build(conf: Conf) -> Result<(api::Settings, Shape), String> {
    let mut classes = Vec::new();
    for p in &conf.profiles {
        classes.push(api::Class {
            aim: p.objective_ns,
            deadline: p.deadline_ns,
            worth: p.credit,
            late_worth: p.late_worth,
            effect: match p.effect.as_str() {
                "pure" => api::Effect::Safe,
                "token" => api::Effect::Keyed { window: p.memory_span_ns, zone_only: p.group != "all" },
                "side_effect" => api::Effect::Unsafe,
                other => return Err(bad(&format!("effect `{other}` is unknown"))),
            },
            in_order: p.in_turn,
            retired: false,
        });
    }
    let family = &conf.family_info;
    let count = conf.kinds.len().max(family.bundle_max.len()).max(family.own_limits.len()).max(1);
    let kinds = (0..count).map(|k| api::Kind {
        bundle: family.bundle_max.get(k).copied().unwrap_or(1).max(1),
        apart: family.own_limits.get(k).copied().unwrap_or(false),
    });
    let settings = api::Settings {
        me: conf.slot_no,
        dispatchers: conf.n_instances,
        classes,
        tenants: conf.parties.iter().map(|t| api::Tenant { quota_per_s: t.quota_rps }).collect(),
        over_share_worth: conf.over_share_worth,
        kinds: kinds.collect(),
        late: if family.late == "by_half" { api::LateDecay::Halves } else { api::LateDecay::Even },
        slots: family.workers,
        hold: conf.limits.open_cap,
        try_limit: conf.limits.try_limit,
        tick: conf.period_ns,
        connect_timeout: conf.limits.connect_timeout_ns,
        keepalive: conf.limits.keepalive_ns,
        streams: conf.limits.streams_per_conn,
        max_retry_after: conf.limits.max_retry_after_ns,
        allow: api::Permissions {
            probes: conf.limits.probes,
            notes: conf.limits.peer_messages,
            cancel: conf.limits.cancel,
            retry_after: conf.limits.retry_after,
        },
        rules: api::Rules {
            answer_grace: conf.rules.grace_to_answer_ns,
            drain_grace: conf.rules.drain_grace_ns,
            cold_from: conf.rules.cold_from,
            cold: conf.rules.cold_ns,
            fall_multiple: conf.rules.tip_multiple,
            fall: conf.rules.overload_for_ns,
            key_rest: conf.rules.settle_after_doubt_ns,
        },
        weights: match conf.weight_kind.as_str() {
            "nominal" => api::Weights::Nominal,
            "rough" => api::Weights::Rough,
            _ => api::Weights::Unknown,
        },
        subscribe: conf.membership_mode == "subscribe",
    };
    let shape = Shape {
        zones: conf.areas.len().max(1),
        class_names: conf.profiles.into_iter().map(|p| p.name).collect(),
        zone_names: conf.areas,
        kind_names: conf.kinds,
    };
    Ok((settings, shape))
}

#[cfg(test)]
mod tests {
    use super::*;

    pub(crate) fn settings() -> (api::Settings, Shape) {
        let text = r#"{"slotNo": 0, "nInstances": 2, "periodNs": 5, "areas": ["z"], "kinds": ["k"],
            "profiles": [{"name": "a", "objectiveNs": 2, "deadlineNs": 20, "effect": "pure"}],
            "familyInfo": {"workers": 4}, "limits": {"tryLimit": 6, "openCap": 300},
            "rules": {"drainGraceNs": 1, "coldFrom": 0.25, "coldNs": 1, "tipMultiple": 1.5, "overloadForNs": 1}}"#;
        read(text).expect("they are good")
    }
}
