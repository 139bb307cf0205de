//! Runs the dispatcher on loopback with stand-ins for a partner and the discovery agent, to try it out by
//! hand. (`cargo run --release -p millpost-rig` runs the whole service under load.)
//!
//! Starts the `millpost-dispatcher` binary next to this program, which is built if necessary, prints how to
//! submit a message, and ends with the dispatcher (Ctrl-C).

use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::channel;

use millpost_standins::discovery::{Discovery, entry};
use millpost_standins::node::{Node, Spec};
use millpost_standins::scripted::{Server, answer, until};
use millpost_standins::service::Service;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let partner = Server::start(|_, call| {
        println!("partner: {} with {} bytes", call.line, call.body.len());
        answer("200 OK")
    });
    let discovery = Discovery::start();
    let (program, service) = (program()?, Service::default());
    let mut node = Node::start(&Spec {
        program: &program,
        service: &service,
        number: 0,
        of: 1,
        discovery: discovery.server.address,
        known: entry("partner", &partner, 7, "in_service"),
        store: None,
        settings: None,
        file_bytes: None,
        peers: None,
        log: None,
        console: true,
    });
    println!("the dispatcher listens on {}; submit a message with\n", node.address);
    println!(
        "    curl -i http://{}/licence-order -H 'Req-Id: 1' -H 'Req-Deadline: 10' -H 'X-Addressing: dest=7' -d order\n",
        node.address
    );
    let console = |node: &Node| node.console.map_or(String::new(), |address| address.to_string());
    println!(
        "the console is at {}; type `upgrade` here to replace the process by a new one\n",
        console(&node)
    );
    let (line, lines) = channel();
    std::thread::spawn(move || {
        for text in std::io::stdin().lines().map_while(Result::ok) {
            if line.send(text).is_err() {
                return;
            }
        }
    });
    let mut told = 0;
    let ended = loop {
        let notices = discovery.notices.lock().map_err(|_| "a notice could not be read")?;
        notices.iter().skip(told).for_each(|notice| println!("notice: {notice}"));
        told = notices.len();
        drop(notices);
        if lines.try_recv().is_ok_and(|text| text.trim() == "upgrade") {
            // As the platform does: starts the new process next to the old one, and sends SIGTERM to the old
            // one once the new one is ready.
            let mut old = node.upgrade();
            println!("the new process is ready; its console is at {}", console(&node));
            old.terminate();
            until("the old process ends", || old.ended());
            println!("the old process has ended");
        }
        if let Some(ended) = node.ended() {
            break ended;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    };
    println!("the dispatcher has ended: {ended}");
    Ok(())
}

/// The path of the dispatcher binary, relative to this example; builds it if it does not exist.
fn program() -> Result<PathBuf, Box<dyn std::error::Error>> {
    let me = std::env::current_exe()?;
    let folder =
        me.parent().and_then(|examples| examples.parent()).ok_or("this program has no parent folder")?;
    let program = folder.join("millpost-dispatcher");
    if !program.exists() {
        let mut build = Command::new("cargo");
        build.args(["build", "--bin", "millpost-dispatcher", "-p", "millpost-dispatcher"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("building the dispatcher failed".into());
        }
    }
    Ok(program)
}
