//! What is done to a system during a soak, drawn from a seed: the same seed gives the same schedule.
//!
//! Planned work comes in series that overlap: rolls, second signals inside the grace time, changes of the configuration in rows, workers
//! that are emptied, and a platform that is slow beside it. Trouble of the system's own machines is added where it is asked for.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How many there are of what can be struck.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Edge machines.
    pub edges: usize,
    /// Core machines.
    pub cores: usize,
    /// Workers of the platform.
    pub workers: usize,
}

/// Processes of an edge machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The proxy.
    Proxy,
    /// The agent beside it.
    Agent,
}

/// One thing that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// The processes of an edge machine get SIGTERM.
    EndEdge(usize),
    /// A control machine's process gets SIGTERM.
    EndCore(usize),
    /// The processes of an edge machine get SIGHUP.
    HangUpEdge(usize),
    /// The configuration changes.
    Change,
    /// The configuration names a service no more, or names it again.
    Toggle,
    /// A worker is emptied, and takes endpoints again later.
    Drain(usize),
    /// The platform answers nothing for so long: no instance is started or stopped, and requests for rare functions wait.
    Platform(Duration),
    /// A process of an edge machine is killed.
    Kill(usize, Part),
    /// A process of an edge machine stands still for so long.
    Freeze(usize, Part, Duration),
}

impl Act {
    /// It is trouble of a machine of the system.
    pub fn is_unplanned(self) -> bool {
        matches!(self, Act::Kill(..) | Act::Freeze(..))
    }
}

/// When something is done, since the start of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// When.
    pub at: Duration,
    /// What.
    pub act: Act,
}

/// Nothing is done in the last part of a soak: all that leaves has left by its end.
const QUIET_END: Duration = Duration::from_secs(10);

/// The schedule of a seed, in the order of its times.
pub fn draw(seed: u64, lasts: Duration, size: Size, unplanned: bool) -> Vec<Due> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut all = Vec::new();
    let end = lasts.saturating_sub(QUIET_END);
    let mut at = Duration::from_millis(500);
    while at < end {
        let millis =
            |rng: &mut Pcg64Mcg, from: u64, to: u64| Duration::from_millis(rng.random_range(from..to));
        let edge = rng.random_range(0..size.edges);
        let mut put = |after: Duration, act: Act| all.push(Due { at: at + after, act });
        match rng.random_range(0..if unplanned { 13 } else { 10 }) {
            0 | 1 => {
                let (count, gap) = (rng.random_range(1..=size.edges), millis(&mut rng, 0, 2_000));
                (0..count).for_each(|n| put(gap * n as u32, Act::EndEdge((edge + n) % size.edges)));
            }
            2 => {
                // A second word inside the grace time, and SIGHUP in between.
                put(Duration::ZERO, Act::EndEdge(edge));
                put(millis(&mut rng, 100, 2_000), Act::HangUpEdge(edge));
                put(millis(&mut rng, 2_000, 5_000), Act::EndEdge(edge));
            }
            3 => put(Duration::ZERO, Act::EndCore(rng.random_range(0..size.cores))),
            4 => (0..size.edges).for_each(|n| put(Duration::ZERO, Act::HangUpEdge(n))),
            5 => put(Duration::ZERO, Act::Toggle),
            6 => put(Duration::ZERO, Act::Drain(rng.random_range(0..size.workers))),
            7 | 8 => {
                let (count, gap) = (rng.random_range(3..20), millis(&mut rng, 20, 250));
                (0..count).for_each(|n| put(gap * n, Act::Change));
            }
            9 => put(Duration::ZERO, Act::Platform(millis(&mut rng, 2_000, 7_000))),
            10 | 11 => {
                let part = if rng.random() { Part::Proxy } else { Part::Agent };
                put(Duration::ZERO, Act::Kill(edge, part));
            }
            _ => {
                let part = if rng.random() { Part::Proxy } else { Part::Agent };
                put(Duration::ZERO, Act::Freeze(edge, part, millis(&mut rng, 200, 3_000)));
            }
        }
        at += millis(&mut rng, 100, 4_000);
    }
    all.retain(|due| due.at < end);
    all.sort_by_key(|due| due.at);
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_gives_one_schedule_and_planned_ones_hold_no_trouble() {
        let size = Size { edges: 6, cores: 3, workers: 6 };
        let lasts = Duration::from_secs(60);
        for seed in 0..50 {
            let planned = draw(seed, lasts, size, false);
            assert_eq!(planned, draw(seed, lasts, size, false));
            assert!(planned.iter().all(|due| !due.act.is_unplanned() && due.at < lasts));
            assert!(planned.is_sorted_by_key(|due| due.at));
        }
        let acts = |unplanned| (0..50).flat_map(move |seed| draw(seed, lasts, size, unplanned));
        assert!(acts(true).any(|due| due.act.is_unplanned()));
        let twice = |due: &Due| matches!(due.act, Act::EndEdge(_));
        assert!(acts(false).filter(twice).count() > 100);
    }
}
