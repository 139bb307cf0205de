//! Datagrams between dispatchers: a version, a checksum, the sender, and items in postcard encoding.
//!
//! No datagram is longer than [`MAX_LEN`]. A datagram that can't be decoded completely is dropped.

use serde::{Deserialize, Serialize};

use crate::records::{BUCKETS, EndpointRecord};
use crate::staleness::StalenessVotes;
use crate::versions::VersionReport;
use crate::{DestId, EndpointHash, Incarnation, Peer};

/// Maximum length of a datagram in bytes.
pub const MAX_LEN: usize = 256;
/// Version of the datagrams on liveness, counts, observations and loans. Other versions are counted and
/// dropped.
pub const VERSION: u8 = 1;
/// Version of the datagrams on dispatcher versions. Older programs count and drop these, and read the others.
pub const VERSIONS_VERSION: u8 = 2;
const HEAD: usize = 5;

/// Progress of a dispatcher: its incarnation, and the number of rounds in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Number of rounds in it.
    pub beat: u32,
}

/// The sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its number.
    pub who: Peer,
    /// Number of dispatchers in its configuration.
    pub of: u16,
    /// Its heartbeat.
    pub life: Heartbeat,
}

/// Whether a dispatcher reaches an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// No current observation; withdraws an earlier one.
    #[default]
    Nothing,
    /// Its calls fail.
    Failing,
    /// A call succeeded.
    Fine,
}

/// An observation of an endpoint. Only its author creates it; others forward it with an updated age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The author.
    pub who: Peer,
    /// The author's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number, increasing within an incarnation.
    pub seq: u32,
    /// How often it was forwarded.
    pub hops: u8,
    /// The endpoint.
    pub place: EndpointHash,
    /// What was observed.
    pub sight: Reachability,
    /// Age in milliseconds.
    pub age_ms: u32,
    /// Remaining wait that the endpoint requested, in milliseconds; 0 for none.
    pub wait_ms: u32,
}

/// A dispatcher's calls to a destination in one incarnation so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls written completely.
    pub sent: u64,
    /// Calls served.
    pub served: u64,
    /// Calls rejected because of overload.
    pub refused: u64,
}

/// Call counts. Only their author creates them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted {
    /// The author.
    pub who: Peer,
    /// The author's incarnation.
    pub incarnation: Incarnation,
    /// The destination.
    pub dest: DestId,
    /// Age of the counts in milliseconds.
    pub age_ms: u32,
    /// The counts.
    pub calls: Calls,
    /// What the author could lend of its share, in 255ths of an even share.
    pub spare: u8,
}

/// The items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A dispatcher's heartbeat.
    Lives {
        /// The dispatcher.
        who: Peer,
        /// Its heartbeat.
        life: Heartbeat,
    },
    /// Call counts.
    Counted(Counted),
    /// An observation of an endpoint.
    Seen(Observation),
    /// Requests a loan from the receiver's share of a destination.
    Ask {
        /// The destination.
        dest: DestId,
        /// Sequence number of the request, assigned by the borrower.
        seq: u32,
        /// Requested share, in units of 1/[`crate::lending::WHOLE`].
        part: u32,
    },
    /// Grants a loan to the receiver.
    Grant {
        /// The destination.
        dest: DestId,
        /// Sequence number of the request.
        seq: u32,
        /// Incarnation of the borrower in its request.
        incarnation: Incarnation,
        /// Granted share, in units of 1/[`crate::lending::WHOLE`].
        part: u32,
    },
    /// The versions a dispatcher uses. This and the following variants occur only in [`VERSIONS_VERSION`]
    /// datagrams.
    Stands(VersionReport),
    /// Votes on a dispatcher that is behind.
    Finding(StalenessVotes),
    /// Digests of the sender's endpoint records by bucket. A receiver with other records sends those.
    Buckets([u32; BUCKETS]),
    /// A cordon or a drain of an endpoint.
    Word(EndpointRecord),
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The sender.
    pub speaker: Sender,
    /// The items.
    pub items: Vec<Item>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is longer than [`MAX_LEN`].
    #[error("datagram of {0} bytes exceeds the maximum length")]
    TooLong(usize),
    /// It has an unsupported version.
    #[error("unsupported datagram version {0}")]
    Version(u8),
    /// It is corrupt, or not a datagram of this protocol.
    #[error("malformed datagram")]
    Unreadable,
}

/// Encodes a datagram item by item, up to its maximum length.
pub struct Packing {
    version: u8,
    bytes: Vec<u8>,
    items: usize,
}

impl Packing {
    /// Creates a datagram without items.
    pub fn new(speaker: &Sender) -> Self {
        Self::of(VERSION, speaker)
    }
    /// Like [`Self::new`], in the given version.
    pub fn of(version: u8, speaker: &Sender) -> Self {
        let mut bytes = vec![0; HEAD];
        // Encoding into memory can't fail.
        bytes.extend(postcard::to_stdvec(speaker).unwrap_or_default());
        Packing { version, bytes, items: 0 }
    }
    /// Adds an item. Returns false if it does not fit.
    pub fn add(&mut self, item: &Item) -> bool {
        let Ok(more) = postcard::to_stdvec(item) else { return false };
        let fits = self.bytes.len() + more.len() <= MAX_LEN;
        if fits {
            self.bytes.extend(more);
            self.items += 1;
        }
        fits
    }
    /// Returns whether no item was added.
    pub fn is_empty(&self) -> bool {
        self.items == 0
    }
    /// Returns the current length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
    /// Returns the number of bytes left.
    pub fn room(&self) -> usize {
        MAX_LEN - self.bytes.len()
    }
    /// Returns the encoded datagram.
    pub fn bytes(mut self) -> Vec<u8> {
        self.bytes[0] = self.version;
        let sum = sum(self.version, &self.bytes[HEAD..]);
        self.bytes[1..HEAD].copy_from_slice(&sum);
        self.bytes
    }
}

fn sum(version: u8, body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[version]);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}

/// Decodes a datagram.
///
/// # Errors
/// [`Error`] if it is too long, invalid, or of another version.
pub fn read(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_LEN {
        return Err(Error::TooLong(bytes.len()));
    }
    let (head, body) = bytes.split_first_chunk::<HEAD>().ok_or(Error::Unreadable)?;
    if !(VERSION..=VERSIONS_VERSION).contains(&head[0]) {
        return Err(Error::Version(head[0]));
    }
    if head[1..] != sum(head[0], body) {
        return Err(Error::Unreadable);
    }
    let (speaker, mut rest) = postcard::take_from_bytes::<Sender>(body).map_err(|_| Error::Unreadable)?;
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = postcard::take_from_bytes(rest).map_err(|_| Error::Unreadable)?;
        items.push(item);
        rest = after;
    }
    Ok(Frame { speaker, items })
}
