//! `controller`: the control plane, on each core machine. It stores the register on its disk, accepts
//! configurations from operators, feeds the agents and, while it holds the lease, polls the platform's lists
//! and starts and stops instances.

use std::path::PathBuf;
use std::process::ExitCode;

use millpost_config::Settings;
use millpost_controller::runtime;
use millpost_net::lines::{Lines, OutputLimit};
use millpost_protocol::frame;

/// The control plane, on each core machine.
#[derive(argh::FromArgs)]
struct Options {
    /// path of the settings file; default: the path in DEWJUNCTION_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// check the settings file, report its errors, and exit
    #[argh(switch)]
    check_config: bool,
    /// write the inputs of the scaler as lines to the standard output, for `replay`
    #[argh(switch)]
    record: bool,
    /// maximum size of the recorded lines, in MB; further lines are counted and dropped
    #[argh(option, default = "64")]
    record_mb: u64,
    /// serve the metrics of the process on this port, under /metrics
    #[argh(option)]
    metrics: Option<u16>,
}

/// Settings that this program requires besides the common ones.
const NEEDS: [&str; 2] = ["bind_addrs.control", "data_dir"];

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    millpost_net::logs::start();
    let path = options.config.or_else(|| std::env::var_os("DEWJUNCTION_CONFIG").map(PathBuf::from));
    let Some(path) = path else {
        log::error!("no settings file: neither --config nor DEWJUNCTION_CONFIG is set");
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
            log::error!("cannot start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let bound =
        OutputLimit { bytes: options.record_mb.saturating_mul(1 << 20), omitted_line: frame::omitted_line };
    let lines = match options.record.then(|| Lines::start(bound)).transpose() {
        Ok(lines) => lines,
        Err(e) => {
            log::error!("cannot start recording: {e}");
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
