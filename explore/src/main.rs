//! The command: explores the cases, or shows that planted faults are found.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use millpost_core::Fault;
use millpost_explore::cases::{Case, Explored, Way, large, small};
use millpost_explore::trace;

/// Explores every order of events in small worlds round the real core and the real decision module.
#[derive(Parser)]
#[command(version)]
struct Asked {
    #[command(subcommand)]
    what: What,
    /// Threads that search.
    #[arg(long, default_value_t = 2, global = true)]
    threads: usize,
    /// Seconds for each case; what was not explored by then is said.
    #[arg(long, default_value_t = 120, global = true)]
    seconds: u64,
    /// Where the way to a breach is drawn, as SVG.
    #[arg(long, global = true)]
    svg: Option<PathBuf>,
}

#[derive(Subcommand)]
enum What {
    /// One message, one crash, one thing that goes wrong.
    Small,
    /// These, and two things that go wrong together, and two messages.
    Large,
    /// Each planted fault must be found in one of the small cases.
    Faults,
}

fn main() -> ExitCode {
    let asked = Asked::parse();
    let began = Instant::now();
    let good = match asked.what {
        What::Small => cases(&asked, &small()),
        What::Large => cases(&asked, &[small(), large()].concat()),
        What::Faults => faults(&asked),
    };
    println!("{:.1} s", began.elapsed().as_secs_f64());
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn explore(asked: &Asked, case: &Case, fault: Option<Fault>) -> Explored {
    case.explore(fault, asked.threads, Duration::from_secs(asked.seconds))
}

fn cases(asked: &Asked, all: &[Case]) -> bool {
    let (mut good, mut states) = (true, 0);
    println!("{:<52} {:>9} {:>9} {:>5} {:>7}  frontier", "case", "states", "steps", "depth", "s");
    for case in all {
        let found = explore(asked, case, None);
        let frontier = match (&found.breach, found.exhausted) {
            (Some((name, _)), _) => format!("BREACH: {name}"),
            (None, true) => "empty".to_owned(),
            (None, false) => "NOT EMPTY: no time left".to_owned(),
        };
        let Explored { unique, steps, depth, took, .. } = found;
        println!(
            "{:<52} {unique:>9} {steps:>9} {depth:>5} {:>7.1}  {frontier}",
            case.name,
            took.as_secs_f64()
        );
        if let Some((_, way)) = &found.breach {
            show(asked, way);
        }
        good &= found.exhausted;
        states += unique;
    }
    println!("{states} states in {} cases", all.len());
    good
}

fn show(asked: &Asked, way: &Way) {
    print!("{}", trace::text(way));
    if let Some(file) = &asked.svg
        && let Err(e) = std::fs::write(file, trace::svg(way))
    {
        eprintln!("{}: {e}", file.display());
    }
}

fn faults(asked: &Asked) -> bool {
    let mut good = true;
    println!("{:<20} {:<68} {:>5} {:>8} {:>6}  in the case", "fault", "found by", "depth", "states", "s");
    for fault in Fault::ALL {
        let began = Instant::now();
        let hit = small().into_iter().find_map(|case| {
            let found = explore(asked, &case, Some(fault));
            let (name, way) = found.breach?;
            Some((name, way.len() - 1, found.unique, case.name))
        });
        let (took, fault) = (began.elapsed().as_secs_f64(), format!("{fault:?}"));
        match hit {
            Some((name, depth, states, case)) => {
                println!("{fault:<20} {name:<68} {depth:>5} {states:>8} {took:>6.1}  {case}");
            }
            None => println!("{fault:<20} NOT FOUND"),
        }
        good &= hit.is_some();
    }
    good
}
