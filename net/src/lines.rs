//! Writes lines to standard output or a file from a separate thread, so that callers never wait for the
//! reader.
//!
//! Lines that do not fit into the buffer are omitted, as are all lines after a limit on the total size.
//! Additional lines report the number of omitted lines.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum size of the buffer in bytes.
const MAX_BUFFERED: usize = 8 << 20;
/// Interval at which buffered lines are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for writing the remaining lines on drop.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on the total output.
#[derive(Clone, Copy, Debug)]
pub struct OutputLimit {
    /// Maximum number of bytes, excluding lines that report omitted lines.
    pub bytes: u64,
    /// Formats the line, without terminator, that reports omitted lines: due to this limit if the first
    /// argument is `true`, else because the output was not drained fast enough.
    pub omitted_line: fn(bool, u64) -> String,
}

#[derive(Default)]
struct Buffer {
    text: Vec<u8>,
    /// Lines omitted because the buffer was full, since the last report.
    overflowed: u64,
    /// Remaining bytes of the limit.
    remaining: u64,
    /// Set once the limit is reached: lines omitted since the last report, and in total.
    beyond_limit: Option<(u64, u64)>,
    /// No more lines are accepted.
    closed: bool,
}

impl Buffer {
    /// Returns the number of lines beyond the limit that must be reported now, or 0. They are reported at
    /// first, each time their total has doubled, and at the end.
    fn take_report(&mut self) -> u64 {
        let closed = self.closed;
        match &mut self.beyond_limit {
            Some((since, all)) if *since > 0 && (closed || *since * 2 >= *all) => std::mem::take(since),
            _ => 0,
        }
    }
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    closing: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The line output of this process. Lines that are buffered when it is dropped are written if that takes no
/// longer than 500 ms.
pub struct Lines {
    shared: Arc<Shared>,
    written: Receiver<()>,
}

impl Lines {
    /// Writes to standard output.
    pub fn start(limit: OutputLimit) -> std::io::Result<Self> {
        Self::to(std::io::stdout(), limit)
    }

    /// Appends to a file. The limit applies to the total size of the file.
    pub fn append(path: &Path, limit: OutputLimit) -> std::io::Result<Self> {
        let mut file = File::options().create(true).append(true).open(path)?;
        let length = file.metadata().map_or(0, |metadata| metadata.len());
        if length >= limit.bytes {
            log::warn!("{}: nothing is recorded: the size limit is reached", path.display());
            return Self::to(std::io::sink(), OutputLimit { bytes: 0, ..limit });
        }
        if length > 0 {
            // The last line may be truncated, if the process that wrote it was killed.
            file.write_all(b"\n")?;
        }
        Self::to(file, OutputLimit { bytes: limit.bytes.saturating_sub(length), ..limit })
    }

    /// Writes to any output.
    pub fn to(mut out: impl Write + Send + 'static, limit: OutputLimit) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.lock().remaining = limit.bytes;
        let (done, written) = channel();
        let writer = Arc::clone(&shared);
        thread::Builder::new().name("lines".to_owned()).spawn(move || {
            if let Err(e) = write(&writer, &mut out, limit.omitted_line) {
                log::error!("output stopped: {e}");
                *writer.lock() = Buffer { closed: true, ..Buffer::default() };
            }
            let _ = done.send(());
        })?;
        Ok(Lines { shared, written })
    }

    /// Returns a function that queues lines, given without terminators.
    pub fn sink(&self) -> Box<dyn FnMut(&str)> {
        let shared = Arc::clone(&self.shared);
        Box::new(move |line| {
            let mut buffer = shared.lock();
            if buffer.closed {
                return;
            }
            let length = line.len() as u64 + 1;
            if let Some((since, all)) = &mut buffer.beyond_limit {
                (*since, *all) = (*since + 1, *all + 1);
            } else if length > buffer.remaining {
                buffer.beyond_limit = Some((1, 1));
            }
            if buffer.beyond_limit.is_some() {
                return;
            }
            if buffer.text.len() + line.len() >= MAX_BUFFERED {
                buffer.overflowed += 1;
                return;
            }
            buffer.remaining -= length;
            buffer.text.extend_from_slice(line.as_bytes());
            buffer.text.push(b'\n');
        })
    }
}

fn write(
    shared: &Shared,
    out: &mut impl Write,
    omitted_line: fn(bool, u64) -> String,
) -> std::io::Result<()> {
    let mut text = Vec::new();
    loop {
        let mut buffer = shared.lock();
        if !buffer.closed {
            buffer =
                shared.closing.wait_timeout(buffer, WRITE_INTERVAL).unwrap_or_else(PoisonError::into_inner).0;
        }
        std::mem::swap(&mut buffer.text, &mut text);
        let (closed, overflowed) = (buffer.closed, std::mem::take(&mut buffer.overflowed));
        let (first, beyond_limit) =
            (buffer.beyond_limit.is_some_and(|(since, all)| since == all), buffer.take_report());
        drop(buffer);
        if overflowed > 0 {
            log::warn!("{overflowed} lines omitted: the output was not drained fast enough");
        }
        if first && beyond_limit > 0 {
            log::warn!("nothing more is recorded: the size limit is reached");
        }
        out.write_all(&text)?;
        for (bound, lines) in [(false, overflowed), (true, beyond_limit)] {
            if lines > 0 {
                writeln!(out, "{}", omitted_line(bound, lines))?;
            }
        }
        out.flush()?;
        text.clear();
        if closed {
            return Ok(());
        }
    }
}

impl Drop for Lines {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.closing.notify_all();
        let _ = self.written.recv_timeout(FINAL_WRITE_TIMEOUT);
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::Sender;

    use super::*;

    struct Collect(Sender<Vec<u8>>);

    impl Write for Collect {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.send(bytes.to_vec());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    fn limit(bytes: u64) -> OutputLimit {
        OutputLimit {
            bytes,
            omitted_line: |bound, lines| format!("{} {lines}", if bound { "Bound" } else { "Unread" }),
        }
    }

    struct Blocking(Receiver<()>);

    impl Write for Blocking {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn all_queued_lines_are_written_before_drop_returns() {
        let (sender, written) = channel();
        let lines = Lines::to(Collect(sender), limit(u64::MAX)).expect("a thread");
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
    fn callers_do_not_block_when_the_output_blocks() {
        let (release, blocked) = channel();
        let lines = Lines::to(Blocking(blocked), limit(u64::MAX)).expect("a thread");
        let mut sink = lines.sink();
        let line = "x".repeat(1 << 16);
        for _ in 0..2 * MAX_BUFFERED / line.len() {
            sink(&line);
        }
        assert!(lines.shared.lock().text.len() <= MAX_BUFFERED);
        drop(lines);
        drop(release);
    }

    #[test]
    fn nothing_is_written_beyond_the_limit_and_omitted_lines_are_counted() {
        let (sender, written) = channel();
        let lines = Lines::to(Collect(sender), limit(20)).expect("a thread");
        let mut sink = lines.sink();
        // A shorter line that would fit is omitted too, once a longer one was omitted.
        for line in ["123456789", "123456789-", "1"] {
            sink(line);
        }
        let omitted = |text: &[u8]| -> u64 {
            let text = std::str::from_utf8(text).expect("text");
            text.lines().skip(1).map(|l| l[6..].parse::<u64>().expect("a number")).sum()
        };
        let mut text = Vec::new();
        while omitted(&text) < 2 {
            text.extend(written.recv().expect("output written"));
        }
        for _ in 0..100 {
            sink("x");
        }
        drop(lines);
        text.extend(written.iter().flatten());
        assert_eq!(omitted(&text), 102);
        let text = String::from_utf8(text).expect("text");
        assert!(text.starts_with("123456789\nBound ") && text.lines().count() < 12, "{text}");
    }

    #[test]
    fn the_limit_of_a_file_covers_all_runs_that_append_to_it() {
        let path = std::env::temp_dir().join(format!("millpost-lines-{}", std::process::id()));
        for _ in 0..5 {
            let lines = Lines::append(&path, limit(25)).expect("a file");
            let mut sink = lines.sink();
            sink("123456789");
        }
        let text = std::fs::read_to_string(&path).expect("a file");
        std::fs::remove_file(&path).expect("removed");
        assert_eq!(text, "123456789\n\n123456789\n\nBound 1\n");
    }
}
