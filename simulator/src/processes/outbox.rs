//! Batched delivery of messages to one peer: the outbox of `millpost_net::messaging` as a state machine.
//! While the peer is down, one batch at a time probes whether it is back.

use millpost_protocol::PeerMessage;

use crate::{MS, Time};

const FIRST_PAUSE: Time = 20 * MS;
const LONGEST_PAUSE: Time = 500 * MS;
const MAX_WAITING: usize = 8_000;

/// Messages that wait for a peer, and batches in flight.
pub struct Outbox {
    at_once: usize,
    waiting: Vec<PeerMessage>,
    in_flight: Vec<(u64, Vec<PeerMessage>)>,
    up: Option<bool>,
    pause: Time,
    not_before: Time,
}

/// Result of a batch.
pub enum BatchOutcome {
    /// The peer is reachable for the first time or again.
    Up,
    /// Delivered, or the batch is unknown.
    Well,
    /// These messages may not have been delivered.
    Lost(Vec<PeerMessage>),
}

impl Outbox {
    /// An empty outbox that sends up to `at_once` batches concurrently.
    pub fn new(at_once: usize) -> Self {
        Outbox { at_once, waiting: Vec::new(), in_flight: Vec::new(), up: None, pause: 0, not_before: 0 }
    }

    /// Queues a message. Returns false if the queue is full.
    pub fn push(&mut self, message: PeerMessage) -> bool {
        let room = self.waiting.len() < MAX_WAITING;
        if room {
            self.waiting.push(message);
        }
        room
    }

    /// Takes the next batch to send, under the id `id`.
    pub fn take(&mut self, now: Time, id: u64) -> Option<Vec<PeerMessage>> {
        let most = if self.up == Some(false) { 1 } else { self.at_once };
        if self.waiting.is_empty() || now < self.not_before || self.in_flight.len() >= most {
            return None;
        }
        let messages = std::mem::take(&mut self.waiting);
        self.in_flight.push((id, messages.clone()));
        Some(messages)
    }

    /// When [`Outbox::take`] may next return a batch.
    pub fn due(&self) -> Option<Time> {
        let most = if self.up == Some(false) { 1 } else { self.at_once };
        (!self.waiting.is_empty() && self.in_flight.len() < most).then_some(self.not_before)
    }

    /// Handles the end of a batch; `taken`: whether the peer accepted it.
    pub fn batch_done(&mut self, now: Time, id: u64, taken: bool) -> BatchOutcome {
        let Some(at) = self.in_flight.iter().position(|(n, _)| *n == id) else { return BatchOutcome::Well };
        let (_, messages) = self.in_flight.remove(at);
        if taken {
            self.pause = 0;
            return if self.up.replace(true) == Some(true) { BatchOutcome::Well } else { BatchOutcome::Up };
        }
        self.pause = if self.pause == 0 { FIRST_PAUSE } else { (self.pause * 2).min(LONGEST_PAUSE) };
        self.not_before = now + self.pause;
        self.up = Some(false);
        BatchOutcome::Lost(messages)
    }

    /// Whether no messages wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the batch with this id is in flight.
    pub fn has(&self, id: u64) -> bool {
        self.in_flight.iter().any(|(n, _)| *n == id)
    }
}
