//! Porters that want to be fed. Who comes while contact with a majority does not hold waits a moment for it, and is sent on after that:
//! another machine may have it. Invariants: each call is answered once; no more than [`MOST`] wait.

use std::collections::VecDeque;

use millpost_net::messaging::Call;
use millpost_protocol::{MessageBatch, PeerMessage};

use super::{Core, Effect, api};
use crate::errors::Kind;
use crate::{MS, Nanos};

/// A porter that comes without contact waits for so long: longer than one round of news, less than it gives an answer.
const WAIT: Nanos = 500 * MS;
/// Porters that wait at once.
const MOST: usize = 2_000;

/// A porter's call.
struct Follow {
    call: u64,
    letter: MessageBatch,
    /// It is fed whole configurations.
    whole: bool,
    until: Nanos,
}

/// Those that wait, in the order in which they came.
#[derive(Default)]
pub(super) struct Waiting(VecDeque<Follow>);

impl Waiting {
    /// When the first of them has waited for too long.
    pub(super) fn due(&self) -> Nanos {
        self.0.front().map_or(Nanos::MAX, |follow| follow.until)
    }
}

impl Core {
    /// A porter wants to be fed.
    pub(super) fn follow(&mut self, now: Nanos, call: u64, request: &Call) -> Result<(), Kind> {
        let letter = api::letter(request)?;
        let whole = request.query.as_deref() != Some("whole=0");
        let follow = Follow { call, letter, whole, until: now + WAIT };
        if self.in_contact(now) {
            return self.seat(now, follow);
        }
        if self.contact.is_lost(now) || self.waiting.0.len() >= MOST {
            return Err(Kind::NoMajority);
        }
        self.waiting.0.push_back(follow);
        Ok(())
    }

    /// Seats those that wait, once contact holds; who has waited for too long is sent on.
    pub(super) fn admit(&mut self, now: Nanos) {
        let holds = self.in_contact(now);
        let due = |follow: &Follow| holds || follow.until <= now;
        while self.waiting.0.front().is_some_and(due) {
            let Some(follow) = self.waiting.0.pop_front() else { return };
            let call = follow.call;
            let seated = if holds { self.seat(now, follow) } else { Err(Kind::NoMajority) };
            if let Err(kind) = seated {
                self.answer(call, Err(kind));
            }
        }
    }

    fn seat(&mut self, now: Nanos, Follow { call, letter, whole, .. }: Follow) -> Result<(), Kind> {
        let mut acts = 0;
        for note in &letter.notes {
            if let PeerMessage::Acts { revision, .. } = note {
                acts = *revision;
            }
            if let Some(leader) = self.leadership.leader_mut() {
                leader.note(now, note);
            }
        }
        let (fence, address) = self.known();
        let mut snapshot = vec![PeerMessage::Leader { address, fence }];
        if let Some(leader) = self.leadership.leader_mut() {
            snapshot.extend(self.outs.drains().snapshot(now, &letter.from));
            snapshot.extend(leader.snapshot(&letter.from));
        }
        let followed = self.feed.follow(now, letter.from, acts, whole, &snapshot).ok_or(Kind::Busy)?;
        self.effects.extend(followed.before.map(Effect::CloseFeed));
        self.effects.push(Effect::OpenFeed(call, followed.seat, followed.line));
        Ok(())
    }
}
