//! `agent`: the agent beside a proxy. It keeps connections to two controllers, the leader among them, passes
//! what they send on to its proxy over loopback, and passes the proxy's messages to the controllers.

mod errors;
mod metrics;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;

use millpost_config::Settings;
use millpost_net::lines::{Lines, OutputLimit};
use millpost_protocol::frame;

/// The agent beside a proxy.
#[derive(argh::FromArgs)]
struct Options {
    /// the settings file; by default the path in DEWJUNCTION_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// check the settings file, print what is wrong with it, and exit
    #[argh(switch)]
    check_config: bool,
    /// serve metrics of the process on this port, under /metrics
    #[argh(option)]
    metrics: Option<u16>,
    /// append the inputs of the agent's decisions to this file, for `replay`
    #[argh(option)]
    record: Option<PathBuf>,
    /// the largest size of that file in megabytes; lines beyond it are counted and dropped
    #[argh(option, default = "64")]
    record_mb: u64,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    millpost_net::logs::start();
    let path = options.config.or_else(|| std::env::var_os("DEWJUNCTION_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        log::error!("no settings file: set --config or DEWJUNCTION_CONFIG");
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
            log::error!("can't start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let bound =
        OutputLimit { bytes: options.record_mb.saturating_mul(1 << 20), omitted_line: frame::omitted_line };
    // A restarted process appends to the same file, as another incarnation.
    let lines = match options.record.as_deref().map(|path| Lines::append(path, bound)).transpose() {
        Ok(lines) => lines,
        Err(e) => {
            log::error!("can't open the recording: {e}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(run::run(settings, path, options.metrics, lines.as_ref().map(Lines::sink)));
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
