//! Asks dispatchers' consoles: one line to a connection, all at once, each within its time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest answer that is read, bytes.
const LONGEST: u64 = 16 << 20;

/// Why a console tells nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It can't be reached, or not in time.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It says no.
    #[error("{0}")]
    No(String),
    /// It says something else than was asked for.
    #[error("its answer can't be read: {0}")]
    Odd(String),
}

/// One line to one console: what follows a yes.
fn ask(address: SocketAddr, line: &str, within: Duration) -> Result<String, Error> {
    let mut stream = TcpStream::connect_timeout(&address, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(LONGEST).read_to_string(&mut answer)?;
    match answer.split_once('\n') {
        Some(("SUCCESS", rest)) => Ok(rest.to_owned()),
        Some((first, _)) if first.starts_with("FAILURE") => {
            Err(Error::No(first.trim_start_matches("FAILURE").trim().to_owned()))
        }
        _ => Err(Error::Odd(answer.lines().next().unwrap_or_default().to_owned())),
    }
}

/// What a dispatcher says of itself and of the others.
fn standing(address: SocketAddr, within: Duration) -> Result<serde_json::Value, Error> {
    let text = ask(address, "standing", within)?;
    let line = text.lines().next().unwrap_or_default();
    serde_json::from_str(line).map_err(|e| Error::Odd(e.to_string()))
}

/// The same of all, asked side by side.
pub fn standings(
    addresses: &[SocketAddr],
    within: Duration,
) -> Vec<(SocketAddr, Result<serde_json::Value, Error>)> {
    std::thread::scope(|scope| {
        let asked: Vec<_> = addresses.iter().map(|a| scope.spawn(move || standing(*a, within))).collect();
        let answers = asked
            .into_iter()
            .map(|one| one.join().unwrap_or_else(|_| Err(Error::Odd("the question failed".to_owned()))));
        addresses.iter().copied().zip(answers).collect()
    })
}
