//! HTTP/1 connections to backend servers, how long an idle one may be reused, and how requests are
//! withdrawn that are given up.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use dogwoodway_http::WatchedStream;
use dogwoodway_routing::direct::process_end::ProbeResult;
use dogwoodway_types::Timestamp;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::JoinHandle,
};

use crate::{clock, segmented_bytes::SegmentedBody};

/// Time limit for connecting, in milliseconds. Servers are a few milliseconds away; a lost SYN
/// packet is retransmitted only after a second, by which time another server could have responded.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Time without any packet from the peer after which a connection is closed, in milliseconds.
/// Longer than network disturbances after which responses still arrive. A server that reads slowly is
/// not silent: its request's deadline limits it.
const SILENCE_TIMEOUT_MS: u64 = 6_000;

/// Largest response head that is accepted, in bytes; also the size of the read buffer.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Time for which an idle connection may be reused if the server states no keep-alive time, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 2_000;

/// Safety margin before the server's keep-alive time ends, in milliseconds. If a request is sent
/// while the server closes the connection, it is unknown whether it ran.
const IDLE_MARGIN_MS: u64 = 400;

/// A connection to a backend server; closed when dropped. A request that is unanswered then is
/// withdrawn: what the server's machine has not received of it does not arrive later.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<SegmentedBody>,
    is_unanswered: Arc<AtomicBool>,
    idle_deadline: Timestamp,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to a server, within [`CONNECT_TIMEOUT_MS`].
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let stream = WatchedStream::new(stream, Duration::from_millis(SILENCE_TIMEOUT_MS))?;
        let is_unanswered = Arc::new(AtomicBool::new(false));
        let socket = Socket { stream, is_unanswered: is_unanswered.clone() };
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!("connection to a backend server ended: {e}");
            }
        });
        let idle_deadline = clock::now() + Duration::from_millis(DEFAULT_IDLE_MS);
        Ok(Connection { sender, is_unanswered, idle_deadline, driver })
    }

    /// Sends a request and waits for the head of the response. The request comes back with the error
    /// if nothing of it was sent.
    pub(crate) async fn send(
        &mut self,
        req: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<SegmentedBody>>> {
        self.is_unanswered.store(true, Ordering::Relaxed);
        let result = self.sender.try_send_request(req).await;
        if result.is_ok() {
            self.is_unanswered.store(false, Ordering::Relaxed);
        }
        result
    }

    /// Waits for up to `limit`; returns whether the peer closes the connection meanwhile.
    pub(crate) async fn is_closed_within(&mut self, limit: Duration) -> bool {
        tokio::time::timeout(limit, &mut self.driver).await.is_ok()
    }

    /// Marks the connection as idle from now on; `keep_alive_ms` is the time for which the server
    /// keeps it open, if it said so.
    pub(crate) fn mark_idle(&mut self, keep_alive_ms: Option<u64>) {
        let idle_ms = keep_alive_ms.unwrap_or(DEFAULT_IDLE_MS + IDLE_MARGIN_MS);
        let idle = Duration::from_millis(idle_ms.saturating_sub(IDLE_MARGIN_MS));
        self.idle_deadline = clock::now() + idle;
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn is_usable(&self, now: Timestamp) -> bool {
        now < self.idle_deadline && self.sender.is_ready()
    }

    /// Returns whether the connection is usable now or may become so: it is open, but may still be
    /// finishing the previous request.
    pub(crate) fn is_reusable(&self, now: Timestamp) -> bool {
        now < self.idle_deadline && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Returns whether a connection that could not be opened was accepted and closed at once, as by a server
/// that has as many as it takes.
pub(crate) fn was_accepted(e: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected};
    matches!(e.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | NotConnected)
}

/// Returns what it shows of a server that a connection to it could not be opened.
pub(crate) fn probe_result(e: &io::Error) -> ProbeResult {
    match e.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ if was_accepted(e) => ProbeResult::Closed,
        _ => ProbeResult::Unanswered,
    }
}

/// Socket of a connection, reset if it is closed while a request is unanswered.
///
/// After an orderly close, the kernel goes on delivering what was sent.
#[derive(Debug)]
struct Socket {
    stream: WatchedStream,
    is_unanswered: Arc<AtomicBool>,
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.is_unanswered.load(Ordering::Relaxed)
            && let Err(e) = self.stream.set_zero_linger()
        {
            log::debug!("could not withdraw a request from a backend server: {e}");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
