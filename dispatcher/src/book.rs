//! The record of what this dispatcher decides, and on what: between the loop and the audit's log. Nothing is decided here.
//!
//! Kept: what was decided is written before the loop lets anything of it go out; where nothing is recorded nothing is kept.

use std::collections::HashMap;

use millpost::api::{MsgId, Nanos};
use millpost_audit::entry::{Author, Entry};
use millpost_audit::log::{Log, Stood};
use millpost_audit::{End, State, message};
use millpost_core::{CallId, CallMessage, Change, Moment, ReplyId, SubmitReply};
use millpost_store::ledger::{Answer, FinalOutcome};
use millpost_tier::lending::WHOLE;
use millpost_tier::{ActiveVersions, Kind, Loan, RateBudget};

use crate::options::Recording;

/// Of one's own rounds each tenth is noted; those of one peer no more often than this.
const BEATS: u32 = 10;
const MARKED: Nanos = 5_000_000_000;

/// See the module.
pub struct Book {
    recording: Recording,
    author: Author,
    log: Option<Log>,
    standing: ActiveVersions,
    stood: Stood,
    /// Messages that have no final answer yet, by what they are known by in logs.
    open: HashMap<MsgId, u64>,
    /// Who is handing which message in.
    handing: HashMap<ReplyId, u64>,
    /// Calls that were decided on and not written yet.
    decided: HashMap<CallId, (Stood, Nanos)>,
    /// Endpoints that were listed, and their destinations.
    places: HashMap<u64, u64>,
    marked: HashMap<u16, Nanos>,
}

impl Book {
    /// Opens the log. A folder that can't be used costs the record, and is told.
    pub fn open(at: Moment, recording: Recording, author: Author) -> Self {
        let mut book = Book {
            recording,
            author,
            log: None,
            standing: ActiveVersions::default(),
            stood: Stood::default(),
            open: HashMap::new(),
            handing: HashMap::new(),
            decided: HashMap::new(),
            places: HashMap::new(),
            marked: HashMap::new(),
        };
        book.resume(at);
        book
    }

    /// Goes on after [`Self::end`]: another process had the folder meanwhile.
    pub fn resume(&mut self, at: Moment) {
        let Recording { folder, budget_mb, .. } = &self.recording;
        let opened = Log::open(folder, budget_mb * 1_000_000, self.author.clone(), at.wall);
        self.log =
            opened.inspect_err(|e| eprintln!("audit: {}: {e}; nothing is recorded", folder.display())).ok();
        self.stood = Stood::default();
    }

    /// What was found in the store at the start.
    pub fn found(&mut self, id: MsgId, reference: &str) {
        self.open.insert(id, message(reference));
    }

    /// What is acted on from now on.
    pub fn acts_on(&mut self, at: Moment, standing: ActiveVersions) {
        if standing != self.standing || self.stood == Stood::default() {
            self.standing = standing;
            if let Some(log) = &mut self.log {
                self.stood = log.acts_on(at.wall, standing);
            }
        }
    }

    /// A message is being handed in.
    pub fn handed(&mut self, reply: ReplyId, reference: &str) {
        self.handing.insert(reply, message(reference));
    }

    /// Its client is answered.
    pub fn replied(&mut self, at: Moment, reply: ReplyId, verdict: SubmitReply, taken: bool) {
        let Some(message) = self.handing.remove(&reply) else { return };
        if let (SubmitReply::Refused { wait }, false, Some(log)) = (verdict, taken, &mut self.log) {
            log.refused(at.wall, message, wait, self.stood);
        }
    }

    /// A change was written to the store.
    pub fn changed(&mut self, at: Moment, change: &Change) {
        let (Some(log), on) = (&mut self.log, self.stood) else { return };
        match change {
            Change::Take { id, taken } => {
                let message = message(&taken.reference);
                self.open.insert(*id, message);
                log.taken(at.wall, message, on);
            }
            Change::Answer { id, answer } => {
                let end = match answer {
                    Answer::Failed => End::Failed,
                    Answer::Refused { .. } => End::Refused,
                };
                if let Some(message) = self.open.remove(id) {
                    log.ended(at.wall, message, end, on);
                }
            }
            Change::End { id, end } => {
                let end = match end {
                    Some((_, FinalOutcome::Delivered, _)) => End::Delivered,
                    Some((_, FinalOutcome::Answered(Answer::Failed), _)) => End::Failed,
                    Some((_, FinalOutcome::Answered(Answer::Refused { .. }), _)) => End::Refused,
                    None => End::Void,
                };
                if let Some(message) = self.open.remove(id) {
                    log.ended(at.wall, message, end, on);
                }
            }
            Change::Begin { .. } | Change::Outcome { .. } => {}
        }
    }

    /// A call was decided on.
    pub fn decided(&mut self, at: Moment, call: CallId) {
        self.decided.entry(call).or_insert((self.stood, at.wall));
    }

    /// It will not be written.
    pub fn dropped(&mut self, call: CallId) {
        self.decided.remove(&call);
    }

    /// It is written, to this endpoint and destination.
    pub fn written(&mut self, at: Moment, call: CallId, to: (u64, u64), messages: &[CallMessage]) {
        let (on, since) = self.decided.remove(&call).unwrap_or((self.stood, at.wall));
        let Some(log) = &mut self.log else { return };
        for carried in messages {
            let ago = at.wall.saturating_sub(since);
            log.attempt(at.wall, message(&carried.reference), to, on, ago);
        }
    }

    /// A list was taken in. `all`: endpoints, destinations, and what they are now.
    pub fn listed(&mut self, at: Moment, whole: bool, all: impl Iterator<Item = (u64, u64, State)>) {
        let Some(log) = &mut self.log else { return };
        log.note(at.wall, &Entry::Listed { whole });
        let mut now = HashMap::with_capacity(self.places.len());
        // Of the first list of a process nothing was said before.
        let first = self.places.is_empty();
        for (place, dest, state) in all {
            now.insert(place, dest);
            if !first && !self.places.contains_key(&place) {
                log.appears(at.wall, place, dest);
            }
            log.state(at.wall, place, dest, state);
        }
        for (place, dest) in std::mem::replace(&mut self.places, now) {
            if !self.places.contains_key(&place) {
                log.state(at.wall, place, dest, State::Gone);
            }
        }
    }

    /// An endpoint is so from now on.
    pub fn state(&mut self, at: Moment, place: u64, dest: u64, state: State) {
        if let Some(log) = &mut self.log {
            log.state(at.wall, place, dest, state);
        }
    }

    /// New messages are taken, or not.
    pub fn service(&mut self, at: Moment, out: Option<Kind>) {
        if let Some(log) = &mut self.log {
            log.service(at.wall, out);
        }
    }

    /// What may be sent to a destination.
    pub fn part(&mut self, at: Moment, dest: u64, part: Option<RateBudget>) {
        let Some(log) = &mut self.log else { return };
        let entry = match part {
            None => Entry::Part { dest, part: u32::MAX, until_ms: 0, after: u32::MAX, limit: 0 },
            Some(part) => {
                let left = part.until.saturating_sub(at.now).div_ceil(1_000_000);
                let until_ms =
                    if part.until == Nanos::MAX { 0 } else { left.clamp(1, u32::MAX.into()) as u32 };
                let limit = part.rate * f64::from(WHOLE) / f64::from(part.share[0].max(1));
                let limit = (limit * 1e3) as u64;
                Entry::Part { dest, part: part.share[0], until_ms, after: part.share[1], limit }
            }
        };
        log.note(at.wall, &entry);
    }

    /// A part was lent or borrowed.
    pub fn loan(&mut self, at: Moment, loan: &Loan) {
        if let Some(log) = &mut self.log {
            log.loan(at.wall, loan, loan.until.saturating_sub(at.now), self.stood);
        }
    }

    /// A round of one's own.
    pub fn beat(&mut self, at: Moment, epoch: u32, beat: u32) {
        if let Some(log) = self.log.as_mut().filter(|_| beat.is_multiple_of(BEATS)) {
            log.note(at.wall, &Entry::Beat { epoch, beat });
        }
    }

    /// A round of another's, from itself.
    pub fn heard(&mut self, at: Moment, peer: u16, epoch: u32, beat: u32) {
        let Some(log) = &mut self.log else { return };
        let marked = self.marked.entry(peer).or_insert(0);
        if at.now >= *marked {
            *marked = at.now.saturating_add(MARKED);
            log.note(at.wall, &Entry::Heard { peer, epoch, beat });
        }
    }

    /// What was noted goes out, before anything that was decided does.
    pub fn write(&mut self, at: Moment) {
        if let Some(log) = &mut self.log {
            log.write(at.wall);
        }
    }

    /// This process decides nothing more.
    pub fn end(&mut self, at: Moment) {
        if let Some(mut log) = self.log.take() {
            log.end(at.wall);
        }
    }

    /// Records and bytes so far; nothing where the log can't be written.
    pub fn figures(&self) -> Option<(u64, u64)> {
        self.log.as_ref().map(Log::written)
    }
}
