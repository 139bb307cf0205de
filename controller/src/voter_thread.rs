//! The voter on a thread of its own, since its disk may hang for seconds: it takes one message at a time, writes, and answers.
//!
//! A disk that can't be opened or read counts as wiped: its folder is put aside, where the last such one stays for whoever looks,
//! and the voter copies from the others before it says anything. After a write that failed the records are read anew.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use millpost_quorum::{Address, Key, Members, Message, State, Value, Voter};
use snafu::ResultExt;
use tokio::sync::{mpsc as outward, oneshot};

use crate::disk::{self, RecordStore};
use crate::errors::{Error, ThreadSnafu};

/// Messages that may wait for the disk.
const WAITING: usize = 500;
/// Pause between two tries to open a disk that does not open.
const AGAIN: Duration = Duration::from_millis(300);
/// Records that take more bytes than this are not kept aside: the disk must have room for those in use.
const ASIDE_MOST: u64 = 32 << 20;

/// What the voter is asked.
enum Asked {
    /// A message, and where its answer goes: none where it says nothing.
    Message { from: Address, message: Message, reply: oneshot::Sender<Option<Message>> },
    /// The configuration that stands on this disk, chosen or not.
    Peek(oneshot::Sender<Option<Value>>),
}

/// What the voter wants the others asked, and what is known of it.
#[derive(Debug)]
pub enum Said {
    /// Its state and the members it knows, when they change.
    Standing { voting: bool, members: Option<Members> },
    /// For others; their answers come back as messages.
    Ask(Vec<(Address, Message)>),
}

/// What a voter starts from.
pub struct Start {
    pub me: Address,
    pub folder: PathBuf,
    pub seeds: Vec<Address>,
    pub life: u64,
    /// The first members, where the whole system starts on empty disks.
    pub first: Option<Members>,
}

#[cfg(test)]
mod newer;

/// The way to the voter.
#[derive(Clone)]
pub struct VoterThread {
    asked: mpsc::SyncSender<Asked>,
}

impl VoterThread {
    /// Starts the thread.
    pub fn start(start: Start, said: outward::UnboundedSender<Said>, clock: Instant) -> Result<Self, Error> {
        let (asked, asks) = mpsc::sync_channel(WAITING);
        let run = move || run(&start, &asks, &said, clock);
        thread::Builder::new()
            .name("voter".to_owned())
            .stack_size(512 * 1024)
            .spawn(run)
            .context(ThreadSnafu)?;
        Ok(VoterThread { asked })
    }

    /// Hands a message over. Where the disk hangs and too much waits it is dropped, and its answer with it.
    pub fn ask(&self, from: Address, message: Message) -> oneshot::Receiver<Option<Message>> {
        let (reply, replied) = oneshot::channel();
        let _ = self.asked.try_send(Asked::Message { from, message, reply });
        replied
    }

    /// The configuration that stands on this disk, whether it is chosen or not.
    pub fn peek(&self) -> oneshot::Receiver<Option<Value>> {
        let (reply, replied) = oneshot::channel();
        let _ = self.asked.try_send(Asked::Peek(reply));
        replied
    }
}

/// Where records that can't be read are put: one such folder is kept.
fn aside(folder: &Path) -> PathBuf {
    folder.with_extension("aside")
}

/// The bytes of all files under a folder.
fn bytes(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        sum += if entry.file_type()?.is_dir() { bytes(&entry.path())? } else { entry.metadata()?.len() };
    }
    Ok(sum)
}

/// Puts the records aside, in the place of older ones. It lasts: what is written from then on never meets what was there before.
fn put_aside(folder: &Path) -> io::Result<()> {
    let to = aside(folder);
    match fs::remove_dir_all(&to) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    fs::rename(folder, &to)?;
    let size = bytes(&to)?;
    if size > ASIDE_MOST {
        log::warn!("{size} bytes of records are too many to be kept aside");
        // The folder itself stays, as a sign that there were records.
        fs::remove_dir_all(&to)?;
        fs::create_dir(&to)?;
    }
    folder.parent().map_or(Ok(()), |parent| fs::File::open(parent)?.sync_all())
}

/// Opens the records, or puts aside what can't be read.
fn open(start: &Start, now: u64) -> Option<(RecordStore, Voter)> {
    let spoilt = |why: &str| {
        log::error!("the records are put aside, and copied from the others: {why}");
        if let Err(e) = put_aside(&start.folder) {
            log::error!("{}: not put aside: {e}", start.folder.display());
        }
    };
    let (disk, records) = match disk::read(&start.folder) {
        Ok(read) => read,
        Err(e) => {
            // A disk that is full or hangs is not one that is broken.
            let text = e.to_string();
            if start.folder.exists() && text.contains("orrupt") {
                spoilt(&text);
            } else {
                log::error!("{text}");
            }
            return None;
        }
    };
    match Voter::open(start.me.clone(), records, start.seeds.clone(), start.life, now) {
        Ok(voter) => Some((disk, voter)),
        // Nothing is wrong with them: they stay for the program that wrote them.
        Err(e @ millpost_quorum::OpenError::Newer { .. }) => {
            static ONCE: std::sync::Once = std::sync::Once::new();
            ONCE.call_once(|| log::error!("does not vote: {}: {e}", start.folder.display()));
            None
        }
        Err(e) => {
            drop(disk);
            spoilt(&e.to_string());
            None
        }
    }
}

fn run(start: &Start, asks: &mpsc::Receiver<Asked>, said: &outward::UnboundedSender<Said>, clock: Instant) {
    let now = || clock.elapsed().as_nanos() as u64;
    let mut told = None;
    loop {
        let Some((disk, mut voter)) = open(start, now()) else {
            thread::sleep(AGAIN);
            // What waited is answered by nobody.
            while asks.try_recv().is_ok() {}
            continue;
        };
        // Records that were put aside made promises: this is no first start any more.
        if let Some(first) = &start.first
            && !aside(&start.folder).exists()
            && let Err(e) = voter.bootstrap(first.clone()).commit(|batch| disk.put(batch))
        {
            log::error!("{e}");
            continue;
        }
        loop {
            let standing = (voter.state() == State::Voting, voter.members().cloned());
            if told.as_ref() != Some(&standing) {
                told = Some(standing.clone());
                let (voting, members) = standing;
                if said.send(Said::Standing { voting, members }).is_err() {
                    return;
                }
            }
            let due = voter.next_wake().map(|at| Duration::from_nanos(at.saturating_sub(now())));
            let asked = match due {
                Some(wait) => asks.recv_timeout(wait),
                None => asks.recv().map_err(|_| mpsc::RecvTimeoutError::Disconnected),
            };
            match asked {
                Ok(Asked::Peek(reply)) => {
                    let slot = voter.slot(Key::Config).and_then(|slot| slot.accepted.as_ref());
                    let _ = reply.send(slot.map(|accepted| accepted.value.clone()));
                }
                Ok(Asked::Message { from, message, reply }) => {
                    match voter.handle(now(), &from, message).commit(|batch| disk.put(batch)) {
                        Ok(answer) => {
                            let _ = reply.send(answer);
                        }
                        Err(e) => {
                            log::error!("not written: {e}");
                            break;
                        }
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {
                    let out = voter.on_tick(now());
                    if !out.is_empty() && said.send(Said::Ask(out)).is_err() {
                        return;
                    }
                }
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }
}

/// Where the records are, under the folder of the settings.
pub fn folder(data_dir: &Path) -> PathBuf {
    data_dir.join("tally")
}

#[cfg(test)]
mod tests {
    use millpost_quorum::{Key, Write};

    use super::*;

    fn start(folder: PathBuf) -> Start {
        let first = Some(Members::initial("u", ["127.0.0.1:1".into()]));
        Start { me: "127.0.0.1:1".into(), folder, seeds: vec!["127.0.0.1:1".into()], life: 1, first }
    }

    fn spoil(folder: &Path, text: &str) {
        let (disk, _) = disk::read(folder).expect("opened");
        disk.put(&[Write { key: "of nobody".to_owned(), text: text.to_owned() }]).expect("written");
    }

    #[test]
    fn the_last_records_that_could_not_be_read_are_kept_aside() {
        let data = tempfile::tempdir().expect("a folder");
        let start = start(folder(data.path()));
        for text in ["older", "newer"] {
            spoil(&start.folder, text);
            // The store may keep its lock for a moment.
            while start.folder.exists() {
                assert!(open(&start, 0).is_none());
            }
            let records = disk::read_again(&data.path().join("tally.aside"));
            assert_eq!(records, [("of nobody".to_owned(), text.to_owned())]);
        }
        let (_, voter) = open(&start, 0).expect("a new folder");
        assert_eq!(voter.state(), State::Empty);
        assert_eq!(fs::read_dir(data.path()).expect("listed").count(), 2);
    }

    #[test]
    fn too_much_is_not_kept_aside() {
        let data = tempfile::tempdir().expect("a folder");
        let folder = folder(data.path());
        fs::create_dir(&folder).expect("made");
        fs::File::create(folder.join("db")).and_then(|f| f.set_len(ASIDE_MOST + 1)).expect("made");
        put_aside(&folder).expect("put aside");
        assert!(!folder.exists());
        assert_eq!(bytes(&aside(&folder)).expect("read"), 0);
    }

    #[test]
    fn promises_that_were_put_aside_are_not_forgotten_by_a_first_start() {
        let data = tempfile::tempdir().expect("a folder");
        let start = start(folder(data.path()));
        let members = start.first.clone().expect("the first");
        spoil(&start.folder, "x");
        let (said, mut says) = outward::unbounded_channel();
        let voter = VoterThread::start(start, said, Instant::now()).expect("a thread");
        let first = says.blocking_recv();
        assert!(
            matches!(first, Some(Said::Standing { voting: false, .. })),
            "copies before it votes: {first:?}"
        );
        let ballot = millpost_quorum::Ballots::new("127.0.0.1:1", 2).next(0);
        let prepare = Message::Prepare { key: Key::Config, ballot, members };
        let answer = voter.ask("127.0.0.1:1".into(), prepare).blocking_recv();
        assert!(matches!(answer, Ok(None)), "{answer:?}");
    }
}
