//! Machines, functions, load and rule bounds by site size. The small and grown sizes have the proportions of
//! the users' lending sites.

use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use millpost_config::{Config, Limits, Route, Service, Traffic};
use snafu::Snafu;

use crate::{MS, SECOND, Time};

/// Size of the simulated site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// 6 edge machines, 158 functions.
    Small,
    /// 76 edge machines, 1,030 functions.
    Grown,
    /// 760 edge machines, 10,300 functions, a short day.
    Large,
}

/// The name matches no size.
#[derive(Debug, Snafu)]
#[snafu(display("size: {name:?} is none of small, grown, large"))]
pub struct UnknownSize {
    name: String,
}

impl FromStr for Size {
    type Err = UnknownSize;

    fn from_str(name: &str) -> Result<Self, UnknownSize> {
        match name {
            "small" => Ok(Size::Small),
            "grown" => Ok(Size::Grown),
            "large" => Ok(Size::Large),
            name => Err(UnknownSize { name: name.to_owned() }),
        }
    }
}

impl Size {
    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Size::Small => "small",
            Size::Grown => "grown",
            Size::Large => "large",
        }
    }
}

/// Bounds of the rules, from the users' site files.
pub struct Bounds {
    /// A machine counts as in contact after this time without disturbance.
    pub contact: Time,
    /// Minimum time before an address is reused.
    pub reuse: Time,
    /// Time for which requests may still reach a draining endpoint.
    pub drain: Time,
    /// Time within which a configuration must be applied everywhere.
    pub apply: Time,
    /// Time for which a machine may appear to act on an older configuration again.
    pub revert: Time,
    /// Allowed retries per request,
    pub ratio: f64,
    /// ... within this window,
    pub window: Time,
    /// ... plus this many.
    pub slack: f64,
    /// Time within which traffic must recover once the machines are back.
    pub recovery: Time,
    /// Tolerated refusals within 5 s per service.
    pub rejects: usize,
    /// Grace period from SIGTERM to the forced end.
    pub grace: Time,
    /// A request may lose its connection within this time after it was sent.
    pub loss: Time,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact: 4 * SECOND,
            reuse: 2 * SECOND,
            drain: 3 * SECOND,
            apply: 3 * SECOND,
            revert: 250 * MS,
            ratio: 0.2,
            window: 10 * SECOND,
            slack: 52.0,
            recovery: 12 * SECOND,
            rejects: 10,
            grace: 6 * SECOND,
            loss: 200 * MS,
        }
    }
}

/// A class of requests.
pub struct Class {
    /// First letter of its paths.
    pub letter: char,
    /// Whether it is idempotent.
    pub repeatable: bool,
    /// Target latency.
    pub target_latency: Time,
    /// Client timeout.
    pub deadline: Time,
    /// Mean processing time at an endpoint, in milliseconds.
    pub work_ms: f64,
    /// Maximum retries by the client.
    pub retries: u32,
    /// Sizes of request and response in bytes.
    pub bytes: (u64, u64),
    /// Probability that a run makes a nested call.
    pub nested_call_probability: f64,
}

/// Request classes of a site: two for busy functions, one for rare ones, and the nested calls of the first.
pub type Classes = [Class; 4];

/// Loans, holds, searches, and the nested calls of loans.
pub const LENDING: Classes = [
    Class {
        letter: 'l',
        repeatable: true,
        target_latency: 200 * MS,
        deadline: 1_500 * MS,
        work_ms: 45.0,
        retries: 2,
        bytes: (300, 600),
        nested_call_probability: 0.3,
    },
    Class {
        letter: 'h',
        repeatable: false,
        target_latency: 300 * MS,
        deadline: 1_500 * MS,
        work_ms: 68.0,
        retries: 2,
        bytes: (1_100, 600),
        nested_call_probability: 0.0,
    },
    Class {
        letter: 's',
        repeatable: true,
        target_latency: 600 * MS,
        deadline: 3_000 * MS,
        work_ms: 45.0,
        retries: 2,
        bytes: (300, 600),
        nested_call_probability: 0.0,
    },
    Class {
        letter: 'c',
        repeatable: true,
        target_latency: 200 * MS,
        deadline: 3_000 * MS,
        work_ms: 45.0,
        retries: 0,
        bytes: (300, 600),
        nested_call_probability: 0.0,
    },
];

/// Answers, marks, reports, and the nested calls of answers, with longer processing times and deadlines.
pub const HOMEWORK: Classes = [
    Class { target_latency: 300 * MS, deadline: 4_000 * MS, work_ms: 60.0, ..LENDING[0] },
    Class { target_latency: 400 * MS, deadline: 4_000 * MS, work_ms: 90.0, ..LENDING[1] },
    Class { target_latency: 1_500 * MS, deadline: 12_000 * MS, work_ms: 60.0, ..LENDING[2] },
    Class { target_latency: 300 * MS, deadline: 12_000 * MS, work_ms: 60.0, ..LENDING[3] },
];

/// Resources of a function: instance memory in MB, mean start-up time in milliseconds, and slots per
/// instance.
pub type Spec = (u64, u64, u32);

/// Topology and parameters of a site.
pub struct Site {
    /// Size the site was built for.
    pub size: Size,
    /// Request classes.
    pub classes: &'static Classes,
    /// Resources of a busy function and of a rare one.
    pub specs: [Spec; 2],
    /// Number of zones.
    pub zones: usize,
    /// The zone of each edge machine.
    pub edges: Vec<usize>,
    /// The zone of each core machine.
    pub cores: Vec<usize>,
    /// Zone and memory in MB of each worker.
    pub workers: Vec<(usize, u64)>,
    /// Number of busy functions, with 4 slots per instance,
    pub busy: usize,
    /// ... and of rare ones, with 1 slot.
    pub rare: usize,
    /// Client requests per second.
    pub per_s: f64,
    /// Time at which client traffic starts,
    pub lead: Time,
    /// ... and its duration.
    pub length: Time,
    /// Link bandwidth of an edge machine and of a core machine, in Mbit/s.
    pub mbps: (f64, f64),
    /// CPU share of an edge machine, as a fraction of one processor.
    pub processors: f64,
    /// Charges permit requests to the CPU of the owning proxy.
    pub charge_request_cpu: bool,
    /// Rate limits of the platform per second: list calls, and starts and stops.
    pub rates: (f64, f64),
    /// Maximum staleness of the platform's list, in milliseconds.
    pub lag_ms: u64,
    /// Entries per page of the list.
    pub page: usize,
    /// One-way latency between zones,
    pub far: Time,
    /// ... within a zone,
    pub near: Time,
    /// ... and between clients and proxies.
    pub client: Time,
    /// Maximum number of endpoints that one attempt may be sent to on routes that are not idempotent.
    pub unsafe_tries: u32,
    /// Bounds of the rules.
    pub bounds: Bounds,
}

/// Host name of all routes.
pub const HOST: &str = "h.example";

impl Site {
    /// The site of this size.
    pub fn new(size: Size) -> Self {
        let spread = |counts: [usize; 4]| -> Vec<usize> {
            counts.iter().enumerate().flat_map(|(zone, n)| std::iter::repeat_n(zone, *n)).collect()
        };
        let workers = |each: usize, memory: u64| {
            spread([each; 4]).into_iter().map(|zone| (zone, memory)).collect::<Vec<_>>()
        };
        let base = Site {
            size,
            classes: &LENDING,
            specs: [(512, 450, 4), (128, 300, 1)],
            zones: 4,
            edges: spread([2, 2, 1, 1]),
            cores: spread([1; 4]),
            workers: workers(3, 5_628),
            busy: 8,
            rare: 150,
            per_s: 300.0,
            lead: 6 * SECOND,
            length: 24 * SECOND,
            mbps: (1_000.0, 700.0),
            processors: 0.25,
            charge_request_cpu: false,
            rates: (26.0, 78.0),
            lag_ms: 800,
            page: 200,
            far: 900_000,
            near: 200_000,
            client: MS,
            unsafe_tries: 1,
            bounds: Bounds::default(),
        };
        match size {
            Size::Small => base,
            Size::Grown => Site {
                edges: spread([19, 19, 20, 18]),
                cores: spread([2; 4]),
                workers: workers(10, 6_664),
                busy: 30,
                rare: 1_000,
                per_s: 1_200.0,
                mbps: (2.0, 120.0),
                processors: 0.12,
                rates: (62.0, 220.0),
                ..base
            },
            Size::Large => Site {
                edges: spread([190, 190, 200, 180]),
                cores: spread([2; 4]),
                workers: workers(100, 6_664),
                busy: 300,
                rare: 10_000,
                per_s: 6_000.0,
                mbps: (20.0, 1_200.0),
                processors: 0.12,
                rates: (620.0, 2_200.0),
                lead: 8 * SECOND,
                length: 6 * SECOND,
                ..base
            },
        }
    }

    /// Divides the number of edge machines, workers, functions and the request rate by `part`.
    pub fn part(mut self, part: usize) -> Self {
        let part = part.max(1);
        let every = |at: &usize| at.is_multiple_of(part);
        self.edges = self.edges.iter().enumerate().filter(|(at, _)| every(at)).map(|(_, z)| *z).collect();
        self.workers = self.workers.iter().enumerate().filter(|(at, _)| every(at)).map(|(_, w)| *w).collect();
        (self.busy, self.rare) = ((self.busy / part).max(1), (self.rare / part).max(1));
        self.per_s /= part as f64;
        self
    }

    /// Gives each zone two core machines.
    #[must_use]
    pub fn with_core_pairs(mut self) -> Self {
        self.cores = (0..self.zones).flat_map(|zone| [zone; 2]).collect();
        self
    }

    /// Multiplies the duration of client traffic.
    #[must_use]
    pub fn lasting(mut self, times: u64) -> Self {
        self.length *= times.max(1);
        self
    }

    /// Name of the function with this index; busy functions come first.
    pub fn service(&self, at: usize) -> CompactString {
        if at < self.busy { format_compact!("b{at}") } else { format_compact!("f{}", at - self.busy) }
    }

    /// Index of the function with this name.
    pub fn number(&self, name: &str) -> Option<usize> {
        let at: usize = name.get(1..)?.parse().ok()?;
        if name.starts_with('b') { Some(at) } else { Some(self.busy + at) }
    }

    /// Uses the functions and request classes of the users' homework sites, and multiplies the load.
    #[must_use]
    pub fn homework(mut self, load: f64) -> Self {
        self.classes = &HOMEWORK;
        self.specs = [(1_024, 1_400, 8), (128, 900, 1)];
        self.workers.iter_mut().for_each(|(_, memory)| *memory = *memory * 5 / 4);
        self.per_s *= load;
        self
    }

    /// Resources of the function with this index.
    pub fn spec(&self, at: usize) -> Spec {
        self.specs[usize::from(at >= self.busy)]
    }

    /// A route for a request class to a function, under its own path prefix.
    pub fn route(&self, letter: char, number: usize, class: &Class, service: CompactString) -> Route {
        Route {
            name: format_compact!("{letter}{number}"),
            host: HOST.into(),
            path_prefix: format_compact!("/{letter}{number}/"),
            traffic: if class.repeatable { Traffic::Idempotent } else { Traffic::Mutating },
            deadline_ms: class.deadline / MS,
            target_latency_ms: class.target_latency / MS,
            priority: 2,
            max_tries: if class.repeatable { 2 } else { self.unsafe_tries },
            shares: vec![(service, 1)],
        }
    }

    /// The initial configuration, revision 1.
    pub fn config(&self) -> Config {
        let mut routes = Vec::new();
        for at in 0..self.busy {
            for class in [&self.classes[0], &self.classes[1], &self.classes[3]] {
                routes.push(self.route(class.letter, at, class, self.service(at)));
            }
        }
        for at in 0..self.rare {
            routes.push(self.route('s', at, &self.classes[2], self.service(self.busy + at)));
        }
        let services = (0..self.busy + self.rare).map(|at| {
            let (memory_mb, boot_ms, concurrency) = self.spec(at);
            Service {
                name: self.service(at),
                health_path: None,
                max_conns: if at < self.busy { 70 } else { 22 },
                protocol: "h1".into(),
                tls: false,
                memory_mb,
                boot_ms,
                concurrency,
            }
        });
        Config { revision: 1, services: services.collect(), routes, limits: Limits::default() }
    }
}
