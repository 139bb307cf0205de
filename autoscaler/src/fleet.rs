//! The workers: which take a start, and which of them takes the next one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::Nanos;
use crate::platform::Worker;

/// Answers in a row without a worker after which it is gone.
const MISSES: u32 = 2;

/// Memory that a report may not hold yet.
#[derive(Debug)]
struct Charge {
    number: u64,
    at: Nanos,
    mb: u32,
}

#[derive(Debug)]
struct Post {
    zone: CompactString,
    free_mb: u64,
    draining: bool,
    /// Answers in a row without it.
    missed: u32,
    charges: Vec<Charge>,
    /// It had no room for so much then.
    full: Option<(Nanos, u32)>,
}

/// How a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stands {
    Ready,
    Draining,
    /// Not in the newest answer.
    Missing,
    /// Missing for long enough.
    Gone,
}

#[derive(Debug, Default)]
pub(crate) struct Fleet {
    lag: Nanos,
    at: Option<Nanos>,
    posts: BTreeMap<CompactString, Post>,
}

impl Fleet {
    pub(crate) fn new(lag: Nanos) -> Self {
        Self { lag, ..Self::default() }
    }

    /// An answer asked for at `asked_at`. False if a newer one is known.
    pub(crate) fn report(&mut self, asked_at: Nanos, workers: Vec<Worker>) -> bool {
        if self.at.is_some_and(|at| asked_at <= at) {
            return false;
        }
        self.at = Some(asked_at);
        self.posts.values_mut().for_each(|post| post.missed += 1);
        for worker in workers {
            let post = self.posts.entry(worker.name).or_insert_with(|| Post::new(worker.zone.clone()));
            (post.zone, post.free_mb, post.draining, post.missed) =
                (worker.zone, worker.free_memory_mb, worker.draining, 0);
            // The answer lags: a charge stays until an answer surely holds it.
            let held = asked_at.saturating_sub(self.lag);
            post.charges.retain(|charge| charge.at >= held);
            post.full = post.full.filter(|(at, _)| *at >= held);
        }
        true
    }

    /// A worker that an instance names, though no answer did.
    pub(crate) fn named(&mut self, worker: &CompactString, zone: &CompactString) {
        if !self.posts.contains_key(worker) {
            self.posts.insert(worker.clone(), Post::new(zone.clone()));
        }
    }

    /// What is free on each worker that takes starts; none before the first answer.
    pub(crate) fn room(&self) -> Option<Vec<u64>> {
        self.at?;
        Some(self.posts.values().filter_map(|post| post.room(1)).collect())
    }

    /// Drops workers that are gone and that nobody names.
    pub(crate) fn forget(&mut self, named: impl Fn(&CompactString) -> bool) {
        self.posts.retain(|name, post| post.missed < MISSES || named(name));
    }

    pub(crate) fn stands(&self, worker: &str) -> Stands {
        match self.posts.get(worker) {
            Some(post) if post.missed >= MISSES => Stands::Gone,
            Some(post) if post.missed > 0 => Stands::Missing,
            Some(post) if post.draining => Stands::Draining,
            Some(_) => Stands::Ready,
            None => Stands::Missing,
        }
    }

    pub(crate) fn zone(&self, worker: &str) -> CompactString {
        self.posts.get(worker).map(|post| post.zone.clone()).unwrap_or_default()
    }

    pub(crate) fn charge(&mut self, worker: &str, number: u64, at: Nanos, mb: u32) {
        self.release(worker, number);
        if let Some(post) = self.posts.get_mut(worker) {
            post.charges.push(Charge { number, at, mb });
        }
    }

    pub(crate) fn release(&mut self, worker: &str, number: u64) {
        if let Some(post) = self.posts.get_mut(worker) {
            post.charges.retain(|charge| charge.number != number);
        }
    }

    /// It had no room for `mb`.
    pub(crate) fn full(&mut self, worker: &str, at: Nanos, mb: u32) {
        if let Some(post) = self.posts.get_mut(worker) {
            post.full = Some((at, post.full.map_or(mb, |(_, least)| least.min(mb))));
        }
    }

    /// The worker for one more of a service whose others are `held` at (worker, zone); `zones` with their shares, or `only` in one.
    ///
    /// Workers that are not slow first; then wanted zones; then fewest of the service on the worker; then the zone that is furthest below its share; then
    /// the zone wanted more; then most free memory.
    pub(crate) fn pick<'a>(
        &self,
        mb: u32,
        held: &[(&'a str, &'a str)],
        zones: &[(CompactString, u32)],
        only: Option<&str>,
        slow: &BTreeSet<&str>,
    ) -> Option<CompactString> {
        let may = self.posts.iter().filter(|(_, post)| only.is_none_or(|zone| post.zone == zone));
        let roomy = may.filter_map(|(name, post)| Some((name, post, post.room(mb)?)));
        let best = roomy.min_by_key(|(name, post, free)| {
            let rank = zones.iter().position(|(zone, _)| *zone == post.zone);
            let unwanted = !zones.is_empty() && rank.is_none();
            let here = held.iter().filter(|(worker, _)| worker == name).count();
            let near = held.iter().filter(|(_, zone)| *zone == post.zone).count() as u64;
            let share = rank.map_or(1, |rank| u64::from(zones[rank].1));
            (
                slow.contains(name.as_str()),
                unwanted,
                here,
                (near + 1) * 5040 / share,
                rank,
                Reverse(*free),
                *name,
            )
        });
        best.map(|(name, ..)| name.clone())
    }
}

impl Post {
    fn new(zone: CompactString) -> Self {
        Self { zone, free_mb: 0, draining: false, missed: 0, charges: Vec::new(), full: None }
    }

    /// What is free, if it takes one of `mb`.
    fn room(&self, mb: u32) -> Option<u64> {
        let charged: u64 = self.charges.iter().map(|charge| u64::from(charge.mb)).sum();
        let free = self.free_mb.saturating_sub(charged);
        let takes = self.missed == 0 && !self.draining && self.full.is_none_or(|(_, least)| mb < least);
        (takes && free >= u64::from(mb.max(1))).then_some(free)
    }
}
