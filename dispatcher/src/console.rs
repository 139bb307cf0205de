//! The second address, for the staff: one call to a connection, answered in time however busy the dispatcher is.
//!
//! It has a thread of its own. What the loop is asked for it is given a while to answer; figures are those of the last
//! answer then. Callers are bounded in number and time: one that has not finished its line gives way to those who come.

pub mod line;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use line::{Call, Figures};

/// Callers at once. Their descriptors are set aside.
pub const MOST: usize = 24;
/// A line has come whole by then.
const LINE_WITHIN: Duration = Duration::from_secs(5);
/// With all places taken, one that has not said in this time what it wants leaves.
const PATIENCE: Duration = Duration::from_millis(20);
/// A caller waits one second. The loop has less to answer in.
const FIGURES_WITHIN: Duration = Duration::from_millis(300);
const DONE_WITHIN: Duration = Duration::from_millis(800);
/// An answer has been read by then.
const READ_WITHIN: Duration = Duration::from_secs(1);

/// What the loop is asked.
pub enum Query {
    /// To bring the figures up to date.
    Figures { done: oneshot::Sender<()> },
    /// What it acts on, and how it sees the others; nothing where no roll is kept.
    Standing { done: oneshot::Sender<Option<String>> },
    /// To leave an endpoint out, or to use it again; the answer is a yes, or a no and why. Nobody who gave up waiting
    /// is heeded.
    Maintain { id: String, out: bool, done: oneshot::Sender<Result<(), String>> },
}

/// What the console and the loop share.
#[derive(Clone, Default)]
pub struct Shared(Arc<Mutex<Figures>>);

impl Shared {
    /// The figures, for whoever owns one of them to set.
    pub fn figures(&self) -> MutexGuard<'_, Figures> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whom the console asks.
pub struct ConsoleContext<I> {
    /// This process owns the work and takes messages.
    pub ready: watch::Receiver<bool>,
    pub shared: Shared,
    pub input_tx: mpsc::Sender<I>,
}

impl<I> Clone for ConsoleContext<I> {
    fn clone(&self) -> Self {
        ConsoleContext {
            ready: self.ready.clone(),
            shared: self.shared.clone(),
            input_tx: self.input_tx.clone(),
        }
    }
}

/// Listens, and answers on a thread of its own for as long as the process lives.
///
/// # Errors
/// Where the address can't be listened on.
pub fn open<I: From<Query> + Send + 'static>(
    address: SocketAddr,
    context: ConsoleContext<I>,
) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("console".to_owned()).spawn(move || {
        if let Err(e) = runtime.block_on(serve(listener, context)) {
            eprintln!("console: {e}");
        }
    })?;
    Ok(())
}

async fn serve<I: From<Query> + Send + 'static>(
    listener: std::net::TcpListener,
    context: ConsoleContext<I>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut callers: Vec<Caller> = Vec::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                make_place(&mut callers).await;
                let (context, asked) = (context.clone(), Arc::new(AtomicBool::new(false)));
                let task = tokio::spawn(caller(stream, context, asked.clone()));
                callers.push(Caller { since: Instant::now(), asked, task });
            }
            Err(e) => {
                // Out of descriptors, perhaps: the next try may do better.
                eprintln!("console: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

struct Caller {
    since: Instant,
    /// Its line has come whole: it is owed an answer.
    asked: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

/// Waits until a place is free. With none, the oldest of those that have not said what they want leaves.
async fn make_place(callers: &mut Vec<Caller>) {
    loop {
        callers.retain(|caller| !caller.task.is_finished());
        if callers.len() < MOST {
            return;
        }
        let silent = |caller: &Caller| !caller.asked.load(Ordering::Relaxed);
        match callers.iter().position(silent).map(|place| (place, callers[place].since.elapsed())) {
            Some((place, age)) if age >= PATIENCE => callers.remove(place).task.abort(),
            Some((_, age)) => sleep(PATIENCE - age).await,
            None => sleep(PATIENCE).await,
        }
    }
}

async fn caller<I: From<Query>>(mut stream: TcpStream, context: ConsoleContext<I>, asked: Arc<AtomicBool>) {
    let Ok(Some(line)) = timeout(LINE_WITHIN, read_line(&mut stream)).await else { return };
    asked.store(true, Ordering::Relaxed);
    let answer = match line {
        Ok(line) => match line::call(&line) {
            Ok(call) => context.answer(call).await,
            Err(why) => line::answer(Err(why)),
        },
        Err(why) => line::answer(Err(why)),
    };
    let written = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        // What still comes is read and dropped: a connection closed with bytes unread is reset, and the answer with it.
        let (mut rest, mut read) = ([0; 512], 0);
        while read < 64 * 1024 {
            match stream.read(&mut rest).await? {
                0 => break,
                n => read += n,
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(READ_WITHIN, written).await;
}

/// The first line, without its end: up to a line feed, or to where the caller ended its sending. `None` where it left
/// without a word.
async fn read_line(stream: &mut TcpStream) -> Option<Result<Vec<u8>, &'static str>> {
    let (mut line, mut buffer) = (Vec::new(), [0; 256]);
    loop {
        let n = stream.read(&mut buffer).await.ok()?;
        line.extend_from_slice(&buffer[..n]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Some(Ok(line));
        }
        if n == 0 {
            return (!line.is_empty()).then_some(Ok(line));
        }
        if line.len() > line::LONGEST {
            return Some(Err("the line is too long"));
        }
    }
}

impl<I: From<Query>> ConsoleContext<I> {
    async fn answer(&self, call: Call) -> String {
        match call {
            Call::Health if !*self.ready.borrow() => line::answer(Err("not ready")),
            Call::Health => match self.shared.figures().shut_out {
                Some(kind) => line::answer(Err(&format!("shut out: most find it behind on its {kind}"))),
                None => line::answer(Ok(())),
            },
            Call::Standing => {
                let (done, answered) = oneshot::channel();
                let asked = async {
                    let _ = self.input_tx.send(Query::Standing { done }.into()).await;
                    answered.await.ok().flatten()
                };
                match timeout(DONE_WITHIN, asked).await {
                    Ok(Some(text)) => format!("SUCCESS\n{text}\nEOT\n"),
                    Ok(None) => line::answer(Err("no roll is kept here")),
                    Err(_) => line::answer(Err("not done in time")),
                }
            }
            Call::Counters => {
                let (done, brought) = oneshot::channel();
                let asked = async {
                    let _ = self.input_tx.send(Query::Figures { done }.into()).await;
                    let _ = brought.await;
                };
                let _ = timeout(FIGURES_WITHIN, asked).await;
                self.shared.figures().render()
            }
            Call::Maintain { id, out, .. } => {
                let (done, answered) = oneshot::channel();
                let asked = async {
                    let _ = self.input_tx.send(Query::Maintain { id, out, done }.into()).await;
                    answered.await.unwrap_or_else(|_| Err("nobody decides here any more".to_owned()))
                };
                let answer = timeout(DONE_WITHIN, asked).await;
                let answer = answer.unwrap_or_else(|_| Err("not done in time".to_owned()));
                line::answer(answer.as_ref().copied().map_err(String::as_str))
            }
        }
    }
}
