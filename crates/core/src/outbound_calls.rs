//! Detects jobs during which the backend server waited for other services.
//!
//! Load pattern: call chains many services deep. A job that calls other
//! services takes at least as long as they do, so a slow service at the bottom
//! makes every server above it look slow. If that counted as a server's own
//! slowness, its concurrency limit would fall, its queue would grow, and the
//! servers above it would look slower still: one slow leaf would throttle the
//! whole tree. A chain that visits the same server twice would exceed the
//! reduced limit and wait for itself.
//!
//! The node sees its server's outbound calls but not which job makes them. A
//! job is therefore taken to have waited for other services if any outbound
//! call was in flight during the job, and its time is not evidence of the
//! server's speed.

/// Counts the calls that the backend server makes through its node.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutboundCalls {
    in_flight: u32,
    started: u64,
}

/// State of the outbound calls at the start of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutboundMark {
    idle: bool,
    started: u64,
}

impl OutboundCalls {
    /// Records the start of an outbound call.
    pub fn begin(&mut self) {
        self.in_flight += 1;
        self.started += 1;
    }

    /// Records that an outbound call was answered or abandoned.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the mark for a job that starts now.
    pub fn mark(&self) -> OutboundMark {
        OutboundMark {
            idle: self.in_flight == 0,
            started: self.started,
        }
    }

    /// True if no outbound call was in flight at any time since `mark`.
    pub fn none_since(&self, mark: OutboundMark) -> bool {
        mark.idle && self.started == mark.started
    }
}
