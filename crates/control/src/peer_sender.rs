//! Carries the messages of the agreement to the other instances.
//!
//! Load pattern: a burst of changes, and an instance that does not answer.
//! Each instance has a task and a bounded queue of its own, so that one
//! that hangs delays nobody else; what waits while a post is under way goes
//! with the next post. A full queue drops messages, which the agreement
//! makes good, because old heartbeats and entries are of no use. Snapshots
//! go apart: heartbeats behind one would arrive seconds late.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use log::debug;
use tokio::sync::mpsc;

use cowslip_core::agreement::MemberMessage;
use cowslip_core::agreement::MessageBody;
use cowslip_wire::agreement_messages::AgreeCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;

/// Messages waiting for one instance; a second of a busy leader's.
const QUEUE_CAPACITY: usize = 256;

/// Messages of one post. Each holds at most a megabyte of entries, and
/// large ones are rare.
const POST_MESSAGES_MAX: usize = 8;

/// Instances with a queue; the fleet has 18 at most.
const PEERS_MAX: usize = 64;

/// Wait for a post to be taken, about the lease: later is too late.
const POST_TIMEOUT: Duration = Duration::from_secs(1);

/// Wait for a snapshot to be taken: 16 MB on a link of 32 Mbit/s.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Queues to the other instances.
pub struct PeerSenders {
    client: PeerClient,
    queues: BTreeMap<(SocketAddr, bool), mpsc::Sender<MemberMessage>>,
}

impl PeerSenders {
    /// Senders that use `client`.
    pub fn new(client: PeerClient) -> Self {
        Self {
            client,
            queues: BTreeMap::new(),
        }
    }

    /// Queues a message, or drops it where the queue is full.
    pub fn send(&mut self, address: SocketAddr, message: MemberMessage) {
        let snapshot = matches!(message.body, MessageBody::Install { .. });
        let key = (address, snapshot);
        if !self.queues.contains_key(&key) {
            if self.queues.len() >= 2 * PEERS_MAX {
                return;
            }
            let queue = spawn_queue(self.client.clone(), address, snapshot);
            self.queues.insert(key, queue);
        }
        if let Some(queue) = self.queues.get(&key) {
            let _ = queue.try_send(message);
        }
    }
}

fn spawn_queue(
    client: PeerClient,
    address: SocketAddr,
    snapshot: bool,
) -> mpsc::Sender<MemberMessage> {
    let (queue, mut messages) = mpsc::channel(QUEUE_CAPACITY);
    let timeout = if snapshot {
        SNAPSHOT_TIMEOUT
    } else {
        POST_TIMEOUT
    };
    actix_rt::spawn(async move {
        let mut gathered = Vec::new();
        while messages.recv_many(&mut gathered, POST_MESSAGES_MAX).await > 0 {
            let call = AgreeCall {
                messages: std::mem::take(&mut gathered),
            };
            if let Err(failure) = client.send(address, &call, timeout).await {
                debug!(
                    "event=agree-failed process=control to={address} error={}",
                    LogValue(failure)
                );
            }
        }
    });
    queue
}
