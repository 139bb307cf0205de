//! Records the decisions of this dispatcher and the versions they are based on, in the format of
//! `millpost-audit`. Makes no decisions.
//!
//! Invariant: decisions are written before the driver lets any of them take effect.

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

/// Every tenth round of this dispatcher is recorded.
const BEAT_INTERVAL: u32 = 10;
/// Minimum time between two recorded rounds of the same peer.
const PEER_BEAT_INTERVAL: Nanos = 5_000_000_000;

/// The audit log of this process; see the module documentation. While the log is closed, decisions are not
/// recorded.
pub struct AuditLog {
    recording: Recording,
    author: Author,
    log: Option<Log>,
    standing: ActiveVersions,
    stood: Stood,
    /// Open messages, with their identifiers in the log.
    open: HashMap<MsgId, u64>,
    /// Submissions that wait for a reply, with the identifiers of their messages.
    submissions: HashMap<ReplyId, u64>,
    /// Calls that were decided on but not written yet.
    decided: HashMap<CallId, (Stood, Nanos)>,
    /// Listed endpoints and their destinations.
    endpoints: HashMap<u64, u64>,
    next_peer_beat: HashMap<u16, Nanos>,
}

impl AuditLog {
    /// Opens the log. If the folder cannot be used, logs an error and records nothing.
    pub fn open(at: Moment, recording: Recording, author: Author) -> Self {
        let mut audit_log = AuditLog {
            recording,
            author,
            log: None,
            standing: ActiveVersions::default(),
            stood: Stood::default(),
            open: HashMap::new(),
            submissions: HashMap::new(),
            decided: HashMap::new(),
            endpoints: HashMap::new(),
            next_peer_beat: HashMap::new(),
        };
        audit_log.resume(at);
        audit_log
    }

    /// Opens the log again after [`Self::end`], for example after a failed handover.
    pub fn resume(&mut self, at: Moment) {
        let Recording { folder, budget_mb, .. } = &self.recording;
        let opened = Log::open(folder, budget_mb * 1_000_000, self.author.clone(), at.wall);
        self.log = opened
            .inspect_err(|e| eprintln!("audit: {}: {e}; decisions are not recorded", folder.display()))
            .ok();
        self.stood = Stood::default();
    }

    /// Registers a message that was in the store at the start.
    pub fn found(&mut self, id: MsgId, reference: &str) {
        self.open.insert(id, message(reference));
    }

    /// Records the versions that decisions are based on from now on, if they changed.
    pub fn acts_on(&mut self, at: Moment, standing: ActiveVersions) {
        if standing != self.standing || self.stood == Stood::default() {
            self.standing = standing;
            if let Some(log) = &mut self.log {
                self.stood = log.acts_on(at.wall, standing);
            }
        }
    }

    /// A message was submitted.
    pub fn submitted(&mut self, reply: ReplyId, reference: &str) {
        self.submissions.insert(reply, message(reference));
    }

    /// The client of a submission was answered.
    pub fn replied(&mut self, at: Moment, reply: ReplyId, verdict: SubmitReply, taken: bool) {
        let Some(message) = self.submissions.remove(&reply) else { return };
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

    /// The decision module started a call.
    pub fn decided(&mut self, at: Moment, call: CallId) {
        self.decided.entry(call).or_insert((self.stood, at.wall));
    }

    /// A call was dropped before it was written.
    pub fn dropped(&mut self, call: CallId) {
        self.decided.remove(&call);
    }

    /// A call was written to the endpoint and destination `to`.
    pub fn written(&mut self, at: Moment, call: CallId, to: (u64, u64), messages: &[CallMessage]) {
        let (on, since) = self.decided.remove(&call).unwrap_or((self.stood, at.wall));
        let Some(log) = &mut self.log else { return };
        for sent in messages {
            let ago = at.wall.saturating_sub(since);
            log.attempt(at.wall, message(&sent.reference), to, on, ago);
        }
    }

    /// The endpoint list was updated. `all` holds the endpoints with their destinations and states.
    pub fn listed(&mut self, at: Moment, whole: bool, all: impl Iterator<Item = (u64, u64, State)>) {
        let Some(log) = &mut self.log else { return };
        log.note(at.wall, &Entry::Listed { whole });
        let mut now = HashMap::with_capacity(self.endpoints.len());
        // The endpoints of the first list of a process are not recorded as new.
        let first = self.endpoints.is_empty();
        for (endpoint, dest, state) in all {
            now.insert(endpoint, dest);
            if !first && !self.endpoints.contains_key(&endpoint) {
                log.appears(at.wall, endpoint, dest);
            }
            log.state(at.wall, endpoint, dest, state);
        }
        for (endpoint, dest) in std::mem::replace(&mut self.endpoints, now) {
            if !self.endpoints.contains_key(&endpoint) {
                log.state(at.wall, endpoint, dest, State::Gone);
            }
        }
    }

    /// The state of an endpoint changed.
    pub fn state(&mut self, at: Moment, endpoint: u64, dest: u64, state: State) {
        if let Some(log) = &mut self.log {
            log.state(at.wall, endpoint, dest, state);
        }
    }

    /// New messages are refused because of an outdated version (`out`), or accepted again (`None`).
    pub fn service(&mut self, at: Moment, out: Option<Kind>) {
        if let Some(log) = &mut self.log {
            log.service(at.wall, out);
        }
    }

    /// The rate share of a destination changed.
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

    /// A share was lent or borrowed.
    pub fn loan(&mut self, at: Moment, loan: &Loan) {
        if let Some(log) = &mut self.log {
            log.loan(at.wall, loan, loan.until.saturating_sub(at.now), self.stood);
        }
    }

    /// A round of this dispatcher.
    pub fn beat(&mut self, at: Moment, epoch: u32, beat: u32) {
        if let Some(log) = self.log.as_mut().filter(|_| beat.is_multiple_of(BEAT_INTERVAL)) {
            log.note(at.wall, &Entry::Beat { epoch, beat });
        }
    }

    /// A round of another dispatcher, received from itself.
    pub fn heard(&mut self, at: Moment, peer: u16, epoch: u32, beat: u32) {
        let Some(log) = &mut self.log else { return };
        let next_peer_beat = self.next_peer_beat.entry(peer).or_insert(0);
        if at.now >= *next_peer_beat {
            *next_peer_beat = at.now.saturating_add(PEER_BEAT_INTERVAL);
            log.note(at.wall, &Entry::Heard { peer, epoch, beat });
        }
    }

    /// Writes the buffered entries; must precede any effect of the recorded decisions.
    pub fn write(&mut self, at: Moment) {
        if let Some(log) = &mut self.log {
            log.write(at.wall);
        }
    }

    /// Closes the log: this process makes no further decisions.
    pub fn end(&mut self, at: Moment) {
        if let Some(mut log) = self.log.take() {
            log.end(at.wall);
        }
    }

    /// Records and bytes written so far; `None` if the log is closed or cannot be written.
    pub fn figures(&self) -> Option<(u64, u64)> {
        self.log.as_ref().map(Log::written)
    }
}
