//! Plumbing that the programs share: connections, what was written on them, rooms for clients, mail between our processes.

pub mod figures;
pub mod lines;
pub mod link;
pub mod logs;
pub mod mail;
pub mod meter;
pub mod pack;
pub mod room;
pub mod serving;
pub mod written;
