//! The bare forwarder that the dispatcher is measured against: hyper in, hyper out, one core, connections kept; no
//! module, no store, no rule. What its partner answers is what its client hears.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

#[derive(Default)]
struct Forwarder {
    idle: Mutex<HashMap<u64, Vec<SendRequest<Full<Bytes>>>>>,
    addresses: Vec<SocketAddr>,
}

impl Forwarder {
    async fn forward(&self, request: Request<Incoming>) -> Option<StatusCode> {
        let (head, body) = request.into_parts();
        let field = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let dest: u64 = field("X-Addressing")?.strip_prefix("dest=")?.parse().ok()?;
        let address = *self.addresses.get(dest as usize)?;
        let body = body.collect().await.ok()?.to_bytes();
        let call =
            Request::post("/hook").header("Host", address.to_string()).header("Req-Id", field("Req-Id")?);
        let call = call
            .header("Idempotency-Key", field("Idempotency-Key")?)
            .header("Req-Deadline", field("Req-Deadline")?);
        let call = call.body(Full::new(body)).ok()?;
        let lock = || self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = lock().get_mut(&dest).and_then(|all| {
            all.retain(|c| !c.is_closed());
            all.pop()
        });
        let mut connection = match kept {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect(address).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
                tokio::spawn(driver);
                sender
            }
        };
        connection.ready().await.ok()?;
        let answer = connection.send_request(call).await.ok()?;
        let status = answer.status();
        answer.into_body().collect().await.ok()?;
        lock().entry(dest).or_default().push(connection);
        Some(status)
    }
}

/// Serves until it is killed. Prints the address that it listens on.
///
/// # Errors
/// Where no port is free.
pub fn serve(addresses: Vec<SocketAddr>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        println!("{}", listener.local_addr()?);
        let forwarder = Arc::new(Forwarder { addresses, ..Forwarder::default() });
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors, perhaps: the next try may do better.
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                continue;
            };
            let forwarder = forwarder.clone();
            tokio::spawn(async move {
                let _ = stream.set_nodelay(true);
                let service = service_fn(move |request: Request<Incoming>| {
                    let forwarder = forwarder.clone();
                    async move {
                        let status = if request.uri().path() == "/healthz" {
                            StatusCode::OK
                        } else {
                            forwarder.forward(request).await.unwrap_or(StatusCode::BAD_GATEWAY)
                        };
                        let mut response = Response::new(Full::<Bytes>::default());
                        *response.status_mut() = status;
                        Ok::<_, Infallible>(response)
                    }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}
