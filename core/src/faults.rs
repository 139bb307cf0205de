//! Faults that the exploration plants, to show that it would find them. Without the feature `faults` none can be.

/// A mistake that the core could make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum Fault {
    /// A client hears 202 before its message lasts.
    TellBeforeTaking,
    /// A call is written before its attempts are noted.
    WriteBeforeNoting,
    /// After a restart an attempt that was out counts as one that never ran.
    ForgetOut,
    /// A reset counts as a proof that the call never ran.
    ResetNeverRan,
    /// The journal is told of each attempt that it never ran.
    NoteNeverRan,
    /// What was decided is written without a second look.
    NoSecondLook,
    /// The platform is told of an end that is not written yet.
    NoticeBeforeWriting,
    /// A message is over once its notice was sent, not once it was taken.
    EndBeforeNoticed,
    /// An answer that could not be written is not written again.
    ForgetUnwritten,
    /// A message that is handed in again is taken on again.
    TakeTwice,
    /// An attempt of which nothing was sent has no outcome.
    LostOutcome,
    /// Waits are forgotten at a restart.
    ForgetWaits,
    /// Changes of the list are not heard.
    DrainUntold,
    /// What may have run is refused.
    RefuseWhatRan,
    /// The end of a delivered message is not written.
    EndUnwritten,
    /// What is settled takes the place of a wake-up that was asked for. (A real fault once.)
    LoseWake,
    /// A wait that was told is kept with the next round only. (A real fault once.)
    LearnLate,
    /// Of two wake-ups that were asked for only the earlier one is kept. (A real fault once.)
    OneWake,
    /// The module is not told what a message is about.
    ForgetOrder,
    /// A start does not let keys rest of which an attempt may still run. (A real fault once.)
    ForgetRests,
    /// A process that takes the work over writes calls again that the one before has written.
    WriteTheirs,
    /// The calls of a process that is gone count as ones that never ran.
    LostNeverRan,
}

impl Fault {
    /// All of them.
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
    /// Plants a fault, or none.
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
    #[expect(clippy::unused_self, reason = "it is used where faults can be planted")]
    pub(crate) fn has(&self, _: Fault) -> bool {
        false
    }
}
