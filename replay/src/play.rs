//! Plays a recording: each input at its time, twice side by side, so that outputs that hang on anything else show, and beside what the
//! recording says was decided.

use std::collections::BTreeMap;

use millpost_agent::{Agent, Effect as RoundEffect, Input as RoundInput};
use millpost_autoscaler::recording::Input as ScalerInput;
use millpost_autoscaler::{Effect, Scaler};
use millpost_scheduler::recording::Input as DeskInput;
use millpost_scheduler::{Action, Coordinator, Nanos, Reason, TraceEvent};

use crate::clocks::Node;
use crate::decided::Unlike;
use crate::errors::{Error, NoLifeSnafu, NothingSnafu, SpoiltSnafu};
use crate::lines::{Lines, Read};
use crate::machines::{Machine, Shown};
use crate::numbers::Numbers;
use crate::requests::Next;

/// One input that was played, and what came of it.
#[derive(Debug)]
pub struct Step<'a> {
    /// Its line in the file.
    pub line: usize,
    /// Whose it is, and in which of its lives.
    pub node: Node,
    /// Which life or term of that, from 1.
    pub life: usize,
    /// When it came.
    pub at: Nanos,
    /// What it was, with the numbers of this play.
    pub input: &'a DeskInput,
    /// The number that an ask has in this play.
    pub given: Option<u64>,
    /// Before the input, the ask that it ends waited or had its permit here.
    pub had: bool,
    /// What came of it.
    pub outs: &'a [Action],
    /// The desk before it, where it is played twice.
    pub before: Option<&'a Coordinator>,
    /// The desk after it.
    pub desk: &'a Coordinator,
    /// Numbers, in this play and in the recording.
    pub numbers: &'a Numbers,
    /// Why it was decided so, where that is asked for.
    pub reasons: &'a [Reason],
    /// The step of a request that it is.
    pub trail: Option<&'a TraceEvent>,
    /// What comes next for the request, of which it is a step or an ask that found no room.
    pub next: Option<&'a Next>,
}

/// One input of a scaler that was played, and what came of it.
#[derive(Debug)]
pub struct Turn<'a> {
    /// Its line in the file.
    pub line: usize,
    /// Whose it is, and in which of its lives.
    pub node: Node,
    /// Which life or term of that, from 1.
    pub life: usize,
    /// When it came.
    pub at: Nanos,
    /// What it was.
    pub input: &'a ScalerInput,
    /// What came of it.
    pub outs: &'a [Effect],
    /// The scaler before it, where it is played twice.
    pub before: Option<&'a Scaler>,
    /// The scaler after it.
    pub scaler: &'a Scaler,
}

/// One input of a porter's round that was played, and what came of it.
#[derive(Debug)]
pub struct Pass<'a> {
    /// Its line in the file.
    pub line: usize,
    /// Whose it is, and in which of its lives.
    pub node: Node,
    /// Which life or term of that, from 1.
    pub life: usize,
    /// When it came.
    pub at: Nanos,
    /// What it was.
    pub input: &'a RoundInput,
    /// What came of it.
    pub outs: &'a [RoundEffect],
    /// The round before it, where it is played twice.
    pub before: Option<&'a Agent>,
    /// The round after it.
    pub round: &'a Agent,
}

/// What happens in a play.
#[derive(Debug)]
pub enum Event<'a> {
    /// A life or a term begins. Its first step follows.
    Begins {
        /// Which, from 1.
        life: usize,
        /// The first line of it.
        read: &'a Read,
    },
    /// An input of a desk.
    Coordinator(Step<'a>),
    /// An input of a scaler.
    Scaler(Turn<'a>),
    /// An input of a porter's round.
    Round(Pass<'a>),
}

/// How it is played.
#[derive(Clone, Debug)]
pub struct How {
    /// One life or term of each process, from 1 on; else all.
    pub life: Option<usize>,
    /// Each machine is played beside a twin.
    pub twins: bool,
    /// It is told why owners decide as they do.
    pub reasons: bool,
}

impl Default for How {
    fn default() -> Self {
        How { life: None, twins: true, reasons: false }
    }
}

/// How a play has gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Lives and terms in the recording.
    pub lives: usize,
    /// Inputs that were played.
    pub inputs: usize,
    /// Outputs that the recording tells of, and that were the same.
    pub same: u64,
    /// Where a life decides otherwise than was recorded.
    pub unlike: Vec<Unlike>,
}

/// A process's machine.
#[derive(Default)]
struct Stand {
    machine: Option<Machine>,
    lives: usize,
    shown: Shown,
    /// A difference of this life was told.
    told: bool,
}

/// Plays all lives of a recording, or one of them, and tells what happens.
pub fn play(
    lines: &mut Lines<'_>,
    life: Option<usize>,
    tell: impl FnMut(Event<'_>) -> Result<(), Error>,
) -> Result<Played, Error> {
    play_so(lines, &How { life, ..How::default() }, tell)
}

/// Plays a recording, of several processes side by side where the lines are read so.
pub fn play_so(
    lines: &mut Lines<'_>,
    how: &How,
    mut tell: impl FnMut(Event<'_>) -> Result<(), Error>,
) -> Result<Played, Error> {
    let (mut stands, mut played) = (BTreeMap::<usize, Stand>::new(), Played::default());
    while let Some(read) = lines.read()? {
        let stand = stands.entry(read.source).or_default();
        if read.entry.begins() {
            stand.lives += 1;
            played.lives += 1;
            played.same += std::mem::take(&mut stand.shown).decided.same;
            (stand.machine, stand.told) = (Machine::begin(&read.entry, how), false);
        }
        if stand.lives == 0 {
            let reason = "no life has begun before it";
            return SpoiltSnafu { file: lines.file(), line: read.line, key: "in", reason }.fail();
        }
        if how.life.is_some_and(|life| life != stand.lives) {
            continue;
        }
        if read.entry.begins() {
            tell(Event::Begins { life: stand.lives, read: &read })?;
        }
        played.inputs += 1;
        let (life, shown) = (stand.lives, &mut stand.shown);
        let of = || lines.sources().get(read.source).map_or(String::new(), |source| source.of.clone());
        let differs = shown.decided.told(read.decided, read.line);
        if let Some((lines, at)) = differs.filter(|_| !stand.told) {
            stand.told = true;
            let what = "its outputs".to_owned();
            played.unlike.push(Unlike { of: of(), life, lines, at, what });
        }
        let known = match &mut stand.machine {
            Some(machine) => machine.step(&read, life, shown, &mut tell)?,
            None => false,
        };
        if !known {
            let reason = "of another machine";
            return SpoiltSnafu { file: lines.file(), line: read.line, key: "in", reason }.fail();
        }
        if let Some(what) = shown.unlike.take()
            && !std::mem::replace(&mut stand.told, true)
        {
            let (lines, at) = ((read.line, read.line), read.entry.at());
            played.unlike.push(Unlike { of: of(), life, lines, at, what });
        }
    }
    played.same += stands.values().map(|stand| stand.shown.decided.same).sum::<u64>();
    if played.lives == 0 && lines.sources().is_empty() {
        return NothingSnafu { passed_over: lines.passed_over }.fail();
    }
    let most = stands.values().map(|stand| stand.lives).max().unwrap_or(0);
    if let Some(life) = how.life.filter(|life| !(1..=most).contains(life)) {
        return NoLifeSnafu { life, count: most }.fail();
    }
    Ok(played)
}
