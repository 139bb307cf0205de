//! A configuration change moves routes off a service and removes it while requests wait for it. The requests
//! must follow their route.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use millpost_simulator::day::play_recorded;
use millpost_simulator::plan::{FaultKind, Plan};
use millpost_simulator::record::Recordings;
use millpost_simulator::site::Size;
use millpost_simulator::{MS, SECOND};
use tinyjson::JsonValue;

/// Requests whose route was resolved again, from the recordings of the proxies.
#[derive(Default)]
struct Rerouted {
    moved: usize,
    /// Denied after that and before they were sent, for any reason.
    denied: Vec<String>,
    /// Denied because their function was unknown.
    unknown: Vec<String>,
}

impl Rerouted {
    fn read(recordings: &BTreeMap<String, Vec<u8>>) -> Rerouted {
        let mut rerouted = Rerouted::default();
        for (process, lines) in recordings.iter().filter(|(process, _)| process.ends_with("/stall")) {
            let mut moved = BTreeSet::new();
            let lines = String::from_utf8_lossy(lines);
            for line in lines.lines().map(|line| line.parse::<JsonValue>().expect("a line of JSON")) {
                rerouted.line(process, &line, &mut moved);
            }
        }
        rerouted
    }

    fn line(&mut self, process: &str, line: &JsonValue, moved: &mut BTreeSet<u64>) {
        let parts: &HashMap<String, JsonValue> = line.get().expect("an object");
        let text =
            |key: &str| parts.get(key).and_then(|value| value.get::<String>()).map_or("", String::as_str);
        let Some(request) =
            parts.get("p").and_then(|value| value.stringify().ok()?.trim_matches('"').parse().ok())
        else {
            return;
        };
        match (text("in"), text("y")) {
            ("moved", _) => {
                self.moved += 1;
                moved.insert(request);
            }
            // It was sent: from now on a denial is one of a further try, which is asked for again in its turn.
            ("ended", _) => {
                moved.remove(&request);
            }
            ("denied", "moved") => {}
            ("denied", why) => {
                if why == "unknown" {
                    self.unknown.push(format!("{process}: {line:?}"));
                }
                if moved.contains(&request) {
                    self.denied.push(format!("{process}: {line:?}"));
                }
            }
            _ => {}
        }
    }
}

/// The change comes during a burst, and proxies apply it within 10 ms. Requests that waited for a slot then,
/// and those that arrived right after, were refused at once: 5 to 14 on each of these days. Refusals caused
/// by the burst itself do not count.
#[test]
fn requests_waiting_for_a_removed_service_are_neither_refused_nor_run_twice() {
    let mut moved = 0;
    for seed in 1..=4 {
        let plan = Plan::quiet(seed, Size::Small)
            .with(12 * SECOND - 100 * MS, FaultKind::Burst { class: 0, times: 4.0, lasts: SECOND })
            .with(12 * SECOND, FaultKind::ServiceDrop);
        let (records, recordings_by_process) = Recordings::in_memory();
        let day = play_recorded(&plan, false, false, Some(records));
        let rerouted = Rerouted::read(&recordings_by_process.borrow());
        moved += rerouted.moved;
        assert_eq!(rerouted.denied, Vec::<String>::new(), "seed {seed}");
        assert_eq!(rerouted.unknown, Vec::<String>::new(), "seed {seed}");
        assert_eq!(day.breaches, []);
        assert_eq!(day.served, day.requests, "{}", day.to_text());
    }
    assert!(moved >= 10, "too few requests were rerouted: {moved}");
}
