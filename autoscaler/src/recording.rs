//! A scaler's inputs as lines of JSON, to be played again: each call of [`Scaler`] that may change it, with its time. Written by
//! [`Recorded`], read by [`Entry::read`].
//!
//! Times are nanoseconds of the process's life, whole numbers below 2^53; a steward's term begins in the midst of it.

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

/// What the first line of a scaler says that it is of.
pub const SCALER: &str = "scaler";

/// A scaler whose inputs are told as lines, where somebody wants them. Without a sink it costs nothing.
#[derive(Debug)]
pub struct Recorded {
    scaler: Scaler,
    tape: Option<Recorder>,
}

impl std::ops::Deref for Recorded {
    type Target = Scaler;
    // What changes a scaler goes by the methods below.
    fn deref(&self) -> &Scaler {
        &self.scaler
    }
}

impl Recorded {
    /// As [`Scaler::new`].
    pub fn new(terms: ScalerConfig, now: Nanos, sink: Option<Sink>) -> Self {
        let mut tape = sink.map(Recorder::new);
        if let Some(tape) = &mut tape {
            let mut line = tape.begin("new", now);
            write_terms(&mut line, &terms);
            tape.put(line);
        }
        Recorded { scaler: Scaler::new(terms, now), tape }
    }

    fn tell(&mut self, name: &str, now: Nanos, fill: impl FnOnce(&mut Line)) {
        if let Some(tape) = &mut self.tape {
            let mut line = tape.begin(name, now);
            fill(&mut line);
            tape.put(line);
        }
    }

    /// As [`Scaler::take`], which is no input.
    pub fn take(&mut self) -> Vec<Effect> {
        let effects = self.scaler.take();
        if let Some(tape) = &mut self.tape {
            effects.iter().for_each(|effect| tape.digest().fold(|parts| effect.fold(parts)));
        }
        effects
    }

    /// As [`Scaler::configure`].
    pub fn configure(&mut self, now: Nanos, specs: impl IntoIterator<Item = ServiceSpec>) {
        if self.tape.is_none() {
            return self.scaler.configure(now, specs);
        }
        let specs: Vec<ServiceSpec> = specs.into_iter().collect();
        self.tell("configure", now, |line| write_specs(line, &specs));
        self.scaler.configure(now, specs);
    }

    /// As [`Scaler::inherit`].
    pub fn inherit(&mut self, now: Nanos, instances: impl IntoIterator<Item = Instance>) {
        if self.tape.is_none() {
            return self.scaler.inherit(now, instances);
        }
        let instances: Vec<Instance> = instances.into_iter().collect();
        self.tell("inherit", now, |line| write_instances(line, &instances));
        self.scaler.inherit(now, instances);
    }

    /// As [`Scaler::endpoints_listed`].
    pub fn endpoints_listed(&mut self, now: Nanos, asked_at: Nanos, entries: Vec<Listed>) {
        self.tell("listed", now, |line| write_listed(line, asked_at, &entries));
        self.scaler.endpoints_listed(now, asked_at, entries);
    }

    /// As [`Scaler::workers_listed`].
    pub fn workers_listed(&mut self, now: Nanos, asked_at: Nanos, workers: Vec<Worker>) {
        self.tell("workers", now, |line| write_workers(line, asked_at, &workers));
        self.scaler.workers_listed(now, asked_at, workers);
    }

    /// As [`Scaler::start_answered`].
    pub fn start_answered(
        &mut self,
        now: Nanos,
        nonce: &str,
        answer: Result<(CompactString, SocketAddr), StartFault>,
    ) {
        self.tell("started", now, |line| write_started(line, nonce, &answer));
        self.scaler.start_answered(now, nonce, answer);
    }

    /// As [`Scaler::stop_answered`].
    pub fn stop_answered(&mut self, now: Nanos, id: &str, answer: Result<(), StopFault>) {
        self.tell("stopped", now, |line| write_stopped(line, id, answer));
        self.scaler.stop_answered(now, id, answer);
    }

    /// As [`Scaler::set_target`].
    pub fn set_target(
        &mut self,
        now: Nanos,
        service: &str,
        lot: Option<&CompactString>,
        count: u32,
        zones: &[CompactString],
    ) {
        self.tell("want", now, |line| write_want(line, service, lot, count, zones));
        self.scaler.set_target(now, service, lot, count, zones);
    }

    /// As [`Scaler::set_slow_workers`]. That none is slow is told only where one was.
    pub fn set_slow_workers(
        &mut self,
        now: Nanos,
        service: &str,
        lot: Option<&CompactString>,
        slow: &[CompactString],
    ) {
        if !slow.is_empty() || self.scaler.has_slow_workers(service) {
            self.tell("avoid", now, |line| write_avoid(line, service, lot, slow));
            self.scaler.set_slow_workers(now, service, lot, slow);
        }
    }

    /// As [`Scaler::set_split`].
    pub fn set_split(&mut self, now: Nanos, services: &BTreeSet<CompactString>) {
        self.tell("split", now, |line| {
            line.names("all", &services.iter().cloned().collect::<Vec<_>>());
        });
        self.scaler.set_split(now, services);
    }

    /// As [`Scaler::retire`].
    pub fn retire(&mut self, now: Nanos, id: &str) {
        self.tell("retire", now, |line| {
            line.text("i", id);
        });
        self.scaler.retire(now, id);
    }

    /// As [`Scaler::mark_unreachable`].
    pub fn mark_unreachable(&mut self, now: Nanos, id: &str) {
        self.tell("lost", now, |line| {
            line.text("i", id);
        });
        self.scaler.mark_unreachable(now, id);
    }

    /// As [`Scaler::mark_up`].
    pub fn mark_up(&mut self, now: Nanos, id: &str) {
        self.tell("up", now, |line| {
            line.text("i", id);
        });
        self.scaler.mark_up(now, id);
    }

    /// The term is over, which is no input.
    pub fn end_term(&mut self, now: Nanos) {
        self.tell("over", now, |_| {});
    }

    /// As [`Scaler::tick`].
    pub fn tick(&mut self, now: Nanos) -> Nanos {
        self.tell("tick", now, |_| {});
        self.scaler.tick(now)
    }
}

impl Effect {
    /// Puts it into a digest, whole.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            Effect::Start { service, worker, nonce } => {
                into.text("start").text(service).text(worker).text(nonce);
            }
            Effect::Stop { id } => {
                into.text("stop").text(id);
            }
            Effect::Updated { instance: of } => {
                into.text("known").text(&of.id).text(&of.service).text(&of.address.to_compact_string());
                into.text(&of.zone).text(&of.worker).text(state_name(of.state));
                into.whole(of.boot_ms.into()).whole(of.since);
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
    /// A term begins.
    New(ScalerConfig),
    /// [`Scaler::configure`].
    Configure(Vec<ServiceSpec>),
    /// [`Scaler::inherit`].
    Inherit(Vec<Instance>),
    /// [`Scaler::endpoints_listed`].
    Listed {
        /// When the list was asked for.
        asked: Nanos,
        /// All of it.
        entries: Vec<Listed>,
    },
    /// [`Scaler::workers_listed`].
    Workers {
        /// When they were asked for.
        asked: Nanos,
        /// All of them.
        workers: Vec<Worker>,
    },
    /// [`Scaler::start_answered`].
    Started {
        /// The start's nonce.
        nonce: CompactString,
        /// Its answer.
        answer: Result<(CompactString, SocketAddr), StartFault>,
    },
    /// [`Scaler::stop_answered`].
    Stopped {
        /// The instance.
        id: CompactString,
        /// The answer.
        answer: Result<(), StopFault>,
    },
    /// [`Scaler::set_split`].
    Split(BTreeSet<CompactString>),
    /// [`Scaler::set_target`].
    Want {
        /// The function.
        service: CompactString,
        /// The zone that its owner speaks for.
        zone: Option<CompactString>,
        /// In all.
        count: u32,
        /// Where, most first.
        zones: Vec<CompactString>,
    },
    /// [`Scaler::set_slow_workers`].
    Avoid {
        /// The function.
        service: CompactString,
        /// The zone that its owner speaks for.
        zone: Option<CompactString>,
        /// Workers.
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
    /// The term is over; the scaler hears nothing of it.
    Over,
}

/// A line of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its number in the term; lines made by hand may have none.
    pub number: Option<u64>,
    /// When it came, in the process's life.
    pub at: Nanos,
    /// What came.
    pub input: Input,
}

fn write_terms(line: &mut Line, terms: &ScalerConfig) {
    line.text("of", SCALER).whole("fence", terms.fence).number("duty_per_s", terms.duty_per_s);
    for (key, value) in times(terms) {
        line.time(key, value);
    }
}

fn times(terms: &ScalerConfig) -> [(&'static str, u64); 9] {
    [
        ("max_lag_ms", terms.max_lag_ms),
        ("want_ms", terms.target_ttl_ms),
        ("leave_ms", terms.unowned_grace_ms),
        ("let_go_ms", terms.drain_ms),
        ("pause_ms", terms.retry_ms),
        ("pause_max_ms", terms.retry_max_ms),
        ("answer_ms", terms.answer_timeout_ms),
        ("boots", terms.boots),
        ("settle_boots", terms.settle_boots),
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
    line.list("set", instances, |out, of| {
        line::part(out, |line| {
            line.text("i", &of.id).text("s", &of.service).text("a", &of.address.to_compact_string());
            line.text("z", &of.zone).text("w", &of.worker).text("st", state_name(of.state));
            line.whole("boot", of.boot_ms.into()).time("since", of.since);
        });
    });
}

fn write_listed(line: &mut Line, asked: Nanos, entries: &[Listed]) {
    line.time("asked", asked).list("set", entries, |out, of| {
        line::part(out, |line| {
            line.text("i", &of.id).text("s", &of.service).text("a", &of.address.to_compact_string());
            line.text("z", &of.zone);
            if let Some(worker) = &of.worker {
                line.text("w", worker);
            }
            line.mark("d", of.draining);
        });
    });
}

fn write_workers(line: &mut Line, asked: Nanos, workers: &[Worker]) {
    line.time("asked", asked).list("set", workers, |out, of| {
        line::part(out, |line| {
            line.text("w", &of.name).text("z", &of.zone).whole("mb", of.memory_mb);
            line.whole("free", of.free_memory_mb).mark("d", of.draining);
        });
    });
}

fn write_want(
    line: &mut Line,
    service: &str,
    lot: Option<&CompactString>,
    count: u32,
    zones: &[CompactString],
) {
    line.text("s", service).whole("c", count.into()).names("z", zones);
    if let Some(lot) = lot {
        line.text("lot", lot);
    }
}

fn write_avoid(line: &mut Line, service: &str, lot: Option<&CompactString>, slow: &[CompactString]) {
    line.text("s", service).names("slow", slow);
    if let Some(lot) = lot {
        line.text("lot", lot);
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

fn word_of<T: PartialEq>(all: &[(T, &'static str)], of: &T) -> &'static str {
    all.iter().find(|(one, _)| one == of).map_or("", |(_, word)| word)
}

fn of_word<T: Copy>(all: &[(T, &'static str)], from: &Parts, key: &str) -> Result<T, Fault> {
    let word = string(from, key)?;
    let found = all.iter().find(|(_, known)| *known == word);
    found.map(|(one, _)| *one).ok_or(Fault { key: key.to_owned(), reason: "no word that is known" })
}

/// The word for a state of an instance.
pub fn state_name(state: State) -> &'static str {
    word_of(&STATES, &state)
}

/// The word for why a start did not come through.
pub fn start_fault_name(fault: StartFault) -> &'static str {
    word_of(&STARTS, &fault)
}

/// The word for why a stop did not come through.
pub fn stop_fault_name(fault: StopFault) -> &'static str {
    word_of(&STOPS, &fault)
}

type Parts = HashMap<String, JsonValue>;

/// Eleven days.
const LONGEST_MS: u64 = 1_000_000_000;
/// Starts that a span is counted in.
const MOST_BOOTS: u64 = 1_000;

fn small(from: &Parts, key: &str) -> Result<u32, Fault> {
    u32::try_from(whole(from, key)?).map_err(|_| Fault { key: key.to_owned(), reason: "too large" })
}

/// At most so much: what is counted from it must not overflow.
fn bounded(from: &Parts, key: &str, most: u64) -> Result<u64, Fault> {
    let n = whole(from, key)?;
    if n <= most { Ok(n) } else { Err(Fault { key: key.to_owned(), reason: "too large" }) }
}

fn millis(from: &Parts, key: &str) -> Result<u64, Fault> {
    bounded(from, key, LONGEST_MS)
}

fn boot(from: &Parts) -> Result<u32, Fault> {
    millis(from, "boot").map(|ms| ms as u32)
}

fn address(from: &Parts) -> Result<SocketAddr, Fault> {
    string(from, "a")?.parse().map_err(|_| Fault { key: "a".to_owned(), reason: "no address with a port" })
}

fn read_terms(from: &Parts) -> Result<ScalerConfig, Fault> {
    if string(from, "of")? != SCALER {
        return Err(Fault { key: "of".to_owned(), reason: "no scaler" });
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
        boots: bounded(from, "boots", MOST_BOOTS)?,
        settle_boots: bounded(from, "settle_boots", MOST_BOOTS)?,
    })
}

fn read_spec(from: &Parts) -> Result<ServiceSpec, Fault> {
    Ok(ServiceSpec {
        name: string(from, "s")?,
        memory_mb: small(from, "mb")?,
        boot_ms: boot(from)?,
        concurrency: small(from, "c")?,
    })
}

fn read_instance(from: &Parts) -> Result<Instance, Fault> {
    Ok(Instance {
        id: string(from, "i")?,
        service: string(from, "s")?,
        address: address(from)?,
        zone: string(from, "z")?,
        worker: string(from, "w")?,
        state: of_word(&STATES, from, "st")?,
        boot_ms: boot(from)?,
        since: whole(from, "since")?,
    })
}

fn read_listed(from: &Parts) -> Result<Listed, Fault> {
    Ok(Listed {
        id: string(from, "i")?,
        service: string(from, "s")?,
        address: address(from)?,
        zone: string(from, "z")?,
        worker: from.contains_key("w").then(|| string(from, "w")).transpose()?,
        draining: line::flag(from, "d")?,
    })
}

fn read_worker(from: &Parts) -> Result<Worker, Fault> {
    Ok(Worker {
        name: string(from, "w")?,
        zone: string(from, "z")?,
        memory_mb: whole(from, "mb")?,
        free_memory_mb: whole(from, "free")?,
        draining: line::flag(from, "d")?,
    })
}

fn read_started(from: &Parts) -> Result<Input, Fault> {
    let answer = if from.contains_key("no") {
        Err(of_word(&STARTS, from, "no")?)
    } else {
        Ok((string(from, "i")?, address(from)?))
    };
    Ok(Input::Started { nonce: string(from, "nonce")?, answer })
}

fn read_stopped(from: &Parts) -> Result<Input, Fault> {
    let answer = if from.contains_key("no") { Err(of_word(&STOPS, from, "no")?) } else { Ok(()) };
    Ok(Input::Stopped { id: string(from, "i")?, answer })
}

impl Entry {
    /// As a line, without its end.
    pub fn write(&self) -> String {
        let mut line = line::begin(self.input.name(), self.number, self.at);
        match &self.input {
            Input::New(terms) => write_terms(&mut line, terms),
            Input::Configure(specs) => write_specs(&mut line, specs),
            Input::Inherit(instances) => write_instances(&mut line, instances),
            Input::Listed { asked, entries } => write_listed(&mut line, *asked, entries),
            Input::Workers { asked, workers } => write_workers(&mut line, *asked, workers),
            Input::Started { nonce, answer } => write_started(&mut line, nonce, answer),
            Input::Stopped { id, answer } => write_stopped(&mut line, id, *answer),
            Input::Want { service, zone: lot, count, zones } => {
                write_want(&mut line, service, lot.as_ref(), *count, zones);
            }
            Input::Avoid { service, zone: lot, slow } => write_avoid(&mut line, service, lot.as_ref(), slow),
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

    /// Reads a line.
    pub fn read(text: &str) -> Result<Entry, Fault> {
        Entry::from_json(&line::read(text)?)
    }

    /// Reads a line that was read as JSON.
    pub fn from_json(from: &HashMap<String, JsonValue>) -> Result<Entry, Fault> {
        let input = match string(from, "in")?.as_str() {
            "new" => Input::New(read_terms(from)?),
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
            _ => return Err(Fault { key: "in".to_owned(), reason: "no input of a scaler" }),
        };
        let number = from.contains_key("n").then(|| whole(from, "n")).transpose()?;
        Ok(Entry { number, at: whole(from, "at")?, input })
    }
}

impl Input {
    /// The word for it in a line.
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

    /// Gives it to a scaler.
    pub fn apply(self, now: Nanos, scaler: &mut Scaler) {
        match self {
            Input::New(terms) => *scaler = Scaler::new(terms, now),
            Input::Configure(specs) => scaler.configure(now, specs),
            Input::Inherit(instances) => scaler.inherit(now, instances),
            Input::Listed { asked, entries } => scaler.endpoints_listed(now, asked, entries),
            Input::Workers { asked, workers } => scaler.workers_listed(now, asked, workers),
            Input::Started { nonce, answer } => scaler.start_answered(now, &nonce, answer),
            Input::Stopped { id, answer } => scaler.stop_answered(now, &id, answer),
            Input::Want { service, zone: lot, count, zones } => {
                scaler.set_target(now, &service, lot.as_ref(), count, &zones);
            }
            Input::Avoid { service, zone: lot, slow } => {
                scaler.set_slow_workers(now, &service, lot.as_ref(), &slow)
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
    fn every_input_reads_back_and_without_a_part_it_is_an_error_or_another() {
        for (number, input) in all().into_iter().enumerate() {
            let entry = Entry { number: Some(number as u64), at: number as u64 * MS, input };
            let text = entry.write();
            assert_eq!(Entry::read(&text), Ok(entry.clone()), "{text}");
            let parts = line::read(&text).expect("an object");
            for key in parts.keys() {
                let mut fewer = parts.clone();
                fewer.remove(key);
                assert_ne!(Entry::from_json(&fewer), Ok(entry.clone()), "{key} of {text}");
                let mut odd = parts.clone();
                odd.insert(key.clone(), JsonValue::Object(HashMap::new()));
                assert!(Entry::from_json(&odd).is_err(), "{key} of {text}");
            }
            for end in 0..text.len() {
                assert!(Entry::read(&text[..end]).is_err());
            }
        }
    }

    #[test]
    fn what_a_taped_scaler_tells_is_what_it_was_given() {
        let lines = Rc::new(RefCell::new(Vec::new()));
        let told = Rc::clone(&lines);
        let sink: Sink = Box::new(move |line| told.borrow_mut().push(line.to_owned()));
        let inputs = all();
        let Input::New(terms) = inputs[0].clone() else { panic!("a term begins") };
        let mut taped = Recorded::new(terms, 0, Some(sink));
        for (n, input) in inputs.iter().cloned().enumerate().skip(1) {
            let now = n as u64 * MS;
            match input {
                Input::New(_) => {}
                Input::Configure(specs) => taped.configure(now, specs),
                Input::Inherit(instances) => taped.inherit(now, instances),
                Input::Listed { asked, entries } => taped.endpoints_listed(now, asked, entries),
                Input::Workers { asked, workers } => taped.workers_listed(now, asked, workers),
                Input::Started { nonce, answer } => taped.start_answered(now, &nonce, answer),
                Input::Stopped { id, answer } => taped.stop_answered(now, &id, answer),
                Input::Want { service, zone: lot, count, zones } => {
                    taped.set_target(now, &service, lot.as_ref(), count, &zones);
                }
                Input::Avoid { service, zone: lot, slow } => {
                    taped.set_slow_workers(now, &service, lot.as_ref(), &slow)
                }
                Input::Split(all) => taped.set_split(now, &all),
                Input::Retire(id) => taped.retire(now, &id),
                Input::Lost(id) => taped.mark_unreachable(now, &id),
                Input::Up(id) => taped.mark_up(now, &id),
                Input::Tick => {
                    taped.tick(now);
                }
                Input::Over => taped.end_term(now),
            }
        }
        let read: Vec<_> = lines.borrow().iter().map(|line| Entry::read(line).expect("a line")).collect();
        assert_eq!(read.iter().map(|e| e.input.clone()).collect::<Vec<_>>(), inputs);
        for (n, entry) in read.iter().enumerate() {
            assert_eq!((entry.number, entry.at), (Some(n as u64), n as u64 * MS));
        }
        // Played again it does the same.
        let mut again = Scaler::new(ScalerConfig::new(1, 1.0, 1), 0);
        for entry in read {
            entry.input.apply(entry.at, &mut again);
        }
        assert_eq!(again.take(), taped.take());
        assert_eq!(again.snapshot(), taped.snapshot());
    }
}
