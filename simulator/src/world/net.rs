//! The simulated network between processes: calls and responses, feeds, latency, link bandwidth, partitions
//! and broken connections.

use bytes::Bytes;
use compact_str::CompactString;
use millpost_protocol::{Peer, PeerMessage, ViewChange};
use millpost_quorum::Message;
use tinyjson::JsonValue;

use super::{Event, Party, Role, World};
use crate::processes::{Payload, ProcessInput};
use crate::{MS, SECOND, Time};

/// Size of the HTTP headers of a request and of a response, in bytes.
const REQUEST: u64 = 150;
const ANSWER: u64 = 80;
/// Time after which a controller closes a feed whose lines are not acknowledged.
const FEED_TIMEOUT: Time = 2 * SECOND;

/// An open call.
pub(super) struct Call {
    pub from: Party,
    pub incarnation: u64,
    pub id: u64,
    pub to: Party,
    pub payload: Option<Payload>,
}

/// A feed from a controller to an agent.
pub(super) struct Stream {
    agent: usize,
    agent_incarnation: u64,
    feed: u64,
    controller: usize,
    controller_incarnation: u64,
    last: Time,
    open_at_controller: bool,
}

/// When the outgoing and incoming link of a machine are free.
#[derive(Default)]
pub(super) struct Link {
    out: Time,
    into: Time,
}

/// Traffic counters.
#[derive(Default, Clone, Copy, Debug)]
pub struct Traffic {
    /// Requests, responses and feed lines between machines.
    pub messages: u64,
    /// Bytes of these, including headers,
    pub bytes: u64,
    /// ... and the part that crossed zones.
    pub zone_bytes: u64,
    /// New connections to endpoints.
    pub handshakes: u64,
    /// Calls to the platform.
    pub platform: u64,
    /// Bytes of client requests and responses.
    pub clients: u64,
}

fn message_json_size(message: &PeerMessage) -> u64 {
    let text = match message {
        PeerMessage::PackedConfig { packed, .. } | PeerMessage::PackedPatch { packed, .. } => {
            return packed.len() as u64 + 40;
        }
        PeerMessage::Config { .. } | PeerMessage::Patch { .. } => {
            message.to_json().stringify().map_or(0, |s| s.len())
        }
        PeerMessage::RequestPermit { service, avoid, zone, .. } => {
            77 + service.len() + zone.len() + avoid.iter().map(|a| a.len() + 8).sum::<usize>()
        }
        PeerMessage::Grant { instance, address, .. } => 43 + instance.len() + address.len(),
        PeerMessage::ReleasePermit { outcome, .. } => 45 + outcome.len(),
        PeerMessage::HeldPermit { service, instance, .. } => 58 + service.len() + instance.len(),
        PeerMessage::HandOverPermits { service, permits, .. } => 42 + service.len() + permits.len() * 70,
        PeerMessage::ForwardRelease { who, instance, outcome, .. } => {
            52 + who.len() + outcome.len() + instance.as_ref().map_or(0, |i| i.len() + 6)
        }
        PeerMessage::Denied { .. } => 52,
        PeerMessage::CancelRequest { .. } | PeerMessage::Queued { .. } => 32,
        PeerMessage::MinInstances { service, .. } => 46 + service.len(),
        PeerMessage::DesiredInstances { service, zones, does, slow, .. } => {
            let does = if does.is_some() { 24 } else { 0 };
            let slow = slow.iter().map(|w| w.len() + 3).reduce(|a, b| a + b).map_or(0, |sum| sum + 10);
            34 + service.len() + zones.iter().map(|z| z.len() + 3).sum::<usize>() + does + slow
        }
        PeerMessage::Instances { set, gone, .. } => {
            let of = |i: &millpost_protocol::Instance| {
                44 + i.id.len() + i.service.len() + i.address.len() + i.zone.len() + i.worker.len()
            };
            48 + set.iter().map(of).sum::<usize>() + gone.iter().map(|id| id.len() + 3).sum::<usize>()
        }
        PeerMessage::OwnedInstances { set } => 24 + set.len() * 90,
        PeerMessage::FullView { peers, leaving, .. } => {
            let of = peers.iter().chain(leaving);
            34 + of.map(|p| 25 + p.name.len() + p.address.len() + p.zone.len()).sum::<usize>()
        }
        PeerMessage::ViewChange(shift) => {
            let peers = shift.came.iter().chain(&shift.leaving);
            let peers = peers.map(|p| 25 + p.name.len() + p.address.len() + p.zone.len());
            let names = [&shift.left, &shift.ended, &shift.split, &shift.joined].into_iter().flatten();
            44 + peers.chain(names.map(|name| name.len() + 3)).sum::<usize>()
        }
        PeerMessage::ViewOutdated { .. } | PeerMessage::StaleIncarnation { .. } => 28,
        PeerMessage::QueryRevision => 14,
        PeerMessage::Contact { .. } => 26,
        PeerMessage::CommittedRevision { .. } => 24,
        PeerMessage::Drain { name, .. } => 36 + name.len(),
        PeerMessage::Leader { address, .. } => 34 + address.len(),
        PeerMessage::Controllers { addresses } => 26 + addresses.iter().map(|a| a.len() + 3).sum::<usize>(),
        PeerMessage::RetireInstance { instance }
        | PeerMessage::InstanceDown { instance }
        | PeerMessage::InstanceUp { instance } => 24 + instance.len(),
        PeerMessage::ConfigApplied { .. } => 28,
        PeerMessage::PeerUnreachable { peer, from } => 26 + peer.len() + from.len(),
        PeerMessage::Heartbeat { peer, .. } => 60 + peer.name.len() + peer.address.len() + peer.zone.len(),
    };
    text as u64
}

fn messages_json_size(messages: &[PeerMessage]) -> u64 {
    messages.iter().map(|n| message_json_size(n) + 1).sum()
}

fn message_size(message: &Message) -> u64 {
    match message {
        Message::Write { value, .. } => 420 + value.content.len() as u64,
        Message::Promised { accepted, .. } | Message::QueryReply { accepted, .. } => {
            260 + accepted.as_ref().map_or(0, |a| a.value.content.len() as u64)
        }
        Message::StateReply { slots, .. } => {
            300 + slots
                .iter()
                .map(|(_, s)| 200 + s.accepted.as_ref().map_or(0, |a| a.value.content.len() as u64))
                .sum::<u64>()
        }
        _ => 300,
    }
}

/// Estimated size as JSON, in bytes.
fn estimated_size(payload: &Payload) -> u64 {
    match payload {
        Payload::Messages { messages, .. } | Payload::Follow { messages, .. } => {
            50 + messages_json_size(messages)
        }
        Payload::Vote { message, .. } | Payload::Voted(Some(message)) => 40 + message_size(message),
        Payload::Gossip(body) | Payload::Body(body) => body.len() as u64,
        Payload::Replace(text) | Payload::Drain(text) => text.len() as u64,
        Payload::Listed { entries, .. } => 30 + entries.len() as u64 * 165,
        Payload::WorkerList(workers) => 20 + workers.len() as u64 * 90,
        Payload::Start { .. } | Payload::Stop { .. } => 90,
        Payload::Started(_) => 60,
        _ => 10,
    }
}

/// Exact size as JSON, to check the estimates.
#[cfg(test)]
fn exact_json_size(messages: &[PeerMessage]) -> u64 {
    messages.iter().map(|n| n.to_json().stringify().map_or(0, |s| s.len() as u64) + 1).sum()
}

/// Describes the proxies that a feed line adds or removes, for the trace.
fn describe_view(line: &[u8]) -> Option<String> {
    let JsonValue::Object(parts) = millpost_net::messaging::json(line)? else { return None };
    let Some(JsonValue::Array(messages)) = parts.get("notes") else { return None };
    let list = |what: &str, names: &[CompactString]| {
        if names.is_empty() { String::new() } else { format!(", {what} {}", names.join(" ")) }
    };
    messages.iter().filter_map(|message| PeerMessage::read(message).ok()).find_map(|message| match message {
        PeerMessage::FullView { version, peers, leaving, split } => {
            let leaving = list("leaving", &leaving.into_iter().map(|p| p.name).collect::<Vec<_>>());
            let (count, split) = (peers.len(), list("split", &split));
            Some(format!("names {count} stalls{leaving}{split}, version {version:?}"))
        }
        PeerMessage::ViewChange(ViewChange { version, from, came, left, leaving, ended, split, joined }) => {
            let names = |of: Vec<Peer>| of.into_iter().map(|p| p.name).collect::<Vec<_>>();
            let (came, left) = (list("new", &names(came)), list("no more", &left));
            let (leaving, ended) = (list("leaving", &names(leaving)), list("gone", &ended));
            let (split, joined) = (list("split", &split), list("joined", &joined));
            Some(format!(
                "names the stalls of {from:?}{came}{left}{leaving}{ended}{split}{joined}, version {version:?}"
            ))
        }
        _ => None,
    })
}

impl World {
    fn machine_of(who: Party) -> Option<usize> {
        match who {
            Party::Process(machine, _) => Some(machine),
            Party::Platform | Party::Operator(_) => None,
        }
    }

    /// Arrival time of `bytes` bytes sent at `now`.
    fn transit(&mut self, from: Party, to: Party, bytes: u64, now: Time) -> Time {
        let (from, to) = (Self::machine_of(from), Self::machine_of(to));
        if from.is_some() && from == to {
            return now + self.rng.between(40_000, 90_000);
        }
        let zone = |world: &World, at: Option<usize>| at.map_or(0, |at| world.machines[at].zone);
        let apart = zone(self, from) != zone(self, to);
        let base = if apart { self.site.far } else { self.site.near };
        if from.is_some() && to.is_some() {
            self.traffic.messages += 1;
            self.traffic.bytes += bytes;
            if apart {
                self.traffic.zone_bytes += bytes;
            }
        }
        let mut there = now + base + self.rng.between(0, base / 3);
        // A lost packet is retransmitted; other connections do not wait for it.
        let again = if self.rng.chance(0.0003) { self.rng.between(200 * MS, 400 * MS) } else { 0 };
        let span = |world: &World, at: usize| {
            let mbps = if world.machines[at].core { world.site.mbps.1 } else { world.site.mbps.0 };
            (bytes as f64 * 8_000.0 / mbps) as Time
        };
        if let Some(at) = from {
            let span = span(self, at);
            let link = &mut self.machines[at].link;
            link.out = link.out.max(now) + span;
            there += link.out - now;
        }
        if let Some(at) = to {
            let (until, longer) = self.machines[at].delay;
            if until > now {
                there += longer;
            }
            let span = span(self, at);
            let link = &mut self.machines[at].link;
            link.into = (link.into + span).max(there);
            there = link.into;
        }
        there += again;
        let ends = || from.iter().chain(&to).map(|at| &self.machines[*at]);
        let core = ends().filter(|m| m.core).count() == 2;
        let cut = ends()
            .map(|m| if core { m.partition_until.max(m.core_partition_until) } else { m.partition_until })
            .max()
            .unwrap_or(0);
        let cut = cut.max(from.map_or(0, |at| self.machines[at].outgoing_blocked_until));
        let halves: Vec<_> = ends().filter(|m| m.core).map(|m| m.core_half).collect();
        let cut = match halves.as_slice() {
            [(one, until), (other, _)] if one != other => cut.max(*until),
            _ => cut,
        };
        // An edge machine partitioned from the core still reaches other edge machines and its clients.
        let edge_cut = ends().filter(|m| !m.core).map(|m| m.core_partition_until).max().unwrap_or(0);
        let cut = if ends().any(|m| m.core) { cut.max(edge_cut) } else { cut };
        let operator = from.is_none() && to.is_some() || to.is_none() && from.is_some();
        // Traffic into a partition is delivered after its end; operators reach both sides.
        if cut > now && !operator { cut + base + there - now } else { there }
    }

    pub(super) fn call(
        &mut self,
        from: Party,
        incarnation: u64,
        id: u64,
        to: &str,
        payload: Payload,
        within: Time,
    ) {
        if self.trace.is_some()
            && let Payload::Messages { from, messages, .. } = &payload
        {
            for message in messages {
                if let PeerMessage::PeerUnreachable { peer, .. } = message {
                    self.trace_line(|| format!("{from} tells {to} that {peer} does not answer"));
                }
            }
        }
        let Some(to) = self.names.get(to).copied() else { return };
        self.next += 1;
        let number = self.next;
        let there = self.transit(from, to, REQUEST + estimated_size(&payload), self.now);
        let there = self.charge_permit_requests(to, &payload, there);
        self.calls.insert(number, Call { from, incarnation, id, to, payload: Some(payload) });
        self.at(there, Event::Call(number));
        self.at(self.now + within, Event::Expire(number));
    }

    /// Charges permit requests to the CPU of the owning proxy, one after the other.
    fn charge_permit_requests(&mut self, to: Party, payload: &Payload, there: Time) -> Time {
        let (Party::Process(at, Role::Proxy), Payload::Messages { messages, .. }) = (to, payload) else {
            return there;
        };
        let asks = messages.iter().filter(|n| matches!(n, PeerMessage::RequestPermit { .. })).count();
        if !self.site.charge_request_cpu || asks == 0 {
            return there;
        }
        // The rate at which permit requests would use all of its CPU.
        let each =
            SECOND as f64 / millpost_scheduler::max_requests_per_s(f64::INFINITY, self.site.processors);
        let machine = &mut self.machines[at];
        machine.busy = machine.busy.max(there) + (asks as f64 * each) as Time;
        machine.busy
    }

    pub(super) fn called(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        let (from, to) = (call.from, call.to);
        match to {
            Party::Process(at, role) => {
                let machine = &mut self.machines[at];
                if !machine.powered {
                    return;
                }
                if machine.frozen_until > self.now {
                    return machine.held_events.push(Event::Call(number));
                }
                if !machine.up(role) {
                    if let Some(Payload::Follow { .. }) = call.payload {
                        let stream = number;
                        return self.at(self.now + MS, Event::Ended { stream, at_controller: false });
                    }
                    let back = self.transit(to, from, ANSWER, self.now);
                    return self.at(back, Event::Answer(number, None));
                }
                let Some(payload) = call.payload.take() else { return };
                if let Some(stream) = self.streams.get_mut(&number) {
                    (stream.open_at_controller, stream.controller_incarnation) =
                        (true, self.machines[at].incarnation);
                    self.calls.remove(&number);
                }
                self.deliver(at, role, ProcessInput::Call { call: number, payload });
            }
            Party::Platform => {
                let Some(payload) = call.payload.take() else { return };
                self.traffic.platform += 1;
                let answer = self.platform_answers(payload);
                let took = self.rng.between(3 * MS, 15 * MS);
                let back = self.transit(to, from, ANSWER + estimated_size(&answer), self.now) + took;
                self.at(back, Event::Answer(number, Some(answer)));
            }
            Party::Operator(_) => {}
        }
    }

    pub(super) fn reply(&mut self, number: u64, payload: Payload, at: Time) {
        if self.streams.contains_key(&number) {
            // The feed was rejected.
            return self.at(self.now + MS, Event::Ended { stream: number, at_controller: false });
        }
        let Some(call) = self.calls.get(&number) else { return };
        let (from, to) = (call.from, call.to);
        let back = self.transit(to, from, ANSWER + estimated_size(&payload), self.now);
        // A response that depends on a write is sent once the write is synced; if its process has ended by
        // then, it is not sent.
        if at > self.now
            && let Some(call) = self.calls.get_mut(&number)
        {
            call.payload = Some(payload);
            return self.at(at, Event::Answer(number, None));
        }
        self.at(back, Event::Answer(number, Some(payload)));
    }

    pub(super) fn answer(&mut self, number: u64, payload: Option<Payload>) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        if payload.is_none()
            && let Some(waits) = call.payload.take()
            && let Payload::Voted(_) = waits
        {
            let (from, to) = (call.from, call.to);
            let back = self.transit(to, from, ANSWER + estimated_size(&waits), self.now);
            return self.at(back, Event::Answer(number, Some(waits)));
        }
        let (from, incarnation, id) = (call.from, call.incarnation, call.id);
        match from {
            Party::Process(at, role) => {
                let machine = &mut self.machines[at];
                if machine.incarnation != incarnation || !machine.powered {
                    self.calls.remove(&number);
                    return;
                }
                if machine.frozen_until > self.now {
                    return machine.held_events.push(Event::Answer(number, payload));
                }
                self.calls.remove(&number);
                self.deliver(at, role, ProcessInput::Answer { id, payload });
            }
            Party::Operator(order) => {
                self.calls.remove(&number);
                self.deliver_to_operator(order, payload);
            }
            Party::Platform => {}
        }
    }

    pub(super) fn expire(&mut self, number: u64) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.payload = None;
            self.answer(number, None);
        }
    }

    pub(super) fn follow(&mut self, at: usize, feed: u64, to: &str, payload: Payload) {
        let Some(Party::Process(controller, _)) = self.names.get(to).copied() else { return };
        self.next += 1;
        let number = self.next;
        let (from, to) = (Party::Process(at, Role::Agent), Party::Process(controller, Role::Controller));
        let there = self.transit(from, to, REQUEST + estimated_size(&payload), self.now);
        let agent_incarnation = self.machines[at].incarnation;
        let stream = Stream {
            agent: at,
            agent_incarnation,
            feed,
            controller,
            controller_incarnation: 0,
            last: 0,
            open_at_controller: false,
        };
        self.streams.insert(number, stream);
        self.calls.insert(
            number,
            Call { from, incarnation: agent_incarnation, id: feed, to, payload: Some(payload) },
        );
        self.at(there, Event::Call(number));
    }

    pub(super) fn send_line(&mut self, number: u64, line: Bytes) {
        let Some(stream) = self.streams.get(&number) else { return };
        let (agent, controller) = (stream.agent, stream.controller);
        let (from, to) = (Party::Process(controller, Role::Controller), Party::Process(agent, Role::Agent));
        let there = self.transit(from, to, 6 + line.len() as u64, self.now);
        if self.trace.is_some()
            && let Some(description) = describe_view(&line)
        {
            self.trace_line(|| format!("machine {controller} {description}, to machine {agent}"));
        }
        let Some(stream) = self.streams.get_mut(&number) else { return };
        stream.last = stream.last.max(there);
        let there = stream.last;
        // If a line is not acknowledged in time, the sender closes the feed.
        if there > self.now + FEED_TIMEOUT {
            self.at(self.now + FEED_TIMEOUT, Event::Ended { stream: number, at_controller: true });
        }
        self.at(there, Event::Line { stream: number, line });
    }

    pub(super) fn line(&mut self, number: u64, line: Bytes) {
        let Some(stream) = self.streams.get(&number) else { return };
        let (at, incarnation, feed) = (stream.agent, stream.agent_incarnation, stream.feed);
        let machine = &mut self.machines[at];
        if machine.incarnation != incarnation || !machine.powered {
            return;
        }
        if machine.frozen_until > self.now {
            return machine.held_events.push(Event::Line { stream: number, line });
        }
        self.deliver(at, Role::Agent, ProcessInput::Line { feed, line });
    }

    pub(super) fn close(&mut self, at: usize, role: Role, feed: u64) {
        if role == Role::Controller {
            return self.at(self.now + MS, Event::Ended { stream: feed, at_controller: false });
        }
        let incarnation = self.machines[at].incarnation;
        let found = self
            .streams
            .iter()
            .find(|(_, s)| (s.agent, s.agent_incarnation, s.feed) == (at, incarnation, feed));
        if let Some(number) = found.map(|(number, _)| *number) {
            self.calls.remove(&number);
            self.end_at_controller(number, self.now);
        }
    }

    /// The controller notices that a feed has ended; after a partition or power loss only by a time-out.
    fn end_at_controller(&mut self, number: u64, now: Time) {
        let Some(stream) = self.streams.get(&number) else { return };
        let (agent, controller) = (stream.agent, stream.controller);
        let silent = !self.machines[agent].reachable(now) || !self.machines[controller].reachable(now);
        let at = if silent { now + FEED_TIMEOUT } else { now + self.site.far };
        self.at(at, Event::Ended { stream: number, at_controller: true });
    }

    pub(super) fn stream_ended(&mut self, number: u64, at_controller: bool) {
        let Some(stream) = self.streams.get(&number) else { return };
        let (agent, incarnation, feed) = (stream.agent, stream.agent_incarnation, stream.feed);
        let (controller, controller_incarnation, open) =
            (stream.controller, stream.controller_incarnation, stream.open_at_controller);
        let (at, role) = if at_controller { (controller, Role::Controller) } else { (agent, Role::Agent) };
        let machine = &mut self.machines[at];
        if machine.frozen_until > self.now {
            return machine.held_events.push(Event::Ended { stream: number, at_controller });
        }
        if at_controller {
            self.streams.remove(&number);
            if self.machines[controller].incarnation == controller_incarnation && open {
                self.deliver(controller, Role::Controller, ProcessInput::Ended { feed: number });
            }
        } else {
            self.streams.remove(&number);
            self.calls.remove(&number);
            if self.machines[agent].incarnation == incarnation && self.machines[agent].powered {
                self.deliver(agent, role, ProcessInput::Ended { feed });
            }
        }
    }

    /// Breaks all connections of a machine; `notify_peers`: the other sides notice at once.
    pub(super) fn break_all(&mut self, at: usize, notify_peers: bool) {
        let here = |who: Party| Self::machine_of(who) == Some(at);
        let mut broken: Vec<_> =
            self.calls.iter().filter(|(_, c)| here(c.from) || here(c.to)).map(|(n, _)| *n).collect();
        broken.sort_unstable();
        for number in broken {
            let Some(call) = self.calls.get_mut(&number) else { continue };
            if here(call.from) && here(call.to) {
                continue;
            }
            if notify_peers || here(call.from) {
                call.payload = None;
                self.at(self.now + self.site.far, Event::Answer(number, None));
            }
        }
        let streams: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, s)| s.agent == at || s.controller == at)
            .map(|(n, s)| (*n, s.agent == at))
            .collect();
        for (number, agent_gone) in streams {
            let wait = if notify_peers { self.site.far } else { FEED_TIMEOUT };
            self.at(self.now + wait, Event::Ended { stream: number, at_controller: agent_gone });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn estimated_sizes_are_close_to_exact() {
        let ask = PeerMessage::RequestPermit {
            id: 1 << 33,
            service: "b17".into(),
            left: 1_432.25,
            aim: 180.5,
            target: 200.0,
            sent: 0,
            first: true,
            returned: false,
            avoid: Vec::new(),
            zone: "z1".into(),
        };
        let grant = PeerMessage::Grant {
            id: 1 << 33,
            instance: "i-123".into(),
            address: "10.64.0.7:8080".into(),
            zone: None,
        };
        let done = PeerMessage::ReleasePermit { id: 1 << 33, outcome: "ok".into(), took: 45.25 };
        for message in [ask, grant, done, PeerMessage::RetireInstance { instance: "i-4".into() }] {
            let (estimate, actual) = (
                message_json_size(&message) as f64 + 1.0,
                exact_json_size(std::slice::from_ref(&message)) as f64,
            );
            assert!((estimate / actual - 1.0).abs() < 0.25, "{message:?}: {estimate} {actual}");
        }
    }
}
