//! The command as a process: its output, its exit codes, and what it says of what it can't do.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};

use millpost_audit::entry::Author;
use millpost_audit::log::{LEAST_BUDGET, Log};
use millpost_audit::{End, State, message};
use millpost_tier::versions::{ActiveVersions, Kind};
use serde_json::{Value, json};

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_700_000_000 * SECOND;

fn fleet(arguments: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_millpost-fleet")).args(arguments).output().expect("it starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code().expect("it ends by itself"), text(stdout), text(stderr))
}

/// A console that answers every line with this.
fn console(answer: String) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut line = [0; 64];
            let _ = stream.read(&mut line);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn standing(digest: u32) -> ActiveVersions {
    let mut standing =
        ActiveVersions { incarnation: 2, epoch: 2, agent: 9, index: 4, ..ActiveVersions::default() };
    standing.set_version(Kind::List, digest);
    standing
}

fn said(number: u16, digest: u32, serves: bool, views: &[&str]) -> String {
    let rows: Vec<Value> = (0_u16..)
        .zip(views)
        .map(|(n, view)| {
            let kind = |view: &str| json!({"view": view, "held_ms": 2_500});
            let kinds = json!({"list": kind(view), "settings": kind("current"), "cordons": kind("current"),
                               "program": kind("current")});
            let found = (*view == "behind").then_some("list");
            json!({"number": n, "out": found.is_some(), "turned_down": 0, "found_behind": found, "kinds": kinds,
                   "standing": standing(1)})
        })
        .collect();
    let said = json!({"name": format!("n{number}"), "number": number, "of": views.len(), "serves": serves, "epoch": 2,
                      "standing": standing(digest), "rows": rows, "wall_ns": START});
    format!("SUCCESS\n{said}\nEOT\n")
}

#[test]
fn status_shows_a_row_for_each_and_says_by_its_exit_code_whether_all_is_well() {
    let well = ["current"; 2];
    let all: Vec<String> = (0..2).map(|n| console(said(n, 1, true, &well)).to_string()).collect();
    let (code, text, _) = fleet(&["status", &all[0], &all[1]]);
    assert_eq!(code, 0, "{text}");
    assert_eq!(text.lines().count(), 3);
    let ill = ["current", "behind"];
    let one = console(said(0, 2, true, &ill)).to_string();
    let other = console(said(1, 1, false, &ill)).to_string();
    let (code, text, _) = fleet(&["status", &one, &other]);
    assert!(code == 1 && text.contains("SHUT OUT") && text.contains("behind on its list"), "{text}");
    let (code, text, _) = fleet(&["status", "--json", &one, &other]);
    let found: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &found["rows"][1]["how"]), (1, &json!("shut-out")));
    // A dispatcher that keeps no roll, and a port where nobody listens.
    let no = console("FAILURE no roll is kept here\n".to_owned()).to_string();
    let gone = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port").local_addr().expect("an address");
    let (code, text, _) = fleet(&["status", &one, &no, &gone.to_string()]);
    assert!(code == 1 && text.contains("no roll is kept here") && text.contains("refused"), "{text}");
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("consoles");
    std::fs::write(&file, format!("# all\n{}\n{}  # the second\n", all[0], all[1])).expect("written");
    let path = file.to_str().expect("a path");
    assert_eq!(fleet(&["status", "--file", path]).0, 0);
    std::fs::write(&file, "# all\n127.0.0.1:99\nnowhere\n").expect("written");
    let (code, _, why) = fleet(&["status", "--file", path]);
    assert!(code == 2 && why.contains("line 3: `nowhere` is no address"), "{why}");
    std::fs::write(&file, "# none\n").expect("written");
    assert_eq!(fleet(&["status", "--file", path]).0, 2);
    assert_eq!(fleet(&["status"]).0, 2);
    let (code, text, _) = fleet(&["watch", "--every", "0.05", "--for", "0.3", &all[0], &all[1]]);
    assert!(code == 0 && text.matches("after ").count() == 1, "what does not change is told once: {text}");
    assert_eq!(fleet(&["watch", "--every", "0", &all[0]]).0, 2);
}

/// Two dispatchers' logs; the second one calls past a drain where that is asked for.
fn logs(dir: &std::path::Path, late: bool) -> Vec<String> {
    let mut folders = Vec::new();
    for number in 0..2_u16 {
        let folder: PathBuf = dir.join(format!("n{number}"));
        let author = Author { number, of: 2, name: format!("<n{number}>"), incarnation: 2, drain_ms: 500 };
        let mut log = Log::open(&folder, LEAST_BUDGET, author, START).expect("a log");
        let on = log.acts_on(START, standing(1));
        log.taken(START, message(&format!("m{number}")), on);
        log.state(START, 5, 1, State::Draining);
        let then = START + SECOND * if late { 2 } else { 0 };
        log.attempt(then, message(&format!("m{number}")), (5, 1), on, 0);
        log.ended(then, message(&format!("m{number}")), End::Delivered, on);
        let next = log.acts_on(then + u64::from(number) * SECOND, standing(2));
        log.refused(then + SECOND, message("x"), SECOND, next);
        log.end(then + 2 * SECOND);
        folders.push(folder.to_str().expect("a path").to_owned());
    }
    folders
}

#[test]
fn the_audit_names_what_must_not_be_and_writes_a_page_that_needs_nothing_else() {
    let dir = tempfile::tempdir().expect("a folder");
    let good = logs(&dir.path().join("good"), false);
    let bad = logs(&dir.path().join("bad"), true);
    let (code, text, _) = fleet(&["audit", &good[0], &good[1]]);
    assert!(code == 0 && text.contains("no breach"), "{text}");
    let page = dir.path().join("page.html");
    let (code, text, _) = fleet(&["audit", "--report", page.to_str().expect("a path"), &bad[0], &bad[1]]);
    assert!(code == 1 && text.contains("a call past a drain or a cordon: 2"), "{text}");
    let page = std::fs::read_to_string(&page).expect("a page");
    assert!(page.contains("<svg") && page.contains("&lt;n0&gt;") && page.contains("Breaches"));
    assert!(
        !page.contains("<n0>") && !page.contains("http") && !page.contains("<script"),
        "it needs nothing"
    );
    let (code, text, _) = fleet(&["audit", "--json", &bad[0], &bad[1]]);
    let found: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &found["counts"]["drain"]), (1, &json!(2)));
    assert_eq!(found["logs"][0]["decisions"], json!(4));
    // One log is missing, or there is none at all: that is no good news.
    let (code, text, _) = fleet(&["audit", &good[0]]);
    assert!(code == 1 && text.contains("there is no log of dispatchers [1]"), "{text}");
    let nowhere = dir.path().join("nowhere");
    let (code, text, _) = fleet(&["audit", nowhere.to_str().expect("a path")]);
    assert!(code == 1 && text.contains("can't be read"), "{text}");
    let (code, text, _) = fleet(&["explain", "m1", &bad[0], &bad[1]]);
    assert!(code == 0 && text.contains("m1: 3 decisions") && text.contains("on list #4"), "{text}");
    let (code, text, _) = fleet(&["explain", "--json", "m1", &bad[1]]);
    let found: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, found["steps"].as_array().map(Vec::len)), (0, Some(3)));
    assert_eq!(fleet(&["explain", "nobody", &bad[0]]).0, 1);
    assert_eq!(fleet(&["audit"]).0, 2);
    assert_eq!(fleet(&["judge"]).0, 2);
}
