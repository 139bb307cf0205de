//! What the leader observes: the active configuration, the revisions that proxies apply, the load of
//! functions. All of it is soft state of this machine.
//!
//! Invariant: no revision counts as applied by all proxies before all connected proxies have had time to
//! report.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use millpost_config::{Config, ConfigError};

use crate::guards::{Guard, is_disabled};
use crate::migrator::Settings;
use crate::{MS, Nanos};

/// Limit on proxies and on functions that are remembered.
const MAX_ENTRIES: usize = 20_000;
/// How long the report of a function is valid.
const FUNCTION_REPORT_TTL: Nanos = 5_000 * MS;

/// The active configuration.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The parsed configuration.
    pub config: Config,
    /// The text it was written as.
    pub text: Arc<str>,
}

impl ActiveConfig {
    /// Parses a configuration.
    pub fn read(text: &str) -> Result<Self, ConfigError> {
        Ok(Self { config: Config::parse(text)?, text: text.into() })
    }
}

/// The load and health of a function.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionLoad {
    /// Instances that serve requests.
    pub ready: u32,
    /// Instances that serve requests, boot or are being started.
    pub live: u32,
    /// Recent peak of concurrent requests.
    pub peak_requests: f64,
    /// Average latency above the function's baseline in nanoseconds; the mean over its instances.
    pub delay: f64,
    /// Fraction of recent requests that it refused.
    pub refused_ratio: f64,
}

/// Why a revision does not count as applied by all proxies yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingReason {
    /// This leader is new and may not have heard from all proxies.
    LeaseTooRecent,
    /// No proxy is connected.
    NoProxies,
    /// Proxies apply an older revision: up to five of their names, and their number.
    ProxiesBehind(Vec<CompactString>, usize),
}

impl std::fmt::Display for PendingReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PendingReason::LeaseTooRecent => f.write_str("a new leader has not heard from all proxies yet"),
            PendingReason::NoProxies => f.write_str("no proxy is connected"),
            PendingReason::ProxiesBehind(names, all) => {
                let more = if *all > names.len() { " and others" } else { "" };
                write!(f, "{all} proxies apply an older configuration: {}{more}", names.join(" "))
            }
        }
    }
}

struct Proxy {
    revision: u64,
    heard: Nanos,
}

/// Observations of the leader.
pub struct Observation {
    /// When this machine gained the lease.
    lease_gained_at: Nanos,
    contact_timeout: Nanos,
    config: Option<ActiveConfig>,
    proxies: BTreeMap<CompactString, Proxy>,
    functions: BTreeMap<CompactString, (FunctionLoad, Nanos)>,
    /// When a function was last reported.
    functions_reported_at: Nanos,
    /// Free memory of each worker in MB.
    free_memory_mb: Option<Vec<u64>>,
}

impl Observation {
    pub(crate) fn new(now: Nanos, settings: &Settings) -> Self {
        Self {
            lease_gained_at: now,
            contact_timeout: settings.contact_timeout,
            config: None,
            proxies: BTreeMap::new(),
            functions: BTreeMap::new(),
            functions_reported_at: 0,
            free_memory_mb: None,
        }
    }

    /// The active configuration as far as this machine knows.
    pub fn active_config(&self) -> Option<&ActiveConfig> {
        self.config.as_ref()
    }

    /// The active revision; 0 if none is known.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |active| active.config.revision)
    }

    /// Records the active configuration, unless a newer one is known.
    pub(crate) fn set_active_config(&mut self, active: ActiveConfig) {
        if active.config.revision > self.revision() {
            self.config = Some(active);
        }
    }

    /// Records the revision that a proxy reports to apply.
    pub(crate) fn record_proxy(&mut self, now: Nanos, name: CompactString, revision: u64) {
        if self.proxies.len() < MAX_ENTRIES || self.proxies.contains_key(&name) {
            // The latest report counts, not the highest revision: a restarted proxy may be behind again.
            self.proxies.insert(name, Proxy { revision, heard: now });
        }
    }

    /// Records the load of a function.
    pub(crate) fn record_function(&mut self, now: Nanos, name: CompactString, function: FunctionLoad) {
        self.functions_reported_at = now;
        if self.functions.len() < MAX_ENTRIES || self.functions.contains_key(&name) {
            self.functions.insert(name, (function, now));
        }
    }

    /// Whether a function was reported after `then`.
    pub(crate) fn functions_reported_since(&self, then: Nanos) -> bool {
        self.functions_reported_at > then
    }

    pub(crate) fn set_free_memory(&mut self, free_mb: Vec<u64>) {
        self.free_memory_mb = Some(free_mb);
    }

    /// Drops expired reports.
    pub(crate) fn expire(&mut self, now: Nanos) {
        let contact_timeout = self.contact_timeout;
        self.proxies.retain(|_, proxy| now < proxy.heard + 4 * contact_timeout);
        self.functions.retain(|_, (_, heard)| now < *heard + FUNCTION_REPORT_TTL);
    }

    /// The load of a function, if its report is recent enough.
    pub fn function(&self, now: Nanos, name: &str) -> Option<&FunctionLoad> {
        self.functions
            .get(name)
            .filter(|(_, heard)| now < heard + FUNCTION_REPORT_TTL)
            .map(|(function, _)| function)
    }

    /// Free memory of each worker in MB, if it is known.
    pub fn free_memory_mb(&self) -> Option<&[u64]> {
        self.free_memory_mb.as_deref()
    }

    /// Whether all connected proxies have had time to report since this machine gained the lease.
    pub fn has_heard_all(&self, now: Nanos) -> bool {
        now >= self.lease_gained_at + self.contact_timeout || is_disabled(Guard::HearAllProxies)
    }

    /// Checks that all connected proxies apply this revision or a newer one.
    pub fn all_apply(&self, now: Nanos, revision: u64) -> Result<(), PendingReason> {
        if !self.has_heard_all(now) {
            return Err(PendingReason::LeaseTooRecent);
        }
        let connected = || self.proxies.iter().filter(|(_, proxy)| now < proxy.heard + self.contact_timeout);
        if connected().next().is_none() {
            return Err(PendingReason::NoProxies);
        }
        let behind = connected().filter(|(_, proxy)| proxy.revision < revision);
        let behind: Vec<_> = behind.map(|(name, _)| name.clone()).collect();
        if behind.is_empty() || is_disabled(Guard::AllProxiesApply) {
            return Ok(());
        }
        let all = behind.len();
        Err(PendingReason::ProxiesBehind(behind.into_iter().take(5).collect(), all))
    }
}
