//! Why an owner decided as it did, told beside what it decided: for people, and only while somebody asks for it. Nothing that is decided
//! hangs on it.

use compact_str::CompactString;

use crate::Nanos;

/// Why something was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// An ask.
    Request {
        /// Who asked.
        who: CompactString,
        /// Its number for it.
        ask: u64,
        /// What became of it.
        why: RequestDecision,
    },
    /// How many instances are wanted.
    InstanceTarget {
        /// The function.
        service: CompactString,
        /// So many.
        need: u32,
        /// So many there are, those that start among them.
        live: usize,
        /// Permits that are out, and requests that wait.
        held: usize,
        #[allow(missing_docs)]
        queued: usize,
        /// How long one that comes now would wait.
        wait: Nanos,
    },
    /// An instance is not needed.
    SurplusInstance {
        /// It.
        instance: CompactString,
        /// So many are needed, and so many there are.
        need: u32,
        #[allow(missing_docs)]
        live: usize,
    },
    /// An instance was found dead.
    DeadInstance {
        /// It.
        instance: CompactString,
        /// Tries failed one after the other; else its stall said that it refuses connections.
        failing: bool,
    },
}

/// What became of an ask, and why.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// It got a slot.
    Granted {
        /// Where.
        instance: CompactString,
        /// Permits that are out there, this one among them, and how many may be.
        out: usize,
        #[allow(missing_docs)]
        most: u32,
        /// It has failed there before, and no other has a slot.
        failed_there: bool,
        /// It waited.
        waited: bool,
    },
    /// It has its permit, or its place in the queue, already.
    Duplicate,
    /// It waits: no slot is free.
    Queued {
        /// Requests before it.
        ahead: usize,
        /// How long it is expected to wait.
        wait: Nanos,
        /// Instances that work, and that are about to.
        open: usize,
        #[allow(missing_docs)]
        coming: usize,
        /// No instance is known, and word of one may be on its way.
        awaiting_instances: bool,
    },
    /// A further try that was thinned out.
    RetrySuppressed {
        /// The probability with which it goes, and what was drawn: it goes where that is less.
        chance: f64,
        #[allow(missing_docs)]
        drawn: f64,
        /// The instance that it would have gone to; none where the mean of all counted.
        instance: Option<CompactString>,
    },
    /// The budget of further tries is spent.
    BudgetSpent {
        /// Requests and repeats in the window, and how many repeats may be.
        requests: u64,
        #[allow(missing_docs)]
        repeats: u64,
        #[allow(missing_docs)]
        most: f64,
    },
    /// No slot would come free before its deadline.
    DeadlineUnreachable {
        /// How long it would wait, and how long it has.
        wait: Nanos,
        #[allow(missing_docs)]
        left: Nanos,
    },
    /// Its answer would come after its aim: one that is fresh is turned away for that.
    WouldMissTarget {
        /// How long it would wait, and take then.
        wait: Nanos,
        #[allow(missing_docs)]
        takes: Nanos,
        /// How long its aim is away.
        left: Nanos,
    },
    /// Too many wait.
    QueueFull {
        /// So many.
        queued: usize,
    },
    /// Its deadline has come while it waited.
    DeadlinePassed,
    /// The function is not known here.
    UnknownFunction,
}

/// Reasons in the order of what they are for; nothing where nobody asks.
#[derive(Debug, Default)]
pub(crate) struct Reasons(Option<Vec<Reason>>);

impl Reasons {
    pub fn enable(&mut self) {
        self.0 = Some(Vec::new());
    }

    pub fn take(&mut self) -> Vec<Reason> {
        self.0.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub fn push(&mut self, reason: impl FnOnce() -> Reason) {
        if let Some(all) = &mut self.0 {
            all.push(reason());
        }
    }

    pub fn push_request(&mut self, who: &CompactString, ask: u64, why: impl FnOnce() -> RequestDecision) {
        self.push(|| Reason::Request { who: who.clone(), ask, why: why() });
    }
}
