//! For how long an answer is known to go on.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Least time between two reports of received bytes for one response.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Progress of one answer, by the times at which bytes of it were read.
///
/// Bytes that are read after the reading process stood still may be from before an engine crashed. So
/// bytes only show that the answer went on at the report before: what is read an interval later was not
/// there yet.
///
/// ```
/// use dogwoodway_routing::part_blame::AnswerProgress;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let mut progress = AnswerProgress::new(at(100));
/// assert_eq!(progress.record(at(120)), None);
/// assert_eq!(progress.record(at(300)), Some(at(100)));
/// assert_eq!(progress.record(at(500)), Some(at(300)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AnswerProgress {
    reported_at: Timestamp,
}

impl AnswerProgress {
    /// Starts with the first bytes of an answer, or when its request is sent.
    pub fn new(now: Timestamp) -> AnswerProgress {
        AnswerProgress { reported_at: now }
    }

    /// Records that bytes were read. Returns until when the answer is known to have gone on, if that is
    /// to be reported now.
    pub fn record(&mut self, now: Timestamp) -> Option<Timestamp> {
        if now - self.reported_at < REPORT_INTERVAL {
            return None;
        }
        Some(std::mem::replace(&mut self.reported_at, now))
    }

    /// Returns when bytes were last reported.
    pub fn reported_at(&self) -> Timestamp {
        self.reported_at
    }
}
