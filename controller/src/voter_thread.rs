//! Runs the voter on its own thread, because its disk may hang for seconds. The thread handles one message at
//! a time: it writes to disk, then replies.
//!
//! Records that cannot be opened or read are treated as lost: their folder is moved aside, where the last
//! such folder is kept for inspection, and the voter copies its state from the others before it replies to
//! anything. After a failed write the records are read again.

use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use millpost_quorum::{Address, Key, Members, Message, RecoveryProgress, State, Value, Voter};
use snafu::ResultExt;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::disk::{self, RecordStore};
use crate::errors::{Error, ThreadSnafu};

/// Maximum number of messages that wait for the disk.
const QUEUE_LENGTH: usize = 500;
/// Pause before records that could not be opened are opened again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Records larger than this, in bytes, are not kept aside, because the disk must have room for those in use.
const MAX_ASIDE_BYTES: u64 = 32 << 20;

/// A request to the voter thread.
enum VoterRequest {
    /// A message, and the channel for the voter's reply, which is `None` if the voter does not reply.
    Message { from: Address, message: Message, reply: oneshot::Sender<Option<Message>> },
    /// Reads the configuration stored on the disk, chosen or not.
    ReadConfig(oneshot::Sender<Option<Value>>),
}

/// An event of the voter thread.
#[derive(Debug)]
pub enum VoterEvent {
    /// The voter's state and its members, sent when they change.
    Status { voting: bool, members: Option<Members> },
    /// Messages for other voters, whose replies must be sent to this voter.
    Requests(Vec<(Address, Message)>),
}

/// Parameters of a voter.
pub struct VoterOptions {
    pub me: Address,
    pub folder: PathBuf,
    pub seeds: Vec<Address>,
    pub life: u64,
    /// The first members, if the whole system starts on empty disks.
    pub first: Option<Members>,
}

#[cfg(test)]
mod newer;

/// A handle of the voter thread.
#[derive(Clone)]
pub struct VoterThread {
    requests: mpsc::SyncSender<VoterRequest>,
}

impl VoterThread {
    /// Starts the thread.
    pub fn start(
        options: VoterOptions,
        events: async_mpsc::UnboundedSender<VoterEvent>,
        clock: Instant,
    ) -> Result<Self, Error> {
        let (requests, receiver) = mpsc::sync_channel(QUEUE_LENGTH);
        let run = move || run(&options, &receiver, &events, clock);
        thread::Builder::new()
            .name("voter".to_owned())
            .stack_size(512 * 1024)
            .spawn(run)
            .context(ThreadSnafu)?;
        Ok(VoterThread { requests })
    }

    /// Sends a message to the voter and returns the receiver of its reply. If the queue is full because the
    /// disk hangs, the message is dropped and the receiver fails.
    pub fn send(&self, from: Address, message: Message) -> oneshot::Receiver<Option<Message>> {
        let (reply, replied) = oneshot::channel();
        let _ = self.requests.try_send(VoterRequest::Message { from, message, reply });
        replied
    }

    /// Returns a receiver of the configuration stored on the disk, whether it is chosen or not.
    pub fn read_config(&self) -> oneshot::Receiver<Option<Value>> {
        let (reply, replied) = oneshot::channel();
        let _ = self.requests.try_send(VoterRequest::ReadConfig(reply));
        replied
    }
}

/// Returns the folder to which unreadable records are moved.
fn aside_path(folder: &Path) -> PathBuf {
    folder.with_extension("aside")
}

/// Returns the size of all files under a folder, in bytes.
fn size_of_files(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        sum +=
            if entry.file_type()?.is_dir() { size_of_files(&entry.path())? } else { entry.metadata()?.len() };
    }
    Ok(sum)
}

/// Moves the records aside, replacing older ones there, and syncs the parent folder: later writes must never
/// mix with the records that were moved.
fn move_aside(folder: &Path) -> io::Result<()> {
    let to = aside_path(folder);
    match fs::remove_dir_all(&to) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    fs::rename(folder, &to)?;
    let size = size_of_files(&to)?;
    if size > MAX_ASIDE_BYTES {
        log::warn!("deleting unreadable records instead of keeping them aside: {size} bytes");
        // The empty folder remains to show that there were records.
        fs::remove_dir_all(&to)?;
        fs::create_dir(&to)?;
    }
    folder.parent().map_or(Ok(()), |parent| fs::File::open(parent)?.sync_all())
}

/// Opens the records, or moves them aside if they are unreadable.
fn open(options: &VoterOptions, now: u64) -> Option<(RecordStore, Voter)> {
    let set_aside = |why: &str| {
        log::error!("moving unreadable records aside, copying from the other voters: {why}");
        if let Err(e) = move_aside(&options.folder) {
            log::error!("cannot move {} aside: {e}", options.folder.display());
        }
    };
    let (disk, records) = match disk::read(&options.folder) {
        Ok(read) => read,
        Err(e) => {
            // A disk that is full or hangs does not mean that the records are corrupt.
            let text = e.to_string();
            if options.folder.exists() && text.contains("orrupt") {
                set_aside(&text);
            } else {
                log::error!("cannot open the voter's records: {text}");
            }
            return None;
        }
    };
    match Voter::open(options.me.clone(), records, options.seeds.clone(), options.life, now) {
        Ok(voter) => Some((disk, voter)),
        // The records are valid, but of a newer format: they are kept for the program that wrote them.
        Err(e @ millpost_quorum::OpenError::Newer { .. }) => {
            static ONCE: std::sync::Once = std::sync::Once::new();
            ONCE.call_once(|| log::error!("not voting: {}: {e}", options.folder.display()));
            None
        }
        Err(e) => {
            drop(disk);
            set_aside(&e.to_string());
            None
        }
    }
}

/// Opens the records. A store that takes much more than they need, as versions before format 3 left it, is replaced by
/// a new one first.
fn open_and_shrink(options: &VoterOptions, now: u64) -> Option<(RecordStore, Voter)> {
    let (disk, voter) = open(options, now)?;
    let Some(records) = voter.records().filter(|records| disk.is_oversized(records)) else {
        return Some((disk, voter));
    };
    log::info!("replacing the voter's store, which takes much more than its records need");
    if let Err(e) = disk.rewrite(&records) {
        log::error!("cannot replace the voter's store: {e}");
    }
    open(options, now)
}

fn log_progress(progress: &RecoveryProgress) {
    let RecoveryProgress { received, missing, needed } = progress;
    log::info!(
        "no state yet: copied from {} of {needed} voters [{}], missing [{}]",
        received.len(),
        received.join(" "),
        missing.join(" ")
    );
}

fn run(
    options: &VoterOptions,
    requests: &mpsc::Receiver<VoterRequest>,
    events: &async_mpsc::UnboundedSender<VoterEvent>,
    clock: Instant,
) {
    let now = || clock.elapsed().as_nanos() as u64;
    let mut reported: Option<(bool, Option<Members>)> = None;
    let mut logged_progress = None;
    loop {
        let Some((disk, mut voter)) = open_and_shrink(options, now()) else {
            if let Some((voting @ true, members)) = &mut reported {
                *voting = false;
                let status = VoterEvent::Status { voting: false, members: members.clone() };
                if events.send(status).is_err() {
                    return;
                }
            }
            thread::sleep(OPEN_RETRY_DELAY);
            // Requests that arrived meanwhile get no reply.
            while requests.try_recv().is_ok() {}
            continue;
        };
        // Records that were moved aside may have contained promises, so this does not count as a first start.
        if let Some(first) = &options.first
            && !aside_path(&options.folder).exists()
            && let Err(e) = voter.bootstrap(first.clone()).commit(|batch| disk.put(batch))
        {
            log::error!("cannot write the first members: {e}");
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
                            log::error!("cannot write the voter's records: {e}");
                            break;
                        }
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {
                    let out = voter.on_tick(now());
                    if let Some(progress) = voter.recovery_progress()
                        && logged_progress.as_ref() != Some(&progress)
                    {
                        log_progress(&progress);
                        logged_progress = Some(progress);
                    }
                    if !out.is_empty() && events.send(VoterEvent::Requests(out)).is_err() {
                        return;
                    }
                }
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
        }
    }
}

/// Returns the folder of the voter's records under the data directory.
pub fn folder(data_dir: &Path) -> PathBuf {
    data_dir.join("tally")
}

#[cfg(test)]
mod tests {
    use millpost_quorum::{Key, Write};

    use super::*;

    fn options_in(folder: PathBuf) -> VoterOptions {
        let first = Some(Members::initial("u", ["127.0.0.1:1".into()]));
        VoterOptions { me: "127.0.0.1:1".into(), folder, seeds: vec!["127.0.0.1:1".into()], life: 1, first }
    }

    fn write_invalid_record(folder: &Path, text: &str) {
        let (disk, _) = disk::read(folder).expect("opened");
        disk.put(&[Write { key: "of nobody".to_owned(), text: text.to_owned() }]).expect("written");
    }

    #[test]
    fn the_last_unreadable_records_are_kept_aside() {
        let data = tempfile::tempdir().expect("a folder");
        let options = options_in(folder(data.path()));
        for text in ["older", "newer"] {
            write_invalid_record(&options.folder, text);
            // The store may hold its lock for a moment longer.
            while options.folder.exists() {
                assert!(open(&options, 0).is_none());
            }
            let records = disk::read_after_close(&data.path().join("tally.aside"));
            assert_eq!(records, [("of nobody".to_owned(), text.to_owned())]);
        }
        let (_, voter) = open(&options, 0).expect("a new folder");
        assert_eq!(voter.state(), State::Empty);
        assert_eq!(fs::read_dir(data.path()).expect("listed").count(), 2);
    }

    /// Guards against a store that is replaced by one in parts, whose records still name a format that earlier versions
    /// read: these would take the parts for damage, and the disk for lost.
    #[test]
    fn replaced_store_has_the_format_of_its_records() {
        let data = tempfile::tempdir().expect("a folder");
        let options = options_in(folder(data.path()));
        let (disk, mut voter) = open(&options, 0).expect("opened");
        let members = options.first.clone().expect("the first");
        voter.bootstrap(members.clone()).commit(|batch| disk.put(batch)).expect("put");
        let format = |disk: &RecordStore| {
            let (_, voter) = disk.records().expect("read").pop().expect("the record of the voter");
            (1..4).find(|n| voter.contains(&format!(r#""format":"{n}""#)))
        };
        assert_eq!(format(&disk), Some(1));
        let (key, ballot) = (Key::Config, millpost_quorum::Ballots::new("127.0.0.1:1", 2).next(0));
        let value = Value { version: 1, content: "x".repeat(20_000).into() };
        let write = Message::Write { key, ballot, value, members: members.clone() };
        // Written by a version that knew no parts.
        let mut records = Vec::new();
        let step = voter.handle(0, "127.0.0.1:1", write);
        let keep = |batch: &[Write]| {
            records.extend_from_slice(batch);
            Ok::<_, ()>(())
        };
        step.commit(keep).expect("committed");
        let config = records.into_iter().find(|record| record.key == "key/config").expect("a record");
        drop(disk);
        let db = sled::open(&options.folder).expect("opened");
        db.insert(config.key.as_bytes(), config.text.as_bytes()).expect("inserted");
        db.flush().expect("flushed");
        drop(db);
        fs::create_dir_all(options.folder.join("blobs")).expect("there");
        fs::write(options.folder.join("blobs").join("1"), "of an earlier write").expect("written");
        let (disk, mut voter) = open_and_shrink(&options, 0).expect("opened");
        assert!(!options.folder.join("blobs").join("1").exists());
        assert_eq!(format(&disk), Some(3));
        assert_eq!(voter.slot(key).and_then(|slot| slot.accepted.as_ref()).map(|a| a.value.version), Some(1));
        // It stays so when the members change.
        let (key, ballot) = (Key::Members, millpost_quorum::Ballots::new("127.0.0.1:1", 3).next(0));
        let next = members.joint(vec!["127.0.0.1:1".into(), "127.0.0.1:2".into()]);
        let prepare = Message::Prepare { key, ballot, members: next };
        voter.handle(0, "127.0.0.1:1", prepare).commit(|batch| disk.put(batch)).expect("put");
        assert_eq!(format(&disk), Some(3));
    }

    /// Guards against a voter that goes on to say that it votes while it can't open its store.
    #[test]
    fn voter_that_cannot_open_its_store_does_not_say_that_it_votes() {
        let data = tempfile::tempdir().expect("a folder");
        let options = options_in(folder(data.path()));
        let (folder, members) = (options.folder.clone(), options.first.clone().expect("the first"));
        let (events, mut received) = async_mpsc::unbounded_channel();
        let voter = VoterThread::start(options, events, Instant::now()).expect("a thread");
        let mut votes = || {
            let begun = Instant::now();
            while begun.elapsed() < Duration::from_secs(20) {
                if let Ok(VoterEvent::Status { voting, members }) = received.try_recv() {
                    return Some((voting, members.is_some()));
                }
                thread::sleep(Duration::from_millis(5));
            }
            None
        };
        assert_eq!(votes(), Some((true, true)));
        // The next write fails, and so does each opening after it.
        fs::rename(&folder, data.path().join("elsewhere")).expect("moved");
        fs::write(&folder, "not a folder").expect("written");
        let ballot = millpost_quorum::Ballots::new("127.0.0.1:1", 2).next(0);
        let prepare = Message::Prepare { key: Key::Config, ballot, members };
        assert!(voter.send("127.0.0.1:1".into(), prepare).blocking_recv().is_err());
        assert_eq!(votes(), Some((false, true)));
        fs::remove_file(&folder)
            .and_then(|()| fs::rename(data.path().join("elsewhere"), &folder))
            .expect("back");
        assert_eq!(votes(), Some((true, true)));
    }

    #[test]
    fn large_records_are_not_kept_aside() {
        let data = tempfile::tempdir().expect("a folder");
        let folder = folder(data.path());
        fs::create_dir(&folder).expect("created");
        fs::File::create(folder.join("db")).and_then(|f| f.set_len(MAX_ASIDE_BYTES + 1)).expect("created");
        move_aside(&folder).expect("moved aside");
        assert!(!folder.exists());
        assert_eq!(size_of_files(&aside_path(&folder)).expect("read"), 0);
    }

    #[test]
    fn moving_records_aside_prevents_a_first_start() {
        let data = tempfile::tempdir().expect("a folder");
        let options = options_in(folder(data.path()));
        let members = options.first.clone().expect("the first");
        write_invalid_record(&options.folder, "x");
        let (events, mut received) = async_mpsc::unbounded_channel();
        let voter = VoterThread::start(options, events, Instant::now()).expect("a thread");
        let first = received.blocking_recv();
        assert!(
            matches!(first, Some(VoterEvent::Status { voting: false, .. })),
            "must copy before it votes: {first:?}"
        );
        let ballot = millpost_quorum::Ballots::new("127.0.0.1:1", 2).next(0);
        let prepare = Message::Prepare { key: Key::Config, ballot, members };
        let answer = voter.send("127.0.0.1:1".into(), prepare).blocking_recv();
        assert!(matches!(answer, Ok(None)), "{answer:?}");
    }
}
