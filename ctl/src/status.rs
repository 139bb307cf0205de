//! How control stands: what each machine says, side by side, and what of it is not well.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use millpost_config::values::{get, get_bool, get_list, get_str, get_u64, list, number, object, string};
use tinyjson::JsonValue;
use tokio::task::JoinSet;

use crate::http::{describe, once};

/// A voter that has not heard another for so long says so; they tell each other of themselves every 400 ms.
const UNHEARD_MS: u64 = 1_500;
/// A machine that somebody has heard within this is asked too.
const LATELY_MS: u64 = 10_000;
/// Machines that are asked at most.
const MOST: usize = 64;

/// What one machine says of itself (`GET /core`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// The address that the others know it by.
    pub address: String,
    /// It has a state on its disk and answers for it.
    pub voting: bool,
    /// Goes up with each change of the voters.
    pub epoch: u64,
    /// Who votes.
    pub voters: Vec<String>,
    /// Who votes too, while the voters change.
    pub next_voters: Vec<String>,
    /// The steward that it knows; empty for none.
    pub steward: String,
    /// That one's fence.
    pub fence: u64,
    /// It holds the lease itself.
    pub is_steward: bool,
    /// How far it is from that; empty where it does not say.
    pub lease: String,
    /// The configuration that it feeds.
    pub revision: u64,
    /// Its followers, and the revision that each acts on.
    pub followers: BTreeMap<String, u64>,
    /// Other control machines, and how many milliseconds ago each was heard.
    pub others: BTreeMap<String, u64>,
    /// Instances that it knows, as the steward.
    pub instances: u64,
}

/// One machine that was asked.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Where it was asked.
    pub at: SocketAddr,
    /// What it said, or why there is nothing.
    pub said: Result<Standing, String>,
}

/// Something that is not well.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Of the voters too few are seen to vote.
    NoMajority {
        /// How many do.
        voting: usize,
        /// Of how many.
        of: usize,
    },
    /// Nobody holds the lease.
    NoLeader,
    /// Two machines are steward under one fence, or are held to be.
    SeveralLeaders {
        /// The fence.
        fence: u64,
        /// Who.
        who: Vec<String>,
    },
    /// A control machine feeds an older configuration.
    Stale {
        /// Which.
        who: String,
        /// What it feeds.
        revision: u64,
        /// What is the newest.
        newest: u64,
    },
    /// A follower acts on an older configuration.
    Behind {
        /// Who.
        who: String,
        /// What it acts on.
        revision: u64,
        /// What is the newest.
        newest: u64,
    },
}

/// All that was asked, in the order of their addresses.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Each machine once.
    pub machines: Vec<Machine>,
}

impl Standing {
    /// Reads an answer. What is left out counts as nothing.
    pub fn read(json: &JsonValue) -> Option<Self> {
        let text = |key| get_str(json, key).unwrap_or_default().to_owned();
        let names = |key| {
            let all = get_list(json, key).unwrap_or_default().iter();
            all.filter_map(|v| v.get::<String>().cloned()).collect()
        };
        let numbers = |key| match get(json, key) {
            Some(JsonValue::Object(parts)) => {
                parts.keys().filter_map(|k| Some((k.clone(), get_u64(get(json, key)?, k)?))).collect()
            }
            _ => BTreeMap::new(),
        };
        let whole = |key| get_u64(json, key).unwrap_or_default();
        Some(Standing {
            address: get_str(json, "address")?.to_owned(),
            voting: get_bool(json, "voting")?,
            epoch: whole("epoch"),
            voters: names("voters"),
            next_voters: names("next_voters"),
            steward: text("steward"),
            fence: whole("fence"),
            is_steward: get_bool(json, "is_steward").unwrap_or_default(),
            lease: text("lease"),
            revision: get_u64(json, "revision")?,
            followers: numbers("followers_act_on"),
            others: numbers("others_heard_ms_ago"),
            instances: whole("instances"),
        })
    }

    /// Machines that it speaks of, for the asking.
    fn names(&self) -> impl Iterator<Item = SocketAddr> {
        let lately = self.others.iter().filter(|(_, ago)| **ago < LATELY_MS).map(|(name, _)| name);
        let voters = self.voters.iter().chain(&self.next_voters);
        voters.chain([&self.steward]).chain(lately).filter_map(|name| name.parse().ok())
    }

    fn to_json(&self) -> JsonValue {
        let names = |all: &[String]| list(all.iter().map(|name| string(name)));
        let numbers = |all: &BTreeMap<String, u64>| {
            JsonValue::Object(all.iter().map(|(k, n)| (k.clone(), number(*n))).collect())
        };
        object([
            ("address", string(&self.address)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("epoch", number(self.epoch)),
            ("voters", names(&self.voters)),
            ("next_voters", names(&self.next_voters)),
            ("steward", string(&self.steward)),
            ("fence", number(self.fence)),
            ("is_steward", JsonValue::Boolean(self.is_steward)),
            ("lease", string(&self.lease)),
            ("revision", number(self.revision)),
            ("followers_act_on", numbers(&self.followers)),
            ("others_heard_ms_ago", numbers(&self.others)),
            ("instances", number(self.instances)),
        ])
    }
}

async fn ask(to: SocketAddr, within: Duration) -> Result<Standing, String> {
    match once(to, Method::GET, "/core", Bytes::new(), within).await {
        Ok((StatusCode::OK, _, body)) => {
            let standing = millpost_net::messaging::json(&body).as_ref().and_then(Standing::read);
            standing.ok_or_else(|| "its answer is no status of control".to_owned())
        }
        Ok((status, _, body)) => Err(describe(status.as_u16(), &body)),
        Err(e) => Err(e.to_string()),
    }
}

impl Status {
    /// Asks these machines, and those that they speak of.
    pub async fn ask(first: &[SocketAddr], within: Duration) -> Self {
        let (mut known, mut asking) = (BTreeSet::new(), JoinSet::new());
        let mut machines: Vec<Machine> = Vec::new();
        let mut more = first.to_vec();
        loop {
            for at in more.drain(..) {
                if known.len() < MOST && known.insert(at) {
                    asking.spawn(async move { Machine { at, said: ask(at, within).await } });
                }
            }
            match asking.join_next().await {
                Some(Ok(machine)) => {
                    more.extend(machine.said.iter().flat_map(Standing::names));
                    machines.push(machine);
                }
                Some(Err(e)) => log::error!("{e}"),
                None => return Status::of(machines),
            }
        }
    }

    /// Of these. One that was reached by two addresses counts once.
    pub fn of(mut machines: Vec<Machine>) -> Self {
        machines.sort_by_key(|m| m.at);
        let mut own = BTreeSet::new();
        machines.retain(|m| m.said.as_ref().map_or(true, |s| own.insert(s.address.clone())));
        machines.retain(|m| m.said.is_ok() || !own.contains(&m.at.to_string()));
        Status { machines }
    }

    /// Those that answered.
    pub fn reached(&self) -> impl Iterator<Item = &Standing> {
        self.machines.iter().filter_map(|m| m.said.as_ref().ok())
    }

    /// The newest configuration that is fed or acted on.
    pub fn newest(&self) -> u64 {
        self.reached().flat_map(|s| s.followers.values().chain([&s.revision])).copied().max().unwrap_or(0)
    }

    /// Who follows, and the newest revision that each was heard to act on.
    pub fn followers(&self) -> BTreeMap<&str, u64> {
        let mut all = BTreeMap::new();
        for (name, revision) in self.reached().flat_map(|s| &s.followers) {
            let acts = all.entry(name.as_str()).or_insert(0);
            *acts = (*acts).max(*revision);
        }
        all
    }

    /// The newest steward that is known, and its fence.
    pub fn steward(&self) -> Option<(&str, u64)> {
        let known = self.reached().filter(|s| !s.steward.is_empty());
        known.max_by_key(|s| s.fence).map(|s| (s.steward.as_str(), s.fence))
    }

    /// Instances that the steward knows.
    pub fn instances(&self) -> Option<u64> {
        self.reached().filter(|s| s.is_steward).max_by_key(|s| s.fence).map(|s| s.instances)
    }

    /// The voters of the newest epoch: one set, or two while they change.
    fn voters(&self) -> Vec<&[String]> {
        let newest = self.reached().filter(|s| !s.voters.is_empty()).max_by_key(|s| s.epoch);
        let sets = newest.into_iter().flat_map(|s| [s.voters.as_slice(), s.next_voters.as_slice()]);
        sets.filter(|set| !set.is_empty()).collect()
    }

    /// All that is not well.
    pub fn troubles(&self) -> Vec<Trouble> {
        let mut troubles = Vec::new();
        let votes = |name: &String| self.reached().any(|s| s.voting && s.address == *name);
        let sets = self.voters();
        for set in &sets {
            let voting = set.iter().filter(|name| votes(name)).count();
            if voting * 2 <= set.len() {
                troubles.push(Trouble::NoMajority { voting, of: set.len() });
            }
        }
        if sets.is_empty() {
            troubles.push(Trouble::NoMajority { voting: 0, of: 0 });
        }
        if !self.reached().any(|s| s.is_steward) {
            troubles.push(Trouble::NoLeader);
        }
        let mut by_fence: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for said in self.reached().filter(|s| s.fence > 0) {
            let who = by_fence.entry(said.fence).or_default();
            who.insert(&said.steward);
            who.extend(said.is_steward.then_some(said.address.as_str()));
        }
        for (fence, who) in by_fence.into_iter().filter(|(_, who)| who.len() > 1) {
            troubles
                .push(Trouble::SeveralLeaders { fence, who: who.into_iter().map(str::to_owned).collect() });
        }
        let newest = self.newest();
        for said in self.reached().filter(|s| s.revision < newest) {
            let (who, revision) = (said.address.clone(), said.revision);
            troubles.push(Trouble::Stale { who, revision, newest });
        }
        for (who, revision) in self.followers().into_iter().filter(|(_, revision)| *revision < newest) {
            troubles.push(Trouble::Behind { who: who.to_owned(), revision, newest });
        }
        troubles
    }

    /// What is worth a look, and not yet trouble.
    fn remarks(&self) -> Vec<String> {
        let mut remarks = Vec::new();
        let voters: BTreeSet<&String> = self.voters().into_iter().flatten().collect();
        for said in self.reached() {
            for name in voters.iter().filter(|name| ***name != said.address) {
                match said.others.get(*name) {
                    Some(ago) if *ago > UNHEARD_MS => {
                        let seconds = *ago as f64 / 1e3;
                        remarks.push(format!("{} has not heard {name} for {seconds:.1} s", said.address));
                    }
                    Some(_) => {}
                    None => remarks.push(format!("{} has never heard {name}", said.address)),
                }
            }
            if voters.contains(&said.address) && !said.voting {
                remarks.push(format!("{} is a voter and has no state yet: it copies", said.address));
            }
        }
        remarks
    }

    /// One row for each machine, one for each follower, then what is not well.
    pub fn text(&self) -> String {
        let newest = self.newest();
        let head = ["control", "votes", "epoch", "steward", "fence", "revision", "followers", "instances"];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        for machine in &self.machines {
            rows.push(match &machine.said {
                Err(why) => vec![machine.at.to_string(), format!("NO ANSWER: {why}")],
                Ok(said) => vec![
                    said.address.clone(),
                    if said.voting { "yes" } else { "no" }.to_owned(),
                    said.epoch.to_string(),
                    match said.steward.as_str() {
                        _ if said.is_steward => "itself".to_owned(),
                        "" => "-".to_owned(),
                        other => other.to_owned(),
                    },
                    said.fence.to_string(),
                    said.revision.to_string(),
                    said.followers.len().to_string(),
                    if said.is_steward { said.instances.to_string() } else { "-".to_owned() },
                ],
            });
        }
        let mut text = table(&rows);
        for (n, set) in self.voters().into_iter().enumerate() {
            let _ = writeln!(text, "{}: {}", if n == 0 { "voters" } else { "next voters" }, set.join(" "));
        }
        let followers = self.followers();
        if !followers.is_empty() {
            let mut rows = vec![vec!["follower".to_owned(), "acts on".to_owned()]];
            rows.extend(followers.iter().map(|(name, acts)| {
                let behind = newest - acts;
                let behind = if behind > 0 { format!("BEHIND by {behind}") } else { String::new() };
                vec![(*name).to_owned(), acts.to_string(), behind]
            }));
            text.push_str(&table(&rows));
        }
        self.remarks().iter().for_each(|remark| _ = writeln!(text, "{remark}"));
        self.troubles().iter().for_each(|trouble| _ = writeln!(text, "NOT WELL: {}", trouble.text()));
        text
    }

    /// The same as JSON.
    pub fn to_json(&self) -> JsonValue {
        let newest = self.newest();
        let machines = self.machines.iter().map(|m| {
            let (key, value) = match &m.said {
                Ok(said) => ("says", said.to_json()),
                Err(why) => ("no_answer", string(why)),
            };
            object([("asked_at", string(&m.at.to_string())), (key, value)])
        });
        let followers = self.followers().into_iter().map(|(name, acts)| {
            object([("name", string(name)), ("acts_on", number(acts)), ("behind", number(newest - acts))])
        });
        let (steward, fence) = self.steward().unwrap_or_default();
        let troubles = self.troubles();
        object([
            ("well", JsonValue::Boolean(troubles.is_empty())),
            ("troubles", list(troubles.iter().map(Trouble::to_json))),
            ("remarks", list(self.remarks().iter().map(|remark| string(remark)))),
            ("revision", number(newest)),
            ("steward", string(steward)),
            ("fence", number(fence)),
            ("instances", self.instances().map_or(JsonValue::Null, number)),
            ("voters", list(self.voters().first().into_iter().flat_map(|s| s.iter()).map(|v| string(v)))),
            ("machines", list(machines)),
            ("followers", list(followers)),
        ])
    }

    /// Where the one was asked that holds the lease; of several the one with the highest fence.
    pub fn steward_at(&self) -> Option<SocketAddr> {
        let said = self.machines.iter().filter_map(|machine| Some((machine.said.as_ref().ok()?, machine.at)));
        let stewards = said.filter(|(said, _)| said.is_steward);
        stewards.max_by_key(|(said, _)| said.fence).map(|(_, at)| at)
    }

    /// What can change, by name: what `watch` compares.
    pub fn facts(&self) -> BTreeMap<String, String> {
        let mut facts = BTreeMap::new();
        let mut put = |name: String, value: String| drop(facts.insert(name, value));
        for machine in &self.machines {
            let at = machine.at;
            match &machine.said {
                // Why it does not answer varies by chance.
                Err(_) => put(format!("{at} answers"), "no".to_owned()),
                Ok(said) => {
                    put(format!("{at} answers"), "yes".to_owned());
                    put(format!("{at} votes"), if said.voting { "yes" } else { "no" }.to_owned());
                    put(format!("{at} epoch"), said.epoch.to_string());
                    put(format!("{at} revision"), said.revision.to_string());
                    put(format!("{at} steward"), format!("{} at fence {}", said.steward, said.fence));
                    put(
                        format!("{at} holds the lease"),
                        if said.is_steward { "yes" } else { "no" }.to_owned(),
                    );
                }
            }
        }
        for (n, set) in self.voters().into_iter().enumerate() {
            put(if n == 0 { "voters" } else { "next voters" }.to_owned(), set.join(" "));
        }
        for (name, acts) in self.followers() {
            put(format!("{name} acts on"), acts.to_string());
        }
        if let Some(instances) = self.instances() {
            put("instances".to_owned(), instances.to_string());
        }
        for trouble in self.troubles() {
            // Who is behind, and by how much, is told above.
            if !matches!(trouble, Trouble::Behind { .. } | Trouble::Stale { .. }) {
                put(format!("NOT WELL: {}", trouble.text()), "so".to_owned());
            }
        }
        facts
    }
}

impl Trouble {
    /// In words.
    pub fn text(&self) -> String {
        match self {
            Trouble::NoMajority { voting: 0, of: 0 } => "nobody who answers knows the voters".to_owned(),
            Trouble::NoMajority { voting, of } => {
                format!("no majority is seen: {voting} of {of} voters vote")
            }
            Trouble::NoLeader => "nobody who answers is the steward: no instance starts or stops".to_owned(),
            Trouble::SeveralLeaders { fence, who } => {
                format!("several stewards at fence {fence}: {}", who.join(" "))
            }
            Trouble::Stale { who, revision, newest } => {
                format!("{who} feeds {revision}, and {newest} stands")
            }
            Trouble::Behind { who, revision, newest } => {
                format!("{who} acts on {revision}, {} behind {newest}", newest - revision)
            }
        }
    }

    fn to_json(&self) -> JsonValue {
        let kind = match self {
            Trouble::NoMajority { .. } => "no_majority",
            Trouble::NoLeader => "no_steward",
            Trouble::SeveralLeaders { .. } => "several_stewards",
            Trouble::Stale { .. } => "control_behind",
            Trouble::Behind { .. } => "follower_behind",
        };
        object([("kind", string(kind)), ("says", string(&self.text()))])
    }
}

/// Columns as wide as their widest cell; a row's last cell takes no part.
pub fn table(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (n, cell) in row.iter().enumerate().take(row.len() - 1) {
            widths.resize(widths.len().max(n + 1), 0);
            widths[n] = widths[n].max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().enumerate().map(|(n, cell)| match widths.get(n) {
            Some(width) if n + 1 < row.len() => format!("{cell:<width$}"),
            _ => cell.clone(),
        });
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: &str = "10.0.0.1:80";
    const B: &str = "10.0.0.2:80";
    const C: &str = "10.0.0.3:80";

    /// A machine of three that vote, all on revision 7.
    fn says(address: &str, change: impl FnOnce(&mut Standing)) -> Machine {
        let mut standing = Standing {
            address: address.to_owned(),
            voting: true,
            epoch: 2,
            voters: [A, B, C].map(str::to_owned).into(),
            steward: B.to_owned(),
            fence: 4,
            is_steward: address == B,
            revision: 7,
            followers: BTreeMap::from([("edge-1".to_owned(), 7)]),
            ..Standing::default()
        };
        change(&mut standing);
        Machine { at: address.parse().expect("an address"), said: Ok(standing) }
    }

    fn mute(address: &str) -> Machine {
        Machine { at: address.parse().expect("an address"), said: Err("timed out".to_owned()) }
    }

    #[yare::parameterized(
        all = { vec![says(A, |_| ()), says(B, |_| ()), says(C, |_| ())], "" },
        one_is_down = { vec![says(A, |_| ()), says(B, |_| ()), mute(C)], "" },
        two_are = { vec![mute(A), says(B, |_| ()), mute(C)], "no_majority" },
        one_down_and_one_empty = { vec![says(A, |s| s.voting = false), says(B, |_| ()), mute(C)], "no_majority" },
        next_voters_too = { vec![
            says(A, |s| (s.epoch, s.next_voters) = (3, vec![A.into(), "10.0.0.4:80".into()])),
            says(B, |_| ()), says(C, |_| ())], "no_majority" },
        nobody = { vec![mute(A)], "no_majority no_steward" },
        no_steward = { vec![says(A, |_| ()), says(C, |_| ())], "no_steward" },
        two_stewards = { vec![says(A, |s| s.is_steward = true), says(B, |_| ()), says(C, |_| ())],
            "several_stewards" },
        of_two_fences = { vec![says(A, |s| (s.is_steward, s.fence, s.steward) = (true, 3, A.into())),
            says(B, |_| ()), says(C, |_| ())], "" },
        follower_behind = { vec![says(A, |s| s.followers = BTreeMap::from([("edge-2".to_owned(), 5)])),
            says(B, |_| ()), says(C, |_| ())], "follower_behind" },
        late_word_of_one = { vec![says(A, |s| s.followers = BTreeMap::from([("edge-1".to_owned(), 5)])),
            says(B, |_| ()), says(C, |_| ())], "" },
        control_behind = { vec![says(A, |s| s.revision = 5), says(B, |_| ()), says(C, |_| ())],
            "control_behind" },
        reached_twice = { vec![says(A, |_| ()), says(B, |_| ()), Machine { at: C.parse().expect("an address"),
            ..says(A, |_| ()) }], "" },
    )]
    fn what_is_not_well(machines: Vec<Machine>, expected: &str) {
        let troubles = Status::of(machines).troubles();
        let kinds: Vec<_> =
            troubles.iter().map(|t| get_str(&t.to_json(), "kind").unwrap_or_default().to_owned()).collect();
        assert_eq!(kinds.join(" "), expected, "{troubles:?}");
    }

    #[test]
    fn an_answer_reads_back_and_one_of_something_else_is_none() {
        let Machine { said: Ok(standing), .. } = says(A, |s| s.instances = 3) else { panic!("it answers") };
        assert_eq!(Standing::read(&standing.to_json()), Some(standing));
        assert_eq!(Standing::read(&object([("status", string("ok"))])), None);
    }
}
