//! What is explored: small worlds, each with a few things that may go wrong. The union of them is what is claimed; the
//! product of all in one is larger than a machine.

use std::time::{Duration, Instant};

use millpost_core::Fault;
use stateright::{Checker, HasDiscoveries, Model};

use crate::model::Small;
use crate::step::{Bounds, Kindness, Step};
use crate::world::World;

/// A world to be explored.
#[derive(Clone, Debug)]
pub struct Case {
    /// What goes wrong in it.
    pub name: &'static str,
    /// What the world may do, and how often.
    pub bounds: Bounds,
    /// The messages, in the order of their handing in.
    pub classes: Vec<Kindness>,
}

/// A way through states: each with the step that was taken from it, the last without.
pub type Way = Vec<(World, Option<Step>)>;

/// What came of exploring one.
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
};

const CLASSES: [(Kindness, [&str; 9]); 3] = [
    (
        Kindness::Safe,
        [
            "safe, a wait",
            "safe, a break",
            "safe, a drain",
            "safe, an endpoint lost",
            "safe, handed in again",
            "safe, its client leaves",
            "safe, a write fails",
            "safe, a notice unheard",
            "safe, a refusal or an error",
        ],
    ),
    (
        Kindness::Keyed,
        [
            "keyed, a wait",
            "keyed, a break",
            "keyed, a drain",
            "keyed, an endpoint lost",
            "keyed, handed in again",
            "keyed, its client leaves",
            "keyed, a write fails",
            "keyed, a notice unheard",
            "keyed, a refusal or an error",
        ],
    ),
    (
        Kindness::Unsafe,
        [
            "unsafe, a wait",
            "unsafe, a break",
            "unsafe, a drain",
            "unsafe, an endpoint lost",
            "unsafe, handed in again",
            "unsafe, its client leaves",
            "unsafe, a write fails",
            "unsafe, a notice unheard",
            "unsafe, a refusal or an error",
        ],
    ),
];

/// One message, one crash, one thing that goes wrong: for each class and each thing. About a minute on one core.
pub fn small() -> Vec<Case> {
    let mut all = Vec::new();
    for (class, names) in CLASSES {
        let bounds = [
            Bounds { waits: 1, ..CALM },
            Bounds { breaks: 1, ..CALM },
            Bounds { drains: 1, ..CALM },
            Bounds { losses: 1, ..CALM },
            Bounds { again: 1, ..CALM },
            Bounds { leaves: 1, ..CALM },
            Bounds { failing: 1, ..CALM },
            Bounds { unheard: 1, ..CALM },
            Bounds { refusals: 1, ..CALM },
        ];
        all.extend(names.into_iter().zip(bounds).map(|(name, bounds)| Case {
            name,
            bounds,
            classes: vec![class],
        }));
    }
    let synced = Bounds { synced: true, ..CALM };
    let unsafe_one = |name, bounds| Case { name, bounds, classes: vec![Kindness::Unsafe] };
    all.push(unsafe_one("synced writes, a wait", Bounds { waits: 1, ..synced }));
    all.push(unsafe_one(
        "synced writes, handed in again, its client leaves",
        Bounds { again: 1, leaves: 1, ..synced },
    ));
    all.push(unsafe_one("synced writes, a write fails", Bounds { failing: 1, ..synced }));
    let still = Bounds { crashes: 0, waits: 1, ..CALM };
    let classes = vec![Kindness::Unsafe, Kindness::Safe];
    all.push(Case { name: "two messages, a wait, no crash", bounds: still, classes: classes.clone() });
    all.push(Case { name: "the same in one call", bounds: Bounds { bundle: 2, ..still }, classes });
    all
}

/// Two things that go wrong together, and two messages: minutes on two cores.
pub fn large() -> Vec<Case> {
    let one = |name, bounds| Case { name, bounds, classes: vec![Kindness::Unsafe] };
    let still = Bounds { crashes: 0, ..CALM };
    let two = |name, bounds| Case { name, bounds, classes: vec![Kindness::Unsafe, Kindness::Keyed] };
    vec![
        one("a wait and a drain", Bounds { waits: 1, drains: 1, ..CALM }),
        one("a wait and a break", Bounds { waits: 1, breaks: 1, ..CALM }),
        one("a drain and a break", Bounds { drains: 1, breaks: 1, ..CALM }),
        one("a wait, a drain and a break", Bounds { waits: 1, drains: 1, breaks: 1, ..CALM }),
        one("two crashes", Bounds { crashes: 2, ..CALM }),
        one("two crashes and a break", Bounds { crashes: 2, breaks: 1, ..CALM }),
        one("an unheard notice, two crashes", Bounds { crashes: 2, unheard: 1, ..CALM }),
        two("two messages, no crash", still),
        two("two messages in one call, no crash", Bounds { bundle: 2, ..still }),
        two("two messages, one slot, no crash", Bounds { slots: 1, ..still }),
    ]
}

impl Case {
    /// Explores all of it, or until a property does not hold, or no time is left.
    pub fn explore(&self, fault: Option<Fault>, threads: usize, within: Duration) -> Explored {
        let began = Instant::now();
        let small = Small { bounds: self.bounds, classes: self.classes.clone(), fault };
        let checker =
            small.checker().threads(threads).finish_when(HasDiscoveries::Any).timeout(within).spawn_bfs();
        let checker = checker.join();
        let breach = checker
            .discoveries()
            .into_iter()
            .min_by_key(|(name, path)| (path.clone().into_states().len(), *name));
        let took = began.elapsed();
        Explored {
            unique: checker.unique_state_count(),
            steps: checker.state_count(),
            depth: checker.max_depth(),
            exhausted: breach.is_none() && took < within,
            took,
            breach: breach.map(|(name, path)| (name, path.into_vec())),
        }
    }
}
