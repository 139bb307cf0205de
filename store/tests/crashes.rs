//! Crashes at every change that the store makes to its files, compactions included: after each, with the last
//! write torn, and, for the durability that outlives the machine, with what was not synced dropped, torn or out
//! of order. Seeds are fixed.

mod common;

use std::collections::BTreeMap;

use common::*;
use millpost_store::memory::{Change, Files, Memory};
use millpost_store::{Durability, Ledger};

const SEED: u64 = 4_711;
/// Small, so that compaction is at work all the time.
const LIMIT: u64 = 256 * 1024;

struct Life {
    changes: Vec<Change>,
    /// For each step: what it was, how many changes there were when it had returned, and when it was known to
    /// last.
    steps: Vec<(Step, usize, usize)>,
}

fn life(steps: usize, durability: Durability) -> Life {
    println!("seed {SEED}");
    let folder = Memory::default();
    folder.record();
    let (mut ledger, _) =
        Ledger::open(folder.clone(), options(LIMIT, durability), NOW, 77, None).expect("opens");
    let (mut model, mut lot) = (Model::new(), Lot(SEED));
    let mut done: Vec<(Step, usize, usize)> = Vec::new();
    let mut waiting = Vec::new();
    while done.len() < steps {
        let step = model.draw(&mut lot, 24, 600);
        let seq = step.carry_out(&mut ledger).expect("room");
        model.step(&step);
        let now = folder.changes().len();
        waiting.push((done.len(), seq));
        done.push((step, now, usize::MAX));
        if lot.below(5) == 0
            && let Some(job) = ledger.sync_job().expect("a handle")
        {
            let synced = job.run();
            ledger.finish_sync(synced).expect("it lasts");
        }
        let now = folder.changes().len();
        waiting.retain(|(step, seq)| {
            let lasts = ledger.is_durable(*seq);
            if lasts {
                done[*step].2 = now;
            }
            !lasts
        });
        assert!(folder.size() <= LIMIT, "{} bytes", folder.size());
    }
    let stats = ledger.stats();
    assert!(stats.retired > 20 && stats.copied > 0, "compaction was at work: {stats:?}");
    println!("{stats:?}");
    Life { changes: folder.changes(), steps: done }
}

#[test]
fn a_process_that_dies_at_any_change_leaves_what_it_promised() {
    let life = life(2_500, Durability::Process);
    let (mut files, mut model, mut done) = (Files::new(), Model::new(), 0);
    let check = |files: &Files, model: &Model, step: Option<&Step>, what: &str| {
        let (ledger, opened) = open(files.clone(), LIMIT, Durability::Process);
        assert_eq!(opened.recovery.damage, [""; 0], "{what}");
        let Some(difference) = model.differs(&ledger, &opened) else { return };
        // The step under way has taken effect as a whole, if at all.
        let mut next = model.clone();
        step.iter().for_each(|step| next.step(step));
        assert_eq!(next.differs(&ledger, &opened), None, "{what}: {difference}");
    };
    for (n, change) in life.changes.iter().enumerate() {
        while life.steps.get(done).is_some_and(|(_, changes, _)| *changes <= n) {
            model.step(&life.steps[done].0);
            done += 1;
        }
        let step = life.steps.get(done).map(|(step, ..)| step);
        check(&files, &model, step, &format!("before change {n}"));
        if let Change::Write(name, at, bytes) = change {
            for torn in [1, bytes.len() / 3, bytes.len() - 1] {
                let mut files = files.clone();
                Change::Write(name.clone(), *at, bytes[..torn].to_vec()).apply(&mut files);
                check(&files, &model, step, &format!("change {n} torn at {torn}"));
            }
        }
        change.apply(&mut files);
    }
}

/// The files after the power failed: whatever was not synced is there, in part or not, by lot.
fn after_power_failure(changes: &[Change], lot: &mut Lot) -> Files {
    let last_folder_sync = changes.iter().rposition(|c| *c == Change::SyncFolder).unwrap_or(0);
    let mut synced: BTreeMap<&str, usize> = BTreeMap::new();
    for (n, change) in changes.iter().enumerate() {
        if let Change::Sync(name) = change {
            synced.insert(name, n);
        }
    }
    let mut files = Files::new();
    let mut lost: Vec<(String, usize, usize)> = Vec::new();
    for (n, change) in changes.iter().enumerate() {
        let name = match change {
            // Names that the folder had not been synced with may be missing, or still there.
            Change::Create(name) if n > last_folder_sync && lot.below(3) == 0 => {
                files.remove(name);
                continue;
            }
            Change::Remove(_) if n > last_folder_sync && lot.below(3) == 0 => continue,
            Change::Write(name, ..) => name,
            other => {
                other.apply(&mut files);
                continue;
            }
        };
        let Change::Write(_, at, bytes) = change else { continue };
        if !files.contains_key(name) {
            continue;
        }
        change.apply(&mut files);
        let from = *at as usize;
        if synced.get(&name[..]).is_none_or(|at| n > *at) {
            match lot.below(4) {
                0 => lost.push((name.clone(), from, from + bytes.len())),
                1 => lost.push((name.clone(), from + bytes.len() / 2, from + bytes.len())),
                _ => {}
            }
        }
    }
    // What was lost reads as zeros where something behind it was written; else the file ends there.
    for (name, from, to) in lost.into_iter().rev() {
        let Some(file) = files.get_mut(&name) else { continue };
        if file.len() == to && lot.below(2) == 0 {
            file.truncate(from);
        } else if to <= file.len() {
            file[from..to].fill(0);
        }
    }
    files
}

#[test]
fn a_machine_that_dies_at_any_change_leaves_what_lasted() {
    let life = life(2_500, Durability::Machine);
    let mut lot = Lot(SEED + 1);
    let mut doubted = 0;
    for n in 0..=life.changes.len() {
        // What had lasted by then, and what was begun at all.
        let lasted = life.steps.iter().take_while(|(_, _, lasts)| *lasts <= n).count();
        let begun =
            (life.steps.iter().take_while(|(_, done, _)| *done <= n).count() + 1).min(life.steps.len());
        let mut model = Model::new();
        life.steps[..lasted].iter().for_each(|(step, ..)| model.step(step));
        let mut latest = model.clone();
        // Messages whose attempt has been told of, since then, as one that never ran.
        let mut cleared = Vec::new();
        for (step, ..) in &life.steps[lasted..begun] {
            latest.step(step);
            if let Step::Outcome(id, true) = step {
                cleared.push(*id);
            }
        }
        for _ in 0..3 {
            let files = after_power_failure(&life.changes[..n], &mut lot);
            let (ledger, opened) = open(files, LIMIT, Durability::Machine);
            doubted += usize::from(opened.recovery.uncertain_before > 0);
            for (id, message) in &model.owed {
                let found = opened.messages.iter().find(|f| f.id == *id);
                let ended_since = !latest.owed.contains_key(id);
                assert!(
                    found.is_some() || ended_since,
                    "change {n}: message {id} is lost: {:?}",
                    opened.recovery
                );
                let Some(found) = found else { continue };
                let ran =
                    |h: &millpost_store::ledger::History| h.may_have_run.is_some() || h.in_flight.is_some();
                assert!(
                    !ran(&message.history) || ran(&found.history) || cleared.contains(id),
                    "change {n}: the attempt of {id} is forgotten"
                );
                assert!(message.taken.reference == found.message.reference);
                assert!(!found.body_lost || message.history.answer.is_some(), "change {n}: body of {id}");
            }
            for found in &opened.messages {
                assert!(
                    model.owed.contains_key(&found.id) || latest.next > found.id && found.id >= model.next,
                    "change {n}: message {} is over and is back",
                    found.id
                );
            }
            for (reference, end) in &model.answers {
                assert_eq!(
                    ledger.final_outcome(reference),
                    Some(*end),
                    "change {n}: the answer of {reference}"
                );
            }
        }
    }
    println!("{doubted} openings with caution");
}
