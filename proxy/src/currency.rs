//! Which configuration this stall acts on, and which one control was heard to say stands.
//!
//! Invariant: neither ever goes back in one life. A route that is not known here is said to be nowhere (404) only by a stall that acts on
//! what a majority stood behind after the stall had started: its agent may feed it one that has been overtaken.

use std::cell::Cell;

/// Both revisions; 0: none yet.
#[derive(Default)]
pub struct Currency {
    acted: Cell<u64>,
    /// None until control was heard in this life.
    stands: Cell<Option<u64>>,
}

impl Currency {
    /// The revision that is acted on.
    pub fn acted(&self) -> u64 {
        self.acted.get()
    }

    /// This one is acted on from now on.
    pub fn act(&self, revision: u64) {
        self.acted.set(self.acted.get().max(revision));
    }

    /// Control says that a majority stands behind this one.
    pub fn stands(&self, revision: u64) {
        self.stands.set(self.stands.get().max(Some(revision)));
    }

    /// Whether control has still to be asked.
    pub fn asks(&self) -> bool {
        self.stands.get().is_none()
    }

    /// Whether a route that is not known here is known to be nowhere.
    pub fn knows_routes(&self) -> bool {
        self.stands.get().is_some_and(|stands| self.acted.get() >= stands)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stall_that_starts_denies_no_route_before_it_acts_on_what_stands() {
        let currency = Currency::default();
        currency.act(11);
        assert!(currency.asks() && !currency.knows_routes());
        currency.stands(12);
        assert!(!currency.asks() && !currency.knows_routes());
        currency.act(12);
        assert!(currency.knows_routes());
        // A late word, and a late configuration, change nothing.
        currency.stands(11);
        currency.act(11);
        assert!(currency.knows_routes() && currency.acted() == 12);
    }
}
