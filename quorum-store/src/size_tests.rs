//! Tests of how much room a store takes, and of the replacement of a store that takes too much.

use std::fs;
use std::path::Path;

use millpost_quorum::Write;

use super::{RecordStore, exists, read};

/// Returns the number of bytes and of files below a folder.
fn usage(folder: &Path) -> (u64, usize) {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let of = |path: &Path| match fs::metadata(path).expect("there") {
        metadata if metadata.is_dir() => usage(path),
        metadata => (metadata.len(), 1),
    };
    entries.map(|path| of(&path)).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

/// Returns a record whose text does not compress.
fn record(key: &str, length: usize, seed: u64) -> Write {
    let mut random = seed;
    let letter = |_| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b'0' + ((random >> 33) % 64) as u8)
    };
    Write { key: key.to_owned(), text: (0..length).map(letter).collect() }
}

fn records(folder: &Path) -> Vec<(String, String)> {
    let (_, records) = read(folder).expect("read");
    records
}

fn pairs(writes: &[Write]) -> Vec<(String, String)> {
    writes.iter().map(|write| (write.key.clone(), write.text.clone())).collect()
}

/// Guards against a store that keeps a file for each write of a long record, and syncs all of them with each write: after
/// some 40 changes of a configuration of 7,900 routes no write ended in time any more, nor did the disk have room.
#[test]
fn store_does_not_grow_with_the_number_of_writes() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = RecordStore::open(folder.path()).expect("opened");
    let length = 400_000;
    for n in 0..60 {
        disk.put(&[record("key/config", length, n), record("voter", 200, n)]).expect("put");
    }
    let (bytes, files) = usage(folder.path());
    assert!(bytes < 10 << 20 && files < 8, "{bytes} bytes in {files} files");
    drop(disk);
    assert_eq!(records(folder.path()), pairs(&[record("key/config", length, 59), record("voter", 200, 59)]));
}

/// A store as versions before format 3 left it: each long record in one item.
fn store_with_whole_records(folder: &Path, writes: u64) -> Vec<Write> {
    let disk = RecordStore::open(folder).expect("opened");
    for n in 0..writes {
        let long = record("key/config", 300_000, n);
        disk.db.insert(long.key.as_bytes(), long.text.as_bytes()).expect("inserted");
        disk.put(&[record("voter", 200, n)]).expect("put");
    }
    vec![record("key/config", 300_000, writes - 1), record("voter", 200, writes - 1)]
}

#[test]
fn store_of_an_earlier_version_is_read_as_it_is_and_can_be_replaced() {
    let data = tempfile::tempdir().expect("a folder");
    let folder = data.path().join("tally");
    let last = store_with_whole_records(&folder, 20);
    assert!(usage(&folder).1 > 20, "a file for each write");
    assert_eq!(records(&folder), pairs(&last));
    let disk = RecordStore::open(&folder).expect("opened");
    assert!(disk.is_oversized(&last));
    disk.rewrite(&last).expect("rewritten");
    assert_eq!(records(&folder), pairs(&last));
    let disk = RecordStore::open(&folder).expect("opened");
    assert!(!disk.is_oversized(&last) && usage(&folder).1 < 4, "{:?}", usage(&folder));
    assert_eq!(fs::read_dir(data.path()).expect("listed").count(), 1);
}

/// A long record of an earlier version is replaced in place as well.
#[test]
fn long_record_of_an_earlier_version_is_replaced_by_parts() {
    let folder = tempfile::tempdir().expect("a folder");
    store_with_whole_records(folder.path(), 1);
    let new = [record("key/config", 200_000, 7), record("voter", 200, 7)];
    RecordStore::open(folder.path()).and_then(|disk| disk.put(&new)).expect("put");
    assert_eq!(records(folder.path()), pairs(&new));
}

/// Each moment at which a replacement may be interrupted, by the folders that are there then: the store itself, the
/// one that is to replace it, and the one that was replaced. Those in capitals hold all records.
#[yare::parameterized(
    new_one_is_being_written = { "T n ", "tally" },
    new_one_is_written = { "T N ", "tally" },
    first_one_is_moved = { "  N O", "new" },
    both_are_moved = { "N   O", "tally" },
    old_one_is_being_deleted = { "N   o", "tally" },
    new_one_was_never_there = { "    O", "old" },
)]
fn interrupted_replacement_is_finished_or_undone(present: &str, chosen: &str) {
    let data = tempfile::tempdir().expect("a folder");
    let folder = data.path().join("tally");
    let paths = [folder.clone(), folder.with_extension("new"), folder.with_extension("old")];
    let names = ["tally", "new", "old"];
    for ((path, name), state) in paths.iter().zip(names).zip(present.chars().step_by(2)) {
        match state {
            ' ' => {}
            state if state.is_uppercase() => {
                let disk = RecordStore::open_folder(path).expect("opened");
                disk.put(&[Write { key: "k".into(), text: name.into() }]).expect("put");
            }
            _ => fs::create_dir(path).and_then(|()| fs::write(path.join("db"), "x")).expect("made"),
        }
    }
    assert!(exists(&folder));
    assert_eq!(records(&folder), [("k".to_owned(), chosen.to_owned())]);
    assert_eq!(fs::read_dir(data.path()).expect("listed").count(), 1);
}
