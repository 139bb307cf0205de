//! `millpost-fleet`: who acts on which version, why, and what must not have been.
//!
//! Exit codes: 0 all is well; 1 something is not, and the output says what; 2 the command can't be carried out as it was given.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use millpost_audit::audit::{Progress, Step};
use millpost_audit::judge::RULES;
use millpost_audit::{Audit, audit, explain, message};
use millpost_fleet::{ask, report, status};

/// Who acts on which version, why, and what must not have been.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit codes: 0 all is well; 1 something is not; 2 it can't be carried out."
)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Asks the consoles: one row for each dispatcher, what it acts on, and who is behind, unknown or shut out.
    Status {
        #[command(flatten)]
        consoles: Consoles,
        /// JSON in place of text.
        #[arg(long)]
        json: bool,
    },
    /// Asks the consoles again and again, and tells what changes.
    Watch {
        #[command(flatten)]
        consoles: Consoles,
        /// Seconds between two questions.
        #[arg(long, default_value_t = 1.0)]
        every: f64,
        /// Ends after so many seconds; without it, when it is told to.
        #[arg(long = "for")]
        lasts: Option<f64>,
    },
    /// Every decision on a message: by whom, when, and on what.
    Explain {
        /// The message's id at its client.
        message: String,
        #[command(flatten)]
        logs: Logs,
    },
    /// Reads the logs of any number of dispatchers, also dead ones, and judges them.
    Audit {
        #[command(flatten)]
        logs: Logs,
        /// Writes a report as one page of HTML there.
        #[arg(long)]
        report: Option<PathBuf>,
    },
}

#[derive(Args)]
struct Consoles {
    /// Addresses of consoles, ADDRESS:PORT.
    #[arg(required_unless_present = "file")]
    consoles: Vec<SocketAddr>,
    /// A file with one address a line; `#` begins a comment.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Each console has so long, milliseconds.
    #[arg(long, default_value_t = 2_000)]
    within_ms: u64,
}

#[derive(Args)]
struct Logs {
    /// Folders of audit logs, one for each dispatcher.
    #[arg(required = true)]
    folders: Vec<PathBuf>,
    /// Threads that read; as many as there are cores where it is left out.
    #[arg(long)]
    threads: Option<usize>,
    /// JSON in place of text.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    #[error("{0}: line {1}: `{2}` is no address")]
    NoAddress(PathBuf, usize, String),
    #[error("{0}: it names no console")]
    NoConsole(PathBuf),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("--{0}: not over 0")]
    NotOverZero(&'static str),
    #[error("the output can't be written: {0}")]
    Output(std::io::Error),
}

fn main() -> ExitCode {
    match run(Command::parse().what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        // Whoever reads has seen enough.
        Err(Error::Output(e)) if e.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("millpost-fleet: {e}");
            ExitCode::from(2)
        }
    }
}

fn out(text: &str) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).map_err(Error::Output)
}

/// Whether all is well.
fn run(what: What) -> Result<bool, Error> {
    match what {
        What::Status { consoles, json } => {
            let found = look(&consoles.all()?, consoles.within());
            out(&if json { format!("{}\n", serde_json::to_string_pretty(&found)?) } else { found.text() })?;
            Ok(found.is_well())
        }
        What::Watch { consoles, every, lasts } => watch(&consoles, every, lasts),
        What::Explain { message: reference, logs } => {
            let (steps, troubles) = explain(&logs.folders, logs.threads(), message(&reference));
            if logs.json {
                out(&format!(
                    "{}\n",
                    serde_json::to_string_pretty(&serde_json::json!({
                        "message": reference, "steps": steps, "troubles": troubles,
                    }))?
                ))?;
            } else {
                out(&explained(&reference, &steps))?;
                troubles.iter().for_each(|trouble| eprintln!("{trouble}"));
            }
            Ok(!steps.is_empty())
        }
        What::Audit { logs, report } => {
            let found = audited(&logs)?;
            if let Some(path) = report {
                std::fs::write(&path, report::page(&found)).map_err(|e| Error::Io(path.clone(), e))?;
            }
            let text = if logs.json { serde_json::to_string_pretty(&found)? + "\n" } else { judged(&found) };
            out(&text)?;
            Ok(found.counts.is_empty() && !found.has_gaps())
        }
    }
}

impl Logs {
    fn threads(&self) -> usize {
        let cores = || std::thread::available_parallelism().map_or(1, usize::from);
        self.threads.unwrap_or_else(cores).clamp(1, 64)
    }
}

impl Consoles {
    fn within(&self) -> Duration {
        Duration::from_millis(self.within_ms.max(1))
    }

    fn all(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut all = self.consoles.clone();
        if let Some(path) = &self.file {
            let text = std::fs::read_to_string(path).map_err(|e| Error::Io(path.clone(), e))?;
            for (n, line) in text.lines().enumerate() {
                let line = line.split('#').next().unwrap_or_default().trim();
                if !line.is_empty() {
                    let address = line.parse();
                    all.push(address.map_err(|_| Error::NoAddress(path.clone(), n + 1, line.to_owned()))?);
                }
            }
            if all.is_empty() {
                return Err(Error::NoConsole(path.clone()));
            }
        }
        Ok(all)
    }
}

fn look(consoles: &[SocketAddr], within: Duration) -> status::Status {
    let answers = ask::standings(consoles, within);
    status::status(answers.into_iter().map(|(a, said)| (a, said.map_err(|e| e.to_string()))).collect())
}

fn watch(consoles: &Consoles, every: f64, lasts: Option<f64>) -> Result<bool, Error> {
    if !(every.is_finite() && every > 0.0) {
        return Err(Error::NotOverZero("every"));
    }
    if lasts.is_some_and(|lasts| !(lasts.is_finite() && lasts > 0.0)) {
        return Err(Error::NotOverZero("for"));
    }
    let (all, began, mut before) = (consoles.all()?, Instant::now(), None);
    loop {
        let found = look(&all, consoles.within());
        // Times go on by themselves: what is told is what else is another.
        let essence: Vec<_> =
            found.rows.iter().map(|r| (r.number, r.how, r.kinds.clone(), r.standing)).collect();
        if before.as_ref() != Some(&essence) {
            out(&format!("after {:.1} s\n{}", began.elapsed().as_secs_f64(), found.text()))?;
            before = Some(essence);
        }
        if lasts.is_some_and(|lasts| began.elapsed().as_secs_f64() >= lasts) {
            return Ok(found.is_well());
        }
        std::thread::sleep(Duration::from_secs_f64(every));
    }
}

/// The audit, with its progress on the terminal.
fn audited(logs: &Logs) -> Result<Audit, Error> {
    let progress = Progress::default();
    let shown = std::io::stderr().is_terminal();
    std::thread::scope(|scope| {
        let work = scope.spawn(|| audit(&logs.folders, logs.threads(), &progress));
        let began = Instant::now();
        while !work.is_finished() {
            std::thread::sleep(Duration::from_millis(20));
            if shown && began.elapsed() > Duration::from_secs(1) {
                let (done, all) =
                    (progress.done.load(Ordering::Relaxed), progress.all.load(Ordering::Relaxed));
                eprint!("\r{done} of {all} logs, {} records", progress.records.load(Ordering::Relaxed));
            }
        }
        if shown && began.elapsed() > Duration::from_secs(1) {
            eprintln!();
        }
        work.join().map_err(|_| Error::Output(std::io::Error::other("the audit failed")))
    })
}

fn explained(reference: &str, steps: &[Step]) -> String {
    if steps.is_empty() {
        return format!("no log says anything of {reference}\n");
    }
    let first = steps.first().map_or(0, |step| step.aligned);
    let mut text = format!("{reference}: {} decisions\n", steps.len());
    for step in steps {
        let at = step.aligned.saturating_sub(first) as f64 / 1e9;
        let on = step.standing.map_or("an unknown standing".to_owned(), |on| {
            format!(
                "list #{} {:08x}, settings {:08x}, cordons {:08x}, layout {}, epoch {}",
                on.index,
                on.list.digest,
                on.settings.digest,
                on.cordons.digest,
                on.program.generation,
                on.epoch
            )
        });
        text.push_str(&format!("{at:>10.3} s  dispatcher {:<4} {}\n{:>16}on {on}\n", step.by, step.what, ""));
    }
    text
}

fn judged(found: &Audit) -> String {
    let mut text = String::new();
    for log in &found.logs {
        let who = log.number.map_or("?".to_owned(), |number| number.to_string());
        text.push_str(&format!(
            "{who:>4} {:<12} {:>9} records {:>9} decisions {:>3} lives {:>3} times out of service\n",
            log.name,
            log.records,
            log.decisions,
            log.lives,
            log.outages.len()
        ));
        log.troubles.iter().for_each(|trouble| text.push_str(&format!("     {trouble}\n")));
    }
    if !found.missing.is_empty() {
        text.push_str(&format!("there is no log of dispatchers {:?}\n", found.missing));
    }
    for rule in RULES {
        if let Some(count) = found.counts.get(&rule) {
            text.push_str(&format!("{}: {count}\n", rule.text()));
        }
    }
    for breach in found.breaches.iter().take(40) {
        let message = breach.message.map_or(String::new(), |message| format!(" message {message:016x}"));
        let on = breach.standing.map_or(String::new(), |on| {
            format!(", on list #{} {:08x}, settings {:08x}", on.index, on.list.digest, on.settings.digest)
        });
        text.push_str(&format!(
            "  {:.3} dispatcher {}:{message} {}: {}{on}\n",
            found.aligned(breach.by, breach.at) as f64 / 1e9,
            breach.by,
            breach.rule.text(),
            breach.what
        ));
    }
    if found.counts.is_empty() {
        text.push_str("no breach\n");
    }
    text
}
