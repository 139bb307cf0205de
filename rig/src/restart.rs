//! The rolling restart at high load: two dispatchers, one after the other told to end and started again, against the
//! same load without a restart and against what one dispatcher must refuse by arithmetic.

use std::path::Path;

use millpost_standins::plan::Plan;
use serde::Serialize;

use crate::play::{self, Outcome, Watch};
use crate::proc::Deal;

/// What is compared.
#[derive(Clone, Debug, Serialize)]
pub struct Restart {
    pub calm: Outcome,
    pub rolling: Outcome,
    /// Calls a second that one dispatcher's slots carry, by arithmetic.
    pub carried: f64,
    /// Messages that one dispatcher's hold and slots must turn away while the other is down.
    pub forced: f64,
    /// Messages that were offered and not delivered within the aim, beyond those without a restart.
    pub lost_to_it: i64,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Messages a second, both dispatchers together.
    pub rate: f64,
    /// Median time of a partner to answer, milliseconds.
    pub latency_ms: f64,
    /// Connections a second to each dispatcher that never send a byte.
    pub silent: f64,
    /// A thousand health calls come while a dispatcher is down, and before.
    pub crowd: bool,
    pub seed: u64,
}

/// Each dispatcher is down for so long, seconds.
const DOWN: f64 = 4.3;
/// The logarithm of partners' answers deviates so far.
const SPREAD: f64 = 0.6;

/// The plan of the restart; `rolling` is false for the same day without.
fn plan(o: &Options, rolling: bool) -> Result<Plan, String> {
    let Options { rate, latency_ms, silent, crowd, seed } = *o;
    let mut text = format!(
        "name = \"rolling restart at {rate:.0} a second\"\nseed = {seed}\nseconds = 24.0\n\
         [service]\nslots = 38\nhold = 200\nsockets = 384\nweights = \"unknown\"\n\
         [load]\nper_second = {rate:?}\nretries = 3\nfront_notices_ms = 1500\nsilent_per_second = {silent:?}\n\
         [partners]\ndestinations = 12\nendpoints = 2\nlatency_ms = {latency_ms:?}\nspread = {SPREAD:?}\n"
    );
    let mut fault = |at: f64, lasts: f64, node: usize, what: &str| {
        text += &format!(
            "[[fault]]\nat = {at:?}\nfor = {lasts:?}\nwhere = \"dispatcher {node}\"\nwhat = \"{what}\"\n"
        );
    };
    for (at, node) in [(5.0, 0), (13.0, 1)].into_iter().filter(|_| rolling) {
        fault(at, DOWN, node, "terminate");
    }
    for (at, node) in [(5.0, 1), (13.0, 0)].into_iter().filter(|_| crowd) {
        fault(at, 2.0, node, "crowd");
    }
    Plan::parse("the restart's plan", &text).map_err(|e| e.to_string())
}

/// Plays both days.
///
/// # Errors
/// A text that says why a day could not be played.
pub async fn measure(o: &Options, program: &Path, deal: &Deal, watch: &Watch<'_>) -> Result<Restart, String> {
    let play = async |rolling| {
        let plan = plan(o, rolling)?;
        play::play(&plan, program, deal, watch).await.map_err(|e| e.to_string())
    };
    let calm = play(false).await?;
    let rolling = play(true).await?;
    // One dispatcher's slots carry so many calls a second; what comes beyond that fills the hold, then is refused.
    let service = plan(o, true)?.service;
    // The mean of a log-normal time.
    let mean_s = o.latency_ms * (SPREAD * SPREAD / 2.0).exp() / 1e3;
    let carried = service.slots as f64 / mean_s.max(1e-6);
    let forced = ((o.rate - carried) * DOWN - service.hold as f64).max(0.0) * 2.0;
    let missed = |o: &Outcome| o.clients.offered as i64 - o.verdict.in_aim as i64;
    let lost_to_it = missed(&rolling) - missed(&calm);
    Ok(Restart { calm, rolling, carried, forced, lost_to_it })
}
