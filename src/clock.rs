//! Waits for points in time.

use dogwoodway_types::Timestamp;

/// Resolves at `deadline`, at once if it has passed.
pub(crate) async fn sleep_until(deadline: Timestamp) {
    tokio::time::sleep(deadline - Timestamp::now()).await;
}
