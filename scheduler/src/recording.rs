//! Recording of the inputs of a coordinator as JSON lines for replay: each call of [`Coordinator`] that
//! may change it, with its time. Written by [`RecordedCoordinator`], read by [`Entry::read`].
//!
//! Times are nanoseconds since the start of the process, integers below 2^53. External values are not
//! rounded.

use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;
use millpost_protocol::line::{self, Line, Recorder, Sink};
use millpost_protocol::{Fault, PeerMessage, string, whole};
use tinyjson::JsonValue;

use crate::{
    Action, Coordinator, FunctionSpec, Nanos, Outcome, Peer, PermitRequest, SchedulerLimits, TraceEvent,
};

/// Kind of recording named in the first line of a coordinator's recording.
pub const COORDINATOR_LOG: &str = "desk";

/// A coordinator whose inputs are written to a sink, if there is one. Without a sink there is no overhead.
#[derive(Debug)]
pub struct RecordedCoordinator {
    coordinator: Coordinator,
    recorder: Option<Recorder>,
    /// Number of requests traced so far.
    requests: u64,
}

impl std::ops::Deref for RecordedCoordinator {
    type Target = Coordinator;
    // Gives access to the methods that do not change the coordinator; the others are wrapped below.
    fn deref(&self) -> &Coordinator {
        &self.coordinator
    }
}

impl RecordedCoordinator {
    /// As [`Coordinator::new`].
    pub fn new(me: Peer, terms: SchedulerLimits, seed: u64, first: u64, sink: Option<Sink>) -> Self {
        let mut recorder = sink.map(Recorder::new);
        if let Some(recorder) = &mut recorder {
            let mut line = recorder.begin("new", 0);
            write_new(&mut line, &me, &terms, seed, first);
            recorder.put(line);
        }
        RecordedCoordinator { coordinator: Coordinator::new(me, terms, seed, first), recorder, requests: 0 }
    }

    fn record(&mut self, name: &str, now: Nanos, fill: impl FnOnce(&mut Line)) {
        if let Some(recorder) = &mut self.recorder {
            let mut line = recorder.begin(name, now);
            fill(&mut line);
            recorder.put(line);
        }
    }

    /// As [`Coordinator::take_actions`], which is not an input.
    pub fn take_actions(&mut self) -> VecDeque<Action> {
        let actions = self.coordinator.take_actions();
        if let Some(recorder) = &mut self.recorder {
            actions.iter().for_each(|out| recorder.digest().fold(|parts| out.fold(parts)));
        }
        actions
    }

    /// As [`Coordinator::configure`].
    pub fn configure(&mut self, now: Nanos, specs: impl Iterator<Item = FunctionSpec>) {
        if self.recorder.is_none() {
            return self.coordinator.configure(now, specs);
        }
        let specs: Vec<FunctionSpec> = specs.collect();
        self.record("configure", now, |line| write_specs(line, &specs));
        self.coordinator.configure(now, specs.into_iter());
    }

    /// Whether the inputs are being recorded.
    pub fn is_recording(&self) -> bool {
        self.recorder.is_some()
    }

    /// Returns the trace number of the next request; `None` if nothing is recorded.
    pub fn next_request_number(&mut self) -> Option<u64> {
        self.recorder.as_ref()?;
        self.requests += 1;
        Some(self.requests)
    }

    /// Records a trace event, which is not an input of the coordinator.
    pub fn trace(&mut self, now: Nanos, event: &TraceEvent) {
        self.record(event.name(), now, |line| event.write(line));
    }

    /// As [`Coordinator::request_permit`]; `of` is the trace number of the request, if any.
    pub fn request_permit(
        &mut self,
        now: Nanos,
        request: PermitRequest,
        first: bool,
        of: Option<u64>,
    ) -> Option<u64> {
        let Some(recorder) = &mut self.recorder else {
            return self.coordinator.request_permit(now, request, first);
        };
        let mut line = recorder.begin("ask", now);
        write_request(&mut line, &request, first, of);
        let id = self.coordinator.request_permit(now, request, first);
        if let Some(id) = id {
            line.whole("id", id);
        }
        recorder.put(line);
        id
    }

    /// As [`Coordinator::cancel`].
    pub fn cancel(&mut self, now: Nanos, id: u64) {
        self.record("give_up", now, |line| {
            line.whole("id", id);
        });
        self.coordinator.cancel(now, id);
    }

    /// As [`Coordinator::finish`].
    pub fn finish(&mut self, now: Nanos, id: u64, outcome: Outcome, took: Nanos) {
        self.record("finish", now, |line| {
            line.whole("id", id).text("o", outcome.as_str()).time("took", took);
        });
        self.coordinator.finish(now, id, outcome, took);
    }

    /// As [`Coordinator::instance_up`].
    pub fn instance_up(&mut self, now: Nanos, id: &str) {
        self.record("up", now, |line| {
            line.text("i", id);
        });
        self.coordinator.instance_up(now, id);
    }

    /// As [`Coordinator::connection_refused`].
    pub fn connection_refused(&mut self, now: Nanos, id: &str) {
        self.record("refused", now, |line| {
            line.text("i", id);
        });
        self.coordinator.connection_refused(now, id);
    }

    /// As [`Coordinator::receive`].
    pub fn receive(&mut self, now: Nanos, from: &str, incarnation: u64, messages: Vec<PeerMessage>) {
        self.record("mail", now, |line| {
            line.text("from", from).whole("life", incarnation).messages("notes", &messages);
        });
        self.coordinator.receive(now, from, incarnation, messages);
    }

    /// As [`Coordinator::receive_from_controller`].
    pub fn receive_from_controller(&mut self, now: Nanos, message: PeerMessage) {
        self.record("told", now, |line| {
            line.message("note", &message);
        });
        self.coordinator.receive_from_controller(now, message);
    }

    /// As [`Coordinator::undelivered`].
    pub fn undelivered(&mut self, now: Nanos, address: &str, messages: Vec<PeerMessage>) {
        self.record("returned", now, |line| {
            line.text("to", address).messages("notes", &messages);
        });
        self.coordinator.undelivered(now, address, messages);
    }

    /// As [`Coordinator::controller_unreachable`].
    pub fn controller_unreachable(&mut self, now: Nanos) {
        self.record("mute", now, |_| {});
        self.coordinator.controller_unreachable(now);
    }

    /// As [`Coordinator::tick`].
    pub fn tick(&mut self, now: Nanos) {
        self.record("tick", now, |_| {});
        self.coordinator.tick(now);
    }
}

/// One input of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Start of an incarnation.
    New {
        /// The proxy itself.
        me: Peer,
        /// Limits of its scheduler.
        terms: SchedulerLimits,
        /// Seed of its random choices.
        seed: u64,
        /// Number before the first request id.
        first: u64,
    },
    /// [`Coordinator::configure`].
    Configure(Vec<FunctionSpec>),
    /// [`Coordinator::request_permit`].
    RequestPermit {
        /// The permit request.
        ask: PermitRequest,
        /// Whether it is the first one for its client request.
        first: bool,
        /// Id that it was given; `None` if too many were open.
        id: Option<u64>,
        /// Trace number of the client request.
        of: Option<u64>,
    },
    /// [`Coordinator::cancel`].
    Cancel {
        /// Request id.
        id: u64,
    },
    /// [`Coordinator::finish`].
    Finish {
        /// Request id.
        id: u64,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Duration of the attempt.
        took: Nanos,
    },
    /// [`Coordinator::instance_up`].
    InstanceUp(CompactString),
    /// [`Coordinator::connection_refused`].
    ConnectionRefused(CompactString),
    /// [`Coordinator::receive`].
    PeerMessages {
        /// Sending proxy.
        from: CompactString,
        /// Incarnation of the sender.
        incarnation: u64,
        /// Its messages.
        messages: Vec<PeerMessage>,
    },
    /// [`Coordinator::receive_from_controller`].
    ControllerMessage(PeerMessage),
    /// [`Coordinator::undelivered`].
    Undelivered {
        /// Address they were sent to.
        address: CompactString,
        /// The undelivered messages.
        messages: Vec<PeerMessage>,
    },
    /// [`Coordinator::controller_unreachable`].
    ControllerUnreachable,
    /// [`Coordinator::tick`].
    Tick,
    /// A trace event, which is not passed to the coordinator.
    TraceEvent(TraceEvent),
}

/// One line of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Sequence number within the incarnation; lines written by hand may have none.
    pub number: Option<u64>,
    /// Time of the input, since the start of the process.
    pub at: Nanos,
    /// The input.
    pub input: Input,
}

fn write_new(line: &mut Line, me: &Peer, terms: &SchedulerLimits, seed: u64, first: u64) {
    line.text("of", COORDINATOR_LOG).text("me", &me.name).text("a", &me.address).text("z", &me.zone);
    line.number("ratio", terms.retry_ratio)
        .time("window", terms.retry_window)
        .number("slack", terms.retry_slack);
    if terms.requests_per_s.is_finite() {
        line.number("asks", terms.requests_per_s);
    }
    if terms.rank_by_latency {
        line.mark("speeds", true);
    }
    line.whole("seed", seed).whole("first", first);
}

fn write_specs(line: &mut Line, specs: &[FunctionSpec]) {
    line.list("specs", specs, |out, spec| {
        line::part(out, |line| {
            line.text("s", &spec.name).whole("c", spec.concurrency.into());
            line.time("boot", spec.startup_time).whole("mb", spec.memory_mb);
        });
    });
}

fn write_request(line: &mut Line, request: &PermitRequest, first: bool, of: Option<u64>) {
    line.text("s", &request.service).time("deadline", request.deadline).time("aim", request.soft_deadline);
    line.time("target", request.target);
    if request.attempts_sent > 0 {
        line.whole("sent", request.attempts_sent.into());
    }
    line.mark("first", first)
        .mark("back", request.returned)
        .names("avoid", &request.avoid)
        .text("z", &request.zone);
    if let Some(of) = of {
        line.whole("p", of);
    }
}

type Parts = HashMap<String, JsonValue>;

fn small(from: &Parts, key: &str) -> Result<u32, Fault> {
    u32::try_from(whole(from, key)?).map_err(|_| Fault { key: key.to_owned(), reason: "too large" })
}

fn read_spec(from: &Parts) -> Result<FunctionSpec, Fault> {
    Ok(FunctionSpec {
        name: string(from, "s")?,
        concurrency: small(from, "c")?,
        startup_time: whole(from, "boot")?,
        memory_mb: line::large(from, "mb")?,
    })
}

fn read_new(from: &Parts) -> Result<Input, Fault> {
    if string(from, "of")? != COORDINATOR_LOG {
        return Err(Fault { key: "of".to_owned(), reason: "not a coordinator recording" });
    }
    Ok(Input::New {
        me: Peer { name: string(from, "me")?, address: string(from, "a")?, zone: string(from, "z")? },
        terms: SchedulerLimits {
            retry_ratio: millpost_protocol::number(from, "ratio")?,
            retry_window: whole(from, "window")?,
            retry_slack: millpost_protocol::number(from, "slack")?,
            // Older recordings, from before this limit existed, lack the key.
            requests_per_s: if from.contains_key("asks") {
                millpost_protocol::number(from, "asks")?
            } else {
                f64::INFINITY
            },
            rank_by_latency: line::flag(from, "speeds")?,
        },
        seed: line::large(from, "seed")?,
        first: line::large(from, "first")?,
    })
}

fn read_request(from: &Parts) -> Result<Input, Fault> {
    let request = PermitRequest {
        id: 0,
        service: string(from, "s")?,
        deadline: whole(from, "deadline")?,
        soft_deadline: whole(from, "aim")?,
        target: whole(from, "target")?,
        attempts_sent: if from.contains_key("sent") { small(from, "sent")? } else { 0 },
        returned: line::flag(from, "back")?,
        avoid: line::names(from, "avoid")?,
        zone: string(from, "z")?,
    };
    let number = |key| from.contains_key(key).then(|| line::large(from, key)).transpose();
    Ok(Input::RequestPermit {
        ask: request,
        first: line::flag(from, "first")?,
        id: number("id")?,
        of: number("p")?,
    })
}

impl Entry {
    /// Formats the entry as a line, without a line break.
    pub fn write(&self) -> String {
        let mut line = line::begin(self.input.name(), self.number, self.at);
        match &self.input {
            Input::New { me, terms, seed, first } => write_new(&mut line, me, terms, *seed, *first),
            Input::Configure(specs) => write_specs(&mut line, specs),
            Input::RequestPermit { ask: request, first, id, of } => {
                write_request(&mut line, request, *first, *of);
                if let Some(id) = id {
                    line.whole("id", *id);
                }
            }
            Input::Cancel { id } => {
                line.whole("id", *id);
            }
            Input::Finish { id, outcome, took } => {
                line.whole("id", *id).text("o", outcome.as_str()).time("took", *took);
            }
            Input::InstanceUp(id) | Input::ConnectionRefused(id) => {
                line.text("i", id);
            }
            Input::PeerMessages { from, incarnation, messages } => {
                line.text("from", from).whole("life", *incarnation).messages("notes", messages);
            }
            Input::ControllerMessage(message) => {
                line.message("note", message);
            }
            Input::Undelivered { address, messages } => {
                line.text("to", address).messages("notes", messages);
            }
            Input::ControllerUnreachable | Input::Tick => {}
            Input::TraceEvent(event) => event.write(&mut line),
        }
        line.end()
    }

    /// Parses a line.
    pub fn read(text: &str) -> Result<Entry, Fault> {
        Entry::from_json(&line::read(text)?)
    }

    /// Reads an entry from a parsed JSON object.
    pub fn from_json(from: &HashMap<String, JsonValue>) -> Result<Entry, Fault> {
        let id = |key| line::large(from, key);
        let input = match string(from, "in")?.as_str() {
            "new" => read_new(from)?,
            "configure" => Input::Configure(line::objects(from, "specs", read_spec)?),
            "ask" => read_request(from)?,
            "give_up" => Input::Cancel { id: id("id")? },
            "finish" => Input::Finish {
                id: id("id")?,
                outcome: Outcome::parse(&string(from, "o")?)
                    .ok_or(Fault { key: "o".to_owned(), reason: "unknown outcome" })?,
                took: whole(from, "took")?,
            },
            "up" => Input::InstanceUp(string(from, "i")?),
            "refused" => Input::ConnectionRefused(string(from, "i")?),
            "mail" => Input::PeerMessages {
                from: string(from, "from")?,
                incarnation: line::large(from, "life")?,
                messages: line::messages_field(from, "notes")?,
            },
            "told" => Input::ControllerMessage(line::message_field(from, "note")?),
            "returned" => Input::Undelivered {
                address: string(from, "to")?,
                messages: line::messages_field(from, "notes")?,
            },
            "mute" => Input::ControllerUnreachable,
            "tick" => Input::Tick,
            name => Input::TraceEvent(TraceEvent::read(name, from)?),
        };
        let number = from.contains_key("n").then(|| whole(from, "n")).transpose()?;
        Ok(Entry { number, at: whole(from, "at")?, input })
    }
}

impl Input {
    /// Name of the input in a line.
    pub fn name(&self) -> &'static str {
        match self {
            Input::New { .. } => "new",
            Input::Configure(_) => "configure",
            Input::RequestPermit { .. } => "ask",
            Input::Cancel { .. } => "give_up",
            Input::Finish { .. } => "finish",
            Input::InstanceUp(_) => "up",
            Input::ConnectionRefused(_) => "refused",
            Input::PeerMessages { .. } => "mail",
            Input::ControllerMessage(_) => "told",
            Input::Undelivered { .. } => "returned",
            Input::ControllerUnreachable => "mute",
            Input::Tick => "tick",
            Input::TraceEvent(event) => event.name(),
        }
    }

    /// Applies the input to a coordinator. Returns the id given to a permit request.
    pub fn apply(self, now: Nanos, coordinator: &mut Coordinator) -> Option<u64> {
        match self {
            Input::New { me, terms, seed, first } => *coordinator = Coordinator::new(me, terms, seed, first),
            Input::Configure(specs) => coordinator.configure(now, specs.into_iter()),
            Input::RequestPermit { ask: request, first, .. } => {
                return coordinator.request_permit(now, request, first);
            }
            Input::Cancel { id } => coordinator.cancel(now, id),
            Input::Finish { id, outcome, took } => coordinator.finish(now, id, outcome, took),
            Input::InstanceUp(id) => coordinator.instance_up(now, &id),
            Input::ConnectionRefused(id) => coordinator.connection_refused(now, &id),
            Input::PeerMessages { from, incarnation, messages } => {
                coordinator.receive(now, &from, incarnation, messages)
            }
            Input::ControllerMessage(message) => coordinator.receive_from_controller(now, message),
            Input::Undelivered { address, messages } => coordinator.undelivered(now, &address, messages),
            Input::ControllerUnreachable => coordinator.controller_unreachable(now),
            Input::Tick => coordinator.tick(now),
            Input::TraceEvent(_) => {}
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::rc::Rc;

    use super::*;
    use crate::{DenialReason, MS, RequestInfo};

    fn all() -> Vec<Input> {
        let me = Peer { name: "edge-1".into(), address: "10.0.0.1:1".into(), zone: "a".into() };
        let request = PermitRequest {
            id: 0,
            service: "f".into(),
            deadline: 900 * MS + 1,
            soft_deadline: 200 * MS,
            target: 200 * MS,
            attempts_sent: 2,
            returned: true,
            avoid: vec!["i-2".into()],
            zone: "a".into(),
        };
        let spec = FunctionSpec { name: "f".into(), concurrency: 2, startup_time: 300 * MS, memory_mb: 128 };
        let info = RequestInfo {
            service: "f".into(),
            zone: "".into(),
            target: 200 * MS,
            repeatable: true,
            max_attempts: 2,
            received_at: 5,
            deadline: 1_500 * MS,
            returned: true,
        };
        let (instance, outcome) = (CompactString::from("i-1"), Outcome::Answered);
        let ended = |status| TraceEvent::Ended {
            p: 3,
            begun: 8,
            instance: instance.clone(),
            outcome,
            sent: true,
            status,
        };
        vec![
            Input::New {
                me,
                terms: SchedulerLimits {
                    retry_ratio: 0.2,
                    retry_window: 10_000 * MS,
                    retry_slack: 52.0,
                    requests_per_s: 300.0,
                    rank_by_latency: true,
                },
                seed: u64::MAX,
                first: 7 << 20,
            },
            Input::Configure(vec![spec]),
            Input::RequestPermit { ask: request.clone(), first: false, id: Some(9), of: Some(3) },
            Input::RequestPermit { ask: request, first: true, id: None, of: None },
            Input::Cancel { id: 9 },
            Input::Finish { id: 9, outcome: Outcome::NoAnswer, took: 12_345_678 },
            Input::InstanceUp("i-1".into()),
            Input::ConnectionRefused("i-1".into()),
            Input::PeerMessages {
                from: "edge-2".into(),
                incarnation: 3,
                messages: vec![PeerMessage::CancelRequest { id: 4 }],
            },
            Input::ControllerMessage(PeerMessage::Instances {
                version: (1, 2),
                all: true,
                set: vec![],
                gone: vec![],
            }),
            Input::Undelivered {
                address: "10.0.0.2:1".into(),
                messages: vec![PeerMessage::CancelRequest { id: 5 }],
            },
            Input::ControllerUnreachable,
            Input::Tick,
            Input::TraceEvent(TraceEvent::Received { p: 3, attempt: "9c41".into(), route: "r".into(), info }),
            Input::TraceEvent(TraceEvent::Denied { p: 3, reason: DenialReason::Full(7) }),
            Input::TraceEvent(TraceEvent::Denied { p: 3, reason: DenialReason::Skip }),
            Input::TraceEvent(TraceEvent::Denied { p: 3, reason: DenialReason::Moved }),
            Input::TraceEvent(TraceEvent::Moved { p: 3, to: Some("g".into()) }),
            Input::TraceEvent(TraceEvent::Moved { p: 3, to: None }),
            Input::TraceEvent(TraceEvent::DeadlinePassed { p: 3 }),
            Input::TraceEvent(ended(None)),
            Input::TraceEvent(ended(Some(200))),
            Input::TraceEvent(TraceEvent::ClientLeft { p: 3 }),
            Input::TraceEvent(TraceEvent::Rejected { attempt: "".into(), status: 404 }),
            Input::TraceEvent(TraceEvent::ConfigInForce { revision: 7 }),
        ]
    }

    #[test]
    fn every_input_round_trips_and_missing_keys_are_detected() {
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
    fn recording_contains_the_inputs() {
        let lines = Rc::new(RefCell::new(Vec::new()));
        let sink_lines = Rc::clone(&lines);
        let sink: Sink = Box::new(move |line| sink_lines.borrow_mut().push(line.to_owned()));
        let inputs = all();
        let Input::New { me, terms, seed, first } = inputs[0].clone() else {
            panic!("the first input is `New`")
        };
        let mut coordinator = RecordedCoordinator::new(me, terms, seed, first, Some(sink));
        let mut expected = inputs.clone();
        for (n, input) in inputs.into_iter().enumerate().skip(1) {
            let now = n as u64 * MS;
            match input {
                Input::New { .. } => {}
                Input::Configure(specs) => coordinator.configure(now, specs.into_iter()),
                Input::RequestPermit { ask: request, first, of, .. } => {
                    let given = coordinator.request_permit(now, request.clone(), first, of);
                    expected[n] = Input::RequestPermit { ask: request, first, id: given, of };
                }
                Input::Cancel { id } => coordinator.cancel(now, id),
                Input::Finish { id, outcome, took } => coordinator.finish(now, id, outcome, took),
                Input::InstanceUp(id) => coordinator.instance_up(now, &id),
                Input::ConnectionRefused(id) => coordinator.connection_refused(now, &id),
                Input::PeerMessages { from, incarnation, messages } => {
                    coordinator.receive(now, &from, incarnation, messages)
                }
                Input::ControllerMessage(message) => coordinator.receive_from_controller(now, message),
                Input::Undelivered { address, messages } => coordinator.undelivered(now, &address, messages),
                Input::ControllerUnreachable => coordinator.controller_unreachable(now),
                Input::Tick => coordinator.tick(now),
                Input::TraceEvent(event) => coordinator.trace(now, &event),
            }
        }
        let read: Vec<_> = lines.borrow().iter().map(|line| Entry::read(line).expect("a line")).collect();
        assert_eq!(read.iter().map(|e| e.input.clone()).collect::<Vec<_>>(), expected);
        for (n, entry) in read.iter().enumerate() {
            assert_eq!((entry.number, entry.at), (Some(n as u64), n as u64 * MS));
        }
    }
}
