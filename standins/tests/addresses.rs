//! The addresses that processes are started on, while other threads start children of theirs.

use std::net::TcpStream;
use std::process::Command;
use std::thread;

use millpost_standins::node::own_address;

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
