//! Parts of a destination's budgets: an even part is each dispatcher's by right, unused parts are lent for a term.
//!
//! Kept invariant: at every instant the parts in use by all dispatchers sum to no more than [`WHOLE`], whatever datagrams
//! are lost, late, repeated or reordered, whoever restarts, pauses or is cut off, as long as clocks run apart by no more
//! than the stated rate and all go by one number of dispatchers. It rests on four things:
//!
//! - a lender does without what it lends from before the word leaves, for [`TierConfig::hold`] by its own clock;
//! - a borrower uses it for [`TierConfig::term`] from its *asking*, which was before, by its own clock;
//! - an asking is granted once by each lender, and a grant is taken once by the borrower that asked, in the life in which
//!   it asked;
//! - no more than half of an even part is ever lent: whoever was started anew, and does not know what it lent before,
//!   does without that half for one hold.
//!
//! Parts are fractions: what they are of need not be agreed on. Where dispatchers know different limits, the sum is no
//! more than the largest of these.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::config::TierConfig;
use crate::planted::{Fault, Planted};
use crate::{DestId, Incarnation, Nanos, Peer};

/// All of a destination.
pub const WHOLE: u32 = 1 << 24;
/// Askings of one destination whose grants may still come.
const ASKED: usize = 16;
/// Lendings of one destination at a time.
const LENT: usize = 64;
/// Nothing smaller than this part of an even part is lent.
const LEAST: u32 = 32;

/// The even part among so many.
pub fn even_share(of: u16) -> u32 {
    WHOLE / u32::from(of.max(1))
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Lent {
    part: u32,
    until: Nanos,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Borrowed {
    part: u32,
    until: Nanos,
}

#[derive(Clone, Debug, Serialize)]
struct Asked {
    seq: u32,
    at: Nanos,
    /// Who has granted it.
    granted: Vec<Peer>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Book {
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    asked: Vec<Asked>,
}

/// What one dispatcher has lent and borrowed. Books of destinations leave with [`Loans::retain`].
#[derive(Clone, Debug, Serialize)]
pub struct Loans {
    books: BTreeMap<DestId, Book>,
    /// Until then this life does not know what the one before lent.
    unsure_until: Nanos,
    next_seq: u32,
    /// The last asking of each peer, and in which life of its.
    heard: Vec<(Incarnation, u32)>,
    #[serde(skip)]
    pub(crate) planted: Planted,
}

/// What a dispatcher may use of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Now.
    pub part: u32,
    /// Until this time, when the first borrowed part ends.
    pub until: Nanos,
    /// Afterwards: all that is borrowed is over.
    pub after: u32,
}

impl Loans {
    /// A life begins, of which it is not known what the one before lent. Its askings are numbered from a number that is
    /// drawn, so that an answer to another life's is no answer here.
    pub fn new(now: Nanos, of: u16, terms: &TierConfig, drawn: u32) -> Self {
        Loans {
            books: BTreeMap::new(),
            unsure_until: now.saturating_add(terms.hold()),
            next_seq: drawn / 2,
            heard: vec![(0, 0); usize::from(of)],
            planted: Planted::default(),
        }
    }

    /// The same with a fault in place.
    #[cfg(feature = "faults")]
    pub fn planted(now: Nanos, of: u16, terms: &TierConfig, drawn: u32, fault: Option<Fault>) -> Self {
        Loans { planted: Planted { fault }, ..Loans::new(now, of, terms, drawn) }
    }

    fn lent(&self, now: Nanos, dest: DestId, right: u32) -> u32 {
        let of = |book: &Book| book.lent.iter().filter(|l| l.until > now).map(|l| l.part).sum::<u32>();
        let known = self.books.get(&dest).map_or(0, of);
        let unsure = now < self.unsure_until && !self.planted.has(Fault::ForgetLent);
        if unsure { known.max(right / 2) } else { known }
    }

    /// What is lent and what is borrowed, over all destinations.
    pub fn totals(&self, now: Nanos) -> (u64, u64) {
        let lent = self.books.values().flat_map(|book| &book.lent).filter(|l| l.until > now);
        let borrowed = self.books.values().flat_map(|book| &book.borrowed).filter(|b| b.until > now);
        (lent.map(|l| u64::from(l.part)).sum(), borrowed.map(|b| u64::from(b.part)).sum())
    }

    /// What may be used of a destination of which `right` is this dispatcher's. What ends within `margin` is left already:
    /// whoever comes back here before then never uses what has ended.
    pub fn share(&self, now: Nanos, dest: DestId, right: u32, margin: Nanos) -> Share {
        let after = right.saturating_sub(self.lent(now, dest, right));
        let live = || {
            let all = self.books.get(&dest).into_iter().flat_map(|book| &book.borrowed);
            all.filter(|b| b.until > now.saturating_add(margin) || self.planted.has(Fault::ForgetEnds))
        };
        let borrowed = live().map(|b| b.part).fold(0, u32::saturating_add);
        let until = live().map(|b| b.until).min().unwrap_or(Nanos::MAX);
        if self.planted.has(Fault::ForgetEnds) {
            let part = after.saturating_add(borrowed);
            return Share { part, until: Nanos::MAX, after: part };
        }
        Share { part: after.saturating_add(borrowed), until, after }
    }

    /// What could be lent of a destination now, with `used` in use here.
    pub fn spare(&self, now: Nanos, dest: DestId, right: u32, used: u32) -> u32 {
        if now < self.unsure_until {
            return 0;
        }
        let lent = self.lent(now, dest, right);
        let spare = (right / 2).saturating_sub(lent).min(right.saturating_sub(lent).saturating_sub(used));
        if spare < right / LEAST { 0 } else { spare }
    }

    /// An asking goes out now: its number.
    pub fn new_request(&mut self, now: Nanos, dest: DestId, terms: &TierConfig) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1).max(1);
        let (seq, asked) = (self.next_seq, &mut self.books.entry(dest).or_default().asked);
        asked.retain(|a| a.at.saturating_add(terms.term()) > now);
        if asked.len() == ASKED {
            asked.remove(0);
        }
        asked.push(Asked { seq, at: now, granted: Vec::new() });
        seq
    }

    /// Somebody asks. What it is lent, from now on: the caller does without it before the word leaves.
    #[allow(clippy::too_many_arguments, reason = "all that a lending hangs on")]
    pub fn handle_request(
        &mut self,
        now: Nanos,
        from: (Peer, Incarnation),
        dest: DestId,
        seq: u32,
        wanted: u32,
        right: u32,
        used: u32,
        terms: &TierConfig,
    ) -> Option<u32> {
        let spare = self.spare(now, dest, right, used);
        let last = self.heard.get_mut(usize::from(from.0))?;
        // What came before, or twice, or in an earlier life, is granted no more.
        if (from.1, seq) <= *last {
            return None;
        }
        *last = (from.1, seq);
        let part = wanted.min(spare);
        let lent = &mut self.books.entry(dest).or_default().lent;
        lent.retain(|l| l.until > now);
        if part < right / LEAST || part == 0 || lent.len() >= LENT {
            return None;
        }
        let hold = if self.planted.has(Fault::NoMargin) { terms.term() } else { terms.hold() };
        lent.push(Lent { part, until: now.saturating_add(hold) });
        Some(part)
    }

    /// Somebody lends. Whether that is taken.
    pub fn handle_grant(
        &mut self,
        now: Nanos,
        from: Peer,
        dest: DestId,
        seq: u32,
        part: u32,
        terms: &TierConfig,
    ) -> bool {
        let Some(book) = self.books.get_mut(&dest) else { return false };
        let Some(asked) = book.asked.iter_mut().find(|a| a.seq == seq) else { return false };
        let until = asked.at.saturating_add(terms.term());
        let again = asked.granted.contains(&from) && !self.planted.has(Fault::LendTwice);
        if until <= now || again || part > WHOLE {
            return false;
        }
        asked.granted.push(from);
        book.borrowed.push(Borrowed { part, until });
        true
    }

    /// An asking that nobody has answered yet, and that is younger than this.
    pub fn has_recent_request(&self, now: Nanos, dest: DestId, within: Nanos) -> bool {
        let book = self.books.get(&dest);
        book.is_some_and(|b| b.asked.iter().any(|a| now.saturating_sub(a.at) < within))
    }

    /// Gives back all that is borrowed; what was asked for is not taken any more.
    pub fn return_all(&mut self) {
        for book in self.books.values_mut() {
            book.borrowed.clear();
            book.asked.clear();
        }
    }

    /// Forgets what is over, and destinations that are not listed. What was lent of one keeps its book.
    pub fn retain(&mut self, now: Nanos, listed: impl Fn(DestId) -> bool) {
        let ends = self.planted.has(Fault::ForgetEnds);
        self.books.retain(|dest, book| {
            book.lent.retain(|l| l.until > now);
            book.borrowed.retain(|b| b.until > now || ends);
            listed(*dest) || !book.lent.is_empty()
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;
    const DEST: DestId = 3;

    /// A pair that is past the time in which it does not know what it lent.
    fn pair() -> (Loans, Loans, TierConfig, u32, Nanos) {
        let terms = TierConfig::default();
        let loans = || Loans::new(0, 4, &terms, 7);
        (loans(), loans(), terms.clone(), even_share(4), terms.hold())
    }

    #[test]
    fn a_loan_ends_at_the_borrower_before_the_lender_uses_it_again() {
        let (mut lender, mut borrower, terms, right, now) = pair();
        let seq = borrower.new_request(now, DEST, &terms);
        let part =
            lender.handle_request(now + 20 * MS, (1, 1), DEST, seq, right, right, 0, &terms).expect("lent");
        assert_eq!(part, right / 2, "half at most");
        assert!(borrower.handle_grant(now + 40 * MS, 0, DEST, seq, part, &terms));
        let share = |loans: &Loans, at| loans.share(at, DEST, right, 0);
        let sum = |at| share(&lender, at).part + share(&borrower, at).part;
        assert_eq!(share(&borrower, now + 50 * MS).part, right + part);
        let until = share(&borrower, now + 50 * MS).until;
        assert_eq!((until, share(&borrower, until).part), (now + terms.term(), right));
        assert_eq!(borrower.share(until - MS, DEST, right, MS).part, right, "left in time");
        for at in (now + 40 * MS..now + 3 * terms.hold()).step_by(10 * MS as usize) {
            assert!(sum(at) <= 2 * right, "{at}");
        }
        assert_eq!(sum(now + 20 * MS + terms.hold()), 2 * right, "all of it is in use again");
    }

    #[test]
    fn repeated_late_and_foreign_words_lend_nothing_more() {
        let (mut lender, mut borrower, terms, right, now) = pair();
        let seq = borrower.new_request(now, DEST, &terms);
        let small = right / 8;
        let mut ask =
            |at, life, seq| lender.handle_request(at, (1, life), DEST, seq, small, right, 0, &terms);
        assert_eq!(ask(now, 1, seq), Some(small));
        assert_eq!(ask(now + 1, 1, seq), None, "the same once more");
        assert_eq!(ask(now + 2, 2, 1), Some(small), "a new life counts anew");
        assert_eq!(ask(now + 3, 1, seq + 9), None, "the life before it");
        assert!(borrower.handle_grant(now, 0, DEST, seq, small, &terms));
        assert!(!borrower.handle_grant(now, 0, DEST, seq, small, &terms), "the same once more");
        assert!(!borrower.handle_grant(now, 0, DEST, seq + 1, small, &terms), "never asked");
        assert!(!borrower.handle_grant(now + terms.term(), 2, DEST, seq, small, &terms), "too late");
        assert_eq!(borrower.share(now, DEST, right, 0).part, right + small);
    }

    #[test]
    fn who_was_started_anew_does_without_what_it_may_have_lent() {
        let terms = TierConfig::default();
        let (right, began) = (even_share(4), 50 * MS);
        let mut anew = Loans::new(began, 4, &terms, 7);
        assert_eq!(anew.share(began, DEST, right, 0).part, right - right / 2);
        assert_eq!(anew.handle_request(began, (1, 1), DEST, 1, right, right, 0, &terms), None);
        assert_eq!(anew.share(began + terms.hold(), DEST, right, 0).part, right);
    }

    #[test]
    fn one_lends_no_more_than_half_and_nothing_that_is_in_use() {
        let (mut lender, _, terms, right, now) = pair();
        assert_eq!(
            lender.handle_request(now, (1, 1), DEST, 1, right, right, right * 3 / 4, &terms),
            Some(right / 4)
        );
        assert_eq!(lender.handle_request(now, (2, 1), DEST, 1, right, right, right * 3 / 4, &terms), None);
        assert_eq!(lender.handle_request(now, (2, 1), DEST, 2, right, right, 0, &terms), Some(right / 4));
        assert_eq!(lender.handle_request(now, (3, 1), DEST, 1, right, right, 0, &terms), None);
        lender.retain(now + terms.hold(), |_| false);
        assert!(lender.books.is_empty());
    }
}
