//! The datagrams between dispatchers: a version, a checksum, who speaks, then items as postcard writes them.
//!
//! Kept bound: no datagram is longer than [`LONGEST`]. What can't be read as a whole is nothing at all.

use serde::{Deserialize, Serialize};

use crate::records::{BUCKETS, EndpointRecord};
use crate::staleness::StalenessVotes;
use crate::versions::VersionReport;
use crate::{DestId, EndpointHash, Incarnation, Peer};

/// The longest datagram, bytes.
pub const LONGEST: usize = 256;
/// The version that is spoken. Others are counted and not heard.
pub const VERSION: u8 = 1;
/// The version of datagrams on standings: programs before them count these as of another version, and hear the rest.
pub const OF_STANDINGS: u8 = 2;
const HEAD: usize = 5;

/// How far a dispatcher has lived: its incarnation, and its rounds in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Which life.
    pub incarnation: Incarnation,
    /// Rounds in it.
    pub beat: u32,
}

/// Who speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its number.
    pub who: Peer,
    /// How many dispatchers there are by its configuration.
    pub of: u16,
    /// How far it has lived.
    pub life: Heartbeat,
}

/// What a dispatcher saw of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// Nothing, any more.
    #[default]
    Nothing,
    /// Its calls fail there.
    Failing,
    /// A call of its got through.
    Fine,
}

/// A piece of evidence. Only its author makes it; the others pass it on as it is, but for its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Its author.
    pub who: Peer,
    /// The author's life.
    pub incarnation: Incarnation,
    /// Of two pieces of one life the later has the higher number.
    pub seq: u32,
    /// How often it was passed on.
    pub hops: u8,
    /// The endpoint.
    pub place: EndpointHash,
    /// What was seen.
    pub sight: Reachability,
    /// How long ago, milliseconds.
    pub age_ms: u32,
    /// The endpoint asked for a wait that lasts for so long from now, milliseconds; 0 for none.
    pub wait_ms: u32,
}

/// A dispatcher's calls to a destination in one life, so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Written whole.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Turned away as too many.
    pub refused: u64,
}

/// Counts. Only their author makes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted {
    /// Their author.
    pub who: Peer,
    /// The author's life.
    pub incarnation: Incarnation,
    /// The destination.
    pub dest: DestId,
    /// How long ago they were right, milliseconds.
    pub age_ms: u32,
    /// The counts.
    pub calls: Calls,
    /// What the author could lend of its part, in 255ths of an even part.
    pub spare: u8,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// Somebody lives.
    Lives {
        /// Who.
        who: Peer,
        /// How far.
        life: Heartbeat,
    },
    /// Counts.
    Counted(Counted),
    /// Evidence.
    Seen(Observation),
    /// To the one who is asked: a part of its part of a destination is wanted.
    Ask {
        /// The destination.
        dest: DestId,
        /// The asking, by the borrower's own count.
        seq: u32,
        /// What is wanted, in parts of [`crate::lending::WHOLE`].
        part: u32,
    },
    /// To the one who asked.
    Grant {
        /// The destination.
        dest: DestId,
        /// Which asking.
        seq: u32,
        /// The borrower's life that asked.
        incarnation: Incarnation,
        /// What is lent.
        part: u32,
    },
    /// What somebody acts on; this and all that follow only in [`OF_STANDINGS`].
    Stands(VersionReport),
    /// Who is found behind.
    Finding(StalenessVotes),
    /// Digests of the parts of what the speaker knows of cordons and drains: whoever knows others is to send them.
    Buckets([u32; BUCKETS]),
    /// A cordon or a drain.
    Word(EndpointRecord),
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Who speaks.
    pub speaker: Sender,
    /// What is said.
    pub items: Vec<Item>,
}

/// Why a datagram says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Longer than any.
    #[error("{0} bytes are too many")]
    TooLong(usize),
    /// Of another version.
    #[error("version {0} is not spoken here")]
    Version(u8),
    /// Damaged, or no datagram of ours.
    #[error("it can't be read")]
    Unreadable,
}

/// Puts a datagram together, item by item, for as long as there is room.
pub struct Packing {
    version: u8,
    bytes: Vec<u8>,
    items: usize,
}

impl Packing {
    /// A datagram without items.
    pub fn new(speaker: &Sender) -> Self {
        Self::of(VERSION, speaker)
    }
    /// The same in one of the versions.
    pub fn of(version: u8, speaker: &Sender) -> Self {
        let mut bytes = vec![0; HEAD];
        // Into memory: it can't fail.
        bytes.extend(postcard::to_stdvec(speaker).unwrap_or_default());
        Packing { version, bytes, items: 0 }
    }
    /// Adds an item; whether there was room.
    pub fn add(&mut self, item: &Item) -> bool {
        let Ok(more) = postcard::to_stdvec(item) else { return false };
        let fits = self.bytes.len() + more.len() <= LONGEST;
        if fits {
            self.bytes.extend(more);
            self.items += 1;
        }
        fits
    }
    /// Nothing was added.
    pub fn is_empty(&self) -> bool {
        self.items == 0
    }
    /// Bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }
    /// Bytes that are left.
    pub fn room(&self) -> usize {
        LONGEST - self.bytes.len()
    }
    /// The datagram.
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

/// Reads a datagram.
///
/// # Errors
/// For what is none, or of another version.
pub fn read(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > LONGEST {
        return Err(Error::TooLong(bytes.len()));
    }
    let (head, body) = bytes.split_first_chunk::<HEAD>().ok_or(Error::Unreadable)?;
    if !(VERSION..=OF_STANDINGS).contains(&head[0]) {
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
