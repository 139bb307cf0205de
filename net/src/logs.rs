//! Logs as JSON lines on the standard error: `{"at":seconds,"level":"info","of":"module","say":"…"}`. `RUST_LOG` sets the level; `info`
//! where it does not.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use tinyjson::JsonValue;

/// Starts logging for this process. Does nothing where it was started already.
pub fn start() {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|out, record| {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let say = JsonValue::String(record.args().to_string()).stringify().unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(out, r#"{{"at":{at:.3},"level":"{level}","of":"{}","say":{say}}}"#, record.target())
    });
    let _ = builder.try_init();
}
