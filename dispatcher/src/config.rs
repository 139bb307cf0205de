//! `NODE_CONFIG`: what a dispatcher is told at its start.

use std::net::SocketAddr;
use std::path::PathBuf;

use millpost::api::Settings;
use millpost_settings::Shape;
use serde::Deserialize;

use crate::discovery::List;

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A variable is missing.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// The file is not what it should be.
    #[error("configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A variable is not what it should be.
    #[error("{0}: `{1}` is no address")]
    NoAddress(&'static str, String),
    /// The settings in it are not.
    #[error("configuration: {0}")]
    Settings(String),
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    console: Option<SocketAddr>,
    known: List,
    settings: serde_json::Value,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    #[serde(default = "sockets")]
    pub sockets: usize,
    pub disk_mb: f64,
}

fn sockets() -> usize {
    1024
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The second address, for the staff.
    pub console: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub known: List,
    pub settings: Settings,
    pub shape: Shape,
    pub state: PathBuf,
}

/// The seed is a number in hexadecimal; any other text is hashed to one.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| u64::from(crc32fast::hash(text.as_bytes())))
}

/// The variable goes before the file: each process has its own.
fn console() -> Result<Option<SocketAddr>, Error> {
    const NAME: &str = "NODE_CONSOLE";
    let Some(text) = std::env::var_os(NAME).filter(|text| !text.is_empty()) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    text.parse().map(Some).map_err(|_| Error::NoAddress(NAME, text))
}

pub fn read() -> Result<Config, Error> {
    let var = |name| std::env::var_os(name).ok_or(Error::Missing(name)).map(PathBuf::from);
    let (path, state) = (var("NODE_CONFIG")?, var("NODE_STATE")?);
    let text = std::fs::read(&path).map_err(|e| Error::Unreadable(path, e))?;
    let file: File = serde_json::from_slice(&text)?;
    let (settings, shape) = millpost_settings::from_value(file.settings).map_err(Error::Settings)?;
    Ok(Config {
        name: file.name,
        listen: file.listen,
        console: console()?.or(file.console),
        discovery: file.discovery,
        seed: seed(&file.seed),
        limits: file.limits,
        peer_listen: file.peer_listen,
        peers: file.peers,
        peers_all: file.peers_all,
        known: file.known,
        settings,
        shape,
        state,
    })
}
