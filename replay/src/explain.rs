//! One request: where it was read, whom its stall asked, how each owner decided and why, each call and its end, and what its client was
//! told. Clients' tries have ids of their own: one id is one request of one stall.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use compact_str::CompactString;
use millpost_protocol::PeerMessage;
use millpost_scheduler::recording::Input;
use millpost_scheduler::{Action, Nanos, Outcome, Reason, TraceEvent};

use crate::clocks::Node;
use crate::errors::Error;
use crate::lines::{Entry, Which, Word};
use crate::play::{Event, Step as Played};
use crate::requests::{Next, told};
use crate::story::{Parts, Step, Story};
use crate::survey::Day;
use crate::words::because;

fn ms(nanos: Nanos) -> f64 {
    nanos as f64 / 1e6
}

/// A request that was found.
#[derive(Clone, Debug, Default)]
struct Found {
    /// Its number in its stall's life.
    p: Option<u64>,
    node: Node,
    at: Nanos,
    line: usize,
    /// The machine of its stall.
    machine: CompactString,
    asks: BTreeSet<u64>,
    turned: Option<u16>,
    route: CompactString,
    service: CompactString,
}

/// The story of each request with this id; none where there is none.
pub fn explain(
    path: &Path,
    which: &Which,
    id: &str,
    progress: Option<Box<dyn Fn(&'static str) -> Word>>,
) -> Result<(Day, Vec<Story>), Error> {
    let mut found: Vec<Found> = Vec::new();
    let mut machines: BTreeMap<Node, CompactString> = BTreeMap::new();
    let which = Which { node: None, ..which.clone() };
    let day = Day::survey(path, which, progress, |read, _| {
        let Entry::Coordinator(entry) = &read.entry else { return };
        let (node, at, line) = ((read.source, read.life), entry.at, read.line);
        match &entry.input {
            Input::New { me, .. } => {
                machines.insert(node, me.name.clone());
            }
            Input::TraceEvent(TraceEvent::Received { p, attempt, route, info: wish }) if *attempt == id => {
                found.push(Found {
                    p: Some(*p),
                    node,
                    at,
                    line,
                    machine: machines.get(&node).cloned().unwrap_or_default(),
                    route: route.clone(),
                    service: wish.service.clone(),
                    ..Found::default()
                })
            }
            Input::TraceEvent(TraceEvent::Rejected { attempt, status }) if *attempt == id => {
                found.push(Found { node, at, line, turned: Some(*status), ..Found::default() });
            }
            Input::RequestPermit { id: Some(ask), of: Some(p), .. } => {
                if let Some(one) = found.iter_mut().find(|f| f.node == node && f.p == Some(*p)) {
                    one.asks.insert(*ask);
                }
            }
            _ => {}
        }
    })?;
    let mut steps: Vec<Vec<Step>> = vec![Vec::new(); found.len()];
    if found.iter().any(|f| f.p.is_some()) {
        day.play(true, |event| {
            if let Event::Coordinator(step) = event {
                for (one, steps) in found.iter().zip(&mut steps) {
                    see(one, &step, steps);
                }
            }
            Ok(())
        })?;
    }
    let stories = found.into_iter().zip(steps).map(|(one, steps)| story(&day, id, one, steps)).collect();
    Ok((day, stories))
}

fn story(day: &Day, id: &str, one: Found, mut steps: Vec<Step>) -> Story {
    let clocks = day.clocks.align(one.node, &day.sources);
    let mut missing = day.missing.clone();
    let mut facts = Parts::new();
    if let Some(status) = one.turned {
        let say = format!(
            "answered {status} at once: it makes no sense, has no route, or nothing is known here yet"
        );
        let parts = vec![("status", u64::from(status).into())];
        steps.push(Step { node: one.node, at: one.at, line: one.line, kind: "turned", say, parts });
    } else {
        facts = vec![("route", (&one.route).into()), ("function", (&one.service).into())];
        if !steps.iter().any(|step| step.node == one.node && ["answered", "left"].contains(&step.kind)) {
            missing.push("the recording does not hold its answer".to_owned());
        }
        let asked: BTreeSet<&str> =
            steps.iter().filter(|s| s.kind == "asks").filter_map(|s| owner_of(s)).collect();
        for owner in asked {
            let machine = |node: Node| day.sources.get(node.0).is_some_and(|s| s.machine() == owner);
            if !steps.iter().any(|step| machine(step.node)) {
                missing.push(format!("what {owner} decided is not in the recording"));
            }
        }
    }
    let ends = ends(&one, &steps);
    Story {
        of: "request",
        name: id.to_owned(),
        facts,
        steps,
        ends,
        zero: clocks.of(one.node).at(one.at),
        clocks,
        missing,
        well: true,
    }
}

fn owner_of(step: &Step) -> Option<&str> {
    step.parts.iter().find_map(|(key, part)| match part {
        crate::story::Part::Text(owner) if *key == "owner" => Some(owner.as_str()),
        _ => None,
    })
}

/// How long it took, and for what.
fn ends(one: &Found, steps: &[Step]) -> Vec<String> {
    let mine = || steps.iter().filter(|step| step.node == one.node);
    let over = mine().find(|step| ["answered", "left"].contains(&step.kind));
    let calls = mine().filter(|step| step.kind == "call").count();
    let asks = mine().filter(|step| step.kind == "asks").count();
    let Some(over) = over else { return Vec::new() };
    let took = ms(over.at.saturating_sub(one.at));
    vec![format!("over after {took:.3} ms, with {asks} asks and {calls} calls")]
}

/// What a step of the play says of the request.
fn see(one: &Found, step: &Played<'_>, steps: &mut Vec<Step>) {
    let mut put = |at: Nanos, kind: &'static str, say: String, parts: Parts| {
        steps.push(Step { node: step.node, at, line: step.line, kind, say, parts });
    };
    if step.node == one.node {
        asker(one, step, &mut put);
    }
    owner(one, step, &mut put);
}

type Put<'a> = dyn FnMut(Nanos, &'static str, String, Parts) + 'a;

/// What its own stall does.
fn asker(one: &Found, step: &Played<'_>, put: &mut Put<'_>) {
    let mine = |ask: u64| one.asks.contains(&step.numbers.recorded(ask));
    let of = step.trail.and_then(TraceEvent::of).filter(|p| Some(*p) == one.p);
    if let Input::RequestPermit { of: Some(p), ask, id, .. } = step.input
        && Some(*p) == one.p
    {
        let avoid = if ask.avoid.is_empty() {
            String::new()
        } else {
            format!(", not at {} if it can be", ask.avoid.join(", "))
        };
        let number = id.map_or("too many asks are open".to_owned(), |id| format!("ask {id}"));
        let try_ = if ask.attempts_sent == 0 {
            "a first try".to_owned()
        } else {
            format!("a further try after {}", ask.attempts_sent)
        };
        let say = format!("wants a permit for {}: {number}, {try_}{avoid}", ask.service);
        put(
            step.at,
            "wants",
            say,
            vec![("ask", id.unwrap_or(0).into()), ("sent", u64::from(ask.attempts_sent).into())],
        );
    }
    if let (Some(_), Some(trail)) = (of, step.trail) {
        trails(step.at, trail, put);
    }
    for out in step.outs {
        match out {
            Action::Send { to, note: PeerMessage::RequestPermit { id, .. } } if mine(*id) => {
                let owner = step.desk.owners().peers().iter().find(|p| p.address == *to);
                let owner = owner.map_or(to.as_str(), |p| p.name.as_str());
                let again = if matches!(step.input, Input::RequestPermit { .. }) { "" } else { " (again)" };
                put(
                    step.at,
                    "asks",
                    format!("asks {owner}, who owns it{again}"),
                    vec![("owner", owner.into())],
                );
            }
            Action::Granted { ask, instance, address } if mine(*ask) => {
                let say = format!("has its permit: {instance} at {address}");
                put(step.at, "granted", say, vec![("instance", instance.into())]);
            }
            Action::Refused { ask, reason: no } if mine(*ask) => {
                put(
                    step.at,
                    "refused",
                    format!("is refused: {}", no.as_str()),
                    vec![("why", no.as_str().into())],
                );
            }
            _ => {}
        }
    }
    if let Input::PeerMessages { from, messages: notes, .. } = step.input {
        for note in notes {
            match note {
                PeerMessage::Queued { id } if mine(*id) => {
                    put(
                        step.at,
                        "waits",
                        format!("hears from {from} that it waits there"),
                        vec![("owner", from.into())],
                    );
                }
                PeerMessage::Grant { id, .. }
                    if mine(*id)
                        && !step
                            .outs
                            .iter()
                            .any(|out| matches!(out, Action::Granted { ask, .. } if ask == id)) =>
                {
                    put(
                        step.at,
                        "of no use",
                        format!("has no use any more for a grant of {from}"),
                        vec![("owner", from.into())],
                    );
                }
                _ => {}
            }
        }
    }
    if let (Some(next), true) =
        (step.next, of.is_some() || matches!(step.input, Input::RequestPermit { of, .. } if *of == one.p))
    {
        match next {
            Next::RequestPermit(..) | Next::ResolveRoute => {}
            Next::Wait(at) => {
                let wait = ms(at.saturating_sub(step.at));
                let say = format!("goes again after {wait:.3} ms, at its next doubled time");
                put(step.at, "again", say, vec![("wait_ms", wait.into())]);
            }
            Next::Respond(result) => {
                let status = match result {
                    Ok(status) => *status,
                    Err(refusal) => refusal.answer().0,
                };
                put(step.at, "answered", told(result), vec![("status", u64::from(status).into())]);
            }
        }
    }
}

fn trails(at: Nanos, trail: &TraceEvent, put: &mut Put<'_>) {
    match trail {
        TraceEvent::Received { info: wish, .. } => {
            let left = ms(wish.deadline.saturating_sub(wish.received_at));
            let kind = if wish.repeatable { "may run more than once" } else { "may run once" };
            let back =
                if wish.returned { ", has been here before or was made by a running request" } else { "" };
            let say = format!(
                "read: {kind}, {} endpoints at most, {left:.1} ms left, {:.0} ms aimed at{back}",
                wish.max_attempts,
                ms(wish.target)
            );
            put(at, "read", say, vec![("left_ms", left.into()), ("aim_ms", ms(wish.target).into())]);
        }
        TraceEvent::Ended { begun, instance, outcome, sent, status, .. } => {
            let answer = status.map_or(String::new(), |status| format!(" {status}"));
            let may = match outcome {
                Outcome::Answered | Outcome::Failed => "it has run",
                outcome if outcome.proves_not_run() => "it has not run",
                _ => "it may have run",
            };
            let sent = if *sent { "" } else { ", nothing was sent" };
            put(*begun, "calls", format!("calls {instance}"), vec![("instance", instance.into())]);
            let took = ms(at.saturating_sub(*begun));
            let say = format!(
                "call to {instance} ends after {took:.3} ms: {}{answer} ({may}{sent})",
                outcome.as_str()
            );
            let mut parts: Parts = vec![
                ("instance", instance.into()),
                ("outcome", outcome.as_str().into()),
                ("begun", (*begun).into()),
            ];
            parts.extend(status.map(|status| ("status", u64::from(status).into())));
            put(at, "call", say, parts);
        }
        TraceEvent::Moved { to, .. } => {
            let say = match to {
                Some(to) => format!("what it was for is gone: its route leads to {to}"),
                None => "what it was for is gone, and so is its route".to_owned(),
            };
            put(at, "moved", say, to.iter().map(|to| ("to", to.into())).collect());
        }
        TraceEvent::DeadlinePassed { .. } => {
            put(at, "late", "its time ends before word of its ask".to_owned(), Parts::new())
        }
        TraceEvent::ClientLeft { .. } => {
            put(at, "left", "its client left before it was answered".to_owned(), Parts::new())
        }
        TraceEvent::Denied { .. } | TraceEvent::Rejected { .. } | TraceEvent::ConfigInForce { .. } => {}
    }
}

/// What an owner does, which may be its own stall.
fn owner(one: &Found, step: &Played<'_>, put: &mut Put<'_>) {
    let here = step.node == one.node;
    let of_it = |who: &str, ask: u64| {
        who == one.machine && one.asks.contains(&if here { step.numbers.recorded(ask) } else { ask })
    };
    if let Input::PeerMessages { from, messages: notes, .. } = step.input {
        for note in notes {
            match note {
                PeerMessage::RequestPermit { id, left, .. } if of_it(from, *id) => {
                    put(
                        step.at,
                        "came",
                        format!("ask {id} comes, {left:.1} ms left"),
                        vec![("ask", (*id).into())],
                    );
                }
                PeerMessage::HeldPermit { id, instance, .. } if of_it(from, *id) => {
                    let say = format!("hears that permit {id} is out at {instance}, of an owner before");
                    put(step.at, "held", say, vec![("instance", instance.into())]);
                }
                PeerMessage::ReleasePermit { id, outcome, took } if of_it(from, *id) => {
                    let say = format!("has the slot of ask {id} back: {outcome} after {took:.1} ms");
                    put(step.at, "back", say, vec![("outcome", outcome.into())]);
                }
                PeerMessage::CancelRequest { id } if of_it(from, *id) => {
                    put(step.at, "dropped", format!("hears that ask {id} is wanted no longer"), Parts::new());
                }
                _ => {}
            }
        }
    }
    for reason in step.reasons {
        if let Reason::Request { who, ask, why } = reason
            && of_it(who, *ask)
        {
            let (kind, say, parts) = because(why);
            put(step.at, kind, say, parts);
        }
    }
}
