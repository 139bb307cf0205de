//! Idle connections, kept by peer for reuse. No I/O and no clock: times are passed in.
//!
//! A peer may send an answer once more, late, in the place of the answer to the next request on the same
//! connection. Answers name their request, which shows that one belongs to another request; but all attempts
//! of one request bear the same id. So the copy of an answer to an earlier attempt can be recognized only by
//! its connection.
//!
//! Invariant: a connection never carries two attempts of one request.

use std::collections::HashMap;
use std::hash::Hash;

/// Nanoseconds on the caller's clock.
pub type Nanos = u64;

/// Identifies a connection. Never used twice by one [`IdleConnections`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl std::fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The connections that have carried an attempt of one request. As many as the request has attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsedConnections(Vec<ConnectionId>);

impl UsedConnections {
    /// Notes that an attempt of the request goes on this connection.
    pub fn add(&mut self, connection: ConnectionId) {
        self.0.push(connection);
    }

    fn contains(&self, connection: ConnectionId) -> bool {
        self.0.contains(&connection)
    }
}

/// A connection that was taken for reuse.
#[derive(Debug, PartialEq, Eq)]
pub struct Reused<C> {
    /// The connection.
    pub connection: C,
    /// Its id.
    pub id: ConnectionId,
    /// How long it has been idle.
    pub idle_for: Nanos,
}

struct Idle<C> {
    connection: C,
    id: ConnectionId,
    since: Nanos,
    /// Time for which it may stay idle.
    max_idle_time: Nanos,
}

impl<C> Idle<C> {
    fn is_expired(&self, now: Nanos) -> bool {
        now.saturating_sub(self.since) >= self.max_idle_time
    }
}

/// Idle connections by peer.
pub struct IdleConnections<P, C> {
    idle: HashMap<P, Vec<Idle<C>>>,
    last_id: u64,
}

impl<P, C> Default for IdleConnections<P, C> {
    fn default() -> Self {
        IdleConnections { idle: HashMap::new(), last_id: 0 }
    }
}

impl<P: Eq + Hash + Clone, C> IdleConnections<P, C> {
    /// Returns the id of a new connection.
    pub fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// The number of idle connections to all peers.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the most recently used idle connection to a peer that has carried no attempt of this request.
    /// Connections that are found to be expired or not `usable` are dropped.
    pub fn take(
        &mut self,
        peer: &P,
        now: Nanos,
        used: &UsedConnections,
        usable: impl Fn(&C) -> bool,
    ) -> Option<Reused<C>> {
        let all = self.idle.get_mut(peer)?;
        let mut taken = None;
        for at in (0..all.len()).rev() {
            if all[at].is_expired(now) || !usable(&all[at].connection) {
                all.remove(at);
            } else if !used.contains(all[at].id) {
                taken = Some(all.remove(at));
                break;
            }
        }
        if all.is_empty() {
            self.idle.remove(peer);
        }
        taken.map(|Idle { connection, id, since, .. }| Reused {
            connection,
            id,
            idle_for: now.saturating_sub(since),
        })
    }

    /// Keeps a connection for reuse, for `max_idle_time` at most, if fewer than `max_per_peer` are kept for
    /// the peer; otherwise drops it.
    pub fn keep(
        &mut self,
        peer: &P,
        connection: C,
        id: ConnectionId,
        now: Nanos,
        max_idle_time: Nanos,
        max_per_peer: usize,
    ) {
        let kept = self.idle.get(peer).map_or(0, Vec::len);
        if kept < max_per_peer && max_idle_time > 0 {
            let idle = Idle { connection, id, since: now, max_idle_time };
            self.idle.entry(peer.clone()).or_default().push(idle);
        }
    }

    /// Drops the connections to all peers for which `stays` is false.
    pub fn retain_peers(&mut self, stays: impl Fn(&P) -> bool) {
        self.idle.retain(|peer, _| stays(peer));
    }

    /// Drops connections that are expired or not `usable`.
    pub fn drop_expired(&mut self, now: Nanos, usable: impl Fn(&C) -> bool) {
        self.idle.retain(|_, all| {
            all.retain(|idle| !idle.is_expired(now) && usable(&idle.connection));
            !all.is_empty()
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    type Connections = IdleConnections<&'static str, char>;

    fn keep(connections: &mut Connections, names: &str, now: Nanos) -> Vec<ConnectionId> {
        let mut kept = Vec::new();
        for name in names.chars() {
            let id = connections.next_id();
            connections.keep(&"p", name, id, now, 100, 3);
            kept.push(id);
        }
        kept
    }

    fn take(connections: &mut Connections, now: Nanos, used: &UsedConnections) -> Option<char> {
        connections.take(&"p", now, used, |name| *name != 'x').map(|reused| reused.connection)
    }

    /// Guards against the late copy of an answer that counts for a later attempt of the same request.
    #[test]
    fn a_connection_carries_no_second_attempt_of_a_request() {
        let mut connections = Connections::default();
        let ids = keep(&mut connections, "abc", 0);
        let mut used = UsedConnections::default();
        used.add(ids[2]);
        used.add(ids[0]);
        assert_eq!(take(&mut connections, 1, &used), Some('b'));
        assert_eq!(take(&mut connections, 1, &used), None);
        // Other requests use them.
        let other = UsedConnections::default();
        assert_eq!(take(&mut connections, 1, &other), Some('c'));
        assert_eq!(take(&mut connections, 1, &other), Some('a'));
        assert!(connections.is_empty());
    }

    #[test]
    fn expired_and_unusable_connections_are_dropped_and_kept_ones_are_bounded() {
        let mut connections = Connections::default();
        let none = UsedConnections::default();
        keep(&mut connections, "abcd", 0);
        assert_eq!(connections.len(), 3);
        let reused = connections.take(&"p", 40, &none, |_| true).expect("one");
        assert_eq!((reused.connection, reused.idle_for), ('c', 40));
        keep(&mut connections, "x", 50);
        assert_eq!(take(&mut connections, 99, &none), Some('b'));
        assert_eq!((take(&mut connections, 100, &none), connections.len()), (None, 0));
        keep(&mut connections, "ax", 100);
        connections.drop_expired(150, |name| *name != 'x');
        assert_eq!(connections.len(), 1);
        connections.drop_expired(200, |_| true);
        assert!(connections.is_empty());
        keep(&mut connections, "a", 200);
        connections.retain_peers(|peer| *peer != "p");
        assert!(connections.is_empty());
    }
}
