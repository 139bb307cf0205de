//! The versions of the shared inputs that a dispatcher uses: endpoint list, settings, cordons and program.
//!
//! No kind of input has a version order that all dispatchers share: each agent numbers lists for itself and
//! restarts its numbering, and a file has no number and may be restored. So a version is a digest of the
//! content, and versions are ordered by *when* dispatchers switched to them: see [`crate::staleness`].

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Incarnation, Nanos, Peer};

/// A kind of shared input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The list of endpoints.
    List,
    /// The settings.
    Settings,
    /// Endpoints cordoned by an operator, or reported as draining.
    Cordons,
    /// The program.
    Program,
}

/// All kinds, in declaration order.
pub const KINDS: [Kind; 4] = [Kind::List, Kind::Settings, Kind::Cordons, Kind::Program];

impl Kind {
    /// Returns its name in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::List => "list",
            Kind::Settings => "settings",
            Kind::Cordons => "cordons",
            Kind::Program => "program",
        }
    }
}

/// A version of an input: the digest of its content, and the number of the switch that led to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Digest of the content; equal contents have equal digests.
    pub digest: u32,
    /// Number of switches to another content in this incarnation. For programs, the version of the state
    /// layout.
    pub generation: u32,
}

/// The versions that one dispatcher uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveVersions {
    /// Incarnation of the dispatcher at its start.
    pub incarnation: Incarnation,
    /// Epoch for shared state, at least the incarnation. Loans made in an earlier epoch are void.
    pub epoch: Incarnation,
    /// The list.
    pub list: Version,
    /// Digest of the address of the agent that supplied the list.
    pub agent: u32,
    /// The agent's number of the list. Numbers of other agents, or of the same agent after a restart, are not
    /// comparable.
    pub index: u64,
    /// The settings.
    pub settings: Version,
    /// Cordons and drains.
    pub cordons: Version,
    /// The program.
    pub program: Version,
}

impl ActiveVersions {
    /// Returns the version of one kind.
    pub fn version(&self, kind: Kind) -> Version {
        match kind {
            Kind::List => self.list,
            Kind::Settings => self.settings,
            Kind::Cordons => self.cordons,
            Kind::Program => self.program,
        }
    }

    fn stamp_mut(&mut self, kind: Kind) -> &mut Version {
        match kind {
            Kind::List => &mut self.list,
            Kind::Settings => &mut self.settings,
            Kind::Cordons => &mut self.cordons,
            Kind::Program => &mut self.program,
        }
    }

    /// Switches to a content. Returns whether it differs from the previous one.
    pub fn set_version(&mut self, kind: Kind, digest: u32) -> bool {
        let stamp = self.stamp_mut(kind);
        if stamp.digest == digest {
            return false;
        }
        stamp.digest = digest;
        if kind != Kind::Program {
            stamp.generation = stamp.generation.saturating_add(1);
        }
        true
    }

    /// Records that the source confirmed the current content, which counts as a switch to it.
    pub fn confirm(&mut self, kind: Kind) {
        let stamp = self.stamp_mut(kind);
        stamp.generation = stamp.generation.saturating_add(1);
    }
}

/// Returns the digest of some bytes. Never 0, which denotes no content.
pub fn digest(bytes: &[u8]) -> u32 {
    fold(xxh3_64(bytes))
}

/// Folds a sum of hashes into a digest, for unordered contents that are updated piece by piece.
pub fn fold(sum: u64) -> u32 {
    ((sum >> 32) as u32 ^ sum as u32).max(1)
}

/// Returns the hash of one piece, to be summed for [`fold`].
pub fn piece(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A dispatcher's report of the versions it uses. Only its author creates it; others forward it with an
/// updated age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// The author.
    pub who: Peer,
    /// Sequence number, increasing within an incarnation: at least the round in which the report was sent.
    pub seq: u32,
    /// How often it was forwarded.
    pub hops: u8,
    /// Age in tenths of a second.
    pub age: u32,
    /// The versions in use.
    pub standing: ActiveVersions,
    /// How long each version had been in use at that time, in tenths of a second, indexed by [`KINDS`].
    pub held: [u32; 4],
    /// Digest of the settings rejected since settings were last applied; 0 for none.
    pub refused: u32,
    /// Whether the dispatcher accepts no new messages because it is behind.
    pub out: bool,
}

impl VersionReport {
    /// Whether two reports have the same content.
    pub(crate) fn has_same_content(&self, other: &VersionReport) -> bool {
        (self.standing, self.refused, self.out) == (other.standing, other.refused, other.out)
    }

    /// Ordering key of the reports of one author.
    pub fn order(&self) -> (Incarnation, u32) {
        (self.standing.incarnation, self.seq)
    }
}

/// A tenth of a second.
pub(crate) const TENTH: Nanos = 100_000_000;

/// Converts a duration to tenths of a second.
pub(crate) fn tenths(span: Nanos) -> u32 {
    (span / TENTH).min(u32::MAX.into()) as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_different_content_counts_as_a_switch() {
        let mut standing = ActiveVersions::default();
        assert!(standing.set_version(Kind::Settings, 7) && !standing.set_version(Kind::Settings, 7));
        assert!(standing.set_version(Kind::Settings, 9) && standing.set_version(Kind::Settings, 7));
        assert_eq!(standing.version(Kind::Settings), Version { digest: 7, generation: 3 });
        assert_eq!(standing.version(Kind::List), Version::default());
        // The number of a program is its state layout, not a count of switches.
        standing.program = Version { digest: 1, generation: 5 };
        assert!(standing.set_version(Kind::Program, 2));
        assert_eq!(standing.program, Version { digest: 2, generation: 5 });
    }

    #[test]
    fn folded_sum_is_order_independent_and_never_zero() {
        let all = [piece(b"a"), piece(b"b"), piece(b"c")];
        let sum = |order: [usize; 3]| order.into_iter().map(|n| all[n]).fold(0, u64::wrapping_add);
        assert_eq!(fold(sum([0, 1, 2])), fold(sum([2, 0, 1])));
        assert_ne!(fold(sum([0, 1, 2])), fold(sum([0, 1, 1])));
        assert_ne!(fold(0), 0);
    }
}
