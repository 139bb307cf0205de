//! Tests on real files: the lock, foreign and newer formats, the import of an old journal, the maintenance
//! tool, and samples of the in-memory tests.

mod common;

use std::fs;
use std::path::Path;

use bytes::Bytes;
use common::*;
use millpost_store::ledger::{Answer, FinalOutcome, ListedEndpoint};
use millpost_store::{Disk, Durability, Error, Ledger, Options, Store, journal, ledger};

const OPTIONS: Options = Options { limit: 3_000_000, durability: Durability::Process, checkpoints: true };

fn open_ledger(path: &Path, options: Options) -> Result<(Ledger<Disk>, ledger::Opened), Error> {
    let folder = Disk::open(path).expect("folder opens");
    Ledger::open(folder, options, NOW, 77, None)
}

#[test]
fn second_process_gets_an_error_while_the_folder_is_locked() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let (ledger, _) = open_ledger(dir.path(), OPTIONS).expect("opens");
    let error = Disk::open(dir.path()).err().expect("rejected");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    assert!(error.to_string().contains("in use"), "{error}");
    // Reading is still possible.
    assert!(Store::read(Disk::read_only(dir.path()), &ledger::IN_MEMORY).is_ok());
    drop(ledger);
    assert!(Disk::open(dir.path()).is_ok());
}

#[test]
fn foreign_or_newer_file_is_rejected_and_left_unchanged() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let (mut ledger, _) = open_ledger(dir.path(), OPTIONS).expect("opens");
    ledger.accept(NOW, &message(1, 10)).expect("room");
    drop(ledger);
    let file = dir.path().join("000000000001.seg");
    let good = fs::read(&file).expect("a segment");
    let mut newer = good.clone();
    for copy in newer[..128].chunks_exact_mut(64) {
        copy[8] = 2;
        let sum = crc32fast::hash(&copy[..52]);
        copy[52..56].copy_from_slice(&sum.to_le_bytes());
    }
    let mut unreadable = good.clone();
    (unreadable[20], unreadable[84]) = (!good[20], !good[84]);
    let foreign = b"SQLite format 3\0".repeat(20);
    for (bytes, why) in [(newer, "newer format 2"), (unreadable, "no header"), (foreign, "no segment")] {
        fs::write(&file, &bytes).expect("written");
        let e = open_ledger(dir.path(), OPTIONS).err().expect("rejected");
        assert!(e.to_string().contains(why) && e.to_string().contains("000000000001.seg"), "{e}");
        assert_eq!(fs::read(&file).expect("a segment"), bytes, "left unchanged");
    }
    // A segment of another store, as after copying files between folders.
    fs::write(&file, &good).expect("written");
    let other = tempfile::tempdir().expect("temporary folder");
    let folder = Disk::open(other.path()).expect("folder opens");
    let (mut theirs, _) = Ledger::open(folder, OPTIONS, NOW, 78, None).expect("opens");
    theirs.accept(NOW, &message(1, 10)).expect("room");
    theirs.store_mut().compact(|_| ()).expect("room");
    drop(theirs);
    fs::copy(other.path().join("000000000002.seg"), dir.path().join("000000000002.seg")).expect("copied");
    let e = open_ledger(dir.path(), OPTIONS).err().expect("rejected");
    assert!(e.to_string().contains("another store"), "{e}");
}

#[test]
fn all_tables_survive_reopening() {
    for durability in [Durability::Process, Durability::Machine] {
        let options = Options { durability, ..OPTIONS };
        let dir = tempfile::tempdir().expect("temporary folder");
        let (mut ledger, _) = open_ledger(dir.path(), options).expect("opens");
        let (id, seq) = ledger.accept(NOW, &message(1, 40)).expect("room");
        assert_eq!(ledger.is_durable(seq), durability == Durability::Process);
        ledger.store_mut().sync().expect("sync succeeds");
        assert!(ledger.is_durable(seq));
        ledger.begin_attempt(id, NOW + 5, 3).expect("written");
        let (over, _) = ledger.accept(NOW, &message(2, 40)).expect("room");
        ledger
            .finish(over, Some(("r2", FinalOutcome::Answered(Answer::Failed), NOW + 9_000)))
            .expect("written");
        let listed = |name: &str, in_service| ListedEndpoint {
            name: name.into(),
            id: 4,
            address: "127.0.0.1:80".into(),
            zone: "a".into(),
            kind: "library".into(),
            dest: 7,
            in_service,
            weight: Some(2.5),
        };
        ledger
            .record_endpoint_list("agent", 41, &[listed("a", true), listed("b", false)], &[])
            .expect("written");
        ledger.record_endpoint_list("agent", 42, &[listed("c", true)], &["a".into()]).expect("written");
        ledger
            .record_learned(NOW + 50, [(7, None, Some(vec![1, 2])), (8, Some(4), Some(vec![3]))])
            .expect("written");
        ledger.record_learned(NOW + 60, [(7, None, None)]).expect("written");
        drop(ledger);
        let (mut ledger, opened) = open_ledger(dir.path(), options).expect("opens");
        assert_eq!(opened.messages.len(), 1);
        assert_eq!(opened.messages[0].history.in_flight, Some((NOW + 5, 3)));
        assert_eq!(opened.latest_time, NOW + 50);
        assert_eq!(ledger.final_outcome("r2"), Some(FinalOutcome::Answered(Answer::Failed)));
        let (source, index, all) = ledger.endpoint_list().expect("a list");
        assert_eq!((&source[..], index), ("agent", 42));
        assert_eq!(all, [listed("b", false), listed("c", true)]);
        assert_eq!(ledger.learned(), [(8, Some(4), NOW + 50, vec![3])]);
        // An expired outcome is dropped by maintenance, and at any later start.
        ledger.maintain(NOW + 9_000);
        assert_eq!((ledger.final_outcome("r2"), ledger.answers()), (None, 0));
        drop(ledger);
        let folder = Disk::open(dir.path()).expect("folder opens");
        let (ledger, _) = Ledger::open(folder, options, NOW + 10_000, 77, None).expect("opens");
        assert_eq!(ledger.answers(), 0);
    }
}

#[test]
fn endpoint_list_beyond_the_limit_is_dropped_without_harm() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let (mut ledger, _) = open_ledger(dir.path(), OPTIONS).expect("opens");
    let many: Vec<ListedEndpoint> = (0..20_000)
        .map(|n| ListedEndpoint {
            name: format!("endpoint-{n}"),
            id: n,
            address: "127.0.0.1:80".into(),
            zone: String::new(),
            kind: String::new(),
            dest: n,
            in_service: true,
            weight: None,
        })
        .collect();
    ledger.record_endpoint_list("agent", 1, &many[..100], &[]).expect("written");
    assert_eq!(ledger.endpoint_list().map(|(_, _, all)| all.len()), Some(100));
    ledger.record_endpoint_list("agent", 2, &many, &[]).expect("written");
    assert_eq!(ledger.endpoint_list(), None);
    ledger.accept(NOW, &message(1, 1000)).expect("room");
}

#[test]
fn truncated_file_holds_the_records_before() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let (mut ledger, _) = open_ledger(dir.path(), OPTIONS).expect("opens");
    let (mut model, mut rng) = (Model::new(), Rng(99));
    let file = dir.path().join("000000000001.seg");
    let mut ends = Vec::new();
    for _ in 0..200 {
        let step = model.random_step(&mut rng, 20, 60);
        match &step {
            Step::Accept(accepted) => ledger.accept(NOW, accepted).map(|(_, seq)| seq),
            Step::BeginAttempt(id) => ledger.begin_attempt(*id, NOW + 1, 2),
            Step::EndAttempt(id, never_ran) => ledger.end_attempt(*id, *never_ran),
            Step::RecordAnswer(id, answer) => ledger.record_answer(*id, *answer),
            Step::Finish(id, end) => ledger.finish(*id, end.as_ref().map(|(r, f)| (&r[..], *f, LATER))),
        }
        .expect("room");
        model.step(&step);
        ends.push((fs::metadata(&file).expect("a segment").len() as usize, model.clone()));
    }
    drop(ledger);
    let whole = fs::read(&file).expect("a segment");
    for cut in (0..=whole.len()).step_by(61) {
        fs::write(&file, &whole[..cut]).expect("written");
        let before = ends.partition_point(|(end, _)| *end <= cut);
        let expected = before.checked_sub(1).map_or_else(Model::new, |n| ends[n].1.clone());
        let (ledger, opened) = open_ledger(dir.path(), OPTIONS).expect("opens");
        assert_eq!(opened.messages.len(), expected.pending.len(), "cut at {cut}");
        for found in &opened.messages {
            assert_eq!(found.history, expected.pending[&found.id].history, "cut at {cut}");
            assert_eq!(found.message, expected.pending[&found.id].accepted, "cut at {cut}");
        }
        assert_eq!(ledger.answers(), expected.answers.len(), "cut at {cut}");
    }
}

/// Reads a fixture: a journal written by the version that preceded the store.
fn fixture(name: &str) -> Bytes {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    Bytes::from(fs::read(path).expect("a fixture"))
}

#[test]
fn old_journal_is_imported_once() {
    const T: u64 = 1_800_000_000_000_000_000;
    for name in ["journal-appended", "journal-compacted"] {
        let old = journal::read(&fixture(name));
        assert!(!old.damaged && old.next_id == 9, "{name}: {} {}", old.damaged, old.next_id);
        let dir = tempfile::tempdir().expect("temporary folder");
        let open = |old| Ledger::open(Disk::open(dir.path()).expect("folder opens"), OPTIONS, NOW, 77, old);
        let (mut ledger, opened) = open(Some(old)).expect("opens");
        assert_eq!(opened.migrated, 7);
        let found = opened.messages;
        assert_eq!(found.iter().map(|f| f.id).collect::<Vec<_>>(), [1, 2, 4, 5, 6, 7, 8]);
        let first = &found[0];
        assert_eq!((first.message.reference.as_str(), first.message.dest, first.at), ("ref-0", 7, T));
        assert_eq!((first.message.key.as_deref(), first.message.body.len()), (Some(&b"key-0"[..]), 0));
        assert_eq!((first.history.attempts, first.history.first_sent), (2, T + 100));
        assert_eq!((first.history.may_have_run, first.history.in_flight), (None, Some((T + 200, 3))));
        assert_eq!(found[1].history.may_have_run, Some((T + 300, 1)));
        assert_eq!(found[2].history.answer, Some(Answer::Refused { wait_ms: 40 }));
        assert_eq!(found[3].history.answer, Some(Answer::Failed));
        assert_eq!(found[4].message.body, vec![5u8; 200]);
        assert_eq!(found[4].message.deadline, 1_900_000_000_000_000_005);
        assert!(found.iter().all(|f| !f.body_lost));
        // A journal that is still there at a later start is ignored.
        ledger.finish(1, None).expect("written");
        drop(ledger);
        let (mut ledger, opened) = open(Some(journal::read(&fixture(name)))).expect("opens");
        assert_eq!((opened.migrated, opened.messages.len()), (0, 6));
        assert_eq!(ledger.accept(NOW, &message(1, 1)).expect("room").0, 9, "message numbers are not reused");
    }
}

#[test]
fn torn_journal_loses_its_tail_and_damaged_journal_assumes_attempts() {
    let torn = journal::read(&fixture("journal-torn"));
    assert!(!torn.damaged);
    assert_eq!(torn.pending[&6].history.attempts, 0);
    let damaged = journal::read(&fixture("journal-damaged"));
    assert!(damaged.damaged);
    assert!(damaged.pending.values().all(|pending| pending.history.may_have_run == Some((pending.at, 0))));
    let whole = fixture("journal-appended");
    for at in 0..whole.len() {
        journal::read(&whole.slice(..at));
        let mut bad = whole.to_vec();
        bad[at] ^= 0x55;
        journal::read(&Bytes::from(bad));
    }
}

#[test]
fn interrupted_import_is_repeated() {
    let old = || journal::read(&fixture("journal-appended"));
    let folder = millpost_store::memory::Memory::default();
    folder.record();
    Ledger::open(folder.clone(), OPTIONS, NOW, 77, Some(old())).expect("opens");
    let changes = folder.changes();
    let mut files = millpost_store::memory::Files::new();
    for n in 0..=changes.len() {
        let again = millpost_store::memory::Memory::with(files.clone());
        let (_, opened) = Ledger::open(again, OPTIONS, NOW, 78, Some(old())).expect("opens");
        assert_eq!(opened.messages.len(), 7, "after {n} changes");
        if let Some(change) = changes.get(n) {
            change.apply(&mut files);
        }
    }
}

#[test]
fn maintenance_tool_inspects_verifies_exports_and_compacts() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let run = |arguments: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_millpost-store"));
        let done = command.args(arguments).arg(dir.path()).output().expect("it runs");
        let lines = String::from_utf8(done.stdout).expect("text");
        let lines = lines.lines().map(|l| serde_json::from_str(l).expect("a JSON line"));
        (
            done.status.code(),
            lines.collect::<Vec<serde_json::Value>>(),
            String::from_utf8_lossy(&done.stderr).into_owned(),
        )
    };
    let (code, _, why) = run(&["inspect"]);
    assert!(code == Some(2) && why.contains("no store"), "{why}");
    let (mut ledger, _) = open_ledger(dir.path(), OPTIONS).expect("opens");
    for n in 0..500 {
        let (id, _) = ledger.accept(NOW, &message(n, 300)).expect("room");
        if n > 3 {
            ledger.finish(id, Some((&format!("r{n}"), FinalOutcome::Delivered, LATER))).expect("written");
        }
    }
    // While the ledger is open.
    let (code, lines, _) = run(&["inspect"]);
    assert_eq!((code, &lines[0]["tables"]["messages"]["records"]), (Some(0), &serde_json::json!(4)));
    let (code, _, why) = run(&["compact"]);
    assert!(code == Some(2) && why.contains("in use"), "{why}");
    drop(ledger);
    let (code, lines, _) = run(&["export", "--bodies"]);
    let messages: Vec<_> = lines.iter().filter(|l| l["table"] == "messages").collect();
    assert_eq!((code, messages.len(), messages[1]["reference"].as_str()), (Some(0), 4, Some("r1")));
    assert!(messages[1]["body_hex"].as_str().is_some_and(|b| b.chars().all(|c| "01".contains(c))));
    assert_eq!(lines.iter().filter(|l| l["table"] == "answers").count(), 496);
    let (code, lines, why) = run(&["compact"]);
    assert_eq!(code, Some(0), "{why}");
    assert!(lines[0]["bytes_after"].as_u64() < lines[0]["bytes_before"].as_u64(), "{lines:?}");
    assert_eq!(run(&["verify"]).0, Some(0));
    let (_, opened) = open_ledger(dir.path(), OPTIONS).expect("opens");
    assert_eq!(opened.messages.len(), 4);
    // Damage is detected and described.
    let segment = fs::read_dir(dir.path()).expect("folder opens").flatten().map(|f| f.path());
    let segment = segment.filter(|p| p.extension().is_some_and(|e| e == "seg")).min().expect("a segment");
    let mut bytes = fs::read(&segment).expect("a segment");
    bytes[400] ^= 4;
    fs::write(&segment, bytes).expect("written");
    let (code, lines, _) = run(&["verify"]);
    assert!(code == Some(1) && lines[0]["damage"].is_string(), "{lines:?}");
    let (code, _, why) = run(&["defragment"]);
    assert!(code == Some(2) && why.contains("unknown command"), "{why}");
}
