//! Stage of a node's planned stop, and which calls it still accepts.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use cowslip_wire::boot_instant::BootInstant;

/// Stage of a node's planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeStage {
    /// The node accepts all calls.
    #[default]
    Serving,
    /// The node accepts all calls, and its readiness page says that it is
    /// leaving.
    Leaving,
    /// The node accepts only calls whose deadline is before this instant; calls in
    /// flight finish.
    Ending(BootInstant),
    /// The node refuses new calls; calls in flight finish.
    Stopping,
}

impl NodeStage {
    /// Returns true if a call is accepted. `left` is the time until its
    /// deadline, if the caller states one.
    ///
    /// Guards against calls that the end of the process cuts off: calls that
    /// may last longer are refused while their verdict is still "not run".
    /// Short calls are accepted, such as those that the backend server makes
    /// for the last requests that it works on.
    pub fn accepts(self, left: Option<Duration>) -> bool {
        match self {
            Self::Serving | Self::Leaving => true,
            Self::Ending(latest) => {
                let until_latest = latest.saturating_duration_since(BootInstant::now());
                left.is_some_and(|left| left < until_latest)
            }
            Self::Stopping => false,
        }
    }
}

/// Progress of a node's planned stop, which its handlers share.
#[derive(Debug, Default)]
pub struct StopProgress {
    stage: Cell<NodeStage>,
    calls_ended: Cell<bool>,
    on_calls_ended: Notify,
}

impl StopProgress {
    /// Returns the current stage.
    pub fn stage(&self) -> NodeStage {
        self.stage.get()
    }

    /// Enters another stage.
    pub fn set_stage(&self, stage: NodeStage) {
        self.stage.set(stage);
    }

    /// Ends the calls in flight, because the process is about to end.
    pub fn end_calls(&self) {
        self.calls_ended.set(true);
        self.on_calls_ended.notify_waiters();
    }

    /// Completes when the calls in flight have no time left.
    pub async fn calls_ended(&self) {
        let ended = self.on_calls_ended.notified();
        if !self.calls_ended.get() {
            ended.await;
        }
    }
}
