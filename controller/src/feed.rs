//! The feed to porters: numbered lines for held connections, each of which has a connection. Whoever carries the lines says which seats are
//! left: a porter that reads too slowly loses its connection, comes again, and takes a snapshot.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use millpost_config::{Config, change, values};
use millpost_net::pack::pack;
use millpost_protocol::{PeerMessage, object};
use tinyjson::JsonValue;

use crate::{MS, Nanos};

/// An empty line this often shows that the feed lives.
pub const HEARTBEAT_INTERVAL: Nanos = 300 * MS;
/// A porter that still acts on an older configuration this long after it was sent gets it again.
const RESEND_DELAY: Nanos = 1_500 * MS;
/// A longer change goes out packed, and at first only to who is fed whole configurations: on a slow link twice the same would cost a
/// second.
const LARGE_CHANGE: usize = 2 * 1024;
/// Who was not sent a long change, and does not act on it after so long, gets it all the same.
const LARGE_CHANGE_DELAY: Nanos = 700 * MS;
/// Porters at once.
const MAX_FOLLOWERS: usize = 2_000;

/// The number of a connection; never used twice.
pub type ConnectionId = u64;
/// Lines for seats. One that goes to many is one piece of memory.
pub type Lines = Vec<(ConnectionId, Bytes)>;

struct Follower {
    connection: ConnectionId,
    /// What it acts on.
    applied_revision: u64,
    /// What it was sent, and when.
    sent: (u64, Nanos),
    /// It is fed whole configurations; another that it follows does that otherwise.
    whole: bool,
    /// Since when it is pending_since a long change.
    pending_since: Option<Nanos>,
}

/// All followers.
#[derive(Default)]
pub struct Feed {
    followers: BTreeMap<CompactString, Follower>,
    connections: BTreeMap<ConnectionId, CompactString>,
    last_connection: ConnectionId,
    line_number: u64,
    config: Option<Config>,
    /// The whole of it as a note, once somebody needed that.
    packed_config: Option<JsonValue>,
    /// The last change as text.
    change: Option<String>,
    /// The last change where it is long: the revision before, and the line.
    large_change: Option<(u64, Bytes)>,
    configured_at: Option<Nanos>,
    last_logged: u64,
}

/// What a porter that follows gets first.
#[derive(Debug)]
pub struct Followed {
    /// Its connection.
    pub connection: ConnectionId,
    /// The first line.
    pub line: Bytes,
    /// The connection of a connection before, which is to end.
    pub replaced: Option<ConnectionId>,
}

fn line(number: u64, notes: Vec<JsonValue>) -> Bytes {
    let line = object([("n", JsonValue::Number(number as f64)), ("notes", JsonValue::Array(notes))]);
    let mut text = line.stringify().unwrap_or_default();
    text.push('\n');
    Bytes::from(text)
}

impl Feed {
    /// The revision that is fed.
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.revision)
    }

    /// The configuration that is fed.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// How the configuration differs from the one before, as text.
    pub fn change(&self) -> Option<&str> {
        self.change.as_deref()
    }

    /// Who follows.
    pub fn followers(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.followers.iter().map(|(name, f)| (name, f.applied_revision))
    }

    /// The whole configuration as a note.
    fn packed_note(&mut self) -> Option<JsonValue> {
        if self.packed_config.is_none()
            && let Some(config) = &self.config
        {
            let packed = pack(&config.to_json())?;
            self.packed_config =
                Some(PeerMessage::PackedConfig { revision: config.revision, packed }.to_json());
        }
        self.packed_config.clone()
    }

    /// A porter follows from now on; `acts` is the configuration that it has. The snapshot goes first. None where there are too many.
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
        let mut notes: Vec<JsonValue> = Vec::new();
        if whole && applied_revision < self.revision() {
            notes.extend(self.packed_note());
        }
        notes.extend(snapshot.iter().map(PeerMessage::to_json));
        self.line_number += 1;
        self.last_connection += 1;
        let (connection, line) = (self.last_connection, line(self.line_number, notes));
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

    /// A connection is left: its connection has gone, or had no room for a line.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        if let Some(name) = self.connections.remove(&connection) {
            self.followers.remove(&name);
        }
    }

    /// Notes for one, if it follows.
    pub fn send_to(&mut self, name: &str, notes: &[PeerMessage]) -> Option<(ConnectionId, Bytes)> {
        self.line_number += 1;
        let connection = self.followers.get(name)?.connection;
        Some((connection, line(self.line_number, notes.iter().map(PeerMessage::to_json).collect())))
    }

    /// Notes for all.
    pub fn broadcast(&mut self, notes: &[PeerMessage]) -> Lines {
        if notes.is_empty() || self.followers.is_empty() {
            return Lines::new();
        }
        self.line_number += 1;
        let line = line(self.line_number, notes.iter().map(PeerMessage::to_json).collect());
        self.followers.values().map(|f| (f.connection, line.clone())).collect()
    }

    /// A newer configuration is chosen: to each as a difference where it may have the one before. One that can't apply it says so
    /// by what it acts on, or comes anew for the whole.
    pub fn configure(&mut self, now: Nanos, config: Config, packed: Option<String>) -> Lines {
        let before = self.config.take();
        self.line_number += 1;
        let number = self.line_number;
        let old = before.as_ref().map(|c| c.revision);
        let (mut long, mut patch) = (false, None);
        self.change = None;
        if let Some(before) = &before {
            let (revision, change) = (config.revision, change::diff(before, &config));
            // Keys in their order: the same change is the same text, and packs the shorter.
            let text = values::write(&change);
            self.change = Some(text.clone());
            long = text.len() > LARGE_CHANGE;
            let note = match if long { pack(&text) } else { None } {
                Some(packed) => PeerMessage::PackedPatch { revision, packed },
                None => PeerMessage::Patch { revision, change },
            };
            patch = Some(line(number, vec![note.to_json()]));
        }
        self.large_change = old.filter(|_| long).zip(patch.clone());
        let note =
            packed.map(|packed| PeerMessage::PackedConfig { revision: config.revision, packed }.to_json());
        (self.config, self.packed_config) = (Some(config), note);
        let has_previous =
            |f: &Follower| !f.whole || Some(f.sent.0) == old || Some(f.applied_revision) == old;
        let whole = if patch.is_none() || !self.followers.values().all(has_previous) {
            self.packed_note()
        } else {
            None
        };
        let whole = whole.map(|note| line(number, vec![note]));
        let revision = self.revision();
        let mut lines = Lines::new();
        for f in self.followers.values_mut() {
            if long && !f.whole {
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

    /// Long changes for those that another machine should have fed, and has not.
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
            if let Some(note) = self.packed_note() {
                let whole = line(number, vec![note]);
                lines.extend(behind.into_iter().map(|connection| (connection, whole.clone())));
            }
        }
        lines
    }

    /// A porter says what its stall acts on.
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
            resent = self.packed_note().map(|note| (connection, line(number, vec![note])));
        }
        if newest > self.last_logged && self.followers.values().all(|f| f.applied_revision >= newest) {
            self.last_logged = newest;
            let took = self.configured_at.map_or(0, |at| now.saturating_sub(at) / MS);
            log::info!(
                "configuration {newest} acted on by all {} that follow, after {took} ms",
                self.followers.len()
            );
        }
        resent
    }

    /// Whether it follows.
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

    fn has(line: &(ConnectionId, Bytes), word: &str) -> bool {
        String::from_utf8_lossy(&line.1).contains(word)
    }

    #[test]
    fn what_goes_to_many_is_one_piece_of_memory() {
        let mut feed = Feed::default();
        for name in ["a", "b"] {
            assert_eq!(feed.follow(0, name.into(), 0, true, &[]).map(|f| f.replaced), Some(None));
        }
        let lines = feed.broadcast(&[PeerMessage::Leader { address: "x".into(), fence: 1 }]);
        assert_eq!(lines.iter().map(|(connection, _)| *connection).collect::<Vec<_>>(), [1, 2]);
        assert_eq!(lines[0].1.as_ptr(), lines[1].1.as_ptr());
    }

    #[test]
    fn a_difference_goes_to_who_has_what_was_before_and_the_whole_again_to_who_stays_behind() {
        let mut feed = Feed::default();
        feed.follow(0, "a".into(), 0, true, &[]).expect("room");
        assert!(has(&feed.configure(0, config(1), None)[0], "\"packed\""));
        let lines = feed.configure(MS, config(2), None);
        assert!(has(&lines[0], "patch"), "{lines:?}");
        assert_eq!(feed.on_applied(RESEND_DELAY, "a", 1), None);
        let again = feed.on_applied(MS + RESEND_DELAY, "a", 1).expect("again");
        assert!(!has(&again, "patch"), "{again:?}");
        assert_eq!(feed.on_applied(2 + RESEND_DELAY, "a", 1), None);
    }

    /// A change of 1,400 routes went twice down a link of 2 Mbit/s, at 350 KB each: three seconds in which it carried nothing else.
    #[test]
    fn a_long_change_goes_packed_and_once_unless_it_does_not_come() {
        let many = |revision: u64| {
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
        let lines = feed.configure(MS, many(2), None);
        assert_eq!(lines.iter().map(|(connection, _)| *connection).collect::<Vec<_>>(), [1]);
        assert!(has(&lines[0], "folded") && lines[0].1.len() < 12_000, "{}", lines[0].1.len());
        feed.on_applied(300 * MS, "b", 2);
        assert!(feed.overdue_changes(600 * MS).is_empty());
        let late = feed.overdue_changes(MS + LARGE_CHANGE_DELAY);
        assert!(late.len() == 1 && late[0].0 == 3 && has(&late[0], "folded"), "{late:?}");
        assert!(feed.overdue_changes(2 * LARGE_CHANGE_DELAY).is_empty());
        // Two in a row: the second alone does not meet what it has.
        feed.configure(3 * LARGE_CHANGE_DELAY, many(3), None);
        feed.configure(3 * LARGE_CHANGE_DELAY + MS, many(4), None);
        feed.on_applied(3 * LARGE_CHANGE_DELAY + 2 * MS, "b", 4);
        let late = feed.overdue_changes(4 * LARGE_CHANGE_DELAY + MS);
        assert!(late.len() == 1 && has(&late[0], "\"packed\""), "{late:?}");
    }

    #[test]
    fn the_same_long_change_is_the_same_text() {
        let folded = || {
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
            let Some(JsonValue::Array(notes)) = parts.get("notes") else { panic!("notes") };
            PeerMessage::read(&notes[0]).expect("a note")
        };
        let PeerMessage::PackedPatch { packed, .. } = folded() else { panic!("packed") };
        assert_eq!(folded(), PeerMessage::PackedPatch { revision: 2, packed });
    }

    #[test]
    fn a_connection_that_ends_does_not_end_the_one_after_it() {
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
