//! The millpost dispatcher: takes messages from clients, and delivers them to partners' endpoints.

mod batch;
mod calls;
mod clock;
mod config;
mod console;
mod cordons;
mod discovery;
mod driver;
mod intake;
mod link;
mod meter;
mod notices;
mod options;
mod peers;
mod record;
mod retry;
mod room;
mod roster;
mod written;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use millpost_store::{Disk, Ledger, journal, ledger};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

use clock::wall_now;
use config::Config;
use driver::{Descriptors, Driver, Input, Parts, Settle};
use intake::{Front, Phase};
use options::{Asked, Options};

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
    Options(#[from] options::Error),
    #[error("store: {0}")]
    Store(#[from] millpost_store::Error),
    #[error("store: {0}")]
    Folder(io::Error),
    #[error("console: {0}: {1}")]
    Console(SocketAddr, io::Error),
    #[error("settings: {0}")]
    NotSettled(&'static str),
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
    let options = match options::asked()? {
        Asked::Help => {
            println!("{}", options::HELP);
            return Ok(());
        }
        Asked::Check(options) => {
            let config = config::read()?;
            println!("the configuration is good: {} listens on {}", config.name, config.listen);
            println!("{options}");
            return Ok(());
        }
        Asked::Run(options) => options,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(options))
}

/// Opens the store; what an old journal holds moves in at the first start.
fn open_store(config: &Config, options: &Options) -> Result<(Ledger<Disk>, ledger::Opened), Error> {
    let limit = (config.limits.disk_mb * 1e6) as u64;
    let folder = Disk::open(&config.state).map_err(Error::Folder)?;
    let file = |name| config.state.join(name);
    let old = match std::fs::read(file(journal::FILE)) {
        Ok(data) => Some(Bytes::from(data)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => return Err(Error::Folder(e)),
    };
    remove(&file(journal::NEW_FILE))?;
    // Both are there for a while, and take room together.
    let room = limit.saturating_sub(old.as_ref().map_or(0, |data| data.len().next_multiple_of(512) as u64));
    let store = millpost_store::Options::new(room, options.durability);
    let fresh_id = wall_now() ^ config.seed;
    let (mut ledger, opened) =
        Ledger::open(folder, store, wall_now(), fresh_id, old.as_ref().map(journal::read))?;
    remove(&file(journal::FILE))?;
    ledger.store_mut().set_limit(limit);
    if opened.moved > 0 {
        eprintln!("store: {} messages of the old journal moved in", opened.moved);
    }
    for damage in &opened.recovery.damage {
        eprintln!("store: {damage}; any message from before may have run");
    }
    if !opened.found.is_empty() {
        eprintln!("the store holds {} messages", opened.found.len());
    }
    Ok((ledger, opened))
}

fn remove(file: &Path) -> Result<(), Error> {
    match std::fs::remove_file(file) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(Error::Folder(e)),
        _ => Ok(()),
    }
}

async fn serve(options: Options) -> Result<(), Error> {
    let config = config::read()?;
    let (mut term, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let (told, inputs) = mpsc::channel(1024);
    let shared = console::Shared::default();
    // Before anything is owned: who can't be asked in service is no start.
    let (ready, is_ready) = watch::channel(false);
    if let Some(address) = config.console {
        let desk = console::Desk { ready: is_ready, shared: shared.clone(), told: told.clone() };
        console::open(address, desk).map_err(|e| Error::Console(address, e))?;
    }
    let (ledger, opened) = open_store(&config, &options)?;
    let settings = config.settings.clone();
    let index = Some(config.known.index).filter(|_| !config.known.endpoints.is_empty());

    let descriptors = Descriptors::new(config.limits.sockets, config.console.is_some());
    let idle = descriptors.idle(settings.slots);
    let (front, fronts) = watch::channel(Front::default());

    let (notices, due) = mpsc::channel(256);
    let peers = match (settings.allow.notes, config.peer_listen, config.peers_all) {
        (true, Some(listen), Some(all)) => {
            // Notes are a help, no need: without them the dispatcher serves all the same.
            let opened = peers::Peers::open(listen, config.peers.clone(), all, told.clone()).await;
            opened.inspect_err(|e| eprintln!("peers: {e}")).ok()
        }
        _ => None,
    };
    let driver = Driver::new(Parts {
        calls: calls::Calls::new(idle, settings.keepalive, settings.connect_timeout, told.clone()),
        settings: settings.clone(),
        shape: config.shape.clone(),
        front,
        descriptors,
        seed: config.seed,
        ledger,
        found: opened.found,
        latest: opened.latest,
        told: told.clone(),
        source: config.discovery,
        known: config.known.clone(),
        peers,
        notices,
        shared: shared.clone(),
    });
    let listener = TcpListener::bind(config.listen).await?;
    let mut driver = tokio::spawn(meter::metered(meter::Part::Driver, driver.run(inputs)));
    let (address, addresses) = watch::channel(config.discovery);
    let retry = retry::Retry::new(settings.dispatchers, config.seed);
    tokio::spawn(discovery::watch(link::Agent::new(addresses.clone()), index, retry, told.clone()));
    tokio::spawn(notices::send(link::Agent::new(addresses), due, told.clone()));
    tokio::spawn(reload(hangup, config, told.clone(), address, shared));
    let (phase, phases) = watch::channel(Phase::Serving);
    let told_by_clients = told.clone();
    let intake = tokio::spawn(async move {
        intake::serve(listener, descriptors.clients, fronts, told_by_clients, phases).await;
    });

    let _ = ready.send(true);
    tokio::select! {
        _ = term.recv() => {}
        // Never without being told to: better a restart than a process that answers and does nothing.
        _ = &mut driver => return Err(Error::Driver),
    }
    eprintln!("told to stop");
    let _ = ready.send(false);
    let _ = told.send(Input::Stop { after: STOP }).await;
    let _ = phase.send(Phase::Leaving);
    sleep(LEAVE).await;
    let _ = phase.send(Phase::Closing);
    let _ = timeout(STOP, &mut driver).await;
    // Whoever is still being read from is told to go elsewhere, now that nobody takes it; then the connections end.
    let _ = timeout(LAST, intake).await;
    meter::report();
    eprintln!("stopped");
    Ok(())
}

/// At SIGHUP the configuration is read again, also while the process stops: a file that is good as a whole is put in
/// force, in one step, and discovery and notices move to its address of discovery. With any other nothing changes.
async fn reload(
    mut hangup: Signal,
    mut config: Config,
    told: mpsc::Sender<Input>,
    discovery: watch::Sender<SocketAddr>,
    shared: console::Shared,
) {
    while hangup.recv().await.is_some() {
        match put_in_force(&config, &told).await {
            Ok(new) => {
                config = new;
                shared.figures().reconfig_ok += 1;
                eprintln!("configuration read again: discovery is at {}", config.discovery);
                let new = |old: &mut SocketAddr| std::mem::replace(old, config.discovery) != config.discovery;
                discovery.send_if_modified(new);
            }
            Err(e) => {
                shared.figures().reconfig_failed += 1;
                eprintln!("the configuration stays as it was: {e}");
            }
        }
    }
}

async fn put_in_force(config: &Config, told: &mpsc::Sender<Input>) -> Result<Config, Error> {
    let new = config::read_again(config)?;
    let (done, settled) = oneshot::channel();
    let settle = Settle { settings: new.settings.clone(), shape: new.shape.clone(), done };
    told.send(settle.into()).await.map_err(|_| Error::Driver)?;
    settled.await.map_err(|_| Error::Driver)?.map_err(Error::NotSettled)?;
    Ok(new)
}
