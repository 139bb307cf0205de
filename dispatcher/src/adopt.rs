//! Adopts the listening socket for clients from the platform, which holds it across restarts.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::{Domain, Socket, Type};

/// The environment variable with the number of the descriptor.
pub const VARIABLE: &str = "NODE_ACCEPT_FD";

/// Why the inherited descriptor cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The variable does not hold a descriptor number.
    #[error("{VARIABLE}: `{0}` is not a descriptor number")]
    NotANumber(String),
    /// The descriptor does not exist or cannot be duplicated.
    #[error("{VARIABLE}: descriptor {0}: {1}")]
    Descriptor(i32, io::Error),
    /// The descriptor is not a listening TCP socket.
    #[error("{VARIABLE}: descriptor {0} is not a listening TCP socket")]
    NotAListener(i32),
    /// The socket listens on an address other than the configured one.
    #[error("{VARIABLE}: descriptor {0} listens on {1}, but {2} is configured")]
    WrongAddress(i32, SocketAddr, SocketAddr),
}

/// The inherited socket, if the variable is set. Returns a duplicate; the inherited descriptor stays open.
pub fn listener(expected: SocketAddr) -> Result<Option<TcpListener>, Error> {
    let Some(text) = std::env::var_os(VARIABLE).filter(|text| !text.is_empty()) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    let number = text.parse().ok().filter(|n: &i32| *n >= 0).ok_or(Error::NotANumber(text))?;
    adopt(number, expected).map(Some)
}

fn adopt(number: i32, expected: SocketAddr) -> Result<TcpListener, Error> {
    let bad = |e: io::Error| Error::Descriptor(number, e);
    // Duplicates the descriptor by number through a pidfd, which avoids the unsafe conversion of a raw number
    // to an owned descriptor.
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| bad(e.into()))?;
    let copy = pidfd_getfd(&own, number, PidfdGetfdFlags::empty()).map_err(|e| bad(e.into()))?;
    let socket = Socket::from(copy);
    let family = matches!(socket.domain(), Ok(Domain::IPV4 | Domain::IPV6));
    if !family || !matches!(socket.r#type(), Ok(Type::STREAM)) || !matches!(socket.is_listener(), Ok(true)) {
        return Err(Error::NotAListener(number));
    }
    let at = socket.local_addr().ok().and_then(|a| a.as_socket()).ok_or(Error::NotAListener(number))?;
    let any = at.ip().is_unspecified() || expected.ip().is_unspecified();
    if at.port() != expected.port() || !any && at.ip() != expected.ip() {
        return Err(Error::WrongAddress(number, at, expected));
    }
    socket.set_nonblocking(true).map_err(bad)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests {
    use std::os::fd::AsRawFd;

    use super::*;

    #[test]
    fn adopts_only_a_listening_socket_on_the_expected_address() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (number, at) = (listener.as_raw_fd(), listener.local_addr().expect("an address"));
        let ours = adopt(number, at).expect("it is good");
        assert_eq!(ours.local_addr().ok(), Some(at));
        let client = std::net::TcpStream::connect(at).expect("it listens");
        assert!(matches!(adopt(client.as_raw_fd(), at), Err(Error::NotAListener(_))));
        let other = SocketAddr::new(at.ip(), at.port() ^ 1);
        assert!(matches!(adopt(number, other), Err(Error::WrongAddress(..))));
        assert!(matches!(adopt(9_999, at), Err(Error::Descriptor(..))));
        let file = std::fs::File::open("/dev/null").expect("it is there");
        assert!(matches!(adopt(file.as_raw_fd(), at), Err(Error::NotAListener(_))));
        let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        assert!(matches!(adopt(datagrams.as_raw_fd(), at), Err(Error::NotAListener(_))));
    }
}
