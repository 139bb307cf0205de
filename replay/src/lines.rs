//! Lines of a recording, out of a file that holds them alone or as a collector of logs prints them, or out of a folder of such files.
//!
//! `  12.3456 edge-hall-a-1/stall {"in":…}`: seconds of the collector's, the process, what it wrote. Where there is no collector the
//! head of a life says whose lines follow. A line that holds nothing of a recording is passed over and counted; one that does, and
//! can't be read, is an error, but for the last one of a life: whoever is killed leaves it cut off anywhere.

use std::collections::{HashMap, VecDeque};
use std::io::BufRead;
use std::path::{Path, PathBuf};

use millpost_agent::recording as round;
use millpost_autoscaler::recording as scaler;
use millpost_protocol::frame::{self, Checksum, HEADER_PREFIX, Head, OMITTED_PREFIX, OmissionReason};
use millpost_protocol::{Fault, line, string};
use millpost_scheduler::recording as desk;

use crate::errors::{Error, SeveralSnafu, SpoiltSnafu};

/// The longest line that is read.
const LONGEST: usize = 64 << 20;
/// Lines between two words on how far the reading has come.
const WORD: usize = 4_096;

/// What a line holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An input of a desk.
    Coordinator(desk::Entry),
    /// An input of a scaler.
    Scaler(scaler::Entry),
    /// An input of a porter's round.
    Round(round::Entry),
}

impl Entry {
    /// It begins a life, or a term.
    pub fn begins(&self) -> bool {
        match self {
            Entry::Coordinator(entry) => matches!(entry.input, desk::Input::New { .. }),
            Entry::Scaler(entry) => matches!(entry.input, scaler::Input::New(_)),
            Entry::Round(entry) => matches!(entry.input, millpost_agent::Input::New(_)),
        }
    }

    /// When it came, in the process's life.
    pub fn at(&self) -> u64 {
        match self {
            Entry::Coordinator(entry) => entry.at,
            Entry::Scaler(entry) => entry.at,
            Entry::Round(entry) => entry.at,
        }
    }

    /// Its number in its life.
    pub fn number(&self) -> Option<u64> {
        match self {
            Entry::Coordinator(entry) => entry.number,
            Entry::Scaler(entry) => entry.number,
            Entry::Round(entry) => entry.number,
        }
    }
}

/// Whose life it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Coordinator,
    Scaler,
    Round,
}

/// A line that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// Its number in the file, from 1.
    pub line: usize,
    /// The collector's seconds, where it gave them.
    pub collected: Option<f64>,
    /// Whose it is: a place in [`Lines::sources`].
    pub source: usize,
    /// In which of its lives: a place in [`Source::lives`].
    pub life: usize,
    /// What the machine had decided before it, where the line tells.
    pub decided: Option<(u64, u32)>,
    /// What it holds.
    pub entry: Entry,
}

/// A life of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Life {
    /// The line that it begins with.
    pub line: usize,
    /// The collector's seconds then.
    pub collected: Option<f64>,
    /// What the recording says of it; none in old ones.
    pub head: Option<Head>,
}

/// A process that has recorded.
#[derive(Debug)]
pub struct Source {
    /// `machine/process`; empty where nothing says it.
    pub of: String,
    /// Its lives so far.
    pub lives: Vec<Life>,
    /// Whose inputs come.
    kind: Kind,
    expected: Option<u64>,
    last: u64,
    /// Its last line can't be read, and that is well if it was the last of its life.
    torn: Option<Error>,
}

impl Source {
    /// The machine.
    pub fn machine(&self) -> &str {
        self.of.split('/').next().unwrap_or_default()
    }

    /// Its lines carry checksums.
    fn summed(&self) -> bool {
        self.lives.last().is_some_and(|life| life.head.is_some())
    }
}

/// Which lines of a file are read.
#[derive(Clone, Debug, Default)]
pub struct Which {
    /// Those of this machine, or of this process on it (`edge-hall-a-1/stall`); else those of the only one.
    pub node: Option<String>,
    /// Lines that can't be read, and lines that are missing, are counted and passed over.
    pub lenient: bool,
    /// Those of all processes.
    pub all: bool,
}

impl Which {
    fn means(&self, of: &str) -> bool {
        let machine = of.split('/').next().unwrap_or_default();
        self.node.as_deref().is_none_or(|node| node == of || node == machine || of.is_empty())
    }
}

/// Told how many bytes were read, from time to time.
pub type Word = Box<dyn FnMut(u64)>;

/// Reads a recording line by line.
pub struct Lines<'a> {
    from: Box<dyn BufRead + 'a>,
    /// Files that come after it.
    further: VecDeque<PathBuf>,
    which: Which,
    /// The file, where there are several.
    file: String,
    at: usize,
    bytes: Vec<u8>,
    /// What stood behind a line that was cut off.
    behind: Option<Vec<u8>>,
    sources: Vec<Source>,
    names: HashMap<String, usize>,
    /// Whose lines come where no collector says it; none where they are passed over.
    here: Option<String>,
    read: u64,
    word: Option<Word>,
    /// Lines that hold nothing of a recording, or of another's.
    pub passed_over: usize,
    /// Lines that can't be read or are missing, where they are passed over.
    pub spoilt: usize,
    /// Lines that were cut off as the last of their lives.
    pub cut_off: usize,
    /// Lines that the recordings say are left out, for their bounds and because nobody read them.
    pub left_out: [u64; 2],
}

fn open(path: &Path) -> Result<Box<dyn BufRead>, Error> {
    let file = std::fs::File::open(path).map_err(|source| Error::File { path: path.to_owned(), source })?;
    Ok(Box::new(std::io::BufReader::with_capacity(1 << 20, file)))
}

/// The files of a recording: itself, or all that a folder holds, in the order of their names.
pub fn files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let file = |source| Error::File { path: path.to_owned(), source };
    let mut all = Vec::new();
    for entry in std::fs::read_dir(path).map_err(file)? {
        let path = entry.map_err(file)?.path();
        if path.is_file() {
            all.push(path);
        }
    }
    all.sort();
    if all.is_empty() {
        return Err(Error::Nothing { passed_over: 0 });
    }
    Ok(all)
}

impl Lines<'static> {
    /// Opens a file, or all files of a folder.
    pub fn open(path: &Path, which: Which) -> Result<Self, Error> {
        let mut all: VecDeque<_> = files(path)?.into();
        let first = all.pop_front().unwrap_or_default();
        let mut lines = Lines::new(open(&first)?, which);
        if path.is_dir() {
            (lines.further, lines.here, lines.file) = (all, Some(stem(&first)), name(&first));
        }
        Ok(lines)
    }
}

/// Whose lines a file of a folder holds, where neither a head nor a collector says it.
fn stem(path: &Path) -> String {
    path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}

fn name(path: &Path) -> String {
    path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}

/// The collector's seconds, the process, and what it wrote; else the whole line.
fn parts(line: &str) -> (Option<f64>, &str, &str) {
    let mut words = line.trim_start().splitn(3, ' ');
    if let (Some(at), Some(of), Some(wrote)) = (words.next(), words.next(), words.next())
        && let Ok(at) = at.parse::<f64>()
        && of.contains('/')
    {
        return (Some(at), of, wrote.trim_start());
    }
    (None, "", line.trim_start())
}

/// What was written, as it is read.
enum Wrote {
    Head(Head),
    LeftOut(OmissionReason, u64),
    Entry(Entry, Option<(u64, u32)>),
}

/// Reads what was written; the first line of a life says of what it is.
fn wrote_of(wrote: &str, kind: &mut Kind, summed: bool) -> Result<Wrote, Fault> {
    let parts = line::read(wrote)?;
    let head = wrote.starts_with(HEADER_PREFIX);
    match frame::checksum(wrote) {
        Checksum::Invalid => {
            return Err(Fault { key: "#".to_owned(), reason: "the line is not as it was written" });
        }
        Checksum::Missing if summed || head => {
            return Err(Fault { key: "#".to_owned(), reason: "missing" });
        }
        _ => {}
    }
    if head {
        return Head::of(&parts).map(Wrote::Head);
    }
    if wrote.starts_with(OMITTED_PREFIX) {
        return OmissionReason::of(&parts).map(|(left, lines)| Wrote::LeftOut(left, lines));
    }
    if string(&parts, "in")? == "new" {
        *kind = match string(&parts, "of")?.as_str() {
            desk::COORDINATOR_LOG => Kind::Coordinator,
            scaler::SCALER => Kind::Scaler,
            round::ROUND => Kind::Round,
            _ => return Err(Fault { key: "of".to_owned(), reason: "neither a desk, a scaler nor a round" }),
        };
    }
    let entry = match kind {
        Kind::Coordinator => desk::Entry::from_json(&parts).map(Entry::Coordinator),
        Kind::Scaler => scaler::Entry::from_json(&parts).map(Entry::Scaler),
        Kind::Round => round::Entry::from_json(&parts).map(Entry::Round),
    };
    Ok(Wrote::Entry(entry?, frame::read_digest(&parts)?))
}

impl<'a> Lines<'a> {
    /// Reads out of something that is open.
    pub fn new(from: impl BufRead + 'a, which: Which) -> Self {
        Lines {
            from: Box::new(from),
            further: VecDeque::new(),
            which,
            file: String::new(),
            at: 0,
            bytes: Vec::new(),
            behind: None,
            sources: Vec::new(),
            names: HashMap::new(),
            here: Some(String::new()),
            read: 0,
            word: None,
            passed_over: 0,
            spoilt: 0,
            cut_off: 0,
            left_out: [0; 2],
        }
    }

    /// The process whose lines are read, once one was.
    pub fn of(&self) -> Option<&str> {
        self.sources.first().map(|source| source.of.as_str())
    }

    /// All that have recorded, as far as was read.
    pub fn sources(&self) -> &[Source] {
        &self.sources
    }

    /// The same, at the end.
    pub fn into_sources(self) -> Vec<Source> {
        self.sources
    }

    /// The file that is read, where there are several.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Who is told from time to time how far the reading has come.
    pub fn tell(&mut self, word: Word) {
        self.word = Some(word);
    }

    fn error(&self, key: &str, reason: impl Into<String>) -> Error {
        SpoiltSnafu { file: &self.file, line: self.at, key, reason }.build()
    }

    /// The next line of the recording; none at the end.
    pub fn read(&mut self) -> Result<Option<Read>, Error> {
        loop {
            if let Some(read) = self.read_one()? {
                return Ok(Some(read));
            }
            let Some(next) = self.further.pop_front() else { return Ok(None) };
            (self.from, self.file, self.at, self.here) = (open(&next)?, name(&next), 0, Some(stem(&next)));
        }
    }

    /// The next line of what is open; none at its end.
    fn read_one(&mut self) -> Result<Option<Read>, Error> {
        loop {
            if let Some(behind) = self.behind.take() {
                self.bytes = behind;
            } else {
                self.bytes.clear();
                let most = LONGEST as u64 + 1;
                let read = std::io::Read::take(&mut self.from, most).read_until(b'\n', &mut self.bytes);
                self.at += 1;
                self.read += self.bytes.len() as u64;
                match read {
                    Ok(0) => {
                        self.cut_off += self.sources.iter_mut().filter_map(|s| s.torn.take()).count();
                        return Ok(None);
                    }
                    Ok(_) if self.bytes.len() > LONGEST => return Err(self.error("(line)", "too long")),
                    Ok(_) => {}
                    Err(e) => return Err(self.error("(line)", e.to_string())),
                }
                if self.at.is_multiple_of(WORD)
                    && let Some(word) = &mut self.word
                {
                    word(self.read);
                }
            }
            match self.one() {
                Ok(Some(read)) => return Ok(Some(read)),
                Ok(None) => {}
                Err(Error::Spoilt { .. }) if self.which.lenient => self.spoilt += 1,
                Err(e) => return Err(e),
            }
        }
    }

    /// The process of this name, among those that are read.
    fn source(&mut self, of: &str) -> Result<usize, Error> {
        if let Some(at) = self.names.get(of) {
            return Ok(*at);
        }
        if let Some(first) = self.sources.first()
            && !self.which.all
        {
            let source_name = first.of.clone();
            return SeveralSnafu { line: self.at, other: of, source_name }.fail();
        }
        self.sources.push(Source {
            of: of.to_owned(),
            lives: Vec::new(),
            kind: Kind::Coordinator,
            expected: None,
            last: 0,
            torn: None,
        });
        self.names.insert(of.to_owned(), self.sources.len() - 1);
        Ok(self.sources.len() - 1)
    }

    fn one(&mut self) -> Result<Option<Read>, Error> {
        let bytes = std::mem::take(&mut self.bytes);
        let done = self.line(&bytes);
        self.bytes = bytes;
        done
    }

    fn line(&mut self, bytes: &[u8]) -> Result<Option<Read>, Error> {
        let text = String::from_utf8_lossy(bytes);
        let (collected, named, wrote) = parts(text.trim_end());
        if !wrote.starts_with(line::LINE_PREFIX) {
            self.passed_over += usize::from(!wrote.is_empty());
            return Ok(None);
        }
        // Without a collector its head says whose the lines are from there on.
        let of = if named.is_empty() { self.here.clone() } else { Some(named.to_owned()) };
        let begins = wrote.starts_with(HEADER_PREFIX);
        if !begins && of.as_deref().is_none_or(|of| !self.which.means(of)) {
            self.passed_over += 1;
            return Ok(None);
        }
        let at = match &of {
            Some(of) if !begins => Some(self.source(of)?),
            _ => None,
        };
        let whole = std::str::from_utf8(bytes).is_ok();
        let (mut kind, summed) = at
            .and_then(|at| self.sources.get(at))
            .map_or((Kind::Coordinator, false), |s| (s.kind, s.summed()));
        let read = match wrote_of(wrote, &mut kind, summed) {
            _ if !whole => Err(Fault { key: "(line)".to_owned(), reason: "no UTF-8" }),
            read => read,
        };
        let read = match read {
            Ok(read) => read,
            Err(fault) => return self.fault(bytes, at, &fault),
        };
        match read {
            Wrote::Head(head) => {
                let of = if named.is_empty() { head.by.to_string() } else { named.to_owned() };
                let means = self.which.means(&of);
                if named.is_empty() {
                    self.here = means.then(|| of.clone());
                }
                if !means {
                    self.passed_over += 1;
                    return Ok(None);
                }
                let at = self.source(&of)?;
                // What was cut off before it was the end of the life before.
                self.cut_off += usize::from(self.sources[at].torn.take().is_some());
                self.begin(at, collected, Some(head));
                Ok(None)
            }
            Wrote::LeftOut(left, lines) => {
                self.left_out[usize::from(left == OmissionReason::Unread)] += lines;
                Ok(None)
            }
            Wrote::Entry(entry, decided) => {
                let Some(at) = at else { return Ok(None) };
                self.sources[at].kind = kind;
                self.entry(at, collected, entry, decided).map(Some)
            }
        }
    }

    fn begin(&mut self, at: usize, collected: Option<f64>, head: Option<Head>) {
        let source = &mut self.sources[at];
        (source.expected, source.last) = (None, 0);
        source.lives.push(Life { line: self.at, collected, head });
    }

    fn entry(
        &mut self,
        at: usize,
        collected: Option<f64>,
        entry: Entry,
        decided: Option<(u64, u32)>,
    ) -> Result<Read, Error> {
        let source = &self.sources[at];
        // Old recordings have no heads: a machine that begins is a life, but for a further term of a process that goes on.
        let term = matches!(entry, Entry::Scaler(_)) && !source.lives.is_empty() && entry.at() >= source.last;
        if entry.begins() && !source.summed() && !term || source.lives.is_empty() {
            self.begin(at, collected, None);
        }
        let lenient = self.which.lenient;
        let source = &mut self.sources[at];
        if entry.begins() {
            self.cut_off += usize::from(source.torn.take().is_some());
        } else if let Some(torn) = source.torn.take() {
            if !lenient {
                return Err(torn);
            }
            self.spoilt += 1;
            source.expected = None;
        }
        if let (Some(expected), Some(number)) = (source.expected, entry.number())
            && expected != number
            && !entry.begins()
        {
            if !lenient {
                let reason = format!("{number}, where {expected} is due: lines are missing");
                return Err(self.error("n", reason));
            }
            self.spoilt += number.saturating_sub(expected) as usize;
        }
        (source.expected, source.last) = (entry.number().map(|n| n + 1), entry.at());
        let life = source.lives.len() - 1;
        Ok(Read { line: self.at, collected, source: at, life, decided, entry })
    }

    /// A line that can't be read. It may be the last of a life, cut off by its end.
    fn fault(&mut self, bytes: &[u8], at: Option<usize>, fault: &Fault) -> Result<Option<Read>, Error> {
        let error = self.error(&fault.key, fault.reason);
        let cut =
            fault.reason == line::TRUNCATED || !bytes.ends_with(b"\n") && std::str::from_utf8(bytes).is_err();
        // The head of the next life may stand behind it, where nobody has ended the line.
        let head =
            bytes.windows(HEADER_PREFIX.len()).skip(1).position(|window| window == HEADER_PREFIX.as_bytes());
        if let Some(next) = head.filter(|_| !bytes.starts_with(HEADER_PREFIX.as_bytes())) {
            self.behind = Some(bytes[next + 1..].to_vec());
        } else if !cut {
            return Err(error);
        }
        match at {
            Some(at) if self.sources[at].torn.is_none() => self.sources[at].torn = Some(error),
            Some(_) => return Err(error),
            None => self.cut_off += 1,
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TICK: &str = r#"{"in":"tick","n":1,"at":5}"#;

    fn read_all(text: &str, which: Which) -> Result<(Vec<Read>, usize, usize), Error> {
        let mut lines = Lines::new(text.as_bytes(), which);
        let mut all = Vec::new();
        while let Some(read) = lines.read()? {
            all.push(read);
        }
        Ok((all, lines.passed_over, lines.spoilt))
    }

    #[yare::parameterized(
        plain = { "{}\n", None, 0 },
        collected = { "  12.3456 edge-1/stall {}\n", Some(12.3456), 0 },
        of_another = { " 1.5 edge-1/stall {}\n 1.6 edge-2/stall {}\n", Some(1.5), 1 },
        beside_logs = { "{\"at\":1.0,\"say\":\"x\"}\n\n 3 edge-1/stall {}\n 4 edge-1/stall killed\n", Some(3.0), 2 },
    )]
    fn lines_are_found_where_they_stand(text: &str, collected: Option<f64>, passed_over: usize) {
        let which = Which { node: Some("edge-1".to_owned()), ..Which::default() };
        let (all, passed, spoilt) = read_all(&text.replace("{}", TICK), which).expect("good lines");
        assert_eq!((all.len(), passed, spoilt), (1, passed_over, 0));
        assert_eq!((all[0].collected, all[0].entry.at()), (collected, 5));
    }

    #[yare::parameterized(
        cut = { "{\"in\":\"tick\",\"n\":1,\"a\n{\"in\":\"tick\",\"n\":2,\"at\":3}", "line 1: (line): ends before its end" },
        key = { "{\"in\":\"tick\",\"n\":1}", "line 1: at: missing" },
        kind = { "\n{\"in\":\"tock\",\"n\":1,\"at\":3}", "line 2: in: no input of a desk" },
        odd = { "{\"in\":\"up\",\"at\":3,\"i\":7}", "line 1: i: no text" },
        gap = { "{\"in\":\"tick\",\"n\":1,\"at\":3}\n{\"in\":\"tick\",\"n\":3,\"at\":3}",
            "line 2: n: 3, where 2 is due: lines are missing" },
        two = { " 1 a/stall {\"in\":\"tick\",\"at\":3}\n 1 b/stall {\"in\":\"tick\",\"at\":3}",
            "line 2: of b/stall, and lines before are of a/stall: name one with --node" },
    )]
    fn what_is_wrong_is_told_with_line_and_key(text: &str, why: &str) {
        let error = read_all(text, Which::default()).expect_err("a fault");
        assert_eq!(error.to_string(), why);
        let lenient = read_all(text, Which { lenient: true, ..Which::default() });
        assert_eq!(lenient.is_ok(), !why.contains("--node"));
    }

    /// Two lives of one process and one of another, as they record.
    fn recorded() -> Vec<String> {
        let line = |text: &str| frame::sealed(text.to_owned());
        let new = r#"{"in":"new","n":0,"at":0,"of":"round","me":"é","life":1,"seeds":[],"grace":5}"#;
        let life = |by: &str, life| {
            let head = Head::new(by, "porter", life, 7).line();
            [head, line(new), line(r#"{"in":"tick","n":1,"at":5}"#), line(r#"{"in":"up","n":2,"at":9}"#)]
        };
        [life("edge-1", 1), life("edge-1", 2), life("edge-2", 1)].concat()
    }

    #[test]
    fn cut_at_any_byte_it_reads_to_its_last_whole_line() {
        let text = recorded().join("\n");
        let which = Which { all: true, ..Which::default() };
        let (all, ..) = read_all(&text, which.clone()).expect("it is whole");
        assert_eq!(all.len(), 9);
        for end in 0..=text.len() {
            let mut lines = Lines::new(&text.as_bytes()[..end], which.clone());
            let mut read = Vec::new();
            while let Some(one) = lines.read().unwrap_or_else(|e| panic!("{end}: {e}")) {
                read.push(one);
            }
            // A line counts as soon as its last byte is there.
            let ends = text.match_indices("}\n").map(|(at, _)| at + 1).chain([text.len()]);
            let whole = ends.filter(|at| *at <= end).count();
            let heads = text[..].match_indices(HEADER_PREFIX).map(|(at, _)| at).collect::<Vec<_>>();
            let heads =
                heads.iter().filter(|at| text[**at..].find('\n').is_some_and(|n| **at + n <= end)).count();
            assert_eq!(read[..], all[..whole - heads], "{end}");
        }
    }

    #[test]
    fn who_was_killed_leaves_a_line_cut_off_and_begins_anew() {
        let all = recorded();
        let which = Which { node: Some("edge-1".to_owned()), ..Which::default() };
        for end in 8..all[3].len() {
            // With the end of the line that the next life has set, and without.
            for between in ["\n", ""] {
                let mut parts = all.clone();
                parts[3].truncate(end);
                let joined = format!("{}{between}{}", parts[..4].join("\n"), parts[4..].join("\n"));
                let mut lines = Lines::new(joined.as_bytes(), which.clone());
                let mut lives = Vec::new();
                while let Some(read) = lines.read().unwrap_or_else(|e| panic!("{end}: {e}")) {
                    lives.push(read.life);
                }
                assert_eq!((lives, lines.cut_off), (vec![0, 0, 1, 1, 1], 1), "{joined}");
                assert_eq!(lines.sources()[0].lives[1].head.as_ref().map(|h| h.life), Some(2));
            }
        }
        // In the midst of a life it is an error.
        let mut parts = all.clone();
        parts[2].truncate(30);
        let error = read_all(&parts.join("\n"), which).expect_err("a fault");
        assert_eq!(error.to_string(), "line 3: (line): ends before its end");
    }

    #[test]
    fn what_was_changed_or_is_newer_is_an_error() {
        let all = recorded();
        let fault = |lines: &[String]| {
            read_all(&lines.join("\n"), Which::default()).expect_err("a fault").to_string()
        };
        let mut changed = all[..4].to_vec();
        changed[2] = changed[2].replace("\"at\":5", "\"at\":6");
        assert_eq!(fault(&changed), "line 3: #: the line is not as it was written");
        changed[2] = r#"{"in":"tick","n":1,"at":5}"#.to_owned();
        assert_eq!(fault(&changed), "line 3: #: missing");
        changed[0] = frame::sealed(
            all[0].replace("\"v\":2", "\"v\":3").split(",\"#\"").next().unwrap_or("").to_owned() + "}",
        );
        assert_eq!(fault(&changed), "line 1: v: a newer format than this build reads");
        assert!(fault(&all).contains("line 9: of edge-2/porter, and lines before are of edge-1/porter"));
    }

    #[test]
    fn what_is_left_out_is_counted() {
        let mut all = recorded()[..4].to_vec();
        all.extend([
            frame::omitted_line(true, 1),
            frame::omitted_line(true, 8),
            frame::omitted_line(false, 3),
        ]);
        let text = all.join("\n");
        let mut lines = Lines::new(text.as_bytes(), Which::default());
        while lines.read().expect("good lines").is_some() {}
        assert_eq!((lines.left_out, lines.spoilt, lines.passed_over), ([9, 3], 0, 0));
    }

    #[test]
    fn no_bytes_make_it_panic() {
        let good = format!(" 1.5 edge-1/stall {TICK}\n");
        for at in 0..good.len() {
            for byte in [0, b'"', b'{', b'9', b' ', 0xff] {
                let mut bytes = good.clone().into_bytes();
                bytes[at] = byte;
                let mut lines = Lines::new(&bytes[..], Which::default());
                while let Ok(Some(_)) = lines.read() {}
            }
        }
    }
}
