//! One configuration: which porter had it when and from whom, which stall acted on it when, and who never did.

use std::collections::BTreeMap;
use std::path::Path;

use millpost_agent::Input as RoundInput;
use millpost_net::messaging;
use millpost_protocol::PeerMessage;
use millpost_scheduler::TraceEvent;
use tinyjson::JsonValue;

use crate::clocks::Node;
use crate::errors::Error;
use crate::lines::{Which, Word};
use crate::play::{Event, Pass};
use crate::story::{Parts, Step, Story};
use crate::survey::Day;

/// What a life has of it.
#[derive(Default)]
struct Has {
    /// The newest revision that it has, or acts on.
    newest: u64,
    had: bool,
    /// The last time that it was heard of.
    last: u64,
}

/// How a line brings a revision: whole, or as a change.
fn brought(line: &[u8], revision: u64) -> Option<&'static str> {
    let JsonValue::Object(parts) = messaging::json(line)? else { return None };
    let JsonValue::Array(notes) = parts.get("notes")? else { return None };
    notes.iter().find_map(|note| match PeerMessage::read(note).ok()? {
        PeerMessage::Config { revision: r, .. } | PeerMessage::PackedConfig { revision: r, .. }
            if r == revision =>
        {
            Some("whole")
        }
        PeerMessage::Patch { revision: r, .. } | PeerMessage::PackedPatch { revision: r, .. }
            if r == revision =>
        {
            Some("as a change")
        }
        _ => None,
    })
}

/// The story of a revision.
pub fn version(
    path: &Path,
    which: &Which,
    revision: u64,
    progress: Option<Box<dyn Fn(&'static str) -> Word>>,
) -> Result<(Day, Story), Error> {
    let day = Day::survey(path, which.clone(), progress, |_, _| {})?;
    let mut steps = Vec::new();
    let (mut porters, mut stalls) = (BTreeMap::<Node, Has>::new(), BTreeMap::<Node, Has>::new());
    day.play(false, |event| {
        match event {
            Event::Round(pass) => porter(&pass, revision, porters.entry(pass.node).or_default(), &mut steps),
            Event::Coordinator(step) => {
                let has = stalls.entry(step.node).or_default();
                has.last = step.at;
                if let Some(TraceEvent::ConfigInForce { revision: now }) = step.trail {
                    let say = acts(has, *now, revision);
                    if let Some((kind, say)) = say {
                        let parts = vec![("revision", (*now).into())];
                        let (node, at, line) = (step.node, step.at, step.line);
                        steps.push(Step { node, at, line, kind, say, parts });
                    }
                }
            }
            _ => {}
        }
        Ok(())
    })?;
    Ok(story(day, revision, steps, &porters, &stalls))
}

fn acts(has: &mut Has, now: u64, revision: u64) -> Option<(&'static str, String)> {
    let before = std::mem::replace(&mut has.newest, now);
    if now == revision {
        has.had = true;
        return Some(("acts", format!("acts on it, before that on {before}")));
    }
    if before < revision && now > revision {
        return Some(("passed over", format!("acts on {now}, and never on it")));
    }
    (before == revision).then(|| ("next", format!("acts on {now} from here on")))
}

fn porter(pass: &Pass<'_>, revision: u64, has: &mut Has, steps: &mut Vec<Step>) {
    let now = pass.round.latest().revision();
    let before = std::mem::replace(&mut has.newest, now);
    has.last = pass.at;
    if now == before {
        return;
    }
    let (kind, say) = if now == revision {
        has.had = true;
        let (how, from) = match pass.input {
            RoundInput::FeedLine { feed, line } => {
                let from = pass.round.feeds().address(*feed).map(|a| format!(" from {a}"));
                (brought(line, revision).unwrap_or_default(), from.unwrap_or_default())
            }
            _ => ("", String::new()),
        };
        ("has", format!("has it {how}{from}, before that {before}"))
    } else if before < revision && now > revision {
        ("passed over", format!("has {now}, and never had it"))
    } else if before == revision {
        ("next", format!("has {now} from here on"))
    } else {
        return;
    };
    let parts = vec![("revision", now.into())];
    steps.push(Step { node: pass.node, at: pass.at, line: pass.line, kind, say, parts });
}

fn story(
    day: Day,
    revision: u64,
    steps: Vec<Step>,
    porters: &BTreeMap<Node, Has>,
    stalls: &BTreeMap<Node, Has>,
) -> (Day, Story) {
    let to = steps.first().map_or((0, 0), |step| step.node);
    let clocks = day.clocks.align(to, &day.sources);
    let at = |step: &Step| clocks.of(step.node).at(step.at);
    let when = |kind: &str| -> Vec<i64> {
        let mut all: Vec<_> = steps.iter().filter(|step| step.kind == kind).map(at).collect();
        all.sort_unstable();
        all
    };
    let zero = steps.iter().map(at).min().unwrap_or(0);
    let mut ends = Vec::new();
    for (kind, who, what, all) in
        [("has", "porters", "had it", porters), ("acts", "stalls", "acted on it", stalls)]
    {
        let times = when(kind);
        let (Some(first), Some(last)) = (times.first(), times.last()) else { continue };
        let ms = |at: i64| (at - zero) as f64 / 1e6;
        let had = all.values().filter(|has| has.had).count();
        ends.push(format!(
            "{had} of {} lives of {who} {what}, the first after {:.3} ms, the last after {:.3} ms",
            all.len(),
            ms(*first),
            ms(*last),
        ));
        // Those that lived on beyond the first and never had it.
        for (node, has) in all.iter().filter(|(_, has)| !has.had) {
            if clocks.of(*node).at(has.last) > *first {
                let of = day.sources.get(node.0).map_or("", |s| s.of.as_str());
                ends.push(format!("never: {of}, life {}, whose newest was {}", node.1 + 1, has.newest));
            }
        }
    }
    if steps.is_empty() {
        ends.push("nobody had it".to_owned());
    }
    let (name, facts, missing) = (revision.to_string(), Parts::new(), day.missing.clone());
    let well = !steps.is_empty();
    (day, Story { of: "version", name, facts, steps, ends, clocks, zero, missing, well })
}
