//! What the two processes say to each other: frames with a length ahead, each a [`Frame`] as postcard writes it.

use bytes::Bytes;
use millpost::api::Nanos;
use millpost_core::{CallEnd, CallId, Submission, SubmitReply};
use serde::{Deserialize, Serialize};

/// The version of what is said here.
pub const VERSION: u32 = 1;
/// The longest frame: what a process knows of its messages, bodies included.
pub const LONGEST: usize = 256 << 20;
/// The longest one from somebody who has not said yet who he is.
const LONGEST_ASK: usize = 4096;
const HEAD: usize = 4;

/// Who asks for the work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Spoken version.
    pub version: u32,
    /// The dispatcher's name.
    pub name: String,
}

/// All that the old process knows beside the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moving {
    /// The form of `core`.
    pub layout: u32,
    /// The module's clock as it was written.
    pub now: Nanos,
    /// The wall clock then.
    pub wall: Nanos,
    /// Its messages, calls and module.
    pub core: Bytes,
    /// Its endpoints, by their numbers.
    pub roster: Bytes,
    /// Calls that were written and that the old process finishes.
    pub written: Vec<CallId>,
    /// Its configuration as it is in force, the file as it stands.
    pub config: String,
    /// Where its list of endpoints came from, and its version there.
    pub source: String,
    /// See there.
    pub index: Option<u64>,
    /// Connections of clients that it still serves.
    pub clients: usize,
    /// The mark of the store: the taker's must differ.
    pub mark: u64,
}

/// What is said.
#[allow(missing_docs, reason = "fields are explained with their frames")]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// New to old: it wants the work.
    Ask(Ask),
    /// Old to new: not now, or never.
    No(String),
    /// Old to new: the store is free, and this is all. From here on the old one decides nothing.
    Offer(Box<Moving>),
    /// New to old: it owns the store and every decision; the old one finishes its calls, or with `afresh` breaks them
    /// off, since what it knew could not be read.
    Mine { afresh: bool },
    /// Old to new: a client handed a message in, so long ago.
    Handed { number: u64, ago: Nanos, handed: Box<Submission> },
    /// New to old: what to tell that client.
    Verdict { number: u64, verdict: SubmitReply },
    /// Old to new: whether it was still there to hear it.
    Heard { number: u64, heard: bool },
    /// Old to new: a call is over.
    Ended { call: CallId, ended: CallEnd },
    /// Old to new: the connection of a call was gone before its last byte; whether it was a new one.
    Unsent { call: CallId, fresh: bool },
    /// New to old: call this call off.
    CallOff { call: CallId },
    /// Old to new: the staff asks the old one for this.
    Maintain { number: u64, id: String, out: bool },
    /// New to old: its answer.
    Maintained { number: u64, answer: Result<(), String> },
}

/// What is wrong with what was said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Longer than any frame.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// No frame.
    #[error("what was said can't be read")]
    Unreadable,
}

/// A frame as bytes.
pub fn write(frame: &Frame) -> Vec<u8> {
    // Into memory: it can't fail.
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Puts frames together from bytes that come in any pieces.
#[derive(Default)]
pub struct Reader {
    bytes: Vec<u8>,
    /// The other side has said who it is.
    known: bool,
}

impl Reader {
    /// Takes bytes in.
    pub fn read(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The other side may say long things from here on.
    pub fn trust(&mut self) {
        self.known = true;
    }

    /// The next frame, once it is whole. Nothing follows an error.
    ///
    /// # Errors
    /// For what is too long or no frame.
    pub fn frame(&mut self) -> Result<Option<Frame>, Error> {
        let Some(head) = self.bytes.first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_le_bytes(*head) as usize;
        let longest = if self.known { LONGEST } else { LONGEST_ASK };
        if length > longest {
            return Err(Error::TooLong(length));
        }
        let Some(body) = self.bytes.get(HEAD..HEAD + length) else { return Ok(None) };
        let (frame, rest) = postcard::take_from_bytes(body).map_err(|_| Error::Unreadable)?;
        if !rest.is_empty() {
            return Err(Error::Unreadable);
        }
        self.bytes.drain(..HEAD + length);
        Ok(Some(frame))
    }
}

#[cfg(test)]
mod tests {
    use millpost::api::Outcome;

    use super::*;

    fn all() -> Vec<Frame> {
        let body = Bytes::from_static(b"\x00body\xff");
        let handed = Submission {
            reference: "r".to_owned(),
            class: 1,
            dest: 7,
            time_left: 5,
            key: Some(Bytes::from_static(b"k")),
            order: None,
            body: body.clone(),
        };
        let moving = Moving {
            layout: 1,
            now: 2,
            wall: 3,
            core: body.clone(),
            roster: body,
            written: vec![4, 9],
            config: "{}".to_owned(),
            source: "127.0.0.1:1".to_owned(),
            index: Some(41),
            clients: 3,
            mark: 8,
        };
        vec![
            Frame::Ask(Ask { version: VERSION, name: "n0".to_owned() }),
            Frame::No("why".to_owned()),
            Frame::Offer(Box::new(moving)),
            Frame::Mine { afresh: false },
            Frame::Handed { number: 1, ago: 9, handed: Box::new(handed) },
            Frame::Verdict { number: 1, verdict: SubmitReply::Refused { wait: 7 } },
            Frame::Heard { number: 1, heard: true },
            Frame::Ended { call: 4, ended: CallEnd::without_answer(Outcome::Full(Some(3))) },
            Frame::Unsent { call: 9, fresh: true },
            Frame::CallOff { call: 9 },
            Frame::Maintain { number: 2, id: "s-1".to_owned(), out: true },
            Frame::Maintained { number: 2, answer: Err("no".to_owned()) },
        ]
    }

    #[test]
    fn frames_are_whole_however_they_are_cut() {
        let bytes: Vec<u8> = all().iter().flat_map(write).collect();
        for step in 1..bytes.len() {
            let (mut reader, mut read) = (Reader::default(), Vec::new());
            reader.trust();
            for piece in bytes.chunks(step) {
                reader.read(piece);
                while let Some(frame) = reader.frame().expect("frames") {
                    read.push(frame);
                }
            }
            assert_eq!(read, all(), "in pieces of {step}");
        }
    }

    #[test]
    fn nonsense_is_an_error_and_holds_no_memory() {
        for bytes in
            [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[1, 0, 0, 0, 0xee], &[2, 0, 0, 0, 1, 0, 9]]
        {
            let mut reader = Reader::default();
            reader.read(bytes);
            assert!(reader.frame().is_err() || reader.frame() == Ok(None), "{bytes:?}");
        }
        let (mut reader, long) = (Reader::default(), write(&Frame::No("x".repeat(5_000))));
        reader.read(&long);
        assert_eq!(reader.frame(), Err(Error::TooLong(long.len() - HEAD)), "from a stranger");
        reader.trust();
        assert!(matches!(reader.frame(), Ok(Some(Frame::No(_)))));
        // Every byte changed: an error, or another frame, and never more than was sent.
        for frame in all() {
            let good = write(&frame);
            for at in 0..good.len() {
                let mut bad = good.clone();
                bad[at] ^= 0x55;
                let mut reader = Reader::default();
                reader.read(&bad);
                let _ = reader.frame();
            }
        }
    }
}
