//! How a record is laid out in the storage engine: a short one under its key, a long one in parts.
//!
//! The engine keeps an item above some 128 KiB in a file of its own, a new one for each write, and never deletes
//! it. Parts stay far below that, so that each write replaces what the one before has stored.
//!
//! Invariant: a record is read back as it was written, or not at all: its length is stored beside its parts.

use std::collections::BTreeMap;

use millpost_quorum::MAX_WHOLE_RECORD;
use snafu::Snafu;

/// Length of a part in bytes. With parts of 16 KiB, the engine keeps whole pages of them in files of their own.
const PART_LENGTH: usize = 4 << 10;
/// Follows the key of a record in the key of its length, and in those of its parts. No key contains it.
const SEPARATOR: char = '#';

/// A change of one item in the storage engine.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ItemChange<'a> {
    Insert(String, &'a [u8]),
    InsertLength(String, String),
    Remove(String),
}

/// Why items form no records.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub(crate) enum LayoutError {
    #[snafu(display("record {key}: its length is not a number"))]
    Length { key: String },
    #[snafu(display("record {key}: {found} bytes in its parts, expected {expected}"))]
    Parts { key: String, found: usize, expected: usize },
}

/// The key under which the length of a long record is stored.
pub(crate) fn length_key(key: &str) -> String {
    format!("{key}{SEPARATOR}")
}

fn part_key(key: &str, index: usize) -> String {
    format!("{key}{SEPARATOR}{index:06}")
}

/// Returns the number of parts of a record with this length, as stored; 0 if it is stored whole.
pub(crate) fn part_count(length: Option<&[u8]>) -> usize {
    length.and_then(parse_length).map_or(0, |length| length.div_ceil(PART_LENGTH))
}

fn parse_length(text: &[u8]) -> Option<usize> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Returns the changes that replace a record, which had `old_parts` parts, by this text.
pub(crate) fn replace<'a>(key: &str, text: &'a str, old_parts: usize) -> Vec<ItemChange<'a>> {
    let mut changes = Vec::new();
    let mut parts = 0;
    if text.len() > MAX_WHOLE_RECORD {
        changes.push(ItemChange::Remove(key.to_owned()));
        changes.push(ItemChange::InsertLength(length_key(key), text.len().to_string()));
        for (index, part) in text.as_bytes().chunks(PART_LENGTH).enumerate() {
            changes.push(ItemChange::Insert(part_key(key, index), part));
            parts = index + 1;
        }
    } else {
        changes.push(ItemChange::Insert(key.to_owned(), text.as_bytes()));
        if old_parts > 0 {
            changes.push(ItemChange::Remove(length_key(key)));
        }
    }
    changes.extend((parts..old_parts).map(|index| ItemChange::Remove(part_key(key, index))));
    changes
}

/// Returns the records that these items form. The items are ordered by key.
pub(crate) fn join(
    items: impl IntoIterator<Item = (String, Vec<u8>)>,
) -> Result<Vec<(String, String)>, LayoutError> {
    let mut whole = BTreeMap::new();
    let mut long = BTreeMap::<String, (Option<Vec<u8>>, Vec<u8>)>::new();
    for (item_key, bytes) in items {
        match item_key.split_once(SEPARATOR) {
            None => drop(whole.insert(item_key, bytes)),
            Some((key, "")) => long.entry(key.to_owned()).or_default().0 = Some(bytes),
            Some((key, _)) => long.entry(key.to_owned()).or_default().1.extend(bytes),
        }
    }
    for (key, (length, bytes)) in long {
        let expected = length.as_deref().and_then(parse_length);
        let Some(expected) = expected else { return LengthSnafu { key }.fail() };
        if bytes.len() != expected {
            return PartsSnafu { key, found: bytes.len(), expected }.fail();
        }
        whole.insert(key, bytes);
    }
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    Ok(whole.into_iter().map(|(key, bytes)| (key, text(bytes))).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn apply(items: &mut BTreeMap<String, Vec<u8>>, key: &str, text: &str) {
        let old_parts = part_count(items.get(&length_key(key)).map(Vec::as_slice));
        for change in replace(key, text, old_parts) {
            match change {
                ItemChange::Insert(key, bytes) => drop(items.insert(key, bytes.to_vec())),
                ItemChange::InsertLength(key, text) => drop(items.insert(key, text.into_bytes())),
                ItemChange::Remove(key) => drop(items.remove(&key)),
            }
        }
    }

    #[test]
    fn records_of_any_length_replace_each_other_and_leave_nothing_behind() {
        let lengths =
            [0, 1, MAX_WHOLE_RECORD, MAX_WHOLE_RECORD + 1, 10 * PART_LENGTH, 10 * PART_LENGTH + 1, 400_000];
        for from in lengths {
            for to in lengths {
                let (mut items, mut new) = (BTreeMap::new(), BTreeMap::new());
                apply(&mut items, "other", "x");
                // Parts may end within a character.
                apply(&mut items, "k", &"ä".repeat(from / 2));
                apply(&mut items, "k", &"ü".repeat(to / 2));
                apply(&mut new, "other", "x");
                apply(&mut new, "k", &"ü".repeat(to / 2));
                assert_eq!(items, new, "{from} {to}");
                assert!(items.values().all(|item| item.len() <= MAX_WHOLE_RECORD));
                let expected = [("k", "ü".repeat(to / 2)), ("other", "x".to_owned())];
                assert_eq!(join(items), Ok(expected.map(|(key, text)| (key.to_owned(), text)).to_vec()));
            }
        }
    }

    #[test]
    fn record_with_a_missing_item_is_not_read() {
        let mut items = BTreeMap::new();
        apply(&mut items, "k", &"x".repeat(MAX_WHOLE_RECORD + 1));
        for missing in items.keys() {
            let left = items.clone().into_iter().filter(|(key, _)| key != missing);
            let error = join(left).expect_err("not whole").to_string();
            assert!(error.contains("record k"), "{error}");
        }
    }
}
