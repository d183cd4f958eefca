//! TCP proxy on loopback that injects network faults.

use std::cell::Cell;
use std::cell::OnceCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::fault_plan::LinkMode;
use crate::fault_plan::ProcessId;
use crate::link_cuts::DirectedLink;
use crate::link_cuts::LinkCuts;
use crate::socket_owner::ProcessTable;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Time after which a connection that is opened across a cut is reset. The kernel
/// has accepted it, so it cannot stay unanswered as one whose first packet is lost;
/// the programs give up on those after this time.
const OPENING_TIMEOUT: Duration = Duration::from_millis(150);

/// The links between the processes of the fleet.
#[derive(Clone, Default)]
pub struct FleetLinks {
    /// Links that are cut now.
    pub cuts: Rc<LinkCuts>,
    /// Processes that may open connections.
    pub processes: Rc<ProcessTable>,
}

impl FleetLinks {
    /// Returns the links that lead to one process.
    pub fn to(&self, target: ProcessId) -> ProcessLinks {
        let fleet = self.clone();
        ProcessLinks { target, fleet }
    }
}

/// The links that lead through a proxy to one process of the fleet.
#[derive(Clone)]
pub struct ProcessLinks {
    /// The process behind the proxy.
    target: ProcessId,
    fleet: FleetLinks,
}

/// A running proxy of one link.
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

struct ProxyConfig {
    address: SocketAddr,
    target: Rc<Cell<SocketAddr>>,
    mode: watch::Receiver<LinkMode>,
    links: Option<ProcessLinks>,
}

impl LinkProxy {
    /// Accepts connections at `listen` and forwards each to the address that
    /// `target` holds when the connection is accepted. Cuts apply if `links` is
    /// given.
    pub fn bind(
        listen: SocketAddr,
        target: Rc<Cell<SocketAddr>>,
        links: Option<ProcessLinks>,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (mode, mode_receiver) = watch::channel(LinkMode::Pass);
        let config = ProxyConfig {
            address,
            target,
            mode: mode_receiver,
            links,
        };
        actix_rt::spawn(accept_connections(listener, config));
        Ok(Self { address, mode })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour of new and open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(listener: TcpListener, config: ProxyConfig) {
    loop {
        // A connection that ended before it was accepted can be ignored.
        let Ok((client, from)) = listener.accept().await else {
            continue;
        };
        let links = config.links.clone();
        let route = links.map(|links| CuttableRoute {
            client: from,
            listen: config.address,
            links,
            opener: Rc::default(),
        });
        let connection = ProxiedConnection {
            mode: config.mode.clone(),
            route,
        };
        actix_rt::spawn(connection.forward(client, config.target.get()));
    }
}

/// Both directions of a connection between two processes of the fleet.
#[derive(Clone)]
struct CuttableRoute {
    client: SocketAddr,
    listen: SocketAddr,
    links: ProcessLinks,
    /// The process that opened the connection, once a cut makes it matter: looking it
    /// up for each connection would stall the proxies of a fleet that reconnects.
    opener: Rc<OnceCell<Option<ProcessId>>>,
}

impl CuttableRoute {
    /// Returns the link in one direction; `None` if no link is cut, or the process
    /// that opened the connection is not of the fleet.
    fn link(&self, outbound: bool) -> Option<DirectedLink> {
        let fleet = &self.links.fleet;
        if !fleet.cuts.is_active() {
            return None;
        }
        let find = || fleet.processes.opener(self.client, self.listen);
        let opener = (*self.opener.get_or_init(find))?;
        let target = self.links.target;
        Some(if outbound {
            (opener, target)
        } else {
            (target, opener)
        })
    }

    fn is_cut(&self) -> bool {
        let mut links = [true, false].into_iter().filter_map(|way| self.link(way));
        links.any(|link| self.links.fleet.cuts.is_cut(link))
    }
}

#[derive(Clone)]
struct ProxiedConnection {
    mode: watch::Receiver<LinkMode>,
    route: Option<CuttableRoute>,
}

impl ProxiedConnection {
    async fn forward(mut self, client: TcpStream, target: SocketAddr) {
        // With zero linger, closing the socket drops unsent bytes and sends a reset.
        let _ = client.set_zero_linger();
        if *self.mode.borrow() == LinkMode::Reset {
            return;
        }
        if self.route.as_ref().is_some_and(CuttableRoute::is_cut) {
            actix_rt::time::sleep(OPENING_TIMEOUT).await;
            return;
        }
        let Ok(upstream) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let outbound = self.clone().copy(client_read, upstream_write, true);
        let inbound = self.clone().copy(upstream_read, client_write, false);
        let reset = self.mode.wait_for(|mode| *mode == LinkMode::Reset);
        tokio::select! {
            _ = async { tokio::join!(outbound, inbound) } => {}
            _ = reset => {}
        }
    }

    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, outbound: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(read) => read,
            };
            let current_mode = *self.mode.borrow();
            match current_mode {
                LinkMode::Silent => continue,
                LinkMode::OneWay if !outbound => continue,
                LinkMode::Delay(time) => actix_rt::time::sleep(time).await,
                _ => {}
            }
            self.transmit(outbound).await;
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
        self.transmit(outbound).await;
        // Fails if the other side has closed the connection already.
        let _ = to.shutdown().await;
    }

    async fn transmit(&self, outbound: bool) {
        let Some(route) = &self.route else {
            return;
        };
        if let Some(link) = route.link(outbound) {
            route.links.fleet.cuts.transmit(link).await;
        }
    }
}
