//! Benchmarks the store against redb, fjall, SQLite and the journal that it replaced, on the same work:
//! `cargo run --release -- [work|recovery|cuts|pauses|all] [RECORDS]` in this folder.
//!
//! Each engine runs in a separate process, so that memory and bytes written are measured for it alone. The
//! work is that of a dispatcher: a message with a body is stored, an attempt is recorded, and some messages
//! later its end deletes both and stores a final answer, of which the oldest are dropped.

mod engines;
mod journal;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use engines::{Engine, NAMES, open};

/// Number of messages pending at a time.
const PENDING: u64 = 3_000;
/// Number of final answers kept.
const ANSWERS: u64 = 6_000;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["one", what, name, records] => {
            let records = records.parse().expect("a number");
            match what {
                "work" => work(name, records),
                "recovery" => recovery(name, records),
                "cuts" => cuts(name),
                "pauses" => pauses(name, records),
                "checkpoints" => checkpoints(records),
                _ => panic!("unknown measurement {what}"),
            }
        }
        ["checkpoints"] => [(100_000, 600), (2_000, 40_000)].into_iter().for_each(|(n, _)| checkpoints(n)),
        [] | ["all"] => ["work", "recovery", "cuts", "pauses"].into_iter().for_each(|what| each(what, "")),
        [what] => each(what, ""),
        [what, records] => each(what, records),
        _ => panic!("expected work, recovery, cuts, pauses or all, and a number of records"),
    }
}

/// Runs a measurement with one process for each engine, in three rounds over all engines.
fn each(what: &str, records: &str) {
    let (records, rounds) = match (what, records) {
        (_, given) if !given.is_empty() => (given, 3),
        ("recovery", _) => ("100000", 3),
        ("cuts", _) => ("0", 1),
        _ => ("30000", 3),
    };
    println!("# {what}, {records} records");
    for _ in 0..rounds {
        // Recovery times and pauses do not depend on syncs.
        let names = NAMES.into_iter().filter(|name| what == "work" || !name.ends_with("sync"));
        for name in names {
            let me = std::env::current_exe().expect("this program");
            let done = Command::new(me).args(["one", what, name, records]).output().expect("it runs");
            print!("{}", String::from_utf8_lossy(&done.stdout));
            if !done.status.success() {
                println!(
                    "{name}: {}",
                    String::from_utf8_lossy(&done.stderr).lines().next().unwrap_or("failed")
                );
            }
        }
    }
}

/// A linear congruential generator with a fixed seed.
struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

fn body(rng: &mut Rng) -> Vec<u8> {
    vec![rng.below(256) as u8; 200 + rng.below(600) as usize]
}

fn bytes_written() -> u64 {
    let io = std::fs::read_to_string("/proc/self/io").expect("figures of this process");
    let line = io.lines().find(|l| l.starts_with("wchar")).expect("bytes written");
    line.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// Peak resident memory of this process in kB.
fn peak_resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("figures of this process");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("resident memory");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

fn size(folder: &Path) -> u64 {
    let mut sum = 0;
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let meta = entry.metadata().expect("its size");
        sum += if meta.is_dir() { size(&entry.path()) } else { meta.len() };
    }
    sum
}

fn percentile(sorted: &[Duration], share: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * share) as usize].as_nanos() as f64 / 1e3
}

fn work(name: &str, records: u64) {
    let dir = tempfile::tempdir().expect("a folder");
    let before = peak_resident_kb();
    let mut engine = open(name, dir.path());
    let (mut rng, mut takes, mut payload) = (Rng(7), Vec::new(), 0u64);
    let mut full_at = 0;
    let (began, wrote) = (Instant::now(), bytes_written());
    for n in 0..records {
        let body = body(&mut rng);
        payload += body.len() as u64 + 100;
        let one = Instant::now();
        engine.take(n, &body);
        takes.push(one.elapsed());
        if n >= PENDING / 2 {
            engine.begin(n - PENDING / 2);
            payload += 30;
        }
        if n >= PENDING {
            engine.end(n - PENDING, n.checked_sub(PENDING + ANSWERS));
            payload += 30;
        }
        if n == PENDING {
            full_at = size(dir.path());
        }
    }
    let took = began.elapsed();
    let calls = records + records.saturating_sub(PENDING / 2) + records.saturating_sub(PENDING);
    let amplification = (bytes_written() - wrote) as f64 / payload as f64;
    takes.sort_unstable();
    println!(
        "{name:16} take p50 {:8.1} us, p99 {:8.1} us, max {:8.0} us; {:8.0} changes/s; {:4.1} bytes written a byte; \
         {:6} kB on disk with {PENDING} held, {:6} kB at the end; {:6} kB resident",
        percentile(&takes, 0.5),
        percentile(&takes, 0.99),
        percentile(&takes, 1.0),
        calls as f64 / took.as_secs_f64(),
        amplification,
        full_at / 1000,
        size(dir.path()) / 1000,
        peak_resident_kb() - before,
    );
}

fn recovery(name: &str, records: u64) {
    let dir = tempfile::tempdir().expect("a folder");
    let mut engine = open(name, dir.path());
    let mut rng = Rng(7);
    for n in 0..records {
        engine.take(n, &body(&mut rng));
    }
    let copy = as_killed(engine, dir.path());
    let began = Instant::now();
    let engine = open(name, copy.path());
    let found = engine.count();
    println!(
        "{name:16} {found} records in {:7.0} ms, {:7} kB on disk, {:7} kB resident",
        began.elapsed().as_secs_f64() * 1e3,
        size(dir.path()) / 1000,
        peak_resident_kb()
    );
}

/// Copies the files as a killed process leaves them, without closing the engine.
fn as_killed(engine: Box<dyn Engine>, folder: &Path) -> tempfile::TempDir {
    let mut files = Vec::new();
    list(folder, folder, &mut files);
    std::mem::forget(engine);
    let copy = tempfile::tempdir().expect("a folder");
    for (path, bytes) in files {
        let to = copy.path().join(path);
        std::fs::create_dir_all(to.parent().expect("a folder")).expect("a folder");
        std::fs::write(to, bytes).expect("written");
    }
    copy
}

/// Truncates the largest file at 100 offsets in turn, and counts the stores that open and the records found.
fn cuts(name: &str) {
    let dir = tempfile::tempdir().expect("a folder");
    let mut engine = open(name, dir.path());
    let mut rng = Rng(7);
    for n in 0..400 {
        engine.take(n, &body(&mut rng));
    }
    let copy = as_killed(engine, dir.path());
    let mut files = Vec::new();
    list(copy.path(), copy.path(), &mut files);
    let largest = files.iter().max_by_key(|(_, bytes)| used(bytes)).expect("a file").clone();
    let end = used(&largest.1);
    std::panic::set_hook(Box::new(|_| ()));
    let (mut opened, mut kept, mut least) = (0, 0.0, f64::MAX);
    for n in 0..100 {
        let cut = end * n / 100;
        let again = tempfile::tempdir().expect("a folder");
        for (path, bytes) in &files {
            let to = again.path().join(path);
            std::fs::create_dir_all(to.parent().expect("a folder")).expect("a folder");
            let bytes = if *path == largest.0 { &bytes[..cut] } else { &bytes[..] };
            std::fs::write(to, bytes).expect("written");
        }
        let found = std::panic::catch_unwind(|| open(name, again.path()).count());
        if let Ok(found) = found {
            opened += 1;
            // Approximate share of the records that lie before the cut.
            let share = found as f64 / (400.0 * n as f64 / 100.0).max(1.0);
            kept += share.min(1.0);
            least = least.min(if n > 2 { share } else { f64::MAX });
        }
    }
    println!(
        "{name:16} {} of {} kB used; cut at 100 places: opened {opened}, on average {:3.0} % of the records before the \
         cut are there, at the least {:3.0} %",
        end / 1000,
        largest.1.len() / 1000,
        kept / f64::from(opened.max(1)) * 100.0,
        least.min(1.0) * 100.0
    );
}

/// Length of a file without trailing zeros.
fn used(bytes: &[u8]) -> usize {
    bytes.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1)
}

fn list(base: &Path, folder: &Path, files: &mut Vec<(std::path::PathBuf, Vec<u8>)>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            list(base, &path, files);
        } else {
            let bytes = std::fs::read(&path).expect("a file");
            files.push((path.strip_prefix(base).expect("below it").to_owned(), bytes));
        }
    }
}

/// Measures opening with and without checkpoints, on 60 to 80 MB of records.
fn checkpoints(records: u64) {
    use millpost_store::{Batch, Disk, Durability, Options, Store};
    let length = if records > 10_000 { 600 } else { 40_000 };
    for round in 0..6 {
        let dir = tempfile::tempdir().expect("a folder");
        let with = round % 2 == 0;
        let options = Options { limit: 400_000_000, durability: Durability::Process, checkpoints: with };
        let begin = || Store::open(Disk::open(dir.path()).expect("the folder"), &[true, false], 7, options);
        let (mut store, _) = begin().expect("opens");
        let wrote = bytes_written();
        for n in 0..records {
            let mut batch = Batch::new();
            batch.put(0, &n.to_be_bytes(), &[3; 100]).put(1, &n.to_be_bytes(), &vec![n as u8; length]);
            store.apply(&batch).expect("room");
        }
        let wrote = (bytes_written() - wrote) as f64 / (records * (length as u64 + 100)) as f64;
        drop(store);
        let began = Instant::now();
        let (store, _) = begin().expect("opens");
        println!(
            "{records} records of {length} bytes, checkpoints {with}: opened in {:6.1} ms, {wrote:4.2} bytes written a \
             byte, {} records",
            began.elapsed().as_secs_f64() * 1e3,
            store.len(1)
        );
    }
}

/// Measures how long single changes block the caller, compaction included.
fn pauses(name: &str, records: u64) {
    let dir = tempfile::tempdir().expect("a folder");
    let mut engine: Box<dyn Engine> = open(name, dir.path());
    let (mut rng, mut all) = (Rng(7), Vec::new());
    for n in 0..records {
        let body = body(&mut rng);
        let mut time = |change: &mut dyn FnMut()| {
            let one = Instant::now();
            change();
            all.push(one.elapsed());
        };
        time(&mut || engine.take(n, &body));
        if n >= PENDING {
            time(&mut || engine.begin(n - PENDING / 2));
            time(&mut || engine.end(n - PENDING, n.checked_sub(PENDING + ANSWERS)));
        }
    }
    all.sort_unstable();
    println!(
        "{name:16} {} changes: p99 {:6.0} us, p99.9 {:6.0} us, p99.99 {:6.0} us, longest {:6.2} ms",
        all.len(),
        percentile(&all, 0.99),
        percentile(&all, 0.999),
        percentile(&all, 0.9999),
        percentile(&all, 1.0) / 1e3
    );
}
