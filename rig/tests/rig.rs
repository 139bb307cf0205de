//! The rig as its users start it: a short plan with failures, twice the same verdict, and plans that can't be played.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn rig(arguments: &[&str], out: &Path) -> Output {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_millpost-rig"));
    let mut command = Command::new(&program);
    command.args(arguments).arg("--out").arg(out).arg("--quiet");
    // Built with the workspace's tests; where only these are run the rig builds it.
    let dispatcher = program.with_file_name("millpost-dispatcher");
    if dispatcher.exists() {
        command.arg("--dispatcher").arg(dispatcher);
    }
    command.output().expect("it runs")
}

const PLAN: &str = r#"
name = "a short one"
seed = 11
seconds = 4.0

[[service.classes]]
name = "loan-status"
effect = "safe"
aim_ms = 2000
deadline_ms = 6000

[[service.classes]]
name = "loan-report"
effect = "keyed"
aim_ms = 2000
deadline_ms = 6000

[[service.classes]]
name = "licence-order"
effect = "unsafe"
aim_ms = 2000
deadline_ms = 6000

[load]
per_second = 80.0
answer_within_ms = 5000

[partners]
destinations = 5
latency_ms = 5.0
per_second = 100.0

[[fault]]
at = 0.5
for = 1.2
where = "destination 1"
what = "refuse"

[[fault]]
at = 0.5
for = 3.0
where = "destinations"
what = "reset-after"
share = 0.05

[[fault]]
at = 1.0
for = 1.0
where = "destination 2"
what = "wait"
wait_ms = 300

[[fault]]
at = 1.0
for = 2.0
where = "endpoint 3/0"
what = "drain"

[[fault]]
at = 1.5
for = 0.6
where = "dispatcher 0"
what = "kill"

[[fault]]
at = 2.5
for = 1.0
where = "dispatcher 1"
what = "terminate"
"#;

#[test]
fn failures_break_no_rule_and_the_report_says_what_was_seen() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = folder.path().join("plan.toml");
    std::fs::write(&plan, PLAN).expect("the plan");
    let done = rig(&["run", plan.to_str().expect("a path"), "--json"], folder.path());
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(0), "{said}\n{}", String::from_utf8_lossy(&done.stdout));
    let outcome: serde_json::Value = serde_json::from_slice(&done.stdout).expect("JSON");
    let number = |path: &str| outcome.pointer(path).and_then(serde_json::Value::as_u64).expect(path);
    assert!(number("/clients/offered") > 200);
    let ends =
        ["delivered", "dead", "bounced", "told_after_delivery"].map(|n| number(&format!("/verdict/{n}")));
    assert!(ends.iter().sum::<u64>() >= number("/verdict/taken"), "{ends:?}");
    assert!(ends[0] > number("/clients/offered") / 2, "{ends:?}");
    assert_eq!(outcome["ends"], serde_json::json!([0, 0]), "both ended in order");
    let page = std::fs::read_to_string(folder.path().join("report.html")).expect("the page");
    assert!(page.contains("<polyline") && page.contains("Refuse at destination 1"));
    assert!(!page.contains("http://") && !page.contains("<script"), "it needs nothing beside it");
}

#[test]
fn plans_that_cannot_be_played_are_refused_with_file_line_and_reason() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = folder.path().join("bad.toml");
    std::fs::write(&plan, PLAN.replace("seed = 11", "sead = 11")).expect("the plan");
    let path = plan.to_str().expect("a path");
    for verb in ["run", "check"] {
        let done = rig(&[verb, path], folder.path());
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{said}");
        assert!(said.contains(&format!("{path}:3: unknown field `sead`")), "{said}");
    }
    let done = rig(&["check", "/nowhere.toml"], folder.path());
    assert_eq!(done.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&done.stderr).contains("/nowhere.toml: "));
}

#[test]
fn the_sample_is_a_plan_that_names_every_setting() {
    let folder = tempfile::tempdir().expect("a folder");
    let sample = rig(&["sample"], folder.path());
    let plan = folder.path().join("sample.toml");
    std::fs::write(&plan, &sample.stdout).expect("the plan");
    let done = rig(&["check", plan.to_str().expect("a path")], folder.path());
    assert_eq!(done.status.code(), Some(0), "{}", String::from_utf8_lossy(&done.stderr));
    assert!(String::from_utf8_lossy(&done.stdout).contains("it can be played"));
}
