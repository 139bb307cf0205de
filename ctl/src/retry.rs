//! The retry policy of a call to control: which address to call next, and after what pause. No I/O, no clock.
//!
//! Invariant: a call ends only on a definite answer; after any other result it continues with another
//! address.

use std::net::SocketAddr;
use std::time::Duration;

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Limit on redirects that are followed in a row.
const MAX_REDIRECTS: u32 = 2;
/// Number of unexpected 4xx answers after which one counts as final.
const MAX_UNEXPECTED: u32 = 3;

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub enum Attempt<'a> {
    /// A complete answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The `Location` header, if it is valid text.
        location: Option<&'a str>,
    },
    /// No answer: the connection failed or broke, or the attempt timed out.
    NoAnswer,
}

/// What to do after an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// The answer is definite: accepted, or refused for good.
    Done,
    /// Call this address after a pause.
    Call {
        /// The address.
        to: SocketAddr,
        /// The path.
        path: String,
        /// The pause.
        after: Duration,
    },
}

/// The retry state of one call.
#[derive(Debug)]
pub struct RetryPolicy {
    controls: Vec<SocketAddr>,
    path: String,
    next_control: usize,
    at: SocketAddr,
    redirects: u32,
    unexpected: u32,
    pause: Duration,
}

impl RetryPolicy {
    /// Starts a call of `path` with the first of these addresses; `None` if there is none.
    pub fn new(controls: Vec<SocketAddr>, path: &str) -> Option<Self> {
        let at = *controls.first()?;
        Some(RetryPolicy {
            controls,
            path: path.to_owned(),
            next_control: 0,
            at,
            redirects: 0,
            unexpected: 0,
            pause: FIRST_PAUSE,
        })
    }

    /// The first address and path to call.
    pub fn first(&self) -> (SocketAddr, String) {
        (self.at, self.path.clone())
    }

    /// Decides what to do after an attempt.
    pub fn next(&mut self, attempt: Attempt) -> Next {
        let Attempt::Answer { status, location } = attempt else { return self.next_address() };
        match status {
            200..=299 | 400 | 409 | 412 | 413 | 422 => Next::Done,
            307 if self.redirects < MAX_REDIRECTS => {
                match location.and_then(|to| redirect_target(self.at, to)) {
                    Some((to, path)) => {
                        self.redirects += 1;
                        self.at = to;
                        Next::Call { to, path, after: Duration::ZERO }
                    }
                    None => self.next_address(),
                }
            }
            408 | 429 => self.next_address(),
            400..=499 => {
                self.unexpected += 1;
                if self.unexpected >= MAX_UNEXPECTED { Next::Done } else { self.next_address() }
            }
            _ => self.next_address(),
        }
    }

    fn next_address(&mut self) -> Next {
        let after = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        self.next_control += 1;
        self.at = self.controls[self.next_control % self.controls.len()];
        self.redirects = 0;
        Next::Call { to: self.at, path: self.path.clone(), after }
    }
}

/// The address and path of a `Location` header received from `at`; `None` for host names, which are not
/// resolved.
fn redirect_target(at: SocketAddr, location: &str) -> Option<(SocketAddr, String)> {
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

    fn answer(status: u16) -> Attempt<'static> {
        Attempt::Answer { status, location: None }
    }

    #[yare::parameterized(
        accepted = { 200, Some(0) },
        invalid = { 400, Some(0) },
        conflict = { 409, Some(0) },
        too_large = { 413, Some(0) },
        unexpected = { 404, Some(2) },
        also_unexpected = { 405, Some(2) },
        time_out = { 408, None },
        too_many = { 429, None },
        server_error = { 500, None },
        no_majority = { 503, None },
        other_redirect = { 302, None },
    )]
    fn which_answers_are_definite_and_after_how_many_attempts(status: u16, done_after: Option<usize>) {
        let mut policy = RetryPolicy::new(controls(), "/x").expect("addresses");
        let done = (0..9).position(|_| policy.next(answer(status)) == Next::Done);
        assert_eq!(done, done_after);
    }

    #[test]
    fn pauses_grow_and_two_redirects_are_followed_without_a_pause() {
        let mut policy = RetryPolicy::new(controls(), "/x").expect("addresses");
        let mut call = |attempt| match policy.next(attempt) {
            Next::Call { to, path, after } => (to.to_string(), path, after.as_millis()),
            Next::Done => panic!("a definite answer"),
        };
        let to = |location| Attempt::Answer { status: 307, location: Some(location) };
        assert_eq!(call(Attempt::NoAnswer), ("10.0.0.2:80".to_owned(), "/x".to_owned(), 100));
        assert_eq!(call(answer(503)), ("10.0.0.1:80".to_owned(), "/x".to_owned(), 200));
        assert_eq!(call(to("http://10.0.0.9:81/y?z")), ("10.0.0.9:81".to_owned(), "/y?z".to_owned(), 0));
        assert_eq!(call(to("/w")), ("10.0.0.9:81".to_owned(), "/w".to_owned(), 0));
        // A third redirect in a row, and one without an IP address, count as failures.
        assert_eq!(call(to("/v")), ("10.0.0.2:80".to_owned(), "/x".to_owned(), 400));
        assert_eq!(call(to("http://control.example/x")).2, 800);
        assert_eq!(call(to("//10.0.0.9/x")).2, 1_600);
        assert_eq!((call(Attempt::NoAnswer).2, call(Attempt::NoAnswer).2), (2_000, 2_000));
    }
}
