//! What a process may use of its machine, and how it is shared out.

/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: u32 = 200;

/// Descriptors for listeners, the platform's store, health checks, datagrams and control calls.
const OWN_DESCRIPTORS: u32 = 100;

/// Descriptors that a client connection takes: its own, and one to the backend server that runs its
/// request.
const DESCRIPTORS_PER_CLIENT: u32 = 2;

/// Fewest client connections, so that a process whose limit is unusable still serves.
const MIN_CLIENT_CONNECTIONS: u32 = 16;

/// Memory of a process without clients, with the state of a large fleet, in bytes.
const BASE_MEMORY: u64 = 24 << 20;

/// Memory of a client connection and the one to the backend server that runs its request, in bytes,
/// without the request's body. Heads of 14 KB that are not complete took 38 KB each when measured.
const MEMORY_PER_CLIENT: u64 = 48 << 10;

/// Share of the memory for clients, as its reciprocal, that connections may take at most.
const CONNECTION_SHARE: u64 = 2;

/// Share of the memory for clients, as its reciprocal, that is left to the allocator.
const ALLOCATOR_SHARE: u64 = 8;

/// Share of the memory for bodies, as its reciprocal, that is for those of responses.
const RESPONSE_SHARE: u64 = 8;

/// Least memory for the bodies of responses, in bytes.
const MIN_RESPONSE_MEMORY: u64 = 1 << 20;

/// Least memory for the bodies of requests, in bytes, so that a process whose limit is unusable still serves.
const MIN_BODY_MEMORY: u64 = 4 << 20;

/// Limits that the machine sets for a process.
///
/// ```
/// use dogwoodway_routing::process_limits::ProcessLimits;
///
/// let limits = ProcessLimits { max_descriptors: 4_100, max_memory: 260 << 20 };
/// assert_eq!(limits.max_client_connections(), 1_900);
/// assert_eq!(limits.body_memory() >> 20, 102);
/// assert_eq!(limits.response_memory() >> 20, 14);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of open descriptors.
    pub max_descriptors: u32,
    /// Maximum resident memory, in bytes.
    pub max_memory: u64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { max_descriptors: 4_096, max_memory: 256 << 20 }
    }
}

impl ProcessLimits {
    /// Returns how many connections of clients may be open, each with a request in progress.
    ///
    /// ```
    /// use dogwoodway_routing::process_limits::ProcessLimits;
    ///
    /// let limits = ProcessLimits { max_descriptors: 8_192, max_memory: 160 << 20 };
    /// assert_eq!(limits.max_client_connections(), 1_269, "more do not fit in the memory");
    /// ```
    pub fn max_client_connections(&self) -> usize {
        let free = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
        let by_memory = self.client_memory() / CONNECTION_SHARE / MEMORY_PER_CLIENT;
        let connections = u64::from(free / DESCRIPTORS_PER_CLIENT).min(by_memory);
        connections.max(u64::from(MIN_CLIENT_CONNECTIONS)) as usize
    }

    /// Returns how many bytes the bodies of all requests together may take.
    pub fn body_memory(&self) -> u64 {
        let all = self.all_bodies_memory();
        (all - all / RESPONSE_SHARE).max(MIN_BODY_MEMORY)
    }

    /// Returns how many bytes of responses may be held for clients that have not taken them.
    pub fn response_memory(&self) -> u64 {
        (self.all_bodies_memory() / RESPONSE_SHARE).max(MIN_RESPONSE_MEMORY)
    }

    fn all_bodies_memory(&self) -> u64 {
        let connections = self.max_client_connections() as u64 * MEMORY_PER_CLIENT;
        self.client_memory().saturating_sub(connections).max(MIN_BODY_MEMORY)
    }

    /// Returns how many bytes connections of clients and bodies may take together.
    fn client_memory(&self) -> u64 {
        let free = self.max_memory.saturating_sub(BASE_MEMORY);
        free - free / ALLOCATOR_SHARE
    }
}
