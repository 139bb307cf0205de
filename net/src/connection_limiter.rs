//! Which of the clients' connections are kept: as many as there is room for, and who leaves when there is none.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout};

/// A client that means to ask does so right after it has connected. Guards its first request, which fails if
/// the connection closes under it.
const GREETING: Duration = Duration::from_millis(200);
/// A body that is on its way comes within this time.
const SLOW: Duration = Duration::from_millis(500);
/// An answer has been written by then. No longer, or a crowd of clients that ask once and stay keeps others out.
const WRITTEN: Duration = Duration::from_millis(10);
/// How often it is looked again whether one may leave.
const AGAIN: Duration = Duration::from_millis(20);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// It has asked nothing yet.
    Silent,
    /// No request is open.
    Idle,
    /// The body of a request is being read.
    Reading,
    /// A request is owed its answer.
    Answering,
}

struct Place {
    state: State,
    since: Instant,
    /// None once it has been told to leave.
    leave: Option<oneshot::Sender<()>>,
}

#[derive(Default)]
struct Places {
    taken: HashMap<u64, Place>,
    next: u64,
}

/// The room for clients' connections.
pub struct ConnectionLimiter {
    most: AtomicUsize,
    places: Mutex<Places>,
    freed: Notify,
}

/// The place of one connection, which it holds until this is dropped.
pub struct ConnectionSlot {
    number: u64,
    room: Arc<ConnectionLimiter>,
}

impl ConnectionLimiter {
    /// Room for so many.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(ConnectionLimiter {
            most: AtomicUsize::new(most),
            places: Mutex::default(),
            freed: Notify::new(),
        })
    }

    /// There is room for so many from now on.
    pub fn set_limit(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
        self.freed.notify_waiters();
    }

    /// How many there are.
    pub fn taken(&self) -> usize {
        self.places().taken.len()
    }

    fn places(&self) -> MutexGuard<'_, Places> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a new connection, and the word that it must leave. With no room, one that is of least use
    /// leaves; it waits only while all are owed an answer.
    pub async fn acquire(self: &Arc<Self>) -> (ConnectionSlot, oneshot::Receiver<()>) {
        loop {
            let freed = self.freed.notified();
            {
                let mut places = self.places();
                if places.taken.len() < self.most.load(Ordering::Relaxed) {
                    let (leave, leaves) = oneshot::channel();
                    let number = places.next;
                    places.next += 1;
                    let place = Place { state: State::Silent, since: Instant::now(), leave: Some(leave) };
                    places.taken.insert(number, place);
                    return (ConnectionSlot { number, room: self.clone() }, leaves);
                }
                // One at a time: its place is free once its descriptor is.
                let leaving = places.taken.values().any(|place| place.leave.is_none());
                if let Some(number) = least(&places.taken).filter(|_| !leaving)
                    && let Some(leave) = places.taken.get_mut(&number).and_then(|place| place.leave.take())
                {
                    let _ = leave.send(());
                }
            }
            let _ = timeout(AGAIN, freed).await;
        }
    }

    /// Waits until every connection has ended.
    pub async fn wait_until_empty(&self) {
        loop {
            let freed = self.freed.notified();
            if self.places().taken.is_empty() {
                return;
            }
            freed.await;
        }
    }
}

/// The connection that leaves first: one that says nothing, one whose request does not come to its end, then
/// the one that has stood idle for longest. None that is owed an answer.
fn least(taken: &HashMap<u64, Place>) -> Option<u64> {
    let rank = |place: &Place| {
        let passed = place.since.elapsed();
        match place.state {
            State::Silent if passed > GREETING => Some(0),
            State::Reading if passed > SLOW => Some(1),
            State::Idle if passed > WRITTEN => Some(2),
            State::Silent | State::Idle | State::Reading | State::Answering => None,
        }
    };
    let ranked = taken.iter().filter_map(|(number, place)| Some((rank(place)?, place.since, *number)));
    ranked.min().map(|(_, _, number)| number)
}

impl ConnectionSlot {
    fn now(&self, state: State) {
        if let Some(place) = self.room.places().taken.get_mut(&self.number) {
            (place.state, place.since) = (state, Instant::now());
        }
    }
    /// Since when no request has been open: since it came, or since the last answer.
    pub fn reading(&self) -> Instant {
        let since = self.room.places().taken.get(&self.number).map(|place| place.since);
        self.now(State::Reading);
        since.unwrap_or_else(Instant::now)
    }
    /// A request has come in whole, and is owed its answer.
    pub fn answering(&self) {
        self.now(State::Answering);
    }
    /// The answer has been given.
    pub fn idle(&self) {
        self.now(State::Idle);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.room.places().taken.remove(&self.number);
        self.room.freed.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(state: State, age_ms: u64) -> Place {
        let since = Instant::now().checked_sub(Duration::from_millis(age_ms)).expect("a past");
        Place { state, since, leave: None }
    }

    #[test]
    fn who_leaves_first() {
        let all = [
            (1, place(State::Answering, 9_000)),
            (2, place(State::Idle, 100)),
            (3, place(State::Idle, 200)),
            (4, place(State::Reading, 100)),
            (5, place(State::Reading, 1_000)),
            (6, place(State::Silent, 1_000)),
            (7, place(State::Silent, 0)),
        ];
        let mut taken = HashMap::from(all);
        let mut order = Vec::new();
        while let Some(number) = least(&taken) {
            order.push(number);
            taken.remove(&number);
        }
        // Nobody who is owed an answer, or whose request is just coming in, though all else is full.
        assert_eq!(order, [6, 5, 3, 2]);
    }
}
