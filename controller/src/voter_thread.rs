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
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::disk::{self, RecordStore};
use crate::errors::{Error, ThreadSnafu};

/// Messages that may wait for the disk.
const QUEUE_LENGTH: usize = 500;
/// Pause between two tries to open a disk that does not open.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Records that take more bytes than this are not kept aside: the disk must have room for those in use.
const MAX_ASIDE_BYTES: u64 = 32 << 20;

/// What the voter is asked.
enum VoterRequest {
    /// A message, and where its answer goes: none where it says nothing.
    Message { from: Address, message: Message, reply: oneshot::Sender<Option<Message>> },
    /// The configuration that stands on this disk, chosen or not.
    ReadConfig(oneshot::Sender<Option<Value>>),
}

/// What the voter wants the others asked, and what is known of it.
#[derive(Debug)]
pub enum VoterEvent {
    /// Its state and the members it knows, when they change.
    Status { voting: bool, members: Option<Members> },
    /// For others; their answers come back as messages.
    Requests(Vec<(Address, Message)>),
}

/// What a voter starts from.
pub struct VoterOptions {
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
    requests: mpsc::SyncSender<VoterRequest>,
}

impl VoterThread {
    /// Starts the thread.
    pub fn start(
        start: VoterOptions,
        events: async_mpsc::UnboundedSender<VoterEvent>,
        clock: Instant,
    ) -> Result<Self, Error> {
        let (requests, receiver) = mpsc::sync_channel(QUEUE_LENGTH);
        let run = move || run(&start, &receiver, &events, clock);
        thread::Builder::new()
            .name("voter".to_owned())
            .stack_size(512 * 1024)
            .spawn(run)
            .context(ThreadSnafu)?;
        Ok(VoterThread { requests })
    }

    /// Hands a message over. Where the disk hangs and too much waits it is dropped, and its answer with it.
    pub fn send(&self, from: Address, message: Message) -> oneshot::Receiver<Option<Message>> {
        let (reply, replied) = oneshot::channel();
        let _ = self.requests.try_send(VoterRequest::Message { from, message, reply });
        replied
    }

    /// The configuration that stands on this disk, whether it is chosen or not.
    pub fn read_config(&self) -> oneshot::Receiver<Option<Value>> {
        let (reply, replied) = oneshot::channel();
        let _ = self.requests.try_send(VoterRequest::ReadConfig(reply));
        replied
    }
}

/// Where records that can't be read are put: one such folder is kept.
fn aside_path(folder: &Path) -> PathBuf {
    folder.with_extension("aside")
}

/// The bytes of all files under a folder.
fn size_of_files(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        sum +=
            if entry.file_type()?.is_dir() { size_of_files(&entry.path())? } else { entry.metadata()?.len() };
    }
    Ok(sum)
}

/// Puts the records aside, in the place of older ones. It lasts: what is written from then on never meets what was there before.
fn move_aside(folder: &Path) -> io::Result<()> {
    let to = aside_path(folder);
    match fs::remove_dir_all(&to) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    fs::rename(folder, &to)?;
    let size = size_of_files(&to)?;
    if size > MAX_ASIDE_BYTES {
        log::warn!("{size} bytes of records are too many to be kept aside");
        // The folder itself stays, as a sign that there were records.
        fs::remove_dir_all(&to)?;
        fs::create_dir(&to)?;
    }
    folder.parent().map_or(Ok(()), |parent| fs::File::open(parent)?.sync_all())
}

/// Opens the records, or puts aside what can't be read.
fn open(start: &VoterOptions, now: u64) -> Option<(RecordStore, Voter)> {
    let set_aside = |why: &str| {
        log::error!("the records are put aside, and copied from the others: {why}");
        if let Err(e) = move_aside(&start.folder) {
            log::error!("{}: not put aside: {e}", start.folder.display());
        }
    };
    let (disk, records) = match disk::read(&start.folder) {
        Ok(read) => read,
        Err(e) => {
            // A disk that is full or hangs is not one that is broken.
            let text = e.to_string();
            if start.folder.exists() && text.contains("orrupt") {
                set_aside(&text);
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
            set_aside(&e.to_string());
            None
        }
    }
}

fn run(
    start: &VoterOptions,
    requests: &mpsc::Receiver<VoterRequest>,
    events: &async_mpsc::UnboundedSender<VoterEvent>,
    clock: Instant,
) {
    let now = || clock.elapsed().as_nanos() as u64;
    let mut reported = None;
    loop {
        let Some((disk, mut voter)) = open(start, now()) else {
            thread::sleep(OPEN_RETRY_DELAY);
            // What waited is answered by nobody.
            while requests.try_recv().is_ok() {}
            continue;
        };
        // Records that were put aside made promises: this is no first start any more.
        if let Some(first) = &start.first
            && !aside_path(&start.folder).exists()
            && let Err(e) = voter.bootstrap(first.clone()).commit(|batch| disk.put(batch))
        {
            log::error!("{e}");
            continue;
        }
        loop {
            let status = (voter.state() == State::Voting, voter.members().cloned());
            if reported.as_ref() != Some(&status) {
                reported = Some(status.clone());
                let (voting, members) = status;
                if events.send(VoterEvent::Status { voting, members }).is_err() {
                    return;
                }
            }
            let due = voter.next_wake().map(|at| Duration::from_nanos(at.saturating_sub(now())));
            let request = match due {
                Some(wait) => requests.recv_timeout(wait),
                None => requests.recv().map_err(|_| mpsc::RecvTimeoutError::Disconnected),
            };
            match request {
                Ok(VoterRequest::ReadConfig(reply)) => {
                    let slot = voter.slot(Key::Config).and_then(|slot| slot.accepted.as_ref());
                    let _ = reply.send(slot.map(|accepted| accepted.value.clone()));
                }
                Ok(VoterRequest::Message { from, message, reply }) => {
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
                    if !out.is_empty() && events.send(VoterEvent::Requests(out)).is_err() {
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

    fn start(folder: PathBuf) -> VoterOptions {
        let first = Some(Members::initial("u", ["127.0.0.1:1".into()]));
        VoterOptions { me: "127.0.0.1:1".into(), folder, seeds: vec!["127.0.0.1:1".into()], life: 1, first }
    }

    fn write_invalid_record(folder: &Path, text: &str) {
        let (disk, _) = disk::read(folder).expect("opened");
        disk.put(&[Write { key: "of nobody".to_owned(), text: text.to_owned() }]).expect("written");
    }

    #[test]
    fn the_last_records_that_could_not_be_read_are_kept_aside() {
        let data = tempfile::tempdir().expect("a folder");
        let start = start(folder(data.path()));
        for text in ["older", "newer"] {
            write_invalid_record(&start.folder, text);
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
        fs::File::create(folder.join("db")).and_then(|f| f.set_len(MAX_ASIDE_BYTES + 1)).expect("made");
        move_aside(&folder).expect("put aside");
        assert!(!folder.exists());
        assert_eq!(size_of_files(&aside_path(&folder)).expect("read"), 0);
    }

    #[test]
    fn promises_that_were_put_aside_are_not_forgotten_by_a_first_start() {
        let data = tempfile::tempdir().expect("a folder");
        let start = start(folder(data.path()));
        let members = start.first.clone().expect("the first");
        write_invalid_record(&start.folder, "x");
        let (events, mut received) = async_mpsc::unbounded_channel();
        let voter = VoterThread::start(start, events, Instant::now()).expect("a thread");
        let first = received.blocking_recv();
        assert!(
            matches!(first, Some(VoterEvent::Status { voting: false, .. })),
            "copies before it votes: {first:?}"
        );
        let ballot = millpost_quorum::Ballots::new("127.0.0.1:1", 2).next(0);
        let prepare = Message::Prepare { key: Key::Config, ballot, members };
        let answer = voter.send("127.0.0.1:1".into(), prepare).blocking_recv();
        assert!(matches!(answer, Ok(None)), "{answer:?}");
    }
}
