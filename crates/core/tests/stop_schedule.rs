//! Times of planned stops of any length.

use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::stop_schedule::StopSchedule;

proptest! {
    // Guards against work that a planned stop breaks off before the last sixth of its
    // time, or that the end of the process breaks off, however long or short a stop is.
    #[test]
    fn all_work_goes_on_into_the_last_sixth_of_a_stop(
        within_ms in 500..120_000_u64,
        notice_ms in 0..10_000_u64,
    ) {
        let within = Duration::from_millis(within_ms);
        let notice = Duration::from_millis(notice_ms);
        let schedule = StopSchedule::of(within, notice);
        prop_assert!(schedule.notice <= notice);
        prop_assert!(schedule.notice <= within / 2);
        let last_sixth = within * 5 / 6;
        for end in [schedule.calls, schedule.peers, schedule.connections] {
            prop_assert!(end > last_sixth);
            prop_assert!(end < within);
        }
        prop_assert!(schedule.notice < schedule.deadlines);
        prop_assert!(schedule.deadlines < schedule.calls);
        prop_assert!(schedule.calls < schedule.peers);
        prop_assert!(schedule.peers < schedule.connections);
    }
}
