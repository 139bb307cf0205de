//! `replay`: a recorded day played again.
//!
//! Exit codes: 0 all is well; 1 a rule was broken, there is a difference, or nothing of that name in the recording; 2 the command can't be
//! carried out as it was given.

mod command;

use std::process::ExitCode;

use argh::FromArgs;
use millpost_replay::Error;

use command::cut::Cut;
use command::diff::Diff;
use command::duty::Duty;
use command::explain::Explain;
use command::instance::Instance;
use command::play::Play;
use command::report::Report;
use command::version::Version;

/// A recorded day played again. Exit codes: 0 all is well; 1 a rule was broken, there is a difference, or nothing of that name in the
/// recording; 2 it can't be carried out.
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Play(Play),
    Explain(Explain),
    Version(Version),
    Instance(Instance),
    Duty(Duty),
    Report(Report),
    Cut(Cut),
    Diff(Diff),
}

pub(crate) fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::from_args(&["replay"], &words.iter().map(String::as_str).collect::<Vec<_>>())
    {
        Ok(options) => options,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("{}", early.output);
            return ExitCode::from(2);
        }
    };
    let done = match options.what {
        What::Play(play) => play.run(),
        What::Explain(explain) => explain.run(),
        What::Version(version) => version.run(),
        What::Instance(instance) => instance.run(),
        What::Duty(duty) => duty.run(),
        What::Report(report) => report.run(),
        What::Cut(cut) => cut.run(),
        What::Diff(diff) => diff.run(),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        // Whoever reads has seen enough.
        Err(Error::Output { source }) if source.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("replay: {e}");
            ExitCode::from(2)
        }
    }
}
