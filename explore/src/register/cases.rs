//! The cases of the register to explore: what each proposer does, and how often each kind of fault occurs.

use millpost_quorum::VoterChange;

use super::Fault;

/// Upper limits on how often each kind of fault occurs on one path.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Bounds {
    /// Timeouts of proposers: a phase is sent again, or a round is started again with a higher ballot.
    pub wakes: u8,
    /// Messages that arrive after their sender has moved on, and delayed replies.
    pub late: u8,
    /// Lost replies.
    pub lost: u8,
    /// Restarts of a voter with its disk.
    pub restarts: u8,
    /// Restarts of a voter on an empty disk.
    pub wipes: u8,
}

/// A change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VotersChange {
    /// The spare replaces the first voter.
    First,
    /// The spare replaces the third voter.
    Third,
    /// The spare becomes a fourth voter.
    Beside,
}

impl VotersChange {
    pub(super) fn change(self) -> VoterChange {
        let out = match self {
            VotersChange::First => "a",
            VotersChange::Third => "c",
            VotersChange::Beside => return VoterChange::Add("z".into()),
        };
        VoterChange::Replace { old: out.into(), new: "z".into() }
    }
}

/// What a proposer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// Reads.
    Read,
    /// Writes this content under a version.
    Offer(u64, &'static str),
    /// Changes the voters.
    ChangeVoters(VotersChange),
}

/// One case to explore.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Its name, by what happens in it.
    pub name: &'static str,
    /// The jobs of each proposer, in order. A first job that is not a read is in progress at the start.
    pub jobs: &'static [&'static [Job]],
    /// Whether there is a spare.
    pub spare: bool,
    /// Whether the spare was a voter before: it has a state of that time, and copies nothing.
    pub has_old_state: bool,
    /// Whether timers follow the shared clock; otherwise each may expire at any time, since no result depends on it.
    pub timed: bool,
    /// Its length, in steps of the clock.
    pub quanta: u8,
    /// Whether disks are emptied only after a write was acknowledged.
    pub answered: bool,
    /// Whether two disks may be empty at the same time, which starts only after the change to four voters.
    pub two_wipes: bool,
    /// Maximum number of deviations from the fault-free order on one path; `None` explores all orders.
    pub deviations: Option<u8>,
    /// Limits on faults.
    pub bounds: Bounds,
}

const X: Job = Job::Offer(1, "x");
const Y: Job = Job::Offer(1, "y");
const CALM: Bounds = Bounds { wakes: 0, late: 0, lost: 0, restarts: 0, wipes: 0 };
const PLAIN: Case = Case {
    name: "",
    jobs: &[],
    spare: false,
    has_old_state: false,
    timed: false,
    quanta: 0,
    answered: false,
    two_wipes: false,
    deviations: None,
    bounds: CALM,
};

/// The cases that are explored completely in tests.
pub fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "register: two contents of one version, a try again",
            jobs: &[&[X], &[Y]],
            bounds: Bounds { wakes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: two contents of one version, an answer lost, a message late",
            jobs: &[&[X], &[Y]],
            bounds: Bounds { lost: 1, late: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: two contents of one version, a restart",
            jobs: &[&[X], &[Y]],
            bounds: Bounds { restarts: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a write and a read, a restart, an answer lost",
            jobs: &[&[X], &[Job::Read]],
            bounds: Bounds { restarts: 1, lost: 1, wakes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a write, a disk is emptied once it is answered, a read",
            jobs: &[&[X], &[Job::Read]],
            timed: true,
            quanta: 2,
            answered: true,
            bounds: Bounds { wipes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a write, a disk is emptied, an answer is late",
            jobs: &[&[X]],
            timed: true,
            quanta: 2,
            bounds: Bounds { wipes: 1, late: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a voter is exchanged while another writes",
            jobs: &[&[X], &[Job::ChangeVoters(VotersChange::Third), Job::Read]],
            spare: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, late: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a voter that had left comes back while another writes",
            jobs: &[&[X], &[Job::ChangeVoters(VotersChange::Third), Job::Read]],
            spare: true,
            has_old_state: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, late: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a voter is exchanged, then a disk is emptied",
            jobs: &[&[X], &[Job::ChangeVoters(VotersChange::First), Job::Read]],
            spare: true,
            quanta: 2,
            answered: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, wipes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: the spare votes beside the three, then a disk is emptied",
            jobs: &[&[X], &[Job::ChangeVoters(VotersChange::Beside), Job::Read]],
            spare: true,
            quanta: 2,
            answered: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, wipes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: the spare votes beside the three, then two disks are emptied",
            jobs: &[&[X], &[Job::ChangeVoters(VotersChange::Beside), Job::Read]],
            spare: true,
            quanta: 3,
            answered: true,
            two_wipes: true,
            deviations: Some(3),
            bounds: Bounds { wakes: 4, wipes: 2, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a voter that had left votes beside the three, then a disk is emptied",
            jobs: &[&[X], &[Job::ChangeVoters(VotersChange::Beside), Job::Read]],
            spare: true,
            has_old_state: true,
            quanta: 2,
            answered: true,
            deviations: Some(3),
            bounds: Bounds { wakes: 4, late: 1, wipes: 1, ..CALM },
            ..PLAIN
        },
    ]
}

/// Cases with more faults at once, which take minutes.
pub fn large() -> Vec<Case> {
    vec![Case {
        name: "register: two contents of one version, a disk is emptied",
        jobs: &[&[X], &[Y]],
        timed: true,
        quanta: 2,
        bounds: Bounds { wipes: 1, ..CALM },
        ..PLAIN
    }]
}

/// Faults that must be found, each with a part of the name of the case that finds it.
pub const FAULTS: [(Fault, &str); 10] = [
    (Fault::NoPrepare, "a try again"),
    (Fault::AnswersFirst, "of one version, a restart"),
    (Fault::VotesAtOnce, "once it is answered"),
    (Fault::CopiesFromOne, "once it is answered"),
    (Fault::CopiesAtOnce, "is emptied, an answer is late"),
    (Fault::LateCounts, "is emptied, an answer is late"),
    (Fault::OneMajority, "comes back"),
    (Fault::NoJoint, "comes back"),
    (Fault::VotesAtOnce, "is exchanged, then a disk"),
    (Fault::OneMajority, "had left votes beside"),
];
