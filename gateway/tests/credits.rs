//! Credits, against a plain count of what they stand for.

use std::collections::BTreeMap;

use millpost_gateway::credit::{Credits, Grants};
use proptest::prelude::*;

proptest! {
    /// Whatever both sides do, no bound is passed, and nothing is lost: with all over, all is free again.
    #[test]
    fn bounds_hold_and_nothing_is_lost(
        steps in prop::collection::vec((0..5_u8, 0..4_u64, 1..9_u32), 1..300),
        whole in 1..20_u32,
        share in 1..20_u32,
    ) {
        let (mut grants, mut credits) = (Grants::new(whole, share), Credits::default());
        let mut under_way: BTreeMap<u64, u32> = BTreeMap::new();
        for (what, dest, pace) in steps {
            match what {
                0 | 1 => credits.granted(dest, grants.grant(dest, pace)),
                2 => if credits.spend(dest) {
                    prop_assert!(grants.offered(dest), "granted, and not taken");
                    *under_way.entry(dest).or_default() += 1;
                },
                3 => if let Some(n) = under_way.get_mut(&dest).filter(|n| **n > 0) {
                    *n -= 1;
                    grants.over(dest);
                },
                _ => {
                    grants.link_down();
                    credits.link_down();
                }
            }
            prop_assert!(grants.used() <= whole);
            prop_assert!(under_way.values().all(|n| *n <= share.min(whole)));
        }
        for (dest, n) in under_way {
            (0..n).for_each(|_| grants.over(dest));
        }
        grants.link_down();
        prop_assert_eq!(grants.used(), 0);
    }
}

#[test]
fn one_slow_destination_holds_up_no_other() {
    let mut grants = Grants::new(100, 10);
    assert_eq!(grants.grant(1, 50), 10);
    assert!((0..10).all(|_| grants.offered(1)));
    // It delivers nothing: no more for it, and as much as ever for another.
    assert_eq!((grants.grant(1, 50), grants.grant(2, 50)), (0, 10));
    assert!(!grants.offered(1) && grants.offered(2));
    grants.over(1);
    assert_eq!(grants.grant(1, 50), 1);
}
