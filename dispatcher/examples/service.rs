//! Measures the response time of the console, idle and under full load, and the cost of replacing the
//! process: the time without an owner, the memory of both processes, and the number of broken client
//! connections.
//!
//! `cargo run --release -p millpost-dispatcher --example service`; takes about 20 s, on loopback only.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use millpost_standins::discovery::{Discovery, entry};
use millpost_standins::node::{Node, Spec};
use millpost_standins::scripted::{Server, answer};
use millpost_standins::service::Service;
use millpost_standins::wire::{read, request};

const CLIENTS: u64 = 16;
const CALLS: usize = 300;
const REPLACEMENTS: usize = 20;

#[derive(Default)]
struct ClientCounts {
    stop: AtomicBool,
    accepted: AtomicU64,
    refused: AtomicU64,
    /// Connections that were refused, reset, or closed during a request.
    broken: AtomicU64,
}

/// Submits messages as fast as they are answered.
fn client(address: SocketAddr, number: u64, counts: &ClientCounts) {
    let mut n = 0;
    while !counts.stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address) else {
            counts.broken.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let mut stream = BufReader::new(stream);
        while !counts.stop.load(Ordering::Relaxed) {
            n += 1;
            let whole = request("loan-status", &format!("c{number}-{n}"), 7 + n % 4, 20.0, &[7; 300]);
            let answer = if stream.get_mut().write_all(&whole).is_ok() { read(&mut stream) } else { None };
            let Some(answer) = answer else {
                counts.broken.fetch_add(1, Ordering::Relaxed);
                break;
            };
            let count = if answer.status() == 202 { &counts.accepted } else { &counts.refused };
            count.fetch_add(1, Ordering::Relaxed);
            if answer.header("connection") == Some("close") {
                break;
            }
        }
    }
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted.get(((sorted.len() as f64 - 1.0) * share).round() as usize).copied().unwrap_or(0.0)
}

/// Queries the console repeatedly. Returns the response times in milliseconds, sorted.
fn console_latencies(node: &Node) -> Vec<f64> {
    let mut all: Vec<f64> = (0..CALLS)
        .map(|_| {
            let began = Instant::now();
            node.staff("counters");
            began.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    all.sort_by(f64::total_cmp);
    all
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let partners: Vec<Server> = (0..4).map(|_| Server::forgetful(|_, _| answer("200 OK"))).collect();
    let known: Vec<String> = partners
        .iter()
        .zip(7..)
        .map(|(partner, dest)| entry(&format!("partner-{dest}"), partner, dest, "in_service"))
        .collect();
    let discovery = Discovery::start();
    let log = std::env::temp_dir().join(format!("millpost-service-{}.log", std::process::id()));
    let service = Service { slots: 64, hold: 2_000, weights: "unknown".to_owned(), ..Service::default() };
    let program = program()?;
    let mut node = Node::start(&Spec {
        program: &program,
        service: &service,
        number: 0,
        of: 1,
        discovery: discovery.server.address,
        known: known.join(","),
        store: None,
        settings: None,
        file_bytes: None,
        peers: None,
        log: Some(log.clone()),
        console: true,
    });
    let idle = console_latencies(&node);
    let counts = Arc::new(ClientCounts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, counts) = (node.address, counts.clone());
            std::thread::spawn(move || client(address, number, &counts))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let (before, began) = (counts.accepted.load(Ordering::Relaxed), Instant::now());
    let loaded = console_latencies(&node);
    let rate = (counts.accepted.load(Ordering::Relaxed) - before) as f64 / began.elapsed().as_secs_f64();
    for (name, all) in [("idle", idle), ("loaded", loaded)] {
        println!("console, {name}: p50 {:.2} ms, p99 {:.2} ms", quantile(&all, 0.5), quantile(&all, 0.99));
    }
    println!("load: {rate:.0} messages accepted per second");
    let (mut alone, mut both) = (0, 0);
    for _ in 0..REPLACEMENTS {
        alone = alone.max(resident_kb(node.pid()));
        let mut old = node.upgrade();
        both = both.max(resident_kb(node.pid()) + resident_kb(old.pid()));
        old.terminate();
        while old.ended().is_none() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    counts.stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let text = std::fs::read_to_string(&log)?;
    let _ = std::fs::remove_file(&log);
    let gap = |line: &str| line.split("taken over, ").nth(1)?.split(' ').next()?.parse::<f64>().ok();
    let mut gaps: Vec<f64> = text.lines().filter_map(gap).collect();
    gaps.sort_by(f64::total_cmp);
    println!(
        "replacements: {}; without an owner p50 {:.1} ms, maximum {:.1} ms",
        gaps.len(),
        quantile(&gaps, 0.5),
        quantile(&gaps, 1.0)
    );
    println!("memory: at most {alone} kB for one process, {both} kB for both");
    println!(
        "clients: {} accepted, {} refused, {} connections broken",
        counts.accepted.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        counts.broken.load(Ordering::Relaxed)
    );
    Ok(())
}

/// The path of the dispatcher binary, relative to this example; builds it if it does not exist.
fn program() -> Result<PathBuf, Box<dyn std::error::Error>> {
    let me = std::env::current_exe()?;
    let folder =
        me.parent().and_then(|examples| examples.parent()).ok_or("this program has no parent folder")?;
    let program = folder.join("millpost-dispatcher");
    if !program.exists() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--release", "-p", "millpost-dispatcher"]);
        if !build.status()?.success() {
            return Err("building the dispatcher failed".into());
        }
    }
    Ok(program)
}
