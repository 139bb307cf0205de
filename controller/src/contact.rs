//! Contact with a majority of the voters: whether it holds, and which read of the register is needed to
//! regain it.
//!
//! The evidence of contact is a reply to a message of this controller, which shows that both directions work.
//! A reply counts from the time at which the message was sent, so that a delayed reply proves nothing about
//! the present.
//!
//! Invariant: while contact holds, this controller has reached a majority within the timeout, and it has read
//! the register from a majority since it first reached one after a loss. The configuration that it knows as
//! chosen is therefore no older than the timeout.

use std::collections::BTreeMap;

use millpost_protocol::{object, whole};
use millpost_quorum::{Address, Members};
use tinyjson::JsonValue;

use crate::{MS, Nanos};

/// Delay before a failed read of the register is repeated.
const READ_RETRY_DELAY: Nanos = 1_000 * MS;
/// Maximum number of peers whose replies are kept; larger than the number of voters.
const MAX_PEERS: usize = 64;

/// Another controller's reply to a gossip message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipReply {
    /// When the message was sent, by the clock of this controller.
    pub sent: Nanos,
    /// The epoch of the members that the other controller knows.
    pub epoch: u64,
    /// Whether the other controller has a state to vote with.
    pub voting: bool,
    /// The revision of the configuration that it knows to be chosen.
    pub revision: u64,
    /// Its members, if they are newer than those that the message reported.
    pub members: Option<Members>,
}

impl GossipReply {
    /// Returns the body of the reply to a sender whose members have the epoch `known`, if it has any.
    pub fn encode(members: Option<&Members>, known: Option<u64>, voting: bool, revision: u64) -> String {
        let epoch = members.map_or(0, |members| members.epoch);
        let newer = members.filter(|members| known.is_none_or(|known| known < members.epoch));
        let parts = object([
            ("epoch", JsonValue::Number(epoch as f64)),
            ("voting", JsonValue::Boolean(voting)),
            ("rev", JsonValue::Number(revision as f64)),
            ("members", newer.map_or(JsonValue::Null, Members::to_json)),
        ]);
        parts.stringify().unwrap_or_default()
    }

    /// Parses the body of a reply to a message sent at `sent`; returns `None` if it is invalid.
    pub fn decode(sent: Nanos, body: &[u8]) -> Option<GossipReply> {
        let JsonValue::Object(parts) = millpost_net::messaging::json(body)? else { return None };
        let voting = parts.get("voting") == Some(&JsonValue::Boolean(true));
        let members = parts.get("members").and_then(|members| Members::from_json(members).ok());
        let (epoch, revision) = (whole(&parts, "epoch").ok()?, whole(&parts, "rev").ok()?);
        Some(GossipReply { sent, epoch, voting, revision, members })
    }
}

/// Number of a read of the register that confirms the local state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactRead(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Lost,
    /// A majority is reached. This read of the register has been in progress since the given time.
    Confirming(ContactRead, Nanos),
    /// Contact holds since this time, under the members of this epoch.
    Holds(Nanos, u64),
}

/// The contact of a controller.
#[derive(Debug)]
pub struct Contact {
    me: Address,
    timeout: Nanos,
    /// When the process started.
    started_at: Option<Nanos>,
    replies: BTreeMap<Address, GossipReply>,
    state: State,
    reads: u64,
}

impl Contact {
    /// Creates the contact of the controller `me`, which is lost after `timeout` without a majority.
    pub fn new(me: Address, timeout: Nanos) -> Self {
        Contact { me, timeout, started_at: None, replies: BTreeMap::new(), state: State::Lost, reads: 0 }
    }

    /// Records a reply of another controller.
    pub fn on_reply(&mut self, peer: Address, reply: GossipReply) {
        let known = self.replies.get(&peer);
        if known.is_some_and(|known| known.sent >= reply.sent) {
            return;
        }
        if self.replies.len() >= MAX_PEERS && known.is_none() {
            let oldest =
                self.replies.iter().min_by_key(|(_, known)| known.sent).map(|(peer, _)| peer.clone());
            oldest.map(|peer| self.replies.remove(&peer));
        }
        self.replies.insert(peer, reply);
    }

    /// Returns when the message was sent that a voter replied to last.
    pub fn last_reply_sent(&self, peer: &str) -> Option<Nanos> {
        self.replies.get(peer).map(|reply| reply.sent)
    }

    /// Updates the state. `voting`: this controller has a state to vote with. If a number is returned, the
    /// caller must start a read of the register.
    pub fn update(&mut self, now: Nanos, members: Option<&Members>, voting: bool) -> Option<ContactRead> {
        self.started_at.get_or_insert(now);
        let Some(members) = members else {
            self.state = State::Lost;
            return None;
        };
        let fresh = |reply: &GossipReply| reply.sent + self.timeout > now;
        let reaches = |voter: &Address| match self.replies.get(voter) {
            _ if *voter == self.me => voting,
            Some(reply) => fresh(reply) && reply.voting,
            None => false,
        };
        if !members.has_quorum(reaches) {
            if self.state != State::Lost {
                log::warn!("contact lost: no majority of the voters replies");
            }
            self.state = State::Lost;
            return None;
        }
        match self.state {
            // Newer members may have decided without the voters that were asked.
            State::Holds(_, epoch) if epoch == members.epoch => None,
            State::Confirming(_, asked) if now < asked + READ_RETRY_DELAY => None,
            _ => {
                self.reads += 1;
                self.state = State::Confirming(ContactRead(self.reads), now);
                Some(ContactRead(self.reads))
            }
        }
    }

    /// Records that a majority of the members of this epoch has answered a read of the register.
    pub fn confirmed(&mut self, now: Nanos, read: ContactRead, epoch: u64) {
        if matches!(self.state, State::Confirming(under_way, _) if under_way == read) {
            log::info!("contact with a majority of the voters established");
            self.state = State::Holds(now, epoch);
        }
    }

    /// Returns whether contact holds, so that the local configuration may be served as the chosen one.
    pub fn holds(&self) -> bool {
        matches!(self.state, State::Holds(..))
    }

    /// Returns the newest chosen revision in recent replies.
    pub fn newest_revision(&self, now: Nanos) -> u64 {
        let fresh = self.replies.values().filter(|reply| reply.sent + self.timeout > now);
        fresh.map(|reply| reply.revision).max().unwrap_or(0)
    }

    /// Returns whether a majority is reached, even if the register has not been read yet.
    pub fn has_majority(&self) -> bool {
        self.state != State::Lost
    }

    /// Returns whether there is no majority, so that a round of the register would only run into its timeout.
    /// Returns false until the timeout has passed once since the start.
    pub fn is_lost(&self, now: Nanos) -> bool {
        self.state == State::Lost
            && self.started_at.is_some_and(|started_at| now >= started_at + self.timeout)
    }

    /// Returns the state, for operators.
    pub fn status(&self) -> &'static str {
        match self.state {
            State::Lost => "lost",
            State::Confirming(..) => "reads",
            State::Holds(..) => "holds",
        }
    }

    /// Returns how long the process has been running.
    pub fn uptime(&self, now: Nanos) -> Nanos {
        self.started_at.map_or(0, |started_at| now.saturating_sub(started_at))
    }

    /// Returns for how long contact has held.
    pub fn held_for(&self, now: Nanos) -> Option<Nanos> {
        let State::Holds(since, _) = self.state else { return None };
        Some(now.saturating_sub(since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMEOUT: Nanos = 1_500 * MS;

    fn members(epoch: u64) -> Members {
        Members { epoch, ..Members::initial("u", ["a", "b", "c"].map(Address::from)) }
    }

    fn reply(sent_ms: u64, epoch: u64, voting: bool) -> GossipReply {
        GossipReply { sent: sent_ms * MS, epoch, voting, revision: 0, members: None }
    }

    /// Returns a contact that holds since 10 ms.
    fn contact_that_holds() -> Contact {
        let mut contact = Contact::new("a".into(), TIMEOUT);
        contact.on_reply("b".into(), reply(0, 0, true));
        let read = contact.update(5 * MS, Some(&members(0)), true).expect("a read");
        assert!(contact.has_majority() && !contact.holds());
        contact.confirmed(10 * MS, read, 0);
        assert!(contact.holds());
        contact
    }

    #[yare::parameterized(
        no_replies = { &[], true, false },
        one_of_three = { &[("b", 0, true)], true, true },
        without_a_state_here = { &[("b", 0, true)], false, false },
        both_others = { &[("b", 0, true), ("c", 0, true)], false, true },
        one_without_a_state = { &[("b", 0, false)], true, false },
        one_that_is_no_voter = { &[("x", 0, true)], true, false },
    )]
    fn contact_needs_replies_of_a_majority_with_a_state(
        peers: &[(&str, u64, bool)],
        voting: bool,
        expected: bool,
    ) {
        let mut contact = Contact::new("a".into(), TIMEOUT);
        for (peer, epoch, votes) in peers {
            contact.on_reply((*peer).into(), reply(0, *epoch, *votes));
        }
        assert_eq!(contact.update(MS, Some(&members(0)), voting).is_some(), expected);
    }

    #[test]
    fn a_reply_counts_from_when_its_message_was_sent() {
        let mut contact = contact_that_holds();
        assert_eq!(contact.update(TIMEOUT - 1, Some(&members(0)), true), None);
        assert!(contact.holds());
        // A newer reply arrives now, to a message that was sent earlier.
        contact.on_reply("b".into(), reply(0, 0, true));
        assert_eq!(contact.update(TIMEOUT, Some(&members(0)), true), None);
        assert!(!contact.has_majority() && contact.is_lost(TIMEOUT + 5 * MS));
    }

    #[test]
    fn after_a_loss_contact_holds_only_after_a_read_of_the_register() {
        let mut contact = contact_that_holds();
        contact.update(2 * TIMEOUT, Some(&members(0)), true);
        contact.on_reply("c".into(), reply(3_000, 0, true));
        let first = contact.update(3_001 * MS, Some(&members(0)), true).expect("a read");
        assert!(!contact.holds() && !contact.is_lost(3_001 * MS));
        let second = contact.update(4_001 * MS, Some(&members(0)), true).expect("another");
        // The first read may have been answered before the second one started.
        contact.confirmed(4_002 * MS, first, 0);
        assert!(!contact.holds());
        contact.confirmed(4_003 * MS, second, 0);
        assert_eq!(contact.held_for(4_005 * MS), Some(2 * MS));
    }

    /// A controller that learned newer members from a peer, before its voters knew them, used to read the
    /// register without end.
    #[test]
    fn under_newer_members_the_register_is_read_again_once() {
        let mut contact = contact_that_holds();
        contact.on_reply("c".into(), reply(20, 2, true));
        assert_eq!(contact.update(21 * MS, Some(&members(0)), true), None);
        let read = contact.update(22 * MS, Some(&members(2)), true).expect("a read");
        assert!(!contact.holds() && contact.has_majority());
        contact.confirmed(25 * MS, read, 2);
        assert_eq!(contact.update(26 * MS, Some(&members(2)), true), None);
        assert!(contact.holds());
    }

    #[test]
    fn contact_is_not_lost_directly_after_the_start() {
        let mut contact = Contact::new("a".into(), TIMEOUT);
        assert_eq!(contact.update(7 * MS, Some(&members(0)), true), None);
        assert!(!contact.is_lost(8 * MS) && contact.is_lost(7 * MS + TIMEOUT));
    }

    #[test]
    fn the_number_of_kept_replies_is_bounded() {
        let mut contact = Contact::new("a".into(), TIMEOUT);
        for n in 0..3 * MAX_PEERS as u64 {
            contact.on_reply(format!("p{n}").into(), reply(n, 0, true));
        }
        assert_eq!(contact.replies.len(), MAX_PEERS);
        assert!(contact.last_reply_sent("p0").is_none() && contact.last_reply_sent("p191").is_some());
    }

    #[test]
    fn replies_round_trip_and_invalid_bodies_are_rejected() {
        for (known, has_members) in [(None, true), (Some(6), true), (Some(7), false)] {
            let newer = members(7);
            let body = GossipReply::encode(Some(&newer), known, true, 5);
            let members = has_members.then_some(newer);
            let expected = GossipReply { sent: 3, epoch: 7, voting: true, revision: 5, members };
            assert_eq!(GossipReply::decode(3, body.as_bytes()), Some(expected), "{known:?}");
        }
        for other in ["", "[]", "{}", r#"{"epoch":-1}"#] {
            assert_eq!(GossipReply::decode(3, other.as_bytes()), None, "{other}");
        }
    }
}
