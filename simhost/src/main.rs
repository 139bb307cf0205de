//! Plays millpost on a simulator's line protocol: standard input to standard output, one `Control` per instance.

mod wire;

use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("millpost-simhost: {why}");
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
    let mut number = 0usize;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return if host.between_batches() {
                Ok(())
            } else {
                Err(format!("line {}: field `message`: input ends inside a batch", number + 1))
            };
        }
        number += 1;
        while matches!(line.last(), Some(b'\n' | b'\r')) {
            line.pop();
        }
        let at = |why: String| format!("line {number}: {why}");
        let text = std::str::from_utf8(&line).map_err(|_| at("field `message`: not UTF-8".into()))?;
        if host.line(text).map_err(at)? {
            reply.clear();
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| host.reply(&mut reply))) {
                let said = panic.downcast_ref::<String>().map(String::as_str);
                let said = said.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                reply = format!("ON_BEHALF {}\nBROKEN {}\nREADY\n", host.acting(), said.replace('\n', " "));
            }
            output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
            output.flush().map_err(|e| format!("standard output: {e}"))?;
        }
    }
}
