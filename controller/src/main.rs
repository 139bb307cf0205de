//! `controller`: control, on each core machine. It keeps the register on its disk, takes configurations from operators, feeds the
//! porters, and, while it holds the lease, polls the platform's list and starts and stops instances.

use std::path::PathBuf;
use std::process::ExitCode;

use millpost_config::Settings;
use millpost_controller::runtime;
use millpost_net::lines::{Lines, OutputLimit};
use millpost_protocol::frame;

/// Control, on each core machine.
#[derive(argh::FromArgs)]
struct Options {
    /// the settings file; else the path in DEWJUNCTION_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// read and check the settings file, say what is wrong with it, and end
    #[argh(switch)]
    check_config: bool,
    /// write what the scaler decides on as lines to the standard output, for `replay`
    #[argh(switch)]
    record: bool,
    /// megabytes of lines at most; what comes beyond is counted and left out
    #[argh(option, default = "64")]
    record_mb: u64,
    /// tell figures of the process at this port of the machine, under /metrics
    #[argh(option)]
    metrics: Option<u16>,
}

/// What this program needs beside what all do.
const NEEDS: [&str; 2] = ["bind_addrs.control", "data_dir"];

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
    let ended = runtime.block_on(runtime::run(settings, path, options.metrics, lines));
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
