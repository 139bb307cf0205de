//! The loop round the decision module: the only owner of `Control` and of what is known of each message.
//!
//! Everything that happens comes in as an [`Input`]. The module is told at once; what it wants is asked for
//! once a tick, and carried out here. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use millpost::Control;
use millpost::api::{
    Action, Effect, EndpointId, Entry, Event, Nanos, Outcome, Report, Settings, State, Weights,
};
use millpost_settings::Shape;
use millpost_store::ledger::{Answer, Final, Found, History, Listed, Taken};
use millpost_store::{Disk, Error as StoreError, Folder, Ledger, Seq, Synced};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::batch;
use crate::calls::{Calls, End, Ended, request, request_of_several};
use crate::discovery::{self, List, Status};
use crate::intake::{Handed, Verdict};
use crate::link::Link;
use crate::meter::{Part, within};
use crate::notices::Notice;
use crate::peers::Peers;

/// Something that happened.
pub enum Input {
    /// A client hands a message in.
    Handed(Handed, oneshot::Sender<Verdict>),
    /// The connection for a call is there, or did not come up.
    Connected { call: u64, link: Option<Link> },
    /// The connection of a call was gone before its last byte was written.
    Unsent { call: u64 },
    /// A call is over.
    Ended { call: u64, ended: Ended },
    /// A probe is over.
    Probed { endpoint: EndpointId, took: Duration, ended: Ended },
    /// News of the list.
    Listed(List),
    /// The platform has taken these notices.
    Noticed(Vec<u64>),
    /// A note from another dispatcher.
    Note { from: usize, bytes: Vec<u8> },
    /// The store's last writes last by now, or could not be made to.
    Synced(Synced),
    /// The process ends after this time.
    Stop { after: Duration },
}

/// The module's clock: it never goes back. Its origin is the wall clock's at the start, or the latest time that
/// the store knows of, if that is later: the wall clock may have been set back between two starts.
struct Clock {
    start: Instant,
    origin: Nanos,
}

pub fn wall_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos)
}

impl Clock {
    fn new(latest: Nanos) -> Self {
        Clock { start: Instant::now(), origin: wall_now().max(latest) }
    }
    fn now(&self) -> Nanos {
        self.origin + self.start.elapsed().as_nanos() as Nanos
    }
    fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.origin))
    }
    /// The time that is written to the store: the wall clock's, but never set back below where it was.
    fn wall(&self) -> Nanos {
        wall_now().max(self.now())
    }
    /// For the store, which outlives this clock.
    fn to_wall(&self, at: Nanos) -> Nanos {
        self.wall().saturating_add(at).saturating_sub(self.now())
    }
    fn at_wall(&self, at: Nanos) -> Nanos {
        self.now().saturating_add(at).saturating_sub(self.wall())
    }
}

/// A message that is owed its end.
struct Held {
    reference: String,
    key: Option<Bytes>,
    body: Bytes,
    attempts: u32,
    /// When its time is up, by the wall clock.
    deadline: Nanos,
    /// An attempt that may have run is its last.
    once: bool,
    /// The final answer, once it has been given: its notice is owed.
    answer: Option<Answer>,
}

/// What may be done only once what was written before it lasts.
enum Act {
    /// Tell a client that its message is taken on, and the module of it.
    Accept { id: u64, class: usize, dest: u64, reply: oneshot::Sender<Verdict> },
    /// Tell a client that its message had been taken on before.
    Confirm { dest: u64, reply: oneshot::Sender<Verdict> },
    /// Write a call whose attempt is noted.
    Write { call: u64, link: Link },
    /// Tell the platform of an end.
    Tell(Notice),
}

/// A message in a call.
#[derive(Clone, Copy)]
struct Member {
    id: u64,
    attempt: u32,
}

/// A call that the module has asked for and that has no outcome yet.
struct Call {
    /// The messages in it: one, or several where the kind of endpoint takes that.
    members: Vec<Member>,
    /// What it has no room for goes in calls that follow it, one at a time: they share its slot.
    rest: VecDeque<Vec<Member>>,
    endpoint: EndpointId,
    address: SocketAddr,
    zone: usize,
    sent: Nanos,
    until: Nanos,
    /// Its attempts are in the journal.
    begun: bool,
    /// Its connection was opened for it.
    fresh: bool,
    /// How long its kept connection had stood idle.
    idle_for: Duration,
    call_off: Option<oneshot::Sender<()>>,
}

struct Known {
    address: SocketAddr,
    entry: Entry,
}

impl Known {
    fn ready(&self) -> bool {
        self.entry.state == State::Ready
    }
}

pub struct Driver {
    clock: Clock,
    settings: Settings,
    shape: Shape,
    control: Control,
    ledger: Ledger<Disk>,
    /// When a write to the store last failed, and the number that the next frame had then.
    failing: Option<(Nanos, Seq)>,
    /// What waits for a write to last, in the order of the writes.
    waiting: VecDeque<(Seq, Act)>,
    /// Final answers that could not be written yet: their notices wait.
    unwritten: VecDeque<(u64, Answer)>,
    /// A sync is under way, or may be tried again at this time.
    syncing: bool,
    sync_at: Nanos,
    told: mpsc::Sender<Input>,
    /// Whose list it is, and the version of it.
    source: String,
    calls: Calls,
    peers: Option<Peers>,
    notices: mpsc::Sender<Notice>,
    /// Notices that found no room in the queue yet.
    unsent: VecDeque<Notice>,
    held: BTreeMap<u64, Held>,
    /// Messages that have no final answer yet.
    open: usize,
    by_reference: HashMap<String, u64>,
    out: HashMap<u64, Call>,
    next_call: u64,
    names: HashMap<String, EndpointId>,
    known: HashMap<EndpointId, Known>,
    next_endpoint: EndpointId,
    wake: Option<Nanos>,
    stop: Option<(Nanos, Nanos)>,
}

/// What the driver is made of.
pub struct Parts {
    pub settings: Settings,
    pub shape: Shape,
    pub seed: u64,
    pub ledger: Ledger<Disk>,
    pub found: Vec<Found>,
    /// Highest time that the store knows of, by the wall clock.
    pub latest: Nanos,
    pub told: mpsc::Sender<Input>,
    /// Where the list comes from.
    pub source: SocketAddr,
    pub known: List,
    pub calls: Calls,
    pub peers: Option<Peers>,
    pub notices: mpsc::Sender<Notice>,
}

/// After SIGTERM clients go on coming for a while; an idle process stays at least so long.
const LEAST_STAY: Nanos = 1_000_000_000;
/// A connection that is reset so soon after a request was lost before it, more likely than under it.
const AT_ONCE: Nanos = 10_000_000;
/// A kept connection that was used so lately has not been given up since.
const JUST_USED: Duration = Duration::from_millis(50);
/// Shortest time between two rounds. What waits a whole tick goes out in bursts, for which connections must be opened.
const ROUND: Nanos = 1_000_000;
/// Inputs that are taken before it is looked again whether something is due.
const BATCH: usize = 32;
const SWEEP: Nanos = 1_000_000_000;
/// A final answer is kept for so long after the message's time is up: its client may ask once more.
const KEEP_ANSWER: Nanos = 10_000_000_000;
/// Writes work again once none has failed for so long.
const QUIET: Nanos = 5_000_000_000;
/// After a failed sync the next one.
const SYNC_AGAIN: Nanos = 100_000_000;
/// Lessons older than this are of destinations that nobody writes to.
const FORGET_LESSON: Nanos = 30 * 86_400 * 1_000_000_000;

impl Driver {
    pub fn new(parts: Parts) -> Self {
        let Parts {
            settings,
            shape,
            seed,
            ledger,
            found,
            latest,
            told,
            source,
            known,
            calls,
            peers,
            notices,
        } = parts;
        let mut driver = Driver {
            clock: Clock::new(latest),
            control: Control::new(settings.clone(), seed),
            settings,
            shape,
            ledger,
            failing: None,
            waiting: VecDeque::new(),
            unwritten: VecDeque::new(),
            syncing: false,
            sync_at: 0,
            told,
            source: source.to_string(),
            calls,
            peers,
            notices,
            unsent: VecDeque::new(),
            held: BTreeMap::new(),
            open: 0,
            by_reference: HashMap::new(),
            out: HashMap::new(),
            next_call: 0,
            names: HashMap::new(),
            known: HashMap::new(),
            next_endpoint: 0,
            wake: None,
            stop: None,
        };
        let now = driver.clock.now();
        // Noted too: what discovery tells later are changes of it.
        let known = driver.newest(known);
        driver.listed_anew(now, known);
        driver.recall(now);
        for found in found {
            driver.restore(now, found);
        }
        driver
    }

    /// The list of the configuration, or the one that was noted last, if that is newer.
    fn newest(&mut self, known: List) -> List {
        let known = List { snapshot: true, ..known };
        let Some((source, index, noted)) = self.ledger.listed() else { return known };
        for e in &noted {
            // Numbers that lessons of routes go by.
            self.names.insert(e.name.clone(), e.id);
            self.next_endpoint = self.next_endpoint.max(e.id);
        }
        if source != self.source || index < known.index {
            return known;
        }
        let endpoints = noted.into_iter().filter_map(|e| {
            Some(discovery::Endpoint {
                address: e.address.parse().ok()?,
                name: e.name,
                zone: e.zone,
                kind: e.kind,
                group: e.dest,
                status: if e.in_service { Status::InService } else { Status::Terminating },
                weight: e.weight,
            })
        });
        List { snapshot: true, index, endpoints: endpoints.collect(), unreadable: Vec::new() }
    }

    /// Gives the module what it had learnt before the restart.
    fn recall(&mut self, now: Nanos) {
        let wall = self.clock.wall();
        let mut old = Vec::new();
        for (dest, route, noted, bytes) in self.ledger.learnt() {
            let age = wall.saturating_sub(noted);
            if age > FORGET_LESSON {
                old.push((dest, route, None));
            } else {
                self.control.recall(now, dest, route, age, &bytes);
            }
        }
        let forgotten = self.ledger.learn(wall, old);
        self.noted(forgotten);
    }

    /// Takes up a message of the journal again. Whether it may still be sent is for the module to say.
    fn restore(&mut self, now: Nanos, found: Found) {
        let Found { id, taken, body_lost, history, .. } = found;
        let Taken { reference, class, dest, deadline, key, body } = taken;
        self.by_reference.insert(reference.clone(), id);
        let once = self.once(class as usize);
        // A class that the settings don't know any more can't be judged: the message is given up.
        let unknown = (class as usize >= self.settings.classes.len()).then_some(Answer::Failed);
        // Nor can one be sent whose body is lost.
        let lost = body_lost.then(|| lost_body(&history));
        let answer = history.answer.or(unknown).or(lost);
        let held = Held {
            reference: reference.clone(),
            key,
            body,
            attempts: history.attempts,
            deadline,
            once,
            answer: history.answer,
        };
        self.held.insert(id, held);
        if let Some(answer) = history.answer {
            self.unsent.push_back(Notice { id, reference, answer });
        } else if let Some(answer) = answer {
            self.open += 1;
            self.answer(id, answer);
        } else {
            self.open += 1;
            let since = |(at, zone): (Nanos, u32)| (self.clock.at_wall(at), zone as usize);
            self.control.on_event(
                now,
                Event::Restored {
                    id,
                    class: class as usize,
                    key: None,
                    dest,
                    deadline: self.clock.at_wall(deadline),
                    attempts: history.attempts,
                    first_sent: self.clock.at_wall(history.first_sent),
                    // An attempt that was out when the process ended may have run.
                    may_have_run: history.may_have_run.or(history.out).map(since),
                },
            );
        }
    }

    /// Runs until the process is to end.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let tick = self.settings.tick.min(ROUND);
        let (mut asked, mut news, mut swept) = (0, true, self.clock.now());
        loop {
            let now = self.clock.now();
            let due = news || self.wake.is_some_and(|at| at <= now);
            if due && now >= asked + tick {
                (asked, news) = (now, false);
                self.decide(now);
                continue;
            }
            self.hand_on_notices();
            if now > swept + SWEEP {
                swept = now;
                self.calls.sweep();
                within(Part::Journal, || self.ledger.tidy(self.clock.wall()));
                self.learn(now, false);
                self.note_recovery(now);
            }
            self.write_answers();
            self.sync(now);
            if self.done(now) {
                return;
            }
            let next = if due { asked + tick } else { self.wake.unwrap_or(Nanos::MAX).max(asked + tick) };
            // Never far off, so that notices, idle connections and the end are seen to.
            let soon = self.stop.is_some() || !self.unsent.is_empty() || !self.unwritten.is_empty();
            let pause = if soon || !self.waiting.is_empty() { 20_000_000 } else { SWEEP };
            tokio::select! {
                biased;
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    // What has come by now is taken in one go: what follows once a round is done once for all of it.
                    for _ in 1..BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        self.take(input);
                    }
                    news = true;
                }
                () = sleep_until(self.clock.instant(next.min(now + pause))) => {}
            }
        }
    }

    fn done(&self, now: Nanos) -> bool {
        let idle = self.held.is_empty() && self.out.is_empty();
        self.stop.is_some_and(|(least, most)| now >= most || idle && now >= least)
    }

    fn hand_on_notices(&mut self) {
        while let Some(notice) = self.unsent.pop_front() {
            if let Err(e) = self.notices.try_send(notice) {
                self.unsent.push_front(e.into_inner());
                return;
            }
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Handed(handed, reply) => self.handed(now, handed, reply),
            Input::Connected { call, link } => self.connected(now, call, link),
            Input::Unsent { call } => self.unsent(now, call),
            Input::Ended { call, ended } => self.ended(now, call, ended),
            Input::Probed { endpoint, took, ended } => {
                let Ended { fate, report, link, .. } = ended;
                let outcome = fate.of(0).outcome;
                if let (Some(link), Some(known)) = (link, self.known.get(&endpoint)) {
                    self.keep(endpoint, known.address, link);
                }
                let took = took.as_nanos() as Nanos;
                self.control.on_event(now, Event::Probed { endpoint, outcome, took, report });
            }
            Input::Listed(list) => self.listed_anew(now, list),
            Input::Noticed(ids) => {
                for id in ids {
                    let answer = self.held.get(&id).and_then(|held| held.answer);
                    self.over(id, answer.map(Final::Answered));
                }
            }
            Input::Synced(synced) => self.synced(now, synced),
            Input::Note { from, bytes } => self.control.on_event(now, Event::Note { from, bytes }),
            Input::Stop { after } => {
                let at = now + after.as_nanos() as Nanos;
                self.stop = Some((now + LEAST_STAY, at));
                self.control.on_event(now, Event::Stopping { at });
            }
        }
    }

    fn handed(&mut self, now: Nanos, handed: Handed, reply: oneshot::Sender<Verdict>) {
        // A client that left before its answer voids the id: it may be on its way elsewhere.
        if reply.is_closed() {
            return;
        }
        // Handed in once more, since a connection closed under it: it is taken on already.
        if self.by_reference.contains_key(&handed.reference) {
            let last = self.ledger.store().next_seq() - 1;
            return self.once_it_lasts(now, last, Act::Confirm { dest: handed.dest, reply });
        }
        // It comes again after its end: it gets the same answer, and nothing is sent again.
        if let Some(end) = within(Part::Journal, || self.ledger.final_answer(&handed.reference)) {
            let verdict = match end {
                Final::Delivered => Verdict::Taken,
                Final::Answered(Answer::Failed) => Verdict::Failed,
                Final::Answered(Answer::Refused { wait_ms }) => {
                    Verdict::Refused { wait: wait_ms.saturating_mul(1_000_000) }
                }
            };
            let _ = reply.send(verdict);
            return;
        }
        if !self.control.has_heard_of(handed.dest) {
            let _ = reply.send(Verdict::Unheard);
            return;
        }
        let refused = Verdict::Refused { wait: self.control.wait_for_room(now, handed.dest) };
        // No more are held than the settings allow; notices that are owed take room too.
        if self.open >= self.settings.hold || self.held.len() >= 4 * self.settings.hold {
            let _ = reply.send(refused);
            return;
        }
        let Handed { reference, class, dest, time_left, came, key, body } = handed;
        let time_left = time_left.saturating_sub(came.elapsed().as_nanos() as Nanos);
        let deadline = self.clock.to_wall(now + time_left);
        // A copy, so that no buffer that it was read into is kept for it.
        let body = Bytes::copy_from_slice(&body);
        let taken = Taken { reference, class: class as u32, dest, deadline, key, body };
        let done = within(Part::Journal, || self.ledger.take(self.clock.wall(), &taken));
        let Some((id, seq)) = self.noted(done) else {
            let _ = reply.send(refused);
            return;
        };
        let Taken { reference, key, body, .. } = taken;
        let once = self.once(class);
        self.by_reference.insert(reference.clone(), id);
        self.open += 1;
        self.held.insert(id, Held { reference, key, body, attempts: 0, deadline, once, answer: None });
        self.once_it_lasts(now, seq, Act::Accept { id, class, dest, reply });
    }

    /// The message lasts: its client hears so, and the module decides on it.
    fn accept(&mut self, now: Nanos, id: u64, class: usize, dest: u64, reply: oneshot::Sender<Verdict>) {
        let Some(held) = self.held.get(&id) else { return };
        let time_left = self.clock.at_wall(held.deadline).saturating_sub(now);
        if reply.send(Verdict::Taken).is_err() {
            // A client that left before its answer voids the id.
            return self.over(id, None);
        }
        let event = Event::Message { id, class, tenant: None, key: None, dest, time_left };
        within(Part::Module, || self.control.on_event(now, event));
    }

    /// Does something at once, or as soon as the write of this number lasts.
    fn once_it_lasts(&mut self, now: Nanos, seq: Seq, act: Act) {
        if self.waiting.is_empty() && self.ledger.lasts(seq) {
            return self.act(now, act);
        }
        self.waiting.push_back((seq, act));
    }

    fn act(&mut self, now: Nanos, act: Act) {
        match act {
            Act::Accept { id, class, dest, reply } => self.accept(now, id, class, dest, reply),
            Act::Confirm { reply, .. } => {
                let _ = reply.send(Verdict::Taken);
            }
            Act::Write { call, link } => self.write(now, call, link),
            Act::Tell(notice) => {
                self.unsent.push_back(notice);
                self.hand_on_notices();
            }
        }
    }

    /// Has what was written made to last, where that takes a sync: one at a time, for all that waits by then.
    fn sync(&mut self, now: Nanos) {
        if self.syncing || now < self.sync_at {
            return;
        }
        let job = self.ledger.sync_job();
        if let Some(Some(job)) = self.noted(job) {
            self.syncing = true;
            let told = self.told.clone();
            tokio::spawn(async move {
                if let Ok(synced) = tokio::task::spawn_blocking(|| job.run()).await {
                    let _ = told.send(Input::Synced(synced)).await;
                }
            });
        }
    }

    fn synced(&mut self, now: Nanos, synced: Synced) {
        self.syncing = false;
        let done = self.ledger.synced(synced);
        if self.noted(done).is_none() {
            self.sync_at = now.saturating_add(SYNC_AGAIN);
            self.refuse_unlasting(now);
        }
        while let Some((_, act)) = self.waiting.pop_front_if(|(seq, _)| self.ledger.lasts(*seq)) {
            self.act(now, act);
        }
    }

    /// The disk refuses: whoever waits to be taken on is told to come again.
    fn refuse_unlasting(&mut self, now: Nanos) {
        for (seq, act) in std::mem::take(&mut self.waiting) {
            match act {
                Act::Accept { id, dest, reply, .. } if !self.ledger.lasts(seq) => {
                    let _ = reply.send(Verdict::Refused { wait: self.control.wait_for_room(now, dest) });
                    self.over(id, None);
                }
                Act::Confirm { dest, reply } if !self.ledger.lasts(seq) => {
                    let _ = reply.send(Verdict::Refused { wait: self.control.wait_for_room(now, dest) });
                }
                act => self.waiting.push_back((seq, act)),
            }
        }
    }

    /// Keeps what the module has learnt since; only what can't wait, or all.
    fn learn(&mut self, now: Nanos, grave_only: bool) {
        let lessons = self.control.learnt(now, grave_only).into_iter();
        let lessons = lessons.map(|lesson| (lesson.dest, lesson.route, Some(lesson.bytes)));
        let done = within(Part::Journal, || self.ledger.learn(self.clock.wall(), lessons));
        self.noted(done);
    }

    fn once(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_some_and(|class| class.effect == Effect::Unsafe)
    }

    /// What came of a write to the store. That writes fail is said once, and once that they work again.
    fn noted<T>(&mut self, done: Result<T, StoreError>) -> Option<T> {
        if let Err(e) = &done {
            let before = self.failing.replace((self.clock.now(), self.ledger.store().next_seq()));
            match e {
                _ if before.is_some() => {}
                StoreError::Full => {
                    eprintln!("store: {}: the store is full", self.ledger.store().folder().show(""));
                }
                e => eprintln!("store: {e}"),
            }
        }
        done.ok()
    }

    /// Frames have been written since the last failure, which is a while ago: neither an idle call nor a write that
    /// found room between two that did not ends the trouble.
    fn note_recovery(&mut self, now: Nanos) {
        let next = self.ledger.store().next_seq();
        if self.failing.is_some_and(|(at, seq)| next > seq && now.saturating_sub(at) > QUIET) {
            self.failing = None;
            eprintln!("store: writes work again");
        }
    }

    /// Nothing more is owed for a message.
    fn over(&mut self, id: u64, end: Option<Final>) {
        if let Some(held) = self.held.remove(&id) {
            self.by_reference.remove(&held.reference);
            self.open -= usize::from(held.answer.is_none());
            let until = held.deadline.max(self.clock.wall()).saturating_add(KEEP_ANSWER);
            let end = end.map(|end| (&held.reference[..], end, until));
            let done = within(Part::Journal, || self.ledger.end(id, end));
            self.noted(done);
        }
    }

    fn decide(&mut self, now: Nanos) {
        let mut actions = Vec::new();
        self.wake = self.wake.filter(|at| *at > now);
        within(Part::Module, || {
            self.control.on_event(now, Event::Wake);
            self.control.decide(now, &mut actions);
        });
        // Sends of one round to one endpoint travel as one call, up to as many as its kind takes.
        let mut sends: Vec<(EndpointId, Vec<(u64, Nanos)>)> = Vec::new();
        let mut latest: HashMap<EndpointId, usize> = HashMap::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => match latest.get(&endpoint) {
                    Some(n) if sends[*n].1.len() < self.bundle(endpoint) => sends[*n].1.push((id, timeout)),
                    _ => {
                        latest.insert(endpoint, sends.len());
                        sends.push((endpoint, vec![(id, timeout)]));
                    }
                },
                Action::Refuse { id, wait } => {
                    self.answer(id, Answer::Refused { wait_ms: wait.div_ceil(1_000_000) });
                }
                Action::Fail { id } => self.answer(id, Answer::Failed),
                Action::Cancel { id, attempt } => {
                    // A call that carries others too is not called off for one of them.
                    let mut calls = self.out.values_mut().filter(
                        |c| matches!(c.members[..], [Member { id: i, attempt: a }] if (i, a) == (id, attempt)),
                    );
                    if let Some(call_off) = calls.next().and_then(|c| c.call_off.take()) {
                        let _ = call_off.send(());
                    }
                }
                Action::Probe { endpoint } => {
                    if let Some(known) = self.known.get(&endpoint) {
                        self.calls.probe(endpoint, known.address);
                    }
                }
                Action::Tell { bytes } => self.peers.iter().for_each(|peers| peers.tell(&bytes)),
                // The watch goes on by itself.
                Action::Subscribe => {}
                Action::Wake { at } => self.wake = Some(self.wake.map_or(at, |other| other.min(at))),
            }
        }
        for (endpoint, messages) in sends {
            self.begin(now, endpoint, &messages);
        }
        if self.control.has_grave_news() {
            self.learn(now, true);
        }
    }

    /// How many messages a call to an endpoint may carry.
    fn bundle(&self, endpoint: EndpointId) -> usize {
        let kind = self.known.get(&endpoint).and_then(|known| self.settings.kinds.get(known.entry.kind));
        kind.map_or(1, |kind| kind.bundle.max(1))
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.answer.is_none()) else { return };
        held.answer = Some(answer);
        // No attempt follows; one that is out has its own hold on it.
        held.body = Bytes::new();
        self.open -= 1;
        self.unwritten.push_back((id, answer));
        self.write_answers();
    }

    /// On disk first: a message whose notice may be out is not sent again after a restart.
    fn write_answers(&mut self) {
        while let Some((id, answer)) = self.unwritten.pop_front() {
            let Some(reference) = self.held.get(&id).map(|held| held.reference.clone()) else { continue };
            let done = within(Part::Journal, || self.ledger.answer(id, answer));
            let Some(seq) = self.noted(done) else {
                self.unwritten.push_front((id, answer));
                return;
            };
            let now = self.clock.now();
            self.once_it_lasts(now, seq, Act::Tell(Notice { id, reference, answer }));
        }
    }

    /// Begins what the module sends to one endpoint in one round.
    fn begin(&mut self, now: Nanos, endpoint: EndpointId, messages: &[(u64, Nanos)]) {
        let (mut parts, mut left) = (VecDeque::<Vec<Member>>::new(), 0);
        for (id, _) in messages {
            let Some(held) = self.held.get_mut(id) else { continue };
            let member = Member { id: *id, attempt: held.attempts };
            held.attempts += 1;
            // A key that is no text can't stand among others.
            let key = held.key.as_deref();
            let alone = key.is_some_and(|key| std::str::from_utf8(key).is_err());
            let room = if alone { batch::LONGEST } else { batch::room(&held.reference, key, &held.body) };
            match parts.back_mut().filter(|_| room <= left) {
                Some(part) => part.push(member),
                // Two bytes are the brackets'.
                None => {
                    left = batch::LONGEST - 2;
                    parts.push_back(vec![member]);
                }
            }
            left = left.saturating_sub(room);
        }
        // One fate, one end: that of the message which may wait longest.
        let timeout = messages.iter().map(|(_, timeout)| *timeout).max().unwrap_or(0);
        self.start(now, endpoint, now.saturating_add(timeout), parts);
    }

    /// Starts the first of these calls; the rest follows once it has ended.
    fn start(&mut self, now: Nanos, endpoint: EndpointId, until: Nanos, mut parts: VecDeque<Vec<Member>>) {
        let Some(members) = parts.pop_front() else { return };
        let call = self.next_call;
        self.next_call += 1;
        let known = self.known.get(&endpoint);
        // An endpoint that is not known any more fails the check before the call is written.
        let (address, zone) =
            known.map_or((SocketAddr::from(([0, 0, 0, 0], 0)), 0), |known| (known.address, known.entry.zone));
        let mut out = Call {
            members,
            rest: parts,
            endpoint,
            address,
            zone,
            sent: now,
            until,
            begun: false,
            fresh: true,
            idle_for: Duration::ZERO,
            call_off: None,
        };
        if until <= now {
            self.out.insert(call, out);
            return self.settle(now, call, Outcome::NotSent);
        }
        let sure = out.members.iter().any(|m| self.held.get(&m.id).is_some_and(|held| held.once));
        let idle = self.calls.idle(endpoint, address, sure);
        if let Some((_, age)) = &idle {
            (out.fresh, out.idle_for) = (false, *age);
        }
        self.out.insert(call, out);
        match idle {
            Some((link, _)) => self.connected(now, call, Some(link)),
            None => self.connect(now, call),
        }
    }

    /// A kept connection was of no use any more: a new one is opened. A new one of no use is a failure, or
    /// an endpoint that closes each at once would be connected to without end.
    fn unsent(&mut self, now: Nanos, call: u64) {
        let Some(out) = self.out.get(&call) else { return };
        if out.fresh {
            return self.settle(now, call, Outcome::ConnectFailed);
        }
        self.calls.was_given_up(out.endpoint, out.idle_for);
        self.connect(now, call);
    }

    fn connect(&mut self, now: Nanos, call: u64) {
        let Some(out) = self.out.get_mut(&call) else { return };
        out.fresh = true;
        let left = Duration::from_nanos(out.until.saturating_sub(now));
        self.calls.connect(call, out.address, left);
    }

    fn connected(&mut self, now: Nanos, call: u64, link: Option<Link>) {
        let Some(out) = self.out.get_mut(&call) else { return };
        let Some(link) = link else {
            self.calls.forget(out.endpoint);
            return self.settle(now, call, Outcome::ConnectFailed);
        };
        if out.begun {
            // Noted when an earlier connection was there, which was of no use.
            return self.write(now, call, link);
        }
        if !self.sift(now, call) {
            return self.not_written(now, call, link);
        }
        let Some(out) = self.out.get_mut(&call) else { return };
        let (zone, members) = (out.zone as u32, std::mem::take(&mut out.members));
        // On disk before the first byte: an attempt that the store does not know of could go twice.
        let (mut noted, mut unnoted, mut last) = (Vec::new(), Vec::new(), None);
        for member in members {
            let done = within(Part::Journal, || self.ledger.begin(member.id, self.clock.wall(), zone));
            match self.noted(done) {
                Some(seq) => {
                    last = Some(seq);
                    noted.push(member);
                }
                None => unnoted.push(member),
            }
        }
        let Some(out) = self.out.get_mut(&call) else { return };
        out.members = noted;
        let place = (out.endpoint, out.sent);
        for member in unnoted {
            self.message_over(now, place, &member, false, Outcome::NotSent.into(), None);
        }
        let Some(seq) = last else { return self.not_written(now, call, link) };
        self.out.entry(call).and_modify(|out| out.begun = true);
        self.once_it_lasts(now, seq, Act::Write { call, link });
    }

    /// Connecting takes time, and so does a sync: by now the endpoint may drain, a wait may have been told, or
    /// the time of a message, or of its key, may have run out. Such a message leaves the call; whether any is left.
    fn sift(&mut self, now: Nanos, call: u64) -> bool {
        let Some(out) = self.out.get_mut(&call) else { return false };
        let (place, begun) = ((out.endpoint, out.sent), out.begun);
        let open = out.until > now && self.known.contains_key(&out.endpoint);
        let (held, control) = (&self.held, &self.control);
        let sound = |m: &Member| open && held.contains_key(&m.id) && control.may_still_send(now, m.id);
        let (stays, leaves) = std::mem::take(&mut out.members).into_iter().partition::<Vec<_>, _>(sound);
        out.members = stays;
        let left = !out.members.is_empty();
        for member in leaves {
            self.message_over(now, place, &member, begun, Outcome::NotSent.into(), None);
        }
        left
    }

    /// A call of which nothing is written; its connection may serve another.
    fn not_written(&mut self, now: Nanos, call: u64, link: Link) {
        let Some(out) = self.out.get(&call) else { return };
        let (endpoint, address) = (out.endpoint, out.address);
        self.keep(endpoint, address, link);
        self.settle(now, call, Outcome::NotSent);
    }

    /// Writes a call whose attempts are noted.
    fn write(&mut self, now: Nanos, call: u64, link: Link) {
        if !self.sift(now, call) {
            return self.not_written(now, call, link);
        }
        let Some(out) = self.out.get_mut(&call) else { return };
        // A connection that was in use just now is not stale, and a message that may go again needs no proof that it
        // never ran where a new one breaks.
        let stale = !out.fresh && out.idle_for >= JUST_USED;
        let held: Vec<&Held> = out.members.iter().filter_map(|m| self.held.get(&m.id)).collect();
        let within = Duration::from_nanos(out.until - now);
        let (request, references) = match held[..] {
            [held] => {
                let (key, body) = (held.key.as_ref(), held.body.clone());
                (request(out.address, &held.reference, key, body, within), Vec::new())
            }
            _ => {
                let items: Option<Vec<String>> =
                    held.iter().map(|h| batch::item(&h.reference, h.key.as_deref(), &h.body)).collect();
                let references = held.iter().map(|held| held.reference.clone()).collect();
                (items.and_then(|items| request_of_several(out.address, &items, within)), references)
            }
        };
        let proof = stale || held.iter().any(|held| held.once);
        let Some(request) = request else { return self.settle(now, call, Outcome::NotSent) };
        let (call_off, called_off) = oneshot::channel();
        out.call_off = Some(call_off);
        let until = self.clock.instant(out.until);
        self.calls.send(call, link, request, until, proof, called_off, references);
    }

    fn ended(&mut self, now: Nanos, call: u64, ended: Ended) {
        let Ended { fate, wait, report, link } = ended;
        let Some(out) = self.out.remove(&call) else { return };
        if let Some(link) = link {
            self.keep(out.endpoint, out.address, link);
        }
        if fate.is(Outcome::Reset) && !out.fresh && now.saturating_sub(out.sent) < AT_ONCE {
            self.calls.was_given_up(out.endpoint, out.idle_for);
        }
        // A connection that was reset says nothing of the others: each is looked at before it is used.
        if fate.is(Outcome::TimedOut) {
            self.calls.forget(out.endpoint);
        }
        let Call { members, rest, endpoint, sent, until, begun, .. } = out;
        if let Some(wait) = wait {
            self.control.on_event(now, Event::ToldToWait { endpoint, wait });
        }
        for (place, member) in members.iter().enumerate() {
            // One report came, whatever the number of messages.
            let report = report.filter(|_| place == 0);
            self.message_over(now, (endpoint, sent), member, begun, fate.of(place), report);
        }
        self.start(now, endpoint, until, rest);
    }

    /// The attempt of one message is over.
    fn message_over(
        &mut self,
        now: Nanos,
        (endpoint, sent): (EndpointId, Nanos),
        member: &Member,
        begun: bool,
        end: End,
        report: Option<Report>,
    ) {
        let (Member { id, attempt }, End { outcome, over }) = (*member, end);
        let answered = self.held.get(&id).is_none_or(|held| held.answer.is_some());
        if over {
            // An endpoint may also say that a message is over of which it has had nothing.
            self.over(id, (outcome == Outcome::Served).then_some(Final::Delivered));
        } else if begun && self.held.contains_key(&id) {
            let done = within(Part::Journal, || self.ledger.outcome(id, outcome.never_ran()));
            self.noted(done);
        }
        let (took, closed) = (now.saturating_sub(sent), over || answered);
        let event = Event::Outcome { id, attempt, endpoint, outcome, took, closed, report };
        within(Part::Module, || self.control.on_event(now, event));
    }

    /// Keeps a connection for the next call, unless none goes there any more.
    fn keep(&mut self, endpoint: EndpointId, address: SocketAddr, link: Link) {
        if self.known.get(&endpoint).is_some_and(Known::ready) {
            self.calls.keep(endpoint, address, link);
        }
    }

    /// The outcome of a call of which nothing was written.
    fn settle(&mut self, now: Nanos, call: u64, outcome: Outcome) {
        self.ended(now, call, Ended::without_answer(outcome));
        // Guards against an outcome that is told but not acted on until something else happens.
        self.wake = Some(now);
    }

    /// Takes in what discovery says, and notes it for the next start.
    fn listed_anew(&mut self, now: Nanos, list: List) {
        let (index, snapshot) = (list.index, list.snapshot);
        let mut gone = Vec::new();
        let mut told: Vec<Listed> = Vec::new();
        for e in &list.endpoints {
            if e.status == Status::Terminated {
                gone.push(e.name.clone());
                continue;
            }
            told.push(Listed {
                name: e.name.clone(),
                id: 0,
                address: e.address.to_string(),
                zone: e.zone.clone(),
                kind: e.kind.clone(),
                dest: e.group,
                in_service: e.status == Status::InService,
                weight: e.weight,
            });
        }
        let unreadable = list.unreadable.clone();
        self.listed(now, list);
        for e in &mut told {
            e.id = self.names.get(&e.name).copied().unwrap_or(0);
        }
        // Looked through as a whole only where names may be missing.
        let noted =
            Some(()).filter(|()| snapshot || !unreadable.is_empty()).and_then(|()| self.ledger.listed());
        let named: HashSet<String> = told.iter().map(|e| e.name.clone()).collect();
        for e in noted.map(|(_, _, all)| all).unwrap_or_default() {
            if unreadable.contains(&e.name) {
                told.push(Listed { in_service: false, ..e });
            } else if snapshot && !named.contains(&e.name) {
                gone.push(e.name);
            }
        }
        let done = self.ledger.list(&self.source, index, &told, &gone);
        self.noted(done);
    }

    fn listed(&mut self, now: Nanos, list: List) {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        let mut entries = Vec::with_capacity(list.endpoints.len());
        let mut seen = HashSet::new();
        for e in list.endpoints {
            let next = &mut self.next_endpoint;
            let endpoint = *self.names.entry(e.name.clone()).or_insert_with(|| {
                *next += 1;
                *next
            });
            seen.insert(endpoint);
            let zone = position(&self.shape.zone_names, &e.zone);
            let state = match e.status {
                Status::InService => State::Ready,
                Status::Terminating | Status::Unknown => State::Draining,
                Status::Terminated => State::Gone,
            };
            let rated = self.settings.weights != Weights::Unknown;
            let weight = e.weight.filter(|w| rated && w.is_finite()).unwrap_or(0.0);
            let kind = position(&self.shape.kind_names, &e.kind);
            let entry = Entry { endpoint, zone, kind, dest: e.group, state, weight };
            if state == State::Gone {
                self.names.remove(&e.name);
                self.known.remove(&endpoint);
            } else {
                self.known.insert(endpoint, Known { address: e.address, entry });
            }
            entries.push(entry);
        }
        // What is said of these can't be read, and may be a drain: nothing new goes there.
        for name in list.unreadable {
            let Some(endpoint) = self.names.get(&name) else { continue };
            seen.insert(*endpoint);
            if let Some(known) = self.known.get_mut(endpoint) {
                known.entry.state = State::Draining;
                entries.push(known.entry);
            }
        }
        if list.snapshot {
            self.names.retain(|_, endpoint| seen.contains(endpoint));
            self.known.retain(|endpoint, _| seen.contains(endpoint));
        }
        // Connections to an endpoint that takes nothing more are closed. They would hold descriptors here and
        // places there until they are too old.
        let known = &self.known;
        self.calls.retain(|endpoint| known.get(&endpoint).is_some_and(Known::ready));
        self.control.on_event(now, Event::Listed { whole: list.snapshot, entries });
    }
}

/// The final answer of a message whose body can't be read any more: a refusal where it never ran.
fn lost_body(history: &History) -> Answer {
    let may_have_run = history.may_have_run.is_some() || history.out.is_some();
    if may_have_run { Answer::Failed } else { Answer::Refused { wait_ms: 0 } }
}
