//! A day as it is drawn from its seed: troubles, changes of the configuration, how it ends.

use crate::mutation::Mutation;
use crate::rng::Rng;
use crate::site::{Site, Size};
use crate::speeds::Speeds;
use crate::{MS, SECOND, Time};

/// From whom a machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutScope {
    /// All others.
    All,
    /// Other core machines; stalls and the platform reach it.
    Core,
    /// All others hear nothing of it, and it hears them.
    OneWay,
}

/// Which machine of the core is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceTarget {
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
pub enum FaultKind {
    /// More requests of one class, by this factor.
    Burst { class: usize, times: f64, lasts: Time },
    /// One machine's processes are killed; with `power` what was not synced may be gone.
    NodeKill { core: bool, power: bool, lasts: Time },
    /// A part of the edge machines is killed in one moment.
    HerdKill { share: f64, power: bool, lasts: Time },
    /// Core machines are cut off.
    CoreCut { count: usize, from: CutScope, lasts: Time },
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
    ReplaceCore { whom: ReplaceTarget, after: Time },
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

impl FaultKind {
    /// The users' word for it.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Burst { .. } => "burst",
            FaultKind::NodeKill { .. } => "node_kill",
            FaultKind::HerdKill { .. } => "herd_kill",
            FaultKind::CoreCut { .. } => "core_cut",
            FaultKind::WorkerCrash { .. } => "worker_crash",
            FaultKind::WorkerDrain { .. } => "worker_drain",
            FaultKind::AfterAckWipe { .. } => "after_ack_wipe",
            FaultKind::ConfigRace => "config_race",
            FaultKind::ConfigChange => "config_change",
            FaultKind::BadConfig => "bad_config",
            FaultKind::AnswerLost { .. } => "answer_lost",
            FaultKind::Garble { .. } => "garble",
            FaultKind::SrvSlow { .. } => "srv_slow",
            FaultKind::ResetConns { .. } => "reset_conns",
            FaultKind::NodeFreeze { .. } => "node_freeze",
            FaultKind::DiskStall { .. } => "disk_stall",
            FaultKind::DiskSlow { .. } => "disk_slow",
            FaultKind::DiskFull { .. } => "disk_full",
            FaultKind::ReplaceCore { .. } => "replace_core",
            FaultKind::SeedTurnover => "seed_turnover",
            FaultKind::NodeTerm { .. } => "node_term",
            FaultKind::BigConfig { .. } => "big_config",
            FaultKind::Drain { .. } => "drain",
            FaultKind::ServiceDrop => "service_drop",
            FaultKind::ConfigStorm { .. } => "config_storm",
            FaultKind::AckLost { .. } => "ack_lost",
            FaultKind::ConfigRaceOf { .. } => "config_race",
            FaultKind::SentAgain => "sent_again",
            FaultKind::SameRevision => "bad_config same_version",
            FaultKind::AfterAckKill { .. } => "after_ack_kill",
            FaultKind::CoreSplit { .. } => "core_cut split",
            FaultKind::NodeCut { .. } => "node_cut",
            FaultKind::ClockStep { .. } => "clock_step",
            FaultKind::RollTerm { .. } | FaultKind::EdgeRoll { .. } => "roll_term",
            FaultKind::CoreBehind { .. } | FaultKind::BehindStrikes { .. } => "core_cut behind",
            FaultKind::HangUp { .. } => "hup",
        }
    }
}

/// One trouble or change.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// When.
    pub at: Time,
    /// What.
    pub kind: FaultKind,
    /// Whom it hits, where that is drawn.
    pub target_seed: u64,
}

/// How a day ends, right after a change was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
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
    pub faults: Vec<InjectedFault>,
    /// How it ends, and when.
    pub final_fault: Option<(Time, FinalFault)>,
    /// A guard that is taken out.
    pub mutation: Option<Mutation>,
    /// LIMIT is judged while the core is not settled, too.
    pub strict: bool,
    /// Asks take of their owner's processor.
    pub charge_request_cpu: bool,
    /// How fast workers are.
    pub speeds: Speeds,
    /// The site is smaller by this factor.
    pub site_divisor: usize,
    /// The day is longer by this factor.
    pub length_factor: u64,
    /// The site has the functions and requests of the users' homework sites, under so many times the usual load.
    pub homework: Option<f64>,
}

/// How days are drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlanKind {
    /// Up to four troubles of any kind.
    #[default]
    Usual,
    /// Those with more troubles of the control side, and longer cuts.
    Control,
    /// Longer days with planned work only, which comes in series and overlaps.
    Planned,
}

impl PlanKind {
    /// The day of this seed.
    pub fn draw(self, seed: u64, size: Size, mutation: Option<Mutation>) -> Plan {
        match self {
            PlanKind::Usual => Plan::draw(seed, size, mutation),
            PlanKind::Control => Plan::draw_control(seed, size, mutation),
            PlanKind::Planned => Plan::draw_planned(seed, size, mutation),
        }
    }
}

/// A day of planned work is so many times as long as others.
const PLANNED_LENGTH_FACTOR: u64 = 3;

impl Plan {
    /// The day of this seed.
    pub fn draw(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x5eed);
        let (begin, end) = (site.lead, site.lead + site.length);
        let mut faults = Vec::new();
        let changes = 1 + rng.below(4);
        for _ in 0..changes {
            let at = rng.between(3 * SECOND, end - 2 * SECOND);
            let what = match rng.below(6) {
                0 | 1 => FaultKind::ConfigRace,
                2 => FaultKind::BadConfig,
                _ => FaultKind::ConfigChange,
            };
            faults.push(InjectedFault { at, kind: what, target_seed: rng.seed() });
        }
        for _ in 0..rng.below(5) {
            let at = rng.between(begin, end - SECOND);
            let lasts = rng.between(800 * MS, 5_500 * MS);
            let what = draw_fault(&mut rng, lasts);
            faults.push(InjectedFault { at, kind: what, target_seed: rng.seed() });
        }
        faults.sort_by_key(|t| t.at);
        let final_fault = match rng.below(5) {
            0 => Some(FinalFault::PowerOffAll),
            1 => Some(FinalFault::KillAll),
            2 => Some(FinalFault::WipeAfterAck),
            _ => None,
        };
        let final_fault = final_fault.filter(|_| size != Size::Large).map(|how| (end, how));
        if size == Size::Large {
            faults.retain(|t| matches!(t.kind, FaultKind::ConfigChange));
        }
        Plan {
            seed,
            size,
            faults,
            final_fault,
            mutation,
            strict: false,
            charge_request_cpu: false,
            speeds: Speeds::Even,
            site_divisor: 1,
            length_factor: 1,
            homework: None,
        }
    }

    /// The same day with four to nine further troubles of its control side, and cuts that last for up to 20 s.
    pub fn draw_control(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let mut plan = Self::draw(seed, size, mutation);
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x0c04_7801);
        // All is over a while before the end: what comes then finds no more machines lost than may be at once.
        let over = site.lead + site.length - 6 * SECOND;
        for _ in 0..4 + rng.below(6) {
            let at = rng.between(site.lead / 2, over - SECOND);
            let lasts = rng.between(800 * MS, 8_000 * MS).min(over - at);
            let what = draw_control_fault(&mut rng, lasts, over - at);
            plan.faults.push(InjectedFault { at, kind: what, target_seed: rng.seed() });
        }
        plan.faults.sort_by_key(|t| t.at);
        plan
    }

    /// A long day without unplanned trouble: rolls, single machines that are told to end, signals, changes of the configuration and
    /// workers that are emptied, in series that overlap.
    pub fn draw_planned(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x501a_4b1e);
        let homework = Some(rng.between(500, 6_000) as f64 / 1_000.0);
        let mut plan =
            Plan { mutation, length_factor: PLANNED_LENGTH_FACTOR, homework, ..Self::quiet(seed, size) };
        let end = site.lead + site.length * PLANNED_LENGTH_FACTOR - 8 * SECOND;
        let mut at = site.lead + rng.between(0, SECOND);
        while at < end {
            let what = draw_planned_fault(&mut rng);
            plan.faults.push(InjectedFault { at, kind: what, target_seed: rng.seed() });
            // Most come before what the one before them does is over.
            at += rng.between(100 * MS, 6 * SECOND);
        }
        plan
    }

    /// A day without any trouble.
    pub fn quiet(seed: u64, size: Size) -> Self {
        Plan {
            seed,
            size,
            faults: Vec::new(),
            final_fault: None,
            mutation: None,
            strict: false,
            charge_request_cpu: false,
            speeds: Speeds::Even,
            site_divisor: 1,
            length_factor: 1,
            homework: None,
        }
    }

    /// The same with this as well.
    pub fn with(mut self, at: Time, what: FaultKind) -> Self {
        self.faults.push(InjectedFault { at, kind: what, target_seed: self.seed });
        self.faults.sort_by_key(|t| t.at);
        self
    }
}

fn draw_fault(rng: &mut Rng, lasts: Time) -> FaultKind {
    let share = rng.unit();
    let flag = rng.chance(0.5);
    match rng.below(24) {
        0 | 1 => FaultKind::Burst { class: rng.below(3), times: 1.5 + 2.0 * share, lasts },
        2 | 3 => FaultKind::NodeKill { core: flag, power: rng.chance(0.5), lasts },
        4 => FaultKind::HerdKill { share: 0.3 + 0.3 * share, power: flag, lasts: lasts / 2 },
        5 | 6 => {
            let from = [CutScope::All, CutScope::Core, CutScope::OneWay][rng.below(3)];
            FaultKind::CoreCut { count: 1 + usize::from(flag && share < 0.3), from, lasts }
        }
        7 => FaultKind::WorkerCrash { share: 0.08 + 0.08 * share, reset: flag, lasts },
        8 => FaultKind::WorkerDrain { share: 0.11 },
        9 => FaultKind::AfterAckWipe { lasts },
        10 if flag => FaultKind::AnswerLost { share: 0.2 + 0.7 * share, lasts },
        10 => FaultKind::AnswerLost { share: 0.01 + 0.03 * share, lasts },
        11 => FaultKind::Garble { share: 0.01 + 0.03 * share, lasts },
        12 => FaultKind::SrvSlow { share: 0.1 + 0.3 * share, times: 2.0 + 4.0 * share, lasts },
        13 => FaultKind::ResetConns { core: flag },
        14 => FaultKind::NodeFreeze { core: flag, lasts },
        15 => FaultKind::DiskStall { lasts },
        16 => FaultKind::DiskSlow { times: 5.0 + 20.0 * share, lasts },
        17 => FaultKind::DiskFull { lasts },
        18 | 19 => {
            let whom = [ReplaceTarget::Seed, ReplaceTarget::Leader, ReplaceTarget::Planned][rng.below(3)];
            FaultKind::ReplaceCore { whom, after: SECOND + lasts / 5 }
        }
        20 => FaultKind::SeedTurnover,
        21 => FaultKind::NodeTerm { core: flag },
        22 => FaultKind::BigConfig { count: 100 + (share * 250.0) as usize },
        _ => {
            FaultKind::ConfigStorm { count: 4 + (share * 8.0) as usize, every: rng.between(5 * MS, 250 * MS) }
        }
    }
}

/// Planned work.
fn draw_planned_fault(rng: &mut Rng) -> FaultKind {
    let share = rng.unit();
    match rng.below(10) {
        0..=2 => FaultKind::EdgeRoll { share: 0.3 + 0.7 * share, every: rng.between(0, 2_500 * MS) },
        3 | 4 => FaultKind::NodeTerm { core: false },
        5 => FaultKind::RollTerm { every: 200 * MS + rng.between(0, 2 * SECOND) },
        6 => FaultKind::HangUp { share: 0.3 + 0.7 * share },
        7 => FaultKind::WorkerDrain { share: 0.11 },
        8 => FaultKind::ConfigChange,
        _ => FaultKind::ConfigStorm {
            count: 4 + (share * 20.0) as usize,
            every: rng.between(5 * MS, 400 * MS),
        },
    }
}

/// Troubles of the control side, as they meet there on its worst days.
fn draw_control_fault(rng: &mut Rng, lasts: Time, longest: Time) -> FaultKind {
    let flag = rng.chance(0.5);
    match rng.below(16) {
        0 | 1 => FaultKind::AckLost { share: 0.7, lasts },
        2 | 3 => FaultKind::ConfigRaceOf { count: 2 + rng.below(7) },
        4 => FaultKind::SentAgain,
        5 => FaultKind::SameRevision,
        6 | 7 => FaultKind::AfterAckKill { power: flag, lasts: lasts / 3 },
        8 => FaultKind::CoreSplit { lasts },
        9 => FaultKind::NodeCut { lasts },
        10 => FaultKind::CoreCut { count: 1, from: CutScope::All, lasts: longest.min(20 * SECOND) },
        11 => FaultKind::RollTerm { every: 200 * MS + lasts / 4 },
        12 => FaultKind::CoreBehind { lasts: lasts / 2 },
        13 => FaultKind::HangUp { share: 0.3 },
        14 => {
            let by_ms = if flag { 2_000 } else { -2_000 } * (1 + rng.below(10) as i64);
            FaultKind::ClockStep { share: 0.3, by_ms, lasts }
        }
        _ => FaultKind::NodeTerm { core: true },
    }
}
