//! `proxy`: the proxy of an edge machine. It accepts client requests, requests a permit from the owner of the
//! function and forwards the request to the instance that the permit names. It receives its configuration,
//! the membership view and the instances from the agent on the same machine.

mod config_revisions;
mod drain;
mod errors;
mod frontend;
mod listeners;
mod metrics;
mod pool;
mod proxy;
mod request_trace;
mod signals;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use millpost_config::Settings;
use millpost_net::lines::{Lines, OutputLimit};
use millpost_protocol::frame;
use millpost_scheduler::Sink;

/// The proxy of an edge machine.
#[derive(argh::FromArgs)]
struct Options {
    /// path of the settings file; default: the path in DEWJUNCTION_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// check the settings file, report its errors, and exit
    #[argh(switch)]
    check_config: bool,
    /// serve metrics at this port of the machine, under /metrics
    #[argh(option)]
    metrics: Option<u16>,
    /// rank workers by measured response times, and use instances on slow workers last
    #[argh(switch)]
    speeds: bool,
    /// write a recording of all scheduling inputs to standard output, for `replay`
    #[argh(switch)]
    record: bool,
    /// maximum size of the recording in megabytes; further lines are counted and omitted
    #[argh(option, default = "64")]
    record_mb: u64,
}

/// Settings that only the proxy requires.
const REQUIRED_KEYS: [&str; 2] = ["bind_addrs.front", "bind_addrs.readiness"];

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    millpost_net::logs::start();
    let path = options.config.or_else(|| std::env::var_os("DEWJUNCTION_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        log::error!("no settings file: set --config or DEWJUNCTION_CONFIG");
        return ExitCode::from(2);
    };
    let settings = match Settings::load_for(&path, &REQUIRED_KEYS) {
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
            log::error!("cannot start the async runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let limit =
        OutputLimit { bytes: options.record_mb.saturating_mul(1 << 20), omitted_line: frame::omitted_line };
    let lines = match options.record.then(|| Lines::start(limit)).transpose() {
        Ok(lines) => lines,
        Err(e) => {
            log::error!("cannot start the recording: {e}");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    let ended = local
        .block_on(&runtime, run(settings, options.speeds, options.metrics, lines.as_ref().map(Lines::sink)));
    // Remaining tasks are not awaited: the shutdown grace period is over.
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(
    settings: Settings,
    speeds: bool,
    metrics: Option<u16>,
    sink: Option<Sink>,
) -> Result<(), errors::Error> {
    let proxy = proxy::Proxy::open(settings, speeds, sink).await?;
    let phases = signals::phases(Duration::from_secs_f64(proxy.settings.bounds.grace_s))?;
    listeners::serve(&proxy, phases, metrics).await
}
