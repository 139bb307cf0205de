//! Truncates a store of 3,000 records at every byte, and flips a bit in every byte of a smaller one. Each
//! time the store is opened and compared with the reference model. Seeds are fixed.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use common::*;
use millpost_store::memory::{Files, Memory};
use millpost_store::{Durability, Ledger, Options};

const SEED: u64 = 20_261_201;
const LIMIT: u64 = 6_000_000;

/// Options without checkpoints, so that opening reads every byte.
fn options_without_checkpoints() -> Options {
    Options { checkpoints: false, ..options(LIMIT, Durability::Process) }
}

struct Run {
    /// Names and contents of the segments, in log order.
    log: Vec<(String, Vec<u8>)>,
    steps: Vec<Step>,
    /// Length of the log in bytes after each step.
    ends: Vec<usize>,
}

/// Runs this many random steps, each of which writes one frame, without any compaction.
fn run(records: usize) -> Run {
    println!("seed {SEED}");
    let folder = Memory::default();
    let (mut ledger, _) =
        Ledger::open(folder.clone(), options_without_checkpoints(), NOW, 77, None).expect("opens");
    let (mut model, mut rng) = (Model::new(), Rng(SEED));
    let (mut steps, mut ends) = (Vec::new(), Vec::new());
    for _ in 0..records {
        let step = model.random_step(&mut rng, 40, 4);
        step.apply(&mut ledger).expect("room");
        model.step(&step);
        steps.push(step);
        ends.push(folder.files().values().map(Vec::len).sum());
    }
    assert_eq!(ledger.stats().retired, 0, "no segment was retired");
    Run { log: folder.files().into_iter().collect(), steps, ends }
}

impl Run {
    fn size(&self) -> usize {
        self.log.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// The files after a crash that left only the first `at` bytes of the log.
    fn cut(&self, mut at: usize) -> Files {
        let mut files = Files::new();
        for (name, bytes) in &self.log {
            files.insert(name.clone(), bytes[..at.min(bytes.len())].to_vec());
            if at <= bytes.len() {
                break;
            }
            at -= bytes.len();
        }
        files
    }

    fn model(&self, steps: usize) -> Model {
        let mut model = Model::new();
        self.steps[..steps].iter().for_each(|step| model.step(step));
        model
    }
}

/// Calls `check` for consecutive ranges that cover `0..count`, on up to eight threads.
fn on_all_cores(count: usize, check: impl Fn(std::ops::Range<usize>) + Sync) {
    let next = AtomicUsize::new(0);
    let chunk = 2_000;
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(2, usize::from).min(8) {
            scope.spawn(|| {
                loop {
                    let from = next.fetch_add(chunk, Ordering::Relaxed);
                    if from >= count {
                        return;
                    }
                    check(from..(from + chunk).min(count));
                }
            });
        }
    });
}

#[test]
fn store_truncated_at_any_byte_holds_exactly_the_records_before() {
    let run = run(3_000);
    println!("{} bytes", run.size());
    assert!(run.size() > 120_000, "the store is large enough");
    on_all_cores(run.size() + 1, |cuts| {
        let mut done = run.ends.partition_point(|end| *end <= cuts.start);
        let mut model = run.model(done);
        for cut in cuts {
            while run.ends.get(done).is_some_and(|end| *end <= cut) {
                model.step(&run.steps[done]);
                done += 1;
            }
            let (ledger, opened) = open(run.cut(cut), LIMIT, Durability::Process);
            assert_eq!(opened.recovery.damage, [""; 0], "cut at {cut}");
            if let Some(found) = model.difference(&ledger, &opened) {
                panic!("cut at {cut}, after {done} steps: {found}");
            }
        }
    });
}

#[test]
fn truncated_store_accepts_new_records_and_reopens() {
    let run = run(300);
    let mut rng = Rng(SEED + 1);
    for cut in (0..=run.size()).step_by(7) {
        let done = run.ends.partition_point(|end| *end <= cut);
        let mut model = run.model(done);
        let folder = Memory::with(run.cut(cut));
        let open_ledger = || Ledger::open(folder.clone(), options_without_checkpoints(), NOW, 77, None);
        let (mut ledger, _) = open_ledger().expect("opens");
        for _ in 0..20 {
            let step = model.random_step(&mut rng, 40, 4);
            step.apply(&mut ledger).expect("room");
            model.step(&step);
        }
        let (ledger, opened) = open_ledger().expect("opens");
        assert_eq!(opened.recovery.torn_bytes, 0);
        assert_eq!(model.difference(&ledger, &opened), None, "cut at {cut}");
    }
}

#[test]
fn flipped_bit_never_hides_an_attempt_or_changes_an_outcome() {
    let run = run(600);
    let model = run.model(600);
    let reported = AtomicUsize::new(0);
    on_all_cores(run.size(), |places| {
        let mut rng = Rng(SEED + places.start as u64);
        for place in places {
            let mut files = run.cut(run.size());
            let mut at = place;
            for (name, bytes) in &run.log {
                if at < bytes.len() {
                    if let Some(file) = files.get_mut(name) {
                        file[at] ^= 1 << rng.below(8);
                    }
                    break;
                }
                at -= bytes.len();
            }
            let folder = Memory::with(files);
            let open_ledger = || Ledger::open(folder.clone(), options_without_checkpoints(), NOW, 77, None);
            let (ledger, opened) = open_ledger().expect("a damaged store opens");
            // Damage to one of a header's two copies is not reported, since it loses nothing.
            let detected = !opened.recovery.damage.is_empty() || model.difference(&ledger, &opened).is_none();
            assert!(detected, "the bit flip at offset {place} was not detected");
            reported.fetch_add(usize::from(!opened.recovery.damage.is_empty()), Ordering::Relaxed);
            check_after_damage(&model, &ledger, &opened, place);
            // The next two starts must be equally cautious.
            drop(ledger);
            for _ in 0..2 {
                let (ledger, opened) = open_ledger().expect("a damaged store opens");
                check_after_damage(&model, &ledger, &opened, place);
            }
        }
    });
    assert!(reported.into_inner() > run.size() * 9 / 10);
}

fn check_after_damage(
    model: &Model,
    ledger: &Ledger<Memory>,
    opened: &millpost_store::ledger::Opened,
    place: usize,
) {
    for found in &opened.messages {
        let before = model.pending.get(&found.id).map(|m| m.history);
        // Whether the message is finished, or an attempt may have run.
        let ran = before.is_none_or(|h| h.may_have_run.is_some() || h.in_flight.is_some());
        let may = found.history.may_have_run.is_some() || found.history.in_flight.is_some();
        // If the damaged record was the only one of an answer, the message is pending again with an attempt
        // assumed.
        assert!(
            !ran || may || found.history.answer.is_some(),
            "bit flip at offset {place}: {found:?}, was {before:?}"
        );
    }
    for (reference, end) in &model.answers {
        let found = ledger.final_outcome(reference);
        assert!(
            found.is_none_or(|found| found == *end),
            "bit flip at offset {place}: outcome of {reference} is {found:?}"
        );
    }
    let lost = model.pending.keys().filter(|id| !opened.messages.iter().any(|f| f.id == **id)).count();
    assert!(lost <= 1, "bit flip at offset {place}: {lost} messages lost with one frame");
}
