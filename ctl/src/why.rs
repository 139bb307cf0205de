//! Explains the state of the steward, a machine or a function from the answers of control. Each machine is
//! asked once, and nothing is guessed: if the answers do not explain a state, the output says so.

use std::net::SocketAddr;
use std::time::Duration;

use millpost_config::values::{get, get_bool, get_list, get_str, get_u64, list, object, string};
use tinyjson::JsonValue;

use crate::errors::Error;
use crate::functions::{Functions, Selection};
use crate::http::get_from_steward;
use crate::status::{MachineState, Problem, Status};

/// A machine that has not been heard from for this long counts as silent; stalls report every 450 ms.
const SILENT_MS: u64 = 1_500;
/// Answers of the platform that are older than this are not used as an explanation.
const RECENT_MS: u64 = 60_000;
/// Limit on the platform's answers that are listed for a function.
const MAX_FAULTS: usize = 5;

/// What to explain.
#[derive(Clone, Copy, PartialEq)]
pub enum Topic<'a> {
    /// All problems.
    All,
    /// Which machine is the steward, or why none is.
    Leader,
    /// An edge machine, or a control machine by its address.
    Machine(&'a str),
    /// A function.
    Function(&'a str),
}

/// A reason for a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// The subject: a machine, a function or `steward`.
    about: String,
    /// The kind of reason, as named in JSON.
    kind: &'static str,
    /// A description.
    text: String,
    /// Whether an operator may have to act.
    needs_attention: bool,
}

/// Reasons, grouped by subject.
#[derive(Debug, Default)]
pub struct Why(Vec<Reason>);

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1e3)
}

/// A count with its noun in the singular or plural.
fn counted(count: u64, one: &str, more: &str) -> String {
    if count == 1 { format!("1 {one}") } else { format!("{count} {more}") }
}

impl Why {
    /// Asks control and collects the reasons.
    pub async fn ask(first: &[SocketAddr], about: Topic<'_>, within: Duration) -> Result<Self, Error> {
        let status = Status::ask(first, within).await;
        let mut why = Why::default();
        let duty = match status.steward_at() {
            Some(at) => {
                get_from_steward(at, "/core/duty", within, "to a request for the steward's state").await
            }
            None => Ok(JsonValue::Null),
        };
        // An older version does not know this call; the other answers still explain some of it.
        let duty = match duty {
            Err(Error::Refused { status: 404, .. }) => JsonValue::Null,
            other => other?,
        };
        match about {
            Topic::Leader => why.steward(&status),
            Topic::Machine(name) => why.machine(&status, &duty, name),
            Topic::Function(name) => {
                let functions = Functions::ask(first, Selection::Name(name), within).await?;
                if functions.all().is_empty() {
                    why.add(
                        name,
                        "unknown",
                        "the steward does not know this function: see `config diff`",
                        true,
                    );
                }
                functions.all().iter().for_each(|function| why.function(function, &duty));
            }
            Topic::All => {
                why.steward(&status);
                why.problems(&status, &duty);
                if status.steward_at().is_some() {
                    let functions = Functions::ask(first, Selection::All, within).await?;
                    functions.blocked().for_each(|function| why.function(function, &duty));
                }
            }
        }
        Ok(why)
    }

    fn add(&mut self, about: &str, kind: &'static str, text: impl Into<String>, needs_attention: bool) {
        self.0.push(Reason { about: about.to_owned(), kind, text: text.into(), needs_attention });
    }

    /// Whether no reason needs an operator's attention.
    pub fn is_well(&self) -> bool {
        !self.0.iter().any(|reason| reason.needs_attention)
    }

    /// A line for each reason, grouped by subject.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut last = None;
        for reason in &self.0 {
            if last != Some(&reason.about) {
                text.push_str(&format!("{}\n", reason.about.escape_debug()));
                last = Some(&reason.about);
            }
            let mark = if reason.needs_attention { "NOT WELL, " } else { "" };
            text.push_str(&format!("  {mark}{}: {}\n", reason.kind, reason.text));
        }
        text
    }

    /// Encodes the reasons as JSON.
    pub fn to_json(&self) -> JsonValue {
        let encode = |reason: &Reason| {
            object([
                ("about", string(&reason.about)),
                ("kind", string(reason.kind)),
                ("says", string(&reason.text)),
                ("bad", JsonValue::Boolean(reason.needs_attention)),
            ])
        };
        object([("well", JsonValue::Boolean(self.is_well())), ("reasons", list(self.0.iter().map(encode)))])
    }

    /// Explains machines with an old configuration, and stalls without functions.
    fn problems(&mut self, status: &Status, duty: &JsonValue) {
        for problem in status.problems() {
            match &problem {
                Problem::Stale { name, .. } | Problem::Behind { name, .. } => {
                    self.machine(status, duty, name)
                }
                // Explained with the steward.
                Problem::NoMajority { .. } | Problem::NoLeader | Problem::SeveralLeaders { .. } => {}
            }
        }
        for stall in get_list(duty, "stalls").unwrap_or_default() {
            if let (Some(name), Some(out)) = (get_str(stall, "name"), get_str(stall, "out")) {
                let (kind, text, needs_attention) = exclusion_reason(out, stall);
                self.add(name, kind, text, needs_attention);
            }
        }
    }

    /// Which machine is the steward, or why none is.
    fn steward(&mut self, status: &Status) {
        let about = "steward";
        let mut others = Vec::new();
        for problem in status.problems() {
            match &problem {
                Problem::NoMajority { .. } | Problem::SeveralLeaders { .. } => others.push(problem.text()),
                Problem::NoLeader | Problem::Stale { .. } | Problem::Behind { .. } => {}
            }
        }
        let holder = status.reached().filter(|s| s.is_steward).max_by_key(|s| s.fence);
        if let Some(holder) = holder {
            self.add(
                about,
                "holds",
                format!("{} holds the lease, fence {}", holder.address, holder.fence),
                false,
            );
        } else {
            let text = "no machine that answers holds the lease: no instance starts or stops, and stalls continue with their last state";
            self.add(about, "nobody", text, true);
        }
        others.into_iter().for_each(|text| self.add(about, "majority", text, true));
        for machine in &status.machines {
            match &machine.answer {
                Err(why) => self.add(&machine.at.to_string(), "no_answer", why.clone(), true),
                Ok(state) if holder.is_none() => self.candidate(state),
                Ok(_) => {}
            }
        }
    }

    /// Explains why a machine is not the steward.
    fn candidate(&mut self, state: &MachineState) {
        let (text, needs_attention) = match state.lease.as_str() {
            "no_platform" => ("its settings have no platform_api: it can't be the steward", true),
            "no_vote" => {
                ("it has no state on its disk, or its voter is silent: only voters request the lease", true)
            }
            "leaves" => ("it is shutting down", false),
            "reads" => ("it first has to read from a majority which machine was the last steward", false),
            "takes" => ("it has the lease and is writing its fence to a majority", false),
            "asks" => (
                "it requests the lease: a majority of voters has to grant it, at the latest 1.5 s after the last lease",
                false,
            ),
            _ => ("it does not report its progress: it has an older version", false),
        };
        self.add(&state.address, "lease", text, needs_attention);
        let silent = state.others.iter().filter(|(name, ago)| {
            **ago > SILENT_MS && state.voters.iter().chain(&state.next_voters).any(|voter| voter == *name)
        });
        for (name, ago) in silent {
            self.add(
                &state.address,
                "unheard",
                format!("it has not heard from {name} for {}", seconds(*ago)),
                true,
            );
        }
    }

    /// Explains which configuration a machine applies, and whether it owns functions.
    fn machine(&mut self, status: &Status, duty: &JsonValue, name: &str) {
        if let Some(state) = status.reached().find(|state| state.address == name) {
            return self.control(status, state);
        }
        let newest = status.newest();
        let feeders: Vec<&MachineState> =
            status.reached().filter(|s| s.followers.contains_key(name)).collect();
        let stall = get_list(duty, "stalls").unwrap_or_default();
        let stall = stall.iter().find(|stall| get_str(stall, "name") == Some(name));
        let applied = feeders.iter().filter_map(|state| state.followers.get(name)).max().copied();
        match applied {
            None if stall.is_none() => self.add(
                name,
                "unknown",
                "no control machine that answers sends to it or knows it: the name is wrong, or its porter reaches no control machine (seeds, network)",
                true,
            ),
            None => self.add(
                name,
                "not_fed",
                "no control machine that answers sends to it: its porter is down, or reaches none of the machines that answer here",
                true,
            ),
            Some(applied) if applied >= newest => {
                self.add(name, "newest", format!("it applies revision {applied}, and nothing newer is known"), false);
            }
            Some(applied) => {
                self.add(name, "behind", format!("it applies revision {applied}, but {newest} is the newest"), true);
                for state in &feeders {
                    let (address, fed) = (&state.address, state.revision);
                    let text = if fed < newest {
                        format!("{address} sends to it, but only has revision {fed} itself")
                    } else {
                        format!(
                            "{address} has sent it revision {fed}: this is repeated within 1.5 s; after that its log has `configuration {fed}: ...`"
                        )
                    };
                    self.add(name, "fed_by", text, fed < newest);
                }
            }
        }
        if let Some(stall) = stall {
            match get_str(stall, "out") {
                Some(out) => {
                    let (kind, text, needs_attention) = exclusion_reason(out, stall);
                    self.add(name, kind, text, needs_attention);
                }
                None if get_bool(stall, "named") == Some(true) => {
                    self.add(
                        name,
                        "named",
                        "the steward's list includes it: it owns its part of the functions",
                        false,
                    );
                }
                None => self.add(
                    name,
                    "coming",
                    "it is alive, and the steward's next list will include it",
                    false,
                ),
            }
        }
    }

    fn control(&mut self, status: &Status, state: &MachineState) {
        let (name, newest) = (state.address.as_str(), status.newest());
        if state.revision >= newest {
            let text = format!("it sends revision {}, and nothing newer is known", state.revision);
            self.add(name, "newest", text, false);
        } else {
            let text = format!(
                "it sends revision {}, but {newest} is the newest: the others send it every 400 ms",
                state.revision
            );
            self.add(name, "behind", text, true);
        }
        for (other, ago) in state.others.iter().filter(|(_, ago)| **ago > SILENT_MS) {
            let voter = state.voters.contains(other);
            self.add(name, "unheard", format!("it has not heard from {other} for {}", seconds(*ago)), voter);
        }
        if !state.voting && state.voters.contains(&state.address) {
            self.add(
                name,
                "no_vote",
                "it is a voter without a state: it is copying from others, or its disk fails",
                true,
            );
        }
    }

    /// Explains the instances of a function.
    fn function(&mut self, function: &JsonValue, duty: &JsonValue) {
        let name = get_str(function, "name").unwrap_or_default();
        let count = |key| get_u64(function, key).unwrap_or(0);
        let (ready, booting, starting) = (count("ready"), count("booting"), count("starting"));
        if get_bool(function, "configured") == Some(false) {
            self.add(
                name,
                "not_configured",
                "it is no longer in the configuration: its instances are stopped",
                false,
            );
        }
        self.wanted(name, function);
        let text = format!(
            "{ready} ready, {booting} booting, {starting} being started, {} draining",
            count("draining")
        );
        self.add(name, "has", text, false);
        self.hold(name, function, duty);
        self.instances(name, function, duty);
        let faults = get_list(duty, "faults").unwrap_or_default().iter();
        let own = faults.filter(|fault| {
            let about = get_str(fault, "of").and_then(|nonce| nonce.splitn(3, '.').nth(2));
            about == Some(name) && get_u64(fault, "ms_ago").is_some_and(|ago| ago < RECENT_MS)
        });
        for fault in own.take(MAX_FAULTS) {
            let ago = seconds(get_u64(fault, "ms_ago").unwrap_or(0));
            let answer = answer(fault);
            let nonce = get_str(fault, "of").unwrap_or_default();
            self.add(name, "platform", format!("{ago} ago start {nonce} {answer}"), false);
        }
    }

    fn wanted(&mut self, name: &str, function: &JsonValue) {
        let Some(wanted) = get_u64(function, "wanted") else {
            let text =
                "no owner has requested instances within 5 s: there are no requests, or no stall owns it";
            return self.add(name, "unwanted", text, false);
        };
        let ago = seconds(get_u64(function, "said_ms_ago").unwrap_or(0));
        let zones = get_list(function, "zones").unwrap_or_default().iter().filter_map(|pair| match pair {
            JsonValue::Array(pair) => pair.first()?.get::<String>().map(String::as_str),
            _ => None,
        });
        let zones = zones.collect::<Vec<_>>().join(", ");
        let from = if zones.is_empty() { String::new() } else { format!(", for requests from {zones}") };
        let requesters = match (get_list(function, "lots"), get_str(function, "owner")) {
            (Some(lots), _) => {
                counted(lots.len() as u64, "owner, for one zone, requests", "owners, one per zone, request")
            }
            (None, Some(owner)) => format!("its owner {owner} requests"),
            (None, None) => "its owner requests".to_owned(),
        };
        self.add(name, "wanted", format!("{requesters} {wanted} instances, {ago} ago{from}"), false);
        for lot in get_list(function, "lots").unwrap_or_default() {
            let part = |key| get_str(lot, key).unwrap_or("-");
            let number = |key| get_u64(lot, key).unwrap_or(0);
            let text = format!(
                "{} requests {} instances in {}, and has {} there: {}",
                part("owner"),
                number("wanted"),
                part("zone"),
                number("live"),
                part("hold")
            );
            self.add(name, "lot", text, false);
        }
    }

    /// Explains what blocks further starts.
    fn hold(&mut self, name: &str, function: &JsonValue, duty: &JsonValue) {
        let left =
            get_u64(function, "hold_ms").map_or(String::new(), |ms| format!(" for {} more", seconds(ms)));
        let refusals = get_u64(function, "refusals").unwrap_or(0);
        let (kind, text, needs_attention) = match get_str(function, "hold").unwrap_or_default() {
            "enough" | "unwanted" => {
                let live: u64 =
                    ["ready", "booting", "starting"].iter().filter_map(|k| get_u64(function, k)).sum();
                if get_u64(function, "wanted").is_some_and(|wanted| live > wanted) {
                    let text = "more than are requested: its owner releases instances once it has not needed them for a while";
                    self.add(name, "more", text, false);
                }
                return;
            }
            "no_list" => (
                "no_list",
                "no complete list has been read from the platform yet: nothing starts before that".to_owned(),
                true,
            ),
            "settling" => (
                "settling",
                format!(
                    "this steward is new: instances started by the previous one may not be listed yet{left}"
                ),
                false,
            ),
            "refused" => {
                let times = counted(refusals, "time", "times");
                (
                    "refused",
                    format!(
                        "the platform has refused starts with a 4xx status {times} in a row: nothing starts{left}"
                    ),
                    true,
                )
            }
            "no_room" => {
                let need = get_u64(function, "memory_mb").map_or(String::new(), |mb| format!(" of {mb} MB"));
                ("no_room", format!("no worker has memory for another instance{need}"), true)
            }
            "turn" => ("turn", turn(duty), false),
            other => ("held", format!("starts are blocked by {other:?}{left}"), false),
        };
        self.add(name, kind, text, needs_attention);
        if kind == "no_room" {
            self.room(name, duty);
        }
        if kind == "no_list" {
            for entry in get_list(duty, "answers").unwrap_or_default() {
                if get_str(entry, "call") == Some("list") && get_str(entry, "answer") != Some("ok") {
                    let count = get_u64(entry, "count").unwrap_or(0);
                    let text =
                        format!("the request for the list has failed {}", counted(count, "time", "times"));
                    self.add(name, "platform", text, true);
                }
            }
        }
    }

    /// Explains why no worker accepts an instance.
    fn room(&mut self, name: &str, duty: &JsonValue) {
        let Some(workers) = get(duty, "workers") else {
            return self.add(name, "workers", "the platform has not reported its workers yet", true);
        };
        let all = get_list(workers, "first").unwrap_or_default();
        let drains: Vec<&str> = all
            .iter()
            .filter(|w| get_bool(w, "draining") == Some(true))
            .filter_map(|w| get_str(w, "name"))
            .collect();
        let free = all
            .iter()
            .filter(|w| get_bool(w, "draining") != Some(true))
            .filter_map(|w| get_u64(w, "free_mb"));
        let most = free.max().unwrap_or(0);
        let count = get_u64(workers, "count").unwrap_or(0);
        let ago = seconds(get_u64(workers, "ms_ago").unwrap_or(0));
        let mut text = format!(
            "{}, reported {ago} ago; at most {most} MB free on one",
            counted(count, "worker", "workers")
        );
        if !drains.is_empty() {
            text.push_str(&format!("; draining: {}", drains.join(" ")));
        }
        self.add(name, "workers", text, false);
    }

    /// Lists instances that are not ready, with the reason.
    fn instances(&mut self, name: &str, function: &JsonValue, duty: &JsonValue) {
        let workers = get(duty, "workers").and_then(|w| get_list(w, "first")).unwrap_or_default();
        let drains = |worker: &str| {
            let found = workers.iter().find(|w| get_str(w, "name") == Some(worker));
            found.is_some_and(|w| get_bool(w, "draining") == Some(true))
        };
        for instance in get_list(function, "instances").unwrap_or_default() {
            let part = |key| get_str(instance, key).unwrap_or("-");
            let (id, worker) = (part("id"), part("worker"));
            let stop = get_str(instance, "stop").map_or(String::new(), |stop| format!(", stop {stop}"));
            let since = seconds(get_u64(instance, "since_ms").unwrap_or(0));
            let text = match part("state") {
                "booting" => format!("{id} on {worker} has been booting for {since}"),
                "draining" if drains(worker) => {
                    format!("{id} drains because its worker {worker} drains{stop}")
                }
                "draining" => {
                    format!(
                        "{id} on {worker} drains: its owner released it, or the platform's list says so{stop}"
                    )
                }
                "doubted" => {
                    format!(
                        "{id} on {worker} is reported as gone: its owner found it dead, or the platform's lists omit it or its worker"
                    )
                }
                "ended" => format!("{id} on {worker} is reported as gone{stop}"),
                _ => continue,
            };
            self.add(name, "instance", text, false);
        }
    }
}

/// Describes an answer of the platform.
fn answer(value: &JsonValue) -> String {
    match (get_str(value, "answer"), get_u64(value, "status")) {
        (Some("no_room"), _) => "got 409: no memory, or the worker drains or is down".to_owned(),
        (Some("busy"), _) => "got 429: more starts and stops than the platform accepts".to_owned(),
        (Some("refused"), _) => "got another 4xx: the request is not acceptable".to_owned(),
        (Some("unclear"), _) => "got no definite answer: the call is repeated".to_owned(),
        (Some(other), Some(status)) => format!("got {status}, {other}"),
        _ => "got no answer".to_owned(),
    }
}

/// Explains why a start waits for its turn.
fn turn(duty: &JsonValue) -> String {
    let answers = get_list(duty, "answers").unwrap_or_default().iter();
    let busy = answers.filter(|entry| get_str(entry, "answer") == Some("busy"));
    let most_recent = busy.filter_map(|entry| get_u64(entry, "ms_ago")).min().filter(|ago| *ago < RECENT_MS);
    match most_recent {
        Some(ago) => {
            format!(
                "it waits for its turn: the platform answered 429 {} ago, after which starts pause",
                seconds(ago)
            )
        }
        None => {
            "it waits for its turn: duty_per_s limits starts and stops; or it was requested only just now"
                .to_owned()
        }
    }
}

/// Explains why the steward does not list a stall as an owner of functions.
fn exclusion_reason(out: &str, stall: &JsonValue) -> (&'static str, String, bool) {
    let ago = seconds(get_u64(stall, "heard_ms_ago").unwrap_or(0));
    match out {
        "silent" => (
            "silent",
            format!("the steward has not heard from it for {ago}: other stalls own its functions"),
            true,
        ),
        "leaves" => ("leaves", "it is shutting down: other stalls own its functions".to_owned(), false),
        "drained" => ("drained", "an operator has drained it: see `drain status`".to_owned(), false),
        "deaf" => (
            "deaf",
            "two other stalls report that it does not answer them: other stalls own its functions".to_owned(),
            true,
        ),
        "unfed" => (
            "unfed",
            "its porter has no connection to the steward: other stalls own its functions".to_owned(),
            true,
        ),
        other => ("out", format!("the steward's list does not include it: {other}"), true),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn json(text: &str) -> JsonValue {
        text.parse().expect("JSON")
    }

    fn kinds(why: &Why) -> String {
        let entry = |r: &Reason| if r.needs_attention { format!("{}!", r.kind) } else { r.kind.to_owned() };
        why.0.iter().map(entry).collect::<Vec<_>>().join(" ")
    }

    const DUTY: &str = r#"{"answers":[{"call":"start","answer":"busy","status":429,"count":2,"ms_ago":400},
        {"call":"list","answer":"none","count":3,"ms_ago":10}],
        "faults":[{"call":"start","answer":"no_room","status":409,"of":"4.7.f","ms_ago":300},
        {"call":"start","answer":"no_room","status":409,"of":"4.7.g.f","ms_ago":300},
        {"call":"start","answer":"no_room","status":409,"of":"4.1.f","ms_ago":300000}],
        "workers":{"ms_ago":20,"count":2,"first":[{"name":"w-1","free_mb":64,"draining":false},
        {"name":"w-2","free_mb":900,"draining":true}]},
        "stalls":[{"name":"e-1","named":true,"heard_ms_ago":10},{"name":"e-2","named":false,"heard_ms_ago":9,"out":"unfed"}]}"#;

    #[yare::parameterized(
        unwanted = { r#""hold":"unwanted""#, "unwanted has platform" },
        enough = { r#""wanted":1,"ready":1,"hold":"enough""#, "wanted has platform" },
        more = { r#""wanted":1,"ready":2,"hold":"enough""#, "wanted has more platform" },
        no_list = { r#""wanted":1,"hold":"no_list""#, "wanted has no_list! platform! platform" },
        refused = { r#""wanted":1,"refusals":2,"hold":"refused","hold_ms":900"#, "wanted has refused! platform" },
        no_room = { r#""wanted":1,"hold":"no_room","memory_mb":128"#, "wanted has no_room! workers platform" },
        turn = { r#""wanted":1,"hold":"turn""#, "wanted has turn platform" },
        lots = { r#""wanted":2,"hold":"turn","lots":[{"zone":"z","owner":"e","wanted":2,"live":1,"hold":"turn"}]"#,
            "wanted lot has turn platform" },
        drains = { r#""wanted":1,"ready":1,"hold":"enough","instances":[{"id":"i","state":"ready"},
            {"id":"j","state":"draining","worker":"w-2"},{"id":"k","state":"doubted"}]"#,
            "wanted has instance instance platform" },
        removed_function = { r#""hold":"unwanted","configured":false"#, "not_configured unwanted has platform" },
    )]
    fn reasons_for_the_instances_of_a_function(function: &str, expected: &str) {
        let mut why = Why::default();
        why.function(&json(&format!(r#"{{"name":"f",{function}}}"#)), &json(DUTY));
        assert_eq!(kinds(&why), expected, "{}", why.text());
        if expected.contains("workers") {
            assert!(why.text().contains("at most 64 MB free on one; draining: w-2"), "{}", why.text());
        }
    }

    const A: &str = "10.0.0.1:80";
    const B: &str = "10.0.0.2:80";

    fn status(a: &str, b: &str) -> Status {
        let machine = |at: &str, more: &str| {
            let text =
                format!(r#"{{"address":"{at}","voting":true,"voters":["{A}","{B}"],"revision":7,{more}}}"#);
            // The last value of a repeated key counts.
            let state = MachineState::read(&json(&text)).ok_or_else(|| "timed out".to_owned());
            crate::status::Machine { at: at.parse().expect("an address"), answer: state }
        };
        Status::from_machines(vec![machine(A, a), machine(B, b)])
    }

    #[yare::parameterized(
        newest = { "e-1", r#""followers_act_on":{"e-1":7}"#, r#""x":0"#, "newest named" },
        behind = { "e-1", r#""followers_act_on":{"e-1":6}"#, r#""x":0"#, "behind! fed_by named" },
        sender_is_behind = { "e-1", r#""revision":5,"followers_act_on":{"e-1":5}"#, r#""x":0"#,
            "behind! fed_by! named" },
        not_fed = { "e-2", r#""x":0"#, r#""x":0"#, "not_fed! unfed!" },
        unknown = { "e-3", r#""x":0"#, r#""x":0"#, "unknown!" },
        control = { A, r#""x":0"#, r#""x":0"#, "newest" },
        control_behind = { A, r#""revision":5,"others_heard_ms_ago":{"10.0.0.2:80":4000}"#, r#""x":0"#,
            "behind! unheard!" },
        control_copies = { A, r#""voting":false"#, r#""x":0"#, "newest no_vote!" },
    )]
    fn reasons_for_the_configuration_of_a_machine(name: &str, a: &str, b: &str, expected: &str) {
        let mut why = Why::default();
        why.machine(&status(a, b), &json(DUTY), name);
        assert_eq!(kinds(&why), expected, "{}", why.text());
    }

    #[yare::parameterized(
        one = { r#""is_steward":true,"fence":3,"steward":"10.0.0.1:80","lease":"steward""#, r#""lease":"asks""#,
            "holds" },
        lease_requested = { r#""lease":"asks""#, r#""lease":"takes""#, "nobody! lease lease" },
        no_platform = { r#""lease":"no_platform""#, r#""lease":"no_platform""#, "nobody! lease! lease!" },
        old_version = { r#""x":0"#, r#""x":0"#, "nobody! lease lease" },
        no_majority = { r#""voting":false,"lease":"no_vote""#, r#""lease":"reads""#,
            "nobody! majority! lease! lease" },
        unheard = { r#""lease":"asks","others_heard_ms_ago":{"10.0.0.2:80":4000}"#, r#""lease":"asks""#,
            "nobody! lease unheard! lease" },
    )]
    fn reasons_for_having_no_steward(a: &str, b: &str, expected: &str) {
        let mut why = Why::default();
        why.steward(&status(a, b));
        assert_eq!(kinds(&why), expected, "{}", why.text());
        assert_eq!(why.is_well(), expected == "holds");
    }
}
