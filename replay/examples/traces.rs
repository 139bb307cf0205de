//! Writes the traces that are kept in `replay/tests/traces`: `cargo run -p millpost-replay --example traces -- FOLDER`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use day::{Day, Plan};
use millpost_autoscaler::{
    Endpoint as Listed, Recorded, ScalerConfig as Pace, ServiceSpec, StartFault, StopFault, Worker,
};
use millpost_config::{Config, change};
use millpost_protocol::line::Sink;
use millpost_scheduler::recording::Entry;
use millpost_scheduler::{MS, SECOND, SchedulerLimits};

#[path = "../tests/day/mod.rs"]
#[allow(dead_code)]
mod day;

fn main() -> std::io::Result<()> {
    let folder = std::env::args_os().nth(1).map(PathBuf::from).expect("a folder");
    let write = |name: &str, lines: &[String]| write(&folder, name, lines);
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 2 * SECOND,
        retry_slack: 4.0,
        requests_per_s: 300.0,
        rank_by_latency: false,
    };
    let calm = Plan { rates: vec![15.0, 15.0], ..Plan::default() };
    write("calm.jsonl", &Day::of(calm).recorded(0))?;
    let burst = Plan { seed: 2, stalls: 3, rates: vec![2.0, 30.0], ..Plan::default() };
    write("burst.jsonl", &Day::of(burst).recorded(2))?;
    let failures = Plan { seed: 3, rates: vec![20.0; 2], terms, fails: 0.2, silent: 0.3, ..Plan::default() };
    write("failures.jsonl", &Day::of(failures).recorded(0))?;
    let crashes = (3..20).map(|n| n * 100).collect();
    let crashes = Plan { seed: 4, stalls: 2, rates: vec![10.0; 2], crashes, ..Plan::default() };
    write("crashes.jsonl", &Day::of(crashes).recorded(1))?;
    let ends =
        Plan { seed: 5, stalls: 3, rates: vec![5.0; 3], ends: Some((1, 700, 1_800)), ..Plan::default() };
    write("ends.log", &collected(&Day::of(ends)))?;
    write("term.jsonl", &term())?;
    write("porter.jsonl", &porter())
}

fn write(folder: &Path, name: &str, lines: &[String]) -> std::io::Result<()> {
    std::fs::write(folder.join(name), lines.iter().map(|line| format!("{line}\n")).collect::<String>())
}

/// As a collector prints them, with logs among them.
fn collected(day: &Day) -> Vec<String> {
    let mut lines = Vec::new();
    for stall in 0..day.outs.len() {
        let mut last = 0.0_f64;
        for line in day.recorded(stall) {
            // A life's first line says 0; the collector saw it when it came.
            let at = (Entry::read(&line).expect("a line").at as f64 / 1e9 + 3.5).max(last);
            last = at;
            lines.push((at, format!("{at:>9.4} edge-{}/stall {line}", stall + 1)));
        }
    }
    let log = r#"{"at":1.5,"level":"info","of":"stall::shop","say":"configuration 1 with 2 routes"}"#;
    lines.push((3.6, format!("{:>9.4} edge-1/stall {log}", 3.6)));
    lines.push((3.7, format!("{:>9.4} edge-1/porter killed", 3.7)));
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    lines.into_iter().map(|(_, line)| line).collect()
}

/// A steward's term: starts, a crash, a worker that drains, stops.
fn term() -> Vec<String> {
    let lines = Rc::new(RefCell::new(Vec::new()));
    let told = Rc::clone(&lines);
    let sink = Box::new(move |line: &str| told.borrow_mut().push(line.to_owned()));
    let mut scaler = Recorded::new(Pace::new(1, 4.0, 800), 2 * SECOND, Some(sink));
    let address = |n: u8| SocketAddr::from(([10, 0, 0, n], 80));
    let worker = |n: u8, draining| Worker {
        name: format!("w{n}").into(),
        zone: if n < 3 { "a".into() } else { "b".into() },
        memory_mb: 4_000,
        free_memory_mb: 2_000,
        draining,
    };
    let entry = |n: u8| Listed {
        id: format!("i{n}").into(),
        service: "mill".into(),
        address: address(n),
        zone: "a".into(),
        worker: Some("w1".into()),
        draining: false,
    };
    let spec = |name: &str| ServiceSpec { name: name.into(), memory_mb: 128, boot_ms: 300, concurrency: 2 };
    scaler.configure(2 * SECOND, [spec("mill"), spec("post")]);
    for step in 1..260u64 {
        let now = 2 * SECOND + step * 25 * MS;
        match step {
            1 => scaler.workers_listed(now, now - MS, (1..5).map(|n| worker(n, false)).collect()),
            2 => scaler.endpoints_listed(now, now - MS, Vec::new()),
            120 => scaler.workers_listed(now, now - MS, (1..5).map(|n| worker(n, n == 1)).collect()),
            130 => scaler.mark_unreachable(now, "i2"),
            150 => scaler.retire(now, "i1"),
            _ if step % 40 == 0 && step < 120 => {
                scaler.endpoints_listed(now, now - MS, vec![entry(1), entry(2)])
            }
            _ => {}
        }
        if step % 20 == 3 {
            scaler.set_target(now, "mill", None, if step < 200 { 2 } else { 0 }, &["a".into(), "b".into()]);
        }
        let mut born = step as u8;
        scaler.tick(now);
        for effect in scaler.take() {
            match effect {
                millpost_autoscaler::Effect::Start { nonce, .. } if step % 7 == 0 => {
                    scaler.start_answered(now + 3 * MS, &nonce, Err(StartFault::Busy));
                }
                millpost_autoscaler::Effect::Start { nonce, .. } => {
                    let id = format!("i{}", if step < 10 { step - 2 } else { step });
                    scaler.start_answered(now + 5 * MS, &nonce, Ok((id.into(), address(born))));
                    born = born.wrapping_add(100);
                }
                millpost_autoscaler::Effect::Stop { id } if step % 2 == 0 => {
                    scaler.stop_answered(now + 4 * MS, &id, Err(StopFault::Unclear));
                }
                millpost_autoscaler::Effect::Stop { id } => scaler.stop_answered(now + 4 * MS, &id, Ok(())),
                millpost_autoscaler::Effect::Updated { instance } if step > 15 => {
                    scaler.mark_up(now + 6 * MS, &instance.id)
                }
                _ => {}
            }
        }
    }
    lines.take()
}

/// A porter's day: a start, a change that is missed, another steward, a stall that starts anew, garbage, silence, the end.
fn porter() -> Vec<String> {
    let lines = Rc::new(RefCell::new(Vec::new()));
    let told = Rc::clone(&lines);
    let seeds = (1..=3).map(|n| SocketAddr::from(([10, 0, 0, n], 8428))).collect();
    let terms = millpost_agent::AgentConfig {
        name: "edge-1".into(),
        life: 1_796_172_615_944,
        seeds,
        grace: 2 * SECOND,
    };
    let sink: Sink = Box::new(move |line| told.borrow_mut().push(line.to_owned()));
    let mut day =
        Rounds { round: millpost_agent::Recorded::new(terms, 0, Some(sink)), open: Vec::new(), now: 0 };
    let body = |revision: u64| {
        let service = |n| format!(r#"{{"name":"f{n}","max_conns":9,"memory_mb":128,"boot_ms":300}}"#);
        let services: Vec<_> = (0..revision).map(service).collect();
        let limits = r#"{"max_body_bytes":1000,"max_header_bytes":8192,"idle_timeout_ms":4000,"header_timeout_ms":2000}"#;
        format!(
            r#"{{"revision":{revision},"routes":[],"services":[{}],"limits":{limits}}}"#,
            services.join(",")
        )
    };
    let config = |revision| Config::parse(&body(revision)).expect("a configuration");
    let whole = |revision| format!(r#"{{"t":"config","v":{revision},"body":{}}}"#, body(revision));
    let patch = |from, to| {
        let change = change::diff(&config(from), &config(to)).stringify().expect("JSON");
        format!(r#"{{"t":"patch","v":{to},"change":{change}}}"#)
    };
    let inst = |fence, count, all, set: &[&str], gone: &str| {
        let one = |i: &&str| format!(r#"{{"i":"{i}","s":"f0","a":"10.0.9.1:80","z":"a","w":"w","st":1}}"#);
        let set: Vec<_> = set.iter().map(one).collect();
        let all = if all { r#","w":1"# } else { "" };
        format!(r#"{{"t":"inst","v":[{fence},{count}]{all},"set":[{}],"gone":[{gone}]}}"#, set.join(","))
    };
    let stalls = |fence, count| {
        format!(
            r#"{{"t":"stalls","v":[{fence},{count}],"all":[{{"n":"edge-1","a":"10.0.1.1:7760","z":"a"}}]}}"#
        )
    };
    let steward = |fence, n| format!(r#"{{"t":"steward","a":"10.0.0.{n}:8428","f":{fence}}}"#);
    let alive = r#"{"t":"alive","p":{"n":"edge-1","a":"10.0.1.1:7760","z":"a"},"o":1}"#;
    let acts = |revision| format!(r#"{{"t":"acts","v":{revision},"n":0}}"#);

    day.pass(1);
    let (heavy, light) = (day.open[0].0, day.open[1].0);
    day.line(
        heavy,
        &[whole(2), steward(1, 1), stalls(1, 1), inst(1, 2, true, &["i-1", "i-2"], "")].join(","),
    );
    day.line(light, &steward(1, 1));
    day.letter(&[alive, &acts(0)].join(","));
    day.round.handle(day.now, millpost_agent::Input::ProxyUp);
    day.letter(&acts(2));
    for round in 0..8 {
        day.pass(3);
        let feed = day.open[0].0;
        day.line(feed, &inst(1, 3 + round, false, &["i-3"], "\"i-1\""));
        day.letter(&[alive, r#"{"t":"want","s":"f0","c":2,"z":["a"]}"#, &acts(2)].join(","));
    }
    for feed in day.feeds() {
        day.line(feed, &patch(2, 3));
    }
    day.letter(&acts(3));
    // Two changes on, of which one is missed.
    for feed in day.feeds() {
        day.line(feed, &patch(4, 5));
    }
    let feed = day.open.last().expect("one").0;
    day.line(feed, &whole(5));
    day.letter(&acts(5));
    day.pass(2);
    // Another steward, which knows nothing older.
    let feed = day.open[0].0;
    day.line(feed, &steward(2, 3));
    let feed = day.open.iter().find(|(_, a)| a.ends_with("3:8428")).expect("it is followed").0;
    day.line(feed, &[steward(2, 3), stalls(2, 1), inst(2, 2, true, &["i-3"], "")].join(","));
    day.line(feed, &inst(1, 90, true, &["i-old"], ""));
    // The stall starts anew.
    day.letter(&[alive, &acts(0)].join(","));
    day.pass(2);
    day.letter(&acts(5));
    // Garbage, also such as is no text; then nobody is there for a while.
    day.round.handle(day.now, millpost_agent::Input::FeedLine { feed, line: "{\"n\":".into() });
    day.take();
    let feed = day.open[0].0;
    day.round.handle(day.now, millpost_agent::Input::FeedLine { feed, line: vec![b'{', 0xff].into() });
    day.take();
    for _ in 0..20 {
        day.pass(2);
        for feed in day.feeds() {
            day.open.retain(|(of, _)| *of != feed);
            day.round.handle(day.now, millpost_agent::Input::FeedEnded { feed });
            day.take();
        }
        day.letter(&[alive, &acts(5)].join(","));
    }
    day.round.handle(day.now, millpost_agent::Input::ProxyQueueFull);
    day.round.handle(day.now, millpost_agent::Input::Seeds(vec![SocketAddr::from(([10, 0, 0, 4], 8428))]));
    day.pass(15);
    day.round.handle(day.now, millpost_agent::Input::Shutdown);
    day.pass(16);
    drop(day);
    Rc::try_unwrap(lines).expect("the porter is gone").into_inner()
}

struct Rounds {
    round: millpost_agent::Recorded,
    open: Vec<(u64, String)>,
    now: u64,
}

impl Rounds {
    fn take(&mut self) {
        for effect in self.round.take() {
            match effect {
                millpost_agent::Effect::Open { feed, address, .. } => {
                    self.open.push((feed, address.to_string()));
                }
                millpost_agent::Effect::Close { feed } => self.open.retain(|(of, _)| *of != feed),
                _ => {}
            }
        }
    }

    fn feeds(&self) -> Vec<u64> {
        self.open.iter().map(|(feed, _)| *feed).collect()
    }

    /// So many ticks.
    fn pass(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += 100 * MS + 12_345;
            self.round.handle(self.now, millpost_agent::Input::Tick);
            self.take();
        }
    }

    fn line(&mut self, feed: u64, notes: &str) {
        self.now += 777_777;
        let line = format!(r#"{{"n":7,"notes":[{notes}]}}"#).into();
        self.round.handle(self.now, millpost_agent::Input::FeedLine { feed, line });
        self.take();
    }

    fn letter(&mut self, notes: &str) {
        self.now += 333_333;
        let body = format!(r#"{{"from":"edge-1","life":5,"notes":[{notes}]}}"#).into();
        self.round.handle(self.now, millpost_agent::Input::ProxyMessages(body));
        self.take();
    }
}
