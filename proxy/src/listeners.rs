//! The listeners of a proxy: for clients, readiness checks, other proxies and its agent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use millpost_net::connection_limiter::ConnectionLimiter;
use millpost_net::messaging::{self, Limits, Reply};
use millpost_net::metrics;
use millpost_scheduler::ShutdownPhase;
use snafu::{OptionExt, ResultExt};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::errors::{Error, ListenSnafu, NeededSnafu};
use crate::frontend;
use crate::proxy::{Input, Proxy, loopback};

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })
}

/// Serves on all listeners until shutdown has finished.
pub async fn serve(
    proxy: &Rc<Proxy>,
    phases: watch::Receiver<ShutdownPhase>,
    metrics: Option<u16>,
) -> Result<(), Error> {
    let settings = &proxy.settings;
    let front = listen(settings.bind_addrs.front.context(NeededSnafu { key: "bind_addrs.front" })?).await?;
    let readiness =
        listen(settings.bind_addrs.readiness.context(NeededSnafu { key: "bind_addrs.readiness" })?).await?;
    let peers = listen(SocketAddr::new(settings.ip, settings.internal_ports.0)).await?;
    let agent = listen(SocketAddr::new(loopback(settings.ip), settings.internal_ports.0 + 1)).await?;
    log::info!("serving clients on {}", front.local_addr().map(|a| a.to_string()).unwrap_or_default());

    let limits = Limits {
        max_body_bytes: 8 << 20,
        idle_timeout: Duration::from_secs(60),
        body_timeout: Duration::from_secs(5),
        max_connections: 400,
        ack_timeout: None,
    };
    // Messages from the agent are processed before those of other proxies, as they may change function
    // owners.
    for (listener, inputs) in [(peers, proxy.inputs()), (agent, proxy.urgent_inputs())] {
        let handler = move |call| {
            let inputs = inputs.clone();
            async move {
                let (reply, replied) = oneshot::channel();
                let unavailable = || Reply::empty(StatusCode::SERVICE_UNAVAILABLE);
                if inputs.send(Input::Call(call, reply)).await.is_err() {
                    return unavailable();
                }
                replied.await.unwrap_or_else(|_| unavailable())
            }
        };
        tokio::spawn(messaging::serve(listener, limits, handler, std::future::pending()));
    }
    let (inputs, limits) = (proxy.inputs(), Limits { max_body_bytes: 0, max_connections: 20, ..limits });
    let handler = move |call| {
        let inputs = inputs.clone();
        async move {
            let (reply, replied) = oneshot::channel();
            let _ = inputs.send(Input::Call(call, reply)).await;
            replied.await.unwrap_or_else(|_| Reply::empty(StatusCode::SERVICE_UNAVAILABLE))
        }
    };
    if let Some(port) = metrics {
        metrics::serve_at(SocketAddr::new(settings.ip, port), handler.clone()).await;
    }
    tokio::spawn(messaging::serve(readiness, limits, handler, std::future::pending()));
    let limiter = ConnectionLimiter::new((settings.limits.max_fds as usize).saturating_sub(200) / 2);
    tokio::task::spawn_local(frontend::serve(Rc::clone(proxy), front, limiter, phases.clone()));
    proxy.run(phases).await;
    Ok(())
}
