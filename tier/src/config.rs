//! The terms that a fleet shares on. All dispatchers are to have the same; what holds where they differ is in
//! `docs/design/009-shared-state.md`.

use serde::Deserialize;

use crate::Nanos;

/// What is wrong with the terms.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct InvalidSetting {
    /// The setting.
    pub key: &'static str,
    /// Why it can't be.
    pub reason: &'static str,
}

/// The terms, as operators give them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TierConfig {
    /// Anything is shared at all.
    pub enabled: bool,
    /// Time between two rounds, in which what is urgent is sent: news of endpoints, and what is asked for or lent;
    /// milliseconds.
    pub beat_ms: u64,
    /// With nothing urgent to say, datagrams go out this often, milliseconds.
    pub quiet_ms: u64,
    /// Peers that are sent a datagram in each round.
    pub fanout: usize,
    /// A peer of which nothing new was heard for so long is suspected, milliseconds.
    pub suspected_ms: u64,
    /// ... is silent.
    pub silent_ms: u64,
    /// ... is gone.
    pub gone_ms: u64,
    /// Each keeps to its part of a destination's budgets. Without it nothing is lent either.
    pub budgets: bool,
    /// Unused parts of budgets are lent.
    pub lend: bool,
    /// Peers that are asked to lend, a second.
    pub asks_per_second: u64,
    /// How long a borrowed part may be used, from the asking, milliseconds.
    pub term_ms: u64,
    /// Clocks of two dispatchers may run apart by this, in parts of a thousand.
    pub clock_rate_permille: u64,
    /// What others saw of endpoints is heeded.
    pub hearsay: bool,
    /// Others that must have seen an endpoint fail.
    pub witnesses: usize,
    /// No more of a destination's endpoints are avoided on hearsay, percent.
    pub avoid_percent: u64,
    /// What was seen counts for so long, milliseconds.
    pub fade_ms: u64,
    /// Budgets are kept where nobody tells the limit: it is worked out from the counts of all.
    pub estimate: bool,
    /// A fault that is in place.
    #[cfg(feature = "faults")]
    pub planted: Option<crate::Fault>,
}

impl Default for TierConfig {
    fn default() -> Self {
        TierConfig {
            enabled: false,
            beat_ms: 100,
            quiet_ms: 500,
            fanout: 4,
            suspected_ms: 2_000,
            silent_ms: 5_000,
            gone_ms: 60_000,
            budgets: true,
            lend: true,
            asks_per_second: 30,
            term_ms: 2_000,
            clock_rate_permille: 10,
            hearsay: true,
            witnesses: 2,
            avoid_percent: 50,
            fade_ms: 5_000,
            estimate: true,
            #[cfg(feature = "faults")]
            planted: None,
        }
    }
}

impl TierConfig {
    /// Whether they make sense.
    ///
    /// # Errors
    /// The first setting that does not.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let wrong = |key, reason| Err(InvalidSetting { key, reason });
        match self {
            t if !(10..=10_000).contains(&t.beat_ms) => wrong("beat_ms", "not between 10 and 10000"),
            t if !(1..=32).contains(&t.fanout) => wrong("fanout", "not between 1 and 32"),
            t if !(t.beat_ms..=60_000).contains(&t.quiet_ms) => {
                wrong("quiet_ms", "under a beat, or over a minute")
            }
            t if t.asks_per_second > 1_000 => wrong("asks_per_second", "over 1000"),
            t if t.suspected_ms < 2 * t.quiet_ms => wrong("suspected_ms", "under two of quiet_ms"),
            t if t.silent_ms < t.suspected_ms => wrong("silent_ms", "under suspected_ms"),
            t if t.gone_ms < t.silent_ms => wrong("gone_ms", "under silent_ms"),
            t if t.gone_ms > 86_400_000 => wrong("gone_ms", "over a day"),
            t if t.term_ms < 2 * t.beat_ms => wrong("term_ms", "under two beats"),
            t if t.term_ms > 60_000 => wrong("term_ms", "over a minute"),
            t if t.clock_rate_permille > 100 => wrong("clock_rate_permille", "over 100"),
            t if t.witnesses < 2 => wrong("witnesses", "one alone may be the one at fault"),
            t if t.avoid_percent > 90 => wrong("avoid_percent", "over 90"),
            t if !(500..=60_000).contains(&t.fade_ms) => wrong("fade_ms", "not between 500 and 60000"),
            _ => Ok(()),
        }
    }

    pub(crate) fn lends(&self) -> bool {
        self.budgets && self.lend
    }
    pub(crate) fn beat(&self) -> Nanos {
        ms(self.beat_ms)
    }
    pub(crate) fn quiet(&self) -> Nanos {
        ms(self.quiet_ms)
    }
    pub(crate) fn fade(&self) -> Nanos {
        ms(self.fade_ms)
    }
    /// How long a borrower may use what it borrowed, from its asking, by its own clock.
    pub fn term(&self) -> Nanos {
        ms(self.term_ms)
    }
    /// How long a lender does without what it lent, from its granting, by its own clock. The borrower asked before, and
    /// counts a shorter time; its clock may be slow by the stated rate while the lender's is fast by it.
    pub fn hold(&self) -> Nanos {
        let (slow, fast) = (1_000 - self.clock_rate_permille, 1_000 + self.clock_rate_permille);
        (self.term().saturating_mul(fast)).div_ceil(slow.max(1))
    }
}

pub(crate) fn ms(ms: u64) -> Nanos {
    ms.saturating_mul(1_000_000)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lender_waits_longer_than_any_borrower_by_whatever_clock() {
        let terms = TierConfig::default();
        assert_eq!(terms.check(), Ok(()));
        // In true time: the borrower's slow clock, the lender's fast one.
        let rate = terms.clock_rate_permille as f64 / 1e3;
        let (borrower, lender) = (terms.term() as f64 / (1.0 - rate), terms.hold() as f64 / (1.0 + rate));
        assert!(lender >= borrower, "{lender} {borrower}");
    }

    #[test]
    fn terms_that_make_no_sense_are_named() {
        for (wrong, key) in [
            (TierConfig { beat_ms: 1, ..TierConfig::default() }, "beat_ms"),
            (TierConfig { witnesses: 1, ..TierConfig::default() }, "witnesses"),
            (TierConfig { term_ms: 100, ..TierConfig::default() }, "term_ms"),
            (TierConfig { silent_ms: 100, ..TierConfig::default() }, "silent_ms"),
            (TierConfig { fanout: 0, ..TierConfig::default() }, "fanout"),
        ] {
            assert_eq!(wrong.check().map_err(|wrong| wrong.key), Err(key));
        }
    }
}
