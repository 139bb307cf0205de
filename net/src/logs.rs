//! Logging as JSON lines on standard error: `{"at":seconds,"level":"info","of":"module","say":"…"}`. The
//! level is set by `RUST_LOG`, and is `info` by default.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use tinyjson::JsonValue;

/// Initializes logging for this process. Does nothing if it is already initialized.
pub fn start() {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|out, record| {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let message = JsonValue::String(record.args().to_string()).stringify().unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(out, r#"{{"at":{at:.3},"level":"{level}","of":"{}","say":{message}}}"#, record.target())
    });
    let _ = builder.try_init();
}
