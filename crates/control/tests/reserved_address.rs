//! The addresses that tests give to the processes they start.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use self::reserved_address::reserve;

#[path = "support/reserved_address.rs"]
mod reserved_address;

// Guards against a process that finds its address in use at its start: the test that
// chose it had released it, and another socket was given the same port.
#[test]
fn a_reserved_address_is_left_to_its_owner() {
    let address = reserve(1);
    TcpStream::connect(address).expect_err("nothing listens");
    let any_port = SocketAddr::new(address.ip(), 0);
    let mut others = Vec::new();
    // As many as a process may open, which is a few thousand at least.
    while let Ok(other) = TcpListener::bind(any_port) {
        assert_ne!(other.local_addr().expect("its address"), address);
        others.push(other);
        if others.len() == 800 {
            break;
        }
    }
    for _ in 0..2 {
        let owner = TcpListener::bind(address).expect("it is left to its owner");
        TcpStream::connect(address).expect("its owner listens");
        drop(owner);
    }
}
