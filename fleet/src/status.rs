//! What the consoles said, as one table: a row for each dispatcher, by its own word and by that of most others. No I/O.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use millpost_tier::versions::{ActiveVersions, KINDS, Kind};
use serde::{Deserialize, Serialize};

/// One dispatcher as another sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct Seen {
    number: u16,
    turned_down: u32,
    found_behind: Option<Kind>,
    kinds: BTreeMap<String, View>,
}

/// One kind of it.
#[derive(Clone, Debug, Deserialize)]
struct View {
    view: String,
    held_ms: Option<u64>,
}

/// What a console says.
#[derive(Clone, Debug, Deserialize)]
pub struct Said {
    name: String,
    number: u16,
    of: u16,
    serves: bool,
    standing: ActiveVersions,
    rows: Vec<Seen>,
}

/// How a dispatcher is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// It acts on what most act on, and serves.
    Current,
    /// It acts on something else, of which it can't be said that it is older.
    Apart,
    /// It turned down what most act on.
    TurnedDown,
    /// It acts on what most have left.
    Behind,
    /// It takes no messages for that.
    ShutOut,
    /// Nobody can tell.
    Unknown,
    /// Its console does not answer.
    Silent,
}

impl How {
    fn text(self) -> &'static str {
        match self {
            How::Current => "current",
            How::Apart => "apart",
            How::TurnedDown => "turned down",
            How::Behind => "BEHIND",
            How::ShutOut => "SHUT OUT",
            How::Unknown => "unknown",
            How::Silent => "NO ANSWER",
        }
    }
}

/// One row.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its console.
    pub console: SocketAddr,
    /// Its number and name, where it answers.
    pub number: Option<u16>,
    /// See there.
    pub name: String,
    /// How it is, all in all.
    pub how: How,
    /// On which kinds it is not current, and how, as most of the others see it.
    pub kinds: BTreeMap<&'static str, How>,
    /// What it acts on.
    pub standing: Option<ActiveVersions>,
    /// How long it has acted on each, milliseconds; none where nobody knows.
    pub held_ms: BTreeMap<&'static str, Option<u64>>,
    /// Why there is nothing, where there is nothing.
    pub why: Option<String>,
}

/// Several versions of one kind, each with who acts on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RollOut {
    /// Of what.
    pub kind: Kind,
    /// By digest, the most common first.
    pub on: Vec<(u32, Vec<u16>)>,
    /// Who turned one down.
    pub turned_down: Vec<u16>,
}

/// The table.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// A row for each console.
    pub rows: Vec<Row>,
    /// Kinds on which the fleet is in several parts.
    pub roll_outs: Vec<RollOut>,
    /// How many dispatchers there are by their configuration.
    pub of: u16,
    /// Of those the numbers that no console answered for.
    pub unheard: Vec<u16>,
}

/// Puts it together.
pub fn status(answers: Vec<(SocketAddr, Result<serde_json::Value, String>)>) -> Status {
    let said: Vec<(SocketAddr, Result<Said, String>)> = answers
        .into_iter()
        .map(|(console, answer)| {
            let said = answer.and_then(|value| {
                serde_json::from_value(value).map_err(|e| format!("its answer can't be read: {e}"))
            });
            (console, said)
        })
        .collect();
    let all: Vec<&Said> = said.iter().filter_map(|(_, said)| said.as_ref().ok()).collect();
    let of = all.iter().map(|said| said.of).max().unwrap_or(0);
    let mut rows: Vec<Row> = said.iter().map(|(console, said)| row(*console, said, &all)).collect();
    rows.sort_by_key(|row| (row.number.is_none(), row.number, row.console));
    let unheard = (0..of).filter(|number| !all.iter().any(|said| said.number == *number)).collect();
    Status { rows, roll_outs: roll_outs(&all), of, unheard }
}

/// What most of those who can tell say of one kind of a dispatcher.
fn common(of: u16, kind: Kind, all: &[&Said]) -> How {
    let mut counts: BTreeMap<How, usize> = BTreeMap::new();
    for said in all {
        let seen = said.rows.iter().find(|seen| seen.number == of);
        let Some(view) = seen.and_then(|seen| seen.kinds.get(kind.name())) else { continue };
        let how = match view.view.as_str() {
            "current" => How::Current,
            "apart" => How::Apart,
            "behind" => How::Behind,
            "turned_down" => How::TurnedDown,
            _ => continue,
        };
        *counts.entry(how).or_default() += 1;
    }
    // Of as many the worse.
    counts.into_iter().max_by_key(|(how, count)| (*count, *how)).map_or(How::Unknown, |(how, _)| how)
}

fn row(console: SocketAddr, said: &Result<Said, String>, all: &[&Said]) -> Row {
    let (kinds, held_ms) = (BTreeMap::new(), BTreeMap::new());
    let empty = Row {
        console,
        number: None,
        name: String::new(),
        how: How::Silent,
        kinds,
        standing: None,
        held_ms,
        why: None,
    };
    let said = match said {
        Ok(said) => said,
        Err(why) => return Row { why: Some(why.clone()), ..empty },
    };
    let kinds: BTreeMap<&'static str, How> =
        KINDS.iter().map(|kind| (kind.name(), common(said.number, *kind, all))).collect();
    let own = said.rows.iter().find(|seen| seen.number == said.number);
    let held = |kind: &Kind| own.and_then(|own| own.kinds.get(kind.name())).and_then(|view| view.held_ms);
    let worst = kinds.values().copied().filter(|how| *how != How::Unknown).max();
    let how = if said.serves { worst.unwrap_or(How::Unknown) } else { How::ShutOut };
    let found = all.iter().flat_map(|s| &s.rows).find(|seen| seen.number == said.number);
    let found = found.and_then(|seen| seen.found_behind);
    let why = (how == How::ShutOut).then(|| match found {
        Some(kind) => format!("most find it behind on its {}", kind.name()),
        None => "it has caught up, and comes back soon".to_owned(),
    });
    Row {
        number: Some(said.number),
        name: said.name.clone(),
        how,
        standing: Some(said.standing),
        held_ms: KINDS.iter().map(|kind| (kind.name(), held(kind))).collect(),
        kinds,
        why,
        ..empty
    }
}

/// Kinds with two versions or more, of which another than the most common has two dispatchers at least.
fn roll_outs(all: &[&Said]) -> Vec<RollOut> {
    let mut found = Vec::new();
    for kind in KINDS {
        let mut on: BTreeMap<u32, Vec<u16>> = BTreeMap::new();
        for said in all {
            on.entry(said.standing.version(kind).digest).or_default().push(said.number);
        }
        let mut on: Vec<_> = on.into_iter().collect();
        on.sort_by_key(|(digest, who)| (std::cmp::Reverse(who.len()), *digest));
        let refused =
            |said: &&&Said| said.rows.iter().any(|seen| seen.number == said.number && seen.turned_down != 0);
        let turned_down: Vec<u16> = match kind {
            Kind::Settings => all.iter().filter(refused).map(|said| said.number).collect(),
            _ => Vec::new(),
        };
        if on.get(1).is_some_and(|(_, who)| who.len() > 1) || !turned_down.is_empty() {
            found.push(RollOut { kind, on, turned_down });
        }
    }
    found
}

fn span(ms: Option<u64>) -> String {
    match ms {
        None => "?".to_owned(),
        Some(ms) if ms < 120_000 => format!("{:.1}s", ms as f64 / 1e3),
        Some(ms) if ms < 7_200_000 => format!("{:.0}m", ms as f64 / 6e4),
        Some(ms) => format!("{:.0}h", ms as f64 / 3.6e6),
    }
}

impl Status {
    /// All answer, all serve, and all are current.
    pub fn is_well(&self) -> bool {
        self.rows.iter().all(|row| row.how == How::Current)
            && self.roll_outs.is_empty()
            && self.unheard.is_empty()
    }

    /// As text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let head = ["list", "settings", "cordons", "program"];
        let _ = writeln!(
            text,
            "{:>4} {:<12} {:<12} {:<24} {:<24} {:<24} {:<18} {:>5}",
            "no", "name", "how", head[0], head[1], head[2], head[3], "epoch"
        );
        for row in &self.rows {
            let Some(standing) = &row.standing else {
                let why = row.why.as_deref().unwrap_or_default();
                let _ = writeln!(text, "{:>4} {:<12} {:<12} {why}", "?", row.console, row.how.text());
                continue;
            };
            let kind = |kind: Kind| {
                let stamp = standing.version(kind);
                let how = row.kinds.get(kind.name()).copied().unwrap_or(How::Unknown);
                let mark = if how == How::Current { String::new() } else { format!(" {}", how.text()) };
                let index = if kind == Kind::List { format!("#{} ", standing.index) } else { String::new() };
                let held = span(row.held_ms.get(kind.name()).copied().flatten());
                format!("{index}{:08x} {held}{mark}", stamp.digest)
            };
            let number = row.number.map_or("?".to_owned(), |number| number.to_string());
            let _ = writeln!(
                text,
                "{number:>4} {:<12} {:<12} {:<24} {:<24} {:<24} {:<18} {:>5}",
                row.name,
                row.how.text(),
                kind(Kind::List),
                kind(Kind::Settings),
                kind(Kind::Cordons),
                format!("layout {}", standing.program.generation),
                standing.epoch
            );
            if let Some(why) = &row.why {
                let _ = writeln!(text, "     {why}");
            }
        }
        for roll_out in &self.roll_outs {
            let on: Vec<String> =
                roll_out.on.iter().map(|(digest, who)| format!("{digest:08x}: {who:?}")).collect();
            let _ =
                writeln!(text, "the fleet is in parts on its {}: {}", roll_out.kind.name(), on.join("; "));
            if !roll_out.turned_down.is_empty() {
                let _ = writeln!(text, "  turned down by {:?}", roll_out.turned_down);
            }
        }
        if !self.unheard.is_empty() {
            let _ = writeln!(text, "of {} dispatchers nothing is known of {:?}", self.of, self.unheard);
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use serde_json::{Value, json};

    use super::*;

    fn said(number: u16, digest: u32, serves: bool, views: &[&str], down: bool) -> Value {
        let mut standing = ActiveVersions { epoch: 3, index: 7, ..ActiveVersions::default() };
        standing.set_version(Kind::Settings, digest);
        let rows: Vec<Value> = (0_u16..)
            .zip(views)
            .map(|(n, view)| {
                let kind = |view: &str| json!({"view": view, "held_ms": 1_500});
                let kinds = json!({"list": kind("current"), "settings": kind(view), "cordons": kind("current"),
                                   "program": kind("current")});
                let found = (*view == "behind").then_some("settings");
                let down = if down && n == number { 9 } else { 0 };
                json!({"number": n, "turned_down": down, "found_behind": found, "kinds": kinds,
                       "standing": standing})
            })
            .collect();
        json!({"name": format!("n{number}"), "number": number, "of": views.len(), "serves": serves, "epoch": 3,
               "standing": standing, "rows": rows, "wall_ns": 1})
    }

    fn at(n: u16) -> SocketAddr {
        ([127, 0, 0, 1], 1_000 + n).into()
    }

    #[test]
    fn a_straggler_is_one_row_and_a_roll_out_that_goes_wrong_is_no_row_of_stragglers() {
        let views = ["current", "current", "current", "behind"];
        let answers =
            (0..4).map(|n| (at(n), Ok(said(n, if n == 3 { 1 } else { 2 }, n != 3, &views, false)))).collect();
        let found = status(answers);
        assert!(!found.is_well() && found.roll_outs.is_empty() && found.unheard.is_empty());
        let hows: Vec<How> = found.rows.iter().map(|row| row.how).collect();
        assert_eq!(hows, [How::Current, How::Current, How::Current, How::ShutOut]);
        let text = found.text();
        assert!(text.contains("most find it behind on its settings") && text.contains("SHUT OUT"), "{text}");
        let views = ["apart"; 4];
        let answers =
            (0..4).map(|n| (at(n), Ok(said(n, u32::from(n / 2) + 1, true, &views, n > 1)))).collect();
        let found = status(answers);
        assert_eq!(found.roll_outs.len(), 1);
        assert_eq!(found.roll_outs[0].on, [(1, vec![0, 1]), (2, vec![2, 3])]);
        assert_eq!(found.roll_outs[0].turned_down, [2, 3]);
        assert!(found.text().contains("in parts on its settings"), "{}", found.text());
    }

    #[test]
    fn who_does_not_answer_is_said_and_what_can_t_be_read_is_no_row() {
        let views = ["current"; 3];
        let answers = vec![
            (at(0), Ok(said(0, 1, true, &views, false))),
            (at(1), Err("connection refused".to_owned())),
            (at(2), Ok(json!({"name": 5}))),
        ];
        let found = status(answers);
        assert!(!found.is_well());
        assert_eq!(found.unheard, [1, 2]);
        assert_eq!(found.rows.iter().filter(|row| row.how == How::Silent).count(), 2);
        assert!(found.text().contains("connection refused") && found.text().contains("can't be read"));
        assert!(status(Vec::new()).rows.is_empty());
    }
}
