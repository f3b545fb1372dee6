//! Signs that the process of a backend server has ended since a connection to it was lost.
//!
//! A lost connection alone says little: links break too, and then the requests on them must not be
//! blamed for a crash. A crash seldom shows itself by a refused connection alone, since kernels and
//! relays may accept connections for a process that has ended.
//!
//! | sign | process | why |
//! |---|---|---|
//! | a connection is refused | ended | nothing listens at its address |
//! | connections are accepted and closed at once, [`MIN_CLOSED_PROBES`] in a row | ended | a relay accepts them for nobody; one alone may have been reset on the way |
//! | it is listed with another start time | ended | the entry is of the process that followed |
//! | another server that started later is listed at its address | ended, but stays in use | an address has one server at a time, but another writer may have left the entry |
//! | another server answers at its address | ended | the same |
//! | connections are neither accepted nor refused | unknown | its link may be cut |
//! | its entry is gone | unknown | it may be cut off, or leave and still serve |
//! | a connection stays open | unknown | the process that followed may have accepted it |
//!
//! While requests are under suspicion, a server is probed again at [`PROBE_DELAYS_MS`], because a
//! kernel goes on accepting connections for a while after those of a process have ended.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Connections that are closed at once, one after the other, which show that the process has ended.
pub const MIN_CLOSED_PROBES: u32 = 2;

/// Times after the loss of a connection at which the server is probed again, in milliseconds. A
/// server takes a second or more to come back.
pub const PROBE_DELAYS_MS: [u64; 3] = [100, 300, 800];

/// What has shown that a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSign {
    /// A connection was refused.
    Refused,
    /// Connections were closed at once, [`MIN_CLOSED_PROBES`] in a row.
    Closed,
    /// The server was listed with another start time.
    Restarted,
    /// Another server was listed at its address.
    OtherServerListed,
    /// Another server answered at its address.
    OtherServerAnswered,
    /// Its end was known before the loss of the connection was noticed.
    KnownBefore,
}

impl EndSign {
    /// Returns whether requests that were sent after the end cannot have been lost: their connections
    /// were refused. Otherwise a relay may have accepted them for a process that had ended, and this
    /// router cannot tell them from the request that ended it.
    ///
    /// ```
    /// use dogwoodway_routing::direct::process_end::EndSign;
    ///
    /// assert!(EndSign::Refused.excludes_later_requests());
    /// assert!(!EndSign::Closed.excludes_later_requests());
    /// ```
    pub fn excludes_later_requests(self) -> bool {
        self == EndSign::Refused
    }
}

/// Result of a connection that was opened to a server without a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It stayed open.
    Open,
    /// It was accepted and closed at once.
    Closed,
    /// It was refused.
    Refused,
    /// It was neither accepted nor refused.
    Unanswered,
}

/// Start times that servers name, by which processes at one address or of one name are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingSign {
    /// The server itself is listed, with this start time.
    Itself(u64),
    /// Another server is listed at the same address, with this start time.
    OtherAtAddress(u64),
}

/// What probes have shown of one process since a connection to it was lost.
///
/// ```
/// use dogwoodway_routing::direct::process_end::{ProbeHistory, ProbeResult};
/// use dogwoodway_types::Timestamp;
///
/// let mut history = ProbeHistory::new(Timestamp::from_millis(5));
/// assert!(!history.record(ProbeResult::Closed));
/// assert!(history.record(ProbeResult::Closed));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeHistory {
    lost_at: Timestamp,
    closed_in_a_row: u32,
    started_probes: usize,
}

impl ProbeHistory {
    /// Creates the history of a process to which a connection was lost at `lost_at`.
    pub fn new(lost_at: Timestamp) -> ProbeHistory {
        ProbeHistory { lost_at, closed_in_a_row: 0, started_probes: 0 }
    }

    /// Records that another connection was lost, after which the server is probed for longer.
    pub fn record_loss(&mut self, now: Timestamp) {
        if self.started_probes >= PROBE_DELAYS_MS.len() {
            (self.lost_at, self.started_probes) = (now, 0);
        }
    }

    /// Records a probe. Returns whether the process has ended.
    pub fn record(&mut self, result: ProbeResult) -> bool {
        self.closed_in_a_row = match result {
            ProbeResult::Closed => self.closed_in_a_row + 1,
            ProbeResult::Open | ProbeResult::Refused | ProbeResult::Unanswered => 0,
        };
        result == ProbeResult::Refused || self.closed_in_a_row >= MIN_CLOSED_PROBES
    }

    /// Returns whether a further probe is due. If so, it counts as started.
    pub fn start_probe(&mut self, now: Timestamp) -> bool {
        let Some(delay_ms) = PROBE_DELAYS_MS.get(self.started_probes) else { return false };
        let is_due = now >= self.lost_at + Duration::from_millis(*delay_ms);
        self.started_probes += usize::from(is_due);
        is_due
    }
}

/// Returns whether a process has crashed whose connection ended in good order, as a killed one's does.
/// It is probed afterwards. One that was expected to stop has sent what it had to send.
///
/// ```
/// use dogwoodway_routing::direct::process_end::{ProbeResult, has_crashed};
///
/// assert!(has_crashed(ProbeResult::Refused, false));
/// assert!(!has_crashed(ProbeResult::Refused, true));
/// assert!(!has_crashed(ProbeResult::Unanswered, false));
/// ```
pub fn has_crashed(result: ProbeResult, is_expected_to_stop: bool) -> bool {
    result == ProbeResult::Refused && !is_expected_to_stop
}

/// Returns whether a listing shows that the process that started at `started_at_ms` has ended.
///
/// ```
/// use dogwoodway_routing::direct::process_end::{ListingSign, shows_end};
///
/// assert!(shows_end(2_000, ListingSign::Itself(3_000)));
/// assert!(shows_end(2_000, ListingSign::OtherAtAddress(3_000)));
/// // An old entry that comes back after an outage of the list.
/// assert!(!shows_end(2_000, ListingSign::OtherAtAddress(1_000)));
/// ```
pub fn shows_end(started_at_ms: u64, sign: ListingSign) -> bool {
    match sign {
        ListingSign::Itself(listed) => listed != started_at_ms,
        ListingSign::OtherAtAddress(listed) => listed > started_at_ms,
    }
}
