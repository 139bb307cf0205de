//! Feed requests of agents. A request that arrives while the controller has no contact with a majority waits
//! briefly for it, and is then refused so that the agent tries another controller.
//!
//! Invariants: each call is answered once; at most [`MAX_WAITING`] requests wait.

use std::collections::VecDeque;

use millpost_net::messaging::Call;
use millpost_protocol::{MessageBatch, PeerMessage};

use super::{Core, Effect, api};
use crate::errors::CallError;
use crate::{MS, Nanos};

/// How long a request waits for contact: longer than one gossip interval, shorter than the agent's timeout.
const CONTACT_WAIT: Nanos = 500 * MS;
/// Maximum number of waiting requests.
const MAX_WAITING: usize = 2_000;

/// A feed request of an agent.
struct FollowRequest {
    call: u64,
    batch: MessageBatch,
    /// Whether this controller sends whole configurations to the agent.
    whole: bool,
    deadline: Nanos,
}

/// Waiting requests in order of arrival.
#[derive(Default)]
pub(super) struct Waiting(VecDeque<FollowRequest>);

impl Waiting {
    /// Returns when the wait of the oldest request ends.
    pub(super) fn due(&self) -> Nanos {
        self.0.front().map_or(Nanos::MAX, |follow| follow.deadline)
    }
}

impl Core {
    /// Opens a feed for an agent, or lets the request wait for contact.
    pub(super) fn follow(&mut self, now: Nanos, call: u64, request: &Call) -> Result<(), CallError> {
        let batch = api::read_batch(request)?;
        let whole = request.query.as_deref() != Some("whole=0");
        let follow = FollowRequest { call, batch, whole, deadline: now + CONTACT_WAIT };
        if self.in_contact(now) {
            return self.open_feed(now, follow);
        }
        if self.contact.is_lost(now) || self.waiting.0.len() >= MAX_WAITING {
            return Err(CallError::NoMajority);
        }
        self.waiting.0.push_back(follow);
        Ok(())
    }

    /// Opens the feeds of waiting requests once contact holds, and refuses those that have waited for too
    /// long.
    pub(super) fn admit_waiting(&mut self, now: Nanos) {
        let holds = self.in_contact(now);
        let due = |follow: &FollowRequest| holds || follow.deadline <= now;
        while self.waiting.0.front().is_some_and(due) {
            let Some(follow) = self.waiting.0.pop_front() else { return };
            let call = follow.call;
            let opened = if holds { self.open_feed(now, follow) } else { Err(CallError::NoMajority) };
            if let Err(kind) = opened {
                self.answer(call, Err(kind));
            }
        }
    }

    fn open_feed(
        &mut self,
        now: Nanos,
        FollowRequest { call, batch, whole, .. }: FollowRequest,
    ) -> Result<(), CallError> {
        let mut applied_revision = 0;
        for message in &batch.messages {
            if let PeerMessage::ConfigApplied { revision, .. } = message {
                applied_revision = *revision;
            }
            if let Some(leader) = self.leadership.leader_mut() {
                leader.on_message(now, message);
            }
        }
        let (fence, address) = self.known_leader();
        let controllers = self.gossip.controllers(now, self.rounds.members());
        let mut snapshot =
            vec![PeerMessage::Leader { address, fence }, PeerMessage::Controllers { addresses: controllers }];
        if let Some(leader) = self.leadership.leader_mut() {
            snapshot.extend(self.drain_state.drains().snapshot(now, &batch.from));
            snapshot.extend(leader.snapshot(&batch.from));
        }
        let followed =
            self.feed.follow(now, batch.from, applied_revision, whole, &snapshot).ok_or(CallError::Busy)?;
        self.effects.extend(followed.replaced.map(Effect::CloseFeed));
        self.effects.push(Effect::OpenFeed(call, followed.connection, followed.line));
        Ok(())
    }
}
