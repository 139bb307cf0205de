//! The configuration file that `NODE_CONFIG` names.

use std::net::SocketAddr;
use std::path::PathBuf;

use millpost::api::Settings;
use millpost_settings::Shape;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::List;

/// An error in the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An environment variable is missing.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// The file cannot be parsed.
    #[error("{0}: {1}")]
    Malformed(PathBuf, serde_json::Error),
    /// An environment variable does not hold a socket address.
    #[error("{0}: `{1}` is not a socket address")]
    NotAnAddress(&'static str, String),
    /// The settings in it cannot be parsed.
    #[error("configuration: {0}")]
    Settings(String),
    /// It is invalid; lists all errors.
    #[error("{path}: {}", wrong.join("; "))]
    Invalid { path: PathBuf, wrong: Vec<String> },
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
    settings: Value,
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
    /// The address of the operators' console.
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
    /// The parsed file, to compare a reloaded one with.
    pub text: Value,
}

/// Parses the seed as a hexadecimal number; any other text is hashed.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| u64::from(crc32fast::hash(text.as_bytes())))
}

/// The console address from the environment, which takes precedence over the file because each process has
/// its own.
fn console() -> Result<Option<SocketAddr>, Error> {
    const NAME: &str = "NODE_CONSOLE";
    let Some(text) = std::env::var_os(NAME).filter(|text| !text.is_empty()) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    text.parse().map(Some).map_err(|_| Error::NotAnAddress(NAME, text))
}

/// The digest of the settings in a configuration, without those that differ between dispatchers.
pub fn digest(text: &Value) -> u32 {
    let mut settings = text.get("settings").cloned().unwrap_or_default();
    if let Some(fields) = settings.as_object_mut() {
        fields.remove("slotNo");
    }
    millpost_tier::versions::digest(settings.to_string().as_bytes())
}

/// The digest of the current configuration file: of its settings, or of its bytes if it is not valid JSON.
pub fn digest_of_file() -> u32 {
    let bytes = std::env::var_os("NODE_CONFIG").and_then(|path| std::fs::read(path).ok()).unwrap_or_default();
    match serde_json::from_slice(&bytes) {
        Ok(text) => digest(&text),
        Err(_) => millpost_tier::versions::digest(&bytes),
    }
}

pub fn read() -> Result<Config, Error> {
    read_after(None)
}

/// Reads the configuration again.
///
/// # Errors
/// If the file is invalid as a whole or cannot replace the current configuration at runtime.
pub fn read_again(before: &Config) -> Result<Config, Error> {
    read_after(Some(before))
}

fn read_after(before: Option<&Config>) -> Result<Config, Error> {
    let var = |name| std::env::var_os(name).ok_or(Error::Missing(name)).map(PathBuf::from);
    let (path, state) = (var("NODE_CONFIG")?, var("NODE_STATE")?);
    let text = std::fs::read(&path).map_err(|e| Error::Unreadable(path.clone(), e))?;
    parse(path, state, &text, before)
}

/// Parses the configuration that the predecessor had in force.
pub fn from_predecessor(text: &str) -> Result<Config, Error> {
    parse("the predecessor's configuration".into(), PathBuf::new(), text.as_bytes(), None)
}

fn parse(path: PathBuf, state: PathBuf, text: &[u8], before: Option<&Config>) -> Result<Config, Error> {
    let text: Value = serde_json::from_slice(text).map_err(|e| Error::Malformed(path.clone(), e))?;
    let bad = |wrong| Error::Invalid { path: path.clone(), wrong };
    // Checked first, so that an incomplete file is reported with all its missing keys.
    let mut wrong = before.map_or(Vec::new(), |before| millpost_settings::short(&before.text, &text));
    if !wrong.is_empty() {
        return Err(bad(wrong));
    }
    let file: File = serde_json::from_value(text.clone()).map_err(|e| Error::Malformed(path.clone(), e))?;
    let (settings, shape) = millpost_settings::from_value(file.settings).map_err(Error::Settings)?;
    wrong.extend(millpost_settings::unsound(&settings, &shape));
    if let Some(before) = before {
        wrong.extend(millpost_settings::fixed(&before.settings, &before.shape, &settings, &shape));
    }
    if !wrong.is_empty() {
        return Err(bad(wrong));
    }
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
        text,
    })
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn file() -> Value {
        let profiles = json!([
            {"name": "a", "objectiveNs": 2, "deadlineNs": 20, "effect": "pure", "credit": 1.0},
            {"name": "b", "objectiveNs": 2, "deadlineNs": 20, "effect": "side_effect", "credit": 1.0},
        ]);
        json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
               "limits": {"sockets": 64, "disk_mb": 3.0}, "known": {"index": 1, "snapshot": true, "endpoints": []},
               "settings": {"slotNo": 0, "nInstances": 2, "periodNs": 5, "areas": ["z"], "kinds": ["k"],
                            "profiles": profiles, "familyInfo": {"workers": 4},
                            "limits": {"tryLimit": 6, "openCap": 300},
                            "rules": {"drainGraceNs": 1, "coldFrom": 0.25, "coldNs": 1, "tipMultiple": 1.5,
                                      "overloadForNs": 1}}})
    }

    fn read(text: &[u8], before: Option<&Config>) -> Result<Config, Error> {
        parse("config.json".into(), "state".into(), text, before)
    }

    /// Collects the paths of all keys, through objects and lists.
    fn keys(value: &Value, path: &str, all: &mut Vec<String>) {
        match value {
            Value::Object(fields) => fields.iter().for_each(|(key, value)| {
                all.push(format!("{path}/{key}"));
                keys(value, &format!("{path}/{key}"), all);
            }),
            Value::Array(list) => {
                list.iter().enumerate().for_each(|(n, value)| keys(value, &format!("{path}/{n}"), all))
            }
            _ => {}
        }
    }

    #[test]
    fn rejects_truncated_files_and_missing_or_mistyped_keys() {
        let good = file();
        let text = good.to_string().into_bytes();
        let before = read(&text, None).expect("it is good");
        assert!(read(&text, Some(&before)).is_ok());
        for cut in 0..text.len() {
            assert!(read(&text[..cut], Some(&before)).is_err(), "cut at {cut}");
        }
        let mut all = Vec::new();
        keys(&good, "", &mut all);
        assert!(all.len() > 30);
        for path in all {
            let (parent, key) = path.rsplit_once('/').expect("a path");
            let (mut short, mut odd) = (good.clone(), good.clone());
            short.pointer_mut(parent).and_then(Value::as_object_mut).expect("it is there").remove(key);
            let why = read(short.to_string().as_bytes(), Some(&before)).err().map(|e| e.to_string());
            assert!(why.as_ref().is_some_and(|why| why.contains(key)), "{path}: {why:?}");
            let value = odd.pointer_mut(&path).expect("it is there");
            *value = if value.is_array() { json!(true) } else { json!([]) };
            let why = read(odd.to_string().as_bytes(), Some(&before)).err().map(|e| e.to_string());
            assert!(why.as_ref().is_some_and(|why| why.contains(key)), "{path}: {why:?}");
        }
    }

    #[test]
    fn reports_all_errors_with_their_keys() {
        let before = read(file().to_string().as_bytes(), None).expect("it is good");
        let mut bad = file();
        bad["settings"]["limits"]["tryLimit"] = json!(0);
        bad["settings"]["profiles"][1]["deadlineNs"] = json!(0);
        bad["settings"]["kinds"] = json!(["other"]);
        let why = read(bad.to_string().as_bytes(), Some(&before)).err().expect("it is bad").to_string();
        for part in ["config.json", "limits.tryLimit", "profiles[1].deadlineNs", "settings.kinds"] {
            assert!(why.contains(part), "{part}: {why}");
        }
        bad["settings"]["profiles"][0]["deadlineNs"] = json!(-5);
        assert!(read(bad.to_string().as_bytes(), None).is_err());
    }
}
