//! What both sides of the hop cost without sockets: messages a second through near and far side and encoded frames, and the
//! memory that offers in flight take.
//!
//! `cargo run --release -p millpost-gateway --example load`

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use millpost_gateway::far::{self, Far};
use millpost_gateway::frame::{self, Kind, Offer, Told};
use millpost_gateway::near::{self, Near};
use millpost_gateway::{End, HopKey};

fn key(message: u64) -> HopKey {
    HopKey { store: 1, message, attempt: 1 }
}

fn offer(key: HopKey) -> Kind {
    Kind::Offer(Offer {
        store: key.store,
        message: key.message,
        attempt: key.attempt,
        reference: format!("reference-{:016}", key.message),
        class: "loan-report".to_owned(),
        dest: key.message % 50,
        left_us: 1,
        body: Bytes::from(vec![7; 300]),
        ..Offer::default()
    })
}

/// Both sides, and the bytes between them.
#[derive(Default)]
struct Hop {
    near: Near,
    far: Far,
    up: BytesMut,
    down: BytesMut,
    over: u64,
}

impl Hop {
    /// Carries all out that is wanted; offers that were taken on end at once, if they are to.
    fn carry(&mut self, end: bool) -> Result<(), frame::Error> {
        loop {
            let mut more = false;
            while let Some(effect) = self.near.effect() {
                more = true;
                match effect {
                    near::Effect::Note { key, .. } => self.near.noted(key, 0),
                    near::Effect::Offer { key, .. } => self.up.extend_from_slice(&frame::encode(offer(key))?),
                    near::Effect::Ask { key } => {
                        self.up.extend_from_slice(&frame::encode(Kind::Ask(key.into()))?)
                    }
                    near::Effect::Acknowledge { key } => {
                        self.up.extend_from_slice(&frame::encode(Kind::Acknowledge(key.into()))?);
                    }
                    near::Effect::Done { key, .. } => {
                        self.over += 1;
                        self.near.lasts(key);
                    }
                }
            }
            while let Some(kind) = frame::decode(&mut self.up)? {
                more = true;
                match kind {
                    Kind::Offer(offer) => self.far.offered(offer.hop_key(), Ok(())),
                    Kind::Acknowledge(key) => self.far.acknowledged(key.into()),
                    _ => {}
                }
            }
            while let Some(effect) = self.far.effect() {
                more = true;
                match effect {
                    far::Effect::Take { key } => {
                        self.far.taken(key);
                        if end {
                            self.far.ended(key, End::Delivered);
                        }
                    }
                    far::Effect::Tell { key, word } => {
                        self.down.extend_from_slice(&frame::encode(Kind::Told(Told::new(key, word)))?);
                    }
                    _ => {}
                }
            }
            while let Some(kind) = frame::decode(&mut self.down)? {
                more = true;
                if let Kind::Told(told) = kind {
                    let (key, word) = told.read()?;
                    self.near.heard(key, word);
                }
            }
            if !more {
                return Ok(());
            }
        }
    }
}

fn hop() -> Hop {
    let mut hop = Hop::default();
    hop.far.link_up();
    hop.near.link_up(2);
    hop
}

/// Kilobytes that the process has in memory, where the system tells.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() -> Result<(), frame::Error> {
    for in_flight in [10_000, 50_000] {
        let before = resident();
        let mut hop = hop();
        (0..in_flight).for_each(|n| hop.near.offer(key(n), 0, 1_000));
        hop.carry(false)?;
        let (open, remembered) = (hop.near.open(), hop.far.remembered());
        // What passed between the sides is let go of: only what they remember is counted.
        (hop.up, hop.down) = (BytesMut::new(), BytesMut::new());
        println!(
            "{open} offers in flight, {remembered} at the far side: {} kB",
            resident().saturating_sub(before)
        );
    }
    for round in 0..5 {
        let (mut hop, began, messages) = (hop(), Instant::now(), 200_000);
        for batch in 0..messages / 20 {
            (0..20).for_each(|n| hop.near.offer(key(batch * 20 + n), 0, 1_000));
            hop.carry(true)?;
            if batch % 50 == 0 {
                hop.far.settled(1, hop.near.settled_below(batch * 20));
            }
        }
        let took = began.elapsed().as_secs_f64();
        println!(
            "round {round}: {:.0} messages a second, {} over, {} remembered",
            messages as f64 / took,
            hop.over,
            hop.far.remembered()
        );
    }
    Ok(())
}
