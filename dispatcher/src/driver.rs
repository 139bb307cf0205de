//! The loop round the decision module: the only owner of `Control` and of what is known of each message.
//!
//! Everything that happens comes in as an [`Input`]. The module is told at once; what it wants is asked for
//! once a tick, and carried out here. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use millpost::Control;
use millpost::api::{Action, Effect, EndpointId, Entry, Event, Nanos, Outcome, Settings, State, Weights};
use millpost_settings::Shape;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::calls::{Calls, Ended, request};
use crate::discovery::{List, Status};
use crate::intake::{Handed, Verdict};
use crate::journal::{Answer, Found, Journal, Taken};
use crate::link::Link;
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
    /// The process ends after this time.
    Stop { after: Duration },
}

/// The module's clock: it never goes back. Its origin is the wall clock's at the start.
struct Clock {
    start: Instant,
    origin: Nanos,
}

fn wall_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos)
}

impl Clock {
    fn new() -> Self {
        Clock { start: Instant::now(), origin: wall_now() }
    }
    fn now(&self) -> Nanos {
        self.origin + self.start.elapsed().as_nanos() as Nanos
    }
    fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.origin))
    }
    /// For the journal, which outlives this clock.
    fn to_wall(&self, at: Nanos) -> Nanos {
        (wall_now() + at).saturating_sub(self.now())
    }
    fn at_wall(&self, at: Nanos) -> Nanos {
        (self.now() + at).saturating_sub(wall_now())
    }
}

/// A message that is owed its end.
struct Held {
    reference: String,
    key: Option<Bytes>,
    body: Bytes,
    attempts: u32,
    /// An attempt that may have run is its last.
    once: bool,
    /// The final answer has been given; its notice is owed.
    answered: bool,
}

/// A call that the module has asked for and that has no outcome yet.
struct Call {
    id: u64,
    attempt: u32,
    endpoint: EndpointId,
    address: SocketAddr,
    zone: usize,
    sent: Nanos,
    until: Nanos,
    /// Its attempt is in the journal.
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
    journal: Journal,
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
    pub journal: Journal,
    pub found: Vec<Found>,
    pub known: List,
    pub calls: Calls,
    pub peers: Option<Peers>,
    pub notices: mpsc::Sender<Notice>,
}

/// After SIGTERM clients go on coming for a while; an idle process stays at least so long.
const LEAST_STAY: Nanos = 1_000_000_000;
/// A connection that is reset so soon after a request was lost before it, more likely than under it.
const AT_ONCE: Nanos = 10_000_000;
const SWEEP: Nanos = 1_000_000_000;

impl Driver {
    pub fn new(parts: Parts) -> Self {
        let Parts { settings, shape, seed, journal, found, known, calls, peers, notices } = parts;
        let mut driver = Driver {
            clock: Clock::new(),
            control: Control::new(settings.clone(), seed),
            settings,
            shape,
            journal,
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
        let mut known = known;
        known.snapshot = true;
        driver.listed(now, known);
        for found in found {
            driver.restore(now, found);
        }
        driver
    }

    /// Takes up a message of the journal again. Whether it may still be sent is for the module to say.
    fn restore(&mut self, now: Nanos, found: Found) {
        let Found { id, taken, history } = found;
        let Taken { reference, class, dest, deadline, key, body } = taken;
        self.by_reference.insert(reference.clone(), id);
        let once = self.once(class as usize);
        // A class that the settings don't know any more can't be judged: the message is given up.
        let unknown = (class as usize >= self.settings.classes.len()).then_some(Answer::Failed);
        let answer = history.answer.or(unknown);
        let answered = answer.is_some();
        if let Some(answer) = answer {
            self.unsent.push_back(Notice { id, reference: reference.clone(), answer });
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
        self.held.insert(id, Held { reference, key, body, attempts: history.attempts, once, answered });
    }

    /// Runs until the process is to end.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let tick = self.settings.tick.max(1_000_000);
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
            }
            if self.done(now) {
                return;
            }
            let next = if due { asked + tick } else { self.wake.unwrap_or(Nanos::MAX).max(asked + tick) };
            // Never far off, so that notices, idle connections and the end are seen to.
            let pause = if self.stop.is_some() || !self.unsent.is_empty() { 20_000_000 } else { SWEEP };
            tokio::select! {
                biased;
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
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
                let Ended { outcome, report, link, .. } = ended;
                if let (Some(link), Some(known)) = (link, self.known.get(&endpoint)) {
                    self.keep(endpoint, known.address, link);
                }
                let took = took.as_nanos() as Nanos;
                self.control.on_event(now, Event::Probed { endpoint, outcome, took, report });
            }
            Input::Listed(list) => self.listed(now, list),
            Input::Noticed(ids) => ids.into_iter().for_each(|id| self.over(id)),
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
            let _ = reply.send(Verdict::Taken);
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
        let taken = Taken { reference, class: class as u32, dest, deadline, key, body };
        let (id, body) = match self.journal.take(wall_now(), &taken) {
            Ok(taken) => taken,
            Err(e) => {
                eprintln!("refused: {e}");
                let _ = reply.send(refused);
                return;
            }
        };
        if reply.send(Verdict::Taken).is_err() {
            self.note(|journal| journal.end(id));
            return;
        }
        let Taken { reference, key, .. } = taken;
        let once = self.once(class);
        self.by_reference.insert(reference.clone(), id);
        self.open += 1;
        self.held.insert(id, Held { reference, key, body, attempts: 0, once, answered: false });
        self.control.on_event(now, Event::Message { id, class, tenant: None, key: None, dest, time_left });
    }

    fn once(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_some_and(|class| class.effect == Effect::Unsafe)
    }

    /// Writes to the journal where failing costs no more than caution after a restart.
    fn note(&mut self, write: impl FnOnce(&mut Journal) -> Result<(), crate::journal::Error>) {
        if let Err(e) = write(&mut self.journal) {
            eprintln!("journal: {e}");
        }
    }

    /// Nothing more is owed for a message.
    fn over(&mut self, id: u64) {
        if let Some(held) = self.held.remove(&id) {
            self.by_reference.remove(&held.reference);
            self.open -= usize::from(!held.answered);
            self.note(|journal| journal.end(id));
        }
    }

    fn decide(&mut self, now: Nanos) {
        let mut actions = Vec::new();
        self.wake = self.wake.filter(|at| *at > now);
        self.control.on_event(now, Event::Wake);
        self.control.decide(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => self.begin(now, id, endpoint, timeout),
                Action::Refuse { id, wait } => {
                    self.answer(id, Answer::Refused { wait_ms: wait.div_ceil(1_000_000) });
                }
                Action::Fail { id } => self.answer(id, Answer::Failed),
                Action::Cancel { id, attempt } => {
                    let mut calls = self.out.values_mut().filter(|c| c.id == id && c.attempt == attempt);
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
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.answered) else { return };
        held.answered = true;
        // No attempt follows; one that is out has its own hold on it.
        held.body = Bytes::new();
        self.open -= 1;
        let reference = held.reference.clone();
        // On disk first: a message whose notice may be out is not sent again after a restart.
        self.note(|journal| journal.answer(id, answer));
        self.unsent.push_back(Notice { id, reference, answer });
        self.hand_on_notices();
    }

    fn begin(&mut self, now: Nanos, id: u64, endpoint: EndpointId, timeout: Nanos) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let (attempt, sure, call) = (held.attempts, held.once, self.next_call);
        held.attempts += 1;
        self.next_call += 1;
        let known = self.known.get(&endpoint);
        // An endpoint that is not known any more fails the check before the call is written.
        let (address, zone) =
            known.map_or((SocketAddr::from(([0, 0, 0, 0], 0)), 0), |known| (known.address, known.entry.zone));
        let until = now.saturating_add(timeout);
        let idle = self.calls.idle(endpoint, address, sure);
        let (begun, fresh, sent) = (false, idle.is_none(), now);
        let idle_for = idle.as_ref().map_or(Duration::ZERO, |(_, age)| *age);
        let call_off = None;
        let out =
            Call { id, attempt, endpoint, address, zone, sent, until, begun, fresh, idle_for, call_off };
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
        let (id, endpoint, address, zone) = (out.id, out.endpoint, out.address, out.zone);
        // Connecting takes time: by now the endpoint may drain, a wait may have been told, or the time of
        // the message, or of its key, may have run out.
        let sound = out.until > now && self.known.contains_key(&endpoint);
        let Some(held) = self.held.get(&id).filter(|_| sound && self.control.may_still_send(now, id)) else {
            self.keep(endpoint, address, link);
            return self.settle(now, call, Outcome::NotSent);
        };
        let within = Duration::from_nanos(out.until - now);
        let request = request(address, &held.reference, held.key.as_ref(), held.body.clone(), within);
        let Some(request) = request else { return self.settle(now, call, Outcome::NotSent) };
        if !out.begun {
            // On disk before the first byte: an attempt that the journal does not know of could go twice.
            if let Err(e) = self.journal.begin(id, wall_now(), zone as u32) {
                eprintln!("journal: {e}");
                return self.settle(now, call, Outcome::NotSent);
            }
            out.begun = true;
        }
        let (call_off, called_off) = oneshot::channel();
        out.call_off = Some(call_off);
        self.calls.send(call, link, request, self.clock.instant(out.until), called_off);
    }

    fn ended(&mut self, now: Nanos, call: u64, ended: Ended) {
        let Ended { outcome, over, report, link } = ended;
        let Some(out) = self.out.remove(&call) else { return };
        if let Some(link) = link {
            self.keep(out.endpoint, out.address, link);
        }
        if outcome == Outcome::Reset && !out.fresh && now.saturating_sub(out.sent) < AT_ONCE {
            self.calls.was_given_up(out.endpoint, out.idle_for);
        }
        // A connection that was reset says nothing of the others: each is looked at before it is used.
        if outcome == Outcome::TimedOut {
            self.calls.forget(out.endpoint);
        }
        let Call { id, attempt, endpoint, sent, begun, .. } = out;
        let answered = self.held.get(&id).is_none_or(|held| held.answered);
        if over {
            self.over(id);
        } else if begun && self.held.contains_key(&id) {
            self.note(|journal| journal.outcome(id, outcome.never_ran()));
        }
        let (took, closed) = (now.saturating_sub(sent), over || answered);
        let event = Event::Outcome { id, attempt, endpoint, outcome, took, closed, report };
        self.control.on_event(now, event);
    }

    /// Keeps a connection for the next call, unless none goes there any more.
    fn keep(&mut self, endpoint: EndpointId, address: SocketAddr, link: Link) {
        if self.known.get(&endpoint).is_some_and(Known::ready) {
            self.calls.keep(endpoint, address, link);
        }
    }

    /// The outcome of a call of which nothing was written.
    fn settle(&mut self, now: Nanos, call: u64, outcome: Outcome) {
        self.ended(now, call, Ended { outcome, over: false, report: None, link: None });
        // Guards against an outcome that is told but not acted on until something else happens.
        self.wake = Some(now);
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
