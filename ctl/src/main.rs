//! `millpost-ctl`: the operators' command for control.

use std::process::ExitCode;

fn main() -> ExitCode {
    millpost_ctl::main()
}
