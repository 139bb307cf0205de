//! Maintenance tool for a dispatcher's store: `millpost-store inspect|verify|compact|export DIR`.

use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use lexopt::prelude::*;
use millpost_store::ledger::{self, Answer, FinalOutcome, History, Nanos};
use millpost_store::{Disk, Durability, Error, Folder, Ledger, Options, Recovery, Store, segment_name};
use serde_json::{Value, json};

const HELP: &str = "\
millpost-store: maintenance of the store in a dispatcher's state folder

Usage: millpost-store COMMAND [OPTIONS] DIR

Commands:
  inspect   prints one JSON line of statistics, then one for each segment
  verify    reads every record and body; prints a JSON line for each error; exit code 1 if there is any
  export    prints a JSON line for each record: messages, histories, answers, endpoints, learnt
  compact   rewrites the store without obsolete records; requires that no dispatcher uses the folder

Options:
  --disk-mb N   compact: maximum size of the folder in megabytes (default: 3)
  --bodies      export: include message bodies, in hexadecimal
  -h, --help    print this text

All commands except compact only read, and may be used while a dispatcher runs. Progress is printed to standard
error. Exit codes: 0 success, 1 damage found, 2 failure.";

struct Arguments {
    command: String,
    folder: PathBuf,
    disk_mb: f64,
    bodies: bool,
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(message) => return fail(&format!("{message}; see --help")),
    };
    let out = &mut BufWriter::new(io::stdout().lock());
    let done = match &arguments.command[..] {
        "inspect" => inspect(&arguments, out),
        "verify" => verify(&arguments, out),
        "export" => export(&arguments, out),
        "compact" => compact(&arguments, out),
        other => return fail(&format!("unknown command {other}; see --help")),
    };
    match done.and_then(|clean| out.flush().map(|()| clean).map_err(|e| e.to_string())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => fail(&message),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("millpost-store: {message}");
    ExitCode::from(2)
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let (mut positional, mut disk_mb, mut bodies) = (Vec::new(), 3.0, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("disk-mb") => disk_mb = parser.value()?.parse()?,
            Long("bodies") => bodies = true,
            Value(value) => positional.push(value),
            other => return Err(other.unexpected()),
        }
    }
    let [command, folder] = <[_; 2]>::try_from(positional).map_err(|_| "expected a command and a folder")?;
    Ok(Some(Arguments { command: command.string()?, folder: folder.into(), disk_mb, bodies }))
}

/// Reads the store. Retries if a running dispatcher removes a segment in the meantime.
fn read(folder: &Path) -> Result<(Store<Disk>, Recovery), String> {
    let shown = folder.display();
    if !folder.is_dir() {
        return Err(format!("{shown}: no such folder"));
    }
    let mut tries = 0;
    loop {
        match Store::read(Disk::read_only(folder), &ledger::IN_MEMORY) {
            Ok((store, _)) if store.segments().next().is_none() => {
                return Err(format!("{shown}: no store found"));
            }
            Err(Error::Io { source, .. }) if tries < 20 && source.kind() == io::ErrorKind::NotFound => {
                tries += 1
            }
            Err(Error::Io { source, .. }) if tries < 20 && source.kind() == io::ErrorKind::UnexpectedEof => {
                tries += 1
            }
            other => return other.map_err(|e| e.to_string()),
        }
    }
}

fn write_line(out: &mut impl Write, value: &Value) -> Result<(), String> {
    writeln!(out, "{value}").map_err(|e| e.to_string())
}

fn progress(done: usize, of: usize, what: &str) {
    if done.is_multiple_of(10_000) && done > 0 {
        eprintln!("{done} of {of} {what}");
    }
}

fn inspect(arguments: &Arguments, out: &mut impl Write) -> Result<bool, String> {
    let (store, recovery) = read(&arguments.folder)?;
    let stats = store.stats();
    let tables: serde_json::Map<String, Value> = (0u8..)
        .zip(ledger::TABLES)
        .map(|(table, name)| {
            (name.to_owned(), json!({"records": store.len(table), "bytes": store.live_bytes(table)}))
        })
        .collect();
    write_line(
        out,
        &json!({
            "segments": stats.segments, "bytes": stats.used, "live_bytes": stats.live,
            "frames": recovery.frames, "next_frame": store.next_seq(), "torn_bytes": recovery.torn_bytes,
            "damage": recovery.damage, "tables": tables,
        }),
    )?;
    for (number, size, live) in store.segments() {
        write_line(out, &json!({"segment": segment_name(number), "bytes": size, "live_bytes": live}))?;
    }
    Ok(true)
}

fn verify(arguments: &Arguments, out: &mut impl Write) -> Result<bool, String> {
    let (store, recovery) = read(&arguments.folder)?;
    let mut errors = recovery.damage.len();
    for damage in &recovery.damage {
        write_line(out, &json!({ "damage": damage }))?;
    }
    let bodies = store.len(ledger::BODIES);
    for (n, (key, ..)) in store.keys(ledger::BODIES, &[]).enumerate() {
        progress(n, bodies, "bodies");
        if let Err(e) = store.get(ledger::BODIES, key) {
            errors += 1;
            write_line(out, &json!({"message": message_number(key), "damage": e.to_string()}))?;
        }
    }
    for (key, _, value) in store.keys(ledger::MESSAGES, &[]) {
        let history = store.get(ledger::HISTORIES, key).ok().flatten();
        let readable = value.is_some_and(|v| ledger::read_message(v).is_some())
            && history.as_ref().is_none_or(|v| ledger::read_history(v).is_some());
        let answered = history.and_then(|v| ledger::read_history(&v)).is_some_and(|h| h.answer.is_some());
        if !readable || !(answered || store.contains(ledger::BODIES, key)) {
            errors += 1;
            write_line(
                out,
                &json!({"message": message_number(key), "damage": "the record is not complete"}),
            )?;
        }
    }
    write_line(out, &json!({"frames": recovery.frames, "torn_bytes": recovery.torn_bytes, "wrong": errors}))?;
    Ok(errors == 0)
}

fn message_number(key: &[u8]) -> u64 {
    key.try_into().map_or(0, u64::from_be_bytes)
}

fn outcome_json(end: FinalOutcome) -> Value {
    match end {
        FinalOutcome::Delivered => json!("delivered"),
        FinalOutcome::Answered(Answer::Failed) => json!("failed"),
        FinalOutcome::Answered(Answer::Refused { wait_ms }) => json!({ "refused": { "wait_ms": wait_ms } }),
    }
}

fn attempt_json(attempt: Option<(Nanos, u32)>) -> Value {
    attempt.map_or(Value::Null, |(at, zone)| json!({"at_ns": at, "zone": zone}))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn export(arguments: &Arguments, out: &mut impl Write) -> Result<bool, String> {
    let (store, recovery) = read(&arguments.folder)?;
    recovery.damage.iter().for_each(|damage| eprintln!("damage: {damage}"));
    let messages = store.len(ledger::MESSAGES);
    for (n, (key, _, value)) in store.keys(ledger::MESSAGES, &[]).enumerate() {
        progress(n, messages, "messages");
        let Some((message, at)) = value.and_then(|v| ledger::read_message(v)) else {
            write_line(
                out,
                &json!({"table": "messages", "id": message_number(key), "damage": "it can't be read"}),
            )?;
            continue;
        };
        let history = store.get(ledger::HISTORIES, key).ok().flatten();
        let history: History = history.and_then(|v| ledger::read_history(&v)).unwrap_or_default();
        let body = store.get(ledger::BODIES, key);
        let (length, shown) = match &body {
            Ok(Some(body)) => (json!(body.len()), arguments.bodies.then(|| hex(body))),
            Ok(None) => (Value::Null, None),
            Err(e) => (json!(e.to_string()), None),
        };
        let mut record = json!({
            "table": "messages", "id": message_number(key), "reference": message.reference, "class": message.class,
            "destination": message.dest, "taken_ns": at, "deadline_ns": message.deadline,
            "key": message.key.as_deref().map(String::from_utf8_lossy), "order_key": message.order, "body_bytes": length,
            "attempts": history.attempts, "may_have_run": attempt_json(history.may_have_run),
            "out": attempt_json(history.in_flight), "answer": history.answer.map(|a| outcome_json(FinalOutcome::Answered(a))),
        });
        if let (Some(body), Some(record)) = (shown, record.as_object_mut()) {
            record.insert("body_hex".into(), json!(body));
        }
        write_line(out, &record)?;
    }
    for (key, _, value) in store.keys(ledger::ANSWERS, &[]) {
        if let Some((end, until)) = value.and_then(|v| ledger::read_final_outcome(v)) {
            let reference = String::from_utf8_lossy(key);
            write_line(
                out,
                &json!({"table": "answers", "reference": reference, "answer": outcome_json(end), "until_ns": until}),
            )?;
        }
    }
    for (key, _, value) in store.keys(ledger::ENDPOINTS, &[]) {
        if let Some(e) = value.and_then(|v| ledger::read_endpoint(key, v)) {
            write_line(
                out,
                &json!({
                    "table": "endpoints", "name": e.name, "id": e.id, "address": e.address, "zone": e.zone,
                    "kind": e.kind, "destination": e.dest, "in_service": e.in_service, "weight": e.weight,
                }),
            )?;
        }
    }
    for (key, _, value) in store.keys(ledger::LEARNED, &[]) {
        if let (Some((dest, route)), Some(value)) = (ledger::read_learned_key(key), value) {
            let stored_at = value.get(..8).and_then(|v| v.try_into().ok()).map(u64::from_le_bytes);
            write_line(
                out,
                &json!({"table": "learnt", "destination": dest, "route": route, "noted_ns": stored_at,
                    "bytes": value.len()}),
            )?;
        }
    }
    Ok(true)
}

fn compact(arguments: &Arguments, out: &mut impl Write) -> Result<bool, String> {
    // Read first, so that no store is created in a folder without one.
    let (before, _) = read(&arguments.folder)?;
    let before = before.stats();
    let limit = (arguments.disk_mb * 1e6) as u64;
    if limit < before.used {
        return Err(format!("the folder already uses {} bytes: --disk-mb must be larger", before.used));
    }
    let folder = Disk::open(&arguments.folder).map_err(|e| e.to_string())?;
    let shown = folder.show("");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let options = Options::new(limit, Durability::Machine);
    let (mut ledger, opened) = Ledger::open(folder, options, now, now, None).map_err(|e| e.to_string())?;
    opened.recovery.damage.iter().for_each(|damage| eprintln!("damage: {damage}"));
    let mut last = 0;
    let done = ledger.store_mut().compact(|stats| {
        if stats.retired >= last + 64 {
            last = stats.retired;
            eprintln!("{shown}: {} segments compacted", stats.retired);
        }
    });
    done.map_err(|e| e.to_string())?;
    let after = ledger.stats();
    write_line(
        out,
        &json!({"bytes_before": before.used, "bytes_after": after.used, "live_bytes": after.live}),
    )?;
    Ok(true)
}
