//! An embedded, log-structured store for the state of a dispatcher that must survive a restart.
//!
//! [`Store`] is the engine: key-value tables over one log of checksummed frames in segment files, with an
//! in-memory index, incremental compaction and recovery. It is independent of messages and policies.
//! [`Ledger`] keeps a dispatcher's tables in a store: pending messages, final outcomes, endpoints and learned
//! values of destinations. Both perform I/O only through [`Folder`].

mod checkpoint;
mod folder;
pub mod format;
pub mod journal;
pub mod ledger;
mod log;
pub mod memory;

pub use folder::{Append, Disk, DiskFile, Folder, Syncer};
pub use format::{Batch, Seq};
pub use ledger::Ledger;
pub use log::{
    Durability, Error, Options, Recovery, Stats, Store, SyncJob, SyncResult, segment_name, segment_number,
};
