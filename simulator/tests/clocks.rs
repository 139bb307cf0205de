//! The time of day of a machine steps, and its processes start again: the number of a life may be lower than that of the one before.

use millpost_simulator::SECOND;
use millpost_simulator::day::play;
use millpost_simulator::plan::{FaultKind, Plan};
use millpost_simulator::site::Size;

/// A machine's processes start while its clock is ahead, and again once it is right. Its mail was dropped by all others from then on: on
/// these days LIMIT broke, and 0.88 of all was served.
#[test]
fn a_machine_whose_clock_has_stepped_back_between_two_starts_serves_as_before() {
    for seed in 1..=4 {
        let kill = || FaultKind::NodeKill { core: false, power: false, lasts: 0 };
        let kills = Plan::quiet(seed, Size::Small).with(10 * SECOND, kill()).with(14 * SECOND, kill());
        let step = FaultKind::ClockStep { share: 1.0, by_ms: 20_000, lasts: 3 * SECOND };
        let stepped = play(&kills.clone().with(9 * SECOND, step), false, false);
        let even = play(&kills, false, false);
        assert_eq!(stepped.breaches, [], "seed {seed}");
        assert!(
            stepped.served_ratio() > even.served_ratio() - 0.01,
            "{}\n{}",
            stepped.to_text(),
            even.to_text()
        );
    }
}
