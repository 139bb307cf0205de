//! Detection of dispatchers with outdated versions, between real processes with faults: they are updated or
//! shut out within the time limits, up-to-date ones are never shut out, and the merged audit contains every
//! call that partners saw, with the versions it was based on.

mod together;

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::Instant;

use millpost_audit::audit::Progress;
use millpost_audit::entry::{End, Entry};
use millpost_audit::judge::Rule;
use millpost_audit::{Audit, audit, message, read};
use millpost_fleet::status::{How, Status};
use millpost_fleet::{ask, status};
use millpost_tier::Kind;
use serde_json::Value;
use together::*;
use xxhash_rust::xxh3::xxh3_64;

/// The time limit for lists and settings in these tests.
const BOUND: Duration = Duration::from_secs(3);
/// Additional time for detection, votes and records, with a wide margin for a busy machine.
const DETECTION: Duration = Duration::from_secs(12);
/// Time until a drain that other dispatchers received takes effect: a few rounds.
const PROPAGATION: Duration = Duration::from_secs(2);

struct TrackedFleet {
    fleet: Fleet,
    dir: tempfile::TempDir,
}

/// Starts a fleet that tracks versions and records decisions.
fn tracked_fleet(of: usize, seed: u64, planted: Option<&str>, more: &str) -> TrackedFleet {
    println!("seed {seed}");
    let dir = tempfile::tempdir().expect("a folder");
    let planted = planted.map_or(String::new(), |fault| format!("planted = \"{fault}\"\n"));
    let more = if more.contains("list_ms") { more.to_owned() } else { format!("list_ms = 3000\n{more}") };
    let folder = dir.path().join("n{node}");
    let settings = format!(
        "[tier]\nenabled = true\n{planted}[fleet]\nenabled = true\nsettings_ms = 3000\n\
         cordons_ms = 3000\nask_again_ms = 500\nreturn_ms = 500\n{more}\n\
         [audit]\nenabled = true\nfolder = \"{}\"\nbudget_mb = 8\n",
        folder.display()
    );
    let fleet = Fleet::start(&Shape {
        program: Path::new(env!("CARGO_BIN_EXE_millpost-dispatcher")),
        of: vec![of; of],
        service: service(),
        settings: &settings,
        destinations: vec![(3, 40)],
        seed,
        console: true,
    });
    met(&fleet, of as u64 - 1);
    let tracked = TrackedFleet { fleet, dir };
    // Waits until all dispatchers have received their lists and know about each other.
    until("all dispatchers are current", || {
        (0..of)
            .all(|node| tracked.views(node, "list") == vec!["current"; of] && tracked.confirmed(node))
            .then_some(())
    });
    tracked
}

impl TrackedFleet {
    fn folders(&self) -> Vec<PathBuf> {
        (0..self.fleet.nodes.len()).map(|n| self.dir.path().join(format!("n{n}"))).collect()
    }

    /// The answer of a dispatcher's console to `standing`; `None` while it does not answer.
    fn standing(&self, node: usize) -> Option<Value> {
        let text = self.fleet.nodes[node].staff_now("standing")?;
        serde_json::from_str(text.lines().nth(1)?).ok()
    }

    /// How a dispatcher sees the versions of one kind at all dispatchers, by number.
    fn views(&self, node: usize, kind: &str) -> Vec<String> {
        let Some(standing) = self.standing(node) else { return Vec::new() };
        let rows = standing["rows"].as_array().cloned().unwrap_or_default();
        rows.iter().map(|row| row["kinds"][kind]["view"].as_str().unwrap_or_default().to_owned()).collect()
    }

    /// Whether its agent has sent the list to this incarnation.
    fn confirmed(&self, node: usize) -> bool {
        self.standing(node).is_some_and(|s| s["standing"]["list"]["generation"].as_u64() >= Some(2))
    }

    fn health(&self, node: usize) -> String {
        self.fleet.nodes[node].staff_now("health").unwrap_or_default()
    }

    /// The status that the operators' command derives from all consoles.
    fn status(&self) -> Status {
        let consoles: Vec<_> = self.fleet.nodes.iter().filter_map(|node| node.console).collect();
        let answers = ask::standings(&consoles, 5 * SECOND);
        status::status(
            answers.into_iter().map(|(at, answer)| (at, answer.map_err(|e| e.to_string()))).collect(),
        )
    }

    /// The dispatchers that are shut out.
    fn out(&self) -> Vec<usize> {
        (0..self.fleet.nodes.len()).filter(|n| self.health(*n).contains("shut out")).collect()
    }

    /// The list for a dispatcher, with these endpoints draining.
    fn lines(&self, node: usize, weight: f64, drained: &[usize]) -> Vec<String> {
        let lines = self.fleet.lines(node, weight);
        let drain = |(n, text): (usize, String)| {
            if drained.contains(&n) { text.replace("in_service", "terminating") } else { text }
        };
        lines.into_iter().enumerate().map(drain).collect()
    }

    fn tell(&self, nodes: &[usize], weight: f64, drained: &[usize]) {
        for node in nodes {
            self.fleet.agents()[*node].tell_later(&self.lines(*node, weight, drained));
        }
    }

    /// Changes a setting without effect in these tests on `nodes`, and sends SIGHUP to `signalled`.
    fn change_settings(&self, nodes: &[usize], signalled: &[usize], grace: u64) {
        for node in nodes {
            let node = &self.fleet.nodes[*node];
            node.configure(|text| {
                let mut config: Value = serde_json::from_str(text).expect("a configuration");
                config["settings"]["rules"]["graceToAnswerNs"] = grace.into();
                config.to_string()
            });
        }
        signalled.iter().for_each(|node| self.fleet.nodes[*node].signal("HUP"));
    }

    /// Ends all processes, checks that the audit logs contain every call that partners saw, and returns the
    /// merged audit.
    fn audited(&mut self, killed: bool) -> Audit {
        self.fleet.nodes.iter_mut().for_each(|node| node.kill());
        let calls = self.fleet.calls();
        let mut seen: HashMap<(u16, u64, u64), usize> = HashMap::new();
        for call in &calls {
            let endpoint = xxh3_64(format!("d0-{}", call.endpoint).as_bytes());
            *seen.entry((call.node as u16, message(&call.reference), endpoint)).or_default() += 1;
        }
        let mut recorded: HashMap<(u16, u64, u64), usize> = HashMap::new();
        for folder in self.folders() {
            read::folder(&folder, |head, _, entry, names| {
                if let Some(Entry::Attempt { message, endpoint, standing, .. }) = entry {
                    let on = names.standing(*standing).expect("the versions of a call");
                    // If a folder was lost, others may have known later incarnations.
                    assert!(on.incarnation >= head.author.incarnation, "versions of an earlier incarnation");
                    let key = (head.author.number, names.message(*message), names.endpoint(*endpoint).0);
                    *recorded.entry(key).or_default() += 1;
                }
            });
        }
        for (key, times) in &seen {
            assert!(recorded.get(key) >= Some(times), "call {key:?} is missing in the audit");
        }
        let (all, found): (usize, usize) = (recorded.values().sum(), seen.values().sum());
        println!("partners saw {found} calls, the audit has {all}");
        // Calls written while a process or a connection was ending may not have arrived.
        let lost = all - found;
        assert!(lost <= if killed { 40 } else { 8 }, "{lost} recorded calls that no partner saw");
        assert!(found > 20, "only {found} calls, too few for a meaningful result");
        audit(&self.folders(), 2, &Progress::default())
    }

    /// Asserts that the audit finds no breaches.
    fn assert_clean_audit(&mut self, killed: bool) {
        let found = self.audited(killed);
        assert!(found.counts.is_empty(), "{:#?}", found.breaches);
        assert!(found.missing.is_empty());
    }
}

fn loads(fleet: &Fleet) -> Vec<Load> {
    (0..fleet.nodes.len()).map(|node| fleet.load(node, 0, 8.0)).collect()
}

/// Waits until `check` holds, and asserts that this takes less than `within`.
fn until_within(what: &str, within: Duration, mut check: impl FnMut() -> bool) {
    let began = Instant::now();
    until(what, || check().then_some(()));
    println!("{what}: after {:?}", began.elapsed());
    assert!(began.elapsed() < within, "{what}: only after {:?}", began.elapsed());
}

#[test]
fn dispatcher_with_a_silent_agent_is_shut_out_in_time_and_returns_without_a_restart() {
    let mut tracked = tracked_fleet(4, 21, None, "");
    let loads = loads(&tracked.fleet);
    tracked.fleet.agents()[3].silence();
    tracked.tell(&[0, 1, 2, 3], 41.0, &[]);
    until_within("it is shut out", BOUND + DETECTION, || tracked.out() == [3]);
    assert!(tracked.health(3).contains("behind on its list"), "{}", tracked.health(3));
    let status = tracked.fleet.nodes[3].hand_in("safe", "at-the-door", 0, 20.0);
    assert_eq!(status, 503, "new messages must be refused");
    let handed = &loads[3].handed;
    let refused = || handed.refused.load(std::sync::atomic::Ordering::Relaxed);
    until("its clients are refused", || (refused() > 3).then_some(()));
    // The operators' command must show it.
    let shown = tracked.status();
    let hows: Vec<How> = shown.rows.iter().map(|row| row.how).collect();
    assert_eq!(hows, [How::Current, How::Current, How::Current, How::ShutOut], "{}", shown.text());
    // The others must see why.
    let seen = tracked.standing(0).expect("an answer");
    assert_eq!((&seen["rows"][3]["found_behind"], &seen["rows"][3]["out"]), (&"list".into(), &true.into()));
    tracked.fleet.agents()[3].speak();
    until_within("it is back", DETECTION, || tracked.out().is_empty());
    assert_eq!(tracked.fleet.nodes[3].hand_in("safe", "again", 0, 20.0), 202);
    let ends = |of: &str| tracked.fleet.calls().iter().any(|call| call.reference == of);
    until("a new message is delivered", || ends("again").then_some(()));
    drop(loads);
    let found = tracked.audited(false);
    assert!(found.counts.is_empty(), "{:#?}", found.breaches);
    let outages: Vec<usize> = found.logs.iter().map(|log| log.outages.len()).collect();
    assert_eq!(outages, [0, 0, 0, 1]);
    assert!(found.logs[3].outages[0].until.is_some());
    assert!(
        found.spreads.iter().any(|spread| spread.dispatchers == 4 && spread.last.0 == 3),
        "{:?}",
        found.spreads
    );
}

#[test]
fn dispatcher_without_a_signal_reloads_settings_by_itself_and_none_is_shut_out() {
    let mut tracked = tracked_fleet(4, 22, None, "");
    let _loads = loads(&tracked.fleet);
    let before = tracked.standing(0).expect("an answer")["standing"]["settings"]["digest"].clone();
    // Three of four get the signal; the last one must reload the file by itself.
    tracked.change_settings(&[0, 1, 2, 3], &[0, 1, 2], 250_000_000);
    until_within("all dispatchers use the new settings", BOUND, || {
        let digest = |node| tracked.standing(node).map(|s| s["standing"]["settings"]["digest"].clone());
        let all: Vec<_> = (0..4).map(digest).collect();
        all.iter().all(|digest| *digest == all[0]) && all[0].as_ref().is_some_and(|digest| *digest != before)
    });
    pass(&tracked.fleet, BOUND);
    assert_eq!(tracked.out(), Vec::<usize>::new());
    tracked.assert_clean_audit(false);
}

#[test]
fn rollout_rejected_by_some_is_reported_and_shuts_nobody_out() {
    let mut tracked = tracked_fleet(5, 23, None, "");
    let _loads = loads(&tracked.fleet);
    // Two dispatchers get an invalid file, the others a valid one.
    for node in [3, 4] {
        tracked.fleet.nodes[node].configure(|text| {
            let mut config: Value = serde_json::from_str(text).expect("a configuration");
            config["settings"]["limits"]["tryLimit"] = 0.into();
            config.to_string()
        });
    }
    for node in [0, 1, 2] {
        tracked.fleet.nodes[node].configure(|text| {
            let mut config: Value = serde_json::from_str(text).expect("a configuration");
            config["settings"]["limits"]["tryLimit"] = 5.into();
            config.to_string()
        });
    }
    [0, 1, 2, 3, 4].into_iter().for_each(|node| tracked.fleet.nodes[node].signal("HUP"));
    until("the new settings are the majority version", || {
        (tracked.views(0, "settings")[..3] == ["current"; 3]).then_some(())
    });
    until("the rejections are reported", || {
        let rows = tracked.standing(0)?["rows"].as_array()?.clone();
        (rows[3]["turned_down"] != 0 && rows[4]["turned_down"] != 0 && rows[0]["turned_down"] == 0)
            .then_some(())
    });
    pass(&tracked.fleet, BOUND + 4 * SECOND);
    let shown = tracked.status();
    let parts: Vec<Kind> = shown.roll_outs.iter().map(|parts| parts.kind).collect();
    assert_eq!(parts, [Kind::Settings], "{}", shown.text());
    assert_eq!(shown.roll_outs[0].turned_down, [3, 4], "{}", shown.text());
    assert_eq!(tracked.out(), Vec::<usize>::new(), "two of five rejecting is a failed rollout");
    tracked.assert_clean_audit(false);
}

#[test]
fn no_side_of_a_split_is_shut_out_and_the_minority_reports_unknown() {
    let mut tracked = tracked_fleet(5, 24, None, "");
    let _loads = loads(&tracked.fleet);
    tracked.fleet.relay.split(&[0, 1, 2], &[3, 4]);
    until("the sides are disconnected", || {
        (tracked.fleet.nodes[3].figure("tier_alive") == 1 && tracked.fleet.nodes[0].figure("tier_alive") == 2)
            .then_some(())
    });
    // Each side gets a different list.
    tracked.tell(&[0, 1, 2], 41.0, &[]);
    tracked.tell(&[3, 4], 42.0, &[]);
    until("the majority side is current", || (tracked.views(0, "list")[..3] == ["current"; 3]).then_some(()));
    pass(&tracked.fleet, BOUND + 3 * SECOND);
    assert_eq!(tracked.views(3, "list"), ["unknown"; 5]);
    assert_eq!(tracked.views(0, "list")[3..], ["unknown"; 2]);
    assert_eq!(tracked.out(), Vec::<usize>::new());
    tracked.fleet.relay.heal();
    tracked.tell(&[0, 1, 2, 3, 4], 43.0, &[]);
    until("all dispatchers are current", || (tracked.views(4, "list") == ["current"; 5]).then_some(()));
    assert_eq!(tracked.out(), Vec::<usize>::new());
    // A dispatcher that only sends and receives nothing must report unknown and keep working.
    for other in [1, 2, 3, 4] {
        tracked.fleet.relay.set(other, 0, Way::CUT);
    }
    until("it reports unknown", || (tracked.views(0, "list") == ["unknown"; 5]).then_some(()));
    pass(&tracked.fleet, BOUND);
    assert_eq!(tracked.out(), Vec::<usize>::new());
    tracked.assert_clean_audit(false);
}

/// Number of calls from a dispatcher to an endpoint since `from`.
fn called(tracked: &TrackedFleet, node: usize, endpoint: usize, from: Duration) -> usize {
    tracked.fleet.calls().iter().filter(|c| c.node == node && c.endpoint == endpoint && c.at >= from).count()
}

#[test]
fn drain_received_by_others_applies_until_the_own_agent_lifts_it() {
    let mut tracked = tracked_fleet(4, 25, None, "list_ms = 60000");
    let _loads = loads(&tracked.fleet);
    // At low load all calls go to the first endpoint.
    until("all dispatchers call the first endpoint", || {
        (0..4).all(|n| called(&tracked, n, 0, Duration::ZERO) > 0).then_some(())
    });
    tracked.fleet.agents()[3].silence();
    tracked.tell(&[0, 1, 2, 3], 40.0, &[0]);
    pass(&tracked.fleet, PROPAGATION);
    let from = tracked.fleet.now();
    pass(&tracked.fleet, 2 * SECOND);
    for node in 0..4 {
        assert_eq!(called(&tracked, node, 0, from), 0, "{node} must not call the draining endpoint");
        assert!(called(&tracked, node, 1, from) > 0, "{node} must call the other endpoints");
    }
    // The endpoint returns at the others, where the rest drains now. A restart in between must not lose the
    // drain.
    tracked.tell(&[0, 1, 2, 3], 40.0, &[1, 2]);
    until("another dispatcher calls it again", || (called(&tracked, 0, 0, from) > 0).then_some(()));
    tracked.fleet.nodes[3].kill();
    tracked.fleet.nodes[3].start_again();
    met(&tracked.fleet, 3);
    pass(&tracked.fleet, PROPAGATION);
    assert_eq!(called(&tracked, 3, 0, from), 0, "its own agent has not lifted the drain");
    tracked.fleet.agents()[3].speak();
    until("it calls the endpoint after its own agent lifted the drain", || {
        (called(&tracked, 3, 0, from) > 0).then_some(())
    });
    tracked.assert_clean_audit(true);
}

#[test]
fn cordon_reaches_all_dispatchers_despite_kills_during_synchronization() {
    let mut tracked = tracked_fleet(4, 26, None, "sync_bytes_per_second = 256");
    let _loads = loads(&tracked.fleet);
    tracked.fleet.relay.split(&[0, 1], &[2, 3]);
    assert!(tracked.fleet.nodes[0].staff("cordon d0-0").starts_with("SUCCESS"));
    assert!(tracked.fleet.nodes[3].staff("cordon d0-1").starts_with("SUCCESS"));
    tracked.fleet.relay.set_all(Way { loss: 0.3, repeated: 0.3, delay: [Duration::ZERO, SECOND / 2] });
    // Two dispatchers are killed at once; one of them loses its folder.
    tracked.fleet.nodes[1].kill();
    tracked.fleet.nodes[2].kill();
    tracked.fleet.nodes[2].lose_folder();
    tracked.fleet.nodes[1].start_again();
    tracked.fleet.nodes[2].start_again();
    let digest = |node| tracked.standing(node).map(|s| s["standing"]["cordons"]["digest"].clone());
    until("all dispatchers have the same cordons", || {
        (0..4).all(|node| digest(node).is_some() && digest(node) == digest(0)).then_some(())
    });
    pass(&tracked.fleet, PROPAGATION);
    let from = tracked.fleet.now();
    pass(&tracked.fleet, 2 * SECOND);
    for node in 0..4 {
        assert_eq!((called(&tracked, node, 0, from), called(&tracked, node, 1, from)), (0, 0), "{node}");
        assert!(called(&tracked, node, 2, from) > 0, "{node}");
    }
    // Uncordoning applies only at this dispatcher; elsewhere an operator has to do it.
    assert!(tracked.fleet.nodes[0].staff("uncordon d0-0").starts_with("SUCCESS"));
    // At low load calls stay at the current endpoint, so that one is cordoned too.
    assert!(tracked.fleet.nodes[0].staff("cordon d0-2").starts_with("SUCCESS"));
    until("the first dispatcher calls it again", || (called(&tracked, 0, 0, from) > 0).then_some(()));
    pass(&tracked.fleet, PROPAGATION);
    assert!(
        (1..4).all(|node| called(&tracked, node, 0, from) == 0),
        "the cordon must not be lifted by other dispatchers"
    );
    assert!(tracked.fleet.nodes[1].staff("uncordon d0-0").starts_with("SUCCESS"));
    until("the second dispatcher calls it again", || (called(&tracked, 1, 0, from) > 0).then_some(()));
    tracked.assert_clean_audit(true);
}

#[test]
fn paused_dispatcher_is_shut_out_before_it_accepts_new_messages() {
    let mut tracked = tracked_fleet(4, 27, None, "");
    let loads = loads(&tracked.fleet);
    tracked.fleet.agents()[2].silence();
    tracked.tell(&[0, 1, 2, 3], 41.0, &[]);
    pass(&tracked.fleet, SECOND);
    tracked.fleet.nodes[2].signal("STOP");
    pass(&tracked.fleet, 5 * SECOND);
    tracked.fleet.nodes[2].signal("CONT");
    until_within("it is shut out", DETECTION, || tracked.out() == [2]);
    // A process that replaces one that is shut out must be shut out as well.
    let mut before = tracked.fleet.nodes[2].upgrade();
    until_within("the new process is shut out", BOUND + DETECTION, || tracked.out() == [2]);
    tracked.fleet.agents()[2].speak();
    until_within("it is back", DETECTION, || tracked.out().is_empty());
    before.kill();
    drop(loads);
    tracked.assert_clean_audit(true);
}

/// Kills at seeded moments, with changing lists and delayed agents; then compares the audit with the calls
/// that partners saw. `MILLPOST_RUNS` sets the number of runs, `MILLPOST_SEED` the first seed.
#[test]
fn audit_contains_every_call_that_partners_saw_despite_kills() {
    let variable = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (from, runs) = (variable("MILLPOST_SEED").unwrap_or(100), variable("MILLPOST_RUNS").unwrap_or(2));
    for seed in from..from + runs {
        let mut tracked = tracked_fleet(3, seed, None, "");
        let loads: Vec<Load> = (0..3).map(|node| tracked.fleet.load(node, 0, 20.0)).collect();
        let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut draw = |below: u64| {
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (dice >> 33) % below
        };
        let way = Way { loss: 0.1, repeated: 0.1, delay: [Duration::ZERO, Duration::from_millis(50)] };
        tracked.fleet.relay.set_all(way);
        for step in 0..4 {
            pass(&tracked.fleet, Duration::from_millis(100 + draw(500)));
            let node = draw(3) as usize;
            match draw(5) {
                0 => tracked.tell(&[0, 1, 2], 40.0 + step as f64, &[draw(3) as usize]),
                1 => tracked.fleet.agents()[node].delay(SECOND),
                2 => drop(tracked.fleet.nodes[node].staff_now(&format!("cordon d0-{}", draw(3)))),
                _ => {
                    tracked.fleet.nodes[node].kill();
                    tracked.fleet.nodes[node].start_again();
                }
            }
        }
        pass(&tracked.fleet, SECOND / 2);
        drop(loads);
        tracked.assert_clean_audit(true);
    }
}

#[test]
fn audit_detects_and_names_each_injected_fault() {
    // Calls to draining endpoints.
    let mut drained = tracked_fleet(3, 31, Some("call-drained"), "");
    let loads = loads(&drained.fleet);
    drained.tell(&[0, 1, 2], 40.0, &[0]);
    pass(&drained.fleet, 3 * SECOND);
    drop(loads);
    assert_eq!(drained.audited(false).counts.keys().collect::<Vec<_>>(), [&Rule::Drain]);
    // Going back to older lists.
    let mut older = tracked_fleet(3, 32, Some("old-list"), "");
    let loads = self::loads(&older.fleet);
    older.tell(&[0, 1, 2], 41.0, &[]);
    older.tell(&[0, 1, 2], 42.0, &[]);
    until("all dispatchers have the newest list", || {
        (older.views(0, "list") == ["current"; 3]).then_some(())
    });
    pass(&older.fleet, SECOND);
    // The agent restarts and begins with its first version again.
    older.fleet.agents()[0].rewind();
    pass(&older.fleet, 5 * SECOND);
    drop(loads);
    assert_eq!(older.audited(false).counts.keys().collect::<Vec<_>>(), [&Rule::Backwards]);
    // Accepting messages while shut out.
    let mut takes = tracked_fleet(4, 33, Some("take-while-out"), "");
    let loads = self::loads(&takes.fleet);
    takes.fleet.agents()[3].silence();
    takes.tell(&[0, 1, 2, 3], 41.0, &[]);
    until("it is shut out", || (takes.out() == [3]).then_some(()));
    pass(&takes.fleet, SECOND);
    drop(loads);
    let found = takes.audited(false);
    assert_eq!(found.counts.keys().collect::<Vec<_>>(), [&Rule::ShutOut]);
    assert!(found.breaches.iter().all(|breach| breach.by == 3 && breach.message.is_some()));
    // Using loans after their end.
    let mut forgets = tracked_fleet(4, 34, Some("forget-ends"), "");
    let load = forgets.fleet.load(0, 0, 60.0);
    until("the first dispatcher has borrowed", || {
        (forgets.fleet.nodes[0].figure("tier_borrowed_permille") > 300).then_some(())
    });
    pass(&forgets.fleet, 4 * SECOND);
    drop(load);
    assert_eq!(forgets.audited(false).counts.keys().collect::<Vec<_>>(), [&Rule::Lending]);
}

#[test]
fn audit_reports_a_message_accepted_by_two_dispatchers() {
    let mut tracked = tracked_fleet(3, 35, None, "");
    let _loads = loads(&tracked.fleet);
    pass(&tracked.fleet, 3 * SECOND);
    for node in [0, 1] {
        assert_eq!(tracked.fleet.nodes[node].hand_in("safe", "twice", 0, 20.0), 202);
        let calls = || tracked.fleet.calls().iter().filter(|c| c.reference == "twice").count();
        until("the message is delivered", || (calls() == node + 1).then_some(()));
    }
    pass(&tracked.fleet, SECOND / 2);
    let found = tracked.audited(false);
    assert_eq!(found.counts.keys().collect::<Vec<_>>(), [&Rule::Owner], "{:#?}", found.breaches);
    assert_eq!(found.breaches[0].message, Some(message("twice")));
    let mut ends = 0;
    read::folder(&tracked.folders()[0], |_, _, entry, _| {
        ends += usize::from(matches!(entry, Some(Entry::Ended { end: End::Delivered, .. })));
    });
    assert!(ends > 10, "{ends} ends");
    assert_eq!(found.clocks.len(), 3, "all clocks must be compared: {:?}", found.clocks);
    assert!(found.clocks.values().all(|ahead| ahead.by.abs() < 50_000_000), "{:?}", found.clocks);
}
