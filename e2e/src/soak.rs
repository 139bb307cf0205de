//! A soak of real processes: a schedule of signals, restarts and changes that overlap, clients that keep their connections to the end,
//! and one verdict on what clients, endpoints and platform saw.

pub mod judge;
pub mod kept;
pub mod schedule;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use millpost_standins::cluster::auditor::{Broken, Verdict as Audit};
use millpost_standins::cluster::client::Order;
use millpost_standins::cluster::function::EndpointBehaviour;
use millpost_standins::cluster::operator::Operator;
use millpost_standins::cluster::settings::{Bounds, Class, Configuration, Function, Kind, Role, Route};
use millpost_standins::link::LinkConditions;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::{TIMEOUT, TestCluster, library};
use judge::{Seen, Terms, Verdict};
use kept::Kept;
use schedule::{Act, Due, Part, Size};

/// How often what is due is looked for.
const STEP: Duration = Duration::from_millis(20);
/// A process that has ended is started again after this.
const RESTART: Duration = Duration::from_millis(300);
/// A worker that was emptied takes endpoints again after this.
const WORKER_BACK: Duration = Duration::from_secs(6);
/// Rare functions beside those of the library.
const RARE: usize = 120;
/// A service that changes drop and bring back.
const TOGGLED: &str = "reading-room";

/// What is soaked.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The schedule's and the clients' seed.
    pub seed: u64,
    /// For how long.
    pub lasts: Duration,
    /// Edge machines in each of three zones; there is one core machine in each.
    pub edges: usize,
    /// Clients with a connection each.
    pub clients: usize,
    /// Processes are killed and frozen too.
    pub unplanned: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Report {
    /// Tries of requests by verdict, as text.
    pub tries: BTreeMap<String, usize>,
    /// Answers by status.
    pub answers: BTreeMap<u16, usize>,
    /// Requests that endpoints turned away as full.
    pub turned_away: usize,
    /// Things that were done.
    pub acts: usize,
    /// Processes at once.
    pub processes: usize,
    /// Their memory at its most, in megabytes.
    pub memory_mb: u64,
    /// Rules that were broken.
    pub broken: Vec<String>,
}

impl Report {
    /// One line, and one for each broken rule.
    pub fn to_text(&self, seed: u64) -> String {
        let mut text = format!(
            "seed {seed}: {} acts, {} processes, {} MB, tries {:?}, answers {:?}, {} turned away, {}\n",
            self.acts,
            self.processes,
            self.memory_mb,
            self.tries,
            self.answers,
            self.turned_away,
            if self.broken.is_empty() { "no rule broken" } else { "BROKEN" },
        );
        for broken in &self.broken {
            let _ = writeln!(text, "  {broken}");
        }
        text
    }
}

/// The library with rare functions of one slot, and with the toggled one or without.
fn configuration(revision: u64, toggled: bool) -> Configuration {
    let mut all = library(revision);
    for n in 0..RARE {
        let name = format!("rare-{n}");
        all.services.push(Function::new(&name, 1, 600));
        let route = Route::new(&name, &name, Kind::Idempotent);
        all.routes.push(Route { deadline_ms: 12_000, target_latency_ms: 1_500, ..route });
    }
    if toggled {
        all.services.push(Function::new(TOGGLED, 2, 300));
        all.routes.push(Route::new(TOGGLED, TOGGLED, Kind::Mutating));
    }
    // Time-outs turn with each revision, so that each differs from the one before.
    all.routes.iter_mut().for_each(|route| route.deadline_ms += revision % 7);
    all
}

/// Plays a soak to its end. Logs of all processes are left in `keep`, where a rule broke.
pub async fn soak(setup: Setup, keep: Option<&Path>) -> Report {
    let mut cluster = TestCluster::open_with(Bounds::default(), setup.edges).await;
    let every = configuration(1, true);
    cluster.platform.knows(&every);
    for service in &every.services {
        let busy = library(0).services.iter().any(|function| function.name == service.name);
        let work = Duration::from_millis(if busy { 250 } else { 60 });
        let manner = EndpointBehaviour { work, spread: 0.5, ..EndpointBehaviour::default() };
        cluster.platform.behave(&service.name, &manner);
    }
    cluster.put(&every).await;
    cluster.is_ready().await;
    let over = Arc::<AtomicBool>::default();
    let (common, rare) = every.routes.split_at(library(0).routes.len());
    let orders = |of: &[Route]| of.iter().map(Order::on).collect::<Vec<_>>();
    let mut clients = JoinSet::new();
    for n in 0..setup.clients {
        let kept = Kept {
            clients: cluster.clients.clone(),
            common: orders(common),
            rare: orders(rare),
            over: over.clone(),
        };
        clients.spawn(kept.run(setup.seed ^ (n as u64 + 1) << 32));
    }
    let mut run = Run::begin(&cluster, setup);
    run.play(&mut cluster).await;
    over.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = clients.join_all().await.into_iter().flatten().collect();
    cluster.clients.hang_up();
    let report = run.judge(&cluster, &seen).await;
    if let Some(folder) = keep.filter(|_| !report.broken.is_empty()) {
        keep_logs(&cluster, &folder.join(format!("seed-{}", setup.seed)));
    }
    report
}

fn keep_logs(cluster: &TestCluster, to: &Path) {
    if std::fs::create_dir_all(to).is_err() {
        return;
    }
    for process in &cluster.fleet.processes {
        if let Some(name) = process.log.file_name() {
            let _ = std::fs::copy(&process.log, to.join(name));
        }
    }
}

/// A soak that is under way.
struct Run {
    setup: Setup,
    schedule: Vec<Due>,
    orders: mpsc::UnboundedSender<Configuration>,
    refused: Arc<std::sync::Mutex<Vec<String>>>,
    revision: u64,
    toggled: bool,
    /// Processes that have ended, and when they are started again.
    restarts: Vec<(Instant, usize, Role)>,
    thaws: Vec<(Instant, usize, Role)>,
    workers_back: Vec<(Instant, String)>,
    platform_back: Option<Instant>,
    trouble: Vec<(usize, std::ops::Range<Duration>)>,
    report: Report,
}

impl Run {
    fn begin(cluster: &TestCluster, setup: Setup) -> Self {
        let deployment = &cluster.fleet.deployment;
        let (edges, cores) = (deployment.of(Class::Edge).len(), deployment.of(Class::Core).len());
        let size = Size { edges, cores, workers: 2 * deployment.shape.zones.len() };
        let schedule = schedule::draw(setup.seed, setup.lasts, size, setup.unplanned);
        let (orders, coming) = mpsc::unbounded_channel();
        let refused = Arc::<std::sync::Mutex<Vec<String>>>::default();
        let operator = Operator::new(deployment.controls(), cluster.auditor.clone());
        tokio::spawn(operate(operator, coming, refused.clone()));
        let processes = cluster.fleet.processes.len();
        Run {
            setup,
            schedule,
            orders,
            refused,
            revision: 1,
            toggled: true,
            restarts: Vec::new(),
            thaws: Vec::new(),
            workers_back: Vec::new(),
            platform_back: None,
            trouble: Vec::new(),
            report: Report { processes, ..Report::default() },
        }
    }

    async fn play(&mut self, cluster: &mut TestCluster) {
        let began = Instant::now();
        let mut due = self.schedule.clone().into_iter().peekable();
        while began.elapsed() < self.setup.lasts {
            while let Some(next) = due.next_if(|next| next.at <= began.elapsed()) {
                self.report.acts += 1;
                self.act(cluster, next.act);
            }
            self.look_after(cluster);
            sleep(STEP).await;
        }
    }

    /// Starts again what has ended, wakes what was frozen, lets workers back.
    fn look_after(&mut self, cluster: &mut TestCluster) {
        let now = Instant::now();
        for at in 0..cluster.fleet.processes.len() {
            let process = &mut cluster.fleet.processes[at];
            let (machine, role) = (process.machine, process.role);
            let waits = self.restarts.iter().any(|(_, m, r)| (*m, *r) == (machine, role));
            if waits || process.runs() {
                continue;
            }
            if let Some(status) = process.ended().filter(|status| !status.success()) {
                self.report.broken.push(format!("{} of machine {machine} ended with {status}", role.name()));
            }
            self.restarts.push((now + RESTART, machine, role));
        }
        for (_, machine, role) in self.restarts.extract_if(.., |(at, ..)| *at <= now) {
            if let Err(e) = cluster.fleet.restart(machine, role) {
                self.report.broken.push(format!("{} of machine {machine} can't start: {e}", role.name()));
            }
        }
        for (_, machine, role) in self.thaws.extract_if(.., |(at, ..)| *at <= now) {
            let at = cluster.fleet.at(machine, role);
            cluster.fleet.processes[at].thaw();
        }
        if self.platform_back.take_if(|at| *at <= now).is_some() {
            cluster.platform.weather(LinkConditions::Clear);
        }
        for (_, worker) in self.workers_back.extract_if(.., |(at, _)| *at <= now) {
            cluster.platform.worker_is_back(&worker);
        }
        self.report.memory_mb = self.report.memory_mb.max(memory_mb(cluster));
    }

    fn act(&mut self, cluster: &mut TestCluster, act: Act) {
        let edge = |n: usize| cluster.fleet.deployment.of(Class::Edge)[n];
        match act {
            Act::EndEdge(n) => {
                let machine = edge(n);
                cluster.fleet.on(machine).for_each(|process| process.terminate());
            }
            Act::EndCore(n) => cluster.fleet.nth(Role::Controller, n).terminate(),
            Act::HangUpEdge(n) => {
                let machine = edge(n);
                cluster.fleet.on(machine).for_each(|process| process.hang_up());
            }
            Act::Change | Act::Toggle => {
                self.toggled ^= act == Act::Toggle;
                self.revision += 1;
                let _ = self.orders.send(configuration(self.revision, self.toggled));
            }
            Act::Drain(n) => {
                let worker = format!("w-{}", n + 1);
                cluster.platform.drain_worker(&worker);
                self.workers_back.push((Instant::now() + WORKER_BACK, worker));
            }
            Act::Platform(lasts) => {
                cluster.platform.weather(LinkConditions::Hang);
                self.platform_back = Some(Instant::now() + lasts);
            }
            Act::Kill(n, part) => {
                self.strikes(cluster, n, Duration::from_secs(1));
                cluster.fleet.nth(role(part), n).kill();
            }
            Act::Freeze(n, part, lasts) => {
                self.strikes(cluster, n, lasts);
                let machine = edge(n);
                cluster.fleet.nth(role(part), n).freeze();
                self.thaws.push((Instant::now() + lasts, machine, role(part)));
            }
        }
    }

    /// Unplanned trouble at an edge machine.
    fn strikes(&mut self, cluster: &TestCluster, edge: usize, lasts: Duration) {
        let now = cluster.auditor.now();
        self.trouble.push((edge, now..now + lasts));
        cluster.auditor.trouble(now..now + lasts);
    }

    /// All rules, over all that was seen.
    async fn judge(mut self, cluster: &TestCluster, seen: &[Seen]) -> Report {
        let bounds = cluster.auditor.bounds();
        let contact = Duration::from_millis(bounds.contact_ms);
        let slack = Duration::from_millis(bounds.loss_slack_ms);
        let terms = Terms { slack, trouble: std::mem::take(&mut self.trouble), contact };
        for one in seen {
            let verdict = terms.judge(one);
            *self.report.tries.entry(format!("{verdict:?}")).or_default() += 1;
            if let judge::End::Answer(status) = one.end {
                *self.report.answers.entry(status).or_default() += 1;
            }
            if matches!(verdict, Verdict::Lost | Verdict::Held) {
                self.report.broken.push(format!("{verdict:?}: {one:?}"));
            }
        }
        let audit: Audit = cluster.auditor.verdict();
        self.report.turned_away = audit.full;
        self.report.broken.extend(audit.broken.iter().map(Broken::to_string));
        self.report.broken.extend(self.refused.lock().unwrap_or_else(|e| e.into_inner()).drain(..));
        if audit.served * 10 < seen.len() * 7 {
            self.report.broken.push(format!("only {} of {} were served", audit.served, seen.len()));
        }
        self.report
    }
}

fn role(part: Part) -> Role {
    match part {
        Part::Proxy => Role::Proxy,
        Part::Agent => Role::Agent,
    }
}

/// Puts configurations one after the other, as they come; each is acknowledged.
async fn operate(
    operator: Operator,
    mut coming: mpsc::UnboundedReceiver<Configuration>,
    refused: Arc<std::sync::Mutex<Vec<String>>>,
) {
    while let Some(configuration) = coming.recv().await {
        let done = operator.replace(&configuration, TIMEOUT).await;
        if !done.acknowledged() {
            let what = format!("revision {} is not acknowledged: {:?}", configuration.revision, done.tries);
            refused.lock().unwrap_or_else(|e| e.into_inner()).push(what);
        }
    }
}

/// What all processes take now.
fn memory_mb(cluster: &TestCluster) -> u64 {
    let of = |pid: u32| -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    cluster.fleet.processes.iter().filter_map(|p| of(p.pid()?)).sum::<u64>() / 1_024
}
