//! The settings that a dispatcher is given, in the terms of a plan; the auditor takes its figures from here too,
//! so that what is asked of a dispatcher and what it is held to can't differ.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// What a repeat of a message would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing new.
    Safe,
    /// Nothing new within the window of its key.
    Keyed,
    /// A second effect, which is never acceptable.
    Unsafe,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// First part of the path.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// Share of the messages, against the other classes' shares.
    #[serde(default = "one")]
    pub share: f64,
    /// Wanted within, milliseconds.
    #[serde(default = "aim")]
    pub aim_ms: u64,
    /// Given up after, milliseconds.
    #[serde(default = "deadline")]
    pub deadline_ms: u64,
    /// A key is remembered for, milliseconds.
    #[serde(default = "window")]
    pub key_window_ms: u64,
    /// Messages with one key go one at a time, in the order taken.
    #[serde(default)]
    pub in_order: bool,
}

fn one() -> f64 {
    1.0
}
fn aim() -> u64 {
    2_000
}
fn deadline() -> u64 {
    20_000
}
fn window() -> u64 {
    30_000
}

/// What all dispatchers of one run are told, and what they are held to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Calls that one dispatcher may have out.
    pub slots: usize,
    /// Messages that one dispatcher may hold.
    pub hold: usize,
    /// Attempts for one message.
    pub tries: u32,
    /// Shortest time between two decisions, milliseconds.
    pub tick_ms: u64,
    /// Time for a connection to come up, milliseconds.
    pub connect_ms: u64,
    /// Partners close idle connections after this, milliseconds.
    pub keepalive_ms: u64,
    /// Nothing new to an endpoint this long after its drain was told, milliseconds.
    pub drain_ms: u64,
    /// A final answer counts this long after the time is up, milliseconds.
    pub grace_ms: u64,
    /// Share of its capacity that a destination has right after an outage.
    pub cold_from: f64,
    /// It has all of it after, milliseconds.
    pub cold_ms: u64,
    /// Sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for so long, it falls over; milliseconds.
    pub fall_ms: u64,
    /// A key rests this long after an attempt that may still be running, milliseconds.
    pub key_rest_ms: u64,
    /// Files of one dispatcher, megabytes.
    pub disk_mb: f64,
    /// Descriptors of one dispatcher.
    pub sockets: usize,
    /// What the module is told of partners' limits: `nominal`, `rough` or `unknown`.
    pub weights: String,
    /// Longest wait that refused clients heed, milliseconds.
    pub max_retry_after_ms: u64,
    /// Messages in one call, at most.
    pub bundle: usize,
    /// The classes.
    pub classes: Vec<Class>,
}

impl Default for Service {
    fn default() -> Self {
        let class = |name: &str, effect, share| Class {
            name: name.to_owned(),
            effect,
            share,
            aim_ms: aim(),
            deadline_ms: deadline(),
            key_window_ms: window(),
            in_order: false,
        };
        Service {
            slots: 32,
            hold: 400,
            tries: 6,
            tick_ms: 5,
            connect_ms: 1_000,
            keepalive_ms: 15_000,
            drain_ms: 500,
            grace_ms: 300,
            cold_from: 0.26,
            cold_ms: 12_000,
            fall_multiple: 1.5,
            fall_ms: 2_000,
            key_rest_ms: 0,
            disk_mb: 3.0,
            sockets: 1_024,
            weights: "nominal".to_owned(),
            max_retry_after_ms: 2_000,
            bundle: 1,
            classes: vec![
                class("loan-status", Effect::Safe, 0.5),
                class("loan-report", Effect::Keyed, 0.3),
                class("licence-order", Effect::Unsafe, 0.2),
            ],
        }
    }
}

impl Service {
    /// The settings object of a dispatcher's configuration: number `me` of `of`.
    pub fn settings(&self, me: usize, of: usize) -> Value {
        let ns = |ms: u64| ms.saturating_mul(1_000_000);
        let classes: Vec<Value> = self.classes.iter().map(|c| {
            let effect = match c.effect {
                Effect::Safe => "pure",
                Effect::Keyed => "token",
                Effect::Unsafe => "side_effect",
            };
            json!({"name": c.name, "credit": 1.0, "deadlineNs": ns(c.deadline_ms), "objectiveNs": ns(c.aim_ms),
                   "effect": effect, "group": "all", "memorySpanNs": ns(c.key_window_ms), "lateWorth": 0.5,
                   "inTurn": c.in_order})
        }).collect();
        json!({
            "slotNo": me, "nInstances": of, "periodNs": ns(self.tick_ms), "areas": ["z"], "kinds": ["k"],
            "profiles": classes, "familyInfo": {"workers": self.slots, "bundleMax": [self.bundle]}, "weightKind": self.weights,
            "limits": {"tryLimit": self.tries, "openCap": self.hold, "connectTimeoutNs": ns(self.connect_ms),
                       "keepaliveNs": ns(self.keepalive_ms), "retryAfter": true,
                       "maxRetryAfterNs": ns(self.max_retry_after_ms)},
            "rules": {"drainGraceNs": ns(self.drain_ms), "graceToAnswerNs": ns(self.grace_ms),
                      "coldFrom": self.cold_from, "coldNs": ns(self.cold_ms), "tipMultiple": self.fall_multiple,
                      "overloadForNs": ns(self.fall_ms), "settleAfterDoubtNs": ns(self.key_rest_ms)},
        })
    }

    /// A cold destination's share of its capacity, `since` its return.
    pub fn warmth(&self, since: Duration) -> f64 {
        let passed = since.as_secs_f64() * 1e3 / (self.cold_ms.max(1) as f64);
        self.cold_from + (1.0 - self.cold_from) * passed.min(1.0)
    }
}
