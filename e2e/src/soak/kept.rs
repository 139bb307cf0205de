//! Clients that keep their connections: one request after another on the same one, until the process has closed it or is gone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use millpost_standins::cluster::auditor::{Asked, ClientAnswer, digest};
use millpost_standins::cluster::client::{Clients, Order};
use millpost_standins::cluster::function::attempt_id;
use millpost_standins::cluster::message::{Connection, request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{sleep, timeout};

use super::judge::{End, Seen};

const CONNECT: Duration = Duration::from_secs(1);
/// An answer is waited for so much longer than the proxy was told.
const LATER: Duration = Duration::from_millis(700);

/// A client of its own.
pub struct Kept {
    /// Who deals connections out.
    pub clients: Arc<Clients>,
    /// What it asks for mostly,
    pub common: Vec<Order>,
    /// ... and now and then: most of these functions have no instance.
    pub rare: Vec<Order>,
    /// Set once it is to end.
    pub over: Arc<AtomicBool>,
}

impl Kept {
    /// Asks until it is told to end; all that it saw.
    pub async fn run(self, seed: u64) -> Vec<Seen> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut seen = Vec::new();
        while !self.over.load(Ordering::Relaxed) {
            let up = self.clients.up();
            let Some(edge) = up.get(rng.random_range(0..up.len().max(1))).copied() else {
                sleep(Duration::from_millis(100)).await;
                continue;
            };
            match Connection::open(self.clients.doors[edge].front, CONNECT).await {
                Ok(connection) => self.ask_on(connection, edge, &mut rng, &mut seen).await,
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
        seen
    }

    /// Uses a connection for as long as it is there.
    async fn ask_on(
        &self,
        mut connection: Connection,
        edge: usize,
        rng: &mut Pcg64Mcg,
        seen: &mut Vec<Seen>,
    ) {
        while !self.over.load(Ordering::Relaxed) {
            let among = if rng.random_range(0..5) < 3 { &self.common } else { &self.rare };
            let order = &among[rng.random_range(0..among.len())];
            let Some(one) = self.ask(&mut connection, edge, order, rng).await else { return };
            let keeps = matches!(one.0.end, End::Answer(_)) && one.1;
            seen.push(one.0);
            if !keeps {
                return;
            }
            // Most ask again soon; some rest.
            let pause = if rng.random_range(0..20) == 0 { 3_000 } else { 120 };
            sleep(Duration::from_millis(rng.random_range(0..pause))).await;
        }
    }

    /// One request, and whether its connection may be used again. None where it was not written whole.
    async fn ask(
        &self,
        connection: &mut Connection,
        edge: usize,
        order: &Order,
        rng: &mut Pcg64Mcg,
    ) -> Option<(Seen, bool)> {
        let auditor = self.clients.auditor();
        let (id, ms) = (attempt_id(), order.deadline.as_millis().to_string());
        let fields = [("X-Attempt-Id", &*id), ("X-Deadline-Ms", ms.as_str())];
        let bytes = request(&order.method, &order.host, &order.path, &fields, &order.body, order.chunked);
        let Order { method, host, path, body, .. } = order;
        let asked =
            Asked { method: method.clone(), host: host.clone(), path: path.clone(), body: digest(body) };
        auditor.sent(&id, asked, false);
        // One in eight comes in two pieces.
        let cut = if rng.random_range(0..8) == 0 { rng.random_range(1..bytes.len()) } else { bytes.len() };
        connection.write(&bytes[..cut]).await.ok()?;
        if cut < bytes.len() {
            sleep(Duration::from_millis(rng.random_range(0..600))).await;
            connection.write(&bytes[cut..]).await.ok()?;
        }
        let sent = auditor.now();
        let answer = timeout(order.deadline + LATER, connection.message()).await;
        let (end, keeps) = match answer {
            Err(_) => (End::Nothing, false),
            Ok(Ok(Some(answer))) if answer.status() > 0 => {
                auditor.got(&id, ClientAnswer::of(&answer));
                (End::Answer(answer.status()), !answer.closes())
            }
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
                auditor.stray(format!("{id} was answered with what is no answer: {e}"));
                (End::Closed, false)
            }
            Ok(_) => (End::Closed, false),
        };
        let ended = auditor.now();
        let passed_on = end == End::Closed && !auditor.arrivals(&id).is_empty();
        Some((Seen { id: id.to_string(), edge, sent, ended, end, passed_on }, keeps))
    }
}
