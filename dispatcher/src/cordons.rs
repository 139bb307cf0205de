//! Endpoints that operators have cordoned, independently of discovery: an overlay of the endpoint list, by
//! name. No I/O.
//!
//! Invariant: there are at most [`MAX_CORDONS`] names. A name is removed only by uncordoning it.

use std::collections::BTreeSet;

/// Maximum number of cordoned endpoints; bounds disk use and is far above practical numbers.
const MAX_CORDONS: usize = 1_000;

/// The cordoned endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cordons(BTreeSet<String>);

/// The change that a command makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// None: the endpoint already has the requested state.
    None,
    /// Cordons the endpoint.
    Out,
    /// Uncordons the endpoint.
    Back,
}

impl Cordons {
    /// Restores the stored cordons.
    pub fn from_stored(names: impl IntoIterator<Item = String>) -> Self {
        Cordons(names.into_iter().collect())
    }

    /// Whether the endpoint is cordoned.
    pub fn has(&self, name: &str) -> bool {
        self.0.contains(name)
    }

    /// The change that a command would make, without making it. `listed` tells whether the endpoint is in the
    /// list.
    ///
    /// # Errors
    /// If the endpoint is unknown or the limit is reached.
    pub fn check(&self, name: &str, out: bool, listed: bool) -> Result<Change, &'static str> {
        match (self.has(name), out) {
            (false, _) if !listed => Err("nobody has this id"),
            (false, true) if self.0.len() >= MAX_CORDONS => Err("too many endpoints are out"),
            (false, true) => Ok(Change::Out),
            (true, false) => Ok(Change::Back),
            (true, true) | (false, false) => Ok(Change::None),
        }
    }

    /// Makes a change, which must be stored already.
    pub fn apply(&mut self, name: &str, change: Change) {
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

    /// Compares random commands with a simple model: per name, whether it is listed, and whether the last
    /// accepted command cordoned it.
    #[test]
    fn endpoint_is_cordoned_until_it_is_uncordoned() {
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
                        let result = cordons.check(&name, out, *listed);
                        assert_eq!(result.is_ok(), *listed || *is_out, "seed {seed}: {name}");
                        if let Ok(change) = result {
                            assert_eq!(change == Change::None, out == *is_out, "seed {seed}: {name}");
                            cordons.apply(&name, change);
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
    fn number_of_cordons_is_limited() {
        let mut cordons = Cordons::from_stored((0..MAX_CORDONS).map(|n| n.to_string()));
        assert!(cordons.check("one more", true, true).is_err());
        assert_eq!(cordons.check("7", false, false), Ok(Change::Back), "also an endpoint that is not listed");
        cordons.apply("7", Change::Back);
        assert_eq!(cordons.check("one more", true, true), Ok(Change::Out));
    }
}
