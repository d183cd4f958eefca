//! Waits of tests for what other tasks do.

use std::time::Duration;
use std::time::Instant;

/// Waits until the condition holds, and fails after `timeout`. Returns how long that
/// took.
pub async fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < timeout, "never");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}
