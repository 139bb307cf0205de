//! Transport for replacing a running process: the old process listens on a Unix socket in the state folder,
//! to which the new one connects. The protocol is implemented in `millpost-handover`.

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

const SOCKET_NAME: &str = "handover.sock";
/// Time limit for receiving the request on a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a frame of the other side during the handover, while it reads or writes its whole store.
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
    /// Reads the next frame. The end of the stream and malformed data are errors.
    async fn receive(&mut self) -> io::Result<Frame> {
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

    pub async fn send(&mut self, frame: &Frame) -> io::Result<()> {
        self.to.write_all(&write(frame)).await
    }

    /// Reads the next frame, with a timeout.
    pub async fn receive_within(&mut self, within: Duration) -> io::Result<Frame> {
        timeout(within, self.from.receive()).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Spawns tasks that write the frames from the returned channel and forward received frames to
    /// `input_tx`, with a final `None` when the connection ends.
    pub fn spawn<I: Send + 'static>(
        self,
        input_tx: mpsc::Sender<I>,
        to_input: impl Fn(Option<Frame>) -> I + Send + 'static,
    ) -> mpsc::UnboundedSender<Frame> {
        let (frame_tx, mut frame_rx) = mpsc::unbounded_channel::<Frame>();
        let FrameStream { mut from, mut to } = self;
        tokio::spawn(async move {
            while let Some(frame) = frame_rx.recv().await {
                if to.write_all(&write(&frame)).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(async move {
            while let Ok(frame) = from.receive().await {
                if input_tx.send(to_input(Some(frame))).await.is_err() {
                    return;
                }
            }
            let _ = input_tx.send(to_input(None)).await;
        });
        frame_tx
    }
}

/// The path of the socket through the folder's descriptor, because the path of the folder may exceed the
/// limit for socket addresses.
fn path(folder: &File) -> PathBuf {
    Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(SOCKET_NAME)
}

/// Another process's request to take over, and the connection to it.
pub struct TakeoverRequest(pub FrameStream);

/// Listens for takeover requests in the state folder, which this process owns.
///
/// # Errors
/// If the socket cannot be created.
pub fn listen<I: From<TakeoverRequest> + Send + 'static>(
    state: &Path,
    name: String,
    input_tx: mpsc::Sender<I>,
) -> io::Result<tokio::task::AbortHandle> {
    let folder = File::open(state)?;
    // A killed process may have left its socket; the owner of the folder may remove it.
    match std::fs::remove_file(state.join(SOCKET_NAME)) {
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
            // Connections are handled one at a time, so a silent one is dropped after the timeout.
            let asked = line.receive_within(REQUEST_TIMEOUT).await;
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
            eprintln!("handover: refused a takeover request: {why}");
            let _ = line.send(&Frame::No(why)).await;
        }
    });
    Ok(task.abort_handle())
}

/// Requests the work from the owner of the folder. Returns `None` if no process listens there or it declines
/// for now.
pub async fn request_takeover(
    state: &Path,
    name: &str,
) -> Option<(FrameStream, Box<millpost_handover::Moving>)> {
    let folder = File::open(state).ok()?;
    let stream = UnixStream::connect(path(&folder)).await.ok()?;
    let mut line = FrameStream::new(stream);
    let ask = Ask { version: VERSION, name: name.to_owned() };
    line.send(&Frame::Ask(ask)).await.ok()?;
    line.from.reader.trust();
    match line.receive_within(REPLY_TIMEOUT).await {
        Ok(Frame::Offer(moving)) => Some((line, moving)),
        Ok(Frame::No(why)) => {
            eprintln!("handover: the current owner declined: {why}");
            None
        }
        Ok(_) => None,
        Err(e) => {
            eprintln!("handover: no valid reply from the current owner: {e}");
            None
        }
    }
}
