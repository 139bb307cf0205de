//! How long a change takes to reach the last dispatcher, and a straggler to be shut out, in simulated time: by the number of
//! dispatchers and the loss of datagrams, with what the roll says a second.
//!
//!     cargo run --release -p millpost-tier --example roll

#[path = "../tests/model/mod.rs"]
mod model;

use millpost_tier::records::RecordKind;
use millpost_tier::versions::Kind;
use millpost_tier::{Rules, Tier, TierConfig};
use model::*;

const BOUND: u64 = 5 * SECOND;

fn shape(dispatchers: u16, loss: f64, seed: u64) -> Shape {
    let rules = Rules { enabled: true, list_ms: BOUND / MS, ..Rules::default() };
    Shape {
        dispatchers,
        terms: TierConfig { enabled: true, ..TierConfig::default() },
        seed,
        limit: 100.0,
        offered: vec![0.0; dispatchers.into()],
        loss,
        repeated: 0.0,
        delay: [MS, 20 * MS],
        rules: Some(rules),
    }
}

fn until(model: &mut Model, within: u64, holds: impl Fn(&Model) -> bool) -> Option<u64> {
    let from = model.now;
    while !holds(model) {
        if model.now > from + within {
            return None;
        }
        model.pass(10 * MS);
    }
    Some((model.now - from) / MS)
}

fn told(ms: Option<u64>) -> String {
    ms.map_or("never".to_owned(), |ms| ms.to_string())
}

fn main() {
    println!(
        "of, loss: ms until a cordon at one holds at all; until a straggler beyond its bound of 5 s is out; datagrams and"
    );
    println!("bytes a second of the roll for each dispatcher, at rest; medians of five seeds, one of 300");
    for dispatchers in [3, 16, 300] {
        for loss in [0.0, 0.01, 0.1] {
            let (mut cordons, mut outs, mut datagrams, mut bytes) = (vec![], vec![], vec![], vec![]);
            // Three hundred take long to play.
            for seed in 0..if dispatchers < 100 { 5 } else { 1 } {
                let mut model = Model::new(shape(dispatchers, loss, 20_261_201 + seed));
                model.pass(20 * SECOND);
                let of = |model: &mut Model| {
                    let cost =
                        |tier: &mut Tier| tier.roll().map(|(roll, _)| roll.traffic()).unwrap_or_default();
                    let all = model.nodes.iter_mut().filter_map(|node| node.tier.as_mut()).map(cost);
                    all.fold((0, 0), |sum, cost| (sum.0 + cost.0, sum.1 + cost.1))
                };
                let before = of(&mut model);
                model.pass(10 * SECOND);
                let after = of(&mut model);
                let each = |n: u64| n as f64 / 10.0 / f64::from(dispatchers);
                datagrams.push(each(after.0 - before.0));
                bytes.push(each(after.1 - before.1));
                model.cordon(1, PLACE, true);
                let all = |model: &Model| {
                    model.nodes.iter().all(|node| node.acts.held.contains(&(PLACE, RecordKind::Cordon)))
                };
                cordons.push(until(&mut model, 60 * SECOND, all));
                model.nodes[2].acts.mute = true;
                model.list += 1;
                (0..usize::from(dispatchers)).for_each(|node| model.ask_list(node));
                let out = until(&mut model, 60 * SECOND, |model| model.nodes[2].acts.out);
                assert!(model.shut_out.iter().all(|(_, node, kind)| (*node, *kind) == (2, Kind::List)));
                outs.push(out.map(|ms| ms.saturating_sub(BOUND / MS)));
            }
            cordons.sort_unstable();
            outs.sort_unstable();
            datagrams.sort_by(f64::total_cmp);
            bytes.sort_by(f64::total_cmp);
            println!(
                "{dispatchers:>4}, {:>2.0} %: cordon {:>7}   out {:>7}   {:>5.1} datagrams {:>6.0} bytes",
                loss * 100.0,
                told(cordons[cordons.len() / 2]),
                told(outs[outs.len() / 2]),
                datagrams[datagrams.len() / 2],
                bytes[bytes.len() / 2]
            );
        }
    }
}
