//! Shared test support: runs the real binary against the stand-ins, and reads its store.
#![allow(dead_code, unused_imports)]

use std::ops::{Deref, DerefMut};
use std::path::Path;

pub use millpost_standins::discovery::{Discovery, entry};
use millpost_standins::node::{self, Spec};
pub use millpost_standins::scripted::{Reply, Server, answer, endpoint, until};
use millpost_standins::service::{Class, Effect, Service};
pub use millpost_standins::wire::{read, request};
use millpost_store::{Disk, Store, ledger};

/// A state of the store that tests wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// The last attempt of an open message is known not to have been executed.
    NeverRan,
    /// There are no open messages.
    Ended,
}
pub const ENDED: StoreState = StoreState::Ended;
pub const NEVER_RAN: StoreState = StoreState::NeverRan;

/// The dispatcher as a process, with its persistent state folder.
pub struct Node(node::Node);

impl Deref for Node {
    type Target = node::Node;
    fn deref(&self) -> &node::Node {
        &self.0
    }
}

impl DerefMut for Node {
    fn deref_mut(&mut self) -> &mut node::Node {
        &mut self.0
    }
}

pub struct Options {
    pub disk_mb: f64,
    pub hold: usize,
    /// Maximum number of concurrent calls.
    pub slots: usize,
    /// Maximum number of messages in one call.
    pub bundle: usize,
    /// Content of the store's settings file, if any.
    pub store: Option<&'static str>,
    /// Writes to a file beyond this size fail, until `make_room`.
    pub file_bytes: Option<u64>,
    /// Whether it opens the operators' console.
    pub console: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            disk_mb: 3.0,
            hold: 300,
            slots: 16,
            bundle: 1,
            store: None,
            file_bytes: None,
            console: false,
        }
    }
}

impl Node {
    /// Starts a dispatcher with the classes `/safe`, `/keyed` (keys valid for 30 s), `/unsafe`, `/ordered`
    /// and `/ordered-once`; the last two preserve order. `T1` is 50 ms, and an ordering key rests for 300 ms
    /// after an attempt that may still be running.
    pub fn start(discovery: &Discovery, known: &[String], options: Options) -> Self {
        let class = |name: &str, effect| Class {
            name: name.to_owned(),
            effect,
            share: 1.0,
            aim_ms: 200,
            deadline_ms: 60_000,
            key_window_ms: 30_000,
            in_order: false,
        };
        let service = Service {
            slots: options.slots,
            hold: options.hold,
            bundle: options.bundle,
            disk_mb: options.disk_mb,
            sockets: 256,
            keepalive_ms: 60_000,
            weights: "unknown".to_owned(),
            max_retry_after_ms: 0,
            key_rest_ms: 300,
            classes: vec![
                class("safe", Effect::Safe),
                class("keyed", Effect::Keyed),
                class("unsafe", Effect::Unsafe),
                Class { in_order: true, ..class("ordered", Effect::Safe) },
                Class { in_order: true, ..class("ordered-once", Effect::Unsafe) },
            ],
            ..Service::default()
        };
        // Destinations are known only through their endpoints; these endpoints accept nothing.
        let gone = [7, 8, 99].map(|dest| {
            format!(
                r#"{{"name":"gone-{dest}","address":"127.0.0.1:1","group":{dest},"status":"terminating"}}"#
            )
        });
        let known: Vec<&str> = known.iter().chain(&gone).map(String::as_str).collect();
        Node(node::Node::start(&Spec {
            program: Path::new(env!("CARGO_BIN_EXE_millpost-dispatcher")),
            service: &service,
            number: 0,
            of: 1,
            discovery: discovery.server.address,
            known: known.join(","),
            store: options.store,
            settings: None,
            file_bytes: options.file_bytes,
            peers: None,
            log: None,
            console: options.console,
        }))
    }

    /// The number of learned-state entries in the store.
    pub fn learned(&self) -> usize {
        let read = Store::read(Disk::read_only(self.state.path()), &ledger::IN_MEMORY);
        read.map_or(0, |(store, _)| store.len(ledger::LEARNED))
    }

    /// The names of the endpoints in the store.
    pub fn listed(&self) -> Vec<String> {
        let read = Store::read(Disk::read_only(self.state.path()), &ledger::IN_MEMORY);
        let names = |store: Store<Disk>| {
            let keys = store.keys(ledger::ENDPOINTS, &[]);
            keys.map(|(name, ..)| String::from_utf8_lossy(name).into_owned()).collect()
        };
        read.map_or(Vec::new(), |(store, _)| names(store))
    }

    /// Waits until the store reaches this state.
    pub fn wait_for(&self, state: StoreState) {
        until("the store reaches the state", || {
            // A segment may be deleted or partly written while it is read.
            let (store, _) = Store::read(Disk::read_only(self.state.path()), &ledger::IN_MEMORY).ok()?;
            let reached = match state {
                StoreState::Ended => store.is_empty(ledger::MESSAGES),
                StoreState::NeverRan => store.keys(ledger::HISTORIES, &[]).any(|(_, _, value)| {
                    let history = value.and_then(|v| ledger::read_history(v));
                    history
                        .is_some_and(|h| h.attempts > 0 && h.in_flight.is_none() && h.may_have_run.is_none())
                }),
            };
            reached.then_some(())
        });
    }
}
