//! Replacing the process in service, on sockets: the old process listens in the folder that lasts, the new one asks there.
//! What is said, and what follows from it, is in `millpost-handover`.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

use millpost_handover::{Ask, Frame, Reader, VERSION, write};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const NAME: &str = "handover.sock";
/// Who asks has said so by then.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// A word of the other side during the change comes within this time: it reads or writes its whole store meanwhile.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to the other process, one frame at a time.
pub struct FrameStream {
    from: FrameReader,
    to: OwnedWriteHalf,
}

struct FrameReader {
    from: OwnedReadHalf,
    reader: Reader,
}

impl FrameReader {
    /// The next frame; an end or nonsense is an error.
    async fn hear(&mut self) -> io::Result<Frame> {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            if let Some(frame) = self.reader.frame().map_err(io::Error::other)? {
                return Ok(frame);
            }
            match self.from.read(&mut buffer).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.reader.read(&buffer[..n]),
            }
        }
    }
}

impl FrameStream {
    fn new(stream: UnixStream) -> Self {
        let (from, to) = stream.into_split();
        FrameStream { from: FrameReader { from, reader: Reader::default() }, to }
    }

    pub async fn say(&mut self, frame: &Frame) -> io::Result<()> {
        self.to.write_all(&write(frame)).await
    }

    /// The next frame, if it comes in time.
    pub async fn hear_within(&mut self, within: Duration) -> io::Result<Frame> {
        timeout(within, self.from.hear()).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Says what comes through the channel, and tells what is heard; `told` hears `None` once at the end.
    pub fn run<I: Send + 'static>(
        self,
        input_tx: mpsc::Sender<I>,
        heard: impl Fn(Option<Frame>) -> I + Send + 'static,
    ) -> mpsc::UnboundedSender<Frame> {
        let (say, mut to_say) = mpsc::unbounded_channel::<Frame>();
        let FrameStream { mut from, mut to } = self;
        tokio::spawn(async move {
            while let Some(frame) = to_say.recv().await {
                if to.write_all(&write(&frame)).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Ok(frame) = from.hear().await {
                if input_tx.send(heard(Some(frame))).await.is_err() {
                    return;
                }
            }
            let _ = input_tx.send(heard(None)).await;
        });
        say
    }
}

/// The socket's path, through the folder's descriptor: the folder's own may be longer than a socket's may be.
fn path(folder: &File) -> PathBuf {
    Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(NAME)
}

/// Somebody who asks for the work.
pub struct TakeoverRequest(pub FrameStream);

/// Listens for who asks for the work, in the folder that this process owns.
///
/// # Errors
/// Where there can be no socket.
pub fn listen<I: From<TakeoverRequest> + Send + 'static>(
    state: &Path,
    name: String,
    input_tx: mpsc::Sender<I>,
) -> io::Result<tokio::task::AbortHandle> {
    let folder = File::open(state)?;
    // Left by a process that was killed: who owns the folder owns the name.
    match std::fs::remove_file(state.join(NAME)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(path(&folder))?;
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let own = File::open("/proc/self").and_then(|me| me.metadata());
            let same = match (stream.peer_cred(), own) {
                (Ok(peer), Ok(me)) => peer.uid() == std::os::unix::fs::MetadataExt::uid(&me),
                _ => false,
            };
            let mut line = FrameStream::new(stream);
            // One at a time: who says nothing is waited for only so long.
            let asked = line.hear_within(REQUEST_TIMEOUT).await;
            let why = match asked {
                Ok(Frame::Ask(ask)) if ask.version != VERSION => format!("version {VERSION} is spoken here"),
                Ok(Frame::Ask(ask)) if ask.name != name => format!("this is {name}"),
                Ok(Frame::Ask(_)) if !same => "another user's process".to_owned(),
                Ok(Frame::Ask(_)) => {
                    line.from.reader.trust();
                    if input_tx.send(TakeoverRequest(line).into()).await.is_err() {
                        return;
                    }
                    continue;
                }
                _ => continue,
            };
            eprintln!("handover: refused: {why}");
            let _ = line.say(&Frame::No(why)).await;
        }
    });
    Ok(task.abort_handle())
}

/// Asks whoever owns the folder for the work. `None` where nobody listens there, or who does says no for now.
pub async fn ask(state: &Path, name: &str) -> Option<(FrameStream, Box<millpost_handover::Moving>)> {
    let folder = File::open(state).ok()?;
    let stream = UnixStream::connect(path(&folder)).await.ok()?;
    let mut line = FrameStream::new(stream);
    let ask = Ask { version: VERSION, name: name.to_owned() };
    line.say(&Frame::Ask(ask)).await.ok()?;
    line.from.reader.trust();
    match line.hear_within(REPLY_TIMEOUT).await {
        Ok(Frame::Offer(moving)) => Some((line, moving)),
        Ok(Frame::No(why)) => {
            eprintln!("handover: not now: {why}");
            None
        }
        Ok(_) => None,
        Err(e) => {
            eprintln!("handover: {e}");
            None
        }
    }
}
