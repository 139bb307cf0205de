//! The list of endpoints: one task keeps a watch going and hands on what it tells.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::driver::Input;
use crate::link::Agent;

/// How long a watch waits for news. What a silent discovery has to tell counts as told soon after the wait
/// is over, so it is kept short.
const WAIT_MS: u64 = 4_000;
/// How long the answer may take beyond that.
const MARGIN: Duration = Duration::from_millis(1_500);
/// Pause after a failure: a later call than 200 ms after the last answer begins a new watch.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST: usize = 4 << 20;

/// The list, or changes of it, as discovery writes them.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: u64,
    pub status: Status,
    #[serde(default)]
    pub weight: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    InService,
    Terminating,
    Terminated,
    /// A state of a later version: nothing new goes there.
    #[serde(other)]
    Unknown,
}

/// Watches for ever, from version `index` on. Its own task and connection: nothing else holds it up.
pub async fn watch(address: SocketAddr, mut index: u64, told: mpsc::Sender<Input>) {
    let mut agent = Agent::new(address);
    loop {
        let request = Request::get(format!("/v1/servers?index={index}&wait={WAIT_MS}"))
            .header("Host", address.to_string())
            .body(Full::<Bytes>::default());
        let Ok(request) = request else { return };
        let answer = agent.ask(request, Duration::from_millis(WAIT_MS) + MARGIN, LONGEST).await;
        let list = match answer {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<List>(&body).map_err(|e| e.to_string()),
            Ok((status, _)) => Err(status.to_string()),
            Err(e) => Err(e.to_string()),
        };
        match list {
            Ok(list) => {
                index = list.index;
                if told.send(Input::Listed(list)).await.is_err() {
                    return;
                }
            }
            Err(why) => {
                eprintln!("discovery: {why}");
                sleep(PAUSE).await;
            }
        }
    }
}
