//! What must hold, by name; `docs/properties.md` says more of each.

/// The platform is told one end of a message, and none of one that was delivered.
pub const ONE_ANSWER: &str = "one final answer";
/// While a call with a message is out, no other with it is written.
pub const ONE_OUT: &str = "never two attempts of one message out at once";
/// An unsafe message takes effect once at most; a keyed one once for each life of its key.
pub const ONE_EFFECT: &str = "no second effect where the class forbids it";
/// From a wait to its end no call is written, also after a crash.
pub const NO_TRAFFIC_IN_WAIT: &str = "no traffic during a wait";
/// Nothing is written to an endpoint the grace after its drain was told.
pub const NO_WORK_AFTER_DRAIN: &str = "no new work after a drain";
/// An unsafe message that is refused never took effect, before or after.
pub const TRUE_REFUSAL: &str = "what is refused never ran";
/// A message whose client heard 202 is delivered, or its end is told in time.
pub const NOTICE_SENT: &str = "every message that was taken on ends in its time, also across a crash";
/// The module counts as many calls as there are.
pub const SLOTS: &str = "the slots counted equal the calls out";
/// Once the platform was told of an end, or a delivery was heard, nothing more is written.
pub const ANSWER_STANDS: &str = "nothing is sent once the platform was told of an end";
/// Of messages about the same, none is written while an earlier one has no end, and none takes effect after a later.
pub const ORDER: &str = "order where a class asks for it";

/// All of them.
pub const ALL: [&str; 10] = [
    ONE_ANSWER,
    ONE_OUT,
    ONE_EFFECT,
    NO_TRAFFIC_IN_WAIT,
    NO_WORK_AFTER_DRAIN,
    TRUE_REFUSAL,
    NOTICE_SENT,
    SLOTS,
    ANSWER_STANDS,
    ORDER,
];
