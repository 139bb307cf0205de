//! A link between any two: a TCP proxy on loopback whose connections can be cut, hung, slowed or let pass in one
//! direction only, at once or after so many bytes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What the link does with what passes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkConditions {
    /// All passes.
    #[default]
    Clear,
    /// All passes, each piece after so long.
    Delay(Duration),
    /// Connections are reset, and new ones too.
    Cut,
    /// Nothing passes; connections stay open.
    Hang,
    /// What goes out passes, what comes back does not.
    OneWay,
}

#[derive(Default)]
struct Count {
    out: AtomicU64,
    back: AtomicU64,
    connections: AtomicU64,
    /// The link is cut once so many bytes have gone out, or come back; `u64::MAX` for never.
    cut_out: AtomicU64,
    cut_back: AtomicU64,
}

/// The proxy.
#[derive(Clone)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    weather: Arc<watch::Sender<LinkConditions>>,
    count: Arc<Count>,
}

impl Link {
    /// A link to an address. Runs on the runtime that it is called in.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn to(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (weather, seen) = watch::channel(LinkConditions::Clear);
        let count = Arc::new(Count::default());
        count.cut_out.store(u64::MAX, Ordering::Relaxed);
        count.cut_back.store(u64::MAX, Ordering::Relaxed);
        let link = Link { address, weather: Arc::new(weather), count };
        let (counts, sender) = (link.count.clone(), link.weather.clone());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let (seen, counts, sender) = (seen.clone(), counts.clone(), sender.clone());
                tokio::spawn(async move {
                    counts.connections.fetch_add(1, Ordering::Relaxed);
                    let _ = carry(near, target, seen, counts, sender).await;
                });
            }
        });
        Ok(link)
    }

    /// Changes what it does from now on.
    pub fn set(&self, weather: LinkConditions) {
        let _ = self.weather.send(weather);
    }

    /// Cuts the link when so many further bytes have gone out; nothing after them passes.
    pub fn cut_after_out(&self, bytes: u64) {
        self.count.cut_out.store(self.count.out.load(Ordering::Relaxed) + bytes, Ordering::Relaxed);
    }

    /// Cuts the link when so many further bytes have come back.
    pub fn cut_after_back(&self, bytes: u64) {
        self.count.cut_back.store(self.count.back.load(Ordering::Relaxed) + bytes, Ordering::Relaxed);
    }

    /// Bytes that went out and came back, and connections so far.
    pub fn counts(&self) -> (u64, u64, u64) {
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (of(&self.count.out), of(&self.count.back), of(&self.count.connections))
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    mut seen: watch::Receiver<LinkConditions>,
    count: Arc<Count>,
    sender: Arc<watch::Sender<LinkConditions>>,
) -> io::Result<()> {
    let reset = |stream: &TcpStream| {
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    };
    if *seen.borrow() == LinkConditions::Cut {
        reset(&near);
        return Ok(());
    }
    let _ = seen.wait_for(|w| *w != LinkConditions::Hang).await;
    let far = TcpStream::connect(target).await?;
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // For a cut: both ends are reset once the streams go.
    reset(&near);
    reset(&far);
    let in_order = {
        let (mut near_in, mut near_out) = near.into_split();
        let (mut far_in, mut far_out) = far.into_split();
        let out = pass(&mut near_in, &mut far_out, seen.clone(), &count.out, &count.cut_out, &sender, false);
        let back =
            pass(&mut far_in, &mut near_out, seen.clone(), &count.back, &count.cut_back, &sender, true);
        let both = async { tokio::try_join!(out, back) };
        let done = tokio::select! {
            done = both => done.is_ok(),
            _ = seen.wait_for(|w| *w == LinkConditions::Cut) => false,
        };
        let near = near_in.reunite(near_out).map_err(|_| io::ErrorKind::Other)?;
        let far = far_in.reunite(far_out).map_err(|_| io::ErrorKind::Other)?;
        if done {
            let calm = |s: &TcpStream| drop(socket2::SockRef::from(s).set_linger(None));
            calm(&near);
            calm(&far);
        }
        done
    };
    if in_order { Ok(()) } else { Err(io::ErrorKind::ConnectionReset.into()) }
}

async fn pass(
    from: &mut (impl tokio::io::AsyncRead + Unpin),
    to: &mut (impl tokio::io::AsyncWrite + Unpin),
    mut seen: watch::Receiver<LinkConditions>,
    count: &AtomicU64,
    cut: &AtomicU64,
    sender: &watch::Sender<LinkConditions>,
    back: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let got = from.read(&mut buffer).await?;
        let stopped = |w: &LinkConditions| *w == LinkConditions::Hang || back && *w == LinkConditions::OneWay;
        let now = *seen.wait_for(|w| !stopped(w)).await.map_err(|_| io::ErrorKind::Other)?;
        if let LinkConditions::Delay(by) = now {
            sleep(by).await;
        }
        if got == 0 {
            return to.shutdown().await;
        }
        let before = count.fetch_add(got as u64, Ordering::Relaxed);
        let left = cut.load(Ordering::Relaxed).saturating_sub(before);
        if left < got as u64 {
            to.write_all(&buffer[..left as usize]).await?;
            to.flush().await?;
            cut.store(u64::MAX, Ordering::Relaxed);
            let _ = sender.send(LinkConditions::Cut);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&buffer[..got]).await?;
    }
}
