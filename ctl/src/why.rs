//! Why something stands as it does: reasons read out of what control machines say. Nothing is asked here twice, and nothing is guessed:
//! where the answers do not tell, that is the reason.

use std::net::SocketAddr;
use std::time::Duration;

use millpost_config::values::{get, get_bool, get_list, get_str, get_u64, list, object, string};
use tinyjson::JsonValue;

use crate::errors::Error;
use crate::functions::{Functions, Which};
use crate::http::get_from_steward;
use crate::status::{Standing, Status, Trouble};

/// A stall is heard of every 450 ms.
const SILENT_MS: u64 = 1_500;
/// Answers of the platform that are this old explain nothing any more.
const LATELY_MS: u64 = 60_000;
/// Answers of the platform that are told of one function.
const FAULTS: usize = 5;

/// What is asked about.
#[derive(Clone, Copy, PartialEq)]
pub enum About<'a> {
    /// All that is not well.
    All,
    /// Who is the steward, or why nobody is.
    Leader,
    /// An edge machine, or a control machine by its address.
    Machine(&'a str),
    /// A function.
    Function(&'a str),
}

/// One reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// What it is about.
    about: String,
    /// The word for it.
    kind: &'static str,
    /// In words.
    says: String,
    /// Something that people may have to mend.
    bad: bool,
}

/// All reasons.
#[derive(Debug, Default)]
pub struct Why(Vec<Reason>);

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1e3)
}

/// A count with its noun.
fn many(count: u64, one: &str, more: &str) -> String {
    if count == 1 { format!("1 {one}") } else { format!("{count} {more}") }
}

impl Why {
    /// Asks control.
    pub async fn ask(first: &[SocketAddr], about: About<'_>, within: Duration) -> Result<Self, Error> {
        let status = Status::ask(first, within).await;
        let mut why = Why::default();
        let duty = match status.steward_at() {
            Some(at) => {
                get_from_steward(at, "/core/duty", within, "of the steward to how its duty stands").await
            }
            None => Ok(JsonValue::Null),
        };
        // An older one does not know this call; what else is known is told all the same.
        let duty = match duty {
            Err(Error::Refused { status: 404, .. }) => JsonValue::Null,
            other => other?,
        };
        match about {
            About::Leader => why.steward(&status),
            About::Machine(name) => why.machine(&status, &duty, name),
            About::Function(name) => {
                let functions = Functions::ask(first, Which::Name(name), within).await?;
                if functions.all().is_empty() {
                    why.put(name, "unknown", "the steward knows no such function: see `config diff`", true);
                }
                functions.all().iter().for_each(|of| why.function(of, &duty));
            }
            About::All => {
                why.steward(&status);
                why.troubles(&status, &duty);
                if status.steward_at().is_some() {
                    let functions = Functions::ask(first, Which::All, within).await?;
                    functions.held().for_each(|of| why.function(of, &duty));
                }
            }
        }
        Ok(why)
    }

    fn put(&mut self, about: &str, kind: &'static str, says: impl Into<String>, bad: bool) {
        self.0.push(Reason { about: about.to_owned(), kind, says: says.into(), bad });
    }

    /// Nothing is there for people to mend.
    pub fn is_well(&self) -> bool {
        !self.0.iter().any(|reason| reason.bad)
    }

    /// A line for each, under what it is about.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut last = None;
        for reason in &self.0 {
            if last != Some(&reason.about) {
                text.push_str(&format!("{}\n", reason.about.escape_debug()));
                last = Some(&reason.about);
            }
            let mark = if reason.bad { "NOT WELL, " } else { "" };
            text.push_str(&format!("  {mark}{}: {}\n", reason.kind, reason.says));
        }
        text
    }

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        let reason = |of: &Reason| {
            object([
                ("about", string(&of.about)),
                ("kind", string(of.kind)),
                ("says", string(&of.says)),
                ("bad", JsonValue::Boolean(of.bad)),
            ])
        };
        object([("well", JsonValue::Boolean(self.is_well())), ("reasons", list(self.0.iter().map(reason)))])
    }

    /// Who is behind, and why.
    fn troubles(&mut self, status: &Status, duty: &JsonValue) {
        for trouble in status.troubles() {
            match &trouble {
                Trouble::Stale { who, .. } | Trouble::Behind { who, .. } => self.machine(status, duty, who),
                // Told with the steward.
                Trouble::NoMajority { .. } | Trouble::NoLeader | Trouble::SeveralLeaders { .. } => {}
            }
        }
        for stall in get_list(duty, "stalls").unwrap_or_default() {
            if let (Some(name), Some(out)) = (get_str(stall, "name"), get_str(stall, "out")) {
                let (kind, says, bad) = out_of(out, stall);
                self.put(name, kind, says, bad);
            }
        }
    }

    /// Who is the steward, or why nobody is.
    fn steward(&mut self, status: &Status) {
        let about = "steward";
        let mut others = Vec::new();
        for trouble in status.troubles() {
            match &trouble {
                Trouble::NoMajority { .. } | Trouble::SeveralLeaders { .. } => others.push(trouble.text()),
                Trouble::NoLeader | Trouble::Stale { .. } | Trouble::Behind { .. } => {}
            }
        }
        let holder = status.reached().filter(|s| s.is_steward).max_by_key(|s| s.fence);
        if let Some(holder) = holder {
            self.put(
                about,
                "holds",
                format!("{} holds the lease, fence {}", holder.address, holder.fence),
                false,
            );
        } else {
            let says = "nobody who answers holds the lease: no instance starts or stops, stalls go on with what they know";
            self.put(about, "nobody", says, true);
        }
        others.into_iter().for_each(|says| self.put(about, "majority", says, true));
        for machine in &status.machines {
            match &machine.said {
                Err(why) => self.put(&machine.at.to_string(), "no_answer", why.clone(), true),
                Ok(said) if holder.is_none() => self.candidate(said),
                Ok(_) => {}
            }
        }
    }

    /// Why a machine is not the steward.
    fn candidate(&mut self, said: &Standing) {
        let (says, bad) = match said.lease.as_str() {
            "no_platform" => ("its settings have no platform_api: it can't be the steward", true),
            "no_vote" => (
                "it has no state on its disk, or its voter is silent: only who votes asks for the lease",
                true,
            ),
            "leaves" => ("it is told to end", false),
            "reads" => ("it has to hear from a majority first who was the steward last", false),
            "takes" => ("it has the lease, and writes its fence to a majority", false),
            "asks" => (
                "it asks for the lease: a majority of voters has to grant it, 1.5 s after the last one's at the latest",
                false,
            ),
            _ => ("it does not say: an older version", false),
        };
        self.put(&said.address, "lease", says, bad);
        let unheard = said.others.iter().filter(|(name, ago)| {
            **ago > SILENT_MS && said.voters.iter().chain(&said.next_voters).any(|voter| voter == *name)
        });
        for (name, ago) in unheard {
            self.put(
                &said.address,
                "unheard",
                format!("it has not heard {name} for {}", seconds(*ago)),
                true,
            );
        }
    }

    /// Why a machine has, or has not, the newest configuration, and whether it owns functions.
    fn machine(&mut self, status: &Status, duty: &JsonValue, name: &str) {
        if let Some(said) = status.reached().find(|said| said.address == name) {
            return self.control(status, said);
        }
        let newest = status.newest();
        let feeders: Vec<&Standing> = status.reached().filter(|s| s.followers.contains_key(name)).collect();
        let stall = get_list(duty, "stalls").unwrap_or_default();
        let stall = stall.iter().find(|stall| get_str(stall, "name") == Some(name));
        let acts = feeders.iter().filter_map(|said| said.followers.get(name)).max().copied();
        match acts {
            None if stall.is_none() => self.put(
                name,
                "unknown",
                "no control machine that answers feeds it or has heard of it: another name, or its porter reaches none (seeds, network)",
                true,
            ),
            None => self.put(
                name,
                "not_fed",
                "no control machine that answers feeds it: its porter is down, or reaches none that answers here",
                true,
            ),
            Some(acts) if acts >= newest => {
                self.put(name, "newest", format!("it acts on {acts}, and nothing newer stands"), false);
            }
            Some(acts) => {
                self.put(name, "behind", format!("it acts on {acts}, and {newest} stands"), true);
                for said in &feeders {
                    let (address, fed) = (&said.address, said.revision);
                    let says = if fed < newest {
                        format!("{address} feeds it, and has only {fed} itself")
                    } else {
                        format!(
                            "{address} has fed it {fed}: within 1.5 s it is sent again; after that its log says `configuration {fed}: ...`"
                        )
                    };
                    self.put(name, "fed_by", says, fed < newest);
                }
            }
        }
        if let Some(stall) = stall {
            match get_str(stall, "out") {
                Some(out) => {
                    let (kind, says, bad) = out_of(out, stall);
                    self.put(name, kind, says, bad);
                }
                None if get_bool(stall, "named") == Some(true) => {
                    self.put(name, "named", "the steward names it: it owns its part of the functions", false);
                }
                None => self.put(name, "coming", "it is alive, and stands in the next naming", false),
            }
        }
    }

    fn control(&mut self, status: &Status, said: &Standing) {
        let (name, newest) = (said.address.as_str(), status.newest());
        if said.revision >= newest {
            let says = format!("it feeds {}, and nothing newer stands", said.revision);
            self.put(name, "newest", says, false);
        } else {
            let says =
                format!("it feeds {}, and {newest} stands: others tell it every 400 ms", said.revision);
            self.put(name, "behind", says, true);
        }
        for (other, ago) in said.others.iter().filter(|(_, ago)| **ago > SILENT_MS) {
            let voter = said.voters.contains(other);
            self.put(name, "unheard", format!("it has not heard {other} for {}", seconds(*ago)), voter);
        }
        if !said.voting && said.voters.contains(&said.address) {
            self.put(
                name,
                "no_vote",
                "it is a voter, and has no state yet: it copies, or its disk fails",
                true,
            );
        }
    }

    /// Why a function has the instances that it has.
    fn function(&mut self, of: &JsonValue, duty: &JsonValue) {
        let name = get_str(of, "name").unwrap_or_default();
        let count = |key| get_u64(of, key).unwrap_or(0);
        let (ready, booting, starting) = (count("ready"), count("booting"), count("starting"));
        if get_bool(of, "configured") == Some(false) {
            self.put(name, "not_configured", "it is in the configuration no more: its instances end", false);
        }
        self.wanted(name, of);
        let says = format!(
            "{ready} ready, {booting} booting, {starting} being started, {} draining",
            count("draining")
        );
        self.put(name, "has", says, false);
        self.hold(name, of, duty);
        self.instances(name, of, duty);
        let faults = get_list(duty, "faults").unwrap_or_default().iter();
        let own = faults.filter(|fault| {
            let about = get_str(fault, "of").and_then(|nonce| nonce.splitn(3, '.').nth(2));
            about == Some(name) && get_u64(fault, "ms_ago").is_some_and(|ago| ago < LATELY_MS)
        });
        for fault in own.take(FAULTS) {
            let ago = seconds(get_u64(fault, "ms_ago").unwrap_or(0));
            let answer = answer(fault);
            let nonce = get_str(fault, "of").unwrap_or_default();
            self.put(name, "platform", format!("{ago} ago start {nonce} {answer}"), false);
        }
    }

    fn wanted(&mut self, name: &str, of: &JsonValue) {
        let Some(wanted) = get_u64(of, "wanted") else {
            let says =
                "no owner has asked for any within 5 s: no requests, or no stall is named that owns it";
            return self.put(name, "unwanted", says, false);
        };
        let ago = seconds(get_u64(of, "said_ms_ago").unwrap_or(0));
        let zones = get_list(of, "zones").unwrap_or_default().iter().filter_map(|pair| match pair {
            JsonValue::Array(pair) => pair.first()?.get::<String>().map(String::as_str),
            _ => None,
        });
        let zones = zones.collect::<Vec<_>>().join(", ");
        let from = if zones.is_empty() { String::new() } else { format!(", for requests from {zones}") };
        let who = match (get_list(of, "lots"), get_str(of, "owner")) {
            (Some(lots), _) => many(lots.len() as u64, "owner, of one zone, asks", "owners, one a zone, ask"),
            (None, Some(owner)) => format!("its owner {owner} asks"),
            (None, None) => "its owner asks".to_owned(),
        };
        self.put(name, "wanted", format!("{who} for {wanted}, {ago} ago{from}"), false);
        for lot in get_list(of, "lots").unwrap_or_default() {
            let part = |key| get_str(lot, key).unwrap_or("-");
            let number = |key| get_u64(lot, key).unwrap_or(0);
            let says = format!(
                "{} asks for {} in {}, and has {} there: {}",
                part("owner"),
                number("wanted"),
                part("zone"),
                number("live"),
                part("hold")
            );
            self.put(name, "lot", says, false);
        }
    }

    /// What holds more back.
    fn hold(&mut self, name: &str, of: &JsonValue, duty: &JsonValue) {
        let left = get_u64(of, "hold_ms").map_or(String::new(), |ms| format!(" for {} more", seconds(ms)));
        let refusals = get_u64(of, "refusals").unwrap_or(0);
        let (kind, says, bad) = match get_str(of, "hold").unwrap_or_default() {
            "enough" | "unwanted" => {
                let live: u64 = ["ready", "booting", "starting"].iter().filter_map(|k| get_u64(of, k)).sum();
                if get_u64(of, "wanted").is_some_and(|wanted| live > wanted) {
                    let says =
                        "more than are wanted: its owner lets them go once it needs them no more for a while";
                    self.put(name, "more", says, false);
                }
                return;
            }
            "no_list" => (
                "no_list",
                "no whole list was read from the platform yet: nothing starts before".to_owned(),
                true,
            ),
            "settling" => (
                "settling",
                format!("this steward is new: what the one before has started may not be listed yet{left}"),
                false,
            ),
            "refused" => {
                let times = many(refusals, "time", "times");
                (
                    "refused",
                    format!(
                        "the platform has refused a start with a 4xx {times} in a row: nothing starts{left}"
                    ),
                    true,
                )
            }
            "no_room" => {
                let need = get_u64(of, "memory_mb").map_or(String::new(), |mb| format!(" of {mb} MB"));
                ("no_room", format!("no worker has room for one more{need}"), true)
            }
            "turn" => ("turn", turn(duty), false),
            other => ("held", format!("it is held by {other:?}{left}"), false),
        };
        self.put(name, kind, says, bad);
        if kind == "no_room" {
            self.room(name, duty);
        }
        if kind == "no_list" {
            for word in get_list(duty, "answers").unwrap_or_default() {
                if get_str(word, "call") == Some("list") && get_str(word, "answer") != Some("ok") {
                    let count = get_u64(word, "count").unwrap_or(0);
                    let says = format!("the list was asked for {} in vain", many(count, "time", "times"));
                    self.put(name, "platform", says, true);
                }
            }
        }
    }

    /// Why workers take nothing.
    fn room(&mut self, name: &str, duty: &JsonValue) {
        let Some(workers) = get(duty, "workers") else {
            return self.put(name, "workers", "the platform has not told of its workers yet", true);
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
        let mut says =
            format!("{}, told {ago} ago; at most {most} MB free on one", many(count, "worker", "workers"));
        if !drains.is_empty() {
            says.push_str(&format!("; draining: {}", drains.join(" ")));
        }
        self.put(name, "workers", says, false);
    }

    /// Instances that do not count, and why.
    fn instances(&mut self, name: &str, of: &JsonValue, duty: &JsonValue) {
        let workers = get(duty, "workers").and_then(|w| get_list(w, "first")).unwrap_or_default();
        let drains = |worker: &str| {
            let found = workers.iter().find(|w| get_str(w, "name") == Some(worker));
            found.is_some_and(|w| get_bool(w, "draining") == Some(true))
        };
        for instance in get_list(of, "instances").unwrap_or_default() {
            let part = |key| get_str(instance, key).unwrap_or("-");
            let (id, worker) = (part("id"), part("worker"));
            let stop = get_str(instance, "stop").map_or(String::new(), |stop| format!(", its stop {stop}"));
            let since = seconds(get_u64(instance, "since_ms").unwrap_or(0));
            let says = match part("state") {
                "booting" => format!("{id} on {worker} boots, for {since}"),
                "draining" if drains(worker) => format!("{id} drains: its worker {worker} does{stop}"),
                "draining" => {
                    format!("{id} on {worker} drains: its owner let it go, or the list says so{stop}")
                }
                "doubted" => {
                    format!(
                        "{id} on {worker} is told as gone: its owner found it dead, or lists miss it or its worker"
                    )
                }
                "ended" => format!("{id} on {worker} is told as gone{stop}"),
                _ => continue,
            };
            self.put(name, "instance", says, false);
        }
    }
}

/// What an answer of the platform came to.
fn answer(of: &JsonValue) -> String {
    match (get_str(of, "answer"), get_u64(of, "status")) {
        (Some("no_room"), _) => "got 409: no room, or its worker drains or is down".to_owned(),
        (Some("busy"), _) => "got 429: more starts and stops than the platform bears".to_owned(),
        (Some("refused"), _) => "got another 4xx: not like this".to_owned(),
        (Some("unclear"), _) => "got no clear answer: it is called again".to_owned(),
        (Some(other), Some(status)) => format!("got {status}, {other}"),
        _ => "got no answer".to_owned(),
    }
}

/// Why it waits for its turn.
fn turn(duty: &JsonValue) -> String {
    let answers = get_list(duty, "answers").unwrap_or_default().iter();
    let busy = answers.filter(|word| get_str(word, "answer") == Some("busy"));
    let lately = busy.filter_map(|word| get_u64(word, "ms_ago")).min().filter(|ago| *ago < LATELY_MS);
    match lately {
        Some(ago) => {
            format!(
                "it waits for its turn: the platform answered 429 {} ago, and starts pause after that",
                seconds(ago)
            )
        }
        None => {
            "it waits for its turn: as many starts and stops as duty_per_s allows; or it was wanted just now"
                .to_owned()
        }
    }
}

/// Why the steward does not name a stall.
fn out_of(out: &str, stall: &JsonValue) -> (&'static str, String, bool) {
    let ago = seconds(get_u64(stall, "heard_ms_ago").unwrap_or(0));
    match out {
        "silent" => {
            ("silent", format!("the steward has not heard it for {ago}: its functions are others'"), true)
        }
        "leaves" => {
            ("leaves", "it says that it is about to end: its functions are others'".to_owned(), false)
        }
        "drained" => ("drained", "an operator took it out: see `drain status`".to_owned(), false),
        "deaf" => (
            "deaf",
            "two other stalls say that it does not answer them: its functions are others'".to_owned(),
            true,
        ),
        "unfed" => (
            "unfed",
            "its porter has no connection to the steward: its functions are others'".to_owned(),
            true,
        ),
        other => ("out", format!("the steward does not name it: {other}"), true),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn json(text: &str) -> JsonValue {
        text.parse().expect("JSON")
    }

    fn kinds(why: &Why) -> String {
        let word = |r: &Reason| if r.bad { format!("{}!", r.kind) } else { r.kind.to_owned() };
        why.0.iter().map(word).collect::<Vec<_>>().join(" ")
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
        gone = { r#""hold":"unwanted","configured":false"#, "not_configured unwanted has platform" },
    )]
    fn a_function_has_what_it_has_for_reasons(of: &str, expected: &str) {
        let mut why = Why::default();
        why.function(&json(&format!(r#"{{"name":"f",{of}}}"#)), &json(DUTY));
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
            // What comes later in the text counts.
            let said = Standing::read(&json(&text)).ok_or_else(|| "timed out".to_owned());
            crate::status::Machine { at: at.parse().expect("an address"), said }
        };
        Status::of(vec![machine(A, a), machine(B, b)])
    }

    #[yare::parameterized(
        newest = { "e-1", r#""followers_act_on":{"e-1":7}"#, r#""x":0"#, "newest named" },
        behind = { "e-1", r#""followers_act_on":{"e-1":6}"#, r#""x":0"#, "behind! fed_by named" },
        fed_by_one_behind = { "e-1", r#""revision":5,"followers_act_on":{"e-1":5}"#, r#""x":0"#,
            "behind! fed_by! named" },
        not_fed = { "e-2", r#""x":0"#, r#""x":0"#, "not_fed! unfed!" },
        unknown = { "e-3", r#""x":0"#, r#""x":0"#, "unknown!" },
        control = { A, r#""x":0"#, r#""x":0"#, "newest" },
        control_behind = { A, r#""revision":5,"others_heard_ms_ago":{"10.0.0.2:80":4000}"#, r#""x":0"#,
            "behind! unheard!" },
        control_copies = { A, r#""voting":false"#, r#""x":0"#, "newest no_vote!" },
    )]
    fn a_machine_is_behind_for_a_reason(name: &str, a: &str, b: &str, expected: &str) {
        let mut why = Why::default();
        why.machine(&status(a, b), &json(DUTY), name);
        assert_eq!(kinds(&why), expected, "{}", why.text());
    }

    #[yare::parameterized(
        one = { r#""is_steward":true,"fence":3,"steward":"10.0.0.1:80","lease":"steward""#, r#""lease":"asks""#,
            "holds" },
        asked_for = { r#""lease":"asks""#, r#""lease":"takes""#, "nobody! lease lease" },
        no_platform = { r#""lease":"no_platform""#, r#""lease":"no_platform""#, "nobody! lease! lease!" },
        old_version = { r#""x":0"#, r#""x":0"#, "nobody! lease lease" },
        no_majority = { r#""voting":false,"lease":"no_vote""#, r#""lease":"reads""#,
            "nobody! majority! lease! lease" },
        unheard = { r#""lease":"asks","others_heard_ms_ago":{"10.0.0.2:80":4000}"#, r#""lease":"asks""#,
            "nobody! lease unheard! lease" },
    )]
    fn nobody_is_the_steward_for_reasons(a: &str, b: &str, expected: &str) {
        let mut why = Why::default();
        why.steward(&status(a, b));
        assert_eq!(kinds(&why), expected, "{}", why.text());
        assert_eq!(why.is_well(), expected == "holds");
    }
}
