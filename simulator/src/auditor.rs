//! Checks the users' rules against what clients, endpoints, platform and operator observe.
//!
//! Invariant: it never queries a process of the system. All tolerance comes from [`crate::disturbances`].

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use compact_str::CompactString;
use millpost_config::{Config, RouteTable};

use crate::disturbances::Disturbances;
use crate::site::{Bounds, HOST};
use crate::{MS, SECOND, Time};

/// A rule violation.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Name of the rule in the users' documentation.
    pub rule: &'static str,
    /// Time of the violation.
    pub at: Time,
    /// What was observed.
    pub why: String,
}

/// One attempt of a client request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request path.
    pub path: CompactString,
    /// Index of the request class.
    pub class: usize,
    /// Time at which it was sent.
    pub sent: Time,
    /// The edge machine it was sent to.
    pub machine: usize,
    /// Incarnation of the proxy on that machine.
    pub incarnation: u64,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// Whether the run that made this nested call was itself a repeat.
    pub repeat: bool,
    /// Number of runs.
    pub runs: u32,
    /// Status and time of a response that promises it never runs.
    pub promised: Option<(u16, Time)>,
    /// Number of arrivals at endpoints.
    pub arrivals: u32,
    /// Seals of its successful runs.
    pub seals: Vec<u64>,
}

struct Version {
    revision: u64,
    digest: u64,
    table: Rc<RouteTable>,
    sent: Time,
    acked: Option<Time>,
    /// The controller has confirmed it, even if the operator did not receive the response.
    confirmed: bool,
    valid: bool,
}

/// What the handling of a request reveals about the configuration in use.
#[derive(Clone, Copy)]
enum Observation<'a> {
    Ran(&'a str),
    NoRoute,
}

/// Collects observations and reports rule violations.
pub struct Auditor {
    bounds: Bounds,
    edges: usize,
    /// Checks LIMIT also while the core is disturbed, which is stricter than the rule.
    pub strict: bool,
    /// All attempts, indexed by id.
    pub attempts: Vec<Attempt>,
    versions: Vec<Version>,
    /// The newest revision that a proxy incarnation was seen to act on, and when.
    effects: HashMap<(usize, u64), (u64, Time)>,
    refusals: BTreeMap<CompactString, Vec<Time>>,
    retry_arrivals: BTreeMap<CompactString, Vec<Time>>,
    requests: BTreeMap<CompactString, Vec<Time>>,
    /// Times at which valid requests were rejected by a status of the system's own.
    denied: Vec<Time>,
    /// Violations found so far.
    pub breaches: Vec<Breach>,
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

impl Auditor {
    /// An auditor with these bounds for `edges` edge machines.
    pub fn new(bounds: Bounds, edges: usize) -> Self {
        Auditor {
            bounds,
            edges,
            strict: false,
            attempts: Vec::new(),
            versions: Vec::new(),
            effects: HashMap::new(),
            refusals: BTreeMap::new(),
            retry_arrivals: BTreeMap::new(),
            requests: BTreeMap::new(),
            denied: Vec::new(),
            breaches: Vec::new(),
        }
    }

    fn report(&mut self, rule: &'static str, at: Time, why: String) {
        self.breaches.push(Breach { rule, at, why });
    }

    /// An operator submits a configuration for the first time.
    pub fn config_submitted(&mut self, at: Time, config: &Config, valid: bool) {
        let (revision, digest, table) = (config.revision, config.digest(), Rc::new(RouteTable::new(config)));
        self.versions.push(Version {
            revision,
            digest,
            table,
            sent: at,
            acked: None,
            confirmed: false,
            valid,
        });
    }

    /// The controller confirms a configuration, whether or not the operator receives the response. Unless a
    /// newer revision may be active, no other content may have been confirmed under the same revision.
    pub fn config_confirmed(&mut self, at: Time, revision: u64, digest: u64) {
        let newer = self.versions.iter().any(|v| v.valid && v.revision > revision && v.sent <= at);
        let other = |v: &Version| v.valid && v.confirmed && v.revision == revision && v.digest != digest;
        if !newer && self.versions.iter().any(other) {
            self.report("CONFIG", at, format!("two contents are confirmed as revision {revision}"));
        }
        let same = |v: &&mut Version| v.revision == revision && v.digest == digest;
        self.versions.iter_mut().filter(same).for_each(|v| v.confirmed = true);
    }

    /// The controller permanently refuses a configuration.
    pub fn config_refused(&mut self, at: Time, revision: u64, digest: u64) {
        let confirmed = |v: &Version| v.confirmed && v.revision == revision && v.digest == digest;
        if self.versions.iter().any(confirmed) {
            self.report("CONFIG", at, format!("revision {revision} is refused after it was confirmed"));
        }
    }

    /// An operator receives the acknowledgement of a configuration.
    pub fn config_acknowledged(&mut self, at: Time, revision: u64, digest: u64) {
        let Some(version) = self.versions.iter_mut().find(|v| v.revision == revision && v.digest == digest)
        else {
            return;
        };
        version.acked.get_or_insert(at);
        if !version.valid {
            let why = format!("an invalid configuration was acknowledged as revision {revision}");
            self.report("CONFIG", at, why);
        }
    }

    /// The newest revision acknowledged no later than `before`; 0 if none.
    pub fn newest_acknowledged(&self, before: Time) -> u64 {
        let acked = |v: &&Version| v.acked.is_some_and(|at| at <= before);
        self.versions.iter().filter(acked).map(|v| v.revision).max().unwrap_or(0)
    }

    /// The configuration that the operator read back at the end; `None` if there was no response. `closed`: a
    /// final fault was injected.
    pub fn read_back(&mut self, at: Time, content: Option<&Config>, closed: bool) {
        let newest = self.newest_acknowledged(at);
        let rule = if closed { "LOST" } else { "CONFIG" };
        match content {
            None if newest > 0 => self.report(
                rule,
                at,
                format!("the read-back got no response; revision {newest} was acknowledged"),
            ),
            Some(config) if config.revision < newest => {
                let why = format!("revision {} is read back, {newest} was acknowledged", config.revision);
                self.report(rule, at, why);
            }
            Some(config) => {
                let digest = config.digest();
                let sent = |v: &Version| v.valid && v.revision == config.revision && v.digest == digest;
                if !self.versions.iter().any(sent) {
                    let why = format!(
                        "revision {} is read back with content that was never submitted",
                        config.revision
                    );
                    self.report("CONFIG", at, why);
                }
            }
            None => {}
        }
    }

    /// A client sends an attempt. Returns its id. It counts as a request for each service that an allowed
    /// configuration routes it to.
    pub fn attempt_sent(&mut self, one: Attempt) -> u64 {
        let newest = self.newest_acknowledged(one.sent);
        let current = self.versions.iter().filter(|v| v.valid && v.revision >= newest);
        let routes = current.filter_map(|v| v.table.find(HOST, &one.path));
        let mut services: Vec<_> =
            routes.flat_map(|r| r.shares.iter().map(|(name, _)| name.clone())).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.requests.entry(service).or_default().push(one.sent);
        }
        self.attempts.push(one);
        self.attempts.len() as u64 - 1
    }

    /// A request reaches an endpoint of a service, which runs it or turns it away; `over`: because all slots
    /// are taken. `drained`: when the platform listed the endpoint as draining. Returns whether the arrival
    /// is a repeat.
    #[expect(clippy::too_many_arguments, reason = "what an endpoint sees")]
    pub fn request_arrived(
        &mut self,
        disturbances: &Disturbances,
        at: Time,
        id: u64,
        path: &str,
        service: &str,
        runs: bool,
        over: bool,
        drained: Option<Time>,
    ) -> bool {
        let Some(one) = self.attempts.get_mut(id as usize).filter(|one| one.path == path) else {
            self.report(
                "UNASKED",
                at,
                format!("{service} gets request {id} for {path}, which no client sent"),
            );
            return false;
        };
        one.arrivals += 1;
        let further = one.arrivals > 1 || one.repeat;
        let (machine, sent) = (one.machine, one.sent);
        if further {
            self.retry_arrivals.entry(service.into()).or_default().push(at);
        }
        if over
            && disturbances.outside_undisturbed(at, self.edges)
            && (self.strict || disturbances.in_contact(machine, at))
        {
            self.refusals.entry(service.into()).or_default().push(at);
        }
        let late = drained.is_some_and(|shown| at > shown + self.bounds.drain);
        if late && disturbances.in_contact(machine, at) && disturbances.in_contact(machine, sent) {
            let why = format!(
                "request {id} reaches an endpoint of {service} {} ms after it was listed as draining",
                (at - drained.unwrap_or(at)) / MS
            );
            self.report("DRAIN", at, why);
        }
        if !runs {
            return further;
        }
        let one = &mut self.attempts[id as usize];
        one.runs += 1;
        let (once, count, promised) = (one.at_most_once, one.runs, one.promised);
        if once && count > 1 {
            self.report("TWICE", at, format!("request {id} for {path} runs {count} times"));
        }
        if let Some((status, when)) = promised.filter(|_| once) {
            let why = format!("request {id} runs {} ms after its response {status}", (at - when) / MS);
            self.report("REFUSED", at, why);
        }
        self.check_config(disturbances, at, id, Observation::Ran(service));
        further
    }

    /// A run completed with this seal.
    pub fn run_completed(&mut self, id: u64, seal: u64) {
        if let Some(one) = self.attempts.get_mut(id as usize) {
            one.seals.push(seal);
        }
    }

    /// A client receives a response.
    pub fn client_answered(
        &mut self,
        disturbances: &Disturbances,
        at: Time,
        id: u64,
        status: u16,
        seal: Option<u64>,
    ) {
        let Some(one) = self.attempts.get_mut(id as usize) else { return };
        if is_success(status) && !seal.is_some_and(|seal| one.seals.contains(&seal)) {
            self.report("MIXED", at, format!("request {id} gets a success that no endpoint returned"));
            return;
        }
        if matches!(status, 429 | 503 | 408 | 421) {
            one.promised = Some((status, at));
            let (once, ran) = (one.at_most_once, one.runs);
            if once && ran > 0 {
                self.report("REFUSED", at, format!("request {id} gets {status} although it has run"));
            }
        }
        if (300..500).contains(&status) && !matches!(status, 408 | 421 | 429 | 409) && seal.is_none() {
            self.record_denial(disturbances, at, id);
        }
        if status == 404 {
            self.check_config(disturbances, at, id, Observation::NoRoute);
        }
    }

    /// DENIED: a request that every allowed configuration routes is rejected.
    fn record_denial(&mut self, disturbances: &Disturbances, at: Time, id: u64) {
        let one = &self.attempts[id as usize];
        let floor = self.newest_acknowledged(one.sent.saturating_sub(self.bounds.apply));
        let mut may =
            self.versions.iter().filter(|v| v.valid && v.sent <= at && v.revision >= floor).peekable();
        let allowed = may.peek().is_some() && may.all(|v| v.table.find(HOST, &one.path).is_some());
        if allowed
            && disturbances.in_contact(one.machine, one.sent)
            && disturbances.in_contact(one.machine, at)
        {
            self.denied.push(at);
        }
    }

    /// LOST: the connection of a request that was read closes without a response when its proxy shuts down.
    pub fn connection_lost(&mut self, disturbances: &Disturbances, at: Time, id: u64) {
        let one = &self.attempts[id as usize];
        if at > one.sent + self.bounds.loss && disturbances.only_planned_work(one.machine, one.sent, at) {
            let (machine, sent) = (one.machine, one.sent / MS);
            let why =
                format!("machine {machine} shuts down without answering request {id}, sent at {sent} ms");
            self.report("LOST", at, why);
        }
    }

    /// CONFIG and ROUTE: checks the configuration that the handling of a request reveals.
    fn check_config(&mut self, disturbances: &Disturbances, at: Time, id: u64, observed: Observation<'_>) {
        let one = &self.attempts[id as usize];
        let (path, sent, key) = (one.path.clone(), one.sent, (one.machine, one.incarnation));
        let allows = |v: &Version| {
            let route = v.table.find(HOST, &path);
            match observed {
                Observation::Ran(service) => {
                    route.is_some_and(|r| r.shares.iter().any(|(name, _)| name == service))
                }
                Observation::NoRoute => route.is_none(),
            }
        };
        let known = || self.versions.iter().filter(|v| v.sent <= at);
        let what = match observed {
            Observation::Ran(service) => format!("{service} runs {path}"),
            Observation::NoRoute => format!("404 for {path}"),
        };
        let touch = disturbances.in_contact(key.0, sent);
        let valid = |v: &&Version| v.valid && allows(v);
        let (least, most) = known()
            .filter(valid)
            .fold((u64::MAX, 0), |(least, most), v| (least.min(v.revision), most.max(v.revision)));
        if most == 0 {
            if matches!(observed, Observation::Ran(_)) {
                let rule = if known().any(|v| !v.valid && allows(v)) { "CONFIG" } else { "ROUTE" };
                self.report(rule, at, format!("{what}, which no configuration allows"));
            }
            return;
        }
        let floor = self.newest_acknowledged(sent.saturating_sub(self.bounds.apply));
        if most < floor && touch {
            let why = format!(
                "{what} (request {id}, sent at {} ms), which only {most} and older allow; {floor} was acknowledged before",
                sent / MS
            );
            self.report("CONFIG", at, why);
        }
        let seen = self.effects.get(&key).copied();
        if let Some((revision, when)) = seen
            && most < revision
            && sent > when + self.bounds.revert
        {
            let why = format!(
                "machine {} reverts: {what}, which only revision {most} allows, after it acted on {revision}",
                key.0
            );
            self.report("CONFIG", at, why);
        }
        if seen.is_none_or(|(revision, _)| least > revision) {
            self.effects.insert(key, (least, at));
        }
    }

    /// Checks the rules that need whole time windows. `final_fault`: when the final fault struck and when the
    /// machines were back. RECOVER applies if at least a quarter of the requests was served before.
    pub fn finish(
        &mut self,
        end: Time,
        served: impl Fn(Time, Time) -> Option<f64>,
        final_fault: Option<(Time, Time)>,
    ) {
        let mut found = Vec::new();
        let (denied, most) = (self.denied.len(), 5 + self.attempts.len() / 500);
        if denied > most {
            let why = format!("{denied} of {} valid requests are rejected", self.attempts.len());
            found.push(("DENIED", self.denied[most], why));
        }
        for (service, times) in &self.refusals {
            let most = self.bounds.rejects;
            if let Some(at) = times.windows(most + 1).find(|w| w[most] - w[0] <= 5 * SECOND) {
                let why = format!("endpoints of {service} turn away {} requests within 5 s", most + 1);
                found.push(("LIMIT", at[most], why));
            }
        }
        let window = self.bounds.window;
        let count = |times: &[Time], from: Time, to: Time| {
            times.partition_point(|t| *t <= to) - times.partition_point(|t| *t < from)
        };
        for (service, times) in &self.retry_arrivals {
            if times.len() as f64 <= self.bounds.slack {
                continue;
            }
            let none = Vec::new();
            let requests = self.requests.get(service).unwrap_or(&none);
            for (at, from) in times.iter().enumerate() {
                let to = from + window;
                let within = times[at..].partition_point(|t| *t <= to);
                let shifts = [0, window / 2, window];
                let asked = shifts.map(|by| count(requests, from.saturating_sub(by), to.saturating_sub(by)));
                let asked = asked.into_iter().max().unwrap_or(0);
                if within as f64 > asked as f64 * self.bounds.ratio + self.bounds.slack {
                    let why = format!(
                        "{service}: {within} repeated arrivals for {asked} requests within {} s",
                        window / SECOND
                    );
                    found.push(("BUDGET", to, why));
                    break;
                }
            }
        }
        if let Some((down, back)) = final_fault {
            let before = served(down.saturating_sub(10 * SECOND), down);
            let after = served(back + self.bounds.recovery, end);
            if let (Some(before), Some(after)) = (before, after)
                && before >= 0.25
                && after < 0.25
            {
                found.push((
                    "RECOVER",
                    end,
                    format!("success ratio {before:.2} before the final fault, {after:.2} after recovery"),
                ));
            }
        }
        for (rule, at, why) in found {
            self.report(rule, at, why);
        }
        self.breaches.sort_by_key(|b| b.at);
    }
}
