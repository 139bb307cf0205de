//! The worlds of the register: who does what in them, and how often something goes wrong.

use millpost_quorum::VoterChange;

use super::Fault;

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Bounds {
    /// Timers of proposers that run out: asking again, and trying again with a higher ballot.
    pub wakes: u8,
    /// Messages that come after their sender has gone on, or answers that are not heard at once.
    pub late: u8,
    /// Answers that are lost.
    pub lost: u8,
    /// Voters that start again with their disk.
    pub restarts: u8,
    /// Disks that are emptied.
    pub wipes: u8,
}

/// A change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The spare comes for the first.
    First,
    /// The spare comes for the third.
    Third,
    /// The spare votes beside the three.
    Beside,
}

impl Turn {
    pub(super) fn of(self) -> VoterChange {
        let out = match self {
            Turn::First => "a",
            Turn::Third => "c",
            Turn::Beside => return VoterChange::Add("z".into()),
        };
        VoterChange::Replace { old: out.into(), new: "z".into() }
    }
}

/// What a proposer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// Reads.
    Read,
    /// Offers a version with this content.
    Offer(u64, &'static str),
    /// Changes the voters.
    Move(Turn),
}

/// A world to be explored.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens in it.
    pub name: &'static str,
    /// Each proposer's jobs, one after the other. First jobs that are no reads have begun.
    pub jobs: &'static [&'static [Job]],
    /// There is a spare.
    pub spare: bool,
    /// It has been a voter before, has a state of that time, and copies nothing.
    pub had: bool,
    /// Timers go by the clock that all share; else each proposer's runs as it likes, since nothing hangs on it.
    pub timed: bool,
    /// How long it lasts.
    pub quanta: u8,
    /// Disks are emptied only once something was answered.
    pub answered: bool,
    /// Two disks may be empty at the same time, and none before four vote.
    pub two_wipes: bool,
    /// Steps off a calm day on any one way; all, where there is no bound.
    pub deviations: Option<u8>,
    /// How often.
    pub bounds: Bounds,
}

const X: Job = Job::Offer(1, "x");
const Y: Job = Job::Offer(1, "y");
const CALM: Bounds = Bounds { wakes: 0, late: 0, lost: 0, restarts: 0, wipes: 0 };
const PLAIN: Case = Case {
    name: "",
    jobs: &[],
    spare: false,
    had: false,
    timed: false,
    quanta: 0,
    answered: false,
    two_wipes: false,
    deviations: None,
    bounds: CALM,
};

/// Every way in which messages and voters may fail together.
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
            jobs: &[&[X], &[Job::Move(Turn::Third), Job::Read]],
            spare: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, late: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a voter that had left comes back while another writes",
            jobs: &[&[X], &[Job::Move(Turn::Third), Job::Read]],
            spare: true,
            had: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, late: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: a voter is exchanged, then a disk is emptied",
            jobs: &[&[X], &[Job::Move(Turn::First), Job::Read]],
            spare: true,
            quanta: 2,
            answered: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, wipes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: the spare votes beside the three, then a disk is emptied",
            jobs: &[&[X], &[Job::Move(Turn::Beside), Job::Read]],
            spare: true,
            quanta: 2,
            answered: true,
            deviations: Some(2),
            bounds: Bounds { wakes: 4, wipes: 1, ..CALM },
            ..PLAIN
        },
        Case {
            name: "register: the spare votes beside the three, then two disks are emptied",
            jobs: &[&[X], &[Job::Move(Turn::Beside), Job::Read]],
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
            jobs: &[&[X], &[Job::Move(Turn::Beside), Job::Read]],
            spare: true,
            had: true,
            quanta: 2,
            answered: true,
            deviations: Some(3),
            bounds: Bounds { wakes: 4, late: 1, wipes: 1, ..CALM },
            ..PLAIN
        },
    ]
}

/// More at once: minutes.
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

/// Faults that must be found here, each with a word of the case that finds it.
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
