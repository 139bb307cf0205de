//! A folder of segments, read as a stream: each record with what it names, and what is missing or can't be read.

use std::fmt;
use std::path::{Path, PathBuf};

use millpost_tier::versions::ActiveVersions;
use serde::Serialize;

use crate::Nanos;
use crate::entry::{Entry, Head};
use crate::log::segments;
use crate::segment::{Damage, Reader};

/// What the records of a segment name by numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Messages.
    pub messages: Vec<u64>,
    /// Endpoints and their destinations.
    pub endpoints: Vec<(u64, u64)>,
    /// Standings.
    pub standings: Vec<ActiveVersions>,
}

impl Names {
    /// What a message is known by; 0 for one that was not named.
    pub fn message(&self, number: u32) -> u64 {
        self.messages.get(number as usize).copied().unwrap_or(0)
    }
    /// An endpoint and its destination.
    pub fn endpoint(&self, number: u32) -> (u64, u64) {
        self.endpoints.get(number as usize).copied().unwrap_or((0, 0))
    }
    /// A standing.
    pub fn standing(&self, number: u32) -> Option<&ActiveVersions> {
        self.standings.get(number as usize)
    }
}

/// Something that a log does not say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Trouble {
    /// Where.
    pub file: PathBuf,
    /// What.
    pub what: String,
    /// Records may be missing beside those that a crash cuts off at the end.
    pub gap: bool,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.what)
    }
}

/// Reads a folder from its oldest segment to its newest. `each` is told where a segment begins, with `None`, and of each
/// record. What was read of: its last head, and what is missing.
pub fn folder(
    path: &Path,
    mut each: impl FnMut(&Head, Nanos, Option<&Entry>, &Names),
) -> (Option<Head>, Vec<Trouble>) {
    let mut troubles = Vec::new();
    let mut tell =
        |file: &Path, what: String, gap| troubles.push(Trouble { file: file.to_owned(), what, gap });
    let all = match segments(path) {
        Ok(all) => all,
        Err(e) => {
            tell(path, format!("it can't be read: {e}"), true);
            return (None, troubles);
        }
    };
    if all.is_empty() {
        tell(path, "it holds no log".to_owned(), true);
    }
    // Records up to here, and whether the process ended in order.
    let (mut records, mut ended, mut last) = (None::<u64>, true, None::<Head>);
    let mut number_before = None;
    for (number, file) in &all {
        if number_before.is_some_and(|before| before + 1 != *number) {
            tell(file, "a segment before it is missing".to_owned(), true);
        }
        number_before = Some(*number);
        let bytes = match std::fs::read(file) {
            Ok(bytes) => bytes,
            Err(e) => {
                tell(file, format!("it can't be read: {e}"), true);
                records = None;
                continue;
            }
        };
        let (head, mut reader) = match Reader::open(&bytes) {
            Ok(opened) => opened,
            Err(damage) => {
                tell(file, damage.to_string(), true);
                records = None;
                continue;
            }
        };
        match records {
            None if last.is_none() && head.first > 0 => {
                tell(file, format!("{} records before it are out, or lost", head.first), true);
            }
            Some(known) if known != head.first => {
                tell(file, format!("{} records before it are missing", head.first.abs_diff(known)), true);
            }
            _ => {}
        }
        if head.begins && !ended {
            let what = "the process before it was killed: its last frame may be missing".to_owned();
            tell(file, what, false);
        }
        let mut names = Names::default();
        each(&head, head.at, None, &names);
        let mut count = head.first;
        ended = false;
        loop {
            match reader.next() {
                Ok(Some((at, entry))) => {
                    count += 1;
                    match &entry {
                        Entry::Standing(standing) => names.standings.push(**standing),
                        Entry::Endpoint(place, dest) => names.endpoints.push((*place, *dest)),
                        Entry::Message(message) | Entry::Taken { message, .. } => {
                            names.messages.push(u64::from_le_bytes(*message));
                        }
                        Entry::Lost(lost) => {
                            tell(file, format!("{lost} records could not be written"), true);
                        }
                        Entry::Ends => ended = true,
                        _ => {}
                    }
                    each(&head, at, Some(&entry), &names);
                }
                Ok(None) => break,
                Err(damage) => {
                    // A crash cuts the last frame of a life; anything else is more than that.
                    let cut = matches!(damage, Damage::Cut(_));
                    tell(file, damage.to_string(), !cut);
                    break;
                }
            }
        }
        (records, last) = (Some(count), Some(head));
    }
    (last, troubles)
}
