//! Detects dispatchers that are behind: those that still use a version which most of the *configured*
//! dispatchers have replaced. Decides by votes which of them are shut out.
//!
//! Each dispatcher evaluates the reports of all ([`VersionReport`]). One is behind on a kind if most of the
//! configured dispatchers use another version to which they switched later than it switched to its own,
//! according to the reported durations; or, for lists, if it uses one that the evaluating dispatcher has
//! replaced. With reports of no more than half of the dispatchers the result is *unknown*.
//!
//! Invariants:
//!
//! - A dispatcher is found behind only by votes of more than half of the configured dispatchers, each of
//!   which uses the majority's version. So a partition without the majority finds nobody behind, and two
//!   partitions never find each other behind.
//! - A vote is against one switch in one incarnation: a dispatcher that switches is not found behind any
//!   more.
//! - Each dispatcher votes against at most [`Rules::votes`] others at once, so that the configured share
//!   stays in service whatever each of them knows.
//! - If many are behind on a kind, it is a roll-out, and nobody is found behind for it.

use std::collections::{BTreeMap, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::config::{TierConfig, ms};
use crate::liveness::{Liveness, Presence};
use crate::planted::{Fault, Planted};
use crate::rules::{Rules, Voters, most};
use crate::versions::{ActiveVersions, KINDS, Kind, TENTH, Version, VersionReport, tenths};
use crate::{Incarnation, Nanos, Peer};

/// Number of replaced lists that are remembered.
const MAX_REPLACED_LISTS: usize = 32;
/// Maximum exponent of the delay before a return, which doubles each time a dispatcher is shut out in a row.
const MAX_RETURN_EXPONENT: u32 = 6;
/// Factor by which rejected settings are queried less often.
const REJECTED_QUERY_FACTOR: u64 = 12;
/// Age at which a report that was not renewed is ignored.
const REPORT_TTL: Nanos = 60_000_000_000;

/// Assessment of one dispatcher's version of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// It uses the majority's version.
    Current,
    /// It uses another version, which the majority has not demonstrably replaced, for example at the start of
    /// a roll-out.
    Apart,
    /// It uses a version that the majority replaced at this time.
    Behind(Nanos),
    /// It rejected the majority's version.
    Refused,
    /// Too few dispatchers are heard, or there is no report of it.
    Unknown,
}

/// Whether a dispatcher is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServiceState {
    /// It accepts messages.
    In,
    /// It accepts none: the majority found it behind on this kind, or its state layout is too old.
    Out {
        /// Since when.
        since: Nanos,
        /// The kind.
        kind: Kind,
    },
    /// It has caught up and accepts messages from this time on.
    Returns {
        /// The time of return.
        at: Nanos,
    },
}

/// Votes that one dispatcher's version is outdated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StalenessVotes {
    /// The dispatcher that is behind.
    pub about: Peer,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The kind.
    pub kind: Kind,
    /// The version it uses.
    pub stamp: Version,
    /// The dispatchers that voted.
    pub voters: Voters,
}

/// A decision of [`StalenessDetector::evaluate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Query the own source of this kind again.
    RefreshSource(Kind),
    /// Accept no new messages, because of this kind.
    ShutOut(Kind),
    /// Accept new messages again.
    Readmit,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Known {
    stands: VersionReport,
    /// When it switched to each version, on the local clock.
    since: [Nanos; 4],
    said: Nanos,
    /// How many more times the report is to be forwarded.
    hot: u8,
    /// Since when each version is behind, and the same of the version used before.
    behind: [Option<Nanos>; 4],
    before: [Option<Nanos>; 4],
}

#[derive(Clone, Debug, Serialize)]
struct Votes {
    incarnation: Incarnation,
    stamp: Version,
    voters: Voters,
    hot: u8,
}

/// The reports of all dispatchers, the votes, and the resulting service state of this dispatcher.
#[derive(Clone, Debug, Serialize)]
pub struct StalenessDetector {
    me: Peer,
    known: Vec<Option<Known>>,
    votes: BTreeMap<(Peer, Kind), Votes>,
    service: ServiceState,
    /// How often it was shut out in a row, and until when that counts.
    times: (u32, Nanos),
    asked: [Option<Nanos>; 4],
    /// Digests of lists that this dispatcher has replaced.
    left: VecDeque<u32>,
    /// The dispatcher whose report is forwarded next in turn.
    next: Peer,
    #[serde(skip)]
    rules: Rules,
    #[serde(skip)]
    rng: Option<Pcg64Mcg>,
    #[serde(skip)]
    pub(crate) planted: Planted,
}

impl StalenessDetector {
    /// Creates the state of dispatcher `me` of `of`. `held`: how long each initial version has been in use.
    pub fn new(
        now: Nanos,
        me: Peer,
        of: u16,
        rules: Rules,
        standing: ActiveVersions,
        held: [Nanos; 4],
        seed: u64,
    ) -> Self {
        let mut known = vec![None; usize::from(of)];
        let stands = VersionReport { who: me, seq: 1, standing, ..VersionReport::default() };
        let since = held.map(|held| now.saturating_sub(held));
        if let Some(own) = known.get_mut(usize::from(me)) {
            *own = Some(Known { stands, since, said: now, hot: 0, behind: [None; 4], before: [None; 4] });
        }
        StalenessDetector {
            me,
            known,
            votes: BTreeMap::new(),
            service: ServiceState::In,
            times: (0, 0),
            asked: [None; 4],
            left: VecDeque::new(),
            next: 0,
            rules,
            rng: Some(Pcg64Mcg::seed_from_u64(seed)),
            planted: Planted::default(),
        }
    }

    /// The same with a planted fault, and with all random delays at their minimum.
    #[cfg(feature = "faults")]
    pub fn with_fault(mut self, fault: Option<Fault>) -> Self {
        (self.planted, self.rng) = (Planted { fault }, None);
        self
    }

    fn of(&self) -> u16 {
        self.known.len() as u16
    }

    fn own(&mut self) -> Option<&mut Known> {
        self.known.get_mut(usize::from(self.me)).and_then(Option::as_mut)
    }

    /// Returns the versions this dispatcher uses.
    pub fn active_versions(&self) -> ActiveVersions {
        self.known(self.me).map_or(ActiveVersions::default(), |known| known.stands.standing)
    }

    fn known(&self, who: Peer) -> Option<&Known> {
        self.known.get(usize::from(who)).and_then(Option::as_ref)
    }

    /// Returns the report of a dispatcher, and when it switched to each version, on the local clock.
    pub fn report(&self, who: Peer) -> Option<(&VersionReport, [Nanos; 4])> {
        self.known(who).map(|known| (&known.stands, known.since))
    }

    /// Returns whether this dispatcher is in service.
    pub fn service(&self) -> ServiceState {
        self.service
    }

    /// Records that this dispatcher has used a content for `held` (0: from now on). Returns whether it is a
    /// switch.
    pub fn set_version(&mut self, now: Nanos, kind: Kind, digest: u32, held: Nanos) -> bool {
        let before = self.active_versions().version(kind).digest;
        let Some(own) = self.own() else { return false };
        if !own.stands.standing.set_version(kind, digest) {
            return false;
        }
        (own.since[kind as usize], own.stands.seq) = (now.saturating_sub(held), own.stands.seq + 1);
        own.before[kind as usize] = own.behind[kind as usize].take();
        if kind == Kind::Settings {
            own.stands.refused = 0;
        }
        if kind == Kind::List {
            self.left.retain(|left| *left != digest && *left != before);
            self.left.push_back(before);
            if self.left.len() > MAX_REPLACED_LISTS {
                self.left.pop_front();
            }
        }
        true
    }

    /// Records that the own source confirmed the current content for the first time in this incarnation.
    /// Until then the content was that of the configuration or the store, whose age is unknown.
    pub fn confirm(&mut self, now: Nanos, kind: Kind) {
        if let Some(own) = self.own() {
            own.stands.standing.confirm(kind);
            (own.since[kind as usize], own.stands.seq) = (now, own.stands.seq + 1);
        }
    }

    /// Sets the agent of the current list and its number there.
    pub fn set_list_index(&mut self, agent: u32, index: u64) {
        if let Some(own) = self.own() {
            (own.stands.standing.agent, own.stands.standing.index) = (agent, index);
        }
    }

    /// Records that settings were rejected.
    pub fn reject_settings(&mut self, digest: u32) {
        if let Some(own) = self.own() {
            (own.stands.refused, own.stands.seq) = (digest, own.stands.seq + 1);
        }
    }

    /// Adopts a new incarnation because peers know a later one of this dispatcher.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        if let Some(own) = self.own() {
            own.stands.standing.incarnation = incarnation;
        }
        self.set_epoch(incarnation);
    }

    /// Begins a new epoch of the shared state.
    pub fn set_epoch(&mut self, epoch: Incarnation) {
        if let Some(own) = self.own()
            && own.stands.standing.epoch != epoch
        {
            (own.stands.standing.epoch, own.stands.seq) = (epoch, own.stands.seq + 1);
        }
    }

    /// Merges a report, received directly or forwarded. Returns whether its content is new.
    pub fn receive(&mut self, now: Nanos, stands: &VersionReport, pass_on: u8) -> bool {
        let said = now.saturating_sub(u64::from(stands.age) * TENTH);
        if stands.who == self.me {
            return false;
        }
        let Some(place) = self.known.get_mut(usize::from(stands.who)) else { return false };
        let before = place.as_ref();
        if before.is_some_and(|known| known.stands.order() >= stands.order()) {
            // The same report, sent later: the versions have been in use for longer.
            let same = |known: &&mut Known| known.stands.order() == stands.order() && known.said < said;
            if let Some(known) = place.as_mut().filter(same) {
                known.said = said;
                if !self.planted.has(Fault::HeldOnce) {
                    known.stands.held = stands.held;
                }
            }
            return false;
        }
        let mut since = stands.held.map(|held| said.saturating_sub(u64::from(held) * TENTH));
        let (mut behind, mut was) = ([None; 4], [None; 4]);
        for kind in KINDS {
            let n = kind as usize;
            let same = |known: &&Known| {
                known.stands.standing.incarnation == stands.standing.incarnation
                    && known.stands.standing.version(kind) == stands.standing.version(kind)
            };
            // The time first computed for a switch is kept: forwarding delays only add to later ones.
            if let Some(known) = before.filter(same) {
                (since[n], behind[n]) = (known.since[n], known.behind[n]);
            } else if let Some(known) = before {
                // It switched: the next evaluation shows whether to the majority's version.
                was[n] = known.behind[n];
            }
        }
        // Unchanged content is forwarded only in turn.
        let same = before.is_some_and(|known| known.stands.has_same_content(stands));
        let hot = before.filter(|_| same).map_or(pass_on, |known| known.hot);
        *place = Some(Known { stands: *stands, since, said, hot, behind, before: was });
        !same
    }

    /// Merges votes. Returns whether any of them is new.
    pub fn receive_votes(&mut self, finding: &StalenessVotes, pass_on: u8) -> bool {
        let of = self.of();
        if finding.about >= of {
            return false;
        }
        let rank = |incarnation, stamp: Version| (incarnation, stamp.generation);
        let new = rank(finding.incarnation, finding.stamp);
        if self.known(finding.about).is_some_and(|known| {
            let standing = &known.stands.standing;
            new < rank(standing.incarnation, standing.version(finding.kind))
        }) {
            return false;
        }
        let votes = self.votes.entry((finding.about, finding.kind)).or_insert_with(|| Votes {
            incarnation: finding.incarnation,
            stamp: finding.stamp,
            voters: Voters::default(),
            hot: 0,
        });
        let old = rank(votes.incarnation, votes.stamp);
        if new < old || new == old && finding.stamp != votes.stamp {
            return false;
        }
        if new > old {
            (votes.incarnation, votes.stamp, votes.voters) =
                (finding.incarnation, finding.stamp, Voters::default());
        }
        let news = votes.voters.join(&finding.voters, of);
        if news {
            votes.hot = pass_on;
        }
        news
    }

    fn alive(&self, now: Nanos, heard: &Liveness, terms: &TierConfig, who: Peer) -> bool {
        who == self.me
            || heard.presence(now, terms, who) <= Presence::Suspected
                && self.known(who).is_some_and(|known| now.saturating_sub(known.said) < REPORT_TTL)
    }

    /// Dispatchers whose reports count now.
    fn heard(&self, now: Nanos, heard: &Liveness, terms: &TierConfig) -> Vec<Peer> {
        let all = 0..self.of();
        all.filter(|who| self.known(*who).is_some() && self.alive(now, heard, terms, *who)).collect()
    }

    /// Number of dispatchers of which more than half are a majority: the largest configured number known.
    fn majority_base(&self, heard: &Liveness, counted: usize) -> u16 {
        if self.planted.has(Fault::MostOfHeard) { counted as u16 } else { heard.configured().max(self.of()) }
    }

    /// Assesses all dispatchers on one kind. Returns the views by number, and the digest of the majority's
    /// version.
    fn views(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        terms: &TierConfig,
        kind: Kind,
    ) -> (Vec<View>, Option<u32>) {
        let (counted, n) = (self.heard(now, heard, terms), kind as usize);
        let of = self.majority_base(heard, counted.len());
        let mut views = vec![View::Unknown; self.known.len()];
        if !most(counted.len(), of) {
            return (views, None);
        }
        let moved = |who: Peer| {
            self.known(who).map(|k| (k.stands.standing.version(kind).digest, k.since[n])).unwrap_or_default()
        };
        let all: Vec<(u32, Nanos)> = counted.iter().map(|who| moved(*who)).collect();
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        all.iter().for_each(|(digest, _)| *counts.entry(*digest).or_default() += 1);
        let common = counts.iter().find(|(_, count)| most(**count, of)).map(|(digest, _)| *digest);
        let mine = self.active_versions().version(kind).digest;
        let apart = 2 * terms.clock_rate_permille;
        let mut behind = Vec::new();
        for (who, (digest, since)) in counted.iter().zip(&all) {
            // Clock rates may differ: a switch counts as later only beyond that uncertainty.
            let later = |at: Nanos| at > since.saturating_add(now.saturating_sub(at) / 1_000 * apart);
            let passed = all.iter().filter(|(other, at)| other != digest && later(*at));
            let mut when: Vec<Nanos> = passed.map(|(_, at)| *at).collect();
            when.sort_unstable();
            let left = kind == Kind::List && common == Some(mine) && self.left.contains(digest);
            // The time by which the majority had switched.
            let past = when.get(usize::from(of) / 2).copied().or(left.then_some(now));
            let known = self.known(*who);
            let refused = known.is_some_and(|k| k.stands.refused != 0 && Some(k.stands.refused) == common);
            let floor = kind == Kind::Program
                && known.is_some_and(|k| k.stands.standing.program.generation < self.rules.floor_layout);
            let view = match past {
                _ if floor => View::Behind(now),
                _ if common == Some(*digest) => View::Current,
                _ if refused && kind == Kind::Settings => View::Refused,
                Some(at) => View::Behind(at),
                None => View::Apart,
            };
            behind.push((*who, view));
        }
        for (who, view) in behind {
            let Some(known) = self.known.get_mut(usize::from(who)).and_then(Option::as_mut) else { continue };
            let was = known.before[n].take();
            known.behind[n] = match view {
                // The first time is kept, also if the majority switches again, or if the dispatcher switches
                // from one outdated version to another.
                View::Behind(at) => Some(known.behind[n].or(was).map_or(at, |first| first.min(at))),
                // An outdated version stays outdated until the dispatcher switches.
                View::Apart => known.behind[n],
                _ => None,
            };
            views[usize::from(who)] = known.behind[n].map_or(view, View::Behind);
        }
        (views, common)
    }

    /// Valid votes against a dispatcher: those against the version it uses, as far as known.
    fn valid_votes(&self, about: Peer, kind: Kind) -> Option<&Votes> {
        let votes = self.votes.get(&(about, kind))?;
        if self.planted.has(Fault::StaleVotes) {
            return Some(votes);
        }
        let known = self.known(about);
        let stands = known.is_none_or(|known| {
            let standing = &known.stands.standing;
            (standing.incarnation, standing.version(kind)) == (votes.incarnation, votes.stamp)
                || (standing.incarnation, standing.version(kind).generation)
                    < (votes.incarnation, votes.stamp.generation)
        });
        stands.then_some(votes)
    }

    /// Returns the kind on which the majority found a dispatcher behind, if any.
    pub fn stale_kind(&self, heard: &Liveness, about: Peer) -> Option<Kind> {
        let of = if self.planted.has(Fault::MostOfHeard) { 1 } else { heard.configured().max(self.of()) };
        let enough =
            |kind: &Kind| self.valid_votes(about, *kind).is_some_and(|votes| most(votes.voters.count(), of));
        KINDS.into_iter().find(enough)
    }

    /// Returns whether a dispatcher is excluded from sharing: it reports so itself, or the majority found it
    /// behind.
    pub fn is_out(&self, heard: &Liveness, who: Peer) -> bool {
        if who == self.me {
            return self.service != ServiceState::In;
        }
        self.known(who).is_some_and(|known| known.stands.out) || self.stale_kind(heard, who).is_some()
    }

    /// Assesses all dispatchers, votes, and returns the decisions for this dispatcher.
    pub fn evaluate(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        terms: &TierConfig,
        pass_on: u8,
    ) -> Vec<Decision> {
        let mut changes = Vec::new();
        let mut against: usize = {
            let me = self.me;
            let mine = |about: &Peer| {
                KINDS.into_iter().any(|k| self.valid_votes(*about, k).is_some_and(|v| v.voters.has(me)))
            };
            (0..self.of()).filter(mine).count()
        };
        let (mut own_behind, mut own_current) = (None, [false; 4]);
        for kind in KINDS {
            let (views, common) = self.views(now, heard, terms, kind);
            let own = views.get(usize::from(self.me)).copied().unwrap_or(View::Unknown);
            own_current[kind as usize] = own == View::Current;
            if let View::Behind(since) = own {
                own_behind = own_behind.or(Some(kind).filter(|kind| self.rules.bound(*kind).is_some()));
                self.ask(now, since, kind, &mut changes);
            } else {
                self.asked[kind as usize] = None;
            }
            self.vote(now, kind, &views, common, &mut against, pass_on);
        }
        self.update_service(now, heard, own_behind, &own_current, &mut changes);
        let (mine, of) = (self.me, self.of());
        // Votes against dispatchers that are gone are dropped.
        let gone: Vec<Peer> = (0..of)
            .filter(|who| *who != mine && heard.presence(now, terms, *who) == Presence::Gone)
            .collect();
        self.votes.retain(|(about, _), _| !gone.contains(about));
        changes
    }

    /// Queries the own source again after a random delay and then at intervals. The delay spreads the queries
    /// of dispatchers that fall behind at the same time.
    fn ask(&mut self, now: Nanos, since: Nanos, kind: Kind, changes: &mut Vec<Decision>) {
        let again = ms(self.rules.ask_again_ms);
        if !self.rules.catch_up || !matches!(kind, Kind::List | Kind::Settings) {
            return;
        }
        let drawn = self.draw(again / 4);
        let turned_down =
            kind == Kind::Settings && self.known(self.me).is_some_and(|k| k.stands.refused != 0);
        let next = self.asked[kind as usize].get_or_insert(since.max(now).saturating_add(drawn));
        if now >= *next {
            // Rejected settings are queried less often.
            let times = if turned_down { REJECTED_QUERY_FACTOR } else { 1 };
            *next = now.saturating_add(again.saturating_mul(times));
            changes.push(Decision::RefreshSource(kind));
        }
    }

    fn draw(&mut self, below: Nanos) -> Nanos {
        let drawn = self.rng.as_mut().map_or(0, |rng| rng.next_u64());
        drawn.checked_rem(below).unwrap_or(0)
    }

    /// Votes against stragglers: never against itself, only while using the majority's version, and only up
    /// to the maximum.
    fn vote(
        &mut self,
        now: Nanos,
        kind: Kind,
        views: &[View],
        common: Option<u32>,
        against: &mut usize,
        pass_on: u8,
    ) {
        let (bound, floors) = (self.rules.bound(kind), kind == Kind::Program && self.rules.floor_layout > 0);
        if bound.is_none() && !floors {
            return;
        }
        // A dispatcher with a too old state layout does not vote for that reason: if all have one, none is
        // shut out.
        let above = floors && self.active_versions().program.generation >= self.rules.floor_layout;
        let sound = above || common == Some(self.active_versions().version(kind).digest);
        if !self.rules.shut_out || !sound || self.service != ServiceState::In {
            return;
        }
        let behind: Vec<(Peer, Nanos)> = (0..self.of())
            .zip(views)
            .filter_map(|(who, view)| match view {
                View::Behind(since) => Some((who, *since)),
                _ => None,
            })
            .collect();
        if behind.len() > self.rules.stragglers(self.of()) {
            return;
        }
        let floor = self.rules.floor_layout;
        for (who, since) in behind {
            let Some(known) = self.known(who).filter(|_| who != self.me) else { continue };
            let standing = known.stands.standing;
            let under = floors && standing.program.generation < floor;
            if under && !above {
                continue;
            }
            let Some(bound) = bound.or(under.then_some(0)) else { continue };
            let bound = if under { 0 } else { bound };
            let stamp = standing.version(kind);
            let voted = self.valid_votes(who, kind).is_some_and(|votes| votes.voters.has(self.me));
            let other = KINDS
                .into_iter()
                .any(|k| self.valid_votes(who, k).is_some_and(|votes| votes.voters.has(self.me)));
            let room =
                other || *against < self.rules.votes(self.of()) || self.planted.has(Fault::NobodyServes);
            if voted || now.saturating_sub(since) < bound || !room {
                continue;
            }
            *against += usize::from(!other);
            let mut voters = Voters::default();
            voters.add(self.me);
            let finding =
                StalenessVotes { about: who, incarnation: standing.incarnation, kind, stamp, voters };
            self.receive_votes(&finding, pass_on);
        }
    }

    /// Updates the service state.
    fn update_service(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        own_behind: Option<Kind>,
        own_current: &[bool; 4],
        changes: &mut Vec<Decision>,
    ) {
        // Votes against the majority's current version are ignored.
        let stale = self.planted.has(Fault::StaleVotes);
        let found = self.stale_kind(heard, self.me).filter(|kind| stale || !own_current[*kind as usize]);
        let found = found.filter(|_| self.rules.shut_out);
        match (self.service, found) {
            (ServiceState::In | ServiceState::Returns { .. }, Some(kind)) => {
                if self.service == ServiceState::In {
                    let (times, until) = self.times;
                    let times = if now < until { (times + 1).min(MAX_RETURN_EXPONENT) } else { 0 };
                    self.times = (times, Nanos::MAX);
                    changes.push(Decision::ShutOut(kind));
                }
                self.service = ServiceState::Out { since: now, kind };
            }
            (ServiceState::Out { .. }, None) if own_behind.is_none() => {
                let longest = ms(self.rules.return_ms) << self.times.0;
                let at = now.saturating_add(longest / 2).saturating_add(self.draw(longest / 2));
                self.service = ServiceState::Returns { at };
            }
            (ServiceState::Returns { at }, None) if now >= at => {
                self.service = ServiceState::In;
                // If it is shut out again within this time, the delay doubles.
                let again = 16 * (ms(self.rules.return_ms) << self.times.0);
                self.times.1 = now.saturating_add(again);
                changes.push(Decision::Readmit);
            }
            _ => {}
        }
        let out = self.service != ServiceState::In;
        if let Some(own) = self.own()
            && own.stands.out != out
        {
            (own.stands.out, own.stands.seq) = (out, own.stands.seq + 1);
        }
    }

    /// Returns this dispatcher's report for round `beat`. If two runs used the same incarnation, for example
    /// after the state folder was lost, the later one prevails once it has run for more rounds.
    pub fn own_report(&mut self, now: Nanos, beat: u32) -> Option<VersionReport> {
        let own = self.own()?;
        own.stands.seq = own.stands.seq.max(beat);
        let held = own.since.map(|since| tenths(now.saturating_sub(since)));
        Some(VersionReport { age: 0, hops: 0, held, ..own.stands })
    }

    /// Returns up to `most` reports of others to forward: new ones, and in a `quiet` round also others in
    /// turn.
    pub fn items_to_forward(&mut self, now: Nanos, quiet: bool, most: usize) -> Vec<VersionReport> {
        let of = self.of();
        let (me, next) = (self.me, self.next);
        let mut some: Vec<Peer> = Vec::new();
        let turn = (next..of).chain(0..next).filter(|who| *who != me);
        let hot = |who: &Peer| self.known(*who).is_some_and(|known| known.hot > 0);
        some.extend(turn.clone().filter(hot).take(most));
        if quiet {
            let room = most.saturating_sub(some.len());
            let known: Vec<Peer> = turn.filter(|w| self.known(*w).is_some() && !some.contains(w)).collect();
            some.extend(known.into_iter().take(room));
        }
        if let Some(last) = some.last() {
            self.next = (last + 1) % of.max(1);
        }
        let told = some.into_iter().filter_map(|who| {
            let known = self.known.get_mut(usize::from(who))?.as_mut()?;
            known.hot = known.hot.saturating_sub(1);
            let age = tenths(now.saturating_sub(known.said));
            Some(VersionReport { age, hops: known.stands.hops.saturating_add(1), ..known.stands })
        });
        told.collect()
    }

    /// Returns up to `most` groups of votes to send: new ones, or any in a `quiet` round.
    pub fn votes_to_send(&mut self, quiet: bool, most: usize) -> Vec<StalenessVotes> {
        let hot = self.votes.iter_mut().filter(|(_, votes)| votes.hot > 0 || quiet).take(most);
        hot.map(|((about, kind), votes)| {
            votes.hot = votes.hot.saturating_sub(1);
            let (incarnation, stamp, voters) = (votes.incarnation, votes.stamp, votes.voters.clone());
            StalenessVotes { about: *about, incarnation, kind: *kind, stamp, voters }
        })
        .collect()
    }

    /// Returns whether something must be sent before the next quiet round.
    pub fn is_urgent(&self) -> bool {
        self.votes.values().any(|votes| votes.hot > 0) || self.known.iter().flatten().any(|k| k.hot > 0)
    }

    /// Marks this dispatcher's own report as new, to be sent for `pass_on` rounds.
    pub fn mark_urgent(&mut self, pass_on: u8) {
        if let Some(own) = self.own() {
            own.hot = pass_on;
        }
    }

    /// Returns whether the own report is still urgent. To be called once per round.
    pub fn take_urgent_round(&mut self) -> bool {
        let Some(own) = self.own() else { return false };
        let hot = own.hot > 0;
        own.hot = own.hot.saturating_sub(1);
        hot
    }

    /// Assesses all dispatchers on all kinds, for the console and for tests.
    pub fn all_views(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        terms: &TierConfig,
    ) -> [(Vec<View>, Option<u32>); 4] {
        KINDS.map(|kind| self.views(now, heard, terms, kind))
    }
}
