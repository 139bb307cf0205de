//! Shares of a destination's limit: each dispatcher owns an even share, and unused shares are lent for a
//! term.
//!
//! Invariant: at any time the shares used by all dispatchers sum to at most [`WHOLE`], with any loss, delay,
//! repetition or reordering of datagrams and any restarts, pauses and partitions, as long as clock rates
//! differ by no more than configured and all dispatchers use the same fleet size. It relies on four rules:
//!
//! - A lender stops using a lent share before it sends the grant, for [`TierConfig::hold`] on its own clock.
//! - A borrower uses it for [`TierConfig::term`] from its *request*, which was earlier, on its own clock.
//! - Each lender grants a request once, and a grant is accepted once by the borrower, in the incarnation of
//!   the request.
//! - At most half of an even share is ever lent. A restarted dispatcher, which does not know what it lent
//!   before, does not use that half for one hold.
//!
//! Shares are fractions, so dispatchers need not agree on the limit. If they know different limits, the sum
//! is at most the largest of these.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::config::TierConfig;
use crate::planted::{Fault, Planted};
use crate::{DestId, Incarnation, Nanos, Peer};

/// The whole limit of a destination, in the unit of shares.
pub const WHOLE: u32 = 1 << 24;
/// Maximum number of requests per destination that can still be granted.
const ASKED: usize = 16;
/// Maximum number of concurrent loans per destination.
const LENT: usize = 64;
/// Shares smaller than an even share divided by this are not lent.
const LEAST: u32 = 32;

/// Returns the even share among `of` dispatchers.
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
    /// Peers that have granted the request.
    granted: Vec<Peer>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Book {
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    asked: Vec<Asked>,
}

/// Loans of one dispatcher. [`Loans::retain`] drops destinations.
#[derive(Clone, Debug, Serialize)]
pub struct Loans {
    books: BTreeMap<DestId, Book>,
    /// Until this time, loans of the previous incarnation may be in use.
    unsure_until: Nanos,
    next_seq: u32,
    /// The last request of each peer, with its incarnation.
    heard: Vec<(Incarnation, u32)>,
    #[serde(skip)]
    pub(crate) planted: Planted,
}

/// What a dispatcher may use of a destination's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Usable share now.
    pub part: u32,
    /// When the first borrowed share ends.
    pub until: Nanos,
    /// Usable share after that, without any borrowed ones.
    pub after: u32,
}

impl Loans {
    /// Creates the state after a start; loans of the previous incarnation are unknown. Requests are numbered
    /// from the random number `drawn`, so that grants for another incarnation are not accepted.
    pub fn new(now: Nanos, of: u16, terms: &TierConfig, drawn: u32) -> Self {
        Loans {
            books: BTreeMap::new(),
            unsure_until: now.saturating_add(terms.hold()),
            next_seq: drawn / 2,
            heard: vec![(0, 0); usize::from(of)],
            planted: Planted::default(),
        }
    }

    /// The same with a planted fault.
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

    /// Returns the total shares lent and borrowed, over all destinations.
    pub fn totals(&self, now: Nanos) -> (u64, u64) {
        let lent = self.books.values().flat_map(|book| &book.lent).filter(|l| l.until > now);
        let borrowed = self.books.values().flat_map(|book| &book.borrowed).filter(|b| b.until > now);
        (lent.map(|l| u64::from(l.part)).sum(), borrowed.map(|b| u64::from(b.part)).sum())
    }

    /// Returns what may be used of a destination, of which this dispatcher owns `right`. Borrowed shares that
    /// end within `margin` are excluded, so that a caller that returns within it never uses an ended one.
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

    /// Returns what could be lent of a destination now, if `used` is in use.
    pub fn spare(&self, now: Nanos, dest: DestId, right: u32, used: u32) -> u32 {
        if now < self.unsure_until {
            return 0;
        }
        let lent = self.lent(now, dest, right);
        let spare = (right / 2).saturating_sub(lent).min(right.saturating_sub(lent).saturating_sub(used));
        if spare < right / LEAST { 0 } else { spare }
    }

    /// Registers a new request and returns its sequence number.
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

    /// Handles a request of a peer and returns the share lent, if any. The caller must stop using it before
    /// the grant is sent.
    #[allow(clippy::too_many_arguments, reason = "all inputs of a lending decision")]
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
        // Old, repeated requests and those of an earlier incarnation are not granted.
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

    /// Handles a grant. Returns whether it is accepted.
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

    /// Returns whether there is a request younger than `within`, whether or not a peer has granted it.
    pub fn has_recent_request(&self, now: Nanos, dest: DestId, within: Nanos) -> bool {
        let book = self.books.get(&dest);
        book.is_some_and(|b| b.asked.iter().any(|a| now.saturating_sub(a.at) < within))
    }

    /// Returns all borrowed shares; pending requests are cancelled.
    pub fn return_all(&mut self) {
        for book in self.books.values_mut() {
            book.borrowed.clear();
            book.asked.clear();
        }
    }

    /// Drops ended loans, and destinations that are not listed unless a share of them is lent.
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

    /// A lender and a borrower for which loans of earlier incarnations have ended.
    fn pair() -> (Loans, Loans, TierConfig, u32, Nanos) {
        let terms = TierConfig::default();
        let loans = || Loans::new(0, 4, &terms, 7);
        (loans(), loans(), terms.clone(), even_share(4), terms.hold())
    }

    #[test]
    fn loan_ends_at_the_borrower_before_the_lender_reuses_it() {
        let (mut lender, mut borrower, terms, right, now) = pair();
        let seq = borrower.new_request(now, DEST, &terms);
        let part =
            lender.handle_request(now + 20 * MS, (1, 1), DEST, seq, right, right, 0, &terms).expect("lent");
        assert_eq!(part, right / 2, "at most half");
        assert!(borrower.handle_grant(now + 40 * MS, 0, DEST, seq, part, &terms));
        let share = |loans: &Loans, at| loans.share(at, DEST, right, 0);
        let sum = |at| share(&lender, at).part + share(&borrower, at).part;
        assert_eq!(share(&borrower, now + 50 * MS).part, right + part);
        let until = share(&borrower, now + 50 * MS).until;
        assert_eq!((until, share(&borrower, until).part), (now + terms.term(), right));
        assert_eq!(borrower.share(until - MS, DEST, right, MS).part, right, "excluded within the margin");
        for at in (now + 40 * MS..now + 3 * terms.hold()).step_by(10 * MS as usize) {
            assert!(sum(at) <= 2 * right, "{at}");
        }
        assert_eq!(sum(now + 20 * MS + terms.hold()), 2 * right, "all shares are in use again");
    }

    #[test]
    fn repeated_late_and_foreign_datagrams_create_no_loan() {
        let (mut lender, mut borrower, terms, right, now) = pair();
        let seq = borrower.new_request(now, DEST, &terms);
        let small = right / 8;
        let mut ask =
            |at, life, seq| lender.handle_request(at, (1, life), DEST, seq, small, right, 0, &terms);
        assert_eq!(ask(now, 1, seq), Some(small));
        assert_eq!(ask(now + 1, 1, seq), None, "repeated");
        assert_eq!(ask(now + 2, 2, 1), Some(small), "a new incarnation restarts the numbering");
        assert_eq!(ask(now + 3, 1, seq + 9), None, "from the previous incarnation");
        assert!(borrower.handle_grant(now, 0, DEST, seq, small, &terms));
        assert!(!borrower.handle_grant(now, 0, DEST, seq, small, &terms), "repeated");
        assert!(!borrower.handle_grant(now, 0, DEST, seq + 1, small, &terms), "never requested");
        assert!(!borrower.handle_grant(now + terms.term(), 2, DEST, seq, small, &terms), "too late");
        assert_eq!(borrower.share(now, DEST, right, 0).part, right + small);
    }

    #[test]
    fn restarted_lender_does_not_use_possible_loans() {
        let terms = TierConfig::default();
        let (right, began) = (even_share(4), 50 * MS);
        let mut anew = Loans::new(began, 4, &terms, 7);
        assert_eq!(anew.share(began, DEST, right, 0).part, right - right / 2);
        assert_eq!(anew.handle_request(began, (1, 1), DEST, 1, right, right, 0, &terms), None);
        assert_eq!(anew.share(began + terms.hold(), DEST, right, 0).part, right);
    }

    #[test]
    fn lender_lends_at_most_half_and_nothing_in_use() {
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
