//! The main loop around the core: feeds it events and carries out its effects in the order in which it issues
//! them. The driver makes no delivery decisions and does not interpret messages.

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

use crate::audit_log::AuditLog;
use crate::calls::{self, Calls};
use crate::clock::Clock;
use crate::config::Config;
use crate::console;
use crate::cordons::{Change, Cordons};
use crate::discovery::List;
use crate::handover::{FrameStream, REPLY_TIMEOUT, TakeoverRequest};
use crate::input::{ApplySettings, Input};
use crate::intake::{AcceptedClasses, ClientRequest, Phase};
use crate::notices::{self, Notice};
use crate::options::Recording;
use crate::peers::sharing::Sharing;
use crate::peers::{PeerMessage, Peers};
use crate::predecessor::{Done, FormerOwner, Predecessor};
use crate::roster::Roster;
use crate::store_opener::{self, StoreOpener};
use crate::store_writer::StoreWriter;
use crate::versions;

/// The budget of file descriptors of the process.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// For client connections.
    pub clients: usize,
    /// For calls and everything else.
    pub rest: usize,
}

impl Descriptors {
    /// Reserves half of them for clients, 32 for other purposes and, with a console, its connections; the
    /// rest is for calls.
    pub fn new(all: usize, console: bool) -> Self {
        let clients = (all / 2).max(1);
        let console = if console { console::MAX_CALLERS + 4 } else { 0 };
        Descriptors { clients, rest: all.saturating_sub(clients + 32 + console) }
    }
    /// Number of idle connections to endpoints to keep next to `slots` concurrent calls, each of which may
    /// briefly need two descriptors.
    pub fn idle(self, slots: usize) -> usize {
        self.rest.saturating_sub(2 * slots).max(8)
    }
}

pub struct Driver {
    clock: Clock,
    tick: Nanos,
    core: Core,
    store: StoreWriter,
    roster: Roster,
    input_tx: mpsc::Sender<Input>,
    calls: Calls<Input>,
    peers: Option<Peers>,
    sharing: Option<Sharing>,
    /// The versions that decisions are based on, when the tier does not track them.
    standing: ActiveVersions,
    /// The audit log of decisions, if enabled.
    audit_log: Option<AuditLog>,
    refresh: RefreshTriggers,
    name: String,
    notices: mpsc::Sender<Notice>,
    /// Notices that did not fit into the queue yet.
    unsent: VecDeque<Notice>,
    /// Clients that wait for a reply.
    replies: HashMap<ReplyId, ReplyTarget>,
    next_reply: ReplyId,
    /// The message classes, including retired ones that open messages still use.
    classes: Classes,
    accepted_classes: watch::Sender<AcceptedClasses>,
    descriptors: Descriptors,
    has_console: bool,
    shared: console::Shared,
    /// Accepted maintenance commands whose write is not durable yet; each is acknowledged once it is.
    unacknowledged: VecDeque<(Seq, oneshot::Sender<Result<(), String>>)>,
    /// The text of the configuration file in force.
    text: String,
    /// The version of the endpoint list.
    index: Option<u64>,
    /// The process that handed its work over to this one, while it finishes its calls and requests.
    predecessor: Option<Predecessor>,
    takeover: Option<TakeoverRequest>,
    store_opener: StoreOpener,
    process_state: ProcessState,
    connection_limiter: Arc<ConnectionLimiter>,
}

/// Where a reply is sent.
enum ReplyTarget {
    /// To a client connected to this process.
    Local(oneshot::Sender<SubmitReply>),
    /// To a client connected to the predecessor, by the predecessor's request number.
    Predecessor(u64),
}

/// Triggers that make this dispatcher read its own sources again.
#[derive(Clone, Debug, Default)]
pub struct RefreshTriggers {
    /// Requests a full snapshot of the list from the discovery agent.
    pub list: Arc<Notify>,
    /// Reloads the configuration file.
    pub settings: Arc<Notify>,
}

/// The readiness and shutdown phase of the process, and the tasks that only the owner of the store runs.
pub struct ProcessState {
    pub ready: watch::Sender<bool>,
    pub phase: watch::Sender<Phase>,
    pub tasks: Vec<AbortHandle>,
}

/// The work that was taken over from the predecessor.
pub struct TakenOver {
    pub line: FrameStream,
    pub moving: Box<Moving>,
    /// The predecessor's core snapshot and configuration; `None` if they could not be read or do not fit.
    pub known: Option<(CoreSnapshot, Config)>,
}

/// The result of an attempt to hand the work over.
enum HandoverOutcome {
    /// No process took over; this one continues.
    Kept(Box<Driver>),
    /// Another process has taken over; this one finishes its calls and requests.
    HandedOver(Box<FormerOwner>),
    /// The handover failed and this process no longer owns the store.
    Lost(Stopped),
}

/// Why the driver stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// It was asked to stop, or it has finished what it had left after a handover.
    Done,
    /// The process must restart from the store, as after a crash.
    StartAfresh,
}

/// The components and settings that a driver is built from.
pub struct Parts {
    pub settings: Settings,
    pub shape: Shape,
    pub seed: u64,
    pub ledger: Ledger<Disk>,
    pub found: Vec<RecoveredMessage>,
    /// The latest wall-clock time recorded in the store.
    pub latest: Nanos,
    pub input_tx: mpsc::Sender<Input>,
    /// Address of the discovery agent that provides the endpoint list.
    pub source: SocketAddr,
    pub known: List,
    pub calls: Calls<Input>,
    pub peers: Option<Peers>,
    /// The settings for sharing state with the peers, if sharing is enabled.
    pub terms: Option<TierConfig>,
    /// The rules that decide which dispatchers run outdated versions.
    pub rules: Rules,
    /// Where decisions are recorded, if they are.
    pub recording: Option<Recording>,
    /// Digest of the settings.
    pub digest: u32,
    /// Name of the dispatcher.
    pub name: String,
    pub refresh: RefreshTriggers,
    pub notices: mpsc::Sender<Notice>,
    /// Whether a console is configured, for which the driver updates the figures.
    pub has_console: bool,
    pub shared: console::Shared,
    /// Publishes the message classes that the intake accepts.
    pub accepted_classes: watch::Sender<AcceptedClasses>,
    pub descriptors: Descriptors,
    /// The text of the configuration file.
    pub text: String,
    pub taken: Option<TakenOver>,
    pub store_opener: StoreOpener,
    pub process_state: ProcessState,
    pub connection_limiter: Arc<ConnectionLimiter>,
}

/// The identifier of an endpoint that is the same at all dispatchers: a hash of its name.
fn endpoint_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Shortest time between two decision rounds. Messages held for a whole tick would leave in bursts, for which
/// additional connections must be opened.
const MIN_ROUND_INTERVAL: Nanos = 1_000_000;
/// Maximum number of inputs processed before the loop checks again whether a decision round is due.
const MAX_BATCH: usize = 32;
/// Interval of periodic maintenance: closing old connections, compacting the store and saving learned state.
const MAINTENANCE_INTERVAL: Nanos = 1_000_000_000;
/// Maximum age of the console's figures while inputs arrive.
const FIGURES_INTERVAL: Nanos = 100_000_000;
/// Learned state older than this belongs to destinations that are no longer used, and is deleted.
const LEARNED_TTL: Nanos = 30 * 86_400 * 1_000_000_000;

impl Driver {
    pub fn new(parts: Parts) -> Self {
        let Parts {
            settings,
            shape,
            seed,
            ledger,
            found,
            latest,
            input_tx,
            source,
            known,
            calls,
            peers,
            terms,
            rules,
            recording,
            digest,
            name,
            refresh,
            notices,
            shared,
            accepted_classes,
            descriptors,
            has_console,
            text,
            taken,
            store_opener,
            process_state,
            connection_limiter,
        } = parts;
        let rated = settings.weights != Weights::Unknown;
        let cordons = Cordons::from_stored(ledger.cordons());
        // Class positions are those stored by earlier processes; if none are stored, those of the
        // configuration.
        let mut classes = ledger.classes().and_then(|stored| Classes::read(&stored)).unwrap_or_default();
        let mut predecessor = None;
        let (mut core, mut moved, mut clock) = (None, None, Clock::new(latest));
        if let Some(TakenOver { line, moving, known }) = taken {
            let mut written = BTreeSet::new();
            if let Some((state, config)) = known {
                written.extend(moving.written.iter().copied());
                let mut bodies: HashMap<_, _> =
                    found.iter().map(|found| (found.id, found.message.body.clone())).collect();
                let body = |id| bodies.remove(&id).unwrap_or_default();
                core = Some(Core::from_snapshot(classes.settings(config.settings), state, &written, body));
                clock = Clock::continued_from(moving.now, moving.wall);
                let digest = crate::config::digest(&config.text);
                moved = Some((moving, config.shape, config.text.to_string(), digest));
            }
            predecessor =
                Some(Predecessor::new(line.spawn(input_tx.clone(), Input::FromPredecessor), written));
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
        accepted_classes.send_replace(AcceptedClasses::new(&classes));
        let mut driver = Driver {
            clock,
            tick: own.0.tick.min(MIN_ROUND_INTERVAL),
            core,
            store: StoreWriter::new(ledger),
            roster: Roster::new(shape, rated, source, cordons),
            input_tx,
            calls,
            peers,
            sharing: None,
            standing: ActiveVersions::default(),
            audit_log: None,
            refresh,
            name,
            notices,
            unsent: VecDeque::new(),
            replies: HashMap::new(),
            next_reply: 0,
            classes,
            accepted_classes,
            descriptors,
            has_console,
            shared,
            unacknowledged: VecDeque::new(),
            text,
            index: None,
            predecessor,
            takeover: None,
            store_opener,
            process_state,
            connection_limiter,
        };
        let at = driver.clock.moment();
        if let Some(terms) = terms {
            let of = &own.0;
            let (me, all) = (of.me as u16, of.dispatchers as u16);
            let mut sharing = Sharing::begin(at, terms, me, all, seed, &mut driver.store);
            sharing.set_slots(of.slots);
            if rules.enabled {
                let begun = versions::begin(at, in_force, &mut driver.store);
                sharing.keep_roll(at, rules, begun, seed, &driver.store);
            }
            driver.sharing = Some(sharing);
            driver.core.report_call_ends();
        }
        if let Some(recording) = recording {
            driver.open_audit_log(at, recording, &own.0, in_force);
            let audit_log = driver.audit_log.as_mut();
            audit_log
                .into_iter()
                .for_each(|audit_log| found.iter().for_each(|f| audit_log.found(f.id, &f.message.reference)));
        }
        if let Some((moving, ..)) = moved {
            driver.index = moving.index;
            // An unreadable list is replaced by the next full snapshot from discovery; until then no new call
            // has an address.
            if !driver.roster.read(&moving.roster) {
                eprintln!("handover: cannot read the predecessor's endpoint list; waiting for discovery");
            }
            driver.on_list_changed(at, true, false);
            // This process's own configuration file takes effect now.
            let (settings, shape) = own;
            if let Err(why) = driver.apply_settings(at, settings, shape, own_text, digest) {
                eprintln!("handover: keeping the predecessor's settings: {why}");
            }
        } else {
            // If this write fails, the configuration gives the same positions until it changes.
            driver.store.save_classes(at, &driver.classes.write());
            // The list is stored as well, because later updates from discovery are changes to it.
            let known = driver.roster.newest(&driver.store, known);
            driver.on_list(at, known, false);
            driver.restore_learned(at);
            driver.core.resume(at);
            for found in found {
                driver.core.restore(at, found);
            }
        }
        driver.run_effects(at);
        driver
    }

    /// Restores the decision module's learned state after a restart and deletes expired entries.
    fn restore_learned(&mut self, at: Moment) {
        let mut old = Vec::new();
        for (dest, route, noted, bytes) in self.store.ledger().learned() {
            let age = at.wall.saturating_sub(noted);
            if age > LEARNED_TTL {
                old.push((dest, route));
            } else {
                self.core.restore_learned(at, &LearnedState { dest, route, bytes }, age);
            }
        }
        self.store.delete_learned(at, old);
    }

    /// Runs until the process must end or restart, including handovers to other processes.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) -> Stopped {
        loop {
            let Some(takeover) = self.serve(&mut inputs).await else {
                let at = self.clock.moment();
                self.audit_log.iter_mut().for_each(|audit_log| audit_log.end(at));
                return Stopped::Done;
            };
            match self.hand_over(takeover).await {
                HandoverOutcome::Kept(driver) => self = *driver,
                HandoverOutcome::HandedOver(former_owner) => {
                    return match former_owner.run(&mut inputs).await {
                        Done::Finished => Stopped::Done,
                        Done::OwnerGone => Stopped::StartAfresh,
                    };
                }
                HandoverOutcome::Lost(stopped) => return stopped,
            }
        }
    }

    /// Runs the loop until the process may exit (`None`) or until another process requests the work.
    async fn serve(&mut self, inputs: &mut mpsc::Receiver<Input>) -> Option<TakeoverRequest> {
        let (mut decided_at, mut pending, mut swept_at, mut figures_at) =
            (0, true, self.clock.moment().now, 0);
        loop {
            let at = self.clock.moment();
            pending |= self.exchange_shared(at);
            let due = pending || self.core.next_wake().is_some_and(|wake| wake <= at.now);
            if due && at.now >= decided_at + self.tick {
                (decided_at, pending) = (at.now, false);
                within(Part::Module, || self.core.decide(at));
                self.run_effects(at);
                continue;
            }
            self.flush_notices();
            self.acknowledge_durable();
            if self.has_console && at.now > figures_at + FIGURES_INTERVAL {
                figures_at = at.now;
                self.update_figures(at);
            }
            if at.now > swept_at + MAINTENANCE_INTERVAL {
                swept_at = at.now;
                self.calls.sweep();
                self.store.maintain(at);
                self.core.save_learned(at, false);
            }
            self.core.retry_unwritten();
            self.run_effects(at);
            self.sync(at);
            if self.core.may_exit(at.now) {
                return None;
            }
            if let Some(takeover) = self.takeover.take() {
                return Some(takeover);
            }
            let wake = self.core.next_wake().unwrap_or(Nanos::MAX);
            let next = if due { decided_at + self.tick } else { wake.max(decided_at + self.tick) };
            let next = self.sharing.as_ref().map_or(next, |sharing| next.min(sharing.due()));
            // The audit log is written first: I/O tasks do not run, so no decision takes effect, until the
            // loop awaits.
            self.audit_log.iter_mut().for_each(|audit_log| audit_log.write(at));
            // The wait is bounded so that pending notices, idle connections and shutdown are handled in time.
            let soon = self.core.needs_polling() || !self.unsent.is_empty() || self.store.has_deferred();
            let pause = if soon { 20_000_000 } else { MAINTENANCE_INTERVAL };
            tokio::select! {
                biased;
                input = inputs.recv() => {
                    let input = input?;
                    pending |= self.process(input);
                    // Drains queued inputs in one batch, so that per-round work is done once for all of them.
                    for _ in 1..MAX_BATCH {
                        let Ok(input) = inputs.try_recv() else { break };
                        pending |= self.process(input);
                    }
                }
                () = sleep_until(self.clock.instant(next.min(at.now + pause))) => {}
            }
        }
    }

    fn flush_notices(&mut self) {
        while let Some(notice) = self.unsent.pop_front() {
            if let Err(e) = self.notices.try_send(notice) {
                self.unsent.push_front(e.into_inner());
                return;
            }
        }
    }

    /// Processes one input. Returns whether a decision round is needed: frames shared by other dispatchers
    /// alone do not need one, unless they lead to an action.
    fn process(&mut self, input: Input) -> bool {
        let at = self.clock.moment();
        let needs_round = !matches!(input, Input::SharedFrame(_));
        match input {
            Input::Client(request) => self.on_client_request(at, request),
            Input::Calls(event) => self.on_call_event(at, event),
            Input::Listed(list) => self.on_list(at, list, true),
            Input::NoticesAccepted(notices::Accepted(ids)) => {
                ids.into_iter().for_each(|id| self.core.notice_accepted(at, id))
            }
            Input::Synced(synced) => {
                for reply in self.store.synced(at, synced) {
                    self.core.abandon(at, reply);
                }
            }
            Input::PeerMessage(PeerMessage { from, bytes }) => {
                self.core.on_event(at, Event::PeerMessage { from, bytes })
            }
            Input::SharedFrame(frame) => {
                let audit_log = self.audit_log.as_mut();
                if let Some(sharing) = &mut self.sharing {
                    sharing.receive(at, &frame, audit_log);
                }
            }
            Input::Console(query) => self.answer_query(at, query),
            Input::ApplySettings(ApplySettings { settings, shape, text, digest, done }) => {
                let _ = done.send(self.apply_settings(at, settings, shape, text, digest));
            }
            Input::SettingsRejected(digest) => {
                self.sharing.iter_mut().for_each(|sharing| sharing.refused(digest))
            }
            Input::TakeoverRequest(takeover) => self.on_takeover_request(takeover),
            Input::FromPredecessor(frame) => self.on_predecessor_frame(at, frame),
            // The owner of the store has no successor.
            Input::FromSuccessor(_) => {}
            Input::Stop { after } => self.core.stop(at, after.as_nanos() as Nanos),
        }
        self.run_effects(at);
        needs_round
    }

    /// Runs the exchange of shared state with the peers. Returns whether the decision module received new
    /// input.
    fn exchange_shared(&mut self, at: Moment) -> bool {
        let (Some(sharing), Some(peers)) = (&mut self.sharing, &self.peers) else { return false };
        sharing.tick(at, &self.core, self.audit_log.as_mut());
        let changed = sharing.run_outputs(at, &mut self.core, &mut self.store, peers, &mut self.audit_log);
        let acts = sharing.take_acts();
        let acted = !acts.is_empty();
        acts.into_iter().for_each(|act| self.run_act(at, act));
        if acted {
            self.run_effects(at);
        }
        self.record_versions(at);
        changed || acted
    }

    /// Carries out an action requested by the tier's version tracking.
    fn run_act(&mut self, at: Moment, act: RollAction) {
        let Some(sharing) = &mut self.sharing else { return };
        match act {
            RollAction::RefreshSource(Kind::List) => {
                eprintln!("roll: most dispatchers use another endpoint list; requesting a snapshot");
                self.refresh.list.notify_one();
            }
            RollAction::RefreshSource(kind) => {
                eprintln!("roll: most dispatchers use other {}; reloading the configuration", kind.name());
                self.refresh.settings.notify_one();
            }
            RollAction::ShutOut(kind) => {
                eprintln!(
                    "roll: refusing new messages: most dispatchers report outdated {} here",
                    kind.name()
                );
                self.core.refuse_new(!sharing.serves());
                self.shared.figures().shut_out = Some(kind.name());
                self.audit_log.iter_mut().for_each(|audit_log| audit_log.service(at, Some(kind)));
            }
            RollAction::Readmit => {
                eprintln!("roll: up to date again; accepting new messages");
                self.core.refuse_new(false);
                self.shared.figures().shut_out = None;
                self.audit_log.iter_mut().for_each(|audit_log| audit_log.service(at, None));
            }
            RollAction::RecordsChanged => sharing.save_records(at, &mut self.store),
            RollAction::Hold(place, RecordKind::Cordon) => {
                let name = sharing.endpoint(place).and_then(|e| self.roster.name(e)).map(str::to_owned);
                let Some(name) = name else { return };
                if self.roster.check_cordon(&name, true) == Ok(Change::Out)
                    && self.store.save_cordon(at, &name, true).is_some()
                {
                    eprintln!(
                        "roll: {name} is out of service: cordoned by an operator at another dispatcher"
                    );
                    let entry = self.roster.apply_cordon(&name, Change::Out);
                    self.on_endpoint_changed(at, entry, false);
                }
            }
            RollAction::Hold(place, RecordKind::Drain) => {
                let Some(endpoint) = sharing.endpoint(place) else { return };
                let entry = self.roster.set_held(endpoint, true);
                self.on_endpoint_changed(at, entry, false);
            }
            RollAction::Release(place) => {
                let Some(endpoint) = sharing.endpoint(place) else { return };
                let entry = self.roster.set_held(endpoint, false);
                self.on_endpoint_changed(at, entry, true);
            }
        }
    }

    /// Applies a state change of an endpoint that an operator or another dispatcher caused.
    fn on_endpoint_changed(&mut self, at: Moment, entry: Option<millpost::api::Entry>, back: bool) {
        self.calls.retain(|endpoint| self.roster.ready(endpoint));
        let Some(entry) = entry else { return };
        self.core.listed(at, false, vec![entry]);
        if back && entry.state == State::Ready {
            self.core.endpoint_returned(at, entry.endpoint);
        }
        if let (Some(audit_log), Some(state)) = (&mut self.audit_log, self.roster.state(entry.endpoint)) {
            let name = self.roster.name(entry.endpoint).unwrap_or_default();
            audit_log.state(at, endpoint_hash(name), entry.dest, state);
        }
    }

    /// Records in the audit log the versions that the next decisions are based on.
    fn record_versions(&mut self, at: Moment) {
        if let Some(audit_log) = &mut self.audit_log {
            let rolled = self.sharing.as_ref().and_then(Sharing::acts_on);
            audit_log.acts_on(at, rolled.unwrap_or(self.standing));
        }
    }

    /// Opens the audit log and starts recording decisions.
    fn open_audit_log(&mut self, at: Moment, recording: Recording, settings: &Settings, digest: u32) {
        if self.sharing.is_none() {
            let incarnation = self.store.ledger().incarnation().saturating_add(1);
            self.store.save_incarnation(at, incarnation);
        }
        self.standing = versions::begin(at, digest, &mut self.store).0;
        let incarnation = self.store.ledger().incarnation();
        (self.standing.incarnation, self.standing.epoch) = (incarnation, incarnation);
        let author = Author {
            number: settings.me as u16,
            of: settings.dispatchers as u16,
            name: self.name.clone(),
            incarnation,
            drain_ms: (settings.rules.drain_grace / 1_000_000) as u32,
        };
        let mut audit_log = AuditLog::open(at, recording, author);
        if let Some(sharing) = &mut self.sharing {
            sharing.trace();
        }
        audit_log.acts_on(at, self.sharing.as_ref().and_then(Sharing::acts_on).unwrap_or(self.standing));
        self.audit_log = Some(audit_log);
    }

    /// Propagates the endpoint list after it has changed or was received again. `from_agent` is true if the
    /// discovery agent sent it, false if it comes from the store, the configuration or a predecessor.
    fn on_list_changed(&mut self, at: Moment, whole: bool, from_agent: bool) {
        if let Some(sharing) = &mut self.sharing {
            sharing.listed(at, &self.roster);
            sharing.list_version(at, &self.roster, self.index, from_agent, &mut self.store);
        }
        if let Some(audit_log) = &mut self.audit_log {
            let roster = &self.roster;
            let all = roster
                .entries()
                .filter_map(|(id, name, e)| Some((endpoint_hash(name), e.dest, roster.state(id)?)));
            audit_log.listed(at, whole, all);
            self.standing.set_version(Kind::List, roster.digest());
            self.standing.agent = millpost_tier::versions::digest(roster.source().as_bytes());
            self.standing.index = self.index.unwrap_or(0);
        }
        self.record_versions(at);
    }

    fn on_client_request(&mut self, at: Moment, request: ClientRequest) {
        let ClientRequest { submission, received_at, reply } = request;
        // A client that disconnected before its reply may already be sending the message to another
        // dispatcher.
        if reply.is_closed() {
            return;
        }
        self.submit(at, submission, received_at.elapsed(), ReplyTarget::Local(reply));
    }

    fn submit(&mut self, at: Moment, submission: Submission, ago: Duration, target: ReplyTarget) {
        let number = self.next_reply;
        self.next_reply += 1;
        self.replies.insert(number, target);
        self.audit_log.iter_mut().for_each(|audit_log| audit_log.submitted(number, &submission.reference));
        let held = self.core.holds(&submission.reference);
        let ended = if held { None } else { self.store.final_answer(&submission.reference) };
        let time_left = submission.time_left.saturating_sub(ago.as_nanos() as Nanos);
        // Copies the body so that it does not keep the whole read buffer alive.
        let body = Bytes::copy_from_slice(&submission.body);
        let dest = submission.dest;
        self.core.submit(at, Submission { time_left, body, ..submission }, ended, number);
        self.sharing.iter_mut().for_each(|sharing| sharing.wanted(at, &self.core, dest));
    }

    fn on_call_event(&mut self, at: Moment, event: calls::Event) {
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
            calls::Event::Ended { call, ended, link } => self.on_call_ended(at, call, ended, link),
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

    fn on_call_ended(
        &mut self,
        at: Moment,
        call: u64,
        ended: CallEnd,
        link: Option<millpost_net::link::Link>,
    ) {
        self.calls.ended(call, &ended.ends, link, |endpoint| self.roster.ready(endpoint));
        within(Part::Module, || self.core.ended(at, call, ended));
    }

    /// Applies an update of the endpoint list.
    fn on_list(&mut self, at: Moment, list: List, from_agent: bool) {
        // A restarted agent numbers its lists differently, and is asked for a full snapshot immediately.
        let older = !list.snapshot && self.index.is_some_and(|index| list.index < index);
        let rolled = self.sharing.as_ref().is_some_and(|sharing| sharing.acts_on().is_some());
        if older && rolled && !self.has_fault(Fault::OldList) {
            return;
        }
        self.index = Some(list.index);
        let (whole, mut entries) = self.roster.listed(at, &mut self.store, list);
        if self.has_fault(Fault::CallDrained) {
            entries.iter_mut().filter(|e| e.state == State::Draining).for_each(|e| e.state = State::Ready);
        }
        // Closes connections to endpoints that accept no more work. They would occupy descriptors here and
        // connection slots there until they expire.
        self.calls.retain(|endpoint| self.roster.ready(endpoint));
        self.core.listed(at, whole, entries);
        self.on_list_changed(at, whole, from_agent);
    }

    /// Whether a test injected this fault.
    fn has_fault(&self, fault: Fault) -> bool {
        self.sharing.as_ref().is_some_and(|sharing| sharing.has(fault))
    }

    /// Handles a takeover request. The work is handed over between two rounds, only while no operation waits
    /// for the store, and not while this process is stopping or still has a predecessor.
    fn on_takeover_request(&mut self, mut takeover: TakeoverRequest) {
        let busy = self.takeover.is_some()
            || self.predecessor.is_some()
            || !self.unacknowledged.is_empty()
            || self.store.has_deferred();
        if busy || !self.core.is_quiescent() {
            tokio::spawn(async move {
                let _ = takeover.0.send(&Frame::No("it is busy".to_owned())).await;
            });
        } else {
            self.takeover = Some(takeover);
        }
    }

    /// Hands the work over: releases the store, then sends the complete state to the successor.
    async fn hand_over(mut self, TakeoverRequest(mut line): TakeoverRequest) -> HandoverOutcome {
        let (mut giver, at) = (Giver::default(), self.clock.moment());
        let mark = self.store.ledger().owner();
        let fit = self.core.is_quiescent() && !self.store.has_deferred();
        let core = postcard::to_stdvec(&self.core).ok().filter(|_| fit);
        let (Some(core), Does::Offer) = (core, giver.heard(Heard::Asked { fit, mark })) else {
            let _ = line.send(&Frame::No("it is busy".to_owned())).await;
            return HandoverOutcome::Kept(Box::new(self));
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
            clients: self.connection_limiter.taken(),
            mark,
        };
        eprintln!("handover: offering the work to the new process");
        // The successor continues the audit log from here.
        self.audit_log.iter_mut().for_each(|audit_log| audit_log.end(at));
        drop(self.store);
        let sent = line.send(&Frame::Offer(Box::new(moving))).await;
        let reply = match sent {
            Ok(()) => line.receive_within(REPLY_TIMEOUT).await,
            Err(e) => Err(e),
        };
        if let Ok(Frame::Mine { afresh }) = reply {
            giver.heard(Heard::Mine);
            let frame_tx = line.spawn(self.input_tx.clone(), Input::FromSuccessor);
            self.process_state.ready.send_replace(false);
            self.process_state.phase.send_replace(Phase::Handed);
            self.process_state.tasks.iter().for_each(AbortHandle::abort);
            eprintln!("handover: another process has taken over");
            let mut former_owner =
                FormerOwner::new(self.calls, frame_tx, self.connection_limiter, self.shared);
            if afresh {
                former_owner.cancel_calls();
            }
            return HandoverOutcome::HandedOver(Box::new(former_owner));
        }
        // The successor is gone or too slow. The connection is closed so that it cannot accept the withdrawn
        // offer later.
        drop(line);
        giver.heard(Heard::TakerGone);
        let reopened = self.store_opener.open(store_opener::LOCK_TIMEOUT);
        let mark = reopened.as_ref().ok().map(|(ledger, _)| ledger.owner());
        match (giver.heard(Heard::Reopened(mark)), reopened) {
            (Does::GoOn, Ok((ledger, _))) => {
                eprintln!("handover: no process took over; continuing here");
                let at = self.clock.moment();
                self.audit_log.iter_mut().for_each(|audit_log| audit_log.resume(at));
                HandoverOutcome::Kept(Box::new(Driver { store: StoreWriter::new(ledger), ..self }))
            }
            (Does::StartAfresh, _) => HandoverOutcome::Lost(Stopped::StartAfresh),
            (_, opened) => {
                if let Err(e) = opened {
                    eprintln!("handover: {e}");
                }
                HandoverOutcome::Lost(Stopped::Done)
            }
        }
    }

    /// Handles a frame from the predecessor; `None` is the end of its connection.
    fn on_predecessor_frame(&mut self, at: Moment, frame: Option<Frame>) {
        let Some(predecessor) = &mut self.predecessor else { return };
        match frame {
            Some(Frame::Handed { number, handed: submission, .. })
                if submission.class >= self.classes.all().count() =>
            {
                predecessor.verdict(number, SubmitReply::UnknownDestination, None);
            }
            Some(Frame::Handed { number, ago, handed: submission }) => {
                self.submit(at, *submission, Duration::from_nanos(ago), ReplyTarget::Predecessor(number));
            }
            Some(Frame::Heard { number, heard }) => {
                if let Some(id) = predecessor.unconfirmed.remove(&number) {
                    self.core.replied(at, id, heard);
                }
            }
            Some(Frame::Ended { call, ended }) if predecessor.written.remove(&call) => {
                self.core.ended(at, call, ended);
            }
            Some(Frame::Unsent { call, fresh }) if predecessor.written.remove(&call) => {
                self.core.connection_lost(at, call, fresh);
            }
            Some(Frame::Maintain { number, id, out }) => {
                let (done, answer) = oneshot::channel();
                predecessor.maintained(number, answer);
                self.answer_query(at, console::Query::Maintain { id, out, done });
            }
            Some(_) => {}
            None => {
                eprintln!("handover: the predecessor has ended");
                let (written, unconfirmed) =
                    (std::mem::take(&mut predecessor.written), std::mem::take(&mut predecessor.unconfirmed));
                self.predecessor = None;
                self.core.calls_lost(at, &written);
                // These clients may have received their reply, in which case they do not submit again.
                unconfirmed.into_values().for_each(|id| self.core.replied(at, id, true));
                self.connection_limiter.set_limit(self.descriptors.clients);
            }
        }
    }

    /// Applies settings in one step, or not at all. Open messages keep the class under which they were
    /// accepted.
    ///
    /// # Errors
    /// If the store accepts no writes.
    fn apply_settings(
        &mut self,
        at: Moment,
        settings: Settings,
        shape: Shape,
        text: String,
        digest: u32,
    ) -> Result<(), &'static str> {
        let mut classes = self.classes.clone();
        classes.adopt(&settings, &shape, None);
        // Stored before any message can use a new class.
        if !self.store.save_classes(at, &classes.write()) {
            return Err("the store takes no writes");
        }
        let settings = classes.settings(settings);
        self.classes = classes;
        self.accepted_classes.send_replace(AcceptedClasses::new(&self.classes));
        self.tick = settings.tick.min(MIN_ROUND_INTERVAL);
        let idle = self.descriptors.idle(settings.slots);
        self.calls.set_limits(idle, settings.keepalive, settings.connect_timeout);
        self.roster.set_shape(shape);
        self.sharing.iter_mut().for_each(|sharing| sharing.set_slots(settings.slots));
        self.core.apply_settings(at, settings);
        self.text = text;
        if let Some(sharing) = &mut self.sharing {
            sharing.moves(at, Kind::Settings, digest);
        }
        if self.sharing.as_ref().is_some_and(|sharing| sharing.acts_on().is_some())
            || self.audit_log.is_some()
        {
            versions::save_settings(at, digest, &mut self.store);
        }
        self.standing.set_version(Kind::Settings, digest);
        self.record_versions(at);
        Ok(())
    }

    /// Answers a console query. Once a cordon is acknowledged the endpoint drains, also after a restart.
    fn answer_query(&mut self, at: Moment, query: console::Query) {
        let (id, out, done) = match query {
            console::Query::Figures { done } => {
                self.update_figures(at);
                let _ = done.send(());
                return;
            }
            console::Query::Standing { done } => {
                let name = &self.name;
                let _ = done.send(self.sharing.as_mut().and_then(|sharing| sharing.standing(at, name)));
                return;
            }
            console::Query::Maintain { id, out, done } => (id, out, done),
        };
        // A caller that has stopped waiting was already answered with a failure.
        if done.is_closed() {
            return;
        }
        let result = match self.roster.check_cordon(&id, out) {
            Err(why) => Err(why),
            // The write of an earlier command may not be durable yet.
            Ok(Change::None) => Ok(self.unacknowledged.back().map_or(0, |(seq, _)| *seq)),
            Ok(change) => match self.store.save_cordon(at, &id, out) {
                None => Err("the store takes no writes"),
                Some(seq) => {
                    let entry = self.roster.apply_cordon(&id, change);
                    self.on_endpoint_changed(at, entry, change == Change::Back);
                    if let Some(sharing) = &mut self.sharing {
                        sharing.cordoned(at, &id, out);
                    }
                    eprintln!("console: {id} is {}", if out { "cordoned" } else { "back in service" });
                    Ok(seq)
                }
            },
        };
        match result {
            Ok(seq) => self.unacknowledged.push_back((seq, done)),
            Err(why) => drop(done.send(Err(why.to_owned()))),
        }
        self.acknowledge_durable();
    }

    /// Acknowledges maintenance commands whose writes are durable.
    fn acknowledge_durable(&mut self) {
        while let Some((_, done)) = self.unacknowledged.pop_front_if(|(seq, _)| self.store.is_durable(*seq)) {
            let _ = done.send(Ok(()));
        }
    }

    /// Updates the figures shown by the console.
    fn update_figures(&mut self, at: Moment) {
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
        figures.audited = self.audit_log.as_ref().and_then(AuditLog::figures);
    }

    /// Starts a sync of the store where durability needs one: one at a time, covering all writes so far.
    fn sync(&mut self, at: Moment) {
        if let Some(job) = self.store.sync_job(at) {
            let input_tx = self.input_tx.clone();
            tokio::spawn(async move {
                if let Ok(synced) = tokio::task::spawn_blocking(|| job.run()).await {
                    let _ = input_tx.send(Input::Synced(synced)).await;
                }
            });
        }
    }

    /// Carries out the core's effects, and those deferred until a write that is durable by now.
    fn run_effects(&mut self, at: Moment) {
        loop {
            while let Some(effect) = self.core.effect() {
                self.run_effect(at, effect);
            }
            let Some(ready) = self.store.next_durable() else { return };
            self.core.run_deferred(at, ready);
        }
    }

    fn run_effect(&mut self, at: Moment, effect: Effect) {
        match effect {
            Effect::Append(change, behind) => match self.store.append(at, &change) {
                Some(seq) => {
                    self.audit_log.iter_mut().for_each(|audit_log| audit_log.changed(at, &change));
                    behind.into_iter().for_each(|effect| self.store.defer(Some(seq), effect));
                }
                None => self.core.write_failed(at, &change, behind),
            },
            Effect::AfterWrites(effect) => self.store.defer(None, effect),
            Effect::Reply { reply, verdict, taken } => {
                self.audit_log
                    .iter_mut()
                    .for_each(|audit_log| audit_log.replied(at, reply, verdict, taken.is_some()));
                let delivered = match self.replies.remove(&reply) {
                    Some(ReplyTarget::Local(reply)) => reply.send(verdict).is_ok(),
                    Some(ReplyTarget::Predecessor(number)) => match &mut self.predecessor {
                        // The predecessor reports later whether the client received the reply.
                        Some(predecessor) => return predecessor.verdict(number, verdict, taken),
                        // The client may have received it.
                        None => true,
                    },
                    None => false,
                };
                if let Some(id) = taken {
                    within(Part::Module, || self.core.replied(at, id, delivered));
                }
            }
            Effect::Connect { call, endpoint, sure, fresh, until } => {
                self.audit_log.iter_mut().for_each(|audit_log| audit_log.decided(at, call));
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
                if let Some(audit_log) = &mut self.audit_log {
                    let name = self.roster.name(endpoint).map_or(0, endpoint_hash);
                    let dest = self.roster.dest(endpoint);
                    audit_log.written(at, call, (name, dest), &messages);
                }
                let left = Duration::from_nanos(until.saturating_sub(at.now));
                if !self.calls.write(call, messages, sure, self.clock.instant(until), left) {
                    self.core.ended(at, call, CallEnd::without_answer(Outcome::NotSent));
                }
            }
            Effect::Release { call } => {
                self.audit_log.iter_mut().for_each(|audit_log| audit_log.dropped(call));
                self.calls.release(call, |endpoint| self.roster.ready(endpoint));
            }
            Effect::CancelCall { call } => match &self.predecessor {
                Some(predecessor) if predecessor.written.contains(&call) => {
                    predecessor.send(Frame::CallOff { call })
                }
                _ => self.calls.cancel(call),
            },
            Effect::Probe { endpoint } => {
                if let Some(address) = self.roster.address(endpoint) {
                    self.calls.probe(endpoint, address);
                }
            }
            Effect::Broadcast { bytes } => self.peers.iter().for_each(|peers| peers.broadcast(&bytes)),
            Effect::Notice { id, reference, answer } => {
                self.unsent.push_back(Notice { id, reference, answer });
                self.flush_notices();
            }
            Effect::SaveLearned(learned) => self.store.save_learned(at, learned),
            Effect::CallEnded { endpoint, outcome, wait } => {
                self.sharing.iter_mut().for_each(|sharing| sharing.call_ended(at, endpoint, outcome, wait));
            }
        }
    }
}
