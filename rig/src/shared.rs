//! What sharing brings: the same days with dispatchers that share and that do not, in turns, for a growing number of them.
//! One day has more to deliver than two destinations take, the other an endpoint that is silent for a while.

use std::path::Path;

use millpost_standins::plan::Plan;
use serde::Serialize;

use crate::play::{self, Outcome, Watch};
use crate::proc::Deal;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most dispatchers; halved down to the least.
    pub most: usize,
    pub least: usize,
    /// Times that each is played.
    pub turns: u32,
    pub seed: u64,
}

/// One number of dispatchers, shared or alone: medians over the turns.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub dispatchers: usize,
    pub shared: bool,
    /// Of the overload: calls, share above the limit with its least and most, messages delivered and bounced.
    pub calls: f64,
    pub over: [f64; 3],
    pub delivered: f64,
    pub bounced: f64,
    pub p50_ms: f64,
    pub cpu_us: f64,
    /// Datagrams and bytes a second for each dispatcher.
    pub datagrams: f64,
    pub bytes: f64,
    /// Of the outage: calls to what was down, with their least and most, and messages delivered.
    pub down: [f64; 3],
    pub delivered_beside: f64,
    pub broken: u64,
}

const CLASSES: &str =
    "[[service.classes]]\nname = \"loan-status\"\neffect = \"safe\"\naim_ms = 2000\ndeadline_ms = 8000\n";

fn plan(o: &Options, turn: u32, dispatchers: usize, shared: bool, outage: bool) -> Result<Plan, String> {
    let tier = if shared { "enabled = true" } else { "" };
    let seed = o.seed + u64::from(turn);
    let head = format!(
        "name = \"shared\"\nseed = {seed}\nseconds = 12.0\n[dispatchers]\ncount = {dispatchers}\ntier = \"{tier}\"\n"
    );
    let day = if outage {
        "[service]\nslots = 32\nweights = \"unknown\"\n[load]\nper_second = 300.0\n[partners]\ndestinations = 2\n\
         endpoints = 3\nlatency_ms = 20.0\n[[fault]]\nat = 3.0\nfor = 6.0\nwhere = \"destination 0\"\nwhat = \"silent\"\n"
    } else {
        "[service]\nslots = 32\nweights = \"unknown\"\n[load]\nper_second = 200.0\n[partners]\ndestinations = 2\n\
         endpoints = 2\nlatency_ms = 20.0\nper_second = 60.0\nwindow_ms = 1000\n[[fault]]\nat = 4.0\nfor = 2.0\n\
         where = \"destination 1\"\nwhat = \"refuse\"\n"
    };
    Plan::parse("the plan of sharing", &format!("{head}{day}{CLASSES}")).map_err(|e| e.to_string())
}

/// Median, least and most.
fn spread(mut all: Vec<f64>) -> [f64; 3] {
    all.sort_by(f64::total_cmp);
    [all[all.len() / 2], all[0], all[all.len() - 1]]
}

/// Plays all days.
///
/// # Errors
/// A text that says why a day could not be played.
pub async fn measure(
    o: &Options,
    program: &Path,
    deal: &Deal,
    watch: &Watch<'_>,
    done: impl Fn(&Row),
) -> Result<Vec<Row>, String> {
    let numbers = std::iter::successors(Some(o.most), |n| (n / 2 >= o.least.max(1)).then_some(n / 2));
    let mut rows = Vec::new();
    for dispatchers in numbers.collect::<Vec<_>>().into_iter().rev() {
        let mut days: [Vec<(Outcome, Outcome)>; 2] = Default::default();
        for turn in 0..o.turns.max(1) {
            for shared in [false, true] {
                let play = async |outage| {
                    let plan = plan(o, turn, dispatchers, shared, outage)?;
                    play::play(&plan, program, deal, watch).await.map_err(|e| e.to_string())
                };
                days[usize::from(shared)].push((play(false).await?, play(true).await?));
            }
        }
        for (shared, days) in [(false, &days[0]), (true, &days[1])] {
            let of = |figure: &dyn Fn(&(Outcome, Outcome)) -> f64| spread(days.iter().map(figure).collect());
            let each = |o: &Outcome, n: u64| n as f64 / o.lasted / dispatchers as f64;
            let row = Row {
                dispatchers,
                shared,
                calls: of(&|d| d.0.verdict.calls as f64)[0],
                over: of(&|d| d.0.over_limit as f64 / (d.0.verdict.calls as f64).max(1.0)),
                delivered: of(&|d| d.0.verdict.delivered as f64)[0],
                bounced: of(&|d| d.0.verdict.bounced as f64)[0],
                p50_ms: of(&|d| d.0.delivered_ms.p50)[0],
                cpu_us: of(&|d| {
                    d.0.costs.iter().map(|c| c.cpu_us_a_message).sum::<f64>() / d.0.costs.len() as f64
                })[0],
                datagrams: of(&|d| each(&d.0, d.0.datagrams.0))[0],
                bytes: of(&|d| each(&d.0, d.0.datagrams.1))[0],
                down: of(&|d| d.1.to_what_is_down as f64),
                delivered_beside: of(&|d| d.1.verdict.delivered as f64)[0],
                broken: days.iter().map(|d| d.0.verdict.rules_broken() + d.1.verdict.rules_broken()).sum(),
            };
            done(&row);
            rows.push(row);
        }
    }
    Ok(rows)
}

/// The head of the table.
pub const HEAD: &str = "   of  shared   calls      over the limit   delivered  bounced   p50 ms  CPU us  \
                        datagrams  bytes/s    calls to what is down  delivered  rules broken";

/// A line of it.
pub fn line(r: &Row) -> String {
    let [over, over_least, over_most] = r.over.map(|share| share * 100.0);
    let [down, down_least, down_most] = r.down;
    format!(
        "{:>5}  {:>6}  {:>6.0}  {over:>5.1} % ({over_least:.1} to {over_most:.1})  {:>9.0}  {:>7.0}  {:>7.1}  {:>6.0}  {:>9.1}  \
         {:>7.0}  {down:>6.0} ({down_least:.0} to {down_most:.0})  {:>9.0}  {:>6}",
        r.dispatchers,
        if r.shared { "yes" } else { "no" },
        r.calls,
        r.delivered,
        r.bounced,
        r.p50_ms,
        r.cpu_us,
        r.datagrams,
        r.bytes,
        r.delivered_beside,
        r.broken
    )
}
