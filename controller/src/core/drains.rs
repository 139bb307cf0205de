//! Applies drains to the leader, its scaler, the proxies and the other controllers. [`crate::drains`] decides
//! what is drained.
//!
//! Invariant: without drains no messages are sent.

use std::collections::BTreeMap;

use compact_str::CompactString;
use hyper::StatusCode;
use millpost_autoscaler::State;
use millpost_net::messaging::{Call, Reply};
use millpost_protocol::object;
use tinyjson::JsonValue;

use super::Core;
use crate::drains::{Drains, Fleet, Order};
use crate::errors::CallError;
use crate::leadership::PlatformReply;
use crate::{MS, Nanos};

/// Interval between checks of the instances on drained workers.
const EMPTY_CHECK_INTERVAL: Nanos = 250 * MS;
/// Upper bound of the time that requests of a draining instance take, whatever the deadlines of the routes
/// are.
const MAX_REQUEST_TIME: Nanos = 30_000 * MS;

/// The drains, and the instances whose requests must end before they are stopped.
#[derive(Default)]
pub(super) struct DrainState {
    drains: Drains,
    /// When each instance on a drained worker was first reported as draining.
    draining_since: BTreeMap<CompactString, Nanos>,
    checked_at: Nanos,
}

impl DrainState {
    /// Returns the drains.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }
}

impl Core {
    /// Applies the drains: excludes drained proxies from ownership, notifies proxies, and stops instances on
    /// drained workers.
    pub(super) fn tick_drains(&mut self, now: Nanos) {
        let fence = self.leadership.leader().map(|leader| leader.fence);
        self.drain_state.drains.tick(now, fence);
        let any_drained = self.leadership.leader().is_some_and(|leader| !leader.drained.is_empty());
        let Some(leader) =
            self.leadership.leader_mut().filter(|_| any_drained || !self.drain_state.drains.is_empty())
        else {
            return self.drain_state.draining_since.clear();
        };
        leader.drained = self.drain_state.drains.excluded_proxies(now);
        for (name, message) in self.drain_state.drains.due_messages(now) {
            let line = self.feed.send_to(&name, &[message]);
            self.send_lines(line);
        }
        self.empty_workers(now);
    }

    /// Stops instances on drained workers once their requests have ended. The scaler started their
    /// replacements when they were reported as draining.
    fn empty_workers(&mut self, now: Nanos) {
        if now < self.drain_state.checked_at + EMPTY_CHECK_INTERVAL {
            return;
        }
        self.drain_state.checked_at = now;
        let longest = self.feed.config().and_then(|c| c.routes.iter().map(|r| r.deadline_ms).max());
        let longest = longest.map_or(MAX_REQUEST_TIME, |ms| (ms * MS).min(MAX_REQUEST_TIME));
        let Some(leader) = self.leadership.leader_mut() else { return };
        let drains = &self.drain_state.drains;
        let draining = leader.scaler.visible_instances().filter(|i| i.state == State::Draining);
        let draining: Vec<_> =
            draining.filter(|i| drains.is_worker_drained(now, &i.worker)).map(|i| i.id.clone()).collect();
        let before = std::mem::take(&mut self.drain_state.draining_since);
        for id in draining {
            let since = before.get(&id).copied().unwrap_or(now);
            if since + longest <= now {
                leader.scaler.retire(now, &id);
            }
            self.drain_state.draining_since.insert(id, since);
        }
    }

    /// Marks drained workers as draining in the platform's reply, so that the scaler starts nothing on them
    /// and drains their instances.
    pub(super) fn apply_drains(&self, now: Nanos, reply: PlatformReply) -> PlatformReply {
        let drains = &self.drain_state.drains;
        match reply {
            PlatformReply::Workers(Some(mut all)) if !drains.is_empty() => {
                all.iter_mut()
                    .for_each(|worker| worker.draining |= drains.is_worker_drained(now, &worker.name));
                PlatformReply::Workers(Some(all))
            }
            other => other,
        }
    }

    /// Handles an operator's order.
    pub(super) fn order_drain(&mut self, now: Nanos, call: &Call) -> Result<Reply, CallError> {
        let json = call.json().ok_or_else(|| CallError::Invalid("no JSON".to_owned()))?;
        let order = Order::parse(&json)?;
        self.tick_drains(now);
        let leader = self.leadership.leader().ok_or(CallError::NotLeader)?;
        let up =
            leader.proxy_states(now).filter(|proxy| !matches!(proxy.exclusion, Some("silent" | "leaves")));
        let proxies = up.map(|proxy| (proxy.name, proxy.zone)).collect();
        let workers = self.platform_stats.workers().iter().filter(|worker| !worker.draining);
        let workers = workers.map(|worker| (worker.name.as_str(), worker.zone.as_str())).collect();
        let description = order.describe();
        self.drain_state.drains.order(now, order, &Fleet { proxies, workers })?;
        log::info!("{description}");
        self.tick_drains(now);
        self.send_gossip(now);
        self.drains_reply(now)
    }

    /// Returns the drains for operators.
    pub(super) fn drains_reply(&self, now: Nanos) -> Result<Reply, CallError> {
        let leader = self.leadership.leader().ok_or(CallError::NotLeader)?;
        let mut instances: BTreeMap<&str, usize> = BTreeMap::new();
        for instance in leader.scaler.visible_instances() {
            *instances.entry(&instance.worker).or_default() += 1;
        }
        let in_view = |name: &str| leader.proxy_states(now).any(|proxy| proxy.name == name && proxy.in_view);
        let body = object([
            ("fence", JsonValue::Number(leader.fence as f64)),
            (
                "drains",
                self.drain_state
                    .drains
                    .to_json(now, in_view, |name| instances.get(name).copied().unwrap_or(0)),
            ),
        ]);
        Ok(Reply::json(StatusCode::OK, body.stringify().unwrap_or_default()))
    }

    /// Handles the report of a proxy that it takes no new clients.
    pub(super) fn on_rest(&mut self, now: Nanos, name: &str, left: f64) {
        let Some(leader) = self.leadership.leader() else { return };
        let zone = leader.proxy_states(now).find(|proxy| proxy.name == name).map(|proxy| proxy.zone);
        self.drain_state.drains.on_report(now, name, zone, left);
    }

    /// Merges the drains from another controller's gossip.
    pub(super) fn merge_drains(&mut self, now: Nanos, gossip: &JsonValue) {
        let JsonValue::Object(parts) = gossip else { return };
        if let Some(drains) = parts.get("drains") {
            self.drain_state.drains.merge(now, drains);
        }
    }
}
