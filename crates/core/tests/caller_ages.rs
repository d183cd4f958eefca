//! What a caller's remaining time tells of how long it has asked.

use std::sync::Arc;
use std::time::Duration;

use cowslip_core::load::caller_ages::CallerAges;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// After a second without service callers come back with what is left of
// their time, among new ones that give all of it.
#[test]
fn less_time_than_usual_means_asked_before() {
    let mut ages = CallerAges::default();
    let route: Arc<str> = "/sheets".into();
    assert_eq!(ages.age(millis(0), &route, millis(2_000)), millis(0));
    assert_eq!(ages.age(millis(10), &route, millis(900)), millis(1_100));
    assert_eq!(ages.age(millis(20), &route, millis(2_000)), millis(0));
    let other: Arc<str> = "/quota".into();
    assert_eq!(ages.age(millis(20), &other, millis(900)), millis(0));
}

// Callers are set to give less time. For a while all of them look as if they
// had asked before; that must end by itself.
#[test]
fn a_shorter_time_becomes_the_usual_one() {
    let mut ages = CallerAges::default();
    let route: Arc<str> = "/sheets".into();
    ages.age(millis(0), &route, millis(2_000));
    assert_eq!(ages.age(millis(40_000), &route, millis(900)), millis(0));
    assert_eq!(ages.age(millis(40_010), &route, millis(900)), millis(0));
}
