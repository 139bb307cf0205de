//! The record of all moves: one value in the register, whose version goes up with each step of any of them. Invariants: what is written
//! reads back equal; a route is held by one open move at most; one move at a time is out; the record is bounded.

use compact_str::CompactString;
use millpost_config::values::{self, list, number, object, string, write};
use millpost_config::{ConfigError, JsonCursor};
use snafu::Snafu;
use tinyjson::JsonValue;

use crate::contract::{Bounds, MOST_LOADS, MOST_ROUTES};

/// The form that is written, and the newest that is read.
const FORMAT: u64 = 1;
/// Moves that have not ended.
pub(crate) const MOST_OPEN: usize = 8;
/// Moves that have ended, and are kept for people.
const MOST_ENDED: usize = 20;
/// Steps of a move that are kept: the first, and the last ones.
const MOST_STAMPS: usize = 24;
/// Bytes of a reason.
const MOST_WHY: usize = 400;

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
    There,
    /// Back to the source.
    Back,
}

/// A configuration that is to stand. It is decided once what stands is above its base: it does then, or never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Put {
    /// Its revision.
    pub number: u64,
    /// Its base: the revision that it is written over, and no other.
    pub over: u64,
    /// Loads that are on the target in it.
    pub load: u32,
    /// Loads that may have been there before it.
    pub of: u32,
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
    TurnedBack,
    /// An operator's configuration has put its routes elsewhere.
    Overtaken,
}

impl State {
    /// Nothing more comes of it.
    pub fn ended(&self) -> bool {
        matches!(self, State::Done | State::TurnedBack | State::Overtaken)
    }

    /// It has begun and not ended: one move at a time.
    pub fn out(&self) -> bool {
        matches!(self, State::Opened | State::Switching(..) | State::Settling(..))
    }

    /// The word for it.
    pub fn word(&self) -> &'static str {
        match self {
            State::Planned { started: false } => "planned",
            State::Planned { started: true } => "started",
            State::Opened => "opened",
            State::Switching(Direction::There, _) => "switching",
            State::Switching(Direction::Back, _) => "switching_back",
            State::Settling(Direction::There, _) => "settling",
            State::Settling(Direction::Back, _) => "settling_back",
            State::Done => "done",
            State::TurnedBack => "turned_back",
            State::Overtaken => "overtaken",
        }
    }
}

/// A step that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// When, by the time of day of who took it.
    pub day: u64,
    /// Under which fence.
    pub fence: u64,
    /// Into which state.
    pub step: CompactString,
    /// Why.
    pub why: String,
}

/// One move.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Its name.
    pub name: CompactString,
    /// The version of the record that it was planned with: no other move has the same, of whatever name.
    pub epoch: u64,
    /// What tells its contract from others.
    pub mark: u32,
    /// Its routes in the order of their loads; none any more where it has ended.
    pub hauls: Vec<RouteMove>,
    /// The steps in which they go.
    pub loads: u32,
    /// Which service takes the place of which.
    pub services: Vec<(CompactString, CompactString)>,
    /// The longest that a request of its routes may be held.
    pub longest_ms: u64,
    /// What it has to keep within.
    pub bounds: Bounds,
    /// Instances that each target is to have before the first load goes.
    pub needs: Vec<(CompactString, u32)>,
    /// Instances that each source had, and keeps until the move has ended.
    pub keeps: Vec<(CompactString, u32)>,
    /// The next revision of its own, and the last one: none left where the next is above.
    pub numbers: (u64, u64),
    /// No further load goes.
    pub paused: bool,
    /// How far it is.
    pub state: State,
    /// The steps that it took.
    pub stamps: Vec<Stamp>,
}

impl Move {
    /// Takes a step.
    pub(crate) fn enter(&mut self, state: State, day: u64, fence: u64, why: impl Into<String>) {
        let mut why = why.into();
        let end = (0..=MOST_WHY.min(why.len())).rev().find(|at| why.is_char_boundary(*at)).unwrap_or(0);
        why.truncate(end);
        if self.stamps.len() >= MOST_STAMPS {
            self.stamps.remove(1);
        }
        self.stamps.push(Stamp { day, fence, step: state.word().into(), why });
        self.state = state;
        if self.state.ended() {
            self.hauls.clear();
            self.services.clear();
            self.needs.clear();
            self.keeps.clear();
        }
    }

    /// When it was planned, by the time of day.
    pub fn planned_at(&self) -> u64 {
        self.stamps.first().map_or(0, |stamp| stamp.day)
    }

    /// When it was opened, by the time of day; none where it has not been yet.
    pub fn opened_at(&self) -> Option<u64> {
        self.stamps.iter().find(|stamp| stamp.step == "opened").map(|stamp| stamp.day)
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
pub enum BadRecord {
    /// It is of a newer version of the program.
    #[snafu(display("moves of format {format}, from a newer version; this one reads up to {FORMAT}"))]
    Newer {
        /// Its format.
        format: u64,
    },
    /// It is not what was written.
    #[snafu(display("the record of moves: {source}"), context(false))]
    Spoilt {
        /// Why.
        source: ConfigError,
    },
}

impl Record {
    /// A move by its name.
    pub fn named(&self, name: &str) -> Option<&Move> {
        self.moves.iter().find(|known| known.name == name)
    }

    pub(crate) fn named_mut(&mut self, name: &str) -> Option<&mut Move> {
        self.moves.iter_mut().find(|known| known.name == name)
    }

    /// Moves that have not ended.
    pub fn open(&self) -> impl Iterator<Item = &Move> {
        self.moves.iter().filter(|known| !known.state.ended())
    }

    /// Forgets the oldest of those that have ended, where they are many.
    pub(crate) fn tidy(&mut self) {
        let mut over = self.moves.iter().filter(|m| m.state.ended()).count().saturating_sub(MOST_ENDED);
        self.moves.retain(|known| {
            let forgotten = over > 0 && known.state.ended();
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
    pub fn read(text: &str) -> Result<Self, BadRecord> {
        let value = values::parse(text)?;
        let at = JsonCursor::root(&value);
        match at.required("format")?.uint()? {
            FORMAT => {}
            format => return Err(BadRecord::Newer { format }),
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
        let word = ("step", string(self.word()));
        match self {
            State::Switching(_, put) => object([
                word,
                ("number", number(put.number)),
                ("over", number(put.over)),
                ("load", number(put.load.into())),
                ("of", number(put.of.into())),
            ]),
            State::Settling(_, revision) => object([word, ("revision", number(*revision))]),
            _ => object([word]),
        }
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let put = || {
            let whole = |key| at.required(key)?.uint();
            let count = |key| at.required(key)?.saturating_u32();
            Ok(Put { number: whole("number")?, over: whole("over")?, load: count("load")?, of: count("of")? })
        };
        let revision = || at.required("revision")?.uint();
        let step = at.required("step")?;
        Ok(match step.str()? {
            "planned" => State::Planned { started: false },
            "started" => State::Planned { started: true },
            "opened" => State::Opened,
            "switching" => State::Switching(Direction::There, put()?),
            "switching_back" => State::Switching(Direction::Back, put()?),
            "settling" => State::Settling(Direction::There, revision()?),
            "settling_back" => State::Settling(Direction::Back, revision()?),
            "done" => State::Done,
            "turned_back" => State::TurnedBack,
            "overtaken" => State::Overtaken,
            other => return Err(step.error(format!("is {other:?}, which is no step"))),
        })
    }
}

impl Stamp {
    fn to_value(&self) -> JsonValue {
        object([
            ("day", number(self.day)),
            ("fence", number(self.fence)),
            ("step", string(&self.step)),
            ("why", string(&self.why)),
        ])
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        Ok(Self {
            day: at.required("day")?.uint()?,
            fence: at.required("fence")?.uint()?,
            step: at.required("step")?.str()?.into(),
            why: at.required("why")?.str()?.to_owned(),
        })
    }
}

impl Move {
    fn to_value(&self) -> JsonValue {
        object([
            ("name", string(&self.name)),
            ("epoch", number(self.epoch)),
            ("mark", number(self.mark.into())),
            ("hauls", list(self.hauls.iter().map(RouteMove::to_value))),
            ("loads", number(self.loads.into())),
            ("services", list(self.services.iter().map(|(from, to)| list([string(from), string(to)])))),
            ("longest_ms", number(self.longest_ms)),
            ("bounds", self.bounds.to_value()),
            ("needs", shares(&self.needs)),
            ("keeps", shares(&self.keeps)),
            ("next", number(self.numbers.0)),
            ("last", number(self.numbers.1)),
            ("paused", JsonValue::Boolean(self.paused)),
            ("state", self.state.to_value()),
            ("stamps", list(self.stamps.iter().map(Stamp::to_value))),
        ])
    }

    fn read(at: &JsonCursor<'_>) -> Result<Self, ConfigError> {
        let hauls = at.required("hauls")?;
        let stamps = at.required("stamps")?;
        let loads = at.required("loads")?;
        if hauls.items()?.len() > MOST_ROUTES || loads.saturating_u32()? > MOST_LOADS {
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
            mark: at.required("mark")?.saturating_u32()?,
            hauls: hauls.items()?.map(|at| RouteMove::read(&at)).collect::<Result<_, _>>()?,
            loads: loads.saturating_u32()?,
            services: at.required("services")?.items()?.map(pair).collect::<Result<_, _>>()?,
            longest_ms: at.required("longest_ms")?.uint()?,
            bounds: Bounds::read(&at.required("bounds")?)?,
            needs: read_shares(&at.required("needs")?)?,
            keeps: read_shares(&at.required("keeps")?)?,
            numbers: (at.required("next")?.uint()?, at.required("last")?.uint()?),
            paused: at.required("paused")?.boolean()?,
            state: State::read(&at.required("state")?)?,
            stamps: stamps.items()?.map(|at| Stamp::read(&at)).collect::<Result<_, _>>()?,
        })
    }
}
