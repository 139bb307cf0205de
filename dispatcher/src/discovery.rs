//! The list of endpoints: one task keeps a watch going and hands on what it tells.

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

/// How long a watch waits for news. What a silent discovery has to tell counts as told soon after the wait
/// is over, so it is kept short.
const WAIT_MS: u64 = 3_000;
/// How long the answer may take beyond that. A call that the agent hands on to discovery may take its 2 s; given up
/// before, it would be work for nothing.
const MARGIN: Duration = Duration::from_millis(2_500);
const LONGEST: usize = 4 << 20;

/// The list, or changes of it, as discovery writes them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Lines")]
pub struct List {
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
    /// Names of endpoints of which nothing else can be read.
    pub unreadable: Vec<String>,
    pub index: u64,
}

#[derive(Deserialize)]
struct Lines {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Line>,
}

/// One line that can't be read costs no other.
#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Whole(Endpoint),
    Named { name: String },
    Other(IgnoredAny),
}

impl From<Lines> for List {
    fn from(lines: Lines) -> Self {
        let Lines { index, snapshot, endpoints } = lines;
        let mut list = List { index, snapshot, ..List::default() };
        for line in endpoints {
            match line {
                Line::Whole(endpoint) => list.endpoints.push(endpoint),
                Line::Named { name } => list.unreadable.push(name),
                Line::Other(_) => {}
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
    /// A state of a later version: nothing new goes there.
    #[serde(other)]
    Unknown,
}

/// What to ask from next. An agent that is behind the version it was asked from counts by other versions, as after its
/// own start anew: nothing newer would ever come, so the whole list is asked for.
fn next_index(asked: Option<u64>, list: &List) -> Option<u64> {
    let behind = !list.snapshot && asked.is_some_and(|asked| list.index < asked);
    Some(list.index).filter(|_| !behind)
}

/// Watches for ever. Its own task and connection: nothing else holds it up. The agent at the address of the start is
/// asked for what is newer than the list that the start came with (`index`); another one for the whole list, since its
/// versions need not be the same. When to ask first, and again after a failure, is for [`Retry`] to say.
/// Where `again` is notified the whole list is asked for at once.
pub async fn watch<I: From<List>>(
    mut agent: DiscoveryClient,
    mut index: Option<u64>,
    mut retry: Retry,
    again: Arc<Notify>,
    told: mpsc::Sender<I>,
) {
    sleep(retry.first()).await;
    loop {
        let (path, within) = match index {
            Some(index) => {
                let within = Duration::from_millis(WAIT_MS) + MARGIN;
                (format!("/v1/servers?index={index}&wait={WAIT_MS}"), within)
            }
            None => ("/v1/servers".to_owned(), MARGIN),
        };
        let request = Request::get(path).body(Full::<Bytes>::default());
        let Ok(request) = request else { return };
        let answer = tokio::select! {
            answer = agent.ask(request, within, LONGEST) => answer,
            () = again.notified() => {
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
                if told.send(list.into()).await.is_err() {
                    return;
                }
            }
            Err(why) => {
                let pause = retry.failed();
                eprintln!("discovery: {why}; asked again in {} ms", pause.as_millis());
                tokio::select! {
                    () = sleep(pause) => {}
                    () = again.notified() => index = None,
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_agent_that_is_behind_is_asked_for_the_whole_list() {
        let list = |index, snapshot| List { index, snapshot, ..List::default() };
        assert_eq!(next_index(None, &list(3, true)), Some(3));
        assert_eq!(next_index(Some(41), &list(43, false)), Some(43));
        assert_eq!(next_index(Some(41), &list(41, false)), Some(41));
        assert_eq!(next_index(Some(41), &list(3, false)), None);
        assert_eq!(next_index(Some(41), &list(3, true)), Some(3), "it was the whole list");
    }

    #[test]
    fn a_line_that_cannot_be_read_costs_no_other() {
        let good = r#"{"name":"a","address":"127.0.0.1:1","group":7,"status":"in_service"}"#;
        let bad = r#"{"name":"b","address":"nowhere","group":7,"status":"in_service"}"#;
        let text = format!(r#"{{"index":3,"snapshot":true,"endpoints":[{bad},7,{{}},{good}]}}"#);
        let list: List = serde_json::from_str(&text).expect("a list");
        assert_eq!(list.endpoints.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["a"]);
        assert_eq!((list.unreadable, list.index, list.snapshot), (vec!["b".to_owned()], 3, true));
    }
}
