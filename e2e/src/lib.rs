//! The whole system on loopback: the platform and its workers, the functions, the operator and the clients are
//! stand-ins; `proxy`, `agent` and `controller` are the real programs, each a process with the address of its machine.
//!
//! What is played is a library: `loans` and `holds` may run once for each try, `searches` may be repeated; a loan can be
//! made to search through the system before it answers.

pub mod programs;
pub mod soak;
mod still;

pub use still::fairly;

use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use millpost_standins::cluster::auditor::Auditor;
use millpost_standins::cluster::client::{Clients, Door, Order, Outcome};
use millpost_standins::cluster::fleet::Fleet;
use millpost_standins::cluster::function::{EndpointBehaviour, Nested};
use millpost_standins::cluster::message::{exchange, request};
use millpost_standins::cluster::operator::Operator;
use millpost_standins::cluster::platform::{self, Platform};
use millpost_standins::cluster::settings::{
    self, Bounds, Class, Configuration, Deployment, Function, Kind, Limits, Machine, Route,
};
use serde_json::Value;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{interval, sleep, timeout};

/// Everything that is waited for comes within this.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The library's configuration: a route for each of its three functions.
pub fn library(revision: u64) -> Configuration {
    let route = |name, service, kind| Route {
        deadline_ms: 8_000,
        target_latency_ms: 2_000,
        ..Route::new(name, service, kind)
    };
    Configuration {
        revision,
        routes: vec![
            route("loans", "loan-desk", Kind::Mutating),
            route("holds", "hold-shelf", Kind::Mutating),
            route("searches", "catalogue", Kind::Idempotent),
        ],
        services: vec![
            Function::new("loan-desk", 4, 300),
            Function::new("hold-shelf", 1, 200),
            Function::new("catalogue", 8, 250),
        ],
        limits: Limits::default(),
    }
}

/// A request on one of the library's routes. It is tried for longer than the front takes to see that a machine is gone.
pub fn order(route: &str) -> Order {
    Order { further: 8, ..Order::on(library(0).named(route)) }
}

/// Waits until there is something to give back, and gives it.
///
/// # Panics
/// Where there is nothing within [`TIMEOUT`].
pub async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(began.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// The steward, as control tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderInfo {
    /// The number of its machine.
    pub machine: usize,
    /// Its fence.
    pub fence: u64,
}

/// The system and all round it. The processes end with it.
pub struct TestCluster {
    /// What everybody notes.
    pub auditor: Auditor,
    /// The platform, with two workers in each zone.
    pub platform: Platform,
    /// The system's processes: one edge and one core machine in each of three zones.
    pub fleet: Fleet,
    /// The clients, and the front that deals them out.
    pub clients: Arc<Clients>,
    /// The operator.
    pub operator: Operator,
}

impl TestCluster {
    /// Starts everything, with nothing configured yet.
    ///
    /// # Panics
    /// Where something can't be built or started.
    pub async fn open(bounds: Bounds) -> Self {
        Self::open_with(bounds, 1).await
    }

    /// The same with so many edge machines in each zone.
    ///
    /// # Panics
    /// Where something can't be built or started.
    pub async fn open_with(bounds: Bounds, edges: usize) -> Self {
        // The first build takes minutes, and others wait for it.
        let programs =
            tokio::task::spawn_blocking(programs::programs).await.expect("it ends").expect("programs");
        let auditor = Auditor::new(bounds.clone());
        let mut shape =
            settings::Shape { bounds, edges, ..settings::Shape::small(([127, 0, 0, 1], 1).into()) };
        // Small pages, so that the list has several.
        let workers = platform::Shape { page: 4, ..platform::Shape::small(&shape.zones, 2) };
        let platform = Platform::start(workers, &library(0), auditor.clone()).await.expect("a platform");
        shape.platform = platform.address;
        let deployment = Deployment::new(shape).expect("addresses");
        let clients = Clients::of(auditor.clone(), &deployment);
        let operator = Operator::new(deployment.controls(), auditor.clone());
        let fleet = Fleet::start(deployment, &programs).expect("processes");
        tokio::spawn(clients.clone().watch());
        TestCluster { auditor, platform, fleet, clients, operator }
    }

    /// The same, with the library's configuration in force on all edge machines.
    ///
    /// # Panics
    /// Where that takes too long.
    pub async fn open_library() -> Self {
        let mut cluster = Self::open(Bounds::default()).await;
        cluster.put(&library(1)).await;
        cluster.is_ready().await;
        cluster
    }

    /// Waits until all edge machines that run are ready for clients.
    ///
    /// # Panics
    /// Where that takes too long.
    pub async fn is_ready(&mut self) {
        assert!(self.fleet.ready(TIMEOUT).await, "not within {TIMEOUT:?}: all edge machines are ready");
    }

    /// The operator puts a configuration, and it is acknowledged; by whom.
    ///
    /// # Panics
    /// Where it is not.
    pub async fn put(&self, configuration: &Configuration) -> usize {
        let done = self.operator.replace(configuration, TIMEOUT).await;
        assert!(done.acknowledged(), "revision {}: {:?}", configuration.revision, done.tries);
        let by = done.by.expect("somebody acknowledged");
        let machines = &self.fleet.deployment.machines;
        machines.iter().position(|m| m.control() == by).expect("a core machine")
    }

    /// What a core machine says of how things stand, if it answers.
    pub async fn status(&self, machine: usize) -> Option<Value> {
        let control = self.fleet.deployment.machines[machine].control();
        let bytes = request("GET", "x", "/core", &[("Connection", "close")], b"", false);
        let answer = exchange(control, &bytes, Duration::from_millis(500)).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Waits until a core machine holds the steward's duty under a fence above this one.
    ///
    /// # Panics
    /// Where none does in time.
    pub async fn leader(&self, above: u64) -> LeaderInfo {
        until("a steward", async || {
            for machine in self.fleet.deployment.of(Class::Core) {
                let Some(status) = self.status(machine).await else { continue };
                let fence = status["fence"].as_u64().unwrap_or(0);
                if status["is_steward"] == true && fence > above {
                    return Some(LeaderInfo { machine, fence });
                }
            }
            None
        })
        .await
    }

    /// Waits until every edge machine acts on this revision, as the steward hears it.
    ///
    /// # Panics
    /// Where that takes too long.
    pub async fn in_force(&self, revision: u64) {
        until("all edge machines act on the revision", async || {
            let leader = self.leader(0).await;
            let status = self.status(leader.machine).await?;
            let edges = self.fleet.deployment.of(Class::Edge);
            let name = |n: &usize| self.fleet.deployment.machines[*n].name.as_str();
            edges.iter().all(|n| status["followers_act_on"][name(n)] == revision).then_some(())
        })
        .await;
    }

    /// The fences that starts and stops were asked for under, each once in its turn.
    pub fn fences(&self) -> Vec<Option<u64>> {
        let duties = self.platform.calls().into_iter().filter(|c| c.what.starts_with("POST"));
        let mut fences: Vec<_> = duties.map(|c| c.fence).collect();
        fences.dedup();
        fences
    }

    /// Requests of the library come `rate` times a second from now on, answered or not.
    pub fn load(&self, rate: f64) -> Load {
        let (clients, over, served) =
            (self.clients.clone(), Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let (told, count) = (over.clone(), served.clone());
        let task = tokio::spawn(async move {
            let (mut sent, mut beat) = (JoinSet::new(), interval(Duration::from_secs_f64(1.0 / rate)));
            for n in 0_usize.. {
                beat.tick().await;
                if told.load(Ordering::Relaxed) {
                    break;
                }
                let (clients, count) = (clients.clone(), count.clone());
                let order = order(
                    ["searches", "loans", "searches", "searches", "holds", "loans", "searches", "searches"]
                        [n % 8],
                );
                sent.spawn(async move {
                    let outcome = clients.send(n as u64, &order).await;
                    count.fetch_add(outcome.served().into(), Ordering::Relaxed);
                    (order, outcome)
                });
            }
            sent.join_all().await
        });
        Load { over, served, task }
    }

    /// Clients of one edge machine only.
    pub fn clients_of(&self, edge: usize) -> Arc<Clients> {
        let m = self.edge(edge);
        Clients::new(self.auditor.clone(), vec![Door::new(m.front(), m.readiness(), &m.zone)])
    }

    /// An operator who knows one core machine only.
    pub fn operator_at(&self, machine: usize) -> Operator {
        Operator::new(vec![self.fleet.deployment.machines[machine].control()], self.auditor.clone())
    }

    /// The edge machine of this number among them.
    pub fn edge(&self, edge: usize) -> &Machine {
        let deployment = &self.fleet.deployment;
        &deployment.machines[deployment.of(Class::Edge)[edge]]
    }

    /// Every loan searches the catalogue through this edge machine before it is answered.
    pub fn loans_search_through(&self, edge: usize) {
        let (search, front) = (order("searches"), self.edge(edge).front());
        let nested =
            Nested { front, method: search.method, host: search.host, path: search.path, share: 1.0 };
        self.platform
            .behave("loan-desk", &EndpointBehaviour { nested: Some(nested), ..EndpointBehaviour::default() });
    }

    /// Every process is told to end, and has ended; how.
    ///
    /// # Panics
    /// Where one stays.
    pub async fn close(&mut self) -> Vec<(String, ExitStatus)> {
        self.fleet.processes.iter_mut().for_each(|p| p.terminate());
        let all = self.fleet.processes.len();
        until("all processes have ended", async || {
            let ended = self.fleet.ended();
            (ended.len() == all).then_some(ended)
        })
        .await
    }
}

/// Requests that come until it is told to end.
pub struct Load {
    over: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    task: JoinHandle<Vec<(Order, Outcome)>>,
}

impl Load {
    /// Waits until so many more have been served.
    ///
    /// # Panics
    /// Where that takes too long.
    pub async fn serves(&self, more: u64) {
        let served = || self.served.load(Ordering::Relaxed);
        let from = served();
        until("more requests are served", async || (served() >= from + more).then_some(())).await;
    }

    /// No more come; what became of each.
    ///
    /// # Panics
    /// Where that is not known in time.
    pub async fn end(self) -> Vec<(Order, Outcome)> {
        self.over.store(true, Ordering::Relaxed);
        timeout(TIMEOUT, self.task).await.expect("each request has its outcome").expect("no panic")
    }
}
