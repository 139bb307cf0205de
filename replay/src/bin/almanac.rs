//! `almanac`: `replay` under its earlier name.

#[path = "../main.rs"]
mod replay;

use std::process::ExitCode;

fn main() -> ExitCode {
    replay::main()
}
