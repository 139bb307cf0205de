//! `proxy`: the proxy of an edge machine. It takes requests from clients, asks the owner of the function for a permit and sends the
//! request to the instance that it names. Its configuration, the other stalls and the instances come from the porter beside it.

mod currency;
mod errors;
mod figures;
mod front;
mod opening;
mod pool;
mod rest;
mod shop;
mod signals;
mod trail;

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
    /// the settings file; else the path in DEWJUNCTION_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// read and check the settings file, say what is wrong with it, and end
    #[argh(switch)]
    check_config: bool,
    /// tell figures of the process at this port of the machine, under /metrics
    #[argh(option)]
    metrics: Option<u16>,
    /// learn how fast workers are from what answers take, and give instances on slow ones out last
    #[argh(switch)]
    speeds: bool,
    /// write what the stall decides on as lines to the standard output, for `replay`
    #[argh(switch)]
    record: bool,
    /// megabytes of lines at most; what comes beyond is counted and left out
    #[argh(option, default = "64")]
    record_mb: u64,
}

/// What this program needs beside what all do.
const NEEDS: [&str; 2] = ["bind_addrs.front", "bind_addrs.readiness"];

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    millpost_net::logs::start();
    let path = options.config.or_else(|| std::env::var_os("DEWJUNCTION_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        log::error!("no settings: neither --config nor DEWJUNCTION_CONFIG names a file");
        return ExitCode::from(2);
    };
    let settings = match Settings::load_for(&path, &NEEDS) {
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
    let lines = match options.record.then(|| Lines::start(bound)).transpose() {
        Ok(lines) => lines,
        Err(e) => {
            log::error!("nothing can be recorded: {e}");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    let ended = local
        .block_on(&runtime, run(settings, options.speeds, options.metrics, lines.as_ref().map(Lines::sink)));
    // What is still under way is not waited for: its time was up.
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
    let shop = shop::Shop::open(settings, speeds, sink).await?;
    let phases = signals::phases(Duration::from_secs_f64(shop.settings.bounds.grace_s))?;
    opening::work(&shop, phases, metrics).await
}
