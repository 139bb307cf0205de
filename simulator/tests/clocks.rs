//! Wall-clock steps between restarts: an incarnation number may be lower than the previous one.

use millpost_simulator::SECOND;
use millpost_simulator::day::play;
use millpost_simulator::plan::{FaultKind, Plan};
use millpost_simulator::site::Size;

/// The processes of a machine start while its clock is ahead, and restart once it is right. Other machines
/// then dropped all its messages as stale: LIMIT was violated, and only 0.88 of the requests were served.
#[test]
fn proxy_serves_after_clock_stepped_back_between_restarts() {
    for seed in 1..=4 {
        let kill = || FaultKind::NodeKill { core: false, power: false, lasts: 0 };
        let kills = Plan::quiet(seed, Size::Small).with(10 * SECOND, kill()).with(14 * SECOND, kill());
        let step = FaultKind::ClockStep { share: 1.0, by_ms: 20_000, lasts: 3 * SECOND };
        let stepped = play(&kills.clone().with(9 * SECOND, step), false, false);
        let unstepped = play(&kills, false, false);
        assert_eq!(stepped.breaches, [], "seed {seed}");
        assert!(
            stepped.served_ratio() > unstepped.served_ratio() - 0.01,
            "{}\n{}",
            stepped.to_text(),
            unstepped.to_text()
        );
    }
}
