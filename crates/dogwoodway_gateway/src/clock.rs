//! The router's clock.
//!
//! It goes on while the VM is suspended and never jumps, unlike the time of day and the monotonic
//! clock of the standard library. Timestamps of one process can be compared with each other only.

use std::{sync::OnceLock, time::Duration};

use dogwoodway_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

static ORIGIN: OnceLock<(Timestamp, Duration)> = OnceLock::new();

/// Returns the current time.
///
/// ```
/// let first = dogwoodway_gateway::clock::now();
/// assert!(dogwoodway_gateway::clock::now() >= first);
/// ```
pub fn now() -> Timestamp {
    let since_boot = since_boot();
    let (origin, at_origin) = ORIGIN.get_or_init(|| (Timestamp::now(), since_boot));
    *origin + since_boot.saturating_sub(*at_origin)
}

/// Waits until a point in time.
pub async fn sleep_until(deadline: Timestamp) {
    tokio::time::sleep(deadline - now()).await;
}

/// Returns a point in time as the timers count it.
pub fn timer_instant(deadline: Timestamp) -> Instant {
    Instant::now() + (deadline - now())
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
