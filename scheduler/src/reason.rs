//! Reasons for scheduling decisions, for operators. Recorded only on request; decisions do not depend on
//! them.

use compact_str::CompactString;

use crate::Nanos;

/// Reason for a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// A permit request was decided.
    Request {
        /// Requesting proxy.
        who: CompactString,
        /// Request id.
        ask: u64,
        /// The decision.
        why: RequestDecision,
    },
    /// An instance target was set.
    InstanceTarget {
        /// Name of the function.
        service: CompactString,
        /// Instances needed.
        need: u32,
        /// Running and starting instances.
        live: usize,
        /// Outstanding permits, and queued requests.
        held: usize,
        #[allow(missing_docs)]
        queued: usize,
        /// Expected wait of a new request.
        wait: Nanos,
    },
    /// An instance is surplus.
    SurplusInstance {
        /// Id of the instance.
        instance: CompactString,
        /// Instances needed, and running or starting.
        need: u32,
        #[allow(missing_docs)]
        live: usize,
    },
    /// An instance was found dead.
    DeadInstance {
        /// Id of the instance.
        instance: CompactString,
        /// Found by consecutive failed attempts; otherwise a proxy reported a refused connection.
        failing: bool,
    },
}

/// Decision on a permit request, with its reason.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// The request got a slot.
    Granted {
        /// Granted instance.
        instance: CompactString,
        /// Permits outstanding there, including this one, and the maximum.
        out: usize,
        #[allow(missing_docs)]
        most: u32,
        /// The request has failed there before and no other instance has a free slot.
        failed_there: bool,
        /// The request was queued before.
        waited: bool,
    },
    /// The request is already granted or queued.
    Duplicate,
    /// The request is queued, as no slot is free.
    Queued {
        /// Number of requests ahead in the queue.
        ahead: usize,
        /// Expected wait.
        wait: Nanos,
        /// Instances that are available, and that are starting.
        open: usize,
        #[allow(missing_docs)]
        coming: usize,
        /// No instance is known, but information about one may be on its way.
        awaiting_instances: bool,
    },
    /// A retry was suppressed.
    RetrySuppressed {
        /// Retry probability and the number drawn; the retry is allowed if the number is lower.
        chance: f64,
        #[allow(missing_docs)]
        drawn: f64,
        /// Instance it would have used; `None` if the mean over all instances was used.
        instance: Option<CompactString>,
    },
    /// The retry budget is used up.
    BudgetSpent {
        /// Requests and retries in the window, and the number of retries allowed.
        requests: u64,
        #[allow(missing_docs)]
        repeats: u64,
        #[allow(missing_docs)]
        most: f64,
    },
    /// No slot would become free before the deadline.
    DeadlineUnreachable {
        /// Expected wait, and time left until the deadline.
        wait: Nanos,
        #[allow(missing_docs)]
        left: Nanos,
    },
    /// The answer would come after the latency target, for which a new request is denied.
    WouldMissTarget {
        /// Expected wait, and expected time to answer after it.
        wait: Nanos,
        #[allow(missing_docs)]
        takes: Nanos,
        /// Time left until the latency target.
        left: Nanos,
    },
    /// The queue is full.
    QueueFull {
        /// Length of the queue.
        queued: usize,
    },
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// The function is not known here.
    UnknownFunction,
}

/// Recorded reasons, in the order of the decisions; `None` while not recording.
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

    pub fn push_request(
        &mut self,
        who: &CompactString,
        request_id: u64,
        why: impl FnOnce() -> RequestDecision,
    ) {
        self.push(|| Reason::Request { who: who.clone(), ask: request_id, why: why() });
    }
}
