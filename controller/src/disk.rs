//! The voter's records on disk.

pub use millpost_quorum_store::{RecordStore, exists, read};

/// Reads a folder that was just closed, whose lock the threads of the store may hold for a moment longer.
#[cfg(test)]
pub(crate) fn read_after_close(folder: &std::path::Path) -> Vec<(String, String)> {
    loop {
        match read(folder) {
            Ok((_, records)) => return records,
            Err(e) => assert!(e.to_string().contains("lock"), "{e}"),
        }
        std::thread::yield_now();
    }
}
