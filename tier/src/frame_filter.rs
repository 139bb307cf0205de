//! What comes in is looked at before anything else is: nonsense, other versions and floods cost no round, and are counted.
//!
//! Kept bound: of each peer no more than [`RATE`] datagrams a second are read, and [`BURST`] at once.

use crate::frame::{self, Frame};
use crate::{Nanos, Peer};

/// Datagrams a second of one peer: many times what one that keeps to the terms sends to any other.
pub const RATE: u64 = 100;
/// At once.
pub const BURST: u64 = 100;
const SECOND: Nanos = 1_000_000_000;

/// Datagrams by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FilterStats {
    /// Read.
    pub read: u64,
    /// From nobody who is configured, or in another's name.
    pub unknown: u64,
    /// Not readable.
    pub malformed: u64,
    /// Of another version.
    pub version: u64,
    /// More than a peer may send.
    pub rate_limited: u64,
}

/// One dispatcher's sieve.
#[derive(Clone, Debug)]
pub struct FrameFilter {
    /// Tokens of each peer, in nanoseconds of its rate, and when they were counted.
    peers: Vec<(Nanos, Nanos)>,
    sifted: FilterStats,
}

impl FrameFilter {
    /// For so many dispatchers.
    pub fn new(of: u16) -> Self {
        FrameFilter {
            peers: vec![(SECOND * BURST / RATE, 0); usize::from(of)],
            sifted: FilterStats::default(),
        }
    }

    /// A datagram from somebody who is configured, or from nobody: what it says, where that counts.
    pub fn read(&mut self, now: Nanos, from: Option<Peer>, bytes: &[u8]) -> Option<Frame> {
        let known = from.and_then(|from| Some((from, self.peers.get_mut(usize::from(from))?)));
        let Some((from, (tokens, at))) = known else {
            self.sifted.unknown += 1;
            return None;
        };
        let (each, most) = (SECOND / RATE, SECOND * BURST / RATE);
        *tokens = tokens.saturating_add(now.saturating_sub(*at)).min(most);
        *at = now.max(*at);
        if *tokens < each {
            self.sifted.rate_limited += 1;
            return None;
        }
        *tokens -= each;
        match frame::read(bytes) {
            Ok(frame) if frame.speaker.who == from => {
                self.sifted.read += 1;
                return Some(frame);
            }
            Ok(_) => self.sifted.unknown += 1,
            Err(frame::Error::Version(_)) => self.sifted.version += 1,
            Err(_) => self.sifted.malformed += 1,
        }
        None
    }

    /// What became of all so far.
    pub fn stats(&self) -> FilterStats {
        self.sifted
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame::{Heartbeat, OF_STANDINGS, Packing, Sender, VERSION};

    fn datagram(who: Peer) -> Vec<u8> {
        Packing::new(&Sender { who, of: 3, life: Heartbeat { incarnation: 1, beat: 1 } }).bytes()
    }

    #[test]
    fn only_what_a_peer_says_in_its_own_name_and_at_a_pace_is_read() {
        let mut sieve = FrameFilter::new(3);
        assert!(sieve.read(0, Some(1), &datagram(1)).is_some());
        assert!(sieve.read(0, Some(1), &datagram(2)).is_none(), "in another's name");
        assert!(sieve.read(0, None, &datagram(1)).is_none());
        assert!(sieve.read(0, Some(7), &datagram(7)).is_none());
        let mut newer = datagram(1);
        newer[0] = OF_STANDINGS + 1;
        assert!(sieve.read(0, Some(1), &newer).is_none());
        for n in 0..datagram(1).len() {
            let mut damaged = datagram(1);
            damaged[n] ^= 0x10;
            assert!(sieve.read(n as Nanos * SECOND, Some(1), &damaged).is_none(), "byte {n}");
            assert!(sieve.read(n as Nanos * SECOND, Some(1), &datagram(1)[..n]).is_none(), "cut at {n}");
        }
        assert!(sieve.read(99 * SECOND, Some(1), &[VERSION; 400]).is_none());
        let read = (0..1_000).filter(|_| sieve.read(200 * SECOND, Some(2), &datagram(2)).is_some()).count();
        assert_eq!(read as u64, BURST);
        assert!(
            sieve.read(200 * SECOND, Some(1), &datagram(1)).is_some(),
            "another peer is heard all the same"
        );
        let sifted = sieve.stats();
        assert_eq!(
            (sifted.rate_limited, sifted.unknown, sifted.version),
            (1_000 - BURST, 3, 2),
            "{sifted:?}"
        );
    }
}
