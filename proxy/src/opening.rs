//! The addresses that a stall listens on: clients', the platform's, other stalls' and its porter's.

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
use crate::front;
use crate::shop::{Input, Shop, loopback};

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address: address.to_string() })
}

/// Serves until the end.
pub async fn work(
    shop: &Rc<Shop>,
    phases: watch::Receiver<ShutdownPhase>,
    metrics: Option<u16>,
) -> Result<(), Error> {
    let settings = &shop.settings;
    let front = listen(settings.bind_addrs.front.context(NeededSnafu { key: "bind_addrs.front" })?).await?;
    let ready =
        listen(settings.bind_addrs.readiness.context(NeededSnafu { key: "bind_addrs.readiness" })?).await?;
    let inner = listen(SocketAddr::new(settings.ip, settings.internal_ports.0)).await?;
    let local = listen(SocketAddr::new(loopback(settings.ip), settings.internal_ports.0 + 1)).await?;
    log::info!("serving clients on {}", front.local_addr().map(|a| a.to_string()).unwrap_or_default());

    let limits = Limits {
        max_body_bytes: 8 << 20,
        idle_timeout: Duration::from_secs(60),
        body_timeout: Duration::from_secs(5),
        max_connections: 400,
        ack_timeout: None,
    };
    // What the porter brings goes before what waits from others: who owns what may have changed.
    for (listener, inputs) in [(inner, shop.inputs()), (local, shop.urgent())] {
        let handler = move |call| {
            let inputs = inputs.clone();
            async move {
                let (reply, replied) = oneshot::channel();
                let gone = || Reply::empty(StatusCode::SERVICE_UNAVAILABLE);
                if inputs.send(Input::Call(call, reply)).await.is_err() {
                    return gone();
                }
                replied.await.unwrap_or_else(|_| gone())
            }
        };
        tokio::spawn(messaging::serve(listener, limits, handler, std::future::pending()));
    }
    let (inputs, limits) = (shop.inputs(), Limits { max_body_bytes: 0, max_connections: 20, ..limits });
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
    tokio::spawn(messaging::serve(ready, limits, handler, std::future::pending()));
    let room = ConnectionLimiter::new((settings.limits.max_fds as usize).saturating_sub(200) / 2);
    tokio::task::spawn_local(front::serve(Rc::clone(shop), front, room, phases.clone()));
    shop.rounds(phases).await;
    Ok(())
}
