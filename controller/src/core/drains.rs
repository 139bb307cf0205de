//! Drains on a control machine: what operators have taken out is carried to the leader, its scaler, stalls and other control machines.
//! What is out is decided in [`crate::drains`]. Invariant: while nothing is out nobody is told anything, and nothing is sent.

use std::collections::BTreeMap;

use compact_str::CompactString;
use hyper::StatusCode;
use millpost_autoscaler::State;
use millpost_net::messaging::{Call, Reply};
use millpost_protocol::object;
use tinyjson::JsonValue;

use super::Core;
use crate::drains::{Drains, Order, Seen};
use crate::errors::Kind;
use crate::leadership::PlatformReply;
use crate::{MS, Nanos};

/// Instances on workers that are out are looked at this often.
const LOOK: Nanos = 250 * MS;
/// Requests that an instance had when it was taken out of use end within this, whatever their routes say.
const REQUESTS: Nanos = 30_000 * MS;

/// What is out, and instances that wait for the end of their requests.
#[derive(Default)]
pub(super) struct Outs {
    drains: Drains,
    /// Since when instances on workers that are out are told as draining.
    empties: BTreeMap<CompactString, Nanos>,
    looked: Nanos,
}

impl Outs {
    /// What is out.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }
}

impl Core {
    /// Time passes: who does not own functions, who is told, and instances that go.
    pub(super) fn take_out(&mut self, now: Nanos) {
        let fence = self.leadership.leader().map(|leader| leader.fence);
        self.outs.drains.tick(now, fence);
        let rests = self.leadership.leader().is_some_and(|leader| !leader.rests.is_empty());
        let Some(leader) = self.leadership.leader_mut().filter(|_| rests || !self.outs.drains.is_empty())
        else {
            return self.outs.empties.clear();
        };
        leader.rests = self.outs.drains.unnamed(now);
        for (name, note) in self.outs.drains.due(now) {
            let line = self.feed.tell_one(&name, &[note]);
            self.lines(line);
        }
        self.empty_workers(now);
    }

    /// Instances on workers that are out are stopped once their requests have ended: others were started in their places when they were
    /// told as draining.
    fn empty_workers(&mut self, now: Nanos) {
        if now < self.outs.looked + LOOK {
            return;
        }
        self.outs.looked = now;
        let longest = self.feed.config().and_then(|c| c.routes.iter().map(|r| r.deadline_ms).max());
        let longest = longest.map_or(REQUESTS, |ms| (ms * MS).min(REQUESTS));
        let Some(leader) = self.leadership.leader_mut() else { return };
        let drains = &self.outs.drains;
        let goes = leader.scaler.visible_instances().filter(|i| i.state == State::Draining);
        let goes: Vec<_> = goes.filter(|i| drains.has_worker(now, &i.worker)).map(|i| i.id.clone()).collect();
        let before = std::mem::take(&mut self.outs.empties);
        for id in goes {
            let since = before.get(&id).copied().unwrap_or(now);
            if since + longest <= now {
                leader.scaler.retire(now, &id);
            }
            self.outs.empties.insert(id, since);
        }
    }

    /// The platform's word on workers, as the scaler is to take it: one that is out takes no starts, and its instances drain.
    pub(super) fn with_outs(&self, now: Nanos, heard: PlatformReply) -> PlatformReply {
        let drains = &self.outs.drains;
        match heard {
            PlatformReply::Workers(Some(mut all)) if !drains.is_empty() => {
                all.iter_mut().for_each(|worker| worker.draining |= drains.has_worker(now, &worker.name));
                PlatformReply::Workers(Some(all))
            }
            other => other,
        }
    }

    /// An operator's order.
    pub(super) fn order_out(&mut self, now: Nanos, call: &Call) -> Result<Reply, Kind> {
        let json = call.json().ok_or_else(|| Kind::Invalid("no JSON".to_owned()))?;
        let order = Order::read(&json)?;
        self.take_out(now);
        let leader = self.leadership.leader().ok_or(Kind::NotLeader)?;
        let up = leader.standing(now).filter(|stall| !matches!(stall.out, Some("silent" | "leaves")));
        let stalls = up.map(|stall| (stall.name, stall.zone)).collect();
        let workers = self.ledger.workers().iter().filter(|worker| !worker.draining);
        let workers = workers.map(|worker| (worker.name.as_str(), worker.zone.as_str())).collect();
        let says = order.says();
        self.outs.drains.order(now, order, &Seen { stalls, workers })?;
        log::info!("{says}");
        self.take_out(now);
        self.news(now);
        self.told_outs(now)
    }

    /// What is out, for operators.
    pub(super) fn told_outs(&self, now: Nanos) -> Result<Reply, Kind> {
        let leader = self.leadership.leader().ok_or(Kind::NotLeader)?;
        let mut on: BTreeMap<&str, usize> = BTreeMap::new();
        for instance in leader.scaler.visible_instances() {
            *on.entry(&instance.worker).or_default() += 1;
        }
        let named = |name: &str| leader.standing(now).any(|stall| stall.name == name && stall.named);
        let body = object([
            ("fence", JsonValue::Number(leader.fence as f64)),
            ("drains", self.outs.drains.to_json(now, named, |name| on.get(name).copied().unwrap_or(0))),
        ]);
        Ok(Reply::json(StatusCode::OK, body.stringify().unwrap_or_default()))
    }

    /// A stall says that it rests.
    pub(super) fn rests(&mut self, now: Nanos, name: &str, left: f64) {
        let Some(leader) = self.leadership.leader() else { return };
        let zone = leader.standing(now).find(|stall| stall.name == name).map(|stall| stall.zone);
        self.outs.drains.said(now, name, zone, left);
    }

    /// Another control machine's word of what is out.
    pub(super) fn heard_outs(&mut self, now: Nanos, news: &JsonValue) {
        let JsonValue::Object(parts) = news else { return };
        if let Some(news) = parts.get("drains") {
            self.outs.drains.heard(now, news);
        }
    }
}
