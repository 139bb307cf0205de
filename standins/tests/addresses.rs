//! The addresses that processes are started on, while other threads start children of theirs.

use std::net::{Ipv4Addr, TcpStream, UdpSocket};
use std::process::Command;
use std::thread;

use millpost_standins::node::own_address;
use millpost_standins::peers::Relay;

/// Who asks a process whether it is ready must not reach a leftover of the address's search instead.
#[test]
fn nobody_listens_on_an_address_before_its_process_does() {
    let reached = |_| {
        let mut reached = 0;
        for _ in 0..250 {
            reached += u32::from(TcpStream::connect(own_address()).is_ok());
            assert!(Command::new("true").status().expect("a child").success());
        }
        reached
    };
    let reached: u32 = thread::scope(|scope| {
        let all: Vec<_> = (0..6).map(|n| scope.spawn(move || reached(n))).collect();
        all.into_iter().map(|one| one.join().expect("it ends")).sum()
    });
    assert_eq!(reached, 0);
}

/// Guards against a dispatcher that never hears the others: until it has started, another socket may be given its port.
#[test]
fn a_port_that_a_dispatcher_is_to_bind_stays_free_whatever_others_draw() {
    let relay = Relay::start(4).expect("ports");
    for listen in &relay.listens {
        let _other = UdpSocket::bind((Ipv4Addr::LOCALHOST, listen.port()));
        assert!(UdpSocket::bind(listen).is_ok(), "{listen} is taken");
    }
}
