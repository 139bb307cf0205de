//! The whole service on loopback: real dispatchers among stand-ins, at load and through failure.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use millpost_standins::audit::Verdict;
use millpost_standins::plan::Plan;

mod capacity;
mod forward;
mod play;
mod proc;
mod report;
mod restart;
mod roll;
mod scale;
mod shared;

/// What is played where no plan is named.
const SAMPLE: &str = include_str!("../plans/sample.toml");

/// Plays the whole millpost service on loopback: real dispatchers, and stand-ins for partners, discovery, clients and
/// the links between them. An auditor hears both sides and holds what it hears against the six rules.
///
/// Without a command it writes a documented sample plan, plays it for about 20 seconds and reports on the terminal
/// and in a self-contained HTML file with plots over time.
///
/// Exit codes: 0, all rules kept; 1, a rule was broken or a dispatcher did not end in order; 2, something could not be read or started.
#[derive(Parser)]
#[command(name = "millpost-rig", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Verb>,
    /// Where reports, the sample plan and the dispatchers' logs go.
    #[arg(long, global = true, default_value = "target/rig")]
    out: PathBuf,
    /// Print the results as JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    /// No live progress.
    #[arg(long, global = true)]
    quiet: bool,
    /// The dispatcher's program, in place of the one beside this: to compare two builds.
    #[arg(long, global = true)]
    dispatcher: Option<PathBuf>,
    /// Draw everything from this seed, not from the plan's.
    #[arg(long, global = true)]
    seed: Option<u64>,
}

#[derive(Subcommand)]
enum Verb {
    /// Play a plan (the sample where none is named).
    Run {
        /// A plan, in TOML; `millpost-rig sample` prints one with every setting explained.
        plan: Option<PathBuf>,
    },
    /// Print the sample plan.
    Sample,
    /// Read a plan and say what is wrong with it.
    Check {
        /// The plan.
        plan: PathBuf,
    },
    /// Find the highest rate that one core carries, and the same for a bare forwarder.
    Capacity {
        /// Seconds that each rate is tried for.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Destinations.
        #[arg(long, default_value_t = 4)]
        destinations: usize,
        /// Bytes of a body.
        #[arg(long, default_value_t = 300)]
        body: usize,
        /// The first rate tried, messages a second.
        #[arg(long, default_value_t = 2_000.0)]
        from: f64,
        /// What the dispatcher's writes outlast: `process` or `machine`.
        #[arg(long, default_value = "process", value_parser = ["process", "machine"])]
        durability: String,
        /// Also split the cost of a message by part; builds a dispatcher that counts (feature `meter`).
        #[arg(long)]
        parts: bool,
    },
    /// Measure how cost grows with destinations and with messages held.
    Scale {
        /// Most destinations in the module.
        #[arg(long, default_value_t = 10_000)]
        destinations: usize,
        /// Most messages held in the module.
        #[arg(long, default_value_t = 20_000)]
        held: usize,
        /// Messages a second through the dispatcher.
        #[arg(long, default_value_t = 2_000.0)]
        rate: f64,
        /// Seconds for each number of destinations through the dispatcher; 0 leaves that part out.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
    /// Play a rolling restart of two dispatchers at high load, beside the same day without it.
    Restart {
        /// Messages a second, both dispatchers together.
        #[arg(long, default_value_t = 240.0)]
        rate: f64,
        /// Median time of a partner to answer, milliseconds.
        #[arg(long, default_value_t = 120.0)]
        latency: f64,
        /// Connections a second to each dispatcher that never send a byte.
        #[arg(long, default_value_t = 41.0)]
        silent: f64,
        /// A thousand health calls come to the one that stays, twice.
        #[arg(long)]
        crowd: bool,
    },
    /// Measure what sharing brings: dispatchers that share and that do not, in turns, from one up.
    Shared {
        /// Most dispatchers.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=16))]
        most: u64,
        /// Fewest.
        #[arg(long, default_value_t = 1)]
        least: usize,
        /// Times that each day is played.
        #[arg(long, default_value_t = 3)]
        turns: u32,
    },
    /// Measure what it costs to say what each acts on and to record what is decided, in turns; then play runs with faults
    /// and hold the merged audit against what partners counted.
    Roll {
        /// Times that the load is played with each; 0 for none.
        #[arg(long, default_value_t = 5)]
        turns: u32,
        /// Runs with faults.
        #[arg(long, default_value_t = 20)]
        runs: u32,
        /// Messages a second, both dispatchers together.
        #[arg(long, default_value_t = 1_000.0)]
        rate: f64,
    },
    /// The bare forwarder, to these addresses.
    #[command(hide = true)]
    Forward {
        /// One address for each destination.
        addresses: Vec<std::net::SocketAddr>,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(why) => {
            eprintln!("millpost-rig: {why}");
            ExitCode::from(2)
        }
    }
}

/// Whether a rule was broken.
fn run(a: Arguments) -> Result<bool, String> {
    let seed = a.seed;
    proc::raise_descriptors();
    match a.command.unwrap_or(Verb::Run { plan: None }) {
        Verb::Sample => {
            print!("{SAMPLE}");
            Ok(false)
        }
        Verb::Check { plan } => {
            let plan = Plan::read(&plan).map_err(|e| e.to_string())?;
            println!("{}: {} faults over {} s; it can be played", plan.name, plan.faults.len(), plan.seconds);
            Ok(false)
        }
        Verb::Forward { addresses } => forward::serve(addresses).map(|()| false).map_err(|e| e.to_string()),
        Verb::Run { plan } => {
            std::fs::create_dir_all(&a.out).map_err(|e| format!("{}: {e}", a.out.display()))?;
            let file = match plan {
                Some(file) => file,
                None => {
                    let file = a.out.join("sample.toml");
                    write(&file, SAMPLE)?;
                    file
                }
            };
            let mut plan = Plan::read(&file).map_err(|e| e.to_string())?;
            plan.seed = seed.unwrap_or(plan.seed);
            let program = program(a.dispatcher)?;
            let deal = proc::deal(&proc::cores(), plan.dispatchers.count);
            let bar = bar(plan.seconds, a.quiet || a.json);
            let progress = |s: &play::Sample, v: &Verdict| show(&bar, s, v);
            let watch = play::Watch { progress: &progress, logs: Some(&a.out), ends: true };
            let outcome = threads(&deal)?
                .block_on(play::play(&plan, &program, &deal, &watch))
                .map_err(|e| e.to_string())?;
            bar.finish_and_clear();
            let page = a.out.join("report.html");
            write(&page, &report::html(&outcome))?;
            if a.json {
                println!("{}", json(&outcome)?);
            } else {
                print!("{}", report::text(&outcome));
                println!(
                    "\nplan {}, plots {}, logs {}",
                    file.display(),
                    page.display(),
                    a.out.join("dispatcher-*.log").display()
                );
            }
            Ok(outcome.verdict.rules_broken() > 0 || outcome.ends.iter().any(|end| *end != Some(0)))
        }
        Verb::Capacity { seconds, destinations, body, from, durability, parts } => {
            let program = program(a.dispatcher)?;
            let deal = proc::deal(&proc::cores(), 1);
            let seed = seed.unwrap_or(1);
            let options = capacity::Options { seconds, destinations, from, body, seed, durability };
            let runtime = threads(&deal)?;
            let done =
                runtime.block_on(capacity::measure(&options, &program, &deal)).map_err(|e| e.to_string())?;
            if a.json {
                println!("{}", json(&done)?);
            }
            for (name, bound) in ["dispatcher", "forwarder"].iter().zip(done.rig_bound) {
                if bound {
                    println!("{name}: the rig's own cores were the limit; more may be carried");
                }
            }
            if parts {
                std::fs::create_dir_all(&a.out).map_err(|e| format!("{}: {e}", a.out.display()))?;
                let rate = (done.dispatcher / 2.0).max(200.0);
                print!("{}", runtime.block_on(capacity::parts(&options, rate, &a.out, &deal))?);
            }
            println!(
                "capacity {:.0}/s forwarder {:.0}/s ratio {:.2}",
                done.dispatcher, done.forwarder, done.ratio
            );
            Ok(false)
        }
        Verb::Scale { destinations, held, rate, seconds } => {
            let program = program(a.dispatcher)?;
            let deal = proc::deal(&proc::cores(), 1);
            let seed = seed.unwrap_or(1);
            let measured = scale::measure(destinations, held, rate, seconds, seed, &program, &deal);
            let done = threads(&deal)?.block_on(measured)?;
            if a.json {
                println!("{}", json(&done)?);
            }
            println!(
                "exponents: a message in the module by destinations {:.2}, by messages held {:.2}; a round with nothing due by destinations {:.2}; a message through the dispatcher by destinations {:.2}",
                done.by_destinations, done.by_held, done.idle_by_destinations, done.through_by_destinations
            );
            Ok(done.through.iter().any(|t| t.broken > 0))
        }
        Verb::Shared { most, least, turns } => {
            let program = program(a.dispatcher)?;
            let deal = proc::deal(&proc::cores(), most as usize);
            let bar = bar(12.0, a.quiet || a.json);
            let progress = |s: &play::Sample, v: &Verdict| show(&bar, s, v);
            let watch = play::Watch { progress: &progress, logs: None, ends: false };
            let options = shared::Options { most: most as usize, least, turns, seed: seed.unwrap_or(1) };
            println!("{}", shared::HEAD);
            let done = |row: &shared::Row| bar.suspend(|| println!("{}", shared::line(row)));
            let measured = shared::measure(&options, &program, &deal, &watch, done);
            let rows = threads(&deal)?.block_on(measured)?;
            bar.finish_and_clear();
            if a.json {
                println!("{}", json(&rows)?);
            }
            Ok(rows.iter().any(|row| row.broken > 0))
        }
        Verb::Roll { turns, runs, rate } => {
            let program = program(a.dispatcher)?;
            let deal = proc::deal(&proc::cores(), 3);
            let bar = bar(8.0, a.quiet || a.json);
            let progress = |s: &play::Sample, v: &Verdict| show(&bar, s, v);
            let watch = play::Watch { progress: &progress, logs: None, ends: false };
            let options = roll::Options { turns, runs, rate, seed: seed.unwrap_or(1) };
            let mut rows = Vec::new();
            if turns > 0 {
                println!("{}", roll::HEAD);
                let done = |row: &roll::Row| bar.suspend(|| println!("{}", roll::line(row)));
                rows = threads(&deal)?.block_on(roll::cost(&options, &program, &deal, &watch, done))?;
            }
            let played = threads(&deal)?.block_on(roll::runs(&options, &program, &deal, &watch))?;
            bar.finish_and_clear();
            println!(
                "{} runs with faults: partners saw {} calls, the audit has {}; {} runs short, {} breaches, {} rules broken, \
                 {} runs with a gap, {} times shut out",
                played.runs,
                played.seen,
                played.noted,
                played.short,
                played.breaches,
                played.broken,
                played.gaps,
                played.outages
            );
            if a.json {
                println!("{}", json(&(&rows, &played))?);
            }
            Ok(played.short > 0 || played.breaches + played.broken > 0)
        }
        Verb::Restart { rate, latency, silent, crowd } => {
            std::fs::create_dir_all(&a.out).map_err(|e| format!("{}: {e}", a.out.display()))?;
            let program = program(a.dispatcher)?;
            let deal = proc::deal(&proc::cores(), 2);
            let bar = bar(24.0, a.quiet || a.json);
            let progress = |s: &play::Sample, v: &Verdict| show(&bar, s, v);
            let watch = play::Watch { progress: &progress, logs: Some(&a.out), ends: true };
            let seed = seed.unwrap_or(1);
            let options = restart::Options { rate, latency_ms: latency, silent, crowd, seed };
            let measured = restart::measure(&options, &program, &deal, &watch);
            let done = threads(&deal)?.block_on(measured)?;
            bar.finish_and_clear();
            write(&a.out.join("restart.html"), &report::html(&done.rolling))?;
            if a.json {
                println!("{}", json(&done)?);
            } else {
                println!(
                    "without a restart\n{}\nwith it\n{}",
                    report::text(&done.calm),
                    report::text(&done.rolling)
                );
            }
            println!(
                "restart: {} messages beyond those without it were not delivered within the aim; one dispatcher's slots carry {:.0} a second, and its slots and hold force {:.0}",
                done.lost_to_it, done.carried, done.forced
            );
            Ok(done.calm.verdict.rules_broken() + done.rolling.verdict.rules_broken() > 0)
        }
    }
}

fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    match named {
        Some(program) if program.is_file() => Ok(program),
        Some(program) => Err(format!("{}: no such program", program.display())),
        None => proc::dispatcher(),
    }
}

fn json(value: &impl serde::Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(value).map_err(|e| e.to_string())
}

fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))
}

/// A runtime on the rig's own cores.
fn threads(deal: &proc::Deal) -> Result<tokio::runtime::Runtime, String> {
    proc::hold(0, &deal.rig);
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    // Two at least: starting a dispatcher blocks one for a moment.
    runtime.worker_threads(deal.rig.len().max(2)).enable_all();
    runtime.build().map_err(|e| e.to_string())
}

fn bar(seconds: f64, hidden: bool) -> ProgressBar {
    if hidden {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new((seconds * 10.0) as u64);
    let style = ProgressStyle::with_template("{bar:24} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

fn show(bar: &ProgressBar, s: &play::Sample, v: &Verdict) {
    bar.set_position((s.at * 10.0) as u64);
    bar.set_message(format!(
        "{:5.1} s  {:6.0}/s in  {:6.0}/s delivered  held {:5}  out {:4}  refused {:5}  202 p50 {:.1} p99 {:.1} ms  rules broken {}",
        s.at, s.taken, s.delivered, s.held, s.out, v.refused + v.bounced, s.taken_p50, s.taken_p99, s.broken
    ));
}
