//! Simulated clients: arrivals by zone, load balancing to proxies, deadlines, retries as the protocol
//! specifies, and nested calls of runs.

use compact_str::{CompactString, format_compact};

use super::{Event, Role, World};
use crate::auditor::Attempt;
use crate::processes::{ProcessInput, Request};
use crate::site::{Classes, HOST};
use crate::{MS, SECOND, Time};

/// Time-out for a new connection.
const CONNECT: Time = SECOND;
/// Retry delay of a client that got none from the response.
const PAUSE: Time = 30 * MS;

/// A client request with all its attempts.
pub(super) struct ClientRequest {
    class: usize,
    path: CompactString,
    zone: usize,
    first_sent: Time,
    deadline: Time,
    retries: u32,
    /// The run that makes this nested call, and whether that run was a repeat.
    parent: Option<(u64, bool)>,
    /// Sent to this machine only, to reveal its active configuration.
    target_machine: Option<usize>,
    current: Option<u64>,
    last_machine: Option<usize>,
    done: bool,
}

/// Statistics of client requests.
#[derive(Default)]
pub struct RequestStats {
    /// First send time, latency, success and class of each request.
    all: Vec<(Time, Time, bool, usize)>,
    /// Number of unsuccessful requests by last status.
    pub statuses: std::collections::BTreeMap<u16, u64>,
}

impl RequestStats {
    /// Success ratio of the requests first sent in `from..to`; `None` for fewer than 20.
    pub fn share(&self, from: Time, to: Time) -> Option<f64> {
        let of = self.all.iter().filter(|(sent, ..)| (from..to).contains(sent));
        let (all, good) = of.fold((0u64, 0u64), |(all, good), one| (all + 1, good + u64::from(one.2)));
        (all >= 20).then(|| good as f64 / all as f64)
    }

    /// Number of requests, and of successful ones.
    pub fn counts(&self) -> (usize, usize) {
        (self.all.len(), self.all.iter().filter(|one| one.2).count())
    }

    /// Share of all requests served within the target latency of their class.
    pub fn within_target(&self, classes: &Classes) -> f64 {
        let within = self.all.iter().filter(|one| one.2 && one.1 <= classes[one.3].target_latency).count();
        within as f64 / self.all.len().max(1) as f64
    }

    /// Latency quantile of successful requests of these classes.
    pub fn quantile(&self, part: f64, classes: &[usize]) -> Time {
        let of = self.all.iter().filter(|one| one.2 && classes.contains(&one.3));
        let mut took: Vec<_> = of.map(|one| one.1).collect();
        took.sort_unstable();
        let at = (took.len() as f64 * part) as usize;
        took.get(at.min(took.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

impl World {
    pub(super) fn arrive(&mut self, zone: usize) {
        let now = self.now;
        let end = if self.plan.final_fault.is_some() { self.end } else { self.site.lead + self.site.length };
        if now >= end.saturating_sub(SECOND) {
            return;
        }
        self.bursts.retain(|(_, _, until)| *until > now);
        let mut mix = [0.69, 0.23, 0.08];
        for (class, times, _) in &self.bursts {
            mix[*class] *= times;
        }
        let sum: f64 = mix.iter().sum();
        let per_s = self.site.per_s / self.site.zones as f64 * sum;
        let next = now + self.rng.exponential_gap(per_s);
        self.at(next, Event::Arrive { zone });
        let mut drawn = self.rng.unit() * sum;
        let class = mix.iter().position(|part| {
            drawn -= part;
            drawn < 0.0
        });
        let class = class.unwrap_or(0);
        let kind = usize::from(class == 2);
        let weights = &self.weights[kind];
        let place = self.rng.unit() * weights.last().copied().unwrap_or(1.0);
        let number = weights.partition_point(|w| *w <= place).min(weights.len() - 1);
        let path = format_compact!("/{}{number}/x", self.site.classes[class].letter);
        self.client_request(class, path, zone, now + self.site.classes[class].deadline, None, None);
    }

    pub(super) fn client_request(
        &mut self,
        class: usize,
        path: CompactString,
        zone: usize,
        deadline: Time,
        parent: Option<(u64, bool)>,
        target_machine: Option<usize>,
    ) {
        let place = self.client_requests.len();
        self.client_requests.push(ClientRequest {
            class,
            path,
            zone,
            first_sent: self.now,
            deadline,
            retries: if parent.is_some() || target_machine.is_some() {
                0
            } else {
                self.site.classes[class].retries
            },
            parent,
            target_machine,
            current: None,
            last_machine: None,
            done: false,
        });
        self.at(deadline, Event::ClientDeadline(place));
        self.attempt(place);
    }

    /// A run makes a nested call to another route of its function.
    pub(super) fn nested_call(
        &mut self,
        zone: usize,
        service: usize,
        run: u64,
        deadline: Time,
        repeat: bool,
    ) {
        let path = format_compact!("/c{service}/x");
        self.client_request(3, path, zone, deadline, Some((run, repeat)), None);
    }

    /// The proxies that get new connections of a zone.
    fn choices(&self, zone: usize) -> Vec<usize> {
        let of = |zone: usize| -> Vec<usize> {
            let all: Vec<_> = (0..self.site.edges.len()).filter(|at| self.site.edges[*at] == zone).collect();
            let serving: Vec<_> = all.iter().copied().filter(|at| self.machines[*at].serving).collect();
            if serving.is_empty() || serving.len() * 2 >= all.len() { serving } else { all }
        };
        let mine = of(zone);
        if !mine.is_empty() {
            return mine;
        }
        let others: Vec<_> = (0..self.site.zones).filter(|z| *z != zone).flat_map(of).collect();
        if others.is_empty() { (0..self.site.edges.len()).collect() } else { others }
    }

    pub(super) fn attempt(&mut self, place: usize) {
        let now = self.now;
        let client_request = &self.client_requests[place];
        if client_request.done || now >= client_request.deadline {
            return;
        }
        let (zone, last, target_machine) =
            (client_request.zone, client_request.last_machine, client_request.target_machine);
        let machine = match target_machine {
            Some(machine) => machine,
            None => {
                let mut choices = self.choices(zone);
                if choices.len() > 1 {
                    choices.retain(|at| Some(*at) != last);
                }
                choices[self.rng.below(choices.len())]
            }
        };
        let client_request = &mut self.client_requests[place];
        client_request.last_machine = Some(machine);
        let class = &self.site.classes[client_request.class];
        let one = Attempt {
            path: client_request.path.clone(),
            class: client_request.class,
            sent: now,
            machine,
            incarnation: self.machines[machine].incarnation,
            at_most_once: !class.repeatable,
            repeat: client_request.parent.is_some_and(|(_, repeat)| repeat),
            runs: 0,
            promised: None,
            arrivals: 0,
            seals: Vec::new(),
        };
        let id = self.auditor.attempt_sent(one);
        client_request.current = Some(id);
        self.attempts.push(place);
        self.traffic.clients += class.bytes.0;
        let left = self.client_requests[place].deadline - now;
        let there = now + self.site.client + self.rng.between(0, 300_000);
        self.at(there, Event::ReachProxy { attempt: id });
        if class.repeatable {
            // The client gives up an attempt that the proxy does not read in time.
            let patience = SECOND.min(left / 3).max(5 * MS);
            self.at(now + patience, Event::ReadTimeout { client_request: place, attempt: id });
        }
    }

    pub(super) fn reach_proxy(&mut self, attempt: u64) {
        let now = self.now;
        let place = self.attempts[attempt as usize];
        let client_request = &self.client_requests[place];
        if client_request.current != Some(attempt) || client_request.done {
            return;
        }
        let (deadline, path) = (client_request.deadline, client_request.path.clone());
        let one = &self.auditor.attempts[attempt as usize];
        let (at, sent) = (one.machine, one.sent);
        let client = self.site.client;
        let machine = &mut self.machines[at];
        if !machine.powered {
            return self
                .at(sent + CONNECT, Event::ReachClient { attempt, status: 0, again: None, seal: None });
        }
        if machine.frozen_until > now {
            return machine.held_events.push(Event::ReachProxy { attempt });
        }
        // A proxy that accepts no connections has not read the request.
        if machine.proxy.as_ref().is_none_or(|proxy| proxy.refuses_connections(now)) {
            return self.at(now + client, Event::ReachClient { attempt, status: 0, again: None, seal: None });
        }
        machine.open_attempts.insert(attempt);
        let incarnation = machine.incarnation;
        if let Some(one) = self.auditor.attempts.get_mut(attempt as usize) {
            one.incarnation = incarnation;
        }
        self.read.insert(attempt);
        if self.auditor.attempts[attempt as usize].at_most_once {
            self.ever_read.insert(attempt);
        }
        let request = Request { attempt, host: HOST.into(), path, left: deadline.saturating_sub(sent) };
        self.deliver(at, Role::Proxy, ProcessInput::Request { client: attempt, request });
    }

    pub(super) fn read_timeout(&mut self, place: usize, attempt: u64) {
        let client_request = &self.client_requests[place];
        if client_request.current == Some(attempt) && !client_request.done && !self.read.contains(&attempt) {
            self.deliver_to_client(attempt, 0, None, None);
        }
    }

    pub(super) fn proxy_answers(
        &mut self,
        at: usize,
        attempt: u64,
        status: u16,
        again: Option<Time>,
        seal: Option<u64>,
    ) {
        if self.machines[at].open_attempts.remove(&attempt) {
            let there = self.now + self.site.client;
            self.at(there, Event::ReachClient { attempt, status, again, seal });
        }
    }

    /// Delivers a response to the client; status 0 stands for a broken connection.
    pub(super) fn deliver_to_client(
        &mut self,
        attempt: u64,
        status: u16,
        again: Option<Time>,
        seal: Option<u64>,
    ) {
        let now = self.now;
        self.read.remove(&attempt);
        let place = self.attempts[attempt as usize];
        if status > 0 {
            self.auditor.client_answered(&self.disturbances, now, attempt, status, seal);
            self.trace_line(|| format!("request {attempt} is answered with {status}"));
        }
        // A proxy that has read a request and closes the connection promises nothing about it.
        let closed_unread = status == 0 && !self.ever_read.contains(&attempt);
        let client_request = &mut self.client_requests[place];
        if client_request.current != Some(attempt) || client_request.done {
            return;
        }
        client_request.current = None;
        let class = &self.site.classes[client_request.class];
        self.traffic.clients += class.bytes.1;
        if (200..300).contains(&status) {
            return self.finish_request(place, true, status);
        }
        let promise = matches!(status, 429 | 503 | 408 | 421);
        let may = match status {
            400 | 401 | 404 | 413 | 431 => false,
            _ => class.repeatable || promise || closed_unread,
        };
        let left = client_request.deadline.saturating_sub(now);
        if !may || client_request.retries == 0 || left < 10 * MS {
            return self.finish_request(place, false, status);
        }
        client_request.retries -= 1;
        let wait = again.unwrap_or(PAUSE).min(left / 3).max(MS);
        self.at(now + wait, Event::Attempt(place));
    }

    fn finish_request(&mut self, place: usize, good: bool, status: u16) {
        let client_request = &mut self.client_requests[place];
        if client_request.done {
            return;
        }
        client_request.done = true;
        let (first_sent, parent, target_machine) =
            (client_request.first_sent, client_request.parent, client_request.target_machine);
        let class = client_request.class;
        if let Some((run, _)) = parent {
            return self.nested_call_done(run, good);
        }
        if target_machine.is_none() {
            self.served.all.push((first_sent, self.now - first_sent, good, class));
            if !good {
                *self.served.statuses.entry(status).or_default() += 1;
            }
        }
    }

    /// The client's deadline has passed.
    pub(super) fn client_deadline(&mut self, place: usize) {
        let client_request = &mut self.client_requests[place];
        if client_request.done {
            return;
        }
        if let Some(attempt) = client_request.current.take() {
            let at = self.auditor.attempts[attempt as usize].machine;
            if self.machines[at].open_attempts.remove(&attempt) && self.machines[at].frozen_until <= self.now
            {
                self.deliver(at, Role::Proxy, ProcessInput::Gone { client: attempt });
            }
        }
        self.finish_request(place, false, 1);
    }

    /// The load balancer checks the readiness of every proxy.
    pub(super) fn health_check(&mut self) {
        let now = self.now;
        self.connections.drop_expired(now, |_| true);
        for machine in &mut self.machines[..self.site.edges.len()] {
            let well = machine.powered
                && machine.frozen_until <= now
                && machine.proxy.as_ref().is_some_and(|proxy| proxy.ready(now));
            machine.failed_checks = if well { 0 } else { machine.failed_checks + 1 };
            machine.serving = machine.failed_checks < 2;
        }
        self.at(now + SECOND, Event::HealthCheck);
    }
}
