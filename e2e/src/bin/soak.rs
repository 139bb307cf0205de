//! `soak`: the real processes under planned work that comes in series, judged. Exit code 0: no rule broken; 1: one was; 2: it can't run.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use millpost_e2e::soak::{Setup, soak};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Soaks the system on loopback, a seed after the other.
#[derive(argh::FromArgs)]
struct Options {
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// how long each lasts, in seconds
    #[argh(option, default = "60")]
    seconds: u64,
    /// edge machines in each of three zones
    #[argh(option, default = "2")]
    edges: usize,
    /// clients with a connection each
    #[argh(option, default = "100")]
    clients: usize,
    /// kill and freeze processes too
    #[argh(switch)]
    unplanned: bool,
    /// a folder for the logs of seeds that break a rule
    #[argh(option)]
    report: Option<PathBuf>,
}

/// SIGTERM, or Ctrl-C.
async fn told_to_end() {
    let Ok(mut term) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    if options.edges == 0 || options.edges > 30 || options.seconds < 15 || options.clients == 0 {
        eprintln!("soak: from 1 to 30 edges in a zone, 15 seconds or more, one client or more");
        return ExitCode::from(2);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("soak: {e}");
            return ExitCode::from(2);
        }
    };
    let (began, mut broken) = (Instant::now(), Vec::new());
    for seed in options.seed..options.seed + options.seeds {
        let setup = Setup {
            seed,
            lasts: Duration::from_secs(options.seconds),
            edges: options.edges,
            clients: options.clients,
            unplanned: options.unplanned,
        };
        let local = LocalSet::new();
        // However it ends: what was started ends with the soak that is dropped.
        let report = local.block_on(&runtime, async {
            tokio::select! {
                report = soak(setup, options.report.as_deref()) => Some(report),
                () = told_to_end() => None,
            }
        });
        let Some(report) = report else {
            eprintln!("soak: told to end, in seed {seed}");
            return ExitCode::from(2);
        };
        print!("{}", report.to_text(seed));
        if !report.broken.is_empty() {
            broken.push(seed);
        }
    }
    println!("{} seeds in {} s, broken: {broken:?}", options.seeds, began.elapsed().as_secs());
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
