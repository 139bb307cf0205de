//! Records a scaler's inputs as lines of JSON for replay: each call of [`Scaler`] that may change its state,
//! with its time. [`Recorded`] writes them, [`Entry::read`] parses them.
//!
//! Times are nanoseconds since the process started, whole numbers below 2^53. A leader's term may begin at
//! any of them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use millpost_protocol::frame::Fold;
use millpost_protocol::line::{self, Line, Recorder, Sink};
use millpost_protocol::{Fault, number, string, whole};
use tinyjson::JsonValue;

use crate::{
    Effect, Endpoint as Listed, Instance, Nanos, Scaler, ScalerConfig, ServiceSpec, StartFault, State,
    StopFault, Worker,
};

/// The value of the key `of` in the first line of a scaler's recording.
pub const SCALER: &str = "scaler";

/// A scaler whose inputs are written to a sink, if there is one. Without a sink it costs nothing.
#[derive(Debug)]
pub struct Recorded {
    scaler: Scaler,
    recorder: Option<Recorder>,
}

impl std::ops::Deref for Recorded {
    type Target = Scaler;
    // Read access only: each method that changes the scaler is wrapped below.
    fn deref(&self) -> &Scaler {
        &self.scaler
    }
}

impl Recorded {
    /// As [`Scaler::new`].
    pub fn new(config: ScalerConfig, now: Nanos, sink: Option<Sink>) -> Self {
        let mut recorder = sink.map(Recorder::new);
        if let Some(recorder) = &mut recorder {
            let mut line = recorder.begin("new", now);
            write_config(&mut line, &config);
            recorder.put(line);
        }
        Recorded { scaler: Scaler::new(config, now), recorder }
    }

    fn record(&mut self, name: &str, now: Nanos, fill: impl FnOnce(&mut Line)) {
        if let Some(recorder) = &mut self.recorder {
            let mut line = recorder.begin(name, now);
            fill(&mut line);
            recorder.put(line);
        }
    }

    /// As [`Scaler::take`]. Not an input: the effects only go into the recording's digest.
    pub fn take(&mut self) -> Vec<Effect> {
        let effects = self.scaler.take();
        if let Some(recorder) = &mut self.recorder {
            effects.iter().for_each(|effect| recorder.digest().fold(|parts| effect.fold(parts)));
        }
        effects
    }

    /// As [`Scaler::configure`].
    pub fn configure(&mut self, now: Nanos, specs: impl IntoIterator<Item = ServiceSpec>) {
        if self.recorder.is_none() {
            return self.scaler.configure(now, specs);
        }
        let specs: Vec<ServiceSpec> = specs.into_iter().collect();
        self.record("configure", now, |line| write_specs(line, &specs));
        self.scaler.configure(now, specs);
    }

    /// As [`Scaler::inherit`].
    pub fn inherit(&mut self, now: Nanos, instances: impl IntoIterator<Item = Instance>) {
        if self.recorder.is_none() {
            return self.scaler.inherit(now, instances);
        }
        let instances: Vec<Instance> = instances.into_iter().collect();
        self.record("inherit", now, |line| write_instances(line, &instances));
        self.scaler.inherit(now, instances);
    }

    /// As [`Scaler::endpoints_listed`].
    pub fn endpoints_listed(&mut self, now: Nanos, asked_at: Nanos, entries: Vec<Listed>) {
        self.record("listed", now, |line| write_listed(line, asked_at, &entries));
        self.scaler.endpoints_listed(now, asked_at, entries);
    }

    /// As [`Scaler::workers_listed`].
    pub fn workers_listed(&mut self, now: Nanos, asked_at: Nanos, workers: Vec<Worker>) {
        self.record("workers", now, |line| write_workers(line, asked_at, &workers));
        self.scaler.workers_listed(now, asked_at, workers);
    }

    /// As [`Scaler::start_answered`].
    pub fn start_answered(
        &mut self,
        now: Nanos,
        nonce: &str,
        answer: Result<(CompactString, SocketAddr), StartFault>,
    ) {
        self.record("started", now, |line| write_started(line, nonce, &answer));
        self.scaler.start_answered(now, nonce, answer);
    }

    /// As [`Scaler::stop_answered`].
    pub fn stop_answered(&mut self, now: Nanos, id: &str, answer: Result<(), StopFault>) {
        self.record("stopped", now, |line| write_stopped(line, id, answer));
        self.scaler.stop_answered(now, id, answer);
    }

    /// As [`Scaler::set_target`].
    pub fn set_target(
        &mut self,
        now: Nanos,
        service: &str,
        owner_zone: Option<&CompactString>,
        count: u32,
        zones: &[CompactString],
    ) {
        self.record("want", now, |line| write_want(line, service, owner_zone, count, zones));
        self.scaler.set_target(now, service, owner_zone, count, zones);
    }

    /// As [`Scaler::set_slow_workers`]. An empty list is recorded only if it clears an earlier one.
    pub fn set_slow_workers(
        &mut self,
        now: Nanos,
        service: &str,
        owner_zone: Option<&CompactString>,
        slow: &[CompactString],
    ) {
        if !slow.is_empty() || self.scaler.has_slow_workers(service) {
            self.record("avoid", now, |line| write_avoid(line, service, owner_zone, slow));
            self.scaler.set_slow_workers(now, service, owner_zone, slow);
        }
    }

    /// As [`Scaler::set_split`].
    pub fn set_split(&mut self, now: Nanos, services: &BTreeSet<CompactString>) {
        self.record("split", now, |line| {
            line.names("all", &services.iter().cloned().collect::<Vec<_>>());
        });
        self.scaler.set_split(now, services);
    }

    /// As [`Scaler::retire`].
    pub fn retire(&mut self, now: Nanos, id: &str) {
        self.record("retire", now, |line| {
            line.text("i", id);
        });
        self.scaler.retire(now, id);
    }

    /// As [`Scaler::mark_unreachable`].
    pub fn mark_unreachable(&mut self, now: Nanos, id: &str) {
        self.record("lost", now, |line| {
            line.text("i", id);
        });
        self.scaler.mark_unreachable(now, id);
    }

    /// As [`Scaler::mark_up`].
    pub fn mark_up(&mut self, now: Nanos, id: &str) {
        self.record("up", now, |line| {
            line.text("i", id);
        });
        self.scaler.mark_up(now, id);
    }

    /// Records that the term has ended. The scaler itself does not change.
    pub fn end_term(&mut self, now: Nanos) {
        self.record("over", now, |_| {});
    }

    /// As [`Scaler::tick`].
    pub fn tick(&mut self, now: Nanos) -> Nanos {
        self.record("tick", now, |_| {});
        self.scaler.tick(now)
    }
}

impl Effect {
    /// Adds all of the effect to a digest.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            Effect::Start { service, worker, nonce } => {
                into.text("start").text(service).text(worker).text(nonce);
            }
            Effect::Stop { id } => {
                into.text("stop").text(id);
            }
            Effect::Updated { instance } => {
                let address = instance.address.to_compact_string();
                into.text("known").text(&instance.id).text(&instance.service).text(&address);
                into.text(&instance.zone).text(&instance.worker).text(state_name(instance.state));
                into.whole(instance.boot_ms.into()).whole(instance.since);
            }
            Effect::Removed { id, service, zone } => {
                into.text("gone").text(id).text(service).text(zone);
            }
        }
    }
}

/// One input of a scaler.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A leader's term begins.
    New(ScalerConfig),
    /// [`Scaler::configure`].
    Configure(Vec<ServiceSpec>),
    /// [`Scaler::inherit`].
    Inherit(Vec<Instance>),
    /// [`Scaler::endpoints_listed`].
    Listed {
        /// When the list was requested.
        asked: Nanos,
        /// The whole list.
        entries: Vec<Listed>,
    },
    /// [`Scaler::workers_listed`].
    Workers {
        /// When the workers were requested.
        asked: Nanos,
        /// All workers.
        workers: Vec<Worker>,
    },
    /// [`Scaler::start_answered`].
    Started {
        /// The start's nonce.
        nonce: CompactString,
        /// The platform's answer.
        answer: Result<(CompactString, SocketAddr), StartFault>,
    },
    /// [`Scaler::stop_answered`].
    Stopped {
        /// The instance.
        id: CompactString,
        /// The platform's answer.
        answer: Result<(), StopFault>,
    },
    /// [`Scaler::set_split`].
    Split(BTreeSet<CompactString>),
    /// [`Scaler::set_target`].
    Want {
        /// The function.
        service: CompactString,
        /// The zone that the owner is responsible for, if each zone has an owner.
        zone: Option<CompactString>,
        /// The number of instances requested.
        count: u32,
        /// The preferred zones, in order of preference.
        zones: Vec<CompactString>,
    },
    /// [`Scaler::set_slow_workers`].
    Avoid {
        /// The function.
        service: CompactString,
        /// The zone that the owner is responsible for, if each zone has an owner.
        zone: Option<CompactString>,
        /// The workers that are slow for it.
        slow: Vec<CompactString>,
    },
    /// [`Scaler::retire`].
    Retire(CompactString),
    /// [`Scaler::mark_unreachable`].
    Lost(CompactString),
    /// [`Scaler::mark_up`].
    Up(CompactString),
    /// [`Scaler::tick`].
    Tick,
    /// The term has ended. The scaler is not called.
    Over,
}

/// A line of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its number within the term; lines written by hand may have none.
    pub number: Option<u64>,
    /// When the input came, in nanoseconds since the process started.
    pub at: Nanos,
    /// The input.
    pub input: Input,
}

fn write_config(line: &mut Line, config: &ScalerConfig) {
    line.text("of", SCALER).whole("fence", config.fence).number("duty_per_s", config.duty_per_s);
    for (key, value) in times(config) {
        line.time(key, value);
    }
}

fn times(config: &ScalerConfig) -> [(&'static str, u64); 9] {
    [
        ("max_lag_ms", config.max_lag_ms),
        ("want_ms", config.target_ttl_ms),
        ("leave_ms", config.unowned_grace_ms),
        ("let_go_ms", config.drain_ms),
        ("pause_ms", config.retry_ms),
        ("pause_max_ms", config.retry_max_ms),
        ("answer_ms", config.answer_timeout_ms),
        ("boots", config.boots),
        ("settle_boots", config.settle_boots),
    ]
}

fn write_specs(line: &mut Line, specs: &[ServiceSpec]) {
    line.list("specs", specs, |out, spec| {
        line::part(out, |line| {
            line.text("s", &spec.name).whole("mb", spec.memory_mb.into());
            line.whole("boot", spec.boot_ms.into()).whole("c", spec.concurrency.into());
        });
    });
}

fn write_instances(line: &mut Line, instances: &[Instance]) {
    line.list("set", instances, |out, item| {
        line::part(out, |line| {
            line.text("i", &item.id).text("s", &item.service).text("a", &item.address.to_compact_string());
            line.text("z", &item.zone).text("w", &item.worker).text("st", state_name(item.state));
            line.whole("boot", item.boot_ms.into()).time("since", item.since);
        });
    });
}

fn write_listed(line: &mut Line, asked: Nanos, entries: &[Listed]) {
    line.time("asked", asked).list("set", entries, |out, item| {
        line::part(out, |line| {
            line.text("i", &item.id).text("s", &item.service).text("a", &item.address.to_compact_string());
            line.text("z", &item.zone);
            if let Some(worker) = &item.worker {
                line.text("w", worker);
            }
            line.mark("d", item.draining);
        });
    });
}

fn write_workers(line: &mut Line, asked: Nanos, workers: &[Worker]) {
    line.time("asked", asked).list("set", workers, |out, item| {
        line::part(out, |line| {
            line.text("w", &item.name).text("z", &item.zone).whole("mb", item.memory_mb);
            line.whole("free", item.free_memory_mb).mark("d", item.draining);
        });
    });
}

fn write_want(
    line: &mut Line,
    service: &str,
    owner_zone: Option<&CompactString>,
    count: u32,
    zones: &[CompactString],
) {
    line.text("s", service).whole("c", count.into()).names("z", zones);
    if let Some(zone) = owner_zone {
        line.text("lot", zone);
    }
}

fn write_avoid(line: &mut Line, service: &str, owner_zone: Option<&CompactString>, slow: &[CompactString]) {
    line.text("s", service).names("slow", slow);
    if let Some(zone) = owner_zone {
        line.text("lot", zone);
    }
}

fn write_started(line: &mut Line, nonce: &str, answer: &Result<(CompactString, SocketAddr), StartFault>) {
    line.text("nonce", nonce);
    match answer {
        Ok((id, address)) => line.text("i", id).text("a", &address.to_compact_string()),
        Err(fault) => line.text("no", start_fault_name(*fault)),
    };
}

fn write_stopped(line: &mut Line, id: &str, answer: Result<(), StopFault>) {
    line.text("i", id);
    if let Err(fault) = answer {
        line.text("no", stop_fault_name(fault));
    }
}

const STATES: [(State, &str); 3] =
    [(State::Booting, "booting"), (State::Ready, "ready"), (State::Draining, "draining")];
const STARTS: [(StartFault, &str); 4] = [
    (StartFault::NoRoom, "room"),
    (StartFault::Busy, "busy"),
    (StartFault::Refused, "refused"),
    (StartFault::Unclear, "unclear"),
];
const STOPS: [(StopFault, &str); 4] = [
    (StopFault::Unknown, "unknown"),
    (StopFault::Busy, "busy"),
    (StopFault::Refused, "refused"),
    (StopFault::Unclear, "unclear"),
];

fn name_of<T: PartialEq>(all: &[(T, &'static str)], value: &T) -> &'static str {
    all.iter().find(|(known, _)| known == value).map_or("", |(_, name)| name)
}

fn by_name<T: Copy>(all: &[(T, &'static str)], from: &Object, key: &str) -> Result<T, Fault> {
    let name = string(from, key)?;
    let found = all.iter().find(|(_, known)| *known == name);
    found.map(|(value, _)| *value).ok_or(Fault { key: key.to_owned(), reason: "unknown value" })
}

/// The name of an instance's state in a recording.
pub fn state_name(state: State) -> &'static str {
    name_of(&STATES, &state)
}

/// The name of a failure to start in a recording.
pub fn start_fault_name(fault: StartFault) -> &'static str {
    name_of(&STARTS, &fault)
}

/// The name of a failure to stop in a recording.
pub fn stop_fault_name(fault: StopFault) -> &'static str {
    name_of(&STOPS, &fault)
}

type Object = HashMap<String, JsonValue>;

/// The longest span: eleven days.
const MAX_MS: u64 = 1_000_000_000;
/// The largest span that is counted in average starts.
const MAX_BOOTS: u64 = 1_000;

fn small(from: &Object, key: &str) -> Result<u32, Fault> {
    u32::try_from(whole(from, key)?).map_err(|_| Fault { key: key.to_owned(), reason: "too large" })
}

/// Parses a whole number of at most `most`, so that times computed from it do not overflow.
fn bounded(from: &Object, key: &str, most: u64) -> Result<u64, Fault> {
    let n = whole(from, key)?;
    if n <= most { Ok(n) } else { Err(Fault { key: key.to_owned(), reason: "too large" }) }
}

fn millis(from: &Object, key: &str) -> Result<u64, Fault> {
    bounded(from, key, MAX_MS)
}

fn boot(from: &Object) -> Result<u32, Fault> {
    millis(from, "boot").map(|ms| ms as u32)
}

fn address(from: &Object) -> Result<SocketAddr, Fault> {
    string(from, "a")?
        .parse()
        .map_err(|_| Fault { key: "a".to_owned(), reason: "not an address with a port" })
}

fn read_config(from: &Object) -> Result<ScalerConfig, Fault> {
    if string(from, "of")? != SCALER {
        return Err(Fault { key: "of".to_owned(), reason: "not a recording of a scaler" });
    }
    Ok(ScalerConfig {
        fence: whole(from, "fence")?,
        duty_per_s: number(from, "duty_per_s")?,
        max_lag_ms: millis(from, "max_lag_ms")?,
        target_ttl_ms: millis(from, "want_ms")?,
        unowned_grace_ms: millis(from, "leave_ms")?,
        drain_ms: millis(from, "let_go_ms")?,
        retry_ms: millis(from, "pause_ms")?,
        retry_max_ms: millis(from, "pause_max_ms")?,
        answer_timeout_ms: millis(from, "answer_ms")?,
        boots: bounded(from, "boots", MAX_BOOTS)?,
        settle_boots: bounded(from, "settle_boots", MAX_BOOTS)?,
    })
}

fn read_spec(from: &Object) -> Result<ServiceSpec, Fault> {
    Ok(ServiceSpec {
        name: string(from, "s")?,
        memory_mb: small(from, "mb")?,
        boot_ms: boot(from)?,
        concurrency: small(from, "c")?,
    })
}

fn read_instance(from: &Object) -> Result<Instance, Fault> {
    Ok(Instance {
        id: string(from, "i")?,
        service: string(from, "s")?,
        address: address(from)?,
        zone: string(from, "z")?,
        worker: string(from, "w")?,
        state: by_name(&STATES, from, "st")?,
        boot_ms: boot(from)?,
        since: whole(from, "since")?,
    })
}

fn read_listed(from: &Object) -> Result<Listed, Fault> {
    Ok(Listed {
        id: string(from, "i")?,
        service: string(from, "s")?,
        address: address(from)?,
        zone: string(from, "z")?,
        worker: from.contains_key("w").then(|| string(from, "w")).transpose()?,
        draining: line::flag(from, "d")?,
    })
}

fn read_worker(from: &Object) -> Result<Worker, Fault> {
    Ok(Worker {
        name: string(from, "w")?,
        zone: string(from, "z")?,
        memory_mb: whole(from, "mb")?,
        free_memory_mb: whole(from, "free")?,
        draining: line::flag(from, "d")?,
    })
}

fn read_started(from: &Object) -> Result<Input, Fault> {
    let answer = if from.contains_key("no") {
        Err(by_name(&STARTS, from, "no")?)
    } else {
        Ok((string(from, "i")?, address(from)?))
    };
    Ok(Input::Started { nonce: string(from, "nonce")?, answer })
}

fn read_stopped(from: &Object) -> Result<Input, Fault> {
    let answer = if from.contains_key("no") { Err(by_name(&STOPS, from, "no")?) } else { Ok(()) };
    Ok(Input::Stopped { id: string(from, "i")?, answer })
}

impl Entry {
    /// Formats the entry as a line, without the newline.
    pub fn write(&self) -> String {
        let mut line = line::begin(self.input.name(), self.number, self.at);
        match &self.input {
            Input::New(config) => write_config(&mut line, config),
            Input::Configure(specs) => write_specs(&mut line, specs),
            Input::Inherit(instances) => write_instances(&mut line, instances),
            Input::Listed { asked, entries } => write_listed(&mut line, *asked, entries),
            Input::Workers { asked, workers } => write_workers(&mut line, *asked, workers),
            Input::Started { nonce, answer } => write_started(&mut line, nonce, answer),
            Input::Stopped { id, answer } => write_stopped(&mut line, id, *answer),
            Input::Want { service, zone, count, zones } => {
                write_want(&mut line, service, zone.as_ref(), *count, zones);
            }
            Input::Avoid { service, zone, slow } => write_avoid(&mut line, service, zone.as_ref(), slow),
            Input::Split(all) => {
                line.names("all", &all.iter().cloned().collect::<Vec<_>>());
            }
            Input::Retire(id) | Input::Lost(id) | Input::Up(id) => {
                line.text("i", id);
            }
            Input::Tick | Input::Over => {}
        }
        line.end()
    }

    /// Parses a line.
    pub fn read(text: &str) -> Result<Entry, Fault> {
        Entry::from_json(&line::read(text)?)
    }

    /// Converts a line that was parsed as a JSON object.
    pub fn from_json(from: &HashMap<String, JsonValue>) -> Result<Entry, Fault> {
        let input = match string(from, "in")?.as_str() {
            "new" => Input::New(read_config(from)?),
            "configure" => Input::Configure(line::objects(from, "specs", read_spec)?),
            "inherit" => Input::Inherit(line::objects(from, "set", read_instance)?),
            "listed" => Input::Listed {
                asked: whole(from, "asked")?,
                entries: line::objects(from, "set", read_listed)?,
            },
            "workers" => Input::Workers {
                asked: whole(from, "asked")?,
                workers: line::objects(from, "set", read_worker)?,
            },
            "started" => read_started(from)?,
            "stopped" => read_stopped(from)?,
            "want" => Input::Want {
                service: string(from, "s")?,
                zone: if from.contains_key("lot") { Some(string(from, "lot")?) } else { None },
                count: small(from, "c")?,
                zones: line::names(from, "z")?,
            },
            "avoid" => Input::Avoid {
                service: string(from, "s")?,
                zone: if from.contains_key("lot") { Some(string(from, "lot")?) } else { None },
                slow: line::names(from, "slow")?,
            },
            "split" => Input::Split(line::names(from, "all")?.into_iter().collect()),
            "retire" => Input::Retire(string(from, "i")?),
            "lost" => Input::Lost(string(from, "i")?),
            "up" => Input::Up(string(from, "i")?),
            "tick" => Input::Tick,
            "over" => Input::Over,
            _ => return Err(Fault { key: "in".to_owned(), reason: "not an input of a scaler" }),
        };
        let number = from.contains_key("n").then(|| whole(from, "n")).transpose()?;
        Ok(Entry { number, at: whole(from, "at")?, input })
    }
}

impl Input {
    /// Its name in a recording.
    pub fn name(&self) -> &'static str {
        match self {
            Input::New(_) => "new",
            Input::Configure(_) => "configure",
            Input::Inherit(_) => "inherit",
            Input::Listed { .. } => "listed",
            Input::Workers { .. } => "workers",
            Input::Started { .. } => "started",
            Input::Stopped { .. } => "stopped",
            Input::Want { .. } => "want",
            Input::Avoid { .. } => "avoid",
            Input::Split(_) => "split",
            Input::Retire(_) => "retire",
            Input::Lost(_) => "lost",
            Input::Up(_) => "up",
            Input::Tick => "tick",
            Input::Over => "over",
        }
    }

    /// Calls the method of the scaler that this input represents.
    pub fn apply(self, now: Nanos, scaler: &mut Scaler) {
        match self {
            Input::New(config) => *scaler = Scaler::new(config, now),
            Input::Configure(specs) => scaler.configure(now, specs),
            Input::Inherit(instances) => scaler.inherit(now, instances),
            Input::Listed { asked, entries } => scaler.endpoints_listed(now, asked, entries),
            Input::Workers { asked, workers } => scaler.workers_listed(now, asked, workers),
            Input::Started { nonce, answer } => scaler.start_answered(now, &nonce, answer),
            Input::Stopped { id, answer } => scaler.stop_answered(now, &id, answer),
            Input::Want { service, zone, count, zones } => {
                scaler.set_target(now, &service, zone.as_ref(), count, &zones);
            }
            Input::Avoid { service, zone, slow } => {
                scaler.set_slow_workers(now, &service, zone.as_ref(), &slow)
            }
            Input::Split(all) => scaler.set_split(now, &all),
            Input::Retire(id) => scaler.retire(now, &id),
            Input::Lost(id) => scaler.mark_unreachable(now, &id),
            Input::Up(id) => scaler.mark_up(now, &id),
            Input::Tick => {
                scaler.tick(now);
            }
            Input::Over => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::rc::Rc;

    use super::*;
    use crate::MS;

    fn all() -> Vec<Input> {
        let at = SocketAddr::from(([10, 0, 0, 9], 80));
        let instance = Instance {
            id: "i-1".into(),
            service: "f".into(),
            address: at,
            zone: "a".into(),
            worker: "w".into(),
            state: State::Draining,
            boot_ms: 300,
            since: 7,
        };
        let entry = |worker: Option<&str>| Listed {
            id: "i-1".into(),
            service: "f".into(),
            address: at,
            zone: "a".into(),
            worker: worker.map(Into::into),
            draining: worker.is_none(),
        };
        let worker = |draining| Worker {
            name: "w".into(),
            zone: "a".into(),
            memory_mb: 8_000,
            free_memory_mb: 900,
            draining,
        };
        let spec = ServiceSpec { name: "f".into(), memory_mb: 128, boot_ms: 300, concurrency: 2 };
        vec![
            Input::New(ScalerConfig::new(3, 1.0 / 3.0, 800)),
            Input::Configure(vec![spec]),
            Input::Inherit(vec![instance]),
            Input::Listed { asked: 5, entries: vec![entry(Some("w")), entry(None)] },
            Input::Workers { asked: 6, workers: vec![worker(false), worker(true)] },
            Input::Started { nonce: "3.1.f".into(), answer: Ok(("i-2".into(), at)) },
            Input::Started { nonce: "3.2.f".into(), answer: Err(StartFault::Unclear) },
            Input::Stopped { id: "i-1".into(), answer: Ok(()) },
            Input::Stopped { id: "i-1".into(), answer: Err(StopFault::Busy) },
            Input::Want { service: "f".into(), zone: None, count: 2, zones: vec!["a".into()] },
            Input::Split(["f".into()].into()),
            Input::Want { service: "f".into(), zone: Some("a".into()), count: 2, zones: vec!["a".into()] },
            Input::Avoid { service: "f".into(), zone: Some("a".into()), slow: vec!["w".into()] },
            Input::Retire("i-1".into()),
            Input::Lost("i-1".into()),
            Input::Up("i-1".into()),
            Input::Tick,
            Input::Over,
        ]
    }

    #[test]
    fn inputs_round_trip_and_a_missing_key_changes_or_invalidates_them() {
        for (number, input) in all().into_iter().enumerate() {
            let entry = Entry { number: Some(number as u64), at: number as u64 * MS, input };
            let text = entry.write();
            assert_eq!(Entry::read(&text), Ok(entry.clone()), "{text}");
            let object = line::read(&text).expect("an object");
            for key in object.keys() {
                let mut fewer = object.clone();
                fewer.remove(key);
                assert_ne!(Entry::from_json(&fewer), Ok(entry.clone()), "{key} of {text}");
                let mut odd = object.clone();
                odd.insert(key.clone(), JsonValue::Object(HashMap::new()));
                assert!(Entry::from_json(&odd).is_err(), "{key} of {text}");
            }
            for end in 0..text.len() {
                assert!(Entry::read(&text[..end]).is_err());
            }
        }
    }

    #[test]
    fn a_recording_holds_all_inputs_and_replays_to_the_same_state() {
        let lines = Rc::new(RefCell::new(Vec::new()));
        let written = Rc::clone(&lines);
        let sink: Sink = Box::new(move |line| written.borrow_mut().push(line.to_owned()));
        let inputs = all();
        let Input::New(config) = inputs[0].clone() else { panic!("the first input begins a term") };
        let mut recorded = Recorded::new(config, 0, Some(sink));
        for (n, input) in inputs.iter().cloned().enumerate().skip(1) {
            let now = n as u64 * MS;
            match input {
                Input::New(_) => {}
                Input::Configure(specs) => recorded.configure(now, specs),
                Input::Inherit(instances) => recorded.inherit(now, instances),
                Input::Listed { asked, entries } => recorded.endpoints_listed(now, asked, entries),
                Input::Workers { asked, workers } => recorded.workers_listed(now, asked, workers),
                Input::Started { nonce, answer } => recorded.start_answered(now, &nonce, answer),
                Input::Stopped { id, answer } => recorded.stop_answered(now, &id, answer),
                Input::Want { service, zone, count, zones } => {
                    recorded.set_target(now, &service, zone.as_ref(), count, &zones);
                }
                Input::Avoid { service, zone, slow } => {
                    recorded.set_slow_workers(now, &service, zone.as_ref(), &slow)
                }
                Input::Split(all) => recorded.set_split(now, &all),
                Input::Retire(id) => recorded.retire(now, &id),
                Input::Lost(id) => recorded.mark_unreachable(now, &id),
                Input::Up(id) => recorded.mark_up(now, &id),
                Input::Tick => {
                    recorded.tick(now);
                }
                Input::Over => recorded.end_term(now),
            }
        }
        let read: Vec<_> = lines.borrow().iter().map(|line| Entry::read(line).expect("a line")).collect();
        assert_eq!(read.iter().map(|e| e.input.clone()).collect::<Vec<_>>(), inputs);
        for (n, entry) in read.iter().enumerate() {
            assert_eq!((entry.number, entry.at), (Some(n as u64), n as u64 * MS));
        }
        // The replay has the same effects.
        let mut replayed = Scaler::new(ScalerConfig::new(1, 1.0, 1), 0);
        for entry in read {
            entry.input.apply(entry.at, &mut replayed);
        }
        assert_eq!(replayed.take(), recorded.take());
        assert_eq!(replayed.snapshot(), recorded.snapshot());
    }
}
