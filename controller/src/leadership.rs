//! The leadership of one machine: the lease, taking over, standing back, and what is asked of the platform. Invariants: there is a leader
//! only while the lease is held; it took over under the lease that it asked for its fence with; every call to the platform names
//! the time by which it must have begun, and whoever keeps it back says so.

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
#[allow(missing_docs, reason = "the fields are the platform's own words")]
pub enum Call {
    /// A page of the list; without a token the first.
    List { token: Option<CompactString> },
    /// The workers.
    Workers,
    /// Start an instance.
    Start { service: CompactString, worker: CompactString, nonce: CompactString },
    /// Stop one.
    Stop { id: CompactString },
}

/// A page of the list, and the token of the next one.
pub type Page = (Vec<Endpoint>, Option<CompactString>);

/// What the platform answered; none, or unclear, where it did not.
#[derive(Debug)]
#[allow(missing_docs, reason = "the fields are the platform's own words")]
pub enum PlatformReply {
    Listed(Option<Page>),
    Workers(Option<Vec<Worker>>),
    Started { nonce: CompactString, answer: Result<(CompactString, SocketAddr), StartFault> },
    Stopped { id: CompactString, answer: Result<(), StopFault> },
}

impl Call {
    /// What is known of it where there is no answer.
    pub fn unanswered(self) -> PlatformReply {
        match self {
            Call::List { .. } => PlatformReply::Listed(None),
            Call::Workers => PlatformReply::Workers(None),
            Call::Start { nonce, .. } => PlatformReply::Started { nonce, answer: Err(StartFault::Unclear) },
            Call::Stop { id } => PlatformReply::Stopped { id, answer: Err(StopFault::Unclear) },
        }
    }
}

/// A call to the platform, under a fence. It does not begin at `until` or later; then its answer is [`Call::unanswered`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    /// The leader's fence.
    pub fence: u64,
    /// When it was decided on.
    pub decided_at: Nanos,
    /// The end of the lease.
    pub deadline: Nanos,
    /// What is called.
    pub call: Call,
}

impl PlatformCall {
    /// The call, where it may still begin; else what is known of it without an answer.
    pub fn begin(self, now: Nanos) -> Result<Call, PlatformReply> {
        if now < self.deadline { Ok(self.call) } else { Err(self.call.unanswered()) }
    }
}

/// What the register has to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterRead {
    /// Who was the last leader.
    LastLeader,
    /// Which fence stands; answered by [`Leadership::on_fence`] in any case.
    Fence,
}

/// What comes of an answer of the register.
#[derive(Debug, PartialEq)]
pub enum LeadershipStep {
    /// Nothing.
    Idle,
    /// These messages go to the voters: the lease is given back.
    ReleaseLease(Vec<(Address, Message)>),
    /// This fence is to be written over the one below it; answered by [`Leadership::on_fence_written`] in any case.
    WriteFence(u64),
    /// The leader of this fence is to be seated, at once.
    BecomeLeader(u64),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FenceAttempt {
    None,
    InProgress,
    /// The lease was lost on the way: what comes of it is of the past.
    Expired,
}

/// What a leader has done with a moment.
pub struct LeaderOutput {
    /// Who is named, for all, and what each is told with it; this goes first.
    pub view: Option<(PeerMessage, ProxyMessages)>,
    /// What some are told of instances.
    pub messages: ProxyMessages,
    /// What is asked of the platform.
    pub platform_calls: Vec<PlatformCall>,
}

/// Whether this machine leads, and what it does as the leader.
pub struct Leadership {
    me: Address,
    life: u64,
    seed: u64,
    holder: Option<LeaseHolder>,
    /// Whether the register named this machine as the leader when its process started; none until that is known.
    was_leader: Option<bool>,
    fence_attempt: FenceAttempt,
    leader: Option<Leader>,
    pages: ListReader,
    leaving: bool,
}

impl Leadership {
    /// Of this machine; `life` differs at each start.
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

    /// The fence and the end of the lease, while this machine is the leader.
    pub fn term(&self) -> Option<(u64, Nanos)> {
        let until = self.holder.as_ref()?.expires_at();
        self.leader.as_ref().map(|leader| (leader.fence, until))
    }

    /// The leader, while this machine is that.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The same, to be told something.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader.as_mut()
    }

    /// How far it has come, for people.
    pub fn lease_status(&self, now: Nanos) -> &'static str {
        match () {
            () if self.leader.is_some() => "steward",
            () if self.leaving => "leaves",
            () if self.was_leader.is_none() => "reads",
            () if self.may_act(now) => "takes",
            () => "asks",
        }
    }

    /// When to call [`Leadership::tick`] next.
    pub fn next_wake(&self) -> Nanos {
        let holder = self.holder.as_ref().map_or(Nanos::MAX, LeaseHolder::next_wake);
        holder.min(self.leader.as_ref().map_or(Nanos::MAX, |s| s.pace.next_at()))
    }

    /// The members that the lease is counted by.
    pub fn members(&self) -> Option<&Members> {
        self.holder.as_ref().map(LeaseHolder::members)
    }

    /// These are chosen.
    pub fn adopt(&mut self, members: &Members) {
        if let Some(holder) = &mut self.holder {
            holder.adopt(members);
        }
    }

    fn may_act(&self, now: Nanos) -> bool {
        self.holder.as_ref().is_some_and(|h| h.is_held(now))
    }

    /// A fence that was asked for under a lease is of no use once that has ended, even if it is held again.
    fn expire_attempt(&mut self, now: Nanos) {
        if self.fence_attempt == FenceAttempt::InProgress && !self.may_act(now) {
            self.fence_attempt = FenceAttempt::Expired;
        }
    }

    /// Time passes: the lease is asked for, kept, and lost. A machine `stands` that votes and has a platform; another asks for nothing.
    pub fn tick(
        &mut self,
        now: Nanos,
        members: Option<&Members>,
        eligible: bool,
    ) -> (Vec<(Address, Message)>, Option<RegisterRead>) {
        self.expire_attempt(now);
        // Also where it stands no more, and asks for nothing.
        if !self.may_act(now)
            && let Some(mut leader) = self.leader.take()
        {
            leader.scaler.end_term(now);
            log::info!("steward no more");
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

    /// A voter's word on the lease.
    pub fn on_lease(&mut self, now: Nanos, from: &str, message: &Message) -> Vec<(Address, Message)> {
        self.expire_attempt(now);
        self.holder.as_mut().map_or_else(Vec::new, |holder| holder.on_message(now, from, message))
    }

    /// Who the register names as the last leader, as the process starts.
    pub fn on_last_leader(&mut self, value: Option<&Value>) {
        self.was_leader = Some(value.is_some_and(|v| *v.content == *self.me));
    }

    /// Which fence stands.
    pub fn on_fence(&mut self, now: Nanos, outcome: Result<Option<Value>, CallError>) -> LeadershipStep {
        self.expire_attempt(now);
        let attempt = std::mem::replace(&mut self.fence_attempt, FenceAttempt::None);
        let Ok(value) = outcome else { return LeadershipStep::Idle };
        let mine = value.as_ref().is_some_and(|v| *v.content == *self.me);
        if !mine && self.is_previous_holder() {
            // Somebody has taken over since: that lease is waited for like any other's.
            return self.release_lease(now);
        }
        if attempt != FenceAttempt::InProgress {
            return LeadershipStep::Idle;
        }
        self.fence_attempt = FenceAttempt::InProgress;
        LeadershipStep::WriteFence(value.map_or(0, |v| v.version) + 1)
    }

    /// How writing this fence ended.
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

    /// Gives back a lease that was asked for as the last leader, who it turned out not to be.
    fn release_lease(&mut self, now: Nanos) -> LeadershipStep {
        let Some(holder) = &mut self.holder else { return LeadershipStep::Idle };
        holder.set_previous_holder(false);
        LeadershipStep::ReleaseLease(holder.release(now))
    }

    /// The leader that was asked for with [`LeadershipStep::BecomeLeader`].
    pub fn install_leader(&mut self, leader: Leader) {
        if let Some(holder) = &mut self.holder {
            holder.set_previous_holder(false);
        }
        log::info!("steward, fence {}", leader.fence);
        self.pages.clear();
        self.leader = Some(leader);
    }

    /// The process is about to end: the lease is given back, and no other asked for.
    pub fn leave(&mut self, now: Nanos) -> Vec<(Address, Message)> {
        self.leaving = true;
        if let Some(mut leader) = self.leader.take() {
            leader.scaler.end_term(now);
        }
        self.holder.as_mut().map_or_else(Vec::new, |holder| holder.release(now))
    }

    /// What the leader does. `has` says whose porter is connected.
    pub fn tick_leader(&mut self, now: Nanos, has: impl Fn(&str) -> bool) -> Option<LeaderOutput> {
        let until = self.holder.as_ref().map_or(0, LeaseHolder::expires_at);
        let leader = self.leader.as_mut()?;
        let view = leader.check_proxies(now, has);
        leader.scaler.tick(now);
        let (mut messages, effects) = leader.take_effects();
        leader.send_min_instances(now, &mut messages);
        let ask = leader.pace.next_poll(now);
        let start_or_stop = |effect| match effect {
            Effect::Start { service, worker, nonce } => Some(Call::Start { service, worker, nonce }),
            Effect::Stop { id } => Some(Call::Stop { id }),
            Effect::Updated { .. } | Effect::Removed { .. } => None,
        };
        let mut calls: Vec<_> = effects.into_iter().filter_map(start_or_stop).collect();
        match ask {
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

    /// The platform's answer to a call that was decided on at `asked`.
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
                        log::error!("the list has no end");
                        leader.pace.list_ended();
                    }
                }
            }
            PlatformReply::Workers(Some(all)) => leader.scaler.workers_listed(now, decided_at, all),
            PlatformReply::Workers(None) => leader.pace.throttled(now),
            PlatformReply::Started { nonce, answer } => {
                if let Err(fault) = &answer {
                    log::info!("start {nonce}: {fault:?}");
                }
                leader.scaler.start_answered(now, &nonce, answer);
            }
            PlatformReply::Stopped { id, answer } => {
                if let Err(fault) = &answer {
                    log::info!("stop of {id}: {fault:?}");
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

    const BOUNDS: f64 = 100.0;

    /// Leadership under one voter, which grants what is asked at this time.
    fn tick_and_grant(leadership: &mut Leadership, now: Nanos) -> Option<RegisterRead> {
        let members = Members::initial("u", ["a".into()]);
        let (out, want) = leadership.tick(now, Some(&members), true);
        for (from, message) in out {
            if let Message::LeaseRequest { lease, incarnation, request, .. } = message {
                leadership.on_lease(now, &from, &Message::LeaseGranted { lease, incarnation, request });
            }
        }
        want
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
        leadership.install_leader(Leader::new(now, ScalerConfig::new(1, BOUNDS, 100), BOUNDS, None, None));
        leadership
    }

    #[test]
    fn a_fence_of_a_lease_that_was_lost_on_the_way_is_of_no_use() {
        let mut leadership = with_lease(None);
        assert_eq!(
            leadership.on_fence(102 * MS, Ok(Some(register_value("b")))),
            LeadershipStep::WriteFence(5)
        );
        // Its lease ends; it is given back, asked for again and granted, before the register answers.
        for at in [1_700, 1_701, 2_200] {
            assert_eq!(tick_and_grant(&mut leadership, at * MS), None);
        }
        assert!(leadership.may_act(2_201 * MS));
        let written = Ok(Outcome::Written(Value { version: 5, content: "a".into() }));
        assert_eq!(leadership.on_fence_written(2_201 * MS, 5, written), LeadershipStep::Idle);
        assert_eq!(tick_and_grant(&mut leadership, 2_202 * MS), Some(RegisterRead::Fence));
    }

    #[test]
    fn a_fence_that_was_read_under_a_lease_that_was_lost_is_read_again() {
        let mut leadership = with_lease(None);
        for at in [1_700, 1_701, 2_200] {
            assert_eq!(tick_and_grant(&mut leadership, at * MS), None);
        }
        assert_eq!(leadership.on_fence(2_201 * MS, Ok(Some(register_value("b")))), LeadershipStep::Idle);
        assert_eq!(tick_and_grant(&mut leadership, 2_202 * MS), Some(RegisterRead::Fence));
    }

    #[yare::parameterized(
        still_the_last = { Some("a"), Some("a"), false },
        another_since = { Some("a"), Some("b"), true },
        never_was = { None, Some("b"), false },
    )]
    fn who_asked_as_the_last_leader_and_is_not_stands_back(
        last: Option<&str>,
        now: Option<&str>,
        back: bool,
    ) {
        let mut leadership = with_lease(last);
        let next = leadership.on_fence(102 * MS, Ok(now.map(register_value)));
        assert_eq!(matches!(next, LeadershipStep::ReleaseLease(_)), back, "{next:?}");
        assert_eq!(leadership.may_act(102 * MS), !back);
    }

    #[test]
    fn an_office_ends_with_its_lease_also_where_nothing_more_is_asked_for() {
        let mut leadership = with_leader(102 * MS);
        let members = Members::initial("u", ["a".into()]);
        assert_eq!(leadership.tick(1_400 * MS, Some(&members), false), (Vec::new(), None));
        assert!(leadership.leader().is_some());
        assert_eq!(leadership.tick(1_501 * MS, Some(&members), false), (Vec::new(), None));
        assert!(leadership.leader().is_none());
    }

    #[test]
    fn a_list_that_was_kept_back_is_asked_for_again() {
        let mut leadership = with_leader(102 * MS);
        let list = |leadership: &mut Leadership, at: Nanos| {
            let calls = leadership
                .tick_leader(at * MS, |_| true)
                .map_or_else(Vec::new, |output| output.platform_calls);
            calls.into_iter().find(|e| matches!(e.call, Call::List { .. }))
        };
        let call = (103..1_000).find_map(|at| list(&mut leadership, at)).expect("a list");
        let (fence, asked, until) = (call.fence, call.decided_at, call.deadline);
        // Its turn comes too late, while the lease was renewed.
        let kept_back = call.begin(until).expect_err("too late");
        leadership.on_platform_reply(until, fence, asked, kept_back);
        assert!((1_600..2_600).any(|at| list(&mut leadership, at).is_some()));
    }
}
