//! An embedded, log-structured store: what must outlast a dispatcher's process.
//!
//! [`Store`] is the engine: tables of keys and values over one log of checksummed frames in segment files, an
//! index in memory, incremental compaction, recovery. It knows neither messages nor any policy. [`Ledger`] keeps
//! a dispatcher's tables in one: messages owed, final answers, endpoints, and what was learnt of destinations.
//! Both do I/O only through [`Folder`].

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
