//! Finds the process of the fleet that holds one end of a loopback connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use crate::fault_plan::ProcessId;

/// Column of the inode in a line of `/proc/net/tcp`.
const INODE_COLUMN: usize = 9;

/// IDs of the running processes of the fleet.
#[derive(Default)]
pub struct ProcessTable {
    pids: RefCell<Vec<(ProcessId, Rc<Cell<u32>>)>>,
}

impl ProcessTable {
    /// Adds a process whose ID is in `pid`, also after later starts.
    pub fn add(&self, id: ProcessId, pid: Rc<Cell<u32>>) {
        self.pids.borrow_mut().push((id, pid));
    }

    /// Returns the process that opened the connection from `client` to `listen`;
    /// `None` if it is not of the fleet, or has closed the connection already.
    pub fn opener(&self, client: SocketAddr, listen: SocketAddr) -> Option<ProcessId> {
        let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
        let inode = socket_inode(&sockets, client, listen)?;
        let target = format!("socket:[{inode}]");
        let pids = self.pids.borrow();
        let mut owners = pids
            .iter()
            .filter(|(_, pid)| has_descriptor(pid.get(), &target));
        owners.next().map(|(id, _)| *id)
    }
}

/// Returns the inode of the socket with these addresses in the kernel's list.
fn socket_inode(sockets: &str, local: SocketAddr, remote: SocketAddr) -> Option<&str> {
    let (local, remote) = (kernel_form(local)?, kernel_form(remote)?);
    for line in sockets.lines().skip(1) {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let matches =
            columns.get(1) == Some(&&*local) && columns.get(2) == Some(&&*remote);
        if matches {
            return columns.get(INODE_COLUMN).copied();
        }
    }
    None
}

/// Returns an address as the kernel lists it: hexadecimal, the host in native byte
/// order.
fn kernel_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let host = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{host:08X}:{:04X}", address.port()))
}

fn has_descriptor(pid: u32, target: &str) -> bool {
    // A process that has ended has no descriptors.
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let mut links = descriptors
        .flatten()
        .map(|entry| fs::read_link(entry.path()));
    links.any(|link| link.is_ok_and(|link| link == Path::new(target)))
}
