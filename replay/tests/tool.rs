//! The command itself: what it prints, and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn trace(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces").join(name)
}

fn replay(words: &[&str], files: &[&Path]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_replay"));
    let Output { status, stdout, stderr } = command.args(words).args(files).output().expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn a_play_prints_its_seconds_and_the_rules() {
    let (code, out, _) = replay(&["play", "--node", "edge-2"], &[&trace("ends.log")]);
    assert_eq!(code, Some(0));
    assert!(out.contains("life 1: the desk of edge-2 in b, from line 5"), "{out}");
    assert!(out.contains("life 2: the desk of edge-2") && out.contains("   all "), "{out}");
    assert_eq!(out.matches(" kept\n").count(), 10, "{out}");
    assert!(out.contains("inputs of edge-2/stall played twice, the same both times"), "{out}");
    let (code, one, _) =
        replay(&["play", "--node", "edge-2", "--life", "2", "--service", "mill"], &[&trace("ends.log")]);
    assert_eq!((code, one.matches("life ").count()), (Some(0), 1));
}

#[test]
fn a_cut_of_a_file_onto_itself_and_what_differs() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("day.jsonl");
    std::fs::copy(trace("failures.jsonl"), &file).expect("a copy");
    let words = ["cut", "--from", "1", "--to", "1.5", "--warm", "0.2", "--out"];
    let (code, out, err) = replay(&words, &[&file, &file]);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.contains("whole from 0.800 s on"), "{out}");
    let (code, ..) = replay(&["diff"], &[&file, &file]);
    assert_eq!(code, Some(0));
    let (code, out, _) = replay(&["diff"], &[&file, &trace("failures.jsonl")]);
    assert_eq!(code, Some(1));
    assert!(out.lines().any(|line| line.starts_with("- {")) && out.contains("\n+ {"), "{out}");
    let (code, outs, err) = replay(&["play", "--outs"], &[&file]);
    assert_eq!(code, Some(0));
    assert!(outs.lines().all(|line| line.starts_with(r#"{"out":""#)) && err.contains("played twice"));
}

#[test]
fn what_is_wrong_is_told_and_the_exit_code_is_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let (none, spoilt, empty) =
        (folder.path().join("none"), folder.path().join("spoilt"), folder.path().join("empty"));
    let text = std::fs::read_to_string(trace("twice.jsonl")).expect("a trace");
    std::fs::write(&spoilt, text.replace(r#""at":10000000"#, r#""at":"soon""#)).expect("a file");
    std::fs::write(&empty, "no line of ours\n").expect("a file");
    for (words, file, why) in [
        (&["play"][..], &none, "No such file"),
        (&["play"], &spoilt, "replay: line 5: at: no number"),
        (&["play"], &empty, "no line of a recording; 1 lines are something else"),
        (&["play"], &trace("ends.log"), "line 5: of edge-2/stall, and lines before are of edge-1/stall"),
        (&["play", "--life", "7"], &trace("calm.jsonl"), "it holds 1 lives, and no number 7"),
    ] {
        let (code, _, err) = replay(words, &[file]);
        assert_eq!(code, Some(2), "{err}");
        assert!(err.contains(why), "{err}");
    }
    let (code, out, _) = replay(&["play", "--lenient"], &[&spoilt]);
    assert!(code != Some(2) && out.contains("lines spoilt or missing"), "{out}");
}

/// A folder with a simulated day.
fn day() -> tempfile::TempDir {
    use millpost_simulator::{day::play_recorded, plan::Plan, record::Recordings, site::Size};
    let folder = tempfile::tempdir().expect("a folder");
    let records = Recordings::folder(folder.path()).expect("a folder");
    play_recorded(&Plan::quiet(5, Size::Small), false, false, Some(records.clone()));
    records.end().expect("written");
    folder
}

#[test]
fn a_whole_day_is_played_and_asked_about() {
    let folder = day();
    let (code, out, _) = replay(&["play", "--all"], &[folder.path()]);
    assert_eq!((code, out.matches(" inputs, rules kept").count()), (Some(0), 13), "{out}");
    assert!(out.contains("outputs are those of the day, to the bit"), "{out}");
    let (code, out, _) = replay(&["play", "--node", "edge-0-0/stall", "--json"], &[folder.path()]);
    let last = out.lines().last().and_then(|line| millpost_protocol::line::read(line).ok()).expect("JSON");
    assert_eq!((code, last.contains_key("same"), last.contains_key("unlike")), (Some(0), true, true));
    assert!(out.lines().all(|line| millpost_protocol::line::read(line).is_ok()), "{out}");
    let file = folder.path().join("edge-0-0.stall.jsonl");
    let text = std::fs::read_to_string(&file).expect("text");
    let id =
        text.split(r#""in":"request""#).nth(40).and_then(|l| l.split(r#""id":""#).nth(1)).expect("a request");
    let id = id.split('"').next().expect("an id");
    for (words, code, has) in [
        (vec!["explain", "--json"], 0, format!(r#""of":"request","name":"{id}""#)),
        (vec!["version", "--json"], 0, r#""of":"version","name":"1""#.to_owned()),
        (vec!["instance"], 1, "nobody has heard of it".to_owned()),
        (vec!["duty"], 0, "takes office under fence 1".to_owned()),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_replay"));
        command.args(&words).arg(folder.path());
        match words[0] {
            "explain" => drop(command.arg(id)),
            "version" => drop(command.arg("1")),
            "instance" => drop(command.arg("i-none")),
            _ => {}
        }
        let done = command.output().expect("it runs");
        let out = String::from_utf8(done.stdout).expect("text");
        assert_eq!(done.status.code(), Some(code), "{words:?} {out}");
        assert!(out.contains(&has), "{words:?} {out}");
    }
}

#[test]
fn a_play_stops_where_it_is_told_to_and_shows_what_an_input_changes() {
    let file = trace("failures.jsonl");
    let (code, out, _) = replay(&["play", "--until", "out=granted"], &[&file]);
    assert_eq!((code, out.matches("\ninput\n").count()), (Some(0), 1), "{out}");
    // A permit goes out: before the input there was one fewer.
    assert!(out.lines().any(|l| l.starts_with("- function post") && l.contains(" 0 out")), "{out}");
    assert!(out.lines().any(|l| l.starts_with("+ function post") && l.contains(" 2 out")), "{out}");
    assert!(out.contains("why\n") && out.contains("a slot comes free: granted"), "{out}");
    let words = ["play", "--until", "line=30", "--steps", "3", "--json"];
    let (code, out, _) = replay(&words, &[&file]);
    let lines: Vec<_> = out.lines().map(|l| millpost_protocol::line::read(l).expect("JSON")).collect();
    assert_eq!((code, lines.len()), (Some(0), 3), "{out}");
    assert!(
        lines.iter().all(|line| ["before", "after", "changed", "outs"].iter().all(|k| line.contains_key(*k)))
    );
    // Whatever holds for no input ends with 1, and what makes no sense is told.
    let (code, _, err) = replay(&["play", "--until", "breach"], &[&file]);
    assert_eq!((code, err.contains("nothing of that in the recording")), (Some(1), true), "{err}");
    let (code, _, err) = replay(&["play", "--until", "soon"], &[&file]);
    assert!(code == Some(2) && err.contains("one of at=SECONDS"), "{code:?} {err}");
}
