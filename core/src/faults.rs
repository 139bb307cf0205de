//! Faults that state exploration injects to check that it would detect them. Available only with the feature
//! `faults`.

/// A fault that can be injected into the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum Fault {
    /// A client is answered 202 before its message is durable.
    TellBeforeTaking,
    /// A call is written before its attempts are recorded.
    WriteBeforeNoting,
    /// After a restart an attempt that was in flight counts as never run.
    ForgetOut,
    /// A connection reset counts as proof that the call never ran.
    ResetNeverRan,
    /// The journal records every attempt as never run.
    NoteNeverRan,
    /// Decided sends are written without being checked again.
    NoSecondLook,
    /// The platform is notified of an answer before it is written.
    NoticeBeforeWriting,
    /// A message is complete once its notice is sent, not once it is acknowledged.
    EndBeforeNoticed,
    /// An answer whose write failed is not written again.
    ForgetUnwritten,
    /// A resubmitted message is accepted a second time.
    TakeTwice,
    /// An attempt that was not sent has no outcome.
    LostOutcome,
    /// Requested waits are lost in a restart.
    ForgetWaits,
    /// Changes to the endpoint list are ignored.
    DrainUntold,
    /// A message that may have run is refused instead of failed.
    RefuseWhatRan,
    /// The completion of a delivered message is not written.
    EndUnwritten,
    /// A call that ends unwritten replaces the requested wake-ups. (Occurred in an earlier version.)
    LoseWake,
    /// A requested wait is stored only in the next round. (Occurred in an earlier version.)
    LearnLate,
    /// Of two requested wake-ups only the earlier is kept. (Occurred in an earlier version.)
    OneWake,
    /// Ordering keys are not passed to `Control`.
    ForgetOrder,
    /// After a start, keys do not rest although attempts may still be running. (Occurred in an earlier
    /// version.)
    ForgetRests,
    /// A process that takes over writes calls again that the previous process has written.
    WriteTheirs,
    /// Calls of a process that has exited count as never run.
    LostNeverRan,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 22] = [
        Fault::TellBeforeTaking,
        Fault::WriteBeforeNoting,
        Fault::ForgetOut,
        Fault::ResetNeverRan,
        Fault::NoteNeverRan,
        Fault::NoSecondLook,
        Fault::NoticeBeforeWriting,
        Fault::EndBeforeNoticed,
        Fault::ForgetUnwritten,
        Fault::TakeTwice,
        Fault::LostOutcome,
        Fault::ForgetWaits,
        Fault::DrainUntold,
        Fault::RefuseWhatRan,
        Fault::EndUnwritten,
        Fault::LoseWake,
        Fault::LearnLate,
        Fault::OneWake,
        Fault::ForgetOrder,
        Fault::ForgetRests,
        Fault::WriteTheirs,
        Fault::LostNeverRan,
    ];
}

impl crate::Core {
    /// Injects a fault, or removes it.
    #[cfg(feature = "faults")]
    pub fn plant(&mut self, fault: Option<Fault>) {
        self.planted = fault;
    }

    #[cfg(feature = "faults")]
    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.planted == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    #[inline(always)]
    #[expect(clippy::unused_self, reason = "used with the feature `faults`")]
    pub(crate) fn has(&self, _: Fault) -> bool {
        false
    }
}
