//! What is explored: small worlds, each with a few things that may go wrong. The union of them is what is claimed; the
//! product of all with a message of each class in one is larger than a machine, and is explored as far as so many steps
//! off a calm day.

use millpost_core::Fault;
use serde::{Deserialize, Serialize};

use crate::search::{Explored, Limits, Way, play, search};
use crate::step::{Bounds, Kindness, Step};
use crate::world::World;

/// A world to be explored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// What goes wrong in it.
    pub name: String,
    /// What the world may do, and how often.
    pub bounds: Bounds,
    /// The messages, in the order of their handing in.
    pub classes: Vec<Kindness>,
    /// Steps off a calm day on any one way; all, where there is no bound.
    pub deviations: Option<u8>,
}

/// Nothing goes wrong but one crash.
pub const CALM: Bounds = Bounds {
    endpoints: 2,
    tries: 2,
    slots: 2,
    bundle: 1,
    synced: false,
    crashes: 1,
    waits: 0,
    drains: 0,
    losses: 0,
    breaks: 0,
    refusals: 0,
    again: 0,
    leaves: 0,
    failing: 0,
    unheard: 0,
    lates: 0,
    changes: 0,
};

/// One of each that the product asks for: a crash, a wait, a drain, an endpoint lost and back, a break at any byte.
pub const ALL: Bounds = Bounds { waits: 1, drains: 1, losses: 1, breaks: 1, ..CALM };

const CLASSES: [(&str, &[Kindness]); 5] = [
    ("safe", &[Kindness::Safe]),
    ("keyed", &[Kindness::Keyed]),
    ("unsafe", &[Kindness::Unsafe]),
    ("in order", &[Kindness::InOrder]),
    ("in order, once", &[Kindness::InOrderOnce]),
];

const TWO: [Kindness; 2] = [Kindness::Unsafe, Kindness::Keyed];
/// One message of each class.
const EACH: [Kindness; 4] = [Kindness::Unsafe, Kindness::Keyed, Kindness::Safe, Kindness::InOrder];

fn case(name: impl Into<String>, classes: &[Kindness], bounds: Bounds) -> Case {
    Case { name: name.into(), bounds, classes: classes.to_vec(), deviations: None }
}

/// One thing that goes wrong beside a crash, by name.
fn troubles() -> [(&'static str, Bounds); 10] {
    [
        ("a wait", Bounds { waits: 1, ..CALM }),
        ("a break", Bounds { breaks: 1, ..CALM }),
        ("a drain", Bounds { drains: 1, ..CALM }),
        ("an endpoint lost", Bounds { losses: 1, ..CALM }),
        ("handed in again", Bounds { again: 1, ..CALM }),
        ("its client leaves", Bounds { leaves: 1, ..CALM }),
        ("a write fails", Bounds { failing: 1, ..CALM }),
        ("a notice unheard", Bounds { unheard: 1, ..CALM }),
        ("a refusal or an error", Bounds { refusals: 1, ..CALM }),
        ("a late effect", Bounds { lates: 1, ..CALM }),
    ]
}

/// One message, one crash, one thing that goes wrong: for each class and each thing; and pairs of messages. Seconds.
pub fn small() -> Vec<Case> {
    let mut all = Vec::new();
    for (class, kinds) in &CLASSES[..3] {
        all.extend(troubles().map(|(name, bounds)| case(format!("{class}, {name}"), kinds, bounds)));
    }
    let synced = Bounds { synced: true, ..CALM };
    let once = &[Kindness::Unsafe][..];
    all.push(case("synced writes, a wait", once, Bounds { waits: 1, ..synced }));
    let left = Bounds { again: 1, leaves: 1, ..synced };
    all.push(case("synced writes, handed in again, its client leaves", once, left));
    all.push(case("synced writes, a write fails", once, Bounds { failing: 1, ..synced }));
    let (still, two) = (Bounds { crashes: 0, waits: 1, ..CALM }, [Kindness::Unsafe, Kindness::Safe]);
    all.push(case("two messages, a wait, no crash", &two, still));
    all.push(case("the same in one call", &two, Bounds { bundle: 2, ..still }));
    let wait = case("two messages, a crash and a wait, five steps off", &TWO, Bounds { waits: 1, ..CALM });
    all.push(Case { deviations: Some(5), ..wait });
    let one_each = Bounds { tries: 1, ..CALM };
    for (class, kinds) in &CLASSES[3..] {
        let two = [kinds[0]; 2];
        all.push(case(format!("two {class}, a late effect"), &two, Bounds { lates: 1, ..one_each }));
        let late = Bounds { crashes: 0, breaks: 1, lates: 1, ..CALM };
        all.push(case(format!("two {class}, a break, a late effect, no crash"), &two, late));
    }
    for (class, kinds) in CLASSES {
        let two = [kinds[0]; 2];
        let (changes, kinds) = if kinds[0].in_order() { (1, &two[..]) } else { (2, kinds) };
        let change = Bounds { changes, endpoints: 1, ..CALM };
        all.push(case(
            format!("{class}, the process changes"),
            kinds,
            Bounds { crashes: 0, breaks: 1, ..change },
        ));
    }
    for (class, kinds) in &CLASSES[..3] {
        let change = Bounds { changes: 1, ..CALM };
        all.push(case(format!("{class}, the process changes, a crash"), kinds, change));
        let lates = Bounds { crashes: 0, lates: 1, waits: 1, ..change };
        all.push(case(format!("{class}, the process changes, a wait, a late effect"), kinds, lates));
    }
    all.push(Case { deviations: Some(2), ..case("one of each class, all, two steps off", &EACH, ALL) });
    all
}

/// All that goes wrong in one world for each class, and with a message of each class as far as a machine goes. Minutes.
pub fn large() -> Vec<Case> {
    let mut all = Vec::new();
    for (class, kinds) in CLASSES {
        all.push(case(format!("{class}, all in one world"), kinds, ALL));
    }
    let once = &[Kindness::Unsafe][..];
    all.push(case("two crashes and a break", once, Bounds { crashes: 2, breaks: 1, ..CALM }));
    all.push(case("an unheard notice, two crashes", once, Bounds { crashes: 2, unheard: 1, ..CALM }));
    all.push(case("a break, a late effect, a wait", once, Bounds { breaks: 1, lates: 1, waits: 1, ..CALM }));
    let still = Bounds { crashes: 0, ..CALM };
    all.push(case("two messages, a crash", &TWO, CALM));
    all.push(case("two messages, a wait, a break, no crash", &TWO, Bounds { waits: 1, breaks: 1, ..still }));
    all.push(case("two messages in one call, no crash", &TWO, Bounds { bundle: 2, ..still }));
    all.push(case("two messages, one slot, no crash", &TWO, Bounds { slots: 1, ..still }));
    all.push(case(
        "two in order, once: a crash, a break, a late effect",
        &[Kindness::InOrderOnce; 2],
        Bounds { breaks: 1, lates: 1, ..CALM },
    ));
    all.push(Case { deviations: Some(3), ..case("one of each class, all, three steps off", &EACH, ALL) });
    all
}

impl Case {
    /// Nothing has happened in it yet.
    pub fn start(&self, fault: Option<Fault>) -> World {
        World::new(self.bounds, &self.classes, fault)
    }

    /// Explores all of it, or until a property does not hold, or a limit is met.
    pub fn explore(&self, fault: Option<Fault>, limits: &Limits) -> Explored<World> {
        search(self.start(fault), &Limits { deviations: self.deviations, ..*limits })
    }
}

/// A way that led to a breach once, to be played again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// What did not hold.
    pub breach: String,
    /// The fault that was planted, or the one that a real fault is planted as since it was mended.
    pub fault: Option<Fault>,
    /// Where.
    pub case: Case,
    /// The steps.
    pub steps: Vec<Step>,
}

impl Kept {
    /// What a search has found, to be kept.
    pub fn new(case: &Case, fault: Option<Fault>, breach: &str, way: &Way<World>) -> Self {
        let steps = way.iter().filter_map(|(_, step)| *step).collect();
        Kept { breach: breach.to_owned(), fault, case: case.clone(), steps }
    }

    /// Plays it with the fault, or without.
    pub fn play(&self, with_fault: bool) -> Way<World> {
        play(&self.case.start(self.fault.filter(|_| with_fault)), &self.steps)
    }
}
