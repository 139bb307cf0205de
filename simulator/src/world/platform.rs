//! The simulated platform: stale lists of endpoints and workers, starts and stops, rate limits.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use compact_str::{CompactString, format_compact};
use millpost_autoscaler::{Endpoint as ListedEndpoint, StartFault, StopFault, Worker};

use super::endpoint::Endpoint;
use super::{Event, World};
use crate::processes::Payload;
use crate::rng::Rng;
use crate::site::Site;
use crate::speeds::{Speed, Speeds};
use crate::{MS, SECOND, Time};

/// Time for which a crashed endpoint stays on the list.
const CRASHED_LISTED: Time = 3 * SECOND;
/// A draining endpoint serves for this time beyond the minimum.
const DRAIN_MARGIN: Time = 700 * MS;

pub(super) struct Host {
    pub zone: usize,
    pub memory: u64,
    pub used: u64,
    pub speed: Speed,
    pub draining: Option<Time>,
    /// Down until this time; `silent`: the host does not answer with resets either.
    pub down: Time,
    pub silent: bool,
    /// Past and current down times.
    pub was_down: Vec<(Time, Time)>,
}

pub(super) struct Platform {
    pub hosts: Vec<Host>,
    calls: VecDeque<Time>,
    duties: VecDeque<Time>,
    nonces: HashMap<CompactString, usize>,
    free: VecDeque<(Time, SocketAddr)>,
    addresses: u32,
    view: Time,
    rng: Rng,
}

impl Platform {
    pub fn new(site: &Site, speeds: Speeds, seed: u64) -> Self {
        let host = |((zone, memory), speed): (&(usize, u64), Speed)| Host {
            zone: *zone,
            memory: *memory,
            used: 0,
            speed,
            draining: None,
            down: 0,
            silent: false,
            was_down: Vec::new(),
        };
        Platform {
            hosts: site.workers.iter().zip(speeds.draw(site, seed)).map(host).collect(),
            calls: VecDeque::new(),
            duties: VecDeque::new(),
            nonces: HashMap::new(),
            free: VecDeque::new(),
            addresses: 0,
            view: 0,
            rng: Rng::new(seed),
        }
    }

    fn allow(times: &mut VecDeque<Time>, now: Time, per_s: f64) -> bool {
        while times.front().is_some_and(|t| t + SECOND <= now) {
            times.pop_front();
        }
        let may = (times.len() as f64) < per_s;
        if may {
            times.push_back(now);
        }
        may
    }

    fn address(&mut self, now: Time, reuse: Time) -> SocketAddr {
        // Reuses the address freed most recently, so that outdated lists lead to another endpoint.
        let free = self.free.partition_point(|(at, _)| *at + reuse <= now);
        if free > 0
            && let Some((_, address)) = self.free.remove(free - 1)
        {
            return address;
        }
        self.addresses += 1;
        SocketAddr::from((Ipv4Addr::from(0x0a40_0000 + self.addresses), 8080))
    }

    pub fn release(&mut self, now: Time, address: SocketAddr) {
        self.free.push_back((now, address));
    }
}

impl World {
    pub(super) fn platform_answers(&mut self, payload: Payload) -> Payload {
        let now = self.now;
        match payload {
            Payload::List { .. } | Payload::Workers => {
                if !Platform::allow(&mut self.platform.calls, now, self.site.rates.0) {
                    return Payload::Refused(429);
                }
                let lag = self.platform.rng.between(100 * MS, self.site.lag_ms * MS);
                self.platform.view = self.platform.view.max(now.saturating_sub(lag));
                let view = self.platform.view;
                match payload {
                    Payload::List { from } => self.list(view, from),
                    _ => self.list_workers(view),
                }
            }
            Payload::Start { service, worker, nonce } => {
                Payload::Started(self.start_endpoint(&service, &worker, &nonce))
            }
            Payload::Stop { id } => Payload::Stopped(self.stop_endpoint(&id)),
            _ => Payload::Refused(404),
        }
    }

    fn list(&self, view: Time, from: usize) -> Payload {
        let shown = |e: &&Endpoint| {
            let over = match (e.crashed, e.ended) {
                (Some(at), _) => at + CRASHED_LISTED <= view,
                (None, Some(at)) => at <= view,
                _ => false,
            };
            e.ready.is_some_and(|at| at <= view) && !over
        };
        let mut entries = Vec::new();
        let mut next = None;
        for (at, e) in self.endpoints.iter().enumerate().skip(from).filter(|(_, e)| shown(e)) {
            if entries.len() == self.site.page {
                next = Some(at);
                break;
            }
            entries.push(ListedEndpoint {
                id: e.id.clone(),
                service: self.site.service(e.service),
                address: e.address,
                zone: format_compact!("z{}", self.platform.hosts[e.worker].zone),
                worker: Some(format_compact!("w-{}", e.worker)),
                draining: e.draining.is_some_and(|at| at <= view),
            });
        }
        Payload::Listed { entries, next }
    }

    fn list_workers(&self, view: Time) -> Payload {
        let hosts = self.platform.hosts.iter().enumerate();
        let up = hosts.filter(|(_, h)| !h.was_down.iter().any(|(from, to)| *from <= view && view < *to));
        let workers = up.map(|(at, h)| Worker {
            name: format_compact!("w-{at}"),
            zone: format_compact!("z{}", h.zone),
            memory_mb: h.memory,
            free_memory_mb: h.memory - h.used,
            draining: h.draining.is_some_and(|at| at <= view),
        });
        Payload::WorkerList(workers.collect())
    }

    fn start_endpoint(
        &mut self,
        service: &str,
        worker: &str,
        nonce: &str,
    ) -> Result<(CompactString, SocketAddr), StartFault> {
        let now = self.now;
        if !Platform::allow(&mut self.platform.duties, now, self.site.rates.1) {
            return Err(StartFault::Busy);
        }
        let key = format_compact!("{service} {nonce}");
        if let Some(known) = self.platform.nonces.get(&key) {
            let endpoint = &self.endpoints[*known];
            return Ok((endpoint.id.clone(), endpoint.address));
        }
        let number = self.site.number(service).filter(|n| *n < self.site.busy + self.site.rare);
        let Some(number) = number else { return Err(StartFault::Refused) };
        let host = worker.strip_prefix("w-").and_then(|n| n.parse::<usize>().ok());
        let (memory, boot_ms, slots) = self.site.spec(number);
        let room = |h: &&mut super::platform::Host| {
            h.down <= now && h.draining.is_none() && h.used + memory <= h.memory
        };
        let Some(at) = host.filter(|at| *at < self.platform.hosts.len()) else {
            return Err(StartFault::NoRoom);
        };
        let Some(host) = Some(&mut self.platform.hosts[at]).filter(room) else {
            return Err(StartFault::NoRoom);
        };
        host.used += memory;
        let address = self.platform.address(now, self.site.bounds.reuse);
        let place = self.endpoints.len();
        let id = format_compact!("i-{place}");
        let boot = self.platform.rng.log_normal_ms(boot_ms as f64, 0.3);
        let speed = 0.8 + 0.4 * self.platform.rng.unit();
        self.endpoints.push(Endpoint {
            id: id.clone(),
            service: number,
            worker: at,
            address,
            slots,
            speed,
            slow: (1.0, 0),
            called: now,
            ready: None,
            listening: false,
            draining: None,
            crashed: None,
            ended: None,
            runs: Default::default(),
        });
        self.by_id.insert(id.clone(), place);
        self.listening.insert(address, place);
        self.platform.nonces.insert(key, place);
        self.at(now + boot, Event::EndpointReady(place));
        Ok((id, address))
    }

    fn stop_endpoint(&mut self, id: &str) -> Result<(), StopFault> {
        if !Platform::allow(&mut self.platform.duties, self.now, self.site.rates.1) {
            return Err(StopFault::Busy);
        }
        let Some(at) = self.by_id.get(id).copied() else { return Err(StopFault::Unknown) };
        let endpoint = &mut self.endpoints[at];
        endpoint.listening = false;
        if endpoint.runs.is_empty() {
            self.end_endpoint(at);
        }
        Ok(())
    }

    pub(super) fn endpoint_ready(&mut self, at: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[at];
        if endpoint.ended.is_some() || endpoint.ready.is_some() {
            return;
        }
        endpoint.ready = Some(now);
        endpoint.listening = true;
        if let Some(from) = self.platform.hosts[endpoint.worker].draining {
            self.drain_endpoint(at, from.max(now));
        }
    }

    /// Ends an endpoint: frees its memory at once, and its address after the reuse delay.
    pub(super) fn end_endpoint(&mut self, at: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoints[at];
        if endpoint.ended.is_some() {
            return;
        }
        (endpoint.ended, endpoint.listening) = (Some(now), false);
        let (worker, memory) = (endpoint.worker, self.site.spec(endpoint.service).0);
        let address = endpoint.address;
        let host = &mut self.platform.hosts[worker];
        host.used = host.used.saturating_sub(memory);
        self.platform.release(now, address);
    }

    /// Marks an endpoint as draining from then on, and schedules its end.
    pub(super) fn drain_endpoint(&mut self, at: usize, from: Time) {
        let endpoint = &mut self.endpoints[at];
        if endpoint.ended.is_some() || endpoint.draining.is_some() {
            return;
        }
        endpoint.draining = Some(from);
        let end = from + self.site.lag_ms * MS + self.site.bounds.drain + DRAIN_MARGIN;
        self.at(end, Event::RunDone(u64::MAX - at as u64));
    }
}
