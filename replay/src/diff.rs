//! The first difference between the outputs of two plays, saved or played here.

use std::collections::VecDeque;
use std::io::BufRead;
use std::path::Path;

use crate::errors::Error;
use crate::lines::{Lines, Which};
use crate::outs;
use crate::play::{Event, play};

/// Outputs before the difference that are told.
const BEFORE: usize = 3;

/// What two plays differ in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Outputs that both have, one after the other, from the beginning.
    pub same: usize,
    /// The last of those.
    pub before: Vec<String>,
    /// The first output that differs; none where one has ended.
    pub one: Option<String>,
    /// And in the other.
    pub other: Option<String>,
    /// The input after which the first of them came, where a recording is at hand.
    pub input: Option<String>,
}

/// An output without the line of the recording that it came after: a cut has others.
fn plain(out: &str) -> String {
    let Some((head, tail)) = out.split_once(r#","line":"#) else { return out.to_owned() };
    // `line` stands before all that an output says.
    format!("{head}{}", tail.trim_start_matches(|c: char| c.is_ascii_digit()))
}

/// The outputs that a file holds, or that its recording gives in a play.
pub fn outputs(path: &Path, which: &Which, mut tell: impl FnMut(String)) -> Result<(), Error> {
    let file = |source| Error::File { path: path.to_owned(), source };
    let open = || std::fs::File::open(path).map(std::io::BufReader::new).map_err(file);
    let mut saved = false;
    let mut from = open()?;
    let mut line = Vec::new();
    while from.read_until(b'\n', &mut line).map_err(file)? > 0 {
        if line.starts_with(outs::MARK.as_bytes()) {
            saved = true;
            tell(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        line.clear();
    }
    if saved {
        return Ok(());
    }
    let (mut lines, mut of) = (Lines::new(open()?, which.clone()), 0);
    play(&mut lines, None, |event| {
        match event {
            Event::Begins { life, .. } => of = life,
            Event::Coordinator(step) => {
                for out in step.outs {
                    tell(outs::desk(step.at, step.line, of, out, step.numbers));
                }
            }
            Event::Scaler(turn) => {
                turn.outs.iter().for_each(|out| tell(outs::scaler(turn.at, turn.line, of, out)));
            }
            Event::Round(pass) => {
                pass.outs.iter().for_each(|out| tell(outs::round(pass.at, pass.line, of, out)));
            }
        }
        Ok(())
    })?;
    Ok(())
}

/// The input that an output came after, out of a recording; none out of saved outputs.
fn input(path: &Path, out: &str) -> Option<String> {
    let line = out.split_once(r#","line":"#)?.1.split(',').next()?.parse::<usize>().ok()?;
    let file = std::fs::File::open(path).map(std::io::BufReader::new).ok()?;
    let text = file.lines().nth(line.checked_sub(1)?)?.ok()?;
    (text.contains(millpost_protocol::line::LINE_PREFIX) && !text.starts_with(outs::MARK)).then_some(text)
}

/// The first difference, or how many outputs both have.
pub fn diff(one: &Path, other: &Path, which: &Which) -> Result<Result<usize, Difference>, Error> {
    let mut first = VecDeque::new();
    outputs(one, which, |out| first.push_back(out))?;
    let (mut same, mut before, mut found) = (0, VecDeque::new(), None);
    outputs(other, which, |out| {
        if found.is_some() {
            return;
        }
        match first.pop_front() {
            Some(expected) if expected == out || plain(&expected) == plain(&out) => {
                same += 1;
                if before.len() == BEFORE {
                    before.pop_front();
                }
                before.push_back(out);
            }
            expected => found = Some((expected, Some(out))),
        }
    })?;
    if found.is_none()
        && let Some(left) = first.pop_front()
    {
        found = Some((Some(left), None));
    }
    let before = before.into();
    Ok(match found {
        Some((first, second)) => {
            let input = [(one, &first), (other, &second)]
                .into_iter()
                .find_map(|(path, out)| input(path, out.as_deref()?));
            Err(Difference { same, before, one: first, other: second, input })
        }
        None => Ok(same),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_line_of_the_recording_is_no_difference() {
        let out = |line| format!(r#"{{"out":"granted","life":1,"at":7,"line":{line},"id":12}}"#);
        assert_eq!(plain(&out(5)), plain(&out(61)));
        assert_eq!(plain(&out(5)), r#"{"out":"granted","life":1,"at":7,"id":12}"#);
    }
}
