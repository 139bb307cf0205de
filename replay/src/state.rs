//! How a machine stands, by names: for people, and to see what an input has changed.

use std::collections::BTreeMap;
use std::fmt::Write;

use millpost_agent::Agent;
use millpost_autoscaler::Scaler;
use millpost_scheduler::{Coordinator, Nanos, Stage};

/// Functions of a scaler that are shown.
const MOST: usize = 100_000;

/// Values by names.
pub type State = BTreeMap<String, String>;

/// What an input has changed: before and after, by name. What was not there is empty.
pub fn changed(before: &State, after: &State) -> Vec<(String, String, String)> {
    let names: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let value = |of: &State, name: &str| of.get(name).cloned().unwrap_or_default();
    let all = names.into_iter().map(|name| (name.clone(), value(before, name), value(after, name)));
    all.filter(|(_, before, after)| before != after).collect()
}

/// How many wait, and the instances: how far each is, and how many permits are out there.
type Function<'a> = (usize, BTreeMap<&'a str, (Stage, usize)>);

fn counts(service: Option<&str>, of: &str) -> bool {
    service.is_none_or(|one| one == of)
}

/// A desk; of one function, or of all that anything is known of.
pub fn desk(desk: &Coordinator, service: Option<&str>) -> State {
    let (broker, owners) = (desk.scheduler(), desk.owners());
    let mut state = State::new();
    let peers: Vec<_> = owners.peers().iter().map(|p| p.name.as_str()).collect();
    let (fence, count) = owners.version();
    state.insert("stalls".to_owned(), format!("{fence}.{count}: {}", peers.join(" ")));
    state.insert("asks open".to_owned(), desk.open_request_count().to_string());
    let mut functions: BTreeMap<&str, Function<'_>> = BTreeMap::new();
    for (name, queued) in broker.queues().filter(|(name, queued)| *queued > 0 && counts(service, name)) {
        functions.entry(name).or_default().0 = queued;
    }
    for instance in broker.instances().filter(|i| counts(service, &i.service)) {
        let of = functions.entry(instance.service.as_str()).or_default();
        of.1.insert(&instance.id, (instance.stage, 0));
    }
    for (.., name, id) in broker.permits() {
        if let Some((_, out)) = functions.get_mut(name).and_then(|of| of.1.get_mut(id)) {
            *out += 1;
        }
    }
    for (name, (queued, instances)) in functions {
        let mut text = format!("{queued} wait");
        for (id, (stage, out)) in instances {
            let stage = match stage {
                Stage::Booting => "booting",
                Stage::Ready => "ready",
                Stage::Draining => "draining",
            };
            let _ = write!(text, "; {id} {stage}, {out} out");
        }
        state.insert(format!("function {name}"), text);
    }
    state
}

/// A scaler.
pub fn scaler(scaler: &Scaler, now: Nanos, service: Option<&str>) -> State {
    let mut state = State::new();
    let all = match service {
        Some(name) => scaler.function(now, name).into_iter().collect(),
        None => scaler.functions(now, None, MOST),
    };
    for of in all {
        let wanted = of.wanted.map_or("-".to_owned(), |(count, _)| count.to_string());
        let instances = scaler.instances(now, &of.name);
        if wanted == "-" && instances.is_empty() && of.starting == 0 {
            continue;
        }
        let mut text = format!("{wanted} wanted, {} starting, {}", of.starting, of.hold.as_str());
        for one in instances {
            let stop = one.stop.map_or(String::new(), |stop| format!(", stop {stop}"));
            let _ = write!(text, "; {} {} on {}{stop}", one.id, one.state, one.worker);
        }
        state.insert(format!("function {}", of.name), text);
    }
    state
}

/// A porter's round.
pub fn round(round: &Agent) -> State {
    let (follow, newest) = (round.feeds(), round.latest());
    let ((stalls, stalls_count), (instances, instances_count)) = newest.versions();
    let feeds: Vec<_> = follow.feeds().map(|(feed, address, _)| format!("{feed} from {address}")).collect();
    let steward =
        follow.leader().map_or("-".to_owned(), |(fence, address)| format!("{address}, fence {fence}"));
    State::from([
        ("feeds".to_owned(), feeds.join("; ")),
        ("steward".to_owned(), steward),
        ("configuration".to_owned(), newest.revision().to_string()),
        ("stall acts on".to_owned(), round.proxy_revision().to_string()),
        ("stalls".to_owned(), format!("{stalls}.{stalls_count}")),
        ("instances".to_owned(), format!("{instances}.{instances_count}: {}", newest.instances())),
    ])
}
