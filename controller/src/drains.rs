//! Temporary drains of proxies and workers, ordered by operators. Every controller knows them, so that the
//! next leader does. A drain ends by itself; an undone drain is kept until it would have ended, so that
//! delayed messages do not restore it.
//!
//! Invariants: an order is applied as a whole or not at all; at least half of a zone's proxies and of its
//! workers stay in service; at most [`MAX_DRAINS`] drains are kept.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_protocol::{PeerMessage, Version, object, string, text, whole};
use tinyjson::JsonValue;

use crate::errors::CallError;
use crate::{MS, Nanos};

/// Maximum number of drains, including undone ones.
const MAX_DRAINS: usize = 64;
/// Longest duration of a drain.
const MAX_DURATION: Nanos = 24 * 3_600_000 * MS;
/// A drained proxy keeps its functions for this long: the platform checks its readiness every second and
/// stops sending clients after two failures.
const OWNERSHIP_DELAY: Nanos = 2_500 * MS;
/// After this time a new leader has received the drains that the other controllers know.
const TAKEOVER_DELAY: Nanos = 1_000 * MS;
/// A resting proxy reports this with each heartbeat, every 450 ms. A report is valid for [`REPORT_TTL`], and the
/// proxy is notified again at intervals of at least [`RESEND_DELAY`].
const REPORT_TTL: Nanos = 1_000 * MS;
const RESEND_DELAY: Nanos = 500 * MS;
/// Ends that differ by less than this count as equal, because machines do not share a clock.
const END_TOLERANCE: Nanos = 1_000 * MS;

/// The kind of what is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// The proxy of an edge machine.
    Edge,
    /// A worker of the platform.
    Worker,
}

impl Target {
    fn name(self) -> &'static str {
        match self {
            Target::Edge => "edge",
            Target::Worker => "worker",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        [Target::Edge, Target::Worker].into_iter().find(|what| what.name() == name)
    }
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Drains the target of this name for this long.
    Drain(Target, CompactString, Nanos),
    /// Ends the drain of the target of this name.
    Undo(Target, CompactString),
}

impl Order {
    /// Describes the order for the log.
    pub fn describe(&self) -> String {
        match self {
            Order::Drain(what, name, lasts) => {
                format!("{} {name:?} drained for {} s", what.name(), lasts / (1_000 * MS))
            }
            Order::Undo(what, name) => format!("{} {name:?} no longer drained", what.name()),
        }
    }

    /// Parses an order.
    pub fn parse(json: &JsonValue) -> Result<Self, CallError> {
        let JsonValue::Object(parts) = json else { return Err(CallError::Invalid("no object".to_owned())) };
        let invalid = |e: millpost_protocol::Fault| CallError::Invalid(e.to_string());
        let field = |key| string(parts, key).map_err(invalid);
        let what = Target::parse(&field("what")?);
        let what = what.ok_or_else(|| CallError::Invalid("what: edge or worker".to_owned()))?;
        let name = field("name")?;
        match field("order")?.as_str() {
            "undo" => Ok(Order::Undo(what, name)),
            "drain" => {
                let lasts = whole(parts, "for_ms").map_err(invalid)?.saturating_mul(MS);
                if (1_000 * MS..=MAX_DURATION).contains(&lasts) {
                    return Ok(Order::Drain(what, name, lasts));
                }
                Err(CallError::Invalid("for_ms: from a second to a day".to_owned()))
            }
            _ => Err(CallError::Invalid("order: drain or undo".to_owned())),
        }
    }
}

/// The proxies and workers that the leader knows, as pairs of name and zone.
pub struct Fleet<'a> {
    /// Live proxies.
    pub proxies: Vec<(&'a str, &'a str)>,
    /// Workers in the platform's last reply that the platform itself does not drain.
    pub workers: Vec<(&'a str, &'a str)>,
}

#[derive(Clone, Debug)]
struct Drain {
    zone: CompactString,
    /// Since when the drain is known here; `None` if it was received from another controller.
    since: Option<Nanos>,
    until: Nanos,
    undone: bool,
    /// The latest end that the drain ever had, which its proxy may still assume.
    keep_until: Nanos,
}

impl Drain {
    fn is_active(&self, now: Nanos) -> bool {
        !self.undone && self.until > now
    }
}

/// Drains by kind and name.
type DrainMap = BTreeMap<(Target, CompactString), Drain>;

/// What a proxy has reported, and when it was last notified.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyReport {
    /// When it last reported that it rests, and until when.
    rest: Option<(Nanos, Nanos)>,
    notified_at: Option<Nanos>,
}

impl ProxyReport {
    /// Returns until when the proxy rests, by its last report.
    fn resting_until(&self, now: Nanos) -> Option<Nanos> {
        self.rest.filter(|(at, _)| at + REPORT_TTL > now).map(|(_, until)| until)
    }
}

/// All drains.
#[derive(Debug, Default)]
pub struct Drains {
    /// The version; the newest one wins, whichever controller sends it.
    version: Version,
    all: DrainMap,
    reports: BTreeMap<CompactString, ProxyReport>,
    /// The fence of this controller, and since when it is the leader.
    leadership: Option<(u64, Nanos)>,
}

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

impl Drains {
    /// Updates the timers. `fence` is the fence of this controller while it is the leader.
    pub fn tick(&mut self, now: Nanos, fence: Option<u64>) {
        if self.leadership.map(|(held, _)| held) != fence {
            self.leadership = fence.map(|fence| (fence, now));
            self.reports.clear();
        }
        self.all.retain(|_, drain| drain.keep_until > now);
        let all = &self.all;
        self.reports.retain(|name, report| {
            let recent = report.resting_until(now).is_some()
                || report.notified_at.is_some_and(|at| at + REPORT_TTL > now);
            recent || all.contains_key(&(Target::Edge, name.clone()))
        });
    }

    /// Returns whether there are no drains, not even undone ones.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && self.reports.is_empty()
    }

    fn active(&self, what: Target, now: Nanos) -> impl Iterator<Item = (&CompactString, &Drain)> {
        let all = self.all.iter().filter(move |((target, _), d)| *target == what && d.is_active(now));
        all.map(|((_, name), drain)| (name, drain))
    }

    fn find_drained(&self, what: Target, now: Nanos, name: &str) -> Option<&Drain> {
        self.active(what, now).find(|(known, _)| *known == name).map(|(_, drain)| drain)
    }

    /// Returns the proxies that must not own functions.
    pub fn excluded_proxies(&self, now: Nanos) -> BTreeSet<CompactString> {
        let settled = |d: &Drain| d.since.is_none_or(|since| since + OWNERSHIP_DELAY <= now);
        self.active(Target::Edge, now).filter(|(_, d)| settled(d)).map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether a worker is drained.
    pub fn is_worker_drained(&self, now: Nanos, name: &str) -> bool {
        self.find_drained(Target::Worker, now, name).is_some()
    }

    fn bump_version(&mut self) {
        let fence = self.leadership.map_or(0, |(fence, _)| fence);
        self.version = (fence, if self.version.0 == fence { self.version.1 + 1 } else { 1 });
    }

    /// Applies an operator's order, or returns all reasons against it.
    pub fn order(&mut self, now: Nanos, order: Order, fleet: &Fleet<'_>) -> Result<(), CallError> {
        let Some((_, since)) = self.leadership else { return Err(CallError::NotLeader) };
        if now < since + TAKEOVER_DELAY {
            return Err(CallError::Unclear);
        }
        match order {
            Order::Undo(what, name) => {
                let refused = CallError::Refused(vec![format!("{} {name:?} is not out", what.name())]);
                let drain = self.all.get_mut(&(what, name)).filter(|d| d.keep_until > now).ok_or(refused)?;
                drain.undone = true;
            }
            Order::Drain(what, name, lasts) => {
                let zone = self.check(now, what, &name, fleet).map_err(CallError::Refused)?;
                let before = self.find_drained(what, now, &name).map(|d| d.since);
                let (since, until) = (before.unwrap_or(Some(now)), now + lasts);
                let keep_until =
                    self.all.get(&(what, name.clone())).map_or(until, |d| d.keep_until.max(until));
                self.all.insert((what, name), Drain { zone, since, until, undone: false, keep_until });
            }
        }
        self.bump_version();
        self.reports.values_mut().for_each(|report| report.notified_at = None);
        Ok(())
    }

    /// Returns the zone of a target that may be drained, or all reasons against draining it.
    fn check(
        &self,
        now: Nanos,
        what: Target,
        name: &str,
        fleet: &Fleet<'_>,
    ) -> Result<CompactString, Vec<String>> {
        let all = match what {
            Target::Edge => &fleet.proxies,
            Target::Worker => &fleet.workers,
        };
        let mut why = Vec::new();
        let known = self.find_drained(what, now, name);
        if known.is_none() && self.all.len() >= MAX_DRAINS {
            why.push(format!("{MAX_DRAINS} are out or were undone, and no more are kept"));
        }
        let found = all.iter().find(|(known, _)| *known == name).map(|(_, zone)| CompactString::from(*zone));
        let Some(zone) = found.or_else(|| known.map(|d| d.zone.clone())) else {
            why.push(format!("no {} {name:?} is known to be up", what.name()));
            return Err(why);
        };
        let up: BTreeSet<&str> = all.iter().filter(|(_, z)| *z == zone).map(|(known, _)| *known).collect();
        let mut drained: BTreeSet<&str> =
            self.active(what, now).map(|(name, _)| name.as_str()).filter(|name| up.contains(name)).collect();
        drained.extend(up.get(name));
        let remaining = up.len() - drained.len();
        if remaining * 2 < up.len() || remaining == 0 {
            let nouns = if what == Target::Edge { "stalls" } else { "workers" };
            let count = up.len();
            why.push(format!(
                "{remaining} of {count} {nouns} of zone {zone:?} would stay: fewer than half, or none"
            ));
        }
        if why.is_empty() { Ok(zone) } else { Err(why) }
    }

    /// Handles the report of a proxy that it rests for `left` more milliseconds. If no controller knows the
    /// reason, the drain continues: after a loss of all controllers the report is all that is left of the
    /// order.
    pub fn on_report(&mut self, now: Nanos, name: &str, zone: Option<&str>, left: f64) {
        let until = now.saturating_add((left.clamp(0.0, 1e9) * MS as f64) as Nanos).min(now + MAX_DURATION);
        let key = (Target::Edge, CompactString::from(name));
        if !self.all.contains_key(&key)
            && until > now
            && self.all.len() < MAX_DRAINS
            && self.leadership.is_some()
        {
            let zone = zone.unwrap_or_default().into();
            self.all.insert(key, Drain { zone, since: None, until, undone: false, keep_until: until });
            self.bump_version();
        }
        self.reports.entry(name.into()).or_default().rest = Some((now, until));
    }

    /// Returns the proxies that must be notified now, with their messages.
    pub fn due_messages(&mut self, now: Nanos) -> Vec<(CompactString, PeerMessage)> {
        let mut due = Vec::new();
        for ((what, name), drain) in &self.all {
            if *what != Target::Edge || self.leadership.is_none() {
                continue;
            }
            let report = self.reports.entry(name.clone()).or_default();
            let confirmed = match report.resting_until(now) {
                Some(until) => drain.is_active(now) && until.abs_diff(drain.until) < END_TOLERANCE,
                None => !drain.is_active(now),
            };
            if !confirmed && report.notified_at.is_none_or(|at| at + RESEND_DELAY <= now) {
                report.notified_at = Some(now);
                due.push((name.clone(), rest_message(now, name, drain)));
            }
        }
        due
    }

    /// Returns the message for a proxy's agent when its feed opens.
    pub fn snapshot(&self, now: Nanos, name: &str) -> Option<PeerMessage> {
        let drain = self.all.get(&(Target::Edge, name.into()))?;
        Some(rest_message(now, name, drain))
    }

    /// Returns the drains for other controllers; `null` if there are none.
    pub fn to_gossip(&self, now: Nanos) -> JsonValue {
        if self.all.is_empty() {
            return JsonValue::Null;
        }
        let each = self.all.iter().map(|((what, name), drain)| {
            object([
                ("w", text(what.name())),
                ("n", text(name)),
                ("z", text(&drain.zone)),
                ("l", number(drain.until.saturating_sub(now) / MS)),
                ("k", number(drain.keep_until.saturating_sub(now) / MS)),
                ("u", if drain.undone { number(1) } else { JsonValue::Null }),
            ])
        });
        let version = vec![number(self.version.0), number(self.version.1)];
        object([("v", JsonValue::Array(version)), ("all", JsonValue::Array(each.collect()))])
    }

    /// Merges the drains of another controller. Invalid values change nothing.
    pub fn merge(&mut self, now: Nanos, gossip: &JsonValue) {
        let Some((version, all)) = self.parse(now, gossip).filter(|(version, _)| *version > self.version)
        else {
            return;
        };
        (self.version, self.all) = (version, all);
    }

    fn parse(&self, now: Nanos, gossip: &JsonValue) -> Option<(Version, DrainMap)> {
        let JsonValue::Object(parts) = gossip else { return None };
        let (JsonValue::Array(version), JsonValue::Array(all)) = (parts.get("v")?, parts.get("all")?) else {
            return None;
        };
        let [JsonValue::Number(fence), JsonValue::Number(count)] = version[..] else { return None };
        let each = all.iter().take(MAX_DRAINS).map(|one| {
            let JsonValue::Object(parts) = one else { return None };
            let key = (Target::parse(&string(parts, "w").ok()?)?, string(parts, "n").ok()?);
            let span = |key| Some(whole(parts, key).ok()?.saturating_mul(MS).min(MAX_DURATION));
            let (until, keep_until) = (now + span("l")?, now + span("k")?);
            let since = self.all.get(&key).and_then(|known| known.since);
            let (zone, undone) = (string(parts, "z").ok()?, parts.contains_key("u"));
            Some((key, Drain { zone, since, until, undone, keep_until }))
        });
        Some(((fence as u64, count as u64), each.collect::<Option<_>>()?))
    }

    /// Returns the drains for operators.
    pub fn to_json(
        &self,
        now: Nanos,
        named: impl Fn(&str) -> bool,
        instances: impl Fn(&str) -> usize,
    ) -> JsonValue {
        let each = self.all.iter().map(|((what, name), drain)| {
            let rests = self.reports.get(name).is_some_and(|report| report.resting_until(now).is_some());
            let (rests, owns, instances) = match what {
                Target::Edge => (JsonValue::Boolean(rests), JsonValue::Boolean(named(name)), JsonValue::Null),
                Target::Worker => (JsonValue::Null, JsonValue::Null, number(instances(name) as u64)),
            };
            object([
                ("what", text(what.name())),
                ("name", text(name)),
                ("zone", text(&drain.zone)),
                ("left_ms", number(drain.until.saturating_sub(now) / MS)),
                ("undone", if drain.is_active(now) { JsonValue::Null } else { JsonValue::Boolean(true) }),
                ("rests", rests),
                ("owns", owns),
                ("instances", instances),
            ])
        });
        JsonValue::Array(each.collect())
    }
}

fn rest_message(now: Nanos, name: &str, drain: &Drain) -> PeerMessage {
    let left = if drain.is_active(now) { drain.until - now } else { 0 };
    PeerMessage::Drain { name: name.into(), left: left as f64 / MS as f64 }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Nanos = 1_000 * MS;
    const UP: [(&str, &str); 5] = [("a", "z"), ("b", "z"), ("c", "z"), ("d", "z"), ("e", "y")];

    fn fleet(all: &'static [(&'static str, &'static str)]) -> Fleet<'static> {
        Fleet { proxies: all.to_vec(), workers: all.to_vec() }
    }

    fn leader(fence: u64) -> Drains {
        let mut drains = Drains::default();
        drains.tick(0, Some(fence));
        drains
    }

    fn drain(drains: &mut Drains, now: Nanos, name: &str) -> Result<(), CallError> {
        drains.order(now, Order::Drain(Target::Edge, name.into(), 10 * S), &fleet(&UP))
    }

    fn reasons(all: &[&str]) -> Result<(), CallError> {
        Err(CallError::Refused(all.iter().map(|r| (*r).to_owned()).collect()))
    }

    #[test]
    fn half_of_a_zone_stays_in_service_and_unknown_names_are_refused() {
        let mut drains = leader(4);
        assert_eq!(drain(&mut drains, S / 2, "a"), Err(CallError::Unclear));
        assert_eq!(drain(&mut drains, S, "a"), Ok(()));
        assert_eq!(drain(&mut drains, S, "b"), Ok(()));
        let few = r#"1 of 4 stalls of zone "z" would stay: fewer than half, or none"#;
        assert_eq!(drain(&mut drains, S, "c"), reasons(&[few]));
        // A drained proxy may be drained again to change the duration, and workers are counted separately.
        assert_eq!(drain(&mut drains, 2 * S, "b"), Ok(()));
        assert_eq!(drains.order(S, Order::Drain(Target::Worker, "c".into(), S), &fleet(&UP)), Ok(()));
        let none = r#"0 of 1 stalls of zone "y" would stay: fewer than half, or none"#;
        assert_eq!(drain(&mut drains, S, "e"), reasons(&[none]));
        assert_eq!(drain(&mut drains, S, "x"), reasons(&[r#"no edge "x" is known to be up"#]));
        let undo = |drains: &mut Drains, name: &str| {
            drains.order(3 * S, Order::Undo(Target::Edge, name.into()), &fleet(&UP))
        };
        assert_eq!(undo(&mut drains, "c"), reasons(&[r#"edge "c" is not out"#]));
        assert_eq!(undo(&mut drains, "b"), Ok(()));
        assert_eq!(drain(&mut drains, 3 * S, "c"), Ok(()));
        drains.tick(4 * S, None);
        assert_eq!(drain(&mut drains, 4 * S, "a"), Err(CallError::NotLeader));
    }

    #[test]
    fn a_proxy_is_notified_until_it_confirms_and_keeps_its_functions_while_clients_leave() {
        let mut drains = leader(4);
        let due = |drains: &mut Drains, at: Nanos| {
            drains
                .due_messages(at)
                .iter()
                .map(|(name, message)| (name.to_string(), message.clone()))
                .collect::<Vec<_>>()
        };
        drain(&mut drains, S, "a").expect("it may");
        let message = |left| vec![("a".to_owned(), PeerMessage::Drain { name: "a".into(), left })];
        assert_eq!(due(&mut drains, S), message(10_000.0));
        assert_eq!(due(&mut drains, S + 100 * MS), []);
        assert_eq!(due(&mut drains, S + 500 * MS), message(9_500.0));
        assert!(drains.excluded_proxies(3 * S).is_empty());
        drains.on_report(2 * S, "a", Some("z"), 9_000.0);
        assert_eq!(due(&mut drains, 2 * S + 900 * MS), []);
        assert_eq!(drains.excluded_proxies(S + OWNERSHIP_DELAY), BTreeSet::from(["a".into()]));
        // The proxy restarted and does not know of the drain.
        assert_eq!(due(&mut drains, 4 * S), message(7_000.0));
        drains.on_report(5 * S, "a", Some("z"), 6_500.0);
        assert_eq!(due(&mut drains, 5 * S), []);
        // A changed duration is sent as well.
        drains.order(5 * S, Order::Drain(Target::Edge, "a".into(), 4 * S), &fleet(&UP)).expect("it may");
        assert_eq!(due(&mut drains, 5 * S), message(4_000.0));
        drains.order(5 * S, Order::Undo(Target::Edge, "a".into()), &fleet(&UP)).expect("it is out");
        assert!(drains.excluded_proxies(5 * S).is_empty());
        assert_eq!(due(&mut drains, 5 * S), message(0.0));
        // A late report of the proxy does not restore the drain.
        drains.on_report(6 * S, "a", Some("z"), 5_000.0);
        assert!(drains.excluded_proxies(9 * S).is_empty());
        drains.tick(10 * S, Some(4));
        assert!(!drains.is_empty());
        drains.tick(11 * S, Some(4));
        assert!(drains.is_empty() && drains.to_gossip(11 * S) == JsonValue::Null);
    }

    #[test]
    fn a_new_leader_continues_the_drains_that_it_received() {
        let (mut old, mut new) = (leader(4), Drains::default());
        drain(&mut old, S, "a").expect("it may");
        let first = old.to_gossip(2 * S);
        new.merge(2 * S, &first);
        old.order(3 * S, Order::Undo(Target::Edge, "a".into()), &fleet(&UP)).expect("it is out");
        drain(&mut old, 3 * S, "b").expect("it may");
        new.merge(3 * S, &old.to_gossip(3 * S));
        // Older drains are ignored, and invalid ones change nothing.
        new.merge(3 * S, &first);
        new.merge(3 * S, &r#"{"v":[9,9],"all":[{"w":"edge"}]}"#.parse().expect("JSON"));
        new.tick(4 * S, Some(5));
        assert_eq!(new.excluded_proxies(4 * S), BTreeSet::from(["b".into()]));
        assert_eq!(new.due_messages(4 * S).len(), 1);
        drain(&mut new, 5 * S, "c").expect("it may");
        old.tick(5 * S, None);
        old.merge(5 * S, &new.to_gossip(5 * S));
        assert_eq!(old.to_gossip(5 * S), new.to_gossip(5 * S));
        // After a loss of all controllers the proxy's report is all that is left.
        let mut last = leader(6);
        last.on_report(S, "b", Some("z"), 3_000.0);
        assert_eq!(last.excluded_proxies(S), BTreeSet::from(["b".into()]));
        last.tick(4 * S, Some(6));
        assert!(last.excluded_proxies(4 * S).is_empty());
    }

    #[yare::parameterized(
        drain = { r#"{"order":"drain","what":"edge","name":"a","for_ms":2000}"#,
            Ok(Order::Drain(Target::Edge, "a".into(), 2 * S)) },
        undo = { r#"{"order":"undo","what":"worker","name":"w"}"#, Ok(Order::Undo(Target::Worker, "w".into())) },
        too_short = { r#"{"order":"drain","what":"edge","name":"a","for_ms":999}"#,
            Err(CallError::Invalid("for_ms: from a second to a day".into())) },
        too_long = { r#"{"order":"drain","what":"edge","name":"a","for_ms":86400001}"#,
            Err(CallError::Invalid("for_ms: from a second to a day".into())) },
        unknown_target = { r#"{"order":"drain","what":"core","name":"a"}"#,
            Err(CallError::Invalid("what: edge or worker".into())) },
        unknown_order = { r#"{"order":"x","what":"edge","name":"a"}"#, Err(CallError::Invalid("order: drain or undo".into())) },
        missing_name = { r#"{"order":"undo","what":"edge"}"#, Err(CallError::Invalid("name: missing".into())) },
    )]
    fn orders_are_parsed_or_rejected_with_a_reason(text: &str, expected: Result<Order, CallError>) {
        assert_eq!(Order::parse(&text.parse().expect("JSON")), expected);
    }
}
