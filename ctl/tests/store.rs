//! Runs the `store` commands on disks: checks output and exit codes, and that no byte of the disk changes.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use millpost_net::pack::pack;
use millpost_quorum::{Ballots, Key, Members, Message, Value, Voter, Write};
use millpost_quorum_store::RecordStore;
use yare::parameterized;

const CONFIG: &str = r#"{"revision":7,"routes":[{"host":"h","path_prefix":"/a/","traffic_kind":"idempotent",
    "deadline_ms":4000,"service":"f"}],"services":[{"name":"f"}]}"#;

/// Creates a voter's disk with a configuration under the version `version`, and a steward under fence 3.
fn disk(folder: &Path, version: u64, content: &str) -> RecordStore {
    let disk = RecordStore::open(folder).expect("opened");
    let members = Members::initial("u", ["10.0.0.1:1".into(), "10.0.0.2:1".into()]);
    let mut voter = Voter::open("10.0.0.1:1".into(), [], vec![], 1, 0).expect("empty");
    voter.bootstrap(members.clone()).commit(|batch| disk.put(batch)).expect("put");
    let ballots = Ballots::new("10.0.0.2:1", 5);
    for (key, version, content) in [(Key::Config, version, content), (Key::Leader, 3, "10.0.0.2:1")] {
        let value = Value { version, content: content.into() };
        let write = Message::Write { key, ballot: ballots.next(0), value, members: members.clone() };
        voter.handle(0, "10.0.0.2:1", write).commit(|batch| disk.put(batch)).expect("put");
    }
    disk
}

fn records(disk: &RecordStore, records: &[(&str, &str)]) {
    let write = |(key, text): &(&str, &str)| Write { key: (*key).to_owned(), text: (*text).to_owned() };
    disk.put(&records.iter().map(write).collect::<Vec<_>>()).expect("put");
}

fn image(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let (mut all, mut folders) = (BTreeMap::new(), vec![folder.to_owned()]);
    while let Some(next) = folders.pop() {
        for entry in fs::read_dir(next).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path)
            } else {
                drop(all.insert(path.clone(), fs::read(path).expect("read")))
            }
        }
    }
    all
}

/// Copies the files to another folder, which no process has open.
fn copy_files(disk: &RecordStore, folder: &Path, to: &Path) {
    for (path, bytes) in image(folder) {
        let path = to.join(path.strip_prefix(folder).expect("within"));
        fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        fs::write(path, bytes).expect("written");
    }
    // Keeps the store open until here: its threads write when it is closed.
    let _ = disk;
}

/// A store that no process has open, with additional raw records.
fn store(version: u64, content: &str, put: &[(&str, &str)]) -> tempfile::TempDir {
    let (open, folder) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    let disk = disk(open.path(), version, content);
    if !put.is_empty() {
        records(&disk, put);
    }
    copy_files(&disk, open.path(), folder.path());
    folder
}

/// Returns exit code, standard output and standard error; requires that the folder is unchanged.
fn run(arguments: &[&str], folder: &Path) -> (i32, String, String) {
    let before = folder.is_dir().then(|| image(folder));
    let mut command = Command::new(env!("CARGO_BIN_EXE_millpost-ctl"));
    let output =
        command.args(arguments).arg(folder).env_remove("RUST_LOG").output().expect("the command runs");
    assert_eq!(folder.is_dir().then(|| image(folder)), before);
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let (out, err) = (text(output.stdout), text(output.stderr));
    assert!(!err.contains("panicked"), "{err}");
    (output.status.code().expect("an exit code"), out, err)
}

const CHECK: &[&str] = &["store", "check"];
const EXPORT: &[&str] = &["store", "export"];

#[parameterized(
    plain = { CONFIG, "tally" },
    packed = { &pack(CONFIG).expect("packed"), "tally" },
    under_another_name = { CONFIG, "copied" },
)]
fn a_disk_in_use_is_described_and_its_configuration_exported(content: &str, name: &str) {
    let data = tempfile::tempdir().expect("a folder");
    let folder = data.path().join(name);
    let _in_use = disk(&folder, 7, content);
    let (code, out, err) = run(CHECK, &folder);
    assert_eq!((code, err.as_str()), (0, ""), "{out}");
    let length = content.len();
    for row in [
        format!(
            "key/config  1/10.0.0.2:1/5  1/10.0.0.2:1/5  7        {length}     no      a configuration: 1 routes, 1 services"
        ),
        "key/steward  2/10.0.0.2:1/5  2/10.0.0.2:1/5  3        10      no      steward 10.0.0.2:1".to_owned(),
        "voter - - - - - format 1, epoch 0, voters 10.0.0.1:1 10.0.0.2:1".to_owned(),
    ] {
        let row: Vec<_> = row.split_whitespace().collect();
        assert!(out.lines().any(|line| line.split_whitespace().eq(row.iter().copied())), "{row:?}\n{out}");
    }
    let (code, out, _) = run(&[&["--json"], CHECK].concat(), &folder);
    assert!(code == 0 && out.contains(r#""good":true"#) && out.contains(r#""state":"votes""#), "{out}");
    let (code, out, err) = run(EXPORT, &folder);
    assert_eq!((code, out.trim_end_matches('\n')), (0, CONFIG));
    assert!(err.contains("revision 7") && err.contains("another one may be chosen"), "{err}");
    let to = data.path().join("out.json");
    let (code, out, _) = run(&["--json", "store", "export", "--out", to.to_str().expect("text")], &folder);
    assert!(code == 0 && out.contains(r#""ballot":"1/10.0.0.2:1/5""#), "{out}");
    assert_eq!(fs::read_to_string(to).expect("written"), CONFIG);
}

#[parameterized(
    other_version = { 8, CONFIG, "key/config: version: is 8, but the content has 7" },
    invalid_key = { 7, &CONFIG.replace("4000", "0"), "key/config: routes[0].deadline_ms: is 0; at least 1" },
    malformed = { 7, "?", "key/config: not read: is neither JSON nor packed JSON" },
)]
fn faults_of_a_configuration_are_reported_with_their_key(version: u64, content: &str, expected: &str) {
    let folder = store(version, content, &[]);
    let (code, out, _) = run(CHECK, folder.path());
    assert!(code == 1 && out.contains(&format!("WRONG: {}: {expected}", folder.path().display())), "{out}");
}

#[parameterized(
    newer = { &[("voter", r#"{"format":"4"}"#)], 3, 3, "records of format 4, from a newer version" },
    torn = { &[("key/steward", r#"{"key":"stew"#)], 1, 0, "key/steward: not read: not JSON" },
    foreign = { &[("a\u{1b}[2J", "x")], 1, 0, r"a\u{1b}[2J: not read: is not a record of a voter" },
    no_configuration = { &[("key/config", r#"{"key":"config","promised":null,"accepted":null}"#)], 0, 1, "no configuration" },
    torn_config = { &[("key/config", "{")], 1, 3, "key/config: not" },
)]
fn records_are_checked_one_by_one(put: &[(&str, &str)], check: i32, export: i32, expected: &str) {
    let folder = store(7, CONFIG, put);
    let (code, out, err) = run(CHECK, folder.path());
    let (exported, out_then, err_then) = run(EXPORT, folder.path());
    assert_eq!((code, exported), (check, export), "{out}{err}{err_then}");
    assert!([&out, &err, &err_then].iter().any(|text| text.contains(expected)), "{out}{err}{err_then}");
    assert!(exported == 0 || out_then.is_empty(), "{out_then}");
}

#[test]
fn a_folder_without_a_store_is_reported_and_none_is_created() {
    let folder = tempfile::tempdir().expect("a folder");
    for (place, expected) in [("", "no store"), ("gone", "gone: No such file")] {
        let (code, out, err) = run(&[&["--json"], CHECK].concat(), &folder.path().join(place));
        assert!(code == 2 && out.contains(r#""error":"store""#) && err.contains(expected), "{out}{err}");
    }
    let empty = folder.path().join("tally");
    let _in_use = RecordStore::open(&empty).expect("made");
    let (code, out, _) = run(CHECK, &empty);
    assert!(code == 0 && out.contains("no records"), "{out}");
    assert_eq!(run(EXPORT, &empty).0, 1);
}

#[test]
fn truncated_files_cause_an_error_and_are_not_changed() {
    let intact = store(7, CONFIG, &[]);
    for (path, bytes) in image(intact.path()) {
        for at in (0..bytes.len()).step_by((bytes.len() / 12).max(1)) {
            fs::write(&path, &bytes[..at]).expect("cut");
            let (code, out, err) = run(CHECK, intact.path());
            assert!(
                (0..=3).contains(&code) && (code < 2 || !err.is_empty()),
                "{}: {code} {out}{err}",
                path.display()
            );
            let (code, out, _) = run(EXPORT, intact.path());
            assert!(if code == 0 { out.trim_end() == CONFIG } else { out.is_empty() }, "{at}: {code} {out}");
        }
        fs::write(&path, &bytes).expect("restored");
    }
    assert_eq!(run(CHECK, intact.path()).0, 0);
}
