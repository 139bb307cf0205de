//! The feed: numbered lines on long-lived connections to agents. The caller reports connections that closed
//! or whose queue is full: an agent that reads too slowly loses its connection, reconnects, and receives a
//! snapshot.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use millpost_config::{Config, change, values};
use millpost_net::pack::pack;
use millpost_protocol::{PeerMessage, object};
use tinyjson::JsonValue;

use crate::{MS, Nanos};

/// Interval of empty lines, which show that the feed is alive.
pub const HEARTBEAT_INTERVAL: Nanos = 300 * MS;
/// An agent that still reports an older configuration this long after a newer one was sent receives the whole
/// configuration.
const RESEND_DELAY: Nanos = 1_500 * MS;
/// Changes above this size, in bytes, are compressed, and first sent only to agents that receive whole
/// configurations from this controller. Agents follow several controllers, and on a slow link a second copy
/// would take another second.
const LARGE_CHANGE: usize = 2 * 1024;
/// An agent that was not sent a large change and has not applied it after this time receives it from this
/// controller as well.
const LARGE_CHANGE_DELAY: Nanos = 700 * MS;
/// Maximum number of connected agents.
const MAX_FOLLOWERS: usize = 2_000;

/// Number of a connection, which is never reused.
pub type ConnectionId = u64;
/// Lines by connection. Copies of a line share its memory.
pub type Lines = Vec<(ConnectionId, Bytes)>;

struct Follower {
    connection: ConnectionId,
    /// The newest configuration that the agent has reported.
    applied_revision: u64,
    /// The revision that was last sent, and when.
    sent: (u64, Nanos),
    /// Whether this controller sends whole configurations. Otherwise another controller does that.
    whole: bool,
    /// Since when a large change is withheld.
    pending_since: Option<Nanos>,
}

/// The feed of a controller.
#[derive(Default)]
pub struct Feed {
    followers: BTreeMap<CompactString, Follower>,
    connections: BTreeMap<ConnectionId, CompactString>,
    last_connection: ConnectionId,
    line_number: u64,
    config: Option<Config>,
    /// The whole configuration as a compressed message, once that was needed.
    packed_config: Option<JsonValue>,
    /// The last change as text.
    change: Option<String>,
    /// The last change if it is large: the revision before it, and the line.
    large_change: Option<(u64, Bytes)>,
    configured_at: Option<Nanos>,
    last_logged: u64,
}

/// The result of opening a feed.
#[derive(Debug)]
pub struct Followed {
    /// The new connection.
    pub connection: ConnectionId,
    /// The first line.
    pub line: Bytes,
    /// The agent's previous connection, which must be closed.
    pub replaced: Option<ConnectionId>,
}

fn line(number: u64, messages: Vec<JsonValue>) -> Bytes {
    let line = object([("n", JsonValue::Number(number as f64)), ("notes", JsonValue::Array(messages))]);
    let mut text = line.stringify().unwrap_or_default();
    text.push('\n');
    Bytes::from(text)
}

impl Feed {
    /// Returns the revision of the current configuration; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.revision)
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Returns the change between the previous and the current configuration, as text.
    pub fn change(&self) -> Option<&str> {
        self.change.as_deref()
    }

    /// Returns the connected agents and the revisions that they have applied.
    pub fn followers(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.followers.iter().map(|(name, f)| (name, f.applied_revision))
    }

    /// Returns the whole configuration as a compressed message.
    fn packed_message(&mut self) -> Option<JsonValue> {
        if self.packed_config.is_none()
            && let Some(config) = &self.config
        {
            let packed = pack(&config.to_json())?;
            self.packed_config =
                Some(PeerMessage::PackedConfig { revision: config.revision, packed }.to_json());
        }
        self.packed_config.clone()
    }

    /// Opens the feed of an agent that has applied `applied_revision`, starting with the snapshot. Returns
    /// `None` if too many agents are connected.
    pub fn follow(
        &mut self,
        now: Nanos,
        name: CompactString,
        applied_revision: u64,
        whole: bool,
        snapshot: &[PeerMessage],
    ) -> Option<Followed> {
        if self.followers.len() >= MAX_FOLLOWERS && !self.followers.contains_key(&name) {
            return None;
        }
        let mut messages: Vec<JsonValue> = Vec::new();
        if whole && applied_revision < self.revision() {
            messages.extend(self.packed_message());
        }
        messages.extend(snapshot.iter().map(PeerMessage::to_json));
        self.line_number += 1;
        self.last_connection += 1;
        let (connection, line) = (self.last_connection, line(self.line_number, messages));
        let sent = (self.revision(), now);
        let before = self.followers.insert(
            name.clone(),
            Follower { connection, applied_revision, sent, whole, pending_since: None },
        );
        self.connections.insert(connection, name);
        let replaced = before.map(|f| f.connection);
        if let Some(replaced) = replaced {
            self.connections.remove(&replaced);
        }
        Some(Followed { connection, line, replaced })
    }

    /// Removes a connection that has closed or whose queue is full.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        if let Some(name) = self.connections.remove(&connection) {
            self.followers.remove(&name);
        }
    }

    /// Returns the line with these messages for one agent, if it is connected.
    pub fn send_to(&mut self, name: &str, messages: &[PeerMessage]) -> Option<(ConnectionId, Bytes)> {
        self.line_number += 1;
        let connection = self.followers.get(name)?.connection;
        Some((connection, line(self.line_number, messages.iter().map(PeerMessage::to_json).collect())))
    }

    /// Returns the lines with these messages for all agents.
    pub fn broadcast(&mut self, messages: &[PeerMessage]) -> Lines {
        if messages.is_empty() || self.followers.is_empty() {
            return Lines::new();
        }
        self.line_number += 1;
        let line = line(self.line_number, messages.iter().map(PeerMessage::to_json).collect());
        self.followers.values().map(|f| (f.connection, line.clone())).collect()
    }

    /// Installs a newer configuration and returns the lines for it: the change for agents that have the
    /// previous configuration, else the whole. An agent that cannot apply the change keeps reporting its old
    /// revision, or reconnects to get the whole configuration.
    pub fn configure(&mut self, now: Nanos, config: Config, packed: Option<String>) -> Lines {
        let before = self.config.take();
        self.line_number += 1;
        let number = self.line_number;
        let old = before.as_ref().map(|c| c.revision);
        let (mut large, mut patch) = (false, None);
        self.change = None;
        if let Some(before) = &before {
            let (revision, change) = (config.revision, change::diff(before, &config));
            // Sorted keys make equal changes equal texts, and compress better.
            let text = values::write(&change);
            self.change = Some(text.clone());
            large = text.len() > LARGE_CHANGE;
            let message = match if large { pack(&text) } else { None } {
                Some(packed) => PeerMessage::PackedPatch { revision, packed },
                None => PeerMessage::Patch { revision, change },
            };
            patch = Some(line(number, vec![message.to_json()]));
        }
        self.large_change = old.filter(|_| large).zip(patch.clone());
        let message =
            packed.map(|packed| PeerMessage::PackedConfig { revision: config.revision, packed }.to_json());
        (self.config, self.packed_config) = (Some(config), message);
        let has_previous =
            |f: &Follower| !f.whole || Some(f.sent.0) == old || Some(f.applied_revision) == old;
        let whole = if patch.is_none() || !self.followers.values().all(has_previous) {
            self.packed_message()
        } else {
            None
        };
        let whole = whole.map(|message| line(number, vec![message]));
        let revision = self.revision();
        let mut lines = Lines::new();
        for f in self.followers.values_mut() {
            if large && !f.whole {
                f.pending_since = Some(now);
                continue;
            }
            let bytes = match (&patch, &whole) {
                (Some(patch), _) if has_previous(f) => patch.clone(),
                (_, Some(whole)) if f.whole => whole.clone(),
                _ => continue,
            };
            f.sent = (revision, now);
            lines.push((f.connection, bytes));
        }
        self.configured_at = Some(now);
        lines
    }

    /// Returns the lines with large changes that other controllers should have sent to agents but have not.
    pub fn overdue_changes(&mut self, now: Nanos) -> Lines {
        let newest = self.revision();
        let mut lines = Lines::new();
        let mut behind = Vec::new();
        for f in self.followers.values_mut() {
            if f.applied_revision >= newest {
                f.pending_since = None;
            }
            if f.pending_since.is_none_or(|since| now < since + LARGE_CHANGE_DELAY) {
                continue;
            }
            f.pending_since = None;
            match &self.large_change {
                Some((old, line)) if f.applied_revision == *old => lines.push((f.connection, line.clone())),
                _ => behind.push(f.connection),
            }
        }
        if !behind.is_empty() {
            self.line_number += 1;
            let number = self.line_number;
            if let Some(message) = self.packed_message() {
                let whole = line(number, vec![message]);
                lines.extend(behind.into_iter().map(|connection| (connection, whole.clone())));
            }
        }
        lines
    }

    /// Handles an agent's report of the revision that its proxy has applied. Returns the line to send again,
    /// if that is due.
    pub fn on_applied(&mut self, now: Nanos, name: &str, revision: u64) -> Option<(ConnectionId, Bytes)> {
        let newest = self.revision();
        let follower = self.followers.get_mut(name)?;
        follower.applied_revision = follower.applied_revision.max(revision);
        let mut resent = None;
        if revision < newest && follower.whole && now.saturating_sub(follower.sent.1) >= RESEND_DELAY {
            follower.sent = (newest, now);
            let connection = follower.connection;
            self.line_number += 1;
            let number = self.line_number;
            resent = self.packed_message().map(|message| (connection, line(number, vec![message])));
        }
        if newest > self.last_logged && self.followers.values().all(|f| f.applied_revision >= newest) {
            self.last_logged = newest;
            let took = self.configured_at.map_or(0, |at| now.saturating_sub(at) / MS);
            log::info!(
                "configuration {newest} applied by all {} followers after {took} ms",
                self.followers.len()
            );
        }
        resent
    }

    /// Returns whether the agent of this proxy is connected.
    pub fn is_connected(&self, name: &str) -> bool {
        self.followers.contains_key(name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config(revision: u64) -> Config {
        let service = r#"{"name":"s","boot_ms":300,"memory_mb":128,"concurrency":1}"#;
        let text = format!(r#"{{"revision":{revision},"routes":[],"services":[{service}],"limits":{{}}}}"#);
        Config::parse(&text).expect("a configuration")
    }

    fn line_contains(line: &(ConnectionId, Bytes), text: &str) -> bool {
        String::from_utf8_lossy(&line.1).contains(text)
    }

    #[test]
    fn broadcast_lines_share_their_memory() {
        let mut feed = Feed::default();
        for name in ["a", "b"] {
            assert_eq!(feed.follow(0, name.into(), 0, true, &[]).map(|f| f.replaced), Some(None));
        }
        let lines = feed.broadcast(&[PeerMessage::Leader { address: "x".into(), fence: 1 }]);
        assert_eq!(lines.iter().map(|(connection, _)| *connection).collect::<Vec<_>>(), [1, 2]);
        assert_eq!(lines[0].1.as_ptr(), lines[1].1.as_ptr());
    }

    #[test]
    fn a_change_is_sent_and_the_whole_configuration_to_agents_that_stay_behind() {
        let mut feed = Feed::default();
        feed.follow(0, "a".into(), 0, true, &[]).expect("room");
        assert!(line_contains(&feed.configure(0, config(1), None)[0], "\"packed\""));
        let lines = feed.configure(MS, config(2), None);
        assert!(line_contains(&lines[0], "patch"), "{lines:?}");
        assert_eq!(feed.on_applied(RESEND_DELAY, "a", 1), None);
        let resent = feed.on_applied(MS + RESEND_DELAY, "a", 1).expect("resent");
        assert!(!line_contains(&resent, "patch"), "{resent:?}");
        assert_eq!(feed.on_applied(2 + RESEND_DELAY, "a", 1), None);
    }

    /// A change of 1,400 routes (350 KB) was sent twice over a link of 2 Mbit/s, which blocked the link for
    /// three seconds.
    #[test]
    fn a_large_change_is_compressed_and_sent_by_one_controller_unless_it_is_overdue() {
        let with_many_services = |revision: u64| {
            let mut new = config(revision);
            let service = new.services[0].clone();
            new.services.extend((0..400).map(|n| millpost_config::Service {
                name: format!("s-{revision}-{n}").into(),
                ..service.clone()
            }));
            new
        };
        let mut feed = Feed::default();
        feed.configure(0, config(1), None);
        for (name, whole) in [("a", true), ("b", false), ("c", false)] {
            feed.follow(0, name.into(), 1, whole, &[]).expect("room");
        }
        let lines = feed.configure(MS, with_many_services(2), None);
        assert_eq!(lines.iter().map(|(connection, _)| *connection).collect::<Vec<_>>(), [1]);
        assert!(line_contains(&lines[0], "folded") && lines[0].1.len() < 12_000, "{}", lines[0].1.len());
        feed.on_applied(300 * MS, "b", 2);
        assert!(feed.overdue_changes(600 * MS).is_empty());
        let overdue = feed.overdue_changes(MS + LARGE_CHANGE_DELAY);
        assert!(
            overdue.len() == 1 && overdue[0].0 == 3 && line_contains(&overdue[0], "folded"),
            "{overdue:?}"
        );
        assert!(feed.overdue_changes(2 * LARGE_CHANGE_DELAY).is_empty());
        // After two changes in a row the second one alone does not apply to the agent's configuration.
        feed.configure(3 * LARGE_CHANGE_DELAY, with_many_services(3), None);
        feed.configure(3 * LARGE_CHANGE_DELAY + MS, with_many_services(4), None);
        feed.on_applied(3 * LARGE_CHANGE_DELAY + 2 * MS, "b", 4);
        let overdue = feed.overdue_changes(4 * LARGE_CHANGE_DELAY + MS);
        assert!(overdue.len() == 1 && line_contains(&overdue[0], "\"packed\""), "{overdue:?}");
    }

    #[test]
    fn equal_large_changes_have_equal_texts() {
        let large_change = || {
            let mut new = config(2);
            let service = new.services[0].clone();
            let more = (0..40)
                .map(|n| millpost_config::Service { name: format!("s-{n}").into(), ..service.clone() });
            new.services.extend(more);
            let mut feed = Feed::default();
            feed.configure(0, config(1), None);
            feed.follow(0, "a".into(), 1, true, &[]).expect("room");
            let json = millpost_net::messaging::json(&feed.configure(MS, new, None)[0].1).expect("JSON");
            let JsonValue::Object(parts) = json else { panic!("an object") };
            let Some(JsonValue::Array(messages)) = parts.get("notes") else { panic!("notes") };
            PeerMessage::read(&messages[0]).expect("a message")
        };
        let PeerMessage::PackedPatch { packed, .. } = large_change() else { panic!("packed") };
        assert_eq!(large_change(), PeerMessage::PackedPatch { revision: 2, packed });
    }

    #[test]
    fn closing_a_replaced_connection_does_not_close_its_successor() {
        let mut feed = Feed::default();
        let first = feed.follow(0, "a".into(), 0, true, &[]).expect("room").connection;
        let second = feed.follow(0, "a".into(), 0, true, &[]).expect("room");
        assert_eq!(second.replaced, Some(first));
        feed.disconnected(first);
        assert!(feed.is_connected("a"));
        feed.disconnected(second.connection);
        assert!(!feed.is_connected("a") && feed.send_to("a", &[]).is_none());
    }
}
