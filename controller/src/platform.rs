//! Calls to the platform: lists of instances and workers, starts and stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use millpost_autoscaler::platform::{self, StartFault, StopFault, Worker};
use millpost_net::link::{Client, Options};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::leadership::{Call, Page, PlatformReply};

/// Timeout of the lists, which are then requested again in the next period.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a start or stop, whose outcome is unknown after it.
const DUTY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Characters of a query value that are encoded: all but letters, digits and those that no query gives a meaning.
const QUERY_VALUE: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Returns the path and query of a page of the list. A token is opaque: any text that the platform has given.
fn list_path(token: Option<&str>) -> String {
    match token {
        Some(token) => format!("/endpoints?page_token={}", utf8_percent_encode(token, QUERY_VALUE)),
        None => "/endpoints".to_owned(),
    }
}

/// The platform's client for the holder of a fence.
pub struct Platform {
    client: Client,
    headers: HeaderMap,
}

impl Platform {
    /// Creates the client for this address.
    pub fn new(address: SocketAddr, holder: &str, fence: u64) -> Arc<Self> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(holder) = HeaderValue::from_str(holder) {
            headers.insert("x-duty-holder", holder);
        }
        headers.insert("x-fence-number", HeaderValue::from(fence));
        let connect = Some(Duration::from_millis(500));
        let options = Options { connect_timeout: connect, ack_timeout: Some(Duration::from_millis(2_000)) };
        Arc::new(Platform { client: Client::new(address, options), headers })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let body = Bytes::from(body);
        let headers = if method == Method::GET { HeaderMap::new() } else { self.headers.clone() };
        match self.client.call(method, path, headers, body, timeout, platform::MAX_ANSWER_BYTES).await {
            Ok((status, _, body)) => Some((status.as_u16(), String::from_utf8_lossy(&body).into_owned())),
            Err(e) => {
                self.client.clear();
                log::debug!("call to platform {path} failed: {e}");
                None
            }
        }
    }

    /// Makes a call and returns its reply.
    pub async fn carry_out(&self, call: Call) -> PlatformReply {
        match call {
            Call::List { token } => PlatformReply::Listed(self.list(token.as_deref()).await),
            Call::Workers => PlatformReply::Workers(self.workers().await),
            Call::Start { service, worker, nonce } => {
                let answer = self.start(&service, &worker, &nonce).await;
                PlatformReply::Started { nonce, answer }
            }
            Call::Stop { id } => {
                let answer = self.stop(&id).await;
                PlatformReply::Stopped { id, answer }
            }
        }
    }

    /// Reads a page of the list.
    async fn list(&self, token: Option<&str>) -> Option<Page> {
        match self.call(Method::GET, &list_path(token), String::new(), LIST_TIMEOUT).await? {
            (200, text) => {
                platform::read_endpoints(&text).map_err(|e| log::warn!("invalid list of endpoints: {e}")).ok()
            }
            _ => None,
        }
    }

    /// Reads the workers.
    async fn workers(&self) -> Option<Vec<Worker>> {
        match self.call(Method::GET, "/workers", String::new(), LIST_TIMEOUT).await? {
            (200, text) => {
                platform::read_workers(&text).map_err(|e| log::warn!("invalid list of workers: {e}")).ok()
            }
            _ => None,
        }
    }

    /// Starts an instance.
    async fn start(
        &self,
        service: &str,
        worker: &str,
        nonce: &str,
    ) -> Result<(CompactString, SocketAddr), StartFault> {
        let body = platform::start_body(service, worker, nonce);
        match self.call(Method::POST, "/start", body, DUTY_TIMEOUT).await {
            Some((status, text)) => platform::start_answer(status, &text),
            None => Err(StartFault::Unclear),
        }
    }

    /// Stops an instance.
    async fn stop(&self, id: &str) -> Result<(), StopFault> {
        match self.call(Method::POST, "/stop", platform::stop_body(id), DUTY_TIMEOUT).await {
            Some((status, _)) => platform::stop_answer(status),
            None => Err(StopFault::Unclear),
        }
    }
}

#[cfg(test)]
mod tests {
    use percent_encoding::percent_decode_str;

    use super::*;

    /// Guards against a list of which only the first page is ever read: a token with characters that have a meaning in
    /// a query arrived as another one, and a leader without a whole list starts nothing.
    #[yare::parameterized(
        plain = { "p-50", "p-50" },
        base64 = { "++++ZnJvbSA4/w==", "%2B%2B%2B%2BZnJvbSA4%2Fw%3D%3D" },
        another_parameter = { "a&zone=b", "a%26zone%3Db" },
        encoded_before = { "a%2Fb", "a%252Fb" },
        fragment_and_spaces = { "a b#c?\r\n", "a%20b%23c%3F%0D%0A" },
        not_ascii = { "s\u{e9}", "s%C3%A9" },
    )]
    fn a_page_token_arrives_as_the_platform_gave_it(token: &str, encoded: &str) {
        let path = list_path(Some(token));
        assert_eq!(path, format!("/endpoints?page_token={encoded}"));
        assert!(path.parse::<hyper::Uri>().is_ok());
        assert_eq!(percent_decode_str(encoded).decode_utf8().as_deref(), Ok(token));
        assert_eq!(list_path(None), "/endpoints");
    }
}
