//! Whether this controller was added to the running system, or was there when the system started.
//!
//! Invariant: a controller that was added is told apart at each later start, as long as its disk is kept. The
//! file that says so is synced before the folder of the voter's records exists.

use std::path::Path;
use std::{fs, io};

use crate::{disk, voter_thread};

/// The file whose presence says that this controller was added.
const MARKER: &str = "added";

/// Returns whether the controller with this data directory was added to the running system. Its first start is
/// recognized by the missing records; `bootstrap` is set at the first start of the whole system.
pub(crate) fn was_added(data_dir: &Path, bootstrap: bool) -> bool {
    let marker = data_dir.join(MARKER);
    if marker.exists() {
        return true;
    }
    if bootstrap || disk::exists(&voter_thread::folder(data_dir)) {
        return false;
    }
    log::info!("added to the running system");
    if let Err(e) = create(data_dir, &marker) {
        log::warn!("cannot write {}: {e}", marker.display());
    }
    true
}

fn create(data_dir: &Path, marker: &Path) -> io::Result<()> {
    fs::create_dir_all(data_dir)?;
    fs::File::create(marker)?.sync_all()?;
    fs::File::open(data_dir)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_controller_is_added_if_its_first_start_is_not_that_of_the_system() {
        let disk = || tempfile::tempdir().expect("a folder");
        let (added, original, wiped) = (disk(), disk(), disk());
        assert!(was_added(added.path(), false));
        assert!(!was_added(original.path(), true));
        for data in [&added, &original] {
            fs::create_dir(voter_thread::folder(data.path())).expect("created");
        }
        assert!(was_added(added.path(), false), "at each later start, too");
        assert!(!was_added(original.path(), false));
        assert!(was_added(wiped.path(), false), "nothing is left that tells it from an added one");
        assert!(was_added(&wiped.path().join("missing"), false));
    }
}
