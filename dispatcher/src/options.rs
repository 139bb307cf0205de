//! The command line and the operators' settings files; `NODE_CONFIG` is separate.

use std::ffi::OsString;
use std::fmt;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use millpost_store::Durability;
use millpost_tier::{Rules, TierConfig};
use serde::Deserialize;
use serde::de::DeserializeOwned;

pub const HELP: &str = "\
millpost-dispatcher: accepts messages from clients and delivers them to partners' endpoints

Usage: millpost-dispatcher [OPTIONS]

Options:
  --settings FILE  the operators' settings (deploy/millpost.toml is an example)
  --store FILE     settings of the store alone (deploy/store.toml is an example)
  --check-config   checks all settings, reports errors and exits
  -h, --help       shows this text

Environment: NODE_CONFIG names the configuration file (JSON), NODE_STATE the persistent state folder.
Signals: SIGTERM stops the process gracefully; SIGHUP reloads NODE_CONFIG.";

/// An error in the command line or in a file that it names.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument is invalid.
    #[error("{0}; see --help")]
    Usage(#[from] lexopt::Error),
    /// A file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// A file cannot be parsed.
    #[error("{0}: {1}")]
    Malformed(PathBuf, toml::de::Error),
    /// A setting has an invalid value.
    #[error("{0}: line {1}: {2}")]
    Invalid(PathBuf, usize, String),
}

/// The operators' settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    pub durability: Durability,
    /// Sharing of state with other dispatchers.
    pub tier: TierConfig,
    /// Detection of dispatchers with outdated versions, and its consequences.
    pub fleet: Rules,
    /// The audit log.
    pub audit: Recording,
}

/// Settings of the audit log of decisions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Recording {
    pub enabled: bool,
    /// A dedicated folder, outside the platform's state folder.
    pub folder: PathBuf,
    pub budget_mb: u64,
}

impl Default for Recording {
    fn default() -> Self {
        Recording { enabled: false, folder: PathBuf::new(), budget_mb: 64 }
    }
}

impl Recording {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        match self {
            r if r.enabled && r.folder.as_os_str().is_empty() => {
                Err(("folder", "must be set when the audit is enabled"))
            }
            r if !(1..=1_000_000).contains(&r.budget_mb) => Err(("budget_mb", "not between 1 and 1000000")),
            _ => Ok(()),
        }
    }
}

impl Options {
    /// Defaults for everything but the durability.
    fn new(durability: Durability) -> Self {
        let (tier, fleet, audit) = (TierConfig::default(), Rules::default(), Recording::default());
        Options { durability, tier, fleet, audit }
    }
}

/// The command selected on the command line.
#[derive(Debug, PartialEq)]
pub enum Command {
    Run(Options),
    Check(Options),
    Help,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreFile {
    #[serde(default)]
    durability: DurabilityLevel,
}

/// The content of the settings file.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SettingsFile {
    store: StoreFile,
    tier: TierConfig,
    fleet: Rules,
    audit: Recording,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DurabilityLevel {
    #[default]
    Process,
    Machine,
}

impl fmt::Display for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let survives = match self.durability {
            Durability::Process => "process",
            Durability::Machine => "machine",
        };
        let shared = if self.tier.enabled { "shared" } else { "not shared" };
        let detected = if self.fleet.enabled { "detected" } else { "not detected" };
        let recorded = match &self.audit {
            audit if audit.enabled => format!("recorded in {}", audit.folder.display()),
            _ => "not recorded".to_owned(),
        };
        write!(
            f,
            "accepted messages survive a crash of the {survives}; budgets and judgements are {shared}; "
        )?;
        write!(f, "outdated dispatchers are {detected}; decisions are {recorded}")
    }
}

/// Parses the command line and reads the files that it names.
pub fn command() -> Result<Command, Error> {
    parse(std::env::args_os().skip(1))
}

fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Command, Error> {
    let mut options = Options::new(Durability::Process);
    let mut check = false;
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("check-config") => check = true,
            Long("settings") => options = settings_file(Path::new(&parser.value()?))?,
            Long("store") => options.durability = store_file(Path::new(&parser.value()?))?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(if check { Command::Check(options) } else { Command::Run(options) })
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<(T, String), Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::Unreadable(path.to_owned(), e))?;
    let file = toml::from_str(&text).map_err(|e| Error::Malformed(path.to_owned(), e))?;
    Ok((file, text))
}

fn store_file(path: &Path) -> Result<Durability, Error> {
    Ok(read::<StoreFile>(path)?.0.durability.into())
}

fn settings_file(path: &Path) -> Result<Options, Error> {
    let (file, text) = read::<SettingsFile>(path)?;
    let invalid = |section: &str, key: &str, reason: &str| {
        let heading = format!("[{section}]");
        let from = text.lines().position(|line| line.trim() == heading).unwrap_or(0);
        let names = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
        let line = text.lines().skip(from).position(names).unwrap_or(0);
        Error::Invalid(path.to_owned(), from + line + 1, format!("{section}.{key}: {reason}"))
    };
    file.tier.check().map_err(|wrong| invalid("tier", wrong.key, wrong.reason))?;
    file.fleet.check().map_err(|wrong| invalid("fleet", wrong.key, wrong.reason))?;
    file.audit.check().map_err(|(key, reason)| invalid("audit", key, reason))?;
    if file.fleet.enabled && !file.tier.enabled {
        return Err(invalid("fleet", "enabled", "requires tier.enabled"));
    }
    let SettingsFile { store, tier, fleet, audit } = file;
    Ok(Options { durability: store.durability.into(), tier, fleet, audit })
}

impl From<DurabilityLevel> for Durability {
    fn from(level: DurabilityLevel) -> Self {
        match level {
            DurabilityLevel::Process => Durability::Process,
            DurabilityLevel::Machine => Durability::Machine,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn with(text: &str, more: &[&str]) -> Result<Command, Error> {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("store.toml");
        std::fs::write(&file, text).expect("written");
        let arguments = [OsString::from("--store"), file.into()];
        parse(arguments.into_iter().chain(more.iter().map(OsString::from)))
    }

    #[test]
    fn reads_store_settings_and_names_errors() {
        let options = Options::new;
        assert_eq!(with("", &[]).ok(), Some(Command::Run(options(Durability::Process))));
        let machine = with("durability = \"machine\"", &["--check-config"]).ok();
        assert_eq!(machine, Some(Command::Check(options(Durability::Machine))));
        for (text, expected) in [
            ("\ndurability = \"disk\"", "line 2"),
            ("durabilty = \"machine\"", "durabilty"),
            ("durability", "store.toml"),
        ] {
            let why = with(text, &[]).expect_err("refused").to_string();
            assert!(why.contains(expected) && why.contains("store.toml"), "{why}");
        }
        let why = parse(["--store".into(), "/nowhere".into()]).expect_err("refused").to_string();
        assert!(why.contains("/nowhere"), "{why}");
        assert!(parse(["--sotre".into()]).is_err());
        assert!(parse(["--store".into()]).is_err());
    }

    #[test]
    fn reads_all_settings_from_one_file_and_reports_errors_with_their_line() {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("millpost.toml");
        let with = |text: &str| {
            std::fs::write(&file, text).expect("written");
            settings_file(&file)
        };
        let good =
            with("[store]\ndurability = \"machine\"\n[tier]\nenabled = true\nterm_ms = 900\n").expect("good");
        assert_eq!((good.durability, good.tier.enabled, good.tier.term_ms), (Durability::Machine, true, 900));
        for (text, expected) in [
            ("[tier]\nbeat_ms = 50\nwitnesses = 1\n", "line 3: tier.witnesses: one alone"),
            ("[tier]\nbeat_ms = \"fast\"\n", "line 2"),
            ("[tier]\nbeats = 2\n", "beats"),
            ("[teir]\n", "teir"),
            (
                "[tier]\nenabled = true\n[fleet]\nserve_percent = 3\n",
                "line 4: fleet.serve_percent: not between",
            ),
            ("[fleet]\nenabled = true\n", "line 2: fleet.enabled: requires tier.enabled"),
            ("[audit]\nenabled = true\n", "audit.folder: must be set when the audit is enabled"),
            ("[audit]\nbudget_mb = 0\n", "line 2: audit.budget_mb: not between"),
            ("[store]\ndurability = \"disk\"\n", "line 2"),
        ] {
            let why = with(text).expect_err("refused").to_string();
            assert!(why.contains(expected) && why.contains("millpost.toml"), "{why}");
        }
    }

    #[test]
    fn example_files_match_the_defaults() {
        let all = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/millpost.toml");
        let same = Options::new(Durability::Process);
        assert_eq!(settings_file(&all).ok(), Some(same), "the example file must show the defaults");
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/store.toml");
        assert_eq!(store_file(&path).ok(), Some(Durability::Process));
    }
}
