//! The operator: sends configurations to whatever serves the control plane and reads them back, as the users' page
//! says.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use crate::cluster::auditor::Auditor;
use crate::cluster::message::{exchange, request};
use crate::cluster::settings::Configuration;
use crate::wire::Message;

/// One answer's wait; more for large bodies.
const SILENCE: Duration = Duration::from_secs(1);

/// What became of a call.
#[derive(Clone, Debug)]
pub struct Done {
    /// The last status; 0 where there was no answer in all the time.
    pub status: u16,
    /// The body of the last answer.
    pub body: Vec<u8>,
    /// Who gave it.
    pub by: Option<SocketAddr>,
    /// From the first send on.
    pub took: Duration,
    /// Answers and silences, in their order; 0 for a silence or a failure.
    pub tries: Vec<u16>,
}

impl Done {
    /// Whether it was acknowledged.
    pub fn acknowledged(&self) -> bool {
        self.status == 200
    }
}

/// The operator.
pub struct Operator {
    controls: Vec<SocketAddr>,
    auditor: Auditor,
    next: AtomicUsize,
}

impl Operator {
    /// One that chooses among these addresses.
    pub fn new(controls: Vec<SocketAddr>, auditor: Auditor) -> Self {
        Operator { controls, auditor, next: AtomicUsize::new(0) }
    }

    /// The next call goes to this address first.
    pub fn begin_at(&self, control: usize) {
        self.next.store(control, Ordering::Relaxed);
    }

    /// Sends a configuration until it gets a clear answer or the time is up.
    pub async fn replace(&self, configuration: &Configuration, within: Duration) -> Done {
        self.auditor.configured(configuration);
        self.call("POST", "/Config.Replace", configuration.text().as_bytes(), within).await
    }

    /// Sends something that is no valid configuration, which must never be in force.
    pub async fn replace_with(&self, text: &str, within: Duration) -> Done {
        self.call("POST", "/Config.Replace", text.as_bytes(), within).await
    }

    /// Reads the newest configuration, if it comes in time and can be read.
    pub async fn read(&self, within: Duration) -> Option<Configuration> {
        serde_json::from_value(self.read_plain(within).await?).ok()
    }

    /// The same as it came.
    pub async fn read_plain(&self, within: Duration) -> Option<Value> {
        let done = self.call("GET", "/Config.Read", b"", within).await;
        done.acknowledged().then(|| serde_json::from_slice(&done.body).ok()).flatten()
    }

    async fn call(&self, method: &str, path: &str, body: &[u8], within: Duration) -> Done {
        let began = Instant::now();
        let mut pause = Duration::from_millis(100);
        let (mut tries, mut odd) = (Vec::new(), 0);
        loop {
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let control = self.controls[turn % self.controls.len()];
            let left = within.saturating_sub(began.elapsed());
            let got = self.ask(control, method, path, body, left).await;
            let status = got.as_ref().map_or(0, |(_, answer)| answer.status());
            tries.push(status);
            let clear = match status {
                200..300 | 400 | 409 | 412 | 413 | 422 => true,
                0 | 408 | 429 | 500.. => false,
                _ => {
                    odd += 1;
                    odd >= 3
                }
            };
            let took = began.elapsed();
            if clear || took + pause >= within {
                let (by, body) = got.map_or((None, Vec::new()), |(by, answer)| (Some(by), answer.body));
                return Done { status, body, by, took, tries };
            }
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_secs(2));
        }
    }

    /// One call, following where it is sent on twice.
    async fn ask(
        &self,
        control: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        left: Duration,
    ) -> io::Result<(SocketAddr, Message)> {
        let silence = SILENCE + Duration::from_millis(body.len() as u64 / 100);
        let (mut to, mut path) = (control, path.to_owned());
        for _ in 0..=2 {
            let fields = [("Content-Type", "application/json"), ("Connection", "close")];
            let bytes = request(method, &to.to_string(), &path, &fields, body, false);
            let answer = exchange(to, &bytes, silence.min(left)).await?;
            if answer.status() != 307 {
                return Ok((to, answer));
            }
            let location = answer.header("location").and_then(|l| l.strip_prefix("http://"));
            let (host, rest) = location.and_then(|l| l.split_once('/')).ok_or(io::ErrorKind::InvalidData)?;
            to = host.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            path = format!("/{rest}");
        }
        Err(io::ErrorKind::InvalidData.into())
    }
}
