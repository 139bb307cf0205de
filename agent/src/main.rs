//! `agent`: the agent beside a stall. It holds connections to two control machines, the steward among them, feeds its stall over
//! loopback with what comes, and carries the stall's words up.

mod errors;
mod figures;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;

use millpost_config::Settings;
use millpost_net::lines::{Lines, OutputLimit};
use millpost_protocol::frame;

/// The agent beside a stall.
#[derive(argh::FromArgs)]
struct Options {
    /// the settings file; else the path in DEWJUNCTION_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// read and check the settings file, say what is wrong with it, and end
    #[argh(switch)]
    check_config: bool,
    /// tell figures of the process at this port of the machine, under /metrics
    #[argh(option)]
    metrics: Option<u16>,
    /// write what the porter decides on as lines at the end of this file, for `replay`
    #[argh(option)]
    record: Option<PathBuf>,
    /// megabytes of the file at most; what comes beyond is counted and left out
    #[argh(option, default = "64")]
    record_mb: u64,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    millpost_net::logs::start();
    let path = options.config.or_else(|| std::env::var_os("DEWJUNCTION_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        log::error!("no settings: neither --config nor DEWJUNCTION_CONFIG names a file");
        return ExitCode::from(2);
    };
    let settings = match Settings::load_collecting_errors(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.lines().for_each(|fault| log::error!("{fault}"));
            return ExitCode::from(2);
        }
    };
    if options.check_config {
        println!("{}: good", path.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("no runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let bound =
        OutputLimit { bytes: options.record_mb.saturating_mul(1 << 20), omitted_line: frame::omitted_line };
    // A process that starts again begins another life in the same file.
    let lines = match options.record.as_deref().map(|path| Lines::append(path, bound)).transpose() {
        Ok(lines) => lines,
        Err(e) => {
            log::error!("nothing can be recorded: {e}");
            return ExitCode::FAILURE;
        }
    };
    let ended = runtime.block_on(run::run(settings, path, options.metrics, lines.as_ref().map(Lines::sink)));
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
