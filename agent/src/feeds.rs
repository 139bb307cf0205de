//! Whom to follow: two control machines that are in contact with a majority of the voters, the steward among them, and one that feeds
//! whole configurations.
//!
//! Invariant: no address is followed twice, and each feed has a number of its own, so that what is left over of one that was closed
//! is told from what another brings.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{MS, Nanos, SECOND};

/// Control machines in contact that are followed at once.
const FOLLOWED: usize = 2;
/// ... and all that are: who has lost contact is fed by nobody, but may have it again in a moment.
const FOLLOWED_IN_ALL: usize = 4;
/// Another is followed beside one that has said for so long that it has no contact.
const WITHOUT_CONTACT: Nanos = 400 * MS;
/// Control machines that are kept in mind beside the seeds.
const OTHERS: usize = 32;
/// The pause after a failure; it doubles with each.
const FIRST_PAUSE: Nanos = 100 * MS;
const LONGEST_PAUSE: Nanos = SECOND;
/// ... but not for so long after the process has started, while nobody was heard: control may be starting as well, and all wait for it.
const EAGER: Nanos = 3 * SECOND;
/// A feed that held for longer was a good one.
const LONG: Nanos = 5 * SECOND;
/// A feed of changes alone is given this long before what it lacks counts as missed: another brings the whole.
const SETTLED: Nanos = 500 * MS;
/// For its snapshot a feed is opened anew no more often than this.
const SNAPSHOT: Nanos = 500 * MS;
/// After so long without anybody who brings the whole, one that sends changes only is asked for it.
const BARE: Nanos = SECOND;
/// Addresses whose failures are kept in mind.
const FAILED: usize = 64;

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// A feed is to be opened.
    Open {
        /// Its number.
        feed: u64,
        /// Where.
        address: SocketAddr,
        /// Whole configurations are to come from there.
        whole: bool,
    },
    /// A feed is to be closed.
    Close {
        /// Its number.
        feed: u64,
    },
}

#[derive(Clone, Debug)]
struct Feed {
    number: u64,
    since: Nanos,
    heard: bool,
    /// Whole configurations come from there.
    whole: bool,
    /// Since when it has no contact with a majority, by its own word.
    lost: Option<Nanos>,
}

impl Feed {
    /// What stands is heard from there.
    fn is_current(&self, now: Nanos) -> bool {
        self.lost.is_none_or(|since| now.saturating_sub(since) < WITHOUT_CONTACT)
    }
}

/// Who is followed, and who might be.
#[derive(Clone, Debug)]
pub struct FeedSet {
    seeds: Vec<SocketAddr>,
    /// Control machines that were heard of, beside the seeds.
    others: Vec<SocketAddr>,
    steward: Option<(u64, SocketAddr)>,
    followed: BTreeMap<SocketAddr, Feed>,
    /// Addresses that failed: until when they are passed over, and the pause.
    failed: BTreeMap<SocketAddr, (Nanos, Nanos)>,
    /// Whose turn it is; begins at another place in each life.
    turn: usize,
    begin: usize,
    /// Since when nobody is heard who brings the whole.
    bare: Option<Nanos>,
    /// A feed whose snapshot is wanted, and when one was last opened anew for that.
    behind: Option<SocketAddr>,
    renewed: Option<Nanos>,
    last: u64,
    /// When the process started to look, until a feed was heard.
    eager: Option<Nanos>,
    begun: bool,
    steps: Vec<FeedAction>,
}

impl FeedSet {
    /// Nobody is followed yet.
    pub fn new(seeds: Vec<SocketAddr>, life: u64) -> Self {
        FeedSet {
            seeds,
            others: Vec::new(),
            steward: None,
            followed: BTreeMap::new(),
            failed: BTreeMap::new(),
            turn: 0,
            begin: life as usize,
            bare: None,
            behind: None,
            renewed: None,
            last: 0,
            eager: None,
            begun: false,
            steps: Vec::new(),
        }
    }

    /// What is to be done, in this order.
    pub fn take(&mut self) -> Vec<FeedAction> {
        std::mem::take(&mut self.steps)
    }

    /// Other seeds. Whether they are others.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) -> bool {
        let others = seeds != self.seeds;
        self.seeds = seeds;
        others
    }

    /// The seeds.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// The newest steward that was heard of: its fence and address.
    pub fn leader(&self) -> Option<(u64, SocketAddr)> {
        self.steward
    }

    /// The feeds: number, address, whether whole configurations come from there.
    pub fn feeds(&self) -> impl Iterator<Item = (u64, SocketAddr, bool)> {
        self.followed.iter().map(|(address, feed)| (feed.number, *address, feed.whole))
    }

    /// Feeds of machines that have lost contact, by their own word.
    pub fn feeds_without_contact(&self) -> usize {
        self.followed.values().filter(|f| f.lost.is_some()).count()
    }

    /// How many addresses are kept in mind, for whatever reason.
    pub fn tracked_addresses(&self) -> usize {
        self.seeds.len() + self.others.len() + self.failed.len() + self.followed.len()
    }

    /// Where a feed comes from; none where it was closed.
    pub fn address(&self, feed: u64) -> Option<SocketAddr> {
        self.followed.iter().find(|(_, f)| f.number == feed).map(|(address, _)| *address)
    }

    /// Follows as many as it should, the steward among them.
    pub fn maintain(&mut self, now: Nanos) {
        if !std::mem::replace(&mut self.begun, true) {
            self.eager = Some(now + EAGER);
        }
        // While it is not known how the next try goes, the last one counts.
        let tried = |address: &SocketAddr| self.followed.get(address).is_some_and(|f| !f.heard);
        self.failed.retain(|address, (until, pause)| *until + *pause * 4 > now || tried(address));
        if let Some((_, steward)) = self.steward
            && !self.followed.contains_key(&steward)
            && self.may(steward, now)
        {
            // One that is not the steward gives way: the first without contact, else the first.
            while self.followed.len() >= FOLLOWED {
                let others = self.followed.iter().filter(|(a, _)| **a != steward);
                let Some(other) = others.min_by_key(|(_, f)| f.lost.is_none()).map(|(a, _)| *a) else {
                    break;
                };
                self.close(other);
            }
            self.open(steward, now);
        }
        self.give_up_spare(now);
        self.dress(now);
        self.catch_up(now);
        let known: Vec<_> = self.seeds.iter().chain(&self.others).copied().collect();
        for _ in 0..known.len() {
            if self.current(now) >= FOLLOWED || self.followed.len() >= FOLLOWED_IN_ALL {
                break;
            }
            self.turn = self.turn.wrapping_add(1);
            let address = known[self.turn.wrapping_add(self.begin) % known.len()];
            if !self.followed.contains_key(&address) && self.may(address, now) {
                self.open(address, now);
            }
        }
    }

    fn current(&self, now: Nanos) -> usize {
        self.followed.values().filter(|f| f.is_current(now)).count()
    }

    /// More than are needed have contact again: the one that was followed last goes, unless it is the steward or alone brings the whole.
    fn give_up_spare(&mut self, now: Nanos) {
        while self.current(now) > FOLLOWED {
            let steward = self.steward.map(|(_, steward)| steward);
            let wholes = self.followed.values().filter(|f| f.whole && f.lost.is_none()).count();
            let may = |(a, f): &(&SocketAddr, &Feed)| {
                Some(**a) != steward && f.is_current(now) && (!f.whole || wholes > 1)
            };
            let Some(last) = self.followed.iter().filter(may).max_by_key(|(_, f)| f.number).map(|(a, _)| *a)
            else {
                return;
            };
            self.close(last);
        }
    }

    /// A control machine that is followed says whether it has contact with a majority.
    pub fn set_contact(&mut self, now: Nanos, address: SocketAddr, holds: bool) {
        if let Some(feed) = self.followed.get_mut(&address) {
            feed.lost = if holds { None } else { feed.lost.or(Some(now)) };
        }
        self.maintain(now);
    }

    /// Where only changes come for too long, what they change may have been missed.
    fn dress(&mut self, now: Nanos) {
        if self.followed.values().any(|f| f.whole && f.heard && f.lost.is_none()) {
            self.bare = None;
            return;
        }
        if now.saturating_sub(*self.bare.get_or_insert(now)) < BARE {
            return;
        }
        let light =
            self.followed.iter().find(|(_, f)| f.heard && !f.whole && f.lost.is_none()).map(|(a, _)| *a);
        if let Some(light) = light {
            self.bare = None;
            self.close(light);
            self.open_for(light, true, now);
        }
    }

    fn may(&self, address: SocketAddr, now: Nanos) -> bool {
        self.failed.get(&address).is_none_or(|(until, _)| *until <= now)
    }

    fn open(&mut self, address: SocketAddr, now: Nanos) {
        // A whole configuration is long: one of those that are followed sends it, the others send changes only.
        let whole = !self.followed.values().any(|f| f.whole && f.lost.is_none());
        self.open_for(address, whole, now);
    }

    fn open_for(&mut self, address: SocketAddr, whole: bool, now: Nanos) {
        self.last += 1;
        let number = self.last;
        self.followed.insert(address, Feed { number, since: now, heard: false, whole, lost: None });
        self.steps.push(FeedAction::Open { feed: number, address, whole });
    }

    fn close(&mut self, address: SocketAddr) {
        if let Some(feed) = self.followed.remove(&address) {
            self.steps.push(FeedAction::Close { feed: feed.number });
        }
    }

    /// Something came from a feed. Where it comes from; none where it was closed.
    pub fn line_received(&mut self, feed: u64) -> Option<SocketAddr> {
        let (address, feed) = self.followed.iter_mut().find(|(_, f)| f.number == feed)?;
        feed.heard = true;
        self.eager = None;
        Some(*address)
    }

    /// A feed has ended, or did not begin.
    pub fn feed_ended(&mut self, now: Nanos, feed: u64) {
        if self.fail(now, feed) {
            self.maintain(now);
        }
    }

    /// A feed brings what is none.
    pub fn feed_invalid(&mut self, now: Nanos, feed: u64) {
        if self.fail(now, feed) {
            self.steps.push(FeedAction::Close { feed });
        }
    }

    /// Passes an address over for a while. Whether the feed was there.
    fn fail(&mut self, now: Nanos, feed: u64) -> bool {
        let Some(address) = self.address(feed) else { return false };
        let Some(feed) = self.followed.remove(&address) else { return false };
        let eager = self.eager.is_some_and(|until| now < until);
        let long = feed.heard && now.saturating_sub(feed.since) > LONG;
        let pause = match self.failed.get(&address) {
            Some((_, pause)) if !long && !eager => (*pause * 2).min(LONGEST_PAUSE),
            _ => FIRST_PAUSE,
        };
        self.failed.insert(address, (now.saturating_add(pause), pause));
        if self.failed.len() > FAILED
            && let Some(first) = self.failed.iter().min_by_key(|(_, (until, _))| *until).map(|(a, _)| *a)
        {
            self.failed.remove(&first);
        }
        true
    }

    /// What a feed told does not meet what is held. One that sends whole configurations begins anew, with the whole; one that sends changes
    /// only is asked for the whole instead.
    pub fn base_missing(&mut self, now: Nanos, address: SocketAddr) {
        let Some(feed) = self.followed.get(&address) else { return };
        if feed.whole {
            return self.snapshot_needed(now, address);
        }
        if now.saturating_sub(feed.since) <= SETTLED {
            return;
        }
        let others: Vec<_> = self.followed.iter().filter(|(_, f)| f.whole).map(|(a, _)| *a).collect();
        others.into_iter().for_each(|a| self.close(a));
        self.close(address);
        self.open(address, now);
    }

    /// What a feed tells of stalls does not meet what is held: its snapshot is wanted.
    pub fn snapshot_needed(&mut self, now: Nanos, address: SocketAddr) {
        self.behind = Some(address);
        self.catch_up(now);
    }

    fn catch_up(&mut self, now: Nanos) {
        if self.renewed.is_some_and(|at| now.saturating_sub(at) < SNAPSHOT) {
            return;
        }
        // One that is not followed any more begins with its snapshot when it is again.
        let Some(address) = self.behind.take() else { return };
        let Some(whole) = self.followed.get(&address).map(|f| f.whole) else { return };
        self.renewed = Some(now);
        self.close(address);
        self.open_for(address, whole, now);
    }

    /// Somebody tells of a steward; the higher fence counts.
    pub fn set_leader(&mut self, now: Nanos, fence: u64, address: SocketAddr) {
        if fence <= self.steward.map_or(0, |(fence, _)| fence) {
            return;
        }
        self.steward = Some((fence, address));
        if !self.seeds.contains(&address) && !self.others.contains(&address) {
            self.others.push(address);
            if self.others.len() > OTHERS {
                self.others.remove(0);
            }
        }
        self.maintain(now);
    }
}
