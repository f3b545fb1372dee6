//! When messages arrived that a task reads from a socket.
//!
//! A process that stands still, or a virtual machine that is suspended, finds what it has received
//! meanwhile in its sockets. Messages name ages as of when they were sent, so that these count from when
//! a message arrived, not from when it is read.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Time between two wakeups of a receiving task from which the process is taken to have stood still. The
/// task wakes more often by itself.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Time after a stall within which all that waited in the socket is read, also where more messages
/// arrive all the while. The buffer of a socket holds some hundred.
const MAX_DRAIN: Duration = Duration::from_secs(1);

/// Time in which the process stood still.
#[derive(Clone, Copy, Debug)]
struct Stall {
    began_at: Timestamp,
    ended_at: Timestamp,
}

/// Bounds the time at which messages in a socket arrived.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::arrival::ArrivalClock;
/// use dogwoodway_types::Timestamp;
///
/// let start = Timestamp::from_millis(1_000);
/// let (soon, late) = (start + Duration::from_millis(90), start + Duration::from_secs(3));
/// let mut arrivals = ArrivalClock::new(start);
/// arrivals.record_wakeup(soon);
/// assert_eq!(arrivals.arrived_at(soon), soon);
/// arrivals.record_wakeup(late);
/// assert_eq!(arrivals.arrived_at(late), soon, "the process stood still");
/// arrivals.record_empty(late);
/// assert_eq!(arrivals.arrived_at(late), late);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ArrivalClock {
    woke_at: Timestamp,
    /// Present until what arrived meanwhile has been read.
    stall: Option<Stall>,
}

impl ArrivalClock {
    /// Creates the clock of a socket that is empty now.
    pub fn new(now: Timestamp) -> ArrivalClock {
        ArrivalClock { woke_at: now, stall: None }
    }

    /// Records that the receiving task runs.
    pub fn record_wakeup(&mut self, now: Timestamp) {
        if now - self.woke_at > MAX_SLEEP {
            let began_at = self.stall.map_or(self.woke_at, |known| known.began_at);
            self.stall = Some(Stall { began_at, ended_at: now });
        }
        self.woke_at = now;
        self.stall = self.stall.filter(|known| now - known.ended_at <= MAX_DRAIN);
    }

    /// Records that the socket was empty at `at` or later.
    pub fn record_empty(&mut self, at: Timestamp) {
        self.stall = self.stall.filter(|known| at < known.ended_at);
    }

    /// Returns when a message that is read at `now` arrived, or the earliest time if it may have waited
    /// while the process stood still.
    pub fn arrived_at(&self, now: Timestamp) -> Timestamp {
        self.stall.map_or(now, |known| known.began_at)
    }
}
