//! Version tracking of the fleet: dispatchers report the versions they use, those that are behind are
//! updated, and those that stay behind are shut out.
//!
//! It sends its own datagrams in the rounds of [`crate::Tier`], which also provides the liveness of peers.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::{TierConfig, ms};
use crate::frame::{Item, Packing, VERSIONS_VERSION};
use crate::liveness::Liveness;
use crate::records::{BUCKETS, EndpointRecord, HoldChange, RecordKind, Records};
use crate::rules::Rules;
use crate::staleness::{Decision, ServiceState, StalenessDetector, View};
use crate::versions::{ActiveVersions, Kind, VersionReport};
use crate::{DestId, EndpointHash, Incarnation, Nanos, Peer};

/// Number of peers that are sent a datagram in a round without urgent items.
const IDLE_FANOUT: usize = 2;
/// Minimum interval at which bucket digests are sent to one peer.
const DIGEST_INTERVAL: Nanos = 500_000_000;
/// Maximum number of records sent to one peer in a round.
const MAX_RECORDS_PER_PEER: usize = 8;
/// Maximum encoded size of a record in bytes.
const MAX_RECORD_LEN: f64 = 24.0;
/// Interval at which staleness is evaluated.
const EVALUATION_INTERVAL: Nanos = 250_000_000;

/// An action for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollAction {
    /// This dispatcher is behind: query its own source of this kind again.
    RefreshSource(Kind),
    /// Stop accepting new messages, because this dispatcher is behind on this kind.
    ShutOut(Kind),
    /// Accept new messages again.
    Readmit,
    /// Stop calling an endpoint: it was cordoned or drained at another dispatcher.
    Hold(EndpointHash, RecordKind),
    /// Release an endpoint that the own list has in service and that no longer drains according to others.
    Release(EndpointHash),
    /// The endpoint records changed and must be stored.
    RecordsChanged,
}

/// Initial state of a [`Roll`].
#[derive(Clone, Debug, Default)]
pub struct InitialState {
    /// The settings.
    pub rules: Rules,
    /// The versions in use; incarnation and epoch are filled in.
    pub standing: ActiveVersions,
    /// How long each version has been in use, indexed by [`crate::versions::KINDS`]; a long time if unknown.
    pub held: [Nanos; 4],
    /// Stored endpoint records.
    pub words: Vec<EndpointRecord>,
}

/// Bucket digests of a peer's records, and the last record sent to it.
type Theirs = ([u32; BUCKETS], Option<(EndpointHash, RecordKind)>);

/// Version tracking of one dispatcher; see the [module documentation](self).
pub struct Roll {
    rules: Rules,
    judge: StalenessDetector,
    records: Records,
    rng: Pcg64Mcg,
    acts: Vec<RollAction>,
    /// Endpoints in service by the own list.
    ready: BTreeMap<EndpointHash, DestId>,
    /// Number of listed endpoints of each destination.
    listed: BTreeMap<DestId, usize>,
    known: BTreeSet<EndpointHash>,
    begun: bool,
    look_at: Nanos,
    quiet_until: Nanos,
    /// Peers whose records differ, and when they were last sent digests.
    differ: BTreeMap<Peer, Option<Nanos>>,
    /// Peers that requested differing records.
    theirs: BTreeMap<Peer, Theirs>,
    /// Bytes that may be sent now to synchronise records.
    allowed: f64,
    last: Nanos,
    sent: u64,
    bytes: u64,
}

impl Roll {
    /// Creates the state of dispatcher `me` of `of` for this incarnation.
    pub fn new(
        now: Nanos,
        me: Peer,
        of: u16,
        incarnation: Incarnation,
        begin: InitialState,
        seed: u64,
    ) -> Self {
        let InitialState { rules, mut standing, held, words } = begin;
        let records = Records::new(me, words);
        (standing.incarnation, standing.epoch) = (incarnation, incarnation);
        standing.cordons.digest = records.digest();
        Roll {
            judge: StalenessDetector::new(now, me, of, rules.clone(), standing, held, seed),
            records,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x7011),
            acts: Vec::new(),
            ready: BTreeMap::new(),
            listed: BTreeMap::new(),
            known: BTreeSet::new(),
            begun: false,
            look_at: now,
            quiet_until: now,
            differ: BTreeMap::new(),
            theirs: BTreeMap::new(),
            allowed: 0.0,
            last: now,
            sent: 0,
            bytes: 0,
            rules,
        }
    }

    #[cfg(feature = "faults")]
    pub(crate) fn plant(&mut self, planted: crate::planted::Planted) {
        (self.judge.planted, self.records.planted) = (planted, planted);
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<RollAction> {
        std::mem::take(&mut self.acts)
    }

    /// Returns the versions in use.
    pub fn active_versions(&self) -> ActiveVersions {
        self.judge.active_versions()
    }

    /// Returns whether this dispatcher is in service.
    pub fn service(&self) -> ServiceState {
        self.judge.service()
    }

    /// Returns whether a dispatcher is excluded from lending.
    pub fn is_out(&self, heard: &Liveness, who: Peer) -> bool {
        self.judge.is_out(heard, who)
    }

    /// Iterates over the endpoint records, for storing them.
    pub fn records(&self) -> impl ExactSizeIterator<Item = &EndpointRecord> {
        self.records.all()
    }

    /// Records that another content is used from now on.
    pub fn set_version(&mut self, now: Nanos, kind: Kind, digest: u32, pass_on: u8) {
        self.set_version_since(now, kind, digest, 0, pass_on);
    }

    /// Records that a content has been in use for `held`, for example one from the store.
    pub fn set_version_since(&mut self, now: Nanos, kind: Kind, digest: u32, held: Nanos, pass_on: u8) {
        if self.judge.set_version(now, kind, digest, held) {
            self.judge.mark_urgent(pass_on);
            self.look_at = now;
        }
    }

    /// Records that the source confirmed the current content for the first time.
    pub fn confirm(&mut self, now: Nanos, kind: Kind, pass_on: u8) {
        self.judge.confirm(now, kind);
        self.judge.mark_urgent(pass_on);
    }

    /// Sets the agent of the current list and its number there.
    pub fn set_list_index(&mut self, agent: u32, index: u64) {
        self.judge.set_list_index(agent, index);
    }

    /// Records that settings were rejected.
    pub fn reject_settings(&mut self, digest: u32, pass_on: u8) {
        self.judge.reject_settings(digest);
        self.judge.mark_urgent(pass_on);
    }

    /// Adopts a new incarnation because peers know a later one of this dispatcher.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, pass_on: u8) {
        self.judge.set_incarnation(incarnation);
        self.judge.mark_urgent(pass_on);
    }

    /// Begins a new epoch.
    pub fn set_epoch(&mut self, epoch: Incarnation) {
        self.judge.set_epoch(epoch);
    }

    /// Sets the endpoints of the current list, and whether each is in service. The first list is that of the
    /// store or the configuration; changes after it create records of this dispatcher.
    pub fn set_endpoints(
        &mut self,
        now: Nanos,
        all: impl IntoIterator<Item = (EndpointHash, DestId, bool)>,
        pass_on: u8,
    ) {
        let (mut ready, mut listed, mut known) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        for (place, dest, in_service) in all {
            known.insert(place);
            *listed.entry(dest).or_default() += 1;
            if in_service {
                ready.insert(place, dest);
            }
        }
        let before = std::mem::replace(&mut self.ready, ready);
        self.listed = listed;
        // Endpoints that were cordoned elsewhere before they were listed here.
        let new = known.iter().filter(|place| !self.known.contains(place));
        let cordoned: Vec<EndpointHash> =
            new.filter(|p| self.records.is_out(**p, RecordKind::Cordon)).copied().collect();
        self.acts.extend(cordoned.into_iter().map(|place| RollAction::Hold(place, RecordKind::Cordon)));
        if self.begun {
            let drained: Vec<EndpointHash> =
                before.keys().filter(|p| !self.ready.contains_key(p) && known.contains(p)).copied().collect();
            let back: Vec<EndpointHash> =
                self.ready.keys().filter(|p| !before.contains_key(p)).copied().collect();
            for (places, out) in [(drained, true), (back, false)] {
                for place in places {
                    self.say(place, RecordKind::Drain, out);
                }
            }
            let held = self.records.source_answered();
            self.push_hold_actions(held);
        } else {
            self.begun = true;
            let ready = &self.ready;
            let held = self.records.begin(|place| ready.contains_key(&place));
            self.push_hold_actions(held);
        }
        self.records.retain(|place| known.contains(&place));
        self.known = known;
        self.changed(now, pass_on);
    }

    /// Records that an operator cordons an endpoint here, or puts it back.
    pub fn set_cordon(&mut self, now: Nanos, place: EndpointHash, out: bool, pass_on: u8) {
        self.say(place, RecordKind::Cordon, out);
        self.changed(now, pass_on);
    }

    fn say(&mut self, place: EndpointHash, what: RecordKind, out: bool) {
        if self.records.say(place, what, out).is_some() {
            self.acts.push(RollAction::RecordsChanged);
        }
    }

    fn push_hold_actions(&mut self, held: impl IntoIterator<Item = HoldChange>) {
        for held in held {
            self.acts.push(match held {
                HoldChange::Hold(place, what) => RollAction::Hold(place, what),
                HoldChange::Release(place) => RollAction::Release(place),
            });
        }
    }

    fn changed(&mut self, now: Nanos, pass_on: u8) {
        let digest = self.records.digest();
        self.set_version(now, Kind::Cordons, digest, pass_on);
    }

    /// Whether another endpoint of the same destination may be held because of records of others.
    fn may_hold(&self, place: EndpointHash) -> bool {
        let Some(dest) = self.ready.get(&place) else { return false };
        let held = self.records.held().filter(|p| self.ready.get(p) == Some(dest)).count();
        let listed = self.listed.get(dest).copied().unwrap_or(0);
        (held + 1) * 100 <= listed * self.rules.drained_percent as usize
    }

    /// Handles an item of a datagram from `from`.
    pub fn receive(&mut self, now: Nanos, from: Peer, item: &Item, pass_on: u8) {
        match item {
            Item::Stands(stands) => {
                let news = self.judge.receive(now, stands, pass_on);
                if stands.who == from {
                    self.compare(from, stands);
                }
                if news {
                    self.look_at = now;
                }
            }
            Item::Finding(finding) if self.judge.receive_votes(finding, pass_on) => self.look_at = now,
            Item::Buckets(buckets) if self.rules.catch_up => {
                let after = self.theirs.get(&from).and_then(|(_, after)| *after);
                self.theirs.insert(from, (*buckets, after));
            }
            Item::Word(word) if self.rules.catch_up => {
                let ready = self.may_hold(word.place);
                let (news, held) = self.records.receive(*word, ready);
                if news {
                    self.acts.push(RollAction::RecordsChanged);
                    self.push_hold_actions(held);
                    self.changed(now, pass_on);
                }
            }
            _ => {}
        }
    }

    fn compare(&mut self, from: Peer, stands: &VersionReport) {
        if stands.standing.cordons.digest == self.records.digest() || !self.rules.catch_up {
            self.differ.remove(&from);
            self.theirs.remove(&from);
        } else {
            self.differ.entry(from).or_default();
        }
    }

    /// Runs a round: evaluates staleness, which may add actions, and returns the datagrams to send.
    pub fn round(
        &mut self,
        now: Nanos,
        heard: &Liveness,
        terms: &TierConfig,
        pass_on: u8,
    ) -> Vec<(Peer, Vec<u8>)> {
        let passed = now.saturating_sub(std::mem::replace(&mut self.last, now)) as f64 / 1e9;
        let each_second = self.rules.sync_bytes_per_second as f64;
        self.allowed = (self.allowed + passed * each_second).min(each_second);
        if now >= self.look_at {
            self.look_at = now.saturating_add(EVALUATION_INTERVAL);
            for change in self.judge.evaluate(now, heard, terms, pass_on) {
                self.acts.push(match change {
                    Decision::RefreshSource(kind) => RollAction::RefreshSource(kind),
                    Decision::ShutOut(kind) => RollAction::ShutOut(kind),
                    Decision::Readmit => RollAction::Readmit,
                });
                self.judge.mark_urgent(pass_on);
            }
        }
        let mut out = self.synchronise_records(now, heard);
        out.extend(self.spread_reports(now, heard, terms));
        self.sent += out.len() as u64;
        self.bytes += out.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        out
    }

    /// Returns datagrams that synchronise records with peers, within the configured rate.
    fn synchronise_records(&mut self, now: Nanos, heard: &Liveness) -> Vec<(Peer, Vec<u8>)> {
        let (mut out, speaker) = (Vec::new(), heard.sender());
        let buckets = self.records.buckets();
        for (peer, last) in &mut self.differ {
            if last.is_some_and(|last| now.saturating_sub(last) < DIGEST_INTERVAL) || self.allowed < 128.0 {
                continue;
            }
            *last = Some(now);
            let mut packing = Packing::of(VERSIONS_VERSION, &speaker);
            packing.add(&Item::Buckets(buckets));
            self.allowed -= packing.len() as f64;
            out.push((*peer, packing.bytes()));
        }
        for (peer, (theirs, after)) in &mut self.theirs {
            let may = (self.allowed / MAX_RECORD_LEN) as usize;
            let some = self.records.differing(theirs, *after, may.min(MAX_RECORDS_PER_PEER));
            let Some(last) = some.last() else { continue };
            *after = Some((last.place, last.what));
            let mut packing = Packing::of(VERSIONS_VERSION, &speaker);
            some.iter().all(|word| packing.add(&Item::Word(*word)));
            self.allowed -= packing.len() as f64;
            out.push((*peer, packing.bytes()));
        }
        out
    }

    fn spread_reports(&mut self, now: Nanos, heard: &Liveness, terms: &TierConfig) -> Vec<(Peer, Vec<u8>)> {
        let quiet = now >= self.quiet_until;
        let hot = self.judge.is_urgent();
        if !quiet && !hot {
            return Vec::new();
        }
        if quiet {
            self.quiet_until = now.saturating_add(ms(terms.quiet_ms));
        }
        let own = (self.judge.take_urgent_round() || quiet)
            .then(|| self.judge.own_report(now, heard.sender().life.beat))
            .flatten();
        let findings = self.judge.votes_to_send(quiet, 3);
        let others = self.judge.items_to_forward(now, quiet, 3);
        let items: Vec<Item> = own
            .map(Item::Stands)
            .into_iter()
            .chain(findings.into_iter().map(Item::Finding))
            .chain(others.into_iter().map(Item::Stands))
            .collect();
        let mut packing = Packing::of(VERSIONS_VERSION, &heard.sender());
        for item in &items {
            packing.add(item);
        }
        if packing.is_empty() {
            return Vec::new();
        }
        let bytes = packing.bytes();
        let mut all: Vec<Peer> = heard.others().collect();
        let mut to = Vec::new();
        let fanout = if hot { terms.fanout } else { IDLE_FANOUT };
        while to.len() < fanout && !all.is_empty() {
            to.push(all.swap_remove(self.rng.next_u32() as usize % all.len()));
        }
        to.into_iter().map(|to| (to, bytes.clone())).collect()
    }

    /// Returns the status of all dispatchers as seen here.
    pub fn peer_statuses(&mut self, now: Nanos, heard: &Liveness, terms: &TierConfig) -> Vec<PeerStatus> {
        let all = self.judge.all_views(now, heard, terms);
        let of = all[0].0.len() as Peer;
        let row = |who: Peer| {
            let (stands, since) = self.judge.report(who)?;
            let views = [0, 1, 2, 3].map(|n: usize| all[n].0[usize::from(who)]);
            let held = since.map(|since| now.saturating_sub(since));
            Some(PeerStatus { stands: *stands, held, views, found: self.judge.stale_kind(heard, who) })
        };
        (0..of).filter_map(row).collect()
    }

    /// Returns the number of datagrams sent, their bytes, and the number of records rejected because of the
    /// maximum.
    pub fn traffic(&self) -> (u64, u64, u64) {
        (self.sent, self.bytes, self.records.turned_away)
    }
}

/// Status of one dispatcher as seen by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its last report.
    pub stands: VersionReport,
    /// How long it has used each version.
    pub held: [Nanos; 4],
    /// Assessment of each version.
    pub views: [View; 4],
    /// The kind on which a majority found it behind.
    pub found: Option<Kind>,
}
