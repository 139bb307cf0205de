//! A round's inputs as lines of JSON, to be played again: each input with its time. Written by [`Recorded`], read by [`Entry::read`].
//!
//! Times are nanoseconds of the process's life, whole numbers below 2^53. Lines of feeds and letters stand in it as they came, as text
//! (`l`) or, where they are none, as hex digits (`x`).

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

/// What the first line of a round says that it is of.
pub const ROUND: &str = "round";

/// A round whose inputs are told as lines, where somebody wants them. Without a sink it costs nothing.
#[derive(Debug)]
pub struct Recorded {
    round: Agent,
    tape: Option<Recorder>,
}

impl std::ops::Deref for Recorded {
    type Target = Agent;
    // What changes a round goes by the methods below.
    fn deref(&self) -> &Agent {
        &self.round
    }
}

impl Recorded {
    /// As [`Agent::new`].
    pub fn new(terms: AgentConfig, now: Nanos, sink: Option<Sink>) -> Self {
        let mut taped = Recorded { round: Agent::new(terms.clone(), now), tape: sink.map(Recorder::new) };
        taped.tell(now, &Input::New(terms));
        taped
    }

    fn tell(&mut self, now: Nanos, input: &Input) {
        if let Some(tape) = &mut self.tape {
            let mut line = tape.begin(input_name(input), now);
            write(&mut line, input);
            tape.put(line);
        }
    }

    /// As [`Agent::handle`].
    pub fn handle(&mut self, now: Nanos, input: Input) {
        self.tell(now, &input);
        self.round.handle(now, input);
    }

    /// As [`Agent::take`], which is no input.
    pub fn take(&mut self) -> Vec<Effect> {
        let effects = self.round.take();
        if let Some(tape) = &mut self.tape {
            // What is said to the log is no decision.
            let decided = effects.iter().filter(|effect| !matches!(effect, Effect::Log(..)));
            decided.for_each(|effect| tape.digest().fold(|parts| effect.fold(parts)));
        }
        effects
    }
}

impl Effect {
    /// Puts it into a digest, whole.
    pub fn fold(&self, into: &mut Fold<'_>) {
        match self {
            Effect::Open { feed, address, path, messages: notes } => {
                into.text("open").whole(*feed).text(&address.to_compact_string()).text(path);
                notes.iter().for_each(|note| note.fold(into));
            }
            Effect::Close { feed } => {
                into.text("close").whole(*feed);
            }
            Effect::SendToControl { feed, to, message: note } => {
                note.fold(into.text("post").whole(*feed).text(&to.to_compact_string()));
            }
            Effect::SendToProxy(note) => note.fold(into.text("tell")),
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
    /// Its number in the life; lines made by hand may have none.
    pub number: Option<u64>,
    /// When it came, in the process's life.
    pub at: Nanos,
    /// What came.
    pub input: Input,
}

/// The word for an input in a line.
pub fn input_name(input: &Input) -> &'static str {
    match input {
        Input::New(_) => "new",
        Input::FeedLine { .. } => "line",
        Input::FeedEnded { .. } => "ended",
        Input::ControlAnswered(_) => "answered",
        Input::ProxyMessages(_) => "letter",
        Input::ProxyUp => "up",
        Input::ProxyQueueFull => "full",
        Input::MessagesLost { .. } => "lost",
        Input::Seeds(_) => "seeds",
        Input::Shutdown => "leave",
        Input::Tick => "tick",
    }
}

fn write(line: &mut Line, input: &Input) {
    match input {
        Input::New(terms) => {
            line.text("of", ROUND).text("me", &terms.name).whole("life", terms.life);
            seeds(line, &terms.seeds).time("grace", terms.grace);
        }
        Input::FeedLine { feed, line: of } => {
            line.whole("feed", *feed);
            body(line, of);
        }
        Input::FeedEnded { feed } => {
            line.whole("feed", *feed);
        }
        Input::ControlAnswered(of) | Input::ProxyMessages(of) => body(line, of),
        Input::MessagesLost { feed, messages: notes } => {
            line.whole("feed", *feed).whole("c", *notes);
        }
        Input::Seeds(all) => {
            seeds(line, all);
        }
        Input::ProxyUp | Input::ProxyQueueFull | Input::Shutdown | Input::Tick => {}
    }
}

fn seeds<'a>(line: &'a mut Line, seeds: &[SocketAddr]) -> &'a mut Line {
    let seeds: Vec<CompactString> = seeds.iter().map(|a| a.to_string().into()).collect();
    line.names("seeds", &seeds)
}

fn body(line: &mut Line, of: &Bytes) {
    match std::str::from_utf8(of) {
        Ok(text) => line.text("l", text),
        Err(_) => {
            let mut hex = String::with_capacity(of.len() * 2);
            of.iter().for_each(|byte| {
                let _ = write!(hex, "{byte:02x}");
            });
            line.text("x", &hex)
        }
    };
}

type Parts = HashMap<String, JsonValue>;

fn fault(key: &str, reason: &'static str) -> Fault {
    Fault { key: key.to_owned(), reason }
}

fn read_seeds(from: &Parts) -> Result<Vec<SocketAddr>, Fault> {
    let read = |seed: &CompactString| seed.parse().map_err(|_| fault("seeds", "no address with a port"));
    line::names(from, "seeds")?.iter().map(read).collect()
}

fn read_body(from: &Parts) -> Result<Bytes, Fault> {
    match (from.get("l"), from.get("x")) {
        (Some(JsonValue::String(text)), None) => Ok(Bytes::from(text.clone())),
        (Some(_), _) => Err(fault("l", "no text, or one of two")),
        (None, Some(JsonValue::String(hex))) => {
            let digits: Option<Vec<u32>> = hex.chars().map(|c| c.to_digit(16)).collect();
            match digits {
                Some(digits) if digits.len() % 2 == 0 => {
                    Ok(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
                }
                _ => Err(fault("x", "no hex digits")),
            }
        }
        (None, Some(_)) => Err(fault("x", "no hex digits")),
        (None, None) => Err(fault("l", "missing")),
    }
}

impl Entry {
    /// As a line, without its end.
    pub fn write(&self) -> String {
        let mut line = line::begin(input_name(&self.input), self.number, self.at);
        write(&mut line, &self.input);
        line.end()
    }

    /// Reads a line.
    pub fn read(text: &str) -> Result<Entry, Fault> {
        Entry::from_json(&line::read(text)?)
    }

    /// Reads a line that was read as JSON.
    pub fn from_json(from: &Parts) -> Result<Entry, Fault> {
        let feed = || line::large(from, "feed");
        let input = match string(from, "in")?.as_str() {
            "new" if string(from, "of")? != ROUND => return Err(fault("of", "no round")),
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
            "full" => Input::ProxyQueueFull,
            "lost" => Input::MessagesLost { feed: feed()?, messages: whole(from, "c")? },
            "seeds" => Input::Seeds(read_seeds(from)?),
            "leave" => Input::Shutdown,
            "tick" => Input::Tick,
            _ => return Err(fault("in", "no input of a round")),
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
        let terms =
            AgentConfig { name: "edge-1".into(), life: u64::MAX, seeds: seeds.clone(), grace: 6 * SECOND };
        let spoilt = Bytes::from_static(b"{\"n\":\xff\x00}");
        let long = format!(
            r#"{{"n":4,"notes":[{{"t":"steward","a":"10.0.0.2:1","f":2}}],"x":"{}"}}"#,
            "é\\\"\t".repeat(900)
        );
        vec![
            Input::New(terms),
            Input::FeedLine { feed: 1, line: Bytes::from(long) },
            Input::FeedLine { feed: 1, line: spoilt.clone() },
            Input::FeedEnded { feed: 1 },
            Input::ControlAnswered(Bytes::from_static(b"{}")),
            Input::ProxyMessages(Bytes::from_static(
                br#"{"from":"edge-1","life":1,"notes":[{"t":"acts","v":3,"n":0}]}"#,
            )),
            Input::ProxyMessages(spoilt),
            Input::ProxyUp,
            Input::ProxyQueueFull,
            Input::MessagesLost { feed: 2, messages: 3 },
            Input::Seeds(seeds),
            Input::Tick,
            Input::Shutdown,
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
            for end in (0..text.len()).filter(|end| text.is_char_boundary(*end)).take(600) {
                assert!(Entry::read(&text[..end]).is_err());
            }
        }
    }

    #[test]
    fn what_a_taped_round_tells_plays_as_it_went() {
        let lines = Rc::new(RefCell::new(Vec::new()));
        let told = Rc::clone(&lines);
        let sink: Sink = Box::new(move |line| told.borrow_mut().push(line.to_owned()));
        let inputs = all();
        let Input::New(terms) = inputs[0].clone() else { panic!("a life begins") };
        let mut taped = Recorded::new(terms.clone(), 0, Some(sink));
        let mut effects = taped.take();
        for (n, input) in inputs.iter().cloned().enumerate().skip(1) {
            taped.handle(n as u64 * 40 * MS, input);
            effects.extend(taped.take());
        }
        let read: Vec<_> = lines.borrow().iter().map(|line| Entry::read(line).expect("a line")).collect();
        assert_eq!(read.iter().map(|e| e.input.clone()).collect::<Vec<_>>(), inputs);
        let mut again = Agent::new(AgentConfig { seeds: Vec::new(), ..terms }, 0);
        again.take();
        let mut same = Vec::new();
        for entry in read {
            again.handle(entry.at, entry.input);
            same.extend(again.take());
        }
        assert_eq!(same, effects);
    }
}
