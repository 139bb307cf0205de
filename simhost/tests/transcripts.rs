//! Runs the adapter as a process on valid and malformed transcripts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = r#"{"areas":["z"],"kinds":["a","b"],"familyInfo":{"bundleMax":[10,1],"late":"even","ownLimits":[false,false],"workers":4,"unheardOf":1},"limits":{"openCap":50,"tryLimit":6,"probes":true},"nInstances":2,"periodNs":5000000,"profiles":[{"credit":1.0,"deadlineNs":20000000000,"effect":"side_effect","lateWorth":0.5,"name":"x","objectiveNs":2000000000}],"rules":{"coldFrom":0.26,"coldNs":12000000000,"drainGraceNs":500000000,"graceToAnswerNs":20000000,"overloadForNs":2000000000,"tipMultiple":1.5},"slotNo":0,"weightKind":"off","membershipMode":"automatic"}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_millpost-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts the adapter");
    // The adapter may exit before it has read all of a malformed input.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("waits for the adapter")
}

fn start() -> String {
    format!(
        "TICK 5000000000\nINSTANCE 3\nNEW_INSTANCE 17 {CONF}\nLIST 0 2\nM 10.0.0.1:80 0 1 7 on 1 -\n\
         M 10.0.0.2:80 0 0 8 fading 1.5 6100000000\nUPDATE warm_copy 41 0\nEOF_BATCH\n"
    )
}

fn run_valid(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8")
}

fn assert_rejected(rest: &str, line: usize, field: &str) {
    let output = run(&format!("{}{rest}", start()));
    let stderr = String::from_utf8(output.stderr).expect("UTF-8");
    assert!(!output.status.success(), "accepted: {rest}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains(&format!("line {}: field `{field}`", line + 8)), "{rest}: {stderr}");
    assert_eq!(
        String::from_utf8(output.stdout).expect("UTF-8"),
        "READY\n",
        "no reply to the malformed batch"
    );
}

#[test]
fn a_message_is_sent_and_its_outcome_handled() {
    let input = start()
        + "TICK 5005000000\nINSTANCE 3\nWORK_ITEM 4503599627370495 0 0 - 20000000000 - 7 16\nEOF_BATCH\n\
           TICK 5105000000\nINSTANCE 3\nOUTCOME 4503599627370495 0 10.0.0.1:80 errored 100000000 0 - x0:0.5,x1:4\n\
           EOF_BATCH\nTICK 5110000000\nEOF_BATCH\n";
    let lines: Vec<String> = run_valid(&input).lines().map(str::to_owned).collect();
    assert_eq!(lines[0], "READY");
    assert_eq!(lines[1], "ON_BEHALF 3");
    assert!(
        lines[2].starts_with("RELAY 4503599627370495 ") && lines[2].ends_with(" 10.0.0.1:80"),
        "{lines:?}"
    );
    assert!(lines[3].starts_with("SLEEP 0 "));
    assert_eq!(lines[4..], ["READY", "ON_BEHALF 3", "ABORT 4503599627370495", "READY", "READY"]);
}

#[test]
fn unusual_but_valid_batches() {
    let input = start()
        + "TICK 5000000000\nINSTANCE 3\nDOWN\nNEW_INSTANCE 18 "
        + CONF
        + "\nLIST 0 0\nUPDATE warm_copy 1 0\nTIMED_OUT_CLIENT 5\nTIMEOUT_FIRED 99\nUPDATE lost - -\nPEER 1 -\n\
           PEER 1 aGkgNw==\nEOF_BATCH\nTICK 5000000000\nINSTANCE 3\nDOWN\nEOF_BATCH\n";
    assert_eq!(run_valid(&input), "READY\nREADY\nREADY\n");
    assert_eq!(run_valid(""), "");
}

#[test]
fn instances_without_events_get_no_actions() {
    let input = start() + "TICK 90000000000\nEOF_BATCH\n";
    assert_eq!(run_valid(&input), "READY\nREADY\n");
}

#[test]
fn malformed_input_names_line_and_field() {
    let in_batch = |text: &str| format!("TICK 5005000000\nINSTANCE 3\n{text}\nEOF_BATCH\n");
    assert_rejected("HELLO 1\n", 1, "message");
    assert_rejected("TICK 4\n", 1, "timeNs");
    assert_rejected("TICK x\n", 1, "timeNs");
    assert_rejected("TICK 5005000000\nINSTANCE 3\n", 3, "message");
    assert_rejected("TICK 5005000000\nINSTANCE 4\nTIMEOUT_FIRED 1\n", 3, "who");
    assert_rejected("TICK 5005000000\nTIMEOUT_FIRED 1\n", 2, "who");
    assert_rejected(&in_batch("HELLO 1"), 3, "message");
    assert_rejected(&in_batch("WORK_ITEM 1 0 0 - 20000000000 - 7"), 3, "attrs");
    assert_rejected(&in_batch("WORK_ITEM 1 0 0 - 20000000000 - 7 0 9"), 3, "9");
    assert_rejected(&in_batch("WORK_ITEM 1 1 0 - 20000000000 - 7 0"), 3, "tierClass");
    assert_rejected(&in_batch("WORK_ITEM 4503599627370496 0 0 - 20000000000 - 7 0"), 3, "id");
    assert_rejected(&in_batch("WORK_ITEM 1 0 0 - -5 - 7 0"), 3, "graceNs");
    assert_rejected(&in_batch("WORK_ITEM 1 0 0 - 20000000000 - - 0"), 3, "farEnd");
    assert_rejected(&in_batch("OUTCOME 1 0 10.0.0.1:80 vanished 1 0 - -"), 3, "outcome");
    assert_rejected(&in_batch("OUTCOME 1 0 10.9.9.9:80 completed 1 0 - -"), 3, "endpoint");
    assert_rejected(&in_batch("OUTCOME 1 0 10.0.0.1:80 completed 1 2 - -"), 3, "settled");
    assert_rejected(&in_batch("OUTCOME 1 0 10.0.0.1:80 completed 1 1 - x0=3"), 3, "metrics");
    assert_rejected(&in_batch("UPDATE whole 1 0"), 3, "kind");
    assert_rejected(&in_batch("UPDATE total 1 5"), 3, "buffer");
    assert_rejected(&in_batch("LIST 16 0"), 3, "buffer");
    assert_rejected(&in_batch("LIST 1 2\nM 10.0.0.1:80 0 1 7 on 1 -"), 5, "membersList");
    assert_rejected(&in_batch("LIST 1 1\nM 10.0.0.1:80 0 1 7 well 1 -"), 4, "availability");
    assert_rejected(&in_batch("LIST 1 1\nM 10.0.0.1:80 0 9 7 on 1 -\nUPDATE total 1 1"), 5, "sku");
    assert_rejected(&in_batch("PEER 1 a"), 3, "contents");
    assert_rejected(&in_batch("NEW_INSTANCE 1 {"), 3, "conf");
    assert_rejected(&in_batch("NEW_INSTANCE 1 {\"slotNo\":0}"), 3, "conf");
    assert_rejected(&in_batch("NEW_INSTANCE 1"), 3, "conf");
}
