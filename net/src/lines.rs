//! Lines for the standard output, from a thread of their own: whoever tells one never waits for whoever reads.
//!
//! Lines for which there is no room are left out, and so is all that comes after a bound for the whole; lines of their own tell how many.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes that may wait to be written.
const MOST: usize = 8 << 20;
/// How often what has come is written.
const EVERY: Duration = Duration::from_millis(50);
/// At the end, what waits gets this long.
const LAST: Duration = Duration::from_millis(500);

/// What is written in all.
#[derive(Clone, Copy, Debug)]
pub struct OutputLimit {
    /// Bytes, at most; lines about what is left out come on top.
    pub bytes: u64,
    /// The line that says that so many more are left out, without its end: for this bound, or because nobody reads in time.
    pub omitted_line: fn(bool, u64) -> String,
}

#[derive(Default)]
struct Waiting {
    text: Vec<u8>,
    /// Lines that nobody read in time, since the last word on them.
    unread: u64,
    /// Bytes that may still come.
    room: u64,
    /// There is no room any more; lines since the last word on it, and in all.
    beyond: Option<(u64, u64)>,
    /// Nothing more is taken.
    over: bool,
}

impl Waiting {
    /// What is to be said of lines beyond the bound: at first, whenever their number has doubled, and at the end.
    fn said(&mut self) -> u64 {
        let over = self.over;
        match &mut self.beyond {
            Some((since, all)) if *since > 0 && (over || *since * 2 >= *all) => std::mem::take(since),
            _ => 0,
        }
    }
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    ending: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The lines of this process. What waits when it is dropped is still written, if that goes at once.
pub struct Lines {
    shared: Arc<Shared>,
    written: Receiver<()>,
}

impl Lines {
    /// Lines for the standard output.
    pub fn start(bound: OutputLimit) -> std::io::Result<Self> {
        Self::to(std::io::stdout(), bound)
    }

    /// Lines for the end of a file, which may hold as much as the bound allows in all.
    pub fn append(path: &Path, bound: OutputLimit) -> std::io::Result<Self> {
        let mut file = File::options().create(true).append(true).open(path)?;
        let length = file.metadata().map_or(0, |of| of.len());
        if length >= bound.bytes {
            log::warn!("{}: nothing is recorded, the bound is reached", path.display());
            return Self::to(std::io::sink(), OutputLimit { bytes: 0, ..bound });
        }
        if length > 0 {
            // The last line may have been cut off, when whoever wrote it was killed.
            file.write_all(b"\n")?;
        }
        Self::to(file, OutputLimit { bytes: bound.bytes.saturating_sub(length), ..bound })
    }

    /// Lines for something else.
    pub fn to(mut out: impl Write + Send + 'static, bound: OutputLimit) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.lock().room = bound.bytes;
        let (done, written) = channel();
        let of = Arc::clone(&shared);
        thread::Builder::new().name("lines".to_owned()).spawn(move || {
            if let Err(e) = write(&of, &mut out, bound.omitted_line) {
                log::error!("no further lines: {e}");
                *of.lock() = Waiting { over: true, ..Waiting::default() };
            }
            let _ = done.send(());
        })?;
        Ok(Lines { shared, written })
    }

    /// Takes lines, without their ends.
    pub fn sink(&self) -> Box<dyn FnMut(&str)> {
        let shared = Arc::clone(&self.shared);
        Box::new(move |line| {
            let mut waiting = shared.lock();
            if waiting.over {
                return;
            }
            let length = line.len() as u64 + 1;
            if let Some((since, all)) = &mut waiting.beyond {
                (*since, *all) = (*since + 1, *all + 1);
            } else if length > waiting.room {
                waiting.beyond = Some((1, 1));
            }
            if waiting.beyond.is_some() {
                return;
            }
            if waiting.text.len() + line.len() >= MOST {
                waiting.unread += 1;
                return;
            }
            waiting.room -= length;
            waiting.text.extend_from_slice(line.as_bytes());
            waiting.text.push(b'\n');
        })
    }
}

fn write(shared: &Shared, out: &mut impl Write, told: fn(bool, u64) -> String) -> std::io::Result<()> {
    let mut text = Vec::new();
    loop {
        let mut waiting = shared.lock();
        if !waiting.over {
            waiting = shared.ending.wait_timeout(waiting, EVERY).unwrap_or_else(PoisonError::into_inner).0;
        }
        std::mem::swap(&mut waiting.text, &mut text);
        let (over, unread) = (waiting.over, std::mem::take(&mut waiting.unread));
        let (first, beyond) = (waiting.beyond.is_some_and(|(since, all)| since == all), waiting.said());
        drop(waiting);
        if unread > 0 {
            log::warn!("{unread} lines are left out: nobody reads them in time");
        }
        if first && beyond > 0 {
            log::warn!("nothing more is recorded: the bound is reached");
        }
        out.write_all(&text)?;
        for (bound, lines) in [(false, unread), (true, beyond)] {
            if lines > 0 {
                writeln!(out, "{}", told(bound, lines))?;
            }
        }
        out.flush()?;
        text.clear();
        if over {
            return Ok(());
        }
    }
}

impl Drop for Lines {
    fn drop(&mut self) {
        self.shared.lock().over = true;
        self.shared.ending.notify_all();
        let _ = self.written.recv_timeout(LAST);
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::Sender;

    use super::*;

    struct Told(Sender<Vec<u8>>);

    impl Write for Told {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.send(bytes.to_vec());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    fn bound(bytes: u64) -> OutputLimit {
        OutputLimit {
            bytes,
            omitted_line: |bound, lines| format!("{} {lines}", if bound { "Bound" } else { "Unread" }),
        }
    }

    struct Stuck(Receiver<()>);

    impl Write for Stuck {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn all_that_was_told_is_written_before_the_end() {
        let (told, written) = channel();
        let lines = Lines::to(Told(told), bound(u64::MAX)).expect("a thread");
        let mut sink = lines.sink();
        for n in 0..1_000 {
            sink(&format!("line {n}"));
        }
        drop(lines);
        sink("too late");
        let text = String::from_utf8(written.iter().flatten().collect()).expect("text");
        assert_eq!(text, (0..1_000).map(|n| format!("line {n}\n")).collect::<String>());
    }

    #[test]
    fn nobody_waits_for_a_reader_that_has_stopped() {
        let (go_on, stop) = channel();
        let lines = Lines::to(Stuck(stop), bound(u64::MAX)).expect("a thread");
        let mut sink = lines.sink();
        let line = "x".repeat(1 << 16);
        for _ in 0..2 * MOST / line.len() {
            sink(&line);
        }
        assert!(lines.shared.lock().text.len() <= MOST);
        drop(lines);
        drop(go_on);
    }
    #[test]
    fn nothing_is_written_beyond_the_bound_and_what_is_left_out_is_counted() {
        let (told, written) = channel();
        let lines = Lines::to(Told(told), bound(20)).expect("a thread");
        let mut sink = lines.sink();
        // A shorter one that would still fit does not come after one that did not.
        for line in ["123456789", "123456789-", "1"] {
            sink(line);
        }
        let said = |text: &[u8]| -> u64 {
            let text = std::str::from_utf8(text).expect("text");
            text.lines().skip(1).map(|l| l[6..].parse::<u64>().expect("a number")).sum()
        };
        let mut text = Vec::new();
        while said(&text) < 2 {
            text.extend(written.recv().expect("it is written"));
        }
        for _ in 0..100 {
            sink("x");
        }
        drop(lines);
        text.extend(written.iter().flatten());
        assert_eq!(said(&text), 102);
        let text = String::from_utf8(text).expect("text");
        assert!(text.starts_with("123456789\nBound ") && text.lines().count() < 12, "{text}");
    }

    #[test]
    fn a_file_holds_no_more_than_the_bound_over_all_lives() {
        let path = std::env::temp_dir().join(format!("millpost-lines-{}", std::process::id()));
        for _ in 0..5 {
            let lines = Lines::append(&path, bound(25)).expect("a file");
            let mut sink = lines.sink();
            sink("123456789");
        }
        let text = std::fs::read_to_string(&path).expect("a file");
        std::fs::remove_file(&path).expect("removed");
        assert_eq!(text, "123456789\n\n123456789\n\nBound 1\n");
    }
}
