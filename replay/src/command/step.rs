//! Inputs one by one, from where a condition holds: how the machine stands before and after each, what came of it, and why.

use std::io::Write;

use millpost_protocol::line::{Line, part};
use millpost_replay::play::Event;
use millpost_replay::state::{self, State, changed};
use millpost_replay::until::{Until, texts};
use millpost_replay::{Error, words};
use millpost_scheduler::SECOND;

use super::output;

/// The longest input that is shown whole.
const LONG: usize = 2_000;

/// What is to be shown.
pub struct Steps {
    until: Until,
    left: usize,
    begun: bool,
    service: Option<String>,
    json: bool,
}

/// One input, as it is shown.
struct Shown {
    life: usize,
    line: usize,
    at: u64,
    before: State,
    after: State,
    why: Vec<String>,
}

impl Steps {
    /// So many from where the condition holds on.
    pub fn new(until: Until, steps: usize, service: Option<String>, json: bool) -> Self {
        Steps { until, left: steps.max(1), begun: false, service, json }
    }

    /// Shows what happens, if it is time to; and ends the play after the last one.
    pub fn see(&mut self, event: &Event<'_>, breaches: usize, out: &mut impl Write) -> Result<(), Error> {
        self.begun |= self.until.holds(event, breaches);
        if !self.begun {
            return Ok(());
        }
        let Some(shown) = self.shown(event) else { return Ok(()) };
        let text = if self.json { json(event, &shown) } else { text(event, &shown) };
        writeln!(out, "{text}").map_err(output)?;
        self.left -= 1;
        if self.left == 0 { Err(Error::Enough) } else { Ok(()) }
    }

    fn shown(&self, event: &Event<'_>) -> Option<Shown> {
        let service = self.service.as_deref();
        Some(match event {
            Event::Begins { .. } => return None,
            Event::Coordinator(step) => Shown {
                life: step.life,
                line: step.line,
                at: step.at,
                before: step.before.map(|desk| state::desk(desk, service)).unwrap_or_default(),
                after: state::desk(step.desk, service),
                why: step.reasons.iter().map(words::reason).collect(),
            },
            Event::Scaler(turn) => Shown {
                life: turn.life,
                line: turn.line,
                at: turn.at,
                before: turn.before.map(|s| state::scaler(s, turn.at, service)).unwrap_or_default(),
                after: state::scaler(turn.scaler, turn.at, service),
                why: Vec::new(),
            },
            Event::Round(pass) => Shown {
                life: pass.life,
                line: pass.line,
                at: pass.at,
                before: pass.before.map(state::round).unwrap_or_default(),
                after: state::round(pass.round),
                why: Vec::new(),
            },
        })
    }
}

fn text(event: &Event<'_>, of: &Shown) -> String {
    let texts = texts(event);
    let at = of.at as f64 / SECOND as f64;
    let mut input: String = texts.input.chars().take(LONG).collect();
    if input.len() < texts.input.len() {
        input.push_str(" ...");
    }
    let mut text = format!("life {}, line {}, {at:.6} s\ninput\n  {input}\nstate before\n", of.life, of.line);
    let changes = changed(&of.before, &of.after);
    let changes_of = |name: &str| changes.iter().any(|(changed, ..)| changed == name);
    let mut put = |heading: Option<&str>, sign: char, all: &State| {
        if let Some(heading) = heading {
            text.push_str(heading);
        }
        for (name, value) in all {
            let sign = if changes_of(name) { sign } else { ' ' };
            text.push_str(&format!("{sign} {name:<24} {value}\n"));
        }
    };
    put(None, '-', &of.before);
    put(Some("state after\n"), '+', &of.after);
    for (heading, all) in [("outputs", &texts.outs), ("why", &of.why)] {
        if !all.is_empty() {
            text.push_str(&format!("{heading}\n"));
            all.iter().for_each(|one| text.push_str(&format!("  {one}\n")));
        }
    }
    text
}

fn json(event: &Event<'_>, of: &Shown) -> String {
    let texts = texts(event);
    let mut line = Line::new();
    line.whole("life", of.life as u64).whole("line", of.line as u64).time("at", of.at);
    line.text("input", &texts.input);
    for (key, all) in [("before", &of.before), ("after", &of.after)] {
        line.object(key, |line| {
            for (name, value) in all {
                line.text(name, value);
            }
        });
    }
    let changes = changed(&of.before, &of.after);
    line.list("changed", changes, |out, (name, before, after)| {
        part(out, |line| {
            line.text("name", &name).text("before", &before).text("after", &after);
        });
    });
    for (key, all) in [("outs", &texts.outs), ("why", &of.why)] {
        let all: Vec<compact_str::CompactString> = all.iter().map(Into::into).collect();
        line.names(key, &all);
    }
    line.end()
}
