//! A breadth-first search over worlds: every state that can be reached is expanded once, whatever the way there, and the
//! first way to a breach is a shortest one.
//!
//! Kept invariants: only the frontier holds worlds, all else is a fingerprint and the step that led there; what is found does
//! not hang on the number of threads, since a batch is expanded in parallel and taken in by its order.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::{Duration, Instant};

use crate::step::Step;
use crate::world::World;

/// A way through states: each with the step that was taken from it, the last without.
pub type Way = Vec<(World, Option<Step>)>;

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Threads that expand.
    pub threads: usize,
    /// When it stops with states left.
    pub within: Duration,
    /// It stops with states left beyond so many.
    pub states: usize,
    /// Steps that differ from the calm way ([`World::calm`]) on any one way; all, where there is no bound.
    pub deviations: Option<u8>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { threads: 2, within: Duration::from_secs(120), states: 40_000_000, deviations: None }
    }
}

/// What came of a search.
pub struct Explored {
    /// States that differ.
    pub unique: usize,
    /// Steps that were taken.
    pub steps: usize,
    /// Length of the longest shortest way to a state.
    pub depth: usize,
    /// No state was left unexplored: the frontier is empty.
    pub exhausted: bool,
    /// How long it took.
    pub took: Duration,
    /// A property that does not hold, and a shortest way there.
    pub breach: Option<(&'static str, Way)>,
}

/// A fingerprint is as good a hash as any.
#[derive(Default)]
struct Same(u64);

impl Hasher for Same {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.0 ^= u64::from_le_bytes(word);
        }
    }
    fn write_u128(&mut self, n: u128) {
        self.0 = n as u64;
    }
    fn finish(&self) -> u64 {
        self.0
    }
}

/// A state that was reached: from which, by which step, and how many deviations are left from there.
struct Reached {
    from: u32,
    step: Option<Step>,
    left: u8,
}

/// A state that is to be expanded.
struct Open {
    number: u32,
    left: u8,
    world: World,
}

/// One step that a thread has made.
struct Made {
    from: u32,
    step: Step,
    left: u8,
    print: u128,
    world: World,
}

/// States that are expanded before what came of them is taken in: bounds the memory of what is on its way.
const BATCH: usize = 4096;

/// Explores all that can be reached from `start`, within the limits, or until a property does not hold.
pub fn search(start: World, limits: &Limits) -> Explored {
    let began = Instant::now();
    let mut seen: HashMap<u128, u32, BuildHasherDefault<Same>> = HashMap::default();
    let mut reached = vec![Reached { from: 0, step: None, left: limits.deviations.unwrap_or(u8::MAX) }];
    let mut first = start.clone();
    first.settle();
    seen.insert(first.fingerprint(&mut Vec::new()), 0);
    let mut level = vec![Open { number: 0, left: reached[0].left, world: first }];
    let (mut steps, mut depth) = (0, 0);
    let found =
        |reached: &Vec<Reached>, steps, depth, exhausted, breach: Option<(u32, &'static str)>| Explored {
            unique: reached.len(),
            steps,
            depth,
            exhausted,
            took: began.elapsed(),
            breach: breach.map(|(number, name)| (name, way(&start, reached, number))),
        };
    while !level.is_empty() {
        let mut next = Vec::new();
        let mut breach: Option<(u32, &'static str)> = None;
        for batch in level.chunks(BATCH) {
            for made in expand(batch, &seen, &reached, limits) {
                let (count, made) = made;
                steps += count;
                for Made { from, step, left, print, world } in made {
                    let number = match seen.get(&print) {
                        // By another way with more deviations left: what follows from it is looked at again.
                        Some(number) if reached[*number as usize].left < left => {
                            reached[*number as usize] = Reached { from, step: Some(step), left };
                            *number
                        }
                        Some(_) => continue,
                        None => {
                            let number = reached.len() as u32;
                            seen.insert(print, number);
                            reached.push(Reached { from, step: Some(step), left });
                            number
                        }
                    };
                    if let Some(name) = world.breach {
                        breach = breach.or(Some((number, name)));
                    }
                    next.push(Open { number, left, world });
                }
            }
            if breach.is_some() || began.elapsed() > limits.within || reached.len() > limits.states {
                return found(&reached, steps, depth + 1, false, breach);
            }
        }
        depth += usize::from(!next.is_empty());
        level = next;
    }
    found(&reached, steps, depth, true, None)
}

/// Expands a batch in parallel; for each thread the steps that it made and the states that are new by them, in the order
/// of the batch.
fn expand(
    batch: &[Open],
    seen: &HashMap<u128, u32, BuildHasherDefault<Same>>,
    reached: &[Reached],
    limits: &Limits,
) -> Vec<(usize, Vec<Made>)> {
    let threads = limits.threads.clamp(1, 64);
    let share = batch.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let parts: Vec<_> = batch
            .chunks(share)
            .map(|part| {
                scope.spawn(move || {
                    let (mut steps, mut made, mut room) = (0, Vec::new(), Vec::new());
                    for open in part {
                        let calm = limits.deviations.and_then(|_| open.world.calm());
                        open.world.expand(|step, mut world| {
                            steps += 1;
                            let cost = u8::from(limits.deviations.is_some() && Some(step) != calm);
                            let Some(left) = open.left.checked_sub(cost) else { return };
                            world.settle();
                            let print = world.fingerprint(&mut room);
                            let known = seen.get(&print).is_some_and(|n| reached[*n as usize].left >= left);
                            if !known {
                                made.push(Made { from: open.number, step, left, print, world });
                            }
                        });
                    }
                    (steps, made)
                })
            })
            .collect();
        // A thread that panicked has nothing more to say: its panic goes on here.
        parts
            .into_iter()
            .map(|part| part.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    })
}

/// The way to a state, played again from the start.
fn way(start: &World, reached: &[Reached], number: u32) -> Way {
    let mut steps = Vec::new();
    let mut at = &reached[number as usize];
    while let Some(step) = at.step {
        steps.push(step);
        at = &reached[at.from as usize];
    }
    steps.reverse();
    play(start, &steps)
}

/// The states on the way of these steps.
pub fn play(start: &World, steps: &[Step]) -> Way {
    let mut world = start.clone();
    world.settle();
    let mut way = Vec::new();
    for step in steps {
        let mut next = world.after(*step);
        next.settle();
        way.push((world, Some(*step)));
        world = next;
    }
    way.push((world, None));
    way
}
