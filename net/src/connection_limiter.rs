//! Limits the number of client connections, and selects the connection to close when the limit is reached.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout};

/// Time after connecting in which a connection is not closed: clients send their first request right after
/// connecting, and it would fail.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// Time after which the sender of a request body is considered slow, and its connection may be closed.
const SLOW_BODY: Duration = Duration::from_millis(500);
/// Time after an answer in which the connection is not closed, so that the answer can be written. A longer
/// time would let many clients that send one request and stay connected keep others out.
const WRITE_GRACE: Duration = Duration::from_millis(10);
/// Interval at which a waiting connection checks again whether another one can be closed.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No request has been received yet.
    New,
    /// No request is in progress.
    Idle,
    /// A request is being received.
    Reading,
    /// A request was received and has not been answered.
    Answering,
}

struct Connection {
    state: State,
    since: Instant,
    /// Signals the connection to close; `None` once signalled.
    close: Option<oneshot::Sender<()>>,
}

#[derive(Default)]
struct Connections {
    open: HashMap<u64, Connection>,
    next: u64,
}

/// Limits the number of open client connections.
pub struct ConnectionLimiter {
    limit: AtomicUsize,
    connections: Mutex<Connections>,
    freed: Notify,
}

/// The slot of one connection, which is released when this is dropped.
pub struct ConnectionSlot {
    number: u64,
    limiter: Arc<ConnectionLimiter>,
}

impl ConnectionLimiter {
    /// Creates a limiter for up to `limit` connections.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(ConnectionLimiter {
            limit: AtomicUsize::new(limit),
            connections: Mutex::default(),
            freed: Notify::new(),
        })
    }

    /// Changes the limit.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
        self.freed.notify_waiters();
    }

    /// Returns the number of open connections.
    pub fn taken(&self) -> usize {
        self.connections().open.len()
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot for a new connection. The returned receiver signals that the connection must be
    /// closed. At the limit the least useful connection is closed; the call waits only while no connection
    /// may be closed.
    pub async fn acquire(self: &Arc<Self>) -> (ConnectionSlot, oneshot::Receiver<()>) {
        loop {
            let freed = self.freed.notified();
            {
                let mut connections = self.connections();
                if connections.open.len() < self.limit.load(Ordering::Relaxed) {
                    let (close, closed) = oneshot::channel();
                    let number = connections.next;
                    connections.next += 1;
                    let connection =
                        Connection { state: State::New, since: Instant::now(), close: Some(close) };
                    connections.open.insert(number, connection);
                    return (ConnectionSlot { number, limiter: self.clone() }, closed);
                }
                // One at a time: the slot becomes free only after the descriptor is closed.
                let closing = connections.open.values().any(|connection| connection.close.is_none());
                if let Some(number) = select_victim(&connections.open).filter(|_| !closing)
                    && let Some(close) =
                        connections.open.get_mut(&number).and_then(|connection| connection.close.take())
                {
                    let _ = close.send(());
                }
            }
            let _ = timeout(RETRY_INTERVAL, freed).await;
        }
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_empty(&self) {
        loop {
            let freed = self.freed.notified();
            if self.connections().open.is_empty() {
                return;
            }
            freed.await;
        }
    }
}

/// Selects the connection to close: one without a request, else one with a slow request, else the one that
/// has been idle longest. A connection whose request has not been answered is never selected.
fn select_victim(open: &HashMap<u64, Connection>) -> Option<u64> {
    let rank = |connection: &Connection| {
        let elapsed = connection.since.elapsed();
        match connection.state {
            State::New if elapsed > FIRST_REQUEST_GRACE => Some(0),
            State::Reading if elapsed > SLOW_BODY => Some(1),
            State::Idle if elapsed > WRITE_GRACE => Some(2),
            State::New | State::Idle | State::Reading | State::Answering => None,
        }
    };
    let ranked =
        open.iter().filter_map(|(number, connection)| Some((rank(connection)?, connection.since, *number)));
    ranked.min().map(|(_, _, number)| number)
}

impl ConnectionSlot {
    fn set_state(&self, state: State) {
        if let Some(connection) = self.limiter.connections().open.get_mut(&self.number) {
            (connection.state, connection.since) = (state, Instant::now());
        }
    }
    /// Marks the start of a request. Returns since when there was no request: the time of the connection or
    /// of the last answer.
    pub fn reading(&self) -> Instant {
        let since = self.limiter.connections().open.get(&self.number).map(|connection| connection.since);
        self.set_state(State::Reading);
        since.unwrap_or_else(Instant::now)
    }
    /// Marks that a request was received completely.
    pub fn answering(&self) {
        self.set_state(State::Answering);
    }
    /// Marks that the request was answered.
    pub fn idle(&self) {
        self.set_state(State::Idle);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.connections().open.remove(&self.number);
        self.limiter.freed.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn connection(state: State, age_ms: u64) -> Connection {
        let since = Instant::now().checked_sub(Duration::from_millis(age_ms)).expect("earlier instant");
        Connection { state, since, close: None }
    }

    #[test]
    fn connections_are_closed_in_order_of_usefulness() {
        let all = [
            (1, connection(State::Answering, 9_000)),
            (2, connection(State::Idle, 100)),
            (3, connection(State::Idle, 200)),
            (4, connection(State::Reading, 100)),
            (5, connection(State::Reading, 1_000)),
            (6, connection(State::New, 1_000)),
            (7, connection(State::New, 0)),
        ];
        let mut open = HashMap::from(all);
        let mut order = Vec::new();
        while let Some(number) = select_victim(&open) {
            order.push(number);
            open.remove(&number);
        }
        // Connections with an unanswered or just arriving request are never closed.
        assert_eq!(order, [6, 5, 3, 2]);
    }
}
