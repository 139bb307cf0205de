//! What operators have taken out for a while: stalls, and workers. Every control machine knows it, so that the next leader does; a
//! drain ends by itself, and one that was undone is kept until it would have ended, so that no late word brings it back. Invariants: an
//! order changes all or nothing; at least half of a zone's stalls, and of its workers, stay; no more than [`MOST`] are kept.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_protocol::{PeerMessage, Version, object, string, text, whole};
use tinyjson::JsonValue;

use crate::errors::Kind;
use crate::{MS, Nanos};

/// Drains at once, those that were undone counted in.
const MOST: usize = 64;
/// The longest drain.
const LONGEST: Nanos = 24 * 3_600_000 * MS;
/// A stall goes on owning functions for so long: the platform asks every second whether it is ready, and needs two misses.
const LEAVES: Nanos = 2_500 * MS;
/// A new leader has heard what the others know.
const HEARD_ALL: Nanos = 1_000 * MS;
/// A stall says with each beat, every 450 ms, that it rests; after so long without that it is told again, and no more often.
const UNSAID: Nanos = 1_000 * MS;
const AGAIN: Nanos = 500 * MS;
/// Two ends that differ by less are the same: no two machines share a clock.
const ABOUT: Nanos = 1_000 * MS;

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    /// An edge machine's stall.
    Edge,
    /// A worker of the platform.
    Worker,
}

impl What {
    fn word(self) -> &'static str {
        match self {
            What::Edge => "edge",
            What::Worker => "worker",
        }
    }

    fn read(word: &str) -> Option<Self> {
        [What::Edge, What::Worker].into_iter().find(|what| what.word() == word)
    }
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Out, for so long.
    Out(What, CompactString, Nanos),
    /// Back.
    Back(What, CompactString),
}

impl Order {
    /// In words, for the log.
    pub fn says(&self) -> String {
        match self {
            Order::Out(what, name, lasts) => {
                format!("{} {name:?} is to be out for {} s", what.word(), lasts / (1_000 * MS))
            }
            Order::Back(what, name) => format!("{} {name:?} is to be back", what.word()),
        }
    }

    /// Reads one.
    pub fn read(json: &JsonValue) -> Result<Self, Kind> {
        let JsonValue::Object(parts) = json else { return Err(Kind::Invalid("no object".to_owned())) };
        let invalid = |e: millpost_protocol::Fault| Kind::Invalid(e.to_string());
        let word = |key| string(parts, key).map_err(invalid);
        let what = What::read(&word("what")?);
        let what = what.ok_or_else(|| Kind::Invalid("what: edge or worker".to_owned()))?;
        let name = word("name")?;
        match word("order")?.as_str() {
            "undo" => Ok(Order::Back(what, name)),
            "drain" => {
                let lasts = whole(parts, "for_ms").map_err(invalid)?.saturating_mul(MS);
                if (1_000 * MS..=LONGEST).contains(&lasts) {
                    return Ok(Order::Out(what, name, lasts));
                }
                Err(Kind::Invalid("for_ms: from a second to a day".to_owned()))
            }
            _ => Err(Kind::Invalid("order: drain or undo".to_owned())),
        }
    }
}

/// What there is, as the leader knows it: names with their zones.
pub struct Seen<'a> {
    /// Stalls that are alive.
    pub stalls: Vec<(&'a str, &'a str)>,
    /// Workers of the last answer that the platform does not empty itself.
    pub workers: Vec<(&'a str, &'a str)>,
}

#[derive(Clone, Debug)]
struct Drain {
    zone: CompactString,
    /// Since when it is known here; long ago, where another has told of it.
    since: Option<Nanos>,
    until: Nanos,
    undone: bool,
    /// The latest end that it ever had: its stall may go by that.
    kept: Nanos,
}

impl Drain {
    fn is_open(&self, now: Nanos) -> bool {
        !self.undone && self.until > now
    }
}

/// All that are kept, by what they are about.
type All = BTreeMap<(What, CompactString), Drain>;

/// What a stall says, and was told.
#[derive(Clone, Copy, Debug, Default)]
struct Talk {
    /// When it last said that it rests, and until when.
    said: Option<(Nanos, Nanos)>,
    told: Option<Nanos>,
}

impl Talk {
    /// Until when it rests, as it says.
    fn rests(&self, now: Nanos) -> Option<Nanos> {
        self.said.filter(|(at, _)| at + UNSAID > now).map(|(_, until)| until)
    }
}

/// All of it.
#[derive(Debug, Default)]
pub struct Drains {
    /// The newer one counts, whoever tells it.
    version: Version,
    all: All,
    talks: BTreeMap<CompactString, Talk>,
    /// The fence of this machine, and since when it is the leader.
    term: Option<(u64, Nanos)>,
}

fn number(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

impl Drains {
    /// Time passes; the fence while this machine is the leader.
    pub fn tick(&mut self, now: Nanos, fence: Option<u64>) {
        if self.term.map(|(of, _)| of) != fence {
            self.term = fence.map(|fence| (fence, now));
            self.talks.clear();
        }
        self.all.retain(|_, drain| drain.kept > now);
        let all = &self.all;
        self.talks.retain(|name, talk| {
            let lately = talk.rests(now).is_some() || talk.told.is_some_and(|at| at + UNSAID > now);
            lately || all.contains_key(&(What::Edge, name.clone()))
        });
    }

    /// Nothing is out, and nothing was.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && self.talks.is_empty()
    }

    fn out(&self, what: What, now: Nanos) -> impl Iterator<Item = (&CompactString, &Drain)> {
        let all = self.all.iter().filter(move |((of, _), d)| *of == what && d.is_open(now));
        all.map(|((_, name), drain)| (name, drain))
    }

    fn is_out(&self, what: What, now: Nanos, name: &str) -> Option<&Drain> {
        self.out(what, now).find(|(of, _)| *of == name).map(|(_, drain)| drain)
    }

    /// Stalls that are not to own functions.
    pub fn unnamed(&self, now: Nanos) -> BTreeSet<CompactString> {
        let settled = |d: &Drain| d.since.is_none_or(|since| since + LEAVES <= now);
        self.out(What::Edge, now).filter(|(_, d)| settled(d)).map(|(name, _)| name.clone()).collect()
    }

    /// Whether a worker is out.
    pub fn has_worker(&self, now: Nanos, name: &str) -> bool {
        self.is_out(What::Worker, now, name).is_some()
    }

    fn change(&mut self) {
        let fence = self.term.map_or(0, |(fence, _)| fence);
        self.version = (fence, if self.version.0 == fence { self.version.1 + 1 } else { 1 });
    }

    /// An operator's order, or all reasons against it.
    pub fn order(&mut self, now: Nanos, order: Order, seen: &Seen<'_>) -> Result<(), Kind> {
        let Some((_, since)) = self.term else { return Err(Kind::NotLeader) };
        if now < since + HEARD_ALL {
            return Err(Kind::Unclear);
        }
        match order {
            Order::Back(what, name) => {
                let refused = Kind::Refused(vec![format!("{} {name:?} is not out", what.word())]);
                let drain = self.all.get_mut(&(what, name)).filter(|d| d.kept > now).ok_or(refused)?;
                drain.undone = true;
            }
            Order::Out(what, name, lasts) => {
                let zone = self.may(now, what, &name, seen).map_err(Kind::Refused)?;
                let before = self.is_out(what, now, &name).map(|d| d.since);
                let (since, until) = (before.unwrap_or(Some(now)), now + lasts);
                let kept = self.all.get(&(what, name.clone())).map_or(until, |d| d.kept.max(until));
                self.all.insert((what, name), Drain { zone, since, until, undone: false, kept });
            }
        }
        self.change();
        self.talks.values_mut().for_each(|talk| talk.told = None);
        Ok(())
    }

    /// The zone of what may be taken out.
    fn may(&self, now: Nanos, what: What, name: &str, seen: &Seen<'_>) -> Result<CompactString, Vec<String>> {
        let all = match what {
            What::Edge => &seen.stalls,
            What::Worker => &seen.workers,
        };
        let mut why = Vec::new();
        let known = self.is_out(what, now, name);
        if known.is_none() && self.all.len() >= MOST {
            why.push(format!("{MOST} are out or were undone, and no more are kept"));
        }
        let found = all.iter().find(|(of, _)| *of == name).map(|(_, zone)| CompactString::from(*zone));
        let Some(zone) = found.or_else(|| known.map(|d| d.zone.clone())) else {
            why.push(format!("no {} {name:?} is known to be up", what.word()));
            return Err(why);
        };
        let up: BTreeSet<&str> = all.iter().filter(|(_, z)| *z == zone).map(|(of, _)| *of).collect();
        let mut out: BTreeSet<&str> =
            self.out(what, now).map(|(of, _)| of.as_str()).filter(|of| up.contains(of)).collect();
        out.extend(up.get(name));
        let stay = up.len() - out.len();
        if stay * 2 < up.len() || stay == 0 {
            let nouns = if what == What::Edge { "stalls" } else { "workers" };
            let count = up.len();
            why.push(format!(
                "{stay} of {count} {nouns} of zone {zone:?} would stay: fewer than half, or none"
            ));
        }
        if why.is_empty() { Ok(zone) } else { Err(why) }
    }

    /// A stall says that it rests, for so many milliseconds more. Where nobody knows why, it goes on: all of control was lost, and it
    /// is what is left of the order.
    pub fn said(&mut self, now: Nanos, name: &str, zone: Option<&str>, left: f64) {
        let until = now.saturating_add((left.clamp(0.0, 1e9) * MS as f64) as Nanos).min(now + LONGEST);
        let key = (What::Edge, CompactString::from(name));
        if !self.all.contains_key(&key) && until > now && self.all.len() < MOST && self.term.is_some() {
            let zone = zone.unwrap_or_default().into();
            self.all.insert(key, Drain { zone, since: None, until, undone: false, kept: until });
            self.change();
        }
        self.talks.entry(name.into()).or_default().said = Some((now, until));
    }

    /// Stalls that are to be told now, and what.
    pub fn due(&mut self, now: Nanos) -> Vec<(CompactString, PeerMessage)> {
        let mut due = Vec::new();
        for ((what, name), drain) in &self.all {
            if *what != What::Edge || self.term.is_none() {
                continue;
            }
            let talk = self.talks.entry(name.clone()).or_default();
            let knows = match talk.rests(now) {
                Some(until) => drain.is_open(now) && until.abs_diff(drain.until) < ABOUT,
                None => !drain.is_open(now),
            };
            if !knows && talk.told.is_none_or(|at| at + AGAIN <= now) {
                talk.told = Some(now);
                due.push((name.clone(), rest(now, name, drain)));
            }
        }
        due
    }

    /// What a porter is told of its stall as it begins to follow.
    pub fn snapshot(&self, now: Nanos, name: &str) -> Option<PeerMessage> {
        let drain = self.all.get(&(What::Edge, name.into()))?;
        Some(rest(now, name, drain))
    }

    /// For other control machines; nothing where nothing is out.
    pub fn news(&self, now: Nanos) -> JsonValue {
        if self.all.is_empty() {
            return JsonValue::Null;
        }
        let each = self.all.iter().map(|((what, name), drain)| {
            object([
                ("w", text(what.word())),
                ("n", text(name)),
                ("z", text(&drain.zone)),
                ("l", number(drain.until.saturating_sub(now) / MS)),
                ("k", number(drain.kept.saturating_sub(now) / MS)),
                ("u", if drain.undone { number(1) } else { JsonValue::Null }),
            ])
        });
        let version = vec![number(self.version.0), number(self.version.1)];
        object([("v", JsonValue::Array(version)), ("all", JsonValue::Array(each.collect()))])
    }

    /// Another control machine tells what it knows. What can't be read changes nothing.
    pub fn heard(&mut self, now: Nanos, news: &JsonValue) {
        let Some((version, all)) = self.read(now, news).filter(|(version, _)| *version > self.version) else {
            return;
        };
        (self.version, self.all) = (version, all);
    }

    fn read(&self, now: Nanos, news: &JsonValue) -> Option<(Version, All)> {
        let JsonValue::Object(parts) = news else { return None };
        let (JsonValue::Array(version), JsonValue::Array(all)) = (parts.get("v")?, parts.get("all")?) else {
            return None;
        };
        let [JsonValue::Number(fence), JsonValue::Number(count)] = version[..] else { return None };
        let each = all.iter().take(MOST).map(|one| {
            let JsonValue::Object(parts) = one else { return None };
            let key = (What::read(&string(parts, "w").ok()?)?, string(parts, "n").ok()?);
            let span = |key| Some(whole(parts, key).ok()?.saturating_mul(MS).min(LONGEST));
            let (until, kept) = (now + span("l")?, now + span("k")?);
            let since = self.all.get(&key).and_then(|known| known.since);
            let (zone, undone) = (string(parts, "z").ok()?, parts.contains_key("u"));
            Some((key, Drain { zone, since, until, undone, kept }))
        });
        Some(((fence as u64, count as u64), each.collect::<Option<_>>()?))
    }

    /// For operators.
    pub fn to_json(
        &self,
        now: Nanos,
        named: impl Fn(&str) -> bool,
        instances: impl Fn(&str) -> usize,
    ) -> JsonValue {
        let each = self.all.iter().map(|((what, name), drain)| {
            let says = self.talks.get(name).is_some_and(|talk| talk.rests(now).is_some());
            let (rests, owns, instances) = match what {
                What::Edge => (JsonValue::Boolean(says), JsonValue::Boolean(named(name)), JsonValue::Null),
                What::Worker => (JsonValue::Null, JsonValue::Null, number(instances(name) as u64)),
            };
            object([
                ("what", text(what.word())),
                ("name", text(name)),
                ("zone", text(&drain.zone)),
                ("left_ms", number(drain.until.saturating_sub(now) / MS)),
                ("undone", if drain.is_open(now) { JsonValue::Null } else { JsonValue::Boolean(true) }),
                ("rests", rests),
                ("owns", owns),
                ("instances", instances),
            ])
        });
        JsonValue::Array(each.collect())
    }
}

fn rest(now: Nanos, name: &str, drain: &Drain) -> PeerMessage {
    let left = if drain.is_open(now) { drain.until - now } else { 0 };
    PeerMessage::Rest { name: name.into(), left: left as f64 / MS as f64 }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Nanos = 1_000 * MS;
    const UP: [(&str, &str); 5] = [("a", "z"), ("b", "z"), ("c", "z"), ("d", "z"), ("e", "y")];

    fn seen(all: &'static [(&'static str, &'static str)]) -> Seen<'static> {
        Seen { stalls: all.to_vec(), workers: all.to_vec() }
    }

    fn leader(fence: u64) -> Drains {
        let mut drains = Drains::default();
        drains.tick(0, Some(fence));
        drains
    }

    fn out(drains: &mut Drains, now: Nanos, name: &str) -> Result<(), Kind> {
        drains.order(now, Order::Out(What::Edge, name.into(), 10 * S), &seen(&UP))
    }

    fn reasons(all: &[&str]) -> Result<(), Kind> {
        Err(Kind::Refused(all.iter().map(|r| (*r).to_owned()).collect()))
    }

    #[test]
    fn half_of_a_zone_stays_and_what_is_not_known_is_refused() {
        let mut drains = leader(4);
        assert_eq!(out(&mut drains, S / 2, "a"), Err(Kind::Unclear));
        assert_eq!(out(&mut drains, S, "a"), Ok(()));
        assert_eq!(out(&mut drains, S, "b"), Ok(()));
        let few = r#"1 of 4 stalls of zone "z" would stay: fewer than half, or none"#;
        assert_eq!(out(&mut drains, S, "c"), reasons(&[few]));
        // One that is out already is only told anew for how long; and workers are others.
        assert_eq!(out(&mut drains, 2 * S, "b"), Ok(()));
        assert_eq!(drains.order(S, Order::Out(What::Worker, "c".into(), S), &seen(&UP)), Ok(()));
        let none = r#"0 of 1 stalls of zone "y" would stay: fewer than half, or none"#;
        assert_eq!(out(&mut drains, S, "e"), reasons(&[none]));
        assert_eq!(out(&mut drains, S, "x"), reasons(&[r#"no edge "x" is known to be up"#]));
        let undo = |drains: &mut Drains, name: &str| {
            drains.order(3 * S, Order::Back(What::Edge, name.into()), &seen(&UP))
        };
        assert_eq!(undo(&mut drains, "c"), reasons(&[r#"edge "c" is not out"#]));
        assert_eq!(undo(&mut drains, "b"), Ok(()));
        assert_eq!(out(&mut drains, 3 * S, "c"), Ok(()));
        drains.tick(4 * S, None);
        assert_eq!(out(&mut drains, 4 * S, "a"), Err(Kind::NotLeader));
    }

    #[test]
    fn a_stall_is_told_until_it_says_so_and_owns_on_while_clients_leave() {
        let mut drains = leader(4);
        let told = |drains: &mut Drains, at: Nanos| {
            drains.due(at).iter().map(|(name, note)| (name.to_string(), note.clone())).collect::<Vec<_>>()
        };
        out(&mut drains, S, "a").expect("it may");
        let note = |left| vec![("a".to_owned(), PeerMessage::Rest { name: "a".into(), left })];
        assert_eq!(told(&mut drains, S), note(10_000.0));
        assert_eq!(told(&mut drains, S + 100 * MS), []);
        assert_eq!(told(&mut drains, S + 500 * MS), note(9_500.0));
        assert!(drains.unnamed(3 * S).is_empty());
        drains.said(2 * S, "a", Some("z"), 9_000.0);
        assert_eq!(told(&mut drains, 2 * S + 900 * MS), []);
        assert_eq!(drains.unnamed(S + LEAVES), BTreeSet::from(["a".into()]));
        // It was started again, and knows nothing.
        assert_eq!(told(&mut drains, 4 * S), note(7_000.0));
        drains.said(5 * S, "a", Some("z"), 6_500.0);
        assert_eq!(told(&mut drains, 5 * S), []);
        // Another time is told as well.
        drains.order(5 * S, Order::Out(What::Edge, "a".into(), 4 * S), &seen(&UP)).expect("it may");
        assert_eq!(told(&mut drains, 5 * S), note(4_000.0));
        drains.order(5 * S, Order::Back(What::Edge, "a".into()), &seen(&UP)).expect("it is out");
        assert!(drains.unnamed(5 * S).is_empty());
        assert_eq!(told(&mut drains, 5 * S), note(0.0));
        // A late word of it does not bring the drain back.
        drains.said(6 * S, "a", Some("z"), 5_000.0);
        assert!(drains.unnamed(9 * S).is_empty());
        drains.tick(10 * S, Some(4));
        assert!(!drains.is_empty());
        drains.tick(11 * S, Some(4));
        assert!(drains.is_empty() && drains.news(11 * S) == JsonValue::Null);
    }

    #[test]
    fn a_new_leader_goes_on_with_what_it_has_heard() {
        let (mut old, mut new) = (leader(4), Drains::default());
        out(&mut old, S, "a").expect("it may");
        let first = old.news(2 * S);
        new.heard(2 * S, &first);
        old.order(3 * S, Order::Back(What::Edge, "a".into()), &seen(&UP)).expect("it is out");
        out(&mut old, 3 * S, "b").expect("it may");
        new.heard(3 * S, &old.news(3 * S));
        // Older news count no more, and what can't be read changes nothing.
        new.heard(3 * S, &first);
        new.heard(3 * S, &r#"{"v":[9,9],"all":[{"w":"edge"}]}"#.parse().expect("JSON"));
        new.tick(4 * S, Some(5));
        assert_eq!(new.unnamed(4 * S), BTreeSet::from(["b".into()]));
        assert_eq!(new.due(4 * S).len(), 1);
        out(&mut new, 5 * S, "c").expect("it may");
        old.tick(5 * S, None);
        old.heard(5 * S, &new.news(5 * S));
        assert_eq!(old.news(5 * S), new.news(5 * S));
        // With all of control gone a stall's own word is what is left.
        let mut last = leader(6);
        last.said(S, "b", Some("z"), 3_000.0);
        assert_eq!(last.unnamed(S), BTreeSet::from(["b".into()]));
        last.tick(4 * S, Some(6));
        assert!(last.unnamed(4 * S).is_empty());
    }

    #[yare::parameterized(
        out = { r#"{"order":"drain","what":"edge","name":"a","for_ms":2000}"#,
            Ok(Order::Out(What::Edge, "a".into(), 2 * S)) },
        back = { r#"{"order":"undo","what":"worker","name":"w"}"#, Ok(Order::Back(What::Worker, "w".into())) },
        short = { r#"{"order":"drain","what":"edge","name":"a","for_ms":999}"#,
            Err(Kind::Invalid("for_ms: from a second to a day".into())) },
        long = { r#"{"order":"drain","what":"edge","name":"a","for_ms":86400001}"#,
            Err(Kind::Invalid("for_ms: from a second to a day".into())) },
        what = { r#"{"order":"drain","what":"core","name":"a"}"#,
            Err(Kind::Invalid("what: edge or worker".into())) },
        order = { r#"{"order":"x","what":"edge","name":"a"}"#, Err(Kind::Invalid("order: drain or undo".into())) },
        nameless = { r#"{"order":"undo","what":"edge"}"#, Err(Kind::Invalid("name: missing".into())) },
    )]
    fn orders_are_read_or_their_fault_is_named(text: &str, expected: Result<Order, Kind>) {
        assert_eq!(Order::read(&text.parse().expect("JSON")), expected);
    }
}
