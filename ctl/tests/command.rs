//! Runs the command against stand-ins for control on loopback and checks its calls, its output and its exit
//! code.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderValue, LOCATION};
use millpost_net::messaging::{self, Limits, Reply};
use tokio::net::TcpListener;

const FILE: &str = r#"{"revision":7,"routes":[{"host":"h","path_prefix":"/a/","traffic_kind":"idempotent",
    "deadline_ms":4000,"service":"f"}],"services":[{"name":"f"}]}"#;
const ACCEPTED: (u16, &str) = (200, r#"{"revision":7}"#);
const ACTIVE: (u16, &str) = (200, FILE);
const NO_MAJORITY: (u16, &str) = (503, r#"{"error":"no_majority"}"#);

/// Stand-ins for control machines, with scripted answers. The last answer for a path is repeated.
struct MockControls {
    runtime: tokio::runtime::Runtime,
    calls: Arc<Mutex<Vec<(String, String)>>>,
}

impl MockControls {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        MockControls { runtime: runtime.expect("a runtime"), calls: Arc::default() }
    }

    /// Starts a control machine that answers by path. The text of a 307 is its `Location`.
    fn control(&self, script: &[(&str, (u16, &str))]) -> SocketAddr {
        let script: VecDeque<_> =
            script.iter().map(|(path, (s, t))| ((*path).to_owned(), *s, (*t).to_owned())).collect();
        let (script, calls) = (Arc::new(Mutex::new(script)), self.calls.clone());
        let handler = move |call: messaging::Call| {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            calls.lock().expect("not poisoned").push((call.path.clone(), body));
            let mut script = script.lock().expect("not poisoned");
            let at = script.iter().position(|(path, ..)| *path == call.path);
            let more = script.iter().filter(|(path, ..)| *path == call.path).count() > 1;
            let answer = at.and_then(|at| if more { script.remove(at) } else { script.get(at).cloned() });
            let (_, status, text) = answer.unwrap_or((String::new(), 404, String::new()));
            let status = StatusCode::from_u16(status).expect("a status");
            let reply = match status {
                StatusCode::TEMPORARY_REDIRECT => {
                    Reply::empty(status).with(LOCATION, HeaderValue::from_str(&text).expect("text"))
                }
                _ => Reply::json(status, text),
            };
            std::future::ready(reply)
        };
        let listener = self.runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let (idle_timeout, body_timeout) = (Duration::from_secs(60), Duration::from_secs(5));
        let limits = Limits {
            max_body_bytes: 1 << 20,
            idle_timeout,
            body_timeout,
            max_connections: 50,
            ack_timeout: None,
        };
        self.runtime.spawn(messaging::serve(listener, limits, handler, std::future::pending()));
        address
    }

    /// Bodies received at a path.
    fn bodies(&self, path: &str) -> Vec<String> {
        let calls = self.calls.lock().expect("not poisoned");
        calls.iter().filter(|(p, _)| p == path).map(|(_, body)| body.clone()).collect()
    }
}

fn ctl(controls: &[SocketAddr], arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_beadle"));
    let controls = controls.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    command.args(["--control", &controls]).args(arguments).env_remove("RUST_LOG");
    command
}

fn run(controls: &[SocketAddr], arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = ctl(controls, arguments).output().expect("the command runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

/// A temporary file with this content.
fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    file
}

fn path(file: &tempfile::NamedTempFile) -> &str {
    file.path().to_str().expect("text")
}

#[test]
fn a_put_is_retried_unchanged_over_dead_addresses_redirects_and_failures() {
    let (mock, file) = (MockControls::new(), file(FILE));
    let last = mock.control(&[("/there", ACCEPTED), ("/Config.Read", ACTIVE)]);
    let to_last = format!("http://{last}/there");
    let between = mock.control(&[("/then", (307, &to_last))]);
    let to_between = format!("http://{between}/then");
    let first = mock.control(&[
        ("/Config.Replace", NO_MAJORITY),
        ("/Config.Replace", (307, &to_between)),
        ("/Config.Read", ACTIVE),
    ]);
    // No process listens on this port.
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let (code, out, err) = run(&[first, gone], &["--json", "config", "put", path(&file)]);
    assert_eq!(code, Some(0), "{out}{err}");
    assert_eq!(out, format!(r#"{{"acted_on":null,"by":"{last}","revision":7,"tries":5}}"#) + "\n");
    for path in ["/Config.Replace", "/then", "/there"] {
        assert!(mock.bodies(path).iter().all(|body| body == FILE), "{path}");
    }
    assert_eq!(mock.bodies("/there").len(), 1);
    assert!(err.lines().any(|line| line.contains("503 no_majority")), "{err}");
}

const REFUSED: (u16, &str) = (400, r#"{"error":"invalid","why":"routes[0].deadline_ms: is 0; at least 1"}"#);
const CONFLICT: (u16, &str) = (409, r#"{"error":"conflict","why":{"revision":7,"stands":"9be2"}}"#);
const NEWER: (u16, &str) = (200, r#"{"revision":9,"routes":[],"services":[]}"#);
const OTHER: (u16, &str) = (200, r#"{"revision":7,"routes":[],"services":[]}"#);

#[yare::parameterized(
    accepted = { ACCEPTED, ACTIVE, 0, "revision 7 is active with this content" },
    refused_with_the_key = { REFUSED, ACTIVE, 3, "routes[0].deadline_ms: is 0; at least 1" },
    conflict = { (409, ""), ACTIVE, 3, "refused" },
    conflict_with_the_active_one = { CONFLICT, OTHER, 5, "revision 7 is active, with another content" },
    too_large = { (413, ""), ACTIVE, 3, "413" },
    third_not_found = { (404, ""), ACTIVE, 3, "404" },
    no_definite_answer = { NO_MAJORITY, ACTIVE, 4, "may be in force" },
    too_many = { (429, ""), ACTIVE, 4, "may be in force" },
    superseded = { ACCEPTED, NEWER, 5, "revision 9 is active, which is newer" },
    same_revision_with_other_content = { ACCEPTED, OTHER, 5, "two configurations were put under this revision" },
    failed_read = { ACCEPTED, NO_MAJORITY, 4, "a change that was acknowledged" },
)]
fn outcome_of_a_put(replace: (u16, &str), read: (u16, &str), code: i32, expected: &str) {
    let (mock, file) = (MockControls::new(), file(FILE));
    let control = mock.control(&[("/Config.Replace", replace), ("/Config.Read", read)]);
    let (found, out, err) = run(&[control], &["--give-up", "0.45", "config", "put", path(&file)]);
    assert_eq!(found, Some(code), "{out}{err}");
    assert!(format!("{out}{err}").contains(expected), "{out}{err}");
    assert!(!err.contains("beadle:") || code != 0);
}

#[test]
fn an_invalid_file_is_reported_with_its_key_and_not_sent() {
    let (mock, file) = (MockControls::new(), file(&FILE.replace("4000", "0")));
    let control = mock.control(&[]);
    for arguments in [["config", "check", path(&file)], ["config", "put", path(&file)]] {
        let (code, out, err) = run(&[control], &arguments);
        assert!(code == Some(3) && err.contains("routes[0].deadline_ms: is 0; at least 1"), "{out}{err}");
    }
    assert!(mock.calls.lock().expect("not poisoned").is_empty());
}

#[test]
fn all_faults_of_a_file_are_reported_at_once() {
    let file = file(&FILE.replace("4000", "0").replace(r#""service":"f""#, r#""service":"x""#));
    let (code, out, err) = run(&[], &["--json", "config", "check", path(&file)]);
    let faults = [
        r#"{"key":"routes[0].deadline_ms","reason":"is 0; at least 1"}"#,
        r#"{"key":"routes[0].service","reason":"is \"x\", which is no service"}"#,
    ];
    assert_eq!(code, Some(3));
    assert!(out.contains(&format!(r#""faults":[{}],"more":0"#, faults.join(","))), "{out}");
    let lines: Vec<_> = err.lines().map(|line| line.trim_start_matches("beadle: ")).collect();
    assert!(lines.len() == 2 && lines.iter().all(|line| line.starts_with(path(&file))), "{err}");
}

const FIRST: &str = r#"{"fence":4,"next":"a","functions":[{"name":"a","owner":"edge-1","configured":true,"wanted":2,
    "said_ms_ago":300,"zones":[["z",2],["y",1]],"ready":1,"booting":0,"draining":0,"starting":1,"refusals":0,"hold":"enough",
    "starts":[{"worker":"w-3","nonce":"4.7.a","sent_ms_ago":1200,"failed":2}],
    "instances":[{"id":"i-9","address":"10.0.0.9:80","worker":"w-3","zone":"z","state":"ended","since_ms":9000,"stop":"called"}]}]}"#;
const LAST: &str = r#"{"fence":4,"functions":[{"name":"b","configured":true,"wanted":1,"said_ms_ago":0,"ready":0,"booting":0,
    "draining":0,"starting":0,"refusals":3,"hold":"refused","hold_ms":3400}]}"#;

#[test]
fn functions_are_read_from_the_steward_page_by_page() {
    let mock = MockControls::new();
    let pages = [("/core/functions", (200, FIRST)), ("/core/functions", (200, LAST))];
    let core = core(7, 7);
    let steward = mock.control(&[("/core", (200, core.as_str())), pages[0], pages[1]]);
    let other = core.replace(r#""is_steward":true"#, r#""is_steward":false"#);
    let other = other.replace(r#""address":"one""#, r#""address":"two""#);
    let other = other.replace(r#""steward":"one""#, &format!(r#""steward":"{steward}""#));
    let follower = mock.control(&[("/core", (200, other.as_str()))]);
    let (code, out, err) = run(&[follower], &["functions"]);
    // Starts of b are refused, which is a problem.
    assert_eq!(code, Some(1), "{out}{err}");
    for row in ["a 2 0.3 s ago 1 0 0 1 edge-1 -", "b 1 0.0 s ago 0 0 0 0 - refused, 3.4 s more"] {
        let row: Vec<_> = row.split_whitespace().collect();
        assert!(out.lines().any(|line| line.split_whitespace().eq(row.iter().copied())), "{row:?} {out}");
    }
    assert!(out.contains(&format!("by the steward {steward}, fence 4")), "{out}");
}

#[yare::parameterized(
    one = { (200, FIRST), Some(0), &["start 4.7.a on w-3: sent 1.2 s ago, failed 2 times", "requests come from: z 2, y 1",
        "i-9       10.0.0.9:80  w-3     z     ended  9.0 s  called"] },
    one_owner_per_zone = { (200, r#"{"fence":4,"functions":[{"name":"a b","wanted":5,"said_ms_ago":100,"ready":2,"hold":"no_room","lots":[
        {"zone":"y","owner":"edge-2","wanted":2,"live":2,"hold":"enough"},
        {"zone":"z","owner":"edge-1","wanted":3,"live":0,"hold":"no_room"}]}]}"#), Some(1),
        &["one in each of 2 zones  no_room", "y     2       2     edge-2  -", "z     3       0     edge-1  no_room"] },
    none = { (200, r#"{"fence":4,"functions":[]}"#), Some(1), &["no function \"a b\" is known to the steward"] },
    older_version = { (404, r#"{"error":"unknown"}"#), Some(3), &["404 unknown"] },
    no_longer_steward = { (409, r#"{"error":"not_steward"}"#), Some(4), &["no definite answer", "409 not_steward"] },
    malformed_answer = { (200, "[]"), Some(4), &["the answer is not a list of functions"] },
)]
fn one_function_is_shown_with_its_starts(answer: (u16, &str), exit: Option<i32>, expected: &[&str]) {
    let mock = MockControls::new();
    let core = core(7, 7);
    let answer = (answer.0, answer.1.replace(r#""next":"a","#, ""));
    let steward =
        mock.control(&[("/core", (200, core.as_str())), ("/core/functions", (answer.0, answer.1.as_str()))]);
    let (code, out, err) = run(&[steward], &["functions", "a b"]);
    assert_eq!(code, exit, "{out}{err}");
    expected.iter().for_each(|part| assert!(out.contains(part) || err.contains(part), "{part}: {out}{err}"));
}

#[test]
fn functions_fail_without_a_steward() {
    let mock = MockControls::new();
    let core = core(7, 7).replace(r#""is_steward":true"#, r#""is_steward":false"#);
    let control = mock.control(&[("/core", (200, core.as_str()))]);
    let (code, out, _) = run(&[control], &["--json", "functions"]);
    assert!(code == Some(1) && out.contains(r#""error":"no_steward""#), "{out}");
}

/// The state of a single voter, with the revisions that two followers apply.
fn core(first: u64, second: u64) -> String {
    let acts = format!(r#"{{"edge-1":{first},"edge-2":{second}}}"#);
    let standing = r#""voting":true,"epoch":0,"voters":["one"],"steward":"one","fence":1,"is_steward":true"#;
    format!(r#"{{"address":"one",{standing},"revision":7,"followers_act_on":{acts},"instances":3}}"#)
}

#[test]
fn a_put_waits_for_all_followers_and_names_those_that_are_late() {
    let (mock, file) = (MockControls::new(), file(FILE));
    let (late, all) = (core(7, 5), core(7, 7));
    let script = [("/Config.Replace", ACCEPTED), ("/Config.Read", ACTIVE), ("/core", (200, late.as_str()))];
    let put = ["config", "put", path(&file), "--wait", "0.4"];
    let (code, out, err) = run(&[mock.control(&script)], &put);
    assert!(code == Some(6) && err.contains("not all followers apply it: edge-2 on 5"), "{out}{err}");
    let script: Vec<_> = script.into_iter().chain([("/core", (200, all.as_str()))]).collect();
    let (code, out, err) = run(&[mock.control(&script)], &["config", "put", path(&file), "--wait", "60"]);
    assert!(code == Some(0) && out.contains("all 2 followers apply it"), "{out}{err}");
}

#[test]
fn status_shows_followers_that_are_behind_and_sets_the_exit_code() {
    let mock = MockControls::new();
    let (well, behind) = (core(7, 7), core(7, 5));
    let (code, out, _) = run(&[mock.control(&[("/core", (200, &well))])], &["status"]);
    assert!(code == Some(0) && out.contains("edge-2    7") && !out.contains("NOT WELL"), "{out}");
    let control = mock.control(&[("/core", (200, &behind))]);
    let (code, out, _) = run(&[control], &["status"]);
    assert!(code == Some(1) && out.contains("edge-2 applies revision 5, 2 behind 7"), "{out}");
    let (code, out, _) = run(&[control], &["--json", "status"]);
    let json = messaging::json(out.as_bytes()).expect("JSON");
    assert_eq!((code, json["well"].get::<bool>()), (Some(1), Some(&false)));
}

#[test]
fn watch_prints_changes_and_ends_silently_when_its_output_is_closed() {
    let mock = MockControls::new();
    let (behind, all) = (core(7, 5), core(7, 7));
    // Alternates for as long as the command asks.
    let turns: Vec<_> =
        (0..2_000).flat_map(|_| [&behind, &all]).map(|t| ("/core", (200, t.as_str()))).collect();
    let mut watch = ctl(&[mock.control(&turns)], &["watch", "--every", "0.005"]);
    let mut child = watch.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the command runs");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.ends_with("edge-2 acts on: 5 -> 7")));
    drop(lines);
    let Output { status, stderr, .. } = child.wait_with_output().expect("the command ends");
    assert_eq!((status.code(), String::from_utf8_lossy(&stderr).as_ref()), (Some(0), ""));
}

#[test]
fn the_active_configuration_is_written_to_a_file_and_compared_with_one() {
    let mock = MockControls::new();
    let control = mock.control(&[("/Config.Read", ACTIVE)]);
    let (folder, changed) = (tempfile::tempdir().expect("a folder"), file(&FILE.replace("4000", "3000")));
    let saved = folder.path().join("config.json");
    let (code, _, err) = run(&[control], &["config", "get", "--out", saved.to_str().expect("text")]);
    assert_eq!((code, std::fs::read_to_string(&saved).ok().as_deref()), (Some(0), Some(FILE)), "{err}");
    let (code, out, _) = run(&[control], &["config", "diff", saved.to_str().expect("text")]);
    assert_eq!((code, out.as_str()), (Some(0), ""));
    let (code, out, _) = run(&[control], &["config", "diff", path(&changed)]);
    assert_eq!(code, Some(1));
    assert!(out.starts_with("~ route h/a/: deadline_ms 4000 -> 3000"), "{out}");
    let empty = mock.control(&[("/Config.Read", (503, r#"{"error":"empty"}"#))]);
    assert_eq!(run(&[empty], &["config", "get"]).0, Some(1));
}

const CONTRACT: &str = r#"{"name":"m","hosts":["l.example"],"services":{"s":"t"},"loads":2}"#;
const MOVES: &str = r#"{"version":4,"moves":[{"name":"m","epoch":1,"step":"switching","paused":true,"why":"the target is warm",
    "since_ms":1500,"age_ms":60000,"loads":2,"loads_on_target":[0,1],"revisions_left":3,"revisions_needed":4,
    "waits":"an operator, who has paused the move","for_operator":true,"needs":[{"service":"t","instances":6}],
    "routes":[{"host":"l.example","path_prefix":"/a/","load":1}],
    "steps":[{"day":1700000000500,"fence":3,"step":"planned","why":"an operator's order"}]}]}"#;

#[yare::parameterized(
    accepted = { &["start", "m", "--revisions", "8-12"], &[(503, r#"{"error":"unclear"}"#), (200, r#"{"step":"started"}"#)], Some(0),
        "started, by the steward", r#"{"name":"m","order":"start","revisions":{"first":8,"last":12}}"# },
    back = { &["back", "m"], &[(200, r#"{"step":"turned_back"}"#)], Some(0), "turned_back",
        r#"{"name":"m","order":"back","revisions":null}"# },
    refused = { &["pause", "m"], &[(422, r#"{"error":"refused","why":["one reason","another"]}"#)], Some(3), "one reason\nanother",
        r#"{"name":"m","order":"pause","revisions":null}"# },
    no_range = { &["start", "m", "--revisions", "12-8"], &[], Some(2), "is not a range FIRST-LAST", "" },
)]
fn an_order_about_a_move_is_repeated_until_the_answer_is_definite(
    given: &[&str],
    answers: &[(u16, &str)],
    exit: Option<i32>,
    expected: &str,
    sent: &str,
) {
    let mock = MockControls::new();
    let core = core(7, 7);
    let answers = answers.iter().map(|answer| ("/core/moves", *answer));
    let script: Vec<_> = [("/core", (200, core.as_str()))].into_iter().chain(answers).collect();
    let control = mock.control(&script);
    let (code, out, err) = run(&[control], &[&["move"], given].concat());
    assert_eq!(code, exit, "{out}{err}");
    assert!(out.contains(expected) || err.contains(expected), "{out}{err}");
    assert!(mock.bodies("/core/moves").iter().all(|body| body == sent), "{:?}", mock.bodies("/core/moves"));
}

#[test]
fn a_contract_is_checked_locally_and_moves_are_shown_with_what_they_wait_for() {
    let mock = MockControls::new();
    let core = core(7, 7);
    let script = [
        ("/core", (200, core.as_str())),
        ("/core/moves", (200, r#"{"step":"planned"}"#)),
        ("/core/moves", (200, MOVES)),
    ];
    let control = mock.control(&script);
    let (contract, wrong) = (file(CONTRACT), file(&CONTRACT.replace(r#""t""#, "5")));
    let (code, _, err) = run(&[control], &["move", "plan", path(&wrong)]);
    assert!(code == Some(3) && err.contains("services.s: is not a string"), "{err}");
    let (code, out, err) = run(&[control], &["move", "plan", path(&contract)]);
    assert!(code == Some(0) && out.starts_with("planned, by the steward"), "{out}{err}");
    assert!(mock.bodies("/core/moves")[0].contains(r#""order":"plan""#));
    let (code, out, err) = run(&[control], &["move", "status"]);
    assert!(
        code == Some(1) && out.contains("m     switching  1.5 s  60.0 s  0 to 1 of 2  an operator"),
        "{out}{err}"
    );
    let (code, out, _) = run(&[control], &["move", "explain", "m"]);
    for expected in [
        "m: switching, paused, for 1.5 s",
        "needs      6 of t",
        "load 1     l.example /a/",
        "1700000000.500  fence 3  planned: an",
    ] {
        assert!(code == Some(1) && out.contains(expected), "{expected}: {out}");
    }
    let control = mock.control(&[("/core", (200, core.as_str())), ("/core/moves", (200, r#"{"moves":[]}"#))]);
    assert_eq!(run(&[control], &["move", "explain", "x"]).0, Some(1));
    assert_eq!(run(&[control], &["move", "status"]).0, Some(0));
}

#[test]
fn why_shows_the_reasons_and_sets_the_exit_code() {
    let mock = MockControls::new();
    let status = r#"{"address":"10.0.0.1:80","voting":true,"voters":["10.0.0.1:80"],"steward":"10.0.0.1:80","fence":4,
        "is_steward":true,"lease":"steward","revision":7,"followers_act_on":{"edge-1":7}}"#;
    let functions = r#"{"fence":4,"functions":[{"name":"f","owner":"edge-1","wanted":2,"said_ms_ago":40,"ready":1,
        "hold":"no_room","memory_mb":128}]}"#;
    let duty = r#"{"fence":4,"stalls":[{"name":"edge-1","named":true,"heard_ms_ago":5}],"answers":[],
        "faults":[{"call":"start","answer":"no_room","status":409,"of":"4.2.f","ms_ago":100}]}"#;
    let control = mock.control(&[
        ("/core", (200, status)),
        ("/core/functions", (200, functions)),
        ("/core/duty", (200, duty)),
    ]);
    let (code, out, err) = run(&[control], &["why", "function", "f"]);
    assert_eq!(code, Some(1), "{out}{err}");
    for part in ["its owner edge-1 requests 2", "NOT WELL, no_room", "of 128 MB", "start 4.2.f got 409"] {
        assert!(out.contains(part), "{part} in {out}");
    }
    let (code, out, _) = run(&[control], &["--json", "why", "machine", "edge-1"]);
    assert!(code == Some(0) && out.contains(r#""kind":"named""#), "{out}");
    let (code, out, _) = run(&[control], &["why"]);
    assert!(code == Some(1) && out.contains("holds the lease") && out.contains("NOT WELL, no_room"), "{out}");
    // An older version without the call: the other answers are still explained.
    let old = mock.control(&[("/core", (200, status))]);
    let (code, out, err) = run(&[old], &["why", "machine", "edge-1"]);
    assert!(code == Some(0) && out.contains("nothing newer is known"), "{out}{err}");
    let (code, ..) = run(&[old], &["why", "weather"]);
    assert_eq!(code, Some(2));
}

#[yare::parameterized(
    accepted = { &["drain", "edge", "e-1", "--for", "60"], (200, DRAINS), 0, "NOT APPLIED" },
    refused = { &["drain", "worker", "w-1"],
        (422, r#"{"error":"refused","why":["1 of 3 workers of zone \"z\" would stay","and more"]}"#), 3, "and more" },
    undone = { &["drain", "undo", "edge", "e-1"], (200, r#"{"drains":[]}"#), 0, "nothing is drained" },
    no_definite_answer = { &["drain", "edge", "e-1"], (503, r#"{"error":"unclear"}"#), 4, "may have taken effect" },
    not_applied = { &["drain", "status"], (200, DRAINS), 1, "takes no starts; 2 instances left" },
    invalid_duration = { &["drain", "edge", "e-1", "--for", "-1"], (200, DRAINS), 2, "--for" },
)]
fn drains_are_ordered_from_the_steward(arguments: &[&str], answer: (u16, &str), exit: i32, expected: &str) {
    let mock = MockControls::new();
    let status =
        r#"{"address":"10.0.0.1:80","voting":true,"voters":["10.0.0.1:80"],"is_steward":true,"revision":7}"#;
    let control = mock.control(&[("/core", (200, status)), ("/core/drains", answer)]);
    let arguments: Vec<_> = ["--give-up", "0.4"].iter().chain(arguments).copied().collect();
    let (code, out, err) = run(&[control], &arguments);
    assert_eq!(code, Some(exit), "{out}{err}");
    assert!(format!("{out}{err}").contains(expected), "{out}{err}");
    if expected == "NOT APPLIED" {
        let order = r#"{"for_ms":60000,"name":"e-1","order":"drain","what":"edge"}"#;
        assert_eq!(mock.bodies("/core/drains"), [order]);
    }
}

const DRAINS: &str = r#"{"drains":[{"what":"edge","name":"e-1","zone":"z","left_ms":59000,"rests":false,"owns":true},
    {"what":"worker","name":"w-1","zone":"z","left_ms":9000,"instances":2}]}"#;
