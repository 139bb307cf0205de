//! The status of control: what each machine reports, side by side, and the problems that follow from it.

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

/// A voter that has not heard from another for this long is remarked on; they send each other their state
/// every 400 ms.
const SILENT_VOTER_MS: u64 = 1_500;
/// A machine from which another one has heard within this time is asked too.
const RECENT_MS: u64 = 10_000;
/// Limit on the machines that are asked.
const MAX_MACHINES: usize = 64;

/// The state that a machine reports of itself (`GET /core`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineState {
    /// The address by which the other machines know it.
    pub address: String,
    /// Whether it votes: it has a state on its disk.
    pub voting: bool,
    /// Increases with each change of the voters.
    pub epoch: u64,
    /// The voters.
    pub voters: Vec<String>,
    /// The next set of voters, during a change of voters.
    pub next_voters: Vec<String>,
    /// The address of the steward that it knows; empty if none.
    pub steward: String,
    /// The fence of that steward.
    pub fence: u64,
    /// Whether it holds the lease itself.
    pub is_steward: bool,
    /// Its progress in acquiring the lease; empty if not reported.
    pub lease: String,
    /// The revision of the configuration that it sends to followers.
    pub revision: u64,
    /// Its followers, and the revision that each applies.
    pub followers: BTreeMap<String, u64>,
    /// Other control machines, and how many milliseconds ago it heard from each.
    pub others: BTreeMap<String, u64>,
    /// Number of instances that it knows as the steward.
    pub instances: u64,
}

/// A machine that was asked.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The address that was asked.
    pub at: SocketAddr,
    /// Its answer, or why there is none.
    pub answer: Result<MachineState, String>,
}

/// A problem.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// Too few voters are seen to vote.
    NoMajority {
        /// Number of voters that vote.
        voting: usize,
        /// Number of voters.
        total: usize,
    },
    /// No machine holds the lease.
    NoLeader,
    /// Several machines are, or are reported to be, steward under the same fence.
    SeveralLeaders {
        /// The fence.
        fence: u64,
        /// Their addresses.
        addresses: Vec<String>,
    },
    /// A control machine sends an older configuration to its followers.
    Stale {
        /// Its address.
        name: String,
        /// The revision that it sends.
        revision: u64,
        /// The newest known revision.
        newest: u64,
    },
    /// A follower applies an older configuration.
    Behind {
        /// Its name.
        name: String,
        /// The revision that it applies.
        revision: u64,
        /// The newest known revision.
        newest: u64,
    },
}

/// The status of all machines that were asked, ordered by address.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The machines, each once.
    pub machines: Vec<Machine>,
}

impl MachineState {
    /// Parses an answer. Missing optional fields are empty or zero.
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
        Some(MachineState {
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

    /// Addresses of the other machines that it names.
    fn known_machines(&self) -> impl Iterator<Item = SocketAddr> {
        let recent = self.others.iter().filter(|(_, ago)| **ago < RECENT_MS).map(|(name, _)| name);
        let voters = self.voters.iter().chain(&self.next_voters);
        voters.chain([&self.steward]).chain(recent).filter_map(|name| name.parse().ok())
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

async fn ask(to: SocketAddr, within: Duration) -> Result<MachineState, String> {
    match once(to, Method::GET, "/core", Bytes::new(), within).await {
        Ok((StatusCode::OK, _, body)) => {
            let state = millpost_net::messaging::json(&body).as_ref().and_then(MachineState::read);
            state.ok_or_else(|| "the answer is not a status of control".to_owned())
        }
        Ok((status, _, body)) => Err(describe(status.as_u16(), &body)),
        Err(e) => Err(e.to_string()),
    }
}

impl Status {
    /// Asks these machines, and those that they name.
    pub async fn ask(first: &[SocketAddr], within: Duration) -> Self {
        let (mut known, mut asking) = (BTreeSet::new(), JoinSet::new());
        let mut machines: Vec<Machine> = Vec::new();
        let mut more = first.to_vec();
        loop {
            for at in more.drain(..) {
                if known.len() < MAX_MACHINES && known.insert(at) {
                    asking.spawn(async move { Machine { at, answer: ask(at, within).await } });
                }
            }
            match asking.join_next().await {
                Some(Ok(machine)) => {
                    more.extend(machine.answer.iter().flat_map(MachineState::known_machines));
                    machines.push(machine);
                }
                Some(Err(e)) => log::error!("{e}"),
                None => return Status::from_machines(machines),
            }
        }
    }

    /// Creates a status from answers. A machine that was reached by two addresses counts once.
    pub fn from_machines(mut machines: Vec<Machine>) -> Self {
        machines.sort_by_key(|m| m.at);
        let mut own = BTreeSet::new();
        machines.retain(|m| m.answer.as_ref().map_or(true, |s| own.insert(s.address.clone())));
        machines.retain(|m| m.answer.is_ok() || !own.contains(&m.at.to_string()));
        Status { machines }
    }

    /// The states of the machines that answered.
    pub fn reached(&self) -> impl Iterator<Item = &MachineState> {
        self.machines.iter().filter_map(|m| m.answer.as_ref().ok())
    }

    /// The newest revision that any machine sends or any follower applies.
    pub fn newest(&self) -> u64 {
        self.reached().flat_map(|s| s.followers.values().chain([&s.revision])).copied().max().unwrap_or(0)
    }

    /// All followers, and the newest revision that each was reported to apply.
    pub fn followers(&self) -> BTreeMap<&str, u64> {
        let mut all = BTreeMap::new();
        for (name, revision) in self.reached().flat_map(|s| &s.followers) {
            let applied = all.entry(name.as_str()).or_insert(0);
            *applied = (*applied).max(*revision);
        }
        all
    }

    /// The steward with the highest known fence, and that fence.
    pub fn steward(&self) -> Option<(&str, u64)> {
        let known = self.reached().filter(|s| !s.steward.is_empty());
        known.max_by_key(|s| s.fence).map(|s| (s.steward.as_str(), s.fence))
    }

    /// Number of instances that the steward knows.
    pub fn instances(&self) -> Option<u64> {
        self.reached().filter(|s| s.is_steward).max_by_key(|s| s.fence).map(|s| s.instances)
    }

    /// The voters of the newest epoch: one set, or two during a change of voters.
    fn voters(&self) -> Vec<&[String]> {
        let newest = self.reached().filter(|s| !s.voters.is_empty()).max_by_key(|s| s.epoch);
        let sets = newest.into_iter().flat_map(|s| [s.voters.as_slice(), s.next_voters.as_slice()]);
        sets.filter(|set| !set.is_empty()).collect()
    }

    /// All problems.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let votes = |name: &String| self.reached().any(|s| s.voting && s.address == *name);
        let sets = self.voters();
        for set in &sets {
            let voting = set.iter().filter(|name| votes(name)).count();
            if voting * 2 <= set.len() {
                problems.push(Problem::NoMajority { voting, total: set.len() });
            }
        }
        if sets.is_empty() {
            problems.push(Problem::NoMajority { voting: 0, total: 0 });
        }
        if !self.reached().any(|s| s.is_steward) {
            problems.push(Problem::NoLeader);
        }
        let mut by_fence: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        for state in self.reached().filter(|s| s.fence > 0) {
            let addresses = by_fence.entry(state.fence).or_default();
            addresses.insert(&state.steward);
            addresses.extend(state.is_steward.then_some(state.address.as_str()));
        }
        for (fence, addresses) in by_fence.into_iter().filter(|(_, addresses)| addresses.len() > 1) {
            problems.push(Problem::SeveralLeaders {
                fence,
                addresses: addresses.into_iter().map(str::to_owned).collect(),
            });
        }
        let newest = self.newest();
        for state in self.reached().filter(|s| s.revision < newest) {
            let (name, revision) = (state.address.clone(), state.revision);
            problems.push(Problem::Stale { name, revision, newest });
        }
        for (name, revision) in self.followers().into_iter().filter(|(_, revision)| *revision < newest) {
            problems.push(Problem::Behind { name: name.to_owned(), revision, newest });
        }
        problems
    }

    /// Observations that are not problems yet.
    fn remarks(&self) -> Vec<String> {
        let mut remarks = Vec::new();
        let voters: BTreeSet<&String> = self.voters().into_iter().flatten().collect();
        for state in self.reached() {
            for name in voters.iter().filter(|name| ***name != state.address) {
                match state.others.get(*name) {
                    Some(ago) if *ago > SILENT_VOTER_MS => {
                        let seconds = *ago as f64 / 1e3;
                        remarks
                            .push(format!("{} has not heard from {name} for {seconds:.1} s", state.address));
                    }
                    Some(_) => {}
                    None => remarks.push(format!("{} has never heard from {name}", state.address)),
                }
            }
            if voters.contains(&state.address) && !state.voting {
                remarks
                    .push(format!("{} is a voter without a state: it is copying from others", state.address));
            }
        }
        remarks
    }

    /// A table of the machines, one of the followers, then remarks and problems.
    pub fn text(&self) -> String {
        let newest = self.newest();
        let head = ["control", "votes", "epoch", "steward", "fence", "revision", "followers", "instances"];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        for machine in &self.machines {
            rows.push(match &machine.answer {
                Err(why) => vec![machine.at.to_string(), format!("NO ANSWER: {why}")],
                Ok(state) => vec![
                    state.address.clone(),
                    if state.voting { "yes" } else { "no" }.to_owned(),
                    state.epoch.to_string(),
                    match state.steward.as_str() {
                        _ if state.is_steward => "itself".to_owned(),
                        "" => "-".to_owned(),
                        other => other.to_owned(),
                    },
                    state.fence.to_string(),
                    state.revision.to_string(),
                    state.followers.len().to_string(),
                    if state.is_steward { state.instances.to_string() } else { "-".to_owned() },
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
            rows.extend(followers.iter().map(|(name, applied)| {
                let behind = newest - applied;
                let behind = if behind > 0 { format!("BEHIND by {behind}") } else { String::new() };
                vec![(*name).to_owned(), applied.to_string(), behind]
            }));
            text.push_str(&table(&rows));
        }
        self.remarks().iter().for_each(|remark| _ = writeln!(text, "{remark}"));
        self.problems().iter().for_each(|problem| _ = writeln!(text, "NOT WELL: {}", problem.text()));
        text
    }

    /// Encodes the status as JSON.
    pub fn to_json(&self) -> JsonValue {
        let newest = self.newest();
        let machines = self.machines.iter().map(|m| {
            let (key, value) = match &m.answer {
                Ok(state) => ("says", state.to_json()),
                Err(why) => ("no_answer", string(why)),
            };
            object([("asked_at", string(&m.at.to_string())), (key, value)])
        });
        let followers = self.followers().into_iter().map(|(name, applied)| {
            object([
                ("name", string(name)),
                ("acts_on", number(applied)),
                ("behind", number(newest - applied)),
            ])
        });
        let (steward, fence) = self.steward().unwrap_or_default();
        let problems = self.problems();
        object([
            ("well", JsonValue::Boolean(problems.is_empty())),
            ("troubles", list(problems.iter().map(Problem::to_json))),
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

    /// The address at which the steward answered; of several, the one with the highest fence.
    pub fn steward_at(&self) -> Option<SocketAddr> {
        let states =
            self.machines.iter().filter_map(|machine| Some((machine.answer.as_ref().ok()?, machine.at)));
        let stewards = states.filter(|(state, _)| state.is_steward);
        stewards.max_by_key(|(state, _)| state.fence).map(|(_, at)| at)
    }

    /// Named values that can change, which `watch` compares.
    pub fn facts(&self) -> BTreeMap<String, String> {
        let mut facts = BTreeMap::new();
        let mut put = |name: String, value: String| drop(facts.insert(name, value));
        for machine in &self.machines {
            let at = machine.at;
            match &machine.answer {
                // The reason is left out because it varies from call to call.
                Err(_) => put(format!("{at} answers"), "no".to_owned()),
                Ok(state) => {
                    put(format!("{at} answers"), "yes".to_owned());
                    put(format!("{at} votes"), if state.voting { "yes" } else { "no" }.to_owned());
                    put(format!("{at} epoch"), state.epoch.to_string());
                    put(format!("{at} revision"), state.revision.to_string());
                    put(format!("{at} steward"), format!("{} at fence {}", state.steward, state.fence));
                    put(
                        format!("{at} holds the lease"),
                        if state.is_steward { "yes" } else { "no" }.to_owned(),
                    );
                }
            }
        }
        for (n, set) in self.voters().into_iter().enumerate() {
            put(if n == 0 { "voters" } else { "next voters" }.to_owned(), set.join(" "));
        }
        for (name, applied) in self.followers() {
            put(format!("{name} acts on"), applied.to_string());
        }
        if let Some(instances) = self.instances() {
            put("instances".to_owned(), instances.to_string());
        }
        for problem in self.problems() {
            // Old revisions are already part of the facts above.
            if !matches!(problem, Problem::Behind { .. } | Problem::Stale { .. }) {
                put(format!("NOT WELL: {}", problem.text()), "so".to_owned());
            }
        }
        facts
    }
}

impl Problem {
    /// Describes the problem.
    pub fn text(&self) -> String {
        match self {
            Problem::NoMajority { voting: 0, total: 0 } => {
                "no machine that answers knows the voters".to_owned()
            }
            Problem::NoMajority { voting, total } => {
                format!("no majority is known to vote: {voting} of {total} voters do")
            }
            Problem::NoLeader => {
                "no machine that answers is the steward: no instance starts or stops".to_owned()
            }
            Problem::SeveralLeaders { fence, addresses } => {
                format!("several stewards at fence {fence}: {}", addresses.join(" "))
            }
            Problem::Stale { name, revision, newest } => {
                format!("{name} sends revision {revision}, but {newest} is the newest")
            }
            Problem::Behind { name, revision, newest } => {
                format!("{name} applies revision {revision}, {} behind {newest}", newest - revision)
            }
        }
    }

    fn to_json(&self) -> JsonValue {
        let kind = match self {
            Problem::NoMajority { .. } => "no_majority",
            Problem::NoLeader => "no_steward",
            Problem::SeveralLeaders { .. } => "several_stewards",
            Problem::Stale { .. } => "control_behind",
            Problem::Behind { .. } => "follower_behind",
        };
        object([("kind", string(kind)), ("says", string(&self.text()))])
    }
}

/// Formats rows with aligned columns. The last cell of a row does not affect the column width.
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

    /// The answer of one of three voters, all on revision 7.
    fn answering(address: &str, change: impl FnOnce(&mut MachineState)) -> Machine {
        let mut standing = MachineState {
            address: address.to_owned(),
            voting: true,
            epoch: 2,
            voters: [A, B, C].map(str::to_owned).into(),
            steward: B.to_owned(),
            fence: 4,
            is_steward: address == B,
            revision: 7,
            followers: BTreeMap::from([("edge-1".to_owned(), 7)]),
            ..MachineState::default()
        };
        change(&mut standing);
        Machine { at: address.parse().expect("an address"), answer: Ok(standing) }
    }

    fn silent(address: &str) -> Machine {
        Machine { at: address.parse().expect("an address"), answer: Err("timed out".to_owned()) }
    }

    #[yare::parameterized(
        all = { vec![answering(A, |_| ()), answering(B, |_| ()), answering(C, |_| ())], "" },
        one_is_down = { vec![answering(A, |_| ()), answering(B, |_| ()), silent(C)], "" },
        two_are_down = { vec![silent(A), answering(B, |_| ()), silent(C)], "no_majority" },
        one_down_and_one_empty = { vec![answering(A, |s| s.voting = false), answering(B, |_| ()), silent(C)], "no_majority" },
        next_voters_too = { vec![
            answering(A, |s| (s.epoch, s.next_voters) = (3, vec![A.into(), "10.0.0.4:80".into()])),
            answering(B, |_| ()), answering(C, |_| ())], "no_majority" },
        no_voter = { vec![silent(A)], "no_majority no_steward" },
        no_steward = { vec![answering(A, |_| ()), answering(C, |_| ())], "no_steward" },
        two_stewards = { vec![answering(A, |s| s.is_steward = true), answering(B, |_| ()), answering(C, |_| ())],
            "several_stewards" },
        stewards_of_two_fences = { vec![answering(A, |s| (s.is_steward, s.fence, s.steward) = (true, 3, A.into())),
            answering(B, |_| ()), answering(C, |_| ())], "" },
        follower_behind = { vec![answering(A, |s| s.followers = BTreeMap::from([("edge-2".to_owned(), 5)])),
            answering(B, |_| ()), answering(C, |_| ())], "follower_behind" },
        outdated_report_of_one = { vec![answering(A, |s| s.followers = BTreeMap::from([("edge-1".to_owned(), 5)])),
            answering(B, |_| ()), answering(C, |_| ())], "" },
        control_behind = { vec![answering(A, |s| s.revision = 5), answering(B, |_| ()), answering(C, |_| ())],
            "control_behind" },
        reached_twice = { vec![answering(A, |_| ()), answering(B, |_| ()), Machine { at: C.parse().expect("an address"),
            ..answering(A, |_| ()) }], "" },
    )]
    fn problems_by_answers(machines: Vec<Machine>, expected: &str) {
        let problems = Status::from_machines(machines).problems();
        let kinds: Vec<_> =
            problems.iter().map(|t| get_str(&t.to_json(), "kind").unwrap_or_default().to_owned()).collect();
        assert_eq!(kinds.join(" "), expected, "{problems:?}");
    }

    #[test]
    fn an_answer_reads_back_and_other_json_is_rejected() {
        let Machine { answer: Ok(standing), .. } = answering(A, |s| s.instances = 3) else {
            panic!("an answer")
        };
        assert_eq!(MachineState::read(&standing.to_json()), Some(standing));
        assert_eq!(MachineState::read(&object([("status", string("ok"))])), None);
    }
}
