//! What the system's programs cost: processor time, wakes and memory, at rest and under load, on loopback:
//! `cargo run --profile market -p millpost-standins --example cluster -- target/market [edges] [routes] [rate] [seconds]`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use millpost_standins::cluster::auditor::Auditor;
use millpost_standins::cluster::client::{Clients, Order};
use millpost_standins::cluster::fleet::{Fleet, Programs};
use millpost_standins::cluster::function::EndpointBehaviour;
use millpost_standins::cluster::operator::Operator;
use millpost_standins::cluster::platform::{Platform, Shape};
use millpost_standins::cluster::settings::{
    Bounds, Class, Configuration, Deployment, Function, Kind, Role, Route, Shape as Site,
};
use tokio::time::sleep;

/// At rest for so long, and before it until all has settled.
const REST: Duration = Duration::from_secs(6);

/// What a process has taken so far.
#[derive(Clone, Copy, Default)]
struct Taken {
    cpu: Duration,
    wakes: u64,
    peak_kb: u64,
}

fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.trim_matches([':', '\t', ' ', 'k', 'B']).parse().ok()).unwrap_or(0)
}

fn taken(pid: u32) -> Taken {
    let mut taken = Taken::default();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    taken.peak_kb = field(&status, "VmHWM");
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let read = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        taken.wakes += field(&read("status"), "voluntary_ctxt_switches");
        let ns = read("schedstat").split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        taken.cpu += Duration::from_nanos(ns);
    }
    taken
}

fn all(fleet: &Fleet) -> Vec<Taken> {
    fleet.processes.iter().map(|p| p.pid().map(taken).unwrap_or_default()).collect()
}

/// Which configuration: `routes` functions of which a few are asked for.
fn configuration(routes: usize) -> Configuration {
    let mut configuration = Configuration::small(1);
    for n in 0..routes.saturating_sub(4) {
        let name = format!("made{n:04}x");
        let function = Function::new(&name, 1 + n % 8, 300);
        configuration.services.push(function);
        configuration.routes.push(Route::new(&format!("way{n}"), &name, Kind::Idempotent));
    }
    configuration
}

fn tell(title: &str, fleet: &Fleet, from: &[Taken], lasted: Duration, requests: u64) {
    println!("{title}, {:.1} s, {requests} requests", lasted.as_secs_f64());
    for (process, (from, to)) in fleet.processes.iter().zip(from.iter().zip(all(fleet))) {
        let machine = &fleet.deployment.machines[process.machine].name;
        let cpu = (to.cpu - from.cpu).as_secs_f64();
        println!(
            "  {:14} {:7} {:7.4} of a core {:7.1} wakes/s {:8.1} us a request; at most {:5.1} MB",
            machine,
            process.role.name(),
            cpu / lasted.as_secs_f64(),
            (to.wakes - from.wakes) as f64 / lasted.as_secs_f64(),
            cpu * 1e6 / requests.max(1) as f64,
            to.peak_kb as f64 / 1_024.0,
        );
    }
    let stalls =
        fleet.processes.iter().zip(from.iter().zip(all(fleet))).filter(|(p, _)| p.role == Role::Proxy);
    let cpu: f64 = stalls.map(|(_, (from, to))| (to.cpu - from.cpu).as_secs_f64()).sum();
    println!(
        "  all stalls     {:7.4} of a core, {:.1} us a request",
        cpu / lasted.as_secs_f64(),
        cpu * 1e6 / requests.max(1) as f64
    );
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().expect("the folder of the programs"));
    let mut number = |or: usize| arguments.next().and_then(|n| n.parse().ok()).unwrap_or(or);
    let (edges, routes, rate, seconds) = (number(2), number(1_030), number(200), number(10));
    let zones = vec!["ikeja".to_owned()];
    let configuration = configuration(routes);
    let auditor = Auditor::new(Bounds::default());
    auditor.configured(&configuration);
    let shape = Shape::small(&zones, 16);
    let platform = Platform::start(shape, &configuration, auditor.clone()).await.expect("a platform");
    let site = Site { zones, edges, cores: 1, machine_losses: 0, ..Site::small(platform.address) };
    let deployment = Deployment::new(site).expect("a deployment");
    let operator = Operator::new(deployment.controls(), auditor.clone());
    let clients = Clients::of(auditor.clone(), &deployment);
    let mut fleet = Fleet::start(deployment, &Programs::of(&folder)).expect("a fleet");
    sleep(Duration::from_secs(2)).await;
    let from = all(&fleet);
    let began = Instant::now();
    sleep(Duration::from_secs(2)).await;
    tell("no configuration yet", &fleet, &from, began.elapsed(), 0);
    let done = operator.replace(&configuration, Duration::from_secs(20)).await;
    assert!(done.acknowledged(), "{done:?}");
    println!("configuration of {} bytes", configuration.text().len());
    assert!(fleet.ready(Duration::from_secs(20)).await, "ready");
    // What stands by at the start goes after 20 s.
    sleep(Duration::from_secs(25)).await;
    println!("{} endpoints", platform.starts().iter().filter(|(.., ended)| ended.is_none()).count());
    let (from, began) = (all(&fleet), Instant::now());
    sleep(REST).await;
    tell("at rest", &fleet, &from, began.elapsed(), 0);
    if let Some(hold) = std::env::var_os("COST_HOLD") {
        // For a look from outside.
        println!("{:?}", fleet.processes.iter().map(|p| (p.role, p.pid())).collect::<Vec<_>>());
        let secs = hold.to_string_lossy().parse().unwrap_or(30);
        sleep(Duration::from_secs(secs)).await;
    }

    let look = Order::on(configuration.named("look"));
    let order = Order::on(configuration.named("order"));
    let watch = Order::on(configuration.named("watch"));
    platform.behave(
        "huvo11a",
        &EndpointBehaviour { work: Duration::from_millis(40), ..EndpointBehaviour::default() },
    );
    platform.behave(
        "wuno96b",
        &EndpointBehaviour { work: Duration::from_millis(40), ..EndpointBehaviour::default() },
    );
    let mut mix = vec![(look, 0.4), (order, 0.15), (watch, 0.15)];
    // The rest goes to many that are asked for now and then.
    let ways = configuration.routes.iter().filter(|r| r.name.starts_with("r-way")).take(60);
    mix.extend(ways.map(|route| (Order::on(route), 0.005)));
    clients.run(rate as f64, Duration::from_secs(4), &mix, 1).await;
    let (from, began) = (all(&fleet), Instant::now());
    let before = clients.seen.offered.load(std::sync::atomic::Ordering::Relaxed);
    clients.run(rate as f64, Duration::from_secs(seconds as u64), &mix, 2).await;
    let requests = clients.seen.offered.load(std::sync::atomic::Ordering::Relaxed) - before;
    tell("under load", &fleet, &from, began.elapsed(), requests);
    println!(
        "served {:.4}, p50 {:?}, p99 {:?}; {} endpoints",
        clients.seen.served_share(),
        clients.seen.within(0.5),
        clients.seen.within(0.99),
        platform.endpoints("huvo11a").len() + platform.endpoints("wuno96b").len(),
    );
    let edge = fleet.deployment.of(Class::Edge).len();
    println!("{edge} edges; rules broken: {:?}", auditor.verdict().rules());
}
