//! What the system's own processes say to one another: notes as JSON objects, read by hand and checked. Times are told as what is
//! left, in milliseconds, since no two machines share a clock.
//!
//! What is not understood is an error that names the key; nothing from the network panics.

mod fold;
pub mod frame;
mod function_status;
mod json;
pub mod line;
mod membership;
mod peer_message;

pub use function_status::FunctionStatus;
pub use json::{Fault, list, number, object, string, text, whole};
pub use membership::{MembershipView, ViewChange, peer_hash};
pub use peer_message::{Instance, Peer, PeerMessage, Permit, Version};

mod message_batch;
pub use message_batch::MessageBatch;
