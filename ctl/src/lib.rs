//! The operators' command for control, built as `millpost-ctl` and as `beadle`. It shows how control stands and who acts on
//! what, reads, checks, compares and puts configurations, and looks at the records on a disk.
//!
//! Exit codes: see [`errors::Error::kind`]; 0 all is well, 1 something that was looked at is not.

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

use crate::config::{Difference, Read};
use crate::drain::Drains;
use crate::errors::{EXIT_OK, EXIT_PROBLEM, Error, OutputSnafu, RuntimeSnafu, UsageSnafu};
use crate::functions::{Functions, Which};
use crate::http::{Controls, seconds};
use crate::moves::Moves;
use crate::status::Status;
use crate::why::{About, Why};

/// The operators' command for control: how it stands, functions, moves, the configuration, and what is on a disk. Exit codes: 0
/// all is well; 1 something is not, or differs; 2 it can't be carried out as it was given; 3 invalid, spoilt or refused; 4
/// no clear answer; 5 another configuration stands; 6 not all act on it in time.
#[derive(FromArgs)]
struct Options {
    /// addresses of control machines, ADDR[,ADDR...]; other machines are found through them
    #[argh(option)]
    control: Option<String>,
    /// JSON in place of text
    #[argh(switch)]
    json: bool,
    /// a call that gets no clear answer is made again for so long, in seconds (30)
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

/// Control machines side by side, who follows and acts on what, and what is not well.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusOptions {
    /// how long each machine has for its answer, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
}

/// The same again and again: first all of it, then what changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct WatchOptions {
    /// seconds between two looks (1)
    #[argh(option, default = "1.0")]
    every: f64,
    /// ends after so many seconds; without it, when it is told to
    #[argh(option, long = "for")]
    lasts: Option<f64>,
    /// how long each machine has for its answer, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
}

/// How functions stand with the steward: what is wanted, what there is, and what holds starts back.
#[derive(FromArgs)]
#[argh(subcommand, name = "functions")]
struct FunctionsOptions {
    /// only this one, with its instances and starts
    #[argh(positional)]
    name: Option<String>,
    /// only the one that this instance belongs to
    #[argh(option)]
    instance: Option<String>,
    /// how long each machine has for its answer, in seconds (1)
    #[argh(option, default = "1.0")]
    within: f64,
}

/// Why things stand as they do: all that is not well, with its reasons; or one thing.
#[derive(FromArgs)]
#[argh(subcommand, name = "why")]
struct WhyOptions {
    /// how long each machine has for its answer, in seconds (1)
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

/// Who is the steward, or why nobody is.
#[derive(FromArgs)]
#[argh(subcommand, name = "steward")]
struct WhySteward {}

/// Why a machine acts on the configuration that it acts on, and owns functions or does not.
#[derive(FromArgs)]
#[argh(subcommand, name = "machine")]
struct WhyMachine {
    /// an edge machine's name, or a control machine's address
    #[argh(positional)]
    name: String,
}

/// Why a function has the instances that it has, and what was refused lately.
#[derive(FromArgs)]
#[argh(subcommand, name = "function")]
struct WhyFunction {
    /// the function
    #[argh(positional)]
    name: String,
}

/// Takes a stall or a worker out in order, for a while.
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

/// An edge machine's stall: clients go elsewhere, and it owns no functions.
#[derive(FromArgs)]
#[argh(subcommand, name = "edge")]
struct EdgeOptions {
    /// the machine
    #[argh(positional)]
    name: String,
    /// ends by itself after so many seconds (600)
    #[argh(option, long = "for", default = "600.0")]
    lasts: f64,
}

/// A worker: nothing starts there, its instances are replaced and then stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
struct WorkerOptions {
    /// the worker
    #[argh(positional)]
    name: String,
    /// ends by itself after so many seconds (600)
    #[argh(option, long = "for", default = "600.0")]
    lasts: f64,
}

/// Lets it back before its time.
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
struct UndoOptions {
    /// edge or worker
    #[argh(positional)]
    what: String,
    /// which
    #[argh(positional)]
    name: String,
}

/// What is out, for how long, and how far that has come.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct DrainStatusOptions {}

/// Moves of tenants from the services of one cluster to those of another.
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

/// Checks a contract against what the target can bear, and keeps it as a move. Nothing moves yet.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanOptions {
    /// the contract, as JSON
    #[argh(positional)]
    file: PathBuf,
}

/// Begins a move, or goes on with one that was paused or has no revisions left.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct StartOptions {
    /// the move
    #[argh(positional)]
    name: String,
    /// revisions for the move alone, FIRST-LAST, above the one that stands
    #[argh(option)]
    revisions: Option<String>,
}

/// How moves stand, and what they wait for.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct MoveStatusOptions {}

/// Holds a move where it is: no further load goes.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
struct PauseOptions {
    /// the move
    #[argh(positional)]
    name: String,
}

/// Turns a move back: all of its routes go to where they were.
#[derive(FromArgs)]
#[argh(subcommand, name = "back")]
struct BackOptions {
    /// the move
    #[argh(positional)]
    name: String,
    /// revisions for the move alone, FIRST-LAST, where it has none left
    #[argh(option)]
    revisions: Option<String>,
}

/// All of one move: routes, loads, steps with their reasons, and what it waits for.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainOptions {
    /// the move
    #[argh(positional)]
    name: String,
}

/// The configuration.
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

/// Reads what stands, as it was put.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetOptions {
    /// writes it there
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Reads and checks a file, and names all keys that are wrong. Asks nobody.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckOptions {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Puts a file in force, and says what stands then.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
struct PutOptions {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// waits so many seconds until all that follow act on it
    #[argh(option)]
    wait: Option<f64>,
}

/// What differs: from what stands to a file, or from one file to another.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffOptions {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// the other file, in place of what stands
    #[argh(positional)]
    other: Option<PathBuf>,
}

/// The records on a control machine's disk. Asks nobody, writes nothing there, and works beside a running `controller`.
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

/// Each record: ballots, version, length, what it holds, and what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct StoreCheckOptions {
    /// a data_dir, the folder `tally` in it, or a copy of that
    #[argh(positional)]
    folder: PathBuf,
}

/// The configuration that stands on this disk, as it was put. It may not be the one that is chosen.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct ExportOptions {
    /// a data_dir, the folder `tally` in it, or a copy of that
    #[argh(positional)]
    folder: PathBuf,
    /// writes it there
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
        Err(EarlyExit { output, status: Ok(()) }) => (false, out(&output).map(|()| true)),
        Err(EarlyExit { output, .. }) => (false, UsageSnafu { why: output }.fail()),
    };
    match ended {
        Ok(true) => ExitCode::from(EXIT_OK),
        Ok(false) => ExitCode::from(EXIT_PROBLEM),
        // Whoever reads has seen enough.
        Err(Error::Output { source }) if source.kind() == std::io::ErrorKind::BrokenPipe => {
            ExitCode::from(EXIT_OK)
        }
        Err(e) => {
            let (_, code) = e.kind();
            if json {
                let _ = print(&e.to_json());
            }
            // Standard error may be as gone as the output.
            let _ = writeln!(std::io::stderr(), "beadle: {e}");
            ExitCode::from(code)
        }
    }
}

fn out(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let written = out.write_all(text.as_bytes()).and_then(|()| out.write_all(end.as_bytes()));
    written.and_then(|()| out.flush()).context(OutputSnafu)
}

fn print(value: &JsonValue) -> Result<(), Error> {
    out(&values::write(value))
}

/// Whether all is well.
async fn run(options: Options) -> Result<bool, Error> {
    let json = options.json;
    let controls = || Controls::read(options.control.as_deref(), options.give_up);
    match options.what {
        What::Status(given) => {
            let status = Status::ask(&controls()?.all, seconds("--within", given.within)?).await;
            if json {
                print(&status.to_json())?
            } else {
                out(&status.text())?
            }
            Ok(status.troubles().is_empty())
        }
        What::Watch(given) => watch(&controls()?, &given, json).await,
        What::Functions(given) => {
            let within = seconds("--within", given.within)?;
            let which = match (&given.name, &given.instance) {
                (None, None) => Which::All,
                (Some(name), None) => Which::Name(name),
                (None, Some(id)) => Which::Instance(id),
                (Some(_), Some(_)) => return UsageSnafu { why: "a name or --instance, not both" }.fail(),
            };
            let functions = Functions::ask(&controls()?.all, which, within).await?;
            if json {
                print(&functions.to_json())?
            } else {
                out(&functions.text(which))?
            }
            Ok(functions.is_well())
        }
        What::Why(given) => {
            let about = match &given.what {
                None => About::All,
                Some(WhyWhat::Steward(WhySteward {})) => About::Leader,
                Some(WhyWhat::Machine(of)) => About::Machine(&of.name),
                Some(WhyWhat::Function(of)) => About::Function(&of.name),
            };
            let why = Why::ask(&controls()?.all, about, seconds("--within", given.within)?).await?;
            if json {
                print(&why.to_json())?
            } else {
                out(&why.text())?
            }
            Ok(why.is_well())
        }
        What::Drain(given) => {
            let controls = controls()?;
            let order = match given.what {
                DrainWhat::Edge(of) => Some(drain::out("edge", &of.name, of.lasts)?),
                DrainWhat::Worker(of) => Some(drain::out("worker", &of.name, of.lasts)?),
                DrainWhat::Undo(of) => Some(drain::undo(&of.what, &of.name)),
                DrainWhat::Status(DrainStatusOptions {}) => None,
            };
            let drains = match &order {
                Some(order) => Drains::order(&controls, order).await?,
                None => Drains::look(&controls).await?,
            };
            if json {
                print(&drains.to_json())?
            } else {
                out(&drains.text())?
            }
            // An order is obeyed before all have heard of it.
            Ok(order.is_some() || drains.is_well())
        }
        What::Move(given) => order(&controls()?, given.what, json).await,
        What::Config(given) => match given.what {
            ConfigWhat::Get(given) => get(&controls()?, given.out, json).await,
            ConfigWhat::Check(given) => check(&given.file, json),
            ConfigWhat::Put(given) => {
                let wait = given.wait.map(|wait| seconds("--wait", wait)).transpose()?;
                let file = Read::file(&given.file)?;
                put(&controls()?, &file, wait, json).await
            }
            ConfigWhat::Diff(given) => {
                let file = Read::file(&given.file)?;
                let (old, new) = match given.other {
                    Some(other) => (file, Read::file(&other)?),
                    None => (config::standing(&controls()?).await?.0, file),
                };
                differ(&config::between(&old.config, &new.config), json)
            }
        },
        What::Store(given) => match given.what {
            StoreWhat::Check(given) => check_store(&given.folder, json),
            StoreWhat::Export(given) => export(&given.folder, given.out, json),
        },
    }
}

async fn order(controls: &Controls, what: MoveWhat, json: bool) -> Result<bool, Error> {
    let order = match what {
        MoveWhat::Plan(given) => moves::plan(&given.file)?,
        MoveWhat::Start(given) => moves::order("start", &given.name, given.revisions.as_deref())?,
        MoveWhat::Pause(given) => moves::order("pause", &given.name, None)?,
        MoveWhat::Back(given) => moves::order("back", &given.name, given.revisions.as_deref())?,
        MoveWhat::Status(MoveStatusOptions {}) => {
            let moves = Moves::look(controls, None).await?;
            if json {
                print(&moves.to_json())?
            } else {
                out(&moves.text())?
            }
            return Ok(moves.is_well());
        }
        MoveWhat::Explain(given) => {
            let moves = Moves::look(controls, Some(&given.name)).await?;
            if json {
                print(&moves.to_json())?
            } else {
                out(&moves.explain())?
            }
            return Ok(moves.is_well());
        }
    };
    let (step, by) = moves::give(controls, &order).await?;
    if json {
        print(&object([("step", string(&step)), ("by", string(&by.to_string()))]))?;
    } else {
        out(&format!("{step}, by the steward {by}"))?;
    }
    Ok(true)
}

fn check_store(folder: &Path, json: bool) -> Result<bool, Error> {
    let store = store::Store::look(folder)?;
    if json {
        print(&store.to_json())?
    } else {
        out(&store.text())?
    }
    Ok(store.is_good())
}

fn export(folder: &Path, to: Option<PathBuf>, json: bool) -> Result<bool, Error> {
    let found = store::standing(folder)?;
    let copied = if found.copied { ", copied from other disks" } else { "" };
    let what = format!("revision {}, written at ballot {}{copied}", found.revision, found.ballot);
    let _ = writeln!(
        std::io::stderr(),
        "beadle: {}: {what}; another may be chosen: only a majority of disks says",
        found.folder.display()
    );
    let Some(path) = to else { return out(&found.text).map(|()| true) };
    config::keep(&path, &found.text)?;
    if json {
        print(&object([
            ("revision", number(found.revision)),
            ("ballot", string(&found.ballot)),
            ("copied", JsonValue::Boolean(found.copied)),
            ("file", string(&path.display().to_string())),
        ]))?;
    } else {
        out(&format!("{}: {what}", path.display()))?;
    }
    Ok(true)
}

async fn get(controls: &Controls, to: Option<PathBuf>, json: bool) -> Result<bool, Error> {
    let (read, given) = config::standing(controls).await?;
    let Some(path) = to else { return out(&read.text).map(|()| true) };
    config::keep(&path, &read.text)?;
    let (revision, routes) = (read.config.revision, read.config.routes.len());
    if json {
        let file = string(&path.display().to_string());
        print(&object([
            ("revision", number(revision)),
            ("file", file),
            ("by", string(&given.by.to_string())),
        ]))?;
    } else {
        out(&format!("{}: revision {revision}, {routes} routes, from {}", path.display(), given.by))?;
    }
    Ok(true)
}

fn check(path: &Path, json: bool) -> Result<bool, Error> {
    let config = Read::file(path)?.config;
    let (routes, services) = (config.routes.len(), config.services.len());
    if json {
        print(&object([
            ("revision", number(config.revision)),
            ("routes", number(routes as u64)),
            ("services", number(services as u64)),
            ("digest", string(&format!("{:016x}", config.digest()))),
        ]))?;
    } else {
        let what = format!("revision {}, {routes} routes, {services} services", config.revision);
        out(&format!("{}: good: {what}", path.display()))?;
    }
    Ok(true)
}

async fn put(controls: &Controls, file: &Read, wait: Option<Duration>, json: bool) -> Result<bool, Error> {
    let put = config::put(controls, file, wait).await?;
    if json {
        let acted = put.acted.map_or(JsonValue::Null, |(count, after)| {
            object([("followers", number(count as u64)), ("after_s", JsonValue::Number(after))])
        });
        print(&object([
            ("revision", number(put.revision)),
            ("by", string(&put.by)),
            ("tries", number(put.tries.into())),
            ("acted_on", acted),
        ]))?;
        return Ok(true);
    }
    out(&format!("revision {} stands, and has this content; acknowledged by {}", put.revision, put.by))?;
    if let Some((count, after)) = put.acted {
        out(&format!("all {count} that follow act on it, {after:.1} s after the put began"))?;
    }
    Ok(true)
}

/// Whether nothing differs.
fn differ(all: &[Difference], json: bool) -> Result<bool, Error> {
    if json {
        print(&list(all.iter().map(Difference::to_json)))?;
    } else if !all.is_empty() {
        out(&all.iter().map(Difference::text).collect::<Vec<_>>().join("\n"))?;
    }
    Ok(all.is_empty())
}

async fn watch(controls: &Controls, given: &WatchOptions, json: bool) -> Result<bool, Error> {
    let (every, within) = (seconds("--every", given.every)?, seconds("--within", given.within)?);
    let lasts = given.lasts.map(|lasts| seconds("--for", lasts)).transpose()?;
    let (began, mut before) = (Instant::now(), None::<BTreeMap<String, String>>);
    loop {
        let looked = Instant::now();
        let status = Status::ask(&controls.all, within).await;
        let facts = status.facts();
        match &before {
            None if json => print(&status.to_json())?,
            None => out(&status.text())?,
            Some(before) => changes(before, &facts, json)?,
        }
        before = Some(facts);
        if lasts.is_some_and(|lasts| began.elapsed() + every > lasts) {
            return Ok(status.troubles().is_empty());
        }
        tokio::time::sleep(every.saturating_sub(looked.elapsed())).await;
    }
}

/// Tells what is no more, new, or another.
fn changes(
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
            let of = |value: Option<&String>| value.map_or(JsonValue::Null, |value| string(value));
            let at = JsonValue::Number((unix * 1e3).round() / 1e3);
            print(&object([("at", at), ("what", string(name)), ("was", of(was)), ("is", of(is))]))?;
        } else {
            let of = |value: Option<&String>| value.map_or("-", |value| value).to_owned();
            out(&format!("{unix:.3} {name}: {} -> {}", of(was), of(is)))?;
        }
    }
    Ok(())
}
