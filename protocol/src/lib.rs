//! Messages between the processes of the system, encoded as JSON objects and validated when they are read.
//! Times are sent as remaining durations in milliseconds, because machines do not share a clock.
//!
//! A message that cannot be read is an error that names the offending key. Input from the network never
//! causes a panic.

mod fold;
pub mod frame;
mod function_status;
mod json;
pub mod line;
mod membership;
mod message_batch;
mod peer_message;

pub use function_status::FunctionStatus;
pub use json::{Fault, list, number, object, string, text, whole};
pub use membership::{MembershipView, ViewChange, peer_hash};
pub use message_batch::MessageBatch;
pub use peer_message::{Instance, MAX_CONTROLLERS, Peer, PeerMessage, Permit, Version};
