//! What a dispatcher acts on: one small value, the versions of all that changes under it.
//!
//! No kind of version has an order that all dispatchers share: agents number lists each for itself and begin anew, a file
//! has none, and may be put back. So a version is a digest of what it says, and what one dispatcher did first is told by
//! *when it moved to it*: see [`crate::staleness`].

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Incarnation, Nanos, Peer};

/// What changes under a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The list of endpoints.
    List,
    /// The settings.
    Settings,
    /// Endpoints that are out by hand, or drain as somebody was told.
    Cordons,
    /// The program.
    Program,
}

/// All kinds, in their order.
pub const KINDS: [Kind; 4] = [Kind::List, Kind::Settings, Kind::Cordons, Kind::Program];

impl Kind {
    /// Its name in figures and reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::List => "list",
            Kind::Settings => "settings",
            Kind::Cordons => "cordons",
            Kind::Program => "program",
        }
    }
}

/// One version: what it says, as a digest, and which move of its dispatcher led to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Of the content: two that act on the same have the same.
    pub digest: u32,
    /// Moves to another content so far, in this life; of a program the number of its layout of state.
    pub generation: u32,
}

/// What one dispatcher acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveVersions {
    /// The life that this is of, as it began.
    pub incarnation: Incarnation,
    /// Its epoch in what is shared: a lending under an earlier one is void. No lower than the incarnation.
    pub epoch: Incarnation,
    /// The list.
    pub list: Version,
    /// A digest of the address of the agent that told it, and that agent's number for it.
    pub agent: u32,
    /// See there. Another agent's, or that of the same one started anew, can't be compared with it.
    pub index: u64,
    /// The settings.
    pub settings: Version,
    /// Cordons and drains.
    pub cordons: Version,
    /// The program.
    pub program: Version,
}

impl ActiveVersions {
    /// The version of one kind.
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

    /// Moves to a content. Whether it is another than before.
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

    /// The content is the same, and its source has said so: as good as a move to it.
    pub fn confirm(&mut self, kind: Kind) {
        let stamp = self.stamp_mut(kind);
        stamp.generation = stamp.generation.saturating_add(1);
    }
}

/// A digest of a text or of bytes; never 0, which stands for nothing.
pub fn digest(bytes: &[u8]) -> u32 {
    fold(xxh3_64(bytes))
}

/// A sum of hashes as a digest, for what has no order and changes piece by piece.
pub fn fold(sum: u64) -> u32 {
    ((sum >> 32) as u32 ^ sum as u32).max(1)
}

/// The share of one piece in a sum that [`fold`] makes a digest of.
pub fn piece(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A dispatcher's word on what it acts on. Only its author makes it; the others pass it on as it is, but for its age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Its author.
    pub who: Peer,
    /// Of two words of one life the later has the higher number: the round in which it was said, or beyond.
    pub seq: u32,
    /// How often it was passed on.
    pub hops: u8,
    /// How long ago it was said, in tenths of a second.
    pub age: u32,
    /// What it acts on.
    pub standing: ActiveVersions,
    /// How long it had acted on each when it said so, in tenths of a second; by [`KINDS`].
    pub held: [u32; 4],
    /// Settings that it was given and turned down since it last took any, as a digest; 0 for none.
    pub refused: u32,
    /// It takes no new messages, since it is behind.
    pub out: bool,
}

impl VersionReport {
    /// Another word of the same content.
    pub(crate) fn says(&self, other: &VersionReport) -> bool {
        (self.standing, self.refused, self.out) == (other.standing, other.refused, other.out)
    }

    /// Words are ordered by this.
    pub fn order(&self) -> (Incarnation, u32) {
        (self.standing.incarnation, self.seq)
    }
}

/// A tenth of a second.
pub(crate) const TENTH: Nanos = 100_000_000;

/// A span, in tenths of a second.
pub(crate) fn tenths(span: Nanos) -> u32 {
    (span / TENTH).min(u32::MAX.into()) as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_move_to_the_same_content_is_none_and_one_back_to_it_is_one() {
        let mut standing = ActiveVersions::default();
        assert!(standing.set_version(Kind::Settings, 7) && !standing.set_version(Kind::Settings, 7));
        assert!(standing.set_version(Kind::Settings, 9) && standing.set_version(Kind::Settings, 7));
        assert_eq!(standing.version(Kind::Settings), Version { digest: 7, generation: 3 });
        assert_eq!(standing.version(Kind::List), Version::default());
        // A program's number is its layout's, and no count.
        standing.program = Version { digest: 1, generation: 5 };
        assert!(standing.set_version(Kind::Program, 2));
        assert_eq!(standing.program, Version { digest: 2, generation: 5 });
    }

    #[test]
    fn a_sum_of_pieces_hangs_on_no_order_and_no_digest_is_nothing() {
        let all = [piece(b"a"), piece(b"b"), piece(b"c")];
        let sum = |order: [usize; 3]| order.into_iter().map(|n| all[n]).fold(0, u64::wrapping_add);
        assert_eq!(fold(sum([0, 1, 2])), fold(sum([2, 0, 1])));
        assert_ne!(fold(sum([0, 1, 2])), fold(sum([0, 1, 1])));
        assert_ne!(fold(0), 0);
    }
}
