//! The environment of the processes, and the event loop: one queue of events ordered by time.

mod client;
mod endpoint;
mod faults;
mod net;
mod operator;
mod planned;
mod platform;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use millpost_controller::placement::LossTolerance;
use millpost_net::idle_connections::IdleConnections;

use crate::auditor::Auditor;
use crate::disturbances::Disturbances;
use crate::plan::Plan;
use crate::processes::{
    AgentProcess, ControllerProcess, Exchanged, ParseCache, Payload, ProcessContext, ProcessInput,
    ProcessOutput, ProxyProcess,
};
use crate::record::Recordings;
use crate::rng::Rng;
use crate::site::{Classes, Site};
use crate::speeds::Speeds;
use crate::{MS, SECOND, Time};

pub use client::RequestStats;
pub use net::Traffic;

use client::ClientRequest;
use endpoint::{Endpoint, Exchange, LateCopy, Run};
use net::{Call, Link, Stream};
use operator::Order;
use platform::Platform;

/// Spare machines that can replace core machines.
const SPARES: usize = 8;
/// Wall-clock time at the start of the day, in milliseconds of Unix time.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The process types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// The proxy on an edge machine.
    Proxy,
    /// The agent on an edge machine.
    Agent,
    /// The controller on a core machine.
    Controller,
}

/// Caller or callee of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Party {
    Process(usize, Role),
    Platform,
    Operator(usize),
}

#[derive(Debug)]
enum Event {
    Wake {
        machine: usize,
        role: Role,
        incarnation: u64,
    },
    /// A call reaches its callee.
    Call(u64),
    /// A response reaches the caller; `None` if the connection broke.
    Answer(u64, Option<Payload>),
    /// A call timed out.
    Expire(u64),
    Line {
        stream: u64,
        line: Bytes,
    },
    /// One side of a feed notices that it has ended.
    Ended {
        stream: u64,
        at_controller: bool,
    },
    Arrive {
        zone: usize,
    },
    Attempt(usize),
    ReachProxy {
        attempt: u64,
    },
    ReadTimeout {
        client_request: usize,
        attempt: u64,
    },
    ReachClient {
        attempt: u64,
        status: u16,
        again: Option<Time>,
        seal: Option<u64>,
    },
    ClientDeadline(usize),
    ReachEndpoint(u64),
    Probed {
        machine: usize,
        incarnation: u64,
        id: CompactString,
        up: bool,
    },
    RunDone(u64),
    ExchangeDone(u64, Exchanged),
    EndpointReady(usize),
    HealthCheck,
    Fault(usize),
    Unfreeze(usize),
    Start(usize),
    OperatorStep(usize),
    OperatorPoll(operator::Poll),
    FinalFault,
    PowerOn,
    /// A machine is removed permanently.
    Retire(usize),
    /// The processes of a machine get SIGTERM and are restarted afterwards.
    Term(usize),
    /// The processes of a machine get SIGTERM before the machine is removed.
    TermForGood(usize),
    /// The grace period of this incarnation has ended.
    GraceExpired(usize, u64),
}

struct Queued {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A machine of the system.
struct Machine {
    name: CompactString,
    zone: usize,
    core: bool,
    powered: bool,
    frozen_until: Time,
    partition_until: Time,
    /// Partitioned from other core machines, and unable to send, until these times.
    core_partition_until: Time,
    outgoing_blocked_until: Time,
    /// Its half in a split core, and when the split ends.
    core_half: (usize, Time),
    /// End of a delay, and the additional latency of what is sent to it until then.
    delay: (Time, Time),
    /// Clock offset in milliseconds, and until when it applies.
    clock: (i64, Time),
    /// The machine is removed once its processes have shut down.
    retires: bool,
    proxy: Option<ProxyProcess>,
    agent: Option<AgentProcess>,
    controller: Option<ControllerProcess>,
    disk: crate::processes::Disk,
    incarnation: u64,
    starts: u64,
    /// Next queued wake-up time of each process.
    due: [Time; 3],
    link: Link,
    /// When the CPU has handled the received permit requests, if that is simulated.
    busy: Time,
    /// Open client attempts and exchanges.
    open_attempts: BTreeSet<u64>,
    exchanges: BTreeSet<u64>,
    failed_checks: u32,
    serving: bool,
    /// Events held back while the machine is frozen.
    held_events: Vec<Event>,
}

impl Machine {
    /// Wall-clock time of the machine, in milliseconds of Unix time.
    fn time_of_day(&self, now: Time) -> u64 {
        let (off, until) = self.clock;
        let off = if now < until { off } else { 0 };
        (START_UNIX_MS + now / MS).saturating_add_signed(off)
    }

    fn reachable(&self, now: Time) -> bool {
        self.powered && self.partition_until <= now
    }

    fn up(&self, role: Role) -> bool {
        match role {
            Role::Proxy => self.proxy.is_some(),
            Role::Agent => self.agent.is_some(),
            Role::Controller => self.controller.is_some(),
        }
    }
}

/// State of the simulation.
pub struct World {
    /// Topology and parameters.
    pub site: Site,
    plan: Plan,
    /// Current simulated time.
    pub now: Time,
    /// End of the day.
    pub end: Time,
    number: u64,
    /// Number of events handled.
    pub played: u64,
    /// Digest of all events; equal for equal plans.
    pub digest: u64,
    queue: BinaryHeap<Queued>,
    rng: Rng,
    machines: Vec<Machine>,
    names: HashMap<CompactString, Party>,
    /// Machines that form the core, spare machines, and the seeds in the settings files.
    cores: Vec<usize>,
    spares: Vec<usize>,
    seeds: Vec<CompactString>,
    parse_cache: Rc<ParseCache>,
    incarnations: u64,
    calls: HashMap<u64, Call>,
    streams: BTreeMap<u64, Stream>,
    next: u64,
    /// Network traffic.
    pub traffic: Traffic,
    platform: Platform,
    endpoints: Vec<Endpoint>,
    by_id: HashMap<CompactString, usize>,
    listening: HashMap<std::net::SocketAddr, usize>,
    exchanges: HashMap<u64, Exchange>,
    out: HashMap<(usize, u64, u64), u64>,
    runs: HashMap<u64, Run>,
    /// When each machine last used a connection to each endpoint. Decides whether a new one is needed.
    last_used: HashMap<(usize, usize), Time>,
    /// The connections of each machine to each endpoint between exchanges, with the copy of an answer that the
    /// endpoint will send late on it.
    connections: IdleConnections<(usize, usize), Option<LateCopy>>,
    client_requests: Vec<ClientRequest>,
    /// The client request of each attempt.
    attempts: Vec<usize>,
    /// Attempts that a proxy has read and not answered, and at-most-once attempts that were ever read.
    read: BTreeSet<u64>,
    ever_read: BTreeSet<u64>,
    pending_restarts: Vec<(Time, usize)>,
    served: RequestStats,
    orders: Vec<Order>,
    latest_config: millpost_config::Config,
    bursts: Vec<(usize, f64, Time)>,
    weights: [Vec<f64>; 2],
    lost_share: (f64, Time),
    garbled_share: (f64, Time),
    /// The shares of refused requests and of copied answers, and until when.
    late_copies: (f64, f64, Time),
    wipe_next: Option<Time>,
    /// The core machine that acknowledges next goes down, with or without power loss, for this long.
    kill_next: Option<(bool, Time)>,
    /// Share of the responses to operators that is lost, and until when.
    lost_acks: (f64, Time),
    /// The newest configuration whose acknowledgement reached an operator.
    last_acked: Option<millpost_config::Config>,
    wiped_at: Option<Time>,
    /// Core machines with successors that are to be removed.
    succeeded: Vec<usize>,
    closed: Option<(Time, Time)>,
    disturbances: Disturbances,
    /// The rule checks.
    pub auditor: Auditor,
    /// Trace lines, if a trace was requested.
    pub trace: Option<Vec<String>>,
    /// Recordings of the processes, if requested.
    pub records: Option<Recordings>,
}

impl World {
    /// The initial state of a day.
    pub fn new(plan: Plan, trace: bool) -> Self {
        let site = Site { charge_request_cpu: plan.charge_request_cpu, ..Site::new(plan.size) };
        let site = match plan.homework {
            Some(load) => site.homework(load),
            None => site,
        };
        let site = Site { unsafe_tries: plan.unsafe_tries, ..site };
        let site = if plan.zone_losses > 0 { site.with_core_pairs() } else { site };
        let site = site.part(plan.site_divisor).lasting(plan.length_factor);
        let mut rng = Rng::new(plan.seed);
        let edges = site.edges.len();
        let first_spare = edges + site.cores.len();
        let count = first_spare + SPARES;
        let machine = |at: usize, zone: usize, core: bool| Machine {
            name: if core {
                format_compact!("core-{zone}-{at}")
            } else {
                format_compact!("edge-{zone}-{at}")
            },
            zone,
            core,
            powered: true,
            frozen_until: 0,
            partition_until: 0,
            core_partition_until: 0,
            outgoing_blocked_until: 0,
            core_half: (0, 0),
            delay: (0, 0),
            clock: (0, 0),
            retires: false,
            proxy: None,
            agent: None,
            controller: None,
            disk: crate::processes::Disk::new(500_000),
            incarnation: 0,
            starts: 0,
            due: [Time::MAX; 3],
            link: Link::default(),
            busy: 0,
            open_attempts: BTreeSet::new(),
            exchanges: BTreeSet::new(),
            failed_checks: 2,
            serving: false,
            held_events: Vec::new(),
        };
        let edge = site.edges.iter().enumerate().map(|(at, zone)| machine(at, *zone, false));
        let core =
            site.cores.iter().chain([&0; SPARES]).enumerate().map(|(at, zone)| machine(at, *zone, true));
        let mut machines: Vec<_> = edge.collect();
        machines.extend(core);
        let platform = Platform::new(&site, plan.speeds, rng.seed());
        let end = match plan.final_fault {
            Some((at, _)) => at + site.bounds.recovery + 6 * SECOND,
            None => site.lead + site.length,
        };
        let latest_config = site.config();
        let skew = |n: usize| {
            let mut sum = 0.0;
            let each = (0..n).map(|at| {
                sum += 1.0 / ((at + 1) as f64).powf(0.9);
                sum
            });
            each.collect::<Vec<f64>>()
        };
        let weights = [skew(site.busy), skew(site.rare)];
        let mut world = World {
            auditor: Auditor::new(Default::default(), site.edges.len()),
            disturbances: Disturbances::new(count, site.bounds.contact),
            plan,
            now: 0,
            end,
            number: 0,
            played: 0,
            digest: 0,
            queue: BinaryHeap::new(),
            rng,
            machines,
            names: HashMap::new(),
            cores: (edges..edges + site.cores.len()).collect(),
            // Taken from the end. The order keeps the addresses of the first two.
            spares: (first_spare + 2..count).chain(first_spare..first_spare + 2).collect(),
            seeds: Vec::new(),
            parse_cache: Rc::default(),
            incarnations: 0,
            calls: HashMap::new(),
            streams: BTreeMap::new(),
            next: 0,
            traffic: Traffic::default(),
            platform,
            endpoints: Vec::new(),
            by_id: HashMap::new(),
            listening: HashMap::new(),
            exchanges: HashMap::new(),
            out: HashMap::new(),
            runs: HashMap::new(),
            last_used: HashMap::new(),
            connections: IdleConnections::default(),
            client_requests: Vec::new(),
            attempts: Vec::new(),
            read: BTreeSet::new(),
            ever_read: BTreeSet::new(),
            pending_restarts: Vec::new(),
            served: RequestStats::default(),
            orders: Vec::new(),
            latest_config,
            bursts: Vec::new(),
            weights,
            lost_share: (0.0, 0),
            garbled_share: (0.0, 0),
            late_copies: (0.0, 0.0, 0),
            wipe_next: None,
            kill_next: None,
            lost_acks: (0.0, 0),
            last_acked: None,
            wiped_at: None,
            succeeded: Vec::new(),
            closed: None,
            trace: trace.then(Vec::new),
            records: None,
            site,
        };
        world.auditor.strict = world.plan.strict;
        world.names.insert("platform".into(), Party::Platform);
        for at in 0..count {
            let (who, address) = if world.machines[at].core {
                (Role::Controller, world.address(at))
            } else {
                (Role::Proxy, world.address(at))
            };
            world.names.insert(address, Party::Process(at, who));
            world.names.insert(format_compact!("porter-{at}"), Party::Process(at, Role::Agent));
            world.names.insert(format_compact!("stall-{at}"), Party::Process(at, Role::Proxy));
            if !world.spares.contains(&at) {
                let start = world.rng.between(0, 20 * MS);
                world.at(start, Event::Start(at));
            }
        }
        world.seeds = world.cores.iter().take(3).map(|at| world.address(*at)).collect();
        world.at(500 * MS, Event::HealthCheck);
        for zone in 0..world.site.zones {
            let first = world.site.lead + world.rng.between(0, 20 * MS);
            world.at(first, Event::Arrive { zone });
        }
        for at in 0..world.plan.faults.len() {
            world.at(world.plan.faults[at].at, Event::Fault(at));
        }
        world.first_order();
        if let Some((at, _)) = world.plan.final_fault {
            world.at(at, Event::FinalFault);
        }
        world
    }

    fn address(&self, machine: usize) -> CompactString {
        if self.machines[machine].core {
            format_compact!("10.2.{}.{}:8428", machine / 250, machine % 250 + 1)
        } else {
            format_compact!("10.1.{}.{}:7760", machine / 250, machine % 250 + 1)
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.queue.push(Queued { at: at.max(self.now), number: self.number, event });
    }

    fn trace_line(&mut self, what: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>10.3} {}", self.now as f64 / MS as f64, what()));
        }
    }

    /// Handles events up to the time `until`, or up to the first rule violation.
    pub fn play(&mut self, until: Time, stop_at_first: bool) {
        while let Some(queued) = self.queue.peek()
            && queued.at <= until
        {
            let Some(Queued { at, event, .. }) = self.queue.pop() else { return };
            self.now = at;
            self.played += 1;
            self.event(event);
            if stop_at_first && !self.auditor.breaches.is_empty() {
                return;
            }
        }
        self.now = until;
    }

    fn event(&mut self, event: Event) {
        self.digest = (self.digest ^ self.now).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17);
        match event {
            Event::Wake { machine, role, incarnation } => {
                let Some(m) = self.machines.get_mut(machine).filter(|m| m.incarnation == incarnation) else {
                    return;
                };
                if m.due[role as usize] > self.now {
                    return;
                }
                m.due[role as usize] = Time::MAX;
                if m.frozen_until > self.now {
                    return m.held_events.push(Event::Wake { machine, role, incarnation });
                }
                self.deliver(machine, role, ProcessInput::Tick);
            }
            Event::Call(id) => self.called(id),
            Event::Answer(id, payload) => self.answer(id, payload),
            Event::Expire(id) => self.expire(id),
            Event::Line { stream, line } => self.line(stream, line),
            Event::Ended { stream, at_controller } => self.stream_ended(stream, at_controller),
            Event::Arrive { zone } => self.arrive(zone),
            Event::Attempt(client_request) => self.attempt(client_request),
            Event::ReachProxy { attempt } => self.reach_proxy(attempt),
            Event::ReadTimeout { client_request, attempt } => self.read_timeout(client_request, attempt),
            Event::ReachClient { attempt, status, again, seal } => {
                self.deliver_to_client(attempt, status, again, seal)
            }
            Event::ClientDeadline(client_request) => self.client_deadline(client_request),
            Event::ReachEndpoint(id) => self.reach_endpoint(id),
            Event::Probed { machine, incarnation, id, up } => {
                self.readiness_probed(machine, incarnation, id, up)
            }
            Event::RunDone(run) => self.run_done(run),
            Event::ExchangeDone(id, done) => self.exchange_done(id, done),
            Event::EndpointReady(endpoint) => self.endpoint_ready(endpoint),
            Event::HealthCheck => self.health_check(),
            Event::Fault(at) => self.fault(at),
            Event::Unfreeze(machine) => self.unfreeze(machine),
            Event::Start(machine) => self.start(machine),
            Event::OperatorStep(at) => self.order(at),
            Event::OperatorPoll(what) => self.poll(what),
            Event::FinalFault => self.final_fault(),
            Event::PowerOn => self.power_on(),
            Event::Retire(machine) => self.retire(machine),
            Event::Term(machine) => self.term(machine),
            Event::TermForGood(machine) => self.term_for_good(machine),
            Event::GraceExpired(machine, incarnation) => {
                if self.machines[machine].incarnation == incarnation {
                    self.processes_exited(machine);
                }
            }
        }
    }

    /// Starts the processes of a machine.
    fn start(&mut self, at: usize) {
        if self.machines[at].incarnation != 0 || !self.machines[at].powered {
            return;
        }
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let (core, seeds) = (self.machines[at].core, self.seeds.clone());
        let (site, machine) = (&self.site, &mut self.machines[at]);
        (machine.incarnation, machine.starts, machine.due) =
            (incarnation, machine.starts + 1, [Time::MAX; 3]);
        let restarted = machine.starts > 1;
        let place = ProcessContext {
            name: machine.name.clone(),
            zone: format_compact!("z{}", machine.zone),
            address: CompactString::default(),
            seeds,
            incarnation: machine.time_of_day(self.now),
            grace: site.bounds.grace,
            restarted,
            mutation: self.plan.mutation,
            parse_cache: Rc::clone(&self.parse_cache),
            records: self.records.clone(),
        };
        let place = ProcessContext { address: self.address(at), ..place };
        if core {
            let rates = crate::processes::Rates {
                rate_per_s: site.rates.0,
                duty_per_s: site.rates.1,
                max_lag_ms: site.lag_ms,
                tolerance: LossTolerance { machines: 1, zones: self.plan.zone_losses, regions: 0 },
            };
            let machine = &mut self.machines[at];
            let bootstrap = !restarted && at < site.edges.len() + site.cores.len();
            machine.controller =
                Some(ControllerProcess::new(self.now, place, rates, &mut machine.disk, bootstrap));
            self.deliver(at, Role::Controller, ProcessInput::Tick);
        } else {
            let (bounds, speeds) = (&site.bounds, self.plan.speeds != Speeds::Even);
            let terms = millpost_scheduler::SchedulerLimits {
                retry_ratio: bounds.ratio,
                retry_window: bounds.window,
                retry_slack: bounds.slack,
                requests_per_s: millpost_scheduler::max_requests_per_s(site.mbps.0, site.processors),
                rank_by_latency: speeds,
            };
            let machine = &mut self.machines[at];
            machine.agent = Some(AgentProcess::new(self.now, place.clone(), format_compact!("stall-{at}")));
            machine.proxy = Some(ProxyProcess::new(place, format_compact!("porter-{at}"), terms));
            self.deliver(at, Role::Agent, ProcessInput::Tick);
            self.deliver(at, Role::Proxy, ProcessInput::Tick);
        }
    }

    /// Passes an input to a process and carries out its outputs.
    fn deliver(&mut self, at: usize, role: Role, input: ProcessInput) {
        let now = self.now;
        let machine = &mut self.machines[at];
        let (outs, wake) = match role {
            Role::Proxy => {
                let Some(proxy) = &mut machine.proxy else { return };
                (proxy.input(now, input), proxy.wake())
            }
            Role::Agent => {
                let Some(agent) = &mut machine.agent else { return };
                (agent.input(now, input), agent.wake())
            }
            Role::Controller => {
                let Some(controller) = &mut machine.controller else { return };
                let outs = controller.input(now, input, &mut machine.disk);
                (outs, controller.wake(now, &machine.disk))
            }
        };
        let wake = wake.max(now + 10_000);
        if wake < machine.due[role as usize] {
            machine.due[role as usize] = wake;
            let incarnation = machine.incarnation;
            self.at(wake, Event::Wake { machine: at, role, incarnation });
        }
        for out in outs {
            self.out(at, role, out);
        }
        let machine = &self.machines[at];
        let over = machine.proxy.as_ref().is_some_and(|s| s.has_exited(now))
            || machine.controller.as_ref().is_some_and(|h| h.has_exited(now));
        if over {
            self.processes_exited(at);
        }
    }

    fn out(&mut self, at: usize, role: Role, out: ProcessOutput) {
        let who = Party::Process(at, role);
        match out {
            ProcessOutput::Call { id, to, payload, within } => {
                self.call(who, self.machines[at].incarnation, id, &to, payload, within)
            }
            ProcessOutput::Reply { call, payload } => self.reply(call, payload, self.now),
            ProcessOutput::ReplyAt { call, payload, at } => self.reply(call, payload, at),
            ProcessOutput::Follow { feed, to, payload } => self.follow(at, feed, &to, payload),
            ProcessOutput::Line { feed, line } => self.send_line(feed, line),
            ProcessOutput::Close { feed } => self.close(at, role, feed),
            ProcessOutput::Answer { client, status, again, seal } => {
                self.proxy_answers(at, client, status, again, seal)
            }
            ProcessOutput::Exchange { id, address, expect, request, deadline, used } => {
                self.exchange(at, id, address, expect, request, deadline, &used);
            }
            ProcessOutput::Abort { id } => self.abort(at, id),
            ProcessOutput::ProbeReadiness { id, address } => self.probe_readiness(at, id, address),
        }
    }

    /// Request classes of the site.
    pub fn classes(&self) -> &'static Classes {
        self.site.classes
    }

    /// Statistics of client requests.
    pub fn served(&self) -> &RequestStats {
        &self.served
    }

    /// Checks the rules that need the whole day.
    pub fn finish(&mut self) {
        let served = std::mem::take(&mut self.served);
        let share = |from, to| served.share(from, to);
        self.auditor.finish(self.end, share, self.closed);
        self.served = served;
    }

    /// Number of instance starts, and instance memory over time in GB seconds.
    pub fn starts(&self) -> (u64, f64) {
        let memory = self.endpoints.iter().map(|e| {
            let span = e.ended.unwrap_or(self.now).saturating_sub(e.called) as f64 / SECOND as f64;
            span * self.site.spec(e.service).0 as f64 / 1024.0
        });
        (self.endpoints.len() as u64, memory.sum())
    }

    /// For each revision, the time from its acknowledgement until the last proxy applied it.
    pub fn propagation(&self) -> Vec<(u64, Option<Time>)> {
        self.orders.iter().filter_map(Order::propagation).collect()
    }

    /// The lowest revision active on any running proxy.
    fn lowest_active_revision(&self) -> u64 {
        let proxies = self.machines.iter().filter(|m| m.powered).filter_map(|m| m.proxy.as_ref());
        proxies.map(ProxyProcess::active_revision).min().unwrap_or(0)
    }
}
