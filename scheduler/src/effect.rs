//! What an owner of functions may decide, and the bounds that it is given.

use compact_str::CompactString;
use millpost_protocol::FunctionStatus;

use crate::Nanos;
use crate::instance::Instance;

/// The bounds of further tries.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerLimits {
    /// Repeats for each request, at most, within a window.
    pub retry_ratio: f64,
    /// The window.
    pub retry_window: Nanos,
    /// Repeats beyond that, within a window.
    pub retry_slack: f64,
    /// First asks a second that are all that this stall can take as an owner, by its link and its processor.
    pub requests_per_s: f64,
    /// How fast workers are is learnt from what answers take, and instances on slow ones come last.
    pub rank_by_latency: bool,
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// No slot comes free in time; one may after this.
    Full(Nanos),
    /// Thinned out: ask again at the next doubled time.
    Skip,
    /// The budget of further tries is spent.
    Spent,
    /// The function is not known here.
    Unknown,
    /// The function was known here and is gone: the request is to be asked for where its route leads now.
    Moved,
}

impl DenialReason {
    /// The word for it between processes, and to people.
    pub fn as_str(self) -> &'static str {
        match self {
            DenialReason::Full(_) => "full",
            DenialReason::Skip => "skip",
            DenialReason::Spent => "spent",
            DenialReason::Unknown => "unknown",
            DenialReason::Moved => "moved",
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The request may go to this instance.
    Grant {
        /// Who asked.
        to: CompactString,
        /// Its number for the request.
        ask: u64,
        /// Where it goes.
        instance: Instance,
    },
    /// It may not.
    Refuse {
        /// Who asked.
        to: CompactString,
        /// Its number for the request.
        ask: u64,
        /// Why.
        reason: DenialReason,
    },
    /// It waits in the queue.
    Queued {
        /// Who asked.
        to: CompactString,
        /// Its number for the request.
        ask: u64,
    },
    /// The function wants so many instances in all.
    SetInstanceTarget {
        /// The function.
        service: CompactString,
        /// Live instances.
        count: u32,
        /// Where its requests come in, most first.
        zones: Vec<CompactString>,
        /// The part of this stall's strength that it takes.
        strain: f64,
        /// How it does, while a floor asks for that.
        does: Option<FunctionStatus>,
        /// Workers that are surely slow for it.
        slow: Vec<CompactString>,
    },
    /// Nothing more goes to the instance: it may be stopped.
    Retire(CompactString),
    /// The instance refuses connections: it is gone.
    ReportLost(CompactString),
    /// Find out when this instance accepts connections, from then on.
    ProbeReadiness {
        /// The instance.
        instance: Instance,
        /// Not before.
        from: Nanos,
    },
}
