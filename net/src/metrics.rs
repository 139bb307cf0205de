//! Figures of a process as text, as monitoring reads them: a line each, `name value` or `name{label="value"} value`.
//!
//! Invariant: a line is always whole; what a label holds can't end it early.

use std::fmt::{Display, Write};
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::net::TcpListener;

use crate::messaging::{Call, Limits, Reply, serve};

/// The path under which a process tells them.
pub const PATH: &str = "/metrics";
/// The longest text: what comes beyond is left out, whole lines at a time.
const LONGEST: usize = 256 * 1024;

/// The figures of one moment.
#[derive(Debug, Default)]
pub struct Metrics(String);

impl Metrics {
    /// One figure.
    pub fn put(&mut self, name: &str, value: impl Display) {
        if self.0.len() < LONGEST {
            let _ = writeln!(self.0, "{name} {value}");
        }
    }

    /// One of several under the same name.
    pub fn put_labelled(&mut self, name: &str, label: &str, of: &str, value: impl Display) {
        if self.0.len() < LONGEST {
            let of: String = of.chars().filter(|c| !c.is_control() && !matches!(c, '"' | '\\')).collect();
            let _ = writeln!(self.0, "{name}{{{label}=\"{of}\"}} {value}");
        }
    }

    /// The answer to who asks for them.
    pub fn reply(self) -> Reply {
        let mut reply = Reply::json(StatusCode::OK, self.0);
        reply.headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        reply
    }
}

/// Serves figures at an address for as long as the process lives. A process whose address is taken goes on without: nobody is served
/// worse for it.
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
        Err(e) => log::warn!("no figures at {address}: {e}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_label_ends_no_line_and_the_text_is_bounded() {
        let mut figures = Metrics::default();
        figures.put("a", 1);
        figures.put_labelled("b", "of", "x\"}\n1 \\y", 2.5);
        assert_eq!(figures.0, "a 1\nb{of=\"x}1 y\"} 2.5\n");
        (0..100_000).for_each(|n| figures.put("c", n));
        assert!(figures.0.len() < LONGEST + 100 && figures.0.ends_with('\n'));
    }
}
