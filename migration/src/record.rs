//! The record of all moves: one value in the register, whose version goes up with each step of any of them. Invariants: what is written
//! reads back equal; a route is held by one open move at most; one move at a time is out; the record is bounded.

use compact_str::CompactString;
use millpost_config::values::{self, list, number, object, string, write};
use millpost_config::{ConfigError, JsonCursor};
use snafu::Snafu;
use tinyjson::JsonValue;

use crate::contract::{Bounds, MAX_LOADS, MAX_ROUTES};

/// The form that is written, and the newest that is read.
const FORMAT: u64 = 1;
/// Moves that have not ended.
pub(crate) const MAX_OPEN: usize = 8;
/// Moves that have ended, and are kept for people.
const MAX_ENDED: usize = 20;
/// Steps of a move that are kept: the first, and the last ones.
const MAX_HISTORY: usize = 24;
/// Bytes of a reason.
const MAX_REASON_BYTES: usize = 400;

/// A service and its weight in a route.
pub(crate) type Share = (CompactString, u32);

/// A route of a tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMove {
    /// Its host.
    pub host: CompactString,
    /// What its paths begin with.
    pub path_prefix: CompactString,
    /// The services it had.
    pub from: Vec<Share>,
    /// The services it gets.
    pub to: Vec<Share>,
    /// The load that it goes with, from 1.
    pub load: u32,
}

/// The direction of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To the target.
    ToTarget,
    /// Back to the source.
    ToSource,
}

/// A configuration that is to stand. It is decided once what stands is above its base: it does then, or never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Put {
    /// Its revision.
    pub revision: u64,
    /// Its base: the revision that it is written over, and no other.
    pub base: u64,
    /// Loads that are on the target in it.
    pub loads: u32,
    /// Loads that may have been there before it.
    pub previous_loads: u32,
}

/// How far a move is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It was checked. Once started it waits for its turn.
    Planned {
        /// Whether it is.
        started: bool,
    },
    /// Its target is being warmed.
    Opened,
    /// A configuration is to stand.
    Switching(Direction, Put),
    /// The last configuration stands, by this revision; all have to act on it, and the side that was left is to end its work.
    Settling(Direction, u64),
    /// All of it is on the target.
    Done,
    /// None of it is.
    RolledBack,
    /// An operator's configuration has put its routes elsewhere.
    Superseded,
}

impl State {
    /// Nothing more comes of it.
    pub fn is_ended(&self) -> bool {
        matches!(self, State::Done | State::RolledBack | State::Superseded)
    }

    /// It has begun and not ended: one move at a time.
    pub fn is_active(&self) -> bool {
        matches!(self, State::Opened | State::Switching(..) | State::Settling(..))
    }

    /// The word for it.
    pub fn name(&self) -> &'static str {
        match self {
            State::Planned { started: false } => "planned",
            State::Planned { started: true } => "started",
            State::Opened => "opened",
            State::Switching(Direction::ToTarget, _) => "switching",
            State::Switching(Direction::ToSource, _) => "switching_back",
            State::Settling(Direction::ToTarget, _) => "settling",
            State::Settling(Direction::ToSource, _) => "settling_back",
            State::Done => "done",
            State::RolledBack => "turned_back",
            State::Superseded => "overtaken",
        }
    }
}

/// A step that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepEntry {
    /// When, by the time of day of who took it.
    pub unix_ms: u64,
    /// Under which fence.
    pub fence: u64,
    /// Into which state.
    pub step: CompactString,
    /// Why.
    pub reason: String,
}

/// One move.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Its name.
    pub name: CompactString,
    /// The version of the record that it was planned with: no other move has the same, of whatever name.
    pub epoch: u64,
    /// What tells its contract from others.
    pub contract_hash: u32,
    /// Its routes in the order of their loads; none any more where it has ended.
    pub route_moves: Vec<RouteMove>,
    /// The steps in which they go.
    pub loads: u32,
    /// Which service takes the place of which.
    pub services: Vec<(CompactString, CompactString)>,
    /// The longest that a request of its routes may be held.
    pub max_deadline_ms: u64,
    /// What it has to keep within.
    pub bounds: Bounds,
    /// Instances that each target is to have before the first load goes.
    pub target_instances: Vec<(CompactString, u32)>,
    /// Instances that each source had, and keeps until the move has ended.
    pub source_instances: Vec<(CompactString, u32)>,
    /// The next revision of its own, and the last one: none left where the next is above.
    pub revisions: (u64, u64),
    /// No further load goes.
    pub paused: bool,
    /// How far it is.
    pub state: State,
    /// The steps that it took.
    pub history: Vec<StepEntry>,
}

impl Move {
    /// Takes a step.
    pub(crate) fn enter(&mut self, state: State, unix_ms: u64, fence: u64, reason: impl Into<String>) {
        let mut reason = reason.into();
        let end = (0..=MAX_REASON_BYTES.min(reason.len()))
            .rev()
            .find(|at| reason.is_char_boundary(*at))
            .unwrap_or(0);
        reason.truncate(end);
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(1);
        }
        self.history.push(StepEntry { unix_ms, fence, step: state.name().into(), reason });
        self.state = state;
        if self.state.is_ended() {
            self.route_moves.clear();
            self.services.clear();
            self.target_instances.clear();
            self.source_instances.clear();
        }
    }

    /// When it was planned, by the time of day.
    pub fn planned_at(&self) -> u64 {
        self.history.first().map_or(0, |entry| entry.unix_ms)
    }

    /// When it was opened, by the time of day; none where it has not been yet.
    pub fn opened_at(&self) -> Option<u64> {
        self.history.iter().find(|entry| entry.step == "opened").map(|entry| entry.unix_ms)
    }
}

/// All moves, in the order in which they were planned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The fence of who wrote it.
    pub fence: u64,
    /// The moves.
    pub moves: Vec<Move>,
}

/// The record can't be read: nothing is done with it, and nothing written over it.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// It is of a newer version of the program.
    #[snafu(display("moves of format {format}, from a newer version; this one reads up to {FORMAT}"))]
    Newer {
        /// Its format.
        format: u64,
    },
    /// It is not what was written.
    #[snafu(display("the record of moves: {source}"), context(false))]
    Corrupt {
        /// Why.
        source: ConfigError,
    },
}

impl Record {
    /// A move by its name.
    pub fn find(&self, name: &str) -> Option<&Move> {
        self.moves.iter().find(|known| known.name == name)
    }

    pub(crate) fn find_mut(&mut self, name: &str) -> Option<&mut Move> {
        self.moves.iter_mut().find(|known| known.name == name)
    }

    /// Moves that have not ended.
    pub fn open(&self) -> impl Iterator<Item = &Move> {
        self.moves.iter().filter(|known| !known.state.is_ended())
    }

    /// Forgets the oldest of those that have ended, where they are many.
    pub(crate) fn tidy(&mut self) {
        let mut over = self.moves.iter().filter(|m| m.state.is_ended()).count().saturating_sub(MAX_ENDED);
        self.moves.retain(|known| {
            let forgotten = over > 0 && known.state.is_ended();
            over -= usize::from(forgotten);
            !forgotten
        });
    }

    /// As text, which reads back equal.
    pub(crate) fn to_text(&self) -> String {
        let moves = list(self.moves.iter().map(Move::to_value));
        write(&object([("format", number(FORMAT)), ("fence", number(self.fence)), ("moves", moves)]))
    }

    /// Reads what was written.
    pub fn read(text: &str) -> Result<Self, RecordError> {
        let value = values::parse(text)?;
        let at = JsonCursor::root(&value);
        match at.required("format")?.uint()? {
            FORMAT => {}
            format => return Err(RecordError::Newer { format }),
        }
        let moves = at.required("moves")?;
        let moves = moves.items()?.map(|at| Move::read(&at)).collect::<Result<_, _>>()?;
        Ok(Record { fence: at.required("fence")?.uint()?, moves })
    }
}

fn shares(all: &[Share]) -> JsonValue {
    list(all.iter().map(|(name, weight)| list([string(name), number((*weight).into())])))
}

fn read_shares(at: &JsonCursor<'_>) -> Result<Vec<Share>, ConfigError> {
    let pair = |at: JsonCursor<'_>| {
        let mut parts = at.items()?;
        match (parts.next(), parts.next(), parts.next()) {
            (Some(name), Some(weight), None) => Ok((name.str()?.into(), weight.saturating_u32()?)),
            _ => Err(at.error("is no name with a number")),
        }
    };
    at.items()?.map(pair).collect()
}

impl RouteMove {
    fn to_value(&self) -> JsonValue {
        object([
            ("host", string(&self.host)),
            ("path_prefix", string(&self.path_prefix)),
            ("from", shares(&self.from)),
            ("to", shares(&self.to)),
            ("load", number(self.load.into())),
        ])
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        Ok(Self {
            host: at.required("host")?.str()?.into(),
            path_prefix: at.required("path_prefix")?.str()?.into(),
            from: read_shares(&at.required("from")?)?,
            to: read_shares(&at.required("to")?)?,
            load: at.required("load")?.saturating_u32()?,
        })
    }
}

impl State {
    fn to_value(&self) -> JsonValue {
        let word = ("step", string(self.name()));
        match self {
            State::Switching(_, put) => object([
                word,
                ("number", number(put.revision)),
                ("over", number(put.base)),
                ("load", number(put.loads.into())),
                ("of", number(put.previous_loads.into())),
            ]),
            State::Settling(_, revision) => object([word, ("revision", number(*revision))]),
            _ => object([word]),
        }
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let put = || {
            let whole = |key| at.required(key)?.uint();
            let count = |key| at.required(key)?.saturating_u32();
            Ok(Put {
                revision: whole("number")?,
                base: whole("over")?,
                loads: count("load")?,
                previous_loads: count("of")?,
            })
        };
        let revision = || at.required("revision")?.uint();
        let step = at.required("step")?;
        Ok(match step.str()? {
            "planned" => State::Planned { started: false },
            "started" => State::Planned { started: true },
            "opened" => State::Opened,
            "switching" => State::Switching(Direction::ToTarget, put()?),
            "switching_back" => State::Switching(Direction::ToSource, put()?),
            "settling" => State::Settling(Direction::ToTarget, revision()?),
            "settling_back" => State::Settling(Direction::ToSource, revision()?),
            "done" => State::Done,
            "turned_back" => State::RolledBack,
            "overtaken" => State::Superseded,
            other => return Err(step.error(format!("is {other:?}, which is no step"))),
        })
    }
}

impl StepEntry {
    fn to_value(&self) -> JsonValue {
        object([
            ("day", number(self.unix_ms)),
            ("fence", number(self.fence)),
            ("step", string(&self.step)),
            ("why", string(&self.reason)),
        ])
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        Ok(Self {
            unix_ms: at.required("day")?.uint()?,
            fence: at.required("fence")?.uint()?,
            step: at.required("step")?.str()?.into(),
            reason: at.required("why")?.str()?.to_owned(),
        })
    }
}

impl Move {
    fn to_value(&self) -> JsonValue {
        object([
            ("name", string(&self.name)),
            ("epoch", number(self.epoch)),
            ("mark", number(self.contract_hash.into())),
            ("hauls", list(self.route_moves.iter().map(RouteMove::to_value))),
            ("loads", number(self.loads.into())),
            ("services", list(self.services.iter().map(|(from, to)| list([string(from), string(to)])))),
            ("longest_ms", number(self.max_deadline_ms)),
            ("bounds", self.bounds.to_value()),
            ("needs", shares(&self.target_instances)),
            ("keeps", shares(&self.source_instances)),
            ("next", number(self.revisions.0)),
            ("last", number(self.revisions.1)),
            ("paused", JsonValue::Boolean(self.paused)),
            ("state", self.state.to_value()),
            ("stamps", list(self.history.iter().map(StepEntry::to_value))),
        ])
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let route_moves = at.required("hauls")?;
        let history = at.required("stamps")?;
        let loads = at.required("loads")?;
        if route_moves.items()?.len() > MAX_ROUTES || loads.saturating_u32()? > MAX_LOADS {
            return Err(at.error("is larger than any of ours"));
        }
        let pair = |at: JsonCursor<'_>| {
            let parts =
                at.items()?.map(|at| Ok(at.str()?.into())).collect::<Result<Vec<_>, ConfigError>>()?;
            let [from, to] = <[CompactString; 2]>::try_from(parts).map_err(|_| at.error("are not two"))?;
            Ok((from, to))
        };
        Ok(Self {
            name: at.required("name")?.str()?.into(),
            epoch: at.required("epoch")?.uint()?,
            contract_hash: at.required("mark")?.saturating_u32()?,
            route_moves: route_moves.items()?.map(|at| RouteMove::read(&at)).collect::<Result<_, _>>()?,
            loads: loads.saturating_u32()?,
            services: at.required("services")?.items()?.map(pair).collect::<Result<_, _>>()?,
            max_deadline_ms: at.required("longest_ms")?.uint()?,
            bounds: Bounds::read(&at.required("bounds")?)?,
            target_instances: read_shares(&at.required("needs")?)?,
            source_instances: read_shares(&at.required("keeps")?)?,
            revisions: (at.required("next")?.uint()?, at.required("last")?.uint()?),
            paused: at.required("paused")?.boolean()?,
            state: State::read(&at.required("state")?)?,
            history: history.items()?.map(|at| StepEntry::read(&at)).collect::<Result<_, _>>()?,
        })
    }
}
