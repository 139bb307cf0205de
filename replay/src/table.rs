//! What happened, second by second.

use std::collections::BTreeMap;
use std::fmt::Write;

use compact_str::CompactString;
use millpost_autoscaler::recording::Input as ScalerInput;
use millpost_autoscaler::{Effect, State};
use millpost_protocol::PeerMessage;
use millpost_scheduler::recording::Input;
use millpost_scheduler::{Action, MS, Nanos, SECOND, Stage};

use crate::play::{Step, Turn};

/// Seconds without any input that are shown as they are; more are passed over.
const SILENT: u64 = 60;

/// What a desk did in a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Asks of this stall's own.
    pub asks: usize,
    /// Asks that came by mail.
    pub mail: usize,
    /// Grants, of both.
    pub granted: usize,
    /// Refusals, of both: no slot in time, thinned out, budget spent, function unknown.
    pub refused: [usize; 4],
    /// Requests that wait here, at the end of the second.
    pub queue: usize,
    /// Permits of this desk that are out, at the end of the second.
    pub out: usize,
    /// Instances that boot, are ready, and drain, at the end of the second.
    pub stages: [usize; 3],
    /// Instances that this owner wants, at the end of the second.
    pub want: u32,
    /// From ask to grant, of both.
    waits: Vec<Nanos>,
}

impl Row {
    /// The wait that a part of the grants, in hundredths, did not go beyond.
    pub fn wait(&self, part: usize) -> Option<Nanos> {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let last = (waits.len() * part).div_ceil(100).max(1) - 1;
        waits.get(last).copied()
    }

    /// Puts another second's events to this one's; how things stood stays the later's.
    fn add(&mut self, other: &Row) {
        self.asks += other.asks;
        self.mail += other.mail;
        self.granted += other.granted;
        for (sum, n) in self.refused.iter_mut().zip(other.refused) {
            *sum += n;
        }
        (self.queue, self.out, self.stages, self.want) = (other.queue, other.out, other.stages, other.want);
        self.waits.extend(&other.waits);
    }
}

/// Counts a desk's play by second.
#[derive(Debug, Default)]
pub struct Table {
    service: Option<CompactString>,
    second: u64,
    row: Row,
    rows: Vec<(u64, Row)>,
    /// Asks by asker, none for this stall: when each came, for which function, and whether it was granted.
    open: BTreeMap<(Option<CompactString>, u64), (Nanos, CompactString, bool)>,
    wants: BTreeMap<CompactString, u32>,
}

impl Table {
    /// Of all functions, or of one.
    pub fn new(service: Option<&str>) -> Self {
        Table { service: service.map(Into::into), ..Table::default() }
    }

    fn counts(&self, service: &str) -> bool {
        self.service.as_deref().is_none_or(|one| one == service)
    }

    fn refuse(&mut self, who: Option<CompactString>, id: u64, why: &str) {
        let Some((_, service, _)) = self.open.remove(&(who, id)) else { return };
        if self.counts(&service) {
            let why = if why == "moved" { "unknown" } else { why };
            let kind = ["full", "skip", "spent", "unknown"].iter().position(|w| *w == why).unwrap_or(0);
            self.row.refused[kind] += 1;
        }
    }

    fn grant(&mut self, who: Option<CompactString>, id: u64, now: Nanos) {
        let Some((since, service, granted)) = self.open.get_mut(&(who, id)) else { return };
        // A permit that is told again is no further one.
        if std::mem::replace(granted, true) {
            return;
        }
        let (since, service) = (*since, service.clone());
        if self.counts(&service) {
            self.row.granted += 1;
            self.row.waits.push(now.saturating_sub(since));
        }
    }

    /// Takes a step in. The state before it is that of the seconds that have ended.
    pub fn see(&mut self, step: &Step<'_>) {
        while self.second < step.at / SECOND {
            self.turn();
            if self.second + SILENT < step.at / SECOND {
                self.second = step.at / SECOND;
            }
        }
        match step.input {
            Input::RequestPermit { ask, .. } => {
                if self.counts(&ask.service) {
                    self.row.asks += 1;
                }
                if let Some(id) = step.given {
                    self.open.insert((None, id), (step.at, ask.service.clone(), false));
                }
            }
            Input::PeerMessages { from, messages: notes, .. } => {
                for note in notes {
                    if let PeerMessage::RequestPermit { id, service, .. } = note {
                        let key = (Some(from.clone()), *id);
                        if self.counts(service) && !self.open.contains_key(&key) {
                            self.row.mail += 1;
                        }
                        self.open.entry(key).or_insert((step.at, service.clone(), false));
                    }
                }
            }
            _ => {}
        }
        let name_of =
            |to: &str| step.desk.owners().peers().iter().find(|p| p.address == to).map(|p| p.name.clone());
        for out in step.outs {
            match out {
                Action::Granted { ask, .. } => self.grant(None, *ask, step.at),
                Action::Refused { ask, reason: no } => self.refuse(None, *ask, no.as_str()),
                Action::Send { to, note: PeerMessage::Grant { id, .. } } => {
                    self.grant(name_of(to), *id, step.at)
                }
                Action::Send { to, note: PeerMessage::Denied { id, why, .. } } => {
                    self.refuse(name_of(to), *id, why)
                }
                Action::NotifyController(PeerMessage::DesiredInstances { service, count, .. }) => {
                    self.wants.insert(service.clone(), *count);
                }
                _ => {}
            }
        }
        match step.input {
            Input::Finish { id, .. } | Input::Cancel { id } => {
                self.open.remove(&(None, *id));
            }
            Input::PeerMessages { from, messages: notes, .. } => {
                for note in notes {
                    if let PeerMessage::CancelRequest { id } | PeerMessage::ReleasePermit { id, .. } = note {
                        self.open.remove(&(Some(from.clone()), *id));
                    }
                }
            }
            _ => {}
        }
        self.stand(step);
    }

    /// How things stand now.
    fn stand(&mut self, step: &Step<'_>) {
        let broker = step.desk.scheduler();
        // Ticks come all the time: the last of a second is near enough to its end.
        if matches!(step.input, Input::Tick | Input::ControllerMessage(_) | Input::New { .. }) {
            let queue = broker.queues().filter(|(service, _)| self.counts(service)).map(|(_, n)| n).sum();
            let out = broker.permits().filter(|(_, _, service, _)| self.counts(service)).count();
            let mut stages = [0; 3];
            for instance in broker.instances().filter(|i| self.counts(&i.service)) {
                let stage = match instance.stage {
                    Stage::Booting => 0,
                    Stage::Ready => 1,
                    Stage::Draining => 2,
                };
                stages[stage] += 1;
            }
            (self.row.queue, self.row.out, self.row.stages) = (queue, out, stages);
        }
        self.row.want = self.wants.iter().filter(|(s, _)| self.counts(s)).map(|(_, n)| n).sum();
    }

    fn turn(&mut self) {
        let mut next = Row::default();
        (next.queue, next.out, next.stages, next.want) =
            (self.row.queue, self.row.out, self.row.stages, self.row.want);
        self.rows.push((self.second, std::mem::replace(&mut self.row, next)));
        self.second += 1;
    }

    /// The seconds so far, and all of them together.
    pub fn rows(mut self) -> (Vec<(u64, Row)>, Row) {
        self.turn();
        let mut sum = Row::default();
        self.rows.iter().for_each(|(_, row)| sum.add(row));
        (self.rows, sum)
    }

    /// As text.
    pub fn text(self) -> String {
        let mut text = format!(
            "{:>6} {:>6} {:>6} {:>7} {:>6} {:>5} {:>5} {:>5} {:>6} {:>5} {:>5} {:>5} {:>5} {:>5} {:>8} {:>8}\n",
            "second",
            "asks",
            "mail",
            "granted",
            "full",
            "skip",
            "spent",
            "unkn",
            "queue",
            "out",
            "boot",
            "ready",
            "drain",
            "want",
            "p50 ms",
            "p99 ms"
        );
        let (rows, sum) = self.rows();
        let mut line = |name: &str, row: &Row| {
            let ms =
                |wait: Option<Nanos>| wait.map_or("-".to_owned(), |w| format!("{:.2}", w as f64 / MS as f64));
            let ([full, skip, spent, unknown], [boot, ready, drain]) = (row.refused, row.stages);
            let _ = writeln!(
                text,
                "{name:>6} {:>6} {:>6} {:>7} {full:>6} {skip:>5} {spent:>5} {unknown:>5} {:>6} {:>5} {boot:>5} {ready:>5} {drain:>5} {:>5} {:>8} {:>8}",
                row.asks,
                row.mail,
                row.granted,
                row.queue,
                row.out,
                row.want,
                ms(row.wait(50)),
                ms(row.wait(99)),
            );
        };
        for (second, row) in &rows {
            line(&second.to_string(), row);
        }
        line("all", &sum);
        text
    }
}

/// What a scaler did in a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// Instances that owners want, at the end of the second.
    pub want: u32,
    /// Instances that boot, are ready, and drain, at the end of the second.
    pub stages: [usize; 3],
    /// Starts called; those answered well, and those answered otherwise.
    pub starts: [usize; 3],
    /// Stops, likewise.
    pub stops: [usize; 3],
    /// Instances told as gone.
    pub gone: usize,
    /// Whole lists that came.
    pub lists: usize,
}

/// Counts a scaler's play by second.
#[derive(Debug, Default)]
pub struct Rounds {
    service: Option<CompactString>,
    second: Option<u64>,
    round: Round,
    rounds: Vec<(u64, Round)>,
    wants: BTreeMap<CompactString, u32>,
    /// Starts and stops of the function that is counted.
    mine: BTreeMap<CompactString, ()>,
}

impl Rounds {
    /// Of all functions, or of one.
    pub fn new(service: Option<&str>) -> Self {
        Rounds { service: service.map(Into::into), ..Rounds::default() }
    }

    fn counts(&self, service: &str) -> bool {
        self.service.as_deref().is_none_or(|one| one == service)
    }

    fn called(&self, name: &str) -> bool {
        self.service.is_none() || self.mine.contains_key(name)
    }

    /// Takes a turn in.
    pub fn see(&mut self, turn: &Turn<'_>) {
        let now = turn.at / SECOND;
        let mut second = *self.second.get_or_insert(now);
        while second < now {
            self.rounds.push((second, self.round.clone()));
            let Round { want, stages, .. } = self.round;
            self.round = Round { want, stages, ..Round::default() };
            second = if second + SILENT < now { now } else { second + 1 };
            self.second = Some(second);
        }
        match turn.input {
            ScalerInput::Want { service, count, .. } => {
                self.wants.insert(service.clone(), *count);
            }
            ScalerInput::Started { nonce, answer } if self.called(nonce) => {
                self.round.starts[if answer.is_ok() { 1 } else { 2 }] += 1;
            }
            ScalerInput::Stopped { id, answer } if self.called(id) => {
                self.round.stops[if answer.is_ok() { 1 } else { 2 }] += 1;
            }
            ScalerInput::Listed { .. } => self.round.lists += 1,
            _ => {}
        }
        for out in turn.outs {
            match out {
                Effect::Start { service, nonce, .. } if self.counts(service) => {
                    self.mine.insert(nonce.clone(), ());
                    self.round.starts[0] += 1;
                }
                Effect::Updated { instance } if self.counts(&instance.service) => {
                    self.mine.insert(instance.id.clone(), ());
                }
                Effect::Stop { id } if self.called(id) => self.round.stops[0] += 1,
                Effect::Removed { service, .. } if self.counts(service) => self.round.gone += 1,
                _ => {}
            }
        }
        if matches!(turn.input, ScalerInput::Tick) {
            let mut stages = [0; 3];
            for instance in turn.scaler.snapshot().iter().filter(|i| self.counts(&i.service)) {
                let stage = match instance.state {
                    State::Booting => 0,
                    State::Ready => 1,
                    State::Draining => 2,
                };
                stages[stage] += 1;
            }
            self.round.stages = stages;
        }
        self.round.want = self.wants.iter().filter(|(s, _)| self.counts(s)).map(|(_, n)| n).sum();
    }

    /// The seconds so far.
    pub fn rounds(mut self) -> Vec<(u64, Round)> {
        if let Some(second) = self.second {
            self.rounds.push((second, self.round));
        }
        self.rounds
    }

    /// As text.
    pub fn text(self) -> String {
        let mut text = format!(
            "{:>6} {:>5} {:>5} {:>5} {:>5} {:>7} {:>5} {:>5} {:>7} {:>5} {:>5} {:>5} {:>6}\n",
            "second",
            "want",
            "boot",
            "ready",
            "drain",
            "starts",
            "good",
            "bad",
            "stops",
            "good",
            "bad",
            "gone",
            "lists"
        );
        for (second, round) in self.rounds() {
            let ([boot, ready, drain], [starts, started, not_started], [stops, stopped, not_stopped]) =
                (round.stages, round.starts, round.stops);
            let _ = writeln!(
                text,
                "{second:>6} {:>5} {boot:>5} {ready:>5} {drain:>5} {starts:>7} {started:>5} {not_started:>5} {stops:>7} {stopped:>5} {not_stopped:>5} {:>5} {:>6}",
                round.want, round.gone, round.lists,
            );
        }
        text
    }
}
