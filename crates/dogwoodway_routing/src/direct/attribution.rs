//! Whether a response answers the request that was sent last on its connection.
//!
//! HTTP/1.1 matches responses to requests by their order alone. A server that writes one response too
//! many on a connection shifts all that follow, and the one too many may arrive after the next request
//! was sent. A refusal that is read this way promises that a request has not run that is running.

/// The request that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedRequest {
    /// The request that was sent.
    Sent,
    /// Another one, or more than one.
    Other,
    /// None.
    Unnamed,
}

/// Returns whether a response counts as the answer to the request that was sent. One that names no
/// request does so only if it is the first on its connection, where no response to an earlier request
/// can have been left over.
///
/// ```
/// use dogwoodway_routing::direct::attribution::{NamedRequest, is_answer};
///
/// assert!(is_answer(NamedRequest::Sent, false));
/// assert!(is_answer(NamedRequest::Unnamed, true));
/// assert!(!is_answer(NamedRequest::Unnamed, false));
/// assert!(!is_answer(NamedRequest::Other, true));
/// ```
pub fn is_answer(named: NamedRequest, is_first_on_connection: bool) -> bool {
    match named {
        NamedRequest::Sent => true,
        NamedRequest::Other => false,
        NamedRequest::Unnamed => is_first_on_connection,
    }
}
