//! A breadth-first search over the states of a space: every state that can be reached is expanded once, whatever the way
//! there, and the first way to a breach is a shortest one.
//!
//! Kept invariants: only the frontier holds states, all else is a fingerprint and the step that led there; what is found
//! does not hang on the number of threads, since a batch is expanded in parallel and taken in by its order.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::{Duration, Instant};

use serde::Serialize;

/// A state of something that is explored.
pub trait State: Clone + Send + Sync {
    /// What leads from one to another.
    type Step: Copy + Send + Sync + PartialEq;

    /// Every step from here, each with the state that it leads to; none from a state with a breach.
    fn expand(&self, each: impl FnMut(Self::Step, Self));
    /// The state after one step, which must be one that [`Self::expand`] tells of this state, or of one that is alike.
    fn after(&self, step: Self::Step) -> Self;
    /// Leaves out what nothing hangs on any more, so that more states are the same.
    fn settle(&mut self);
    /// A number for this state, with `room` to write it out in. States that differ have others, but for one pair in 2^128.
    fn fingerprint(&self, room: &mut Vec<u8>) -> u128;
    /// The first property that does not hold.
    fn breach(&self) -> Option<&'static str>;
    /// The step that a calm day takes from here: see [`Limits::deviations`].
    fn calm(&self) -> Option<Self::Step>;
}

/// The bytes of a state, as a number.
pub fn fingerprint(state: &impl Serialize, room: &mut Vec<u8>) -> u128 {
    room.clear();
    // Writing into memory does not fail, and nothing here is of a kind that can't be written.
    let _ = postcard::serialize_with_flavor(state, Room(room));
    xxhash_rust::xxh3::xxh3_128(room)
}

/// Bytes are written behind each other, whole pieces at a time.
struct Room<'a>(&'a mut Vec<u8>);

impl postcard::ser_flavors::Flavor for Room<'_> {
    type Output = ();

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.0.push(byte);
        Ok(())
    }
    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }
    fn finalize(self) -> postcard::Result<()> {
        Ok(())
    }
}

/// A way through states: each with the step that was taken from it, the last without.
pub type Way<S> = Vec<(S, Option<<S as State>::Step>)>;

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Threads that expand.
    pub threads: usize,
    /// When it stops with states left.
    pub within: Duration,
    /// It stops with states left beyond so many.
    pub states: usize,
    /// Steps that differ from [`State::calm`] on any one way; all, where there is no bound. Delay-bounded scheduling
    /// (Emmi, Qadeer, Rakamaric, POPL 2011).
    pub deviations: Option<u8>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { threads: 2, within: Duration::from_secs(120), states: 40_000_000, deviations: None }
    }
}

/// What came of a search.
pub struct Explored<S: State> {
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
    pub breach: Option<(&'static str, Way<S>)>,
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
struct Reached<T> {
    from: u32,
    step: Option<T>,
    left: u8,
}

/// A state that is to be expanded.
struct Open<S> {
    number: u32,
    left: u8,
    state: Box<S>,
}

/// One step that a thread has made.
struct Made<S: State> {
    from: u32,
    step: S::Step,
    left: u8,
    print: u128,
    state: Box<S>,
}

/// States that are expanded before what came of them is taken in: bounds the memory of what is on its way.
const BATCH: usize = 4096;

type Seen = HashMap<u128, u32, BuildHasherDefault<Same>>;

/// Explores all that can be reached from `start`, within the limits, or until a property does not hold.
pub fn search<S: State>(start: S, limits: &Limits) -> Explored<S> {
    let began = Instant::now();
    let mut seen = Seen::default();
    let mut reached = vec![Reached { from: 0, step: None, left: limits.deviations.unwrap_or(u8::MAX) }];
    let mut first = start.clone();
    first.settle();
    seen.insert(first.fingerprint(&mut Vec::new()), 0);
    let mut level = vec![Open { number: 0, left: reached[0].left, state: Box::new(first) }];
    let (mut steps, mut depth) = (0, 0);
    let found = |reached: &[Reached<S::Step>], steps, depth, exhausted, breach: Option<(u32, _)>| Explored {
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
        let mut rest = level.into_iter();
        loop {
            let batch: Vec<Open<S>> = rest.by_ref().take(BATCH).collect();
            if batch.is_empty() {
                break;
            }
            for (count, made) in expand(batch, &seen, &reached, limits) {
                steps += count;
                for Made { from, step, left, print, state } in made {
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
                    if let Some(name) = state.breach() {
                        breach = breach.or(Some((number, name)));
                    }
                    next.push(Open { number, left, state });
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
fn expand<S: State>(
    mut batch: Vec<Open<S>>,
    seen: &Seen,
    reached: &[Reached<S::Step>],
    limits: &Limits,
) -> Vec<(usize, Vec<Made<S>>)> {
    // The last part first, so that each is split off the end.
    let threads = limits.threads.clamp(1, 64);
    let share = batch.len().div_ceil(threads).max(1);
    let mut parts = Vec::new();
    while !batch.is_empty() {
        parts.push(batch.split_off((batch.len() - 1) / share * share));
    }
    let work = |part: Vec<Open<S>>| {
        let (mut steps, mut made, mut room) = (0, Vec::new(), Vec::new());
        for open in part {
            let calm = limits.deviations.and_then(|_| open.state.calm());
            open.state.expand(|step, mut state| {
                steps += 1;
                let cost = u8::from(limits.deviations.is_some() && Some(step) != calm);
                let Some(left) = open.left.checked_sub(cost) else { return };
                state.settle();
                let print = state.fingerprint(&mut room);
                let known = seen.get(&print).is_some_and(|n| reached[*n as usize].left >= left);
                if !known {
                    made.push(Made { from: open.number, step, left, print, state: Box::new(state) });
                }
            });
        }
        (steps, made)
    };
    let work = &work;
    std::thread::scope(|scope| {
        let running: Vec<_> = parts.into_iter().rev().map(|part| scope.spawn(move || work(part))).collect();
        // A thread that panicked has nothing more to say: its panic goes on here.
        running.into_iter().map(|part| part.join().unwrap_or_else(|p| std::panic::resume_unwind(p))).collect()
    })
}

/// The way to a state, played again from the start.
fn way<S: State>(start: &S, reached: &[Reached<S::Step>], number: u32) -> Way<S> {
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
pub fn play<S: State>(start: &S, steps: &[S::Step]) -> Way<S> {
    let mut state = start.clone();
    state.settle();
    let mut way = Vec::new();
    for step in steps {
        let mut next = state.after(*step);
        next.settle();
        way.push((state, Some(*step)));
        state = next;
    }
    way.push((state, None));
    way
}
