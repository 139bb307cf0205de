//! A dispatcher as a process of its own, with the folder that lasts: started, signalled, killed and started again.

use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::peers::Relay;
use crate::scripted::{TIMEOUT, until};
use crate::service::Service;
use crate::wire::{Message, read, request};

/// What a dispatcher is started with.
pub struct Spec<'a> {
    /// Its program.
    pub program: &'a Path,
    /// What it is told, and which of how many dispatchers it is.
    pub service: &'a Service,
    /// Its number.
    pub number: usize,
    /// How many there are.
    pub of: usize,
    /// The address of its agent of discovery.
    pub discovery: SocketAddr,
    /// The list of endpoints that it knows, entries in discovery's form with commas between.
    pub known: String,
    /// Settings of the store, if any.
    pub store: Option<&'a str>,
    /// All operators' settings in one file, if any; in place of the store's alone.
    pub settings: Option<&'a str>,
    /// Writes to a file fail beyond so many bytes, until [`Node::make_room`].
    pub file_bytes: Option<u64>,
    /// Where it hears other dispatchers: its place in a relay.
    pub peers: Option<&'a Relay>,
    /// Its log goes to this file instead of to the standard error.
    pub log: Option<PathBuf>,
    /// It listens for the staff too.
    pub console: bool,
}

/// The process.
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it listens for the staff, if it does.
    pub console: Option<SocketAddr>,
    /// The clients' listening socket, where every process inherits it.
    listener: Option<TcpListener>,
    /// The folder that lasts.
    pub state: tempfile::TempDir,
    program: PathBuf,
    config: PathBuf,
    /// The file of settings, and the option that names it.
    store: Option<(&'static str, PathBuf)>,
    log: Option<PathBuf>,
    child: Child,
}

/// An address of its own for each process and use, so that its port stays free over a restart.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = std::process::id() * 64 + NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, a, b, c] = number.to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (a & 63), b, c);
    // Bound and never listening. A child that another thread forks meanwhile holds whatever is open until it has begun its
    // own program: a listener would take connections there, and stand in the way of the one that the address is for.
    let free = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    free.set_reuse_address(true).expect("an address that others may bind");
    free.bind(&SocketAddr::from((ip, 0)).into()).expect("a port");
    free.local_addr().ok().and_then(|address| address.as_socket()).expect("an address")
}

impl Node {
    /// Starts one, and waits until it answers.
    ///
    /// # Panics
    /// Where it can't be started, or ends.
    pub fn start(spec: &Spec) -> Self {
        let mut node = Self::launch(spec);
        node.ready();
        node
    }

    /// Starts one without waiting for it.
    ///
    /// # Panics
    /// Where it can't be started.
    pub fn launch(spec: &Spec) -> Self {
        // One with a console is run as a platform does that can replace it: it holds the listening socket.
        let listener = spec.console.then(|| {
            let listener = TcpListener::bind((own_address().ip(), 0)).expect("a port");
            rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("it can be inherited");
            listener
        });
        let address = listener.as_ref().map_or_else(own_address, |l| l.local_addr().expect("an address"));
        let state = tempfile::tempdir().expect("a folder");
        let config = state.path().with_extension("json");
        let service = spec.service;
        let known: serde_json::Value =
            serde_json::from_str(&format!("[{}]", spec.known)).expect("a list of endpoints");
        let mut text = json!({
            "name": format!("n{}", spec.number), "listen": address, "discovery": spec.discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": service.sockets, "disk_mb": service.disk_mb},
            "known": {"index": 1, "snapshot": true, "endpoints": known},
            "settings": service.settings(spec.number, spec.of),
        });
        if let Some(relay) = spec.peers {
            text["peer_listen"] = json!(relay.listens[spec.number]);
            text["peers"] = json!(relay.peers);
            text["peers_all"] = json!(relay.all);
            text["settings"]["limits"]["peerMessages"] = json!(true);
        }
        std::fs::write(&config, text.to_string()).expect("the configuration");
        let given = spec.settings.map(|text| ("--settings", text));
        let store = given.or(spec.store.map(|text| ("--store", text))).map(|(option, text)| {
            let file = state.path().with_extension("toml");
            std::fs::write(&file, text).expect("the settings");
            (option, file)
        });
        let console = spec.console.then(own_address);
        let mut command = command(spec.program, &config, state.path(), store.as_ref(), spec.log.as_deref());
        command.envs(in_service(console, listener.as_ref()));
        if let Some(bytes) = spec.file_bytes {
            // The limit is the shell's to set, and its signal to be ignored, before the program takes its place.
            let mut limited = Command::new("sh");
            let script = format!("trap '' XFSZ; ulimit -S -f {}; exec \"$0\"", bytes / 512);
            limited.args(["-c", &script]).arg(command.get_program());
            limited.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
            limited.stderr(Stdio::piped());
            command = limited;
        }
        let child = command.spawn().expect("it starts");
        let program = spec.program.to_owned();
        Node { address, console, listener, state, program, config, store, log: spec.log.clone(), child }
    }

    fn command(&self) -> Command {
        let (store, log) = (self.store.as_ref(), self.log.as_deref());
        let mut command = command(&self.program, &self.config, self.state.path(), store, log);
        command.envs(in_service(self.console, self.listener.as_ref()));
        command
    }

    /// Starts the program once more beside the process that runs, with a console of its own, without waiting for it.
    ///
    /// # Panics
    /// Where it can't be started.
    pub fn launch_beside(&mut self) -> Beside {
        let console = own_address();
        let mut command = self.command();
        command.envs(in_service(Some(console), self.listener.as_ref()));
        Beside { console, child: command.spawn().expect("it starts") }
    }

    /// Lets a process take this one's place; this one is given back.
    ///
    /// # Panics
    /// Where this one has no console.
    pub fn replace(&mut self, mut beside: Beside) -> Beside {
        std::mem::swap(&mut self.child, &mut beside.child);
        std::mem::swap(self.console.as_mut().expect("a console"), &mut beside.console);
        beside
    }

    /// Replaces the process, as a platform does: the new one is ready, and the old one is given back.
    ///
    /// # Panics
    /// When the new one ends, or is never ready.
    pub fn upgrade(&mut self) -> Beside {
        let mut beside = self.launch_beside();
        until("the new process is ready", || {
            assert!(beside.ended().is_none(), "it ended");
            beside.staff("health").is_some_and(|answer| answer.starts_with("SUCCESS")).then_some(())
        });
        self.replace(beside)
    }

    /// A line to its console: all that it answers, within a caller's one second.
    ///
    /// # Panics
    /// Where it has no console, or answers too late.
    pub fn staff(&self, line: &str) -> String {
        staff(self.console.expect("a console"), line).expect("an answer")
    }

    /// The same, if it listens there now.
    pub fn staff_now(&self, line: &str) -> Option<String> {
        staff(self.console?, line).ok()
    }

    /// One of the figures that its console tells.
    ///
    /// # Panics
    /// Where there is none of this name.
    pub fn figure(&self, name: &str) -> u64 {
        let (text, name) = (self.staff("counters"), format!("edge_node.{name}="));
        let figure = text.lines().find_map(|line| line.strip_prefix(&name)?.parse().ok());
        figure.unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    /// A start that is to fail: how it ended, and what it said.
    pub fn start_and_fail(&self) -> (ExitStatus, String) {
        let done = self.command().output().expect("it starts");
        (done.status, String::from_utf8_lossy(&done.stderr).into_owned())
    }

    /// What it said until it ended, where the limit of files had it kept.
    pub fn said(&mut self) -> String {
        let mut said = String::new();
        if let Some(mut from) = self.child.stderr.take() {
            from.read_to_string(&mut said).expect("text");
        }
        said
    }

    /// Takes the limit of files back.
    pub fn make_room(&self) {
        let pid = self.child.id().to_string();
        let done = Command::new("prlimit").args(["--pid", &pid, "--fsize=unlimited"]).status();
        assert!(done.expect("prlimit, of util-linux").success());
    }

    /// Waits until it answers.
    ///
    /// # Panics
    /// When it ends instead.
    pub fn ready(&mut self) {
        until("it is ready", || {
            assert!(self.child.try_wait().expect("its state").is_none(), "it ended");
            TcpStream::connect(self.address).ok()
        });
        assert_eq!(self.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").map(|a| a.status()), Some(200));
    }

    /// Whether it answers now.
    pub fn answers(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(std::time::Duration::from_millis(500)));
        let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        asked.is_ok() && read(&mut BufReader::new(stream)).is_some_and(|a| a.status() == 200)
    }

    /// A connection to it.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time limit");
        BufReader::new(stream)
    }

    /// Sends these bytes on a connection of their own; the answer, if one comes.
    pub fn ask(&self, request: impl AsRef<[u8]>) -> Option<Message> {
        let mut stream = self.connect();
        // It may answer and close before it has read all.
        let _ = stream.get_mut().write_all(request.as_ref());
        read(&mut stream)
    }

    /// Hands a message in; the status that it was answered with.
    pub fn hand_in(&self, class: &str, reference: &str, dest: u64, deadline: f64) -> u16 {
        self.ask(request(class, reference, dest, deadline, b"\x00body\xff")).map_or(0, |a| a.status())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("SIGKILL");
        self.child.wait().expect("its end");
    }

    /// Starts it again with the folder that lasts, and waits until it answers.
    pub fn start_again(&mut self) {
        self.relaunch();
        self.ready();
    }

    /// Starts it again without waiting.
    pub fn relaunch(&mut self) {
        self.child = self.command().spawn().expect("it starts");
    }

    /// Its folder is lost, with all that is in it: the process that it was the folder of is to be gone.
    ///
    /// # Panics
    /// Where something can't be removed.
    pub fn lose_folder(&self) {
        for entry in std::fs::read_dir(self.state.path()).expect("the folder").flatten() {
            std::fs::remove_file(entry.path()).expect("removed");
        }
    }

    /// Sends a signal, by name.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("sh").success());
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the file of the configuration.
    pub fn configure(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the configuration");
        let new = self.config.with_extension("new");
        std::fs::write(&new, change(&text)).expect("the configuration");
        std::fs::rename(&new, &self.config).expect("the configuration");
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("its state")
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Bytes in the folder that lasts, each file in whole blocks of 512.
    pub fn disk(&self) -> u64 {
        let files = std::fs::read_dir(self.state.path()).into_iter().flatten().flatten();
        files.map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512)).sum()
    }
}

/// A process beside another.
pub struct Beside {
    console: SocketAddr,
    child: Child,
}

impl Beside {
    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// A line to its console: what it answers, if it listens there yet.
    pub fn staff(&self, line: &str) -> Option<String> {
        staff(self.console, line).ok()
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        let kill = format!("kill -TERM {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &kill]).status();
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, if it has.
    ///
    /// # Panics
    /// Where its state can't be had.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("its state")
    }
}

impl Drop for Beside {
    fn drop(&mut self) {
        self.kill();
    }
}

fn staff(console: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(console)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// What a process is told beside its configuration where it can be asked and replaced.
fn in_service(console: Option<SocketAddr>, listener: Option<&TcpListener>) -> Vec<(&'static str, String)> {
    let console = console.map(|address| ("NODE_CONSOLE", address.to_string()));
    let listener = listener.map(|l| ("NODE_ACCEPT_FD", l.as_raw_fd().to_string()));
    console.into_iter().chain(listener).collect()
}

fn command(
    program: &Path,
    config: &Path,
    state: &Path,
    store: Option<&(&'static str, PathBuf)>,
    log: Option<&Path>,
) -> Command {
    let mut command = Command::new(program);
    command.env("NODE_CONFIG", config).env("NODE_STATE", state);
    if let Some((option, file)) = store {
        command.arg(option).arg(file);
    }
    let file = log.and_then(|log| std::fs::OpenOptions::new().create(true).append(true).open(log).ok());
    if let Some(file) = file {
        command.stderr(file);
    }
    command
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        self.store.iter().for_each(|(_, file)| drop(std::fs::remove_file(file)));
    }
}
