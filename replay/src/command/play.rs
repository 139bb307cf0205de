//! `replay play`: a recording played twice, counted by second, watched, and compared with what was decided on the day.

use std::io::{BufWriter, Write};
use std::path::PathBuf;

use millpost_protocol::line::{Line, part};
use millpost_replay::check::{Check, Rule};
use millpost_replay::feeds::Feeds;
use millpost_replay::lines::{Entry, Lines, Read, Which};
use millpost_replay::play::{Event, How, Played, play_so};
use millpost_replay::table::{Rounds, Table};
use millpost_replay::until::Until;
use millpost_replay::{Error, outs, rows};
use millpost_scheduler::recording::Input;
use millpost_scheduler::{MS, SECOND};

use super::step::Steps;
use super::{output, progress};

/// Plays a recording twice, watches the rules, compares with what was decided, and tells what happened second by second.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "play")]
pub struct Play {
    /// lines of `stall --record`, `bourse --record` or `porter --record`, alone or as a collector of logs prints them; or a folder of
    /// such files
    #[argh(positional)]
    file: PathBuf,
    /// of this machine, or of this process on it, as the recording or the collector names it
    #[argh(option)]
    node: Option<String>,
    /// all processes, a line for each life in place of the table
    #[argh(switch)]
    all: bool,
    /// one life or term of the process, from 1 on; else all
    #[argh(option)]
    life: Option<usize>,
    /// count one function only
    #[argh(option)]
    service: Option<String>,
    /// print every output, with its time in nanoseconds, in place of the table
    #[argh(switch)]
    outs: bool,
    /// stop at the first input for which this holds, and show what it does: at=SECONDS, line=N, breach, ask=ID, in=KIND, out=KIND
    #[argh(option)]
    until: Option<Until>,
    /// show so many inputs from there on; 1 where left out
    #[argh(option, default = "1")]
    steps: usize,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// objects, one a line
    #[argh(switch)]
    json: bool,
}

/// What of one life is counted.
enum Counts {
    Coordinator(Table, Box<Check>),
    Scaler(Rounds),
    Round(Box<Feeds>),
}

impl Counts {
    fn of(entry: &Entry, service: Option<&str>) -> Self {
        match entry {
            Entry::Coordinator(_) => Counts::Coordinator(Table::new(service), Box::default()),
            Entry::Scaler(_) => Counts::Scaler(Rounds::new(service)),
            Entry::Round(_) => Counts::Round(Box::default()),
        }
    }

    fn see(&mut self, event: &Event<'_>) {
        match (self, event) {
            (Counts::Coordinator(table, check), Event::Coordinator(step)) => {
                table.see(step);
                check.see(step);
            }
            (Counts::Scaler(rounds), Event::Scaler(turn)) => rounds.see(turn),
            (Counts::Round(feeds), Event::Round(pass)) => feeds.see(pass),
            _ => {}
        }
    }

    /// How often a rule was broken so far.
    fn broken(&self) -> usize {
        match self {
            Counts::Coordinator(_, check) => Rule::ALL.iter().map(|rule| check.count(*rule)).sum(),
            Counts::Scaler(_) => 0,
            Counts::Round(feeds) => {
                millpost_replay::feeds::Must::ALL.iter().map(|must| feeds.count(*must)).sum()
            }
        }
    }
}

fn heading(life: usize, read: &Read) -> String {
    let who = match &read.entry {
        Entry::Coordinator(entry) => match &entry.input {
            Input::New { me, .. } => format!("the desk of {} in {}", me.name, me.zone),
            _ => String::new(),
        },
        Entry::Scaler(_) => "a scaler".to_owned(),
        Entry::Round(entry) => match &entry.input {
            millpost_agent::Input::New(terms) => format!("the porter of {}", terms.name),
            _ => String::new(),
        },
    };
    let collected = read.collected.map_or(String::new(), |at| format!(", at {at:.3} of the collector's"));
    let at = read.entry.at() as f64 / SECOND as f64;
    format!("life {life}: {who}, from line {} at {at:.3} s{collected}", read.line)
}

/// What goes on in one process.
struct Going {
    counts: Counts,
    life: usize,
    inputs: usize,
    heading: String,
}

impl Play {
    /// Does it. Whether all rules were kept, and all was decided as it was recorded.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { node: self.node.clone(), lenient: self.lenient, all: self.all };
        let mut lines = Lines::open(&self.file, which)?;
        lines.tell(progress(&self.file)("played"));
        let mut out = BufWriter::new(std::io::stdout().lock());
        let mut steps =
            self.until.clone().map(|until| Steps::new(until, self.steps, self.service.clone(), self.json));
        let how = How { life: self.life, twins: true, reasons: steps.is_some() };
        let mut going: std::collections::BTreeMap<usize, Going> = std::collections::BTreeMap::new();
        let mut good = true;
        let played = play_so(&mut lines, &how, |event| {
            if let Event::Begins { life, read } = &event {
                if let Some(over) = going.remove(&read.source) {
                    good &= self.end(over, &mut out, steps.is_some())?;
                }
                let heading = heading(*life, read);
                if !self.brief(steps.is_some()) {
                    writeln!(out, "{heading}").map_err(output)?;
                }
                let counts = Counts::of(&read.entry, self.service.as_deref());
                going.insert(read.source, Going { counts, life: *life, inputs: 0, heading });
                return Ok(());
            }
            let node = match &event {
                Event::Begins { .. } => return Ok(()),
                Event::Coordinator(step) => step.node,
                Event::Scaler(turn) => turn.node,
                Event::Round(pass) => pass.node,
            };
            let Some(of) = going.get_mut(&node.0) else { return Ok(()) };
            let before = of.counts.broken();
            of.counts.see(&event);
            of.inputs += 1;
            if self.outs {
                self.print(&event, &mut out)?;
            }
            match &mut steps {
                Some(steps) => steps.see(&event, of.counts.broken() - before, &mut out),
                None => Ok(()),
            }
        });
        let played = match played {
            Err(Error::Enough) => return out.flush().map(|()| true).map_err(output),
            played => played?,
        };
        for over in std::mem::take(&mut going).into_values() {
            good &= self.end(over, &mut out, steps.is_some())?;
        }
        if steps.is_some() {
            out.flush().map_err(output)?;
            eprintln!("nothing of that in the recording");
            return Ok(false);
        }
        let last = if self.json { summed(&played, &lines) } else { said(&played, &lines) };
        if self.outs {
            out.flush().map_err(output)?;
            eprintln!("{last}");
        } else {
            writeln!(out, "{last}").map_err(output)?;
            out.flush().map_err(output)?;
        }
        Ok(good && played.unlike.is_empty())
    }

    /// No tables.
    fn brief(&self, steps: bool) -> bool {
        self.outs || self.all || self.json || steps
    }

    fn print(&self, event: &Event<'_>, out: &mut impl Write) -> Result<(), Error> {
        let all: Vec<String> = match event {
            Event::Begins { .. } => Vec::new(),
            Event::Coordinator(s) => {
                s.outs.iter().map(|one| outs::desk(s.at, s.line, s.life, one, s.numbers)).collect()
            }
            Event::Scaler(t) => t.outs.iter().map(|one| outs::scaler(t.at, t.line, t.life, one)).collect(),
            Event::Round(p) => p.outs.iter().map(|one| outs::round(p.at, p.line, p.life, one)).collect(),
        };
        all.iter().try_for_each(|line| writeln!(out, "{line}").map_err(output))
    }

    /// Tells what a life came to. Whether all rules were kept.
    fn end(&self, of: Going, out: &mut impl Write, steps: bool) -> Result<bool, Error> {
        let (good, life) = (of.counts.broken() == 0, of.life);
        let mut put = |text: &str| writeln!(out, "{text}").map_err(output);
        if steps {
            return Ok(good);
        }
        if self.all && !self.json {
            let word =
                if good { "rules kept".to_owned() } else { format!("BROKEN {} times", of.counts.broken()) };
            put(&format!("{}: {} inputs, {word}", of.heading, of.inputs))?;
            return Ok(good);
        }
        if self.json && !self.outs {
            let all = match of.counts {
                Counts::Scaler(rounds) => rows::scaler(life, rounds),
                Counts::Round(feeds) => [rows::round(life, &feeds), rows::musts(life, &feeds)].concat(),
                Counts::Coordinator(table, check) => {
                    [rows::desk(life, table), rows::rules(life, &check)].concat()
                }
            };
            all.iter().try_for_each(|line| put(line))?;
            return Ok(good);
        }
        let text = match of.counts {
            Counts::Scaler(rounds) => rounds.text(),
            Counts::Round(feeds) => feeds.text().0,
            Counts::Coordinator(table, check) => {
                let mut text = table.text();
                judged(&check, &mut text);
                text
            }
        };
        if !self.outs {
            put(&text)?;
        } else if !good {
            eprint!("{text}");
        }
        Ok(good)
    }
}

/// How the whole has gone.
fn said(played: &Played, lines: &Lines<'_>) -> String {
    let of = lines.of().filter(|of| !of.is_empty() && lines.sources().len() == 1);
    let of = of.map_or(String::new(), |of| format!(" of {of}"));
    let mut last = format!("{} inputs{of} played twice, the same both times", played.inputs);
    for (n, what) in missing(lines) {
        if n > 0 {
            last.push_str(&format!("; {n} {what}"));
        }
    }
    if played.same > 0 {
        last.push_str(&format!("\n{} outputs are those of the day, to the bit", played.same));
    }
    for unlike in &played.unlike {
        let (from, to) = unlike.lines;
        let lines = if from == to { format!("line {from}") } else { format!("lines {from} to {to}") };
        let of = if unlike.of.is_empty() { String::new() } else { format!("{}, ", unlike.of) };
        last.push_str(&format!(
            "\nDECIDED OTHERWISE on the day: {of}life {}, {lines}, {:.6} s: {}",
            unlike.life,
            unlike.at as f64 / SECOND as f64,
            unlike.what
        ));
    }
    last
}

fn missing(lines: &Lines<'_>) -> [(u64, &'static str); 5] {
    let [bound, unread] = lines.left_out;
    [
        (lines.passed_over as u64, "lines of something else"),
        (lines.spoilt as u64, "lines spoilt or missing"),
        (lines.cut_off as u64, "lines cut off at the end of a life"),
        (bound, "lines left out for the bound"),
        (unread, "lines left out that nobody read in time"),
    ]
}

fn summed(played: &Played, lines: &Lines<'_>) -> String {
    let mut line = Line::new();
    line.whole("inputs", played.inputs as u64).whole("lives", played.lives as u64);
    line.whole("same", played.same);
    let keys = ["passed_over", "spoilt", "cut_off", "left_out", "unread"];
    for (key, (n, _)) in keys.into_iter().zip(missing(lines)) {
        line.whole(key, n);
    }
    line.list("unlike", &played.unlike, |out, unlike| {
        part(out, |line| {
            line.text("of", &unlike.of).whole("life", unlike.life as u64);
            line.whole("from", unlike.lines.0 as u64).whole("to", unlike.lines.1 as u64);
            line.time("at", unlike.at).text("what", &unlike.what);
        });
    });
    line.end()
}

fn judged(check: &Check, text: &mut String) {
    for rule in Rule::ALL {
        let count = check.count(rule);
        let word = if count == 0 { "kept".to_owned() } else { format!("broken {count} times") };
        text.push_str(&format!("{:<36} {word}", rule.word()));
        if rule == Rule::Doubled && check.retries > 0 {
            let late = check.latest as f64 / MS as f64;
            text.push_str(&format!("; {} retries, at most {late:.1} ms late", check.retries));
        }
        text.push('\n');
        for breach in check.breaches().iter().filter(|b| b.rule == rule) {
            let at = breach.at as f64 / SECOND as f64;
            text.push_str(&format!("  line {}, {at:.6} s: {}\n", breach.line, breach.what));
        }
    }
    if check.strays > 0 {
        text.push_str(&format!(
            "{} tries were sent in the recording that this play did not grant\n",
            check.strays
        ));
    }
}
