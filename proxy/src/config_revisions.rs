//! The configuration revision that this proxy has applied, and the one that the controller reported as
//! committed.
//!
//! Invariants: neither revision decreases while the process runs. An unknown route is answered with 404 only
//! once the proxy has applied a revision that a majority had committed after the proxy started, because its
//! agent may have sent it an outdated one.

use std::cell::Cell;

/// The applied and the committed revision; 0 means none.
#[derive(Default)]
pub struct ConfigRevisions {
    applied: Cell<u64>,
    /// `None` until the controller has reported it.
    committed: Cell<Option<u64>>,
}

impl ConfigRevisions {
    /// Returns the applied revision.
    pub fn applied(&self) -> u64 {
        self.applied.get()
    }

    /// Records that a revision was applied.
    pub fn set_applied(&self, revision: u64) {
        self.applied.set(self.applied.get().max(revision));
    }

    /// Records that the controller reported a revision as committed by a majority.
    pub fn set_committed(&self, revision: u64) {
        self.committed.set(self.committed.get().max(Some(revision)));
    }

    /// Whether the controller must still be asked for the committed revision.
    pub fn must_query(&self) -> bool {
        self.committed.get().is_none()
    }

    /// Whether the applied configuration is recent enough to answer unknown routes with 404.
    pub fn is_current(&self) -> bool {
        self.committed.get().is_some_and(|committed| self.applied.get() >= committed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_proxy_is_not_current_until_it_has_applied_the_committed_revision() {
        let revisions = ConfigRevisions::default();
        revisions.set_applied(11);
        assert!(revisions.must_query() && !revisions.is_current());
        revisions.set_committed(12);
        assert!(!revisions.must_query() && !revisions.is_current());
        revisions.set_applied(12);
        assert!(revisions.is_current());
        // Outdated reports and configurations change nothing.
        revisions.set_committed(11);
        revisions.set_applied(11);
        assert!(revisions.is_current() && revisions.applied() == 12);
    }
}
