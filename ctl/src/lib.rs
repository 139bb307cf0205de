//! The operators' command for control, built as `millpost-ctl` and as `beadle`. It shows the status of
//! control and of its followers, reads, checks, compares and puts configurations, and inspects the records on
//! a disk.
//!
//! Exit codes: 0 without problems, 1 if a problem or a difference was found; for errors see
//! `errors::Error::kind`.

mod config;
mod drain;
mod errors;
mod functions;
mod http;
mod moves;
mod retry;
mod status;
mod store;
mod why;

use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::{EarlyExit, FromArgs};
use millpost_config::values::{self, list, number, object, string};
use snafu::ResultExt;
use tinyjson::JsonValue;

use crate::config::{ConfigText, Difference};
use crate::drain::Drains;
use crate::errors::{EXIT_OK, EXIT_PROBLEM, Error, OutputSnafu, RuntimeSnafu, UsageSnafu};
use crate::functions::{Functions, Selection};
use crate::http::{Controls, seconds};
use crate::moves::Moves;
use crate::status::Status;
use crate::why::{Topic, Why};

/// The operators' command for control: status, functions, moves, drains, the configuration, and the records
/// on a disk. Exit codes: 0 no problem; 1 a problem or a difference was found; 2 usage or I/O error; 3
/// invalid, corrupt or refused; 4 no definite answer; 5 another configuration is active; 6 not all followers
/// apply it in time.
#[derive(FromArgs)]
struct Options {
    /// addresses of control machines, ADDR[,ADDR...]; other machines are found through them
    #[argh(option)]
    control: Option<String>,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
    /// how long to retry a call that gets no definite answer, in seconds (30)
    #[argh(option, default = "30.0")]
    give_up: f64,
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Status(StatusOptions),
    Watch(WatchOptions),
    Functions(FunctionsOptions),
    Why(WhyOptions),
    Drain(DrainOptions),
    Move(MoveOptions),
    Config(ConfigOptions),
    Store(StoreOptions),
}

/// Shows the control machines side by side, the followers with the revisions that they apply, and problems.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusOptions {
    /// time-out for each machine, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
}

/// Shows the status, then each change of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct WatchOptions {
    /// interval in seconds (1)
    #[argh(option, default = "1.0")]
    every: f64,
    /// ends after this many seconds; runs until interrupted if omitted
    #[argh(option, long = "for")]
    lasts: Option<f64>,
    /// time-out for each machine, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
}

/// Shows the state of functions at the steward: requested and existing instances, and what blocks starts.
#[derive(FromArgs)]
#[argh(subcommand, name = "functions")]
struct FunctionsOptions {
    /// only this function, with its instances and starts
    #[argh(positional)]
    name: Option<String>,
    /// only the function that this instance belongs to
    #[argh(option)]
    instance: Option<String>,
    /// time-out for each machine, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
}

/// Explains all problems, or the state of the steward, a machine or a function.
#[derive(FromArgs)]
#[argh(subcommand, name = "why")]
struct WhyOptions {
    /// time-out for each machine, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
    #[argh(subcommand)]
    what: Option<WhyWhat>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum WhyWhat {
    Steward(WhySteward),
    Machine(WhyMachine),
    Function(WhyFunction),
}

/// Explains which machine is the steward, or why none is.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward")]
struct WhySteward {}

/// Explains which configuration a machine applies, and whether it owns functions.
#[derive(FromArgs)]
#[argh(subcommand, name = "machine")]
struct WhyMachine {
    /// an edge machine's name, or a control machine's address
    #[argh(positional)]
    name: String,
}

/// Explains the instances of a function, and recent refusals by the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "function")]
struct WhyFunction {
    /// the function
    #[argh(positional)]
    name: String,
}

/// Drains a stall or a worker for a while.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainOptions {
    #[argh(subcommand)]
    what: DrainWhat,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum DrainWhat {
    Edge(EdgeOptions),
    Worker(WorkerOptions),
    Undo(UndoOptions),
    Status(DrainStatusOptions),
}

/// Drains the stall of an edge machine: clients use other ones, and it owns no functions.
#[derive(FromArgs)]
#[argh(subcommand, name = "edge")]
struct EdgeOptions {
    /// the machine
    #[argh(positional)]
    name: String,
    /// the drain ends after this many seconds (600)
    #[argh(option, long = "for", default = "600.0")]
    lasts: f64,
}

/// Drains a worker: nothing starts there, and its instances are replaced, then stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
struct WorkerOptions {
    /// the worker
    #[argh(positional)]
    name: String,
    /// the drain ends after this many seconds (600)
    #[argh(option, long = "for", default = "600.0")]
    lasts: f64,
}

/// Ends a drain early.
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
struct UndoOptions {
    /// edge or worker
    #[argh(positional)]
    what: String,
    /// the machine or worker
    #[argh(positional)]
    name: String,
}

/// Shows the current drains, their remaining time and progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct DrainStatusOptions {}

/// Moves tenants from the services of one cluster to those of another.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
struct MoveOptions {
    #[argh(subcommand)]
    what: MoveWhat,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum MoveWhat {
    Plan(PlanOptions),
    Start(StartOptions),
    Status(MoveStatusOptions),
    Pause(PauseOptions),
    Back(BackOptions),
    Explain(ExplainOptions),
}

/// Checks a contract against the capacity of the target, and records it as a move. No route is switched yet.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanOptions {
    /// the contract, as JSON
    #[argh(positional)]
    file: PathBuf,
}

/// Starts a move, or resumes one that is paused or has no revisions left.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct StartOptions {
    /// the move
    #[argh(positional)]
    name: String,
    /// revisions to reserve for the move, FIRST-LAST, above the active one
    #[argh(option)]
    revisions: Option<String>,
}

/// Shows the status of moves and what they wait for.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct MoveStatusOptions {}

/// Pauses a move: no further load is switched.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
struct PauseOptions {
    /// the move
    #[argh(positional)]
    name: String,
}

/// Rolls a move back: all of its routes return to the source services.
#[derive(FromArgs)]
#[argh(subcommand, name = "back")]
struct BackOptions {
    /// the move
    #[argh(positional)]
    name: String,
    /// revisions to reserve for the move, FIRST-LAST, if it has none left
    #[argh(option)]
    revisions: Option<String>,
}

/// Shows all details of a move: routes, loads, steps with their reasons, and what it waits for.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainOptions {
    /// the move
    #[argh(positional)]
    name: String,
}

/// Reads, checks, puts and compares configurations.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct ConfigOptions {
    #[argh(subcommand)]
    what: ConfigWhat,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ConfigWhat {
    Get(GetOptions),
    Check(CheckOptions),
    Put(PutOptions),
    Diff(DiffOptions),
}

/// Reads the active configuration, as it was put.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetOptions {
    /// write it to this file
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Checks a file and lists all invalid keys. Makes no calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckOptions {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Puts a configuration in force, and reports the active revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct PutOptions {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// wait up to this many seconds until all followers apply it
    #[argh(option)]
    wait: Option<f64>,
}

/// Lists the differences from the active configuration to a file, or from one file to another.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffOptions {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// the second file, to compare with instead of the active configuration
    #[argh(positional)]
    other: Option<PathBuf>,
}

/// Inspects the records on a control machine's disk. Makes no calls, writes nothing there, and can run beside
/// a `controller`.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreOptions {
    #[argh(subcommand)]
    what: StoreWhat,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StoreWhat {
    Check(StoreCheckOptions),
    Export(ExportOptions),
}

/// Lists each record with its ballots, version, length, content and faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct StoreCheckOptions {
    /// a data_dir, the folder `tally` in it, or a copy of that
    #[argh(positional)]
    folder: PathBuf,
}

/// Writes out the configuration stored on this disk, as it was put. It may differ from the chosen one.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct ExportOptions {
    /// a data_dir, the folder `tally` in it, or a copy of that
    #[argh(positional)]
    folder: PathBuf,
    /// write it to this file
    #[argh(option)]
    out: Option<PathBuf>,
}

fn options() -> Result<Options, EarlyExit> {
    let arguments: Vec<String> = std::env::args_os().map(|a| a.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Options::from_args(&["beadle"], arguments.get(1..).unwrap_or_default())
}

/// Runs the command on the arguments of this process.
pub fn main() -> ExitCode {
    millpost_net::logs::start();
    let (json, ended) = match options() {
        Ok(options) => {
            let json = options.json;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            (json, runtime.context(RuntimeSnafu).and_then(|runtime| runtime.block_on(run(options))))
        }
        Err(EarlyExit { output, status: Ok(()) }) => (false, print_text(&output).map(|()| true)),
        Err(EarlyExit { output, .. }) => (false, UsageSnafu { why: output }.fail()),
    };
    match ended {
        Ok(true) => ExitCode::from(EXIT_OK),
        Ok(false) => ExitCode::from(EXIT_PROBLEM),
        // The reader of the output has closed the pipe.
        Err(Error::Output { source }) if source.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::from(EXIT_OK)
        }
        Err(e) => {
            let (_, code) = e.kind();
            if json {
                let _ = print_json(&e.to_json());
            }
            // Standard error may be closed as well.
            let _ = writeln!(std::io::stderr(), "beadle: {e}");
            ExitCode::from(code)
        }
    }
}

/// Writes text and a final newline to standard output.
fn print_text(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let written = out.write_all(text.as_bytes()).and_then(|()| out.write_all(end.as_bytes()));
    written.and_then(|()| out.flush()).context(OutputSnafu)
}

fn print_json(value: &JsonValue) -> Result<(), Error> {
    print_text(&values::write(value))
}

/// Runs the command. Returns whether there is no problem or difference.
async fn run(options: Options) -> Result<bool, Error> {
    let json = options.json;
    let controls = || Controls::read(options.control.as_deref(), options.give_up);
    match options.what {
        What::Status(options) => {
            let status = Status::ask(&controls()?.all, seconds("--within", options.within)?).await;
            if json {
                print_json(&status.to_json())?
            } else {
                print_text(&status.text())?
            }
            Ok(status.problems().is_empty())
        }
        What::Watch(options) => watch(&controls()?, &options, json).await,
        What::Functions(options) => {
            let within = seconds("--within", options.within)?;
            let selection = match (&options.name, &options.instance) {
                (None, None) => Selection::All,
                (Some(name), None) => Selection::Name(name),
                (None, Some(id)) => Selection::Instance(id),
                (Some(_), Some(_)) => return UsageSnafu { why: "a name or --instance, not both" }.fail(),
            };
            let functions = Functions::ask(&controls()?.all, selection, within).await?;
            if json {
                print_json(&functions.to_json())?
            } else {
                print_text(&functions.text(selection))?
            }
            Ok(functions.is_well())
        }
        What::Why(options) => {
            let topic = match &options.what {
                None => Topic::All,
                Some(WhyWhat::Steward(WhySteward {})) => Topic::Leader,
                Some(WhyWhat::Machine(machine)) => Topic::Machine(&machine.name),
                Some(WhyWhat::Function(function)) => Topic::Function(&function.name),
            };
            let why = Why::ask(&controls()?.all, topic, seconds("--within", options.within)?).await?;
            if json {
                print_json(&why.to_json())?
            } else {
                print_text(&why.text())?
            }
            Ok(why.is_well())
        }
        What::Drain(options) => {
            let controls = controls()?;
            let order = match options.what {
                DrainWhat::Edge(edge) => Some(drain::start("edge", &edge.name, edge.lasts)?),
                DrainWhat::Worker(worker) => Some(drain::start("worker", &worker.name, worker.lasts)?),
                DrainWhat::Undo(undo) => Some(drain::undo(&undo.what, &undo.name)),
                DrainWhat::Status(DrainStatusOptions {}) => None,
            };
            let drains = match &order {
                Some(order) => Drains::order(&controls, order).await?,
                None => Drains::read(&controls).await?,
            };
            if json {
                print_json(&drains.to_json())?
            } else {
                print_text(&drains.text())?
            }
            // An order succeeds before all machines have applied it.
            Ok(order.is_some() || drains.is_well())
        }
        What::Move(options) => run_move(&controls()?, options.what, json).await,
        What::Config(options) => match options.what {
            ConfigWhat::Get(options) => get(&controls()?, options.out, json).await,
            ConfigWhat::Check(options) => check(&options.file, json),
            ConfigWhat::Put(options) => {
                let wait = options.wait.map(|wait| seconds("--wait", wait)).transpose()?;
                let file = ConfigText::file(&options.file)?;
                put(&controls()?, &file, wait, json).await
            }
            ConfigWhat::Diff(options) => {
                let file = ConfigText::file(&options.file)?;
                let (old, new) = match options.other {
                    Some(other) => (file, ConfigText::file(&other)?),
                    None => (config::read_active(&controls()?).await?.0, file),
                };
                differ(&config::between(&old.config, &new.config), json)
            }
        },
        What::Store(options) => match options.what {
            StoreWhat::Check(options) => check_store(&options.folder, json),
            StoreWhat::Export(options) => export(&options.folder, options.out, json),
        },
    }
}

async fn run_move(controls: &Controls, what: MoveWhat, json: bool) -> Result<bool, Error> {
    let order = match what {
        MoveWhat::Plan(options) => moves::plan(&options.file)?,
        MoveWhat::Start(options) => moves::order("start", &options.name, options.revisions.as_deref())?,
        MoveWhat::Pause(options) => moves::order("pause", &options.name, None)?,
        MoveWhat::Back(options) => moves::order("back", &options.name, options.revisions.as_deref())?,
        MoveWhat::Status(MoveStatusOptions {}) => {
            let moves = Moves::read(controls, None).await?;
            if json {
                print_json(&moves.to_json())?
            } else {
                print_text(&moves.text())?
            }
            return Ok(moves.is_well());
        }
        MoveWhat::Explain(options) => {
            let moves = Moves::read(controls, Some(&options.name)).await?;
            if json {
                print_json(&moves.to_json())?
            } else {
                print_text(&moves.explain())?
            }
            return Ok(moves.is_well());
        }
    };
    let (step, by) = moves::send_order(controls, &order).await?;
    if json {
        print_json(&object([("step", string(&step)), ("by", string(&by.to_string()))]))?;
    } else {
        print_text(&format!("{step}, by the steward {by}"))?;
    }
    Ok(true)
}

fn check_store(folder: &Path, json: bool) -> Result<bool, Error> {
    let store = store::Store::read(folder)?;
    if json {
        print_json(&store.to_json())?
    } else {
        print_text(&store.text())?
    }
    Ok(store.is_good())
}

fn export(folder: &Path, to: Option<PathBuf>, json: bool) -> Result<bool, Error> {
    let found = store::stored_config(folder)?;
    let copied = if found.copied { ", copied from other disks" } else { "" };
    let what = format!("revision {}, accepted under ballot {}{copied}", found.revision, found.ballot);
    let _ = writeln!(
        std::io::stderr(),
        "beadle: {}: {what}; another one may be chosen, which only a majority of disks determines",
        found.folder.display()
    );
    let Some(path) = to else { return print_text(&found.text).map(|()| true) };
    config::write_file(&path, &found.text)?;
    if json {
        print_json(&object([
            ("revision", number(found.revision)),
            ("ballot", string(&found.ballot)),
            ("copied", JsonValue::Boolean(found.copied)),
            ("file", string(&path.display().to_string())),
        ]))?;
    } else {
        print_text(&format!("{}: {what}", path.display()))?;
    }
    Ok(true)
}

async fn get(controls: &Controls, to: Option<PathBuf>, json: bool) -> Result<bool, Error> {
    let (read, reply) = config::read_active(controls).await?;
    let Some(path) = to else { return print_text(&read.text).map(|()| true) };
    config::write_file(&path, &read.text)?;
    let (revision, routes) = (read.config.revision, read.config.routes.len());
    if json {
        let file = string(&path.display().to_string());
        print_json(&object([
            ("revision", number(revision)),
            ("file", file),
            ("by", string(&reply.by.to_string())),
        ]))?;
    } else {
        print_text(&format!("{}: revision {revision}, {routes} routes, from {}", path.display(), reply.by))?;
    }
    Ok(true)
}

fn check(path: &Path, json: bool) -> Result<bool, Error> {
    let config = ConfigText::file(path)?.config;
    let (routes, services) = (config.routes.len(), config.services.len());
    if json {
        print_json(&object([
            ("revision", number(config.revision)),
            ("routes", number(routes as u64)),
            ("services", number(services as u64)),
            ("digest", string(&format!("{:016x}", config.digest()))),
        ]))?;
    } else {
        let what = format!("revision {}, {routes} routes, {services} services", config.revision);
        print_text(&format!("{}: valid: {what}", path.display()))?;
    }
    Ok(true)
}

async fn put(
    controls: &Controls,
    file: &ConfigText,
    wait: Option<Duration>,
    json: bool,
) -> Result<bool, Error> {
    let put = config::put(controls, file, wait).await?;
    if json {
        let applied = put.applied.map_or(JsonValue::Null, |(count, after)| {
            object([("followers", number(count as u64)), ("after_s", JsonValue::Number(after))])
        });
        print_json(&object([
            ("revision", number(put.revision)),
            ("by", string(&put.by)),
            ("tries", number(put.tries.into())),
            ("acted_on", applied),
        ]))?;
        return Ok(true);
    }
    print_text(&format!(
        "revision {} is active with this content; acknowledged by {}",
        put.revision, put.by
    ))?;
    if let Some((count, after)) = put.applied {
        print_text(&format!("all {count} followers apply it, {after:.1} s after the put began"))?;
    }
    Ok(true)
}

/// Prints the differences. Returns whether there are none.
fn differ(all: &[Difference], json: bool) -> Result<bool, Error> {
    if json {
        print_json(&list(all.iter().map(Difference::to_json)))?;
    } else if !all.is_empty() {
        print_text(&all.iter().map(Difference::text).collect::<Vec<_>>().join("\n"))?;
    }
    Ok(all.is_empty())
}

async fn watch(controls: &Controls, options: &WatchOptions, json: bool) -> Result<bool, Error> {
    let (every, within) = (seconds("--every", options.every)?, seconds("--within", options.within)?);
    let lasts = options.lasts.map(|lasts| seconds("--for", lasts)).transpose()?;
    let (began, mut before) = (Instant::now(), None::<BTreeMap<String, String>>);
    loop {
        let started = Instant::now();
        let status = Status::ask(&controls.all, within).await;
        let facts = status.facts();
        match &before {
            None if json => print_json(&status.to_json())?,
            None => print_text(&status.text())?,
            Some(before) => print_changes(before, &facts, json)?,
        }
        before = Some(facts);
        if lasts.is_some_and(|lasts| began.elapsed() + every > lasts) {
            return Ok(status.problems().is_empty());
        }
        tokio::time::sleep(every.saturating_sub(started.elapsed())).await;
    }
}

/// Prints each fact that has been added, removed or changed.
fn print_changes(
    before: &BTreeMap<String, String>,
    now: &BTreeMap<String, String>,
    json: bool,
) -> Result<(), Error> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
    let names: std::collections::BTreeSet<_> = before.keys().chain(now.keys()).collect();
    for name in names {
        let (was, is) = (before.get(name), now.get(name));
        if was == is {
            continue;
        }
        if json {
            let shown = |value: Option<&String>| value.map_or(JsonValue::Null, |value| string(value));
            let at = JsonValue::Number((unix * 1e3).round() / 1e3);
            print_json(&object([
                ("at", at),
                ("what", string(name)),
                ("was", shown(was)),
                ("is", shown(is)),
            ]))?;
        } else {
            let shown = |value: Option<&String>| value.map_or("-", |value| value).to_owned();
            print_text(&format!("{unix:.3} {name}: {} -> {}", shown(was), shown(is)))?;
        }
    }
    Ok(())
}
