//! Machines, functions, loads and bounds by size. The small and grown ones have the proportions of the users' lending sites.

use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use millpost_config::{Config, Limits, Route, Service, Traffic};
use snafu::Snafu;

use crate::{MS, SECOND, Time};

/// How large the site is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// 6 stalls, 158 functions.
    Small,
    /// 76 stalls, 1,030 functions.
    Grown,
    /// 760 stalls, 10,300 functions, a short day.
    Large,
}

/// No such size.
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
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Size::Small => "small",
            Size::Grown => "grown",
            Size::Large => "large",
        }
    }
}

/// Bounds of the rules, as the users' site files give them.
pub struct Bounds {
    /// In touch: without trouble for so long.
    pub contact: Time,
    /// An address may be used again after.
    pub reuse: Time,
    /// A request may come to a draining endpoint for so long.
    pub drain: Time,
    /// A configuration is in force everywhere after.
    pub apply: Time,
    /// A machine may look as if it went back for so long.
    pub revert: Time,
    /// Further tries.
    pub ratio: f64,
    /// ... within.
    pub window: Time,
    /// ... and beyond the ratio.
    pub slack: f64,
    /// Traffic flows again so long after the machines are back.
    pub recovery: Time,
    /// Refusals within 5 s that are forgiven.
    pub rejects: usize,
    /// From SIGTERM to the last moment.
    pub grace: Time,
    /// A request may be cut off so soon after it was sent.
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

/// A kind of request.
pub struct Class {
    /// Begins its paths.
    pub letter: char,
    /// It may run more than once.
    pub repeatable: bool,
    /// The time in which an answer earns its full worth.
    pub aim: Time,
    /// For how long its client waits.
    pub deadline: Time,
    /// Work of an endpoint, on average, in milliseconds.
    pub work_ms: f64,
    /// Tries after the first.
    pub retries: u32,
    /// Bytes of request and answer.
    pub bytes: (u64, u64),
    /// How often a run makes a call of its own.
    pub calls: f64,
}

/// Kinds of requests of a site: two to busy functions, one to rare ones, and the calls that the first makes.
pub type Classes = [Class; 4];

/// Loans, holds, searches, and the calls that loans make.
pub const LENDING: Classes = [
    Class {
        letter: 'l',
        repeatable: true,
        aim: 200 * MS,
        deadline: 1_500 * MS,
        work_ms: 45.0,
        retries: 2,
        bytes: (300, 600),
        calls: 0.3,
    },
    Class {
        letter: 'h',
        repeatable: false,
        aim: 300 * MS,
        deadline: 1_500 * MS,
        work_ms: 68.0,
        retries: 2,
        bytes: (1_100, 600),
        calls: 0.0,
    },
    Class {
        letter: 's',
        repeatable: true,
        aim: 600 * MS,
        deadline: 3_000 * MS,
        work_ms: 45.0,
        retries: 2,
        bytes: (300, 600),
        calls: 0.0,
    },
    Class {
        letter: 'c',
        repeatable: true,
        aim: 200 * MS,
        deadline: 3_000 * MS,
        work_ms: 45.0,
        retries: 0,
        bytes: (300, 600),
        calls: 0.0,
    },
];

/// Answers, marks, reports, and the calls that answers make: work and deadlines are longer.
pub const HOMEWORK: Classes = [
    Class { aim: 300 * MS, deadline: 4_000 * MS, work_ms: 60.0, ..LENDING[0] },
    Class { aim: 400 * MS, deadline: 4_000 * MS, work_ms: 90.0, ..LENDING[1] },
    Class { aim: 1_500 * MS, deadline: 12_000 * MS, work_ms: 60.0, ..LENDING[2] },
    Class { aim: 300 * MS, deadline: 12_000 * MS, work_ms: 60.0, ..LENDING[3] },
];

/// What a function takes: megabytes of an instance, the mean time of its start in milliseconds, and slots.
pub type Spec = (u64, u64, u32);

/// Where everything stands and how much there is of it.
pub struct Site {
    /// Its size.
    pub size: Size,
    /// Its kinds of requests.
    pub classes: &'static Classes,
    /// What a busy function takes, and a rare one.
    pub specs: [Spec; 2],
    /// Zones.
    pub zones: usize,
    /// The zone of each edge machine.
    pub edges: Vec<usize>,
    /// The zone of each core machine.
    pub cores: Vec<usize>,
    /// The zone of each worker, and its memory.
    pub workers: Vec<(usize, u64)>,
    /// Busy functions, with 4 slots,
    pub busy: usize,
    /// ... and rare ones, with 1.
    pub rare: usize,
    /// Requests a second.
    pub per_s: f64,
    /// When clients begin,
    pub lead: Time,
    /// ... and for how long they come.
    pub length: Time,
    /// Megabits a second of an edge machine's link, and of a core machine's.
    pub mbps: (f64, f64),
    /// Processors of an edge machine, as a share of one.
    pub processors: f64,
    /// Asks take of their owner's processor.
    pub charge_request_cpu: bool,
    /// Calls for lists that the platform takes a second, and starts and stops.
    pub rates: (f64, f64),
    /// How far the list lags.
    pub lag_ms: u64,
    /// Entries on a page of the list.
    pub page: usize,
    /// One way between zones,
    pub far: Time,
    /// ... inside one,
    pub near: Time,
    /// ... and from clients.
    pub client: Time,
    /// The bounds of the rules.
    pub bounds: Bounds,
}

/// The host of all routes.
pub const HOST: &str = "h.example";

impl Site {
    /// A site of this size.
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

    /// The same site with a part of its stalls, workers, functions and clients.
    pub fn part(mut self, part: usize) -> Self {
        let part = part.max(1);
        let every = |at: &usize| at.is_multiple_of(part);
        self.edges = self.edges.iter().enumerate().filter(|(at, _)| every(at)).map(|(_, z)| *z).collect();
        self.workers = self.workers.iter().enumerate().filter(|(at, _)| every(at)).map(|(_, w)| *w).collect();
        (self.busy, self.rare) = ((self.busy / part).max(1), (self.rare / part).max(1));
        self.per_s /= part as f64;
        self
    }

    /// The same for so many times as long.
    #[must_use]
    pub fn lasting(mut self, times: u64) -> Self {
        self.length *= times.max(1);
        self
    }

    /// The name of a function: the busy ones come first.
    pub fn service(&self, at: usize) -> CompactString {
        if at < self.busy { format_compact!("b{at}") } else { format_compact!("f{}", at - self.busy) }
    }

    /// Which function this is.
    pub fn number(&self, name: &str) -> Option<usize> {
        let at: usize = name.get(1..)?.parse().ok()?;
        if name.starts_with('b') { Some(at) } else { Some(self.busy + at) }
    }

    /// The same machines with the functions and requests of the users' homework sites, and so many times the load.
    #[must_use]
    pub fn homework(mut self, load: f64) -> Self {
        self.classes = &HOMEWORK;
        self.specs = [(1_024, 1_400, 8), (128, 900, 1)];
        self.workers.iter_mut().for_each(|(_, memory)| *memory = *memory * 5 / 4);
        self.per_s *= load;
        self
    }

    /// What a function takes.
    pub fn spec(&self, at: usize) -> Spec {
        self.specs[usize::from(at >= self.busy)]
    }

    /// A route for a class of requests to a function, under a path of its own.
    pub fn route(&self, letter: char, number: usize, class: &Class, service: CompactString) -> Route {
        Route {
            name: format_compact!("{letter}{number}"),
            host: HOST.into(),
            path_prefix: format_compact!("/{letter}{number}/"),
            traffic: if class.repeatable { Traffic::Idempotent } else { Traffic::Mutating },
            deadline_ms: class.deadline / MS,
            target_latency_ms: class.aim / MS,
            priority: 2,
            max_tries: if class.repeatable { 2 } else { 1 },
            shares: vec![(service, 1)],
        }
    }

    /// The first configuration.
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
