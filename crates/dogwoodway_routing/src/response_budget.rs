//! Bound on the memory that responses take whose clients read slowly.
//!
//! Load pattern: some hundred clients request responses of up to 256 KB, which are buffered completely, or
//! longer ones, and read nothing. 600 of them took 177 MB of a machine with 110 MB, and nothing ended
//! them as long as their kernels answered.
//!
//! Bytes are charged from when they are about to be read from a backend server until the client's
//! connection has taken them. A response without room is not read further, which holds its backend server
//! back. If memory is short, the response is aborted whose client has taken nothing for longest.

use std::{collections::BTreeMap, time::Duration};

use dogwoodway_types::Timestamp;

/// Time for which a client must have taken nothing before its response may be aborted. Backend servers
/// abort a response that stays unread for some seconds, and a retransmission after a lost packet takes
/// up to a second.
const MIN_STALL: Duration = Duration::from_millis(2_000);

/// Size up to which the next read from a backend server is not charged, in bytes: it is part of the memory of
/// a connection. Streams of tokens stay below it.
const MIN_READ_BYTES: u64 = 8 << 10;

/// Largest read from a backend server, in bytes.
const MAX_READ_BYTES: u64 = 64 << 10;

/// Buffers that may be full at a connection to a backend server: one that is passed on, one that is
/// complete, and one that is being read.
const READ_BUFFERS: u64 = 3;

/// A response that is charged to a [`ResponseBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResponseId(u64);

/// What a response without room for its next bytes does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Abort this other response, and wait until its memory is released.
    Abort(ResponseId),
    /// Wait until memory is released.
    Wait,
    /// Wait until memory is released, but decide again at this time.
    WaitUntil(Timestamp),
}

/// Memory of one response.
#[derive(Clone, Copy, Debug)]
struct HeldResponse {
    /// Bytes that its client can take.
    untaken: u64,
    /// Bytes that are read or about to be read, and that its client cannot take yet.
    read_ahead: u64,
    /// When its client last took bytes, or when there was something to take again.
    taken_at: Timestamp,
    is_aborted: bool,
}

/// Memory for the responses that clients have not taken.
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodway_routing::response_budget::{ResponseBudget, Shortage};
/// use dogwoodway_types::Timestamp;
///
/// let (mut budget, start) = (ResponseBudget::new(300_000), Timestamp(0));
/// let (unread, steady) = (budget.open(start), budget.open(start));
/// assert!(budget.reserve(unread, 250_000));
/// budget.hold(unread, 250_000, start);
/// assert!(!budget.reserve(steady, 100_000));
/// let later = start + Duration::from_secs(5);
/// assert_eq!(budget.resolve_shortage(steady, 100_000, later), Shortage::Abort(unread));
/// budget.close(unread);
/// assert!(budget.reserve(steady, 100_000));
/// ```
#[derive(Clone, Debug)]
pub struct ResponseBudget {
    capacity: u64,
    used: u64,
    responses: BTreeMap<ResponseId, HeldResponse>,
    next_id: u64,
}

impl ResponseBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: u64) -> ResponseBudget {
        ResponseBudget { capacity, used: 0, responses: BTreeMap::new(), next_id: 0 }
    }

    /// Adds a response that holds nothing yet.
    pub fn open(&mut self, now: Timestamp) -> ResponseId {
        let id = ResponseId(self.next_id);
        self.next_id += 1;
        let response = HeldResponse { untaken: 0, read_ahead: 0, taken_at: now, is_aborted: false };
        self.responses.insert(id, response);
        id
    }

    /// Makes the response's reservation for bytes that its client cannot take yet `bytes` bytes. Returns
    /// whether there is room; there always is for fewer than before.
    pub fn reserve(&mut self, id: ResponseId, bytes: u64) -> bool {
        let Some(response) = self.responses.get_mut(&id) else { return false };
        let used = self.used - response.read_ahead + bytes;
        if bytes > response.read_ahead && used > self.capacity {
            return false;
        }
        (response.read_ahead, self.used) = (bytes, used);
        true
    }

    /// Records that the client can take `bytes` bytes, which are covered by the reservation as far as
    /// that goes.
    pub fn hold(&mut self, id: ResponseId, bytes: u64, now: Timestamp) {
        let Some(response) = self.responses.get_mut(&id) else { return };
        if response.untaken == 0 {
            response.taken_at = now;
        }
        let reserved = bytes.min(response.read_ahead);
        response.read_ahead -= reserved;
        response.untaken += bytes;
        self.used += bytes - reserved;
    }

    /// Records that the client has taken `bytes` bytes.
    pub fn release(&mut self, id: ResponseId, bytes: u64, now: Timestamp) {
        let Some(response) = self.responses.get_mut(&id) else { return };
        let bytes = bytes.min(response.untaken);
        response.untaken -= bytes;
        response.taken_at = now;
        self.used -= bytes;
    }

    /// Removes a response of which nothing is in memory any more.
    pub fn close(&mut self, id: ResponseId) {
        if let Some(response) = self.responses.remove(&id) {
            self.used -= response.held();
        }
    }

    /// Decides what follows when [`ResponseBudget::reserve`] had no room for `bytes` bytes of `id`. No
    /// further response is aborted while the memory of those that are suffices.
    pub fn resolve_shortage(&mut self, id: ResponseId, bytes: u64, now: Timestamp) -> Shortage {
        let reserved = self.responses.get(&id).map_or(0, |response| response.read_ahead);
        let ending = self.responses.values().filter(|response| response.is_aborted);
        let released = ending.map(HeldResponse::held).sum::<u64>();
        if (self.used + bytes).saturating_sub(reserved + released) <= self.capacity {
            return Shortage::Wait;
        }
        let stalled = self.responses.iter_mut().filter(|(other, response)| {
            **other != id && response.untaken > 0 && !response.is_aborted
        });
        let Some((&victim, response)) = stalled.min_by_key(|(_, response)| response.taken_at)
        else {
            return Shortage::Wait;
        };
        let may_abort_at = response.taken_at + MIN_STALL;
        if now < may_abort_at {
            return Shortage::WaitUntil(may_abort_at);
        }
        response.is_aborted = true;
        Shortage::Abort(victim)
    }

    /// Returns how many bytes are charged.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns how many bytes are charged to a response.
    pub fn held(&self, id: ResponseId) -> u64 {
        self.responses.get(&id).map_or(0, HeldResponse::held)
    }
}

impl HeldResponse {
    fn held(&self) -> u64 {
        self.untaken + self.read_ahead
    }
}

/// Prediction of what the next read from a backend server takes. Reads grow and shrink with what arrives.
///
/// ```
/// use dogwoodway_routing::response_budget::ReadSize;
///
/// let mut size = ReadSize::default();
/// assert_eq!(size.reservation(), 0);
/// size.record(8_192);
/// assert_eq!(size.reservation(), 3 * 16_384);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSize(u64);

impl Default for ReadSize {
    fn default() -> ReadSize {
        ReadSize(MIN_READ_BYTES)
    }
}

impl ReadSize {
    /// Records that a read has returned `bytes` bytes.
    pub fn record(&mut self, bytes: u64) {
        if bytes >= self.0 {
            self.0 = (bytes.next_power_of_two() * 2).min(MAX_READ_BYTES);
        } else if bytes < self.0 / 2 {
            self.0 = (self.0 / 2).max(MIN_READ_BYTES);
        }
    }

    /// Returns how many bytes must be reserved for the next read.
    pub fn reservation(&self) -> u64 {
        if self.0 <= MIN_READ_BYTES { 0 } else { READ_BUFFERS * self.0 }
    }
}
