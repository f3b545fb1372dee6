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

/// Limits that the machine sets for a process.
///
/// ```
/// use dogwoodway_routing::process_limits::ProcessLimits;
///
/// let limits = ProcessLimits { max_descriptors: 4_100, ..ProcessLimits::default() };
/// assert_eq!(limits.max_client_connections(), 1_900);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of open descriptors.
    pub max_descriptors: u32,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { max_descriptors: 4_096 }
    }
}

impl ProcessLimits {
    /// Returns how many connections of clients may be open, each with a request in progress.
    pub fn max_client_connections(&self) -> usize {
        let free = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
        (free / DESCRIPTORS_PER_CLIENT).max(MIN_CLIENT_CONNECTIONS) as usize
    }
}
