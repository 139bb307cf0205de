//! The command: explores the cases, shows that planted faults are found, or plays a kept way again.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use millpost_core::Fault;
use millpost_explore::cases::{Case, Kept, large, small};
use millpost_explore::hop;
use millpost_explore::search::{Explored, Limits, State, Way, search};
use millpost_explore::trace;
use millpost_explore::world::World;
use millpost_explore::{lease, lend, owners, register, roll};

/// Copying worlds is most of the work, and takes many small pieces of memory.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Explores every order of events in small worlds round the real core and the real decision module.
#[derive(Parser)]
#[command(version)]
struct Asked {
    #[command(subcommand)]
    what: What,
    /// Threads that search; what is found does not hang on them.
    #[arg(long, default_value_t = 2, global = true)]
    threads: usize,
    /// Seconds for each case; what was not explored by then is said.
    #[arg(long, default_value_t = 120, global = true)]
    seconds: u64,
    /// States for each case, at most: a state takes some 90 bytes, one of the frontier some thousands.
    #[arg(long, default_value_t = 40_000_000, global = true)]
    states: usize,
    /// Only cases whose name has this in it.
    #[arg(long, default_value = "", global = true)]
    only: String,
    /// Steps off a calm day on any one way, for every case.
    #[arg(long, global = true)]
    deviations: Option<u8>,
    /// Where the way to a breach is drawn, as SVG.
    #[arg(long, global = true)]
    svg: Option<PathBuf>,
    /// Where the way to a breach is kept, as JSON: `replay` plays it again.
    #[arg(long, global = true)]
    keep: Option<PathBuf>,
}

#[derive(Subcommand)]
enum What {
    /// One message, one crash, one thing that goes wrong.
    Small,
    /// All that goes wrong in one world for each class, and a message of each class as far as it goes.
    Large,
    /// Each planted fault must be found in one of the small cases.
    Faults {
        /// Only faults whose name has this in it.
        #[arg(long, default_value = "")]
        fault: String,
    },
    /// The hop between two sites: links that break and deliver late, and crashes of either side.
    Hop {
        /// One message of each kind in one world, too.
        #[arg(long)]
        large: bool,
    },
    /// Parts that are lent among three dispatchers: words that are late, lost or come twice, pauses and restarts.
    Lend {
        /// More at once, too.
        #[arg(long)]
        large: bool,
    },
    /// Who is behind among three dispatchers: words that don't come, or late, paths cut one way, and restarts. Of all orders
    /// those that differ from a calm day in two steps at most, or as many as are asked for.
    Roll {
        /// More at once, too.
        #[arg(long)]
        large: bool,
    },
    /// The register on three voters: two contents of one version, crashes, emptied disks, a voter that is exchanged.
    Register {
        /// More at once, too.
        #[arg(long)]
        large: bool,
    },
    /// The lease: two candidates that may freeze, three voters that may start again.
    Lease {
        /// More at once, too.
        #[arg(long)]
        large: bool,
    },
    /// Owners and permits: three proxies, a function that changes its owner while permits are out, mail in any order. Of all orders those
    /// that differ from a calm day in three steps at most, or as many as are asked for.
    Owners {
        /// More at once, and the worlds in which something is known not to hold.
        #[arg(long)]
        large: bool,
    },
    /// Plays a kept way again: exit code 1 if the breach is still there.
    Replay {
        /// The file that `--keep` wrote.
        file: PathBuf,
        /// With the fault planted that it was found with.
        #[arg(long)]
        planted: bool,
    },
}

fn main() -> ExitCode {
    let asked = Asked::parse();
    let began = Instant::now();
    let good = match &asked.what {
        What::Small => cases(&asked, &small()),
        What::Large => cases(&asked, &large()),
        What::Faults { fault } => faults(&asked, fault),
        What::Hop { large } => hop(&asked, *large),
        What::Lend { large } => lend(&asked, *large),
        What::Roll { large } => rolled(&asked, *large),
        What::Register { large } => registers(&asked, *large),
        What::Lease { large } => leases(&asked, *large),
        What::Owners { large } => owned(&asked, *large),
        What::Replay { file, planted } => match replay(&asked, file, *planted) {
            Ok(good) => good,
            Err(why) => {
                eprintln!("millpost-explore: {}: {why}", file.display());
                return ExitCode::from(2);
            }
        },
    };
    println!("{:.1} s", began.elapsed().as_secs_f64());
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn limits(asked: &Asked) -> Limits {
    let within = Duration::from_secs(asked.seconds);
    Limits { threads: asked.threads, within, states: asked.states, deviations: asked.deviations }
}

fn explore(asked: &Asked, case: &Case, fault: Option<Fault>) -> Explored<World> {
    let deviations = asked.deviations.or(case.deviations);
    Case { deviations, ..case.clone() }.explore(fault, &limits(asked))
}

fn head() {
    println!("{:<56} {:>9} {:>9} {:>5} {:>7}  frontier", "case", "states", "steps", "depth", "s");
}

/// A line on a case.
fn row<S: State>(name: &str, found: &Explored<S>) {
    let frontier = match (&found.breach, found.exhausted) {
        (Some((name, _)), _) => format!("BREACH: {name}"),
        (None, true) => "empty".to_owned(),
        (None, false) => "NOT EMPTY: a limit was met".to_owned(),
    };
    let Explored { unique, steps, depth, took, .. } = found;
    println!("{name:<56} {unique:>9} {steps:>9} {depth:>5} {:>7.1}  {frontier}", took.as_secs_f64());
}

fn cases(asked: &Asked, all: &[Case]) -> bool {
    let (mut good, mut states, mut count) = (true, 0, 0);
    head();
    for case in all.iter().filter(|case| case.name.contains(&asked.only)) {
        let found = explore(asked, case, None);
        row(&case.name, &found);
        if let Some((name, way)) = &found.breach {
            show(asked, way, &Kept::new(case, None, name, way));
        }
        good &= found.exhausted;
        states += found.unique;
        count += 1;
    }
    println!("{states} states in {count} cases");
    good
}

fn hop(asked: &Asked, large: bool) -> bool {
    let (mut good, mut states) = (true, 0);
    head();
    let more = if large { hop::large() } else { Vec::new() };
    for case in hop::cases().iter().chain(&more).filter(|case| case.name.contains(&asked.only)) {
        let found = search(case.start(hop::Faults::default()), &limits(asked));
        row(case.name, &found);
        if let Some((_, way)) = &found.breach {
            print!("{}", hop::text(way));
        }
        good &= found.exhausted;
        states += found.unique;
    }
    println!("{states} states");
    for (fault, planted) in hop::faults() {
        let hit = hop::cases().into_iter().find_map(|case| {
            let (name, way) = search(case.start(planted), &limits(asked)).breach?;
            Some(format!("found by `{name}` after {} steps in {}", way.len() - 1, case.name))
        });
        good &= hit.is_some();
        println!("{fault:<26} {}", hit.as_deref().unwrap_or("NOT FOUND"));
    }
    good
}

fn lend(asked: &Asked, large: bool) -> bool {
    let (mut good, mut states) = (true, 0);
    head();
    let more = if large { lend::large() } else { Vec::new() };
    for case in lend::cases().iter().chain(&more).filter(|case| case.name.contains(&asked.only)) {
        let found = search(case.start(None, false), &limits(asked));
        row(case.name, &found);
        if let Some((_, way)) = &found.breach {
            print!("{}", lend::text(way));
        }
        good &= found.exhausted;
        states += found.unique;
    }
    println!("{states} states");
    let faults = lend::FAULTS.map(|fault| (format!("{fault:?}"), Some(fault), false));
    for (name, fault, same) in faults.into_iter().chain([("SameNumbers".to_owned(), None, true)]) {
        let hit = lend::cases().into_iter().find_map(|case| {
            let (name, way) = search(case.start(fault, same), &limits(asked)).breach?;
            Some(format!("found by `{name}` after {} steps in {}", way.len() - 1, case.name))
        });
        good &= hit.is_some();
        println!("{name:<26} {}", hit.as_deref().unwrap_or("NOT FOUND"));
    }
    good
}

fn rolled(asked: &Asked, large: bool) -> bool {
    let limits = Limits { deviations: limits(asked).deviations.or(Some(2)), ..limits(asked) };
    let (mut good, mut states) = (true, 0);
    head();
    let more = if large { roll::large() } else { Vec::new() };
    for case in roll::cases().iter().chain(&more).filter(|case| case.name.contains(&asked.only)) {
        let found = search(case.start(None), &limits);
        row(case.name, &found);
        if let Some((_, way)) = &found.breach {
            print!("{}", roll::text(way));
        }
        good &= found.exhausted;
        states += found.unique;
    }
    println!("{states} states");
    for fault in roll::FAULTS {
        let hit = roll::cases().into_iter().find_map(|case| {
            let (name, way) = search(case.start(Some(fault)), &limits).breach?;
            Some(format!("found by `{name}` after {} steps in {}", way.len() - 1, case.name))
        });
        good &= hit.is_some();
        println!("{:<26} {}", format!("{fault:?}"), hit.as_deref().unwrap_or("NOT FOUND"));
    }
    good
}

fn registers(asked: &Asked, large: bool) -> bool {
    let more = if large { register::large() } else { Vec::new() };
    let named = |case: register::Case| (case.name, case.deviations, move |fault| case.start(fault));
    let small: Vec<_> = register::cases().into_iter().map(named).collect();
    let large: Vec<_> = more.into_iter().map(named).collect();
    worlds(asked, &small, &large, &register::FAULTS, register::text)
}

fn leases(asked: &Asked, large: bool) -> bool {
    let more = if large { lease::large() } else { Vec::new() };
    let named = |case: lease::Case| (case.name, None, move |fault| case.start(fault));
    let small: Vec<_> = lease::cases().into_iter().map(named).collect();
    let large: Vec<_> = more.into_iter().map(named).collect();
    worlds(asked, &small, &large, &lease::FAULTS, lease::text)
}

fn owned(asked: &Asked, large: bool) -> bool {
    let more = if large { owners::large() } else { Vec::new() };
    let named = |case: owners::Case| (case.name, Some(owners::DEVIATIONS), move |fault| case.start(fault));
    let small: Vec<_> = owners::cases().into_iter().map(named).collect();
    let large: Vec<_> = more.into_iter().map(named).collect();
    worlds(asked, &small, &large, &owners::FAULTS, owners::text)
}

/// Explores these, and looks for each fault in the small ones.
fn worlds<S: State, F: Copy + std::fmt::Debug, A: Fn(Option<F>) -> S, B: Fn(Option<F>) -> S>(
    asked: &Asked,
    small: &[(&str, Option<u8>, A)],
    large: &[(&str, Option<u8>, B)],
    faults: &[(F, &str)],
    text: impl Fn(&Way<S>) -> String,
) -> bool {
    let (mut good, mut states) = (true, 0);
    head();
    let limits = |case| Limits { deviations: asked.deviations.or(case), ..limits(asked) };
    let mut one = |name: &str, off, start: S| {
        let found = search(start, &limits(off));
        row(name, &found);
        if let Some((_, way)) = &found.breach {
            print!("{}", text(way));
        }
        good &= found.exhausted;
        states += found.unique;
    };
    let wanted = |name: &str| name.contains(&asked.only);
    small
        .iter()
        .filter(|(name, ..)| wanted(name))
        .for_each(|(name, off, start)| one(name, *off, start(None)));
    large
        .iter()
        .filter(|(name, ..)| wanted(name))
        .for_each(|(name, off, start)| one(name, *off, start(None)));
    println!("{states} states");
    for (fault, word) in faults {
        let hit = small.iter().filter(|(case, ..)| case.contains(word)).find_map(|(case, off, start)| {
            let (name, way) = search(start(Some(*fault)), &limits(*off)).breach?;
            Some(format!("found by `{name}` after {} steps in {case}", way.len() - 1))
        });
        good &= hit.is_some();
        println!("{:<26} {}", format!("{fault:?}"), hit.as_deref().unwrap_or("NOT FOUND"));
    }
    good
}

fn show(asked: &Asked, way: &Way<World>, kept: &Kept) {
    print!("{}", trace::text(way));
    let write = |file: &Option<PathBuf>, text: String| {
        if let Some(file) = file
            && let Err(e) = std::fs::write(file, text)
        {
            eprintln!("{}: {e}", file.display());
        }
    };
    write(&asked.svg, trace::svg(way));
    write(&asked.keep, serde_json::to_string_pretty(kept).unwrap_or_default() + "\n");
}

fn replay(asked: &Asked, file: &PathBuf, planted: bool) -> Result<bool, String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let kept: Kept = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let way = kept.play(planted);
    show(asked, &way, &kept);
    Ok(way.last().is_none_or(|(world, _)| world.breach.is_none()))
}

fn faults(asked: &Asked, which: &str) -> bool {
    let mut good = true;
    println!("{:<20} {:<68} {:>5} {:>8} {:>6}  in the case", "fault", "found by", "depth", "states", "s");
    for fault in Fault::ALL.into_iter().filter(|fault| format!("{fault:?}").contains(which)) {
        let began = Instant::now();
        let cases = small().into_iter().filter(|case| case.name.contains(&asked.only));
        let hit = cases.into_iter().find_map(|case| {
            let found = explore(asked, &case, Some(fault));
            let (name, way) = found.breach?;
            if let Some(file) = &asked.keep {
                let file = file.with_file_name(format!("{fault:?}.json"));
                let kept = Kept::new(&case, Some(fault), name, &way);
                let text = serde_json::to_string_pretty(&kept).unwrap_or_default() + "\n";
                if let Err(e) = std::fs::write(&file, text) {
                    eprintln!("{}: {e}", file.display());
                }
            }
            Some((name, way.len() - 1, found.unique, case.name))
        });
        let (took, fault) = (began.elapsed().as_secs_f64(), format!("{fault:?}"));
        match &hit {
            Some((name, depth, states, case)) => {
                println!("{fault:<20} {name:<68} {depth:>5} {states:>8} {took:>6.1}  {case}");
            }
            None => println!("{fault:<20} NOT FOUND"),
        }
        good &= hit.is_some();
    }
    good
}
