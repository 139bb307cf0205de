//! Networking code shared by the programs: connections, connection limits, messages between processes,
//! metrics and logs.

pub mod connection_limiter;
pub mod idle_connections;
pub mod lines;
pub mod link;
pub mod logs;
pub mod messaging;
pub mod meter;
pub mod metrics;
pub mod pack;
pub mod serving;
pub mod write_progress;
