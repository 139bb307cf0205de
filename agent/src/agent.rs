//! The porter's round: what goes down to the stall, what goes up to the steward, who is behind. Whom to follow is in `follow`, what
//! is kept in `newest`. No I/O and no clock: inputs with their times come in, effects go out.
//!
//! Invariant: what the stall is told is at least as new as what it was told before, whoever told it.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use log::Level;
use millpost_net::messaging;
use millpost_protocol::{Fault, MessageBatch, PeerMessage, whole};
use tinyjson::JsonValue;

use crate::feeds::{FeedAction, FeedSet};
use crate::latest::{Applied, LatestState};
use crate::{MS, Nanos, SECOND};

/// How often those who are followed are looked after, and the settings file for new seeds.
const LOOK: Nanos = 100 * MS;
const LOOK_AT_FILE: Nanos = SECOND;
/// A stall that is behind is told the whole configuration no more often.
const AGAIN: Nanos = SECOND;
/// After so long without its word a stall counts as gone, and is not spoken for.
const ALIVE: Nanos = 1_500 * MS;
/// After the stall's mail had no room, everything is told again no sooner and no more often.
const MEND: Nanos = SECOND;
/// Notes in a line of a feed; what holds more is no line.
const MOST_NOTES: usize = 10_000;
/// Notes that can't be read, told in the log for each line or letter.
const FAULTS: usize = 5;
/// The stall outlives its porter by nothing: both hear SIGTERM. The porter stays while the stall leaves.
const BEFORE_GRACE: Nanos = 500 * MS;

/// What a life begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentConfig {
    /// The machine's name.
    pub name: CompactString,
    /// Which of the process's lives this is.
    pub life: u64,
    /// Where control is found at first.
    pub seeds: Vec<SocketAddr>,
    /// The time from SIGTERM to the last moment.
    pub grace: Nanos,
}

/// What comes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A life begins.
    New(AgentConfig),
    /// A line of a feed, without its end.
    FeedLine {
        /// The feed's number.
        feed: u64,
        /// All of it.
        line: Bytes,
    },
    /// A feed has ended, or did not begin.
    FeedEnded {
        /// Its number.
        feed: u64,
    },
    /// A control machine's answer to notes: a letter.
    ControlAnswered(Bytes),
    /// A letter of the stall; [`Effect::AnswerProxy`] follows.
    ProxyMessages(Bytes),
    /// The stall takes mail, for the first time or again.
    ProxyUp,
    /// A note to the stall had no room in its mail, and is lost.
    ProxyQueueFull,
    /// Notes to a control machine came back.
    MessagesLost {
        /// The feed that they went beside.
        feed: u64,
        /// How many.
        messages: u64,
    },
    /// The seeds that the settings file has.
    Seeds(Vec<SocketAddr>),
    /// SIGTERM.
    Shutdown,
    /// Time has passed: no later than [`Agent::due`], unless something else comes.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A feed is to be opened.
    Open {
        /// Its number: its lines and its end come under it.
        feed: u64,
        /// Where.
        address: SocketAddr,
        /// The path of the request.
        path: &'static str,
        /// The notes of the letter that is its body.
        messages: Vec<PeerMessage>,
    },
    /// A feed is to be closed, and its mail; nothing more is awaited of it.
    Close {
        /// Its number.
        feed: u64,
    },
    /// A note to a control machine that is followed.
    SendToControl {
        /// The feed beside which it goes.
        feed: u64,
        /// Where it goes.
        to: SocketAddr,
        /// What it says.
        message: PeerMessage,
    },
    /// A note to the stall.
    SendToProxy(PeerMessage),
    /// The answer to the stall's letter.
    AnswerProxy {
        /// It could be read.
        read: bool,
    },
    /// The settings file is to be read; its seeds come as [`Input::Seeds`].
    ReadSettings,
    /// A line of the log.
    Log(Level, String),
    /// The process ends.
    Exit,
}

/// The machine.
#[derive(Debug)]
pub struct Agent {
    follow: FeedSet,
    newest: LatestState,
    /// The stall's last word of itself.
    alive: Option<(Nanos, PeerMessage)>,
    /// Until when control has it rest.
    rest: Option<(CompactString, Nanos)>,
    /// The revision that it acts on.
    acts: u64,
    /// When it was last told the whole configuration for being behind.
    told: Nanos,
    due: Nanos,
    /// When the stall is told everything for what was lost.
    mend: Option<Nanos>,
    looked_at_file: Nanos,
    grace: Nanos,
    end: Option<Nanos>,
    effects: Vec<Effect>,
}

impl Agent {
    /// A life begins: control is followed.
    pub fn new(terms: AgentConfig, now: Nanos) -> Self {
        let mut round = Agent {
            follow: FeedSet::new(terms.seeds, terms.life),
            newest: LatestState::default(),
            alive: None,
            rest: None,
            acts: 0,
            told: now,
            due: now,
            mend: None,
            looked_at_file: now,
            grace: terms.grace,
            end: None,
            effects: Vec::new(),
        };
        round.look(now);
        round
    }

    /// What is to be done, in this order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When the machine is to be told that time has passed.
    pub fn due(&self) -> Nanos {
        self.due
    }

    /// Who is followed.
    pub fn feeds(&self) -> &FeedSet {
        &self.follow
    }

    /// What is held.
    pub fn latest(&self) -> &LatestState {
        &self.newest
    }

    /// It was told to end.
    pub fn is_shutting_down(&self) -> bool {
        self.end.is_some()
    }

    /// The revision that the stall acts on, as far as it said.
    pub fn proxy_revision(&self) -> u64 {
        self.acts
    }
}

impl Agent {
    /// Takes an input in.
    pub fn handle(&mut self, now: Nanos, input: Input) {
        match input {
            Input::New(terms) => *self = Agent::new(terms, now),
            Input::FeedLine { feed, line } => self.line(now, feed, &line),
            Input::FeedEnded { feed } => {
                self.follow.feed_ended(now, feed);
                self.steps(now);
            }
            Input::ControlAnswered(body) => self.answered(&body),
            Input::ProxyMessages(body) => self.letter(now, &body),
            // A stall that is there again has forgotten all.
            Input::ProxyUp => self.tell_all(now),
            Input::ProxyQueueFull => {
                if self.mend.is_none() {
                    self.log(Level::Warn, "the stall takes nothing more".to_owned());
                    self.mend = Some(now.saturating_add(MEND));
                }
            }
            Input::MessagesLost { feed, messages: notes } => {
                if let Some(peer) = self.follow.address(feed) {
                    self.log(Level::Debug, format!("{notes} notes to {peer} came back"));
                }
            }
            Input::Seeds(seeds) => {
                if self.follow.set_seeds(seeds) {
                    self.log(Level::Info, format!("seeds are now {:?}", self.follow.seeds()));
                }
            }
            Input::Shutdown => {
                if self.end.is_none() {
                    self.log(Level::Info, "leaving".to_owned());
                    self.end = Some(now.saturating_add(self.grace.saturating_sub(BEFORE_GRACE)));
                }
            }
            Input::Tick => {}
        }
        // Whatever came: where much comes, nobody may get round to a tick.
        if now >= self.due {
            self.look(now);
        }
        if self.end.is_some_and(|end| now >= end) {
            self.effects.push(Effect::Exit);
        }
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(Effect::Log(level, text));
    }

    fn look(&mut self, now: Nanos) {
        self.due = now.saturating_add(LOOK);
        self.follow.maintain(now);
        self.steps(now);
        if self.mend.is_some_and(|mend| now >= mend) {
            self.tell_all(now);
        }
        if now.saturating_sub(self.looked_at_file) >= LOOK_AT_FILE {
            self.looked_at_file = now;
            self.effects.push(Effect::ReadSettings);
        }
    }

    /// Carries out whom to follow.
    fn steps(&mut self, now: Nanos) {
        for step in self.follow.take() {
            let effect = match step {
                FeedAction::Open { feed, address, whole } => {
                    let path = if whole { "/follow" } else { "/follow?whole=0" };
                    let acts = PeerMessage::ConfigApplied { revision: self.newest.revision(), number: 0 };
                    let alive = self.alive.iter().filter(|(at, _)| now.saturating_sub(*at) <= ALIVE);
                    let notes = alive.map(|(_, note)| note.clone()).chain([acts]).collect();
                    Effect::Open { feed, address, path, messages: notes }
                }
                FeedAction::Close { feed } => Effect::Close { feed },
            };
            self.effects.push(effect);
        }
    }

    fn line(&mut self, now: Nanos, feed: u64, line: &[u8]) {
        let Some(from) = self.follow.line_received(feed) else { return };
        let Some(JsonValue::Object(parts)) = messaging::json(line) else {
            self.log(Level::Warn, format!("{from} sends what is no line of a feed"));
            self.follow.feed_invalid(now, feed);
            return self.steps(now);
        };
        let Some(JsonValue::Array(notes)) = parts.get("notes") else { return };
        if notes.len() > MOST_NOTES {
            self.log(Level::Warn, format!("{from} sends {} notes in a line", notes.len()));
            self.follow.feed_invalid(now, feed);
            return self.steps(now);
        }
        let mut faults = Vec::new();
        for note in notes {
            match PeerMessage::read(note) {
                Ok(note) => self.note(now, from, note, line.len()),
                Err(e) => faults.push(e),
            }
        }
        self.faults(&from.to_string(), &faults);
        if self.follow.address(feed).is_some() {
            let number = whole(&parts, "n").unwrap_or(0);
            let note = PeerMessage::ConfigApplied { revision: self.acts, number };
            self.effects.push(Effect::SendToControl { feed, to: from, message: note });
        }
    }

    /// Notes that could not be read; of many the first few.
    fn faults(&mut self, from: &str, faults: &[Fault]) {
        for fault in faults.iter().take(FAULTS) {
            self.log(Level::Warn, format!("a note of {from}: {fault}"));
        }
        if faults.len() > FAULTS {
            self.log(
                Level::Warn,
                format!("{} more notes of {from} could not be read", faults.len() - FAULTS),
            );
        }
    }

    /// Something that control tells.
    fn note(&mut self, now: Nanos, from: SocketAddr, note: PeerMessage, weight: usize) {
        if let PeerMessage::Leader { address, fence } = &note {
            if let Ok(address) = address.parse() {
                self.follow.set_leader(now, *fence, address);
                self.steps(now);
            }
            return;
        }
        if let PeerMessage::Contact { holds } = &note {
            self.follow.set_contact(now, from, *holds);
            return self.steps(now);
        }
        if let PeerMessage::Drain { name, left } = &note {
            let lasts = (left.clamp(0.0, 1e9) * 1e6) as Nanos;
            self.rest = (lasts > 0).then(|| (name.clone(), now.saturating_add(lasts)));
            return self.effects.push(Effect::SendToProxy(note));
        }
        match self.newest.apply(note, weight) {
            Applied::Stale => {}
            Applied::New(note) => self.effects.push(Effect::SendToProxy(note)),
            Applied::Partial(note, left_out) => {
                self.effects.push(Effect::SendToProxy(note));
                self.log(Level::Warn, format!("no room for {left_out} instances"));
            }
            Applied::Unreadable(why) => self.log(Level::Error, why),
            // What lies between was missed: it comes whole.
            Applied::VersionGap(goes_from, held) => {
                self.log(
                    Level::Info,
                    format!("a naming of {from} goes from {goes_from:?}, and {held:?} is known"),
                );
                self.follow.snapshot_needed(now, from);
                self.steps(now);
            }
            Applied::BaseMissing(what, why) => {
                self.log(Level::Info, format!("{what} of {from}: {why}"));
                self.follow.base_missing(now, from);
                self.steps(now);
            }
        }
    }

    fn tell_all(&mut self, now: Nanos) {
        self.mend = None;
        // First, so that it is never ready.
        self.rest = self.rest.take().filter(|(_, until)| *until > now);
        if let Some((name, until)) = &self.rest {
            let left = (until - now) as f64 / 1e6;
            self.effects.push(Effect::SendToProxy(PeerMessage::Drain { name: name.clone(), left }));
        }
        self.effects.extend(self.newest.snapshot().into_iter().map(Effect::SendToProxy));
    }

    /// What control says in answer to the stall's question goes to the stall.
    fn answered(&mut self, body: &[u8]) {
        let Some(letter) = messaging::json(body).and_then(|json| MessageBatch::read(&json).ok()) else {
            return;
        };
        let stands =
            letter.messages.into_iter().filter(|note| matches!(note, PeerMessage::CommittedRevision { .. }));
        self.effects.extend(stands.map(Effect::SendToProxy));
    }

    /// The stall's words.
    fn letter(&mut self, now: Nanos, body: &[u8]) {
        let Some(letter) = messaging::json(body).and_then(|json| MessageBatch::read(&json).ok()) else {
            return self.effects.push(Effect::AnswerProxy { read: false });
        };
        self.faults(&letter.from, &letter.faults);
        for note in letter.messages {
            match note {
                PeerMessage::Heartbeat { .. } => {
                    self.alive = Some((now, note.clone()));
                    self.up(note, false);
                }
                PeerMessage::ConfigApplied { revision, .. } => self.acts_on(now, revision),
                // A stall that started, or was told less than all.
                PeerMessage::ViewOutdated { version } => {
                    if version < self.newest.versions().0 {
                        self.tell_all(now);
                    }
                }
                // Any machine that is in contact with a majority can say.
                PeerMessage::QueryRevision => self.up(note, true),
                note => self.up(note, false),
            }
        }
        self.effects.push(Effect::AnswerProxy { read: true });
    }

    fn acts_on(&mut self, now: Nanos, revision: u64) {
        let newest = self.newest.revision();
        // One that starts, or that could not follow a change, gets all of it.
        if revision < newest && revision < self.acts.max(1) || revision < self.acts {
            self.tell_all(now);
        } else if revision < newest && now.saturating_sub(self.told) > AGAIN {
            self.told = now;
            self.effects.extend(self.newest.full_config().map(Effect::SendToProxy));
        }
        if revision != self.acts {
            self.acts = revision;
            self.up(PeerMessage::ConfigApplied { revision, number: 0 }, true);
        }
    }

    /// To the steward, or to all that are followed.
    fn up(&mut self, note: PeerMessage, all: bool) {
        let steward = self.follow.leader().map(|(_, steward)| steward);
        for (feed, to, _) in self.follow.feeds() {
            if all || steward == Some(to) {
                self.effects.push(Effect::SendToControl { feed, to, message: note.clone() });
            }
        }
    }
}
