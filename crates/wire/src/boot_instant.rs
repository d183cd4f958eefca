//! A moment on a clock that also runs while the machine is suspended.

use std::ops::Add;
use std::time::Duration;

use nix::time::clock_gettime;
use nix::time::ClockId;

/// Time since the machine started, suspended time included.
///
/// Guards against a process that was suspended with its machine: on the
/// usual steady clock no time has passed, so a leader goes on to answer by
/// a lease that ended long ago, and a drain counts as fresh. No step of the
/// wall clock moves this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// This moment.
    pub fn now() -> Self {
        // The clock is there on every Linux since 2.6.39; without it nothing
        // that rests on leases may run.
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(read.expect("the boot clock can be read").into())
    }

    /// Time since then.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this moment; zero where it is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}
