//! `beadle`: `millpost-ctl` under its earlier name.

use std::process::ExitCode;

fn main() -> ExitCode {
    millpost_ctl::main()
}
