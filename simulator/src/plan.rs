//! The plan of a simulated day, drawn from its seed: injected faults, configuration changes and the final
//! fault.

use crate::mutation::Mutation;
use crate::rng::Rng;
use crate::site::{Site, Size};
use crate::speeds::Speeds;
use crate::{MS, SECOND, Time};

/// Which traffic of a machine a network partition blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutScope {
    /// All traffic.
    All,
    /// Traffic with other core machines; edge machines and the platform still reach it.
    Core,
    /// Outgoing traffic only; the machine still receives.
    OneWay,
}

/// Which core machine a replacement targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceTarget {
    /// A machine named as a seed in the settings files.
    Seed,
    /// The current leader.
    Leader,
    /// Any machine, as planned work: it gets SIGTERM first.
    Planned,
}

/// The kind of an injected fault or operation, named as in the users' site files. Variants and fields appear
/// in traces through `Debug`.
#[allow(missing_docs, reason = "the fields are what the variants say")]
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Request rate of one class multiplied by `times`.
    Burst { class: usize, times: f64, lasts: Time },
    /// The processes of one machine are killed. With `power` the machine also loses power, and unsynced
    /// writes may be lost.
    NodeKill { core: bool, power: bool, lasts: Time },
    /// A share of the edge machines is killed at the same instant.
    HerdKill { share: f64, power: bool, lasts: Time },
    /// Core machines are partitioned.
    CoreCut { count: usize, from: CutScope, lasts: Time },
    /// A share of the workers crashes with their endpoints. With `reset` their hosts still answer with
    /// connection resets.
    WorkerCrash { share: f64, reset: bool, lasts: Time },
    /// A share of the workers is drained.
    WorkerDrain { share: f64 },
    /// A core machine loses its disk right after it has acknowledged a configuration.
    AfterAckWipe { lasts: Time },
    /// Two operators concurrently submit different contents under the same revision.
    ConfigRace,
    /// An operator submits a changed configuration.
    ConfigChange,
    /// An operator submits an invalid configuration.
    BadConfig,
    /// Endpoints run requests, and this share of their responses is lost.
    AnswerLost { share: f64, lasts: Time },
    /// This share of the responses of endpoints is corrupted.
    Garble { share: f64, lasts: Time },
    /// Endpoints refuse this share of the requests, and send this share of their answers once more, late, in
    /// the place of the answer to the next request on the same connection.
    LateCopies { refused: f64, copied: f64, lasts: Time },
    /// A share of the endpoints runs slower by the factor `times`.
    SrvSlow { share: f64, times: f64, lasts: Time },
    /// All connections of a machine are reset.
    ResetConns { core: bool },
    /// All processes of a machine are suspended, then resumed.
    NodeFreeze { core: bool, lasts: Time },
    /// A disk of a core machine hangs.
    DiskStall { lasts: Time },
    /// A disk of a core machine is slower by the factor `times`.
    DiskSlow { times: f64, lasts: Time },
    /// A disk of a core machine is full.
    DiskFull { lasts: Time },
    /// A core machine is removed permanently. An empty one starts at another address after the delay `after`.
    ReplaceCore { whom: ReplaceTarget, after: Time },
    /// The core machines are replaced one per `every`, the leader last. Each successor starts half of `every`
    /// before its predecessor is removed. The settings of running processes do not change.
    ReplaceEach { every: Time },
    /// `count` core machines get successors at the same time. The catch-up time later, when a removed machine no
    /// longer counts as lost, they are removed permanently at the same moment; with `term` they get SIGTERM first.
    SucceedCore { count: usize, term: bool },
    /// The second step of [`FaultKind::SucceedCore`].
    RemoveSucceeded { term: bool },
    /// A core machine loses power and its disk.
    DiskLoss { lasts: Time },
    /// All processes of the core are killed at the same moment, those of machines that are being removed too.
    CoreKill { lasts: Time },
    /// All machines of one zone lose power, and its core machines lose their disks.
    ZoneLoss { zone: usize, lasts: Time },
    /// Other core machines become the seeds in the settings files.
    SeedTurnover,
    /// The processes of a machine get SIGTERM and are restarted.
    NodeTerm { core: bool },
    /// The configuration grows by `count` routes.
    BigConfig { count: usize },
    /// An operator drains a worker or an edge machine. Never drawn at random.
    Drain { worker: bool, lasts: Time },
    /// The routes of the first busy service move to the second, and the configuration no longer contains the
    /// first.
    ServiceDrop,
    /// `count` configuration changes, one per `every`.
    ConfigStorm { count: usize, every: Time },
    /// This share of the responses to operators is lost. Operators retry, on other machines first.
    AckLost { share: f64, lasts: Time },
    /// `count` operators concurrently submit different contents under the same revision.
    ConfigRaceOf { count: usize },
    /// The configuration acknowledged last is submitted again.
    SentAgain,
    /// Different content is submitted under the revision acknowledged last.
    SameRevision,
    /// The core machine that acknowledges the next configuration is killed right after it, or loses power.
    AfterAckKill { power: bool, lasts: Time },
    /// The core is partitioned into two halves; all other machines reach both.
    CoreSplit { lasts: Time },
    /// An edge machine is partitioned from the core.
    NodeCut { lasts: Time },
    /// Rolling restart of the core: the processes of each core machine get SIGTERM in turn.
    RollTerm { every: Time },
    /// Rolling restart of a share of the edge machines.
    EdgeRoll { share: f64, every: Time },
    /// One core machine is partitioned and misses changes. Then another loses its disk, all remaining ones
    /// lose power for `lasts`, and the partition heals.
    CoreBehind { lasts: Time },
    /// The second step of [`FaultKind::CoreBehind`]. `missed` is the index in the core of the machine that
    /// missed the changes.
    BehindStrikes { missed: usize, lasts: Time },
    /// The processes of a share of the machines get SIGHUP and reload their settings.
    HangUp { share: f64 },
    /// The wall clocks of a share of the machines are off by `by_ms` milliseconds for the duration `lasts`.
    ClockStep { share: f64, by_ms: i64, lasts: Time },
}

impl FaultKind {
    /// The name used in the users' site files.
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
            FaultKind::LateCopies { .. } => "garble extra late",
            FaultKind::SrvSlow { .. } => "srv_slow",
            FaultKind::ResetConns { .. } => "reset_conns",
            FaultKind::NodeFreeze { .. } => "node_freeze",
            FaultKind::DiskStall { .. } => "disk_stall",
            FaultKind::DiskSlow { .. } => "disk_slow",
            FaultKind::DiskFull { .. } => "disk_full",
            FaultKind::ReplaceCore { .. }
            | FaultKind::ReplaceEach { .. }
            | FaultKind::SucceedCore { .. }
            | FaultKind::RemoveSucceeded { .. } => "replace_core",
            FaultKind::DiskLoss { .. } => "disk_loss",
            FaultKind::CoreKill { .. } => "herd_kill",
            FaultKind::ZoneLoss { .. } => "zone_loss",
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

/// One scheduled fault or operation.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// Time at which it takes effect.
    pub at: Time,
    /// What is injected.
    pub kind: FaultKind,
    /// Seed for the random choice of the targets.
    pub target_seed: u64,
}

/// The fault injected at the end of a day, right after a configuration change was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFault {
    /// Every machine loses power.
    PowerOffAll,
    /// Every process is killed.
    KillAll,
    /// All core machines lose power, and the acknowledging one also loses its disk, which is the tolerated
    /// number of lost disks.
    WipeAfterAck,
}

/// The plan of one simulated day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Size of the site.
    pub size: Size,
    /// Faults and configuration changes, ordered by time.
    pub faults: Vec<InjectedFault>,
    /// The final fault and its time, if there is one.
    pub final_fault: Option<(Time, FinalFault)>,
    /// The safeguard that is disabled, if any.
    pub mutation: Option<Mutation>,
    /// Checks the LIMIT rule also while the core is disturbed.
    pub strict: bool,
    /// Charges permit requests to the CPU of the owning proxy.
    pub charge_request_cpu: bool,
    /// Distribution of worker speeds.
    pub speeds: Speeds,
    /// Divisor for the number of edge machines, workers, functions and client requests.
    pub site_divisor: usize,
    /// Multiplier for the length of the day.
    pub length_factor: u64,
    /// Uses the functions and requests of the users' homework sites, with this multiple of the usual load.
    pub homework: Option<f64>,
    /// Maximum number of endpoints that one attempt may be sent to on routes that are not idempotent.
    pub unsafe_tries: u32,
    /// Number of zones that may be lost at once. If it is not 0, each zone has two core machines, and the first
    /// voters, which are the seeds, do not have a zone each.
    pub zone_losses: u32,
}

/// Which kinds of faults a random day contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlanKind {
    /// Up to four faults of any kind.
    #[default]
    Usual,
    /// Additional controller faults and longer partitions.
    Control,
    /// Longer days with planned operations only, in overlapping series.
    Planned,
    /// Longer days on which every core machine is replaced, while endpoints refuse requests and send copies of
    /// their answers.
    Turnover,
    /// Longer days on which core machines are removed as soon as their successors have caught up, and others are
    /// lost, cut off or killed right after that.
    Succession,
}

impl PlanKind {
    /// Draws the plan for a seed.
    pub fn draw(self, seed: u64, size: Size, mutation: Option<Mutation>) -> Plan {
        match self {
            PlanKind::Usual => Plan::draw(seed, size, mutation),
            PlanKind::Control => Plan::draw_control(seed, size, mutation),
            PlanKind::Planned => Plan::draw_planned(seed, size, mutation),
            PlanKind::Turnover => Plan::draw_turnover(seed, size, mutation),
            PlanKind::Succession => Plan::draw_succession(seed, size, mutation),
        }
    }
}

/// Length of a day of planned operations, or of a turnover, relative to other days.
const LONG_DAY_FACTOR: u64 = 3;
/// `catch_up_s`: a machine that is new, or back, counts as lost for so long.
pub const CATCH_UP: Time = 4 * SECOND;
/// From the end of one replacement of a core machine to the beginning of the next: the site's catch-up time and
/// contact time, so that the losses stay within the tolerance.
const BETWEEN_REPLACEMENTS: Time = 8 * SECOND;

impl Plan {
    /// Draws the plan for a seed.
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
            unsafe_tries: 1,
            zone_losses: 0,
        }
    }

    /// Draws the plan of [`Plan::draw`] with four to nine additional controller faults, including partitions
    /// of up to 20 s.
    pub fn draw_control(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let mut plan = Self::draw(seed, size, mutation);
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x0c04_7801);
        // All additional faults end before the final fault, so that it does not exceed the tolerated number
        // of lost machines.
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

    /// Draws a long day without failures: rolling restarts, single SIGTERMs, reloads, configuration changes
    /// and worker drains in overlapping series.
    pub fn draw_planned(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x501a_4b1e);
        let homework = Some(rng.between(500, 6_000) as f64 / 1_000.0);
        let mut plan = Plan { mutation, length_factor: LONG_DAY_FACTOR, homework, ..Self::quiet(seed, size) };
        let end = site.lead + site.length * LONG_DAY_FACTOR - 8 * SECOND;
        let mut at = site.lead + rng.between(0, SECOND);
        while at < end {
            let what = draw_planned_fault(&mut rng);
            plan.faults.push(InjectedFault { at, kind: what, target_seed: rng.seed() });
            // Most operations start before the effects of the previous one have ended.
            at += rng.between(100 * MS, 6 * SECOND);
        }
        plan
    }

    /// Draws a long day on which every core machine is replaced, the leader last. Attempts may go to two
    /// endpoints; endpoints refuse requests and send copies of their answers; edge machines, workers and
    /// configurations fail and change as on other days.
    pub fn draw_turnover(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x7e9_1ace5);
        let mut plan = Plan {
            mutation,
            length_factor: LONG_DAY_FACTOR,
            unsafe_tries: 2 + rng.below(2) as u32,
            ..Self::quiet(seed, size)
        };
        let end = site.lead + site.length * LONG_DAY_FACTOR;
        let every = 2 * BETWEEN_REPLACEMENTS;
        let first = site.lead + rng.between(0, 4 * SECOND);
        let mut faults = vec![(first, FaultKind::ReplaceEach { every })];
        let mut at = site.lead + rng.between(0, 4 * SECOND);
        while at < end - 6 * SECOND {
            let lasts = rng.between(800 * MS, 5_500 * MS);
            faults.push((at, draw_turnover_fault(&mut rng, lasts)));
            at += rng.between(500 * MS, 8 * SECOND);
        }
        for (at, kind) in faults {
            plan.faults.push(InjectedFault { at, kind, target_seed: rng.seed() });
        }
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    /// Draws a long day on which core machines, one or several at once, are removed as soon as their successors have
    /// caught up, right after a configuration was submitted; then another one is lost with its disk or cut off, or
    /// all are killed.
    pub fn draw_succession(seed: u64, size: Size, mutation: Option<Mutation>) -> Self {
        let site = Site::new(size);
        let mut rng = Rng::new(seed ^ 0x5cce_5510);
        let mut plan = Plan { mutation, length_factor: LONG_DAY_FACTOR, ..Self::quiet(seed, size) };
        let end = site.lead + site.length * LONG_DAY_FACTOR;
        let mut at = site.lead + rng.between(0, 4 * SECOND);
        while at < end - 2 * BETWEEN_REPLACEMENTS {
            let (count, term) = ([1, 1, 2, site.cores.len()][rng.below(4)], rng.chance(0.4));
            let removal = at + CATCH_UP;
            let (gap, lasts) = (rng.between(0, 4 * SECOND), rng.between(500 * MS, 5 * SECOND));
            let loss = match rng.below(6) {
                0..=2 => FaultKind::DiskLoss { lasts },
                3 => FaultKind::CoreKill { lasts: rng.between(200 * MS, SECOND) },
                4 => FaultKind::CoreCut { count: 1, from: CutScope::All, lasts },
                _ => FaultKind::NodeKill { core: true, power: rng.chance(0.5), lasts },
            };
            let faults = [
                (at, FaultKind::SucceedCore { count, term }),
                (removal - rng.between(10 * MS, 2 * SECOND), FaultKind::ConfigChange),
                (removal + gap, loss),
                (removal + gap + rng.between(0, lasts), FaultKind::ConfigChange),
            ];
            let inject = |(at, kind)| InjectedFault { at, kind, target_seed: rng.seed() };
            plan.faults.extend(faults.map(inject));
            at = removal + gap + lasts + BETWEEN_REPLACEMENTS + rng.between(0, 3 * SECOND);
        }
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    /// A day without faults.
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
            unsafe_tries: 1,
            zone_losses: 0,
        }
    }

    /// Adds a fault; its targets are drawn from the seed of the day.
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

/// Draws a planned operation.
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

/// Draws a fault that leaves the core alone.
fn draw_turnover_fault(rng: &mut Rng, lasts: Time) -> FaultKind {
    let share = rng.unit();
    match rng.below(12) {
        0..=4 => {
            FaultKind::LateCopies { refused: 0.05 + 0.2 * share, copied: 0.01 + 0.1 * rng.unit(), lasts }
        }
        5 => FaultKind::NodeKill { core: false, power: rng.chance(0.5), lasts },
        6 => FaultKind::WorkerCrash { share: 0.08 + 0.08 * share, reset: rng.chance(0.5), lasts },
        7 => FaultKind::ResetConns { core: false },
        8 => FaultKind::NodeCut { lasts },
        9 => FaultKind::Burst { class: rng.below(3), times: 1.5 + 2.0 * share, lasts },
        _ => FaultKind::ConfigChange,
    }
}

/// Draws a controller fault. `longest` is the time left for faults on this day.
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
