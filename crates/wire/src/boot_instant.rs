//! A monotonic instant that includes the time while the machine is suspended.

use std::ops::Add;
use std::time::Duration;

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Time since the machine booted, including suspended time.
///
/// The usual monotonic clock stops while the machine is suspended: after a
/// resume, a leader would keep answering under a lease that has long expired,
/// and an old drain would count as recent. Steps of the wall clock do not
/// affect this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current instant.
    pub fn now() -> Self {
        // Linux has had this clock since 2.6.39. Without it, leases cannot be
        // timed and the process must not run.
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(read.expect("the boot clock can be read").into())
    }

    /// Returns the time from this instant until now.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is
    /// later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        // Some times are sums of what other processes state.
        Self(self.0.saturating_add(time))
    }
}
