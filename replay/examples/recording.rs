//! What recording costs: `cargo run --profile market -p millpost-replay --example recording`. The inputs of a busy day are given to a
//! desk that is not taped at all, to one that could be and is not, and to one whose lines go into memory.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use day::{Day, Plan};
use millpost_scheduler::recording::{Entry, Input};
use millpost_scheduler::{Coordinator, RecordedCoordinator, SECOND, SchedulerLimits, Sink};

#[path = "../tests/day/mod.rs"]
#[allow(dead_code)]
mod day;

/// Plays of each kind; the quickest counts.
const PLAYS: u32 = 40;

fn main() {
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 52.0,
        requests_per_s: 300.0,
        rank_by_latency: false,
    };
    let plan = Plan {
        stalls: 3,
        functions: vec![("hot", 2, 900, 60.0), ("warm", 8, 500, 30.0)],
        rates: vec![60.0; 6],
        terms,
        fails: 0.03,
        silent: 0.03,
        ..Plan::default()
    };
    let day = Day::of(plan);
    let lines = day.recorded(0);
    let entries: Vec<Entry> = lines.iter().map(|line| Entry::read(line).expect("a line")).collect();
    let count = entries.len();
    let bytes = Rc::new(Cell::new(0_usize));
    let sink = || -> Sink {
        let (bytes, mut text) = (Rc::clone(&bytes), Vec::<u8>::with_capacity(64 << 20));
        Box::new(move |line| {
            text.extend_from_slice(line.as_bytes());
            text.push(b'\n');
            bytes.set(text.len());
        })
    };
    let (mut plain, mut off, mut on) = (f64::MAX, f64::MAX, f64::MAX);
    for _ in 0..PLAYS {
        plain = plain.min(plainly(&entries));
        off = off.min(taped(&entries, None));
        on = on.min(taped(&entries, Some(sink())));
    }
    let each = |ns: f64| ns / count as f64;
    println!("{count} inputs; {:.0} bytes a line", bytes.get() as f64 / count as f64);
    println!(
        "ns an input: {:.0} not taped, {:.0} off, {:.0} on; recording takes {:.0}",
        each(plain),
        each(off),
        each(on),
        each(on - off)
    );
}

fn plainly(entries: &[Entry]) -> f64 {
    let Input::New { me, terms, seed, first } = entries[0].input.clone() else { panic!("a life begins") };
    let (mut desk, given) = (Coordinator::new(me, terms, seed, first), entries[1..].to_vec());
    let begun = Instant::now();
    for entry in given {
        entry.input.apply(entry.at, &mut desk);
        std::hint::black_box(desk.take_actions());
    }
    begun.elapsed().as_nanos() as f64
}

fn taped(entries: &[Entry], sink: Option<Sink>) -> f64 {
    let Input::New { me, terms, seed, first } = entries[0].input.clone() else { panic!("a life begins") };
    let (mut desk, given) = (RecordedCoordinator::new(me, terms, seed, first, sink), entries[1..].to_vec());
    let begun = Instant::now();
    for Entry { at, input, .. } in given {
        match input {
            Input::New { .. } => {}
            Input::Configure(specs) => desk.configure(at, specs.into_iter()),
            Input::RequestPermit { ask, first, .. } => {
                desk.request_permit(at, ask, first, None);
            }
            Input::Cancel { id } => desk.cancel(at, id),
            Input::Finish { id, outcome, took } => desk.finish(at, id, outcome, took),
            Input::InstanceUp(id) => desk.instance_up(at, &id),
            Input::ConnectionRefused(id) => desk.connection_refused(at, &id),
            Input::PeerMessages { from, incarnation: life, messages: notes } => {
                desk.receive(at, &from, life, notes)
            }
            Input::ControllerMessage(note) => desk.receive_from_controller(at, note),
            Input::Undelivered { address, messages: notes } => desk.undelivered(at, &address, notes),
            Input::ControllerUnreachable => desk.controller_unreachable(at),
            Input::Tick => desk.tick(at),
            Input::TraceEvent(trail) => desk.trace(at, &trail),
        }
        std::hint::black_box(desk.take_actions());
    }
    begun.elapsed().as_nanos() as f64
}
