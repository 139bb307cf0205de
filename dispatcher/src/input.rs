//! The inputs of the driver. Each component sends its own kind and is generic over the input type.

use std::time::Duration;

use millpost::api::Settings;
use millpost_handover::Frame;
use millpost_settings::Shape;
use millpost_store::SyncResult;
use millpost_tier::frame::Frame as SharedFrame;
use tokio::sync::oneshot;

use crate::discovery::List;
use crate::handover::TakeoverRequest;
use crate::intake::ClientRequest;
use crate::peers::PeerMessage;
use crate::{calls, console, notices};

/// An input of the driver's main loop.
pub enum Input {
    /// A message submitted by a client.
    Client(ClientRequest),
    /// An event of a call, a probe or one of their connections.
    Calls(calls::Event),
    /// An update of the endpoint list.
    Listed(List),
    /// The platform has accepted notices.
    NoticesAccepted(notices::Accepted),
    /// A message of the decision module from another dispatcher.
    PeerMessage(PeerMessage),
    /// A frame of shared state from another dispatcher.
    SharedFrame(SharedFrame),
    /// The result of a sync of the store.
    Synced(SyncResult),
    /// A query or command from the operators' console.
    Console(console::Query),
    /// New settings to apply as a whole or not at all.
    ApplySettings(ApplySettings),
    /// The settings with this digest were rejected.
    SettingsRejected(u32),
    /// Another process requests to take over.
    TakeoverRequest(TakeoverRequest),
    /// A frame from the predecessor, which finishes its calls and requests; `None` when it ends.
    FromPredecessor(Option<Frame>),
    /// A frame from the successor, which owns the store; `None` when it ends.
    FromSuccessor(Option<Frame>),
    /// Stop the process after this time.
    Stop { after: Duration },
}

/// Validated settings to apply.
pub struct ApplySettings {
    pub settings: Settings,
    pub shape: Shape,
    /// The text of the file that they were read from.
    pub text: String,
    /// Digest of the settings.
    pub digest: u32,
    /// Receives the result: why they could not be applied, if so.
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
    Client(ClientRequest),
    Calls(calls::Event),
    Listed(List),
    NoticesAccepted(notices::Accepted),
    PeerMessage(PeerMessage),
    SharedFrame(SharedFrame),
    Console(console::Query),
    ApplySettings(ApplySettings),
    TakeoverRequest(TakeoverRequest)
);
