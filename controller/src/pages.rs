//! Reads the platform's list page by page.

use compact_str::CompactString;
use millpost_autoscaler::Endpoint;

use crate::Nanos;

/// Maximum number of entries of a list.
const MAX_ENTRIES: usize = 100_000;

/// The result of adding a page.
#[derive(Debug, PartialEq)]
pub enum PageResult {
    /// The list has more pages.
    More,
    /// The complete list, with the time at which its first page was requested.
    Complete(Nanos, Vec<Endpoint>),
    /// The list exceeds [`MAX_ENTRIES`] and was discarded.
    TooLong,
}

/// The list that is being read.
#[derive(Debug, Default)]
pub struct ListReader {
    requested_at: Option<Nanos>,
    entries: Vec<Endpoint>,
    next: Option<CompactString>,
}

impl ListReader {
    /// Discards the list.
    pub fn clear(&mut self) {
        *self = ListReader::default();
    }

    /// Takes the token of the next page.
    pub fn next_token(&mut self) -> Option<CompactString> {
        self.next.take()
    }

    /// Adds a page that was requested at `requested_at`.
    pub fn add_page(
        &mut self,
        requested_at: Nanos,
        entries: Vec<Endpoint>,
        next: Option<CompactString>,
    ) -> PageResult {
        let first = *self.requested_at.get_or_insert(requested_at);
        self.entries.extend(entries);
        self.next = next;
        if self.next.is_none() {
            let entries = std::mem::take(&mut self.entries);
            self.clear();
            PageResult::Complete(first, entries)
        } else if self.entries.len() > MAX_ENTRIES {
            self.clear();
            PageResult::TooLong
        } else {
            PageResult::More
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entries(from: usize, count: usize) -> Vec<Endpoint> {
        let entry = |n| Endpoint {
            id: format!("i-{n}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "z".into(),
            worker: None,
            draining: false,
        };
        (from..from + count).map(entry).collect()
    }

    #[test]
    fn a_list_counts_from_the_request_of_its_first_page() {
        let mut pages = ListReader::default();
        assert_eq!(pages.add_page(10, entries(0, 2), Some("t".into())), PageResult::More);
        assert_eq!((pages.next_token(), pages.next_token()), (Some("t".into()), None));
        assert_eq!(pages.add_page(20, entries(2, 1), None), PageResult::Complete(10, entries(0, 3)));
        assert_eq!(pages.add_page(30, entries(7, 1), None), PageResult::Complete(30, entries(7, 1)));
    }

    #[test]
    fn an_endless_list_is_discarded() {
        let mut pages = ListReader::default();
        let last = (0..)
            .map(|n| pages.add_page(n, entries(0, 20_000), Some("t".into())))
            .find(|p| *p != PageResult::More);
        assert_eq!(last, Some(PageResult::TooLong));
        assert_eq!(pages.add_page(9, Vec::new(), None), PageResult::Complete(9, Vec::new()));
    }
}
