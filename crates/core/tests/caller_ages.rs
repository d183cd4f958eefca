//! Tests of estimating a call's age from its remaining time.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::load::caller_ages::CallerAges;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// After a second without service, retried calls arrive with what is left of
// their deadline, among new calls with all of it.
#[test]
fn a_shorter_remaining_time_means_a_retry() {
    let mut ages = CallerAges::default();
    let route: Arc<str> = "/sheets".into();
    assert_eq!(ages.age(millis(0), &route, millis(2_000)), millis(0));
    // Its own deadline was 1,700 to 2,000 ms, so it was first sent at least 800
    // ms ago.
    let age = ages.age(millis(10), &route, millis(900));
    assert!((millis(700)..=millis(800)).contains(&age), "{age:?}");
    assert_eq!(ages.age(millis(20), &route, millis(2_000)), millis(0));
    let other: Arc<str> = "/quota".into();
    assert_eq!(ages.age(millis(20), &other, millis(900)), millis(0));
}

// Callers are configured with a shorter deadline. All of them look like retries
// at first, which must end without intervention.
#[test]
fn a_shorter_deadline_becomes_the_longest_one() {
    let mut ages = CallerAges::default();
    let route: Arc<str> = "/sheets".into();
    ages.age(millis(0), &route, millis(2_000));
    assert_eq!(ages.age(millis(40_000), &route, millis(900)), millis(0));
    assert_eq!(ages.age(millis(40_010), &route, millis(900)), millis(0));
}

proptest! {
    // Callers set deadlines of about four seconds, each slightly different. If
    // the difference were taken for age, new calls would count as late from the
    // start and wait behind all others.
    #[test]
    fn calls_are_never_estimated_too_old(
        callers in prop::collection::vec((0.85..=1.0_f64, 0..3_000_u64), 1..200),
    ) {
        let mut ages = CallerAges::default();
        let route: Arc<str> = "/quota".into();
        for (part, elapsed) in callers {
            let left = millis(4_000).mul_f64(part).saturating_sub(millis(elapsed));
            let age = ages.age(millis(0), &route, left);
            prop_assert!(age <= millis(elapsed), "{:?} after {}", age, elapsed);
        }
    }
}
