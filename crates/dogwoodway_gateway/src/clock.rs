//! The router's clock.
//!
//! It keeps counting while the VM is suspended, unlike the monotonic clock of the standard library,
//! and never jumps, unlike the wall clock. Only timestamps of the same process can be compared.

use std::{sync::OnceLock, time::Duration};

use dogwoodway_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Wall-clock time and time since boot at the first use of the clock.
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

/// Sleeps until `deadline`; returns at once if that has passed.
pub async fn sleep_until(deadline: Timestamp) {
    tokio::time::sleep(deadline - now()).await;
}

/// Converts `deadline` to an instant for tokio's timers.
pub fn timer_instant(deadline: Timestamp) -> Instant {
    Instant::now() + (deadline - now())
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
