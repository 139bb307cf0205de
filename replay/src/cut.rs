//! Cuts a part out of a recording that plays by itself.
//!
//! What comes before the part is kept where it tells how things stand: the life's first line, the configuration, the stalls, the
//! instances that are still there, and the asks that are still open. Averages, budgets and chance are not among them, so the last
//! seconds before the part are kept whole.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::Path;

use compact_str::CompactString;
use millpost_agent::recording::Entry as RoundEntry;
use millpost_autoscaler::recording::Entry as ScalerEntry;
use millpost_protocol::PeerMessage;
use millpost_protocol::frame::{Head, sealed};
use millpost_scheduler::recording::{Entry as DeskEntry, Input};
use millpost_scheduler::{MS, Nanos, SECOND};

use crate::errors::{Error, LivesSnafu, NoLifeSnafu, NothingSnafu, SpoiltSnafu};
use crate::lines::{Entry, Lines, Which};

/// A permit outlives its deadline by no more than this, and some.
const OVERDUE: Nanos = SECOND;

/// What is cut.
#[derive(Clone, Debug)]
pub struct Part {
    /// The life; may be left out where there is one only.
    pub life: Option<usize>,
    /// Where the part begins, in the life.
    pub from: Nanos,
    /// Where it ends.
    pub to: Nanos,
    /// What is kept whole before it.
    pub warm: Nanos,
}

/// What was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Lines that were written.
    pub lines: usize,
    /// Lines of the life that were left out before the part.
    pub left_out: usize,
    /// From then on all is kept.
    pub whole_from: Nanos,
}

/// How things stand at a moment.
#[derive(Debug, Default)]
struct Standing {
    /// The line of the configuration, and those of the stalls: all of a naming, and what differs since.
    configured: Option<usize>,
    stalls: Vec<usize>,
    /// The line of each function's floor.
    floors: BTreeMap<CompactString, usize>,
    version: (u64, u64),
    alive: BTreeSet<CompactString>,
    /// Own asks that are open.
    own: BTreeSet<u64>,
    /// Those of others, until when each is looked after.
    others: BTreeMap<(CompactString, u64), Nanos>,
    lives: BTreeMap<CompactString, u64>,
}

impl Standing {
    fn see(&mut self, line: usize, entry: &DeskEntry) {
        match &entry.input {
            Input::Configure(_) => self.configured = Some(line),
            Input::RequestPermit { id: Some(id), .. } => {
                self.own.insert(*id);
            }
            Input::Cancel { id } | Input::Finish { id, .. } => {
                self.own.remove(id);
            }
            Input::ControllerMessage(PeerMessage::FullView { peers, .. }) => {
                self.stalls = vec![line];
                self.others.retain(|(who, _), _| peers.iter().any(|p| p.name == *who));
            }
            Input::ControllerMessage(PeerMessage::ViewChange(shift)) => {
                self.stalls.push(line);
                self.others.retain(|(who, _), _| !shift.left.contains(who));
            }
            Input::ControllerMessage(PeerMessage::Instances { version, all, set, gone })
                if *version >= self.version =>
            {
                self.version = *version;
                if *all {
                    self.alive.clear();
                }
                self.alive.extend(set.iter().map(|i| i.id.clone()));
                if !*all {
                    gone.iter().for_each(|id| {
                        self.alive.remove(id);
                    });
                }
            }
            Input::ControllerMessage(PeerMessage::MinInstances { service, .. }) => {
                self.floors.insert(service.clone(), line);
            }
            Input::PeerMessages { from, incarnation: life, messages: notes } => {
                self.mail(entry.at, from, *life, notes)
            }
            _ => {}
        }
    }

    fn mail(&mut self, now: Nanos, from: &CompactString, life: u64, notes: &[PeerMessage]) {
        if self.lives.insert(from.clone(), life) != Some(life) {
            self.others.retain(|(who, _), _| who != from);
        }
        for note in notes {
            match note {
                PeerMessage::RequestPermit { id, left, .. } | PeerMessage::HeldPermit { id, left, .. } => {
                    let left = left.clamp(0.0, 1e7) * MS as f64;
                    self.others.insert((from.clone(), *id), now.saturating_add(left as Nanos) + OVERDUE);
                }
                PeerMessage::HandOverPermits { permits, .. } => {
                    for permit in permits {
                        let left = permit.left.clamp(0.0, 1e7) * MS as f64;
                        let until = now.saturating_add(left as Nanos) + OVERDUE;
                        self.others.insert((permit.who.clone(), permit.id), until);
                    }
                }
                PeerMessage::CancelRequest { id } | PeerMessage::ReleasePermit { id, .. } => {
                    self.others.remove(&(from.clone(), *id));
                }
                PeerMessage::ForwardRelease { who, id, .. } => {
                    self.others.remove(&(who.clone(), *id));
                }
                _ => {}
            }
        }
    }

    /// What is kept of an input from before.
    fn keep(&self, line: usize, entry: &DeskEntry) -> Option<Input> {
        let kept =
            match entry.input.clone() {
                input @ Input::New { .. } => input,
                input @ Input::Configure(_) if self.configured == Some(line) => input,
                input @ Input::ControllerMessage(
                    PeerMessage::FullView { .. } | PeerMessage::ViewChange(_),
                ) if self.stalls.contains(&line) => input,
                input @ Input::ControllerMessage(PeerMessage::MinInstances { .. })
                    if self.floors.values().any(|n| *n == line) =>
                {
                    input
                }
                input @ Input::RequestPermit { id: Some(id), .. } if self.own.contains(&id) => input,
                input @ (Input::InstanceUp(_) | Input::ConnectionRefused(_)) => {
                    let (Input::InstanceUp(id) | Input::ConnectionRefused(id)) = &input else { return None };
                    return self.alive.contains(id).then_some(input);
                }
                Input::ControllerMessage(PeerMessage::Instances { version, all, mut set, mut gone }) => {
                    set.retain(|i| self.alive.contains(&i.id));
                    gone.retain(|id| self.alive.contains(id));
                    if set.is_empty() && gone.is_empty() && !all {
                        return None;
                    }
                    Input::ControllerMessage(PeerMessage::Instances { version, all, set, gone })
                }
                Input::PeerMessages { from, incarnation: life, messages: mut notes } => {
                    if self.lives.get(&from) != Some(&life) {
                        return None;
                    }
                    notes.retain(|note| match note {
                        PeerMessage::RequestPermit { id, .. } | PeerMessage::HeldPermit { id, .. } => {
                            self.others.contains_key(&(from.clone(), *id))
                        }
                        PeerMessage::HandOverPermits { permits, .. } => {
                            permits.iter().any(|p| self.others.contains_key(&(p.who.clone(), p.id)))
                        }
                        PeerMessage::Grant { id, .. } => self.own.contains(id),
                        _ => false,
                    });
                    if notes.is_empty() {
                        return None;
                    }
                    Input::PeerMessages { from, incarnation: life, messages: notes }
                }
                _ => return None,
            };
        Some(kept)
    }
}

/// What a look through the whole life tells.
#[derive(Default)]
struct Survey {
    standing: Standing,
    highest: u64,
    lives: usize,
}

fn chosen(part: &Part, life: usize) -> bool {
    part.life.is_none_or(|chosen| chosen == life)
}

fn survey(path: &Path, which: &Which, part: &Part, whole_from: Nanos) -> Result<Survey, Error> {
    let mut lines = Lines::open(path, which.clone())?;
    let mut survey = Survey::default();
    let mut before = true;
    while let Some(read) = lines.read()? {
        if read.entry.begins() {
            survey.lives += 1;
            before = true;
        }
        if survey.lives == 0 {
            return SpoiltSnafu {
                file: lines.file(),
                line: read.line,
                key: "in",
                reason: "no life has begun before it",
            }
            .fail();
        }
        if !chosen(part, survey.lives) {
            continue;
        }
        before &= read.entry.at() < whole_from;
        if let Entry::Coordinator(entry) = &read.entry {
            if let Input::RequestPermit { id: Some(id), .. } = entry.input {
                survey.highest = survey.highest.max(id);
            }
            if before {
                survey.standing.see(read.line, entry);
            }
        }
    }
    match (survey.lives, part.life) {
        (0, _) => NothingSnafu { passed_over: lines.passed_over }.fail(),
        (count, Some(life)) if !(1..=count).contains(&life) => NoLifeSnafu { life, count }.fail(),
        (count, None) if count > 1 => LivesSnafu { count }.fail(),
        _ => Ok(survey),
    }
}

/// Cuts a part out of a recording. A scaler's term and a porter's life have no short form: they are
/// kept from their beginning.
pub fn cut(path: &Path, which: &Which, part: &Part, out: &mut impl Write) -> Result<Cut, Error> {
    let whole_from = part.from.saturating_sub(part.warm);
    let survey = survey(path, which, part, whole_from)?;
    let mut lines = Lines::open(path, which.clone())?;
    let (mut life, mut before) = (0, true);
    let mut cut = Cut { lines: 0, left_out: 0, whole_from };
    // What comes before is held until it is known whether asks are left out of it.
    let mut first: Option<DeskEntry> = None;
    let mut held: Vec<DeskEntry> = Vec::new();
    let mut asks_left_out = false;
    let mut head = None;
    let mut put = |text: String, head: &mut Option<Head>, cut: &mut Cut| {
        let output = |source| Error::Output { source };
        if let Some(head) = head
            && cut.lines == 0
        {
            writeln!(out, "{}", head.line()).map_err(output)?;
        }
        cut.lines += 1;
        let text = if head.is_some() { sealed(text) } else { text };
        writeln!(out, "{text}").map_err(output)
    };
    while let Some(read) = lines.read()? {
        life += usize::from(read.entry.begins());
        if !chosen(part, life) {
            continue;
        }
        if read.entry.at() > part.to && !read.entry.begins() {
            break;
        }
        // What has a head has checksums.
        head = lines.sources().get(read.source).and_then(|s| s.lives.get(read.life)?.head.clone());
        match read.entry {
            Entry::Scaler(entry) => {
                let number = Some(cut.lines as u64);
                put(ScalerEntry { number, ..entry }.write(), &mut head, &mut cut)?;
            }
            Entry::Round(entry) => {
                let number = Some(cut.lines as u64);
                put(RoundEntry { number, ..entry }.write(), &mut head, &mut cut)?;
            }
            Entry::Coordinator(entry) => {
                before &= entry.at < whole_from;
                if before {
                    match survey.standing.keep(read.line, &entry) {
                        Some(input @ Input::New { .. }) => first = Some(DeskEntry { input, ..entry }),
                        Some(input) => held.push(DeskEntry { input, ..entry }),
                        None => {
                            cut.left_out += 1;
                            asks_left_out |= matches!(entry.input, Input::RequestPermit { .. });
                        }
                    }
                    continue;
                }
                if let Some(mut first) = first.take() {
                    renumber(&mut first, asks_left_out, survey.highest);
                    held.insert(0, first);
                }
                for entry in held.drain(..).chain([entry]) {
                    let number = Some(cut.lines as u64);
                    put(DeskEntry { number, ..entry }.write(), &mut head, &mut cut)?;
                }
            }
        }
    }
    if let Some(mut first) = first.take() {
        renumber(&mut first, asks_left_out, survey.highest);
        held.insert(0, first);
    }
    for entry in held {
        let number = Some(cut.lines as u64);
        put(DeskEntry { number, ..entry }.write(), &mut head, &mut cut)?;
    }
    Ok(cut)
}

/// Where asks are left out, the others get new numbers: none that was recorded.
fn renumber(entry: &mut DeskEntry, left_out: bool, highest: u64) {
    if let Input::New { first, .. } = &mut entry.input
        && left_out
    {
        *first = highest.max(*first);
    }
}
