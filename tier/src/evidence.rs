//! Observations of endpoints by dispatchers. Observations are exchanged; each dispatcher draws its own
//! verdict.
//!
//! Invariants:
//!
//! - Own observations take precedence over those of others, which expire.
//! - An endpoint is avoided only with the configured number of witnesses, and with more than those that reach
//!   it.
//! - At most the configured share of a destination's endpoints is avoided because of others' observations.
//! - A requested wait applies until its end, and no observation shortens it.
//! - An older observation of an author never replaces a newer one, even after the newer one was dropped.
//! - A dispatcher at which most endpoints fail that others reach reports no failures, since it is itself at
//!   fault.
//!
//! Memory is bounded by one observation for each listed endpoint and configured dispatcher.

use std::collections::BTreeMap;

use crate::config::{TierConfig, ms};
use crate::frame::{Observation, Reachability};
use crate::planted::{Fault, Planted};
use crate::{EndpointHash, Incarnation, Nanos, Peer};

/// Maximum number of times an observation is forwarded.
const MAX_HOPS: u8 = 8;
/// Number of consecutive failed calls before a failure is reported.
const MIN_FAILED_CALLS: u32 = 2;
/// Minimum interval of own reports on an endpoint.
const REPORT_INTERVAL: Nanos = 500_000_000;
/// Maximum length of a wait that is forwarded.
const MAX_FORWARDED_WAIT: Nanos = 3_600_000_000_000;

/// Result of a call with respect to the reachability of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered, so the endpoint is reachable.
    Answered,
    /// No connection, a broken connection, or a time-out.
    Failed,
}

/// This dispatcher's own observation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    fails: u32,
    failed_at: Nanos,
    ok_at: Option<Nanos>,
    wait_until: Nanos,
    /// What it reported last, and when.
    told: Reachability,
    told_at: Option<Nanos>,
    seq: u32,
    hot: u8,
}

#[derive(Clone, Copy, Debug)]
struct Piece {
    incarnation: Incarnation,
    seq: u32,
    hops: u8,
    sight: Reachability,
    /// When it was observed.
    at: Nanos,
    wait_until: Nanos,
    /// How many more times it is to be forwarded.
    hot: u8,
}

/// Verdict on an endpoint, from the observations of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No objection.
    Open,
    /// Enough witnesses can't reach it. The verdict expires at this time at the latest.
    Accused(Nanos),
}

/// All observations known to one dispatcher.
#[derive(Clone, Debug)]
pub struct Evidence {
    me: Peer,
    own: BTreeMap<EndpointHash, Own>,
    others: BTreeMap<(EndpointHash, Peer), Piece>,
    /// For each author, the last dropped observation: this and earlier ones are not accepted again.
    floors: Vec<(Incarnation, u32)>,
    seq: u32,
    at_fault: bool,
    /// The observation that was last repeated in turn.
    repeated: (EndpointHash, Peer),
    pub(crate) planted: Planted,
}

impl Evidence {
    /// Creates an empty state.
    pub fn new(me: Peer, of: u16) -> Self {
        Evidence {
            me,
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            floors: vec![(0, 0); usize::from(of)],
            seq: 0,
            at_fault: false,
            repeated: (0, 0),
            planted: Planted::default(),
        }
    }

    /// Records the result of an own call.
    pub fn record_result(&mut self, now: Nanos, place: EndpointHash, end: End) {
        let own = self.own.entry(place).or_default();
        match end {
            End::Answered => {
                if own.fails >= MIN_FAILED_CALLS {
                    self.at_fault = false;
                }
                (own.fails, own.ok_at) = (0, Some(now));
            }
            End::Failed => (own.fails, own.failed_at) = (own.fails.saturating_add(1), now),
        }
    }

    /// Records a wait that an endpoint requested.
    pub fn record_wait(&mut self, now: Nanos, place: EndpointHash, until: Nanos) {
        let own = self.own.entry(place).or_default();
        if until > own.wait_until {
            own.wait_until = until.min(now.saturating_add(MAX_FORWARDED_WAIT));
            own.told_at = None;
        }
    }

    fn fails(own: &Own, now: Nanos, fade: Nanos) -> bool {
        own.fails >= MIN_FAILED_CALLS && now.saturating_sub(own.failed_at) < fade
    }

    fn witnesses(&self, now: Nanos, place: EndpointHash, sight: Reachability, fade: Nanos) -> usize {
        let pieces = self.others.range((place, 0)..=(place, Peer::MAX)).map(|(_, piece)| piece);
        pieces.filter(|p| p.sight == sight && now.saturating_sub(p.at) < fade).count()
    }

    /// Updates the own observations to report, each to be forwarded `pass_on` times. To be called once per
    /// round.
    pub fn publish(&mut self, now: Nanos, terms: &TierConfig, pass_on: u8) {
        let fade = terms.fade();
        self.update_at_fault(now, terms);
        let places: Vec<EndpointHash> = self.own.keys().copied().collect();
        for place in places {
            let own = self.own[&place];
            let accused = self.witnesses(now, place, Reachability::Failing, fade);
            let fine = self.witnesses(now, place, Reachability::Fine, fade);
            let reached = own.fails == 0 && own.ok_at.is_some_and(|at| now.saturating_sub(at) < fade / 2);
            let sight = match own {
                // A dispatcher at fault withdraws its failure reports.
                own if Self::fails(&own, now, fade) && self.at_fault => Reachability::Nothing,
                // There are enough witnesses already.
                own if Self::fails(&own, now, fade)
                    && (own.told == Reachability::Failing || accused < 3 * terms.witnesses) =>
                {
                    Reachability::Failing
                }
                _ if reached
                    && (accused > 0 || own.told == Reachability::Failing)
                    && fine < 3 * terms.witnesses =>
                {
                    Reachability::Fine
                }
                own if own.told == Reachability::Failing && !Self::fails(&own, now, fade) => {
                    Reachability::Nothing
                }
                own if own.told_at.is_none() => Reachability::Nothing,
                _ => continue,
            };
            let waits = own.wait_until > now && own.told_at.is_none();
            let due = own.told_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
            let changed = sight != own.told;
            let fresh = sight == Reachability::Failing && own.failed_at > own.told_at.unwrap_or(0)
                || sight == Reachability::Fine && own.ok_at > own.told_at;
            if waits || due && (changed || fresh) {
                self.seq = self.seq.saturating_add(1);
                let (seq, own) = (self.seq, self.own.entry(place).or_default());
                (own.told, own.told_at, own.seq, own.hot) = (sight, Some(now), seq, pass_on);
            }
        }
    }

    /// Determines whether this dispatcher is at fault: most endpoints it called fail here but not for others.
    fn update_at_fault(&mut self, now: Nanos, terms: &TierConfig) {
        let fade = terms.fade();
        let (mut failing, mut called, mut contradicted) = (0, 0, 0);
        for (place, own) in &self.own {
            let fails = Self::fails(own, now, fade);
            called += usize::from(fails || own.ok_at.is_some_and(|at| now.saturating_sub(at) < fade));
            failing += usize::from(fails);
            let fine = self.witnesses(now, *place, Reachability::Fine, fade);
            let accused = self.witnesses(now, *place, Reachability::Failing, fade);
            contradicted += usize::from(fails && fine >= terms.witnesses && fine > accused);
        }
        if failing > 0 && 2 * failing > called && 2 * contradicted >= failing {
            self.at_fault = true;
        }
        // The state ends once no endpoint fails any more and a call has succeeded recently.
        if failing == 0 && called > 0 {
            self.at_fault = false;
        }
    }

    /// Returns whether this dispatcher can't reach what others reach.
    pub fn at_fault(&self) -> bool {
        self.at_fault
    }

    /// Merges an observation of another dispatcher. Returns whether it is new, and the end of a new wait.
    pub fn merge(&mut self, now: Nanos, seen: &Observation, pass_on: u8) -> (bool, Option<Nanos>) {
        let none = (false, None);
        let Some(floor) = self.floors.get(usize::from(seen.who)) else { return none };
        let version = (seen.incarnation, seen.seq);
        let old = self.others.get(&(seen.place, seen.who));
        let known = old.is_some_and(|p| version <= (p.incarnation, p.seq)) || version <= *floor;
        if seen.who == self.me || known && !self.planted.has(Fault::ReviveOld) {
            return none;
        }
        let wait = ms(seen.wait_ms.into()).min(MAX_FORWARDED_WAIT);
        let until = if wait > 0 { now.saturating_add(wait) } else { 0 };
        let news = until > old.map_or(0, |p| p.wait_until).max(now);
        let piece = Piece {
            incarnation: seen.incarnation,
            seq: seen.seq,
            hops: seen.hops,
            sight: seen.sight,
            at: now.saturating_sub(ms(seen.age_ms.into())),
            wait_until: until.max(old.map_or(0, |p| p.wait_until)),
            hot: if seen.hops < MAX_HOPS { pass_on } else { 0 },
        };
        self.others.insert((seen.place, seen.who), piece);
        (true, news.then_some(until))
    }

    /// Returns the current verdict on an endpoint. One that this dispatcher reached recently is open,
    /// whatever others observed; own failures need no report of others.
    pub fn verdict(&self, now: Nanos, place: EndpointHash, terms: &TierConfig) -> Verdict {
        let fade = terms.fade();
        let own = self.own.get(&place).copied().unwrap_or_default();
        if own.ok_at.is_some_and(|at| now.saturating_sub(at) < fade && own.fails < MIN_FAILED_CALLS) {
            return Verdict::Open;
        }
        let needed = if self.planted.has(Fault::OneWitness) { 1 } else { terms.witnesses };
        let (against, fine) = (
            self.witnesses(now, place, Reachability::Failing, fade),
            self.witnesses(now, place, Reachability::Fine, fade),
        );
        if against < needed || against <= fine {
            return Verdict::Open;
        }
        let pieces = self.others.range((place, 0)..=(place, Peer::MAX)).map(|(_, piece)| piece);
        let last = pieces.filter(|p| p.sight == Reachability::Failing).map(|p| p.at).max().unwrap_or(0);
        Verdict::Accused(last.saturating_add(fade))
    }

    /// Iterates over the endpoints with observations of others.
    pub fn reported_endpoints(&self) -> impl Iterator<Item = EndpointHash> + '_ {
        let mut last = None;
        self.others.keys().map(|(place, _)| *place).filter(move |place| last.replace(*place) != Some(*place))
    }

    /// Returns up to `most` observations to send, own ones first, then the newest. In a quiet round, valid
    /// observations are also repeated in turn, since forwarding ends after some rounds and a partition may
    /// have missed them.
    pub fn items_to_forward(
        &mut self,
        now: Nanos,
        incarnation: Incarnation,
        most: usize,
        quiet: bool,
    ) -> Vec<Observation> {
        let own = self.own.iter().filter(|(_, own)| own.hot > 0).map(|(place, _)| (*place, self.me));
        let mut told: Vec<(EndpointHash, Peer)> = own.take(most).collect();
        let others = self.others.iter().filter(|(_, p)| p.hot > 0).map(|(key, p)| (p.hot, *key));
        let mut hot: Vec<_> = others.collect();
        hot.sort_unstable_by(|a, b| b.cmp(a));
        told.extend(hot.into_iter().map(|(_, key)| key).take(most - told.len()));
        if quiet && told.len() < most {
            let counts =
                |(key, piece): (&(EndpointHash, Peer), &Piece)| (piece.wait_until > now).then_some(*key);
            let own =
                |(place, own): (&EndpointHash, &Own)| (own.wait_until > now).then_some((*place, self.me));
            let mut live: Vec<_> = self.others.iter().filter_map(counts).collect();
            live.extend(self.own.iter().filter_map(own));
            live.sort_unstable();
            let start = live.partition_point(|key| *key <= self.repeated);
            live.rotate_left(start);
            live.retain(|key| !told.contains(key));
            live.truncate(most - told.len());
            self.repeated = live.last().copied().unwrap_or(self.repeated);
            told.extend(live);
        }
        told.into_iter().filter_map(|key| self.said(now, incarnation, key)).collect()
    }

    /// An observation with its current age, as it is sent.
    fn said(
        &mut self,
        now: Nanos,
        incarnation: Incarnation,
        (place, who): (EndpointHash, Peer),
    ) -> Option<Observation> {
        let age = |at: Nanos| (now.saturating_sub(at) / 1_000_000).min(u32::MAX.into()) as u32;
        let left = |until: Nanos| (until.saturating_sub(now).div_ceil(1_000_000)).min(u32::MAX.into()) as u32;
        if who != self.me {
            let piece = self.others.get_mut(&(place, who))?;
            piece.hot = piece.hot.saturating_sub(1);
            let Piece { incarnation, seq, hops, sight, at, wait_until, .. } = *piece;
            let hops = hops.saturating_add(1);
            let (age_ms, wait_ms) = (age(at), left(wait_until));
            return Some(Observation { who, incarnation, seq, hops, place, sight, age_ms, wait_ms });
        }
        let own = self.own.get_mut(&place)?;
        own.hot = own.hot.saturating_sub(1);
        let at = match own.told {
            Reachability::Fine => own.ok_at.unwrap_or(now),
            Reachability::Failing => own.failed_at,
            Reachability::Nothing => now,
        };
        let (seq, sight, age_ms, wait_ms) = (own.seq, own.told, age(at), left(own.wait_until));
        Some(Observation { who, incarnation, seq, hops: 0, place, sight, age_ms, wait_ms })
    }

    /// Drops expired observations and those of unlisted endpoints. A dropped observation of an author, and
    /// all earlier ones, are not accepted again.
    pub fn retain(&mut self, now: Nanos, terms: &TierConfig, listed: impl Fn(EndpointHash) -> bool) {
        let (fade, floors) = (terms.fade(), &mut self.floors);
        let revive = self.planted.has(Fault::ReviveOld);
        self.others.retain(|(place, who), piece| {
            let counts = now.saturating_sub(piece.at) < 2 * fade || piece.wait_until > now;
            if listed(*place) && counts {
                return true;
            }
            if let Some(floor) = floors.get_mut(usize::from(*who)).filter(|_| !revive) {
                *floor = (*floor).max((piece.incarnation, piece.seq));
            }
            false
        });
        self.own.retain(|place, own| {
            let last = own.failed_at.max(own.ok_at.unwrap_or(0)).max(own.told_at.unwrap_or(0));
            listed(*place) && (now.saturating_sub(last) < 4 * fade || own.wait_until > now)
        });
    }

    /// Returns the number of observations of others.
    pub fn pieces(&self) -> usize {
        self.others.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Nanos = 1_000_000_000;
    const PLACE: EndpointHash = 77;

    fn seen(who: Peer, seq: u32, sight: Reachability) -> Observation {
        Observation { who, incarnation: 1, seq, hops: 0, place: PLACE, sight, age_ms: 0, wait_ms: 0 }
    }

    fn hear(evidence: &mut Evidence, now: Nanos, all: &[Observation]) {
        for seen in all {
            evidence.merge(now, seen, 3);
        }
    }

    fn accused(evidence: &Evidence, now: Nanos) -> bool {
        evidence.verdict(now, PLACE, &TierConfig::default()) != Verdict::Open
    }

    #[test]
    fn two_witnesses_and_a_majority_are_needed_and_observations_expire() {
        let mut e = Evidence::new(0, 9);
        hear(&mut e, 0, &[seen(1, 1, Reachability::Failing), seen(1, 2, Reachability::Failing)]);
        assert!(!accused(&e, SECOND), "one witness, reported twice");
        hear(&mut e, SECOND, &[seen(2, 1, Reachability::Failing)]);
        assert!(accused(&e, 2 * SECOND));
        hear(&mut e, 2 * SECOND, &[seen(3, 1, Reachability::Fine), seen(4, 1, Reachability::Fine)]);
        assert!(!accused(&e, 2 * SECOND), "as many dispatchers reach it");
        hear(&mut e, 2 * SECOND, &[seen(5, 1, Reachability::Failing)]);
        assert!(accused(&e, 2 * SECOND));
        assert!(!accused(&e, 6 * SECOND), "the first observations have expired");
    }

    #[test]
    fn own_observations_take_precedence() {
        let mut e = Evidence::new(0, 9);
        hear(&mut e, 0, &[seen(1, 1, Reachability::Failing), seen(2, 1, Reachability::Failing)]);
        e.record_result(SECOND, PLACE, End::Answered);
        assert!(!accused(&e, 2 * SECOND));
        // A dispatcher that reaches the endpoint reports it, since others do not.
        e.publish(SECOND, &TierConfig::default(), 3);
        let told = e.items_to_forward(SECOND, 1, 9, false);
        assert_eq!((told[0].who, told[0].sight), (0, Reachability::Fine));
    }

    #[test]
    fn old_observation_is_never_accepted_as_new() {
        let mut e = Evidence::new(0, 9);
        let old = Observation { wait_ms: 3_000, ..seen(1, 4, Reachability::Failing) };
        assert_eq!(e.merge(0, &old, 3), (true, Some(3 * SECOND)));
        assert_eq!(e.merge(SECOND, &old, 3), (false, None), "forwarding does not extend a wait");
        assert_eq!(e.merge(SECOND, &Observation { seq: 3, ..old }, 3), (false, None));
        e.retain(60 * SECOND, &TierConfig::default(), |_| true);
        assert_eq!(e.pieces(), 0);
        assert_eq!(e.merge(60 * SECOND, &old, 3), (false, None), "dropped, and still not accepted");
        assert!(e.merge(60 * SECOND, &seen(1, 5, Reachability::Fine), 3).0);
        assert!(
            e.merge(60 * SECOND, &Observation { incarnation: 2, seq: 1, ..old }, 3).0,
            "a new incarnation restarts the numbering"
        );
        assert_eq!(e.merge(0, &seen(9, 1, Reachability::Failing), 3), (false, None), "unknown dispatcher");
    }

    #[test]
    fn dispatcher_at_fault_withdraws_its_reports_and_recovers() {
        let (mut e, terms) = (Evidence::new(0, 9), TierConfig::default());
        for place in [PLACE, 78, 79] {
            e.record_result(0, place, End::Failed);
            e.record_result(0, place, End::Failed);
        }
        e.publish(0, &terms, 3);
        assert_eq!(
            e.items_to_forward(0, 1, 9, false).iter().filter(|s| s.sight == Reachability::Failing).count(),
            3
        );
        for (who, place) in [(1, PLACE), (2, PLACE), (1, 78), (2, 78)] {
            e.merge(SECOND, &Observation { place, seq: place as u32, ..seen(who, 0, Reachability::Fine) }, 3);
        }
        e.publish(SECOND, &terms, 3);
        assert!(e.at_fault());
        let told: Vec<_> =
            e.items_to_forward(SECOND, 1, 9, false).into_iter().filter(|s| s.who == 0).collect();
        assert!(told.len() == 3 && told.iter().all(|s| s.sight == Reachability::Nothing), "{told:?}");
        e.record_result(2 * SECOND, 78, End::Answered);
        assert!(!e.at_fault());
    }

    #[test]
    fn wait_applies_until_its_end_and_is_never_shortened() {
        let mut e = Evidence::new(0, 9);
        let wait = |seq, wait_ms| Observation { wait_ms, ..seen(1, seq, Reachability::Nothing) };
        assert_eq!(e.merge(0, &wait(1, 5_000), 3).1, Some(5 * SECOND));
        assert_eq!(e.merge(SECOND, &wait(2, 1_000), 3).1, None);
        assert_eq!(
            e.items_to_forward(SECOND, 1, 9, false)[0].wait_ms,
            4_000,
            "the wait is forwarded unchanged"
        );
        assert_eq!(e.merge(2 * SECOND, &wait(3, 9_000), 3).1, Some(11 * SECOND));
        // An own wait is reported, once per wait.
        e.record_wait(2 * SECOND, 5, 4 * SECOND);
        e.publish(2 * SECOND, &TierConfig::default(), 1);
        let own: Vec<_> =
            e.items_to_forward(2 * SECOND, 1, 9, false).into_iter().filter(|s| s.who == 0).collect();
        assert_eq!((own.len(), own[0].wait_ms), (1, 2_000));
        e.publish(2 * SECOND, &TierConfig::default(), 1);
        assert_eq!(e.items_to_forward(2 * SECOND, 1, 9, false).iter().filter(|s| s.who == 0).count(), 0);
        // It is repeated in a quiet round for peers that missed it, until it is over.
        let again =
            |e: &mut Evidence, at| e.items_to_forward(at, 1, 9, true).iter().filter(|s| s.who == 0).count();
        assert_eq!((again(&mut e, 3 * SECOND), again(&mut e, 4 * SECOND)), (1, 0));
    }
}
