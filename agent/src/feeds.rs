//! Chooses the controllers that the agent opens feeds to: two that are in contact with a majority of the
//! voters, the leader among them. One of the feeds carries full configurations, the others only changes.
//!
//! Controllers come and go while the agent runs, and the settings file need not follow them. So the agent
//! learns the present ones from those that it follows: it knows its seeds, the leader, and what the followed
//! controllers reported last.
//!
//! Invariant: there is at most one feed for an address, and each feed has a number of its own, so that late
//! lines of a closed feed are not taken for lines of its successor.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millpost_protocol::MAX_CONTROLLERS;

use crate::{MS, Nanos, SECOND};

/// How many feeds to controllers in contact are kept open.
const FEEDS_IN_CONTACT: usize = 2;
/// The most open feeds. A controller that has lost contact has nothing new to send, but its feed stays open
/// because it may regain contact at any moment.
const MAX_FEEDS: usize = 4;
/// A controller that has reported for this long that it has lost contact no longer counts as in contact, and
/// another feed is opened.
const CONTACT_LOST_AFTER: Nanos = 400 * MS;
/// The first pause after a failed feed; it doubles with each failure, up to [`RETRY_MAX`].
const RETRY_MIN: Nanos = 100 * MS;
const RETRY_MAX: Nanos = SECOND;
/// For this long after the process has started the pause does not grow, until the first line is received: the
/// controllers may be starting as well, and everything waits for them.
const STARTUP: Nanos = 3 * SECOND;
/// The end of a feed that lasted longer than this resets the pause.
const STABLE_AFTER: Nanos = 5 * SECOND;
/// For this long after a feed of changes was opened, a missing base is ignored: the other feed may be about
/// to send the full configuration.
const PATCH_GRACE: Nanos = 500 * MS;
/// The shortest time between two feeds being reopened for a snapshot.
const REOPEN_EVERY: Nanos = 500 * MS;
/// After this long without a feed of full configurations, a feed of changes is reopened as one.
const FULL_CONFIG_WITHIN: Nanos = SECOND;
/// The most addresses whose failures are remembered.
const MAX_FAILED: usize = 64;

/// A feed to open or close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedAction {
    /// Open a feed.
    Open {
        /// Its number.
        feed: u64,
        /// The controller's address.
        address: SocketAddr,
        /// Whether to request full configurations instead of changes only.
        full_config: bool,
    },
    /// Close a feed.
    Close {
        /// Its number.
        feed: u64,
    },
}

#[derive(Clone, Debug)]
struct Feed {
    number: u64,
    since: Nanos,
    /// Whether a line has been received.
    received: bool,
    /// Whether it carries full configurations.
    full_config: bool,
    /// Since when the controller reports that it has no contact with a majority.
    contact_lost: Option<Nanos>,
    /// The controllers that it reported last.
    reported: Vec<SocketAddr>,
}

impl Feed {
    /// Whether the controller counts as in contact with a majority.
    fn is_in_contact(&self, now: Nanos) -> bool {
        self.contact_lost.is_none_or(|since| now.saturating_sub(since) < CONTACT_LOST_AFTER)
    }
}

/// The open feeds, and the known controllers.
#[derive(Clone, Debug)]
pub struct FeedSet {
    seeds: Vec<SocketAddr>,
    /// The controllers that the followed ones reported last, and leaders. Kept when the feeds end, and whatever
    /// the seeds are. At most [`MAX_CONTROLLERS`].
    reported: Vec<SocketAddr>,
    /// Whether a controller has reported the present ones since the process started.
    informed: bool,
    /// Fence and address.
    leader: Option<(u64, SocketAddr)>,
    feeds: BTreeMap<SocketAddr, Feed>,
    /// Failed addresses: the time of the next try, and the pause.
    failed: BTreeMap<SocketAddr, (Nanos, Nanos)>,
    /// Position in the round robin over the known controllers.
    next_candidate: usize,
    /// Where the round robin begins, different in each run of the process.
    candidate_offset: usize,
    /// Since when no feed has sent full configurations.
    without_full_config: Option<Nanos>,
    /// A feed that is to be reopened for its snapshot.
    reopen_wanted: Option<SocketAddr>,
    /// When a feed was last reopened for its snapshot.
    reopened_at: Option<Nanos>,
    last_number: u64,
    /// The end of the startup time; `None` once a line has been received.
    startup_until: Option<Nanos>,
    started: bool,
    actions: Vec<FeedAction>,
}

impl FeedSet {
    /// Creates a set without feeds. `incarnation` differs in each run of the process.
    pub fn new(seeds: Vec<SocketAddr>, incarnation: u64) -> Self {
        FeedSet {
            seeds,
            reported: Vec::new(),
            informed: false,
            leader: None,
            feeds: BTreeMap::new(),
            failed: BTreeMap::new(),
            next_candidate: 0,
            candidate_offset: incarnation as usize,
            without_full_config: None,
            reopen_wanted: None,
            reopened_at: None,
            last_number: 0,
            startup_until: None,
            started: false,
            actions: Vec::new(),
        }
    }

    /// The actions since the last call, in order.
    pub fn take(&mut self) -> Vec<FeedAction> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the seeds. Returns whether they have changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) -> bool {
        let changed = seeds != self.seeds;
        self.seeds = seeds;
        changed
    }

    /// The controllers' addresses from the settings.
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// The newest known leader: its fence and address.
    pub fn leader(&self) -> Option<(u64, SocketAddr)> {
        self.leader
    }

    /// The open feeds: number, address, whether they carry full configurations.
    pub fn feeds(&self) -> impl Iterator<Item = (u64, SocketAddr, bool)> {
        self.feeds.iter().map(|(address, feed)| (feed.number, *address, feed.full_config))
    }

    /// The number of feeds of controllers that report to have lost contact.
    pub fn feeds_without_contact(&self) -> usize {
        self.feeds.values().filter(|f| f.contact_lost.is_some()).count()
    }

    /// The known controllers' addresses: the seeds, and those that messages have named.
    pub fn known(&self) -> impl Iterator<Item = SocketAddr> {
        let others = self.reported.iter().filter(|address| !self.seeds.contains(address));
        self.seeds.iter().chain(others).copied()
    }

    /// The number of all addresses in memory.
    pub fn tracked_addresses(&self) -> usize {
        self.seeds.len() + self.reported.len() + self.failed.len() + self.feeds.len()
    }

    /// The controller's address of a feed; `None` if the feed is closed.
    pub fn address(&self, feed: u64) -> Option<SocketAddr> {
        self.feeds.iter().find(|(_, f)| f.number == feed).map(|(address, _)| *address)
    }

    /// Opens and closes feeds so that enough are in contact, the leader's among them.
    pub fn maintain(&mut self, now: Nanos) {
        if !std::mem::replace(&mut self.started, true) {
            self.startup_until = Some(now + STARTUP);
        }
        // A failure is remembered while the next try is under way.
        let tried = |address: &SocketAddr| self.feeds.get(address).is_some_and(|f| !f.received);
        self.failed.retain(|address, (until, pause)| *until + *pause * 4 > now || tried(address));
        if let Some((_, leader)) = self.leader
            && !self.feeds.contains_key(&leader)
            && self.may_retry(leader, now)
        {
            // Make room for the leader: close the first other feed without contact, else the first other
            // feed.
            while self.feeds.len() >= FEEDS_IN_CONTACT {
                let others = self.feeds.iter().filter(|(a, _)| **a != leader);
                let Some(other) = others.min_by_key(|(_, f)| f.contact_lost.is_none()).map(|(a, _)| *a)
                else {
                    break;
                };
                self.close(other);
            }
            self.open(leader, now);
        }
        self.close_surplus(now);
        self.ensure_full_config(now);
        self.reopen_if_due(now);
        let known: Vec<_> = self.known().collect();
        for _ in 0..known.len() {
            if self.in_contact(now) >= FEEDS_IN_CONTACT || self.feeds.len() >= MAX_FEEDS {
                break;
            }
            self.next_candidate = self.next_candidate.wrapping_add(1);
            let address = known[self.next_candidate.wrapping_add(self.candidate_offset) % known.len()];
            if !self.feeds.contains_key(&address) && self.may_retry(address, now) {
                self.open(address, now);
            }
        }
    }

    /// Whether a controller in contact has sent a line on an open feed.
    pub fn follows_any(&self, now: Nanos) -> bool {
        self.feeds.values().any(|feed| feed.received && feed.is_in_contact(now))
    }

    /// The number of feeds in contact.
    fn in_contact(&self, now: Nanos) -> usize {
        self.feeds.values().filter(|f| f.is_in_contact(now)).count()
    }

    /// Closes the newest feeds while more than needed are in contact, except the leader's and the only one
    /// with full configurations.
    fn close_surplus(&mut self, now: Nanos) {
        while self.in_contact(now) > FEEDS_IN_CONTACT {
            let leader = self.leader.map(|(_, leader)| leader);
            let full_feeds =
                self.feeds.values().filter(|f| f.full_config && f.contact_lost.is_none()).count();
            let may_close = |(a, f): &(&SocketAddr, &Feed)| {
                Some(**a) != leader && f.is_in_contact(now) && (!f.full_config || full_feeds > 1)
            };
            let Some(newest) =
                self.feeds.iter().filter(may_close).max_by_key(|(_, f)| f.number).map(|(a, _)| *a)
            else {
                return;
            };
            self.close(newest);
        }
    }

    /// A followed controller reports whether it has contact with a majority.
    pub fn set_contact(&mut self, now: Nanos, address: SocketAddr, holds: bool) {
        if let Some(feed) = self.feeds.get_mut(&address) {
            feed.contact_lost = if holds { None } else { feed.contact_lost.or(Some(now)) };
        }
        self.maintain(now);
    }

    /// Reopens a feed of changes as one of full configurations if there has been none for too long: the base
    /// of the changes may have been missed.
    fn ensure_full_config(&mut self, now: Nanos) {
        if self.feeds.values().any(|f| f.full_config && f.received && f.contact_lost.is_none()) {
            self.without_full_config = None;
            return;
        }
        if now.saturating_sub(*self.without_full_config.get_or_insert(now)) < FULL_CONFIG_WITHIN {
            return;
        }
        let changes_only = self
            .feeds
            .iter()
            .find(|(_, f)| f.received && !f.full_config && f.contact_lost.is_none())
            .map(|(a, _)| *a);
        if let Some(address) = changes_only {
            self.without_full_config = None;
            self.close(address);
            self.open_feed(address, true, now);
        }
    }

    fn may_retry(&self, address: SocketAddr, now: Nanos) -> bool {
        self.failed.get(&address).is_none_or(|(until, _)| *until <= now)
    }

    fn open(&mut self, address: SocketAddr, now: Nanos) {
        // A full configuration is large, so only one feed carries it.
        let full_config = !self.feeds.values().any(|f| f.full_config && f.contact_lost.is_none());
        self.open_feed(address, full_config, now);
    }

    fn open_feed(&mut self, address: SocketAddr, full_config: bool, now: Nanos) {
        self.last_number += 1;
        let number = self.last_number;
        let feed = Feed {
            number,
            since: now,
            received: false,
            full_config,
            contact_lost: None,
            reported: Vec::new(),
        };
        self.feeds.insert(address, feed);
        self.actions.push(FeedAction::Open { feed: number, address, full_config });
    }

    fn close(&mut self, address: SocketAddr) {
        if let Some(feed) = self.feeds.remove(&address) {
            self.actions.push(FeedAction::Close { feed: feed.number });
        }
    }

    /// A line was received. Returns the controller's address, or `None` if the feed is closed.
    pub fn line_received(&mut self, feed: u64) -> Option<SocketAddr> {
        let (address, feed) = self.feeds.iter_mut().find(|(_, f)| f.number == feed)?;
        feed.received = true;
        self.startup_until = None;
        Some(*address)
    }

    /// A feed has ended, or could not be opened.
    pub fn feed_ended(&mut self, now: Nanos, feed: u64) {
        if self.fail(now, feed) {
            self.maintain(now);
        }
    }

    /// A feed has sent an invalid line: closes it.
    pub fn feed_invalid(&mut self, now: Nanos, feed: u64) {
        if self.fail(now, feed) {
            self.actions.push(FeedAction::Close { feed });
        }
    }

    /// Removes a feed and pauses its address. Returns whether the feed was open.
    fn fail(&mut self, now: Nanos, feed: u64) -> bool {
        let Some(address) = self.address(feed) else { return false };
        let Some(feed) = self.feeds.remove(&address) else { return false };
        let starting = self.startup_until.is_some_and(|until| now < until);
        let was_stable = feed.received && now.saturating_sub(feed.since) > STABLE_AFTER;
        let pause = match self.failed.get(&address) {
            Some((_, pause)) if !was_stable && !starting => (*pause * 2).min(RETRY_MAX),
            _ => RETRY_MIN,
        };
        self.failed.insert(address, (now.saturating_add(pause), pause));
        if self.failed.len() > MAX_FAILED
            && let Some(first) = self.failed.iter().min_by_key(|(_, (until, _))| *until).map(|(a, _)| *a)
        {
            self.failed.remove(&first);
        }
        true
    }

    /// The base of a configuration change is missing. A feed of full configurations is reopened, which begins
    /// with the full configuration; a feed of changes is reopened as one of full configurations, in place of
    /// the others.
    pub fn base_missing(&mut self, now: Nanos, address: SocketAddr) {
        let Some(feed) = self.feeds.get(&address) else { return };
        if feed.full_config {
            return self.snapshot_needed(now, address);
        }
        if now.saturating_sub(feed.since) <= PATCH_GRACE {
            return;
        }
        let others: Vec<_> = self.feeds.iter().filter(|(_, f)| f.full_config).map(|(a, _)| *a).collect();
        others.into_iter().for_each(|a| self.close(a));
        self.close(address);
        self.open(address, now);
    }

    /// The base of a change to the proxies' membership is missing: the feed is to be reopened, which begins
    /// with a snapshot.
    pub fn snapshot_needed(&mut self, now: Nanos, address: SocketAddr) {
        self.reopen_wanted = Some(address);
        self.reopen_if_due(now);
    }

    fn reopen_if_due(&mut self, now: Nanos) {
        if self.reopened_at.is_some_and(|at| now.saturating_sub(at) < REOPEN_EVERY) {
            return;
        }
        // A feed that is closed meanwhile begins with its snapshot once it is opened again.
        let Some(address) = self.reopen_wanted.take() else { return };
        let Some(full_config) = self.feeds.get(&address).map(|f| f.full_config) else { return };
        self.reopened_at = Some(now);
        self.close(address);
        self.open_feed(address, full_config, now);
    }

    /// A message has named the leader. The one with the highest fence is kept.
    pub fn set_leader(&mut self, now: Nanos, fence: u64, address: SocketAddr) {
        if fence <= self.leader.map_or(0, |(fence, _)| fence) {
            return;
        }
        self.leader = Some((fence, address));
        if !self.reported.contains(&address) {
            self.reported.push(address);
            if self.reported.len() > MAX_CONTROLLERS {
                self.reported.remove(0);
            }
        }
        self.maintain(now);
    }

    /// A followed controller has reported the controllers that it knows. What the followed controllers
    /// reported last replaces what was reported before, so that removed machines are forgotten. Returns whether
    /// that has changed.
    pub fn set_controllers(&mut self, now: Nanos, from: SocketAddr, controllers: Vec<SocketAddr>) -> bool {
        let Some(feed) = self.feeds.get_mut(&from) else { return false };
        feed.reported = controllers;
        self.informed = true;
        let leader = self.leader.map(|(_, leader)| leader);
        // The newest report first, in case there are more addresses than are kept.
        let newest = self.feeds.get(&from).into_iter();
        let reported = newest.chain(self.feeds.values()).flat_map(|feed| &feed.reported).copied();
        let mut all = Vec::new();
        for address in leader.into_iter().chain(reported) {
            if all.len() < MAX_CONTROLLERS && !all.contains(&address) {
                all.push(address);
            }
        }
        // The order depends on who reported last.
        all.sort();
        let changed = all != self.reported;
        self.reported = all;
        self.maintain(now);
        changed
    }

    /// The proxy has returned the controllers that an earlier run of this process knew. They are used until a
    /// controller reports the present ones.
    pub fn recall_controllers(&mut self, now: Nanos, controllers: impl Iterator<Item = SocketAddr>) {
        if self.informed || !self.reported.is_empty() {
            return;
        }
        self.reported = controllers.take(MAX_CONTROLLERS).collect();
        self.maintain(now);
    }

    /// The controllers that the followed ones reported last, and the leader; empty before the first report.
    pub fn reported(&self) -> &[SocketAddr] {
        if self.informed { &self.reported } else { &[] }
    }
}
