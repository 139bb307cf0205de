//! A change that shifts routes off a service and drops it, while requests wait for it: they go on where their route leads.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use millpost_simulator::day::play_recorded;
use millpost_simulator::plan::{FaultKind, Plan};
use millpost_simulator::record::Recordings;
use millpost_simulator::site::Size;
use millpost_simulator::{MS, SECOND};
use tinyjson::JsonValue;

/// What the stalls' recordings tell of requests that were to go elsewhere.
#[derive(Default)]
struct Told {
    moved: usize,
    /// Turned down after that, for whatever reason.
    turned_down: Vec<String>,
    /// Turned down because nobody knew the function that they asked for.
    unknown: Vec<String>,
}

impl Told {
    fn read(recordings: &BTreeMap<String, Vec<u8>>) -> Told {
        let mut told = Told::default();
        for (process, lines) in recordings.iter().filter(|(process, _)| process.ends_with("/stall")) {
            let mut moved = BTreeSet::new();
            let lines = String::from_utf8_lossy(lines);
            for line in lines.lines().map(|line| line.parse::<JsonValue>().expect("a line of JSON")) {
                told.line(process, &line, &mut moved);
            }
        }
        told
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
            ("denied", "moved") => {}
            ("denied", why) => {
                if why == "unknown" {
                    self.unknown.push(format!("{process}: {line:?}"));
                }
                if moved.contains(&request) {
                    self.turned_down.push(format!("{process}: {line:?}"));
                }
            }
            _ => {}
        }
    }
}

/// The change comes in the midst of a rush, and stalls act on it within 10 ms. What waited for a slot then, and who asked right after, was
/// turned down at once: 5 to 14 requests on each of these days. That the rush turns others away is its own.
#[test]
fn what_waits_for_a_service_that_is_dropped_is_not_refused_and_nothing_runs_twice() {
    let mut moved = 0;
    for seed in 1..=4 {
        let plan = Plan::quiet(seed, Size::Small)
            .with(12 * SECOND - 100 * MS, FaultKind::Burst { class: 0, times: 4.0, lasts: SECOND })
            .with(12 * SECOND, FaultKind::ServiceDrop);
        let (records, kept) = Recordings::in_memory();
        let day = play_recorded(&plan, false, false, Some(records));
        let told = Told::read(&kept.borrow());
        moved += told.moved;
        assert_eq!(told.turned_down, Vec::<String>::new(), "seed {seed}");
        assert_eq!(told.unknown, Vec::<String>::new(), "seed {seed}");
        assert_eq!(day.breaches, []);
        assert_eq!(day.served, day.requests, "{}", day.to_text());
    }
    assert!(moved >= 10, "hardly anything waited: {moved}");
}
