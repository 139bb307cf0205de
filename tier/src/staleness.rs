//! Who is behind: what most of the *configured* dispatchers act on, who has stayed on what they left, and what follows.
//!
//! Each dispatcher judges by the words of all ([`VersionReport`]). One is behind on a kind once most of the configured dispatchers
//! act on something else that they moved to after it moved to what it has, as far as its durations tell; or, for lists,
//! which others bring, on one that the judge itself has left. Whoever hears no more than half says *unknown*.
//!
//! Kept invariants:
//! - one is found behind only by the votes of more than half of the configured dispatchers, each of which acts on what most
//!   act on: no side of a split finds anybody that has not the majority, and two sides don't find each other;
//! - a vote is against one move of one life: whoever moves is found no more;
//! - each votes against no more than [`Rules::votes`] at once, so that the stated part serves whatever each of them knows;
//! - what many are behind on is a roll-out, and nobody is found for it.

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

/// Contents that the judge itself has left, of lists.
const LEFT: usize = 32;
/// How often one that was shut out may be again before the wait for its return grows no longer, as a power of two.
const TIMES: u32 = 6;
/// A file that was turned down is read again by itself so many times less often.
const TURNED_DOWN: u64 = 12;
/// A word that nobody renewed for so long says nothing any more.
const STALE: Nanos = 60_000_000_000;

/// What is to be thought of one dispatcher and one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// It acts on what most act on.
    Current,
    /// On something else, of which it can't be said that most have left it: the first of a roll-out, say.
    Apart,
    /// On what most have left, since this time.
    Behind(Nanos),
    /// It turned down what most act on.
    Refused,
    /// Too few are heard, or nothing of it.
    Unknown,
}

/// How a dispatcher stands in the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServiceState {
    /// It takes messages.
    In,
    /// It takes none: it is behind on this, as most find, or under a floor.
    Out {
        /// Since when.
        since: Nanos,
        /// On what.
        kind: Kind,
    },
    /// It has caught up, and takes messages from this time on.
    Returns {
        /// When.
        at: Nanos,
    },
}

/// Votes against one dispatcher's move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StalenessVotes {
    /// Who is behind.
    pub about: Peer,
    /// Its life.
    pub incarnation: Incarnation,
    /// On what.
    pub kind: Kind,
    /// What it acts on.
    pub stamp: Version,
    /// Who says so.
    pub voters: Voters,
}

/// What comes of a look round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The own source of this is to be asked again.
    RefreshSource(Kind),
    /// No new messages from now on.
    ShutOut(Kind),
    /// New messages again.
    Readmit,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Known {
    stands: VersionReport,
    /// When it moved to what it acts on, by the clock here.
    since: [Nanos; 4],
    said: Nanos,
    /// How often it is still to be passed on.
    hot: u8,
    /// Behind since, as seen from here, and as was seen of what it acted on before.
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

/// What is known of all, and what follows for one.
#[derive(Clone, Debug, Serialize)]
pub struct StalenessDetector {
    me: Peer,
    known: Vec<Option<Known>>,
    votes: BTreeMap<(Peer, Kind), Votes>,
    service: ServiceState,
    /// How often it was shut out in a row, and until when that counts.
    times: (u32, Nanos),
    asked: [Option<Nanos>; 4],
    /// Lists that this one has left.
    left: VecDeque<u32>,
    /// Whose word is said again next.
    next: Peer,
    #[serde(skip)]
    rules: Rules,
    #[serde(skip)]
    rng: Option<Pcg64Mcg>,
    #[serde(skip)]
    pub(crate) planted: Planted,
}

impl StalenessDetector {
    /// Number `me` of `of` begins on this, of which it has held each for so long.
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

    /// The same with a fault in place, and nothing drawn: times that would be are the least.
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

    /// What this one acts on.
    pub fn active_versions(&self) -> ActiveVersions {
        self.known(self.me).map_or(ActiveVersions::default(), |known| known.stands.standing)
    }

    fn known(&self, who: Peer) -> Option<&Known> {
        self.known.get(usize::from(who)).and_then(Option::as_ref)
    }

    /// Somebody's word, and when it moved to what it acts on, by the clock here.
    pub fn report(&self, who: Peer) -> Option<(&VersionReport, [Nanos; 4])> {
        self.known(who).map(|known| (&known.stands, known.since))
    }

    /// How this one stands in the service.
    pub fn service(&self) -> ServiceState {
        self.service
    }

    /// This one acts on another content, and has for so long: 0 from now on. Whether that is a move.
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
            if self.left.len() > LEFT {
                self.left.pop_front();
            }
        }
        true
    }

    /// The own source has said what is in force, for the first time in this life: until then it was what the configuration
    /// or the store had, which may be of any age.
    pub fn confirm(&mut self, now: Nanos, kind: Kind) {
        if let Some(own) = self.own() {
            own.stands.standing.confirm(kind);
            (own.since[kind as usize], own.stands.seq) = (now, own.stands.seq + 1);
        }
    }

    /// The agent and its number of the list in force.
    pub fn set_list_index(&mut self, agent: u32, index: u64) {
        if let Some(own) = self.own() {
            (own.stands.standing.agent, own.stands.standing.index) = (agent, index);
        }
    }

    /// Settings were given and turned down.
    pub fn reject_settings(&mut self, digest: u32) {
        if let Some(own) = self.own() {
            (own.stands.refused, own.stands.seq) = (digest, own.stands.seq + 1);
        }
    }

    /// Others knew a later life under this name: this one has a number beyond it.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        if let Some(own) = self.own() {
            own.stands.standing.incarnation = incarnation;
        }
        self.set_epoch(incarnation);
    }

    /// A new epoch of what is shared.
    pub fn set_epoch(&mut self, epoch: Incarnation) {
        if let Some(own) = self.own()
            && own.stands.standing.epoch != epoch
        {
            (own.stands.standing.epoch, own.stands.seq) = (epoch, own.stands.seq + 1);
        }
    }

    /// Somebody's word comes, of its own or passed on. Whether it is news.
    pub fn receive(&mut self, now: Nanos, stands: &VersionReport, pass_on: u8) -> bool {
        let said = now.saturating_sub(u64::from(stands.age) * TENTH);
        if stands.who == self.me {
            return false;
        }
        let Some(place) = self.known.get_mut(usize::from(stands.who)) else { return false };
        let before = place.as_ref();
        if before.is_some_and(|known| known.stands.order() >= stands.order()) {
            // The same once more, said later: it holds still.
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
            // What was worked out first of one move stays: what it was passed on for only adds to it.
            if let Some(known) = before.filter(same) {
                (since[n], behind[n]) = (known.since[n], known.behind[n]);
            } else if let Some(known) = before {
                // It moved: whether to what most act on is seen at the next look.
                was[n] = known.behind[n];
            }
        }
        // The same content, said again: that goes round in its turn.
        let same = before.is_some_and(|known| known.stands.has_same_content(stands));
        let hot = before.filter(|_| same).map_or(pass_on, |known| known.hot);
        *place = Some(Known { stands: *stands, since, said, hot, behind, before: was });
        !same
    }

    /// Votes come. Whether there is one among them that is news.
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
                && self.known(who).is_some_and(|known| now.saturating_sub(known.said) < STALE)
    }

    /// Those whose words count now.
    fn heard(&self, now: Nanos, heard: &Liveness, terms: &TierConfig) -> Vec<Peer> {
        let all = 0..self.of();
        all.filter(|who| self.known(*who).is_some() && self.alive(now, heard, terms, *who)).collect()
    }

    /// Of how many more than half are most: of all that are configured, by whoever is configured with more.
    fn whole(&self, heard: &Liveness, counted: usize) -> u16 {
        if self.planted.has(Fault::MostOfHeard) { counted as u16 } else { heard.configured().max(self.of()) }
    }

    /// What is to be thought of all, by number, on one kind; and what most act on.
    fn views(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        terms: &TierConfig,
        kind: Kind,
    ) -> (Vec<View>, Option<u32>) {
        let (counted, n) = (self.heard(now, heard, terms), kind as usize);
        let of = self.whole(heard, counted.len());
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
            // Durations are by clocks that may run apart: what is no later than that makes it is not later.
            let later = |at: Nanos| at > since.saturating_add(now.saturating_sub(at) / 1_000 * apart);
            let passed = all.iter().filter(|(other, at)| other != digest && later(*at));
            let mut when: Vec<Nanos> = passed.map(|(_, at)| *at).collect();
            when.sort_unstable();
            let left = kind == Kind::List && common == Some(mine) && self.left.contains(digest);
            // Most had moved on by then.
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
                // The first time that it was seen stays, also when what most act on goes on meanwhile, and where it moves
                // from one that they left to another.
                View::Behind(at) => Some(known.behind[n].or(was).map_or(at, |first| first.min(at))),
                // What most moved on from stays so until it moves.
                View::Apart => known.behind[n],
                _ => None,
            };
            views[usize::from(who)] = known.behind[n].map_or(view, View::Behind);
        }
        (views, common)
    }

    /// Votes that stand against one now: those against what it acts on, as far as that is known.
    fn standing_votes(&self, about: Peer, kind: Kind) -> Option<&Votes> {
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

    /// Most have found it behind, on this.
    pub fn stale_kind(&self, heard: &Liveness, about: Peer) -> Option<Kind> {
        let of = if self.planted.has(Fault::MostOfHeard) { 1 } else { heard.configured().max(self.of()) };
        let enough = |kind: &Kind| {
            self.standing_votes(about, *kind).is_some_and(|votes| most(votes.voters.count(), of))
        };
        KINDS.into_iter().find(enough)
    }

    /// One takes no part in what is shared: it says so itself, or most have found it behind.
    pub fn is_out(&self, heard: &Liveness, who: Peer) -> bool {
        if who == self.me {
            return self.service != ServiceState::In;
        }
        self.known(who).is_some_and(|known| known.stands.out) || self.stale_kind(heard, who).is_some()
    }

    /// A look round: judges all, votes, and says what follows for this one.
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
                KINDS.into_iter().any(|k| self.standing_votes(*about, k).is_some_and(|v| v.voters.has(me)))
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
        self.serve(now, heard, own_behind, &own_current, &mut changes);
        let (mine, of) = (self.me, self.of());
        // Of those who are gone nothing is to be found any more.
        let gone: Vec<Peer> = (0..of)
            .filter(|who| *who != mine && heard.presence(now, terms, *who) == Presence::Gone)
            .collect();
        self.votes.retain(|(about, _), _| !gone.contains(about));
        changes
    }

    /// Its own source is asked again, at once and then at intervals: those who fall behind together not together.
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
            // What was turned down is not worth asking for so often.
            let times = if turned_down { TURNED_DOWN } else { 1 };
            *next = now.saturating_add(again.saturating_mul(times));
            changes.push(Decision::RefreshSource(kind));
        }
    }

    fn draw(&mut self, below: Nanos) -> Nanos {
        let drawn = self.rng.as_mut().map_or(0, |rng| rng.next_u64());
        drawn.checked_rem(below).unwrap_or(0)
    }

    /// Votes against stragglers: never one's own, only from what most act on, and never against too many.
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
        // Whoever is under the floor itself finds nobody for that: with all under it nobody is out.
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
            let voted = self.standing_votes(who, kind).is_some_and(|votes| votes.voters.has(self.me));
            let other = KINDS
                .into_iter()
                .any(|k| self.standing_votes(who, k).is_some_and(|votes| votes.voters.has(self.me)));
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

    /// How this one stands in the service.
    fn serve(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        own_behind: Option<Kind>,
        own_current: &[bool; 4],
        changes: &mut Vec<Decision>,
    ) {
        // Votes against what most act on by now count for nothing.
        let stale = self.planted.has(Fault::StaleVotes);
        let found = self.stale_kind(heard, self.me).filter(|kind| stale || !own_current[*kind as usize]);
        let found = found.filter(|_| self.rules.shut_out);
        match (self.service, found) {
            (ServiceState::In | ServiceState::Returns { .. }, Some(kind)) => {
                if self.service == ServiceState::In {
                    let (times, until) = self.times;
                    let times = if now < until { (times + 1).min(TIMES) } else { 0 };
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
                // Again soon, and it waits for longer.
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

    /// One's own word as it is said now, in this round of this life: of two lives that took themselves to be the same one,
    /// as where a folder was lost, the later is heard once it has gone on for longer.
    pub fn own_report(&mut self, now: Nanos, beat: u32) -> Option<VersionReport> {
        let own = self.own()?;
        own.stands.seq = own.stands.seq.max(beat);
        let held = own.since.map(|since| tenths(now.saturating_sub(since)));
        Some(VersionReport { age: 0, hops: 0, held, ..own.stands })
    }

    /// Others' words that are to be passed on: what is news, and, where it is `quiet`, some more in turns.
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

    /// Votes that are to be passed on; all where it is `quiet`.
    pub fn votes_to_send(&mut self, quiet: bool, most: usize) -> Vec<StalenessVotes> {
        let hot = self.votes.iter_mut().filter(|(_, votes)| votes.hot > 0 || quiet).take(most);
        hot.map(|((about, kind), votes)| {
            votes.hot = votes.hot.saturating_sub(1);
            let (incarnation, stamp, voters) = (votes.incarnation, votes.stamp, votes.voters.clone());
            StalenessVotes { about: *about, incarnation, kind: *kind, stamp, voters }
        })
        .collect()
    }

    /// Something is to be said before the next quiet round.
    pub fn is_urgent(&self) -> bool {
        self.votes.values().any(|votes| votes.hot > 0) || self.known.iter().flatten().any(|k| k.hot > 0)
    }

    /// One's own word is news: it goes round like any other.
    pub fn mark_urgent(&mut self, pass_on: u8) {
        if let Some(own) = self.own() {
            own.hot = pass_on;
        }
    }

    /// The own word is still hot; once for each round.
    pub fn take_urgent_round(&mut self) -> bool {
        let Some(own) = self.own() else { return false };
        let hot = own.hot > 0;
        own.hot = own.hot.saturating_sub(1);
        hot
    }

    /// What is to be thought of everybody, by kind: for the console, and for tests.
    pub fn all_views(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        terms: &TierConfig,
    ) -> [(Vec<View>, Option<u32>); 4] {
        KINDS.map(|kind| self.views(now, heard, terms, kind))
    }
}
