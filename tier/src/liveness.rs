//! Liveness of peers: for each configured dispatcher the last known heartbeat, and when it last advanced.
//!
//! Heartbeats are forwarded, so that in a large fleet each dispatcher need hear only a few others.
//! Invariants: a heartbeat never goes back, and there is exactly one entry for each configured dispatcher,
//! whatever is received.

use serde::Serialize;

use crate::config::{TierConfig, ms};
use crate::frame::{Heartbeat, Sender};
use crate::{Incarnation, Nanos, Peer};

/// Liveness state of a peer as seen by this dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// Its heartbeat advanced recently.
    Alive,
    /// No advance for `suspected_ms`.
    Suspected,
    /// No advance for `silent_ms`.
    Silent,
    /// No advance for `gone_ms`, or never heard of. Its data is ignored.
    Gone,
}

/// Number of dispatchers up to which the configured time-outs apply unchanged; they grow in proportion beyond
/// it.
const UNSCALED_PEERS: usize = 32;

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Known {
    life: Heartbeat,
    /// When its heartbeat last advanced, and when a datagram of its own was last received.
    since: Option<Nanos>,
    spoke: Option<Nanos>,
    /// Number of dispatchers in its configuration; 0 if unknown.
    of: u16,
}

/// Liveness of all peers of one dispatcher.
#[derive(Clone, Debug, Serialize)]
pub struct Liveness {
    me: Peer,
    own: Heartbeat,
    began: Nanos,
    peers: Vec<Known>,
}

impl Liveness {
    /// Creates the state of dispatcher `me` of `of`, before any peer is heard.
    pub fn new(now: Nanos, me: Peer, of: u16, incarnation: Incarnation) -> Self {
        let own = Heartbeat { incarnation, beat: 0 };
        Liveness { me, own, began: now, peers: vec![Known::default(); usize::from(of)] }
    }

    /// Returns the sender of this dispatcher's datagrams.
    pub fn sender(&self) -> Sender {
        Sender { who: self.me, of: self.peers.len() as u16, life: self.own }
    }

    /// Advances this dispatcher's own heartbeat by one round.
    pub fn advance_beat(&mut self) {
        self.own.beat = self.own.beat.saturating_add(1);
    }

    /// Begins a new epoch of this dispatcher, which voids its earlier loans. Returns the new incarnation.
    pub fn begin_epoch(&mut self) -> Incarnation {
        self.own = Heartbeat { incarnation: self.own.incarnation.saturating_add(1), beat: 0 };
        self.own.incarnation
    }

    /// Records a datagram received directly from its sender.
    pub fn observe_sender(&mut self, now: Nanos, speaker: &Sender) {
        if let Some(known) = self.peers.get_mut(usize::from(speaker.who))
            && speaker.life >= known.life
        {
            (known.spoke, known.of) = (Some(now), speaker.of);
        }
        self.observe(now, speaker.who, speaker.life);
    }

    /// Records a heartbeat. Returns a new incarnation if it is a later one of this dispatcher itself.
    pub fn observe(&mut self, now: Nanos, who: Peer, life: Heartbeat) -> Option<Incarnation> {
        if who == self.me {
            // The state folder was lost or restored, or the clock went back: a peer knows a later
            // incarnation.
            if life <= self.own {
                return None;
            }
            self.own = Heartbeat { incarnation: life.incarnation.saturating_add(1), beat: 0 };
            return Some(self.own.incarnation);
        }
        let known = self.peers.get_mut(usize::from(who))?;
        if life > known.life {
            (known.life, known.since) = (life, Some(now));
        }
        None
    }

    /// Returns the liveness state of a peer.
    pub fn presence(&self, now: Nanos, terms: &TierConfig, who: Peer) -> Presence {
        let since = self.peers.get(usize::from(who)).and_then(|known| known.since);
        let Some(since) = since else { return Presence::Gone };
        // In a larger fleet each peer is heard of less often.
        let scale = self.peers.len().div_ceil(UNSCALED_PEERS) as u64;
        match now.saturating_sub(since) / scale.max(1) {
            age if age < ms(terms.suspected_ms) => Presence::Alive,
            age if age < ms(terms.silent_ms) => Presence::Suspected,
            age if age < ms(terms.gone_ms) => Presence::Silent,
            _ => Presence::Gone,
        }
    }

    /// Returns the last known heartbeat of a dispatcher.
    pub fn heartbeat(&self, who: Peer) -> Heartbeat {
        if who == self.me {
            self.own
        } else {
            self.peers.get(usize::from(who)).map_or(Heartbeat::default(), |k| k.life)
        }
    }

    /// Iterates over all other dispatchers in ascending order.
    pub fn others(&self) -> impl Iterator<Item = Peer> + '_ {
        (0..self.peers.len() as Peer).filter(|who| *who != self.me)
    }

    /// Returns the number of peers in a liveness state.
    pub fn count(&self, now: Nanos, terms: &TierConfig, presence: Presence) -> usize {
        self.others().filter(|who| self.presence(now, terms, *who) == presence).count()
    }

    /// Returns whether no peer has been heard directly for `silent_ms`: this dispatcher receives nothing, or
    /// all others are gone. What is known of the others is then outdated.
    pub fn is_isolated(&self, now: Nanos, terms: &TierConfig) -> bool {
        let last = self.peers.iter().filter_map(|known| known.spoke).max().unwrap_or(self.began);
        self.peers.len() > 1 && now.saturating_sub(last) >= ms(terms.silent_ms)
    }

    /// Returns the number of dispatchers among which shares are divided: the largest number in the
    /// configurations of this dispatcher and its peers, as last reported. Silent peers count.
    pub fn configured(&self) -> u16 {
        let own = self.peers.len() as u16;
        self.peers.iter().map(|known| known.of).fold(own.max(1), u16::max)
    }

    /// Returns the number of live dispatchers, this one included. Only for a planted fault that bases shares
    /// on it.
    pub(crate) fn heard(&self, now: Nanos, terms: &TierConfig) -> u16 {
        1 + self.count(now, terms, Presence::Alive) as u16
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Nanos = 1_000_000_000;

    fn life(incarnation: u32, beat: u32) -> Heartbeat {
        Heartbeat { incarnation, beat }
    }

    #[test]
    fn peer_becomes_suspected_silent_and_gone_and_old_heartbeats_are_ignored() {
        let terms = TierConfig::default();
        let mut heard = Liveness::new(0, 0, 3, 7);
        assert_eq!(heard.presence(0, &terms, 1), Presence::Gone, "never heard of");
        heard.observe(SECOND, 1, life(4, 10));
        for (at, standing) in
            [(2, Presence::Alive), (4, Presence::Suspected), (7, Presence::Silent), (62, Presence::Gone)]
        {
            assert_eq!(heard.presence(at * SECOND, &terms, 1), standing, "{at}");
        }
        // An older heartbeat does not make a peer alive; a newer one does.
        for old in [life(4, 10), life(4, 9), life(3, 99)] {
            heard.observe(70 * SECOND, 1, old);
            assert_eq!(heard.presence(70 * SECOND, &terms, 1), Presence::Gone);
        }
        heard.observe(70 * SECOND, 1, life(5, 0));
        assert_eq!(heard.presence(70 * SECOND, &terms, 1), Presence::Alive);
    }

    #[test]
    fn dispatcher_without_direct_datagrams_is_isolated() {
        let terms = TierConfig::default();
        let mut heard = Liveness::new(0, 0, 3, 1);
        assert!(!heard.is_isolated(SECOND, &terms), "too early to decide");
        assert!(heard.is_isolated(6 * SECOND, &terms));
        heard.observe_sender(7 * SECOND, &Sender { who: 2, of: 3, life: life(1, 1) });
        assert!(!heard.is_isolated(8 * SECOND, &terms));
        // A forwarded heartbeat is not a direct one; a single dispatcher is never isolated.
        heard.observe(20 * SECOND, 1, life(1, 1));
        assert!(heard.is_isolated(20 * SECOND, &terms));
        assert!(!Liveness::new(0, 0, 1, 1).is_isolated(99 * SECOND, &terms));
    }

    #[test]
    fn later_own_incarnation_is_exceeded() {
        let mut heard = Liveness::new(0, 1, 3, 5);
        heard.advance_beat();
        assert_eq!(heard.observe(1, 1, life(5, 1)), None, "its own heartbeat");
        assert_eq!(heard.observe(1, 1, life(4, 900)), None);
        assert_eq!(
            heard.observe(2, 1, life(9, 3)),
            Some(10),
            "the state folder was lost and peers knew incarnation 9"
        );
        assert_eq!(heard.observe(3, 1, life(10, 50)), Some(11), "two processes with the same number");
        assert_eq!(heard.sender().life, life(11, 0));
    }

    #[test]
    fn largest_configured_number_determines_shares() {
        let mut heard = Liveness::new(0, 0, 4, 1);
        assert_eq!(heard.configured(), 4);
        heard.observe_sender(1, &Sender { who: 1, of: 8, life: life(1, 1) });
        heard.observe_sender(1, &Sender { who: 2, of: 2, life: life(1, 1) });
        assert_eq!(heard.configured(), 8);
        // An older datagram changes nothing, and neither does silence.
        heard.observe_sender(2, &Sender { who: 1, of: 4, life: life(0, 9) });
        assert_eq!(heard.configured(), 8);
        heard.observe_sender(3, &Sender { who: 1, of: 4, life: life(1, 2) });
        assert_eq!(heard.configured(), 4);
    }
}
