//! Tells the platform how messages ended that were not delivered, until it has taken every notice.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use millpost_net::link::{DiscoveryClient, Error};
use millpost_store::ledger::Answer;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Lines in one request, at most.
const LINES: usize = 64;
const WITHIN: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(20);

/// The end of a message, to be told.
pub struct Notice {
    pub id: u64,
    pub reference: String,
    pub answer: Answer,
}

/// Messages whose notices the platform has taken.
pub struct Taken(pub Vec<u64>);

#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "ref")]
    reference: &'a str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

fn body(notices: &[Notice]) -> serde_json::Result<Bytes> {
    let mut text = Vec::new();
    for notice in notices {
        let (result, wait_ms) = match notice.answer {
            Answer::Failed => ("dead", None),
            Answer::Refused { wait_ms } => ("bounced", Some(wait_ms).filter(|ms| *ms > 0)),
        };
        serde_json::to_writer(&mut text, &Line { reference: &notice.reference, result, wait_ms })?;
        text.push(b'\n');
    }
    Ok(text.into())
}

/// Sends what comes, in batches, each again until it is answered 204. Then the driver hears of it.
/// A batch that was on its way when the address changed goes to the new one: told twice does no harm.
pub async fn send<I: From<Taken>>(
    mut agent: DiscoveryClient,
    mut due: mpsc::Receiver<Notice>,
    told: mpsc::Sender<I>,
) {
    let mut batch = Vec::new();
    loop {
        if batch.is_empty() {
            tokio::select! {
                count = due.recv_many(&mut batch, LINES) => if count == 0 { return },
                () = agent.address_changed() => continue,
            }
        }
        let Ok(body) = body(&batch) else { return };
        let request =
            Request::post("/v1/notices").header("Content-Type", "application/json").body(Full::new(body));
        let Ok(request) = request else { return };
        match agent.ask(request, WITHIN, 4096).await {
            Ok((StatusCode::NO_CONTENT, _)) => {
                let ids = Taken(batch.drain(..).map(|n| n.id).collect());
                if told.send(ids.into()).await.is_err() {
                    return;
                }
            }
            Err(Error::Moved) => {}
            other => {
                match other {
                    Ok((status, _)) => eprintln!("notices: {status}"),
                    Err(e) => eprintln!("notices: {e}"),
                }
                sleep(PAUSE).await;
            }
        }
    }
}
