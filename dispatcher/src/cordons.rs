//! Endpoints that the staff has taken out by hand, whatever discovery lists: an overlay of the list, by names. No I/O.
//!
//! Kept bound: no more names than [`MOST`]; each leaves by the call that puts it back, and by nothing else.

use std::collections::BTreeSet;

/// Names that are kept at once. Guards the disk; nobody takes out so many.
const MOST: usize = 1_000;

/// The endpoints that are out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cordons(BTreeSet<String>);

/// What a call changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it is so already.
    None,
    /// The endpoint is out from now on.
    Out,
    /// It may be used again.
    Back,
}

impl Cordons {
    /// As they were noted.
    pub fn noted(names: impl IntoIterator<Item = String>) -> Self {
        Cordons(names.into_iter().collect())
    }

    /// The endpoint is out.
    pub fn has(&self, name: &str) -> bool {
        self.0.contains(name)
    }

    /// What a call would change; `listed` where the list names the endpoint. Nothing is changed yet.
    pub fn asked(&self, name: &str, out: bool, listed: bool) -> Result<Change, &'static str> {
        match (self.has(name), out) {
            (false, _) if !listed => Err("nobody has this id"),
            (false, true) if self.0.len() >= MOST => Err("too many endpoints are out"),
            (false, true) => Ok(Change::Out),
            (true, false) => Ok(Change::Back),
            (true, true) | (false, false) => Ok(Change::None),
        }
    }

    /// Makes a change, once it is noted.
    pub fn make(&mut self, name: &str, change: Change) {
        match change {
            Change::None => {}
            Change::Out => drop(self.0.insert(name.to_owned())),
            Change::Back => drop(self.0.remove(name)),
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use millpost::RandomSource;

    use super::*;

    /// Against a plain model: for each name, whether it is listed and whether the last call that was granted took it out.
    #[test]
    fn an_endpoint_is_out_from_the_call_that_takes_it_out_to_the_one_that_puts_it_back() {
        for seed in 0..50 {
            let (mut dice, mut cordons) = (RandomSource::seeded(seed), Cordons::default());
            let mut model: BTreeMap<String, (bool, bool)> = BTreeMap::new();
            for _ in 0..400 {
                let name = format!("s-{}", (dice.next_f64() * 6.0) as u32);
                let (listed, is_out) = model.entry(name.clone()).or_default();
                match (dice.next_f64() * 4.0) as u32 {
                    0 => *listed = !*listed,
                    n => {
                        let out = n == 1 || n == 2;
                        let asked = cordons.asked(&name, out, *listed);
                        assert_eq!(asked.is_ok(), *listed || *is_out, "seed {seed}: {name}");
                        if let Ok(change) = asked {
                            assert_eq!(change == Change::None, out == *is_out, "seed {seed}: {name}");
                            cordons.make(&name, change);
                            *is_out = out;
                        }
                    }
                }
                for (name, (_, is_out)) in &model {
                    assert_eq!(cordons.has(name), *is_out, "seed {seed}: {name}");
                }
            }
        }
    }

    #[test]
    fn names_are_bounded() {
        let mut cordons = Cordons::noted((0..MOST).map(|n| n.to_string()));
        assert!(cordons.asked("one more", true, true).is_err());
        assert_eq!(cordons.asked("7", false, false), Ok(Change::Back), "also one that the list has not");
        cordons.make("7", Change::Back);
        assert_eq!(cordons.asked("one more", true, true), Ok(Change::Out));
    }
}
