//! What one process posts to another: from whom, in which of its lives, and the notes.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::json::{Fault, list, string, whole};
use crate::peer_message::PeerMessage;

/// A letter that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageBatch {
    /// The machine that sent it.
    pub from: CompactString,
    /// Which of the sender's lives: later ones are higher.
    pub life: u64,
    /// Its notes that could be read.
    pub notes: Vec<PeerMessage>,
    /// What was wrong with the others.
    pub faults: Vec<Fault>,
}

impl MessageBatch {
    /// Reads one. A note that can't be read is told in `faults`; the others stand.
    pub fn read(value: &JsonValue) -> Result<MessageBatch, Fault> {
        let JsonValue::Object(parts) = value else {
            return Err(Fault { key: "letter".to_owned(), reason: "no object" });
        };
        let (mut notes, mut faults) = (Vec::new(), Vec::new());
        for note in list(parts, "notes")? {
            match PeerMessage::read(note) {
                Ok(note) => notes.push(note),
                Err(fault) => faults.push(fault),
            }
        }
        Ok(MessageBatch { from: string(parts, "from")?, life: whole(parts, "life")?, notes, faults })
    }
}
