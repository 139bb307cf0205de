//! Simulates a crash at every change that the store makes to its files, compaction included, also with the
//! last write torn. For [`Durability::Machine`], unsynced changes are dropped, torn or reordered. Seeds are
//! fixed.

mod common;

use std::collections::BTreeMap;

use common::*;
use millpost_store::memory::{Change, Files, Memory};
use millpost_store::{Durability, Ledger};

const SEED: u64 = 4_711;
/// Small, so that compaction runs all the time.
const LIMIT: u64 = 256 * 1024;

struct Run {
    changes: Vec<Change>,
    /// Each step with the number of file changes when it had returned, and when it was reported as durable.
    steps: Vec<(Step, usize, usize)>,
}

fn run(steps: usize, durability: Durability) -> Run {
    println!("seed {SEED}");
    let folder = Memory::default();
    folder.record();
    let (mut ledger, _) =
        Ledger::open(folder.clone(), options(LIMIT, durability), NOW, 77, None).expect("opens");
    let (mut model, mut rng) = (Model::new(), Rng(SEED));
    let mut done: Vec<(Step, usize, usize)> = Vec::new();
    let mut waiting = Vec::new();
    while done.len() < steps {
        let step = model.random_step(&mut rng, 24, 600);
        let seq = step.apply(&mut ledger).expect("room");
        model.step(&step);
        let now = folder.changes().len();
        waiting.push((done.len(), seq));
        done.push((step, now, usize::MAX));
        if rng.below(5) == 0
            && let Some(job) = ledger.sync_job().expect("sync handle")
        {
            let synced = job.run();
            ledger.finish_sync(synced).expect("sync succeeds");
        }
        let now = folder.changes().len();
        waiting.retain(|(step, seq)| {
            let durable = ledger.is_durable(*seq);
            if durable {
                done[*step].2 = now;
            }
            !durable
        });
        assert!(folder.size() <= LIMIT, "{} bytes", folder.size());
    }
    let stats = ledger.stats();
    assert!(stats.retired > 20 && stats.copied > 0, "compaction ran: {stats:?}");
    println!("{stats:?}");
    Run { changes: folder.changes(), steps: done }
}

#[test]
fn process_crash_at_any_change_keeps_acknowledged_steps() {
    let run = run(2_500, Durability::Process);
    let (mut files, mut model, mut done) = (Files::new(), Model::new(), 0);
    let check = |files: &Files, model: &Model, step: Option<&Step>, what: &str| {
        let (ledger, opened) = open(files.clone(), LIMIT, Durability::Process);
        assert_eq!(opened.recovery.damage, [""; 0], "{what}");
        let Some(found) = model.difference(&ledger, &opened) else { return };
        // The interrupted step must be applied completely or not at all.
        let mut next = model.clone();
        step.iter().for_each(|step| next.step(step));
        assert_eq!(next.difference(&ledger, &opened), None, "{what}: {found}");
    };
    for (n, change) in run.changes.iter().enumerate() {
        while run.steps.get(done).is_some_and(|(_, changes, _)| *changes <= n) {
            model.step(&run.steps[done].0);
            done += 1;
        }
        let step = run.steps.get(done).map(|(step, ..)| step);
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

/// The files after a power failure: each unsynced change is randomly kept, torn or dropped.
fn after_power_failure(changes: &[Change], rng: &mut Rng) -> Files {
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
            // Unsynced creations and removals of files may be undone.
            Change::Create(name) if n > last_folder_sync && rng.below(3) == 0 => {
                files.remove(name);
                continue;
            }
            Change::Remove(_) if n > last_folder_sync && rng.below(3) == 0 => continue,
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
            match rng.below(4) {
                0 => lost.push((name.clone(), from, from + bytes.len())),
                1 => lost.push((name.clone(), from + bytes.len() / 2, from + bytes.len())),
                _ => {}
            }
        }
    }
    // Lost bytes read as zeros if later bytes of the file were written; otherwise the file may end before
    // them.
    for (name, from, to) in lost.into_iter().rev() {
        let Some(file) = files.get_mut(&name) else { continue };
        if file.len() == to && rng.below(2) == 0 {
            file.truncate(from);
        } else if to <= file.len() {
            file[from..to].fill(0);
        }
    }
    files
}

#[test]
fn machine_crash_at_any_change_keeps_durable_steps() {
    let run = run(2_500, Durability::Machine);
    let mut rng = Rng(SEED + 1);
    let mut uncertain = 0;
    for n in 0..=run.changes.len() {
        // The steps that were durable by then, and those that were started at all.
        let durable = run.steps.iter().take_while(|(_, _, durable_at)| *durable_at <= n).count();
        let started =
            (run.steps.iter().take_while(|(_, done, _)| *done <= n).count() + 1).min(run.steps.len());
        let mut model = Model::new();
        run.steps[..durable].iter().for_each(|(step, ..)| model.step(step));
        let mut latest = model.clone();
        // Messages whose attempt was recorded since then as one that never ran.
        let mut cleared = Vec::new();
        for (step, ..) in &run.steps[durable..started] {
            latest.step(step);
            if let Step::EndAttempt(id, true) = step {
                cleared.push(*id);
            }
        }
        for _ in 0..3 {
            let files = after_power_failure(&run.changes[..n], &mut rng);
            let (ledger, opened) = open(files, LIMIT, Durability::Machine);
            uncertain += usize::from(opened.recovery.uncertain_before > 0);
            for (id, message) in &model.pending {
                let found = opened.messages.iter().find(|f| f.id == *id);
                let ended_since = !latest.pending.contains_key(id);
                assert!(
                    found.is_some() || ended_since,
                    "change {n}: message {id} was lost: {:?}",
                    opened.recovery
                );
                let Some(found) = found else { continue };
                let ran =
                    |h: &millpost_store::ledger::History| h.may_have_run.is_some() || h.in_flight.is_some();
                assert!(
                    !ran(&message.history) || ran(&found.history) || cleared.contains(id),
                    "change {n}: the attempt of message {id} was lost"
                );
                assert!(message.accepted.reference == found.message.reference);
                assert!(
                    !found.body_lost || message.history.answer.is_some(),
                    "change {n}: the body of message {id} was lost"
                );
            }
            for found in &opened.messages {
                assert!(
                    model.pending.contains_key(&found.id) || latest.next > found.id && found.id >= model.next,
                    "change {n}: finished message {} is pending again",
                    found.id
                );
            }
            for (reference, end) in &model.answers {
                assert_eq!(
                    ledger.final_outcome(reference),
                    Some(*end),
                    "change {n}: the outcome of {reference}"
                );
            }
        }
    }
    println!("{uncertain} openings with uncertain records");
}
