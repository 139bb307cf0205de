//! The command line, and the settings that the operators own, apart from `NODE_CONFIG`.

use std::ffi::OsString;
use std::fmt;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use millpost_store::Durability;
use millpost_tier::{Rules, TierConfig};
use serde::Deserialize;
use serde::de::DeserializeOwned;

pub const HELP: &str = "\
millpost-dispatcher: takes messages from clients, and delivers them to partners' endpoints

Usage: millpost-dispatcher [OPTIONS]

Options:
  --settings FILE  the operators' settings (deploy/millpost.toml is an example)
  --store FILE     settings of the store alone (deploy/store.toml is an example)
  --check-config   reads all settings, says what is wrong with them, and ends
  -h, --help       this text

The environment names the rest: NODE_CONFIG (a file in JSON) and NODE_STATE (the folder that lasts).
Signals: SIGTERM ends it in order; SIGHUP has NODE_CONFIG read again.";

/// What is wrong with the command line or the files that it names.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument makes no sense.
    #[error("{0}; see --help")]
    Usage(#[from] lexopt::Error),
    /// A file can't be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// A file is not what it should be.
    #[error("{0}: {1}")]
    Malformed(PathBuf, toml::de::Error),
    /// A setting makes no sense.
    #[error("{0}: line {1}: {2}")]
    Unsound(PathBuf, usize, String),
}

/// The settings that the operators own.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    pub durability: Durability,
    /// What is shared with other dispatchers.
    pub tier: TierConfig,
    /// Who is behind, and what follows.
    pub fleet: Rules,
    /// What was acted on is recorded.
    pub audit: Recording,
}

/// Where decisions are recorded, if they are.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Recording {
    pub enabled: bool,
    /// A folder of its own, outside that of the platform.
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
            r if r.enabled && r.folder.as_os_str().is_empty() => Err(("folder", "it is not named")),
            r if !(1..=1_000_000).contains(&r.budget_mb) => Err(("budget_mb", "not between 1 and 1000000")),
            _ => Ok(()),
        }
    }
}

impl Options {
    /// All else as it is where nothing is said.
    fn new(durability: Durability) -> Self {
        let (tier, fleet, audit) = (TierConfig::default(), Rules::default(), Recording::default());
        Options { durability, tier, fleet, audit }
    }
}

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Asked {
    Run(Options),
    Check(Options),
    Help,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreFile {
    #[serde(default)]
    durability: Outlives,
}

/// All settings in one file.
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
enum Outlives {
    #[default]
    Process,
    Machine,
}

impl fmt::Display for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outlives = match self.durability {
            Durability::Process => "process",
            Durability::Machine => "machine",
        };
        let shared = if self.tier.enabled { "shared" } else { "not shared" };
        let rolled = if self.fleet.enabled { "found" } else { "not looked for" };
        let recorded = match &self.audit {
            audit if audit.enabled => format!("recorded in {}", audit.folder.display()),
            _ => "not recorded".to_owned(),
        };
        write!(f, "what is taken on outlives the {outlives}; budgets and judgements are {shared}; ")?;
        write!(f, "who is behind is {rolled}; decisions are {recorded}")
    }
}

/// Reads the command line, and the files that it names.
pub fn asked() -> Result<Asked, Error> {
    parse(std::env::args_os().skip(1))
}

fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Asked, Error> {
    let mut options = Options::new(Durability::Process);
    let mut check = false;
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Asked::Help),
            Long("check-config") => check = true,
            Long("settings") => options = settings_file(Path::new(&parser.value()?))?,
            Long("store") => options.durability = store_file(Path::new(&parser.value()?))?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(if check { Asked::Check(options) } else { Asked::Run(options) })
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
    let unsound = |section: &str, key: &str, reason: &str| {
        let heading = format!("[{section}]");
        let from = text.lines().position(|line| line.trim() == heading).unwrap_or(0);
        let names = |line: &str| line.split('=').next().is_some_and(|name| name.trim() == key);
        let line = text.lines().skip(from).position(names).unwrap_or(0);
        Error::Unsound(path.to_owned(), from + line + 1, format!("{section}.{key}: {reason}"))
    };
    file.tier.check().map_err(|wrong| unsound("tier", wrong.key, wrong.reason))?;
    file.fleet.check().map_err(|wrong| unsound("fleet", wrong.key, wrong.reason))?;
    file.audit.check().map_err(|(key, reason)| unsound("audit", key, reason))?;
    if file.fleet.enabled && !file.tier.enabled {
        return Err(unsound("fleet", "enabled", "it needs tier.enabled"));
    }
    let SettingsFile { store, tier, fleet, audit } = file;
    Ok(Options { durability: store.durability.into(), tier, fleet, audit })
}

impl From<Outlives> for Durability {
    fn from(outlives: Outlives) -> Self {
        match outlives {
            Outlives::Process => Durability::Process,
            Outlives::Machine => Durability::Machine,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn with(text: &str, more: &[&str]) -> Result<Asked, Error> {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("store.toml");
        std::fs::write(&file, text).expect("written");
        let arguments = [OsString::from("--store"), file.into()];
        parse(arguments.into_iter().chain(more.iter().map(OsString::from)))
    }

    #[test]
    fn settings_are_read_and_what_is_wrong_is_named() {
        let options = Options::new;
        assert_eq!(with("", &[]).ok(), Some(Asked::Run(options(Durability::Process))));
        let machine = with("durability = \"machine\"", &["--check-config"]).ok();
        assert_eq!(machine, Some(Asked::Check(options(Durability::Machine))));
        for (text, said) in [
            ("\ndurability = \"disk\"", "line 2"),
            ("durabilty = \"machine\"", "durabilty"),
            ("durability", "store.toml"),
        ] {
            let why = with(text, &[]).expect_err("refused").to_string();
            assert!(why.contains(said) && why.contains("store.toml"), "{why}");
        }
        let why = parse(["--store".into(), "/nowhere".into()]).expect_err("refused").to_string();
        assert!(why.contains("/nowhere"), "{why}");
        assert!(parse(["--sotre".into()]).is_err());
        assert!(parse(["--store".into()]).is_err());
    }

    #[test]
    fn all_settings_are_read_from_one_file_and_what_makes_no_sense_is_named_with_its_line() {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("millpost.toml");
        let with = |text: &str| {
            std::fs::write(&file, text).expect("written");
            settings_file(&file)
        };
        let good =
            with("[store]\ndurability = \"machine\"\n[tier]\nenabled = true\nterm_ms = 900\n").expect("good");
        assert_eq!((good.durability, good.tier.enabled, good.tier.term_ms), (Durability::Machine, true, 900));
        for (text, said) in [
            ("[tier]\nbeat_ms = 50\nwitnesses = 1\n", "line 3: tier.witnesses: one alone"),
            ("[tier]\nbeat_ms = \"fast\"\n", "line 2"),
            ("[tier]\nbeats = 2\n", "beats"),
            ("[teir]\n", "teir"),
            (
                "[tier]\nenabled = true\n[fleet]\nserve_percent = 3\n",
                "line 4: fleet.serve_percent: not between",
            ),
            ("[fleet]\nenabled = true\n", "line 2: fleet.enabled: it needs tier.enabled"),
            ("[audit]\nenabled = true\n", "audit.folder: it is not named"),
            ("[audit]\nbudget_mb = 0\n", "line 2: audit.budget_mb: not between"),
            ("[store]\ndurability = \"disk\"\n", "line 2"),
        ] {
            let why = with(text).expect_err("refused").to_string();
            assert!(why.contains(said) && why.contains("millpost.toml"), "{why}");
        }
    }

    #[test]
    fn the_example_is_good() {
        let all = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/millpost.toml");
        let same = Options::new(Durability::Process);
        assert_eq!(settings_file(&all).ok(), Some(same), "it shows what holds without it");
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/store.toml");
        assert_eq!(store_file(&path).ok(), Some(Durability::Process));
    }
}
