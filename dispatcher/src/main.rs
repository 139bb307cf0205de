//! The millpost dispatcher: takes messages from clients, and delivers them to partners' endpoints.

mod adopt;
mod batch;
mod book;
mod calls;
mod clock;
mod config;
mod console;
mod cordons;
mod discovery;
mod driver;
mod handover;
mod hands;
mod input;
mod intake;
mod notices;
mod opening;
mod options;
mod peers;
mod record;
mod retry;
mod roster;
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
use driver::{Again, Descriptors, Driver, Parts, Station, Stopped, Taken};
use input::{Input, Settle};
use intake::{Front, Phase};
use opening::Opening;
use options::{Asked, Options};
use peers::{Ear, Peers};

/// After SIGTERM new connections still come for a while; so long, kept ones are answered as usual.
const LEAVE: Duration = Duration::from_millis(700);
/// When the driver stops after SIGTERM, before a SIGKILL can come.
const STOP: Duration = Duration::from_millis(3_300);
/// After it a process that gave the work away closes the connections that clients still have.
const FINISH: Duration = Duration::from_millis(2_900);
const LAST: Duration = Duration::from_millis(200);

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Config(#[from] config::Error),
    #[error(transparent)]
    Options(#[from] options::Error),
    #[error(transparent)]
    Opening(#[from] opening::Error),
    #[error(transparent)]
    Adopt(#[from] adopt::Error),
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

/// What a start begins with.
struct Begun {
    ledger: Ledger<Disk>,
    opened: ledger::Opened,
    taken: Option<Taken>,
}

/// A second start is one that replaces the first, and waits for it to be ready for that no longer than this.
const REPLACE_WITHIN: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(50);

/// Becomes the owner of the folder: nobody else is, or the one that is gives the work away. Only where there is a
/// console does a process replace another; elsewhere a second start is a mistake.
async fn begin(config: &Config, opening: &Opening) -> Result<Begun, Error> {
    if config.console.is_none() {
        let (ledger, opened) = opening.open(opening::AWHILE)?;
        return Ok(Begun { ledger, opened, taken: None });
    }
    let until = Instant::now() + REPLACE_WITHIN;
    loop {
        match opening.open(Duration::ZERO) {
            Ok((mut ledger, opened)) => {
                ledger.set_owner(opening.mark()).map_err(opening::Error::Store)?;
                return Ok(Begun { ledger, opened, taken: None });
            }
            Err(e) if e.is_held() && Instant::now() < until => {}
            Err(e) => return Err(e.into()),
        }
        if let Some((mut line, moving)) = handover::ask(&config.state, &config.name).await {
            // The other one waits with the store closed. Whatever goes wrong here gives it back.
            let (mut ledger, opened) = opening.open(opening::AWHILE)?;
            let known = read_state(&moving, config, &opened)
                .inspect_err(|why| eprintln!("handover: from the store alone: {why}"))
                .ok();
            ledger.set_owner(opening.mark()).map_err(opening::Error::Store)?;
            // Where it can't hear this any more it has ended, and this process is the owner all the same.
            let _ = line.say(&Frame::Mine { afresh: known.is_none() }).await;
            return Ok(Begun { ledger, opened, taken: Some(Taken { line, moving, known }) });
        }
        sleep(AGAIN).await;
    }
}

fn read_state(
    moving: &Moving,
    config: &Config,
    opened: &ledger::Opened,
) -> Result<(CoreSnapshot, Config), String> {
    if moving.layout != SNAPSHOT_VERSION {
        return Err(format!("its layout is {}, and {SNAPSHOT_VERSION} is known", moving.layout));
    }
    let moved = postcard::from_bytes(&moving.core).map_err(|e| e.to_string())?;
    let before = config::of_before(&moving.config).map_err(|e| e.to_string())?;
    // Its numbers for these would mean something else here.
    let wrong = millpost_settings::fixed(&before.settings, &before.shape, &config.settings, &config.shape);
    if !wrong.is_empty() {
        return Err(wrong.join("; "));
    }
    if opened.messages.iter().any(|found| found.body_lost) {
        return Err("a message has lost its body".to_owned());
    }
    Ok((moved, before))
}

/// This process begins anew, as after a crash, under its own number.
fn start_afresh() -> Error {
    let arguments = std::env::args_os().skip(1);
    Error::Io(std::process::Command::new("/proc/self/exe").args(arguments).exec())
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
    let inherited = adopt::listener(config.listen)?;
    let opening = Opening::new(&config, options.durability);
    let Begun { ledger, opened, taken } = begin(&config, &opening).await?;
    let settings = config.settings.clone();
    let known = Some(config.known.index).filter(|_| !config.known.endpoints.is_empty());
    let going_on = taken.as_ref().filter(|taken| taken.known.is_some()).map(|taken| &taken.moving);
    let same_source = |moving: &Moving| moving.source == config.discovery.to_string();
    let index = going_on.map_or(known, |moving| moving.index.filter(|_| same_source(moving)));

    let descriptors = Descriptors::new(config.limits.sockets, config.console.is_some());
    let idle = descriptors.idle(settings.slots);
    let (front, fronts) = watch::channel(Front::default());
    // The limits bind both processes together for as long as there are two.
    let theirs = taken.as_ref().map_or(0, |taken| taken.moving.clients.min(descriptors.clients / 2));
    let room = ConnectionLimiter::new(descriptors.clients - theirs);

    let (notices, due) = mpsc::channel(256);
    let of = u16::try_from(settings.dispatchers.max(config.peers.len())).unwrap_or(u16::MAX);
    let mut terms = Some(options.tier.clone()).filter(|terms| terms.enabled);
    let (peers, listening) = match (settings.allow.notes, config.peer_listen, config.peers_all) {
        // Notes are a help, no need: without them the dispatcher serves all the same.
        (true, Some(listen), Some(all)) => {
            let frames = || Ear::Frames(Arc::new(Mutex::new(FrameFilter::new(of))));
            let ear = terms.as_ref().map_or(Ear::Notes, |_| frames());
            let (peers, task) = Peers::open(listen, config.peers.clone(), all, ear, told.clone());
            (Some(peers), Some(task))
        }
        _ => (None, None),
    };
    if terms.is_some() && (peers.is_none() || settings.me >= usize::from(of)) {
        eprintln!("tier: dispatchers may not send one another notes here: nothing is shared");
        terms = None;
    }
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let (address, addresses) = watch::channel(config.discovery);
    let (phase, phases) = watch::channel(Phase::Serving);
    let retry = retry::Retry::new(settings.dispatchers, config.seed);
    let again = Again::default();
    let watched = discovery::watch(
        link::DiscoveryClient::new(addresses.clone()),
        index,
        retry,
        again.list.clone(),
        told.clone(),
    );
    let mut tasks = vec![
        tokio::spawn(watched).abort_handle(),
        tokio::spawn(notices::send(link::DiscoveryClient::new(addresses), due, told.clone())).abort_handle(),
    ];
    tasks.extend(listening);
    if config.console.is_some() {
        // Without it nothing is lost but the way to replace this process in service.
        match handover::listen(&config.state, config.name.clone(), told.clone()) {
            Ok(task) => tasks.push(task),
            Err(e) => eprintln!("handover: {e}"),
        }
    }
    let let_go = taken.as_ref().map(|taken| taken.moving.wall);
    let driver = Driver::new(Parts {
        calls: calls::Calls::new(idle, settings.keepalive, settings.connect_timeout, told.clone()),
        settings,
        shape: config.shape.clone(),
        front,
        descriptors,
        has_console: config.console.is_some(),
        text: config.text.to_string(),
        taken,
        opening,
        station: Station { ready: ready.clone(), phase: phase.clone(), tasks },
        room: room.clone(),
        seed: config.seed,
        ledger,
        found: opened.messages,
        latest: opened.latest_time,
        told: told.clone(),
        source: config.discovery,
        known: config.known.clone(),
        peers,
        terms,
        rules: options.fleet.clone(),
        recording: Some(options.audit.clone()).filter(|recording| recording.enabled),
        digest: config::digest(&config.text),
        name: config.name.clone(),
        again: again.clone(),
        notices,
        shared: shared.clone(),
    });
    if let Some(at) = let_go {
        let passed = clock::wall_now().saturating_sub(at) as f64 / 1e6;
        eprintln!("handover: the work is taken over, {passed:.1} ms after it was let go");
    }
    let mut driver = tokio::spawn(meter::metered(meter::Part::Driver, driver.run(inputs)));
    tokio::spawn(reload(hangup, again.settings, config, told.clone(), address, shared));
    let told_by_clients = told.clone();
    let intake =
        tokio::spawn(async move { intake::serve(listener, room, fronts, told_by_clients, phases).await });

    ready.send_replace(true);
    tokio::select! {
        _ = term.recv() => {}
        stopped = &mut driver => return match stopped {
            Ok(Stopped::StartAfresh) => Err(start_afresh()),
            // Its successor serves, and nothing is left to do here.
            Ok(Stopped::Done) if *phase.borrow() == Phase::Handed => Ok(()),
            // Never without being told to: better a restart than a process that answers and does nothing.
            _ => Err(Error::Driver),
        },
    }
    eprintln!("told to stop");
    ready.send_replace(false);
    let _ = told.send(Input::Stop { after: STOP }).await;
    if *phase.borrow() == Phase::Handed {
        // Clients' connections stay for as long as they can: one that is closed may cross a request.
        let _ = timeout(FINISH, &mut driver).await;
    } else {
        let _ = phase.send(Phase::Leaving);
        sleep(LEAVE).await;
    }
    let _ = phase.send(Phase::Closing);
    if !driver.is_finished() {
        let _ = timeout(STOP, &mut driver).await;
    }
    // Whoever is still being read from is told to go elsewhere, now that nobody takes it; then the connections end.
    let _ = timeout(LAST, intake).await;
    meter::report();
    eprintln!("stopped");
    Ok(())
}

/// At SIGHUP, or where this dispatcher is behind on it, the configuration is read again, also while the process stops: a file that is good as a whole is put in
/// force, in one step, and discovery and notices move to its address of discovery. With any other nothing changes.
async fn reload(
    mut hangup: Signal,
    again: Arc<Notify>,
    mut config: Config,
    told: mpsc::Sender<Input>,
    discovery: watch::Sender<SocketAddr>,
    shared: console::Shared,
) {
    loop {
        tokio::select! {
            came = hangup.recv() => if came.is_none() { return },
            () = again.notified() => {}
        }
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
                let _ = told.send(Input::TurnedDown(config::digest_of_file())).await;
                eprintln!("the configuration stays as it was: {e}");
            }
        }
    }
}

async fn put_in_force(config: &Config, told: &mpsc::Sender<Input>) -> Result<Config, Error> {
    let new = config::read_again(config)?;
    let (done, settled) = oneshot::channel();
    let settle = Settle {
        settings: new.settings.clone(),
        shape: new.shape.clone(),
        text: new.text.to_string(),
        digest: config::digest(&new.text),
        done,
    };
    told.send(settle.into()).await.map_err(|_| Error::Driver)?;
    settled.await.map_err(|_| Error::Driver)?.map_err(Error::NotSettled)?;
    Ok(new)
}
