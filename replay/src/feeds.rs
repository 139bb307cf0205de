//! What a porter did, second by second, and what must not be.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use millpost_agent::{Effect, Input};
use millpost_protocol::{PeerMessage, Version, ViewChange};
use millpost_scheduler::SECOND;

use crate::play::Pass;

/// Seconds without any input that are shown as they are; more are passed over.
const SILENT: u64 = 60;
/// Breaches that are told of each rule.
const TOLD: usize = 5;
/// Feeds at once.
const MOST: usize = 2;

/// What a porter did in a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Lines of feeds, and their bytes.
    pub lines: usize,
    /// Bytes of these lines.
    pub bytes: usize,
    /// Letters of the stall.
    pub letters: usize,
    /// Feeds that were opened, that ended, and that were closed from here.
    pub feeds: [usize; 3],
    /// Notes told to the stall, and posted to control.
    pub notes: [usize; 2],
    /// At the end of the second: feeds that are open, the configuration held and the one that the stall acts on, instances, and the
    /// fence of the steward.
    pub stand: [u64; 5],
}

/// What must not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Must {
    /// The stall is told nothing older than before.
    Newer,
    /// Two feeds at most are open, of two addresses, beside those of machines that have lost contact.
    Two,
    /// Notes go beside feeds that are open.
    Open,
}

impl Must {
    /// All of them.
    pub const ALL: [Must; 3] = [Must::Newer, Must::Two, Must::Open];

    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Must::Newer => "nothing older is told",
            Must::Two => "two feeds, of two machines",
            Must::Open => "notes go beside open feeds",
        }
    }
}

/// Counts a porter's play by second, and watches it.
#[derive(Debug, Default)]
pub struct Feeds {
    second: Option<u64>,
    row: Row,
    rows: Vec<(u64, Row)>,
    open: BTreeMap<u64, SocketAddr>,
    revision: u64,
    stalls: Version,
    instances: Version,
    broken: BTreeMap<Must, (usize, Vec<String>)>,
}

impl Feeds {
    /// Takes an input and what came of it in.
    pub fn see(&mut self, pass: &Pass<'_>) {
        let now = pass.at / SECOND;
        let mut second = *self.second.get_or_insert(now);
        while second < now {
            self.rows.push((second, self.row.clone()));
            self.row = Row { stand: self.row.stand, ..Row::default() };
            second = if second + SILENT < now { now } else { second + 1 };
            self.second = Some(second);
        }
        match pass.input {
            Input::FeedLine { line, .. } => {
                self.row.lines += 1;
                self.row.bytes += line.len();
            }
            Input::ProxyMessages(_) => self.row.letters += 1,
            Input::FeedEnded { feed } => {
                self.row.feeds[1] += 1;
                self.open.remove(feed);
            }
            _ => {}
        }
        for out in pass.outs {
            self.out(pass, out);
        }
        let round = pass.round;
        let fence = round.feeds().leader().map_or(0, |(fence, _)| fence);
        let newest = round.latest();
        self.row.stand = [
            self.open.len() as u64,
            newest.revision(),
            round.proxy_revision(),
            newest.instances() as u64,
            fence,
        ];
    }

    fn out(&mut self, pass: &Pass<'_>, out: &Effect) {
        match out {
            Effect::Open { feed, address, .. } => {
                self.row.feeds[0] += 1;
                let most = MOST + pass.round.feeds().feeds_without_contact();
                if self.open.len() >= most || self.open.values().any(|a| a == address) {
                    self.breach(Must::Two, pass, format!("{address} beside {:?}", self.open));
                }
                self.open.insert(*feed, *address);
            }
            Effect::Close { feed } => {
                self.row.feeds[2] += 1;
                self.open.remove(feed);
            }
            Effect::SendToControl { feed, to, .. } => {
                self.row.notes[1] += 1;
                if self.open.get(feed) != Some(to) {
                    self.breach(Must::Open, pass, format!("feed {feed} of {to}"));
                }
            }
            Effect::SendToProxy(note) => {
                self.row.notes[0] += 1;
                self.told(pass, note);
            }
            _ => {}
        }
    }

    fn told(&mut self, pass: &Pass<'_>, note: &PeerMessage) {
        let (was, is) = match note {
            PeerMessage::Config { revision, .. }
            | PeerMessage::PackedConfig { revision, .. }
            | PeerMessage::Patch { revision, .. }
            | PeerMessage::PackedPatch { revision, .. } => {
                ((std::mem::replace(&mut self.revision, *revision), 0), (*revision, 0))
            }
            PeerMessage::FullView { version, .. } | PeerMessage::ViewChange(ViewChange { version, .. }) => {
                (std::mem::replace(&mut self.stalls, *version), *version)
            }
            PeerMessage::Instances { version, .. } => {
                (std::mem::replace(&mut self.instances, *version), *version)
            }
            _ => return,
        };
        if is < was {
            self.breach(Must::Newer, pass, format!("{is:?} after {was:?}"));
        }
    }

    fn breach(&mut self, of: Must, pass: &Pass<'_>, what: String) {
        let (count, told) = self.broken.entry(of).or_default();
        *count += 1;
        if told.len() < TOLD {
            told.push(format!("  line {}, {:.6} s: {what}\n", pass.line, pass.at as f64 / SECOND as f64));
        }
    }

    /// How often a rule was broken.
    pub fn count(&self, of: Must) -> usize {
        self.broken.get(&of).map_or(0, |(count, _)| *count)
    }

    /// The seconds so far.
    pub fn rows(&self) -> Vec<(u64, Row)> {
        let last = self.second.map(|second| (second, self.row.clone()));
        self.rows.iter().cloned().chain(last).collect()
    }

    /// As text, and whether all rules were kept.
    pub fn text(&self) -> (String, bool) {
        let mut text = format!(
            "{:>6} {:>6} {:>8} {:>7} {:>6} {:>5} {:>6} {:>5} {:>6} {:>6} {:>8} {:>8} {:>9} {:>6}\n",
            "second",
            "lines",
            "bytes",
            "letters",
            "opened",
            "ended",
            "closed",
            "told",
            "posted",
            "follow",
            "revision",
            "acts on",
            "instances",
            "fence"
        );
        for (second, row) in self.rows() {
            let ([opened, ended, closed], [told, posted]) = (row.feeds, row.notes);
            let [open, revision, acts, instances, fence] = row.stand;
            let _ = writeln!(
                text,
                "{second:>6} {:>6} {:>8} {:>7} {opened:>6} {ended:>5} {closed:>6} {told:>5} {posted:>6} {open:>6} {revision:>8} {acts:>8} {instances:>9} {fence:>6}",
                row.lines, row.bytes, row.letters,
            );
        }
        for of in Must::ALL {
            let count = self.count(of);
            let word = if count == 0 { "kept".to_owned() } else { format!("broken {count} times") };
            let _ = writeln!(text, "{:<36} {word}", of.word());
            self.broken.get(&of).into_iter().flat_map(|(_, told)| told).for_each(|t| text.push_str(t));
        }
        (text, self.broken.is_empty())
    }
}
