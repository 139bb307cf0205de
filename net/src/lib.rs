//! Plumbing that the programs share: connections, what was written on them, rooms for clients, mail between our processes.

pub mod connection_limiter;
pub mod lines;
pub mod link;
pub mod logs;
pub mod messaging;
pub mod meter;
pub mod metrics;
pub mod pack;
pub mod serving;
pub mod write_progress;
