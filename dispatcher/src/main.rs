//! The millpost dispatcher: takes messages from clients, and delivers them to partners' endpoints.

mod calls;
mod config;
mod discovery;
mod driver;
mod intake;
mod journal;
mod link;
mod notices;
mod peers;
mod room;
mod written;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use driver::{Driver, Input, Parts};
use intake::Phase;

/// After SIGTERM new connections still come for a while; so long, kept ones are answered as usual.
const LEAVE: Duration = Duration::from_millis(700);
/// When the driver stops after SIGTERM, before a SIGKILL can come.
const STOP: Duration = Duration::from_millis(3_300);
const LAST: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Config(#[from] config::Error),
    #[error(transparent)]
    Journal(#[from] journal::Error),
    #[error("the driver has ended")]
    Driver,
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("millpost-dispatcher: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve())
}

async fn serve() -> Result<(), Error> {
    let config = config::read()?;
    let (mut term, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let (journal, found) = journal::Journal::open(&config.state, (config.limits.disk_mb * 1e6) as u64)?;
    if !found.is_empty() {
        eprintln!("the journal holds {} messages", found.len());
    }
    let settings = config.settings.clone();

    // Half of the descriptors are for clients; the rest for calls, and a few for all else.
    let clients = (config.limits.sockets / 2).max(1);
    let idle = (config.limits.sockets - clients).saturating_sub(2 * settings.slots + 32).max(8);

    let (told, inputs) = mpsc::channel(1024);
    let (notices, due) = mpsc::channel(256);
    let peers = match (settings.allow.notes, config.peer_listen, config.peers_all) {
        (true, Some(listen), Some(all)) => {
            // Notes are a help, no need: without them the dispatcher serves all the same.
            let opened = peers::Peers::open(listen, config.peers, all, told.clone()).await;
            opened.inspect_err(|e| eprintln!("peers: {e}")).ok()
        }
        _ => None,
    };
    let driver = Driver::new(Parts {
        calls: calls::Calls::new(idle, settings.keepalive, settings.connect_timeout, told.clone()),
        settings: settings.clone(),
        shape: config.shape.clone(),
        seed: config.seed,
        journal,
        found,
        known: config.known,
        peers,
        notices,
    });
    let listener = TcpListener::bind(config.listen).await?;
    let mut driver = tokio::spawn(driver.run(inputs));
    let (address, addresses) = watch::channel(config.discovery);
    tokio::spawn(discovery::watch(link::Agent::new(addresses.clone()), told.clone()));
    tokio::spawn(notices::send(link::Agent::new(addresses), due, told.clone()));
    tokio::spawn(reload(hangup, address));
    let (phase, phases) = watch::channel(Phase::Serving);
    let (shape, told_by_clients) = (config.shape, told.clone());
    let intake = tokio::spawn(async move {
        intake::serve(listener, clients, &settings, &shape, told_by_clients, phases).await;
    });

    tokio::select! {
        _ = term.recv() => {}
        // Never without being told to: better a restart than a process that answers and does nothing.
        _ = &mut driver => return Err(Error::Driver),
    }
    eprintln!("told to stop");
    let _ = told.send(Input::Stop { after: STOP }).await;
    let _ = phase.send(Phase::Leaving);
    sleep(LEAVE).await;
    let _ = phase.send(Phase::Closing);
    let _ = timeout(STOP, &mut driver).await;
    // Whoever is still being read from is told to go elsewhere; then the connections end.
    let _ = phase.send(Phase::Closed);
    let _ = timeout(LAST, intake).await;
    eprintln!("stopped");
    Ok(())
}

/// At SIGHUP the configuration is read again, also while the process stops. Discovery may have a new address;
/// all else holds until the next start. With a file that can't be read the old one stays.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match config::read() {
            Ok(config) => {
                eprintln!("configuration read again: discovery is at {}", config.discovery);
                let new = |old: &mut SocketAddr| std::mem::replace(old, config.discovery) != config.discovery;
                discovery.send_if_modified(new);
            }
            Err(e) => eprintln!("the configuration stays as it was: {e}"),
        }
    }
}
