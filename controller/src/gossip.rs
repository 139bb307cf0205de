//! News between control machines: who was heard, who is the leader, and when a newer configuration is to be fetched. Invariants: no
//! more than [`MOST`] others are kept; of one revision one copy at a time is on its way here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use millpost_protocol::{object, string, text, whole};
use millpost_quorum::{Address, Members, Value};
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::Kind;
use crate::{MS, Nanos};

/// What is known goes round this often,
const NEWS: Nanos = 400 * MS;
/// ... and no more often than this while no majority is reached and somebody was heard.
const NEWS_GAP: Nanos = 50 * MS;
/// Other control machines.
pub const MOST: usize = 256;
/// One that was not heard of for so long is told nothing unless it is a seed or a voter; for so long, is forgotten.
const TOLD: Nanos = 10_000 * MS;
const KEPT: Nanos = 60_000 * MS;

/// Another control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When it was heard of last.
    pub heard: Nanos,
    /// Whether it votes.
    pub voting: bool,
    /// Its process was told to end.
    pub leaving: bool,
}

/// How this machine stands.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Whether it votes.
    pub voting: bool,
    /// Its process was told to end.
    pub leaving: bool,
}

/// What a control machine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Who says it.
    pub from: Address,
    /// The revision that it knows to be chosen; 0: none.
    pub revision: u64,
    /// The digest of that configuration.
    pub mark: CompactString,
    /// The leader as last heard of.
    pub leader: CompactString,
    /// Its fence; 0: nobody was heard of.
    pub fence: u64,
    /// Whether it votes.
    pub voting: bool,
    /// Its process was told to end.
    pub leaving: bool,
    /// The epoch of the members that it goes by, if it knows any.
    pub epoch: Option<u64>,
    /// How that configuration differs from the one before; with the first word of it only.
    pub change: Option<Step>,
}

/// What leads from one configuration to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The digest of the one before.
    pub from: CompactString,
    /// The difference, packed.
    pub packed: String,
}

impl News {
    /// Reads them, and checks that they come from an address.
    pub fn read(value: &JsonValue) -> Result<News, Kind> {
        let JsonValue::Object(parts) = value else { return Err(Kind::Invalid("no JSON".to_owned())) };
        let invalid = |e: millpost_protocol::Fault| Kind::Invalid(e.to_string());
        let word = |key| string(parts, key).map_err(invalid);
        let count = |key| whole(parts, key).map_err(invalid);
        let news = News {
            from: word("from")?,
            mark: word("mark")?,
            leader: word("steward")?,
            revision: count("rev")?,
            fence: count("fence")?,
            voting: parts.get("voting") == Some(&JsonValue::Boolean(true)),
            leaving: parts.get("leaving") == Some(&JsonValue::Boolean(true)),
            epoch: parts.contains_key("epoch").then(|| count("epoch")).transpose()?,
            change: match (parts.get("change"), parts.get("base")) {
                (Some(JsonValue::String(packed)), Some(JsonValue::String(from))) => {
                    Some(Step { from: from.as_str().into(), packed: packed.clone() })
                }
                _ => None,
            },
        };
        match news.from.parse::<SocketAddr>() {
            Ok(_) => Ok(news),
            Err(_) => Err(Kind::Invalid("from".to_owned())),
        }
    }

    /// As they are sent.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("from", text(&self.from)),
            ("rev", JsonValue::Number(self.revision as f64)),
            ("mark", text(&self.mark)),
            ("steward", text(&self.leader)),
            ("fence", JsonValue::Number(self.fence as f64)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("leaving", if self.leaving { JsonValue::Boolean(true) } else { JsonValue::Null }),
            ("epoch", self.epoch.map_or(JsonValue::Null, |epoch| JsonValue::Number(epoch as f64))),
            ("base", self.change.as_ref().map_or(JsonValue::Null, |c| text(&c.from))),
            ("change", self.change.as_ref().map_or(JsonValue::Null, |c| text(&c.packed))),
        ])
    }
}

/// A configuration that is chosen, as it stands in the register.
struct Chosen {
    revision: u64,
    text: Arc<str>,
    mark: CompactString,
}

/// A newer configuration that is on its way here.
struct Fetching {
    number: u64,
    from: Address,
    revision: u64,
    mark: CompactString,
    change: Option<Step>,
    /// The own disk has answered.
    peeked: bool,
    /// From then on another may bring it.
    until: Nanos,
}

/// The next step towards a newer configuration; its answer carries the same number.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// Look at the own disk.
    Peek(u64),
    /// It stands there: here it is, and how it differs from one before, if that was told.
    Here(Value, Option<Step>),
    /// Get it from this machine.
    Fetch(u64, Address),
}

/// What is known of other control machines.
pub struct Gossip {
    me: Address,
    others: BTreeMap<Address, Seen>,
    known: (u64, CompactString),
    chosen: Option<Chosen>,
    /// How it differs from the one before, until that was told.
    step: Option<Step>,
    fetching: Option<Fetching>,
    count: u64,
    at: Nanos,
}

/// The name of a content, for saying which one is meant without sending it.
pub fn digest(text: &str) -> CompactString {
    format!("{:016x}", xxh3_64(text.as_bytes())).into()
}

impl Gossip {
    /// Of the machine `me`, which knows nothing yet.
    pub fn new(me: Address) -> Self {
        let known = (0, CompactString::default());
        Gossip {
            me,
            others: BTreeMap::new(),
            known,
            chosen: None,
            step: None,
            fetching: None,
            count: 0,
            at: 0,
        }
    }

    /// Who was heard of.
    pub fn others(&self) -> &BTreeMap<Address, Seen> {
        &self.others
    }

    /// The leader as last heard of, with its fence.
    pub fn known(&self) -> &(u64, CompactString) {
        &self.known
    }

    /// The configuration that is chosen, as it stands in the register.
    pub fn chosen(&self) -> Option<&Arc<str>> {
        self.chosen.as_ref().map(|c| &c.text)
    }

    /// Its revision; 0: none is known.
    pub fn revision(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |c| c.revision)
    }

    /// The digest of the one that is chosen.
    pub fn mark(&self) -> Option<&CompactString> {
        self.chosen.as_ref().map(|c| &c.mark)
    }

    /// A newer one is chosen; `change`: how it differs from the one before, packed.
    pub fn choose(&mut self, revision: u64, text: Arc<str>, change: Option<String>) {
        let mark = digest(&text);
        let before = self.chosen.as_ref().map(|c| c.mark.clone());
        self.step = before.zip(change).map(|(from, packed)| Step { from, packed });
        self.chosen = Some(Chosen { revision, text, mark });
        if self.fetching.as_ref().is_some_and(|f| f.revision <= revision) {
            self.fetching = None;
        }
    }

    /// Whether it is news that this machine is the leader.
    pub fn know(&mut self, fence: u64, leader: &str) -> bool {
        let news = fence > self.known.0;
        if news {
            self.known = (fence, leader.into());
        }
        news
    }

    /// When what is known is to go round again.
    pub fn due(&self) -> Nanos {
        self.at
    }

    /// Somebody may be reached who was not before: what is known goes round soon.
    pub fn hasten(&mut self, now: Nanos) {
        let last = self.at.saturating_sub(NEWS);
        self.at = self.at.min((last + NEWS_GAP).max(now));
    }

    /// What is known here, and who is to be told.
    pub fn tell(
        &mut self,
        now: Nanos,
        seeds: &[Address],
        members: Option<&Members>,
        standing: Standing,
    ) -> (Vec<Address>, News) {
        self.at = now + NEWS;
        let mut to = seeds.to_vec();
        to.extend(members.into_iter().flat_map(Members::all_voters));
        to.extend(self.others.iter().filter(|(_, s)| s.heard + TOLD > now).map(|(a, _)| a.clone()));
        to.sort();
        to.dedup();
        to.retain(|a| *a != self.me);
        let news = News {
            from: self.me.clone(),
            revision: self.revision(),
            mark: self.chosen.as_ref().map_or_else(CompactString::default, |c| c.mark.clone()),
            leader: self.known.1.clone(),
            fence: self.known.0,
            voting: standing.voting,
            leaving: standing.leaving,
            epoch: members.map(|members| members.epoch),
            change: self.step.take(),
        };
        (to, news)
    }

    /// News from another. The own disk is looked at first, unless it has hung since the last time.
    pub fn heard(&mut self, now: Nanos, news: News) -> Result<Option<Next>, Kind> {
        self.others.retain(|_, seen| seen.heard + KEPT > now);
        if self.others.len() >= MOST && !self.others.contains_key(&news.from) {
            return Err(Kind::Invalid("from".to_owned()));
        }
        let seen = Seen { heard: now, voting: news.voting, leaving: news.leaving };
        self.others.insert(news.from.clone(), seen);
        let News { from, revision, mark, change, .. } = news;
        let comes = self.fetching.as_ref().is_some_and(|f| f.revision >= revision && now < f.until);
        if revision <= self.revision() || comes {
            return Ok(None);
        }
        self.count += 1;
        let hangs = self.fetching.as_ref().is_some_and(|f| f.revision == revision && !f.peeked);
        let next = if hangs { Next::Fetch(self.count, from.clone()) } else { Next::Peek(self.count) };
        let until = now + NEWS;
        self.fetching =
            Some(Fetching { number: self.count, from, revision, mark, change, peeked: hangs, until });
        Ok(Some(next))
    }

    /// What stands on the own disk, chosen or not.
    pub fn peeked(&mut self, number: u64, value: Option<Value>) -> Option<Next> {
        let fetching = self.fetching.as_mut().filter(|f| f.number == number)?;
        fetching.peeked = true;
        let is =
            |value: &Value| value.version == fetching.revision && digest(&value.content) == fetching.mark;
        match value.filter(is) {
            Some(value) => Some(Next::Here(value, fetching.change.clone())),
            None => Some(Next::Fetch(number, fetching.from.clone())),
        }
    }

    /// The other machine has answered, or has not: whoever tells of it next is asked.
    pub fn fetched(&mut self, number: u64) {
        if self.fetching.as_ref().is_some_and(|f| f.number == number) {
            self.fetching = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn news(n: usize, revision: u64, mark: &str) -> News {
        let (from, mark) = (format!("10.0.{}.{}:1", n / 256, n % 256).into(), mark.into());
        News {
            from,
            revision,
            mark,
            leader: "".into(),
            fence: 0,
            voting: true,
            leaving: false,
            epoch: Some(1),
            change: None,
        }
    }

    #[test]
    fn a_newer_configuration_that_many_tell_of_is_fetched_once() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        assert_eq!(gossip.heard(0, news(1, 7, "m")), Ok(Some(Next::Peek(1))));
        assert_eq!(gossip.peeked(1, None), Some(Next::Fetch(1, news(1, 0, "").from)));
        assert_eq!(gossip.heard(MS, news(2, 7, "m")), Ok(None));
        assert_eq!(gossip.heard(2 * MS, news(3, 6, "m")), Ok(None));
        // A still newer one does not wait for it.
        assert_eq!(gossip.heard(3 * MS, news(3, 8, "m")), Ok(Some(Next::Peek(2))));
        assert_eq!(gossip.peeked(1, None), None);
        gossip.fetched(1);
        assert_eq!(gossip.heard(4 * MS, news(2, 8, "m")), Ok(None));
        // Nor is one waited for that brings nothing, or answers nothing.
        gossip.fetched(2);
        assert_eq!(gossip.heard(5 * MS, news(2, 8, "m")), Ok(Some(Next::Peek(3))));
        // Where even the own disk says nothing, that is not waited for again.
        let again = Next::Fetch(4, news(1, 0, "").from);
        assert_eq!(gossip.heard(5 * MS + NEWS, news(1, 8, "m")), Ok(Some(again)));
        assert_eq!(gossip.heard(5 * MS + NEWS, news(2, 8, "m")), Ok(None));
        gossip.choose(8, "{}".into(), None);
        assert_eq!(gossip.heard(5 * MS + NEWS, news(1, 8, "m")), Ok(None));
    }

    #[test]
    fn the_own_disk_brings_it_only_where_the_content_is_the_same() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        let value = |version, content: &str| Value { version, content: content.into() };
        assert_eq!(gossip.heard(0, news(1, 7, &digest("{1}"))), Ok(Some(Next::Peek(1))));
        for other in [value(7, "{2}"), value(6, "{1}")] {
            assert_eq!(gossip.peeked(1, Some(other)), Some(Next::Fetch(1, news(1, 0, "").from)));
        }
        assert_eq!(gossip.peeked(1, Some(value(7, "{1}"))), Some(Next::Here(value(7, "{1}"), None)));
    }

    #[test]
    fn others_are_bounded_and_those_known_go_on_being_heard() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        for n in 0..2 * MOST {
            assert_eq!(gossip.heard(0, news(n, 0, "")).is_ok(), n < MOST);
        }
        assert!(gossip.heard(30_000 * MS, news(0, 0, "")).is_ok());
        assert!(gossip.heard(60_000 * MS, news(MOST, 0, "")).is_ok());
        assert_eq!(gossip.others().len(), 2);
    }

    #[test]
    fn news_are_read_as_they_are_sent() {
        let sent = news(1, 7, "m");
        assert_eq!(News::read(&sent.to_json()), Ok(sent.clone()));
        let step = Step { from: "l".into(), packed: "eJ".to_owned() };
        let sent = News { change: Some(step), leaving: true, ..sent };
        assert_eq!(News::read(&sent.to_json()), Ok(sent));
        let nowhere = News { from: "nobody".into(), ..news(1, 7, "m") };
        assert_eq!(News::read(&nowhere.to_json()), Err(Kind::Invalid("from".to_owned())));
    }
}
