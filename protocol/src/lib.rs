//! What the system's own processes say to one another: notes as JSON objects, read by hand and checked. Times are told as what is
//! left, in milliseconds, since no two machines share a clock.
//!
//! What is not understood is an error that names the key; nothing from the network panics.

mod does;
mod fold;
pub mod frame;
mod json;
pub mod line;
mod note;
mod roster;

pub use does::FunctionStatus;
pub use json::{Fault, list, number, object, string, text, whole};
pub use note::{Instance, Peer, PeerMessage, Permit, Version};
pub use roster::{MembershipView, ViewChange, seed};

mod letter;
pub use letter::MessageBatch;
