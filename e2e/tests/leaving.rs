//! An edge machine is told to end while requests are open there that can't be seen through in its time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use millpost_e2e::{TestCluster, fairly, order, until};
use millpost_standins::cluster::function::{EndpointBehaviour, attempt_id};
use millpost_standins::cluster::message::{Connection, request};
use millpost_standins::cluster::settings::Class;
use millpost_standins::link::LinkConditions;
use millpost_standins::wire::Message;
use tokio::time::{sleep, timeout};

const CONNECT: Duration = Duration::from_secs(1);
/// More than what is left of the grace time.
const DEADLINE_MS: &str = "8000";

/// One try of a request on this route: its id and its bytes.
fn bytes(route: &str) -> (Arc<str>, Vec<u8>) {
    let order = order(route);
    let id = attempt_id();
    let fields = [("X-Attempt-Id", &*id), ("X-Deadline-Ms", DEADLINE_MS)];
    let bytes = request(&order.method, &order.host, &order.path, &fields, &order.body, false);
    (id, bytes)
}

/// What comes back on a connection, if a whole answer does.
async fn answer(connection: &mut Connection) -> Option<Message> {
    timeout(Duration::from_secs(9), connection.message()).await.ok()?.ok()?
}

/// Incident 015: the process ended and answered nothing that was open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_that_is_open_when_a_proxy_ends_is_answered_first() {
    fairly(async || {
        let mut cluster = TestCluster::open_library().await;
        // A run outlasts the grace time. It has begun before the end does, and nothing is started after it.
        let slow = EndpointBehaviour { work: Duration::from_secs(20), ..EndpointBehaviour::default() };
        cluster.platform.behave("catalogue", &slow);
        let front = cluster.edge(0).front();
        let mut runs = Connection::open(front, CONNECT).await.expect("a connection");
        let (id, whole) = bytes("searches");
        runs.write(&whole).await.expect("written");
        until("it runs", async || (!cluster.auditor.arrivals(&id).is_empty()).then_some(())).await;
        cluster.platform.weather(LinkConditions::Hang);
        let mut waits = Connection::open(front, CONNECT).await.expect("a connection");
        let mut in_pieces = Connection::open(front, CONNECT).await.expect("a connection");
        let leaving = cluster.fleet.deployment.of(Class::Edge)[0];
        let told = Instant::now();
        cluster.fleet.on(leaving).for_each(|process| process.terminate());
        sleep(Duration::from_millis(1_500)).await;
        waits.write(&bytes("holds").1).await.expect("written");
        let (_, whole) = bytes("loans");
        in_pieces.write(&whole[..whole.len() - 10]).await.expect("written");
        let (waits, runs, in_pieces) =
            tokio::join!(answer(&mut waits), answer(&mut runs), answer(&mut in_pieces));
        let grace = Duration::from_secs_f64(cluster.auditor.bounds().grace_s);
        assert!(told.elapsed() < grace, "{:?}", told.elapsed());
        let waits = waits.expect("an answer to the one that waits");
        assert_eq!(waits.status(), 503, "it has not run");
        let back = waits.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
        assert!(back.is_some_and(|seconds| seconds < 1.0), "it is told when to come back: {back:?}");
        let runs = runs.expect("an answer to the one that runs");
        assert!(matches!(runs.status(), 502 | 504), "it may have run: {}", runs.status());
        assert_eq!(in_pieces.expect("an answer to the one that is not whole").status(), 408);
    })
    .await;
}
