//! Processes are killed, frozen and told to end under load.

use std::time::{Duration, Instant};

use millpost_e2e::{TestCluster, fairly, library, order, until};
use millpost_standins::cluster::client::Order;
use millpost_standins::cluster::operator::Operator;
use millpost_standins::cluster::settings::{Class, Function, Kind, Role, Route};
use tokio::time::{sleep_until, timeout};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stall_and_a_porter_are_killed() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        let load = cluster.load(60.0);
        load.serves(60).await;
        let began = cluster.auditor.now();
        cluster.fleet.nth(Role::Proxy, 0).kill();
        cluster.fleet.nth(Role::Agent, 1).kill();
        load.serves(120).await;
        // A stall that hears nothing any more serves all the same.
        for route in ["loans", "holds", "searches"] {
            let outcome = cluster.clients_of(1).send(1, &order(route)).await;
            assert!(outcome.served(), "{route}: {outcome:?}");
        }

        let edges = cluster.fleet.deployment.of(Class::Edge);
        cluster.fleet.restart(edges[0], Role::Proxy).expect("started");
        cluster.fleet.restart(edges[1], Role::Agent).expect("started");
        cluster.in_force(1).await;
        cluster.is_ready().await;
        for edge in 0..3 {
            let outcome = cluster.clients_of(edge).send(1, &order("loans")).await;
            assert!(outcome.served(), "edge {edge}: {outcome:?}");
        }
        load.serves(60).await;
        let sent = load.end().await;
        cluster.auditor.trouble(began..cluster.auditor.now());
        cluster.clients.hang_up();
        cluster.auditor.verdict().clean();
        // Of all requests only those are lost that the killed stall had taken, and that may not be repeated.
        let lost = sent.iter().filter(|(_, outcome)| !outcome.served());
        for (order, outcome) in lost {
            let last = outcome.tries.last().map(|t| (t.door, t.status));
            assert!(order.mutating && last == Some((0, 0)), "{}: {outcome:?}", order.path);
        }
    })
    .await;
}

/// Guards against edge machines that are cut off from control: each core machine is replaced at a new address, the
/// leader last, and no settings file of a running process is written again. Then an agent restarts with its old file.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_core_machine_is_replaced_while_settings_files_stay_as_they_are() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        let leader = cluster.leader(0).await.machine;
        let mut old = cluster.fleet.deployment.of(Class::Core);
        old.sort_by_key(|machine| *machine == leader);
        let seeds = cluster.fleet.deployment.controls();
        for machine in old {
            let zone = cluster.fleet.deployment.machines[machine].zone.clone();
            let new = cluster.fleet.add(Class::Core, &zone).expect("started");
            until("the new controller is in contact", async || {
                (cluster.status(new).await?["contact"] == "holds").then_some(())
            })
            .await;
            cluster.fleet.remove(machine);
            let (gone, here) = [machine, new].map(|n| cluster.fleet.deployment.machines[n].control()).into();
            until("the new controller votes in the place of the old one", async || {
                let voters = cluster.status(cluster.leader(0).await.machine).await?["voters"].clone();
                let votes = |address: std::net::SocketAddr| {
                    voters.as_array().is_some_and(|all| all.contains(&address.to_string().into()))
                };
                (votes(here) && !votes(gone)).then_some(())
            })
            .await;
        }
        cluster.operator = Operator::new(cluster.fleet.deployment.controls(), cluster.auditor.clone());
        cluster.put(&library(2)).await;
        cluster.in_force(2).await;

        let edge = cluster.fleet.deployment.of(Class::Edge)[0];
        let file = std::fs::read_to_string(cluster.fleet.deployment.file(edge, Role::Agent)).expect("a file");
        assert!(
            seeds.iter().all(|seed| file.contains(&seed.to_string())),
            "the file names the first machines"
        );
        cluster.fleet.restart_with_old_settings(edge, Role::Agent).expect("started");
        cluster.put(&library(3)).await;
        cluster.in_force(3).await;
        cluster.is_ready().await;
        for edge in 0..3 {
            let outcome = cluster.clients_of(edge).send(1, &order("loans")).await;
            assert!(outcome.served(), "edge {edge}: {outcome:?}");
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_steward_is_frozen_and_thawed() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        cluster.loans_search_through(0);
        let load = cluster.load(60.0);
        load.serves(60).await;
        let old = cluster.leader(0).await;
        let (frozen, began) = (Instant::now(), cluster.auditor.now());
        let at = cluster.fleet.at(old.machine, Role::Controller);
        cluster.fleet.processes[at].freeze();
        let new = cluster.leader(old.fence).await;
        assert_ne!(new.machine, old.machine);

        // A function that the old one has never heard of: somebody else starts it.
        let mut next = library(2);
        next.services.push(Function::new("reading-room", 2, 200));
        next.routes.push(Route::new("seats", "reading-room", Kind::Mutating));
        cluster.platform.knows(&next);
        cluster.put(&next).await;
        let seats = Order::on(next.named("seats"));
        until("a seat is served", async || cluster.clients.send(2, &seats).await.served().then_some(()))
            .await;

        sleep_until((frozen + Duration::from_secs(3)).into()).await;
        cluster.fleet.processes[at].thaw();
        until("the old one follows", async || {
            let status = cluster.status(old.machine).await?;
            (status["fence"].as_u64() >= Some(new.fence) && status["revision"] == 2).then_some(())
        })
        .await;
        cluster.put(&library(3)).await;
        cluster.in_force(3).await;
        load.serves(60).await;
        load.end().await;

        let fences = cluster.fences();
        assert!(fences.contains(&Some(old.fence)) && fences.len() > 1, "both have acted: {fences:?}");
        assert!(fences.is_sorted(), "the old one has acted again: {fences:?}");
        cluster.auditor.trouble(began..cluster.auditor.now());
        cluster.clients.hang_up();
        cluster.auditor.verdict().clean();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_falls_idle_while_there_is_no_steward_is_stopped_and_can_be_started_again() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        let routes = ["loans", "holds", "searches"];
        for route in routes {
            let outcome = cluster.clients.send(1, &order(route)).await;
            assert!(outcome.served(), "{route}: {outcome:?}");
        }
        let old = cluster.leader(0).await;
        let at = cluster.fleet.at(old.machine, Role::Controller);
        cluster.fleet.processes[at].kill();
        cluster.leader(old.fence).await;
        // Long before a steward stops by itself what nobody speaks of.
        let stopped = until("all are stopped", async || {
            let none = library(1).services.iter().all(|f| cluster.platform.endpoints(&f.name).is_empty());
            none.then_some(())
        });
        timeout(Duration::from_secs(10), stopped).await.expect("the owners' word is heard");
        for route in routes {
            let outcome = cluster.clients.send(1, &order(route)).await;
            assert!(outcome.served(), "{route}: {outcome:?}");
        }
        cluster.auditor.verdict().clean();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_edge_machine_that_is_told_to_end_loses_no_request() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        let load = cluster.load(60.0);
        load.serves(60).await;
        let leaving = cluster.fleet.deployment.of(Class::Edge)[0];
        let told = Instant::now();
        cluster.fleet.on(leaving).for_each(|process| process.terminate());
        let ended = until("both processes have ended", async || {
            let ended = cluster.fleet.ended();
            (ended.len() == 2).then_some(ended)
        })
        .await;
        let grace = Duration::from_secs_f64(cluster.auditor.bounds().grace_s);
        assert!(told.elapsed() <= grace + Duration::from_secs(2), "{:?}", told.elapsed());
        assert!(ended.iter().all(|(_, status)| status.success()), "{ended:?}");
        load.serves(60).await;
        let unserved: Vec<_> =
            load.end().await.into_iter().filter(|(_, outcome)| !outcome.served()).collect();
        assert!(unserved.is_empty(), "{unserved:?}");
        cluster.clients.hang_up();
        cluster.auditor.verdict().clean();
    })
    .await;
}
