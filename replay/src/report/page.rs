//! A report as a page, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;

use millpost_charts::{BASELINE_COLOR, COLORS, Line, Row, Span, bars, color, page, plot, table};
use millpost_protocol::line::{Line as Json, part};

use super::Report;
use super::gather::{Function, Sample};
use crate::clocks::{By, Node};

/// Rows of bars, at most.
const ROWS: usize = 400;

impl Report {
    fn who(&self, node: Node) -> &str {
        self.day.sources.get(node.0).map_or("", |source| source.of.as_str())
    }

    fn machine(&self, node: Node) -> String {
        self.day.sources.get(node.0).map_or(String::new(), |source| source.machine().to_owned())
    }

    /// What it comes to, as text.
    pub fn text(&self) -> String {
        let (of, mut text) = (&self.of, String::new());
        let lives: usize = self.day.sources.iter().map(|source| source.lives.len()).sum();
        let _ = writeln!(
            text,
            "{:.1} s, {} processes with {lives} lives, {} inputs played",
            of.length,
            self.day.sources.len(),
            of.played.inputs
        );
        let sum = |at: usize| of.spans.iter().map(|span| span.answers[at]).sum::<usize>();
        let [good, full, broken, other] = [0, 1, 2, 3].map(sum);
        let all = good + full + broken + other;
        if all > 0 {
            let share = 100.0 * good as f64 / all as f64;
            let left: usize = of.spans.iter().map(|span| span.left).sum();
            let _ = writeln!(
                text,
                "{all} answers: {share:.2} % 2xx, {full} with 503, {broken} with 502 or 504, {other} others; {left} clients left before"
            );
        }
        let refused = [0, 1, 2, 3].map(|at| of.spans.iter().map(|span| span.refused[at]).sum::<usize>());
        let repeats: usize = of.spans.iter().map(|span| span.repeats).sum();
        let _ = writeln!(
            text,
            "owners refused: {} no slot in time, {} thinned out, {} budget spent, {} unknown; {repeats} further tries went",
            refused[2], refused[0], refused[1], refused[3]
        );
        let _ = writeln!(text, "{} terms of stewards", of.terms.len());
        for overlap in &of.overlaps {
            let word =
                if overlap.is_sure() { "TWO STEWARDS AT ONCE" } else { "perhaps two stewards at once" };
            let (one, other) = overlap.fences;
            let _ = writeln!(text, "{word}: fences {one} and {other}, {:.3} ms", overlap.lasts as f64 / 1e6);
        }
        let _ = writeln!(text, "{} outputs are those of the day, to the bit", of.played.same);
        for unlike in &of.played.unlike {
            let (from, to) = unlike.lines;
            let _ = writeln!(
                text,
                "DECIDED OTHERWISE on the day: {}, life {}, lines {from} to {to}: {}",
                unlike.of, unlike.life, unlike.what
            );
        }
        if of.broken.is_empty() {
            let _ = writeln!(text, "all rules kept");
        }
        for broken in &of.broken {
            let (who, life) = (self.who(broken.node), broken.node.1 + 1);
            let _ = writeln!(
                text,
                "BROKEN {} times by {who}, life {life}: {}; {}",
                broken.count, broken.rule, broken.first
            );
        }
        for missing in &self.day.missing {
            let _ = writeln!(text, "{missing}");
        }
        text
    }

    /// What it comes to, as one JSON object.
    pub fn json(&self) -> String {
        let (of, mut line) = (&self.of, Json::new());
        line.mark("well", self.is_well()).number("seconds", of.length);
        line.whole("inputs", of.played.inputs as u64).whole("same", of.played.same);
        for (at, key) in ["ok", "503", "502_504", "other"].into_iter().enumerate() {
            line.whole(key, of.spans.iter().map(|span| span.answers[at] as u64).sum());
        }
        for (at, key) in ["thinned", "spent", "full", "unknown"].into_iter().enumerate() {
            line.whole(key, of.spans.iter().map(|span| span.refused[at] as u64).sum());
        }
        line.whole("repeats", of.spans.iter().map(|span| span.repeats as u64).sum());
        line.list("terms", &of.terms, |out, term| {
            part(out, |line| {
                line.text("who", self.who(term.node)).whole("fence", term.fence);
                line.number("from", of.seconds(&self.clocks, term.node, term.from));
                line.number("to", of.seconds(&self.clocks, term.node, term.to));
            });
        });
        line.list("functions", of.busiest(self.functions), |out, (name, function)| {
            part(out, |line| {
                line.text("name", name).whole("requests", function.requests as u64);
            });
        });
        line.list("broken", &of.broken, |out, broken| {
            part(out, |line| {
                line.text("who", self.who(broken.node)).text("rule", broken.rule);
                line.whole("count", broken.count as u64).text("first", &broken.first);
            });
        });
        let missing: Vec<_> = self.day.missing.iter().map(Into::into).collect();
        line.names("missing", &missing);
        line.end()
    }

    /// The page.
    pub fn html(&self) -> String {
        let mut body = String::new();
        body.push_str(&self.answers());
        body.push_str(&self.versions());
        body.push_str(&self.duties());
        body.push_str(&self.by_function());
        body.push_str(&self.refusals());
        body.push_str(&self.lives());
        page("A recorded day", &self.text(), &body)
    }

    /// Values by span.
    fn points(&self, of: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
        (0..self.of.spans.len()).map(|at| ((at as f64 + 0.5) * self.of.width, of(at))).collect()
    }

    fn line<'a>(&self, name: &'a str, color: &'a str, of: impl Fn(usize) -> f64) -> Line<'a> {
        Line { name, color, points: self.points(of) }
    }

    /// Times without a steward, and lives that begin after the day has.
    fn behind(&self) -> Vec<Span> {
        let seconds = |node, at| self.of.seconds(&self.clocks, node, at);
        let gaps = self.of.terms.windows(2).filter_map(|pair| {
            let (from, to) = (seconds(pair[0].node, pair[0].to), seconds(pair[1].node, pair[1].from));
            let tooltip = format!("nobody is the steward, before fence {}", pair[1].fence);
            (to > from).then_some(Span { from, to, tooltip, color: String::new() })
        });
        let later = self.of.began.iter().filter(|(node, _)| node.1 > 0).map(|(node, at)| {
            let tooltip = format!("{} begins its life {}", self.who(*node), node.1 + 1);
            Span { from: *at, to: *at, tooltip, color: String::new() }
        });
        gaps.chain(later).collect()
    }

    fn answers(&self) -> String {
        let (spans, each) = (&self.of.spans, 1.0 / self.of.width);
        let count = |kind: usize| move |at: usize| spans[at].answers[kind] as f64 * each;
        let lines = [
            self.line("2xx", COLORS[1], count(0)),
            self.line("503", COLORS[3], count(1)),
            self.line("502, 504", COLORS[2], count(2)),
            self.line("others", COLORS[4], count(3)),
            self.line("clients that left", BASELINE_COLOR, |at| spans[at].left as f64 * each),
        ];
        let times = |part: f64| move |at: usize| spans[at].time(part).unwrap_or(0.0);
        let took = [self.line("p50", COLORS[1], times(0.5)), self.line("p99", COLORS[2], times(0.99))];
        let behind = self.behind();
        plot(
            "Answers",
            "a second; shaded: no steward, a process starts again",
            self.of.length,
            &behind,
            &lines,
        ) + &plot("From reading a request to its answer", "ms", self.of.length, &behind, &took)
    }

    fn versions(&self) -> String {
        let mut rows: BTreeMap<String, Vec<Span>> = BTreeMap::new();
        let mut places: BTreeMap<u64, usize> = BTreeMap::new();
        let mut revisions: Vec<u64> = self.of.on.iter().map(|on| on.revision).collect();
        revisions.sort_unstable();
        revisions.dedup();
        for (place, revision) in revisions.iter().enumerate() {
            places.insert(*revision, place);
        }
        for on in &self.of.on {
            let color = color(places.get(&on.revision).copied().unwrap_or(0));
            let tooltip = format!(
                "{} acts on {} from {:.3} s to {:.3} s",
                self.who(on.node),
                on.revision,
                on.from,
                on.to
            );
            rows.entry(self.machine(on.node)).or_default().push(Span {
                from: on.from,
                to: on.to,
                tooltip,
                color,
            });
        }
        let all = rows.len();
        let rows: Vec<Row> = rows.into_iter().take(ROWS).map(|(name, spans)| Row { name, spans }).collect();
        let mut note = format!("{} revisions on {all} stalls, a colour each", revisions.len());
        if all > ROWS {
            let _ = write!(note, "; the first {ROWS} stalls");
        }
        bars("Configurations by proxy", &note, self.of.length, &rows)
    }

    fn duties(&self) -> String {
        let mut rows: BTreeMap<String, Vec<Span>> = BTreeMap::new();
        for (place, term) in self.of.terms.iter().enumerate() {
            let seconds = |at| self.of.seconds(&self.clocks, term.node, at);
            let (from, to) = (seconds(term.from), seconds(term.to));
            let tooltip = format!(
                "fence {} from {from:.3} s to {to:.3} s: {} starts, {} stops, {} lists",
                term.fence, term.starts, term.stops, term.lists
            );
            let span = Span { from, to, tooltip, color: color(place) };
            rows.entry(self.machine(term.node)).or_default().push(span);
        }
        let rows: Vec<Row> = rows.into_iter().take(ROWS).map(|(name, spans)| Row { name, spans }).collect();
        let note = format!("{} terms, by machine", self.of.terms.len());
        bars("The steward's duty", &note, self.of.length, &rows)
    }

    fn by_function(&self) -> String {
        let busiest = self.of.busiest(self.functions);
        let each = |of: fn(&Sample) -> f64| -> Vec<Line<'_>> {
            let mut lines = Vec::new();
            for ((name, function), color) in busiest.iter().copied().zip(COLORS.into_iter().cycle()) {
                let points = self.points(|at| function.samples.get(&at).map_or(0.0, of));
                lines.push(Line { name, color, points });
            }
            lines
        };
        let (behind, end) = (self.behind(), self.of.length);
        let unit = format!("of the {} busiest functions", busiest.len());
        plot("Instances", &unit, end, &behind, &each(|s| f64::from(s.instances)))
            + &plot("Requests that wait", &unit, end, &behind, &each(|s| f64::from(s.queue)))
            + &plot("Permits that are out", &unit, end, &behind, &each(|s| f64::from(s.permits)))
    }

    fn refusals(&self) -> String {
        let (spans, each) = (&self.of.spans, 1.0 / self.of.width);
        let refused = |kind: usize| move |at: usize| spans[at].refused[kind] as f64 * each;
        let lines = [
            self.line("no slot in time", COLORS[2], refused(2)),
            self.line("thinned out", COLORS[3], refused(0)),
            self.line("budget spent", COLORS[4], refused(1)),
            self.line("function unknown", BASELINE_COLOR, refused(3)),
            self.line("further tries that went", COLORS[0], |at| spans[at].repeats as f64 * each),
        ];
        let mut used: Vec<_> = self.of.functions.iter().collect();
        let most = |f: &Function| f.samples.values().map(|s| s.used).fold(0.0, f64::max);
        used.sort_by(|a, b| most(b.1).total_cmp(&most(a.1)).then(a.0.cmp(b.0)));
        used.retain(|(_, function)| most(function) > 0.0);
        let part = used.iter().take(COLORS.len()).enumerate().map(|(n, (name, function))| Line {
            name: name.as_str(),
            color: COLORS[n],
            points: self.points(|at| 100.0 * function.samples.get(&at).map_or(0.0, |s| s.used)),
        });
        let mut part: Vec<_> = part.collect();
        part.push(self.line("all of it", BASELINE_COLOR, |_| 100.0));
        let (behind, end) = (self.behind(), self.of.length);
        plot("Refusals and further tries", "a second", end, &behind, &lines)
            + &plot(
                "Further tries against the budget",
                "% of what may be in a window, by function",
                end,
                &behind,
                &part,
            )
    }

    fn lives(&self) -> String {
        let mut rows = vec![
            ["process", "life", "from, s", "clock", "error, ms", "words", "build"]
                .map(str::to_owned)
                .to_vec(),
        ];
        for (node, at) in &self.of.began {
            let aligned = self.clocks.of(*node);
            let head = self.day.sources.get(node.0).and_then(|s| s.lives.get(node.1)?.head.as_ref());
            let error = aligned.error.map_or("unknown".to_owned(), |e| format!("{:.3}", e as f64 / 1e6));
            let words =
                if aligned.by == By::Mail { self.clocks.words(*node).to_string() } else { String::new() };
            rows.push(vec![
                self.who(*node).to_owned(),
                (node.1 + 1).to_string(),
                format!("{at:.3}"),
                aligned.by.words().to_owned(),
                error,
                words,
                head.map_or(String::new(), |head| head.build.to_string()),
            ]);
        }
        format!("<h2>Who has recorded</h2>{}", table(&rows))
    }
}
