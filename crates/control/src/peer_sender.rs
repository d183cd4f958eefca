//! Sends the messages of the agreement to the other instances.
//!
//! Load pattern: a burst of changes while one instance does not answer. Each
//! instance has its own task and bounded queue, so that an instance that hangs
//! delays no other. Messages queued during a POST request are sent with the
//! next one, which does not wait long for a request without an answer. A full
//! queue drops new messages: old heartbeats and entries are of no use, and the
//! agreement sends again what is missing. Snapshots have a separate queue, since
//! heartbeats behind a snapshot would arrive seconds late.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use tokio::sync::mpsc;

use cowslip_core::agreement::MemberMessage;
use cowslip_core::agreement::MessageBody;
use cowslip_core::encoded_size;
use cowslip_wire::agreement_messages::AgreeCall;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::codec::MESSAGE_BYTES_MAX;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::process_log::LogValue;

/// Capacity of the queue to one instance; a busy leader sends as many messages
/// in a second.
const QUEUE_CAPACITY: usize = 256;

/// Size of the messages in one queue, in bytes, from which on no more are taken. More
/// than the agreement has under way to one instance at a time.
const QUEUE_BYTES_MAX: usize = MESSAGE_BYTES_MAX / 4;

/// Maximum number of messages in one POST request.
const POST_MESSAGES_MAX: usize = 8;

/// Maximum size of the messages in one POST request, in bytes; a larger message is
/// sent alone. An eighth of what the receiver accepts.
const POST_BYTES_MAX: usize = MESSAGE_BYTES_MAX / 8;

/// Maximum number of queues: two to each of 64 addresses. A fleet has at most 18
/// instances; those that were replaced are no longer sent to.
const QUEUES_MAX: usize = 2 * 64;

/// Timeout of a POST request; about the length of the lease, after which the
/// messages are useless.
const POST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which messages no longer wait for an unanswered POST request and go over
/// another connection. In a cut the kernel loses what was sent and repeats it at
/// intervals that double, so that a connection may stay silent long after the cut.
/// Longer than an attempt to connect lasts; with [`POST_TIMEOUT`] it bounds the
/// requests to one instance to four.
const STALLED_AFTER: Duration = Duration::from_millis(250);

/// Pause after a connection could not be made, before the same messages are sent
/// again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(25);

/// Timeout of a snapshot transfer, for 16 MB over a link of 32 Mbit/s.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Queues to the other instances.
pub struct PeerSenders {
    client: PeerClient,
    /// Queues by address, for snapshots and for other messages.
    queues: BTreeMap<(SocketAddr, bool), PeerQueue>,
    /// Number of messages queued so far.
    sent: u64,
}

/// A message and its encoded size in bytes.
type SizedMessage = (MemberMessage, usize);

/// The queue to one instance.
struct PeerQueue {
    messages: mpsc::Sender<SizedMessage>,
    /// Sum of the sizes of the queued messages.
    queued_bytes: Rc<Cell<usize>>,
    /// Number of the last message queued.
    last_sent: u64,
}

impl PeerSenders {
    /// Creates senders that use `client`.
    pub fn new(client: PeerClient) -> Self {
        Self {
            client,
            queues: BTreeMap::new(),
            sent: 0,
        }
    }

    /// Queues a message, or drops it if the queue is full.
    pub fn send(&mut self, address: SocketAddr, message: MemberMessage) {
        let snapshot = matches!(message.body, MessageBody::Install { .. });
        let key = (address, snapshot);
        if !self.queues.contains_key(&key) && self.queues.len() >= QUEUES_MAX {
            self.close_oldest();
        }
        let client = &self.client;
        let queue = self
            .queues
            .entry(key)
            .or_insert_with(|| PeerQueue::spawn(client.clone(), address, snapshot));
        self.sent += 1;
        queue.last_sent = self.sent;
        queue.push(message);
    }

    /// Closes the queue that was not used for the longest time. What waits in it is
    /// still sent.
    fn close_oldest(&mut self) {
        let queues = self.queues.iter();
        let oldest = queues.min_by_key(|(_, queue)| queue.last_sent);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.queues.remove(&key);
        }
    }
}

impl PeerQueue {
    fn spawn(client: PeerClient, address: SocketAddr, snapshot: bool) -> Self {
        let (messages, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let queued_bytes = Rc::new(Cell::new(0));
        let mut source = QueuedMessages {
            messages: receiver,
            queued_bytes: Rc::clone(&queued_bytes),
            left_over: None,
        };
        let timeout = if snapshot {
            SNAPSHOT_TIMEOUT
        } else {
            POST_TIMEOUT
        };
        actix_rt::spawn(async move {
            while let Some(messages) = source.gather().await {
                let call = AgreeCall { messages };
                post_messages(&client, address, call, timeout).await;
            }
        });
        Self {
            messages,
            queued_bytes,
            last_sent: 0,
        }
    }

    /// Queues a message, or drops it if the queue is full.
    fn push(&self, message: MemberMessage) {
        let queued = self.queued_bytes.get();
        if queued >= QUEUE_BYTES_MAX {
            return;
        }
        let bytes = encoded_size::of(&message);
        if self.messages.try_send((message, bytes)).is_ok() {
            self.queued_bytes.set(queued + bytes);
        }
    }
}

/// The receiving end of a queue.
struct QueuedMessages {
    messages: mpsc::Receiver<SizedMessage>,
    queued_bytes: Rc<Cell<usize>>,
    /// Message that was taken and is too large to be sent with those before it.
    left_over: Option<SizedMessage>,
}

impl QueuedMessages {
    /// Waits for a message, and takes those that are sent with it; `None` once the
    /// queue is closed and empty.
    async fn gather(&mut self) -> Option<Vec<MemberMessage>> {
        let first = match self.left_over.take() {
            Some(first) => first,
            None => self.messages.recv().await?,
        };
        let mut bytes = first.1;
        let mut gathered = vec![first.0];
        while gathered.len() < POST_MESSAGES_MAX {
            let Ok(next) = self.messages.try_recv() else {
                break;
            };
            if bytes + next.1 > POST_BYTES_MAX {
                self.left_over = Some(next);
                break;
            }
            bytes += next.1;
            gathered.push(next.0);
        }
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
        Some(gathered)
    }
}

/// Sends messages within `timeout`. If no connection can be made, nothing was
/// sent, and the same messages are sent again. Returns once they are answered or
/// given up, or after [`STALLED_AFTER`] without an answer, which may still come.
///
/// Load pattern: all instances lose power and return within some tenths of a
/// second of each other. The first ones ask for votes before the last ones
/// listen. If those questions were dropped, there would be no leader until they
/// are asked again, and no node would have a configuration until then.
async fn post_messages(
    client: &PeerClient,
    address: SocketAddr,
    call: AgreeCall,
    timeout: Duration,
) {
    let call = Rc::new(call);
    let deadline = BootInstant::now() + timeout;
    loop {
        let left = deadline.saturating_duration_since(BootInstant::now());
        let (client, sent) = (client.clone(), Rc::clone(&call));
        let sending = actix_rt::spawn(async move {
            let error = client.send(address, &*sent, left).await.err()?;
            debug!(
                "event=agree-failed process=control to={address} error={}",
                LogValue(&error)
            );
            Some(error)
        });
        let sent = actix_rt::time::timeout(STALLED_AFTER, sending).await;
        let unconnected = matches!(sent, Ok(Ok(Some(PeerError::Connect(_)))));
        if !unconnected || left <= RECONNECT_PAUSE {
            return;
        }
        actix_rt::time::sleep(RECONNECT_PAUSE).await;
    }
}
