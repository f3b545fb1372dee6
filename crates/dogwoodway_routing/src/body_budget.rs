//! Bound on the memory that request bodies take together.

/// Largest body that counts as small, in bytes.
const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Share of the budget, as its reciprocal, that only small bodies may use, so that they are read while
/// large ones take up the rest.
const SMALL_SHARE: u64 = 8;

/// Maximum number of large bodies that wait for room. What the kernel receives of them meanwhile takes
/// memory too.
const MAX_WAITING: u32 = 32;

/// What happens to a request whose body is about to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyAdmission {
    /// Its bytes are reserved.
    Read,
    /// It counts as waiting until [`BodyBudget::end_wait`].
    Wait,
    /// Neither is there room, nor may it wait for any.
    Refuse,
}

/// Memory for the bodies of requests, from when they are read until the requests have ended.
///
/// ```
/// use dogwoodway_routing::body_budget::{BodyAdmission, BodyBudget};
///
/// let mut budget = BodyBudget::new(8_000_000);
/// assert_eq!(budget.admit(7_000_000), BodyAdmission::Read);
/// assert_eq!(budget.admit(2_000_000), BodyAdmission::Wait);
/// assert_eq!(budget.admit(2_000), BodyAdmission::Read);
/// budget.release(7_000_000);
/// assert!(budget.admit_waiting(2_000_000));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BodyBudget {
    capacity: u64,
    used: u64,
    waiting: u32,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: u64) -> BodyBudget {
        BodyBudget { capacity, used: 0, waiting: 0 }
    }

    /// Decides on a request that has arrived, with a body of this many bytes.
    pub fn admit(&mut self, bytes: u64) -> BodyAdmission {
        // Large bodies do not overtake others that wait.
        let may_read = bytes <= SMALL_BODY_BYTES || self.waiting == 0;
        if may_read && self.reserve(bytes) {
            return BodyAdmission::Read;
        }
        let can_ever_fit = bytes <= self.large_capacity();
        if bytes <= SMALL_BODY_BYTES || !can_ever_fit || self.waiting >= MAX_WAITING {
            return BodyAdmission::Refuse;
        }
        self.waiting += 1;
        BodyAdmission::Wait
    }

    /// Reserves room for a body that waits, if there is any. It still counts as waiting.
    pub fn admit_waiting(&mut self, bytes: u64) -> bool {
        self.reserve(bytes)
    }

    /// Ends the wait of a request, whether it was admitted or not.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns whether a body waits for room.
    pub fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Reserves room for further bytes of a body whose length is not known, of which `held` bytes are
    /// reserved. Returns whether there is any.
    pub fn grow(&mut self, held: u64, bytes: u64) -> bool {
        let capacity = self.capacity_for(held + bytes);
        self.reserve_within(bytes, capacity)
    }

    /// Returns reserved bytes.
    pub fn release(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    fn reserve(&mut self, bytes: u64) -> bool {
        self.reserve_within(bytes, self.capacity_for(bytes))
    }

    fn reserve_within(&mut self, bytes: u64, capacity: u64) -> bool {
        let fits = self.used.saturating_add(bytes) <= capacity;
        if fits {
            self.used += bytes;
        }
        fits
    }

    fn capacity_for(&self, body_bytes: u64) -> u64 {
        match body_bytes <= SMALL_BODY_BYTES {
            true => self.capacity,
            false => self.large_capacity(),
        }
    }

    fn large_capacity(&self) -> u64 {
        self.capacity - self.capacity / SMALL_SHARE
    }
}
