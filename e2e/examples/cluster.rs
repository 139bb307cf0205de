//! The whole system in one command, with stand-ins round it: a configuration goes in, a request goes in and its answer
//! comes out, and an instance was started for it. Ends by itself; `--keep` keeps it up until Ctrl-C, for use by hand.

use std::time::Duration;

use millpost_e2e::{TestCluster, library, order, until};
use millpost_standins::cluster::client::{Order, Outcome};
use millpost_standins::cluster::function::{Endpoint, Phase};
use millpost_standins::cluster::settings::{Bounds, Class, Configuration};
use tokio::signal::unix::{SignalKind, signal};

/// A start that was seen.
struct Started {
    endpoint: Endpoint,
    worker: String,
    /// It was asked for so long after the request was sent.
    after: Duration,
    /// It took so long.
    took: Duration,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let keep = match std::env::args().nth(1).as_deref() {
        None => false,
        Some("--keep") => true,
        Some(_) => return eprintln!("market [--keep]: keep it up until Ctrl-C"),
    };
    println!("building what is not built yet ...");
    // A shorter end than in service.
    let mut cluster = TestCluster::open(Bounds { grace_s: 3.0, ..Bounds::default() }).await;
    println!(
        "started: bourse on 3 core machines, stall and porter on 3 edge machines, each process with settings and"
    );
    println!("    output in {}", cluster.fleet.deployment.folder().display());

    let configuration = library(1);
    let by = cluster.put(&configuration).await;
    let machines = cluster.fleet.deployment.machines.clone();
    let name = |machine: usize| machines[machine].name.as_str();
    println!("configuration 1: acknowledged by {}", name(by));
    let leader = cluster.leader(0).await;
    println!("steward: {}, fence {}", name(leader.machine), leader.fence);
    cluster.is_ready().await;
    println!("ready for clients: all edge machines\n");

    // One request, where nothing runs yet.
    let loan = order("loans");
    let sent = cluster.auditor.now();
    let (outcome, started) =
        tokio::join!(cluster.clients.send(1, &loan), start_of(&cluster, "loan-desk", sent));
    tell(&cluster, &loan, &outcome);
    let function = started.endpoint.function();
    println!(
        "    started for it: {} of {} on worker {}, asked for after {:.0?}; up {:.0?} later (boot_ms {})",
        started.endpoint.id(),
        function.name,
        started.worker,
        started.after,
        started.took,
        function.boot_ms
    );
    println!("\nthree of each, a loan searching through the system before it is answered:");
    cluster.loans_search_through(0);
    for route in &configuration.routes {
        let order = order(&route.name);
        for client in 0..3 {
            let outcome = cluster.clients.send(client, &order).await;
            tell(&cluster, &order, &outcome);
        }
    }
    let verdict = cluster.auditor.verdict();
    println!("\nrules broken: {}; requests {}, runs {}", verdict.broken.len(), verdict.sent, verdict.runs);
    let leader = cluster.leader(0).await;
    let status = cluster.status(leader.machine).await.unwrap_or_default();
    println!("how control stands, GET http://{}/core:\n{status:#}", machines[leader.machine].control());

    if keep {
        by_hand(&cluster, &configuration);
        // Ctrl-C goes to the processes too, and ends them; after SIGTERM they are killed.
        let mut term = signal(SignalKind::terminate()).expect("signals");
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = term.recv() => {}
        }
        return;
    }
    for (name, status) in cluster.close().await {
        println!("ended: {name}, {status}");
    }
    verdict.clean();
}

/// The next start of a function, once it has come up.
async fn start_of(cluster: &TestCluster, function: &str, since: Duration) -> Started {
    let (endpoint, worker, at, _) = until("a start", async || {
        let starts = cluster.platform.starts();
        starts.into_iter().find(|(e, _, at, _)| e.function().name == function && *at >= since)
    })
    .await;
    endpoint.reaches(Phase::Up).await;
    let took = cluster.auditor.now().saturating_sub(at);
    Started { endpoint, worker, after: at.saturating_sub(since), took }
}

fn tell(cluster: &TestCluster, order: &Order, outcome: &Outcome) {
    let door = outcome.tries.last().map_or(0, |t| t.door);
    let answer = outcome.answer.as_ref().map(|a| String::from_utf8_lossy(&a.body).into_owned());
    let answer = answer.as_deref().and_then(|a| a.lines().next()).unwrap_or("no answer");
    let tries = match outcome.tries.len() {
        1 => String::new(),
        n => format!(" at try {n}"),
    };
    println!(
        "{} {} at {}: {} after {:.0?}{tries}: {answer}",
        order.method,
        order.path,
        cluster.edge(door).name,
        outcome.status(),
        outcome.took,
    );
}

/// How to use it from another shell.
fn by_hand(cluster: &TestCluster, configuration: &Configuration) {
    println!("\nby hand, until Ctrl-C:\n");
    let front = cluster.edge(0).front();
    for route in &configuration.routes {
        let order = order(&route.name);
        let body = if order.mutating { " -d something" } else { "" };
        println!(
            "    curl -i 'http://{front}{}' -H 'Host: {}' -H 'X-Attempt-Id: '$RANDOM$RANDOM{body}",
            order.path, order.host
        );
    }
    let control = cluster.fleet.deployment.machines[cluster.fleet.deployment.of(Class::Core)[0]].control();
    println!("    curl http://{control}/core");
    println!("    curl -o configuration.json http://{control}/Config.Read");
    println!("    sed -i 's/\"revision\":1/\"revision\":2/' configuration.json");
    println!("    curl http://{control}/Config.Replace --data-binary @configuration.json");
    println!("    curl http://{}/endpoints", cluster.platform.address);
    println!("    curl http://{}/workers", cluster.platform.address);
}
