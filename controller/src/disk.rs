//! The records on disk.

pub use millpost_quorum_store::{RecordStore, read};

/// Reads a folder that was just closed: threads of the store may keep its lock for a moment.
#[cfg(test)]
pub(crate) fn read_again(folder: &std::path::Path) -> Vec<(String, String)> {
    loop {
        match read(folder) {
            Ok((_, records)) => return records,
            Err(e) => assert!(e.to_string().contains("lock"), "{e}"),
        }
        std::thread::yield_now();
    }
}
