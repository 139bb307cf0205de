//! Credits on the hop: how many offers for each destination may be under way, so that one slow destination holds up no other
//! and memory is bounded on both sides.
//!
//! The far side grants, the near side spends; a credit is spent by an offer and comes back with its end. Invariants kept
//! here: no destination has more under way than its share, all together no more than the whole, and a destination that is
//! first heard of always gets one while the whole is not used up.

use std::collections::BTreeMap;

use serde::Serialize;

/// A destination.
pub type DestId = u64;

/// The far side's grants to one near side.
#[derive(Clone, Debug, Serialize)]
pub struct Grants {
    /// Offers under way in all, at most.
    whole: u32,
    /// For one destination, at most.
    share: u32,
    used: u32,
    by_dest: BTreeMap<DestId, Grant>,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Grant {
    /// Granted and not offered yet.
    granted: u32,
    /// Offered and not over.
    under_way: u32,
}

impl Grants {
    /// No more than `whole` offers under way, and `share` of them for one destination; both at least one.
    pub fn new(whole: u32, share: u32) -> Self {
        let whole = whole.max(1);
        Grants { whole, share: share.clamp(1, whole), used: 0, by_dest: BTreeMap::new() }
    }

    /// What may be granted to a destination now, beyond what it was: the caller tells the near side so. `pace` is what the
    /// destination takes, in offers that may wait for it.
    pub fn grant(&mut self, dest: DestId, pace: u32) -> u32 {
        let grant = self.by_dest.entry(dest).or_default();
        let most = self.share.min(pace.max(1));
        let more = most.saturating_sub(grant.granted + grant.under_way).min(self.whole - self.used);
        grant.granted += more;
        self.used += more;
        more
    }

    /// An offer came. Whether it had a credit; one without is refused, which costs nothing.
    pub fn offered(&mut self, dest: DestId) -> bool {
        let Some(grant) = self.by_dest.get_mut(&dest).filter(|grant| grant.granted > 0) else { return false };
        grant.granted -= 1;
        grant.under_way += 1;
        true
    }

    /// An offer that had a credit is over.
    pub fn over(&mut self, dest: DestId) {
        let Some(grant) = self.by_dest.get_mut(&dest).filter(|grant| grant.under_way > 0) else { return };
        grant.under_way -= 1;
        self.used -= 1;
        if grant.granted + grant.under_way == 0 {
            self.by_dest.remove(&dest);
        }
    }

    /// The link is gone, and with it what was granted on it and not used; what is under way still counts.
    pub fn link_down(&mut self) {
        for grant in self.by_dest.values_mut() {
            self.used -= std::mem::take(&mut grant.granted);
        }
        self.by_dest.retain(|_, grant| grant.under_way > 0);
    }

    /// Offers granted or under way.
    pub fn used(&self) -> u32 {
        self.used
    }
}

/// What the near side has been granted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Credits {
    by_dest: BTreeMap<DestId, u32>,
}

/// Destinations that a far side may grant credits for, at most: it may name any number.
pub const MOST_DESTINATIONS: usize = 1 << 20;

impl Credits {
    /// The far side grants so many more.
    pub fn granted(&mut self, dest: DestId, more: u32) {
        if more > 0 && (self.by_dest.contains_key(&dest) || self.by_dest.len() < MOST_DESTINATIONS) {
            let credit = self.by_dest.entry(dest).or_default();
            *credit = credit.saturating_add(more);
        }
    }

    /// Takes one, if there is any.
    pub fn spend(&mut self, dest: DestId) -> bool {
        let Some(credit) = self.by_dest.get_mut(&dest) else { return false };
        *credit -= 1;
        if *credit == 0 {
            self.by_dest.remove(&dest);
        }
        true
    }

    /// The link is gone: grants go with it.
    pub fn link_down(&mut self) {
        self.by_dest.clear();
    }
}
