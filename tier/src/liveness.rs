//! Who is heard: for each configured dispatcher its life as far as it is known, and when that last went on.
//!
//! Life is passed on, so that of many dispatchers each need hear only a few. Kept invariants: a life never goes back;
//! one place for each configured number, whatever is said.

use serde::Serialize;

use crate::config::{TierConfig, ms};
use crate::frame::{Heartbeat, Sender};
use crate::{Incarnation, Nanos, Peer};

/// How a dispatcher is seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Presence {
    /// Its life went on of late.
    Alive,
    /// Not for a while.
    Suspected,
    /// Not for long.
    Silent,
    /// So long that nothing of it counts; or never heard of.
    Gone,
}

/// Among so many the times of the terms hold as they are; among twice as many they are twice as long.
const FEW: usize = 32;

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Known {
    life: Heartbeat,
    /// When its life last went on, and when it last spoke here itself.
    since: Option<Nanos>,
    spoke: Option<Nanos>,
    /// How many dispatchers there are by its configuration; 0 until told.
    of: u16,
}

/// Who is heard by one dispatcher.
#[derive(Clone, Debug, Serialize)]
pub struct Liveness {
    me: Peer,
    own: Heartbeat,
    began: Nanos,
    peers: Vec<Known>,
}

impl Liveness {
    /// Nobody is heard yet. This is number `me` of `of`.
    pub fn new(now: Nanos, me: Peer, of: u16, incarnation: Incarnation) -> Self {
        let own = Heartbeat { incarnation, beat: 0 };
        Liveness { me, own, began: now, peers: vec![Known::default(); usize::from(of)] }
    }

    /// Who this is, for what it says.
    pub fn sender(&self) -> Sender {
        Sender { who: self.me, of: self.peers.len() as u16, life: self.own }
    }

    /// A round of one's own.
    pub fn advance_beat(&mut self) {
        self.own.beat = self.own.beat.saturating_add(1);
    }

    /// A new epoch of one's own: what was said before of lendings is void.
    pub fn begin_epoch(&mut self) -> Incarnation {
        self.own = Heartbeat { incarnation: self.own.incarnation.saturating_add(1), beat: 0 };
        self.own.incarnation
    }

    /// Somebody speaks here itself.
    pub fn observe_sender(&mut self, now: Nanos, speaker: &Sender) {
        if let Some(known) = self.peers.get_mut(usize::from(speaker.who))
            && speaker.life >= known.life
        {
            (known.spoke, known.of) = (Some(now), speaker.of);
        }
        self.observe(now, speaker.who, speaker.life);
    }

    /// Somebody is said to live. `Some` where it is this one, in a life that it has not had: it begins one beyond.
    pub fn observe(&mut self, now: Nanos, who: Peer, life: Heartbeat) -> Option<Incarnation> {
        if who == self.me {
            // A folder that was lost or is old, or a clock that went back: somebody knew a later life under this name.
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

    /// How somebody is seen from here.
    pub fn presence(&self, now: Nanos, terms: &TierConfig, who: Peer) -> Presence {
        let since = self.peers.get(usize::from(who)).and_then(|known| known.since);
        let Some(since) = since else { return Presence::Gone };
        // Of many, each is heard of more seldom.
        let scale = self.peers.len().div_ceil(FEW) as u64;
        match now.saturating_sub(since) / scale.max(1) {
            age if age < ms(terms.suspected_ms) => Presence::Alive,
            age if age < ms(terms.silent_ms) => Presence::Suspected,
            age if age < ms(terms.gone_ms) => Presence::Silent,
            _ => Presence::Gone,
        }
    }

    /// Somebody's life, as far as it is known.
    pub fn heartbeat(&self, who: Peer) -> Heartbeat {
        if who == self.me {
            self.own
        } else {
            self.peers.get(usize::from(who)).map_or(Heartbeat::default(), |k| k.life)
        }
    }

    /// All others, by number.
    pub fn others(&self) -> impl Iterator<Item = Peer> + '_ {
        (0..self.peers.len() as Peer).filter(|who| *who != self.me)
    }

    /// How many others are seen so.
    pub fn count(&self, now: Nanos, terms: &TierConfig, presence: Presence) -> usize {
        self.others().filter(|who| self.presence(now, terms, *who) == presence).count()
    }

    /// Nobody has spoken here for so long that a peer would be silent: it is this one that hears nothing, or all the
    /// others are gone. Nothing that is known of others is known of now.
    pub fn is_isolated(&self, now: Nanos, terms: &TierConfig) -> bool {
        let last = self.peers.iter().filter_map(|known| known.spoke).max().unwrap_or(self.began);
        self.peers.len() > 1 && now.saturating_sub(last) >= ms(terms.silent_ms)
    }

    /// How many dispatchers there are, for shares: by this one's configuration, or by that of a peer that says more, until
    /// that peer says otherwise. While configurations change, the larger number holds; who is silent counts.
    pub fn configured(&self) -> u16 {
        let own = self.peers.len() as u16;
        self.peers.iter().map(|known| known.of).fold(own.max(1), u16::max)
    }

    /// How many dispatchers are heard, this one included. For no share, but to show what goes wrong by it.
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
    fn a_peer_is_alive_suspected_silent_and_gone_as_time_passes_and_its_life_never_goes_back() {
        let terms = TierConfig::default();
        let mut heard = Liveness::new(0, 0, 3, 7);
        assert_eq!(heard.presence(0, &terms, 1), Presence::Gone, "never heard of");
        heard.observe(SECOND, 1, life(4, 10));
        for (at, standing) in
            [(2, Presence::Alive), (4, Presence::Suspected), (7, Presence::Silent), (62, Presence::Gone)]
        {
            assert_eq!(heard.presence(at * SECOND, &terms, 1), standing, "{at}");
        }
        // What was heard before is no life; a new one is.
        for old in [life(4, 10), life(4, 9), life(3, 99)] {
            heard.observe(70 * SECOND, 1, old);
            assert_eq!(heard.presence(70 * SECOND, &terms, 1), Presence::Gone);
        }
        heard.observe(70 * SECOND, 1, life(5, 0));
        assert_eq!(heard.presence(70 * SECOND, &terms, 1), Presence::Alive);
    }

    #[test]
    fn whoever_hears_nobody_knows_though_others_may_hear_it() {
        let terms = TierConfig::default();
        let mut heard = Liveness::new(0, 0, 3, 1);
        assert!(!heard.is_isolated(SECOND, &terms), "too early to tell");
        assert!(heard.is_isolated(6 * SECOND, &terms));
        heard.observe_sender(7 * SECOND, &Sender { who: 2, of: 3, life: life(1, 1) });
        assert!(!heard.is_isolated(8 * SECOND, &terms));
        // What was passed on by nobody in particular is not heard; one dispatcher alone has nobody to hear.
        heard.observe(20 * SECOND, 1, life(1, 1));
        assert!(heard.is_isolated(20 * SECOND, &terms));
        assert!(!Liveness::new(0, 0, 1, 1).is_isolated(99 * SECOND, &terms));
    }

    #[test]
    fn a_later_life_under_ones_own_name_is_left_behind() {
        let mut heard = Liveness::new(0, 1, 3, 5);
        heard.advance_beat();
        assert_eq!(heard.observe(1, 1, life(5, 1)), None, "its own");
        assert_eq!(heard.observe(1, 1, life(4, 900)), None);
        assert_eq!(
            heard.observe(2, 1, life(9, 3)),
            Some(10),
            "its folder was lost, and peers knew a ninth life"
        );
        assert_eq!(heard.observe(3, 1, life(10, 50)), Some(11), "two lives of one number");
        assert_eq!(heard.sender().life, life(11, 0));
    }

    #[test]
    fn shares_go_by_the_largest_configured_number_of_a_peer_and_never_by_who_is_heard() {
        let mut heard = Liveness::new(0, 0, 4, 1);
        assert_eq!(heard.configured(), 4);
        heard.observe_sender(1, &Sender { who: 1, of: 8, life: life(1, 1) });
        heard.observe_sender(1, &Sender { who: 2, of: 2, life: life(1, 1) });
        assert_eq!(heard.configured(), 8);
        // An old word of it changes nothing; silence does not either.
        heard.observe_sender(2, &Sender { who: 1, of: 4, life: life(0, 9) });
        assert_eq!(heard.configured(), 8);
        heard.observe_sender(3, &Sender { who: 1, of: 4, life: life(1, 2) });
        assert_eq!(heard.configured(), 4);
    }
}
