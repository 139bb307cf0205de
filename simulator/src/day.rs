//! Runs one simulated day and reports its figures.

use std::collections::HashMap;
use std::time::Instant;

use tinyjson::JsonValue;

use crate::auditor::Breach;
use crate::plan::Plan;
use crate::record::Recordings;
use crate::world::{Traffic, World};
use crate::{MS, SECOND, Time};

/// Indexes of all classes of client requests, and of those that go to busy functions.
const ALL: [usize; 3] = [0, 1, 2];
const BUSY: [usize; 2] = [0, 1];

/// Results of a simulated day.
#[derive(Debug)]
pub struct Report {
    /// Seed of the day.
    pub seed: u64,
    /// Rule violations, ordered by time.
    pub breaches: Vec<Breach>,
    /// Number of client requests.
    pub requests: usize,
    /// Number of client requests that succeeded.
    pub served: usize,
    /// Median latency of successful requests.
    pub p50: Time,
    /// 95th percentile.
    pub p95: Time,
    /// 99th percentile.
    pub p99: Time,
    /// 99th percentile for requests to busy functions, which rarely wait for an instance start.
    pub short_p99: Time,
    /// Share of all requests served within the target latency of their class.
    pub within_target: f64,
    /// Number of instance starts.
    pub starts: u64,
    /// Instance memory over time, in GB seconds.
    pub memory: f64,
    /// Network traffic.
    pub traffic: Traffic,
    /// For each revision, the time from its acknowledgement until the last proxy applied it; `None` if that
    /// never happened.
    pub propagation: Vec<(u64, Option<Time>)>,
    /// Number of simulated events.
    pub events: u64,
    /// Digest of all events; equal for equal plans.
    pub digest: u64,
    /// Simulated time at the end of the day.
    pub length: Time,
    /// Wall-clock duration of the simulation, in seconds.
    pub took: f64,
    /// Unsuccessful requests by final status: 0 for a broken connection, 1 for a client deadline.
    pub statuses: Vec<(u16, u64)>,
    /// Trace lines, if a trace was requested.
    pub trace: Vec<String>,
}

/// Simulates a day. With `first` it stops at the first rule violation.
pub fn play(plan: &Plan, first: bool, trace: bool) -> Report {
    play_recorded(plan, first, trace, None)
}

/// Like [`play`], and records all processes.
pub fn play_recorded(plan: &Plan, first: bool, trace: bool, records: Option<Recordings>) -> Report {
    let started = Instant::now();
    let mut world = World::new(plan.clone(), trace);
    world.records = records;
    let mut read_back_started = false;
    loop {
        // The final fault moves the end of the day.
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
    // The core may still be recovering: the operator keeps reading for up to 10 s.
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

/// Rule violations as JSON.
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
    /// The longest propagation time of a configuration change, in milliseconds.
    pub fn slowest_propagation_ms(&self) -> Option<u64> {
        self.propagation.iter().filter_map(|(_, took)| *took).max().map(|took| took / MS)
    }

    /// The share of requests that succeeded, from 0 to 1.
    pub fn served_ratio(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// The report as a JSON object.
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

    /// A summary for people.
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
                "requests {}, served {:.4}, within their target latency {:.4}, p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, loans and holds {:.1} ms",
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
        lines.push(format!("from acknowledgement to the last proxy: {}", changes.join(", ")));
        if !self.statuses.is_empty() {
            let of: Vec<_> = self
                .statuses
                .iter()
                .map(|(status, n)| match status {
                    0 => format!("connection broken {n}"),
                    1 => format!("deadline passed {n}"),
                    status => format!("{status} {n}"),
                })
                .collect();
            lines.push(format!("unsuccessful: {}", of.join(", ")));
        }
        lines.extend(
            self.breaches.iter().map(|b| format!("{} at {:.3} s: {}", b.rule, ms(b.at) / 1e3, b.why)),
        );
        lines.join("\n")
    }
}
