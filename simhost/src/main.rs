//! Runs millpost behind a simulator's line protocol on standard input and output, with one `Control` per
//! instance.

mod wire;

use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("millpost-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = wire::Host::default();
    let mut reply = String::new();
    let mut line = Vec::new();
    let mut line_number = 0usize;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return if host.between_batches() {
                Ok(())
            } else {
                Err(format!("line {}: field `message`: input ended inside a batch", line_number + 1))
            };
        }
        line_number += 1;
        while matches!(line.last(), Some(b'\n' | b'\r')) {
            line.pop();
        }
        let located = |error: String| format!("line {line_number}: {error}");
        let text = std::str::from_utf8(&line).map_err(|_| located("field `message`: not UTF-8".into()))?;
        if host.parse_line(text).map_err(located)? {
            reply.clear();
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| host.reply(&mut reply))) {
                let message = panic.downcast_ref::<String>().map(String::as_str);
                let message = message.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                reply =
                    format!("ON_BEHALF {}\nBROKEN {}\nREADY\n", host.active(), message.replace('\n', " "));
            }
            output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
            output.flush().map_err(|e| format!("standard output: {e}"))?;
        }
    }
}
