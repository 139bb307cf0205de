//! Curves of what sharing keeps and costs, in simulated time: 300 of the machines by loss of datagrams, in a split, and
//! with a share of them deaf.
//!
//!     cargo run --release -p millpost-tier --example fleet

#[path = "../tests/model/mod.rs"]
mod model;

use millpost_tier::{TierConfig, frame};
use model::*;

fn shape(dispatchers: u16, loss: f64) -> Shape {
    let limit = 20.0 * f64::from(dispatchers);
    Shape {
        dispatchers,
        terms: TierConfig { enabled: true, ..TierConfig::default() },
        seed: 20_261_201,
        limit,
        offered: uneven(dispatchers, limit, 1.2),
        loss,
        repeated: 0.0,
        delay: [MS, 20 * MS],
        rules: None,
    }
}

/// What is served of the limit over ten seconds, once all is settled, and the highest sum of parts.
fn served(model: &mut Model) -> f64 {
    model.pass(10 * SECOND);
    let before = model.sent();
    model.pass(10 * SECOND);
    (model.sent() - before) / (10.0 * model.shape.limit)
}

/// Milliseconds until all know of a wait that one was told; none where some never do within 20 s.
fn spread(model: &mut Model) -> Option<u64> {
    let from = model.now;
    model.told_to_wait(1, 60 * SECOND);
    let knows = |model: &Model| model.nodes.iter().all(|n| n.wait_heard.is_some());
    while !knows(model) && model.now < from + 20 * SECOND {
        model.pass(10 * MS);
    }
    knows(model).then(|| (model.now - from) / MS)
}

fn row(name: &str, mut model: Model) {
    let alone: f64 = model.nodes.iter().map(|n| n.offered.min(20.0)).sum::<f64>() / model.shape.limit;
    let served = served(&mut model);
    let (datagrams, bytes, from) = (model.datagrams, model.bytes, model.now);
    let spread = spread(&mut model).map_or("never".to_owned(), |ms| ms.to_string());
    let each = |n: u64| n as f64 / model.nodes.len() as f64 / ((model.now - from) as f64 / 1e9);
    println!(
        "{name:<28} {:>8.4} {served:>8.3} {alone:>8.3} {spread:>10} {:>10.1} {:>10.0}",
        model.most,
        each(model.datagrams - datagrams),
        each(model.bytes - bytes)
    );
}

fn main() {
    println!("datagrams of up to {} bytes; a wait is told to one of them", frame::MAX_LEN);
    println!(
        "{:<28} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}",
        "dispatchers, loss", "most sum", "served", "alone", "all know", "datagrams", "bytes/s"
    );
    for dispatchers in [3, 30, 300] {
        for loss in [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 1.0] {
            row(&format!("{dispatchers}, {:.0} %", loss * 100.0), Model::new(shape(dispatchers, loss)));
        }
    }
    for (name, side) in [("300, halves", 2), ("300, a seventh apart", 7)] {
        let mut model = Model::new(shape(300, 0.0));
        model.pass(5 * SECOND);
        for n in 0..300 {
            model.side[n] = (n % side == 0).into();
        }
        row(name, model);
    }
}
