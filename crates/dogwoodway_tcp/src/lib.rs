//! State and options of TCP connections that safe libraries do not offer.

use std::{
    io,
    mem::size_of,
    os::fd::{AsFd, AsRawFd, RawFd},
    time::Duration,
};

/// Option for the longest pause between repeated segments, in Linux from 6.15 (`linux/tcp.h`).
const TCP_RTO_MAX_MS: libc::c_int = 44;

/// Longest pause between repeated segments that the kernel allows, and its default.
pub const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(120);

/// Shortest limit that [`set_max_retry_interval`] can set.
pub const MIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// State of the sending side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendState {
    /// Bytes that were written and that the peer has not acknowledged, sent or not.
    pub queued_bytes: usize,
    /// Whether the kernel has repeated a segment, or has probed a closed window, without an answer.
    pub is_unanswered: bool,
    /// Time since the last acknowledgement, in milliseconds; answers to probes count as such.
    pub ack_age_ms: u64,
}

impl SendState {
    /// Reads the state of a connection.
    ///
    /// # Errors
    ///
    /// Fails if the descriptor is not a TCP socket or the system does not offer this information.
    ///
    /// ```
    /// use std::net::{TcpListener, TcpStream};
    ///
    /// let listener = TcpListener::bind("127.0.0.1:0")?;
    /// let stream = TcpStream::connect(listener.local_addr()?)?;
    /// let state = dogwoodway_tcp::SendState::of(&stream)?;
    /// assert_eq!(state.queued_bytes, 0);
    /// assert!(!state.is_unanswered);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn of<S>(socket: &S) -> io::Result<SendState>
    where
        S: AsFd,
    {
        let fd = socket.as_fd().as_raw_fd();
        let info = tcp_info(fd)?;
        // No state of a connection has the number 0: an emulated network filled nothing in.
        if info.tcpi_state == 0 {
            return Err(io::ErrorKind::Unsupported.into());
        }
        Ok(SendState {
            queued_bytes: queued_bytes(fd)?,
            is_unanswered: info.tcpi_probes > 0
                || info.tcpi_unacked > 0 && info.tcpi_retransmits > 0,
            ack_age_ms: u64::from(info.tcpi_last_ack_recv),
        })
    }
}

/// Limits the pause between two repetitions of a segment, or two probes of a closed window.
///
/// # Errors
///
/// Fails if the kernel does not know the option.
///
/// ```
/// use std::net::{TcpListener, TcpStream};
///
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let stream = TcpStream::connect(listener.local_addr()?)?;
/// if let Err(e) = dogwoodway_tcp::set_max_retry_interval(&stream, std::time::Duration::from_secs(2)) {
///     println!("not before Linux 6.15: {e}");
/// }
/// # Ok::<(), std::io::Error>(())
/// ```
#[allow(unsafe_code)]
pub fn set_max_retry_interval<S>(socket: &S, interval: Duration) -> io::Result<()>
where
    S: AsFd,
{
    let interval = interval.clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL);
    let ms = interval.as_millis() as libc::c_int;
    // SAFETY: `ms` is readable and has the stated size.
    let result = unsafe {
        libc::setsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            TCP_RTO_MAX_MS,
            (&raw const ms).cast(),
            size_of::<libc::c_int>() as libc::socklen_t,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

#[allow(unsafe_code)]
fn tcp_info(fd: RawFd) -> io::Result<libc::tcp_info> {
    // SAFETY: all fields are integers, for which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut len = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: `info` is writable and has `len` bytes; the kernel writes no more than that.
    let result = unsafe {
        libc::getsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut len,
        )
    };
    match result {
        0 => Ok(info),
        _ => Err(io::Error::last_os_error()),
    }
}

#[allow(unsafe_code)]
fn queued_bytes(fd: RawFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the request writes one `c_int`.
    match unsafe { libc::ioctl(fd, libc::TIOCOUTQ, &raw mut bytes) } {
        0 => Ok(usize::try_from(bytes).unwrap_or(0)),
        _ => Err(io::Error::last_os_error()),
    }
}
