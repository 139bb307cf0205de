//! What the loop hears: each part tells its own kind of thing, and does not know who listens.

use std::time::Duration;

use millpost::api::Settings;
use millpost_handover::Frame;
use millpost_settings::Shape;
use millpost_store::SyncResult;
use millpost_tier::frame::Frame as Shared;
use tokio::sync::oneshot;

use crate::discovery::List;
use crate::handover::Heir;
use crate::intake::Asked;
use crate::peers::Note;
use crate::{calls, console, notices};

/// Something that happened: each part tells its own kind.
pub enum Input {
    /// A client hands a message in.
    Client(Asked),
    /// Of calls, probes and their connections.
    Calls(calls::Event),
    /// News of the list.
    Listed(List),
    /// The platform has taken notices.
    Noticed(notices::Taken),
    /// A note from another dispatcher.
    Note(Note),
    /// What another dispatcher shares.
    Shared(Shared),
    /// The store's last writes last by now, or could not be made to.
    Synced(SyncResult),
    /// The staff asks something of this process.
    Console(console::Asked),
    /// New settings are in force from now on, or not at all.
    Settle(Settle),
    /// Settings of this digest were turned down.
    TurnedDown(u32),
    /// Another process asks for the work.
    Heir(Heir),
    /// Said by the process before this one, which finishes what it has; `None` at its end.
    Before(Option<Frame>),
    /// Said by the process after this one, which owns the work; `None` at its end.
    After(Option<Frame>),
    /// The process ends after this time.
    Stop { after: Duration },
}

/// Settings that were read whole and found good.
pub struct Settle {
    pub settings: Settings,
    pub shape: Shape,
    /// The file that they were in.
    pub text: String,
    /// A digest of them.
    pub digest: u32,
    /// Why they could not be put in force, if so.
    pub done: oneshot::Sender<Result<(), &'static str>>,
}

macro_rules! inputs {
    ($($kind:ident($of:ty)),*) => {
        $(impl From<$of> for Input {
            fn from(of: $of) -> Self {
                Input::$kind(of)
            }
        })*
    };
}
inputs!(
    Client(Asked),
    Calls(calls::Event),
    Listed(List),
    Noticed(notices::Taken),
    Note(Note),
    Shared(Shared),
    Console(console::Asked),
    Settle(Settle),
    Heir(Heir)
);
