//! Progress of request bodies while they are read, and when one that is stuck gives way to others.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Time within which [`MIN_PROGRESS_BYTES`] must arrive of a body that others wait for, in
/// milliseconds. Three packets lost in a row delay a body by 1.4 s.
const MAX_STALL_MS: u64 = 2_000;

/// Bytes that count as progress. A client that sends the largest body of 4,194,304 bytes within the
/// longest deadline of 15 s sends 70 times as many in the time above.
const MIN_PROGRESS_BYTES: u64 = 8 << 10;

/// Time for which others count as waiting after one was refused for lack of room, in milliseconds.
/// Clients that were refused come back about then.
const SHORTAGE_MS: u64 = 1_000;

/// Progress of one body.
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodway_routing::body_progress::BodyProgress;
/// use dogwoodway_types::Timestamp;
///
/// let start = Timestamp::from_millis(1_000);
/// let mut progress = BodyProgress::new(start);
/// progress.received(1, start + Duration::from_millis(1_500));
/// assert_eq!(progress.stuck_from(), Timestamp::from_millis(3_000), "a byte is too little");
/// progress.received(64 << 10, start + Duration::from_millis(1_600));
/// assert_eq!(progress.stuck_from(), Timestamp::from_millis(4_600));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    stuck_from: Timestamp,
    bytes: u64,
}

impl BodyProgress {
    /// Begins with a body of which nothing has arrived.
    pub fn new(now: Timestamp) -> BodyProgress {
        BodyProgress { stuck_from: now + Duration::from_millis(MAX_STALL_MS), bytes: 0 }
    }

    /// Notes that bytes have arrived.
    pub fn received(&mut self, bytes: u64, now: Timestamp) {
        self.bytes += bytes;
        if self.bytes >= MIN_PROGRESS_BYTES {
            *self = BodyProgress::new(now);
        }
    }

    /// Returns the time from which the body counts as stuck unless more of it arrives.
    pub fn stuck_from(&self) -> Timestamp {
        self.stuck_from
    }
}

/// Whether requests lack room that stuck bodies could give them.
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodway_routing::body_progress::Shortage;
/// use dogwoodway_types::Timestamp;
///
/// let now = Timestamp::from_millis(1_000);
/// let mut shortage = Shortage::default();
/// assert!(!shortage.is_present(now));
/// shortage.note(now);
/// assert!(shortage.is_present(now + Duration::from_millis(900)));
/// assert!(!shortage.is_present(now + Duration::from_millis(1_100)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    until: Timestamp,
}

impl Shortage {
    /// Notes that a request found no room.
    pub fn note(&mut self, now: Timestamp) {
        self.until = now + Duration::from_millis(SHORTAGE_MS);
    }

    /// Returns whether stuck bodies should give way.
    pub fn is_present(&self, now: Timestamp) -> bool {
        now < self.until
    }
}
