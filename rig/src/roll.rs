//! What it costs to say what each acts on and to record what is decided: the same load with neither, with each and with both,
//! in turns. And runs with faults, in which the merged audit is held against what the auditor's partners counted.

use std::path::{Path, PathBuf};

use millpost_audit::audit;
use millpost_audit::audit::Progress;
use millpost_standins::plan::Plan;
use serde::Serialize;

use crate::play::{self, Outcome, Watch};
use crate::proc::Deal;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Times that each is played.
    pub turns: u32,
    /// Runs with faults.
    pub runs: u32,
    /// Messages a second, both dispatchers together.
    pub rate: f64,
    pub seed: u64,
}

/// What dispatchers do beside their work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Beside {
    Nothing,
    Record,
    Share,
    Roll,
    RollAndRecord,
}

const ALL: [Beside; 5] =
    [Beside::Nothing, Beside::Record, Beside::Share, Beside::Roll, Beside::RollAndRecord];

/// One of them: medians over the turns, with the least and the most of the CPU.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub beside: Beside,
    pub cpu_us: [f64; 3],
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub datagrams: f64,
    /// Records, decisions and bytes of the log, for each message and for each decision.
    pub decisions_a_message: f64,
    pub bytes_a_decision: f64,
    pub broken: u64,
}

/// What came of the runs with faults.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Runs {
    pub runs: u32,
    /// Calls that partners saw, and that the audit has.
    pub seen: u64,
    pub noted: u64,
    /// Runs in which partners saw more.
    pub short: u32,
    /// Breaches that the audit found, rules that the auditor saw broken, and runs in which the audit said of a gap.
    pub breaches: u64,
    pub broken: u64,
    pub gaps: u32,
    /// Times that a dispatcher was shut out.
    pub outages: u64,
}

const CLASSES: &str = "[[service.classes]]\nname = \"loan-status\"\neffect = \"safe\"\naim_ms = 2000\ndeadline_ms = 6000\n\
                       [[service.classes]]\nname = \"licence-order\"\neffect = \"unsafe\"\naim_ms = 2000\ndeadline_ms = 6000\n";

/// The lines of the settings, from within `[tier]` on.
fn settings(beside: Beside, folder: &Path) -> String {
    let record =
        format!("[audit]\\nenabled = true\\nbudget_mb = 64\\nfolder = '{}/n{{node}}'", folder.display());
    let roll =
        "enabled = true\\n[fleet]\\nenabled = true\\nlist_ms = 2000\\nask_again_ms = 500\\nreturn_ms = 500";
    match beside {
        Beside::Nothing => String::new(),
        Beside::Record => record,
        Beside::Share => "enabled = true".to_owned(),
        Beside::Roll => roll.to_owned(),
        Beside::RollAndRecord => format!("{roll}\\n{record}"),
    }
}

fn plan(seed: u64, nodes: usize, tier: &str, seconds: f64, more: &str) -> Result<Plan, String> {
    let head = format!(
        "name = \"roll\"\nseed = {seed}\nseconds = {seconds}\n[dispatchers]\ncount = {nodes}\ntier = \"{tier}\"\n"
    );
    Plan::parse("the plan of the roll", &format!("{head}{more}{CLASSES}")).map_err(|e| e.to_string())
}

fn folders(dir: &Path, nodes: usize) -> Vec<PathBuf> {
    (0..nodes).map(|n| dir.join(format!("n{n}"))).collect()
}

/// Plays the load with each.
///
/// # Errors
/// A text that says why it could not be played.
pub async fn cost(
    o: &Options,
    program: &Path,
    deal: &Deal,
    watch: &Watch<'_>,
    done: impl Fn(&Row),
) -> Result<Vec<Row>, String> {
    let mut played: Vec<Vec<(Outcome, u64, u64)>> = ALL.iter().map(|_| Vec::new()).collect();
    for turn in 0..o.turns.max(1) {
        for (beside, played) in ALL.iter().zip(&mut played) {
            let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
            let more = format!(
                "[load]\nper_second = {}\nretries = 0\n[partners]\ndestinations = 8\nendpoints = 2\nlatency_ms = 5.0\n\
                 per_second = 0.0\n[service]\nweights = \"unknown\"\n",
                o.rate
            );
            let plan = plan(o.seed + u64::from(turn), 2, &settings(*beside, dir.path()), 8.0, &more)?;
            let outcome = play::play(&plan, program, deal, watch).await.map_err(|e| e.to_string())?;
            let (mut decisions, mut bytes) = (0, 0);
            if matches!(beside, Beside::Record | Beside::RollAndRecord) {
                let found = audit(&folders(dir.path(), 2), 2, &Progress::default());
                decisions = found.logs.iter().map(|log| log.decisions).sum();
                bytes = found.logs.iter().map(|log| log.bytes).sum();
            }
            played.push((outcome, decisions, bytes));
        }
    }
    let mut rows = Vec::new();
    for (beside, played) in ALL.iter().zip(played) {
        let of = |figure: &dyn Fn(&(Outcome, u64, u64)) -> f64| {
            let mut all: Vec<f64> = played.iter().map(figure).collect();
            all.sort_by(f64::total_cmp);
            [all[all.len() / 2], all[0], all[all.len() - 1]]
        };
        let cpu =
            |o: &Outcome| o.costs.iter().map(|c| c.cpu_us_a_message).sum::<f64>() / o.costs.len() as f64;
        let row = Row {
            beside: *beside,
            cpu_us: of(&|(o, ..)| cpu(o)),
            p50_ms: of(&|(o, ..)| o.taken_ms.p50)[0],
            p99_ms: of(&|(o, ..)| o.taken_ms.p99)[0],
            datagrams: of(&|(o, ..)| o.datagrams.0 as f64 / o.lasted / 2.0)[0],
            decisions_a_message: of(&|(o, decisions, _)| *decisions as f64 / o.verdict.taken.max(1) as f64)
                [0],
            bytes_a_decision: of(&|(_, decisions, bytes)| *bytes as f64 / (*decisions).max(1) as f64)[0],
            broken: played.iter().map(|(o, ..)| o.verdict.rules_broken()).sum(),
        };
        done(&row);
        rows.push(row);
    }
    Ok(rows)
}

/// Plays short days with faults drawn from their seeds.
///
/// # Errors
/// A text that says why one could not be played.
pub async fn runs(o: &Options, program: &Path, deal: &Deal, watch: &Watch<'_>) -> Result<Runs, String> {
    const NODES: usize = 3;
    let mut all = Runs::default();
    for run in 0..o.runs {
        let seed = o.seed + 10_000 + u64::from(run);
        let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
        let mut state = seed;
        let mut draw = |below: u64| {
            // Knuth's multiplier: which faults come is all that hangs on it.
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        let mut faults = String::new();
        for _ in 0..3 {
            let (place, what) = match draw(7) {
                0 => (format!("dispatcher {}", draw(3)), "kill"),
                1 => (format!("dispatcher {}", draw(3)), "pause"),
                2 => (format!("dispatcher {}", draw(3)), "terminate"),
                3 => (format!("endpoint {}/{}", draw(2), draw(2)), "drain"),
                4 => ("discovery".to_owned(), "mute"),
                5 => (format!("peers {}>{}", draw(3), draw(3)), "cut"),
                _ => ("destinations".to_owned(), "reset-after"),
            };
            let share = if what == "reset-after" { "share = 0.02\n" } else { "" };
            let (at, lasts) = (0.5 + draw(20) as f64 / 10.0, 0.3 + draw(12) as f64 / 10.0);
            if !place.starts_with("peers") || place.as_bytes().get(6) != place.as_bytes().get(8) {
                faults += &format!(
                    "[[fault]]\nat = {at:.1}\nfor = {lasts:.1}\nwhere = \"{place}\"\nwhat = \"{what}\"\n{share}"
                );
            }
        }
        let more = format!(
            "[load]\nper_second = 150.0\nretries = 0\n[partners]\ndestinations = 2\nendpoints = 2\nlatency_ms = 5.0\n\
             [service]\nweights = \"unknown\"\n{faults}"
        );
        let plan = plan(seed, NODES, &settings(Beside::RollAndRecord, dir.path()), 3.0, &more)?;
        let outcome = play::play(&plan, program, deal, watch).await.map_err(|e| format!("run {run}: {e}"))?;
        let found = audit(&folders(dir.path(), NODES), 2, &Progress::default());
        let noted: u64 = found.logs.iter().map(|log| log.attempts).sum();
        all.runs += 1;
        all.seen += outcome.verdict.calls;
        all.noted += noted;
        all.short += u32::from(noted < outcome.verdict.calls);
        all.breaches += found.counts.values().sum::<u64>();
        all.broken += outcome.verdict.rules_broken();
        all.gaps += u32::from(found.has_gaps());
        all.outages += found.logs.iter().map(|log| log.outages.len() as u64).sum::<u64>();
        if !found.breaches.is_empty() || noted < outcome.verdict.calls || outcome.verdict.rules_broken() > 0 {
            eprintln!(
                "run {run}, seed {seed}: {:?} {:?}\n{faults}",
                found.breaches.first(),
                outcome.verdict.broken
            );
        }
    }
    Ok(all)
}

/// The head of the table.
pub const HEAD: &str = "          beside    CPU us a message   202 at p50    p99 ms   datagrams/s   decisions a message   \
                        bytes a decision   rules broken";

/// A line of it.
pub fn line(r: &Row) -> String {
    let [cpu, least, most] = r.cpu_us;
    format!(
        "{:>16}   {cpu:>6.1} ({least:.1} to {most:.1})   {:>10.2}   {:>7.2}   {:>11.1}   {:>19.2}   {:>16.1}   {:>12}",
        format!("{:?}", r.beside),
        r.p50_ms,
        r.p99_ms,
        r.datagrams,
        r.decisions_a_message,
        r.bytes_a_decision,
        r.broken
    )
}
