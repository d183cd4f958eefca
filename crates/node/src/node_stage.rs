//! Where a node stands in its planned stop, and which calls it still takes.

use std::time::Duration;

use cowslip_wire::boot_instant::BootInstant;

/// Where a node stands in its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStage {
    /// It serves.
    Serving,
    /// It serves still, and says that it leaves.
    Leaving,
    /// It serves only calls whose own time is over before this moment; what
    /// is in flight ends.
    Ending(BootInstant),
    /// It refuses new calls; what is in flight ends.
    Stopping,
}

impl NodeStage {
    /// Whether a call is taken whose caller gives it `left`, where it says so.
    ///
    /// Guards against calls that are cut by the end of the process: those that
    /// may last longer are refused while that is still "not run". Short ones
    /// go on, such as the calls that the backend server makes for the last
    /// requests that it works on.
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
