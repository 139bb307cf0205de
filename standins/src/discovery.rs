//! Discovery: the list of endpoints with its watch, and the door for notices. Each dispatcher has an agent of its
//! own, as on its own machine: what the agent has written counts as told.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::audit::{End, Heard, Recorder};
use crate::scripted::{Reply, Server, answer, lock, until};
use crate::wire::Message;

/// The longest that a watch is let wait.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// The line of an endpoint in the list.
pub fn line(name: &str, address: SocketAddr, dest: u64, status: &str, weight: f64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"k","group":{dest},"status":"{status}","weight":{weight:.3},"since_ms":0}}"#
    )
}

/// The line of an endpoint that is a scripted server.
pub fn entry(name: &str, server: &Server, dest: u64, status: &str) -> String {
    line(name, server.address, dest, status, 1.0)
}

#[derive(Default)]
struct List {
    index: u64,
    /// By endpoint's key: the version of its last change, its line, whether it takes new work, and its number.
    lines: BTreeMap<String, Line>,
    /// Watches of versions before this one are told the whole list.
    whole_from: u64,
    silent: bool,
    unreadable: bool,
    /// Nothing newer than this is told before then.
    late_until: Option<Instant>,
}

#[derive(Clone)]
struct Line {
    changed: u64,
    text: String,
    told: Option<(usize, bool)>,
}

#[derive(Default)]
struct Shared {
    list: Mutex<List>,
    changed: Condvar,
}

/// One dispatcher's agent of discovery.
pub struct Discovery {
    /// The server that plays it.
    pub server: Server,
    shared: Arc<Shared>,
    /// Notices that it has taken, in their order; not kept where a recorder hears them.
    pub notices: Arc<Mutex<Vec<Value>>>,
    /// How many posts of notices are turned away first.
    pub deaf: Arc<Mutex<usize>>,
}

impl Discovery {
    /// An agent that has nothing to tell yet, so that what the configuration knows stands.
    pub fn start() -> Self {
        Self::with(None)
    }

    /// The agent of dispatcher `node` in a run with an auditor.
    pub fn audited(recorder: Recorder, node: usize) -> Self {
        Self::with(Some((recorder, node)))
    }

    fn with(recorder: Option<(Recorder, usize)>) -> Self {
        let shared = Arc::new(Shared::default());
        lock(&shared.list).index = 1;
        let notices: Arc<Mutex<Vec<Value>>> = Arc::default();
        let deaf: Arc<Mutex<usize>> = Arc::default();
        let (list, kept, turned_away) = (shared.clone(), notices.clone(), deaf.clone());
        let keeps = recorder.is_none();
        let handler = move |_: usize, request: &Message| {
            if request.line.starts_with("POST /v1/notices") {
                let mut deaf = lock(&turned_away);
                if *deaf > 0 {
                    *deaf -= 1;
                    return answer("500 Not Now");
                }
                return take_notices(request, recorder.as_ref(), &kept);
            }
            list.serve(request, recorder.as_ref())
        };
        let server = if keeps { Server::start(handler) } else { Server::forgetful(handler) };
        Discovery { server, shared, notices, deaf }
    }

    /// Tells nothing any more.
    pub fn silence(&self) {
        self.change(|list| list.silent = true);
    }

    /// Tells again.
    pub fn speak(&self) {
        self.change(|list| list.silent = false);
    }

    /// Whether one entry of each list is spoilt, so that it can't be read.
    pub fn spoil(&self, spoilt: bool) {
        self.change(|list| list.unreadable = spoilt);
    }

    /// Tells nothing newer for so long.
    pub fn delay(&self, by: Duration) {
        self.change(|list| list.late_until = Some(Instant::now() + by));
    }

    /// Is started anew: the same list, numbered from the second version on, and told as changes to whoever asks for them.
    pub fn rewind(&self) {
        self.change(|list| {
            (list.index, list.whole_from) = (2, 0);
            list.lines.values_mut().for_each(|line| line.changed = 2);
        });
    }

    fn change(&self, change: impl FnOnce(&mut List)) {
        change(&mut lock(&self.shared.list));
        self.shared.changed.notify_all();
    }

    /// Has a new list ready for whoever asks next.
    pub fn tell_later(&self, entries: &[String]) -> u64 {
        let mut list = lock(&self.shared.list);
        list.index += 1;
        (list.whole_from, list.lines) = (list.index, BTreeMap::new());
        for (n, text) in entries.iter().enumerate() {
            let line = Line { changed: list.index, text: text.clone(), told: None };
            list.lines.insert(format!("{n:09}"), line);
        }
        let index = list.index;
        drop(list);
        self.shared.changed.notify_all();
        index
    }

    /// Tells a new list, and waits until the dispatcher asks for what comes after it.
    pub fn tell(&self, entries: &[String]) {
        let index = self.tell_later(entries);
        until("the watch goes on", || {
            let heard = lock(&self.server.heard);
            heard.iter().any(|m| m.line.contains(&format!("index={index}&"))).then_some(())
        });
    }

    /// Changes the lines of some endpoints: name, line, number, and whether they take new work.
    pub fn list(&self, entries: impl IntoIterator<Item = (String, String, usize, bool)>) {
        self.change(|list| {
            list.index += 1;
            for (name, text, number, takes) in entries {
                let line = Line { changed: list.index, text, told: Some((number, takes)) };
                list.lines.insert(name, line);
            }
        });
    }

    /// The whole list as it is, for a configuration's `known`.
    pub fn known(&self) -> String {
        let list = lock(&self.shared.list);
        list.lines.values().map(|line| line.text.as_str()).collect::<Vec<_>>().join(",")
    }

    /// The notice on this message, once it has come.
    pub fn notice(&self, reference: &str) -> Value {
        until("a notice comes", || lock(&self.notices).iter().find(|n| n["ref"] == reference).cloned())
    }
}

fn take_notices(request: &Message, recorder: Option<&(Recorder, usize)>, kept: &Mutex<Vec<Value>>) -> Reply {
    let text = String::from_utf8_lossy(&request.body);
    let Ok(all) = text.lines().map(serde_json::from_str).collect::<Result<Vec<Value>, _>>() else {
        return answer("400 Not JSON");
    };
    match recorder {
        None => lock(kept).extend(all),
        Some((recorder, _)) => {
            for notice in &all {
                let end = match notice["result"].as_str() {
                    Some("dead") => End::Dead,
                    Some("bounced") => End::Bounced,
                    _ => return answer("400 What Result"),
                };
                let Some(reference) = notice["ref"].as_str() else { return answer("400 What Message") };
                recorder.hear(Heard::Noticed { reference: reference.into(), end });
            }
        }
    }
    answer("204 No Content")
}

impl Shared {
    fn serve(&self, request: &Message, recorder: Option<&(Recorder, usize)>) -> Reply {
        let number = |name: &str| {
            let found = request.line.split(['?', '&', ' ']).find_map(|part| part.strip_prefix(name));
            found.and_then(|n| n.parse::<u64>().ok())
        };
        let since = number("index=");
        let wait = Duration::from_millis(number("wait=").unwrap_or(0)).min(LONGEST_WAIT);
        let until = Instant::now() + wait;
        let mut list = lock(&self.list);
        loop {
            if list.silent {
                return answer("503 Down");
            }
            let now = Instant::now();
            let late = list.late_until.is_some_and(|at| at > now);
            if since.is_none() || (list.index > since.unwrap_or(0) && !late) || now >= until {
                return list.render(since, late, recorder);
            }
            let mut next = until;
            if let Some(at) = list.late_until.filter(|at| *at > now) {
                next = next.min(at);
            }
            let waited = self.changed.wait_timeout(list, next - now);
            list = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl List {
    /// What is newer than that version, or all; and the auditor hears what was told.
    fn render(&self, since: Option<u64>, late: bool, recorder: Option<&(Recorder, usize)>) -> Reply {
        let since_index = since.unwrap_or(0);
        let index = if late { since_index.max(1) } else { self.index };
        let nothing = self.index == 1 || late;
        let whole = !nothing && (since.is_none() || since_index < self.whole_from);
        let mut text = format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":["#);
        let mut first = true;
        let told = self.lines.values().filter(|line| !nothing && (whole || line.changed > since_index));
        for line in told {
            let comma = if first { "" } else { "," };
            if first && self.unreadable {
                let spoilt = line.text.replace("\"address\":\"", "\"address\":\"nowhere ");
                let _ = write!(text, "{comma}{spoilt}");
            } else {
                let _ = write!(text, "{comma}{}", line.text);
            }
            if let (Some((recorder, node)), Some((endpoint, takes))) = (recorder, line.told) {
                // One that can't be read may be a drain; it does not count as told that it is none.
                if !(first && self.unreadable && takes) {
                    recorder.hear(Heard::Listed { node: *node, endpoint, takes });
                }
            }
            first = false;
        }
        text.push_str("]}");
        Reply::Answer("200 OK", text)
    }
}
