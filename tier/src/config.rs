//! Settings of the shared state. All dispatchers should use the same; `docs/design/009-shared-state.md`
//! describes what holds if they differ.

use serde::Deserialize;

use crate::Nanos;

/// A setting with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct InvalidSetting {
    /// Name of the setting.
    pub key: &'static str,
    /// Why the value is invalid.
    pub reason: &'static str,
}

/// Settings of the shared state, as configured by operators.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TierConfig {
    /// Whether state is shared at all.
    pub enabled: bool,
    /// Interval of rounds, in milliseconds. Urgent items are sent in each: endpoint observations, loan
    /// requests and grants.
    pub beat_ms: u64,
    /// Interval of datagrams without urgent items, in milliseconds.
    pub quiet_ms: u64,
    /// Number of peers that are sent a datagram in each round.
    pub fanout: usize,
    /// Time without a newer heartbeat after which a peer is suspected, in milliseconds.
    pub suspected_ms: u64,
    /// Time without a newer heartbeat after which a peer is silent, in milliseconds.
    pub silent_ms: u64,
    /// Time without a newer heartbeat after which a peer is gone, in milliseconds.
    pub gone_ms: u64,
    /// Whether each dispatcher keeps to its share of a destination's limit. Lending requires it.
    pub budgets: bool,
    /// Whether unused shares are lent.
    pub lend: bool,
    /// Maximum number of loan requests per second.
    pub asks_per_second: u64,
    /// How long a borrowed share may be used, counted from the request, in milliseconds.
    pub term_ms: u64,
    /// Maximum rate difference of the clocks of two dispatchers, per mille.
    pub clock_rate_permille: u64,
    /// Whether observations of other dispatchers are used.
    pub hearsay: bool,
    /// Number of other dispatchers that must have seen an endpoint fail.
    pub witnesses: usize,
    /// Maximum share of a destination's endpoints that are avoided because of others' observations, in
    /// percent.
    pub avoid_percent: u64,
    /// How long an observation counts, in milliseconds.
    pub fade_ms: u64,
    /// Whether unknown limits are estimated from the call counts of all dispatchers.
    pub estimate: bool,
    /// Fault planted by a test.
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
    /// Checks that all values are valid.
    ///
    /// # Errors
    /// The first setting with an invalid value.
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
    /// How long a borrower may use a borrowed share, counted from its request on its own clock.
    pub fn term(&self) -> Nanos {
        ms(self.term_ms)
    }
    /// How long a lender does not use a lent share, counted from its grant on its own clock. It outlasts the
    /// borrower's term, which starts earlier, even if the borrower's clock is slow and the lender's is fast
    /// by the configured rate.
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
    fn hold_outlasts_term_for_all_allowed_clock_rates() {
        let terms = TierConfig::default();
        assert_eq!(terms.check(), Ok(()));
        // In real time, with a slow clock at the borrower and a fast one at the lender.
        let rate = terms.clock_rate_permille as f64 / 1e3;
        let (borrower, lender) = (terms.term() as f64 / (1.0 - rate), terms.hold() as f64 / (1.0 + rate));
        assert!(lender >= borrower, "{lender} {borrower}");
    }

    #[test]
    fn invalid_settings_are_named() {
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
