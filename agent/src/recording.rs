//! Records an agent's inputs as lines of JSON for replay: each input with its time. [`Recorded`] writes them,
//! [`Entry::read`] parses them.
//!
//! Times are nanoseconds since the process started, whole numbers below 2^53. Lines of feeds and message
//! batches are recorded unchanged, as text (`l`) or, if they are not UTF-8, as hex digits (`x`).

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use millpost_protocol::frame::Fold;
use millpost_protocol::line::{self, Line, Recorder, Sink};
use millpost_protocol::{Fault, string, whole};
use tinyjson::JsonValue;

use crate::{Agent, AgentConfig, Effect, Input, Nanos};

/// The value of the key `of` in the first line of an agent's recording.
pub const ROUND: &str = "round";

/// An agent whose inputs are written to a sink, if there is one. Without a sink it costs nothing.
#[derive(Debug)]
pub struct Recorded {
    agent: Agent,
    recorder: Option<Recorder>,
}

impl std::ops::Deref for Recorded {
    type Target = Agent;
    // Read access only: each method that changes the agent is wrapped below.
    fn deref(&self) -> &Agent {
        &self.agent
    }
}

impl Recorded {
    /// As [`Agent::new`].
    pub fn new(config: AgentConfig, now: Nanos, sink: Option<Sink>) -> Self {
        let mut recorded =
            Recorded { agent: Agent::new(config.clone(), now), recorder: sink.map(Recorder::new) };
        recorded.record(now, &Input::New(config));
        recorded
    }

    fn record(&mut self, now: Nanos, input: &Input) {
        if let Some(recorder) = &mut self.recorder {
            let mut line = recorder.begin(input_name(input), now);
            write(&mut line, input);
            recorder.put(line);
        }
    }

    /// As [`Agent::handle`].
    pub fn handle(&mut self, now: Nanos, input: Input) {
        self.record(now, &input);
        self.agent.handle(now, input);
    }

    /// As [`Agent::take`]. Not an input: the effects only go into the recording's digest.
    pub fn take(&mut self) -> Vec<Effect> {
        let effects = self.agent.take();
        if let Some(recorder) = &mut self.recorder {
            // Log lines are not decisions, so their wording may change between versions.
            let decisions = effects.iter().filter(|effect| !matches!(effect, Effect::Log(..)));
            decisions.for_each(|effect| recorder.digest().fold(|parts| effect.fold(parts)));
        }
        effects
    }
}

impl Effect {
    /// Adds all of the effect to a digest.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            Effect::Open { feed, address, path, messages } => {
                into.text("open").whole(*feed).text(&address.to_compact_string()).text(path);
                messages.iter().for_each(|message| message.fold(into));
            }
            Effect::Close { feed } => {
                into.text("close").whole(*feed);
            }
            Effect::SendToControl { feed, to, message } => {
                message.fold(into.text("post").whole(*feed).text(&to.to_compact_string()));
            }
            Effect::SendToProxy(message) => message.fold(into.text("tell")),
            Effect::AnswerProxy { read } => {
                into.text("answer").whole((*read).into());
            }
            Effect::ReadSettings => {
                into.text("read_settings");
            }
            Effect::Log(level, text) => {
                into.text("log").text(level.as_str()).text(text);
            }
            Effect::Exit => {
                into.text("end");
            }
        }
    }
}

/// A line of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its number in this run of the process; lines written by hand may have none.
    pub number: Option<u64>,
    /// When the input came, in nanoseconds since the process started.
    pub at: Nanos,
    /// The input.
    pub input: Input,
}

/// An input's name in a recording.
pub fn input_name(input: &Input) -> &'static str {
    match input {
        Input::New(_) => "new",
        Input::FeedLine { .. } => "line",
        Input::FeedEnded { .. } => "ended",
        Input::ControlAnswered(_) => "answered",
        Input::ProxyMessages(_) => "letter",
        Input::ProxyUp => "up",
        Input::ProxyMessagesLost => "unsent",
        Input::ProxyQueueFull => "full",
        Input::MessagesLost { .. } => "lost",
        Input::Seeds(_) => "seeds",
        Input::Shutdown => "leave",
        Input::Tick => "tick",
    }
}

fn write(line: &mut Line, input: &Input) {
    match input {
        Input::New(config) => {
            line.text("of", ROUND).text("me", &config.name).whole("life", config.life);
            seeds(line, &config.seeds).time("grace", config.grace);
        }
        Input::FeedLine { feed, line: bytes } => {
            line.whole("feed", *feed);
            body(line, bytes);
        }
        Input::FeedEnded { feed } => {
            line.whole("feed", *feed);
        }
        Input::ControlAnswered(bytes) | Input::ProxyMessages(bytes) => body(line, bytes),
        Input::MessagesLost { feed, messages } => {
            line.whole("feed", *feed).whole("c", *messages);
        }
        Input::Seeds(all) => {
            seeds(line, all);
        }
        Input::ProxyUp | Input::ProxyMessagesLost | Input::ProxyQueueFull | Input::Shutdown | Input::Tick => {
        }
    }
}

fn seeds<'a>(line: &'a mut Line, seeds: &[SocketAddr]) -> &'a mut Line {
    let seeds: Vec<CompactString> = seeds.iter().map(|a| a.to_string().into()).collect();
    line.names("seeds", &seeds)
}

fn body(line: &mut Line, bytes: &Bytes) {
    match std::str::from_utf8(bytes) {
        Ok(text) => line.text("l", text),
        Err(_) => {
            let mut hex = String::with_capacity(bytes.len() * 2);
            bytes.iter().for_each(|byte| {
                let _ = write!(hex, "{byte:02x}");
            });
            line.text("x", &hex)
        }
    };
}

type Object = HashMap<String, JsonValue>;

fn fault(key: &str, reason: &'static str) -> Fault {
    Fault { key: key.to_owned(), reason }
}

fn read_seeds(from: &Object) -> Result<Vec<SocketAddr>, Fault> {
    let read = |seed: &CompactString| seed.parse().map_err(|_| fault("seeds", "not an address with a port"));
    line::names(from, "seeds")?.iter().map(read).collect()
}

fn read_body(from: &Object) -> Result<Bytes, Fault> {
    match (from.get("l"), from.get("x")) {
        (Some(JsonValue::String(text)), None) => Ok(Bytes::from(text.clone())),
        (Some(_), _) => Err(fault("l", "not text, or both l and x are present")),
        (None, Some(JsonValue::String(hex))) => {
            let digits: Option<Vec<u32>> = hex.chars().map(|c| c.to_digit(16)).collect();
            match digits {
                Some(digits) if digits.len() % 2 == 0 => {
                    Ok(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
                }
                _ => Err(fault("x", "not an even number of hex digits")),
            }
        }
        (None, Some(_)) => Err(fault("x", "not an even number of hex digits")),
        (None, None) => Err(fault("l", "missing")),
    }
}

impl Entry {
    /// Formats the entry as a line, without the newline.
    pub fn write(&self) -> String {
        let mut line = line::begin(input_name(&self.input), self.number, self.at);
        write(&mut line, &self.input);
        line.end()
    }

    /// Parses a line.
    pub fn read(text: &str) -> Result<Entry, Fault> {
        Entry::from_json(&line::read(text)?)
    }

    /// Converts a line that was parsed as a JSON object.
    pub fn from_json(from: &Object) -> Result<Entry, Fault> {
        let feed = || line::large(from, "feed");
        let input = match string(from, "in")?.as_str() {
            "new" if string(from, "of")? != ROUND => return Err(fault("of", "not a recording of an agent")),
            "new" => Input::New(AgentConfig {
                name: string(from, "me")?,
                life: line::large(from, "life")?,
                seeds: read_seeds(from)?,
                grace: whole(from, "grace")?,
            }),
            "line" => Input::FeedLine { feed: feed()?, line: read_body(from)? },
            "ended" => Input::FeedEnded { feed: feed()? },
            "answered" => Input::ControlAnswered(read_body(from)?),
            "letter" => Input::ProxyMessages(read_body(from)?),
            "up" => Input::ProxyUp,
            "unsent" => Input::ProxyMessagesLost,
            "full" => Input::ProxyQueueFull,
            "lost" => Input::MessagesLost { feed: feed()?, messages: whole(from, "c")? },
            "seeds" => Input::Seeds(read_seeds(from)?),
            "leave" => Input::Shutdown,
            "tick" => Input::Tick,
            _ => return Err(fault("in", "not an input of an agent")),
        };
        let number = from.contains_key("n").then(|| whole(from, "n")).transpose()?;
        Ok(Entry { number, at: whole(from, "at")?, input })
    }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::rc::Rc;

    use super::*;
    use crate::{MS, SECOND};

    fn all() -> Vec<Input> {
        let seeds = vec![SocketAddr::from(([10, 0, 0, 1], 8428))];
        let config =
            AgentConfig { name: "edge-1".into(), life: u64::MAX, seeds: seeds.clone(), grace: 6 * SECOND };
        let invalid = Bytes::from_static(b"{\"n\":\xff\x00}");
        let long = format!(
            r#"{{"n":4,"notes":[{{"t":"steward","a":"10.0.0.2:1","f":2}}],"x":"{}"}}"#,
            "é\\\"\t".repeat(900)
        );
        vec![
            Input::New(config),
            Input::FeedLine { feed: 1, line: Bytes::from(long) },
            Input::FeedLine { feed: 1, line: invalid.clone() },
            Input::FeedEnded { feed: 1 },
            Input::ControlAnswered(Bytes::from_static(b"{}")),
            Input::ProxyMessages(Bytes::from_static(
                br#"{"from":"edge-1","life":1,"notes":[{"t":"acts","v":3,"n":0}]}"#,
            )),
            Input::ProxyMessages(invalid),
            Input::ProxyUp,
            Input::ProxyMessagesLost,
            Input::ProxyQueueFull,
            Input::MessagesLost { feed: 2, messages: 3 },
            Input::Seeds(seeds),
            Input::Tick,
            Input::Shutdown,
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
            for end in (0..text.len()).filter(|end| text.is_char_boundary(*end)).take(600) {
                assert!(Entry::read(&text[..end]).is_err());
            }
        }
    }

    #[test]
    fn a_recording_holds_all_inputs_and_replays_to_the_same_effects() {
        let lines = Rc::new(RefCell::new(Vec::new()));
        let written = Rc::clone(&lines);
        let sink: Sink = Box::new(move |line| written.borrow_mut().push(line.to_owned()));
        let inputs = all();
        let Input::New(config) = inputs[0].clone() else { panic!("the first input starts the process") };
        let mut recorded = Recorded::new(config.clone(), 0, Some(sink));
        let mut effects = recorded.take();
        for (n, input) in inputs.iter().cloned().enumerate().skip(1) {
            recorded.handle(n as u64 * 40 * MS, input);
            effects.extend(recorded.take());
        }
        let read: Vec<_> = lines.borrow().iter().map(|line| Entry::read(line).expect("a line")).collect();
        assert_eq!(read.iter().map(|e| e.input.clone()).collect::<Vec<_>>(), inputs);
        let mut replayed = Agent::new(AgentConfig { seeds: Vec::new(), ..config }, 0);
        replayed.take();
        let mut replayed_effects = Vec::new();
        for entry in read {
            replayed.handle(entry.at, entry.input);
            replayed_effects.extend(replayed.take());
        }
        assert_eq!(replayed_effects, effects);
    }
}
