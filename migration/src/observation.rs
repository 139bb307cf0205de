//! What the holder sees: the configuration that stands, what proxies act on, how functions do. All of it is soft, and of this machine alone.
//! Invariant: nobody is judged to act on a revision before all in touch have had the time to be heard.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use millpost_config::{Config, ConfigError};

use crate::guards::{Guard, is_disabled};
use crate::migrator::Settings;
use crate::{MS, Nanos};

/// Proxies, and functions.
const MOST: usize = 20_000;
/// What was heard of a function counts for so long.
const FRESH: Nanos = 5_000 * MS;

/// A configuration that stands.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// As it was read.
    pub config: Config,
    /// Its text, as it was put.
    pub text: Arc<str>,
}

impl ActiveConfig {
    /// Reads one.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Ok(Self { config: Config::parse(text)?, text: text.into() })
    }
}

/// How a function does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionLoad {
    /// Instances that work.
    pub ready: u32,
    /// Those, and those that are about to.
    pub live: u32,
    /// Requests that it held at once lately, at its busiest.
    pub peak_requests: f64,
    /// Its averaged delay above its floor, in nanoseconds: of several instances the mean.
    pub delay: f64,
    /// Which part of what it was asked for lately it refused.
    pub refused_ratio: f64,
}

/// Why it can't be said yet that all act on a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingReason {
    /// This holder is new, and may not have heard of all.
    LeaseTooRecent,
    /// No proxy is in touch.
    NoProxies,
    /// These act on an older one; five of them, and how many there are.
    ProxiesBehind(Vec<CompactString>, usize),
}

impl std::fmt::Display for PendingReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PendingReason::LeaseTooRecent => f.write_str("a new holder has not heard of all proxies yet"),
            PendingReason::NoProxies => f.write_str("no proxy is in touch"),
            PendingReason::ProxiesBehind(names, all) => {
                let more = if *all > names.len() { " and others" } else { "" };
                write!(f, "{all} of the proxies act on an older configuration: {}{more}", names.join(" "))
            }
        }
    }
}

struct Proxy {
    acts: u64,
    heard: Nanos,
}

/// What is seen.
pub struct Observation {
    /// When the lease was gained.
    began: Nanos,
    contact: Nanos,
    stands: Option<ActiveConfig>,
    proxies: BTreeMap<CompactString, Proxy>,
    functions: BTreeMap<CompactString, (FunctionLoad, Nanos)>,
    /// When functions were told of last.
    told: Nanos,
    /// Memory that is free on each worker, in MB.
    room: Option<Vec<u64>>,
}

impl Observation {
    pub(crate) fn new(now: Nanos, settings: &Settings) -> Self {
        Self {
            began: now,
            contact: settings.contact_timeout,
            stands: None,
            proxies: BTreeMap::new(),
            functions: BTreeMap::new(),
            told: 0,
            room: None,
        }
    }

    /// The configuration that stands, as far as is known here.
    pub fn active_config(&self) -> Option<&ActiveConfig> {
        self.stands.as_ref()
    }

    /// Its revision; 0 where none is known.
    pub fn revision(&self) -> u64 {
        self.stands.as_ref().map_or(0, |stands| stands.config.revision)
    }

    /// This one stands; an older one that comes late is passed over.
    pub(crate) fn set_active_config(&mut self, stands: ActiveConfig) {
        if stands.config.revision > self.revision() {
            self.stands = Some(stands);
        }
    }

    /// A proxy says on which revision it acts.
    pub(crate) fn record_proxy(&mut self, now: Nanos, name: CompactString, acts: u64) {
        if self.proxies.len() < MOST || self.proxies.contains_key(&name) {
            // Its last word counts, not its highest: one that was started anew may be behind again.
            self.proxies.insert(name, Proxy { acts, heard: now });
        }
    }

    /// How a function does.
    pub(crate) fn record_function(&mut self, now: Nanos, name: CompactString, function: FunctionLoad) {
        self.told = now;
        if self.functions.len() < MOST || self.functions.contains_key(&name) {
            self.functions.insert(name, (function, now));
        }
    }

    /// Functions were told of since then.
    pub(crate) fn functions_reported_since(&self, then: Nanos) -> bool {
        self.told > then
    }

    pub(crate) fn set_free_memory(&mut self, room: Vec<u64>) {
        self.room = Some(room);
    }

    /// Forgets who was not heard of for long.
    pub(crate) fn sweep(&mut self, now: Nanos) {
        let contact = self.contact;
        self.proxies.retain(|_, proxy| now < proxy.heard + 4 * contact);
        self.functions.retain(|_, (_, heard)| now < *heard + FRESH);
    }

    /// A function, if it was heard of lately.
    pub fn function(&self, now: Nanos, name: &str) -> Option<&FunctionLoad> {
        self.functions.get(name).filter(|(_, heard)| now < heard + FRESH).map(|(function, _)| function)
    }

    /// Memory that is free on each worker, in MB, if it is known.
    pub fn free_memory_mb(&self) -> Option<&[u64]> {
        self.room.as_deref()
    }

    /// Whether all that are in touch may have been heard of by now.
    pub fn has_heard_all(&self, now: Nanos) -> bool {
        now >= self.began + self.contact || is_disabled(Guard::HearAll)
    }

    /// Whether all proxies in touch act on this revision, or a higher one.
    pub fn all_act(&self, now: Nanos, revision: u64) -> Result<(), PendingReason> {
        if !self.has_heard_all(now) {
            return Err(PendingReason::LeaseTooRecent);
        }
        let in_touch = || self.proxies.iter().filter(|(_, proxy)| now < proxy.heard + self.contact);
        if in_touch().next().is_none() {
            return Err(PendingReason::NoProxies);
        }
        let behind = in_touch().filter(|(_, proxy)| proxy.acts < revision);
        let behind: Vec<_> = behind.map(|(name, _)| name.clone()).collect();
        if behind.is_empty() || is_disabled(Guard::AllAct) {
            return Ok(());
        }
        let all = behind.len();
        Err(PendingReason::ProxiesBehind(behind.into_iter().take(5).collect(), all))
    }
}
