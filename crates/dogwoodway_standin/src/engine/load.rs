//! The load that an engine reports, which lags behind the real one.

use std::collections::VecDeque;

use dogwoodway_types::Timestamp;

/// Samples of the load, the youngest last.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Timestamp, (usize, usize))>,
}

impl LoadHistory {
    /// Notes the load at a time.
    pub(crate) fn note(&mut self, now: Timestamp, load: (usize, usize)) {
        self.samples.push_back((now, load));
    }

    /// Returns the load as of `then` and forgets what is older.
    pub(crate) fn as_of(&mut self, then: Timestamp) -> (usize, usize) {
        while self.samples.get(1).is_some_and(|(at, _)| *at <= then) {
            self.samples.pop_front();
        }
        match self.samples.front() {
            Some((at, load)) if *at <= then => *load,
            _ => (0, 0),
        }
    }
}
