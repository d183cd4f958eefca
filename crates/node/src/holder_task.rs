//! Task that holds claims on idempotency keys for the fleet's entry nodes.

use std::time::Duration;
use std::time::Instant;

use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::claim::ClaimHolder;
use cowslip_core::claim::ClaimReply;
use cowslip_core::claim::ClaimRequest;
use cowslip_wire::wall_clock;

/// Capacity of the task's queue. While it is full, senders wait, which applies
/// backpressure to the claimants' connections.
const QUEUE_CAPACITY: usize = 1_024;

/// A claimant's request and the channel for its reply.
pub struct HolderMessage {
    /// Request of the claimant.
    pub request: ClaimRequest,
    /// Channel for the reply.
    pub reply: oneshot::Sender<ClaimReply>,
}

/// Starts the task without any claims and returns the channel to it.
pub fn spawn() -> mpsc::Sender<HolderMessage> {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(run(receiver));
    sender
}

async fn run(mut receiver: mpsc::Receiver<HolderMessage>) {
    let clock = HolderClock {
        started_wall: wall_clock::since_epoch(),
        started_instant: Instant::now(),
    };
    let mut holder = ClaimHolder::new(clock.now());
    info!("event=claims-empty process=node");
    while let Some(message) = receiver.recv().await {
        let reply = holder.handle(clock.now(), message.request);
        // The claimant may have timed out; it then asks again.
        let _ = message.reply.send(reply);
    }
}

/// Clock that starts at the wall-clock time and is monotonic from then on, so
/// that a step of the wall clock cannot move it back.
struct HolderClock {
    started_wall: Duration,
    started_instant: Instant,
}

impl HolderClock {
    fn now(&self) -> Duration {
        self.started_wall + self.started_instant.elapsed()
    }
}
