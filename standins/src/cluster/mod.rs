//! Stand-ins of what the whole system talks to (design 011): the platform and its workers, the functions' endpoints,
//! the operator, clients, and an auditor of the rules that can be seen from outside; and the system's own programs as
//! processes on a small deployment.
//!
//! Every machine of a deployment has a loopback address of its own, in a block that no other deployment of this
//! computer has, so the same ports are used on all.

pub mod auditor;
pub mod client;
pub mod fleet;
pub mod function;
pub mod message;
pub mod operator;
pub mod platform;
pub mod settings;
