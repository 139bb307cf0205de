//! Metrics of a process in the Prometheus text format: one line each, `name value` or `name{label="value"}
//! value`.
//!
//! Invariant: every line is complete; a label value cannot end it early.

use std::fmt::{Display, Write};
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::net::TcpListener;

use crate::messaging::{Call, Limits, Reply, serve};

/// Path under which a process serves its metrics.
pub const PATH: &str = "/metrics";
/// Maximum length of the text in bytes; further lines are omitted.
const MAX_BYTES: usize = 256 * 1024;

/// The metrics at one moment.
#[derive(Debug, Default)]
pub struct Metrics(String);

impl Metrics {
    /// Adds a metric.
    pub fn put(&mut self, name: &str, value: impl Display) {
        if self.0.len() < MAX_BYTES {
            let _ = writeln!(self.0, "{name} {value}");
        }
    }

    /// Adds a metric with a label. Control characters, quotes and backslashes are removed from the label's
    /// value.
    pub fn put_labelled(&mut self, name: &str, label: &str, label_value: &str, value: impl Display) {
        if self.0.len() < MAX_BYTES {
            let label_value: String =
                label_value.chars().filter(|c| !c.is_control() && !matches!(c, '"' | '\\')).collect();
            let _ = writeln!(self.0, "{name}{{{label}=\"{label_value}\"}} {value}");
        }
    }

    /// Converts the metrics to an HTTP answer.
    pub fn reply(self) -> Reply {
        let mut reply = Reply::json(StatusCode::OK, self.0);
        reply.headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        reply
    }
}

/// Serves metrics at an address until the process ends. If the address cannot be bound, the process continues
/// without metrics, as clients are not affected.
pub async fn serve_at<H, F>(address: SocketAddr, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let limits = Limits {
        max_body_bytes: 0,
        idle_timeout: Duration::from_secs(20),
        body_timeout: Duration::from_secs(1),
        max_connections: 4,
        ack_timeout: None,
    };
    match TcpListener::bind(address).await {
        Ok(listener) => {
            tokio::spawn(serve(listener, limits, handler, std::future::pending()));
        }
        Err(e) => log::warn!("cannot serve metrics at {address}: {e}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn label_values_cannot_end_a_line_and_the_text_is_bounded() {
        let mut metrics = Metrics::default();
        metrics.put("a", 1);
        metrics.put_labelled("b", "of", "x\"}\n1 \\y", 2.5);
        assert_eq!(metrics.0, "a 1\nb{of=\"x}1 y\"} 2.5\n");
        (0..100_000).for_each(|n| metrics.put("c", n));
        assert!(metrics.0.len() < MAX_BYTES + 100 && metrics.0.ends_with('\n'));
    }
}
