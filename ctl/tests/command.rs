//! The command against stand-ins of control on loopback: what it asks, what it says, and its exit code.

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
const TAKEN: (u16, &str) = (200, r#"{"revision":7}"#);
const STANDS: (u16, &str) = (200, FILE);
const NO_MAJORITY: (u16, &str) = (503, r#"{"error":"no_majority"}"#);

/// Control machines with the answers that they are to give, each once, the last one again and again.
struct Market {
    runtime: tokio::runtime::Runtime,
    calls: Arc<Mutex<Vec<(String, String)>>>,
}

impl Market {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        Market { runtime: runtime.expect("a runtime"), calls: Arc::default() }
    }

    /// One that answers by path; a 307 leads to where its text says.
    fn control(&self, script: &[(&str, (u16, &str))]) -> SocketAddr {
        let script: VecDeque<_> =
            script.iter().map(|(path, (s, t))| ((*path).to_owned(), *s, (*t).to_owned())).collect();
        let (script, calls) = (Arc::new(Mutex::new(script)), self.calls.clone());
        let handler = move |call: messaging::Call| {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            calls.lock().expect("whole").push((call.path.clone(), body));
            let mut script = script.lock().expect("whole");
            let at = script.iter().position(|(path, ..)| *path == call.path);
            let more = script.iter().filter(|(path, ..)| *path == call.path).count() > 1;
            let said = at.and_then(|at| if more { script.remove(at) } else { script.get(at).cloned() });
            let (_, status, text) = said.unwrap_or((String::new(), 404, String::new()));
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

    /// Bodies that came to a path.
    fn bodies(&self, path: &str) -> Vec<String> {
        let calls = self.calls.lock().expect("whole");
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
    let Output { status, stdout, stderr } = ctl(controls, arguments).output().expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

/// A file that holds a configuration.
fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    file
}

fn path(file: &tempfile::NamedTempFile) -> &str {
    file.path().to_str().expect("text")
}

#[test]
fn a_put_goes_on_as_it_was_over_dead_addresses_redirects_and_failures_until_it_is_taken() {
    let (market, file) = (Market::new(), file(FILE));
    let last = market.control(&[("/there", TAKEN), ("/Config.Read", STANDS)]);
    let to_last = format!("http://{last}/there");
    let between = market.control(&[("/then", (307, &to_last))]);
    let to_between = format!("http://{between}/then");
    let first = market.control(&[
        ("/Config.Replace", NO_MAJORITY),
        ("/Config.Replace", (307, &to_between)),
        ("/Config.Read", STANDS),
    ]);
    // Nobody listens there.
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let (code, out, err) = run(&[first, gone], &["--json", "config", "put", path(&file)]);
    assert_eq!(code, Some(0), "{out}{err}");
    assert_eq!(out, format!(r#"{{"acted_on":null,"by":"{last}","revision":7,"tries":5}}"#) + "\n");
    for path in ["/Config.Replace", "/then", "/there"] {
        assert!(market.bodies(path).iter().all(|body| body == FILE), "{path}");
    }
    assert_eq!(market.bodies("/there").len(), 1);
    assert!(err.lines().any(|line| line.contains("503 no_majority")), "{err}");
}

const REFUSED: (u16, &str) = (400, r#"{"error":"invalid","why":"routes[0].deadline_ms: is 0; at least 1"}"#);
const CONFLICT: (u16, &str) = (409, r#"{"error":"conflict","why":{"revision":7,"stands":"9be2"}}"#);
const NEWER: (u16, &str) = (200, r#"{"revision":9,"routes":[],"services":[]}"#);
const OTHER: (u16, &str) = (200, r#"{"revision":7,"routes":[],"services":[]}"#);

#[yare::parameterized(
    taken = { TAKEN, STANDS, 0, "revision 7 stands, and has this content" },
    refused_with_the_key = { REFUSED, STANDS, 3, "routes[0].deadline_ms: is 0; at least 1" },
    conflict = { (409, ""), STANDS, 3, "refused" },
    lost_to_what_stands = { CONFLICT, OTHER, 5, "revision 7 stands, with another content" },
    too_large = { (413, ""), STANDS, 3, "413" },
    not_found_for_the_third_time = { (404, ""), STANDS, 3, "404" },
    no_clear_answer = { NO_MAJORITY, STANDS, 4, "may be in force" },
    too_many = { (429, ""), STANDS, 4, "may be in force" },
    overtaken = { TAKEN, NEWER, 5, "revision 9 stands, which is newer" },
    lost_to_another = { TAKEN, OTHER, 5, "two were put under one number" },
    unread = { TAKEN, NO_MAJORITY, 4, "a change that was acknowledged" },
)]
fn what_a_put_comes_to(replace: (u16, &str), read: (u16, &str), code: i32, says: &str) {
    let (market, file) = (Market::new(), file(FILE));
    let control = market.control(&[("/Config.Replace", replace), ("/Config.Read", read)]);
    let (found, out, err) = run(&[control], &["--give-up", "0.45", "config", "put", path(&file)]);
    assert_eq!(found, Some(code), "{out}{err}");
    assert!(format!("{out}{err}").contains(says), "{out}{err}");
    assert!(!err.contains("beadle:") || code != 0);
}

#[test]
fn a_file_that_is_not_valid_is_named_with_its_key_and_goes_nowhere() {
    let (market, file) = (Market::new(), file(&FILE.replace("4000", "0")));
    let control = market.control(&[]);
    for arguments in [["config", "check", path(&file)], ["config", "put", path(&file)]] {
        let (code, out, err) = run(&[control], &arguments);
        assert!(code == Some(3) && err.contains("routes[0].deadline_ms: is 0; at least 1"), "{out}{err}");
    }
    assert!(market.calls.lock().expect("whole").is_empty());
}

#[test]
fn all_faults_of_a_file_are_said_at_once() {
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
fn functions_are_asked_of_the_steward_page_by_page() {
    let market = Market::new();
    let pages = [("/core/functions", (200, FIRST)), ("/core/functions", (200, LAST))];
    let core = core(7, 7);
    let steward = market.control(&[("/core", (200, core.as_str())), pages[0], pages[1]]);
    let other = core.replace(r#""is_steward":true"#, r#""is_steward":false"#);
    let other = other.replace(r#""address":"one""#, r#""address":"two""#);
    let other = other.replace(r#""steward":"one""#, &format!(r#""steward":"{steward}""#));
    let follower = market.control(&[("/core", (200, other.as_str()))]);
    let (code, out, err) = run(&[follower], &["functions"]);
    // A start of b is refused.
    assert_eq!(code, Some(1), "{out}{err}");
    for row in ["a 2 0.3 s ago 1 0 0 1 edge-1 -", "b 1 0.0 s ago 0 0 0 0 - refused, 3.4 s more"] {
        let row: Vec<_> = row.split_whitespace().collect();
        assert!(out.lines().any(|line| line.split_whitespace().eq(row.iter().copied())), "{row:?} {out}");
    }
    assert!(out.contains(&format!("by the steward {steward}, fence 4")), "{out}");
}

#[yare::parameterized(
    one = { (200, FIRST), Some(0), &["start 4.7.a on w-3: called 1.2 s ago, 2 times in vain", "requests come from: z 2, y 1",
        "i-9       10.0.0.9:80  w-3     z     ended  9.0 s  called"] },
    split = { (200, r#"{"fence":4,"functions":[{"name":"a b","wanted":5,"said_ms_ago":100,"ready":2,"hold":"no_room","lots":[
        {"zone":"y","owner":"edge-2","wanted":2,"live":2,"hold":"enough"},
        {"zone":"z","owner":"edge-1","wanted":3,"live":0,"hold":"no_room"}]}]}"#), Some(1),
        &["one in each of 2 zones  no_room", "y     2       2     edge-2  -", "z     3       0     edge-1  no_room"] },
    none = { (200, r#"{"fence":4,"functions":[]}"#), Some(1), &["no function \"a b\" is known to the steward"] },
    older = { (404, r#"{"error":"unknown"}"#), Some(3), &["404 unknown"] },
    steward_no_more = { (409, r#"{"error":"not_steward"}"#), Some(4), &["no clear answer", "409 not_steward"] },
    nonsense = { (200, "[]"), Some(4), &["no answer to this"] },
)]
fn one_function_is_told_with_its_starts(answer: (u16, &str), exit: Option<i32>, said: &[&str]) {
    let market = Market::new();
    let core = core(7, 7);
    let answer = (answer.0, answer.1.replace(r#""next":"a","#, ""));
    let steward = market
        .control(&[("/core", (200, core.as_str())), ("/core/functions", (answer.0, answer.1.as_str()))]);
    let (code, out, err) = run(&[steward], &["functions", "a b"]);
    assert_eq!(code, exit, "{out}{err}");
    said.iter().for_each(|said| assert!(out.contains(said) || err.contains(said), "{said}: {out}{err}"));
}

#[test]
fn without_a_steward_nobody_knows_how_functions_stand() {
    let market = Market::new();
    let core = core(7, 7).replace(r#""is_steward":true"#, r#""is_steward":false"#);
    let control = market.control(&[("/core", (200, core.as_str()))]);
    let (code, out, _) = run(&[control], &["--json", "functions"]);
    assert!(code == Some(1) && out.contains(r#""error":"no_steward""#), "{out}");
}

/// How the only machine stands, which votes alone, with what two followers act on.
fn core(first: u64, second: u64) -> String {
    let acts = format!(r#"{{"edge-1":{first},"edge-2":{second}}}"#);
    let standing = r#""voting":true,"epoch":0,"voters":["one"],"steward":"one","fence":1,"is_steward":true"#;
    format!(r#"{{"address":"one",{standing},"revision":7,"followers_act_on":{acts},"instances":3}}"#)
}

#[test]
fn a_put_waits_until_all_that_follow_act_on_it_and_says_who_does_not() {
    let (market, file) = (Market::new(), file(FILE));
    let (late, all) = (core(7, 5), core(7, 7));
    let script = [("/Config.Replace", TAKEN), ("/Config.Read", STANDS), ("/core", (200, late.as_str()))];
    let put = ["config", "put", path(&file), "--wait", "0.4"];
    let (code, out, err) = run(&[market.control(&script)], &put);
    assert!(code == Some(6) && err.contains("not all act on it: edge-2 on 5"), "{out}{err}");
    let script: Vec<_> = script.into_iter().chain([("/core", (200, all.as_str()))]).collect();
    let (code, out, err) = run(&[market.control(&script)], &["config", "put", path(&file), "--wait", "60"]);
    assert!(code == Some(0) && out.contains("all 2 that follow act on it"), "{out}{err}");
}

#[test]
fn status_shows_who_is_behind_and_that_is_its_exit_code() {
    let market = Market::new();
    let (well, behind) = (core(7, 7), core(7, 5));
    let (code, out, _) = run(&[market.control(&[("/core", (200, &well))])], &["status"]);
    assert!(code == Some(0) && out.contains("edge-2    7") && !out.contains("NOT WELL"), "{out}");
    let control = market.control(&[("/core", (200, &behind))]);
    let (code, out, _) = run(&[control], &["status"]);
    assert!(code == Some(1) && out.contains("edge-2 acts on 5, 2 behind 7"), "{out}");
    let (code, out, _) = run(&[control], &["--json", "status"]);
    let json = messaging::json(out.as_bytes()).expect("JSON");
    assert_eq!((code, json["well"].get::<bool>()), (Some(1), Some(&false)));
}

#[test]
fn watch_tells_what_changes_and_ends_quietly_once_nobody_reads() {
    let market = Market::new();
    let (behind, all) = (core(7, 5), core(7, 7));
    // Back and forth for as long as anybody asks.
    let turns: Vec<_> =
        (0..2_000).flat_map(|_| [&behind, &all]).map(|t| ("/core", (200, t.as_str()))).collect();
    let mut watch = ctl(&[market.control(&turns)], &["watch", "--every", "0.005"]);
    let mut child = watch.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("it runs");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.ends_with("edge-2 acts on: 5 -> 7")));
    drop(lines);
    let Output { status, stderr, .. } = child.wait_with_output().expect("it ends");
    assert_eq!((status.code(), String::from_utf8_lossy(&stderr).as_ref()), (Some(0), ""));
}

#[test]
fn what_stands_is_kept_in_a_file_and_compared_with_one() {
    let market = Market::new();
    let control = market.control(&[("/Config.Read", STANDS)]);
    let (folder, changed) = (tempfile::tempdir().expect("a folder"), file(&FILE.replace("4000", "3000")));
    let kept = folder.path().join("config.json");
    let (code, _, err) = run(&[control], &["config", "get", "--out", kept.to_str().expect("text")]);
    assert_eq!((code, std::fs::read_to_string(&kept).ok().as_deref()), (Some(0), Some(FILE)), "{err}");
    let (code, out, _) = run(&[control], &["config", "diff", kept.to_str().expect("text")]);
    assert_eq!((code, out.as_str()), (Some(0), ""));
    let (code, out, _) = run(&[control], &["config", "diff", path(&changed)]);
    assert_eq!(code, Some(1));
    assert!(out.starts_with("~ route h/a/: deadline_ms 4000 -> 3000"), "{out}");
    let empty = market.control(&[("/Config.Read", (503, r#"{"error":"empty"}"#))]);
    assert_eq!(run(&[empty], &["config", "get"]).0, Some(1));
}

const CONTRACT: &str = r#"{"name":"m","hosts":["l.example"],"services":{"s":"t"},"loads":2}"#;
const MOVES: &str = r#"{"version":4,"moves":[{"name":"m","epoch":1,"step":"switching","paused":true,"why":"the target is warm",
    "since_ms":1500,"age_ms":60000,"loads":2,"loads_on_target":[0,1],"revisions_left":3,"revisions_needed":4,
    "waits":"an operator, who has paused it","for_operator":true,"needs":[{"service":"t","instances":6}],
    "routes":[{"host":"l.example","path_prefix":"/a/","load":1}],
    "steps":[{"day":1700000000500,"fence":3,"step":"planned","why":"an operator's order"}]}]}"#;

#[yare::parameterized(
    taken = { &["start", "m", "--revisions", "8-12"], &[(503, r#"{"error":"unclear"}"#), (200, r#"{"step":"started"}"#)], Some(0),
        "started, by the steward", r#"{"name":"m","order":"start","revisions":{"first":8,"last":12}}"# },
    back = { &["back", "m"], &[(200, r#"{"step":"turned_back"}"#)], Some(0), "turned_back",
        r#"{"name":"m","order":"back","revisions":null}"# },
    refused = { &["pause", "m"], &[(422, r#"{"error":"refused","why":["one reason","another"]}"#)], Some(3), "one reason\nanother",
        r#"{"name":"m","order":"pause","revisions":null}"# },
    no_range = { &["start", "m", "--revisions", "12-8"], &[], Some(2), "is no range FIRST-LAST", "" },
)]
fn an_order_about_a_move_goes_to_the_steward_until_its_answer_is_clear(
    given: &[&str],
    answers: &[(u16, &str)],
    exit: Option<i32>,
    said: &str,
    sent: &str,
) {
    let market = Market::new();
    let core = core(7, 7);
    let answers = answers.iter().map(|answer| ("/core/moves", *answer));
    let script: Vec<_> = [("/core", (200, core.as_str()))].into_iter().chain(answers).collect();
    let control = market.control(&script);
    let (code, out, err) = run(&[control], &[&["move"], given].concat());
    assert_eq!(code, exit, "{out}{err}");
    assert!(out.contains(said) || err.contains(said), "{out}{err}");
    assert!(
        market.bodies("/core/moves").iter().all(|body| body == sent),
        "{:?}",
        market.bodies("/core/moves")
    );
}

#[test]
fn a_contract_is_checked_here_and_moves_are_shown_with_what_they_wait_for() {
    let market = Market::new();
    let core = core(7, 7);
    let script = [
        ("/core", (200, core.as_str())),
        ("/core/moves", (200, r#"{"step":"planned"}"#)),
        ("/core/moves", (200, MOVES)),
    ];
    let control = market.control(&script);
    let (contract, wrong) = (file(CONTRACT), file(&CONTRACT.replace(r#""t""#, "5")));
    let (code, _, err) = run(&[control], &["move", "plan", path(&wrong)]);
    assert!(code == Some(3) && err.contains("services.s: is not a string"), "{err}");
    let (code, out, err) = run(&[control], &["move", "plan", path(&contract)]);
    assert!(code == Some(0) && out.starts_with("planned, by the steward"), "{out}{err}");
    assert!(market.bodies("/core/moves")[0].contains(r#""order":"plan""#));
    let (code, out, err) = run(&[control], &["move", "status"]);
    assert!(
        code == Some(1) && out.contains("m     switching  1.5 s  60.0 s  0 to 1 of 2  an operator"),
        "{out}{err}"
    );
    let (code, out, _) = run(&[control], &["move", "explain", "m"]);
    for said in [
        "m: switching, paused, for 1.5 s",
        "needs      6 of t",
        "load 1     l.example /a/",
        "1700000000.500  fence 3  planned: an",
    ] {
        assert!(code == Some(1) && out.contains(said), "{said}: {out}");
    }
    let control =
        market.control(&[("/core", (200, core.as_str())), ("/core/moves", (200, r#"{"moves":[]}"#))]);
    assert_eq!(run(&[control], &["move", "explain", "x"]).0, Some(1));
    assert_eq!(run(&[control], &["move", "status"]).0, Some(0));
}

#[test]
fn why_tells_the_reasons_that_control_gives_and_ends_with_them() {
    let market = Market::new();
    let status = r#"{"address":"10.0.0.1:80","voting":true,"voters":["10.0.0.1:80"],"steward":"10.0.0.1:80","fence":4,
        "is_steward":true,"lease":"steward","revision":7,"followers_act_on":{"edge-1":7}}"#;
    let functions = r#"{"fence":4,"functions":[{"name":"f","owner":"edge-1","wanted":2,"said_ms_ago":40,"ready":1,
        "hold":"no_room","memory_mb":128}]}"#;
    let duty = r#"{"fence":4,"stalls":[{"name":"edge-1","named":true,"heard_ms_ago":5}],"answers":[],
        "faults":[{"call":"start","answer":"no_room","status":409,"of":"4.2.f","ms_ago":100}]}"#;
    let control = market.control(&[
        ("/core", (200, status)),
        ("/core/functions", (200, functions)),
        ("/core/duty", (200, duty)),
    ]);
    let (code, out, err) = run(&[control], &["why", "function", "f"]);
    assert_eq!(code, Some(1), "{out}{err}");
    for part in ["its owner edge-1 asks for 2", "NOT WELL, no_room", "of 128 MB", "start 4.2.f got 409"] {
        assert!(out.contains(part), "{part} in {out}");
    }
    let (code, out, _) = run(&[control], &["--json", "why", "machine", "edge-1"]);
    assert!(code == Some(0) && out.contains(r#""kind":"named""#), "{out}");
    let (code, out, _) = run(&[control], &["why"]);
    assert!(code == Some(1) && out.contains("holds the lease") && out.contains("NOT WELL, no_room"), "{out}");
    // One of before the call: what else is known is told.
    let old = market.control(&[("/core", (200, status))]);
    let (code, out, err) = run(&[old], &["why", "machine", "edge-1"]);
    assert!(code == Some(0) && out.contains("nothing newer stands"), "{out}{err}");
    let (code, ..) = run(&[old], &["why", "weather"]);
    assert_eq!(code, Some(2));
}

#[yare::parameterized(
    taken = { &["drain", "edge", "e-1", "--for", "60"], (200, OUT), 0, "NOT TOLD" },
    refused = { &["drain", "worker", "w-1"],
        (422, r#"{"error":"refused","why":["1 of 3 workers of zone \"z\" would stay","and more"]}"#), 3, "and more" },
    undone = { &["drain", "undo", "edge", "e-1"], (200, r#"{"drains":[]}"#), 0, "nothing is out" },
    not_clear = { &["drain", "edge", "e-1"], (503, r#"{"error":"unclear"}"#), 4, "may be obeyed" },
    not_told = { &["drain", "status"], (200, OUT), 1, "takes no starts; 2 instances left" },
    no_time = { &["drain", "edge", "e-1", "--for", "-1"], (200, OUT), 2, "--for" },
)]
fn what_is_taken_out_is_ordered_of_the_steward(
    arguments: &[&str],
    answer: (u16, &str),
    exit: i32,
    says: &str,
) {
    let market = Market::new();
    let status =
        r#"{"address":"10.0.0.1:80","voting":true,"voters":["10.0.0.1:80"],"is_steward":true,"revision":7}"#;
    let control = market.control(&[("/core", (200, status)), ("/core/drains", answer)]);
    let arguments: Vec<_> = ["--give-up", "0.4"].iter().chain(arguments).copied().collect();
    let (code, out, err) = run(&[control], &arguments);
    assert_eq!(code, Some(exit), "{out}{err}");
    assert!(format!("{out}{err}").contains(says), "{out}{err}");
    if says == "NOT TOLD" {
        let order = r#"{"for_ms":60000,"name":"e-1","order":"drain","what":"edge"}"#;
        assert_eq!(market.bodies("/core/drains"), [order]);
    }
}

const OUT: &str = r#"{"drains":[{"what":"edge","name":"e-1","zone":"z","left_ms":59000,"rests":false,"owns":true},
    {"what":"worker","name":"w-1","zone":"z","left_ms":9000,"instances":2}]}"#;
