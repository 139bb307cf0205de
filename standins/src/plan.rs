//! A plan: who plays, what comes in, and what goes wrong when. Data, read from TOML and checked before anything
//! starts; with its seed it gives the same draws each time.

use std::fmt;
use std::path::Path;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use toml::Spanned;

use crate::service::Service;

/// A plan that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// What is in it is wrong.
    #[error("{file}:{line}: {reason}")]
    Wrong {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// Why.
        reason: String,
    },
}

/// The whole.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// For reports.
    pub name: String,
    /// All draws come from it.
    pub seed: u64,
    /// How long clients hand messages in.
    pub seconds: f64,
    /// The dispatchers.
    pub dispatchers: Dispatchers,
    /// What they are told.
    pub service: Service,
    /// What comes in.
    pub load: Load,
    /// Whom it is for.
    pub partners: Partners,
    /// What goes wrong.
    #[serde(rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
}

/// The dispatchers of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Dispatchers {
    /// How many.
    pub count: usize,
    /// Each is held to one core of its own, as far as there are any.
    pub one_core: bool,
    /// They hear one another's datagrams.
    pub peers: bool,
    /// `durability` of their stores.
    pub durability: String,
    /// What they share: the lines of the section `[tier]` of their settings.
    pub tier: String,
}

impl Default for Dispatchers {
    fn default() -> Self {
        Dispatchers {
            count: 2,
            one_core: true,
            peers: true,
            durability: "process".to_owned(),
            tier: String::new(),
        }
    }
}

/// What clients hand in: arrivals by chance, open loop.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Messages a second, all clients together.
    pub per_second: f64,
    /// Bytes of a body, least and most.
    pub body: [usize; 2],
    /// How often a client hands a message in again that was refused or not answered.
    pub retries: u32,
    /// Latencies count from then on, seconds.
    pub warm_up: f64,
    /// A client waits so long for its 202, milliseconds.
    pub answer_within_ms: u64,
    /// The front notices after so long that a dispatcher has died or is back, milliseconds.
    pub front_notices_ms: u64,
    /// Destinations' shares of the messages fall by rank to this power; 0 for equal shares.
    pub skew: f64,
    /// Connections that all clients together have open to one dispatcher, at most.
    pub connections: usize,
    /// Connections that clients open and leave without a byte, a second and dispatcher.
    pub silent_per_second: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            per_second: 200.0,
            body: [200, 800],
            retries: 3,
            warm_up: 0.0,
            answer_within_ms: 400,
            front_notices_ms: 2_000,
            skew: 0.5,
            connections: 128,
            silent_per_second: 0.0,
        }
    }
}

/// The partners.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Partners {
    /// Destinations, numbered from 0.
    pub destinations: usize,
    /// Endpoints of each.
    pub endpoints: usize,
    /// Median time to answer, milliseconds; 0 answers at once.
    pub latency_ms: f64,
    /// Spread of it: the standard deviation of its logarithm.
    pub spread: f64,
    /// Calls a second that a destination takes, its listed weight; 0 for no limit.
    pub per_second: f64,
    /// The limit counts calls in fixed spans of so long, milliseconds; 0 for a plain rate.
    pub window_ms: u64,
    /// Above the limit the time to come back is told.
    pub tells_wait: bool,
    /// Idle connections are closed quietly after this, milliseconds; 0 for the settings' keepalive.
    pub idle_close_ms: u64,
    /// All endpoints share one listener for each dispatcher; for very many of them.
    pub shared: bool,
    /// Calls pass through a link that faults can cut.
    pub links: bool,
}

impl Default for Partners {
    fn default() -> Self {
        Partners {
            destinations: 8,
            endpoints: 2,
            latency_ms: 20.0,
            spread: 0.5,
            per_second: 0.0,
            window_ms: 0,
            tells_wait: false,
            idle_close_ms: 0,
            shared: false,
            links: false,
        }
    }
}

/// Where a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Every destination.
    Destinations,
    /// One.
    Destination(u64),
    /// One endpoint of a destination.
    Endpoint(u64, usize),
    /// A dispatcher.
    Dispatcher(usize),
    /// Discovery, all agents.
    Discovery,
    /// The links to a destination.
    Link(u64),
    /// Datagrams from one dispatcher to another; `None` for all.
    Peers(Option<usize>, Option<usize>),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Destinations => f.write_str("destinations"),
            Target::Destination(n) => write!(f, "destination {n}"),
            Target::Endpoint(n, e) => write!(f, "endpoint {n}/{e}"),
            Target::Dispatcher(n) => write!(f, "dispatcher {n}"),
            Target::Discovery => f.write_str("discovery"),
            Target::Link(n) => write!(f, "link {n}"),
            Target::Peers(from, to) => {
                let name = |n: Option<usize>| n.map_or("*".to_owned(), |n| n.to_string());
                write!(f, "peers {}>{}", name(*from), name(*to))
            }
        }
    }
}

impl<'de> Deserialize<'de> for Target {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let (kind, number) = text.split_once(' ').unwrap_or((&text, ""));
        let target = match (kind, number) {
            ("destinations", "") => Some(Target::Destinations),
            ("discovery", "") => Some(Target::Discovery),
            ("destination", n) => n.parse().ok().map(Target::Destination),
            ("dispatcher", n) => n.parse().ok().map(Target::Dispatcher),
            ("link", n) => n.parse().ok().map(Target::Link),
            ("peers", n) => n.split_once('>').and_then(|(from, to)| {
                let one = |n: &str| if n == "*" { Some(None) } else { n.parse().ok().map(Some) };
                Some(Target::Peers(one(from)?, one(to)?))
            }),
            ("endpoint", n) => {
                n.split_once('/').and_then(|(d, e)| Some(Target::Endpoint(d.parse().ok()?, e.parse().ok()?)))
            }
            _ => None,
        };
        target.ok_or_else(|| {
            D::Error::custom(format!(
                "`{text}` is none of: destinations, destination N, endpoint N/E, dispatcher N, discovery, link N, peers N>N"
            ))
        })
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Connections are refused and those open reset; an outage, after which the destination is cold.
    Refuse,
    /// Nothing is answered on any connection; an outage.
    Silent,
    /// Every call is turned away: 429 with the time left as the wait where `wait_ms` is 0 or more, else 503; an
    /// outage.
    Shut,
    /// The connection is reset before the call's last byte is read.
    ResetBefore,
    /// It is reset after the last byte, and the call may have run.
    ResetAfter,
    /// The call runs, and the answer stops in the middle of its first line.
    Stall,
    /// Answers take `factor` times as long.
    Slow,
    /// 503 without a wait.
    Busy,
    /// 429 with a wait of `wait_ms`.
    Wait,
    /// The call runs, and is answered with 500.
    Error,
    /// The call runs, and what comes back is no HTTP.
    Spoilt,
    /// The connection is closed in order right after each answer.
    CloseIdle,
    /// Endpoints are listed as terminating, for as long as the fault lasts.
    Drain,
    /// Endpoints leave the list, and come back at the end.
    Gone,
    /// SIGKILL; started again at the end.
    Kill,
    /// SIGTERM, SIGKILL if it still runs after 3.7 s; started again at the end.
    Terminate,
    /// SIGSTOP; SIGCONT at the end.
    Pause,
    /// SIGKILL, and the folder is lost; started again with an empty one at the end.
    Lose,
    /// A share of the datagrams is lost.
    Lossy,
    /// A share of the datagrams comes twice.
    Repeated,
    /// Datagrams take up to `wait_ms`, and come in any order.
    Delayed,
    /// A thousand health calls come, each on a new connection.
    Crowd,
    /// Discovery answers 503.
    Mute,
    /// Discovery tells what is new only at the end.
    Late,
    /// An entry of each list can't be read.
    Unreadable,
    /// Connections through the link are cut, and new ones refused; no datagram passes.
    Cut,
    /// Nothing passes the link, in either direction; it stays open.
    Hang,
    /// Answers don't pass, requests do.
    OneWay,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From when, seconds after the start of the load.
    pub at: f64,
    /// For how long, seconds.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Where.
    #[serde(rename = "where")]
    pub target: Target,
    /// What.
    pub what: What,
    /// Share of the calls that it strikes.
    #[serde(default = "all")]
    pub share: f64,
    /// A wait that is told, milliseconds.
    #[serde(default = "wait")]
    pub wait_ms: i64,
    /// How much slower.
    #[serde(default = "factor")]
    pub factor: f64,
}

fn all() -> f64 {
    1.0
}
fn wait() -> i64 {
    1_000
}
fn factor() -> f64 {
    10.0
}

impl What {
    /// A destination that this strikes whole is out, and comes back cold.
    pub fn is_outage(self) -> bool {
        matches!(self, What::Refuse | What::Silent | What::Shut)
    }

    fn fits(self, target: Target) -> bool {
        use Target::{Destination, Destinations, Discovery, Dispatcher, Endpoint, Link, Peers};
        match self {
            What::Kill | What::Terminate | What::Crowd | What::Pause | What::Lose => {
                matches!(target, Dispatcher(_))
            }
            What::Lossy | What::Repeated | What::Delayed => matches!(target, Peers(..)),
            What::Cut => matches!(target, Link(_) | Peers(..)),
            What::Mute | What::Late | What::Unreadable => target == Discovery,
            What::Hang | What::OneWay => matches!(target, Link(_)),
            _ => matches!(target, Destinations | Destination(_) | Endpoint(..)),
        }
    }
}

impl Plan {
    /// The plan in a file.
    ///
    /// # Errors
    /// Where the file can't be read, is no plan, or asks for what can't be played.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Error::Unreadable(file.clone(), e))?;
        Self::parse(&file, &text)
    }

    /// The plan in a text that came from this file.
    ///
    /// # Errors
    /// As [`Plan::read`].
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let line = |at: usize| text[..at.min(text.len())].bytes().filter(|b| *b == b'\n').count() + 1;
        let wrong =
            |at: usize, reason: String| Error::Wrong { file: file.to_owned(), line: line(at), reason };
        let plan: Plan = toml::from_str(text)
            .map_err(|e| wrong(e.span().map_or(0, |s| s.start), e.message().replace('\n', " ")))?;
        // A section's or key's place in the text, for what is wrong with its value.
        let place = |section: &str, key: &str| {
            let from = if section.is_empty() { 0 } else { text.find(&format!("[{section}]")).unwrap_or(0) };
            let found = text[from..].lines().scan(from, |at, l| {
                let here = *at;
                *at += l.len() + 1;
                Some((here, l))
            });
            let mut found = found.filter(|(_, l)| l.split('=').next().is_some_and(|k| k.trim() == key));
            found.next().map_or(from, |(at, _)| at)
        };
        let checks: [(&str, &str, bool, &str); 14] = [
            ("", "seconds", plan.seconds > 0.0 && plan.seconds <= 3_600.0, "between 0 and 3,600"),
            ("dispatchers", "count", (1..=16).contains(&plan.dispatchers.count), "from 1 to 16"),
            (
                "dispatchers",
                "durability",
                ["process", "machine"].contains(&plan.dispatchers.durability.as_str()),
                "`process` or `machine`",
            ),
            (
                "load",
                "per_second",
                plan.load.per_second > 0.0 && plan.load.per_second <= 200_000.0,
                "between 0 and 200,000",
            ),
            (
                "load",
                "body",
                plan.load.body[0] <= plan.load.body[1] && plan.load.body[1] <= 65_536,
                "least and most, up to 65,536 bytes",
            ),
            ("load", "connections", (1..=10_000).contains(&plan.load.connections), "from 1 to 10,000"),
            ("load", "skew", (0.0..=4.0).contains(&plan.load.skew), "from 0 to 4"),
            (
                "load",
                "silent_per_second",
                (0.0..=1_000.0).contains(&plan.load.silent_per_second),
                "from 0 to 1,000",
            ),
            (
                "partners",
                "destinations",
                (1..=200_000).contains(&plan.partners.destinations),
                "from 1 to 200,000",
            ),
            ("partners", "endpoints", (1..=64).contains(&plan.partners.endpoints), "from 1 to 64"),
            (
                "partners",
                "latency_ms",
                (0.0..=60_000.0).contains(&plan.partners.latency_ms),
                "from 0 to 60,000",
            ),
            ("partners", "per_second", plan.partners.per_second >= 0.0, "0 or more"),
            ("service", "slots", (1..=100_000).contains(&plan.service.slots), "from 1 to 100,000"),
            ("service", "classes", !plan.service.classes.is_empty(), "at least one class"),
        ];
        for (section, key, good, must) in checks {
            if !good {
                let name = if section.is_empty() { key.to_owned() } else { format!("{section}.{key}") };
                return Err(wrong(place(section, key), format!("{name} must be {must}")));
            }
        }
        let all = plan.partners.destinations * plan.partners.endpoints * plan.dispatchers.count;
        if !plan.partners.shared && all > 4_096 {
            let reason = format!("{all} listeners are too many: set partners.shared = true");
            return Err(wrong(place("partners", "destinations"), reason));
        }
        for fault in &plan.faults {
            let (at, fault) = (fault.span().start, fault.get_ref());
            if let Some(reason) = plan.misfit(fault) {
                return Err(wrong(at, reason));
            }
        }
        Ok(plan)
    }

    fn misfit(&self, fault: &Fault) -> Option<String> {
        let Fault { target, what, .. } = fault;
        if !(fault.at >= 0.0 && fault.at < self.seconds) {
            return Some(format!(
                "a fault at {} is not within the {} seconds of the plan",
                fault.at, self.seconds
            ));
        }
        if !(fault.lasts > 0.0 && fault.lasts.is_finite()) {
            return Some("a fault lasts longer than 0 seconds".to_owned());
        }
        if !(fault.share > 0.0 && fault.share <= 1.0) {
            return Some(format!("share = {} is not above 0 and up to 1", fault.share));
        }
        if !what.fits(*target) {
            return Some(format!("{what:?} does not happen to {target}"));
        }
        let there = match *target {
            Target::Destination(n) => n < self.partners.destinations as u64,
            Target::Link(n) => self.partners.links && n < self.partners.destinations as u64,
            Target::Endpoint(n, e) => n < self.partners.destinations as u64 && e < self.partners.endpoints,
            Target::Dispatcher(n) => n < self.dispatchers.count,
            Target::Peers(from, to) => {
                let all = [from, to].into_iter().flatten().all(|n| n < self.dispatchers.count);
                all && self.dispatchers.peers && self.dispatchers.count > 1
            }
            Target::Destinations | Target::Discovery => true,
        };
        if !there {
            return Some(format!("there is no {target} in this plan"));
        }
        let one_listener = self.partners.shared && matches!(what, What::Refuse);
        one_listener
            .then(|| "with partners.shared no destination can refuse connections: use shut".to_owned())
    }
}
