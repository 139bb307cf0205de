//! The codec: lines of a batch in, lines of a reply out.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use millpost::Control;
use millpost::api::{Action, Entry, Event, Nanos, Outcome, Report, State, Weights};

use millpost_settings as settings;

/// The label of every timer: the module knows one kind of wake-up only.
const LABEL: &str = "0";

/// A line of a list as it came; endpoints get their number once an instance hears of them.
#[derive(Clone)]
struct Line {
    endpoint: String,
    entry: Entry,
}

/// One dispatcher.
struct Instance {
    control: Control,
    names: Vec<String>,
    numbers: BTreeMap<String, u64>,
    classes: usize,
    tenants: usize,
    kinds: usize,
    zones: usize,
    weights: Weights,
}

impl Instance {
    fn number(&mut self, name: &str) -> u64 {
        if let Some(&n) = self.numbers.get(name) {
            return n;
        }
        let n = self.names.len() as u64;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), n);
        n
    }
    fn known(&self, name: &str) -> Result<u64, String> {
        self.numbers.get(name).copied().ok_or_else(|| format!("field `endpoint`: `{name}` was never listed"))
    }
}

/// All instances of this process and the batch being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<usize, Vec<Line>>,
    clock: Option<Nanos>,
    last_clock: Nanos,
    who: Option<u64>,
    acting: u64,
    filling: Option<(usize, usize)>,
    batch: Vec<(u64, Event)>,
    touched: Vec<u64>,
}

/// The parts of a line, taken one after the other.
struct Parts<'a> {
    parts: std::str::Split<'a, char>,
}

impl<'a> Parts<'a> {
    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        match self.parts.next() {
            Some("") => Err(format!("field `{field}`: empty")),
            Some(part) => Ok(part),
            None => Err(format!("field `{field}`: missing")),
        }
    }
    fn maybe<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        let part = self.text(field)?;
        if part == "-" {
            return Ok(None);
        }
        part.parse().map(Some).map_err(|_| format!("field `{field}`: `{part}` is not a fitting number"))
    }
    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.maybe(field)?.ok_or_else(|| format!("field `{field}`: absent"))
    }
    fn below(&mut self, field: &str, bound: usize) -> Result<usize, String> {
        let n: usize = self.number(field)?;
        if n < bound { Ok(n) } else { Err(format!("field `{field}`: {n} is out of range")) }
    }
    fn id(&mut self, field: &str, bits: u32) -> Result<u64, String> {
        let n: u64 = self.number(field)?;
        if n >> bits == 0 { Ok(n) } else { Err(format!("field `{field}`: {n} is out of range")) }
    }
    fn flag(&mut self, field: &str) -> Result<bool, String> {
        Ok(self.below(field, 2)? == 1)
    }
    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.text("outcome")? {
            "completed" => Outcome::Served,
            "errored" => Outcome::Error,
            "saturated" => Outcome::Full(None),
            "overdue" => Outcome::TimedOut,
            "refused_conn" => Outcome::ConnectFailed,
            "severed" => Outcome::Reset,
            "recalled" => Outcome::Cancelled,
            "superseded" => Outcome::NotSent,
            other => return Err(format!("field `outcome`: `{other}` is unknown")),
        })
    }
    fn report(&mut self) -> Result<Option<Report>, String> {
        let part = self.text("metrics")?;
        let mut report = Report { share_left: 0.0, limit: 0.0 };
        let mut seen = false;
        for pair in part.split(',').filter(|_| part != "-") {
            let bad = || format!("field `metrics`: `{pair}` is no name:value pair");
            let (name, value) = pair.split_once(':').ok_or_else(bad)?;
            let value: f64 = value.parse().map_err(|_| bad())?;
            if !value.is_finite() {
                return Err(bad());
            }
            match name {
                "x0" => report.share_left = value,
                "x1" => report.limit = value,
                _ => continue,
            }
            seen = true;
        }
        Ok(seen.then_some(report))
    }
    fn end(mut self) -> Result<(), String> {
        match self.parts.next() {
            None => Ok(()),
            Some(part) => Err(format!("field `{part}`: surplus")),
        }
    }
}

impl Host {
    /// No batch has been begun without being ended.
    pub fn between_batches(&self) -> bool {
        self.clock.is_none()
    }

    /// The instance that acted last.
    pub fn acting(&self) -> u64 {
        self.acting
    }

    /// Takes one line; true if it ends a batch.
    pub fn line(&mut self, text: &str) -> Result<bool, String> {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut parts = Parts { parts: rest.split(' ') };
        if !text.contains(' ') {
            parts.parts.next();
        }
        if let Some((list, left)) = self.filling {
            if name != "M" {
                return Err(format!("field `membersList`: {left} entries short, `{name}` found"));
            }
            let line = entry(parts)?;
            self.lists.entry(list).or_default().push(line);
            self.filling = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        if name == "TICK" {
            if self.clock.is_some() {
                return Err("field `message`: TICK inside a batch".into());
            }
            let clock = parts.number("timeNs")?;
            if clock < self.last_clock {
                return Err(format!("field `timeNs`: {clock} is before {}", self.last_clock));
            }
            self.last_clock = clock;
            self.clock = Some(clock);
            self.who = None;
            parts.end()?;
            return Ok(false);
        }
        if self.clock.is_none() {
            return Err(format!("field `message`: `{name}` outside a batch"));
        }
        match name {
            "EOF_BATCH" => {
                parts.end()?;
                return Ok(true);
            }
            "INSTANCE" => {
                self.who = Some(parts.number("who")?);
                parts.end()?;
            }
            "LIST" => {
                let list = parts.below("buffer", 16)?;
                let count: usize = parts.number("membersList")?;
                parts.end()?;
                self.lists.insert(list, Vec::new());
                self.filling = (count > 0).then_some((list, count));
            }
            _ => {
                let who = self.who.ok_or_else(|| format!("field `who`: `{name}` for no instance"))?;
                self.event(who, name, rest, parts)?;
            }
        }
        Ok(false)
    }

    fn event(&mut self, who: u64, name: &str, rest: &str, mut parts: Parts) -> Result<(), String> {
        let unknown = || format!("field `who`: instance {who} was not started");
        let event = match name {
            "NEW_INSTANCE" => {
                let entropy: u64 = parts.number("entropy")?;
                let conf = rest.split_once(' ').ok_or("field `conf`: missing")?.1;
                let (settings, shape) = settings::read(conf)?;
                let instance = Instance {
                    classes: settings.classes.len(),
                    tenants: settings.tenants.len(),
                    kinds: settings.kinds.len(),
                    zones: shape.zones,
                    weights: settings.weights,
                    control: Control::new(settings, entropy),
                    names: Vec::new(),
                    numbers: BTreeMap::new(),
                };
                self.batch.retain(|(other, _)| *other != who);
                self.instances.insert(who, instance);
                self.touch(who);
                return Ok(());
            }
            "DOWN" => {
                parts.end()?;
                self.instances.remove(&who).ok_or_else(unknown)?;
                self.batch.retain(|(other, _)| *other != who);
                self.touched.retain(|other| *other != who);
                return Ok(());
            }
            _ => {
                let instance = self.instances.get_mut(&who).ok_or_else(unknown)?;
                decode(instance, &self.lists, name, parts)?
            }
        };
        self.batch.push((who, event));
        self.touch(who);
        Ok(())
    }

    fn touch(&mut self, who: u64) {
        if !self.touched.contains(&who) {
            self.touched.push(who);
        }
    }

    /// Hands the batch to the instances and writes what they do.
    pub fn reply(&mut self, out: &mut String) {
        let now = self.clock.take().unwrap_or(self.last_clock);
        for (who, event) in std::mem::take(&mut self.batch) {
            self.acting = who;
            if let Some(instance) = self.instances.get_mut(&who) {
                instance.control.on_event(now, event);
            }
        }
        let mut actions = Vec::new();
        for who in std::mem::take(&mut self.touched) {
            self.acting = who;
            let Some(instance) = self.instances.get_mut(&who) else { continue };
            instance.control.decide(now, &mut actions);
            if !actions.is_empty() {
                let _ = writeln!(out, "ON_BEHALF {who}");
            }
            for action in actions.drain(..) {
                encode(&instance.names, action, out);
            }
        }
        out.push_str("READY\n");
    }
}

fn entry(mut parts: Parts) -> Result<Line, String> {
    let endpoint = parts.text("endpoint")?.to_owned();
    let zone = parts.number("site")?;
    let kind = parts.number("sku")?;
    let dest = parts.number("cell")?;
    let state = match parts.text("availability")? {
        "on" => State::Ready,
        "fading" => State::Draining,
        "off" => State::Gone,
        other => return Err(format!("field `availability`: `{other}` is unknown")),
    };
    let weight: f64 = parts.maybe("capacityHint")?.unwrap_or(0.0);
    if !weight.is_finite() {
        return Err("field `capacityHint`: not a finite number".into());
    }
    parts.maybe::<u64>("startTimeNs")?;
    parts.end()?;
    Ok(Line { endpoint, entry: Entry { endpoint: 0, zone, kind, dest, state, weight } })
}

fn decode(
    instance: &mut Instance,
    lists: &BTreeMap<usize, Vec<Line>>,
    name: &str,
    mut parts: Parts,
) -> Result<Event, String> {
    let event = match name {
        "WORK_ITEM" => {
            let id = parts.id("id", 52)?;
            let class = parts.below("tierClass", instance.classes)?;
            let customer = match parts.maybe::<usize>("customer")? {
                Some(n) if n >= instance.tenants.max(1) => {
                    return Err(format!("field `customer`: {n} is out of range"));
                }
                n => n.filter(|_| instance.tenants > 0),
            };
            let key = parts.maybe::<u64>("subject")?;
            if key.is_some_and(|k| k >> 53 != 0) {
                return Err("field `subject`: out of range".into());
            }
            let time_left = parts.number("graceNs")?;
            parts.maybe::<u64>("weightHintNs")?;
            let dest = parts.number("farEnd")?;
            parts.number::<u32>("attrs")?;
            Event::Message { id, class, tenant: customer, key, dest, time_left }
        }
        "OUTCOME" => {
            let id = parts.id("id", 52)?;
            let attempt = parts.number("sendNo")?;
            let endpoint = instance.known(parts.text("endpoint")?)?;
            let outcome = parts.outcome()?;
            let took = parts.number("tookNs")?;
            let closed = parts.flag("settled")?;
            let detail = parts.maybe::<u64>("detail")?.filter(|&ms| ms > 0);
            let wait = |ms: u64| ms.saturating_mul(1_000_000);
            let outcome =
                if let Outcome::Full(_) = outcome { Outcome::Full(detail.map(wait)) } else { outcome };
            Event::Outcome { id, attempt, endpoint, outcome, took, closed, report: parts.report()? }
        }
        "FLOWING" => {
            let id = parts.id("id", 52)?;
            let attempt = parts.number("sendNo")?;
            instance.known(parts.text("endpoint")?)?;
            Event::Started { id, attempt, took: parts.number("tookNs")? }
        }
        "TIMED_OUT_CLIENT" => Event::Withdrawn { id: parts.id("id", 52)? },
        "PROBE_DONE" => {
            let endpoint = instance.known(parts.text("endpoint")?)?;
            let outcome = parts.outcome()?;
            let took = parts.number("tookNs")?;
            Event::ProbeEnded { endpoint, outcome, took, report: parts.report()? }
        }
        "UPDATE" => {
            let kind = parts.text("kind")?;
            let whole = match kind {
                "incr" => false,
                "total" | "warm_copy" => true,
                "lost" => {
                    parts.maybe::<u64>("epoch")?;
                    parts.maybe::<usize>("buffer")?;
                    parts.end()?;
                    return Ok(Event::ListFailed);
                }
                other => return Err(format!("field `kind`: `{other}` is unknown")),
            };
            parts.maybe::<u64>("epoch")?;
            let number = parts.below("buffer", 16)?;
            let list = lists.get(&number).ok_or_else(|| format!("field `buffer`: no list {number}"))?;
            let mut entries = Vec::with_capacity(list.len());
            for line in list {
                let mut entry = line.entry;
                if entry.kind >= instance.kinds {
                    return Err(format!("field `sku`: {} is out of range", entry.kind));
                }
                if entry.zone >= instance.zones {
                    return Err(format!("field `site`: {} is out of range", entry.zone));
                }
                if instance.weights == Weights::Unknown {
                    entry.weight = 0.0;
                }
                entry.endpoint = instance.number(&line.endpoint);
                entries.push(entry);
            }
            Event::Listed { whole, entries }
        }
        "PEER" => {
            let from = parts.number("author")?;
            let text = parts.text("contents")?;
            let bytes = if text == "-" { Ok(Vec::new()) } else { STANDARD.decode(text) };
            Event::PeerMessage { from, bytes: bytes.map_err(|_| "field `contents`: not base64")? }
        }
        "TIMEOUT_FIRED" => {
            parts.number::<u64>("label")?;
            Event::Wake
        }
        other => return Err(format!("field `message`: `{other}` is unknown")),
    };
    parts.end()?;
    Ok(event)
}

fn encode(names: &[String], action: Action, out: &mut String) {
    let name = |endpoint: u64| names[endpoint as usize].as_str();
    let _ = match action {
        Action::Send { id, endpoint, timeout } => writeln!(out, "RELAY {id} {timeout} {}", name(endpoint)),
        Action::Refuse { id, wait } => writeln!(out, "TURN_AWAY {id} {wait}"),
        Action::Fail { id } => writeln!(out, "ABORT {id}"),
        Action::Cancel { id, attempt } => writeln!(out, "ABORT_ATTEMPT {id} {attempt}"),
        Action::Probe { endpoint } => writeln!(out, "TEST {}", name(endpoint)),
        Action::Broadcast { bytes } => writeln!(out, "SAY all {}", STANDARD.encode(bytes)),
        Action::Subscribe => writeln!(out, "TRACK 1"),
        Action::Wake { at } => writeln!(out, "SLEEP {LABEL} {at}"),
    };
}
