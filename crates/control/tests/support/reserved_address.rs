//! Addresses for processes that bind them later.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Mutex;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Sockets that hold the reserved addresses until the test process ends.
static HOLDERS: Mutex<Vec<Socket>> = Mutex::new(Vec::new());

/// Returns a loopback address on which nothing listens and that is given to no other
/// socket until the test process ends.
///
/// The address is held by a socket that does not listen. The kernel lets another socket
/// bind it as well, since both allow its reuse, but gives it to none that asks for any
/// port. IP addresses differ between test processes and by `number`.
pub fn reserve(number: u8) -> SocketAddr {
    let pid = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, pid[2] | 1, pid[3], number);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    let any_port = SocketAddr::from((host, 0));
    socket.bind(&any_port.into()).expect("a free port");
    let address = socket.local_addr().expect("its address");
    HOLDERS.lock().expect("no panic").push(socket);
    address.as_socket().expect("an IP address")
}
