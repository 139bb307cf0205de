//! The shared state of one dispatcher: calls and datagrams go in; outputs come out, in the order in which
//! they must be carried out.
//!
//! Invariant: a lent share is no longer used here when its grant is sent: the [`TierEvent::RateBudget`]
//! precedes the datagram.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::TierConfig;
use crate::counts::{Counts, Sum};
use crate::evidence::{End, Evidence, Verdict};
use crate::frame::{Frame, Heartbeat, Item, Packing, Sender};
use crate::lending::{Loans, WHOLE, even_share};
use crate::limit::LimitEstimator;
use crate::liveness::{Liveness, Presence};
use crate::planted::{Fault, Planted};
use crate::roll::{InitialState, PeerStatus, Roll, RollAction};
use crate::staleness::ServiceState;
use crate::versions::ActiveVersions;
use crate::{DestId, EndpointHash, Incarnation, Nanos, Peer};

/// Maximum number of peers that are sent addressed items in a round, beside those of the fanout.
const MAX_ADDRESSED_PEERS: usize = 8;
/// Maximum number of queued items addressed to one peer.
const MAX_ADDRESSED_ITEMS: usize = 6;
/// Maximum number of lenders asked at once.
const MAX_LENDERS: usize = 3;
/// Time without traffic after which a destination is idle.
const IDLE_AFTER: Nanos = 10_000_000_000;
/// How long a report of lendable shares is used.
const SPARE_TTL: Nanos = 5_000_000_000;
/// Weight of a round in the moving average of the call rate.
const RATE_WEIGHT: f64 = 0.2;
const SECOND: f64 = 1e9;

/// Current demand at a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The destination.
    pub dest: DestId,
    /// Limit in calls per second from all dispatchers together, as given by the destination or the list; 0 if
    /// unknown.
    pub limit: f64,
    /// Number of messages waiting for a call.
    pub waiting: usize,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Served.
    Served,
    /// Rejected because of overload.
    Refused,
    /// Any other answer.
    Answered,
    /// No connection, a broken connection, or a time-out.
    Failed,
}

/// Rate at which this dispatcher may call a destination, in calls per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBudget {
    /// Rate until `until`.
    pub rate: f64,
    /// When the first borrowed share ends; `Nanos::MAX` without any.
    pub until: Nanos,
    /// Rate from then on.
    pub after: f64,
    /// The two rates as shares, in units of 1/[`WHOLE`].
    pub share: [u32; 2],
}

/// An event for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TierEvent {
    /// The rate for a destination changed.
    RateBudget {
        /// The destination.
        dest: DestId,
        /// The rate; `None` if no limit is known.
        part: Option<RateBudget>,
    },
    /// An endpoint requested a wait from another dispatcher.
    WaitRequested {
        /// The endpoint.
        place: EndpointHash,
        /// End of the wait.
        until: Nanos,
    },
    /// Other dispatchers can't reach an endpoint. Withdrawn if `until` has passed.
    PeersUnreachable {
        /// The endpoint.
        place: EndpointHash,
        /// Until when this applies.
        until: Nanos,
        /// Whether no calls are sent there; otherwise one at a time.
        hold: bool,
    },
    /// Other dispatchers report that a destination recovered; it may be cold.
    PeersSawRecovery {
        /// The destination.
        dest: DestId,
    },
}

/// An output, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Pass an event to the decision module.
    Event(TierEvent),
    /// Send a datagram.
    Send {
        /// The receiver.
        to: Peer,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The incarnation of this dispatcher changed; the next start must use a higher one.
    Incarnation(Incarnation),
    /// An action of the roll; only if it is [enabled](Tier::enable_roll).
    RollAction(RollAction),
    /// A share was lent or borrowed; only if loans are [traced](Tier::trace_loans).
    Loan(Loan),
}

/// A share that was lent or borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The destination.
    pub dest: DestId,
    /// The borrower or lender.
    pub peer: Peer,
    /// Whether it was lent; otherwise borrowed.
    pub lent: bool,
    /// The share, in units of 1/[`WHOLE`].
    pub part: u32,
    /// End of the loan.
    pub until: Nanos,
    /// Epoch of the peer.
    pub epoch: Incarnation,
}

/// Statistics for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierStats {
    /// Number of peers that are alive.
    pub alive: usize,
    /// Number of suspected peers.
    pub suspected: usize,
    /// Number of silent peers.
    pub silent: usize,
    /// Number of peers that are gone or never heard of.
    pub gone: usize,
    /// Whether this dispatcher hears no peer.
    pub hears_nobody: bool,
    /// Whether this dispatcher can't reach what others reach.
    pub at_fault: bool,
    /// Shares lent now, in thousandths of an even share, over all destinations.
    pub lent: u64,
    /// Shares borrowed now, in the same unit.
    pub borrowed: u64,
    /// Number of endpoints avoided or restricted because of observations of others.
    pub hearsay: usize,
    /// Age of the oldest counts in use, in milliseconds.
    pub oldest_ms: u64,
    /// Known calls of all dispatchers to destinations with traffic here.
    pub calls: u64,
    /// Upper bound on further calls of the others since their last reports, based on their even shares.
    pub untold: u64,
    /// Number of datagrams sent.
    pub sent: u64,
    /// Their total size in bytes.
    pub bytes: u64,
    /// Number of datagrams sent for the roll.
    pub roll_sent: u64,
    /// Their total size in bytes.
    pub roll_bytes: u64,
    /// Number of dispatchers that are shut out as far as known here, this one included.
    pub behind: usize,
}

/// State of a destination with traffic here.
#[derive(Clone, Debug, Default)]
struct Traffic {
    active: Nanos,
    /// Calls sent up to the last round; `rate` is the average and `peak` the recent maximum in calls per
    /// second.
    sent: u64,
    rate: f64,
    peak: f64,
    told_limit: f64,
    estimate: LimitEstimator,
    waiting: usize,
    part: Option<RateBudget>,
}

impl Traffic {
    fn limit(&self, terms: &TierConfig) -> f64 {
        let estimate = if terms.estimate { self.estimate.per_second() } else { 0.0 };
        if self.told_limit > 0.0 { self.told_limit } else { estimate }
    }
    /// The share in use, with a margin.
    fn used(&self, terms: &TierConfig) -> u32 {
        let limit = self.limit(terms);
        if limit <= 0.0 || self.waiting > 0 {
            return WHOLE;
        }
        (self.peak * 1.2 / limit * f64::from(WHOLE)).min(f64::from(WHOLE)) as u32
    }
}

/// The shared state of one dispatcher.
pub struct Tier {
    terms: TierConfig,
    me: Peer,
    heard: Liveness,
    loans: Loans,
    counts: Counts,
    evidence: Evidence,
    rng: Pcg64Mcg,
    traffic: BTreeMap<DestId, Traffic>,
    /// Listed endpoints of each destination, and the destination of each endpoint.
    places: BTreeMap<DestId, BTreeSet<EndpointHash>>,
    dests: BTreeMap<EndpointHash, DestId>,
    /// Last reported state of endpoints that others can't reach: end, and whether to hold calls.
    hearsay: BTreeMap<EndpointHash, (Nanos, bool)>,
    /// Destinations of which others reach no endpoint.
    out: BTreeSet<DestId>,
    /// Queued items addressed to single peers.
    direct: BTreeMap<Peer, Vec<Item>>,
    due: Nanos,
    /// When datagrams are sent even if nothing is urgent.
    quiet_until: Nanos,
    /// Loan requests that may be sent now.
    asks: f64,
    /// Round-robin positions.
    next_own: DestId,
    next_passed: (DestId, Peer),
    next_life: Peer,
    outs: VecDeque<Output>,
    sent: u64,
    bytes: u64,
    roll: Option<Roll>,
    traced: bool,
    planted: Planted,
}

impl Tier {
    /// Creates the state of dispatcher `me` of `of`. The incarnation must have been stored.
    pub fn new(
        now: Nanos,
        terms: TierConfig,
        me: Peer,
        of: u16,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let planted = Planted {
            #[cfg(feature = "faults")]
            fault: terms.planted,
        };
        let mut loans = Loans::new(now, of, &terms, rng.next_u32());
        let mut evidence = Evidence::new(me, of);
        (loans.planted, evidence.planted) = (planted, planted);
        Tier {
            heard: Liveness::new(now, me, of, incarnation),
            loans,
            counts: Counts::new(me, of),
            evidence,
            rng,
            traffic: BTreeMap::new(),
            places: BTreeMap::new(),
            dests: BTreeMap::new(),
            hearsay: BTreeMap::new(),
            out: BTreeSet::new(),
            direct: BTreeMap::new(),
            due: now,
            quiet_until: now,
            asks: terms.asks_per_second as f64,
            next_own: 0,
            next_passed: (0, 0),
            next_life: 0,
            outs: VecDeque::new(),
            sent: 0,
            bytes: 0,
            roll: None,
            traced: false,
            planted,
            terms,
            me,
        }
    }

    /// Enables tracking of the versions that dispatchers use.
    pub fn enable_roll(&mut self, now: Nanos, begin: InitialState, seed: u64) {
        let Sender { who, of, life } = self.heard.sender();
        #[allow(unused_mut, reason = "where faults can be planted")]
        let mut roll = Roll::new(now, who, of, life.incarnation, begin, seed);
        #[cfg(feature = "faults")]
        roll.plant(self.planted);
        self.roll = Some(roll);
    }

    /// Enables [`Output::Loan`].
    pub fn trace_loans(&mut self) {
        self.traced = true;
    }

    /// Returns the versions this dispatcher uses, if the roll is enabled.
    pub fn active_versions(&self) -> Option<ActiveVersions> {
        self.roll.as_ref().map(Roll::active_versions)
    }

    /// Returns the roll, and the number of rounds for which its items are forwarded.
    pub fn roll(&mut self) -> Option<(&mut Roll, u8)> {
        let pass_on = self.pass_on();
        self.roll.as_mut().map(|roll| (roll, pass_on))
    }

    /// Returns whether this dispatcher accepts new messages, that is, is not shut out.
    pub fn accepts_messages(&self) -> bool {
        let serves = self.roll.as_ref().is_none_or(|roll| roll.service() == ServiceState::In);
        serves || self.planted.has(Fault::TakeWhileOut)
    }

    /// Returns whether a fault is planted that the caller must implement; false without the `faults` feature.
    pub fn has_fault(&self, fault: Fault) -> bool {
        self.planted.has(fault)
    }

    /// Returns the status of all dispatchers as seen here, if the roll is enabled.
    pub fn peer_statuses(&mut self, now: Nanos) -> Vec<PeerStatus> {
        let Tier { roll, heard, terms, .. } = self;
        roll.as_mut().map_or(Vec::new(), |roll| roll.peer_statuses(now, heard, terms))
    }

    /// Returns this dispatcher's number and the configured number of dispatchers.
    pub fn identity(&self) -> (Peer, u16) {
        let speaker = self.heard.sender();
        (speaker.who, speaker.of)
    }

    /// Returns this dispatcher's heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        self.heard.sender().life
    }

    /// Begins a new epoch: earlier requests are cancelled, and peers void earlier items.
    fn renew(&mut self) {
        let incarnation = self.heard.begin_epoch();
        self.renewed(incarnation);
    }

    fn renewed(&mut self, incarnation: Incarnation) {
        self.counts.renew();
        self.traffic.values_mut().for_each(|traffic| traffic.sent = 0);
        if let Some(roll) = &mut self.roll {
            roll.set_epoch(incarnation);
        }
        self.outs.push_back(Output::Incarnation(incarnation));
    }

    /// Whether a dispatcher is excluded from lending.
    fn is_out(&self, who: Peer) -> bool {
        let out = self.roll.as_ref().is_some_and(|roll| roll.is_out(&self.heard, who));
        out && !self.planted.has(Fault::LendWhileOut)
    }

    /// Takes the next output.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outs.pop_front()
    }

    /// Returns when [`Self::tick`] is due.
    pub fn next_round_at(&self) -> Nanos {
        self.due
    }

    /// Sets the listed endpoints.
    pub fn set_endpoints(&mut self, now: Nanos, all: impl IntoIterator<Item = (DestId, EndpointHash)>) {
        (self.places, self.dests) = (BTreeMap::new(), BTreeMap::new());
        for (dest, place) in all {
            self.places.entry(dest).or_default().insert(place);
            self.dests.insert(place, dest);
        }
        let Tier { places, dests, .. } = self;
        self.loans.retain(now, |dest| places.contains_key(&dest));
        self.counts.retain(|dest| places.contains_key(&dest));
        self.traffic.retain(|dest, _| places.contains_key(dest));
        self.out.retain(|dest| places.contains_key(dest));
        self.hearsay.retain(|place, _| dests.contains_key(place));
        self.evidence.retain(now, &self.terms, |place| dests.contains_key(&place));
    }

    /// Updates the demand of a destination, from which on its rate is tracked.
    pub fn update_demand(&mut self, now: Nanos, need: Demand) {
        if !self.places.contains_key(&need.dest) {
            return;
        }
        let traffic = self.traffic.entry(need.dest).or_default();
        traffic.told_limit = need.limit;
        if need.waiting > 0 {
            traffic.active = now;
        }
        self.emit_rate(now, need.dest);
    }

    /// Iterates over the destinations whose demand must be passed to the next [`Self::tick`].
    pub fn active(&self) -> impl Iterator<Item = DestId> + '_ {
        let busy = |t: &Traffic| {
            t.active + IDLE_AFTER > self.due || t.part.is_some_and(|part| part.until != Nanos::MAX)
        };
        self.traffic.iter().filter(move |(_, t)| busy(t)).map(|(dest, _)| *dest)
    }

    /// Records a call that was sent to a destination.
    pub fn record_call(&mut self, now: Nanos, dest: DestId) {
        if self.places.contains_key(&dest) {
            self.counts.own(dest).sent += 1;
            self.traffic.entry(dest).or_default().active = now;
        }
    }

    /// Records the result of a call, and the wait the endpoint requested, if any.
    pub fn record_result(
        &mut self,
        now: Nanos,
        place: EndpointHash,
        went: CallResult,
        wait_until: Option<Nanos>,
    ) {
        let Some(dest) = self.dests.get(&place) else { return };
        let calls = self.counts.own(*dest);
        match went {
            CallResult::Served => calls.served += 1,
            CallResult::Refused => calls.refused += 1,
            CallResult::Answered | CallResult::Failed => {}
        }
        self.evidence.record_result(
            now,
            place,
            if went == CallResult::Failed { End::Failed } else { End::Answered },
        );
        if let Some(until) = wait_until.filter(|until| *until > now) {
            self.evidence.record_wait(now, place, until);
        }
    }

    /// Number of rounds for which a new item is forwarded.
    fn pass_on(&self) -> u8 {
        let of = u32::from(self.heard.sender().of);
        3 + of.checked_ilog2().unwrap_or(0) as u8
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Nanos, frame: &Frame) {
        let (speaker, pass_on) = (&frame.speaker, self.pass_on());
        let from = speaker.who;
        if from == self.me {
            return;
        }
        let known = self.heard.heartbeat(from);
        self.heard.observe_sender(now, speaker);
        if speaker.life < known {
            // The sender does not know its own later heartbeat, or the datagram is late: report the
            // heartbeat.
            self.queue_for(from, Item::Lives { who: from, life: known });
            if speaker.life.incarnation < known.incarnation {
                return;
            }
        }
        for item in &frame.items {
            match item {
                Item::Lives { who, life } => {
                    if let Some(incarnation) = self.heard.observe(now, *who, *life) {
                        self.renewed(incarnation);
                        if let Some(roll) = &mut self.roll {
                            roll.set_incarnation(incarnation, pass_on);
                        }
                    }
                }
                Item::Counted(counted) if self.places.contains_key(&counted.dest) => {
                    self.counts.merge(now, counted, pass_on.min(3));
                }
                Item::Seen(seen) if self.dests.contains_key(&seen.place) => {
                    let (_, wait) = self.evidence.merge(now, seen, pass_on);
                    if let Some(until) = wait {
                        self.outs
                            .push_back(Output::Event(TierEvent::WaitRequested { place: seen.place, until }));
                    }
                }
                Item::Ask { dest, seq, part } => {
                    self.asked(now, (from, speaker.life.incarnation), *dest, *seq, *part)
                }
                Item::Grant { dest, seq, incarnation, part } => {
                    let mine = *incarnation == self.heard.sender().life.incarnation;
                    let out = self.is_out(from) || self.is_out(self.me);
                    if mine && !out && self.loans.handle_grant(now, from, *dest, *seq, *part, &self.terms) {
                        self.emit_rate(now, *dest);
                        self.loan(now, *dest, (from, speaker.life.incarnation), *part, false);
                    }
                }
                Item::Counted(_) | Item::Seen(_) => {}
                Item::Stands(_) | Item::Finding(_) | Item::Buckets(_) | Item::Word(_) => {
                    if let Some(roll) = &mut self.roll {
                        roll.receive(now, from, item, pass_on);
                    }
                }
            }
        }
    }

    fn asked(&mut self, now: Nanos, from: (Peer, Incarnation), dest: DestId, seq: u32, part: u32) {
        let out = self.is_out(from.0) || self.is_out(self.me);
        if !self.terms.lends() || !self.places.contains_key(&dest) || out {
            return;
        }
        let right = self.right(now);
        // Without recent traffic the whole share is unused, whatever the limit.
        let used = self.traffic.get(&dest).map_or(0, |t| t.used(&self.terms));
        let lent = self.loans.handle_request(now, from, dest, seq, part, right, used, &self.terms);
        if let Some(part) = lent {
            self.emit_rate(now, dest);
            self.queue_for(from.0, Item::Grant { dest, seq, incarnation: from.1, part });
            self.loan(now, dest, from, part, true);
        }
    }

    fn loan(&mut self, now: Nanos, dest: DestId, (peer, epoch): (Peer, Incarnation), part: u32, lent: bool) {
        if self.traced {
            // For a borrowed share this is an upper bound.
            let until = now.saturating_add(if lent { self.terms.hold() } else { self.terms.term() });
            self.outs.push_back(Output::Loan(Loan { dest, peer, lent, part, until, epoch }));
        }
    }

    /// The even share that this dispatcher owns.
    fn right(&self, now: Nanos) -> u32 {
        if self.planted.has(Fault::SharesByHeard) {
            return even_share(self.heard.heard(now, &self.terms));
        }
        even_share(self.heard.configured())
    }

    fn queue_for(&mut self, to: Peer, item: Item) {
        if self.direct.len() >= MAX_ADDRESSED_PEERS && !self.direct.contains_key(&to) {
            return;
        }
        let items = self.direct.entry(to).or_default();
        if items.len() < MAX_ADDRESSED_ITEMS {
            items.push(item);
        }
    }

    /// Emits the rate of a destination if it changed.
    fn emit_rate(&mut self, now: Nanos, dest: DestId) {
        let right = self.right(now);
        // A margin of 1.5 rounds, so that the next round precedes the end of a share in use.
        let share = self.loans.share(now, dest, right, 3 * self.terms.beat() / 2);
        let Some(traffic) = self.traffic.get_mut(&dest) else { return };
        let limit = if self.terms.budgets { traffic.limit(&self.terms) } else { 0.0 };
        let rate = |part: u32| limit * f64::from(part) / f64::from(WHOLE);
        let part = (limit > 0.0).then(|| RateBudget {
            rate: rate(share.part),
            until: share.until,
            after: rate(share.after),
            share: [share.part, share.after],
        });
        if part != traffic.part {
            traffic.part = part;
            self.outs.push_back(Output::Event(TierEvent::RateBudget { dest, part }));
        }
    }

    /// Runs a round, which emits changes and datagrams. `needs`: the demand of all [`Self::active`]
    /// destinations, and of all with waiting messages.
    pub fn tick(&mut self, now: Nanos, needs: &[Demand]) {
        let passed = (now.saturating_sub(self.due) + self.terms.beat()) as f64 / SECOND;
        let each_second = self.terms.asks_per_second as f64;
        self.asks = (self.asks + passed * each_second).min(each_second);
        // Missed rounds are not repeated after a pause.
        self.due = now.saturating_add(self.terms.beat());
        self.heard.advance_beat();
        self.loans.retain(now, |dest| self.places.contains_key(&dest));
        for need in needs {
            self.update_demand(now, *need);
            self.update_traffic(now, need, passed);
        }
        let pass_on = self.pass_on();
        self.evidence.publish(now, &self.terms, pass_on);
        self.judge(now);
        let Tier { evidence, dests, terms, .. } = self;
        evidence.retain(now, terms, |place| dests.contains_key(&place));
        self.send_datagrams(now);
        self.run_roll(now);
    }

    fn run_roll(&mut self, now: Nanos) {
        let pass_on = self.pass_on();
        let Tier { roll: Some(roll), heard, terms, .. } = self else { return };
        let datagrams = roll.round(now, heard, terms, pass_on);
        let acts = roll.take_actions();
        // Leave service before sending anything else.
        for act in acts {
            match act {
                RollAction::ShutOut(_) => {
                    self.loans.return_all();
                    let dests: Vec<DestId> = self.traffic.keys().copied().collect();
                    dests.into_iter().for_each(|dest| self.emit_rate(now, dest));
                    self.renew();
                }
                RollAction::Readmit => self.renew(),
                _ => {}
            }
            self.outs.push_back(Output::RollAction(act));
        }
        self.outs.extend(datagrams.into_iter().map(|(to, bytes)| Output::Send { to, bytes }));
    }

    fn update_traffic(&mut self, now: Nanos, need: &Demand, passed: f64) {
        let dest = need.dest;
        let sum = self.counts.sum(now, dest);
        let sent = self.counts.own(dest).sent;
        let Some(traffic) = self.traffic.get_mut(&dest) else { return };
        traffic.rate += RATE_WEIGHT * ((sent.saturating_sub(traffic.sent)) as f64 / passed - traffic.rate);
        traffic.peak = traffic.rate.max(traffic.peak * 0.97);
        traffic.sent = sent;
        (traffic.told_limit, traffic.waiting) = (need.limit, need.waiting);
        if need.waiting > 0 {
            traffic.active = now;
        }
        traffic.estimate.step(now, sum.calls);
        let (limit, wants, used) =
            (traffic.limit(&self.terms), traffic.rate + need.waiting as f64, traffic.used(&self.terms));
        let right = self.right(now);
        let spare = self.loans.spare(now, dest, right, if need.waiting > 0 { right } else { used });
        self.counts.set_spare(dest, (u64::from(spare) * 255 / u64::from(right.max(1))).min(255) as u8);
        self.emit_rate(now, dest);
        if !self.terms.lends() || limit <= 0.0 || need.waiting == 0 || self.is_out(self.me) {
            return;
        }
        // Compare the share available once this round's grants arrive with the demand.
        let soon = now.saturating_add(2 * self.terms.beat());
        let have = self.loans.share(soon, dest, right, 3 * self.terms.beat() / 2).part;
        let wanted = (wants / limit * f64::from(WHOLE)).min(f64::from(WHOLE)) as u32;
        let missing = wanted.saturating_sub(have);
        if missing < right / 16 || self.loans.has_recent_request(now, dest, 2 * self.terms.beat()) {
            return;
        }
        let lenders = self.lenders(now, dest, (self.asks as usize).min(MAX_LENDERS));
        if lenders.is_empty() {
            return;
        }
        self.asks -= lenders.len() as f64;
        let seq = self.loans.new_request(now, dest, &self.terms);
        let part = missing.div_ceil(lenders.len() as u32);
        lenders.into_iter().for_each(|lender| self.queue_for(lender, Item::Ask { dest, seq, part }));
    }

    /// Selects lenders: those with the most to lend as far as known; otherwise random live peers.
    fn lenders(&mut self, now: Nanos, dest: DestId, most: usize) -> Vec<Peer> {
        let alive = |who: Peer| {
            self.heard.presence(now, &self.terms, who) <= Presence::Suspected && !self.is_out(who)
        };
        let mut spares: Vec<_> = self.counts.spares(dest, now.saturating_sub(SPARE_TTL)).collect();
        spares.retain(|(_, who)| alive(*who));
        spares.sort_unstable_by(|a, b| b.cmp(a));
        if !spares.is_empty() {
            return spares.into_iter().take(most).map(|(_, who)| who).collect();
        }
        // A dispatcher that never called a destination does not report it, and its whole share is unused.
        let mut all: Vec<Peer> = self.heard.others().filter(|who| alive(*who)).collect();
        let mut some = Vec::new();
        while some.len() < most && !all.is_empty() {
            some.push(all.swap_remove(self.rng.next_u32() as usize % all.len()));
        }
        some
    }

    /// Evaluates the observations and emits changes of endpoints and destinations.
    fn judge(&mut self, now: Nanos) {
        let mut accused: BTreeMap<DestId, Vec<(EndpointHash, Nanos)>> = BTreeMap::new();
        if self.terms.hearsay {
            for place in self.evidence.reported_endpoints() {
                let Some(dest) = self.dests.get(&place) else { continue };
                if let Verdict::Accused(until) = self.evidence.verdict(now, place, &self.terms) {
                    accused.entry(*dest).or_default().push((place, until));
                }
            }
        }
        let mut said = BTreeMap::new();
        let mut out = BTreeSet::new();
        for (dest, places) in accused {
            let listed = self.places.get(&dest).map_or(0, BTreeSet::len);
            let most = listed * self.terms.avoid_percent as usize / 100;
            if places.len() >= listed {
                out.insert(dest);
            }
            said.extend(places.into_iter().enumerate().map(|(n, (place, until))| (place, (until, n < most))));
        }
        for place in self.hearsay.keys().filter(|place| !said.contains_key(place)) {
            self.outs.push_back(Output::Event(TierEvent::PeersUnreachable {
                place: *place,
                until: 0,
                hold: false,
            }));
        }
        for (place, (until, hold)) in &said {
            if self.hearsay.get(place) != Some(&(*until, *hold)) {
                self.outs.push_back(Output::Event(TierEvent::PeersUnreachable {
                    place: *place,
                    until: *until,
                    hold: *hold,
                }));
            }
        }
        for dest in self.out.difference(&out) {
            self.outs.push_back(Output::Event(TierEvent::PeersSawRecovery { dest: *dest }));
        }
        (self.hearsay, self.out) = (said, out);
    }

    /// Emits the datagrams of a round.
    fn send_datagrams(&mut self, now: Nanos) {
        let speaker = self.heard.sender();
        let mut others: Vec<Peer> = self.heard.others().collect();
        let mut to: BTreeSet<Peer> = self.direct.keys().copied().collect();
        let quiet = now >= self.quiet_until;
        let seen = self.evidence.items_to_forward(now, speaker.life.incarnation, 6, quiet);
        let mut left = if seen.is_empty() && !quiet { 0 } else { self.terms.fanout };
        if quiet {
            self.quiet_until = now.saturating_add(self.terms.quiet());
        }
        while left > 0 && !others.is_empty() {
            to.insert(others.swap_remove(self.rng.next_u32() as usize % others.len()));
            left -= 1;
        }
        if to.is_empty() {
            return;
        }
        let own = self.own_counts(speaker.life.incarnation, 4);
        let passed = self.counts.items_to_forward(now, self.next_passed, 4);
        if let Some(last) = passed.last() {
            self.next_passed = (last.dest, last.who);
        }
        let lives = self.lives(now, 12);
        for to in to {
            let mut packing = Packing::new(&speaker);
            for item in self.direct.remove(&to).unwrap_or_default() {
                packing.add(&item);
            }
            let items = seen.iter().map(|seen| Item::Seen(*seen));
            let items = items.chain(own.iter().chain(&passed).map(|counted| Item::Counted(*counted)));
            for item in items {
                // Reserve space for heartbeats.
                if packing.room() < 72 || !packing.add(&item) {
                    break;
                }
            }
            lives.iter().all(|item| packing.add(item));
            let bytes = packing.bytes();
            (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
            self.outs.push_back(Output::Send { to, bytes });
        }
        self.direct.clear();
    }

    fn own_counts(&mut self, incarnation: Incarnation, most: usize) -> Vec<crate::frame::Counted> {
        let from = self.next_own;
        let mut dests: Vec<DestId> = self.traffic.keys().copied().collect();
        let start = dests.partition_point(|dest| *dest < from);
        dests.rotate_left(start);
        dests.truncate(most);
        if let Some(last) = dests.last() {
            self.next_own = last.saturating_add(1);
        }
        dests.into_iter().filter_map(|dest| self.counts.tell(dest, incarnation)).collect()
    }

    /// Heartbeats of live peers, in round-robin order.
    fn lives(&mut self, now: Nanos, most: usize) -> Vec<Item> {
        let mut all: Vec<Peer> = self
            .heard
            .others()
            .filter(|who| self.heard.presence(now, &self.terms, *who) <= Presence::Suspected)
            .collect();
        let start = all.partition_point(|who| *who < self.next_life);
        all.rotate_left(start);
        all.truncate(most);
        if let Some(last) = all.last() {
            self.next_life = last + 1;
        }
        all.into_iter().map(|who| Item::Lives { who, life: self.heard.heartbeat(who) }).collect()
    }

    /// Returns the known calls of all dispatchers to a destination.
    pub fn sum(&self, now: Nanos, dest: DestId) -> Sum {
        self.counts.sum(now, dest)
    }

    /// Returns the liveness state of a peer.
    pub fn presence(&self, now: Nanos, who: Peer) -> Presence {
        self.heard.presence(now, &self.terms, who)
    }

    /// Returns statistics for the console.
    pub fn stats(&self, now: Nanos) -> TierStats {
        let count = |presence| self.heard.count(now, &self.terms, presence);
        let right = u64::from(self.right(now)).max(1);
        let mut figures = TierStats {
            alive: count(Presence::Alive),
            suspected: count(Presence::Suspected),
            silent: count(Presence::Silent),
            gone: count(Presence::Gone),
            hears_nobody: self.heard.is_isolated(now, &self.terms),
            at_fault: self.evidence.at_fault(),
            hearsay: self.hearsay.len(),
            sent: self.sent,
            bytes: self.bytes,
            ..TierStats::default()
        };
        if let Some(roll) = &self.roll {
            (figures.roll_sent, figures.roll_bytes, _) = roll.traffic();
            let all = 0..self.heard.sender().of;
            figures.behind = all.filter(|who| roll.is_out(&self.heard, *who)).count();
        }
        let (lent, borrowed) = self.loans.totals(now);
        (figures.lent, figures.borrowed) = (lent * 1_000 / right, borrowed * 1_000 / right);
        let share = f64::from(self.right(now)) / f64::from(WHOLE);
        for (dest, traffic) in &self.traffic {
            let sum = self.counts.sum(now, *dest);
            figures.oldest_ms = figures.oldest_ms.max(sum.oldest / 1_000_000);
            figures.calls += sum.calls.sent;
            figures.untold +=
                (traffic.limit(&self.terms) * share * sum.unknown as f64 / SECOND).ceil() as u64;
        }
        figures
    }
}
