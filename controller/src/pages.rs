//! The platform's list, page by page.

use compact_str::CompactString;
use millpost_autoscaler::Endpoint;

use crate::Nanos;

/// The longest list.
const LONGEST: usize = 100_000;

/// What a page makes of the list.
#[derive(Debug, PartialEq)]
pub enum Paged {
    /// More is to come.
    More,
    /// This is all of it, as it stood when its first page was asked for.
    Whole(Nanos, Vec<Endpoint>),
    /// It has no end, and is given up.
    Endless,
}

/// The list that is being read.
#[derive(Debug, Default)]
pub struct Pages {
    asked: Option<Nanos>,
    entries: Vec<Endpoint>,
    next: Option<CompactString>,
}

impl Pages {
    /// Starts anew.
    pub fn clear(&mut self) {
        *self = Pages::default();
    }

    /// What the next page is asked for by, once.
    pub fn token(&mut self) -> Option<CompactString> {
        self.next.take()
    }

    /// A page that was asked for at this time.
    pub fn page(&mut self, asked: Nanos, entries: Vec<Endpoint>, next: Option<CompactString>) -> Paged {
        let first = *self.asked.get_or_insert(asked);
        self.entries.extend(entries);
        self.next = next;
        if self.next.is_none() {
            let entries = std::mem::take(&mut self.entries);
            self.clear();
            Paged::Whole(first, entries)
        } else if self.entries.len() > LONGEST {
            self.clear();
            Paged::Endless
        } else {
            Paged::More
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
    fn a_list_counts_from_when_its_first_page_was_asked_for() {
        let mut pages = Pages::default();
        assert_eq!(pages.page(10, entries(0, 2), Some("t".into())), Paged::More);
        assert_eq!((pages.token(), pages.token()), (Some("t".into()), None));
        assert_eq!(pages.page(20, entries(2, 1), None), Paged::Whole(10, entries(0, 3)));
        assert_eq!(pages.page(30, entries(7, 1), None), Paged::Whole(30, entries(7, 1)));
    }

    #[test]
    fn a_list_without_end_is_given_up() {
        let mut pages = Pages::default();
        let last =
            (0..).map(|n| pages.page(n, entries(0, 20_000), Some("t".into()))).find(|p| *p != Paged::More);
        assert_eq!(last, Some(Paged::Endless));
        assert_eq!(pages.page(9, Vec::new(), None), Paged::Whole(9, Vec::new()));
    }
}
