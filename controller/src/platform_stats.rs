//! Statistics of the platform's replies to this leader, for operators.
//!
//! Invariants: nothing is decided by them; there is one counter for each kind of reply, and at most
//! [`MAX_FAULTS`] faults are kept.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use millpost_autoscaler::{StartFault, StopFault, Worker};
use millpost_protocol::{object, text};
use tinyjson::JsonValue;

use crate::leadership::PlatformReply;
use crate::{MS, Nanos};

/// Maximum numbers of kept faults, and of workers in a reply.
const MAX_FAULTS: usize = 100;
const MAX_WORKERS: usize = 500;

/// A kind of reply to a kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplyKind {
    call: &'static str,
    answer: &'static str,
    /// The HTTP status of the reply; 0 if it has none.
    status: u16,
}

/// A failed call: the kind of its reply, the start or stop that failed, and the time.
struct Fault {
    kind: ReplyKind,
    of: CompactString,
    at: Nanos,
}

/// The statistics.
#[derive(Default)]
pub struct PlatformStats {
    workers: Option<(Nanos, Vec<Worker>)>,
    counts: BTreeMap<ReplyKind, (u64, Nanos)>,
    faults: VecDeque<Fault>,
}

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

/// Returns the kind of a reply, and the nonce or instance that it is about.
fn classify(reply: &PlatformReply) -> (ReplyKind, &str) {
    let of = |call, (answer, status)| ReplyKind { call, answer, status };
    let list_status = |listed: bool| if listed { ("ok", 200) } else { ("none", 0) };
    match reply {
        PlatformReply::Listed(page) => (of("list", list_status(page.is_some())), ""),
        PlatformReply::Workers(all) => (of("workers", list_status(all.is_some())), ""),
        PlatformReply::Started { nonce, answer } => {
            let answer = match answer {
                Ok(_) => ("ok", 200),
                Err(StartFault::NoRoom) => ("no_room", 409),
                Err(StartFault::Busy) => ("busy", 429),
                Err(StartFault::Refused) => ("refused", 400),
                Err(StartFault::Unclear) => ("unclear", 0),
            };
            (of("start", answer), nonce)
        }
        PlatformReply::Stopped { id, answer } => {
            let answer = match answer {
                Ok(()) => ("ok", 200),
                Err(StopFault::Unknown) => ("unknown", 404),
                Err(StopFault::Busy) => ("busy", 429),
                Err(StopFault::Refused) => ("refused", 400),
                Err(StopFault::Unclear) => ("unclear", 0),
            };
            (of("stop", answer), id)
        }
    }
}

impl ReplyKind {
    fn to_json(self, more: [(&str, JsonValue); 3]) -> JsonValue {
        let status = if self.status == 0 { JsonValue::Null } else { number(self.status.into()) };
        let [one, two, three] = more;
        object([
            ("call", text(self.call)),
            ("answer", text(self.answer)),
            ("status", status),
            one,
            two,
            three,
        ])
    }
}

impl PlatformStats {
    /// Returns the call, the answer and the count for each kind of reply.
    pub fn answers(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        self.counts.iter().map(|(kind, (count, _))| (kind.call, kind.answer, *count))
    }

    /// Counts a reply.
    pub fn record(&mut self, now: Nanos, reply: &PlatformReply) {
        let (kind, of) = classify(reply);
        let count = self.counts.entry(kind).or_default();
        *count = (count.0 + 1, now);
        if kind.answer != "ok" {
            self.faults.push_back(Fault { kind, of: of.into(), at: now });
            self.faults.drain(..self.faults.len().saturating_sub(MAX_FAULTS));
        }
        if let PlatformReply::Workers(Some(all)) = reply {
            self.workers = Some((now, all.clone()));
        }
    }

    /// Returns the workers of the last reply that listed them.
    pub fn workers(&self) -> &[Worker] {
        self.workers.as_ref().map_or(&[], |(_, all)| all)
    }

    /// Returns the workers for operators. `instances` returns the number of instances on a worker.
    pub fn workers_json(&self, now: Nanos, instances: impl Fn(&str) -> usize) -> JsonValue {
        let Some((at, all)) = &self.workers else { return JsonValue::Null };
        let each = all.iter().take(MAX_WORKERS).map(|worker| {
            object([
                ("name", text(&worker.name)),
                ("zone", text(&worker.zone)),
                ("memory_mb", number(worker.memory_mb)),
                ("free_mb", number(worker.free_memory_mb)),
                ("draining", JsonValue::Boolean(worker.draining)),
                ("instances", number(instances(&worker.name) as u64)),
            ])
        });
        object([
            ("ms_ago", number(now.saturating_sub(*at) / MS)),
            ("count", number(all.len() as u64)),
            ("first", JsonValue::Array(each.collect())),
        ])
    }

    /// Returns the count and the time of the last reply for each kind.
    pub fn answers_json(&self, now: Nanos) -> JsonValue {
        let ago = |at: Nanos| number(now.saturating_sub(at) / MS);
        let each = self.counts.iter().map(|(kind, (count, at))| {
            kind.to_json([("count", number(*count)), ("ms_ago", ago(*at)), ("of", JsonValue::Null)])
        });
        JsonValue::Array(each.collect())
    }

    /// Returns the kept faults, newest first.
    pub fn faults_json(&self, now: Nanos) -> JsonValue {
        let each = self.faults.iter().rev().map(|fault| {
            let of = if fault.of.is_empty() { JsonValue::Null } else { text(&fault.of) };
            let ago = number(now.saturating_sub(fault.at) / MS);
            fault.kind.to_json([("of", of), ("ms_ago", ago), ("count", JsonValue::Null)])
        });
        JsonValue::Array(each.collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replies_are_counted_and_faults_are_bounded() {
        let mut stats = PlatformStats::default();
        let started = |answer| PlatformReply::Started { nonce: "4.7.f".into(), answer };
        stats.record(0, &started(Ok(("i-1".into(), ([10, 0, 0, 1], 80).into()))));
        for n in 1..=2 * MAX_FAULTS as u64 {
            stats.record(n * MS, &started(Err(StartFault::NoRoom)));
        }
        stats.record(201 * MS, &PlatformReply::Listed(None));
        let answers = stats.answers_json(202 * MS).stringify().expect("text");
        for part in [r#""count":200"#, r#""status":409"#, r#""call":"list""#, r#""answer":"ok""#] {
            assert!(answers.contains(part), "{answers}");
        }
        let JsonValue::Array(faults) = stats.faults_json(202 * MS) else { panic!("a list") };
        assert_eq!(faults.len(), MAX_FAULTS);
        assert_eq!(millpost_config::values::get_str(&faults[1], "of"), Some("4.7.f"));
    }
}
