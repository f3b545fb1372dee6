//! Load samples of an engine, from which its status reports the load with a lag.

use std::collections::VecDeque;

use dogwoodway_types::Timestamp;

/// Samples of the numbers of running and waiting requests, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Timestamp, (usize, usize))>,
}

impl LoadHistory {
    pub(crate) fn record(&mut self, now: Timestamp, load: (usize, usize)) {
        self.samples.push_back((now, load));
    }

    /// Returns the load at the time `then`, zero if there is no sample up to then, and drops the
    /// samples that later calls no longer need. `then` must not decrease from call to call.
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
