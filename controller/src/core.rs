//! The sum of the rooms: all of a control machine that decides. Inputs go in with the time at which they came, effects come out and are
//! carried out in their order. Invariant: each call that comes in is answered once.

mod api;
mod carts;
mod drains;
mod figures;
mod follow;
mod leave;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use millpost_autoscaler::{ScalerConfig, Sink};
use millpost_config::{Config, Settings, change};
use millpost_net::messaging::{Call, Reply};
use millpost_net::pack;
use millpost_protocol::PeerMessage;
use millpost_quorum::{Address, Key, Members, Message, Operation, Outcome, Value};
use tinyjson::JsonValue;

use crate::calls::LONGEST_BODY;
use crate::contact::{Contact, GossipReply};
use crate::core::carts::Carts;
use crate::core::drains::Outs;
use crate::core::follow::Waiting;
use crate::core::leave::Leave;
use crate::feed::{BEAT, ConnectionId, Feed};
use crate::gossip::{self, Gossip};
use crate::leader::{Leader, Told};
use crate::leadership::{Done, Leadership, Next, PlatformCall, PlatformReply, Want};
use crate::ledger::Ledger;
use crate::orders::Orders;
use crate::rounds::{self, For, Rounds};
use crate::voters::{Todo, View, Voters};
use crate::{MS, Nanos};

/// The longest that the core waits for time to pass.
const LONGEST_WAIT: Nanos = 100 * MS;
/// The configuration is looked for this often while none is known.
const LEARN: Nanos = 1_500 * MS;
/// One that another wrote here and that nobody has called chosen since is looked for after so long, and so often: who acknowledged it may
/// be gone.
const OVERHEARD: Nanos = 600 * MS;
const LOOKS: u32 = 3;
/// A process is new for so long.
const NEW: Nanos = 5_000 * MS;

/// What the core starts from.
pub struct CoreOptions {
    /// This machine's address, which is its name among the voters.
    pub me: Address,
    /// Differs at each start: the time of day, in milliseconds, when the clock that is handed in was at 0.
    pub life: u64,
    /// Ways in.
    pub seeds: Vec<Address>,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
    /// Who was not heard of for so long is not in touch.
    pub contact_timeout: Nanos,
    /// A configuration is in force everywhere so long after its acknowledgement.
    pub config_apply_time: Nanos,
    /// From the word to end to the last moment of the process.
    pub shutdown_grace: Nanos,
    /// The platform's `duty_per_s`, `max_lag_ms` and `rate_per_s`, where there is one.
    pub platform: Option<PlatformLimits>,
    /// Where each scaler's lines go, if they are wanted.
    pub sink: Option<Box<dyn Fn() -> Sink>>,
}

/// What the platform bears.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs, reason = "the names are those of the settings file")]
pub struct PlatformLimits {
    pub duty_per_s: f64,
    pub max_lag_ms: u64,
    pub rate_per_s: f64,
}

impl CoreOptions {
    /// Of the machine at this address, from its settings.
    pub fn from_settings(settings: &Settings, address: SocketAddr, life: u64) -> CoreOptions {
        let platform = settings.platform_api.as_ref().map(|api| PlatformLimits {
            duty_per_s: api.duty_per_s,
            max_lag_ms: api.max_lag_ms,
            rate_per_s: api.rate_per_s,
        });
        CoreOptions {
            me: address.to_compact_string(),
            life,
            seeds: seeds(settings),
            tolerated_losses: settings.tolerance.machine_losses,
            contact_timeout: settings.bounds.contact_ms * MS,
            config_apply_time: settings.bounds.config_apply_ms * MS,
            shutdown_grace: (settings.bounds.grace_s * 1e9) as Nanos,
            platform,
            sink: None,
        }
    }
}

/// The seeds as voters are named.
pub fn seeds(settings: &Settings) -> Vec<Address> {
    settings.seed_nodes.iter().map(ToCompactString::to_compact_string).collect()
}

/// Whom a voter's answer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyTarget {
    /// A round; it comes as [`Input::RoundReply`].
    Round(u64),
    /// The lease; it comes as [`Input::LeaseReply`].
    Lease,
    /// This machine's own voter, and it goes there.
    Voter,
}

/// What happens to a control machine.
#[derive(Debug)]
pub enum Input {
    /// A call, with a number that no other has.
    Call(u64, Call),
    /// Its own voter's state, and the members that it knows.
    VoterStatus(bool, Option<Members>),
    /// Its own voter copies: this is for others, and their answers are for the voter.
    VoterRequests(Vec<(Address, Message)>),
    /// A voter's answer to the round of this number.
    RoundReply(u64, Address, Message),
    /// A voter's answer about the lease.
    LeaseReply(Address, Message),
    /// What stands on the own disk, chosen or not: the answer to [`Effect::ReadLocalConfig`].
    LocalConfig(u64, Option<Value>),
    /// The answer to [`Effect::FetchConfig`]: the configuration as the other machine keeps it.
    FetchedConfig(u64, Option<String>),
    /// The platform's answer to an errand of this fence that was decided on at this time.
    PlatformReply(u64, Nanos, PlatformReply),
    /// Another control machine has answered to news.
    GossipReply(Address, GossipReply),
    /// A follower's connection has ended, or had no room.
    FeedClosed(ConnectionId),
    /// The seeds have changed.
    Seeds(Vec<Address>),
    /// The process is to end.
    Shutdown,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// A message goes to a voter, perhaps this machine's own.
    SendToVoter(Address, Message, ReplyTarget),
    /// A message goes to this machine's voter, and what that says is the answer of the call of this number.
    AskLocalVoter(u64, Address, Message),
    /// The answer of the call of this number.
    Reply(u64, Reply),
    /// The call of this number is answered by lines for as long as its seat is kept; this is the first.
    OpenFeed(u64, ConnectionId, Bytes),
    /// A line.
    FeedLine(ConnectionId, Bytes),
    /// The seat is no more.
    CloseFeed(ConnectionId),
    /// An empty line for all seats; who has no room for it needs none.
    Heartbeat,
    /// News for another control machine; its answer comes as [`Input::GossipReply`].
    Gossip(Address, Bytes),
    /// What stands on the own disk under the configuration's key is wanted.
    ReadLocalConfig(u64),
    /// What this machine holds as chosen is wanted.
    FetchConfig(u64, Address),
    /// The platform is called, unless it is too late.
    PlatformCall(PlatformCall),
}

/// All of a control machine that decides.
pub struct Core {
    me: Address,
    seeds: Vec<Address>,
    losses: u32,
    platform: Option<PlatformLimits>,
    sink: Option<Box<dyn Fn() -> Sink>>,
    voting: bool,
    /// A read of the configuration has ended well in this life, whatever it found.
    learned: bool,
    contact: Contact,
    /// Whether followers were told last that contact holds.
    told_contact: bool,
    rounds: Rounds,
    leadership: Leadership,
    gossip: Gossip,
    voters: Voters,
    feed: Feed,
    /// Porters that wait until contact holds.
    waiting: Waiting,
    carts: Carts,
    /// What operators have taken out.
    outs: Outs,
    /// What the platform has told this leader.
    ledger: Ledger,
    /// Orders of operators whose rounds are under way.
    orders: Orders,
    /// A configuration newer than the one that is known to be chosen, which another wrote here; when it is looked for, and how often it was.
    overheard: Option<(u64, Nanos, u32)>,
    beat_at: Nanos,
    learn_at: Nanos,
    grace: Nanos,
    /// Once it was told to end.
    leave: Option<Leave>,
    /// Configurations that operators put here lately, as they were read; the newest last.
    read: Vec<(Arc<str>, Config)>,
    effects: Vec<Effect>,
}

impl Core {
    /// Of a machine that starts.
    pub fn new(start: CoreOptions) -> Self {
        let CoreOptions {
            me,
            life,
            seeds,
            tolerated_losses: losses,
            contact_timeout: contact,
            config_apply_time: apply,
            shutdown_grace: grace,
            platform,
            sink,
        } = start;
        let seed = life ^ xxhash_rust::xxh3::xxh3_64(me.as_bytes());
        Core {
            seeds,
            losses,
            platform,
            sink,
            voting: false,
            learned: false,
            contact: Contact::new(me.clone(), apply / 2),
            told_contact: false,
            rounds: Rounds::new(&me, life, seed),
            leadership: Leadership::new(me.clone(), life, seed),
            gossip: Gossip::new(me.clone()),
            voters: Voters::default(),
            feed: Feed::default(),
            waiting: Waiting::default(),
            carts: Carts::new(life, contact, platform.map_or(0.0, |bounds| bounds.duty_per_s)),
            outs: Outs::default(),
            ledger: Ledger::default(),
            orders: Orders::default(),
            overheard: None,
            beat_at: 0,
            learn_at: 0,
            grace,
            leave: None,
            read: Vec::new(),
            effects: Vec::new(),
            me,
        }
    }

    /// What is to be done, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When to call [`Core::tick`] next, at the latest.
    pub fn next_wake(&self, now: Nanos) -> Nanos {
        let due = self.rounds.next_wake().min(self.leadership.next_wake()).min(now + LONGEST_WAIT);
        let leave = self.leave.map_or(Nanos::MAX, |leave| leave.due(now));
        due.min(self.gossip.due()).min(self.waiting.due()).min(leave).max(now + MS)
    }

    /// Whether this machine is the leader.
    pub fn is_leader(&self) -> bool {
        self.leadership.leader().is_some()
    }

    /// Rounds of the register that are under way.
    pub fn rounds_in_progress(&self) -> usize {
        self.rounds.under_way()
    }

    /// Something happened.
    pub fn handle(&mut self, now: Nanos, input: Input) {
        match input {
            Input::Call(id, call) => self.call(now, id, &call),
            Input::VoterStatus(voting, members) => {
                if voting != self.voting {
                    log::info!("{}", if voting { "votes" } else { "has no state yet" });
                }
                self.voting = voting;
                if let Some(members) = members {
                    self.adopt(&members);
                }
            }
            Input::VoterRequests(out) => self.vote(out, ReplyTarget::Voter),
            Input::RoundReply(id, from, message) => {
                let out = self.rounds.on_answer(now, id, &from, &message);
                self.rounds(now, out);
            }
            Input::LeaseReply(from, message) => {
                let out = self.leadership.on_lease(now, &from, &message);
                if let Some(members) = self.leadership.members() {
                    self.rounds.adopt(members);
                }
                self.vote(out, ReplyTarget::Lease);
            }
            Input::LocalConfig(number, value) => {
                let next = self.gossip.peeked(number, value);
                self.bring(now, next);
            }
            Input::FetchedConfig(number, text) => {
                self.gossip.fetched(number);
                let read = |text: &str| Config::parse(&api::plain(text)?).ok();
                if let Some(text) = text
                    && let Some(config) = read(&text)
                {
                    self.choose(now, config.revision, Arc::from(text), config);
                }
            }
            Input::PlatformReply(fence, asked, heard) => {
                if self.leadership.term().is_some_and(|(of, _)| of == fence) {
                    self.ledger.heard(now, &heard);
                }
                let heard = self.with_outs(now, heard);
                self.leadership.on_heard(now, fence, asked, heard);
            }
            Input::GossipReply(peer, mut answered) => {
                if let Some(members) = answered.members.take() {
                    self.adopt(&members);
                }
                self.contact.reached(peer, answered);
                self.look_at_contact(now);
            }
            Input::FeedClosed(seat) => self.feed.left(seat),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Shutdown => self.leave(now),
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Nanos) {
        let out = self.rounds.tick(now);
        self.rounds(now, out);
        self.look_at_contact(now);
        self.lease(now);
        self.take_out(now);
        self.duties(now);
        self.moves(now);
        self.hand_over(now);
        if now >= self.gossip.due() {
            self.news(now);
        }
        if now >= self.beat_at {
            self.beat_at = now + BEAT;
            self.effects.push(Effect::Heartbeat);
            let lines = self.feed.late(now);
            self.lines(lines);
        }
        self.learn(now);
        if let Some((version, due, looks)) = self.overheard.filter(|(_, due, _)| now >= *due) {
            self.overheard = None;
            if version > self.gossip.revision() && looks < LOOKS {
                self.overheard = Some((version, due + LEARN, looks + 1));
                self.round(now, Operation::Read, Key::Config, For::Learn);
            }
        }
    }

    /// Another writes a value here. Whether it is chosen, its writer tells, if that lives.
    fn overhear(&mut self, now: Nanos, message: &Message) {
        let Message::Write { key: Key::Config, value, .. } = message else { return };
        let known = self.overheard.map_or(0, |(version, ..)| version).max(self.gossip.revision());
        if value.version > known {
            self.overheard = Some((value.version, now + OVERHEARD, 0));
        }
    }

    fn vote(&mut self, out: Vec<(Address, Message)>, back: ReplyTarget) {
        self.effects.extend(out.into_iter().map(|(to, message)| Effect::SendToVoter(to, message, back)));
    }

    fn lines(&mut self, lines: impl IntoIterator<Item = (ConnectionId, Bytes)>) {
        self.effects.extend(lines.into_iter().map(|(seat, line)| Effect::FeedLine(seat, line)));
    }

    fn adopt(&mut self, members: &Members) {
        self.rounds.adopt(members);
        self.leadership.adopt(members);
    }

    fn round(&mut self, now: Nanos, kind: Operation, key: Key, to: For) {
        let out = self.rounds.round(now, kind, key, to);
        self.rounds(now, out);
    }

    /// What the rounds want done.
    fn rounds(&mut self, now: Nanos, out: rounds::Out) {
        if let Some(members) = self.rounds.members() {
            self.leadership.adopt(members);
        }
        let vote = |(id, to, message)| Effect::SendToVoter(to, message, ReplyTarget::Round(id));
        self.effects.extend(out.send.into_iter().map(vote));
        for ended in out.ended {
            self.ended(now, ended);
        }
    }

    fn ended(&mut self, now: Nanos, rounds::Ended { to, outcome }: rounds::Ended) {
        let value = |outcome| match outcome {
            Outcome::Written(value) => Some(value),
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Indeterminate(_) => None,
        };
        match to {
            For::Replace(id) => {
                let outcome = outcome.map(value);
                if let Ok(Some(value)) = &outcome {
                    self.install(now, value);
                }
                let stands = outcome.as_ref().map(Option::as_ref).map_err(Clone::clone);
                let word = self.orders.end(id, stands);
                self.answer(id, word.map(|confirmed| api::revision(confirmed.revision)));
            }
            For::Read(id) => {
                let outcome = outcome.map(value);
                let reply = match &outcome {
                    Ok(value) => api::content(value.as_ref()),
                    Err(kind) => Err(kind.clone()),
                };
                self.answer(id, reply);
                if let Ok(Some(value)) = &outcome {
                    self.install(now, value);
                }
            }
            For::Learn => {
                self.learned |= outcome.is_ok();
                if let Some(value) = outcome.ok().and_then(value) {
                    self.install(now, &value);
                }
            }
            For::Confirm(read) => {
                if outcome.is_ok() {
                    let epoch = self.rounds.members().map_or(0, |members| members.epoch);
                    self.contact.confirmed(now, read, epoch);
                    self.look_at_contact(now);
                }
            }
            For::Last => {
                if let Ok(outcome) = outcome {
                    self.leadership.on_last(value(outcome).as_ref());
                }
            }
            For::Fence => {
                let next = self.leadership.on_fence(now, outcome.map(value));
                self.enter(now, next);
            }
            For::Leadership(fence) => {
                let next = self.leadership.on_fence_written(now, fence, outcome);
                self.enter(now, next);
            }
            For::Voters => {}
            For::HandOver(key) => self.handed_over(now, key, outcome.is_ok()),
            For::Moves(ask) => self.recorded(now, ask, outcome),
            For::Load(number) => self.loaded(now, number, outcome.ok().and_then(value)),
        }
    }

    fn enter(&mut self, now: Nanos, next: Next) {
        match next {
            Next::Rest => {}
            Next::StandBack(out) => self.vote(out, ReplyTarget::Lease),
            Next::Offer(fence) => {
                let content = Arc::from(self.me.as_str());
                let kind = Operation::Propose { version: fence, content, expected_version: Some(fence - 1) };
                self.round(now, kind, Key::Leader, For::Leadership(fence));
            }
            Next::Take(fence) => {
                let Some(bounds) = self.platform else { return };
                let terms = ScalerConfig::new(fence, bounds.duty_per_s, bounds.max_lag_ms);
                let sink = self.sink.as_ref().map(|sink| sink());
                let mut leader = Leader::new(now, terms, bounds.rate_per_s, self.feed.config(), sink);
                leader.control_is_new = self.contact.age(now) < NEW;
                self.leadership.seat(leader);
                self.ledger = Ledger::default();
                self.know(fence, &self.me.clone());
                self.news(now);
            }
        }
    }

    /// Whether what is known here may be handed out as what stands: contact holds, the configuration was learnt in this life, and none of
    /// the others knows a newer one.
    fn in_contact(&self, now: Nanos) -> bool {
        let learned = self.learned || self.gossip.chosen().is_some();
        self.contact.holds() && learned && self.gossip.revision() >= self.contact.newest(now)
    }

    /// Looks for the configuration while none is known.
    fn learn(&mut self, now: Nanos) {
        if self.gossip.chosen().is_none() && self.rounds.members().is_some() && now >= self.learn_at {
            self.learn_at = now + LEARN;
            self.round(now, Operation::Read, Key::Config, For::Learn);
        }
    }

    /// Whether a majority is reached, and who may follow by that.
    fn look_at_contact(&mut self, now: Nanos) {
        if let Some(read) = self.contact.look(now, self.rounds.members(), self.voting) {
            // A small value: the configuration may be long, and each voter would send the whole of it.
            self.round(now, Operation::Read, Key::Leader, For::Confirm(read));
        }
        self.learn(now);
        self.tell_contact();
        self.admit(now);
    }

    /// Followers hear whether a majority is reached, where that has changed: who feeds nothing new is not to be waited for.
    fn tell_contact(&mut self) {
        let holds = self.contact.holds();
        let certain = holds || !self.contact.reaches();
        if certain && holds != self.told_contact {
            self.told_contact = holds;
            let lines = self.feed.tell(&[PeerMessage::Contact { holds }]);
            self.lines(lines);
        }
    }

    /// Who is the leader, if that is news.
    fn know(&mut self, fence: u64, address: &str) {
        if self.gossip.know(fence, address) {
            let lines = self.feed.tell(&[PeerMessage::Leader { address: address.into(), fence }]);
            self.lines(lines);
        }
    }

    /// The next step towards a newer configuration.
    fn bring(&mut self, now: Nanos, next: Option<gossip::Next>) {
        match next {
            Some(gossip::Next::Peek(number)) => self.effects.push(Effect::ReadLocalConfig(number)),
            Some(gossip::Next::Here(value, step)) => {
                let stepped = self.step(now, &value, step);
                if !stepped {
                    self.install(now, &value);
                }
            }
            Some(gossip::Next::Fetch(number, from)) => self.effects.push(Effect::FetchConfig(number, from)),
            None => {}
        }
    }

    /// A chosen configuration by how it differs from the one that stands here, if that is the one meant: reading a long one whole takes
    /// ten times as long. Whether that was so.
    fn step(&mut self, now: Nanos, value: &Value, step: Option<gossip::Step>) -> bool {
        let Some(step) = step.filter(|s| self.gossip.mark() == Some(&s.from)) else { return false };
        let read = || {
            let text = pack::unpack(&step.packed, LONGEST_BODY)?;
            let config = change::apply(self.feed.config()?, &text.parse().ok()?).ok()?;
            (config.revision == value.version).then_some(config)
        };
        let Some(config) = read() else { return false };
        self.choose(now, value.version, value.content.clone(), config);
        true
    }

    /// A configuration that is chosen.
    fn install(&mut self, now: Nanos, value: &Value) {
        if self.gossip.revision() >= value.version && self.gossip.chosen().is_some() {
            return;
        }
        // What an operator put here was read when it came.
        if let Some(at) = self.read.iter().position(|(content, _)| *content == value.content) {
            let (content, config) = self.read.swap_remove(at);
            return self.choose(now, value.version, content, config);
        }
        match api::plain(&value.content).map(|text| Config::parse(&text)) {
            Some(Ok(config)) => self.choose(now, value.version, value.content.clone(), config),
            Some(Err(e)) => log::error!("the configuration that stands can't be read: {e}"),
            None => log::error!("the configuration that stands can't be unpacked"),
        }
    }

    fn choose(&mut self, now: Nanos, revision: u64, content: Arc<str>, config: Config) {
        if self.gossip.revision() >= revision && self.gossip.chosen().is_some() {
            return;
        }
        let packed = (!content.starts_with('{')).then(|| content.to_string());
        self.read.retain(|(_, read)| read.revision > revision);
        if let Some(leader) = self.leadership.leader_mut() {
            leader.configure(now, &config);
        }
        let lines = self.feed.configure(now, config, packed);
        self.lines(lines);
        let change = self.feed.change().and_then(pack::pack);
        self.gossip.choose(revision, content, change);
        self.news(now);
        self.chosen_for_moves(now);
    }

    /// Tells the other control machines what is known here.
    fn news(&mut self, now: Nanos) {
        let standing = gossip::Standing { voting: self.voting, leaving: self.leave.is_some() };
        let (to, news) = self.gossip.tell(now, &self.seeds, self.rounds.members(), standing);
        let mut news = news.to_json();
        let outs = self.outs.drains().news(now);
        if let (JsonValue::Object(parts), JsonValue::Object(_)) = (&mut news, &outs) {
            parts.insert("drains".to_owned(), outs);
        }
        let body = Bytes::from(news.stringify().unwrap_or_default());
        self.effects.extend(to.into_iter().map(|to| Effect::Gossip(to, body.clone())));
    }

    fn lease(&mut self, now: Nanos) {
        // Without a platform there is nothing to start or to poll, and nobody is the leader.
        let stands = self.voting && self.platform.is_some();
        let (out, want) = self.leadership.tick(now, self.rounds.members(), stands);
        self.vote(out, ReplyTarget::Lease);
        match want {
            Some(Want::Last) if !self.rounds.at_work_for(For::Last) => {
                self.round(now, Operation::Read, Key::Leader, For::Last);
            }
            Some(Want::Fence) => self.round(now, Operation::Read, Key::Leader, For::Fence),
            Some(Want::Last) | None => {}
        }
    }

    /// What the leader does.
    fn duties(&mut self, now: Nanos) {
        let feed = &self.feed;
        let Some(Done { named, told, errands }) = self.leadership.duties(now, |name| feed.has(name)) else {
            return;
        };
        let tell = |told: Told, feed: &mut Feed| -> Vec<_> {
            told.iter().filter_map(|(name, notes)| feed.tell_one(name, notes)).collect()
        };
        if let Some((stalls, each)) = named {
            // One line for all, and each its own instances behind it.
            let lines = self.feed.tell(&[stalls]);
            self.lines(lines);
            let lines = tell(each, &mut self.feed);
            self.lines(lines);
        }
        let lines = tell(told, &mut self.feed);
        self.lines(lines);
        self.effects.extend(errands.into_iter().map(Effect::PlatformCall));
        self.look_after_voters(now);
    }

    fn look_after_voters(&mut self, now: Nanos) {
        if self.rounds.at_work_for(For::Voters) {
            return;
        }
        let Some(members) = self.rounds.members() else { return };
        let (me, others, losses) = (self.me.as_str(), self.gossip.others(), self.losses);
        let todo = self.voters.look(now, View { me, members, others, losses });
        let out = match todo {
            Some(Todo::End) => self.rounds.change(now, None),
            Some(Todo::Make(change)) => self.rounds.change(now, Some(change)),
            None => return,
        };
        self.rounds(now, out);
    }

    fn known(&self) -> (u64, CompactString) {
        self.gossip.known().clone()
    }
}
