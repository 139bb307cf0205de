//! A condition at which a play stops.

use std::str::FromStr;

use millpost_scheduler::recording::Input;
use millpost_scheduler::{Nanos, SECOND};

use crate::outs;
use crate::play::Event;

/// When a play stops: at the first input for which it holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Until {
    /// At this time of the life, or later.
    At(Nanos),
    /// At this line, or later.
    Line(usize),
    /// A rule is broken.
    Breach,
    /// An input or an output concerns the ask of this number.
    Ask(u64),
    /// An input of this kind.
    In(String),
    /// An output of this kind.
    Out(String),
}

impl FromStr for Until {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = |of: &str| of.parse::<u64>().map_err(|_| format!("{of}: no whole number"));
        Ok(match text.split_once('=') {
            None if text == "breach" => Until::Breach,
            Some(("at", seconds)) => match seconds.parse::<f64>() {
                Ok(s) if (0.0..1e9).contains(&s) => Until::At((s * SECOND as f64) as Nanos),
                _ => return Err(format!("{seconds}: no number of seconds")),
            },
            Some(("line", line)) => Until::Line(number(line)? as usize),
            Some(("ask", id)) => Until::Ask(number(id)?),
            Some(("in", kind)) => Until::In(kind.to_owned()),
            Some(("out", kind)) => Until::Out(kind.to_owned()),
            _ => return Err("one of at=SECONDS, line=N, breach, ask=ID, in=KIND, out=KIND".to_owned()),
        })
    }
}

/// The texts of what came in, with its kind, and of what came of it.
#[derive(Debug, Default)]
pub struct Texts {
    /// The input, as it is recorded.
    pub input: String,
    /// Its kind.
    pub kind: String,
    /// Each output, as a line.
    pub outs: Vec<String>,
}

/// What happens, as text.
pub fn texts(event: &Event<'_>) -> Texts {
    match event {
        Event::Begins { .. } => Texts::default(),
        Event::Coordinator(step) => {
            let entry =
                millpost_scheduler::recording::Entry { number: None, at: step.at, input: step.input.clone() };
            let outs =
                step.outs.iter().map(|out| outs::desk(step.at, step.line, step.life, out, step.numbers));
            let (input, kind) = (entry.write(), step.input.name().to_owned());
            Texts { input, kind, outs: outs.collect() }
        }
        Event::Scaler(turn) => {
            let entry = millpost_autoscaler::recording::Entry {
                number: None,
                at: turn.at,
                input: turn.input.clone(),
            };
            let outs = turn.outs.iter().map(|out| outs::scaler(turn.at, turn.line, turn.life, out));
            let (input, kind) = (entry.write(), turn.input.name().to_owned());
            Texts { input, kind, outs: outs.collect() }
        }
        Event::Round(pass) => {
            let entry =
                millpost_agent::recording::Entry { number: None, at: pass.at, input: pass.input.clone() };
            let outs = pass.outs.iter().map(|out| outs::round(pass.at, pass.line, pass.life, out));
            let (input, kind) = (entry.write(), millpost_agent::recording::input_name(pass.input).to_owned());
            Texts { input, kind, outs: outs.collect() }
        }
    }
}

impl Until {
    /// It holds for what happens; `breaches`: rules that it has broken.
    pub fn holds(&self, event: &Event<'_>, breaches: usize) -> bool {
        let (line, at) = match event {
            Event::Begins { .. } => return false,
            Event::Coordinator(step) => (step.line, step.at),
            Event::Scaler(turn) => (turn.line, turn.at),
            Event::Round(pass) => (pass.line, pass.at),
        };
        match self {
            Until::At(from) => at >= *from,
            Until::Line(from) => line >= *from,
            Until::Breach => breaches > 0,
            Until::Ask(id) => {
                let Event::Coordinator(step) = event else { return false };
                let texts = texts(event);
                let key = format!(r#""id":{id}"#);
                let has = |text: &String| {
                    let mut found = text.match_indices(&key).map(|(n, _)| &text[n + key.len()..]);
                    found.any(|rest| !rest.starts_with(|c: char| c.is_ascii_digit()))
                };
                let own = matches!(step.input, Input::RequestPermit { .. }) && step.given == Some(*id);
                own || has(&texts.input) || texts.outs.iter().any(has)
            }
            Until::In(kind) => texts(event).kind == *kind,
            Until::Out(kind) => {
                let mark = format!("{}\"{kind}\"", outs::MARK);
                texts(event).outs.iter().any(|out| out.starts_with(&mark))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[yare::parameterized(
        at = { "at=1.5", Until::At(1_500_000_000) },
        line = { "line=7", Until::Line(7) },
        breach = { "breach", Until::Breach },
        ask = { "ask=9", Until::Ask(9) },
        kind = { "in=told", Until::In("told".to_owned()) },
        out = { "out=granted", Until::Out("granted".to_owned()) },
    )]
    fn conditions_are_read(text: &str, until: Until) {
        assert_eq!(text.parse(), Ok(until));
    }

    #[yare::parameterized(none = { "" }, odd = { "at" }, word = { "line=x" }, time = { "at=-1" }, other = { "who=7" })]
    fn what_makes_no_sense_is_told(text: &str) {
        assert!(text.parse::<Until>().is_err());
    }
}
