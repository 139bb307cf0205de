//! The clients' listening socket, where the platform holds it and every process inherits it.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::{Domain, Socket, Type};

/// Names the descriptor.
pub const VARIABLE: &str = "NODE_ACCEPT_FD";

/// Why it can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The variable is no number of a descriptor.
    #[error("{VARIABLE}: `{0}` is no descriptor")]
    NoNumber(String),
    /// There is no such descriptor, or it can't be had.
    #[error("{VARIABLE}: descriptor {0}: {1}")]
    Descriptor(i32, io::Error),
    /// It is something else.
    #[error("{VARIABLE}: descriptor {0} is no listening TCP socket")]
    NoListener(i32),
    /// It listens elsewhere.
    #[error("{VARIABLE}: descriptor {0} listens on {1}, and the configuration says {2}")]
    Elsewhere(i32, SocketAddr, SocketAddr),
}

/// The socket that was inherited, if the variable names one. The descriptor itself is left as it is; what is given is a
/// copy of it.
pub fn listener(expected: SocketAddr) -> Result<Option<TcpListener>, Error> {
    let Some(text) = std::env::var_os(VARIABLE).filter(|text| !text.is_empty()) else { return Ok(None) };
    let text = text.to_string_lossy().into_owned();
    let number = text.parse().ok().filter(|n: &i32| *n >= 0).ok_or(Error::NoNumber(text))?;
    adopt(number, expected).map(Some)
}

fn adopt(number: i32, expected: SocketAddr) -> Result<TcpListener, Error> {
    let bad = |e: io::Error| Error::Descriptor(number, e);
    // A process may copy any descriptor of its own; so no number has to be taken for an owned descriptor.
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| bad(e.into()))?;
    let copy = pidfd_getfd(&own, number, PidfdGetfdFlags::empty()).map_err(|e| bad(e.into()))?;
    let socket = Socket::from(copy);
    let family = matches!(socket.domain(), Ok(Domain::IPV4 | Domain::IPV6));
    if !family || !matches!(socket.r#type(), Ok(Type::STREAM)) || !matches!(socket.is_listener(), Ok(true)) {
        return Err(Error::NoListener(number));
    }
    let at = socket.local_addr().ok().and_then(|a| a.as_socket()).ok_or(Error::NoListener(number))?;
    let any = at.ip().is_unspecified() || expected.ip().is_unspecified();
    if at.port() != expected.port() || !any && at.ip() != expected.ip() {
        return Err(Error::Elsewhere(number, at, expected));
    }
    socket.set_nonblocking(true).map_err(bad)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests {
    use std::os::fd::AsRawFd;

    use super::*;

    #[test]
    fn a_listening_socket_on_the_expected_address_is_adopted_and_nothing_else() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (number, at) = (listener.as_raw_fd(), listener.local_addr().expect("an address"));
        let ours = adopt(number, at).expect("it is good");
        assert_eq!(ours.local_addr().ok(), Some(at));
        let client = std::net::TcpStream::connect(at).expect("it listens");
        assert!(matches!(adopt(client.as_raw_fd(), at), Err(Error::NoListener(_))));
        let other = SocketAddr::new(at.ip(), at.port() ^ 1);
        assert!(matches!(adopt(number, other), Err(Error::Elsewhere(..))));
        assert!(matches!(adopt(9_999, at), Err(Error::Descriptor(..))));
        let file = std::fs::File::open("/dev/null").expect("it is there");
        assert!(matches!(adopt(file.as_raw_fd(), at), Err(Error::NoListener(_))));
        let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        assert!(matches!(adopt(datagrams.as_raw_fd(), at), Err(Error::NoListener(_))));
    }
}
