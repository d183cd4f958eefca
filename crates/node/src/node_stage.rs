//! Stage of a node's planned stop, and which calls it still accepts.

use std::time::Duration;

use cowslip_wire::boot_instant::BootInstant;

/// Stage of a node's planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStage {
    /// The node accepts all calls.
    Serving,
    /// The node accepts all calls, and its readiness page says that it is
    /// leaving.
    Leaving,
    /// The node accepts only calls whose deadline is before this instant; calls
    /// in flight finish.
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
            Self::Ending(end) => {
                let until_end = end.saturating_duration_since(BootInstant::now());
                left.is_some_and(|left| left < until_end)
            }
            Self::Stopping => false,
        }
    }
}
