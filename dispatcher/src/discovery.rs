//! The endpoint list: a task that watches the discovery agent and forwards its updates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use millpost_net::link::{DiscoveryClient, Error};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use crate::retry::Retry;

/// How long a watch request waits for changes. Changes that the agent could not report count as reported soon
/// after the wait ends, so it is kept short.
const WAIT_MS: u64 = 3_000;
/// Additional time limit for the answer. The agent may forward a request to the discovery service, which
/// takes up to 2 s; a shorter limit would waste that work.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of an answer, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The endpoint list, or changes of it, as received from discovery.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "RawList")]
pub struct List {
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
    /// Names of endpoints whose other fields cannot be parsed.
    pub unreadable: Vec<String>,
    pub index: u64,
}

#[derive(Deserialize)]
struct RawList {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<ListEntry>,
}

/// An entry of the list; one that cannot be parsed does not invalidate the others.
#[derive(Deserialize)]
#[serde(untagged)]
enum ListEntry {
    Complete(Endpoint),
    Named { name: String },
    Other(IgnoredAny),
}

impl From<RawList> for List {
    fn from(lines: RawList) -> Self {
        let RawList { index, snapshot, endpoints } = lines;
        let mut list = List { index, snapshot, ..List::default() };
        for line in endpoints {
            match line {
                ListEntry::Complete(endpoint) => list.endpoints.push(endpoint),
                ListEntry::Named { name } => list.unreadable.push(name),
                ListEntry::Other(_) => {}
            }
        }
        list
    }
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
    /// A status of a later protocol version; such an endpoint gets no new work.
    #[serde(other)]
    Unknown,
}

/// The index for the next watch request. An agent whose index is lower than the requested one has restarted
/// its numbering and would never report anything newer, so a snapshot is requested (`None`).
fn next_index(asked: Option<u64>, list: &List) -> Option<u64> {
    let behind = !list.snapshot && asked.is_some_and(|asked| list.index < asked);
    Some(list.index).filter(|_| !behind)
}

/// Watches the list until the receiver of `input_tx` is dropped, in its own task and on its own connection,
/// so that nothing else delays it. The first agent is asked for changes since the initial list (`index`);
/// after a change of address the new agent is asked for a snapshot, because its numbering may differ.
/// [`Retry`] determines the delay of the first request and of retries. When `refresh` is notified, a snapshot
/// is requested at once.
pub async fn watch<I: From<List>>(
    mut agent: DiscoveryClient,
    mut index: Option<u64>,
    mut retry: Retry,
    refresh: Arc<Notify>,
    input_tx: mpsc::Sender<I>,
) {
    sleep(retry.first()).await;
    loop {
        let (path, within) = match index {
            Some(index) => {
                let within = Duration::from_millis(WAIT_MS) + ANSWER_TIMEOUT;
                (format!("/v1/servers?index={index}&wait={WAIT_MS}"), within)
            }
            None => ("/v1/servers".to_owned(), ANSWER_TIMEOUT),
        };
        let request = Request::get(path).body(Full::<Bytes>::default());
        let Ok(request) = request else { return };
        let answer = tokio::select! {
            answer = agent.ask(request, within, MAX_BODY_BYTES) => answer,
            () = refresh.notified() => {
                index = None;
                continue;
            }
        };
        let list = match answer {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<List>(&body).map_err(|e| e.to_string()),
            Ok((status, _)) => Err(status.to_string()),
            Err(Error::Moved) => {
                index = None;
                continue;
            }
            Err(e) => Err(e.to_string()),
        };
        match list {
            Ok(list) => {
                index = next_index(index, &list);
                retry.answered();
                if input_tx.send(list.into()).await.is_err() {
                    return;
                }
            }
            Err(why) => {
                let pause = retry.failed();
                eprintln!("discovery: {why}; retrying in {} ms", pause.as_millis());
                tokio::select! {
                    () = sleep(pause) => {}
                    () = refresh.notified() => index = None,
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_a_snapshot_if_the_index_goes_back() {
        let list = |index, snapshot| List { index, snapshot, ..List::default() };
        assert_eq!(next_index(None, &list(3, true)), Some(3));
        assert_eq!(next_index(Some(41), &list(43, false)), Some(43));
        assert_eq!(next_index(Some(41), &list(41, false)), Some(41));
        assert_eq!(next_index(Some(41), &list(3, false)), None);
        assert_eq!(next_index(Some(41), &list(3, true)), Some(3), "a snapshot may have any index");
    }

    #[test]
    fn skips_unreadable_entries() {
        let good = r#"{"name":"a","address":"127.0.0.1:1","group":7,"status":"in_service"}"#;
        let bad = r#"{"name":"b","address":"nowhere","group":7,"status":"in_service"}"#;
        let text = format!(r#"{{"index":3,"snapshot":true,"endpoints":[{bad},7,{{}},{good}]}}"#);
        let list: List = serde_json::from_str(&text).expect("a list");
        assert_eq!(list.endpoints.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["a"]);
        assert_eq!((list.unreadable, list.index, list.snapshot), (vec!["b".to_owned()], 3, true));
    }
}
