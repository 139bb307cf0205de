//! Filter for incoming datagrams. Malformed datagrams, other versions and floods are dropped early and
//! counted.
//!
//! At most [`RATE`] datagrams per second are read from each peer, in bursts of at most [`BURST`].

use crate::frame::{self, Frame};
use crate::{Nanos, Peer};

/// Maximum datagrams per second from one peer: many times what a well-behaved peer sends.
pub const RATE: u64 = 100;
/// Maximum burst of datagrams from one peer.
pub const BURST: u64 = 100;
const SECOND: Nanos = 1_000_000_000;

/// Counts of received datagrams by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FilterStats {
    /// Accepted.
    pub read: u64,
    /// From an unknown sender, or with another dispatcher's number as sender.
    pub unknown: u64,
    /// Not decodable.
    pub malformed: u64,
    /// Of another version.
    pub version: u64,
    /// Above the rate limit.
    pub rate_limited: u64,
}

/// The filter of one dispatcher.
#[derive(Clone, Debug)]
pub struct FrameFilter {
    /// Token bucket of each peer: tokens, in nanoseconds of its rate, and when they were last updated.
    peers: Vec<(Nanos, Nanos)>,
    stats: FilterStats,
}

impl FrameFilter {
    /// Creates the filter for a fleet of `of` dispatchers.
    pub fn new(of: u16) -> Self {
        FrameFilter {
            peers: vec![(SECOND * BURST / RATE, 0); usize::from(of)],
            stats: FilterStats::default(),
        }
    }

    /// Decodes a datagram from a configured peer (`None`: unknown sender). Returns `None` if it is dropped.
    pub fn read(&mut self, now: Nanos, from: Option<Peer>, bytes: &[u8]) -> Option<Frame> {
        let known = from.and_then(|from| Some((from, self.peers.get_mut(usize::from(from))?)));
        let Some((from, (tokens, at))) = known else {
            self.stats.unknown += 1;
            return None;
        };
        let (each, most) = (SECOND / RATE, SECOND * BURST / RATE);
        *tokens = tokens.saturating_add(now.saturating_sub(*at)).min(most);
        *at = now.max(*at);
        if *tokens < each {
            self.stats.rate_limited += 1;
            return None;
        }
        *tokens -= each;
        match frame::read(bytes) {
            Ok(frame) if frame.speaker.who == from => {
                self.stats.read += 1;
                return Some(frame);
            }
            Ok(_) => self.stats.unknown += 1,
            Err(frame::Error::Version(_)) => self.stats.version += 1,
            Err(_) => self.stats.malformed += 1,
        }
        None
    }

    /// Returns the counts so far.
    pub fn stats(&self) -> FilterStats {
        self.stats
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame::{Heartbeat, Packing, Sender, VERSION, VERSIONS_VERSION};

    fn datagram(who: Peer) -> Vec<u8> {
        Packing::new(&Sender { who, of: 3, life: Heartbeat { incarnation: 1, beat: 1 } }).bytes()
    }

    #[test]
    fn only_valid_datagrams_within_the_rate_limit_are_accepted() {
        let mut filter = FrameFilter::new(3);
        assert!(filter.read(0, Some(1), &datagram(1)).is_some());
        assert!(
            filter.read(0, Some(1), &datagram(2)).is_none(),
            "sent with the number of another dispatcher"
        );
        assert!(filter.read(0, None, &datagram(1)).is_none());
        assert!(filter.read(0, Some(7), &datagram(7)).is_none());
        let mut newer = datagram(1);
        newer[0] = VERSIONS_VERSION + 1;
        assert!(filter.read(0, Some(1), &newer).is_none());
        for n in 0..datagram(1).len() {
            let mut damaged = datagram(1);
            damaged[n] ^= 0x10;
            assert!(filter.read(n as Nanos * SECOND, Some(1), &damaged).is_none(), "byte {n}");
            assert!(filter.read(n as Nanos * SECOND, Some(1), &datagram(1)[..n]).is_none(), "cut at {n}");
        }
        assert!(filter.read(99 * SECOND, Some(1), &[VERSION; 400]).is_none());
        let read = (0..1_000).filter(|_| filter.read(200 * SECOND, Some(2), &datagram(2)).is_some()).count();
        assert_eq!(read as u64, BURST);
        assert!(filter.read(200 * SECOND, Some(1), &datagram(1)).is_some(), "other peers are not affected");
        let stats = filter.stats();
        assert_eq!((stats.rate_limited, stats.unknown, stats.version), (1_000 - BURST, 3, 2), "{stats:?}");
    }
}
