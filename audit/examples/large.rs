//! The audit of very many records: writes logs of a whole fleet, and audits them.
//!
//!     cargo run --release -p millpost-audit --example large -- [dispatchers] [records] [threads]

use std::time::Instant;

use millpost_audit::audit::Progress;
use millpost_audit::entry::{Author, Entry};
use millpost_audit::log::Log;
use millpost_audit::{End, audit};
use millpost_tier::versions::{ActiveVersions, Kind};

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_700_000_000 * SECOND;

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>().expect("a number"));
    let dispatchers = arguments.next().unwrap_or(300);
    let records = arguments.next().unwrap_or(10_000_000);
    let threads = arguments.next().unwrap_or(2) as usize;
    let dir = tempfile::tempdir().expect("a folder");
    let (each, began) = (records / dispatchers / 3, Instant::now());
    let mut folders = Vec::new();
    let (mut noted, mut bytes) = (0, 0);
    for number in 0..dispatchers as u16 {
        let folder = dir.path().join(format!("n{number}"));
        let name = format!("n{number}");
        let author = Author { number, of: dispatchers as u16, name, incarnation: 1, drain_ms: 500 };
        let mut log = Log::open(&folder, 1 << 30, author, START).expect("a log");
        let mut standing = ActiveVersions { incarnation: 1, epoch: 1, ..ActiveVersions::default() };
        let mut now = START + u64::from(number) * 1_000_000;
        for n in 0..each {
            if n % 2_000 == 0 {
                standing.set_version(Kind::List, n as u32 + 1);
                standing.index += 1;
            }
            let on = log.acts_on(now, standing);
            let message = millpost_audit::message(&format!("{number}-{n}"));
            log.taken(now, message, on);
            log.attempt(now + 400_000, message, (n % 20, n % 10), on, 0);
            log.ended(now + 6_000_000, message, End::Delivered, on);
            if n % 100 == 0 {
                log.note(now, &Entry::Beat { epoch: 1, beat: (n / 10) as u32 });
                let peer = (u64::from(number) + 1 + n % 7) % dispatchers;
                log.note(now, &Entry::Heard { peer: peer as u16, epoch: 1, beat: (n / 10) as u32 });
            }
            // Written by each round of a dispatcher at a few hundred messages a second.
            if n % 2 == 0 {
                log.write(now + 6_000_000);
            }
            now += 7_000_000;
        }
        log.end(now);
        let (records, written) = log.written();
        (noted, bytes) = (noted + records, bytes + written);
        folders.push(folder);
    }
    let wrote = began.elapsed();
    let ns = wrote.as_nanos() as f64 / noted as f64;
    println!(
        "{dispatchers} logs, {noted} records, {bytes} bytes; written in {wrote:.1?}, {ns:.0} ns a record"
    );
    let began = Instant::now();
    let found = audit(&folders, threads, &Progress::default());
    let decisions: u64 = found.logs.iter().map(|log| log.decisions).sum();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
    println!(
        "audited on {threads} threads in {:.2?}: {decisions} decisions, {:.1} bytes a decision, {} breaches, {peak}",
        began.elapsed(),
        bytes as f64 / decisions as f64,
        found.counts.values().sum::<u64>()
    );
}
