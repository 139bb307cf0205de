//! What was counted by second, and the rules, as lines of JSON: an object for each second, one for each rule.

use millpost_protocol::line::Line;
use millpost_scheduler::MS;

use crate::check::{Check, Rule};
use crate::feeds::{Feeds, Must};
use crate::table::{Rounds, Table};

fn begin(life: usize, second: u64) -> Line {
    let mut line = Line::new();
    line.whole("life", life as u64).whole("second", second);
    line
}

fn wholes(line: &mut Line, keys: &[&str], values: &[usize]) {
    for (key, value) in keys.iter().zip(values) {
        line.whole(key, *value as u64);
    }
}

/// A desk's seconds.
pub fn desk(life: usize, table: Table) -> Vec<String> {
    let (rows, _) = table.rows();
    let of = |(second, row): (u64, crate::table::Row)| {
        let mut line = begin(life, second);
        wholes(&mut line, &["asks", "mail", "granted"], &[row.asks, row.mail, row.granted]);
        wholes(&mut line, &["full", "skip", "spent", "unknown"], &row.refused);
        wholes(&mut line, &["queue", "out"], &[row.queue, row.out]);
        wholes(&mut line, &["boot", "ready", "drain"], &row.stages);
        line.whole("want", row.want.into());
        for (key, part) in [("p50_ms", 50), ("p99_ms", 99)] {
            if let Some(wait) = row.wait(part) {
                line.number(key, wait as f64 / MS as f64);
            }
        }
        line.end()
    };
    rows.into_iter().map(of).collect()
}

/// A scaler's seconds.
pub fn scaler(life: usize, rounds: Rounds) -> Vec<String> {
    let of = |(second, round): (u64, crate::table::Round)| {
        let mut line = begin(life, second);
        line.whole("want", round.want.into());
        wholes(&mut line, &["boot", "ready", "drain"], &round.stages);
        wholes(&mut line, &["starts", "started", "not_started"], &round.starts);
        wholes(&mut line, &["stops", "stopped", "not_stopped"], &round.stops);
        wholes(&mut line, &["gone", "lists"], &[round.gone, round.lists]);
        line.end()
    };
    rounds.rounds().into_iter().map(of).collect()
}

/// A porter's seconds.
pub fn round(life: usize, feeds: &Feeds) -> Vec<String> {
    let of = |(second, row): (u64, crate::feeds::Row)| {
        let mut line = begin(life, second);
        wholes(&mut line, &["lines", "bytes", "letters"], &[row.lines, row.bytes, row.letters]);
        wholes(&mut line, &["opened", "ended", "closed"], &row.feeds);
        wholes(&mut line, &["told", "posted"], &row.notes);
        for (key, value) in ["follow", "revision", "acts", "instances", "fence"].iter().zip(row.stand) {
            line.whole(key, value);
        }
        line.end()
    };
    feeds.rows().into_iter().map(of).collect()
}

fn rule(life: usize, word: &str, broken: usize) -> Line {
    let mut line = Line::new();
    line.whole("life", life as u64).text("rule", word).whole("broken", broken as u64);
    line
}

/// A desk's rules.
pub fn rules(life: usize, check: &Check) -> Vec<String> {
    let of = |of: Rule| {
        let mut line = rule(life, of.word(), check.count(of));
        let breaches = check.breaches().iter().filter(|breach| breach.rule == of);
        line.list("first", breaches, |out, breach| {
            millpost_protocol::line::part(out, |line| {
                line.whole("line", breach.line as u64).time("at", breach.at).text("what", &breach.what);
            });
        });
        line.end()
    };
    Rule::ALL.into_iter().map(of).collect()
}

/// A porter's rules.
pub fn musts(life: usize, feeds: &Feeds) -> Vec<String> {
    Must::ALL.into_iter().map(|of| rule(life, of.word(), feeds.count(of)).end()).collect()
}
