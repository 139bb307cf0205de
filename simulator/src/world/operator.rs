//! Operators: submit each configuration to one core machine after another until a definite response arrives,
//! and read the configuration back at the end.

use std::sync::Arc;

use compact_str::format_compact;
use millpost_config::Config;

use super::{Event, Party, World};
use crate::processes::Payload;
use crate::{MS, SECOND, Time};

/// Time-out after which an operator tries another machine.
const SILENCE: Time = SECOND;

/// One task of an operator, retried until done.
pub(super) struct Order {
    what: Task,
    tries: u64,
    done: bool,
    machine: usize,
    /// When it was acknowledged, and when the last proxy applied it.
    acked: Option<Time>,
    last: Option<Time>,
    closes: bool,
    valid: bool,
}

enum Task {
    Put {
        config: Box<Config>,
        text: Arc<str>,
        digest: u64,
        probes: Vec<compact_str::CompactString>,
    },
    Read,
    /// A drain order.
    Drain(Arc<str>),
}

impl Order {
    pub(super) fn propagation(&self) -> Option<(u64, Option<Time>)> {
        match &self.what {
            Task::Put { config, .. } if self.valid => {
                Some((config.revision, Some(self.last?.saturating_sub(self.acked?))))
            }
            _ => None,
        }
    }
}

/// Conditions that an operator polls.
#[derive(Debug)]
pub(super) enum Poll {
    /// Whether every proxy has applied the revision of an order.
    InForce(usize),
    /// Sends requests that reveal the active configuration.
    Probe(usize),
}

impl World {
    fn put(
        &mut self,
        config: Config,
        valid: bool,
        probes: Vec<compact_str::CompactString>,
        closes: bool,
        at: Time,
        machine: usize,
    ) {
        let text: Arc<str> = config.to_json().into();
        let digest = config.digest();
        let what = Task::Put { config: Box::new(config), text, digest, probes };
        self.orders.push(Order {
            what,
            tries: 0,
            done: false,
            machine,
            acked: None,
            last: None,
            closes,
            valid,
        });
        self.at(at, Event::OperatorStep(self.orders.len() - 1));
    }

    fn core(&mut self) -> usize {
        self.cores[self.rng.below(self.cores.len())]
    }

    pub(super) fn first_order(&mut self) {
        let (config, machine) = (self.latest_config.clone(), self.core());
        self.put(config, true, Vec::new(), false, SECOND, machine);
    }

    /// A random change to the latest configuration, and paths that tell the two apart.
    pub(super) fn change(&mut self) -> (Config, Vec<compact_str::CompactString>) {
        let mut config = self.latest_config.clone();
        config.revision += 1 + self.rng.below(3) as u64;
        let number = config.revision;
        let mut probes = Vec::new();
        let pick = self.rng.below(self.site.rare);
        let other = self.rng.below(self.site.rare);
        let to = self.site.service(self.site.busy + other);
        let rare = self.site.busy * 3 + pick;
        match self.rng.below(4) {
            0 => {
                if let Some(route) = config.routes.get_mut(rare) {
                    route.shares = vec![(to, 1)];
                    probes.push(format_compact!("{}x", route.path_prefix));
                }
            }
            1 => {
                if let Some(route) = config.routes.get_mut(rare) {
                    route.deadline_ms += 100;
                }
            }
            2 if config.routes.len() > self.site.busy * 3 + self.site.rare => {
                if let Some(route) = config.routes.pop() {
                    probes.push(format_compact!("{}x", route.path_prefix));
                }
            }
            _ => {
                let mut route = self.site.route('s', 0, &self.site.classes[2], to);
                route.path_prefix = format_compact!("/new{number}-{pick}/");
                route.name = format_compact!("new{number}");
                probes.push(format_compact!("{}x", route.path_prefix));
                config.routes.push(route);
            }
        }
        (config, probes)
    }

    pub(super) fn config_change(&mut self, closes: bool) {
        let (config, probes) = self.change();
        self.latest_config = config.clone();
        let (machine, now) = (self.core(), self.now);
        self.put(config, true, probes, closes, now, machine);
    }

    /// `count` operators submit different contents under one revision.
    pub(super) fn config_race_of(&mut self, count: usize) {
        let changes: Vec<_> = (0..count).map(|_| self.change()).collect();
        let number = changes.iter().map(|(config, _)| config.revision).max().unwrap_or(0);
        for (place, (mut config, probes)) in changes.into_iter().enumerate() {
            config.revision = number;
            if place == 0 {
                self.latest_config = config.clone();
            }
            let machine = self.core();
            let at = self.now + self.rng.between(0, 30 * MS);
            self.put(config, true, if place == 0 { probes } else { Vec::new() }, false, at, machine);
        }
    }

    /// Submits the configuration acknowledged last again; with `other`, different content under its revision.
    pub(super) fn send_again(&mut self, other: bool) {
        let Some(mut config) = self.last_acked.clone() else { return };
        if other && let Some(route) = config.routes.first_mut() {
            route.deadline_ms += 7;
        }
        let (machine, now) = (self.core(), self.now);
        self.put(config, true, Vec::new(), false, now, machine);
    }

    pub(super) fn config_race(&mut self) {
        let (mut one, probes) = self.change();
        let (mut two, _) = self.change();
        let number = one.revision.max(two.revision);
        (one.revision, two.revision) = (number, number);
        let (first, second) = (self.core(), self.core());
        let now = self.now;
        self.latest_config = one.clone();
        self.put(one, true, probes, false, now, first);
        let later = now + self.rng.between(0, 4 * MS);
        self.put(two, true, Vec::new(), false, later, second);
    }

    /// Adds `count` routes to the configuration.
    pub(super) fn big_config(&mut self, count: usize) {
        let (mut config, _) = self.change();
        let number = config.revision;
        for at in 0..count {
            let to = self.site.service(self.site.busy + at % self.site.rare);
            let mut route = self.site.route('s', 0, &self.site.classes[2], to);
            route.path_prefix = format_compact!("/big{number}-{at}/");
            route.name = format_compact!("big{number}-{at}");
            config.routes.push(route);
        }
        self.latest_config = config.clone();
        let (machine, now) = (self.core(), self.now);
        let probes = vec![format_compact!("/big{number}-0/x")];
        self.put(config, true, probes, false, now, machine);
    }

    /// Moves all routes of one service to another and removes the first from the configuration.
    pub(super) fn drop_service(&mut self) {
        let (gone, to) = (self.site.service(0), self.site.service(1));
        let mut config = self.latest_config.clone();
        config.revision += 1;
        for (service, _) in config.routes.iter_mut().flat_map(|route| &mut route.shares) {
            if *service == gone {
                *service = to.clone();
            }
        }
        config.services.retain(|service| service.name != gone);
        self.latest_config = config.clone();
        let (machine, now) = (self.core(), self.now);
        self.put(config, true, Vec::new(), false, now, machine);
    }

    pub(super) fn bad_config(&mut self) {
        let (mut config, _) = self.change();
        if let Some(route) = config.routes.first_mut() {
            route.shares = vec![("nobody".into(), 1)];
        }
        let (machine, now) = (self.core(), self.now);
        self.put(config, false, Vec::new(), false, now, machine);
    }

    /// Starts reading the configuration back, retried until there is a response.
    pub fn start_read_back(&mut self) {
        self.task(Task::Read);
    }

    /// An operator orders a drain.
    pub(super) fn drain(&mut self, what: &str, name: &str, lasts: Time) {
        let ms = lasts / MS;
        let text = format!(r#"{{"order":"drain","what":"{what}","name":"{name}","for_ms":{ms}}}"#);
        self.task(Task::Drain(text.into()));
    }

    fn task(&mut self, what: Task) {
        let machine = self.core();
        self.orders.push(Order {
            what,
            tries: 0,
            done: false,
            machine,
            acked: None,
            last: None,
            closes: false,
            valid: true,
        });
        self.at(self.now, Event::OperatorStep(self.orders.len() - 1));
    }

    pub(super) fn order(&mut self, at: usize) {
        let order = &mut self.orders[at];
        if order.done {
            return;
        }
        order.tries += 1;
        let (number, machine) = (order.tries, order.machine);
        let payload = match &order.what {
            Task::Put { config, text, .. } => {
                let (config, payload) = (config.clone(), Payload::Replace(Arc::clone(text)));
                let valid = order.valid;
                if number == 1 {
                    self.auditor.config_submitted(self.now, &config, valid);
                }
                payload
            }
            Task::Read => Payload::Read,
            Task::Drain(text) => Payload::Drain(Arc::clone(text)),
        };
        let to = self.address(machine);
        let big = if let Payload::Replace(text) = &payload { text.len() as u64 / 1_000 * MS } else { 0 };
        self.call(Party::Operator(at), number, number, &to, payload, SILENCE + big);
    }

    pub(super) fn deliver_to_operator(&mut self, at: usize, payload: Option<Payload>) {
        let now = self.now;
        let payload = self.answer_arrives(at, payload);
        let Some(order) = self.orders.get_mut(at).filter(|o| !o.done) else { return };
        let (machine, tries) = (order.machine, order.tries);
        match (&order.what, payload) {
            (Task::Put { config, digest, probes, .. }, Some(Payload::Body(_))) => {
                (order.done, order.acked) = (true, Some(now));
                let (revision, digest, closes) = (config.revision, *digest, order.closes);
                let probed = !probes.is_empty();
                self.auditor.config_acknowledged(now, revision, digest);
                if order_is_newest(&self.last_acked, config_of(&self.orders[at])) {
                    self.last_acked = config_of(&self.orders[at]).cloned();
                }
                self.trace_line(|| format!("revision {revision} is acknowledged by machine {machine}"));
                self.acknowledged_by(machine);
                self.at(now + MS, Event::OperatorPoll(Poll::InForce(at)));
                if probed {
                    for after in [50, 1_000, 3_050, 3_500] {
                        self.at(now + after * MS, Event::OperatorPoll(Poll::Probe(at)));
                    }
                }
                if closes {
                    self.inject_final_fault(machine);
                }
                return;
            }
            (Task::Put { .. }, Some(Payload::Refused(400))) => {
                order.done = true;
                return;
            }
            (Task::Put { config, digest, .. }, Some(Payload::Refused(409))) => {
                order.done = true;
                let (revision, digest) = (config.revision, *digest);
                self.trace_line(|| format!("revision {revision} is refused by machine {machine}"));
                self.auditor.config_refused(now, revision, digest);
                return;
            }
            (Task::Drain(text), Some(answer @ (Payload::Body(_) | Payload::Refused(422)))) => {
                order.done = true;
                let (text, done) = (Arc::clone(text), matches!(answer, Payload::Body(_)));
                let word = if done { "obeyed" } else { "refused" };
                self.trace_line(|| format!("{text} is {word} by machine {machine}"));
                return;
            }
            (Task::Read, Some(Payload::Body(body))) => {
                order.done = true;
                let known = std::str::from_utf8(&body).ok().and_then(|text| self.parse_cache.read(text));
                let closed = self.closed.is_some();
                self.auditor.read_back(now, known.as_ref().map(|k| &k.config), closed);
                return;
            }
            _ => {}
        }
        // Continues with the next machine; one that was replaced meanwhile is skipped.
        let place = self.cores.iter().position(|at| *at == machine).map_or(0, |place| place + 1);
        order.machine = self.cores[place % self.cores.len()];
        let pause = 50 * MS * tries.min(10);
        self.at(now + pause, Event::OperatorStep(at));
    }

    /// The response of the controller as it reaches the operator; `None` if it is lost on the way.
    fn answer_arrives(&mut self, at: usize, payload: Option<Payload>) -> Option<Payload> {
        let now = self.now;
        let order = self.orders.get(at).filter(|o| !o.done)?;
        let (Task::Put { config, digest, .. }, Some(Payload::Body(_))) = (&order.what, &payload) else {
            return payload;
        };
        self.auditor.config_confirmed(now, config.revision, *digest);
        let (share, until) = self.lost_acks;
        if until <= now || !self.rng.chance(share) {
            return payload;
        }
        let (revision, machine) = (config.revision, order.machine);
        self.trace_line(|| format!("machine {machine} confirms revision {revision}, and nobody hears it"));
        self.acknowledged_by(machine);
        None
    }

    pub(super) fn poll(&mut self, what: Poll) {
        let now = self.now;
        match what {
            Poll::InForce(at) => {
                let Task::Put { config, .. } = &self.orders[at].what else { return };
                let revision = config.revision;
                if self.lowest_active_revision() >= revision {
                    self.orders[at].last = Some(now);
                } else if self.orders[at].acked.is_some_and(|acked| now < acked + 20 * SECOND) {
                    self.at(now + 5 * MS, Event::OperatorPoll(Poll::InForce(at)));
                }
            }
            Poll::Probe(at) => {
                let Task::Put { probes, .. } = &self.orders[at].what else { return };
                let probes = probes.clone();
                for machine in 0..self.site.edges.len().min(80) {
                    if !self.machines[machine].serving {
                        continue;
                    }
                    for path in &probes {
                        let zone = self.machines[machine].zone;
                        self.client_request(2, path.clone(), zone, now + 3 * SECOND, None, Some(machine));
                    }
                }
            }
        }
    }

    /// Whether the configuration has not been read back yet.
    pub fn read_back_pending(&self) -> bool {
        self.orders.iter().any(|o| matches!(o.what, Task::Read) && !o.done)
    }

    /// Reports to the auditor that the read-back got no response.
    pub fn finish_read_back(&mut self) {
        if self.read_back_pending() {
            let (now, closed) = (self.now, self.closed.is_some());
            self.auditor.read_back(now, None, closed);
        }
    }
}

fn config_of(order: &Order) -> Option<&Config> {
    match &order.what {
        Task::Put { config, .. } if order.valid => Some(config),
        _ => None,
    }
}

fn order_is_newest(last: &Option<Config>, config: Option<&Config>) -> bool {
    let revision = |config: &Config| config.revision;
    config.is_some() && config.map(revision) > last.as_ref().map(revision)
}
