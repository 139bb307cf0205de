//! The operators' console on a separate address: one command per connection, answered in bounded time however
//! busy the dispatcher is.
//!
//! It runs on its own thread. Queries to the driver have a time limit; if the driver does not answer in time,
//! the latest figures are returned. The number and duration of connections are limited: one that has not sent
//! its line yet is dropped in favour of new ones.

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

/// Maximum number of concurrent connections, for which descriptors are reserved.
pub const MAX_CALLERS: usize = 24;
/// Time limit for receiving a command line.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// At the connection limit, a connection may be dropped if it has not sent its line within this time.
const MIN_LINE_TIME: Duration = Duration::from_millis(20);
/// Callers wait one second for an answer; the driver has less time.
const FIGURES_TIMEOUT: Duration = Duration::from_millis(300);
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for writing the answer and for the caller to close the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A query or command to the driver.
pub enum Query {
    /// Update the figures.
    Figures { done: oneshot::Sender<()> },
    /// Report the versions that this dispatcher uses and its view of the others, in JSON; `None` if versions
    /// are not tracked.
    Standing { done: oneshot::Sender<Option<String>> },
    /// Cordon (`out`) or uncordon an endpoint. Ignored if the caller has stopped waiting for the answer.
    Maintain { id: String, out: bool, done: oneshot::Sender<Result<(), String>> },
}

/// The figures shared between the console and the other components.
#[derive(Clone, Default)]
pub struct Shared(Arc<Mutex<Figures>>);

impl Shared {
    /// Locks the figures; each component sets its own.
    pub fn figures(&self) -> MutexGuard<'_, Figures> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The state and channel that the console uses to answer commands.
pub struct ConsoleContext<I> {
    /// Whether this process owns the store and accepts messages.
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

/// Starts the console on its own thread, for the lifetime of the process.
///
/// # Errors
/// If it cannot listen on the address.
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
                make_space(&mut callers).await;
                let (context, asked) = (context.clone(), Arc::new(AtomicBool::new(false)));
                let task = tokio::spawn(handle_caller(stream, context, asked.clone()));
                callers.push(Caller { since: Instant::now(), asked, task });
            }
            Err(e) => {
                // Possibly out of descriptors; retries after a short delay.
                eprintln!("console: accepting a connection failed: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

struct Caller {
    since: Instant,
    /// Its line is complete, so it must be answered.
    asked: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

/// Waits until there is space for another connection. At the limit, drops the oldest one that has not sent
/// its line.
async fn make_space(callers: &mut Vec<Caller>) {
    loop {
        callers.retain(|caller| !caller.task.is_finished());
        if callers.len() < MAX_CALLERS {
            return;
        }
        let silent = |caller: &Caller| !caller.asked.load(Ordering::Relaxed);
        match callers.iter().position(silent).map(|index| (index, callers[index].since.elapsed())) {
            Some((index, age)) if age >= MIN_LINE_TIME => callers.remove(index).task.abort(),
            Some((_, age)) => sleep(MIN_LINE_TIME - age).await,
            None => sleep(MIN_LINE_TIME).await,
        }
    }
}

async fn handle_caller<I: From<Query>>(
    mut stream: TcpStream,
    context: ConsoleContext<I>,
    asked: Arc<AtomicBool>,
) {
    let Ok(Some(line)) = timeout(LINE_TIMEOUT, read_line(&mut stream)).await else { return };
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
        // Discards further input: closing a connection with unread data resets it, and the answer could be
        // lost.
        let (mut rest, mut read) = ([0; 512], 0);
        while read < 64 * 1024 {
            match stream.read(&mut rest).await? {
                0 => break,
                n => read += n,
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(WRITE_TIMEOUT, written).await;
}

/// Reads the first line, without its terminator: up to a line feed or the end of input. `None` if the caller
/// sent nothing.
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
        if line.len() > line::MAX_LINE {
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
                let query = async {
                    let _ = self.input_tx.send(Query::Standing { done }.into()).await;
                    answered.await.ok().flatten()
                };
                match timeout(QUERY_TIMEOUT, query).await {
                    Ok(Some(text)) => format!("SUCCESS\n{text}\nEOT\n"),
                    Ok(None) => line::answer(Err("no roll is kept here")),
                    Err(_) => line::answer(Err("not done in time")),
                }
            }
            Call::Counters => {
                let (done, updated) = oneshot::channel();
                let query = async {
                    let _ = self.input_tx.send(Query::Figures { done }.into()).await;
                    let _ = updated.await;
                };
                let _ = timeout(FIGURES_TIMEOUT, query).await;
                self.shared.figures().render()
            }
            Call::Maintain { id, out, .. } => {
                let (done, answered) = oneshot::channel();
                let query = async {
                    let _ = self.input_tx.send(Query::Maintain { id, out, done }.into()).await;
                    answered.await.unwrap_or_else(|_| Err("nobody decides here any more".to_owned()))
                };
                let answer = timeout(QUERY_TIMEOUT, query).await;
                let answer = answer.unwrap_or_else(|_| Err("not done in time".to_owned()));
                line::answer(answer.as_ref().copied().map_err(String::as_str))
            }
        }
    }
}
