//! Shared support for tests with a fleet of real dispatcher processes.
#![allow(dead_code, unused_imports)]

use std::path::Path;
pub use std::time::Duration;

pub use millpost_standins::fleet::{Call, Fleet, Load, Shape, most_in};
pub use millpost_standins::peers::Path as Way;
pub use millpost_standins::scripted::until;
use millpost_standins::service::{Class, Effect, Service};

/// Calls per second that the destination accepts, and the equal share of one of four dispatchers.
pub const LIMIT: u64 = 40;
pub const EVEN: u64 = LIMIT / 4;
pub const SECOND: Duration = Duration::from_secs(1);

pub fn service() -> Service {
    let class = Class {
        name: "safe".to_owned(),
        effect: Effect::Safe,
        share: 1.0,
        aim_ms: 200,
        deadline_ms: 20_000,
        key_window_ms: 30_000,
        in_order: false,
    };
    Service { slots: 16, hold: 300, keepalive_ms: 60_000, classes: vec![class], ..Service::default() }
}

/// Starts a fleet. `of` holds, per dispatcher, the fleet size in its configuration; `planted` names a fault
/// to inject.
pub fn fleet(of: &[usize], endpoints: usize, planted: Option<&str>, seed: u64) -> Fleet {
    println!("seed {seed}");
    let planted = planted.map_or(String::new(), |fault| format!("planted = \"{fault}\"\n"));
    let fleet = Fleet::start(&Shape {
        program: Path::new(env!("CARGO_BIN_EXE_millpost-dispatcher")),
        of: of.to_vec(),
        service: service(),
        settings: &format!("[tier]\nenabled = true\n{planted}"),
        destinations: vec![(endpoints, LIMIT)],
        seed,
        console: true,
    });
    met(&fleet, fleet.nodes.len() as u64 - 1);
    fleet
}

/// Waits until every dispatcher receives from this many others.
pub fn met(fleet: &Fleet, others: u64) {
    until("all dispatchers hear each other", || {
        fleet.nodes.iter().all(|n| n.figure("tier_alive") == others).then_some(())
    });
}

/// Waits for this time, measured by the partners' clock.
pub fn pass(fleet: &Fleet, time: Duration) {
    let until = fleet.now() + time;
    while fleet.now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Number of calls that a dispatcher sent in an interval.
pub fn sent(calls: &[Call], node: usize, from: Duration, to: Duration) -> usize {
    calls.iter().filter(|c| c.node == node && c.at >= from && c.at < to).count()
}
