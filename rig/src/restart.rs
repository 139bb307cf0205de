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
    /// Messages that one dispatcher's hold and slots must turn away while the other is down.
    pub forced: f64,
    /// Messages that were offered and not delivered within the aim, beyond those without a restart.
    pub lost_to_it: i64,
}

/// The plan of the restart; `rolling` is false for the same day without.
pub fn plan(rate: f64, latency_ms: f64, seed: u64, rolling: bool) -> Result<Plan, String> {
    let mut text = format!(
        "name = \"rolling restart at {rate:.0} a second\"\nseed = {seed}\nseconds = 24.0\n\
         [service]\nslots = 38\nhold = 200\nsockets = 384\nweights = \"unknown\"\n\
         [load]\nper_second = {rate}\nretries = 3\nfront_notices_ms = 1500\nsilent_per_second = 10.0\n\
         [partners]\ndestinations = 12\nendpoints = 2\nlatency_ms = {latency_ms}\nspread = 0.6\n"
    );
    if rolling {
        for (at, node) in [(5.0, 0), (13.0, 1)] {
            text += &format!(
                "[[fault]]\nat = {at}\nfor = 4.3\nwhere = \"dispatcher {node}\"\nwhat = \"terminate\"\n"
            );
        }
    }
    Plan::parse("the restart's plan", &text).map_err(|e| e.to_string())
}

/// Plays both days.
///
/// # Errors
/// A text that says why a day could not be played.
pub async fn measure(
    rate: f64,
    latency_ms: f64,
    seed: u64,
    program: &Path,
    deal: &Deal,
    watch: &Watch<'_>,
) -> Result<Restart, String> {
    let play = async |rolling| {
        let plan = plan(rate, latency_ms, seed, rolling)?;
        play::play(&plan, program, deal, watch).await.map_err(|e| e.to_string())
    };
    let calm = play(false).await?;
    let rolling = play(true).await?;
    // One dispatcher's slots carry so many calls a second; what comes beyond that fills the hold, then is refused.
    let service = plan(rate, latency_ms, seed, true)?.service;
    let mean_s = latency_ms * (0.6f64 * 0.6 / 2.0).exp() / 1e3;
    let carried = service.slots as f64 / mean_s.max(1e-6);
    let forced = ((rate - carried) * 4.3 - service.hold as f64).max(0.0) * 2.0;
    let missed = |o: &Outcome| o.clients.offered as i64 - o.verdict.in_aim as i64;
    let lost_to_it = missed(&rolling) - missed(&calm);
    Ok(Restart { calm, rolling, forced, lost_to_it })
}
