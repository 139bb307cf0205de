//! A day as it is drawn from its seed: troubles, changes of the configuration, how it ends.

use crate::chance::Chance;
use crate::plant::Plant;
use crate::site::{Site, Size};
use crate::speeds::Speeds;
use crate::{MS, SECOND, Time};

/// From whom a machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum From {
    /// All others.
    All,
    /// Other core machines; stalls and the platform reach it.
    Core,
    /// All others hear nothing of it, and it hears them.
    OneWay,
}

/// Which machine of the core is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// One that the settings files name.
    Seed,
    /// The steward.
    Leader,
    /// Any, with SIGTERM first.
    Planned,
}

/// What happens, named as in the users' site files.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// More requests of one class, by this factor.
    Burst { class: usize, times: f64, lasts: Time },
    /// One machine's processes are killed; with `power` what was not synced may be gone.
    NodeKill { core: bool, power: bool, lasts: Time },
    /// A part of the edge machines is killed in one moment.
    HerdKill { share: f64, power: bool, lasts: Time },
    /// Core machines are cut off.
    CoreCut { count: usize, from: From, lasts: Time },
    /// A part of the workers crashes with their endpoints; `reset`: their hosts still answer.
    WorkerCrash { share: f64, reset: bool, lasts: Time },
    /// A part of the workers is emptied.
    WorkerDrain { share: f64 },
    /// A core machine loses its disk right after it has acknowledged.
    AfterAckWipe { lasts: Time },
    /// Two operators send one revision with two contents at once.
    ConfigRace,
    /// The configuration changes.
    ConfigChange,
    /// Something invalid is sent.
    BadConfig,
    /// Endpoints run requests and this part of their answers is lost.
    AnswerLost { share: f64, lasts: Time },
    /// Endpoints hand out wrong bytes.
    Garble { share: f64, lasts: Time },
    /// A part of the endpoints works slower by this factor.
    SrvSlow { share: f64, times: f64, lasts: Time },
    /// Connections of a machine are reset.
    ResetConns { core: bool },
    /// A machine freezes, and wakes.
    NodeFreeze { core: bool, lasts: Time },
    /// A disk hangs.
    DiskStall { lasts: Time },
    /// A disk is slower by this factor.
    DiskSlow { times: f64, lasts: Time },
    /// A disk takes nothing.
    DiskFull { lasts: Time },
    /// A core machine goes for good, and an empty one comes at another address so long after.
    ReplaceCore { whom: Whom, after: Time },
    /// Other core machines become the seeds.
    SeedTurnover,
    /// The processes of a machine get SIGTERM and are started again.
    NodeTerm { core: bool },
    /// The configuration grows by so many routes.
    BigConfig { count: usize },
    /// An operator takes out a worker, or a stall. Not drawn.
    Drain { worker: bool, lasts: Time },
    /// The routes of the first busy service go to the second, and the configuration names the first no more.
    ServiceDrop,
    /// So many changes of the configuration in a row.
    ConfigStorm { count: usize, every: Time },
    /// This part of the answers to operators is lost; they send the same again, to other machines first.
    AckLost { share: f64, lasts: Time },
    /// So many operators send as many contents under one revision at once.
    ConfigRaceOf { count: usize },
    /// The configuration that was acknowledged last is sent once more.
    SentAgain,
    /// Another content is sent under the revision that was acknowledged last.
    SameRevision,
    /// The core machine that acknowledges next is gone right after it: killed, or without power.
    AfterAckKill { power: bool, lasts: Time },
    /// The core is cut in two halves; all others reach both.
    CoreSplit { lasts: Time },
    /// An edge machine is cut off from the core.
    NodeCut { lasts: Time },
    /// The processes of all core machines get SIGTERM, one after the other.
    RollTerm { every: Time },
    /// Those of a part of the edge machines do.
    EdgeRoll { share: f64, every: Time },
    /// One core machine misses changes; then another loses its disk, the rest are without power for as long, and the cut is over.
    CoreBehind { lasts: Time },
    /// The second part of that, by the place in the core of the one that missed the changes.
    BehindStrikes { missed: usize, lasts: Time },
    /// The processes of a part of the machines are told to read their settings again.
    HangUp { share: f64 },
    /// The time of day of some machines is off by so many milliseconds, and right again afterwards.
    ClockStep { share: f64, by_ms: i64, lasts: Time },
}

impl What {
    /// The users' word for it.
    pub fn name(&self) -> &'static str {
        match self {
            What::Burst { .. } => "burst",
            What::NodeKill { .. } => "node_kill",
            What::HerdKill { .. } => "herd_kill",
            What::CoreCut { .. } => "core_cut",
            What::WorkerCrash { .. } => "worker_crash",
            What::WorkerDrain { .. } => "worker_drain",
            What::AfterAckWipe { .. } => "after_ack_wipe",
            What::ConfigRace => "config_race",
            What::ConfigChange => "config_change",
            What::BadConfig => "bad_config",
            What::AnswerLost { .. } => "answer_lost",
            What::Garble { .. } => "garble",
            What::SrvSlow { .. } => "srv_slow",
            What::ResetConns { .. } => "reset_conns",
            What::NodeFreeze { .. } => "node_freeze",
            What::DiskStall { .. } => "disk_stall",
            What::DiskSlow { .. } => "disk_slow",
            What::DiskFull { .. } => "disk_full",
            What::ReplaceCore { .. } => "replace_core",
            What::SeedTurnover => "seed_turnover",
            What::NodeTerm { .. } => "node_term",
            What::BigConfig { .. } => "big_config",
            What::Drain { .. } => "drain",
            What::ServiceDrop => "service_drop",
            What::ConfigStorm { .. } => "config_storm",
            What::AckLost { .. } => "ack_lost",
            What::ConfigRaceOf { .. } => "config_race",
            What::SentAgain => "sent_again",
            What::SameRevision => "bad_config same_version",
            What::AfterAckKill { .. } => "after_ack_kill",
            What::CoreSplit { .. } => "core_cut split",
            What::NodeCut { .. } => "node_cut",
            What::ClockStep { .. } => "clock_step",
            What::RollTerm { .. } | What::EdgeRoll { .. } => "roll_term",
            What::CoreBehind { .. } | What::BehindStrikes { .. } => "core_cut behind",
            What::HangUp { .. } => "hup",
        }
    }
}

/// One trouble or change.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// When.
    pub at: Time,
    /// What.
    pub what: What,
    /// Whom it hits, where that is drawn.
    pub dice: u64,
}

/// How a day ends, right after a change was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// Every machine loses power.
    PowerOffAll,
    /// Every process is killed.
    KillAll,
    /// As many disks as may be lost are lost while all others lose power.
    WipeAfterAck,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// The size of the site.
    pub size: Size,
    /// Troubles and changes.
    pub troubles: Vec<Trouble>,
    /// How it ends, and when.
    pub closing: Option<(Time, Closing)>,
    /// A guard that is taken out.
    pub plant: Option<Plant>,
    /// LIMIT is judged while the core is not settled, too.
    pub strict: bool,
    /// Asks take of their owner's processor.
    pub strained: bool,
    /// How fast workers are.
    pub speeds: Speeds,
    /// The site is smaller by this factor.
    pub part: usize,
    /// The day is longer by this factor.
    pub times: u64,
    /// The site has the functions and requests of the users' homework sites, under so many times the usual load.
    pub homework: Option<f64>,
}

/// How days are drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Days {
    /// Up to four troubles of any kind.
    #[default]
    Usual,
    /// Those with more troubles of the control side, and longer cuts.
    Control,
    /// Longer days with planned work only, which comes in series and overlaps.
    Planned,
}

impl Days {
    /// The day of this seed.
    pub fn draw(self, seed: u64, size: Size, plant: Option<Plant>) -> Plan {
        match self {
            Days::Usual => Plan::draw(seed, size, plant),
            Days::Control => Plan::draw_control(seed, size, plant),
            Days::Planned => Plan::draw_planned(seed, size, plant),
        }
    }
}

/// A day of planned work is so many times as long as others.
const PLANNED_TIMES: u64 = 3;

impl Plan {
    /// The day of this seed.
    pub fn draw(seed: u64, size: Size, plant: Option<Plant>) -> Self {
        let site = Site::new(size);
        let mut chance = Chance::new(seed ^ 0x5eed);
        let (begin, end) = (site.lead, site.lead + site.length);
        let mut troubles = Vec::new();
        let changes = 1 + chance.below(4);
        for _ in 0..changes {
            let at = chance.between(3 * SECOND, end - 2 * SECOND);
            let what = match chance.below(6) {
                0 | 1 => What::ConfigRace,
                2 => What::BadConfig,
                _ => What::ConfigChange,
            };
            troubles.push(Trouble { at, what, dice: chance.seed() });
        }
        for _ in 0..chance.below(5) {
            let at = chance.between(begin, end - SECOND);
            let lasts = chance.between(800 * MS, 5_500 * MS);
            let what = drawn(&mut chance, lasts);
            troubles.push(Trouble { at, what, dice: chance.seed() });
        }
        troubles.sort_by_key(|t| t.at);
        let closing = match chance.below(5) {
            0 => Some(Closing::PowerOffAll),
            1 => Some(Closing::KillAll),
            2 => Some(Closing::WipeAfterAck),
            _ => None,
        };
        let closing = closing.filter(|_| size != Size::Large).map(|how| (end, how));
        if size == Size::Large {
            troubles.retain(|t| matches!(t.what, What::ConfigChange));
        }
        Plan {
            seed,
            size,
            troubles,
            closing,
            plant,
            strict: false,
            strained: false,
            speeds: Speeds::Even,
            part: 1,
            times: 1,
            homework: None,
        }
    }

    /// The same day with four to nine further troubles of its control side, and cuts that last for up to 20 s.
    pub fn draw_control(seed: u64, size: Size, plant: Option<Plant>) -> Self {
        let mut plan = Self::draw(seed, size, plant);
        let site = Site::new(size);
        let mut chance = Chance::new(seed ^ 0x0c04_7801);
        // All is over a while before the end: what comes then finds no more machines lost than may be at once.
        let over = site.lead + site.length - 6 * SECOND;
        for _ in 0..4 + chance.below(6) {
            let at = chance.between(site.lead / 2, over - SECOND);
            let lasts = chance.between(800 * MS, 8_000 * MS).min(over - at);
            let what = drawn_control(&mut chance, lasts, over - at);
            plan.troubles.push(Trouble { at, what, dice: chance.seed() });
        }
        plan.troubles.sort_by_key(|t| t.at);
        plan
    }

    /// A long day without unplanned trouble: rolls, single machines that are told to end, signals, changes of the configuration and
    /// workers that are emptied, in series that overlap.
    pub fn draw_planned(seed: u64, size: Size, plant: Option<Plant>) -> Self {
        let site = Site::new(size);
        let mut chance = Chance::new(seed ^ 0x501a_4b1e);
        let homework = Some(chance.between(500, 6_000) as f64 / 1_000.0);
        let mut plan = Plan { plant, times: PLANNED_TIMES, homework, ..Self::quiet(seed, size) };
        let end = site.lead + site.length * PLANNED_TIMES - 8 * SECOND;
        let mut at = site.lead + chance.between(0, SECOND);
        while at < end {
            let what = drawn_planned(&mut chance);
            plan.troubles.push(Trouble { at, what, dice: chance.seed() });
            // Most come before what the one before them does is over.
            at += chance.between(100 * MS, 6 * SECOND);
        }
        plan
    }

    /// A day without any trouble.
    pub fn quiet(seed: u64, size: Size) -> Self {
        Plan {
            seed,
            size,
            troubles: Vec::new(),
            closing: None,
            plant: None,
            strict: false,
            strained: false,
            speeds: Speeds::Even,
            part: 1,
            times: 1,
            homework: None,
        }
    }

    /// The same with this as well.
    pub fn with(mut self, at: Time, what: What) -> Self {
        self.troubles.push(Trouble { at, what, dice: self.seed });
        self.troubles.sort_by_key(|t| t.at);
        self
    }
}

fn drawn(chance: &mut Chance, lasts: Time) -> What {
    let share = chance.share();
    let flag = chance.one(0.5);
    match chance.below(24) {
        0 | 1 => What::Burst { class: chance.below(3), times: 1.5 + 2.0 * share, lasts },
        2 | 3 => What::NodeKill { core: flag, power: chance.one(0.5), lasts },
        4 => What::HerdKill { share: 0.3 + 0.3 * share, power: flag, lasts: lasts / 2 },
        5 | 6 => {
            let from = [From::All, From::Core, From::OneWay][chance.below(3)];
            What::CoreCut { count: 1 + usize::from(flag && share < 0.3), from, lasts }
        }
        7 => What::WorkerCrash { share: 0.08 + 0.08 * share, reset: flag, lasts },
        8 => What::WorkerDrain { share: 0.11 },
        9 => What::AfterAckWipe { lasts },
        10 if flag => What::AnswerLost { share: 0.2 + 0.7 * share, lasts },
        10 => What::AnswerLost { share: 0.01 + 0.03 * share, lasts },
        11 => What::Garble { share: 0.01 + 0.03 * share, lasts },
        12 => What::SrvSlow { share: 0.1 + 0.3 * share, times: 2.0 + 4.0 * share, lasts },
        13 => What::ResetConns { core: flag },
        14 => What::NodeFreeze { core: flag, lasts },
        15 => What::DiskStall { lasts },
        16 => What::DiskSlow { times: 5.0 + 20.0 * share, lasts },
        17 => What::DiskFull { lasts },
        18 | 19 => {
            let whom = [Whom::Seed, Whom::Leader, Whom::Planned][chance.below(3)];
            What::ReplaceCore { whom, after: SECOND + lasts / 5 }
        }
        20 => What::SeedTurnover,
        21 => What::NodeTerm { core: flag },
        22 => What::BigConfig { count: 100 + (share * 250.0) as usize },
        _ => What::ConfigStorm { count: 4 + (share * 8.0) as usize, every: chance.between(5 * MS, 250 * MS) },
    }
}

/// Planned work.
fn drawn_planned(chance: &mut Chance) -> What {
    let share = chance.share();
    match chance.below(10) {
        0..=2 => What::EdgeRoll { share: 0.3 + 0.7 * share, every: chance.between(0, 2_500 * MS) },
        3 | 4 => What::NodeTerm { core: false },
        5 => What::RollTerm { every: 200 * MS + chance.between(0, 2 * SECOND) },
        6 => What::HangUp { share: 0.3 + 0.7 * share },
        7 => What::WorkerDrain { share: 0.11 },
        8 => What::ConfigChange,
        _ => {
            What::ConfigStorm { count: 4 + (share * 20.0) as usize, every: chance.between(5 * MS, 400 * MS) }
        }
    }
}

/// Troubles of the control side, as they meet there on its worst days.
fn drawn_control(chance: &mut Chance, lasts: Time, longest: Time) -> What {
    let flag = chance.one(0.5);
    match chance.below(16) {
        0 | 1 => What::AckLost { share: 0.7, lasts },
        2 | 3 => What::ConfigRaceOf { count: 2 + chance.below(7) },
        4 => What::SentAgain,
        5 => What::SameRevision,
        6 | 7 => What::AfterAckKill { power: flag, lasts: lasts / 3 },
        8 => What::CoreSplit { lasts },
        9 => What::NodeCut { lasts },
        10 => What::CoreCut { count: 1, from: From::All, lasts: longest.min(20 * SECOND) },
        11 => What::RollTerm { every: 200 * MS + lasts / 4 },
        12 => What::CoreBehind { lasts: lasts / 2 },
        13 => What::HangUp { share: 0.3 },
        14 => {
            let by_ms = if flag { 2_000 } else { -2_000 } * (1 + chance.below(10) as i64);
            What::ClockStep { share: 0.3, by_ms, lasts }
        }
        _ => What::NodeTerm { core: true },
    }
}
