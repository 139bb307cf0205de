//! `simulator`: deterministic simulation of the whole system.
//!
//! Exits with 0 if no rule was violated, 1 if one was, and 2 if the arguments are invalid or a file cannot be
//! written.

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

/// Deterministic simulation of the whole system. Exits with 0 if no rule was violated, 1 if one was, and 2 if
/// the arguments are invalid or a file cannot be written.
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

/// Simulate random days, and print each one that violates a rule.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
struct Hunt {
    /// maximum number of days
    #[argh(option)]
    days: u64,
    /// seed of the first day; each following day uses the next seed
    #[argh(option)]
    seed: u64,
    /// small, grown or large
    #[argh(option, default = "Size::Small")]
    size: Size,
    /// safeguard to disable
    #[argh(option, long = "plant")]
    mutation: Option<Mutation>,
    /// add controller faults and longer partitions
    #[argh(switch)]
    control: bool,
    /// longer days with planned operations only, in overlapping series
    #[argh(switch)]
    planned: bool,
    /// longer days on which every core machine is replaced, while endpoints refuse requests and send copies of
    /// their answers
    #[argh(switch)]
    turnover: bool,
    /// longer days on which core machines are removed as soon as their successors have caught up, and others are lost
    /// right after that
    #[argh(switch)]
    succession: bool,
    /// check the LIMIT rule also while the core is disturbed
    #[argh(switch)]
    strict: bool,
    /// charge permit requests to the CPU of the owning proxy
    #[argh(switch)]
    strained: bool,
    /// distribution of worker speeds: even, half (0.5 and 1.5), tenth (one in ten at 0.25), spread (0.4 to
    /// 2), turning (one in four to 0.35)
    #[argh(option, default = "Speeds::Even")]
    speeds: Speeds,
    /// print JSON, one object per line: each day with a violation, and the totals
    #[argh(switch)]
    json: bool,
    /// start no further day after this many seconds
    #[argh(option)]
    seconds: Option<u64>,
    /// stop at the first day with a violation
    #[argh(switch)]
    first: bool,
}

/// Simulate one day and print its figures.
#[derive(FromArgs)]
#[argh(subcommand, name = "day")]
struct Day {
    /// seed of the day
    #[argh(option)]
    seed: u64,
    /// small, grown or large
    #[argh(option, default = "Size::Small")]
    size: Size,
    /// safeguard to disable
    #[argh(option, long = "plant")]
    mutation: Option<Mutation>,
    /// without faults, configuration changes and final fault
    #[argh(switch)]
    quiet: bool,
    /// divide the number of edge machines, workers, functions and client requests by this
    #[argh(option, default = "1")]
    part: usize,
    /// faults to leave out, by their numbers in the trace, for example 0,3
    #[argh(option, default = "String::new()")]
    without: String,
    /// without the final fault
    #[argh(switch)]
    open: bool,
    /// file for the trace, one event per line
    #[argh(option)]
    trace: Option<PathBuf>,
    /// folder for the recordings of all processes, for replay
    #[argh(option)]
    record: Option<PathBuf>,
    /// add controller faults and longer partitions
    #[argh(switch)]
    control: bool,
    /// longer days with planned operations only, in overlapping series
    #[argh(switch)]
    planned: bool,
    /// longer days on which every core machine is replaced, while endpoints refuse requests and send copies of
    /// their answers
    #[argh(switch)]
    turnover: bool,
    /// longer days on which core machines are removed as soon as their successors have caught up, and others are lost
    /// right after that
    #[argh(switch)]
    succession: bool,
    /// check the LIMIT rule also while the core is disturbed
    #[argh(switch)]
    strict: bool,
    /// charge permit requests to the CPU of the owning proxy
    #[argh(switch)]
    strained: bool,
    /// distribution of worker speeds: even, half (0.5 and 1.5), tenth (one in ten at 0.25), spread (0.4 to
    /// 2), turning (one in four to 0.35)
    #[argh(option, default = "Speeds::Even")]
    speeds: Speeds,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Minimize a day: leave out faults one by one while the same rule is violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
struct Shrink {
    /// seed of the day
    #[argh(option)]
    seed: u64,
    /// small, grown or large
    #[argh(option, default = "Size::Small")]
    size: Size,
    /// safeguard to disable
    #[argh(option, long = "plant")]
    mutation: Option<Mutation>,
    /// add controller faults and longer partitions
    #[argh(switch)]
    control: bool,
    /// longer days with planned operations only, in overlapping series
    #[argh(switch)]
    planned: bool,
    /// longer days on which every core machine is replaced, while endpoints refuse requests and send copies of
    /// their answers
    #[argh(switch)]
    turnover: bool,
    /// longer days on which core machines are removed as soon as their successors have caught up, and others are lost
    /// right after that
    #[argh(switch)]
    succession: bool,
    /// check the LIMIT rule also while the core is disturbed
    #[argh(switch)]
    strict: bool,
    /// charge permit requests to the CPU of the owning proxy
    #[argh(switch)]
    strained: bool,
    /// distribution of worker speeds: even, half (0.5 and 1.5), tenth (one in ten at 0.25), spread (0.4 to
    /// 2), turning (one in four to 0.35)
    #[argh(option, default = "Speeds::Even")]
    speeds: Speeds,
    /// print one JSON object
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

fn hunt(options: &Hunt) -> ExitCode {
    let begun = Instant::now();
    let Hunt { days, seed, size, mutation, strict, strained, speeds, .. } = *options;
    let kind = kind(options.control, options.planned, options.turnover, options.succession);
    let hunted = search::search(
        &SearchOptions { days, seed, size, mutation, strict, charge_request_cpu: strained, speeds, kind },
        |report| {
            log::info!("day {} of {} requests", report.seed, report.requests);
            let broke = !report.breaches.is_empty();
            if broke {
                show(report, options.json);
            }
            !(broke && options.first) && options.seconds.is_none_or(|most| begun.elapsed().as_secs() < most)
        },
    );
    let per_minute = hunted.days as f64 / begun.elapsed().as_secs_f64().max(1e-9) * 60.0;
    let (days, events, requests, broken) = (hunted.days, hunted.events, hunted.requests, hunted.broken);
    if options.json {
        println!(
            r#"{{"days":{days},"broken_days":{broken},"days_per_minute":{per_minute:.1},"events":{events},"requests":{requests}}}"#
        );
    } else {
        let size = options.size.name();
        let broke =
            if broken > 0 { format!("a rule violated on {broken}") } else { "no rule violated".to_owned() };
        println!(
            "{days} {size} days, {requests} requests, {events} events, {per_minute:.1} days per minute, {broke}"
        );
    }
    verdict(broken > 0)
}

fn write_error(path: Option<&Path>, why: &std::io::Error) -> ExitCode {
    eprintln!("{}: {why}", path.unwrap_or(Path::new("")).display());
    ExitCode::from(2)
}

/// Selects the kind of days from the switches.
fn kind(control: bool, planned: bool, turnover: bool, succession: bool) -> PlanKind {
    match () {
        () if succession => PlanKind::Succession,
        () if turnover => PlanKind::Turnover,
        () if planned => PlanKind::Planned,
        () if control => PlanKind::Control,
        () => PlanKind::Usual,
    }
}

fn day(options: &Day) -> ExitCode {
    let mut plan = if options.quiet {
        Plan::quiet(options.seed, options.size)
    } else {
        kind(options.control, options.planned, options.turnover, options.succession).draw(
            options.seed,
            options.size,
            options.mutation,
        )
    };
    (plan.mutation, plan.strict, plan.site_divisor) = (options.mutation, options.strict, options.part);
    (plan.charge_request_cpu, plan.speeds) = (options.strained, options.speeds);
    if options.open {
        plan.final_fault = None;
    }
    let mut out = Vec::new();
    for part in options.without.split(',').filter(|p| !p.is_empty()) {
        match part.trim().parse::<usize>() {
            Ok(n) if n < plan.faults.len() => out.push(n),
            _ => {
                eprintln!(
                    "--without: {part:?} is not the number of a fault of this day, which has {} faults",
                    plan.faults.len()
                );
                return ExitCode::from(2);
            }
        }
    }
    let mut number = 0;
    plan.faults.retain(|_| {
        number += 1;
        !out.contains(&(number - 1))
    });
    let records = match options.record.as_deref().map(Recordings::folder).transpose() {
        Ok(records) => records,
        Err(e) => return write_error(options.record.as_deref(), &e),
    };
    let report = play_recorded(&plan, false, options.trace.is_some(), records.clone());
    if let Some(Err(e)) = records.map(|records| records.end()) {
        return write_error(options.record.as_deref(), &e);
    }
    if let Some(path) = &options.trace {
        let mut text = report.trace.join("\n");
        text.push('\n');
        if let Err(e) = std::fs::write(path, text) {
            return write_error(options.trace.as_deref(), &e);
        }
    }
    show(&report, options.json);
    verdict(!report.breaches.is_empty())
}

fn shrink(options: &Shrink) -> ExitCode {
    let whole = Plan {
        strict: options.strict,
        charge_request_cpu: options.strained,
        speeds: options.speeds,
        ..kind(options.control, options.planned, options.turnover, options.succession).draw(
            options.seed,
            options.size,
            options.mutation,
        )
    };
    match search::shrink(&whole, |line| log::info!("{line}")) {
        None => {
            println!("no rule is violated on day {}", options.seed);
            ExitCode::SUCCESS
        }
        Some((plan, report)) => {
            show(&report, options.json);
            if !options.json {
                for fault in &plan.faults {
                    println!("required: {} at {} ms: {:?}", fault.kind.name(), fault.at / MS, fault.kind);
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
                    "run again: simulator day --seed {} --size {} --without {:?}{open}",
                    options.seed,
                    options.size.name(),
                    out.join(",")
                );
            }
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let options: Options = match Options::from_args(
        &["simulator"],
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
        Command::Hunt(options) => hunt(&options),
        Command::Day(options) => day(&options),
        Command::Shrink(options) => shrink(&options),
    }
}
