//! Stand-ins for all that a dispatcher talks to, and an auditor that hears both sides.
//!
//! Everything binds loopback addresses on ports of the system's choice. What goes wrong, and when, is data (a
//! [`plan::Plan`]) drawn from a seed; single tests script a [`scripted::Server`] instead. All stand-ins of one
//! process read one clock, [`audit::Recorder`]'s, and never a dispatcher's.

pub mod audit;
pub mod client;
pub mod cluster;
pub mod discovery;
pub mod fleet;
pub mod link;
pub mod node;
pub mod partner;
pub mod peers;
pub mod plan;
pub mod scripted;
pub mod service;
pub mod wire;
