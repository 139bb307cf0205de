//! The course of one call of an operator: whom to ask next, where, and after what pause. No I/O, no clock.
//!
//! Invariant: a call ends only on an answer that is clear; after any other it goes on, to another address.

use std::net::SocketAddr;
use std::time::Duration;

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Redirects that are followed in a row.
const HOPS: u32 = 2;
/// Other refusals than those that are final, until one is.
const ODD: u32 = 3;

/// What an attempt came to.
#[derive(Clone, Copy, Debug)]
pub enum Seen<'a> {
    /// An answer, whole.
    Answer {
        /// Its status.
        status: u16,
        /// Its `Location`, if there is one that is text.
        location: Option<&'a str>,
    },
    /// None: no connection, a broken one, or silence.
    Nothing,
}

/// What comes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// The answer is clear: taken, or refused for good.
    Clear,
    /// Ask there, after a pause.
    Ask {
        /// Whom.
        to: SocketAddr,
        /// For what.
        path: String,
        /// How long later.
        after: Duration,
    },
}

/// One call.
#[derive(Debug)]
pub struct Course {
    controls: Vec<SocketAddr>,
    path: String,
    turn: usize,
    at: SocketAddr,
    hops: u32,
    odd: u32,
    pause: Duration,
}

impl Course {
    /// A call of `path` to the first of these; none where there is none.
    pub fn new(controls: Vec<SocketAddr>, path: &str) -> Option<Self> {
        let at = *controls.first()?;
        Some(Course { controls, path: path.to_owned(), turn: 0, at, hops: 0, odd: 0, pause: FIRST_PAUSE })
    }

    /// Whom to ask first.
    pub fn first(&self) -> (SocketAddr, String) {
        (self.at, self.path.clone())
    }

    /// What to do after an attempt.
    pub fn next(&mut self, seen: Seen) -> Next {
        let Seen::Answer { status, location } = seen else { return self.move_on() };
        match status {
            200..=299 | 400 | 409 | 412 | 413 | 422 => Next::Clear,
            307 if self.hops < HOPS => match location.and_then(|to| place(self.at, to)) {
                Some((to, path)) => {
                    self.hops += 1;
                    self.at = to;
                    Next::Ask { to, path, after: Duration::ZERO }
                }
                None => self.move_on(),
            },
            408 | 429 => self.move_on(),
            400..=499 => {
                self.odd += 1;
                if self.odd >= ODD { Next::Clear } else { self.move_on() }
            }
            _ => self.move_on(),
        }
    }

    fn move_on(&mut self) -> Next {
        let after = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        self.turn += 1;
        self.at = self.controls[self.turn % self.controls.len()];
        self.hops = 0;
        Next::Ask { to: self.at, path: self.path.clone(), after }
    }
}

/// Where a `Location` leads that was told at `at`. Names are not looked up.
fn place(at: SocketAddr, location: &str) -> Option<(SocketAddr, String)> {
    if location.starts_with('/') && !location.starts_with("//") {
        return Some((at, location.to_owned()));
    }
    let rest = location.strip_prefix("http://")?;
    let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
    let to = host.parse().or_else(|_| host.parse().map(|ip| SocketAddr::new(ip, 80))).ok()?;
    Some((to, format!("/{path}")))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn controls() -> Vec<SocketAddr> {
        ["10.0.0.1:80", "10.0.0.2:80"].map(|a| a.parse().expect("an address")).into()
    }

    fn answer(status: u16) -> Seen<'static> {
        Seen::Answer { status, location: None }
    }

    #[yare::parameterized(
        taken = { 200, Some(0) },
        invalid = { 400, Some(0) },
        conflict = { 409, Some(0) },
        too_large = { 413, Some(0) },
        odd = { 404, Some(2) },
        odd_too = { 405, Some(2) },
        late = { 408, None },
        many = { 429, None },
        broken = { 500, None },
        no_majority = { 503, None },
        astray = { 302, None },
    )]
    fn which_answers_are_clear_and_after_how_many_others(status: u16, clear_after: Option<usize>) {
        let mut course = Course::new(controls(), "/x").expect("addresses");
        let clear = (0..9).position(|_| course.next(answer(status)) == Next::Clear);
        assert_eq!(clear, clear_after);
    }

    #[test]
    fn it_moves_on_with_growing_pauses_and_follows_two_redirects_at_once() {
        let mut course = Course::new(controls(), "/x").expect("addresses");
        let mut ask = |seen| match course.next(seen) {
            Next::Ask { to, path, after } => (to.to_string(), path, after.as_millis()),
            Next::Clear => panic!("not clear"),
        };
        let to = |location| Seen::Answer { status: 307, location: Some(location) };
        assert_eq!(ask(Seen::Nothing), ("10.0.0.2:80".to_owned(), "/x".to_owned(), 100));
        assert_eq!(ask(answer(503)), ("10.0.0.1:80".to_owned(), "/x".to_owned(), 200));
        assert_eq!(ask(to("http://10.0.0.9:81/y?z")), ("10.0.0.9:81".to_owned(), "/y?z".to_owned(), 0));
        assert_eq!(ask(to("/w")), ("10.0.0.9:81".to_owned(), "/w".to_owned(), 0));
        // A third in a row, and one that names no address, are failures.
        assert_eq!(ask(to("/v")), ("10.0.0.2:80".to_owned(), "/x".to_owned(), 400));
        assert_eq!(ask(to("http://control.example/x")).2, 800);
        assert_eq!(ask(to("//10.0.0.9/x")).2, 1_600);
        assert_eq!((ask(Seen::Nothing).2, ask(Seen::Nothing).2), (2_000, 2_000));
    }
}
