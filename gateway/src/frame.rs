//! Frames of the hop: Protocol Buffers messages (proto3 encoding), each after its length as four bytes, most significant
//! first. Fields that are not known are passed over, so that an older side can read a newer one.
//!
//! Invariant kept here: nothing that comes from the other side is believed before it was checked. A frame that is too
//! long is refused by its length, before a byte of it is kept; one that can't be read, or whose fields make no sense, is an
//! error that names the field, after which the connection is given up.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::{Message, Oneof};

use crate::near::Word;
use crate::{End, HopKey, Nanos};

/// The longest frame: a message's body of 64 KiB and its head. Also bounds what a reader keeps for one that is not whole.
pub const LONGEST: usize = 96 * 1024;
/// The newest version of the protocol that this code speaks.
pub const VERSION: u32 = 1;
/// The oldest that it still speaks.
pub const OLDEST: u32 = 1;
/// The longest reference, idempotency key or name.
pub const LONGEST_NAME: usize = 4096;
/// Sites that a message may have passed, at most.
pub const LONGEST_PATH: usize = 16;

/// What is wrong with what came.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A frame's length.
    #[error("a frame of {0} bytes, where {LONGEST} are the most")]
    TooLong(usize),
    /// Bytes that are no frame.
    #[error("a frame can't be read: {0}")]
    Unreadable(String),
    /// A frame of no kind that this version knows.
    #[error("a frame of no kind that version {VERSION} knows")]
    Unknown,
    /// A field that is missing or makes no sense.
    #[error("{frame}: field `{field}` {why}")]
    Field {
        /// The frame's kind.
        frame: &'static str,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        why: &'static str,
    },
    /// The other side speaks no version that this one does.
    #[error("the other side speaks versions {least} to {most}, this one {OLDEST} to {VERSION}")]
    Version {
        /// The oldest that it speaks.
        least: u32,
        /// The newest.
        most: u32,
    },
}

/// The first frame on a connection, from each side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The oldest version of the protocol that this side speaks.
    #[prost(uint32, tag = "1")]
    pub least: u32,
    /// The newest.
    #[prost(uint32, tag = "2")]
    pub most: u32,
    /// Name of its site.
    #[prost(string, tag = "3")]
    pub site: String,
    /// Number of its store, drawn when that was made: it tells a side that has lost its folder.
    #[prost(fixed64, tag = "4")]
    pub store: u64,
}

/// A message that is to be delivered at the far side.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Offer {
    /// The near side's store.
    #[prost(fixed64, tag = "1")]
    pub store: u64,
    /// The message's number there.
    #[prost(uint64, tag = "2")]
    pub message: u64,
    /// Which attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Its id at its client: the same from end to end.
    #[prost(string, tag = "4")]
    pub reference: String,
    /// Name of its class.
    #[prost(string, tag = "5")]
    pub class: String,
    /// Its destination.
    #[prost(uint64, tag = "6")]
    pub dest: u64,
    /// Time that is left to it, microseconds: counted from its arrival, less half the round trip of the link.
    #[prost(uint64, tag = "7")]
    pub left_us: u64,
    /// Its idempotency key, empty for none.
    #[prost(bytes = "bytes", tag = "8")]
    pub key: Bytes,
    /// What it is about, where its class keeps an order.
    #[prost(fixed64, optional, tag = "9")]
    pub order: Option<u64>,
    /// Sites that it has passed, the first one first.
    #[prost(string, repeated, tag = "10")]
    pub path: Vec<String>,
    /// What is to be delivered.
    #[prost(bytes = "bytes", tag = "11")]
    pub body: Bytes,
}

/// An offer by its key.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Key {
    /// The near side's store.
    #[prost(fixed64, tag = "1")]
    pub store: u64,
    /// The message's number there.
    #[prost(uint64, tag = "2")]
    pub message: u64,
    /// Which attempt.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}

/// What the far side says of an offer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Told {
    /// Which.
    #[prost(message, optional, tag = "1")]
    pub key: Option<Key>,
    /// 1 accepted, 2 delivered, 3 failed, 4 refused (it never ran), 5 void (it never came, and will not be taken).
    #[prost(uint32, tag = "2")]
    pub what: u32,
    /// With a refusal: how long to stay away, microseconds; 0 for no hint.
    #[prost(uint64, tag = "3")]
    pub wait_us: u64,
}

/// All messages before this one are over at the near side for ever.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Settled {
    /// The near side's store.
    #[prost(fixed64, tag = "1")]
    pub store: u64,
    /// The first message that may still be spoken of.
    #[prost(uint64, tag = "2")]
    pub below: u64,
}

/// How a destination fares at the far side.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Destination {
    /// Which.
    #[prost(uint64, tag = "1")]
    pub dest: u64,
    /// Offers for it that the far side takes beyond those of before.
    #[prost(uint32, tag = "2")]
    pub credit: u32,
    /// It asked for nothing to be sent for so long, microseconds from the arrival of this; 0 for no wait, also where one was
    /// told before.
    #[prost(uint64, tag = "3")]
    pub wait_us: u64,
    /// No endpoint of it takes new work.
    #[prost(bool, tag = "4")]
    pub away: bool,
}

/// To learn how long a frame takes there and back.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Ping {
    /// Comes back in the answer.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// This is the answer.
    #[prost(bool, tag = "2")]
    pub back: bool,
}

/// One frame.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Frame {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub kind: Option<Kind>,
}

/// What a frame says.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum Kind {
    /// The first on a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Near to far: a message.
    #[prost(message, tag = "2")]
    Offer(Offer),
    /// Near to far: what became of it?
    #[prost(message, tag = "3")]
    Ask(Key),
    /// Near to far: its end is known here, and lasts.
    #[prost(message, tag = "4")]
    Acknowledge(Key),
    /// Near to far: all messages before this one are over.
    #[prost(message, tag = "5")]
    Settled(Settled),
    /// Far to near: what is known of an offer.
    #[prost(message, tag = "6")]
    Told(Told),
    /// Far to near: how a destination fares.
    #[prost(message, tag = "7")]
    Destination(Destination),
    /// Either way.
    #[prost(message, tag = "8")]
    Ping(Ping),
}

impl From<HopKey> for Key {
    fn from(HopKey { store, message, attempt }: HopKey) -> Self {
        Key { store, message, attempt }
    }
}

impl From<Key> for HopKey {
    fn from(Key { store, message, attempt }: Key) -> Self {
        HopKey { store, message, attempt }
    }
}

const MICRO: Nanos = 1_000;

impl Told {
    /// What the far side says of an offer, for the wire.
    pub fn new(key: HopKey, word: Word) -> Self {
        let (what, wait) = match word {
            Word::Accepted => (1, 0),
            Word::Ended(End::Delivered) => (2, 0),
            Word::Ended(End::Failed) => (3, 0),
            Word::Ended(End::Refused { wait }) => (4, wait),
            Word::Void => (5, 0),
        };
        Told { key: Some(key.into()), what, wait_us: wait.div_ceil(MICRO) }
    }

    /// The offer, and what is said of it.
    ///
    /// # Errors
    /// [`Error::Field`] where there is no key, or no word that this version knows.
    pub fn read(&self) -> Result<(HopKey, Word), Error> {
        let field = |field, why| Error::Field { frame: "told", field, why };
        let key = self.key.ok_or(field("key", "is missing"))?;
        let word = match self.what {
            1 => Word::Accepted,
            2 => Word::Ended(End::Delivered),
            3 => Word::Ended(End::Failed),
            4 => Word::Ended(End::Refused { wait: self.wait_us.saturating_mul(MICRO) }),
            5 => Word::Void,
            _ => return Err(field("what", "is none that this version knows")),
        };
        Ok((key.into(), word))
    }
}

impl Hello {
    /// This side's greeting.
    pub fn new(site: &str, store: u64) -> Self {
        Hello { least: OLDEST, most: VERSION, site: site.to_owned(), store }
    }

    /// The newest version that both sides speak.
    ///
    /// # Errors
    /// [`Error::Version`] where there is none; [`Error::Field`] for a site without a name.
    pub fn agree(&self) -> Result<u32, Error> {
        if self.site.is_empty() || self.site.len() > LONGEST_NAME {
            return Err(Error::Field { frame: "hello", field: "site", why: "is no name" });
        }
        let both = self.most.min(VERSION);
        if self.least > both || both < OLDEST {
            return Err(Error::Version { least: self.least, most: self.most });
        }
        Ok(both)
    }
}

impl Offer {
    /// The offer's key.
    pub fn hop_key(&self) -> HopKey {
        HopKey { store: self.store, message: self.message, attempt: self.attempt }
    }

    /// Whether its fields make sense.
    ///
    /// # Errors
    /// [`Error::Field`] for the first that does not.
    pub fn check(&self) -> Result<(), Error> {
        let field = |field, why| Err(Error::Field { frame: "offer", field, why });
        if self.reference.is_empty() || self.reference.len() > LONGEST_NAME {
            return field("reference", "is empty or too long");
        }
        if self.class.is_empty() || self.class.len() > LONGEST_NAME {
            return field("class", "is empty or too long");
        }
        if self.key.len() > LONGEST_NAME {
            return field("key", "is too long");
        }
        if self.path.len() > LONGEST_PATH
            || self.path.iter().any(|site| site.is_empty() || site.len() > LONGEST_NAME)
        {
            return field("path", "is too long, or names no site");
        }
        Ok(())
    }
}

/// A frame's bytes, with its length.
///
/// # Errors
/// [`Error::TooLong`] where the other side would refuse it.
pub fn encode(kind: Kind) -> Result<Bytes, Error> {
    let frame = Frame { kind: Some(kind) };
    let length = frame.encoded_len();
    if length > LONGEST {
        return Err(Error::TooLong(length));
    }
    let mut bytes = BytesMut::with_capacity(4 + length);
    bytes.put_u32(length as u32);
    // There is room for all of it.
    frame.encode(&mut bytes).map_err(|e| Error::Unreadable(e.to_string()))?;
    Ok(bytes.freeze())
}

/// Takes the next whole frame out of what has come so far; `None` where more is needed. A frame of a kind that is not known
/// is [`Error::Unknown`], and may be passed over: it is out of `bytes` by then.
///
/// # Errors
/// As the variants of [`Error`] say.
pub fn decode(bytes: &mut BytesMut) -> Result<Option<Kind>, Error> {
    let Some(head) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > LONGEST {
        return Err(Error::TooLong(length));
    }
    if bytes.len() < 4 + length {
        return Ok(None);
    }
    bytes.advance(4);
    let body = bytes.split_to(length).freeze();
    let frame = Frame::decode(body).map_err(|e| Error::Unreadable(e.to_string()))?;
    let kind = frame.kind.ok_or(Error::Unknown)?;
    if let Kind::Offer(offer) = &kind {
        offer.check()?;
    }
    Ok(Some(kind))
}
