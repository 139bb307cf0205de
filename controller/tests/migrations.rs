//! Migrations with real owners: controllers and the schedulers of proxies in memory.

mod cluster;
mod deployment;

use cluster::MS;
use deployment::{Deployment, EndpointModel};
use millpost_scheduler::Outcome;

/// Returns a tenant with eight routes, `a` to `h`, all served by `s`.
fn tenant() -> String {
    let routes: Vec<_> = ('a'..='h')
        .map(|r| {
            format!(
                r#"{{"name":"{r}","host":"l.example","path_prefix":"/{r}/","traffic_kind":"mutating","deadline_ms":1500,"target_latency_ms":400,"priority":1,"max_tries":1,"service":"s"}}"#
            )
        })
        .collect();
    let service =
        |name: &str| format!(r#"{{"name":"{name}","memory_mb":512,"boot_ms":300,"concurrency":4}}"#);
    let services = [service("s"), service("t")].join(",");
    format!(r#"{{"revision":1,"routes":[{}],"services":[{services}],"limits":{{}}}}"#, routes.join(","))
}

/// Returns a deployment in which the migration of the whole tenant in eight loads has started.
fn start_migration(model: EndpointModel, rate: u64) -> Deployment {
    let mut deployment = Deployment::new(&tenant(), model);
    deployment.rate = rate;
    deployment.run(8_000);
    let plan =
        r#"{"order":"plan","contract":{"name":"m","hosts":["l.example"],"services":{"s":"t"},"loads":8}}"#;
    assert_eq!(deployment.order(plan), (200, r#"{"step":"planned"}"#.to_owned()));
    let start = r#"{"order":"start","name":"m","revisions":{"first":10,"last":30}}"#;
    let (status, body) = deployment.order(start);
    assert_eq!(status, 200, "{body}");
    deployment
}

fn fast(_: &str, _: usize) -> (Outcome, u64) {
    (Outcome::Answered, 50 * MS)
}

/// Returns the number of routes on the target, in the oldest configuration applied by a proxy.
fn moved(deployment: &Deployment) -> usize {
    deployment.config().routes.iter().filter(|route| route.shares == [("t".into(), 1)]).count()
}

/// The minimum number of instances holds without any requests, through the failure of the owner and the loss
/// of the leader, and ends with the migration.
#[test]
fn the_target_has_instances_before_the_first_load_and_keeps_them_under_any_owner() {
    let mut deployment = start_migration(fast, 40);
    deployment.rate = 0;
    assert!(
        deployment.until(20_000, |deployment| moved(deployment) > 0),
        "{}",
        deployment.migration_status("m")
    );
    assert!(deployment.ready("t") >= 2 && !deployment.outcomes.contains_key("t ok"));
    assert_eq!(deployment.order(r#"{"order":"pause","name":"m"}"#).0, 200);
    let (warm, retired) = (deployment.ready("t"), deployment.retired.len());
    let owner = deployment.owner("t");
    deployment.kill(owner);
    deployment.run(8_000);
    assert!(deployment.owner("t") != owner && deployment.ready("t") == warm);
    let leader = deployment.cluster.leader().expect("a leader");
    deployment.cluster.cut(leader, 1);
    deployment.run(9_000);
    assert!(deployment.cluster.leader().is_some_and(|n| n != leader));
    deployment.cluster.cut(leader, 0);
    assert_eq!(deployment.ready("t"), warm);
    let kept = deployment.cluster.started.iter().filter(|(_, entry)| entry.service == "t").count();
    assert_eq!((kept, &deployment.retired[retired..]), (warm, &[] as &[String]));

    assert_eq!(deployment.order(r#"{"order":"start","name":"m"}"#).0, 200);
    assert!(
        deployment.until(40_000, |deployment| deployment.is_at_step("m", "done")),
        "{}",
        deployment.migration_status("m")
    );
    deployment.run(1_000);
    let messages = deployment.min_instances_messages;
    deployment.run(15_000);
    assert_eq!(
        (deployment.min_instances_messages, deployment.ready("t"), deployment.ready("s")),
        (messages, 0, 0)
    );
}

#[test]
fn without_a_migration_no_minimums_are_sent_and_no_status_is_reported() {
    let mut deployment = Deployment::new(&tenant(), fast);
    deployment.rate = 40;
    deployment.run(10_000);
    assert!(deployment.outcomes["s ok"] > 300);
    assert_eq!((deployment.min_instances_messages, deployment.reported_functions.len()), (0, 0));
}

/// Gets slower with the number of running requests: about half way up to T1 under the whole load.
fn slow(service: &str, running: usize) -> (Outcome, u64) {
    let more = running.min(5) as u64 * 20 * MS;
    (Outcome::Answered, 50 * MS + if service == "t" { more } else { 0 })
}

/// Gets too slow with more than a few running requests.
fn overloaded(service: &str, running: usize) -> (Outcome, u64) {
    (Outcome::Answered, if service == "t" && running > 2 { 900 * MS } else { 50 * MS })
}

fn full(service: &str, _: usize) -> (Outcome, u64) {
    if service == "t" { (Outcome::Full, 5 * MS) } else { (Outcome::Answered, 50 * MS) }
}

#[test]
fn a_slow_target_slows_the_migration() {
    let took = |model| {
        let mut deployment = start_migration(model, 80);
        let began = deployment.cluster.now;
        assert!(
            deployment.until(60_000, |deployment| moved(deployment) == 8),
            "{}",
            deployment.migration_status("m")
        );
        let took = (deployment.cluster.now - began) / MS;
        assert!(
            deployment.until(20_000, |deployment| deployment.is_at_step("m", "done")),
            "{}",
            deployment.migration_status("m")
        );
        took
    };
    let (fast, slow) = (took(fast), took(slow));
    assert!(slow > fast * 4 / 3, "{fast} ms, {slow} ms");
}

#[yare::parameterized(
    overloaded_target = { overloaded, "delay is past T1" },
    full_target = { full, "refuses too much" },
)]
fn a_bad_target_reverts_the_migration(model: EndpointModel, why: &str) {
    let mut deployment = start_migration(model, 80);
    assert!(
        deployment.until(60_000, |deployment| deployment.is_at_step("m", "turned_back")),
        "{}",
        deployment.migration_status("m")
    );
    let status = deployment.migration_status("m");
    assert!(status.contains(why), "{status}");
    assert_eq!(moved(&deployment), 0);
}

/// Each request runs once at an endpoint, whichever controller continues the migration.
#[test]
fn a_migration_under_load_survives_the_loss_of_its_leader_without_lost_or_repeated_requests() {
    let mut deployment = start_migration(fast, 80);
    assert!(
        deployment.until(20_000, |deployment| moved(deployment) >= 3),
        "{}",
        deployment.migration_status("m")
    );
    let leader = deployment.cluster.leader().expect("a leader");
    deployment.cluster.cut(leader, 1);
    assert!(
        deployment.until(60_000, |deployment| deployment.is_at_step("m", "done")),
        "{}",
        deployment.migration_status("m")
    );
    assert!(deployment.cluster.leader().is_some_and(|n| n != leader));
    assert_eq!(moved(&deployment), 8);
    deployment.rate = 0;
    deployment.run(2_000);
    assert_eq!(deployment.outcomes.keys().collect::<Vec<_>>(), ["s ok", "t ok"]);
    assert_eq!(deployment.outcomes.values().sum::<usize>(), deployment.requests);
}
