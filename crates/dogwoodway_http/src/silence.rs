//! Connections that end when their peer falls silent, and only then.
//!
//! A peer whose kernel acknowledges is alive, however slowly it reads. `TCP_USER_TIMEOUT` does not
//! tell: the kernel also ends a connection whose window has been closed for that time although each
//! probe of the window is answered. So the state of the connection is read instead.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Once,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use dogwoodway_tcp::{MAX_RETRY_INTERVAL, SendState, set_max_retry_interval};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Number of times that a connection with unacknowledged data is looked at within its timeout.
const CHECKS_PER_TIMEOUT: u32 = 8;

/// Number of times within the timeout that the kernel repeats what a peer does not answer.
const RETRIES_PER_TIMEOUT: u32 = 4;

/// Whether it has been logged that the system does not tell the state of connections.
static UNKNOWN_STATE_REPORTED: Once = Once::new();

/// TCP stream that ends with [`io::ErrorKind::TimedOut`] when no packet has arrived from its peer for
/// a given time although one was due.
///
/// The time of a peer that acknowledges is not limited here: its request's deadline does that.
/// Reads, writes and flushes check the peer, so the task that owns the stream must poll one of them
/// whenever it is woken.
///
/// ```
/// # async fn connect() -> std::io::Result<()> {
/// use std::time::Duration;
///
/// use dogwoodway_http::WatchedStream;
/// use tokio::net::TcpStream;
///
/// let stream = TcpStream::connect("127.0.0.1:80").await?;
/// let _stream = WatchedStream::new(stream, Duration::from_secs(6))?;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct WatchedStream<S = TcpStream> {
    stream: S,
    watch: Option<Watch>,
}

/// A stream over one TCP socket.
pub trait TcpSocketStream: AsyncRead + AsyncWrite + Unpin {
    /// Returns the stream of the socket.
    fn tcp(&self) -> &TcpStream;
}

impl TcpSocketStream for TcpStream {
    fn tcp(&self) -> &TcpStream {
        self
    }
}

/// Watch of a connection that may have unacknowledged data.
#[derive(Debug)]
struct Watch {
    timeout: Duration,
    /// When to look next, while data may be unacknowledged.
    check: Option<Pin<Box<Sleep>>>,
    /// When nothing was seen to wait for an answer.
    answered_at: Instant,
}

impl<S> WatchedStream<S>
where
    S: TcpSocketStream,
{
    /// Watches a connection, whose peer may be silent for up to `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the options of the socket cannot be set.
    pub fn new(stream: S, timeout: Duration) -> io::Result<WatchedStream<S>> {
        let socket = SockRef::from(stream.tcp());
        // A connection without unacknowledged data: a live peer that has nothing to send answers probes.
        let keepalive = TcpKeepalive::new().with_time(timeout / 2).with_interval(timeout / 2);
        socket.set_tcp_keepalive(&keepalive.with_retries(1))?;
        if let Err(e) = SendState::of(stream.tcp()) {
            UNKNOWN_STATE_REPORTED.call_once(|| {
                log::warn!("the state of TCP connections is unknown, slow readers may be cut: {e}");
            });
            socket.set_tcp_user_timeout(Some(timeout))?;
            return Ok(WatchedStream::unwatched(stream));
        }
        // Without this option, a peer that falls silent after a long pause is found at the next probe.
        let _ = set_max_retry_interval(stream.tcp(), timeout / RETRIES_PER_TIMEOUT);
        let watch = Watch { timeout, check: None, answered_at: Instant::now() };
        Ok(WatchedStream { stream, watch: Some(watch) })
    }

    /// Wraps a connection without a watch.
    pub(crate) fn unwatched(stream: S) -> WatchedStream<S> {
        WatchedStream { stream, watch: None }
    }

    /// Makes the kernel discard what is not delivered yet when the stream is dropped, and reset the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails if the option of the socket cannot be set.
    pub fn set_zero_linger(&self) -> io::Result<()> {
        self.stream.tcp().set_zero_linger()
    }

    /// Returns the socket.
    pub(crate) fn socket(&self) -> SockRef<'_> {
        SockRef::from(self.stream.tcp())
    }

    fn check_peer(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match &mut self.watch {
            Some(watch) => watch.poll(self.stream.tcp(), cx),
            None => Ok(()),
        }
    }

    fn note_written(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match &mut self.watch {
            Some(watch) if watch.check.is_none() => {
                watch.start();
                watch.poll(self.stream.tcp(), cx)
            }
            _ => Ok(()),
        }
    }
}

impl Watch {
    fn start(&mut self) {
        self.answered_at = Instant::now();
        self.check = Some(Box::pin(tokio::time::sleep(self.timeout / CHECKS_PER_TIMEOUT)));
    }

    fn poll(&mut self, stream: &TcpStream, cx: &mut Context<'_>) -> io::Result<()> {
        while let Some(check) = &mut self.check
            && check.as_mut().poll(cx).is_ready()
        {
            let next = tokio::time::Instant::now() + self.timeout / CHECKS_PER_TIMEOUT;
            check.as_mut().reset(next);
            let state = SendState::of(stream)?;
            if state.queued_bytes == 0 {
                self.check = None;
            }
            if self.is_silent(state, Instant::now()) {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "no packet from the peer"));
            }
        }
        Ok(())
    }

    /// Decides whether the peer has had its time to acknowledge something.
    fn is_silent(&mut self, state: SendState, now: Instant) -> bool {
        if !state.is_unanswered {
            self.answered_at = now;
            return false;
        }
        now - self.answered_at >= self.timeout
            && Duration::from_millis(state.ack_age_ms) >= self.timeout
    }
}

impl<S> AsyncRead for WatchedStream<S>
where
    S: TcpSocketStream,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_peer(cx)?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S> AsyncWrite for WatchedStream<S>
where
    S: TcpSocketStream,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_peer(cx)?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(cx)?;
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_peer(cx)?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(cx)?;
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_peer(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.watch.is_some() {
            // The kernel counts the retries of a closed connection, so they must not follow each other
            // fast if a peer reads the end slowly.
            let _ = set_max_retry_interval(self.stream.tcp(), MAX_RETRY_INTERVAL);
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
