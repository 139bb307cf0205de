//! What one process posts to another: from whom, in which of its lives, and the messages.

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
    pub incarnation: u64,
    /// Its messages that could be read.
    pub messages: Vec<PeerMessage>,
    /// What was wrong with the others.
    pub faults: Vec<Fault>,
}

impl MessageBatch {
    /// Reads one. A message that can't be read is told in `faults`; the others stand.
    pub fn read(value: &JsonValue) -> Result<MessageBatch, Fault> {
        let JsonValue::Object(parts) = value else {
            return Err(Fault { key: "letter".to_owned(), reason: "no object" });
        };
        let (mut messages, mut faults) = (Vec::new(), Vec::new());
        for message in list(parts, "notes")? {
            match PeerMessage::read(message) {
                Ok(message) => messages.push(message),
                Err(fault) => faults.push(fault),
            }
        }
        Ok(MessageBatch {
            from: string(parts, "from")?,
            incarnation: whole(parts, "life")?,
            messages,
            faults,
        })
    }
}
