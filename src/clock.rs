//! Waiting for a point in time.

use dogwoodway_types::Timestamp;

/// Waits until `deadline`; resolves at once if it has passed.
pub(crate) async fn sleep_until(deadline: Timestamp) {
    tokio::time::sleep(deadline - Timestamp::now()).await;
}
