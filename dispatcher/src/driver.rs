//! The loop round the core: what happens goes in, and what the core wants done is carried out here, in its order.
//! Nothing is decided here, and nothing is known of a message.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use millpost::LearnedState;
use millpost::api::{Event, Nanos, Outcome, Settings, State, Weights};
use millpost_audit::entry::Author;
use millpost_core::{
    CallEnd, ClassCounts, Core, CoreSnapshot, Effect, Moment, ReplyId, SNAPSHOT_VERSION, Submission,
    SubmitReply,
};
use millpost_handover::{Does, Frame, Giver, Heard, Moving};
use millpost_net::connection_limiter::ConnectionLimiter;
use millpost_net::meter::{Part, within};
use millpost_settings::{Classes, Shape};
use millpost_store::ledger::RecoveredMessage;
use millpost_store::{Disk, Ledger, Seq};
use millpost_tier::records::RecordKind;
use millpost_tier::{ActiveVersions, Fault, Kind, RollAction, Rules, TierConfig};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;
use xxhash_rust::xxh3::xxh3_64;

use crate::book::Book;
use crate::calls::{self, Calls};
use crate::clock::Clock;
use crate::config::Config;
use crate::console;
use crate::cordons::{Change, Cordons};
use crate::discovery::List;
use crate::handover::{Heir, Line, WORD_WITHIN};
use crate::hands::{Before, Done, Hands};
use crate::input::{Input, Settle};
use crate::intake::{Asked, Front, Phase};
use crate::notices::{self, Notice};
use crate::opening::{self, Opening};
use crate::options::Recording;
use crate::peers::sharing::Sharing;
use crate::peers::{Note, Peers};
use crate::record::Record;
use crate::roster::Roster;
use crate::versions;

/// The descriptors of the process.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// For clients.
    pub clients: usize,
    /// For calls and all else.
    pub rest: usize,
}

impl Descriptors {
    /// Half of them are for clients; the rest for calls, and a few for all else.
    pub fn new(all: usize, console: bool) -> Self {
        let clients = (all / 2).max(1);
        let staff = if console { console::MOST + 4 } else { 0 };
        Descriptors { clients, rest: all.saturating_sub(clients + 32 + staff) }
    }
    /// Idle connections to endpoints beside this many calls, of which each may need two for a moment.
    pub fn idle(self, slots: usize) -> usize {
        self.rest.saturating_sub(2 * slots).max(8)
    }
}

pub struct Driver {
    clock: Clock,
    tick: Nanos,
    core: Core,
    record: Record,
    roster: Roster,
    told: mpsc::Sender<Input>,
    calls: Calls<Input>,
    peers: Option<Peers>,
    sharing: Option<Sharing>,
    /// What is acted on, where no roll keeps it.
    standing: ActiveVersions,
    /// What is decided is recorded.
    book: Option<Book>,
    again: Again,
    name: String,
    notices: mpsc::Sender<Notice>,
    /// Notices that found no room in the queue yet.
    unsent: VecDeque<Notice>,
    /// Clients that wait for an answer.
    replies: HashMap<ReplyId, Waits>,
    next_reply: ReplyId,
    /// The classes that messages are of.
    classes: Classes,
    front: watch::Sender<Front>,
    descriptors: Descriptors,
    has_console: bool,
    shared: console::Shared,
    /// Yeses that wait for what they stand for to last.
    granted: VecDeque<(Seq, oneshot::Sender<Result<(), String>>)>,
    /// The configuration in force, the file as it stands, and the version of the list.
    text: String,
    index: Option<u64>,
    /// The process before this one, while it finishes what it has.
    before: Option<Before>,
    heir: Option<Heir>,
    opening: Opening,
    station: Station,
    room: Arc<ConnectionLimiter>,
}

/// Where an answer goes.
enum Waits {
    /// To a client of this process.
    Here(oneshot::Sender<SubmitReply>),
    /// To one of the process before it.
    There(u64),
}

/// What asks this dispatcher's own sources again.
#[derive(Clone, Debug, Default)]
pub struct Again {
    /// The agent of discovery, for the whole list.
    pub list: Arc<Notify>,
    /// The file with the settings.
    pub settings: Arc<Notify>,
}

/// How this process stands in the service, and the tasks that only an owner has.
pub struct Station {
    pub ready: watch::Sender<bool>,
    pub phase: watch::Sender<Phase>,
    pub tasks: Vec<AbortHandle>,
}

/// What was taken over from the process before this one.
pub struct Taken {
    pub line: Line,
    pub moving: Box<Moving>,
    /// What it knew and the settings it had in force, where they could be read.
    pub known: Option<(CoreSnapshot, Config)>,
}

/// What came of giving the work away.
enum Given {
    /// Nobody took it.
    Kept(Box<Driver>),
    /// Another has it.
    Away(Box<Hands>),
    /// Neither: this process is no owner, and nobody's hands.
    Lost(Stopped),
}

/// Why the driver stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// It was told to, or all that it had left to do for another owner is done.
    Done,
    /// The process is to be started afresh from the store, as after a crash.
    StartAfresh,
}

/// What the driver is made of.
pub struct Parts {
    pub settings: Settings,
    pub shape: Shape,
    pub seed: u64,
    pub ledger: Ledger<Disk>,
    pub found: Vec<RecoveredMessage>,
    /// Highest time that the store knows of, by the wall clock.
    pub latest: Nanos,
    pub told: mpsc::Sender<Input>,
    /// Where the list comes from.
    pub source: SocketAddr,
    pub known: List,
    pub calls: Calls<Input>,
    pub peers: Option<Peers>,
    /// The terms on which something is shared with them, if anything is.
    pub terms: Option<TierConfig>,
    /// The rules on who is behind, and where decisions are recorded, if they are.
    pub rules: Rules,
    pub recording: Option<Recording>,
    /// A digest of the settings.
    pub digest: u32,
    /// What the dispatcher is called.
    pub name: String,
    pub again: Again,
    pub notices: mpsc::Sender<Notice>,
    /// There is a console, which is told from here.
    pub has_console: bool,
    pub shared: console::Shared,
    /// What clients may name, for the intake.
    pub front: watch::Sender<Front>,
    pub descriptors: Descriptors,
    /// The configuration, the file as it stands.
    pub text: String,
    pub taken: Option<Taken>,
    pub opening: Opening,
    pub station: Station,
    pub room: Arc<ConnectionLimiter>,
}

/// What all dispatchers know an endpoint by.
fn place(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Shortest time between two rounds. What waits a whole tick goes out in bursts, for which connections must be opened.
const ROUND: Nanos = 1_000_000;
/// Inputs that are taken before it is looked again whether something is due.
const BATCH: usize = 32;
const SWEEP: Nanos = 1_000_000_000;
/// The console has figures that are no older than this while anything happens.
const FIGURES: Nanos = 100_000_000;
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
            terms,
            rules,
            recording,
            digest,
            name,
            again,
            notices,
            shared,
            front,
            descriptors,
            has_console,
            text,
            taken,
            opening,
            station,
            room,
        } = parts;
        let rated = settings.weights != Weights::Unknown;
        let cordons = Cordons::noted(ledger.cordons());
        // Positions of before are those that were noted; where none were, they are the configuration's.
        let mut classes = ledger.classes().and_then(|noted| Classes::read(&noted)).unwrap_or_default();
        let mut before = None;
        let (mut core, mut moved, mut clock) = (None, None, Clock::new(latest));
        if let Some(Taken { line, moving, known }) = taken {
            let mut written = BTreeSet::new();
            if let Some((state, config)) = known {
                written.extend(moving.written.iter().copied());
                let mut bodies: HashMap<_, _> =
                    found.iter().map(|found| (found.id, found.message.body.clone())).collect();
                let body = |id| bodies.remove(&id).unwrap_or_default();
                core = Some(Core::from_snapshot(classes.settings(config.settings), state, &written, body));
                clock = Clock::going_on(moving.now, moving.wall);
                let digest = crate::config::digest(&config.text);
                moved = Some((moving, config.shape, config.text.to_string(), digest));
            }
            before = Some(Before::new(line.run(told.clone(), Input::Before), written));
        }
        let core = core.unwrap_or_else(|| {
            let open = found.iter().map(|found| found.message.class as usize).collect();
            classes.adopt(&settings, &shape, Some(&open));
            Core::new(classes.settings(settings.clone()), seed, ledger.next_id())
        });
        let (own, own_text) = ((settings, shape.clone()), text);
        let (shape, text, in_force) =
            moved.as_ref().map_or((shape, own_text.clone(), digest), |(_, shape, text, digest)| {
                (shape.clone(), text.clone(), *digest)
            });
        front.send_replace(Front::new(&classes));
        let mut driver = Driver {
            clock,
            tick: own.0.tick.min(ROUND),
            core,
            record: Record::new(ledger),
            roster: Roster::new(shape, rated, source, cordons),
            told,
            calls,
            peers,
            sharing: None,
            standing: ActiveVersions::default(),
            book: None,
            again,
            name,
            notices,
            unsent: VecDeque::new(),
            replies: HashMap::new(),
            next_reply: 0,
            classes,
            front,
            descriptors,
            has_console,
            shared,
            granted: VecDeque::new(),
            text,
            index: None,
            before,
            heir: None,
            opening,
            station,
            room,
        };
        let at = driver.clock.moment();
        if let Some(terms) = terms {
            let of = &own.0;
            let (me, all) = (of.me as u16, of.dispatchers as u16);
            let mut sharing = Sharing::begin(at, terms, me, all, seed, &mut driver.record);
            sharing.settle_on(of.slots);
            if rules.enabled {
                let begun = versions::begin(at, in_force, &mut driver.record);
                sharing.keep_roll(at, rules, begun, seed, &driver.record);
            }
            driver.sharing = Some(sharing);
            driver.core.report_call_ends();
        }
        if let Some(recording) = recording {
            driver.record_in(at, recording, &own.0, in_force);
            let book = driver.book.as_mut();
            book.into_iter()
                .for_each(|book| found.iter().for_each(|f| book.found(f.id, &f.message.reference)));
        }
        if let Some((moving, ..)) = moved {
            driver.index = moving.index;
            // What can't be read is heard from discovery again, whole; until then nothing new has an address.
            if !driver.roster.read(&moving.roster) {
                eprintln!("handover: the list of endpoints can't be read");
            }
            driver.told_of(at, true, false);
            // Its own file is in force from now on.
            let (settings, shape) = own;
            if let Err(why) = driver.settle(at, settings, shape, own_text, digest) {
                eprintln!("handover: the settings of before stay: {why}");
            }
        } else {
            // Where it can't be noted, it is as good as the configuration until that changes.
            driver.record.note_classes(at, &driver.classes.write());
            // Noted too: what discovery tells later are changes of it.
            let known = driver.roster.newest(&driver.record, known);
            driver.listed(at, known, false);
            driver.recall(at);
            driver.core.resume(at);
            for found in found {
                driver.core.restore(at, found);
            }
        }
        driver.carry(at);
        driver
    }

    /// Gives the module what it had learnt before the restart.
    fn recall(&mut self, at: Moment) {
        let mut old = Vec::new();
        for (dest, route, noted, bytes) in self.record.ledger().learned() {
            let age = at.wall.saturating_sub(noted);
            if age > FORGET_LESSON {
                old.push((dest, route));
            } else {
                self.core.restore_learned(at, &LearnedState { dest, route, bytes }, age);
            }
        }
        self.record.forget_lessons(at, old);
    }

    /// Runs until the process is to end.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) -> Stopped {
        loop {
            let Some(heir) = self.serve(&mut inputs).await else {
                let at = self.clock.moment();
                self.book.iter_mut().for_each(|book| book.end(at));
                return Stopped::Done;
            };
            match self.give(heir).await {
                Given::Kept(driver) => self = *driver,
                Given::Away(hands) => {
                    return match hands.run(&mut inputs).await {
                        Done::Finished => Stopped::Done,
                        Done::OwnerGone => Stopped::StartAfresh,
                    };
                }
                Given::Lost(stopped) => return stopped,
            }
        }
    }

    /// Runs until the process is to end, or until another takes the work over.
    async fn serve(&mut self, inputs: &mut mpsc::Receiver<Input>) -> Option<Heir> {
        let (mut asked, mut news, mut swept, mut told) = (0, true, self.clock.moment().now, 0);
        loop {
            let at = self.clock.moment();
            news |= self.share(at);
            let due = news || self.core.next_wake().is_some_and(|wake| wake <= at.now);
            if due && at.now >= asked + self.tick {
                (asked, news) = (at.now, false);
                within(Part::Module, || self.core.decide(at));
                self.carry(at);
                continue;
            }
            self.hand_on_notices();
            self.grant();
            if self.has_console && at.now > told + FIGURES {
                told = at.now;
                self.tell_figures(at);
            }
            if at.now > swept + SWEEP {
                swept = at.now;
                self.calls.sweep();
                self.record.tidy(at);
                self.core.save_learned(at, false);
            }
            self.core.retry_unwritten();
            self.carry(at);
            self.sync(at);
            if self.core.may_exit(at.now) {
                return None;
            }
            if let Some(heir) = self.heir.take() {
                return Some(heir);
            }
            let wake = self.core.next_wake().unwrap_or(Nanos::MAX);
            let next = if due { asked + self.tick } else { wake.max(asked + self.tick) };
            let next = self.sharing.as_ref().map_or(next, |sharing| next.min(sharing.due()));
            // Nothing of what was decided goes out before the loop waits.
            self.book.iter_mut().for_each(|book| book.write(at));
            // Never far off, so that notices, idle connections and the end are seen to.
            let soon = self.core.needs_polling() || !self.unsent.is_empty() || self.record.waits();
            let pause = if soon { 20_000_000 } else { SWEEP };
            tokio::select! {
                biased;
                input = inputs.recv() => {
                    let input = input?;
                    news |= self.take(input);
                    // What has come by now is taken in one go: what follows once a round is done once for all of it.
                    for _ in 1..BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        news |= self.take(input);
                    }
                }
                () = sleep_until(self.clock.instant(next.min(at.now + pause))) => {}
            }
        }
    }

    fn hand_on_notices(&mut self) {
        while let Some(notice) = self.unsent.pop_front() {
            if let Err(e) = self.notices.try_send(notice) {
                self.unsent.push_front(e.into_inner());
                return;
            }
        }
    }

    /// Takes in what happened. Whether the module is to decide on it: what others share is no reason for that, unless
    /// something comes of it.
    fn take(&mut self, input: Input) -> bool {
        let at = self.clock.moment();
        let counts = !matches!(input, Input::Shared(_));
        match input {
            Input::Client(asked) => self.asked(at, asked),
            Input::Calls(event) => self.called(at, event),
            Input::Listed(list) => self.listed(at, list, true),
            Input::Noticed(notices::Taken(ids)) => {
                ids.into_iter().for_each(|id| self.core.notice_accepted(at, id))
            }
            Input::Synced(synced) => {
                for behind in self.record.synced(at, synced) {
                    self.core.abandon(at, behind);
                }
            }
            Input::Note(Note { from, bytes }) => self.core.on_event(at, Event::PeerMessage { from, bytes }),
            Input::Shared(frame) => {
                let book = self.book.as_mut();
                if let Some(sharing) = &mut self.sharing {
                    sharing.heard(at, &frame, book);
                }
            }
            Input::Console(asked) => self.staff(at, asked),
            Input::Settle(Settle { settings, shape, text, digest, done }) => {
                let _ = done.send(self.settle(at, settings, shape, text, digest));
            }
            Input::TurnedDown(digest) => self.sharing.iter_mut().for_each(|sharing| sharing.refused(digest)),
            Input::Heir(heir) => self.asked_for_work(heir),
            Input::Before(said) => self.before_said(at, said),
            // Nobody comes after an owner.
            Input::After(_) => {}
            Input::Stop { after } => self.core.stop(at, after.as_nanos() as Nanos),
        }
        self.carry(at);
        counts
    }

    /// What is shared by now: whether the module heard something.
    fn share(&mut self, at: Moment) -> bool {
        let (Some(sharing), Some(peers)) = (&mut self.sharing, &self.peers) else { return false };
        sharing.tick(at, &self.core, self.book.as_mut());
        let news = sharing.carry(at, &mut self.core, &mut self.record, peers, &mut self.book);
        let acts = sharing.take_acts();
        let acted = !acts.is_empty();
        acts.into_iter().for_each(|act| self.act(at, act));
        if acted {
            self.carry(at);
        }
        self.stand(at);
        news || acted
    }

    /// What the roll wants done.
    fn act(&mut self, at: Moment, act: RollAction) {
        let Some(sharing) = &mut self.sharing else { return };
        match act {
            RollAction::RefreshSource(Kind::List) => {
                eprintln!(
                    "roll: most have left the list that is acted on here; the agent is asked for all of it"
                );
                self.again.list.notify_one();
            }
            RollAction::RefreshSource(kind) => {
                eprintln!(
                    "roll: most have left the {} that are acted on here; the file is read again",
                    kind.name()
                );
                self.again.settings.notify_one();
            }
            RollAction::ShutOut(kind) => {
                eprintln!("roll: shut out: most find this dispatcher behind on its {}", kind.name());
                self.core.refuse_new(!sharing.serves());
                self.shared.figures().shut_out = Some(kind.name());
                self.book.iter_mut().for_each(|book| book.service(at, Some(kind)));
            }
            RollAction::Readmit => {
                eprintln!("roll: it has caught up, and takes messages again");
                self.core.refuse_new(false);
                self.shared.figures().shut_out = None;
                self.book.iter_mut().for_each(|book| book.service(at, None));
            }
            RollAction::RecordsChanged => sharing.note(at, &mut self.record),
            RollAction::Hold(place, RecordKind::Cordon) => {
                let name = sharing.endpoint(place).and_then(|e| self.roster.name(e)).map(str::to_owned);
                let Some(name) = name else { return };
                if self.roster.asked(&name, true) == Ok(Change::Out)
                    && self.record.cordon(at, &name, true).is_some()
                {
                    eprintln!("roll: {name} is out: the staff took it out at another dispatcher");
                    let entry = self.roster.make(&name, Change::Out);
                    self.changed(at, entry, false);
                }
            }
            RollAction::Hold(place, RecordKind::Drain) => {
                let Some(endpoint) = sharing.endpoint(place) else { return };
                let entry = self.roster.hold(endpoint, true);
                self.changed(at, entry, false);
            }
            RollAction::Release(place) => {
                let Some(endpoint) = sharing.endpoint(place) else { return };
                let entry = self.roster.hold(endpoint, false);
                self.changed(at, entry, true);
            }
        }
    }

    /// An endpoint is so from now on, by hand or by hearsay.
    fn changed(&mut self, at: Moment, entry: Option<millpost::api::Entry>, back: bool) {
        self.calls.retain(|endpoint| self.roster.ready(endpoint));
        let Some(entry) = entry else { return };
        self.core.listed(at, false, vec![entry]);
        if back && entry.state == State::Ready {
            self.core.endpoint_returned(at, entry.endpoint);
        }
        if let (Some(book), Some(state)) = (&mut self.book, self.roster.state(entry.endpoint)) {
            let name = self.roster.name(entry.endpoint).unwrap_or_default();
            book.state(at, place(name), entry.dest, state);
        }
    }

    /// What is acted on by now is what the next decisions are made on.
    fn stand(&mut self, at: Moment) {
        if let Some(book) = &mut self.book {
            let rolled = self.sharing.as_ref().and_then(Sharing::acts_on);
            book.acts_on(at, rolled.unwrap_or(self.standing));
        }
    }

    /// From now on decisions are recorded.
    fn record_in(&mut self, at: Moment, recording: Recording, settings: &Settings, digest: u32) {
        if self.sharing.is_none() {
            let incarnation = self.record.ledger().incarnation().saturating_add(1);
            self.record.live(at, incarnation);
        }
        self.standing = versions::begin(at, digest, &mut self.record).0;
        let incarnation = self.record.ledger().incarnation();
        (self.standing.incarnation, self.standing.epoch) = (incarnation, incarnation);
        let author = Author {
            number: settings.me as u16,
            of: settings.dispatchers as u16,
            name: self.name.clone(),
            incarnation,
            drain_ms: (settings.rules.drain_grace / 1_000_000) as u32,
        };
        let mut book = Book::open(at, recording, author);
        if let Some(sharing) = &mut self.sharing {
            sharing.trace();
        }
        book.acts_on(at, self.sharing.as_ref().and_then(Sharing::acts_on).unwrap_or(self.standing));
        self.book = Some(book);
    }

    /// The list is another, or was told once more; `told` where the agent did so.
    fn told_of(&mut self, at: Moment, whole: bool, told: bool) {
        if let Some(sharing) = &mut self.sharing {
            sharing.listed(at, &self.roster);
            sharing.numbered(at, &self.roster, self.index, told, &mut self.record);
        }
        if let Some(book) = &mut self.book {
            let roster = &self.roster;
            let all =
                roster.places().filter_map(|(id, name, e)| Some((place(name), e.dest, roster.state(id)?)));
            book.listed(at, whole, all);
            self.standing.set_version(Kind::List, roster.digest());
            self.standing.agent = millpost_tier::versions::digest(roster.source().as_bytes());
            self.standing.index = self.index.unwrap_or(0);
        }
        self.stand(at);
    }

    fn asked(&mut self, at: Moment, asked: Asked) {
        let Asked { handed, came, reply } = asked;
        // A client that left before its answer voids the id: it may be on its way elsewhere.
        if reply.is_closed() {
            return;
        }
        self.handed(at, handed, came.elapsed(), Waits::Here(reply));
    }

    fn handed(&mut self, at: Moment, handed: Submission, ago: Duration, waits: Waits) {
        let number = self.next_reply;
        self.next_reply += 1;
        self.replies.insert(number, waits);
        self.book.iter_mut().for_each(|book| book.handed(number, &handed.reference));
        let held = self.core.holds(&handed.reference);
        let ended = if held { None } else { self.record.final_answer(&handed.reference) };
        let time_left = handed.time_left.saturating_sub(ago.as_nanos() as Nanos);
        // A copy, so that no buffer that it was read into is kept for it.
        let body = Bytes::copy_from_slice(&handed.body);
        let dest = handed.dest;
        self.core.submit(at, Submission { time_left, body, ..handed }, ended, number);
        self.sharing.iter_mut().for_each(|sharing| sharing.wanted(at, &self.core, dest));
    }

    fn called(&mut self, at: Moment, event: calls::Event) {
        match event {
            calls::Event::Connected { call, link } => {
                if self.calls.connected(call, link) {
                    self.core.connected(at, call);
                } else {
                    self.core.unreachable(at, call);
                }
            }
            calls::Event::Unsent { call } => {
                let fresh = self.calls.unsent(call);
                self.core.connection_lost(at, call, fresh);
            }
            calls::Event::Ended { call, ended, link } => self.ended(at, call, ended, link),
            calls::Event::Probed { endpoint, took, ended, link } => {
                let address = self.roster.address(endpoint).filter(|_| self.roster.ready(endpoint));
                if let (Some(link), Some(address)) = (link, address) {
                    self.calls.keep(endpoint, address, link);
                }
                let CallEnd { ends, report, .. } = ended;
                let (outcome, took) = (ends.of(0).outcome, took.as_nanos() as Nanos);
                self.core.on_event(at, Event::ProbeEnded { endpoint, outcome, took, report });
            }
        }
    }

    fn ended(&mut self, at: Moment, call: u64, ended: CallEnd, link: Option<millpost_net::link::Link>) {
        self.calls.over(call, &ended.ends, link, |endpoint| self.roster.ready(endpoint));
        within(Part::Module, || self.core.ended(at, call, ended));
    }

    /// Takes in what discovery says.
    fn listed(&mut self, at: Moment, list: List, told: bool) {
        // An agent that was started anew counts by other numbers, and is asked for its whole list at once.
        let older = !list.snapshot && self.index.is_some_and(|index| list.index < index);
        let rolled = self.sharing.as_ref().is_some_and(|sharing| sharing.acts_on().is_some());
        if older && rolled && !self.commits(Fault::OldList) {
            return;
        }
        self.index = Some(list.index);
        let (whole, mut entries) = self.roster.listed(at, &mut self.record, list);
        if self.commits(Fault::CallDrained) {
            entries.iter_mut().filter(|e| e.state == State::Draining).for_each(|e| e.state = State::Ready);
        }
        // Connections to an endpoint that takes nothing more are closed. They would hold descriptors here and
        // places there until they are too old.
        self.calls.retain(|endpoint| self.roster.ready(endpoint));
        self.core.listed(at, whole, entries);
        self.told_of(at, whole, told);
    }

    /// A fault that a test planted.
    fn commits(&self, fault: Fault) -> bool {
        self.sharing.as_ref().is_some_and(|sharing| sharing.has(fault))
    }

    /// Somebody asks for the work. It is given away between two rounds, with nothing under way that hangs on the store,
    /// and not while this process ends or has another before it.
    fn asked_for_work(&mut self, mut heir: Heir) {
        let busy =
            self.heir.is_some() || self.before.is_some() || !self.granted.is_empty() || self.record.waits();
        if busy || !self.core.is_quiescent() {
            tokio::spawn(async move {
                let _ = heir.0.say(&Frame::No("it is busy".to_owned())).await;
            });
        } else {
            self.heir = Some(heir);
        }
    }

    /// Gives the work away: the store first, then all that is known.
    async fn give(mut self, Heir(mut line): Heir) -> Given {
        let (mut giver, at) = (Giver::default(), self.clock.moment());
        let mark = self.record.ledger().owner();
        let fit = self.core.is_quiescent() && !self.record.waits();
        let core = postcard::to_stdvec(&self.core).ok().filter(|_| fit);
        let (Some(core), Does::Offer) = (core, giver.heard(Heard::Asked { fit, mark })) else {
            let _ = line.say(&Frame::No("it is busy".to_owned())).await;
            return Given::Kept(Box::new(self));
        };
        let moving = Moving {
            layout: SNAPSHOT_VERSION,
            now: at.now,
            wall: at.wall,
            core: core.into(),
            roster: self.roster.write().into(),
            written: self.calls.written().collect(),
            config: self.text.clone(),
            source: self.roster.source().to_owned(),
            index: self.index,
            clients: self.room.taken(),
            mark,
        };
        eprintln!("handover: the work is offered");
        // The other one records from here on.
        self.book.iter_mut().for_each(|book| book.end(at));
        drop(self.record);
        let said = line.say(&Frame::Offer(Box::new(moving))).await;
        let heard = match said {
            Ok(()) => line.hear_within(WORD_WITHIN).await,
            Err(e) => Err(e),
        };
        if let Ok(Frame::Mine { afresh }) = heard {
            giver.heard(Heard::Mine);
            let say = line.run(self.told.clone(), Input::After);
            self.station.ready.send_replace(false);
            self.station.phase.send_replace(Phase::Handed);
            self.station.tasks.iter().for_each(AbortHandle::abort);
            eprintln!("handover: the work is another's");
            let mut hands = Hands::new(self.calls, say, self.room, self.shared);
            if afresh {
                hands.break_off();
            }
            return Given::Away(Box::new(hands));
        }
        // Gone, or too slow: it must not wake up later and take what is not offered any more.
        drop(line);
        giver.heard(Heard::TakerGone);
        let reopened = self.opening.open(opening::AWHILE);
        let mark = reopened.as_ref().ok().map(|(ledger, _)| ledger.owner());
        match (giver.heard(Heard::Reopened(mark)), reopened) {
            (Does::GoOn, Ok((ledger, _))) => {
                eprintln!("handover: nobody took the work; it goes on here");
                let at = self.clock.moment();
                self.book.iter_mut().for_each(|book| book.resume(at));
                Given::Kept(Box::new(Driver { record: Record::new(ledger), ..self }))
            }
            (Does::StartAfresh, _) => Given::Lost(Stopped::StartAfresh),
            (_, opened) => {
                if let Err(e) = opened {
                    eprintln!("handover: {e}");
                }
                Given::Lost(Stopped::Done)
            }
        }
    }

    /// What the process before this one says.
    fn before_said(&mut self, at: Moment, said: Option<Frame>) {
        let Some(before) = &mut self.before else { return };
        match said {
            Some(Frame::Handed { number, handed, .. }) if handed.class >= self.classes.all().count() => {
                before.verdict(number, SubmitReply::UnknownDestination, None);
            }
            Some(Frame::Handed { number, ago, handed }) => {
                self.handed(at, *handed, Duration::from_nanos(ago), Waits::There(number));
            }
            Some(Frame::Heard { number, heard }) => {
                if let Some(id) = before.unheard.remove(&number) {
                    self.core.replied(at, id, heard);
                }
            }
            Some(Frame::Ended { call, ended }) if before.written.remove(&call) => {
                self.core.ended(at, call, ended);
            }
            Some(Frame::Unsent { call, fresh }) if before.written.remove(&call) => {
                self.core.connection_lost(at, call, fresh);
            }
            Some(Frame::Maintain { number, id, out }) => {
                let (done, answer) = oneshot::channel();
                before.maintained(number, answer);
                self.staff(at, console::Asked::Maintain { id, out, done });
            }
            Some(_) => {}
            None => {
                eprintln!("handover: the process of before is gone");
                let (written, unheard) =
                    (std::mem::take(&mut before.written), std::mem::take(&mut before.unheard));
                self.before = None;
                self.core.calls_lost(at, &written);
                // They may have heard, and then hand nothing in again.
                unheard.into_values().for_each(|id| self.core.replied(at, id, true));
                self.room.set_limit(self.descriptors.clients);
            }
        }
    }

    /// Puts settings in force, all in one step or not at all. What is open keeps the class that it was taken under.
    fn settle(
        &mut self,
        at: Moment,
        settings: Settings,
        shape: Shape,
        text: String,
        digest: u32,
    ) -> Result<(), &'static str> {
        let mut classes = self.classes.clone();
        classes.adopt(&settings, &shape, None);
        // Before any message is of a new class.
        if !self.record.note_classes(at, &classes.write()) {
            return Err("the store takes no writes");
        }
        let settings = classes.settings(settings);
        self.classes = classes;
        self.front.send_replace(Front::new(&self.classes));
        self.tick = settings.tick.min(ROUND);
        let idle = self.descriptors.idle(settings.slots);
        self.calls.settle_on(idle, settings.keepalive, settings.connect_timeout);
        self.roster.settle_on(shape);
        self.sharing.iter_mut().for_each(|sharing| sharing.settle_on(settings.slots));
        self.core.apply_settings(at, settings);
        self.text = text;
        if let Some(sharing) = &mut self.sharing {
            sharing.moves(at, Kind::Settings, digest);
        }
        if self.sharing.as_ref().is_some_and(|sharing| sharing.acts_on().is_some()) || self.book.is_some() {
            versions::settled(at, digest, &mut self.record);
        }
        self.standing.set_version(Kind::Settings, digest);
        self.stand(at);
        Ok(())
    }

    /// Does what the staff asks. From the yes on an endpoint drains, also after a restart.
    fn staff(&mut self, at: Moment, asked: console::Asked) {
        let (id, out, done) = match asked {
            console::Asked::Figures { done } => {
                self.tell_figures(at);
                let _ = done.send(());
                return;
            }
            console::Asked::Standing { done } => {
                let name = &self.name;
                let _ = done.send(self.sharing.as_mut().and_then(|sharing| sharing.standing(at, name)));
                return;
            }
            console::Asked::Maintain { id, out, done } => (id, out, done),
        };
        // Who has given up waiting was told no.
        if done.is_closed() {
            return;
        }
        let noted = match self.roster.asked(&id, out) {
            Err(why) => Err(why),
            // An earlier call may still wait for its write to last.
            Ok(Change::None) => Ok(self.granted.back().map_or(0, |(seq, _)| *seq)),
            Ok(change) => match self.record.cordon(at, &id, out) {
                None => Err("the store takes no writes"),
                Some(seq) => {
                    let entry = self.roster.make(&id, change);
                    self.changed(at, entry, change == Change::Back);
                    if let Some(sharing) = &mut self.sharing {
                        sharing.cordoned(at, &id, out);
                    }
                    eprintln!("console: {id} is {}", if out { "out" } else { "back" });
                    Ok(seq)
                }
            },
        };
        match noted {
            Ok(seq) => self.granted.push_back((seq, done)),
            Err(why) => drop(done.send(Err(why.to_owned()))),
        }
        self.grant();
    }

    /// Says yes to what lasts by now.
    fn grant(&mut self) {
        while let Some((_, done)) = self.granted.pop_front_if(|(seq, _)| self.record.lasts(*seq)) {
            let _ = done.send(Ok(()));
        }
    }

    /// Brings the console's figures up to date.
    fn tell_figures(&mut self, at: Moment) {
        let down = self.roster.all().filter(|endpoint| self.core.avoids(at.now, *endpoint)).count();
        let mut figures = self.shared.figures();
        figures.classes.values_mut().for_each(|count| *count = ClassCounts::default());
        let tally = self.core.outcome_counts();
        for (class, (name, _)) in self.classes.all().enumerate() {
            let count = tally.count(class);
            match figures.classes.get_mut(name) {
                Some(sum) => *sum += count,
                None => drop(figures.classes.insert(name.to_owned(), count)),
            }
        }
        (figures.inflight, figures.calls) = (self.core.unanswered(), self.calls.sent().count());
        (figures.listed, figures.down) = (self.roster.all().len(), down);
        if let (Some(sharing), Some(peers)) = (&self.sharing, &self.peers) {
            figures.shared = Some(sharing.figures(at, peers));
        }
        figures.audited = self.book.as_ref().and_then(Book::figures);
    }

    /// Has what was written made to last, where that takes a sync: one at a time, for all that waits by then.
    fn sync(&mut self, at: Moment) {
        if let Some(job) = self.record.sync_job(at) {
            let told = self.told.clone();
            tokio::spawn(async move {
                if let Ok(synced) = tokio::task::spawn_blocking(|| job.run()).await {
                    let _ = told.send(Input::Synced(synced)).await;
                }
            });
        }
    }

    /// Carries out what the core wants, and what waited for a write that lasts by now.
    fn carry(&mut self, at: Moment) {
        loop {
            while let Some(effect) = self.core.effect() {
                self.carry_out(at, effect);
            }
            let Some(ready) = self.record.ready() else { return };
            self.core.run_deferred(at, ready);
        }
    }

    fn carry_out(&mut self, at: Moment, effect: Effect) {
        match effect {
            Effect::Append(change, behind) => match self.record.append(at, &change) {
                Some(seq) => {
                    self.book.iter_mut().for_each(|book| book.changed(at, &change));
                    behind.into_iter().for_each(|behind| self.record.put(Some(seq), behind));
                }
                None => self.core.write_failed(at, &change, behind),
            },
            Effect::AfterWrites(behind) => self.record.put(None, behind),
            Effect::Reply { reply, verdict, taken } => {
                self.book.iter_mut().for_each(|book| book.replied(at, reply, verdict, taken.is_some()));
                let heard = match self.replies.remove(&reply) {
                    Some(Waits::Here(reply)) => reply.send(verdict).is_ok(),
                    Some(Waits::There(number)) => match &mut self.before {
                        // Whether it heard is told later.
                        Some(before) => return before.verdict(number, verdict, taken),
                        // It may have.
                        None => true,
                    },
                    None => false,
                };
                if let Some(id) = taken {
                    within(Part::Module, || self.core.replied(at, id, heard));
                }
            }
            Effect::Connect { call, endpoint, sure, fresh, until } => {
                self.book.iter_mut().for_each(|book| book.decided(at, call));
                let left = Duration::from_nanos(until.saturating_sub(at.now));
                let Some(address) = self.roster.address(endpoint) else {
                    return self.core.unreachable(at, call);
                };
                if self.calls.connect(call, endpoint, address, sure, fresh, left) {
                    self.core.connected(at, call);
                }
            }
            Effect::Write { call, endpoint, sure, until, messages } => {
                self.sharing.iter_mut().for_each(|sharing| sharing.sent(at, endpoint));
                if let Some(book) = &mut self.book {
                    let name = self.roster.name(endpoint).map_or(0, place);
                    let dest = self.roster.dest(endpoint);
                    book.written(at, call, (name, dest), &messages);
                }
                let left = Duration::from_nanos(until.saturating_sub(at.now));
                if !self.calls.write(call, messages, sure, self.clock.instant(until), left) {
                    self.core.ended(at, call, CallEnd::without_answer(Outcome::NotSent));
                }
            }
            Effect::Release { call } => {
                self.book.iter_mut().for_each(|book| book.dropped(call));
                self.calls.release(call, |endpoint| self.roster.ready(endpoint));
            }
            Effect::CancelCall { call } => match &self.before {
                Some(before) if before.written.contains(&call) => before.say(Frame::CallOff { call }),
                _ => self.calls.call_off(call),
            },
            Effect::Probe { endpoint } => {
                if let Some(address) = self.roster.address(endpoint) {
                    self.calls.probe(endpoint, address);
                }
            }
            Effect::Broadcast { bytes } => self.peers.iter().for_each(|peers| peers.tell(&bytes)),
            Effect::Notice { id, reference, answer } => {
                self.unsent.push_back(Notice { id, reference, answer });
                self.hand_on_notices();
            }
            Effect::SaveLearned(lessons) => self.record.learn(at, lessons),
            Effect::CallEnded { endpoint, outcome, wait } => {
                self.sharing.iter_mut().for_each(|sharing| sharing.went(at, endpoint, outcome, wait));
            }
        }
    }
}
