//! What is explored of the hop, the faults that are planted in it, and ways for people.

use super::*;
use crate::search::Way;

/// A world of the hop to be explored.
#[derive(Clone, Debug)]
pub struct Case {
    /// What goes wrong in it.
    pub name: &'static str,
    /// How often.
    pub bounds: Bounds,
    /// The messages: whether each must not go twice.
    pub once: Vec<bool>,
}

/// Nothing goes wrong.
const CALM: Bounds =
    Bounds { cuts: 0, near_crashes: 0, far_crashes: 0, lost_folders: 0, copies: 0, refusals: 0, tries: 2 };

/// Every way in which links and sides may fail together, for one message and for one of each kind.
pub fn cases() -> Vec<Case> {
    let case = |name, once: &[bool], bounds| Case { name, bounds, once: once.to_vec() };
    let cut = Bounds { cuts: 1, ..CALM };
    // The smallest first: a planted fault is looked for in their order.
    vec![
        case(
            "hop: a cut, the far side dies and has lost its folder",
            &[true],
            Bounds { far_crashes: 1, lost_folders: 1, refusals: 1, ..cut },
        ),
        case(
            "hop: one that may go twice: a cut, the far side dies and has lost its folder",
            &[false],
            Bounds { far_crashes: 1, lost_folders: 1, ..cut },
        ),
        case("hop: a cut, a copy, the far side dies", &[true], Bounds { far_crashes: 1, copies: 1, ..cut }),
        case("hop: a cut, both sides die", &[true], Bounds { near_crashes: 1, far_crashes: 1, ..cut }),
        case("hop: a cut, a copy, the near side dies", &[true], Bounds { near_crashes: 1, copies: 1, ..cut }),
        case("hop: two cuts, a copy, a refusal", &[true], Bounds { cuts: 2, copies: 1, refusals: 1, ..CALM }),
    ]
}

/// One message of each kind, with a cut, and a crash of either side: minutes.
pub fn large() -> Vec<Case> {
    let cut = Bounds { cuts: 1, tries: 1, ..CALM };
    let case = |name, bounds| Case { name, bounds, once: vec![true, false] };
    let all = Bounds { near_crashes: 1, far_crashes: 1, lost_folders: 1, tries: 2, ..cut };
    vec![
        Case {
            once: vec![false],
            ..case("hop: one that may go twice: a cut, both sides die, a lost folder", all)
        },
        case("hop: one of each kind, a cut", cut),
        case("hop: one of each kind, a cut, the near side dies", Bounds { near_crashes: 1, ..cut }),
        case("hop: one of each kind, a cut, the far side dies", Bounds { far_crashes: 1, ..cut }),
    ]
}

/// Every fault that can be planted in the hop, by its name.
pub fn faults() -> Vec<(String, Faults)> {
    let near = near::Fault::ALL.map(|f| (format!("near {f:?}"), Faults { near: Some(f), far: None }));
    let far = far::Fault::ALL.map(|f| (format!("far {f:?}"), Faults { near: None, far: Some(f) }));
    near.into_iter().chain(far).collect()
}

impl Case {
    /// Nothing has happened in it yet.
    pub fn start(&self, faults: Faults) -> Hop {
        Hop::new(self.bounds, &self.once, faults)
    }
}

/// A way for people: a step a line.
pub fn text(way: &Way<Hop>) -> String {
    let mut out = String::new();
    for (hop, step) in way {
        match (step, hop.breach) {
            (Some(Step { what, crash: None }), _) => out += &format!("  {what:?}\n"),
            (Some(Step { what, crash: Some((side, after, bare)) }), _) => {
                let bare = if *bare { ", without its folder" } else { "" };
                out += &format!("  {what:?}; the {side:?} side DIES after {after} effects{bare}\n");
            }
            (None, Some(name)) => out += &format!("  does not hold: {name}\n"),
            (None, None) => {}
        }
    }
    out
}
