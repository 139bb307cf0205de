//! One day from beginning to end, and its figures.

use std::collections::HashMap;
use std::time::Instant;

use tinyjson::JsonValue;

use crate::auditor::Breach;
use crate::plan::Plan;
use crate::record::Recordings;
use crate::world::{Traffic, World};
use crate::{MS, SECOND, Time};

/// All classes of clients' requests, and loans and holds.
const ALL: [usize; 3] = [0, 1, 2];
const BUSY: [usize; 2] = [0, 1];

/// What a day has shown.
#[derive(Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Broken rules, in the order of time.
    pub breaches: Vec<Breach>,
    /// Requests of clients, and how many were served.
    pub requests: usize,
    /// Served ones.
    pub served: usize,
    /// Half of the served ones took no longer,
    pub p50: Time,
    /// ... 95 of 100,
    pub p95: Time,
    /// ... and 99 of 100.
    pub p99: Time,
    /// The same for loans and holds alone, which go to functions that seldom wait for a start.
    pub short_p99: Time,
    /// The share of all that was served in the time in which an answer earns its full worth.
    pub within_target: f64,
    /// Starts that the platform has done.
    pub starts: u64,
    /// Memory of instances by time, in GB seconds.
    pub memory: f64,
    /// What went between machines.
    pub traffic: Traffic,
    /// From each acknowledgement to the last stall.
    pub propagation: Vec<(u64, Option<Time>)>,
    /// Events that were played, and the digest of them.
    pub events: u64,
    /// The same for the same day.
    pub digest: u64,
    /// The length of the day.
    pub length: Time,
    /// What playing it took, in seconds.
    pub took: f64,
    /// How requests ended that were not served.
    pub statuses: Vec<(u16, u64)>,
    /// Lines of what happened.
    pub trace: Vec<String>,
}

/// Plays a day. `first`: no further than to the first broken rule.
pub fn play(plan: &Plan, first: bool, trace: bool) -> Report {
    play_recorded(plan, first, trace, None)
}

/// The same, with recordings of all processes.
pub fn play_recorded(plan: &Plan, first: bool, trace: bool, records: Option<Recordings>) -> Report {
    let started = Instant::now();
    let mut world = World::new(plan.clone(), trace);
    world.records = records;
    let mut read_back_started = false;
    loop {
        // The end moves once the closing fault has struck.
        let end = world.end;
        let read = end.saturating_sub(2 * SECOND);
        let stop = first && !world.auditor.breaches.is_empty();
        if stop || world.now >= end {
            break;
        }
        if world.now < read {
            let next = (world.now + SECOND).min(read);
            world.play(next, first);
        } else {
            if !read_back_started {
                read_back_started = true;
                world.start_read_back();
            }
            world.play(end, first);
        }
    }
    // The core may be in trouble as the day ends: the operator goes on asking for a while.
    let read_back_deadline = world.now + 10 * SECOND;
    while world.read_back_pending()
        && world.now < read_back_deadline
        && (!first || world.auditor.breaches.is_empty())
    {
        world.play(world.now + 500 * MS, first);
    }
    let stopped = first && !world.auditor.breaches.is_empty();
    if !stopped {
        world.finish_read_back();
        world.finish();
    }
    let (requests, served) = world.served().counts();
    let (starts, memory) = world.starts();
    Report {
        seed: plan.seed,
        breaches: world.auditor.breaches.clone(),
        requests,
        served,
        p50: world.served().quantile(0.5, &ALL),
        p95: world.served().quantile(0.95, &ALL),
        p99: world.served().quantile(0.99, &ALL),
        short_p99: world.served().quantile(0.99, &BUSY),
        within_target: world.served().within_target(world.classes()),
        starts,
        memory,
        traffic: world.traffic,
        propagation: world.propagation(),
        events: world.played,
        digest: world.digest,
        length: world.now,
        took: started.elapsed().as_secs_f64(),
        statuses: world.served().statuses.iter().map(|(s, n)| (*s, *n)).collect(),
        trace: world.trace.take().unwrap_or_default(),
    }
}

fn number(n: impl Into<f64>) -> JsonValue {
    JsonValue::Number(n.into())
}

fn object(fields: Vec<(&str, JsonValue)>) -> JsonValue {
    JsonValue::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect::<HashMap<_, _>>())
}

/// Broken rules as JSON.
pub fn breaches_json(breaches: &[Breach]) -> JsonValue {
    let one = |b: &Breach| {
        object(vec![
            ("rule", JsonValue::String(b.rule.to_owned())),
            ("at_ms", number((b.at / MS) as f64)),
            ("why", JsonValue::String(b.why.clone())),
        ])
    };
    JsonValue::Array(breaches.iter().map(one).collect())
}

impl Report {
    /// The longest time from an acknowledgement to the last stall, in milliseconds.
    pub fn slowest_propagation_ms(&self) -> Option<u64> {
        self.propagation.iter().filter_map(|(_, took)| *took).max().map(|took| took / MS)
    }

    /// The share of requests that were served.
    pub fn served_ratio(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        let each = self.requests.max(1) as f64;
        object(vec![
            ("seed", JsonValue::String(self.seed.to_string())),
            ("broken", breaches_json(&self.breaches)),
            ("requests", number(self.requests as f64)),
            ("served", number(self.served_ratio())),
            ("p50_ms", number(self.p50 as f64 / MS as f64)),
            ("p95_ms", number(self.p95 as f64 / MS as f64)),
            ("p99_ms", number(self.p99 as f64 / MS as f64)),
            ("busy_p99_ms", number(self.short_p99 as f64 / MS as f64)),
            ("within_aim", number(self.within_target)),
            ("starts", number(self.starts as f64)),
            ("instances_gb_s", number(self.memory)),
            ("messages", number(self.traffic.messages as f64)),
            ("bytes", number(self.traffic.bytes as f64)),
            ("zone_bytes_per_request", number(self.traffic.zone_bytes as f64 / each)),
            ("connections_per_request", number(self.traffic.handshakes as f64 / each)),
            ("platform_calls", number(self.traffic.platform as f64)),
            (
                "slowest_change_ms",
                self.slowest_propagation_ms().map_or(JsonValue::Null, |ms| number(ms as f64)),
            ),
            ("events", number(self.events as f64)),
            ("digest", JsonValue::String(format!("{:016x}", self.digest))),
            ("took_s", number(self.took)),
        ])
    }

    /// As text.
    pub fn to_text(&self) -> String {
        let each = self.requests.max(1) as f64;
        let ms = |t: Time| t as f64 / MS as f64;
        let mut lines = vec![
            format!(
                "seed {}: {:.1} s in {:.2} s, {} events, digest {:016x}",
                self.seed,
                ms(self.length) / 1e3,
                self.took,
                self.events,
                self.digest
            ),
            format!(
                "requests {}, served {:.4}, within their aim {:.4}, p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, loans and holds {:.1} ms",
                self.requests,
                self.served_ratio(),
                self.within_target,
                ms(self.p50),
                ms(self.p95),
                ms(self.p99),
                ms(self.short_p99)
            ),
            format!(
                "starts {}, instances {:.1} GB s, calls to the platform {}",
                self.starts, self.memory, self.traffic.platform
            ),
            format!(
                "between machines {} messages, {:.2} MB; a request: {:.2} messages, {:.3} KB between zones, {:.3} new connections",
                self.traffic.messages,
                self.traffic.bytes as f64 / 1e6,
                self.traffic.messages as f64 / each,
                self.traffic.zone_bytes as f64 / each / 1e3,
                self.traffic.handshakes as f64 / each,
            ),
        ];
        let changes: Vec<_> = self
            .propagation
            .iter()
            .map(|(n, took)| format!("{n}: {}", took.map_or("never".into(), |t| format!("{} ms", t / MS))))
            .collect();
        lines.push(format!("from acknowledged to the last stall: {}", changes.join(", ")));
        if !self.statuses.is_empty() {
            let of: Vec<_> = self
                .statuses
                .iter()
                .map(|(status, n)| match status {
                    0 => format!("broken off {n}"),
                    1 => format!("out of time {n}"),
                    status => format!("{status} {n}"),
                })
                .collect();
            lines.push(format!("not served: {}", of.join(", ")));
        }
        lines.extend(
            self.breaches.iter().map(|b| format!("{} at {:.3} s: {}", b.rule, ms(b.at) / 1e3, b.why)),
        );
        lines.join("\n")
    }
}
