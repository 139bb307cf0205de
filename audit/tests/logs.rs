//! Logs of several dispatchers, written and audited: what was noted is there, what is missing is said, and each kind of breach
//! is found and named.

use std::path::{Path, PathBuf};

use millpost_audit::audit::Progress;
use millpost_audit::entry::{Author, Entry};
use millpost_audit::judge::Rule;
use millpost_audit::log::{LEAST_BUDGET, Log, Stood, segments};
use millpost_audit::{Audit, End, State, audit, explain, message};
use millpost_tier::Loan;
use millpost_tier::lending::even_share;
use millpost_tier::versions::{ActiveVersions, Kind};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_700_000_000 * SECOND;
const OF: u16 = 3;

fn author(number: u16, incarnation: u32) -> Author {
    Author { number, of: OF, name: format!("n{number}"), incarnation, drain_ms: 500 }
}

fn standing(incarnation: u32) -> ActiveVersions {
    let mut standing =
        ActiveVersions { incarnation, epoch: incarnation, agent: 7, index: 10, ..ActiveVersions::default() };
    standing.set_version(Kind::List, 99);
    standing
}

struct Fleet {
    dir: tempfile::TempDir,
    logs: Vec<Log>,
    on: Vec<Stood>,
    now: u64,
}

impl Fleet {
    fn new() -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let open = |n: u16| Log::open(&dir.path().join(format!("n{n}")), LEAST_BUDGET, author(n, 4), START);
        let mut logs: Vec<Log> = (0..OF).map(|n| open(n).expect("a log")).collect();
        let on = logs.iter_mut().map(|log| log.acts_on(START, standing(4))).collect();
        Fleet { dir, logs, on, now: START }
    }
    fn folders(&self) -> Vec<PathBuf> {
        (0..OF).map(|n| self.dir.path().join(format!("n{n}"))).collect()
    }
    fn pass(&mut self, ms: u64) -> u64 {
        self.now += ms * 1_000_000;
        self.now
    }
    fn audit(&mut self) -> Audit {
        let now = self.now;
        self.logs.iter_mut().for_each(|log| log.write(now));
        audit(&self.folders(), 2, &Progress::default())
    }
    /// A message, from its taking to its end.
    fn message(&mut self, n: usize, reference: &str) {
        let id = message(reference);
        let (now, on) = (self.pass(3), self.on[n]);
        self.logs[n].taken(now, id, on);
        self.logs[n].attempt(now, id, (5, 1), on, 0);
        let now = self.pass(40);
        self.logs[n].ended(now, id, End::Delivered, on);
    }
}

#[test]
fn a_clean_run_has_every_decision_with_its_standing_and_no_breach() {
    let mut fleet = Fleet::new();
    for id in 0..300 {
        fleet.message(id as usize % 3, &format!("m{id}"));
    }
    // On other versions from here on; a call that was decided before names those of before.
    let before = fleet.on[1];
    let mut newer = standing(4);
    newer.set_version(Kind::List, 100);
    newer.index = 11;
    let now = fleet.pass(10);
    let after = fleet.logs[1].acts_on(now, newer);
    fleet.logs[1].taken(now, message("late"), after);
    fleet.logs[1].attempt(now, message("late"), (5, 1), before, 5 * SECOND);
    let found = fleet.audit();
    assert_eq!((found.counts.len(), found.has_gaps()), (0, false), "{found:?}");
    assert_eq!(found.logs.iter().map(|log| log.attempts).sum::<u64>(), 301);
    assert_eq!(found.logs.iter().map(|log| log.decisions).sum::<u64>(), 902);
    let (steps, _) = explain(&fleet.folders(), 2, message("late"));
    let digests: Vec<u32> = steps.iter().map(|s| s.standing.expect("a standing").list.digest).collect();
    assert_eq!(digests, [100, 99], "{steps:?}");
    assert!(steps[1].what.contains("decided 5000 ms before"));
    let spread = found.spreads.iter().find(|s| s.kind == Kind::List && s.digest == 99).expect("a spread");
    assert_eq!(spread.dispatchers, 3);
    let (steps, _) = explain(&fleet.folders(), 1, message("m7"));
    let told: Vec<&str> = steps.iter().map(|step| step.what.as_str()).collect();
    assert!(
        told[0] == "taken on" && told[1].starts_with("a call to endpoint") && told[2] == "ended: Delivered"
    );
    assert!(explain(&fleet.folders(), 1, message("nobody")).0.is_empty());
}

/// Each kind of breach, planted in a log that has nothing else.
#[test]
fn each_kind_of_breach_is_found_and_named() {
    let loan = |lent, epoch| Loan { dest: 1, peer: 2, lent, part: 1_000, until: 0, epoch };
    let plant = |what: &dyn Fn(&mut Fleet)| {
        let mut fleet = Fleet::new();
        fleet.message(0, "a");
        what(&mut fleet);
        let found = fleet.audit();
        let rules: Vec<Rule> = found.counts.keys().copied().collect();
        (rules, found)
    };
    for state in [State::Draining, State::Cordoned, State::Held, State::Gone] {
        let late = |by: u64| {
            move |fleet: &mut Fleet| {
                let (now, on) = (fleet.pass(1), fleet.on[0]);
                fleet.logs[0].state(now, 5, 1, state);
                let now = fleet.pass(by);
                fleet.logs[0].attempt(now, message("b"), (5, 1), on, 0);
            }
        };
        assert_eq!(plant(&late(590)).0, [], "{state:?}");
        let (rules, found) = plant(&late(700));
        assert_eq!(rules, [Rule::Drain], "{state:?}");
        assert_eq!(found.breaches[0].message, Some(message("b")));
        assert_eq!(found.breaches[0].standing, Some(standing(4)));
    }
    // Gone, and listed again under its name.
    let again = |fleet: &mut Fleet| {
        let now = fleet.pass(1);
        fleet.logs[0].state(now, 5, 1, State::Gone);
        let now = fleet.pass(5_000);
        fleet.logs[0].appears(now, 5, 1);
        fleet.logs[0].state(now, 5, 1, State::InService);
        fleet.message(0, "b");
    };
    assert_eq!(plant(&again).0, []);
    let lent = |told_anew: bool| {
        move |fleet: &mut Fleet| {
            let (now, on, right) = (fleet.pass(1), fleet.on[0], even_share(OF));
            fleet.logs[0].loan(now, &loan(false, 4), 2 * SECOND, on);
            let (part, after) = (right + 1_000, right);
            let until_ms = if told_anew { 1_900 } else { 0 };
            fleet.logs[0].note(now, &Entry::Part { dest: 1, part, until_ms, after, limit: 40_000 });
            for wait in [1_000, 1_500] {
                let now = fleet.pass(wait);
                fleet.logs[0].attempt(now, message("b"), (5, 1), on, 0);
            }
        }
    };
    assert_eq!(plant(&lent(true)).0, []);
    assert_eq!(plant(&lent(false)).0, [Rule::Lending]);
    let out = |fleet: &mut Fleet| {
        let now = fleet.pass(1);
        fleet.logs[0].service(now, Some(Kind::List));
    };
    let (rules, found) = plant(&|fleet: &mut Fleet| {
        out(fleet);
        fleet.message(0, "b");
    });
    assert_eq!((rules, found.logs[0].outages.len()), (vec![Rule::ShutOut], 1));
    let lends_out = |fleet: &mut Fleet| {
        out(fleet);
        let (now, on) = (fleet.pass(1), fleet.on[0]);
        fleet.logs[0].loan(now, &loan(true, 4), SECOND, on);
    };
    assert_eq!(plant(&lends_out).0, [Rule::ShutOut]);
    let back = |fleet: &mut Fleet| {
        out(fleet);
        let now = fleet.pass(1);
        fleet.logs[0].service(now, None);
        fleet.message(0, "b");
    };
    assert_eq!(plant(&back).0, []);
    let epoch = |fleet: &mut Fleet| {
        let (now, on) = (fleet.pass(1), fleet.on[0]);
        fleet.logs[0].note(now, &Entry::Heard { peer: 2, epoch: 6, beat: 10 });
        fleet.logs[0].loan(now, &loan(false, 5), SECOND, on);
    };
    assert_eq!(plant(&epoch).0, [Rule::Epoch]);
    let (rules, found) = plant(&|fleet: &mut Fleet| fleet.message(1, "a"));
    assert_eq!(rules, [Rule::Owner]);
    assert!(found.breaches[0].what.contains("ended there as Delivered"), "{found:?}");
    let handed_on = |fleet: &mut Fleet| {
        let (now, on) = (fleet.pass(1), fleet.on[0]);
        fleet.logs[0].taken(now, message("b"), on);
        let now = fleet.pass(5);
        fleet.logs[0].ended(now, message("b"), End::Refused, on);
        fleet.pass(5);
        fleet.message(1, "b");
    };
    assert_eq!(plant(&handed_on).0, [], "its client was told to go elsewhere");
    let older = |whole: bool| {
        move |fleet: &mut Fleet| {
            let now = fleet.pass(1);
            fleet.logs[0].note(now, &Entry::Listed { whole });
            fleet.on[0] = fleet.logs[0].acts_on(now, ActiveVersions { index: 3, ..standing(4) });
            fleet.message(0, "b");
        }
    };
    assert_eq!(plant(&older(true)).0, [], "an agent that was started anew");
    assert_eq!(plant(&older(false)).0, [Rule::Backwards]);
    let life = |fleet: &mut Fleet| {
        let (folder, now) = (fleet.folders()[0].clone(), fleet.pass(1));
        fleet.logs[0] = Log::open(&folder, LEAST_BUDGET, author(0, 3), now).expect("a log");
    };
    assert_eq!(plant(&life).0, [Rule::Backwards]);
}

fn troubles(folder: &Path) -> Vec<(bool, String)> {
    let found = audit(&[folder.to_owned()], 1, &Progress::default());
    found.logs[0].troubles.iter().map(|t| (t.gap, t.what.clone())).collect()
}

#[test]
fn what_is_missing_is_said() {
    let mut fleet = Fleet::new();
    for id in 0..50 {
        fleet.message(id as usize % 3, &format!("m{id}"));
    }
    let now = fleet.now;
    fleet.logs.iter_mut().for_each(|log| log.end(now));
    let folders = fleet.folders();
    assert_eq!(troubles(&folders[0]), []);
    let whole = audit(&folders, 2, &Progress::default());
    assert!(!whole.has_gaps() && whole.missing.is_empty());
    let some = audit(&folders[..2], 2, &Progress::default());
    assert_eq!((some.missing.clone(), some.has_gaps()), (vec![2], true));
    let none = audit(&[fleet.dir.path().join("nowhere")], 1, &Progress::default());
    assert!(none.has_gaps() && none.logs[0].number.is_none());
    let (_, file) = segments(&folders[0]).expect("segments").remove(0);
    let bytes = std::fs::read(&file).expect("a segment");
    let with = |bytes: &[u8]| {
        std::fs::write(&file, bytes).expect("written");
        troubles(&folders[0])
    };
    let mut other = bytes.clone();
    other[4] = 7;
    assert!(matches!(&with(&other)[..], [(true, what)] if what.contains("layout is 7")));
    let mut flipped = bytes.clone();
    flipped[bytes.len() / 2] ^= 1;
    assert!(matches!(&with(&flipped)[..], [(true, what)] if what.contains("damaged at byte")));
    let cut = with(&bytes[..bytes.len() - 3]);
    assert!(matches!(&cut[..], [(false, what)] if what.contains("cut at byte")), "{cut:?}");
    // The next life knows that the one before was cut off, and goes on.
    let mut next = Log::open(&folders[0], LEAST_BUDGET, author(0, 5), now + SECOND).expect("a log");
    next.end(now + 2 * SECOND);
    let said = troubles(&folders[0]);
    assert!(said.iter().any(|(gap, what)| !gap && what.contains("was killed")), "{said:?}");
    // A segment between two others.
    let mut third = Log::open(&folders[0], LEAST_BUDGET, author(0, 6), now + 3 * SECOND).expect("a log");
    third.end(now + 4 * SECOND);
    std::fs::remove_file(&segments(&folders[0]).expect("segments")[1].1).expect("removed");
    let said = troubles(&folders[0]);
    assert!(
        said.iter().any(|(gap, what)| *gap && what.contains("a segment before it is missing")),
        "{said:?}"
    );
}

#[test]
fn the_budget_holds_and_what_went_out_is_counted_and_costs_nothing_that_stays() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut log = Log::open(dir.path(), LEAST_BUDGET, author(0, 1), START).expect("a log");
    let (mut now, mut records) = (START, 0);
    log.state(now, 77, 1, State::Cordoned);
    for id in 0..120_000_u64 {
        now += 1_000_000;
        let on = log.acts_on(now, standing(1));
        // Some stay open for long: each segment names them anew.
        log.taken(now, message(&format!("m{id}")), on);
        let old = id.saturating_sub(30_000);
        log.attempt(now, message(&format!("m{old}")), (5, 1), on, 0);
        log.ended(now, message(&format!("m{old}")), End::Delivered, on);
        if id % 7 == 0 {
            log.write(now);
        }
        if id % 5_000 == 0 {
            let taken: u64 = segments(dir.path())
                .expect("segments")
                .iter()
                .map(|(_, p)| p.metadata().map_or(0, |m| m.len()))
                .sum();
            assert!(taken <= LEAST_BUDGET, "{taken} bytes");
            records = log.written().0;
        }
    }
    log.end(now);
    assert!(records > 360_000);
    let found = audit(&[dir.path().to_owned()], 1, &Progress::default());
    let said = &found.logs[0].troubles;
    assert!(said.len() == 1 && said[0].gap && said[0].what.contains("records before it are out"), "{said:?}");
    // An endpoint that is out stays known though the segment that said so is gone.
    let on = log.acts_on(now, standing(1));
    log.attempt(now + SECOND, message("x"), (77, 1), on, 0);
    log.write(now + SECOND);
    let found = audit(&[dir.path().to_owned()], 1, &Progress::default());
    assert_eq!(found.counts.get(&Rule::Drain), Some(&1));
    let (steps, _) = explain(&[dir.path().to_owned()], 1, message("m89999"));
    assert!(steps.iter().any(|step| step.what == "ended: Delivered"), "{steps:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Lives that are cut anywhere: what each had written is read, in order, and nothing else.
    #[test]
    fn lives_that_are_cut_anywhere_read_to_what_was_written(
        lives in prop::collection::vec((1..40_u64, 0..200_usize, any::<bool>()), 1..6),
    ) {
        let dir = tempfile::tempdir().expect("a folder");
        let (mut now, mut expected, mut id) = (START, Vec::new(), 0);
        for (life, (messages, cut, ends)) in lives.into_iter().enumerate() {
            let mut log = Log::open(dir.path(), LEAST_BUDGET, author(0, life as u32 + 1), now).expect("a log");
            let mut lengths = Vec::new();
            let (_, file) = segments(dir.path()).expect("segments").pop().expect("a segment");
            for _ in 0..messages {
                (now, id) = (now + 1_000_000, id + 1);
                let on = log.acts_on(now, standing(life as u32 + 1));
                log.taken(now, message(&format!("m{id}")), on);
                log.write(now);
                lengths.push((file.metadata().expect("a file").len() as usize, id));
            }
            if ends {
                log.end(now);
            }
            drop(log);
            let bytes = std::fs::read(&file).expect("a segment");
            let left = if ends { bytes.len() } else { bytes.len().saturating_sub(cut).max(60) };
            std::fs::write(&file, &bytes[..left]).expect("cut");
            expected.extend(lengths.into_iter().filter(|(length, _)| *length <= left).map(|(_, id)| id));
        }
        let found = audit(&[dir.path().to_owned()], 1, &Progress::default());
        prop_assert_eq!(found.logs[0].decisions, expected.len() as u64, "{:?}", found.logs[0].troubles);
        prop_assert!(found.counts.is_empty(), "{:?}", found.breaches);
        for id in expected.iter().step_by(9) {
            let (steps, _) = explain(&[dir.path().to_owned()], 1, message(&format!("m{id}")));
            prop_assert_eq!(steps.len(), 1);
        }
    }
}

#[test]
fn what_could_not_be_written_is_counted_and_it_goes_on_by_itself() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut log = Log::open(dir.path(), LEAST_BUDGET, author(0, 1), START).expect("a log");
    // Where the next segment is to be there is something else for a while.
    let in_the_way = dir.path().join("000000002.audit");
    std::fs::create_dir(&in_the_way).expect("a folder");
    let (mut now, mut written) = (START, 0);
    let mut decide = |log: &mut Log, decisions: u64| {
        for _ in 0..decisions {
            (now, written) = (now + 1_000_000, written + 1);
            let on = log.acts_on(now, standing(1));
            log.refused(now, written, SECOND, on);
            log.write(now);
        }
    };
    // Beyond one segment, and some more while it fails.
    decide(&mut log, 12_000);
    std::fs::remove_dir(&in_the_way).expect("removed");
    decide(&mut log, 500);
    log.end(START + 100 * SECOND);
    let found = audit(&[dir.path().to_owned()], 1, &Progress::default());
    let said: Vec<&str> = found.logs[0].troubles.iter().map(|trouble| trouble.what.as_str()).collect();
    let number = |what: &str| what.split(' ').next().and_then(|n| n.parse::<u64>().ok());
    let lost = said.iter().find(|what| what.ends_with("could not be written")).and_then(|what| number(what));
    let lost = lost.unwrap_or_else(|| panic!("{said:?}"));
    assert!(lost > 100, "{lost}");
    assert!(
        found.has_gaps() && found.logs[0].decisions + lost >= 12_500,
        "{} {said:?}",
        found.logs[0].decisions
    );
    assert!(found.logs[0].decisions + lost <= 12_510, "{} and {lost} of 12,500", found.logs[0].decisions);
}
