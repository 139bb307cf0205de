//! `simulator`: the whole system in one process, the same under the same seed.
//!
//! Ends with 0 where no rule broke, 1 where one did, 2 where the call can't be read or a file can't be written.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;
use millpost_simulator::day::{Report, play_recorded};
use millpost_simulator::mutation::Mutation;
use millpost_simulator::plan::{Plan, PlanKind};
use millpost_simulator::record::Recordings;
use millpost_simulator::search::SearchOptions;
use millpost_simulator::site::Size;
use millpost_simulator::speeds::Speeds;
use millpost_simulator::{MS, search};

/// The whole system in one process, played under a seed. Ends with 0 where no rule broke, 1 where one did, 2 where the call can't
/// be read or a file can't be written.
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    what: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Hunt(Hunt),
    Day(Day),
    Shrink(Shrink),
}

/// Play days, and show each on which a rule breaks as it comes.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
struct Hunt {
    /// how many days at most
    #[argh(option)]
    days: u64,
    /// the seed of the first; each next day has the next one
    #[argh(option)]
    seed: u64,
    /// small, grown or large
    #[argh(option, default = "Size::Small")]
    size: Size,
    /// a guard to take out
    #[argh(option, long = "plant")]
    mutation: Option<Mutation>,
    /// days with more troubles of the control side, and longer cuts
    #[argh(switch)]
    control: bool,
    /// longer days with planned work only, in series that overlap
    #[argh(switch)]
    planned: bool,
    /// judge LIMIT while the core is not settled, too
    #[argh(switch)]
    strict: bool,
    /// play what asks take of their owner's processor
    #[argh(switch)]
    strained: bool,
    /// how fast workers are: even, half (0.5 and 1.5), tenth (one in ten at 0.25), spread (0.4 to 2), turning (one in four to 0.35)
    #[argh(option, default = "Speeds::Even")]
    speeds: Speeds,
    /// JSON, one object a line: each day that breaks, and the sum
    #[argh(switch)]
    json: bool,
    /// begin no day after so many seconds
    #[argh(option)]
    seconds: Option<u64>,
    /// end with the first day that breaks
    #[argh(switch)]
    first: bool,
}

/// Play one day and show its figures.
#[derive(FromArgs)]
#[argh(subcommand, name = "day")]
struct Day {
    /// its seed
    #[argh(option)]
    seed: u64,
    /// small, grown or large
    #[argh(option, default = "Size::Small")]
    size: Size,
    /// a guard to take out
    #[argh(option, long = "plant")]
    mutation: Option<Mutation>,
    /// without troubles, changes and a closing fault
    #[argh(switch)]
    quiet: bool,
    /// a site smaller by this factor: stalls, workers, functions, clients
    #[argh(option, default = "1")]
    part: usize,
    /// troubles to leave out, by their numbers as the trace tells them: 0,3
    #[argh(option, default = "String::new()")]
    without: String,
    /// without the closing fault
    #[argh(switch)]
    open: bool,
    /// where to write what happened, one line each
    #[argh(option)]
    trace: Option<PathBuf>,
    /// a folder for the recordings of all processes, for replay
    #[argh(option)]
    record: Option<PathBuf>,
    /// days with more troubles of the control side, and longer cuts
    #[argh(switch)]
    control: bool,
    /// longer days with planned work only, in series that overlap
    #[argh(switch)]
    planned: bool,
    /// judge LIMIT while the core is not settled, too
    #[argh(switch)]
    strict: bool,
    /// play what asks take of their owner's processor
    #[argh(switch)]
    strained: bool,
    /// how fast workers are: even, half (0.5 and 1.5), tenth (one in ten at 0.25), spread (0.4 to 2), turning (one in four to 0.35)
    #[argh(option, default = "Speeds::Even")]
    speeds: Speeds,
    /// JSON, one object
    #[argh(switch)]
    json: bool,
}

/// Leave troubles out of a day, one by one, while the same rule breaks.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
struct Shrink {
    /// the seed of the day
    #[argh(option)]
    seed: u64,
    /// small, grown or large
    #[argh(option, default = "Size::Small")]
    size: Size,
    /// a guard to take out
    #[argh(option, long = "plant")]
    mutation: Option<Mutation>,
    /// days with more troubles of the control side, and longer cuts
    #[argh(switch)]
    control: bool,
    /// longer days with planned work only, in series that overlap
    #[argh(switch)]
    planned: bool,
    /// judge LIMIT while the core is not settled, too
    #[argh(switch)]
    strict: bool,
    /// play what asks take of their owner's processor
    #[argh(switch)]
    strained: bool,
    /// how fast workers are: even, half (0.5 and 1.5), tenth (one in ten at 0.25), spread (0.4 to 2), turning (one in four to 0.35)
    #[argh(option, default = "Speeds::Even")]
    speeds: Speeds,
    /// JSON, one object
    #[argh(switch)]
    json: bool,
}

fn show(report: &Report, json: bool) {
    if json {
        println!("{}", report.to_json().stringify().unwrap_or_default());
    } else {
        println!("{}", report.to_text());
    }
}

fn verdict(broken: bool) -> ExitCode {
    if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn hunt(of: &Hunt) -> ExitCode {
    let begun = Instant::now();
    let Hunt { days, seed, size, mutation, strict, strained, speeds, .. } = *of;
    let kind = kind(of.control, of.planned);
    let hunted = search::search(
        &SearchOptions { days, seed, size, mutation, strict, charge_request_cpu: strained, speeds, kind },
        |report| {
            log::info!("day {} of {} requests", report.seed, report.requests);
            let broke = !report.breaches.is_empty();
            if broke {
                show(report, of.json);
            }
            !(broke && of.first) && of.seconds.is_none_or(|most| begun.elapsed().as_secs() < most)
        },
    );
    let per_minute = hunted.days as f64 / begun.elapsed().as_secs_f64().max(1e-9) * 60.0;
    let (days, events, requests, broken) = (hunted.days, hunted.events, hunted.requests, hunted.broken);
    if of.json {
        println!(
            r#"{{"days":{days},"broken_days":{broken},"days_per_minute":{per_minute:.1},"events":{events},"requests":{requests}}}"#
        );
    } else {
        let size = of.size.name();
        let broke =
            if broken > 0 { format!("a rule broken on {broken}") } else { "no rule broken".to_owned() };
        println!(
            "{days} {size} days, {requests} requests, {events} events, {per_minute:.1} days a minute, {broke}"
        );
    }
    verdict(broken > 0)
}

fn unwritten(path: Option<&Path>, why: &std::io::Error) -> ExitCode {
    eprintln!("{}: {why}", path.unwrap_or(Path::new("")).display());
    ExitCode::from(2)
}

/// Which days are meant.
fn kind(control: bool, planned: bool) -> PlanKind {
    match (control, planned) {
        (_, true) => PlanKind::Planned,
        (true, false) => PlanKind::Control,
        (false, false) => PlanKind::Usual,
    }
}

fn day(of: &Day) -> ExitCode {
    let mut plan = if of.quiet {
        Plan::quiet(of.seed, of.size)
    } else {
        kind(of.control, of.planned).draw(of.seed, of.size, of.mutation)
    };
    (plan.mutation, plan.strict, plan.site_divisor) = (of.mutation, of.strict, of.part);
    (plan.charge_request_cpu, plan.speeds) = (of.strained, of.speeds);
    if of.open {
        plan.final_fault = None;
    }
    let mut out = Vec::new();
    for part in of.without.split(',').filter(|p| !p.is_empty()) {
        match part.trim().parse::<usize>() {
            Ok(n) if n < plan.faults.len() => out.push(n),
            _ => {
                eprintln!("without: {part:?} is no trouble of this day, which has {}", plan.faults.len());
                return ExitCode::from(2);
            }
        }
    }
    let mut number = 0;
    plan.faults.retain(|_| {
        number += 1;
        !out.contains(&(number - 1))
    });
    let records = match of.record.as_deref().map(Recordings::folder).transpose() {
        Ok(records) => records,
        Err(e) => return unwritten(of.record.as_deref(), &e),
    };
    let report = play_recorded(&plan, false, of.trace.is_some(), records.clone());
    if let Some(Err(e)) = records.map(|records| records.end()) {
        return unwritten(of.record.as_deref(), &e);
    }
    if let Some(path) = &of.trace {
        let mut text = report.trace.join("\n");
        text.push('\n');
        if let Err(e) = std::fs::write(path, text) {
            return unwritten(of.trace.as_deref(), &e);
        }
    }
    show(&report, of.json);
    verdict(!report.breaches.is_empty())
}

fn shrink(of: &Shrink) -> ExitCode {
    let whole = Plan {
        strict: of.strict,
        charge_request_cpu: of.strained,
        speeds: of.speeds,
        ..kind(of.control, of.planned).draw(of.seed, of.size, of.mutation)
    };
    match search::shrink(&whole, |line| log::info!("{line}")) {
        None => {
            println!("no rule breaks on day {}", of.seed);
            ExitCode::SUCCESS
        }
        Some((plan, report)) => {
            show(&report, of.json);
            if !of.json {
                for fault in &plan.faults {
                    println!("needs {} at {} ms: {:?}", fault.kind.name(), fault.at / MS, fault.kind);
                }
                let out: Vec<_> = whole
                    .faults
                    .iter()
                    .enumerate()
                    .filter(|(_, t)| !plan.faults.contains(t))
                    .map(|(n, _)| n.to_string())
                    .collect();
                let open =
                    if whole.final_fault.is_some() && plan.final_fault.is_none() { " --open" } else { "" };
                println!(
                    "again: arcade day --seed {} --size {} --without {:?}{open}",
                    of.seed,
                    of.size.name(),
                    out.join(",")
                );
            }
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let options: Options = match Options::from_args(
        &["arcade"],
        &std::env::args().skip(1).collect::<Vec<_>>().iter().map(String::as_str).collect::<Vec<_>>(),
    ) {
        Ok(options) => options,
        Err(early) => {
            let good = early.status.is_ok();
            if good {
                println!("{}", early.output)
            } else {
                eprintln!("{}", early.output)
            }
            return if good { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match options.what {
        Command::Hunt(of) => hunt(&of),
        Command::Day(of) => day(&of),
        Command::Shrink(of) => shrink(&of),
    }
}
