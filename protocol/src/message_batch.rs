//! A batch of messages from one process to another, with the sender's name and incarnation.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::json::{Fault, list, string, whole};
use crate::peer_message::PeerMessage;

/// A batch as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageBatch {
    /// Name of the sending machine.
    pub from: CompactString,
    /// Incarnation of the sender; higher after each restart.
    pub incarnation: u64,
    /// The messages that could be read.
    pub messages: Vec<PeerMessage>,
    /// Errors of the messages that could not be read.
    pub faults: Vec<Fault>,
}

impl MessageBatch {
    /// Reads a batch. A message that cannot be read is reported in `faults` and does not affect the others.
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
