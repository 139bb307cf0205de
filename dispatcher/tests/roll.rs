//! Who is behind, between real processes with faults between them: stragglers are brought up or shut out within their bounds,
//! nobody is who was current, and the merged audit has every call that partners saw, with what it was decided on.

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

/// The bound on lists and settings in these tests.
const BOUND: Duration = Duration::from_secs(3);
/// What finding, votes and words take beside it, with much room for a machine that does other things too.
const ROUNDS: Duration = Duration::from_secs(12);
/// A drain that others were told holds from then on: a few rounds.
const HEARSAY: Duration = Duration::from_secs(2);

struct Rolled {
    fleet: Fleet,
    dir: tempfile::TempDir,
}

/// So many dispatchers that keep a roll and record what they decide.
fn rolled(of: usize, seed: u64, planted: Option<&str>, more: &str) -> Rolled {
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
    let rolled = Rolled { fleet, dir };
    // All have been told their lists, and all know of all.
    until("all are current", || {
        (0..of)
            .all(|node| rolled.views(node, "list") == vec!["current"; of] && rolled.confirmed(node))
            .then_some(())
    });
    rolled
}

impl Rolled {
    fn folders(&self) -> Vec<PathBuf> {
        (0..self.fleet.nodes.len()).map(|n| self.dir.path().join(format!("n{n}"))).collect()
    }

    /// What a dispatcher says on its console; nothing while it does not answer.
    fn standing(&self, node: usize) -> Option<Value> {
        let text = self.fleet.nodes[node].staff_now("standing")?;
        serde_json::from_str(text.lines().nth(1)?).ok()
    }

    /// How one sees all, on one kind, by number.
    fn views(&self, node: usize, kind: &str) -> Vec<String> {
        let Some(standing) = self.standing(node) else { return Vec::new() };
        let rows = standing["rows"].as_array().cloned().unwrap_or_default();
        rows.iter().map(|row| row["kinds"][kind]["view"].as_str().unwrap_or_default().to_owned()).collect()
    }

    /// Its agent has told it the list in this life.
    fn confirmed(&self, node: usize) -> bool {
        self.standing(node).is_some_and(|s| s["standing"]["list"]["generation"].as_u64() >= Some(2))
    }

    fn health(&self, node: usize) -> String {
        self.fleet.nodes[node].staff_now("health").unwrap_or_default()
    }

    /// What the operators' command makes of all consoles.
    fn status(&self) -> Status {
        let consoles: Vec<_> = self.fleet.nodes.iter().filter_map(|node| node.console).collect();
        let said = ask::standings(&consoles, 5 * SECOND);
        status::status(said.into_iter().map(|(at, said)| (at, said.map_err(|e| e.to_string()))).collect())
    }

    fn out(&self) -> Vec<usize> {
        (0..self.fleet.nodes.len()).filter(|n| self.health(*n).contains("shut out")).collect()
    }

    /// The list for a dispatcher, in which these endpoints drain.
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

    /// New settings, by a figure that changes nothing here; who is told of them.
    fn settle(&self, nodes: &[usize], told: &[usize], grace: u64) {
        for node in nodes {
            let node = &self.fleet.nodes[*node];
            node.configure(|text| {
                let mut config: Value = serde_json::from_str(text).expect("a configuration");
                config["settings"]["rules"]["graceToAnswerNs"] = grace.into();
                config.to_string()
            });
        }
        told.iter().for_each(|node| self.fleet.nodes[*node].signal("HUP"));
    }

    /// The audit of all, once nothing is on its way any more; and that it has what partners saw.
    fn audited(&mut self, killed: bool) -> Audit {
        self.fleet.nodes.iter_mut().for_each(|node| node.kill());
        let calls = self.fleet.calls();
        let mut seen: HashMap<(u16, u64, u64), usize> = HashMap::new();
        for call in &calls {
            let place = xxh3_64(format!("d0-{}", call.endpoint).as_bytes());
            *seen.entry((call.node as u16, message(&call.reference), place)).or_default() += 1;
        }
        let mut noted: HashMap<(u16, u64, u64), usize> = HashMap::new();
        for folder in self.folders() {
            read::folder(&folder, |head, _, entry, names| {
                if let Some(Entry::Attempt { message, endpoint, standing, .. }) = entry {
                    let on = names.standing(*standing).expect("a call names its standing");
                    // Where a folder was lost, others may have known of later lives.
                    assert!(on.incarnation >= head.author.incarnation, "of an earlier life");
                    let key = (head.author.number, names.message(*message), names.endpoint(*endpoint).0);
                    *noted.entry(key).or_default() += 1;
                }
            });
        }
        for (key, times) in &seen {
            assert!(noted.get(key) >= Some(times), "a call of {key:?} is not in the audit");
        }
        let (all, found): (usize, usize) = (noted.values().sum(), seen.values().sum());
        println!("partners saw {found} calls, the audit has {all}");
        // What was written as a process or a connection died may not have come.
        let lost = all - found;
        assert!(lost <= if killed { 40 } else { 8 }, "{lost} calls that nobody saw");
        assert!(found > 20, "only {found} calls: nothing is shown");
        audit(&self.folders(), 2, &Progress::default())
    }

    fn clean(&mut self, killed: bool) {
        let found = self.audited(killed);
        assert!(found.counts.is_empty(), "{:#?}", found.breaches);
        assert!(found.missing.is_empty());
    }
}

fn loads(fleet: &Fleet) -> Vec<Load> {
    (0..fleet.nodes.len()).map(|node| fleet.load(node, 0, 8.0)).collect()
}

/// How long until this holds.
fn timed(what: &str, within: Duration, mut check: impl FnMut() -> bool) {
    let began = Instant::now();
    until(what, || check().then_some(()));
    println!("{what}: after {:?}", began.elapsed());
    assert!(began.elapsed() < within, "{what}: only after {:?}", began.elapsed());
}

#[test]
fn one_whose_agent_is_mute_is_shut_out_within_its_bound_and_back_without_a_restart() {
    let mut rolled = rolled(4, 21, None, "");
    let loads = loads(&rolled.fleet);
    rolled.fleet.agents()[3].silence();
    rolled.tell(&[0, 1, 2, 3], 41.0, &[]);
    timed("it is shut out", BOUND + ROUNDS, || rolled.out() == [3]);
    assert!(rolled.health(3).contains("behind on its list"), "{}", rolled.health(3));
    let status = rolled.fleet.nodes[3].hand_in("safe", "at-the-door", 0, 20.0);
    assert_eq!(status, 503, "clients go elsewhere");
    let handed = &loads[3].handed;
    let refused = || handed.refused.load(std::sync::atomic::Ordering::Relaxed);
    until("its clients are refused", || (refused() > 3).then_some(()));
    // As the operators' command shows it.
    let shown = rolled.status();
    let hows: Vec<How> = shown.rows.iter().map(|row| row.how).collect();
    assert_eq!(hows, [How::Current, How::Current, How::Current, How::ShutOut], "{}", shown.text());
    // The others see why; nobody lends to it.
    let seen = rolled.standing(0).expect("an answer");
    assert_eq!((&seen["rows"][3]["found_behind"], &seen["rows"][3]["out"]), (&"list".into(), &true.into()));
    rolled.fleet.agents()[3].speak();
    timed("it is back", ROUNDS, || rolled.out().is_empty());
    assert_eq!(rolled.fleet.nodes[3].hand_in("safe", "again", 0, 20.0), 202);
    let ends = |of: &str| rolled.fleet.calls().iter().any(|call| call.reference == of);
    until("what it takes is delivered", || ends("again").then_some(()));
    drop(loads);
    let found = rolled.audited(false);
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
fn settings_that_reach_half_by_signal_are_read_by_the_rest_and_nobody_is_shut_out() {
    let mut rolled = rolled(4, 22, None, "");
    let _loads = loads(&rolled.fleet);
    let before = rolled.standing(0).expect("an answer")["standing"]["settings"]["digest"].clone();
    // Three of four hear it, and the last one reads the file again by itself.
    rolled.settle(&[0, 1, 2, 3], &[0, 1, 2], 250_000_000);
    timed("all act on it", BOUND, || {
        let digest = |node| rolled.standing(node).map(|s| s["standing"]["settings"]["digest"].clone());
        let all: Vec<_> = (0..4).map(digest).collect();
        all.iter().all(|digest| *digest == all[0]) && all[0].as_ref().is_some_and(|digest| *digest != before)
    });
    pass(&rolled.fleet, BOUND);
    assert_eq!(rolled.out(), Vec::<usize>::new());
    rolled.clean(false);
}

#[test]
fn a_roll_out_that_half_turn_down_is_shown_as_one_and_shuts_nobody_out() {
    let mut rolled = rolled(5, 23, None, "");
    let _loads = loads(&rolled.fleet);
    // Two can't take what the others take: there the same file is not good.
    for node in [3, 4] {
        rolled.fleet.nodes[node].configure(|text| {
            let mut config: Value = serde_json::from_str(text).expect("a configuration");
            config["settings"]["limits"]["tryLimit"] = 0.into();
            config.to_string()
        });
    }
    for node in [0, 1, 2] {
        rolled.fleet.nodes[node].configure(|text| {
            let mut config: Value = serde_json::from_str(text).expect("a configuration");
            config["settings"]["limits"]["tryLimit"] = 5.into();
            config.to_string()
        });
    }
    [0, 1, 2, 3, 4].into_iter().for_each(|node| rolled.fleet.nodes[node].signal("HUP"));
    until("the new settings are what most act on", || {
        (rolled.views(0, "settings")[..3] == ["current"; 3]).then_some(())
    });
    until("who turned them down says so", || {
        let rows = rolled.standing(0)?["rows"].as_array()?.clone();
        (rows[3]["turned_down"] != 0 && rows[4]["turned_down"] != 0 && rows[0]["turned_down"] == 0)
            .then_some(())
    });
    pass(&rolled.fleet, BOUND + 4 * SECOND);
    let shown = rolled.status();
    let parts: Vec<Kind> = shown.roll_outs.iter().map(|parts| parts.kind).collect();
    assert_eq!(parts, [Kind::Settings], "{}", shown.text());
    assert_eq!(shown.roll_outs[0].turned_down, [3, 4], "{}", shown.text());
    assert_eq!(rolled.out(), Vec::<usize>::new(), "two of five are a roll-out that went wrong");
    rolled.clean(false);
}

#[test]
fn no_side_of_a_split_shuts_the_other_out_and_the_small_one_says_unknown() {
    let mut rolled = rolled(5, 24, None, "");
    let _loads = loads(&rolled.fleet);
    rolled.fleet.relay.split(&[0, 1, 2], &[3, 4]);
    until("the sides don't hear each other", || {
        (rolled.fleet.nodes[3].figure("tier_alive") == 1 && rolled.fleet.nodes[0].figure("tier_alive") == 2)
            .then_some(())
    });
    // Each gets a list that the other has not.
    rolled.tell(&[0, 1, 2], 41.0, &[]);
    rolled.tell(&[3, 4], 42.0, &[]);
    until("the large side is sure of itself", || {
        (rolled.views(0, "list")[..3] == ["current"; 3]).then_some(())
    });
    pass(&rolled.fleet, BOUND + 3 * SECOND);
    assert_eq!(rolled.views(3, "list"), ["unknown"; 5]);
    assert_eq!(rolled.views(0, "list")[3..], ["unknown"; 2]);
    assert_eq!(rolled.out(), Vec::<usize>::new());
    rolled.fleet.relay.heal();
    rolled.tell(&[0, 1, 2, 3, 4], 43.0, &[]);
    until("all are current", || (rolled.views(4, "list") == ["current"; 5]).then_some(()));
    assert_eq!(rolled.out(), Vec::<usize>::new());
    // One is heard and hears nothing: it says so, and goes on.
    for other in [1, 2, 3, 4] {
        rolled.fleet.relay.set(other, 0, Way::CUT);
    }
    until("the deaf one says unknown", || (rolled.views(0, "list") == ["unknown"; 5]).then_some(()));
    pass(&rolled.fleet, BOUND);
    assert_eq!(rolled.out(), Vec::<usize>::new());
    rolled.clean(false);
}

fn called(rolled: &Rolled, node: usize, endpoint: usize, from: Duration) -> usize {
    rolled.fleet.calls().iter().filter(|c| c.node == node && c.endpoint == endpoint && c.at >= from).count()
}

#[test]
fn a_drain_that_others_were_told_holds_and_is_lifted_by_no_hearsay() {
    let mut rolled = rolled(4, 25, None, "list_ms = 60000");
    let _loads = loads(&rolled.fleet);
    // With little to do all calls go to the first endpoint.
    until("all call it", || (0..4).all(|n| called(&rolled, n, 0, Duration::ZERO) > 0).then_some(()));
    rolled.fleet.agents()[3].silence();
    rolled.tell(&[0, 1, 2, 3], 40.0, &[0]);
    pass(&rolled.fleet, HEARSAY);
    let from = rolled.fleet.now();
    pass(&rolled.fleet, 2 * SECOND);
    for node in 0..4 {
        assert_eq!(called(&rolled, node, 0, from), 0, "{node} calls what drains");
        assert!(called(&rolled, node, 1, from) > 0, "{node} calls the others");
    }
    // Put back at all others, where the rest drains now; and a restart in between forgets nothing.
    rolled.tell(&[0, 1, 2, 3], 40.0, &[1, 2]);
    until("others call it again", || (called(&rolled, 0, 0, from) > 0).then_some(()));
    rolled.fleet.nodes[3].kill();
    rolled.fleet.nodes[3].start_again();
    met(&rolled.fleet, 3);
    pass(&rolled.fleet, HEARSAY);
    assert_eq!(called(&rolled, 3, 0, from), 0, "its own list has not put it back");
    rolled.fleet.agents()[3].speak();
    until("it calls it again once its own list has spoken", || {
        (called(&rolled, 3, 0, from) > 0).then_some(())
    });
    rolled.clean(true);
}

#[test]
fn a_cordon_at_one_reaches_all_also_those_that_were_killed_while_they_were_brought_up() {
    let mut rolled = rolled(4, 26, None, "sync_bytes_per_second = 256");
    let _loads = loads(&rolled.fleet);
    rolled.fleet.relay.split(&[0, 1], &[2, 3]);
    assert!(rolled.fleet.nodes[0].staff("cordon d0-0").starts_with("SUCCESS"));
    assert!(rolled.fleet.nodes[3].staff("cordon d0-1").starts_with("SUCCESS"));
    rolled.fleet.relay.set_all(Way { loss: 0.3, repeated: 0.3, delay: [Duration::ZERO, SECOND / 2] });
    // Killed at once, with and without what lasts.
    rolled.fleet.nodes[1].kill();
    rolled.fleet.nodes[2].kill();
    rolled.fleet.nodes[2].lose_folder();
    rolled.fleet.nodes[1].start_again();
    rolled.fleet.nodes[2].start_again();
    let digest = |node| rolled.standing(node).map(|s| s["standing"]["cordons"]["digest"].clone());
    until("all know the same", || {
        (0..4).all(|node| digest(node).is_some() && digest(node) == digest(0)).then_some(())
    });
    pass(&rolled.fleet, HEARSAY);
    let from = rolled.fleet.now();
    pass(&rolled.fleet, 2 * SECOND);
    for node in 0..4 {
        assert_eq!((called(&rolled, node, 0, from), called(&rolled, node, 1, from)), (0, 0), "{node}");
        assert!(called(&rolled, node, 2, from) > 0, "{node}");
    }
    // Where it was taken out, it is put back; elsewhere that is for the staff to do.
    assert!(rolled.fleet.nodes[0].staff("uncordon d0-0").starts_with("SUCCESS"));
    // With little to do calls stay where they are, until that is out too.
    assert!(rolled.fleet.nodes[0].staff("cordon d0-2").starts_with("SUCCESS"));
    until("it is called again there", || (called(&rolled, 0, 0, from) > 0).then_some(()));
    pass(&rolled.fleet, HEARSAY);
    assert!((1..4).all(|node| called(&rolled, node, 0, from) == 0), "lifted by hearsay");
    assert!(rolled.fleet.nodes[1].staff("uncordon d0-0").starts_with("SUCCESS"));
    until("and here", || (called(&rolled, 1, 0, from) > 0).then_some(()));
    rolled.clean(true);
}

#[test]
fn one_that_was_paused_learns_that_it_was_shut_out_before_it_takes_anything_new() {
    let mut rolled = rolled(4, 27, None, "");
    let loads = loads(&rolled.fleet);
    rolled.fleet.agents()[2].silence();
    rolled.tell(&[0, 1, 2, 3], 41.0, &[]);
    pass(&rolled.fleet, SECOND);
    rolled.fleet.nodes[2].signal("STOP");
    pass(&rolled.fleet, 5 * SECOND);
    rolled.fleet.nodes[2].signal("CONT");
    timed("it is shut out", ROUNDS, || rolled.out() == [2]);
    // A process takes the place of one that is out: it is found out once more.
    let mut before = rolled.fleet.nodes[2].upgrade();
    timed("the new process is shut out", BOUND + ROUNDS, || rolled.out() == [2]);
    rolled.fleet.agents()[2].speak();
    timed("it is back", ROUNDS, || rolled.out().is_empty());
    before.kill();
    drop(loads);
    rolled.clean(true);
}

/// Kills at seeded moments, with lists that change and agents that are late; then the audit against what partners saw. More
/// runs where `MILLPOST_RUNS` says so, from the seed `MILLPOST_SEED` on.
#[test]
fn every_call_that_partners_saw_is_in_the_audit_whoever_is_killed_and_when() {
    let asked = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (from, runs) = (asked("MILLPOST_SEED").unwrap_or(100), asked("MILLPOST_RUNS").unwrap_or(2));
    for seed in from..from + runs {
        let mut rolled = rolled(3, seed, None, "");
        let loads: Vec<Load> = (0..3).map(|node| rolled.fleet.load(node, 0, 20.0)).collect();
        let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut draw = |below: u64| {
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (dice >> 33) % below
        };
        let way = Way { loss: 0.1, repeated: 0.1, delay: [Duration::ZERO, Duration::from_millis(50)] };
        rolled.fleet.relay.set_all(way);
        for step in 0..4 {
            pass(&rolled.fleet, Duration::from_millis(100 + draw(500)));
            let node = draw(3) as usize;
            match draw(5) {
                0 => rolled.tell(&[0, 1, 2], 40.0 + step as f64, &[draw(3) as usize]),
                1 => rolled.fleet.agents()[node].delay(SECOND),
                2 => drop(rolled.fleet.nodes[node].staff_now(&format!("cordon d0-{}", draw(3)))),
                _ => {
                    rolled.fleet.nodes[node].kill();
                    rolled.fleet.nodes[node].start_again();
                }
            }
        }
        pass(&rolled.fleet, SECOND / 2);
        drop(loads);
        rolled.clean(true);
    }
}

#[test]
fn each_fault_that_is_planted_is_found_by_the_audit_and_named() {
    // Late drains.
    let mut drained = rolled(3, 31, Some("call-drained"), "");
    let loads = loads(&drained.fleet);
    drained.tell(&[0, 1, 2], 40.0, &[0]);
    pass(&drained.fleet, 3 * SECOND);
    drop(loads);
    assert_eq!(drained.audited(false).counts.keys().collect::<Vec<_>>(), [&Rule::Drain]);
    // Lists that are older.
    let mut older = rolled(3, 32, Some("old-list"), "");
    let loads = self::loads(&older.fleet);
    older.tell(&[0, 1, 2], 41.0, &[]);
    older.tell(&[0, 1, 2], 42.0, &[]);
    until("all have it", || (older.views(0, "list") == ["current"; 3]).then_some(()));
    pass(&older.fleet, SECOND);
    // The agent is started anew, and begins at its first version.
    older.fleet.agents()[0].rewind();
    pass(&older.fleet, 5 * SECOND);
    drop(loads);
    assert_eq!(older.audited(false).counts.keys().collect::<Vec<_>>(), [&Rule::Backwards]);
    // Messages that are taken while it is shut out.
    let mut takes = rolled(4, 33, Some("take-while-out"), "");
    let loads = self::loads(&takes.fleet);
    takes.fleet.agents()[3].silence();
    takes.tell(&[0, 1, 2, 3], 41.0, &[]);
    until("it is shut out", || (takes.out() == [3]).then_some(()));
    pass(&takes.fleet, SECOND);
    drop(loads);
    let found = takes.audited(false);
    assert_eq!(found.counts.keys().collect::<Vec<_>>(), [&Rule::ShutOut]);
    assert!(found.breaches.iter().all(|breach| breach.by == 3 && breach.message.is_some()));
    // Lendings that are used after their end.
    let mut forgets = rolled(4, 34, Some("forget-ends"), "");
    let load = forgets.fleet.load(0, 0, 60.0);
    until("it has borrowed", || {
        (forgets.fleet.nodes[0].figure("tier_borrowed_permille") > 300).then_some(())
    });
    pass(&forgets.fleet, 4 * SECOND);
    drop(load);
    assert_eq!(forgets.audited(false).counts.keys().collect::<Vec<_>>(), [&Rule::Lending]);
}

#[test]
fn one_message_at_two_dispatchers_has_two_owners_and_a_refused_one_has_not() {
    let mut rolled = rolled(3, 35, None, "");
    let _loads = loads(&rolled.fleet);
    pass(&rolled.fleet, 3 * SECOND);
    for node in [0, 1] {
        assert_eq!(rolled.fleet.nodes[node].hand_in("safe", "twice", 0, 20.0), 202);
        let calls = || rolled.fleet.calls().iter().filter(|c| c.reference == "twice").count();
        until("it is delivered", || (calls() == node + 1).then_some(()));
    }
    pass(&rolled.fleet, SECOND / 2);
    let found = rolled.audited(false);
    assert_eq!(found.counts.keys().collect::<Vec<_>>(), [&Rule::Owner], "{:#?}", found.breaches);
    assert_eq!(found.breaches[0].message, Some(message("twice")));
    let mut ends = 0;
    read::folder(&rolled.folders()[0], |_, _, entry, _| {
        ends += usize::from(matches!(entry, Some(Entry::Ended { end: End::Delivered, .. })));
    });
    assert!(ends > 10, "{ends} ends");
    assert_eq!(found.clocks.len(), 3, "all clocks are put side by side: {:?}", found.clocks);
    assert!(found.clocks.values().all(|ahead| ahead.by.abs() < 50_000_000), "{:?}", found.clocks);
}
