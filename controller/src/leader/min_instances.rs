//! Minimum numbers of instances of functions during a migration. They are sent to the first two proxies in
//! each function's ranking, which report the function's status in return.
//!
//! Invariant: without minimums nothing is kept and nothing is sent.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_protocol::{FunctionStatus, PeerMessage, Version};
use millpost_scheduler::OwnerRanking;

use super::{Leader, MS, Nanos, ProxyMessages};

/// A minimum is sent again after this time, since an owner may have restarted.
const RESEND_INTERVAL: Nanos = 1_000 * MS;
/// A minimum is valid for this long, in which the next leader takes it over.
const VALIDITY: Nanos = 10_000 * MS;
/// A minimum that no migration requests for this long is removed.
const EXPIRY: Nanos = 6_000 * MS;
/// A reported status is valid for this long.
const STATUS_TTL: Nanos = 3_000 * MS;
/// Maximum number of functions with a minimum, and of zones per function whose owners report a status.
const MAX_FUNCTIONS: usize = 2_000;
const MAX_ZONES: usize = 64;

#[derive(Debug)]
struct MinInstance {
    count: u32,
    requested_at: Nanos,
    /// Proxies to which the minimum was sent.
    recipients: BTreeSet<CompactString>,
    /// The status by zone, and when it was reported. The zone is empty if the function is not split.
    status: BTreeMap<CompactString, (FunctionStatus, Nanos)>,
}

/// The health of a function over all of its owners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionHealth {
    /// Smoothed delay above its lowest value, in nanoseconds; the mean over the owners.
    pub delay: f64,
    /// Share of refused requests.
    pub refused: f64,
}

/// All minimums.
#[derive(Debug, Default)]
pub(super) struct MinInstances {
    all: BTreeMap<CompactString, MinInstance>,
    sent_at: Nanos,
    /// The version of the view in which they were last sent.
    view: Version,
}

impl MinInstances {
    /// Records an owner's report of the status of a function.
    pub fn record_status(
        &mut self,
        now: Nanos,
        service: &str,
        zone: Option<&CompactString>,
        status: FunctionStatus,
    ) {
        let Some(minimum) = self.all.get_mut(service) else { return };
        let zone = zone.cloned().unwrap_or_default();
        if minimum.status.len() < MAX_ZONES || minimum.status.contains_key(&zone) {
            minimum.status.insert(zone, (status, now));
        }
    }

    /// Appends the messages about one minimum: each zone's share of it goes to the first two proxies in the
    /// zone's ranking.
    fn push_messages(
        service: &CompactString,
        minimum: &mut MinInstance,
        fence: u64,
        ranking: &mut OwnerRanking,
        into: &mut ProxyMessages,
    ) {
        let zones: Vec<CompactString> =
            ranking.owners().partition_zones(service, "").into_iter().map(Into::into).collect();
        let partitions = zones.len().max(1) as u32;
        let mut ranked: BTreeMap<CompactString, u32> = BTreeMap::new();
        for (n, zone) in zones.iter().enumerate() {
            let part = minimum.count / partitions + u32::from((n as u32) < minimum.count % partitions);
            // At least one per zone: the owners of a zone without a minimum would not report a status.
            let part = if minimum.count > 0 { part.max(1) } else { 0 };
            ranked.extend(ranking.owner_and_deputy(service, zone).map(|name| (name.clone(), part)));
        }
        // Proxies that left the ranking receive a minimum of 0.
        let removed = minimum.recipients.iter().filter(|name| !ranked.contains_key(*name)).cloned();
        let all: Vec<_> = removed.map(|name| (name, 0)).chain(ranked.clone()).collect();
        minimum.recipients = ranked.into_keys().collect();
        let left = (VALIDITY / MS) as f64;
        for (name, count) in all {
            let message = PeerMessage::MinInstances { service: service.clone(), count, fence, left };
            into.entry(name).or_default().push(message);
        }
    }
}

impl Leader {
    /// Sets the minimum number of instances of a function. It expires unless it is set again.
    pub fn set_min_instances(&mut self, now: Nanos, service: &str, count: u32) {
        let minimums = &mut self.min_instances;
        if let Some(minimum) = minimums.all.get_mut(service) {
            // Several migrations may set it at the same time.
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

    /// Removes all minimums.
    pub fn clear_min_instances(&mut self) {
        if !self.min_instances.all.is_empty() {
            self.min_instances.sent_at = 0;
            self.min_instances.all.values_mut().for_each(|minimum| minimum.count = 0);
        }
    }

    /// Appends the messages that are due.
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

    /// Returns the health of a function from the recent reports of its owners: `Some(None)` if a report is
    /// missing, and `None` for a function without a minimum, which owners do not report.
    pub fn function_health(&self, now: Nanos, service: &str) -> Option<Option<FunctionHealth>> {
        let minimum = self.min_instances.all.get(service)?;
        let recent = |zone: &str| {
            minimum.status.get(zone).filter(|(_, at)| now < at + STATUS_TTL).map(|(status, _)| *status)
        };
        let owners = self.ranking.owners();
        let zones =
            if owners.partition_count(service) > 1 { owners.partition_zones(service, "") } else { vec![""] };
        let Some(all) = zones.iter().map(|zone| recent(zone)).collect::<Option<Vec<_>>>() else {
            return Some(None);
        };
        let above = all.iter().map(|status| (status.delay - status.lowest).max(0.0)).sum::<f64>();
        let sum =
            |of: fn(&FunctionStatus) -> u32| all.iter().map(|status| f64::from(of(status))).sum::<f64>();
        let delay = above / all.len() as f64 * MS as f64;
        // A request may be refused in a later reporting period than the one in which it arrived.
        let refused = sum(|status| status.refused) / sum(|status| status.asked.max(status.refused)).max(1.0);
        Some(Some(FunctionHealth { delay, refused }))
    }
}
