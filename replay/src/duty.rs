//! The steward's duty: who held it when and under which fence, what was called under each, when porters heard of it, and whether two held
//! it at once.
//!
//! A term goes from the first line of its scaler to the word of its end, or, where that was killed, to its last line.

use std::collections::BTreeMap;
use std::path::Path;

use millpost_autoscaler::recording::Input;
use millpost_autoscaler::{Effect, StartFault};

use crate::clocks::{Alignment, Node};
use crate::errors::Error;
use crate::lines::{Entry, Which, Word};
use crate::play::{Event, Turn};
use crate::story::{Step, Story};
use crate::survey::Day;

/// A term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// Whose.
    pub node: Node,
    /// Its fence.
    pub fence: u64,
    /// From when to when, in that life.
    pub from: u64,
    #[allow(missing_docs)]
    pub to: u64,
    /// Its first and its last line.
    pub lines: (usize, usize),
    /// It was told to be over; else its last line is taken for that.
    pub over: bool,
    /// Starts and stops that were called under it, and starts that went well.
    pub starts: usize,
    #[allow(missing_docs)]
    pub stops: usize,
    #[allow(missing_docs)]
    pub started: usize,
    /// Whole lists that were read under it.
    pub lists: usize,
}

impl Term {
    fn see(&mut self, turn: &Turn<'_>) {
        (self.to, self.lines.1) = (turn.at, turn.line);
        match turn.input {
            Input::Over => self.over = true,
            Input::Started { answer, .. } => {
                self.started += usize::from(!matches!(answer, Err(StartFault::Unclear)) && answer.is_ok());
            }
            Input::Listed { .. } => self.lists += 1,
            _ => {}
        }
        for out in turn.outs {
            self.starts += usize::from(matches!(out, Effect::Start { .. }));
            self.stops += usize::from(matches!(out, Effect::Stop { .. }));
        }
    }
}

/// Two terms that do not follow one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overlap {
    /// Their fences.
    pub fences: (u64, u64),
    /// For how long, in nanoseconds, and how wrong that may be; none where nothing bounds it.
    pub lasts: i64,
    #[allow(missing_docs)]
    pub error: Option<u64>,
}

impl Overlap {
    /// It is longer than the clocks may be wrong.
    pub fn is_sure(&self) -> bool {
        self.error.is_some_and(|error| self.lasts > error as i64)
    }
}

/// Terms that overlap, as far as clocks tell.
pub fn overlaps(terms: &[Term], clocks: &Alignment) -> Vec<Overlap> {
    let mut found = Vec::new();
    for (n, one) in terms.iter().enumerate() {
        for other in &terms[n + 1..] {
            let (a, b) = (clocks.of(one.node), clocks.of(other.node));
            let lasts = a.at(one.to).min(b.at(other.to)) - a.at(one.from).max(b.at(other.from));
            if lasts > 0 {
                // Two lives of one process, and two terms of one life, share a clock.
                let error =
                    if one.node == other.node { Some(0) } else { a.error.zip(b.error).map(|(a, b)| a + b) };
                found.push(Overlap { fences: (one.fence, other.fence), lasts, error });
            }
        }
    }
    found
}

/// What was found.
pub struct Duty {
    /// All terms, in the order of their beginnings.
    pub terms: Vec<Term>,
    /// By fence, when each porter heard of it.
    pub heard: BTreeMap<u64, Vec<(Node, u64)>>,
}

/// Terms as they are played; and when porters hear of fences.
#[derive(Default)]
pub struct Terms {
    terms: Vec<Term>,
    open: BTreeMap<Node, usize>,
    fences: BTreeMap<Node, u64>,
    heard: BTreeMap<u64, Vec<(Node, u64)>>,
}

impl Terms {
    /// Takes in what happens.
    pub fn see(&mut self, event: &Event<'_>) {
        match event {
            Event::Begins { read, .. } => {
                let Entry::Scaler(entry) = &read.entry else { return };
                let Input::New(of) = &entry.input else { return };
                let node = (read.source, read.life);
                let (fence, at) = (of.fence, entry.at);
                self.open.insert(node, self.terms.len());
                let lines = (read.line, read.line);
                self.terms.push(Term { node, fence, from: at, to: at, lines, ..Term::default() });
            }
            Event::Scaler(turn) => {
                let term = self.open.get(&turn.node).and_then(|at| self.terms.get_mut(*at));
                if let Some(term) = term {
                    term.see(turn);
                }
            }
            Event::Round(pass) => {
                let Some((fence, _)) = pass.round.feeds().leader() else { return };
                if self.fences.insert(pass.node, fence) != Some(fence) {
                    self.heard.entry(fence).or_default().push((pass.node, pass.at));
                }
            }
            Event::Coordinator(_) => {}
        }
    }

    /// All of it.
    pub fn end(self) -> Duty {
        Duty { terms: self.terms, heard: self.heard }
    }
}

/// The story of the duty.
pub fn duty(
    path: &Path,
    which: &Which,
    progress: Option<Box<dyn Fn(&'static str) -> Word>>,
) -> Result<(Day, Story), Error> {
    let day = Day::survey(path, which.clone(), progress, |_, _| {})?;
    let mut terms = Terms::default();
    day.play(false, |event| {
        terms.see(&event);
        Ok(())
    })?;
    let mut duty = terms.end();
    let to = duty.terms.first().map_or((0, 0), |term| term.node);
    let clocks = day.clocks.align(to, &day.sources);
    duty.terms.sort_by_key(|term| clocks.of(term.node).at(term.from));
    Ok(story(day, &duty, clocks))
}

fn story(day: Day, duty: &Duty, clocks: Alignment) -> (Day, Story) {
    let (mut steps, mut ends, mut well) = (Vec::new(), Vec::new(), true);
    let ms = |nanos: i64| nanos as f64 / 1e6;
    let begins = |term: &Term| clocks.of(term.node).at(term.from);
    for term in &duty.terms {
        let (node, fence) = (term.node, term.fence);
        let say = format!("takes office under fence {fence}");
        let parts = vec![("fence", fence.into())];
        steps.push(Step { node, at: term.from, line: term.lines.0, kind: "begins", say, parts });
        let how = if term.over { "is steward no more" } else { "is not heard of any more" };
        let say = format!(
            "{how}, fence {fence}: {} starts called and {} done, {} stops, {} lists",
            term.starts, term.started, term.stops, term.lists
        );
        let parts = vec![
            ("fence", fence.into()),
            ("starts", (term.starts as u64).into()),
            ("stops", (term.stops as u64).into()),
        ];
        let kind = if term.over { "over" } else { "silent" };
        steps.push(Step { node, at: term.to, line: term.lines.1, kind, say, parts });
        if let Some(heard) = duty.heard.get(&fence) {
            let mut times: Vec<_> = heard.iter().map(|(node, at)| clocks.of(*node).at(*at)).collect();
            times.sort_unstable();
            let after = |at: Option<&i64>| at.map_or(0.0, |at| ms(at - begins(term)));
            ends.push(format!(
                "fence {fence} was heard of by {} lives of porters, {:.1} to {:.1} ms after it was taken",
                times.len(),
                after(times.first()),
                after(times.last())
            ));
        }
    }
    for pair in duty.terms.windows(2) {
        if pair[1].fence <= pair[0].fence {
            well = false;
            ends.push(format!("FENCE: {} came after {}", pair[1].fence, pair[0].fence));
        }
        let gap = begins(&pair[1]) - clocks.of(pair[0].node).at(pair[0].to);
        if gap > 0 {
            let (one, other) = (pair[0].fence, pair[1].fence);
            ends.push(format!("nobody for {:.1} ms between fences {one} and {other}", ms(gap)));
        }
    }
    for overlap in overlaps(&duty.terms, &clocks) {
        let (one, other) = overlap.fences;
        let error = overlap
            .error
            .map_or("nobody knows how exactly".to_owned(), |e| format!("to {:.3} ms", ms(e as i64)));
        let sure = overlap.is_sure();
        well &= !sure;
        let word = if sure { "TWO AT ONCE" } else { "perhaps two at once" };
        ends.push(format!("{word}: fences {one} and {other} for {:.3} ms, {error}", ms(overlap.lasts)));
    }
    if duty.terms.is_empty() {
        ends.push("nobody held it in this recording".to_owned());
        well = false;
    }
    let zero = duty.terms.first().map_or(0, begins);
    let (name, missing) = ("steward".to_owned(), day.missing.clone());
    let facts = vec![("terms", (duty.terms.len() as u64).into())];
    (day, Story { of: "duty", name, facts, steps, ends, clocks, zero, missing, well })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clocks::Clocks;
    use crate::lines::{Lines, Source};

    /// Two processes whose clocks count from the same moment, by their machines' own clocks.
    fn sources() -> Vec<Source> {
        let head = |n| millpost_protocol::frame::Head::new(&format!("core-{n}"), "bourse", n, 1_000).line();
        let text = format!("{}\n{}\n", head(1), head(2));
        let which = Which { all: true, ..Which::default() };
        let mut lines = Lines::new(text.as_bytes(), which);
        assert!(lines.read().expect("good lines").is_none());
        lines.into_sources()
    }

    #[yare::parameterized(
        after = { 500, 600, None },
        within = { 400, 600, Some(100) },
        inside = { 100, 300, Some(200) },
    )]
    fn terms_that_overlap_are_found(from: u64, to: u64, lasts: Option<i64>) {
        let clocks = Clocks::default().align((0, 0), &sources());
        let one = Term { node: (0, 0), fence: 1, from: 0, to: 500, ..Term::default() };
        let other = Term { node: (1, 0), fence: 2, from, to, ..Term::default() };
        let found = overlaps(&[one, other], &clocks);
        assert_eq!(found.first().map(|overlap| overlap.lasts), lasts);
        // Clocks that nobody has checked prove nothing.
        assert!(found.iter().all(|overlap| !overlap.is_sure()));
    }

    #[test]
    fn two_terms_of_one_life_share_a_clock() {
        let clocks = Clocks::default().align((0, 0), &sources());
        let term = |fence, from, to| Term { node: (0, 0), fence, from, to, ..Term::default() };
        assert!(overlaps(&[term(1, 0, 500), term(2, 400, 600)], &clocks)[0].is_sure());
    }
}
