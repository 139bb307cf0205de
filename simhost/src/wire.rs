//! Codec of the line protocol: parses the lines of a batch and writes the reply.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use millpost::Control;
use millpost::api::{Action, Entry, Event, Nanos, Outcome, Report, State, Weights};

use millpost_settings as settings;

/// Timer label; the library has a single kind of wake-up.
const LABEL: &str = "0";

/// A parsed list line. Endpoint numbers are assigned per instance, when the list is delivered to it.
#[derive(Clone)]
struct ListLine {
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
    fn endpoint_number(&self, name: &str) -> Result<u64, String> {
        self.numbers
            .get(name)
            .copied()
            .ok_or_else(|| format!("field `endpoint`: `{name}` has not been listed"))
    }
}

/// The instances of this process, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<usize, Vec<ListLine>>,
    clock: Option<Nanos>,
    last_clock: Nanos,
    who: Option<u64>,
    active: u64,
    open_list: Option<(usize, usize)>,
    batch: Vec<(u64, Event)>,
    touched: Vec<u64>,
}

/// The fields of a line, read in order.
struct Fields<'a> {
    fields: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn string(&mut self, field: &str) -> Result<&'a str, String> {
        match self.fields.next() {
            Some("") => Err(format!("field `{field}`: empty")),
            Some(text) => Ok(text),
            None => Err(format!("field `{field}`: missing")),
        }
    }
    fn optional<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        let text = self.string(field)?;
        if text == "-" {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| format!("field `{field}`: `{text}` is not a valid number"))
    }
    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, String> {
        self.optional(field)?.ok_or_else(|| format!("field `{field}`: a value is required"))
    }
    fn index(&mut self, field: &str, bound: usize) -> Result<usize, String> {
        let n: usize = self.number(field)?;
        if n < bound { Ok(n) } else { Err(format!("field `{field}`: {n} is out of range")) }
    }
    fn id(&mut self, field: &str, bits: u32) -> Result<u64, String> {
        let n: u64 = self.number(field)?;
        if n >> bits == 0 { Ok(n) } else { Err(format!("field `{field}`: {n} is out of range")) }
    }
    fn flag(&mut self, field: &str) -> Result<bool, String> {
        Ok(self.index(field, 2)? == 1)
    }
    fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.string("outcome")? {
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
        let text = self.string("metrics")?;
        let mut report = Report { share_left: 0.0, limit: 0.0 };
        let mut found = false;
        for pair in text.split(',').filter(|_| text != "-") {
            let error = || format!("field `metrics`: `{pair}` is not a name:value pair");
            let (name, value) = pair.split_once(':').ok_or_else(error)?;
            let value: f64 = value.parse().map_err(|_| error())?;
            if !value.is_finite() {
                return Err(error());
            }
            match name {
                "x0" => report.share_left = value,
                "x1" => report.limit = value,
                _ => continue,
            }
            found = true;
        }
        Ok(found.then_some(report))
    }
    fn end(mut self) -> Result<(), String> {
        match self.fields.next() {
            None => Ok(()),
            Some(text) => Err(format!("field `{text}`: unexpected field")),
        }
    }
}

impl Host {
    /// Whether no batch is open.
    pub fn between_batches(&self) -> bool {
        self.clock.is_none()
    }

    /// The instance that handled the last event or decision, for panic reports.
    pub fn active(&self) -> u64 {
        self.active
    }

    /// Parses one line. Returns whether it ends a batch.
    pub fn parse_line(&mut self, text: &str) -> Result<bool, String> {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Fields { fields: rest.split(' ') };
        if !text.contains(' ') {
            fields.fields.next();
        }
        if let Some((list, left)) = self.open_list {
            if name != "M" {
                return Err(format!("field `membersList`: expected {left} more entries, found `{name}`"));
            }
            let line = parse_entry(fields)?;
            self.lists.entry(list).or_default().push(line);
            self.open_list = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        if name == "TICK" {
            if self.clock.is_some() {
                return Err("field `message`: TICK inside a batch".into());
            }
            let clock = fields.number("timeNs")?;
            if clock < self.last_clock {
                return Err(format!("field `timeNs`: {clock} is before {}", self.last_clock));
            }
            self.last_clock = clock;
            self.clock = Some(clock);
            self.who = None;
            fields.end()?;
            return Ok(false);
        }
        if self.clock.is_none() {
            return Err(format!("field `message`: `{name}` outside a batch"));
        }
        match name {
            "EOF_BATCH" => {
                fields.end()?;
                return Ok(true);
            }
            "INSTANCE" => {
                self.who = Some(fields.number("who")?);
                fields.end()?;
            }
            "LIST" => {
                let list = fields.index("buffer", 16)?;
                let count: usize = fields.number("membersList")?;
                fields.end()?;
                self.lists.insert(list, Vec::new());
                self.open_list = (count > 0).then_some((list, count));
            }
            _ => {
                let who = self.who.ok_or_else(|| format!("field `who`: `{name}` before INSTANCE"))?;
                self.parse_event(who, name, rest, fields)?;
            }
        }
        Ok(false)
    }

    fn parse_event(&mut self, who: u64, name: &str, rest: &str, mut fields: Fields) -> Result<(), String> {
        let unknown_instance = || format!("field `who`: instance {who} was not started");
        let event = match name {
            "NEW_INSTANCE" => {
                let entropy: u64 = fields.number("entropy")?;
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
                self.mark_touched(who);
                return Ok(());
            }
            "DOWN" => {
                fields.end()?;
                self.instances.remove(&who).ok_or_else(unknown_instance)?;
                self.batch.retain(|(other, _)| *other != who);
                self.touched.retain(|other| *other != who);
                return Ok(());
            }
            _ => {
                let instance = self.instances.get_mut(&who).ok_or_else(unknown_instance)?;
                parse_instance_event(instance, &self.lists, name, fields)?
            }
        };
        self.batch.push((who, event));
        self.mark_touched(who);
        Ok(())
    }

    fn mark_touched(&mut self, who: u64) {
        if !self.touched.contains(&who) {
            self.touched.push(who);
        }
    }

    /// Delivers the batch to the instances and writes their actions to `out`.
    pub fn reply(&mut self, out: &mut String) {
        let now = self.clock.take().unwrap_or(self.last_clock);
        for (who, event) in std::mem::take(&mut self.batch) {
            self.active = who;
            if let Some(instance) = self.instances.get_mut(&who) {
                instance.control.on_event(now, event);
            }
        }
        let mut actions = Vec::new();
        for who in std::mem::take(&mut self.touched) {
            self.active = who;
            let Some(instance) = self.instances.get_mut(&who) else { continue };
            instance.control.decide(now, &mut actions);
            if !actions.is_empty() {
                let _ = writeln!(out, "ON_BEHALF {who}");
            }
            for action in actions.drain(..) {
                write_action(&instance.names, action, out);
            }
        }
        out.push_str("READY\n");
    }
}

fn parse_entry(mut fields: Fields) -> Result<ListLine, String> {
    let endpoint = fields.string("endpoint")?.to_owned();
    let zone = fields.number("site")?;
    let kind = fields.number("sku")?;
    let dest = fields.number("cell")?;
    let state = match fields.string("availability")? {
        "on" => State::Ready,
        "fading" => State::Draining,
        "off" => State::Gone,
        other => return Err(format!("field `availability`: `{other}` is unknown")),
    };
    let weight: f64 = fields.optional("capacityHint")?.unwrap_or(0.0);
    if !weight.is_finite() {
        return Err("field `capacityHint`: must be finite".into());
    }
    fields.optional::<u64>("startTimeNs")?;
    fields.end()?;
    Ok(ListLine { endpoint, entry: Entry { endpoint: 0, zone, kind, dest, state, weight } })
}

fn parse_instance_event(
    instance: &mut Instance,
    lists: &BTreeMap<usize, Vec<ListLine>>,
    name: &str,
    mut fields: Fields,
) -> Result<Event, String> {
    let event = match name {
        "WORK_ITEM" => {
            let id = fields.id("id", 52)?;
            let class = fields.index("tierClass", instance.classes)?;
            let customer = match fields.optional::<usize>("customer")? {
                Some(n) if n >= instance.tenants.max(1) => {
                    return Err(format!("field `customer`: {n} is out of range"));
                }
                n => n.filter(|_| instance.tenants > 0),
            };
            let key = fields.optional::<u64>("subject")?;
            if key.is_some_and(|k| k >> 53 != 0) {
                return Err("field `subject`: out of range".into());
            }
            let time_left = fields.number("graceNs")?;
            fields.optional::<u64>("weightHintNs")?;
            let dest = fields.number("farEnd")?;
            fields.number::<u32>("attrs")?;
            Event::Message { id, class, tenant: customer, key, dest, time_left }
        }
        "OUTCOME" => {
            let id = fields.id("id", 52)?;
            let attempt = fields.number("sendNo")?;
            let endpoint = instance.endpoint_number(fields.string("endpoint")?)?;
            let outcome = fields.outcome()?;
            let took = fields.number("tookNs")?;
            let closed = fields.flag("settled")?;
            let detail = fields.optional::<u64>("detail")?.filter(|&ms| ms > 0);
            let wait = |ms: u64| ms.saturating_mul(1_000_000);
            let outcome =
                if let Outcome::Full(_) = outcome { Outcome::Full(detail.map(wait)) } else { outcome };
            Event::Outcome { id, attempt, endpoint, outcome, took, closed, report: fields.report()? }
        }
        "FLOWING" => {
            let id = fields.id("id", 52)?;
            let attempt = fields.number("sendNo")?;
            instance.endpoint_number(fields.string("endpoint")?)?;
            Event::Started { id, attempt, took: fields.number("tookNs")? }
        }
        "TIMED_OUT_CLIENT" => Event::Withdrawn { id: fields.id("id", 52)? },
        "PROBE_DONE" => {
            let endpoint = instance.endpoint_number(fields.string("endpoint")?)?;
            let outcome = fields.outcome()?;
            let took = fields.number("tookNs")?;
            Event::ProbeEnded { endpoint, outcome, took, report: fields.report()? }
        }
        "UPDATE" => {
            let kind = fields.string("kind")?;
            let whole = match kind {
                "incr" => false,
                "total" | "warm_copy" => true,
                "lost" => {
                    fields.optional::<u64>("epoch")?;
                    fields.optional::<usize>("buffer")?;
                    fields.end()?;
                    return Ok(Event::ListFailed);
                }
                other => return Err(format!("field `kind`: `{other}` is unknown")),
            };
            fields.optional::<u64>("epoch")?;
            let number = fields.index("buffer", 16)?;
            let list =
                lists.get(&number).ok_or_else(|| format!("field `buffer`: no list {number} was sent"))?;
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
            let from = fields.number("author")?;
            let text = fields.string("contents")?;
            let bytes = if text == "-" { Ok(Vec::new()) } else { STANDARD.decode(text) };
            Event::PeerMessage { from, bytes: bytes.map_err(|_| "field `contents`: invalid base64")? }
        }
        "TIMEOUT_FIRED" => {
            fields.number::<u64>("label")?;
            Event::Wake
        }
        other => return Err(format!("field `message`: `{other}` is unknown")),
    };
    fields.end()?;
    Ok(event)
}

fn write_action(names: &[String], action: Action, out: &mut String) {
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
