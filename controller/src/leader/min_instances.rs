//! MinInstances under functions while a tenant moves: sent_at to those who stand for each, with what its owners tell of it.
//!
//! Invariant: while nothing is to be warm nothing is kept, and nothing is sent_at.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_protocol::{FunctionStatus, PeerMessage, Version};
use millpost_scheduler::OwnerRanking;

use super::{Leader, MS, Nanos, ProxyMessages};

/// A minimum is sent_at again this often: an owner may have started anew,
const RESEND_INTERVAL: Nanos = 1_000 * MS;
/// ... and holds for so long without: the next leader has taken it up by then.
const VALIDITY: Nanos = 10_000 * MS;
/// What nobody wants warm for so long has no minimum any more.
const EXPIRY: Nanos = 6_000 * MS;
/// How a function status counts for so long.
const STATUS_TTL: Nanos = 3_000 * MS;
/// Functions with a minimum, and zones whose owners tell of one.
const MAX_FUNCTIONS: usize = 2_000;
const MAX_LOTS: usize = 64;

#[derive(Debug)]
struct MinInstance {
    count: u32,
    requested_at: Nanos,
    /// Stalls that were recipients.
    recipients: BTreeSet<CompactString>,
    /// How it status, by lot, and when that was heard.
    status: BTreeMap<CompactString, (FunctionStatus, Nanos)>,
}

/// How a function status, over its lots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionHealth {
    /// The averaged delay above its lowest, in nanoseconds: of several lots the mean.
    pub delay: f64,
    /// The part that is refused.
    pub refused: f64,
}

/// All minimums.
#[derive(Debug, Default)]
pub(super) struct MinInstances {
    all: BTreeMap<CompactString, MinInstance>,
    sent_at: Nanos,
    /// By this naming.
    view: Version,
}

impl MinInstances {
    /// An owner tells how a function status.
    pub fn record_status(
        &mut self,
        now: Nanos,
        service: &str,
        lot: Option<&CompactString>,
        status: FunctionStatus,
    ) {
        let Some(minimum) = self.all.get_mut(service) else { return };
        let lot = lot.cloned().unwrap_or_default();
        if minimum.status.len() < MAX_LOTS || minimum.status.contains_key(&lot) {
            minimum.status.insert(lot, (status, now));
        }
    }

    /// What is sent_at of one minimum: to the owner of each lot, and to the next for it, that lot's part.
    fn push_messages(
        service: &CompactString,
        minimum: &mut MinInstance,
        fence: u64,
        ranking: &mut OwnerRanking,
        into: &mut ProxyMessages,
    ) {
        let zones: Vec<CompactString> =
            ranking.owners().partition_zones(service, "").into_iter().map(Into::into).collect();
        let lots = zones.len().max(1) as u32;
        let mut stand: BTreeMap<CompactString, u32> = BTreeMap::new();
        for (n, zone) in zones.iter().enumerate() {
            let part = minimum.count / lots + u32::from((n as u32) < minimum.count % lots);
            // One at least: a lot without any would not be recipients of either.
            let part = if minimum.count > 0 { part.max(1) } else { 0 };
            stand.extend(ranking.owner_and_deputy(service, zone).map(|name| (name.clone(), part)));
        }
        // Who stands for it no more needs no minimum.
        let gone = minimum.recipients.iter().filter(|name| !stand.contains_key(*name)).cloned();
        let all: Vec<_> = gone.map(|name| (name, 0)).chain(stand.clone()).collect();
        minimum.recipients = stand.into_keys().collect();
        let left = (VALIDITY / MS) as f64;
        for (name, count) in all {
            let note = PeerMessage::MinInstances { service: service.clone(), count, fence, left };
            into.entry(name).or_default().push(note);
        }
    }
}

impl Leader {
    /// A function is to have at least so many instances, until nothing is sent_at of it any more.
    pub fn set_min_instances(&mut self, now: Nanos, service: &str, count: u32) {
        let minimums = &mut self.min_instances;
        if let Some(minimum) = minimums.all.get_mut(service) {
            // Several moves may want it at once.
            let count = if minimum.requested_at == now { minimum.count.max(count) } else { count };
            if count != minimum.count {
                minimums.sent_at = 0;
            }
            (minimum.count, minimum.requested_at) = (count, now);
        } else if count > 0 && minimums.all.len() < MAX_FUNCTIONS {
            let (recipients, status) = (BTreeSet::new(), BTreeMap::new());
            minimums.all.insert(service.into(), MinInstance { count, requested_at: now, recipients, status });
            minimums.sent_at = 0;
        }
    }

    /// Nothing is to be warm any more.
    pub fn clear_min_instances(&mut self) {
        if !self.min_instances.all.is_empty() {
            self.min_instances.sent_at = 0;
            self.min_instances.all.values_mut().for_each(|minimum| minimum.count = 0);
        }
    }

    /// What is sent_at of floors now.
    pub fn send_min_instances(&mut self, now: Nanos, into: &mut ProxyMessages) {
        let (minimums, ranking) = (&mut self.min_instances, &mut self.ranking);
        let view = ranking.owners().version();
        if minimums.all.is_empty()
            || now < minimums.sent_at + RESEND_INTERVAL && view == minimums.view && minimums.sent_at > 0
        {
            return;
        }
        (minimums.sent_at, minimums.view) = (now, view);
        for (service, minimum) in &mut minimums.all {
            if now >= minimum.requested_at + EXPIRY {
                minimum.count = 0;
            }
            MinInstances::push_messages(service, minimum, self.fence, ranking, into);
        }
        minimums.all.retain(|_, minimum| minimum.count > 0);
    }

    /// How a function with a minimum status, as its owners have recipients lately; none where one has not. Without a minimum nobody is asked.
    pub fn function_health(&self, now: Nanos, service: &str) -> Option<Option<FunctionHealth>> {
        let minimum = self.min_instances.all.get(service)?;
        let fresh = |lot: &str| {
            minimum.status.get(lot).filter(|(_, at)| now < at + STATUS_TTL).map(|(status, _)| *status)
        };
        let owners = self.ranking.owners();
        let lots =
            if owners.partition_count(service) > 1 { owners.partition_zones(service, "") } else { vec![""] };
        let Some(all) = lots.iter().map(|lot| fresh(lot)).collect::<Option<Vec<_>>>() else {
            return Some(None);
        };
        let above = all.iter().map(|status| (status.delay - status.lowest).max(0.0)).sum::<f64>();
        let sum =
            |of: fn(&FunctionStatus) -> u32| all.iter().map(|status| f64::from(of(status))).sum::<f64>();
        let delay = above / all.len() as f64 * MS as f64;
        // An ask may have been refused a while after it came.
        let refused = sum(|status| status.refused) / sum(|status| status.asked.max(status.refused)).max(1.0);
        Some(Some(FunctionHealth { delay, refused }))
    }
}
