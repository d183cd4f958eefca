//! Waits for a condition on a watched value.

use tokio::sync::watch;

/// Waits until the watched value meets `condition`; for ever if it does not and its
/// sender is gone, as at shutdown.
pub async fn wait_until<T>(
    watched: &watch::Receiver<T>,
    condition: impl FnMut(&T) -> bool,
) {
    let mut watched = watched.clone();
    if watched.wait_for(condition).await.is_err() {
        std::future::pending::<()>().await;
    }
}
