//! Sends the platform a notice for each message that was not delivered, until it has accepted every one.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use millpost_net::link::{DiscoveryClient, Error};
use millpost_store::ledger::Answer;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Maximum number of notices in one request.
const MAX_BATCH: usize = 64;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The final answer of a message, to be reported.
pub struct Notice {
    pub id: u64,
    pub reference: String,
    pub answer: Answer,
}

/// The messages whose notices the platform has accepted.
pub struct Accepted(pub Vec<u64>);

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

/// Sends notices in batches, each repeated until it is answered 204, and then reports them to the driver. A
/// batch in flight when the address changes is sent again to the new address: duplicate notices are harmless.
pub async fn send<I: From<Accepted>>(
    mut agent: DiscoveryClient,
    mut due: mpsc::Receiver<Notice>,
    input_tx: mpsc::Sender<I>,
) {
    let mut batch = Vec::new();
    loop {
        if batch.is_empty() {
            tokio::select! {
                count = due.recv_many(&mut batch, MAX_BATCH) => if count == 0 { return },
                () = agent.address_changed() => continue,
            }
        }
        let Ok(body) = body(&batch) else { return };
        let request =
            Request::post("/v1/notices").header("Content-Type", "application/json").body(Full::new(body));
        let Ok(request) = request else { return };
        match agent.ask(request, REQUEST_TIMEOUT, 4096).await {
            Ok((StatusCode::NO_CONTENT, _)) => {
                let ids = Accepted(batch.drain(..).map(|n| n.id).collect());
                if input_tx.send(ids.into()).await.is_err() {
                    return;
                }
            }
            Err(Error::Moved) => {}
            other => {
                match other {
                    Ok((status, _)) => eprintln!("notices: the platform answered {status}; retrying"),
                    Err(e) => eprintln!("notices: {e}; retrying"),
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
