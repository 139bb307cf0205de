//! One instance: why it was started and by whom, who had it, what was sent there, why it was stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use compact_str::CompactString;
use millpost_autoscaler::recording::{Input, start_fault_name, state_name, stop_fault_name};
use millpost_autoscaler::{Effect, State};
use millpost_protocol::PeerMessage;
use millpost_scheduler::recording::Input as DeskInput;
use millpost_scheduler::{Action, Reason, RequestDecision, SECOND, TraceEvent};

use crate::clocks::{Alignment, Node};
use crate::errors::Error;
use crate::lines::{Entry, Which, Word};
use crate::play::{Event, Step as Played, Turn};
use crate::story::{Parts, Step, Story};
use crate::survey::Day;
use crate::words;

/// What was wanted so long before a start may be why it was called.
const BEFORE: i64 = 10 * SECOND as i64;

/// What is known of it before the day is played.
#[derive(Debug, Default)]
struct Known {
    service: Option<CompactString>,
    /// The nonces of its starts.
    nonces: BTreeSet<CompactString>,
}

impl Known {
    fn note(&mut self, id: &str, note: &PeerMessage) {
        if let PeerMessage::Instances { set, .. } = note
            && let Some(instance) = set.iter().find(|instance| instance.id == id)
        {
            self.service.get_or_insert_with(|| instance.service.clone());
        }
    }

    fn see(&mut self, id: &str, entry: &Entry) {
        match entry {
            Entry::Scaler(entry) => match &entry.input {
                Input::Started { nonce, answer: Ok((of, _)) } if of == id => {
                    self.nonces.insert(nonce.clone());
                }
                Input::Listed { entries, .. } => {
                    if let Some(of) = entries.iter().find(|of| of.id == id) {
                        self.service.get_or_insert_with(|| of.service.clone());
                    }
                }
                _ => {}
            },
            Entry::Coordinator(entry) => {
                if let DeskInput::ControllerMessage(note) = &entry.input {
                    self.note(id, note);
                }
            }
            Entry::Round(_) => {}
        }
    }
}

/// Calls to it that ended, by stall and outcome; and permits, by owner.
#[derive(Debug, Default)]
struct Use {
    calls: BTreeMap<Node, BTreeMap<&'static str, usize>>,
    permits: BTreeMap<Node, usize>,
}

/// The story of an instance.
pub fn instance(
    path: &Path,
    which: &Which,
    id: &str,
    progress: Option<Box<dyn Fn(&'static str) -> Word>>,
) -> Result<(Day, Story), Error> {
    let mut known = Known::default();
    let day = Day::survey(path, which.clone(), progress, |read, _| known.see(id, &read.entry))?;
    let (mut steps, mut wants, mut used) = (Vec::new(), Vec::new(), Use::default());
    day.play(true, |event| {
        match event {
            Event::Scaler(turn) => scaler(id, &mut known, &turn, &mut steps),
            Event::Coordinator(step) => {
                desk(id, &step, &mut steps, &mut used);
                want(&known, &step, &mut wants);
            }
            _ => {}
        }
        Ok(())
    })?;
    Ok(story(day, id, known, steps, wants, &used))
}

/// Why an instance is told of as it is from here on, by what came in.
fn cause(input: &Input, id: &str) -> &'static str {
    match input {
        Input::Retire(of) if of == id => "its owner needs it no longer",
        Input::Lost(of) if of == id => "its owner found it dead",
        Input::Configure(_) => "its function is not in the configuration any more",
        Input::Workers { .. } => "its worker drains, or is gone",
        Input::Listed { .. } => "the list says so, or does not show it any more",
        Input::Inherit(_) => "the steward before had let it go, or another has its address",
        Input::Started { .. } => "another has its address",
        Input::Tick => "its stop is due, or nobody speaks for its function",
        _ => "",
    }
}

fn scaler(id: &str, known: &mut Known, turn: &Turn<'_>, steps: &mut Vec<Step>) {
    let mut put = |kind: &'static str, say: String, parts: Parts| {
        steps.push(Step { node: turn.node, at: turn.at, line: turn.line, kind, say, parts });
    };
    match turn.input {
        Input::Started { nonce, answer } if known.nonces.contains(nonce) => match answer {
            Ok((_, address)) => {
                put("started", format!("start {nonce} is answered: {id} at {address}"), Parts::new())
            }
            Err(fault) => {
                let say = format!("start {nonce} is answered: {}", start_fault_name(*fault));
                put("not started", say, vec![("why", start_fault_name(*fault).into())]);
            }
        },
        Input::Stopped { id: of, answer } if of == id => {
            let word = answer.map_or_else(stop_fault_name, |()| "done");
            put("stopped", format!("its stop is answered: {word}"), vec![("answer", word.into())]);
        }
        Input::Retire(of) if of == id => {
            put("retired", "hears that its owner needs it no longer".into(), Parts::new())
        }
        Input::Lost(of) if of == id => put("lost", "hears that its owner found it dead".into(), Parts::new()),
        Input::Up(of) if of == id => put("up", "hears that it accepts connections".into(), Parts::new()),
        Input::Inherit(all) if all.iter().any(|of| of.id == id) => {
            put("inherited", "hears of it from its owner".into(), Parts::new());
        }
        _ => {}
    }
    for out in turn.outs {
        match out {
            Effect::Start { service, worker, nonce } if known.nonces.contains(nonce) => {
                known.service.get_or_insert_with(|| service.clone());
                let say = format!("calls start {nonce} of {service} on {worker}");
                put("start", say, vec![("worker", worker.into()), ("nonce", nonce.into())]);
            }
            Effect::Updated { instance } if instance.id == id => {
                let why = cause(turn.input, id);
                let why =
                    if instance.state == State::Draining { format!(", since {why}") } else { String::new() };
                let (state, worker) = (state_name(instance.state), &instance.worker);
                let say = format!("tells of it: {state} on {worker} in {}{why}", instance.zone);
                put("told", say, vec![("state", state.into()), ("worker", worker.into())]);
            }
            Effect::Removed { id: of, .. } if of == id => {
                put("gone", format!("tells that it is gone: {}", cause(turn.input, id)), Parts::new());
            }
            Effect::Stop { id: of } if of == id => put("stop", "calls its stop".into(), Parts::new()),
            _ => {}
        }
    }
}

fn desk(id: &str, step: &Played<'_>, steps: &mut Vec<Step>, used: &mut Use) {
    let mut put = |kind: &'static str, say: String, parts: Parts| {
        steps.push(Step { node: step.node, at: step.at, line: step.line, kind, say, parts });
    };
    if let DeskInput::ControllerMessage(PeerMessage::Instances { set, gone, .. }) = step.input {
        if let Some(instance) = set.iter().find(|instance| instance.id == id) {
            let state = ["booting", "ready", "draining"][usize::from(instance.stage.min(2))];
            put("hears", format!("hears of it: {state}"), vec![("state", state.into())]);
        } else if gone.iter().any(|of| of == id) {
            put("hears", "hears that it is gone".into(), vec![("state", "gone".into())]);
        }
    }
    if matches!(step.input, DeskInput::InstanceUp(of) if of == id) {
        put("seen", "sees it accept connections".into(), Parts::new());
    }
    for reason in step.reasons {
        match reason {
            Reason::SurplusInstance { instance, need, live } if instance == id => {
                let say = words::spare("it", *need, *live);
                put("spare", say, vec![("need", u64::from(*need).into()), ("live", (*live as u64).into())]);
            }
            Reason::DeadInstance { instance, failing } if instance == id => {
                put("dead", words::dead("it", *failing), Parts::new());
            }
            Reason::Request { why: RequestDecision::Granted { instance, .. }, .. } if instance == id => {
                *used.permits.entry(step.node).or_default() += 1;
            }
            _ => {}
        }
    }
    for out in step.outs {
        match out {
            Action::ProbeReadiness { instance, .. } if instance.id == id => {
                put("scouts", "is to find out when it accepts connections".into(), Parts::new());
            }
            Action::NotifyController(PeerMessage::RetireInstance { instance }) if instance == id => {
                put("says", "says that it may be stopped".into(), Parts::new());
            }
            Action::NotifyController(PeerMessage::InstanceDown { instance }) if instance == id => {
                put("says", "says that it is dead".into(), Parts::new());
            }
            _ => {}
        }
    }
    if let Some(TraceEvent::Ended { instance, outcome, .. }) = step.trail
        && instance == id
    {
        *used.calls.entry(step.node).or_default().entry(outcome.as_str()).or_default() += 1;
    }
}

/// What its function's owners want, while that may be why it is started.
fn want(known: &Known, step: &Played<'_>, wants: &mut Vec<Step>) {
    for reason in step.reasons {
        if let Reason::InstanceTarget { service, need, live, held, queued, wait } = reason
            && known.service.as_ref().is_none_or(|of| of == service)
        {
            let say = words::want(service, *need, *live, *held, *queued, *wait);
            let parts = vec![
                ("service", service.into()),
                ("need", u64::from(*need).into()),
                ("live", (*live as u64).into()),
                ("queued", (*queued as u64).into()),
            ];
            wants.push(Step { node: step.node, at: step.at, line: step.line, kind: "wants", say, parts });
        }
    }
}

/// The last want of each owner before the first start.
fn why(steps: &[Step], wants: Vec<Step>, clocks: &Alignment, service: Option<&CompactString>) -> Vec<Step> {
    let at = |step: &Step| clocks.of(step.node).at(step.at);
    let Some(start) = steps.iter().filter(|step| step.kind == "start").map(at).min() else {
        return Vec::new();
    };
    let of = |step: &Step| {
        step.parts
            .iter()
            .any(|(key, part)| *key == "service" && Some(part) == service.map(Into::into).as_ref())
    };
    let mut last: BTreeMap<Node, Step> = BTreeMap::new();
    for want in wants.into_iter().filter(|want| of(want) && (start - BEFORE..=start).contains(&at(want))) {
        match last.get(&want.node) {
            Some(known) if at(known) > at(&want) => {}
            _ => drop(last.insert(want.node, want)),
        }
    }
    last.into_values().collect()
}

fn story(
    day: Day,
    id: &str,
    known: Known,
    mut steps: Vec<Step>,
    wants: Vec<Step>,
    used: &Use,
) -> (Day, Story) {
    let first = steps.iter().find(|step| step.kind == "start").or(steps.first());
    let to = first.map_or((0, 0), |step| step.node);
    let clocks = day.clocks.align(to, &day.sources);
    let why = why(&steps, wants, &clocks, known.service.as_ref());
    steps.extend(why);
    let at = |step: &Step| clocks.of(step.node).at(step.at);
    let zero = steps.iter().map(at).min().unwrap_or(0);
    let of = |node: &Node| day.sources.get(node.0).map_or("", |s| s.of.as_str());
    let mut ends = Vec::new();
    for (node, count) in &used.permits {
        ends.push(format!("{} gave {count} permits for it", of(node)));
    }
    for (node, calls) in &used.calls {
        let calls: Vec<_> = calls.iter().map(|(word, count)| format!("{word} {count}")).collect();
        ends.push(format!("calls of {}: {}", of(node), calls.join(", ")));
    }
    let time = |kind: &str| steps.iter().filter(|step| step.kind == kind).map(at).min();
    for (from, to, what) in [
        ("start", "seen", "from the start to the first connection"),
        ("seen", "stop", "from there to its stop"),
    ] {
        if let (Some(from), Some(to)) = (time(from), time(to)) {
            ends.push(format!("{what}: {:.1} ms", (to - from) as f64 / 1e6));
        }
    }
    let well = !steps.is_empty();
    if !well {
        ends.push("nobody has heard of it".to_owned());
    }
    let mut facts = Parts::new();
    facts.extend(known.service.as_ref().map(|service| ("function", service.into())));
    let (name, missing) = (id.to_owned(), day.missing.clone());
    (day, Story { of: "instance", name, facts, steps, ends, clocks, zero, missing, well })
}
