//! Configurations: kept where they were acknowledged, one content for a revision, and bad ones turned down.

use std::collections::BTreeMap;

use millpost_e2e::{TIMEOUT, TestCluster, fairly, library, order, until};
use millpost_standins::cluster::operator::Operator;
use millpost_standins::cluster::settings::{Class, Configuration, Role};
use serde_json::{Value, json};

/// What every core machine reads.
async fn read_everywhere(cluster: &TestCluster) -> BTreeMap<usize, Option<Configuration>> {
    let mut read = BTreeMap::new();
    for machine in cluster.fleet.deployment.of(Class::Core) {
        read.insert(machine, cluster.operator_at(machine).read(TIMEOUT).await);
    }
    read
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_acknowledged_outlasts_the_disk_of_who_acknowledged_it() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        let cores = cluster.fleet.deployment.of(Class::Core);
        for round in 0..cores.len() {
            let newest = library(2 + round as u64);
            cluster.operator.begin_at(round);
            let by = cluster.put(&newest).await;
            cluster.fleet.wipe(by).expect("wiped");
            let other =
                cores[(cores.iter().position(|c| *c == by).expect("a core machine") + 1) % cores.len()];
            cluster.fleet.restart(other, Role::Controller).expect("started again");
            cluster.fleet.restart(by, Role::Controller).expect("started again");
            for (machine, read) in read_everywhere(&cluster).await {
                assert_eq!(read.as_ref(), Some(&newest), "read at {machine}, put at {by}, {other} restarted");
            }
            until("all vote again", async || {
                for core in &cores {
                    if cluster.status(*core).await?["voting"] != true {
                        return None;
                    }
                }
                Some(())
            })
            .await;
            cluster.in_force(newest.revision).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_contents_under_one_revision_one_wins_everywhere() {
    fairly(async || {
        let cluster = TestCluster::open_library().await;
        let controls = cluster.fleet.deployment.controls();
        let cores = cluster.fleet.deployment.of(Class::Core);
        for revision in 2..6 {
            let (one, mut other) = (library(revision), library(revision));
            other.routes[2].service = "hold-shelf".to_owned();
            let operators = [0, 1].map(|from| {
                let operator = Operator::new(controls.clone(), cluster.auditor.clone());
                operator.begin_at((from + revision as usize) % controls.len());
                operator
            });
            let (first, second) =
                tokio::join!(operators[0].replace(&one, TIMEOUT), operators[1].replace(&other, TIMEOUT));
            let read = read_everywhere(&cluster).await;
            let won = read[&cores[0]].clone().expect("a configuration");
            assert!(won == one || won == other, "{won:?}");
            assert!(read.values().all(|r| r.as_ref() == Some(&won)), "{read:?}");
            // What stands is confirmed, however often it comes; the other content is refused for good.
            let lost = if won == one { &other } else { &one };
            let (first_content, second_content) = (&one, &other);
            for (content, answer) in [(first_content, &first), (second_content, &second)] {
                assert_eq!(answer.acknowledged(), *content == won, "{answer:?}");
                assert_eq!(answer.status == 409, content == lost, "{answer:?}");
            }
            for (content, status) in [(&won, 200), (lost, 409)] {
                let again = operators[0].replace(content, TIMEOUT).await;
                assert_eq!(again.status, status, "{again:?}");
            }
            cluster.in_force(revision).await;
            let service = &won.named("searches").service;
            for edge in 0..3 {
                let outcome = cluster.clients_of(edge).send(1, &order("searches")).await;
                let answer = outcome.answer.as_ref().map(|a| String::from_utf8_lossy(&a.body).into_owned());
                let by = format!(" of {service}\n");
                assert!(answer.is_some_and(|a| a.contains(&by)), "edge {edge}, {service} won: {outcome:?}");
            }
        }
        cluster.auditor.verdict().clean();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_configurations_are_turned_down_with_the_key_and_change_nothing() {
    fairly(async || {
        let cluster = TestCluster::open_library().await;
        let bad = |change: &dyn Fn(&mut Value)| {
            let mut value = json!(library(9));
            change(&mut value);
            value.to_string()
        };
        let without = |value: &mut Value, key: &str| {
            value.as_object_mut().expect("an object").remove(key);
        };
        let all = [
            ("", "{".to_owned()),
            ("", "[]".to_owned()),
            ("revision", bad(&|c| without(c, "revision"))),
            ("revision", bad(&|c| c["revision"] = json!(-1))),
            ("routes", bad(&|c| c["routes"] = json!("none"))),
            ("services", bad(&|c| without(c, "services"))),
            ("routes[0].deadline_ms", bad(&|c| c["routes"][0]["deadline_ms"] = json!(0))),
            ("routes[0].host", bad(&|c| without(&mut c["routes"][0], "host"))),
            ("routes[1].traffic_kind", bad(&|c| c["routes"][1]["traffic_kind"] = json!("sometimes"))),
            ("routes[2].service", bad(&|c| c["routes"][2]["service"] = json!("nobody"))),
            (
                "routes[2].path_prefix",
                bad(&|c| c["routes"][2]["path_prefix"] = c["routes"][0]["path_prefix"].clone()),
            ),
            ("services[0].name", bad(&|c| without(&mut c["services"][0], "name"))),
            ("services[1].concurrency", bad(&|c| c["services"][1]["concurrency"] = json!("many"))),
            ("limits.max_body_bytes", bad(&|c| c["limits"]["max_body_bytes"] = json!(-1))),
        ];
        for machine in cluster.fleet.deployment.of(Class::Core) {
            let operator = cluster.operator_at(machine);
            for (key, text) in &all {
                let done = operator.replace_with(text, TIMEOUT).await;
                let said = String::from_utf8_lossy(&done.body).into_owned();
                assert!((400..500).contains(&done.status), "{key}: {done:?}");
                assert!(said.contains(key), "{key} is not named: {said}");
            }
        }
        for (machine, read) in read_everywhere(&cluster).await {
            assert_eq!(read, Some(library(1)), "read at {machine}");
            let status = cluster.status(machine).await.expect("a status");
            assert_eq!(status["revision"], 1, "{status}");
        }
        cluster.in_force(1).await;
        let outcome = cluster.clients.send(1, &order("loans")).await;
        assert!(outcome.served(), "{outcome:?}");
        cluster.auditor.verdict().clean();
    })
    .await;
}
