//! The control instances that follow a leader, for the roster that it proposes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control_roster::ControlSeat;

/// How long a control instance counts as live after its last request. It sends two
/// a second.
const LIVE_FOR: Duration = Duration::from_secs(2);

/// Control instances by their seats, with the time of their last request.
#[derive(Clone, Debug, Default)]
pub struct ControlPresence {
    seen: BTreeMap<ControlSeat, Duration>,
    /// When an instance that states no seat last sent a request.
    seatless_at: Option<Duration>,
}

impl ControlPresence {
    /// Records a request of a control instance. One of an earlier build states no
    /// seat.
    pub fn record(&mut self, now: Duration, seat: Option<&ControlSeat>) {
        let Some(seat) = seat else {
            self.seatless_at = Some(now);
            return;
        };
        self.seen.retain(|_, seen| is_live(now, *seen));
        self.seen.insert(seat.clone(), now);
    }

    /// The live instances; `None` while one of them states no seat, because its build
    /// cannot read a configuration with a roster.
    pub fn live(&self, now: Duration) -> Option<Vec<ControlSeat>> {
        if self.seatless_at.is_some_and(|seen| is_live(now, seen)) {
            return None;
        }
        let mut live = Vec::new();
        for (seat, seen) in &self.seen {
            if is_live(now, *seen) {
                live.push(seat.clone());
            }
        }
        Some(live)
    }
}

fn is_live(now: Duration, seen: Duration) -> bool {
    now.saturating_sub(seen) < LIVE_FOR
}
