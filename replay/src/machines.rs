//! The machines that a recording is played against, each beside a twin: one input at a time, and what comes of it.

use millpost_agent::recording::Entry as RoundEntry;
use millpost_agent::{Agent, Effect as RoundEffect, Input as RoundInput};
use millpost_autoscaler::recording::{Entry as ScalerEntry, Input as ScalerInput};
use millpost_autoscaler::{Effect, Scaler};
use millpost_scheduler::recording::{Entry as DeskEntry, Input as DeskInput};
use millpost_scheduler::{Action, Coordinator, Reason, TraceEvent};

use crate::clocks::Node;
use crate::decided::Decided;
use crate::errors::{Error, UnlikeSnafu};
use crate::lines::{Entry, Read};
use crate::numbers::Numbers;
use crate::outs;
use crate::play::{Event, How, Pass, Step, Turn};
use crate::requests::Requests;

/// What a machine's play has shown so far.
#[derive(Debug, Default)]
pub struct Shown {
    /// Outputs, compared with the recording.
    pub decided: Decided,
    /// What a request's own part decides otherwise.
    pub unlike: Option<String>,
}

/// A desk and its twin, and the requests of its stall.
#[derive(Debug)]
pub struct Desks {
    desk: Coordinator,
    twin: Option<Coordinator>,
    me: compact_str::CompactString,
    zone: compact_str::CompactString,
    numbers: Numbers,
    requests: Requests,
}

/// Where something happens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub line: usize,
    pub node: Node,
    pub life: usize,
}

fn first_unlike<T: PartialEq>(one: &[T], other: &[T]) -> usize {
    one.iter().zip(other).position(|(a, b)| a != b).unwrap_or(one.len().min(other.len()))
}

impl Desks {
    fn begin(entry: &DeskEntry, how: &How) -> Option<Self> {
        let DeskInput::New { me, terms, seed, first } = &entry.input else { return None };
        let mut desk = Coordinator::new(me.clone(), terms.clone(), *seed, *first);
        if how.reasons {
            desk.explain();
        }
        Some(Desks {
            desk,
            twin: how.twins.then(|| Coordinator::new(me.clone(), terms.clone(), *seed, *first)),
            me: me.name.clone(),
            zone: me.zone.clone(),
            numbers: Numbers::default(),
            requests: Requests::default(),
        })
    }

    fn step(
        &mut self,
        place: Place,
        entry: &DeskEntry,
        shown: &mut Shown,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let (Place { line, node, life }, at) = (place, entry.at);
        let input = self.numbers.turn(&entry.input);
        let had = match &input {
            DeskInput::Cancel { id } | DeskInput::Finish { id, .. } => {
                self.desk.scheduler().has_request(&self.me, *id)
            }
            _ => false,
        };
        let begins = matches!(input, DeskInput::New { .. });
        let given = if begins { None } else { input.clone().apply(at, &mut self.desk) };
        let mut next = None;
        match &entry.input {
            DeskInput::RequestPermit { id: Some(recorded), ask, first, of } => {
                self.numbers.add(*recorded, given);
                if let Some(p) = of {
                    let (unlike, told) = self.requests.asks(*p, ask, *first, given.is_some());
                    (shown.unlike, next) = (unlike, told);
                }
            }
            DeskInput::RequestPermit { id: None, ask, first, of: Some(p) } => {
                (shown.unlike, next) = self.requests.asks(*p, ask, *first, given.is_some());
            }
            DeskInput::TraceEvent(trail) => {
                next = self.requests.step(at, trail, &self.zone, self.desk.has_view());
            }
            _ => {}
        }
        let outs = Vec::from(self.desk.take_actions());
        let reasons: Vec<Reason> = self.desk.reasons();
        for out in &outs {
            shown.decided.fold(line, at, |parts| outs::recorded(out, &self.numbers).fold(parts));
        }
        let trail: Option<&TraceEvent> =
            if let DeskInput::TraceEvent(trail) = &input { Some(trail) } else { None };
        let (desk, numbers, before) = (&self.desk, &self.numbers, self.twin.as_ref());
        tell(Event::Coordinator(Step {
            line,
            node,
            life,
            at,
            input: &input,
            given,
            had,
            outs: &outs,
            before,
            desk,
            numbers,
            reasons: &reasons,
            trail,
            next: next.as_ref(),
        }))?;
        let Some(twin) = &mut self.twin else { return Ok(()) };
        let other = if begins { None } else { input.clone().apply(at, twin) };
        let twin = Vec::from(twin.take_actions());
        if (given, &outs) != (other, &twin) {
            let unlike = first_unlike(&outs, &twin);
            let word = |outs: &[Action]| {
                let out = outs.get(unlike).map(|out| outs::desk(at, line, 0, out, &self.numbers));
                out.unwrap_or_else(|| "nothing".to_owned())
            };
            return UnlikeSnafu { line, one: word(&outs), other: word(&twin) }.fail();
        }
        Ok(())
    }
}

/// A scaler and its twin.
#[derive(Debug)]
pub struct Scalers {
    scaler: Scaler,
    twin: Option<Scaler>,
}

impl Scalers {
    fn begin(entry: &ScalerEntry, how: &How) -> Option<Self> {
        let ScalerInput::New(terms) = &entry.input else { return None };
        let scaler = || Scaler::new(terms.clone(), entry.at);
        Some(Scalers { scaler: scaler(), twin: how.twins.then(scaler) })
    }

    fn step(
        &mut self,
        place: Place,
        entry: &ScalerEntry,
        shown: &mut Shown,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let (Place { line, node, life }, at) = (place, entry.at);
        let begins = matches!(entry.input, ScalerInput::New(_));
        if !begins {
            entry.input.clone().apply(at, &mut self.scaler);
        }
        let outs = self.scaler.take();
        outs.iter().for_each(|out| shown.decided.fold(line, at, |parts| out.fold(parts)));
        let (input, scaler, before) = (&entry.input, &self.scaler, self.twin.as_ref());
        tell(Event::Scaler(Turn { line, node, life, at, input, outs: &outs, before, scaler }))?;
        let Some(twin) = &mut self.twin else { return Ok(()) };
        if !begins {
            entry.input.clone().apply(at, twin);
        }
        let twin = twin.take();
        if outs != twin {
            let unlike = first_unlike(&outs, &twin);
            let word = |outs: &[Effect]| {
                let out = outs.get(unlike).map(|out| outs::scaler(at, line, 0, out));
                out.unwrap_or_else(|| "nothing".to_owned())
            };
            return UnlikeSnafu { line, one: word(&outs), other: word(&twin) }.fail();
        }
        Ok(())
    }
}

/// A porter's round and its twin.
#[derive(Debug)]
pub struct Rounds {
    round: Agent,
    twin: Option<Agent>,
}

impl Rounds {
    fn begin(entry: &RoundEntry, how: &How) -> Option<Self> {
        let RoundInput::New(terms) = &entry.input else { return None };
        let round = || Agent::new(terms.clone(), entry.at);
        Some(Rounds { round: round(), twin: how.twins.then(round) })
    }

    fn step(
        &mut self,
        place: Place,
        entry: &RoundEntry,
        shown: &mut Shown,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let (Place { line, node, life }, at) = (place, entry.at);
        let begins = matches!(entry.input, RoundInput::New(_));
        if !begins {
            self.round.handle(at, entry.input.clone());
        }
        let outs = self.round.take();
        let decided = outs.iter().filter(|out| !matches!(out, RoundEffect::Log(..)));
        decided.for_each(|out| shown.decided.fold(line, at, |parts| out.fold(parts)));
        let (input, round, before) = (&entry.input, &self.round, self.twin.as_ref());
        tell(Event::Round(Pass { line, node, life, at, input, outs: &outs, before, round }))?;
        let Some(twin) = &mut self.twin else { return Ok(()) };
        if !begins {
            twin.handle(at, entry.input.clone());
        }
        let twin = twin.take();
        if outs != twin {
            let unlike = first_unlike(&outs, &twin);
            let word = |outs: &[RoundEffect]| {
                let out = outs.get(unlike).map(|out| outs::round(at, line, 0, out));
                out.unwrap_or_else(|| "nothing".to_owned())
            };
            return UnlikeSnafu { line, one: word(&outs), other: word(&twin) }.fail();
        }
        Ok(())
    }
}

/// Any of them.
#[derive(Debug)]
pub enum Machine {
    #[allow(missing_docs)]
    Desks(Box<Desks>),
    #[allow(missing_docs)]
    Scalers(Box<Scalers>),
    #[allow(missing_docs)]
    Rounds(Box<Rounds>),
}

impl Machine {
    /// The one whose life begins with this line; none with any other.
    pub(crate) fn begin(entry: &Entry, how: &How) -> Option<Self> {
        match entry {
            Entry::Coordinator(entry) => Desks::begin(entry, how).map(|m| Machine::Desks(Box::new(m))),
            Entry::Scaler(entry) => Scalers::begin(entry, how).map(|m| Machine::Scalers(Box::new(m))),
            Entry::Round(entry) => Rounds::begin(entry, how).map(|m| Machine::Rounds(Box::new(m))),
        }
    }

    /// Takes a line in. False where it is of another machine.
    pub(crate) fn step(
        &mut self,
        read: &Read,
        life: usize,
        shown: &mut Shown,
        tell: &mut impl FnMut(Event<'_>) -> Result<(), Error>,
    ) -> Result<bool, Error> {
        let place = Place { line: read.line, node: (read.source, read.life), life };
        match (self, &read.entry) {
            (Machine::Desks(desks), Entry::Coordinator(entry)) => desks.step(place, entry, shown, tell)?,
            (Machine::Scalers(scalers), Entry::Scaler(entry)) => scalers.step(place, entry, shown, tell)?,
            (Machine::Rounds(rounds), Entry::Round(entry)) => rounds.step(place, entry, shown, tell)?,
            _ => return Ok(false),
        }
        Ok(true)
    }
}
