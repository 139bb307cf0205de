//! Leadership of a controller: acquiring and releasing the lease, writing the fence, running the leader's
//! duties, and calls to the platform.
//!
//! Invariants: a [`Leader`] exists only while the lease is held, and its fence was written under that same
//! lease. Every call to the platform has a deadline, and a call that misses it is reported as unanswered.

use std::net::SocketAddr;

use compact_str::CompactString;
use millpost_autoscaler::{Effect, Endpoint, Poll, StartFault, StopFault, Worker};
use millpost_protocol::PeerMessage;
use millpost_quorum::{Address, LeaseHolder, Members, Message, Outcome, Value};

use crate::Nanos;
use crate::errors::CallError;
use crate::leader::{Leader, ProxyMessages};
use crate::pages::{ListReader, PageResult};

const LEASE_NAME: &str = "steward";

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are named as in the platform API")]
pub enum Call {
    /// Lists a page of instances; without a token the first page.
    List { token: Option<CompactString> },
    /// Lists the workers.
    Workers,
    /// Starts an instance.
    Start { service: CompactString, worker: CompactString, nonce: CompactString },
    /// Stops an instance.
    Stop { id: CompactString },
}

/// A page of the list, and the token of the next page.
pub type Page = (Vec<Endpoint>, Option<CompactString>);

/// A reply of the platform. `None` or a fault `Unclear` means that there was no usable answer.
#[derive(Debug)]
#[allow(missing_docs, reason = "the fields are named as in the platform API")]
pub enum PlatformReply {
    Listed(Option<Page>),
    Workers(Option<Vec<Worker>>),
    Started { nonce: CompactString, answer: Result<(CompactString, SocketAddr), StartFault> },
    Stopped { id: CompactString, answer: Result<(), StopFault> },
}

impl Call {
    /// Returns the reply that is used when there is no answer.
    pub fn unanswered(self) -> PlatformReply {
        match self {
            Call::List { .. } => PlatformReply::Listed(None),
            Call::Workers => PlatformReply::Workers(None),
            Call::Start { nonce, .. } => PlatformReply::Started { nonce, answer: Err(StartFault::Unclear) },
            Call::Stop { id } => PlatformReply::Stopped { id, answer: Err(StopFault::Unclear) },
        }
    }
}

/// A call to the platform under a fence. If it has not begun before the deadline, its reply is
/// [`Call::unanswered`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    /// The leader's fence.
    pub fence: u64,
    /// The time at which the call was decided on.
    pub decided_at: Nanos,
    /// The end of the lease, before which the call must begin.
    pub deadline: Nanos,
    /// The call.
    pub call: Call,
}

impl PlatformCall {
    /// Returns the call if it may still begin, else its reply without an answer.
    pub fn begin(self, now: Nanos) -> Result<Call, PlatformReply> {
        if now < self.deadline { Ok(self.call) } else { Err(self.call.unanswered()) }
    }
}

/// A read of the register that the leadership needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterRead {
    /// The last leader; the result goes to [`Leadership::on_last_leader`].
    LastLeader,
    /// The current fence; the result, including an error, goes to [`Leadership::on_fence`].
    Fence,
}

/// The next step after a reply of the register.
#[derive(Debug, PartialEq)]
pub enum LeadershipStep {
    /// Nothing to do.
    Idle,
    /// Send these messages to the voters, to release the lease.
    ReleaseLease(Vec<(Address, Message)>),
    /// Write this fence over the one below it; the result, including an error, goes to
    /// [`Leadership::on_fence_written`].
    WriteFence(u64),
    /// Install the leader of this fence immediately, with [`Leadership::install_leader`].
    BecomeLeader(u64),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FenceAttempt {
    None,
    InProgress,
    /// The lease was lost during the attempt, so its result is ignored.
    Expired,
}

/// The output of one tick of the leader.
pub struct LeaderOutput {
    /// A new membership view for all proxies, and the instances that individual proxies receive with it; sent
    /// first.
    pub view: Option<(PeerMessage, ProxyMessages)>,
    /// Other messages for individual proxies.
    pub messages: ProxyMessages,
    /// Calls to the platform.
    pub platform_calls: Vec<PlatformCall>,
}

/// Decides whether this controller leads, and runs the leader's duties.
pub struct Leadership {
    me: Address,
    life: u64,
    seed: u64,
    holder: Option<LeaseHolder>,
    /// Whether the register named this controller as the leader when the process started; `None` until that
    /// was read.
    was_leader: Option<bool>,
    fence_attempt: FenceAttempt,
    leader: Option<Leader>,
    pages: ListReader,
    leaving: bool,
}

impl Leadership {
    /// Creates the leadership of the controller `me`; `life` must differ at each start.
    pub fn new(me: Address, life: u64, seed: u64) -> Self {
        let (holder, was_leader, fence_attempt, leader) = (None, None, FenceAttempt::None, None);
        Leadership {
            me,
            life,
            seed,
            holder,
            was_leader,
            fence_attempt,
            leader,
            pages: ListReader::default(),
            leaving: false,
        }
    }

    /// Returns the fence and the end of the lease while this controller is the leader.
    pub fn term(&self) -> Option<(u64, Nanos)> {
        let until = self.holder.as_ref()?.expires_at();
        self.leader.as_ref().map(|leader| (leader.fence, until))
    }

    /// Returns the leader while this controller is it.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the leader for modification.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader.as_mut()
    }

    /// Returns the state of the lease, for operators.
    pub fn lease_status(&self, now: Nanos) -> &'static str {
        match () {
            () if self.leader.is_some() => "steward",
            () if self.leaving => "leaves",
            () if self.was_leader.is_none() => "reads",
            () if self.may_act(now) => "takes",
            () => "asks",
        }
    }

    /// Returns when [`Leadership::tick`] must be called next.
    pub fn next_wake(&self) -> Nanos {
        let holder = self.holder.as_ref().map_or(Nanos::MAX, LeaseHolder::next_wake);
        holder.min(self.leader.as_ref().map_or(Nanos::MAX, |s| s.pace.next_at()))
    }

    /// Returns the members whose majority grants the lease.
    pub fn members(&self) -> Option<&Members> {
        self.holder.as_ref().map(LeaseHolder::members)
    }

    /// Adopts chosen members.
    pub fn adopt(&mut self, members: &Members) {
        if let Some(holder) = &mut self.holder {
            holder.adopt(members);
        }
    }

    fn may_act(&self, now: Nanos) -> bool {
        self.holder.as_ref().is_some_and(|h| h.is_held(now))
    }

    /// Expires the attempt to write a fence if the lease was lost, even if it is acquired again afterwards.
    fn expire_attempt(&mut self, now: Nanos) {
        if self.fence_attempt == FenceAttempt::InProgress && !self.may_act(now) {
            self.fence_attempt = FenceAttempt::Expired;
        }
    }

    /// Acquires, renews and gives up the lease. `eligible` controllers vote and have a platform; others do
    /// not ask for the lease.
    pub fn tick(
        &mut self,
        now: Nanos,
        members: Option<&Members>,
        eligible: bool,
    ) -> (Vec<(Address, Message)>, Option<RegisterRead>) {
        self.expire_attempt(now);
        // Also applies to a controller that is no longer eligible and asks for nothing.
        if !self.may_act(now)
            && let Some(mut leader) = self.leader.take()
        {
            leader.scaler.end_term(now);
            log::info!("leadership lost");
        }
        let Some(members) = members.filter(|_| eligible && !self.leaving) else { return (Vec::new(), None) };
        let Some(last) = self.was_leader else { return (Vec::new(), Some(RegisterRead::LastLeader)) };
        let (me, life, seed) = (&self.me, self.life, self.seed);
        let holder = self.holder.get_or_insert_with(|| {
            let mut holder = LeaseHolder::new(LEASE_NAME, me, life, members.clone(), seed, now);
            holder.set_previous_holder(last);
            holder
        });
        let out = holder.on_tick(now);
        let read_fence =
            holder.is_held(now) && self.leader.is_none() && self.fence_attempt == FenceAttempt::None;
        if read_fence {
            self.fence_attempt = FenceAttempt::InProgress;
        }
        (out, read_fence.then_some(RegisterRead::Fence))
    }

    /// Handles a voter's reply about the lease.
    pub fn on_lease(&mut self, now: Nanos, from: &str, message: &Message) -> Vec<(Address, Message)> {
        self.expire_attempt(now);
        self.holder.as_mut().map_or_else(Vec::new, |holder| holder.on_message(now, from, message))
    }

    /// Handles the last leader as named by the register when the process started.
    pub fn on_last_leader(&mut self, value: Option<&Value>) {
        self.was_leader = Some(value.is_some_and(|v| *v.content == *self.me));
    }

    /// Handles the current fence.
    pub fn on_fence(&mut self, now: Nanos, outcome: Result<Option<Value>, CallError>) -> LeadershipStep {
        self.expire_attempt(now);
        let attempt = std::mem::replace(&mut self.fence_attempt, FenceAttempt::None);
        let Ok(value) = outcome else { return LeadershipStep::Idle };
        let mine = value.as_ref().is_some_and(|v| *v.content == *self.me);
        if !mine && self.is_previous_holder() {
            // Another controller has led since, so the lease of that controller must be waited for.
            return self.release_lease(now);
        }
        if attempt != FenceAttempt::InProgress {
            return LeadershipStep::Idle;
        }
        self.fence_attempt = FenceAttempt::InProgress;
        LeadershipStep::WriteFence(value.map_or(0, |v| v.version) + 1)
    }

    /// Handles the result of writing the fence.
    pub fn on_fence_written(
        &mut self,
        now: Nanos,
        fence: u64,
        outcome: Result<Outcome, CallError>,
    ) -> LeadershipStep {
        self.expire_attempt(now);
        let attempt = std::mem::replace(&mut self.fence_attempt, FenceAttempt::None);
        match outcome {
            Ok(Outcome::Written(_)) if attempt == FenceAttempt::InProgress && !self.leaving => {
                LeadershipStep::BecomeLeader(fence)
            }
            Ok(Outcome::Written(_)) | Err(_) => LeadershipStep::Idle,
            Ok(_) if self.is_previous_holder() => self.release_lease(now),
            Ok(_) => LeadershipStep::Idle,
        }
    }

    fn is_previous_holder(&self) -> bool {
        self.holder.as_ref().is_some_and(LeaseHolder::is_previous_holder)
    }

    /// Releases a lease that was requested as the last leader by a controller that turned out not to be the
    /// last leader.
    fn release_lease(&mut self, now: Nanos) -> LeadershipStep {
        let Some(holder) = &mut self.holder else { return LeadershipStep::Idle };
        holder.set_previous_holder(false);
        LeadershipStep::ReleaseLease(holder.release(now))
    }

    /// Installs the leader that [`LeadershipStep::BecomeLeader`] requested.
    pub fn install_leader(&mut self, leader: Leader) {
        if let Some(holder) = &mut self.holder {
            holder.set_previous_holder(false);
        }
        log::info!("leadership acquired with fence {}", leader.fence);
        self.pages.clear();
        self.leader = Some(leader);
    }

    /// Releases the lease before the process exits, and requests no other.
    pub fn leave(&mut self, now: Nanos) -> Vec<(Address, Message)> {
        self.leaving = true;
        if let Some(mut leader) = self.leader.take() {
            leader.scaler.end_term(now);
        }
        self.holder.as_mut().map_or_else(Vec::new, |holder| holder.release(now))
    }

    /// Runs the leader's duties. `is_connected` returns whether the agent of a proxy is connected.
    pub fn tick_leader(&mut self, now: Nanos, is_connected: impl Fn(&str) -> bool) -> Option<LeaderOutput> {
        let until = self.holder.as_ref().map_or(0, LeaseHolder::expires_at);
        let leader = self.leader.as_mut()?;
        let view = leader.check_proxies(now, is_connected);
        leader.scaler.tick(now);
        let (mut messages, effects) = leader.take_effects();
        leader.send_min_instances(now, &mut messages);
        let request = leader.pace.next_poll(now);
        let start_or_stop = |effect| match effect {
            Effect::Start { service, worker, nonce } => Some(Call::Start { service, worker, nonce }),
            Effect::Stop { id } => Some(Call::Stop { id }),
            Effect::Updated { .. } | Effect::Removed { .. } => None,
        };
        let mut calls: Vec<_> = effects.into_iter().filter_map(start_or_stop).collect();
        match request {
            Some(Poll::List) => {
                self.pages.clear();
                calls.push(Call::List { token: None });
            }
            Some(Poll::NextPage) => {
                calls.extend(self.pages.next_token().map(|t| Call::List { token: Some(t) }))
            }
            Some(Poll::Workers) => calls.push(Call::Workers),
            None => {}
        }
        let fence = leader.fence;
        let platform_calls = calls
            .into_iter()
            .map(|call| PlatformCall { fence, decided_at: now, deadline: until, call })
            .collect();
        Some(LeaderOutput { view, messages, platform_calls })
    }

    /// Handles the platform's reply to a call that was decided on at `decided_at`.
    pub fn on_platform_reply(&mut self, now: Nanos, fence: u64, decided_at: Nanos, reply: PlatformReply) {
        let Some(leader) = self.leader.as_mut().filter(|s| s.fence == fence) else { return };
        match reply {
            PlatformReply::Listed(None) => {
                leader.pace.throttled(now);
                leader.pace.list_ended();
                self.pages.clear();
            }
            PlatformReply::Listed(Some((entries, next))) => {
                match self.pages.add_page(decided_at, entries, next) {
                    PageResult::More => {}
                    PageResult::Complete(requested_at, entries) => {
                        leader.pace.list_completed(now, entries.len());
                        leader.scaler.endpoints_listed(now, requested_at, entries);
                    }
                    PageResult::TooLong => {
                        log::error!("the platform's list does not end; discarding it");
                        leader.pace.list_ended();
                    }
                }
            }
            PlatformReply::Workers(Some(all)) => leader.scaler.workers_listed(now, decided_at, all),
            PlatformReply::Workers(None) => leader.pace.throttled(now),
            PlatformReply::Started { nonce, answer } => {
                if let Err(fault) = &answer {
                    log::info!("starting instance with nonce {nonce} failed: {fault:?}");
                }
                leader.scaler.start_answered(now, &nonce, answer);
            }
            PlatformReply::Stopped { id, answer } => {
                if let Err(fault) = &answer {
                    log::info!("stopping instance {id} failed: {fault:?}");
                }
                leader.scaler.stop_answered(now, &id, answer);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use millpost_autoscaler::ScalerConfig;

    use super::*;
    use crate::MS;

    const RATE: f64 = 100.0;

    /// Ticks the leadership under a single voter that grants every request immediately.
    fn tick_and_grant(leadership: &mut Leadership, now: Nanos) -> Option<RegisterRead> {
        let members = Members::initial("u", ["a".into()]);
        let (out, read) = leadership.tick(now, Some(&members), true);
        for (from, message) in out {
            if let Message::LeaseRequest { lease, incarnation, request, .. } = message {
                leadership.on_lease(now, &from, &Message::LeaseGranted { lease, incarnation, request });
            }
        }
        read
    }

    fn with_lease(last: Option<&str>) -> Leadership {
        let mut leadership = Leadership::new("a".into(), 1, 1);
        assert_eq!(tick_and_grant(&mut leadership, 0), Some(RegisterRead::LastLeader));
        leadership.on_last_leader(last.map(register_value).as_ref());
        assert_eq!(tick_and_grant(&mut leadership, 0), None);
        assert_eq!(tick_and_grant(&mut leadership, 100 * MS), None);
        assert_eq!(tick_and_grant(&mut leadership, 101 * MS), Some(RegisterRead::Fence));
        leadership
    }

    fn register_value(who: &str) -> Value {
        Value { version: 4, content: who.into() }
    }

    fn with_leader(now: Nanos) -> Leadership {
        let mut leadership = with_lease(None);
        assert_eq!(leadership.on_fence(now, Ok(None)), LeadershipStep::WriteFence(1));
        assert_eq!(
            leadership.on_fence_written(now, 1, Ok(Outcome::Written(register_value("a")))),
            LeadershipStep::BecomeLeader(1)
        );
        leadership.install_leader(Leader::new(now, ScalerConfig::new(1, RATE, 100), RATE, None, None));
        leadership
    }

    #[test]
    fn a_fence_written_under_a_lost_lease_is_ignored() {
        let mut leadership = with_lease(None);
        assert_eq!(
            leadership.on_fence(102 * MS, Ok(Some(register_value("b")))),
            LeadershipStep::WriteFence(5)
        );
        // The lease ends, is released, and is granted again before the register replies.
        for at in [1_700, 1_701, 2_200] {
            assert_eq!(tick_and_grant(&mut leadership, at * MS), None);
        }
        assert!(leadership.may_act(2_201 * MS));
        let written = Ok(Outcome::Written(Value { version: 5, content: "a".into() }));
        assert_eq!(leadership.on_fence_written(2_201 * MS, 5, written), LeadershipStep::Idle);
        assert_eq!(tick_and_grant(&mut leadership, 2_202 * MS), Some(RegisterRead::Fence));
    }

    #[test]
    fn a_fence_read_under_a_lost_lease_is_read_again() {
        let mut leadership = with_lease(None);
        for at in [1_700, 1_701, 2_200] {
            assert_eq!(tick_and_grant(&mut leadership, at * MS), None);
        }
        assert_eq!(leadership.on_fence(2_201 * MS, Ok(Some(register_value("b")))), LeadershipStep::Idle);
        assert_eq!(tick_and_grant(&mut leadership, 2_202 * MS), Some(RegisterRead::Fence));
    }

    #[yare::parameterized(
        still_the_last_leader = { Some("a"), Some("a"), false },
        another_leader_since = { Some("a"), Some("b"), true },
        never_led = { None, Some("b"), false },
    )]
    fn a_wrongly_assumed_last_leader_releases_the_lease(
        last: Option<&str>,
        now: Option<&str>,
        releases: bool,
    ) {
        let mut leadership = with_lease(last);
        let step = leadership.on_fence(102 * MS, Ok(now.map(register_value)));
        assert_eq!(matches!(step, LeadershipStep::ReleaseLease(_)), releases, "{step:?}");
        assert_eq!(leadership.may_act(102 * MS), !releases);
    }

    #[test]
    fn leadership_ends_with_the_lease_even_if_not_eligible() {
        let mut leadership = with_leader(102 * MS);
        let members = Members::initial("u", ["a".into()]);
        assert_eq!(leadership.tick(1_400 * MS, Some(&members), false), (Vec::new(), None));
        assert!(leadership.leader().is_some());
        assert_eq!(leadership.tick(1_501 * MS, Some(&members), false), (Vec::new(), None));
        assert!(leadership.leader().is_none());
    }

    #[test]
    fn a_list_that_missed_its_deadline_is_requested_again() {
        let mut leadership = with_leader(102 * MS);
        let list = |leadership: &mut Leadership, at: Nanos| {
            let calls = leadership
                .tick_leader(at * MS, |_| true)
                .map_or_else(Vec::new, |output| output.platform_calls);
            calls.into_iter().find(|e| matches!(e.call, Call::List { .. }))
        };
        let call = (103..1_000).find_map(|at| list(&mut leadership, at)).expect("a list");
        let (fence, asked, until) = (call.fence, call.decided_at, call.deadline);
        // The call begins only at its deadline, although the lease was renewed meanwhile.
        let unanswered = call.begin(until).expect_err("too late");
        leadership.on_platform_reply(until, fence, asked, unanswered);
        assert!((1_600..2_600).any(|at| list(&mut leadership, at).is_some()));
    }
}
