//! What is told of one thing of a day: steps of several processes in the order of one clock, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use millpost_protocol::line::{self, Line};
use millpost_scheduler::MS;

use crate::clocks::{Alignment, By, Node};
use crate::lines::Source;

/// A part of a step, for programs.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    #[allow(missing_docs)]
    Text(String),
    #[allow(missing_docs)]
    Whole(u64),
    #[allow(missing_docs)]
    Number(f64),
}

impl From<&str> for Part {
    fn from(text: &str) -> Self {
        Part::Text(text.to_owned())
    }
}

impl From<&compact_str::CompactString> for Part {
    fn from(text: &compact_str::CompactString) -> Self {
        Part::Text(text.to_string())
    }
}

impl From<u64> for Part {
    fn from(n: u64) -> Self {
        Part::Whole(n)
    }
}

impl From<f64> for Part {
    fn from(n: f64) -> Self {
        Part::Number(n)
    }
}

/// Parts by their names.
pub type Parts = Vec<(&'static str, Part)>;

fn write_parts(line: &mut Line, parts: &Parts) {
    for (key, part) in parts {
        match part {
            Part::Text(text) => line.text(key, text),
            Part::Whole(n) => line.whole(key, *n),
            Part::Number(n) => line.number(key, *n),
        };
    }
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Whose.
    pub node: Node,
    /// When, in that life.
    pub at: u64,
    /// The line of the recording.
    pub line: usize,
    /// What, in one word.
    pub kind: &'static str,
    /// What, in words.
    pub say: String,
    /// What, for programs.
    pub parts: Parts,
}

/// All of it.
#[derive(Debug)]
pub struct Story {
    /// What it is of: `request`, `version`, `instance`, `duty`.
    pub of: &'static str,
    /// Its name.
    pub name: String,
    /// What is known of it as a whole.
    pub facts: Parts,
    /// What happened, in any order.
    pub steps: Vec<Step>,
    /// What it comes to.
    pub ends: Vec<String>,
    /// The clock that times are told in.
    pub clocks: Alignment,
    /// Time 0, in that clock.
    pub zero: i64,
    /// What the recording lacks.
    pub missing: Vec<String>,
    /// It was found, and no rule was broken in it.
    pub well: bool,
}

fn ms(nanos: i64) -> f64 {
    nanos as f64 / MS as f64
}

impl Story {
    /// What happened, in the order of the clock, with its times by that.
    pub fn sorted(&self) -> Vec<(&Step, i64)> {
        let mut all: Vec<_> =
            self.steps.iter().map(|step| (step, self.clocks.of(step.node).at(step.at))).collect();
        all.sort_by_key(|(_, at)| *at);
        all
    }

    fn nodes(&self) -> Vec<Node> {
        let mut nodes: Vec<Node> = self.steps.iter().map(|step| step.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    fn who(sources: &[Source], node: Node) -> (String, usize, usize) {
        let source = sources.get(node.0);
        let of = source.map_or("", |s| s.of.as_str());
        let of = if of.is_empty() { "this process" } else { of };
        (of.to_owned(), node.1 + 1, source.map_or(1, |s| s.lives.len()))
    }

    /// As text.
    pub fn text(&self, sources: &[Source]) -> String {
        let mut text = format!("{} {}\n", self.of, self.name);
        for (key, part) in &self.facts {
            let _ = match part {
                Part::Text(t) => writeln!(text, "  {key} {t}"),
                Part::Whole(n) => writeln!(text, "  {key} {n}"),
                Part::Number(n) => writeln!(text, "  {key} {n:.3}"),
            };
        }
        let (to, ..) = Story::who(sources, self.clocks.to);
        let _ = writeln!(text, "times in ms, by the clock of {to}; other clocks are known");
        for node in self.nodes() {
            let (aligned, (who, life, lives)) = (self.clocks.of(node), Story::who(sources, node));
            if aligned.by == By::Itself {
                continue;
            }
            let life = if lives > 1 { format!(", life {life}") } else { String::new() };
            let error = aligned.error.map_or(String::new(), |e| format!(", to {:.3} ms", ms(e as i64)));
            let words = if aligned.by == By::Mail {
                format!(" ({} words)", self.clocks.words(node))
            } else {
                String::new()
            };
            let _ = writeln!(text, "  {who}{life}: {}{words}{error}", aligned.by.words());
        }
        if self.clocks.loosened > 0 {
            let loosened = ms(self.clocks.loosened as i64);
            let _ = writeln!(text, "  the clocks do not run alike: all is loosened by {loosened} ms");
        }
        let names: BTreeMap<Node, String> = self
            .nodes()
            .into_iter()
            .map(|node| {
                let (who, life, lives) = Story::who(sources, node);
                (node, if lives > 1 { format!("{who}#{life}") } else { who })
            })
            .collect();
        let wide = names.values().map(String::len).max().unwrap_or(0);
        text.push('\n');
        for (step, at) in self.sorted() {
            let who = names.get(&step.node).map_or("", String::as_str);
            let at = ms(at.saturating_sub(self.zero));
            let _ = writeln!(text, "{at:>12.3}  {who:<wide$}  {}", step.say);
        }
        text.push('\n');
        for end in self.ends.iter().chain(&self.missing) {
            let _ = writeln!(text, "{end}");
        }
        text
    }

    /// As JSON: one object.
    pub fn json(&self, sources: &[Source]) -> String {
        let mut line = Line::new();
        line.text("of", self.of).text("name", &self.name);
        line.object("facts", |line| write_parts(line, &self.facts));
        line.list("clocks", self.nodes(), |out, node| {
            let (aligned, (who, life, _)) = (self.clocks.of(node), Story::who(sources, node));
            line::part(out, |line| {
                line.text("who", &who)
                    .whole("life", life as u64)
                    .text("by", &format!("{:?}", aligned.by).to_lowercase());
                line.number("offset_ms", ms(aligned.offset));
                if let Some(error) = aligned.error {
                    line.number("error_ms", ms(error as i64));
                }
                line.whole("words", self.clocks.words(node) as u64);
            });
        });
        line.mark("well", self.well).number("loosened_ms", ms(self.clocks.loosened as i64));
        line.list("steps", self.sorted(), |out, (step, at)| {
            let (who, life, _) = Story::who(sources, step.node);
            line::part(out, |line| {
                line.number("ms", ms(at.saturating_sub(self.zero)));
                if let Some(error) = self.clocks.of(step.node).error {
                    line.number("error_ms", ms(error as i64));
                }
                line.text("who", &who).whole("life", life as u64).whole("line", step.line as u64);
                line.time("at", step.at).text("step", step.kind);
                line.object("parts", |line| write_parts(line, &step.parts));
                line.text("say", &step.say);
            });
        });
        for (key, all) in [("ends", &self.ends), ("missing", &self.missing)] {
            let all: Vec<compact_str::CompactString> = all.iter().map(Into::into).collect();
            line.names(key, &all);
        }
        line.end()
    }
}
