//! The record of all moves: one value in the replicated register, whose version increases with each step of
//! any move.
//!
//! Invariants: a written record reads back equal; a route belongs to at most one open move; at most one move
//! is active at a time; the size of the record is bounded.

use compact_str::CompactString;
use millpost_config::values::{self, list, number, object, string, write};
use millpost_config::{ConfigError, JsonCursor};
use snafu::Snafu;
use tinyjson::JsonValue;

use crate::contract::{Bounds, MAX_LOADS, MAX_ROUTES};

/// The format version that is written, and the newest that can be read.
const FORMAT: u64 = 1;
/// Limit on moves that have not ended.
pub(crate) const MAX_OPEN: usize = 8;
/// Limit on ended moves that are kept for operators to look up.
const MAX_ENDED: usize = 20;
/// Limit on history entries per move: the first entry and the most recent ones are kept.
const MAX_HISTORY: usize = 24;
/// Maximum length of a step's reason, in bytes.
const MAX_REASON_BYTES: usize = 400;

/// A service and its weight in a route.
pub(crate) type Share = (CompactString, u32);

/// A route that a move switches from its source services to its target services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMove {
    /// The route's host.
    pub host: CompactString,
    /// The route's path prefix.
    pub path_prefix: CompactString,
    /// Services and weights before the move.
    pub from: Vec<Share>,
    /// Services and weights after the move.
    pub to: Vec<Share>,
    /// The load (batch of routes switched by one configuration) that contains this route, counted from 1.
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

/// A configuration that a move writes. Its outcome is decided once the active revision is above `base`: by
/// then it has been applied, or it never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Put {
    /// The revision it is written under.
    pub revision: u64,
    /// The only revision that it may replace.
    pub base: u64,
    /// Number of loads on the target once it is applied.
    pub loads: u32,
    /// Number of loads that may have been on the target before it.
    pub previous_loads: u32,
}

/// The state of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The contract was checked and recorded. A started move waits until no other move is active.
    Planned {
        /// Whether an operator has started the move.
        started: bool,
    },
    /// Target instances are being warmed.
    Opened,
    /// A configuration is being written.
    Switching(Direction, Put),
    /// The last configuration is active under this revision. The move ends once all proxies apply it and the
    /// side that lost the traffic has had time to finish its requests.
    Settling(Direction, u64),
    /// All routes are on the target.
    Done,
    /// All routes are back on the source.
    RolledBack,
    /// An operator's configuration has assigned the routes to other services.
    Superseded,
}

impl State {
    /// Whether the state is final.
    pub fn is_ended(&self) -> bool {
        matches!(self, State::Done | State::RolledBack | State::Superseded)
    }

    /// Whether the move has been opened and has not ended. At most one move is active at a time.
    pub fn is_active(&self) -> bool {
        matches!(self, State::Opened | State::Switching(..) | State::Settling(..))
    }

    /// The name of the state in the record and in operator-facing output.
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

/// An entry of a move's history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepEntry {
    /// Wall-clock time on the machine that took the step, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The leader's fence.
    pub fence: u64,
    /// The name of the state that was entered.
    pub step: CompactString,
    /// The reason for the step.
    pub reason: String,
}

/// A move of a tenant's routes between clusters.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The name of the move.
    pub name: CompactString,
    /// The version of the record that added the move; unique among all moves, including those of the same
    /// name.
    pub epoch: u64,
    /// Hash of the contract, which distinguishes contracts of the same name.
    pub contract_hash: u32,
    /// The routes in the order of their loads; empty once the move has ended.
    pub route_moves: Vec<RouteMove>,
    /// Number of loads, the batches in which the routes are switched.
    pub loads: u32,
    /// Pairs of source and target service.
    pub services: Vec<(CompactString, CompactString)>,
    /// The longest deadline of the routes.
    pub max_deadline_ms: u64,
    /// Limits past which the move rolls back.
    pub bounds: Bounds,
    /// Instances that each target service needs before the first load is switched.
    pub target_instances: Vec<(CompactString, u32)>,
    /// Instances that each source service had when the move was opened, and keeps until it ends.
    pub source_instances: Vec<(CompactString, u32)>,
    /// The next and the last revision reserved for the move; none is left if the next is greater than the
    /// last.
    pub revisions: (u64, u64),
    /// Whether an operator has paused the move: no further load is switched.
    pub paused: bool,
    /// The current state.
    pub state: State,
    /// Steps taken: the first one and the most recent ones.
    pub history: Vec<StepEntry>,
}

impl Move {
    /// Enters a state and adds it to the history; the reason is cut at [`MAX_REASON_BYTES`].
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

    /// When the move was planned, in milliseconds since 1970.
    pub fn planned_at(&self) -> u64 {
        self.history.first().map_or(0, |entry| entry.unix_ms)
    }

    /// When the move was opened, in milliseconds since 1970; `None` if it has not been.
    pub fn opened_at(&self) -> Option<u64> {
        self.history.iter().find(|entry| entry.step == "opened").map(|entry| entry.unix_ms)
    }
}

/// All moves, in the order in which they were planned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The fence of the leader that wrote the record.
    pub fence: u64,
    /// All moves.
    pub moves: Vec<Move>,
}

/// The record can't be read. It is neither acted on nor overwritten.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The record was written by a newer version of the program.
    #[snafu(display("record of moves has format {format}, from a newer version; supported up to {FORMAT}"))]
    Newer {
        /// The format of the record.
        format: u64,
    },
    /// The record is malformed.
    #[snafu(display("malformed record of moves: {source}"), context(false))]
    Corrupt {
        /// What is wrong with it.
        source: ConfigError,
    },
}

impl Record {
    /// Finds a move by name.
    pub fn find(&self, name: &str) -> Option<&Move> {
        self.moves.iter().find(|m| m.name == name)
    }

    pub(crate) fn find_mut(&mut self, name: &str) -> Option<&mut Move> {
        self.moves.iter_mut().find(|m| m.name == name)
    }

    /// Moves that have not ended.
    pub fn open(&self) -> impl Iterator<Item = &Move> {
        self.moves.iter().filter(|m| !m.state.is_ended())
    }

    /// Removes the oldest ended moves above [`MAX_ENDED`].
    pub(crate) fn prune_ended(&mut self) {
        let mut over = self.moves.iter().filter(|m| m.state.is_ended()).count().saturating_sub(MAX_ENDED);
        self.moves.retain(|m| {
            let removed = over > 0 && m.state.is_ended();
            over -= usize::from(removed);
            !removed
        });
    }

    /// Encodes the record as JSON text that reads back equal.
    pub(crate) fn to_text(&self) -> String {
        let moves = list(self.moves.iter().map(Move::to_value));
        write(&object([("format", number(FORMAT)), ("fence", number(self.fence)), ("moves", moves)]))
    }

    /// Parses a record.
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
            _ => Err(at.error("expected a pair of name and weight")),
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
        let step = ("step", string(self.name()));
        match self {
            State::Switching(_, put) => object([
                step,
                ("number", number(put.revision)),
                ("over", number(put.base)),
                ("load", number(put.loads.into())),
                ("of", number(put.previous_loads.into())),
            ]),
            State::Settling(_, revision) => object([step, ("revision", number(*revision))]),
            _ => object([step]),
        }
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let put = || {
            let uint = |key| at.required(key)?.uint();
            let count = |key| at.required(key)?.saturating_u32();
            Ok(Put {
                revision: uint("number")?,
                base: uint("over")?,
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
            other => return Err(step.error(format!("unknown step {other:?}"))),
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
            return Err(at.error("has more routes or loads than a move may have"));
        }
        let pair = |at: JsonCursor<'_>| {
            let parts =
                at.items()?.map(|at| Ok(at.str()?.into())).collect::<Result<Vec<_>, ConfigError>>()?;
            let [from, to] =
                <[CompactString; 2]>::try_from(parts).map_err(|_| at.error("expected a pair of services"))?;
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
