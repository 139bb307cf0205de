//! What a report counts while the day is played, by spans of time on one clock.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_scheduler::recording::Input;
use millpost_scheduler::{Action, FlowStep as Tells, Nanos, Reason, RequestDecision, SECOND, TraceEvent};

use crate::check::{Check, Rule};
use crate::clocks::{Alignment, Node};
use crate::duty::{Overlap, Term, Terms, overlaps};
use crate::feeds::{Feeds, Must};
use crate::lines::Read;
use crate::play::{Event, Played, Step, Turn};

/// Answers' times that are kept for each span; of more every so many.
const MOST_TIMES: usize = 20_000;

/// From when to when there is anything of each life.
#[derive(Debug, Default)]
pub struct Spans(BTreeMap<Node, (u64, u64)>);

impl Spans {
    /// Takes a line in.
    pub fn see(&mut self, read: &Read) {
        let at = read.entry.at();
        let span = self.0.entry((read.source, read.life)).or_insert((at, at));
        span.1 = span.1.max(at);
    }

    /// All lives.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.0.keys().copied()
    }
}

/// What one function came to in one span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Instances, requests that wait, permits that are out.
    pub instances: u32,
    #[allow(missing_docs)]
    pub queue: u32,
    #[allow(missing_docs)]
    pub permits: u32,
    /// The part of its budget of further tries that is used, at most.
    pub used: f64,
}

/// One function.
#[derive(Debug, Default)]
pub struct Function {
    /// First asks for it.
    pub requests: usize,
    /// By span.
    pub samples: BTreeMap<usize, Sample>,
}

/// All answers and refusals in one span.
#[derive(Clone, Debug, Default)]
pub struct Span {
    /// Clients were told: 2xx, 503, 502 and 504, something else.
    pub answers: [usize; 4],
    /// They left before.
    pub left: usize,
    /// How long answers took, in milliseconds.
    pub times: Vec<f32>,
    seen: usize,
    /// Owners refused: thinned out, budget spent, no slot in time, function unknown.
    pub refused: [usize; 4],
    /// Further tries that got a permit.
    pub repeats: usize,
}

impl Span {
    fn took(&mut self, ms: f32) {
        self.seen += 1;
        let every = (self.seen / MOST_TIMES).max(1);
        if self.times.len() < MOST_TIMES && self.seen.is_multiple_of(every) {
            self.times.push(ms);
        }
    }

    /// The time that a part of the answers did not take longer than.
    pub fn time(&self, part: f64) -> Option<f64> {
        let mut times = self.times.clone();
        times.sort_unstable_by(f32::total_cmp);
        let last = ((times.len() as f64 * part).ceil() as usize).max(1) - 1;
        times.get(last).map(|ms| f64::from(*ms))
    }
}

/// A stall on a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct On {
    /// Whose.
    pub node: Node,
    /// Seconds of the day.
    pub from: f64,
    #[allow(missing_docs)]
    pub to: f64,
    /// The revision.
    pub revision: u64,
}

/// A rule that was broken: by whom, in which life, which, how often, and the first time.
#[derive(Clone, Debug)]
pub struct Broken {
    #[allow(missing_docs)]
    pub node: Node,
    #[allow(missing_docs)]
    pub rule: &'static str,
    #[allow(missing_docs)]
    pub count: usize,
    #[allow(missing_docs)]
    pub first: String,
}

/// What goes on in one life.
#[derive(Default)]
struct Life {
    check: Option<Box<Check>>,
    feeds: Option<Box<Feeds>>,
    /// The last span that was sampled.
    sampled: Option<usize>,
    /// When each request was read.
    read: BTreeMap<u64, Nanos>,
    /// Asks for further tries.
    repeats: BTreeSet<u64>,
    on: Option<(f64, u64)>,
    last: f64,
}

/// The whole of it.
#[derive(Default)]
pub struct Gathered {
    start: i64,
    /// The length of the day, and of one span, in seconds.
    pub length: f64,
    #[allow(missing_docs)]
    pub width: f64,
    /// By span.
    pub spans: Vec<Span>,
    /// By name.
    pub functions: BTreeMap<CompactString, Function>,
    /// Configurations of stalls.
    pub on: Vec<On>,
    /// When lives began, in seconds of the day.
    pub began: Vec<(Node, f64)>,
    terms_of: Terms,
    /// The steward's terms.
    pub terms: Vec<Term>,
    /// Those that two had at once, as far as clocks tell.
    pub overlaps: Vec<Overlap>,
    /// Rules that were broken.
    pub broken: Vec<Broken>,
    lives: BTreeMap<Node, Life>,
    /// How the play has gone.
    pub played: Played,
}

impl Gathered {
    /// Of a day that is counted in about so many spans, of a second at least.
    pub fn new(spans: &Spans, clocks: &Alignment, buckets: f64) -> Self {
        let start = spans.0.iter().map(|(node, (from, _))| clocks.of(*node).at(*from)).min().unwrap_or(0);
        let end = spans.0.iter().map(|(node, (_, to))| clocks.of(*node).at(*to)).max().unwrap_or(0);
        let length = (end.saturating_sub(start)) as f64 / SECOND as f64;
        let width = (length / buckets).ceil().max(1.0);
        let count = (length / width) as usize + 1;
        Gathered { start, length, width, spans: vec![Span::default(); count], ..Gathered::default() }
    }

    /// Seconds of the day.
    pub fn seconds(&self, clocks: &Alignment, node: Node, at: u64) -> f64 {
        clocks.of(node).at(at).saturating_sub(self.start) as f64 / SECOND as f64
    }

    fn place(&self, seconds: f64) -> usize {
        ((seconds / self.width).max(0.0) as usize).min(self.spans.len().saturating_sub(1))
    }

    /// Takes in what happens.
    pub fn see(&mut self, event: &Event<'_>, clocks: &Alignment) {
        self.terms_of.see(event);
        match event {
            Event::Begins { read, .. } => {
                let node = (read.source, read.life);
                self.over(node);
                let at = self.seconds(clocks, node, read.entry.at());
                if !self.began.iter().any(|(known, _)| *known == node) {
                    self.began.push((node, at));
                }
                let life = self.lives.entry(node).or_default();
                match read.entry {
                    crate::lines::Entry::Coordinator(_) => life.check = Some(Box::default()),
                    crate::lines::Entry::Round(_) => life.feeds = Some(Box::default()),
                    crate::lines::Entry::Scaler(_) => {}
                }
            }
            Event::Coordinator(step) => self.desk(step, clocks),
            Event::Scaler(turn) => self.scaler(turn, clocks),
            Event::Round(pass) => {
                if let Some(feeds) = self.lives.entry(pass.node).or_default().feeds.as_mut() {
                    feeds.see(pass);
                }
            }
        }
    }

    /// A span to sample a life in, if it was not yet.
    fn due(&mut self, node: Node, at: f64) -> Option<usize> {
        let place = self.place(at);
        let life = self.lives.entry(node).or_default();
        life.last = at;
        (life.sampled != Some(place)).then(|| {
            life.sampled = Some(place);
            place
        })
    }

    fn sample(&mut self, service: &str, place: usize) -> &mut Sample {
        if !self.functions.contains_key(service) {
            self.functions.insert(service.into(), Function::default());
        }
        let function = self.functions.entry(service.into()).or_default();
        function.samples.entry(place).or_default()
    }

    fn desk(&mut self, step: &Step<'_>, clocks: &Alignment) {
        let at = self.seconds(clocks, step.node, step.at);
        let place = self.place(at);
        if let Some(check) = self.lives.entry(step.node).or_default().check.as_mut() {
            check.see(step);
        }
        if let Some(place) = self.due(step.node, at) {
            let broker = step.desk.scheduler();
            for (service, queue) in broker.queues().filter(|(_, queue)| *queue > 0) {
                self.sample(service, place).queue += queue as u32;
            }
            for (_, _, service, _) in broker.permits() {
                self.sample(service, place).permits += 1;
            }
            for (service, (_, repeats, most)) in broker.budgets(step.at).filter(|(_, (_, r, _))| *r > 0) {
                let sample = self.sample(service, place);
                sample.used = sample.used.max(repeats as f64 / most.max(1e-9));
            }
        }
        let life = self.lives.entry(step.node).or_default();
        let span = &mut self.spans[place];
        for reason in step.reasons {
            if let Reason::Request { why, .. } = reason {
                let kind = match why {
                    RequestDecision::RetrySuppressed { .. } => 0,
                    RequestDecision::BudgetSpent { .. } => 1,
                    RequestDecision::DeadlineUnreachable { .. }
                    | RequestDecision::WouldMissTarget { .. }
                    | RequestDecision::QueueFull { .. }
                    | RequestDecision::DeadlinePassed => 2,
                    RequestDecision::UnknownFunction => 3,
                    RequestDecision::Granted { .. }
                    | RequestDecision::Duplicate
                    | RequestDecision::Queued { .. } => continue,
                };
                span.refused[kind] += 1;
            }
        }
        for out in step.outs {
            if let Action::Granted { ask, .. } = out {
                span.repeats += usize::from(life.repeats.remove(ask));
            }
        }
        match step.input {
            Input::RequestPermit { ask, first, .. } => {
                if *first {
                    self.functions.entry(ask.service.clone()).or_default().requests += 1;
                } else if let Some(id) = step.given.filter(|_| ask.attempts_sent > 0) {
                    life.repeats.insert(id);
                }
            }
            Input::Finish { id, .. } | Input::Cancel { id } => {
                life.repeats.remove(id);
            }
            Input::TraceEvent(trail) => match trail {
                TraceEvent::Received { p, .. } => drop(life.read.insert(*p, step.at)),
                TraceEvent::ClientLeft { p } => {
                    span.left += 1;
                    life.read.remove(p);
                }
                TraceEvent::Rejected { status, .. } => span.answers[kind(*status)] += 1,
                TraceEvent::ConfigInForce { revision } => {
                    let before = life.on.replace((at, *revision));
                    self.on.extend(before.map(|(from, revision)| On {
                        node: step.node,
                        from,
                        to: at,
                        revision,
                    }));
                }
                _ => {}
            },
            _ => {}
        }
        let p = match step.input {
            Input::RequestPermit { of, .. } => *of,
            _ => step.trail.and_then(TraceEvent::of),
        };
        if let (Some(Tells::Respond(told)), Some(p)) = (step.next, p) {
            let status = told.as_ref().map_or_else(|refusal| refusal.answer().0, |status| *status);
            span.answers[kind(status)] += 1;
            if let Some(read) = self.lives.entry(step.node).or_default().read.remove(&p) {
                span.took(step.at.saturating_sub(read) as f32 / 1e6);
            }
        }
    }

    fn scaler(&mut self, turn: &Turn<'_>, clocks: &Alignment) {
        let at = self.seconds(clocks, turn.node, turn.at);
        let Some(place) = self.due(turn.node, at) else { return };
        for instance in turn.scaler.snapshot() {
            self.sample(&instance.service, place).instances += 1;
        }
    }

    /// A life, or a term, has ended.
    fn over(&mut self, node: Node) {
        let Some(life) = self.lives.get_mut(&node) else { return };
        if let Some(check) = life.check.take() {
            for rule in Rule::ALL {
                let first = check.breaches().iter().find(|breach| breach.rule == rule);
                let first = first.map_or(String::new(), |b| format!("line {}: {}", b.line, b.what));
                let (rule, count) = (rule.word(), check.count(rule));
                self.broken.extend((count > 0).then_some(Broken { node, rule, count, first }));
            }
        }
        if let Some(feeds) = life.feeds.take() {
            for must in Must::ALL {
                let (rule, count, first) = (must.word(), feeds.count(must), String::new());
                self.broken.extend((count > 0).then_some(Broken { node, rule, count, first }));
            }
        }
        if let Some((from, revision)) = life.on.take() {
            self.on.push(On { node, from, to: life.last, revision });
        }
    }

    /// The day is over.
    pub fn end(&mut self, clocks: &Alignment) {
        for node in self.lives.keys().copied().collect::<Vec<_>>() {
            self.over(node);
        }
        self.terms = std::mem::take(&mut self.terms_of).end().terms;
        self.terms.sort_by_key(|term| clocks.of(term.node).at(term.from));
        self.overlaps = overlaps(&self.terms, clocks);
    }

    /// The busiest functions.
    pub fn busiest(&self, most: usize) -> Vec<(&CompactString, &Function)> {
        let mut all: Vec<_> = self.functions.iter().filter(|(_, f)| f.requests > 0).collect();
        all.sort_by_key(|(name, function)| (std::cmp::Reverse(function.requests), *name));
        all.truncate(most);
        all
    }
}

fn kind(status: u16) -> usize {
    match status {
        200..300 => 0,
        503 => 1,
        502 | 504 => 2,
        _ => 3,
    }
}
