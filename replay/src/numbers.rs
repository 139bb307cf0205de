//! Asks are numbered anew in each play.

use std::collections::BTreeMap;

use millpost_protocol::PeerMessage;
use millpost_scheduler::recording::Input as DeskInput;

/// Numbers of asks as they were recorded, and as they are in this play, where they are not the same.
#[derive(Clone, Debug, Default)]
pub struct Numbers {
    here: BTreeMap<u64, u64>,
    recorded: BTreeMap<u64, u64>,
}

impl Numbers {
    pub(crate) fn add(&mut self, recorded: u64, here: Option<u64>) {
        if here != Some(recorded) {
            self.here.insert(recorded, here.unwrap_or(0));
        }
        if let Some(here) = here.filter(|here| *here != recorded) {
            self.recorded.insert(here, recorded);
        }
    }

    /// All asks are numbered as they were recorded.
    pub fn are_the_same(&self) -> bool {
        self.here.is_empty()
    }

    /// The number in this play.
    pub fn here(&self, recorded: u64) -> u64 {
        self.here.get(&recorded).copied().unwrap_or(recorded)
    }

    /// The number in the recording.
    pub fn recorded(&self, here: u64) -> u64 {
        self.recorded.get(&here).copied().unwrap_or(here)
    }

    /// The same input with the numbers of this play.
    pub(crate) fn turn(&self, input: &DeskInput) -> DeskInput {
        let mut input = input.clone();
        if self.here.is_empty() {
            return input;
        }
        match &mut input {
            DeskInput::Cancel { id } | DeskInput::Finish { id, .. } => *id = self.here(*id),
            // Of all that comes by mail only the answers to own asks bear own numbers.
            DeskInput::PeerMessages { messages: notes, .. } => {
                for note in notes {
                    if let PeerMessage::Grant { id, .. } | PeerMessage::Denied { id, .. } = note {
                        *id = self.here(*id);
                    }
                }
            }
            _ => {}
        }
        input
    }
}
