//! Settings for dispatchers that use outdated versions.

use serde::Deserialize;

use crate::config::{InvalidSetting, ms};
use crate::versions::Kind;
use crate::{Nanos, Peer};

/// Maximum number of dispatchers that can vote: the votes must fit into one datagram.
pub const MAX_DISPATCHERS: u16 = 1_024;

/// Settings for dispatchers that use outdated versions, as configured by operators.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Whether dispatchers report the versions they use.
    pub enabled: bool,
    /// Whether a dispatcher that is behind queries its sources again and applies cordons and drains known to
    /// others.
    pub catch_up: bool,
    /// Whether a dispatcher that is behind for longer than allowed accepts no new messages.
    pub shut_out: bool,
    /// How long a list may be used that the majority has replaced, in milliseconds; 0 for no limit.
    pub list_ms: u64,
    /// The same for settings.
    pub settings_ms: u64,
    /// The same for cordons and drains.
    pub cordons_ms: u64,
    /// The same for the program.
    pub program_ms: u64,
    /// Programs with a lower version of the state layout are found behind immediately by a majority of
    /// others; 0 disables.
    pub floor_layout: u32,
    /// Minimum share of the configured dispatchers that are never shut out, in percent.
    pub serve_percent: u64,
    /// If more dispatchers than this share (and more than one) are behind on one kind, it is a roll-out and
    /// none is shut out; in percent.
    pub rollout_percent: u64,
    /// Minimum interval of repeated queries to a dispatcher's own source, in milliseconds.
    pub ask_again_ms: u64,
    /// Maximum of the random delay before a dispatcher that caught up accepts messages again, in
    /// milliseconds. It doubles each time in a row.
    pub return_ms: u64,
    /// Maximum rate of datagrams that synchronise records, in bytes per second.
    pub sync_bytes_per_second: u64,
    /// Maximum share of a destination's endpoints held because of drains known only from others, in percent.
    pub drained_percent: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            enabled: false,
            catch_up: true,
            shut_out: true,
            list_ms: 30_000,
            settings_ms: 300_000,
            cordons_ms: 30_000,
            program_ms: 0,
            floor_layout: 0,
            serve_percent: 66,
            rollout_percent: 25,
            ask_again_ms: 5_000,
            return_ms: 2_000,
            sync_bytes_per_second: 2_000,
            drained_percent: 50,
        }
    }
}

impl Rules {
    /// Checks that all values are valid.
    ///
    /// # Errors
    /// The first setting with an invalid value.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let wrong = |key, reason| Err(InvalidSetting { key, reason });
        let bound = |ms: u64| ms == 0 || (1_000..=86_400_000).contains(&ms);
        match self {
            r if !bound(r.list_ms) => wrong("list_ms", "neither 0 nor between a second and a day"),
            r if !bound(r.settings_ms) => wrong("settings_ms", "neither 0 nor between a second and a day"),
            r if !bound(r.cordons_ms) => wrong("cordons_ms", "neither 0 nor between a second and a day"),
            r if !bound(r.program_ms) => wrong("program_ms", "neither 0 nor between a second and a day"),
            r if !(50..=100).contains(&r.serve_percent) => wrong("serve_percent", "not between 50 and 100"),
            r if !(1..=50).contains(&r.rollout_percent) => wrong("rollout_percent", "not between 1 and 50"),
            r if !(200..=3_600_000).contains(&r.ask_again_ms) => {
                wrong("ask_again_ms", "not between 200 and 3600000")
            }
            r if !(100..=600_000).contains(&r.return_ms) => wrong("return_ms", "not between 100 and 600000"),
            r if !(256..=100_000).contains(&r.sync_bytes_per_second) => {
                wrong("sync_bytes_per_second", "not between 256 and 100000")
            }
            r if r.drained_percent > 90 => wrong("drained_percent", "over 90"),
            _ => Ok(()),
        }
    }

    /// How long a dispatcher may be behind on a kind; `None` for no limit.
    pub(crate) fn bound(&self, kind: Kind) -> Option<Nanos> {
        let bound = match kind {
            Kind::List => self.list_ms,
            Kind::Settings => self.settings_ms,
            Kind::Cordons => self.cordons_ms,
            Kind::Program => self.program_ms,
        };
        (bound > 0).then(|| ms(bound))
    }

    /// Returns how many of `of` dispatchers may be shut out at once.
    pub fn may_be_out(&self, of: u16) -> usize {
        let serve = (u64::from(of) * self.serve_percent).div_ceil(100);
        usize::from(of) - serve.min(of.into()) as usize
    }

    /// Maximum number of dispatchers that one votes against at once. Each that is shut out has votes of more
    /// than half, so fewer than twice this number are shut out, whatever each of them knows.
    pub(crate) fn votes(&self, of: u16) -> usize {
        self.may_be_out(of).div_ceil(2)
    }

    /// Maximum number of stragglers on one kind; more are a roll-out.
    pub(crate) fn stragglers(&self, of: u16) -> usize {
        (usize::from(of) * self.rollout_percent as usize / 100).max(1)
    }
}

/// Whether `count` is more than half of the configured dispatchers.
pub(crate) fn most(count: usize, of: u16) -> bool {
    2 * count > usize::from(of)
}

/// A set of dispatchers that is sent in datagrams.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Voters(Vec<u8>);

impl Voters {
    /// Adds a dispatcher. Returns whether it is new.
    pub fn add(&mut self, who: Peer) -> bool {
        let (byte, bit) = (usize::from(who) / 8, 1 << (who % 8));
        if who >= MAX_DISPATCHERS {
            return false;
        }
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        let new = self.0[byte] & bit == 0;
        self.0[byte] |= bit;
        new
    }

    /// Adds all configured dispatchers of another set. Returns whether any is new.
    pub fn join(&mut self, other: &Voters, of: u16) -> bool {
        let before = self.count();
        for who in (0..of.min(MAX_DISPATCHERS)).filter(|who| other.has(*who)) {
            self.add(who);
        }
        self.count() > before
    }

    /// Returns whether a dispatcher is in the set.
    pub fn has(&self, who: Peer) -> bool {
        self.0.get(usize::from(who) / 8).is_some_and(|byte| byte & (1 << (who % 8)) != 0)
    }

    /// Returns the number of dispatchers in the set.
    pub fn count(&self) -> usize {
        self.0.iter().map(|byte| byte.count_ones() as usize).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn minimum_share_serves_with_any_votes() {
        for of in 1..=300 {
            for serve_percent in [50, 66, 75, 90, 100] {
                let rules = Rules { serve_percent, ..Rules::default() };
                let (votes, may) = (rules.votes(of), rules.may_be_out(of));
                // Each dispatcher that is shut out needs more than half of all votes.
                let needed = usize::from(of) / 2 + 1;
                assert!(votes * usize::from(of) / needed <= may, "{of} at {serve_percent}");
                assert!((usize::from(of) - may) * 100 >= usize::from(of) * serve_percent as usize);
            }
        }
        assert_eq!(Rules::default().may_be_out(3), 1);
    }

    #[test]
    fn voters_form_a_set() {
        let (mut a, mut b) = (Voters::default(), Voters::default());
        assert!(a.add(3) && !a.add(3) && a.add(17) && !a.add(MAX_DISPATCHERS));
        assert!(b.add(200) && b.join(&a, 18) && !b.join(&a, 18));
        assert_eq!((a.count(), b.count(), b.has(17), b.has(16)), (2, 3, true, false));
        assert!(!a.join(&b, 200), "there is no such dispatcher");
    }

    #[test]
    fn invalid_settings_are_named() {
        assert_eq!(Rules::default().check(), Ok(()));
        for (wrong, key) in [
            (Rules { list_ms: 10, ..Rules::default() }, "list_ms"),
            (Rules { serve_percent: 20, ..Rules::default() }, "serve_percent"),
            (Rules { rollout_percent: 0, ..Rules::default() }, "rollout_percent"),
            (Rules { sync_bytes_per_second: 1, ..Rules::default() }, "sync_bytes_per_second"),
        ] {
            assert_eq!(wrong.check().map_err(|wrong| wrong.key), Err(key));
        }
    }
}
