//! Whether a play decides what the recording says was decided: digests of outputs, compared as far as the recording tells them.

use std::collections::VecDeque;

use millpost_protocol::frame::Digest;

/// Outputs without a word of the recording on them: one that tells nothing is not waited for longer.
const MOST: usize = 200_000;

/// From here on a life's play decides otherwise than was recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unlike {
    /// The process, as the recording names it.
    pub of: String,
    /// The life or term.
    pub life: usize,
    /// What differs has come after the first of these lines at the earliest, and after the second at the latest.
    pub lines: (usize, usize),
    /// The time of the first of them.
    pub at: u64,
    /// What differs.
    pub what: String,
}

/// The outputs of a machine's play.
#[derive(Debug, Default)]
pub struct Decided {
    digest: Digest,
    /// Those that the recording has not told of yet: their count, their digest, the line that they came after, and its time.
    ahead: VecDeque<(u64, u32, usize, u64)>,
    /// Nothing more is compared.
    over: bool,
    /// Outputs that the recording has told of, and that are the same.
    pub same: u64,
}

impl Decided {
    /// What the next line says was decided before it. The lines between which a difference must have come, and its time.
    pub fn told(&mut self, decided: Option<(u64, u32)>, line: usize) -> Option<((usize, usize), u64)> {
        let (count, sum) = decided.filter(|_| !self.over)?;
        let mut first = None;
        while let Some((at, is, after, time)) = self.ahead.front().copied().filter(|a| a.0 <= count) {
            self.ahead.pop_front();
            first.get_or_insert((after, time));
            if at == count && is == sum {
                self.same = count;
                return None;
            }
        }
        if self.same == count {
            return None;
        }
        self.over = true;
        self.ahead.clear();
        let (from, at) = first.unwrap_or((line, 0));
        Some(((from, line.saturating_sub(1).max(from)), at))
    }

    /// One more output, after this line.
    pub fn fold(
        &mut self,
        line: usize,
        at: u64,
        parts: impl FnOnce(&mut millpost_protocol::frame::Fold<'_>),
    ) {
        if self.over {
            return;
        }
        self.digest.fold(parts);
        let (count, sum) = self.digest.state();
        self.ahead.push_back((count, sum, line, at));
        if self.ahead.len() > MOST {
            self.over = true;
            self.ahead.clear();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folded(texts: &[&str]) -> (Decided, Vec<(u64, u32)>) {
        let (mut decided, mut digest) = (Decided::default(), Digest::default());
        let mut states = Vec::new();
        for (n, text) in texts.iter().enumerate() {
            decided.fold(n + 1, 0, |parts| {
                parts.text(text);
            });
            digest.fold(|parts| {
                parts.text(text);
            });
            states.push(digest.state());
        }
        (decided, states)
    }

    #[test]
    fn what_was_taken_later_than_it_is_played_is_the_same() {
        let (mut decided, states) = folded(&["a", "b", "c", "d"]);
        assert_eq!(decided.told(None, 2), None);
        assert_eq!((decided.told(Some(states[1]), 4), decided.same), (None, 2));
        assert_eq!((decided.told(Some(states[3]), 6), decided.same), (None, 4));
    }

    #[test]
    fn the_first_difference_is_told_once_with_its_lines() {
        let (mut decided, _) = folded(&["a", "b", "x", "d"]);
        let (_, states) = folded(&["a", "b", "c", "d"]);
        assert_eq!(decided.told(Some(states[1]), 3), None);
        assert_eq!(decided.told(Some(states[3]), 9), Some(((3, 8), 0)));
        assert_eq!(decided.told(Some(states[3]), 10), None);
        // More than was played.
        let (mut fewer, _) = folded(&["a"]);
        assert_eq!(fewer.told(Some(states[1]), 7), Some(((1, 6), 0)));
        let (mut none, _) = folded(&[]);
        assert_eq!(none.told(Some(states[0]), 7), Some(((7, 7), 0)));
    }
}
