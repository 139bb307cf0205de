//! Simulated endpoints: slots without a queue, processing times, lost or corrupted responses, and the
//! connections of proxies to them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;
use millpost_net::idle_connections::{ConnectionId, UsedConnections};
use millpost_scheduler::Outcome;

use super::{Event, Role, World};
use crate::processes::{Exchanged, ProcessInput, Request};
use crate::{MS, SECOND, Time};

/// Time for which an idle connection is reused.
const IDLE_REUSE: Time = 4 * SECOND;
const CONNECT: Time = 300 * MS;

pub(super) struct Endpoint {
    pub id: CompactString,
    pub service: usize,
    pub worker: usize,
    pub address: SocketAddr,
    pub slots: u32,
    pub speed: f64,
    /// Slowdown factor, and until when it applies.
    pub slow: (f64, Time),
    pub called: Time,
    pub ready: Option<Time>,
    pub listening: bool,
    /// When the platform started to drain it.
    pub draining: Option<Time>,
    pub crashed: Option<Time>,
    pub ended: Option<Time>,
    pub runs: BTreeSet<u64>,
}

/// An answer that the endpoint will send once more, in the place of the next answer on its connection.
#[derive(Clone, Copy)]
pub(super) struct LateCopy {
    attempt: u64,
    outcome: Outcome,
}

/// An exchange between a proxy and an endpoint.
pub(super) struct Exchange {
    connection: ConnectionId,
    /// The machine and the endpoint, if there is one at the address.
    peer: (usize, usize),
    /// The copy that the endpoint sends before it answers.
    surplus: Option<LateCopy>,
    machine: usize,
    incarnation: u64,
    id: u64,
    address: SocketAddr,
    expect: Option<CompactString>,
    request: Request,
    deadline: Time,
    fresh: bool,
    run: Option<u64>,
}

/// A request that an endpoint is running.
pub(super) struct Run {
    endpoint: usize,
    exchange: u64,
    attempt: u64,
    pub deadline: Time,
    work: Time,
    /// Whether it waits for a nested call.
    pub calls: bool,
    failed: bool,
}

fn ended(outcome: Outcome, sent: bool) -> Exchanged {
    Exchanged { outcome, sent, refused: false, answer: None }
}

impl Exchange {
    pub(super) fn is_of(&self, attempt: u64) -> bool {
        self.request.attempt == attempt
    }

    pub(super) fn run(&self) -> Option<u64> {
        self.run
    }
}

impl World {
    fn one_way_delay(&mut self, machine: usize, worker: usize) -> Time {
        let same = self.machines[machine].zone == self.platform.hosts[worker].zone;
        let base = if same { self.site.near } else { self.site.far };
        base + self.rng.between(0, base / 4)
    }

    #[expect(clippy::too_many_arguments, reason = "each is a part of one request")]
    pub(super) fn exchange(
        &mut self,
        machine: usize,
        id: u64,
        address: SocketAddr,
        expect: Option<CompactString>,
        request: Request,
        deadline: Time,
        used: &UsedConnections,
    ) {
        self.next += 1;
        let number = self.next;
        let at = self.listening.get(&address).copied();
        let worker = at.map_or(0, |at| self.endpoints[at].worker);
        let one_way_delay = self.one_way_delay(machine, worker);
        let key = (machine, at.unwrap_or(usize::MAX));
        let fresh = self.last_used.get(&key).is_none_or(|last| last + IDLE_REUSE < self.now);
        if fresh {
            self.traffic.handshakes += 1;
        }
        self.last_used.insert(key, self.now);
        let reused = self.connections.take(&key, self.now, used, |_| true);
        let (connection, surplus) = match reused {
            Some(reused) => (reused.id, reused.connection),
            None => (self.connections.next_id(), None),
        };
        let there = self.now + if fresh { 3 * one_way_delay } else { one_way_delay };
        let incarnation = self.machines[machine].incarnation;
        self.out.insert((machine, incarnation, id), number);
        self.machines[machine].exchanges.insert(number);
        let exchange = Exchange {
            connection,
            peer: key,
            surplus,
            machine,
            incarnation,
            id,
            address,
            expect,
            request,
            deadline,
            fresh,
            run: None,
        };
        self.exchanges.insert(number, exchange);
        self.at(there, Event::ReachEndpoint(number));
    }

    pub(super) fn reach_endpoint(&mut self, number: u64) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(&number) else { return };
        let (machine, fresh, deadline) = (exchange.machine, exchange.fresh, exchange.deadline);
        let (attempt, left) = (exchange.request.attempt, exchange.request.left);
        let at = self.listening.get(&exchange.address).copied();
        let worker = at.map_or(0, |at| self.endpoints[at].worker);
        let (path, expect) = (exchange.request.path.clone(), exchange.expect.clone());
        let one_way_delay = self.one_way_delay(machine, worker);
        let refuse = Exchanged { refused: true, ..ended(Outcome::Unreachable, false) };
        let Some(at) = at else { return self.at(now + one_way_delay, Event::ExchangeDone(number, refuse)) };
        let host = &self.platform.hosts[worker];
        if host.down > now && host.silent {
            // The host does not respond: a new connection times out, and on an idle one nothing arrives.
            if fresh {
                self.at(now + CONNECT, Event::ExchangeDone(number, ended(Outcome::Unreachable, false)));
            }
            return;
        }
        let endpoint = &self.endpoints[at];
        if !endpoint.listening || endpoint.ready.is_none() {
            return self.at(now + one_way_delay, Event::ExchangeDone(number, refuse));
        }
        if expect.is_some_and(|id| *id != endpoint.id) {
            return self
                .at(now + one_way_delay, Event::ExchangeDone(number, ended(Outcome::AddressReused, true)));
        }
        let over = endpoint.runs.len() >= endpoint.slots as usize;
        let refused = self.late_copies.2 > now && self.rng.chance(self.late_copies.0);
        let endpoint = &self.endpoints[at];
        let lag = self.site.lag_ms * MS;
        let drained = endpoint.draining.map(|from| from + lag);
        let service = self.site.service(endpoint.service);
        let repeat = self.auditor.request_arrived(
            &self.disturbances,
            now,
            attempt,
            &path,
            &service,
            !over && !refused,
            over,
            drained,
        );
        let surplus = self.exchanges.get_mut(&number).and_then(|exchange| exchange.surplus.take());
        if let Some(copy) = surplus {
            self.trace_line(|| format!("a late copy of an answer precedes that to request {attempt}"));
            let done = match copy.outcome {
                outcome if copy.attempt == attempt => ended(outcome, true),
                _ => ended(Outcome::NoAnswer, true),
            };
            self.at(now + one_way_delay, Event::ExchangeDone(number, done));
        }
        if over || refused {
            let instance = self.endpoints[at].id.clone();
            let (runs, unobserved) = self.runs_at(at);
            self.trace_line(|| {
                format!(
                    "request {attempt} is turned away at {service} {instance}, which runs {runs}, {unobserved} of \
                     them given up, on machine {machine}'s word"
                )
            });
            return self.at(now + one_way_delay, Event::ExchangeDone(number, ended(Outcome::Full, true)));
        }
        let endpoint = &self.endpoints[at];
        let class = self.auditor.attempts.get(attempt as usize).map_or(2, |t| t.class);
        let class = &self.site.classes[class.min(self.site.classes.len() - 1)];
        let slow = if endpoint.slow.1 > now { endpoint.slow.0 } else { 1.0 };
        let factor = endpoint.speed * slow / self.platform.hosts[worker].speed.at(now);
        let work = (self.rng.log_normal_ms(class.work_ms, 0.5) as f64 * factor) as Time;
        let calls = self.rng.chance(class.nested_call_probability);
        self.next += 1;
        let run = self.next;
        let until = (now + left).min(deadline + one_way_delay);
        self.endpoints[at].runs.insert(run);
        if let Some(exchange) = self.exchanges.get_mut(&number) {
            exchange.run = Some(run);
        }
        let of = Run { endpoint: at, exchange: number, attempt, deadline: until, work, calls, failed: false };
        self.runs.insert(run, of);
        let instance = self.endpoints[at].id.clone();
        self.trace_line(|| {
            format!(
                "run {run} of request {attempt} {path} at {service} {instance} on machine {machine}'s word"
            )
        });
        if calls {
            let zone = self.platform.hosts[worker].zone;
            let service = self.endpoints[at].service;
            self.nested_call(zone, service, run, until, repeat);
        } else {
            self.at((now + work).min(until), Event::RunDone(run));
        }
    }

    /// Returns the number of runs at an endpoint, and how many of them no proxy waits for any more.
    fn runs_at(&self, endpoint: usize) -> (usize, usize) {
        let runs = &self.endpoints[endpoint].runs;
        let exchange = |run: &u64| self.runs.get(run).map(|run| run.exchange);
        let observed = runs.iter().filter_map(exchange).filter(|number| self.exchanges.contains_key(number));
        (runs.len(), runs.len() - observed.count())
    }

    /// The nested call of a run has ended.
    pub(super) fn nested_call_done(&mut self, run: u64, good: bool) {
        let now = self.now;
        let Some(of) = self.runs.get_mut(&run) else { return };
        (of.calls, of.failed) = (false, !good);
        let at = (now + if good { of.work } else { 0 }).min(of.deadline.max(now));
        self.at(at, Event::RunDone(run));
    }

    pub(super) fn run_done(&mut self, run: u64) {
        let now = self.now;
        if run > u64::MAX / 2 {
            // The drain time of an endpoint is over.
            let at = (u64::MAX - run) as usize;
            return self.crash(at, false);
        }
        let Some(of) = self.runs.remove(&run) else { return };
        let endpoint = &mut self.endpoints[of.endpoint];
        endpoint.runs.remove(&run);
        let (worker, stopped) = (endpoint.worker, !endpoint.listening && endpoint.runs.is_empty());
        if stopped {
            self.end_endpoint(of.endpoint);
        }
        let Some(exchange) = self.exchanges.get(&of.exchange) else { return };
        let one_way_delay = self.one_way_delay(exchange.machine, worker);
        let seal = of.attempt.wrapping_mul(31) ^ run;
        let late = now >= of.deadline;
        let done = if of.failed || late {
            let status = if late { 504 } else { 500 };
            Exchanged { answer: Some((status, seal)), ..ended(Outcome::Failed, true) }
        } else if self.lost_share.1 > now && self.rng.chance(self.lost_share.0) {
            ended(Outcome::NoAnswer, true)
        } else if self.garbled_share.1 > now && self.rng.chance(self.garbled_share.0) {
            Exchanged { answer: Some((200, seal ^ 1)), ..ended(Outcome::NoAnswer, true) }
        } else {
            self.auditor.run_completed(of.attempt, seal);
            Exchanged { answer: Some((200, seal)), ..ended(Outcome::Answered, true) }
        };
        self.at(now + one_way_delay, Event::ExchangeDone(of.exchange, done));
    }

    pub(super) fn exchange_done(&mut self, number: u64, done: Exchanged) {
        let Some(exchange) = self.exchanges.get(&number) else { return };
        let (machine, incarnation, id) = (exchange.machine, exchange.incarnation, exchange.id);
        let (connection, peer, attempt) = (exchange.connection, exchange.peer, exchange.request.attempt);
        let m = &mut self.machines[machine];
        if m.incarnation == incarnation && m.frozen_until > self.now {
            return m.held_events.push(Event::ExchangeDone(number, done));
        }
        self.exchanges.remove(&number);
        m.exchanges.remove(&number);
        self.out.remove(&(machine, incarnation, id));
        if m.incarnation == incarnation && m.powered {
            // Any other outcome ends the connection.
            if matches!(done.outcome, Outcome::Answered | Outcome::Failed | Outcome::Full) {
                let copied = self.late_copies.2 > self.now && self.rng.chance(self.late_copies.1);
                let copy = copied.then_some(LateCopy { attempt, outcome: done.outcome });
                self.connections.keep(&peer, copy, connection, self.now, IDLE_REUSE, usize::MAX);
            }
            self.deliver(machine, Role::Proxy, ProcessInput::Exchanged { id, connection, done });
        }
    }

    /// The proxy closes the connection; most endpoints then abort the run.
    pub(super) fn abort(&mut self, machine: usize, id: u64) {
        let incarnation = self.machines[machine].incarnation;
        if let Some(number) = self.out.remove(&(machine, incarnation, id)) {
            self.machines[machine].exchanges.remove(&number);
            self.drop_exchange(number);
        }
    }

    pub(super) fn drop_exchange(&mut self, number: u64) {
        let Some(exchange) = self.exchanges.remove(&number) else { return };
        let drops = self.rng.chance(0.8);
        if let Some(run) = exchange.run {
            self.trace_line(|| format!("run {run} is given up; the endpoint stops it: {drops}"));
        }
        if let Some(run) = exchange.run.filter(|_| drops) {
            let soon = self.now + self.site.near;
            // The run ends as if completed, without a recipient for the response.
            if self.runs.get(&run).is_some_and(|r| !r.calls) {
                self.at(soon, Event::RunDone(run));
            }
        }
    }

    /// An endpoint crashes. With `silent` connections to it do not break but go silent.
    pub(super) fn crash(&mut self, at: usize, silent: bool) {
        let now = self.now;
        let runs = std::mem::take(&mut self.endpoints[at].runs);
        for run in runs {
            let Some(of) = self.runs.remove(&run) else { continue };
            if !silent {
                let done = ended(Outcome::NoAnswer, true);
                self.at(now + self.site.near, Event::ExchangeDone(of.exchange, done));
            }
        }
        self.end_endpoint(at);
    }

    pub(super) fn probe_readiness(&mut self, machine: usize, id: CompactString, address: SocketAddr) {
        let at = self.listening.get(&address).copied();
        let worker = at.map_or(0, |at| self.endpoints[at].worker);
        let one_way_delay = self.one_way_delay(machine, worker);
        self.traffic.handshakes += 1;
        let host = &self.platform.hosts[worker];
        let up = at.is_some_and(|at| self.endpoints[at].listening && self.endpoints[at].id == id);
        let silent = host.down > self.now && host.silent;
        let back = self.now + if silent { CONNECT } else { 2 * one_way_delay };
        if up && let Some(at) = at {
            self.last_used.insert((machine, at), self.now);
        }
        let incarnation = self.machines[machine].incarnation;
        self.at(back, Event::Probed { machine, incarnation, id, up: up && !silent });
    }

    pub(super) fn readiness_probed(&mut self, machine: usize, incarnation: u64, id: CompactString, up: bool) {
        let m = &mut self.machines[machine];
        if m.incarnation != incarnation {
            return;
        }
        if m.frozen_until > self.now {
            return m.held_events.push(Event::Probed { machine, incarnation, id, up });
        }
        self.deliver(machine, Role::Proxy, ProcessInput::ReadinessProbed { id, up });
    }
}
