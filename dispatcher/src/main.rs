//! The millpost dispatcher: accepts messages from clients and delivers them to partners' endpoints.

mod adopt;
mod audit_log;
mod batch;
mod calls;
mod clock;
mod config;
mod console;
mod cordons;
mod discovery;
mod driver;
mod handover;
mod input;
mod intake;
mod notices;
mod options;
mod peers;
mod predecessor;
mod retry;
mod roster;
mod store_opener;
mod store_writer;
mod versions;

use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use millpost_core::{CoreSnapshot, SNAPSHOT_VERSION};
use millpost_handover::{Frame, Moving};
use millpost_net::connection_limiter::ConnectionLimiter;
use millpost_net::{link, meter};
use millpost_store::{Disk, Ledger, ledger};
use millpost_tier::frame_filter::FrameFilter;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use config::Config;
use driver::{Descriptors, Driver, Parts, ProcessState, RefreshTriggers, Stopped, TakenOver};
use input::{ApplySettings, Input};
use intake::{AcceptedClasses, Phase};
use options::{Command, Options};
use peers::{DatagramReader, Peers};
use store_opener::StoreOpener;

/// How long requests are still served after SIGTERM, because new connections keep arriving for a while.
const LINGER: Duration = Duration::from_millis(700);
/// How long the driver may take to stop after SIGTERM, before a SIGKILL may follow.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_300);
/// How long after SIGTERM a former owner keeps client connections open while its driver finishes.
const FORMER_OWNER_TIMEOUT: Duration = Duration::from_millis(2_900);
/// How long the last client connections may take to end.
const INTAKE_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Config(#[from] config::Error),
    #[error(transparent)]
    Options(#[from] options::Error),
    #[error(transparent)]
    StoreOpener(#[from] store_opener::Error),
    #[error(transparent)]
    Adopt(#[from] adopt::Error),
    #[error("console: {0}: {1}")]
    Console(SocketAddr, io::Error),
    #[error("settings: {0}")]
    SettingsNotApplied(&'static str),
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
    let options = match options::command()? {
        Command::Help => {
            println!("{}", options::HELP);
            return Ok(());
        }
        Command::Check(options) => {
            let config = config::read()?;
            println!("the configuration is valid: {} listens on {}", config.name, config.listen);
            println!("{options}");
            return Ok(());
        }
        Command::Run(options) => options,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(options))
}

/// The state with which the process starts.
struct Started {
    ledger: Ledger<Disk>,
    opened: ledger::Opened,
    taken: Option<TakenOver>,
}

/// How long a new process waits for the running one to hand over.
const REPLACE_WITHIN: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Takes ownership of the state folder, directly or by a handover from its current owner. A process replaces
/// another only if a console is configured; otherwise a second start is an error.
async fn start(config: &Config, store_opener: &StoreOpener) -> Result<Started, Error> {
    if config.console.is_none() {
        let (ledger, opened) = store_opener.open(store_opener::LOCK_TIMEOUT)?;
        return Ok(Started { ledger, opened, taken: None });
    }
    let until = Instant::now() + REPLACE_WITHIN;
    loop {
        match store_opener.open(Duration::ZERO) {
            Ok((mut ledger, opened)) => {
                ledger.set_owner(store_opener.mark()).map_err(store_opener::Error::Store)?;
                return Ok(Started { ledger, opened, taken: None });
            }
            Err(e) if e.is_held() && Instant::now() < until => {}
            Err(e) => return Err(e.into()),
        }
        if let Some((mut line, moving)) = handover::request_takeover(&config.state, &config.name).await {
            // The current owner waits with its store closed. On any error here the connection closes and it
            // continues.
            let (mut ledger, opened) = store_opener.open(store_opener::LOCK_TIMEOUT)?;
            let known = read_state(&moving, config, &opened)
                .inspect_err(|why| eprintln!("handover: recovering from the store alone: {why}"))
                .ok();
            ledger.set_owner(store_opener.mark()).map_err(store_opener::Error::Store)?;
            // If this cannot be delivered the predecessor has ended, and this process is the owner
            // regardless.
            let _ = line.send(&Frame::Mine { afresh: known.is_none() }).await;
            return Ok(Started { ledger, opened, taken: Some(TakenOver { line, moving, known }) });
        }
        sleep(RETRY_DELAY).await;
    }
}

fn read_state(
    moving: &Moving,
    config: &Config,
    opened: &ledger::Opened,
) -> Result<(CoreSnapshot, Config), String> {
    if moving.layout != SNAPSHOT_VERSION {
        return Err(format!("snapshot version {} instead of {SNAPSHOT_VERSION}", moving.layout));
    }
    let moved = postcard::from_bytes(&moving.core).map_err(|e| e.to_string())?;
    let previous = config::from_predecessor(&moving.config).map_err(|e| e.to_string())?;
    // The snapshot refers to these by position, so the positions must match.
    let wrong =
        millpost_settings::fixed(&previous.settings, &previous.shape, &config.settings, &config.shape);
    if !wrong.is_empty() {
        return Err(wrong.join("; "));
    }
    if opened.messages.iter().any(|found| found.body_lost) {
        return Err("the body of a stored message is lost".to_owned());
    }
    Ok((moved, previous))
}

/// Re-executes the program, keeping the process id; it recovers from the store as after a crash. Returns only
/// on failure.
fn start_afresh() -> Error {
    let arguments = std::env::args_os().skip(1);
    Error::Io(std::process::Command::new("/proc/self/exe").args(arguments).exec())
}

async fn serve(options: Options) -> Result<(), Error> {
    let config = config::read()?;
    let (mut term, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let (input_tx, inputs) = mpsc::channel(1024);
    let shared = console::Shared::default();
    // First of all: a process whose console cannot listen must not start.
    let (ready, is_ready) = watch::channel(false);
    if let Some(address) = config.console {
        let context =
            console::ConsoleContext { ready: is_ready, shared: shared.clone(), input_tx: input_tx.clone() };
        console::open(address, context).map_err(|e| Error::Console(address, e))?;
    }
    let inherited = adopt::listener(config.listen)?;
    let store_opener = StoreOpener::new(&config, options.durability);
    let Started { ledger, opened, taken } = start(&config, &store_opener).await?;
    let settings = config.settings.clone();
    let known = Some(config.known.index).filter(|_| !config.known.endpoints.is_empty());
    let snapshot = taken.as_ref().filter(|taken| taken.known.is_some()).map(|taken| &taken.moving);
    let same_source = |moving: &Moving| moving.source == config.discovery.to_string();
    let index = snapshot.map_or(known, |moving| moving.index.filter(|_| same_source(moving)));

    let descriptors = Descriptors::new(config.limits.sockets, config.console.is_some());
    let idle = descriptors.idle(settings.slots);
    let (accepted_classes, accepted_classes_rx) = watch::channel(AcceptedClasses::default());
    // During a handover the limits apply to both processes together.
    let predecessor_clients =
        taken.as_ref().map_or(0, |taken| taken.moving.clients.min(descriptors.clients / 2));
    let connection_limiter = ConnectionLimiter::new(descriptors.clients - predecessor_clients);

    let (notices, due) = mpsc::channel(256);
    let of = u16::try_from(settings.dispatchers.max(config.peers.len())).unwrap_or(u16::MAX);
    let mut terms = Some(options.tier.clone()).filter(|terms| terms.enabled);
    let (peers, listening) = match (settings.allow.notes, config.peer_listen, config.peers_all) {
        // Messages between dispatchers are optional: without them the dispatcher serves all the same.
        (true, Some(listen), Some(all)) => {
            let frames = || DatagramReader::Frames(Arc::new(Mutex::new(FrameFilter::new(of))));
            let reader = terms.as_ref().map_or(DatagramReader::Messages, |_| frames());
            let (peers, task) = Peers::open(listen, config.peers.clone(), all, reader, input_tx.clone());
            (Some(peers), Some(task))
        }
        _ => (None, None),
    };
    if terms.is_some() && (peers.is_none() || settings.me >= usize::from(of)) {
        eprintln!(
            "tier: messages between dispatchers are not allowed or not configured; sharing is disabled"
        );
        terms = None;
    }
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let (address, addresses) = watch::channel(config.discovery);
    let (phase, phases) = watch::channel(Phase::Serving);
    let retry = retry::Retry::new(settings.dispatchers, config.seed);
    let refresh = RefreshTriggers::default();
    let watched = discovery::watch(
        link::DiscoveryClient::new(addresses.clone()),
        index,
        retry,
        refresh.list.clone(),
        input_tx.clone(),
    );
    let mut tasks = vec![
        tokio::spawn(watched).abort_handle(),
        tokio::spawn(notices::send(link::DiscoveryClient::new(addresses), due, input_tx.clone()))
            .abort_handle(),
    ];
    tasks.extend(listening);
    if config.console.is_some() {
        // On failure the dispatcher works, but cannot be replaced without downtime.
        match handover::listen(&config.state, config.name.clone(), input_tx.clone()) {
            Ok(task) => tasks.push(task),
            Err(e) => eprintln!("handover: cannot listen for takeover requests: {e}"),
        }
    }
    let offered_at = taken.as_ref().map(|taken| taken.moving.wall);
    let driver = Driver::new(Parts {
        calls: calls::Calls::new(idle, settings.keepalive, settings.connect_timeout, input_tx.clone()),
        settings,
        shape: config.shape.clone(),
        accepted_classes,
        descriptors,
        has_console: config.console.is_some(),
        text: config.text.to_string(),
        taken,
        store_opener,
        process_state: ProcessState { ready: ready.clone(), phase: phase.clone(), tasks },
        connection_limiter: connection_limiter.clone(),
        seed: config.seed,
        ledger,
        found: opened.messages,
        latest: opened.latest_time,
        input_tx: input_tx.clone(),
        source: config.discovery,
        known: config.known.clone(),
        peers,
        terms,
        rules: options.fleet.clone(),
        recording: Some(options.audit.clone()).filter(|recording| recording.enabled),
        digest: config::digest(&config.text),
        name: config.name.clone(),
        refresh: refresh.clone(),
        notices,
        shared: shared.clone(),
    });
    if let Some(at) = offered_at {
        let passed = clock::wall_now().saturating_sub(at) as f64 / 1e6;
        eprintln!("handover: the work is taken over, {passed:.1} ms after it was let go");
    }
    let mut driver = tokio::spawn(meter::metered(meter::Part::Driver, driver.run(inputs)));
    tokio::spawn(reload(hangup, refresh.settings, config, input_tx.clone(), address, shared));
    let intake_tx = input_tx.clone();
    let intake = tokio::spawn(async move {
        intake::serve(listener, connection_limiter, accepted_classes_rx, intake_tx, phases).await
    });

    ready.send_replace(true);
    tokio::select! {
        _ = term.recv() => {}
        stopped = &mut driver => return match stopped {
            Ok(Stopped::StartAfresh) => Err(start_afresh()),
            // The successor serves and this process has finished its work.
            Ok(Stopped::Done) if *phase.borrow() == Phase::Handed => Ok(()),
            // The driver stopped unasked: a restart is better than a process that answers but does nothing.
            _ => Err(Error::Driver),
        },
    }
    eprintln!("SIGTERM received; stopping");
    ready.send_replace(false);
    let _ = input_tx.send(Input::Stop { after: STOP_TIMEOUT }).await;
    if *phase.borrow() == Phase::Handed {
        // Client connections stay open as long as possible, because closing one may race with a request.
        let _ = timeout(FORMER_OWNER_TIMEOUT, &mut driver).await;
    } else {
        let _ = phase.send(Phase::Leaving);
        sleep(LINGER).await;
    }
    let _ = phase.send(Phase::Closing);
    if !driver.is_finished() {
        let _ = timeout(STOP_TIMEOUT, &mut driver).await;
    }
    // Requests still being read are answered as unavailable, since the driver has stopped; then the
    // connections end.
    let _ = timeout(INTAKE_TIMEOUT, intake).await;
    meter::report();
    eprintln!("stopped");
    Ok(())
}

/// Reloads the configuration on SIGHUP or when `refresh` is notified, also while the process is stopping. A
/// valid file is applied in one step, and discovery and notices switch to its discovery address. An invalid
/// one changes nothing.
async fn reload(
    mut hangup: Signal,
    refresh: Arc<Notify>,
    mut config: Config,
    input_tx: mpsc::Sender<Input>,
    discovery: watch::Sender<SocketAddr>,
    shared: console::Shared,
) {
    loop {
        tokio::select! {
            came = hangup.recv() => if came.is_none() { return },
            () = refresh.notified() => {}
        }
        match apply_config(&config, &input_tx).await {
            Ok(new) => {
                config = new;
                shared.figures().reconfig_ok += 1;
                eprintln!("configuration reloaded: discovery is at {}", config.discovery);
                let new = |old: &mut SocketAddr| std::mem::replace(old, config.discovery) != config.discovery;
                discovery.send_if_modified(new);
            }
            Err(e) => {
                shared.figures().reconfig_failed += 1;
                let _ = input_tx.send(Input::SettingsRejected(config::digest_of_file())).await;
                eprintln!("configuration not reloaded, keeping the current one: {e}");
            }
        }
    }
}

async fn apply_config(config: &Config, input_tx: &mpsc::Sender<Input>) -> Result<Config, Error> {
    let new = config::read_again(config)?;
    let (done, applied) = oneshot::channel();
    let apply_settings = ApplySettings {
        settings: new.settings.clone(),
        shape: new.shape.clone(),
        text: new.text.to_string(),
        digest: config::digest(&new.text),
        done,
    };
    input_tx.send(apply_settings.into()).await.map_err(|_| Error::Driver)?;
    applied.await.map_err(|_| Error::Driver)?.map_err(Error::SettingsNotApplied)?;
    Ok(new)
}
