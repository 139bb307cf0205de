//! Nothing goes wrong.

use millpost_e2e::{TestCluster, fairly, library, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn functions_are_started_for_their_requests_serve_them_all_and_are_stopped_again() {
    fairly(async || {
        let cluster = TestCluster::open_library().await;
        cluster.in_force(1).await;
        cluster.loans_search_through(0);
        // Nobody has asked for anything: at most what stands by.
        assert!(cluster.platform.starts().iter().all(|(e, ..)| e.function().name != "hold-shelf"));
        let load = cluster.load(60.0);
        load.serves(180).await;
        let sent = load.end().await;

        let unserved: Vec<_> = sent.iter().filter(|(_, outcome)| !outcome.served()).collect();
        assert!(unserved.is_empty(), "{unserved:?}");
        let runs = |service| cluster.auditor.runs_since(service, std::time::Duration::ZERO);
        let (loans, holds, searches) = (runs("loan-desk"), runs("hold-shelf"), runs("catalogue"));
        assert!(
            loans > 0 && holds > 0 && searches > loans,
            "{loans} loans, {holds} holds, {searches} searches"
        );
        cluster.clients.hang_up();
        let tries: usize = sent.iter().map(|(_, outcome)| outcome.tries.len()).sum();
        assert_eq!(cluster.auditor.verdict().clean().sent, tries + loans, "each loan has searched");

        for function in library(1).services {
            let name = &function.name;
            let started = cluster.platform.starts().iter().any(|(e, ..)| e.function().name == *name);
            assert!(started, "{name} was started");
            until("it is stopped again", async || cluster.platform.endpoints(name).is_empty().then_some(()))
                .await;
        }
        assert!(cluster.fences().is_sorted(), "{:?}", cluster.fences());
    })
    .await;
}
